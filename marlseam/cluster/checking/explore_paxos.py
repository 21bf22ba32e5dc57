"""Every interleaving of agreement and its proof, small: three voters, two operators, one node that asks.

With crashes, a voter's memory lost or set back, loss, repeats, any delay.

What was said once may come at any time, any number of times or never, so the network is the set of all that
was ever said. A state is what disks and processes hold, and that set; each is looked at once, up to a depth.
A step is one process's: hear one message, begin a round, take some majority's promises, crash, restart, ask
the voters whether anything is accepted, answer that. Broken is a state in which two contents are chosen, or
in which the one that asks holds as proved that nothing was when it asked, and something was.
"""

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

NUMBER = 2  # the number that is agreed on


class Voter(NamedTuple):
    """What a voter's disk holds, and what its process does."""

    disk: AcceptorState = AcceptorState()
    process: AcceptorState = AcceptorState()
    whole: bool = True  # whether its memory is, as far as it knows


class Clear(NamedTuple):
    """A voter has accepted nothing, it says to the node that asked."""

    voter: str


class Operator(NamedTuple):
    """One that publishes: its process's round, what it likes, if it has begun, what it asked, its life."""

    round: int = 0
    value: str = ""
    open: bool = False
    asked: str | None = None
    lives: int = 0


class State(NamedTuple):
    """All of it."""

    voters: tuple[Voter, ...]
    operators: tuple[Operator, ...]
    said: frozenset[Message | Clear]
    crashes: int = 0
    asked: int = 0  # 1: a node has asked whether anything is accepted; 2: when something was chosen


class Rules:
    """The machines as they are; a planted defect overrides one of these."""

    voters = ("a", "b", "c")
    rounds, crashes = 2, 1

    def knows_loss(self) -> bool:
        """Return whether a voter whose folder was lost or set back knows it."""
        return True

    def may_vote(self, voter: Voter) -> bool:
        """Return whether a voter takes part."""
        return voter.whole

    def clear(self, voter: Voter) -> bool:
        """Return whether a voter says that it has accepted nothing."""
        return self.may_vote(voter) and voter.process.accepted == NO_BALLOT

    def proves(self, by: set[str]) -> bool:
        """Return whether those that have accepted nothing prove that nothing was chosen."""
        return any(len(by & e) >= self.enough(e) for e in (self.electorate(1), self.electorate(2)))

    def claims(self, state: State) -> bool:
        """Return whether a proof, where there is one, says what is not so.

        It holds as of when it was asked.
        """
        return state.asked == 2

    def electorate(self, place: int) -> frozenset[str]:
        """Return the voters as an operator knows them."""
        return frozenset(self.voters)

    def carries(self, by: set[str]) -> bool:
        """Return whether those that took one content under one ballot have chosen it for some operator."""
        electorates = {self.electorate(1), self.electorate(2)}
        return any(len(by & electorate) >= self.enough(electorate) for electorate in electorates)

    def enough(self, electorate: frozenset[str]) -> int:
        """Return how many voters choose."""
        return majority(electorate)

    def acceptor(self, name: str, held: AcceptorState) -> Acceptor:
        """Return a voter's machine."""
        return Acceptor(name, {NUMBER: held})

    def proposer(self, place: int, operator: Operator) -> Proposer:
        """Return an operator's machine in its present round."""
        electorate = self.electorate(place)
        held = operator.round, operator.open
        return Proposer(
            self.place(place, operator),
            NUMBER,
            operator.value,
            electorate,
            *held,
            requested_value=operator.asked,
        )

    def on_disk(self, voter: Voter, new: AcceptorState) -> AcceptorState:
        """Return what a voter's disk holds before it speaks."""
        return new

    def place(self, place: int, operator: Operator) -> str:
        """Return an operator's place in ballots: another in each life."""
        return f"{place}.{operator.lives}"

    def content(self, place: int, operator: Operator) -> str:
        """Return what an operator asks for: another thing in each round and life."""
        return f"{'xy'[place - 1]}{operator.round + 1}.{operator.lives}"


def beginning(rules: Rules) -> State:
    """Return the state in which nothing has been said."""
    return State(tuple(Voter() for _ in rules.voters), (Operator(), Operator()), frozenset())


def steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield each next step with its name."""
    if not state.asked:
        yield "a node asks", state._replace(asked=2 if contents(state, rules) else 1)
    for i, voter in enumerate(state.voters):
        name = rules.voters[i]
        if state.asked and Clear(name) not in state.said and rules.clear(voter):
            yield f"{name} is clear", state._replace(said=state.said | {Clear(name)})
        for message in state.said if rules.may_vote(voter) else ():
            if type(message) in (Prepare, Accept):
                machine = rules.acceptor(rules.voters[i], voter.process)
                new, answer = machine.handle(message)
                if new is None and answer in state.said:
                    continue
                after = voter if new is None else Voter(rules.on_disk(voter, new), new, voter.whole)
                yield (
                    f"{rules.voters[i]} hears {message}",
                    state._replace(
                        voters=(*state.voters[:i], after, *state.voters[i + 1 :]), said=state.said | {answer}
                    ),
                )
        if state.crashes < rules.crashes and voter.process != voter.disk:
            after = Voter(voter.disk, voter.disk, voter.whole)
            voters = (*state.voters[:i], after, *state.voters[i + 1 :])
            yield f"{rules.voters[i]} restarts", state._replace(voters=voters, crashes=state.crashes + 1)
        if state.crashes < rules.crashes and voter.disk != AcceptorState():
            after = Voter(whole=not rules.knows_loss())
            voters = (*state.voters[:i], after, *state.voters[i + 1 :])
            yield f"{name} loses its folder", state._replace(voters=voters, crashes=state.crashes + 1)
    for i, operator in enumerate(state.operators):
        place = i + 1

        def put(new: Operator, *messages: Message, i: int = i, crash: int = 0) -> State:
            operators = (*state.operators[:i], new, *state.operators[i + 1 :])
            said, crashes = state.said | set(messages), state.crashes + crash
            return State(state.voters, operators, said, crashes, state.asked)

        if operator.round < rules.rounds:
            asks = operator._replace(value=rules.content(place, operator), open=True, asked=None)
            machine = rules.proposer(place, asks)
            message = machine.begin_round()
            begun = asks._replace(round=machine.round)
            yield f"{place} begins {machine.round}", put(begun, message)
        if operator.open and operator.asked is None:
            machine_of = rules.proposer(place, operator)
            heard = [m for m in state.said if type(m) is Promise and m.ballot == machine_of.ballot]
            for some in combinations(sorted(heard), rules.enough(rules.electorate(place))):
                machine, message = rules.proposer(place, operator), None
                for promise in some:
                    message = machine.handle(promise) or message
                if message is not None:
                    asked = operator._replace(asked=machine.requested_value)
                    yield f"{place} asks for {message.value}", put(asked, message)
        if state.crashes < rules.crashes and operator.round:
            yield (
                f"{place} restarts",
                put(Operator(lives=operator.lives + 1), crash=1),
            )


def contents(state: State, rules: Rules) -> set[str]:
    """Return what a majority has said that it took under one ballot, as any that hears them holds it."""
    took: dict[tuple[Ballot, str], set[str]] = {}
    for message in state.said:
        if type(message) is Accepted:
            took.setdefault((message.ballot, message.value), set()).add(message.voter)
    return {value for (_, value), by in took.items() if rules.carries(by)}


def broken(state: State, rules: Rules) -> bool:
    """Return whether two contents are chosen, or what is taken as proved is not so."""
    if len(contents(state, rules)) > 1:
        return True
    clear = {message.voter for message in state.said if type(message) is Clear}
    return rules.proves(clear) and rules.claims(state)


def explore(
    depth: int,
    rules: Rules | None = None,
    states_most: int = 10_000_000,
    tell: Callable[[int, int], None] | None = None,
) -> Explored:
    """Look at each state up to a depth, nearest first."""
    rules = rules or Rules()
    return search.explore(
        beginning(rules), lambda s: steps(s, rules), lambda s: broken(s, rules), depth, states_most, tell
    )


def after(path: list[str], rules: Rules) -> State:
    """Return the state that some steps lead to, each named by its beginning.

    Raises StopIteration where there is no such step.
    """
    state = beginning(rules)
    for name in path:
        state = next(new for told, new in steps(state, rules) if told.startswith(name))
    return state


def wander(walks: int, length: int, rules: Rules, first: State | None = None, seed: int = 1) -> list[str]:
    """Go ways of chance; return one that leads to a broken state, or none."""
    begin = first or beginning(rules)
    return search.wander(begin, lambda s: steps(s, rules), lambda s: broken(s, rules), walks, length, seed)
