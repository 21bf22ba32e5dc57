"""The services of configuration versions of three nodes, on loopback sockets and one event loop."""

import json
import os
import socket
from math import inf
from pathlib import Path
from typing import NamedTuple

import pytest
from conftest import OPTIONS

from marlseam.cluster import audit
from marlseam.cluster.membership_codec import Datagram, DatagramKind, MemberState
from marlseam.cluster.replication.content import digest, read, settings_digest
from marlseam.configuration import ClusterSettings
from marlseam.net.action_ledger import Action
from marlseam.net.config_service import ConfigServicePort, ConfigVersionService
from marlseam.net.log import Log
from marlseam.net.membership_service import MembershipService
from marlseam.store import ledger_audit
from marlseam.store.disk import Disk
from marlseam.store.ledger_writer import LedgerWriter, create_ledger

VOTERS = "abc"
PERIOD_MS, LEASE_MS, SERVE_MS = 20.0, 300.0, 3000.0
KEYS_OF_STATUS = Path(__file__).parent / "data" / "fleet-status.json"


class NodeStub:
    """A stub of the node that a service belongs to.

    Attributes:
        settings: the settings in force.
        is_serving: what the service last called `serve` with; None before.
        settings_fault: the fault to report for any settings that the service checks; empty for none.
    """

    def __init__(self):
        self.settings, self.is_serving, self.settings_fault = dict(OPTIONS), None, ""

    def port(self):
        return ConfigServicePort(
            lambda _settings: self.settings_fault, self.apply, self.serve, lambda: 3, lambda: self.settings
        )

    def apply(self, settings):
        self.settings = dict(settings)

    def serve(self, is_serving):
        self.is_serving = is_serving


class Member(NamedTuple):
    """A member of the cluster: its membership service, and the stub of its node."""

    membership: MembershipService
    node: NodeStub

    @property
    def service(self):
        return self.membership.config_service

    @property
    def replica(self):
        return self.service.replica


def publication(settings, why, **fields):
    """Return the body of a request to publish settings for a reason, with further keys if given."""
    return json.dumps({"settings": settings, "why": why} | fields).encode()


def cluster_settings(ledger, addresses):
    return ClusterSettings("f", addresses, PERIOD_MS, str(ledger), tuple(VOTERS), LEASE_MS, True, SERVE_MS)


def start_member(loop, name, seed, settings):
    node = NodeStub()
    membership = MembershipService(loop, Log(name, loop.now), settings, name, seed, node.port())
    membership.config_service.load()
    membership.config_service.start()
    return Member(membership, node)


@pytest.fixture
def cluster(loop, tmp_path):
    """Return the members of a cluster by name, each on a loopback socket, all on one event loop."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in VOTERS]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    addresses = {name: sock.getsockname() for name, sock in zip(VOTERS, socks, strict=True)}
    for sock in socks:
        sock.close()
    members = {}
    for seed, name in enumerate(VOTERS):
        create_ledger(tmp_path / name, name)
        members[name] = start_member(loop, name, seed, cluster_settings(tmp_path / name, addresses))
    yield members
    for member in members.values():
        member.membership.close()
        os.close(member.service.ledger.lock_fd)


@pytest.fixture
def until_all_serve(cluster, until):
    """Wait until all members are in service."""
    until(lambda: all(member.node.is_serving for member in cluster.values()))


def all_apply(cluster, number):
    return all(member.replica.applied_number == number for member in cluster.values())


@pytest.mark.usefixtures("until_all_serve")
def test_three_nodes_agree_on_a_version_apply_it_and_record_it_in_their_ledgers(cluster, until, tmp_path):
    first = cluster["a"].service
    assert first.may_accept()
    first.actions.count(Action.TAKEN)
    attempt = first.stamp_attempt()
    assert attempt.stamp_if_serving() == first.actions.stamp != ""
    attempt.record_sent()
    changed = dict(OPTIONS) | {"note": 1}
    status, text = first.publish(publication(changed, "try"))
    assert status == 202, text
    until(lambda: all_apply(cluster, 1))
    for member in cluster.values():
        assert settings_digest(member.node.settings) == settings_digest(changed)
    assert first.publish(publication(changed, "again"))[0] == 409
    shown = json.loads(cluster["b"].membership.status())["acting"]
    assert (shown["acting"], shown["serving"], shown["local"]) == (1, True, False)
    for member in cluster.values():
        member.service.close()
    found = ledger_audit.read([tmp_path / name for name in VOTERS], 50.0)
    assert found.findings == []
    assert list(found.first_held_ms) == [1]
    assert len(found.first_held_ms[1]) == 1
    assert sum(row["sent"] for row in audit.interval_rows(found, node="a")) == 1


def test_the_ledger_is_named_in_its_log_lines(capsys, cluster, until):
    until(lambda: all(member.service.ledger.is_success_logged for member in cluster.values()))
    log = capsys.readouterr().err
    for member in cluster.values():
        assert f"the ledger is kept in {member.service.ledger.path}:" in log
    assert "state is kept in" not in log


def keys_of(value):
    """Return the nested keys of a JSON value: of an object all, of a list those of its first row."""
    if isinstance(value, list):
        return keys_of(value[0]) if value else None
    if not isinstance(value, dict):
        return None
    return {key: keys_of(inner) for key, inner in value.items()}


@pytest.mark.usefixtures("until_all_serve")
def test_the_status_for_operators_has_the_keys_of_earlier_programs(cluster):
    shown = json.loads(cluster["a"].membership.status())
    shown["letters"]["left_out"], shown["acting"]["contents"] = {}, {}  # their keys depend on what happened
    assert keys_of(shown) == json.loads(KEYS_OF_STATUS.read_text())


@pytest.mark.usefixtures("until_all_serve")
def test_nodes_receive_a_version_as_deltas_and_store_the_whole_content(cluster, until, tmp_path):
    first = cluster["a"].service

    def publish(number, teams):
        assert first.publish(publication(OPTIONS | {"teams": teams}, f"change {number}"))[0] == 202
        until(lambda: all_apply(cluster, number))
        until(lambda: not first.replica.publisher.publication)

    teams = {f"team-{i}": {"quota": i, "urgent": False} for i in range(200)}
    publish(1, teams)
    for number in (2, 3):
        publish(number, teams | {"team-7": {"quota": 1000 + number, "urgent": True}})
    for name in "bc":
        member = cluster[name]
        shown = json.loads(member.membership.status())["acting"]
        assert shown["contents"]["whole"] == 1
        assert shown["contents"]["chains"] == 2
        assert digest(member.replica.store.contents[member.replica.content_id]) == member.replica.content_id
        assert member.node.settings["teams"]["team-7"]["quota"] == 1003
        assert shown["meaning"] == settings_digest(member.node.settings)
    # The ledger holds the whole content, from which a restart begins.
    recovered = LedgerWriter(Disk(tmp_path / "b"), "b").load()
    content = read(recovered.contents[recovered.held.id], frozenset(VOTERS))
    assert content.settings["teams"]["team-7"]["quota"] == 1003


@pytest.mark.usefixtures("until_all_serve")
def test_a_node_whose_lease_has_ended_accepts_and_sends_nothing(cluster, until):
    first = cluster["a"]
    for name in "bc":
        cluster[name].replica.next_ms = inf
        cluster[name].membership.send = cluster[name].service.send = lambda _to, _data: None
    until(lambda: not first.service.may_accept())
    assert first.service.stamp_attempt().stamp_if_serving() == ""
    assert first.node.is_serving is False
    assert first.service.serving_status.code == "unproved"


@pytest.mark.parametrize(
    ("body", "what"),
    [
        (b"[]", "`settings` and `why`"),
        (b"{", "`settings` and `why`"),
        (b'{"settings": 1, "why": "w"}', "settings"),
        (b'{"settings": {}, "why": ""}', "why"),
        (b'{"settings": {}, "why": "w", "voters": 3}', "voters"),
        (b'{"settings": {}, "why": "w", "voters": ["a", "z", "b"]}', "members"),
    ],
)
def test_an_invalid_request_to_publish_is_rejected_at_once_with_its_fault(cluster, body, what):
    first = cluster["a"]
    status, text = first.service.publish(body)
    assert status == 400
    assert what in text
    assert first.replica.publisher.publication is None
    first.node.settings_fault = "settings.dcs: 3, expected a list of names"
    status, text = first.service.publish(b'{"settings": {}, "why": "w"}')
    assert status == 400
    assert "settings.dcs" in text


def test_an_operators_override_takes_a_node_out_of_service_and_its_end_puts_it_back(cluster, until):
    service, node = cluster["a"].service, cluster["a"].node
    until(lambda: node.is_serving)
    assert service.override_by_operator("sick")[0] == 202
    assert service.override_by_operator("")[0] == 400
    until(lambda: node.is_serving is False)
    assert service.status()["code"] == "hand"
    service.override_by_operator(None)
    until(lambda: node.is_serving)


@pytest.mark.usefixtures("until_all_serve")
def test_a_later_process_of_a_node_serves_at_once_and_takes_over_ledger_and_votes(
    cluster, loop, until, tmp_path
):
    # Both processes act: the audit must show the actions of each, none twice and none missing.
    settings, old = cluster["a"].membership.settings, cluster["a"].service
    port = NodeStub().port()
    port.may_write_beside = True
    generation = old.generation + 1
    new = ConfigVersionService(
        loop, Log("new", loop.now), settings, "a", generation, 9, port, lambda _to, _data: None
    )
    new.load()
    new.start()
    assert new.is_beside
    assert not new.serving_status.is_serving
    new.receive_proof(0, "", 1000.0 * loop.clock.zero + old.replica.lease.proven_at_ms)
    assert new.serving_status.is_serving
    assert not new.replica.voter.may_vote(1)
    for service in (old, new, new):
        service.actions.count(Action.TAKEN)
    until(lambda: not new.actions.pending_counts and not new.actions.changed_intervals)
    old.close()
    os.close(old.ledger.lock_fd)
    until(lambda: new.node_ledger.main is None)
    assert new.replica.voter.may_vote(1)
    new.actions.count(Action.TAKEN)
    until(lambda: new.ledger.is_available() and not new.actions.pending_records)
    new.close()
    old.ledger.lock_fd, new.ledger.lock_fd = new.ledger.lock_fd, None
    found = ledger_audit.read([tmp_path / "a"], 50.0)
    assert found.findings == []
    processes = found.processes["a"]
    assert [process.ended for process in processes] == [True, True]
    taken = [sum(row.counts[0] for row in process.intervals.values()) for process in processes]
    assert taken == [1, 3]


def test_a_second_process_started_by_mistake_does_not_serve(cluster, loop, capsys):
    settings, port = cluster["a"].membership.settings, NodeStub().port()
    duplicate = ConfigVersionService(
        loop, Log("duplicate", loop.now), settings, "a", 9, 9, port, lambda _to, _data: None
    )
    duplicate.load()
    duplicate.start()
    assert not duplicate.may_accept()
    assert "code=locked" in capsys.readouterr().err
    duplicate.ledger.stop_writing()


@pytest.mark.usefixtures("until_all_serve")
def test_members_are_added_and_removed_by_publishing_one_change_at_a_time(cluster, loop, until, tmp_path):
    first = cluster["a"]

    def publish(why, members):
        return first.service.publish(publication(dict(OPTIONS), why, members=members))[0]

    addresses = json.loads(first.membership.status())["addresses"]
    assert publish("two at once", addresses | {"d": "127.0.0.1:9", "e": "127.0.0.1:8"}) == 400
    assert publish("not on loopback", addresses | {"d": "10.0.0.1:9"}) == 400
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        address = sock.getsockname()
    assert publish("one more", addresses | {"d": "{}:{}".format(*address)}) == 202
    until(lambda: all("d" in member.membership.machine.members for member in cluster.values()))
    create_ledger(tmp_path / "d", "d")
    settings = cluster_settings(tmp_path / "d", first.membership.settings.members | {"d": address})
    joining = cluster["d"] = start_member(loop, "d", 4, settings)
    until(lambda: joining.node.is_serving and joining.replica.applied_number == 1)
    until(lambda: not first.replica.publisher.publication)
    assert publish("too many", addresses) == 202
    until(lambda: all("d" not in cluster[name].membership.machine.members for name in VOTERS))
    until(lambda: joining.service.serving_status.code == "removed" and not joining.node.is_serving)
    from_the_removed = Datagram(1, "f", "d", MemberState(0, 1, 0), DatagramKind.PING, 1, "")
    assert first.membership.machine.receive(loop.now(), from_the_removed) == []
