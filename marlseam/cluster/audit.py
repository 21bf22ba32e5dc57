"""Which node acted on which version: what ledgers say together, and what is wrong in them; pure.

Times are Unix ms by the clock of each node's machine; between machines they are as far apart as `error_ms`
says.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf

from msgspec.structs import replace

from marlseam.cluster.audit_log import (
    ACTS,
    ActionCounts,
    BatchWritten,
    IntervalBegun,
    LogRecord,
    ProcessEnded,
    ProcessStarted,
    VersionHeld,
)

TOLD = ("life", "interval", "program", "number", "id", "meaning", "listed", "proved", "serving", "code")


@dataclass
class Span:
    """One interval of a life: what acts stood on, from when to when, and how many there were."""

    acting: IntervalBegun
    until_ms: float | None = None  # None: to the life's end
    acts: tuple[int, ...] = (0, 0, 0, 0)
    marks: list[tuple[float, tuple[int, ...]]] = field(default_factory=list)


@dataclass
class Lived:
    """One process of a node: its intervals, when it was last heard of, and whether it ended by itself."""

    life: ProcessStarted
    spans: dict[int, Span] = field(default_factory=dict)
    last_ms: float = 0.0
    marked_ms: float = 0.0  # as of when its acts are known
    ended: bool = False
    whole: bool = True  # whether its first interval is in what is kept
    unknown: tuple[float, float] | None = None  # from when to when acts may be missing
    shift_ms: float = 0.0  # onto its machine's scale of time, whatever its wall clock was set to


@dataclass
class Audit:
    """What ledgers say together."""

    lives: dict[str, list[Lived]] = field(default_factory=dict)  # by node, in order
    held: dict[int, dict[str, float]] = field(default_factory=dict)  # by number and id: first held, anywhere
    wrong: list[str] = field(default_factory=list)
    zeros: dict[str, float] = field(
        default_factory=dict
    )  # by start of a machine: the Unix time it counts from


def read(
    ledgers: Mapping[str, list[list[LogRecord]]], running: Iterable[str] = (), error_ms: float = 100.0
) -> Audit:
    """Return the audit of nodes' ledgers, each a list of chains of entries.

    Of `running` ones the end is open.
    """
    audit = Audit()
    for node, chains in sorted(ledgers.items()):
        audit.lives[node] = lives_of(audit, node, chains)
        close(audit, node, node in running)
    judge(audit, error_ms)
    return audit


def lives_of(audit: Audit, node: str, chains: list[list[LogRecord]]) -> list[Lived]:
    """Return a node's processes, in the order of their begin."""
    found: dict[int, Lived] = {}
    told: set[tuple[int, str]] = set()
    for entries in chains:
        lived, headed, before = None, False, dict[tuple[int, int], tuple[int, ...]]()
        for entry in entries:
            if type(entry) is ProcessStarted:
                known = entry.life in found  # also from another chain: it moved on when the node was its own
                shift = audit.zeros.setdefault(entry.boot, entry.zero_ms) - entry.zero_ms
                began = replace(entry, wall_ms=entry.wall_ms + shift)
                lived = found.setdefault(
                    entry.life, Lived(began, last_ms=began.wall_ms, marked_ms=began.wall_ms, shift_ms=shift)
                )
                # What stands in a file's first batch is told again: a life may have begun in a file that is
                # gone.
                lived.whole = lived.whole if known else headed
            elif type(entry) is VersionHeld and entry.wall_ms:
                if (entry.number, entry.id) not in told:
                    # Told once: later files begin with it again, and not on their own life's scale.
                    told.add((entry.number, entry.id))
                    ids = audit.held.setdefault(entry.number, {})
                    at_ms = entry.wall_ms + (lived.shift_ms if lived is not None else 0.0)
                    ids[entry.id] = min(ids.get(entry.id, inf), at_ms)
            elif lived is not None:
                note(audit, node, found, before, entry)
            headed = headed or type(entry) is BatchWritten
    return sorted(found.values(), key=lambda lived: lived.life.wall_ms)


def note(
    audit: Audit,
    node: str,
    found: dict[int, Lived],
    before: dict[tuple[int, int], tuple[int, ...]],
    entry: LogRecord,
) -> None:
    """Take in what a process wrote of its acts; `before` are the acts so far, in this chain."""
    lived = found.get(getattr(entry, "life", -1))
    if lived is None:
        return
    entry = replace(entry, wall_ms=entry.wall_ms + lived.shift_ms)
    lived.last_ms = max(lived.last_ms, entry.wall_ms)
    if type(entry) is IntervalBegun:
        held = lived.spans.setdefault(entry.interval, Span(entry))
        if held.acting != entry:
            audit.wrong.append(f"{node}: two intervals {entry.interval} of life {entry.life}")
    elif type(entry) is ActionCounts:
        lived.marked_ms = max(lived.marked_ms, entry.wall_ms)
        for number, *acts in entry.rows:
            span = lived.spans.get(number)
            if span is None:
                audit.wrong.append(
                    f"{node}: acts in interval {number} of life {entry.life}, which is missing"
                )
                continue
            # In one chain they only grow; another chain's may come later here and be earlier.
            if any(a < b for a, b in zip(acts, before.get((entry.life, number), ()), strict=False)):
                audit.wrong.append(
                    f"{node}: fewer acts in interval {number} of life {entry.life} than before"
                )
            before[entry.life, number] = tuple(acts)
            span.acts = tuple(map(max, acts, span.acts))
            span.marks.append((entry.wall_ms, tuple(acts)))
    elif type(entry) is ProcessEnded:
        lived.ended = True


def close(audit: Audit, node: str, running: bool) -> None:
    """End intervals where the next begins, and tell what is missing or unknown."""
    lives = audit.lives[node]
    for i, lived in enumerate(lives):
        numbers = sorted(lived.spans)
        for a, b in zip(numbers, numbers[1:], strict=False):
            lived.spans[a].until_ms = lived.spans[b].acting.wall_ms
        first = numbers[0] if numbers and not lived.whole else 1
        missing = sorted(set(range(first, max(numbers, default=0) + 1)) - set(numbers))
        if missing:
            audit.wrong.append(f"{node}: intervals {missing} of life {lived.life.life} are missing")
        if not lived.ended and not (running and i == len(lives) - 1):
            following = lives[i + 1].life.wall_ms if i + 1 < len(lives) else inf
            # Since the last mark, not the last record: an interval may have begun after acts that were not
            # marked.
            lived.unknown = lived.marked_ms, following


def judge(audit: Audit, error_ms: float) -> None:
    """Note what must not be: two contents, acts past the bound, two processes under one name."""
    for number, ids in sorted(audit.held.items()):
        if len(ids) > 1:
            audit.wrong.append(f"version {number} has {len(ids)} contents: {', '.join(sorted(ids))}")
    since = {number: min(ids.values()) for number, ids in audit.held.items()}
    for node, lives in audit.lives.items():
        for a, b in zip(lives, lives[1:], strict=False):
            if a.last_ms > b.life.wall_ms + error_ms and not b.life.beside:
                audit.wrong.append(f"{node}: life {b.life.life} began before {a.life.life} was over")
        for lived in lives:
            for span in lived.spans.values():
                after = min((at for number, at in since.items() if number > span.acting.number), default=inf)
                count = acts_after(span, after + lived.life.lease_ms + error_ms)
                if count and span.acting.proved:
                    audit.wrong.append(
                        f"{node}: {count} acts on version {span.acting.number}, as proved, in interval "
                        f"{span.acting.interval} of life {lived.life.life}, past {lived.life.lease_ms:.0f} ms"
                    )


def acts_after(span: Span, at_ms: float) -> int:
    """Return how many attempts provably went out after a time."""
    count, before, before_ms = 0, 0, span.acting.wall_ms
    for marked_ms, acts in sorted(span.marks):
        if before_ms >= at_ms:
            count += acts[1] - before
        before, before_ms = acts[1], marked_ms
    return count


def at(audit: Audit, node: str, when_ms: float) -> Span | None:
    """Return the interval of a node that some time lies in."""
    for lived in audit.lives.get(node, ()):
        for span in lived.spans.values():
            until = span.until_ms if span.until_ms is not None else lived.last_ms if lived.ended else inf
            if span.acting.wall_ms <= when_ms < until:
                return span
    return None


def rows(audit: Audit, since_ms: float = 0.0, node: str | None = None) -> list[dict]:
    """Return each interval as a row, by node and time."""
    found = []
    for name, lives in audit.lives.items():
        for lived in lives if node in (None, name) else ():
            spans = [lived.spans[number] for number in sorted(lived.spans)]
            for span in spans:
                acting, last = span.acting, span is spans[-1]
                until = span.until_ms if not last else lived.last_ms
                if until is not None and until < since_ms:
                    continue
                told = {name: getattr(acting, name) for name in TOLD}
                found.append(
                    {"node": name, **told, "from_ms": acting.wall_ms, "to_ms": until}
                    | dict(zip(ACTS, span.acts, strict=True))
                    | {"unknown_after": lived.unknown is not None and last}
                )
    return sorted(found, key=lambda row: (row["node"], row["from_ms"], row["interval"]))
