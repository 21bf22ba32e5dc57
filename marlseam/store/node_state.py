"""What the files hold, in memory.

Made by applying entries in their order, and written back as a snapshot's.
"""

from collections.abc import Generator
from dataclasses import dataclass, field

from msgspec.structs import replace

from marlseam.store.file_format import (
    BATCH,
    AttemptBatch,
    AttemptNeverRan,
    AttemptSent,
    HistoryLost,
    ListConfirmed,
    ListStored,
    StateRecord,
    TurnoverNoted,
)

Steps = Generator[None, None, None]  # long work, in pieces that a caller may spread over turns
STEP_MS = 20.0  # by which a clock must have been set to count as set
AGES_AGO = 0.0  # Unix ms of a sending whose age is not known: no pod is relied on to know it still


@dataclass
class NodeState:
    """A node's durable state. Times in Unix ms."""

    listed: ListStored | None = None
    turnover: TurnoverNoted = field(default_factory=lambda: TurnoverNoted(0.0, 0.0))
    sent: dict[str, list[AttemptSent]] = field(default_factory=dict)
    lost_ms: float | None = None  # what may have run before then is not known

    def apply(self, entry: StateRecord) -> None:
        """Take in an entry."""
        match entry:
            case ListStored():
                self.listed = entry
            case ListConfirmed():
                if self.listed is not None:
                    self.listed = ListStored(self.listed.version, self.listed.rows, entry.heard_ms)
            case TurnoverNoted():
                self.turnover = entry
            case HistoryLost():
                self.lost_ms = entry.since_ms
            case AttemptSent():
                rows = self.sent.setdefault(entry.key, [])
                rows.append(entry)
            case AttemptBatch():
                sent = self.sent
                for row in entry.rows:
                    if row.key in sent:
                        sent[row.key].append(row)
                    else:
                        sent[row.key] = [row]
            case AttemptNeverRan():
                rows = self.sent.get(entry.key, [])
                rows[:] = [r for r in rows if (r.executor, r.sent_ms) != (entry.executor, entry.sent_ms)]
                if not rows:
                    self.sent.pop(entry.key, None)

    def expire(self, now_ms: float) -> Steps:
        """Drop keys that every pod has forgotten; a key's last sending is remembered longest."""
        gone = []
        for i, (key, rows) in enumerate(self.sent.items()):
            if rows[-1].until_ms <= now_ms:
                gone.append(key)
            if i % BATCH == 0:
                yield
        for key in gone:
            del self.sent[key]

    def shift_to(self, old_ms: float, new_ms: float) -> Steps:
        """Bring times onto another scale, whose zero is another: a clock was set meanwhile."""
        ms = new_ms - old_ms
        if abs(ms) < STEP_MS:
            return
        for i, rows in enumerate(self.sent.values()):
            rows[:] = [replace(r, sent_ms=r.sent_ms + ms, until_ms=r.until_ms + ms) for r in rows]
            if i % BATCH == 0:
                yield
        if self.listed is not None:
            self.listed = ListStored(self.listed.version, self.listed.rows, self.listed.heard_ms + ms)
        if self.lost_ms is not None:
            self.lost_ms += ms

    def doubt_times(self, now_ms: float) -> Steps:
        """Take times as unknown, each the way that no pod's memory is thought longer, or over too early.

        Guards against a clock that was set while the machine was down: nothing can tell.
        """
        for i, rows in enumerate(self.sent.values()):
            untils = [max(r.until_ms, now_ms + r.until_ms - r.sent_ms) for r in rows]
            rows[:] = [replace(r, sent_ms=AGES_AGO, until_ms=u) for r, u in zip(rows, untils, strict=True)]
            if i % BATCH == 0:
                yield
        if self.lost_ms is not None:
            self.lost_ms = now_ms

    def entries(self) -> list[StateRecord]:
        """Return what a snapshot holds."""
        found: list[StateRecord] = [self.turnover]
        if self.listed is not None:
            found.append(self.listed)
        if self.lost_ms is not None:
            found.append(HistoryLost(self.lost_ms))
        return found + [row for rows in self.sent.values() for row in rows]
