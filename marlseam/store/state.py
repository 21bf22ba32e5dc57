"""What the files hold, in memory.

Made by applying entries in their order, and written back as a snapshot's.
"""

from dataclasses import dataclass, field

from marlseam.store.format import Batch, Entry, Heard, Listed, NeverRan, Sent, Turned


@dataclass
class State:
    """A node's durable state. Times in Unix ms."""

    listed: Listed | None = None
    turnover: Turned = field(default_factory=lambda: Turned(0.0, 0.0))
    sent: dict[str, list[Sent]] = field(default_factory=dict)

    def apply(self, entry: Entry) -> None:
        """Take in an entry."""
        match entry:
            case Listed():
                self.listed = entry
            case Heard():
                if self.listed is not None:
                    self.listed = Listed(self.listed.version, self.listed.rows, entry.heard_ms)
            case Turned():
                self.turnover = entry
            case Sent():
                rows = self.sent.setdefault(entry.key, [])
                rows.append(entry)
            case Batch():
                sent = self.sent
                for row in entry.rows:
                    if row.key in sent:
                        sent[row.key].append(row)
                    else:
                        sent[row.key] = [row]
            case NeverRan():
                rows = self.sent.get(entry.key, [])
                rows[:] = [r for r in rows if (r.executor, r.sent_ms) != (entry.executor, entry.sent_ms)]
                if not rows:
                    self.sent.pop(entry.key, None)

    def expire(self, now_ms: float) -> None:
        """Drop keys that every pod has forgotten; a key's last sending is remembered longest."""
        for key in [k for k, rows in self.sent.items() if rows[-1].until_ms <= now_ms]:
            del self.sent[key]

    def entries(self) -> list[Entry]:
        """Return what a snapshot holds."""
        found: list[Entry] = [self.turnover]
        if self.listed is not None:
            found.append(self.listed)
        return found + [row for rows in self.sent.values() for row in rows]
