"""Attempts: each carries a request to one server and reads the answer, a stream of lines, to its outcome."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from math import inf
from typing import Protocol

import h11

from marlseam.configuration import Deployment
from marlseam.core import AttemptEnded, AttemptProgressed, AttemptStarted, Event, NotDurable
from marlseam.counters import Counters
from marlseam.decisions.types import LoadReport, Outcome
from marlseam.net import protocol
from marlseam.net.connection import Connection, Headers, Steps
from marlseam.net.errors import ConnectionEndedError, MalformedMessageError
from marlseam.net.invariants import SendGuard
from marlseam.net.log import Reason
from marlseam.net.loop import Cancelled, Coroutine, Loop, Task
from marlseam.net.protocol import AnswerLine, ClientRequest, Head
from marlseam.net.upstream.pool import CONNECTION_LOST, ConnectionPool
from marlseam.net.upstream.timeouts import UpstreamTimeouts

DUPLICATE_ANSWER_MS = 50.0  # by when a second answer to an earlier request has come on its connection


class AttemptStamp(Protocol):
    """The configuration version that an attempt is sent under, as a cluster knows it."""

    def stamp_if_serving(self) -> str:
        """Return the header that tells the version, or "" where the attempt must not go out."""

    def record_sent(self) -> None:
        """Count the attempt: it has gone out."""


@dataclass(frozen=True, slots=True)
class AttemptOrder:
    """One attempt to be carried out.

    Attributes:
        request_id: the node's own name of the request.
        attempt_index: which of its attempts this is.
        server: the server's name.
        client_request: the request as its client wrote it.
        until_ms: when the attempt times out, by the loop's clock.
        deadline_at_ms: until when the client waits, by the loop's clock.
        await_durable: waits until the attempt is on record and returns whether it is; None for no record.
        stamp: the configuration version it is sent under; None for a node of no cluster.
        begin_until_ms: by when its last byte must have gone out, else it never ran.
        has_client_left: looks whether the client has gone at that moment; None for nobody to look at.

    """

    request_id: str
    attempt_index: int
    server: str
    client_request: ClientRequest
    until_ms: float
    deadline_at_ms: float
    await_durable: Callable[[], Steps] | None = None
    stamp: AttemptStamp | None = None
    begin_until_ms: float = inf
    has_client_left: Callable[[], bool] | None = None


@dataclass
class InFlightAttempt:
    """An attempt until its outcome is posted.

    Attributes:
        server: the server's name.
        task: the coroutine that carries it out.
        has_begun: whether its last byte has gone out, at which the server begins the request.

    """

    server: str
    task: Task | None = None
    has_begun: bool = False


class Attempts:
    """Sends and cancels attempts; each ends with exactly one event, its outcome or `NotDurable`.

    Attributes:
        in_flight: by request and attempt index, those without an outcome.

    """

    def __init__(
        self,
        loop: Loop,
        pool: ConnectionPool,
        deployment: Deployment,
        timeouts: UpstreamTimeouts,
        post: Callable[[Event], None],
        counters: Counters,
        guard: SendGuard | None,
    ) -> None:
        self.loop, self.pool, self.post, self.counters, self.guard = loop, pool, post, counters, guard
        self.in_flight: dict[tuple[str, int], InFlightAttempt] = {}
        self.configure(deployment, timeouts)

    def configure(self, deployment: Deployment, timeouts: UpstreamTimeouts) -> None:
        """Take in settings; attempts in flight go by them from their next wait on."""
        self.deployment, self.timeouts = deployment, timeouts

    def send(self, order: AttemptOrder) -> None:
        """Send an attempt."""
        flight = self.in_flight[order.request_id, order.attempt_index] = InFlightAttempt(order.server)
        flight.task = self.loop.spawn(AttemptRun(self, order, flight).run())

    def cancel(self, request_id: str, attempt_index: int, may_have_begun: bool = True) -> None:
        """Cancel an attempt that is in flight; where it may not have begun, only one that has not."""
        flight = self.in_flight.get((request_id, attempt_index))
        if flight is not None and flight.task is not None and (may_have_begun or not flight.has_begun):
            flight.task.cancel()

    def cancel_unbegun(self, servers: Collection[str]) -> None:
        """Cancel the attempts to some servers that have not begun."""
        for (request_id, attempt_index), flight in list(self.in_flight.items()) if servers else ():
            if flight.server in servers:
                self.cancel(request_id, attempt_index, may_have_begun=False)

    def has_begun(self, request_id: str, attempt_index: int) -> bool:
        """Return whether an attempt has begun, or is over."""
        flight = self.in_flight.get((request_id, attempt_index))
        return flight is None or flight.has_begun


class AttemptRun:
    """One attempt from its sending to its outcome, which is posted exactly once.

    Attributes:
        connection: the one it holds; None before, and after it is released.
        is_reused: whether that carried messages before, until this one's answer begins.
        suspect_until_ms: before which a refusal may be a second answer to an earlier request.
        outcome: how it ended, once known.
        end_reason: why its connection ends where it is not released.
        is_settled: whether its outcome was posted.

    """

    def __init__(self, attempts: Attempts, order: AttemptOrder, flight: InFlightAttempt) -> None:
        self.attempts, self.order, self.flight = attempts, order, flight
        self.loop, self.pool = attempts.loop, attempts.pool
        self.server = self.pool.server(order.server)
        self.connection: Connection | None = None
        self.is_reused, self.suspect_until_ms = False, -inf
        self.outcome: Outcome | None = None
        self.end_reason = Reason.FAULT
        self.is_settled = False

    def run(self) -> Coroutine:
        """Carry the attempt out.

        Without a whole answer the outcome is posted only once the connection is closed. Guards against two
        attempts that are out together: a time-out or a broken line may have the next one go out at once.
        """
        try:
            yield from self.exchange()
        except ConnectionEndedError as end:
            self.end_reason = end.reason
            self.outcome = self.outcome_of_end(end.reason)
        except MalformedMessageError:
            self.end_reason = Reason.BAD_MESSAGE
        except Cancelled:
            self.end_reason = Reason.WITHDRAWN
            self.outcome = Outcome.CANCELLED if self.flight.has_begun else Outcome.CANCELLED_UNSENT
            raise
        finally:
            if self.connection is not None:
                self.pool.close_connection(self.server, self.connection, self.end_reason)
            self.pool.forget_if_unused(self.server)
            unknown = Outcome.BROKEN if self.flight.has_begun else Outcome.CANCELLED_UNSENT
            self.settle(self.outcome or unknown)

    def exchange(self) -> Steps:
        """Wait for the record, send the request and read the answer."""
        order = self.order
        if order.await_durable is not None and not (yield from order.await_durable()):
            self.settle_unsent()
            return
        connection = yield from self.acquire()
        stamp = order.stamp.stamp_if_serving() if order.stamp is not None else ""
        if order.stamp is not None and not stamp:
            self.release(connection)
            self.settle_unsent()
            return
        yield from self.send_request(connection, stamp)
        yield from self.read_answer(connection)
        end_until_ms = self.loop.now() + self.attempts.timeouts.answer_end_ms
        yield from connection.body(protocol.MAX_BODY_BYTES, end_until_ms)
        self.end_reason = Reason.DONE
        if self.outcome is not Outcome.AT_CAPACITY:
            # Guards what is sent next against a second answer that comes late: what says that it never
            # ran may name no request, and would be believed.
            self.release(connection)

    # The connection.

    def acquire(self) -> Steps:
        """Take a connection that accepts bytes at once, and return it."""
        until_ms = self.order.until_ms
        connection = yield from self.pool.acquire(self.server, self.pool.max_per_server(), until_ms)
        self.connection = connection
        self.is_reused = connection.messages > 0
        if self.is_reused and self.order.client_request.must_run_once:
            self.suspect_until_ms = connection.used_ms + DUPLICATE_ANSWER_MS
        if self.is_reused:
            # Guards the checks that follow, and what may still be cancelled, against a wait behind them.
            yield from connection.wait_writable(until_ms)
        return connection

    def release(self, connection: Connection) -> None:
        """Give the connection back to the pool."""
        self.pool.release(self.server, connection)
        self.connection = None

    # The request.

    def send_request(self, connection: Connection, stamp: str) -> Steps:
        """Write the request, unless it is too late or would break an invariant.

        The attempt begins with its last byte. Whether the client has left is asked right before each write.
        Guards against work for nobody: the client's end may be handled later in this turn, or have come since
        that began.
        """
        order, now = self.order, self.loop.now()
        begin_until_ms = min(order.until_ms, order.begin_until_ms)
        if now >= begin_until_ms:
            # Guards the deadline, and servers' records of keys, against a connection that comes up late.
            raise ConnectionEndedError(Reason.TIMED_OUT)
        headers = protocol.attempt_headers(
            order.client_request, self.server.name, order.deadline_at_ms - now, stamp
        )
        if not self.is_allowed(headers, now):
            raise ConnectionEndedError(Reason.WITHDRAWN)
        request = h11.Request(method="POST", target=order.client_request.target, headers=headers)
        yield from connection.message(
            request, order.client_request.body, begin_until_ms, order.has_client_left
        )
        self.flight.has_begun = True
        if order.stamp is not None:
            order.stamp.record_sent()
        self.attempts.counters.attempts += 1

    def is_allowed(self, headers: Headers, now: float) -> bool:
        """Return whether the invariants allow the attempt now, with the deadline that its headers tell."""
        guard, order = self.attempts.guard, self.order
        time_left_ms = 1000.0 * float(dict(headers)[protocol.TIME_LEFT])
        if guard is None:
            return True
        return guard.admit(order.request_id, order.attempt_index, self.server.name, time_left_ms, now)

    # The answer.

    def read_answer(self, connection: Connection) -> Steps:
        """Read the answer up to what decides the outcome, and post that."""
        answer = yield from connection.answer(self.silence_until_ms(self.attempts.timeouts.accept_ms))
        self.is_reused = False
        if answer.status_code == 200:
            line = yield from self.read_last_line(connection)
            self.outcome = line.outcome
            self.settle(line.outcome, line.report, line.result)
        else:
            self.settle_refusal(answer.status_code, Head(answer.headers))

    def read_last_line(self, connection: Connection) -> Steps:
        """Read an answer's lines, post starts and progress, and return the last line."""
        lines, until_ms = protocol.Lines(), self.order.until_ms
        names = self.attempts.deployment.report_names
        has_started = False
        while True:
            event = yield from connection.event(until_ms)
            if type(event) is not h11.Data:
                raise ConnectionEndedError(Reason.PEER_CLOSED)
            for raw in lines.feed(bytes(event.data)):
                line = self.parse_line(raw, names, has_started)
                if line.outcome is not None:
                    return line
                has_started = True
                until_ms = self.silence_until_ms(self.attempts.timeouts.progress_gap_ms)
                self.post_progress(line)

    def parse_line(self, raw: bytes, names: Mapping[str, str], has_started: bool) -> AnswerLine:
        """Parse one line; raises where it hands a request back unstarted that has started."""
        line = protocol.parse_line(raw, self.order.client_request.id, self.order.server, names)
        if line.outcome is Outcome.AT_CAPACITY and has_started:
            raise MalformedMessageError("handed back unstarted after a start")
        return line

    def post_progress(self, line: AnswerLine) -> None:
        """Post what a line that is not the last one tells."""
        request_id, attempt_index = self.order.request_id, self.order.attempt_index
        if line.has_started:
            self.attempts.post(AttemptStarted(request_id, attempt_index))
        elif line.progress is not None:
            self.attempts.post(AttemptProgressed(request_id, attempt_index, line.progress))

    def silence_until_ms(self, silence_ms: float) -> float:
        """Return until when to wait for a server's next word.

        Guards against connections that fall silent while their server goes on. Only unsafe requests, which
        cannot go elsewhere, wait to the end.
        """
        if self.order.client_request.is_unsafe:
            return self.order.until_ms
        return min(self.order.until_ms, self.loop.now() + silence_ms)

    # The outcome.

    def outcome_of_end(self, reason: Reason) -> Outcome:
        """Return what the connection's end says of the attempt."""
        if not self.flight.has_begun:
            return Outcome.CANCELLED_UNSENT if reason is Reason.WITHDRAWN else Outcome.UNREACHABLE
        if reason is Reason.TIMED_OUT:
            return Outcome.TIMED_OUT
        return Outcome.STALE_CONNECTION if self.is_reused and reason in CONNECTION_LOST else Outcome.BROKEN

    def settle_refusal(self, status: int, head: Head) -> None:
        """Post the outcome of an answer that is no stream of lines."""
        report = protocol.report_from(head.get(protocol.LOAD), self.attempts.deployment.report_names)
        outcome = protocol.outcome_of_refusal(status, head)
        if outcome is not Outcome.INVALID_REQUEST and self.loop.now() < self.suspect_until_ms:
            # Guards what may not run twice: this names no request, and may be a second answer to what the
            # connection carried before.
            raise MalformedMessageError("perhaps a second answer")
        self.outcome = outcome
        self.settle(outcome, report)

    def settle(self, outcome: Outcome, report: LoadReport | None = None, result: bytes = b"") -> None:
        """Post the outcome, unless that was done."""
        if self.is_settled:
            return
        self.remove_from_in_flight(outcome)
        is_complete = outcome is Outcome.COMPLETED
        request_id, attempt_index = self.order.request_id, self.order.attempt_index
        self.attempts.post(AttemptEnded(request_id, attempt_index, outcome, is_complete, report, result))

    def settle_unsent(self) -> None:
        """Post that the attempt was not sent: it is not on record, or the node may not serve."""
        self.remove_from_in_flight(Outcome.CANCELLED_UNSENT)
        self.attempts.post(NotDurable(self.order.request_id, self.order.attempt_index))

    def remove_from_in_flight(self, outcome: Outcome) -> None:
        """Note that the attempt is in flight no more."""
        self.is_settled = True
        request_id, attempt_index = self.order.request_id, self.order.attempt_index
        self.attempts.in_flight.pop((request_id, attempt_index), None)
        if self.attempts.guard is not None:
            self.attempts.guard.note_outcome(request_id, attempt_index, outcome)
