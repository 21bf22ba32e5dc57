"""A day of load on a cluster of real nodes, with all datagrams between nodes relayed and faults injected.

A fault is injected before the n-th datagram of a kind that a node sends or receives, so that a run depends on
the datagrams that nodes exchange, not on sleeps. Nodes, their sockets, signals and time are real.
"""

import time
from collections.abc import Callable
from math import inf
from pathlib import Path
from typing import Any, TypeAlias

from marlseam.experiment import cluster_admin
from marlseam.experiment.cluster_fault_injector import ClusterFaultInjector
from marlseam.experiment.cluster_faults import FaultSchedule
from marlseam.experiment.cluster_logs import LogReader
from marlseam.experiment.cluster_nodes import ClusterNodes
from marlseam.experiment.cluster_publications import ChangePublisher
from marlseam.experiment.cluster_relay import DatagramRelay, Pair, RelayHooks, free_udp_address
from marlseam.experiment.cluster_tables import ClusterTable, FaultKind
from marlseam.experiment.plays import ShowProgress
from marlseam.experiment.processes import RunFailedError
from marlseam.experiment.sockets import SocketDriver, SocketOptions
from marlseam.simulation.model import Day, placed_nodes

# Describes how the nodes of a run deviate from their expected state after faults; empty once healed.
FindUnhealed: TypeAlias = Callable[["ClusterRun"], list[str]]


class ClusterRun:
    """One run of a day on a cluster, and its parts.

    Attributes:
        names: the names of the nodes.
        table: the cluster and its faults, from the experiment's file.
        schedule: finds the fault that is due before a datagram.
        relay: forwards the datagrams between the nodes.
        nodes: provides the nodes' configuration, ledgers and addresses.
        driver: starts nodes, servers and load.
        publisher: has nodes publish changes.
        injector: injects the faults.
        logs: reads the nodes' logs.
        last_statuses: the latest status of each node, None for one that did not answer.
        healed_after_ms: the time from the end of the last fault until the nodes were first in their expected
            state, in ms; inf if they never were.
    """

    def __init__(self, day: Day, seed: int, table: ClusterTable, out: Path) -> None:
        """Connect the parts to each other; neither processes nor threads are started."""
        self.names = [name for name, _ in placed_nodes(day)]
        self.table = table
        self._day, self._seed = day, seed
        self.schedule = FaultSchedule(self.names, table, seed)
        self.relay = DatagramRelay({name: free_udp_address() for name in self.names}, table, seed)
        self.nodes = ClusterNodes(self.names, table, self.relay, out)
        self.driver = SocketDriver(
            day,
            seed,
            out,
            SocketOptions(
                node_configuration=self.nodes.settings,
                before_first_start=self.nodes.create_ledger,
                before_restart=self.nodes.apply_ledger_fault,
                node_module=self.nodes.module,
                node_environment=self.nodes.environment,
                inherits_sockets=any(fault.fault == FaultKind.UPGRADE for fault in table.faults),
            ),
        )
        self.publisher = ChangePublisher(
            day, self.nodes.admin_addresses, self.driver.recorder.now_ms, lambda: self.relay.is_over
        )
        self.injector = ClusterFaultInjector(self.nodes, self.relay, self.driver, self.publisher.publish)
        self.logs = LogReader(self.names, out / "logs")
        self.last_statuses: dict[str, dict[str, Any] | None] = {}
        self.healed_after_ms = inf

    def _inject_due_fault(self, node: str, is_sent: bool, pair: Pair, data: bytes) -> None:
        """Count a datagram, and inject the fault that is due before this datagram, if any."""
        fault = self.schedule.next_fault(node, is_sent, data)
        if fault is not None:
            self.injector.inject(fault, pair, data)

    def statuses(self) -> dict[str, dict[str, Any] | None]:
        """Ask each node for its cluster status; return statuses by node, None for one without an answer."""
        self.last_statuses = {
            name: cluster_admin.cluster_status(self.nodes.admin_addresses[name]) for name in self.names
        }
        return self.last_statuses

    def play(self, show_progress: ShowProgress, find_unhealed: FindUnhealed) -> None:
        """Play the day under faults, and stop the relay once the driver has ended the day.

        `find_unhealed` is called after the last fault until it returns no deviation. Raises RunFailedError
        where the relay's thread has ended with an exception.
        """

        def progress(now_ms: float) -> None:
            show_progress(self._describe_progress(now_ms))
            self._advance(now_ms, find_unhealed)

        # A provisional time 0, replaced by the driver: nodes exchange datagrams before they are ready.
        self.driver.recorder.zero_s = time.monotonic()
        self.relay.start(RelayHooks(self.driver.recorder.now_ms, self.logs.read, self._inject_due_fault))
        try:
            self.driver.run(progress)
        finally:
            self.relay.stop()
            self.relay.close()
            self.nodes.close()

    def _advance(self, now_ms: float, find_unhealed: FindUnhealed) -> None:
        """Check the relay, end a drawn schedule after `until_s`, and record when the nodes have healed."""
        self.schedule.is_counting = True
        if self.relay.error is not None:
            raise RunFailedError(f"the datagram relay's thread ended early: {self.relay.error!r}")
        if now_ms > 1000.0 * self.table.until_s and not self.table.faults:
            self.schedule.pending.clear()
        last_fault_ms = max([span.until_ms for span in self.injector.spans], default=0.0)
        if self.schedule.pending or now_ms <= last_fault_ms or self.healed_after_ms < inf:
            return
        if not find_unhealed(self):
            self.healed_after_ms = self.driver.recorder.now_ms() - last_fault_ms

    def _describe_progress(self, now_ms: float) -> str:
        """Return the progress line: seconds played, seconds of the day, and faults injected."""
        played_s = max(0.0, now_ms) / 1000.0
        return f"{played_s:.0f} s of {self._day.seconds:g} s, {len(self.injector.spans)} faults injected"
