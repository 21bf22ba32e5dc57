"""Compares the attempts that servers recorded in a run with the attempts in the nodes' ledgers."""

from collections import defaultdict
from collections.abc import Mapping
from math import inf
from pathlib import Path
from typing import NamedTuple

from marlseam import records
from marlseam.cluster.action_stamp import ActionStamp
from marlseam.cluster.audit import SENT, Audit
from marlseam.store import ledger_audit

CLOCK_ERROR_MS = 20.0  # the largest error of a node's clock, read at its start; all nodes are on one machine
MAX_TRANSIT_MS = 300.0  # from when a node stamps an attempt until the server records it


class RecordedAttempt(NamedTuple):
    """An attempt with a stamp that a server received.

    Attributes:
        at_ms: when the server received the attempt, in ms of the run.
        stamp: the stamp that the attempt carried.
    """

    at_ms: float
    stamp: ActionStamp


class ProcessKey(NamedTuple):
    """Identifies one process of a node."""

    node: str
    generation: int


class IntervalKey(NamedTuple):
    """Identifies an interval, by its number, in which a process acted on one version."""

    process: ProcessKey
    number: int


class LedgerComparison:
    """Compares the attempts that servers received with those in the ledgers.

    Attributes:
        audit: the audit of the ledgers.
        attempts: the stamped attempts that servers received.
        attempt_times_ms: when servers received the attempts of each interval, in ms of the run.
        unstamped_count: how many received attempts carried no stamp.
    """

    def __init__(
        self, ledgers: list[Path], all_records: list[records.Record], lease_ms: float, zero_ms: float
    ) -> None:
        """Read the ledgers and the records of a run; `zero_ms` is the Unix time of its time 0, in ms."""
        self.audit: Audit = ledger_audit.read(ledgers, CLOCK_ERROR_MS)
        self._lease_ms, self._zero_ms = lease_ms, zero_ms
        self.attempts: list[RecordedAttempt] = []
        self.attempt_times_ms: dict[IntervalKey, list[float]] = defaultdict(list)
        self.unstamped_count = 0
        for record in all_records:
            if isinstance(record, records.AttemptReceived):
                self._add_attempt(record)

    def _add_attempt(self, record: records.AttemptReceived) -> None:
        """Add an attempt that a server received; raises ValueError for an invalid stamp."""
        if not record.acting:
            self.unstamped_count += 1
            return
        stamp = ActionStamp.parse(record.acting)
        interval = IntervalKey(ProcessKey(stamp.node, stamp.generation), stamp.interval)
        self.attempt_times_ms[interval].append(record.t)
        self.attempts.append(RecordedAttempt(record.t, stamp))

    def first_held_ms(self) -> dict[int, float]:
        """Return when each version was first held by any node, in ms of the run, by version number."""
        return {
            number: min(times_ms.values()) - self._zero_ms
            for number, times_ms in self.audit.first_held_ms.items()
        }

    def _sent_in_ledgers(self) -> dict[IntervalKey, int]:
        """Return the number of attempts sent in each interval, according to the ledgers."""
        return {
            IntervalKey(ProcessKey(node, process.started.generation), number): interval.counts[SENT]
            for node, processes in self.audit.processes.items()
            for process in processes
            for number, interval in process.intervals.items()
        }

    def _unknown_since_ms(self) -> dict[ProcessKey, float]:
        """Return since when actions of each killed process may be missing in its ledger, in ms of the run.

        The times are CLOCK_ERROR_MS early, for the error of the node's clock.
        """
        return {
            ProcessKey(node, process.started.generation): (
                process.unknown.from_ms - self._zero_ms - CLOCK_ERROR_MS
            )
            for node, processes in self.audit.processes.items()
            for process in processes
            if process.unknown is not None
        }

    def _known_attempts(
        self, interval: IntervalKey, in_ledger: int, unknown_since_ms: Mapping[ProcessKey, float]
    ) -> int:
        """Return how many of the attempts that servers received in an interval its ledger must contain.

        `in_ledger` is the number in the ledger. Only attempts after the last counts that a killed process
        wrote may be missing.
        """
        times_ms = self.attempt_times_ms.get(interval, [])
        since_ms = unknown_since_ms.get(interval.process)
        if since_ms is None or len(times_ms) <= in_ledger:
            return len(times_ms)
        return max(in_ledger, sum(at_ms <= since_ms for at_ms in times_ms))

    def differences(self) -> dict[str, float]:
        """Return the figures of differences between servers and ledgers, by name.

        `unknown` are the attempts that may be missing in the ledgers of killed processes.
        """
        sent, unknown_since_ms = self._sent_in_ledgers(), self._unknown_since_ms()
        differences = unknown = 0
        for interval in sent.keys() | self.attempt_times_ms.keys():
            in_ledger = sent.get(interval, 0)
            known = self._known_attempts(interval, in_ledger, unknown_since_ms)
            unknown += len(self.attempt_times_ms.get(interval, ())) - known
            differences += abs(known - in_ledger)
        contents = self.audit.first_held_ms.values()
        return {
            "allocations": float(len(self.attempts)),
            "differences": float(differences + self.unstamped_count),
            "unknown": float(unknown),
            "unknown_share": unknown / max(1, len(self.attempts)),
            "numbers": float(len(contents)),
            "audit_wrong": float(len(self.audit.findings)),
            "two_contents": float(sum(len(times_ms) > 1 for times_ms in contents)),
            "lives": float(sum(map(len, self.audit.processes.values()))),
        }

    def staleness(self) -> dict[str, float]:
        """Return the figures of attempts that acted on a version as proven after a newer one was first held.

        A version may be acted on as proven for one lease after a newer version was first held. The figures
        are the number of attempts later than this bound, how late the latest attempt was as a share of the
        bound, and the share of attempts without a proof.
        """
        first_held_ms = self.first_held_ms()
        bound_ms = self._lease_ms + MAX_TRANSIT_MS
        past = nearest = unproven = 0.0
        for attempt in self.attempts:
            newer = [at_ms for number, at_ms in first_held_ms.items() if number > attempt.stamp.number]
            newer_ms = min(newer, default=inf)
            if not attempt.stamp.is_proven:
                unproven += 1
            elif attempt.at_ms > newer_ms:
                nearest = max(nearest, (attempt.at_ms - newer_ms) / bound_ms)
                past += attempt.at_ms - newer_ms > bound_ms
        return {
            "past_bound": past,
            "nearest_stale": nearest,
            "unproved_share": unproven / max(1, len(self.attempts)),
        }
