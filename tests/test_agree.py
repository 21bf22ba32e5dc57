"""Paxos on a version's content: every interleaving of a small system, and detection of planted defects."""

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


def test_no_interleaving_of_eight_steps_gives_one_number_two_contents():
    explored = explore(8)
    assert explored.path == []
    assert explored.depth == 8
    assert explored.states > 10000


def test_long_random_walks_find_no_broken_state():
    assert random_walks(150, 24, Rules()) == []


def proposer_with(**methods):
    """Return a subclass of Proposer with some methods replaced."""
    return type("DefectiveProposer", (Proposer,), methods)


class ForgetsPromise(Rules):
    """Planted defect: a voter does not write its promise to disk, only an accepted value."""

    def durable_state(self, voter, new):
        return new if new.accepted > voter.disk.accepted else voter.disk


class ForgetsAccepted(Rules):
    """Planted defect: a voter does not write an accepted value to disk, only its promise."""

    def durable_state(self, _voter, new):
        return new._replace(accepted=NO_BALLOT, value="")


class AnswersBeforeDurable(Rules):
    """Planted defect: a voter answers before its state is on disk."""

    def durable_state(self, voter, _new):
        return voter.process


class Proposers(Rules):
    """Rules under which operators use another class of proposer."""

    proposer_class = Proposer

    def proposer(self, place, operator):
        return self.proposer_class(
            self.ballot_place(place, operator),
            NUMBER,
            operator.value,
            self.electorate(place),
            operator.round,
            operator.is_open,
            requested_value=operator.requested,
        )


class HalfIsEnough(Proposers):
    """Planted defect: half of the voters count as a majority."""

    proposer_class = proposer_with(quorum_size=lambda self: len(self.voters) // 2)

    def quorum_size(self, electorate):
        return len(electorate) // 2


class VotersOfAnotherVersion(Rules):
    """Planted defect: an operator uses the voters of another version."""

    voters = ("a", "b", "c", "d", "e")

    def electorate(self, place):
        return frozenset("abc" if place == 1 else "cde")


def handle_without_accepted(self, message):
    """Handle a message as if no voter had accepted a value earlier."""
    if type(message) is Promise:
        message = message._replace(accepted=NO_BALLOT)
    return Proposer.handle(self, message)


class ProposesItsOwnValue(Proposers):
    """Planted defect: values that were accepted earlier are ignored."""

    proposer_class = proposer_with(handle=handle_without_accepted)


def handle_with_earliest(self, message):
    """Handle a message so that, of the values accepted earlier, the earliest counts as the latest."""
    if type(message) is Promise and message.accepted > NO_BALLOT:
        other = {"1.0": "2.0", "2.0": "1.0"}[message.accepted[1]]
        message = message._replace(accepted=(9 - message.accepted[0], other))
    return Proposer.handle(self, message)


class ProposesTheEarliestValue(Proposers):
    """Planted defect: of the values accepted earlier, the earliest is proposed."""

    proposer_class = proposer_with(handle=handle_with_earliest)


class ReusesRounds(Rules):
    """Planted defect: a restarted operator reuses its ballots."""

    def ballot_place(self, place, _operator):
        return f"{place}.0"


class LossNotDetected(Rules):
    """Planted defect: a voter whose state was lost or restored from a backup votes as if it were complete."""

    def knows_loss(self):
        return False


class VotesAfterLoss(Rules):
    """Planted defect: a voter that has detected its loss votes nevertheless."""

    def may_vote(self, _voter):
        return True


class ProofTimedByAnswers(Rules):
    """Planted defect: a proof counts from when the answers arrived, not from when the read began."""

    def is_proof_false(self, state):
        return bool(chosen_contents(state, self))


class ClearAfterAccepting(Rules):
    """Planted defect: a voter that has accepted a content answers a quorum read that it has not."""

    def is_clear(self, voter):
        return voter.has_memory


class ProofByOneVoter(Rules):
    """Planted defect: one voter's answer is a proof."""

    def is_proof(self, voters):
        return bool(voters)


class AcceptsEarlierBallots(Rules):
    """Planted defect: a voter accepts under an earlier ballot than it promised."""

    def acceptor(self, name, held):
        class DefectiveAcceptor(Acceptor):
            def handle(self, message):
                if type(message) is Prepare:
                    return super().handle(message)
                new = AcceptorState(max(message.ballot, held.ballot), message.ballot, message.value)
                return new, Accepted(message.number, message.ballot, name, message.value)

        return DefectiveAcceptor(name, {NUMBER: held})


FIRST_PROPOSAL = ["1 begins 1", "a hears Prepare", "b hears Prepare", "1 asks", "a hears Accept"]
SECOND_PROPOSAL = [
    "2 begins 1",
    *(f"{voter} hears Prepare(number=2, ballot=(1, '2.0')" for voter in "bc"),
    "2 asks",
]
THIRD_ROUND = [
    *FIRST_PROPOSAL,
    *SECOND_PROPOSAL,
    *(f"{voter} hears Accept(number=2, ballot=(1, '2.0')" for voter in "bc"),
    "1 begins 2",
]


@pytest.mark.parametrize(
    ("rules", "path"),
    [
        (ForgetsPromise, FIRST_PROPOSAL[:4]),
        (ForgetsAccepted, FIRST_PROPOSAL),
        (AnswersBeforeDurable, FIRST_PROPOSAL[:4]),
        (HalfIsEnough, []),
        (VotersOfAnotherVersion, [*FIRST_PROPOSAL, "b hears Accept", "2 begins 1"]),
        (ProposesItsOwnValue, FIRST_PROPOSAL),
        (ProposesTheEarliestValue, THIRD_ROUND),
        (ReusesRounds, FIRST_PROPOSAL),
        (AcceptsEarlierBallots, FIRST_PROPOSAL[:4]),
        (LossNotDetected, FIRST_PROPOSAL),
        (VotesAfterLoss, FIRST_PROPOSAL),
        (ProofTimedByAnswers, FIRST_PROPOSAL[:5]),
        (ClearAfterAccepting, FIRST_PROPOSAL),
        (ProofByOneVoter, FIRST_PROPOSAL),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_a_planted_defect_is_detected(rules, path):
    assert random_walks(6000, 16, rules(), state_after(path, rules()))
    assert random_walks(60, 16, Rules(), state_after(path, Rules())) == []


def test_a_repeated_or_outdated_request_changes_no_state():
    voter = Acceptor("a", {})
    new, answer = voter.handle(Prepare(2, (2, "1")))
    voter.record(2, new)
    assert voter.handle(Prepare(2, (2, "1"))) == (None, answer)
    assert voter.handle(Accept(2, (1, "2"), "y")) == (None, Refused(2, (1, "2"), (2, "1")))
    new, _ = voter.handle(Accept(2, (2, "1"), "x"))
    voter.record(2, new)
    assert voter.handle(Prepare(3, (1, "2")))[0] == AcceptorState((1, "2"))  # each number has its own promise


def test_a_proposer_counts_only_voters_of_its_number_in_its_own_round():
    proposer = Proposer("1", 2, "x", frozenset("abc"))
    assert proposer.handle(Promise(2, (0, "1"), "a", NO_BALLOT, "")) is None  # no round has begun
    proposer.begin_round()
    for number, place, voter in ((2, "1", "z"), (3, "1", "a"), (2, "2", "a")):
        assert proposer.handle(Promise(number, (1, place), voter, NO_BALLOT, "")) is None
        assert not proposer.promises
    assert proposer.handle(Refused(2, (1, "1"), (4, "2"))) == Prepare(2, (5, "1"))
    proposer.handle(Promise(2, (5, "1"), "a", (3, "2"), "y"))
    assert proposer.handle(Promise(2, (5, "1"), "b", (1, "1"), "x")) == Accept(2, (5, "1"), "y")
    for voter in "ab":
        proposer.handle(Accepted(2, (5, "1"), voter, "y"))
    assert proposer.chosen == "y"
    assert proposer.handle(Accepted(2, (5, "1"), "c", "y")) is None


def test_two_chosen_contents_are_detected_if_a_majority_accepted_each():
    state = state_after(THIRD_ROUND, Rules())
    assert chosen_contents(state, Rules()) == {"y1.0"}
    both = state.sent | {Accepted(2, (2, "1"), voter, "x2.0") for voter in "ab"}
    assert chosen_contents(state._replace(sent=both), Rules()) == {"y1.0", "x2.0"}
