"""Helpers for the emulators' TCP sockets on loopback."""

import socket
import struct

LOOPBACK_HOST = "127.0.0.1"
LISTEN_BACKLOG = 512  # connections that wait to be accepted
ZERO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 s


def listening_socket(port: int = 0) -> socket.socket:
    """Return a non-blocking socket that listens on loopback, at any free port if `port` is 0."""
    sock = socket.create_server((LOOPBACK_HOST, port), backlog=LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


def port_of(sock: socket.socket) -> int:
    """Return the port of a listening socket."""
    port: int = sock.getsockname()[1]
    return port


def loopback_address(port: int) -> str:
    """Return the address of a port on loopback, as HOST:PORT."""
    return f"{LOOPBACK_HOST}:{port}"


def disable_nagle(sock: socket.socket) -> None:
    """Send small writes at once; else each waits up to 40 ms for the previous one to be acknowledged."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset_on_close(sock: socket.socket) -> None:
    """Make a later close of the socket send a TCP reset (RST) instead of an orderly end (FIN)."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
