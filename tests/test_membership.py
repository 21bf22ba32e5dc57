"""Membership: merging of states, refutation, and suspicion timeouts."""

from hypothesis import given
from hypothesis import strategies as st
from members import make_datagram, make_member

from marlseam.cluster.membership_codec import (
    MAX_DATAGRAM_BYTES,
    GossipEntry,
    MemberState,
    MemberStatus,
    write,
)
from marlseam.cluster.membership_types import DuplicateMember, MemberChanged

STATES = st.builds(MemberState, st.integers(0, 3), st.integers(1, 2), st.integers(0, 3))


def states_held(machine):
    return {name: member.state for name, member in machine.members.items()}


@given(
    st.lists(st.builds(GossipEntry, st.sampled_from("bc"), STATES, st.sampled_from(["", "c"])), max_size=12),
    st.data(),
)
def test_entries_merge_to_the_same_states_in_any_order_and_with_repetitions(entries, data):
    repeated = data.draw(st.lists(st.sampled_from(entries or [None])))
    reordered = data.draw(st.permutations(entries + repeated))
    one, two = make_member(), make_member()
    for machine, received in ((one, entries), (two, reordered)):
        for entry in received:
            if entry is not None:
                machine.merge(entry)
    assert states_held(one) == states_held(two)


def test_a_member_refutes_its_death_and_is_alive_again():
    b = make_member("b")
    b.receive(10.0, make_datagram("a", entries=[GossipEntry("b", MemberState(4, 1, MemberStatus.DEAD))]))
    assert b.own_state == MemberState(5, 1, MemberStatus.ALIVE)
    a = make_member()
    a.merge(GossipEntry("b", MemberState(4, 1, MemberStatus.DEAD)))
    a.receive(20.0, make_datagram(state=(5, 1, 0)))
    assert a.alive_members() == ["b"]


def test_a_restart_changes_the_generation_and_a_duplicate_process_is_reported():
    a = make_member()
    a.receive(1.0, make_datagram(state=(2, 9, 0)))
    # The new process has not yet received the state that others hold of its name.
    a.receive(2.0, make_datagram(state=(0, 10, 0)))
    assert a.members["b"].state == MemberState(2, 9, MemberStatus.ALIVE)
    effects = a.receive(3.0, make_datagram(state=(3, 10, 0)))
    changes = [type(effect) for effect in effects if type(effect) in (MemberChanged, DuplicateMember)]
    assert changes == [MemberChanged]
    effects = a.receive(4.0, make_datagram(state=(4, 9, 0)))
    assert DuplicateMember("b", 9) in effects


def test_a_process_that_was_stopped_extends_suspicions_by_the_time_it_was_stopped():
    a = make_member()
    a.receive(0.0, make_datagram())
    a.receive(0.0, make_datagram("c"))
    a.merge(GossipEntry("b", MemberState(0, 9, MemberStatus.SUSPECT), "c"))
    ends_ms = a.members["b"].suspicion_ends_ms
    a.tick(ends_ms + 60000.0)  # a minute late
    assert a.members["b"].state.status == MemberStatus.SUSPECT
    assert a.members["b"].suspicion_ends_ms > ends_ms + 50000.0
    a.receive(ends_ms + 60001.0, make_datagram(state=(1, 9, 0)))
    assert set(a.alive_members()) == {"b", "c"}


def test_a_datagram_fits_into_one_packet_for_any_number_of_members():
    names = frozenset(f"{i:064d}" for i in range(1000))
    own_name = min(names)
    machine = make_member(own_name, names)
    for name in sorted(names - {own_name}):
        machine.merge(GossipEntry(name, MemberState(1 << 50, 1 << 50, MemberStatus.SUSPECT), own_name))
    effects = machine.tick(5000.0)
    assert effects
    sent = [effect.datagram for effect in effects if hasattr(effect, "datagram")]
    assert all(len(write(datagram)) <= MAX_DATAGRAM_BYTES for datagram in sent)


def test_the_memory_for_a_member_whose_state_changes_repeatedly_is_bounded():
    a = make_member()
    for incarnation in range(5000):
        a.merge(GossipEntry("b", MemberState(incarnation, 9, incarnation % 4)))
        a.piggyback("c")
    assert len(a.gossip.order) == len(a.gossip.send_counts) <= 2
    assert len(a.members["b"].suspected_by) <= 1
