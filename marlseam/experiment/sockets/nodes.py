"""The node processes of a run on sockets: configuration, starts, restarts and upgrades."""

import http.client
import json
import socket
import time
from http import HTTPStatus
from pathlib import Path
from signal import SIGTERM
from typing import Any

from marlseam.configuration import FOLDER, SOCKET
from marlseam.experiment.processes import ChildProcess, NodeFailedError
from marlseam.experiment.sockets.options import NodeConfiguration, SocketOptions
from marlseam.experiment.sockets.process_group import ProcessGroup, address_of
from marlseam.net.protocol import READY_PATH
from marlseam.simulation.model import Day, node_settings, placed_nodes
from marlseam.simulation.random_streams import random_stream

START_TIMEOUT_S = 30.0  # from the start of a node process until it must listen
NODE_READY_TIMEOUT_S = 20.0  # of a wait until a node is ready
READY_CALL_TIMEOUT_S = 2.0  # of one readiness call
POLL_S = 0.02  # between two checks whether a node listens or is ready
UPGRADE_OVERLAP_S = 1.0  # time for which both processes of an upgrade run
SEED_BOUND = 1 << 62  # exclusive upper bound of a node's seed
MEMORY_MB = 192  # memory limit in the configuration of a node
MAX_SOCKETS = 1024  # limit of sockets in the configuration of a node
LISTENS = "listens on "  # precedes the address in a node's log


class NodeProcesses:
    """Starts the processes of a day's nodes.

    Attributes:
        running: the current process of each node, by node name.
        addresses: the address on which each node listens, by node name.
        discovery_addresses: the address of discovery for each node, by node name; set before the first start.
        started_s: the monotonic time of the last process start of each node in seconds, by node name.
    """

    def __init__(self, day: Day, seed: int, out: Path, options: SocketOptions, group: ProcessGroup) -> None:
        """Prepare without starting nodes; files go to `out`, processes and sockets are added to `group`."""
        self._day, self._seed, self._out = day, seed, out
        self._options, self._group = options, group
        self._zones = dict(placed_nodes(day))
        self._listening: dict[str, socket.socket] = {}  # by name of the node that inherits the socket
        self.running: dict[str, ChildProcess] = {}
        self.addresses: dict[str, str] = {}
        self.discovery_addresses: dict[str, str] = {}
        self.started_s: dict[str, float] = {}

    def start(self, name: str, server_addresses: dict[str, str]) -> None:
        """Call `before_first_start` with the server addresses, start a node and return once it listens."""
        if self._options.before_first_start is not None:
            self._options.before_first_start(name, server_addresses)
        listen = self._group.reserve_address()
        if self._options.inherits_sockets:
            self._listening[name] = self._group.listen()
            listen = address_of(self._listening[name])
        self.running[name] = self._start_process(name, listen)

    def restart(self, name: str) -> None:
        """Start a new process of a node whose process has ended, and return once the node listens."""
        if self._options.before_restart is not None:
            self._options.before_restart(name)
        self.running[name] = self._start_process(name, self.addresses[name])

    def upgrade(self, name: str) -> None:
        """Start a later process of a node; `UPGRADE_OVERLAP_S` after it listens, terminate the earlier one.

        The platform uses a fixed time too: it cannot detect whether the later process has taken over.
        """
        earlier = self.running[name]
        later = self._start_process(name, self.addresses[name])
        time.sleep(UPGRADE_OVERLAP_S)
        self.running[name] = later
        earlier.signal(SIGTERM)

    def _start_process(self, name: str, listen: str) -> ChildProcess:
        """Write the files of a node, start a process and return the process once it listens."""
        configuration, operator_settings = self._configuration(name, listen)
        path = self._out / f"{name}.json"
        path.write_text(json.dumps(configuration))
        arguments = ["serve", "--config", str(path)]
        if operator_settings:
            settings_path = self._out / f"{name}.toml"
            settings_path.write_text(operator_settings.format(folder=self._out / "state" / name))
            arguments += ["--settings", str(settings_path)]
        log = self._out / "logs" / f"{name}.log"
        log_offset = log.stat().st_size if log.exists() else 0
        process = self._spawn(name, arguments, log)
        self.addresses[name] = _wait_for_address(name, process, log_offset)
        return process

    def _configuration(self, name: str, listen: str) -> NodeConfiguration:
        """Return the content of a node's configuration file and its operator settings."""
        rng = random_stream(self._seed, "node", name, time.monotonic_ns())
        configuration: dict[str, Any] = {
            "name": name,
            "listen": listen,
            "discovery": self.discovery_addresses[name],
            "seed": f"{int(rng.integers(SEED_BOUND)):x}",
            "limits": {"memory_mb": MEMORY_MB, "sockets": MAX_SOCKETS},
            "known": {"seq": 0, "whole": True, "hosts": []},
            "settings": node_settings(self._day, self._zones[name]),
        }
        if self._options.node_configuration is None:
            return NodeConfiguration(configuration, self._options.operator_settings)
        additional = self._options.node_configuration(name)
        return NodeConfiguration(configuration | additional.configuration, additional.operator_settings)

    def _spawn(self, name: str, arguments: list[str], log: Path) -> ChildProcess:
        """Start a process of a node with the node's environment and inherited descriptors."""
        environment = dict(self._options.node_environment(name))
        descriptors: tuple[int, ...] = ()
        self.started_s[name] = time.monotonic()
        if self._options.inherits_sockets:
            shared_directory = self._out / "shared" / name
            shared_directory.mkdir(parents=True, exist_ok=True)
            descriptors = (self._listening[name].fileno(),)
            environment |= {SOCKET: str(descriptors[0]), FOLDER: str(shared_directory)}
        module = self._options.node_module(name)
        process = ChildProcess(arguments, log, environment, self._options.profile, module, descriptors)
        return self._group.add(process)

    def wait_until_ready(self, name: str) -> float:
        """Wait until a node is ready for clients; return the time since its start in s.

        Raises NodeFailedError after `NODE_READY_TIMEOUT_S` of waiting.
        """
        address, end_s = self.addresses[name], time.monotonic() + NODE_READY_TIMEOUT_S
        while time.monotonic() < end_s:
            if _is_ready(address):
                return time.monotonic() - self.started_s[name]
            time.sleep(POLL_S)
        raise NodeFailedError(name, f"was not ready within {NODE_READY_TIMEOUT_S:g} s")


def _wait_for_address(name: str, process: ChildProcess, log_offset: int) -> str:
    """Wait for the address that a node logs when it listens; `log_offset` skips lines of earlier processes.

    Raises NodeFailedError if the process exits or does not listen within `START_TIMEOUT_S`.
    """
    end_s = time.monotonic() + START_TIMEOUT_S
    while True:
        with process.log.open("rb") as file:
            file.seek(log_offset)
            text = file.read().decode(errors="replace")
        if LISTENS in text:
            return text.partition(LISTENS)[2].split()[0]
        if not process.is_running() or time.monotonic() > end_s:
            raise NodeFailedError(name, f"did not start: {process.tail()}")
        time.sleep(POLL_S)


def _is_ready(address: str) -> bool:
    """Return whether the node at an address answers the readiness call with 200."""
    call = http.client.HTTPConnection(address, timeout=READY_CALL_TIMEOUT_S)
    try:
        call.request("GET", READY_PATH)
        return call.getresponse().status == HTTPStatus.OK
    except OSError:
        return False
    finally:
        call.close()
