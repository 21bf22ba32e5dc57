"""The reducer: the effects of events, and the state that the reducer keeps."""

from dataclasses import replace

import pytest

from marlseam import core
from marlseam.core import EndpointEntry, Reducer
from marlseam.decisions.types import EndpointState, ListUpdateKind, LoadReport, Outcome, Request


@pytest.fixture
def reducer(deployment):
    """Return a started reducer with two servers that have just reported four free slots."""
    reducer = Reducer()
    reducer.reduce(0.0, core.NodeStarted(deployment.settings, 7))
    reducer.reduce(1.0, core.EndpointListUpdate(ListUpdateKind.FULL, [make_entry("e1"), make_entry("e2")]))
    for name in ("e1", "e2"):
        report = LoadReport(queued=0.0, free_slots=4.0)
        reducer.reduce(1.0, core.ProbeEnded(name, Outcome.COMPLETED, 1.0, report))
    return reducer


def make_entry(name, state=EndpointState.READY):
    return EndpointEntry(name, state, 0, 0, 0, None)


def of_type(effects, effect_type):
    """Return the effects of one type."""
    return [effect for effect in effects if type(effect) is effect_type]


def take_request(reducer, request_id="1", class_index=0, deadline_at_ms=5000.0):
    """Pass the arrival of a request at 2 ms to the reducer, and return the effects."""
    return reducer.reduce(2.0, core.RequestArrived(Request(request_id, class_index, deadline_at_ms)))


def attempt_ended(request_id, outcome, result=b""):
    """Return the end of a request's first attempt."""
    return core.AttemptEnded(request_id, 0, outcome, outcome is Outcome.COMPLETED, None, result)


def test_a_node_that_starts_watches_the_endpoint_list(deployment):
    effects = Reducer().reduce(0.0, core.NodeStarted(deployment.settings, 7))
    assert of_type(effects, core.WatchEndpoints) == [core.WatchEndpoints()]


def test_an_arrival_is_sent_to_a_listed_server(reducer):
    (sent,) = of_type(take_request(reducer), core.SendAttempt)
    assert (sent.request_id, sent.attempt_index, sent.time_left_ms) == ("1", 0, 4998.0)
    assert sent.server in ("e1", "e2")


def test_the_result_of_a_completed_attempt_is_the_response(reducer):
    take_request(reducer)
    assert reducer.reduce(9.0, attempt_ended("1", Outcome.COMPLETED, b"x"))[0] == core.Respond("1", b"x")


def test_a_completed_request_is_forgotten(reducer):
    take_request(reducer)
    reducer.reduce(9.0, attempt_ended("1", Outcome.COMPLETED))
    assert not reducer.open_requests


def test_a_result_after_the_client_left_causes_no_response(reducer):
    take_request(reducer)
    reducer.reduce(9.0, core.ClientLeft("1"))
    assert not of_type(reducer.reduce(10.0, attempt_ended("1", Outcome.COMPLETED)), core.Respond)


def test_a_client_that_disconnects_has_its_attempt_cancelled(reducer):
    take_request(reducer)
    assert reducer.reduce(9.0, core.ClientLeft("1")) == [core.CancelAttempt("1", 0)]


def test_an_unsafe_request_that_may_have_run_is_failed_not_retried(reducer):
    take_request(reducer, class_index=1)
    assert reducer.reduce(9.0, attempt_ended("1", Outcome.BROKEN)) == [core.Fail("1")]


def test_an_unsafe_request_that_never_ran_is_retried(reducer):
    take_request(reducer, class_index=1)
    (sent,) = reducer.reduce(9.0, attempt_ended("1", Outcome.UNREACHABLE))
    assert (type(sent), sent.attempt_index) == (core.SendAttempt, 1)


@pytest.mark.parametrize(
    "event",
    [
        attempt_ended("9", Outcome.ERROR),
        core.AttemptStarted("9", 0),
        core.ClientLeft("9"),
        core.TimerFired(99),
    ],
)
def test_events_of_unknown_requests_and_timers_change_nothing(reducer, event):
    assert reducer.reduce(9.0, event) == []


def test_a_timer_fires_once(reducer):
    timers = of_type(take_request(reducer), core.SetTimer)
    (timer,) = [timer for timer in timers if timer.delay_ms > 4000.0]
    reducer.reduce(4990.0, core.TimerFired(timer.timer_id))
    assert reducer.reduce(4991.0, core.TimerFired(timer.timer_id)) == []


def test_a_shutdown_rejects_safe_and_fails_unsafe_open_requests(reducer):
    take_request(reducer, "1", 0)
    take_request(reducer, "2", 1)
    timer = of_type(reducer.reduce(3.0, core.ShutdownBegun(100.0)), core.SetTimer)[-1]
    effects = reducer.reduce(103.0, core.TimerFired(timer.timer_id))
    assert of_type(effects, core.Reject) == [core.Reject("1", 0.0)]
    assert of_type(effects, core.Fail) == [core.Fail("2", in_flight=(0,))]


def test_a_request_during_a_shutdown_has_the_time_left_of_the_shutdown(reducer):
    reducer.reduce(2.0, core.ShutdownBegun(3000.0))
    assert [sent.time_left_ms for sent in of_type(take_request(reducer), core.SendAttempt)] == [3000.0]


def test_a_request_after_the_shutdown_is_answered_at_once(reducer):
    reducer.reduce(-200.0, core.ShutdownBegun(100.0))
    effects = take_request(reducer)
    assert of_type(effects, core.Reject)
    assert not of_type(effects, core.SendAttempt)
    assert not reducer.open_requests


def fire_timers_until_answered(reducer, effects, request_ids):
    """Fire timers in the order of their times until these requests have final answers; return the answers."""
    timers, now_ms, answers = [], 2.0, []
    while {answer.request_id for answer in answers} != request_ids:
        timers += [(now_ms + timer.delay_ms, timer.timer_id) for timer in of_type(effects, core.SetTimer)]
        now_ms, timer_id = min(timers)
        timers.remove((now_ms, timer_id))
        effects = reducer.reduce(now_ms, core.TimerFired(timer_id))
        answers += of_type(effects, core.Reject) + of_type(effects, core.Fail)
    return answers


def test_requests_that_waited_too_long_are_answered_and_forgotten(reducer):
    gone = [make_entry("e1", EndpointState.GONE), make_entry("e2", EndpointState.GONE)]
    reducer.reduce(1.5, core.EndpointListUpdate(ListUpdateKind.DELTA, gone))
    effects = take_request(reducer, "1", class_index=0) + take_request(reducer, "2", class_index=1)
    answers = fire_timers_until_answered(reducer, effects, {"1", "2"})
    assert [type(answer) for answer in answers] == [core.Reject, core.Reject]
    assert not reducer.open_requests


def test_a_pending_request_that_a_shutdown_answers_is_forgotten(reducer):
    gone = [make_entry("e1", EndpointState.GONE), make_entry("e2", EndpointState.GONE)]
    reducer.reduce(1.5, core.EndpointListUpdate(ListUpdateKind.DELTA, gone))
    take_request(reducer)
    timer = of_type(reducer.reduce(3.0, core.ShutdownBegun(100.0)), core.SetTimer)[-1]
    assert of_type(reducer.reduce(103.0, core.TimerFired(timer.timer_id)), core.Reject)
    assert not reducer.open_requests


def test_a_server_long_off_the_list_is_forgotten(reducer):
    reducer.reduce(
        10.0, core.EndpointListUpdate(ListUpdateKind.DELTA, [make_entry("e1", EndpointState.GONE)])
    )
    reducer.reduce(1e6, core.EndpointListUpdate(ListUpdateKind.DELTA, []))
    assert list(reducer.servers.by_name) == ["e2"]


def test_a_server_off_the_list_with_an_attempt_in_flight_is_not_forgotten(reducer):
    (sent,) = of_type(take_request(reducer, class_index=1), core.SendAttempt)
    reducer.reduce(10.0, core.EndpointListUpdate(ListUpdateKind.FULL, []))
    reducer.reduce(1e6, core.EndpointListUpdate(ListUpdateKind.FULL, []))
    assert list(reducer.servers.by_name) == [sent.server]


def test_the_index_of_a_forgotten_server_is_reused_without_its_state(reducer):
    reducer.dispatcher.at_capacity[reducer.servers.by_name["e1"]] = True
    reducer.reduce(10.0, core.EndpointListUpdate(ListUpdateKind.FULL, [make_entry("e2")]))
    reducer.reduce(1e6, core.EndpointListUpdate(ListUpdateKind.FULL, [make_entry("e2")]))
    reducer.reduce(1e6, core.EndpointListUpdate(ListUpdateKind.DELTA, [make_entry("e3")]))
    assert reducer.servers.by_name == {"e2": 1, "e3": 0}
    assert not reducer.dispatcher.at_capacity[0]
    assert reducer.dispatcher.others_slots[0] is None


def test_equal_events_give_equal_effects(deployment):
    def effects_of_run():
        reducer, effects = Reducer(), []
        effects += reducer.reduce(0.0, core.NodeStarted(deployment.settings, 7))
        entries = [make_entry(f"e{i}") for i in range(9)]
        effects += reducer.reduce(1.0, core.EndpointListUpdate(ListUpdateKind.FULL, entries))
        for i in range(20):
            effects += reducer.reduce(2.0 + i, core.RequestArrived(Request(str(i), 0, 5000.0)))
        return effects

    assert effects_of_run() == effects_of_run()


def test_new_settings_keep_open_requests_and_add_request_classes(reducer, deployment):
    take_request(reducer)
    reducer.dispatcher.mean_run_ms[0] = 77.0
    reducer.dispatcher.run_samples[0] += 1.0  # marks this mean as measured
    first, second = deployment.settings.request_classes
    settings = replace(
        deployment.settings,
        request_classes=(first, replace(second, latency_objective_ms=30.0), first),
        kind_count=3,
        max_retry_after_ms=9.0,
    )
    reducer.reduce(3.0, core.SettingsChanged(settings))
    # A measured mean is kept, a guessed one is derived from the new settings.
    assert reducer.dispatcher.mean_run_ms[:2] == [77.0, 60.0]
    assert of_type(take_request(reducer, "2", class_index=2), core.SendAttempt)
    assert reducer.reduce(9.0, attempt_ended("1", Outcome.COMPLETED, b"x"))[0] == core.Respond("1", b"x")
    assert reducer.dispatcher.ready_count == [2, 0, 0, 0]
    assert reducer.dispatcher.settings.max_retry_after_ms == 9.0


@pytest.mark.parametrize("only_draining_excludes", [False, True])
def test_a_server_long_off_the_list_leaves_the_sums(reducer, deployment, only_draining_excludes):
    # Guards against forgetting a server that is still in use without taking it out of the sums.
    settings = replace(deployment.settings, only_draining_excludes=only_draining_excludes)
    reducer.reduce(2.0, core.SettingsChanged(settings))
    for now_ms in (3.0, 4.0 + core.FORGET_AFTER_LIST_MAX_AGES * deployment.settings.list_max_age_ms):
        reducer.reduce(now_ms, core.EndpointListUpdate(ListUpdateKind.FULL, [make_entry("e1")]))
    dispatcher = reducer.dispatcher
    assert list(reducer.servers.by_name) == ["e1"]
    assert not dispatcher.in_use_though_removed
    assert (dispatcher.ready_count[0], dispatcher.reported_count[0]) == (1, 1)
