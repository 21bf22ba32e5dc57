"""The play `store_cost`: what a store costs a node, compared with the same load without a store."""

from pathlib import Path

from msgspec.structs import replace

from marlseam.experiment import file
from marlseam.experiment.durable_state_run import SocketRun, Sync, run_on_sockets, store_settings
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.simulation.model import Count, Positive, Strict

SERVER_PROCESSES = 3  # over which the emulated servers are spread
NO_STORE = "off"
SYNCS: tuple[Sync, ...] = ("written", "durable")
COMPARED_FIGURES = ("p50", "p99", "cpu_ms")  # reported as ratios to the run without a store
MIN_DIVISOR = 1e-9

Figures = dict[str, float]


class StoreCostSettings(Strict, frozen=True):
    """Table `store_cost` of an experiment file: a load of keyed requests.

    Attributes:
        rate: requests per second.
        seconds: how long the load lasts, in seconds.
        connections: how many connections the load generator has.
    """

    rate: Positive = 200.0
    seconds: Positive = 6.0
    connections: Count = 32


def cost_figures(run: SocketRun, out: Path) -> Figures:
    """Return the cost of a run: latencies in ms, and CPU ms and journal bytes per completed request."""
    completed = max(1.0, run.result.figures["completed"])
    journal_bytes = sum(path.stat().st_size for path in (out / "state").rglob("journal-*"))
    return {
        "p50": run.counted.intended[50.0],
        "p99": run.counted.intended[99.0],
        "cpu_ms": 1000.0 * sum(run.driver.cpu_s.values()) / completed,
        "bytes": journal_bytes / completed,
        "service": run.result.figures["service"],
    }


def cost_row(name: str, cost: Figures) -> list[str]:
    """Return the row of one run in the report's table."""
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
    """Play the same load without a store and then with each sync mode of the store."""
    settings: StoreCostSettings = experiment.tables["store_cost"]
    load = replace(experiment.day.load, rate=settings.rate)
    day = replace(experiment.day, seconds=settings.seconds, load=load)
    costs: dict[str, Figures] = {}
    settings_by_run = {NO_STORE: ""} | {str(sync): store_settings(sync) for sync in SYNCS}
    for name, operator_settings in settings_by_run.items():
        show_progress(f"day with state storage {name}")
        run = run_on_sockets(
            day,
            experiment.head.seed,
            out / name,
            operator_settings=operator_settings,
            connection_count=settings.connections,
            uses_network=False,
            server_process_count=SERVER_PROCESSES,
        )
        costs[name] = cost_figures(run, out / name)
    rows = [["store", "p50, ms", "p99, ms", "CPU a job, ms", "bytes a job", "service"]]
    rows += [cost_row(name, cost) for name, cost in costs.items()]
    figures = {f"{name}_{figure}": value for name, cost in costs.items() for figure, value in cost.items()}
    figures |= cost_ratios(costs)
    return RunResult(figures, tables=[("What the store costs", rows)], driver="sockets")


def cost_ratios(costs: dict[str, Figures]) -> Figures:
    """Return the ratios of latencies and CPU time with each sync mode to those without a store, by name."""
    return {
        f"{sync}_{figure}_ratio": costs[sync][figure] / max(MIN_DIVISOR, costs[NO_STORE][figure])
        for sync in SYNCS
        for figure in COMPARED_FIGURES
    }


def register() -> None:
    """Register the table of this play for experiment files."""
    file.register("store_cost", StoreCostSettings)
