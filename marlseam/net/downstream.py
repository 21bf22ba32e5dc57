"""The node's server for clients: accepts connections, reads requests and writes answers."""

import socket
import traceback
from collections.abc import Callable
from http import HTTPStatus
from math import inf

import h11

from marlseam.configuration import Config, Deployment
from marlseam.net import http, protocol
from marlseam.net.client_connections import (
    MAX_WAIT_SHARE,
    NEW_GRACE_MS,
    AdmissionLimits,
    ClientConnections,
)
from marlseam.net.connection import Connection, Steps
from marlseam.net.errors import ConnectionEndedError, MalformedMessageError
from marlseam.net.invariants import Invariant, Violations
from marlseam.net.key_turns import KeyTurns
from marlseam.net.log import Log, Reason
from marlseam.net.loop import LATE, READ, READY, WOKEN, Cancelled, Coroutine, Loop, Timer, in_background
from marlseam.net.pending_request import PendingRequest
from marlseam.net.request_ids import RequestIds

IDLE_TIMEOUT_MS = 300000.0  # how long a client may keep an idle connection
DRAIN_CHECK_MS = 20.0  # how often a drain checks for idle connections
# Time limit for receiving a request: the first one from connecting, others from their first byte.
READ_TIMEOUT_MS = 2500.0
MAX_KEY_WAIT_MS = 1000.0  # maximum wait for a resource key that another process of the node holds
WRITE_TIMEOUT_MS = 2500.0  # time limit for a client to read its answer


class DownstreamServer(ClientConnections):
    """Accepts clients' connections and serves each in a coroutine.

    Attributes:
        is_ready: returns whether the node is ready for clients.
        take_request: passes a request to the node and returns the node's own id of the request.
        client_left: notifies the node that the client of a request has disconnected.
        unanswered: correlation ids of requests that were read and not answered, by connection.
        request_ids: correlation ids of the requests that the node is handling.
        key_turns: resource keys whose requests this process may send in their order.
        violations: counts connections closed with an unanswered request; None if they are not counted.
        drain_timer: timer of a drain's next check; None while no drain is in progress.
        close_answered_at_ms, close_idle_at_ms: from when on each answer closes its connection, and idle
            connections are closed, by the loop's clock; inf while no drain is in progress.
        shared: whether another process also listens on the socket.
        listener: accepts connections; None until the node listens.

    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        config: Config,
        limits: AdmissionLimits,
        is_ready: Callable[[], bool],
        take_request: Callable[[PendingRequest], str],
        client_left: Callable[[str], None],
    ) -> None:
        super().__init__(loop, log, limits)
        self.is_ready, self.take_request, self.client_left = is_ready, take_request, client_left
        self.configure(config.deployment, limits)
        self.violations: Violations | None = None
        self.unanswered: dict[Connection, str] = {}
        self.request_ids = RequestIds()
        self.key_turns = KeyTurns(loop, self.request_ids)
        self.drain_timer: Timer | None = None
        self.close_answered_at_ms = self.close_idle_at_ms = inf
        fd = config.socket_fd
        self.shared = fd is not None
        self.sock = http.bound_socket(config.listen) if fd is None else http.inherited_socket(fd)
        self.listener: http.Listener | None = None

    def configure(self, deployment: Deployment, limits: AdmissionLimits) -> None:
        """Apply settings and the limits for clients, and close connections above the limit."""
        self.deployment = deployment
        self.apply_limits(limits)

    # Connections.

    def listen(self) -> None:
        """Start accepting connections."""
        self.listener = http.Listener(self.loop, self.sock, self.has_capacity, self.accept)

    def is_queue_late(self) -> bool:
        """Return whether requests may wait in the accept queue past the shortest latency objective."""
        if self.listener is None:
            return False
        waited_ms = self.loop.now() - self.listener.last_empty_ms
        return waited_ms >= self.deployment.settings.shortest_objective_ms

    def accept(self, sock: socket.socket) -> None:
        """Serve a new connection; without capacity, as when the listener closes, answer 503 and close it."""
        connection = Connection(self.loop, self.log, sock, h11.SERVER, "client")
        # The connection and its first request may have waited in the accept queue since then.
        if self.listener is not None:
            connection.last_empty_ms = connection.earliest_sent_ms = self.listener.last_empty_ms
        if not self.has_capacity(False):
            connection.send_last_response(HTTPStatus.SERVICE_UNAVAILABLE)
            connection.close(Reason.CROWDED)
            return
        self.add(connection)
        self.loop.spawn(self.serve(connection))

    # A drain.

    def drain(self, answered_grace_ms: float, idle_grace_ms: float) -> None:
        """Close clients' connections step by step until `resume`; a second drain can only shorten the first.

        After `answered_grace_ms` each answer closes its connection, and after `idle_grace_ms` idle
        connections are closed.
        """
        now = self.loop.now()
        self.close_answered_at_ms = min(self.close_answered_at_ms, now + answered_grace_ms)
        self.close_idle_at_ms = min(self.close_idle_at_ms, now + idle_grace_ms)
        if self.drain_timer is None:
            self.close_idle()

    def resume(self) -> None:
        """End a drain."""
        if self.drain_timer is not None:
            self.loop.cancel_timer(self.drain_timer)
        self.drain_timer, self.close_answered_at_ms, self.close_idle_at_ms = None, inf, inf

    def close_idle(self) -> None:
        """Close idle connections once their grace is over, and schedule the next check."""
        now = self.loop.now()
        for connection in list(self.idle) if now >= self.close_idle_at_ms else ():
            if connection not in self.unvalidated or now >= connection.opened_ms + NEW_GRACE_MS:
                self.close_or_wake(connection, Reason.DRAINING)
        self.drain_timer = self.loop.call_at(now + DRAIN_CHECK_MS, self.close_idle)

    def refuse_unread(self) -> None:
        """Refuse the requests that are still being received as the node ends; later they get no answer."""
        for connection, task in [*self.reading.items(), *self.waiting.items()]:
            self.close_now(connection, task, Reason.DRAINING)

    def is_last_message(self, connection: Connection) -> bool:
        """Return whether the current answer is the last one on its connection.

        That is the case if received bytes were discarded, or if a drain closes answered connections and no
        further bytes have arrived.
        """
        return connection.has_discarded or (
            self.loop.now() >= self.close_answered_at_ms and connection.is_quiet()
        )

    def stop_listening(self) -> None:
        """Stop accepting connections; if no other process accepts the queued ones, accept these first.

        Requests that wait for a place are rejected then, to make room for those in the queue.
        """
        if self.listener is not None:
            while not self.shared and self.reject_longest_waiting():
                pass
            self.listener.close(accepts_queued=not self.shared)
        else:
            self.loop.close(self.sock)

    def has_waiting_clients(self) -> bool:
        """Return whether a client may be waiting: a connection is open or may be in the accept queue."""
        return bool(self.open) or (self.listener is not None and not self.listener.closed)

    # One connection.

    def serve(self, connection: Connection) -> Coroutine:
        """Serve the requests on a client's connection one after the other."""
        reason = Reason.FAULT
        self.unvalidated[connection] = self.loop.running_task()
        try:
            while (yield from self.request(connection)):
                # Guards other connections against starvation by a client that sends many requests at once.
                yield from in_background()
            reason = Reason.DRAINING if self.drain_timer is not None else Reason.DONE
        except ConnectionEndedError as end:
            reason = end.reason
            self.reserved_bytes.pop(connection, None)
            self.reading.pop(connection, None)
            if end.status:
                self.unvalidated.pop(connection, None)
                self.refused[connection] = self.loop.running_task()
                self.unanswered.pop(connection, None)
                yield from http.send_error(connection, end, self.loop.now() + WRITE_TIMEOUT_MS)
        except Cancelled:
            reason = Reason.DRAINING
            raise
        except Exception:
            # Guards the client against an error of this program: each request that was sent gets an answer.
            self.loop.on_exception(traceback.format_exc())
            self.unanswered.pop(connection, None)
            failed = ConnectionEndedError(
                Reason.FAULT, HTTPStatus.INTERNAL_SERVER_ERROR, "internal error of this node"
            )
            yield from http.send_error(connection, failed, self.loop.now() + WRITE_TIMEOUT_MS)
        finally:
            id = self.unanswered.pop(connection, None)
            if id is not None and self.violations is not None and not connection.is_peer_gone():
                self.violations.note(Invariant.CLOSE, id=id, reason=reason.value)
            connection.close(reason)
            self.remove(connection)
            self.key_turns.release_ended()

    def wait_for_first_byte(self, connection: Connection) -> Steps:
        """Wait for the first byte of a request; meanwhile the connection may be closed to free capacity."""
        until_ms = self.loop.now() + IDLE_TIMEOUT_MS
        if connection in self.unvalidated:
            until_ms = connection.opened_ms + READ_TIMEOUT_MS
        while not connection.has_pipelined() and not connection.eof:
            if connection.fill():
                continue
            self.idle[connection] = self.loop.running_task()
            event = yield (connection.sock.fileno(), READ, until_ms)
            self.idle.pop(connection, None)
            if event == LATE and connection.is_quiet():  # unless a request is arriving
                raise ConnectionEndedError(Reason.IDLE)
        if not connection.has_pipelined():
            raise ConnectionEndedError(Reason.PEER_CLOSED)

    def request(self, connection: Connection) -> Steps:
        """Serve one request; return whether another one may follow on the connection."""
        yield from self.wait_for_first_byte(connection)
        began_ms = self.loop.now()
        until_ms = (connection.opened_ms if connection in self.unvalidated else began_ms) + READ_TIMEOUT_MS
        connection.used_ms = began_ms
        self.reading[connection] = self.loop.running_task()
        try:
            received = yield from http.read(
                connection,
                until_ms,
                lambda method, target: protocol.check_route(method, target, self.deployment.types),
                protocol.MAX_BODY_BYTES,
                lambda head, size: self.reserve_body(
                    connection, size, min(until_ms, self.wait_until_ms(connection, head))
                ),
            )
            del self.reading[connection]
            if protocol.path_of(received.target) == protocol.READY_PATH:
                status, headers, body = (200 if self.is_ready() else 503), [], b""
            else:
                client_request = protocol.client_request_from(
                    received.target, received.head, received.body, self.deployment
                )
                yield from self.wait_for_place(connection, client_request.time_left_ms)
                yield from self.wait_for_key(connection, client_request)
                self.unanswered[connection] = client_request.id
                status, headers, body = yield from self.serve_request(
                    connection,
                    PendingRequest(client_request, connection.earliest_sent_ms, connection.is_peer_gone),
                )
        except MalformedMessageError as error:
            raise http.malformed_end(error) from None
        del self.reserved_bytes[connection]
        if self.is_last_message(connection):
            headers = [*headers, ("Connection", "close")]
        yield from http.answer(connection, status, headers, body, self.loop.now() + WRITE_TIMEOUT_MS)
        self.unanswered.pop(connection, None)
        if connection.has_discarded:
            yield from connection.linger(self.loop.now() + http.LINGER_MS)
        return connection.start_next_message()

    def wait_for_key(self, connection: Connection, client_request: protocol.ClientRequest) -> Steps:
        """Wait until no other process of the node has requests of an ordered class with the same key.

        Raises ConnectionEndedError with status 503 after MAX_WAIT_SHARE of the time that its client waits.
        """
        key = client_request.resource_key
        request_class = self.deployment.settings.request_classes[client_request.class_index]
        if key is None or not request_class.ordered_by_key:
            return
        wait_ms = min(MAX_WAIT_SHARE * client_request.time_left_ms, MAX_KEY_WAIT_MS)
        if not (yield from self.key_turns.wait_for(key, connection.earliest_sent_ms + wait_ms)):
            raise ConnectionEndedError(Reason.CROWDED, HTTPStatus.SERVICE_UNAVAILABLE)

    def wait_until_ms(self, connection: Connection, head: protocol.Head) -> float:
        """Return until when a request may wait for memory for its body, by the time that its client waits."""
        try:
            time_left_ms = protocol.time_left_ms(head)
        except MalformedMessageError:
            return inf  # the request is refused once it was received
        return connection.earliest_sent_ms + MAX_WAIT_SHARE * time_left_ms

    def serve_request(self, connection: Connection, pending: PendingRequest) -> Steps:
        """Pass a request to the node and wait for its answer, or until the client disconnects."""
        id = pending.client_request.id
        if connection.has_pipelined():
            connection.read_pipelined(self.max_pipelined_bytes(connection))
        if connection.is_peer_gone():  # guards against work for a client that has already left
            raise ConnectionEndedError(Reason.PEER_CLOSED)
        if not self.request_ids.take(id):
            raise MalformedMessageError("a work unit with this id is out", 409)
        pending.task = self.loop.running_task()
        self.unvalidated.pop(connection, None)
        request_id = ""
        try:
            request_id = self.take_request(pending)
            answer = yield from self.wait_for_answer(connection, pending, request_id)
        except ConnectionEndedError:
            raise
        except Exception:
            self.client_left(request_id)  # its client gets an error answer, and no more attempts are sent
            raise
        finally:
            self.request_ids.give_back(id)
        if answer.status == HTTPStatus.BAD_REQUEST:
            raise MalformedMessageError("no executor can use this")
        return answer

    def wait_for_answer(self, connection: Connection, pending: PendingRequest, request_id: str) -> Steps:
        """Wait for the answer to a request, or until its client disconnects."""
        while pending.answer is None:
            wait, asked_ms = connection.wait_for_end(), self.loop.now()
            event = yield wait
            if event == LATE:
                connection.read_pipelined(self.max_pipelined_bytes(connection))
            elif event == WOKEN and wait[1] & READ and self.loop.polled_ms > asked_ms:
                connection.note_empty(self.loop.polled_ms)
            if event != WOKEN and pending.answer is None:
                try:
                    is_gone = connection.is_peer_gone() or (
                        event == READY and connection.fill() and connection.eof
                    )
                except ConnectionEndedError:
                    is_gone = True
                if is_gone:
                    self.client_left(request_id)
                    raise ConnectionEndedError(Reason.PEER_CLOSED)
        pending.task = None
        return pending.answer
