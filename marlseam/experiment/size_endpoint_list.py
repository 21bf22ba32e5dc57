"""The play `size_roster`: the cost of an endpoint list for a node, by the length of the list.

The whole list, one change, and a thousand changes in one answer are measured: bytes, processor time, longest
turn, memory, table entries read for a change, and processor time of a decision. In-process nodes apply
discovery's answers with the code of a real node's discovery client; real nodes on loopback receive the same
answers.
"""

import json
from collections.abc import Iterator, Mapping
from pathlib import Path

from marlseam.experiment import file, slope
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.sizing.comparison import Comparison, FigurePair, compare
from marlseam.experiment.sizing.endpoint_list.in_process_measurement import measure_in_process
from marlseam.experiment.sizing.endpoint_list.loopback_measurement import measure_on_loopback
from marlseam.experiment.sizing.endpoint_list.settings import EndpointListSizes
from marlseam.experiment.sizing.endpoint_list.source import ZONE_CHANGES
from marlseam.experiment.sizing.isolation import call_in_child_process, time_limit, working_directory
from marlseam.experiment.sizing.loopback_nodes import node_config
from marlseam.experiment.sizing.plan import MAX_TURN_MS, NODE_MEMORY_MB, PLANNED_SERVERS
from marlseam.experiment.sizing.resource_need import ResourceNeed, check_resource_need
from marlseam.experiment.slope import Point, Slope
from marlseam.net import protocol

PLAY = "size_roster"  # name of the play in experiment files
PLAY_MB = 120.0  # memory of the process that runs the play
NODE_MB = 45.0  # memory of a node with its interpreter, without a list
ENTRY_MB = 0.0035  # memory of one entry of the list, in each process
OTHER_PROCESSES = 2  # the play's process and the in-process node's
IN_PROCESS_NODE = "hollow"  # name of the in-process node
NO_DISCOVERY = "127.0.0.1:9"  # an address on which nothing listens
ZONE_CHANGE_FIGURES = "thousand"  # prefix of the names of figures of a zone's change

# Figures that are the same on every run of the in-process node.
COUNTED = (
    "whole_bytes",
    "one_bytes",
    "thousand_bytes",
    "thousand_back_bytes",
    "touched",
    "reads",
    "unit_probes",
    "unit_sends",
)
# Figures that are compared with those of real nodes.
COMPARED = (
    "whole_ms",
    "whole_turn_ms",
    "one_ms",
    "thousand_ms",
    "thousand_back_ms",
    "memory_mb",
    "unit_probes",
    "unit_sends",
)
# Units, by the last word of a figure's name.
UNITS = {
    "touched": "entries",
    "reads": "of entries",
    "probes": "a work unit",
    "sends": "a work unit",
    "ms": "ms",
    "us": "us",
    "mb": "MB",
    "bytes": "bytes",
}
OTHER_UNIT = "of the work"
# Bounds at the planned size: length of discovery's answers, memory of a node, turn of an event loop.
BOUNDS = {
    "whole_turn_ms": MAX_TURN_MS,
    "one_turn_ms": MAX_TURN_MS,
    "thousand_turn_ms": MAX_TURN_MS,
    "thousand_back_turn_ms": MAX_TURN_MS,
    "decision_turn_ms": MAX_TURN_MS,
    "whole_bytes": float(protocol.MAX_LIST_BYTES),
    "process_mb": NODE_MEMORY_MB,
}

FiguresBySize = Mapping[int, Mapping[str, float]]


def need_of(settings: EndpointListSizes, count: int) -> ResourceNeed:
    """Return the resources that a list of `count` servers needs, in the play, in-process and real nodes."""
    list_mb = ENTRY_MB * count
    nodes = 1 + settings.real
    return ResourceNeed(PLAY_MB + list_mb + nodes * (NODE_MB + list_mb), OTHER_PROCESSES + settings.real)


def is_shown(name: str, count: int) -> bool:
    """Return whether a figure is shown for a list of `count` servers; those of a zone need a whole zone."""
    return count >= ZONE_CHANGES or not name.startswith(ZONE_CHANGE_FIGURES)


def unit_of(name: str) -> str:
    """Return a figure's unit."""
    return UNITS.get(name.rpartition("_")[2], OTHER_UNIT)


def slopes(figures_by_size: FiguresBySize, on_loopback: bool) -> Iterator[Slope]:
    """Yield the figures by size, either those of in-process nodes or those of real ones."""
    for name in next(iter(figures_by_size.values()), {}):
        points = [
            Point(float(count), figures[name])
            for count, figures in figures_by_size.items()
            if is_shown(name, count)
        ]
        if not points:
            continue
        how = "measured" if on_loopback else "counted" if name in COUNTED else "hollow"
        shown_name = f"real_{name}" if on_loopback else name
        yield Slope(shown_name, unit_of(name), how, points, float(PLANNED_SERVERS), BOUNDS.get(name))


def comparison(in_process: FiguresBySize, on_loopback: FiguresBySize) -> Comparison:
    """Compare the figures of in-process nodes with those of real ones, by size."""
    return compare(
        {
            f"{name}_{count}": FigurePair(in_process[count][name], figures[name])
            for name in COMPARED
            for count, figures in on_loopback.items()
            if is_shown(name, count)
        }
    )


def in_process_figures(settings: EndpointListSizes, count: int, config_path: str) -> dict[str, float]:
    """Return the figures of an in-process node.

    Must be called in a child process. That process loads this module with all its imports, which count in
    `process_mb`, so that `process_mb` stays comparable with earlier runs.
    """
    return measure_in_process(settings, count, config_path).by_name()


@register_play(PLAY)
def size_endpoint_list(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Measure the cost of an endpoint list for a node by the list's length, in-process and on loopback."""
    settings: EndpointListSizes = experiment.tables[PLAY]
    need = check_resource_need(f"{PLAY}.sizes", settings.sizes, lambda count: need_of(settings, count))
    show_progress(f"needs {need.memory_mb:.0f} MB and {need.processes} processes at most")
    seed = experiment.head.seed
    in_process: dict[int, dict[str, float]] = {}
    on_loopback: dict[int, dict[str, float]] = {}
    with time_limit(), working_directory(out) as directory:
        config_path = directory / f"{IN_PROCESS_NODE}.json"
        config = node_config(IN_PROCESS_NODE, NO_DISCOVERY, max(1, settings.real), seed)
        config_path.write_text(json.dumps(config))
        for count in settings.sizes:
            show_progress(f"{count} servers, an in-process node")
            in_process[count] = call_in_child_process(in_process_figures, settings, count, str(config_path))
            if settings.real:
                show_progress(f"{count} servers, {settings.real} real nodes")
                on_loopback[count] = measure_on_loopback(settings, count, seed, directory).by_name()
    return result(settings, in_process, on_loopback)


def result(settings: EndpointListSizes, in_process: FiguresBySize, on_loopback: FiguresBySize) -> RunResult:
    """Return the result of a run from its figures by size."""
    all_slopes = [*slopes(in_process, on_loopback=False), *slopes(on_loopback, on_loopback=True)]
    figures = slope.figures(all_slopes)
    tables = [("Slopes", slope.rows(all_slopes))]
    if on_loopback:
        compared = comparison(in_process, on_loopback)
        tables.append((f"Hollow beside {settings.real} real nodes", compared.rows))
        figures |= compared.ratios
    return RunResult(figures, tables=tables, driver="hollow and loopback", slopes=all_slopes)


def register() -> None:
    """Register the play's table for experiment files."""
    file.register(PLAY, EndpointListSizes)
