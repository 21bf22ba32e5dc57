"""How soon restarted nodes are ready: many real processes at once, with discovery there, slow and away.

Ready is what the platform's front goes by (PROTOCOL): `GET /-/ready` has answered 200. A node does so once it
listens and holds a list, be that the one in its configuration, which may be old, or discovery's first.
"""

import contextlib
import json
import os
import re
import signal
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import ceil, inf
from pathlib import Path
from typing import Literal

import h11

from marlseam.emulators.base import Door, Quiet, Stand, reply
from marlseam.experiment import file
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.processes import ChildProcess
from marlseam.net.connection import Connection, ConnectionEndedError, Steps, connect
from marlseam.net.log import Log, Reason
from marlseam.net.loop import Coroutine, sleep
from marlseam.net.protocol import LIST_PATH, READY_PATH
from marlseam.simulation.model import (
    Count,
    Day,
    Fleet,
    Positive,
    RequestType,
    ServerKind,
    Strict,
    node_settings,
)

ASK_MS = 20.0  # between two looks of the front whether a node is ready
MOST_S = 30.0  # after which it is not (STANDING)
PARTS = ("interpreter", "import", "settings", "socket", "node", "list")
LINE = re.compile(r"began (\w+) ([0-9.]+)|listens on ([0-9.]+):(\d+)|discovery ended code=([\w-]+)")


class Case(Strict):
    """How discovery is, and whether nodes have a list in their configuration."""

    name: str
    discovery: Literal["there", "slow", "away"] = "there"
    listed: bool = True


class Ready(Strict):
    """How many processes start at once, and how slow discovery is."""

    processes: Count = 30
    slow_s: Positive = 3.0
    after_s: Positive = 5.0  # how long calls are counted after all are ready
    cases: list[Case] = []


@dataclass
class Start:
    """One process that starts: when, on which port, when it was ready, and what it said of its parts."""

    process: ChildProcess
    began_s: float
    port: int = 0
    ready_s: float = inf
    parts: dict[str, float] = field(default_factory=dict)
    ends: Counter[str] = field(default_factory=Counter)  # of its connections to discovery, by reason
    text: str = ""


class Service:
    """Discovery: one list, told at once or after so long; watches are held for as long as they ask."""

    def __init__(self, stand: Stand, case: Case, slow_s: float) -> None:
        self.stand, self.slow_ms = stand, 1000.0 * slow_s if case.discovery == "slow" else 0.0
        host = {
            "host": "e1",
            "dial": "127.0.0.1:9",
            "health": "active",
            "site": "here",
            "class": "plain",
            "block": 0,
            "share": 1.0,
            "born_ms": 0,
        }
        self.list = {"seq": 1, "whole": True, "hosts": [host]}
        self.calls: list[tuple[float, bool]] = []  # when, and whether for the whole list
        self.door = Door(stand, "discovery", self.answer)
        if case.discovery == "away":
            self.door.shut()

    def answer(self, connection: Connection, request: h11.Request, body: bytes) -> Steps:
        """Answer one call."""
        target, loop = request.target.decode(), self.stand.loop
        whole = target == LIST_PATH
        self.calls.append((time.monotonic(), whole))
        held_ms = 0.0 if whole else float(target.rpartition("timeout_ms=")[2])
        yield from sleep(loop.now() + self.slow_ms + held_ms)
        news = self.list if whole else {"seq": 1, "whole": False, "hosts": []}
        yield from reply(connection, 200, json.dumps(news).encode())


class Front:
    """Starts processes, reads what they say, and asks each whether it is ready until it is."""

    def __init__(self, stand: Stand, out: Path) -> None:
        self.stand, self.loop, self.out = stand, stand.loop, out
        self.log: Log = Quiet("front", self.loop.now)
        self.starts: list[Start] = []

    def start(self, name: str, config: dict) -> None:
        """Start a node."""
        path, log = self.out / f"{name}.json", self.out / f"{name}.log"
        path.write_text(json.dumps(config))
        log.unlink(missing_ok=True)
        words = [str(os.getpid()), "serve", "--config", str(path)]
        began = time.monotonic()
        made = Start(ChildProcess(words, log, module="marlseam.experiment.begun"), began)
        self.starts.append(made)
        self.loop.spawn(self.follow(made))

    def follow(self, start: Start) -> Coroutine:
        """Ask a node until it is ready."""
        while start.ready_s == inf:
            yield from sleep(self.loop.now() + ASK_MS)
            self.read(start)
            if start.port and (yield from self.ask(start.port)):
                start.ready_s = time.monotonic() - start.began_s

    def ask(self, port: int) -> Steps:
        """Return whether a node answers that it is ready."""
        until, connection = self.loop.now() + 1000.0, None
        try:
            connection = yield from connect(self.loop, self.log, ("127.0.0.1", port), "node", until)
            request = h11.Request(method="GET", target=READY_PATH, headers=[("Host", "front")])
            yield from connection.message(request, b"", until)
            return (yield from connection.answer(until)).status_code == 200
        except ConnectionEndedError:
            return False
        finally:
            if connection is not None:
                connection.close(Reason.DONE)

    def read(self, start: Start) -> None:
        """Take in what a node has said since the last look."""
        text = start.process.log.read_text(errors="replace")
        end = text.rfind("\n") + 1
        for part, at, host, port, code in LINE.findall(text[len(start.text) : end]):
            if part:
                start.parts.setdefault(part, float(at) - start.began_s)
            if host:
                start.port = int(port)
            if code:
                start.ends[code] += 1
        start.text = text[:end]

    def until(self, holds, most_s: float) -> None:  # noqa: ANN001
        """Go on until something holds, or the time is over."""
        end = self.loop.now() + 1000.0 * most_s
        while not holds() and self.loop.now() < end:
            self.loop.at(min(end, self.loop.now() + ASK_MS), lambda: None)
            self.loop.turn()


@contextlib.contextmanager
def front(out: Path) -> Iterator[Front]:
    """Give a front whose processes end with it."""
    out.mkdir(parents=True, exist_ok=True)
    made = Front(Stand("front", None), out)
    try:
        yield made
    finally:
        for start in made.starts:
            start.process.signal(signal.SIGKILL)  # nothing is owed here
        for start in made.starts:
            start.process.end()
        made.loop.finish()


def nearest(values: list[float], share: float) -> float:
    """Return the least value that so large a share of values does not exceed."""
    return sorted(values)[max(0, ceil(share * len(values)) - 1)]


def config_of(service: Service, case: Case, name: str, number: int, nodes: int) -> dict:
    """Return a node's configuration, as the platform writes it."""
    day = Day(
        seconds=1.0,
        types=[RequestType(name="statement", share=1.0, work_ms=50.0, promised_ms=200.0, limit_ms=5000.0)],
        fleet=Fleet(zones=["here"], nodes=nodes, kinds=[ServerKind(name="plain", executors=1)]),
    )
    return {
        "name": name,
        "listen": "127.0.0.1:0",
        "discovery": service.door.address,
        "seed": f"{number + 1:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": node_settings(day, "here"),
        "known": service.list if case.listed else {"seq": 0, "whole": True, "hosts": []},
    }


def started(case: Case, table: Ready, out: Path) -> tuple[dict[str, float], list[str]]:
    """Start all processes of a case at once; return its figures and its row of the table."""
    with front(out) as here:
        service = Service(here.stand, case, table.slow_s)
        for number in range(table.processes):
            name = f"n{number}"
            here.start(name, config_of(service, case, name, number, table.processes))
        began = here.starts[0].began_s
        here.until(lambda: all(start.ready_s < inf for start in here.starts), MOST_S)
        over = time.monotonic()
        here.until(lambda: False, table.after_s)
        for start in here.starts:
            here.read(start)
        end = time.monotonic()
    ready = [min(start.ready_s, MOST_S) for start in here.starts]
    failed = sum(sum(start.ends.values()) for start in here.starts)
    lists = sum(whole for _, whole in service.calls)
    found = {f"ready_{share}": nearest(ready, share / 100.0) for share in (50, 90, 100)}
    found |= {
        "list_calls_s": lists / (end - began),
        "calls_s": len(service.calls) / (end - began),
        "failed_calls_s": failed / (end - began),
        "seconds": over - began,
    }
    row = [case.name, *(f"{found[f'ready_{share}']:.2f}" for share in (50, 90, 100))]
    for part in PARTS:
        times = [start.parts[part] for start in here.starts if part in start.parts]
        found[f"part_{part}_50"] = nearest(times, 0.5) if times else MOST_S
        row.append(f"{found[f'part_{part}_50']:.2f}" if times else "-")
    rates = [f"{found[name]:.1f}" for name in ("list_calls_s", "calls_s", "failed_calls_s")]
    return found, row + rates


HEAD = ["discovery", "ready 50%", "90%", "100%", *PARTS, "list calls/s", "all calls/s", "failed/s"]


@register_play("ready")
def ready(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Start many processes at once, in each case."""
    table = experiment.tables["ready"]
    found, rows = {}, [HEAD]
    for case in table.cases:
        show_progress(case.name)
        figures, row = started(case, table, out / "logs" / case.name)
        found |= {f"{case.name}_{name}": value for name, value in figures.items()}
        rows.append(row)
    title = f"{table.processes} processes at once, seconds after their start (parts: the median)"
    return RunResult(found, tables=[(title, rows)], driver="sockets")


def register() -> None:
    """Make this play's table known to experiment files."""
    file.register("ready", Ready)
