"""A node's own part of the slow start budget of a server."""

from dataclasses import replace

import pytest
from dispatchers import usable_servers

from marlseam.decisions.types import Endpoint, EndpointState, ListUpdateKind


def test_a_process_share_is_a_share_of_a_slow_start_budget(make_dispatcher):
    dispatcher = make_dispatcher(0.0, node_count=2)
    dispatcher.process_started_ms[0] = dispatcher.slow_start_refilled_ms[0] = dispatcher.port.clock
    dispatcher.slow_start_tokens[0] = 0.0
    dispatcher.port.clock += 100.0
    dispatcher.has_budget(0)
    whole_budget = dispatcher.slow_start_tokens[0]
    dispatcher.configure(replace(dispatcher.settings, process_share=0.5))
    dispatcher.slow_start_tokens[0], dispatcher.slow_start_refilled_ms[0] = 0.0, dispatcher.port.clock - 100.0
    dispatcher.has_budget(0)
    assert 0.0 < dispatcher.slow_start_tokens[0] == pytest.approx(whole_budget / 2)


def test_a_server_in_slow_start_is_usable_only_within_this_nodes_part(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0, 0.0)
    dispatcher.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, EndpointState.READY, 0, 0, 0, 900.0)])
    assert 0 not in usable_servers(dispatcher)
    dispatcher.port.clock += 3000.0
    assert 0 in usable_servers(dispatcher)
    dispatcher.slow_start_tokens[0] = 0.5
    make_request(dispatcher).send(0)
    assert 0 not in usable_servers(dispatcher)


def test_the_token_bucket_of_a_server_in_slow_start_begins_at_zero_or_less(make_dispatcher):
    dispatcher = make_dispatcher(0.0)
    for started_ms in (910.0, 920.0, 930.0):
        dispatcher.update_endpoints(
            ListUpdateKind.DELTA, [Endpoint(0, EndpointState.READY, 0, 0, 0, started_ms)]
        )
        assert -1.0 < dispatcher.slow_start_tokens[0] <= 0.0


def test_a_large_request_is_not_eligible_for_a_server_that_has_just_started(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    dispatcher.mean_run_ms[0] = 100.0 * dispatcher.mean_slot_ms
    state = make_request(dispatcher)
    assert state.is_eligible(0)
    dispatcher.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, EndpointState.READY, 0, 0, 0, 900.0)])
    assert not state.is_eligible(0)
