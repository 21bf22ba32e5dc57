"""The reducer: events in, effects out, and what it holds in between."""

from dataclasses import replace

import pytest

from marlseam import core
from marlseam.core import Core, Entry
from marlseam.interface import Listing, Outcome, Report, State, WorkUnit


@pytest.fixture
def begun(deployment):
    """Return a reducer that has begun, with two executors just heard from."""
    made = Core()
    made.reduce(0.0, core.Begin(deployment.settings, 7))
    made.reduce(1.0, core.Roster(Listing.FULL, [entry("e1"), entry("e2")]))
    for name in ("e1", "e2"):
        made.reduce(1.0, core.Probed(name, Outcome.COMPLETED, 1.0, Report(queued=0.0, free_slots=4.0)))
    return made


def entry(name, state=State.READY):
    return Entry(name, state, 0, 0, 0, None)


def of(effects, kind):
    return [effect for effect in effects if type(effect) is kind]


def take(begun, ref="1", type=0, expires=5000.0):
    return begun.reduce(2.0, core.Arrival(WorkUnit(ref, type, expires)))


def end(ref, outcome, result=b""):
    return core.Settled(ref, 0, outcome, outcome is Outcome.COMPLETED, None, result)


def test_a_node_that_begins_asks_for_the_roster(deployment):
    effects = Core().reduce(0.0, core.Begin(deployment.settings, 7))
    assert of(effects, core.Watch) == [core.Watch()]  # its failure is told, and timed in test_logic


def test_an_arrival_is_sent_to_a_listed_executor(begun):
    (sent,) = of(take(begun), core.Send)
    assert (sent.ref, sent.alloc, sent.limit_ms) == ("1", 0, 4998.0) and sent.executor in ("e1", "e2")


def test_a_result_completes_the_work_unit(begun):
    take(begun)
    assert begun.reduce(9.0, end("1", Outcome.COMPLETED, b"x"))[0] == core.Complete("1", b"x")


def test_a_completed_work_unit_is_forgotten(begun):
    take(begun)
    begun.reduce(9.0, end("1", Outcome.COMPLETED))
    assert not begun.open


def test_a_result_after_the_answer_completes_nothing(begun):
    take(begun)
    begun.reduce(9.0, core.Left("1"))
    assert not of(begun.reduce(10.0, end("1", Outcome.COMPLETED)), core.Complete)


def test_a_client_that_goes_has_its_allocation_cancelled(begun):
    take(begun)
    assert begun.reduce(9.0, core.Left("1")) == [core.Cancel("1", 0)]


def test_exclusive_work_that_may_have_run_is_aborted_not_sent_again(begun):
    take(begun, type=1)
    assert begun.reduce(9.0, end("1", Outcome.BROKEN)) == [core.Abort("1")]


def test_exclusive_work_that_never_ran_is_sent_again(begun):
    take(begun, type=1)
    (sent,) = begun.reduce(9.0, end("1", Outcome.UNREACHABLE))
    assert (type(sent), sent.alloc) == (core.Send, 1)


@pytest.mark.parametrize(
    "event", [end("9", Outcome.ERROR), core.Started("9", 0), core.Left("9"), core.Due(99)]
)
def test_news_of_nothing_known_changes_nothing(begun, event):
    assert begun.reduce(9.0, event) == []


def test_a_timer_comes_back_once(begun):
    (timer,) = [t for t in of(take(begun), core.Timer) if t.delay_ms > 4000.0]
    begun.reduce(4990.0, core.Due(timer.mark))
    assert begun.reduce(4991.0, core.Due(timer.mark)) == []


def test_closing_answers_by_the_rules_what_is_open(begun):
    take(begun, "1", 0)
    take(begun, "2", 1)
    timer = of(begun.reduce(3.0, core.Closing(100.0)), core.Timer)[-1]
    effects = begun.reduce(103.0, core.Due(timer.mark))
    assert of(effects, core.Defer) == [core.Defer("1", 0.0)] and of(effects, core.Abort) == [
        core.Abort("2", out=(0,))  # of which nothing may have begun
    ]


def test_work_that_comes_while_closing_is_to_end_before_the_node(begun):
    begun.reduce(2.0, core.Closing(3000.0))
    assert [sent.limit_ms for sent in of(take(begun), core.Send)] == [3000.0]


def test_work_that_comes_after_closing_is_answered_at_once(begun):
    begun.reduce(-200.0, core.Closing(100.0))
    effects = take(begun)
    assert of(effects, core.Defer) and not of(effects, core.Send) and not begun.open


def test_an_executor_long_gone_is_forgotten(begun):
    begun.reduce(10.0, core.Roster(Listing.DELTA, [entry("e1", State.GONE)]))
    begun.reduce(1e6, core.Roster(Listing.DELTA, []))
    assert list(begun.index) == ["e2"]


def test_an_executor_gone_with_work_of_ours_out_is_kept(begun):
    (sent,) = of(take(begun, type=1), core.Send)
    begun.reduce(10.0, core.Roster(Listing.FULL, []))
    begun.reduce(1e6, core.Roster(Listing.FULL, []))
    assert list(begun.index) == [sent.executor]


def test_a_forgotten_executors_place_starts_afresh(begun):
    begun.node.full[begun.index["e1"]] = True
    begun.reduce(10.0, core.Roster(Listing.FULL, [entry("e2")]))
    begun.reduce(1e6, core.Roster(Listing.FULL, [entry("e2")]))
    begun.reduce(1e6, core.Roster(Listing.DELTA, [entry("e3")]))
    assert begun.index == {"e2": 1, "e3": 0} and not begun.node.full[0] and begun.node.others[0] is None


def test_equal_events_give_equal_effects(deployment):
    def play():
        made, effects = Core(), []
        effects += made.reduce(0.0, core.Begin(deployment.settings, 7))
        effects += made.reduce(1.0, core.Roster(Listing.FULL, [entry(f"e{i}") for i in range(9)]))
        for i in range(20):
            effects += made.reduce(2.0 + i, core.Arrival(WorkUnit(str(i), 0, 5000.0)))
        return effects

    assert play() == play()


def test_new_settings_keep_what_is_open_and_take_new_project_types(begun, deployment):
    take(begun)
    begun.node.run[0], begun.node.seen[0] = 77.0, begun.node.seen[0] + 1.0  # one was seen
    one, two = deployment.settings.types
    types = (one, replace(two, promised_ms=30.0), one)
    begun.reduce(3.0, core.Renewed(replace(deployment.settings, types=types, kinds=3, max_advice_ms=9.0)))
    assert begun.node.run[:2] == [77.0, 60.0]  # what is learned stays, a guess follows the settings
    assert of(take(begun, "2", type=2), core.Send)
    assert begun.reduce(9.0, end("1", Outcome.COMPLETED, b"x"))[0] == core.Complete("1", b"x")
    assert begun.node.members == [2, 0, 0, 0] and begun.node.set.max_advice_ms == 9.0


@pytest.mark.parametrize("alone", [False, True])
def test_one_long_off_the_list_leaves_the_sums_with_its_figures(begun, deployment, alone):
    # Where draining alone binds it is still in use then; forgotten so, it stayed in the sums for good.
    begun.reduce(2.0, core.Renewed(replace(deployment.settings, drain_binds_alone=alone)))
    for t in (3.0, 4.0 + core.FORGET * deployment.settings.must_ask_ms):
        begun.reduce(t, core.Roster(Listing.FULL, [entry("e1")]))
    node = begun.node
    assert list(begun.index) == ["e1"] and not node.unlisted
    assert (node.members[0], node.known[0]) == (1, 1)
