"""The simulator's wire: its lines taken apart, its words turned into ours, and our actions into its lines."""

import json
from base64 import b64decode
from collections.abc import Iterator
from typing import Any, NamedTuple

from marlseam.decisions.types import EndpointState, ListUpdateKind, LoadReport, Outcome

BEGIN, END, ACK, ENTRY = "begin_batch", "eof_batch", "ack", "m"

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
TEXT_LAST = {"provision"}

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
LISTINGS = {
    "0": ListUpdateKind.DELTA,
    "1": ListUpdateKind.FULL,
    "2": ListUpdateKind.CACHED,
    "3": ListUpdateKind.FAILED,
}
STATES = {"0": EndpointState.GONE, "1": EndpointState.READY, "2": EndpointState.DRAINING}


Fields = dict[str, str | None]  # of a line, by name; None for one that is absent or `-`


class MalformedLineError(Exception):
    """A line that the wire's description does not allow.

    Attributes:
        line: the line, where it is another than the one in hand.
    """

    def __init__(self, text: str, line: str = "") -> None:
        super().__init__(text)
        self.line = line


class ParsedLine(NamedTuple):
    """One event: its name and its fields."""

    name: str
    fields: Fields


class Batch(NamedTuple):
    """Events that happen at one time: the clock in ms, and their lines."""

    clock_ms: float
    events: list[str]


def parse(line: str) -> ParsedLine:
    """Take one line apart into its name and its fields; a field that is absent or `-` is None."""
    name, _, fields_text = line.partition(" ")
    fields = FIELDS.get(name)
    if fields is None:
        raise MalformedLineError(f"no event is called {name!r}")
    parts = fields_text.split(" ", len(fields) - 1) if name in TEXT_LAST else fields_text.split(" ")
    if fields_text == "":
        parts = []
    return ParsedLine(
        name,
        {field: None if i >= len(parts) or parts[i] == "-" else parts[i] for i, field in enumerate(fields)},
    )


def need(values: Fields, field: str) -> str:
    """Return a field that may not be absent."""
    value = values.get(field)
    if value is None:
        raise MalformedLineError(f"{field} is missing")
    return value


def number(values: Fields, field: str, default: float | None = None) -> float:
    """Return a field as a number; an absent one counts as the default, where there is one."""
    value = values.get(field)
    if value is None:
        if default is None:
            raise MalformedLineError(f"{field} is missing")
        return default
    try:
        return float(value)
    except ValueError:
        raise MalformedLineError(f"{field} is no number: {value!r}") from None


def whole(values: Fields, field: str) -> int:
    """Return a field as a whole number of any size."""
    value = need(values, field)
    try:
        return int(value)
    except ValueError:
        raise MalformedLineError(f"{field} is no whole number: {value!r}") from None


def word(table: dict[str, Any], values: Fields, field: str) -> Any:  # noqa: ANN401
    """Return what a table says a word means."""
    value = need(values, field)
    if value not in table:
        raise MalformedLineError(f"{field} cannot be {value!r}")
    return table[value]


def milliseconds(values: Fields, field: str) -> float | None:
    """Return a time in milliseconds, or None where it is absent or zero."""
    value = number(values, field, 0.0)
    return value / 1000.0 if value else None


def report(names: dict[str, str], text: str | None) -> LoadReport | None:
    """Read a load report by the names that the deployment gives; unknown pairs are passed by."""
    if text is None:
        return None
    found: dict[str, float] = {}
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        if name in names:
            try:
                found[names[name]] = float(value)
            except ValueError:
                raise MalformedLineError(f"the load report holds no number: {pair!r}") from None
    return LoadReport(**found)


def message(values: Fields) -> bytes:
    """Read another node's message."""
    try:
        return b64decode(values.get("msg") or "", validate=True)
    except ValueError:
        raise MalformedLineError(f"msg is no base64: {values['msg']!r}") from None


def options_of(values: Fields) -> dict[str, Any]:
    """Read the settings' JSON text."""
    try:
        options = json.loads(need(values, "options"))
    except json.JSONDecodeError as e:
        raise MalformedLineError(f"options is no JSON: {e}") from None
    if not isinstance(options, dict):
        raise MalformedLineError("options is no JSON object")
    return options


def batches(lines: Iterator[str]) -> Iterator[Batch]:
    """Yield each batch's clock in milliseconds and its event lines."""
    for line in lines:
        head = line.rstrip("\n")
        if not head:
            continue
        name, _, clock = head.partition(" ")
        if name != BEGIN or not clock.isdigit():
            raise MalformedLineError(f"{head!r}: a batch begins with {BEGIN} and its clock")
        events: list[str] = []
        for event in lines:
            event = event.rstrip("\n")
            if event == END:
                break
            if event:
                events.append(event)
        else:
            raise MalformedLineError("the input ended inside a batch")
        yield Batch(int(clock) / 1000.0, events)
