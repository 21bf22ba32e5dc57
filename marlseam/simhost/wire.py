"""The simulator's wire: its lines taken apart, its words turned into ours, and our actions into its lines."""

import json
from collections.abc import Callable, Iterator
from typing import Any

from marlseam.interface import (
    Effect,
    Group,
    Listing,
    Outcome,
    ProjectType,
    Report,
    Settings,
    State,
)

BEGIN, END, ACK, ENTRY = "begin_batch", "eof_batch", "ack", "m"

FIELDS = {
    "provision": ("node", "nonce64", "options"),
    "directory_update": ("node", "index", "scope", "members"),
    "arrival": (
        "node", "opId", "qos", "userGroup", "pathKey", "expiresUs", "workHintUs", "needs", "memNeeded",
        "resent", "mutates", "cameBack",
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
}  # fmt: skip
TEXT_LAST = {"provision"}

OUTCOMES = {
    "success": Outcome.COMPLETED,
    "failure": Outcome.ERROR,
    "overloaded": Outcome.FULL,
    "timed_out": Outcome.TIMED_OUT,
    "unreachable": Outcome.UNREACHABLE,
    "broken": Outcome.BROKEN,
    "withdrawn": Outcome.WITHDRAWN,
    "void": Outcome.VOID,
}
LISTINGS = {"0": Listing.DELTA, "1": Listing.FULL, "2": Listing.CACHED, "3": Listing.FAILED}
STATES = {"0": State.GONE, "1": State.READY, "2": State.DRAINING}
EFFECTS = {"safe": Effect.RERUNNABLE, "keyed": Effect.RECEIPTED, "unsafe": Effect.EXCLUSIVE}


class Malformed(Exception):
    """A line that the wire's description does not allow."""


def parse(line: str) -> tuple[str, dict[str, str | None]]:
    """Take one line apart into its name and its fields; a field that is absent or `-` is None."""
    name, _, rest = line.partition(" ")
    fields = FIELDS.get(name)
    if fields is None:
        raise Malformed(f"no event is called {name!r}")
    parts = rest.split(" ", len(fields) - 1) if name in TEXT_LAST else rest.split(" ")
    if rest == "":
        parts = []
    return name, {
        field: None if i >= len(parts) or parts[i] == "-" else parts[i] for i, field in enumerate(fields)
    }


def need(values: dict[str, str | None], field: str) -> str:
    """Return a field that may not be absent."""
    value = values.get(field)
    if value is None:
        raise Malformed(f"{field} is missing")
    return value


def number(values: dict[str, str | None], field: str, default: float | None = None) -> float:
    """Return a field as a number; an absent one counts as the default, where there is one."""
    value = values.get(field)
    if value is None:
        if default is None:
            raise Malformed(f"{field} is missing")
        return default
    try:
        return float(value)
    except ValueError:
        raise Malformed(f"{field} is no number: {value!r}") from None


def whole(values: dict[str, str | None], field: str) -> int:
    """Return a field as a whole number of any size."""
    value = need(values, field)
    try:
        return int(value)
    except ValueError:
        raise Malformed(f"{field} is no whole number: {value!r}") from None


def word(table: dict[str, Any], values: dict[str, str | None], field: str) -> Any:  # noqa: ANN401
    """Return what a table says a word means."""
    value = need(values, field)
    if value not in table:
        raise Malformed(f"{field} cannot be {value!r}")
    return table[value]


def ms(values: dict[str, str | None], field: str) -> float | None:
    """Return a time in milliseconds, or None where it is absent or zero."""
    value = number(values, field, 0.0)
    return value / 1000.0 if value else None


def report_reader(info: dict[str, Any]) -> Callable[[str | None], Report | None]:
    """Make the function that reads this deployment's load reports, unknown pairs passed by."""
    names = {"outstanding": "held", "backlog": "queued"}
    for extra in ("X0", "X1"):
        meaning = str(info.get("report" + extra) or "")
        if "slot" in meaning:
            names[extra.lower()] = "free_slots"
        elif "memory" in meaning:
            names[extra.lower()] = "free_memory"

    def read(text: str | None) -> Report | None:
        if text is None:
            return None
        found: dict[str, float] = {}
        for pair in text.split(","):
            name, _, value = pair.partition(":")
            if name in names:
                try:
                    found[names[name]] = float(value)
                except ValueError:
                    raise Malformed(f"the load report holds no number: {pair!r}") from None
        return Report(**found)

    return read


def settings_from(options: dict[str, Any]) -> Settings:
    """Turn the first message's settings into ours; what is missing means what is least generous."""
    limits, rules = options.get("ceilings", {}), options.get("guarantees", {})
    prices, info = options.get("penalties", {}), options.get("familyInfo", {})
    zones, kinds = options.get("dcs", []), options.get("kinds", [])
    stretches, class_kinds = info.get("classStretch", []), info.get("classKind", [])

    def to_ms(table: dict[str, Any], key: str, default: float) -> float:
        return float(table.get(key, default * 1000.0)) / 1000.0

    types = []
    for i, row in enumerate(options.get("requestClasses", [])):
        stretch = stretches[i] if i < len(stretches) else row.get("aimStretch", 0.0)
        types.append(
            ProjectType(
                promised_ms=to_ms(row, "aimUs", 0.0),
                stretch=float(stretch or 0.0),
                limit_ms=to_ms(row, "deadlineUs", 0.0),
                effect=EFFECTS[row.get("semantics", "unsafe")],
                group=Group(row.get("dedupScope") or "cell"),
                memory_ms=to_ms(row, "memorySpanUs", 0.0),
                kind=int(class_kinds[i]) if i < len(class_kinds) else -1,
            )
        )
    return Settings(
        types=tuple(types),
        kinds=len(kinds),
        zone=zones.index(options["zone"]) if options.get("zone") in zones else -1,
        nodes=max(1, int(options.get("fleetSize", 1))),
        tick_ms=to_ms(options, "tickUs", 1.0),
        max_allocs=int(limits.get("sendCap", 1)),
        may_probe=bool(limits.get("mayProbe", False)),
        may_cancel=bool(limits.get("cancel", False)),
        second_copies=bool(limits.get("secondCopies", False)),
        max_advice_ms=to_ms(limits, "maxRetryAfterUs", 0.0) if limits.get("retryAfter") else 0.0,
        asked_roster=options.get("registryMode") == "subscribe",
        must_ask_ms=to_ms(rules, "mustAskInUs", 10000.0),
        tells_start=bool(info.get("tellsStart", False)),
        progress_ms=to_ms(info, "progressUs", 0.0),
        cold_share=float(rules.get("startCapacity", 0.1)),
        warm_ms=to_ms(rules, "warmWithinUs", 30000.0),
        fall_multiple=float(rules.get("fallMultiple", 1.0)),
        fall_ms=to_ms(rules, "tipAfterUs", 1000.0),
        cross_price=float(prices.get("crossZone", 0.0)),
    )


def options_of(values: dict[str, str | None]) -> dict[str, Any]:
    """Read the settings' JSON text."""
    try:
        options = json.loads(need(values, "options"))
    except json.JSONDecodeError as e:
        raise Malformed(f"options is no JSON: {e}") from None
    if not isinstance(options, dict):
        raise Malformed("options is no JSON object")
    return options


def batches(lines: Iterator[str]) -> Iterator[tuple[float, list[str]]]:
    """Yield each batch's clock in milliseconds and its event lines."""
    for line in lines:
        head = line.rstrip("\n")
        if not head:
            continue
        name, _, clock = head.partition(" ")
        if name != BEGIN or not clock.isdigit():
            raise Malformed(f"{head!r}: a batch begins with {BEGIN} and its clock")
        events: list[str] = []
        for event in lines:
            event = event.rstrip("\n")
            if event == END:
                break
            if event:
                events.append(event)
        else:
            raise Malformed("the input ended inside a batch")
        yield int(clock) / 1000.0, events
