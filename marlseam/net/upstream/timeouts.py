"""Time limits towards servers, each a multiple of a time in the settings."""

from dataclasses import dataclass
from math import inf
from typing import Self

from marlseam.configuration import Deployment

# Share of the servers' keep-alive time. Guards requests against being sent on a connection that its server
# closes: the node closes idle connections first.
IDLE_TIMEOUT_SHARE = 0.7
# Times with the suffix _IN_OBJECTIVES: in latency objectives of the most urgent request class.
PROBE_TIMEOUT_IN_OBJECTIVES = 2.0
ACCEPT_TIMEOUT_IN_OBJECTIVES = 1.0
ANSWER_END_TIMEOUT_IN_OBJECTIVES = 1.0
PROGRESS_GAP_IN_PERIODS = 2.5  # number of the settings' progress periods


@dataclass(slots=True)
class UpstreamTimeouts:
    """Time limits towards servers, all in milliseconds.

    Attributes:
        idle_ms: idle time after which a connection is closed.
        probe_ms: limit on a whole health check.
        accept_ms: how long a server may take to begin its answer to a request.
        progress_gap_ms: how long a server may send nothing about a started request; inf for no limit.
        answer_end_ms: how long the end of an answer may take after its last line.

    """

    idle_ms: float
    probe_ms: float
    accept_ms: float
    progress_gap_ms: float
    answer_end_ms: float

    @classmethod
    def from_deployment(cls, deployment: Deployment) -> Self:
        """Return the time limits that follow from a deployment's settings."""
        urgent_ms = deployment.settings.shortest_objective_ms
        return cls(
            idle_ms=IDLE_TIMEOUT_SHARE * deployment.keepalive_ms,
            probe_ms=PROBE_TIMEOUT_IN_OBJECTIVES * urgent_ms,
            accept_ms=ACCEPT_TIMEOUT_IN_OBJECTIVES * urgent_ms,
            progress_gap_ms=PROGRESS_GAP_IN_PERIODS * deployment.settings.progress_period_ms or inf,
            answer_end_ms=ANSWER_END_TIMEOUT_IN_OBJECTIVES * urgent_ms,
        )
