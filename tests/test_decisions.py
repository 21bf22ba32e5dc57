"""The decisions one by one: the ordinary path, the four rules, and each failure found so far."""

from dataclasses import replace

import pytest

from marlseam.decisions.request_state import RequestState
from marlseam.decisions.types import Endpoint, EndpointState, ListUpdateKind, LoadReport, Outcome, Request

RAN = (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED, Outcome.STALE_CONNECTION)
NEVER = (Outcome.AT_CAPACITY, Outcome.UNREACHABLE, Outcome.CANCELLED_UNSENT)


def ready(node):
    return [e for e in range(len(node.endpoint_state)) if node.is_usable(e)]


def waiting(node, further=False):
    return sum(len(line) for key, line in node.pending_queues.items() if key[0] is further)


def test_open_work_gets_no_more_attempts_than_were_allowed_then_or_are_now(make, unit):
    node = make(1.0, 1.0, 1.0, max_attempts=2)
    state = unit(node, attempts=((0, Outcome.ERROR), (1, Outcome.ERROR)))
    node.configure(replace(node.settings, max_attempts=4))
    assert not state.may_attempt()
    later = unit(node, attempts=((0, Outcome.ERROR), (1, Outcome.ERROR)))
    assert later.may_attempt()
    node.configure(replace(node.settings, max_attempts=2))
    assert not later.may_attempt()


def test_a_share_of_the_node_is_a_share_of_a_cold_servers_budget(make):
    node = make(0.0, node_count=2)
    node.process_started_ms[0], node.slow_start_tokens[0], node.slow_start_refilled_ms[0] = (
        node.port.clock,
        0.0,
        node.port.clock,
    )
    node.port.clock += 100.0
    node.has_budget(0)
    whole = node.slow_start_tokens[0]
    node.configure(replace(node.settings, process_share=0.5))
    node.slow_start_tokens[0], node.slow_start_refilled_ms[0] = 0.0, node.port.clock - 100.0
    node.has_budget(0)
    assert 0.0 < node.slow_start_tokens[0] == pytest.approx(whole / 2)


# The ordinary path.


def test_home_takes_work_at_threshold_plus_one(make, unit):
    node = make(2.0, 1.0)  # mean 1.5, threshold 2
    state = unit(node)
    state.home_server = 0
    state.place_at_home(state.decide_at_home(state.home_server))
    assert node.port.did("send") == [("send", "w0", 0)]


def test_home_over_threshold_plus_one_probes_two_others(make, unit):
    node = make(3.0, 0.0, 0.0, 0.0)
    state = unit(node)
    state.home_server = 0
    state.place_at_home(state.decide_at_home(state.home_server))
    assert len(node.port.did("probe")) == 2 and ("probe", 0) not in node.port.acts


def test_probed_one_that_holds_a_passed_job_is_passed_by(make, unit):
    node = make(3.0, 0.0, 0.0)
    state = unit(node)
    state.home_server, state.probed_servers, state.probe_round_ms = 0, [1, 2], node.port.now()
    node.forwarded_since_report[1] = True
    state.probes_ended()
    assert node.port.did("send") == [("send", "w0", 2)]


def test_home_keeps_work_when_nobody_qualifies(make, unit):
    node = make(3.0, 3.0, 3.0)
    state = unit(node)
    state.home_server, state.probed_servers, state.probe_round_ms = 0, [1, 2], node.port.now() + 1.0
    state.probes_ended()
    assert node.port.did("send") == [("send", "w0", 0)]


def test_stale_home_is_asked_first(make, unit):
    node = make(0.0)
    node.port.clock += 2.0 * node.report_max_age_ms
    unit(node).place()
    assert node.port.did("probe") == [("probe", 0)] and not node.port.did("send")


def test_probe_that_never_answers_delays_no_work(make, unit):
    node = make(9.0, 0.0, 0.0)
    state = unit(node)
    state.home_server = 0
    node.port.clock += 1.0
    state.probe([1, 2], state.probes_ended)
    node.others_slots[0] = 0.0
    node.port.timers[-1][1]()
    assert node.port.did("send") == [("send", "w0", 0)]


def test_threshold_is_the_mean_count_rounded_up(make):
    assert make(1.0, 1.0, 2.0).threshold(0) == 2


def test_server_never_heard_from_takes_the_others_mean(make):
    node = make(2.0, 4.0, None)
    assert node.count(2) == 3.0


def test_report_of_free_slots_and_queue_makes_a_count(make, unit):
    node = make(0.0)
    unit(node, attempts=((0, None),)).attempts[0].started_ms = 0.0
    node.merge_report(0, LoadReport(queued=2.0, free_slots=1.0), node.port.now())
    assert node.others_slots[0] == 4.0 and node.count(0) == 5.0


def test_wide_work_counts_by_the_slots_that_are_not_free(make):
    # Seen at quito-render: a node that read requests held as slots sent to servers without a free one.
    node = make(0.0)
    node.merge_report(0, LoadReport(held=2.0, free_slots=0.0), node.port.now())
    assert node.count(0) == 4.0
    node.mean_slots = 1.5
    node.merge_report(0, LoadReport(held=6.0, free_slots=0.0), node.port.now())
    assert node.count(0) == 9.0


@pytest.mark.parametrize(("counts", "home"), [((4.0, 4.0, 0.0, 4.0), 2), ((4.0, 4.0, 4.0, 4.0), -1)])
def test_room_elsewhere_goes_before_a_wait_where_the_thing_is_kept(make, unit, counts, home):
    node = make(*counts, fetch_cost=0.03)
    state = unit(node)
    state.request = replace(state.request, resource_key="k")
    node.hash_ring = {-1: [(0, 1), (1 << 32, 1)]}
    node.others_slots[1] = 90.0
    state.arrived_ms += 9999.0  # so there is time to wait
    assert state.can_wait_for_affinity() and state.choose_initial_placement().server == home


def test_full_marks_a_server_until_its_next_report(make, unit):
    node = make(0.0)
    state = unit(node, attempts=((0, None),))
    state.attempt_ended(0, Outcome.AT_CAPACITY, False, None)
    assert node.is_over_threshold(0)
    node.merge_report(0, LoadReport(held=0.0), node.port.now())
    assert not node.is_over_threshold(0)


def test_same_seed_draws_the_same(make):
    assert [make(0.0).chance() for _ in range(3)] == [make(0.0).chance() for _ in range(3)]


# Rule 1: one final answer, in time.


def test_guard_answers_before_the_hard_limit(make):
    node = make(0.0)
    node.accept(Request("w", 2, node.port.clock + 5000.0))
    at, guard = max(node.port.timers, key=lambda timer: timer[0])
    assert at < node.port.clock + 5000.0
    guard()
    guard()
    assert node.port.did("abort") == [("abort", "w")]


def test_nothing_is_sent_after_the_answer(make, unit):
    node = make(0.0)
    state = unit(node)
    state.answer()
    state.place()
    assert not node.port.did("send")


def test_work_without_any_server_waits_then_is_rejected(make):
    node = make()
    state = node.accept(Request("w", 0, node.port.clock + 5000.0))
    assert not state.is_answered
    node.port.clock += 2000.0
    node.dispatch_queue()
    assert node.port.did("defer") == [("defer", "w")]


# Rule 2: no effect twice.


@pytest.mark.parametrize("outcome", RAN)
def test_unsafe_that_may_have_run_is_failed(make, unit, outcome):
    node = make(0.0, 0.0)
    unit(node, 2, ((0, None),)).attempt_ended(0, outcome, False, None)
    assert node.port.did("abort") and not node.port.did("defer")


@pytest.mark.parametrize("outcome", NEVER)
def test_unsafe_that_never_ran_may_go_again(make, unit, outcome):
    node = make(0.0, 0.0)
    state = unit(node, 2, ((0, outcome),))
    assert state.may_attempt() and state.may_reject_safely() and state.is_eligible(1)


def test_keyed_goes_again_only_to_its_cell(make, unit):
    node = make(0.0, 0.0, 0.0, cells=(0, 0, 1))
    state = unit(node, 1, ((0, Outcome.ERROR),))
    assert state.is_eligible(1) and not state.is_eligible(2) and not state.may_reject_safely()


def test_keyed_is_not_sent_past_the_memory(make, unit):
    node = make(0.0, 0.0)
    state = unit(node, 1, ((0, Outcome.ERROR),))
    node.port.clock += 3000.0
    assert not state.may_attempt()


def test_no_second_copy_where_the_settings_forbid_it(make, unit):
    assert not unit(make(0.0, 0.0), 0, ((0, None),)).may_attempt()
    assert unit(make(0.0, 0.0, may_hedge=True), 0, ((0, None),)).may_attempt()


def test_attempts_are_limited(make, unit):
    assert not unit(make(0.0), 0, ((0, Outcome.ERROR),) * 4).may_attempt()


# Rule 3 and discovery.


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_draining_or_gone_server_gets_nothing(make, state):
    node = make(0.0, 0.0)
    node.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, state, 0, 0, 0, None)])
    assert ready(node) == [1]


def test_absent_from_a_full_list_means_gone(make):
    node = make(0.0, 0.0)
    node.update_endpoints(ListUpdateKind.FULL, [Endpoint(1, EndpointState.READY, 0, 0, 0, None)])
    assert node.endpoint_state[0] is EndpointState.GONE


@pytest.mark.parametrize("left_out", [False, True])
@pytest.mark.parametrize(("before", "used"), [("", True), ("drained", False), ("rests", False)])
def test_where_draining_alone_binds_the_list_is_no_proof(make, left_out, before, used):
    node = make(0.0, 0.0, only_draining_excludes=True)
    rows = [Endpoint(0, EndpointState.GONE, 0, 0, 0, None), Endpoint(1, EndpointState.READY, 0, 0, 0, None)]
    if before == "drained":
        node.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, EndpointState.DRAINING, 0, 0, 0, None)])
    elif before == "rests":
        node.eject(0, "test")
        node.retry_elsewhere(0)
    for _ in range(2):
        node.update_endpoints(
            ListUpdateKind.FULL if left_out else ListUpdateKind.DELTA, rows[1:] if left_out else rows
        )
    node.port.clock += node.ejection_base_ms
    assert (0 in ready(node)) is used
    if used:  # what we see and what the list says together are believed, until it is listed again
        node.eject(0, "test")
        node.retry_elsewhere(0)
        node.port.clock = node.ejected_until_ms[0]
        assert ready(node) == [1] and node.endpoint_state[0] is EndpointState.GONE
        node.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, EndpointState.READY, 0, 0, 0, None)])
        assert 0 in ready(node)


def test_failed_subscription_is_tried_again_later(make):
    node = make(0.0)
    node.update_endpoints(ListUpdateKind.FAILED, [])
    stale, _ = node.port.timers[-1]
    node.update_endpoints(ListUpdateKind.FAILED, [])
    (due, call) = node.port.timers[-1]
    assert node.port.clock < stale and node.port.clock < due == node.next_poll_ms < node.port.clock + 10000.0
    for _, older in node.port.timers[:-1]:
        older()
    assert not node.port.did("subscribe")  # one call, however many failures were told
    call()
    assert node.port.did("subscribe") == [("subscribe",)]


def test_new_start_time_voids_old_counts(make):
    node = make(3.0, 1.0)
    node.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, EndpointState.READY, 0, 0, 0, 900.0)])
    assert node.others_slots[0] is None


# Rule 4.


def test_cold_server_gets_only_this_nodes_part(make, unit):
    node = make(0.0, 0.0)
    node.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, EndpointState.READY, 0, 0, 0, 900.0)])
    assert 0 not in ready(node)
    node.port.clock += 3000.0
    assert 0 in ready(node)
    node.slow_start_tokens[0] = 0.5
    unit(node).send(0)
    assert 0 not in ready(node)


def test_nodes_do_not_begin_on_a_cold_server_at_once(make):
    node = make(0.0)
    for born in (910.0, 920.0, 930.0):
        node.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, EndpointState.READY, 0, 0, 0, born)])
        assert -1.0 < node.slow_start_tokens[0] <= 0.0


def test_heavy_work_is_kept_from_a_cold_server(make, unit):
    node = make(0.0)
    node.mean_run_ms[0] = 100.0 * node.mean_slot_ms
    state = unit(node)
    assert state.is_eligible(0)
    node.update_endpoints(ListUpdateKind.DELTA, [Endpoint(0, EndpointState.READY, 0, 0, 0, 900.0)])
    assert not state.is_eligible(0)


# Health.


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.BROKEN, Outcome.TIMED_OUT])
def test_fast_failing_server_stops_getting_work(make, unit, outcome):
    node = make(0.0, 0.0)
    for _ in range(2):
        unit(node, attempts=((0, None),)).attempt_ended(0, outcome, False, None)
    assert 0 not in ready(node)


def test_work_that_fails_wherever_it_goes_blames_no_server(make, unit):
    # Incident i89b8ef: two types failed on every server; all of these rested, and other work waited.
    node = make(*(0.0,) * 6)
    for i in range(120):
        outcome = Outcome.COMPLETED if i % 5 in (1, 3) else Outcome.ERROR
        unit(node, attempts=((i % 6, None),)).attempt_ended(0, outcome, False, None)
        node.port.clock += 500.0
    rests = len(node.port.did("log"))
    for i in range(120):
        outcome = Outcome.COMPLETED if i % 5 in (1, 3) else Outcome.ERROR
        unit(node, attempts=((i % 6, None),)).attempt_ended(0, outcome, False, None)
        node.port.clock += 20.0
    assert len(node.port.did("log")) - rests <= 2 and len(ready(node)) >= 5
    for _ in range(3):  # a type that does not fail elsewhere still tells of a sick one
        unit(node, 1, ((3, None),)).attempt_ended(0, Outcome.ERROR, False, None)
    assert 3 not in ready(node)


def test_sick_server_is_tried_again_with_one_request(make, unit):
    node = make(0.0)
    node.eject(0, "test")
    node.retry_elsewhere(0)
    node.port.clock = node.ejected_until_ms[0]
    assert ready(node) == [0]
    unit(node, attempts=((0, None),))
    assert ready(node) == []


def test_silent_server_is_asked_by_whoever_draws_it(make, unit):
    node = make(0.0)
    node.probe_ended(0, Outcome.TIMED_OUT, 400.0, None)
    assert ready(node) == []
    node.port.clock = node.ejected_until_ms[0]
    unit(node).place()
    assert node.port.did("probe") and not node.port.did("send")
    node.probe_ended(0, Outcome.COMPLETED, 1.0, LoadReport(held=0.0))
    assert node.ejected_until_ms[0] is None and node.port.did("send")


def test_overdue_probe_takes_a_server_out(make):
    node = make(0.0)
    node.probe(0, lambda e: None)
    node.port.clock += 2.0 * node.probe_timeout_ms
    assert ready(node) == []


def test_started_work_without_progress_stands(make, unit):
    node = make(0.0)
    state = unit(node, attempts=((0, None),))
    state.started(0)
    node.port.clock += 3000.0
    assert node.is_stalled(0)


def test_long_wait_in_a_queue_is_no_sickness(make, unit):
    node = make(6.0)
    unit(node, attempts=((0, None),))
    node.port.clock += 3000.0
    node.last_report_ms[0] = node.port.clock
    assert not node.is_stalled(0)


def test_lost_work_is_cancelled_to_go_elsewhere_where_copies_are_forbidden(make, unit):
    node = make(0.0, 0.0)
    unit(node, attempts=((0, None),))
    node.eject(0, "test")
    node.retry_elsewhere(0)
    assert node.port.did("cancel") == [("cancel", "w0", 0)]


# Overload.


def test_work_that_would_be_late_waits_in_line(make, unit):
    node = make(40.0)
    unit(node).place()
    assert not node.port.did("send") and waiting(node) == 1


def test_further_attempts_wait_in_a_line_of_their_own(make, unit):
    node = make(40.0)
    unit(node, 0, ((0, Outcome.AT_CAPACITY),)).enqueue()
    assert not waiting(node) and waiting(node, True) == 1


def test_wide_work_waits_for_all_its_slots(make, unit):
    node = make(2.0)
    assert node.expected_wait_ms(0, unit(node).request) == 0.0
    assert node.expected_wait_ms(0, unit(node, slots=4.0).request) > 0.0


def test_work_in_line_probes_no_others(make, unit):
    node = make(40.0, 40.0)
    state = unit(node)
    state.has_waited, state.home_server = True, 0
    state.place_at_home(state.decide_at_home(state.home_server))
    assert not node.port.did("probe") and not node.port.did("send")


def test_report_that_misses_our_running_work_is_doubted(make, unit):
    node = make(0.0)
    state = unit(node, attempts=((0, None), (0, None)))
    state.attempts[0].started_ms = state.attempts[1].started_ms = node.port.clock - 1000.0
    node.merge_report(0, LoadReport(held=0.0), node.port.now())
    assert node.report_distrust > 0.0 and node.others_slots[0] > -2.0


def test_doubted_reports_are_renewed_less_often(make):
    node = make(0.0)
    node.port.clock += 1.5 * node.report_max_age_ms
    assert node.is_report_stale(0)
    node.report_distrust = 0.1
    assert not node.is_report_stale(0)


def test_own_zone_is_drawn_more_often(make):
    node = make(0.0, cross_zone_cost=0.1)
    node.update_endpoints(ListUpdateKind.DELTA, [Endpoint(1, EndpointState.READY, 0, 1, 0, None)])
    drawn = [node.draw_server(lambda e: True) for _ in range(200)]
    assert 0 < drawn.count(1) < 30


# Size.


def test_sums_of_a_kind_follow_every_change(make, unit):
    node = make(2.0, 4.0, None)
    state = unit(node, attempts=((0, None), (1, None)))
    state.attempt_ended(1, Outcome.COMPLETED, False, None)
    node.update_endpoints(ListUpdateKind.DELTA, [Endpoint(1, EndpointState.GONE, 0, 0, 0, None)])
    node.eject(2, "test")
    node.retry_elsewhere(2)
    assert node.threshold(0) == 3 and (
        node.ready_count[0],
        node.others_slots_sum[0],
        node.own_slots_sum[0],
    ) == (1, 2.0, 1.0)


def test_node_with_nothing_standing_sleeps(make, unit):
    node = make(0.0, subscribes_to_endpoints=False)
    assert not node.port.timers
    unit(node).send(0)
    assert node.is_check_scheduled and len(node.port.timers) == 1


def test_no_free_slot_is_busy_though_none_was_ever_seen_free(make):
    node = make(None)
    node.max_free_slots[0] = 0.0
    node.merge_report(0, LoadReport(free_slots=0.0), node.port.now())
    assert node.count(0) == 1.0


def test_wide_work_may_go_where_the_slots_are_not_known_yet(make, unit):
    node = make(None)
    node.max_free_slots[0] = 1.0
    node.port.clock += 2.0 * node.report_max_age_ms
    wide = unit(node, slots=4.0)
    assert wide.is_eligible(0) and wide.meets_latency_objective(0)


def test_what_has_waited_is_drawn_evenly(make, unit):
    node = make(0.0, cross_zone_cost=0.1)
    node.update_endpoints(ListUpdateKind.DELTA, [Endpoint(1, EndpointState.READY, 0, 1, 0, None)])
    state = unit(node)
    state.has_waited = True
    drawn = [node.draw_server(lambda e: True, state) for _ in range(200)]
    assert 70 < drawn.count(1) < 130


def test_first_runs_seen_soon_outweigh_the_guess(make, unit):
    node = make(0.0)
    guess = node.mean_slot_ms
    for _ in range(20):
        node.learn_run(unit(node).request, 0, 3.0 * guess)
    assert node.mean_slot_ms > 2.0 * guess


# Lines on nodes that must ask, and queues that no report shows.


def test_one_in_line_looks_at_a_time(make, unit):
    node = make(40.0, 40.0, 40.0)
    for _ in range(3):
        unit(node).enqueue()
    node.last_report_ms[:] = [-1e18] * 3
    node.dispatch_queue()
    assert len(node.port.did("probe")) == 1


def test_looks_in_vain_are_bounded_however_many_wait(make, unit):
    node = make(*[40.0] * 5)
    for _ in range(200):
        unit(node).enqueue()
    looks = []
    node.draw_server = lambda *_: looks.append(1) or -1
    node.dispatch_queue()
    assert len(looks) < 10 and waiting(node) == 200


def test_a_look_in_vain_by_work_for_one_kind_holds_up_no_other_work(make, unit):
    node = make(0.0)
    bound = unit(node)
    bound.request_class = replace(bound.request_class, kind=1, latency_objective_ms=100.0)
    bound.enqueue()
    unit(node).enqueue()
    node.dispatch_queue()
    assert len(node.port.did("send")) == 1 and waiting(node) == 1


def test_after_a_look_that_found_room_the_next_one_looks(make, unit):
    node = make(40.0, subscribes_to_endpoints=False)
    for _ in range(2):
        unit(node).enqueue()
    node.last_report_ms[:] = [-1e18] * 3
    node.dispatch_queue()
    node.probe_ended(0, Outcome.COMPLETED, 1.0, LoadReport(held=0.0))
    assert len(node.port.did("send")) == 2


def test_work_that_waits_behind_a_reported_free_slot_casts_doubt_on_reports(make, unit):
    node = make(0.0)
    state = unit(node)
    state.send(0)
    node.port.clock += 5.0 * node.max_queue_wait_ms
    state.started(0)
    assert node.report_distrust > 0.0


def test_home_out_of_use_lets_others_be_probed(make, unit):
    node = make(0.0, 0.0, 0.0)
    state = unit(node)
    state.home_server = 0
    node.eject(0, "test")
    node.retry_elsewhere(0)
    state.place_at_home(state.decide_at_home(state.home_server))
    assert len(node.port.did("probe")) == 2


def test_fewer_are_probed_where_probes_seldom_find_room(make, unit):
    node = make(9.0, 9.0, 9.0)
    for _ in range(60):
        node.learn_probe_success(False)
    state = unit(node)
    state.home_server = 0
    state.place_at_home(state.decide_at_home(state.home_server))
    assert not node.port.did("probe") and waiting(node) == 1


@pytest.mark.parametrize("type", range(3))
def test_what_no_server_can_use_is_failed_at_once_and_blames_none(make, unit, type):
    node = make(0.0, 0.0)
    state = unit(node, type, ((0, None),))
    state.attempt_ended(0, Outcome.INVALID_REQUEST, False, None)
    assert node.port.acts == [("abort", state.request.request_id)]
    assert node.log_likelihood_ratio[0] == 0.0 and node.last_response_ms[0] == node.port.now()


def test_a_short_time_left_is_tried_where_a_short_run_still_fits(make):
    node = make(0.0)
    node.mean_run_ms[0] = 400.0
    node.accept(Request("w", 0, node.port.now() + 150.0))
    assert node.port.did("send") and not node.port.did("defer")


def test_a_kept_connection_that_ended_says_nothing_of_its_server(make, unit):
    node = make(0.0)
    state = unit(node, attempts=((0, None),))
    state.attempt_ended(0, Outcome.STALE_CONNECTION, False, None)
    assert node.log_likelihood_ratio[0] == 0.0


def test_broken_connections_call_no_running_work_back(make, unit):
    node = make(0.0, 0.0)
    unit(node, attempts=((0, None),))
    node.record_outcome(0, 99.0)
    node.probe_ended(0, Outcome.BROKEN, 1.0, None)
    assert 0 not in ready(node) and not node.port.did("cancel")
    node.probe_ended(0, Outcome.TIMED_OUT, 1.0, None)
    assert node.port.did("cancel") == [("cancel", "w0", 0)]


def test_an_old_silent_attempt_bars_no_trial(make, unit):
    node = make(0.0)
    unit(node, attempts=((0, None),))
    node.port.clock += 3.0 * node.report_max_age_ms
    node.last_report_ms[0], node.free_slots[0] = node.port.clock, 4.0
    assert node.is_stalled(0)
    node.eject(0, "test")
    node.retry_elsewhere(0)
    node.port.clock = node.ejected_until_ms[0] + 3.0 * node.report_max_age_ms
    assert ready(node) == [0] and not node.is_stalled(0)
    unit(node, 1, ((0, None),))
    assert ready(node) == []


# Reports with answers, weights that move, keys, kinds that others need, nodes that talk.

LIVE = {"live_weights": True, "reports_in_responses": True, "node_count": 5}


def listed(node, *weights):
    rows = [
        Endpoint(e, EndpointState.READY, 0, 0, 0, None, weight, 100 + e) for e, weight in enumerate(weights)
    ]
    node.update_endpoints(ListUpdateKind.DELTA, rows)


def test_a_weight_that_moves_counts_as_a_departure_from_the_level(make):
    node = make(0.0, 0.0, **LIVE)
    listed(node, 3.0, 3.0)
    node.at_capacity[0] = node.forwarded_since_report[0] = True
    listed(node, 3.0, 1.5)  # size over one plus held a core: the second holds one a slot
    assert node.count(0) < node.count(1) < 4.0 and not (node.at_capacity[0] or node.forwarded_since_report[0])


def test_what_others_have_follows_our_own_work_at_once(make, unit):
    # Incident ie3063f: at a start and in a burst 21 nodes knew of no load before lists told it.
    node = make(None, None, **LIVE)
    before = node.threshold(0), node.count(1)
    for e in (0, 0, 1, 1):
        unit(node, attempts=((e, None),))
    assert before == (0.0, 0.0)
    assert node.threshold(0) >= 8.0 and node.count(1) > 6.0  # four others who do as we do
    for e in (0, 1):
        for state, _ in list(node.own_attempts[e]):
            state.attempt_ended(0, Outcome.COMPLETED, True, None)
    assert node.count(1) == 0.0


def test_a_report_of_before_shows_no_work_that_stands(make, unit):
    # Incident ie3063f: servers rested 238 times, as reports of a second before had them free.
    node = make(0.0, **LIVE)
    unit(node, attempts=((0, None),))
    node.refresh_period_ms, node.free_slots[0] = 1000.0, 4.0
    node.port.clock += 2.5 * node.report_max_age_ms
    node.last_report_ms[0] = node.port.clock - 1.0
    assert not node.is_stalled(0)
    node.port.clock += 1000.0
    node.last_report_ms[0] = node.port.clock - 1.0
    assert node.is_stalled(0)


def test_late_lists_alone_do_not_make_a_kind_look_full(make):
    node = make(0.0, 0.0, **LIVE)
    listed(node, 3.0, 3.0)
    for _ in range(8):
        listed(node, 0.5, 0.5)  # twenty held at each, says the list; nothing of ours is out
    assert node.count(0) < 11.0


def test_a_server_that_keeps_our_work_counts_as_full_whatever_it_reports(make, unit):
    # Seen at ledger-semarang: slow servers of one hall told a tenth of their load, and all nodes sent on.
    node = make(3.0, 3.0, 3.0, 3.0, **LIVE)
    node.listed_others_slots[0] = 3.0
    for _ in range(3):
        unit(node, attempts=((0, None),))
    node.merge_report(0, LoadReport(queued=0.0, free_slots=4.0), node.port.now())
    assert node.is_over_threshold(0) and not node.is_over_threshold(1)
    assert node.count(0) - node.own_slots[0] > 1.5 * node.count(1)
    for state, _ in list(node.own_attempts[0]):
        state.attempt_ended(0, Outcome.COMPLETED, True, LoadReport(queued=0.0, free_slots=4.0))
    assert not node.is_over_threshold(0)


def test_home_is_first_sought_where_there_is_room(make, unit):
    node = make(5.0, 5.0, 0.0, 5.0, **LIVE)
    assert {unit(node).choose_initial_placement().server for _ in range(20)} == {2}


WORD = (100).to_bytes(3, "big")  # of the first server


def test_nodes_tell_what_they_have(make, unit):
    node = make(0.0, 0.0, may_gossip=True, subscribes_to_endpoints=False)
    listed(node, None, None)
    node.port.tell = lambda message: node.port.acts.append(("tell", message))
    unit(node).send(1)
    node.publish_gossip()
    assert node.port.did("tell") == [("tell", (101).to_bytes(3, "big") + b"\x01")]


@pytest.mark.parametrize(
    ("messages", "count"),
    [
        ([WORD + b"\x03", WORD + b"\x02"], 2.0),  # the last word holds
        ([WORD + b"\x03", WORD], 3.0),  # cut short
        ([b"\xff\xff\xff\x05\x01"], 0.0),  # of a server that is not listed
    ],
)
def test_what_others_told_is_reckoned_with_until_they_fall_silent(make, messages, count):
    node = make(0.0, may_gossip=True)
    listed(node, None)
    for message in messages:
        node.merge_gossip(4, node.port.now(), message)
    assert node.count(0) == count
    node.port.clock += 2.0 * node.peer_silence_limit_ms
    listed(node, None)
    assert node.count(0) == 0.0 and not node.peer_slots


def test_words_of_a_forgotten_server_count_for_nobody(make):
    node = make(0.0, may_gossip=True)
    listed(node, None)
    node.reset(0)
    node.merge_gossip(4, 0.0, WORD + b"\x03")
    assert node.others_slots[0] is None


def test_home_is_where_there_is_room_once_nodes_tell(make, unit):
    node = make(4.0, 4.0, 0.0, may_gossip=True)
    node.peer_slots[4] = {}
    assert {unit(node).choose_initial_placement().server for _ in range(20)} == {2}


@pytest.mark.parametrize(("price", "least", "most"), [(0.03, 1, 2), (0.0, 11, 20)])
def test_where_fetching_has_a_price_a_key_draws_few_and_the_same_at_every_node(make, price, least, most):
    def homes(seed):
        node = make(*[0.0] * 20, fetch_cost=price)
        listed(node, *[None] * 20)
        node.seed = seed
        state = RequestState(node, Request("w", 0, 9e9, resource_key="calendar-7"))
        return {node.draw_server(lambda e: True, state) for _ in range(60)}

    assert least <= len(homes(1)) <= most and (not price or homes(1) == homes(2))


def test_work_that_may_go_anywhere_leaves_a_kind_to_work_that_may_not(make, unit):
    node = make(0.0, kind_count=2)
    rows = [Endpoint(e, EndpointState.READY, e % 2, 0, 0, None) for e in range(4)]
    bound = replace(node.request_classes[1], kind=1)
    node.configure(
        replace(node.settings, request_classes=(node.request_classes[0], bound, node.request_classes[2]))
    )
    node.update_endpoints(ListUpdateKind.FULL, rows)
    node.max_free_slots[:2] = [4.0, 4.0]
    for _ in range(100):
        node.count_arrival(Request("w", 0, 9e9))
        node.count_arrival(Request("w", 1, 9e9))
    drawn = [node.kind[node.draw_server(lambda e: True, unit(node))] for _ in range(60)]
    assert drawn.count(1) < 10


def test_credit_goes_before_slack_where_it_is_earned_by_size(make, unit):
    node = make(40.0, weight_by_size=True)
    rich = replace(node.request_classes[2], priority_weight=5.0)
    node.configure(replace(node.settings, request_classes=(*node.request_classes[:2], rich)))
    poor, better = unit(node, 0), unit(node, 2)
    poor.enqueue()
    better.enqueue()
    node.set_others_slots(0, 3.0)
    node.dispatch_queue()
    assert node.port.did("send")[0] == ("send", "w2", 0)


def test_wide_work_waits_until_its_slots_are_free_together(make, unit):
    node = make(3.0, reports_in_responses=True)
    assert node.expected_wait_ms(0, unit(node, slots=4.0).request) > 1.5 * make(3.0).expected_wait_ms(
        0, unit(node, slots=4.0).request
    )


def test_one_called_off_beside_another_that_is_out_brings_no_third(make, unit):
    node = make(0.0, 0.0, 0.0, may_hedge=True)
    state = unit(node, attempts=((0, None), (1, None)))
    state.attempt_ended(0, Outcome.CANCELLED_UNSENT, False, None)
    assert not node.port.did("send") and state.in_flight_count() == 1
    state.attempt_ended(1, Outcome.CANCELLED_UNSENT, False, None)
    assert len(node.port.did("send")) == 1
