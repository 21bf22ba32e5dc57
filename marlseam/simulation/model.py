"""A day as its file describes it: servers, request classes, clients, network, endpoint list, rules, faults.

The names of the structs' fields are keys of experiment files. Times in seconds end in `_s`, in milliseconds
in `_ms`. Standard work is what a slot of speed 1 does in that time.
"""

from typing import Annotated, Any, Literal, NamedTuple

import msgspec
from msgspec import Meta, Struct, field

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]*$")]

FAULT_NAMES = (
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

SEMANTICS_BY_EFFECT = {"rerunnable": "safe", "receipted": "keyed", "exclusive": "unsafe"}  # in settings


class Strict(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table in which every key must be known."""


class ServerKind(Strict, frozen=True):
    """A kind of server."""

    name: Name
    executors: Count
    slots: Count = 4
    speed: Positive = 1.0
    queue: int = 40
    memory: NotNegative = 0.0  # units, none where 0
    cell: Count = 4  # servers that share which idempotency keys they have seen
    cold_share: Share = 0.4  # of its speed, that slow start begins with
    warm_s: Positive = 5.0  # how long slow start takes; the speed grows linearly


class RequestType(Strict, frozen=True):
    """A request class. Its latency objective is promised_ms plus `stretch` times a request's own work."""

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
    slots: tuple[Positive, ...] = (1.0,)  # shares of requests that take 1, 2, ... slots
    memory: NotNegative = 0.0
    keys: Annotated[int, Meta(ge=0)] = (
        0  # how many keys its requests have, the same for all classes; 0 for none
    )
    key_skew: NotNegative = 1.1  # exponent of a key's rank in how often it is asked for
    in_turn: bool = False  # requests of one key run one at a time, in order of arrival


class Fleet(Strict, frozen=True):
    """Servers and nodes, dealt to the zones in turn."""

    zones: Annotated[list[Name], Meta(min_length=1)]
    nodes: Count
    kinds: Annotated[list[ServerKind], Meta(min_length=1)]
    connections: Count = 600  # that a server holds
    connect_ms: NotNegative = 3.0  # what a new one costs its first attempt
    checkpoint_s: NotNegative = 0.0  # how often a cell saves the state of its runs, 0 for never
    progress_s: NotNegative = 1.0
    roll_s: NotNegative = 0.0  # from a node's shutdown signal to its next start, at least
    cold: bool = False  # whether all servers are in slow start as the day begins


class Load(Strict, frozen=True):
    """Open-loop arrivals; `shape` scales `rate` over the day."""

    rate: Positive = 10.0  # first tries a second
    shape: Literal["steady", "ramp", "burst", "trace"] = "steady"
    to_rate: NotNegative = 0.0  # at a ramp's end, or during a burst
    burst_at_s: NotNegative = 0.0
    burst_for_s: NotNegative = 0.0
    arrivals: Literal["poisson", "even"] = "poisson"
    skew: Share = 0.0  # how much more than its part the first zone gets
    trace: str = ""
    time_scale: Positive = 1.0
    from_s: NotNegative = 0.0
    to_s: NotNegative = 0.0


class Clients(Strict, frozen=True):
    """How clients behave: tries in all, waits between them, shares that honour Retry-After or leave early."""

    tries: Count = 3
    wait_ms: NotNegative = 40.0
    honour: Share = 0.8
    leave: Share = 0.0
    marks: bool = False  # whether nodes are told that clients mark their retries
    resend: bool = False  # whether a keyed try whose connection broke is sent again under its key
    notice_s: NotNegative = 3.0  # after which a front has noticed a node's death


class Network(Strict, frozen=True):
    """One-way delays."""

    same_ms: NotNegative = 0.2
    cross_ms: NotNegative = 0.7
    client_ms: NotNegative = 0.6
    jitter: NotNegative = 0.2


class Reports(Strict, frozen=True):
    """How servers report their load: how often refreshed, and how late known."""

    period_ms: Positive = 60.0
    late_ms: NotNegative = 10.0
    probe_ms: NotNegative = 0.6
    queue: bool = True  # whether a report holds the queue's length, beside free slots
    answers: bool = False  # whether answers bring reports too, and probes the last one again


class DiscoverySettings(Strict, frozen=True):
    """The endpoint list: how late it learns of a change, and how many calls a second it serves."""

    lag_ms: NotNegative = 800.0
    silent_lag_ms: NotNegative = 8000.0
    calls_per_s: Positive = 200.0
    timeout_ms: Positive = 2000.0


class Rules(Strict, frozen=True):
    """The figures of the rules, and what the settings permit."""

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
    turn_gap_ms: NotNegative = 0.0  # how long a key is left unused after an attempt that may still run
    drain_binds_alone: bool = False


class Fault(Strict, frozen=True):
    """One fault of the schedule. What `size` means for each is in docs/design/bench.md."""

    what: Literal[FAULT_NAMES]  # type: ignore[valid-type]
    at_s: NotNegative
    for_s: Positive = 10.0
    share: Share = 0.2  # of the servers or nodes that it affects
    size: NotNegative = 4.0
    type: str = ""  # for errors: the one request class that fails, all where empty
    targets: tuple[str, ...] = ()  # what it affects, by name; drawn from the seed where none are named
    part: Share = 0.4  # share of a flap that is bad, of load that is reported, or of messages lost
    how: Literal["silent", "crash"] = "silent"  # what happens in the bad part of a flap
    by: Literal["any", "zone"] = "any"  # whether all that it affects are of one zone


class RandomFaults(Strict, frozen=True):
    """Faults drawn from the seed: how many, overlapping or not."""

    count: int = 0
    of: tuple[Literal[FAULT_NAMES], ...] = (  # type: ignore[valid-type]
        "silent",
        "slow",
        "errors",
        "tail",
        "zone_cut",
        "crash",
        "neighbour",
    )


class Day(Strict, frozen=True):
    """A whole day."""

    seconds: Positive
    fleet: Fleet
    types: Annotated[list[RequestType], Meta(min_length=1)]
    load: Load = field(default_factory=Load)
    clients: Clients = field(default_factory=Clients)
    network: Network = field(default_factory=Network)
    reports: Reports = field(default_factory=Reports)
    roster: DiscoverySettings = field(default_factory=DiscoverySettings)
    rules: Rules = field(default_factory=Rules)
    troubles: list[Fault] = []
    drawn: RandomFaults = field(default_factory=RandomFaults)


class PlacedServer(NamedTuple):
    """A server of a day and where it runs.

    Attributes:
        name: its name.
        kind: its kind, and `kind_index` that kind's index in the day.
        zone: its zone.
        cell: the number of its cell, the servers of one kind and zone that share their memory.
    """

    name: str
    kind: ServerKind
    kind_index: int
    zone: str
    cell: int


class PlacedNode(NamedTuple):
    """A node of a day, and its zone."""

    name: str
    zone: str


def placed_servers(day: Day) -> list[PlacedServer]:
    """Return every server of a day, dealt to the zones in turn; cells lie within a zone."""
    zones = day.fleet.zones
    servers: list[PlacedServer] = []
    for kind_index, kind in enumerate(day.fleet.kinds):
        count_by_zone = dict.fromkeys(zones, 0)
        for number in range(kind.executors):
            zone = zones[len(servers) % len(zones)]
            cell_in_zone = count_by_zone[zone] // kind.cell
            count_by_zone[zone] += 1
            cell = 1000 * kind_index + 100 * zones.index(zone) + cell_in_zone
            servers.append(PlacedServer(f"{kind.name}-{number}", kind, kind_index, zone, cell))
    return servers


def placed_nodes(day: Day) -> list[PlacedNode]:
    """Return every node of a day, dealt to the zones in turn."""
    zones = day.fleet.zones
    return [PlacedNode(f"n{number}", zones[number % len(zones)]) for number in range(day.fleet.nodes)]


def node_settings(day: Day, zone: str) -> dict[str, Any]:
    """Return a day's settings for a node of some zone, in the form of the operators' settings file."""
    rules = day.rules
    return {
        "zone": zone,
        "dcs": day.fleet.zones,
        "kinds": [kind.name for kind in day.fleet.kinds],
        "fleetSize": day.fleet.nodes,
        "tickUs": rules.tick_ms * 1000.0,
        "registryMode": "subscribe",
        "requestClasses": [_request_class_settings(request_class) for request_class in day.types],
        "ceilings": _ceilings(rules),
        "familyInfo": {
            "tellsStart": True,
            "progressUs": day.fleet.progress_s * 1e6,
            "classStretch": [request_class.stretch for request_class in day.types],
            "reportX0": "free slots",
        },
        "guarantees": _guarantees(day),
        "loadReport": {"how": "answers" if day.reports.answers else "probe", "fields": ["backlog", "x0"]},
        "penalties": {"crossZone": rules.cross_price},
        "clients": {"marksRetry": day.clients.marks},
    }


def _request_class_settings(request_class: RequestType) -> dict[str, Any]:
    """Return the settings of a request class."""
    return {
        "name": request_class.name,
        "aimUs": request_class.promised_ms * 1000.0,
        "deadlineUs": request_class.limit_ms * 1000.0,
        "semantics": SEMANTICS_BY_EFFECT[request_class.effect],
        "dedupScope": request_class.group,
        "memorySpanUs": request_class.memory_ms * 1000.0,
        "oneAtATime": request_class.in_turn,
    }


def _ceilings(rules: Rules) -> dict[str, Any]:
    """Return the settings of what a node may do at most."""
    return {
        "sendCap": rules.max_allocs,
        "mayProbe": rules.probes,
        "cancel": rules.cancel,
        "secondCopies": rules.second_copies,
        "retryAfter": rules.max_advice_ms > 0.0,
        "maxRetryAfterUs": rules.max_advice_ms * 1000.0,
        "keepaliveUs": 30e6,
        "connectTimeoutUs": 250e3,
    }


def _guarantees(day: Day) -> dict[str, Any]:
    """Return the settings of what a node may rely on."""
    rules, kinds = day.rules, day.fleet.kinds
    return {
        "mustAskInUs": rules.must_ask_ms * 1000.0,
        "warmWithinUs": max(kind.warm_s for kind in kinds) * 1e6,
        "startCapacity": min(kind.cold_share for kind in kinds),
        "fallMultiple": rules.fall_multiple,
        "tipAfterUs": rules.fall_ms * 1000.0,
        "turnGapUs": rules.turn_gap_ms * 1000.0,
        "drainBindsAlone": rules.drain_binds_alone,
    }


def read_day(data: bytes) -> Day:
    """Read a day from JSON, as a driver hands it to its processes."""
    return msgspec.json.decode(data, type=Day)
