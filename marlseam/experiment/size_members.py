"""The play `size_members`: the cost of membership for a node, by the number of members in the cluster.

A few full members, which run the real state machine, are measured among scripted ones. Small clusters are
played with full members only, and one of them is killed. The time until every member has detected a silent
member by its own probes is calculated.
"""

from collections.abc import Iterator, Mapping
from pathlib import Path

from marlseam.cluster.membership_codec import MAX_DATAGRAM_BYTES
from marlseam.experiment import file, slope
from marlseam.experiment.cluster_scale import ScaleTable, measure_detection
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.sizing.isolation import call_in_child_process, time_limit
from marlseam.experiment.sizing.membership.measurement import measure_membership
from marlseam.experiment.sizing.membership.settings import MembershipSizes
from marlseam.experiment.sizing.plan import (
    MAX_TURN_MS,
    NODE_BYTES_PER_S,
    NODE_CORE_SHARE,
    NODE_MEMORY_MB,
    PLANNED_SERVERS,
)
from marlseam.experiment.sizing.resource_need import ResourceNeed, check_resource_need
from marlseam.experiment.slope import Point, Slope

PLAY = "size_members"  # name of the play in experiment files
PLAY_MB = 150.0  # memory of the run without the names that full members hold
NAME_MB = 0.006  # memory of one name, in each full member
PROCESSES = 2  # the play, and the child process of one size at a time

# Figures of clusters of full members only: the name shown, by the name in `DetectionSample.figures`.
WHOLE_CLUSTER_FIGURES = {
    "most_s": "whole_gone_s",
    "median_s": "whole_half_s",
    "letters": "whole_letters",
    "bytes": "whole_bytes_s",
    "false": "whole_false",
}
UNITS = {
    "tick_ms": "ms",
    "heard_ms": "ms",
    "turn_ms": "ms",
    "core_share": "of a core",
    "letters": "a second",
    "bytes_s": "bytes a second",
    "letter_bytes": "bytes",
    "letter_most": "bytes",
    "memory_mb": "MB",
    "zone_core_share": "of a core",
    "zone_letters": "a second",
    "zone_bytes_s": "bytes a second",
    "zone_turn_ms": "ms",
    "gone_bound_s": "s",
    "door_bytes": "bytes",
    "door_ms": "ms",
    "changes": "in the run",
    "whole_gone_s": "s",
    "whole_half_s": "s",
    "whole_letters": "a second",
    "whole_bytes_s": "bytes a second",
    "whole_false": "words",
}
# Bounds at the planned size.
BOUNDS = {
    "core_share": NODE_CORE_SHARE,
    "bytes_s": NODE_BYTES_PER_S,
    "memory_mb": NODE_MEMORY_MB,
    "letter_most": float(MAX_DATAGRAM_BYTES),
    "turn_ms": MAX_TURN_MS,
    "zone_core_share": NODE_CORE_SHARE,
    "zone_bytes_s": NODE_BYTES_PER_S,
    "zone_turn_ms": MAX_TURN_MS,
    "door_ms": MAX_TURN_MS,
}
# Figures that are the same on every run.
COUNTED = (
    "letters",
    "bytes_s",
    "letter_bytes",
    "letter_most",
    "changes",
    "zone_letters",
    "zone_bytes_s",
    "door_bytes",
)

FiguresBySize = Mapping[int, Mapping[str, float]]


def need_of(settings: MembershipSizes, count: int) -> ResourceNeed:
    """Return the resources that `count` members need; sizes run one after another in child processes."""
    return ResourceNeed(PLAY_MB + NAME_MB * count * settings.members, PROCESSES)


def method_of(name: str) -> str:
    """Return how a figure is measured, as a value of `Slope.how`."""
    if name == "gone_bound_s":
        return "worked out"
    if name in WHOLE_CLUSTER_FIGURES.values():
        return "virtual"
    return "counted" if name in COUNTED else "hollow"


def slopes(figures_by_size: FiguresBySize, planned_size: int) -> Iterator[Slope]:
    """Yield each figure by size."""
    for name in next(iter(figures_by_size.values()), {}):
        points = [Point(float(count), figures[name]) for count, figures in figures_by_size.items()]
        yield Slope(
            name, UNITS[name], method_of(name), points, float(planned_size), BOUNDS.get(name), "names"
        )


def measure_whole_cluster(count: int, seed: int, settings: ScaleTable) -> dict[str, float]:
    """Return the figures of a cluster of full members only, in virtual time and without loss of datagrams."""
    found = call_in_child_process(measure_detection, count, 0.0, seed, settings).figures()
    return {shown: found[name] for name, shown in WHOLE_CLUSTER_FIGURES.items()}


@register_play(PLAY)
def size_members(experiment: Experiment, _out: Path, show_progress: ShowProgress) -> RunResult:
    """Measure the cost of membership by the number of members, and the time to detect that one is gone.

    The cost consists of timers, datagrams and memory.
    """
    settings: MembershipSizes = experiment.tables[PLAY]
    need = check_resource_need(f"{PLAY}.sizes", settings.sizes, lambda count: need_of(settings, count))
    show_progress(f"needs {need.memory_mb:.0f} MB and {need.processes} processes at most")
    seed = experiment.head.seed
    by_size: dict[int, dict[str, float]] = {}
    whole_by_size: dict[int, dict[str, float]] = {}
    with time_limit():
        for count in settings.sizes:
            show_progress(f"{count} members, {settings.members} of them full members")
            figures = call_in_child_process(measure_membership, settings, count, seed)
            by_size[count] = figures.by_name()
        cluster = ScaleTable(nodes=[1], loss=[0.0], watched_s=settings.watched_s)
        for count in settings.whole:
            show_progress(f"{count} members, all of them full members")
            whole_by_size[count] = measure_whole_cluster(count, seed, cluster)
    # Clusters of full members are not extrapolated past the largest one played: they do not grow linearly.
    largest_played = max(whole_by_size, default=1)
    all_slopes = [*slopes(by_size, PLANNED_SERVERS), *slopes(whole_by_size, largest_played)]
    tables = [("Slopes", slope.rows(all_slopes))]
    return RunResult(slope.figures(all_slopes), tables=tables, driver="hollow and virtual", slopes=all_slopes)


def register() -> None:
    """Register the play's table for experiment files."""
    file.register(PLAY, MembershipSizes)
