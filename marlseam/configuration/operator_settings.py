"""The operator settings: a TOML file with one table per subsystem; a subsystem without a table is off.

The tables are `store`, `watch` (the shadow policy) and `fleet` (the cluster). Their names and keys are those
of the operators; this module alone maps them to the terms of the code.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, NamedTuple

from marlseam.configuration.addresses import member_address
from marlseam.configuration.deployment import LIVE_WEIGHTS, REPORTS_IN_RESPONSES, WEIGHT_BY_SIZE
from marlseam.configuration.errors import REQUIRED, ConfigError
from marlseam.configuration.table import ConfigTable
from marlseam.decisions.types import Settings
from marlseam.shared_limits import MAX_MEMBERS

SETTINGS_VARIABLE = "MARLSEAM_SETTINGS"
MAX_NAME_CHARACTERS = 64  # of a member's name
MIN_PERIOD_MS = 20.0  # of the protocol period, in which each member pings one other
DEFAULT_PERIOD_MS = 1000.0  # of the protocol period
DEFAULT_LEASE_PERIODS = 15.0  # of a lease, in protocol periods
MIN_LEASE_PERIODS = 6.0  # of a lease, in protocol periods
DEFAULT_SERVE_LEASES = 100.0  # for how long a node stays in service without a proof, in leases
VERSION_KEYS = ("folder", "voters", "lease_ms", "past_lease", "serve_ms", "local")
KNOWN_KEYS = {
    "store": ("folder", "sync", "journal_mb", "wait_ms", "keys"),
    "watch": ("reports", "weights", "fetch_price", "worth_by", "every_s"),
    "fleet": ("name", "members", "period_ms", "trusted", *VERSION_KEYS),
}


@dataclass(frozen=True)
class StoreSettings:
    """Where and how a node stores its state.

    Attributes:
        folder: the state directory.
        sync: `durable`: records are on the disk before a request is sent; `written`: they are with the
            operating system, and survive a killed node but not a crash of the machine.
        journal_mb: size in MB at which the journal is replaced by a snapshot.
        wait_ms: how long a request waits at most for its record to become durable.
        keys: maximum number of recorded idempotency keys; a request with a further key is rejected.
    """

    folder: str
    sync: str
    journal_mb: float
    wait_ms: float
    keys: int = 100000


@dataclass(frozen=True)
class ShadowSettings:
    """Settings in which the shadow policy differs from its node; None: as the node's.

    Attributes:
        reports_in_responses, live_weights, fetch_cost, weight_by_size: as in `Settings`.
        every_s: interval in s at which the counts are logged.
    """

    reports_in_responses: bool | None
    live_weights: bool | None
    fetch_cost: float | None
    weight_by_size: bool | None
    every_s: float

    def change(self, settings: Settings) -> Settings:
        """Return the node's settings with those of the shadow policy that are not None in their place."""
        names = ("reports_in_responses", "live_weights", "fetch_cost", "weight_by_size")
        values = {name: getattr(self, name) for name in names}
        return replace(settings, **{name: value for name, value in values.items() if value is not None})


@dataclass(frozen=True)
class ClusterSettings:
    """Which nodes may belong to one cluster, and how it agrees on configuration versions.

    Attributes:
        name: name of the cluster.
        members: address by member name.
        period_ms: the protocol period, in which each member pings one other.
        folder: directory of this node's ledger; None: membership only, without configuration versions.
        voters: names of the members that vote on version 1.
        lease_ms: how long a proof is valid that the version acted on is in force.
        strict: whether a node without a valid proof goes out of service; if not, it stays in service and
            marks its actions.
        serve_ms: how long a node without a valid proof stays in service where `strict` is not set.
        local: whether SIGHUP applies a changed configuration file of the node itself.
        trusted: whether the network between the members is trusted.
    """

    name: str
    members: dict[str, tuple[str, int]]
    period_ms: float
    folder: str | None = None
    voters: tuple[str, ...] = ()
    lease_ms: float = 0.0
    strict: bool = False
    serve_ms: float = 0.0
    local: bool = False
    trusted: bool = False


class OperatorSettings(NamedTuple):
    """The settings of each subsystem; None for one that is off."""

    store: StoreSettings | None = None
    shadow: ShadowSettings | None = None
    cluster: ClusterSettings | None = None


def operator_settings(path: str | None) -> OperatorSettings:
    """Read the operator settings; without a path all subsystems are off.

    Raises ConfigError if the file cannot be read, or with the key at fault.
    """
    if path is None:
        return OperatorSettings()
    import tomllib  # here, as a node without operator settings does not use it

    try:
        values = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(SETTINGS_VARIABLE, path, f"a readable TOML file ({error})") from None
    for name, table in values.items():
        if name not in KNOWN_KEYS:
            raise ConfigError(name, table, "one of " + ", ".join(KNOWN_KEYS))
        for key in ConfigTable(table, name).values:
            if key not in KNOWN_KEYS[name]:
                raise ConfigError(f"{name}.{key}", table[key], "one of " + ", ".join(KNOWN_KEYS[name]))
    return OperatorSettings(store_settings(values), shadow_settings(values), cluster_settings(values))


def store_settings(values: Mapping[str, Any]) -> StoreSettings | None:
    """Read where and how a node stores its state; None without the table `store`."""
    if "store" not in values:
        return None
    store = ConfigTable(values["store"], "store")
    return StoreSettings(
        folder=store.text("folder"),
        sync=store.choice("sync", {"durable": "durable", "written": "written"}, "durable"),
        journal_mb=store.number("journal_mb", 8.0, minimum=0.01),
        wait_ms=store.number("wait_ms", 200.0),
        keys=int(store.number("keys", 100000, minimum=1.0)),
    )


def shadow_settings(values: Mapping[str, Any]) -> ShadowSettings | None:
    """Read the shadow policy's own settings, of which there must be one; None without the table `watch`."""
    if "watch" not in values:
        return None
    watch = ConfigTable(values["watch"], "watch")
    if not set(watch.values) - {"every_s"}:
        raise ConfigError("watch", watch.values, "at least one of reports, weights, fetch_price, worth_by")

    def choice(key: str, meanings: Mapping[str, bool], default: str) -> bool | None:
        return watch.choice(key, meanings, default) if key in watch.values else None

    return ShadowSettings(
        reports_in_responses=choice("reports", REPORTS_IN_RESPONSES, "probe"),
        live_weights=choice("weights", LIVE_WEIGHTS, "none"),
        fetch_cost=watch.number("fetch_price") if "fetch_price" in watch.values else None,
        weight_by_size=choice("worth_by", WEIGHT_BY_SIZE, "request"),
        every_s=watch.number("every_s", 60.0, minimum=1.0),
    )


def cluster_settings(values: Mapping[str, Any]) -> ClusterSettings | None:
    """Read a cluster's members and settings of configuration versions; None without the table `fleet`."""
    if "fleet" not in values:
        return None
    cluster = ConfigTable(values["fleet"], "fleet")
    trusted = cluster.flag("trusted")
    members = cluster_members(cluster.table("members"), trusted)
    period_ms = cluster.number("period_ms", DEFAULT_PERIOD_MS, minimum=MIN_PERIOD_MS)
    settings = ClusterSettings(
        name=cluster.text("name"), members=members, period_ms=period_ms, trusted=trusted
    )
    return with_versions(cluster, settings)


def cluster_members(table: ConfigTable, trusted: bool) -> dict[str, tuple[str, int]]:
    """Read the members of a cluster: address by name, no address twice."""
    if not 1 <= len(table.values) <= MAX_MEMBERS:
        raise ConfigError("fleet.members", len(table.values), f"1 to {MAX_MEMBERS} names")
    members: dict[str, tuple[str, int]] = {}
    for name, value in table.values.items():
        key = table.path(name)
        if not 1 <= len(name) <= MAX_NAME_CHARACTERS:
            raise ConfigError(key, name, f"a name of 1 to {MAX_NAME_CHARACTERS} characters")
        address = member_address(key, value, trusted)
        if address in members.values():
            raise ConfigError(key, value, "an address that no other member has")
        members[name] = address
    return members


def with_versions(cluster: ConfigTable, settings: ClusterSettings) -> ClusterSettings:
    """Read the settings of configuration versions, which require the ledger's folder and the voters."""
    given = [key for key in VERSION_KEYS if key in cluster.values]
    if not given:
        return settings
    for key in ("folder", "voters"):
        if key not in given:
            raise ConfigError(
                cluster.path(key), REQUIRED, f"an entry, as is required together with {given[0]}"
            )
    voters = cluster.get("voters", [])
    if not isinstance(voters, list) or not all(isinstance(name, str) for name in voters):
        raise ConfigError(cluster.path("voters"), voters, "a list of member names")
    # Imported here, as a node of a cluster without versions does not use the module.
    from marlseam.cluster.replication.content import voters_fault

    fault = voters_fault(voters, frozenset(settings.members))
    if fault:
        raise ConfigError(cluster.path("voters"), voters, f"3, 5 or 7 different members, or all ({fault})")
    period_ms = settings.period_ms
    lease_ms = cluster.number(
        "lease_ms", DEFAULT_LEASE_PERIODS * period_ms, minimum=MIN_LEASE_PERIODS * period_ms
    )
    return replace(
        settings,
        folder=cluster.text("folder"),
        voters=tuple(voters),
        lease_ms=lease_ms,
        strict=cluster.choice("past_lease", {"serve": False, "strict": True}, "serve"),
        serve_ms=cluster.number("serve_ms", DEFAULT_SERVE_LEASES * lease_ms, minimum=lease_ms),
        local=cluster.choice("local", {"refuse": False, "allow": True}, "refuse"),
    )
