"""Connections to servers: the pool, attempts as streams of lines, and probes."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from math import inf
from typing import Protocol

import h11

from marlseam.configuration import Deployment
from marlseam.core import (
    FORGET_AFTER_POLLS,
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    Event,
    NotDurable,
    ProbeEnded,
)
from marlseam.counters import Counters
from marlseam.decisions.types import LoadReport, Outcome
from marlseam.net import protocol
from marlseam.net.connection import Connection, Ended, Steps, connect
from marlseam.net.invariants import SendGuard
from marlseam.net.log import Log, Reason
from marlseam.net.loop import READ, READY, Cancelled, Coroutine, Loop, Task
from marlseam.net.protocol import Head, Job, Malformed

IDLE_SHARE = 0.7  # of the settings' time, after which an unused connection is closed
PROBE_SHARE = 2.0  # how long a probe may take, in latency objectives of the most urgent request class
TAKE_SHARE = 1.0  # how long a server may take to say that it has a job, likewise
GAP_PERIODS = 2.5  # how long it may say nothing of one that has started, in progress periods
END_SHARE = 1.0  # how long the end of an answer may take after its last line, likewise
PROBE_PLACES = 4  # connections to a server that probes may open beyond those of attempts
FIRST_LOOK = 0.5  # of a probe's time, after which it is made once more on a new connection
SECOND_MS = 50.0  # by when a second answer has come at the latest: the page says some milliseconds
CUT = (Reason.PEER_CLOSED, Reason.PEER_RESET, Reason.REFUSED)  # what ends one connection, and maybe no other
FAILED = {  # what a probe's end says of its server; any other is a break
    Reason.TIMED_OUT: Outcome.TIMED_OUT,
    Reason.NO_CONNECT: Outcome.UNREACHABLE,
    Reason.NO_SOCKETS: Outcome.CANCELLED_UNSENT,  # nothing: the lack is ours
}
PEER_SHARE, PEER_LEAST = 0.25, 4  # most connections to one server, as a share of all, and at least


@dataclass(frozen=True, slots=True)
class AttemptOrder:
    """One attempt to be carried out."""

    request_id: str
    attempt_index: int
    server: str
    job: Job
    until_ms: float
    deadline_at_ms: float
    gate: Callable[[], Steps] | None = None  # must be over, and say yes, before anything goes out
    stands: "AttemptStamp | None" = None  # where the node is of a fleet
    begins_ms: float = inf  # before which its last byte goes out, or it never ran
    left: Callable[[], bool] | None = None  # whether its client has gone, as a look at that moment has it


class AttemptStamp(Protocol):
    """On what an attempt stands, as a fleet knows it."""

    def goes(self) -> str:
        """Return what tells that, or nothing where it must not go out."""

    def went(self) -> None:
        """Count it: it has gone out."""


@dataclass
class InFlightAttempt:
    """An attempt until its outcome is told, and whether it has begun: its last byte has gone out.

    An executor begins a request then.
    """

    server: str
    task: Task | None = None
    begun: bool = False


@dataclass
class ServerConnections:
    """One server: where it is, the connections to it, and those that stand unused."""

    name: str
    address: tuple[str, int] | None = None
    listed: bool = True
    left_ms: float | None = None  # since when it is off the list
    count: int = 0
    idle: list[tuple[Connection, Task]] = field(default_factory=list)


class Upstream:
    """Carries out sends, cancels and probes, and hands what comes of them to the reducer."""

    def __init__(
        self,
        loop: Loop,
        log: Log,
        deployment: Deployment,
        places: int,
        post: Callable[[Event], None],
        counters: Counters,
    ) -> None:
        self.loop, self.log, self.post, self.counters = loop, log, post, counters
        self.peers: dict[str, ServerConnections] = {}
        self.out: dict[tuple[str, int], InFlightAttempt] = {}
        self.guard: SendGuard | None = None  # looks at each attempt right before it begins
        self.configure(deployment, places)

    def configure(self, deployment: Deployment, places: int) -> None:
        """Take in settings and how many connections there may be."""
        self.deployment, self.places = deployment, places
        urgent = deployment.settings.shortest_objective_ms
        self.idle_ms = IDLE_SHARE * deployment.keepalive_ms
        self.probe_ms, self.end_ms, self.take_ms = (
            PROBE_SHARE * urgent,
            END_SHARE * urgent,
            TAKE_SHARE * urgent,
        )
        self.gap_ms = GAP_PERIODS * deployment.settings.progress_period_ms or inf
        while self.open() > places and self.make_room():
            pass

    # The list.

    def listed(self, names: Collection[str], addresses: dict[str, tuple[str, int]]) -> None:
        """Take in which servers there are, and the addresses of some."""
        moved = set()
        for name, address in addresses.items():
            peer = self.peers.setdefault(name, ServerConnections(name))
            if peer.address not in (None, address):
                self.empty(peer)
                moved.add(name)
            peer.address, peer.listed, peer.left_ms = address, True, None
        settings, now = self.deployment.settings, self.loop.now()
        kept_ms = FORGET_AFTER_POLLS * settings.list_max_age_ms if settings.only_draining_excludes else 0.0
        for peer in [peer for peer in self.peers.values() if peer.name not in names]:
            # Where draining alone binds it may still be sent to, for as long as the reducer knows it.
            peer.left_ms = now if peer.left_ms is None else peer.left_ms
            if now - peer.left_ms < kept_ms:
                continue
            peer.listed = False
            self.empty(peer)
            self.forget(peer)
        # Guards whoever is at a server's old address now against work meant for it.
        for key, flight in list(self.out.items()) if moved else ():
            if flight.server in moved:
                self.cancel(*key, begun=False)

    def empty(self, peer: ServerConnections, reason: Reason = Reason.FORGOTTEN) -> None:
        """Close the unused connections to a server."""
        while peer.idle:
            self.end(peer, self.checked_out(peer), reason)

    def close(self) -> None:
        """Close all unused connections, as the node ends."""
        for peer in list(self.peers.values()):
            self.empty(peer, Reason.DRAINING)

    def forget(self, peer: ServerConnections) -> None:
        """Forget a server that has left once no connection to it is left."""
        if not peer.listed and not peer.count and self.peers.get(peer.name) is peer:
            del self.peers[peer.name]

    # The pool.

    def open(self) -> int:
        """Return how many connections to servers there are."""
        return sum(peer.count for peer in self.peers.values())

    def limit(self) -> int:
        """Return how many connections one server may get for attempts."""
        return max(PEER_LEAST, int(PEER_SHARE * self.places))

    def make_room(self) -> bool:
        """Close the connection that has stood unused for longest; return whether there was one."""
        peer = min(
            (peer for peer in self.peers.values() if peer.idle),
            key=lambda peer: peer.idle[0][0].used_ms,
            default=None,
        )
        if peer is None:
            return False
        connection, watch = peer.idle.pop(0)
        watch.cancel()
        self.end(peer, connection, Reason.CROWDED)
        return True

    def checked_out(self, peer: ServerConnections) -> Connection:
        """Take the unused connection that was used last."""
        connection, watch = peer.idle.pop()
        watch.cancel()
        return connection

    def acquire(self, peer: ServerConnections, places: int, until_ms: float, fresh: bool = False) -> Steps:
        """Return a connection: one that is unused and still open, else or if wished a new one."""
        while peer.idle and not fresh:
            connection = self.checked_out(peer)
            if connection.quiet():
                return connection
            self.end(peer, connection, Reason.PEER_CLOSED)
        if peer.address is None or peer.count >= places:
            raise Ended(Reason.NO_SOCKETS)
        if self.open() >= self.places and not self.make_room():
            raise Ended(Reason.NO_SOCKETS)
        peer.count += 1
        try:
            until = min(until_ms, self.loop.now() + self.deployment.connect_ms)
            return (yield from connect(self.loop, self.log, peer.address, f"executor {peer.name}", until))
        except BaseException:
            peer.count -= 1
            raise

    def release(self, peer: ServerConnections, connection: Connection) -> None:
        """Keep a connection for later, where both sides may go on."""
        if peer.listed and connection.address == peer.address and connection.again():
            watch = self.loop.spawn(self.watch(peer, connection))
            peer.idle.append((connection, watch))
        else:
            self.end(peer, connection, Reason.DONE)

    def watch(self, peer: ServerConnections, connection: Connection) -> Coroutine:
        """Close an unused connection once its time is over or anything comes on it."""
        came = yield (connection.sock.fileno(), READ, self.loop.now() + self.idle_ms)
        peer.idle = [pair for pair in peer.idle if pair[0] is not connection]
        self.end(peer, connection, Reason.PEER_CLOSED if came == READY else Reason.IDLE)

    def end(self, peer: ServerConnections, connection: Connection, reason: Reason) -> None:
        """Close a connection."""
        connection.close(reason)
        peer.count -= 1
        self.forget(peer)

    # Attempts.

    def send(self, order: AttemptOrder) -> None:
        """Send a request's attempt."""
        flight = self.out[order.request_id, order.attempt_index] = InFlightAttempt(order.server)
        flight.task = self.loop.spawn(self.allocation(order, flight))

    def cancel(self, request_id: str, attempt_index: int, begun: bool = True) -> None:
        """Give up an attempt; where not `begun`, only if its last byte has not gone out."""
        flight = self.out.get((request_id, attempt_index))
        if flight is not None and flight.task is not None and (begun or not flight.begun):
            flight.task.cancel()

    def begun(self, request_id: str, attempt_index: int) -> bool:
        """Return whether an attempt has begun, or is over."""
        flight = self.out.get((request_id, attempt_index))
        return flight is None or flight.begun

    def allocation(self, order: AttemptOrder, flight: InFlightAttempt) -> Coroutine:
        """Carry one attempt from its sending to its outcome, which is told exactly once.

        Where there is no whole answer it is told once the connection is closed. Guards against two that are
        out together: what is told of a time-out or a broken line may have the next one go out at once.
        """
        request_id, attempt_index, job, until = (
            order.request_id,
            order.attempt_index,
            order.job,
            order.until_ms,
        )
        peer = self.peers.get(order.server) or ServerConnections(order.server, listed=False)
        connection, written, told, kept = None, False, False, False
        outcome: Outcome | None = None

        def tell(outcome: Outcome, report: LoadReport | None = None, result: bytes = b"") -> None:
            nonlocal told
            if not told:
                told = True
                self.out.pop((request_id, attempt_index), None)
                if self.guard is not None:
                    self.guard.settled(request_id, attempt_index, outcome)
                self.post(
                    AttemptEnded(
                        request_id, attempt_index, outcome, outcome is Outcome.COMPLETED, report, result
                    )
                )

        def unkept() -> None:
            nonlocal told
            told = True
            self.out.pop((request_id, attempt_index), None)
            if self.guard is not None:
                self.guard.settled(request_id, attempt_index, Outcome.CANCELLED_UNSENT)
            self.post(NotDurable(request_id, attempt_index))

        reason = Reason.FAULT
        try:
            if order.gate is not None and not (yield from order.gate()):
                unkept()
                return
            connection = yield from self.acquire(peer, self.limit(), until)
            kept = connection.messages > 0
            doubt_until = connection.used_ms + SECOND_MS if kept and job.once else -inf
            if kept:
                # Guards the looks below, and what may be called off, against a wait behind them.
                yield from connection.takes(until)
            acting = order.stands.goes() if order.stands is not None else ""
            if order.stands is not None and not acting:
                self.release(peer, connection)
                connection = None
                unkept()
                return
            now, goes_until = self.loop.now(), min(until, order.begins_ms)
            if now >= goes_until:
                # Guards the deadline, and the memory of pods, against a connection that comes up late.
                raise Ended(Reason.TIMED_OUT)
            headers = protocol.job_headers(job, peer.name, order.deadline_at_ms - now, acting)
            told_ms = 1000.0 * float(dict(headers)[protocol.TIME_LEFT])
            if self.guard is not None and not self.guard.allows(
                request_id, attempt_index, peer.name, told_ms, now
            ):
                raise Ended(Reason.WITHDRAWN)
            request = h11.Request(method="POST", target=job.target, headers=headers)
            # It begins with its last byte. The look at its client guards against work for nobody: the end may
            # be handled later in this turn, or have come since that began.
            yield from connection.message(request, job.body, goes_until, order.left)
            written = flight.begun = True
            if order.stands is not None:
                order.stands.went()
            self.counters.attempts += 1
            answer = yield from connection.answer(self.patience(job, until, self.take_ms))
            kept, head = False, Head(answer.headers)
            if answer.status_code == 200:
                line = yield from self.last_line(connection, order)
                outcome = line.end
                tell(outcome, line.report, line.result)
            else:
                report = protocol.report_from(head.get(protocol.LOAD), self.deployment.report_names)
                said = protocol.refusal(answer.status_code, head)
                if said is not Outcome.INVALID_REQUEST and self.loop.now() < doubt_until:
                    # Guards what may not run twice: this names no request, and may be a second answer to
                    # what the connection carried before.
                    raise Malformed("perhaps a second answer")
                outcome = said
                tell(outcome, report)
            yield from connection.body(protocol.BODY_MOST, self.loop.now() + self.end_ms)
            reason = Reason.DONE
            if outcome is not Outcome.AT_CAPACITY:
                # Guards what is sent next against a second answer that comes late: what says that it never
                # ran may name no request, and would be believed.
                self.release(peer, connection)
                connection = None
        except Ended as ended:
            reason = ended.reason
            if not written:
                outcome = Outcome.CANCELLED_UNSENT if reason is Reason.WITHDRAWN else Outcome.UNREACHABLE
            elif reason is Reason.TIMED_OUT:
                outcome = Outcome.TIMED_OUT
            else:
                outcome = Outcome.STALE_CONNECTION if kept and reason in CUT else Outcome.BROKEN
        except Malformed:
            reason = Reason.BAD_MESSAGE
        except Cancelled:
            reason = Reason.WITHDRAWN
            outcome = Outcome.CANCELLED if written else Outcome.CANCELLED_UNSENT
            raise
        finally:
            if connection is not None:
                self.end(peer, connection, reason)
            self.forget(peer)
            tell(outcome or (Outcome.BROKEN if written else Outcome.CANCELLED_UNSENT))

    def patience(self, job: Job, until_ms: float, silence_ms: float) -> float:
        """Return until when to wait for a server's next word.

        Guards against connections that fall silent while their executor goes on. Only exclusive work, which
        cannot go elsewhere, waits to the end.
        """
        if job.exclusive:
            return until_ms
        return min(until_ms, self.loop.now() + silence_ms)

    def last_line(self, connection: Connection, order: AttemptOrder) -> Steps:
        """Read an answer's lines, tell of starts and progress, and return the last one."""
        lines, names, until = protocol.Lines(), self.deployment.report_names, order.until_ms
        ran = False
        while True:
            event = yield from connection.event(until)
            if type(event) is not h11.Data:
                raise Ended(Reason.PEER_CLOSED)
            for raw in lines.feed(bytes(event.data)):
                line = protocol.line_from(raw, order.job.id, order.server, names)
                if line.end is Outcome.AT_CAPACITY and ran:
                    raise Malformed("handed back unstarted after a start")
                if line.end is not None:
                    return line
                ran = True
                until = self.patience(order.job, order.until_ms, self.gap_ms)
                if line.started:
                    self.post(AttemptStarted(order.request_id, order.attempt_index))
                elif line.share is not None:
                    self.post(AttemptProgressed(order.request_id, order.attempt_index, line.share))

    # Probes.

    def probe(self, name: str) -> None:
        """Ask a server for its report."""
        self.loop.spawn(self.asking(name))

    def asking(self, name: str) -> Coroutine:
        """Carry one probe to its end."""
        peer = self.peers.get(name) or ServerConnections(name, listed=False)
        began, report, outcome = self.loop.now(), None, Outcome.BROKEN
        until = began + self.probe_ms
        try:
            try:
                outcome, report = yield from self.look(peer, began + FIRST_LOOK * self.probe_ms)
            except Ended as ended:
                if ended.reason not in (*CUT, Reason.TIMED_OUT):
                    raise
                # Guards servers against blame for one connection, such as a kept one that they had closed.
                began = self.loop.now()
                outcome, report = yield from self.look(peer, until, fresh=True)
        except Ended as ended:
            outcome = FAILED.get(ended.reason, Outcome.BROKEN)
        finally:
            self.forget(peer)
            self.post(ProbeEnded(name, outcome, self.loop.now() - began, report))

    def look(self, peer: ServerConnections, until: float, fresh: bool = False) -> Steps:
        """Make one call for a report; return how it ended, and the report."""
        reason, places = Reason.FAULT, self.limit() + PROBE_PLACES
        connection = yield from self.acquire(peer, places, until, fresh)
        try:
            request = h11.Request(method="GET", target=protocol.LOAD_PATH, headers=[("Host", peer.name)])
            yield from connection.message(request, b"", until)
            answer = yield from connection.answer(until)
            body = yield from connection.body(protocol.BODY_MOST, until)
            report = protocol.load_from(body, Head(answer.headers), self.deployment.report_names)
            outcome = {200: Outcome.COMPLETED, 503: Outcome.AT_CAPACITY}.get(
                answer.status_code, Outcome.ERROR
            )
            reason = Reason.DONE
            if outcome is Outcome.COMPLETED:  # a refusal might come twice: see above
                self.release(peer, connection)
                connection = None
            return outcome, report
        except Ended as ended:
            reason = ended.reason
            raise
        finally:
            if connection is not None:
                self.end(peer, connection, reason)
