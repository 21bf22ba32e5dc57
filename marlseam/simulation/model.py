"""The settings of a day: servers, request classes, clients, network, endpoint list, rules, faults.

The names of the structs' fields are keys of experiment files. Times in seconds end in `_s`, in milliseconds
in `_ms`. Standard work in ms is what one slot of speed 1 does in that time. Among the keys and values
`executors` are servers, `roster` is discovery, `troubles` are faults, and the effects `rerunnable`,
`receipted` and `exclusive` are those of safe, keyed and unsafe requests.
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

SEMANTICS_BY_EFFECT = {"rerunnable": "safe", "receipted": "keyed", "exclusive": "unsafe"}  # of node settings


class Strict(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table in which unknown keys are errors."""


class ServerKind(Strict, frozen=True):
    """The settings of a kind of server."""

    name: Name
    executors: Count
    slots: Count = 4
    speed: Positive = 1.0
    queue: int = 40  # most jobs that wait; a further one is rejected
    memory: NotNegative = 0.0  # units; 0: memory is not limited
    cell: Count = 4  # servers per cell; a cell shares the memory of idempotency keys
    cold_share: Share = 0.4  # of `speed`, at the begin of slow start
    warm_s: Positive = 5.0  # duration of slow start, in which the speed grows linearly


class RequestType(Strict, frozen=True):
    """A request class. A request's latency objective is `promised_ms` plus `stretch` times its work in ms."""

    name: Name
    share: Positive
    work_ms: Positive  # mean of the standard work
    promised_ms: Positive
    limit_ms: Positive  # from the intended send to the deadline
    effect: Literal["rerunnable", "receipted", "exclusive"] = "rerunnable"
    cv: NotNegative = 1.0  # coefficient of variation of the work
    stretch: NotNegative = 2.0
    credit: Positive = 1.0  # priority weight
    late_credit: Share = 0.5  # share of `credit` for an answer after the latency objective
    group: Literal["all", "zone", "cell"] = "cell"  # servers that share the memory of an idempotency key
    memory_ms: Positive = 30000.0  # for how long they remember the key
    slots: tuple[Positive, ...] = (1.0,)  # shares of requests that take 1, 2, ... slots
    memory: NotNegative = 0.0  # units that a request occupies while it runs
    keys: Annotated[int, Meta(ge=0)] = 0  # different keys, the same ones in all classes; 0: no keys
    key_skew: NotNegative = 1.1  # a key's frequency is its rank to the power of minus this
    in_turn: bool = False  # whether requests of one key run one at a time, in order of arrival


class Fleet(Strict, frozen=True):
    """The servers and nodes, which are assigned to the zones in turn."""

    zones: Annotated[list[Name], Meta(min_length=1)]
    nodes: Count
    kinds: Annotated[list[ServerKind], Meta(min_length=1)]
    connections: Count = 600  # most connections that a server has open at once
    # Time to set up a connection, in ms beyond its round trip; delays the delivery of each attempt, also of a
    # retry, that opens a new connection. Attempts on an idle connection are not delayed.
    connect_ms: NotNegative = 3.0
    checkpoint_s: NotNegative = 0.0  # period in which a cell saves the work of running jobs; 0: never
    progress_s: NotNegative = 1.0  # period in which a running job reports progress; 0: never
    roll_s: NotNegative = 0.0  # shortest time from a node's shutdown signal to its next start
    cold: bool = False  # whether all servers begin the day in slow start


class Load(Strict, frozen=True):
    """Open-loop arrivals; `shape` scales `rate` over the day."""

    rate: Positive = 10.0  # first tries per second
    shape: Literal["steady", "ramp", "burst", "trace"] = "steady"
    to_rate: NotNegative = 0.0  # rate at the end of a ramp, or during a burst
    burst_at_s: NotNegative = 0.0  # from the begin of the day
    burst_for_s: NotNegative = 0.0
    arrivals: Literal["poisson", "even"] = "poisson"
    skew: Share = 0.0  # weight added to the first zone, as a multiple of the weight of all zones together
    trace: str = ""  # path of the trace to replay, for the shape `trace`
    time_scale: Positive = 1.0  # factor of the times of a trace
    from_s: NotNegative = 0.0  # begin of the part of a trace that is replayed
    to_s: NotNegative = 0.0  # its end, exclusive; 0: the end of the trace


class Clients(Strict, frozen=True):
    """How clients behave: most tries per request, first wait before a retry, and shares of clients.

    `honour` is the share that honours Retry-After, `leave` the share that leaves early.
    """

    tries: Count = 3
    wait_ms: NotNegative = 40.0
    honour: Share = 0.8
    leave: Share = 0.0
    marks: bool = False  # whether the nodes' settings state that clients mark their retries
    resend: bool = False  # whether a keyed try whose connection broke is retried under its key
    notice_s: NotNegative = 3.0  # until the front load balancer detects a node's failure


class Network(Strict, frozen=True):
    """One-way delays: within a zone, between zones, and between client and node.

    `jitter` is the mean of the exponential part that is added to the factor 1 of each delay.
    """

    same_ms: NotNegative = 0.2
    cross_ms: NotNegative = 0.7
    client_ms: NotNegative = 0.6
    jitter: NotNegative = 0.2


class Reports(Strict, frozen=True):
    """How servers report their load: a report is refreshed every `period_ms`, available `late_ms` later."""

    period_ms: Positive = 60.0
    late_ms: NotNegative = 10.0
    probe_ms: NotNegative = 0.6  # time that a server takes to answer a probe
    queue: bool = True  # whether a report states the queue's length besides the free slots
    answers: bool = False  # whether answers carry a report too; a probe then returns the last one again


class DiscoverySettings(Strict, frozen=True):
    """The endpoint list: the lag of its changes, and the calls that it serves.

    `silent_lag_ms` is the lag until a silent server is listed as gone, `lag_ms` that of other changes. A call
    that would wait longer than `timeout_ms` fails.
    """

    lag_ms: NotNegative = 800.0
    silent_lag_ms: NotNegative = 8000.0
    calls_per_s: Positive = 200.0
    timeout_ms: Positive = 2000.0


class Rules(Strict, frozen=True):
    """The bounds of the rules, and the permissions and limits in the settings of nodes."""

    grace_ms: Positive = 2500.0  # from a node's notice that a server leaves until no attempt may reach it
    fall_multiple: Positive = 2.5  # overload bound in slow start, as a multiple of what the server can do
    fall_ms: Positive = 3000.0  # window over which the work received in slow start is counted
    must_ask_ms: Positive = 10000.0  # maximum age of a node's endpoint list
    second_copies: bool = False  # whether nodes may hedge
    probes: bool = True
    cancel: bool = True
    max_allocs: Count = 5  # most attempts of a try
    max_advice_ms: NotNegative = 2000.0  # longest Retry-After of a node; 0: no Retry-After
    cross_price: NotNegative = 0.03  # cost of an attempt to a server of another zone
    tick_ms: Positive = 4.0
    turn_gap_ms: NotNegative = 0.0  # how long a key stays unused after an attempt that may still run
    drain_binds_alone: bool = False  # whether only draining servers count as leaving, not those gone


class Fault(Strict, frozen=True):
    """One fault of the schedule. docs/design/bench.md has the meaning of `size` for each fault."""

    what: Literal[FAULT_NAMES]  # type: ignore[valid-type]
    at_s: NotNegative
    for_s: Positive = 10.0
    share: Share = 0.2  # share of all servers, or of all nodes for a fault of nodes, that is drawn as targets
    size: NotNegative = 4.0
    type: str = ""  # for `errors`: the request class of which a share `size` fails; empty: all classes
    targets: tuple[str, ...] = ()  # names of what the fault affects; empty: drawn from the seed
    # For `flapping` the share of its period that is bad, for `false_reports` the share of the load that is
    # reported, for `slow_link` the share of messages that are lost.
    part: Share = 0.4
    how: Literal["silent", "crash"] = "silent"  # for `flapping`: the fault in the bad part of its period
    by: Literal["any", "zone"] = "any"  # zone: all targets are in one drawn zone


class RandomFaults(Strict, frozen=True):
    """Faults to draw from the seed: how many, and of which kinds; they may overlap."""

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
    """The settings of a whole day; `seconds` is its length."""

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
    """A server of a day and its place.

    Attributes:
        name: the server's name.
        kind: the server's kind; `kind_index` is the index of that kind in the day.
        zone: the zone that the server runs in.
        cell: the number of the server's cell: servers of one kind and zone that share a memory.
    """

    name: str
    kind: ServerKind
    kind_index: int
    zone: str
    cell: int


class PlacedNode(NamedTuple):
    """A node of a day and its zone."""

    name: str
    zone: str


def placed_servers(day: Day) -> list[PlacedServer]:
    """Return all servers of a day, assigned to the zones in turn; a cell lies within one zone."""
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
    """Return all nodes of a day, assigned to the zones in turn."""
    zones = day.fleet.zones
    return [PlacedNode(f"n{number}", zones[number % len(zones)]) for number in range(day.fleet.nodes)]


def node_settings(day: Day, zone: str) -> dict[str, Any]:
    """Return the settings of a node in `zone`, in the form of the operators' settings file."""
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
    """Return a request class in the form of the settings file; times in microseconds."""
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
    """Return the limits and permissions of a node in the form of the settings file."""
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
    """Return the guarantees that a node may rely on, in the form of the settings file."""
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
    """Return the day in the JSON that a driver writes for its processes; raise msgspec.MsgspecError."""
    return msgspec.json.decode(data, type=Day)
