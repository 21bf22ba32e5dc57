"""The play `ready`: time until many nodes restarted at once are ready, with discovery up, slow and down.

A node is ready in the sense of the platform's load balancer: `GET /-/ready` has answered 200. A node answers
200 once it listens and holds an endpoint list: the one in its configuration, which may be outdated, or the
first list from discovery.
"""

import time
from math import ceil
from pathlib import Path
from typing import Any, Literal, NamedTuple

from marlseam.experiment import file
from marlseam.experiment.file import Experiment
from marlseam.experiment.node_starts import (
    ENDPOINT_LIST,
    EmulatedDiscovery,
    NodeStart,
    NodeStarter,
    node_starter,
)
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
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

READY_TIMEOUT_S = 30.0  # for all nodes of a case; also the figure of a node that is not ready by then
# Phases of a start, in order, as `startup_timing` logs them.
PHASES = ("interpreter", "import", "settings", "socket", "node", "list")
READY_PERCENTILES = (50, 90, 100)
RATES = ("list_calls_s", "calls_s", "failed_calls_s")
HEAD = ("discovery", "ready 50%", "90%", "100%", *PHASES, "list calls/s", "all calls/s", "failed/s")
EMPTY_LIST = {"seq": 0, "whole": True, "hosts": []}

Figures = dict[str, float]


class Case(Strict, frozen=True):
    """One of the `cases` of an experiment file.

    Attributes:
        name: the case's name, and the prefix of its figures' names.
        discovery: whether discovery answers at once (`there`), late (`slow`) or not at all (`away`).
        listed: whether the nodes have an endpoint list in their configuration.
    """

    name: str
    discovery: Literal["there", "slow", "away"] = "there"
    listed: bool = True


class ReadySettings(Strict, frozen=True):
    """Table `ready` of an experiment file.

    Attributes:
        processes: the number of nodes started at once.
        slow_s: the time a slow discovery takes to answer, in seconds.
        after_s: the time after all nodes are ready for which discovery calls are still counted, in seconds.
        cases: the cases to play, in order.
    """

    processes: Count = 30
    slow_s: Positive = 3.0
    after_s: Positive = 5.0
    cases: list[Case] = []


class CaseResult(NamedTuple):
    """The result of a case.

    Attributes:
        figures: figures by the names used in experiment files, without the prefix of the case's name.
        row: the case's row in the table of the report.
    """

    figures: Figures
    row: list[str]


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that at least the given share of values does not exceed (nearest rank)."""
    return sorted(values)[max(0, ceil(share * len(values)) - 1)]


def node_config(address: str, case: Case, name: str, number: int, nodes: int) -> dict[str, Any]:
    """Return a node's configuration file in the platform's format; `address` is the address of discovery."""
    day = Day(
        seconds=1.0,
        types=[RequestType(name="statement", share=1.0, work_ms=50.0, promised_ms=200.0, limit_ms=5000.0)],
        fleet=Fleet(zones=["here"], nodes=nodes, kinds=[ServerKind(name="plain", executors=1)]),
    )
    return {
        "name": name,
        "listen": "127.0.0.1:0",
        "discovery": address,
        "seed": f"{number + 1:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": node_settings(day, "here"),
        "known": ENDPOINT_LIST if case.listed else EMPTY_LIST,
    }


def start_nodes(case: Case, settings: ReadySettings, directory: Path) -> CaseResult:
    """Start all nodes of a case at once; measure their times to readiness and their calls to discovery."""
    with node_starter(directory) as starter:
        delay_ms = 1000.0 * settings.slow_s if case.discovery == "slow" else 0.0
        discovery = EmulatedDiscovery(starter.emulator, delay_ms, is_down=case.discovery == "away")
        for number in range(settings.processes):
            name = f"n{number}"
            config = node_config(discovery.address, case, name, number, settings.processes)
            starter.start(name, config)
        starter.run_until(starter.all_ready, READY_TIMEOUT_S)
        all_ready_s = time.monotonic()
        starter.run_for(settings.after_s)
        for start in starter.starts:
            start.read_log()
        end_s = time.monotonic()
    began_s = starter.starts[0].started_s
    figures = ready_figures(starter) | call_figures(discovery, starter, end_s - began_s)
    figures["seconds"] = all_ready_s - began_s
    medians = phase_medians(starter.starts)
    row = [case.name, *(f"{figures[f'ready_{percent}']:.2f}" for percent in READY_PERCENTILES)]
    row += [f"{medians[phase]:.2f}" if phase in medians else "-" for phase in PHASES]
    row += [f"{figures[name]:.1f}" for name in RATES]
    figures |= {f"part_{phase}_50": medians.get(phase, READY_TIMEOUT_S) for phase in PHASES}
    return CaseResult(figures, row)


def ready_figures(starter: NodeStarter) -> Figures:
    """Return percentiles of the nodes' times to readiness in s, each time capped at `READY_TIMEOUT_S`."""
    ready_s = [min(start.ready_s, READY_TIMEOUT_S) for start in starter.starts]
    return {f"ready_{percent}": percentile(ready_s, percent / 100.0) for percent in READY_PERCENTILES}


def call_figures(discovery: EmulatedDiscovery, starter: NodeStarter, seconds: float) -> Figures:
    """Return the rates of discovery calls per second: for the whole list, all calls, and failed calls."""
    list_calls = sum(call.is_for_list for call in discovery.calls)
    failed_calls = sum(start.discovery_ends.total() for start in starter.starts)
    return {
        "list_calls_s": list_calls / seconds,
        "calls_s": len(discovery.calls) / seconds,
        "failed_calls_s": failed_calls / seconds,
    }


def phase_medians(starts: list[NodeStart]) -> Figures:
    """Return the median time in s from the start to the end of each phase, for phases that a node logged."""
    found: Figures = {}
    for phase in PHASES:
        times_s = [start.phases_s[phase] for start in starts if phase in start.phases_s]
        if times_s:
            found[phase] = percentile(times_s, 0.5)
    return found


@register_play("ready")
def ready(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Start all nodes at once in each case, and report their times to readiness and discovery calls."""
    settings: ReadySettings = experiment.tables["ready"]
    found: Figures = {}
    rows = [list(HEAD)]
    for case in settings.cases:
        show_progress(case.name)
        result = start_nodes(case, settings, out / "logs" / case.name)
        found |= {f"{case.name}_{name}": value for name, value in result.figures.items()}
        rows.append(result.row)
    title = f"{settings.processes} processes at once, seconds after their start (parts: the median)"
    return RunResult(found, tables=[(title, rows)], driver="sockets")


def register() -> None:
    """Register the table of this play for experiment files."""
    file.register("ready", ReadySettings)
