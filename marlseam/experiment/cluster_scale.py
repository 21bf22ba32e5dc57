"""The play `fleet_scale`: membership and versions by the cluster's size and loss, in virtual time."""

import time
import tracemalloc
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from math import inf
from pathlib import Path

from marlseam.cluster.audit_log import RecoveredLog
from marlseam.cluster.checking.membership_schedules import MembershipSimulation, detection_bound_ms
from marlseam.cluster.checking.replication_schedules import ReplicationSimulation
from marlseam.cluster.checking.simulation import PERIOD_MS, ClusterSimulation
from marlseam.cluster.membership import Membership
from marlseam.cluster.membership_codec import GossipEntry, MemberState
from marlseam.cluster.replication.messages import StatusResponse
from marlseam.cluster.replication.replica import ConfigReplica, ReplicationSettings
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.simulation.model import Count, Positive, Share, Strict

PLAY = "fleet_scale"
KILLED = "n1"
PUBLISHER = "n7"
MAX_VOTERS = 7
LEASE_PERIODS = 15.0
MEMBERS_HEAD = [
    "members",
    "loss",
    "gone at half, s",
    "99%, s",
    "all, s",
    "bound, s",
    "not told",
    "false words",
    "letters a node and s",
    "bytes",
    "CPU, s",
]
VERSIONS_HEAD = [
    "members",
    "loss",
    "half act on a new version after, s",
    "99%, s",
    "all, s",
    "not",
    "notes a node and s",
    "bytes a node and s, in all",
    "memory a node, kB",
]


class ScaleTable(Strict, frozen=True):
    """Clusters in virtual time: one member is killed, and some datagrams are lost.

    Attributes:
        nodes: the sizes of clusters to play.
        loss: the shares of datagrams that are lost, each played with each size.
        calm_s: how long members find each other before anything is measured.
        watched_s: how long what follows is observed.
    """

    nodes: list[Count]
    loss: list[Share]
    calm_s: Positive = 20.0
    watched_s: Positive = 60.0


@dataclass(frozen=True)
class Traffic:
    """What all members of a cluster have sent.

    Attributes:
        datagrams: how many.
        bytes: in all of them.
    """

    datagrams: int
    bytes: int

    @classmethod
    def of(cls, simulation: ClusterSimulation) -> "Traffic":
        """Return what has been sent so far."""
        processes = simulation.processes.values()
        return cls(sum(process.datagrams for process in processes), sum(p.bytes for p in processes))

    def since(self, earlier: "Traffic") -> "Traffic":
        """Return what has been sent since an earlier count."""
        return Traffic(self.datagrams - earlier.datagrams, self.bytes - earlier.bytes)


@dataclass(frozen=True)
class DetectionSample:
    """How one cluster detected the death of a member.

    Attributes:
        undetected: members that did not detect it while observed.
        median_s, p99_s, longest_s: until a member detected it.
        false_detections: of members that lived.
        datagrams, bytes: sent by a member in a second.
        cpu_s: that the simulation took.
    """

    undetected: float
    median_s: float
    p99_s: float
    longest_s: float
    false_detections: float
    datagrams: float
    bytes: float
    cpu_s: float

    def figures(self) -> dict[str, float]:
        """Return the sample under the keys of reports."""
        return {
            "not_told": self.undetected,
            "median_s": self.median_s,
            "p99_s": self.p99_s,
            "most_s": self.longest_s,
            "false": self.false_detections,
            "letters": self.datagrams,
            "bytes": self.bytes,
            "cpu_s": self.cpu_s,
        }


@dataclass(frozen=True)
class PublicationSample:
    """How one cluster took over a published version.

    Attributes:
        not_acting: members that did not act on it while observed.
        median_s, p99_s, longest_s: until a member acted on it.
        unproven: members without a proof before it was published.
        datagrams, bytes: sent by a member in a second, before it was published.
        violations: of the rules of versions.
    """

    not_acting: float
    median_s: float
    p99_s: float
    longest_s: float
    unproven: float
    datagrams: float
    bytes: float
    violations: float

    def figures(self) -> dict[str, float]:
        """Return the sample under the keys of reports."""
        return {
            "not_acting": self.not_acting,
            "act_median_s": self.median_s,
            "act_p99_s": self.p99_s,
            "act_most_s": self.longest_s,
            "unproved": self.unproven,
            "notes": self.datagrams,
            "note_bytes": self.bytes,
            "versions_wrong": self.violations,
        }


def median_of(ordered: list[float]) -> float:
    """Return the middle one of ordered values."""
    return ordered[len(ordered) // 2]


def p99_of(ordered: list[float]) -> float:
    """Return the 99th percentile of ordered values."""
    return ordered[int(0.99 * (len(ordered) - 1))]


def measure_detection(count: int, loss: float, seed: int, table: ScaleTable) -> DetectionSample:
    """Play one cluster: members find each other, one is killed, and the others are to detect that."""
    cpu_began_s = time.process_time()
    simulation = MembershipSimulation(count, seed, [], loss=loss)
    simulation.run(1000.0 * table.calm_s)
    early = sum(map(len, simulation.declared_dead.values()))
    before = Traffic.of(simulation)
    simulation.end(simulation.processes[KILLED])
    killed_ms = simulation.now
    simulation.run(killed_ms + 1000.0 * table.watched_s)
    taken_ms = sorted(detection_ms(simulation, name, killed_ms) for name in simulation.names - {KILLED})
    later = sum(len(times) for (_, member), times in simulation.declared_dead.items() if member != KILLED)
    node_seconds = count * table.watched_s
    sent = Traffic.of(simulation).since(before)
    return DetectionSample(
        undetected=float(sum(taken >= 1000.0 * table.watched_s for taken in taken_ms)),
        median_s=median_of(taken_ms) / 1000.0,
        p99_s=p99_of(taken_ms) / 1000.0,
        longest_s=taken_ms[-1] / 1000.0,
        false_detections=float(early + later),
        datagrams=sent.datagrams / node_seconds,
        bytes=sent.bytes / node_seconds,
        cpu_s=time.process_time() - cpu_began_s,
    )


def detection_ms(simulation: MembershipSimulation, name: str, killed_ms: float) -> float:
    """Return after what time a member held the killed one as dead; up to now where it did not."""
    times = simulation.declared_dead.get((name, KILLED), [])
    return min([at_ms for at_ms in times if at_ms >= killed_ms], default=simulation.now) - killed_ms


def measure_publication(count: int, loss: float, seed: int, table: ScaleTable) -> PublicationSample:
    """Play one cluster: one member publishes a version, and all are to act on it."""
    simulation = ReplicationSimulation(count, seed, [], voters=min(MAX_VOTERS, count), loss=loss)
    simulation.run(1000.0 * table.calm_s)
    before = Traffic.of(simulation)
    processes = simulation.processes.values()
    proven = sum(process.machine.lease.is_proven(simulation.local(process)) for process in processes)
    simulation.run(2000.0 * table.calm_s)
    node_seconds = count * table.calm_s
    sent = Traffic.of(simulation).since(before)
    simulation.publish(PUBLISHER, 1)
    asked_ms = simulation.now
    simulation.run(asked_ms + 1000.0 * table.watched_s)
    taken_ms = sorted(simulation.applied_at_ms.get((name, 1), inf) - asked_ms for name in simulation.names)
    return PublicationSample(
        not_acting=float(sum(taken == inf for taken in taken_ms)),
        median_s=median_of(taken_ms) / 1000.0,
        p99_s=p99_of(taken_ms) / 1000.0,
        longest_s=taken_ms[-1] / 1000.0,
        unproven=float(count - proven),
        datagrams=sent.datagrams / node_seconds,
        bytes=sent.bytes / node_seconds,
        violations=float(len(simulation.checker.findings)),
    )


def measure_memory_kb(count: int) -> float:
    """Return what a node holds for a cluster of so many members, all of them heard from, in kB."""
    names = frozenset(f"n{i}" for i in range(count))
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        membership = Membership("scale", "n0", names, 0, 0, PERIOD_MS, 0.0)
        for name in names - {"n0"}:
            membership.merge(GossipEntry(name, MemberState(0, 1, 0)))
        voters = frozenset(list(names)[:3])
        settings = ReplicationSettings(voters, PERIOD_MS, LEASE_PERIODS * PERIOD_MS, True, 0.0)
        replica = ConfigReplica("n0", names, settings, "n0/1", 0, 0.0, RecoveredLog())
        for name in names - {"n0"}:
            replica.receive_status(0.0, name, StatusResponse(0, 0, "", 0, True, "", 0, 0, True, -1.0))
        return (tracemalloc.get_traced_memory()[0] - before) / 1024.0
    finally:
        tracemalloc.stop()


def measured_bound_s(count: int) -> float:
    """Return within what time the members of a cluster that are well detect a death."""
    names = frozenset(f"n{i}" for i in range(count))
    any_member = Membership("fleet", "n0", names, 0, 0, PERIOD_MS, 0.0)
    return detection_bound_ms(count, any_member.suspicion_ms(0), PERIOD_MS, 0) / 1000.0


class ScaleReport:
    """Gathers the samples of all clusters.

    Attributes:
        figures: of each cluster under a prefix of its own, and the sums and worst ones.
        member_rows, version_rows: the tables.
    """

    def __init__(self) -> None:
        self.figures: dict[str, float] = {}
        self.member_rows = [MEMBERS_HEAD]
        self.version_rows = [VERSIONS_HEAD]

    def _add_each(self, count: int, loss: float, figures: dict[str, float]) -> None:
        prefix = f"n{count}_loss{round(100 * loss)}"
        self.figures |= {f"{prefix}_{key}": value for key, value in figures.items()}

    def _add_sums(self, figures: dict[str, float], *keys: str) -> None:
        for key in keys:
            self.figures[key] = self.figures.get(key, 0.0) + figures[key]

    def _add_worst(self, key: str, value: float) -> None:
        self.figures[key] = max(self.figures.get(key, 0.0), value)

    def add_detection(self, count: int, loss: float, sample: DetectionSample) -> None:
        """Take in how a cluster detected a death; only without loss it is held to the bound."""
        bound_s = measured_bound_s(count)
        self._add_each(count, loss, sample.figures())
        if not loss:
            self._add_sums(sample.figures(), "false", "not_told")
            self._add_worst("nearest", sample.longest_s / bound_s)
        times_s = (sample.median_s, sample.p99_s, sample.longest_s)
        self.member_rows.append(
            [
                str(count),
                f"{loss:.0%}",
                *(f"{time_s:.1f}" for time_s in times_s),
                f"{bound_s:.0f}",
                f"{sample.undetected:.0f}",
                f"{sample.false_detections:.0f}",
                f"{sample.datagrams:.2f}",
                f"{sample.bytes:.0f}",
                f"{sample.cpu_s:.0f}",
            ]
        )

    def add_publication(
        self, count: int, loss: float, sample: PublicationSample, membership_bytes: float
    ) -> None:
        """Take in how a cluster took over a version, beside the bytes that its membership sent."""
        self._add_each(count, loss, sample.figures())
        self._add_sums(sample.figures(), "not_acting", "unproved", "versions_wrong")
        total_bytes, memory_kb = membership_bytes + sample.bytes, measure_memory_kb(count)
        self._add_worst("bytes_most", total_bytes)
        self._add_worst("memory_kb_most", memory_kb)
        times_s = (sample.median_s, sample.p99_s, sample.longest_s)
        self.version_rows.append(
            [
                str(count),
                f"{loss:.0%}",
                *(f"{time_s:.1f}" for time_s in times_s),
                f"{sample.not_acting:.0f}",
                f"{sample.datagrams:.1f}",
                f"{total_bytes:.0f}",
                f"{memory_kb:.0f}",
            ]
        )


@register_play(PLAY)
def play_scale(experiment: Experiment, _out: Path, show_progress: ShowProgress) -> RunResult:
    """Measure every size of cluster with every share of loss, each in a process of its own."""
    table: ScaleTable = experiment.tables[PLAY]
    clusters = [(count, loss) for count in table.nodes for loss in table.loss]
    report = ScaleReport()
    with ProcessPoolExecutor() as pool:
        publications = {
            (count, loss): pool.submit(measure_publication, count, loss, experiment.head.seed, table)
            for count, loss in clusters
        }
        detections = {
            (count, loss): pool.submit(measure_detection, count, loss, experiment.head.seed, table)
            for count, loss in clusters
        }
        for count, loss in clusters:
            detection = detections[count, loss].result()
            show_progress(f"{count} members, {loss:.0%} lost")
            report.add_detection(count, loss, detection)
            publication = publications[count, loss].result()
            report.add_publication(count, loss, publication, detection.bytes)
    tables = [("Members by size and loss", report.member_rows), ("Versions", report.version_rows)]
    return RunResult(report.figures, tables=tables, driver="virtual")
