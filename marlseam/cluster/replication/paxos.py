"""How the voters of a version agree on the content of the next: one single-decree Paxos a number; pure.

Lamport 2001. A ballot is (round, proposer's place); a place belongs to one life of one process, so no two
proposers share one, and one that restarts begins none anew with another content. What an acceptor promises
or accepts is durable before it is said: `Acceptor.heard` returns the state to be kept beside what to say, and
the adapter says it only once that is on the disk. The voters of number n are those that the version n - 1
names: whoever asks for n must know n - 1, and an acceptor votes for n only while it holds n - 1 itself.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

Ballot = tuple[int, str]
NONE: Ballot = (0, "")


class AcceptorState(NamedTuple):
    """What an acceptor keeps for one number: the ballot that it promised, what it accepted under which."""

    ballot: Ballot = NONE
    accepted: Ballot = NONE
    value: str = ""


class Prepare(NamedTuple):
    """Will you take nothing under an earlier ballot?"""

    number: int
    ballot: Ballot


class Promise(NamedTuple):
    """I will not; this is what I have accepted."""

    number: int
    ballot: Ballot
    voter: str
    accepted: Ballot
    value: str


class Accept(NamedTuple):
    """Take this."""

    number: int
    ballot: Ballot
    value: str


class Accepted(NamedTuple):
    """I have taken this."""

    number: int
    ballot: Ballot
    voter: str
    value: str


class Refused(NamedTuple):
    """I have promised a later ballot."""

    number: int
    ballot: Ballot
    promised: Ballot


Message = Prepare | Promise | Accept | Accepted | Refused


def majority(voters: frozenset[str]) -> int:
    """Return how many of some voters any two such groups share one of."""
    return len(voters) // 2 + 1


class Acceptor:
    """One voter. `kept` is what its disk holds, by number; a restart begins with it."""

    def __init__(self, name: str, kept: dict[int, AcceptorState]) -> None:
        self.name, self.kept = name, kept

    def heard(self, message: Prepare | Accept) -> tuple[AcceptorState | None, Message]:
        """Return what must be durable first, or None where nothing changes, and what to say then."""
        number, ballot = message.number, message.ballot
        held = self.kept.get(number, AcceptorState())
        if ballot < held.ballot:
            return None, Refused(number, ballot, held.ballot)
        if type(message) is Prepare:
            new = held._replace(ballot=ballot)
            answer: Message = Promise(number, ballot, self.name, held.accepted, held.value)
        else:
            new = AcceptorState(ballot, ballot, message.value)
            answer = Accepted(number, ballot, self.name, message.value)
        return (None if new == held else new), answer

    def keep(self, number: int, promised: AcceptorState) -> None:
        """Note what is durable now."""
        self.kept[number] = promised


@dataclass
class Proposer:
    """Has one number agreed on; `value` is what it would like, what comes out may be another's."""

    place: str
    number: int
    value: str
    voters: frozenset[str]
    round: int = 0  # the last that this process has begun for the number
    open: bool = False  # whether answers to that round count
    promises: dict[str, Promise] = field(default_factory=dict)
    taken: set[str] = field(default_factory=set)
    asked: str | None = None  # what it has asked to accept in this round
    chosen: str | None = None

    @property
    def ballot(self) -> Ballot:
        """The present round's ballot."""
        return self.round, self.place

    def enough(self) -> int:
        """Return how many voters choose."""
        return majority(self.voters)

    def begin(self, past: int = 0) -> Prepare:
        """Begin a round, later than any heard of and than any that this process has begun."""
        self.round = max(self.round, past) + 1
        self.open, self.promises, self.taken, self.asked = True, {}, set(), None
        return Prepare(self.number, self.ballot)

    def heard(self, message: Promise | Accepted | Refused) -> Message | None:
        """Take in an answer; return what to say to all voters next, if anything."""
        if message.number != self.number or not self.open or self.chosen is not None:
            return None
        if type(message) is Refused:
            return self.begin(message.promised[0]) if message.ballot == self.ballot else None
        if message.voter not in self.voters or message.ballot != self.ballot:
            return None
        if type(message) is Promise:
            if self.asked is not None:
                return None
            self.promises[message.voter] = message
            if len(self.promises) < self.enough():
                return None
            latest = max(self.promises.values(), key=lambda p: p.accepted)
            # What may have been chosen before goes before what is liked now.
            self.asked = latest.value if latest.accepted > NONE else self.value
            return Accept(self.number, self.ballot, self.asked)
        self.taken.add(message.voter)
        if len(self.taken) >= self.enough():
            self.chosen = message.value
        return None
