"""Compares what servers saw of a run with what the nodes' ledgers say."""

from collections import defaultdict
from collections.abc import Mapping
from math import inf
from pathlib import Path
from typing import NamedTuple

from marlseam import records
from marlseam.cluster.action_stamp import ActionStamp
from marlseam.cluster.audit import SENT, Audit
from marlseam.store import ledger_audit

CLOCK_ERROR_MS = 20.0  # one machine: by which a node's clock, read at its start, may be off
MAX_TRANSIT_MS = 300.0  # from the stamp of an attempt until its server records it


class AttemptSeen(NamedTuple):
    """An attempt that a server took.

    Attributes:
        at_ms: when, in ms of the run.
        stamp: that the attempt carried.
    """

    at_ms: float
    stamp: ActionStamp


class ProcessKey(NamedTuple):
    """One process of a node."""

    node: str
    generation: int


class IntervalKey(NamedTuple):
    """An interval in which a process acted on one version."""

    process: ProcessKey
    number: int


class LedgerComparison:
    """What servers saw, compared with what the ledgers say.

    Attributes:
        audit: what the ledgers say.
        attempts: what servers took.
        attempt_times_ms: when they took the attempts of each interval.
        without_stamp: how many attempts carried none.
    """

    def __init__(
        self, ledgers: list[Path], all_records: list[records.Record], lease_ms: float, zero_ms: float
    ) -> None:
        """Read the ledgers of a run that began at a Unix time, and its records."""
        self.audit: Audit = ledger_audit.read(ledgers, CLOCK_ERROR_MS)
        self._lease_ms, self._zero_ms = lease_ms, zero_ms
        self.attempts: list[AttemptSeen] = []
        self.attempt_times_ms: dict[IntervalKey, list[float]] = defaultdict(list)
        self.without_stamp = 0
        for record in all_records:
            if isinstance(record, records.AttemptReceived):
                self._take_attempt(record)

    def _take_attempt(self, record: records.AttemptReceived) -> None:
        """Take in that a server took an attempt."""
        if not record.acting:
            self.without_stamp += 1
            return
        stamp = ActionStamp.parse(record.acting)
        interval = IntervalKey(ProcessKey(stamp.node, stamp.generation), stamp.interval)
        self.attempt_times_ms[interval].append(record.t)
        self.attempts.append(AttemptSeen(record.t, stamp))

    def first_held_ms(self) -> dict[int, float]:
        """Return when each version was first held, in ms of the run, by its number."""
        return {
            number: min(times_ms.values()) - self._zero_ms
            for number, times_ms in self.audit.first_held_ms.items()
        }

    def _sent_in_ledgers(self) -> dict[IntervalKey, int]:
        """Return the attempts sent in each interval, by the ledgers."""
        return {
            IntervalKey(ProcessKey(node, process.started.generation), number): interval.counts[SENT]
            for node, processes in self.audit.processes.items()
            for process in processes
            for number, interval in process.intervals.items()
        }

    def _unknown_since_ms(self) -> dict[ProcessKey, float]:
        """Return since when the actions of killed processes may be missing, in ms of the run."""
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
        """Return how many of the attempts seen in an interval its ledger is to hold.

        Only what came after the last counts of a killed process may be missing.
        """
        times_ms = self.attempt_times_ms.get(interval, [])
        since_ms = unknown_since_ms.get(interval.process)
        if since_ms is None or len(times_ms) <= in_ledger:
            return len(times_ms)
        return max(in_ledger, sum(at_ms <= since_ms for at_ms in times_ms))

    def differences(self) -> dict[str, float]:
        """Return differences between both, and the attempts that the ledgers declare as unknown."""
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
            "differences": float(differences + self.without_stamp),
            "unknown": float(unknown),
            "unknown_share": unknown / max(1, len(self.attempts)),
            "numbers": float(len(contents)),
            "audit_wrong": float(len(self.audit.findings)),
            "two_contents": float(sum(len(times_ms) > 1 for times_ms in contents)),
            "lives": float(sum(map(len, self.audit.processes.values()))),
        }

    def staleness(self) -> dict[str, float]:
        """Return attempts past the bound, and how near the others came to it.

        A version may be acted on as proven for one lease after a newer one was held.
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
