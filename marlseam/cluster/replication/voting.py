"""A replica as a voter: it accepts only contents that it holds durably and that pass its own check."""

from typing import TYPE_CHECKING, NamedTuple

from marlseam.cluster.audit_log import AcceptorPromise, ContentStored, LogRecord, RecoveredLog
from marlseam.cluster.replication import messages, paxos
from marlseam.cluster.replication.content import InvalidContentError
from marlseam.cluster.replication.effects import Effect, SendMessage
from marlseam.cluster.replication.fetch import MAX_FETCHES
from marlseam.cluster.replication.messages import StatusRequest, VoteMessage
from marlseam.cluster.replication.paxos import (
    NO_BALLOT,
    Accept,
    Accepted,
    Acceptor,
    AcceptorState,
    Prepare,
    Promise,
    Refused,
)

if TYPE_CHECKING:
    from marlseam.cluster.replication.replica import ConfigReplica


def vote_of(message: paxos.Message, why: str = "") -> VoteMessage:
    """Return a message of agreement as it is sent; `why` says what is wrong with a refused content."""
    number, (round_number, place) = message.number, message.ballot
    match message:
        case Prepare():
            return VoteMessage("prepare", number, round_number, place)
        case Promise():
            return VoteMessage("promise", number, round_number, place, *message.accepted, message.value)
        case Accept():
            return VoteMessage("accept", number, round_number, place, value=message.value)
        case Accepted():
            return VoteMessage("accepted", number, round_number, place, value=message.value)
        case Refused():
            return VoteMessage("refused", number, round_number, place, *message.promised, why=why)


def message_of(vote: VoteMessage, sender: str) -> paxos.Message:
    """Return what was sent as a message of agreement."""
    ballot, other = (vote.round, vote.place), (vote.other_round, vote.other_place)
    match vote.kind:
        case "prepare":
            return Prepare(vote.number, ballot)
        case "promise":
            return Promise(vote.number, ballot, sender, other, vote.value)
        case "accept":
            return Accept(vote.number, ballot, vote.value)
        case "accepted":
            return Accepted(vote.number, ballot, sender, vote.value)
    return Refused(vote.number, ballot, other)


def request_of(vote: VoteMessage) -> Prepare | Accept:
    """Return a proposer's request as a message of agreement."""
    ballot = (vote.round, vote.place)
    if vote.kind == "accept":
        return Accept(vote.number, ballot, vote.value)
    return Prepare(vote.number, ballot)


class AwaitingRequest(NamedTuple):
    """A request to accept a content that has not come, and its proposer."""

    proposer: str
    vote: VoteMessage


class Voter:
    """The acceptor of a replica, and what it may vote on.

    Attributes:
        acceptor: promises in memory, which may be ahead of the disk.
        durable_promises: promises that are on the disk, by version number.
        votes_excluded_up_to: votes on no number up to it; None: on none until it is known.
        memory_is_elsewhere: whether another process of this node has its memory of votes.
        awaiting_content: requests by the id of a content that has not come.

    """

    def __init__(self, replica: "ConfigReplica", recovered: RecoveredLog) -> None:
        """Begin with the promises that were recovered from disk."""
        self.replica = replica
        self.acceptor = Acceptor(replica.name, dict(recovered.promises))
        self.durable_promises = dict(recovered.promises)
        self.votes_excluded_up_to = recovered.votes_excluded_up_to
        self.memory_is_elsewhere = False
        self.awaiting_content: dict[str, AwaitingRequest] = {}

    def take_over_memory(self, recovered: RecoveredLog) -> None:
        """Take up this node's memory of votes, which another process of it had until now."""
        for number, promise in recovered.promises.items():
            if number > self.replica.number:
                self.acceptor.promises[number] = self.durable_promises[number] = promise
        self.votes_excluded_up_to, self.memory_is_elsewhere = recovered.votes_excluded_up_to, False

    def may_vote(self, number: int) -> bool:
        """Return whether this node is a voter on a number and its memory of votes on it is whole."""
        excluded_up_to = self.votes_excluded_up_to
        return (
            self.replica.name in self.replica.voters
            and excluded_up_to is not None
            and number > excluded_up_to
        )

    def highest_promised(self) -> int:
        """Return the highest number of which anything was promised, accepted or held."""
        return max([self.replica.number, *self.acceptor.promises])

    def highest_accepted(self) -> int:
        """Return the highest number for which any content was accepted, or is held."""
        accepted = [n for n, state in self.acceptor.promises.items() if state.accepted > NO_BALLOT]
        return max([self.replica.number, *accepted])

    def forget_promises(self, number: int) -> None:
        """Drop the promises for numbers up to one that is held."""
        for old in [n for n in self.acceptor.promises if n <= number]:
            del self.acceptor.promises[old]
            self.durable_promises.pop(old, None)

    def forget_requests(self, number: int) -> None:
        """Drop the requests for numbers up to one whose contents nothing needs."""
        self.awaiting_content = {
            key: request for key, request in self.awaiting_content.items() if request.vote.number > number
        }

    def receive_request(self, now: float, sender: str, vote: VoteMessage) -> list[Effect]:
        """Answer a proposer, once what is promised is durable."""
        replica = self.replica
        if vote.number <= replica.number:
            return replica.send_status(now, sender, 0)
        if vote.number > replica.number + 1:
            is_other = sender != replica.name
            return [SendMessage(sender, StatusRequest(0, replica.number))] if is_other else []
        if not self.may_vote(vote.number):
            return []
        if vote.kind == "accept":
            if vote.value not in replica.store.contents:
                return self.await_content(sender, vote)
            fault = self.content_fault(vote)
            if fault:
                return self.refuse_content(now, sender, vote, fault)
        return self.vote(now, sender, vote)

    def await_content(self, sender: str, vote: VoteMessage) -> list[Effect]:
        """Fetch a content that is to be accepted, and answer once it has come."""
        self.awaiting_content.pop(vote.value, None)
        self.awaiting_content[vote.value] = AwaitingRequest(sender, vote)
        if len(self.awaiting_content) > MAX_FETCHES:
            # Guards the memory: the oldest is requested again, if it is still wanted.
            del self.awaiting_content[next(iter(self.awaiting_content))]
        return self.replica.fetcher.begin(vote.value, 0, sender)

    def content_received(self, now: float, content_id: str) -> list[Effect]:
        """Answer the request that waits for a content, if there is one."""
        if content_id not in self.awaiting_content:
            return []
        return self.receive_request(now, *self.awaiting_content.pop(content_id))

    def content_fault(self, vote: VoteMessage) -> str:
        """Return what is wrong with a content that is to be accepted, or nothing."""
        replica = self.replica
        try:
            content = replica.read_content(vote.value)
        except InvalidContentError as error:
            return str(error)
        if content.number != vote.number or content.before != replica.content_id:
            found = f"number {content.number} after {content.before[:12]}"
            return f"{found}, {vote.number} after {replica.content_id[:12]}"
        return replica.check(content)

    def refuse_content(self, now: float, sender: str, vote: VoteMessage, fault: str) -> list[Effect]:
        """Tell a proposer that its content cannot be used here."""
        held = self.acceptor.promises.get(vote.number, AcceptorState())
        refused = Refused(vote.number, (vote.round, vote.place), held.ballot)
        return self.answer(now, sender, vote_of(refused, fault[: messages.MAX_REASON_CHARACTERS]))

    def vote(self, now: float, sender: str, vote: VoteMessage) -> list[Effect]:
        """Have the acceptor decide on a request; make its promise durable before it is sent."""
        number = vote.number
        state, response = self.acceptor.handle(request_of(vote))
        if state is None:
            # A repeat: sent again only where the first is on the disk.
            is_durable = self.durable_promises.get(number) == self.acceptor.promises.get(number)
            may_send = is_durable or isinstance(response, Refused)
            return self.answer(now, sender, vote_of(response)) if may_send else []
        # In memory at once, so that what comes while the disk works meets it; sent once it is written.
        self.acceptor.record(number, state)
        records: tuple[LogRecord, ...] = (
            AcceptorPromise(number, *state.ballot, *state.accepted, state.value),
        )
        if isinstance(response, Accepted):
            records = (ContentStored(state.value, self.replica.store.contents[state.value]), *records)

        def send_durable(now: float) -> list[Effect]:
            if number <= self.replica.number:
                return []
            self.durable_promises[number] = state
            return self.answer(now, sender, vote_of(response))

        return [self.replica.persist(records, send_durable)]

    def answer(self, now: float, proposer: str, vote: VoteMessage) -> list[Effect]:
        """Answer a proposer, maybe this node."""
        if proposer == self.replica.name:
            return self.replica.publisher.receive_vote(now, proposer, vote)
        return [SendMessage(proposer, vote)]
