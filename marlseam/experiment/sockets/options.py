"""How the sockets driver runs a day, and what it does with its nodes."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple


class NodeConfiguration(NamedTuple):
    """What one node's configuration has beside the day's settings.

    Attributes:
        configuration: keys of its configuration file.
        operator_settings: its operator settings as TOML, see `SocketOptions.operator_settings`.
    """

    configuration: dict[str, Any]
    operator_settings: str


def _default_module(_: str) -> str:
    """Return the module that a node runs as."""
    return "marlseam"


def _default_environment(_: str) -> dict[str, str]:
    """Return the variables of a node's environment: none."""
    return {}


@dataclass(frozen=True)
class SocketOptions:
    """How the sockets driver runs a day. Functions are called with a node's name.

    Attributes:
        generator_count: how many processes generate load.
        connection_count: how many connections each of them has; 0 for as many as it needs.
        uses_network: whether a process simulates the network between nodes and servers; None: where zones
            are cut, or where there are several.
        server_process_count: how many processes the servers are spread over.
        profile: where the nodes' profile goes, None for none.
        operator_settings: the operator settings of all nodes as TOML, in which `{folder}` stands for the
            node's state directory; empty for none.
        before_first_start: called before a node's first start, with the addresses of the servers.
        before_restart: called before each further start of a node.
        node_module: returns the module that a node runs as.
        node_environment: returns variables that are added to a node's environment.
        node_configuration: returns a node's own configuration and operator settings, None for those of all.
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
