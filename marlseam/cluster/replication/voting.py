"""A replica as a Paxos acceptor: it accepts only contents that are stored here and pass the node's check.

The content and the promise are made durable together before the answer is sent.
"""

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
    """Return a Paxos message in its wire form; `why` is the reason for which a content is refused."""
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
    """Return the Paxos message of a vote received from `sender`; the inverse of `vote_of`."""
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
    """Return the Paxos request, prepare or accept, of a vote received from a proposer."""
    ballot = (vote.round, vote.place)
    if vote.kind == "accept":
        return Accept(vote.number, ballot, vote.value)
    return Prepare(vote.number, ballot)


class AwaitingRequest(NamedTuple):
    """An accept request whose content has not been received yet, and the proposer that sent it."""

    proposer: str
    vote: VoteMessage


class Voter:
    """The acceptor of a replica, and the numbers on which it may vote.

    Attributes:
        acceptor: the acceptor; its promises in memory may be newer than those on disk.
        durable_promises: promises that are on disk, by version number.
        votes_excluded_up_to: the highest number on which this node does not vote, as it may have lost its
            memory of votes up to there; None: it votes on no number until that bound is determined.
        is_memory_in_other_process: whether the node's memory of votes is in another of its processes.
        awaiting_content: accept requests whose content is being fetched, by content id.

    """

    def __init__(self, replica: "ConfigReplica", recovered: RecoveredLog) -> None:
        """Start with the promises recovered from disk."""
        self.replica = replica
        self.acceptor = Acceptor(replica.name, dict(recovered.promises))
        self.durable_promises = dict(recovered.promises)
        self.votes_excluded_up_to = recovered.votes_excluded_up_to
        self.is_memory_in_other_process = False
        self.awaiting_content: dict[str, AwaitingRequest] = {}

    def adopt_memory(self, recovered: RecoveredLog) -> None:
        """Adopt this node's memory of votes from another of its processes, which held it until now."""
        for number, promise in recovered.promises.items():
            if number > self.replica.number:
                self.acceptor.promises[number] = self.durable_promises[number] = promise
        self.votes_excluded_up_to, self.is_memory_in_other_process = recovered.votes_excluded_up_to, False

    def may_vote(self, number: int) -> bool:
        """Return whether this node is a voter on a number and has a complete memory of its votes on it."""
        excluded_up_to = self.votes_excluded_up_to
        return (
            self.replica.name in self.replica.voters
            and excluded_up_to is not None
            and number > excluded_up_to
        )

    def highest_promised(self) -> int:
        """Return the highest number for which anything was promised or accepted, or which is held."""
        return max([self.replica.number, *self.acceptor.promises])

    def highest_accepted(self) -> int:
        """Return the highest number for which a content was accepted, or which is held."""
        accepted = [n for n, state in self.acceptor.promises.items() if state.accepted > NO_BALLOT]
        return max([self.replica.number, *accepted])

    def forget_promises(self, number: int) -> None:
        """Drop the promises for numbers up to `number`, the version held."""
        for old in [n for n in self.acceptor.promises if n <= number]:
            del self.acceptor.promises[old]
            self.durable_promises.pop(old, None)

    def forget_requests(self, number: int) -> None:
        """Drop the waiting accept requests for numbers up to `number`."""
        self.awaiting_content = {
            key: request for key, request in self.awaiting_content.items() if request.vote.number > number
        }

    def receive_request(self, now: float, sender: str, vote: VoteMessage) -> list[Effect]:
        """Handle a proposer's request; the answer is sent once the promise is durable.

        A proposer for a version already held receives this node's status. If the proposer is ahead by more
        than one version, its status is requested, so that this node can catch up.
        """
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
        """Fetch the content of an accept request, which is answered once the content is received."""
        self.awaiting_content.pop(vote.value, None)
        self.awaiting_content[vote.value] = AwaitingRequest(sender, vote)
        if len(self.awaiting_content) > MAX_FETCHES:
            # Bounds the memory used: the proposer repeats the dropped oldest request if it is still open.
            del self.awaiting_content[next(iter(self.awaiting_content))]
        return self.replica.fetcher.begin(vote.value, 0, sender)

    def content_received(self, now: float, content_id: str) -> list[Effect]:
        """Handle the accept request that waits for a content, if there is one."""
        if content_id not in self.awaiting_content:
            return []
        return self.receive_request(now, *self.awaiting_content.pop(content_id))

    def content_fault(self, vote: VoteMessage) -> str:
        """Return why the content of an accept request cannot be accepted here, or "" if it can."""
        replica = self.replica
        try:
            content = replica.read_content(vote.value)
        except InvalidContentError as error:
            return str(error)
        if content.number != vote.number or content.before != replica.content_id:
            found = f"content of version {content.number} after {content.before[:12]}"
            return f"{found}, expected version {vote.number} after {replica.content_id[:12]}"
        return replica.check(content)

    def refuse_content(self, now: float, sender: str, vote: VoteMessage, fault: str) -> list[Effect]:
        """Answer a proposer with a refusal, as its content cannot be used on this node; the state stays."""
        state = self.acceptor.promises.get(vote.number, AcceptorState())
        refused = Refused(vote.number, (vote.round, vote.place), state.ballot)
        return self.answer(now, sender, vote_of(refused, fault[: messages.MAX_REASON_CHARACTERS]))

    def vote(self, now: float, sender: str, vote: VoteMessage) -> list[Effect]:
        """Let the acceptor decide on a request; its new state is made durable before the answer is sent."""
        number = vote.number
        state, response = self.acceptor.handle(request_of(vote))
        if state is None:
            # A repeated request: answered again if the state of the first answer is on disk, or by a refusal.
            is_durable = self.durable_promises.get(number) == self.acceptor.promises.get(number)
            may_send = is_durable or isinstance(response, Refused)
            return self.answer(now, sender, vote_of(response)) if may_send else []
        # Recorded in memory at once, so that requests that arrive during the write are decided on the new
        # state; the answer is sent once the state is written.
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
        """Send a vote to a proposer; if the proposer is this node, hand the vote to its publisher."""
        if proposer == self.replica.name:
            return self.replica.publisher.receive_vote(now, proposer, vote)
        return [SendMessage(proposer, vote)]
