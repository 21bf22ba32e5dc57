"""The pending queue: which requests wait, the order in which they are served, and how many probe."""

from dataclasses import replace

from dispatchers import pending_count

from marlseam.decisions.types import LoadReport, Outcome


def test_a_request_that_would_miss_its_objective_is_queued(make_dispatcher, make_request):
    dispatcher = make_dispatcher(40.0)
    make_request(dispatcher).place()
    assert not dispatcher.port.operations_named("send")
    assert pending_count(dispatcher) == 1


def test_retries_wait_in_a_queue_of_their_own(make_dispatcher, make_request):
    dispatcher = make_dispatcher(40.0)
    make_request(dispatcher, 0, ((0, Outcome.AT_CAPACITY),)).enqueue()
    assert not pending_count(dispatcher)
    assert pending_count(dispatcher, is_retry=True) == 1


def test_a_node_with_nothing_in_flight_sets_no_timer(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0, subscribes_to_endpoints=False)
    assert not dispatcher.port.timers
    make_request(dispatcher).send(0)
    assert dispatcher.is_check_scheduled
    assert len(dispatcher.port.timers) == 1


def test_one_waiting_request_probes_at_a_time(make_dispatcher, make_request):
    dispatcher = make_dispatcher(40.0, 40.0, 40.0)
    for _ in range(3):
        make_request(dispatcher).enqueue()
    dispatcher.last_report_ms[:] = [-1e18] * 3
    dispatcher.dispatch_queue()
    assert len(dispatcher.port.operations_named("probe")) == 1


def test_unsuccessful_placements_are_bounded_however_many_wait(make_dispatcher, make_request):
    dispatcher = make_dispatcher(*[40.0] * 5)
    for _ in range(200):
        make_request(dispatcher).enqueue()
    draws = []
    dispatcher.draw_server = lambda *_: draws.append(1) or -1
    dispatcher.dispatch_queue()
    assert len(draws) < 10
    assert pending_count(dispatcher) == 200


def test_an_unsuccessful_placement_for_one_kind_does_not_delay_another_kind(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    bound = make_request(dispatcher)
    bound.request_class = replace(bound.request_class, kind=1, latency_objective_ms=100.0)
    bound.enqueue()
    make_request(dispatcher).enqueue()
    dispatcher.dispatch_queue()
    assert len(dispatcher.port.operations_named("send")) == 1
    assert pending_count(dispatcher) == 1


def test_after_a_successful_probe_the_next_request_is_placed(make_dispatcher, make_request):
    dispatcher = make_dispatcher(40.0, subscribes_to_endpoints=False)
    for _ in range(2):
        make_request(dispatcher).enqueue()
    dispatcher.last_report_ms[:] = [-1e18] * 3
    dispatcher.dispatch_queue()
    dispatcher.probe_ended(0, Outcome.COMPLETED, 1.0, LoadReport(held=0.0))
    assert len(dispatcher.port.operations_named("send")) == 2


def test_priority_weight_goes_before_time_to_spare_where_requests_are_weighed_by_size(
    make_dispatcher, make_request
):
    dispatcher = make_dispatcher(40.0, weight_by_size=True)
    heavy_class = replace(dispatcher.request_classes[2], priority_weight=5.0)
    dispatcher.configure(
        replace(dispatcher.settings, request_classes=(*dispatcher.request_classes[:2], heavy_class))
    )
    make_request(dispatcher, 0).enqueue()
    make_request(dispatcher, 2).enqueue()
    dispatcher.set_others_slots(0, 3.0)
    dispatcher.dispatch_queue()
    assert dispatcher.port.operations_named("send")[0] == ("send", "w2", 0)
