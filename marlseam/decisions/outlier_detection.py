"""Outlier detection: failing servers are ejected for a time, then on trial with one request at a time.

The outcomes of attempts feed a sequential likelihood-ratio test for each server: the hypothesis of a failure
share of `OUTLIER_FAILURE_SHARE` against the share that is usual for the request class.
"""

from math import inf

from marlseam.decisions.slow_start import SlowStart
from marlseam.decisions.types import Attempt, EndpointState

OUTLIER_FAILURE_SHARE = 0.5  # share of requests that fails on an outlier
LOG_LIKELIHOOD_THRESHOLD = 4.0  # log-likelihood ratio from which a server counts as an outlier
EJECTION_BASE_IN_DEADLINES = 0.05  # duration of the first ejection, in shortest deadlines of a request class
MAX_EJECTION_IN_BASES = 8.0  # longest ejection, in durations of the first one


class OutlierDetection(SlowStart):
    """Ejects and readmits servers."""

    def is_avoided(self, server: int) -> bool:
        """Return whether nothing is sent to a server now.

        The server is not ready, or ejected, or on trial with an attempt in flight, or has not answered a
        probe within the probe wait. An unresponsive server on trial is not avoided: it is probed when drawn.
        """
        now, until_ms = self.port.now(), self.ejected_until_ms[server]
        if self.endpoint_state[server] is not EndpointState.READY:
            return True
        probe_sent_ms = self.probe_sent_ms[server]
        if probe_sent_ms is not None and now - probe_sent_ms > self.probe_wait_ms:
            return True  # the link may be cut, the machine down or the process paused
        if until_ms is None:
            return False
        return now < until_ms or bool(self.trial_attempts(server) and not self.is_unresponsive[server])

    def is_usable(self, server: int) -> bool:
        """Return whether a server is not avoided and has slow start budget left."""
        return not self.is_avoided(server) and self.has_budget(server)

    def record_outcome(self, server: int, log_likelihood_ratio: float) -> None:
        """Add the log-likelihood ratio of an outcome to a server's test; eject it at the threshold."""
        self.log_likelihood_ratio[server] = max(0.0, self.log_likelihood_ratio[server] + log_likelihood_ratio)
        if self.log_likelihood_ratio[server] >= LOG_LIKELIHOOD_THRESHOLD:
            self.eject(server, "failed outcomes")

    def trial_attempts(self, server: int) -> list[Attempt]:
        """Return this node's attempts in flight at a server that were sent after its last ejection ended.

        Guards a recovered server against being judged by older attempts that stay silent.
        """
        since_ms = self.ejected_until_ms[server] or -inf
        return [
            state.attempts[index]
            for state, index in self.own_attempts[server]
            if state.attempts[index].sent_ms >= since_ms
        ]

    def eject(self, server: int, reason: str) -> None:
        """Send nothing to a server for a time that doubles with each ejection in a row, up to a maximum.

        After that time the server is on trial, with one attempt of this node at a time, until it is
        readmitted. A call for a server that is ejected at the time has no effect.
        """
        now, until_ms = self.port.now(), self.ejected_until_ms[server]
        if until_ms is not None and now < until_ms:
            return
        count, for_ms = len(self.own_attempts[server]), self.ejection_ms[server]
        self.port.log(f"server {server} ejected for {for_ms:.0f} ms: {reason}, {count} attempts in flight")
        self.subtract_from_sums(server)  # an ejected server counts in no sum until it is readmitted
        if server in self.in_use_though_removed:
            del self.in_use_though_removed[server]
            self.endpoint_state[server] = EndpointState.GONE
        self.ejected_until_ms[server] = now + self.ejection_ms[server]
        self.schedule_check(server)
        max_ejection_ms = MAX_EJECTION_IN_BASES * self.ejection_base_ms
        self.ejection_ms[server] = min(2.0 * self.ejection_ms[server], max_ejection_ms)
        self.log_likelihood_ratio[server] = LOG_LIKELIHOOD_THRESHOLD / 2.0

    def readmit(self, server: int) -> None:
        """End a server's ejection and its trial."""
        self.subtract_from_sums(server)  # without effect if the server was ejected
        self.ejected_until_ms[server] = None
        self.ejection_ms[server], self.is_unresponsive[server] = self.ejection_base_ms, False
        self.add_to_sums(server)

    def schedule_check(self, server: int | None = None) -> None:
        """Schedule a periodic check, of the pending queue and of a server if one is given."""
        raise NotImplementedError
