"""Updates of the endpoint list, and polls after failures."""

import pytest
from dispatchers import ready

from marlseam.decisions.types import Endpoint, EndpointState, ListUpdateKind


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_a_draining_or_gone_server_gets_nothing(make_dispatcher, state):
    dispatcher = make_dispatcher(0.0, 0.0)
    dispatcher.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, state, 0, 0, 0, None)])
    assert ready(dispatcher) == [1]


def test_a_server_absent_from_a_full_list_is_gone(make_dispatcher):
    dispatcher = make_dispatcher(0.0, 0.0)
    dispatcher.update_endpoints(ListUpdateKind.FULL, [Endpoint(1, EndpointState.READY, 0, 0, 0, None)])
    assert dispatcher.endpoint_state[0] is EndpointState.GONE


@pytest.mark.parametrize("left_out", [False, True])
@pytest.mark.parametrize(("before", "used"), [("", True), ("drained", False), ("rests", False)])
def test_where_only_draining_excludes_a_server_off_the_list_is_used_until_it_fails(
    make_dispatcher, left_out, before, used
):
    dispatcher = make_dispatcher(0.0, 0.0, only_draining_excludes=True)
    rows = [Endpoint(0, EndpointState.GONE, 0, 0, 0, None), Endpoint(1, EndpointState.READY, 0, 0, 0, None)]
    if before == "drained":
        dispatcher.update_endpoints(
            ListUpdateKind.DELTA, [Endpoint(0, EndpointState.DRAINING, 0, 0, 0, None)]
        )
    elif before == "rests":
        dispatcher.eject(0, "test")
        dispatcher.retry_elsewhere(0)
    for _ in range(2):
        dispatcher.update_endpoints(
            ListUpdateKind.FULL if left_out else ListUpdateKind.DELTA, rows[1:] if left_out else rows
        )
    dispatcher.port.clock += dispatcher.ejection_base_ms
    assert (0 in ready(dispatcher)) is used
    if used:  # what we see and what the list says together are believed, until it is listed again
        dispatcher.eject(0, "test")
        dispatcher.retry_elsewhere(0)
        dispatcher.port.clock = dispatcher.ejected_until_ms[0]
        assert ready(dispatcher) == [1]
        assert dispatcher.endpoint_state[0] is EndpointState.GONE
        dispatcher.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, EndpointState.READY, 0, 0, 0, None)])
        assert 0 in ready(dispatcher)


def test_a_failed_subscription_is_tried_again_later(make_dispatcher):
    dispatcher = make_dispatcher(0.0)
    dispatcher.update_endpoints(ListUpdateKind.FAILED, [])
    stale, _ = dispatcher.port.timers[-1]
    dispatcher.update_endpoints(ListUpdateKind.FAILED, [])
    (due, call) = dispatcher.port.timers[-1]
    assert dispatcher.port.clock < stale
    assert dispatcher.port.clock < due == dispatcher.next_poll_ms < dispatcher.port.clock + 10000.0
    for _, older in dispatcher.port.timers[:-1]:
        older()
    assert not dispatcher.port.did("watch_endpoints")  # one call, however many failures were told
    call()
    assert dispatcher.port.did("watch_endpoints") == [("watch_endpoints",)]


def test_a_new_start_time_voids_old_counts(make_dispatcher):
    dispatcher = make_dispatcher(3.0, 1.0)
    dispatcher.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, EndpointState.READY, 0, 0, 0, 900.0)])
    assert dispatcher.others_slots[0] is None
