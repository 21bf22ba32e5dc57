"""The codec of the handover between two processes of one node; pure.

A line is a JSON object of one of these forms, with times in Unix ms and `zone` by name:

    {"marlseam": 1, "node": "n3", "process": 17}                  hello: the first line in both directions
    {"seq": 41, "hosts": [...]}                                   the endpoint list, maybe in several lines
    {"sent": [[key, server, zone, cell, sent, until], ...]}       keyed attempts that may have run
    {"never": [key, server, sent]}                                one of these attempts provably never ran
    {"whole": true}                                               the end of the snapshot; updates may follow
    {"over": true}                                                last line: the sender sends no more requests
    {"proof": [number, id, at]}                                   proof that a cluster's version was in force
    {"opened": [id, ...]}                                         these correlation ids have a request open
    {"closed": id}                                                and this one has none any more

A hello with `"ids": true` requests `opened` and `closed`. A process that connects always does; the other
process sends an `opened` line, maybe empty, before the end of its snapshot, and is sent these lines as well.
A hello with `"fleet": true` requests proofs; `at` is in ms of the machine's monotonic clock. `"epoch"` of a
hello is the Unix time that its process assumes for the zero of that clock: a process reads the wall clock
once, at its start, and the clock may have been stepped between two starts. The first five lines are a
snapshot for the process that connected; after the snapshot, both processes send `sent` and `never`.
"""

import json
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

PROTOCOL_VERSION = 1
MAX_ROWS_PER_LINE = 200  # maximum number of entries of the endpoint list, or of attempts
MAX_TEXT_CHARACTERS = 256  # maximum length of a key, a name or an id
MAX_TIME_MS = 1e15  # the latest valid Unix time, and the maximum of every other number
MAX_SHOWN_CHARACTERS = 20  # of an unsupported protocol version that an error shows


class InvalidLineError(Exception):
    """A line is invalid.

    Attributes:
        code: the reason code for the log: `version` (unsupported protocol version) or `odd` (anything else);
            the handover itself adds `foreign` and `too-large`.
    """

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class Hello(NamedTuple):
    """The first line of a process, which identifies the sender.

    Attributes:
        node: the node's name.
        process: the process id.
        is_in_cluster: whether the sender requests proofs.
        epoch_ms: the Unix time (ms) that the sender assumes for the zero of the machine's monotonic clock;
            None where the line has none.
        shares_ids: whether the sender requests, and itself sends, the correlation ids of open requests.
    """

    node: str
    process: int
    is_in_cluster: bool = False
    epoch_ms: float | None = None
    shares_ids: bool = False


class VersionProof(NamedTuple):
    """Proof that a cluster's configuration version was in force at some time.

    Attributes:
        number: the version's number.
        id: the digest of the version's content.
        mono_ms: the time in ms on the monotonic clock, which the processes of a machine share.
    """

    number: int
    id: str
    mono_ms: float


class ListPart(NamedTuple):
    """Some entries of the sender's endpoint list, in discovery's format, and the list's version."""

    seq: int
    hosts: list[dict[str, Any]]


class AttemptSent(NamedTuple):
    """An attempt of a keyed request that may have run.

    Attributes:
        key: the idempotency key.
        server: name of the server that the attempt was sent to.
        zone: name of the server's zone; empty where it has none.
        cell: the server's cell in that zone.
        sent_ms: time of the attempt (Unix ms).
        until_ms: when the server forgets the key (Unix ms).
    """

    key: str
    server: str
    zone: str
    cell: int
    sent_ms: float
    until_ms: float


class AttemptNeverRan(NamedTuple):
    """An attempt, identified by key, server and time (Unix ms), provably never ran."""

    key: str
    server: str
    sent_ms: float


class RequestsOpened(NamedTuple):
    """The sender has a request open under each of these correlation ids."""

    ids: list[str]


class RequestClosed(NamedTuple):
    """The sender has no request open under a correlation id any more."""

    id: str


class SnapshotEnd(NamedTuple):
    """The snapshot is complete."""


class Goodbye(NamedTuple):
    """The sender has reported all its attempts and sends no more requests; without this line, it may have."""


HandoverItem = (
    Hello
    | ListPart
    | AttemptSent
    | AttemptNeverRan
    | RequestsOpened
    | RequestClosed
    | SnapshotEnd
    | Goodbye
    | VersionProof
)
GOODBYE_LINE = b'{"over":true}\n'

# Writing.


def encode_line(fields: dict[str, Any]) -> bytes:
    """Encode fields as a line."""
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def encode_hello(
    node: str,
    process: int,
    is_in_cluster: bool = False,
    epoch_ms: float | None = None,
    shares_ids: bool = False,
) -> bytes:
    """Encode the first line; the parameters are the fields of `Hello`."""
    fields: dict[str, Any] = {"marlseam": PROTOCOL_VERSION, "node": node, "process": process}
    if is_in_cluster:
        fields["fleet"] = True
    if epoch_ms is not None:
        fields["epoch"] = epoch_ms
    if shares_ids:
        fields["ids"] = True
    return encode_line(fields)


def encode_proof(proof: VersionProof) -> bytes:
    """Encode a proof that a version was in force."""
    return encode_line({"proof": proof})


def encode_sent(attempts: list[AttemptSent]) -> bytes:
    """Encode a line of attempts that may have run, at most MAX_ROWS_PER_LINE."""
    return encode_line({"sent": attempts})


def encode_never(attempt: AttemptNeverRan) -> bytes:
    """Encode the line for an attempt that never ran."""
    return encode_line({"never": attempt})


def encode_opened(ids: list[str]) -> bytes:
    """Encode a line of correlation ids with an open request, at most MAX_ROWS_PER_LINE."""
    return encode_line({"opened": ids})


def encode_closed(id: str) -> bytes:
    """Encode the line for a correlation id that has no open request any more."""
    return encode_line({"closed": id})


def encode_all_opened(ids: Iterable[str]) -> Iterator[bytes]:
    """Yield the lines of all correlation ids with an open request; at least one line, which may be empty."""
    rows = list(ids)
    for start in range(0, max(1, len(rows)), MAX_ROWS_PER_LINE):
        yield encode_opened(rows[start : start + MAX_ROWS_PER_LINE])


def encode_snapshot(
    seq: int,
    hosts: list[dict[str, Any]],
    attempts: Iterable[AttemptSent],
    open_ids: Iterable[str] | None = None,
) -> Iterator[bytes]:
    """Yield the lines of a snapshot: the endpoint list of version `seq`, the attempts, the ids, the end.

    `open_ids` are the correlation ids with an open request; None for a process that does not request them.
    """
    for start in range(0, len(hosts), MAX_ROWS_PER_LINE):
        yield encode_line({"seq": seq, "hosts": hosts[start : start + MAX_ROWS_PER_LINE]})
    rows = list(attempts)
    for start in range(0, len(rows), MAX_ROWS_PER_LINE):
        yield encode_sent(rows[start : start + MAX_ROWS_PER_LINE])
    if open_ids is not None:
        yield from encode_all_opened(open_ids)
    yield encode_line({"whole": True})


# Reading.


def parse_line(raw: bytes) -> list[HandoverItem]:
    """Parse a line into its items; raises InvalidLineError."""
    fields = _parse_object(raw)
    for name, parse in _PARSERS:
        if name in fields:
            return parse(fields)
    if fields.get("whole") is True:
        return [SnapshotEnd()]
    if fields.get("over") is True:
        return [Goodbye()]
    raise _invalid(
        "expected a field `marlseam`, `proof`, `hosts`, `sent`, `never`, `opened` or `closed`, or `whole` or "
        "`over` as true"
    )


def _invalid(text: str) -> InvalidLineError:
    """Return the error for a line that is malformed, with the code `odd`."""
    return InvalidLineError("odd", text)


def _parse_object(raw: bytes) -> dict[str, Any]:
    """Parse a line as a JSON object."""
    try:
        fields = json.loads(raw)
    except (ValueError, RecursionError):
        raise _invalid("the line is not valid JSON") from None
    if not isinstance(fields, dict):
        raise _invalid("the line is not a JSON object")
    return fields


def _parse_hello(fields: dict[str, Any]) -> list[HandoverItem]:
    """Parse a hello."""
    version = fields["marlseam"]
    if version != PROTOCOL_VERSION:
        shown = f"{version!r:.{MAX_SHOWN_CHARACTERS}}"
        raise InvalidLineError("version", f"protocol version {shown}, expected {PROTOCOL_VERSION}")
    process = int(_parse_number(fields.get("process")))
    epoch_ms = _parse_number(fields["epoch"]) if "epoch" in fields else None
    return [
        Hello(
            _parse_text(fields.get("node")),
            process,
            fields.get("fleet") is True,
            epoch_ms,
            fields.get("ids") is True,
        )
    ]


def _parse_proof(fields: dict[str, Any]) -> list[HandoverItem]:
    """Parse a proof that a version was in force."""
    number, id, mono_ms = _parse_fixed_list(fields["proof"], 3)
    return [
        VersionProof(int(_parse_number(number)), _parse_text(id, min_characters=0), _parse_number(mono_ms))
    ]


def _parse_list_part(fields: dict[str, Any]) -> list[HandoverItem]:
    """Parse a part of the endpoint list."""
    hosts = _parse_rows(fields["hosts"])
    if not all(isinstance(host, dict) for host in hosts):
        raise _invalid("field `hosts`: expected a JSON object for each entry")
    return [ListPart(int(_parse_number(fields.get("seq"))), hosts)]


def _parse_sent(fields: dict[str, Any]) -> list[HandoverItem]:
    """Parse attempts that may have run."""
    return [_parse_attempt(row) for row in _parse_rows(fields["sent"])]


def _parse_attempt(row: object) -> AttemptSent:
    """Parse one attempt that may have run."""
    key, server, zone, cell, sent_ms, until_ms = _parse_fixed_list(row, 6)
    if not isinstance(cell, int) or isinstance(cell, bool):
        raise _invalid("an attempt in `sent`: expected the cell as an integer")
    return AttemptSent(
        _parse_text(key),
        _parse_text(server),
        _parse_text(zone, min_characters=0),
        cell,
        _parse_number(sent_ms),
        _parse_number(until_ms),
    )


def _parse_never(fields: dict[str, Any]) -> list[HandoverItem]:
    """Parse an attempt that never ran."""
    key, server, sent_ms = _parse_fixed_list(fields["never"], 3)
    return [AttemptNeverRan(_parse_text(key), _parse_text(server), _parse_number(sent_ms))]


def _parse_opened(fields: dict[str, Any]) -> list[HandoverItem]:
    """Parse correlation ids with an open request."""
    return [RequestsOpened([_parse_text(id) for id in _parse_rows(fields["opened"])])]


def _parse_closed(fields: dict[str, Any]) -> list[HandoverItem]:
    """Parse a correlation id that has no open request any more."""
    return [RequestClosed(_parse_text(fields["closed"]))]


def _parse_rows(value: object) -> list[Any]:
    """Return a value that must be a list of at most MAX_ROWS_PER_LINE rows."""
    if not isinstance(value, list) or len(value) > MAX_ROWS_PER_LINE:
        raise _invalid("field `hosts`, `sent` or `opened`: expected a list of at most 200 rows")
    return value


def _parse_fixed_list(value: object, count: int) -> list[Any]:
    """Return a value that must be a list of exactly `count` values."""
    if not isinstance(value, list) or len(value) != count:
        raise _invalid(
            f"field `proof` or `never`, or an attempt in `sent`: expected a list of {count} values"
        )
    return value


def _parse_text(value: object, min_characters: int = 1) -> str:
    """Return a value that must be a string of a valid length for a key or a name."""
    if not isinstance(value, str) or not min_characters <= len(value) <= MAX_TEXT_CHARACTERS:
        raise _invalid(
            "a key, name or id: expected a string of at most 256 characters, empty only for a zone or a "
            "version's id"
        )
    return value


def _parse_number(value: object) -> float:
    """Return a value that must be a number from 0 to MAX_TIME_MS."""
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value <= MAX_TIME_MS:
        raise _invalid("a time, process id or version: expected a number from 0 to 1e15")
    return value


# By the field that identifies a line's form; in a line with several of them, the first one here counts.
_PARSERS: tuple[tuple[str, Callable[[dict[str, Any]], list[HandoverItem]]], ...] = (
    ("marlseam", _parse_hello),
    ("proof", _parse_proof),
    ("hosts", _parse_list_part),
    ("sent", _parse_sent),
    ("never", _parse_never),
    ("opened", _parse_opened),
    ("closed", _parse_closed),
)
