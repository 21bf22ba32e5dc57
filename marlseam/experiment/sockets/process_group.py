"""The processes and sockets of a run on sockets, to be ended and closed after the run."""

import socket

from marlseam.experiment.processes import ChildProcess

LOOPBACK = "127.0.0.1"
LISTEN_BACKLOG = 512


class ProcessGroup:
    """Processes and sockets that are ended and closed together."""

    def __init__(self) -> None:
        self._processes: list[ChildProcess] = []
        self._sockets: list[socket.socket] = []

    def add(self, process: ChildProcess) -> ChildProcess:
        """Add a process to the group and return the process."""
        self._processes.append(process)
        return process

    def reserve_address(self) -> str:
        """Return an address reserved by a socket that is bound but does not listen.

        Guards against an outgoing connection that takes the port of a node while the node restarts.
        """
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((LOOPBACK, 0))
        self._sockets.append(reserved)
        return address_of(reserved)

    def listen(self) -> socket.socket:
        """Return a listening socket on a free port, for node processes to inherit."""
        listening = socket.create_server((LOOPBACK, 0), backlog=LISTEN_BACKLOG)
        self._sockets.append(listening)
        return listening

    def end(self) -> None:
        """End the processes, last started first, and close the sockets."""
        for process in reversed(self._processes):
            process.end()
        for sock in self._sockets:
            sock.close()


def address_of(bound: socket.socket) -> str:
    """Return the address that a socket is bound to, as host:port."""
    host, port = bound.getsockname()
    return f"{host}:{port}"
