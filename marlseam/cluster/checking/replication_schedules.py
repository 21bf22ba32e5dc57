"""Versions of a cluster in virtual time, under faults of a seeded schedule, checked against their bounds.

The simulation is that of `membership_schedules`; here its members agree on versions, spread and prove them,
with disks that take time, fail, and are lost or set back.
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
SERVE_LEASES = 100.0  # for which one that is not strict serves on without a proof
MAX_DISK_MS = 20.0  # for a write
CHECK_PERIOD_MS = 100.0  # between checks of all replicas
HEAL_PERIODS = 20.0
CONTENT_ROWS = 40  # of a content's settings: deltas are fewer bytes, and the whole several chunks
RESTART_MS = 1.0  # of a process whose disk was lost
VOTER_CHANGE_EVERY = 20  # publications
PUBLICATIONS, PUBLISHERS = 6, 2  # of a run, and members that publish each of them at once
FAULTS = ("kill", "restart", "stop", "cut", "deaf", "mute", "pair", "hold", "full", "old", "lost", "halves")

ReplicaFactory = Callable[..., ConfigReplica]


def heal_ms(period_ms: float) -> float:
    """Return within what time, after the last fault, all that can act on the newest version.

    A publication left half done is finished within two rounds of at most 8 periods each; a member that lags
    hears of it in the next period, and a content comes at one window of chunks a period at the slowest.
    """
    return HEAL_PERIODS * period_ms


@dataclass
class Disk:
    """What a member's folder holds, and whether it takes more.

    Attributes:
        records: in the order of their writing.
        full_until: until when it is full, in ms.
        busy_until: until when writes are under way, in ms.

    """

    records: list[LogRecord] = field(default_factory=lambda: [LedgerBegun(0.0)])
    full_until: float = 0.0
    busy_until: float = 0.0


def replica_of(process: SimulatedMember) -> ConfigReplica:
    """Return the replica of a process of this simulation."""
    return cast(ConfigReplica, process.machine)


class ReplicationSimulation(ClusterSimulation):
    """Members of a cluster with versions.

    Attributes:
        disks: by member.
        checker: sees all disks and replicas.
        applied_at_ms: when each member began to act on a number, by both.
        without_memory: members whose disks were lost or set back.
        corrupted_share: of chunks, which come with one byte changed.
        content_rows: of the settings that are published; 0 for contents smaller than deltas to them.

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
        twists: float = 0.0,
        rows: int = CONTENT_ROWS,
    ) -> None:
        """Make a cluster of some members, `machine` makes the replica of each."""
        lease_ms = lease_periods * PERIOD_MS
        names = frozenset(f"n{i}" for i in range(nodes))
        first_voters = frozenset(f"n{i}" for i in range(min(voters, nodes)))
        self.disks: dict[str, Disk] = {}
        self.content_rows, self.corrupted_share, self.replica_factory = rows, twists, machine
        self.settings = ReplicationSettings(
            first_voters, PERIOD_MS, lease_ms, strict, SERVE_LEASES * lease_ms
        )
        self.checker = ReplicationChecker(names, first_voters, lease_ms, bool(twists))
        self.applied_at_ms: dict[tuple[str, int], float] = {}
        self.without_memory: set[str] = set()
        super().__init__(nodes, seed, faults, loss, duplication, drift)
        self.at(CHECK_PERIOD_MS, self.check)

    # The simulation's steps, for replicas.

    def new_machine(self, name: str, seed: int) -> ConfigReplica:
        """Return a process's replica, with what its disk holds."""
        recovered = recover_log(self.disks.setdefault(name, Disk()).records)
        replica = self.replica_factory(
            name, self.names, self.settings, f"{name}/{self.process_count}", seed, 0.0, recovered
        )
        replica.next_ms = PERIOD_MS * self.random()
        return replica

    def replicas(self) -> list[ConfigReplica]:
        """Return all replicas, also those of processes that are down."""
        return [replica_of(process) for process in self.processes.values()]

    def apply_effects(self, process: SimulatedMember, effects: list[Effect]) -> None:
        """Carry out what a process asks for."""
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
        """Send a message, unless a fault strikes at this step."""
        fault = self.fault_at_step(process, True, messages.kind_of(effect.message))
        if fault is not None:
            self.inject(fault, process)
        if process.live:
            message = self.maybe_corrupted(effect.message)
            datagram = messages.ReplicationDatagram(messages.VERSION, CLUSTER, process.name, message)
            held_ms = fault.for_ms if fault is not None and fault.fault == "hold" else 0.0
            self.send(process, effect.recipient, messages.write(datagram), held_ms)

    def maybe_corrupted(self, message: messages.ReplicationMessage) -> messages.ReplicationMessage:
        """Return a message, or a chunk with one byte changed."""
        if not self.corrupted_share or not isinstance(message, messages.Chunk):
            return message
        if self.random() >= self.corrupted_share:
            return message
        at = int(self.random() * len(message.data))
        data = message.data[:at] + bytes([message.data[at] ^ 1]) + message.data[at + 1 :]
        return msgspec.structs.replace(message, data=data)

    def deliver(self, process: SimulatedMember, data: bytes) -> None:
        """Hand a datagram to a process."""
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
        """Begin to write, behind what is being written."""
        disk = self.disks[process.name]
        # In order, as the node's writer process does.
        disk.busy_until = max(disk.busy_until, self.now + MAX_DISK_MS * self.random())
        self.at(disk.busy_until, self.end_write, process, effect)

    def end_write(self, process: SimulatedMember, effect: Persist) -> None:
        """Have records on a disk: those of a process that was killed meanwhile may be there or not."""
        disk = self.disks[process.name]
        if self.processes.get(process.name) is not process:
            return  # its folder is another process's by now
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
        """Have the checker see what a disk holds now."""
        self.checker.records_written(self.now, name, records, self.replicas())

    def confirm_write(self, process: SimulatedMember, token: int) -> None:
        """Tell a process that something is durable."""
        if process.live:
            replica_of(process).disk_fault = ""
            self.apply_effects(process, replica_of(process).persisted(self.local(process), token))
            self.schedule_tick(process)

    # Faults.

    def inject(self, fault: InjectedFault, process: SimulatedMember) -> None:
        """Inject a fault."""
        if fault.fault == "full":
            self.fill_disk(process.name, self.now + fault.for_ms)
        elif fault.fault in ("old", "lost"):
            self.lose_disk(process, is_set_back=fault.fault == "old")
        elif fault.fault == "halves":
            self.cut_in_halves(self.now + fault.for_ms)
        else:
            super().inject(fault, process)

    def fill_disk(self, name: str, until: float) -> None:
        """Have a disk take no more for a while."""
        self.fault_spans.append((self.now, until))
        self.disks[name].full_until = until
        self.at(until, self.empty_disk, name)

    def empty_disk(self, name: str) -> None:
        """Have a disk take more again."""
        if self.disks[name].full_until <= self.now:
            replica_of(self.processes[name]).disk_fault = ""

    def lose_disk(self, process: SimulatedMember, is_set_back: bool) -> None:
        """Kill a process and lose what its disk holds, or set that back to an earlier state."""
        self.fault_spans.append((self.now, self.now + RESTART_MS))
        process.live = False
        self.without_memory.add(process.name)
        records = self.disks[process.name].records
        # Found out at the start (store/ledger_writer.py): the memory of votes is known not to be whole.
        left = records[: len(records) // 2] if is_set_back else []
        self.disks[process.name].records = [*left, VotesExcluded(-1)]
        self.at(self.now + RESTART_MS, self.restart, process.name, process)

    def cut_in_halves(self, until: float) -> None:
        """Cut a random half of the members off from the other half."""
        self.fault_spans.append((self.now, until))
        order = sorted(self.names, key=lambda name: number(b"%d:%s" % (self.seed, name.encode())))
        half = len(order) // 2
        for name in order[:half]:
            for other in order[half:]:
                self.cuts += [(name, other, until), (other, name, until)]

    # Checks and publications.

    def is_running(self, process: SimulatedMember) -> bool:
        """Return whether a process is neither down nor stopped."""
        return process.live and process.stopped_until <= self.now

    def check(self) -> None:
        """Check all replicas that run."""
        for process in self.processes.values():
            if self.is_running(process):
                self.checker.check_replica(self.now, self.local(process), replica_of(process))
        self.at(self.now + CHECK_PERIOD_MS, self.check)

    def stale_replicas(self) -> list[str]:
        """Return which members do not act on the newest version as proven."""
        return self.checker.stale_replicas(
            (self.local(process), replica_of(process)) for process in self.processes.values()
        )

    def publish(self, name: str, mark: int) -> None:
        """Have a member publish settings that carry a mark."""
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
        """Return the next voters: now and then a voter's place goes to another member."""
        others = sorted(self.names - replica.voters)
        voters = sorted(replica.voters)
        if mark % VOTER_CHANGE_EVERY == VOTER_CHANGE_EVERY // 2 and others:
            voters[0] = others[mark % len(others)]
        return voters

    def settings_of(self, mark: int) -> dict[str, Any]:
        """Return settings that carry a mark, in one of their rows if they have any."""
        settings: dict[str, Any] = {"x": mark}
        if self.content_rows:
            rows = {f"t{i:02d}": {"quota": i, "urgent": i % 4 == 0} for i in range(self.content_rows)}
            marked = {f"t{mark % self.content_rows:02d}": {"quota": 1000 + mark, "urgent": True}}
            settings["teams"] = rows | marked
        return settings


def draw_step(draws: ScheduleDraws) -> tuple[messages.MessageKind, int]:
    """Return a kind of message and its count, at which a fault strikes: often early ones of agreement."""
    kind = messages.MessageKind(11 + draws(9)) if draws(3) else messages.MessageKind(13 + draws(4))
    return kind, 10 + draws(60) if kind < messages.MessageKind.PREPARE else 1 + draws(3)


def schedule(nodes: int, seed: int, most: int = 4) -> list[InjectedFault]:
    """Return a random schedule of at most so many faults."""
    return draw_faults(ScheduleDraws("trial", seed), nodes, draw_step, FAULTS, 45, most)


def play(
    nodes: int,
    seed: int,
    faults: list[InjectedFault],
    machine: ReplicaFactory = ConfigReplica,
    strict: bool = True,
    rows: int = CONTENT_ROWS,
    twists: float = 0.0,
) -> ReplicationVerdict:
    """Play a schedule with publications by two at a time, wait until its last fault is over, and judge."""
    simulation = ReplicationSimulation(
        nodes, seed, faults, strict=strict, duplication=0.02, machine=machine, rows=rows, twists=twists
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
        # Where most voters have lost their memory nobody may vote again: a cluster of another name begins.
        violations += [f"{bound_ms:.0f} ms after all healed {text}" for text in stale[:3]]
        nearest["alike after a heal"] = (simulation.now - ended_ms) / bound_ms
    if not faults and len(checker.chosen) < PUBLICATIONS:
        violations.append(
            f"{len(checker.chosen)} of {PUBLICATIONS} publications were chosen with no fault there"
        )
    return ReplicationVerdict(violations, nearest, len(checker.chosen))


def publish_all(simulation: ReplicationSimulation, nodes: int, seed: int) -> None:
    """Play the time of the publications, each by some members at once."""
    simulation.run(3.0 * PERIOD_MS)
    for i in range(PUBLICATIONS):
        simulation.run((4.0 + 8.0 * i) * PERIOD_MS)
        for j in range(PUBLISHERS):
            publisher = number(b"%d:%d:%d" % (seed, i, j)) % nodes
            simulation.publish(f"n{publisher}", 10 * i + j)
    simulation.run(60.0 * PERIOD_MS)


def run_until_healed(simulation: ReplicationSimulation, limit_ms: float) -> list[str]:
    """Play until all act on the newest version as proven, or past a limit; return which do not."""
    stale, step_ms = simulation.stale_replicas(), simulation.now
    while stale and step_ms < limit_ms:
        step_ms += PERIOD_MS / 2.0
        simulation.run(step_ms)
        stale = simulation.stale_replicas()
    return stale


def play_seed(nodes: int, seed: int) -> ReplicationVerdict:
    """Play the schedule of a seed."""
    return play(nodes, seed, schedule(nodes, seed))
