"""Counts a node's actions by their basis, and writes the counts to the node's ledger.

An action is an accepted request, a sent attempt, a response or a rejection. Each belongs to one interval of
this process: the time during which version, settings, endpoint list and serving status, together the basis of
the actions, stay the same. The counts of an interval are totals, written MAX_UNWRITTEN_ACTIONS actions or a
second after they changed, and after the record of the interval itself. Records that could not be written are
written again once the disk works.
"""

import enum
from collections import deque
from typing import NamedTuple

from marlseam import __version__
from marlseam.cluster.action_stamp import ActionStamp
from marlseam.cluster.audit_log import (
    ACTION_KINDS,
    ActionCounts,
    IntervalBegun,
    LogRecord,
    ProcessEnded,
    ProcessStarted,
)
from marlseam.cluster.replication.serving import ServingStatus
from marlseam.net.ledger_client import LedgerClient
from marlseam.net.node_ledger import NodeLedger

MAX_UNWRITTEN_ACTIONS = 200  # number of unwritten actions at which counts are written at once
MAX_OPEN_INTERVALS = 64  # number of the latest intervals, whose counts may still grow


class Action(enum.IntEnum):
    """A kind of action; its value is the place of its count in `ActionCounts`."""

    TAKEN = 0
    SENT = 1
    ANSWERED = 2
    REFUSED = 3


class ActionBasis(NamedTuple):
    """The configuration and status under which a node acts.

    number: the version acted on.
    content_id: the id of that version's content; "" where a later version is held.
    settings_digest: the digest of the settings in force, which may come from the node's own file.
    endpoint_list_version: the version of the endpoint list in force.
    status: whether the node serves, and whether the version is proven.
    """

    number: int
    content_id: str
    settings_digest: str
    endpoint_list_version: int
    status: ServingStatus

    def is_of(self, interval: IntervalBegun) -> bool:
        """Return whether an interval has this basis, the content id aside."""
        status = ServingStatus(interval.serving, interval.proved, interval.code)
        basis = interval.number, interval.settings_digest, interval.endpoint_list_version, status
        return basis == (self.number, self.settings_digest, self.endpoint_list_version, self.status)


class PendingRecord(NamedTuple):
    """A record that may not be durable; `number` is its number in the ledger, 0 before it is appended."""

    number: int
    record: LogRecord


class PendingCounts(NamedTuple):
    """A record of counts that was appended and may not be durable: its number, and the intervals in it."""

    number: int
    intervals: tuple[int, ...]


class ActionLedger:
    """The intervals and counts of one process.

    Attributes:
        node_ledger: the ledgers of this node; records are appended to its current one.
        started_ms: when this process started, by the loop's clock.
        is_beside: whether the process started while another of the node had the ledger.
        interval: the present interval; None before the first.
        stamp: the present interval's stamp, which attempts carry.
        intervals: the intervals whose counts may still grow, by number.
        counts: the counts of these intervals by number, each a list indexed by `Action`.
        changed_intervals: the numbers of intervals whose counts are to be written.
        unwritten_actions: actions counted since counts were last appended.
        pending_records: the records of the process's start and of intervals that may not be durable, in
            order.
        pending_counts: the records of counts that may not be durable, in order.

    """

    def __init__(self, node_ledger: NodeLedger, name: str, generation: int, lease_ms: float) -> None:
        """Create it without an interval, for one process (`generation`) of member `name`."""
        self.node_ledger, self.name = node_ledger, name
        self.generation, self.lease_ms = generation, lease_ms
        self.started_ms, self.is_beside = node_ledger.loop.now(), False
        self.interval: IntervalBegun | None = None
        self.stamp = ""
        self.intervals: dict[int, IntervalBegun] = {}
        self.counts: dict[int, list[int]] = {}
        self.changed_intervals: dict[int, None] = {}
        self.unwritten_actions = 0
        self.pending_records: deque[PendingRecord] = deque()
        self.pending_counts: deque[PendingCounts] = deque()

    @property
    def ledger(self) -> LedgerClient:
        """The ledger to which records are appended at present."""
        return self.node_ledger.current

    # Process and intervals.

    def process_started(self, now: float) -> ProcessStarted:
        """Return the record of this process's start."""
        ran_ms = now - self.started_ms
        return ProcessStarted(
            self.generation,
            __version__,
            self.ledger.era.boot,
            self.ledger.wall_ms() - ran_ms,
            now - ran_ms,
            self.lease_ms,
            self.is_beside,
            self.ledger.era.zero_ms,
        )

    def begin_process(self, now: float, is_beside: bool) -> None:
        """Queue the record of this process's start; `is_beside`: another process has the ledger."""
        self.is_beside = is_beside
        self.pending_records.append(PendingRecord(0, self.process_started(now)))

    def write_all_again(self, now: float) -> None:
        """Queue all records of this process again, as the node's ledger is another one from now on.

        The process and its intervals are written before the counts, which are totals.
        """
        records: list[LogRecord] = [self.process_started(now), *self.intervals.values()]
        self.pending_records = deque(PendingRecord(0, record) for record in records)
        self.changed_intervals, self.pending_counts = dict.fromkeys(self.counts), deque()

    def begin_interval(self, now: float, basis: ActionBasis) -> None:
        """Begin an interval at `now` ms of the loop's clock, and write its record."""
        number = self.interval.interval + 1 if self.interval is not None else 1
        status = basis.status
        self.interval = IntervalBegun(
            self.generation,
            number,
            __version__,
            basis.number,
            basis.content_id,
            basis.settings_digest,
            basis.endpoint_list_version,
            status.is_proven,
            status.is_serving,
            status.code,
            self.ledger.wall_ms(),
            now,
        )
        self.counts[number] = [0] * len(Action)
        self.intervals[number] = self.interval
        self.counts.pop(number - MAX_OPEN_INTERVALS, None)
        self.intervals.pop(number - MAX_OPEN_INTERVALS, None)
        stamp = ActionStamp(self.name, self.generation, number, basis.number, status.is_proven)
        self.stamp = stamp.text()
        self.pending_records.append(PendingRecord(0, self.interval))
        self.write_records()

    # Counts.

    def count(self, action: Action, interval: int = 0) -> None:
        """Count an action in an interval, by default the present one; ignored if that is no longer open."""
        if self.interval is None:
            return
        number = interval or self.interval.interval
        counts = self.counts.get(number)
        if counts is None:
            return
        counts[action] += 1
        self.changed_intervals[number] = None
        self.unwritten_actions += 1
        if self.unwritten_actions >= MAX_UNWRITTEN_ACTIONS:
            self.write_counts()

    def totals(self) -> dict[str, int]:
        """Return the sums of the counts of all open intervals, by the action's name."""
        sums = map(sum, zip(*self.counts.values(), strict=True))
        return dict(zip(ACTION_KINDS, sums, strict=True))

    # Writing.

    def write_records(self) -> None:
        """Append the pending records to the ledger in order, and again those lost by a disk fault."""
        ledger, pending = self.ledger, self.pending_records
        while pending and 0 < pending[0].number <= ledger.answered_count and ledger.accepts_records:
            pending.popleft()
        if not ledger.accepts_records:
            self.pending_records = deque(PendingRecord(0, row.record) for row in pending)
        elif ledger.is_available():
            self.pending_records = deque(
                PendingRecord(row.number or ledger.append(row.record), row.record) for row in pending
            )

    def write_counts(self) -> None:
        """Append the changed counts and those lost by a disk fault, after the records of their intervals."""
        self.write_records()
        self.settle_counts()
        rows = [self.row_of(number) for number in self.changed_intervals if number in self.counts]
        if not rows or any(not row.number for row in self.pending_records):
            return
        counts = ActionCounts(self.generation, rows, self.ledger.wall_ms(), self.ledger.loop.now())
        number = self.ledger.append(counts)
        if number:
            self.pending_counts.append(PendingCounts(number, tuple(self.changed_intervals)))
            self.changed_intervals, self.unwritten_actions = {}, 0

    def row_of(self, interval: int) -> tuple[int, int, int, int, int]:
        """Return an interval's number and counts as a row of `ActionCounts`."""
        taken, sent, answered, refused = self.counts[interval]
        return interval, taken, sent, answered, refused

    def settle_counts(self) -> None:
        """Drop pending counts that are durable; after a disk fault, mark their intervals as changed again."""
        ledger = self.ledger
        counts = self.pending_counts
        while counts and counts[0].number <= ledger.answered_count and ledger.accepts_records:
            counts.popleft()
        if not ledger.accepts_records:
            for pending in self.pending_counts:
                self.changed_intervals |= dict.fromkeys(pending.intervals)
            self.pending_counts.clear()

    def end_process(self) -> None:
        """Append the last counts and the record of the process's end, as the node ends."""
        self.write_counts()
        if self.interval is not None:
            ended = ProcessEnded(self.generation, self.ledger.wall_ms(), self.ledger.loop.now())
            self.ledger.append(ended)
