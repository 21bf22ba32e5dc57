"""Replication in a simulated cluster under a seeded schedule of faults, checked against its bounds.

The members run replicas that agree on versions, transfer them and prove them, on the simulation that
`membership_schedules` uses too; their disks need time to write, become full, and are lost or restored from an
older state.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import msgspec

from marlseam.cluster.audit_log import LedgerBegun, LogRecord, VotesExcluded, recover_log
from marlseam.cluster.checking.fault_schedules import ScheduleDraws, draw_faults
from marlseam.cluster.checking.replication_checker import ReplicationChecker, ReplicationVerdict
from marlseam.cluster.checking.simulation import (
    DRIFT,
    PERIOD_MS,
    ClusterSimulation,
    InjectedFault,
    SimulatedMember,
)
from marlseam.cluster.membership_codec import InvalidMessageError
from marlseam.cluster.replication import messages
from marlseam.cluster.replication.content import FORMAT, Content, write
from marlseam.cluster.replication.effects import ApplyContent, Effect, Persist, SendMessage
from marlseam.cluster.replication.replica import ConfigReplica
from marlseam.cluster.replication.settings import ReplicationSettings
from marlseam.random_source import number

CLUSTER = "trial"
LEASE_PERIODS = 15.0
SERVE_LEASES = 100.0  # time, in leases, for which a node that is not strict serves without a proof
MAX_DISK_MS = 20.0  # longest time for one write
CHECK_PERIOD_MS = 100.0  # time between checks of all replicas
HEAL_PERIODS = 20.0  # protocol periods after the last fault within which a cluster recovers; see `heal_ms`
CONTENT_ROWS = 40  # rows in the settings of a content: enough for several chunks, and for smaller deltas
RESTART_MS = 1.0  # downtime of a process whose disk was lost or set back
VOTER_CHANGE_EVERY = 20  # marks of publications between two changes of voters
PUBLICATIONS, PUBLISHERS = 6, 2  # publications of a run, and members that publish at the same time
FAULTS = ("kill", "restart", "stop", "cut", "deaf", "mute", "pair", "hold", "full", "old", "lost", "halves")

ReplicaFactory = Callable[..., ConfigReplica]


def heal_ms(period_ms: float) -> float:
    """Return the time in ms, after the last fault, within which all able members act on the newest version.

    An abandoned publication is completed within two rounds of at most 8 periods each; a member that lags
    receives a status in the next period, and a content arrives at a rate of at least one window of chunks per
    period.
    """
    return HEAL_PERIODS * period_ms


@dataclass
class Disk:
    """The simulated disk of a member.

    Attributes:
        records: the records on the disk, in the order of writing.
        full_until: when the disk stops being full, in ms.
        busy_until: when the last write ends, in ms.

    """

    records: list[LogRecord] = field(default_factory=lambda: [LedgerBegun(0.0)])
    full_until: float = 0.0
    busy_until: float = 0.0


def replica_of(process: SimulatedMember) -> ConfigReplica:
    """Return the replica of a process of this simulation."""
    return cast(ConfigReplica, process.machine)


class ReplicationSimulation(ClusterSimulation):
    """A simulated cluster whose members run replicas.

    Attributes:
        disks: the disk of each member.
        checker: checks all disks and replicas.
        applied_at_ms: when a member first applied a version, by member and number.
        without_memory: members whose disks were lost or set back.
        corrupted_share: share of chunks that are sent with one bit changed.
        content_rows: rows in the published settings; with 0 contents are smaller than the deltas to them.

    """

    def __init__(  # noqa: PLR0913 - the faults and sizes that a run may vary
        self,
        nodes: int,
        seed: int,
        faults: list[InjectedFault],
        voters: int = 3,
        strict: bool = True,
        loss: float = 0.0,
        duplication: float = 0.0,
        drift: float = DRIFT,
        machine: ReplicaFactory = ConfigReplica,
        lease_periods: float = LEASE_PERIODS,
        corrupted_share: float = 0.0,
        rows: int = CONTENT_ROWS,
    ) -> None:
        """Start the members; `machine` creates the replica of each, from the arguments of `ConfigReplica`."""
        lease_ms = lease_periods * PERIOD_MS
        names = frozenset(f"n{i}" for i in range(nodes))
        first_voters = frozenset(f"n{i}" for i in range(min(voters, nodes)))
        self.disks: dict[str, Disk] = {}
        self.content_rows, self.corrupted_share, self.replica_factory = rows, corrupted_share, machine
        self.settings = ReplicationSettings(
            first_voters, PERIOD_MS, lease_ms, strict, SERVE_LEASES * lease_ms
        )
        self.checker = ReplicationChecker(names, first_voters, lease_ms, bool(corrupted_share))
        self.applied_at_ms: dict[tuple[str, int], float] = {}
        self.without_memory: set[str] = set()
        super().__init__(nodes, seed, faults, loss, duplication, drift)
        self.at(CHECK_PERIOD_MS, self.check)

    # Implementation of the simulation for replicas.

    def new_machine(self, name: str, seed: int) -> ConfigReplica:
        """Return the replica of a process, recovered from the member's disk."""
        recovered = recover_log(self.disks.setdefault(name, Disk()).records)
        replica = self.replica_factory(
            name, self.names, self.settings, f"{name}/{self.process_count}", seed, 0.0, recovered
        )
        replica.next_ms = PERIOD_MS * self.random()
        return replica

    def replicas(self) -> list[ConfigReplica]:
        """Return all replicas, including those of processes that were killed."""
        return [replica_of(process) for process in self.processes.values()]

    def apply_effects(self, process: SimulatedMember, effects: list[Effect]) -> None:
        """Carry out the effects that a process returned."""
        for effect in effects:
            if not process.live:
                return
            match effect:
                case SendMessage():
                    self.send_message(process, effect)
                case Persist():
                    self.begin_write(process, effect)
                case ApplyContent():
                    self.applied_at_ms.setdefault((process.name, effect.number), self.now)

    def send_message(self, process: SimulatedMember, effect: SendMessage) -> None:
        """Send a message, after injecting the fault of this step, if any."""
        fault = self.fault_at_step(process, True, messages.kind_of(effect.message))
        if fault is not None:
            self.inject(fault, process)
        if process.live:
            message = self.maybe_corrupted(effect.message)
            datagram = messages.ReplicationDatagram(messages.VERSION, CLUSTER, process.name, message)
            hold_ms = fault.for_ms if fault is not None and fault.fault == "hold" else 0.0
            self.send(process, effect.recipient, messages.write(datagram), hold_ms)

    def maybe_corrupted(self, message: messages.ReplicationMessage) -> messages.ReplicationMessage:
        """Return the message; of a chunk, at random, a copy with one bit changed."""
        if not self.corrupted_share or not isinstance(message, messages.Chunk):
            return message
        if self.random() >= self.corrupted_share:
            return message
        at = int(self.random() * len(message.data))
        data = message.data[:at] + bytes([message.data[at] ^ 1]) + message.data[at + 1 :]
        return msgspec.structs.replace(message, data=data)

    def deliver(self, process: SimulatedMember, data: bytes) -> None:
        """Pass a datagram to a process, after injecting the fault of this step, if any."""
        try:
            datagram = messages.read(data, CLUSTER, self.names)
        except InvalidMessageError:
            return
        fault = self.fault_at_step(process, False, messages.kind_of(datagram.message))
        if fault is not None:
            self.inject(fault, process)
        if process.live and process.stopped_until <= self.now:
            effects = replica_of(process).receive(self.local(process), datagram.sender, datagram.message)
            self.apply_effects(process, effects)

    # Disks.

    def begin_write(self, process: SimulatedMember, effect: Persist) -> None:
        """Schedule the end of a write, after all earlier writes of the member."""
        disk = self.disks[process.name]
        # Writes complete in order, as in the node's writer process.
        disk.busy_until = max(disk.busy_until, self.now + MAX_DISK_MS * self.random())
        self.at(disk.busy_until, self.end_write, process, effect)

    def end_write(self, process: SimulatedMember, effect: Persist) -> None:
        """Complete a write; if the process was killed in the meantime, the records are written at random."""
        disk = self.disks[process.name]
        if self.processes.get(process.name) is not process:
            return  # another process of the member uses the disk by now
        if disk.full_until > self.now:
            replica_of(process).disk_fault = "full"
            if process.live:
                replica_of(process).persist_failed(effect.token)
            return
        if process.live or self.random() < 0.5:
            disk.records = [*disk.records, *effect.records]
            self.written(process.name, effect.records)
        if process.stopped_until > self.now:
            self.at(process.stopped_until, self.confirm_write, process, effect.token)
        else:
            self.confirm_write(process, effect.token)

    def written(self, name: str, records: tuple[LogRecord, ...]) -> None:
        """Pass records that were written to a disk to the checker."""
        self.checker.records_written(self.now, name, records, self.replicas())

    def confirm_write(self, process: SimulatedMember, token: int) -> None:
        """Notify a process that the records with a token are durable."""
        if process.live:
            replica_of(process).disk_fault = ""
            self.apply_effects(process, replica_of(process).persisted(self.local(process), token))
            self.schedule_tick(process)

    # Faults.

    def inject(self, fault: InjectedFault, process: SimulatedMember) -> None:
        """Inject a fault, also the faults of disks and networks.

        `full`: the disk takes no records for the fault's duration. `lost`: the process restarts with an empty
        disk. `old`: it restarts with an older state of its disk. `halves`: the network is partitioned into
        halves.
        """
        if fault.fault == "full":
            self.fill_disk(process.name, self.now + fault.for_ms)
        elif fault.fault in ("old", "lost"):
            self.lose_disk(process, is_set_back=fault.fault == "old")
        elif fault.fault == "halves":
            self.cut_in_halves(self.now + fault.for_ms)
        else:
            super().inject(fault, process)

    def fill_disk(self, name: str, until: float) -> None:
        """Make a disk full until a time."""
        self.fault_spans.append((self.now, until))
        self.disks[name].full_until = until
        self.at(until, self.empty_disk, name)

    def empty_disk(self, name: str) -> None:
        """End the disk fault of a member, unless its disk was made full for longer in the meantime."""
        if self.disks[name].full_until <= self.now:
            replica_of(self.processes[name]).disk_fault = ""

    def lose_disk(self, process: SimulatedMember, is_set_back: bool) -> None:
        """Kill a process and erase its disk, or set the disk back to an older state."""
        self.fault_spans.append((self.now, self.now + RESTART_MS))
        process.live = False
        self.without_memory.add(process.name)
        records = self.disks[process.name].records
        # The node detects this when it starts (store/ledger_writer.py), so that its memory of votes counts as
        # incomplete.
        left = records[: len(records) // 2] if is_set_back else []
        self.disks[process.name].records = [*left, VotesExcluded(-1)]
        self.at(self.now + RESTART_MS, self.restart, process.name, process)

    def cut_in_halves(self, until: float) -> None:
        """Partition the network between a random half of the members and the other half."""
        self.fault_spans.append((self.now, until))
        order = sorted(self.names, key=lambda name: number(b"%d:%s" % (self.seed, name.encode())))
        half = len(order) // 2
        for name in order[:half]:
            for other in order[half:]:
                self.cuts += [(name, other, until), (other, name, until)]

    # Checks and publications.

    def is_running(self, process: SimulatedMember) -> bool:
        """Return whether a process is neither killed nor stopped."""
        return process.live and process.stopped_until <= self.now

    def check(self) -> None:
        """Check all running replicas, and schedule the next check."""
        for process in self.processes.values():
            if self.is_running(process):
                self.checker.check_replica(self.now, self.local(process), replica_of(process))
        self.at(self.now + CHECK_PERIOD_MS, self.check)

    def stale_replicas(self) -> list[str]:
        """Return descriptions of the members that do not act on the newest version as proven."""
        return self.checker.stale_replicas(
            (self.local(process), replica_of(process)) for process in self.processes.values()
        )

    def publish(self, name: str, mark: int) -> None:
        """Publish settings with a mark on a member, if it is running."""
        process = self.processes[name]
        if not self.is_running(process):
            return
        replica = replica_of(process)
        content = Content(
            FORMAT,
            replica.number + 1,
            replica.content_id,
            self.voters_of(replica, mark),
            f"{name} {mark}",
            name,
            self.settings_of(mark),
        )
        self.apply_effects(process, replica.publish(self.local(process), write(content)))
        self.schedule_tick(process)

    def voters_of(self, replica: ConfigReplica, mark: int) -> list[str]:
        """Return the voters to publish; every `VOTER_CHANGE_EVERY` marks another member replaces a voter."""
        others = sorted(self.names - replica.voters)
        voters = sorted(replica.voters)
        if mark % VOTER_CHANGE_EVERY == VOTER_CHANGE_EVERY // 2 and others:
            voters[0] = others[mark % len(others)]
        return voters

    def settings_of(self, mark: int) -> dict[str, Any]:
        """Return settings with a mark, which also changes one of their rows if they have any."""
        settings: dict[str, Any] = {"x": mark}
        if self.content_rows:
            rows = {f"t{i:02d}": {"quota": i, "urgent": i % 4 == 0} for i in range(self.content_rows)}
            marked = {f"t{mark % self.content_rows:02d}": {"quota": 1000 + mark, "urgent": True}}
            settings["teams"] = rows | marked
        return settings


def draw_step(draws: ScheduleDraws) -> tuple[messages.MessageKind, int]:
    """Draw the kind and ordinal of the message before which a fault is injected: often an early Paxos one."""
    kind = messages.MessageKind(11 + draws(9)) if draws(3) else messages.MessageKind(13 + draws(4))
    return kind, 10 + draws(60) if kind < messages.MessageKind.PREPARE else 1 + draws(3)


def schedule(nodes: int, seed: int, max_faults: int = 4) -> list[InjectedFault]:
    """Return the random fault schedule of a seed, with at most `max_faults` faults."""
    return draw_faults(ScheduleDraws("trial", seed), nodes, draw_step, FAULTS, 45, max_faults)


def play(
    nodes: int,
    seed: int,
    faults: list[InjectedFault],
    machine: ReplicaFactory = ConfigReplica,
    strict: bool = True,
    rows: int = CONTENT_ROWS,
    corrupted_share: float = 0.0,
) -> ReplicationVerdict:
    """Run a schedule with concurrent publications, wait for the cluster to recover, and check the run."""
    simulation = ReplicationSimulation(
        nodes,
        seed,
        faults,
        strict=strict,
        duplication=0.02,
        machine=machine,
        rows=rows,
        corrupted_share=corrupted_share,
    )
    publish_all(simulation, nodes, seed)
    ended_ms = simulation.stop_faults(faults)
    simulation.run(ended_ms)
    bound_ms = heal_ms(PERIOD_MS) * (1.0 + 2.0 * DRIFT)
    stale = run_until_healed(simulation, ended_ms + bound_ms)
    checker = simulation.checker
    violations = checker.findings[:3]
    nearest = {"stale": checker.max_stale_ms / simulation.settings.lease_ms}
    if checker.may_vote_again(simulation.without_memory):
        # If a majority of voters has lost its memory of votes, no member may vote again, and operators have
        # to start a cluster of another name.
        violations += [f"{bound_ms:.0f} ms after the last fault: {text}" for text in stale[:3]]
        nearest["alike after a heal"] = (simulation.now - ended_ms) / bound_ms
    if not faults and len(checker.chosen) < PUBLICATIONS:
        violations.append(
            f"{len(checker.chosen)} of {PUBLICATIONS} publications were chosen without any fault"
        )
    return ReplicationVerdict(violations, nearest, len(checker.chosen))


def publish_all(simulation: ReplicationSimulation, nodes: int, seed: int) -> None:
    """Run the phase of publications, each of which `PUBLISHERS` members publish at the same time."""
    simulation.run(3.0 * PERIOD_MS)
    for i in range(PUBLICATIONS):
        simulation.run((4.0 + 8.0 * i) * PERIOD_MS)
        for j in range(PUBLISHERS):
            publisher = number(b"%d:%d:%d" % (seed, i, j)) % nodes
            simulation.publish(f"n{publisher}", 10 * i + j)
    simulation.run(60.0 * PERIOD_MS)


def run_until_healed(simulation: ReplicationSimulation, limit_ms: float) -> list[str]:
    """Run until all members act on the newest version as proven, or up to `limit_ms`; describe the others."""
    stale, step_ms = simulation.stale_replicas(), simulation.now
    while stale and step_ms < limit_ms:
        step_ms += PERIOD_MS / 2.0
        simulation.run(step_ms)
        stale = simulation.stale_replicas()
    return stale


def play_seed(nodes: int, seed: int) -> ReplicationVerdict:
    """Run and check the schedule of a seed."""
    return play(nodes, seed, schedule(nodes, seed))
