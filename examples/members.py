"""Run seven nodes of one cluster on loopback, with emulated servers and their discovery, until Ctrl-C.

    PYTHONPATH=. python examples/members.py

Each node is a separate process with its own ledger. The example prints the commands that show which members
are alive and on which version they act, that publish a change, and that read the audit. To see how the
cluster reacts, stop a node (kill -STOP) or end it, and run the first command again.
"""

import contextlib
import http.client
import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from uuid import uuid4

from marlseam.simulation.model import Day, Fleet, RequestType, ServerKind, node_settings
from marlseam.store.ledger_writer import create_ledger

NODES = 7
VOTERS = ["n0", "n1", "n2"]
DISCOVERY = "127.0.0.1:8500"
REQUEST_TIMEOUT_S = 5.0
REQUEST_INTERVAL_S = 0.02
DAY = Day(
    seconds=1.0,
    fleet=Fleet(zones=["here"], nodes=NODES, kinds=[ServerKind(name="plain", executors=3, slots=2, queue=8)]),
    types=[RequestType(name="statement", share=1.0, work_ms=200.0, promised_ms=500.0, limit_ms=10000.0)],
)


def free_address(socket_type: int) -> str:
    """Return a loopback address HOST:PORT that is free now; another process may still take it."""
    with socket.socket(socket.AF_INET, socket_type) as sock:
        sock.bind(("127.0.0.1", 0))
        return "{}:{}".format(*sock.getsockname())


@dataclass
class NodeAddresses:
    """The addresses HOST:PORT at which members, clients and operators reach a node."""

    member: str
    listen: str
    admin: str


def new_addresses() -> NodeAddresses:
    """Return free addresses for a node: UDP for members, TCP for clients and operators."""
    return NodeAddresses(
        member=free_address(socket.SOCK_DGRAM),
        listen=free_address(socket.SOCK_STREAM),
        admin=free_address(socket.SOCK_STREAM),
    )


def write_configuration(folder: Path, name: str, nodes: dict[str, NodeAddresses]) -> Path:
    """Create a node's ledger, settings file and configuration; return the path of the configuration."""
    ledger = ledger_path(folder, name)
    create_ledger(ledger, name)
    members = "\n".join(f'{member} = "{addresses.member}"' for member, addresses in nodes.items())
    cluster = f'[fleet]\nname = "example"\nfolder = "{ledger}"\nvoters = {json.dumps(VOTERS)}\n'
    settings_path(folder, name).write_text(f"{cluster}[fleet.members]\n{members}\n")
    configuration = {
        "name": name,
        "listen": nodes[name].listen,
        "admin": nodes[name].admin,
        "discovery": DISCOVERY,
        "settings": node_settings(DAY, "here"),
    }
    path = folder / f"{name}.json"
    path.write_text(json.dumps(configuration))
    return path


def ledger_path(folder: Path, name: str) -> Path:
    """Return the path of a node's ledger folder."""
    return folder / "ledgers" / name


def settings_path(folder: Path, name: str) -> Path:
    """Return the path of the settings file that holds a node's cluster."""
    return folder / f"{name}.toml"


def start_node(folder: Path, name: str, nodes: dict[str, NodeAddresses]) -> subprocess.Popen[bytes]:
    """Write the configuration of a node and start its process."""
    path = write_configuration(folder, name, nodes)
    arguments = ["serve", "--config", str(path), "--settings", str(settings_path(folder, name))]
    return subprocess.Popen([sys.executable, "-m", "marlseam", *arguments])


@contextlib.contextmanager
def running_cluster(
    folder: Path, nodes: dict[str, NodeAddresses]
) -> Iterator[dict[str, subprocess.Popen[bytes]]]:
    """Start the emulated servers, their discovery and all nodes; end all these processes on exit."""
    servers = subprocess.Popen([sys.executable, str(Path(__file__).with_name("fleet.py"))])
    processes: dict[str, subprocess.Popen[bytes]] = {}
    try:
        for name in nodes:
            processes[name] = start_node(folder, name, nodes)
        yield processes
    finally:
        started = (*processes.values(), servers)
        for process in started:
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGCONT)  # guards against a stopped process, which would never end
        for process in started:
            process.wait()


def write_change(folder: Path) -> Path:
    """Write a configuration to publish, with a doubled latency objective; return its path."""
    change = json.loads((folder / "n0.json").read_text())
    change["settings"]["requestClasses"][0]["aimUs"] *= 2
    path = folder / "change.json"
    path.write_text(json.dumps(change))
    return path


def print_commands(folder: Path, nodes: dict[str, NodeAddresses], process: subprocess.Popen[bytes]) -> None:
    """Print commands to try; `process` is the node for the commands that stop and continue one."""
    admin, changed = nodes["n0"].admin, write_change(folder)
    print(
        f"""
members alive, version acted on:   python -m marlseam fleet status --at {admin}
publish a change (stores --why):   python -m marlseam fleet publish {changed} --at {admin} --why trial
stop a node and continue it:       kill -STOP {process.pid}; kill -CONT {process.pid}
versions each node acted on:       python -m marlseam fleet audit {folder}/ledgers/*
""",
        flush=True,
    )


def send_request(address: str) -> None:
    """Send a request to a node and read the answer; ignore a node that cannot be reached."""
    headers = {
        "X-Correlation-Id": uuid4().hex,
        "X-Service-Class": "statement",
        "X-Time-Left": str(REQUEST_TIMEOUT_S),
    }
    connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
    with contextlib.suppress(OSError, http.client.HTTPException):
        connection.request("POST", "/statement", b'{"work": 50}', headers)
        connection.getresponse().read()


def main() -> None:
    """Run the nodes and send a request to each in turn, until Ctrl-C."""
    nodes = {f"n{i}": new_addresses() for i in range(NODES)}
    with (
        contextlib.suppress(KeyboardInterrupt),
        tempfile.TemporaryDirectory() as folder,
        running_cluster(Path(folder), nodes) as processes,
    ):
        for node, process in processes.items():
            print(f"{node}: process {process.pid}, admin address {nodes[node].admin}", flush=True)
        print_commands(Path(folder), nodes, processes["n5"])
        while True:
            for addresses in nodes.values():
                send_request(addresses.listen)
                time.sleep(REQUEST_INTERVAL_S)


if __name__ == "__main__":
    main()
