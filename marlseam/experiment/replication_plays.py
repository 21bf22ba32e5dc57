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
VIOLATIONS = ("two_contents", "audit_wrong", "past_bound", "rules_broken")  # figures that are to be 0
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
    """Days under drawn or named faults.

    Attributes:
        seeds: how many days, each with the seed after the one before.
    """

    seeds: Count = 1


class CutsTable(ClusterTable, frozen=True):
    """Cuts, each played in both modes of going on without a proof.

    Attributes:
        cuts: the groups that each fault SPLIT takes in turn, in place of its own.
    """

    cuts: list[str] = []


class CombinedFigures:
    """Figures of several runs, combined by key.

    Attributes:
        values: so far.
    """

    def __init__(self) -> None:
        self.values: dict[str, float] = {}

    def add(self, figures: Mapping[str, float], keys: Iterable[str]) -> None:
        """Add up the figures of some keys."""
        for key in keys:
            self.values[key] = self.values.get(key, 0.0) + figures[key]

    def keep_greatest(self, key: str, value: float) -> None:
        """Keep the greater of a value and what is there, at least 0."""
        self.values[key] = max(self.values.get(key, 0.0), value)

    def keep_least(self, key: str, value: float) -> None:
        """Keep the lesser of a value and what is there."""
        self.values[key] = min(self.values.get(key, inf), value)


@register_play(AUDIT_PLAY)
def play_audit(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Compare ledgers with what servers saw, under publications and faults, seed after seed."""
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
    worst = combined.values
    worst["unknown_share"] = worst["unknown"] / max(1.0, worst["allocations"])
    return RunResult(worst, tables=[("What ledgers say, held against executors", rows)], driver="sockets")


def publication_rows(publications: Iterable[Publication]) -> list[list[str]]:
    """Return publications as rows of the report."""
    rows = [[f"{asked.at_ms / 1000.0:.1f}", asked.node, asked.result.strip()] for asked in publications]
    return [PUBLICATIONS_HEAD, *rows]


class StragglerCheck:
    """How nodes that missed a publication catch up.

    Attributes:
        slowest_ms: until the last of them was up to date; inf if one never was.
        rows: of the report.
    """

    def __init__(self, played: ReplicationRun) -> None:
        """Check a run's faults, and its nodes that run as an older program."""
        self._cluster = played.cluster
        self._first_held_ms = played.comparison.first_held_ms()
        self.slowest_ms, self.rows = 0.0, [STRAGGLER_HEAD]
        for span in self._cluster.injector.spans:
            self._check_catches_up(span.node, span.kind, span.until_ms)
        for name in self._cluster.table.older:
            self._check_left_service(name)

    def _check_catches_up(self, node: str, kind: FaultKind, back_ms: float) -> None:
        """Check a node that is back after a fault."""
        taken_ms = catch_up_ms(self._cluster.logs.service_reports, node, back_ms, self._first_held_ms)
        self.slowest_ms = max(self.slowest_ms, taken_ms)
        self.rows.append([node, kind.value, f"{back_ms / 1000.0:.1f}", "up", f"{taken_ms / 1000.0:.2f}"])

    def _check_left_service(self, node: str) -> None:
        """Check that an older program, which cannot use the version, is out of service."""
        reports = reversed(self._cluster.logs.service_reports)
        code = next((report.state for report in reports if report.node == node), "?")
        self.slowest_ms = max(self.slowest_ms, 0.0 if code == UNUSABLE else inf)
        self.rows.append([node, "older", "-", f"out, code={code}", "-"])

    def other_nodes(self) -> set[str]:
        """Return the nodes that missed nothing."""
        disturbed = {span.node for span in self._cluster.injector.spans} | set(self._cluster.table.older)
        return set(self._cluster.names) - disturbed


@register_play(STRAGGLER_PLAY)
def play_straggler(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Have some nodes miss a publication in different ways, beside the same day without them."""
    table: ClusterTable = experiment.tables[STRAGGLER_PLAY]
    publications = [fault for fault in table.faults if fault.fault == FaultKind.PUBLISH]
    undisturbed = replace(table, faults=publications, older=[])
    seed = experiment.head.seed
    calm = play_replication(experiment, undisturbed, seed, out / "without", show_progress)
    played = play_replication(experiment, table, seed, out / "with", show_progress)
    check = StragglerCheck(played)
    others = check.other_nodes()
    figures = played.figures | {
        "slowest_up_s": check.slowest_ms / 1000.0,
        "rest_service": service_at_nodes(played.book, others),
        "rest_without": service_at_nodes(calm.book, others),
    }
    figures["rest_lost"] = figures["rest_without"] - figures["rest_service"]
    publication_table = publication_rows(played.cluster.publisher.publications)
    tables = [("Stragglers", check.rows), ("Publications", publication_table)]
    return RunResult(figures, played.judged.verdict, played.book, tables, "sockets")


def cut_row(cut: str, mode: str, figures: Mapping[str, float]) -> list[str]:
    """Return a run with a cut as a row of the report."""
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
    """Publish on all sides of a cut at once, in both modes of going on without a proof, then heal it."""
    table: CutsTable = experiment.tables[CUT_PLAY]
    rows, combined = [CUT_HEAD], CombinedFigures()
    for cut in table.cuts:
        faults = [
            replace(fault, other=cut) if fault.fault == FaultKind.SPLIT else fault for fault in table.faults
        ]
        for mode in PAST_LEASE_MODES:
            folder = out / f"{mode}-{table.cuts.index(cut)}"
            with_cut = replace(table, faults=faults, past_lease=mode)
            played = play_replication(experiment, with_cut, experiment.head.seed, folder, show_progress)
            figures = played.figures
            combined.add(figures, ("differences", "not_struck", *VIOLATIONS))
            combined.keep_greatest("alike_s", figures["alike_s"])
            combined.keep_greatest(f"{mode}_unproved", figures["unproved_share"])
            combined.keep_least(f"{mode}_service", figures["service"])
            combined.keep_least("numbers", figures["numbers"])
            rows.append(cut_row(cut, mode, figures))
    tables = [("Publications on all sides of a cut", rows)]
    return RunResult(combined.values, tables=tables, driver="sockets")
