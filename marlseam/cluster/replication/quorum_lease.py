"""Proof that the version held is in force: quorum reads, and the lease that each of them gives.

A voter asks all voters for their status. Once most of them, each with its memory of votes whole, have
answered that they accepted nothing above a number, no higher number was chosen when it asked: any choice
needs one of them. Other members take over such a proof with its age. A proof is good for a lease, counted on
one's own clock from when it was asked for.
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

CLOCK_DRIFT_SHARE = 0.001  # by which a clock may run fast or slow
MIN_LEASE_SHARE = 0.5  # of the lease, after which the first member without a proof leaves service
MAX_READS = 64  # quorum reads whose responses still count


@dataclass
class QuorumRead:
    """One round of status requests.

    Attributes:
        at_ms: when it was asked, by the replica's clock.
        number: the version held then.
        voters: who votes on the next version.
        voters_without_later: voters that have accepted nothing above `number`.
        highest_promised: the highest number of which each voter has promised anything.

    """

    at_ms: float
    number: int
    voters: frozenset[str]
    voters_without_later: set[str] = field(default_factory=set)
    highest_promised: dict[str, int] = field(default_factory=dict)

    @property
    def has_quorum(self) -> bool:
        """Whether most voters have accepted nothing above the number."""
        return len(self.voters_without_later) >= paxos.majority(self.voters)


class QuorumLease:
    """The proof that a replica has, and the quorum reads that renew it.

    Each member proves its version for itself: there is no one holder of a lease. A process of the same node
    may hand its proof on. What follows without a proof is said in `serving`.

    Attributes:
        proven_at_ms: as of when the version held was in force; -inf without any proof.
        stagger_share: this member's place, 0 to 1, between the first and the last that leave service.
        last_sequence: the sequence number of the last quorum read.
        reads: quorum reads whose responses still count, by sequence number.

    """

    def __init__(self, replica: "ConfigReplica") -> None:
        """Begin without a proof."""
        self.replica = replica
        self.proven_at_ms = -inf
        self.stagger_share = crc32(replica.name.encode()) / 2.0**32
        self.last_sequence = 0
        self.reads: dict[int, QuorumRead] = {}

    def staggered_share(self) -> float:
        """Return the share of a lease or of a time to serve that is this member's.

        Guards a cluster that has lost its voters against leaving in one stroke: members do so one by one.
        """
        return MIN_LEASE_SHARE + (1.0 - MIN_LEASE_SHARE) * self.stagger_share

    def staggered_lease_ms(self) -> float:
        """Return for how long a proof is good here, in ms of this clock."""
        return self.replica.settings.lease_ms * self.staggered_share() * (1.0 - 2.0 * CLOCK_DRIFT_SHARE)

    def expires_ms(self) -> float:
        """Return when the lease ends; -inf without any proof."""
        return self.proven_at_ms + self.staggered_lease_ms()

    def is_proven(self, now: float) -> bool:
        """Return whether the version acted on is known to be in force, or was within the lease."""
        return self.replica.applied_number == self.replica.number and now < self.expires_ms()

    def proof_age_ms(self, now: float) -> float:
        """Return an upper bound of the proof's age by any clock, in ms; -1 without any proof."""
        if self.proven_at_ms == -inf:
            return -1.0
        return max(0.0, now - self.proven_at_ms) * (1.0 + 2.0 * CLOCK_DRIFT_SHARE)

    def extend(self, proven_at_ms: float) -> None:
        """Take over a proof as of some time, if it is newer than the present one."""
        self.proven_at_ms = max(self.proven_at_ms, proven_at_ms)

    def request_statuses(self, now: float) -> list[Effect]:
        """Ask some members, and as a voter all voters, what they hold."""
        replica = self.replica
        # A proof spreads in about as many periods as the number of members has decimal digits: more are
        # asked in a larger cluster.
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
        """Take the responses of most voters, that nothing above the number was accepted, as a proof."""
        if read.has_quorum and read.number <= self.replica.number:
            self.extend(read.at_ms)

    def receive_response(self, sender: str, status: StatusResponse) -> list[Effect]:
        """Count a response to a quorum read, from a member that holds no later version than this one."""
        read = self.reads.get(status.seq)
        if read is None:
            return []
        if status.age_ms >= 0.0:
            # As of then nothing above the other's number was chosen, so nothing above this one's either.
            self.extend(read.at_ms - status.age_ms)
        if sender not in read.voters or not status.votes:
            return []
        read.highest_promised[sender] = status.top
        if status.accepted <= read.number:
            read.voters_without_later.add(sender)
            self.renew(read)
        return self.bar_forgotten_votes(read)

    def bar_forgotten_votes(self, read: QuorumRead) -> list[Effect]:
        """Set up to which number not to vote, where this node's memory of its votes is lost.

        It may have promised for the number after the newest chosen, which most of the others know of.
        """
        replica, voter = self.replica, self.replica.voter
        if voter.votes_excluded_up_to is not None or voter.memory_is_elsewhere:
            return []
        if read.number != replica.number or len(read.highest_promised) < paxos.majority(read.voters):
            return []
        excluded_up_to = max(*read.highest_promised.values(), replica.number) + 1

        def record_bar(_now: float) -> list[Effect]:
            voter.votes_excluded_up_to = excluded_up_to
            first = excluded_up_to + 1
            return [
                LogLine(f"fleet: votes again from version {first} on, its memory of earlier ones is lost")
            ]

        return [replica.persist((VotesExcluded(excluded_up_to),), record_bar)]
