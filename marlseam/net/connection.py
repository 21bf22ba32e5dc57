"""One HTTP connection of either role: its socket, its one buffer, h11 to parse, and its line in the log."""

import contextlib
import errno
import select
import socket
from collections.abc import Callable, Generator
from math import inf
from typing import Any

import h11

from marlseam.net import syscalls
from marlseam.net.buffer import Buffer
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.log import Log, Reason
from marlseam.net.loop import END, LATE, READ, WRITE, Cancelled, Loop, Wait, sleep

PARSE_BYTES = 4096  # bytes handed to the parser at a time, and in one turn of the loop
MAX_HEAD_BYTES = 16384  # bytes of a message's head
MAX_AHEAD_BYTES = 2048  # bytes kept of what a peer sends ahead of its turn
AHEAD_CHECK_MS = 20.0  # how often a peer that sent as much is looked at for more
# Of the system's buffer for what is unread, up to DISCARD_BUFFER's size, past which an end may be hidden.
HIDDEN_END_SHARE = 0.5
# Of DISCARD_BUFFER's size, before a connection is closed without a wait, and in one check.
MAX_DISCARD_READS = 16
DISCARD_BUFFER = bytearray(65536)  # where bytes go that nobody wants
Headers = list[tuple[str, str]]
Steps = Generator[Wait, str, Any]


class Connection:
    """Reads and writes messages; whoever holds it closes it once, with a reason.

    Attributes:
        sock: the socket, which does not block.
        description: what the log calls it.
        http: the parser and writer.
        buffer: bytes that came and were not parsed.
        raw_head: the head of the message in hand, as it came.
        messages: how many were written.
        closed: whether it was closed here.
        eof: whether the peer has ended its sending.
        has_discarded: whether something that came was thrown away, after which no message can follow.
        parsed_bytes: handed to the parser since this connection last let others go on.
        opened_ms, used_ms: when it was opened, and last used.
        last_empty_ms: when nothing was unread for the last time.
        earliest_sent_ms: that time before the bytes that were read last: they were sent after it.
        is_empty: whether nothing was unread at the last look.
        address: of the server, on our side of a call; None on the other.

    """

    def __init__(self, loop: Loop, log: Log, sock: socket.socket, role: type, what: str) -> None:
        self.loop, self.log, self.sock, self.description = loop, log, sock, what
        self.http = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.buffer = Buffer()
        self.raw_head = bytearray()
        self.messages, self.closed, self.eof = 0, False, False
        self.has_discarded = (
            False  # whether something that came was thrown away, after which no message can follow
        )
        self.parsed_bytes = 0
        self.opened_ms = self.used_ms = loop.now()
        self.last_empty_ms = self.earliest_sent_ms = self.opened_ms
        self.is_empty = False
        self.address: tuple[str, int] | None = None

    # Reading.

    def fill(self) -> bool:
        """Read what is there without waiting; return whether anything came, the end included."""
        try:
            count = syscalls.none_if_transient(lambda: self.sock.recv_into(self.buffer.space()))
        except OSError:
            raise ConnectionEndedError(Reason.PEER_RESET) from None
        if count is None:
            self.note_empty(self.loop.now())
            return False
        if self.is_empty:  # so it was as the loop looked for the last time before these bytes
            self.last_empty_ms, self.is_empty = max(self.last_empty_ms, self.loop.ready_since_ms), False
        self.earliest_sent_ms = self.last_empty_ms
        self.buffer.added(count)
        self.eof = self.eof or not count
        return True

    def note_empty(self, at_ms: float) -> None:
        """Note that nothing was unread at a time: what is read later was sent after that."""
        self.last_empty_ms, self.is_empty = max(self.last_empty_ms, at_ms), True

    def event(self, until_ms: float) -> Steps:
        """Return the next part of a message, waiting for it until some time."""
        while True:
            event = self.parse()
            if event is not h11.NEED_DATA:
                return event
            if self.http.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                yield from self.write(self.http.send(go_on), until_ms)
            if self.parsed_bytes >= PARSE_BYTES:
                # Guards the other connections' turns against a peer that sends at full speed, also in many
                # small parts.
                yield from sleep(self.loop.now())
                self.parsed_bytes = 0
            yield from self.wait_for_bytes(until_ms)
            self.feed_parser()

    def parse(self) -> Any:  # noqa: ANN401
        """Return the parser's next event, an h11 event or one of h11's sentinels."""
        try:
            return self.http.next_event()
        except h11.RemoteProtocolError as error:
            reason = Reason.PEER_CLOSED if self.eof and not len(self.buffer) else Reason.BAD_MESSAGE
            raise ConnectionEndedError(reason, error.error_status_hint) from None

    def wait_for_bytes(self, until_ms: float) -> Steps:
        """Wait until bytes or the end have come; what has come by the end of a wait is read.

        It was in time, though the loop be late.
        """
        came = ""
        while not len(self.buffer) and not self.eof:
            if not came and self.loop.now() >= until_ms:
                raise ConnectionEndedError(Reason.TIMED_OUT, 408)
            if not self.fill():
                if came == LATE:
                    raise ConnectionEndedError(Reason.TIMED_OUT, 408)
                self.parsed_bytes = 0
                came = yield (self.sock.fileno(), READ, until_ms)

    def feed_parser(self) -> None:
        """Hand some bytes to the parser, none for the end of the stream."""
        data = self.buffer.take(PARSE_BYTES)
        self.parsed_bytes += len(data)
        if self.http.their_state is h11.IDLE:
            self.raw_head += data
        self.http.receive_data(data)

    def wait_for_first_byte(self, until_ms: float) -> Steps:
        """Wait for the first byte of an answer, or for the peer's end."""
        while not (self.eof or self.has_ahead() or self.fill()):
            if (yield (self.sock.fileno(), READ, until_ms)) == LATE:
                raise ConnectionEndedError(Reason.TIMED_OUT)

    def answer(self, until_ms: float) -> Steps:
        """Return the head of a server's answer."""
        while True:
            event = yield from self.event(until_ms)
            if type(event) is h11.Response:
                return event
            if type(event) is not h11.InformationalResponse:
                raise ConnectionEndedError(Reason.PEER_CLOSED)

    def body(self, max_bytes: int, until_ms: float) -> Steps:
        """Return the rest of a message as one, up to some size."""
        parts, size = [], 0
        while True:
            event = yield from self.event(until_ms)
            if type(event) is h11.Data:
                size += len(event.data)
                if size > max_bytes:
                    raise ConnectionEndedError(Reason.TOO_LARGE, 413)
                parts.append(bytes(event.data))
            elif type(event) is h11.EndOfMessage:
                return b"".join(parts)
            else:
                raise ConnectionEndedError(Reason.PEER_CLOSED)

    def has_ahead(self) -> bool:
        """Return whether some of a further message has come, handed to the parser or not.

        Guards clients that write several requests at once: the parser may hold all of them.
        """
        return bool(len(self.buffer) or self.http.trailing_data[0])

    def is_quiet(self) -> bool:
        """Return whether an unused connection is still open with nothing said on it."""
        try:
            return not self.has_ahead() and not self.eof and not self.fill()
        except ConnectionEndedError:
            return False

    def wait_for_end(self) -> Wait:
        """Return the wait for a peer's end while its message is worked on; what it sends ahead is kept.

        Past some bytes it is left with the system. The end is seen all the same: it is asked for by itself,
        and what may hide it is looked for.
        """
        if len(self.buffer) < MAX_AHEAD_BYTES and not self.has_discarded:
            return (self.sock.fileno(), END | READ, inf)
        return (self.sock.fileno(), END, self.loop.now() + AHEAD_CHECK_MS)

    def discard_ahead(self) -> None:
        """Throw away what a peer has sent far ahead of its turn, and all behind it.

        Guards against work for one that has gone: without room the system takes neither a peer's bytes nor
        the end behind them, so that nothing shows it.
        """
        try:
            if not self.has_discarded:
                buffer_bytes = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
                far = min(len(DISCARD_BUFFER), int(HIDDEN_END_SHARE * buffer_bytes))
                self.has_discarded = self.sock.recv_into(DISCARD_BUFFER, far, socket.MSG_PEEK) == far
            for _ in range(MAX_DISCARD_READS if self.has_discarded else 0):
                if not self.sock.recv_into(DISCARD_BUFFER):
                    self.eof = True
                    break
        except ConnectionError:
            self.eof = True
        except OSError:
            return  # nothing more is there

    def is_peer_gone(self) -> bool:
        """Return whether the peer has ended its sending or reset, whatever of its bytes lies unread.

        One whose connection was closed here has gone as well: it gets no answer.
        """
        if self.closed:
            return True
        if not self.eof:
            poller = select.poll()
            poller.register(self.sock.fileno(), select.POLLRDHUP)
            self.eof = syscalls.is_poll_ready(poller, if_unknown=False)
        return self.eof

    # Writing.

    def wait_writable(self, until_ms: float) -> Steps:
        """Wait until the system takes bytes at once: a peer may not have read what it was sent before."""
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLOUT)
        while not syscalls.is_poll_ready(poller, if_unknown=True):
            if (yield (self.sock.fileno(), WRITE, until_ms)) == LATE:
                raise ConnectionEndedError(Reason.TIMED_OUT)

    def write(self, data: bytes, until_ms: float, left: Callable[[], bool] | None = None) -> Steps:
        """Write all of some bytes; none once the time is over, also where there is room just then.

        Nor once `left` says that whom they are for has gone, which is asked right before each part.
        """
        view = memoryview(data)
        while view:
            if left is not None and left():
                raise ConnectionEndedError(Reason.WITHDRAWN)
            try:
                sent = self.sock.send(view)
            except OSError as error:
                if not syscalls.is_transient(error):
                    raise ConnectionEndedError(Reason.PEER_RESET) from None
                if not isinstance(error, BlockingIOError):
                    yield from sleep(min(until_ms, self.loop.now() + syscalls.TRANSIENT_RETRY_MS))
                came = yield (self.sock.fileno(), WRITE, until_ms)
                if came == LATE or self.loop.now() >= until_ms:
                    raise ConnectionEndedError(Reason.TIMED_OUT) from None
            else:
                view = view[sent:]

    def message(
        self,
        head: h11.Request | h11.Response,
        body: bytes,
        until_ms: float,
        left: Callable[[], bool] | None = None,
    ) -> Steps:
        """Write a whole message, or as much as may go out."""
        data = self.http.send(head)
        if body:
            data += self.http.send(h11.Data(data=body))
        data += self.http.send(h11.EndOfMessage())
        yield from self.write(data, until_ms, left)
        self.messages += 1
        self.used_ms = self.loop.now()

    def send_last_response(self, status: int) -> None:
        """Answer a request that has not come whole, as far as that goes without waiting."""
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return  # it has an answer, or a part of one
        head = h11.Response(
            status_code=status, headers=[("Content-Length", "0"), ("Connection", "close")], reason=""
        )
        data = self.http.send(head) + self.http.send(h11.EndOfMessage())
        with contextlib.suppress(OSError):
            self.sock.send(data)
            self.sock.shutdown(socket.SHUT_WR)
            for _ in range(
                MAX_DISCARD_READS
            ):  # what stays unread would reset the connection and lose the answer
                if not self.sock.recv_into(DISCARD_BUFFER):
                    break

    def linger(self, until_ms: float) -> Steps:
        """Read on for a while after a last answer: unread bytes would make the system reset the connection.

        Guards against a client that never sees what was wrong with its request.
        """
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while (yield (self.sock.fileno(), READ, until_ms)) != LATE and self.sock.recv_into(
                DISCARD_BUFFER
            ):
                pass
        except OSError:
            return

    def start_next_message(self) -> bool:
        """Make ready for another message, where both sides may go on."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.raw_head[:] = self.http.trailing_data[0]
            self.http.start_next_cycle()
            self.used_ms = self.loop.now()
            return True
        return False

    def close(self, reason: Reason) -> None:
        """Close, and leave the one line."""
        if not self.closed:
            self.closed = True
            self.loop.close(self.sock)
            self.log.connection_ended(self.description, reason, self.messages)


def connect(
    loop: Loop, log: Log, address: tuple[str, int], what: str, until_ms: float, own: bool = False
) -> Steps:
    """Open a connection to a server; `own`: it is for the node itself, which has spare descriptors."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        sock = loop.descriptors.opened(lambda: socket.socket(family, socket.SOCK_STREAM), own)
    except OSError:
        log.connection_ended(what, Reason.NO_SOCKETS, 0)
        raise ConnectionEndedError(Reason.NO_SOCKETS) from None
    connection = Connection(loop, log, sock, h11.CLIENT, what)
    connection.address = address
    reason: Reason | None = Reason.REFUSED
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error = sock.connect_ex(address)
        if error == errno.EINPROGRESS:
            if (yield (sock.fileno(), WRITE, until_ms)) == LATE:
                reason = Reason.NO_CONNECT
                raise ConnectionEndedError(reason)
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise ConnectionEndedError(Reason.REFUSED)
    except Cancelled:
        reason = Reason.WITHDRAWN
        raise
    else:
        reason = None
        return connection
    finally:
        if reason is not None:
            connection.close(reason)
