"""Run-time invariants of attempts: each violation is refused and counted, and permitted attempts are not."""

from dataclasses import replace
from functools import partial

import pytest

from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState, Idempotency, Outcome
from marlseam.net.invariants import Invariant, SendGuard, Violations
from marlseam.net.log import Log
from marlseam.net.protocol import ClientRequest

TIME_LEFT_MS = 2000.0


def make_client_request() -> ClientRequest:
    return ClientRequest("id", "/statement", None, b"", 0, "statement", TIME_LEFT_MS, 1.0)


def make_entry(name: str, state: EndpointState = EndpointState.READY) -> EndpointEntry:
    return EndpointEntry(name, state, 0, 0, 0, None)


class GuardedRequest:
    """A guard with one open request, `r`.

    Attributes:
        violations: counts the violations of each invariant.
        guard: the guard under test.
        attempts: how many attempts were offered to the guard.

    """

    def __init__(
        self, deployment, idempotency: Idempotency = Idempotency.SAFE, budget: float = float("inf")
    ) -> None:
        request_classes = tuple(
            replace(request_class, idempotency=idempotency, deduplication_window_ms=1000.0)
            for request_class in deployment.settings.request_classes
        )
        settings = replace(deployment.settings, request_classes=request_classes)
        deployment = replace(deployment, settings=settings, grace_ms=400.0)
        self.violations = Violations(Log("test", lambda: 0.0))
        self.guard = SendGuard(
            self.violations, deployment, lambda _server, _class_index, _slots: (budget, 1.0)
        )
        self.attempts = 0
        self.guard.note_endpoints({"e1": make_entry("e1"), "e2": make_entry("e2")}, 0.0)
        self.guard.note_request("r", make_client_request(), TIME_LEFT_MS)

    def admits(self, now_ms: float, server: str = "e1", time_left_ms: float | None = None) -> bool:
        """Return whether an attempt may begin; it is sent with the true time left unless one is given."""
        self.attempts += 1
        time_left_ms = TIME_LEFT_MS - now_ms if time_left_ms is None else time_left_ms
        return self.guard.admit("r", self.attempts, server, time_left_ms, now_ms)

    def has_violated_only(self, invariant: Invariant) -> bool:
        """Return whether an invariant was violated exactly once, and no other one was."""
        return self.violations.counts[invariant] == 1 == self.violations.total()


@pytest.fixture
def make_guarded(deployment):
    """Return a maker of guards with one open request, of the test's deployment."""
    return partial(GuardedRequest, deployment)


def test_permitted_attempts_violate_no_invariant(make_guarded):
    request = make_guarded()
    assert request.admits(0.0)
    assert request.admits(10.0, "e2")
    request.guard.note_outcome("r", 1, Outcome.BROKEN)
    assert request.admits(20.0)
    request.guard.note_outcome("r", 2, Outcome.COMPLETED)
    request.guard.note_outcome("r", 3, Outcome.CANCELLED)
    request.guard.note_end("r", Invariant.AFTER_ANSWER, 30.0)
    assert not request.violations.total()
    assert not request.guard.requests


@pytest.mark.parametrize("has_attempt", [False, True], ids=["forgotten", "with an attempt in flight"])
def test_an_attempt_after_the_answer_is_refused(make_guarded, has_attempt):
    request = make_guarded()
    if has_attempt:
        request.admits(0.0)
    request.guard.note_end("r", Invariant.AFTER_ANSWER, 10.0)
    assert not request.admits(20.0)
    assert request.has_violated_only(Invariant.AFTER_ANSWER)


def test_an_attempt_after_the_client_disconnected_is_refused(make_guarded):
    request = make_guarded()
    request.admits(0.0)
    request.guard.note_end("r", Invariant.AFTER_LEAVING, 10.0)
    assert request.admits(100.0, "e2")
    assert not request.admits(111.0, "e2")
    assert request.has_violated_only(Invariant.AFTER_LEAVING)


@pytest.mark.parametrize("outcome", [None, Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.ERROR])
def test_an_unsafe_request_that_may_have_run_is_not_repeated(make_guarded, outcome):
    request = make_guarded(Idempotency.UNSAFE)
    request.admits(0.0)
    if outcome is not None:
        request.guard.note_outcome("r", 1, outcome)
    assert not request.admits(10.0, "e2")
    assert request.has_violated_only(Invariant.REPEAT)


@pytest.mark.parametrize("outcome", [Outcome.AT_CAPACITY, Outcome.UNREACHABLE, Outcome.CANCELLED_UNSENT])
def test_an_unsafe_request_that_never_ran_is_repeated(make_guarded, outcome):
    request = make_guarded(Idempotency.UNSAFE)
    request.admits(0.0)
    request.guard.note_outcome("r", 1, outcome)
    assert request.admits(10.0, "e2")
    assert not request.violations.total()


def test_a_keyed_request_is_not_repeated_after_its_window(make_guarded):
    request = make_guarded(Idempotency.KEYED)
    request.admits(0.0)
    request.guard.note_outcome("r", 1, Outcome.BROKEN)
    assert request.admits(900.0)
    request.guard.note_outcome("r", 2, Outcome.BROKEN)
    assert not request.admits(1001.0)
    assert request.has_violated_only(Invariant.REPEAT)


@pytest.mark.parametrize("is_listed", [True, False], ids=["drains", "left"])
def test_no_attempt_begins_after_the_grace_period_of_a_drain(make_guarded, is_listed):
    request = make_guarded()
    entries = {"e2": make_entry("e2")}
    if is_listed:
        entries["e1"] = make_entry("e1", EndpointState.DRAINING)
    request.guard.note_endpoints(entries, 100.0)
    assert request.admits(450.0)
    assert request.admits(600.0, "e2")
    assert not request.admits(501.0)
    assert request.has_violated_only(Invariant.DRAIN)
    request.guard.note_endpoints({"e1": make_entry("e1"), "e2": make_entry("e2")}, 600.0)
    assert request.admits(700.0)


def test_an_attempt_with_more_time_left_than_the_client_has_is_refused(make_guarded):
    request = make_guarded()
    assert request.admits(500.0, time_left_ms=1600.0)
    assert not request.admits(500.0, time_left_ms=1700.0)
    assert request.has_violated_only(Invariant.DEADLINE)


@pytest.mark.parametrize(("budget", "max_attempts"), [(4.0, 13), (36.0, 50)], ids=["small", "large"])
def test_a_node_sends_no_more_than_a_whole_slow_start_budget_and_its_margin(
    make_guarded, budget, max_attempts
):
    request = make_guarded(budget=budget)
    assert all(request.admits(10.0) for _ in range(max_attempts))
    assert not request.admits(10.0)
    assert request.has_violated_only(Invariant.SLOW_START)
    assert request.admits(11.0 + request.guard.deployment.settings.overload_window_ms)


def test_a_second_answer_is_counted(make_guarded):
    request = make_guarded()
    request.admits(0.0)
    request.guard.note_end("r", Invariant.AFTER_ANSWER, 10.0)
    request.guard.note_end("r", Invariant.AFTER_ANSWER, 20.0)
    assert request.has_violated_only(Invariant.ONE_ANSWER)
