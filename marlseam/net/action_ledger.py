"""Counts a node's actions by what they stand on, and has the counts written to its ledger.

An action is a request accepted, an attempt sent, a response or a rejection. Each lies in one interval of this
process: the time during which version, settings, endpoint list and serving status stay the same. The counts
of an interval are written as a whole, some actions or a second after they changed, behind the record of the
interval itself; what the disk refused is written once it works again.
"""

import enum
from collections import deque
from typing import NamedTuple

from marlseam import __version__
from marlseam.cluster.action_stamp import ActionStamp
from marlseam.cluster.audit_log import (
    ACTS,
    ActionCounts,
    IntervalBegun,
    LogRecord,
    ProcessEnded,
    ProcessStarted,
)
from marlseam.cluster.replication.serving import ServingStatus
from marlseam.net.ledger_client import LedgerClient
from marlseam.net.node_ledger import NodeLedger

MAX_UNWRITTEN_ACTIONS = 200  # after which the counts do not wait for the next period
MAX_OPEN_INTERVALS = 64  # whose counts may still grow


class Action(enum.IntEnum):
    """What is counted, in the order of `ActionCounts`."""

    TAKEN = 0
    SENT = 1
    ANSWERED = 2
    REFUSED = 3


class ActionBasis(NamedTuple):
    """What actions stand on.

    number: the version acted on.
    content_id: its content's id; "" where a later version is held.
    settings_digest: of the settings in force, which may be a file's of the node's own.
    endpoint_list_version: of the endpoint list in force.
    status: whether the node serves, and whether the version is proven.
    """

    number: int
    content_id: str
    settings_digest: str
    endpoint_list_version: int
    status: ServingStatus

    def is_of(self, interval: IntervalBegun) -> bool:
        """Return whether an interval goes on with this basis."""
        status = ServingStatus(interval.serving, interval.proved, interval.code)
        basis = interval.number, interval.settings_digest, interval.endpoint_list_version, status
        return basis == (self.number, self.settings_digest, self.endpoint_list_version, self.status)


class PendingRecord(NamedTuple):
    """A record that is not known to be durable; `number` is the ledger's, 0 where it is not handed over."""

    number: int
    record: LogRecord


class PendingCounts(NamedTuple):
    """Counts that are handed over and not known to be durable, and of which intervals."""

    number: int
    intervals: tuple[int, ...]


class ActionLedger:
    """The intervals and counts of one process.

    Attributes:
        node_ledger: the ledgers of this node; records go to its present one.
        interval: the present one; None before the first.
        stamp: the present interval as attempts carry it.
        intervals: those whose counts may still grow, by number.
        counts: their counts, by `Action`.
        changed_intervals: those whose counts are to be written.
        unwritten_actions: since counts were last handed over.
        pending_records: intervals and the process's start, as far as they may not be durable, in order.
        pending_counts: counts likewise.

    """

    def __init__(self, node_ledger: NodeLedger, name: str, generation: int, lease_ms: float) -> None:
        """Begin without an interval, for one process of a member."""
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
        """Where the records are written at present."""
        return self.node_ledger.current

    # Process and intervals.

    def process_started(self, now: float) -> ProcessStarted:
        """Return the record of this process."""
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
        """Have the start of this process written; `is_beside` another process of the node."""
        self.is_beside = is_beside
        self.pending_records.append(PendingRecord(0, self.process_started(now)))

    def write_all_again(self, now: float) -> None:
        """Have all of this process's actions written again, as the ledger is another one from now on.

        Counts are written as a whole, and the process and its intervals go before them.
        """
        records: list[LogRecord] = [self.process_started(now), *self.intervals.values()]
        self.pending_records = deque(PendingRecord(0, record) for record in records)
        self.changed_intervals, self.pending_counts = dict.fromkeys(self.counts), deque()

    def begin_interval(self, now: float, basis: ActionBasis) -> None:
        """Begin an interval."""
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
        """Count an action, of the present interval unless another is given."""
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
        """Return the counts of all open intervals together, by the action's name."""
        sums = map(sum, zip(*self.counts.values(), strict=True))
        return dict(zip(ACTS, sums, strict=True))

    # Writing.

    def write_records(self) -> None:
        """Hand over the records that are not; what the disk refused goes again, in order."""
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
        """Hand over the counts so far, and again those whose writing failed; their intervals first."""
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
        """Return an interval's number and counts, as `ActionCounts` has them."""
        taken, sent, answered, refused = self.counts[interval]
        return interval, taken, sent, answered, refused

    def settle_counts(self) -> None:
        """Forget counts that are durable; those that the disk refused are to be written again."""
        ledger = self.ledger
        counts = self.pending_counts
        while counts and counts[0].number <= ledger.answered_count and ledger.accepts_records:
            counts.popleft()
        if not ledger.accepts_records:
            for pending in self.pending_counts:
                self.changed_intervals |= dict.fromkeys(pending.intervals)
            self.pending_counts.clear()

    def end_process(self) -> None:
        """Hand over the last counts, as the node ends."""
        self.write_counts()
        if self.interval is not None:
            ended = ProcessEnded(self.generation, self.ledger.wall_ms(), self.ledger.loop.now())
            self.ledger.append(ended)
