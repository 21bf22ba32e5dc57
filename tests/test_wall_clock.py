"""Wall clocks that are stepped by seconds or an hour, and the start times that servers report by them."""

import time
from math import inf

import pytest

from marlseam.net.server_start_times import MAX_CLOCK_ERROR_MS

HOUR_MS = 3600_000.0
STEPS_MS = [-HOUR_MS, -8000.0, -1000.0, 0.0, 1000.0, 8000.0, HOUR_MS]


def make_entry(name: str, process_started_ms: float) -> dict[str, object]:
    """Return an entry of discovery's list for a server whose process started at a Unix time in ms."""
    return {
        "host": name,
        "dial": "127.0.0.1:1",
        "site": "here",
        "class": "plain",
        "block": 0,
        "health": "active",
        "born_ms": round(process_started_ms),
    }


def take_list(node, *entries: dict[str, object], whole: bool = True) -> None:
    """Apply a list from discovery, or changes of it, to the node."""
    node.discovery.apply_list(
        {"seq": max(0, node.discovery.version) + 1, "whole": whole, "hosts": list(entries)}
    )


def step_own_clock(node, step_ms: float) -> None:
    """Shift the wall clock's value that the node read at its start."""
    node.loop.clock.unix_zero_ms += step_ms


def slow_start_budget(node, name: str) -> float:
    """Return all nodes' budget of a server, in mean requests per ms; inf outside slow start."""
    return node.reducer.dispatcher.slow_start_budget(node.reducer.servers.by_name[name])


def is_in_slow_start(node, name: str) -> bool:
    server = node.reducer.servers.by_name[name]
    node.reducer.dispatcher.has_budget(server, 1.0)
    return slow_start_budget(node, name) < inf


@pytest.fixture
def unix_ms() -> float:
    return time.time() * 1000.0


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_a_server_that_has_just_started_is_in_slow_start_whatever_the_nodes_wall_clock(
    node, unix_ms, step_ms
):
    step_own_clock(node, step_ms)
    take_list(node, make_entry("e1", unix_ms - 500.0))
    assert is_in_slow_start(node, "e1")
    assert slow_start_budget(node, "e1") > 0.0


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_the_age_of_a_server_is_overestimated_by_less_than_the_clock_error(node, unix_ms, step_ms):
    # A difference of less than MAX_CLOCK_ERROR_MS is not detected.
    take_list(node, make_entry("e1", 0.0))
    step_own_clock(node, step_ms)
    take_list(node, make_entry("e2", unix_ms - 1500.0), whole=False)
    node.reducer.clock = node.loop.now()
    server, now_unix_ms = node.reducer.servers.by_name["e2"], time.time() * 1000.0
    assert (
        node.reducer.clock - node.reducer.dispatcher.process_started_ms[server]
        < now_unix_ms - (unix_ms - 1500.0) + MAX_CLOCK_ERROR_MS
    )


@pytest.mark.parametrize("step_ms", [-HOUR_MS, HOUR_MS])
def test_requests_are_answered_where_the_nodes_wall_clock_is_wrong(
    node, client, reply, start_server, unix_ms, step_ms
):
    step_own_clock(node, step_ms)
    take_list(node, make_entry("e1", unix_ms - 500.0))
    start_server()
    body = b'{"work": 1}'
    sock = client(
        b"POST /statement HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 9b\r\nX-Service-Class: statement\r\n"
        b"X-Time-Left: 2\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    )
    assert reply(sock).startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))


def test_a_server_whose_clock_is_behind_is_in_slow_start_once_a_change_reports_its_start(node, unix_ms):
    take_list(node, make_entry("e1", 0.0), make_entry("e2", unix_ms - 60000.0))
    take_list(node, make_entry("e1", unix_ms - HOUR_MS), whole=False)
    take_list(node, make_entry("e3", unix_ms - HOUR_MS), whole=False)
    assert is_in_slow_start(node, "e1")
    assert is_in_slow_start(node, "e3")


def test_a_server_whose_clock_is_ahead_does_not_end_the_slow_start_of_others(node, unix_ms):
    take_list(node, make_entry("e1", unix_ms + HOUR_MS), make_entry("e2", unix_ms - 500.0))
    assert is_in_slow_start(node, "e1")
    assert is_in_slow_start(node, "e2")


def test_the_time_of_a_start_is_not_changed_by_later_lists(node, unix_ms):
    take_list(node, make_entry("e1", unix_ms - 9000.0))
    node.reducer.clock = node.loop.now()
    server = node.reducer.servers.by_name["e1"]
    started_ms = node.reducer.dispatcher.process_started_ms[server]
    take_list(node, make_entry("e2", unix_ms - 10.0), whole=False)
    take_list(node, make_entry("e1", unix_ms - 9000.0), make_entry("e2", unix_ms - 10.0))
    assert node.reducer.dispatcher.process_started_ms[server] == started_ms


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_a_list_for_a_handover_has_the_starts_as_reported(node, unix_ms, step_ms):
    step_own_clock(node, step_ms)
    reported_ms = round(unix_ms - 500.0)
    take_list(node, make_entry("e1", reported_ms), make_entry("e2", 0.0))
    assert {row["host"]: row["born_ms"] for row in node.discovery.rows()} == {"e1": reported_ms, "e2": 0}
