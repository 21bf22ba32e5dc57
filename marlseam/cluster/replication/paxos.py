"""Agreement of the voters on the content of each version: one single-decree Paxos per number; pure.

Source: Lamport, "Paxos Made Simple", 2001. A ballot is (round, place): the place belongs to one process of
one proposer, so no two proposers share a ballot, and a restarted proposer does not reuse an earlier ballot
with another content. Promises and acceptances are durable before they are sent: `Acceptor.handle` returns the
state to be made durable together with the response, and the caller sends the response only once the state is
on disk. The voters of number n are those that version n - 1 names: a proposer for n must hold n - 1, and an
acceptor votes for n only while it holds n - 1 itself.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

Ballot = tuple[int, str]
NO_BALLOT: Ballot = (0, "")


class AcceptorState(NamedTuple):
    """The state of an acceptor for one number: the ballot promised, the ballot and the value accepted."""

    ballot: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: str = ""


class Prepare(NamedTuple):
    """Phase 1a: a proposer requests the promise to accept nothing under an earlier ballot."""

    number: int
    ballot: Ballot


class Promise(NamedTuple):
    """Phase 1b: a voter promises to accept nothing under an earlier ballot.

    Attributes:
        number, ballot: as in the `Prepare` answered.
        voter: name of the voter.
        accepted, value: the ballot and the value that the voter accepted last; `NO_BALLOT` and "" for none.

    """

    number: int
    ballot: Ballot
    voter: str
    accepted: Ballot
    value: str


class Accept(NamedTuple):
    """Phase 2a: a proposer requests that a value be accepted."""

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
    """A voter refuses a request, as it has promised the later ballot `promised`."""

    number: int
    ballot: Ballot
    promised: Ballot


Message = Prepare | Promise | Accept | Accepted | Refused


def majority(voters: frozenset[str]) -> int:
    """Return the size of a quorum, the smallest for which any two quorums have a voter in common."""
    return len(voters) // 2 + 1


class AcceptorDecision(NamedTuple):
    """The state to make durable, None if it does not change, and the response to send after that."""

    state: AcceptorState | None
    response: Promise | Accepted | Refused


class Acceptor:
    """The acceptor of one voter; `promises` is its state by number, recovered after a restart."""

    def __init__(self, name: str, promises: dict[int, AcceptorState]) -> None:
        """Start with the durable state."""
        self.name, self.promises = name, promises

    def handle(self, request: Prepare | Accept) -> AcceptorDecision:
        """Decide on a request, without changing the state: the caller passes the new one to `record`."""
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
    """The proposer of one number.

    Attributes:
        place: the part of its ballots that is unique to this process.
        number: the version number to agree on.
        value: the value it proposes; another proposer's value may be chosen instead.
        voters: the acceptors of the number.
        round: the last round that this process has begun for the number.
        is_open: whether responses to that round are still counted.
        promises: the promises received in that round, by voter.
        accepted_by: voters that have accepted in that round.
        requested_value: the value of the accept request of that round; None in phase 1.
        chosen: the value chosen; None until a quorum has accepted one.

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
        """The ballot of the current round."""
        return self.round, self.place

    def quorum_size(self) -> int:
        """Return how many voters must accept a value for it to be chosen."""
        return majority(self.voters)

    def begin_round(self, highest_known_round: int = 0) -> Prepare:
        """Begin a round later than `highest_known_round` and than any round that this process has begun."""
        self.round = max(self.round, highest_known_round) + 1
        self.is_open, self.promises, self.accepted_by, self.requested_value = True, {}, set(), None
        return Prepare(self.number, self.ballot)

    def handle(self, response: Message) -> Prepare | Accept | None:
        """Handle a response; return the request to send to all voters next, if any.

        Responses to another number or ballot, and those after the choice, are ignored.
        """
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
        """Count a promise; return the accept request once a quorum has promised."""
        if self.requested_value is not None:
            return None
        self.promises[promise.voter] = promise
        if len(self.promises) < self.quorum_size():
            return None
        latest = max(self.promises.values(), key=lambda found: found.accepted)
        # A value accepted under an earlier ballot may already be chosen, so it replaces this proposer's own.
        self.requested_value = latest.value if latest.accepted > NO_BALLOT else self.value
        return Accept(self.number, self.ballot, self.requested_value)

    def handle_accepted(self, accepted: Accepted) -> None:
        """Count an acceptance; the value is chosen once a quorum has accepted it."""
        self.accepted_by.add(accepted.voter)
        if len(self.accepted_by) >= self.quorum_size():
            self.chosen = accepted.value
