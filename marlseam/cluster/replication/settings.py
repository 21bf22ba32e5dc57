"""Settings of a replica."""

from typing import NamedTuple


class ReplicationSettings(NamedTuple):
    """The replication parameters of a node.

    voters: members that vote on version 1; each version names the voters on the next one.
    period_ms: time between two rounds of status requests, with a jitter of plus or minus a quarter.
    lease_ms: how long a proof is valid after the quorum read that gave it; an upper bound for all members,
        of which each uses its own share.
    strict: whether a node without a proof leaves service; if not, it continues to serve, marked as unproven.
    serve_ms: how long a node that is not strict continues to serve without a proof; an upper bound for all
        members, of which each uses its own share.
    """

    voters: frozenset[str]
    period_ms: float
    lease_ms: float
    strict: bool
    serve_ms: float
