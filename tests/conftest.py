"""Fixtures: dispatchers and nodes in a given state, connections over scripted sockets, real sockets.

Samples and stubs are in modules of their own; those that many tests import from here are re-exported.
"""

import json
import os
import socket
from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING

import h11
import pytest
from hypothesis import settings as hypothesis_settings
from operator_calls import OperatorReply, read_more
from recording_port import RecordingPort
from scripted_socket import ANSWER as ANSWER
from scripted_socket import LINES as LINES
from scripted_socket import ScriptedSocket as ScriptedSocket
from settings_samples import ENDPOINT as ENDPOINT
from settings_samples import KEYED as KEYED
from settings_samples import NODE_CONFIG, OPTIONS, SETTINGS
from settings_samples import PAYMENTS as PAYMENTS
from settings_samples import SAFE as SAFE
from settings_samples import UNSAFE as UNSAFE

from marlseam.configuration import Config, ConfigError, Deployment, deployment_from, load, operator_settings
from marlseam.core import Event
from marlseam.counters import Counters
from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.request_state import RequestState
from marlseam.decisions.types import Attempt, Endpoint, EndpointState, ListUpdateKind, Request
from marlseam.net.connection import Connection, Steps
from marlseam.net.log import Log
from marlseam.net.loop import READ, Loop
from marlseam.net.node import Node
from marlseam.net.upstream import Upstream

if TYPE_CHECKING:
    from loopback_servers import ListeningServer, ServerLister

# The same examples in each run and no time limit: a result must depend neither on chance nor on the load of
# the machine.
hypothesis_settings.register_profile("fixed", derandomize=True, deadline=None)
hypothesis_settings.load_profile("fixed")


@pytest.fixture
def make_dispatcher() -> Callable[..., Dispatcher]:
    """Return a maker of dispatchers whose servers 0..n-1 are ready and have just reported given counts."""

    def build(*counts: float | None, cells: tuple[int, ...] = (), **changes: object) -> Dispatcher:
        dispatcher = Dispatcher(replace(SETTINGS, **changes), 7, RecordingPort())
        cells = cells or (0,) * len(counts)
        endpoints = [
            Endpoint(server, EndpointState.READY, 0, 0, cells[server], None) for server in range(len(counts))
        ]
        dispatcher.update_endpoints(ListUpdateKind.FULL, endpoints)
        dispatcher.max_free_slots[0] = 4.0
        for server, count in enumerate(counts):
            dispatcher.set_others_slots(server, count)
            dispatcher.last_report_ms[server] = dispatcher.port.clock
        dispatcher.port.operations.clear()
        return dispatcher

    return build


@pytest.fixture
def make_request() -> Callable[..., RequestState]:
    """Return a maker of request states with attempts, given as pairs of server and outcome."""

    def build(
        dispatcher: Dispatcher, class_index: int = 0, attempts: tuple = (), slots: float = 1.0
    ) -> RequestState:
        now = dispatcher.port.now()
        request = Request(f"w{class_index}", class_index, now + 5000.0, slots=slots)
        state = RequestState(dispatcher, request)
        for server, outcome in attempts:
            state.attempts.append(Attempt(server, now, now, outcome=outcome))
            if outcome is None:
                dispatcher.add_own_attempt(server, state, len(state.attempts) - 1)
        return state

    return build


# Parts of a node, and whole nodes.


@pytest.fixture
def refuse_sockets(monkeypatch: pytest.MonkeyPatch) -> Callable[[int, int], None]:
    """Return a function that makes opening a socket of one family fail with an error number."""
    open_socket = socket.socket

    def refuse(refused_family: int, error_number: int) -> None:
        def open_or_refuse(
            family: int = socket.AF_INET, *arguments: object, **keywords: object
        ) -> socket.socket:
            if family == refused_family:
                raise OSError(error_number, "refused")
            return open_socket(family, *arguments, **keywords)

        monkeypatch.setattr(socket, "socket", open_or_refuse)

    return refuse


@pytest.fixture
def deployment() -> Deployment:
    return deployment_from(OPTIONS)


@pytest.fixture
def at_fault(tmp_path: Path) -> Callable[[str], str]:
    """Return a function that reads operators' settings from TOML and returns the key of their ConfigError."""

    def read(text: str) -> str:
        path = tmp_path / "own.toml"
        path.write_text(text)
        with pytest.raises(ConfigError) as error:
            operator_settings(str(path))
        return error.value.key

    return read


@pytest.fixture
def loop() -> Loop:
    def fault(text: str) -> None:
        raise AssertionError(text)

    made = Loop(fault)
    yield made
    made.finish()


def turn_until(loop: Loop, holds: Callable[[], object]) -> None:
    """Run turns of a loop until a condition holds; fail after 10 s by the loop's clock."""
    end_ms = loop.now() + 10000.0
    loop.call_at(end_ms, lambda: None)
    while not holds():
        assert loop.now() < end_ms
        loop.turn()


@pytest.fixture
def until(loop: Loop) -> Callable[[Callable[[], object]], None]:
    """Return a function that runs turns of the loop until a condition holds; it fails after 10 s."""
    return partial(turn_until, loop)


@pytest.fixture
def make_connection(loop: Loop) -> Callable[..., Connection]:
    """Return a maker of connections over a scripted socket."""

    def build(role: type, *replies: bytes, **script: object) -> Connection:
        return Connection(loop, Log("test", loop.now), ScriptedSocket(replies, **script), role, "test")

    return build


@pytest.fixture
def make_upstream(
    loop: Loop,
    deployment: Deployment,
    make_connection: Callable[..., Connection],
    monkeypatch: pytest.MonkeyPatch,
) -> Callable[..., Upstream]:
    """Return a maker of upstreams with server e1, all connections of which use the same script.

    Their events are kept in `events`, the connections that they open in `connections`.
    """

    def build(*replies: bytes, **script: object) -> Upstream:
        def connect(_loop: Loop, _log: Log, address: tuple[str, int], *_: object) -> Steps:
            opened = make_connection(h11.CLIENT, *replies, **script)
            opened.address = address
            upstream.connections.append(opened)
            return opened
            yield  # makes this a coroutine, which ends at once

        monkeypatch.setattr("marlseam.net.upstream.pool.connect", connect)
        events: list[Event] = []
        upstream = Upstream(loop, Log("test", loop.now), deployment, 64, events.append, Counters())
        upstream.events, upstream.connections = events, []
        upstream.update_endpoints({"e1"}, {"e1": ("127.0.0.1", 9)})
        return upstream

    return build


@pytest.fixture
def node(tmp_path: Path) -> Node:
    """Return a node on a free port, with one listed server, which refuses connections."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps(NODE_CONFIG | {"admin": "127.0.0.1:0"}))
    node = Node(load(str(path), {}))
    yield node
    node.is_reducing = True  # no event is reduced while the loop closes connections
    node.loop.finish()


@pytest.fixture
def listening_socket() -> Iterator[socket.socket]:
    """Return the socket that processes of a node inherit."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        yield sock


@pytest.fixture
def config_path(tmp_path: Path) -> Path:
    """Return the path of a valid configuration."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps(NODE_CONFIG))
    return path


@pytest.fixture
def make_inheriting_node(
    listening_socket: socket.socket, config_path: Path, tmp_path: Path
) -> Iterator[Callable[..., Node]]:
    """Return a maker of nodes on the inherited socket, in a directory that a node's processes share."""
    nodes = []

    def build(**changes: object) -> Node:
        config_path.write_text(json.dumps(NODE_CONFIG | changes))
        environment = {"EDGE_SOCKET_FD": str(os.dup(listening_socket.fileno())), "TMPDIR": str(tmp_path)}
        nodes.append(Node(load(str(config_path), environment)))
        return nodes[-1]

    yield build
    for node in nodes:
        node.is_reducing = True
        node.handover.close()
        node.loop.finish()


def reconfigured(node: Node, path: Path, **values: object) -> Config:
    """Write a node's configuration with changed values to a file; return it without an admin address."""
    path.write_text(json.dumps(json.loads(Path(node.config.path).read_text()) | values))
    return replace(load(str(path), {}), admin=None)


@pytest.fixture
def follow_discovery(
    node: Node, monkeypatch: pytest.MonkeyPatch, make_connection: Callable[..., Connection]
) -> Callable[..., list[Event]]:
    """Return a function that lets the node watch a scripted discovery, and returns the posted events."""

    def follow(*answers: bytes, status: int = 200, silent: bool = False) -> list[Event]:
        events: list[Event] = []
        replies = [
            b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n\r\n%b" % (status, len(answer), answer)
            for answer in answers
        ]

        def connect(*_: object) -> Steps:
            return make_connection(h11.CLIENT, *replies, silent=silent)
            yield  # makes this a coroutine, which ends at once

        monkeypatch.setattr("marlseam.net.discovery.connect", connect)
        node.discovery.task, node.discovery.post = None, events.append
        node.discovery.watch()
        return events

    return follow


@pytest.fixture
def client(node: Node) -> Callable[[bytes], socket.socket]:
    """Return a function that connects to the node and writes some bytes; it returns the socket.

    Its second argument is a part of the node with a listener, by default the one for clients.
    """
    opened = []

    def call(data: bytes, listening_part: object = None) -> socket.socket:
        sock = socket.create_connection((listening_part or node.downstream).listener.sock.getsockname())
        opened.append(sock)
        sock.setblocking(False)
        sock.sendall(data)
        return sock

    yield call
    for sock in opened:
        sock.close()


@pytest.fixture
def reply(node: Node) -> Callable[[socket.socket], bytes]:
    """Return a function that runs the node's loop until a client has received an answer's head or the end.

    It returns the bytes received, and fails after 10 s by the loop's clock.
    """

    def wait(sock: socket.socket) -> bytes:
        data, end = b"", node.loop.now() + 10000.0
        node.loop.call_at(end, lambda: None)
        while node.loop.now() < end:
            try:
                more = sock.recv(65536)
            except BlockingIOError:
                node.loop.turn()
                continue
            data += more
            if not more or b"\r\n\r\n" in data:
                return data
        raise AssertionError("no answer within 10 s")

    return wait


@pytest.fixture
def call_operator(
    node: Node,
    client: Callable[..., socket.socket],
    reply: Callable[[socket.socket], bytes],
) -> Callable[..., OperatorReply]:
    """Return a function that makes one call to the admin address and returns the whole answer."""

    def call(method: str, path: str, headers: str = "") -> OperatorReply:
        sock = client(f"{method} {path} HTTP/1.1\r\nHost: h\r\n{headers}\r\n".encode(), node.admin)
        data = reply(sock)
        while more := b"" if b"Content-Length: 0" in data else read_more(node, sock):
            data += more
        head, _, body = data.partition(b"\r\n\r\n")
        return OperatorReply(int(head.split()[1]), body.decode(), head.decode())

    return call


@pytest.fixture
def start_server(node: Node) -> Callable[[], list[bytes]]:
    """Return a function that starts server e1 for the node, and returns the list of its requests' methods."""
    servers = []

    def start() -> list[bytes]:
        server, methods = socket.create_server(("127.0.0.1", 0)), []
        servers.append(server)
        server.setblocking(False)

        def serve(sock: socket.socket) -> Steps:
            connection = Connection(node.loop, node.log, sock, h11.SERVER, "emulated server's side")
            sock.setblocking(False)
            while type(request := (yield from connection.event(inf))) is h11.Request:
                yield from connection.body(1000, inf)
                methods.append(request.method)
                is_attempt = request.method == b"POST"
                answer = ANSWER if is_attempt else b"HTTP/1.1 200 -\r\nContent-Length: 0\r\n\r\n"
                connection.http.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
                connection.http.send(h11.EndOfMessage())
                yield from connection.write(answer, inf)
                connection.start_next_message()

        def accept() -> Steps:
            while True:
                yield (server.fileno(), READ, inf)
                node.loop.spawn(serve(server.accept()[0]))

        node.loop.spawn(accept())
        node.upstream.update_endpoints({"e1"}, {"e1": server.getsockname()})
        return methods

    yield start
    for server in servers:
        server.close()


# Servers whose side of each connection a test handles itself (loopback_servers.py).


@pytest.fixture
def listening_servers() -> Iterator[dict[str, "ListeningServer"]]:
    """Return an empty table of servers by name, all of which are closed after the test."""
    servers: dict[str, ListeningServer] = {}
    yield servers
    for server in servers.values():
        server.close()


@pytest.fixture
def list_test_servers(node: Node, listening_servers: dict[str, "ListeningServer"]) -> "ServerLister":
    """Return a function that lists servers of the test for the node, under settings of the test."""
    from loopback_servers import ServerLister  # it imports this module's settings

    return ServerLister(node, listening_servers)


@pytest.fixture
def advance_clock(node: Node) -> Callable[[float], None]:
    """Let only reads advance the node's clock; return a function that advances it by a span in ms."""
    from loopback_servers import control_clock  # it imports this module's settings

    return control_clock(node.loop)


@pytest.fixture
def shrink_sockets(monkeypatch: pytest.MonkeyPatch) -> Callable[[], None]:
    """Return a function after whose call new sockets have such small buffers that long requests block."""
    from loopback_servers import small_socket  # it imports this module's settings

    return lambda: monkeypatch.setattr(socket, "socket", small_socket)
