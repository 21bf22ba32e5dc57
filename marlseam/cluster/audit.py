"""The audit of ledgers: which node acted on which version, and what violates the rules or is missing; pure.

Times are Unix ms by the clock of each node's machine; the clocks of two machines differ by up to `error_ms`.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import pairwise
from math import inf
from typing import Any, NamedTuple

from msgspec.structs import replace

from marlseam.cluster.audit_log import (
    ACTION_KINDS,
    ActionCounts,
    BatchWritten,
    IntervalBegun,
    LogRecord,
    ProcessEnded,
    ProcessStarted,
    VersionHeld,
)

FIELDS_BY_KEY = {
    "life": "generation",
    "interval": "interval",
    "program": "program",
    "number": "number",
    "id": "id",
    "meaning": "settings_digest",
    "listed": "endpoint_list_version",
    "proved": "proved",
    "serving": "serving",
    "code": "code",
}  # fields of IntervalBegun, by the key of a row that operators' programs read
SENT = ACTION_KINDS.index("sent")

Counts = tuple[int, ...]


class CountMark(NamedTuple):
    """The cumulative counts of an interval, as recorded at a time."""

    at_ms: float
    counts: Counts


class UnknownPeriod(NamedTuple):
    """The period in which actions of a killed process may be missing; `to_ms` is inf if it is open."""

    from_ms: float
    to_ms: float


@dataclass
class Interval:
    """One interval of a process.

    Attributes:
        begun: the record of its start, with the version that its actions are based on.
        ended_ms: when the next interval began; None if the interval lasted to the end of the process.
        counts: total counts of its actions, in the order of ACTION_KINDS.
        marks: the counts recorded over time.

    """

    begun: IntervalBegun
    ended_ms: float | None = None
    counts: Counts = (0, 0, 0, 0)
    marks: list[CountMark] = field(default_factory=list)

    def sent_after(self, at_ms: float) -> int:
        """Return how many attempts were certainly sent after a time.

        An attempt counts if it was sent between two recorded counts of which the earlier is not before
        `at_ms`.
        """
        sent, last_sent, last_ms = 0, 0, self.begun.wall_ms
        for mark in sorted(self.marks):
            if last_ms >= at_ms:
                sent += mark.counts[SENT] - last_sent
            last_sent, last_ms = mark.counts[SENT], mark.at_ms
        return sent


@dataclass
class Process:
    """One process of a node.

    Attributes:
        started: the record of its start, with its generation, program and machine.
        shift_ms: added to its wall clock times so that all processes since one start of the machine use one
            time scale, even if the wall clock was changed in between.
        last_ms: time of its last record.
        counted_ms: time of its last counts, up to which its actions are known.
        intervals: its intervals, by number.
        ended: whether it ended in an orderly way.
        is_complete: whether its first interval must be in the files that are kept.
        unknown: the period in which its actions may be missing; None if there is none.

    """

    started: ProcessStarted
    shift_ms: float
    last_ms: float
    counted_ms: float
    intervals: dict[int, Interval] = field(default_factory=dict)
    ended: bool = False
    is_complete: bool = True
    unknown: UnknownPeriod | None = None

    def sorted_intervals(self) -> list[Interval]:
        """Return the intervals in the order of their numbers."""
        return [self.intervals[number] for number in sorted(self.intervals)]


@dataclass
class Audit:
    """The combined result of several ledgers.

    Attributes:
        processes: by node, in the order of their start.
        first_held_ms: when each content of a version was first held by any node, by number and content id.
        findings: a text for each violation of the rules and each gap in the records.
        boot_zero_ms: the Unix time of a machine's start to which its times are aligned, by `boot`.

    """

    processes: dict[str, list[Process]] = field(default_factory=dict)
    first_held_ms: dict[int, dict[str, float]] = field(default_factory=dict)
    findings: list[str] = field(default_factory=list)
    boot_zero_ms: dict[str, float] = field(default_factory=dict)


def read(
    ledgers: Mapping[str, list[list[LogRecord]]], running: Iterable[str] = (), error_ms: float = 100.0
) -> Audit:
    """Audit ledgers, given by node name as lists of chains of records.

    The last process of a node in `running` has not ended; clocks of machines differ by up to `error_ms`.
    """
    audit = Audit()
    for node, chains in sorted(ledgers.items()):
        reader = NodeReader(audit, node)
        for records in chains:
            reader.read_chain(records)
        audit.processes[node] = sorted(reader.processes.values(), key=lambda process: process.started.wall_ms)
        close_intervals(audit, node, node in running)
    find_two_contents(audit)
    held_since_ms = {number: min(ids.values()) for number, ids in audit.first_held_ms.items()}
    for node in audit.processes:
        find_overlapping_processes(audit, node, error_ms)
        find_stale_actions(audit, node, held_since_ms, error_ms)
    return audit


class NodeReader:
    """Reads the chains of one node; `processes` is keyed by generation."""

    def __init__(self, audit: Audit, node: str) -> None:
        """Start without any record."""
        self.audit, self.node = audit, node
        self.processes: dict[int, Process] = {}
        self.held: set[tuple[int, str]] = set()  # (number, id) of versions whose first time was read
        self.chain_counts: dict[tuple[int, int], Counts] = {}  # of this chain, by (generation, interval)

    def read_chain(self, records: list[LogRecord]) -> None:
        """Read the records of one chain."""
        process: Process | None = None
        is_past_first_batch = False
        self.chain_counts = {}
        for record in records:
            if isinstance(record, ProcessStarted):
                process = self.read_start(record, is_past_first_batch)
            elif isinstance(record, VersionHeld):
                self.read_held(record, process)
            elif isinstance(record, IntervalBegun | ActionCounts | ProcessEnded) and process is not None:
                self.read_action_record(record)
            is_past_first_batch = is_past_first_batch or isinstance(record, BatchWritten)

    def read_start(self, record: ProcessStarted, is_past_first_batch: bool) -> Process:
        """Read the start of a process, and return the process."""
        # The process may be known from another chain: it moves on to the node's main ledger once that is
        # free.
        is_known = record.generation in self.processes
        shift_ms = self.audit.boot_zero_ms.setdefault(record.boot, record.zero_ms) - record.zero_ms
        started = replace(record, wall_ms=record.wall_ms + shift_ms)
        process = self.processes.setdefault(
            record.generation,
            Process(started, shift_ms, last_ms=started.wall_ms, counted_ms=started.wall_ms),
        )
        # The first batch of a file repeats earlier records: the process may have started in a file that is no
        # longer kept.
        process.is_complete = process.is_complete if is_known else is_past_first_batch
        return process

    def read_held(self, record: VersionHeld, process: Process | None) -> None:
        """Read when a version was first held on this node."""
        version = record.number, record.id
        if not record.wall_ms or version in self.held:
            return
        # Only the first record counts: later files repeat it, on the time scale of another process.
        self.held.add(version)
        at_ms = record.wall_ms + (process.shift_ms if process is not None else 0.0)
        first_ms = self.audit.first_held_ms.setdefault(record.number, {})
        first_ms[record.id] = min(first_ms.get(record.id, inf), at_ms)

    def read_action_record(self, record: IntervalBegun | ActionCounts | ProcessEnded) -> None:
        """Read a record about the actions of a process; ignored if the process is unknown."""
        process = self.processes.get(record.generation)
        if process is None:
            return
        shifted = replace(record, wall_ms=record.wall_ms + process.shift_ms)
        process.last_ms = max(process.last_ms, shifted.wall_ms)
        match shifted:
            case IntervalBegun():
                self.read_interval(shifted, process)
            case ActionCounts():
                self.read_counts(shifted, process)
            case ProcessEnded():
                process.ended = True

    def read_interval(self, record: IntervalBegun, process: Process) -> None:
        """Read the start of an interval."""
        interval = process.intervals.setdefault(record.interval, Interval(record))
        if interval.begun != record:
            self.report(
                f"two different intervals {record.interval} of generation {record.generation} are recorded"
            )

    def read_counts(self, record: ActionCounts, process: Process) -> None:
        """Read the counts of some intervals."""
        process.counted_ms = max(process.counted_ms, record.wall_ms)
        for number, *row in record.rows:
            interval, counts = process.intervals.get(number), tuple(row)
            if interval is None:
                self.report(
                    f"actions are counted in interval {number} of generation {record.generation}, "
                    "whose start is missing"
                )
                continue
            # Counts only grow within one chain; a chain that is read later may hold older counts.
            earlier = self.chain_counts.get((record.generation, number), ())
            if any(count < before for count, before in zip(counts, earlier, strict=False)):
                self.report(
                    f"fewer actions in interval {number} of generation {record.generation} than an earlier "
                    "record counts"
                )
            self.chain_counts[record.generation, number] = counts
            interval.counts = tuple(map(max, counts, interval.counts))
            interval.marks.append(CountMark(record.wall_ms, counts))

    def report(self, text: str) -> None:
        """Add a finding about this node."""
        self.audit.findings.append(f"{self.node}: {text}")


def close_intervals(audit: Audit, node: str, is_running: bool) -> None:
    """Set the ends of intervals and the unknown periods of killed processes, and report missing intervals."""
    processes = audit.processes[node]
    for i, process in enumerate(processes):
        for interval, following in pairwise(process.sorted_intervals()):
            interval.ended_ms = following.begun.wall_ms
        find_missing_intervals(audit, node, process)
        is_last = i == len(processes) - 1
        if not process.ended and not (is_running and is_last):
            next_start_ms = inf if is_last else processes[i + 1].started.wall_ms
            # Unknown since the last counts, not since the last record: actions may have gone uncounted before
            # a later interval began.
            process.unknown = UnknownPeriod(process.counted_ms, next_start_ms)


def find_missing_intervals(audit: Audit, node: str, process: Process) -> None:
    """Report the gaps in the interval numbers of a process."""
    numbers = process.intervals.keys()
    first = min(numbers) if numbers and not process.is_complete else 1
    missing = sorted(set(range(first, max(numbers, default=0) + 1)) - numbers)
    if missing:
        audit.findings.append(
            f"{node}: intervals {missing} of generation {process.started.generation} are missing"
        )


def find_two_contents(audit: Audit) -> None:
    """Report versions that nodes held with different contents."""
    for number, ids in sorted(audit.first_held_ms.items()):
        if len(ids) > 1:
            audit.findings.append(
                f"nodes held version {number} with {len(ids)} contents, expected 1: {', '.join(sorted(ids))}"
            )


def find_overlapping_processes(audit: Audit, node: str, error_ms: float) -> None:
    """Report processes of one node that overlapped although the later one was not permitted to (`beside`)."""
    for earlier, later in pairwise(audit.processes[node]):
        if earlier.last_ms > later.started.wall_ms + error_ms and not later.started.beside:
            overlap = f"generation {later.started.generation} began before {earlier.started.generation} ended"
            audit.findings.append(f"{node}: {overlap}")


def find_stale_actions(audit: Audit, node: str, held_since_ms: Mapping[int, float], error_ms: float) -> None:
    """Report attempts sent on a version as proven, later than one lease after a newer one was first held."""
    for process in audit.processes[node]:
        lease_ms = process.started.lease_ms
        for interval in process.intervals.values():
            begun = interval.begun
            newer_ms = min((at for number, at in held_since_ms.items() if number > begun.number), default=inf)
            count = interval.sent_after(newer_ms + lease_ms + error_ms)
            if count and begun.proved:
                audit.findings.append(
                    f"{node}: {count} attempts sent on version {begun.number}, as proven, in interval "
                    f"{begun.interval} of generation {process.started.generation}, more than its lease of "
                    f"{lease_ms:.0f} ms after a newer version was first held"
                )


def interval_at(audit: Audit, node: str, at_ms: float) -> Interval | None:
    """Return the interval of a node that contains a time, or None."""
    for process in audit.processes.get(node, ()):
        open_end_ms = process.last_ms if process.ended else inf
        for interval in process.intervals.values():
            ended_ms = interval.ended_ms if interval.ended_ms is not None else open_end_ms
            if interval.begun.wall_ms <= at_ms < ended_ms:
                return interval
    return None


def interval_rows(audit: Audit, since_ms: float = 0.0, node: str | None = None) -> list[dict[str, Any]]:
    """Return the intervals that ended at `since_ms` or later as rows, sorted by node and time.

    The keys of a row are those that operators' programs read. `node` limits the rows to one node.
    """
    found = []
    for name, processes in audit.processes.items():
        for process in processes if node in (None, name) else ():
            found += process_rows(name, process, since_ms)
    return sorted(found, key=lambda row: (row["node"], row["from_ms"], row["interval"]))


def process_rows(node: str, process: Process, since_ms: float) -> list[dict[str, Any]]:
    """Return the intervals of a process that ended at a time or later, as rows."""
    found = []
    intervals = process.sorted_intervals()
    for interval in intervals:
        is_last = interval is intervals[-1]
        ended_ms = process.last_ms if is_last else interval.ended_ms
        if ended_ms is not None and ended_ms < since_ms:
            continue
        row: dict[str, Any] = {"node": node}
        row |= {key: getattr(interval.begun, name) for key, name in FIELDS_BY_KEY.items()}
        row |= {"from_ms": interval.begun.wall_ms, "to_ms": ended_ms}
        row |= zip(ACTION_KINDS, interval.counts, strict=True)
        row["unknown_after"] = process.unknown is not None and is_last
        found.append(row)
    return found
