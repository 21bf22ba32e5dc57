"""The HTTP server for operators' calls: one call a connection, handled before clients' requests.

Its limit of connections is separate from that of clients.
"""

import socket
from collections.abc import Callable, Mapping
from typing import NamedTuple

import h11

from marlseam.net import http, protocol
from marlseam.net.connection import Connection, Steps
from marlseam.net.errors import ConnectionEndedError, MalformedMessageError
from marlseam.net.log import Log, Reason
from marlseam.net.loop import Cancelled, Coroutine, Loop, Task

CALL_MS = 2500.0  # how long reading a call may take, and again how long writing its answer may take
MAX_BODY_BYTES = 1024  # of a call's body, unless the caller of `Admin` sets another limit


class AdminCall(NamedTuple):
    """A call: its HTTP method, and the function that maps its body to an HTTP status and a string."""

    method: str
    answer: Callable[[bytes], tuple[int, str]]


class Admin:
    """Answers operators' calls by path, on a bounded number of connections.

    Attributes:
        calls: the calls by path.
        max_connections: open connections at most.
        max_body_bytes: of a call's body at most.
        open: the open connections with their tasks, the oldest first.
        listener: accepts the connections.

    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        address: tuple[str, int],
        max_connections: int,
        calls: Mapping[str, AdminCall],
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self.loop, self.log, self.calls = loop, log, calls
        self.max_connections, self.max_body_bytes = max_connections, max_body_bytes
        self.open: dict[Connection, Task | None] = {}
        self.listener = http.Listener(
            loop, http.bound_socket(address), self.has_capacity, self.accept, prioritized=True
        )

    def has_capacity(self, is_short: bool) -> bool:
        """Make room for a connection; return whether one may be accepted.

        Closes the oldest connection where there are too many: guards usual callers against those that connect
        and finish no call. Where the system is short of descriptors (`is_short`), connections of clients
        without an open request are closed first.
        """
        if is_short and self.loop.descriptors.release_one(use_spares=not self.open):
            return True
        while len(self.open) >= self.max_connections or (is_short and self.open):
            self.close_oldest()
            if is_short:
                return True
        return not is_short

    def close_oldest(self) -> None:
        """Close the connection that has been open longest."""
        connection, task = next(iter(self.open.items()))
        del self.open[connection]
        connection.close(Reason.CROWDED)
        if task is not None:
            task.cancel()

    def accept(self, sock: socket.socket) -> None:
        """Start a task that serves a new connection."""
        connection = Connection(self.loop, self.log, sock, h11.SERVER, "operator")
        self.open[connection] = None
        task = self.loop.spawn(self.serve(connection), prioritized=True)
        if connection in self.open:
            self.open[connection] = task

    def serve(self, connection: Connection) -> Coroutine:
        """Answer one call on a connection, or its error, and close the connection."""
        reason, until_ms = Reason.FAULT, connection.opened_ms + CALL_MS
        try:
            yield from self.answer(connection, until_ms)
            reason = Reason.DONE
            yield from connection.linger(self.loop.now() + http.LINGER_MS)
        except Cancelled:
            reason = Reason.DRAINING
            raise
        except ConnectionEndedError as end:
            reason = end.reason
            if end.status:
                yield from http.send_error(connection, end, self.loop.now() + CALL_MS)
        finally:
            self.open.pop(connection, None)
            connection.close(reason)

    def answer(self, connection: Connection, until_ms: float) -> Steps:
        """Read a call until `until_ms`, carry it out, and write the answer; raises ConnectionEndedError."""
        try:
            call = yield from http.read(connection, until_ms, self.check_path, self.max_body_bytes)
        except MalformedMessageError as error:
            raise http.malformed_end(error) from None
        status, text = self.calls[protocol.path_of(call.target)].answer(call.body)
        headers = [("Content-Type", "text/plain"), ("Connection", "close")]
        yield from http.answer(connection, status, headers, text.encode(), self.loop.now() + CALL_MS)

    def check_path(self, method: str, target: str) -> None:
        """Raise MalformedMessageError where the path or the method of a call is unknown."""
        call = self.calls.get(protocol.path_of(target))
        if call is None:
            raise MalformedMessageError("no such path", 404)
        protocol.check_method(call.method, method)
