"""The operators' door: one call to a connection, answered before clients' work, with places of its own."""

import socket
from collections.abc import Callable, Mapping

import h11

from marlseam.net import http, protocol
from marlseam.net.connection import Connection, Ended, Steps
from marlseam.net.log import Log, Reason
from marlseam.net.loop import Cancelled, Coroutine, Loop, Task
from marlseam.net.protocol import Malformed

CALL_MS = 2500.0  # how long a call may take to come, and as long its answer to go
BODY_MOST = 1024  # bytes of a call's body where nothing more is said
Calls = Mapping[
    str, tuple[str, Callable[[bytes], tuple[int, str]]]
]  # by path: the method, what answers a body


class Admin:
    """Answers operators' calls, so many at a time; `calls` gives each its status and text."""

    def __init__(
        self,
        loop: Loop,
        log: Log,
        address: tuple[str, int],
        places: int,
        calls: Calls,
        body_most: int = BODY_MOST,
    ) -> None:
        self.loop, self.log, self.places, self.calls, self.body_most = loop, log, places, calls, body_most
        self.open: dict[Connection, Task | None] = {}  # the one that has waited longest first
        self.listener = http.Listener(loop, http.bound(address), self.make_room, self.taken, first=True)

    def make_room(self, short: bool) -> bool:
        """Close the connection of the caller who has waited longest where there are too many.

        Guards usual callers against those that connect and finish no call. Where the system has no descriptor
        left, clients that are owed nothing give up theirs first.
        """
        if short and self.loop.descriptors.free(own=not self.open):
            return True
        while len(self.open) >= self.places or (short and self.open):
            connection, task = next(iter(self.open.items()))
            del self.open[connection]
            connection.close(Reason.CROWDED)
            task.cancel()
            if short:
                return True
        return not short

    def taken(self, sock: socket.socket) -> None:
        """Serve a connection."""
        connection = Connection(self.loop, self.log, sock, h11.SERVER, "operator")
        self.open[connection] = None
        task = self.loop.spawn(self.serve(connection), first=True)
        if connection in self.open:
            self.open[connection] = task

    def serve(self, connection: Connection) -> Coroutine:
        """Answer one call."""
        reason, until = Reason.FAULT, connection.opened_ms + CALL_MS
        try:
            yield from self.answer(connection, until)
            reason = Reason.DONE
            yield from connection.linger(self.loop.now() + http.LINGER_MS)
        except Cancelled:
            reason = Reason.DRAINING
            raise
        except Ended as ended:
            reason = ended.reason
            if ended.status:
                yield from http.complain(connection, ended, self.loop.now() + CALL_MS)
        finally:
            self.open.pop(connection, None)
            connection.close(reason)

    def answer(self, connection: Connection, until: float) -> Steps:
        """Read a call, do what it says, and write the answer."""
        try:
            call = yield from http.read(connection, until, self.allows, self.body_most)
        except Malformed as error:
            raise http.bad(error) from None
        status, text = self.calls[protocol.path_of(call.target)][1](call.body)
        headers = [("Content-Type", "text/plain"), ("Connection", "close")]
        yield from http.answer(connection, status, headers, text.encode(), self.loop.now() + CALL_MS)

    def allows(self, method: str, target: str) -> None:
        """Refuse what is no call."""
        found = self.calls.get(protocol.path_of(target))
        if found is None:
            raise Malformed("no such path", 404)
        protocol.only(found[0], method)
