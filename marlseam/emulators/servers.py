"""Servers on loopback: the simulated servers behind the protocol that nodes speak to theirs.

An attempt is a POST whose response has a line of JSON for each thing that happens to its job; a probe is a
GET of the load report.
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
from marlseam.net.connection import MAX_AHEAD_BYTES, Connection, Steps
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.log import Reason
from marlseam.net.loop import READ, READY, sleep
from marlseam.net.protocol import ACTING, ID, LOAD_PATH, NEVER_RAN, RECEIPT, TYPE, Head
from marlseam.simulation import faults, fleet
from marlseam.simulation.faults import ScheduledFault
from marlseam.simulation.job import Job, JobEvent
from marlseam.simulation.model import Day
from marlseam.simulation.server import Server

SYSTEM = "executors"  # the name of these emulators in records, ready line and names of files
SILENCE_POLL_MS = 50.0  # how often a silent server looks whether it may speak again
FINAL_EVENTS = ("done", "failed", "lost")  # after which nothing more happens to a job


class RequestBody(msgspec.Struct):
    """What a request's body says of its cost.

    Attributes:
        work: standard work in ms.
        slots: how many slots it takes.
        memory: how much memory it takes, in units.
    """

    work: float = 100.0
    slots: float = 1.0
    memory: float = 0.0


class ReceivedAttempt(NamedTuple):
    """An attempt that a server received: its job, and the configuration version that its node serves by."""

    job: Job
    config_version: str


class EmulatedServer:
    """A simulated server behind a listener.

    Attributes:
        process: the emulator process.
        server: the simulated server.
        day: the day that is played.
        name: the server's name.
        listener: where nodes reach it.
        is_silent: whether it says nothing, though its connections stay open.
        responses: the responses that are being written, by the job's id.
    """

    def __init__(self, process: EmulatorProcess, server: Server, day: Day, nodelay: bool) -> None:
        """Listen for a server, unless its process is down; `nodelay`: small writes go out at once."""
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
        """Bring the server to now, pass on what happened, and have it advanced when something next does."""
        for event in self.server.advance(max(self.process.now(), self.server.at_ms)):
            self._pass_on(event)
        due_ms = self.server.next_event_ms()
        if due_ms < self._next_event_ms:
            self._next_event_ms = due_ms
            self.process.call_at(due_ms, partial(self._advance_if_due, due_ms))

    def _advance_if_due(self, due_ms: float) -> None:
        """Advance the server, unless something earlier has come to be waited for."""
        if self._next_event_ms == due_ms:
            self._next_event_ms = inf
            self.advance()

    def _pass_on(self, event: JobEvent) -> None:
        """Record what happened to a job, and have its response tell it."""
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
        """Answer one request: a probe, or an attempt."""
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
        """Wait until the server may speak."""
        while self.is_silent:
            yield from sleep(self.process.loop.now() + SILENCE_POLL_MS)

    def _answer_probe(self, connection: Connection, target: str) -> Steps:
        """Answer a probe with the load report."""
        self.advance()
        self._records.add(records.ProbeAnswered(t=self.process.now(), by=self.name))
        is_known = target == LOAD_PATH
        text = load_text(self.server.report(self.process.now())) if is_known else ""
        yield from reply(connection, 200 if is_known else 404, text.encode())

    def _attempt_from(self, head: Head, body: bytes) -> ReceivedAttempt | None:
        """Return the attempt that a request brings, None where it is malformed."""
        request_type = self._request_types.get(head.get(TYPE, ""))
        try:
            cost: RequestBody = msgspec.json.decode(body or b"{}", type=RequestBody)
        except msgspec.MsgspecError:
            return None
        if request_type is None or ID not in head:
            return None
        self._job_count += 1
        job = Job(
            id=f"{head[ID]}/{self._job_count}",
            try_id=head[ID],
            class_name=request_type.name,
            work=cost.work,
            slots=cost.slots,
            memory=cost.memory,
            idempotency_key=head.get(RECEIPT),
            key_group=request_type.group,
            key_memory_ms=request_type.memory_ms,
        )
        return ReceivedAttempt(job, head.get(ACTING, ""))

    def offer(self, attempt: ReceivedAttempt) -> bool:
        """Hand the server an attempt and record it; return whether it takes it.

        An attempt that overloads the server in slow start has its process end soon after.
        """
        self.advance()
        job, now_ms = attempt.job, self.server.at_ms
        is_taken = self.server.offer(now_ms, job)
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
        if not is_taken:
            self._records.add(records.AttemptRefused(t=self.process.now(), by=self.name, id=job.try_id))
        if self.server.overload_share is not None and self.server.is_up:
            overload_share = self.server.overload_share
            self._records.add(
                records.ServerOverloaded(t=self.process.now(), by=self.name, load=overload_share)
            )
            self.process.loop.soon(self.crash)
        return is_taken

    def cancel(self, job: Job) -> None:
        """Cancel a job, as its node has gone."""
        if not self.server.is_up:
            return
        self._records.add(records.AttemptCancelled(t=self.process.now(), by=self.name, id=job.try_id))
        self.advance()
        self.server.cancel(job.id)
        self.advance()

    # Faults.

    def crash(self) -> None:
        """End the server's process: connections are reset, new ones refused."""
        if self.server.is_up:
            self.advance()
            self.server.crash()
            self.advance()
        self.listener.stop_listening()
        self.listener.reset_connections()

    def restart(self, started_ms: float) -> None:
        """Start a new process, in slow start since some time."""
        self.server.start_process(self.process.now(), started_ms)
        self._records.add(records.ServerStarted(t=self.process.now(), by=self.name))
        self.listener.listen()

    def apply_fault(self, fault: ScheduledFault, schedule: list[ScheduledFault], *, begins: bool) -> None:
        """Begin or end a fault of the schedule."""
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
    """The response to one attempt, a line for each thing that happens to its job.

    A client that closes its connection before the last line cancels the attempt.
    """

    def __init__(self, server: EmulatedServer, connection: Connection, attempt: ReceivedAttempt) -> None:
        """Make the response to an attempt; call it in the task that serves its connection."""
        self._server, self._connection, self._attempt = server, connection, attempt
        self._job = attempt.job
        self._task = server.process.loop.running_task()
        self._unsent_lines: list[dict[str, Any]] = []
        self._has_final_event = False
        self._is_finished = False  # whether all that there is to say was handed to the connection

    def add_event(self, event: JobEvent) -> None:
        """Add a line for something that happened to the job."""
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
        """Offer the job to the server, and write the response to its end."""
        self._server.responses[self._job.id] = self
        try:
            if self._server.offer(self._attempt):
                yield from self._write_lines()
            else:
                yield from reply(self._connection, 503, b"", [(NEVER_RAN, "1")])
                self._is_finished = True
        finally:
            del self._server.responses[self._job.id]
            if not self._is_finished:
                self._server.cancel(self._job)

    def _write_lines(self) -> Steps:
        """Write the head, then lines as they come, to the last."""
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
        """Return lines as chunks of the body, with its end after the last."""
        http = self._connection.http
        data = b"".join(http.send(h11.Data(data=msgspec.json.encode(line) + b"\n")) for line in lines)
        return data + http.send(h11.EndOfMessage()) if is_last else data

    def _wait_for_event(self) -> Steps:
        """Wait for the next line; raise ConnectionEndedError where the client closes its connection."""
        connection = self._connection
        may_read = not connection.eof and len(connection.buffer) < MAX_AHEAD_BYTES
        event = yield (connection.sock.fileno(), READ, inf) if may_read else (-1, 0, inf)
        if event == READY:
            connection.fill()
            if connection.eof:
                raise ConnectionEndedError(Reason.PEER_CLOSED)


def load_figures(report: LoadReport) -> dict[str, float]:
    """Return a load report under the protocol's names."""
    figures = {"errors_per_s": 0.0, "backlog": report.queued, "x0": report.free_slots}
    return {name: value for name, value in figures.items() if value is not None}


def load_text(report: LoadReport) -> str:
    """Return a load report as the protocol's text."""
    return "TEXT " + ", ".join(f"{name}={value:g}" for name, value in load_figures(report).items())


def schedule_faults(
    process: EmulatorProcess, servers: Mapping[str, EmulatedServer], schedule: list[ScheduledFault]
) -> None:
    """Have the faults of a schedule begin and end at the servers that they name."""
    for fault in schedule:
        for name in fault.targets:
            if name in servers:
                apply = partial(servers[name].apply_fault, fault, schedule)
                process.call_at(fault.at, partial(apply, begins=True))
                process.call_at(fault.until, partial(apply, begins=False))


def serve(
    day: Day, seed: int, folder: Path | None, now: bool, nodelay: bool = True, part: str = "1/1"
) -> None:
    """Run a day's servers until the end, or one part of them, as NUMBER/COUNT."""
    process = EmulatorProcess(SYSTEM, folder)
    schedule = faults.schedule(day, seed)
    number, count = (int(word) for word in part.split("/"))
    simulated = list(fleet.build(day, seed, schedule).values())[number - 1 :: count]
    servers = {server.name: EmulatedServer(process, server, day, nodelay) for server in simulated}
    schedule_faults(process, servers, schedule)
    addresses = {name: server.listener.address for name, server in servers.items()}
    process.run({"executors": addresses}, now)
