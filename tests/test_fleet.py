"""Members of a fleet: what they hold of one another under faults, and what they take from the wire."""

import json
import socket
import subprocess
import sys

import msgspec
import pytest
from click.testing import CliRunner
from conftest import OPTIONS
from hypothesis import given
from hypothesis import strategies as st

from marlseam.cli import fleet as command
from marlseam.cluster.checking import membership_schedules
from marlseam.cluster.checking.membership_schedules import InjectedFault
from marlseam.cluster.membership import DuplicateMember, MemberChanged, Membership
from marlseam.cluster.membership_codec import (
    MAX_DATAGRAM_BYTES,
    MAX_GOSSIP_ENTRIES,
    VERSION,
    Datagram,
    DatagramKind,
    GossipEntry,
    InvalidMessageError,
    MemberState,
    MemberStatus,
    read,
    write,
)
from marlseam.configuration import ClusterSettings, ConfigError, load
from marlseam.experiment.file import FileError
from marlseam.experiment.fleet import Fault, Fleet, Rig
from marlseam.judge.book import Book
from marlseam.judge.rules import answers
from marlseam.net.log import Log
from marlseam.net.membership_service import MembershipService
from marlseam.records import Answered, Begin, End, Node, Quit, Took, Tried

NAMES = frozenset({"a", "b", "c"})
CLAIMS = st.builds(MemberState, st.integers(0, 3), st.integers(1, 2), st.integers(0, 3))


def member(me="a", names=NAMES, now=0.0):
    return Membership("f", me, names, 1, 7, 1000.0, now)


def letter(sender="b", own=(0, 9, 0), kind=DatagramKind.PING, seq=1, about="", rumours=()):
    return Datagram(VERSION, "f", sender, MemberState(*own), kind, seq, about, list(rumours))


# What is held, whatever comes in which order.


@given(
    st.lists(st.builds(GossipEntry, st.sampled_from("bc"), CLAIMS, st.sampled_from(["", "c"])), max_size=12),
    st.data(),
)
def test_rumours_merge_in_any_order_and_any_number_of_times(rumours, data):
    twice = data.draw(st.permutations(rumours + data.draw(st.lists(st.sampled_from(rumours or [None])))))
    one, two = member(), member()
    for machine, said in ((one, rumours), (two, twice)):
        for rumour in said:
            if rumour is not None:
                machine.take(rumour)
    held = [{name: m.claim for name, m in machine.members.items()} for machine in (one, two)]
    assert held[0] == held[1]


def test_a_member_refutes_what_is_said_of_it_and_comes_back():
    b = member("b")
    b.heard(10.0, letter("a", rumours=[GossipEntry("b", MemberState(4, 1, MemberStatus.GONE))]))
    assert b.own == MemberState(5, 1, MemberStatus.HERE)
    a = member()
    a.take(GossipEntry("b", MemberState(4, 1, MemberStatus.GONE)))
    a.heard(20.0, letter(own=(5, 1, 0)))
    assert a.here() == ["b"]


def test_a_restart_is_one_member_with_another_life_and_a_second_process_is_told_of():
    a = member()
    a.heard(1.0, letter(own=(2, 9, 0)))
    a.heard(2.0, letter(own=(0, 10, 0)))  # it has not heard yet what is held of its name
    assert a.members["b"].claim == MemberState(2, 9, MemberStatus.HERE)
    effects = a.heard(3.0, letter(own=(3, 10, 0)))
    assert [type(e) for e in effects if type(e) in (MemberChanged, DuplicateMember)] == [MemberChanged]
    effects = a.heard(4.0, letter(own=(4, 9, 0)))
    assert DuplicateMember("b", 9) in effects


def test_one_that_was_stopped_takes_its_own_silence_for_nobody_elses():
    a = member()
    a.heard(0.0, letter())
    a.heard(0.0, letter("c"))
    a.take(GossipEntry("b", MemberState(0, 9, MemberStatus.SUSPECT), "c"))
    ends = a.members["b"].ends_ms
    a.tick(ends + 60000.0)  # a minute late
    assert a.members["b"].claim.standing == MemberStatus.SUSPECT and a.members["b"].ends_ms > ends + 50000.0
    a.heard(ends + 60001.0, letter(own=(1, 9, 0)))
    assert set(a.here()) == {"b", "c"}


def test_a_letter_is_one_packet_however_many_names_there_are():
    names = frozenset(f"{i:064d}" for i in range(1000))
    me = min(names)
    machine = Membership("f", me, names, 1, 7, 1000.0, 0.0)
    for name in sorted(names - {me}):
        machine.take(GossipEntry(name, MemberState(1 << 50, 1 << 50, MemberStatus.SUSPECT), me))
    effects = machine.tick(5000.0)
    assert effects and all(
        len(write(e.letter)) <= MAX_DATAGRAM_BYTES for e in effects if hasattr(e, "letter")
    )


def test_one_that_comes_and_goes_costs_no_memory():
    a = member()
    for i in range(5000):
        a.take(GossipEntry("b", MemberState(i, 9, i % 4)))
        a.rumours("c")
    assert len(a.telling) == len(a.news) <= 2 and len(a.members["b"].suspects) <= 1


# Bounds, and a checker that is known to check.


@pytest.mark.parametrize("seed", range(4))
def test_a_schedule_of_faults_breaks_no_bound(seed):
    assert not membership_schedules.hunted(5, seed).broken


class NoRefutation(Membership):
    """Planted: says the same of itself whatever is said of it."""

    def claimed(self, claim):
        pass


class NoOtherLife(Membership):
    """Planted: takes a claim on an earlier life of its name for its own."""

    def claimed(self, claim):
        if claim.life == self.own.life:
            super().claimed(claim)


class NobodyBack(Membership):
    """Planted: one that is gone is neither asked nor told."""

    def say(self, to, kind, seq, about=""):
        member = self.members[to]
        if member.claim is None or member.claim.standing != MemberStatus.GONE:
            super().say(to, kind, seq, about)

    def doubted(self, name):
        return False


class GoneForGood(Membership):
    """Planted: nothing ends what is held of one that is gone."""

    def take(self, rumour):
        member = self.members.get(rumour.name)
        if member is None or member.claim is None or member.claim.standing != MemberStatus.GONE:
            super().take(rumour)


class OneLeftOut(Membership):
    """Planted: the last by name is never in turn."""

    def ping(self, name, asker="", asker_seq=0):
        if name != "n4":
            super().ping(name, asker, asker_seq)


class EndlessSuspicion(Membership):
    """Planted: a suspicion has no end."""

    def suspicion_ms(self, shared):
        return float("inf")


class ExcusedByNacks(Membership):
    """Planted: where helpers hear nothing either, nothing is held against anybody."""

    def missed(self, look):
        if look.asker or look.nacks:
            super().missed(look)


KILL = InjectedFault("n4", True, DatagramKind.PING, 8, "kill", "n0", 90000.0)
CUT = InjectedFault("n4", True, DatagramKind.PING, 8, "cut", "n0", 60000.0)
SHORT = InjectedFault("n4", True, DatagramKind.PING, 8, "cut", "n0", 12000.0)
LATER = InjectedFault(
    "n4", True, DatagramKind.PING, 45, "restart", "n0", 0.0
)  # once it has refuted that it was gone
PLANTED = [
    (NoRefutation, [CUT]),
    (NoOtherLife, [SHORT, LATER]),
    (NobodyBack, [CUT]),
    (GoneForGood, [KILL]),
    (OneLeftOut, [KILL]),
    (EndlessSuspicion, [KILL]),
    (ExcusedByNacks, [KILL]),
]


@pytest.mark.parametrize(("machine", "strikes"), PLANTED, ids=lambda value: getattr(value, "__name__", ""))
def test_a_planted_defect_is_found(machine, strikes):
    assert not membership_schedules.play(5, 1, strikes).broken
    assert membership_schedules.play(5, 1, strikes, machine).broken


def test_a_schedule_is_cut_down_to_what_breaks_the_bound():
    more = InjectedFault("n1", True, DatagramKind.ACK, 9, "hold", "n0", 2000.0)
    assert membership_schedules.shrunk(5, 1, [more, SHORT, LATER], NoOtherLife) == [SHORT, LATER]


# The wire.


@given(st.binary(max_size=MAX_DATAGRAM_BYTES + 10))
def test_no_datagram_does_more_than_be_left_out(data):
    with pytest.raises(InvalidMessageError):
        read(data, "f", NAMES)


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"version": 2}, "version"),
        ({"fleet": "g"}, "foreign"),
        ({"sender": "z"}, "unknown"),
        ({"about": "z"}, "unknown"),
        ({"rumours": [GossipEntry("z", MemberState(0, 1, 0))]}, "unknown"),
        ({"rumours": [GossipEntry("b", MemberState(0, 1, 0), "z")]}, "unknown"),
        ({"kind": 9}, "bounds"),
        ({"own": MemberState(-1, 1, 0)}, "bounds"),
        ({"own": MemberState(0, 1 << 60, 0)}, "bounds"),
        ({"own": MemberState(0, 1, 7)}, "bounds"),
        ({"seq": -1}, "bounds"),
        ({"rumours": [GossipEntry("b", MemberState(0, 1, 0))] * (MAX_GOSSIP_ENTRIES + 1)}, "bounds"),
        ({"fleet": "f" * MAX_DATAGRAM_BYTES}, "too-large"),
    ],
)
def test_what_is_no_letter_of_the_fleets_has_a_code(change, code):
    data = msgspec.msgpack.encode(msgspec.structs.replace(letter(), **change))
    with pytest.raises(InvalidMessageError) as odd:
        read(data, "f", NAMES)
    assert odd.value.code == code
    assert read(write(letter()), "f", NAMES) == letter()


@pytest.fixture
def peers(loop):
    """Return members on loopback, all on one loop."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in NAMES]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    found = ClusterSettings(
        "f", {n: s.getsockname() for n, s in zip(sorted(NAMES), socks, strict=True)}, 20.0
    )
    for sock in socks:
        sock.close()
    return {
        name: MembershipService(loop, Log(name, loop.now), found, name, i)
        for i, name in enumerate(sorted(NAMES))
    }


def test_members_find_each_other_and_hear_goodbye(peers, until, capsys):
    until(lambda: all(len(p.machine.here()) == 2 for p in peers.values()))
    peers["c"].close()
    until(lambda: all(peers[n].machine.members["c"].claim.standing == MemberStatus.LEFT for n in "ab"))
    assert "member c left" in capsys.readouterr().err
    told = json.loads(peers["a"].status())
    assert [m["standing"] for m in told["members"]] == ["here", "here", "left"]


def test_a_second_process_of_a_member_waits_until_the_first_has_left(peers, loop, until, capsys):
    until(lambda: all(len(p.machine.here()) == 2 for p in peers.values()))
    new = MembershipService(loop, Log("new", loop.now), peers["c"].settings, "c", 9)
    assert new.sock is None and "code=in-use" in capsys.readouterr().err
    assert json.loads(new.status())["members"][2]["standing"] == "out"
    peers["c"].close()
    until(lambda: new.sock is not None)
    here = MemberStatus.HERE
    life = new.machine.own.life
    claims = [peers[n].machine.members["c"] for n in "ab"]
    until(lambda: all(m.claim.life == life and m.claim.standing == here for m in claims))


def test_odd_datagrams_are_counted_and_nothing_of_them_is_kept(peers, until, capsys):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for i in range(50):
            sock.sendto(b"odd %d" % i, peers["a"].settings.members["a"])
        sock.sendto(write(msgspec.structs.replace(letter(), sender="z")), peers["a"].settings.members["a"])
        until(lambda: peers["a"].dropped["bad-message"] == 50 and peers["a"].dropped["unknown"])
    assert set(peers["a"].machine.members) == {"b", "c"}
    assert capsys.readouterr().err.count("code=bad-message") == 1


def test_status_ends_with_1_where_one_is_not_here(peers, until, monkeypatch):
    until(lambda: len(peers["a"].machine.here()) == 2)
    monkeypatch.setattr(command, "ask", lambda address: json.loads(peers["a"].status()))
    good = CliRunner().invoke(command.group, ["status", "--at", "x"])
    assert good.exit_code == 0 and "as a holds it" in good.output
    peers["a"].machine.take(GossipEntry("b", MemberState(9, 9, MemberStatus.GONE)))
    bad = CliRunner().invoke(command.group, ["status", "--at", "x"])
    assert bad.exit_code == 1 and "gone" in bad.output
    raw = CliRunner().invoke(command.group, ["status", "--at", "x", "--json"])
    assert json.loads(raw.output)["fleet"] == "f"


def test_a_door_that_does_not_answer_is_named():
    result = CliRunner().invoke(command.group, ["status", "--at", "127.0.0.1:1"])
    assert result.exit_code == 1 and "127.0.0.1:1" in result.output


def test_hunt_prints_what_came_nearest():
    result = CliRunner().invoke(command.group, ["hunt", "--seeds", "2", "--nodes", "4"])
    assert result.exit_code == 0 and "heal: nearest" in result.output and "0 break" in result.output


# Settings, and what is off.


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[fleet]\n", "fleet.members"),
        ("[fleet]\nmembers = {}\nname = 'f'\n", "fleet.members"),
        ("[fleet]\n[fleet.members]\na = 'here:1'\n", "fleet.members.a"),
        ("[fleet]\n[fleet.members]\na = '127.0.0.1:0'\n", "fleet.members.a"),
        ("[fleet]\n[fleet.members]\na = 7\n", "fleet.members.a"),
        ("[fleet]\n[fleet.members]\na = '10.0.0.1:5'\n", "fleet.members.a"),
        ("[fleet]\n[fleet.members]\na = '127.0.0.1:5'\nb = '127.0.0.1:5'\n", "fleet.members.b"),
        ("[fleet]\nnam = 'f'\n", "fleet.nam"),
        ("[fleet]\nperiod_ms = 1\nname = 'f'\n[fleet.members]\na = '127.0.0.1:5'\n", "fleet.period_ms"),
        ("[fleet]\n[fleet.members]\na = '127.0.0.1:5'\n", "fleet.name"),
    ],
)
def test_a_wrong_setting_is_named(at_fault, text, key):
    assert at_fault(text) == key


def test_a_trusted_network_may_be_another_and_a_node_must_be_among_the_names(tmp_path):
    own, config = tmp_path / "own.toml", tmp_path / "node.json"
    own.write_text("[fleet]\nname = 'f'\ntrusted = true\n[fleet.members]\na = '10.0.0.1:5'\n")
    config.write_text(
        json.dumps({"name": "a", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": OPTIONS})
    )
    assert load(str(config), {}, own=str(own)).fleet.members == {"a": ("10.0.0.1", 5)}
    with pytest.raises(ConfigError) as error:
        load(str(config), {"EDGE_NAME": "q"}, own=str(own))
    assert error.value.key == "fleet.members"


def test_a_node_of_no_fleet_imports_nothing_of_it():
    words = "fleet", "peers", "acting", "ledger"
    code = "import sys, marlseam.__main__; "
    code += f"print([m for m in sys.modules if any(w in m for w in {words})])"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "[]\n"


# The rig.


@pytest.mark.parametrize(
    "fault",
    [
        Fault("n0", "sends ping 1", "melt"),
        Fault("n9", "sends ping 1", "kill"),
        Fault("n0", "says ping 1", "kill"),
        Fault("n0", "sends ping 1", "pair", "n9"),
    ],
)
def test_a_fault_that_cannot_strike_is_named(tmp_path, fault):
    with pytest.raises(FileError):
        Rig(["n0", "n1"], Fleet(faults=[fault]), 1, tmp_path)


@pytest.mark.parametrize(("until", "broken"), [(1500.0, 1), (2500.0, 0)])
def test_a_stopped_node_answers_nothing_and_only_then_is_excused(until, broken):
    tried = Tried(
        n=1,
        t=1000.0,
        by="c",
        id="1",
        first="1",
        number=0,
        node="n0",
        zone="z",
        type="t",
        intended=1000.0,
        expires=2000.0,
        promised=500.0,
        credit=1.0,
        late_credit=0.0,
    )
    rules = {"slack_ms": 50.0, "types": {"t": {"effect": "rerunnable", "group": "all", "memory_ms": 1.0}}}
    found = [
        Begin(t=0.0, by="driver", system="driver", rules=rules),
        Node(n=1, t=900.0, by="driver", node="n0", state="stopped", until=until),
        End(n=1, t=3000.0, by="driver"),
        Begin(t=0.0, by="c"),
        tried,
        Quit(n=2, t=2000.0, by="c", id="1"),
        End(n=2, t=3000.0, by="c"),
    ]
    assert len(answers(Book(found)).broken) == broken
    # What is sent after an answer is excused by nothing.
    sent = [Answered(n=3, t=1500.0, by="c", id="1", how="deferred"), Took(n=1, t=1900.0, by="e", id="1")]
    assert any("after its answer" in what for _, what in answers(Book([*found, *sent])).broken)
