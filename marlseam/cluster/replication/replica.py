"""The replica of the configuration on one node: which version the node holds and applies; pure.

Versions 1, 2, 3... have one content each, on which the voters named by the previous version agree (`paxos`,
`voting`, `publication`). Members that hold a version send their status to members that lag, and these fetch
the content (`fetch`): as deltas from the content that they hold if these are fewer bytes, else as a whole
(`delta`, `content_store`). In both cases the content is stored as a whole, after its id was verified.

A node relies on a version for one lease after a quorum read that proves the version to be in force
(`quorum_lease`); whether the node serves without such a proof depends on its settings (`serving`).
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

PUSHED_MEMBERS = 4  # members to which a node sends its status as soon as it holds a new version
REQUEST_KINDS = ("prepare", "accept")  # kinds of votes that proposers send; voters send the others as answers

Continuation = Callable[[float], list[Effect]]


class PeerStatus(NamedTuple):
    """The last status received from a member, and when; `votes`: whether it may vote on the next version."""

    at_ms: float
    number: int
    acting: int
    serving: bool
    code: str
    votes: bool


class PendingVersion(NamedTuple):
    """A version that is being made durable and will be held after that."""

    number: int
    content_id: str


def accept_any(_content: Content) -> str:
    """Return "", as for a content that passes the check; the default check of a replica."""
    return ""


class ConfigReplica:
    """One node's replica of the configuration. All times are in ms, by the node's own clock.

    The adapter calls `tick` at `next_ms`, `receive` for each message, and `persisted` or `persist_failed` for
    each `Persist`. All but `persist_failed` return effects, which must be carried out in order.

    Attributes:
        name, other_members: the name of this member, and the sorted names of all others.
        members, voters: the members of the cluster and the voters on the next version, as the version held
            names them.
        number, content_id: the version held; 0 and "" before the first.
        content: content of the version held; None if it cannot be read on this node.
        applied_number: the version applied: the one held, or an earlier one while that is unusable.
        unusable_reason: why the version held cannot be used on this node, or "".
        pending_version: the version that is being made durable and will be held after that.
        operator_override: why an operator took this node out of service; None without an override.
        disk_fault: why nothing can be made durable, or ""; set by the adapter.
        peers: the last status of each other member, by name.
        next_ms: when `tick` is due.
        check: returns why a content cannot be used on this node, or "".

    """

    # Classes of the components; tests replace them by subclasses with a planted defect.
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
        last_sequence: int = 0,
    ) -> None:
        """Start from the recovered log; `proposer_id` must be unique to this process in the whole cluster.

        `last_sequence` should differ between the processes of a member; its quorum reads are numbered from
        there on.
        """
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
        self.lease = self.lease_type(self, last_sequence)
        self.serving = ServingRule(self, now)
        self.fetcher = self.fetcher_type(self)
        self.voter = self.voter_type(self, recovered)
        self.publisher = self.publisher_type(self, proposer_id)
        if recovered.held is not None:
            self.hold(recovered.held.number, recovered.held.id)

    # Entry points.

    def tick(self, now: float) -> list[Effect]:
        """Request statuses, retry stalled fetches and advance the publication, once per period."""
        if now < self.next_ms:
            return []
        self.next_ms = now + self.settings.period_ms * (0.75 + 0.5 * self.random())
        effects = self.lease.request_statuses(now)
        effects += self.fetcher.retry_stalled()
        return effects + self.publisher.progress(now)

    def receive(self, now: float, sender: str, message: ReplicationMessage) -> list[Effect]:
        """Handle a message received from a member."""
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
        """Propose a content, given as bytes, as the next version; does nothing while `publisher` is busy."""
        return self.publisher.publish(now, data)

    def persisted(self, now: float, token: int) -> list[Effect]:
        """Run the continuation of the records with this token, which are durable now."""
        continuation = self.continuations.pop(token, None)
        return continuation(now) if continuation is not None else []

    def persist_failed(self, token: int) -> None:
        """Drop the continuation of records that could not be made durable, as if never requested."""
        self.continuations.pop(token, None)
        self.pending_version = None

    def override_by_operator(self, why: str | None, wall_ms: float) -> Persist:
        """Take this node out of service for the reason `why`, or with None return it to service.

        For operators; takes effect once the override is durable. `wall_ms` is the current Unix time in ms.
        """

        def apply_override(_now: float) -> list[Effect]:
            self.operator_override = why
            return [
                LogLine(
                    "fleet code=hand: "
                    + (
                        f"this node was taken out of service by an operator: {why}"
                        if why is not None
                        else "this node was returned to service by an operator"
                    )
                )
            ]

        return self.persist((OperatorOverride(why is not None, why or "", wall_ms),), apply_override)

    def adopt_memory(self, recovered: RecoveredLog) -> None:
        """Adopt this node's log from another of its processes, which held it until now."""
        self.store.contents |= recovered.contents
        self.voter.adopt_memory(recovered)

    # Functions shared by the components.

    def sample_members(self, count: int) -> list[str]:
        """Return `count` other members at random, or all; the cost does not grow with the cluster."""
        if len(self.other_members) <= count:
            return list(self.other_members)
        found: dict[str, None] = {}
        while len(found) < count:
            found[self.other_members[int(self.random() * len(self.other_members))]] = None
        return list(found)

    def random_member(self, default: str) -> str:
        """Return another member at random, or `default` if there is none."""
        return (self.sample_members(1) or [default])[0]

    def persist(self, records: tuple[LogRecord, ...], continuation: Continuation) -> Persist:
        """Return the effect that makes records durable; `continuation` is called once they are."""
        self.last_token += 1
        self.continuations[self.last_token] = continuation
        return Persist(self.last_token, records)

    def read_content(self, content_id: str) -> Content:
        """Decode a stored content; raises InvalidContentError."""
        return self.store.read(content_id, self.members)

    # Status of this node and of others.

    def send_status(self, now: float, recipient: str, sequence: int) -> list[Effect]:
        """Send this node's status to a member; `sequence` is that of its request, 0 without a request."""
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
        """Answer with this node's status; request the sender's status if it holds a later version."""
        effects = self.send_status(now, sender, request.seq)
        if request.number > self.number:
            effects.append(SendMessage(sender, StatusRequest(0, self.number)))
        return effects

    def receive_status(self, now: float, sender: str, status: StatusResponse) -> list[Effect]:
        """Handle another member's status: count it for the lease, or fetch the later version it holds."""
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
        """Handle a chunk; once the content is complete, hold it and handle its waiting accept request."""
        effects, completed = self.fetcher.receive_chunk(sender, chunk)
        if completed is None:
            return effects
        if completed.number:
            effects += self.persist_and_hold(completed.number, completed.content_id)
        return effects + self.voter.content_received(now, completed.content_id)

    # Holding a version.

    def persist_and_hold(self, number: int, content_id: str) -> list[Effect]:
        """Make a version durable whose content is stored, and hold it after that.

        Ignored if that version or a later one is held or pending.
        """
        pending = self.pending_version
        if number <= self.number or (pending is not None and pending.number >= number):
            return []
        if not self.may_be_version(content_id, number):
            return [LogLine(f"fleet code=number: content {content_id[:12]} is not that of version {number}")]
        data = self.store.contents[content_id]
        self.pending_version = PendingVersion(number, content_id)

        def on_durable(now: float) -> list[Effect]:
            if number <= self.number:
                return []
            self.store.contents[content_id] = data  # it may have been dropped when another version was held
            effects = self.hold(number, content_id)
            for name in self.sample_members(PUSHED_MEMBERS):
                effects += self.send_status(now, name, 0)
            return effects + self.lease.request_statuses(now)

        return [self.persist((ContentStored(content_id, data), VersionHeld(number, content_id)), on_durable)]

    def may_be_version(self, content_id: str, number: int) -> bool:
        """Return whether a content carries a version's number, or cannot be read.

        An unreadable content is reported by `hold`.
        """
        try:
            return self.read_content(content_id).number == number
        except InvalidContentError:
            return True

    def hold(self, number: int, content_id: str) -> list[Effect]:
        """Hold a durable version, and apply it if it can be used on this node."""
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
            text = f"version {number} cannot be used on this node: {self.unusable_reason}"
            return [*effects, LogLine(f"fleet code=unfit: {text}")]
        self.applied_number = number
        return [*effects, ApplyContent(number, content_id, content)]

    def adopt_content(self, content_id: str) -> Content | None:
        """Adopt voters and members from the content of the version held, and check it.

        Returns the content, or None if it is unreadable; sets `unusable_reason`.
        """
        self.content = None
        try:
            content = self.content = self.read_content(content_id)
        except InvalidContentError as error:
            # The voters on the next number are unknown: quorum reads of the voters of an earlier version
            # could give a false proof, which other members would adopt.
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
        """Drop the contents, fetches and waiting accept requests that no number above `number` needs."""
        needed = {state.value for state in self.voter.acceptor.promises.values()} | {self.content_id}
        if self.publisher.publication is not None:
            needed.add(self.publisher.publication.content_id)
        self.store.retain(needed)
        self.fetcher.drop_up_to(number)
        self.voter.forget_requests(number)
