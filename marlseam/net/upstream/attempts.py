"""Attempts: each sends a request to one server and reads the answer, a stream of lines, up to its outcome."""

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

DUPLICATE_ANSWER_MS = 50.0  # time within which a duplicate of an earlier answer arrives on its connection


class AttemptStamp(Protocol):
    """The cluster's configuration version under which an attempt is sent."""

    def stamp_if_serving(self) -> str:
        """Return the value of the version header, or "" if the attempt must not be sent."""

    def record_sent(self) -> None:
        """Count the attempt as sent."""


@dataclass(frozen=True, slots=True)
class AttemptOrder:
    """One attempt to be carried out.

    Attributes:
        request_id: the node's own id of the request.
        attempt_index: index of this attempt among the request's attempts.
        server: the server's name.
        client_request: the request as received from its client.
        until_ms: when the attempt times out, by the loop's clock.
        deadline_at_ms: when the client stops waiting, by the loop's clock.
        await_durable: waits until the attempt is durably recorded and returns whether it is; None if no
            record is kept.
        stamp: the configuration version under which it is sent; None for a node outside a cluster.
        begin_until_ms: by when its last byte must have been written, by the loop's clock; otherwise the
            attempt never ran.
        has_client_left: checks whether the client has disconnected by now; None if there is none to check.

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
    """An attempt whose outcome has not been posted.

    Attributes:
        server: the server's name.
        task: the coroutine that carries it out.
        has_begun: whether its last byte has been written; the server begins the request at this byte.

    """

    server: str
    task: Task | None = None
    has_begun: bool = False


class Attempts:
    """Sends and cancels attempts; each ends with exactly one event, its outcome or `NotDurable`.

    Attributes:
        in_flight: the attempts without an outcome, by request id and attempt index.

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
        """Apply settings; attempts in flight use the new time limits from their next wait on."""
        self.deployment, self.timeouts = deployment, timeouts

    def send(self, order: AttemptOrder) -> None:
        """Start sending an attempt."""
        flight = self.in_flight[order.request_id, order.attempt_index] = InFlightAttempt(order.server)
        flight.task = self.loop.spawn(AttemptRun(self, order, flight).run())

    def cancel(self, request_id: str, attempt_index: int, may_have_begun: bool = True) -> None:
        """Cancel an attempt if it is in flight; with `may_have_begun` false, only if it has not begun."""
        flight = self.in_flight.get((request_id, attempt_index))
        if flight is not None and flight.task is not None and (may_have_begun or not flight.has_begun):
            flight.task.cancel()

    def cancel_unbegun(self, servers: Collection[str]) -> None:
        """Cancel all attempts to the given servers that have not begun."""
        for (request_id, attempt_index), flight in list(self.in_flight.items()) if servers else ():
            if flight.server in servers:
                self.cancel(request_id, attempt_index, may_have_begun=False)

    def has_begun(self, request_id: str, attempt_index: int) -> bool:
        """Return whether an attempt has begun or has ended."""
        flight = self.in_flight.get((request_id, attempt_index))
        return flight is None or flight.has_begun


class AttemptRun:
    """One attempt from sending to its outcome, which is posted exactly once.

    Attributes:
        connection: the connection in use; None before one is acquired and after it is released.
        is_reused: whether the connection carried earlier messages; false once this attempt's answer begins.
        duplicate_until_ms: time until which a refusal may be a duplicate answer to an earlier request.
        outcome: how the attempt ended; None while unknown.
        end_reason: the reason logged for its connection if the connection is closed instead of released.
        is_settled: whether the outcome has been posted.

    """

    def __init__(self, attempts: Attempts, order: AttemptOrder, flight: InFlightAttempt) -> None:
        self.attempts, self.order, self.flight = attempts, order, flight
        self.loop, self.pool = attempts.loop, attempts.pool
        self.server = self.pool.server(order.server)
        self.connection: Connection | None = None
        self.is_reused, self.duplicate_until_ms = False, -inf
        self.outcome: Outcome | None = None
        self.end_reason = Reason.FAULT
        self.is_settled = False

    def run(self) -> Coroutine:
        """Carry the attempt out.

        Without a complete answer, the outcome is posted only after the connection is closed. Guards against
        two attempts of one request in flight at the same time: after a time-out or a malformed line the next
        attempt may be sent at once.
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
        """Wait until the attempt is recorded, send the request and read the answer."""
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
            # Guards the next request on this connection against a late duplicate of this answer: a refusal
            # that states that the request never ran may not name the request, and would be accepted.
            self.release(connection)

    # The connection.

    def acquire(self) -> Steps:
        """Return a connection to the server that accepts bytes without blocking."""
        until_ms = self.order.until_ms
        connection = yield from self.pool.acquire(self.server, self.pool.max_per_server(), until_ms)
        self.connection = connection
        self.is_reused = connection.messages > 0
        if self.is_reused and self.order.client_request.must_run_once:
            self.duplicate_until_ms = connection.used_ms + DUPLICATE_ANSWER_MS
        if self.is_reused:
            # Guards the checks that follow against becoming outdated during a blocked write, and keeps the
            # attempt cancellable as not begun meanwhile.
            yield from connection.wait_writable(until_ms)
        return connection

    def release(self, connection: Connection) -> None:
        """Return the connection to the pool."""
        self.pool.release(self.server, connection)
        self.connection = None

    # The request.

    def send_request(self, connection: Connection, stamp: str) -> Steps:
        """Write the request, unless its time is over or sending would violate an invariant.

        The attempt begins when its last byte is written. Right before each write, the client's connection is
        checked for its end. Guards against work whose client has disconnected: the loop may handle that event
        later in this turn, or the client may have disconnected since the turn began.
        """
        order, now = self.order, self.loop.now()
        begin_until_ms = min(order.until_ms, order.begin_until_ms)
        if now >= begin_until_ms:
            # Guards the deadline, and servers' records of idempotency keys, against a connection that is
            # established late.
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
        """Return whether the invariants allow the attempt now, given the time left in its headers."""
        guard, order = self.attempts.guard, self.order
        time_left_ms = 1000.0 * float(dict(headers)[protocol.TIME_LEFT_HEADER])
        if guard is None:
            return True
        return guard.admit(order.request_id, order.attempt_index, self.server.name, time_left_ms, now)

    # The answer.

    def read_answer(self, connection: Connection) -> Steps:
        """Read the answer up to the line or head that decides the outcome, and post the outcome."""
        answer = yield from connection.answer(self.silence_until_ms(self.attempts.timeouts.accept_ms))
        self.is_reused = False
        if answer.status_code == 200:
            line = yield from self.read_last_line(connection)
            self.outcome = line.outcome
            self.settle(line.outcome, line.report, line.result)
        else:
            self.settle_refusal(answer.status_code, Head(answer.headers))

    def read_last_line(self, connection: Connection) -> Steps:
        """Read the lines of an answer, post starts and progress, and return the last line."""
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
        """Parse one line; raises MalformedMessageError if it returns a started request as never started."""
        line = protocol.parse_line(raw, self.order.client_request.id, self.order.server, names)
        if line.outcome is Outcome.AT_CAPACITY and has_started:
            raise MalformedMessageError("the server returned a request unstarted after reporting its start")
        return line

    def post_progress(self, line: AnswerLine) -> None:
        """Post the start or the progress that a line before the last one reports."""
        request_id, attempt_index = self.order.request_id, self.order.attempt_index
        if line.has_started:
            self.attempts.post(AttemptStarted(request_id, attempt_index))
        elif line.progress is not None:
            self.attempts.post(AttemptProgressed(request_id, attempt_index, line.progress))

    def silence_until_ms(self, silence_ms: float) -> float:
        """Return until when to wait for the server's next bytes, at most `silence_ms` from now.

        Guards against connections that fall silent while their server keeps running. Unsafe requests wait
        until the attempt times out, since they cannot be sent to another server.
        """
        if self.order.client_request.is_unsafe:
            return self.order.until_ms
        return min(self.order.until_ms, self.loop.now() + silence_ms)

    # The outcome.

    def outcome_of_end(self, reason: Reason) -> Outcome:
        """Return the outcome of an attempt whose connection ended for a reason."""
        if not self.flight.has_begun:
            return Outcome.CANCELLED_UNSENT if reason is Reason.WITHDRAWN else Outcome.UNREACHABLE
        if reason is Reason.TIMED_OUT:
            return Outcome.TIMED_OUT
        return Outcome.STALE_CONNECTION if self.is_reused and reason in CONNECTION_LOST else Outcome.BROKEN

    def settle_refusal(self, status: int, head: Head) -> None:
        """Post the outcome of an answer with another status than 200, which has no lines."""
        report = protocol.report_from(head.get(protocol.LOAD_HEADER), self.attempts.deployment.report_names)
        outcome = protocol.outcome_of_refusal(status, head)
        if outcome is not Outcome.INVALID_REQUEST and self.loop.now() < self.duplicate_until_ms:
            # Guards requests that must not run twice: this refusal names no request, and may be a duplicate
            # answer to the previous request on this connection.
            raise MalformedMessageError(
                "refusal may be a duplicate answer to the previous request on this connection"
            )
        self.outcome = outcome
        self.settle(outcome, report)

    def settle(self, outcome: Outcome, report: LoadReport | None = None, result: bytes = b"") -> None:
        """Post the outcome, unless it was already posted."""
        if self.is_settled:
            return
        self.remove_from_in_flight(outcome)
        is_complete = outcome is Outcome.COMPLETED
        request_id, attempt_index = self.order.request_id, self.order.attempt_index
        self.attempts.post(AttemptEnded(request_id, attempt_index, outcome, is_complete, report, result))

    def settle_unsent(self) -> None:
        """Post that the attempt was not sent: it is not durably recorded, or the node may not serve."""
        self.remove_from_in_flight(Outcome.CANCELLED_UNSENT)
        self.attempts.post(NotDurable(self.order.request_id, self.order.attempt_index))

    def remove_from_in_flight(self, outcome: Outcome) -> None:
        """Remove the attempt from those in flight."""
        self.is_settled = True
        request_id, attempt_index = self.order.request_id, self.order.attempt_index
        self.attempts.in_flight.pop((request_id, attempt_index), None)
        if self.attempts.guard is not None:
            self.attempts.guard.note_outcome(request_id, attempt_index, outcome)
