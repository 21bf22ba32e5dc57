"""Traces.

What clients sent, one JSON object a line, replayed at the recorded times or written from records.

The first line is a head, `{"trace": 1}`. Each other line is a try: `t` (ms), `id`, `type`, `zone`, `work`
(standard work in ms), and where they matter `slots`, `memory`, `credit`, `receipt`, `key`; a retry has
`first`, the id of its first try, and `number`, 1 for the first retry. A trace with retries inside is replayed
as it is: its tries are joined by `first`, and nothing is retried on top.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec
from msgspec import UNSET, UnsetType

from marlseam.records import Record, Tried
from marlseam.world.model import Day, NotNegative, Positive
from marlseam.world.plan import Arrival

VERSION = 1
WRONG_SHOWN = 20


class BadTrace(Exception):
    """A trace that cannot be replayed; a line for each thing that is wrong, and nothing was sent."""


class Head(msgspec.Struct, forbid_unknown_fields=True):
    """A trace's first line."""

    trace: int


class Row(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """One try of a trace."""

    t: NotNegative
    id: str
    type: str
    zone: str
    work: Positive
    slots: Positive = 1.0
    memory: NotNegative = 0.0
    credit: float | UnsetType = UNSET
    receipt: str | None = None
    key: str | None = None
    first: str = ""
    number: int = 0


def rows(lines: Iterable[bytes], day: Day) -> list[Row]:
    """Read a trace's lines and check each against the day and the others."""
    decoder, wrong, found = msgspec.json.Decoder(Row), [], []
    types, ids = {type.name: type for type in day.types}, set()
    for number, line in enumerate(lines, 1):
        if number == 1:
            try:
                version = msgspec.json.decode(line, type=Head).trace
            except msgspec.MsgspecError:
                version = None
            if version != VERSION:
                raise BadTrace(f'line 1: expected the head {{"trace": {VERSION}}}')
            continue
        if not line.strip():
            continue
        try:
            row = decoder.decode(line)
        except msgspec.MsgspecError as error:
            wrong.append(f"line {number}: {error}")
            continue
        if row.type not in types:
            wrong.append(f"line {number}: no project type {row.type!r} in the day")
        elif row.zone not in day.fleet.zones:
            wrong.append(f"line {number}: no zone {row.zone!r} in the day")
        elif row.id in ids:
            wrong.append(f"line {number}: the id {row.id!r} came before")
        elif bool(row.first) != bool(row.number):
            wrong.append(f"line {number}: a retry has both first and number")
        elif types[row.type].effect == "receipted" and not row.receipt:
            wrong.append(f"line {number}: receipted work without a receipt")
        ids.add(row.id)
        found.append(row)
    missing = sorted({row.first for row in found if row.first and row.first not in ids})
    wrong += [f"the first try {first!r} is not in the trace" for first in missing]
    if not found and not wrong:
        wrong.append("no tries in it")
    if wrong:
        more = [f"and {len(wrong) - WRONG_SHOWN} more"] if len(wrong) > WRONG_SHOWN else []
        raise BadTrace("\n".join(wrong[:WRONG_SHOWN] + more))
    return sorted(found, key=lambda row: row.t)


def arrivals(found: list[Row], day: Day) -> list[Arrival]:
    """Return a trace's tries as arrivals: cut to the day's part of it, in the day's scale of time.

    A retry whose first try was cut away goes with it. Once any retry is inside, every try is replayed as it
    is.
    """
    load = day.load
    begin, end = 1000.0 * load.from_s, 1000.0 * load.to_s or float("inf")
    kept = [row for row in found if begin <= row.t < end]
    here = {row.id for row in kept}
    kept = [row for row in kept if not row.first or row.first in here]
    inside = any(row.first for row in kept)
    numbers = {type.name: i for i, type in enumerate(day.types)}
    return [
        Arrival(
            at=(row.t - begin) * load.time_scale,
            id=row.id,
            type=numbers[row.type],
            zone=row.zone,
            work=row.work,
            slots=row.slots,
            memory=row.memory,
            credit=day.types[numbers[row.type]].credit if row.credit is UNSET else row.credit,
            receipt=row.receipt,
            key=row.key,
            honours=True,
            leaves=False,
            first=(row.first or row.id) if inside else "",
            number=row.number,
        )
        for row in kept
    ]


def load(path: Path, day: Day) -> list[Arrival]:
    """Read a trace file for a day."""
    try:
        with path.open("rb") as file:
            return arrivals(rows(file, day), day)
    except OSError as error:
        raise BadTrace(f"{path}: {error.strerror}") from None
    except BadTrace as error:
        raise BadTrace("\n".join(f"{path}: {line}" for line in str(error).split("\n"))) from None


def written(records: Iterable[Record], arrived: Iterable[Arrival], retries: bool) -> Iterator[bytes]:
    """Write a trace from a run's records and its arrivals.

    With its clients' retries inside, or first tries alone.
    """
    by_id = {arrival.id: arrival for arrival in arrived}
    yield msgspec.json.encode(Head(VERSION)) + b"\n"
    for r in sorted((r for r in records if isinstance(r, Tried)), key=lambda r: r.t):
        if r.number and not retries:
            continue
        arrival = by_id[r.first]
        row = Row(
            t=round(r.t if r.number else r.intended, 3),
            id=r.id,
            type=r.type,
            zone=r.zone,
            work=arrival.work,
            slots=arrival.slots,
            memory=arrival.memory,
            credit=r.credit,
            receipt=r.receipt,
            key=r.key,
            first=r.first if r.number else "",
            number=r.number,
        )
        yield msgspec.json.encode(row) + b"\n"
