"""Health checks: probes, outcomes of attempts, and detection of stalled attempts."""

from collections.abc import Callable
from math import inf, log

from marlseam.decisions.hedging import Hedging
from marlseam.decisions.outlier_detection import OUTLIER_FAILURE_SHARE
from marlseam.decisions.server_stats import HEALTHY_FAILURE_SHARE
from marlseam.decisions.types import Attempt, LoadReport, Outcome, TrackedRequest
from marlseam.recovery.saved_list import DOUBT_SHARE_AFTER_ANSWER

STALL_SILENCE_IN_PROGRESS_PERIODS = 2.2  # silence after which a started attempt counts as stalled


class ServerHealth(Hedging):
    """Updates load, ejections and readmissions from probes, outcomes of attempts and their absence."""

    def probe(self, server: int, on_answered: Callable[[int | None], None]) -> None:
        """Probe a server, or share the probe in flight; call `on_answered` with the server at its end."""
        self.probe_waiters[server].append(on_answered)
        if self.probe_sent_ms[server] is None:
            self.probe_sent_ms[server] = self.port.now()
            self.port.probe(server)

    def probe_ended(self, server: int, outcome: Outcome, lag_ms: float, report: LoadReport | None) -> None:
        """Apply the outcome of a probe; `lag_ms` is the age of its report."""
        self.probe_sent_ms[server] = None
        if outcome is Outcome.COMPLETED:
            self.last_report_ms[server] = self.port.now()
            self.identity_doubt[server] *= DOUBT_SHARE_AFTER_ANSWER  # some server answers at the address
            if self.is_unresponsive[server]:
                self.readmit(server)
            if report is not None:
                self.merge_report(server, report, self.port.now() - lag_ms)
        elif outcome in (Outcome.TIMED_OUT, Outcome.UNREACHABLE, Outcome.BROKEN):
            self.is_unresponsive[server] = True
            self.eject(server, "probe " + outcome.value)
            if outcome is not Outcome.BROKEN:
                # Guards against cancelling running attempts for one broken probe: they report their own end.
                self.retry_elsewhere(server)
        waiters, self.probe_waiters[server] = self.probe_waiters[server], []
        for on_answered in waiters:
            on_answered(server)

    def record_attempt_end(self, state: TrackedRequest, attempt: Attempt, report: LoadReport | None) -> None:
        """Update the health and load of a server from the outcome of an attempt there."""
        server, now, outcome = attempt.server, self.port.now(), attempt.outcome
        class_index = state.request.class_index
        if report is not None:
            self.merge_report(server, report, now)
        if outcome in (Outcome.COMPLETED, Outcome.ERROR, Outcome.AT_CAPACITY, Outcome.INVALID_REQUEST):
            self.last_response_ms[server] = now
        if outcome is Outcome.AT_CAPACITY:
            self.at_capacity[server] = True
            self.learn_wait(attempt, inf)
        elif outcome is Outcome.COMPLETED:
            if attempt.started_ms is not None:
                self.learn_run(state.request, server, now - attempt.started_ms)
            usual = self.learn_failure_share(class_index, False)
            self.record_outcome(server, log((1.0 - OUTLIER_FAILURE_SHARE) / (1.0 - usual)))
            if self.log_likelihood_ratio[server] <= 0.0 and self.ejected_until_ms[server] is not None:
                self.readmit(server)
        elif outcome is Outcome.ERROR:
            usual = self.learn_failure_share(class_index, True)
            self.record_outcome(server, log(OUTLIER_FAILURE_SHARE / usual))
        elif outcome in (Outcome.BROKEN, Outcome.TIMED_OUT):
            self.record_outcome(server, log(OUTLIER_FAILURE_SHARE / HEALTHY_FAILURE_SHARE))

    def detect_stall(self, server: int) -> bool:
        """Return whether an attempt at a server is stalled, i.e. silent for longer than allowed.

        Only silence counts, not slowness: under overload requests wait long at healthy servers. Also updates
        the distrust in reports from attempts that have waited longer than expected.
        """
        for attempt in self.trial_attempts(server):
            self.learn_overdue_wait(attempt)
            silent_ms = self.port.now() - max(self.last_response_ms[server], attempt.sent_ms)
            if 0.0 < self.max_silence_ms(attempt) < silent_ms:
                return True
        return False

    def learn_overdue_wait(self, attempt: Attempt) -> None:
        """Update the distrust in reports if an attempt has waited far longer than expected to start."""
        limit_ms = 4.0 * self.max_queue_wait_ms
        expected_ms = attempt.expected_wait_ms
        late_ms = limit_ms if expected_ms is None else expected_ms + self.max_queue_wait_ms
        if attempt.started_ms is None and self.port.now() - attempt.sent_ms > max(late_ms, limit_ms):
            self.learn_wait(attempt, inf)

    def max_silence_ms(self, attempt: Attempt) -> float:
        """Return how long (ms) a server may be silent about an attempt; 0 for no limit.

        An attempt that has not started may be waiting at the server, unless the server has reported all slots
        free since the attempt was sent.
        """
        if attempt.started_ms is not None:
            return STALL_SILENCE_IN_PROGRESS_PERIODS * self.settings.progress_period_ms
        server = attempt.server
        all_free = self.free_slots[server] + 0.5 >= self.slot_count(server)
        report_age_ms = self.refresh_period_ms * self.settings.reports_in_responses
        sampled_ms = self.last_report_ms[server] - report_age_ms
        seen_idle = all_free and sampled_ms > attempt.sent_ms + self.report_max_age_ms
        return 2.0 * self.report_max_age_ms if self.settings.reports_start and seen_idle else 0.0
