"""Nodes whose discovery serves calls one by one and declines calls that would wait too long (docs/node.md).

The nodes are real, on real sockets, with a clock that the test controls. Discovery behaves as in the incident
of 2026-12-02: calls for lists and new watches are queued, a call that continues a watch after its last answer
is not.
"""

import json
import socket
from collections.abc import Callable, Iterator
from dataclasses import replace
from math import inf
from pathlib import Path
from typing import NamedTuple
from urllib.parse import parse_qsl

import pytest
from conftest import OPTIONS, reconfigured
from controlled_node import STEP_MS, ControlledNode
from loopback_servers import reset_connection, response_of

from marlseam.net.node import Node

DEADLINE_TOLERANCE_MS = 6000.0  # time after which a change counts as known
NODE_COUNT = 32
CALLS_PER_S = 3.7  # rate at which discovery serves calls, as in the incident
MAX_QUEUE_MS = 2000.0  # longest wait in the queue; a call that would wait longer is declined
WATCH_CONTINUES_MS = 200.0  # time after a watch's answer within which its next call is not queued
DECLINED = b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n"


class QueuedCall(NamedTuple):
    """A call that waits for its answer: for the list, or for changes since a version."""

    due_ms: float
    sock: socket.socket
    since: int | None
    wait_ms: float


class CrowdedDiscovery:
    """Discovery with a queue that serves one call after the other.

    Attributes:
        clock: the time in ms, set by the test
        busy_until_ms: when all queued calls will have been served
        free_calls: how many more calls are served at once before calls are queued
        queued: queued calls, in the order in which they are served
        watches: open watches, and by when each is answered
        answered_ms: when the last answer of each watch was sent
        lists, declined: numbers of lists sent and of calls declined
    """

    def __init__(self, free_calls: int) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.clock = self.busy_until_ms = 0.0
        self.free_calls = free_calls
        self.version = 1
        self.open: list[socket.socket] = []
        self.queued: list[QueuedCall] = []
        self.watches: dict[socket.socket, float] = {}
        self.answered_ms: dict[socket.socket, float] = {}
        self.lists = self.declined = 0

    def serve(self) -> None:
        """Read calls, and answer the calls that are due."""
        self.accept()
        for sock in list(self.open):
            self.read(sock)
        while self.queued and self.queued[0].due_ms <= self.clock:
            call = self.queued.pop(0)
            self.answer_call(call.sock, call.since, call.wait_ms)
        for sock in [sock for sock, until_ms in self.watches.items() if until_ms <= self.clock]:
            self.answer_watch(sock)

    def accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            sock.setblocking(False)
            self.open.append(sock)

    def read(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(4096)
        except BlockingIOError:
            return
        except ConnectionError:
            data = b""
        if not data:
            self.open.remove(sock)
            self.watches.pop(sock, None)
            self.queued = [call for call in self.queued if call.sock is not sock]
            sock.close()
            return
        target = data.split()[1].decode()
        query = {key: int(value) for key, value in parse_qsl(target.partition("?")[2])}
        since, wait_ms = query.get("since"), float(query.get("timeout_ms", 0))
        if since is not None and self.clock - self.answered_ms.get(sock, -inf) <= WATCH_CONTINUES_MS:
            self.answer_call(sock, since, wait_ms)
        else:
            self.queue(sock, since, wait_ms)

    def queue(self, sock: socket.socket, since: int | None, wait_ms: float) -> None:
        if self.free_calls:
            self.free_calls -= 1
            self.answer_call(sock, since, wait_ms)
            return
        due_ms = max(self.busy_until_ms, self.clock) + 1000.0 / CALLS_PER_S
        if due_ms - self.clock > MAX_QUEUE_MS:
            self.declined += 1
            sock.sendall(DECLINED)
            return
        self.busy_until_ms = due_ms
        self.queued.append(QueuedCall(due_ms, sock, since, wait_ms))

    def answer_call(self, sock: socket.socket, since: int | None, wait_ms: float) -> None:
        if since is None:
            self.lists += 1
            self.answer(sock, whole=True)
        elif since < self.version:
            self.answer_watch(sock)
        else:
            self.watches[sock] = self.clock + wait_ms

    def answer_watch(self, sock: socket.socket) -> None:
        self.watches.pop(sock, None)
        self.answer(sock, whole=False)
        self.answered_ms[sock] = self.clock

    def answer(self, sock: socket.socket, whole: bool) -> None:
        body = json.dumps({"seq": self.version, "whole": whole, "hosts": []}).encode()
        sock.sendall(response_of(body))

    def change(self) -> None:
        """Change the list, and answer open watches at once."""
        self.version += 1
        for sock in list(self.watches):
            self.answer_watch(sock)

    def end_watches(self) -> None:
        """Decline all open watches, as in an outage."""
        for sock in list(self.watches):
            del self.watches[sock]
            sock.sendall(DECLINED)

    def close(self) -> None:
        for sock in (self.sock, *self.open):
            sock.close()


class CrowdedFleet:
    """Real nodes with one controlled clock, and the discovery that all of them call."""

    def __init__(self, nodes: list[ControlledNode], discovery: CrowdedDiscovery) -> None:
        self.nodes, self.discovery = nodes, discovery

    def advance(self, span_ms: float) -> None:
        """Advance the clock in steps of STEP_MS, and run all nodes and discovery at each step."""
        end_ms = self.discovery.clock + span_ms
        while self.discovery.clock < end_ms:
            self.discovery.clock += STEP_MS
            for controlled in self.nodes:
                controlled.clock += STEP_MS
            self.run_loops()

    def run_loops(self) -> None:
        """Run discovery and the nodes until all bytes sent at this instant are handled."""
        for _ in range(3):
            self.discovery.serve()
            for controlled in self.nodes:
                controlled.run_turn()

    def outdated_nodes(self) -> list[int]:
        """Return the indexes of the nodes whose list is older than discovery's."""
        return [
            index
            for index, controlled in enumerate(self.nodes)
            if controlled.version() < self.discovery.version
        ]


def held_list(node, **changes: object) -> dict[str, object]:
    """Return the endpoint list in a node's configuration, with changes."""
    return json.loads(Path(node.config.path).read_text())["known"] | changes


@pytest.fixture
def make_crowded_fleet(node, tmp_path: Path) -> Iterator[Callable[..., CrowdedFleet]]:
    """Return a function that makes fleets whose nodes hold version `known` of the list at their start."""
    made: list[CrowdedFleet] = []

    def begin(free_calls: int, known: int = 1) -> CrowdedFleet:
        discovery = CrowdedDiscovery(free_calls)
        config = reconfigured(
            node,
            tmp_path / "crowd.json",
            discovery="{}:{}".format(*discovery.address),
            settings=OPTIONS | {"fleetSize": NODE_COUNT},
            known=held_list(node, seq=known),
        )
        nodes = [
            ControlledNode(Node(replace(config, seed=seed)), discovery) for seed in range(1, NODE_COUNT + 1)
        ]
        made.append(CrowdedFleet(nodes, discovery))
        return made[-1]

    yield begin
    for fleet in made:
        for controlled in fleet.nodes:
            controlled.node.is_reducing = True
            controlled.node.loop.finish()
        fleet.discovery.close()


def test_a_change_soon_after_the_start_reaches_each_node_in_time(make_crowded_fleet):
    fleet = make_crowded_fleet(free_calls=NODE_COUNT + 3)
    fleet.advance(4600.0)
    fleet.discovery.change()
    fleet.advance(DEADLINE_TOLERANCE_MS)
    assert not fleet.outdated_nodes()


def test_a_change_reaches_nodes_that_all_call_again_together_as_fast_as_calls_are_served(make_crowded_fleet):
    fleet = make_crowded_fleet(free_calls=NODE_COUNT + 3)
    fleet.advance(4600.0)
    fleet.discovery.end_watches()
    fleet.discovery.change()
    fleet.advance(1000.0 * NODE_COUNT / CALLS_PER_S + MAX_QUEUE_MS)
    assert not fleet.outdated_nodes()


def test_all_nodes_at_a_crowded_discovery_get_a_watch(make_crowded_fleet):
    fleet = make_crowded_fleet(free_calls=0)
    fleet.advance(1000.0 * NODE_COUNT / CALLS_PER_S + 2 * MAX_QUEUE_MS)
    declined = fleet.discovery.declined
    fleet.advance(5000.0)
    assert fleet.discovery.declined == declined
    assert len(fleet.discovery.watches) == NODE_COUNT


# The first call of a node: for the whole list, or for changes since the held version.

LIST_CALL, CHANGES_CALL = "GET /api/targets HTTP", "GET /api/targets?since={}&timeout_ms=10 HTTP"
MALFORMED_ENTRY = {"host": "e2", "health": "active", "dial": "nowhere"}


class ScriptedDiscovery:
    """Discovery whose calls the test answers one after the other."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.open: list[socket.socket] = []
        self.last_call = ""  # its request line up to the HTTP version

    def has_call(self) -> bool:
        """Return whether a new call has arrived on the last connection."""
        try:
            self.open.append(self.sock.accept()[0])
            self.open[-1].setblocking(False)
        except BlockingIOError:
            pass
        try:
            data = self.open[-1].recv(4096) if self.open else b""
        except BlockingIOError:
            return False
        self.last_call = data.decode().partition("/1.1")[0]
        return bool(data)

    def answer(self, body: bytes) -> None:
        self.open[-1].sendall(response_of(body))

    def close(self) -> None:
        for sock in (self.sock, *self.open):
            sock.close()


def next_call(controlled: ControlledNode) -> str:
    """Return the request line of the next call, which is left unanswered."""
    controlled.advance_until(controlled.discovery.has_call)
    return controlled.discovery.last_call


@pytest.fixture
def make_node_with_scripted_discovery(node, tmp_path: Path) -> Iterator[Callable[..., ControlledNode]]:
    """Return a function that makes a node with its own discovery and a list, by default of version 5."""
    made: list[ControlledNode] = []

    def begin(**known: object) -> ControlledNode:
        discovery = ScriptedDiscovery()
        config = reconfigured(
            node,
            tmp_path / "scripted.json",
            discovery="{}:{}".format(*discovery.address),
            known=held_list(node, **({"seq": 5} | known)),
        )
        made.append(ControlledNode(Node(config), discovery))
        return made[-1]

    yield begin
    for controlled in made:
        controlled.close()


def test_a_node_with_a_list_requests_its_changes_and_continues_the_same_watch(
    make_node_with_scripted_discovery,
):
    controlled = make_node_with_scripted_discovery()
    assert next_call(controlled) == CHANGES_CALL.format(5)
    controlled.discovery.answer(b'{"seq":5,"whole":false,"hosts":[]}')
    controlled.advance_until(controlled.discovery.has_call, 150.0)
    wait_ms = controlled.node.discovery.wait_ms
    assert controlled.discovery.last_call == f"GET /api/targets?since=5&timeout_ms={wait_ms:.0f} HTTP"


@pytest.mark.parametrize("hosts", [[], [MALFORMED_ENTRY]], ids=["empty", "malformed"])
def test_a_node_without_a_whole_list_requests_one(make_node_with_scripted_discovery, hosts):
    assert next_call(make_node_with_scripted_discovery(hosts=hosts)) == LIST_CALL


def test_the_whole_list_is_requested_at_once_where_versions_start_again(
    make_node_with_scripted_discovery,
):
    controlled = make_node_with_scripted_discovery()
    next_call(controlled)
    controlled.discovery.answer(b'{"seq":4,"whole":false,"hosts":[]}')
    controlled.run_until(controlled.discovery.has_call)
    assert controlled.discovery.last_call == LIST_CALL
    controlled.discovery.answer(b'{"seq":4,"whole":true,"hosts":[]}')
    controlled.run_until(lambda: controlled.version() == 4)


def test_an_entry_that_was_left_out_of_a_list_is_requested_again_after_the_next_failure(
    make_node_with_scripted_discovery,
):
    controlled = make_node_with_scripted_discovery()
    next_call(controlled)
    controlled.discovery.answer(json.dumps({"seq": 6, "whole": False, "hosts": [MALFORMED_ENTRY]}).encode())
    controlled.advance_until(controlled.discovery.has_call, 150.0)
    controlled.discovery.open[-1].sendall(DECLINED)
    controlled.run_until(controlled.has_failed)
    assert next_call(controlled) == LIST_CALL


@pytest.mark.parametrize(
    ("end_call", "expected_call"),
    [
        (lambda sock: sock.sendall(DECLINED), CHANGES_CALL.format(5)),
        (reset_connection, LIST_CALL),
        (socket.socket.close, LIST_CALL),
    ],
    ids=["declined", "reset", "closed"],
)
def test_the_whole_list_is_requested_where_another_process_may_number_versions(
    make_node_with_scripted_discovery, end_call, expected_call
):
    controlled = make_node_with_scripted_discovery()
    next_call(controlled)
    end_call(controlled.discovery.open.pop() if expected_call is LIST_CALL else controlled.discovery.open[-1])
    controlled.run_until(controlled.has_failed)
    assert next_call(controlled) == expected_call


def test_answers_without_changes_do_not_shorten_the_back_off_after_failures(
    make_node_with_scripted_discovery,
):
    controlled = make_node_with_scripted_discovery()
    for _ in range(4):
        next_call(controlled)
        controlled.discovery.open[-1].sendall(DECLINED)
        controlled.run_until(controlled.has_failed)
    backoff_ms = controlled.node.reducer.dispatcher.poll_backoff_ms
    next_call(controlled)
    controlled.discovery.answer(b'{"seq":5,"whole":false,"hosts":[]}')
    controlled.run_until(lambda: controlled.node.discovery.is_confirmed)
    assert controlled.node.reducer.dispatcher.poll_backoff_ms == backoff_ms > 0.0
