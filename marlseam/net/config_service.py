"""The service of configuration versions: connects the pure replica and the ledger to a node.

Before a request is accepted or an attempt sent, `refresh` evaluates whether the node may serve. It reads the
clock, so that this also holds after the process was stopped for a while. Each action is counted under the
interval in which it occurs (`action_ledger`). Operators' requests are handled in `config_requests`.
"""

import os
from collections.abc import Callable, Iterable, Mapping
from math import inf
from pathlib import Path
from typing import Any

from marlseam.cluster.audit_log import LogRecord, RecoveredLog, VersionHeld
from marlseam.cluster.replication import messages
from marlseam.cluster.replication.content import (
    Content,
    InvalidContentError,
    SettingsDigester,
    settings_digest,
)
from marlseam.cluster.replication.effects import ApplyContent, Effect, LogLine, Persist, SendMessage
from marlseam.cluster.replication.replica import ConfigReplica
from marlseam.cluster.replication.serving import ServingStatus
from marlseam.cluster.replication.settings import ReplicationSettings
from marlseam.configuration import ClusterSettings, ConfigError, member_address
from marlseam.net.action_ledger import Action, ActionBasis, ActionLedger
from marlseam.net.config_port import ConfigServicePort
from marlseam.net.config_requests import ConfigRequests, Response
from marlseam.net.ledger_client import LedgerClient
from marlseam.net.log import Log
from marlseam.net.loop import Coroutine, Loop
from marlseam.net.node_ledger import NodeLedger
from marlseam.net.stamped_attempt import StampedAttempt

__all__ = ["ConfigServicePort", "ConfigVersionService"]

CHECK_PERIOD_MS = 1000.0  # longest time between writes of counts, and between evaluations of the status
PROPOSER_RANDOM_BYTES = 8  # in a proposer's id, so that no two processes of one generation share it
SEQUENCE_RANDOM_BYTES = 5  # of the number from which a process counts its quorum reads, below MAX_NUMBER
STATUS_OK = 200


def ignore_members(_members: Mapping[str, str]) -> None:
    """Ignore the members that a version names: the default for `on_members`."""


class ConfigVersionService:
    """One node's replica, ledger and serving status.

    Attributes:
        replica: the replica of the replicated configuration; None until the ledger was read.
        serving_status: the status as last evaluated.
        valid_until_ms: until when that status holds, by the loop's clock.
        last_list_version: the version of the endpoint list at the last refresh.
        last_settings: the settings in force at the last refresh.
        last_settings_digest: the digest of these settings.
        held_digest: the content held, and the digest of its settings.
        notified_members: the members that `on_members` was last called with.
        node_ledger: the ledgers of this node; its `current` one is written by this process.
        actions: counts the actions of this process.
        requests: carries out operators' requests.
        timer: the next call of `tick`.
        is_beside: whether this process started while another of the node had the ledger.
        is_started: whether the node is constructed, so that its service and settings can be changed.

    """

    DATAGRAM_PREFIX = messages.DATAGRAM_PREFIX

    def __init__(  # noqa: PLR0913 - the parts that a service connects
        self,
        loop: Loop,
        log: Log,
        settings: ClusterSettings,
        name: str,
        generation: int,
        seed: int,
        port: ConfigServicePort,
        send: Callable[[str, bytes], None],
        on_members: Callable[[Mapping[str, str]], None] = ignore_members,
    ) -> None:
        """Create the service of member `name`; raises ConfigError where the settings name no ledger folder.

        `send` sends a datagram to a member; `on_members` is called with the members that a version names.
        """
        self.loop, self.log, self.settings, self.name = loop, log, settings, name
        self.generation, self.seed, self.port = generation, seed, port
        self.send, self.on_members = send, on_members
        self.replica: ConfigReplica | None = None
        self.serving_status, self.valid_until_ms = ServingStatus(False, False, "locked"), 0.0
        self.last_list_version = -1
        self.last_settings: object = None
        self.last_settings_digest, self.digester = "", SettingsDigester()
        self.held_digest: tuple[Content | None, str] = (None, "")
        self.notified_members: Mapping[str, str] = {}
        if settings.folder is None:
            raise ConfigError("fleet.folder", None, "a folder for the ledger")
        folder = Path(settings.folder)
        self.node_ledger = NodeLedger(loop, log, folder, name, self.recover, self.take_over_ledger)
        self.actions = ActionLedger(self.node_ledger, name, generation, settings.lease_ms)
        self.requests = ConfigRequests(self)
        self.timer = loop.call_at(loop.now(), lambda: None)
        self.is_beside = self.is_started = False

    # Start and end.

    def load(self) -> Content | None:
        """Read the ledger if it can be locked now; return the held content, None if none is to be applied."""
        is_loaded = self.node_ledger.load(self.port.may_write_beside)
        if not is_loaded or self.replica is None or not self.replica.applied_number:
            return None
        return self.held_content()

    def held_content(self) -> Content:
        """Return the content of the held version; raises InvalidContentError."""
        replica = self.replica
        if replica is None:
            raise InvalidContentError("no version is held: the ledger is not read")
        return replica.content or replica.read_content(replica.content_id)

    @property
    def ledger(self) -> LedgerClient:
        """The ledger that this process writes to at present."""
        return self.node_ledger.current

    def take_over_ledger(self, recovered: RecoveredLog) -> None:
        """Continue in the node's main ledger, with its memory of votes; from now on this process may vote."""
        if self.replica is not None:
            self.replica.adopt_memory(recovered)
        self.actions.write_all_again(self.loop.now())

    def recover(self, recovered: RecoveredLog) -> None:
        """Create the replica from what the ledger holds; called once, when the ledger was read."""
        recovered = self.node_ledger.merge_other(recovered)
        self.is_beside = self.node_ledger.main is not None
        now = self.loop.now()
        replica = self.replica = self.make_replica(now, recovered)
        if replica.unusable_reason:
            self.log.line(
                f"fleet code=unfit: version {replica.number} cannot be used on this node: "
                f"{replica.unusable_reason}"
            )
        replica.voter.is_memory_in_other_process = self.is_beside
        if recovered.votes_excluded_up_to is None and not self.is_beside:
            self.log.line(
                "fleet code=lost: this node's earlier votes are not known, it does not vote until a majority "
                "of the voters has reported its highest promises"
            )
        self.actions.begin_process(now, self.is_beside)
        if replica.applied_number:
            content = self.held_content()
            self.notify_members(content.members)
            if self.is_started:
                self.port.apply(content.settings)

    def make_replica(self, now: float, recovered: RecoveredLog) -> ConfigReplica:
        """Return a replica that starts from what was recovered from the ledger."""
        cluster = self.settings
        settings = ReplicationSettings(
            frozenset(cluster.voters), cluster.period_ms, cluster.lease_ms, cluster.strict, cluster.serve_ms
        )
        proposer_id = f"{self.name}/{self.generation}/{os.urandom(PROPOSER_RANDOM_BYTES).hex()}"
        members = frozenset(cluster.members)
        last_sequence = int.from_bytes(os.urandom(SEQUENCE_RANDOM_BYTES))
        return ConfigReplica(
            self.name,
            members,
            settings,
            proposer_id,
            self.seed,
            now,
            recovered,
            self.content_fault,
            last_sequence,
        )

    def start(self) -> None:
        """Start to write, to send and to receive; called once the node is constructed."""
        self.is_started = True
        self.node_ledger.start()
        self.refresh()
        self.port.serve(self.serving_status.is_serving)
        self.tick()

    def close(self) -> None:
        """Write the last counts and close the ledger, as the node ends."""
        self.actions.end_process()
        self.ledger.close()

    # Other processes of this node.

    def on_address_acquired(self) -> None:
        """Send status requests at once, as this process has bound the member's address now."""
        if self.replica is not None and self.is_started:
            self.replica.next_ms = self.loop.now()
            self.tick()

    def machine_offset_ms(self) -> float:
        """Return the loop clock's zero in ms of the machine's monotonic clock, which all processes share."""
        return 1000.0 * self.loop.clock.zero

    def share_proof(self) -> None:
        """Send other processes of this node the time as of which the held version is proven in force."""
        replica = self.replica
        if replica is not None and replica.lease.proven_at_ms > -inf:
            proven_at_ms = replica.lease.proven_at_ms + self.machine_offset_ms()
            self.port.share_proof(replica.number, replica.content_id, proven_at_ms)

    def receive_proof(self, number: int, content_id: str, monotonic_ms: float) -> None:
        """Take over a proof from another process of this node, and its version if that is later.

        `monotonic_ms` is in ms of the machine's monotonic clock. The content of a later version is read from
        the other process's ledger.
        """
        replica, now = self.replica, self.loop.now()
        if replica is None:
            return
        proven_at_ms = monotonic_ms - self.machine_offset_ms()
        if number > replica.number:
            replica.store.contents |= self.node_ledger.merge_other(RecoveredLog()).contents
            if content_id in replica.store.contents:
                self.carry_out(replica.persist_and_hold(number, content_id))
        elif proven_at_ms <= now:
            replica.lease.extend(proven_at_ms)
            self.invalidate()
            self.refresh()

    # The replica.

    def content_fault(self, content: Content) -> str:
        """Return why a content cannot be used on this node; "" if it can."""
        try:
            for name, value in content.members.items():
                if name not in self.settings.members:
                    member_address(f"members.{name}", value, self.settings.trusted)
        except ConfigError as error:
            return str(error)
        return self.port.settings_fault(content.settings)

    def receive_datagram(self, data: bytes, names: frozenset[str]) -> None:
        """Handle a datagram from one of the named members; raises InvalidMessageError."""
        datagram = messages.read(data, self.settings.name, names)
        if self.replica is not None and datagram.sender != self.name:
            self.carry_out(self.replica.receive(self.loop.now(), datagram.sender, datagram.message))
            if not self.serving_status.is_proven:
                self.invalidate()

    def tick(self) -> None:
        """Run the replica's due actions, refresh the status, write counts, and set the next timer."""
        self.loop.cancel_timer(self.timer)
        now = self.loop.now()
        due_ms = now + CHECK_PERIOD_MS
        if self.replica is not None:
            self.carry_out(self.replica.tick(now))
            self.invalidate()
        self.refresh()
        self.actions.write_counts()
        self.share_proof()
        if self.replica is not None:
            due_ms = min(due_ms, self.replica.next_ms)
        self.timer = self.loop.call_at(due_ms, self.tick)

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Carry out the replica's effects, in order."""
        for effect in effects:
            match effect:
                case SendMessage():
                    self.send(effect.recipient, self.datagram_of(effect.message))
                case Persist():
                    self.loop.spawn(self.persist(effect))
                case ApplyContent():
                    self.apply(effect)
                case LogLine():
                    self.log.line(effect.text)

    def datagram_of(self, message: messages.ReplicationMessage) -> bytes:
        """Return the datagram of a message."""
        return messages.write(
            messages.ReplicationDatagram(messages.VERSION, self.settings.name, self.name, message)
        )

    def apply(self, effect: ApplyContent) -> None:
        """Apply a version's settings and members to the node, and log it."""
        content = effect.content
        self.port.apply(content.settings)
        self.notify_members(content.members)
        self.log.line(f"acts on version {effect.number}, {effect.content_id[:12]}: {content.why}")
        self.invalidate()

    def notify_members(self, members: Mapping[str, str]) -> None:
        """Call `on_members` with the members that a version names, if it names any and they have changed."""
        if members and members != self.notified_members:
            self.notified_members = members
            self.on_members(members)

    def persist(self, effect: Persist) -> Coroutine:
        """Append records to the ledger, wait until they are durable, and report the result to the replica."""
        replica, number = self.replica, 0
        if replica is None:
            return
        for record in effect.records:
            number = self.ledger.append(self.with_time(record))
        if not (yield from self.ledger.wait_durable(number)):
            replica.persist_failed(effect.token)
            return
        self.carry_out(replica.persisted(self.loop.now(), effect.token))
        # From here on an operator's override, or a held version that cannot be used, affects the service.
        self.invalidate()
        self.refresh()

    def with_time(self, record: LogRecord) -> LogRecord:
        """Return a record with the Unix time of its writing, which the pure replica cannot set."""
        if isinstance(record, VersionHeld):
            return VersionHeld(record.number, record.id, self.ledger.wall_ms())
        return record

    # Serving status and intervals.

    def invalidate(self) -> None:
        """Have the next refresh evaluate the serving status anew."""
        self.valid_until_ms = 0.0

    def refresh(self) -> ServingStatus:
        """Return whether this node may serve; begin a new interval if the basis of actions has changed."""
        now, replica = self.loop.now(), self.replica
        # Called several times a request, and usually nothing has changed.
        is_same = (
            self.port.settings() is self.last_settings
            and self.port.endpoint_list_number() == self.last_list_version
        )
        if replica is None or (is_same and now < self.valid_until_ms):
            return self.serving_status
        if now >= self.valid_until_ms:
            self.evaluate_service(now, replica)
        basis = self.action_basis(replica)
        interval = self.actions.interval
        if interval is None or not basis.is_of(interval):
            self.actions.begin_interval(now, basis)
        return self.serving_status

    def evaluate_service(self, now: float, replica: ConfigReplica) -> None:
        """Evaluate the serving status, and put the node in or out of service when it changes."""
        replica.disk_fault = self.ledger.fault()
        before, status = self.serving_status, replica.serving.evaluate(now)
        self.serving_status = status
        self.valid_until_ms = min(replica.serving.next_change_ms(now), now + CHECK_PERIOD_MS)
        if before.is_serving != status.is_serving and self.is_started:
            if not status.is_serving:
                self.log.line(
                    f"fleet code={status.code}: out of service, this node is not ready, drains its clients' "
                    "connections and sends no attempts"
                )
            self.port.serve(status.is_serving)

    def action_basis(self, replica: ConfigReplica) -> ActionBasis:
        """Return the present basis of actions: version, settings, endpoint list and serving status."""
        status, list_version = self.serving_status, self.port.endpoint_list_number()
        settings, self.last_list_version = self.port.settings(), list_version
        if self.last_settings is not settings:
            self.last_settings, self.last_settings_digest = settings, self.digester.digest(settings)
        content_id = replica.content_id if replica.applied_number == replica.number else ""
        return ActionBasis(
            replica.applied_number, content_id, self.last_settings_digest, list_version, status
        )

    def held_settings_digest(self) -> str:
        """Return the digest of the held version's settings; "" where its content cannot be read."""
        try:
            held = self.held_content()
        except InvalidContentError:
            return ""
        if self.held_digest[0] is not held:
            self.held_digest = held, settings_digest(held.settings)
        return self.held_digest[1]

    def has_version(self) -> bool:
        """Return whether this node acts on one of the cluster's versions."""
        return self.replica is not None and self.replica.applied_number > 0

    def report_local_settings(self, settings: Mapping[str, Any]) -> None:
        """Log that the settings of the node's own file are ignored, if they differ from those in force."""
        if settings_digest(settings) != self.last_settings_digest:
            self.log.line(
                "fleet code=local-refused: the settings in this node's file are ignored, those of the "
                "configuration version stay in force"
            )

    # Actions.

    def stamp_attempt(self) -> StampedAttempt:
        """Return an object that stamps an attempt once it is sent, and counts it."""
        return StampedAttempt(self.actions, self.may_accept)

    def may_accept(self) -> bool:
        """Return whether a request may be accepted now."""
        return self.refresh().is_serving

    def record_accepted(self) -> None:
        """Count an accepted request."""
        self.actions.count(Action.TAKEN)

    def record_response(self, status: int) -> None:
        """Count a response with HTTP status 200 as answered, any other one as refused."""
        self.actions.count(Action.ANSWERED if status == STATUS_OK else Action.REFUSED)

    # Operators.

    def publish(self, body: bytes) -> Response:
        """Start the publication of settings as the next version; `body` is the JSON of the request."""
        return self.requests.publish(body)

    def override_by_operator(self, why: str | None) -> Response:
        """Take this node out of service for a reason, or with None end that; it holds across restarts."""
        return self.requests.override(why)

    def status(self) -> dict[str, Any]:
        """Return this node's status and the last reported status of each other member; ages in ms."""
        return self.requests.status()
