"""How soon a restarted node is ready, with discovery up, slow and down.

A node is ready once `GET /-/ready` answers 200, which it does once it listens and holds an endpoint list: the
one of its configuration, or discovery's first.
"""

import json
from collections.abc import Callable

import pytest
from conftest import OPTIONS
from loopback_servers import ListeningServer

from marlseam.configuration import load
from marlseam.experiment import ready
from marlseam.experiment.ready import Case, ReadySettings
from marlseam.net.node import Node

HOSTS = [
    {"host": "e1", "dial": "127.0.0.1:1", "health": "active", "site": "here", "class": "plain", "block": 0}
]
LIST = json.dumps({"seq": 1, "whole": True, "hosts": HOSTS}).encode()
ANSWER = b"HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n%b" % (len(LIST), LIST)
PUSHED = OPTIONS | {"registryMode": "push", "guarantees": {"stopSendingWithinUs": 400000}}


@pytest.fixture
def discovery():
    made = ListeningServer()
    yield made
    made.close()


@pytest.fixture
def make_node(tmp_path, discovery):
    """Return a function that makes a node, and one that runs its loop until a condition holds."""
    made = []

    def build(settings: dict, known: dict | None = None) -> tuple[Node, Callable]:
        values = {
            "listen": "127.0.0.1:0",
            "discovery": "{}:{}".format(*discovery.address),
            "settings": settings,
        }
        path = tmp_path / "node.json"
        path.write_text(json.dumps(values | ({"known": known} if known else {})))
        node = Node(load(str(path), {}))
        made.append(node)

        def run_until(condition: Callable[[], bool]) -> None:
            for _ in range(20000):
                if condition():
                    return
                node.loop.at(node.loop.now() + 1.0, lambda: None)
                node.loop.turn()
            raise AssertionError("the condition did not come to hold")

        return node, run_until

    yield build
    for node in made:
        node.is_reducing = True
        node.loop.finish()


def has_list_call(discovery: ListeningServer) -> bool:
    """Return whether a call for the whole list has come."""
    return b"GET /api/targets HTTP" in discovery.read()


# The clock is moved by hand: the tests say how much time has gone by.


@pytest.mark.parametrize("settings", [OPTIONS, PUSHED], ids=["asked", "pushed"])
@pytest.mark.parametrize("slow_ms", [0.0, 500.0, 1900.0])
def test_a_node_without_any_list_is_ready_with_a_slow_first_one(make_node, discovery, settings, slow_ms):
    node, run_until = make_node(settings)
    run_until(lambda: has_list_call(discovery))
    first = discovery.held[0]
    node.loop.clock.zero -= slow_ms / 1000.0
    for _ in range(3):
        node.loop.at(node.loop.now(), lambda: None)
        node.loop.turn()
    assert not node.is_ready()
    first.sendall(ANSWER)  # also where it was told as failed, and another call is under way
    run_until(node.is_ready)


@pytest.mark.parametrize("slow_ms", [3000.0, 5000.0])
def test_an_answer_to_the_first_list_call_is_taken_after_the_call_has_timed_out(
    make_node, discovery, slow_ms
):
    node, run_until = make_node(OPTIONS)
    run_until(lambda: has_list_call(discovery))
    node.loop.clock.zero -= slow_ms / 1000.0
    run_until(lambda: has_list_call(discovery))  # another call, as the first counts as failed
    assert not node.is_ready()
    discovery.held[0].sendall(ANSWER)
    run_until(node.is_ready)


def test_a_call_accepted_and_never_answered_leaves_time_for_another(make_node, discovery):
    node, run_until = make_node(OPTIONS)
    run_until(lambda: has_list_call(discovery))
    node.loop.clock.zero -= 2.0  # as long as a call may take
    before = node.loop.now()
    run_until(lambda: has_list_call(discovery))
    discovery.held[-1].sendall(ANSWER)
    run_until(node.is_ready)
    assert len(discovery.held) >= 2
    assert node.loop.now() - before < 8000.0


@pytest.mark.parametrize("settings", [OPTIONS, PUSHED], ids=["asked", "pushed"])
def test_with_a_list_a_node_is_ready_before_discovery_is_asked(make_node, discovery, settings):
    node, _ = make_node(settings, {"seq": 1, "whole": True, "hosts": HOSTS})
    assert node.is_ready()
    assert not discovery.held


# Thirty real node processes at once.

CASES = [
    Case("there"),
    Case("slow", discovery="slow"),
    Case("away", discovery="away"),
    Case("there-unlisted", listed=False),
    Case("slow-unlisted", discovery="slow", listed=False),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_nine_in_ten_of_thirty_processes_are_ready_in_time(case, tmp_path):
    settings = ReadySettings(processes=30, slow_s=3.0, after_s=0.0)
    figures = ready.start_nodes(case, settings, tmp_path / "logs").figures
    assert figures["ready_90"] <= 10.0
    assert figures["ready_100"] < ready.READY_TIMEOUT_S
