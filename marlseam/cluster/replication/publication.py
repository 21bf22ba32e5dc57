"""The proposer of a replica: publishes versions for operators, and completes abandoned proposals."""

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

ROUND_PERIODS = 4.0  # protocol periods from a round without a majority to the next; at random up to double
PUBLICATION_TIMEOUT_PERIODS = 40.0  # protocol periods after which a publication is abandoned


@dataclass
class Publication:
    """A running proposal of a content for one number.

    Attributes:
        proposer: the Paxos proposer.
        content_id: id of the proposed content.
        by_operator: whether an operator requested the publication on this node.
        started_ms: when the publication started.
        round_ends_ms: when the next round begins if no content is chosen until then.
        highest_refused_round: the latest round of another proposer reported in a refusal.
        refusals: the reasons of voters that cannot use the content, by voter.

    """

    proposer: Proposer
    content_id: str
    by_operator: bool
    started_ms: float
    round_ends_ms: float
    highest_refused_round: int = 0
    refusals: dict[str, str] = field(default_factory=dict)

    def result_text(self, number: int, content_id: str) -> str:
        """Return the result of the publication, given the content chosen for its number."""
        if content_id == self.content_id:
            return f"version {number} is {content_id[:12]}"
        return f"superseded: version {number} was chosen with another content, {content_id[:12]}"

    def cannot_reach_quorum(self) -> bool:
        """Return whether fewer voters than a quorum have not refused the content as unusable."""
        left = len(self.proposer.voters) - len(self.refusals)
        return left < self.proposer.quorum_size()


class Publisher:
    """The proposer of a replica, with at most one publication at a time.

    Attributes:
        proposer_id: the part of ballots that is unique to this process among all processes of all members.
        publication: the running publication, if any.
        result: text of the result of the last publication requested by an operator on this node; "open" while
            it runs.
        last_rounds: the last round that this process has begun, by number; holds one number at most.
        repropose_at_ms: when to propose a content that is accepted here but not known to be chosen; None if
            not planned.

    """

    def __init__(self, replica: "ConfigReplica", proposer_id: str) -> None:
        """Start without a publication."""
        self.replica, self.proposer_id = replica, proposer_id
        self.publication: Publication | None = None
        self.result = ""
        self.last_rounds: dict[int, int] = {}
        self.repropose_at_ms: float | None = None

    def busy_reason(self) -> str:
        """Return why nothing can be published on this node now, or "" if that is possible."""
        if self.publication is not None and self.publication.by_operator:
            return "busy: a publication is in progress on this node"
        pending = self.replica.pending_version
        if pending is not None:
            # The version is chosen and will be held once durable: the next publication must follow it, not
            # compete for the same number.
            return f"busy: version {pending.number} is being written on this node"
        return ""

    def publish(self, now: float, data: bytes) -> list[Effect]:
        """Propose a content, given as bytes, for the next number on behalf of an operator; sets `result`.

        Does nothing while this node is busy (`busy_reason`).
        """
        if self.busy_reason():
            return []
        content_id = digest(data)
        self.replica.store.contents[content_id] = data
        self.replica.store.add_delta_from_predecessor(content_id)
        self.result = "open"
        return self.propose(now, content_id, by_operator=True)

    def propose(self, now: float, content_id: str, by_operator: bool) -> list[Effect]:
        """Start a publication of a stored content for the next number."""
        replica = self.replica
        proposer = Proposer(self.proposer_id, replica.number + 1, content_id, replica.voters)
        # A process never begins the same round twice: two contents under one ballot would break agreement.
        proposer.round = self.last_rounds.get(proposer.number, 0)
        self.publication = Publication(proposer, content_id, by_operator, now, now)
        return self.begin_round(now, self.publication)

    def begin_round(self, now: float, publication: Publication) -> list[Effect]:
        """Begin a round later than any round known to this node."""
        proposer = publication.proposer
        promised = self.replica.voter.acceptor.promises.get(proposer.number)
        promised_round = promised.ballot[0] if promised is not None else 0
        message = proposer.begin_round(max(publication.highest_refused_round, promised_round))
        self.last_rounds.clear()
        self.last_rounds[message.number] = proposer.round
        publication.round_ends_ms = now + self.random_round_ms()
        return self.send_to_voters(now, publication, message)

    def random_round_ms(self) -> float:
        """Draw the length of a round in ms; random, so that competing proposers do not collide repeatedly."""
        replica = self.replica
        return replica.settings.period_ms * ROUND_PERIODS * (1.0 + replica.random())

    def progress(self, now: float) -> list[Effect]:
        """Repeat requests, begin the next round of a stalled publication, or complete an abandoned proposal.

        Called once per period. Ends a publication after `PUBLICATION_TIMEOUT_PERIODS`.
        """
        publication = self.publication
        if publication is None:
            return self.finish_abandoned(now)
        timeout_ms = PUBLICATION_TIMEOUT_PERIODS * self.replica.settings.period_ms
        if now > publication.started_ms + timeout_ms:
            return self.end(
                "timed out: no content was chosen by a majority of the voters in time", publication
            )
        if now < publication.round_ends_ms:
            return self.repeat_request(publication)
        return self.begin_round(now, publication)

    def finish_abandoned(self, now: float) -> list[Effect]:
        """Propose the content accepted here for the next number, if none is chosen for a random time.

        Guards against lost leases: while a content is accepted by some voters and none is chosen, fewer
        voters can contribute to a proof.
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
        """Send the request of the current round again to the voters that have not answered."""
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
        """Send a request to all voters; if this node is one, its own voter handles the request directly."""
        vote, own_name = vote_of(message), self.replica.name
        voters = publication.proposer.voters
        effects: list[Effect] = [SendMessage(name, vote) for name in sorted(voters - {own_name})]
        if own_name in voters:
            effects += self.replica.voter.receive_request(now, own_name, vote)
        return effects

    def receive_vote(self, now: float, sender: str, vote: VoteMessage) -> list[Effect]:
        """Handle a voter's answer: a promise, an acceptance or a refusal."""
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
        """Handle a refusal: the voter cannot use the content, or has promised a later ballot."""
        proposer = publication.proposer
        if (vote.round, vote.place) != proposer.ballot:
            return []
        if not vote.why:
            # The next round is not begun at once: two proposers that answer each other's rounds with later
            # ones would never finish. Until then the ballot does not change: the content of an earlier round
            # sent under a later ballot could be chosen in addition to another content.
            publication.highest_refused_round = max(publication.highest_refused_round, vote.other_round)
            proposer.is_open = False
            return []
        publication.refusals[sender] = vote.why
        if not publication.cannot_reach_quorum():
            return []
        reasons = "; ".join(f"{name}: {text}" for name, text in sorted(publication.refusals.items()))
        return self.end(f"refused by too many voters for a quorum: {reasons}", publication)

    def hold_chosen(self, publication: Publication, content_id: str) -> list[Effect]:
        """End a publication, and hold the chosen content, which is fetched first if it is not stored."""
        replica, number = self.replica, publication.proposer.number
        effects = self.end(publication.result_text(number, content_id), publication)
        if content_id in replica.store.contents:
            return effects + replica.persist_and_hold(number, content_id)
        source = replica.random_member(replica.name)
        return effects + replica.fetcher.begin(content_id, number, source)

    def end_overtaken(self, number: int, content_id: str) -> list[Effect]:
        """End a publication for a number up to `number`, the version that is held now.

        Guards against a publication that blocks the next one until its timeout: voters that hold a version no
        longer vote on its number.
        """
        publication = self.publication
        if publication is None or publication.proposer.number > number:
            return []
        proposed = publication.proposer.number
        if proposed == number:
            return self.end(publication.result_text(number, content_id), publication)
        return self.end(
            f"not known whether the content became version {proposed}: version {number} is held now",
            publication,
        )

    def end(self, result: str, publication: Publication) -> list[Effect]:
        """End a publication, log its result, and keep the result if an operator requested it."""
        self.publication = None
        if publication.by_operator:
            self.result = result
        return [LogLine(f"fleet publication: {result}")]
