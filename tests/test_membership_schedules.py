"""Membership under fault schedules in virtual time: bounds, invariants and planted defects."""

import pytest
from members import make_member

from marlseam.cluster.checking import membership_schedules
from marlseam.cluster.checking.fault_schedules import shrink
from marlseam.cluster.checking.simulation import InjectedFault
from marlseam.cluster.membership import Membership
from marlseam.cluster.membership_codec import DatagramKind, GossipEntry, MemberState, MemberStatus
from marlseam.cluster.membership_invariants import violated_invariants


@pytest.mark.parametrize("seed", range(4))
def test_a_fault_schedule_violates_no_bound(seed):
    assert not membership_schedules.play_seed(5, seed).violations


class SelfCheckingMembership(Membership):
    """Checks the invariants after each event."""

    def tick(self, now_ms):
        effects = super().tick(now_ms)
        assert violated_invariants(self) == []
        return effects

    def receive(self, now_ms, datagram):
        effects = super().receive(now_ms, datagram)
        assert violated_invariants(self) == []
        return effects


@pytest.mark.parametrize("seed", range(4))
def test_invariants_hold_after_each_event_of_a_fault_schedule(seed):
    faults = membership_schedules.schedule(5, seed)
    assert not membership_schedules.play(5, seed, faults, SelfCheckingMembership).violations


def test_a_violated_invariant_is_described():
    a = make_member()
    a.merge(GossipEntry("b", MemberState(0, 9, MemberStatus.SUSPECT), "c"))
    assert violated_invariants(a) == []
    a.suspected.clear()
    a.gossip.order.clear()
    a.ping("c")
    del a.members["c"]
    a.local_health = -1
    assert len(violated_invariants(a)) == 4


class NoRefutation(Membership):
    """Planted defect: a member never refutes a state that others hold of it."""

    def refute(self, state):
        pass


class IgnoresOtherGenerations(Membership):
    """Planted defect: a member does not refute states of other generations of its name."""

    def refute(self, state):
        if state.generation == self.own_state.generation:
            super().refute(state)


class DeadNeverProbed(Membership):
    """Planted defect: a dead member is neither probed nor sent the state in which it is held."""

    def send(self, to, kind, sequence, subject=""):
        member = self.members[to]
        if member.state is None or member.state.status != MemberStatus.DEAD:
            super().send(to, kind, sequence, subject)

    def would_refute(self, _name):
        return False


class DeathIsFinal(Membership):
    """Planted defect: no state overrides a death."""

    def merge(self, entry):
        member = self.members.get(entry.name)
        if member is None or member.state is None or member.state.status != MemberStatus.DEAD:
            super().merge(entry)


class LastNeverProbed(Membership):
    """Planted defect: the last member by name is never pinged."""

    def ping(self, name, requester="", requester_sequence=0):
        if name != "n4":
            super().ping(name, requester, requester_sequence)


class EndlessSuspicion(Membership):
    """Planted defect: a suspicion never times out."""

    def suspicion_ms(self, _confirmations):
        return float("inf")


class ExcusedByNacks(Membership):
    """Planted defect: a missed probe is ignored if all helpers sent a nack."""

    def handle_missed(self, probe):
        if probe.requester or probe.awaited_nacks:
            super().handle_missed(probe)


KILL = InjectedFault("n4", True, DatagramKind.PING, 8, "kill", "n0", 90000.0)
CUT = InjectedFault("n4", True, DatagramKind.PING, 8, "cut", "n0", 60000.0)
SHORT_CUT = InjectedFault("n4", True, DatagramKind.PING, 8, "cut", "n0", 12000.0)
# A restart after the member has refuted its death.
LATER_RESTART = InjectedFault("n4", True, DatagramKind.PING, 45, "restart", "n0", 0.0)
PLANTED_DEFECTS = [
    (NoRefutation, [CUT]),
    (IgnoresOtherGenerations, [SHORT_CUT, LATER_RESTART]),
    (DeadNeverProbed, [CUT]),
    (DeathIsFinal, [KILL]),
    (LastNeverProbed, [KILL]),
    (EndlessSuspicion, [KILL]),
    (ExcusedByNacks, [KILL]),
]


@pytest.mark.parametrize(
    ("machine", "faults"), PLANTED_DEFECTS, ids=lambda value: getattr(value, "__name__", "")
)
def test_a_planted_defect_is_detected(machine, faults):
    assert not membership_schedules.play(5, 1, faults).violations
    assert membership_schedules.play(5, 1, faults, machine).violations


def test_a_schedule_is_reduced_to_the_faults_that_violate_a_bound():
    unneeded = InjectedFault("n1", True, DatagramKind.ACK, 9, "hold", "n0", 2000.0)
    faults = [unneeded, SHORT_CUT, LATER_RESTART]
    shrunk = shrink(5, 1, faults, IgnoresOtherGenerations, play=membership_schedules.play)
    assert shrunk == [SHORT_CUT, LATER_RESTART]
