"""The plays of configuration versions: `audit_truth`, `straggler` and `versions_cut`."""

from collections.abc import Iterable, Mapping
from math import inf
from pathlib import Path

from msgspec.structs import replace

from marlseam.experiment.cluster_publications import Publication
from marlseam.experiment.cluster_tables import ClusterTable, FaultKind
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.replication_runs import (
    UNUSABLE,
    ReplicationRun,
    catch_up_ms,
    play_replication,
    service_at_nodes,
)
from marlseam.simulation.model import Count

AUDIT_PLAY, STRAGGLER_PLAY, CUT_PLAY = "audit_truth", "straggler", "versions_cut"
PAST_LEASE_MODES = ("strict", "serve")
VIOLATIONS = ("two_contents", "audit_wrong", "past_bound", "rules_broken")  # figures that must be 0
AUDIT_SUMS = (
    "allocations",
    "differences",
    "unknown",
    "came_chains",
    "came_whole",
    "came_changes",
    *VIOLATIONS,
)
AUDIT_MAXIMA = ("alike_s", "nearest_stale", "not_struck")
AUDIT_COLUMNS = ("lives", "numbers", "allocations", "differences", "unknown", "past_bound")
AUDIT_HEAD = [
    "seed",
    "lives",
    "numbers",
    "allocations",
    "differences",
    "unknown",
    "past the bound",
    "alike after, s",
]
STRAGGLER_HEAD = ["node", "what", "until, s", "then", "after, s"]
PUBLICATIONS_HEAD = ["asked for at, s", "by", "what came of it"]
CUT_HEAD = [
    "cut",
    "past the lease",
    "numbers",
    "two contents",
    "unproved",
    "past the bound",
    "alike after, s",
]


class AuditTable(ClusterTable, frozen=True):
    """Table `audit_truth` of an experiment file: days under drawn or listed faults.

    Attributes:
        seeds: how many days are played, with consecutive seeds from the experiment's seed.
    """

    seeds: Count = 1


class CutsTable(ClusterTable, frozen=True):
    """Table `versions_cut` of an experiment file: network cuts, each played in both `past_lease` modes.

    Attributes:
        cuts: the groups of nodes, one text per day, that replace the groups of each SPLIT fault.
    """

    cuts: list[str] = []


class CombinedFigures:
    """Combines figures of several runs by their names: as sums, maxima or minima.

    Attributes:
        values: the combined figures by name.
    """

    def __init__(self) -> None:
        self.values: dict[str, float] = {}

    def add(self, figures: Mapping[str, float], keys: Iterable[str]) -> None:
        """Add the figures named in `keys` to their sums."""
        for key in keys:
            self.values[key] = self.values.get(key, 0.0) + figures[key]

    def keep_greatest(self, key: str, value: float) -> None:
        """Update the maximum under a key with a value; the maximum is at least 0."""
        self.values[key] = max(self.values.get(key, 0.0), value)

    def keep_least(self, key: str, value: float) -> None:
        """Update the minimum under a key with a value."""
        self.values[key] = min(self.values.get(key, inf), value)


@register_play(AUDIT_PLAY)
def play_audit(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play a day under publications and faults for each seed; compare ledgers with the servers' records."""
    table: AuditTable = experiment.tables[AUDIT_PLAY]
    rows, combined = [AUDIT_HEAD], CombinedFigures()
    first_seed = experiment.head.seed
    for seed in range(first_seed, first_seed + table.seeds):
        figures = play_replication(experiment, table, seed, out / f"{seed}", show_progress).figures
        combined.add(figures, AUDIT_SUMS)
        for key in AUDIT_MAXIMA:
            combined.keep_greatest(key, figures[key])
        for key in ("numbers", "service"):
            combined.keep_least(key, figures[key])
        cells = [f"{figures[key]:.0f}" for key in AUDIT_COLUMNS]
        rows.append([str(seed), *cells, f"{figures['alike_s']:.1f}"])
    totals = combined.values
    totals["unknown_share"] = totals["unknown"] / max(1.0, totals["allocations"])
    return RunResult(totals, tables=[("What ledgers say, held against executors", rows)], driver="sockets")


def publication_rows(publications: Iterable[Publication]) -> list[list[str]]:
    """Return the report's table of publications, with its head."""
    rows = [
        [f"{publication.at_ms / 1000.0:.1f}", publication.node, publication.result.strip()]
        for publication in publications
    ]
    return [PUBLICATIONS_HEAD, *rows]


class StragglerCheck:
    """Checks how nodes that missed a publication catch up.

    Attributes:
        slowest_ms: the longest time until such a node had caught up, in ms; inf if one never did.
        rows: the rows of the report's table, with its head.
    """

    def __init__(self, run: ReplicationRun) -> None:
        """Check the node of each injected fault, and each node that runs as an older program."""
        self._cluster = run.cluster
        self._first_held_ms = run.comparison.first_held_ms()
        self.slowest_ms, self.rows = 0.0, [STRAGGLER_HEAD]
        for span in self._cluster.injector.spans:
            self._check_catches_up(span.node, span.kind, span.until_ms)
        for name in self._cluster.table.older:
            self._check_left_service(name)

    def _check_catches_up(self, node: str, kind: FaultKind, back_ms: float) -> None:
        """Check how soon a node caught up after its fault, which ended at `back_ms` of the run."""
        taken_ms = catch_up_ms(self._cluster.logs.service_reports, node, back_ms, self._first_held_ms)
        self.slowest_ms = max(self.slowest_ms, taken_ms)
        self.rows.append([node, kind.value, f"{back_ms / 1000.0:.1f}", "up", f"{taken_ms / 1000.0:.2f}"])

    def _check_left_service(self, node: str) -> None:
        """Check that a node of an older program, which cannot use the version, ends out of service."""
        reports = reversed(self._cluster.logs.service_reports)
        code = next((report.state for report in reports if report.node == node), "?")
        self.slowest_ms = max(self.slowest_ms, 0.0 if code == UNUSABLE else inf)
        self.rows.append([node, "older", "-", f"out, code={code}", "-"])

    def other_nodes(self) -> set[str]:
        """Return the names of the nodes that had no fault and run the present program."""
        disturbed = {span.node for span in self._cluster.injector.spans} | set(self._cluster.table.older)
        return set(self._cluster.names) - disturbed


@register_play(STRAGGLER_PLAY)
def play_straggler(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play a day in which nodes miss a publication in several ways, and the same day without these faults."""
    table: ClusterTable = experiment.tables[STRAGGLER_PLAY]
    publications = [fault for fault in table.faults if fault.fault == FaultKind.PUBLISH]
    undisturbed = replace(table, faults=publications, older=[])
    seed = experiment.head.seed
    baseline_run = play_replication(experiment, undisturbed, seed, out / "without", show_progress)
    disturbed_run = play_replication(experiment, table, seed, out / "with", show_progress)
    check = StragglerCheck(disturbed_run)
    others = check.other_nodes()
    figures = disturbed_run.figures | {
        "slowest_up_s": check.slowest_ms / 1000.0,
        "rest_service": service_at_nodes(disturbed_run.run_records, others),
        "rest_without": service_at_nodes(baseline_run.run_records, others),
    }
    figures["rest_lost"] = figures["rest_without"] - figures["rest_service"]
    publication_table = publication_rows(disturbed_run.cluster.publisher.publications)
    tables = [("Stragglers", check.rows), ("Publications", publication_table)]
    return RunResult(figures, disturbed_run.judged.verdict, disturbed_run.run_records, tables, "sockets")


def cut_row(cut: str, mode: str, figures: Mapping[str, float]) -> list[str]:
    """Return the row of one run with a cut in the report's table; `mode` is its `past_lease`."""
    return [
        cut,
        mode,
        f"{figures['numbers']:.0f}",
        f"{figures['two_contents']:.0f}",
        f"{figures['unproved_share']:.3f}",
        f"{figures['past_bound']:.0f}",
        f"{figures['alike_s']:.1f}",
    ]


@register_play(CUT_PLAY)
def play_cuts(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play each cut in both `past_lease` modes: publish on all sides of the cut at once, then heal it."""
    table: CutsTable = experiment.tables[CUT_PLAY]
    rows, combined = [CUT_HEAD], CombinedFigures()
    for cut in table.cuts:
        faults = [
            replace(fault, other=cut) if fault.fault == FaultKind.SPLIT else fault for fault in table.faults
        ]
        for mode in PAST_LEASE_MODES:
            folder = out / f"{mode}-{table.cuts.index(cut)}"
            with_cut = replace(table, faults=faults, past_lease=mode)
            run = play_replication(experiment, with_cut, experiment.head.seed, folder, show_progress)
            figures = run.figures
            combined.add(figures, ("differences", "not_struck", *VIOLATIONS))
            combined.keep_greatest("alike_s", figures["alike_s"])
            combined.keep_greatest(f"{mode}_unproved", figures["unproved_share"])
            combined.keep_least(f"{mode}_service", figures["service"])
            combined.keep_least("numbers", figures["numbers"])
            rows.append(cut_row(cut, mode, figures))
    tables = [("Publications on all sides of a cut", rows)]
    return RunResult(combined.values, tables=tables, driver="sockets")
