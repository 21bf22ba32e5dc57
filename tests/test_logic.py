"""The decisions one by one: the ordinary path, the four rules, and each failure found so far."""

from dataclasses import replace

import pytest

from marlseam.interface import Listing, Member, Outcome, Report, State, WorkUnit
from marlseam.logic import Handle

RAN = (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.WITHDRAWN, Outcome.DROPPED)
NEVER = (Outcome.FULL, Outcome.UNREACHABLE, Outcome.VOID)


def ready(node):
    return [e for e in range(len(node.state)) if node.usable(e)]


def waiting(node, further=False):
    return sum(len(line) for key, line in node.lines.items() if key[0] is further)


def test_open_work_gets_no_more_attempts_than_were_allowed_then_or_are_now(make, unit):
    node = make(1.0, 1.0, 1.0, max_allocs=2)
    wu = unit(node, allocs=((0, Outcome.ERROR), (1, Outcome.ERROR)))
    node.configure(replace(node.set, max_allocs=4))
    assert not wu.may_send()
    later = unit(node, allocs=((0, Outcome.ERROR), (1, Outcome.ERROR)))
    assert later.may_send()
    node.configure(replace(node.set, max_allocs=2))
    assert not later.may_send()


def test_a_share_of_the_node_is_a_share_of_a_cold_executors_budget(make):
    node = make(0.0, nodes=2)
    node.born[0], node.tokens[0], node.token_ms[0] = node.port.clock, 0.0, node.port.clock
    node.port.clock += 100.0
    node.warm(0)
    whole = node.tokens[0]
    node.configure(replace(node.set, share=0.5))
    node.tokens[0], node.token_ms[0] = 0.0, node.port.clock - 100.0
    node.warm(0)
    assert 0.0 < node.tokens[0] == pytest.approx(whole / 2)


# The ordinary path.


def test_home_takes_work_at_threshold_plus_one(make, unit):
    node = make(2.0, 1.0)  # mean 1.5, threshold 2
    wu = unit(node)
    wu.home = 0
    wu.at_home(wu.at(wu.home))
    assert node.port.did("send") == [("send", "w0", 0)]


def test_home_over_threshold_plus_one_probes_two_others(make, unit):
    node = make(3.0, 0.0, 0.0, 0.0)
    wu = unit(node)
    wu.home = 0
    wu.at_home(wu.at(wu.home))
    assert len(node.port.did("probe")) == 2 and ("probe", 0) not in node.port.acts


def test_probed_one_that_holds_a_passed_job_is_passed_by(make, unit):
    node = make(3.0, 0.0, 0.0)
    wu = unit(node)
    wu.home, wu.asked, wu.round_ms = 0, [1, 2], node.port.now()
    node.passed[1] = True
    wu.choose()
    assert node.port.did("send") == [("send", "w0", 2)]


def test_home_keeps_work_when_nobody_qualifies(make, unit):
    node = make(3.0, 3.0, 3.0)
    wu = unit(node)
    wu.home, wu.asked, wu.round_ms = 0, [1, 2], node.port.now() + 1.0
    wu.choose()
    assert node.port.did("send") == [("send", "w0", 0)]


def test_stale_home_is_asked_first(make, unit):
    node = make(0.0)
    node.port.clock += 2.0 * node.fresh_ms
    unit(node).place()
    assert node.port.did("probe") == [("probe", 0)] and not node.port.did("send")


def test_probe_that_never_answers_delays_no_work(make, unit):
    node = make(9.0, 0.0, 0.0)
    wu = unit(node)
    wu.home = 0
    node.port.clock += 1.0
    wu.ask([1, 2], wu.choose)
    node.others[0] = 0.0
    node.port.timers[-1][1]()
    assert node.port.did("send") == [("send", "w0", 0)]


def test_threshold_is_the_mean_count_rounded_up(make):
    assert make(1.0, 1.0, 2.0).threshold(0) == 2


def test_executor_never_heard_from_takes_the_others_mean(make):
    node = make(2.0, 4.0, None)
    assert node.count(2) == 3.0


def test_report_of_free_slots_and_queue_makes_a_count(make, unit):
    node = make(0.0)
    unit(node, allocs=((0, None),)).allocs[0].started_ms = 0.0
    node.take_report(0, Report(queued=2.0, free_slots=1.0), node.port.now())
    assert node.others[0] == 4.0 and node.count(0) == 5.0


def test_wide_work_counts_by_the_slots_that_are_not_free(make):
    # Seen at quito-render: a node that read work units held as slots sent to executors without a free one.
    node = make(0.0)
    node.take_report(0, Report(held=2.0, free_slots=0.0), node.port.now())
    assert node.count(0) == 4.0
    node.mean_slots = 1.5
    node.take_report(0, Report(held=6.0, free_slots=0.0), node.port.now())
    assert node.count(0) == 9.0


@pytest.mark.parametrize(("counts", "home"), [((4.0, 4.0, 0.0, 4.0), 2), ((4.0, 4.0, 4.0, 4.0), -1)])
def test_room_elsewhere_goes_before_a_wait_where_the_thing_is_kept(make, unit, counts, home):
    node = make(*counts, fetch_price=0.03)
    wu = unit(node)
    wu.work = replace(wu.work, key="k")
    node.ring = {-1: [(0, 1), (1 << 32, 1)]}
    node.others[1] = 90.0
    wu.taken += 9999.0  # so there is time to wait
    assert wu.patient() and wu.first()[1] == home


def test_full_marks_an_executor_until_its_next_report(make, unit):
    node = make(0.0)
    wu = unit(node, allocs=((0, None),))
    wu.settled(0, Outcome.FULL, False, None)
    assert node.over(0, wu.work)
    node.take_report(0, Report(held=0.0), node.port.now())
    assert not node.over(0, wu.work)


def test_same_seed_draws_the_same(make):
    assert [make(0.0).chance() for _ in range(3)] == [make(0.0).chance() for _ in range(3)]


# Rule 1: one final answer, in time.


def test_guard_answers_before_the_hard_limit(make):
    node = make(0.0)
    node.take(WorkUnit("w", 2, node.port.clock + 5000.0))
    at, guard = max(node.port.timers, key=lambda timer: timer[0])
    assert at < node.port.clock + 5000.0
    guard()
    guard()
    assert node.port.did("abort") == [("abort", "w")]


def test_nothing_is_sent_after_the_answer(make, unit):
    node = make(0.0)
    wu = unit(node)
    wu.answer()
    wu.place()
    assert not node.port.did("send")


def test_work_without_any_executor_waits_then_is_deferred(make):
    node = make()
    wu = node.take(WorkUnit("w", 0, node.port.clock + 5000.0))
    assert not wu.done
    node.port.clock += 2000.0
    node.pump()
    assert node.port.did("defer") == [("defer", "w")]


# Rule 2: no effect twice.


@pytest.mark.parametrize("outcome", RAN)
def test_exclusive_that_may_have_run_is_aborted(make, unit, outcome):
    node = make(0.0, 0.0)
    unit(node, 2, ((0, None),)).settled(0, outcome, False, None)
    assert node.port.did("abort") and not node.port.did("defer")


@pytest.mark.parametrize("outcome", NEVER)
def test_exclusive_that_never_ran_may_go_again(make, unit, outcome):
    node = make(0.0, 0.0)
    wu = unit(node, 2, ((0, outcome),))
    assert wu.may_send() and wu.may_defer() and wu.fits(1)


def test_receipted_goes_again_only_to_its_cell(make, unit):
    node = make(0.0, 0.0, 0.0, cells=(0, 0, 1))
    wu = unit(node, 1, ((0, Outcome.ERROR),))
    assert wu.fits(1) and not wu.fits(2) and not wu.may_defer()


def test_receipted_is_not_sent_past_the_memory(make, unit):
    node = make(0.0, 0.0)
    wu = unit(node, 1, ((0, Outcome.ERROR),))
    node.port.clock += 3000.0
    assert not wu.may_send()


def test_no_second_copy_where_the_settings_forbid_it(make, unit):
    assert not unit(make(0.0, 0.0), 0, ((0, None),)).may_send()
    assert unit(make(0.0, 0.0, second_copies=True), 0, ((0, None),)).may_send()


def test_allocations_are_limited(make, unit):
    assert not unit(make(0.0), 0, ((0, Outcome.ERROR),) * 4).may_send()


# Rule 3 and the roster.


@pytest.mark.parametrize("state", [State.DRAINING, State.GONE])
def test_draining_or_gone_executor_gets_nothing(make, state):
    node = make(0.0, 0.0)
    node.roster(Listing.DELTA, [Member(0, state, 0, 0, 0, None)])
    assert ready(node) == [1]


def test_absent_from_a_full_list_means_gone(make):
    node = make(0.0, 0.0)
    node.roster(Listing.FULL, [Member(1, State.READY, 0, 0, 0, None)])
    assert node.state[0] is State.GONE


@pytest.mark.parametrize("left_out", [False, True])
@pytest.mark.parametrize(("before", "used"), [("", True), ("drained", False), ("rests", False)])
def test_where_draining_alone_binds_the_list_is_no_proof(make, left_out, before, used):
    node = make(0.0, 0.0, drain_binds_alone=True)
    rows = [Member(0, State.GONE, 0, 0, 0, None), Member(1, State.READY, 0, 0, 0, None)]
    if before == "drained":
        node.roster(Listing.DELTA, [Member(0, State.DRAINING, 0, 0, 0, None)])
    elif before == "rests":
        node.suspend(0, "test", True)
    for _ in range(2):
        node.roster(Listing.FULL if left_out else Listing.DELTA, rows[1:] if left_out else rows)
    node.port.clock += node.rest_ms
    assert (0 in ready(node)) is used
    if used:  # what we see and what the list says together are believed, until it is listed again
        node.suspend(0, "test", True)
        node.port.clock = node.out_until[0]
        assert ready(node) == [1] and node.state[0] is State.GONE
        node.roster(Listing.DELTA, [Member(0, State.READY, 0, 0, 0, None)])
        assert 0 in ready(node)


def test_failed_subscription_is_tried_again_later(make):
    node = make(0.0)
    node.roster(Listing.FAILED, [])
    stale, _ = node.port.timers[-1]
    node.roster(Listing.FAILED, [])
    (due, call) = node.port.timers[-1]
    assert node.port.clock < stale and node.port.clock < due == node.next_ask < node.port.clock + 10000.0
    for _, older in node.port.timers[:-1]:
        older()
    assert not node.port.did("subscribe")  # one call, however many failures were told
    call()
    assert node.port.did("subscribe") == [("subscribe",)]


def test_new_start_time_voids_old_counts(make):
    node = make(3.0, 1.0)
    node.roster(Listing.DELTA, [Member(0, State.READY, 0, 0, 0, 900.0)])
    assert node.others[0] is None


# Rule 4.


def test_cold_executor_gets_only_this_nodes_part(make, unit):
    node = make(0.0, 0.0)
    node.roster(Listing.DELTA, [Member(0, State.READY, 0, 0, 0, 900.0)])
    assert 0 not in ready(node)
    node.port.clock += 3000.0
    assert 0 in ready(node)
    node.tokens[0] = 0.5
    unit(node).send(0)
    assert 0 not in ready(node)


def test_nodes_do_not_begin_on_a_cold_executor_at_once(make):
    node = make(0.0)
    for born in (910.0, 920.0, 930.0):
        node.roster(Listing.DELTA, [Member(0, State.READY, 0, 0, 0, born)])
        assert -1.0 < node.tokens[0] <= 0.0


def test_heavy_work_is_kept_from_a_cold_executor(make, unit):
    node = make(0.0)
    node.run[0] = 100.0 * node.mean_area
    wu = unit(node)
    assert wu.fits(0)
    node.roster(Listing.DELTA, [Member(0, State.READY, 0, 0, 0, 900.0)])
    assert not wu.fits(0)


# Health.


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.BROKEN, Outcome.TIMED_OUT])
def test_fast_failing_executor_stops_getting_work(make, unit, outcome):
    node = make(0.0, 0.0)
    for _ in range(2):
        unit(node, allocs=((0, None),)).settled(0, outcome, False, None)
    assert 0 not in ready(node)


def test_work_that_fails_wherever_it_goes_blames_no_executor(make, unit):
    # Incident i89b8ef: two types failed on every executor; all of these rested, and other work waited.
    node = make(*(0.0,) * 6)
    for i in range(120):
        outcome = Outcome.COMPLETED if i % 5 in (1, 3) else Outcome.ERROR
        unit(node, allocs=((i % 6, None),)).settled(0, outcome, False, None)
        node.port.clock += 500.0
    rests = len(node.port.did("log"))
    for i in range(120):
        outcome = Outcome.COMPLETED if i % 5 in (1, 3) else Outcome.ERROR
        unit(node, allocs=((i % 6, None),)).settled(0, outcome, False, None)
        node.port.clock += 20.0
    assert len(node.port.did("log")) - rests <= 2 and len(ready(node)) >= 5
    for _ in range(3):  # a type that does not fail elsewhere still tells of a sick one
        unit(node, 1, ((3, None),)).settled(0, Outcome.ERROR, False, None)
    assert 3 not in ready(node)


def test_sick_executor_is_tried_again_with_one_work_unit(make, unit):
    node = make(0.0)
    node.suspend(0, "test", True)
    node.port.clock = node.out_until[0]
    assert ready(node) == [0]
    unit(node, allocs=((0, None),))
    assert ready(node) == []


def test_silent_executor_is_asked_by_whoever_draws_it(make, unit):
    node = make(0.0)
    node.probed(0, Outcome.TIMED_OUT, 400.0, None)
    assert ready(node) == []
    node.port.clock = node.out_until[0]
    unit(node).place()
    assert node.port.did("probe") and not node.port.did("send")
    node.probed(0, Outcome.COMPLETED, 1.0, Report(held=0.0))
    assert node.out_until[0] is None and node.port.did("send")


def test_overdue_probe_takes_an_executor_out(make):
    node = make(0.0)
    node.ask(0, lambda e: None)
    node.port.clock += 2.0 * node.ask_ms
    assert ready(node) == []


def test_started_work_without_progress_stands(make, unit):
    node = make(0.0)
    wu = unit(node, allocs=((0, None),))
    wu.started(0)
    node.port.clock += 3000.0
    assert node.standing(0)


def test_long_wait_in_a_queue_is_no_sickness(make, unit):
    node = make(6.0)
    unit(node, allocs=((0, None),))
    node.port.clock += 3000.0
    node.heard_ms[0] = node.port.clock
    assert not node.standing(0)


def test_lost_work_is_cancelled_to_go_elsewhere_where_copies_are_forbidden(make, unit):
    node = make(0.0, 0.0)
    unit(node, allocs=((0, None),))
    node.suspend(0, "test", True)
    assert node.port.did("cancel") == [("cancel", "w0", 0)]


# Overload.


def test_work_that_would_be_late_waits_in_line(make, unit):
    node = make(40.0)
    unit(node).place()
    assert not node.port.did("send") and waiting(node) == 1


def test_further_allocations_wait_in_a_line_of_their_own(make, unit):
    node = make(40.0)
    unit(node, 0, ((0, Outcome.FULL),)).hold()
    assert not waiting(node) and waiting(node, True) == 1


def test_wide_work_waits_for_all_its_slots(make, unit):
    node = make(2.0)
    assert node.wait(0, unit(node).work) == 0.0
    assert node.wait(0, unit(node, slots=4.0).work) > 0.0


def test_work_in_line_probes_no_others(make, unit):
    node = make(40.0, 40.0)
    wu = unit(node)
    wu.waited, wu.home = True, 0
    wu.at_home(wu.at(wu.home))
    assert not node.port.did("probe") and not node.port.did("send")


def test_report_that_misses_our_running_work_is_doubted(make, unit):
    node = make(0.0)
    wu = unit(node, allocs=((0, None), (0, None)))
    wu.allocs[0].started_ms = wu.allocs[1].started_ms = node.port.clock - 1000.0
    node.take_report(0, Report(held=0.0), node.port.now())
    assert node.doubt > 0.0 and node.others[0] > -2.0


def test_doubted_reports_are_renewed_less_often(make):
    node = make(0.0)
    node.port.clock += 1.5 * node.fresh_ms
    assert node.stale(0)
    node.doubt = 0.1
    assert not node.stale(0)


def test_own_zone_is_drawn_more_often(make):
    node = make(0.0, cross_price=0.1)
    node.roster(Listing.DELTA, [Member(1, State.READY, 0, 1, 0, None)])
    drawn = [node.draw(lambda e: True) for _ in range(200)]
    assert 0 < drawn.count(1) < 30


# Size.


def test_sums_of_a_kind_follow_every_change(make, unit):
    node = make(2.0, 4.0, None)
    wu = unit(node, allocs=((0, None), (1, None)))
    wu.settled(1, Outcome.COMPLETED, False, None)
    node.roster(Listing.DELTA, [Member(1, State.GONE, 0, 0, 0, None)])
    node.suspend(2, "test", True)
    assert node.threshold(0) == 3 and (node.members[0], node.others_sum[0], node.ours_sum[0]) == (1, 2.0, 1.0)


def test_node_with_nothing_standing_sleeps(make, unit):
    node = make(0.0, asked_roster=False)
    assert not node.port.timers
    unit(node).send(0)
    assert node.awake and len(node.port.timers) == 1


def test_no_free_slot_is_busy_though_none_was_ever_seen_free(make):
    node = make(None)
    node.most_free[0] = 0.0
    node.take_report(0, Report(free_slots=0.0), node.port.now())
    assert node.count(0) == 1.0


def test_wide_work_may_go_where_the_slots_are_not_known_yet(make, unit):
    node = make(None)
    node.most_free[0] = 1.0
    node.port.clock += 2.0 * node.fresh_ms
    wide = unit(node, slots=4.0)
    assert wide.fits(0) and wide.in_time(0)


def test_what_has_waited_is_drawn_evenly(make, unit):
    node = make(0.0, cross_price=0.1)
    node.roster(Listing.DELTA, [Member(1, State.READY, 0, 1, 0, None)])
    wu = unit(node)
    wu.waited = True
    drawn = [node.draw(lambda e: True, wu) for _ in range(200)]
    assert 70 < drawn.count(1) < 130


def test_first_runs_seen_soon_outweigh_the_guess(make, unit):
    node = make(0.0)
    guess = node.mean_area
    for _ in range(20):
        node.learn(unit(node).work, 0, 3.0 * guess)
    assert node.mean_area > 2.0 * guess


# Lines on nodes that must ask, and queues that no report shows.


def test_one_in_line_looks_at_a_time(make, unit):
    node = make(40.0, 40.0, 40.0)
    for _ in range(3):
        unit(node).hold()
    node.heard_ms[:] = [-1e18] * 3
    node.pump()
    assert len(node.port.did("probe")) == 1


def test_looks_in_vain_are_bounded_however_many_wait(make, unit):
    node = make(*[40.0] * 5)
    for _ in range(200):
        unit(node).hold()
    looks = []
    node.draw = lambda *_: looks.append(1) or -1
    node.pump()
    assert len(looks) < 10 and waiting(node) == 200


def test_a_look_in_vain_by_work_for_one_kind_holds_up_no_other_work(make, unit):
    node = make(0.0)
    bound = unit(node)
    bound.type = replace(bound.type, kind=1, promised_ms=100.0)
    bound.hold()
    unit(node).hold()
    node.pump()
    assert len(node.port.did("send")) == 1 and waiting(node) == 1


def test_after_a_look_that_found_room_the_next_one_looks(make, unit):
    node = make(40.0, asked_roster=False)
    for _ in range(2):
        unit(node).hold()
    node.heard_ms[:] = [-1e18] * 3
    node.pump()
    node.probed(0, Outcome.COMPLETED, 1.0, Report(held=0.0))
    assert len(node.port.did("send")) == 2


def test_work_that_waits_behind_a_reported_free_slot_casts_doubt_on_reports(make, unit):
    node = make(0.0)
    wu = unit(node)
    wu.send(0)
    node.port.clock += 5.0 * node.queue_ms
    wu.started(0)
    assert node.doubt > 0.0


def test_home_out_of_use_lets_others_be_probed(make, unit):
    node = make(0.0, 0.0, 0.0)
    wu = unit(node)
    wu.home = 0
    node.suspend(0, "test", True)
    wu.at_home(wu.at(wu.home))
    assert len(node.port.did("probe")) == 2


def test_fewer_are_probed_where_probes_seldom_find_room(make, unit):
    node = make(9.0, 9.0, 9.0)
    for _ in range(60):
        node.found(False)
    wu = unit(node)
    wu.home = 0
    wu.at_home(wu.at(wu.home))
    assert not node.port.did("probe") and waiting(node) == 1


@pytest.mark.parametrize("type", range(3))
def test_what_no_executor_can_use_is_aborted_at_once_and_blames_none(make, unit, type):
    node = make(0.0, 0.0)
    wu = unit(node, type, ((0, None),))
    wu.settled(0, Outcome.UNFIT, False, None)
    assert node.port.acts == [("abort", wu.work.ref)]
    assert node.evidence[0] == 0.0 and node.sign_ms[0] == node.port.now()


def test_a_short_time_left_is_tried_where_a_short_run_still_fits(make):
    node = make(0.0)
    node.run[0] = 400.0
    node.take(WorkUnit("w", 0, node.port.now() + 150.0))
    assert node.port.did("send") and not node.port.did("defer")


def test_a_kept_connection_that_ended_says_nothing_of_its_executor(make, unit):
    node = make(0.0)
    wu = unit(node, allocs=((0, None),))
    wu.settled(0, Outcome.DROPPED, False, None)
    assert node.evidence[0] == 0.0


def test_broken_connections_call_no_running_work_back(make, unit):
    node = make(0.0, 0.0)
    unit(node, allocs=((0, None),))
    node.testify(0, 99.0)
    node.probed(0, Outcome.BROKEN, 1.0, None)
    assert 0 not in ready(node) and not node.port.did("cancel")
    node.probed(0, Outcome.TIMED_OUT, 1.0, None)
    assert node.port.did("cancel") == [("cancel", "w0", 0)]


def test_an_old_silent_allocation_bars_no_trial(make, unit):
    node = make(0.0)
    unit(node, allocs=((0, None),))
    node.port.clock += 3.0 * node.fresh_ms
    node.heard_ms[0], node.room[0] = node.port.clock, 4.0
    assert node.standing(0)
    node.suspend(0, "test", True)
    node.port.clock = node.out_until[0] + 3.0 * node.fresh_ms
    assert ready(node) == [0] and not node.standing(0)
    unit(node, 1, ((0, None),))
    assert ready(node) == []


# Reports with answers, weights that move, keys, kinds that others need, nodes that talk.

LIVE = {"live_weights": True, "answers_report": True, "nodes": 5}


def listed(node, *weights):
    rows = [Member(e, State.READY, 0, 0, 0, None, weight, 100 + e) for e, weight in enumerate(weights)]
    node.roster(Listing.DELTA, rows)


def test_a_weight_that_moves_counts_as_a_departure_from_the_level(make):
    node = make(0.0, 0.0, **LIVE)
    listed(node, 3.0, 3.0)
    node.full[0] = node.passed[0] = True
    listed(node, 3.0, 1.5)  # size over one plus held a core: the second holds one a slot
    assert node.count(0) < node.count(1) < 4.0 and not (node.full[0] or node.passed[0])


def test_what_others_have_follows_our_own_work_at_once(make, unit):
    # Incident ie3063f: at a start and in a burst 21 nodes knew of no load before lists told it.
    node = make(None, None, **LIVE)
    before = node.threshold(0), node.count(1)
    for e in (0, 0, 1, 1):
        unit(node, allocs=((e, None),))
    assert before == (0.0, 0.0)
    assert node.threshold(0) >= 8.0 and node.count(1) > 6.0  # four others who do as we do
    for e in (0, 1):
        for wu, _ in list(node.own[e]):
            wu.settled(0, Outcome.COMPLETED, True, None)
    assert node.count(1) == 0.0


def test_a_report_of_before_shows_no_work_that_stands(make, unit):
    # Incident ie3063f: executors rested 238 times, as reports of a second before had them free.
    node = make(0.0, **LIVE)
    unit(node, allocs=((0, None),))
    node.period_ms, node.room[0] = 1000.0, 4.0
    node.port.clock += 2.5 * node.fresh_ms
    node.heard_ms[0] = node.port.clock - 1.0
    assert not node.standing(0)
    node.port.clock += 1000.0
    node.heard_ms[0] = node.port.clock - 1.0
    assert node.standing(0)


def test_late_lists_alone_do_not_make_a_kind_look_full(make):
    node = make(0.0, 0.0, **LIVE)
    listed(node, 3.0, 3.0)
    for _ in range(8):
        listed(node, 0.5, 0.5)  # twenty held at each, says the list; nothing of ours is out
    assert node.count(0) < 11.0


def test_an_executor_that_keeps_our_work_counts_as_full_whatever_it_reports(make, unit):
    # Seen at ledger-semarang: slow executors of one hall told a tenth of their load, and all nodes sent on.
    node = make(3.0, 3.0, 3.0, 3.0, **LIVE)
    node.listed[0] = 3.0
    for _ in range(3):
        unit(node, allocs=((0, None),))
    node.take_report(0, Report(queued=0.0, free_slots=4.0), node.port.now())
    assert node.over(0, unit(node).work) and not node.over(1, unit(node).work)
    assert node.count(0) - node.ours[0] > 1.5 * node.count(1)
    for wu, _ in list(node.own[0]):
        wu.settled(0, Outcome.COMPLETED, True, Report(queued=0.0, free_slots=4.0))
    assert not node.over(0, unit(node).work)


def test_home_is_first_sought_where_there_is_room(make, unit):
    node = make(5.0, 5.0, 0.0, 5.0, **LIVE)
    assert {unit(node).first()[1] for _ in range(20)} == {2}


WORD = (100).to_bytes(3, "big")  # of the first executor


def test_nodes_tell_what_they_have(make, unit):
    node = make(0.0, 0.0, may_tell=True, asked_roster=False)
    listed(node, None, None)
    node.port.tell = lambda message: node.port.acts.append(("tell", message))
    unit(node).send(1)
    node.tell()
    assert node.port.did("tell") == [("tell", (101).to_bytes(3, "big") + b"\x01")]


@pytest.mark.parametrize(
    ("messages", "count"),
    [
        ([WORD + b"\x03", WORD + b"\x02"], 2.0),  # the last word holds
        ([WORD + b"\x03", WORD], 3.0),  # cut short
        ([b"\xff\xff\xff\x05\x01"], 0.0),  # of an executor that is not listed
    ],
)
def test_what_others_told_is_reckoned_with_until_they_fall_silent(make, messages, count):
    node = make(0.0, may_tell=True)
    listed(node, None)
    for message in messages:
        node.told(4, node.port.now(), message)
    assert node.count(0) == count
    node.port.clock += 2.0 * node.longest_ms
    listed(node, None)
    assert node.count(0) == 0.0 and not node.peers


def test_words_of_a_forgotten_executor_count_for_nobody(make):
    node = make(0.0, may_tell=True)
    listed(node, None)
    node.clear(0)
    node.told(4, 0.0, WORD + b"\x03")
    assert node.others[0] is None


def test_home_is_where_there_is_room_once_nodes_tell(make, unit):
    node = make(4.0, 4.0, 0.0, may_tell=True)
    node.peers[4] = {}
    assert {unit(node).first()[1] for _ in range(20)} == {2}


@pytest.mark.parametrize(("price", "least", "most"), [(0.03, 1, 2), (0.0, 11, 20)])
def test_where_fetching_has_a_price_a_key_draws_few_and_the_same_at_every_node(make, price, least, most):
    def homes(seed):
        node = make(*[0.0] * 20, fetch_price=price)
        listed(node, *[None] * 20)
        node.seed = seed
        wu = Handle(node, WorkUnit("w", 0, 9e9, key="calendar-7"))
        return {node.draw(lambda e: True, wu) for _ in range(60)}

    assert least <= len(homes(1)) <= most and (not price or homes(1) == homes(2))


def test_work_that_may_go_anywhere_leaves_a_kind_to_work_that_may_not(make, unit):
    node = make(0.0, kinds=2)
    rows = [Member(e, State.READY, e % 2, 0, 0, None) for e in range(4)]
    bound = replace(node.types[1], kind=1)
    node.configure(replace(node.set, types=(node.types[0], bound, node.types[2])))
    node.roster(Listing.FULL, rows)
    node.most_free[:2] = [4.0, 4.0]
    for _ in range(100):
        node.note(WorkUnit("w", 0, 9e9))
        node.note(WorkUnit("w", 1, 9e9))
    drawn = [node.kind[node.draw(lambda e: True, unit(node))] for _ in range(60)]
    assert drawn.count(1) < 10


def test_credit_goes_before_slack_where_it_is_earned_by_size(make, unit):
    node = make(40.0, by_size=True)
    rich = replace(node.types[2], credit=5.0)
    node.configure(replace(node.set, types=(*node.types[:2], rich)))
    poor, better = unit(node, 0), unit(node, 2)
    poor.hold()
    better.hold()
    node.hear(0, 3.0)
    node.pump()
    assert node.port.did("send")[0] == ("send", "w2", 0)


def test_wide_work_waits_until_its_slots_are_free_together(make, unit):
    node = make(3.0, answers_report=True)
    assert node.wait(0, unit(node, slots=4.0).work) > 1.5 * make(3.0).wait(0, unit(node, slots=4.0).work)


def test_one_called_off_beside_another_that_is_out_brings_no_third(make, unit):
    node = make(0.0, 0.0, 0.0, second_copies=True)
    wu = unit(node, allocs=((0, None), (1, None)))
    wu.settled(0, Outcome.VOID, False, None)
    assert not node.port.did("send") and wu.out() == 1
    wu.settled(1, Outcome.VOID, False, None)
    assert len(node.port.did("send")) == 1
