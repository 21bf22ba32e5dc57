"""The play `size_changes`: the cost of configuration changes for a node, by the number of teams listed.

`config_change_simulation` simulates nodes; `config_change_nodes` runs real nodes on loopback for comparison.
"""

from functools import partial
from pathlib import Path

from msgspec.structs import replace

from marlseam.experiment import file, slope
from marlseam.experiment import size_changes_report as report
from marlseam.experiment.config_change_measurement import SimulatedCase, measure_case
from marlseam.experiment.config_change_nodes import RealNodes
from marlseam.experiment.config_change_workload import (
    LOOPBACK,
    PLANNED_TEAMS,
    PUBLISHER,
    ChangeSettings,
    Delays,
)
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.sizing.comparison import compare
from marlseam.experiment.sizing.isolation import call_in_child_process, time_limit, working_directory
from marlseam.experiment.sizing.resource_need import ResourceNeed, check_resource_need

PLAY_MB = 150.0  # memory of the play's own process
REAL_NODE_MB = 100.0  # memory of a real node with its ledger's writer process
TEAM_BYTES = 100.0  # length of one team in an encoded content
CONTENT_COPIES = 16  # memory of a decoded content in a simulated node, over its encoded length
REORDERING_CHANGES = 2
REORDERING_INTERVALS = 3.0  # time between changes, in multiples of `every_s`

Figures = dict[str, float]
Table = tuple[str, report.Rows]  # title, and rows with the header first, as in `RunResult.tables`


def resources_needed(settings: ChangeSettings, nodes: int) -> ResourceNeed:
    """Return the resources that a play with `nodes` simulated nodes needs.

    Simulated clusters run in one child process each, one after another.
    """
    content_mb = TEAM_BYTES * PLANNED_TEAMS / 1e6
    simulated_mb = PLAY_MB + nodes * content_mb * CONTENT_COPIES
    real_mb = PLAY_MB + REAL_NODE_MB * settings.real
    return ResourceNeed(max(simulated_mb, real_mb), 2 + 2 * settings.real)


class SizeChanges:
    """One play of the experiment.

    Attributes:
        settings: the table of the experiment file.
        seed: the seed of all runs.
        out: the directory for results.
        show_progress: called with progress texts.
        figures: the figures measured so far, by name.
        tables: the report's tables that follow the table of slopes.
    """

    def __init__(self, settings: ChangeSettings, seed: int, out: Path, show_progress: ShowProgress) -> None:
        """Prepare a play without figures."""
        self.settings, self.seed, self.out, self.show_progress = settings, seed, out, show_progress
        self.figures: Figures = dict.fromkeys(report.FAILURE_FIGURES, 0.0)
        self.tables: list[Table] = []

    def simulate(self, case: SimulatedCase) -> Figures:
        """Run a case in a child process, and return its figures."""
        figures: Figures = call_in_child_process(measure_case, case)
        return figures

    def simulate_counting_failures(self, case: SimulatedCase) -> Figures:
        """Run a case, add its counts of failures to the play's, and return its other figures."""
        figures = self.simulate(case)
        for name in report.FAILURE_FIGURES:
            self.figures[name] += figures.pop(name)
        return figures

    def measure_sizes(self) -> dict[int, Figures]:
        """Return the figures at each number of teams."""
        found: dict[int, Figures] = {}
        for teams in self.settings.teams:
            self.show_progress(f"{teams} teams, {self.settings.nodes} simulated nodes")
            case = SimulatedCase(self.seed, self.settings, teams, self.settings.nodes)
            found[teams] = self.simulate_counting_failures(case)
        return found

    def measure_full_size(self) -> None:
        """Measure a cluster whose content has the planned number of teams and lists all nodes as members."""
        nodes = self.settings.full_nodes
        self.show_progress(f"{PLANNED_TEAMS} teams, {nodes} simulated nodes, all listed in the content")
        changes = self.settings.full_changes
        settings = replace(self.settings, changes=changes, burst=changes)
        case = SimulatedCase(self.seed, settings, PLANNED_TEAMS, nodes, lists_members=True)
        title = f"{PLANNED_TEAMS} teams, {nodes} nodes that the content lists"
        self.add_run("full", title, self.simulate_counting_failures(case))

    def measure_reordering(self) -> None:
        """Measure a cluster whose network reorders datagrams."""
        teams, nodes = self.settings.disorder, self.settings.nodes
        self.show_progress(f"{teams} teams, reordered datagrams")
        settings = replace(
            self.settings,
            changes=REORDERING_CHANGES,
            burst=REORDERING_CHANGES,
            every_s=REORDERING_INTERVALS * self.settings.every_s,
        )
        case = SimulatedCase(self.seed, settings, teams, nodes, delays=Delays(reorders=True))
        title = f"{teams} teams, {nodes} nodes, notes overtake each other"
        self.add_run("disorder", title, self.simulate_counting_failures(case))

    def add_run(self, name: str, title: str, figures: Figures) -> None:
        """Add the figures and the table of a run that is not part of the slopes."""
        self.tables.append((title, report.table_of(figures)))
        self.figures |= report.figures_with_ratios(name, figures)

    def compare_with_real_nodes(self, directory: Path) -> None:
        """Run the same workload on simulated and on real nodes, and add the ratios of their figures.

        `directory` is for the files of the real nodes.
        """
        nodes, teams = self.settings.real, self.settings.real_teams
        case = SimulatedCase(self.seed, self.settings, teams, nodes, delays=LOOPBACK)
        simulated, real = self.simulate(case), self.measure_real_nodes(directory)
        pairs = {f"{name}_{teams}": (simulated[name], real[name]) for name in report.COMPARED_FIGURES}
        rows, ratios = compare(pairs)
        self.tables.append((f"Hollow over real, {nodes} nodes each", rows))
        self.figures |= ratios | {f"real_{name}": value for name, value in real.items()}

    def measure_real_nodes(self, directory: Path) -> Figures:
        """Return the figures of real nodes, and copy the publisher's log to the results."""
        nodes = RealNodes(directory, self.seed, self.settings, self.show_progress)
        try:
            return nodes.measure()
        finally:
            nodes.end()
            log = nodes.loopback_nodes.nodes[PUBLISHER].log
            (self.out / "publisher.log").write_bytes(log.read_bytes())

    def run(self) -> RunResult:
        """Run all measurements that the settings request."""
        with time_limit(), working_directory(self.out) as directory:
            figures_by_teams = self.measure_sizes()
            if self.settings.full_nodes:
                self.measure_full_size()
            if self.settings.disorder:
                self.measure_reordering()
            if self.settings.real:
                self.compare_with_real_nodes(directory)
        slopes = report.slopes_of(figures_by_teams)
        tables = [(f"Slopes, {self.settings.nodes} nodes", slope.rows(slopes)), *self.tables]
        driver = "hollow and sockets" if self.settings.real else "hollow"
        return RunResult(self.figures | slope.figures(slopes), tables=tables, driver=driver, slopes=slopes)


@register_play("size_changes")
def size_changes(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Measure the cost of configuration changes for a node, by the number of teams in the configuration."""
    settings: ChangeSettings = experiment.tables["size_changes"]
    largest = max(settings.nodes, settings.full_nodes)
    needed = check_resource_need("size_changes.nodes", [largest], partial(resources_needed, settings))
    show_progress(f"needs {needed.memory_mb:.0f} MB and {needed.processes} processes at most")
    return SizeChanges(settings, experiment.head.seed, out, show_progress).run()


def register() -> None:
    """Register the play's table for experiment files."""
    file.register("size_changes", ChangeSettings)
