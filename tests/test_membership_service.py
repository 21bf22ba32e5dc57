"""Membership services on loopback sockets and one event loop, and the commands that print their status."""

import json
import socket

import pytest
from click.testing import CliRunner
from members import NAMES, make_datagram

from marlseam.cli import fleet as fleet_command
from marlseam.cluster.membership_codec import GossipEntry, MemberState, MemberStatus, write
from marlseam.configuration import ClusterSettings
from marlseam.net.log import Log
from marlseam.net.membership_service import MembershipService

PERIOD_MS = 20.0


@pytest.fixture
def peers(loop):
    """Return membership services by name, each on a loopback socket, all on one event loop."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in NAMES]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    addresses = {name: sock.getsockname() for name, sock in zip(sorted(NAMES), socks, strict=True)}
    settings = ClusterSettings("f", addresses, PERIOD_MS)
    for sock in socks:
        sock.close()
    return {
        name: MembershipService(loop, Log(name, loop.now), settings, name, seed)
        for seed, name in enumerate(sorted(NAMES))
    }


def test_members_discover_each_other_and_detect_one_that_leaves(peers, until, capsys):
    until(lambda: all(len(peer.machine.alive_members()) == 2 for peer in peers.values()))
    peers["c"].close()
    others = [peers[name].machine.members["c"] for name in "ab"]
    until(lambda: all(member.state.status == MemberStatus.LEFT for member in others))
    assert "member c left" in capsys.readouterr().err
    members = json.loads(peers["a"].status())["members"]
    assert [member["standing"] for member in members] == ["here", "here", "left"]


def test_a_second_process_of_a_member_waits_until_the_first_has_left(peers, loop, until, capsys):
    until(lambda: all(len(peer.machine.alive_members()) == 2 for peer in peers.values()))
    new = MembershipService(loop, Log("new", loop.now), peers["c"].settings, "c", 9)
    assert new.sock is None
    assert "code=in-use" in capsys.readouterr().err
    assert json.loads(new.status())["members"][2]["standing"] == "out"
    peers["c"].close()
    until(lambda: new.sock is not None)
    generation = new.machine.own_state.generation
    others = [peers[name].machine.members["c"] for name in "ab"]
    until(
        lambda: all(
            member.state.generation == generation and member.state.status == MemberStatus.ALIVE
            for member in others
        )
    )


def test_invalid_datagrams_are_counted_by_code_and_add_no_member(peers, until, capsys):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        address = peers["a"].settings.members["a"]
        for i in range(50):
            sock.sendto(b"odd %d" % i, address)
        sock.sendto(write(make_datagram(sender="z")), address)
        until(lambda: peers["a"].dropped["bad-message"] == 50 and peers["a"].dropped["unknown"])
    assert set(peers["a"].machine.members) == {"b", "c"}
    assert capsys.readouterr().err.count("code=bad-message") == 1


def test_status_exits_with_1_where_a_member_is_not_alive(peers, until, monkeypatch):
    until(lambda: len(peers["a"].machine.alive_members()) == 2)
    monkeypatch.setattr(fleet_command, "fleet_status", lambda _address: json.loads(peers["a"].status()))
    good = CliRunner().invoke(fleet_command.group, ["status", "--at", "x"])
    assert good.exit_code == 0
    assert "as seen by a; " in good.output
    peers["a"].machine.merge(GossipEntry("b", MemberState(9, 9, MemberStatus.DEAD)))
    bad = CliRunner().invoke(fleet_command.group, ["status", "--at", "x"])
    assert bad.exit_code == 1
    assert "gone" in bad.output
    raw = CliRunner().invoke(fleet_command.group, ["status", "--at", "x", "--json"])
    assert json.loads(raw.output)["fleet"] == "f"


def test_status_names_an_address_that_does_not_answer():
    result = CliRunner().invoke(fleet_command.group, ["status", "--at", "127.0.0.1:1"])
    assert result.exit_code == 1
    assert "127.0.0.1:1" in result.output


def test_hunt_prints_the_schedule_nearest_to_each_bound():
    result = CliRunner().invoke(fleet_command.group, ["hunt", "--seeds", "2", "--nodes", "4"])
    assert result.exit_code == 0
    assert "heal: nearest" in result.output
    assert "0 break" in result.output
