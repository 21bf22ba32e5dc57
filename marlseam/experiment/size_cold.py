"""The play `size_cold`: requests that servers in slow start receive from all nodes, by the cluster's size.

The main figure is the largest share of its bound that any window of any server in slow start reached. The
share of the allowed requests that was used over all slow starts is reported too, so that sending fewer
requests does not count as better.
"""

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from itertools import product
from pathlib import Path
from typing import Annotated, NamedTuple

from msgspec import Meta
from msgspec.structs import replace

from marlseam.experiment import file
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.slow_start_load import SlowStartDriver, SlowStartLoad, Traffic, mean_work_ms
from marlseam.simulation.model import Count, Day, Fault, Name, NotNegative, Positive, Share, Strict

PARALLEL_RUNS = 4  # processes that play at the same time


class Case(Strict, frozen=True):
    """One `[[size_cold.cases]]` of an experiment file: traffic, uncounted nodes, delay of load reports.

    Attributes:
        name: the name of the case, which is a part of the names of its figures.
        load: the traffic, as a share of the capacity of all servers after slow start.
        surge: the factor of the traffic in the day's surges.
        beside: nodes that the nodes' settings do not count, as a share of the counted ones.
        late_s: the delay of all load reports in seconds.
    """

    name: Name
    load: Positive
    surge: Positive = 1.0
    beside: NotNegative = 0.0
    late_s: NotNegative = 0.0


class SlowStartSettings(Strict, frozen=True):
    """Table `size_cold` of an experiment file: clusters, each played in each case with each traffic and seed.

    Attributes:
        nodes: the sizes of the clusters, in nodes.
        cases: the cases that each cluster is played in.
        traffic: whether the nodes of a zone get equal (`even`) or unequal (`uneven`) shares of the traffic.
        seeds: the number of seeds, counted up from the experiment's seed.
        executors_a_node: growth of the number of servers, as a share of the growth of that of nodes; 0: none.
    """

    nodes: Annotated[list[Count], Meta(min_length=1)]
    cases: Annotated[list[Case], Meta(min_length=1)]
    traffic: tuple[Traffic, ...] = ("even", "uneven")
    seeds: Count = 10
    executors_a_node: Share = 1.0


def day_of(day: Day, settings: SlowStartSettings, nodes: int, case: Case) -> Day:
    """Return the day of a case for a cluster of `nodes` nodes, with servers and traffic in proportion."""
    growth = 1.0 + settings.executors_a_node * (nodes / settings.nodes[0] - 1.0)
    kinds = [replace(kind, executors=round(kind.executors * growth)) for kind in day.fleet.kinds]
    capacity = sum(kind.executors * kind.slots * kind.speed for kind in kinds)
    rate = case.load * capacity * 1000.0 / mean_work_ms(day)
    faults = [replace(fault, size=case.surge) if fault.what == "surge" else fault for fault in day.troubles]
    if case.late_s:
        late = Fault(what="late_reports", at_s=0.0, for_s=day.seconds, share=1.0, size=case.late_s)
        faults.append(late)
    fleet = replace(day.fleet, nodes=round(nodes * (1.0 + case.beside)), kinds=kinds)
    return replace(day, fleet=fleet, load=replace(day.load, rate=rate), troubles=faults)


class Variant(NamedTuple):
    """A combination of cluster size, traffic and case, which is played once with each seed."""

    nodes: int
    traffic: Traffic
    case: Case

    @property
    def label(self) -> str:
        """The prefix of the names of its figures."""
        return f"n{self.nodes}_{self.traffic}_{self.case.name}"


def play_variant(day: Day, settings: SlowStartSettings, variant: Variant, seed: int) -> SlowStartLoad:
    """Play a variant with one seed, and return the load on servers in slow start."""
    variant_day = day_of(day, settings, variant.nodes, variant.case)
    return SlowStartDriver(variant_day, seed, variant.nodes, variant.traffic).measure()


TABLE_HEAD = (
    "nodes",
    "traffic",
    "case",
    "most of N + 2 root N + 2",
    "mean of the seeds",
    "by own sizes",
    "most of N",
    "N used",
    "work units",
    "lives",
    "rate taken for, median",
    "99%",
    "CPU, s",
)


def mean(values: Sequence[float]) -> float:
    """Return the mean, added up in sorted order so that it does not depend on the order of the values."""
    return sum(sorted(values)) / len(values)


def row_of(variant: Variant, loads: list[SlowStartLoad]) -> list[str]:
    """Return the report's row for a variant, over its seeds."""
    median_ratios = sorted(load.median_rate_ratio for load in loads)
    return [
        str(variant.nodes),
        variant.traffic,
        variant.case.name,
        f"{max(load.max_bound_share for load in loads):.3f}",
        f"{mean([load.max_bound_share for load in loads]):.3f}",
        f"{max(load.max_work_bound_share for load in loads):.3f}",
        f"{max(load.max_budget_share for load in loads):.2f}",
        f"{mean([load.budget_used for load in loads]):.3f}",
        f"{sum(load.requests for load in loads):.0f}",
        f"{sum(load.process_starts for load in loads):.0f}",
        f"{median_ratios[len(loads) // 2]:.2f}",
        f"{max(load.p99_rate_ratio for load in loads):.2f}",
        f"{sum(load.cpu_s for load in loads):.0f}",
    ]


def figures_of(loads_by_variant: dict[Variant, list[SlowStartLoad]]) -> dict[str, float]:
    """Return the figures of each variant and of all variants, by the names used in experiment files."""
    figures = dict.fromkeys(("most", "most_work", "used", "units", "lives"), 0.0)
    for variant, loads in loads_by_variant.items():
        most = max(load.max_bound_share for load in loads)
        most_work = max(load.max_work_bound_share for load in loads)
        used = mean([load.budget_used for load in loads])
        figures |= {f"{variant.label}_most": most, f"{variant.label}_most_work": most_work}
        figures[f"{variant.label}_used"] = used
        figures["most"] = max(figures["most"], most)
        figures["most_work"] = max(figures["most_work"], most_work)
        figures["used"] += used / len(loads_by_variant)
        figures["units"] += sum(load.requests for load in loads)
        figures["lives"] += sum(load.process_starts for load in loads)
    return figures


def play_all(experiment: Experiment, show_progress: ShowProgress) -> dict[Variant, list[SlowStartLoad]]:
    """Play each variant with each seed, `PARALLEL_RUNS` at a time, the largest clusters first."""
    settings: SlowStartSettings = experiment.tables["size_cold"]
    day, seed = experiment.day, experiment.head.seed
    variants = [Variant(*parts) for parts in product(settings.nodes, settings.traffic, settings.cases)]
    loads_by_variant: dict[Variant, list[SlowStartLoad]] = {variant: [] for variant in variants}
    with ProcessPoolExecutor(PARALLEL_RUNS) as pool:
        runs = {
            pool.submit(play_variant, day, settings, variant, seed + i): variant
            for variant in reversed(variants)
            for i in range(settings.seeds)
        }
        for count, run in enumerate(as_completed(runs), 1):
            loads_by_variant[runs[run]].append(run.result())
            show_progress(f"{count} of {len(runs)} days played")
    return loads_by_variant


@register_play("size_cold")
def size_cold(experiment: Experiment, _out: Path, show_progress: ShowProgress) -> RunResult:
    """Measure the largest window of requests to a server in slow start, by cluster, traffic and case."""
    loads_by_variant = play_all(experiment, show_progress)
    rows = [list(TABLE_HEAD), *(row_of(variant, loads) for variant, loads in loads_by_variant.items())]
    seeds = experiment.tables["size_cold"].seeds
    title = f"What cold executors got, {seeds} seeds each, virtual time"
    return RunResult(figures_of(loads_by_variant), tables=[(title, rows)], driver="virtual")


def register() -> None:
    """Register the play's table for experiment files."""
    file.register("size_cold", SlowStartSettings)
