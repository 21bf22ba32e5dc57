"""Measures the usage of simulated nodes: without changes, with paced changes, and in a burst of changes."""

import tracemalloc
from dataclasses import dataclass
from typing import NamedTuple

from marlseam.cluster.audit_log import RecoveredLog, VersionHeld
from marlseam.cluster.checking.replication_schedules import LEASE_PERIODS, replica_of
from marlseam.cluster.checking.simulation import PERIOD_MS
from marlseam.cluster.replication.content import FORMAT, Content, SettingsDigester, digest, write
from marlseam.cluster.replication.replica import ConfigReplica
from marlseam.cluster.replication.settings import ReplicationSettings
from marlseam.configuration import deployment_from
from marlseam.experiment.config_change_simulation import ConfigChangeSimulation
from marlseam.experiment.config_change_usage import SimulatedUsage
from marlseam.experiment.config_change_workload import (
    FIRST_BURST_INDEX,
    LAN,
    PUBLISHER,
    WARM_UP_S,
    ChangeSettings,
    Delays,
    change_one_team,
    node_settings,
    shared_settings,
    team_quotas,
)

BYTES_PER_MB = 2.0**20
MEMORY_TEST_VOTERS = 3


@dataclass(frozen=True)
class SimulatedCase:
    """The parameters of one run of the simulation.

    Attributes:
        seed: the seed of the changes and of the simulation.
        settings: the number and the pace of changes.
        teams: the number of teams in the configuration.
        nodes: the number of nodes.
        lists_members: whether each content lists all nodes as members.
        delays: the delays of the network, the disks and the operator.
        replica_type: the class of each node's replica.
    """

    seed: int
    settings: ChangeSettings
    teams: int
    nodes: int
    lists_members: bool = False
    delays: Delays = LAN
    replica_type: type[ConfigReplica] = ConfigReplica


class PacedChanges(NamedTuple):
    """The result of paced changes: their versions, and the usage in that time."""

    versions: list[int]
    usage: SimulatedUsage


class Burst(NamedTuple):
    """The result of a burst of changes.

    Attributes:
        changes: the number of versions published.
        seconds: time from the start of the burst until the last node applied the newest version.
        usage: the usage in that time.
    """

    changes: int
    seconds: float
    usage: SimulatedUsage


class SimulatedRun:
    """One run: first version, a time without changes, paced changes, a burst.

    Attributes:
        case: the parameters of the run.
        simulation: the simulated nodes.
        shared: the shared settings that were requested last.
    """

    def __init__(self, case: SimulatedCase) -> None:
        """Start the nodes, without a version."""
        self.case = case
        self.simulation = ConfigChangeSimulation(
            case.nodes, case.seed, case.lists_members, case.delays, case.replica_type
        )
        self.shared = shared_settings(case.nodes, case.teams)

    def begin(self) -> None:
        """Publish the first version, run until all nodes apply it, and then for `WARM_UP_S` more."""
        self.simulation.request_publication(self.shared)
        self.simulation.settle()
        self.run_seconds(WARM_UP_S)

    def run_seconds(self, seconds: float) -> None:
        """Run the simulation for `seconds` of virtual time."""
        self.simulation.run(self.simulation.now + 1000.0 * seconds)

    def publish_change(self, change_index: int) -> None:
        """Request the publication of the change with index `change_index`."""
        self.shared = change_one_team(self.shared, self.case.seed, change_index)
        self.simulation.request_publication(self.shared)

    def run_idle(self) -> SimulatedUsage:
        """Run without changes for `idle_s`, and return the usage."""
        before = self.simulation.usage()
        self.run_seconds(self.case.settings.idle_s)
        return self.simulation.usage().since(before)

    def run_paced(self) -> PacedChanges:
        """Publish a change every `every_s` seconds, and return the versions and the usage."""
        simulation, versions = self.simulation, list[int]()
        before = simulation.usage()
        for change_index in range(self.case.settings.changes):
            versions.append(max(simulation.requested_at_ms) + 1)
            self.publish_change(change_index)
            self.run_seconds(self.case.settings.every_s)
        usage = simulation.usage().since(before)
        simulation.settle()
        return PacedChanges(versions, usage)

    def run_burst(self) -> Burst:
        """Publish changes as fast as the cluster agrees on them, and return the result."""
        simulation = self.simulation
        before, began_ms, last_version = simulation.usage(), simulation.now, max(simulation.requested_at_ms)
        for change_index in range(self.case.settings.burst):
            self.publish_change(FIRST_BURST_INDEX + change_index)
        simulation.settle()
        usage, newest = simulation.usage().since(before), max(simulation.requested_at_ms)
        requested_s = (simulation.requested_at_ms[newest] - began_ms) / 1000.0
        return Burst(newest - last_version, simulation.last_applied_s(newest) + requested_s, usage)

    def has_missed(self) -> bool:
        """Return whether any node has not applied the newest version."""
        newest = max(self.simulation.requested_at_ms)
        replicas = map(replica_of, self.simulation.processes.values())
        return any(replica.applied_number != newest for replica in replicas)

    def content_bytes(self) -> int:
        """Return the length in bytes of the content that the publisher holds."""
        replica = replica_of(self.simulation.processes[PUBLISHER])
        return len(replica.store.contents[replica.content_id])


def measure_case(case: SimulatedCase) -> dict[str, float]:
    """Run a case, and return its figures by the names used in experiment files."""
    run = SimulatedRun(case)
    simulation, settings = run.simulation, case.settings
    run.begin()
    idle_rates = run.run_idle().per_second()
    paced = run.run_paced()
    burst = run.run_burst()
    rates = paced.usage.per_second()
    each = paced.usage.per_change(idle_rates, settings.changes)
    figures = {
        "content_bytes": float(run.content_bytes()),
        "idle_bytes_s": idle_rates.bytes,
        "bytes_s": rates.bytes,
        "bytes_change": each.bytes,
        "notes_change": each.datagrams,
        "publisher_bytes_s": rates.publisher_bytes,
        "values_change": paced.usage.values_read / max(1.0, paced.usage.contents_applied),
        "core_share": rates.cpu_ms / 1000.0,
        "cpu_ms_change": each.cpu_ms,
        "publisher_core_share": rates.publisher_cpu_ms / 1000.0,
        "last_s": max(simulation.last_applied_s(version) for version in paced.versions),
        "memory_mb": version_memory_mb(case.teams, case.nodes, case.lists_members),
        "notes": float(sum(simulation.datagrams_by_kind.values())),
        "bytes": float(sum(simulation.bytes_sent.values())),
        "missed": float(run.has_missed() or len(simulation.pending_settings)),
        "two_contents": float(simulation.conflicting_contents),
    }
    if settings.burst:
        figures |= {
            "burst_s": burst.seconds,
            "burst_bytes_change": burst.usage.per_change(idle_rates, burst.changes).bytes,
        }
    return figures


def version_memory_mb(teams: int, nodes: int, lists_members: bool) -> float:
    """Return the memory in MB that a node holds for a version: replica, encoded content and deployment."""
    names = [f"n{i}" for i in range(nodes)]
    voters = names[:MEMORY_TEST_VOTERS]
    tracemalloc.start()
    try:
        before_bytes = tracemalloc.get_traced_memory()[0]
        members = dict.fromkeys(names, "10.0.0.1:7000") if lists_members else {}
        data = first_content(names, voters, teams, members)
        recovered = RecoveredLog(begun=True, held=VersionHeld(1, digest(data)), contents={digest(data): data})
        settings = ReplicationSettings(frozenset(voters), PERIOD_MS, LEASE_PERIODS * PERIOD_MS, False, 0.0)
        replica = ConfigReplica(names[0], frozenset(names), settings, "n0/1", 0, 0.0, recovered)
        if replica.content is None:
            raise ValueError(
                f"the configuration content with {teams} teams cannot be read: {replica.unusable_reason}"
            )
        digester = SettingsDigester()
        digester.digest(replica.content.settings)
        deployment = deployment_from(replica.content.settings, is_complete=True)
        held_mb = (tracemalloc.get_traced_memory()[0] - before_bytes) / BYTES_PER_MB
        del deployment, digester  # kept alive until the memory has been read
        return held_mb
    finally:
        tracemalloc.stop()


def first_content(names: list[str], voters: list[str], teams: int, members: dict[str, str]) -> bytes:
    """Return the encoded content of a first version; `members` are the addresses that it lists, by name."""
    settings = node_settings(len(names)) | {"teams": team_quotas(teams)}
    return write(Content(FORMAT, 1, "", voters, "w", names[0], settings, members))
