"""A small HTTP server on loopback, with a thread for each connection, for requests without a body."""

import contextlib
import socket
import threading
from abc import ABC, abstractmethod
from collections.abc import Iterator

LISTEN_BACKLOG = 256
READ_BYTES = 4096
HEAD_END = b"\r\n\r\n"


def request_heads(connection: socket.socket) -> Iterator[bytes]:
    """Give the head of each request, without its end, until the peer closes; raises OSError."""
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
    """Listens on loopback and has each connection served in a thread of its own.

    Attributes:
        address: `HOST:PORT`.
    """

    def __init__(self) -> None:
        """Listen; connections are taken from `start` on."""
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._connections = 0

    def start(self) -> None:
        """Take connections."""
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Take no more connections."""
        self._listener.close()

    @abstractmethod
    def serve(self, connection: socket.socket, number: int) -> None:
        """Serve a connection until it ends; an OSError ends it too.

        `number` tells it apart from all others.
        """

    def _accept(self) -> None:
        """Take connections until the listener is closed."""
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self._connections += 1
                threading.Thread(
                    target=self._serve_and_close, args=(connection, self._connections), daemon=True
                ).start()

    def _serve_and_close(self, connection: socket.socket, number: int) -> None:
        """Serve a connection, and close it."""
        with contextlib.suppress(OSError), connection:
            self.serve(connection, number)
