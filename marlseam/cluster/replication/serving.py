"""Whether a node may serve, given which version it holds, how that is proven, and its faults."""

from math import inf
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from marlseam.cluster.replication.replica import ConfigReplica

RECOVERY_PERIODS = 2.0  # for which a node must be without fault before it serves again


class ServingStatus(NamedTuple):
    """Whether this node may serve, whether its version is proven to be in force, and a code for any fault."""

    is_serving: bool
    is_proven: bool
    code: str = ""


class ServingRule:
    """Decides on service; a policy apart from the agreement.

    Attributes:
        status: as it was last evaluated.
        started_ms: when the replica began.
        recovered_ms: since when the node has been without fault; inf while it has one.
        applied_proof_ms: as of when the version acted on was in force, where the one held is unusable.
        highest_known_number: the highest version number heard of.
        behind_since_ms: since when that is above the version held; inf if it never was.

    """

    def __init__(self, replica: "ConfigReplica", now: float) -> None:
        """Begin out of service, as one that joins."""
        self.replica = replica
        self.status = ServingStatus(False, False, "joining")
        self.started_ms, self.recovered_ms = now, now
        self.applied_proof_ms = -inf
        self.highest_known_number, self.behind_since_ms = 0, inf

    def note_known_number(self, now: float, number: int) -> None:
        """Take in that a version above the one held exists."""
        if number > self.highest_known_number:
            is_behind = self.highest_known_number > self.replica.number
            self.behind_since_ms = min(self.behind_since_ms, now) if is_behind else now
            self.highest_known_number = number

    def fault_code(self, now: float) -> str:
        """Return why this node should not serve, as a code, or nothing."""
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
        """Return for how long a proof is good here."""
        return self.replica.lease.staggered_lease_ms()

    def unusable_code(self, now: float) -> str:
        """Return the code of a node that cannot use the version it holds, or nothing while it serves on."""
        if self.replica.settings.strict:
            # Not at once: by their own leases, one after another, where all are strict.
            return "unfit" if now >= self.applied_proof_ms + self.lease_ms() else ""
        return "" if self.is_among_most_unable(now) else "unfit"

    def unproven_code(self, now: float) -> str:
        """Return the code of a node without a proof, or nothing while it has one or may serve without."""
        settings, lease = self.replica.settings, self.replica.lease
        if lease.is_proven(now):
            return ""
        never_proven = lease.proven_at_ms == -inf
        if never_proven and (settings.strict or now < self.started_ms + settings.lease_ms):
            return "joining"
        since = self.started_ms if never_proven else lease.proven_at_ms
        return "unproved" if settings.strict or now >= since + self.max_unproven_ms() else ""

    def max_unproven_ms(self) -> float:
        """Return for how long a node that is not strict serves on without a proof."""
        return self.replica.settings.serve_ms * self.replica.lease.staggered_share()

    def is_among_most_unable(self, now: float) -> bool:
        """Return whether too few others act on the version held for this one to leave service.

        Guards a cluster of which most cannot use a version against shutting itself out in one stroke.
        """
        since = now - self.replica.settings.lease_ms
        recent = [peer for peer in self.replica.peers.values() if peer.at_ms >= since]
        able = sum(peer.serving and peer.acting >= self.replica.number for peer in recent)
        return 2 * able < len(recent) + 1

    def evaluate(self, now: float) -> ServingStatus:
        """Return whether it may serve now; once out it must be without fault for a while to come back."""
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
        """Return whether a node without fault serves on, serves for the first time, or comes back."""
        if self.status.is_serving or self.status.code == "joining":
            return True
        return now >= self.recovered_ms + RECOVERY_PERIODS * self.replica.settings.period_ms

    def next_change_ms(self, now: float) -> float:
        """Return until when the status as evaluated holds, if nothing is heard; inf for always."""
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
