"""A node with a cluster and configuration versions: settings, start, reloads and the command `check`."""

import json
import os
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import pytest
from conftest import OPTIONS

from marlseam.configuration import ConfigError, load
from marlseam.net.node import Node
from marlseam.store.ledger_writer import create_ledger

OBJECTIVE_US, OBJECTIVE_MS = 777000.0, 777.0  # the latency objective of a class that a test publishes


@pytest.mark.parametrize(
    ("lines", "key"),
    [
        ('voters = ["n"]', "folder"),
        ('folder = "x"', "voters"),
        ('folder = "x"\nvoters = ["z"]', "voters"),
        ('folder = "x"\nvoters = ["n"]\nlease_ms = 5', "lease_ms"),
        ('folder = "x"\nvoters = ["n"]\npast_lease = "no"', "past_lease"),
    ],
)
def test_an_invalid_setting_of_versions_is_named_in_the_error(tmp_path, lines, key):
    config, own = tmp_path / "n.json", tmp_path / "own.toml"
    values = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "name": "n", "settings": OPTIONS}
    config.write_text(json.dumps(values))
    own.write_text(f'[fleet]\nname = "f"\n{lines}\n[fleet.members]\nn = "127.0.0.1:9"\n')
    with pytest.raises(ConfigError, match=f"fleet.{key}"):
        load(str(config), {}, operator_settings_path=str(own))


class SingleNode(NamedTuple):
    """A node that is the only member of its cluster.

    Attributes:
        config: the node's configuration file.
        own: the node's file of operators' settings.
        start: starts the node and returns it.
        stop: ends the node without a graceful shutdown.
    """

    config: Path
    own: Path
    start: Callable[[], Node]
    stop: Callable[[Node], None]


@pytest.fixture
def single(tmp_path):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        address = "{}:{}".format(*sock.getsockname())
    config, own = tmp_path / "n.json", tmp_path / "own.toml"
    values = {
        "listen": "127.0.0.1:0",
        "admin": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "name": "n",
        "settings": OPTIONS,
    }
    config.write_text(json.dumps(values))
    create_ledger(tmp_path / "ledger", "n")
    own.write_text(
        f'[fleet]\nname = "f"\nperiod_ms = 20\nfolder = "{tmp_path}/ledger"\nvoters = ["n"]\n'
        f'[fleet.members]\nn = "{address}"\n'
    )
    started = []

    def start():
        started.append(Node(load(str(config), {}, operator_settings_path=str(own))))
        return started[-1]

    def stop(node):
        node.is_reducing = True
        node.membership.close()
        node.loop.finish()
        os.close(node.config_service.ledger.lock_fd)

    yield SingleNode(config, own, start, stop)
    if started:
        stop(started[-1])


def turn_until(node, holds):
    """Run turns of a node's loop until a condition holds; fail after 5 s."""
    end_ms = node.loop.now() + 5000.0
    node.loop.call_at(end_ms, lambda: None)
    while not holds() and node.loop.now() < end_ms:
        node.loop.turn()
    assert holds()


def start_in_service(single):
    node = single.start()
    turn_until(node, lambda: node.config_service.serving_status.is_serving)
    return node


def publish_objective(node):
    """Publish settings with OBJECTIVE_US as the first class's latency objective."""
    settings = json.loads(json.dumps(OPTIONS))
    settings["requestClasses"][0]["aimUs"] = OBJECTIVE_US
    node.config_service.publish(json.dumps({"settings": settings, "why": "slower"}).encode())


def objective_ms(node):
    return node.config.deployment.settings.request_classes[0].latency_objective_ms


def test_a_node_applies_a_published_version_after_a_restart_and_refuses_a_local_file(single, capsys):
    node = start_in_service(single)
    publish_objective(node)
    turn_until(node, lambda: objective_ms(node) == OBJECTIVE_MS)
    node.reload()  # the file has not changed
    assert objective_ms(node) == OBJECTIVE_MS
    assert "code=local-refused" in capsys.readouterr().err
    single.stop(node)
    node = single.start()
    assert objective_ms(node) == OBJECTIVE_MS
    assert node.config_service.replica.applied_number == 1


def test_a_node_out_of_service_by_an_override_stays_so_when_put_in_service_by_another_call(single):
    node = start_in_service(single)
    node.config_service.override_by_operator("sick")
    turn_until(node, lambda: not node.config_service.serving_status.is_serving)
    assert not node.is_ready()
    assert node.service.out_of_service_by == {"fleet"}
    assert node.service.enter("operator")[1].startswith("still out of service by fleet")


def test_check_reads_the_ledgers_folder_and_names_one_that_cannot_be_used(single):
    files = ["--config", str(single.config), "--settings", str(single.own)]
    command = [sys.executable, "-m", "marlseam", "check", *files]
    good = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert good.returncode == 0
    assert "version 0, votes" in good.stdout
    single.own.write_text(single.own.read_text().replace(f"{single.own.parent}/ledger", "/proc/no"))
    bad = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert bad.returncode == 2
    assert "fleet.folder" in bad.stderr


def test_a_local_file_is_applied_where_settings_allow_it_and_is_reported_in_the_status(single):
    own = single.own.read_text()
    single.own.write_text(own.replace('voters = ["n"]', 'voters = ["n"]\nlocal = "allow"'))
    node = start_in_service(single)
    publish_objective(node)
    turn_until(node, lambda: node.config_service.replica.applied_number == 1)
    before = node.config_service.actions.interval.interval
    node.reload()
    node.config_service.refresh()
    assert node.config_service.status()["local"]
    assert node.config_service.actions.interval.interval == before + 1


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
def test_an_invalid_cluster_setting_is_named_in_the_error(at_fault, text, key):
    assert at_fault(text) == key


def test_a_trusted_address_may_be_off_loopback_and_a_node_must_be_among_the_members(tmp_path):
    own, config = tmp_path / "own.toml", tmp_path / "node.json"
    own.write_text("[fleet]\nname = 'f'\ntrusted = true\n[fleet.members]\na = '10.0.0.1:5'\n")
    config.write_text(
        json.dumps({"name": "a", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": OPTIONS})
    )
    assert load(str(config), {}, operator_settings_path=str(own)).cluster.members == {"a": ("10.0.0.1", 5)}
    with pytest.raises(ConfigError) as error:
        load(str(config), {"EDGE_NAME": "q"}, operator_settings_path=str(own))
    assert error.value.key == "fleet.members"


def test_a_node_without_a_cluster_imports_no_modules_of_clusters():
    words = "fleet", "peers", "acting", "ledger", "cluster", "membership", "config_"
    code = "import sys, marlseam.__main__; "
    code += f"print([name for name in sys.modules if any(word in name for word in {words})])"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "[]\n"
