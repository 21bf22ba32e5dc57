"""Tests of the check of how soon nodes detect failures of others."""

from types import SimpleNamespace

import pytest

from marlseam.experiment.cluster_fault_injector import FaultSpan
from marlseam.experiment.cluster_logs import MemberReport
from marlseam.experiment.cluster_members import DetectionCheck
from marlseam.experiment.cluster_tables import ClusterTable, FaultKind

NAMES = ["n0", "n1", "n2"]
KILLED_MS, BACK_MS = 10000.0, 60000.0
KILLED = FaultSpan("n1", FaultKind.KILL, KILLED_MS, BACK_MS)


def death_report(at_ms, reporter, member="n1"):
    return MemberReport(at_ms, reporter, member, "gone", 1)


def check_of(reports, spans=(KILLED,), **settings):
    run = SimpleNamespace(
        names=NAMES,
        table=ClusterTable(**settings),
        injector=SimpleNamespace(spans=list(spans)),
        logs=SimpleNamespace(member_reports=reports),
    )
    return DetectionCheck(run)


def test_detections_by_all_other_nodes_are_checked_against_the_bound():
    check = check_of([death_report(KILLED_MS + 1000.0, "n0"), death_report(KILLED_MS + 1500.0, "n2")])
    figures = check.check()
    assert (figures.checked, figures.past_bound) == (1.0, 0.0)
    assert figures.max_bound_share == 1500.0 / check.bound_ms
    assert figures.rows == [["n1", "kill", "10.0", "50.0", "1.00", "1.50", f"{check.bound_ms / 1000.0:.1f}"]]


@pytest.mark.parametrize("late", [[], [death_report(BACK_MS - 1.0, "n2")]])
def test_a_late_or_missing_detection_is_past_the_bound(late):
    figures = check_of([death_report(KILLED_MS + 1000.0, "n0"), *late]).check()
    assert (figures.checked, figures.past_bound) == (1.0, 1.0)
    assert figures.max_bound_share > 1.0


def test_a_fault_that_ends_within_the_bound_is_not_checked():
    short = FaultSpan("n1", FaultKind.KILL, KILLED_MS, KILLED_MS + 500.0)
    figures = check_of([], [short]).check()
    assert (figures.checked, figures.past_bound) == (0.0, 0.0)
    assert figures.rows[0][-3:] == ["-", "-", "none"]


def test_a_node_with_a_fault_of_its_own_need_not_detect_others():
    stopped = FaultSpan("n2", FaultKind.STOP, KILLED_MS, KILLED_MS + 500.0)
    check = check_of([death_report(KILLED_MS + 1000.0, "n0")], [KILLED, stopped])
    figures = check.check()
    assert (figures.checked, figures.past_bound) == (1.0, 0.0)
    assert figures.max_bound_share == 1000.0 / check.unhealthy_bound_ms


def test_a_death_reported_without_a_fault_is_a_false_detection_unless_datagrams_are_lost():
    undisturbed, disturbed = death_report(1000.0, "n0", "n2"), death_report(KILLED_MS + 1.0, "n0", "n2")
    assert check_of([undisturbed, disturbed]).false_detections() == 1
    assert check_of([undisturbed, disturbed], loss=0.1).false_detections() == 0
