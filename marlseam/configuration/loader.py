"""The one place where configuration is read, checked and given its defaults; errors name the key.

A deployment's settings reach both adapters in one form: in the simulator's first message and in a real node's
configuration file, which holds the node's own address, limits and first list too.
"""

import json
import os
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from ipaddress import ip_address
from math import inf, isfinite
from pathlib import Path
from typing import Any

from marlseam.decisions.types import DeduplicationScope, Idempotency, RequestClass, Settings

EFFECTS = {"safe": Idempotency.SAFE, "keyed": Idempotency.KEYED, "unsafe": Idempotency.UNSAFE}
REPORT_NAMES = {"outstanding": "held", "inflight": "held", "backlog": "queued", "queue": "queued"}
FILE, SOCKET, FOLDER = "EDGE_CONFIG", "EDGE_SOCKET_FD", "TMPDIR"
MEMBERS_MOST, NAME_MOST = 1000, 64  # members of a fleet, and characters of a member's name
LEASE_PERIODS, LEASE_LEAST = 15.0, 6.0  # a fleet's lease if not said, and at least, in its periods
VERSIONS = (
    "folder",
    "voters",
    "lease_ms",
    "past_lease",
    "serve_ms",
    "local",
)  # keys of a fleet with versions
SERVE_LEASES = 100.0  # for how long nodes serve on without a proof if not said, in leases
OWN = {"name": "EDGE_NAME", "listen": "EDGE_LISTEN", "discovery": "EDGE_DISCOVERY", "admin": "EDGE_ADMIN"}
OWN_FILE = "MARLSEAM_SETTINGS"
WEIGHTS = {"none": False, "nominal": False, "rough": False, "live": True}
REPORTS = {"none": False, "probe": False, "answers": True}
WORTH = {"request": False, "work": True}
REQUIRED = object()
# The longest rest between two calls for the list, from the beginning of one to the beginning of the next, in
# times after which one must ask; and at most, of the 6 s after which a change counts as told (docs/node.md).
RENEW_SHARE, RENEW_MOST_MS = 0.2, 2000.0
# Likewise, where changes count as told when they are made, in times within which sends have to stop.
RENEW_PUSHED = 0.375
GRACE_LEAST_MS = 100.0  # that time, where the settings give none or less


class ConfigError(Exception):
    """A configuration that cannot be used."""

    def __init__(self, key: str, value: object, expected: str) -> None:
        shown = "missing" if value is REQUIRED else f"{value!r}"[:80]
        super().__init__(f"{key}: {shown}, expected {expected}")
        self.key = key


@dataclass(frozen=True)
class Deployment:
    """A deployment's settings: the module's part, and what the adapters read of them."""

    settings: Settings
    zones: dict[str, int]
    kinds: dict[str, int]
    types: dict[str, int]
    all_types: dict[str, int]  # those of earlier configurations too
    report_names: dict[str, str]
    keepalive_ms: float
    connect_ms: float
    pushed: bool = False  # discovery's changes count as told when they are made
    grace_ms: float = GRACE_LEAST_MS  # within which sends to a draining server have to stop
    marks_retry: bool = False  # clients mark their retries


@dataclass(frozen=True)
class StoreSettings:
    """Where and how a node keeps its state."""

    folder: str
    sync: (
        str  # durable: on the disk before work goes out; written: with the system, which a killed node needs
    )
    journal_mb: float  # at which the journal is replaced by a snapshot
    wait_ms: float  # how long work waits for the disk
    keys: int = 100000  # of work that may have run; a new one past that is rejected


@dataclass(frozen=True)
class ShadowSettings:
    """Settings of another shape of deployment that a node holds beside its own; None: as its own."""

    reports_in_responses: bool | None
    live_weights: bool | None
    fetch_cost: float | None
    weight_by_size: bool | None
    every_s: float  # how often the counts are logged

    def change(self, settings: Settings) -> Settings:
        """Return a node's settings with those watched in their place."""
        names = ("reports_in_responses", "live_weights", "fetch_cost", "weight_by_size")
        found = {name: getattr(self, name) for name in names}
        return replace(settings, **{name: value for name, value in found.items() if value is not None})


@dataclass(frozen=True)
class ClusterSettings:
    """Which nodes may belong to one fleet, and where each is heard."""

    name: str
    members: dict[str, tuple[str, int]]
    period_ms: float  # in which each looks at one other
    folder: str | None = None  # of the ledger; none: members alone, without versions
    voters: tuple[str, ...] = ()  # on version 1
    lease_ms: float = 0.0  # for how long a proof is good that the version acted on is in force
    strict: bool = False  # without one it leaves service; else it serves on, and its acts are marked
    serve_ms: float = 0.0  # for so long
    local: bool = False  # whether a file of the node's own is let in at SIGHUP
    trusted: bool = False  # whether its network is


@dataclass(frozen=True)
class Config:
    """A real node's configuration."""

    path: str
    in_file: dict[str, Any]  # what the file says where the environment may go before it
    in_force: dict[str, Any]  # what holds there
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    memory_mb: float
    sockets: int
    known: dict[str, Any]
    deployment: Deployment
    shape: dict[str, Any]  # the keys of the file
    settings: dict[str, Any]  # the deployment's, as they are in force, where a fleet has to know
    admin: tuple[str, int] | None = None  # the operators' door, if there is one
    socket_fd: int | None = None  # the clients' listening socket, where the platform hands it on
    folder: str | None = None  # that processes of one node share, with the socket
    store: StoreSettings | None = None
    watch: ShadowSettings | None = None
    fleet: ClusterSettings | None = None
    settings_path: str | None = None


class Table:
    """One object of a configuration, which knows its own key."""

    def __init__(self, values: object, key: str) -> None:
        if not isinstance(values, Mapping):
            raise ConfigError(key or "configuration", values, "an object")
        self.values, self.key = values, key

    def path(self, name: str) -> str:
        """Return an entry's full key."""
        return f"{self.key}.{name}" if self.key else name

    def get(self, name: str, default: object) -> Any:  # noqa: ANN401
        """Return an entry, or its default where it is absent."""
        value = self.values.get(name)
        return default if value is None else value

    def table(self, name: str, default: object = REQUIRED) -> "Table":
        """Return an entry that is an object."""
        return Table(self.get(name, default), self.path(name))

    def tables(self, name: str) -> list["Table"]:
        """Return an entry that is a list of objects."""
        rows = self.get(name, [])
        if not isinstance(rows, list):
            raise ConfigError(self.path(name), rows, "a list")
        return [Table(row, f"{self.path(name)}[{i}]") for i, row in enumerate(rows)]

    def number(self, name: str, default: object = REQUIRED, least: float = 0.0) -> float:
        """Return an entry that is a finite number of at least some size."""
        value = self.get(name, default)
        found = finite(value)
        if found is None or found < least:
            raise ConfigError(self.path(name), value, f"a number of at least {least:g}")
        return found

    def ms(self, name: str, default_ms: object = REQUIRED, least_us: float = 0.0) -> float:
        """Return an entry in microseconds as milliseconds."""
        default = default_ms * 1000.0 if isinstance(default_ms, float) else default_ms
        return self.number(name, default, least_us) / 1000.0

    def flag(self, name: str) -> bool:
        """Return an entry that is true or false; an absent one counts as false."""
        value = self.get(name, False)
        if not isinstance(value, bool):
            raise ConfigError(self.path(name), value, "true or false")
        return value

    def text(self, name: str, default: object = REQUIRED) -> str:
        """Return an entry that is a text and not empty."""
        value = self.get(name, default)
        if not isinstance(value, str) or not value:
            raise ConfigError(self.path(name), value, "a text")
        return value

    def word(self, name: str, table: Mapping[str, Any] | type[Enum], default: object) -> Any:  # noqa: ANN401
        """Return what a word stands for."""
        words = table if isinstance(table, Mapping) else {str(row.value): row for row in table}
        value = self.get(name, default) or default
        if not isinstance(value, str) or value not in words:
            raise ConfigError(self.path(name), value, "one of " + ", ".join(words))
        return words[value]

    def names(self, name: str, before: Mapping[str, int]) -> dict[str, int]:
        """Return a list of names as their places in it."""
        rows = self.get(name, [])
        if not isinstance(rows, list) or not all(isinstance(row, str) for row in rows):
            raise ConfigError(self.path(name), rows, "a list of names")
        return indexed(rows, before)

    def numbers(self, name: str) -> list[float]:
        """Return a list of numbers."""
        rows = self.get(name, [])
        found = [finite(row) for row in rows] if isinstance(rows, list) else [None]
        if None in found:
            raise ConfigError(self.path(name), rows, "a list of numbers")
        return found


def finite(value: object) -> float | None:
    """Return a finite number. Guards against whole numbers that no float holds."""
    try:
        fits = isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)
    except OverflowError:
        return None
    return float(value) if fits else None


def indexed(names: Iterable[str], before: Mapping[str, int]) -> dict[str, int]:
    """Give names dense indices; one that had an index keeps it, so that figures under it stay true."""
    found = dict(before)
    for name in names:
        found.setdefault(name, len(found))
    return found


def deployment_from(
    options: object, key: str = "settings", before: Deployment | None = None, whole: bool = False
) -> Deployment:
    """Turn a deployment's settings into ours; what is missing means what is least generous.

    In whole settings, as a node's file holds them, nothing stands in for what says how work is answered.
    """
    zero, one, least = (REQUIRED, REQUIRED, 1.0) if whole else (0.0, 1, 0.0)
    top = Table(options, key)
    limits, rules = top.table("ceilings", {}), top.table("guarantees", {})
    prices, info = top.table("penalties", {}), top.table("familyInfo", {})
    zones, kinds = (
        top.names(name, getattr(before, of, {})) for name, of in (("dcs", "zones"), ("kinds", "kinds"))
    )
    stretches, class_kinds = info.numbers("classStretch"), info.numbers("classKind")
    rows = top.tables("requestClasses")
    types = [row.text("name") for row in rows]
    all_types = indexed(types, before.all_types if before else {})
    # A request class that is offered no more keeps its index for what is open, and sets no times.
    known = (
        {
            i: replace(t, latency_objective_ms=inf, deadline_ms=inf)
            for i, t in enumerate(before.settings.request_classes)
        }
        if before
        else {}
    )
    for i, row in enumerate(rows):
        objective_run_factor = stretches[i] if i < len(stretches) else row.number("aimStretch", 0.0)
        known[all_types[types[i]]] = RequestClass(
            latency_objective_ms=row.ms("aimUs", zero),
            objective_run_factor=objective_run_factor,
            deadline_ms=row.ms("deadlineUs", zero, least),
            idempotency=row.word("semantics", EFFECTS, REQUIRED if whole else "unsafe"),
            deduplication_scope=row.word("dedupScope", DeduplicationScope, "cell"),
            deduplication_window_ms=row.ms("memorySpanUs", 0.0),
            kind=int(class_kinds[i]) if i < len(class_kinds) else -1,
            priority_weight=row.number("worth", 1.0),
            ordered_by_key=row.flag("oneAtATime"),
        )
    asked, list_max_age_ms = top.get("registryMode", "") == "subscribe", rules.ms("mustAskInUs", 10000.0)
    max_poll_interval_ms = min(RENEW_SHARE * list_max_age_ms, RENEW_MOST_MS)
    grace_ms = max(GRACE_LEAST_MS, rules.ms("stopSendingWithinUs", 0.0))
    settings = Settings(
        request_classes=tuple(known.values()),
        kind_count=len(kinds),
        zone=zones.get(top.text("zone", "none"), -1),
        node_count=max(1, int(top.number("fleetSize", 1))),
        tick_ms=top.ms("tickUs", 1.0),
        max_attempts=int(limits.number("sendCap", one, least)),
        may_probe=limits.flag("mayProbe"),
        may_cancel=limits.flag("cancel"),
        may_hedge=limits.flag("secondCopies"),
        max_retry_after_ms=limits.ms("maxRetryAfterUs", 0.0) if limits.flag("retryAfter") else 0.0,
        subscribes_to_endpoints=asked,
        list_max_age_ms=list_max_age_ms,
        max_poll_interval_ms=max_poll_interval_ms
        if asked
        else min(max_poll_interval_ms, RENEW_PUSHED * grace_ms),
        reports_start=info.flag("tellsStart"),
        progress_period_ms=info.ms("progressUs", 0.0),
        slow_start_initial_share=rules.number("startCapacity", 0.1),
        slow_start_ms=rules.ms("warmWithinUs", 30000.0),
        overload_multiple=rules.number("fallMultiple", 1.0),
        overload_window_ms=rules.ms("tipAfterUs", 1000.0),
        cross_zone_cost=prices.number("crossZone", 0.0),
        reports_in_responses=reports_in_responses(top),
        live_weights=top.word("weights", WEIGHTS, "none"),
        may_gossip=limits.flag("peers"),
        fetch_cost=prices.number("origin", 0.0),
        weight_by_size=top.word("worthBy", WORTH, "request"),
        key_gap_ms=rules.ms("turnGapUs", 0.0),
        only_draining_excludes=rules.flag("drainBindsAlone"),
    )
    return Deployment(
        settings=settings,
        zones=zones,
        kinds=kinds,
        types={name: all_types[name] for name in types},
        all_types=all_types,
        report_names=report_names(info),
        keepalive_ms=limits.ms("keepaliveUs", 10000.0),
        connect_ms=limits.ms("connectTimeoutUs", 250.0),
        pushed=not asked,
        grace_ms=grace_ms,
        marks_retry=top.table("clients", {}).flag("marksRetry"),
    )


def reports_in_responses(top: Table) -> bool:
    """Return whether servers tell their load with answers; then it must be said what they tell."""
    reports = top.table("loadReport", {})
    found = reports.word("how", REPORTS, "probe")
    fields = reports.get("fields", [])
    if not isinstance(fields, list) or not all(isinstance(name, str) for name in fields):
        raise ConfigError(reports.path("fields"), fields, "a list of names")
    if found and not fields:
        raise ConfigError(reports.path("fields"), fields, "one name at least where reports come with answers")
    return found


def report_names(info: Table) -> dict[str, str]:
    """Return which of a load report's names mean which of our figures."""
    names = dict(REPORT_NAMES)
    for extra in ("X0", "X1"):
        if "slot" in str(info.get("report" + extra, "")):
            names[extra.lower()] = "free_slots"
    return names


def address(values: Mapping[str, Any], name: str, env: Mapping[str, str]) -> tuple[str, int]:
    """Take a host and port apart, wherever they come from."""
    value = values[name] or REQUIRED
    found = address_from(value)
    if found is None:
        key = OWN[name] if env.get(OWN[name]) == value else name
        raise ConfigError(key, value, "an address in figures and a port, as 127.0.0.1:8443")
    return found


def address_from(value: object) -> tuple[str, int] | None:
    """Take an address and port apart; names are no addresses, as looking one up would stand in the way."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        host = str(ip_address(host.strip("[]")))
    except ValueError:
        return None
    fits = port.isascii() and port.isdigit() and int(port) < 65536
    return (host, int(port)) if fits else None


def descriptor(value: str | None) -> int | None:
    """Read the number of a descriptor that the process was started with."""
    if not value:
        return None
    if not (value.isascii() and value.isdigit()):
        raise ConfigError(SOCKET, value, "the number of a descriptor")
    return int(value)


def shape_of(values: Mapping[str, Any]) -> dict[str, Any]:
    """Return the keys of a file: of objects within it, and those that all objects of a list have."""
    found: dict[str, Any] = {}
    for key, value in values.items():
        found[key] = None
        if isinstance(value, Mapping):
            found[key] = shape_of(value)
        elif isinstance(value, list) and value and all(isinstance(row, Mapping) for row in value):
            common = set.intersection(*(set(row) for row in value))
            found[key] = [sorted(common)]
    return found


def keep(values: Mapping[str, Any], shape: Mapping[str, Any], path: str = "") -> None:
    """Refuse a file that is short of a key that the one in force has; what servers are listed is free."""
    for key, inner in shape.items():
        at = f"{path}{key}"
        if key not in values:
            raise ConfigError(at, REQUIRED, "what the file in force has")
        value = values[key]
        if at == "known":
            continue
        if isinstance(inner, dict) and isinstance(value, Mapping):
            keep(value, inner, at + ".")
        elif isinstance(inner, list) and isinstance(value, list):
            for i, row in enumerate(value):
                if isinstance(row, Mapping):
                    keep(row, dict.fromkeys(inner[0]), f"{at}[{i}].")


Own = tuple[StoreSettings | None, ShadowSettings | None, ClusterSettings | None]


def own_settings(path: str | None) -> Own:
    """Read the operator's own settings, a table a subsystem; what has no table is off."""
    if path is None:
        return None, None, None
    try:
        values = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(OWN_FILE, path, f"a readable TOML file ({error})") from None
    known = {
        "store": ("folder", "sync", "journal_mb", "wait_ms", "keys"),
        "watch": ("reports", "weights", "fetch_price", "worth_by", "every_s"),
        "fleet": ("name", "members", "period_ms", "trusted", *VERSIONS),
    }
    for name, table in values.items():
        if name not in known:
            raise ConfigError(name, table, "one of " + ", ".join(known))
        for key in Table(table, name).values:
            if key not in known[name]:
                raise ConfigError(f"{name}.{key}", table[key], "one of " + ", ".join(known[name]))
    return store_from(values), watch_from(values), fleet_from(values)


def fleet_from(values: Mapping[str, Any]) -> ClusterSettings | None:
    """Read who belongs to a fleet.

    Nothing that is said there is signed: loopback only, unless the settings say that the network is trusted.
    """
    if "fleet" not in values:
        return None
    fleet = Table(values["fleet"], "fleet")
    trusted = fleet.flag("trusted")
    members = fleet.table("members")
    if not 1 <= len(members.values) <= MEMBERS_MOST:
        raise ConfigError("fleet.members", len(members.values), f"1 to {MEMBERS_MOST} names")
    found: dict[str, tuple[str, int]] = {}
    for name, value in members.values.items():
        key = members.path(name)
        if not 1 <= len(name) <= NAME_MOST:
            raise ConfigError(key, name, f"a name of 1 to {NAME_MOST} characters")
        address = member_address(key, value, trusted)
        if address in found.values():
            raise ConfigError(key, value, "an address of its own")
        found[name] = address
    period_ms = fleet.number("period_ms", 1000.0, least=20.0)
    settings = ClusterSettings(name=fleet.text("name"), members=found, period_ms=period_ms, trusted=trusted)
    return versions_from(fleet, settings)


def member_address(key: str, value: object, trusted: bool) -> tuple[str, int]:
    """Return the address of a member."""
    found = address_from(value)
    if found is None or not found[1]:
        raise ConfigError(key, value, "an IP address and a port")
    if not (trusted or ip_address(found[0]).is_loopback):
        raise ConfigError(key, value, "a loopback address, or trusted = true")
    return found


def versions_from(fleet: Table, settings: ClusterSettings) -> ClusterSettings:
    """Read how a fleet has versions: with a folder for each node's ledger and voters, or not at all."""
    given = [key for key in VERSIONS if key in fleet.values]
    if not given:
        return settings
    for key in ("folder", "voters"):
        if key not in given:
            raise ConfigError(fleet.path(key), REQUIRED, f"it together with {given[0]}")
    voters = fleet.get("voters", [])
    if not isinstance(voters, list) or not all(isinstance(name, str) for name in voters):
        raise ConfigError(fleet.path("voters"), voters, "a list of members' names")
    # Imported here: a node of a fleet without versions needs nothing of it.
    from marlseam.cluster.replication.content import voters_fit

    wrong = voters_fit(voters, frozenset(settings.members))
    if wrong:
        raise ConfigError(fleet.path("voters"), voters, f"3, 5 or 7 different members, or all ({wrong})")
    period_ms = settings.period_ms
    lease_ms = fleet.number("lease_ms", LEASE_PERIODS * period_ms, least=LEASE_LEAST * period_ms)
    return replace(
        settings,
        folder=fleet.text("folder"),
        voters=tuple(voters),
        lease_ms=lease_ms,
        strict=fleet.word("past_lease", {"serve": False, "strict": True}, "serve"),
        serve_ms=fleet.number("serve_ms", SERVE_LEASES * lease_ms, least=lease_ms),
        local=fleet.word("local", {"refuse": False, "allow": True}, "refuse"),
    )


def watch_from(values: Mapping[str, Any]) -> ShadowSettings | None:
    """Read which settings of another shape are to be watched: one at least, or there is nothing to tell."""
    if "watch" not in values:
        return None
    watch = Table(values["watch"], "watch")
    if not set(watch.values) - {"every_s"}:
        raise ConfigError("watch", watch.values, "one at least of reports, weights, fetch_price, worth_by")
    return ShadowSettings(
        reports_in_responses=watch.word("reports", REPORTS, "probe") if "reports" in watch.values else None,
        live_weights=watch.word("weights", WEIGHTS, "none") if "weights" in watch.values else None,
        fetch_cost=watch.number("fetch_price") if "fetch_price" in watch.values else None,
        weight_by_size=watch.word("worth_by", WORTH, "request") if "worth_by" in watch.values else None,
        every_s=watch.number("every_s", 60.0, least=1.0),
    )


def store_from(values: Mapping[str, Any]) -> StoreSettings | None:
    """Read where and how a node keeps its state."""
    if "store" not in values:
        return None
    store = Table(values["store"], "store")
    sync = {"durable": "durable", "written": "written"}
    return StoreSettings(
        folder=store.text("folder"),
        sync=store.word("sync", sync, "durable"),
        journal_mb=store.number("journal_mb", 8.0, least=0.01),
        wait_ms=store.number("wait_ms", 200.0),
        keys=int(store.number("keys", 100000, least=1.0)),
    )


def offered(settings: Table) -> None:
    """Refuse settings without request classes."""
    if not settings.tables("requestClasses"):
        raise ConfigError("settings.requestClasses", [], "one project type at least")


def with_settings(config: Config, settings: Mapping[str, Any]) -> Config:
    """Return a node's configuration with a fleet's settings in place of its file's, but for its own zone."""
    whole = {**settings, **{key: config.settings[key] for key in ("zone",) if key in config.settings}}
    offered(Table(whole, "settings"))
    deployment = deployment_from(whole, before=config.deployment, whole=True)
    return replace(config, deployment=deployment, settings=whole)


def load(
    path: str | None,
    env: Mapping[str, str] = os.environ,
    before: Config | None = None,
    own: str | None = None,
) -> Config:
    """Read a node's configuration from its file; at the start the environment's own variables go before it.

    In service the file has the last word: what it newly says holds, and the rest stays as it was before. The
    environment cannot follow a change, and would keep a node at an address that is no more.
    """
    path = path or env.get(FILE)
    if not path:
        raise ConfigError(FILE, REQUIRED, "the configuration file's path, here or as an option")
    try:
        values = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(FILE, path, f"a readable JSON file ({error})") from None
    top = Table(values, "")
    limits = top.table("limits", {})
    seed = top.text("seed", "0")
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError("seed", seed, "a hexadecimal number") from None
    own = own or env.get(OWN_FILE) or (before.settings_path if before else None)
    store, watch, fleet = own_settings(own)
    settings = top.table("settings")
    if before is not None:
        keep(values, before.shape)
    offered(settings)
    in_file = {"name": top.text("name", "node")} | {
        key: top.get(key, None) for key in ("listen", "discovery", "admin")
    }
    in_force = {key: env.get(variable) or in_file[key] for key, variable in OWN.items()}
    if before is not None:
        in_force = {
            key: in_file[key] if in_file[key] != before.in_file[key] else before.in_force[key] for key in OWN
        }
    if fleet is not None and in_force["name"] not in fleet.members:
        expected = f"this node's name, {in_force['name']}, among them"
        raise ConfigError("fleet.members", sorted(fleet.members), expected)
    return Config(
        path=path,
        in_file=in_file,
        in_force=in_force,
        name=in_force["name"],
        listen=address(in_force, "listen", env),
        discovery=address(in_force, "discovery", env),
        seed=number,
        memory_mb=limits.number("memory_mb", 192.0, least=1.0),
        sockets=int(limits.number("sockets", 1024.0, least=1.0)),
        known=dict(top.table("known", {}).values),
        deployment=deployment_from(settings.values, before=before.deployment if before else None, whole=True),
        shape=shape_of(values),
        settings=dict(settings.values) if fleet is not None else {},
        admin=address(in_force, "admin", env) if in_force["admin"] else None,
        socket_fd=before.socket_fd if before is not None else descriptor(env.get(SOCKET)),
        folder=before.folder if before is not None else env.get(FOLDER),
        store=store,
        watch=watch,
        fleet=fleet,
        settings_path=own,
    )
