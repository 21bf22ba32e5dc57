"""The play `store_cost`: what keeping durable state costs a node, beside the same load without a store."""

from pathlib import Path

from msgspec.structs import replace

from marlseam.experiment import file
from marlseam.experiment.durable_state_run import SocketRun, Sync, run_on_sockets, store_settings
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.simulation.model import Count, Positive, Strict

SERVER_PROCESSES = 3  # that the emulated servers are split among
NO_STORE = "off"
SYNCS: tuple[Sync, ...] = ("written", "durable")
COMPARED_FIGURES = ("p50", "p99", "cpu_ms")  # with those without a store
MIN_DIVISOR = 1e-9

Figures = dict[str, float]


class StoreCostSettings(Strict, frozen=True):
    """Table `store_cost` of an experiment file: a load of keyed requests.

    Attributes:
        rate: requests a second.
        seconds: for which the load lasts.
        connections: of the load generator.
    """

    rate: Positive = 200.0
    seconds: Positive = 6.0
    connections: Count = 32


def cost_figures(run: SocketRun, out: Path) -> Figures:
    """Return what a run cost: latencies and processor time in ms, and bytes of journals a request."""
    completed = max(1.0, run.result.figures["completed"])
    journal_bytes = sum(path.stat().st_size for path in (out / "state").rglob("journal-*"))
    return {
        "p50": run.counted.intended[50.0],
        "p99": run.counted.intended[99.0],
        "cpu_ms": 1000.0 * sum(run.driver.cpu_s.values()) / completed,
        "bytes": journal_bytes / completed,
        "service": run.result.figures["service"],
    }


def row_of(name: str, cost: Figures) -> list[str]:
    """Return the row of the report on one run."""
    return [
        name,
        f"{cost['p50']:.2f}",
        f"{cost['p99']:.2f}",
        f"{cost['cpu_ms']:.3f}",
        f"{cost['bytes']:.0f}",
        f"{cost['service']:.3f}",
    ]


@register_play("store_cost")
def store_cost(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play the same load without a store and with each way of syncing it, in turn."""
    settings: StoreCostSettings = experiment.tables["store_cost"]
    load = replace(experiment.day.load, rate=settings.rate)
    day = replace(experiment.day, seconds=settings.seconds, load=load)
    costs: dict[str, Figures] = {}
    own_settings = {NO_STORE: ""} | {str(sync): store_settings(sync) for sync in SYNCS}
    for name, own in own_settings.items():
        show_progress(f"store {name}")
        run = run_on_sockets(
            day,
            experiment.head.seed,
            out / name,
            operator_settings=own,
            connection_count=settings.connections,
            uses_network=False,
            server_process_count=SERVER_PROCESSES,
        )
        costs[name] = cost_figures(run, out / name)
    rows = [["store", "p50, ms", "p99, ms", "CPU a job, ms", "bytes a job", "service"]]
    rows += [row_of(name, cost) for name, cost in costs.items()]
    found = {f"{name}_{figure}": value for name, cost in costs.items() for figure, value in cost.items()}
    found |= cost_ratios(costs)
    return RunResult(found, tables=[("What the store costs", rows)], driver="sockets")


def cost_ratios(costs: dict[str, Figures]) -> Figures:
    """Return latencies and processor time with each way of syncing, over those without a store."""
    return {
        f"{sync}_{figure}_ratio": costs[sync][figure] / max(MIN_DIVISOR, costs[NO_STORE][figure])
        for sync in SYNCS
        for figure in COMPARED_FIGURES
    }


def register() -> None:
    """Make this play's table known to experiment files."""
    file.register("store_cost", StoreCostSettings)
