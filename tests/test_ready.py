"""Time until a restarted node is ready, with discovery up, slow and down.

A node is ready once `GET /-/ready` answers 200: it listens and holds an endpoint list, either the one of its
configuration or the first one from discovery.
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
    """Return a function that returns a new node and a function that runs its loop until a condition holds."""
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
                node.loop.call_at(node.loop.now() + 1.0, lambda: None)
                node.loop.turn()
            raise AssertionError("the condition did not hold within 20000 turns of the loop")

        return node, run_until

    yield build
    for node in made:
        node.is_reducing = True
        node.loop.finish()


def has_list_call(discovery: ListeningServer) -> bool:
    """Return whether a call for the whole list has arrived."""
    return b"GET /api/targets HTTP" in discovery.read()


# The following tests advance the clock by moving its zero.


@pytest.mark.parametrize("settings", [OPTIONS, PUSHED], ids=["asked", "pushed"])
@pytest.mark.parametrize("slow_ms", [0.0, 500.0, 1900.0])
def test_a_node_without_a_list_is_ready_once_a_slow_first_list_arrives(
    make_node, discovery, settings, slow_ms
):
    node, run_until = make_node(settings)
    run_until(lambda: has_list_call(discovery))
    first = discovery.held[0]
    node.loop.clock.zero -= slow_ms / 1000.0
    for _ in range(3):
        node.loop.call_at(node.loop.now(), lambda: None)
        node.loop.turn()
    assert not node.is_ready()
    first.sendall(ANSWER)  # accepted even if the call was reported as failed and another call is under way
    run_until(node.is_ready)


@pytest.mark.parametrize("slow_ms", [3000.0, 5000.0])
def test_a_list_that_arrives_after_its_call_timed_out_makes_the_node_ready(make_node, discovery, slow_ms):
    node, run_until = make_node(OPTIONS)
    run_until(lambda: has_list_call(discovery))
    node.loop.clock.zero -= slow_ms / 1000.0
    run_until(lambda: has_list_call(discovery))  # a second call, because the first call has timed out
    assert not node.is_ready()
    discovery.held[0].sendall(ANSWER)
    run_until(node.is_ready)


def test_an_unanswered_list_call_is_followed_by_another_within_8_s(make_node, discovery):
    node, run_until = make_node(OPTIONS)
    run_until(lambda: has_list_call(discovery))
    node.loop.clock.zero -= 2.0  # the timeout of a call
    before = node.loop.now()
    run_until(lambda: has_list_call(discovery))
    discovery.held[-1].sendall(ANSWER)
    run_until(node.is_ready)
    assert len(discovery.held) >= 2
    assert node.loop.now() - before < 8000.0


@pytest.mark.parametrize("settings", [OPTIONS, PUSHED], ids=["asked", "pushed"])
def test_a_node_with_a_configured_list_is_ready_before_it_calls_discovery(make_node, discovery, settings):
    node, _ = make_node(settings, {"seq": 1, "whole": True, "hosts": HOSTS})
    assert node.is_ready()
    assert not discovery.held


# The following test starts thirty node processes at once.

CASES = [
    Case("there"),
    Case("slow", discovery="slow"),
    Case("away", discovery="away"),
    Case("there-unlisted", listed=False),
    Case("slow-unlisted", discovery="slow", listed=False),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_ninety_percent_of_thirty_node_processes_are_ready_within_10_s_and_all_in_time(case, tmp_path):
    settings = ReadySettings(processes=30, slow_s=3.0, after_s=0.0)
    figures = ready.start_nodes(case, settings, tmp_path / "logs").figures
    assert figures["ready_90"] <= 10.0
    assert figures["ready_100"] < ready.READY_TIMEOUT_S
