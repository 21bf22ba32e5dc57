"""A fleet whose discovery takes calls in turn and declines those that would wait too long (docs/node.md).

The nodes are real ones on real sockets, their clock led by the test. Discovery behaves as in the incident of
2026-12-02: each list and each new watch takes its turn, a watch that goes on after its last answer does not.
"""

import json
import socket
from collections.abc import Callable, Iterator
from dataclasses import replace
from math import inf
from pathlib import Path
from urllib.parse import parse_qsl

import pytest
from conftest import OPTIONS, reconfigured
from loopback_servers import RESPONSE_HEAD as HEAD
from loopback_servers import reset_connection as reset
from test_told import Led

from marlseam.net import node as node_module

STEP_MS = 50.0
DEADLINE_TOLERANCE_MS = 6000.0  # by when a change counts as notified
NODES = 32
CALLS_PER_S = 3.7  # what discovery works through, as in the incident
QUEUE_MS = 2000.0  # the longest wait for a turn; whoever would wait longer is declined
GOES_ON_MS = 200.0  # within which the next call of a watch follows the last answer
DECLINED = b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n"


class CrowdedDiscovery:
    """Discovery as one queue of calls; `clock` is set by the test."""

    def __init__(self, free_calls: int) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.clock = self.busy_ms = 0.0
        self.free_calls = free_calls  # at the start, before calls have to take turns
        self.version = 1
        self.open: list[socket.socket] = []
        self.due: list[tuple[float, socket.socket, int | None, float]] = []
        self.watches: dict[socket.socket, float] = {}  # and when each is answered at the latest
        self.answered_ms: dict[socket.socket, float] = {}  # when a watch's last answer went out
        self.lists = self.declined = 0

    def serve(self) -> None:
        """Take in calls, and answer those whose turn has come."""
        self.accept()
        for sock in list(self.open):
            self.read(sock)
        while self.due and self.due[0][0] <= self.clock:
            _, sock, since, wait_ms = self.due.pop(0)
            self.turn(sock, since, wait_ms)
        for sock in [sock for sock, until_ms in self.watches.items() if until_ms <= self.clock]:
            self.news(sock)

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
            self.due = [row for row in self.due if row[1] is not sock]
            sock.close()
            return
        target = data.split()[1].decode()
        query = {key: int(value) for key, value in parse_qsl(target.partition("?")[2])}
        since, wait_ms = query.get("since"), float(query.get("timeout_ms", 0))
        if since is not None and self.clock - self.answered_ms.get(sock, -inf) <= GOES_ON_MS:
            self.turn(sock, since, wait_ms)
        else:
            self.queue(sock, since, wait_ms)

    def queue(self, sock: socket.socket, since: int | None, wait_ms: float) -> None:
        if self.free_calls:
            self.free_calls -= 1
            self.turn(sock, since, wait_ms)
            return
        turn_ms = max(self.busy_ms, self.clock) + 1000.0 / CALLS_PER_S
        if turn_ms - self.clock > QUEUE_MS:
            self.declined += 1
            sock.sendall(DECLINED)
            return
        self.busy_ms = turn_ms
        self.due.append((turn_ms, sock, since, wait_ms))

    def turn(self, sock: socket.socket, since: int | None, wait_ms: float) -> None:
        if since is None:
            self.lists += 1
            self.answer(sock, whole=True)
        elif since < self.version:
            self.news(sock)
        else:
            self.watches[sock] = self.clock + wait_ms

    def news(self, sock: socket.socket) -> None:
        self.watches.pop(sock, None)
        self.answer(sock, whole=False)
        self.answered_ms[sock] = self.clock

    def answer(self, sock: socket.socket, whole: bool) -> None:
        body = json.dumps({"seq": self.version, "whole": whole, "hosts": []}).encode()
        sock.sendall(HEAD % len(body) + body)

    def change(self) -> None:
        """Change the list: open watches are answered at once."""
        self.version += 1
        for sock in list(self.watches):
            self.news(sock)

    def end_watches(self) -> None:
        """Decline all open watches, as in an outage."""
        for sock in list(self.watches):
            del self.watches[sock]
            sock.sendall(DECLINED)

    def close(self) -> None:
        for sock in (self.sock, *self.open):
            sock.close()


class CrowdedFleet:
    """Real nodes under one led clock, and the discovery that all of them call."""

    def __init__(self, nodes: list[Led], discovery: CrowdedDiscovery) -> None:
        self.nodes, self.discovery = nodes, discovery

    def lead(self, span_ms: float) -> None:
        """Lead the clock by so much."""
        end = self.discovery.clock + span_ms
        while self.discovery.clock < end:
            self.discovery.clock += STEP_MS
            for one in self.nodes:
                one.clock += STEP_MS
            self.settle()

    def settle(self) -> None:
        """Have all that is said at one instant be heard."""
        for _ in range(3):
            self.discovery.serve()
            for one in self.nodes:
                one.turn()

    def not_told(self) -> list[int]:
        """Return which nodes do not know discovery's last change."""
        return [i for i, one in enumerate(self.nodes) if one.version() < self.discovery.version]


def given(node, **changes: object) -> dict[str, object]:
    """Return the list that a node's configuration holds, with changes."""
    return json.loads(Path(node.config.path).read_text())["known"] | changes


@pytest.fixture
def crowd(node, tmp_path: Path) -> Iterator[Callable[..., CrowdedFleet]]:
    """Return a maker of fleets whose nodes were given the list as it stood at their start."""
    made: list[CrowdedFleet] = []

    def begin(free_calls: int, known: int = 1) -> CrowdedFleet:
        discovery = CrowdedDiscovery(free_calls)
        config = reconfigured(
            node,
            tmp_path / "crowd.json",
            discovery="{}:{}".format(*discovery.address),
            settings=OPTIONS | {"fleetSize": NODES},
            known=given(node, seq=known),
        )
        nodes = [Led(node_module.Node(replace(config, seed=seed)), discovery) for seed in range(1, NODES + 1)]
        made.append(CrowdedFleet(nodes, discovery))
        return made[-1]

    yield begin
    for fleet in made:
        for one in fleet.nodes:
            one.node.is_reducing = True
            one.node.loop.finish()
        fleet.discovery.close()


def test_a_change_soon_after_the_start_reaches_each_node_of_a_crowded_fleet_in_time(crowd):
    fleet = crowd(free_calls=NODES + 3)
    fleet.lead(4600.0)
    fleet.discovery.change()
    fleet.lead(DEADLINE_TOLERANCE_MS)
    assert not fleet.not_told()


def test_a_fleet_that_must_call_anew_all_together_is_told_as_fast_as_calls_are_worked_through(crowd):
    fleet = crowd(free_calls=NODES + 3)
    fleet.lead(4600.0)
    fleet.discovery.end_watches()
    fleet.discovery.change()
    fleet.lead(1000.0 * NODES / CALLS_PER_S + QUEUE_MS)
    assert not fleet.not_told()


def test_a_crowded_fleet_comes_to_rest(crowd):
    fleet = crowd(free_calls=0)
    fleet.lead(1000.0 * NODES / CALLS_PER_S + 2 * QUEUE_MS)
    declined = fleet.discovery.declined
    fleet.lead(5000.0)
    assert fleet.discovery.declined == declined
    assert len(fleet.discovery.watches) == NODES


# What the first call of a node asks for: the whole list, or what has changed since the version that it holds.

LIST, RESUME = "GET /api/targets HTTP", "GET /api/targets?since={}&timeout_ms=10 HTTP"
SPOILT = {"host": "e2", "health": "active", "dial": "nowhere"}


class Scripted:
    """Discovery whose calls are answered by the test, one after the other."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.open: list[socket.socket] = []
        self.call = ""  # the first line of the last one

    def called(self) -> bool:
        """Return whether a call has come that was not seen yet, the last connection's."""
        try:
            self.open.append(self.sock.accept()[0])
            self.open[-1].setblocking(False)
        except BlockingIOError:
            pass
        try:
            data = self.open[-1].recv(4096) if self.open else b""
        except BlockingIOError:
            return False
        self.call = data.decode().partition("/1.1")[0]
        return bool(data)

    def say(self, body: bytes) -> None:
        self.open[-1].sendall(HEAD % len(body) + body)

    def close(self) -> None:
        for sock in (self.sock, *self.open):
            sock.close()


def next_call(one: Led) -> str:
    """Return the first line of the next call, which waits for its answer."""
    one.lead(one.service.called)
    return one.service.call


@pytest.fixture
def scripted(node, tmp_path: Path) -> Iterator[Callable[..., Led]]:
    """Return a maker of one node that was given a list of version 5, or another, and its discovery."""
    made: list[Led] = []

    def begin(**known: object) -> Led:
        service = Scripted()
        config = reconfigured(
            node,
            tmp_path / "scripted.json",
            discovery="{}:{}".format(*service.address),
            known=given(node, **({"seq": 5} | known)),
        )
        made.append(Led(node_module.Node(config), service))
        return made[-1]

    yield begin
    for one in made:
        one.close()


def test_a_node_that_was_given_a_list_asks_for_its_changes_and_goes_on_with_the_same_watch(scripted):
    one = scripted()
    assert next_call(one) == RESUME.format(5)
    one.service.say(b'{"seq":5,"whole":false,"hosts":[]}')
    one.lead(one.service.called, 150.0)
    assert one.service.call == f"GET /api/targets?since=5&timeout_ms={one.node.discovery.wait_ms:.0f} HTTP"


@pytest.mark.parametrize("hosts", [[], [SPOILT]], ids=["empty", "spoilt"])
def test_a_node_without_a_whole_list_asks_for_one(scripted, hosts):
    assert next_call(scripted(hosts=hosts)) == LIST


def test_a_discovery_that_numbers_anew_is_asked_for_the_whole_list_at_once(scripted):
    one = scripted()
    next_call(one)
    one.service.say(b'{"seq":4,"whole":false,"hosts":[]}')
    one.settle(one.service.called)
    assert one.service.call == LIST
    one.service.say(b'{"seq":4,"whole":true,"hosts":[]}')
    one.settle(lambda: one.version() == 4)


def test_an_entry_that_was_left_out_of_a_list_is_asked_for_again_after_the_next_failure(scripted):
    one = scripted()
    next_call(one)
    one.service.say(json.dumps({"seq": 6, "whole": False, "hosts": [SPOILT]}).encode())
    one.lead(one.service.called, 150.0)
    one.service.open[-1].sendall(DECLINED)
    one.settle(one.failed)
    assert next_call(one) == LIST


@pytest.mark.parametrize(
    ("ends", "asks"),
    [(lambda sock: sock.sendall(DECLINED), RESUME.format(5)), (reset, LIST), (socket.socket.close, LIST)],
    ids=["declined", "reset", "closed"],
)
def test_the_whole_list_is_asked_for_where_another_process_may_number_versions(scripted, ends, asks):
    one = scripted()
    next_call(one)
    ends(one.service.open.pop() if asks is LIST else one.service.open[-1])
    one.settle(one.failed)
    assert next_call(one) == asks


def test_answers_that_resume_and_bring_nothing_do_not_shorten_the_rests_after_failures(scripted):
    one = scripted()
    for _ in range(4):
        next_call(one)
        one.service.open[-1].sendall(DECLINED)
        one.settle(one.failed)
    rest = one.node.reducer.dispatcher.poll_backoff_ms
    next_call(one)
    one.service.say(b'{"seq":5,"whole":false,"hosts":[]}')
    one.settle(lambda: one.node.discovery.is_confirmed)
    assert one.node.reducer.dispatcher.poll_backoff_ms == rest > 0.0
