"""Outlier detection: servers that fail get nothing for a time, then one request at a time on trial.

Outcomes feed a sequential likelihood-ratio test for each server: a failure share of `OUTLIER_FAILURE_SHARE`
against the share that is usual for the request class.
"""

from math import inf

from marlseam.decisions.slow_start import SlowStart
from marlseam.decisions.types import Attempt, EndpointState

OUTLIER_FAILURE_SHARE = 0.5  # share of requests that fails on an outlier
LOG_LIKELIHOOD_THRESHOLD = 4.0  # log-likelihood ratio from which a server is taken for an outlier
EJECTION_BASE_IN_DEADLINES = 0.05  # first ejection, in deadlines of the request class with the shortest one
MAX_EJECTION_IN_BASES = 8.0  # longest ejection, in first ones


class OutlierDetection(SlowStart):
    """Ejects servers and admits them again."""

    def is_avoided(self, server: int) -> bool:
        """Return whether a server gets nothing now: not ready, ejected, or late with a probe's answer."""
        now, until_ms = self.port.now(), self.ejected_until_ms[server]
        if self.endpoint_state[server] is not EndpointState.READY:
            return True
        probe_sent_ms = self.probe_sent_ms[server]
        if probe_sent_ms is not None and now - probe_sent_ms > self.probe_wait_ms:
            return True  # a cut link, a machine gone silent, a long pause
        if until_ms is None:
            return False
        return now < until_ms or bool(self.trial_attempts(server) and not self.is_unresponsive[server])

    def is_usable(self, server: int) -> bool:
        """Return whether a server is not avoided and its slow start budget is not used up."""
        return not self.is_avoided(server) and self.has_budget(server)

    def record_outcome(self, server: int, log_likelihood_ratio: float) -> None:
        """Add an outcome to the sequential test on a server."""
        self.log_likelihood_ratio[server] = max(0.0, self.log_likelihood_ratio[server] + log_likelihood_ratio)
        if self.log_likelihood_ratio[server] >= LOG_LIKELIHOOD_THRESHOLD:
            self.eject(server, "failed outcomes")

    def trial_attempts(self, server: int) -> list[Attempt]:
        """Return our attempts at a server without those sent before the end of its last ejection.

        Guards a server that is well again against older attempts that stay silent.
        """
        since_ms = self.ejected_until_ms[server] or -inf
        return [
            state.attempts[index]
            for state, index in self.own_attempts[server]
            if state.attempts[index].sent_ms >= since_ms
        ]

    def eject(self, server: int, reason: str) -> None:
        """Send nothing to a server for a time that doubles with each ejection in a row.

        After that time it is on trial, with one attempt of ours at a time, until it is readmitted.
        """
        now, until_ms = self.port.now(), self.ejected_until_ms[server]
        if until_ms is not None and now < until_ms:
            return
        count, for_ms = len(self.own_attempts[server]), self.ejection_ms[server]
        self.port.log(f"server {server} ejected for {for_ms:.0f} ms: {reason}, {count} attempts of ours")
        self.subtract_from_sums(server)  # an ejected server counts in no sum, until it is readmitted
        if server in self.in_use_though_removed:
            del self.in_use_though_removed[server]
            self.endpoint_state[server] = EndpointState.GONE
        self.ejected_until_ms[server] = now + self.ejection_ms[server]
        self.schedule_check(server)
        max_ejection_ms = MAX_EJECTION_IN_BASES * self.ejection_base_ms
        self.ejection_ms[server] = min(2.0 * self.ejection_ms[server], max_ejection_ms)
        self.log_likelihood_ratio[server] = LOG_LIKELIHOOD_THRESHOLD / 2.0

    def readmit(self, server: int) -> None:
        """End a server's ejection, and its trial."""
        self.subtract_from_sums(server)  # it may not have been ejected: then it is counted anew
        self.ejected_until_ms[server] = None
        self.ejection_ms[server], self.is_unresponsive[server] = self.ejection_base_ms, False
        self.add_to_sums(server)

    def schedule_check(self, server: int | None = None) -> None:
        """Have a server, and the pending queue, looked at by the next periodic check."""
        raise NotImplementedError
