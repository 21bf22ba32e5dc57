"""Injects faults into the nodes of a cluster, their disks and the datagrams between them."""

import contextlib
import os
import re
import resource
import signal
import threading
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from marlseam import records
from marlseam.experiment.cluster_nodes import ClusterNodes
from marlseam.experiment.cluster_relay import Cut, DatagramRelay, Pair
from marlseam.experiment.cluster_tables import ClusterFault, FaultKind
from marlseam.experiment.sockets import SocketDriver

ANY_NODE = ""  # as the sender or the receiver of a `Cut`


class FaultSpan(NamedTuple):
    """An injected fault, and the time it lasted.

    Attributes:
        node: the node that the fault was injected into.
        kind: the kind of fault.
        since_ms: when the fault was injected, in ms of the run.
        until_ms: when the fault ended, in ms of the run.
    """

    node: str
    kind: FaultKind
    since_ms: float
    until_ms: float


class ClusterFaultInjector:
    """Injects the faults of a schedule into a running cluster.

    Attributes:
        spans: the faults injected so far, without PUBLISH and COPY, which disturb no node.
    """

    def __init__(
        self,
        nodes: ClusterNodes,
        relay: DatagramRelay,
        driver: SocketDriver,
        publish: Callable[[str], None],
    ) -> None:
        """Inject faults into a driver's nodes.

        `publish` has the named node publish a change and blocks until the result is known; it is called in a
        thread of its own.
        """
        self._nodes, self._relay, self._driver, self._publish = nodes, relay, driver, publish
        self.spans: list[FaultSpan] = []

    def inject(self, fault: ClusterFault, pair: Pair, data: bytes) -> None:
        """Inject a fault that is due before the datagram `data` of a pair of nodes.

        HOLD has a copy of this datagram delivered late.
        """
        now_ms = self._driver.recorder.now_ms()
        span = FaultSpan(fault.node, FaultKind(fault.fault), now_ms, now_ms + fault.for_ms)
        match span.kind:
            case FaultKind.PUBLISH:
                self._start_thread(self._publish, fault.node)
            case FaultKind.UPGRADE:
                self._nodes.renew_admin_address(fault.node)
                self._start_thread(self._driver.node_processes.upgrade, fault.node)
                self._add_span(span)
            case FaultKind.COPY:
                self._nodes.copy_ledger(fault.node)
            case FaultKind.HOLD:
                self._add_span(span)
                self._relay.delay(pair, data, span.until_ms)
            case FaultKind.KILL | FaultKind.RESTART | FaultKind.OLD | FaultKind.LOST:
                self._add_span(span)
                self._kill(fault, span.kind)
            case FaultKind.STOP:
                self._add_span(span)
                self._suspend(span, fault.for_ms)
            case FaultKind.FULL:
                self._add_span(span)
                self._fill_disk(fault)
            case FaultKind.CUT | FaultKind.DEAF | FaultKind.MUTE | FaultKind.PAIR | FaultKind.SPLIT:
                self._add_span(span)
                self._relay.cuts += cuts_of(fault, span)

    @staticmethod
    def _start_thread(call: Callable[[str], None], name: str) -> None:
        threading.Thread(target=call, args=(name,), daemon=True).start()

    def _add_span(self, span: FaultSpan) -> None:
        self.spans.append(span)
        self._nodes.fault_counts[span.node] += 1

    def _pid(self, name: str) -> int:
        return self._driver.node_processes.running[name].process.pid

    def _kill(self, fault: ClusterFault, kind: FaultKind) -> None:
        """Kill a node; the driver starts the node again, for KILL once the fault's time is over."""
        pid = self._pid(fault.node)
        if kind in (FaultKind.OLD, FaultKind.LOST):
            self._nodes.ledger_faults[fault.node] = kind
        self._driver.expect_end(fault.node, fault.for_ms if kind is FaultKind.KILL else 0.0)
        os.kill(pid, signal.SIGKILL)

    def _suspend(self, span: FaultSpan, for_ms: float) -> None:
        """Suspend a node's process with SIGSTOP, and resume it after `for_ms`."""
        pid = self._pid(span.node)
        self._driver.recorder.add(
            records.NodeStateChanged(
                t=span.since_ms, by="driver", node=span.node, state="stopped", until=span.until_ms
            )
        )
        os.kill(pid, signal.SIGSTOP)
        threading.Timer(for_ms / 1000.0, os.kill, (pid, signal.SIGCONT)).start()

    def _fill_disk(self, fault: ClusterFault) -> None:
        """Make file writes of the writer process of a node's ledger fail for the fault's time."""
        self._limit_file_size(fault.node, 0)
        no_limit = (fault.node, resource.RLIM_INFINITY)
        threading.Timer(fault.for_ms / 1000.0, self._limit_file_size, no_limit).start()

    def _limit_file_size(self, name: str, max_bytes: int) -> None:
        """Limit the size of files that a node's child processes may write, in bytes."""
        pid = self._pid(name)
        for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split():
            with contextlib.suppress(OSError):
                resource.prlimit(int(child), resource.RLIMIT_FSIZE, (max_bytes, resource.RLIM_INFINITY))


def cuts_of(fault: ClusterFault, span: FaultSpan) -> list[Cut]:
    """Return the cuts that a network fault (CUT, DEAF, MUTE, PAIR or SPLIT) causes."""
    name, until_ms = span.node, span.until_ms
    outgoing, incoming = Cut(name, ANY_NODE, until_ms), Cut(ANY_NODE, name, until_ms)
    match span.kind:
        case FaultKind.PAIR:
            return [Cut(name, fault.other, until_ms)]
        case FaultKind.SPLIT:
            return split_cuts(fault.other, until_ms)
        case FaultKind.DEAF:
            return [incoming]
        case FaultKind.MUTE:
            return [outgoing]
        case _:
            return [outgoing, incoming]


def split_cuts(groups: str, until_ms: float) -> list[Cut]:
    """Return the cuts between groups of node names; `ClusterFault.other` describes the format of `groups`."""
    is_one_way = ">" in groups
    members = [group.split() for group in re.split("[|>]", groups)]
    cuts = []
    for index, senders in enumerate(members):
        after = members[index + 1 :]
        receiving = after if is_one_way else members[:index] + after
        cuts += [
            Cut(sender, receiver, until_ms)
            for receivers in receiving
            for sender in senders
            for receiver in receivers
        ]
    return cuts
