"""Each run-time invariant is tripped by a planted defect, refused and counted, and quiet without one."""

from dataclasses import replace

import pytest

from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState, Idempotency, Outcome
from marlseam.net.invariants import Invariant, SendGuard, Violations
from marlseam.net.log import Log
from marlseam.net.protocol import ClientRequest

LEAVING_GRACE_MS = 2000.0


def job(type: int = 0) -> ClientRequest:
    return ClientRequest("id", "/statement", None, b"", type, "statement", LEAVING_GRACE_MS, 1.0)


def entry(name: str, state: EndpointState = EndpointState.READY) -> EndpointEntry:
    return EndpointEntry(name, state, 0, 0, 0, None)


class Guarded:
    """A guard whose request `r` is of a class with some effect, and the clock."""

    def __init__(
        self, deployment, effect: Idempotency = Idempotency.SAFE, budget: float = float("inf")
    ) -> None:
        types = tuple(
            replace(t, idempotency=effect, deduplication_window_ms=1000.0)
            for t in deployment.settings.request_classes
        )
        deployment = replace(
            deployment, settings=replace(deployment.settings, request_classes=types), grace_ms=400.0
        )
        self.violations = Violations(Log("test", lambda: 0.0))
        self.guard = SendGuard(self.violations, deployment, lambda name, type, slots: (budget, 1.0))
        self.attempts = 0
        self.guard.note_endpoints({"e1": entry("e1"), "e2": entry("e2")}, 0.0)
        self.guard.note_request("r", job(), LEAVING_GRACE_MS)

    def begins(self, now: float, server: str = "e1", told_ms: float | None = None) -> bool:
        self.attempts += 1
        told_ms = LEAVING_GRACE_MS - now if told_ms is None else told_ms
        return self.guard.admit("r", self.attempts, server, told_ms, now)

    def broke(self, promise: Invariant) -> bool:
        """Return whether this promise was broken once, and no other."""
        return self.violations.counts[promise] == 1 == self.violations.total()


@pytest.fixture
def guarded(deployment):
    return lambda *words, **named: Guarded(deployment, *words, **named)


def test_usual_attempts_break_nothing(guarded):
    one = guarded()
    assert one.begins(0.0)
    assert one.begins(10.0, "e2")
    one.guard.note_outcome("r", 1, Outcome.BROKEN)
    assert one.begins(20.0)
    one.guard.note_outcome("r", 2, Outcome.COMPLETED)
    one.guard.note_outcome("r", 3, Outcome.CANCELLED)
    one.guard.note_end("r", Invariant.AFTER_ANSWER, 30.0)
    assert not one.violations.total()
    assert not one.guard.requests


@pytest.mark.parametrize("out", [False, True], ids=["forgotten", "with one out"])
def test_an_attempt_after_the_answer_is_refused(guarded, out):
    one = guarded()
    if out:
        one.begins(0.0)
    one.guard.note_end("r", Invariant.AFTER_ANSWER, 10.0)
    assert not one.begins(20.0)
    assert one.broke(Invariant.AFTER_ANSWER)


def test_an_attempt_after_the_client_left_is_refused(guarded):
    one = guarded()
    one.begins(0.0)
    one.guard.note_end("r", Invariant.AFTER_LEAVING, 10.0)
    assert one.begins(100.0, "e2")
    assert not one.begins(111.0, "e2")
    assert one.broke(Invariant.AFTER_LEAVING)


@pytest.mark.parametrize("outcome", [None, Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.ERROR])
def test_an_unsafe_request_that_may_have_run_is_not_repeated(guarded, outcome):
    one = guarded(Idempotency.UNSAFE)
    one.begins(0.0)
    if outcome is not None:
        one.guard.note_outcome("r", 1, outcome)
    assert not one.begins(10.0, "e2")
    assert one.broke(Invariant.REPEAT)


@pytest.mark.parametrize("outcome", [Outcome.AT_CAPACITY, Outcome.UNREACHABLE, Outcome.CANCELLED_UNSENT])
def test_an_unsafe_request_that_never_ran_is_repeated(guarded, outcome):
    one = guarded(Idempotency.UNSAFE)
    one.begins(0.0)
    one.guard.note_outcome("r", 1, outcome)
    assert one.begins(10.0, "e2")
    assert not one.violations.total()


def test_a_keyed_request_is_not_repeated_after_its_window(guarded):
    one = guarded(Idempotency.KEYED)
    one.begins(0.0)
    one.guard.note_outcome("r", 1, Outcome.BROKEN)
    assert one.begins(900.0)
    one.guard.note_outcome("r", 2, Outcome.BROKEN)
    assert not one.begins(1001.0)
    assert one.broke(Invariant.REPEAT)


@pytest.mark.parametrize("how", ["drains", "left"])
def test_nothing_begins_after_the_grace_of_a_drain(guarded, how):
    one = guarded()
    held = (
        {"e1": entry("e1", EndpointState.DRAINING), "e2": entry("e2")}
        if how == "drains"
        else {"e2": entry("e2")}
    )
    one.guard.note_endpoints(held, 100.0)
    assert one.begins(450.0)
    assert one.begins(600.0, "e2")
    assert not one.begins(501.0)
    assert one.broke(Invariant.DRAIN)
    one.guard.note_endpoints({"e1": entry("e1"), "e2": entry("e2")}, 600.0)
    assert one.begins(700.0)


def test_no_more_time_is_told_than_the_client_has(guarded):
    one = guarded()
    assert one.begins(500.0, told_ms=1600.0)
    assert not one.begins(500.0, told_ms=1700.0)
    assert one.broke(Invariant.DEADLINE)


@pytest.mark.parametrize(("budget", "most"), [(4.0, 13), (36.0, 50)], ids=["small", "large"])
def test_one_node_alone_sends_no_more_than_a_whole_slow_start_budget(guarded, budget, most):
    one = guarded(budget=budget)
    assert all(one.begins(10.0) for _ in range(most))
    assert not one.begins(10.0)
    assert one.broke(Invariant.SLOW_START)
    assert one.begins(11.0 + one.guard.deployment.settings.overload_window_ms)


def test_a_second_answer_is_counted(guarded):
    one = guarded()
    one.begins(0.0)
    one.guard.note_end("r", Invariant.AFTER_ANSWER, 10.0)
    one.guard.note_end("r", Invariant.AFTER_ANSWER, 20.0)
    assert one.broke(Invariant.ONE_ANSWER)
