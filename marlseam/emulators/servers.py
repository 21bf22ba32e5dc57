"""Servers on loopback: the simulated servers behind the HTTP protocol between nodes and servers.

An attempt is a POST; its response is a stream with a line of JSON for each event of the attempt's job. A
probe is a GET of the load report.
"""

from collections.abc import Mapping
from functools import partial
from math import inf
from pathlib import Path
from typing import Any, NamedTuple

import h11
import msgspec

from marlseam import records
from marlseam.decisions.types import LoadReport
from marlseam.emulators.http_listener import HttpListener, reply
from marlseam.emulators.process import EmulatorProcess
from marlseam.net.connection import MAX_PIPELINED_BYTES, Connection, Steps
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.log import Reason
from marlseam.net.loop import READ, READY, sleep
from marlseam.net.protocol import (
    ACTING_HEADER,
    CORRELATION_ID_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    LOAD_PATH,
    SERVICE_CLASS_HEADER,
    UNPROCESSED_HEADER,
    Head,
)
from marlseam.simulation import faults, fleet
from marlseam.simulation.faults import ScheduledFault
from marlseam.simulation.job import Job, JobEvent
from marlseam.simulation.model import Day
from marlseam.simulation.server import Server

SYSTEM = "executors"  # the name of these emulators in records, log, ready line and names of files
SILENCE_CHECK_INTERVAL_MS = 50.0  # interval at which a silent server checks whether its silence has ended
FINAL_EVENTS = ("done", "failed", "lost")  # each is the last event of its job


class RequestBody(msgspec.Struct):
    """The body of a request: what its job costs a server.

    Attributes:
        work: the standard work in ms, which is the run time on a slot of speed 1.
        slots: the number of slots that the job takes.
        memory: the memory that the job takes, in units.
    """

    work: float = 100.0
    slots: float = 1.0
    memory: float = 0.0


class ReceivedAttempt(NamedTuple):
    """An attempt received by a server: its job, and the configuration version that its node acts on."""

    job: Job
    config_version: str


class EmulatedServer:
    """A simulated server behind a listener.

    Attributes:
        process: the emulator process.
        server: the simulated server.
        day: the day that is run.
        name: the server's name.
        listener: the listener to which nodes connect.
        is_silent: whether the server sends nothing, though its connections stay open.
        responses: the responses that are being written, by the job's id.
    """

    def __init__(self, process: EmulatorProcess, server: Server, day: Day, nodelay: bool) -> None:
        """Start to listen, unless the server is down at first; `nodelay` switches off Nagle's algorithm."""
        self.process, self.server, self.day = process, server, day
        self.name = server.name
        self.is_silent = False
        self.responses: dict[str, AttemptResponse] = {}
        self._request_types = {request_type.name: request_type for request_type in day.types}
        self._records = process.streams.of(server.name)
        self._next_event_ms = inf
        self._job_count = 0
        self.listener = HttpListener(process, server.name, self._answer, nodelay=nodelay)
        if not server.is_up:
            self.listener.stop_listening()

    def advance(self) -> None:
        """Advance the simulated server to now, handle its events, and schedule the next advance."""
        for event in self.server.advance(max(self.process.now(), self.server.at_ms)):
            self._handle_event(event)
        due_ms = self.server.next_event_ms()
        if due_ms < self._next_event_ms:
            self._next_event_ms = due_ms
            self.process.call_at(due_ms, partial(self._advance_if_due, due_ms))

    def _advance_if_due(self, due_ms: float) -> None:
        """Advance the server, unless an advance for an earlier event has replaced this one."""
        if self._next_event_ms == due_ms:
            self._next_event_ms = inf
            self.advance()

    def _handle_event(self, event: JobEvent) -> None:
        """Record an event of a job, and add it to the job's response."""
        attempt_id = event.id.rpartition("/")[0]
        now_ms = self.process.now()
        if event.what == "started":
            has_effect = event.value > 0.0
            self._records.add(
                records.AttemptStarted(t=now_ms, by=self.name, id=attempt_id, effect=has_effect)
            )
        elif event.what != "progress":
            self._records.add(
                records.AttemptEnded(t=now_ms, by=self.name, id=attempt_id, how=event.what, work=event.value)
            )
        response = self.responses.get(event.id)
        if response is not None:
            response.add_event(event)

    # Requests.

    def _answer(self, connection: Connection, request: h11.Request, body: bytes) -> Steps:
        """Answer a probe or an attempt; a malformed attempt gets 400."""
        yield from self.wait_while_silent()
        if request.method == b"GET":
            yield from self._answer_probe(connection, request.target.decode("latin-1"))
            return
        attempt = self._attempt_from(Head(request.headers), body)
        if attempt is None:
            yield from reply(connection, 400, b"")
            return
        yield from AttemptResponse(self, connection, attempt).run()

    def wait_while_silent(self) -> Steps:
        """Wait until the server is not silent."""
        while self.is_silent:
            yield from sleep(self.process.loop.now() + SILENCE_CHECK_INTERVAL_MS)

    def _answer_probe(self, connection: Connection, target: str) -> Steps:
        """Answer a probe with the load report, or 404 if the path is another one."""
        self.advance()
        self._records.add(records.ProbeAnswered(t=self.process.now(), by=self.name))
        is_known = target == LOAD_PATH
        text = load_text(self.server.report(self.process.now())) if is_known else ""
        yield from reply(connection, 200 if is_known else 404, text.encode())

    def _attempt_from(self, head: Head, body: bytes) -> ReceivedAttempt | None:
        """Return a request's attempt; None if the class is unknown, the id missing or the body malformed."""
        request_type = self._request_types.get(head.get(SERVICE_CLASS_HEADER, ""))
        try:
            cost: RequestBody = msgspec.json.decode(body or b"{}", type=RequestBody)
        except msgspec.MsgspecError:
            return None
        if request_type is None or CORRELATION_ID_HEADER not in head:
            return None
        self._job_count += 1
        job = Job(
            id=f"{head[CORRELATION_ID_HEADER]}/{self._job_count}",
            try_id=head[CORRELATION_ID_HEADER],
            class_name=request_type.name,
            work=cost.work,
            slots=cost.slots,
            memory=cost.memory,
            idempotency_key=head.get(IDEMPOTENCY_KEY_HEADER),
            key_group=request_type.group,
            key_memory_ms=request_type.memory_ms,
        )
        return ReceivedAttempt(job, head.get(ACTING_HEADER, ""))

    def offer(self, attempt: ReceivedAttempt) -> bool:
        """Offer an attempt to the server and record it; return whether the server accepts the job.

        If the attempt overloads the server in slow start, the server's process ends soon after the call.
        """
        self.advance()
        job, now_ms = attempt.job, self.server.at_ms
        is_accepted = self.server.offer(now_ms, job)
        load = self.server.slow_start_load(0.0) if self.server.is_in_slow_start(now_ms) else 0.0
        self._records.add(
            records.AttemptReceived(
                t=self.process.now(),
                by=self.name,
                id=job.try_id,
                born=self.server.started_ms,
                load=load,
                acting=attempt.config_version,
            )
        )
        if not is_accepted:
            self._records.add(records.AttemptRefused(t=self.process.now(), by=self.name, id=job.try_id))
        if self.server.overload_share is not None and self.server.is_up:
            overload_share = self.server.overload_share
            self._records.add(
                records.ServerOverloaded(t=self.process.now(), by=self.name, load=overload_share)
            )
            self.process.loop.call_soon(self.crash)
        return is_accepted

    def cancel(self, job: Job) -> None:
        """Cancel a job whose node closed the connection; does nothing if the server is down."""
        if not self.server.is_up:
            return
        self._records.add(records.AttemptCancelled(t=self.process.now(), by=self.name, id=job.try_id))
        self.advance()
        self.server.cancel(job.id)
        self.advance()

    # Faults.

    def crash(self) -> None:
        """End the server's process: open connections are reset, new ones are refused."""
        if self.server.is_up:
            self.advance()
            self.server.crash()
            self.advance()
        self.listener.stop_listening()
        self.listener.reset_connections()

    def restart(self, started_ms: float) -> None:
        """Start a new process of the server, in slow start since `started_ms` (ms of the run), and listen."""
        self.server.start_process(self.process.now(), started_ms)
        self._records.add(records.ServerStarted(t=self.process.now(), by=self.name))
        self.listener.listen()

    def apply_fault(self, fault: ScheduledFault, schedule: list[ScheduledFault], *, begins: bool) -> None:
        """Begin or end a scheduled fault at this server; `schedule` holds all faults, as effects combine."""
        self.advance()
        at_ms = fault.at if begins else fault.until
        match fault.settings.what, begins:
            case "silent", True:
                self.is_silent = True
            case "silent", False:
                self.is_silent = False
                self.listener.reset_connections()
            case ("reset", True):
                self.listener.reset_connections()
            case ("shrink", True):
                self.server.is_draining = True
            case ("crash", True) | ("shrink", False):
                self.crash()
            case ("crash", False) | ("grow", True):
                self.restart(at_ms)
            case _:
                self.server.fault_effects = faults.fault_effects(schedule, self.name, at_ms)
                self._next_event_ms = inf
                self.advance()


class AttemptResponse:
    """The response to one attempt: a line of JSON for each event of its job.

    If the client closes its connection before the last line, the attempt is cancelled.
    """

    def __init__(self, server: EmulatedServer, connection: Connection, attempt: ReceivedAttempt) -> None:
        """Create the response to an attempt; must be called in the task that serves the connection."""
        self._server, self._connection, self._attempt = server, connection, attempt
        self._job = attempt.job
        self._task = server.process.loop.running_task()
        self._unsent_lines: list[dict[str, Any]] = []
        self._has_final_event = False
        self._is_finished = False  # whether the whole response was handed to the connection

    def add_event(self, event: JobEvent) -> None:
        """Add a line for an event of the job; the last has the load report if the day has it in answers."""
        line: dict[str, Any] = {"id": self._job.try_id, "from": self._server.name, "state": event.what}
        if event.what == "progress":
            line |= {"state": "running", "share": event.value}
        elif event.what == "done":
            line["result"] = f"{self._job.try_id} by {self._server.name}"
        self._has_final_event = self._has_final_event or event.what in FINAL_EVENTS
        if self._has_final_event and self._server.day.reports.answers:
            report = self._server.server.report(self._server.process.now())
            line["load"] = load_figures(report)
        self._unsent_lines.append(line)
        self._task.wake()

    def run(self) -> Steps:
        """Offer the job to the server and write the whole response; a job that is not accepted gets 503."""
        self._server.responses[self._job.id] = self
        try:
            if self._server.offer(self._attempt):
                yield from self._write_lines()
            else:
                yield from reply(self._connection, 503, b"", [(UNPROCESSED_HEADER, "1")])
                self._is_finished = True
        finally:
            del self._server.responses[self._job.id]
            if not self._is_finished:
                self._server.cancel(self._job)

    def _write_lines(self) -> Steps:
        """Write the head of the response, then each line as its event occurs, up to the last."""
        connection = self._connection
        yield from connection.write(connection.http.send(h11.Response(status_code=200, headers=[])), inf)
        self._server.advance()
        while not self._is_finished:
            yield from self._server.wait_while_silent()
            lines, self._unsent_lines = self._unsent_lines, []
            self._is_finished = self._has_final_event
            yield from connection.write(self._encoded(lines, is_last=self._is_finished), inf)
            if not self._is_finished and not self._unsent_lines:
                yield from self._wait_for_event()

    def _encoded(self, lines: list[dict[str, Any]], *, is_last: bool) -> bytes:
        """Return lines as chunks of the HTTP body; with `is_last` followed by the end of the body."""
        http = self._connection.http
        data = b"".join(http.send(h11.Data(data=msgspec.json.encode(line) + b"\n")) for line in lines)
        return data + http.send(h11.EndOfMessage()) if is_last else data

    def _wait_for_event(self) -> Steps:
        """Wait for the job's next event; raise ConnectionEndedError if the client closes the connection."""
        connection = self._connection
        may_read = not connection.eof and len(connection.buffer) < MAX_PIPELINED_BYTES
        event = yield (connection.sock.fileno(), READ, inf) if may_read else (-1, 0, inf)
        if event == READY:
            connection.fill()
            if connection.eof:
                raise ConnectionEndedError(Reason.PEER_CLOSED)


def load_figures(report: LoadReport) -> dict[str, float]:
    """Return the figures of a load report by their names in the protocol, without absent ones."""
    figures = {"errors_per_s": 0.0, "backlog": report.queued, "x0": report.free_slots}
    return {name: value for name, value in figures.items() if value is not None}


def load_text(report: LoadReport) -> str:
    """Return a load report in the text format of the protocol, `TEXT NAME=VALUE, ...`."""
    return "TEXT " + ", ".join(f"{name}={value:g}" for name, value in load_figures(report).items())


def schedule_faults(
    process: EmulatorProcess, servers: Mapping[str, EmulatedServer], schedule: list[ScheduledFault]
) -> None:
    """Schedule the begin and the end of each fault at those of its target servers that run here."""
    for fault in schedule:
        for name in fault.targets:
            if name in servers:
                apply = partial(servers[name].apply_fault, fault, schedule)
                process.call_at(fault.at, partial(apply, begins=True))
                process.call_at(fault.until, partial(apply, begins=False))


def serve(
    day: Day, seed: int, folder: Path | None, now: bool, nodelay: bool = True, part: str = "1/1"
) -> None:
    """Run the servers of a day until stopped; `part` as NUMBER/COUNT selects each COUNT-th from NUMBER on."""
    process = EmulatorProcess(SYSTEM, folder)
    schedule = faults.schedule(day, seed)
    number, count = (int(word) for word in part.split("/"))
    simulated = list(fleet.build(day, seed, schedule).values())[number - 1 :: count]
    servers = {server.name: EmulatedServer(process, server, day, nodelay) for server in simulated}
    schedule_faults(process, servers, schedule)
    addresses = {name: server.listener.address for name, server in servers.items()}
    process.run({"executors": addresses}, now)
