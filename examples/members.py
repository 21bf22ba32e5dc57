"""Seven nodes of one fleet on loopback, with stand-in executors and a roster, until Ctrl-C.

    PYTHONPATH=. python examples/members.py

Each node is a process of its own. What is printed tells where to ask who is there; stop one (kill -STOP), or
end it, and ask again.
"""

import json
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

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


def main() -> None:
    """Run the nodes."""
    names = [f"n{i}" for i in range(NODES)]
    members = "\n".join(f'{name} = "{free(socket.SOCK_DGRAM)}"' for name in names)
    doors = {name: free(socket.SOCK_STREAM) for name in names}
    roster = subprocess.Popen([sys.executable, str(Path(__file__).with_name("fleet.py"))])
    nodes: dict[str, subprocess.Popen] = {}
    with tempfile.TemporaryDirectory() as folder:
        own = Path(folder, "marlseam.toml")
        own.write_text(f'[fleet]\nname = "example"\n[fleet.members]\n{members}\n')
        try:
            for name in names:
                values = {"name": name, "listen": "127.0.0.1:0", "admin": doors[name]}
                values |= {"discovery": "127.0.0.1:8500", "settings": settings(DAY, "here")}
                path = Path(folder, f"{name}.json")
                path.write_text(json.dumps(values))
                words = ["serve", "--config", str(path), "--settings", str(own)]
                nodes[name] = subprocess.Popen([sys.executable, "-m", "marlseam", *words])
            for name, node in nodes.items():
                print(f"{name} is process {node.pid}, its operators' door {doors[name]}", flush=True)
            print(f"\npython -m marlseam fleet status --at {doors['n0']}\n", flush=True)
            signal.pause()
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
