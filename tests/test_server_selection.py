"""Drawing of servers for a request: at random, by zone, kind and resource key."""

from dataclasses import replace

import pytest
from dispatchers import update_weights

from marlseam.decisions.request_state import RequestState
from marlseam.decisions.types import Endpoint, EndpointState, ListUpdateKind, Request


@pytest.mark.parametrize(("counts", "home"), [((4.0, 4.0, 0.0, 4.0), 2), ((4.0, 4.0, 4.0, 4.0), -1)])
def test_a_server_with_free_slots_is_preferred_to_a_wait_for_the_key_holder(
    make_dispatcher, make_request, counts, home
):
    dispatcher = make_dispatcher(*counts, fetch_cost=0.03)
    state = make_request(dispatcher)
    state.request = replace(state.request, resource_key="k")
    dispatcher.hash_ring = {-1: [(0, 1), (1 << 32, 1)]}
    dispatcher.others_slots[1] = 90.0
    state.arrived_ms += 9999.0  # leaves time to wait
    assert state.can_wait_for_affinity()
    assert state.choose_initial_placement().server == home


def test_the_same_seed_draws_the_same_numbers(make_dispatcher):
    assert [make_dispatcher(0.0).random() for _ in range(3)] == [
        make_dispatcher(0.0).random() for _ in range(3)
    ]


def test_the_nodes_own_zone_is_drawn_more_often(make_dispatcher):
    dispatcher = make_dispatcher(0.0, cross_zone_cost=0.1)
    dispatcher.update_endpoints(ListUpdateKind.DELTA, [Endpoint(1, EndpointState.READY, 0, 1, 0, None)])
    drawn = [dispatcher.draw_server(lambda _server: True) for _ in range(200)]
    assert 0 < drawn.count(1) < 30


def test_a_request_that_has_waited_is_drawn_evenly_over_zones(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0, cross_zone_cost=0.1)
    dispatcher.update_endpoints(ListUpdateKind.DELTA, [Endpoint(1, EndpointState.READY, 0, 1, 0, None)])
    state = make_request(dispatcher)
    state.has_waited = True
    drawn = [dispatcher.draw_server(lambda _server: True, state) for _ in range(200)]
    assert 70 < drawn.count(1) < 130


@pytest.mark.parametrize(("fetch_cost", "min_homes", "max_homes"), [(0.03, 1, 2), (0.0, 11, 20)])
def test_with_a_fetch_cost_a_key_draws_few_servers_and_the_same_at_every_node(
    make_dispatcher, fetch_cost, min_homes, max_homes
):
    def homes(seed):
        dispatcher = make_dispatcher(*[0.0] * 20, fetch_cost=fetch_cost)
        update_weights(dispatcher, *[None] * 20)
        dispatcher.seed = seed
        state = RequestState(dispatcher, Request("w", 0, 9e9, resource_key="calendar-7"))
        return {dispatcher.draw_server(lambda _server: True, state) for _ in range(60)}

    assert min_homes <= len(homes(1)) <= max_homes
    assert not fetch_cost or homes(1) == homes(2)


def test_requests_for_any_kind_avoid_a_kind_that_a_class_requires(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0, kind_count=2)
    entries = [Endpoint(server, EndpointState.READY, server % 2, 0, 0, None) for server in range(4)]
    bound = replace(dispatcher.request_classes[1], kind=1)
    request_classes = (dispatcher.request_classes[0], bound, dispatcher.request_classes[2])
    dispatcher.configure(replace(dispatcher.settings, request_classes=request_classes))
    dispatcher.update_endpoints(ListUpdateKind.FULL, entries)
    dispatcher.max_free_slots[:2] = [4.0, 4.0]
    for _ in range(100):
        dispatcher.count_arrival(Request("w", 0, 9e9))
        dispatcher.count_arrival(Request("w", 1, 9e9))
    servers = [dispatcher.draw_server(lambda _server: True, make_request(dispatcher)) for _ in range(60)]
    assert [dispatcher.kind[server] for server in servers].count(1) < 10
