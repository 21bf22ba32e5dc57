"""Agreement on a version's content: every interleaving in a small size, and defects that the search finds."""

import pytest

from marlseam.cluster.checking.explore_paxos import (
    NUMBER,
    Rules,
    chosen_contents,
    explore,
    random_walks,
    state_after,
)
from marlseam.cluster.replication.paxos import (
    NO_BALLOT,
    Accept,
    Accepted,
    Acceptor,
    AcceptorState,
    Prepare,
    Promise,
    Proposer,
    Refused,
)


def test_no_interleaving_of_few_steps_gives_one_number_two_contents():
    found = explore(8)
    assert found.path == []
    assert found.depth == 8
    assert found.states > 10000


def test_long_random_walks_find_no_broken_state():
    assert random_walks(150, 24, Rules()) == []


def changed(**named):
    return type("Changed", (Proposer,), named)


class ForgetsPromise(Rules):
    """Planted: a voter's promise is not on its disk, what it accepted is."""

    def durable_state(self, voter, new):
        return new if new.accepted > voter.disk.accepted else voter.disk


class ForgetsAccepted(Rules):
    """Planted: what a voter accepted is not on its disk, its promise is."""

    def durable_state(self, voter, new):
        return new._replace(accepted=NO_BALLOT, value="")


class SpeaksFirst(Rules):
    """Planted: a voter speaks before its disk has it."""

    def durable_state(self, voter, new):
        return voter.process


class Proposers(Rules):
    """Operators of another kind."""

    kind = Proposer

    def proposer(self, place, operator):
        held = operator.round, operator.is_open
        electorate = self.electorate(place)
        return self.kind(
            self.ballot_place(place, operator),
            NUMBER,
            operator.value,
            electorate,
            *held,
            requested_value=operator.requested,
        )


class HalfIsEnough(Proposers):
    """Planted: half of the voters count as a majority."""

    kind = changed(quorum_size=lambda self: len(self.voters) // 2)

    def quorum_size(self, electorate):
        return len(electorate) // 2


class WrongVoters(Rules):
    """Planted: an operator takes the voters of another version."""

    voters = ("a", "b", "c", "d", "e")

    def electorate(self, place):
        return frozenset("abc" if place == 1 else "cde")


class OwnGoesFirst(Proposers):
    """Planted: what was accepted before is not looked at."""

    kind = changed(
        handle=lambda self, m: Proposer.handle(
            self, m._replace(accepted=NO_BALLOT) if type(m) is Promise else m
        )
    )


def earliest(self, message):
    if type(message) is Promise and message.accepted > NO_BALLOT:
        other = {"1.0": "2.0", "2.0": "1.0"}[message.accepted[1]]
        message = message._replace(accepted=(9 - message.accepted[0], other))
    return Proposer.handle(self, message)


class EarliestGoesFirst(Proposers):
    """Planted: of what was accepted before, the earliest is taken."""

    kind = changed(handle=earliest)


class SameRoundAgain(Rules):
    """Planted: an operator that restarts begins its rounds anew."""

    def ballot_place(self, place, operator):
        return f"{place}.0"


class LossUnknown(Rules):
    """Planted: a voter whose folder was set back goes on as if it were whole."""

    def knows_loss(self):
        return False


class VotesAfterLoss(Rules):
    """Planted: a voter that knows of its loss votes all the same."""

    def may_vote(self, voter):
        return True


class FromTheAnswer(Rules):
    """Planted: a proof holds as of when the answers came."""

    def is_proof_false(self, state):
        return bool(chosen_contents(state, self))


class ClearByDisk(Rules):
    """Planted: a voter that has promised and not accepted in this life says it is clear."""

    def is_clear(self, voter):
        return voter.has_memory


class ProvedByOne(Rules):
    """Planted: one voter's word is a proof."""

    def is_proof(self, voters):
        return bool(voters)


class TakesAnything(Rules):
    """Planted: a voter accepts under an earlier ballot than it promised."""

    def acceptor(self, name, held):
        class Lax(Acceptor):
            def handle(self, message):
                if type(message) is Prepare:
                    return super().handle(message)
                new = AcceptorState(max(message.ballot, held.ballot), message.ballot, message.value)
                return new, Accepted(message.number, message.ballot, name, message.value)

        return Lax(name, {NUMBER: held})


ONE = ["1 begins 1", "a hears Prepare", "b hears Prepare", "1 asks", "a hears Accept"]
TWO = ["2 begins 1", *(f"{v} hears Prepare(number=2, ballot=(1, '2.0')" for v in "bc"), "2 asks"]
FAR = [*ONE, *TWO, *(f"{v} hears Accept(number=2, ballot=(1, '2.0')" for v in "bc"), "1 begins 2"]


@pytest.mark.parametrize(
    ("rules", "path"),
    [
        (ForgetsPromise, ONE[:4]),
        (ForgetsAccepted, ONE),
        (SpeaksFirst, ONE[:4]),
        (HalfIsEnough, []),
        (WrongVoters, [*ONE, "b hears Accept", "2 begins 1"]),
        (OwnGoesFirst, ONE),
        (EarliestGoesFirst, FAR),
        (SameRoundAgain, ONE),
        (TakesAnything, ONE[:4]),
        (LossUnknown, ONE),
        (VotesAfterLoss, ONE),
        (FromTheAnswer, ONE[:5]),
        (ClearByDisk, ONE),
        (ProvedByOne, ONE),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_a_planted_defect_is_found(rules, path):
    assert random_walks(6000, 16, rules(), state_after(path, rules()))
    assert random_walks(60, 16, Rules(), state_after(path, Rules())) == []


def test_a_repeated_or_late_request_changes_no_state():
    voter = Acceptor("a", {})
    new, answer = voter.handle(Prepare(2, (2, "1")))
    voter.record(2, new)
    assert voter.handle(Prepare(2, (2, "1"))) == (None, answer)
    assert voter.handle(Accept(2, (1, "2"), "y")) == (None, Refused(2, (1, "2"), (2, "1")))
    new, _ = voter.handle(Accept(2, (2, "1"), "x"))
    voter.record(2, new)
    assert voter.handle(Prepare(3, (1, "2")))[0] == AcceptorState((1, "2"))  # each number for itself


def test_a_proposer_counts_only_voters_of_its_number_in_its_own_round():
    operator = Proposer("1", 2, "x", frozenset("abc"))
    assert operator.handle(Promise(2, (0, "1"), "a", NO_BALLOT, "")) is None  # nothing has begun
    operator.begin_round()
    for number, place, voter in ((2, "1", "z"), (3, "1", "a"), (2, "2", "a")):
        assert operator.handle(Promise(number, (1, place), voter, NO_BALLOT, "")) is None
        assert not operator.promises
    assert operator.handle(Refused(2, (1, "1"), (4, "2"))) == Prepare(2, (5, "1"))
    operator.handle(Promise(2, (5, "1"), "a", (3, "2"), "y"))
    assert operator.handle(Promise(2, (5, "1"), "b", (1, "1"), "x")) == Accept(2, (5, "1"), "y")
    for voter in "ab":
        operator.handle(Accepted(2, (5, "1"), voter, "y"))
    assert operator.chosen == "y"
    assert operator.handle(Accepted(2, (5, "1"), "c", "y")) is None


def test_two_contents_are_detected_where_a_majority_accepted_each():
    state = state_after(FAR, Rules())
    assert chosen_contents(state, Rules()) == {"y1.0"}
    both = state.sent | {Accepted(2, (2, "1"), voter, "x2.0") for voter in "ab"}
    assert chosen_contents(state._replace(sent=both), Rules()) == {"y1.0", "x2.0"}
