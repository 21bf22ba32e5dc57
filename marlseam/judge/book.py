"""Records put in order: streams checked for holes, and each work unit's story."""

from collections import defaultdict
from collections.abc import Iterable

from marlseam.records import (
    Answered,
    Begin,
    Ended,
    Node,
    Quit,
    Ran,
    Record,
    Refused,
    Told,
    Took,
    Tried,
    Withdrawn,
)

SYSTEMS = ("clients", "executors", "roster", "driver")  # of which one whole stream is needed at least


def holes(records: Iterable[Record]) -> list[str]:
    """Return what is missing from the streams: numbers, begins, ends, whole systems."""
    numbers: dict[str, list[Record]] = defaultdict(list)
    for record in records:
        numbers[record.by].append(record)
    found, systems = [], set()
    for by, rows in sorted(numbers.items()):
        rows.sort(key=lambda row: row.n)
        if rows[0].n != 1 or not isinstance(rows[0], Begin):
            found.append(f"{by}: no begin")
        else:
            systems.add(rows[0].system)
        if type(rows[-1]).__name__ != "End":
            found.append(f"{by}: no end")
        lost = [b.n for a, b in zip(rows, rows[1:], strict=False) if b.n != a.n + 1]
        if lost:
            found.append(f"{by}: {len(lost)} holes, the first before number {lost[0]}")
    return found + [f"{system}: no stream" for system in SYSTEMS if system not in systems]


class Book:
    """All records of a run, by what they are about. Times in ms."""

    def __init__(self, records: Iterable[Record]) -> None:
        self.records = sorted(records, key=lambda r: (r.t, r.by, r.n))
        self.rules: dict = {}
        self.tries: dict[str, Tried] = {}
        self.answers: dict[str, list[Answered]] = defaultdict(list)
        self.quits: dict[str, Quit] = {}
        self.took: dict[str, list[Took]] = defaultdict(list)
        self.ran: dict[str, list[Ran]] = defaultdict(list)
        self.ends: dict[str, list[Record]] = defaultdict(list)  # of allocations: whatever closes one
        self.told: dict[tuple[str, str], list[Told]] = defaultdict(list)
        self.killed: dict[str, list[float]] = defaultdict(list)
        self.stopped: dict[str, list[tuple[float, float]]] = defaultdict(list)  # from, until
        self.chains: dict[str, list[Tried]] = defaultdict(list)  # tries by their first
        for r in self.records:
            match r:
                case Begin():
                    self.rules = r.rules or self.rules
                case Tried():
                    self.tries[r.id] = r
                    self.chains[r.first].append(r)
                case Answered():
                    self.answers[r.id].append(r)
                case Quit():
                    self.quits[r.id] = r
                case Took():
                    self.took[r.id].append(r)
                case Ran():
                    self.ran[r.id].append(r)
                case Refused() | Ended() | Withdrawn():
                    self.ends[r.id].append(r)
                case Told():
                    self.told[r.node, r.executor].append(r)
                case Node() if r.state == "stopped":
                    self.stopped[r.node].append((r.t, r.until))
                case Node() if r.state in ("killed", "ended"):
                    self.killed[r.node].append(r.t)
        self.slack = float(self.rules.get("slack_ms", 0.0))

    def of(self, kind: type) -> list[Record]:
        """Return all records of one kind, in order."""
        return [r for r in self.records if type(r) is kind]

    def final(self, id: str) -> Answered | None:
        """Return a try's first final answer."""
        return next(
            (a for a in self.answers.get(id, ()) if a.how in ("completed", "deferred", "aborted")), None
        )

    def story(self, first: str) -> list[str]:
        """Return all that happened to a work unit and its retries, a line each."""
        ids = {row.id for row in self.chains.get(first, ())} | {first}
        lines = []
        for r in self.records:
            if getattr(r, "id", None) in ids:
                rest = {
                    f: getattr(r, f) for f in r.__struct_fields__ if f not in ("n", "t", "by", "id", "first")
                }
                shown = " ".join(f"{key}={value}" for key, value in rest.items() if value not in (None, ""))
                lines.append(
                    f"{r.t:10.1f} ms  {r.by:<16} {type(r).__name__.lower():<9} {r.id} {shown}".rstrip()
                )
        return lines
