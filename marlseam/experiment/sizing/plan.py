"""The size of a cluster that is planned for, and what one node may spend on control (docs/CAPACITY.md)."""

PLANNED_SERVERS = 21000
NODE_CORE_SHARE = 0.024
NODE_MEMORY_MB = 256.0
NODE_BYTES_PER_S = 6000.0
# A loop that is later than this acts for clients that have gone.
MAX_TURN_MS = 100.0
CHANGE_IN_FORCE_S = 13.0  # until a change of the configuration is in force on all nodes
SERVER_FAILURES_PER_DAY = 340.0
SERVER_RESTARTS_PER_DAY = 5100.0
SECONDS_PER_DAY = 86400.0
