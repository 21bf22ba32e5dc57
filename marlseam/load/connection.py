"""A load generator's connection to a node: one HTTP/1.1 request at a time over a non-blocking socket."""

import errno
import socket
from dataclasses import dataclass
from math import inf
from typing import NamedTuple, Protocol

import httptools

from marlseam.load.errors import ConnectionUnavailableError
from marlseam.simulation.clients import Client

RECEIVE_BYTES = 65536  # most bytes that are read at once
# Outcome of a try in the records, by HTTP status: `deferred` is a rejection that permits a retry. Any other
# status is `aborted`, an error after which the request may have run.
OUTCOME_BY_STATUS = {200: "completed", 429: "deferred", 503: "deferred"}
REQUEST = (
    b"POST /%b%b HTTP/1.1\r\nHost: %b\r\nX-Correlation-Id: %b\r\nX-Service-Class: %b\r\nX-Time-Left: %.3f\r\n"
    b"%bX-Facts: slots=%g,memory=%g\r\nContent-Length: %d\r\n\r\n%b"
)


class Address(NamedTuple):
    """The address at which a node listens."""

    host: str
    port: int

    @classmethod
    def parse(cls, address: str) -> "Address":
        """Parse an address HOST:PORT; raise ValueError if the port is missing or not a number."""
        host, _, port = address.rpartition(":")
        return cls(host, int(port))


@dataclass
class PendingTry:
    """A try whose client waits for an answer. Times are in ms of the run.

    Attributes:
        client: the client that sent the try.
        id: the try's id.
        intended_ms: when the plan has the try sent.
        node: the name of the node to which the try is sent.
        sent_ms: when the try was written to a connection; infinity before that.
        is_open: whether the try has no answer yet and its client has not left.
        was_resent: whether the try was sent again, as the node closed a reused connection during the send.
        connection: the connection that carries the try; None while the try waits for a connection.
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
        """Return the HTTP request of the try to the node at `address`, sent at `now_ms` of the run."""
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
    """Receives the complete answers of connections."""

    def on_answer(self, connection: "Connection") -> None:
        """Handle the complete answer that a connection has received."""


class Connection:
    """One connection to a node, reused for one try after the other.

    Attributes:
        node: the node's name.
        sock: the socket; `fd` is its file descriptor.
        is_connecting: whether the connection is not established yet.
        was_used: whether an answer was received on it before.
        pending: the try that it carries, None while it is idle.
        unsent: the bytes of the request that are still to be written.
        headers: the headers of the answer that is being read, by lower-case name.
        body: the bytes of the answer's body received so far.
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
        """Start to connect; raise ConnectionUnavailableError if that fails at once."""
        self._handler, self.node = handler, node
        self.sock = _connecting_socket(address)
        self.fd = self.sock.fileno()
        self.is_connecting, self.was_used = True, False
        self.pending: PendingTry | None = None
        self.unsent = b""
        self.reset_parser()

    def reset_parser(self) -> None:
        """Discard the last answer and prepare for the next one."""
        self._parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.headers: dict[bytes, bytes] = {}
        self.keep_alive = True

    def outcome(self, pending: PendingTry) -> str:
        """Return a try's outcome by the status, or garbled for a completed answer that is of another try."""
        outcome = OUTCOME_BY_STATUS.get(self._parser.get_status_code(), "aborted")
        if outcome == "completed" and not self.body.startswith(pending.id.encode()):
            return "garbled"
        return outcome

    def retry_after_ms(self) -> float:
        """Return the answer's Retry-After in ms; 0 if the header is missing or not a number."""
        try:
            return 1000.0 * float(self.headers.get(b"retry-after", b"0"))
        except ValueError:
            return 0.0

    def connect_error(self) -> int:
        """Return the errno with which connecting failed, 0 if it did not fail."""
        return self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def flush(self) -> None:
        """Write as much of the request as the socket accepts; raise OSError if the connection is broken."""
        try:
            self.unsent = self.unsent[self.sock.send(self.unsent) :]
        except BlockingIOError:
            return

    def receive(self) -> bool:
        """Read and parse available bytes; return False if the connection ended or the answer is malformed."""
        try:
            data = self.sock.recv(RECEIVE_BYTES)
            if data:
                self._parser.feed_data(data)
        except BlockingIOError:
            return True
        except (OSError, httptools.HttpParserError):
            return False
        return bool(data)

    # Callbacks of the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name."""
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Pass the complete answer to the handler."""
        self.keep_alive = self._parser.should_keep_alive()
        self._handler.on_answer(self)


def _connecting_socket(address: Address) -> socket.socket:
    """Return a non-blocking socket that is connecting; raise ConnectionUnavailableError if that fails."""
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
