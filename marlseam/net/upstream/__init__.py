"""The node's side towards servers: a connection pool, attempts and health checks.

`timeouts` derives all time limits from the settings, `pool` manages the connections, `attempts` carries out
attempts, `health_checks` requests load reports, and `client` combines these modules into the `Upstream` that
a node uses.
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
