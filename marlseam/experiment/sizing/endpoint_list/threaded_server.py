"""A small HTTP server on loopback for requests without a body, with one thread per connection."""

import contextlib
import socket
import threading
from abc import ABC, abstractmethod
from collections.abc import Iterator

LISTEN_BACKLOG = 256
READ_BYTES = 4096
HEAD_END = b"\r\n\r\n"


def request_heads(connection: socket.socket) -> Iterator[bytes]:
    """Yield the head of each request, without the empty line at its end, until the peer closes.

    Raises OSError if the connection breaks.
    """
    unread = b""
    while True:
        while HEAD_END not in unread:
            more = connection.recv(READ_BYTES)
            if not more:
                return
            unread += more
        head, _, unread = unread.partition(HEAD_END)
        yield head


class ThreadedServer(ABC):
    """Listens on loopback, and serves each connection in its own thread.

    Attributes:
        address: the address that the server listens on, as `HOST:PORT`.
    """

    def __init__(self) -> None:
        """Listen on a free port; connections are accepted after `start`."""
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._connections = 0

    def start(self) -> None:
        """Begin to accept connections, in a thread."""
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no more connections; open ones stay open."""
        self._listener.close()

    @abstractmethod
    def serve(self, connection: socket.socket, connection_id: int) -> None:
        """Serve a connection until it ends; the caller closes it, also after an OSError.

        `connection_id` identifies the connection among those of this server.
        """

    def _accept(self) -> None:
        """Accept connections until the listener is closed."""
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self._connections += 1
                threading.Thread(
                    target=self._serve_and_close, args=(connection, self._connections), daemon=True
                ).start()

    def _serve_and_close(self, connection: socket.socket, connection_id: int) -> None:
        """Serve a connection, and close it; an OSError is ignored."""
        with contextlib.suppress(OSError), connection:
            self.serve(connection, connection_id)
