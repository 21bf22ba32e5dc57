"""The play `capacity`: the greatest rate that one node on one core sustains, and its CPU profile."""

import pstats
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple, cast

import msgspec

from marlseam import records
from marlseam.experiment import file, plays
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.sockets import SocketDriver, SocketOptions
from marlseam.load.process import arrivals_of
from marlseam.load.tally import TallySummary
from marlseam.load.verdict import MergedCounts, merge
from marlseam.simulation.model import Count, Positive, Share, Strict

MIN_PROFILED_RATE = 50.0  # requests per second
PROFILED_RATE_DIVISOR = 3.0  # reduces the sustained rate under the profiler, which slows the node
MIN_SHOWN_S = 5e-6  # own time per request below which a part of the program is left out
SHOWN_FUNCTIONS = 4  # per part of the program
MODULES = (  # parts of the program that the profile lists separately
    "decisions",
    "core",
    "net/loop",
    "net/connection",
    "net/downstream",
    "net/upstream",
    "net/protocol",
)
# Substrings of the names of functions that the profile counts as socket calls.
SOCKET_CALLS = ("'send' of '_socket", "recv_into", "accept", "connect")
HEAD = [
    "rate a second",
    "in time",
    "p50, ms",
    "p99, ms",
    "node's CPU",
    "CPU a job, ms",
    "generator lag p99, ms",
]


class Capacity(Strict, frozen=True):
    """Table `capacity` of an experiment file: a search for the greatest rate that one node sustains.

    Attributes:
        rates: requests per second, tried in order until one is not sustained.
        seconds: the duration of each trial, in seconds.
        in_time: the share of the priority weight that must be earned in time for a rate to be sustained.
        connections: the maximum number of connections of the generator.
        parts: the number of processes that emulate servers.
        profile: whether to profile the node after the search.
    """

    rates: list[Positive]
    seconds: Positive = 6.0
    in_time: Share = 0.99
    connections: Count = 32
    parts: Count = 3
    profile: bool = True


@dataclass(frozen=True)
class RateRun:
    """The result of a day played at one rate.

    Attributes:
        rate: requests per second.
        seconds: the length of the day.
        figures: the figures of the day.
        counted: the counts of the generator.
        node_cpu_s: the CPU time of the node, in seconds.
    """

    rate: float
    seconds: float
    figures: Mapping[str, float]
    counted: MergedCounts
    node_cpu_s: float

    @property
    def cpu_ms_per_request(self) -> float:
        """The node's CPU time per completed request, in ms."""
        return 1000.0 * self.node_cpu_s / max(1.0, self.figures["completed"])

    def is_sustained(self, min_in_time: float) -> bool:
        """Return whether the service reached `min_in_time` and the generator sent its load as planned."""
        return self.figures["service"] >= min_in_time and self.counted.is_valid

    def row(self) -> list[str]:
        """Return the run as a table row."""
        return [
            f"{self.rate:g}",
            f"{self.figures['service']:.4f}",
            f"{self.counted.intended[50.0]:.2f}",
            f"{self.counted.intended[99.0]:.2f}",
            f"{self.node_cpu_s / self.seconds:.2f}",
            f"{self.cpu_ms_per_request:.3f}",
            f"{self.counted.lag[99.0]:.2f}",
        ]


@register_play("capacity")
def capacity(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Raise the rate until one node does not sustain it, then profile the node if requested."""
    table: Capacity = experiment.tables["capacity"]
    rows = [HEAD]
    sustained_rate = 0.0
    figures: dict[str, float] = {}
    for rate in table.rates:
        show_progress(f"one node at {rate:g} requests per second")
        run = run_at_rate(experiment, table, rate, out / "steps")
        rows.append(run.row())
        if not run.is_sustained(table.in_time):
            break
        sustained_rate = rate
        figures = {"cpu_ms_a_job": run.cpu_ms_per_request, "latency_p99": run.counted.intended[99.0]}
    tables = [("One node's capacity", rows)]
    if table.profile:
        show_progress("profile")
        path = out / "node.prof"
        rate = max(MIN_PROFILED_RATE, sustained_rate / PROFILED_RATE_DIVISOR)
        run = run_at_rate(experiment, table, rate, out / "profile", path)
        shown = profile_rows(path, run.figures["completed"])
        tables.append(("Where a job's time goes, under the profiler", shown))
    return RunResult(figures | {"rate": sustained_rate}, tables=tables, driver="sockets")


def run_at_rate(
    experiment: Experiment, table: Capacity, rate: float, out: Path, profile: Path | None = None
) -> RateRun:
    """Play the day at a rate; write the node's profile to the file `profile` unless it is None."""
    load = msgspec.structs.replace(experiment.day.load, rate=rate)
    day = msgspec.structs.replace(experiment.day, seconds=table.seconds, load=load)
    seed = experiment.head.seed
    driver = SocketDriver(
        day,
        seed,
        out,
        SocketOptions(
            connection_count=table.connections,
            uses_network=False,
            server_process_count=table.parts,
            profile=profile,
        ),
    )
    counts = msgspec.convert(driver.run(), list[TallySummary])
    counted = merge(counts, len(arrivals_of(day, seed)))
    result = plays.judge_records(*records.read_folder(out / "records"), driver="sockets")
    return RateRun(rate, table.seconds, result.figures, counted, sum(driver.cpu_s.values()))


# Evaluation of the profile.


class ProfiledFunction(NamedTuple):
    """A function as identified by the profiler: file, line (0 for built-in functions) and name."""

    path: str
    line: int
    name: str

    @property
    def text(self) -> str:
        """The function's file name, line and name as shown in the table; the name alone without a line."""
        return f"{Path(self.path).name}:{self.line} {self.name}" if self.line else self.name


class FunctionTime(NamedTuple):
    """The own time of a function in seconds, excluding its callees; greater times sort later."""

    own_s: float
    text: str


@dataclass
class PartTime:
    """The own time of a part of the program in seconds, in total and by function."""

    own_s: float = 0.0
    functions: list[FunctionTime] = field(default_factory=list)

    def add(self, function: FunctionTime) -> None:
        """Add the own time of a function."""
        self.own_s += function.own_s
        self.functions.append(function)


def own_times(path: Path) -> dict[ProfiledFunction, float]:
    """Return the own time in seconds of each function in a profile file."""
    stats = pstats.Stats(str(path))
    entries = cast(
        dict[tuple[str, int, str], tuple[int, int, float, float, object]],
        vars(stats)["stats"],  # the type stubs of pstats do not declare this attribute
    )
    return {ProfiledFunction(*function): entry[2] for function, entry in entries.items()}


def profile_rows(path: Path, request_count: float) -> list[list[str]]:
    """Return table rows: each part's own time per request in us, and its most expensive functions."""
    parts: dict[str, PartTime] = defaultdict(PartTime)
    for function, own_s in own_times(path).items():
        parts[part_of(function.path, function.name)].add(FunctionTime(own_s, function.text))
    rows = [["part", "own time a job, us", "dearest functions"]]
    for name, part in sorted(parts.items(), key=lambda item: -item[1].own_s):
        if part.own_s / request_count < MIN_SHOWN_S:
            continue
        most_expensive = sorted(part.functions, reverse=True)[:SHOWN_FUNCTIONS]
        shown = ", ".join(
            f"{function.text} {1e6 * function.own_s / request_count:.0f}" for function in most_expensive
        )
        rows.append([name, f"{1e6 * part.own_s / request_count:.0f}", shown])
    return rows


def part_of(path: str, name: str) -> str:
    """Return the name of the part of the program that a function belongs to, as shown in the table."""
    for module in MODULES:
        if f"marlseam/{module}/" in path or f"marlseam/{module}.py" in path:
            return module
    if "h11" in path:
        return "h11"
    if "poll" in name:
        return "waiting for sockets"
    if any(call in name for call in SOCKET_CALLS):
        return "socket calls"
    return "net, the rest" if "marlseam/net" in path else "Python's own"


def register() -> None:
    """Register the table of this play for experiment files."""
    file.register("capacity", Capacity)
