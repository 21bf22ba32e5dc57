"""Checks the bounds of replication against all disks and replicas of a simulated cluster; pure."""

from collections.abc import Iterable
from typing import NamedTuple

from marlseam.cluster.audit_log import AcceptorPromise, LogRecord, VersionHeld
from marlseam.cluster.replication.content import digest, read
from marlseam.cluster.replication.paxos import Ballot, majority
from marlseam.cluster.replication.replica import ConfigReplica


class ChosenContent(NamedTuple):
    """The content that was chosen for a number, and the time of the choice."""

    content_id: str
    at_ms: float


class ReplicationVerdict(NamedTuple):
    """The result of a run.

    violations: descriptions of the violated bounds.
    nearest: the highest value reached for each bound, as a share of the bound.
    chosen: number of versions that were chosen.
    """

    violations: list[str]
    nearest: dict[str, float]
    chosen: int


class ReplicationChecker:
    """Checks that a number has one content, and that no replica acts on an older version past its lease.

    Attributes:
        chosen: the content chosen, by number.
        electorates: the voters on each number.
        accepted_by: by number, ballot and content id, the voters on whose disks the content is accepted.
        max_stale_ms: the longest time for which a replica acted on a version as proven after a newer one was
            chosen.
        checks, unproven_checks: number of checks of replicas, and of those that served without a proof.
        findings: descriptions of the violated bounds.

    """

    def __init__(
        self, names: frozenset[str], voters: frozenset[str], lease_ms: float, has_corruption: bool
    ) -> None:
        """Start; with `has_corruption` chunks of contents may be corrupted on the network."""
        self.names, self.lease_ms, self.has_corruption = names, lease_ms, has_corruption
        self.chosen: dict[int, ChosenContent] = {}
        self.electorates = {1: voters}
        self.accepted_by: dict[tuple[int, Ballot, str], set[str]] = {}
        self.max_stale_ms = 0.0
        self.checks = self.unproven_checks = 0
        self.findings: list[str] = []

    def records_written(
        self, now: float, name: str, records: Iterable[LogRecord], replicas: list[ConfigReplica]
    ) -> None:
        """Process records written to a member's disk: detect choices, and check the versions held."""
        for record in records:
            if isinstance(record, AcceptorPromise) and record.value:
                if self.is_choice(name, record):
                    self.note_chosen(now, record.number, record.value, replicas)
            elif isinstance(record, VersionHeld):
                if record.number not in self.chosen:
                    self.findings.append(
                        f"version {record.number} is held, but no majority of its voters accepted it"
                    )
                self.note_chosen(now, record.number, record.id, replicas)

    def is_choice(self, name: str, record: AcceptorPromise) -> bool:
        """Count the acceptance of a record; return whether a majority of voters has accepted its content."""
        ballot = record.accepted_round, record.accepted_place
        accepted_by = self.accepted_by.setdefault((record.number, ballot, record.value), set())
        accepted_by.add(name)
        electorate = self.electorates.get(record.number, frozenset())
        return bool(electorate) and len(accepted_by & electorate) >= majority(electorate)

    def note_chosen(self, now: float, number: int, content_id: str, replicas: list[ConfigReplica]) -> None:
        """Record the content chosen for a number and the voters on the next; report a second content."""
        chosen = self.chosen.setdefault(number, ChosenContent(content_id, now))
        if chosen.content_id != content_id:
            self.findings.append(
                f"two contents were chosen for version {number}, the second found at {now:.0f} ms"
            )
        for replica in replicas:
            data = replica.store.contents.get(content_id)
            if data is not None:
                voters = frozenset(read(data, self.names).voters)
                self.electorates.setdefault(number + 1, voters)

    def check_replica(self, now: float, local_ms: float, replica: ConfigReplica) -> None:
        """Check a running replica; `local_ms` is the time by its own clock."""
        self.check_store(replica)
        status = replica.serving.evaluate(local_ms)
        self.checks += 1
        self.unproven_checks += status.is_serving and not status.is_proven
        next_number = replica.applied_number + 1
        if status.is_serving and status.is_proven and next_number in self.chosen:
            stale_ms = now - self.chosen[next_number].at_ms
            self.max_stale_ms = max(self.max_stale_ms, stale_ms)
            if stale_ms > self.lease_ms:
                acts = f"{replica.name} acts on version {replica.applied_number} as proven"
                self.findings.append(f"{acts} {stale_ms:.0f} ms after version {next_number} was chosen")

    def check_store(self, replica: ConfigReplica) -> None:
        """Check the digest of the held content, the transfer failures and the total size of the deltas."""
        name, store = replica.name, replica.store
        data = store.contents.get(replica.content_id)
        if data is not None and digest(data) != replica.content_id:
            self.findings.append(
                f"{name} holds content whose digest is not its id, as version {replica.number}"
            )
        if not self.has_corruption and store.transfer_counts["changes"] + store.transfer_counts["digest"]:
            self.findings.append(f"{name} received wrong deltas or content, though no datagram was corrupted")
        if store.delta_links_bytes > len(data or b""):
            self.findings.append(
                f"{name} stores deltas that are larger in total than the content of the version held"
            )

    def stale_replicas(self, replicas: Iterable[tuple[float, ConfigReplica]]) -> list[str]:
        """Return descriptions of the replicas that do not act on the newest version as proven.

        `replicas` pairs each replica with the time by its own clock in ms.
        """
        newest = max(self.chosen, default=0)
        found = []
        for local_ms, replica in replicas:
            status = replica.serving.evaluate(local_ms)
            if replica.applied_number != newest or not (status.is_serving and status.is_proven):
                found.append(f"{replica.name} applies version {replica.applied_number} of {newest}, {status}")
        return found

    def may_vote_again(self, without_memory: set[str]) -> bool:
        """Return whether in every electorate fewer voters than a majority have lost their memory of votes."""
        return all(len(without_memory & voters) < majority(voters) for voters in self.electorates.values())
