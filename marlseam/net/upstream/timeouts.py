"""Time limits towards servers, each a share of a time that the settings hold."""

from dataclasses import dataclass
from math import inf
from typing import Self

from marlseam.configuration import Deployment

IDLE_TIMEOUT_SHARE = 0.7  # of the servers' keep-alive time: we close first, so that no request meets a close
PROBE_TIMEOUT_IN_OBJECTIVES = 2.0  # of the most urgent request class, as all `_IN_OBJECTIVES` here
ACCEPT_TIMEOUT_IN_OBJECTIVES = 1.0
ANSWER_END_TIMEOUT_IN_OBJECTIVES = 1.0
PROGRESS_GAP_IN_PERIODS = 2.5  # in the settings' progress periods


@dataclass(slots=True)
class UpstreamTimeouts:
    """Time limits towards servers, all in milliseconds.

    Attributes:
        idle_ms: after which an unused connection is closed.
        probe_ms: how long a health check may take in all.
        accept_ms: how long a server may take to say that it has a request.
        progress_gap_ms: how long it may say nothing of a request that has started; inf for no limit.
        answer_end_ms: how long the end of an answer may take after its last line.

    """

    idle_ms: float
    probe_ms: float
    accept_ms: float
    progress_gap_ms: float
    answer_end_ms: float

    @classmethod
    def from_deployment(cls, deployment: Deployment) -> Self:
        """Return the limits that a deployment's settings give."""
        urgent_ms = deployment.settings.shortest_objective_ms
        return cls(
            idle_ms=IDLE_TIMEOUT_SHARE * deployment.keepalive_ms,
            probe_ms=PROBE_TIMEOUT_IN_OBJECTIVES * urgent_ms,
            accept_ms=ACCEPT_TIMEOUT_IN_OBJECTIVES * urgent_ms,
            progress_gap_ms=PROGRESS_GAP_IN_PERIODS * deployment.settings.progress_period_ms or inf,
            answer_end_ms=ANSWER_END_TIMEOUT_IN_OBJECTIVES * urgent_ms,
        )
