"""Decides whether a node may serve, given the version it holds, the proof of that version, and its faults."""

from math import inf
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from marlseam.cluster.replication.replica import ConfigReplica

RECOVERY_PERIODS = 2.0  # protocol periods without a fault until a node that left service serves again


class ServingStatus(NamedTuple):
    """Whether this node may serve, whether its version is proven to be in force, and a code for its fault."""

    is_serving: bool
    is_proven: bool
    code: str = ""


class ServingRule:
    """Decides whether a node may serve; a policy apart from agreement. Times in ms by the replica's clock.

    Attributes:
        status: the result of the last evaluation.
        started_ms: when the replica started.
        recovered_ms: since when the node has been without fault; inf while it has one.
        applied_proof_ms: as of when the version applied was proven to be in force, if the version held is
            unusable.
        highest_known_number: the highest version number known from other members.
        behind_since_ms: since when that number is above the version held; inf if it never was.

    """

    def __init__(self, replica: "ConfigReplica", now: float) -> None:
        """Start out of service, with the code `joining`."""
        self.replica = replica
        self.status = ServingStatus(False, False, "joining")
        self.started_ms, self.recovered_ms = now, now
        self.applied_proof_ms = -inf
        self.highest_known_number, self.behind_since_ms = 0, inf

    def note_known_number(self, now: float, number: int) -> None:
        """Record that another member holds a version above the one held here."""
        if number > self.highest_known_number:
            is_behind = self.highest_known_number > self.replica.number
            self.behind_since_ms = min(self.behind_since_ms, now) if is_behind else now
            self.highest_known_number = number

    def fault_code(self, now: float) -> str:
        """Return the code of the fault for which this node must not serve, or "" if it has none."""
        replica = self.replica
        if replica.operator_override is not None:
            return "hand"
        if replica.disk_fault:
            return "disk"
        if replica.name not in replica.members:
            return "removed"
        if replica.unusable_reason:
            return self.unusable_code(now)
        if self.highest_known_number > replica.number and now >= self.behind_since_ms + self.lease_ms():
            return "behind"
        return self.unproven_code(now)

    def lease_ms(self) -> float:
        """Return how long a proof is valid on this member, in ms of its own clock."""
        return self.replica.lease.staggered_lease_ms()

    def unusable_code(self, now: float) -> str:
        """Return the code of a node that cannot use the version held, or "" while it may serve without it."""
        if self.replica.settings.strict:
            # Not at once: strict nodes leave service one after another, each at the end of its own lease.
            return "unfit" if now >= self.applied_proof_ms + self.lease_ms() else ""
        return "" if self.is_majority_unable(now) else "unfit"

    def unproven_code(self, now: float) -> str:
        """Return the code of a node without a proof, or "" while it has a proof or may serve without one."""
        settings, lease = self.replica.settings, self.replica.lease
        if lease.is_proven(now):
            return ""
        never_proven = lease.proven_at_ms == -inf
        if never_proven and (settings.strict or now < self.started_ms + settings.lease_ms):
            return "joining"
        since = self.started_ms if never_proven else lease.proven_at_ms
        return "unproved" if settings.strict or now >= since + self.max_unproven_ms() else ""

    def max_unproven_ms(self) -> float:
        """Return how long this node, if not strict, continues to serve without a proof, in ms."""
        return self.replica.settings.serve_ms * self.replica.lease.staggered_share()

    def is_majority_unable(self, now: float) -> bool:
        """Return whether fewer than half of the recently seen members, with this one, can use the version.

        Guards against all nodes leaving service at once when most of them cannot use a version.
        """
        since = now - self.replica.settings.lease_ms
        recent = [peer for peer in self.replica.peers.values() if peer.at_ms >= since]
        able = sum(peer.serving and peer.acting >= self.replica.number for peer in recent)
        return 2 * able < len(recent) + 1

    def evaluate(self, now: float) -> ServingStatus:
        """Evaluate and return the serving status.

        A node that left service returns only after `RECOVERY_PERIODS` without a fault.
        """
        code = self.fault_code(now)
        if code:
            self.recovered_ms = inf
        elif self.recovered_ms == inf:
            self.recovered_ms = now
        if code or not self.may_resume(now):
            self.status = ServingStatus(False, False, code or self.status.code)
        elif self.replica.unusable_reason:
            self.status = ServingStatus(True, False, "unfit")
        else:
            is_proven = self.replica.lease.is_proven(now)
            self.status = ServingStatus(True, is_proven, "" if is_proven else "unproved")
        return self.status

    def may_resume(self, now: float) -> bool:
        """Return whether a node without a fault may serve: it serves already, never did, or has recovered."""
        if self.status.is_serving or self.status.code == "joining":
            return True
        return now >= self.recovered_ms + RECOVERY_PERIODS * self.replica.settings.period_ms

    def next_change_ms(self, now: float) -> float:
        """Return when the status may change next if no message is received, in ms; inf if it does not."""
        settings, lease = self.replica.settings, self.replica.lease
        times = [
            lease.expires_ms(),
            lease.proven_at_ms + self.max_unproven_ms(),
            self.started_ms + settings.lease_ms,
            self.started_ms + self.max_unproven_ms(),
            self.applied_proof_ms + self.lease_ms(),
            self.behind_since_ms + self.lease_ms(),
            self.recovered_ms + RECOVERY_PERIODS * settings.period_ms,
        ]
        return min([time for time in times if time > now], default=inf)
