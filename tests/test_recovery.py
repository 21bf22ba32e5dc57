"""Decisions of the reducer after a start: with restored records, cached lists and unavailable history."""

from dataclasses import replace

import pytest
from settings_samples import KEYED, SETTINGS

from marlseam import core
from marlseam.core import EndpointEntry, Reducer
from marlseam.core.idempotency import AttemptRecord
from marlseam.decisions.types import DeduplicationScope, EndpointState, ListUpdateKind, Outcome, Request
from marlseam.net.discovery import Discovery


def make_entry(name, cell=0, state=EndpointState.READY, process_started_ms=None):
    return EndpointEntry(name, state, 0, 0, cell, process_started_ms)


def start_reducer(seed):
    """Return a function that passes an event to a new reducer with three servers, two of them in one cell.

    The reducer is the function's attribute `reducer`.
    """
    reducer = Reducer()
    reducer.reduce(0.0, core.NodeStarted(SETTINGS, seed))

    def reduce(now_ms, event):
        return reducer.reduce(now_ms, event)

    reduce.reducer = reducer
    reduce(
        0.0,
        core.EndpointListUpdate(
            ListUpdateKind.FULL, [make_entry("a", 1), make_entry("b", 1), make_entry("c", 2)]
        ),
    )
    return reduce


@pytest.fixture
def reduce():
    """Return the function of `start_reducer` for one seed."""
    return start_reducer(7)


def servers_sent_to(effects):
    """Return the servers of the attempts among some effects."""
    return [effect.server for effect in effects if type(effect) is core.SendAttempt]


def request_arrived(request_id, class_index=1, key="k", deadline_at_ms=5000.0):
    """Return the arrival of a request, by default of the keyed class."""
    return core.RequestArrived(Request(request_id, class_index, deadline_at_ms, idempotency_key=key))


def answer_probes(reduce, now_ms, effects):
    """Answer all probes among some effects; return these effects and those of the answers."""
    all_effects = list(effects)
    for effect in effects:
        if type(effect) is core.Probe:
            further = reduce(now_ms, core.ProbeEnded(effect.server, Outcome.COMPLETED, 0.1, None))
            all_effects += answer_probes(reduce, now_ms, further)
    return all_effects


def reduce_with_probes(reduce, now_ms, event):
    """Pass an event to the reducer and answer all resulting probes; return all effects."""
    return answer_probes(reduce, now_ms, reduce(now_ms, event))


def test_a_retry_under_a_key_goes_only_to_the_server_that_may_have_run_it(reduce):
    (first,) = servers_sent_to(reduce_with_probes(reduce, 1.0, request_arrived("1")))
    reduce(2.0, core.ClientLeft("1"))
    reduce(2.0, core.AttemptEnded("1", 0, Outcome.CANCELLED, True, None))
    same_cell = {"a": {"a", "b"}, "b": {"a", "b"}, "c": {"c"}}[first]
    for i in range(2, 12):
        (second,) = servers_sent_to(reduce_with_probes(reduce, 3.0 + i, request_arrived(str(i))))
        assert second in same_cell
        reduce(3.5 + i, core.ClientLeft(str(i)))
        reduce(3.5 + i, core.AttemptEnded(str(i), 1, Outcome.CANCELLED, True, None))


def test_a_restored_key_whose_server_is_gone_is_failed_and_runs_nowhere(reduce):
    reduce(1.0, core.HistoryRecovered({"k": [AttemptRecord("gone", 0, 9, 0.0, 9000.0)]}))
    effects = reduce(2.0, request_arrived("1"))
    assert not servers_sent_to(effects)
    assert not any(type(effect) is core.Probe for effect in effects)
    timers = [effect for effect in effects if type(effect) is core.SetTimer]
    for timer in timers:
        effects += reduce(4999.0, core.TimerFired(timer.timer_id))
    assert [type(effect) for effect in effects if type(effect) in (core.Fail, core.Reject)] == [core.Fail]


def test_a_restored_key_may_run_on_any_server_once_its_deduplication_window_is_over(reduce):
    reduce(1.0, core.HistoryRecovered({"k": [AttemptRecord("gone", 0, 9, 0.0, 50.0)]}))
    assert servers_sent_to(reduce_with_probes(reduce, 60.0, request_arrived("1")))


def test_an_unsafe_request_that_may_have_run_is_failed_at_once(reduce):
    reduce(1.0, core.HistoryRecovered({"k": [AttemptRecord("a", 0, 1, 0.0, 9000.0)]}))
    assert type(reduce(2.0, request_arrived("1", class_index=2))[-1]) is core.Fail


def test_an_attempt_that_never_ran_is_erased_from_the_records(reduce):
    (first,) = servers_sent_to(reduce_with_probes(reduce, 1.0, request_arrived("1")))
    effects = reduce(2.0, core.AttemptEnded("1", 0, Outcome.AT_CAPACITY, False, None))
    assert any(type(effect) is core.ErasePersisted and effect.server == first for effect in effects)
    remembered = reduce.reducer.idempotency_records.attempts("k", 3.0)
    assert all(record.server != first for record in remembered)


def test_an_attempt_is_persisted_before_it_is_sent(reduce):
    effects = reduce_with_probes(reduce, 1.0, request_arrived("1"))
    types = [type(effect) for effect in effects]
    assert types.index(core.PersistAttempt) < types.index(core.SendAttempt)
    effects = reduce_with_probes(reduce, 2.0, request_arrived("2", class_index=0, key=None))
    assert core.PersistAttempt not in [type(effect) for effect in effects]


@pytest.mark.parametrize("seed", range(1, 9))
def test_past_the_maximum_a_new_key_is_rejected_with_retry_after_and_a_known_one_is_sent(seed):
    reduce = start_reducer(seed)
    reduce.reducer.idempotency_records.max_keys = 1
    assert servers_sent_to(reduce_with_probes(reduce, 1.0, request_arrived("1", key="old")))
    (rejection,) = reduce(2.0, request_arrived("2", key="new"))
    assert type(rejection) is core.Reject
    assert rejection.retry_after_ms > 0.0
    # The first attempt is cancelled, as the only other server of its cell, if any, may have no free slot.
    reduce(2.5, core.ClientLeft("1"))
    reduce(2.5, core.AttemptEnded("1", 0, Outcome.CANCELLED, True, None))
    assert servers_sent_to(reduce_with_probes(reduce, 3.0, request_arrived("3", key="old")))


def test_entries_of_a_cached_list_are_in_slow_start_and_get_no_keyed_request_until_proven(reduce):
    cached = [make_entry("x", 5)]
    reduce(
        0.0,
        core.EndpointListUpdate(
            ListUpdateKind.FULL, [make_entry(name, state=EndpointState.GONE) for name in "abc"]
        ),
    )
    reduce(1.0, core.EndpointListUpdate(ListUpdateKind.CACHED, cached, 0.6))
    dispatcher = reduce.reducer.dispatcher
    server = reduce.reducer.servers.by_name["x"]
    assert dispatcher.slow_start_budget(server) < float("inf")
    assert dispatcher.identity_doubt[server] == 0.6
    dispatcher.slow_start_tokens[server] = 1.0
    assert not servers_sent_to(reduce_with_probes(reduce, 2.0, request_arrived("1")))
    safe_effects = reduce_with_probes(reduce, 3.0, request_arrived("2", class_index=0, key=None))
    assert servers_sent_to(safe_effects) == ["x"]
    assert 0.0 < dispatcher.identity_doubt[server] < 0.6
    reduce(4.0, core.AttemptStarted("2", 0))
    assert dispatcher.identity_doubt[server] == 0.0


def test_the_live_endpoint_list_sets_all_doubt_to_0(reduce):
    reduce(1.0, core.EndpointListUpdate(ListUpdateKind.CACHED, [make_entry("x", 5)], 0.6))
    server = reduce.reducer.servers.by_name["x"]
    reduce(2.0, core.EndpointListUpdate(ListUpdateKind.FULL, [make_entry("x", 5), make_entry("a", 1)]))
    dispatcher = reduce.reducer.dispatcher
    assert dispatcher.identity_doubt[server] == 0.0
    assert dispatcher.slow_start_budget(server) == float("inf")
    assert dispatcher.endpoint_state[reduce.reducer.servers.by_name["b"]] is EndpointState.GONE


def test_a_drain_during_recovery_holds_though_the_cached_list_says_ready(reduce):
    reduce(1.0, core.EndpointListUpdate(ListUpdateKind.CACHED, [make_entry("x", 5), make_entry("y", 6)], 0.6))
    reduce(
        2.0,
        core.EndpointListUpdate(
            ListUpdateKind.FULL, [make_entry("x", 5, EndpointState.DRAINING), make_entry("y", 6)]
        ),
    )
    for i in range(6):
        effects = reduce_with_probes(reduce, 3.0 + i, request_arrived(str(i), class_index=0, key=None))
        assert servers_sent_to(effects) in (["y"], [])


def test_a_live_list_older_than_the_saved_one_still_replaces_it(deployment, loop, make_upstream):
    upstream = make_upstream()
    events = []

    class Config:
        known = {}
        discovery = ("127.0.0.1", 1)

    Config.deployment = deployment
    discovery = Discovery(loop, upstream.log, Config, upstream, events.append)
    entry_values = {
        "dial": "127.0.0.1:9",
        "site": "here",
        "class": "plain",
        "block": 0,
        "health": "active",
        "born_ms": 0,
    }
    assert discovery.apply_list(
        {"seq": 90, "whole": True, "hosts": [entry_values | {"host": "old"}]}, cached=True, doubt=0.6
    )
    assert events[-1].update_kind is ListUpdateKind.CACHED
    assert events[-1].doubt == 0.6
    assert discovery.apply_list({"seq": 3, "whole": True, "hosts": [entry_values | {"host": "new"}]})
    assert set(discovery.entries) == {"new"}
    assert events[-1].update_kind is ListUpdateKind.FULL
    assert events[-1].doubt == 0.0


def answer_types(effects):
    """Return the types of the attempts and final answers among some effects."""
    answers = (core.SendAttempt, core.Reject, core.Fail)
    return [type(effect) for effect in effects if type(effect) in answers]


def retry_arrived(request_id, class_index=1, key="k"):
    """Return the arrival of a request that its client marks as a retry."""
    request = Request(request_id, class_index, 1e6, idempotency_key=key, may_be_retry=True)
    return core.RequestArrived(request)


@pytest.mark.parametrize("class_index", [1, 2])
def test_a_retry_is_failed_at_once_while_the_history_is_unavailable(reduce, class_index):
    reduce(1.0, core.HistoryUnavailable("store"))
    # Guards against an empty history that counts as complete, with which the retry would be sent.
    assert answer_types(reduce(2.0, retry_arrived("1", class_index))) == [core.Fail]
    reduce(900000.0, core.HistoryUnavailable("store"))
    # No passage of time ends the unavailability while further attempts may be sent.
    assert answer_types(reduce(900001.0, retry_arrived("2", class_index))) == [core.Fail]
    assert core.SendAttempt in answer_types(
        reduce_with_probes(reduce, 900002.0, retry_arrived("3", class_index=0))
    )
    reduce(900003.0, core.HistoryAvailable("store"))
    assert core.SendAttempt in answer_types(
        reduce_with_probes(reduce, 900004.0, retry_arrived("4", class_index))
    )


def test_each_source_of_history_is_unavailable_until_the_deduplication_window_is_over(reduce):
    reduce(1.0, core.HistoryUnavailable("store", 1.0))
    reduce(1.0, core.HistoryUnavailable("process", 500.0))
    assert answer_types(reduce(4990.0, retry_arrived("1"))) == [core.Fail]
    reduce(4991.0, core.HistoryAvailable("store"))
    assert answer_types(reduce(5400.0, retry_arrived("2"))) == [core.Fail]
    assert core.SendAttempt in answer_types(
        reduce_with_probes(reduce, 5501.0, request_arrived("3", deadline_at_ms=9000.0))
    )
    assert not reduce.reducer.is_history_incomplete()


def test_no_request_is_rejected_safely_near_the_end_of_its_deduplication_window(
    make_dispatcher, make_request
):
    keyed_everywhere = replace(KEYED, deduplication_scope=DeduplicationScope.ALL)
    dispatcher = make_dispatcher(0.0, 0.0, request_classes=(*SETTINGS.request_classes[:1], keyed_everywhere))
    state = make_request(dispatcher, class_index=1, attempts=((0, Outcome.BROKEN),))
    assert state.may_reject_safely()
    # A retry of the client would now reach a server that has forgotten the key.
    dispatcher.port.clock += keyed_everywhere.deduplication_window_ms - dispatcher.ejection_base_ms / 2.0
    assert not state.may_reject_safely()


def test_a_keyed_request_that_cannot_be_recorded_is_rejected_and_others_are_served(reduce):
    def request(request_id, class_index, key="k"):
        return core.RequestArrived(
            Request(request_id, class_index, 5000.0, idempotency_key=key, is_recordable=False)
        )

    (rejection,) = [effect for effect in reduce(1.0, request("1", 1)) if answer_types([effect])]
    assert type(rejection) is core.Reject
    assert rejection.retry_after_ms > 0.0
    assert core.SendAttempt in answer_types(reduce_with_probes(reduce, 2.0, request("2", 0)))
    assert core.SendAttempt in answer_types(reduce_with_probes(reduce, 3.0, request("3", 2, key=None)))
    reduce(4.0, core.HistoryRecovered({"old": [AttemptRecord("a", 0, 1, 0.0, 9000.0)]}))
    assert answer_types(reduce(5.0, request("4", 1, key="old"))) == [core.Fail]


def test_an_attempt_whose_record_is_not_durable_is_erased_and_its_request_rejected(reduce):
    assert len(servers_sent_to(reduce_with_probes(reduce, 1.0, request_arrived("1")))) == 1
    effects = reduce(2.0, core.NotDurable("1", 0))
    assert [type(effect) for effect in effects if type(effect) is not core.SetTimer] == [
        core.ErasePersisted,
        core.Reject,
    ]
    assert not reduce.reducer.idempotency_records.attempts("k", 3.0)
    assert "1" not in reduce.reducer.open_requests
