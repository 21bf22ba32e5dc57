"""Nodes that replicate a configuration, simulated in one process and in virtual time.

Each node is a real `ConfigReplica` with the real codecs and checks, without sockets. The nodes run on a clock
that does not count processor time, so that counts (bytes, datagrams, values) are the same in each run. A
second, charged clock counts the processor time: on it a node is busy for the processor time that it used, and
a datagram leaves when the node is no longer busy. Latencies are measured on the charged clock.
"""

import json
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from math import inf

from marlseam.cluster.audit_log import RecoveredLog, VersionHeld, encode
from marlseam.cluster.checking.replication_schedules import LEASE_PERIODS, replica_of
from marlseam.cluster.checking.simulation import (
    DRIFT,
    PERIOD_MS,
    TIMER_ROUNDING_MS,
    ClusterSimulation,
    SimulatedMember,
)
from marlseam.cluster.replication import messages
from marlseam.cluster.replication.content import FORMAT, Content, SettingsDigester, read, write
from marlseam.cluster.replication.effects import ApplyContent, Effect, Persist, SendMessage
from marlseam.cluster.replication.replica import ConfigReplica
from marlseam.cluster.replication.settings import ReplicationSettings
from marlseam.configuration import ConfigError, Deployment, deployment_from
from marlseam.experiment.config_change_usage import SimulatedUsage
from marlseam.experiment.config_change_workload import (
    CLUSTER_NAME,
    LAN,
    MAX_VOTERS,
    PUBLISHER,
    SETTLE_TIMEOUT_S,
    Delays,
    JsonObject,
    count_values,
    node_settings,
)

SERVE_WITHOUT_PROOF_LEASES = 100.0  # how long a node without a proof continues to serve, in leases
SETTLE_CHECK_MS = 100.0  # time between two checks whether all nodes have applied the newest version
HOSTS_PER_SUBNET = 250
NS_PER_MS = 1e6


@dataclass(frozen=True)
class OutgoingDatagram:
    """An encoded message to a member."""

    recipient: str
    data: bytes


@dataclass(frozen=True)
class EncodedEffects:
    """The effects of one call of a replica, by kind and in order, with their messages encoded."""

    datagrams: list[OutgoingDatagram] = field(default_factory=list)
    writes: list[Persist] = field(default_factory=list)
    applied: list[ApplyContent] = field(default_factory=list)


class ConfigChangeSimulation(ClusterSimulation):
    """Nodes of a cluster with versions of the configuration; times are in ms unless named `_s`.

    Times named `charged` are those of the charged clock.

    Attributes:
        voters: the names of the voters, n0 first.
        replication_settings: the settings of each replica.
        replica_type: the class of each node's replica.
        delays: the delays of the network, the disks and the operator.
        own_settings: the settings of a node, which include its zone.
        listed_members: the addresses that each content lists, by member; empty if contents list no members.
        last_arrival_ms: when the last datagram sent arrives, by sender and recipient.
        busy_until_ms: until when a node is busy on the charged clock, by node.
        disk_busy_until_ms, charged_disk_busy_until_ms: until when a node's disk is busy, on either clock.
        cpu_ms: processor time used, by node.
        bytes_sent: bytes sent, by node.
        datagrams_by_kind: datagrams sent, by the kind of message.
        values_read: values that nodes other than the publisher decoded from received versions.
        contents_applied: versions that nodes other than the publisher applied, in total.
        conflicting_contents: records that hold a version with another content than the one first held.
        applied_at_ms: when a node applied a version on the charged clock, by node and version.
        content_ids: the id of the content first held, by version.
        last_transfer_counts: `ContentStore.transfer_counts` of each node when it last applied a version.
        deployments: the deployment that each node has applied.
        digesters: the digesters of the settings that each node has applied.
        pending_settings: the settings that are still to be published, in order.
        requested_at_ms: when each version was requested, by version.
        is_publication_due: whether an operator's call is scheduled.
    """

    def __init__(
        self,
        nodes: int,
        seed: int,
        lists_members: bool = False,
        delays: Delays = LAN,
        replica_type: type[ConfigReplica] = ConfigReplica,
    ) -> None:
        """Start `nodes` nodes without a version."""
        names = [f"n{i}" for i in range(nodes)]
        self.voters = names[:MAX_VOTERS] if nodes >= MAX_VOTERS else names
        lease_ms = LEASE_PERIODS * PERIOD_MS
        self.replication_settings = ReplicationSettings(
            frozenset(self.voters), PERIOD_MS, lease_ms, False, SERVE_WITHOUT_PROOF_LEASES * lease_ms
        )
        self.replica_type, self.delays, self.own_settings = replica_type, delays, node_settings(nodes)
        self.listed_members = member_addresses(names) if lists_members else {}
        self.last_arrival_ms: defaultdict[tuple[str, str], float] = defaultdict(float)
        self.busy_until_ms: defaultdict[str, float] = defaultdict(float)
        self.disk_busy_until_ms: defaultdict[str, float] = defaultdict(float)
        self.charged_disk_busy_until_ms: defaultdict[str, float] = defaultdict(float)
        self.cpu_ms: defaultdict[str, float] = defaultdict(float)
        self.bytes_sent: Counter[str] = Counter()
        self.datagrams_by_kind: Counter[str] = Counter()
        self.values_read = self.contents_applied = self.conflicting_contents = 0
        self.applied_at_ms: dict[tuple[str, int], float] = {}
        self.content_ids: dict[int, str] = {}
        self.last_transfer_counts: dict[str, Counter[str]] = {}
        self.deployments: dict[str, Deployment] = {}
        self.digesters = {name: SettingsDigester() for name in names}
        self.pending_settings: list[JsonObject] = []
        self.requested_at_ms: dict[int, float] = {}
        self.is_publication_due = False
        super().__init__(nodes, seed, [], drift=DRIFT)

    # Steps of the simulation.

    def new_machine(self, name: str, seed: int) -> ConfigReplica:
        """Return the replica of a new process, which checks contents as a node does."""
        replica = self.replica_type(
            name,
            self.names,
            self.replication_settings,
            f"{name}/{self.process_count}",
            seed,
            0.0,
            RecoveredLog(begun=True),
            partial(self.check_content, name),
        )
        replica.next_ms = PERIOD_MS * self.random()
        return replica

    def check_content(self, name: str, content: Content) -> str:
        """Return why a node cannot use a content, or an empty string if it can."""
        try:
            self.load_deployment(name, content.settings)
        except ConfigError as error:
            return str(error)
        return ""

    def load_deployment(self, name: str, shared: JsonObject) -> Deployment:
        """Return the deployment that a node makes of shared settings; raises ConfigError for wrong ones."""
        settings = shared | {"zone": self.own_settings["zone"]}
        return deployment_from(settings, before=self.deployments.get(name), is_complete=True)

    def run_call(self, process: SimulatedMember, charged_ms: float, call: Callable[[], list[Effect]]) -> None:
        """Make a call on a node, add its processor time, and carry out its effects.

        `charged_ms` is when the call is due on the charged clock.
        """
        name = process.name
        began_ns = time.thread_time_ns()
        effects = self.encode_effects(name, call())
        spent_ms = (time.thread_time_ns() - began_ns) / NS_PER_MS
        self.cpu_ms[name] += spent_ms
        done_ms = self.busy_until_ms[name] = max(charged_ms, self.busy_until_ms[name]) + spent_ms
        for datagram in effects.datagrams:
            self.send_datagram(name, datagram, done_ms)
        for persist in effects.writes:
            self.begin_write(process, persist, done_ms)
        for apply in effects.applied:
            self.record_applied(process, apply, done_ms)
        if name == PUBLISHER:
            self.schedule_publication()

    def encode_effects(self, name: str, effects: list[Effect]) -> EncodedEffects:
        """Do the processor work of effects: encode messages and records, apply contents."""
        encoded = EncodedEffects()
        for effect in effects:
            if type(effect) is SendMessage:
                datagram = messages.ReplicationDatagram(messages.VERSION, CLUSTER_NAME, name, effect.message)
                encoded.datagrams.append(OutgoingDatagram(effect.recipient, messages.write(datagram)))
                self.datagrams_by_kind[messages.kind_of(effect.message).name.lower()] += 1
            elif type(effect) is Persist:
                for record in effect.records:
                    encode(record)
                encoded.writes.append(effect)
            elif type(effect) is ApplyContent:
                self.apply_content(name, effect.content)
                encoded.applied.append(effect)
        return encoded

    def apply_content(self, name: str, content: Content) -> None:
        """Apply a content as a node does."""
        self.deployments[name] = self.load_deployment(name, content.settings)
        self.digesters[name].digest(content.settings)

    def send_datagram(self, sender: str, datagram: OutgoingDatagram, charged_ms: float) -> None:
        """Send a datagram, which leaves at `charged_ms` on the charged clock."""
        self.bytes_sent[sender] += len(datagram.data)
        delay_ms = self.delays.min_datagram_ms + self.delays.datagram_span_ms * self.random()
        due_ms = self.now + delay_ms
        if not self.delays.reorders:
            path = sender, datagram.recipient
            due_ms = self.last_arrival_ms[path] = max(due_ms, self.last_arrival_ms[path])
        arrival_ms = charged_ms + due_ms - self.now
        self.at(due_ms, self.receive_datagram, datagram.recipient, datagram.data, arrival_ms)

    def receive_datagram(self, recipient: str, data: bytes, charged_ms: float) -> None:
        """Deliver a datagram to the process of its recipient."""
        process = self.processes[recipient]

        def receive() -> list[Effect]:
            datagram = messages.read(data, CLUSTER_NAME, self.names)
            return replica_of(process).receive(self.local(process), datagram.sender, datagram.message)

        self.run_call(process, charged_ms, receive)
        self.schedule_tick(process)

    def begin_write(self, process: SimulatedMember, persist: Persist, charged_ms: float) -> None:
        """Start a write of records to a node's disk, after the writes that are under way there."""
        name = process.name
        write_ms = self.delays.max_disk_ms * self.random()
        done_ms = max(self.disk_busy_until_ms[name], self.now) + write_ms
        charged_done_ms = max(self.charged_disk_busy_until_ms[name], charged_ms) + write_ms
        self.disk_busy_until_ms[name] = done_ms
        self.charged_disk_busy_until_ms[name] = charged_done_ms
        self.at(done_ms, self.end_write, process, persist.token, charged_done_ms)
        for record in persist.records:
            if type(record) is VersionHeld:
                first_id = self.content_ids.setdefault(record.number, record.id)
                self.conflicting_contents += first_id != record.id

    def end_write(self, process: SimulatedMember, token: int, charged_ms: float) -> None:
        """Notify a node that records are durable."""
        persisted = partial(replica_of(process).persisted, self.local(process), token)
        self.run_call(process, charged_ms, persisted)
        self.schedule_tick(process)

    def record_applied(self, process: SimulatedMember, apply: ApplyContent, charged_ms: float) -> None:
        """Record that a node has applied a version, and count the values that it decoded.

        The publisher is not counted, since it has the content from its operator.
        """
        self.applied_at_ms[process.name, apply.number] = charged_ms
        if process.name != PUBLISHER:
            self.contents_applied += 1
            self.values_read += self.values_received(process, apply)

    def values_received(self, process: SimulatedMember, apply: ApplyContent) -> int:
        """Return how many values a node decoded since it last applied a version: whole contents and edits."""
        content_values = count_values(apply.content.settings) + len(apply.content.members)
        counts = replica_of(process).store.transfer_counts
        earlier = self.last_transfer_counts.get(process.name, Counter())
        self.last_transfer_counts[process.name] = counts.copy()
        return content_values * (counts["whole"] - earlier["whole"]) + counts["edits"] - earlier["edits"]

    def tick(self, process: SimulatedMember) -> None:
        """Run a node's timer if it is due, and schedule the next tick."""
        process.tick_at = inf
        replica, now_ms = replica_of(process), self.local(process)
        if replica.next_ms <= now_ms + TIMER_ROUNDING_MS:
            self.run_call(process, self.now, partial(replica.tick, now_ms))
        self.schedule_tick(process)

    # Publications.

    def request_publication(self, settings: JsonObject) -> None:
        """Queue settings for publication, and publish them at once if no call is scheduled or under way."""
        self.pending_settings.append(settings)
        if not self.is_publication_due:
            self.publish_next()

    def schedule_publication(self) -> None:
        """Schedule the operator's next call if settings are pending and none is scheduled."""
        if self.pending_settings and not self.is_publication_due:
            self.is_publication_due = True
            self.at(self.now + self.delays.operator_ms, self.publish_next)

    def publish_next(self) -> None:
        """Publish the next settings at the publisher, unless it has a publication under way or is behind."""
        self.is_publication_due = False
        process = self.processes[PUBLISHER]
        replica = replica_of(process)
        is_publishing = replica.publisher.publication is not None or replica.pending_version is not None
        is_behind = replica.number < max(self.requested_at_ms, default=0)
        if not self.pending_settings or is_publishing or is_behind:
            return
        body = json.dumps(self.pending_settings.pop(0)).encode()
        number = replica.number + 1
        self.requested_at_ms[number] = self.now
        self.run_call(process, self.now, partial(self.publish, process, number, body))
        self.schedule_tick(process)

    def publish(self, process: SimulatedMember, number: int, body: bytes) -> list[Effect]:
        """Publish settings at a replica, read and checked as a node does for an operator's call.

        Return the replica's effects; raises ConfigError if the settings are wrong.
        """
        replica = replica_of(process)
        settings = json.loads(body)
        content = Content(
            FORMAT,
            number,
            replica.content_id,
            sorted(self.voters),
            f"change {number}",
            process.name,
            settings,
            self.listed_members,
        )
        data = write(content)
        self.load_deployment(process.name, read(data, replica.members).settings)
        return replica.publish(self.local(process), data)

    def settle(self) -> None:
        """Run until all nodes have applied the newest version, or for `SETTLE_TIMEOUT_S` at most."""
        end_ms = self.now + 1000.0 * SETTLE_TIMEOUT_S
        while self.now < end_ms:
            self.run(self.now + SETTLE_CHECK_MS)
            if not self.pending_settings and self.all_applied(max(self.requested_at_ms)):
                break

    # Measurements.

    def all_applied(self, number: int) -> bool:
        """Return whether all nodes have applied a version or a later one."""
        return all(replica_of(process).applied_number >= number for process in self.processes.values())

    def last_applied_s(self, number: int) -> float:
        """Return the time in s from a version's request until the last node applied it or a later one.

        The time is that of the charged clock; it is inf if a node has not applied one.
        """
        first_ms = dict.fromkeys(self.names, inf)
        for (name, applied), at_ms in self.applied_at_ms.items():
            if applied >= number:
                first_ms[name] = min(first_ms[name], at_ms)
        return (max(first_ms.values()) - self.requested_at_ms[number]) / 1000.0

    def usage(self) -> SimulatedUsage:
        """Return the usage of the nodes so far."""
        non_voters = self.names - set(self.voters)
        return SimulatedUsage(
            time_ms=self.now,
            bytes=sum(self.bytes_sent.values()) / len(self.names),
            datagrams=sum(self.datagrams_by_kind.values()) / len(self.names),
            values_read=self.values_read,
            contents_applied=self.contents_applied,
            cpu_ms=sum(self.cpu_ms[name] for name in non_voters) / max(1, len(non_voters)),
            publisher_cpu_ms=self.cpu_ms[PUBLISHER],
            publisher_bytes=self.bytes_sent[PUBLISHER],
        )


def member_addresses(names: list[str]) -> dict[str, str]:
    """Return a distinct address for each member, by name."""
    return {
        name: f"10.0.{i // HOSTS_PER_SUBNET}.{i % HOSTS_PER_SUBNET + 1}:7000" for i, name in enumerate(names)
    }
