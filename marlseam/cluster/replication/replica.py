"""Which version of the configuration a node holds and acts on; pure.

Versions 1, 2, 3... each have one content: the voters that the version before names agree on it (`paxos`,
`voting`, `publication`). Whoever holds a version sends its status to members that lag, and these fetch the
content (`fetch`): the deltas to it from the one that they hold, where these are fewer bytes, else the whole
(`delta`, `content_store`). Either way it is held as a whole, and has the id that was asked for.

A node relies on a version as long as a quorum read proves it to be in force (`quorum_lease`); whether it
serves without such a proof is up to its settings (`serving`).
"""

from collections.abc import Callable
from typing import ClassVar, NamedTuple

from marlseam.cluster.audit_log import ContentStored, LogRecord, OperatorOverride, RecoveredLog, VersionHeld
from marlseam.cluster.replication.content import Content, InvalidContentError
from marlseam.cluster.replication.content_store import ContentStore
from marlseam.cluster.replication.effects import ApplyContent, Effect, LogLine, Persist, SendMessage
from marlseam.cluster.replication.fetch import ContentFetcher
from marlseam.cluster.replication.messages import (
    Chunk,
    FetchRequest,
    ReplicationMessage,
    StatusRequest,
    StatusResponse,
)
from marlseam.cluster.replication.publication import Publisher
from marlseam.cluster.replication.quorum_lease import QuorumLease
from marlseam.cluster.replication.serving import ServingRule
from marlseam.cluster.replication.settings import ReplicationSettings
from marlseam.cluster.replication.voting import Voter
from marlseam.random_source import RandomSource

__all__ = ["ConfigReplica", "PeerStatus", "ReplicationSettings"]

PUSHED_MEMBERS = 4  # members told at once of a new version
REQUEST_KINDS = ("prepare", "accept")  # of votes: a proposer's requests; the others are voters' answers

Continuation = Callable[[float], list[Effect]]


class PeerStatus(NamedTuple):
    """What a member last said of itself, and when that came; `votes`: whether it may vote on the next."""

    at_ms: float
    number: int
    acting: int
    serving: bool
    code: str
    votes: bool


class PendingVersion(NamedTuple):
    """A version that is held as soon as it is durable."""

    number: int
    content_id: str


def accept_any(_content: Content) -> str:
    """Find nothing wrong with a content."""
    return ""


class ConfigReplica:
    """One node's replica of the configuration. All times in ms, by the node's own clock.

    Call `tick` when `next_ms` has come, `receive` for each message, `persisted` or `persist_failed` for each
    `Persist`; each returns effects, to be carried out in order.

    Attributes:
        name: this member's; `other_members` are the rest, sorted.
        members, voters: who belongs, and who votes on the next version, as the version held names them.
        number, content_id: the version held; 0 and "" before the first.
        content: its content, where that can be read here.
        applied_number: the version acted on: the one held, or an earlier one while that is unusable.
        unusable_reason: why the version held cannot be used here, or nothing.
        pending_version: what is being made durable, to be held then.
        operator_override: why an operator shut this node out; None where none did.
        disk_fault: why nothing can be made durable, or nothing; set by the adapter.
        peers: what other members last said of themselves, by name.
        next_ms: when `tick` is due.
        check: says what is wrong with a content on this node, or nothing.

    """

    # The parts, which tests replace by ones with a planted defect.
    store_type: ClassVar[type[ContentStore]] = ContentStore
    lease_type: ClassVar[type[QuorumLease]] = QuorumLease
    fetcher_type: ClassVar[type[ContentFetcher]] = ContentFetcher
    voter_type: ClassVar[type[Voter]] = Voter
    publisher_type: ClassVar[type[Publisher]] = Publisher

    def __init__(  # noqa: PLR0913 - what a replica is made of
        self,
        name: str,
        members: frozenset[str],
        settings: ReplicationSettings,
        proposer_id: str,
        seed: int,
        now: float,
        recovered: RecoveredLog,
        check: Callable[[Content], str] = accept_any,
    ) -> None:
        """Begin with what was recovered; `proposer_id` must be this process's alone in the whole cluster."""
        self.name, self.members, self.settings = name, members, settings
        self.other_members = sorted(members - {name})
        self.random, self.check = RandomSource(seed), check
        self.number, self.content_id, self.voters = 0, "", settings.voters
        self.content: Content | None = None
        self.applied_number, self.unusable_reason = 0, ""
        self.pending_version: PendingVersion | None = None
        self.operator_override = recovered.operator_override
        self.disk_fault = ""
        self.peers: dict[str, PeerStatus] = {}
        self.next_ms = now
        self.continuations: dict[int, Continuation] = {}
        self.last_token = 0
        self.store = self.store_type(recovered.contents)
        self.lease = self.lease_type(self)
        self.serving = ServingRule(self, now)
        self.fetcher = self.fetcher_type(self)
        self.voter = self.voter_type(self, recovered)
        self.publisher = self.publisher_type(self, proposer_id)
        if recovered.held is not None:
            self.hold(recovered.held.number, recovered.held.id)

    # Entry points.

    def tick(self, now: float) -> list[Effect]:
        """Send status requests and go on with what is under way, once a period."""
        if now < self.next_ms:
            return []
        self.next_ms = now + self.settings.period_ms * (0.75 + 0.5 * self.random())
        effects = self.lease.request_statuses(now)
        effects += self.fetcher.retry_stalled()
        return effects + self.publisher.progress(now)

    def receive(self, now: float, sender: str, message: ReplicationMessage) -> list[Effect]:
        """Take in a message."""
        match message:
            case StatusRequest():
                return self.receive_status_request(now, sender, message)
            case StatusResponse():
                return self.receive_status(now, sender, message)
            case FetchRequest():
                return self.fetcher.send_chunks(sender, message)
            case Chunk():
                return self.receive_chunk(now, sender, message)
        if message.kind in REQUEST_KINDS:
            return self.voter.receive_request(now, sender, message)
        return self.publisher.receive_vote(now, sender, message)

    def publish(self, now: float, data: bytes) -> list[Effect]:
        """Have a content agreed on as the next version; nothing happens while `publisher` is busy."""
        return self.publisher.publish(now, data)

    def persisted(self, now: float, token: int) -> list[Effect]:
        """Go on with what has become durable."""
        continuation = self.continuations.pop(token, None)
        return continuation(now) if continuation is not None else []

    def persist_failed(self, token: int) -> None:
        """Drop what could not be made durable: it is as if it had not been asked for."""
        self.continuations.pop(token, None)
        self.pending_version = None

    def override_by_operator(self, why: str | None, wall_ms: float) -> Persist:
        """Shut this node out on an operator's request, or with None bring it back, once that is durable."""

        def apply_override(_now: float) -> list[Effect]:
            self.operator_override = why
            return [LogLine("fleet code=hand: " + (f"out: {why}" if why is not None else "back"))]

        return self.persist((OperatorOverride(why is not None, why or "", wall_ms),), apply_override)

    def take_over_memory(self, recovered: RecoveredLog) -> None:
        """Take up this node's log, which another process of it had until now."""
        self.store.contents |= recovered.contents
        self.voter.take_over_memory(recovered)

    # What the parts share.

    def sample_members(self, count: int) -> list[str]:
        """Return so many other members at random, or all; the cost does not grow with the cluster."""
        if len(self.other_members) <= count:
            return list(self.other_members)
        found: dict[str, None] = {}
        while len(found) < count:
            found[self.other_members[int(self.random() * len(self.other_members))]] = None
        return list(found)

    def random_member(self, default: str) -> str:
        """Return another member at random; a default where there is none."""
        return (self.sample_members(1) or [default])[0]

    def persist(self, records: tuple[LogRecord, ...], continuation: Continuation) -> Persist:
        """Return the effect that makes records durable, and note what follows then."""
        self.last_token += 1
        self.continuations[self.last_token] = continuation
        return Persist(self.last_token, records)

    def read_content(self, content_id: str) -> Content:
        """Return a stored content; raises InvalidContentError."""
        return self.store.read(content_id, self.members)

    # Status of this node and of others.

    def send_status(self, now: float, recipient: str, sequence: int) -> list[Effect]:
        """Tell a member what is held here; `sequence` is that of its request, 0 without one."""
        if recipient == self.name:
            return []
        age_ms = self.lease.proof_age_ms(now)
        status = self.serving.evaluate(now)
        response = StatusResponse(
            sequence,
            self.number,
            self.content_id,
            self.applied_number,
            status.is_serving,
            status.code,
            self.voter.highest_accepted(),
            self.voter.highest_promised(),
            self.voter.may_vote(self.number + 1),
            age_ms,
        )
        return [SendMessage(recipient, response)]

    def receive_status_request(self, now: float, sender: str, request: StatusRequest) -> list[Effect]:
        """Answer with this node's status; ask back where the other holds a later version."""
        effects = self.send_status(now, sender, request.seq)
        if request.number > self.number:
            effects.append(SendMessage(sender, StatusRequest(0, self.number)))
        return effects

    def receive_status(self, now: float, sender: str, status: StatusResponse) -> list[Effect]:
        """Take in what another member holds."""
        if sender in self.members:
            self.peers[sender] = PeerStatus(
                now, status.number, status.acting, status.serving, status.code, status.votes
            )
        if status.number <= self.number:
            return self.lease.receive_response(sender, status)
        self.serving.note_known_number(now, status.number)
        if status.id in self.store.contents:
            return self.persist_and_hold(status.number, status.id)
        return self.fetcher.begin(status.id, status.number, sender) if status.id else []

    def receive_chunk(self, now: float, sender: str, chunk: Chunk) -> list[Effect]:
        """Take in a part of a content; once it is whole, hold it and vote on it."""
        effects, completed = self.fetcher.receive_chunk(sender, chunk)
        if completed is None:
            return effects
        if completed.number:
            effects += self.persist_and_hold(completed.number, completed.content_id)
        return effects + self.voter.content_received(now, completed.content_id)

    # Holding a version.

    def persist_and_hold(self, number: int, content_id: str) -> list[Effect]:
        """Hold a version whose content is here, once that is durable."""
        pending = self.pending_version
        if number <= self.number or (pending is not None and pending.number >= number):
            return []
        if not self.may_be_version(content_id, number):
            return [LogLine(f"fleet code=number: the content {content_id[:12]} is not of version {number}")]
        data = self.store.contents[content_id]
        self.pending_version = PendingVersion(number, content_id)

        def on_durable(now: float) -> list[Effect]:
            if number <= self.number:
                return []
            self.store.contents[content_id] = data  # dropped meanwhile, where another version was held
            effects = self.hold(number, content_id)
            for name in self.sample_members(PUSHED_MEMBERS):
                effects += self.send_status(now, name, 0)
            return effects + self.lease.request_statuses(now)

        return [self.persist((ContentStored(content_id, data), VersionHeld(number, content_id)), on_durable)]

    def may_be_version(self, content_id: str, number: int) -> bool:
        """Return whether a content is of a version; also where it cannot be read, which is told once held."""
        try:
            return self.read_content(content_id).number == number
        except InvalidContentError:
            return True

    def hold(self, number: int, content_id: str) -> list[Effect]:
        """Hold a version, and act on it if it can be used here."""
        self.number, self.content_id, self.pending_version = number, content_id, None
        self.store.held_id = content_id
        if not self.unusable_reason:
            self.serving.applied_proof_ms = self.lease.proven_at_ms
        self.voter.forget_promises(number)
        content = self.adopt_content(content_id)
        effects = self.publisher.end_overtaken(number, content_id)
        self.discard_unneeded(number)
        self.publisher.repropose_at_ms = None
        if content is None or self.unusable_reason:
            text = f"version {number} cannot be used here: {self.unusable_reason}"
            return [*effects, LogLine(f"fleet code=unfit: {text}")]
        self.applied_number = number
        return [*effects, ApplyContent(number, content_id, content)]

    def adopt_content(self, content_id: str) -> Content | None:
        """Take voters and members from the content of the version held, and check it; None if unreadable."""
        self.content = None
        try:
            content = self.content = self.read_content(content_id)
        except InvalidContentError as error:
            # Who votes on the next number is not known: the voters of an earlier one would prove what is not
            # so, and others would take that over.
            self.unusable_reason, self.voters = str(error), frozenset()
            return None
        self.voters = frozenset(content.voters)
        self.unusable_reason = self.check(content)
        if content.members and not self.unusable_reason and content.members.keys() != self.members:
            self.members = frozenset(content.members)
            self.other_members = sorted(self.members - {self.name})
            self.peers = {name: peer for name, peer in self.peers.items() if name in self.members}
        return content

    def discard_unneeded(self, number: int) -> None:
        """Drop contents, fetches and requests that nothing above a number needs."""
        wanted = {state.value for state in self.voter.acceptor.promises.values()} | {self.content_id}
        if self.publisher.publication is not None:
            wanted.add(self.publisher.publication.content_id)
        self.store.retain(wanted)
        self.fetcher.drop_up_to(number)
        self.voter.forget_requests(number)
