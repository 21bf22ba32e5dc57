"""The processes and sockets that a run on sockets must end and close."""

import socket

from marlseam.experiment.processes import ChildProcess

LOOPBACK = "127.0.0.1"
LISTEN_BACKLOG = 512


class ProcessGroup:
    """Processes that were started and sockets that are held, to be ended and closed with the run."""

    def __init__(self) -> None:
        """Make an empty one."""
        self._processes: list[ChildProcess] = []
        self._sockets: list[socket.socket] = []

    def add(self, process: ChildProcess) -> ChildProcess:
        """Add a process, and return it."""
        self._processes.append(process)
        return process

    def reserve_address(self) -> str:
        """Return an address that is held by a socket which is bound and does not listen.

        Guards a node that restarts: while it is away, an outgoing connection could take its port.
        """
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((LOOPBACK, 0))
        self._sockets.append(held)
        return address_of(held)

    def listen(self) -> socket.socket:
        """Return a listening socket, for processes to inherit."""
        listening = socket.create_server((LOOPBACK, 0), backlog=LISTEN_BACKLOG)
        self._sockets.append(listening)
        return listening

    def end(self) -> None:
        """End the processes, those that were started last first, and close the sockets."""
        for process in reversed(self._processes):
            process.end()
        for held in self._sockets:
            held.close()


def address_of(bound: socket.socket) -> str:
    """Return the address that a socket is bound to, as host:port."""
    host, port = bound.getsockname()
    return f"{host}:{port}"
