"""Executors on loopback: the world's own, behind the platform's protocol."""

from math import inf
from pathlib import Path

import h11
import msgspec

from marlseam import records
from marlseam.decisions.types import LoadReport
from marlseam.emulators.base import Door, Stand, reply
from marlseam.net.connection import MAX_AHEAD_BYTES, Connection, ConnectionEndedError, Steps
from marlseam.net.log import Reason
from marlseam.net.loop import READ, READY, sleep
from marlseam.net.protocol import ACTING, ID, LOAD_PATH, NEVER_RAN, RECEIPT, TYPE, Head
from marlseam.simulation import faults, fleet
from marlseam.simulation.faults import ScheduledFault
from marlseam.simulation.job import Job, JobEvent
from marlseam.simulation.model import Day
from marlseam.simulation.server import Server


class Order(msgspec.Struct):
    """What a work unit's body tells a stand-in of it: standard work in ms, slots, memory."""

    work: float = 100.0
    slots: float = 1.0
    memory: float = 0.0


class EmulatedServer:
    """One executor behind its door."""

    def __init__(self, stand: Stand, executor: Server, day: Day, nodelay: bool) -> None:
        self.stand, self.executor, self.day = stand, executor, day
        self.name = executor.name
        self.types = {type.name: type for type in day.types}
        self.records = stand.streams.of(executor.name)
        self.silent, self.next, self.count = False, inf, 0
        self.calls: dict[str, Call] = {}
        self.door = Door(stand, executor.name, self.answer, nodelay=nodelay)
        if not executor.is_up:
            self.door.shut()

    def note(self, kind: type, **values: object) -> None:
        """Write a record."""
        self.records.add(kind(t=self.stand.now(), by=self.name, **values))

    def look(self) -> None:
        """Bring the executor to now, pass on what happened, and note when it is next to be looked at."""
        for h in self.executor.advance(max(self.stand.now(), self.executor.at_ms)):
            self.happened(h)
        due = self.executor.next_event_ms()
        if due < self.next:
            self.next = due
            self.stand.at(due, lambda: self.come_due(due))

    def come_due(self, t: float) -> None:
        """Something happens by itself."""
        if self.next == t:
            self.next = inf
            self.look()

    def happened(self, h: JobEvent) -> None:
        """Write down what happened to a job and have its call tell it."""
        ref = h.id.rpartition("/")[0]
        if h.what == "started":
            self.note(records.AttemptStarted, id=ref, effect=h.value > 0.0)
        elif h.what != "progress":
            self.note(records.AttemptEnded, id=ref, how=h.what, work=h.value)
        call = self.calls.get(h.id)
        if call is not None:
            call.tell(h)

    def answer(self, connection: Connection, request: h11.Request, body: bytes) -> Steps:
        """Answer one request: a probe, or a job in lines."""
        while self.silent:
            yield from sleep(self.stand.loop.now() + 50.0)
        if request.method == b"GET":
            self.look()
            self.note(records.ProbeAnswered)
            known = request.target.decode("latin-1") == LOAD_PATH
            text = load_text(self.executor.report(self.stand.now())) if known else ""
            yield from reply(connection, 200 if known else 404, text.encode())
            return
        head = Head(request.headers)
        type = self.types.get(head.get(TYPE, ""))
        try:
            order = msgspec.json.decode(body or b"{}", type=Order)
        except msgspec.MsgspecError:
            order = None
        if type is None or order is None or ID not in head:
            yield from reply(connection, 400, b"")
            return
        self.count += 1
        job = Job(
            id=f"{head[ID]}/{self.count}",
            try_id=head[ID],
            class_name=type.name,
            work=order.work,
            slots=order.slots,
            memory=order.memory,
            idempotency_key=head.get(RECEIPT),
            key_group=type.group,
            key_memory_ms=type.memory_ms,
        )
        yield from Call(self, connection, job, head.get(ACTING, "")).run()

    def offer(self, job: Job, acting: str = "") -> bool:
        """Hand the executor a job, note it, and see whether that pushed it over."""
        self.look()
        now = self.executor.at_ms
        taken = self.executor.offer(now, job)
        load = self.executor.slow_start_load(0.0) if self.executor.is_in_slow_start(now) else 0.0
        self.note(
            records.AttemptReceived, id=job.try_id, born=self.executor.started_ms, load=load, acting=acting
        )
        if not taken:
            self.note(records.AttemptRefused, id=job.try_id)
        if self.executor.overload_share is not None and self.executor.is_up:
            self.note(records.ServerOverloaded, load=self.executor.overload_share)
            self.stand.loop.soon(self.crash)
        return taken

    # Troubles.

    def crash(self) -> None:
        """End the process: connections break, new ones are refused."""
        if self.executor.is_up:
            self.look()
            self.executor.crash()
            self.look()
        self.door.shut()
        self.door.reset()

    def rise(self, t: float) -> None:
        """Start the process anew, cold since some time."""
        self.executor.start_process(self.stand.now(), t)
        self.note(records.ServerStarted)
        self.door.listen()

    def trouble(self, met: ScheduledFault, on: bool, schedule: list[ScheduledFault]) -> None:
        """Begin or end a trouble."""
        self.look()
        t = met.at if on else met.until
        match met.trouble.what, on:
            case "silent", True:
                self.silent = True
            case "silent", False:
                self.silent = False
                self.door.reset()
            case ("reset", True):
                self.door.reset()
            case ("shrink", True):
                self.executor.is_draining = True
            case ("crash", True) | ("shrink", False):
                self.crash()
            case ("crash", False) | ("grow", True):
                self.rise(t)
            case _:
                self.executor.fault_effects = faults.fault_effects(schedule, self.name, t)
                self.next = inf
                self.look()


class Call:
    """One allocation's answer, line by line as things happen to its job."""

    def __init__(self, host: EmulatedServer, connection: Connection, job: Job, acting: str = "") -> None:
        self.host, self.connection, self.job, self.acting = host, connection, job, acting
        self.lines: list[dict] = []
        self.over = False
        self.task = host.stand.loop.current

    def tell(self, h: JobEvent) -> None:
        """Queue a line."""
        row: dict = {"id": self.job.try_id, "from": self.host.name, "state": h.what}
        if h.what == "progress":
            row |= {"state": "running", "share": h.value}
        elif h.what == "done":
            row["result"] = f"{self.job.try_id} by {self.host.name}"
        self.over = self.over or h.what in ("done", "failed", "lost")
        if self.over and self.host.day.reports.answers:
            row["load"] = load_of(self.host.executor.report(self.host.stand.now()))
        self.lines.append(row)
        self.task.wake()

    def run(self) -> Steps:
        """Take the job or turn it away, and write its lines to the end; a client that goes withdraws it."""
        host, connection = self.host, self.connection
        host.calls[self.job.id] = self
        finished = False
        try:
            if not host.offer(self.job, self.acting):
                yield from reply(connection, 503, b"", [(NEVER_RAN, "1")])
                finished = True
                return
            yield from connection.write(connection.http.send(h11.Response(status_code=200, headers=[])), inf)
            host.look()
            while not finished:
                while host.silent:
                    yield from sleep(host.stand.loop.now() + 50.0)
                lines, self.lines = self.lines, []
                finished = self.over
                data = b"".join(
                    connection.http.send(h11.Data(data=msgspec.json.encode(row) + b"\n")) for row in lines
                )
                if finished:
                    data += connection.http.send(h11.EndOfMessage())
                yield from connection.write(data, inf)
                if not finished and not self.lines:
                    yield from self.wait()
        finally:
            del host.calls[self.job.id]
            if not finished and host.executor.is_up:
                host.note(records.AttemptCancelled, id=self.job.try_id)
                host.look()
                host.executor.cancel(self.job.id)
                host.look()

    def wait(self) -> Steps:
        """Wait for the next line, or for the node to go."""
        connection = self.connection
        read = not connection.eof and len(connection.buffer) < MAX_AHEAD_BYTES
        came = yield (connection.sock.fileno(), READ, inf) if read else (-1, 0, inf)
        if came == READY:
            connection.fill()
            if connection.eof:
                raise ConnectionEndedError(Reason.PEER_CLOSED)


def load_of(report: LoadReport) -> dict[str, float]:
    """Return a load report under the protocol's names."""
    parts = {"errors_per_s": 0.0, "backlog": report.queued, "x0": report.free_slots}
    return {name: value for name, value in parts.items() if value is not None}


def load_text(report: LoadReport) -> str:
    """Return a load report as the protocol's text."""
    return "TEXT " + ", ".join(f"{name}={value:g}" for name, value in load_of(report).items())


def serve(
    day: Day, seed: int, folder: Path | None, now: bool, nodelay: bool = True, part: str = "1/1"
) -> None:
    """Run a day's executors, or one part of so many, until the end."""
    stand = Stand("executors", folder)
    schedule = faults.schedule(day, seed)
    which, of = (int(number) for number in part.split("/"))
    made = list(fleet.build(day, seed, schedule).values())[which - 1 :: of]
    hosts = {executor.name: EmulatedServer(stand, executor, day, nodelay) for executor in made}
    for met in schedule:
        for host in (hosts[name] for name in met.targets if name in hosts):
            stand.at(met.at, lambda host=host, met=met: host.trouble(met, True, schedule))
            stand.at(met.until, lambda host=host, met=met: host.trouble(met, False, schedule))
    stand.run({"executors": {name: host.door.address for name, host in hosts.items()}}, now)
