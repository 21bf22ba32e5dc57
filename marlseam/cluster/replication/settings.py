"""Settings of a replica."""

from typing import NamedTuple


class ReplicationSettings(NamedTuple):
    """What the node's settings say of replication.

    voters: who votes on version 1; later voters are named by each version for the next.
    period_ms: between two rounds of status requests, plus or minus a quarter.
    lease_ms: how long after a quorum read its result may be relied on; the longest over all members.
    strict: whether a node without a proof leaves service. Otherwise it serves on, marked as unproven.
    serve_ms: how long a node that is not strict serves on without a proof; the longest over all members.
    """

    voters: frozenset[str]
    period_ms: float
    lease_ms: float
    strict: bool
    serve_ms: float
