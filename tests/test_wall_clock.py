"""Wall clocks are stepped, by seconds or an hour: what a node makes of times that were told by them."""

import time
from math import inf

import pytest

from marlseam.net.server_start_times import MAX_CLOCK_ERROR_MS

HOUR_MS = 3600_000.0
STEPS_MS = [-HOUR_MS, -8000.0, -1000.0, 0.0, 1000.0, 8000.0, HOUR_MS]


def host(name: str, process_started_ms: float) -> dict[str, object]:
    return {
        "host": name,
        "dial": "127.0.0.1:1",
        "site": "here",
        "class": "plain",
        "block": 0,
        "health": "active",
        "born_ms": round(process_started_ms),
    }


def tell(node, *hosts: dict[str, object], whole: bool = True) -> None:
    """Have discovery tell the node a list, or changes of it."""
    node.discovery.take({"seq": max(0, node.discovery.version) + 1, "whole": whole, "hosts": list(hosts)})


def step_own_clock(node, step_ms: float) -> None:
    """Have the wall clock of the node's machine be off by so much, as it was read at the start."""
    node.loop.clock.unix_zero_ms += step_ms


def allowance(node, name: str) -> float:
    """Return what all nodes may send to a server, in mean requests a ms; inf where it is warm."""
    return node.reducer.dispatcher.slow_start_budget(node.reducer.servers.by_name[name])


def in_slow_start(node, name: str) -> bool:
    e = node.reducer.servers.by_name[name]
    node.reducer.dispatcher.has_budget(e, 1.0)
    return allowance(node, name) < inf


@pytest.fixture
def unix_ms() -> float:
    return time.time() * 1000.0


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_a_server_that_has_just_started_is_in_slow_start_whatever_the_own_clock_says(node, unix_ms, step_ms):
    step_own_clock(node, step_ms)
    tell(node, host("e1", unix_ms - 500.0))
    assert in_slow_start(node, "e1")
    assert allowance(node, "e1") > 0.0


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_no_server_gets_more_than_by_its_true_age(node, unix_ms, step_ms):
    # What is not noticed is a difference of less than BELIEVED_MS.
    tell(node, host("e1", 0.0))
    step_own_clock(node, step_ms)
    tell(node, host("e2", unix_ms - 1500.0), whole=False)
    node.reducer.clock = node.loop.now()
    e, now_unix_ms = node.reducer.servers.by_name["e2"], time.time() * 1000.0
    assert (
        node.reducer.clock - node.reducer.dispatcher.process_started_ms[e]
        < now_unix_ms - (unix_ms - 1500.0) + MAX_CLOCK_ERROR_MS
    )


@pytest.mark.parametrize("step_ms", [-HOUR_MS, HOUR_MS])
def test_requests_are_answered_where_the_own_clock_is_off(node, client, reply, executor, unix_ms, step_ms):
    step_own_clock(node, step_ms)
    tell(node, host("e1", unix_ms - 500.0))
    executor()
    body = b'{"work": 1}'
    sock = client(
        b"POST /statement HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 9b\r\nX-Service-Class: statement\r\n"
        b"X-Time-Left: 2\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    )
    assert reply(sock).startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))


def test_a_server_whose_clock_is_behind_is_in_slow_start_once_a_change_tells_of_its_start(node, unix_ms):
    tell(node, host("e1", 0.0), host("e2", unix_ms - 60000.0))
    tell(node, host("e1", unix_ms - HOUR_MS), whole=False)
    tell(node, host("e3", unix_ms - HOUR_MS), whole=False)
    assert in_slow_start(node, "e1")
    assert in_slow_start(node, "e3")


def test_a_server_whose_clock_is_ahead_makes_no_other_warm(node, unix_ms):
    tell(node, host("e1", unix_ms + HOUR_MS), host("e2", unix_ms - 500.0))
    assert in_slow_start(node, "e1")
    assert in_slow_start(node, "e2")


def test_a_start_keeps_its_time_whatever_is_learned_of_clocks_later(node, unix_ms):
    tell(node, host("e1", unix_ms - 9000.0))
    node.reducer.clock = node.loop.now()
    e = node.reducer.servers.by_name["e1"]
    born = node.reducer.dispatcher.process_started_ms[e]
    tell(node, host("e2", unix_ms - 10.0), whole=False)
    tell(node, host("e1", unix_ms - 9000.0), host("e2", unix_ms - 10.0))
    assert node.reducer.dispatcher.process_started_ms[e] == born


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_a_list_that_is_handed_on_holds_starts_as_they_were_told(node, unix_ms, step_ms):
    step_own_clock(node, step_ms)
    told = round(unix_ms - 500.0)
    tell(node, host("e1", told), host("e2", 0.0))
    assert {row["host"]: row["born_ms"] for row in node.discovery.rows()} == {"e1": told, "e2": 0}
