"""Requests of one key one at a time: each hard case, any history, and that no idle key is held."""

from dataclasses import replace
from heapq import heappop, heappush

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marlseam import core
from marlseam.core import Reducer
from marlseam.core.invariants import check_reducer
from marlseam.decisions.types import EndpointState, ListUpdateKind, Outcome, Request
from tests.conftest import SAFE, SETTINGS, UNSAFE

ORDERED = replace(UNSAFE, ordered_by_key=True)
ORDERED_SAFE = replace(SAFE, ordered_by_key=True)
ORDERED_SETTINGS = replace(
    SETTINGS,
    request_classes=(ORDERED, ORDERED_SAFE, SAFE),
    key_gap_ms=50.0,
    subscribes_to_endpoints=False,
    may_probe=False,
)


class World:
    """A reducer in virtual time that notes sends, and what is broken of the order as the rule words it."""

    def __init__(self, rules=ORDERED_SETTINGS):
        self.core, self.clock, self.timers, self.sent, self.wrong = Reducer(), 1000.0, [], [], []
        self.keys, self.over, self.out, self.rests, self.ended = {}, {}, {}, {}, []
        self.post(core.NodeStarted(rules, 7))
        self.core.dispatcher.mean_run_ms = [50.0] * 3
        self.core.dispatcher.run_samples = [
            seen + 1.0 for seen in self.core.dispatcher.run_samples
        ]  # no guesses
        self.post(
            core.EndpointListUpdate(
                ListUpdateKind.FULL,
                [core.EndpointEntry(f"e{i}", EndpointState.READY, 0, 0, 0, None) for i in range(4)],
            )
        )

    def post(self, event):
        for effect in self.core.reduce(self.clock, event):
            if type(effect) is core.SetTimer:
                heappush(self.timers, (self.clock + effect.delay_ms, effect.timer_id))
            elif type(effect) is core.SendAttempt:
                self.sent.append(effect.request_id)
                key, before = self.keys.get(effect.request_id, (None, []))
                held = [r for r in before if not self.over[r] or self.out[r]]
                if held or any(self.rests.get(r, 0.0) > self.clock for r in before):
                    self.wrong.append((effect.request_id, held))
                self.out[effect.request_id].add(effect.attempt_index)
            elif type(effect) in (core.Reject, core.Fail, core.Respond):
                self.over[effect.request_id] = True
                self.ended.append((type(effect).__name__, effect.request_id))

    def take(self, request_id, key="k", type=0, limit=5000.0):
        if key is not None and type < 2:
            self.keys[request_id] = key, [r for r, (other, _) in self.keys.items() if other == key]
        self.over[request_id], self.out[request_id] = False, set()
        self.post(core.RequestArrived(Request(request_id, type, self.clock + limit, resource_key=key)))

    def settle(self, request_id, outcome=Outcome.COMPLETED):
        attempt_index = min(self.out[request_id])
        self.out[request_id].discard(attempt_index)
        if outcome in (Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED):
            self.rests[request_id] = self.clock + 50.0
        done = outcome is Outcome.COMPLETED
        self.over[request_id] = self.over[request_id] or done
        self.post(core.AttemptEnded(request_id, attempt_index, outcome, self.over[request_id], None))

    def wait(self, ms):
        until = self.clock + ms
        while self.timers and self.timers[0][0] <= until:
            at, mark = heappop(self.timers)
            self.clock = max(self.clock, at)
            self.post(core.TimerFired(mark))
        self.clock = until

    def queue_count(self):
        return len(self.core.dispatcher.key_queues)


@pytest.fixture
def world():
    return World()


def test_one_key_one_at_a_time_in_the_order_of_arrival_and_classes_share_keys(world):
    for request_id, type in (("a", 0), ("b", 1), ("c", 0)):
        world.take(request_id, type=type)
    world.take("other", key="x")
    world.take("free", key=None)
    world.take("plain", type=2)
    assert world.sent == ["a", "other", "free", "plain"]
    world.settle("a")
    world.settle("b")
    assert world.sent[4:] == ["b", "c"]


@pytest.mark.parametrize("outcome", [Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED])
def test_a_key_pauses_after_an_attempt_that_may_still_run(world, outcome):
    world.take("a")
    world.take("b")
    world.settle("a", outcome)
    world.wait(49.0)
    assert world.sent == ["a"]
    assert world.over["a"]
    world.wait(1.0)
    assert world.sent == ["a", "b"]


def test_the_first_is_answered_while_its_attempt_is_in_flight(world):
    world.take("a", limit=700.0)
    world.take("b", limit=3000.0)
    world.wait(699.0)
    assert world.over["a"]
    assert world.sent == ["a"]
    world.wait(30.0)
    world.settle("a", Outcome.CANCELLED)
    world.wait(50.0)
    assert world.sent == ["a", "b"] or world.over["b"]


def test_a_pause_past_the_next_ones_deadline_ends_it_in_time():
    world = World(replace(ORDERED_SETTINGS, key_gap_ms=900.0))
    world.take("a")
    world.take("b", limit=600.0)
    world.settle("a", Outcome.BROKEN)
    world.wait(600.0)
    assert ("Reject", "b") in world.ended
    assert world.sent == ["a"]
    world.wait(300.0)
    assert world.queue_count() == 0


@pytest.mark.parametrize(
    ("taken", "leaves", "sent"),
    [
        ("abc", "b", "ac"),  # a rejection from the middle
        (["a", "b", "c", "b again"], "", ["a", "b", "c", "b again"]),  # a retry goes to the back
    ],
)
def test_clients_that_leave_or_retry_keep_the_order(world, taken, leaves, sent):
    for request_id in taken:
        world.take(request_id)
    for request_id in leaves:
        world.post(core.ClientLeft(request_id))
        world.over[request_id] = True
    while out := [request_id for request_id, attempts in world.out.items() if attempts]:
        world.settle(out[0])
    assert world.sent == list(sent)
    assert not world.wrong


def test_a_queue_of_hundreds_ends_with_its_node_and_a_late_request_is_answered_at_once(world):
    for i in range(600):
        world.take(f"w{i}")
    assert 0 < len(world.ended) < 600
    assert world.sent == ["w0"]
    world.post(core.ShutdownBegun(10.0))
    world.wait(10.0)
    assert all(world.over.values())
    world.settle("w0", Outcome.CANCELLED)
    world.wait(50.0)
    assert world.queue_count() == 0
    assert not world.wrong


def test_a_reload_without_the_order_keeps_queues_and_one_with_it_orders_open_requests(world):
    world.take("a")
    world.take("b")
    world.post(core.SettingsChanged(replace(ORDERED_SETTINGS, request_classes=(UNSAFE, SAFE, SAFE))))
    assert world.sent == ["a"]
    world.keys.clear()
    world.take("c")
    world.take("d")
    assert world.sent == ["a", "c", "d"]
    world.wrong.clear()  # what was sent while no order was asked for
    world.post(core.SettingsChanged(ORDERED_SETTINGS))
    world.keys |= {"e": ("k", ["c", "d"])}
    world.over["e"], world.out["e"] = False, set()
    world.post(core.RequestArrived(Request("e", 0, world.clock + 5000.0, resource_key="k")))
    for request_id in "abcd":
        world.settle(request_id)
    assert world.sent == ["a", "c", "d", "b", "e"]
    assert not world.wrong


def test_no_queue_is_held_for_a_key_without_requests(world):
    for i in range(100_000):
        world.take(f"w{i}", key=f"k{i}", limit=300.0)
        if world.out[f"w{i}"]:
            world.settle(f"w{i}", Outcome.BROKEN if i % 100 == 0 else Outcome.COMPLETED)
        world.keys.clear()
        if i % 5000 == 0:
            world.wait(500.0)
    world.wait(500.0)
    assert world.queue_count() == 0
    assert not world.core.open_requests


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["take", "take", "settle", "wait", "left"]),
        st.integers(0, 5),
        st.sampled_from([o for o in Outcome if o is not Outcome.STALE_CONNECTION]),
    ),
    max_size=60,
)


@settings(max_examples=200, deadline=None)
@given(STEPS)
def test_over_any_history_the_order_holds_and_each_queue_ends(steps):
    world = World()
    for i, (what, n, outcome) in enumerate(steps):
        out = [request_id for request_id, attempts in world.out.items() if attempts]
        if what == "take":
            world.take(f"w{i}", key="kl"[n % 2], type=n % 3, limit=400.0 + 600.0 * n)
        elif what == "settle" and out:
            world.settle(out[n % len(out)], outcome)
        elif what == "wait":
            world.wait(40.0 * n)
        elif what == "left" and (alive := [r for r, over in world.over.items() if not over]):
            world.over[alive[n % len(alive)]] = True
            world.post(core.ClientLeft(alive[n % len(alive)]))
        check_reducer(world.core)
    while any(world.out.values()) or not all(world.over.values()):
        for request_id in [request_id for request_id, attempts in world.out.items() if attempts]:
            world.settle(request_id)
        world.wait(1000.0)
    world.wait(100.0)
    assert not world.wrong
    assert world.queue_count() == 0
