"""Loads a real node's configuration from its JSON file, environment variables and the operator settings."""

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, NamedTuple

from marlseam.configuration.addresses import address_from
from marlseam.configuration.deployment import Deployment, deployment_from, require_request_classes
from marlseam.configuration.errors import REQUIRED, ConfigError
from marlseam.configuration.operator_settings import (
    SETTINGS_VARIABLE,
    ClusterSettings,
    OperatorSettings,
    ShadowSettings,
    StoreSettings,
    operator_settings,
)
from marlseam.configuration.table import ConfigTable

FILE_VARIABLE = "EDGE_CONFIG"
SOCKET_VARIABLE = "EDGE_SOCKET_FD"
FOLDER_VARIABLE = "TMPDIR"
# Entries of the file that an environment variable overrides when the process starts.
VARIABLES = {
    "name": "EDGE_NAME",
    "listen": "EDGE_LISTEN",
    "discovery": "EDGE_DISCOVERY",
    "admin": "EDGE_ADMIN",
}


@dataclass(frozen=True)
class Config:
    """A real node's configuration.

    Attributes:
        path: path of the node's file.
        in_file: the file's values of the entries that environment variables can override.
        in_force: the values of these entries that the node uses.
        name: name of the node.
        listen, discovery, admin: IP addresses and ports; admin is None if no admin address is
            configured.
        seed: seed of the node's random source.
        memory_mb, sockets: limits of the process: memory in MB and the number of sockets.
        known: the initial endpoint list, in discovery's format.
        deployment: the parsed settings of the deployment.
        shape: the keys of the file, all of which a reloaded file must have.
        settings: the deployment's settings in force as JSON values; empty without a cluster.
        socket_fd: descriptor of the inherited listening socket for clients; None where there is none.
        folder: directory shared by the processes of one node, for their handover sockets.
        store, shadow, cluster: operator settings of store, shadow policy and cluster; None where off.
        settings_path: path of the operator settings file.
    """

    path: str
    in_file: dict[str, Any]
    in_force: dict[str, Any]
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    memory_mb: float
    sockets: int
    known: dict[str, Any]
    deployment: Deployment
    shape: dict[str, Any]
    settings: dict[str, Any]
    admin: tuple[str, int] | None = None
    socket_fd: int | None = None
    folder: str | None = None
    store: StoreSettings | None = None
    shadow: ShadowSettings | None = None
    cluster: ClusterSettings | None = None
    settings_path: str | None = None


class Sources(NamedTuple):
    """The inputs of a configuration, after the check for missing entries.

    Attributes:
        path: path of the node's file.
        top: the file's outermost object.
        seed: seed of the node's random source.
        operator: the operator settings.
        operator_path: path of the operator settings file; None without one.
        in_file, in_force: as in Config.
    """

    path: str
    top: ConfigTable
    seed: int
    operator: OperatorSettings
    operator_path: str | None
    in_file: dict[str, Any]
    in_force: dict[str, Any]


def load(
    path: str | None,
    env: Mapping[str, str] = os.environ,
    before: Config | None = None,
    operator_settings_path: str | None = None,
) -> Config:
    """Load a node's configuration.

    `before` is the configuration in force, `operator_settings_path` the path of the operator settings.

    At the start of a process, environment variables override the file; on a reload, changed entries of the
    file override them (see `values_in_force`). Raises ConfigError.
    """
    sources = read_sources(path, env, before, operator_settings_path)
    top, operator, in_force = sources.top, sources.operator, sources.in_force
    limits, settings = top.table("limits", {}), top.table("settings").values
    return Config(
        path=sources.path,
        in_file=sources.in_file,
        in_force=in_force,
        name=in_force["name"],
        listen=address(in_force, "listen", env),
        discovery=address(in_force, "discovery", env),
        seed=sources.seed,
        memory_mb=limits.number("memory_mb", 192.0, minimum=1.0),
        sockets=int(limits.number("sockets", 1024.0, minimum=1.0)),
        known=dict(top.table("known", {}).values),
        deployment=deployment_from(settings, before=before.deployment if before else None, is_complete=True),
        shape=shape_of(top.values),
        settings=dict(settings) if operator.cluster is not None else {},
        admin=address(in_force, "admin", env) if in_force["admin"] else None,
        socket_fd=before.socket_fd if before is not None else descriptor(env.get(SOCKET_VARIABLE)),
        folder=before.folder if before is not None else env.get(FOLDER_VARIABLE),
        store=operator.store,
        shadow=operator.shadow,
        cluster=operator.cluster,
        settings_path=sources.operator_path,
    )


def read_sources(
    path: str | None, env: Mapping[str, str], before: Config | None, operator_settings_path: str | None
) -> Sources:
    """Read the node's file and the operator settings; raises ConfigError."""
    path = path or env.get(FILE_VARIABLE)
    top = ConfigTable(read_file(path), "")
    top.table("limits", {})
    seed = seed_from(top)
    operator_path = (
        operator_settings_path or env.get(SETTINGS_VARIABLE) or (before.settings_path if before else None)
    )
    operator = operator_settings(operator_path)
    settings = top.table("settings")
    if before is not None:
        require_keys(top.values, before.shape)
    require_request_classes(settings.values)
    in_file = values_in_file(top)
    in_force = values_in_force(in_file, env, before)
    require_membership(operator, in_force["name"])
    return Sources(str(path), top, seed, operator, operator_path, in_file, in_force)


def with_settings(config: Config, settings: Mapping[str, Any]) -> Config:
    """Return a configuration with the cluster's settings in place of its file's, except for the zone."""
    merged = {**settings, **{key: config.settings[key] for key in ("zone",) if key in config.settings}}
    require_request_classes(merged)
    deployment = deployment_from(merged, before=config.deployment, is_complete=True)
    return replace(config, deployment=deployment, settings=merged)


def read_file(path: str | None) -> object:
    """Parse the node's file; raises ConfigError without a path or if the file is not readable JSON."""
    if not path:
        raise ConfigError(
            FILE_VARIABLE, REQUIRED, "the path of the configuration file, in this variable or as an option"
        )
    try:
        return json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(FILE_VARIABLE, path, f"a readable JSON file ({error})") from None


def seed_from(top: ConfigTable) -> int:
    """Read the seed of the node's random source, a hexadecimal number."""
    seed = top.text("seed", "0")
    try:
        return int(seed, 16)
    except ValueError:
        raise ConfigError("seed", seed, "a hexadecimal number") from None


def values_in_file(top: ConfigTable) -> dict[str, Any]:
    """Return the file's values of the entries that environment variables can override."""
    return {"name": top.text("name", "node")} | {
        key: top.get(key, None) for key in ("listen", "discovery", "admin")
    }


def values_in_force(
    in_file: Mapping[str, Any], env: Mapping[str, str], before: Config | None
) -> dict[str, Any]:
    """Return the values in force of the entries that environment variables can override.

    On a reload, an entry that changed in the file takes the file's value, and the others stay as they were:
    environment variables cannot change in a running process, and would keep the node at an address that is
    no longer valid.
    """
    if before is None:
        return {key: env.get(variable) or in_file[key] for key, variable in VARIABLES.items()}
    return {
        key: in_file[key] if in_file[key] != before.in_file[key] else before.in_force[key]
        for key in VARIABLES
    }


def require_membership(operator: OperatorSettings, name: str) -> None:
    """Raise ConfigError if a node is not among the members of its own cluster."""
    cluster = operator.cluster
    if cluster is not None and name not in cluster.members:
        expected = f"a table that includes this node's name, {name}"
        raise ConfigError("fleet.members", sorted(cluster.members), expected)


def address(values: Mapping[str, Any], name: str, env: Mapping[str, str]) -> tuple[str, int]:
    """Parse the address of an entry; an error names the environment variable if the value came from it."""
    value = values[name] or REQUIRED
    parsed = address_from(value)
    if parsed is None:
        variable = VARIABLES[name]
        key = variable if env.get(variable) == value else name
        raise ConfigError(key, value, "an IP address and a port, such as 127.0.0.1:8443")
    return parsed


def descriptor(value: str | None) -> int | None:
    """Parse the number of an inherited descriptor; None without one."""
    if not value:
        return None
    if not (value.isascii() and value.isdigit()):
        raise ConfigError(SOCKET_VARIABLE, value, "a descriptor number")
    return int(value)


class RowKeys(NamedTuple):
    """The keys of a list of objects.

    Attributes:
        common: the keys that all objects have.
        by_name: the keys of each object that has a name.
    """

    common: frozenset[str]
    by_name: dict[str, frozenset[str]]

    def required_of(self, row: Mapping[str, Any]) -> list[str]:
        """Return the keys that an object must have: the common ones, and those of its namesake."""
        return sorted(self.common | self.by_name.get(str(row.get("name")), frozenset()))


def row_keys_of(rows: list[Mapping[str, Any]]) -> RowKeys:
    """Return the keys of a list of objects, which is not empty."""
    by_name = {str(row["name"]): frozenset(row) for row in rows if "name" in row}
    return RowKeys(frozenset.intersection(*(frozenset(row) for row in rows)), by_name)


def shape_of(values: Mapping[str, Any]) -> dict[str, Any]:
    """Return the keys of a file: nested for objects, and as `RowKeys` for a list of objects."""
    shape: dict[str, Any] = {}
    for key, value in values.items():
        shape[key] = None
        if isinstance(value, Mapping):
            shape[key] = shape_of(value)
        elif isinstance(value, list) and value and all(isinstance(row, Mapping) for row in value):
            shape[key] = row_keys_of(value)
    return shape


def require_keys(values: Mapping[str, Any], shape: Mapping[str, Any], path: str = "") -> None:
    """Raise ConfigError if a file lacks a key of the file in force; the servers in `known` are not checked.

    Guards a running node against a truncated file.
    """
    for key, inner in shape.items():
        full_key = f"{path}{key}"
        if key not in values:
            raise ConfigError(full_key, REQUIRED, "an entry, as the file in force has one")
        value = values[key]
        if full_key == "known":
            continue
        if isinstance(inner, dict) and isinstance(value, Mapping):
            require_keys(value, inner, full_key + ".")
        elif isinstance(inner, RowKeys) and isinstance(value, list):
            for i, row in enumerate(value):
                if isinstance(row, Mapping):
                    require_keys(row, dict.fromkeys(inner.required_of(row)), f"{full_key}[{i}].")
