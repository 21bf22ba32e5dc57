"""The figures of the play `size_changes`: units, methods of measurement, bounds and tables."""

from marlseam.experiment.config_change_workload import PLANNED_TEAMS
from marlseam.experiment.sizing.plan import (
    CHANGE_IN_FORCE_S,
    NODE_BYTES_PER_S,
    NODE_CORE_SHARE,
    NODE_MEMORY_MB,
)
from marlseam.experiment.slope import Slope

UNITS = {
    "content_bytes": "bytes",
    "idle_bytes_s": "bytes a second",
    "bytes_s": "bytes a second",
    "bytes_change": "bytes a change",
    "notes_change": "notes a change",
    "notes": "in the run",
    "publisher_bytes_s": "bytes a second",
    "values_change": "values a change",
    "bytes": "in the run",
    "core_share": "of a core",
    "cpu_ms_change": "ms a change",
    "publisher_core_share": "of a core",
    "last_s": "s",
    "burst_s": "s",
    "burst_bytes_change": "bytes a change",
    "memory_mb": "MB",
}
BOUNDS = {
    "bytes_s": NODE_BYTES_PER_S,
    "core_share": NODE_CORE_SHARE,
    "memory_mb": NODE_MEMORY_MB,
    "last_s": CHANGE_IN_FORCE_S,
    "burst_s": CHANGE_IN_FORCE_S,
    "publisher_core_share": NODE_CORE_SHARE,
}
PROCESS_FIGURES = ("core_share", "cpu_ms_change", "publisher_core_share", "memory_mb")
CHARGED_CLOCK_FIGURES = ("last_s", "burst_s")
FAILURE_FIGURES = ("missed", "two_contents")  # summed over all runs; 0 without failures
COMPARED_FIGURES = ("bytes_change", "notes_change", "cpu_ms_change", "memory_mb", "last_s", "burst_s")
BEYOND_COUNTS = (*PROCESS_FIGURES, *CHARGED_CLOCK_FIGURES, "_over", "true_")

Rows = list[list[str]]


def is_count(name: str) -> bool:
    """Return whether the figure of a name is a count, which is the same in each run."""
    return not any(part in name for part in BEYOND_COUNTS)


def method_of(name: str) -> str:
    """Return how a figure is measured, as a value of `Slope.how`."""
    if name in PROCESS_FIGURES:
        return "hollow"
    return "virtual" if name in CHARGED_CLOCK_FIGURES else "counted"


def table_of(figures: dict[str, float]) -> Rows:
    """Return the figures of one run and their bounds as a table, header row first."""
    rows = [["figure", "unit", "value", "bound", "value over bound"]]
    for name, value in figures.items():
        bound = BOUNDS.get(name)
        bound_cells = [f"{bound:g}", f"{value / bound:.3f}"] if bound else ["-", "-"]
        rows.append([name, UNITS[name], f"{value:.4g}", *bound_cells])
    return rows


def figures_with_ratios(run: str, figures: dict[str, float]) -> dict[str, float]:
    """Return the figures of a run as `RUN_NAME`, and the ratios to their bounds as `RUN_NAME_over`."""
    found: dict[str, float] = {}
    for name, value in figures.items():
        found[f"{run}_{name}"] = value
        if name in BOUNDS:
            found[f"{run}_{name}_over"] = value / BOUNDS[name]
    return found


def slopes_of(figures_by_teams: dict[int, dict[str, float]]) -> list[Slope]:
    """Return each figure by the number of teams."""
    return [
        Slope(
            name,
            UNITS[name],
            method_of(name),
            [(float(teams), figures[name]) for teams, figures in figures_by_teams.items()],
            float(PLANNED_TEAMS),
            BOUNDS.get(name),
            "teams",
        )
        for name in next(iter(figures_by_teams.values()))
    ]
