"""Starts node processes against an emulated discovery service and polls their readiness.

A node is ready once `GET /-/ready` answers 200: the node listens and holds an endpoint list.
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

POLL_MS = 20.0  # between two readiness calls to a node
CALL_TIMEOUT_MS = 1000.0  # of a readiness call
NODE_MODULE = "marlseam.experiment.startup_timing"  # runs a node and logs each phase of its start
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
    """A call received by discovery: its monotonic time in s, and whether it requested the whole list."""

    at_s: float
    is_for_list: bool


class EmulatedDiscovery:
    """A discovery service whose list never changes; it holds each poll for changes for the timeout requested.

    Attributes:
        loop: the event loop that the service runs on.
        delay_ms: the time added to each answer, in ms.
        calls: the calls received so far.
        listener: the HTTP listener of the service.
    """

    def __init__(self, emulator: EmulatorProcess, delay_ms: float = 0.0, is_down: bool = False) -> None:
        """Start to listen, or refuse connections if `is_down`."""
        self.loop, self.delay_ms = emulator.loop, delay_ms
        self.calls: list[DiscoveryCall] = []
        self.listener = HttpListener(emulator, "discovery", self.answer)
        if is_down:
            self.listener.stop_listening()

    @property
    def address(self) -> str:
        """The address that the service listens on, or refuses connections at if it is down."""
        return self.listener.address

    def answer(self, connection: Connection, request: h11.Request, _body: bytes) -> Steps:
        """Record and answer one call."""
        target = request.target.decode()
        is_for_list = target == LIST_PATH
        self.calls.append(DiscoveryCall(time.monotonic(), is_for_list))
        hold_ms = 0.0 if is_for_list else float(target.rpartition("timeout_ms=")[2])
        yield from sleep(self.loop.now() + self.delay_ms + hold_ms)
        content = ENDPOINT_LIST if is_for_list else NO_CHANGES
        yield from reply(connection, 200, json.dumps(content).encode())


@dataclass
class NodeStart:
    """The start of one node process.

    Attributes:
        process: the node process.
        started_s: the monotonic time of the start, in s.
        port: the port that the node listens on, 0 until it is logged.
        ready_s: the time from the start until the node was found ready, in s; inf until then.
        phases_s: the time from the start until the first completion of each phase, in s, by phase.
        discovery_ends: the number of connections to discovery that ended, by reason code.
        log_text: the complete log lines read so far.
    """

    process: ChildProcess
    started_s: float
    port: int = 0
    ready_s: float = inf
    phases_s: dict[str, float] = field(default_factory=dict)
    discovery_ends: Counter[str] = field(default_factory=Counter)
    log_text: str = ""

    def read_log(self) -> None:
        """Process the complete lines that the node has logged since the last call."""
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
    """Starts nodes, reads their logs, and polls each node until it is ready.

    Attributes:
        emulator: the process context that emulated parts of the run share, with the event loop.
        loop: the event loop of `emulator`.
        directory: the directory of the nodes' configurations and logs.
        log: the log of the readiness calls' connections.
        starts: the starts so far, in order.
    """

    def __init__(self, emulator: EmulatorProcess, directory: Path) -> None:
        self.emulator, self.loop, self.directory = emulator, emulator.loop, directory
        self.log: Log = QuietLog("front", self.loop.now)
        self.starts: list[NodeStart] = []

    def start(self, name: str, config: dict[str, Any]) -> None:
        """Write the configuration of a node, start its process and begin to poll its readiness."""
        config_path, log_path = self.directory / f"{name}.json", self.directory / f"{name}.log"
        config_path.write_text(json.dumps(config))
        log_path.unlink(missing_ok=True)
        arguments = [str(os.getpid()), "serve", "--config", str(config_path)]
        started_s = time.monotonic()
        start = NodeStart(ChildProcess(arguments, log_path, module=NODE_MODULE), started_s)
        self.starts.append(start)
        self.loop.spawn(self.poll_until_ready(start))

    def poll_until_ready(self, start: NodeStart) -> Coroutine:
        """Poll a node until it is ready, then set `start.ready_s`."""
        while start.ready_s == inf:
            yield from sleep(self.loop.now() + POLL_MS)
            start.read_log()
            if start.port and (yield from self.is_ready(start.port)):
                start.ready_s = time.monotonic() - start.started_s

    def is_ready(self, port: int) -> Steps:
        """Return whether the node at a port answers the readiness call with 200 in time."""
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
        """Run the loop until `is_done` returns true or the timeout has passed."""
        end_ms = self.loop.now() + 1000.0 * timeout_s
        while not is_done() and self.loop.now() < end_ms:
            self.loop.call_at(min(end_ms, self.loop.now() + POLL_MS), lambda: None)
            self.loop.turn()

    def run_for(self, seconds: float) -> None:
        """Run the loop for the given time."""
        self.run_until(lambda: False, seconds)

    def all_ready(self) -> bool:
        """Return whether all started nodes have been found ready."""
        return all(start.ready_s < inf for start in self.starts)

    def end(self) -> None:
        """Kill all nodes, which have no state to save, and close their pipes and the loop."""
        for start in self.starts:
            start.process.signal(signal.SIGKILL)
        for start in self.starts:
            start.process.end()
        self.loop.finish()


@contextlib.contextmanager
def node_starter(directory: Path) -> Iterator[NodeStarter]:
    """Yield a starter whose files go to `directory`; kill its nodes at exit."""
    directory.mkdir(parents=True, exist_ok=True)
    starter = NodeStarter(EmulatorProcess("front", None), directory)
    try:
        yield starter
    finally:
        starter.end()
