"""The play `policies`: compares marlseam and baselines in virtual time, over the same days and seeds."""

from collections.abc import Mapping
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated

import numpy as np
from msgspec import Meta

from marlseam.experiment import compare, file
from marlseam.experiment.file import Experiment, FileError, nearest_name_hint
from marlseam.experiment.plays import RunResult, ShowProgress, margin_figure, register_play
from marlseam.experiment.policies import POLICIES
from marlseam.experiment.scale import records_in_memory
from marlseam.experiment.virtual import VirtualDriver
from marlseam.records import RecordStreams
from marlseam.simulation.model import Count, Day, Strict
from marlseam.verification.rules import judge
from marlseam.verification.service import figures

PROCESSES = 8  # worker processes, each of which plays one run at a time
SHOWN_FIGURES = ("service", "worst_10s", "worst_type", "probes_per_try", "crossings", "waste")
MARGIN_PREFIX = margin_figure("")
SeedFigures = list[dict[str, float]]  # the figures of a policy's runs, one entry per seed


class Policies(Strict, frozen=True):
    """Table `policies` of an experiment file: the policies to compare.

    Attributes:
        seeds: the number of seeds, from the experiment's own on, that each policy plays.
        names: the names of the policies; the others are compared to the first. Empty for all policies.
    """

    seeds: Count = 10
    names: list[Annotated[str, Meta(min_length=1)]] = []


def one_run(day: Day, seed: int, name: str) -> dict[str, float]:
    """Play one day with one policy in virtual time; return its figures."""
    streams = RecordStreams(None, "driver")
    VirtualDriver(day, seed, streams, POLICIES[name]).run()
    verdict, run_records = judge(list(records_in_memory(streams)))
    outcome = {"rules_broken": float(verdict.violation_count), "judged": float(verdict.is_judged)}
    margins = {margin_figure(rule.name): rule.margin for rule in verdict.rules}
    return figures(run_records) | outcome | margins


@register_play("policies")
def policies(experiment: Experiment, _out: Path, show_progress: ShowProgress) -> RunResult:
    """Play each policy with the same seeds; differences of service are paired by seed."""
    table: Policies = experiment.tables["policies"]
    names = table.names or list(POLICIES)
    check_names(names)
    first_seed = experiment.head.seed
    seeds = range(first_seed, first_seed + table.seeds)
    runs = run_all(experiment.day, seeds, names, show_progress)
    first_policy_runs = runs[names[0]]
    head = ["policy", *SHOWN_FIGURES, "latency p99", "broken", "service less marlseam's (95%)"]
    rows = [head]
    result_figures: dict[str, float] = {}
    for name in names:
        difference = service_difference(runs[name], first_policy_runs, first_seed)
        result_figures |= policy_figures(name, runs[name], difference)
        rows.append(policy_row(name, runs[name], None if name == names[0] else difference))
    result_figures |= first_policy_figures(first_policy_runs)
    tables = [
        (f"Policies over {len(seeds)} seeds, virtual time", rows),
        ("Margins", margin_rows(result_figures, first_policy_runs)),
    ]
    return RunResult(result_figures, tables=tables, driver="virtual")


def check_names(names: list[str]) -> None:
    """Raise FileError if a name is not the name of a policy."""
    for name in names:
        if name not in POLICIES:
            raise FileError(
                f"policies.names: no policy named {name!r}{nearest_name_hint(name, list(POLICIES))}"
            )


def run_all(day: Day, seeds: range, names: list[str], show_progress: ShowProgress) -> dict[str, SeedFigures]:
    """Play all policies with all seeds in parallel processes; return the figures by policy."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        futures = {name: [pool.submit(one_run, day, seed, name) for seed in seeds] for name in names}
        runs: dict[str, SeedFigures] = {}
        for name in names:
            show_progress(name)
            runs[name] = [future.result() for future in futures[name]]
    return runs


def service_difference(runs: SeedFigures, first_policy_runs: SeedFigures, seed: int) -> compare.Interval:
    """Return the mean and interval of a policy's service minus that of the first policy, paired by seed."""
    services = np.array([run["service"] for run in runs])
    first_policy_services = np.array([run["service"] for run in first_policy_runs])
    return compare.interval(services - first_policy_services, seed)


def mean_figures(runs: SeedFigures) -> dict[str, float]:
    """Return the mean of each figure over the seeds."""
    return {name: float(np.mean([run[name] for run in runs])) for name in runs[0]}


def policy_figures(name: str, runs: SeedFigures, difference: compare.Interval) -> dict[str, float]:
    """Return the figures of one policy that an experiment file may bound."""
    short_name = name.split(" (")[0].replace(" ", "_")
    return {
        f"{short_name}_service": mean_figures(runs)["service"],
        f"{short_name}_apart": difference.mean,
        f"{short_name}_high": difference.high,
        f"{short_name}_rules_broken": sum(run["rules_broken"] for run in runs),
    }


def policy_row(name: str, runs: SeedFigures, difference: compare.Interval | None) -> list[str]:
    """Return the table row of one policy; `difference` is None for the policy that others are compared to."""
    mean = mean_figures(runs)
    shown = ""
    if difference is not None:
        shown = f"{difference.mean:+.3f} [{difference.low:+.3f}, {difference.high:+.3f}]"
    violating = sum(run["rules_broken"] > 0 for run in runs)
    return [
        name,
        *(f"{mean[figure]:.3f}" for figure in SHOWN_FIGURES),
        f"{mean['latency_p99']:.0f}",
        f"{violating} of {len(runs)}",
        shown,
    ]


def first_policy_figures(runs: SeedFigures) -> dict[str, float]:
    """Return the first policy's figures over all seeds.

    Figures are means, except margins (maximum), `rules_broken` (sum) and `judged` (1 only if all runs were).
    """
    result_figures = mean_figures(runs)
    result_figures |= {
        name: max(run[name] for run in runs) for name in runs[0] if name.startswith(MARGIN_PREFIX)
    }
    result_figures["rules_broken"] = sum(run["rules_broken"] for run in runs)
    result_figures["judged"] = min(run["judged"] for run in runs)
    return result_figures


def margin_rows(result_figures: Mapping[str, float], runs: SeedFigures) -> list[list[str]]:
    """Return the greatest margin of each rule over all seeds as table rows."""
    rows = [["rule", "nearest that marlseam came, over all seeds"]]
    for name in runs[0]:
        if name.startswith(MARGIN_PREFIX):
            rule_name = name.removeprefix(MARGIN_PREFIX).replace("_", " ")
            rows.append([rule_name, f"{result_figures[name]:.3f}"])
    return rows


def register() -> None:
    """Register the table of this play for experiment files."""
    file.register("policies", Policies)
