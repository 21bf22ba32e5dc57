"""Traces of clients' tries, one JSON object a line; they are written from records and replayed as load.

The first line is the head, `{"trace": 1}`. Each other line is a try: `t` (ms), `id`, `type` (request class),
`zone`, `work` (standard work in ms), and optionally `slots`, `memory`, `credit`, `receipt`, `key`. A retry
has `first`, the id of its first try, and `number`, 1 for the first retry. A trace with retries is replayed
unchanged: `first` joins the tries of a request, and the replaying clients make no retries of their own.
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
    """The first line of a trace: the version of the format."""

    trace: int


class Row(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """One try of a trace; the field names are the keys in the file."""

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
    """Decode the lines of a trace and check them against the day and each other; raise TraceError."""
    reader = _TraceReader(day)
    for number, line in enumerate(lines, 1):
        if number == 1:
            _check_head(line)
        elif line.strip():
            reader.add(number, line)
    problems = reader.all_problems()
    if problems:
        more = len(problems) - MAX_PROBLEMS_SHOWN
        raise TraceError(problems[:MAX_PROBLEMS_SHOWN] + ([f"and {more} more problems"] if more > 0 else []))
    return sorted(reader.rows, key=lambda row: row.t)


def _check_head(line: bytes) -> None:
    """Raise TraceError if the first line of a trace is not a head of the supported version."""
    version: int | None = None
    with suppress(msgspec.MsgspecError):
        version = msgspec.json.decode(line, type=Head).trace
    if version != VERSION:
        raise TraceError(
            [f'line 1: not a trace head of the supported version, expected {{"trace": {VERSION}}}']
        )


class _TraceReader:
    """Decodes the rows of a trace line by line, and collects their problems."""

    def __init__(self, day: Day) -> None:
        self.rows: list[Row] = []
        self._problems: list[str] = []
        self._ids: set[str] = set()
        self._day = day
        self._types = {type.name: type for type in day.types}
        self._decoder: msgspec.json.Decoder[Row] = msgspec.json.Decoder(Row)

    def add(self, number: int, line: bytes) -> None:
        """Decode and check line `number` (from 1) of the trace."""
        try:
            row = self._decoder.decode(line)
        except msgspec.MsgspecError as error:
            self._problems.append(f"line {number}: {error}")
            return
        problem = self._find_problem(row)
        if problem is not None:
            self._problems.append(f"line {number}: {problem}")
        self._ids.add(row.id)
        self.rows.append(row)

    def _find_problem(self, row: Row) -> str | None:
        """Return the first problem of a row as a text, None for a valid row."""
        if row.type not in self._types:
            return f"type: {row.type!r} is no request class of the day"
        if row.zone not in self._day.fleet.zones:
            return f"zone: {row.zone!r} is no zone of the day"
        if row.id in self._ids:
            return f"id: {row.id!r} is used by an earlier line already"
        if bool(row.first) != bool(row.number):
            return "first, number: a retry must have both fields, a first try neither"
        if self._types[row.type].effect == "receipted" and not row.receipt:
            return "receipt: missing, required as the effect of the type is receipted"
        return None

    def all_problems(self) -> list[str]:
        """Return the problems of the rows and of the whole trace; call it after the last line."""
        missing = sorted({row.first for row in self.rows if row.first and row.first not in self._ids})
        problems = self._problems + [f"first: the try {first!r} is not in the trace" for first in missing]
        if not self.rows and not problems:
            return ["the trace has no tries, expected at least one line after the head"]
        return problems


def arrivals(rows: Iterable[Row], day: Day) -> list[Arrival]:
    """Return the tries of a trace from `from_s` to `to_s` (0: the end) of the day's load as arrivals.

    Times are scaled by the load's `time_scale`. A retry whose first try lies outside this interval is left
    out too. If any retry remains, every try is replayed unchanged and clients make no retries of their own.
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
    """Return a try of a trace as an arrival at `at_ms` of the day; `class_index` is that of its class."""
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
    """Read a trace file for a day; raise TraceError, naming the file, if it is unreadable or invalid."""
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
    """Yield the lines of a trace of a run, from the run's records and arrivals.

    The trace holds all tries of the clients, or first tries only if `with_retries` is false.
    """
    arrival_by_id = {arrival.id: arrival for arrival in run_arrivals}
    yield msgspec.json.encode(Head(VERSION)) + b"\n"
    tries = [record for record in records if isinstance(record, TrySent)]
    for sent_try in sorted(tries, key=lambda sent_try: sent_try.t):
        if with_retries or not sent_try.number:
            yield msgspec.json.encode(_row(sent_try, arrival_by_id[sent_try.first])) + b"\n"


def _row(sent_try: TrySent, arrival: Arrival) -> Row:
    """Return the row of a try: a first try at its intended time, a retry at the time of its record."""
    return Row(
        t=round(sent_try.t if sent_try.number else sent_try.intended, 3),
        id=sent_try.id,
        type=sent_try.type,
        zone=sent_try.zone,
        work=arrival.work,
        slots=arrival.slots,
        memory=arrival.memory,
        credit=sent_try.credit,
        receipt=sent_try.receipt,
        key=sent_try.key,
        first=sent_try.first if sent_try.number else "",
        number=sent_try.number,
    )
