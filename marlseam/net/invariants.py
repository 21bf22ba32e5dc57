"""Invariants checked at run time, each in one place; a violating send is refused, each violation counted.

Decisions and adapters are meant to keep these invariants by themselves: a count above 0 shows a defect in one
of them. A violation costs one log line and one count, and never ends the process.
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import inf, sqrt
from typing import NamedTuple

from marlseam.configuration import Deployment
from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState, Idempotency, Outcome
from marlseam.net.log import Log
from marlseam.net.protocol import ClientRequest

LEAVING_GRACE_MS = 100.0  # after a client has left, how long an attempt at its request may still begin
DEADLINE_TOLERANCE_MS = 150.0  # by which the time left sent to a server may exceed what the client has left
MAX_DRAINING_SERVERS = 2000  # servers off the endpoint list whose drain start is remembered
MAX_ENDED_REQUESTS = 2000  # ended requests that are remembered
SMALL_SLOW_START_BUDGET = 30.0  # mean requests; a budget below it gets a larger relative margin


class Invariant(Enum):
    """An invariant; its value is its name in logs and counters."""

    AFTER_ANSWER = "no_attempt_after_final_answer"
    AFTER_LEAVING = "no_attempt_after_client_left"
    REPEAT = "no_repeat_of_what_may_have_run"
    DRAIN = "no_attempt_after_drain_grace"
    DEADLINE = "deadline_told_within_time_left"
    SLOW_START = "slow_start_budget"
    ONE_ANSWER = "one_final_answer"
    CLOSE = "no_close_over_unanswered_request"


class Violations:
    """Counts violated invariants by name."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.counts = dict.fromkeys(Invariant, 0)

    def note(self, invariant: Invariant, **ids: object) -> None:
        """Count a violation and log one line with its ids."""
        self.counts[invariant] += 1
        fields = " ".join(f"{name}={value}" for name, value in ids.items())
        self.log.line(f"invariant violated: {invariant.value} {fields}")

    def total(self) -> int:
        """Return the number of violations of all invariants."""
        return sum(self.counts.values())


@dataclass(slots=True)
class GuardedAttempt:
    """An attempt that was admitted right before its last byte was sent; `outcome` is None while in flight."""

    server: str
    begun_ms: float
    outcome: Outcome | None = None


@dataclass(slots=True)
class GuardedRequest:
    """What the guard records of a request until it has ended and has no attempt in flight."""

    client_request: ClientRequest
    deadline_at_ms: float
    attempts: dict[int, GuardedAttempt] = field(default_factory=dict)
    ended: Invariant | None = None  # the invariant that a further attempt would violate; None while open
    ended_ms: float = inf


class SlowStartSend(NamedTuple):
    """A send to a server in slow start: its start in ms of the loop's clock, its size in mean requests."""

    begun_ms: float
    size: float


NEVER_RAN = (Outcome.AT_CAPACITY, Outcome.UNREACHABLE, Outcome.CANCELLED_UNSENT)


class SendGuard:
    """Checks each attempt right before its last byte is sent, at which a server begins the request.

    `slow_start` takes a server, a request class and a number of slots. It returns the server's whole slow
    start budget in mean requests, inf where it is not in slow start, and the size of such a request.
    """

    def __init__(
        self,
        violations: Violations,
        deployment: Deployment,
        slow_start: Callable[[str, int, float], tuple[float, float]],
    ) -> None:
        self.violations, self.deployment, self.slow_start = violations, deployment, slow_start
        self.members: set[str] = set()
        self.requests: dict[str, GuardedRequest] = {}
        self.recently_ended: dict[str, Invariant] = {}  # of the last ended requests, what sends would violate
        self.draining_ms: dict[str, float] = {}  # when each server began to drain or left the list
        self.slow_start_sends: dict[str, deque[SlowStartSend]] = {}  # by server, within the overload window

    # Recording.

    def note_request(self, request_id: str, client_request: ClientRequest, deadline_at_ms: float) -> None:
        """Record a request before its first attempt; `deadline_at_ms` is by the loop's clock."""
        self.requests.setdefault(request_id, GuardedRequest(client_request, deadline_at_ms))

    def note_end(self, request_id: str, invariant: Invariant, now: float) -> None:
        """Record that a request was answered (AFTER_ANSWER) or that its client has left (AFTER_LEAVING)."""
        request = self.requests.get(request_id)
        if request is None:
            return
        if request.ended is Invariant.AFTER_ANSWER and invariant is Invariant.AFTER_ANSWER:
            self.violations.note(Invariant.ONE_ANSWER, request_id=request_id)
        if request.ended is None:
            request.ended, request.ended_ms = invariant, now
        self.forget(request_id, request)

    def note_outcome(self, request_id: str, attempt: int, outcome: Outcome) -> None:
        """Record the outcome of an attempt."""
        request = self.requests.get(request_id)
        if request is not None:
            if attempt in request.attempts:
                request.attempts[attempt].outcome = outcome
            self.forget(request_id, request)

    def forget(self, request_id: str, request: GuardedRequest) -> None:
        """Drop the record of a request that has ended and has no attempt in flight, but for its invariant."""
        if request.ended is not None and all(a.outcome is not None for a in request.attempts.values()):
            del self.requests[request_id]
            self.recently_ended[request_id] = request.ended
            if len(self.recently_ended) > MAX_ENDED_REQUESTS:
                del self.recently_ended[next(iter(self.recently_ended))]

    def note_endpoints(self, held: Mapping[str, EndpointEntry], now: float) -> None:
        """Update the drain starts from the endpoint list held now.

        A server that has left the list counts as draining, unless by the settings only draining excludes one.
        """
        gone = set() if self.deployment.settings.only_draining_excludes else self.members - held.keys()
        self.members = set(held)
        draining = {name for name, entry in held.items() if entry.state is not EndpointState.READY}
        for name in held.keys() - draining & self.draining_ms.keys():
            self.draining_ms.pop(name, None)
        for name in draining | gone:
            self.draining_ms.setdefault(name, now)
        if len(self.draining_ms) > MAX_DRAINING_SERVERS + len(held):
            self.draining_ms = {name: at for name, at in self.draining_ms.items() if name in held}

    # Checks.

    def admit(self, request_id: str, attempt: int, server: str, time_left_ms: float, now: float) -> bool:
        """Return whether an attempt may begin now, and record it; a violation is counted and refused."""
        request = self.requests.get(request_id)
        invariant = (
            self.recently_ended.get(request_id)
            if request is None
            else self.broken_invariant(request, server, time_left_ms, now)
        )
        if invariant is not None:
            self.violations.note(invariant, request_id=request_id, attempt=attempt, server=server)
            return False
        if request is not None:
            request.attempts[attempt] = GuardedAttempt(server, now)
        return True

    def broken_invariant(
        self, request: GuardedRequest, server: str, time_left_ms: float, now: float
    ) -> Invariant | None:
        """Return the invariant that an attempt would violate, or None."""
        if request.ended is Invariant.AFTER_ANSWER:
            return request.ended
        if request.ended is not None and now - request.ended_ms > LEAVING_GRACE_MS:
            return request.ended
        if time_left_ms > request.deadline_at_ms - now + DEADLINE_TOLERANCE_MS:
            return Invariant.DEADLINE
        drain_began_ms = self.draining_ms.get(server)
        if drain_began_ms is not None and now - drain_began_ms > self.deployment.grace_ms:
            return Invariant.DRAIN
        if self.is_repeat(request, now):
            return Invariant.REPEAT
        return Invariant.SLOW_START if self.is_over_budget(server, request.client_request, now) else None

    def is_repeat(self, request: GuardedRequest, now: float) -> bool:
        """Return whether an attempt may have run that forbids another one by the class's idempotency.

        An UNSAFE request is never repeated, a KEYED one only within the deduplication window of the first
        attempt that may have run.
        """
        ran = [a for a in request.attempts.values() if a.outcome not in NEVER_RAN]
        if not ran:
            return False
        request_class = self.deployment.settings.request_classes[request.client_request.class_index]
        if request_class.idempotency is Idempotency.UNSAFE:
            return True
        return (
            request_class.idempotency is Idempotency.KEYED
            and now > ran[0].begun_ms + request_class.deduplication_window_ms
        )

    def is_over_budget(self, server: str, client_request: ClientRequest, now: float) -> bool:
        """Return whether this node alone would exceed a server's slow start budget for all nodes.

        The sends within the overload window may exceed the budget b by 2 sqrt(b) + 2 mean requests, or by
        3 sqrt(b) + 3 where b is below SMALL_SLOW_START_BUDGET. An admitted send is recorded.
        """
        budget, size = self.slow_start(server, client_request.class_index, client_request.slots)
        if budget == inf:
            self.slow_start_sends.pop(server, None)
            return False
        sends = self.slow_start_sends.setdefault(server, deque())
        while sends and sends[0].begun_ms < now - self.deployment.settings.overload_window_ms:
            sends.popleft()
        factor = constant = 3.0 if budget < SMALL_SLOW_START_BUDGET else 2.0
        if sends and sum(send.size for send in sends) + size > budget + factor * sqrt(budget) + constant:
            return True
        sends.append(SlowStartSend(now, size))
        return False
