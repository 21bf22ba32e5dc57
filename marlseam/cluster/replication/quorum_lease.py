"""Proof that the version held is in force: quorum reads, and the lease that each of them gives.

A voter requests the status of all voters. Once a majority of them, each with a complete memory of its votes,
have answered that they accepted nothing above a number, no higher number was chosen at the time of the
request: any choice needs the vote of one of them. Other members adopt such a proof together with its age.

A proof is valid for a share of the setting `lease_ms` that differs by member, 50 to 100 %, less 0.2 % for the
drift of two clocks. The time is counted on the member's own clock from the request, or, for an adopted proof,
from the request less the proof's age.
"""

from dataclasses import dataclass, field
from math import ceil, inf, log10
from typing import TYPE_CHECKING
from zlib import crc32

from marlseam.cluster.audit_log import VotesExcluded
from marlseam.cluster.replication import paxos
from marlseam.cluster.replication.effects import Effect, LogLine, SendMessage
from marlseam.cluster.replication.messages import StatusRequest, StatusResponse

if TYPE_CHECKING:
    from marlseam.cluster.replication.replica import ConfigReplica

CLOCK_DRIFT_SHARE = 0.001  # highest deviation of a clock's rate, in either direction
MIN_LEASE_SHARE = 0.5  # share of the lease after which the first member without a proof leaves service
MAX_READS = 64  # number of latest quorum reads whose responses are still counted


@dataclass
class QuorumRead:
    """One round of status requests.

    Attributes:
        at_ms: when the requests were sent, by the replica's clock.
        number: the version held at that time.
        voters: the voters on the next version at that time.
        voters_without_later: voters that answered that they have accepted nothing above `number`.
        highest_promised: by voter, the highest number for which it has promised anything.

    """

    at_ms: float
    number: int
    voters: frozenset[str]
    voters_without_later: set[str] = field(default_factory=set)
    highest_promised: dict[str, int] = field(default_factory=dict)

    @property
    def has_quorum(self) -> bool:
        """Whether a majority of the voters have accepted nothing above `number`."""
        return len(self.voters_without_later) >= paxos.majority(self.voters)


class QuorumLease:
    """The proof that a replica has, and the quorum reads that renew it.

    Each member proves its version for itself: the lease has no single holder. A process may hand its proof
    over to another process of the same node. The consequences of a missing proof are decided in `serving`.

    Attributes:
        proven_at_ms: the latest time, by the replica's clock, at which no number above that of the version
            held had been chosen, as far as it is proven; -inf without any proof.
        stagger_position: when this member leaves service, among members whose proofs end together: from 0
            (first) to 1 (last); a hash of its name.
        last_sequence: the sequence number of the last quorum read. The first one differs by process: late
            responses to an earlier process of this member do not count for the reads of this one.
        reads: quorum reads whose responses are still counted, by sequence number.

    """

    def __init__(self, replica: "ConfigReplica", last_sequence: int = 0) -> None:
        """Start without a proof; quorum reads are numbered from after `last_sequence`."""
        self.replica = replica
        self.proven_at_ms = -inf
        self.stagger_position = crc32(replica.name.encode()) / 2.0**32
        self.last_sequence = last_sequence
        self.reads: dict[int, QuorumRead] = {}

    def staggered_share(self) -> float:
        """Return the share of a lease, or of the time to serve without a proof, that this member uses.

        It grows with `stagger_position` from `MIN_LEASE_SHARE` to 1. Guards against all members leaving
        service at once when the cluster has lost its voters: members leave one after another.
        """
        return MIN_LEASE_SHARE + (1.0 - MIN_LEASE_SHARE) * self.stagger_position

    def staggered_lease_ms(self) -> float:
        """Return how long a proof is valid on this member, in ms of its own clock."""
        return self.replica.settings.lease_ms * self.staggered_share() * (1.0 - 2.0 * CLOCK_DRIFT_SHARE)

    def expires_ms(self) -> float:
        """Return when the lease ends, in ms of this member's clock; -inf without any proof."""
        return self.proven_at_ms + self.staggered_lease_ms()

    def is_proven(self, now: float) -> bool:
        """Return whether the version applied is the one held and was proven in force within the lease."""
        return self.replica.applied_number == self.replica.number and now < self.expires_ms()

    def proof_age_ms(self, now: float) -> float:
        """Return an upper bound of the proof's age by any clock, in ms; -1 without any proof."""
        if self.proven_at_ms == -inf:
            return -1.0
        return max(0.0, now - self.proven_at_ms) * (1.0 + 2.0 * CLOCK_DRIFT_SHARE)

    def extend(self, proven_at_ms: float) -> None:
        """Adopt a proof as of `proven_at_ms` if it is newer than the current one."""
        self.proven_at_ms = max(self.proven_at_ms, proven_at_ms)

    def request_statuses(self, now: float) -> list[Effect]:
        """Begin a quorum read: request the status of some members, and on a voter of all other voters."""
        replica = self.replica
        # The number of members asked grows with the logarithm of the cluster size; a proof spreads in about
        # as many periods as the number of members has decimal digits.
        recipients = set(replica.sample_members(ceil(log10(1.0 + len(replica.other_members)))))
        if replica.name in replica.voters:
            recipients |= replica.voters - {replica.name}
        self.last_sequence += 1
        read = QuorumRead(now, replica.number, replica.voters)
        self.reads[self.last_sequence] = read
        self.reads.pop(self.last_sequence - MAX_READS, None)
        voter = replica.voter
        if voter.may_vote(replica.number + 1) and voter.highest_accepted() <= replica.number:
            read.voters_without_later.add(replica.name)
        self.renew(read)
        request = StatusRequest(self.last_sequence, replica.number)
        return [SendMessage(name, request) for name in sorted(recipients)]

    def renew(self, read: QuorumRead) -> None:
        """Extend the lease if a majority of the voters have accepted nothing above the number of the read."""
        if read.has_quorum and read.number <= self.replica.number:
            self.extend(read.at_ms)

    def receive_response(self, sender: str, status: StatusResponse) -> list[Effect]:
        """Count a response to a quorum read; the caller checks that the sender holds no later version."""
        read = self.reads.get(status.seq)
        if read is None:
            return []
        if status.age_ms >= 0.0:
            # The sender's proof: at that time nothing above the sender's number was chosen, so nothing above
            # this replica's number, which is no lower.
            self.extend(read.at_ms - status.age_ms)
        if sender not in read.voters or not status.votes:
            return []
        read.highest_promised[sender] = status.top
        if status.accepted <= read.number:
            read.voters_without_later.add(sender)
            self.renew(read)
        return self.exclude_forgotten_votes(read)

    def exclude_forgotten_votes(self, read: QuorumRead) -> list[Effect]:
        """Set the number up to which this node does not vote, if its memory of its votes is lost.

        A majority of the voters hold, or have promised for, the newest number chosen; this node may also have
        promised for the number after that one, so it is excluded too.
        """
        replica, voter = self.replica, self.replica.voter
        if voter.votes_excluded_up_to is not None or voter.is_memory_in_other_process:
            return []
        if read.number != replica.number or len(read.highest_promised) < paxos.majority(read.voters):
            return []
        excluded_up_to = max(*read.highest_promised.values(), replica.number) + 1

        def apply_exclusion(_now: float) -> list[Effect]:
            voter.votes_excluded_up_to = excluded_up_to
            first = excluded_up_to + 1
            return [
                LogLine(f"fleet: node votes again from version {first} on, memory of earlier votes is lost")
            ]

        return [replica.persist((VotesExcluded(excluded_up_to),), apply_exclusion)]
