"""Operators' calls: one to a connection, answered before clients' requests, with connections of its own."""

import socket
from collections.abc import Callable, Mapping
from typing import NamedTuple

import h11

from marlseam.net import http, protocol
from marlseam.net.connection import Connection, Steps
from marlseam.net.errors import ConnectionEndedError, MalformedMessageError
from marlseam.net.log import Log, Reason
from marlseam.net.loop import Cancelled, Coroutine, Loop, Task

CALL_MS = 2500.0  # how long a call may take to come, and as long its answer to go
MAX_BODY_BYTES = 1024  # of a call's body, where nothing more is said


class AdminCall(NamedTuple):
    """One call: its method, and what answers its body by a status and a text."""

    method: str
    answer: Callable[[bytes], tuple[int, str]]


class Admin:
    """Answers operators' calls, by path, on a bounded number of connections.

    Attributes:
        calls: what may be called, by path.
        open: the connections, the one that has waited longest first.

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
        self.listener = http.Listener(loop, http.bound(address), self.has_capacity, self.accept, first=True)

    def has_capacity(self, is_short: bool) -> bool:
        """Close the connection of the caller who has waited longest where there are too many.

        Guards usual callers against those that connect and finish no call. Where the system is short of
        descriptors, clients that are owed nothing give up theirs first.
        """
        if is_short and self.loop.descriptors.release_one(own=not self.open):
            return True
        while len(self.open) >= self.max_connections or (is_short and self.open):
            self.close_longest_waiting()
            if is_short:
                return True
        return not is_short

    def close_longest_waiting(self) -> None:
        """Close the connection of the caller who has waited longest."""
        connection, task = next(iter(self.open.items()))
        del self.open[connection]
        connection.close(Reason.CROWDED)
        if task is not None:
            task.cancel()

    def accept(self, sock: socket.socket) -> None:
        """Serve a connection."""
        connection = Connection(self.loop, self.log, sock, h11.SERVER, "operator")
        self.open[connection] = None
        task = self.loop.spawn(self.serve(connection), first=True)
        if connection in self.open:
            self.open[connection] = task

    def serve(self, connection: Connection) -> Coroutine:
        """Answer one call."""
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
                yield from http.complain(connection, end, self.loop.now() + CALL_MS)
        finally:
            self.open.pop(connection, None)
            connection.close(reason)

    def answer(self, connection: Connection, until_ms: float) -> Steps:
        """Read a call, do what it says, and write the answer."""
        try:
            call = yield from http.read(connection, until_ms, self.check_path, self.max_body_bytes)
        except MalformedMessageError as error:
            raise http.bad(error) from None
        status, text = self.calls[protocol.path_of(call.target)].answer(call.body)
        headers = [("Content-Type", "text/plain"), ("Connection", "close")]
        yield from http.answer(connection, status, headers, text.encode(), self.loop.now() + CALL_MS)

    def check_path(self, method: str, target: str) -> None:
        """Raise where there is no such call."""
        call = self.calls.get(protocol.path_of(target))
        if call is None:
            raise MalformedMessageError("no such path", 404)
        protocol.check_method(call.method, method)
