"""Days of load on a cluster with configuration versions under faults, and what is checked after each."""

import time
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import Any

from marlseam import records
from marlseam.experiment import plays
from marlseam.experiment.cluster_logs import IN_SERVICE, ServiceReport
from marlseam.experiment.cluster_run import ClusterRun
from marlseam.experiment.cluster_tables import ClusterTable
from marlseam.experiment.file import Experiment
from marlseam.experiment.ledger_comparison import LedgerComparison
from marlseam.experiment.plays import RunResult, ShowProgress
from marlseam.verification.book import RunRecords
from marlseam.verification.service import request_outcomes

UNUSABLE = "unfit"  # the code of a node that cannot use the version held
DELIVERY_FORMS = (
    "whole",
    "chains",
    "edits",
    "changes",
    "digest",
)  # in which nodes report to have got contents


@dataclass
class ReplicationRun:
    """One day that was played.

    Attributes:
        cluster: the cluster, and what happened to it.
        comparison: what servers saw, against the ledgers.
        judged: the rules of service, by the records.
        book: the records.
        figures: of all of these.
    """

    cluster: ClusterRun
    comparison: LedgerComparison
    judged: RunResult
    book: RunRecords
    figures: dict[str, float]


def lagging_nodes(run: ClusterRun) -> list[str]:
    """Describe which nodes do not act on the newest version as proven, but for those that cannot."""
    answers = run.statuses()
    lagging = [f"{name} says nothing" for name, answer in answers.items() if answer is None]
    if run.publisher.has_pending():
        lagging.append("a publication is under way")
    statuses = {name: answer.get("acting", {}) for name, answer in answers.items() if answer is not None}
    newest = max((status.get("version", 0) for status in statuses.values()), default=0)
    for name, status in statuses.items():
        is_unable = name in run.table.older and status.get("code") == UNUSABLE and not status["serving"]
        if not (is_current(status, newest) or is_unable):
            lagging.append(f"{name} acts on {status.get('acting')} of {newest}, {status.get('code')}")
    return lagging


def is_current(status: dict[str, Any], newest: int) -> bool:
    """Return whether a node reports that it acts on the newest version, in service and proven."""
    return bool(status.get("acting") == newest and status["serving"] and status["proved"])


def delivery_figures(run: ClusterRun) -> dict[str, float]:
    """Return how often contents reached nodes in each form, as the nodes last reported it."""
    statuses = [status.get("acting", {}) for status in run.last_statuses.values() if status is not None]
    counts = [status.get("contents", {}) for status in statuses]
    return {f"came_{form}": float(sum(count.get(form, 0) for count in counts)) for form in DELIVERY_FORMS}


def run_figures(run: ClusterRun) -> dict[str, float]:
    """Return the figures of faults and of what came after them."""
    return {
        "faults": float(len(run.injector.spans)),
        "not_struck": float(len(run.schedule.pending)),
        "alike_s": run.healed_after_ms / 1000.0,
    }


def play_replication(
    experiment: Experiment, table: ClusterTable, seed: int, out: Path, show_progress: ShowProgress
) -> ReplicationRun:
    """Play one day under a table's faults, and compare its records with the ledgers."""
    run = ClusterRun(experiment.day, seed, table, out)
    run.play(show_progress, lagging_nodes)
    zero_ms = 1000.0 * (time.time() - time.monotonic() + run.driver.recorder.zero_s)
    found, wrong = records.read_folder(out / "records")
    judged = plays.judge_records(found, wrong, driver="sockets")
    ledgers = [run.nodes.ledger(name) for name in run.names]
    comparison = LedgerComparison(ledgers, found, table.lease_ms, zero_ms)
    figures = judged.figures | comparison.differences() | comparison.staleness()
    figures |= run_figures(run) | delivery_figures(run)
    for text in comparison.audit.findings:
        show_progress(f"WRONG {text}")
    assert judged.book is not None  # as the records have just been judged
    return ReplicationRun(run, comparison, judged, judged.book, figures)


def catch_up_ms(
    reports: Sequence[ServiceReport], node: str, back_ms: float, first_held_ms: dict[int, float]
) -> float:
    """Return how long after it came back a node acted, in service, on the version that was then the newest.

    It is 0 for one that did already, whatever its log says later, and inf for one that never did.
    """
    newest = max((number for number, at_ms in first_held_ms.items() if at_ms <= back_ms), default=0)
    version, is_serving = 0, True
    for report in reports:
        if report.node != node:
            continue
        if report.at_ms >= back_ms and version >= newest and is_serving:
            return 0.0
        if report.version is None:
            is_serving = report.state == IN_SERVICE
        else:
            version = report.version
        if report.at_ms >= back_ms and version >= newest and is_serving:
            return report.at_ms - back_ms
    return 0.0 if version >= newest and is_serving else inf


def service_at_nodes(run: RunRecords, names: set[str]) -> float:
    """Return the service of the requests that were first sent to some nodes, a share of their weight."""
    outcomes = [outcome for outcome in request_outcomes(run) if outcome.first.node in names]
    in_time = sum(outcome.credit_in_time for outcome in outcomes)
    return in_time / (sum(outcome.first.credit for outcome in outcomes) or 1.0)
