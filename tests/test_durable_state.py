"""A node with a state directory: its start, a locked directory, and a lost state."""

import errno
import json
import os
import socket
import time
from dataclasses import replace

import pytest
from conftest import turn_until
from settings_samples import PAYMENTS
from state_samples import attempt_sent, keys_on_disk

from marlseam import core
from marlseam.configuration import load
from marlseam.decisions.types import Request
from marlseam.net.node import Node
from marlseam.store import file_format as form
from marlseam.store.disk import Disk, lock_directory
from marlseam.store.state_directory import StateDirectory, create_state
from marlseam.store.state_store import StateStore


@pytest.fixture
def make_node(tmp_path):
    """Return a factory of nodes that store their state in the same directory."""
    nodes = []

    def build(listen="127.0.0.1:0"):
        config, operator_file = tmp_path / "node.json", tmp_path / "own.toml"
        host = {"host": "e1", "dial": "127.0.0.1:1", "health": "active", "site": "here", "class": "plain"}
        known = {"seq": 1, "whole": True, "hosts": [host | {"block": 4}]}
        values = {"listen": listen, "discovery": "127.0.0.1:1", "settings": PAYMENTS, "known": known}
        config.write_text(json.dumps(values))
        operator_file.write_text(f'[store]\nfolder = "{tmp_path / "state"}"\n')
        node = Node(load(str(config), {}, operator_settings_path=str(operator_file)))
        nodes.append(node)
        return node

    yield build
    for node in nodes:
        node.is_reducing = True
        node.durable_state.store.close()
        node.loop.finish()
        if node.durable_state.store.lock_fd is not None:
            os.close(node.durable_state.store.lock_fd)


def immediate_effects(node, key, may_be_retry):
    """Pass a keyed request to the reducer; return the types of the immediate answers and attempts."""
    request = Request(key, 2, node.loop.now() + 5000.0, idempotency_key=key, may_be_retry=may_be_retry)
    request = replace(request, is_recordable=node.durable_state.store.is_available())
    effects = node.reducer.reduce(node.loop.now(), core.RequestArrived(request))
    return [type(effect) for effect in effects if type(effect) in (core.SendAttempt, core.Reject, core.Fail)]


def test_clients_are_accepted_only_once_the_state_is_read(make_node, tmp_path, monkeypatch):
    connect_errors = []

    def load(_store):
        port = json.loads((tmp_path / "node.json").read_text())["listen"].rpartition(":")[2]
        with socket.socket() as sock:
            connect_errors.append(sock.connect_ex(("127.0.0.1", int(port))))

    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    monkeypatch.setattr(StateStore, "load", load)
    # Guards against clients accepted before the read, whose time would only be counted from its end.
    node = make_node(f"127.0.0.1:{port}")
    assert connect_errors == [errno.ECONNREFUSED]
    assert node.is_ready()


@pytest.mark.parametrize("other_starts", [False, True])
def test_a_node_whose_directory_is_locked_sends_no_keyed_request_until_it_has_read_it(
    make_node, tmp_path, other_starts, monkeypatch
):
    monkeypatch.setattr("marlseam.store.log_writer_client.MAX_LOCK_WAIT_S", 0.02)
    path, far_ms = tmp_path / "state", time.time() * 1000.0 + 20000.0
    create_state(path, "node")
    other = make_node() if other_starts else None  # two processes start on the same directory
    lock_fd = None if other_starts else lock_directory(path)
    node = make_node()
    assert node.is_ready()
    assert not node.durable_state.store.is_available()
    for _ in range(3):
        assert immediate_effects(node, "old", True) == [core.Fail]
        assert immediate_effects(node, "new", False) == [core.Reject]
        node.loop.turn()
    if other is not None:
        number = other.durable_state.store.append(attempt_sent("old", far_ms - 1000.0, "gone", far_ms))
        turn_until(other.loop, lambda: other.durable_state.store.answered_count >= number)
        other.durable_state.store.close()
        os.close(other.durable_state.store.lock_fd)
        other.durable_state.store.lock_fd = None
    else:
        directory = StateDirectory(Disk(path), "node")
        directory.number = 1
        directory.snapshot(form.encode_records([attempt_sent("old", far_ms - 1000.0, "gone", far_ms)]), 0.0)
        directory.close()
        os.close(lock_fd)
    turn_until(node.loop, node.durable_state.store.is_available)
    # The retry may only go to the server that may have run the first attempt, which is not on the list.
    assert immediate_effects(node, "old", True) == []
    assert not node.reducer.unavailable_history.last_sent_ms
    assert "old" in keys_on_disk(node.durable_state.store)


def test_a_node_that_lost_its_state_fails_retries_until_the_deduplication_window_is_over_also_after_a_restart(
    make_node,
):
    for _ in range(2):
        node = make_node()  # on a directory without a state
        # After the restart, this follows from the state stored by the first process.
        assert node.reducer.unavailable_history.last_sent_ms
        turn_until(node.loop, node.durable_state.store.is_available)
        assert immediate_effects(node, "old", True) == [core.Fail]
        end_ms = max(node.reducer.unavailable_history.last_sent_ms.values()) + 30000.0
        assert node.reducer.reduce(end_ms + 1.0, core.HistoryAvailable("none")) == []
        assert not node.reducer.is_history_incomplete()
        node.durable_state.store.close()
        os.close(node.durable_state.store.lock_fd)
        node.durable_state.store.lock_fd = None
