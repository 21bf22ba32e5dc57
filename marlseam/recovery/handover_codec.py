"""What processes of one node tell each other while one takes over from the other; pure.

A line is a JSON object of one of these forms, with times in Unix ms, `zone` by name:

    {"marlseam": 1, "node": "n3", "process": 17}                  first, from both sides
    {"seq": 41, "hosts": [...]}                                   the endpoint list as held, perhaps in parts
    {"sent": [[key, server, zone, cell, sent, until], ...]}       keyed attempts that may have run
    {"never": [key, server, sent]}                                one of them that provably never ran
    {"whole": true}                                               all of the above was told; news may follow
    {"over": true}                                                last: this process sends nothing any more
    {"proof": [number, id, at]}                                   that version of a cluster was in force then

A hello with `"fleet": true` asks for proofs; `at` is in ms of the machine's monotonic clock. `"epoch"` of a
hello is the Unix time that its process takes for the zero of that clock: wall clocks are read once, at a
process's start, and may have been stepped between two starts. The first five are a snapshot for the one who
called; `sent` and `never` go on both ways from then on.
"""

import json
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

PROTOCOL_VERSION = 1
MAX_ROWS_PER_LINE = 200  # entries of the list, or attempts
MAX_TEXT_CHARACTERS = 256  # of a key or name
MAX_TIME_MS = 1e15  # the latest Unix time that can be meant
MAX_SHOWN_CHARACTERS = 20  # of a value that is no version, in an error


class InvalidLineError(Exception):
    """A line that cannot be used.

    Attributes:
        code: why, in a word for the log: `version` (of the protocol) or `odd` (anything else); the handover
            itself adds `foreign` and `too-large`.
    """

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class Hello(NamedTuple):
    """Who speaks.

    Attributes:
        node: the node's name.
        process: the process's id.
        is_in_cluster: whether it asks for proofs.
        epoch_ms: the Unix time that it takes for the machine's monotonic zero, None where it does not say.
    """

    node: str
    process: int
    is_in_cluster: bool = False
    epoch_ms: float | None = None


class VersionProof(NamedTuple):
    """A cluster's version was in force at a time.

    Attributes:
        number: of the version.
        id: the digest of its content.
        mono_ms: the time on the monotonic clock, which the processes of a machine share.
    """

    number: int
    id: str
    mono_ms: float


class ListPart(NamedTuple):
    """Some entries of the endpoint list that is held, as discovery wrote them, and the list's version."""

    seq: int
    hosts: list[dict[str, Any]]


class AttemptSent(NamedTuple):
    """An attempt of a keyed request that may have run.

    Attributes:
        key: the idempotency key.
        server: the name of the server that it was sent to.
        zone: the server's zone, by name; empty where it has none.
        cell: the server's cell in that zone.
        sent_ms: when (Unix ms).
        until_ms: when the server forgets the key (Unix ms).
    """

    key: str
    server: str
    zone: str
    cell: int
    sent_ms: float
    until_ms: float


class AttemptNeverRan(NamedTuple):
    """An attempt, known by key, server and time (Unix ms), provably never ran."""

    key: str
    server: str
    sent_ms: float


class SnapshotEnd(NamedTuple):
    """The snapshot ends."""


class Goodbye(NamedTuple):
    """The sender has told all and sends no request any more; one that ends without it may have."""


HandoverItem = Hello | ListPart | AttemptSent | AttemptNeverRan | SnapshotEnd | Goodbye | VersionProof
GOODBYE_LINE = b'{"over":true}\n'

# Writing.


def encode_line(fields: dict[str, Any]) -> bytes:
    """Return a line of some fields."""
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def encode_hello(
    node: str, process: int, is_in_cluster: bool = False, epoch_ms: float | None = None
) -> bytes:
    """Return the first line; the parameters are the fields of `Hello`."""
    fields: dict[str, Any] = {"marlseam": PROTOCOL_VERSION, "node": node, "process": process}
    if is_in_cluster:
        fields["fleet"] = True
    if epoch_ms is not None:
        fields["epoch"] = epoch_ms
    return encode_line(fields)


def encode_proof(proof: VersionProof) -> bytes:
    """Return the line that says which version was in force when."""
    return encode_line({"proof": proof})


def encode_sent(attempts: list[AttemptSent]) -> bytes:
    """Return the line on some attempts."""
    return encode_line({"sent": attempts})


def encode_never(attempt: AttemptNeverRan) -> bytes:
    """Return the line on an attempt that never ran."""
    return encode_line({"never": attempt})


def encode_snapshot(
    seq: int, hosts: list[dict[str, Any]], attempts: Iterable[AttemptSent]
) -> Iterator[bytes]:
    """Return the lines that tell all that is held: the list of version `seq`, the attempts, the end."""
    for start in range(0, len(hosts), MAX_ROWS_PER_LINE):
        yield encode_line({"seq": seq, "hosts": hosts[start : start + MAX_ROWS_PER_LINE]})
    rows = list(attempts)
    for start in range(0, len(rows), MAX_ROWS_PER_LINE):
        yield encode_sent(rows[start : start + MAX_ROWS_PER_LINE])
    yield encode_line({"whole": True})


# Reading.


def parse_line(raw: bytes) -> list[HandoverItem]:
    """Return what a line says; raises InvalidLineError."""
    fields = _parse_object(raw)
    for name, parse in _PARSERS:
        if name in fields:
            return parse(fields)
    if fields.get("whole") is True:
        return [SnapshotEnd()]
    if fields.get("over") is True:
        return [Goodbye()]
    raise _invalid("a line says nothing known")


def _invalid(text: str) -> InvalidLineError:
    """Return the error for a line that does not have its form."""
    return InvalidLineError("odd", text)


def _parse_object(raw: bytes) -> dict[str, Any]:
    """Return a line's fields."""
    try:
        fields = json.loads(raw)
    except (ValueError, RecursionError):
        raise _invalid("a line is no JSON") from None
    if not isinstance(fields, dict):
        raise _invalid("a line is no object")
    return fields


def _parse_hello(fields: dict[str, Any]) -> list[HandoverItem]:
    """Read who speaks."""
    version = fields["marlseam"]
    if version != PROTOCOL_VERSION:
        shown = f"{version!r:.{MAX_SHOWN_CHARACTERS}}"
        raise InvalidLineError("version", f"version {shown}, here {PROTOCOL_VERSION}")
    process = int(_parse_number(fields.get("process")))
    epoch_ms = _parse_number(fields["epoch"]) if "epoch" in fields else None
    return [Hello(_parse_text(fields.get("node")), process, fields.get("fleet") is True, epoch_ms)]


def _parse_proof(fields: dict[str, Any]) -> list[HandoverItem]:
    """Read which version was in force when."""
    number, id, mono_ms = _parse_fixed_list(fields["proof"], 3)
    return [
        VersionProof(int(_parse_number(number)), _parse_text(id, min_characters=0), _parse_number(mono_ms))
    ]


def _parse_list_part(fields: dict[str, Any]) -> list[HandoverItem]:
    """Read a part of the endpoint list."""
    hosts = _parse_rows(fields["hosts"])
    if not all(isinstance(host, dict) for host in hosts):
        raise _invalid("a list holds no objects")
    return [ListPart(int(_parse_number(fields.get("seq"))), hosts)]


def _parse_sent(fields: dict[str, Any]) -> list[HandoverItem]:
    """Read attempts that may have run."""
    return [_parse_attempt(row) for row in _parse_rows(fields["sent"])]


def _parse_attempt(row: object) -> AttemptSent:
    """Read one attempt that may have run."""
    key, server, zone, cell, sent_ms, until_ms = _parse_fixed_list(row, 6)
    if not isinstance(cell, int) or isinstance(cell, bool):
        raise _invalid("a cell is no whole number")
    return AttemptSent(
        _parse_text(key),
        _parse_text(server),
        _parse_text(zone, min_characters=0),
        cell,
        _parse_number(sent_ms),
        _parse_number(until_ms),
    )


def _parse_never(fields: dict[str, Any]) -> list[HandoverItem]:
    """Read an attempt that never ran."""
    key, server, sent_ms = _parse_fixed_list(fields["never"], 3)
    return [AttemptNeverRan(_parse_text(key), _parse_text(server), _parse_number(sent_ms))]


def _parse_rows(value: object) -> list[Any]:
    """Return a list that is no longer than a line may hold."""
    if not isinstance(value, list) or len(value) > MAX_ROWS_PER_LINE:
        raise _invalid("no list, or one that is too long")
    return value


def _parse_fixed_list(value: object, count: int) -> list[Any]:
    """Return a list of exactly so many values."""
    if not isinstance(value, list) or len(value) != count:
        raise _invalid(f"no list of {count}")
    return value


def _parse_text(value: object, min_characters: int = 1) -> str:
    """Return a text of a key's or name's length."""
    if not isinstance(value, str) or not min_characters <= len(value) <= MAX_TEXT_CHARACTERS:
        raise _invalid("no text, or one that is too long")
    return value


def _parse_number(value: object) -> float:
    """Return a number that a time can be."""
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value <= MAX_TIME_MS:
        raise _invalid("no number, or out of range")
    return value


# By the field that tells a line's form; where a line has several, the first here counts.
_PARSERS: tuple[tuple[str, Callable[[dict[str, Any]], list[HandoverItem]]], ...] = (
    ("marlseam", _parse_hello),
    ("proof", _parse_proof),
    ("hosts", _parse_list_part),
    ("sent", _parse_sent),
    ("never", _parse_never),
)
