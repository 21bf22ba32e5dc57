"""The play `scale`: plays a day at growing sizes in virtual time, checks rules and measures run time."""

import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from marlseam.experiment import file, plays
from marlseam.experiment.file import Experiment, FileError
from marlseam.experiment.plays import JudgedResult, RunResult, ShowProgress, register_play
from marlseam.experiment.virtual import VirtualDriver
from marlseam.records import Record, RecordStreams
from marlseam.simulation.model import Count, Day, Strict

HEAD = [
    "times",
    "nodes",
    "executors",
    "work units",
    "service",
    "broken",
    "events",
    "wall, s",
    "events a s",
    "us a unit",
]


class Scale(Strict, frozen=True):
    """Table `scale` of an experiment file: the sizes at which a day is played.

    Attributes:
        times: the factors that multiply nodes, servers, load and discovery calls of the day, in order.
    """

    times: tuple[Count, ...] = (1,)


def scaled_day(day: Day, factor: int) -> Day:
    """Return a day with `factor` times its nodes, servers, load and discovery calls per second."""
    kinds = [msgspec.structs.replace(kind, executors=kind.executors * factor) for kind in day.fleet.kinds]
    fleet = msgspec.structs.replace(day.fleet, kinds=kinds, nodes=day.fleet.nodes * factor)
    discovery = msgspec.structs.replace(day.roster, calls_per_s=day.roster.calls_per_s * factor)
    load = msgspec.structs.replace(day.load, rate=day.load.rate * factor)
    return msgspec.structs.replace(day, fleet=fleet, load=load, roster=discovery)


@dataclass(frozen=True)
class SizeRun:
    """The result of a day played at one size.

    Attributes:
        factor: the factor of the size.
        day: the day at that size.
        result: figures, verdict and records of the run.
        server_count: the number of servers.
        events: the number of events that the driver played.
        wall_s: the wall time of the run, in seconds.
    """

    factor: int
    day: Day
    result: JudgedResult
    server_count: int
    events: int
    wall_s: float

    @property
    def us_per_request(self) -> float:
        """The wall time of the run per request, in microseconds."""
        return 1e6 * self.wall_s / self.result.figures["work_units"]

    def figures(self) -> dict[str, float]:
        """Return the figures of this size, with the factor at the end of each name."""
        return {
            f"wall_s_{self.factor}": self.wall_s,
            f"speed_{self.factor}": self.day.seconds / self.wall_s,
            f"events_per_s_{self.factor}": self.events / self.wall_s,
            f"us_per_unit_{self.factor}": self.us_per_request,
            f"service_{self.factor}": self.result.figures["service"],
            f"rules_broken_{self.factor}": self.result.figures["rules_broken"],
        }

    def row(self) -> list[str]:
        """Return the run as a table row."""
        return [
            str(self.factor),
            str(self.day.fleet.nodes),
            str(self.server_count),
            f"{self.result.figures['work_units']:.0f}",
            f"{self.result.figures['service']:.4f}",
            f"{self.result.figures['rules_broken']:.0f}",
            str(self.events),
            f"{self.wall_s:.1f}",
            f"{self.events / self.wall_s:.0f}",
            f"{self.us_per_request:.0f}",
        ]


@register_play("scale")
def scale(experiment: Experiment, _out: Path, show_progress: ShowProgress) -> RunResult:
    """Play the day at each size in virtual time: rules, wall time, events per second, cost per request."""
    table: Scale = experiment.tables["scale"]
    runs: list[SizeRun] = []
    for factor in table.times:
        show_progress(f"day at {factor} times its size")
        runs.append(run_at_size(experiment, factor))
    if not runs:
        raise FileError("scale.times: empty, expected at least one number")
    figures = dict(runs[0].result.figures)
    for run in runs:
        figures |= run.figures()
    figures["rules_broken"] = sum(run.result.figures["rules_broken"] for run in runs)
    rows = [HEAD, *(run.row() for run in runs)]
    return RunResult(
        figures,
        verdict=runs[0].result.verdict,
        run_records=runs[0].result.run_records,
        tables=[("Growing fleets, virtual time", rows)],
        driver="virtual",
    )


def run_at_size(experiment: Experiment, factor: int) -> SizeRun:
    """Play the day at one size, with its records kept in memory."""
    day = scaled_day(experiment.day, factor)
    streams = RecordStreams(None, "driver")
    started_s = time.perf_counter()
    driver = VirtualDriver(day, experiment.head.seed, streams)
    driver.run()
    wall_s = time.perf_counter() - started_s
    result = plays.judge_records(records_in_memory(streams), [], "virtual")
    return SizeRun(factor, day, result, len(driver.world.servers), driver.event_count, wall_s)


def records_in_memory(streams: RecordStreams) -> Iterator[Record]:
    """Yield the records of streams that are kept in memory."""
    for writer in streams.writers.values():
        yield from writer.records


def register() -> None:
    """Register the table of this play for experiment files."""
    file.register("scale", Scale)
