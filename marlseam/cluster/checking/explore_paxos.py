"""Explores every interleaving of Paxos and of quorum reads in a small system.

The system has three voters, two operators that publish, and one node that runs a quorum read; with crashes, a
voter's memory lost or set back, and messages lost, repeated or late.

A message that was sent may arrive at any time, any number of times or never, so the network is the set of all
messages ever sent. A state consists of the contents of disks and processes, and of that set; each state is
visited once, up to a depth. A step is taken by one process: receive one message, begin a round, use the
promises of some majority, crash, restart, ask the voters whether anything is accepted, answer that. A state
is broken if two contents are chosen, or if the quorum read proves that nothing was chosen when it began
although something was. The names of steps determine the order of random walks.
"""

import enum
from collections.abc import Callable, Iterator
from itertools import combinations
from typing import NamedTuple

from marlseam.cluster.checking import search
from marlseam.cluster.checking.search import Explored
from marlseam.cluster.replication.paxos import (
    NO_BALLOT,
    Accept,
    Accepted,
    Acceptor,
    AcceptorState,
    Ballot,
    Message,
    Prepare,
    Promise,
    Proposer,
    majority,
)

NUMBER = 2  # the version number to agree on


class ProofRequest(enum.IntEnum):
    """Whether the quorum read has begun, and whether a content was chosen at that time."""

    NONE = 0
    BEFORE_CHOICE = 1
    AFTER_CHOICE = 2


class Voter(NamedTuple):
    """A voter: its state on disk, its state in the process, and whether its memory counts as complete."""

    disk: AcceptorState = AcceptorState()
    process: AcceptorState = AcceptorState()
    has_memory: bool = True


class Clear(NamedTuple):
    """A voter's answer to the quorum read that it has accepted nothing."""

    voter: str


class Operator(NamedTuple):
    """The state of a publishing operator.

    round: the last round that its process has begun.
    value: the content that it proposes.
    is_open: whether responses to the round are still counted.
    requested: the content of its accept request in this round; None before that.
    restarts: number of restarts of its process.
    """

    round: int = 0
    value: str = ""
    is_open: bool = False
    requested: str | None = None
    restarts: int = 0


class State(NamedTuple):
    """The state of all processes, and the set of all messages ever sent."""

    voters: tuple[Voter, ...]
    operators: tuple[Operator, ...]
    sent: frozenset[Message | Clear]
    crashes: int = 0
    asked: ProofRequest = ProofRequest.NONE


class Rules:
    """The correct rules; planted defects override single methods."""

    voters = ("a", "b", "c")
    rounds, crashes = 2, 1

    def knows_loss(self) -> bool:
        """Return whether a voter detects that its disk was lost or set back."""
        return True

    def may_vote(self, voter: Voter) -> bool:
        """Return whether a voter may vote."""
        return voter.has_memory

    def is_clear(self, voter: Voter) -> bool:
        """Return whether a voter answers the quorum read that it has accepted nothing."""
        return self.may_vote(voter) and voter.process.accepted == NO_BALLOT

    def is_proof(self, voters: set[str]) -> bool:
        """Return whether the voters that have accepted nothing prove that nothing was chosen."""
        return any(self.has_quorum(voters, self.electorate(place)) for place in (1, 2))

    def is_proof_false(self, state: State) -> bool:
        """Return whether a proof would be false; a proof applies to the time when the quorum read began."""
        return state.asked is ProofRequest.AFTER_CHOICE

    def electorate(self, _place: int) -> frozenset[str]:
        """Return the voters that the operator with this place uses."""
        return frozenset(self.voters)

    def is_choice(self, voters: set[str]) -> bool:
        """Return whether the voters that accepted a content under one ballot chose it for some operator."""
        return any(self.has_quorum(voters, self.electorate(place)) for place in (1, 2))

    def has_quorum(self, voters: set[str], electorate: frozenset[str]) -> bool:
        """Return whether some voters are a quorum of an electorate."""
        return len(voters & electorate) >= self.quorum_size(electorate)

    def quorum_size(self, electorate: frozenset[str]) -> int:
        """Return the size of a quorum."""
        return majority(electorate)

    def acceptor(self, name: str, held: AcceptorState) -> Acceptor:
        """Return the acceptor of a voter in a state."""
        return Acceptor(name, {NUMBER: held})

    def proposer(self, place: int, operator: Operator) -> Proposer:
        """Return the proposer of an operator in its current round."""
        electorate = self.electorate(place)
        held = operator.round, operator.is_open
        return Proposer(
            self.ballot_place(place, operator),
            NUMBER,
            operator.value,
            electorate,
            *held,
            requested_value=operator.requested,
        )

    def durable_state(self, _voter: Voter, new: AcceptorState) -> AcceptorState:
        """Return the state on a voter's disk when it answers."""
        return new

    def ballot_place(self, place: int, operator: Operator) -> str:
        """Return the place of an operator in its ballots, which changes with each restart."""
        return f"{place}.{operator.restarts}"

    def proposed_content(self, place: int, operator: Operator) -> str:
        """Return the content that an operator proposes, which changes with each round and each restart."""
        return f"{'xy'[place - 1]}{operator.round + 1}.{operator.restarts}"


def initial_state(rules: Rules) -> State:
    """Return the state before any message was sent."""
    return State(tuple(Voter() for _ in rules.voters), (Operator(), Operator()), frozenset())


def steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield each next step as its name and the next state."""
    if not state.asked:
        yield (
            "a node asks",
            state._replace(
                asked=ProofRequest.AFTER_CHOICE
                if chosen_contents(state, rules)
                else ProofRequest.BEFORE_CHOICE
            ),
        )
    for index in range(len(state.voters)):
        yield from voter_steps(state, rules, index)
    for index in range(len(state.operators)):
        yield from operator_steps(state, rules, index)


def with_voter(state: State, index: int, voter: Voter) -> tuple[Voter, ...]:
    """Return the voters with one of them replaced."""
    return (*state.voters[:index], voter, *state.voters[index + 1 :])


def voter_steps(state: State, rules: Rules, index: int) -> Iterator[tuple[str, State]]:
    """Yield each next step of a voter: answer a quorum read, receive a request, restart, lose its memory."""
    name, voter = rules.voters[index], state.voters[index]
    if state.asked and Clear(name) not in state.sent and rules.is_clear(voter):
        yield f"{name} is clear", state._replace(sent=state.sent | {Clear(name)})
    for message in state.sent if rules.may_vote(voter) else ():
        if isinstance(message, Prepare | Accept):
            yield from request_steps(state, rules, index, message)
    if state.crashes >= rules.crashes:
        return
    if voter.process != voter.disk:
        restarted = Voter(voter.disk, voter.disk, voter.has_memory)
        yield f"{name} restarts", crashed(state, index, restarted)
    if voter.disk != AcceptorState():
        yield f"{name} loses its folder", crashed(state, index, Voter(has_memory=not rules.knows_loss()))


def crashed(state: State, index: int, voter: Voter) -> State:
    """Return the state after a crash of a voter."""
    return state._replace(voters=with_voter(state, index, voter), crashes=state.crashes + 1)


def request_steps(
    state: State, rules: Rules, index: int, request: Prepare | Accept
) -> Iterator[tuple[str, State]]:
    """Yield the step in which a voter receives a request, if that changes the state or sends a new answer."""
    name, voter = rules.voters[index], state.voters[index]
    new, response = rules.acceptor(name, voter.process).handle(request)
    if new is None and response in state.sent:
        return
    state_after = voter if new is None else Voter(rules.durable_state(voter, new), new, voter.has_memory)
    voters = with_voter(state, index, state_after)
    yield f"{name} hears {request}", state._replace(voters=voters, sent=state.sent | {response})


def with_operator(state: State, index: int, operator: Operator, message: Message | None) -> State:
    """Return the state with an operator replaced, and with a message sent unless it is None."""
    operators = (*state.operators[:index], operator, *state.operators[index + 1 :])
    sent = state.sent if message is None else state.sent | {message}
    return state._replace(operators=operators, sent=sent)


def operator_steps(state: State, rules: Rules, index: int) -> Iterator[tuple[str, State]]:
    """Yield each next step of an operator: begin a round, send an accept request, restart."""
    place, operator = index + 1, state.operators[index]
    if operator.round < rules.rounds:
        opened = operator._replace(
            value=rules.proposed_content(place, operator), is_open=True, requested=None
        )
        proposer = rules.proposer(place, opened)
        message = proposer.begin_round()
        begun = opened._replace(round=proposer.round)
        yield f"{place} begins {proposer.round}", with_operator(state, index, begun, message)
    if operator.is_open and operator.requested is None:
        yield from accept_steps(state, rules, index)
    if state.crashes < rules.crashes and operator.round:
        restarted = with_operator(state, index, Operator(restarts=operator.restarts + 1), None)
        yield f"{place} restarts", restarted._replace(crashes=state.crashes + 1)


def accept_steps(state: State, rules: Rules, index: int) -> Iterator[tuple[str, State]]:
    """Yield each step in which an operator uses the promises of some majority and sends an accept request."""
    place, operator = index + 1, state.operators[index]
    ballot = rules.proposer(place, operator).ballot
    promises = [m for m in state.sent if isinstance(m, Promise) and m.ballot == ballot]
    for quorum in combinations(sorted(promises), rules.quorum_size(rules.electorate(place))):
        proposer = rules.proposer(place, operator)
        message: Prepare | Accept | None = None
        for promise in quorum:
            message = proposer.handle(promise) or message
        if isinstance(message, Accept):
            asked = operator._replace(requested=proposer.requested_value)
            yield f"{place} asks for {message.value}", with_operator(state, index, asked, message)


def chosen_contents(state: State, rules: Rules) -> set[str]:
    """Return the contents that a majority has reported as accepted under one ballot."""
    accepted_by: dict[tuple[Ballot, str], set[str]] = {}
    for message in state.sent:
        if isinstance(message, Accepted):
            accepted_by.setdefault((message.ballot, message.value), set()).add(message.voter)
    return {value for (_, value), voters in accepted_by.items() if rules.is_choice(voters)}


def is_broken(state: State, rules: Rules) -> bool:
    """Return whether two contents are chosen, or a proof exists and is false."""
    if len(chosen_contents(state, rules)) > 1:
        return True
    clear = {message.voter for message in state.sent if isinstance(message, Clear)}
    return rules.is_proof(clear) and rules.is_proof_false(state)


def explore(
    depth: int,
    rules: Rules | None = None,
    max_states: int = 10_000_000,
    report: Callable[[int, int], None] | None = None,
) -> Explored:
    """Visit the states up to a depth, breadth-first; `report` receives each depth and number of states."""
    rules = rules or Rules()
    return search.explore(
        initial_state(rules),
        lambda s: steps(s, rules),
        lambda s: is_broken(s, rules),
        depth,
        max_states,
        report,
    )


def state_after(path: list[str], rules: Rules) -> State:
    """Return the state after a path of steps, each given by a prefix of its name.

    Raises StopIteration if no step has such a name.
    """
    state = initial_state(rules)
    for name in path:
        state = next(new for step, new in steps(state, rules) if step.startswith(name))
    return state


def random_walks(
    walks: int, length: int, rules: Rules, first: State | None = None, seed: int = 1
) -> list[str]:
    """Take random walks from `first`; return the path to a broken state, or []."""
    begin = first or initial_state(rules)
    return search.random_walks(
        begin, lambda s: steps(s, rules), lambda s: is_broken(s, rules), walks, length, seed
    )
