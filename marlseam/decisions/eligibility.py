"""The rules of what may be attempted where, and how long a request may still wait."""

from marlseam.decisions.request_record import RequestRecord
from marlseam.decisions.types import Attempt, DeduplicationScope, Idempotency
from marlseam.recovery.saved_list import MAX_CERTAIN_DOUBT

RESERVED_RUN_SHARE = 0.3  # the run, in means of its class, that a wait must still leave time for


class Eligibility(RequestRecord):
    """The questions that must be answered with yes before a request is sent to a server."""

    def may_attempt(self) -> bool:
        """Return whether another attempt is allowed now, to some server at least.

        Not after the final answer or near the deadline, not past the maximum of attempts, and not while the
        request waits for its key. Where an attempt may have run, only a safe request is repeated freely, a
        keyed one while servers still drop its repeats, an unsafe one never.
        """
        dispatcher, now = self.dispatcher, self.dispatcher.port.now()
        sent = len(self.attempts) - len(self.request.prior_attempts)
        if self.is_closed or self.is_invalid or not self.has_turn:
            return False
        if sent >= min(self.max_attempts, dispatcher.settings.max_attempts):
            return False
        if now >= self.request.deadline_at_ms - dispatcher.deadline_margin_ms:
            return False
        may_have_run = self.attempts_that_may_have_run()
        if not may_have_run:
            return True
        if self.request_class.idempotency is Idempotency.UNSAFE or (
            self.in_flight_count() and not dispatcher.settings.may_hedge
        ):
            return False
        return self.request_class.idempotency is Idempotency.SAFE or self.is_remembered(may_have_run, now)

    def is_remembered(self, may_have_run: list[Attempt], at_ms: float) -> bool:
        """Return whether servers will still drop repeats of these attempts at a time `at` (ms)."""
        until_ms = may_have_run[0].sent_ms + self.request_class.deduplication_window_ms
        return at_ms < until_ms - self.dispatcher.deadline_margin_ms

    def is_eligible(self, server: int) -> bool:
        """Return whether a server may get this request at all.

        By its kind, by its slow start budget, by what was tried there before, and, where an attempt may have
        run, by whether the server drops the repeat.
        """
        dispatcher, may_have_run = self.dispatcher, self.attempts_that_may_have_run()
        if self.request_class.kind not in (-1, dispatcher.kind[server]):
            return False
        # Guards a server in slow start against one large request that would overload it.
        if not dispatcher.has_budget(server, dispatcher.relative_cost(self.request)):
            return False
        # An attempt of an earlier arrival does not exclude its server: that one is sure to drop the repeat.
        tried = may_have_run[len(self.request.prior_attempts) :]
        attempts_left = len(may_have_run) < dispatcher.settings.max_attempts
        if any(attempt.server == server and (attempt.outcome is None or attempts_left) for attempt in tried):
            return False
        # Guards against a server that has taken over another's address in a cached list.
        if (
            self.request_class.idempotency is not Idempotency.SAFE
            and dispatcher.identity_doubt[server] > MAX_CERTAIN_DOUBT
        ):
            return False
        return not may_have_run or self.is_in_deduplication_scope(server, may_have_run[0].server)

    def is_in_deduplication_scope(self, server: int, first_server: int) -> bool:
        """Return whether a server drops repeats of what `first_server` may have run, where that matters."""
        scope = self.request_class.deduplication_scope
        if self.request_class.idempotency is not Idempotency.KEYED or scope is DeduplicationScope.ALL:
            return True
        group = self.dispatcher.zone if scope is DeduplicationScope.ZONE else self.dispatcher.cell
        return group[server] == group[first_server]

    def meets_latency_objective(self, server: int) -> bool:
        """Return whether a server's queue leaves a chance to meet the latency objective.

        Guards against collapse under overload: where every count grows, so does the mean that the threshold
        follows, and requests queue up that will all be late.
        """
        dispatcher = self.dispatcher
        to_spare_ms = self.time_to_spare_ms(dispatcher.kind_pace[dispatcher.kind[server]])
        wait_ms = dispatcher.expected_wait_ms(server, self.request)
        return wait_ms <= min(to_spare_ms, dispatcher.max_queue_wait_ms)

    def has_free_slots(self, server: int) -> bool:
        """Return whether a server has the slots that the request takes free, as far as is known."""
        dispatcher = self.dispatcher
        occupied = dispatcher.count(server) + self.request.slots
        return occupied <= dispatcher.slot_count(server) and not dispatcher.at_capacity[server]

    def time_to_spare_ms(self, pace: float, run_share: float = RESERVED_RUN_SHARE) -> float:
        """Return how long the request may wait and meet its latency objective; below 0 if too late.

        `pace` is the server's run over the class's mean run, `run_share` the share of the run that must fit.
        """
        request, request_class = self.request, self.request_class
        run_ms = request.run_hint_ms or self.dispatcher.mean_run_ms[request.class_index]
        run_factor = max(0.0, request_class.objective_run_factor - pace)
        spare_ms = request_class.latency_objective_ms + run_factor * run_share * run_ms
        # Guards clients that give up early: where a mean run does not fit, a shorter one still may.
        spare_ms = min(spare_ms, request.deadline_at_ms - self.arrived_ms - run_share * run_ms * pace)
        return self.arrived_ms + spare_ms - self.dispatcher.port.now()

    def can_wait_for_affinity(self) -> bool:
        """Return whether there is time to wait for a server that likely holds the resource key."""
        return self.time_to_spare_ms(min(self.dispatcher.kind_pace)) > self.dispatcher.max_queue_wait_ms

    def may_reject_safely(self) -> bool:
        """Return whether a retry by the client does no harm."""
        may_have_run = self.attempts_that_may_have_run()
        if self.is_invalid:
            return False
        if self.request_class.idempotency is Idempotency.SAFE or not may_have_run:
            return True
        retry_ms = self.dispatcher.port.now() + self.dispatcher.ejection_base_ms
        return (
            self.request_class.idempotency is Idempotency.KEYED
            and self.request_class.deduplication_scope is DeduplicationScope.ALL
            and self.is_remembered(may_have_run, retry_ms)
        )
