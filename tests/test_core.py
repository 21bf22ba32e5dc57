"""The reducer: events in, effects out, and what it holds in between."""

from dataclasses import replace

import pytest

from marlseam import core
from marlseam.core import EndpointEntry, Reducer
from marlseam.decisions.types import EndpointState, ListUpdateKind, LoadReport, Outcome, Request


@pytest.fixture
def begun(deployment):
    """Return a reducer that has begun, with two servers just heard from."""
    made = Reducer()
    made.reduce(0.0, core.NodeStarted(deployment.settings, 7))
    made.reduce(1.0, core.EndpointListUpdate(ListUpdateKind.FULL, [entry("e1"), entry("e2")]))
    for name in ("e1", "e2"):
        made.reduce(
            1.0, core.ProbeEnded(name, Outcome.COMPLETED, 1.0, LoadReport(queued=0.0, free_slots=4.0))
        )
    return made


def entry(name, state=EndpointState.READY):
    return EndpointEntry(name, state, 0, 0, 0, None)


def of(effects, kind):
    return [effect for effect in effects if type(effect) is kind]


def take(begun, request_id="1", class_index=0, deadline_ms=5000.0):
    return begun.reduce(2.0, core.RequestArrived(Request(request_id, class_index, deadline_ms)))


def end(request_id, outcome, result=b""):
    return core.AttemptEnded(request_id, 0, outcome, outcome is Outcome.COMPLETED, None, result)


def test_a_node_that_starts_watches_the_endpoint_list(deployment):
    effects = Reducer().reduce(0.0, core.NodeStarted(deployment.settings, 7))
    assert of(effects, core.WatchEndpoints) == [
        core.WatchEndpoints()
    ]  # its failure is an event, and timed in test_endpoints


def test_an_arrival_is_sent_to_a_listed_server(begun):
    (sent,) = of(take(begun), core.SendAttempt)
    assert (sent.request_id, sent.attempt_index, sent.time_left_ms) == ("1", 0, 4998.0)
    assert sent.server in (
        "e1",
        "e2",
    )


def test_a_result_completes_the_request(begun):
    take(begun)
    assert begun.reduce(9.0, end("1", Outcome.COMPLETED, b"x"))[0] == core.Respond("1", b"x")


def test_a_completed_request_is_forgotten(begun):
    take(begun)
    begun.reduce(9.0, end("1", Outcome.COMPLETED))
    assert not begun.open_requests


def test_a_result_after_the_answer_completes_nothing(begun):
    take(begun)
    begun.reduce(9.0, core.ClientLeft("1"))
    assert not of(begun.reduce(10.0, end("1", Outcome.COMPLETED)), core.Respond)


def test_a_client_that_disconnects_has_its_attempt_cancelled(begun):
    take(begun)
    assert begun.reduce(9.0, core.ClientLeft("1")) == [core.CancelAttempt("1", 0)]


def test_an_unsafe_request_that_may_have_run_is_failed_not_retried(begun):
    take(begun, class_index=1)
    assert begun.reduce(9.0, end("1", Outcome.BROKEN)) == [core.Fail("1")]


def test_an_unsafe_request_that_never_ran_is_retried(begun):
    take(begun, class_index=1)
    (sent,) = begun.reduce(9.0, end("1", Outcome.UNREACHABLE))
    assert (type(sent), sent.attempt_index) == (core.SendAttempt, 1)


@pytest.mark.parametrize(
    "event", [end("9", Outcome.ERROR), core.AttemptStarted("9", 0), core.ClientLeft("9"), core.TimerFired(99)]
)
def test_events_of_unknown_requests_and_timers_change_nothing(begun, event):
    assert begun.reduce(9.0, event) == []


def test_a_timer_fires_once(begun):
    (timer,) = [t for t in of(take(begun), core.SetTimer) if t.delay_ms > 4000.0]
    begun.reduce(4990.0, core.TimerFired(timer.timer_id))
    assert begun.reduce(4991.0, core.TimerFired(timer.timer_id)) == []


def test_a_shutdown_answers_open_requests_by_the_rules(begun):
    take(begun, "1", 0)
    take(begun, "2", 1)
    timer = of(begun.reduce(3.0, core.ShutdownBegun(100.0)), core.SetTimer)[-1]
    effects = begun.reduce(103.0, core.TimerFired(timer.timer_id))
    assert of(effects, core.Reject) == [core.Reject("1", 0.0)] and of(effects, core.Fail) == [
        core.Fail("2", in_flight=(0,))  # of which nothing may be sent
    ]


def test_a_request_during_a_shutdown_is_to_end_before_the_node(begun):
    begun.reduce(2.0, core.ShutdownBegun(3000.0))
    assert [sent.time_left_ms for sent in of(take(begun), core.SendAttempt)] == [3000.0]


def test_a_request_after_the_shutdown_is_answered_at_once(begun):
    begun.reduce(-200.0, core.ShutdownBegun(100.0))
    effects = take(begun)
    assert of(effects, core.Reject)
    assert not of(effects, core.SendAttempt)
    assert not begun.open_requests


def fire_timers_until_answered(begun, effects, request_ids):
    """Let timers fire in the order of their times until these requests have final answers; return those."""
    timers, clock, answers = [], 2.0, []
    while {answer.request_id for answer in answers} != request_ids:
        timers += [(clock + timer.delay_ms, timer.timer_id) for timer in of(effects, core.SetTimer)]
        clock, timer_id = min(timers)
        timers.remove((clock, timer_id))
        effects = begun.reduce(clock, core.TimerFired(timer_id))
        answers += of(effects, core.Reject) + of(effects, core.Fail)
    return answers


def test_requests_that_waited_too_long_are_answered_and_forgotten(begun):
    gone = [entry("e1", EndpointState.GONE), entry("e2", EndpointState.GONE)]
    begun.reduce(1.5, core.EndpointListUpdate(ListUpdateKind.DELTA, gone))
    effects = take(begun, "1", class_index=0) + take(begun, "2", class_index=1)
    answers = fire_timers_until_answered(begun, effects, {"1", "2"})
    assert [type(answer) for answer in answers] == [core.Reject, core.Reject]
    assert not begun.open_requests


def test_a_shutdown_forgets_what_it_answers_while_it_waits(begun):
    gone = [entry("e1", EndpointState.GONE), entry("e2", EndpointState.GONE)]
    begun.reduce(1.5, core.EndpointListUpdate(ListUpdateKind.DELTA, gone))
    take(begun)
    timer = of(begun.reduce(3.0, core.ShutdownBegun(100.0)), core.SetTimer)[-1]
    assert of(begun.reduce(103.0, core.TimerFired(timer.timer_id)), core.Reject)
    assert not begun.open_requests


def test_a_server_long_gone_is_forgotten(begun):
    begun.reduce(10.0, core.EndpointListUpdate(ListUpdateKind.DELTA, [entry("e1", EndpointState.GONE)]))
    begun.reduce(1e6, core.EndpointListUpdate(ListUpdateKind.DELTA, []))
    assert list(begun.servers.by_name) == ["e2"]


def test_a_server_gone_with_an_attempt_in_flight_is_not_forgotten(begun):
    (sent,) = of(take(begun, class_index=1), core.SendAttempt)
    begun.reduce(10.0, core.EndpointListUpdate(ListUpdateKind.FULL, []))
    begun.reduce(1e6, core.EndpointListUpdate(ListUpdateKind.FULL, []))
    assert list(begun.servers.by_name) == [sent.server]


def test_a_forgotten_servers_index_starts_afresh(begun):
    begun.dispatcher.at_capacity[begun.servers.by_name["e1"]] = True
    begun.reduce(10.0, core.EndpointListUpdate(ListUpdateKind.FULL, [entry("e2")]))
    begun.reduce(1e6, core.EndpointListUpdate(ListUpdateKind.FULL, [entry("e2")]))
    begun.reduce(1e6, core.EndpointListUpdate(ListUpdateKind.DELTA, [entry("e3")]))
    assert begun.servers.by_name == {"e2": 1, "e3": 0}
    assert not begun.dispatcher.at_capacity[0]
    assert begun.dispatcher.others_slots[0] is None


def test_equal_events_give_equal_effects(deployment):
    def play():
        made, effects = Reducer(), []
        effects += made.reduce(0.0, core.NodeStarted(deployment.settings, 7))
        effects += made.reduce(
            1.0, core.EndpointListUpdate(ListUpdateKind.FULL, [entry(f"e{i}") for i in range(9)])
        )
        for i in range(20):
            effects += made.reduce(2.0 + i, core.RequestArrived(Request(str(i), 0, 5000.0)))
        return effects

    assert play() == play()


def test_new_settings_keep_what_is_open_and_take_new_request_classes(begun, deployment):
    take(begun)
    begun.dispatcher.mean_run_ms[0], begun.dispatcher.run_samples[0] = (
        77.0,
        begun.dispatcher.run_samples[0] + 1.0,
    )  # one was seen
    one, two = deployment.settings.request_classes
    types = (one, replace(two, latency_objective_ms=30.0), one)
    begun.reduce(
        3.0,
        core.SettingsChanged(
            replace(deployment.settings, request_classes=types, kind_count=3, max_retry_after_ms=9.0)
        ),
    )
    assert begun.dispatcher.mean_run_ms[:2] == [
        77.0,
        60.0,
    ]  # what is learned stays, a guess follows the settings
    assert of(take(begun, "2", class_index=2), core.SendAttempt)
    assert begun.reduce(9.0, end("1", Outcome.COMPLETED, b"x"))[0] == core.Respond("1", b"x")
    assert begun.dispatcher.ready_count == [2, 0, 0, 0]
    assert begun.dispatcher.settings.max_retry_after_ms == 9.0


@pytest.mark.parametrize("alone", [False, True])
def test_a_server_long_off_the_list_leaves_the_sums(begun, deployment, alone):
    # Where draining alone binds it is still in use then; forgotten so, it stayed in the sums for good.
    begun.reduce(2.0, core.SettingsChanged(replace(deployment.settings, only_draining_excludes=alone)))
    for t in (3.0, 4.0 + core.FORGET_AFTER_LIST_MAX_AGES * deployment.settings.list_max_age_ms):
        begun.reduce(t, core.EndpointListUpdate(ListUpdateKind.FULL, [entry("e1")]))
    node = begun.dispatcher
    assert list(begun.servers.by_name) == ["e1"]
    assert not node.in_use_though_removed
    assert (node.ready_count[0], node.reported_count[0]) == (1, 1)
