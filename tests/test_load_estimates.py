"""Counts, thresholds and expected waits, and their update by reports."""

import pytest
from dispatchers import LIVE, update_weights

from marlseam.decisions.invariants import InvariantError, check_dispatcher
from marlseam.decisions.types import Endpoint, EndpointState, ListUpdateKind, LoadReport, Outcome


def test_threshold_is_the_mean_count_rounded_up(make_dispatcher):
    assert make_dispatcher(1.0, 1.0, 2.0).threshold(0) == 2


def test_a_server_without_a_report_has_the_mean_count(make_dispatcher):
    dispatcher = make_dispatcher(2.0, 4.0, None)
    assert dispatcher.count(2) == 3.0


def test_a_report_of_free_slots_and_queue_gives_a_count(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    make_request(dispatcher, attempts=((0, None),)).attempts[0].started_ms = 0.0
    dispatcher.merge_report(0, LoadReport(queued=2.0, free_slots=1.0), dispatcher.port.now())
    assert dispatcher.others_slots[0] == 4.0
    assert dispatcher.count(0) == 5.0


def test_requests_of_several_slots_count_by_the_slots_that_are_not_free(make_dispatcher):
    # Guards against taking a count of requests for one of slots, and sending to servers without free slots.
    dispatcher = make_dispatcher(0.0)
    dispatcher.merge_report(0, LoadReport(held=2.0, free_slots=0.0), dispatcher.port.now())
    assert dispatcher.count(0) == 4.0
    dispatcher.mean_slots = 1.5
    dispatcher.merge_report(0, LoadReport(held=6.0, free_slots=0.0), dispatcher.port.now())
    assert dispatcher.count(0) == 9.0


def test_a_server_at_capacity_is_over_its_threshold_until_its_next_report(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    state = make_request(dispatcher, attempts=((0, None),))
    state.attempt_ended(0, Outcome.AT_CAPACITY, False, None)
    assert dispatcher.is_over_threshold(0)
    dispatcher.merge_report(0, LoadReport(held=0.0), dispatcher.port.now())
    assert not dispatcher.is_over_threshold(0)


def test_the_expected_wait_covers_all_slots_of_a_request(make_dispatcher, make_request):
    dispatcher = make_dispatcher(2.0)
    assert dispatcher.expected_wait_ms(0, make_request(dispatcher).request) == 0.0
    assert dispatcher.expected_wait_ms(0, make_request(dispatcher, slots=4.0).request) > 0.0


def test_a_report_without_this_nodes_running_requests_is_distrusted(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    state = make_request(dispatcher, attempts=((0, None), (0, None)))
    state.attempts[0].started_ms = state.attempts[1].started_ms = dispatcher.port.clock - 1000.0
    dispatcher.merge_report(0, LoadReport(held=0.0), dispatcher.port.now())
    assert dispatcher.report_distrust > 0.0
    assert dispatcher.others_slots[0] > -2.0


def test_distrusted_reports_become_stale_later(make_dispatcher):
    dispatcher = make_dispatcher(0.0)
    dispatcher.port.clock += 1.5 * dispatcher.report_max_age_ms
    assert dispatcher.is_report_stale(0)
    dispatcher.report_distrust = 0.1
    assert not dispatcher.is_report_stale(0)


def test_sums_of_a_kind_follow_every_change(make_dispatcher, make_request):
    dispatcher = make_dispatcher(2.0, 4.0, None)
    state = make_request(dispatcher, attempts=((0, None), (1, None)))
    state.attempt_ended(1, Outcome.COMPLETED, False, None)
    dispatcher.update_endpoints(ListUpdateKind.DELTA, [Endpoint(1, EndpointState.GONE, 0, 0, 0, None)])
    dispatcher.eject(2, "test")
    dispatcher.retry_elsewhere(2)
    assert dispatcher.threshold(0) == 3
    assert dispatcher.ready_count[0] == 1
    assert dispatcher.others_slots_sum[0] == 2.0
    assert dispatcher.own_slots_sum[0] == 1.0
    check_dispatcher(dispatcher)


def test_a_server_without_free_slots_is_busy_where_none_was_ever_seen_free(make_dispatcher):
    dispatcher = make_dispatcher(None)
    dispatcher.max_free_slots[0] = 0.0
    dispatcher.merge_report(0, LoadReport(free_slots=0.0), dispatcher.port.now())
    assert dispatcher.count(0) == 1.0


def test_a_request_of_several_slots_may_go_where_the_slots_are_not_known_yet(make_dispatcher, make_request):
    dispatcher = make_dispatcher(None)
    dispatcher.max_free_slots[0] = 1.0
    dispatcher.port.clock += 2.0 * dispatcher.report_max_age_ms
    state = make_request(dispatcher, slots=4.0)
    assert state.is_eligible(0)
    assert state.meets_latency_objective(0)


def test_measured_runs_soon_outweigh_the_guess(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    guess_ms = dispatcher.mean_slot_ms
    for _ in range(20):
        dispatcher.learn_run(make_request(dispatcher).request, 0, 3.0 * guess_ms)
    assert dispatcher.mean_slot_ms > 2.0 * guess_ms


def test_a_wait_where_a_free_slot_was_reported_raises_the_distrust_in_reports(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    state = make_request(dispatcher)
    state.send(0)
    dispatcher.port.clock += 5.0 * dispatcher.max_queue_wait_ms
    state.started(0)
    assert dispatcher.report_distrust > 0.0


def test_a_changed_weight_counts_as_a_deviation_from_the_level(make_dispatcher):
    dispatcher = make_dispatcher(0.0, 0.0, **LIVE)
    update_weights(dispatcher, 3.0, 3.0)
    dispatcher.at_capacity[0] = dispatcher.forwarded_since_report[0] = True
    update_weights(
        dispatcher, 3.0, 1.5
    )  # a weight is size / (1 + held per slot): the second server now holds one request per slot
    assert dispatcher.count(0) < dispatcher.count(1) < 4.0
    assert not dispatcher.at_capacity[0]
    assert not dispatcher.forwarded_since_report[0]


def test_the_others_slots_follow_this_nodes_requests_at_once(make_dispatcher, make_request):
    # Guards against assuming no load at a start or in a burst until a list shows it (incident ie3063f).
    dispatcher = make_dispatcher(None, None, **LIVE)
    before = dispatcher.threshold(0), dispatcher.count(1)
    for server in (0, 0, 1, 1):
        make_request(dispatcher, attempts=((server, None),))
    assert before == (0.0, 0.0)
    assert dispatcher.threshold(0) >= 8.0
    assert dispatcher.count(1) > 6.0
    for server in (0, 1):
        for state, _ in list(dispatcher.own_attempts[server]):
            state.attempt_ended(0, Outcome.COMPLETED, True, None)
    assert dispatcher.count(1) == 0.0


def test_late_lists_alone_do_not_make_a_kind_look_full(make_dispatcher):
    dispatcher = make_dispatcher(0.0, 0.0, **LIVE)
    update_weights(dispatcher, 3.0, 3.0)
    for _ in range(8):
        update_weights(
            dispatcher, 0.5, 0.5
        )  # by the list each server holds twenty, while no attempt of this node is in flight
    assert dispatcher.count(0) < 11.0


def test_a_server_that_accumulates_this_nodes_requests_counts_as_full_whatever_it_reports(
    make_dispatcher, make_request
):
    # Guards against slow servers that report a tenth of their load, to which all nodes would keep sending.
    dispatcher = make_dispatcher(3.0, 3.0, 3.0, 3.0, **LIVE)
    dispatcher.listed_others_slots[0] = 3.0
    for _ in range(3):
        make_request(dispatcher, attempts=((0, None),))
    dispatcher.merge_report(0, LoadReport(queued=0.0, free_slots=4.0), dispatcher.port.now())
    assert dispatcher.is_over_threshold(0)
    assert not dispatcher.is_over_threshold(1)
    assert dispatcher.count(0) - dispatcher.own_slots[0] > 1.5 * dispatcher.count(1)
    for state, _ in list(dispatcher.own_attempts[0]):
        state.attempt_ended(0, Outcome.COMPLETED, True, LoadReport(queued=0.0, free_slots=4.0))
    assert not dispatcher.is_over_threshold(0)


def test_the_expected_wait_is_until_all_slots_are_free_at_once(make_dispatcher, make_request):
    dispatcher = make_dispatcher(3.0, reports_in_responses=True)
    request = make_request(dispatcher, slots=4.0).request
    wait_ms = make_dispatcher(3.0).expected_wait_ms(0, request)
    assert dispatcher.expected_wait_ms(0, request) > 1.5 * wait_ms


def test_a_sum_that_differs_from_its_servers_is_detected(make_dispatcher):
    dispatcher = make_dispatcher(2.0, 4.0)
    dispatcher.others_slots_sum[0] += 1.0

    with pytest.raises(InvariantError) as error:
        check_dispatcher(dispatcher)

    assert (error.value.invariant, error.value.index) == ("sum of others' slots", 0)
    assert (error.value.expected, error.value.found) == (6.0, 7.0)


def test_an_ended_attempt_that_is_still_tracked_is_detected(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    state = make_request(dispatcher, attempts=((0, None),))
    state.attempts[0].outcome = Outcome.COMPLETED

    with pytest.raises(InvariantError, match="outcome of an attempt in flight"):
        check_dispatcher(dispatcher)
