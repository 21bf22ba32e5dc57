"""HTTP serving for clients and operators: a listener, reading of complete requests, writing of answers."""

import errno
import select
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from http import HTTPStatus
from math import inf

import h11

from marlseam.net import protocol, syscalls
from marlseam.net.connection import Connection, Headers, Steps
from marlseam.net.descriptors import SHORTAGE_ERRNOS
from marlseam.net.errors import ConnectionEndedError, MalformedMessageError
from marlseam.net.log import Reason
from marlseam.net.loop import READ, Coroutine, Loop, sleep
from marlseam.net.protocol import Head

MAX_ACCEPTS_PER_TURN = 16  # maximum number of connections accepted in one turn of the loop
BACKLOG = 512
LINGER_MS = 1000.0  # how long bytes are read and discarded after an error answer
CAPACITY_RETRY_MS = 20.0  # wait before a retry if there was no capacity


def bound_socket(address: tuple[str, int]) -> socket.socket:
    """Return a socket that is bound to an address; raises OSError if the address is not available."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def inherited_socket(descriptor: int) -> socket.socket:
    """Return the listening socket that the process inherited; raises OSError if the descriptor is none."""
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        raise OSError(error.errno, "not a socket") from None
    is_stream = sock.type == socket.SOCK_STREAM
    if not is_stream or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()  # leaves the descriptor open, which this process did not open
        raise OSError(errno.EINVAL, "not a listening stream socket")
    sock.set_inheritable(False)
    sock.setblocking(False)
    return sock


class AcceptResult(Enum):
    """The result of trying to accept one connection."""

    ACCEPTED = auto()
    QUEUE_EMPTY = auto()
    LOST = auto()  # the connection ended already, or a signal arrived
    CAPACITY_MADE = auto()  # no descriptor was left, and one was released
    NO_CAPACITY = auto()


class Listener:
    """Accepts connections for as long as it is open.

    `has_capacity` returns whether another connection may be accepted, and frees capacity for it if possible.
    Its argument is whether the system has no descriptor left; then it returns whether one was released.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        has_capacity: Callable[[bool], bool],
        on_accept: Callable[[socket.socket], None],
        prioritized: bool = False,
    ) -> None:
        self.loop, self.sock, self.has_capacity, self.on_accept = loop, sock, has_capacity, on_accept
        self.closed = False  # whether the socket is closed too, so that no client is in its accept queue
        self.last_empty_ms = loop.now()  # when the accept queue was last empty
        # When each of the last connections was accepted that may have filled the queue once, and one more.
        self.accepted_ms = deque[float](maxlen=BACKLOG + 2)
        self.has_known_backlog = not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        if self.has_known_backlog:
            # The socket does not listen earlier: a client's time would pass unnoticed while the node recovers
            # its state at the start, but a client whose connection is refused tries another node at once.
            sock.listen(BACKLOG)
        self.task = loop.spawn(self.accept(), prioritized)

    def accept(self) -> Coroutine:
        """Accept connections, at most MAX_ACCEPTS_PER_TURN in each turn of the loop."""
        poller = select.poll()
        poller.register(self.sock, select.POLLIN)
        was_empty = True  # whether the accept queue was empty when the wait began
        while True:
            yield (self.sock.fileno(), READ, inf)
            if was_empty:
                self.last_empty_ms = max(self.last_empty_ms, self.loop.ready_since_ms)
            was_empty = False
            has_made_capacity = False  # whether released capacity is not used yet
            for _ in range(MAX_ACCEPTS_PER_TURN):
                if not syscalls.is_poll_ready(poller, if_unknown=True):
                    was_empty, self.last_empty_ms = True, self.loop.now()
                    break  # before capacity is made: no connection is closed if no client waits
                while not self.has_capacity(False):
                    # Guards against losing requests: a queued connection waits, an accepted one is closed.
                    yield from sleep(self.loop.now() + CAPACITY_RETRY_MS)
                result = self.try_accept(has_made_capacity)
                if result is AcceptResult.QUEUE_EMPTY:
                    break
                if result is AcceptResult.NO_CAPACITY:
                    # Guards against a busy loop: the listener stays readable while nothing can be accepted.
                    # Also guards open connections if the whole system is short of descriptors: closing them
                    # does not help then.
                    yield from sleep(self.loop.now() + CAPACITY_RETRY_MS)
                    break
                if result is not AcceptResult.LOST:
                    has_made_capacity = result is AcceptResult.CAPACITY_MADE

    def try_accept(self, has_made_capacity: bool) -> AcceptResult:
        """Accept one connection; without a descriptor, release one, unless the last release did not help."""
        try:
            self.accept_one()
        except BlockingIOError:
            return AcceptResult.QUEUE_EMPTY
        except OSError as error:
            if error.errno not in SHORTAGE_ERRNOS:
                return AcceptResult.LOST
            if has_made_capacity or not self.has_capacity(True):
                return AcceptResult.NO_CAPACITY
            return AcceptResult.CAPACITY_MADE
        return AcceptResult.ACCEPTED

    def accept_one(self) -> None:
        """Accept one connection; raises OSError if none is queued, it has ended, or no descriptor is left."""
        sock, _ = self.sock.accept()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.note_accepted()
        self.on_accept(sock)

    def note_accepted(self) -> None:
        """Note that a connection is accepted, which bounds how long it has waited in the queue.

        The queue is in the order of arrival and holds at most BACKLOG + 1 connections: this one arrived after
        the last one was accepted that is as many before it.
        """
        if self.has_known_backlog and len(self.accepted_ms) == self.accepted_ms.maxlen:
            self.last_empty_ms = max(self.last_empty_ms, self.accepted_ms[0])
        self.accepted_ms.append(self.loop.now())

    def close(self, accepts_queued: bool = False) -> None:
        """Stop accepting connections; with `accepts_queued`, only after those in the accept queue.

        Guards requests in the accept queue, for example while there is no capacity: they count as taken, and
        closing the listener would reset them. `on_accept` must enforce the limits.
        """
        self.task.cancel()
        if accepts_queued:
            self.accept_queued()
        else:
            self.close_socket()

    def close_socket(self) -> None:
        """Close the socket."""
        self.closed = True
        self.loop.close(self.sock)

    def accept_queued(self) -> None:
        """Accept the queued connections, then close; without a descriptor, retry after CAPACITY_RETRY_MS."""
        has_made_capacity = False  # whether released capacity is not used yet
        for _ in range(BACKLOG):
            result = self.try_accept(has_made_capacity)
            if result is AcceptResult.QUEUE_EMPTY:
                break
            if result is AcceptResult.NO_CAPACITY:
                self.loop.call_at(self.loop.now() + CAPACITY_RETRY_MS, self.accept_queued)
                return
            if result is not AcceptResult.LOST:
                has_made_capacity = result is AcceptResult.CAPACITY_MADE
        self.close_socket()


@dataclass(frozen=True, slots=True)
class Call:
    """One complete request."""

    method: str
    target: str
    head: Head
    body: bytes


def read(
    connection: Connection,
    until_ms: float,
    check_allowed: Callable[[str, str], object],
    max_bytes: int,
    reserve_body: Callable[[Head, int], Steps] | None = None,
) -> Steps:
    """Read one complete request and return a `Call`.

    `check_allowed` raises MalformedMessageError for a refused method or target before the body, of up to
    `max_bytes`, is read; `reserve_body` waits for memory for the body. Raises ConnectionEndedError, and
    MalformedMessageError for a head that parsers read differently.
    """
    request = yield from connection.event(until_ms)
    if type(request) is not h11.Request:
        raise ConnectionEndedError(Reason.PEER_CLOSED)
    head = protocol.head_from(request.headers, request.http_version, bytes(connection.raw_head))
    connection.raw_head.clear()
    method, target = request.method.decode("latin-1"), request.target.decode("latin-1")
    check_allowed(method, target)
    size = max_bytes if "Transfer-Encoding" in head else int(head.get("Content-Length", "0"))
    if size > max_bytes:
        raise ConnectionEndedError(Reason.TOO_LARGE, 413)
    if reserve_body is not None:
        yield from reserve_body(head, size)
    return Call(method, target, head, (yield from connection.body(max_bytes, until_ms)))


def malformed_end(error: MalformedMessageError) -> ConnectionEndedError:
    """Return the ConnectionEndedError for a malformed message."""
    return ConnectionEndedError(Reason.BAD_MESSAGE, error.status, str(error), error.allow)


def answer(connection: Connection, status: int, headers: Headers, body: bytes, until_ms: float) -> Steps:
    """Write a complete answer."""
    headers = [*headers, ("Content-Length", str(len(body)))]
    head = h11.Response(status_code=status, headers=headers, reason=HTTPStatus(status).phrase)
    yield from connection.message(head, body, until_ms)


def send_error(connection: Connection, ended: ConnectionEndedError, until_ms: float) -> Steps:
    """Answer a client with the error in its request, if possible, then read on for up to LINGER_MS."""
    headers = [("Connection", "close")] + ([("Allow", ended.allow)] if ended.allow else [])
    try:
        yield from answer(connection, ended.status, headers, str(ended).encode() + b"\n", until_ms)
        yield from connection.linger(connection.loop.now() + LINGER_MS)
    except (ConnectionEndedError, h11.LocalProtocolError):
        return
