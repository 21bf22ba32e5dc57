"""Servers on real loopback sockets that a test controls, and functions that run a node's loop.

A test accepts, reads, answers and closes at the instants that it chooses and runs the node's loop in between,
so that the order of events is the same in every run.
"""

import json
import os
import socket
import struct
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from pathlib import Path

from conftest import OPTIONS
from http_samples import REQUEST

from marlseam import configuration, core
from marlseam.configuration import deployment_from
from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState, ListUpdateKind
from marlseam.net.loop import Loop
from marlseam.net.node import Node

CONDITION_LIMIT_MS = 2000.0  # shorter than the requests' deadlines, after which nothing is left to wait for
REAL_TIME_LIMIT_MS = 10000.0  # for conditions whose time depends on the load of the machine
CLOCK_STEP_MS = 0.01  # by which a controlled clock advances at each reading

SAFE_REQUEST = REQUEST.replace(b"0.5", b"5")
UNSAFE_REQUEST = SAFE_REQUEST.replace(b"statement", b"posting")
LONG_BODY_BYTES = 65536
PIPELINED_BYTES = b"x" * 20000  # more pipelined bytes than a node buffers
NEVER_RAN_RESPONSE = b"HTTP/1.1 503 -\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n"

_SOCKET_CLASS = socket.socket  # the original class, which tests may replace

HUGE_NUMBER = b"1" + b"0" * 400  # larger than any float
DEEPLY_NESTED = b"[" * 30000

# Requests and classes of each idempotency. `KEYED_STATEMENT` is for KEYED_CLASS, the first class made keyed.
KEYED_CLASS = OPTIONS["requestClasses"][0] | {"semantics": "keyed", "dedupScope": "all", "aimStretch": 20}
KEYED_STATEMENT = SAFE_REQUEST.replace(b"Host: h", b"Host: h\r\nIdempotency-Key: k")
KEYED_REQUEST = KEYED_STATEMENT.replace(b"statement", b"payment")
CLASS_OF_EACH_IDEMPOTENCY = [row | {"aimStretch": 20} for row in OPTIONS["requestClasses"]] + [
    KEYED_CLASS | {"name": "payment", "dedupScope": "cell", "memorySpanUs": 1000000}
]

NO_PROBES = {"mayProbe": False}
NO_PROBES_NO_CANCEL = {"mayProbe": False, "cancel": False}

# An address for this process only. Guards against nodes of other test runs, which connect to ports that they
# used before and could connect first.
OWN_LOOPBACK = f"127.{1 + (os.getpid() >> 16) % 250}.{(os.getpid() >> 8) % 256}.{1 + os.getpid() % 250}"


class ListeningServer:
    """A listening socket whose connections the test serves.

    Attributes:
        sock: the listening socket
        address: its host and port
        held: the sockets of the connections accepted so far
    """

    def __init__(self, backlog: int = 16) -> None:
        self.sock = socket.create_server((OWN_LOOPBACK, 0), backlog=backlog)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.held: list[socket.socket] = []

    def accept(self) -> bool:
        """Accept one connection, if there is one."""
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            return False
        sock.setblocking(False)
        self.held.append(sock)
        return True

    def read(self) -> bytes:
        """Accept all connections, and return all unread bytes of all of them."""
        while self.accept():
            pass
        data = b""
        for sock in self.held:
            try:
                data += sock.recv(1 << 20)
            except (BlockingIOError, ConnectionResetError):
                continue
        return data

    def close(self) -> None:
        """Close all sockets."""
        for sock in (self.sock, *self.held):
            sock.close()


class ServerLister:
    """Lists servers that the test controls as the node's endpoints, under given settings."""

    def __init__(self, node: Node, servers: dict[str, ListeningServer]) -> None:
        self.node = node
        self.servers = servers

    def __call__(self, *names: str, backlog: int = 16, **options: object) -> list[ListeningServer]:
        """Change the settings by `options`, list a new server under each name, and return the servers."""
        changes = {"ceilings": OPTIONS["ceilings"] | options.pop("ceilings", {})} | options
        deployment = deployment_from(OPTIONS | changes, before=self.node.config.deployment)
        self.node.adopt(replace(self.node.config, deployment=deployment))
        for name in names:
            self.servers[name] = ListeningServer(backlog)
        update_endpoint_list(self.node, {name: self.servers[name].address for name in names})
        return [self.servers[name] for name in names]


def update_endpoint_list(
    node: Node,
    addresses: dict[str, tuple[str, int]],
    state: EndpointState = EndpointState.READY,
    listing: ListUpdateKind = ListUpdateKind.FULL,
) -> None:
    """Apply an endpoint list with servers at these addresses, in this state, as if it came from discovery."""
    entries = [EndpointEntry(name, state, 0, 0, 0, None) for name in addresses]
    listed: Iterable[str] = addresses if listing is ListUpdateKind.FULL else node.upstream.pool.servers
    node.upstream.update_endpoints(listed, addresses)
    node.post(core.EndpointListUpdate(listing, entries))


def node_with_discovery(
    node: Node, discovery: ListeningServer, settings: dict[str, object], **values: object
) -> Node:
    """Return another node with the same file and changed settings, which calls the test's discovery."""
    path = Path(node.config.path)
    changes = {"settings": settings, "discovery": "{}:{}".format(*discovery.address)} | values
    path.write_text(json.dumps(json.loads(path.read_text()) | changes))
    return Node(configuration.load(str(path), {}))


def run_until(
    node: Node, condition: Callable[[], object], limit_ms: float = CONDITION_LIMIT_MS, wait_ms: float = 1.0
) -> None:
    """Run the node's loop until a condition holds, by the node's clock; each turn waits up to `wait_ms`."""
    end_ms = node.loop.now() + limit_ms
    while not condition():
        assert node.loop.now() < end_ms, "condition not met in time"
        node.loop.call_at(node.loop.now() + wait_ms, lambda: None)
        node.loop.turn()


def run_loop(node: Node, turns: int = 30) -> None:
    """Run turns of the node's loop, by default enough to handle all pending events."""
    for _ in range(turns):
        node.loop.call_at(node.loop.now(), lambda: None)
        node.loop.turn()


def control_clock(loop: Loop) -> Callable[[float], None]:
    """Replace a loop's clock by one that advances only when read, or by the function that is returned."""
    clock_ms = loop.now()

    def now() -> float:
        nonlocal clock_ms
        clock_ms += CLOCK_STEP_MS
        return clock_ms

    def advance(span_ms: float) -> None:
        nonlocal clock_ms
        clock_ms += span_ms

    loop.now = now
    return advance


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset a connection."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True


def reset_connection(sock: socket.socket) -> None:
    """Close a connection so that the peer receives a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def close_sending_side(sock: socket.socket) -> None:
    """Close only the sending side of a connection."""
    sock.shutdown(socket.SHUT_WR)


def hold_at_durability_barrier(node: Node) -> Callable[[], None]:
    """Hold all attempts as if their records were not durable yet; return a function that releases them."""
    released: list[bool] = []
    send = node.upstream.attempts.send

    def await_durable() -> Iterator[tuple[int, int, float]]:
        while not released:
            yield (-1, 0, node.loop.now() + 1.0)
        return True

    node.upstream.attempts.send = lambda order: send(replace(order, await_durable=await_durable))
    return lambda: released.append(True)


def fill_accept_queue(server: ListeningServer) -> Callable[[], None]:
    """Fill a server's accept queue, so that further connections hang; return a function that empties it."""
    fillers = []
    while True:
        sock = socket.socket()
        sock.setblocking(False)
        fillers.append(sock)
        sock.connect_ex(server.address)
        try:
            sock.getpeername()
        except OSError:  # the queue is full: this connection hangs, and so will further ones
            break

    def empty() -> None:
        for sock in fillers:
            sock.close()

    return empty


def small_socket(*arguments: object, **options: object) -> socket.socket:
    """Return a socket with buffers so small that a long request's last byte waits for the reader."""
    sock = _SOCKET_CLASS(*arguments, **options)
    limit_buffers(sock)
    return sock


def limit_buffers(sock: socket.socket) -> None:
    """Limit a socket's buffers to the smallest size that the system allows."""
    for buffer in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        sock.setsockopt(socket.SOL_SOCKET, buffer, 2048)


def with_long_body(request: bytes) -> bytes:
    """Return a request whose body is larger than the buffers of `small_socket`."""
    body = b"b" * LONG_BODY_BYTES
    return request.replace(b"Length: 3", b"Length: %d" % LONG_BODY_BYTES).replace(b"abc", body)


def response_of(body: bytes) -> bytes:
    """Return a response with this body and its length."""
    return RESPONSE_HEAD % len(body) + body


def response_of_states(*states: bytes) -> bytes:
    """Return a chunked response whose lines report these states."""
    text = b"".join(b'{"id":"9b","from":"e1","state":"%b","result":"r"}\n' % state for state in states)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(text), text)
