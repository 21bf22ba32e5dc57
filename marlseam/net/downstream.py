"""The side towards clients: accepts their connections, reads requests and writes answers."""

import socket
import traceback
from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus
from math import inf

import h11

from marlseam.configuration import Config, Deployment
from marlseam.net import http, protocol
from marlseam.net.connection import Connection, Steps
from marlseam.net.errors import ConnectionEndedError, MalformedMessageError
from marlseam.net.invariants import Invariant, Violations
from marlseam.net.log import Log, Reason
from marlseam.net.loop import LATE, READ, READY, WOKEN, Cancelled, Coroutine, Loop, Task, Timer, sleep
from marlseam.net.pending_request import PendingRequest

IDLE_TIMEOUT_MS = 300000.0  # how long a client may keep an unused connection
DRAIN_CHECK_MS = 20.0  # how often a drain looks for unused connections
NEW_GRACE_MS = 250.0  # for which a new connection that has sent nothing is not closed to make room
MAX_NEW_SHARE = 0.25  # of the clients' connections, which new ones may have before they are closed for others
# How long a request may take to come: the first from connecting, others from their first byte.
READ_TIMEOUT_MS = 2500.0
WRITE_TIMEOUT_MS = 2500.0  # how long a client may take to read its answer


@dataclass(frozen=True)
class AdmissionLimits:
    """What clients may have of the node's limits.

    Attributes:
        clients: connections.
        body_bytes: memory for the bodies of their requests together.

    """

    clients: int
    body_bytes: float


class DownstreamServer:
    """Accepts connections and serves each by a coroutine.

    Attributes:
        is_ready: asks the node whether clients should come.
        take_request: hands a request to the node and returns the node's own name of it.
        client_left: tells the node that the client of a request has gone.
        open: all connections.
        idle: those between requests, the longest unused first.
        unproven: those that have sent nothing good, the oldest first.
        reading: those whose request has begun to come.
        reserved_bytes: memory reserved for the bodies of requests.
        unanswered: requests that were read and have no answer yet, by their correlation ids.
        correlation_ids: of the requests that are with the node.
        limits: how many clients there may be, and how many bytes of bodies.
        violations: counts connections closed over an unanswered request; None where nothing is counted.
        drain_timer: the next check of a drain; None while there is none.
        close_answered_at_ms, close_idle_at_ms: from when on each answer closes its connection, and unused
            connections are closed; inf while no drain is on.
        shared: whether another process listens on the socket as well.
        listener: None until the node listens.

    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        config: Config,
        limits: AdmissionLimits,
        ready: Callable[[], bool],
        take: Callable[[PendingRequest], str],
        left: Callable[[str], None],
    ) -> None:
        self.loop, self.log = loop, log
        self.is_ready, self.take_request, self.client_left = ready, take, left
        self.open: dict[Connection, None] = {}
        self.idle: dict[Connection, Task] = {}
        self.unproven: dict[Connection, Task] = {}
        self.reading: dict[Connection, Task] = {}
        self.reserved_bytes: dict[Connection, int] = {}
        self.configure(config.deployment, limits)
        self.violations: Violations | None = None
        self.unanswered: dict[Connection, str] = {}
        self.correlation_ids: set[str] = set()
        self.drain_timer: Timer | None = None
        self.close_answered_at_ms = self.close_idle_at_ms = inf
        fd = config.socket_fd
        self.shared = fd is not None
        self.sock = http.bound(config.listen) if fd is None else http.inherited(fd)
        self.listener: http.Listener | None = None

    def configure(self, deployment: Deployment, limits: AdmissionLimits) -> None:
        """Take in settings, and for how many clients and bytes of their bodies there is room."""
        self.deployment, self.limits = deployment, limits
        while len(self.open) > limits.clients and self.close_one():
            pass

    # Connections.

    def listen(self) -> None:
        """Begin to accept connections."""
        self.listener = http.Listener(self.loop, self.sock, self.has_capacity, self.accept)

    def limit_clients(self, most: int) -> None:
        """Take so many clients at most until it is configured anew; those there are stay while they can."""
        self.limits = replace(self.limits, clients=min(self.limits.clients, most))

    def has_capacity(self, short: bool) -> bool:
        """Return whether another connection may be had; others without taken work give up theirs for it."""
        if short:
            return self.loop.descriptors.release_one()
        while len(self.open) >= self.limits.clients:
            if not self.close_one():
                return False
        # Guards the node's own needs: what becomes free is held for them again before clients have it.
        descriptors = self.loop.descriptors
        return descriptors.hold_all_spares() or (self.close_one() and descriptors.hold_all_spares())

    def accept(self, sock: socket.socket) -> None:
        """Serve a connection; without room, as the listener closes, what came on it is refused at once."""
        connection = Connection(self.loop, self.log, sock, h11.SERVER, "client")
        # It may have stood in the queue since then, and its first request with it.
        if self.listener is not None:
            connection.last_empty_ms = connection.earliest_sent_ms = self.listener.last_empty_ms
        if not self.has_capacity(False):
            connection.send_last_response(HTTPStatus.SERVICE_UNAVAILABLE)
            connection.close(Reason.CROWDED)
            return
        self.open[connection] = None
        self.loop.spawn(self.serve(connection))

    def close_one(self) -> bool:
        """Close a connection without taken work, if there is one; those that sent nothing good go first.

        Guards usual clients against floods of connections that say nothing, or nothing good; and new ones,
        whose request comes some moments after them, against giving way to each other while others rest.
        """
        few = len(self.unproven) <= MAX_NEW_SHARE * self.limits.clients
        new_ms = self.loop.now() - (NEW_GRACE_MS if few else 0.0)
        first = [connection for connection in self.unproven if connection.opened_ms <= new_ms]
        resting = [connection for connection in self.idle if connection not in self.unproven]
        found = dict.fromkeys((*first, *resting, *self.unproven))
        return any(self.close_or_wake(connection, Reason.CROWDED) for connection in found)

    def close_or_wake(self, connection: Connection, reason: Reason) -> bool:
        """Close a connection unless it was idle and a request has begun to come; return whether it is.

        One whose request is on its way is told that it is not served.
        """
        task = self.unproven.get(connection) or self.idle.get(connection) or self.reading[connection]
        if connection in self.idle and not connection.is_quiet():
            del self.idle[connection]
            task.wake()
            return False
        if connection in self.reading:
            connection.send_last_response(HTTPStatus.SERVICE_UNAVAILABLE)
        connection.close(reason)
        task.cancel()
        return True

    def reserve_body(self, connection: Connection, size: int, until_ms: float) -> Steps:
        """Wait for room for a request's body; those that have sent nothing good give up theirs first."""
        while sum(self.reserved_bytes.values()) + size > self.limits.body_bytes:
            held = next((c for c in self.unproven if self.reserved_bytes.get(c)), None)
            if held is not None:
                self.close_or_wake(held, Reason.CROWDED)
            elif self.loop.now() < until_ms:
                yield from sleep(self.loop.now() + http.CAPACITY_RETRY_MS)
            else:
                raise ConnectionEndedError(Reason.CROWDED, 408)
        self.reserved_bytes[connection] = size

    # A drain.

    def drain(self, keep_ms: float, part_ms: float) -> None:
        """Send clients away, until `resume`; a second drain can only hasten the first.

        After `keep_ms` each answer closes its connection, and after `part_ms` unused connections are closed.
        """
        now = self.loop.now()
        self.close_answered_at_ms = min(self.close_answered_at_ms, now + keep_ms)
        self.close_idle_at_ms = min(self.close_idle_at_ms, now + part_ms)
        if self.drain_timer is None:
            self.close_idle()

    def resume(self) -> None:
        """End a drain."""
        if self.drain_timer is not None:
            self.loop.drop(self.drain_timer)
        self.drain_timer, self.close_answered_at_ms, self.close_idle_at_ms = None, inf, inf

    def close_idle(self) -> None:
        """Close connections on which nothing is under way, once it is time, and check again later."""
        now = self.loop.now()
        for connection in list(self.idle) if now >= self.close_idle_at_ms else ():
            if connection not in self.unproven or now >= connection.opened_ms + NEW_GRACE_MS:
                self.close_or_wake(connection, Reason.DRAINING)
        self.drain_timer = self.loop.at(now + DRAIN_CHECK_MS, self.close_idle)

    def refuse_unread(self) -> None:
        """Refuse the requests that are still on their way, as the node ends: later nobody would answer."""
        for connection in list(self.reading):
            self.close_or_wake(connection, Reason.DRAINING)

    def is_last_message(self, connection: Connection) -> bool:
        """Return whether a connection ends with the answer in hand: a drain is on, nothing more has come.

        Or some of what came was thrown away.
        """
        return connection.has_discarded or (
            self.loop.now() >= self.close_answered_at_ms and connection.is_quiet()
        )

    def stop_listening(self) -> None:
        """Take no more connections; where nobody else will, first those that the system has for us."""
        if self.listener is not None:
            self.listener.close(accepts_queued=not self.shared)
        else:
            self.loop.close(self.sock)

    def has_waiting_clients(self) -> bool:
        """Return whether somebody may wait for an answer: a connection is open, or stands in the queue."""
        return bool(self.open) or (self.listener is not None and not self.listener.closed)

    # One connection.

    def serve(self, connection: Connection) -> Coroutine:
        """Serve a client's requests one after the other."""
        reason = Reason.FAULT
        self.unproven[connection] = self.loop.running_task()
        try:
            while (yield from self.request(connection)):
                # Guards the others' turns against a client that sends many requests ahead.
                yield from sleep(self.loop.now())
            reason = Reason.DRAINING if self.drain_timer is not None else Reason.DONE
        except ConnectionEndedError as ended:
            reason = ended.reason
            self.reserved_bytes.pop(connection, None)
            self.reading.pop(connection, None)
            if ended.status:
                self.unproven[connection] = self.loop.running_task()
                self.unanswered.pop(connection, None)
                yield from http.complain(connection, ended, self.loop.now() + WRITE_TIMEOUT_MS)
        except Cancelled:
            reason = Reason.DRAINING
            raise
        except Exception:
            # Guards the client against an error of this program: whoever has sent a request gets an answer.
            self.loop.fault(traceback.format_exc())
            self.unanswered.pop(connection, None)
            failed = ConnectionEndedError(
                Reason.FAULT, HTTPStatus.INTERNAL_SERVER_ERROR, "an error of this node"
            )
            yield from http.complain(connection, failed, self.loop.now() + WRITE_TIMEOUT_MS)
        finally:
            id = self.unanswered.pop(connection, None)
            if id is not None and self.violations is not None and not connection.is_peer_gone():
                self.violations.note(Invariant.CLOSE, id=id, reason=reason.value)
            for table in (self.unproven, self.reading, self.idle, self.reserved_bytes, self.open):
                table.pop(connection, None)
            connection.close(reason)

    def first_byte(self, connection: Connection) -> Steps:
        """Wait for a request to begin; meanwhile the connection may be closed to make room."""
        until = self.loop.now() + IDLE_TIMEOUT_MS
        if connection in self.unproven:
            until = connection.opened_ms + READ_TIMEOUT_MS
        while not connection.has_ahead() and not connection.eof:
            if connection.fill():
                continue
            self.idle[connection] = self.loop.running_task()
            came = yield (connection.sock.fileno(), READ, until)
            self.idle.pop(connection, None)
            if came == LATE and connection.is_quiet():  # not where a request comes just then
                raise ConnectionEndedError(Reason.IDLE)
        if not connection.has_ahead():
            raise ConnectionEndedError(Reason.PEER_CLOSED)

    def request(self, connection: Connection) -> Steps:
        """Serve one request; return whether another may follow."""
        yield from self.first_byte(connection)
        began = self.loop.now()
        until = (connection.opened_ms if connection in self.unproven else began) + READ_TIMEOUT_MS
        self.reading[connection] = self.loop.running_task()
        try:
            call = yield from http.read(
                connection,
                until,
                lambda method, target: protocol.check_route(method, target, self.deployment.types),
                protocol.MAX_BODY_BYTES,
                lambda size: self.reserve_body(connection, size, until),
            )
            del self.reading[connection]
            if protocol.path_of(call.target) == protocol.READY_PATH:
                status, headers, body = (200 if self.is_ready() else 503), [], b""
            else:
                self.unanswered[connection] = call.head.get(protocol.ID, "")
                client_request = protocol.client_request_from(
                    call.target, call.head, call.body, self.deployment
                )
                status, headers, body = yield from self.serve_request(
                    connection,
                    PendingRequest(client_request, connection.earliest_sent_ms, connection.is_peer_gone),
                )
        except MalformedMessageError as error:
            raise http.bad(error) from None
        del self.reserved_bytes[connection]
        if self.is_last_message(connection):
            headers = [*headers, ("Connection", "close")]
        yield from http.answer(connection, status, headers, body, self.loop.now() + WRITE_TIMEOUT_MS)
        self.unanswered.pop(connection, None)
        if connection.has_discarded:
            yield from connection.linger(self.loop.now() + http.LINGER_MS)
        return connection.start_next_message()

    def serve_request(self, connection: Connection, pending: PendingRequest) -> Steps:
        """Hand a request to the node and wait for its answer, or for the client to go."""
        id = pending.client_request.id
        if connection.has_ahead():
            connection.discard_ahead()
        if connection.is_peer_gone():  # guards against work for one that left while it waited to be read
            raise ConnectionEndedError(Reason.PEER_CLOSED)
        if id in self.correlation_ids:
            raise MalformedMessageError("a work unit with this id is out", 409)
        pending.task = self.loop.running_task()
        self.correlation_ids.add(id)
        self.unproven.pop(connection, None)
        request_id = ""
        try:
            request_id = self.take_request(pending)
            answer = yield from self.wait_for_answer(connection, pending, request_id)
        except ConnectionEndedError:
            raise
        except Exception:
            self.client_left(request_id)  # its client is told of the error, and nothing more of it is sent
            raise
        finally:
            self.correlation_ids.discard(id)
        if answer.status == HTTPStatus.BAD_REQUEST:
            raise MalformedMessageError("no executor can use this")
        return answer

    def wait_for_answer(self, connection: Connection, pending: PendingRequest, request_id: str) -> Steps:
        """Wait for a request's answer, or for its client to go."""
        while pending.answer is None:
            wait, asked = connection.wait_for_end(), self.loop.now()
            came = yield wait
            if came == LATE:
                connection.discard_ahead()
            elif came == WOKEN and wait[1] & READ and self.loop.polled_ms > asked:
                connection.note_empty(self.loop.polled_ms)
            if came != WOKEN and pending.answer is None:
                try:
                    gone = connection.is_peer_gone() or (
                        came == READY and connection.fill() and connection.eof
                    )
                except ConnectionEndedError:
                    gone = True
                if gone:
                    self.client_left(request_id)
                    raise ConnectionEndedError(Reason.PEER_CLOSED)
        pending.task = None
        return pending.answer
