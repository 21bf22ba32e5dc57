"""Rules for whether and where a request may be attempted, and how long it may still wait."""

from marlseam.decisions.request_record import RequestRecord
from marlseam.decisions.types import Attempt, DeduplicationScope, Idempotency
from marlseam.recovery.saved_list import MAX_CERTAIN_DOUBT

RESERVED_RUN_SHARE = 0.3  # part of its class's mean run that must still fit after a request's wait


class Eligibility(RequestRecord):
    """The conditions that must all hold before a request is sent to a server."""

    def may_attempt(self) -> bool:
        """Return whether another attempt, to any server, is allowed now.

        No attempt is allowed after the final answer, within the margin before the deadline, past the maximum
        number of attempts, or while the request waits for its turn in its key queue. Where an attempt may
        have run, a safe request may always be repeated, a keyed one while servers still drop repeats, and
        an unsafe one never. An attempt beside one in flight requires that the settings allow hedging.
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
        """Return whether servers will still drop repeats of these attempts at the time `at_ms`."""
        until_ms = may_have_run[0].sent_ms + self.request_class.deduplication_window_ms
        return at_ms < until_ms - self.dispatcher.deadline_margin_ms

    def is_eligible(self, server: int) -> bool:
        """Return whether this request may be sent to a server at all.

        Checks the server's kind, its slow start budget, earlier attempts there, the doubt about its identity
        and, where an attempt may have run, whether the server drops the repeat.
        """
        dispatcher, may_have_run = self.dispatcher, self.attempts_that_may_have_run()
        if self.request_class.kind not in (-1, dispatcher.kind[server]):
            return False
        # Guards against overload of a server in slow start by one large request.
        if not dispatcher.has_budget(server, dispatcher.relative_cost(self.request)):
            return False
        # An attempt of an earlier arrival does not exclude its server, which is certain to drop the repeat.
        tried = may_have_run[len(self.request.prior_attempts) :]
        attempts_left = len(may_have_run) < dispatcher.settings.max_attempts
        if any(attempt.server == server and (attempt.outcome is None or attempts_left) for attempt in tried):
            return False
        # Guards against a cached list in which another server has taken over this server's address.
        if (
            self.request_class.idempotency is not Idempotency.SAFE
            and dispatcher.identity_doubt[server] > MAX_CERTAIN_DOUBT
        ):
            return False
        return not may_have_run or self.is_in_deduplication_scope(server, may_have_run[0].server)

    def is_in_deduplication_scope(self, server: int, first_server: int) -> bool:
        """Return whether a server drops repeats of what `first_server` may have run.

        True for requests that are not keyed, which have no deduplication scope.
        """
        scope = self.request_class.deduplication_scope
        if self.request_class.idempotency is not Idempotency.KEYED or scope is DeduplicationScope.ALL:
            return True
        group = self.dispatcher.zone if scope is DeduplicationScope.ZONE else self.dispatcher.cell
        return group[server] == group[first_server]

    def meets_latency_objective(self, server: int) -> bool:
        """Return whether the expected wait at a server allows the request to meet its latency objective.

        Guards against collapse under overload: where the counts of all servers grow, so does the mean from
        which the threshold is computed, and requests would queue at servers until all of them are late.
        """
        dispatcher = self.dispatcher
        to_spare_ms = self.time_to_spare_ms(dispatcher.kind_pace[dispatcher.kind[server]])
        wait_ms = dispatcher.expected_wait_ms(server, self.request)
        return wait_ms <= min(to_spare_ms, dispatcher.max_queue_wait_ms)

    def has_free_slots(self, server: int) -> bool:
        """Return whether, by its estimated count, a server has as many free slots as the request takes."""
        dispatcher = self.dispatcher
        occupied = dispatcher.count(server) + self.request.slots
        return occupied <= dispatcher.slot_count(server) and not dispatcher.at_capacity[server]

    def time_to_spare_ms(self, pace: float, run_share: float = RESERVED_RUN_SHARE) -> float:
        """Return how long (ms) the request may wait and meet its latency objective; below 0 if too late.

        `pace` is the ratio of the run at the server to the class's mean run, `run_share` the share of the run
        for which time must be left.
        """
        request, request_class = self.request, self.request_class
        run_ms = request.run_hint_ms or self.dispatcher.mean_run_ms[request.class_index]
        run_factor = max(0.0, request_class.objective_run_factor - pace)
        spare_ms = request_class.latency_objective_ms + run_factor * run_share * run_ms
        # For clients with a short deadline: where a mean run does not fit before it, a shorter one may.
        spare_ms = min(spare_ms, request.deadline_at_ms - self.arrived_ms - run_share * run_ms * pace)
        return self.arrived_ms + spare_ms - self.dispatcher.port.now()

    def can_wait_for_affinity(self) -> bool:
        """Return whether there is time to wait for a server that is likely to hold the key's resource."""
        return self.time_to_spare_ms(min(self.dispatcher.kind_pace)) > self.dispatcher.max_queue_wait_ms

    def may_reject_safely(self) -> bool:
        """Return whether the request may be rejected, since a retry by the client would do no harm."""
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
