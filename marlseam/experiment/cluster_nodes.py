"""The nodes of a cluster under test: their configuration, ledgers and admin addresses."""

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

WALL_CLOCK_OFFSET_MS = 3.6e6  # how far the wall clock of a node with wrong clocks is ahead or behind


class ClusterNodes:
    """Provides the driver of a run with the settings, ledgers and environment of each node.

    Attributes:
        names: the nodes' names.
        admin_addresses: the admin addresses (`HOST:PORT`) by node.
        fault_counts: how many faults have been injected into each node.
        ledger_faults: OLD or LOST for each killed node whose ledger is to be reset before its next start.
    """

    def __init__(self, names: Sequence[str], table: ClusterTable, relay: DatagramRelay, out: Path) -> None:
        """Reserve an admin address for each node; ledgers are created below `out`."""
        self.names, self._table, self._relay, self._out = names, table, relay, out
        self._reserved_sockets: list[socket.socket] = []
        self.admin_addresses = {name: self._reserve_address() for name in names}
        self.fault_counts: Counter[str] = Counter()
        self.ledger_faults: dict[str, FaultKind] = {}

    def _reserve_address(self) -> str:
        """Return a free loopback address, reserved by a bound socket that does not listen.

        Guards against another process taking the port while the node is down.
        """
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        self._reserved_sockets.append(reserved)
        return "{}:{}".format(*reserved.getsockname())

    def renew_admin_address(self, name: str) -> None:
        """Reserve a new admin address for a node's next process, as the running one still uses the old."""
        self.admin_addresses[name] = self._reserve_address()

    def close(self) -> None:
        """Close the sockets that reserve admin addresses."""
        for reserved in self._reserved_sockets:
            reserved.close()

    def ledger(self, name: str) -> Path:
        """Return the path of a node's ledger."""
        return self._out / "ledgers" / name

    def _ledger_copy(self, name: str) -> Path:
        return self._out / "ledgers" / f"{name}.copy"

    def create_ledger(self, name: str, _server_addresses: dict[str, str]) -> None:
        """Create an empty ledger for a node before its first start, if the cluster has voters."""
        if self._table.voters:
            shutil.rmtree(self.ledger(name), ignore_errors=True)
            create_ledger(self.ledger(name), name)

    def copy_ledger(self, name: str) -> None:
        """Copy a node's ledger in its present state, for a later fault OLD."""
        shutil.copytree(self.ledger(name), self._ledger_copy(name), dirs_exist_ok=True)

    def apply_ledger_fault(self, name: str) -> None:
        """Before a node restarts, restore its ledger from the copy (OLD) or delete the ledger (LOST)."""
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
        """Return the variables that are added to a node's environment: its clock error, empty if it has none.

        The wall clock of a node with wrong clocks is an hour ahead after an even number of its faults, and an
        hour behind after an odd number, so that it jumps from one start to the next.
        """
        rate = self._table.clocks.get(name)
        if rate is None:
            return {}
        offset_ms = WALL_CLOCK_OFFSET_MS * (-1) ** self.fault_counts[name]
        return {clocks.CLOCKS_VARIABLE: f"{rate} {offset_ms}"}

    def settings(self, name: str) -> NodeConfiguration:
        """Return the keys that are added to a node's configuration, and its operator settings as TOML."""
        cluster = f'[fleet]\nname = "{CLUSTER_NAME}"\nperiod_ms = {self._table.period_ms:g}\n'
        if self._table.voters:
            cluster += f'folder = "{self.ledger(name)}"\nvoters = {json.dumps(self._table.voters)}\n'
            cluster += f'lease_ms = {self._table.lease_ms:g}\npast_lease = "{self._table.past_lease}"\n'
        members = "\n".join(self._member_lines(name))
        configuration = {"admin": self.admin_addresses[name]}
        return NodeConfiguration(configuration, f"{cluster}[fleet.members]\n{members}\n")

    def _member_lines(self, name: str) -> list[str]:
        """Return the member lines of one node's settings: its own address, and the relay's for others."""
        lines = [f'{name} = "{self._relay.node_addresses[name]}"']
        others = [other for other in self.names if other != name]
        return lines + [f'{other} = "{self._relay.address(name, other)}"' for other in others]
