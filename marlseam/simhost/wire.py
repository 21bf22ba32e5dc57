"""The simulator's wire protocol: parses its lines and maps its values to the terms of the code."""

import json
from base64 import b64decode
from collections.abc import Iterator
from typing import Any, NamedTuple

from marlseam.decisions.types import EndpointState, ListUpdateKind, LoadReport, Outcome

BEGIN, END, ACK, ENTRY = "begin_batch", "eof_batch", "ack", "m"

# Fields of each event line, and of the entries of an endpoint list, in their order on the wire.
FIELDS = {
    "provision": ("node", "nonce64", "options"),
    "directory_update": ("node", "index", "scope", "members"),
    "arrival": (
        "node",
        "opId",
        "qos",
        "userGroup",
        "pathKey",
        "expiresUs",
        "workHintUs",
        "needs",
        "memNeeded",
        "resent",
        "mutates",
        "cameBack",
    ),
    "sampled": ("node", "lagUs", "executor", "verdict", "pressure"),
    "left": ("node", "opId"),
    "accepted": ("node", "opId", "executor", "lagUs", "attempt"),
    "settled": ("node", "opId", "attempt", "executor", "verdict", "lagUs", "finished", "info", "pressure"),
    "detach": ("node",),
    "due": ("node", "mark"),
    "mail": ("node", "neighbour", "msg"),
    "change": ("node", "opId", "attempt", "executor", "kind", "x"),
    ENTRY: ("cohort", "dc", "weight", "familyType", "bornUs", "availability", "executor"),
}
TEXT_LAST = {"provision"}  # events whose last field may contain spaces

OUTCOMES = {
    "success": Outcome.COMPLETED,
    "failure": Outcome.ERROR,
    "overloaded": Outcome.AT_CAPACITY,
    "timed_out": Outcome.TIMED_OUT,
    "unreachable": Outcome.UNREACHABLE,
    "broken": Outcome.BROKEN,
    "withdrawn": Outcome.CANCELLED,
    "void": Outcome.CANCELLED_UNSENT,
}
UPDATE_KINDS = {
    "0": ListUpdateKind.DELTA,
    "1": ListUpdateKind.FULL,
    "2": ListUpdateKind.CACHED,
    "3": ListUpdateKind.FAILED,
}
ENDPOINT_STATES = {"0": EndpointState.GONE, "1": EndpointState.READY, "2": EndpointState.DRAINING}


Fields = dict[str, str | None]  # value by name; None for a field that is absent or `-`


class MalformedLineError(Exception):
    """A line does not conform to the wire protocol.

    Attributes:
        line: the malformed line; empty for the line being processed.
    """

    def __init__(self, text: str, line: str = "") -> None:
        super().__init__(text)
        self.line = line


class ParsedLine(NamedTuple):
    """One event: its name and its fields."""

    name: str
    fields: Fields


class Batch(NamedTuple):
    """Events at one point in time: the time in ms, and the event lines."""

    clock_ms: float
    events: list[str]


def parse(line: str) -> ParsedLine:
    """Split a line into its name and its fields; a field that is absent or `-` is None."""
    name, _, fields_text = line.partition(" ")
    fields = FIELDS.get(name)
    if fields is None:
        raise MalformedLineError(f"unknown event {name!r}")
    parts = fields_text.split(" ", len(fields) - 1) if name in TEXT_LAST else fields_text.split(" ")
    if fields_text == "":
        parts = []
    return ParsedLine(
        name,
        {field: None if i >= len(parts) or parts[i] == "-" else parts[i] for i, field in enumerate(fields)},
    )


def required(values: Fields, field: str) -> str:
    """Return a field that must be present."""
    value = values.get(field)
    if value is None:
        raise MalformedLineError(f"field {field} is missing or '-'")
    return value


def number(values: Fields, field: str, default: float | None = None) -> float:
    """Return a field as a number; an absent field has the default, and must be present without one."""
    value = values.get(field)
    if value is None:
        if default is None:
            raise MalformedLineError(f"field {field} is missing or '-'")
        return default
    try:
        return float(value)
    except ValueError:
        raise MalformedLineError(f"field {field}: expected a number, got {value!r}") from None


def integer(values: Fields, field: str) -> int:
    """Return a field that must be present as an integer of any size."""
    value = required(values, field)
    try:
        return int(value)
    except ValueError:
        raise MalformedLineError(f"field {field}: expected an integer, got {value!r}") from None


def choice(table: dict[str, Any], values: Fields, field: str) -> Any:  # noqa: ANN401
    """Return the meaning of a field that must be one of a table's keys."""
    value = required(values, field)
    if value not in table:
        raise MalformedLineError(f"field {field}: unknown value {value!r}")
    return table[value]


def milliseconds(values: Fields, field: str) -> float | None:
    """Return a time in microseconds, converted to milliseconds; None if the field is absent or zero."""
    value = number(values, field, 0.0)
    return value / 1000.0 if value else None


def load_report(names: dict[str, str], text: str | None) -> LoadReport | None:
    """Parse a load report by the deployment's names of its fields; pairs of unknown names are ignored."""
    if text is None:
        return None
    fields: dict[str, float] = {}
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        if name in names:
            try:
                fields[names[name]] = float(value)
            except ValueError:
                raise MalformedLineError(f"load report: expected a number in {pair!r}") from None
    return LoadReport(**fields)


def decode_message(values: Fields) -> bytes:
    """Decode the base64 message of another node."""
    try:
        return b64decode(values.get("msg") or "", validate=True)
    except ValueError:
        raise MalformedLineError(f"field msg: expected base64, got {values['msg']!r}") from None


def parse_options(values: Fields) -> dict[str, Any]:
    """Parse the deployment's settings, a JSON object."""
    try:
        options = json.loads(required(values, "options"))
    except json.JSONDecodeError as error:
        raise MalformedLineError(f"field options: not valid JSON: {error}") from None
    if not isinstance(options, dict):
        raise MalformedLineError("field options: expected a JSON object")
    return options


def batches(lines: Iterator[str]) -> Iterator[Batch]:
    """Yield each batch; raises MalformedLineError for an invalid head line or an incomplete batch."""
    for line in lines:
        head = line.rstrip("\n")
        if not head:
            continue
        name, _, clock_us = head.partition(" ")
        if name != BEGIN or not clock_us.isdigit():
            raise MalformedLineError(f"got {head!r}, expected {BEGIN} and the time in microseconds")
        events: list[str] = []
        for event in lines:
            event = event.rstrip("\n")
            if event == END:
                break
            if event:
                events.append(event)
        else:
            raise MalformedLineError("the input ended within a batch, before its end line")
        yield Batch(int(clock_us) / 1000.0, events)
