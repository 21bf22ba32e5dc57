"""Traces: what clients sent, one JSON object a line, replayed at its times or written from records.

The first line is a head, `{"trace": 1}`. Each other line is a try: `t` (ms), `id`, `type`, `zone`, `work`
(standard work in ms), and where they matter `slots`, `memory`, `credit`, `receipt`, `key`; a retry has
`first`, the id of its first try, and `number`, 1 for the first retry. A trace with retries inside is replayed
as it is: its tries are joined by `first`, and nothing is retried on top.
"""

from collections.abc import Iterable, Iterator
from contextlib import suppress
from pathlib import Path

import msgspec
from msgspec import UNSET, UnsetType

from marlseam.load.errors import TraceError
from marlseam.records import Record, TrySent
from marlseam.simulation.model import Day, NotNegative, Positive
from marlseam.simulation.plan import Arrival

VERSION = 1
MAX_PROBLEMS_SHOWN = 20


class Head(msgspec.Struct, forbid_unknown_fields=True):
    """A trace's first line."""

    trace: int


class Row(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """One try of a trace; the names of its fields are those of the file."""

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


def read_rows(lines: Iterable[bytes], day: Day) -> list[Row]:
    """Read a trace's lines and check each against the day and the others; raise TraceError for wrong ones."""
    reader = _TraceReader(day)
    for number, line in enumerate(lines, 1):
        if number == 1:
            _check_head(line)
        elif line.strip():
            reader.add(number, line)
    problems = reader.all_problems()
    if problems:
        more = len(problems) - MAX_PROBLEMS_SHOWN
        raise TraceError(problems[:MAX_PROBLEMS_SHOWN] + ([f"and {more} more"] if more > 0 else []))
    return sorted(reader.rows, key=lambda row: row.t)


def _check_head(line: bytes) -> None:
    """Raise TraceError if a trace's first line is not the head of this version."""
    version: int | None = None
    with suppress(msgspec.MsgspecError):
        version = msgspec.json.decode(line, type=Head).trace
    if version != VERSION:
        raise TraceError([f'line 1: expected the head {{"trace": {VERSION}}}'])


class _TraceReader:
    """Decodes the rows of a trace one after another, and collects what is wrong with them."""

    def __init__(self, day: Day) -> None:
        self.rows: list[Row] = []
        self._problems: list[str] = []
        self._ids: set[str] = set()
        self._day = day
        self._types = {type.name: type for type in day.types}
        self._decoder: msgspec.json.Decoder[Row] = msgspec.json.Decoder(Row)

    def add(self, number: int, line: bytes) -> None:
        """Take in a line by its number."""
        try:
            row = self._decoder.decode(line)
        except msgspec.MsgspecError as error:
            self._problems.append(f"line {number}: {error}")
            return
        problem = self._problem_of(row)
        if problem is not None:
            self._problems.append(f"line {number}: {problem}")
        self._ids.add(row.id)
        self.rows.append(row)

    def _problem_of(self, row: Row) -> str | None:
        """Return the first thing that is wrong with a row, or None."""
        if row.type not in self._types:
            return f"no project type {row.type!r} in the day"
        if row.zone not in self._day.fleet.zones:
            return f"no zone {row.zone!r} in the day"
        if row.id in self._ids:
            return f"the id {row.id!r} came before"
        if bool(row.first) != bool(row.number):
            return "a retry has both first and number"
        if self._types[row.type].effect == "receipted" and not row.receipt:
            return "receipted work without a receipt"
        return None

    def all_problems(self) -> list[str]:
        """Return all that is wrong, with what only the whole trace shows."""
        missing = sorted({row.first for row in self.rows if row.first and row.first not in self._ids})
        problems = self._problems + [f"the first try {first!r} is not in the trace" for first in missing]
        if not self.rows and not problems:
            return ["no tries in it"]
        return problems


def arrivals(rows: Iterable[Row], day: Day) -> list[Arrival]:
    """Return a trace's tries as arrivals: cut to the day's part of it, in the day's scale of time.

    A retry whose first try was cut away goes with it. If the trace holds any retry, every try is replayed as
    it is, and clients retry nothing on top.
    """
    begin_ms, end_ms = 1000.0 * day.load.from_s, 1000.0 * day.load.to_s or float("inf")
    selected = [row for row in rows if begin_ms <= row.t < end_ms]
    selected_ids = {row.id for row in selected}
    selected = [row for row in selected if not row.first or row.first in selected_ids]
    has_retries = any(row.first for row in selected)
    index_by_class = {request_class.name: index for index, request_class in enumerate(day.types)}
    return [
        _arrival(row, index_by_class[row.type], (row.t - begin_ms) * day.load.time_scale, day, has_retries)
        for row in selected
    ]


def _arrival(row: Row, class_index: int, at_ms: float, day: Day, has_retries: bool) -> Arrival:
    """Return a trace's try as an arrival of a request class of the day, at a time of the day."""
    return Arrival(
        at=at_ms,
        id=row.id,
        type=class_index,
        zone=row.zone,
        work=row.work,
        slots=row.slots,
        memory=row.memory,
        credit=day.types[class_index].credit if row.credit is UNSET else row.credit,
        receipt=row.receipt,
        key=row.key,
        honours=True,
        leaves=False,
        first=(row.first or row.id) if has_retries else "",
        number=row.number,
    )


def load(path: Path, day: Day) -> list[Arrival]:
    """Read a trace file for a day; raise TraceError where it cannot be read or replayed."""
    try:
        with path.open("rb") as file:
            return arrivals(read_rows(file, day), day)
    except OSError as error:
        raise TraceError([f"{path}: {error.strerror}"]) from None
    except TraceError as error:
        raise TraceError(f"{path}: {problem}" for problem in error.problems) from None


def trace_lines(
    records: Iterable[Record], run_arrivals: Iterable[Arrival], with_retries: bool
) -> Iterator[bytes]:
    """Yield the lines of a trace of a run, from its records and its arrivals.

    With its clients' retries inside, or first tries alone.
    """
    arrival_by_id = {arrival.id: arrival for arrival in run_arrivals}
    yield msgspec.json.encode(Head(VERSION)) + b"\n"
    tries = [record for record in records if isinstance(record, TrySent)]
    for tried in sorted(tries, key=lambda tried: tried.t):
        if with_retries or not tried.number:
            yield msgspec.json.encode(_row(tried, arrival_by_id[tried.first])) + b"\n"


def _row(tried: TrySent, arrival: Arrival) -> Row:
    """Return the row of a try; a first try stands at its intended time."""
    return Row(
        t=round(tried.t if tried.number else tried.intended, 3),
        id=tried.id,
        type=tried.type,
        zone=tried.zone,
        work=arrival.work,
        slots=arrival.slots,
        memory=arrival.memory,
        credit=tried.credit,
        receipt=tried.receipt,
        key=tried.key,
        first=tried.first if tried.number else "",
        number=tried.number,
    )
