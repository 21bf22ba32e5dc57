"""Effects of the membership state machine, and its records of members and probes; times in ms."""

from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from marlseam.cluster.membership_codec import Datagram, MemberState, MemberStatus

NO_GENERATION = -1


class SendDatagram(NamedTuple):
    """Send a datagram to a member."""

    to: str
    datagram: Datagram


class MemberChanged(NamedTuple):
    """The status of a member has changed, or another process uses its name."""

    name: str
    state: MemberState


class DuplicateMember(NamedTuple):
    """Two processes use the name of one member: the earlier of them sent again after another took its name.

    `generation` is that of the process that was received again.
    """

    name: str
    generation: int


Effect = SendDatagram | MemberChanged | DuplicateMember


@dataclass(slots=True)
class Member:
    """The view of one other member.

    Attributes:
        state: the greatest state received, None if none was.
        since_ms: when that state was adopted.
        last_datagram_ms: when its last datagram was received, -inf if none was.
        suspected_by: the members that suspect it, in the order received; an ordered set, the values are
            unused.
        suspicion_ends_ms: when its suspicion times out, inf if it is not suspected.
        former_generation: generation of the process that used its name before, `NO_GENERATION` if none did.
    """

    state: MemberState | None = None
    since_ms: float = 0.0
    last_datagram_ms: float = -inf
    suspected_by: dict[str, None] = field(default_factory=dict)
    suspicion_ends_ms: float = inf
    former_generation: int = NO_GENERATION

    @property
    def is_alive(self) -> bool:
        """Whether the member counts as alive; a suspected member does, one without a state does not."""
        return self.state is not None and self.state.status <= MemberStatus.SUSPECT

    def state_as(self, status: MemberStatus) -> MemberState:
        """Return the member's state with another status; requires that the member has a state."""
        assert self.state is not None
        return MemberState(self.state.incarnation, self.state.generation, status)


@dataclass(slots=True)
class PendingProbe:
    """An unanswered ping, sent on this member's own behalf or for a requester.

    Attributes:
        name: the member that was pinged.
        times_out_ms: when the probe counts as missed.
        indirect_ms: when indirect probes are requested; inf once they are, and for probes for a requester.
        requester: the member that requested this probe; empty for a probe of this member's own.
        requester_sequence: sequence number of the requester's probe.
        awaited_nacks: number of helpers that have not yet reported a missing answer with a nack.
    """

    name: str
    times_out_ms: float
    indirect_ms: float = inf
    requester: str = ""
    requester_sequence: int = 0
    awaited_nacks: int = 0
