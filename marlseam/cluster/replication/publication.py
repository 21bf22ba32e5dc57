"""Having the next version agreed on: for an operator, or to finish what another member left half done."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from marlseam.cluster.replication import paxos
from marlseam.cluster.replication.content import digest
from marlseam.cluster.replication.effects import Effect, LogLine, SendMessage
from marlseam.cluster.replication.messages import VoteMessage
from marlseam.cluster.replication.paxos import NO_BALLOT, Accept, Prepare, Proposer
from marlseam.cluster.replication.voting import message_of, vote_of

if TYPE_CHECKING:
    from marlseam.cluster.replication.replica import ConfigReplica

ROUND_PERIODS = 4.0  # after which a round without a majority is followed by another; up to twice, at random
PUBLICATION_TIMEOUT_PERIODS = 40.0  # after which a publication is given up


@dataclass
class Publication:
    """One number that this node is having agreed on.

    Attributes:
        proposer: the proposer's side of the agreement.
        content_id: the content that is wanted.
        by_operator: whether an operator asked for it here.
        started_ms: when it began.
        round_ends_ms: when another round begins, if no majority was heard.
        highest_refused_round: the latest round of other proposers heard of.
        refusals: why voters cannot use the content, by voter.

    """

    proposer: Proposer
    content_id: str
    by_operator: bool
    started_ms: float
    round_ends_ms: float
    highest_refused_round: int = 0
    refusals: dict[str, str] = field(default_factory=dict)

    def result_text(self, number: int, content_id: str) -> str:
        """Return what came of it, as its number has a content now."""
        if content_id == self.content_id:
            return f"version {number} is {content_id[:12]}"
        return f"beaten: another content was chosen as version {number}, {content_id[:12]}"

    def is_refused_by_most(self) -> bool:
        """Return whether too few voters are left that can use the content."""
        left = len(self.proposer.voters) - len(self.refusals)
        return left < self.proposer.quorum_size()


class Publisher:
    """The proposer's side of a replica.

    Attributes:
        proposer_id: this process's own in ballots; no other process of any member has it.
        publication: what is being agreed on, if anything.
        result: of the last publication that an operator asked for here, in words.
        last_rounds: the last round begun in this process's life, by number; of one number.
        repropose_at_ms: when to finish what another member left accepted and not chosen.

    """

    def __init__(self, replica: "ConfigReplica", proposer_id: str) -> None:
        """Begin without a publication."""
        self.replica, self.proposer_id = replica, proposer_id
        self.publication: Publication | None = None
        self.result = ""
        self.last_rounds: dict[int, int] = {}
        self.repropose_at_ms: float | None = None

    def busy_reason(self) -> str:
        """Return why nothing can be published here at this moment, or nothing."""
        if self.publication is not None and self.publication.by_operator:
            return "busy: a publication is under way here"
        pending = self.replica.pending_version
        if pending is not None:
            # It was agreed on and is held in a moment: what follows goes behind it, not for the same number.
            return f"busy: version {pending.number} is being written here"
        return ""

    def publish(self, now: float, data: bytes) -> list[Effect]:
        """Have a content agreed on under the next number; `result` tells what came of it.

        Nothing happens while this node is busy.
        """
        if self.busy_reason():
            return []
        content_id = digest(data)
        self.replica.store.contents[content_id] = data
        self.replica.store.add_delta_from_predecessor(content_id)
        self.result = "open"
        return self.propose(now, content_id, by_operator=True)

    def propose(self, now: float, content_id: str, by_operator: bool) -> list[Effect]:
        """Begin to have a content agreed on."""
        replica = self.replica
        proposer = Proposer(self.proposer_id, replica.number + 1, content_id, replica.voters)
        # A round is begun once in a process's life: a ballot with two contents would break the agreement.
        proposer.round = self.last_rounds.get(proposer.number, 0)
        self.publication = Publication(proposer, content_id, by_operator, now, now)
        return self.begin_round(now, self.publication)

    def begin_round(self, now: float, publication: Publication) -> list[Effect]:
        """Begin a round, later than any that this node has heard of."""
        proposer = publication.proposer
        promised = self.replica.voter.acceptor.promises.get(proposer.number)
        promised_round = promised.ballot[0] if promised is not None else 0
        message = proposer.begin_round(max(publication.highest_refused_round, promised_round))
        self.last_rounds.clear()
        self.last_rounds[message.number] = proposer.round
        publication.round_ends_ms = now + self.random_round_ms()
        return self.send_to_voters(now, publication, message)

    def random_round_ms(self) -> float:
        """Draw the length of a round: proposers that meet are set apart by chance."""
        replica = self.replica
        return replica.settings.period_ms * ROUND_PERIODS * (1.0 + replica.random())

    def progress(self, now: float) -> list[Effect]:
        """Begin another round where one has got stuck, finish what another member left half done."""
        publication = self.publication
        if publication is None:
            return self.finish_abandoned(now)
        timeout_ms = PUBLICATION_TIMEOUT_PERIODS * self.replica.settings.period_ms
        if now > publication.started_ms + timeout_ms:
            return self.end("no majority of the voters was heard", publication)
        if now < publication.round_ends_ms:
            return self.repeat_request(publication)
        return self.begin_round(now, publication)

    def finish_abandoned(self, now: float) -> list[Effect]:
        """Propose what was accepted here for the next number, if nobody has it chosen for a while.

        Guards the lease of all: while one content is accepted and none chosen, fewer can prove anything.
        """
        replica = self.replica
        next_number = replica.number + 1
        accepted = replica.voter.acceptor.promises.get(next_number)
        if accepted is None or accepted.accepted == NO_BALLOT or not replica.voter.may_vote(next_number):
            self.repropose_at_ms = None
            return []
        if self.repropose_at_ms is None:
            self.repropose_at_ms = now + self.random_round_ms()
        if now < self.repropose_at_ms or accepted.value not in replica.store.contents:
            return []
        self.repropose_at_ms = None
        return self.propose(now, accepted.value, by_operator=False)

    def repeat_request(self, publication: Publication) -> list[Effect]:
        """Send the present round's request again, to the voters that have not answered."""
        proposer = publication.proposer
        if not proposer.is_open:
            return []
        if proposer.requested_value is None:
            message: paxos.Message = Prepare(proposer.number, proposer.ballot)
            unanswered = proposer.voters - set(proposer.promises)
        else:
            message = Accept(proposer.number, proposer.ballot, proposer.requested_value)
            unanswered = proposer.voters - proposer.accepted_by
        return [SendMessage(name, vote_of(message)) for name in sorted(unanswered - {self.replica.name})]

    def send_to_voters(self, now: float, publication: Publication, message: paxos.Message) -> list[Effect]:
        """Send a request to all voters, this node maybe among them."""
        vote, own_name = vote_of(message), self.replica.name
        voters = publication.proposer.voters
        effects: list[Effect] = [SendMessage(name, vote) for name in sorted(voters - {own_name})]
        if own_name in voters:
            effects += self.replica.voter.receive_request(now, own_name, vote)
        return effects

    def receive_vote(self, now: float, sender: str, vote: VoteMessage) -> list[Effect]:
        """Take in a voter's answer."""
        publication = self.publication
        if publication is None or vote.number != publication.proposer.number:
            return []
        if vote.kind == "refused":
            return self.receive_refusal(sender, vote, publication)
        proposer = publication.proposer
        effects: list[Effect] = []
        if vote.kind == "promise" and vote.value and vote.value not in self.replica.store.contents:
            effects += self.replica.fetcher.begin(vote.value, 0, sender)
        message = proposer.handle(message_of(vote, sender))
        if message is not None:
            effects += self.send_to_voters(now, publication, message)
        if proposer.chosen is not None:
            effects += self.hold_chosen(publication, proposer.chosen)
        return effects

    def receive_refusal(self, sender: str, vote: VoteMessage, publication: Publication) -> list[Effect]:
        """Take in that a voter cannot use the content, or has promised a later ballot."""
        proposer = publication.proposer
        if (vote.round, vote.place) != proposer.ballot:
            return []
        if not vote.why:
            # Not at once: two that answer each other's rounds with later ones would never end. And the ballot
            # stays as it is until then: an earlier round's content sent under a later ballot could be chosen
            # beside another.
            publication.highest_refused_round = max(publication.highest_refused_round, vote.other_round)
            proposer.is_open = False
            return []
        publication.refusals[sender] = vote.why
        if not publication.is_refused_by_most():
            return []
        reasons = "; ".join(f"{name}: {text}" for name, text in sorted(publication.refusals.items()))
        return self.end(f"refused by most voters: {reasons}", publication)

    def hold_chosen(self, publication: Publication, content_id: str) -> list[Effect]:
        """End a publication, and hold what was chosen."""
        replica, number = self.replica, publication.proposer.number
        effects = self.end(publication.result_text(number, content_id), publication)
        if content_id in replica.store.contents:
            return effects + replica.persist_and_hold(number, content_id)
        source = replica.random_member(replica.name)
        return effects + replica.fetcher.begin(content_id, number, source)

    def end_overtaken(self, number: int, content_id: str) -> list[Effect]:
        """End a publication whose number was agreed on by another proposer's doing.

        Its voters vote on that number no more, so it would block the next until it is given up.
        """
        publication = self.publication
        if publication is None or publication.proposer.number > number:
            return []
        wanted = publication.proposer.number
        if wanted == number:
            return self.end(publication.result_text(number, content_id), publication)
        return self.end(f"not known whether it became version {wanted}: {number} is held", publication)

    def end(self, result: str, publication: Publication) -> list[Effect]:
        """Note that a publication is over."""
        self.publication = None
        if publication.by_operator:
            self.result = result
        return [LogLine(f"fleet publication: {result}")]
