"""Plays that run load generators against echo nodes, without marlseam nodes: `pause` and `generator`."""

import json
import time
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import msgspec
import numpy as np

from marlseam.experiment import file
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.processes import ChildProcess
from marlseam.experiment.sockets import START_LEAD_S
from marlseam.load.process import arrivals_of
from marlseam.load.tally import HistogramName, TallySummary
from marlseam.load.verdict import MergedCounts, merge
from marlseam.simulation.model import Count, Day, Positive, Strict

GENERATOR_START_S = 60.0  # time limit for a generator to plan its day and report that it is ready
FINISH_S = 60.0  # time limit after the end of the day for a generator to report its counts
LAG_PERCENTILES = (50.0, 99.0, 100.0)  # of the lag of the generators, shown in the table


class Stall(NamedTuple):
    """A period in which an echo node is stalled: its start and duration, in seconds of the run."""

    at_s: float
    for_s: float


@dataclass(frozen=True)
class EchoRun:
    """A run in which generators send the requests of a day to echo nodes.

    Attributes:
        day: the day whose requests are sent.
        seed: the seed of all random draws.
        out: the folder of the run's files.
        generators: the number of generator processes; each sends one part of the day.
        nodes: the number of echo nodes.
        connections: the maximum number of connections per generator, 0 for no limit.
        stalls: the periods in which all nodes are stalled.
    """

    day: Day
    seed: int
    out: Path
    generators: int = 1
    nodes: int = 1
    connections: int = 0
    stalls: tuple[Stall, ...] = ()

    def run(self) -> MergedCounts:
        """Send the requests of the day; return the merged counts of the generators."""
        for name in ("records", "logs"):
            (self.out / name).mkdir(parents=True, exist_ok=True)
        self._day_path.write_bytes(msgspec.json.encode(self.day))
        echoes = [self._start_echo() for _ in range(self.nodes)]
        started = list(echoes)
        try:
            self._write_addresses(echoes)
            generators = [self._start_generator(number + 1) for number in range(self.generators)]
            started += generators
            counts = self._send(echoes, generators)
        finally:
            for process in reversed(started):
                process.end()
        return merge(counts, len(arrivals_of(self.day, self.seed)))

    @property
    def _day_path(self) -> Path:
        """The file with the day, as JSON."""
        return self.out / "day.json"

    @property
    def _addresses_path(self) -> Path:
        """The file with the zone and address of each node, as JSON."""
        return self.out / "nodes.json"

    def _start_echo(self) -> ChildProcess:
        """Start an echo node."""
        arguments = ["standin", "echo"]
        for stall in self.stalls:
            arguments += ["--stall", str(stall.at_s), str(stall.for_s)]
        return ChildProcess(arguments, self.out / "logs" / "echo.log")

    def _write_addresses(self, echoes: list[ChildProcess]) -> None:
        """Wait for the address of each node and write all addresses to a file."""
        zone = self.day.fleet.zones[0]
        addresses = {f"n{number}": (zone, echo.read_json()["node"]) for number, echo in enumerate(echoes)}
        self._addresses_path.write_text(json.dumps(addresses))

    def _start_generator(self, number: int) -> ChildProcess:
        """Start the generator of one part of the day; parts are numbered from 1."""
        arguments = ["standin", "load", str(self._day_path), "--seed", str(self.seed)]
        arguments += ["--nodes", str(self._addresses_path)]
        arguments += ["--part", f"{number}/{self.generators}", "--connections", str(self.connections)]
        arguments += ["--records", str(self.out / "records")]
        return ChildProcess(arguments, self.out / "logs" / "load.log")

    def _send(self, echoes: list[ChildProcess], generators: list[ChildProcess]) -> list[TallySummary]:
        """Set the run's zero in all processes; return the counts of each generator."""
        for generator in generators:
            generator.read_json(GENERATOR_START_S)
        zero_s = time.monotonic() + START_LEAD_S
        for process in (*echoes, *generators):
            process.send_zero(zero_s)
        limit_s = self.day.seconds + FINISH_S
        return [msgspec.convert(generator.read_json(limit_s), TallySummary) for generator in generators]


class Pause(Strict, frozen=True):
    """Table `pause` of an experiment file: a stall of the node while requests are sent evenly.

    Attributes:
        at_s: the start of the stall, in seconds.
        for_s: the duration of the stall, in seconds.
        over_ms: the latency limit in ms; the share of latencies over it is a figure.
        connections: the maximum number of connections of the generator.
    """

    at_s: Positive
    for_s: Positive
    over_ms: Positive = 1000.0
    connections: Count = 16

    def expected_share(self, day: Day, seed: int) -> float:
        """Return the share of requests whose latency must exceed the limit.

        Their intended sends are in the stall, at least `over_ms` before its end.
        """
        begin_ms, end_ms = 1000.0 * self.at_s, 1000.0 * (self.at_s + self.for_s)
        sends_ms = np.array([arrival.at for arrival in arrivals_of(day, seed)])
        is_over = (sends_ms >= begin_ms) & (sends_ms < end_ms - self.over_ms)
        return float(is_over.mean())


@register_play("pause")
def pause(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Stall an echo node and measure the share of latencies over the limit.

    Latencies counted from the intended sends show the whole stall; latencies counted from the actual sends
    show almost nothing of it.
    """
    table: Pause = experiment.tables["pause"]
    seed, day = experiment.head.seed, experiment.day
    show_progress(f"sending the load of {day.seconds:g} s")
    stalls = (Stall(table.at_s, table.for_s),)
    counted = EchoRun(day, seed, out, connections=table.connections, stalls=stalls).run()
    expected = table.expected_share(day, seed)
    share_over = counted.share_over("intended", table.over_ms)
    figures = {
        "latency_max": counted.intended[100.0],
        "latency_p99": counted.intended[99.0],
        "share_over": share_over,
        "share_expected": expected,
        "share_off": abs(share_over / expected - 1.0),
        "share_over_actual": counted.share_over("actual", table.over_ms),
        "latency_p99_actual": counted.actual[99.0],
        "generator_valid": float(counted.is_valid),
        "lag_p99": counted.lag[99.0],
        "sent": float(counted.sent),
    }
    rows = pause_rows(table, counted, expected)
    return RunResult(figures, tables=[("A stall of the node, ms", rows)], driver="sockets, stand-in node")


def pause_rows(table: Pause, counted: MergedCounts, expected: float) -> list[list[str]]:
    """Return table rows of the latencies from intended and actual sends, and of the values expected."""
    names: tuple[HistogramName, ...] = ("intended", "actual")
    rows = [["counted from", "p50", "p99", "most", f"share over {table.over_ms:g} ms"]]
    for name in names:
        latencies_ms = counted.intended if name == "intended" else counted.actual
        shown = [f"{latencies_ms[percent]:.1f}" for percent in (50.0, 99.0, 100.0)]
        rows.append([f"the {name} send", *shown, f"{counted.share_over(name, table.over_ms):.2%}"])
    rows.append(["arithmetic", "", "", f"{1000.0 * table.for_s:.0f}", f"{expected:.2%}"])
    return rows


class Rates(Strict, frozen=True):
    """Table `generator` of an experiment file: the rates that generators try.

    Attributes:
        rates: requests per second and process, tried in order until one is not sustained.
        processes: the numbers of generator processes to try; 1 if empty.
        seconds: the duration of each trial, in seconds.
        lag_ms: the limit of the 99th percentile of the generators' lag, in ms.
        connections: the maximum number of connections per generator.
    """

    rates: list[Positive]
    processes: list[Count] = []
    seconds: Positive = 5.0
    lag_ms: Positive = 1.0
    connections: Count = 32


@register_play("generator")
def generator(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Find the greatest rate that generators sustain, for each number of generator processes."""
    table: Rates = experiment.tables["generator"]
    rows = [["processes", "rate a second", "lag p50, ms", "lag p99, ms", "lag most, ms", "sustained"]]
    figures: dict[str, float] = {}
    for processes in table.processes or [1]:
        sustained_rate = 0.0
        for rate_of_one in table.rates:
            rate = rate_of_one * processes
            show_progress(f"{processes} processes at {rate:g} requests per second")
            counted = send_at_rate(experiment, table, rate, processes, out)
            is_sustained = counted.lag[99.0] < table.lag_ms and counted.is_valid
            lags = [f"{counted.lag[percent]:.3f}" for percent in LAG_PERCENTILES]
            rows.append([str(processes), f"{rate:g}", *lags, "yes" if is_sustained else "no"])
            if not is_sustained:
                break
            sustained_rate = rate
        figures[f"rate_{processes}"] = sustained_rate
    return RunResult(figures, tables=[("What generators sustain", rows)], driver="sockets, stand-in nodes")


def send_at_rate(
    experiment: Experiment, table: Rates, rate: float, processes: int, out: Path
) -> MergedCounts:
    """Send requests at a total rate from `processes` generators to as many nodes; return merged counts."""
    load = msgspec.structs.replace(experiment.day.load, rate=rate)
    day = msgspec.structs.replace(experiment.day, seconds=table.seconds, load=load)
    seed = experiment.head.seed
    return EchoRun(day, seed, out, processes, processes, table.connections).run()


def register() -> None:
    """Register the tables of these plays for experiment files."""
    file.register("pause", Pause)
    file.register("generator", Rates)
