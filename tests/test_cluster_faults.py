"""Faults injected into the nodes of a cluster: the schedule, the steps it counts, and what a split cuts."""

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
DRAWN_CHECKSUM = 668474370  # of the schedules that seeds 0 to 99 draw for seven nodes


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
def test_a_fault_that_cannot_be_injected_is_named(fault):
    with pytest.raises(FileError, match=re.escape(f"fleet.faults: {fault} ")):
        FaultSchedule(NAMES, ClusterTable(faults=[fault]), 1)


def test_seeds_draw_the_schedules_that_they_always_drew():
    drawn = [
        (fault.node, fault.step, fault.fault, fault.other, fault.for_ms)
        for seed in range(100)
        for fault in draw_faults(7, seed, 200.0)
    ]
    assert number(repr(drawn).encode()) == DRAWN_CHECKSUM


def test_a_fault_is_due_before_the_nth_datagram_of_its_kind_and_direction():
    fault = ClusterFault("n0", "sends ping 2", "cut")
    schedule = FaultSchedule(NAMES, ClusterTable(faults=[fault]), 1)
    assert schedule.next_fault("n0", True, datagram()) is None  # not counted before the run's zero
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
def test_a_split_cuts_groups_off_from_each_other_or_one_way(groups, pairs):
    assert {(cut.sender, cut.receiver) for cut in split_cuts(groups, 5.0)} == pairs


def test_a_cut_holds_for_its_pair_until_its_time():
    cut = Cut("a", "", 5.0)
    assert cut.applies(Pair("a", "b"), 4.0)
    assert not cut.applies(Pair("b", "a"), 4.0)
    assert not cut.applies(Pair("a", "b"), 5.0)
