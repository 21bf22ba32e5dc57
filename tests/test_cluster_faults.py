"""Tests of the fault schedule of a cluster, of the steps that it counts, and of network cuts."""

import re

import pytest

from marlseam.cluster.membership_codec import Datagram, DatagramKind, MemberState, write
from marlseam.experiment.cluster_fault_injector import split_cuts
from marlseam.experiment.cluster_faults import CLUSTER_NAME, FaultSchedule, draw_faults
from marlseam.experiment.cluster_relay import Cut, Pair
from marlseam.experiment.cluster_tables import ClusterFault, ClusterTable
from marlseam.experiment.file import FileError
from marlseam.random_source import number

NAMES = ["n0", "n1"]
SCHEDULES_CHECKSUM = 668474370  # of the schedules drawn from seeds 0 to 99 for seven nodes


def datagram(kind=DatagramKind.PING):
    return write(Datagram(1, CLUSTER_NAME, "n0", MemberState(0, 1, 0), kind, 1, ""))


@pytest.mark.parametrize(
    "fault",
    [
        ClusterFault("n0", "sends ping 1", "melt"),
        ClusterFault("n9", "sends ping 1", "kill"),
        ClusterFault("n0", "says ping 1", "kill"),
        ClusterFault("n0", "sends ping 1", "pair", "n9"),
    ],
)
def test_an_invalid_fault_raises_a_file_error_that_contains_the_fault(fault):
    with pytest.raises(FileError, match=re.escape(f"fleet.faults: {fault} ")):
        FaultSchedule(NAMES, ClusterTable(faults=[fault]), 1)


def test_the_schedules_drawn_from_seeds_are_those_of_earlier_versions():
    drawn = [
        (fault.node, fault.step, fault.fault, fault.other, fault.for_ms)
        for seed in range(100)
        for fault in draw_faults(7, seed, 200.0)
    ]
    assert number(repr(drawn).encode()) == SCHEDULES_CHECKSUM


def test_a_fault_is_due_before_the_nth_datagram_of_its_kind_and_direction():
    fault = ClusterFault("n0", "sends ping 2", "cut")
    schedule = FaultSchedule(NAMES, ClusterTable(faults=[fault]), 1)
    assert schedule.next_fault("n0", True, datagram()) is None  # not counted before the run's time 0
    schedule.is_counting = True
    assert schedule.next_fault("n0", True, datagram()) is None
    assert schedule.next_fault("n0", False, datagram()) is None
    assert schedule.next_fault("n0", True, datagram(DatagramKind.ACK)) is None
    assert schedule.next_fault("n0", True, b"not a datagram") is None
    assert schedule.next_fault("n0", True, datagram()) is fault
    assert schedule.next_fault("n0", True, datagram()) is None
    assert not schedule.pending


@pytest.mark.parametrize(
    ("groups", "pairs"),
    [
        ("a b|c", {("a", "c"), ("b", "c"), ("c", "a"), ("c", "b")}),
        ("a b>c", {("a", "c"), ("b", "c")}),
        ("a>b>c", {("a", "b"), ("a", "c"), ("b", "c")}),
    ],
)
def test_a_split_cuts_groups_off_in_both_directions_or_one(groups, pairs):
    assert {(cut.sender, cut.receiver) for cut in split_cuts(groups, 5.0)} == pairs


def test_a_cut_applies_to_its_pair_before_its_end_only():
    cut = Cut("a", "", 5.0)
    assert cut.applies(Pair("a", "b"), 4.0)
    assert not cut.applies(Pair("b", "a"), 4.0)
    assert not cut.applies(Pair("a", "b"), 5.0)
