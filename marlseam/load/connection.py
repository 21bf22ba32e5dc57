"""A load generator's connection to a node: one HTTP/1.1 exchange at a time over a non-blocking socket."""

import errno
import socket
from dataclasses import dataclass
from math import inf
from typing import NamedTuple, Protocol

import httptools

from marlseam.load.errors import ConnectionUnavailableError
from marlseam.simulation.clients import Client

RECEIVE_BYTES = 65536
OUTCOME_BY_STATUS = {200: "completed", 429: "deferred", 503: "deferred"}  # any other status: aborted
REQUEST = (
    b"POST /%b%b HTTP/1.1\r\nHost: %b\r\nX-Correlation-Id: %b\r\nX-Service-Class: %b\r\nX-Time-Left: %.3f\r\n"
    b"%bX-Facts: slots=%g,memory=%g\r\nContent-Length: %d\r\n\r\n%b"
)


class Address(NamedTuple):
    """Where a node listens."""

    host: str
    port: int

    @classmethod
    def parsed(cls, address: str) -> "Address":
        """Return the parts of an address HOST:PORT."""
        host, _, port = address.rpartition(":")
        return cls(host, int(port))


@dataclass
class PendingTry:
    """A try whose client waits for an answer. Times in ms of the run.

    Attributes:
        client: the client that sent it.
        id: the try's id.
        intended_ms: when it should have gone out.
        node: the node that it goes to.
        sent_ms: when it was written to a connection; infinity before that.
        is_open: whether it has no answer yet and its client has not left.
        was_resent: whether it was sent once more since its connection was closed while it was on its way.
        connection: the connection that it is on; None while it waits for one.
    """

    client: Client
    id: str
    intended_ms: float
    node: str
    sent_ms: float = inf
    is_open: bool = True
    was_resent: bool = False
    connection: "Connection | None" = None

    def request(self, address: Address, now_ms: float) -> bytes:
        """Return the HTTP request that carries it."""
        arrival, request_class = self.client.arrival, self.client.type
        class_name = request_class.name.encode()
        headers = f"Idempotency-Key: {arrival.receipt}\r\n" if arrival.receipt else ""
        if self.client.tries + arrival.number > 1:
            headers += "X-Repeat: 1\r\n"
        query = b"" if arrival.key is None else b"?user=" + arrival.key.encode()
        body = b'{"work":%.3f,"slots":%g,"memory":%g}' % (arrival.work, arrival.slots, arrival.memory)
        time_left_s = max(0.0, self.client.expires - now_ms) / 1000.0
        host = f"{address.host}:{address.port}".encode()
        return REQUEST % (
            class_name,
            query,
            host,
            self.id.encode(),
            class_name,
            time_left_s,
            headers.encode(),
            arrival.slots,
            arrival.memory,
            len(body),
            body,
        )


class AnswerHandler(Protocol):
    """Whoever is told of a connection's whole answers."""

    def on_answer(self, connection: "Connection") -> None:
        """Take in the answer that a connection holds."""


class Connection:
    """One connection to a node.

    Attributes:
        node: the node's name.
        sock: the socket; `fd` is its file descriptor.
        is_connecting: whether the connection is not established yet.
        was_used: whether it has brought an answer before.
        pending: the try that is on it, None where it is idle.
        unsent: what of the request is still to be written.
        headers: the headers of the answer that is being read, by lower-case name.
        body: what of its body has come.
        keep_alive: whether the node keeps the connection open after the answer.
    """

    __slots__ = (
        "_handler",
        "_parser",
        "body",
        "fd",
        "headers",
        "is_connecting",
        "keep_alive",
        "node",
        "pending",
        "sock",
        "unsent",
        "was_used",
    )

    def __init__(self, handler: AnswerHandler, node: str, address: Address) -> None:
        """Begin a connection; raise ConnectionUnavailableError where that fails at once."""
        self._handler, self.node = handler, node
        self.sock = _connecting_socket(address)
        self.fd = self.sock.fileno()
        self.is_connecting, self.was_used = True, False
        self.pending: PendingTry | None = None
        self.unsent = b""
        self.reset_parser()

    def reset_parser(self) -> None:
        """Make ready for the next answer."""
        self._parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.headers: dict[bytes, bytes] = {}
        self.keep_alive = True

    def outcome(self, pending: PendingTry) -> str:
        """Return what the answer means for a try: completed, deferred, aborted, or garbled (not its own)."""
        how = OUTCOME_BY_STATUS.get(self._parser.get_status_code(), "aborted")
        if how == "completed" and not self.body.startswith(pending.id.encode()):
            return "garbled"
        return how

    def advice_ms(self) -> float:
        """Return the answer's Retry-After in ms, 0 where it has none or one that is no number."""
        try:
            return 1000.0 * float(self.headers.get(b"retry-after", b"0"))
        except ValueError:
            return 0.0

    def connect_error(self) -> int:
        """Return the error that ended the attempt to connect, 0 where there is none."""
        return self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def flush(self) -> None:
        """Write what the socket takes of the request; raise OSError where the connection is broken."""
        try:
            self.unsent = self.unsent[self.sock.send(self.unsent) :]
        except BlockingIOError:
            return

    def receive(self) -> bool:
        """Read what has come and handle it; return whether the connection still works."""
        try:
            data = self.sock.recv(RECEIVE_BYTES)
            if data:
                self._parser.feed_data(data)
        except BlockingIOError:
            return True
        except (OSError, httptools.HttpParserError):
            return False
        return bool(data)

    # Called by the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Hand a whole answer on."""
        self.keep_alive = self._parser.should_keep_alive()
        self._handler.on_answer(self)


def _connecting_socket(address: Address) -> socket.socket:
    """Return a non-blocking socket that is connecting, or raise ConnectionUnavailableError."""
    try:
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        if error.errno in (errno.EMFILE, errno.ENFILE):
            raise ConnectionUnavailableError(ConnectionUnavailableError.NO_DESCRIPTORS) from None
        raise ConnectionUnavailableError(str(error)) from None
    if sock.connect_ex(address) not in (0, errno.EINPROGRESS):
        sock.close()
        raise ConnectionUnavailableError(ConnectionUnavailableError.REFUSED)
    return sock
