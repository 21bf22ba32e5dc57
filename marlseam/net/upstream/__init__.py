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

# The earlier names of these, for modules that have not been renamed yet.
TAKE_SHARE = ACCEPT_TIMEOUT_IN_OBJECTIVES
PROBE_SHARE = PROBE_TIMEOUT_IN_OBJECTIVES
GAP_PERIODS = PROGRESS_GAP_IN_PERIODS

__all__ = [
    "GAP_PERIODS",
    "PROBE_SHARE",
    "TAKE_SHARE",
    "AttemptOrder",
    "AttemptStamp",
    "ConnectionPool",
    "InFlightAttempt",
    "ServerConnections",
    "Upstream",
    "UpstreamTimeouts",
]
