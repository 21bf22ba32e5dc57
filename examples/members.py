"""Seven nodes of one fleet on loopback, with stand-in executors and a roster, under load until Ctrl-C.

    PYTHONPATH=. python examples/members.py

Each node is a process of its own, with a ledger of its own. What is printed tells where to ask who is there
and acts on what, how to publish a change, and how to read the audit; stop a node (kill -STOP), or end it,
and ask again.
"""

import http.client
import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from uuid import uuid4

from marlseam.store.ledger_writer import first_life
from marlseam.world.model import Day, Fleet, Kind, Type, settings

NODES = 7
DAY = Day(
    seconds=1.0,
    fleet=Fleet(zones=["here"], nodes=NODES, kinds=[Kind(name="plain", executors=3, slots=2, queue=8)]),
    types=[Type(name="statement", share=1.0, work_ms=200.0, promised_ms=500.0, limit_ms=10000.0)],
)


def free(kind: int) -> str:
    """Return an address on loopback that was free a moment ago."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return "{}:{}".format(*sock.getsockname())


def asked(address: str) -> None:
    """Have one statement run."""
    try:
        call = http.client.HTTPConnection(address, timeout=5.0)
        head = {"X-Correlation-Id": uuid4().hex, "X-Service-Class": "statement", "X-Time-Left": "5.0"}
        call.request("POST", "/statement", b'{"work": 50}', head)
        call.getresponse().read()
    except (OSError, http.client.HTTPException):
        pass  # that node is away


def main() -> None:
    """Run the nodes, and ask one after the other for something."""
    names = [f"n{i}" for i in range(NODES)]
    members = "\n".join(f'{name} = "{free(socket.SOCK_DGRAM)}"' for name in names)
    doors = {name: free(socket.SOCK_STREAM) for name in names}
    listens = {name: free(socket.SOCK_STREAM) for name in names}
    roster = subprocess.Popen([sys.executable, str(Path(__file__).with_name("fleet.py"))])
    nodes: dict[str, subprocess.Popen] = {}
    with tempfile.TemporaryDirectory() as folder:
        try:
            for name in names:
                ledger = Path(folder, "ledgers", name)
                first_life(ledger, name)
                own = Path(folder, f"{name}.toml")
                head = f'[fleet]\nname = "example"\nfolder = "{ledger}"\nvoters = ["n0", "n1", "n2"]\n'
                own.write_text(f"{head}[fleet.members]\n{members}\n")
                values = {"name": name, "listen": listens[name], "admin": doors[name]}
                values |= {"discovery": "127.0.0.1:8500", "settings": settings(DAY, "here")}
                path = Path(folder, f"{name}.json")
                path.write_text(json.dumps(values))
                words = ["serve", "--config", str(path), "--settings", str(own)]
                nodes[name] = subprocess.Popen([sys.executable, "-m", "marlseam", *words])
            for name, node in nodes.items():
                print(f"{name} is process {node.pid}, its operators' door {doors[name]}", flush=True)
            change = json.loads(Path(folder, "n0.json").read_text())
            change["settings"]["requestClasses"][0]["aimUs"] *= 2
            changed = Path(folder, "change.json")
            changed.write_text(json.dumps(change))
            print(
                f"""
who is there, and acts on what:  python -m marlseam fleet status --at {doors["n0"]}
publish a change (--why is kept): python -m marlseam fleet publish {changed} --at {doors["n0"]} --why trial
stop a node, and let it go on:   kill -STOP {nodes["n5"].pid}; kill -CONT {nodes["n5"].pid}
who acted on what:               python -m marlseam fleet audit {folder}/ledgers/*
""",
                flush=True,
            )
            while True:
                for name in names:
                    asked(listens[name])
                    time.sleep(0.02)
        except KeyboardInterrupt:
            pass
        finally:
            for process in (*nodes.values(), roster):
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGCONT)  # one that was stopped could not end
            for process in (*nodes.values(), roster):
                process.wait()


if __name__ == "__main__":
    main()
