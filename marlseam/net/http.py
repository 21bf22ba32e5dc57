"""What serving clients and operators shares: a listener, reading a request whole, writing an answer."""

import errno
import select
import socket
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

MAX_ACCEPTS_PER_TURN = 16  # connections accepted in one turn of the loop
BACKLOG = 512
LINGER_MS = 1000.0  # how long it is read on after a complaint
CAPACITY_RETRY_MS = 20.0  # after which what found no capacity tries again


def bound(address: tuple[str, int]) -> socket.socket:
    """Return a socket that has an address; OSError where that is not free."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def inherited(number: int) -> socket.socket:
    """Return the listening socket that the process was started with; OSError where there is none."""
    try:
        sock = socket.socket(fileno=number)
    except OSError as error:
        raise OSError(error.errno, "no socket") from None
    stream = sock.type == socket.SOCK_STREAM
    if not stream or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()  # not ours to close
        raise OSError(errno.EINVAL, "not a stream socket that listens")
    sock.set_inheritable(False)
    sock.setblocking(False)
    return sock


class AcceptResult(Enum):
    """What an attempt to accept one connection came to."""

    ACCEPTED = auto()
    QUEUE_EMPTY = auto()
    LOST = auto()  # it is gone already, or a signal came
    CAPACITY_MADE = auto()  # nothing was left, and something was given up for it
    NO_CAPACITY = auto()


class Listener:
    """Accepts connections for as long as it is open.

    `room` returns whether another connection may be had and makes room for it where it can, told whether the
    system has no descriptor left: then, whether one was given up.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        reserve_body: Callable[[bool], bool],
        taken: Callable[[socket.socket], None],
        first: bool = False,
    ) -> None:
        self.loop, self.sock, self.has_capacity, self.on_accept = loop, sock, reserve_body, taken
        self.closed = False  # the socket too: nobody stands in the queue
        self.last_empty_ms = loop.now()  # when nobody stood in the queue for the last time
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            # Not before: a client's time runs, unseen by the node, while it waits for a start that reads its
            # memory; and one that is turned away goes elsewhere at once.
            sock.listen(BACKLOG)
        self.task = loop.spawn(self.accept(), first)

    def accept(self) -> Coroutine:
        """Accept connections, some in each turn of the loop."""
        poller = select.poll()
        poller.register(self.sock, select.POLLIN)
        was_empty = True  # whether nobody stood in the queue as it was waited for
        while True:
            yield (self.sock.fileno(), READ, inf)
            if was_empty:
                self.last_empty_ms = max(self.last_empty_ms, self.loop.ready_since_ms)
            was_empty = False
            has_made_capacity = False  # and it is not used yet
            for _ in range(MAX_ACCEPTS_PER_TURN):
                if not syscalls.is_poll_ready(poller, if_unknown=True):
                    was_empty, self.last_empty_ms = True, self.loop.now()
                    break  # before room is made: for nobody a connection would be closed
                while not self.has_capacity(False):
                    # Guards against losing requests: what is not accepted yet waits, what is would be lost.
                    yield from sleep(self.loop.now() + CAPACITY_RETRY_MS)
                result = self.try_accept(has_made_capacity)
                if result is AcceptResult.QUEUE_EMPTY:
                    break
                if result is AcceptResult.NO_CAPACITY:
                    # Guards against a busy loop: the listener stays readable while nothing can be taken;
                    # and connections, where the whole system is short and giving up ours does not help.
                    yield from sleep(self.loop.now() + CAPACITY_RETRY_MS)
                    break
                if result is not AcceptResult.LOST:
                    has_made_capacity = result is AcceptResult.CAPACITY_MADE

    def try_accept(self, has_made_capacity: bool) -> AcceptResult:
        """Accept one connection; where nothing is left, have something given up, unless that was no use."""
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
        """Accept one connection; OSError where there is none, it is gone already, or nothing can be had."""
        sock, _ = self.sock.accept()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.on_accept(sock)

    def close(self, accepts_queued: bool = False) -> None:
        """Take no more connections; `rest`: but for those that the system has accepted for us.

        Guards requests that stand in the queue, as for want of room: they count as taken, and closing the
        listener would reset them. `taken` sees to it that no limit is passed.
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
        """Accept what stands in the queue, then close; where nothing can be had, go on a little later."""
        has_made_capacity = False  # and it is not used yet
        for _ in range(BACKLOG):
            result = self.try_accept(has_made_capacity)
            if result is AcceptResult.QUEUE_EMPTY:
                break
            if result is AcceptResult.NO_CAPACITY:
                self.loop.at(self.loop.now() + CAPACITY_RETRY_MS, self.accept_queued)
                return
            if result is not AcceptResult.LOST:
                has_made_capacity = result is AcceptResult.CAPACITY_MADE
        self.close_socket()


@dataclass(frozen=True, slots=True)
class Call:
    """One request, read whole."""

    method: str
    target: str
    head: Head
    body: bytes


def read(
    connection: Connection,
    until_ms: float,
    allows: Callable[[str, str], object],
    max_bytes: int,
    reserve_body: Callable[[int], Steps] | None = None,
) -> Steps:
    """Read one request.

    `allows` refuses a method and target by Malformed before a body of up to `most` bytes is read; `room`
    waits for a place for it. Raises Ended, and Malformed for what can be understood in another way.
    """
    request = yield from connection.event(until_ms)
    if type(request) is not h11.Request:
        raise ConnectionEndedError(Reason.PEER_CLOSED)
    head = protocol.head_from(request.headers, request.http_version, bytes(connection.raw_head))
    connection.raw_head.clear()
    method, target = request.method.decode("latin-1"), request.target.decode("latin-1")
    allows(method, target)
    size = max_bytes if "Transfer-Encoding" in head else int(head.get("Content-Length", "0"))
    if size > max_bytes:
        raise ConnectionEndedError(Reason.TOO_LARGE, 413)
    if reserve_body is not None:
        yield from reserve_body(size)
    return Call(method, target, head, (yield from connection.body(max_bytes, until_ms)))


def bad(error: MalformedMessageError) -> ConnectionEndedError:
    """Return the end of a connection on which something came that the protocol does not allow."""
    return ConnectionEndedError(Reason.BAD_MESSAGE, error.status, str(error), error.allow)


def answer(connection: Connection, status: int, headers: Headers, body: bytes, until_ms: float) -> Steps:
    """Write an answer."""
    headers = [*headers, ("Content-Length", str(len(body)))]
    head = h11.Response(status_code=status, headers=headers, reason=HTTPStatus(status).phrase)
    yield from connection.message(head, body, until_ms)


def complain(connection: Connection, ended: ConnectionEndedError, until_ms: float) -> Steps:
    """Tell a client what is wrong with its request, if its connection allows it, and read on a while."""
    headers = [("Connection", "close")] + ([("Allow", ended.allow)] if ended.allow else [])
    try:
        yield from answer(connection, ended.status, headers, str(ended).encode() + b"\n", until_ms)
        yield from connection.linger(connection.loop.now() + LINGER_MS)
    except (ConnectionEndedError, h11.LocalProtocolError):
        return
