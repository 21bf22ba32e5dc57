"""Updates of the endpoint list, and polls after failures."""

import pytest
from dispatchers import usable_servers

from marlseam.decisions.types import Endpoint, EndpointState, ListUpdateKind


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_a_draining_or_gone_server_is_not_usable(make_dispatcher, state):
    dispatcher = make_dispatcher(0.0, 0.0)
    dispatcher.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, state, 0, 0, 0, None)])
    assert usable_servers(dispatcher) == [1]


def test_a_server_absent_from_a_full_list_is_gone(make_dispatcher):
    dispatcher = make_dispatcher(0.0, 0.0)
    dispatcher.update_endpoints(ListUpdateKind.FULL, [Endpoint(1, EndpointState.READY, 0, 0, 0, None)])
    assert dispatcher.endpoint_state[0] is EndpointState.GONE


@pytest.mark.parametrize("is_full_list", [False, True])
@pytest.mark.parametrize(
    ("state_before", "is_used"), [("ready", True), ("drained", False), ("ejected", False)]
)
def test_where_only_draining_excludes_a_server_off_the_list_is_used_until_it_fails(
    make_dispatcher, is_full_list, state_before, is_used
):
    dispatcher = make_dispatcher(0.0, 0.0, only_draining_excludes=True)
    gone, ready = (
        Endpoint(server, state, 0, 0, 0, None)
        for server, state in ((0, EndpointState.GONE), (1, EndpointState.READY))
    )
    draining = Endpoint(0, EndpointState.DRAINING, 0, 0, 0, None)
    if state_before == "drained":
        dispatcher.update_endpoints(ListUpdateKind.DELTA, [draining])
    elif state_before == "ejected":
        dispatcher.eject(0, "test")
        dispatcher.retry_elsewhere(0)
    for _ in range(2):
        if is_full_list:
            dispatcher.update_endpoints(ListUpdateKind.FULL, [ready])
        else:
            dispatcher.update_endpoints(ListUpdateKind.DELTA, [gone, ready])
    dispatcher.port.clock += dispatcher.ejection_base_ms
    assert (0 in usable_servers(dispatcher)) is is_used
    if is_used:  # after the ejection the list applies, until the server is listed again
        dispatcher.eject(0, "test")
        dispatcher.retry_elsewhere(0)
        dispatcher.port.clock = dispatcher.ejected_until_ms[0]
        assert usable_servers(dispatcher) == [1]
        assert dispatcher.endpoint_state[0] is EndpointState.GONE
        dispatcher.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, EndpointState.READY, 0, 0, 0, None)])
        assert 0 in usable_servers(dispatcher)


def test_a_failed_subscription_is_retried_after_a_backoff(make_dispatcher):
    dispatcher = make_dispatcher(0.0)
    dispatcher.update_endpoints(ListUpdateKind.FAILED, [])
    first_due_ms, _ = dispatcher.port.timers[-1]
    dispatcher.update_endpoints(ListUpdateKind.FAILED, [])
    due_ms, poll = dispatcher.port.timers[-1]
    assert dispatcher.port.clock < first_due_ms
    assert dispatcher.port.clock < due_ms == dispatcher.next_poll_ms < dispatcher.port.clock + 10000.0
    for _, earlier_poll in dispatcher.port.timers[:-1]:
        earlier_poll()
    # One poll, regardless of the number of failures.
    assert not dispatcher.port.operations_named("watch_endpoints")
    poll()
    assert dispatcher.port.operations_named("watch_endpoints") == [("watch_endpoints",)]


def test_a_new_start_time_of_a_process_resets_the_others_slots(make_dispatcher):
    dispatcher = make_dispatcher(3.0, 1.0)
    dispatcher.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, EndpointState.READY, 0, 0, 0, 900.0)])
    assert dispatcher.others_slots[0] is None
