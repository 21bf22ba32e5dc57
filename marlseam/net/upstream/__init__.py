"""The node's side towards servers: a connection pool, attempts and health checks, cut by duty.

`timeouts` derives every time limit from the settings, `pool` owns connections, `attempts` carries attempts
out, `health_checks` calls for load reports, and `client` joins them into the `Upstream` that a node holds.
"""

from marlseam.net.upstream.attempts import AttemptOrder, AttemptStamp, InFlightAttempt
from marlseam.net.upstream.client import Upstream
from marlseam.net.upstream.pool import ConnectionPool, ServerConnections
from marlseam.net.upstream.timeouts import (
    ACCEPT_TIMEOUT_IN_OBJECTIVES,
    PROBE_TIMEOUT_IN_OBJECTIVES,
    PROGRESS_GAP_IN_PERIODS,
    UpstreamTimeouts,
)

__all__ = [
    "ACCEPT_TIMEOUT_IN_OBJECTIVES",
    "PROBE_TIMEOUT_IN_OBJECTIVES",
    "PROGRESS_GAP_IN_PERIODS",
    "AttemptOrder",
    "AttemptStamp",
    "ConnectionPool",
    "InFlightAttempt",
    "ServerConnections",
    "Upstream",
    "UpstreamTimeouts",
]
