"""Real nodes on loopback that run the workload of the play `size_changes`.

Versions are published by an operator's call to one node, and are recognised as applied in the nodes' logs.
"""

import contextlib
import http.client
import json
import socket
import time
from collections import Counter
from collections.abc import Callable
from math import inf
from pathlib import Path

from marlseam.cluster.checking.replication_schedules import LEASE_PERIODS
from marlseam.cluster.checking.simulation import PERIOD_MS
from marlseam.experiment.cluster_relay import free_udp_address
from marlseam.experiment.config_change_usage import RealUsage
from marlseam.experiment.config_change_workload import (
    CLUSTER_NAME,
    FIRST_BURST_INDEX,
    LAN,
    MAX_VOTERS,
    PUBLISHER,
    SETTLE_TIMEOUT_S,
    WARM_UP_S,
    ChangeSettings,
    JsonObject,
    change_one_team,
    shared_settings,
)
from marlseam.experiment.plays import ShowProgress
from marlseam.experiment.processes import RunFailedError
from marlseam.experiment.sizing.loopback_nodes import LoopbackNodes, node_config
from marlseam.experiment.sizing.process_usage import process_cpu_ms
from marlseam.store.ledger_writer import create_ledger

LOG_CHECK_S = 0.005  # time between two readings of the nodes' logs
START_UP_S = 3.0  # time from when all nodes listen until the first version is published
ALL_APPLIED_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 5.0
UNUSED_ADDRESS = "127.0.0.1:9"  # address of discovery, which these nodes do not need
APPLIED_TEXT = "acts on version "  # in a node's log, followed by the version's number and a comma


class RealNodes:
    """The nodes of one cluster, each in its own process.

    Attributes:
        seed: the seed of the changes.
        settings: the table of the experiment file.
        show_progress: called with progress texts.
        names: the names of the nodes; the first `MAX_VOTERS` are voters.
        loopback_nodes: the processes of the nodes.
        reserved_sockets: sockets that keep the admin addresses reserved until the nodes listen on them.
        admin_addresses: the admin addresses (`HOST:PORT`), by node.
        read_bytes: the number of bytes of each node's log read so far.
        applied_at_s: when a log was first read that shows a version as applied, by node and version, as
            monotonic time.
        shared: the shared settings that were published last.
        version: the number of their version.
    """

    def __init__(self, out: Path, seed: int, settings: ChangeSettings, show_progress: ShowProgress) -> None:
        """Start the nodes, with their files in the directory `out`."""
        self.seed, self.settings, self.show_progress = seed, settings, show_progress
        self.names = [f"n{i}" for i in range(settings.real)]
        self.loopback_nodes = LoopbackNodes(out)
        self.reserved_sockets: list[socket.socket] = []
        self.admin_addresses = {name: self.reserve_admin_address() for name in self.names}
        self.read_bytes = dict.fromkeys(self.names, 0)
        self.applied_at_s: dict[tuple[str, int], float] = {}
        self.shared, self.version = shared_settings(settings.real, settings.real_teams), 0
        members = "\n".join(f'{name} = "{free_udp_address()}"' for name in self.names)
        for i, name in enumerate(self.names):
            self.start(name, out / "ledgers" / name, seed + i, members)

    def start(self, name: str, ledger: Path, seed: int, members: str) -> None:
        """Start a node with an empty ledger; `members` are lines of the table `fleet.members`."""
        create_ledger(ledger, name)
        operator_settings = (
            f'[fleet]\nname = "{CLUSTER_NAME}"\nperiod_ms = {PERIOD_MS:g}\nfolder = "{ledger}"\n'
            f"voters = {json.dumps(self.names[:MAX_VOTERS])}\nlease_ms = {LEASE_PERIODS * PERIOD_MS:g}\n"
            f"[fleet.members]\n{members}\n"
        )
        config = node_config(name, UNUSED_ADDRESS, len(self.names), seed)
        self.loopback_nodes.start(name, config | {"admin": self.admin_addresses[name]}, operator_settings)

    def reserve_admin_address(self) -> str:
        """Return an admin address, reserved by a socket that is bound but does not listen."""
        reserving = socket.socket()
        reserving.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserving.bind(("127.0.0.1", 0))
        self.reserved_sockets.append(reserving)
        return "{}:{}".format(*reserving.getsockname())

    def call(self, name: str, method: str, path: str, body: bytes | None = None) -> bytes:
        """Make an operator's call to a node, and return the body of the answer.

        Raises OSError if the call fails.
        """
        host, _, port = self.admin_addresses[name].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
        try:
            connection.request(method, path, body)
            return connection.getresponse().read()
        finally:
            connection.close()

    # Applied versions.

    def read_logs(self) -> None:
        """Read the lines that nodes have logged since the last reading, and record applied versions."""
        now_s = time.monotonic()
        for name, process in self.loopback_nodes.nodes.items():
            if process.log.stat().st_size == self.read_bytes[name]:
                continue
            with process.log.open("rb") as log:
                log.seek(self.read_bytes[name])
                text = log.read()
            whole_lines = text[: text.rfind(b"\n") + 1]
            self.read_bytes[name] += len(whole_lines)
            for line in whole_lines.decode(errors="replace").splitlines():
                if APPLIED_TEXT in line:
                    number = int(line.partition(APPLIED_TEXT)[2].partition(",")[0])
                    self.applied_at_s.setdefault((name, number), now_s)

    def wait(self, seconds: float, is_done: Callable[[], bool] = lambda: False) -> None:
        """Read the logs repeatedly for `seconds`, or until `is_done` returns true."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s and not is_done():
            time.sleep(LOG_CHECK_S)
            self.read_logs()

    def all_applied(self) -> bool:
        """Return whether all nodes have applied the version published last, or a later one."""
        newest = Counter[str]()
        for name, number in self.applied_at_s:
            newest[name] = max(newest[name], number)
        return all(newest[name] >= self.version for name in self.names)

    def last_applied_at_s(self, version: int) -> float:
        """Return when the last node applied a version or a later one, as monotonic time in s.

        The result is inf if a node has not applied one.
        """
        first_s = dict.fromkeys(self.names, inf)
        for (name, number), at_s in self.applied_at_s.items():
            if number >= version:
                first_s[name] = min(first_s[name], at_s)
        return max(first_s.values())

    # Usage.

    def usage(self) -> RealUsage:
        """Return the usage of the nodes so far."""
        non_voters = self.names[MAX_VOTERS:]
        traffic = [json.loads(self.call(name, "GET", "/control/fleet"))["letters"] for name in self.names]
        cpu_ms, resident_mb = self.loopback_nodes.cpu_ms(), self.loopback_nodes.resident_mb()
        return RealUsage(
            bytes=sum(counts["bytes_sent"] for counts in traffic) / len(traffic),
            datagrams=sum(counts["sent"] for counts in traffic) / len(traffic),
            cpu_ms=sum(cpu_ms[name] for name in non_voters) / len(non_voters),
            writer_cpu_ms=sum(map(self.writer_cpu_ms, non_voters)) / len(non_voters),
            memory_mb=sum(resident_mb[name] for name in non_voters) / len(non_voters),
            time_ms=1000.0 * time.monotonic(),
        )

    def writer_cpu_ms(self, name: str) -> float:
        """Return the processor time in ms of the writer process of a node's ledger; 0 if it has ended."""
        pid = self.loopback_nodes.nodes[name].process.pid
        with contextlib.suppress(OSError):
            children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
            return sum(process_cpu_ms(int(child)) for child in children)
        return 0.0

    # The workload.

    def publish(self, settings: JsonObject) -> float:
        """Publish settings as the next version; return when the accepted call was made, as monotonic time.

        Raises RunFailedError if the publisher does not accept them within `SETTLE_TIMEOUT_S`.
        """
        version = self.version + 1
        body = json.dumps({"settings": settings, "why": f"change {version}"}).encode()
        end_s, answer = time.monotonic() + SETTLE_TIMEOUT_S, ""
        while time.monotonic() < end_s:
            requested_s = time.monotonic()
            answer = self.call(PUBLISHER, "POST", "/control/fleet/publish", body).decode()
            if answer.startswith(f"version {version}: open"):
                self.shared, self.version = settings, version
                return requested_s
            self.wait(LAN.operator_ms / 1000.0)
        raise RunFailedError(
            f"node {PUBLISHER} did not accept version {version} in time, last answer: {answer.strip()}"
        )

    def publish_change(self, change_index: int) -> float:
        """Publish the change with index `change_index`; return when the call was made, as monotonic time."""
        return self.publish(change_one_team(self.shared, self.seed, change_index))

    def begin(self) -> None:
        """Publish the first version, wait until all nodes have applied it, and then `WARM_UP_S` more."""
        self.publish(self.shared)
        self.wait(ALL_APPLIED_TIMEOUT_S, self.all_applied)
        self.wait(WARM_UP_S)

    def run_paced(self) -> list[float]:
        """Publish a change every `every_s` seconds; return the time in s until all nodes applied each."""
        latencies_s = list[float]()
        for change_index in range(self.settings.changes):
            end_s = time.monotonic() + self.settings.every_s
            requested_s = self.publish_change(change_index)
            self.wait(end_s - time.monotonic())
            latencies_s.append(self.last_applied_at_s(self.version) - requested_s)
            self.show_progress(
                f"{self.settings.real} real nodes, {change_index + 1} changes of {self.settings.changes}"
            )
        return latencies_s

    def run_burst(self) -> float:
        """Publish a burst of changes; return the time in s until all nodes have applied the last one."""
        began_s = time.monotonic()
        for change_index in range(self.settings.burst):
            self.publish_change(FIRST_BURST_INDEX + change_index)
        self.wait(ALL_APPLIED_TIMEOUT_S, self.all_applied)
        return self.last_applied_at_s(self.version) - began_s

    def measure(self) -> dict[str, float]:
        """Run the workload, and return the figures of a node by their names in reports."""
        self.loopback_nodes.wait_until_listening()
        self.wait(START_UP_S)
        at_start = self.usage()
        self.begin()
        before_idle = self.usage()
        self.wait(self.settings.idle_s)
        before_paced = self.usage()
        latencies_s = self.run_paced()
        after_paced = self.usage()
        burst_s = self.run_burst()
        idle_rates = before_paced.since(before_idle).per_second()
        each = after_paced.since(before_paced).per_change(idle_rates, self.settings.changes)
        return {
            "bytes_change": each.bytes,
            "notes_change": each.datagrams,
            "cpu_ms_change": each.cpu_ms,
            "helper_ms_change": each.writer_cpu_ms,
            "memory_mb": before_idle.memory_mb - at_start.memory_mb,
            "process_mb": after_paced.memory_mb,
            "last_s": max(latencies_s),
            "burst_s": burst_s,
            "idle_core_share": idle_rates.cpu_ms / 1000.0,
        }

    def end(self) -> None:
        """Stop the nodes, and close the sockets that reserved their ports."""
        self.loopback_nodes.stop()
        for reserving in self.reserved_sockets:
            reserving.close()
