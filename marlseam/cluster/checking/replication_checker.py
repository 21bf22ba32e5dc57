"""Bounds of replication, checked by one that sees all disks and replicas of a simulated cluster; pure."""

from collections.abc import Iterable
from typing import NamedTuple

from marlseam.cluster.audit_log import AcceptorPromise, LogRecord, VersionHeld
from marlseam.cluster.replication.content import digest, read
from marlseam.cluster.replication.paxos import Ballot, majority
from marlseam.cluster.replication.replica import ConfigReplica


class ChosenContent(NamedTuple):
    """The content that was chosen for a number, and when."""

    content_id: str
    at_ms: float


class ReplicationVerdict(NamedTuple):
    """What a run showed.

    violations: bounds that were broken, in words.
    nearest: how near the run came to each bound, as a share of it.
    chosen: how many numbers were chosen.
    """

    violations: list[str]
    nearest: dict[str, float]
    chosen: int


class ReplicationChecker:
    """Checks that a number has one content, and that no replica acts on an older one past its lease.

    Attributes:
        chosen: what was chosen, by number.
        electorates: who votes on a number.
        accepted_by: voters on whose disks a content is accepted under a ballot.
        max_stale_ms: the longest that any replica acted on a version after a newer was chosen.
        checks, unproven_checks: of replicas, and those that served without a proof.
        findings: bounds that were broken.

    """

    def __init__(
        self, names: frozenset[str], voters: frozenset[str], lease_ms: float, has_corruption: bool
    ) -> None:
        """Begin; with `has_corruption` chunks of contents may come otherwise than they were sent."""
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
        """Take in what a member's disk holds now: what is chosen by it, and that nothing else is held."""
        for record in records:
            if isinstance(record, AcceptorPromise) and record.value:
                if self.is_choice(name, record):
                    self.note_chosen(now, record.number, record.value, replicas)
            elif isinstance(record, VersionHeld):
                if record.number not in self.chosen:
                    self.findings.append(
                        f"version {record.number} is held, no majority of its voters took it"
                    )
                self.note_chosen(now, record.number, record.id, replicas)

    def is_choice(self, name: str, record: AcceptorPromise) -> bool:
        """Return whether a majority of the voters has accepted a content, one of them by a record."""
        ballot = record.accepted_round, record.accepted_place
        accepted_by = self.accepted_by.setdefault((record.number, ballot, record.value), set())
        accepted_by.add(name)
        electorate = self.electorates.get(record.number, frozenset())
        return bool(electorate) and len(accepted_by & electorate) >= majority(electorate)

    def note_chosen(self, now: float, number: int, content_id: str, replicas: list[ConfigReplica]) -> None:
        """Note that a number has a content, and who votes on the next."""
        chosen = self.chosen.setdefault(number, ChosenContent(content_id, now))
        if chosen.content_id != content_id:
            self.findings.append(f"version {number} has two contents at {now:.0f}")
        for replica in replicas:
            data = replica.store.contents.get(content_id)
            if data is not None:
                voters = frozenset(read(data, self.names).voters)
                self.electorates.setdefault(number + 1, voters)

    def check_replica(self, now: float, local_ms: float, replica: ConfigReplica) -> None:
        """Check a replica that runs, whose own clock shows `local_ms`."""
        self.check_store(replica)
        status = replica.serving.evaluate(local_ms)
        self.checks += 1
        self.unproven_checks += status.is_serving and not status.is_proven
        next_number = replica.applied_number + 1
        if status.is_serving and status.is_proven and next_number in self.chosen:
            stale_ms = now - self.chosen[next_number].at_ms
            self.max_stale_ms = max(self.max_stale_ms, stale_ms)
            if stale_ms > self.lease_ms:
                acts = f"{replica.name} acts on {replica.applied_number}"
                self.findings.append(f"{acts} {stale_ms:.0f} ms after {next_number} was chosen")

    def check_store(self, replica: ConfigReplica) -> None:
        """Check that a replica holds what it says, and no more deltas than they are worth."""
        name, store = replica.name, replica.store
        data = store.contents.get(replica.content_id)
        if data is not None and digest(data) != replica.content_id:
            self.findings.append(f"{name} holds something else than version {replica.number}")
        if not self.has_corruption and store.transfer_counts["changes"] + store.transfer_counts["digest"]:
            self.findings.append(f"{name} was sent what is not what it asked for, and nothing was corrupted")
        if store.delta_links_bytes > len(data or b""):
            self.findings.append(f"{name} keeps more changes than they are worth")

    def stale_replicas(self, replicas: Iterable[tuple[float, ConfigReplica]]) -> list[str]:
        """Return which replicas, each with its own clock, do not act on the newest version as proven."""
        newest = max(self.chosen, default=0)
        found = []
        for local_ms, replica in replicas:
            status = replica.serving.evaluate(local_ms)
            if replica.applied_number != newest or not (status.is_serving and status.is_proven):
                found.append(f"{replica.name} is at {replica.applied_number} of {newest}, {status}")
        return found

    def may_vote_again(self, without_memory: set[str]) -> bool:
        """Return whether every electorate has a majority that never lost its memory of votes."""
        return all(len(without_memory & voters) < majority(voters) for voters in self.electorates.values())
