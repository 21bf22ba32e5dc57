"""A node receives a change of the endpoint list within 6 s of discovery having it and being reachable.

See docs/node.md. Each way in which a call can fail is simulated on real sockets at its worst instant: the
random source and the back-off are at their longest, and the call that fails last begins, or fails, right
before discovery is restored. The test advances the clock, in steps that make each wait of the loop end late;
the load of the machine has no influence.
"""

import json
import socket
from collections.abc import Callable
from pathlib import Path

import pytest
from conftest import OPTIONS, reconfigured
from controlled_node import STEP_MS, ControlledNode, RestartableDiscovery
from loopback_servers import RESPONSE_HEAD, fill_accept_queue, reset_connection, response_of

from marlseam.decisions import dispatcher
from marlseam.net import limits
from marlseam.net.node import Node

NOTIFICATION_LIMIT_MS = 6000.0  # time after which a change counts as known
# Delay of discovery's answer after one failed call, and after two.
ANSWER_AFTER_ONE_FAILURE_MS, ANSWER_AFTER_TWO_FAILURES_MS = 1900.0, 800.0
FAILURES_TO_LONGEST_BACKOFF = 7
GIVE_UP_MS = 1e6
OLD_VERSION, NEW_VERSION = 5, 6
OLD_LIST, NEW_LIST = b'{"seq":5,"whole":true,"hosts":[]}', b'{"seq":6,"whole":true,"hosts":[]}'
SETTINGS_OF_DISCOVERY = {
    "polled": {"registryMode": "subscribe"},
    "polled, often": {"registryMode": "subscribe", "guarantees": {"mustAskInUs": 1000000}},
    "pushed": {"registryMode": "automatic", "guarantees": {"stopSendingWithinUs": 20000000}},
    "pushed, soon": {"registryMode": "automatic", "guarantees": {"stopSendingWithinUs": 400000}},
}


@pytest.fixture
def make_controlled_node(node, monkeypatch):
    """Return a function that makes nodes, each with its own discovery."""
    made = []
    # Random values that give the longest back-off.
    monkeypatch.setattr(dispatcher, "RandomSource", lambda _seed: lambda: 1.0 - 2.0**-32)

    def begin(listens: bool = True, **settings: object) -> ControlledNode:
        discovery = RestartableDiscovery(listens)
        values = {"settings": OPTIONS | settings, "discovery": "{}:{}".format(*discovery.address)}
        config = reconfigured(node, Path(node.config.path), **values)
        made.append(ControlledNode(Node(config), discovery))
        return made[-1]

    yield begin
    for controlled in made:
        controlled.close()


# Ways in which a call that has just begun can fail; a call that hangs ends only by its time-out.


def fail_by_answer(
    data: bytes, end_connection: Callable[[socket.socket], None] | None = None
) -> Callable[[ControlledNode], None]:
    """Return a failure in which discovery reads a call, answers `data`, and may end the connection."""

    def fail(controlled: ControlledNode) -> None:
        sock = controlled.run_until(controlled.discovery.next_call)
        if data:
            sock.sendall(data)
        if end_connection is not None:
            controlled.discovery.held.remove(sock)
            end_connection(sock)

    return fail


def fail_by_itself(_controlled: ControlledNode) -> None:
    """Do nothing: the call is refused, or hangs while connecting or in the accept queue."""


ERROR_RESPONSE = b"HTTP/1.1 %d -\r\nContent-Length: 0\r\n\r\n"
FAILS_AT_ONCE = {
    "refused": fail_by_itself,
    "reset": fail_by_answer(b"", reset_connection),
    "closed": fail_by_answer(b"", socket.socket.close),
    "half a head, closed": fail_by_answer(RESPONSE_HEAD[:9], socket.socket.close),
    "half a list, reset": fail_by_answer(response_of(OLD_LIST)[:-9], reset_connection),
    "half a list, closed": fail_by_answer(response_of(OLD_LIST)[:-9], socket.socket.close),
    "500": fail_by_answer(ERROR_RESPONSE % 500),
    "503": fail_by_answer(ERROR_RESPONSE % 503),
    "no http": fail_by_answer(b"\x00\xff nonsense\r\n\r\n"),
    "no json": fail_by_answer(response_of(b'{"seq":')),
    "no list": fail_by_answer(response_of(b'{"seq":7,"hosts":8}')),
    "too deep": fail_by_answer(response_of(b"[" * 100000)),
}
HANGS = {
    "connecting": fail_by_itself,
    "in the queue": fail_by_itself,
    "silent": fail_by_answer(b""),
    "half a head": fail_by_answer(RESPONSE_HEAD[:9]),
    "half a list": fail_by_answer(response_of(OLD_LIST)[:-9]),
}
FAILURES = FAILS_AT_ONCE | HANGS


def stop_discovery(controlled: ControlledNode, failure: str) -> Callable[[], None]:
    """Stop discovery so that calls fail in one way; return a function that restores it."""
    discovery = controlled.discovery
    if failure == "refused":
        discovery.stop()
        return discovery.start
    discovery.end_connections(reset_connection)  # watches end when discovery goes down
    if failure == "connecting":
        discovery.sock.listen(0)
        empty_accept_queue = fill_accept_queue(discovery)

        def accept_again() -> None:
            empty_accept_queue()
            discovery.start()
            discovery.next_call()

        return accept_again
    return discovery.leave_calls_unanswered


def fail_until_longest_backoff(controlled: ControlledNode, failure: str) -> Callable[[], None]:
    """Make a node follow discovery, then fail calls until the longest back-off; return what restores it."""
    controlled.run_until(controlled.discovery.next_call).sendall(response_of(OLD_LIST))
    controlled.run_until(lambda: controlled.version() == OLD_VERSION)
    controlled.advance_until(controlled.discovery.next_call, 1000.0)  # until the watch begins
    restore = stop_discovery(controlled, failure)
    controlled.run_until(controlled.has_failed)
    for _ in range(FAILURES_TO_LONGEST_BACKOFF):
        controlled.advance_to_next_call()
        FAILURES[failure](controlled)
        wait_until_call_failed(controlled, failure)
    return restore


def wait_until_call_failed(controlled: ControlledNode, failure: str) -> None:
    """Run the node until its current call has failed."""
    if failure in HANGS:
        controlled.advance_until(controlled.has_failed, 2500.0)
    else:
        controlled.run_until(controlled.has_failed)


def run_until_notified(controlled: ControlledNode, answer_ms: float) -> None:
    """Answer each call of the node after `answer_ms`, until the node has received the change."""
    due: list[tuple[float, socket.socket]] = []

    def answer_due_calls() -> None:
        while (sock := controlled.discovery.next_call()) is not None:
            due.append((controlled.clock + answer_ms, sock))
        while due and due[0][0] <= controlled.clock:
            try:
                due.pop(0)[1].sendall(response_of(NEW_LIST))
            except OSError:
                continue  # the node has closed the call's connection

    calls = controlled.calls
    while controlled.version() != NEW_VERSION:
        if controlled.calls > calls:
            calls = controlled.calls
            controlled.run_until(lambda: answer_due_calls() or due)
        answer_due_calls()
        for _ in range(5):
            controlled.run_turn()
        if controlled.version() != NEW_VERSION:
            if due and due[0][0] <= controlled.clock + STEP_MS:
                controlled.clock = due[0][0]
                answer_due_calls()
                controlled.run_until(lambda: controlled.version() == NEW_VERSION)
            else:
                controlled.clock += STEP_MS
        assert controlled.clock < GIVE_UP_MS


@pytest.mark.parametrize("settings", SETTINGS_OF_DISCOVERY.values(), ids=SETTINGS_OF_DISCOVERY)
@pytest.mark.parametrize("second_failure", [None, "500", "silent"], ids=["one", "two, 500", "two, silent"])
@pytest.mark.parametrize("failure", FAILURES)
def test_a_change_is_received_in_time_after_failed_calls(
    make_controlled_node, failure, second_failure, settings
):
    controlled = make_controlled_node(**settings)
    restore = fail_until_longest_backoff(controlled, failure)
    controlled.advance_to_next_call()
    FAILURES[failure](controlled)
    if failure not in HANGS:
        controlled.run_until(controlled.has_failed)
    restored_ms = controlled.clock
    restore()
    wait_until_call_failed(controlled, failure)
    if second_failure is not None:
        controlled.advance_to_next_call()
        FAILURES[second_failure](controlled)
        wait_until_call_failed(controlled, second_failure)
    answer_ms = ANSWER_AFTER_ONE_FAILURE_MS if second_failure is None else ANSWER_AFTER_TWO_FAILURES_MS
    run_until_notified(controlled, answer_ms)
    assert controlled.clock - restored_ms < NOTIFICATION_LIMIT_MS


def follow_list(controlled: ControlledNode) -> socket.socket:
    """Send a node the list and run it until its watch begins; return the watch's connection."""
    controlled.run_until(controlled.discovery.next_call).sendall(response_of(OLD_LIST))
    controlled.run_until(lambda: controlled.version() == OLD_VERSION)
    controlled.advance_until(controlled.discovery.next_call, 1000.0)
    return controlled.discovery.held[-1]


@pytest.mark.parametrize("settings", SETTINGS_OF_DISCOVERY.values(), ids=SETTINGS_OF_DISCOVERY)
@pytest.mark.parametrize(
    "partial_response", [RESPONSE_HEAD[:9], response_of(NEW_LIST)[:-9]], ids=["half a head", "half a list"]
)
def test_a_change_is_received_in_time_after_a_watch_that_stops_in_its_answer(
    make_controlled_node, partial_response, settings
):
    controlled = make_controlled_node(**settings, fleetSize=200)  # in a large fleet a watch may wait for long
    watch_socket = follow_list(controlled)
    watch_socket.sendall(partial_response)
    began_ms = controlled.clock
    run_until_notified(controlled, ANSWER_AFTER_ONE_FAILURE_MS)
    assert controlled.clock - began_ms < NOTIFICATION_LIMIT_MS


@pytest.mark.parametrize("settings", SETTINGS_OF_DISCOVERY.values(), ids=SETTINGS_OF_DISCOVERY)
@pytest.mark.parametrize("end_connection", [socket.socket.close, reset_connection], ids=["closed", "reset"])
@pytest.mark.parametrize("waited_share", [0.0, 0.9])
def test_a_change_is_received_in_time_after_a_watch_that_outlasted_an_outage(
    make_controlled_node, waited_share, end_connection, settings
):
    controlled = make_controlled_node(**settings, fleetSize=200)
    watch_socket = follow_list(controlled)
    end_ms = controlled.clock + waited_share * controlled.node.discovery.wait_ms
    # Discovery fails without closing its connections, and is restored.
    controlled.advance_until(lambda: controlled.clock >= end_ms)
    controlled.discovery.held.remove(watch_socket)
    end_connection(watch_socket)  # the connection's end reaches the node now
    restored_ms = controlled.clock
    controlled.run_until(controlled.has_failed)
    run_until_notified(controlled, ANSWER_AFTER_ONE_FAILURE_MS)
    assert controlled.clock - restored_ms < NOTIFICATION_LIMIT_MS


@pytest.mark.parametrize("settings", SETTINGS_OF_DISCOVERY.values(), ids=SETTINGS_OF_DISCOVERY)
def test_a_change_is_received_within_two_seconds_of_the_end_of_a_silent_watch(make_controlled_node, settings):
    controlled = make_controlled_node(**settings, fleetSize=200)
    follow_list(controlled)
    wait_end_ms = controlled.clock + controlled.node.discovery.wait_ms
    controlled.discovery.leave_calls_unanswered()
    run_until_notified(controlled, 500.0)
    assert controlled.clock - wait_end_ms < 2000.0


@pytest.mark.parametrize("settings", SETTINGS_OF_DISCOVERY.values(), ids=SETTINGS_OF_DISCOVERY)
@pytest.mark.parametrize("changed_setting", ["address", "zones"])
@pytest.mark.parametrize("failure", [*HANGS, "backing off", "watch"])
def test_a_change_is_received_in_time_after_a_new_configuration(
    make_controlled_node, failure, changed_setting, settings
):
    controlled = make_controlled_node(**settings)
    former_discovery = controlled.discovery
    if failure == "watch":
        follow_list(controlled)
    else:
        fail_until_longest_backoff(controlled, "refused" if failure == "backing off" else failure)
        if failure != "backing off":
            controlled.advance_to_next_call()
            FAILURES[failure](controlled)
    if changed_setting == "address" or failure in ("connecting", "in the queue"):
        controlled.discovery = RestartableDiscovery()
    elif failure == "backing off":
        former_discovery.start()
    values = json.loads(Path(controlled.node.config.path).read_text())
    values["discovery"] = "{}:{}".format(*controlled.discovery.address)
    if changed_setting == "zones":
        values["settings"]["dcs"] = ["here", "there", "yonder"]
    Path(controlled.node.config.path).write_text(json.dumps(values))
    if controlled.discovery is former_discovery:
        former_discovery.leave_calls_unanswered()
    changed_ms = controlled.clock
    controlled.node.reload()
    run_until_notified(controlled, ANSWER_AFTER_ONE_FAILURE_MS)
    former_discovery.close()
    assert controlled.clock - changed_ms < NOTIFICATION_LIMIT_MS


@pytest.mark.parametrize("settings", SETTINGS_OF_DISCOVERY.values(), ids=SETTINGS_OF_DISCOVERY)
def test_an_overdue_answer_is_applied_and_the_list_is_followed(make_controlled_node, settings):
    controlled = make_controlled_node(**settings)
    call = controlled.run_until(controlled.discovery.next_call)
    controlled.advance_until(controlled.has_failed, 2500.0)
    assert not controlled.node.discovery.is_confirmed
    call.sendall(response_of(OLD_LIST))
    controlled.run_until(lambda: controlled.version() == OLD_VERSION)
    assert not controlled.has_failed()  # the node continues with a watch, and no other call is open
    calls = controlled.calls
    controlled.advance_until(controlled.discovery.next_call, 1000.0)
    end_ms = controlled.clock + controlled.node.discovery.wait_ms
    controlled.advance_until(lambda: controlled.clock >= end_ms)
    assert not controlled.discovery.next_call()
    assert len(controlled.discovery.held) == 1
    assert controlled.calls <= calls + 1


@pytest.mark.parametrize("settings", SETTINGS_OF_DISCOVERY.values(), ids=SETTINGS_OF_DISCOVERY)
@pytest.mark.parametrize("first", ["the old", "the new"])
def test_an_overdue_answer_replaces_nothing_newer(make_controlled_node, first, settings):
    controlled = make_controlled_node(**settings)
    old = controlled.run_until(controlled.discovery.next_call)
    controlled.advance_until(controlled.has_failed, 2500.0)
    controlled.advance_to_next_call()
    new = controlled.run_until(controlled.discovery.next_call)
    if first == "the old":
        old.sendall(response_of(OLD_LIST))
        controlled.run_until(lambda: controlled.version() == OLD_VERSION)
        assert not controlled.has_failed()
        new.sendall(response_of(NEW_LIST))
        controlled.run_until(lambda: controlled.version() == NEW_VERSION)
    else:
        new.sendall(response_of(NEW_LIST))
        controlled.run_until(lambda: controlled.version() == NEW_VERSION)
        old.sendall(response_of(OLD_LIST))
    controlled.run_until(lambda: not controlled.node.discovery.overdue)
    assert controlled.version() == NEW_VERSION
    assert not controlled.has_failed()


@pytest.mark.parametrize("settings", SETTINGS_OF_DISCOVERY.values(), ids=SETTINGS_OF_DISCOVERY)
def test_a_list_that_arrives_slowly_is_read_to_its_end(make_controlled_node, settings):
    controlled = make_controlled_node(**settings)
    call = controlled.run_until(controlled.discovery.next_call)
    call.sendall(response_of(OLD_LIST)[:-9])
    # Longer than the time-out of a call in the settings with a short one.
    end_ms = controlled.clock + ANSWER_AFTER_ONE_FAILURE_MS
    controlled.advance_until(lambda: controlled.clock >= end_ms)
    call.sendall(response_of(OLD_LIST)[-9:])
    controlled.run_until(lambda: controlled.version() == OLD_VERSION)


def test_the_number_of_open_overdue_calls_is_limited_by_their_time_limit(make_controlled_node):
    for settings in SETTINGS_OF_DISCOVERY.values():
        controlled = make_controlled_node(**settings)
        end_ms = controlled.clock + 30000.0
        while controlled.clock < end_ms:
            controlled.clock += STEP_MS
            controlled.run_turn()
            controlled.discovery.next_call()
            open_calls = len(controlled.node.discovery.overdue) + 1
            assert open_calls <= 10 < limits.OWN_SOCKETS / 2


@pytest.mark.parametrize("settings", SETTINGS_OF_DISCOVERY.values(), ids=SETTINGS_OF_DISCOVERY)
def test_a_list_on_a_connection_that_ends_with_it_is_applied_and_causes_no_storm_of_calls(
    make_controlled_node, settings
):
    last_response = response_of(NEW_LIST).replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    controlled = make_controlled_node(**settings)
    longest_backoff_ms = controlled.node.reducer.dispatcher.settings.max_poll_interval_ms
    served = 0
    end_ms = controlled.clock + 20.0 * longest_backoff_ms
    while controlled.clock < end_ms:
        controlled.clock += longest_backoff_ms / 40.0
        calls = controlled.calls
        for _ in range(3):
            controlled.run_turn()
        if controlled.calls > calls or not controlled.has_failed():
            sock = controlled.run_until(controlled.discovery.next_call)
            sock.sendall(last_response)
            controlled.run_until(controlled.has_failed)
            served += 1
    assert controlled.version() == NEW_VERSION
    assert 18 <= served <= 28
