"""Real nodes on loopback: their configuration, processes, processor time and memory."""

import json
import os
import signal
import time
from pathlib import Path
from typing import Any

from marlseam.experiment.processes import ChildProcess, RunFailedError
from marlseam.experiment.sizing.process_usage import process_cpu_ms, resident_mb
from marlseam.simulation.model import Day, Fleet, RequestType, ServerKind, node_settings

ZONES = [f"z{i:02}" for i in range(22)]
KINDS = ["plain", "one", "two"]  # servers without accelerators, with one, with two
NODE_LIMITS = {"memory_mb": 192, "sockets": 1024}
START_TIMEOUT_S = 60.0  # limit for all nodes together, long because other processes may occupy the cores
LOG_POLL_S = 0.02
# Texts in a node's log that are read here.
LISTENS_ON = "listens on"
LONGEST_TURN = "turns at most"

REQUEST_TYPES = [
    RequestType(name="urgent", share=0.3, work_ms=400, promised_ms=200, limit_ms=5000),
    RequestType(name="task", share=0.5, work_ms=2000, promised_ms=1000, limit_ms=20000),
    RequestType(name="post", share=0.2, work_ms=800, promised_ms=600, limit_ms=10000, effect="receipted"),
]


def node_config(name: str, discovery: str, nodes: int, seed: int = 1) -> dict[str, Any]:
    """Return the content of the configuration file of a node, in-process or real, in a cluster of 22 zones.

    `discovery` is the address of discovery, `nodes` the number of nodes in the cluster.
    """
    kinds = [ServerKind(name=kind, executors=1) for kind in KINDS]
    day = Day(seconds=1.0, fleet=Fleet(zones=ZONES, nodes=nodes, kinds=kinds), types=REQUEST_TYPES)
    return {
        "name": name,
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": f"{seed:x}",
        "limits": NODE_LIMITS,
        "known": {"seq": 0, "whole": True, "hosts": []},
        "settings": node_settings(day, ZONES[0]),
    }


class LoopbackNodes:
    """Real nodes on loopback, whose processes end when this process ends, also when this process is killed.

    Attributes:
        directory: the directory of their configuration files and logs.
        nodes: their processes, by node name.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.nodes: dict[str, ChildProcess] = {}
        (directory / "logs").mkdir(parents=True, exist_ok=True)

    def start(self, name: str, config: dict[str, Any], operator_settings: str = "") -> ChildProcess:
        """Start a node with a configuration and, if given, the text of an operator's settings file (TOML)."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(config))
        arguments = [str(os.getpid()), "serve", "--config", str(path)]
        if operator_settings:
            settings_path = self.directory / f"{name}.toml"
            settings_path.write_text(operator_settings)
            arguments += ["--settings", str(settings_path)]
        log = self.directory / "logs" / f"{name}.log"
        log.write_bytes(b"")
        self.nodes[name] = ChildProcess(arguments, log, module="marlseam.experiment.exit_with_parent")
        return self.nodes[name]

    def wait_until_listening(self) -> None:
        """Wait until all nodes have logged that they listen.

        Raises RunFailedError if a node exits first or `START_TIMEOUT_S` passes.
        """
        end_s = time.monotonic() + START_TIMEOUT_S
        for name, process in self.nodes.items():
            while LISTENS_ON not in process.log.read_text(errors="replace"):
                if process.process.poll() is not None or time.monotonic() > end_s:
                    raise RunFailedError(
                        f"node {name} ended or did not listen in time; last line of its log: {process.tail()}"
                    )
                time.sleep(LOG_POLL_S)

    def address(self, name: str) -> str:
        """Return the address that a node logged as the one it listens on, as `HOST:PORT`."""
        return self.nodes[name].log.read_text().partition(LISTENS_ON)[2].split()[0]

    def cpu_ms(self) -> dict[str, float]:
        """Return the processor time in ms that each node has used so far, by name."""
        return {name: process_cpu_ms(node.process.pid) for name, node in self.nodes.items()}

    def resident_mb(self) -> dict[str, float]:
        """Return the resident memory of each node in MB, by name."""
        return {name: resident_mb(node.process.pid) for name, node in self.nodes.items()}

    def longest_turns_ms(self, count: int) -> list[float]:
        """Return the longest turn of each node's event loop in ms, which a node logs when it stops.

        Raises RunFailedError if fewer than `count` nodes have logged it.
        """
        found = []
        for node in self.nodes.values():
            text = node.log.read_text(errors="replace")
            if LONGEST_TURN in text:
                found.append(float(text.rpartition(LONGEST_TURN)[2].split()[0]))
        if len(found) < count:
            raise RunFailedError(
                f"only {len(found)} of {count} nodes logged their longest turn when they stopped"
            )
        return found

    def stop(self) -> None:
        """Send SIGTERM to all nodes, and wait until their processes have ended."""
        for node in self.nodes.values():
            node.signal(signal.SIGTERM)
        for node in self.nodes.values():
            node.end()
