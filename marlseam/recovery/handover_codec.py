"""What processes of one node tell each other while one takes over from the other; pure.

A line is a JSON object of one of these forms, with times in Unix ms, `zone` by name:

    {"marlseam": 1, "node": "n3", "process": 17}                  first, from both sides
    {"seq": 41, "hosts": [...]}                                   the list as it is held, perhaps in parts
    {"sent": [[key, executor, zone, cell, sent, until], ...]}     sendings of keyed work that may have run
    {"never": [key, executor, sent]}                              one of them that provably never ran
    {"whole": true}                                               all of the above was told; news may follow
    {"over": true}                                                last: this process sends nothing any more
    {"proof": [number, id, at]}                                   that version of a fleet's was in force then

A hello with `"fleet": true` asks for proofs; `at` is in ms of the machine's monotonic clock. `"epoch"` of a
hello is the Unix time that its process takes for the zero of that clock: wall clocks are read once, at a
process's start, and may have been stepped between two starts. The first five are a snapshot for the one who
called; `sent` and `never` go on both ways from then on.
"""

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

VERSION = 1
PART = 200  # entries or sendings in a line
TEXT_MOST = 256  # characters of a key or name
TIME_MOST = 1e15  # Unix ms that can be meant


class InvalidLineError(Exception):
    """A line that cannot be used; its code says why."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class Hello(NamedTuple):
    """Who speaks."""

    node: str
    process: int
    fleet: bool = False  # whether it wants proofs
    epoch_ms: float | None = None  # the Unix time that it takes for the machine's monotonic zero


class VersionProof(NamedTuple):
    """A fleet's version was in force at a time of the monotonic clock, which a machine's processes share."""

    number: int
    id: str
    mono_ms: float


class ListPart(NamedTuple):
    """Some entries of the list that is held, as discovery wrote them."""

    seq: int
    hosts: list[dict[str, Any]]


class AttemptSent(NamedTuple):
    """One sending of keyed work that may have run."""

    key: str
    executor: str
    zone: str
    cell: int
    sent_ms: float
    until_ms: float  # when the pod forgets it


class AttemptNeverRan(NamedTuple):
    """A sending that provably never ran."""

    key: str
    executor: str
    sent_ms: float


class SnapshotEnd(NamedTuple):
    """The snapshot ends."""


class Goodbye(NamedTuple):
    """Whoever speaks has told all and sends nothing any more; one that ends without it may have."""


HandoverItem = Hello | ListPart | AttemptSent | AttemptNeverRan | SnapshotEnd | Goodbye | VersionProof
OVER = b'{"over":true}\n'


def line(value: dict[str, Any]) -> bytes:
    """Return a line."""
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"


def hello(node: str, process: int, fleet: bool = False, epoch_ms: float | None = None) -> bytes:
    """Return the first line."""
    value: dict[str, Any] = {"marlseam": VERSION, "node": node, "process": process}
    if fleet:
        value["fleet"] = True
    if epoch_ms is not None:
        value["epoch"] = epoch_ms
    return line(value)


def proof(row: VersionProof) -> bytes:
    """Return the line on what was in force when."""
    return line({"proof": row})


def sent(rows: list[AttemptSent]) -> bytes:
    """Return the line on some sendings."""
    return line({"sent": rows})


def never(row: AttemptNeverRan) -> bytes:
    """Return the line on a sending that never ran."""
    return line({"never": row})


def snapshot(seq: int, hosts: list[dict[str, Any]], sendings: Iterable[AttemptSent]) -> Iterator[bytes]:
    """Return the lines that tell all that is held."""
    for at in range(0, len(hosts), PART):
        yield line({"seq": seq, "hosts": hosts[at : at + PART]})
    rows = list(sendings)
    for at in range(0, len(rows), PART):
        yield sent(rows[at : at + PART])
    yield line({"whole": True})


def read(raw: bytes) -> list[HandoverItem]:
    """Return what a line says; raises Odd."""
    try:
        value = json.loads(raw)
    except (ValueError, RecursionError):
        raise InvalidLineError("odd", "a line is no JSON") from None
    if not isinstance(value, dict):
        raise InvalidLineError("odd", "a line is no object")
    if "marlseam" in value:
        if value["marlseam"] != VERSION:
            raise InvalidLineError("version", f"version {value['marlseam']!r:.20}, here {VERSION}")
        process = int(number(value.get("process")))
        epoch_ms = number(value["epoch"]) if "epoch" in value else None
        return [Hello(text(value.get("node")), process, value.get("fleet") is True, epoch_ms)]
    if "proof" in value:
        count, id, at = fields(value["proof"], 3)
        return [VersionProof(int(number(count)), text(id, least=0), number(at))]
    if "hosts" in value:
        hosts = rows_of(value["hosts"])
        if not all(isinstance(host, dict) for host in hosts):
            raise InvalidLineError("odd", "a list holds no objects")
        return [ListPart(int(number(value.get("seq"))), hosts)]
    if "sent" in value:
        return [sending(row) for row in rows_of(value["sent"])]
    if "never" in value:
        key, executor, at = fields(value["never"], 3)
        return [AttemptNeverRan(text(key), text(executor), number(at))]
    if value.get("whole") is True:
        return [SnapshotEnd()]
    if value.get("over") is True:
        return [Goodbye()]
    raise InvalidLineError("odd", "a line says nothing known")


def sending(row: object) -> AttemptSent:
    """Read one sending."""
    key, executor, zone, cell, sent_ms, until_ms = fields(row, 6)
    if not isinstance(cell, int) or isinstance(cell, bool):
        raise InvalidLineError("odd", "a cell is no whole number")
    return AttemptSent(
        text(key), text(executor), text(zone, least=0), cell, number(sent_ms), number(until_ms)
    )


def rows_of(value: object) -> list[Any]:
    """Return a list that is no longer than a line's part."""
    if not isinstance(value, list) or len(value) > PART:
        raise InvalidLineError("odd", "no list, or one that is too long")
    return value


def fields(value: object, count: int) -> list[Any]:
    """Return a list of so many values."""
    if not isinstance(value, list) or len(value) != count:
        raise InvalidLineError("odd", f"no list of {count}")
    return value


def text(value: object, least: int = 1) -> str:
    """Return a short text."""
    if not isinstance(value, str) or not least <= len(value) <= TEXT_MOST:
        raise InvalidLineError("odd", "no text, or one that is too long")
    return value


def number(value: object) -> float:
    """Return a number that a time can be."""
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value <= TIME_MOST:
        raise InvalidLineError("odd", "no number, or out of range")
    return value
