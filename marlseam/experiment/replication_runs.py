"""Days of load on a cluster with configuration versions under faults, and the checks after each day."""

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
from marlseam.verification.run_records import RunRecords
from marlseam.verification.service import request_outcomes

UNUSABLE = "unfit"  # the reason code of a node that cannot use the version that it holds
# The forms in which nodes report to have received the contents of versions.
DELIVERY_FORMS = ("whole", "chains", "edits", "changes", "digest")


@dataclass
class ReplicationRun:
    """One played day, with the results of its checks.

    Attributes:
        cluster: the cluster run, with its faults, logs and publications.
        comparison: the comparison of the servers' records with the ledgers.
        judged: the result of checking the records against the rules of service.
        run_records: the records.
        figures: the figures of all checks, by name.
    """

    cluster: ClusterRun
    comparison: LedgerComparison
    judged: RunResult
    run_records: RunRecords
    figures: dict[str, float]


def lagging_nodes(run: ClusterRun) -> list[str]:
    """Ask all nodes for their status, and describe each that is not in service on the newest proven version.

    An unanswered request and a publication in progress are described as well. Nodes of an older program,
    which cannot use the version, must be out of service with the code `UNUSABLE` instead.
    """
    answers = run.statuses()
    lagging = [
        f"{name} did not answer the status request" for name, answer in answers.items() if answer is None
    ]
    if run.publisher.has_pending():
        lagging.append("the result of a publication is not known yet")
    statuses = {name: answer.get("acting", {}) for name, answer in answers.items() if answer is not None}
    newest = max((status.get("version", 0) for status in statuses.values()), default=0)
    for name, status in statuses.items():
        is_unable = name in run.table.older and status.get("code") == UNUSABLE and not status["serving"]
        if not (is_current(status, newest) or is_unable):
            lagging.append(
                f"{name} acts on version {status.get('acting')} of {newest}, code={status.get('code')}"
            )
    return lagging


def is_current(status: dict[str, Any], newest: int) -> bool:
    """Return whether a node's status reports the newest version as acted on, in service and with a proof."""
    return bool(status.get("acting") == newest and status["serving"] and status["proved"])


def delivery_figures(run: ClusterRun) -> dict[str, float]:
    """Return how often nodes received contents in each of DELIVERY_FORMS, by the nodes' last statuses."""
    statuses = [status.get("acting", {}) for status in run.last_statuses.values() if status is not None]
    counts = [status.get("contents", {}) for status in statuses]
    return {f"came_{form}": float(sum(count.get(form, 0) for count in counts)) for form in DELIVERY_FORMS}


def run_figures(run: ClusterRun) -> dict[str, float]:
    """Return the figures of injected faults, of faults never injected, and of the healing time in seconds."""
    return {
        "faults": float(len(run.injector.spans)),
        "not_struck": float(len(run.schedule.pending)),
        "alike_s": run.healed_after_ms / 1000.0,
    }


def play_replication(
    experiment: Experiment, table: ClusterTable, seed: int, out: Path, show_progress: ShowProgress
) -> ReplicationRun:
    """Play one day under a table's faults, check its records, and compare them with the ledgers.

    Each finding of the ledgers' audit is printed through `show_progress`.
    """
    run = ClusterRun(experiment.day, seed, table, out)
    run.play(show_progress, lagging_nodes)
    zero_ms = 1000.0 * (time.time() - time.monotonic() + run.driver.recorder.zero_s)
    all_records, file_problems = records.read_folder(out / "records")
    judged = plays.judge_records(all_records, file_problems, driver="sockets")
    ledgers = [run.nodes.ledger(name) for name in run.names]
    comparison = LedgerComparison(ledgers, all_records, table.lease_ms, zero_ms)
    figures = judged.figures | comparison.differences() | comparison.staleness()
    figures |= run_figures(run) | delivery_figures(run)
    for text in comparison.audit.findings:
        show_progress(f"ledger audit: {text}")
    assert judged.run_records is not None  # `judge_records` always sets `run_records`
    return ReplicationRun(run, comparison, judged, judged.run_records, figures)


def catch_up_ms(
    reports: Sequence[ServiceReport], node: str, back_ms: float, first_held_ms: dict[int, float]
) -> float:
    """Return the time until a node that came back at `back_ms` had caught up, in ms.

    A node has caught up once it is in service and acts on a version not older than the newest one that any
    node held at `back_ms`. The result is 0 for a node that had caught up before `back_ms`, whatever its log
    reports later, and inf for a node that never did. `first_held_ms` is the time of the run at which each
    version was first held, by number.
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
    """Return the service of requests whose first try went to one of `names`.

    It is the priority weight earned in time as a share of the weight of all these requests, in [0, 1].
    """
    outcomes = [outcome for outcome in request_outcomes(run) if outcome.first.node in names]
    in_time = sum(outcome.credit_in_time for outcome in outcomes)
    return in_time / (sum(outcome.first.credit for outcome in outcomes) or 1.0)
