"""The play `fleet_members`: membership of real nodes under load, while faults are injected."""

from dataclasses import dataclass, field
from math import inf
from pathlib import Path

from marlseam import records
from marlseam.cluster.checking.membership_schedules import detection_bound_ms, healing_bound_ms
from marlseam.cluster.membership import MAX_LOCAL_HEALTH, Membership
from marlseam.experiment import plays
from marlseam.experiment.cluster_fault_injector import FaultSpan
from marlseam.experiment.cluster_faults import CLUSTER_NAME
from marlseam.experiment.cluster_logs import GONE
from marlseam.experiment.cluster_run import ClusterRun
from marlseam.experiment.cluster_tables import ClusterTable, FaultKind
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play

PLAY = "fleet_members"
ALIVE = "here"  # the status of a member that is considered alive, in a node's answer
LOG_DELAY_MS = 250.0  # allowance for reading a line of a node's log, and for the relay's delay of a datagram
DETECTABLE = (FaultKind.KILL, FaultKind.STOP, FaultKind.CUT)  # all other nodes must declare the node dead
TABLE_HEAD = ["node", "fault", "at, s", "for, s", "gone with the first, s", "with the last, s", "bound, s"]


def wrong_member_states(run: ClusterRun) -> list[str]:
    """Ask all nodes for their status, and describe each member that a node reports wrongly.

    Every member must be reported as alive, with the generation that the member itself reports. A node
    without an answer is described as well.
    """
    statuses = run.statuses()
    generations = {
        name: next(member["life"] for member in status["members"] if member["name"] == name)
        for name, status in statuses.items()
        if status
    }
    wrong = [
        f"{name} did not answer the status request" for name, status in statuses.items() if status is None
    ]
    for name, status in statuses.items():
        for member in status["members"] if status else ():
            is_current = member["life"] == generations.get(member["name"])
            if member["standing"] != ALIVE or not is_current:
                wrong.append(
                    f"{name} reports {member['name']} {member['standing']}, generation {member['life']}"
                )
    return wrong


@dataclass
class DetectionFigures:
    """How soon members detected the faults of other nodes.

    Attributes:
        checked: the number of faults whose detection had a time bound.
        past_bound: the number of detections, one per fault and member, that were late or missing.
        max_bound_share: the slowest detection, as a share of its bound; inf for a missing one.
        rows: the table's rows, one per fault.
    """

    checked: float = 0.0
    past_bound: float = 0.0
    max_bound_share: float = 0.0
    rows: list[list[str]] = field(default_factory=list)


class DetectionCheck:
    """Checks the failure detections that nodes logged against their time bounds.

    Attributes:
        bound_ms: the time within which members with local health 0 detect a failure, in ms.
        unhealthy_bound_ms: the time within which members with the worst local health detect a failure, in ms.
    """

    def __init__(self, run: ClusterRun) -> None:
        """Compute the bounds for a run's nodes and protocol period."""
        self._run, self._spans = run, run.injector.spans
        self._reports = run.logs.member_reports
        self._period_ms = run.table.period_ms
        any_member = Membership(CLUSTER_NAME, "n0", frozenset(run.names), 0, 0, self._period_ms, 0.0)
        suspicion_ms = any_member.suspicion_ms(0)
        self.bound_ms, self.unhealthy_bound_ms = (
            detection_bound_ms(len(run.names), suspicion_ms, self._period_ms, health) + LOG_DELAY_MS
            for health in (0, MAX_LOCAL_HEALTH)
        )

    def _overlapping(self, span: FaultSpan) -> list[FaultSpan]:
        """Return the faults of other nodes that may delay the detection of this fault.

        A fault of another node worsens the local health of members, and so delays detection until they have
        recovered: each answer that a member gets improves its local health by one step.
        """
        recovery_ms = (MAX_LOCAL_HEALTH + 1) * MAX_LOCAL_HEALTH * self._period_ms
        return [
            other
            for other in self._spans
            if other.node != span.node
            and other.since_ms < span.since_ms + self.bound_ms
            and other.until_ms > span.since_ms - recovery_ms
        ]

    def _detections_ms(self, span: FaultSpan, observers: list[str]) -> dict[str, float]:
        """Return the time from a fault until each observer first declared its node dead, in ms by observer.

        Observers that declared no death during the fault are left out.
        """
        detections: dict[str, float] = {}
        for report in self._reports:
            is_in_time = span.since_ms <= report.at_ms < span.until_ms + LOG_DELAY_MS
            is_death = report.member == span.node and report.status == GONE
            if is_death and is_in_time and report.reporter in observers:
                detections.setdefault(report.reporter, report.at_ms - span.since_ms)
        return detections

    def check(self) -> DetectionFigures:
        """Check the detection of every injected fault."""
        figures = DetectionFigures()
        for span in self._spans:
            self._check_span(span, figures)
        return figures

    def _check_span(self, span: FaultSpan, figures: DetectionFigures) -> None:
        """Check the detection of one fault, and add the result to `figures`.

        With overlapping faults the bound for the worst local health applies, and nodes that have such a fault
        need not detect this one. A fault of a kind not in DETECTABLE, or one that ends within the bound, is
        not checked.
        """
        overlapping = self._overlapping(span)
        bound_ms = self.unhealthy_bound_ms if overlapping else self.bound_ms
        disturbed = {other.node for other in overlapping}
        observers = [name for name in self._run.names if name not in disturbed]
        detections_ms = self._detections_ms(span, observers)
        is_bounded = span.kind in DETECTABLE and span.until_ms - span.since_ms > bound_ms
        if is_bounded:
            taken_ms = [detections_ms.get(name, inf) for name in observers if name != span.node]
            figures.max_bound_share = max(figures.max_bound_share, max(taken_ms) / bound_ms)
            figures.past_bound += sum(taken > bound_ms for taken in taken_ms)
            figures.checked += 1.0
        bound = f"{bound_ms / 1000.0:.1f}" if is_bounded else "none"
        figures.rows.append(span_row(span, sorted(detections_ms.values()), bound))

    def false_detections(self) -> int:
        """Return how often a node declared a member dead at a time at which no fault could be the cause."""
        return sum(report.status == GONE and self._is_undisturbed(report.at_ms) for report in self._reports)

    def _is_undisturbed(self, at_ms: float) -> bool:
        """Return whether no fault could cause a detection at a time; always False with datagram loss."""
        return not self._run.table.loss and all(
            span.until_ms + self.unhealthy_bound_ms < at_ms or span.since_ms > at_ms for span in self._spans
        )


def span_row(span: FaultSpan, detections_ms: list[float], bound: str) -> list[str]:
    """Return the row of one fault in the report's table."""
    ends = (detections_ms[0], detections_ms[-1]) if detections_ms else ()
    detected = [f"{taken / 1000.0:.2f}" for taken in ends] or ["-", "-"]
    since_s, for_s = span.since_ms / 1000.0, (span.until_ms - span.since_ms) / 1000.0
    return [span.node, span.kind.value, f"{since_s:.1f}", f"{for_s:.1f}", *detected, bound]


def membership_figures(
    run: ClusterRun, check: DetectionCheck, detections: DetectionFigures
) -> dict[str, float]:
    """Return the membership figures of a run, by their names in reports."""
    healing_ms = healing_bound_ms(len(run.names), run.table.period_ms) + LOG_DELAY_MS
    return {
        "faults": float(len(run.injector.spans)),
        "not_struck": float(len(run.schedule.pending)),
        "past_bound": detections.past_bound,
        "held_to_bound": detections.checked,
        "nearest_detection": detections.max_bound_share,
        "false_gone": float(check.false_detections()),
        "letters": float(run.relay.delivered_count),
        "heal_s": run.healed_after_ms / 1000.0,
        "nearest_heal": run.healed_after_ms / healing_ms,
    }


@register_play(PLAY)
def play_members(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play a day under faults and load; check detection, healing, and the rules of service by the records."""
    table: ClusterTable = experiment.tables[PLAY]
    run = ClusterRun(experiment.day, experiment.head.seed, table, out)
    run.play(show_progress, wrong_member_states)
    judged = plays.judge_records(*records.read_folder(out / "records"), driver="sockets")
    check = DetectionCheck(run)
    detections = check.check()
    figures = judged.figures | membership_figures(run, check, detections)
    tables = [("Members under faults", [TABLE_HEAD, *detections.rows])]
    return RunResult(figures, judged.verdict, judged.run_records, tables, "sockets")
