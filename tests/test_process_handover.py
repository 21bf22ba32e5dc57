"""Handover to a new process of a node: what it takes over from the old one, and faults of the old one."""

import errno
import json
import os
import socket

import pytest
from conftest import turn_until
from handover_samples import attempt_sent, encode_hello, node_epoch_ms, now_ms
from settings_samples import ENDPOINT, PAYMENTS

from marlseam.configuration import load
from marlseam.decisions.types import EndpointState
from marlseam.net import process_handover
from marlseam.net.node import Node
from marlseam.recovery import handover_codec
from marlseam.recovery.handover_codec import AttemptNeverRan, AttemptSent

SNAPSHOT_END_LINE = handover_codec.encode_line({"whole": True})
DRAINING_ENDPOINT = ENDPOINT | {"host": "e2", "dial": "127.0.0.1:2", "health": "leaving"}
PAYMENT = (
    b"POST /payment HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: p1\r\nX-Service-Class: payment\r\n"
    b"X-Time-Left: 5\r\nIdempotency-Key: k\r\n%bContent-Length: 3\r\n\r\nabc"
)


@pytest.fixture
def make_old_process(tmp_path):
    """Return a maker of old processes, each of which listens on a handover socket.

    It returns a function that accepts the node's connection, sends the given lines, with `ends` closes the
    connection, and returns it.
    """
    socks = []

    def build(*lines, ends=False, number=1):
        path = tmp_path / f"marlseam-{number}.sock"
        listener = socket.socket(socket.AF_UNIX)
        listener.bind(str(path))
        listener.listen()
        socks.append(listener)

        def accept_connection():
            sock, _ = listener.accept()
            socks.append(sock)
            sock.sendall(b"".join(lines))
            if ends:
                sock.close()
            return sock

        return accept_connection

    yield build
    for sock in socks:
        sock.close()


def send_payment(node, listening_socket, retry_header=b""):
    """Send a payment and wait until the node has accepted it; return the request's state and the socket."""
    sock = socket.create_connection(listening_socket.getsockname())
    sock.sendall(PAYMENT % retry_header)
    turn_until(node.loop, lambda: node.requests.pending)
    return node.reducer.open_requests[next(iter(node.requests.pending))], sock


@pytest.mark.parametrize(("version", "held_servers"), [(41, {"e1", "e2"}), (0, {"e1"})])
def test_a_new_process_takes_over_the_newer_endpoint_list_and_the_attempts(
    make_inheriting_node, make_old_process, version, held_servers
):
    accept_connection = make_old_process(
        encode_hello(),
        *handover_codec.encode_snapshot(version, [ENDPOINT, DRAINING_ENDPOINT], [attempt_sent()]),
    )
    node = make_inheriting_node()
    assert not node.is_ready()
    accept_connection()
    turn_until(node.loop, node.is_ready)
    assert set(node.discovery.entries) == held_servers
    assert node.discovery.version == max(1, version)
    assert version == 0 or node.discovery.entries["e2"].state is EndpointState.DRAINING
    assert [record.server for _, record in node.reducer.idempotency_records] == ["e1"]


def test_a_retry_is_sent_to_the_cell_of_the_old_processs_first_attempt(
    make_inheriting_node, make_old_process, listening_socket
):
    hosts = [ENDPOINT, ENDPOINT | {"host": "e5", "block": 5}]
    accept_connection = make_old_process(
        encode_hello(), *handover_codec.encode_snapshot(2, hosts, [attempt_sent(server="gone", cell=5)])
    )
    node = make_inheriting_node(settings=PAYMENTS)
    accept_connection()
    turn_until(node.loop, node.is_ready)
    state, sock = send_payment(node, listening_socket)
    assert [state.is_eligible(node.reducer.servers.by_name[name]) for name in ("e1", "e5")] == [False, True]
    sock.close()


def test_attempts_handed_over_before_a_client_connects_count_for_its_request(
    make_inheriting_node, make_old_process, listening_socket
):
    # The old process hands over an attempt before it answers the client, whose retry the node may read in the
    # same turn as the handover.
    accept_connection = make_old_process(encode_hello(), SNAPSHOT_END_LINE)
    node = make_inheriting_node(settings=PAYMENTS)
    peer = accept_connection()
    turn_until(node.loop, node.is_ready)
    peer.sendall(handover_codec.encode_sent([attempt_sent(server="e9", cell=5)]))
    for old_process in node.handover.peers:
        old_process.task.cancel()  # from here on the handover is read only when a request is accepted
    state, sock = send_payment(node, listening_socket)
    assert len(state.attempts) == 1
    assert not state.is_eligible(node.reducer.servers.by_name["e1"])
    sock.close()


@pytest.mark.parametrize("step_ms", [-3600000.0, -8000.0, 8000.0, 3600000.0])
def test_a_clock_stepped_between_two_starts_shifts_no_attempt(
    make_inheriting_node, make_old_process, listening_socket, step_ms
):
    # Each process converts Unix time to its own clock by the wall clock as read at its own start.
    epoch_ms = node_epoch_ms() + step_ms
    greeting = {"marlseam": 1, "node": "node", "process": 1, "epoch": epoch_ms}
    sent_ms = now_ms() + step_ms
    attempt = AttemptSent("k", "gone", "here", 5, sent_ms, sent_ms + 4000.0)
    hosts = [ENDPOINT, ENDPOINT | {"host": "e5", "block": 5}]
    accept_connection = make_old_process(
        handover_codec.encode_line(greeting), *handover_codec.encode_snapshot(2, hosts, [attempt])
    )
    node = make_inheriting_node(settings=PAYMENTS)
    accept_connection()
    turn_until(node.loop, node.is_ready)
    state, sock = send_payment(node, listening_socket)
    assert [state.is_eligible(node.reducer.servers.by_name[name]) for name in ("e1", "e5")] == [False, True]
    ((_, record),) = node.reducer.idempotency_records
    assert abs(record.until_ms - node.loop.now() - 4000.0) < 2000.0
    sock.close()


def test_an_attempt_that_never_ran_is_erased_from_the_records(make_inheriting_node, make_old_process):
    attempt = attempt_sent()
    accept_connection = make_old_process(
        encode_hello(),
        *handover_codec.encode_snapshot(2, [ENDPOINT], [attempt]),
        handover_codec.encode_never(AttemptNeverRan(attempt.key, attempt.server, attempt.sent_ms)),
    )
    node = make_inheriting_node()
    accept_connection()
    turn_until(node.loop, lambda: node.is_ready() and not len(node.reducer.idempotency_records))


@pytest.mark.parametrize(
    ("lines", "ends", "code"),
    [
        ([], True, "cut"),
        ([encode_hello()], True, "cut"),
        ([encode_hello(), handover_codec.encode_line({"seq": 2, "hosts": [ENDPOINT]})[:-9]], True, "cut"),
        ([handover_codec.encode_line({"marlseam": 2, "node": "node", "process": 1})], False, "version"),
        ([encode_hello("other")], False, "foreign"),
        ([encode_hello(), b"{\n"], False, "odd"),
        ([encode_hello(), b"[]\n"], False, "odd"),
        ([handover_codec.encode_line({"whole": True})], False, "odd"),
        (
            [encode_hello(), handover_codec.encode_line({"sent": [["k", "e1", "here", 0, 1, float("inf")]]})],
            False,
            "odd",
        ),
        (
            [encode_hello(), handover_codec.encode_line({"sent": [["k" * 999, "e1", "here", 0, 1, 2]]})],
            False,
            "odd",
        ),
        ([encode_hello(), handover_codec.encode_line({"sent": [[1]]})], False, "odd"),
        ([encode_hello(), handover_codec.encode_line({"hosts": [1], "seq": 1})], False, "odd"),
        ([encode_hello(), handover_codec.encode_line({"hosts": [], "seq": True})], False, "odd"),
        ([encode_hello(), b"x" * 200000], False, "odd"),
        ([encode_hello()], False, "silent"),
    ],
)
def test_without_the_old_processs_history_a_node_starts_and_logs_why(
    make_inheriting_node, make_old_process, monkeypatch, capsys, lines, ends, code
):
    monkeypatch.setattr(process_handover, "SNAPSHOT_TIMEOUT_MS", 100.0)
    accept_connection = make_old_process(*lines, ends=ends)
    node = make_inheriting_node()
    accept_connection()
    turn_until(node.loop, node.is_ready)
    assert f"code={code}" in capsys.readouterr().err
    assert node.reducer.unavailable_history.last_sent_ms
    assert set(node.discovery.entries) == {"e1"}


def test_a_marked_retry_fails_at_once_where_the_history_is_unavailable(
    make_inheriting_node, make_old_process, listening_socket
):
    accept_connection = make_old_process(encode_hello(), ends=True)
    node = make_inheriting_node(settings=PAYMENTS)
    accept_connection()
    turn_until(node.loop, node.is_ready)
    sock = socket.create_connection(listening_socket.getsockname())
    sock.sendall(PAYMENT % b"X-Repeat: 1\r\n")
    sock.setblocking(False)
    # Guards against holding the retry until its deadline, and against sending it late where any server
    # discards repeats.
    turn_until(node.loop, lambda: node.counters.answers["payment"]["failed"])
    assert sock.recv(4096).startswith(b"HTTP/1.1 500 ")
    sock.close()
    state, sock = send_payment(node, listening_socket)
    assert state.is_eligible(node.reducer.servers.by_name["e1"])
    sock.close()


@pytest.mark.parametrize(
    ("last_lines", "is_history_complete"), [([handover_codec.GOODBYE_LINE], True), ([], False)]
)
def test_the_history_is_incomplete_after_an_old_process_ends_without_a_goodbye(
    make_inheriting_node, make_old_process, capsys, last_lines, is_history_complete
):
    accept_connection = make_old_process(encode_hello(), SNAPSHOT_END_LINE, *last_lines)
    node = make_inheriting_node(settings=PAYMENTS)
    peer = accept_connection()
    turn_until(node.loop, node.is_ready)
    assert not node.reducer.unavailable_history.last_sent_ms
    peer.close()
    turn_until(node.loop, lambda: not node.handover.peers)
    assert ("code=cut" not in capsys.readouterr().err) is is_history_complete
    assert node.reducer.is_history_incomplete() is not is_history_complete


def test_a_snapshot_that_ends_late_makes_the_history_available(
    make_inheriting_node, make_old_process, monkeypatch
):
    monkeypatch.setattr(process_handover, "SNAPSHOT_TIMEOUT_MS", 20.0)
    accept_connection = make_old_process(encode_hello())
    node = make_inheriting_node(settings=PAYMENTS)
    peer = accept_connection()
    turn_until(node.loop, node.is_ready)
    assert node.reducer.is_history_incomplete()
    peer.sendall(SNAPSHOT_END_LINE)
    turn_until(node.loop, lambda: not node.reducer.unavailable_history.last_sent_ms)


def test_an_old_process_that_accepts_no_connection_is_logged(make_inheriting_node, tmp_path, capsys):
    full = socket.socket(socket.AF_UNIX)
    full.bind(str(tmp_path / "marlseam-1.sock"))
    full.listen(0)
    calls = []
    while True:
        calls.append(socket.socket(socket.AF_UNIX))
        calls[-1].setblocking(False)
        try:
            calls[-1].connect(str(tmp_path / "marlseam-1.sock"))
        except BlockingIOError:
            break
    node = make_inheriting_node()
    turn_until(node.loop, node.is_ready)
    assert "code=silent" in capsys.readouterr().err
    assert node.reducer.unavailable_history.last_sent_ms
    for sock in (full, *calls):
        sock.close()


def test_a_node_that_shuts_down_before_its_start_accepts_no_client(make_inheriting_node, make_old_process):
    accept_connection = make_old_process(encode_hello(), ends=True)
    node = make_inheriting_node()
    node.shutdown.begin()
    accept_connection()
    node.loop.run()
    assert node.downstream.listener is None
    assert not node.is_ready()


def test_a_reload_before_the_start_is_applied(make_inheriting_node, make_old_process):
    accept_connection = make_old_process(encode_hello(), SNAPSHOT_END_LINE)
    node = make_inheriting_node()
    node.reload()
    accept_connection()
    turn_until(node.loop, node.is_ready)
    assert node.counters.reloads == 1
    assert node.reducer.dispatcher.settings.process_share == 0.5


def test_a_socket_file_that_a_killed_process_left_is_removed(make_inheriting_node, tmp_path):
    leftover = socket.socket(socket.AF_UNIX)
    leftover.bind(str(tmp_path / "marlseam-99.sock"))
    leftover.close()
    unfinished = socket.socket(socket.AF_UNIX)
    unfinished.bind(str(tmp_path / f"marlseam-{os.getpid()}.new"))
    unfinished.close()
    node = make_inheriting_node()
    assert node.is_ready()
    assert not node.reducer.unavailable_history.last_sent_ms
    assert [config_path.name for config_path in tmp_path.glob("marlseam-*")] == [
        f"marlseam-{os.getpid()}.sock"
    ]


def test_a_node_starts_where_the_handover_directory_cannot_be_used(
    listening_socket, config_path, tmp_path, capsys
):
    environment = {"EDGE_SOCKET_FD": str(os.dup(listening_socket.fileno())), "TMPDIR": str(tmp_path / "none")}
    node = Node(load(str(config_path), environment))
    assert node.is_ready()
    assert "code=unheard" in capsys.readouterr().err
    node.is_reducing = True
    node.loop.finish()


def test_a_node_starts_where_unix_sockets_are_refused_and_logs_it(
    make_inheriting_node, refuse_sockets, tmp_path, capsys
):
    # Guards against an exception while connecting to another process's socket, which prevented the start.
    (tmp_path / "marlseam-9.sock").touch()
    refuse_sockets(socket.AF_UNIX, errno.ENOSYS)
    node = make_inheriting_node()
    assert node.is_ready()
    assert capsys.readouterr().err.count("code=unheard") == 2
    assert node.reducer.unavailable_history.last_sent_ms


def test_lines_of_a_process_of_revision_53bfa1a_are_taken_over(make_inheriting_node, make_old_process):
    # Recorded from that revision: a list, two attempts, then that one of them never ran, and the goodbye.
    sent_ms, until_ms = now_ms(), now_ms() + 9000.0
    hosts = json.dumps([ENDPOINT]).encode()
    accept_connection = make_old_process(
        b'{"marlseam":1,"node":"node","process":17,"epoch":%f}\n' % node_epoch_ms(),
        b'{"seq":41,"hosts":%b}\n' % hosts,
        b'{"sent":[["k1","e1","here",4,%f,%f],["k2","e1","here",4,%f,%f]]}\n'
        % (sent_ms, until_ms, sent_ms, until_ms),
        b'{"whole":true}\n{"never":["k2","e1",%f]}\n{"over":true}\n' % sent_ms,
        ends=True,
    )
    node = make_inheriting_node(settings=PAYMENTS)
    accept_connection()
    turn_until(node.loop, lambda: node.is_ready() and not node.handover.peers)
    assert node.discovery.version == 41
    assert not node.reducer.unavailable_history.last_sent_ms
    ((key, record),) = node.reducer.idempotency_records
    assert (key, record.server, record.zone, record.cell) == ("k1", "e1", 0, 4)
    assert abs(record.until_ms - node.loop.now() - 9000.0) < 2000.0
