"""How much cold executors get from all processes together, by the size of the fleet, in virtual time.

The bound is a count of chance: of N work units of mean size that the settings allow in their window, N plus
twice its root plus two. N follows the executor's warmth. Beside the most that any window of any cold executor
got, as a share of that, stands how much of N was used over all that time, so that less is not taken for
better. No executor falls here, so that what comes after is seen too.
"""

import math
import time
from collections import deque
from concurrent.futures import ProcessPoolExecutor, as_completed
from itertools import product
from pathlib import Path
from typing import Annotated, Literal

import msgspec
import numpy as np
from msgspec import Meta

from marlseam import records
from marlseam.configuration import deployment_from
from marlseam.experiment import file
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.virtual import AttemptInFlight, SimulatedNode, SimulatedServer, VirtualDriver
from marlseam.records import RecordStreams, StreamWriter
from marlseam.simulation.chance import stream
from marlseam.simulation.clients import FrontLoadBalancer
from marlseam.simulation.model import (
    Count,
    Day,
    Fault,
    Name,
    NotNegative,
    Positive,
    RequestType,
    Share,
    Strict,
    node_settings,
)

WORKERS = 4  # processes that play at a time
UNEVEN = 1.0  # standard deviation of the logarithm of a node's part of the traffic, where it is uneven


class Case(Strict):
    """How a fleet fares: traffic, what other processes there are, and how old what executors tell is."""

    name: Name
    load: Positive  # of what warm executors can do
    surge: Positive = 1.0  # by which it grows in the day's surges
    beside: NotNegative = 0.0  # processes that the settings do not count, as a share of those that they do
    late_s: NotNegative = 0.0  # how late all reports are


class SizeCold(Strict):
    """Fleets of so many nodes, each played in each case with each traffic and seed."""

    nodes: Annotated[list[Count], Meta(min_length=1)]
    cases: Annotated[list[Case], Meta(min_length=1)]
    traffic: tuple[Literal["even", "uneven"], ...] = ("even", "uneven")
    seeds: Count = 10
    executors_a_node: Share = 1.0  # over those of the file, for fleets larger than the first


class Muted(StreamWriter):
    """Keeps nothing."""

    def add(self, record: records.Record) -> None:
        """Drop a record."""


class Quiet(RecordStreams):
    """Writers that keep nothing: a long play of hundreds of nodes would fill the memory."""

    def of(self, by: str) -> StreamWriter:
        """Return a writer that keeps nothing."""
        return self.writers.setdefault(by, Muted(by, self.system, None, self.rules))


class Uneven(FrontLoadBalancer):
    """Deals by parts: a node may get several times the mean."""

    def __init__(self, front: FrontLoadBalancer, seed: int) -> None:
        super().__init__(front.by_zone, front.notice_ms)
        self.chance, self.parts = stream(seed, "front"), {}
        for zone, names in front.by_zone.items():
            drawn = [stream(seed, "part", name).lognormal(0.0, UNEVEN) for name in names]
            self.parts[zone] = np.cumsum(drawn) / sum(drawn)

    def pick_node(self, zone: str, now: float) -> tuple[str, bool]:
        """Return a node drawn by its part, or the next that is not noticed as down."""
        names = self.by_zone[zone]
        first = min(int(np.searchsorted(self.parts[zone], self.chance.random())), len(names) - 1)
        for i in range(len(names)):
            name = names[(first + i) % len(names)]
            since = self.down_since_by_node.get(name)
            if since is None or now - since < self.notice_ms:
                return name, since is None
        return names[first], names[first] not in self.down_since_by_node


class Ramp(VirtualDriver):
    """Plays a day and keeps account of what each cold executor gets; `told` nodes are in the settings."""

    def __init__(self, day: Day, seed: int, told: int, uneven: bool) -> None:
        fleet = msgspec.structs.replace(day.fleet, nodes=told)
        self.told = msgspec.structs.replace(day, fleet=fleet)
        super().__init__(day, seed, Quiet(None, "driver"))
        if uneven:
            self.front = Uneven(self.front, seed)
        for host in self.hosts.values():
            host.executor.fall_multiple = math.inf
        self.mean = mean_work(day)
        self.most = self.most_work = self.allowed = self.sent = self.fullest = 0.0
        self.took: dict[str, deque[tuple[float, float]]] = {name: deque() for name in self.hosts}
        self.lives = self.units = 0
        self.over: list[float] = []  # by how much a sender took an executor's rate for more than it is

    def seat(self, name: str, zone: str) -> SimulatedNode:
        """Make a node's place with the settings that it is told."""
        return SimulatedNode(name, zone, deployment_from(node_settings(self.told, zone)), self.make_core())

    def budget(self, host: SimulatedServer, t: float) -> float:
        """Return how many work units of mean size the settings allow a host in their window at a time."""
        kind, rules = host.executor.kind, self.day.rules
        rate = kind.slots * kind.speed * host.executor.speed_share(t)
        return rules.fall_multiple * rate * rules.fall_ms / self.mean

    def deliver(self, flight: AttemptInFlight) -> None:
        """Take into account what comes to a cold executor."""
        host, executor = flight.host, flight.host.executor
        came = flight.written and flight.open and self.hears(flight.node, host) and executor.is_up
        super().deliver(flight)
        if not came or not executor.is_in_slow_start(self.now):
            return
        arrival = self.arrivals[flight.ref]
        took, since = self.took[executor.name], self.now - self.day.rules.fall_ms
        took.append((self.now, self.day.types[arrival.type].work_ms * arrival.slots / self.mean))
        while took[0][0] <= since or took[0][0] < executor.started_ms:
            took.popleft()
        executor.slow_start_load(0.0)  # drops what has left the window
        worked = sum(area for _, area in executor.state.arrived) / self.mean
        got, n = sum(size for _, size in took), self.budget(host, self.now)
        chance = n + 2.0 * math.sqrt(n) + 2.0
        self.most, self.most_work = max(self.most, got / chance), max(self.most_work, worked / chance)
        self.fullest = max(self.fullest, got / n)
        self.sent += took[-1][1]
        self.units += 1
        node = flight.node.core.dispatcher
        e = flight.node.core.servers.by_name.get(executor.name)
        if node is not None and e is not None:
            own = node.slot_count(e) / (node.mean_run_ms[arrival.type] * node.kind_pace[node.kind[e]])
            kind = executor.kind
            self.over.append(own * self.day.types[arrival.type].work_ms / (kind.slots * kind.speed))

    def rise(self, host: SimulatedServer) -> None:
        """A life begins."""
        super().rise(host)
        self.lives += 1

    def crash(self, host: SimulatedServer) -> None:
        """A life ends: what it was allowed while it was cold is added up."""
        self.close(host)
        super().crash(host)

    def close(self, host: SimulatedServer) -> None:
        """Add up what a life was allowed while it was cold."""
        executor = host.executor
        if executor.started_ms is not None and executor.is_up:
            end = min(self.now, executor.started_ms + 1000.0 * executor.kind.warm_s)
            middle = self.budget(host, (executor.started_ms + end) / 2.0)  # warmth is linear
            self.allowed += middle * max(0.0, end - executor.started_ms) / self.day.rules.fall_ms

    def played(self) -> dict[str, float]:
        """Play, and return what cold executors got."""
        self.run()
        for host in self.hosts.values():
            self.close(host)
        over = sorted(self.over) or [0.0]
        return {
            "most": self.most,
            "most_work": self.most_work,
            "fullest": self.fullest,
            "used": self.sent / (self.allowed or 1.0),
            "units": float(self.units),
            "lives": float(self.lives),
            "over_median": over[len(over) // 2],
            "over_p99": over[int(0.99 * (len(over) - 1))],
        }


def mean_work(day: Day) -> float:
    """Return the standard work of a work unit, with its slots."""
    shares = sum(type.share for type in day.types)
    return sum(type.share * type.work_ms * mean_slots(type) for type in day.types) / shares


def mean_slots(type: RequestType) -> float:
    """Return how many slots a work unit of a type takes."""
    return sum((i + 1) * part for i, part in enumerate(type.slots)) / sum(type.slots)


def sized(day: Day, table: SizeCold, nodes: int, case: Case) -> Day:
    """Return the day with so many nodes, in a case: executors and traffic to match."""
    change = msgspec.structs.replace
    more = 1.0 + table.executors_a_node * (nodes / table.nodes[0] - 1.0)
    kinds = [change(k, executors=round(k.executors * more)) for k in day.fleet.kinds]
    rate = case.load * sum(k.executors * k.slots * k.speed for k in kinds) * 1000.0 / mean_work(day)
    troubles = [change(t, size=case.surge) if t.what == "surge" else t for t in day.troubles]
    if case.late_s:
        late = Fault(what="late_reports", at_s=0.0, for_s=day.seconds, share=1.0, size=case.late_s)
        troubles.append(late)
    fleet = change(day.fleet, nodes=round(nodes * (1.0 + case.beside)), kinds=kinds)
    return change(day, fleet=fleet, load=change(day.load, rate=rate), troubles=troubles)


def one(day: Day, table: SizeCold, nodes: int, traffic: str, case: Case, seed: int) -> dict[str, float]:
    """Play one fleet once."""
    began = time.process_time()
    ramp = Ramp(sized(day, table, nodes, case), seed, nodes, traffic == "uneven")
    return ramp.played() | {"cpu_s": time.process_time() - began}


@register_play("size_cold")
def size_cold(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Measure the most that any window of a cold executor got, by fleet, traffic and case."""
    table: SizeCold = experiment.tables["size_cold"]
    day, seed = experiment.day, experiment.head.seed
    plays = list(product(table.nodes, table.traffic, table.cases))
    head = "nodes;traffic;case;most of N + 2 root N + 2;mean of the seeds;by own sizes;most of N;N used;"
    rows = [(head + "work units;lives;rate taken for, median;99%;CPU, s").split(";")]
    found = dict.fromkeys(("most", "most_work", "used", "units", "lives"), 0.0)
    done: dict[tuple[int, str, str], list[dict[str, float]]] = {(n, t, c.name): [] for n, t, c in plays}
    with ProcessPoolExecutor(WORKERS) as pool:
        runs = {
            pool.submit(one, day, table, nodes, traffic, case, seed + i): (nodes, traffic, case.name)
            for nodes, traffic, case in reversed(plays)
            for i in range(table.seeds)
        }
        for at, run in enumerate(as_completed(runs), 1):
            done[runs[run]].append(run.result())
            show_progress(f"{at} of {len(runs)} plays")
    for (nodes, traffic, case), seen in done.items():
        of = {key: sorted(one[key] for one in seen) for key in seen[0]}
        mean = {key: sum(values) / len(seen) for key, values in of.items()}
        for key in ("most", "most_work"):
            found[f"n{nodes}_{traffic}_{case}_{key}"] = of[key][-1]
            found[key] = max(found[key], of[key][-1])
        found[f"n{nodes}_{traffic}_{case}_used"] = mean["used"]
        found["used"] += mean["used"] / len(plays)
        found["units"] += sum(of["units"])
        found["lives"] += sum(of["lives"])
        rows.append(
            [
                str(nodes),
                traffic,
                case,
                f"{of['most'][-1]:.3f}",
                f"{mean['most']:.3f}",
                f"{of['most_work'][-1]:.3f}",
                f"{of['fullest'][-1]:.2f}",
                f"{mean['used']:.3f}",
                f"{sum(of['units']):.0f}",
                f"{sum(of['lives']):.0f}",
                f"{of['over_median'][len(seen) // 2]:.2f}",
                f"{of['over_p99'][-1]:.2f}",
                f"{sum(of['cpu_s']):.0f}",
            ]
        )
    title = f"What cold executors got, {table.seeds} seeds each, virtual time"
    return RunResult(found, tables=[(title, rows)], driver="virtual")


def register() -> None:
    """Make this play's table known to experiment files."""
    file.register("size_cold", SizeCold)
