"""What a node takes up again: which list, how much doubt, which receipts; and what the module makes of it."""

from math import exp

import pytest
from conftest import SETTINGS
from hypothesis import given
from hypothesis import strategies as st

from marlseam import core
from marlseam.core import Core, Entry
from marlseam.interface import Listing, Outcome, State, WorkUnit
from marlseam.recovery import lists
from marlseam.recovery.lists import LIFE_MS, Saved, Turnover
from marlseam.recovery.receipts import Receipts, Trace


def saved(version, rows=("r",), heard=0.0):
    return Saved(version, list(rows), heard)


@pytest.mark.parametrize(
    ("file", "known", "chosen"),
    [
        (None, None, None), (saved(3), None, 3), (None, saved(2), 2), (saved(3), saved(3, heard=None), 3),
        (saved(3), saved(4), 4), (saved(5), saved(4), 5), (saved(1), saved(9, ()), 1),
        (saved(3, ()), saved(2), 2),
    ],
)  # fmt: skip
def test_the_newer_list_is_chosen_and_an_empty_one_never(file, known, chosen):
    found = lists.choose(file, known)
    assert (found and found.version) == chosen


def test_doubt_grows_with_age_and_turnover_and_is_full_where_the_age_is_unknown():
    calm, busy = Turnover(), Turnover(1000.0, 1000.0 * LIFE_MS / 24.0)
    day = 24.0 * 3600e3
    assert lists.doubt(0.0, calm) == 0.0 < lists.doubt(1000.0, calm) < lists.SURE
    assert lists.doubt(day, calm) == pytest.approx(1.0 - exp(-1.0))
    assert lists.doubt(day, busy) > 0.99 and lists.doubt(None, calm) == 1.0
    assert lists.age(saved(1, heard=5000.0), 1000.0) is None  # the clock was set back
    assert lists.age(saved(1, heard=500.0), 1000.0) == 500.0


# Receipts against a plain model.


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
def test_receipts_are_what_a_plain_table_says(steps):
    receipts, model, now = Receipts(10), {}, 0.0
    for what, key, executor, gap in steps:
        now += gap
        rows = list(model.get(key, []))
        if rows and rows[0].until_ms <= now:
            rows = []
        if what == "note":
            trace = Trace(executor, 0, 0, now, now + 20.0)
            if receipts.known(key, now) == rows:
                receipts.note(key, trace)
                rows.append(trace)
        elif what == "never" and rows:
            receipts.known(key, now)
            assert receipts.never_ran(key, rows[0].executor, rows[0].sent_ms)
            gone = next(t for t in rows if (t.executor, t.sent_ms) == (rows[0].executor, rows[0].sent_ms))
            rows.remove(gone)
        model[key] = rows
        assert receipts.known(key, now) == rows


def test_what_is_recalled_ends_in_its_time_and_goes_before_what_is_noted():
    receipts = Receipts(10)
    a, b = Trace("e", 0, 0, 0.0, 50.0), Trace("e", 0, 0, 0.0, 20.0)
    receipts.recall({"a": [a, Trace("f", 0, 0, 5.0, 55.0)], "b": [b]})
    receipts.note("a", Trace("g", 0, 0, 10.0, 60.0))
    assert [t.executor for t in receipts.known("a", 15.0)] == ["e", "f", "g"] and receipts.known("b", 15.0)
    assert not receipts.known("b", 20.0) and receipts.known("a", 49.0) and not receipts.known("a", 50.0)


def test_at_the_bound_there_is_room_only_once_a_key_is_forgotten():
    receipts = Receipts(1)
    receipts.note("a", Trace("e", 0, 0, 0.0, 100.0))
    assert receipts.full(40.0) == 60.0 and receipts.known("a", 40.0)
    assert receipts.full(100.0) == 0.0 and not receipts.known("a", 100.0)


# The reducer and the module.


def entry(name, cell=0, state=State.READY, born=None):
    return Entry(name, state, 0, 0, cell, born)


def begun(seed):
    """Return a reducer with a list of three executors, two of them in one cell.

    And a function to play events.
    """
    made = Core()
    made.reduce(0.0, core.Begin(SETTINGS, seed))

    def play(clock, event):
        return made.reduce(clock, event)

    play.core = made
    play(0.0, core.Roster(Listing.FULL, [entry("a", 1), entry("b", 1), entry("c", 2)]))
    return play


@pytest.fixture
def node():
    """Return what `begun` gives for a seed."""
    return begun(7)


def sends(effects):
    return [effect.executor for effect in effects if type(effect) is core.Send]


def unit(ref, type=1, key="k", expires=5000.0):
    return core.Arrival(WorkUnit(ref, type, expires, receipt=key))


def answered(node, clock, effects):
    """Answer all probes that some effects ask for, and return every effect that follows."""
    found = list(effects)
    for effect in effects:
        if type(effect) is core.Probe:
            more = node(clock, core.Probed(effect.executor, Outcome.COMPLETED, 0.1, None))
            found += answered(node, clock, more)
    return found


def test_a_retry_under_a_key_goes_only_to_the_pod_that_may_have_run_it(node):
    (first,) = sends(answered(node, 1.0, node(1.0, unit("1"))))
    node(2.0, core.Left("1"))
    node(2.0, core.Settled("1", 0, Outcome.WITHDRAWN, True, None))
    group = {"a": {"a", "b"}, "b": {"a", "b"}, "c": {"c"}}[first]
    for i in range(2, 12):
        (again,) = sends(answered(node, 3.0 + i, node(3.0 + i, unit(str(i)))))
        assert again in group
        node(3.5 + i, core.Left(str(i)))
        node(3.5 + i, core.Settled(str(i), 1, Outcome.WITHDRAWN, True, None))


def test_a_recalled_key_whose_pod_is_gone_is_aborted_and_runs_nowhere(node):
    node(1.0, core.Recalled({"k": [Trace("gone", 0, 9, 0.0, 9000.0)]}))
    effects = node(2.0, unit("1"))
    assert not sends(effects) and not any(type(e) is core.Probe for e in effects)
    due = [e for e in effects if type(e) is core.Timer]
    effects += [more for e in due for more in node(4999.0, core.Due(e.mark))]
    assert [type(e) for e in effects if type(e) in (core.Abort, core.Defer)] == [core.Abort]


def test_a_recalled_key_is_free_again_once_its_pods_memory_is_over(node):
    node(1.0, core.Recalled({"k": [Trace("gone", 0, 9, 0.0, 50.0)]}))
    assert sends(answered(node, 60.0, node(60.0, unit("1"))))


def test_exclusive_work_of_unknown_fate_is_aborted_at_once(node):
    node(1.0, core.Recalled({"k": [Trace("a", 0, 1, 0.0, 9000.0)]}))
    assert [type(e) for e in node(2.0, unit("1", type=2))][-1] is core.Abort


def test_what_never_ran_is_off_the_record(node):
    (first,) = sends(answered(node, 1.0, node(1.0, unit("1"))))
    effects = node(2.0, core.Settled("1", 0, Outcome.FULL, False, None))
    assert any(type(e) is core.Forget and e.executor == first for e in effects)
    later = node.core.receipts.known("k", 3.0)
    assert all(trace.executor != first for trace in later)


def test_a_sending_is_remembered_before_it_goes_out(node):
    effects = answered(node, 1.0, node(1.0, unit("1")))
    kinds = [type(e) for e in effects]
    assert kinds.index(core.Remember) < kinds.index(core.Send)
    assert core.Remember not in [type(e) for e in answered(node, 2.0, node(2.0, unit("2", type=0, key=None)))]


@pytest.mark.parametrize("seed", range(1, 9))
def test_past_the_bound_a_new_key_is_deferred_with_advice_and_an_old_one_still_goes(seed):
    node = begun(seed)
    node.core.receipts.most = 1
    assert sends(answered(node, 1.0, node(1.0, unit("1", key="old"))))
    (refused,) = node(2.0, unit("2", key="new"))
    assert type(refused) is core.Defer and refused.advice_ms > 0.0
    # Called off, as the pod's other executor, if it has one, need not have room.
    node(2.5, core.Left("1"))
    node(2.5, core.Settled("1", 0, Outcome.WITHDRAWN, True, None))
    assert sends(answered(node, 3.0, node(3.0, unit("3", key="old"))))


def test_entries_of_an_old_list_are_cold_and_take_no_keyed_work_until_proven(node):
    old = [entry("x", 5)]
    node(0.0, core.Roster(Listing.FULL, [entry(n, state=State.GONE) for n in "abc"]))
    node(1.0, core.Roster(Listing.CACHED, old, 0.6))
    decider = node.core.node
    e = node.core.index["x"]
    assert decider.allowance(e) < float("inf") and decider.unsure[e] == 0.6
    decider.tokens[e] = 1.0
    assert not sends(answered(node, 2.0, node(2.0, unit("1"))))
    plain = answered(node, 3.0, node(3.0, unit("2", type=0, key=None)))
    assert sends(plain) == ["x"] and 0.0 < decider.unsure[e] < 0.6  # somebody answered its probe
    node(4.0, core.Started("2", 0))
    assert decider.unsure[e] == 0.0


def test_the_live_roster_ends_all_doubt(node):
    node(1.0, core.Roster(Listing.CACHED, [entry("x", 5)], 0.6))
    e = node.core.index["x"]
    node(2.0, core.Roster(Listing.FULL, [entry("x", 5), entry("a", 1)]))
    decider = node.core.node
    assert decider.unsure[e] == 0.0 and decider.allowance(e) == float("inf")
    assert decider.state[node.core.index["b"]] is State.GONE


def test_a_drain_told_during_recovery_is_kept_though_the_old_list_says_ready(node):
    node(1.0, core.Roster(Listing.CACHED, [entry("x", 5), entry("y", 6)], 0.6))
    node(2.0, core.Roster(Listing.FULL, [entry("x", 5, State.DRAINING), entry("y", 6)]))
    for i in range(6):
        effects = answered(node, 3.0 + i, node(3.0 + i, unit(str(i), type=0, key=None)))
        assert sends(effects) in (["y"], [])


def test_a_live_list_older_than_the_saved_one_still_replaces_it(node, deployment, loop, executors):
    from marlseam.net.discovery import Discovery

    parts = executors()
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
    assert heard[-1].listing is Listing.CACHED and heard[-1].doubt == 0.6
    assert live.take({"seq": 3, "whole": True, "hosts": [row | {"host": "new"}]})
    assert set(live.held) == {"new"} and heard[-1].listing is Listing.FULL and heard[-1].doubt == 0.0


# What is not known, or cannot be put on record.


def answers(effects):
    return [type(e) for e in effects if type(e) in (core.Send, core.Defer, core.Abort)]


def retry(ref, type=1, key="k"):
    return core.Arrival(WorkUnit(ref, type, 1e6, receipt=key, repeat=True))


@pytest.mark.parametrize("type", [1, 2])
def test_a_retry_of_what_is_not_known_is_aborted_at_once_until_it_is_known(node, type):
    node(1.0, core.Untold("store"))
    # The old code took an empty memory for a true one, and sent it.
    assert answers(node(2.0, retry("1", type))) == [core.Abort]
    node(900000.0, core.Untold("store"))
    assert answers(node(900001.0, retry("2", type))) == [core.Abort]  # no time ends it while more may go out
    assert core.Send in answers(answered(node, 900002.0, node(900002.0, retry("3", type=0))))
    node(900003.0, core.Retold("store"))
    assert core.Send in answers(answered(node, 900004.0, node(900004.0, retry("4", type))))


def test_what_is_lost_binds_for_as_long_as_pods_remember_and_each_source_for_itself(node):
    node(1.0, core.Untold("store", 1.0))
    node(1.0, core.Untold("process", 500.0))
    assert answers(node(4990.0, retry("1"))) == [core.Abort]
    node(4991.0, core.Retold("store"))
    assert answers(node(5400.0, retry("2"))) == [core.Abort]
    assert core.Send in answers(answered(node, 5501.0, node(5501.0, unit("3", expires=9000.0))))
    assert not node.core.untold_still()


def test_a_deferral_promises_nothing_past_the_pods_memory(make, unit):
    from dataclasses import replace

    from conftest import RECEIPTED

    from marlseam.interface import Group

    wide = replace(RECEIPTED, group=Group.ALL)
    node = make(0.0, 0.0, types=(*SETTINGS.types[:1], wide))
    wu = unit(node, type=1, allocs=((0, Outcome.BROKEN),))
    assert wu.may_defer()
    node.port.clock += wide.memory_ms - node.rest_ms / 2.0  # it would come back to a pod that has forgotten
    assert not wu.may_defer()


def test_what_cannot_be_put_on_record_is_answered_at_once_and_the_rest_served(node):
    def work(ref, type, key="k"):
        return core.Arrival(WorkUnit(ref, type, 5000.0, receipt=key, kept=False))

    (refused,) = [e for e in node(1.0, work("1", 1)) if answers([e])]
    assert type(refused) is core.Defer and refused.advice_ms > 0.0  # nothing of it ran
    assert core.Send in answers(answered(node, 2.0, node(2.0, work("2", 0))))
    assert core.Send in answers(answered(node, 3.0, node(3.0, work("3", 2, key=None))))
    node(4.0, core.Recalled({"old": [Trace("a", 0, 1, 0.0, 9000.0)]}))
    assert answers(node(5.0, work("4", 1, key="old"))) == [core.Abort]


def test_a_sending_whose_record_was_not_kept_never_ran_and_nothing_follows_it(node):
    (first,) = sends(answered(node, 1.0, node(1.0, unit("1"))))
    effects = node(2.0, core.Unkept("1", 0))
    assert [type(e) for e in effects if type(e) is not core.Timer] == [core.Forget, core.Defer]
    assert not node.core.receipts.known("k", 3.0) and "1" not in node.core.open


def test_what_is_recalled_late_stands_before_what_was_noted_meanwhile():
    receipts = Receipts(10)
    receipts.note("a", Trace("g", 0, 0, 10.0, 60.0))
    receipts.note("b", Trace("h", 0, 0, 10.0, 70.0))
    receipts.recall({"a": [Trace("e", 0, 0, 0.0, 50.0)], "c": [Trace("f", 0, 0, 1.0, 40.0)]})
    assert [t.executor for t in receipts.known("a", 20.0)] == ["e", "g"]
    assert receipts.expire(45.0) == ["c"] and receipts.expire(65.0) == ["a"] and receipts.known("b", 65.0)
