"""How the voters of a version agree on the content of the next: one single-decree Paxos a number; pure.

Lamport 2001. A ballot is (round, place): the place belongs to one process of one proposer, so no two
proposers share one, and one that restarts begins no earlier ballot anew with another content. What an
acceptor promises or accepts is durable before it is sent: `Acceptor.handle` returns the state to be made
durable beside the response, and the caller sends it only once that is on the disk. The voters of number n are
those that version n - 1 names: whoever asks for n must know n - 1, and an acceptor votes for n only while it
holds n - 1 itself.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

Ballot = tuple[int, str]
NO_BALLOT: Ballot = (0, "")


class AcceptorState(NamedTuple):
    """What an acceptor keeps for one number: the ballot promised, and what it accepted under which ballot."""

    ballot: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: str = ""


class Prepare(NamedTuple):
    """Phase 1a: a proposer asks for the promise to accept nothing under an earlier ballot."""

    number: int
    ballot: Ballot


class Promise(NamedTuple):
    """Phase 1b: a voter promises that, and tells what it has accepted, under which ballot."""

    number: int
    ballot: Ballot
    voter: str
    accepted: Ballot
    value: str


class Accept(NamedTuple):
    """Phase 2a: a proposer asks for a value to be accepted."""

    number: int
    ballot: Ballot
    value: str


class Accepted(NamedTuple):
    """Phase 2b: a voter has accepted a value."""

    number: int
    ballot: Ballot
    voter: str
    value: str


class Refused(NamedTuple):
    """A voter has promised a later ballot than the one of the request."""

    number: int
    ballot: Ballot
    promised: Ballot


Message = Prepare | Promise | Accept | Accepted | Refused


def majority(voters: frozenset[str]) -> int:
    """Return the size of a quorum: any two groups of so many voters share one."""
    return len(voters) // 2 + 1


class AcceptorDecision(NamedTuple):
    """The state to be made durable, None where nothing changes, and the response to be sent then."""

    state: AcceptorState | None
    response: Promise | Accepted | Refused


class Acceptor:
    """One voter; `promises` is its state by number, which a restart begins with."""

    def __init__(self, name: str, promises: dict[int, AcceptorState]) -> None:
        """Begin with what is durable."""
        self.name, self.promises = name, promises

    def handle(self, request: Prepare | Accept) -> AcceptorDecision:
        """Decide on a request; the state changes only once it is recorded."""
        number, ballot = request.number, request.ballot
        current = self.promises.get(number, AcceptorState())
        if ballot < current.ballot:
            return AcceptorDecision(None, Refused(number, ballot, current.ballot))
        response: Promise | Accepted
        if isinstance(request, Prepare):
            state = current._replace(ballot=ballot)
            response = Promise(number, ballot, self.name, current.accepted, current.value)
        else:
            state = AcceptorState(ballot, ballot, request.value)
            response = Accepted(number, ballot, self.name, request.value)
        return AcceptorDecision(None if state == current else state, response)

    def record(self, number: int, state: AcceptorState) -> None:
        """Set the state for a number."""
        self.promises[number] = state


@dataclass
class Proposer:
    """Has one number agreed on.

    Attributes:
        place: this proposer's own in ballots.
        number: what is agreed on.
        value: what it would like; what is chosen may be another's.
        voters: the acceptors of the number.
        round: the last that this process has begun for the number.
        is_open: whether responses to that round still count.
        promises: the promises of that round, by voter.
        accepted_by: voters that have accepted in that round.
        requested_value: what it has asked to accept in that round, if it has come so far.
        chosen: the value chosen, once a quorum has accepted it.

    """

    place: str
    number: int
    value: str
    voters: frozenset[str]
    round: int = 0
    is_open: bool = False
    promises: dict[str, Promise] = field(default_factory=dict)
    accepted_by: set[str] = field(default_factory=set)
    requested_value: str | None = None
    chosen: str | None = None

    @property
    def ballot(self) -> Ballot:
        """The present round's ballot."""
        return self.round, self.place

    def quorum_size(self) -> int:
        """Return how many voters choose a value."""
        return majority(self.voters)

    def begin_round(self, highest_known_round: int = 0) -> Prepare:
        """Begin a round, later than any heard of and than any that this process has begun."""
        self.round = max(self.round, highest_known_round) + 1
        self.is_open, self.promises, self.accepted_by, self.requested_value = True, {}, set(), None
        return Prepare(self.number, self.ballot)

    def handle(self, response: Message) -> Prepare | Accept | None:
        """Take in a response; return the request to send to all voters next, if any."""
        if response.number != self.number or not self.is_open or self.chosen is not None:
            return None
        if response.ballot != self.ballot:
            return None
        match response:
            case Refused():
                return self.begin_round(response.promised[0])
            case Promise() if response.voter in self.voters:
                return self.handle_promise(response)
            case Accepted() if response.voter in self.voters:
                self.handle_accepted(response)
        return None

    def handle_promise(self, promise: Promise) -> Accept | None:
        """Count a promise; return the request to accept once a quorum has promised."""
        if self.requested_value is not None:
            return None
        self.promises[promise.voter] = promise
        if len(self.promises) < self.quorum_size():
            return None
        latest = max(self.promises.values(), key=lambda found: found.accepted)
        # What may have been chosen before goes before what is wanted now.
        self.requested_value = latest.value if latest.accepted > NO_BALLOT else self.value
        return Accept(self.number, self.ballot, self.requested_value)

    def handle_accepted(self, accepted: Accepted) -> None:
        """Count an acceptance; the value is chosen once a quorum has accepted it."""
        self.accepted_by.add(accepted.voter)
        if len(self.accepted_by) >= self.quorum_size():
            self.chosen = accepted.value
