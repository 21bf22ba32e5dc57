"""`size_roster`: what a list of executors costs a node, by its length.

The whole list, one change, and a thousand changes in one answer: bytes, processor time, the longest turn,
memory, how many entries a change touches, and what a decision costs. Hollow nodes take the service's answers
as they would come, through discovery's own code with a socket that is none; a band of real nodes on loopback
is given the same answers by the same service.
"""

import contextlib
import gc
import heapq
import http.client
import json
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Generator, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import h11

from marlseam import configuration, core
from marlseam.core import EndpointEntry
from marlseam.counters import Counters
from marlseam.decisions.types import EndpointState, LoadReport, Outcome, Request
from marlseam.emulators.discovery import HEALTH
from marlseam.experiment import file, size, slope
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.processes import RunFailedError
from marlseam.experiment.slope import Slope
from marlseam.net import protocol
from marlseam.net.connection import Connection
from marlseam.net.discovery import Discovery
from marlseam.net.limits import connection_limits, settings_for_process
from marlseam.net.log import Log
from marlseam.net.loop import LATE, READY, Loop
from marlseam.net.upstream import Upstream
from marlseam.simulation.discovery import EndpointList
from marlseam.simulation.model import Count, Strict

THOUSAND = 1000  # changes in one answer: a zone of 22, as the letter's faults go
UNIT_MS, RUN_MS, WAY_MS = 5.0, 1.5, 1.0  # between work units, of a run, of a probe and its answer
LAUNCH_MB, EACH_MB, ENTRY_MB = 120.0, 45.0, 0.0035  # of the play; of a node with its Python; of an entry
ANSWERED_S = 60.0  # for the band to take an answer in


class Sizes(Strict):
    """Lengths of the list, and the work at each."""

    sizes: list[Count]
    real: int = 20  # nodes of the band; 0 for none
    changes: Count = 60  # single ones, one answer each, at the hollow node
    real_changes: Count = 12  # likewise, at the band
    units: Count = 2000  # work units whose decisions are counted
    real_units: Count = 600  # likewise, at one real node, after as many that are not counted


def need(table: Sizes, count: int) -> size.Need:
    """Return what a list of some length needs: the play, one hollow node in a process of its own, a band."""
    node = EACH_MB + ENTRY_MB * count
    return size.Need(LAUNCH_MB + ENTRY_MB * count + (1 + table.real) * node, 2 + table.real)


# The list and its service.


class Listing:
    """The roster and its answers as bytes, the same for hollow and real nodes."""

    def __init__(self, count: int, dial: str = "") -> None:
        """Make one; `dial` is the address of all executors, one each where none is given."""
        self.dial = dial
        self.count, self.turn, self.births = count, 0, 0
        self.roster = EndpointList([], 1e9, 1e9)
        self.whole = False  # whether the next answer is the whole list
        self.names = [f"w-{i:05}" for i in range(count)]

    def entry(self, i: int, state: EndpointState, born: float | None) -> EndpointEntry:
        """Return an executor as it is listed: zones in rows, three kinds, cells of four."""
        kind = 0 if i % 21 < 11 else 1 + i % 2
        return EndpointEntry(self.names[i], state, kind, i % len(size.ZONES), i // 4, born)

    def fill(self) -> None:
        """List all, at once."""
        for i in range(self.count):
            self.roster.add_entry(self.entry(i, EndpointState.READY, None))

    def change(self) -> None:
        """Change one entry: it is to leave, then gone, then back as another process; then the next."""
        i, step = divmod(self.turn, 3)
        state = (EndpointState.DRAINING, EndpointState.GONE, EndpointState.READY)[step]
        self.roster.add_entry(self.entry(i % self.count, state, self.born() if step == 2 else None))
        self.turn += 1

    def born(self) -> float:
        """Return when a new process began, in Unix ms, another at each call."""
        self.births += 1
        return 1.7e12 + self.births

    def zone(self, state: EndpointState) -> None:
        """Have up to a thousand entries be gone, or back, at once."""
        for i in range(min(THOUSAND, self.count)):
            self.roster.add_entry(self.entry(i, state, self.born() if state is EndpointState.READY else None))

    def body(self, since: int, whole: bool) -> bytes:
        """Return an answer's body: what is newer than a version, or all."""
        _, rows = self.roster.answer_since(0 if whole else since)
        hosts = [
            {
                "host": row.server,
                "dial": self.dial or f"10.{row.cell >> 8 & 255}.{row.cell & 255}.{row.zone}:7070",
                "site": size.ZONES[row.zone],
                "class": size.KINDS[row.kind],
                "block": row.cell,
                "health": HEALTH[row.state],
                "share": 1.0,
                "born_ms": row.process_started_ms or 0.0,
            }
            for row in rows
        ]
        return json.dumps({"seq": self.roster.version(), "whole": whole, "hosts": hosts}).encode()

    def answer(self, since: int, whole: bool) -> bytes:
        """Return an answer as it stands on the wire."""
        body = self.body(since, whole)
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body


class Service:
    """Gives the band its answers on loopback, a thread a connection; asked again, a node has taken one in."""

    def __init__(self, listing: Listing) -> None:
        self.listing, self.holds = listing, threading.Condition()
        self.versions: dict[int, float] = {}  # by connection: when it asked for what is newer than now
        self.asked: dict[int, int] = {}  # by connection: since which version it last asked
        self.answers: dict[tuple[int, bool], bytes] = {}
        self.over = False
        self.door = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "{}:{}".format(*self.door.getsockname())
        self.count = 0
        self.sent = 0  # bytes
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Take connections."""
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.door.accept()
                self.count += 1
                threading.Thread(target=self.serve, args=(sock, self.count), daemon=True).start()

    def serve(self, sock: socket.socket, number: int) -> None:
        """Answer one node's calls."""
        with contextlib.suppress(OSError), sock:
            rest = b""
            while not self.over:
                while b"\r\n\r\n" not in rest:
                    more = sock.recv(4096)
                    if not more:
                        return
                    rest += more
                head, _, rest = rest.partition(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                since = int(target.partition("since=")[2].partition("&")[0] or 0)
                with self.holds:
                    self.asked[number], self.versions[number] = since, time.monotonic()
                    self.holds.notify_all()
                    whole = "since=" not in target or not self.newer(since, target)
                    data = self.data(since, whole)
                sock.sendall(data)
                self.sent += len(data)
        with self.holds:
            self.asked.pop(number, None)
            self.holds.notify_all()

    def newer(self, since: int, target: str) -> bool:
        """Wait for what is newer, as long as a call asks; return whether the answer tells changes alone."""
        wait_ms = float(target.partition("timeout_ms=")[2].partition("&")[0] or 0.0)
        end = time.monotonic() + wait_ms / 1000.0
        while self.listing.roster.version() <= since and not self.over:
            if not self.holds.wait(end - time.monotonic()):
                return True
        return not self.listing.whole

    def data(self, since: int, whole: bool) -> bytes:
        """Return an answer, made once for all."""
        key = (since, whole)
        if key not in self.answers:
            self.answers.clear()
            self.answers[key] = self.listing.answer(since, whole)
        return self.answers[key]

    def publish(self, change: Callable[[], None], whole: bool, nodes: int) -> float:
        """Change the list; return the ms until all nodes have taken that in and ask for what is newer."""
        with self.holds:
            self.listing.whole = whole
            change()
            version = self.listing.roster.version()
            self.data(min(self.asked.values(), default=0), whole)
            began = time.monotonic()
            self.holds.notify_all()
        self.settled(version, nodes)
        return 1000.0 * (max(self.versions.values()) - began)

    def settled(self, version: int, nodes: int) -> None:
        """Wait until so many nodes hold a version."""
        end = time.monotonic() + ANSWERED_S
        with self.holds:
            while sum(since >= version for since in self.asked.values()) < nodes:
                if not self.holds.wait(end - time.monotonic()):
                    held = sum(since >= version for since in self.asked.values())
                    raise RunFailedError(
                        f"{held} of {nodes} nodes took version {version} in, in {ANSWERED_S:g} s"
                    )

    def close(self) -> None:
        """End."""
        with self.holds:
            self.over = True
            self.holds.notify_all()
        self.door.close()


# A hollow node.


class Quiet(Log):
    """A log that nobody reads."""

    def write(self, text: str) -> None:
        """Drop a line."""


class Stream:
    """A socket that is none: bytes that have come, and none more."""

    def __init__(self) -> None:
        self.come, self.gone = memoryview(b""), 0

    def recv_into(self, room: memoryview) -> int:
        """Give what fits of what has come."""
        if not self.come:
            raise BlockingIOError
        count = min(len(room), len(self.come))
        room[:count] = self.come[:count]
        self.come = self.come[count:]
        return count

    def send(self, data: memoryview) -> int:
        """Take all."""
        self.gone += len(data)
        return len(data)

    def fileno(self) -> int:
        """Return what is no descriptor."""
        return -1


class Touched(list):
    """A list that notes which of its places are read, and how often."""

    def __init__(self, values: list, places: Counter[int]) -> None:
        super().__init__(values)
        self.places = places

    def __getitem__(self, at: Any) -> Any:  # noqa: ANN401
        self.places[at] += 1
        return super().__getitem__(at)

    def __iter__(self) -> Iterator[Any]:
        for i, value in enumerate(super().__iter__()):
            self.places[i] += 1
            yield value


class TouchedDict(dict):
    """A table that notes which of its keys are read, and how often."""

    def __init__(self, values: dict, keys: Counter[str]) -> None:
        super().__init__(values)
        self.read = keys

    def values(self) -> Iterator[Any]:
        """Give the values."""
        for key, value in super().items():
            self.read[key] += 1
            yield value

    def items(self) -> Iterator[tuple[str, Any]]:
        """Give keys and values."""
        for key, value in super().items():
            self.read[key] += 1
            yield key, value

    def __iter__(self) -> Iterator[str]:
        for key in super().__iter__():
            self.read[key] += 1
            yield key

    def __getitem__(self, key: str) -> Any:  # noqa: ANN401
        self.read[key] += 1
        return super().__getitem__(key)


class Hollow:
    """A node's discovery, table of executors and reducer, as a real one joins them, without its loop."""

    def __init__(self, path: Path) -> None:
        self.clock = size.Charged()
        self.loop = Loop(print)
        self.loop.now = self.clock.due
        config = configuration.load(str(path))
        self.core = core.Reducer()
        self.marks = self.probes = self.sends = 0
        self.due: list[tuple[float, int, core.Event]] = []
        log = Quiet("hollow", self.clock.due)
        self.executors = Upstream(
            self.loop, log, config.deployment, connection_limits(config).servers, self.post, Counters()
        )
        self.discovery = Discovery(self.loop, log, config, self.executors, self.post)
        self.stream = Stream()
        self.connection = Connection(self.loop, log, self.stream, h11.CLIENT, "discovery")
        self.post(core.NodeStarted(settings_for_process(config.deployment.settings), config.seed))

    def post(self, event: core.Event) -> None:
        """Hand an event to the reducer, and note what is due of what it asks for."""
        for effect in self.core.reduce(self.clock.due(), event):
            kind = type(effect)
            if kind is core.SetTimer:
                self.marks += 1
                heapq.heappush(
                    self.due,
                    (self.clock.due() + effect.delay_ms, self.marks, core.TimerFired(effect.timer_id)),
                )
            elif kind is core.Probe:
                self.probes += 1
                told = core.ProbeEnded(effect.server, Outcome.COMPLETED, WAY_MS, LoadReport(0.0, 0.0, 8.0))
                self.later(WAY_MS, told)
            elif kind is core.SendAttempt:
                self.sends += 1
                self.later(WAY_MS, core.AttemptStarted(effect.request_id, effect.attempt_index))
                self.later(
                    RUN_MS,
                    core.AttemptEnded(effect.request_id, effect.attempt_index, Outcome.COMPLETED, True, None),
                )

    def later(self, delay_ms: float, event: core.Event) -> None:
        """Have an event happen later."""
        self.marks += 1
        heapq.heappush(self.due, (self.clock.due() + delay_ms, self.marks, event))

    def take(self, data: bytes) -> None:
        """Ask for what is newer, and take in an answer, each wait of that a turn's end."""
        self.stream.come = memoryview(data)
        target = protocol.watch_target(self.discovery.version, self.discovery.wait_ms)

        def asked() -> Generator:
            news = yield from self.discovery.call(self.connection, target, 1e18)
            self.discovery.heed(self.connection, news)

        self.steps(asked())

    def steps(self, steps: Generator) -> None:
        """Go through a coroutine."""
        value = None
        try:
            while True:
                fd, _, _ = self.clock.do(steps.send, value)
                value = READY if fd >= 0 else LATE
        except StopIteration:
            return

    def touched(self, data: bytes) -> tuple[int, int]:
        """Take in an answer, and return how many entries were looked at for it, and how often in all."""
        places, keys = Counter[int](), Counter[str]()
        node, executors = self.core.dispatcher, self.executors
        state, zone, peers = node.endpoint_state, node.zone, executors.pool.servers
        node.endpoint_state, node.zone = Touched(state, places), Touched(zone, places)
        executors.pool.servers = TouchedDict(peers, keys)
        self.take(data)
        node.endpoint_state, node.zone = (
            list(list.__iter__(node.endpoint_state)),
            list(list.__iter__(node.zone)),
        )
        executors.pool.servers = dict(dict.items(executors.pool.servers))
        return max(len(places), len(keys)), places.total() + keys.total()

    def work(self, units: int) -> None:
        """Take work units one after another, each once the one before has its answer, as a real node does."""
        for i in range(units):
            unit = Request(f"u{i}", i % 2, self.clock.due() + 5000.0)
            self.clock.do(self.post, core.RequestArrived(unit))
            self.until(self.clock.due_ms + UNIT_MS)

    def until(self, end_ms: float) -> None:
        """Let happen what is due."""
        while self.due and self.due[0][0] <= end_ms:
            due, _, event = heapq.heappop(self.due)
            self.clock.wait(due)
            self.clock.do(self.post, event)
        self.clock.wait(end_ms)

    def close(self) -> None:
        """Give back what the loop holds of the system."""
        self.loop.poll.close()
        self.loop.first.close()


def hollow(table: Sizes, count: int, seed: int, path: str) -> dict[str, float]:
    """Return what a list of some length costs a hollow node."""
    gc.freeze()  # as a node does at its start
    node, listing = Hollow(Path(path)), Listing(count)
    listing.change()  # the list that is held first, of one
    node.take(listing.answer(0, True))
    before = size.resident_mb()
    listing.fill()
    data = listing.answer(0, True)
    found = {"whole_bytes": float(len(data))}
    spent = node.clock.mark()
    node.take(data)
    found |= {"whole_ms": node.clock.cpu_ms - spent, "whole_turn_ms": node.clock.longest_ms}
    del data
    found["memory_mb"] = size.resident_mb() - before
    found["process_mb"] = size.resident_mb()
    took, longest, sent = [], [], 0
    for _ in range(table.changes):
        data = told(listing, listing.change)
        sent += len(data)
        spent = node.clock.mark()
        node.take(data)
        took.append(node.clock.cpu_ms - spent)
        longest.append(node.clock.longest_ms)
    found |= {"one_ms": size.middle(took), "one_turn_ms": size.middle(longest), "one_most_ms": max(longest)}
    found["one_bytes"] = sent / table.changes
    for name, state in (("thousand", EndpointState.GONE), ("thousand_back", EndpointState.READY)):
        data = told(listing, partial(listing.zone, state))
        found[f"{name}_bytes"] = float(len(data))
        spent = node.clock.mark()
        node.take(data)
        found |= {f"{name}_ms": node.clock.cpu_ms - spent, f"{name}_turn_ms": node.clock.longest_ms}
    touched, reads = node.touched(told(listing, listing.change))
    found |= {"touched": float(touched), "reads": float(reads)}
    found |= decisions(node, table)
    node.close()
    return found


def told(listing: Listing, change: Callable[[], None]) -> bytes:
    """Change the list, and return the answer that tells it."""
    since = listing.roster.version()
    change()
    return listing.answer(since, False)


def decisions(node: Hollow, table: Sizes) -> dict[str, float]:
    """Return what decisions cost: the reducer's processor time a work unit, and its longest turn."""
    node.clock.rest()
    node.work(table.units // 10)  # what is learned and asked first is not the ordinary
    spent, probes, sends = node.clock.mark(), node.probes, node.sends
    node.work(table.units)
    return {
        "decision_us": 1000.0 * (node.clock.cpu_ms - spent) / table.units,
        "decision_turn_ms": node.clock.longest_ms,
        "decision_late_ms": node.clock.late_ms,
        "unit_probes": (node.probes - probes) / table.units,
        "unit_sends": (node.sends - sends) / table.units,
    }


# Real nodes.


class Executor:
    """All executors on loopback: one door, which answers at once under the name that it is called by."""

    def __init__(self) -> None:
        self.door = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "{}:{}".format(*self.door.getsockname())
        self.probes = self.took = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Take connections, a thread each."""
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.door.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Answer probes and allocations; none has a body."""
        with contextlib.suppress(OSError), sock:
            rest = b""
            while True:
                while b"\r\n\r\n" not in rest:
                    more = sock.recv(4096)
                    if not more:
                        return
                    rest += more
                head, _, rest = rest.partition(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                told = {name.lower(): text.strip() for name, _, text in (row.partition(":") for row in lines)}
                if first.startswith("GET"):
                    self.probes += 1
                    body = b"TEXT backlog=0, x0=8"
                else:
                    self.took += 1
                    row = {"id": told[protocol.ID.lower()], "from": told["host"]}
                    rows = [row | {"state": "started"}, row | {"state": "done", "result": "x"}]
                    body = b"".join(json.dumps(line).encode() + b"\n" for line in rows)
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def close(self) -> None:
        """End."""
        self.door.close()


def single(table: Sizes, count: int, seed: int, out: Path) -> dict[str, float]:
    """Return the longest turn of one real node that is given the whole list, then what its work costs it."""
    executor = Executor()
    listing = Listing(count, executor.address)
    listing.change()
    service, band = Service(listing), size.Band(out)
    try:
        node = band.start("single", size.node_config("single", service.address, 1, seed))
        band.listens()
        service.settled(1, 1)
        service.publish(listing.fill, True, 1)
        call = http.client.HTTPConnection(band.address("single"), timeout=10.0)
        work(call, table.real_units)  # until there are as many connections as there may be
        spent, probes, took = size.cpu_ms(node.process.pid), executor.probes, executor.took
        work(call, table.real_units)
        found = {
            "unit_us": 1000.0 * (size.cpu_ms(node.process.pid) - spent) / table.real_units,
            "unit_probes": (executor.probes - probes) / table.real_units,
            "unit_sends": (executor.took - took) / table.real_units,
        }
        call.close()
    finally:
        service.close()
        executor.close()
        band.end()
    return found | {"whole_turn_ms": band.turns_ms(1)[0]}


def work(call: http.client.HTTPConnection, units: int) -> None:
    """Hand a node work units, one after another."""
    for i in range(units):
        name = ("urgent", "task")[i % 2]
        head = {protocol.ID: f"u{i}", protocol.TYPE: name, protocol.TIME_LEFT: "5"}
        call.request("POST", f"/{name}", b"", head)
        answer = call.getresponse()
        answer.read()
        if answer.status != 200:
            raise RunFailedError(f"a work unit was answered with {answer.status}")


def real(table: Sizes, count: int, seed: int, out: Path) -> dict[str, float]:
    """Return what the same costs each node of the band, the median over its nodes."""
    listing, names = Listing(count), [f"n{i}" for i in range(table.real)]
    listing.change()
    service, band = Service(listing), size.Band(out)
    found: dict[str, float] = {}

    def step(change: Callable[[], None], whole: bool) -> tuple[float, float]:
        before = band.cpu_ms()
        took = service.publish(change, whole, table.real)
        after = band.cpu_ms()
        return size.middle([after[name] - before[name] for name in names]), took

    try:
        for i, name in enumerate(names):
            band.start(name, size.node_config(name, service.address, table.real, seed + i))
        band.listens()
        service.settled(1, table.real)
        memory = band.resident_mb()
        found["whole_ms"], found["whole_all_ms"] = step(listing.fill, True)
        now = band.resident_mb()
        found["memory_mb"] = size.middle([now[name] - memory[name] for name in names])
        found["process_mb"] = size.middle(list(now.values()))
        ones = [step(listing.change, False) for _ in range(table.real_changes)]
        found["one_ms"] = size.middle([cpu for cpu, _ in ones])
        found["one_all_ms"] = max(took for _, took in ones)
        for name, state in (("thousand", EndpointState.GONE), ("thousand_back", EndpointState.READY)):
            change = partial(listing.zone, state)
            found[f"{name}_ms"], found[f"{name}_all_ms"] = step(change, False)
    finally:
        service.close()
        band.end()
    found["crowded_turn_ms"] = max(band.turns_ms(table.real))
    return found | single(table, count, seed, out)


# The play.

COUNTED = (
    "whole_bytes",
    "one_bytes",
    "thousand_bytes",
    "thousand_back_bytes",
    "touched",
    "reads",
    "unit_probes",
    "unit_sends",
)
# What the band shows too.
SAME = (
    "whole_ms",
    "whole_turn_ms",
    "one_ms",
    "thousand_ms",
    "thousand_back_ms",
    "memory_mb",
    "unit_probes",
    "unit_sends",
)
UNITS = {
    "touched": "entries",
    "reads": "of entries",
    "probes": "a work unit",
    "sends": "a work unit",
    "ms": "ms",
    "us": "us",
    "mb": "MB",
    "bytes": "bytes",
}


def bounds() -> dict[str, float]:
    """Return the bounds of figures: by the letter, by what a node takes, by how late a loop may be."""
    turns = ("whole", "one", "thousand", "thousand_back", "decision")
    found = {f"{name}_turn_ms": size.TURN_MS for name in turns}
    return found | {"whole_bytes": float(protocol.MAX_LIST_BYTES), "process_mb": size.MEMORY_MB}


def slopes(by_size: dict[int, dict[str, float]], real: bool = False) -> list[Slope]:
    """Return the figures by size, those of a thousand changes from that size on."""
    limits, found = bounds(), []
    for name in next(iter(by_size.values())):
        points = [
            (float(count), figures[name])
            for count, figures in by_size.items()
            if count >= THOUSAND or not name.startswith("thousand")
        ]
        unit = UNITS.get(name.rpartition("_")[2], "of the work")
        how = "measured" if real else "counted" if name in COUNTED else "hollow"
        shown = f"real_{name}" if real else name
        if points:
            found.append(Slope(shown, unit, how, points, float(size.FULL), limits.get(name)))
    return found


@register_play("size_roster")
def size_roster(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Measure what a list of executors costs a node by its length, hollow and in a band of real nodes."""
    table: Sizes = experiment.tables["size_roster"]
    most = size.afford("size_roster.sizes", table.sizes, lambda count: need(table, count))
    show_progress(f"needs {most.memory_mb:.0f} MB and {most.processes} processes at most")
    seed, by_size, by_band = experiment.head.seed, {}, {}
    with size.limited(), size.scratch(out) as folder:
        path = folder / "hollow.json"
        path.write_text(json.dumps(size.node_config("hollow", "127.0.0.1:9", max(1, table.real), seed)))
        for count in table.sizes:
            show_progress(f"{count} executors, a hollow node")
            by_size[count] = size.apart(hollow, table, count, seed, str(path))
            if table.real:
                show_progress(f"{count} executors, {table.real} real nodes")
                by_band[count] = real(table, count, seed, folder)
    drawn = slopes(by_size) + (slopes(by_band, real=True) if by_band else [])
    found = slope.figures(drawn)
    tables = [("Slopes", slope.rows(drawn))]
    if by_band:
        pairs = {
            f"{name}_{count}": (by_size[count][name], figures[name])
            for name in SAME
            for count, figures in by_band.items()
            if count >= THOUSAND or not name.startswith("thousand")
        }
        rows, ratios = size.beside(pairs)
        tables.append((f"Hollow beside {table.real} real nodes", rows))
        found |= ratios
    return RunResult(found, tables=tables, driver="hollow and loopback", slopes=drawn)


def register() -> None:
    """Make the play's table known to experiment files."""
    file.register("size_roster", Sizes)
