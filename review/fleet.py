"""A small fleet of nodes with versions: their ledgers, settings, and what an operator calls."""

import json
import socket
import subprocess
from pathlib import Path
from typing import Any

import stand_ins as s

PYTHON = s.ROOT / ".venv" / "bin" / "python"
STATEMENT = {"name": "statement", "aimUs": 600000, "deadlineUs": 10000000, "semantics": "safe"}


def command(*arguments: str) -> str:
    """Run a command of the project's command line, and return what it printed."""
    done = subprocess.run(
        [str(PYTHON), "-m", "marlseam", *arguments], cwd=s.ROOT, capture_output=True, text=True, timeout=30.0
    )
    if done.returncode:
        raise s.CouldNotRunError(f"{arguments}: {done.stdout} {done.stderr}")
    return done.stdout.strip()


class Member:
    """One node of the fleet: its addresses and files."""

    def __init__(self, name: str, folder: Path, inherits: bool = False) -> None:
        self.name, self.folder = name, folder / name
        self.folder.mkdir()
        self.listener: socket.socket | None = None
        self.port = s.free_port()
        if inherits:
            self.listener = socket.socket()
            self.listener.bind((s.HOST, 0))
            self.listener.listen(512)
            self.port = self.listener.getsockname()[1]
        self.member, self.admin = s.free_port(socket.SOCK_DGRAM), s.free_port()

    def start(self, platform: s.Platform, admin: int) -> s.Node:
        """Start a process of the node."""
        environment = {
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "EDGE_ADMIN": f"{s.HOST}:{admin}",
            "MARLSEAM_SETTINGS": str(self.folder / "marlseam.toml"),
            "TMPDIR": str(self.folder),
        }
        return platform.start(self.name, environment, self.listener)


def prepare(members: list[Member], voters: list[str], discovery: s.Discovery, fleet: dict[str, Any]) -> None:
    """Write the files of all nodes, and begin their ledgers."""
    addresses = "".join(f'{member.name} = "{s.HOST}:{member.member}"\n' for member in members)
    for member in members:
        ledger = member.folder / "ledger"
        command("fleet", "begin", str(ledger), member.name)
        table = {"name": "lakes", "folder": str(ledger), "voters": voters, **fleet}
        rows = "".join(f"{key} = {json.dumps(value)}\n" for key, value in table.items())
        text = f"[fleet]\n{rows}[fleet.members]\n{addresses}"
        (member.folder / "marlseam.toml").write_text(text, encoding="utf-8")
        known = {"seq": discovery.version, "whole": True, "hosts": discovery.rows}
        settings = s.settings([STATEMENT], fleetSize=len(members))
        path = member.folder / "config.json"
        s.write_configuration(path, member.name, member.port, discovery.port, settings, known)


class Sent:
    """The attempts that executors got, with the version header that each carried."""

    def __init__(self, record: s.Record) -> None:
        self.record = record
        self.jobs: list[s.Job] = []

    async def work(self, _executor: s.Executor, job: s.Job) -> str:
        """Run a job."""
        self.record.line(f"job {job.id} carries X-Marlseam-Acting: {job.acting}")
        self.jobs.append(job)
        return "done"
