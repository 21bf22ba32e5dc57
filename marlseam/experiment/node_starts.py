"""Node processes that start against an emulated discovery service, and are asked whether they are ready.

A node is ready once `GET /-/ready` answers 200: it listens and holds an endpoint list.
"""

import contextlib
import json
import os
import re
import signal
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from typing import Any, NamedTuple

import h11

from marlseam.emulators.http_listener import HttpListener, reply
from marlseam.emulators.process import EmulatorProcess, QuietLog
from marlseam.experiment.processes import ChildProcess
from marlseam.net.connection import Connection, Steps, connect
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.log import Log, Reason
from marlseam.net.loop import Coroutine, sleep
from marlseam.net.protocol import LIST_PATH, READY_PATH

POLL_MS = 20.0  # between two questions whether a node is ready
CALL_TIMEOUT_MS = 1000.0
NODE_MODULE = (
    "marlseam.experiment.startup_timing"  # as which nodes run, so that they log when each phase began
)
LOG_EVENT = re.compile(
    r"began (?P<phase>\w+) (?P<at_s>[0-9.]+)"
    r"|listens on (?P<host>[0-9.]+):(?P<port>\d+)"
    r"|discovery ended code=(?P<code>[\w-]+)"
)
ENDPOINT_LIST = {
    "seq": 1,
    "whole": True,
    "hosts": [
        {
            "host": "e1",
            "dial": "127.0.0.1:9",
            "health": "active",
            "site": "here",
            "class": "plain",
            "block": 0,
            "share": 1.0,
            "born_ms": 0,
        }
    ],
}
NO_CHANGES = {"seq": 1, "whole": False, "hosts": []}


class DiscoveryCall(NamedTuple):
    """A call of discovery: when, by the monotonic clock in s, and whether for the whole list."""

    at_s: float
    is_for_list: bool


class EmulatedDiscovery:
    """Discovery with one list that never changes; a poll for changes is held for as long as it asks.

    Attributes:
        delay_ms: that each answer takes.
        calls: so far.
        door: where it listens.
    """

    def __init__(self, stand: EmulatorProcess, delay_ms: float = 0.0, is_down: bool = False) -> None:
        """Listen, or refuse connections where it is down."""
        self.loop, self.delay_ms = stand.loop, delay_ms
        self.calls: list[DiscoveryCall] = []
        self.door = HttpListener(stand, "discovery", self.answer)
        if is_down:
            self.door.stop_listening()

    @property
    def address(self) -> str:
        """Where it listens."""
        return self.door.address

    def answer(self, connection: Connection, request: h11.Request, _body: bytes) -> Steps:
        """Answer one call."""
        target = request.target.decode()
        is_for_list = target == LIST_PATH
        self.calls.append(DiscoveryCall(time.monotonic(), is_for_list))
        held_ms = 0.0 if is_for_list else float(target.rpartition("timeout_ms=")[2])
        yield from sleep(self.loop.now() + self.delay_ms + held_ms)
        content = ENDPOINT_LIST if is_for_list else NO_CHANGES
        yield from reply(connection, 200, json.dumps(content).encode())


@dataclass
class NodeStart:
    """One node process that starts.

    Attributes:
        process: the process.
        started_s: when it was started, by the monotonic clock.
        port: where the node listens, 0 while that is not known.
        ready_s: how long after its start it was ready, inf while it is not.
        phases_s: how long after its start each phase of the start was over.
        discovery_ends: how often its connections to discovery ended, by reason.
        log_text: what it has logged, whole lines.
    """

    process: ChildProcess
    started_s: float
    port: int = 0
    ready_s: float = inf
    phases_s: dict[str, float] = field(default_factory=dict)
    discovery_ends: Counter[str] = field(default_factory=Counter)
    log_text: str = ""

    def read_log(self) -> None:
        """Take in what the node has logged since the last time."""
        text = self.process.log.read_text(errors="replace")
        end = text.rfind("\n") + 1
        for event in LOG_EVENT.finditer(text[len(self.log_text) : end]):
            if event["phase"]:
                self.phases_s.setdefault(event["phase"], float(event["at_s"]) - self.started_s)
            if event["port"]:
                self.port = int(event["port"])
            if event["code"]:
                self.discovery_ends[event["code"]] += 1
        self.log_text = text[:end]


class NodeStarter:
    """Starts nodes, reads their logs, and asks each whether it is ready until it is.

    Attributes:
        stand: the loop, and what an emulated part of the run needs.
        directory: of the nodes' configurations and logs.
        starts: the nodes that were started.
    """

    def __init__(self, stand: EmulatorProcess, directory: Path) -> None:
        """Begin without nodes."""
        self.stand, self.loop, self.directory = stand, stand.loop, directory
        self.log: Log = QuietLog("front", self.loop.now)
        self.starts: list[NodeStart] = []

    def start(self, name: str, config: dict[str, Any]) -> None:
        """Start a node."""
        config_path, log_path = self.directory / f"{name}.json", self.directory / f"{name}.log"
        config_path.write_text(json.dumps(config))
        log_path.unlink(missing_ok=True)
        arguments = [str(os.getpid()), "serve", "--config", str(config_path)]
        started_s = time.monotonic()
        start = NodeStart(ChildProcess(arguments, log_path, module=NODE_MODULE), started_s)
        self.starts.append(start)
        self.loop.spawn(self.poll_until_ready(start))

    def poll_until_ready(self, start: NodeStart) -> Coroutine:
        """Ask a node until it is ready."""
        while start.ready_s == inf:
            yield from sleep(self.loop.now() + POLL_MS)
            start.read_log()
            if start.port and (yield from self.is_ready(start.port)):
                start.ready_s = time.monotonic() - start.started_s

    def is_ready(self, port: int) -> Steps:
        """Return whether the node at a port answers that it is ready."""
        until_ms = self.loop.now() + CALL_TIMEOUT_MS
        connection = None
        try:
            connection = yield from connect(self.loop, self.log, ("127.0.0.1", port), "node", until_ms)
            request = h11.Request(method="GET", target=READY_PATH, headers=[("Host", "front")])
            yield from connection.message(request, b"", until_ms)
            response = yield from connection.answer(until_ms)
        except ConnectionEndedError:
            return False
        else:
            return response.status_code == 200
        finally:
            if connection is not None:
                connection.close(Reason.DONE)

    def run_until(self, is_done: Callable[[], bool], timeout_s: float) -> None:
        """Run the loop until something is done, or the time is over."""
        end_ms = self.loop.now() + 1000.0 * timeout_s
        while not is_done() and self.loop.now() < end_ms:
            self.loop.at(min(end_ms, self.loop.now() + POLL_MS), lambda: None)
            self.loop.turn()

    def run_for(self, seconds: float) -> None:
        """Run the loop for so long."""
        self.run_until(lambda: False, seconds)

    def all_ready(self) -> bool:
        """Return whether all nodes were found ready."""
        return all(start.ready_s < inf for start in self.starts)

    def end(self) -> None:
        """Kill all nodes, which hold nothing that matters, and close what is held of them."""
        for start in self.starts:
            start.process.signal(signal.SIGKILL)
        for start in self.starts:
            start.process.end()
        self.loop.finish()


@contextlib.contextmanager
def node_starter(directory: Path) -> Iterator[NodeStarter]:
    """Give a starter whose nodes end with it."""
    directory.mkdir(parents=True, exist_ok=True)
    starter = NodeStarter(EmulatorProcess("front", None), directory)
    try:
        yield starter
    finally:
        starter.end()
