"""What a node recovers: which list, how much doubt, which idempotency records; and what decisions follow."""

from dataclasses import replace
from math import exp

import pytest
from conftest import KEYED, SETTINGS
from hypothesis import given
from hypothesis import strategies as st

from marlseam import core
from marlseam.core import EndpointEntry, Reducer
from marlseam.core.idempotency import AttemptRecord, IdempotencyRecords
from marlseam.decisions.types import DeduplicationScope, EndpointState, ListUpdateKind, Outcome, Request
from marlseam.recovery import saved_list
from marlseam.recovery.saved_list import DEFAULT_LIFETIME_MS, DepartureRate, SavedList


def saved(version, rows=("r",), heard=0.0):
    return SavedList(version, list(rows), heard)


@pytest.mark.parametrize(
    ("file", "known", "chosen"),
    [
        (None, None, None),
        (saved(3), None, 3),
        (None, saved(2), 2),
        (saved(3), saved(3, heard=None), 3),
        (saved(3), saved(4), 4),
        (saved(5), saved(4), 5),
        (saved(1), saved(9, ()), 1),
        (saved(3, ()), saved(2), 2),
    ],
)
def test_the_newer_list_is_chosen_and_an_empty_one_never(file, known, chosen):
    found = saved_list.choose_list(file, known)
    assert (found and found.version) == chosen


def test_doubt_grows_with_age_and_turnover_and_is_full_where_the_age_is_unknown():
    calm, busy = DepartureRate(), DepartureRate(1000.0, 1000.0 * DEFAULT_LIFETIME_MS / 24.0)
    day = 24.0 * 3600e3
    assert saved_list.entry_doubt(0.0, calm) == 0.0
    assert 0.0 < saved_list.entry_doubt(1000.0, calm) < saved_list.MAX_CERTAIN_DOUBT
    assert saved_list.entry_doubt(day, calm) == pytest.approx(1.0 - exp(-1.0))
    assert saved_list.entry_doubt(day, busy) > 0.99
    assert saved_list.entry_doubt(None, calm) == 1.0
    assert saved_list.list_age_ms(saved(1, heard=5000.0), 1000.0) is None  # the clock was set back
    assert saved_list.list_age_ms(saved(1, heard=500.0), 1000.0) == 500.0


# Idempotency records against a plain model.


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["note", "never", "known"]),
            st.sampled_from("ab"),
            st.sampled_from("xy"),
            st.integers(0, 9),
        ),
        max_size=40,
    )
)
def test_idempotency_records_are_what_a_plain_table_says(steps):
    idempotency_records, model, now = IdempotencyRecords(10), {}, 0.0
    for what, key, executor, gap in steps:
        now += gap
        rows = list(model.get(key, []))
        if rows and rows[0].until_ms <= now:
            rows = []
        if what == "note":
            trace = AttemptRecord(executor, 0, 0, now, now + 20.0)
            if idempotency_records.attempts(key, now) == rows:
                idempotency_records.add(key, trace)
                rows.append(trace)
        elif what == "never" and rows:
            idempotency_records.attempts(key, now)
            assert idempotency_records.never_ran(key, rows[0].server, rows[0].sent_ms)
            gone = next(t for t in rows if (t.server, t.sent_ms) == (rows[0].server, rows[0].sent_ms))
            rows.remove(gone)
        model[key] = rows
        assert idempotency_records.attempts(key, now) == rows


def test_restored_records_expire_in_time_and_go_before_new_ones():
    idempotency_records = IdempotencyRecords(10)
    a, b = AttemptRecord("e", 0, 0, 0.0, 50.0), AttemptRecord("e", 0, 0, 0.0, 20.0)
    idempotency_records.restore({"a": [a, AttemptRecord("f", 0, 0, 5.0, 55.0)], "b": [b]})
    idempotency_records.add("a", AttemptRecord("g", 0, 0, 10.0, 60.0))
    assert [t.server for t in idempotency_records.attempts("a", 15.0)] == [
        "e",
        "f",
        "g",
    ]
    assert idempotency_records.attempts("b", 15.0)
    assert not idempotency_records.attempts("b", 20.0)
    assert idempotency_records.attempts("a", 49.0)
    assert not idempotency_records.attempts("a", 50.0)


def test_at_the_maximum_a_key_can_be_added_only_once_another_expires():
    idempotency_records = IdempotencyRecords(1)
    idempotency_records.add("a", AttemptRecord("e", 0, 0, 0.0, 100.0))
    assert idempotency_records.wait_for_key_ms(40.0) == 60.0
    assert idempotency_records.attempts("a", 40.0)
    assert idempotency_records.wait_for_key_ms(100.0) == 0.0
    assert not idempotency_records.attempts("a", 100.0)


# The reducer and its dispatcher.


def entry(name, cell=0, state=EndpointState.READY, born=None):
    return EndpointEntry(name, state, 0, 0, cell, born)


def begun(seed):
    """Return a reducer with a list of three servers, two of them in one cell.

    And a function to play events.
    """
    made = Reducer()
    made.reduce(0.0, core.NodeStarted(SETTINGS, seed))

    def play(clock, event):
        return made.reduce(clock, event)

    play.reducer = made
    play(0.0, core.EndpointListUpdate(ListUpdateKind.FULL, [entry("a", 1), entry("b", 1), entry("c", 2)]))
    return play


@pytest.fixture
def node():
    """Return what `begun` gives for a seed."""
    return begun(7)


def sends(effects):
    return [effect.server for effect in effects if type(effect) is core.SendAttempt]


def unit(request_id, type=1, key="k", expires=5000.0):
    return core.RequestArrived(Request(request_id, type, expires, idempotency_key=key))


def answered(node, clock, effects):
    """Answer all probes that some effects ask for, and return every effect that follows."""
    found = list(effects)
    for effect in effects:
        if type(effect) is core.Probe:
            more = node(clock, core.ProbeEnded(effect.server, Outcome.COMPLETED, 0.1, None))
            found += answered(node, clock, more)
    return found


def test_a_retry_under_a_key_goes_only_to_the_server_that_may_have_run_it(node):
    (first,) = sends(answered(node, 1.0, node(1.0, unit("1"))))
    node(2.0, core.ClientLeft("1"))
    node(2.0, core.AttemptEnded("1", 0, Outcome.CANCELLED, True, None))
    group = {"a": {"a", "b"}, "b": {"a", "b"}, "c": {"c"}}[first]
    for i in range(2, 12):
        (again,) = sends(answered(node, 3.0 + i, node(3.0 + i, unit(str(i)))))
        assert again in group
        node(3.5 + i, core.ClientLeft(str(i)))
        node(3.5 + i, core.AttemptEnded(str(i), 1, Outcome.CANCELLED, True, None))


def test_a_restored_key_whose_server_is_gone_is_failed_and_runs_nowhere(node):
    node(1.0, core.HistoryRecovered({"k": [AttemptRecord("gone", 0, 9, 0.0, 9000.0)]}))
    effects = node(2.0, unit("1"))
    assert not sends(effects)
    assert not any(type(e) is core.Probe for e in effects)
    due = [e for e in effects if type(e) is core.SetTimer]
    effects += [more for e in due for more in node(4999.0, core.TimerFired(e.timer_id))]
    assert [type(e) for e in effects if type(e) in (core.Fail, core.Reject)] == [core.Fail]


def test_a_restored_key_is_free_again_once_its_deduplication_window_is_over(node):
    node(1.0, core.HistoryRecovered({"k": [AttemptRecord("gone", 0, 9, 0.0, 50.0)]}))
    assert sends(answered(node, 60.0, node(60.0, unit("1"))))


def test_an_unsafe_request_of_unknown_fate_is_failed_at_once(node):
    node(1.0, core.HistoryRecovered({"k": [AttemptRecord("a", 0, 1, 0.0, 9000.0)]}))
    assert [type(e) for e in node(2.0, unit("1", type=2))][-1] is core.Fail


def test_what_never_ran_is_off_the_record(node):
    (first,) = sends(answered(node, 1.0, node(1.0, unit("1"))))
    effects = node(2.0, core.AttemptEnded("1", 0, Outcome.AT_CAPACITY, False, None))
    assert any(type(e) is core.ErasePersisted and e.server == first for e in effects)
    later = node.reducer.idempotency_records.attempts("k", 3.0)
    assert all(trace.server != first for trace in later)


def test_an_attempt_is_persisted_before_it_is_sent(node):
    effects = answered(node, 1.0, node(1.0, unit("1")))
    kinds = [type(e) for e in effects]
    assert kinds.index(core.PersistAttempt) < kinds.index(core.SendAttempt)
    assert core.PersistAttempt not in [
        type(e) for e in answered(node, 2.0, node(2.0, unit("2", type=0, key=None)))
    ]


@pytest.mark.parametrize("seed", range(1, 9))
def test_past_the_maximum_a_new_key_is_rejected_with_advice_and_an_old_one_still_goes(seed):
    node = begun(seed)
    node.reducer.idempotency_records.max_keys = 1
    assert sends(answered(node, 1.0, node(1.0, unit("1", key="old"))))
    (refused,) = node(2.0, unit("2", key="new"))
    assert type(refused) is core.Reject
    assert refused.retry_after_ms > 0.0
    # Called off, as the pod's other server, if it has one, need not have room.
    node(2.5, core.ClientLeft("1"))
    node(2.5, core.AttemptEnded("1", 0, Outcome.CANCELLED, True, None))
    assert sends(answered(node, 3.0, node(3.0, unit("3", key="old"))))


def test_entries_of_a_cached_list_are_in_slow_start_and_get_no_keyed_request_until_proven(node):
    old = [entry("x", 5)]
    node(
        0.0, core.EndpointListUpdate(ListUpdateKind.FULL, [entry(n, state=EndpointState.GONE) for n in "abc"])
    )
    node(1.0, core.EndpointListUpdate(ListUpdateKind.CACHED, old, 0.6))
    decider = node.reducer.dispatcher
    e = node.reducer.servers.by_name["x"]
    assert decider.slow_start_budget(e) < float("inf")
    assert decider.identity_doubt[e] == 0.6
    decider.slow_start_tokens[e] = 1.0
    assert not sends(answered(node, 2.0, node(2.0, unit("1"))))
    plain = answered(node, 3.0, node(3.0, unit("2", type=0, key=None)))
    assert sends(plain) == ["x"]
    assert 0.0 < decider.identity_doubt[e] < 0.6
    node(4.0, core.AttemptStarted("2", 0))
    assert decider.identity_doubt[e] == 0.0


def test_the_live_endpoint_list_ends_all_doubt(node):
    node(1.0, core.EndpointListUpdate(ListUpdateKind.CACHED, [entry("x", 5)], 0.6))
    e = node.reducer.servers.by_name["x"]
    node(2.0, core.EndpointListUpdate(ListUpdateKind.FULL, [entry("x", 5), entry("a", 1)]))
    decider = node.reducer.dispatcher
    assert decider.identity_doubt[e] == 0.0
    assert decider.slow_start_budget(e) == float("inf")
    assert decider.endpoint_state[node.reducer.servers.by_name["b"]] is EndpointState.GONE


def test_a_drain_during_recovery_holds_though_the_cached_list_says_ready(node):
    node(1.0, core.EndpointListUpdate(ListUpdateKind.CACHED, [entry("x", 5), entry("y", 6)], 0.6))
    node(
        2.0,
        core.EndpointListUpdate(ListUpdateKind.FULL, [entry("x", 5, EndpointState.DRAINING), entry("y", 6)]),
    )
    for i in range(6):
        effects = answered(node, 3.0 + i, node(3.0 + i, unit(str(i), type=0, key=None)))
        assert sends(effects) in (["y"], [])


def test_a_live_list_older_than_the_saved_one_still_replaces_it(node, deployment, loop, upstream):
    from marlseam.net.discovery import Discovery

    parts = upstream()
    heard = []

    class Config:
        known = {}
        discovery = ("127.0.0.1", 1)

    Config.deployment = deployment
    live = Discovery(loop, parts.log, Config, parts, heard.append)
    row = {
        "dial": "127.0.0.1:9",
        "site": "here",
        "class": "plain",
        "block": 0,
        "health": "active",
        "born_ms": 0,
    }
    assert live.take({"seq": 90, "whole": True, "hosts": [row | {"host": "old"}]}, cached=True, doubt=0.6)
    assert heard[-1].update_kind is ListUpdateKind.CACHED
    assert heard[-1].doubt == 0.6
    assert live.take({"seq": 3, "whole": True, "hosts": [row | {"host": "new"}]})
    assert set(live.held) == {"new"}
    assert heard[-1].update_kind is ListUpdateKind.FULL
    assert heard[-1].doubt == 0.0


# What is not known, or cannot be put on record.


def answers(effects):
    return [type(e) for e in effects if type(e) in (core.SendAttempt, core.Reject, core.Fail)]


def retry(request_id, type=1, key="k"):
    return core.RequestArrived(Request(request_id, type, 1e6, idempotency_key=key, may_be_retry=True))


@pytest.mark.parametrize("type", [1, 2])
def test_a_retry_of_what_is_not_known_is_failed_at_once_until_it_is_known(node, type):
    node(1.0, core.HistoryUnavailable("store"))
    # The old code took an empty memory for a true one, and sent it.
    assert answers(node(2.0, retry("1", type))) == [core.Fail]
    node(900000.0, core.HistoryUnavailable("store"))
    assert answers(node(900001.0, retry("2", type))) == [core.Fail]  # no time ends it while more may go out
    assert core.SendAttempt in answers(answered(node, 900002.0, node(900002.0, retry("3", type=0))))
    node(900003.0, core.HistoryAvailable("store"))
    assert core.SendAttempt in answers(answered(node, 900004.0, node(900004.0, retry("4", type))))


def test_unavailable_history_binds_for_as_long_as_servers_remember_and_each_source_alone(node):
    node(1.0, core.HistoryUnavailable("store", 1.0))
    node(1.0, core.HistoryUnavailable("process", 500.0))
    assert answers(node(4990.0, retry("1"))) == [core.Fail]
    node(4991.0, core.HistoryAvailable("store"))
    assert answers(node(5400.0, retry("2"))) == [core.Fail]
    assert core.SendAttempt in answers(answered(node, 5501.0, node(5501.0, unit("3", expires=9000.0))))
    assert not node.reducer.is_history_incomplete()


def test_a_rejection_promises_nothing_past_the_deduplication_window(make_dispatcher, make_request):
    wide = replace(KEYED, deduplication_scope=DeduplicationScope.ALL)
    dispatcher = make_dispatcher(0.0, 0.0, request_classes=(*SETTINGS.request_classes[:1], wide))
    state = make_request(dispatcher, class_index=1, attempts=((0, Outcome.BROKEN),))
    assert state.may_reject_safely()
    dispatcher.port.clock += (
        wide.deduplication_window_ms - dispatcher.ejection_base_ms / 2.0
    )  # it would come back to a pod that has forgotten
    assert not state.may_reject_safely()


def test_what_cannot_be_put_on_record_is_answered_at_once_and_the_rest_served(node):
    def request(request_id, type, key="k"):
        return core.RequestArrived(
            Request(request_id, type, 5000.0, idempotency_key=key, is_recordable=False)
        )

    (refused,) = [e for e in node(1.0, request("1", 1)) if answers([e])]
    assert type(refused) is core.Reject
    assert refused.retry_after_ms > 0.0
    assert core.SendAttempt in answers(answered(node, 2.0, node(2.0, request("2", 0))))
    assert core.SendAttempt in answers(answered(node, 3.0, node(3.0, request("3", 2, key=None))))
    node(4.0, core.HistoryRecovered({"old": [AttemptRecord("a", 0, 1, 0.0, 9000.0)]}))
    assert answers(node(5.0, request("4", 1, key="old"))) == [core.Fail]


def test_an_attempt_whose_record_is_not_durable_never_ran_and_none_follows(node):
    (first,) = sends(answered(node, 1.0, node(1.0, unit("1"))))
    effects = node(2.0, core.NotDurable("1", 0))
    assert [type(e) for e in effects if type(e) is not core.SetTimer] == [core.ErasePersisted, core.Reject]
    assert not node.reducer.idempotency_records.attempts("k", 3.0)
    assert "1" not in node.reducer.open_requests


def test_records_restored_late_go_before_those_added_meanwhile():
    idempotency_records = IdempotencyRecords(10)
    idempotency_records.add("a", AttemptRecord("g", 0, 0, 10.0, 60.0))
    idempotency_records.add("b", AttemptRecord("h", 0, 0, 10.0, 70.0))
    idempotency_records.restore(
        {"a": [AttemptRecord("e", 0, 0, 0.0, 50.0)], "c": [AttemptRecord("f", 0, 0, 1.0, 40.0)]}
    )
    assert [t.server for t in idempotency_records.attempts("a", 20.0)] == ["e", "g"]
    assert idempotency_records.expire(45.0) == ["c"]
    assert idempotency_records.expire(65.0) == ["a"]
    assert idempotency_records.attempts("b", 65.0)
