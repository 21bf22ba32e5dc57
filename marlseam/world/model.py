"""A day as its file describes it: fleet, project types, clients, network, roster, rules, troubles.

Times in seconds end in `_s`, in milliseconds in `_ms`. Standard work is what a slot of speed 1 does in that
time.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]*$")]

TROUBLES = (
    "silent",
    "slow",
    "errors",
    "tail",
    "zone_cut",
    "shrink",
    "grow",
    "crash",
    "late_reports",
    "roster_outage",
    "neighbour",
    "node_kill",
    "node_roll",
    "node_reload",
    "reset",
    "surge",
    "false_reports",
    "flapping",
    "slow_link",
)


class Strict(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table in which every key must be known."""


class Kind(Strict):
    """A kind of executor."""

    name: Name
    executors: Count
    slots: Count = 4
    speed: Positive = 1.0
    queue: int = 40
    memory: NotNegative = 0.0  # units, none where 0
    cell: Count = 4  # executors that share which receipts they have seen
    cold_share: Share = 0.4  # of its speed, that it starts with
    warm_s: Positive = 5.0  # by when it is warm, linearly


class Type(Strict):
    """A project type. A turnaround keeps its promise up to promised_ms plus `stretch` times its own work."""

    name: Name
    share: Positive
    work_ms: Positive
    promised_ms: Positive
    limit_ms: Positive
    effect: Literal["rerunnable", "receipted", "exclusive"] = "rerunnable"
    cv: NotNegative = 1.0
    stretch: NotNegative = 2.0
    credit: Positive = 1.0
    late_credit: Share = 0.5
    group: Literal["all", "zone", "cell"] = "cell"
    memory_ms: Positive = 30000.0
    slots: tuple[Positive, ...] = (1.0,)  # shares of work units that take 1, 2, ... slots
    memory: NotNegative = 0.0
    keys: Annotated[int, Meta(ge=0)] = (
        0  # things that its work units need, the same for all types; 0 for none
    )
    key_skew: NotNegative = 1.1  # exponent of a thing's rank in how often it is asked for
    in_turn: bool = False  # work of one key runs one at a time, in the order taken


class Fleet(Strict):
    """Executors and nodes, dealt to the zones in turn."""

    zones: Annotated[list[Name], Meta(min_length=1)]
    nodes: Count
    kinds: Annotated[list[Kind], Meta(min_length=1)]
    connections: Count = 600  # that an executor holds
    connect_ms: NotNegative = 3.0  # what a new one costs its first allocation
    checkpoint_s: NotNegative = 0.0  # how often a cell saves the state of its runs, 0 for never
    progress_s: NotNegative = 1.0
    roll_s: NotNegative = 0.0  # from telling a node to end to its next start, at least
    cold: bool = False  # whether all executors start cold with the day


class Load(Strict):
    """Open-loop arrivals; `shape` scales `rate` over the day."""

    rate: Positive = 10.0  # first tries a second
    shape: Literal["steady", "ramp", "burst", "trace"] = "steady"
    to_rate: NotNegative = 0.0  # where a ramp ends, or a burst stands
    burst_at_s: NotNegative = 0.0
    burst_for_s: NotNegative = 0.0
    arrivals: Literal["poisson", "even"] = "poisson"
    skew: Share = 0.0  # how much more than its part the first zone gets
    trace: str = ""
    time_scale: Positive = 1.0
    from_s: NotNegative = 0.0
    to_s: NotNegative = 0.0


class Clients(Strict):
    """How clients behave: tries in all, the waits between them, who obeys advice and who leaves early."""

    tries: Count = 3
    wait_ms: NotNegative = 40.0
    honour: Share = 0.8
    leave: Share = 0.0
    marks: bool = False  # whether nodes are told that clients mark their retries
    resend: bool = False  # whether a receipted try whose connection broke goes out again under its key
    notice_s: NotNegative = 3.0  # after which a front has noticed a node's death


class Network(Strict):
    """One-way delays."""

    same_ms: NotNegative = 0.2
    cross_ms: NotNegative = 0.7
    client_ms: NotNegative = 0.6
    jitter: NotNegative = 0.2


class Reports(Strict):
    """How executors tell their load: refreshed so often, and heard of so late."""

    period_ms: Positive = 60.0
    late_ms: NotNegative = 10.0
    probe_ms: NotNegative = 0.6
    queue: bool = True  # whether a report tells the queue, beside free slots
    answers: bool = False  # whether answers bring reports too, and probes the last one again


class Roster(Strict):
    """The list: how late it learns, and how many calls a second it works through."""

    lag_ms: NotNegative = 800.0
    silent_lag_ms: NotNegative = 8000.0
    calls_per_s: Positive = 200.0
    timeout_ms: Positive = 2000.0


class Rules(Strict):
    """The figures of the four rules, and what the settings permit."""

    grace_ms: Positive = 2500.0
    fall_multiple: Positive = 2.5
    fall_ms: Positive = 3000.0
    must_ask_ms: Positive = 10000.0
    second_copies: bool = False
    probes: bool = True
    cancel: bool = True
    max_allocs: Count = 5
    max_advice_ms: NotNegative = 2000.0
    cross_price: NotNegative = 0.03
    tick_ms: Positive = 4.0
    turn_gap_ms: NotNegative = 0.0  # how long a key rests after an allocation that may still be running
    drain_binds_alone: bool = False


class Trouble(Strict):
    """One trouble of the schedule. What `size` means stands in docs/design/bench.md."""

    what: Literal[TROUBLES]  # type: ignore[valid-type]
    at_s: NotNegative
    for_s: Positive = 10.0
    share: Share = 0.2  # of the executors or nodes that it meets
    size: NotNegative = 4.0
    type: str = ""  # for errors: the one project type that fails, all where empty
    targets: tuple[str, ...] = ()  # whom it meets, by name; drawn from the seed where none are named
    part: Share = 0.4  # share of a turn that is bad, of load that is told, or of messages lost
    how: Literal["silent", "crash"] = "silent"  # what a turn of flapping is
    by: Literal["any", "zone"] = "any"  # whether those met are of one zone


class Drawn(Strict):
    """Troubles drawn from the seed: how many, overlapping or not."""

    count: int = 0
    of: tuple[Literal[TROUBLES], ...] = (  # type: ignore[valid-type]
        "silent",
        "slow",
        "errors",
        "tail",
        "zone_cut",
        "crash",
        "neighbour",
    )


class Day(Strict):
    """A whole day."""

    seconds: Positive
    fleet: Fleet
    types: Annotated[list[Type], Meta(min_length=1)]
    load: Load = field(default_factory=Load)
    clients: Clients = field(default_factory=Clients)
    network: Network = field(default_factory=Network)
    reports: Reports = field(default_factory=Reports)
    roster: Roster = field(default_factory=Roster)
    rules: Rules = field(default_factory=Rules)
    troubles: list[Trouble] = []
    drawn: Drawn = field(default_factory=Drawn)


def executors(day: Day) -> list[tuple[str, Kind, int, str, int]]:
    """Return name, kind, the kind's index, zone and cell of every executor; cells lie within a zone."""
    found, cells = [], {}
    for k, kind in enumerate(day.fleet.kinds):
        for i in range(kind.executors):
            zone = day.fleet.zones[len(found) % len(day.fleet.zones)]
            of_zone = cells.setdefault((k, zone), [])
            of_zone.append(i)
            cell = 1000 * k + 100 * day.fleet.zones.index(zone) + (len(of_zone) - 1) // kind.cell
            found.append((f"{kind.name}-{i}", kind, k, zone, cell))
    return found


def nodes(day: Day) -> list[tuple[str, str]]:
    """Return name and zone of every node."""
    zones = day.fleet.zones
    return [(f"n{i}", zones[i % len(zones)]) for i in range(day.fleet.nodes)]


def settings(day: Day, zone: str) -> dict:
    """Return a day's settings for a node of some zone, in the platform's form."""
    rules, warm = day.rules, max(kind.warm_s for kind in day.fleet.kinds)
    words = {"rerunnable": "safe", "receipted": "keyed", "exclusive": "unsafe"}
    return {
        "zone": zone,
        "dcs": day.fleet.zones,
        "kinds": [kind.name for kind in day.fleet.kinds],
        "fleetSize": day.fleet.nodes,
        "tickUs": rules.tick_ms * 1000.0,
        "registryMode": "subscribe",
        "requestClasses": [
            {
                "name": type.name,
                "aimUs": type.promised_ms * 1000.0,
                "deadlineUs": type.limit_ms * 1000.0,
                "semantics": words[type.effect],
                "dedupScope": type.group,
                "memorySpanUs": type.memory_ms * 1000.0,
                "oneAtATime": type.in_turn,
            }
            for type in day.types
        ],
        "ceilings": {
            "sendCap": rules.max_allocs,
            "mayProbe": rules.probes,
            "cancel": rules.cancel,
            "secondCopies": rules.second_copies,
            "retryAfter": rules.max_advice_ms > 0.0,
            "maxRetryAfterUs": rules.max_advice_ms * 1000.0,
            "keepaliveUs": 30e6,
            "connectTimeoutUs": 250e3,
        },
        "familyInfo": {
            "tellsStart": True,
            "progressUs": day.fleet.progress_s * 1e6,
            "classStretch": [type.stretch for type in day.types],
            "reportX0": "free slots",
        },
        "guarantees": {
            "mustAskInUs": rules.must_ask_ms * 1000.0,
            "warmWithinUs": warm * 1e6,
            "startCapacity": min(kind.cold_share for kind in day.fleet.kinds),
            "fallMultiple": rules.fall_multiple,
            "tipAfterUs": rules.fall_ms * 1000.0,
            "turnGapUs": rules.turn_gap_ms * 1000.0,
            "drainBindsAlone": rules.drain_binds_alone,
        },
        "loadReport": {"how": "answers" if day.reports.answers else "probe", "fields": ["backlog", "x0"]},
        "penalties": {"crossZone": rules.cross_price},
        "clients": {"marksRetry": day.clients.marks},
    }


def read(data: bytes) -> Day:
    """Read a day from JSON, as a driver hands it to its processes."""
    return msgspec.json.decode(data, type=Day)
