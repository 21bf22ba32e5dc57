"""One HTTP connection, as client or server: socket, buffer, h11 parser, and a log line when it ends."""

import contextlib
import errno
import re
import select
import socket
from collections.abc import Callable, Generator
from http import HTTPStatus
from math import inf
from typing import Any

import h11

from marlseam.net import syscalls
from marlseam.net.buffer import Buffer
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.log import Log, Reason
from marlseam.net.loop import END, LATE, READ, WRITE, Cancelled, Loop, Wait, in_background, sleep

PARSE_BYTES = 4096  # bytes passed to the parser at a time
# What a connection may parse until it lets others run: bytes, and events (a chunk is one, however small).
MAX_UNYIELDED_BYTES = 16384
MAX_UNYIELDED_EVENTS = 64
MAX_HEAD_BYTES = 16384  # maximum size of a message's head
MAX_HEAD_LINES = 100  # maximum number of lines of a request's head; a parsed line takes 50 times its bytes
FIRST_HEAD_BYTE = 0x21  # the lowest byte with which a request's head may begin
HEAD_END = re.compile(rb"\n\r?\n")
MAX_PIPELINED_BYTES = 2048  # bytes of pipelined data that are read at once while a message is worked on
MIN_READ_BYTES = 2048  # least room for a read
PIPELINED_READ_BYTES = 65536  # least room for a read of pipelined bytes that may hide the peer's end
PIPELINED_CHECK_MS = 20.0  # how often a peer that has sent MAX_PIPELINED_BYTES is checked for more
# Share of the socket's receive buffer, at most DISCARD_BUFFER's size; more unread bytes may hide an end.
HIDDEN_END_SHARE = 0.5
# Maximum reads of DISCARD_BUFFER's size, in one check and before a connection is closed without a wait.
MAX_DISCARD_READS = 16
DISCARD_BUFFER = bytearray(65536)  # target of reads whose bytes are discarded
Headers = list[tuple[str, str]]
Steps = Generator[Wait, str, Any]


class Connection:
    """Reads and writes the messages of one connection; its user closes it once, with a reason.

    Attributes:
        sock: the non-blocking socket.
        description: name of the peer in log lines.
        http: h11's parser and writer.
        buffer: bytes that were received and not parsed.
        raw_head: of the side of a server, the received bytes of the current request up to its head's end.
        messages: number of messages written.
        closed: whether this side has closed the connection.
        eof: whether the peer has closed its sending side.
        has_discarded: whether received bytes were discarded, after which no message can follow.
        parsed_bytes, parsed_events: what was parsed since this connection last yielded to the loop.
        opened_ms, used_ms: when the connection was opened and last used, by the loop's clock.
        last_empty_ms: when the socket last had no unread bytes, by the loop's clock.
        earliest_sent_ms: `last_empty_ms` before the last read, whose bytes were sent after this time.
        is_empty: whether the socket had no unread bytes at the last check.
        address: the server's address on the client side; None on the server side.

    """

    def __init__(self, loop: Loop, log: Log, sock: socket.socket, role: type, what: str) -> None:
        self.loop, self.log, self.sock, self.description = loop, log, sock, what
        self.http = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.buffer = Buffer()
        self.raw_head = bytearray()
        self.messages, self.closed, self.eof = 0, False, False
        self.has_discarded = False  # whether received bytes were discarded, after which no message can follow
        self.parsed_bytes = self.parsed_events = 0
        self.opened_ms = self.used_ms = loop.now()
        self.last_empty_ms = self.earliest_sent_ms = self.opened_ms
        self.is_empty = False
        self.address: tuple[str, int] | None = None

    # Reading.

    def fill(self, min_bytes: int = MIN_READ_BYTES) -> bool:
        """Read available bytes without waiting, with room for at least `min_bytes`.

        Returns whether bytes or the peer's end were read.
        """
        try:
            count = syscalls.none_if_transient(lambda: self.sock.recv_into(self.buffer.reserve(min_bytes)))
        except OSError:
            raise ConnectionEndedError(Reason.PEER_RESET) from None
        if count is None:
            self.note_empty(self.loop.now())
            return False
        if self.is_empty:  # it was still empty at the loop's last poll before these bytes
            self.last_empty_ms, self.is_empty = max(self.last_empty_ms, self.loop.ready_since_ms), False
        self.earliest_sent_ms = self.last_empty_ms
        self.buffer.commit(count)
        self.eof = self.eof or not count
        return True

    def note_empty(self, at_ms: float) -> None:
        """Record that the socket had no unread bytes at a time; bytes read later were sent after it."""
        self.last_empty_ms, self.is_empty = max(self.last_empty_ms, at_ms), True

    def event(self, until_ms: float) -> Steps:
        """Return the next h11 event of a message; raises ConnectionEndedError if none comes by `until_ms`."""
        while True:
            if self.parsed_bytes >= MAX_UNYIELDED_BYTES or self.parsed_events >= MAX_UNYIELDED_EVENTS:
                yield from self.let_others_run()
            event = self.parse()
            self.parsed_events += 1
            if event is not h11.NEED_DATA:
                return event
            if self.http.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(status_code=100, headers=[])
                yield from self.write(self.http.send(continue_response), until_ms)
            if not self.feed_whole_head():
                yield from self.wait_for_bytes(until_ms)
                self.feed_parser()

    def let_others_run(self) -> Steps:
        """Yield to the loop. Guards other connections against a peer that sends at full speed.

        Requests go on in the background: many clients whose requests are costly to parse would otherwise fill
        each turn of the loop.
        """
        yield from in_background() if self.http.our_role is h11.SERVER else sleep(self.loop.now())
        self.parsed_bytes = self.parsed_events = 0

    def parse(self) -> Any:  # noqa: ANN401
        """Return the parser's next event, an h11 event or one of h11's sentinels."""
        try:
            return self.http.next_event()
        except h11.RemoteProtocolError as error:
            reason = Reason.PEER_CLOSED if self.eof and not len(self.buffer) else Reason.BAD_MESSAGE
            raise ConnectionEndedError(reason, error.error_status_hint) from None

    def wait_for_bytes(self, until_ms: float) -> Steps:
        """Wait until bytes or the peer's end are received; raises ConnectionEndedError after `until_ms`.

        Bytes that have arrived when the wait ends are read: they were in time even if the loop runs late.
        """
        event = ""
        while not len(self.buffer) and not self.eof:
            if not event and self.loop.now() >= until_ms:
                raise ConnectionEndedError(Reason.TIMED_OUT, 408)
            if not self.fill():
                if event == LATE:
                    raise ConnectionEndedError(Reason.TIMED_OUT, 408)
                self.parsed_bytes = self.parsed_events = 0
                event = yield (self.sock.fileno(), READ, until_ms)

    def feed_parser(self) -> None:
        """Pass received bytes to the parser; no bytes mean the end of the stream.

        A request's head is kept here until it is whole, so that there is one copy of an incomplete one.
        """
        data = self.buffer.take(PARSE_BYTES)
        self.parsed_bytes += len(data)
        if not self.is_in_head():
            self.http.receive_data(data)
            return
        self.raw_head += data
        if not self.feed_whole_head() and not data:
            if self.raw_head:
                self.http.receive_data(bytes(self.raw_head))
            self.http.receive_data(b"")

    def is_in_head(self) -> bool:
        """Return whether this is the side of a server, and the next byte belongs to a request's head."""
        return self.http.our_role is h11.SERVER and self.http.their_state is h11.IDLE

    def feed_whole_head(self) -> bool:
        """Pass a request's head to the parser if it is whole or can be no head; return whether it was."""
        if not self.raw_head or not self.is_in_head():
            return False
        self.check_head_lines()
        is_over = len(self.raw_head) > MAX_HEAD_BYTES or HEAD_END.search(self.raw_head)
        if not is_over and self.raw_head[0] >= FIRST_HEAD_BYTE:
            return False
        self.http.receive_data(bytes(self.raw_head))
        return True

    def check_head_lines(self) -> None:
        """Raise ConnectionEndedError (431) for a head of too many lines, before it is parsed.

        Guards the node's memory and its loop: thousands of short fields fit into MAX_HEAD_BYTES.
        """
        end = HEAD_END.search(self.raw_head)
        if self.raw_head.count(b"\n", 0, end.start() if end else len(self.raw_head)) > MAX_HEAD_LINES:
            raise ConnectionEndedError(Reason.TOO_LARGE, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def wait_for_first_byte(self, until_ms: float) -> Steps:
        """Wait for the first byte of an answer, or for the peer's end; raises TIMED_OUT after `until_ms`."""
        while not (self.eof or self.has_pipelined() or self.fill()):
            if (yield (self.sock.fileno(), READ, until_ms)) == LATE:
                raise ConnectionEndedError(Reason.TIMED_OUT)

    def answer(self, until_ms: float) -> Steps:
        """Return the head of a server's answer, skipping informational responses."""
        while True:
            event = yield from self.event(until_ms)
            if type(event) is h11.Response:
                return event
            if type(event) is not h11.InformationalResponse:
                raise ConnectionEndedError(Reason.PEER_CLOSED)

    def body(self, max_bytes: int, until_ms: float) -> Steps:
        """Return the remaining body of a message; raises ConnectionEndedError (413) above `max_bytes`."""
        body = bytearray()
        while True:
            event = yield from self.event(until_ms)
            if type(event) is h11.Data:
                if len(body) + len(event.data) > max_bytes:
                    raise ConnectionEndedError(Reason.TOO_LARGE, 413)
                body += event.data
            elif type(event) is h11.EndOfMessage:
                return bytes(body)
            else:
                raise ConnectionEndedError(Reason.PEER_CLOSED)

    def has_pipelined(self) -> bool:
        """Return whether bytes of a further message have been received, passed to the parser or not.

        Guards clients that pipeline requests: the parser may hold all of them.
        """
        has_next_head = self.is_in_head() and bool(self.raw_head)
        return bool(len(self.buffer) or has_next_head or self.http.trailing_data[0])

    def is_quiet(self) -> bool:
        """Return whether an idle connection is still open and has received nothing."""
        try:
            return not self.has_pipelined() and not self.eof and not self.fill()
        except ConnectionEndedError:
            return False

    def wait_for_end(self) -> Wait:
        """Return the wait for a peer's end while its message is worked on; pipelined bytes are buffered.

        Beyond MAX_PIPELINED_BYTES, pipelined bytes stay in the socket. The peer's end is still detected: the
        wait is for the end alone, and every PIPELINED_CHECK_MS the socket is checked for bytes that may hide
        it.
        """
        if len(self.buffer) < MAX_PIPELINED_BYTES and not self.has_discarded:
            return (self.sock.fileno(), END | READ, inf)
        return (self.sock.fileno(), END, self.loop.now() + PIPELINED_CHECK_MS)

    def read_pipelined(self, max_kept: int) -> None:
        """Read pipelined bytes if they fill much of the socket's receive buffer; keep up to `max_kept`.

        Where there are more, these and all later ones are discarded. Guards against work for a client that
        has disconnected: with a full receive buffer the system accepts neither more bytes nor the end behind
        them, so that the end would not be detected.
        """
        try:
            if not self.has_discarded and self.hides_end():
                while len(self.buffer) < max_kept and self.fill(PIPELINED_READ_BYTES) and not self.eof:
                    pass
                self.has_discarded = len(self.buffer) >= max_kept and not self.eof
            if self.has_discarded:
                self.discard_unread()
        except ConnectionEndedError:
            self.eof = True

    def hides_end(self) -> bool:
        """Return whether so many bytes are unread that the peer's end may wait behind them."""
        buffer_bytes = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        limit_bytes = min(len(DISCARD_BUFFER), int(HIDDEN_END_SHARE * buffer_bytes))
        try:
            return self.sock.recv_into(DISCARD_BUFFER, limit_bytes, socket.MSG_PEEK) == limit_bytes
        except ConnectionError:
            raise ConnectionEndedError(Reason.PEER_RESET) from None
        except OSError:
            return False

    def discard_unread(self) -> None:
        """Discard unread bytes, up to MAX_DISCARD_READS reads of them."""
        try:
            for _ in range(MAX_DISCARD_READS):
                if not self.sock.recv_into(DISCARD_BUFFER):
                    self.eof = True
                    break
        except ConnectionError:
            self.eof = True
        except OSError:
            return  # no more bytes

    def is_peer_gone(self) -> bool:
        """Return whether the peer has closed its sending side or reset, even if bytes are unread.

        A peer whose connection was closed by this side counts as gone too: it gets no answer.
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
        """Wait until the socket accepts bytes without blocking: the peer may not have read earlier ones."""
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLOUT)
        while not syscalls.is_poll_ready(poller, if_unknown=True):
            if (yield (self.sock.fileno(), WRITE, until_ms)) == LATE:
                raise ConnectionEndedError(Reason.TIMED_OUT)

    def write(self, data: bytes, until_ms: float, has_left: Callable[[], bool] | None = None) -> Steps:
        """Write all bytes; raises ConnectionEndedError with TIMED_OUT once a wait ends after `until_ms`.

        Nothing is written after that time, even if the socket is writable then. `has_left` is checked right
        before each part is written: if it returns that the client has disconnected, raises WITHDRAWN.
        """
        view = memoryview(data)
        while view:
            if has_left is not None and has_left():
                raise ConnectionEndedError(Reason.WITHDRAWN)
            try:
                sent = self.sock.send(view)
            except OSError as error:
                if not syscalls.is_transient(error):
                    raise ConnectionEndedError(Reason.PEER_RESET) from None
                if not isinstance(error, BlockingIOError):
                    yield from sleep(min(until_ms, self.loop.now() + syscalls.TRANSIENT_RETRY_MS))
                event = yield (self.sock.fileno(), WRITE, until_ms)
                if event == LATE or self.loop.now() >= until_ms:
                    raise ConnectionEndedError(Reason.TIMED_OUT) from None
            else:
                view = view[sent:]

    def message(
        self,
        head: h11.Request | h11.Response,
        body: bytes,
        until_ms: float,
        has_left: Callable[[], bool] | None = None,
    ) -> Steps:
        """Write a whole message; raises as `write` does, and then only a part may have been written."""
        data = self.http.send(head)
        if body:
            data += self.http.send(h11.Data(data=body))
        data += self.http.send(h11.EndOfMessage())
        yield from self.write(data, until_ms, has_left)
        self.messages += 1
        self.used_ms = self.loop.now()

    def send_last_response(self, status: int) -> None:
        """Answer a request that was not received completely, as far as possible without waiting."""
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return  # the request already has an answer, or a part of one
        head = h11.Response(
            status_code=status, headers=[("Content-Length", "0"), ("Connection", "close")], reason=""
        )
        data = self.http.send(head) + self.http.send(h11.EndOfMessage())
        with contextlib.suppress(OSError):
            self.sock.send(data)
            self.sock.shutdown(socket.SHUT_WR)
            for _ in range(MAX_DISCARD_READS):  # unread bytes would reset the connection and lose the answer
                if not self.sock.recv_into(DISCARD_BUFFER):
                    break

    def linger(self, until_ms: float) -> Steps:
        """Discard bytes after the last answer: unread bytes would make the system reset the connection.

        Guards against a client that never receives the error answer to its request.
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
        """Prepare for the next message; return False if one side does not allow another one."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if self.http.our_role is h11.SERVER:
            self.raw_head[:] = self.http.trailing_data[0]
            self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        else:
            self.http.start_next_cycle()
        self.used_ms = self.loop.now()
        return True

    def close(self, reason: Reason) -> None:
        """Close the connection once, and log its one line."""
        if not self.closed:
            self.closed = True
            self.loop.close(self.sock)
            self.log.connection_ended(self.description, reason, self.messages)


def connect(
    loop: Loop, log: Log, address: tuple[str, int], what: str, until_ms: float, use_spares: bool = False
) -> Steps:
    """Open a connection to a server; `use_spares` allows the node's spare descriptors.

    Raises ConnectionEndedError with NO_SOCKETS, REFUSED, or NO_CONNECT if not established by `until_ms`.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        sock = loop.descriptors.open_with_release(
            lambda: socket.socket(family, socket.SOCK_STREAM), use_spares
        )
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
