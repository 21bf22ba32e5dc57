"""An HTTP/1.1 listener on loopback; each connection is served one request at a time."""

import socket
from collections.abc import Callable
from math import inf

import h11

from marlseam.emulators.loopback import (
    disable_nagle,
    listening_socket,
    loopback_address,
    port_of,
    reset_on_close,
)
from marlseam.emulators.process import EmulatorProcess
from marlseam.net.connection import Connection, Steps
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.log import Reason
from marlseam.net.loop import READ, Cancelled, Coroutine, Task

MAX_BODY_BYTES = 1 << 20  # largest body of a request
Handler = Callable[[Connection, h11.Request, bytes], Steps]


class HttpListener:
    """A listening socket and the connections accepted from it; it can stop and listen again at its port.

    Attributes:
        process: the emulator process whose event loop it uses.
        name: the name of its connections in the log.
        handler: answers one request, given the connection, the request's head and its body.
        nodelay: whether Nagle's algorithm is off on its connections, so that small writes go out at once.
        connections: the open connections, each with the task that serves it.
        sock: the listening socket, None while the listener is stopped.
        port: the port; it stays the same across a stop.
    """

    def __init__(
        self, process: EmulatorProcess, name: str, handler: Handler, port: int = 0, nodelay: bool = True
    ) -> None:
        """Listen at a port, or at any free one if `port` is 0."""
        self.process, self.name, self.handler, self.nodelay = process, name, handler, nodelay
        self.connections: dict[Connection, Task] = {}
        self.sock: socket.socket | None = None
        self.port = port
        self._accept_task: Task | None = None
        self.listen()

    @property
    def address(self) -> str:
        """The address of the listening socket, as HOST:PORT."""
        return loopback_address(self.port)

    def listen(self) -> None:
        """Accept new connections, at the same port as before a stop; does nothing if already listening."""
        if self.sock is None:
            self.sock = listening_socket(self.port)
            self.port = port_of(self.sock)
            self._accept_task = self.process.loop.spawn(self._accept(self.sock))

    def stop_listening(self) -> None:
        """Close the listening socket, so that new connections are refused; open ones stay."""
        if self._accept_task is not None:
            self._accept_task.cancel()
            self._accept_task = None
        if self.sock is not None:
            self.process.loop.close(self.sock)
            self.sock = None

    def reset_connections(self) -> None:
        """Close all open connections by a TCP reset and cancel their tasks."""
        for connection, task in list(self.connections.items()):
            reset_on_close(connection.sock)
            connection.close(Reason.DONE)
            task.cancel()

    def _accept(self, sock: socket.socket) -> Coroutine:
        """Accept connections and start a task for each, until the task is cancelled."""
        while True:
            yield (sock.fileno(), READ, inf)
            try:
                client, _ = sock.accept()
            except OSError:
                continue
            client.setblocking(False)
            if self.nodelay:
                disable_nagle(client)
            connection = Connection(self.process.loop, self.process.log, client, h11.SERVER, self.name)
            self.process.loop.spawn(self._serve(connection))

    def _serve(self, connection: Connection) -> Coroutine:
        """Serve the requests of a connection one after the other."""
        self.connections[connection] = self.process.loop.running_task()
        reason = Reason.DONE
        try:
            while type(request := (yield from connection.event(inf))) is h11.Request:
                body = yield from connection.body(MAX_BODY_BYTES, inf)
                yield from self.handler(connection, request, body)
                if not connection.start_next_message():
                    break
        except ConnectionEndedError as ended:
            reason = ended.reason
        except h11.LocalProtocolError:
            reason = Reason.FAULT
        except Cancelled:
            reason = Reason.DRAINING
            raise
        finally:
            self.connections.pop(connection, None)
            connection.close(reason)


def reply(
    connection: Connection, status: int, body: bytes, headers: list[tuple[str, str]] | None = None
) -> Steps:
    """Write a whole response with its Content-Length."""
    head = h11.Response(status_code=status, headers=[*(headers or []), ("Content-Length", str(len(body)))])
    yield from connection.message(head, body, inf)
