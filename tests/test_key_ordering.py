"""Requests of one resource key run one at a time: special cases, random histories, removal of idle keys."""

from dataclasses import replace
from heapq import heappop, heappush

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from settings_samples import SAFE, SETTINGS, UNSAFE

from marlseam import core
from marlseam.core import Reducer
from marlseam.core.invariants import check_reducer
from marlseam.decisions.types import EndpointState, ListUpdateKind, Outcome, Request

ORDERED = replace(UNSAFE, ordered_by_key=True)
ORDERED_SAFE = replace(SAFE, ordered_by_key=True)
ORDERED_SETTINGS = replace(
    SETTINGS,
    request_classes=(ORDERED, ORDERED_SAFE, SAFE),
    key_gap_ms=50.0,
    subscribes_to_endpoints=False,
    may_probe=False,
)


class OrderingSimulation:
    """A reducer in virtual time, with a check of the order of the requests of each resource key.

    Attributes:
        reducer: the reducer.
        now_ms: the virtual time.
        timers: a heap of pairs of the time when a timer fires and its id.
        sent: the request ids of all attempts in the order sent.
        violations: pairs of a request that was sent too early and the earlier requests that it had to follow.
        ordered_after: by request, its key and the earlier requests of that key.
        is_over: by request, whether it has its final answer or its client has left.
        in_flight: by request, the indices of its attempts in flight.
        paused_until_ms: by request, until when its key pauses since an attempt of the request may still run.
        answers: the final answers, as pairs of the name of the effect and the request.

    """

    def __init__(self, settings=ORDERED_SETTINGS):
        self.reducer, self.now_ms, self.timers = Reducer(), 1000.0, []
        self.sent, self.violations, self.answers = [], [], []
        self.ordered_after, self.is_over, self.in_flight, self.paused_until_ms = {}, {}, {}, {}
        self.post(core.NodeStarted(settings, 7))
        self.reducer.dispatcher.mean_run_ms = [50.0] * 3
        # One more sample than the initial guess counts for marks the means as measured.
        self.reducer.dispatcher.run_samples = [count + 1.0 for count in self.reducer.dispatcher.run_samples]
        entries = [core.EndpointEntry(f"e{i}", EndpointState.READY, 0, 0, 0, None) for i in range(4)]
        self.post(core.EndpointListUpdate(ListUpdateKind.FULL, entries))

    def post(self, event):
        """Pass an event to the reducer and record its effects."""
        for effect in self.reducer.reduce(self.now_ms, event):
            if type(effect) is core.SetTimer:
                heappush(self.timers, (self.now_ms + effect.delay_ms, effect.timer_id))
            elif type(effect) is core.SendAttempt:
                self.record_attempt(effect)
            elif type(effect) in (core.Reject, core.Fail, core.Respond):
                self.is_over[effect.request_id] = True
                self.answers.append((type(effect).__name__, effect.request_id))

    def take(self, request_id, key="k", class_index=0, deadline_ms=5000.0):
        """Pass the arrival of a request to the reducer."""
        if key is not None and class_index < 2:
            earlier = [other for other, (other_key, _) in self.ordered_after.items() if other_key == key]
            self.ordered_after[request_id] = key, earlier
        self.is_over[request_id], self.in_flight[request_id] = False, set()
        deadline_at_ms = self.now_ms + deadline_ms
        self.post(core.RequestArrived(Request(request_id, class_index, deadline_at_ms, resource_key=key)))

    def record_attempt(self, attempt):
        """Record an attempt, and a violation if an earlier request of its key is not over or pauses it."""
        self.sent.append(attempt.request_id)
        _, earlier = self.ordered_after.get(attempt.request_id, (None, []))
        unfinished = [
            request_id for request_id in earlier if not self.is_over[request_id] or self.in_flight[request_id]
        ]
        is_paused = any(self.paused_until_ms.get(request_id, 0.0) > self.now_ms for request_id in earlier)
        if unfinished or is_paused:
            self.violations.append((attempt.request_id, unfinished))
        self.in_flight[attempt.request_id].add(attempt.attempt_index)

    def end_attempt(self, request_id, outcome=Outcome.COMPLETED):
        """End the earliest attempt in flight of a request."""
        attempt_index = min(self.in_flight[request_id])
        self.in_flight[request_id].discard(attempt_index)
        if outcome in (Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED):
            self.paused_until_ms[request_id] = self.now_ms + 50.0
        self.is_over[request_id] = self.is_over[request_id] or outcome is Outcome.COMPLETED
        self.post(core.AttemptEnded(request_id, attempt_index, outcome, self.is_over[request_id], None))

    def wait(self, duration_ms):
        """Advance the time and fire the timers that are due."""
        end_ms = self.now_ms + duration_ms
        while self.timers and self.timers[0][0] <= end_ms:
            due_ms, timer_id = heappop(self.timers)
            self.now_ms = max(self.now_ms, due_ms)
            self.post(core.TimerFired(timer_id))
        self.now_ms = end_ms

    def requests_in_flight(self):
        """Return the requests with attempts in flight, in the order of their arrival."""
        return [request_id for request_id, attempts in self.in_flight.items() if attempts]

    def queue_count(self):
        """Return the number of key queues."""
        return len(self.reducer.dispatcher.key_queues)


@pytest.fixture
def simulation():
    return OrderingSimulation()


def test_requests_of_one_key_run_one_at_a_time_in_order_of_arrival_across_classes(simulation):
    for request_id, class_index in (("a", 0), ("b", 1), ("c", 0)):
        simulation.take(request_id, class_index=class_index)
    simulation.take("other", key="x")
    simulation.take("free", key=None)
    simulation.take("plain", class_index=2)
    assert simulation.sent == ["a", "other", "free", "plain"]
    simulation.end_attempt("a")
    simulation.end_attempt("b")
    assert simulation.sent[4:] == ["b", "c"]


@pytest.mark.parametrize("outcome", [Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED])
def test_a_key_pauses_after_an_attempt_that_may_still_run(simulation, outcome):
    simulation.take("a")
    simulation.take("b")
    simulation.end_attempt("a", outcome)
    simulation.wait(49.0)
    assert simulation.sent == ["a"]
    assert simulation.is_over["a"]
    simulation.wait(1.0)
    assert simulation.sent == ["a", "b"]


def test_the_first_request_is_answered_while_its_attempt_is_in_flight(simulation):
    simulation.take("a", deadline_ms=700.0)
    simulation.take("b", deadline_ms=3000.0)
    simulation.wait(699.0)
    assert simulation.is_over["a"]
    assert simulation.sent == ["a"]
    simulation.wait(30.0)
    simulation.end_attempt("a", Outcome.CANCELLED)
    simulation.wait(50.0)
    assert simulation.sent == ["a", "b"] or simulation.is_over["b"]


def test_a_pause_past_the_next_requests_deadline_rejects_it_in_time():
    simulation = OrderingSimulation(replace(ORDERED_SETTINGS, key_gap_ms=900.0))
    simulation.take("a")
    simulation.take("b", deadline_ms=600.0)
    simulation.end_attempt("a", Outcome.BROKEN)
    simulation.wait(600.0)
    assert ("Reject", "b") in simulation.answers
    assert simulation.sent == ["a"]
    simulation.wait(300.0)
    assert simulation.queue_count() == 0


@pytest.mark.parametrize(
    ("arriving", "disconnecting", "sent"),
    [
        ("abc", "b", "ac"),  # a client disconnects whose request is in the middle of the queue
        (["a", "b", "c", "b again"], "", ["a", "b", "c", "b again"]),  # a retry is appended to the queue
    ],
)
def test_clients_that_disconnect_or_retry_keep_the_order(simulation, arriving, disconnecting, sent):
    for request_id in arriving:
        simulation.take(request_id)
    for request_id in disconnecting:
        simulation.post(core.ClientLeft(request_id))
        simulation.is_over[request_id] = True
    while in_flight := simulation.requests_in_flight():
        simulation.end_attempt(in_flight[0])
    assert simulation.sent == list(sent)
    assert not simulation.violations


def test_a_long_queue_ends_at_shutdown_and_requests_without_time_to_spare_are_answered_at_once(simulation):
    for i in range(600):
        simulation.take(f"w{i}")
    assert 0 < len(simulation.answers) < 600
    assert simulation.sent == ["w0"]
    simulation.post(core.ShutdownBegun(10.0))
    simulation.wait(10.0)
    assert all(simulation.is_over.values())
    simulation.end_attempt("w0", Outcome.CANCELLED)
    simulation.wait(50.0)
    assert simulation.queue_count() == 0
    assert not simulation.violations


def test_a_reload_that_unsets_the_order_keeps_queues_and_one_that_sets_it_orders_open_requests(simulation):
    simulation.take("a")
    simulation.take("b")
    simulation.post(core.SettingsChanged(replace(ORDERED_SETTINGS, request_classes=(UNSAFE, SAFE, SAFE))))
    assert simulation.sent == ["a"]
    simulation.ordered_after.clear()
    simulation.take("c")
    simulation.take("d")
    assert simulation.sent == ["a", "c", "d"]
    simulation.violations.clear()  # those of attempts sent while the settings required no order
    simulation.post(core.SettingsChanged(ORDERED_SETTINGS))
    simulation.ordered_after |= {"e": ("k", ["c", "d"])}
    simulation.is_over["e"], simulation.in_flight["e"] = False, set()
    simulation.post(core.RequestArrived(Request("e", 0, simulation.now_ms + 5000.0, resource_key="k")))
    for request_id in "abcd":
        simulation.end_attempt(request_id)
    assert simulation.sent == ["a", "c", "d", "b", "e"]
    assert not simulation.violations


def test_no_queue_is_held_for_a_key_without_requests(simulation):
    for i in range(100_000):
        simulation.take(f"w{i}", key=f"k{i}", deadline_ms=300.0)
        if simulation.in_flight[f"w{i}"]:
            simulation.end_attempt(f"w{i}", Outcome.BROKEN if i % 100 == 0 else Outcome.COMPLETED)
        simulation.ordered_after.clear()
        if i % 5000 == 0:
            simulation.wait(500.0)
    simulation.wait(500.0)
    assert simulation.queue_count() == 0
    assert not simulation.reducer.open_requests


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["take", "take", "end_attempt", "wait", "disconnect"]),
        st.integers(0, 5),
        st.sampled_from([outcome for outcome in Outcome if outcome is not Outcome.STALE_CONNECTION]),
    ),
    max_size=60,
)


@settings(max_examples=200, deadline=None)
@given(STEPS)
def test_in_random_histories_the_order_holds_and_each_queue_ends(steps):
    simulation = OrderingSimulation()
    for i, (step, number, outcome) in enumerate(steps):
        in_flight = simulation.requests_in_flight()
        connected = [request_id for request_id, is_over in simulation.is_over.items() if not is_over]
        if step == "take":
            deadline_ms = 400.0 + 600.0 * number
            simulation.take(f"w{i}", key="kl"[number % 2], class_index=number % 3, deadline_ms=deadline_ms)
        elif step == "end_attempt" and in_flight:
            simulation.end_attempt(in_flight[number % len(in_flight)], outcome)
        elif step == "wait":
            simulation.wait(40.0 * number)
        elif step == "disconnect" and connected:
            request_id = connected[number % len(connected)]
            simulation.is_over[request_id] = True
            simulation.post(core.ClientLeft(request_id))
        check_reducer(simulation.reducer)
    while any(simulation.in_flight.values()) or not all(simulation.is_over.values()):
        for request_id in simulation.requests_in_flight():
            simulation.end_attempt(request_id)
        simulation.wait(1000.0)
    simulation.wait(100.0)
    assert not simulation.violations
    assert simulation.queue_count() == 0
