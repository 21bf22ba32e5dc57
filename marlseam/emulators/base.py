"""What stand-ins share.

The run's clock, the ready line, the begin line, the end with the parent, HTTP served.

A stand-in starts on port 0 and prints one JSON line with its addresses when it is ready. Then it takes one
JSON line on standard input, `{"zero": SECONDS}`, the run's zero on the system's monotonic clock; before that
its time stands at 0. It ends on SIGTERM, and when standard input ends, as it does when the parent does;
`--now` begins at once and leaves standard input alone.
"""

import json
import signal
import socket
import sys
import time
from collections.abc import Callable
from math import inf
from pathlib import Path

import h11

from marlseam.net.connection import Connection, ConnectionEndedError, Steps
from marlseam.net.log import Log, Reason
from marlseam.net.loop import READ, Cancelled, Coroutine, Loop, Task
from marlseam.records import RecordStreams

BODY_MOST = 1 << 20  # bytes of a request's body
Handler = Callable[[Connection, h11.Request, bytes], Steps]


class Door:
    """One listening socket on loopback and the connections that came by it.

    It can be shut and opened again.
    """

    def __init__(
        self, stand: "Stand", name: str, handler: Handler, port: int = 0, nodelay: bool = True
    ) -> None:
        self.stand, self.name, self.handler, self.nodelay = stand, name, handler, nodelay
        self.open: dict[Connection, Task] = {}
        self.sock: socket.socket | None = None
        self.port = port
        self.listen()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    def listen(self) -> None:
        """Open it, at the port that it had before if there was one."""
        if self.sock is None:
            self.sock = socket.create_server(("127.0.0.1", self.port), backlog=512)
            self.sock.setblocking(False)
            self.port = self.sock.getsockname()[1]
            self.accepting = self.stand.loop.spawn(self.accept(self.sock))

    def shut(self) -> None:
        """Refuse new connections."""
        if self.sock is not None:
            self.accepting.cancel()
            self.stand.loop.close(self.sock)
            self.sock = None

    def reset(self) -> None:
        """Break all connections."""
        for connection, task in list(self.open.items()):
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            connection.close(Reason.DONE)
            task.cancel()

    def accept(self, sock: socket.socket) -> Coroutine:
        """Accept connections for as long as it is open."""
        while True:
            yield (sock.fileno(), READ, inf)
            try:
                client, _ = sock.accept()
            except OSError:
                continue
            client.setblocking(False)
            if self.nodelay:
                # Guards against 40 ms a message: small writes wait for each other's acknowledgment.
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(self.stand.loop, self.stand.log, client, h11.SERVER, self.name)
            self.stand.loop.spawn(self.serve(connection))

    def serve(self, connection: Connection) -> Coroutine:
        """Serve requests one after the other."""
        self.open[connection] = self.stand.loop.current
        reason = Reason.DONE
        try:
            while type(request := (yield from connection.event(inf))) is h11.Request:
                body = yield from connection.body(BODY_MOST, inf)
                yield from self.handler(connection, request, body)
                if not connection.start_next_message():
                    break
        except (ConnectionEndedError, h11.LocalProtocolError) as ended:
            reason = getattr(ended, "reason", Reason.FAULT)
        except Cancelled:
            reason = Reason.DRAINING
            raise
        finally:
            self.open.pop(connection, None)
            connection.close(reason)


class Quiet(Log):
    """A log that keeps the ends of connections to itself: stand-ins write records instead."""

    def ended(self, what: str, reason: Reason, messages: int) -> None:
        """Say nothing."""


class Stand:
    """One stand-in process: its loop, clock and streams."""

    def __init__(self, system: str, folder: Path | None) -> None:
        self.loop = Loop(lambda text: print(text, file=sys.stderr, flush=True))
        self.log = Quiet(system, self.loop.now)
        self.streams = RecordStreams(folder, system)
        self.zero: float | None = None
        self.schedule: list[tuple[float, Callable[[], None]]] = []

    def now(self) -> float:
        """Return ms since the run's zero; 0 before it."""
        return max(0.0, (time.monotonic() - self.zero) * 1000.0) if self.zero is not None else 0.0

    def at(self, t: float, call: Callable[[], None]) -> None:
        """Call at a time of the run."""
        if self.zero is None:
            self.schedule.append((t, call))
        else:
            self.loop.at(self.loop.now() + t - (time.monotonic() - self.zero) * 1000.0, call)

    def begin(self, zero: float) -> None:
        """Start the run's clock."""
        self.zero = zero
        for t, call in self.schedule:
            self.at(t, call)
        self.schedule.clear()

    def listen_to_parent(self) -> Coroutine:
        """Take the begin line, then the end of standard input."""
        text = b""
        source = sys.stdin.buffer.raw
        while True:
            yield (source.fileno(), READ, inf)
            more = source.read(4096)
            if not more:
                self.loop.stopped = True
                return
            text += more
            while b"\n" in text:
                line, _, text = text.partition(b"\n")
                self.begin(float(json.loads(line)["zero"]))

    def run(self, ready: dict, now: bool = False) -> None:
        """Print the ready line and run to the end."""

        def stop() -> None:
            self.loop.stopped = True

        self.loop.on_signals({signal.SIGTERM: stop, signal.SIGINT: stop})
        if now:
            self.begin(time.monotonic())
        else:
            self.loop.spawn(self.listen_to_parent())
        print(json.dumps(ready), flush=True)
        self.loop.run()
        self.loop.finish()
        self.streams.end(self.now())


def reply(
    connection: Connection, status: int, body: bytes, headers: list[tuple[str, str]] | None = None
) -> Steps:
    """Write a whole answer."""
    head = h11.Response(status_code=status, headers=[*(headers or []), ("Content-Length", str(len(body)))])
    yield from connection.message(head, body, inf)
