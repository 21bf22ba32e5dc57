"""The processes around the nodes: emulators of servers, network and discovery, and load generators."""

import json
from pathlib import Path
from typing import Any

import msgspec

from marlseam.experiment.processes import ChildProcess
from marlseam.experiment.sockets.options import SocketOptions
from marlseam.experiment.sockets.process_group import ProcessGroup
from marlseam.simulation.model import Day, placed_nodes

AddressesByZone = dict[str, dict[str, str]]  # by zone of the calling node, the address of each server by name


class EmulatorProcesses:
    """Starts the emulators and load generators of a day.

    Attributes:
        server_addresses: the address of each server for the nodes of each zone.
        discovery_addresses: the address of discovery for each node.
    """

    def __init__(self, day: Day, seed: int, out: Path, options: SocketOptions, group: ProcessGroup) -> None:
        """Write the day to `out`, where all files go; processes started later are added to `group`."""
        self._day, self._out, self._options, self._group = day, out, options, group
        self._day_path = out / "day.json"
        self._day_path.write_bytes(msgspec.json.encode(day))
        self._common_arguments = [str(self._day_path), "--seed", str(seed), "--records", str(out / "records")]
        self._emulators: list[ChildProcess] = []
        self.server_addresses: AddressesByZone = {}
        self.discovery_addresses: dict[str, str] = {}

    def start(self, uses_network: bool) -> None:
        """Start the servers, the network between nodes and servers if `uses_network`, and discovery."""
        addresses = self._start_servers()
        self.server_addresses = dict.fromkeys(self._day.fleet.zones, addresses)
        if uses_network:
            self.server_addresses = self._start_network(addresses)
        path = self._write_json("dials.json", self.server_addresses)
        discovery = self._spawn("roster", "--dials", str(path))
        self.discovery_addresses = discovery.read_json()["rosters"]
        self._emulators.append(discovery)

    def _start_servers(self) -> dict[str, str]:
        """Start the server processes and return the address of each server by name."""
        count = self._options.server_process_count
        processes = [self._spawn("executors", "--part", f"{i + 1}/{count}") for i in range(count)]
        self._emulators += processes
        addresses: dict[str, str] = {}
        for process in processes:
            addresses |= process.read_json()["executors"]
        return addresses

    def _start_network(self, addresses: dict[str, str]) -> AddressesByZone:
        """Start the network; return the addresses by which nodes of each zone reach servers through it."""
        path = self._write_json("executors.json", addresses)
        network = self._spawn("network", "--addresses", str(path))
        server_addresses: AddressesByZone = network.read_json()["dials"]
        self._emulators.append(network)
        return server_addresses

    def start_generators(self, node_addresses: dict[str, str]) -> list[ChildProcess]:
        """Start the load generators and return them once all are ready."""
        nodes = {name: (zone, node_addresses[name]) for name, zone in placed_nodes(self._day)}
        path = self._write_json("nodes.json", nodes)
        count, connections = self._options.generator_count, str(self._options.connection_count)
        common = ["--nodes", str(path), "--connections", connections]
        generators = [self._spawn("load", *common, "--part", f"{i + 1}/{count}") for i in range(count)]
        for generator in generators:
            generator.read_json()
        return generators

    def send_zero(self, zero_s: float) -> None:
        """Send the emulators the run's zero, in seconds of the monotonic clock."""
        for emulator in self._emulators:
            emulator.send_zero(zero_s)

    def _spawn(self, emulator: str, *arguments: str) -> ChildProcess:
        """Start one process of an emulator or load generator and add it to the group."""
        log = self._out / "logs" / f"{emulator}.log"
        command = ["standin", emulator, *self._common_arguments, *arguments]
        return self._group.add(ChildProcess(command, log))

    def _write_json(self, name: str, value: Any) -> Path:  # noqa: ANN401 - any JSON value
        """Write a JSON file that the processes read, and return its path."""
        path = self._out / name
        path.write_text(json.dumps(value))
        return path
