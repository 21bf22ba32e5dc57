"""Seven nodes of one cluster on loopback, with emulated servers and their discovery, until Ctrl-C.

    PYTHONPATH=. python examples/members.py

Each node is a process of its own, with a ledger of its own. What is printed tells where to ask which members
are alive and on which version they act, how to publish a change, and how to read the audit; stop a node
(kill -STOP), or end it, and ask again.
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
    """Return an address on loopback that was free a moment ago, for sockets of a type."""
    with socket.socket(socket.AF_INET, socket_type) as sock:
        sock.bind(("127.0.0.1", 0))
        return "{}:{}".format(*sock.getsockname())


@dataclass
class NodeAddresses:
    """Where a node is reached: by members, by clients and by operators."""

    member: str
    listen: str
    admin: str


def new_addresses() -> NodeAddresses:
    """Return free addresses for a node."""
    return NodeAddresses(
        member=free_address(socket.SOCK_DGRAM),
        listen=free_address(socket.SOCK_STREAM),
        admin=free_address(socket.SOCK_STREAM),
    )


def write_configuration(folder: Path, name: str, nodes: dict[str, NodeAddresses]) -> Path:
    """Write a node's configuration, with its cluster in a file of its own; return the path of the former."""
    ledger = ledger_of(folder, name)
    create_ledger(ledger, name)
    members = "\n".join(f'{member} = "{addresses.member}"' for member, addresses in nodes.items())
    cluster = f'[fleet]\nname = "example"\nfolder = "{ledger}"\nvoters = {json.dumps(VOTERS)}\n'
    settings_of(folder, name).write_text(f"{cluster}[fleet.members]\n{members}\n")
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


def ledger_of(folder: Path, name: str) -> Path:
    """Return the folder of a node's ledger."""
    return folder / "ledgers" / name


def settings_of(folder: Path, name: str) -> Path:
    """Return the file of a node's own settings."""
    return folder / f"{name}.toml"


def start_node(folder: Path, name: str, nodes: dict[str, NodeAddresses]) -> subprocess.Popen[bytes]:
    """Start a node."""
    path = write_configuration(folder, name, nodes)
    arguments = ["serve", "--config", str(path), "--settings", str(settings_of(folder, name))]
    return subprocess.Popen([sys.executable, "-m", "marlseam", *arguments])


@contextlib.contextmanager
def running(folder: Path, nodes: dict[str, NodeAddresses]) -> Iterator[dict[str, subprocess.Popen[bytes]]]:
    """Run all nodes, the emulated servers and their discovery; end them all afterwards."""
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
            process.send_signal(signal.SIGCONT)  # guards against a stopped process, which could not end
        for process in started:
            process.wait()


def write_change(folder: Path) -> Path:
    """Write a configuration to publish, with another latency objective; return its path."""
    change = json.loads((folder / "n0.json").read_text())
    change["settings"]["requestClasses"][0]["aimUs"] *= 2
    path = folder / "change.json"
    path.write_text(json.dumps(change))
    return path


def print_commands(folder: Path, nodes: dict[str, NodeAddresses], process: subprocess.Popen[bytes]) -> None:
    """Print what may be tried; `process` is a node to stop."""
    admin, changed = nodes["n0"].admin, write_change(folder)
    print(
        f"""
which members are alive, and act:  python -m marlseam fleet status --at {admin}
publish a change (--why is kept):  python -m marlseam fleet publish {changed} --at {admin} --why trial
stop a node, and let it go on:     kill -STOP {process.pid}; kill -CONT {process.pid}
which node acted on what:          python -m marlseam fleet audit {folder}/ledgers/*
""",
        flush=True,
    )


def send_request(address: str) -> None:
    """Send a request to a node; one that cannot be reached is passed over."""
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
    """Run the nodes, and send requests to one after the other."""
    nodes = {f"n{i}": new_addresses() for i in range(NODES)}
    with (
        contextlib.suppress(KeyboardInterrupt),
        tempfile.TemporaryDirectory() as name,
        running(Path(name), nodes) as processes,
    ):
        for node, process in processes.items():
            print(f"{node} is process {process.pid}, its operators' door {nodes[node].admin}", flush=True)
        print_commands(Path(name), nodes, processes["n5"])
        while True:
            for addresses in nodes.values():
                send_request(addresses.listen)
                time.sleep(REQUEST_INTERVAL_S)


if __name__ == "__main__":
    main()
