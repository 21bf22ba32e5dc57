"""The play `fleet_scale`: membership and versions by cluster size and datagram loss, in virtual time."""

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
KILLED_MEMBER = "n1"
PUBLISHER = "n7"
MAX_VOTERS = 7
LEASE_PERIODS = 15.0  # lease, in protocol periods
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
    """Table `fleet_scale` of an experiment file: clusters simulated in virtual time, with datagram loss.

    Attributes:
        nodes: the cluster sizes to simulate.
        loss: the shares of datagrams that are lost, each simulated with each size.
        calm_s: how long a cluster runs before the measurement, so that members find each other, in seconds.
        watched_s: how long a cluster is observed after a death or a publication, in seconds.
    """

    nodes: list[Count]
    loss: list[Share]
    calm_s: Positive = 20.0
    watched_s: Positive = 60.0


@dataclass(frozen=True)
class Traffic:
    """The traffic that all members of a cluster have sent.

    Attributes:
        datagrams: the number of datagrams.
        bytes: the size of all datagrams together, in bytes.
    """

    datagrams: int
    bytes: int

    @classmethod
    def of(cls, simulation: ClusterSimulation) -> "Traffic":
        """Return the traffic sent in a simulation so far."""
        processes = simulation.processes.values()
        return cls(sum(process.datagrams for process in processes), sum(p.bytes for p in processes))

    def since(self, earlier: "Traffic") -> "Traffic":
        """Return the difference to an earlier count."""
        return Traffic(self.datagrams - earlier.datagrams, self.bytes - earlier.bytes)


@dataclass(frozen=True)
class DetectionSample:
    """How the members of one cluster detected the death of another.

    Attributes:
        undetected: how many members did not detect the death while the cluster was observed.
        median_s, p99_s, longest_s: median, 99th percentile and maximum of the members' detection times.
        false_detections: how often a member that was alive was declared dead.
        datagrams, bytes: sent per member and second.
        cpu_s: the CPU time that the simulation took, in seconds.
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
        """Return the figures of the sample, by their names in reports."""
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
    """How the members of one cluster took over a published version.

    Attributes:
        not_acting: how many members did not act on the version while the cluster was observed.
        median_s, p99_s, longest_s: median, 99th percentile and maximum of the times from the publication
            until a member acted on the version.
        unproven: how many members had no proof after the first `calm_s`, before the publication.
        datagrams, bytes: sent per member and second, before the publication.
        violations: how many violations of the rules of versions the checker found.
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
        """Return the figures of the sample, by their names in reports."""
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
    """Return the median of values in ascending order, the upper one of two middle values."""
    return ordered[len(ordered) // 2]


def p99_of(ordered: list[float]) -> float:
    """Return the 99th percentile of values in ascending order, which is one of the values."""
    return ordered[int(0.99 * (len(ordered) - 1))]


def measure_detection(count: int, loss: float, seed: int, table: ScaleTable) -> DetectionSample:
    """Simulate one cluster: members find each other, one is killed, and the others should detect that."""
    cpu_began_s = time.process_time()
    simulation = MembershipSimulation(count, seed, [], loss=loss)
    simulation.run(1000.0 * table.calm_s)
    early_detections = sum(map(len, simulation.declared_dead.values()))
    before = Traffic.of(simulation)
    simulation.end(simulation.processes[KILLED_MEMBER])
    killed_ms = simulation.now
    simulation.run(killed_ms + 1000.0 * table.watched_s)
    taken_ms = sorted(
        detection_ms(simulation, name, killed_ms) for name in simulation.names - {KILLED_MEMBER}
    )
    later_detections = sum(
        len(times) for (_, member), times in simulation.declared_dead.items() if member != KILLED_MEMBER
    )
    node_seconds = count * table.watched_s
    sent = Traffic.of(simulation).since(before)
    return DetectionSample(
        undetected=float(sum(taken >= 1000.0 * table.watched_s for taken in taken_ms)),
        median_s=median_of(taken_ms) / 1000.0,
        p99_s=p99_of(taken_ms) / 1000.0,
        longest_s=taken_ms[-1] / 1000.0,
        false_detections=float(early_detections + later_detections),
        datagrams=sent.datagrams / node_seconds,
        bytes=sent.bytes / node_seconds,
        cpu_s=time.process_time() - cpu_began_s,
    )


def detection_ms(simulation: MembershipSimulation, name: str, killed_ms: float) -> float:
    """Return the time from the kill until a member declared the killed one dead, in ms.

    For a member that did not, it is the time from the kill until now.
    """
    times = simulation.declared_dead.get((name, KILLED_MEMBER), [])
    return min([at_ms for at_ms in times if at_ms >= killed_ms], default=simulation.now) - killed_ms


def measure_publication(count: int, loss: float, seed: int, table: ScaleTable) -> PublicationSample:
    """Simulate one cluster: one member publishes a version, and all members should act on it."""
    simulation = ReplicationSimulation(count, seed, [], voters=min(MAX_VOTERS, count), loss=loss)
    simulation.run(1000.0 * table.calm_s)
    before = Traffic.of(simulation)
    processes = simulation.processes.values()
    proven = sum(process.machine.lease.is_proven(simulation.local(process)) for process in processes)
    simulation.run(2000.0 * table.calm_s)
    node_seconds = count * table.calm_s
    sent = Traffic.of(simulation).since(before)
    simulation.publish(PUBLISHER, 1)
    published_ms = simulation.now
    simulation.run(published_ms + 1000.0 * table.watched_s)
    taken_ms = sorted(
        simulation.applied_at_ms.get((name, 1), inf) - published_ms for name in simulation.names
    )
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
    """Return the memory that a node uses for the state of a cluster of `count` members, in kB.

    The node has received state from every member.
    """
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


def detection_bound_s(count: int) -> float:
    """Return the time within which members with local health 0 detect a death, in seconds."""
    names = frozenset(f"n{i}" for i in range(count))
    any_member = Membership("fleet", "n0", names, 0, 0, PERIOD_MS, 0.0)
    return detection_bound_ms(count, any_member.suspicion_ms(0), PERIOD_MS, 0) / 1000.0


class ScaleReport:
    """Collects the samples of all clusters as figures and tables.

    Attributes:
        figures: the figures of each cluster, with a prefix of its size and loss, and sums and maxima over
            all clusters.
        member_rows, version_rows: the rows of the tables, the heads first.
    """

    def __init__(self) -> None:
        self.figures: dict[str, float] = {}
        self.member_rows = [MEMBERS_HEAD]
        self.version_rows = [VERSIONS_HEAD]

    def _add_prefixed(self, count: int, loss: float, figures: dict[str, float]) -> None:
        prefix = f"n{count}_loss{round(100 * loss)}"
        self.figures |= {f"{prefix}_{key}": value for key, value in figures.items()}

    def _add_sums(self, figures: dict[str, float], *keys: str) -> None:
        for key in keys:
            self.figures[key] = self.figures.get(key, 0.0) + figures[key]

    def _keep_greatest(self, key: str, value: float) -> None:
        self.figures[key] = max(self.figures.get(key, 0.0), value)

    def add_detection(self, count: int, loss: float, sample: DetectionSample) -> None:
        """Add a detection sample; only a cluster without datagram loss is checked against the bound."""
        bound_s = detection_bound_s(count)
        self._add_prefixed(count, loss, sample.figures())
        if not loss:
            self._add_sums(sample.figures(), "false", "not_told")
            self._keep_greatest("nearest", sample.longest_s / bound_s)
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
        """Add a publication sample; `membership_bytes` are sent per member and second by membership."""
        self._add_prefixed(count, loss, sample.figures())
        self._add_sums(sample.figures(), "not_acting", "unproved", "versions_wrong")
        total_bytes, memory_kb = membership_bytes + sample.bytes, measure_memory_kb(count)
        self._keep_greatest("bytes_most", total_bytes)
        self._keep_greatest("memory_kb_most", memory_kb)
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
    """Measure each cluster size with each share of loss, in a pool of processes."""
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
            show_progress(f"{count} members, {loss:.0%} of datagrams lost")
            report.add_detection(count, loss, detection)
            publication = publications[count, loss].result()
            report.add_publication(count, loss, publication, detection.bytes)
    tables = [("Members by size and loss", report.member_rows), ("Versions", report.version_rows)]
    return RunResult(report.figures, tables=tables, driver="virtual")
