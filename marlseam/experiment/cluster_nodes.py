"""The nodes of a cluster under test: their configuration, ledgers and addresses for operators."""

import json
import shutil
import socket
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from marlseam.emulators import clocks
from marlseam.experiment.cluster_faults import CLUSTER_NAME
from marlseam.experiment.cluster_relay import DatagramRelay
from marlseam.experiment.cluster_tables import ClusterTable, FaultKind
from marlseam.experiment.sockets import NodeConfiguration
from marlseam.store.ledger_writer import create_ledger

WALL_CLOCK_STEP_MS = 3.6e6  # by which the wall clock of a node with wrong clocks is off, and off again


class ClusterNodes:
    """What the driver of a run is to know of each node.

    Attributes:
        names: of the nodes.
        admin_addresses: for operators, by node.
        fault_counts: how many faults have been injected into each node.
        ledger_faults: for nodes that are away, OLD or LOST: what their ledger is to be when they start again.
    """

    def __init__(self, names: Sequence[str], table: ClusterTable, relay: DatagramRelay, out: Path) -> None:
        """Reserve an address for operators for each node."""
        self.names, self._table, self._relay, self._out = names, table, relay, out
        self._reserved_sockets: list[socket.socket] = []
        self.admin_addresses = {name: self._reserve_address() for name in names}
        self.fault_counts: Counter[str] = Counter()
        self.ledger_faults: dict[str, FaultKind] = {}

    def _reserve_address(self) -> str:
        """Return an address, held by a socket that does not listen while its node is away."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        self._reserved_sockets.append(reserved)
        return "{}:{}".format(*reserved.getsockname())

    def renew_admin_address(self, name: str) -> None:
        """Give a node's later process an address of its own, as the earlier one still has the old one."""
        self.admin_addresses[name] = self._reserve_address()

    def close(self) -> None:
        """Close the sockets that hold addresses."""
        for reserved in self._reserved_sockets:
            reserved.close()

    def ledger(self, name: str) -> Path:
        """Return where a node's ledger is."""
        return self._out / "ledgers" / name

    def _ledger_copy(self, name: str) -> Path:
        return self._out / "ledgers" / f"{name}.copy"

    def create_ledger(self, name: str, _server_addresses: dict[str, str]) -> None:
        """Make a node's ledger, before its first start."""
        if self._table.voters:
            shutil.rmtree(self.ledger(name), ignore_errors=True)
            create_ledger(self.ledger(name), name)

    def copy_ledger(self, name: str) -> None:
        """Copy a node's ledger as it is now."""
        shutil.copytree(self.ledger(name), self._ledger_copy(name), dirs_exist_ok=True)

    def apply_ledger_fault(self, name: str) -> None:
        """Set a node's ledger back to its copy, or lose it, before the node starts again."""
        fault = self.ledger_faults.pop(name, None)
        if fault is not None:
            shutil.rmtree(self.ledger(name))
        if fault is FaultKind.OLD:
            shutil.copytree(self._ledger_copy(name), self.ledger(name))

    def module(self, name: str) -> str:
        """Return the Python module that a node runs as."""
        if name in self._table.older:
            return "marlseam.emulators.older"
        return "marlseam.emulators.clocks" if name in self._table.clocks else "marlseam"

    def environment(self, name: str) -> dict[str, str]:
        """Return the environment variables of a node: for one with wrong clocks, how wrong they are.

        Its wall clock is an hour ahead and an hour behind in turn, from start to start.
        """
        rate = self._table.clocks.get(name)
        if rate is None:
            return {}
        step_ms = WALL_CLOCK_STEP_MS * (-1) ** self.fault_counts[name]
        return {clocks.CLOCKS_VARIABLE: f"{rate} {step_ms}"}

    def settings(self, name: str) -> NodeConfiguration:
        """Return what is added to a node's configuration, and its operators' settings as TOML."""
        own = f'[fleet]\nname = "{CLUSTER_NAME}"\nperiod_ms = {self._table.period_ms:g}\n'
        if self._table.voters:
            own += f'folder = "{self.ledger(name)}"\nvoters = {json.dumps(self._table.voters)}\n'
            own += f'lease_ms = {self._table.lease_ms:g}\npast_lease = "{self._table.past_lease}"\n'
        members = "\n".join(self._member_lines(name))
        configuration = {"admin": self.admin_addresses[name]}
        return NodeConfiguration(configuration, f"{own}[fleet.members]\n{members}\n")

    def _member_lines(self, name: str) -> list[str]:
        """Return the members' addresses as one node reaches them: its own, and the relay's for the others."""
        lines = [f'{name} = "{self._relay.node_addresses[name]}"']
        others = [other for other in self.names if other != name]
        return lines + [f'{other} = "{self._relay.address(name, other)}"' for other in others]
