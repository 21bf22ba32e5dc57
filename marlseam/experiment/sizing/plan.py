"""The planned size of a cluster, and the bounds on what one node spends on control (docs/CAPACITY.md)."""

PLANNED_SERVERS = 21000
NODE_CORE_SHARE = 0.024
NODE_MEMORY_MB = 256.0
NODE_BYTES_PER_S = 6000.0
# An event loop that is later than this handles requests whose clients have already disconnected.
MAX_TURN_MS = 100.0
CHANGE_IN_FORCE_S = 13.0  # longest time from a configuration change's request until all nodes apply it
SERVER_FAILURES_PER_DAY = 340.0
SERVER_RESTARTS_PER_DAY = 5100.0
SECONDS_PER_DAY = 86400.0
