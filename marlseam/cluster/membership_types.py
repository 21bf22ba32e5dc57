"""What the membership state machine returns, and what it holds of members and probes; times in ms."""

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
    """A member has another status, or another process uses its name."""

    name: str
    state: MemberState


class DuplicateMember(NamedTuple):
    """Two processes use one member's name: one whose name another had taken over was heard again."""

    name: str
    generation: int


Effect = SendDatagram | MemberChanged | DuplicateMember


@dataclass(slots=True)
class Member:
    """What is held of one other member.

    Attributes:
        state: the greatest state heard, None if none was.
        since_ms: when that state was taken over.
        last_datagram_ms: when its last datagram came, -inf if none did.
        suspected_by: who suspects it, in the order heard; the values mean nothing.
        suspicion_ends_ms: when its suspicion times out, inf if it is not suspected.
        former_generation: of the process that used its name before, `NO_GENERATION` if none did.
    """

    state: MemberState | None = None
    since_ms: float = 0.0
    last_datagram_ms: float = -inf
    suspected_by: dict[str, None] = field(default_factory=dict)
    suspicion_ends_ms: float = inf
    former_generation: int = NO_GENERATION

    @property
    def is_alive(self) -> bool:
        """Return whether the member counts as alive; a suspected one does."""
        return self.state is not None and self.state.status <= MemberStatus.SUSPECT

    def state_as(self, status: MemberStatus) -> MemberState:
        """Return the state that is held, with another status; some state has to be held."""
        assert self.state is not None
        return MemberState(self.state.incarnation, self.state.generation, status)


@dataclass(slots=True)
class PendingProbe:
    """A ping that has no answer yet, sent for this member itself or for another.

    Attributes:
        name: the member that was pinged.
        times_out_ms: when the probe counts as missed.
        indirect_ms: when others are asked to probe, inf once they are or if nobody is to be.
        requester: the member that asked for this probe, empty if it is our own.
        requester_sequence: the number under which it asked.
        awaited_nacks: helpers that have not said yet that they have no answer either.
    """

    name: str
    times_out_ms: float
    indirect_ms: float = inf
    requester: str = ""
    requester_sequence: int = 0
    awaited_nacks: int = 0
