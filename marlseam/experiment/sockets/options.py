"""Options of the sockets driver: its processes, and the configuration and hooks of its nodes."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple


class NodeConfiguration(NamedTuple):
    """The configuration of one node in addition to the day's settings.

    Attributes:
        configuration: keys added to or replaced in the node's configuration file.
        operator_settings: the node's operator settings as TOML, see `SocketOptions.operator_settings`.
    """

    configuration: dict[str, Any]
    operator_settings: str


def _default_module(_: str) -> str:
    """Return the module that nodes run as by default."""
    return "marlseam"


def _default_environment(_: str) -> dict[str, str]:
    """Return the environment variables added for nodes by default: none."""
    return {}


@dataclass(frozen=True)
class SocketOptions:
    """Options of a run of the sockets driver. All functions are called with a node's name.

    Attributes:
        generator_count: the number of load generator processes.
        connection_count: the number of connections per generator; 0 for as many as it needs.
        uses_network: whether a process simulates the network between nodes and servers; None: if there are
            several zones, or a fault affects the links of a zone.
        server_process_count: the number of processes that the servers are distributed over.
        profile: the file that the nodes' profile is written to, None to run without a profiler.
        operator_settings: the operator settings of all nodes as TOML, in which `{folder}` stands for the
            node's state directory; empty for none.
        before_first_start: called before a node's first start, also with the addresses of the servers.
        before_restart: called before each further start of a node, except upgrades.
        node_module: returns the module that a node runs as.
        node_environment: returns variables that are added to a node's environment.
        node_configuration: returns the additional configuration and the operator settings of one node; None
            if all nodes have the same.
        inherits_sockets: whether nodes inherit their listening socket, so that a later process of a node
            can take over from an earlier one.
    """

    generator_count: int = 1
    connection_count: int = 0
    uses_network: bool | None = None
    server_process_count: int = 1
    profile: Path | None = None
    operator_settings: str = ""
    before_first_start: Callable[[str, dict[str, str]], None] | None = None
    before_restart: Callable[[str], None] | None = None
    node_module: Callable[[str], str] = _default_module
    node_environment: Callable[[str], dict[str, str]] = _default_environment
    node_configuration: Callable[[str], NodeConfiguration] | None = None
    inherits_sockets: bool = False
