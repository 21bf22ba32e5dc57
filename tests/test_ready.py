"""How soon a restarted node is ready, with discovery there, slow and away (issue 47, STANDING).

Ready is what the front goes by: `GET /-/ready` has answered 200 (PROTOCOL). A node answers so once it listens
and holds a list: the one of its configuration, or discovery's first.
"""

import json

import pytest
from conftest import OPTIONS
from test_endings import Peer

from marlseam.configuration import load
from marlseam.experiment import ready
from marlseam.experiment.ready import Case, Ready
from marlseam.net.node import Node

READY = b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"
HOSTS = [
    {"host": "e1", "dial": "127.0.0.1:1", "health": "active", "site": "here", "class": "plain", "block": 0}
]
LIST = json.dumps({"seq": 1, "whole": True, "hosts": HOSTS}).encode()
ANSWER = b"HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n%b" % (len(LIST), LIST)
PUSHED = OPTIONS | {"registryMode": "push", "guarantees": {"stopSendingWithinUs": 400000}}


@pytest.fixture
def discovery():
    made = Peer()
    yield made
    made.close()


@pytest.fixture
def bare(tmp_path, discovery):
    """Return a maker of nodes without any list, and of what turns their loop until something holds."""
    made = []

    def build(settings, known=None):
        values = {
            "listen": "127.0.0.1:0",
            "discovery": "{}:{}".format(*discovery.address),
            "settings": settings,
        }
        path = tmp_path / "node.json"
        path.write_text(json.dumps(values | ({"known": known} if known else {})))
        node = Node(load(str(path), {}))
        made.append(node)

        def turn(holds):
            for _ in range(20000):
                if holds():
                    return
                node.loop.at(node.loop.now() + 1.0, lambda: None)
                node.loop.turn()
            raise AssertionError("it did not come")

        return node, turn

    yield build
    for node in made:
        node.is_reducing = True
        node.loop.finish()


def asks(discovery):
    """Return whether a call for the whole list has come."""
    return b"GET /api/targets HTTP" in discovery.read()


# Led clock: the node's time goes on by itself alone where the test says so.


@pytest.mark.parametrize("settings", [OPTIONS, PUSHED], ids=["asked", "pushed"])
@pytest.mark.parametrize("slow_ms", [0.0, 500.0, 1900.0])
def test_a_node_without_any_list_is_ready_with_a_slow_first_one(bare, discovery, settings, slow_ms):
    node, turn = bare(settings)
    turn(lambda: asks(discovery))
    first = discovery.held[0]
    node.loop.clock.zero -= slow_ms / 1000.0
    for _ in range(3):
        node.loop.at(node.loop.now(), lambda: None)
        node.loop.turn()
    assert not node.is_ready()
    first.sendall(ANSWER)  # also where it was told as failed, and another call is under way
    turn(node.is_ready)


@pytest.mark.parametrize("slow_ms", [3000.0, 5000.0])
def test_a_first_list_is_listened_for_longer_than_a_call_counts(bare, discovery, slow_ms):
    node, turn = bare(OPTIONS)
    turn(lambda: asks(discovery))
    node.loop.clock.zero -= slow_ms / 1000.0
    turn(lambda: asks(discovery))  # another call, as the first counts as failed
    assert not node.is_ready()
    discovery.held[0].sendall(ANSWER)
    turn(node.is_ready)


def test_a_call_accepted_and_never_answered_leaves_time_for_another(bare, discovery):
    node, turn = bare(OPTIONS)
    turn(lambda: asks(discovery))
    node.loop.clock.zero -= 2.0  # as long as a call may take
    before = node.loop.now()
    turn(lambda: asks(discovery))
    discovery.held[-1].sendall(ANSWER)
    turn(node.is_ready)
    assert len(discovery.held) >= 2
    assert node.loop.now() - before < 8000.0


@pytest.mark.parametrize("settings", [OPTIONS, PUSHED], ids=["asked", "pushed"])
def test_with_a_list_a_node_is_ready_before_discovery_is_asked(bare, discovery, settings):
    node, _ = bare(settings, {"seq": 1, "whole": True, "hosts": HOSTS})
    assert node.is_ready()
    assert not discovery.held


# Thirty real processes at once.

CASES = [
    Case("there"),
    Case("slow", discovery="slow"),
    Case("away", discovery="away"),
    Case("there-unlisted", listed=False),
    Case("slow-unlisted", discovery="slow", listed=False),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_nine_in_ten_of_thirty_processes_are_ready_in_time(case, tmp_path):
    found, _ = ready.started(case, Ready(processes=30, slow_s=3.0, after_s=0.0), tmp_path / "logs")
    assert found["ready_90"] <= 10.0
    assert found["ready_100"] < ready.MOST_S
