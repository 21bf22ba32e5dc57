"""Malformed endpoint lists, lost watches and moved discovery, on real sockets (docs/design/endings.md)."""

import json
import socket
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import pytest
from conftest import OPTIONS
from loopback_servers import (
    DEEPLY_NESTED,
    HUGE_NUMBER,
    NO_PROBES,
    SAFE_REQUEST,
    ListeningServer,
    control_clock,
    is_closed_by_peer,
    node_with_discovery,
    reset_connection,
    response_of,
    run_loop,
    update_endpoint_list,
)

from marlseam.decisions.types import EndpointState
from marlseam.net.node import Node


def endpoint_state(node, name):
    """Return the state of a server in the endpoint list."""
    return node.reducer.dispatcher.endpoint_state[node.reducer.servers.by_name[name]]


ENTRY = {"host": "e1", "site": "here", "class": "plain", "block": 0}


@pytest.mark.parametrize(
    "malformed_field",
    [{"dial": "odd"}, {"dial": None}, {"born_ms": "soon"}, {"born_ms": 10**400}, {"share": 10**400}],
    ids=["dial", "no dial", "born", "number", "share"],
)
@pytest.mark.parametrize("whole", [True, False], ids=["whole", "change"])
def test_a_drain_is_applied_from_an_entry_with_another_field_malformed(node, malformed_field, whole):
    entry = ENTRY | {"dial": "127.0.0.1:1", "health": "active"}
    node.discovery.apply_list({"seq": 5, "whole": True, "hosts": [entry]})
    entry = entry | {"health": "leaving"} | malformed_field
    node.discovery.apply_list({"seq": 6, "whole": whole, "hosts": [entry]})
    assert endpoint_state(node, "e1") is EndpointState.DRAINING


@pytest.mark.parametrize("field", ["born_ms", "share", "block"])
def test_a_number_that_no_float_holds_invalidates_its_entry_alone(node, field):
    entry = ENTRY | {"dial": "127.0.0.1:1", "health": "active"}
    invalid_entry = entry | {"host": "e2", field: 10**400}
    node.discovery.apply_list({"seq": 5, "whole": True, "hosts": [invalid_entry, entry]})
    assert "e1" in node.discovery.entries


# The list on real sockets, from a discovery that the test controls, with a controlled clock.

READY_ENTRY = ENTRY | {"dial": "127.0.0.1:1", "health": "active"}


def list_body(seq, *states, whole=True, indent=None, **changes):
    """Return a list, or a change, with servers e1, e2 and so on, one for each state."""
    entries = [
        READY_ENTRY | {"host": f"e{number}", "health": state} | changes
        for number, state in enumerate(states, start=1)
    ]
    return json.dumps({"seq": seq, "whole": whole, "hosts": entries}, indent=indent).encode()


class FollowingNode(NamedTuple):
    """A node, the test's discovery, and a function that advances the node's clock and runs its loop."""

    node: Node
    discovery: ListeningServer
    run: Callable[..., None]


@pytest.fixture
def make_following_node(node, listening_servers):
    """Return a function that makes nodes that follow the test's discovery, with controlled clocks."""
    made = []

    def build(seed=1, **settings):
        discovery = listening_servers.setdefault("discovery", ListeningServer())
        options = OPTIONS | {"ceilings": OPTIONS["ceilings"] | NO_PROBES} | settings
        following_node = node_with_discovery(node, discovery, options, seed=f"{seed:x}")
        made.append(following_node)
        advance_clock = control_clock(following_node.loop)

        def run(turns=6, advance_ms=0.0):
            advance_clock(advance_ms)
            run_loop(following_node, turns)

        run()
        return FollowingNode(following_node, discovery, run)

    yield build
    for following_node in made:
        following_node.is_reducing = True
        following_node.loop.finish()


@pytest.mark.parametrize("indent", [0, 1, 8, "\t"])
@pytest.mark.parametrize("pieces", [1, 7], ids=["whole", "in pieces"])
def test_a_list_is_read_indented_and_in_pieces(make_following_node, indent, pieces):
    node, discovery, run = make_following_node()
    for body, state in (
        (list_body(5, "active", "active", indent=indent), EndpointState.READY),
        (list_body(6, "leaving", whole=False, indent=indent), EndpointState.DRAINING),
    ):
        assert b"GET /api/targets" in discovery.read()
        discovery.held[0].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        response = response_of(body)
        size = -(-len(response) // pieces)
        for start in range(0, len(response), size):
            discovery.held[0].sendall(response[start : start + size])
            run(3)
        run(20)
        assert endpoint_state(node, "e1") is state
        assert endpoint_state(node, "e2") is EndpointState.READY
        run(advance_ms=node.discovery.min_watch_gap_ms)
    assert len(discovery.held) == 1  # one connection for the whole watch


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize(
    "body",
    [b"", HUGE_NUMBER, DEEPLY_NESTED, b'{"seq":5,"whole":true,"hosts":[', b"\xff\xfe\x00"],
    ids=["nothing", "a number", "nested", "cut", "no text"],
)
def test_a_malformed_list_is_requested_again(make_following_node, capsys, mode, body):
    node, discovery, run = make_following_node(registryMode=mode, guarantees={"stopSendingWithinUs": 400000})
    discovery.read()
    discovery.held[0].sendall(response_of(body))
    began_ms = node.loop.now()
    while len(discovery.held) == 1:
        assert node.loop.now() - began_ms < 400.0
        run(advance_ms=10.0)
        discovery.accept()
    discovery.read()
    discovery.held[1].sendall(response_of(list_body(5, "leaving")))
    run()
    assert endpoint_state(node, "e1") is EndpointState.DRAINING
    assert "Traceback" not in capsys.readouterr().err


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize("in_watch", [False, True], ids=["in the list", "in the watch"])
def test_no_request_goes_to_a_server_whose_drain_a_silent_watch_missed(
    make_following_node, listening_servers, client, mode, in_watch
):
    # The time limit for a silent watch covers a list on a new call, which itself arrives late, and the grace.
    server = listening_servers["e1"] = ListeningServer()
    dial = "{}:{}".format(*server.address)
    node, discovery, run = make_following_node(
        registryMode=mode, guarantees={"stopSendingWithinUs": 400000, "mustAskInUs": 60000000}
    )
    node.reducer.dispatcher.random = lambda: 1.0 - 1e-9  # the longest back-off
    update_endpoint_list(node, {"e1": server.address})
    discovery.read()
    if in_watch:
        discovery.held[0].sendall(response_of(list_body(5, "active", dial=dial)))
        run()
        run(advance_ms=node.discovery.min_watch_gap_ms)
        assert b"since=5" in discovery.read()
    silent_ms = node.loop.now()
    limit_ms = max(6000.0, node.discovery.wait_ms + 2000.0 if in_watch else 0.0)
    while len(discovery.held) == 1:
        run(advance_ms=20.0)
        discovery.accept()
    run()
    assert discovery.read().startswith(
        b"GET /api/targets?since=%d&timeout_ms=10 HTTP" % node.discovery.version
    )
    run(advance_ms=100.0)  # the list arrives late
    discovery.held[1].sendall(response_of(list_body(6, "leaving", dial=dial)))
    run()
    assert node.loop.now() - silent_ms < limit_ms
    client(SAFE_REQUEST, node.downstream)
    run(20)
    assert node.requests.last_request_id
    assert not server.accept()
    update_endpoint_list(node, {"e1": server.address})  # the request is sent once the server is ready again
    run(20)
    assert server.accept()


@pytest.mark.parametrize(
    ("mode", "max_calls"), [("subscribe", 30), ("automatic", 30)], ids=["asked", "pushed, grace 20 s"]
)
@pytest.mark.parametrize(
    "response",
    [None, b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n", b""],
    ids=["resets", "declines", "closes"],
)
def test_one_node_makes_few_calls_to_a_failing_discovery(make_following_node, mode, max_calls, response):
    # 20 s in which each call fails at once, with the shortest random back-off.
    node, discovery, run = make_following_node(
        registryMode=mode, guarantees={"stopSendingWithinUs": 20000000}
    )
    node.reducer.dispatcher.random = lambda: 0.0
    calls = 1
    for _ in range(2000):
        discovery.accept()
        while discovery.held:
            sock = discovery.held.pop()
            if response:
                sock.sendall(response)
                sock.close()
            else:
                (reset_connection if response is None else socket.socket.close)(sock)
            calls += 1
        run(2, advance_ms=10.0)
    assert 10 < calls < max_calls


def test_nodes_whose_watches_end_together_do_not_call_together(make_following_node):
    nodes = [make_following_node(seed) for seed in range(1, 25)]
    discovery = nodes[0].discovery
    discovery.read()
    for sock in discovery.held:
        sock.sendall(response_of(list_body(5, "active")))
    for node, _, run in nodes:
        run()
        run(advance_ms=node.discovery.min_watch_gap_ms)
    discovery.read()
    for sock in discovery.held:
        reset_connection(sock)
    discovery.held.clear()
    for _, _, run in nodes:
        run(2)
    due_ms = sorted(node.reducer.dispatcher.next_poll_ms - node.loop.now() for node, _, _ in nodes)
    backoff_ms = nodes[0].node.reducer.dispatcher.poll_backoff_ms
    most_together = max(sum(start <= at < start + 0.1 * backoff_ms for at in due_ms) for start in due_ms)
    assert most_together <= len(due_ms) // 3  # 24 nodes: evenly spread, a tenth of the back-off has about 3


# A reload on SIGHUP changes discovery's address.


def in_open_watch(following):
    node, discovery, run = following
    discovery.held[0].sendall(response_of(list_body(5, "active")))
    run()
    run(advance_ms=node.discovery.min_watch_gap_ms)
    assert b"since=5" in discovery.read()


def in_backoff(following):
    """Fail calls until the back-off is longest, and return during a back-off."""
    node, discovery, run = following
    for _ in range(8):
        while discovery.held:
            reset_connection(discovery.held.pop())
        while not discovery.accept():
            run(2, advance_ms=10.0)
    reset_connection(discovery.held.pop())
    run()
    assert node.discovery.task is None
    assert node.reducer.dispatcher.poll_backoff_ms == node.reducer.dispatcher.settings.max_poll_interval_ms


def in_call(following):
    assert following.node.discovery.task is not None  # the call is left unanswered


@pytest.mark.parametrize("enter_state", [in_open_watch, in_backoff, in_call])
@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize("grace_us", [400000, 20000000])
def test_a_drain_is_applied_within_four_seconds_of_a_sighup_that_moves_discovery(
    make_following_node, listening_servers, enter_state, mode, grace_us
):
    following = make_following_node(registryMode=mode, guarantees={"stopSendingWithinUs": grace_us})
    node, discovery, run = following
    node.reducer.dispatcher.random = lambda: 1.0 - 1e-9  # the longest back-off
    discovery.read()
    enter_state(following)
    moved_discovery = listening_servers["moved"] = ListeningServer()
    path = Path(node.config.path)
    values = json.loads(path.read_text()) | {"discovery": "{}:{}".format(*moved_discovery.address)}
    path.write_text(json.dumps(values))
    node.reload()
    began_ms = node.loop.now()
    while not moved_discovery.accept():
        assert node.loop.now() - began_ms < 4000.0
        run(2, advance_ms=10.0)
    run()
    assert moved_discovery.read().startswith(b"GET /api/targets HTTP")
    run(advance_ms=100.0)  # the list arrives late
    moved_discovery.held[0].sendall(response_of(list_body(1, "leaving")))  # numbered by another discovery
    run()
    assert endpoint_state(node, "e1") is EndpointState.DRAINING
    assert node.loop.now() - began_ms < 4000.0
    assert all(is_closed_by_peer(sock) for sock in discovery.held)
