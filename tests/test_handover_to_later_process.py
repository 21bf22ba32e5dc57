"""Handover from a node's process to a later one: snapshot, updates, and shared limits and budgets."""

import os
import re
import socket
from pathlib import Path

import pytest
from conftest import turn_until
from handover_samples import encode_hello
from settings_samples import PAYMENTS

from marlseam import core
from marlseam.core.idempotency import AttemptRecord
from marlseam.net import process_handover
from marlseam.net.downstream import AdmissionLimits
from marlseam.recovery import handover_codec
from marlseam.recovery.handover_codec import AttemptNeverRan

HANDOVER_LINES = (Path(__file__).parent / "data" / "handover.txt").read_bytes()


def connect_later_process(tmp_path):
    """Return a connection to this process's handover socket, as a later process opens it."""
    sock = socket.socket(socket.AF_UNIX)
    sock.connect(str(tmp_path / f"marlseam-{os.getpid()}.sock"))
    sock.setblocking(False)
    return sock


def read_lines_until(node, sock, text):
    """Run the node's loop until it has sent some text; return all lines received."""
    data = b""

    def has_come():
        nonlocal data
        try:
            data += sock.recv(65536)
        except BlockingIOError:
            return False
        return text in data

    turn_until(node.loop, has_come)
    return data.splitlines()


def test_a_later_process_receives_a_snapshot_and_then_each_change(make_inheriting_node, tmp_path):
    node = make_inheriting_node(settings=PAYMENTS)
    node.reducer.idempotency_records.add(
        "k8", AttemptRecord("e1", 0, 4, node.loop.now(), node.loop.now() + 9999.0)
    )
    later_process = connect_later_process(tmp_path)
    lines = read_lines_until(node, later_process, b'"whole"')
    items = [item for line in lines for item in handover_codec.parse_line(line)]
    assert [type(item).__name__ for item in items] == ["Hello", "ListPart", "AttemptSent", "SnapshotEnd"]
    node.effects.record(
        core.PersistAttempt("9", "k9", AttemptRecord("e1", 0, 4, node.loop.now(), node.loop.now() + 1.0))
    )
    (attempt,) = handover_codec.parse_line(read_lines_until(node, later_process, b"k9")[-1])
    assert (attempt.key, attempt.server, attempt.zone, attempt.cell) == ("k9", "e1", "here", 4)
    node.effects.record(core.ErasePersisted("k9", "e1", node.loop.now()))
    assert (
        type(handover_codec.parse_line(read_lines_until(node, later_process, b"never")[-1])[0])
        is AttemptNeverRan
    )
    later_process.close()


def masked(line):
    """Return a line with its times and its process number replaced by #."""
    return re.sub(rb'(?<="process":)\d+|\d{10,}(\.\d+)?', b"#", line)


def test_lines_to_a_later_process_have_the_form_of_revision_53bfa1a(make_inheriting_node, tmp_path):
    node = make_inheriting_node(settings=PAYMENTS)
    record = AttemptRecord("e1", 0, 4, node.loop.now(), node.loop.now() + 9999.0)
    node.reducer.idempotency_records.add("k8", record)
    later_process = connect_later_process(tmp_path)
    lines = read_lines_until(node, later_process, b'"whole"')
    node.effects.record(core.PersistAttempt("9", "k9", record))
    node.effects.record(core.ErasePersisted("k9", "e1", node.loop.now()))
    lines += read_lines_until(node, later_process, b"never")
    node.handover.close()
    lines += read_lines_until(node, later_process, b"over")
    later_process.close()
    assert [masked(line) for line in lines] == HANDOVER_LINES.splitlines()


def test_limits_and_budgets_are_shared_while_two_processes_serve(make_inheriting_node, tmp_path):
    node = make_inheriting_node()
    alone = node.downstream.limits.clients, node.upstream.pool.max_connections
    later_process = connect_later_process(tmp_path)
    turn_until(node.loop, lambda: node.handover.peers)
    shared = node.downstream.limits.clients, node.upstream.pool.max_connections
    assert all(2 * part <= whole for part, whole in zip(shared, alone, strict=True))
    assert node.reducer.dispatcher.settings.process_share == 0.5
    node.reload()
    assert node.reducer.dispatcher.settings.process_share == 0.5
    later_process.close()
    turn_until(node.loop, lambda: not node.handover.peers)
    assert (
        node.downstream.limits.clients,
        node.upstream.pool.max_connections,
    ) == alone
    assert node.reducer.dispatcher.settings.process_share == 1.0


def test_budgets_are_shared_with_two_later_processes(make_inheriting_node, tmp_path):
    node = make_inheriting_node()
    first, second = connect_later_process(tmp_path), connect_later_process(tmp_path)
    for number, sock in ((5, first), (6, second)):
        sock.sendall(encode_hello(process=number))
    turn_until(node.loop, lambda: len([peer for peer in node.handover.peers if peer.hello]) == 2)
    assert node.reducer.dispatcher.settings.process_share == pytest.approx(1 / 3)
    first.close()
    second.close()


def test_idle_connections_past_the_shared_limit_are_closed(make_inheriting_node, listening_socket):
    node = make_inheriting_node()
    socks = [socket.create_connection(listening_socket.getsockname()) for _ in range(4)]
    turn_until(node.loop, lambda: len(node.downstream.idle) == 4)
    node.downstream.configure(node.config.deployment, AdmissionLimits(2, 1e9))
    assert len(node.downstream.idle) == 2
    for sock in socks:
        sock.close()


def test_a_later_process_that_does_not_read_is_disconnected(
    make_inheriting_node, tmp_path, monkeypatch, capsys
):
    monkeypatch.setattr(process_handover, "MAX_UNSENT_BYTES", 1000)
    node = make_inheriting_node()
    later_process = connect_later_process(tmp_path)
    read_lines_until(node, later_process, b'"whole"')
    record = AttemptRecord("e1", 0, 4, 0.0, 1.0)
    for i in range(100000):
        node.effects.record(core.PersistAttempt(str(i), f"key {i}", record))
        if not node.handover.peers:
            break
    assert not node.handover.peers
    assert "code=behind" in capsys.readouterr().err
    later_process.close()
