"""Upgrades: the inherited socket, and what an old process tells the new."""

import errno
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from conftest import OPTIONS, PAYMENTS
from hypothesis import given
from hypothesis import strategies as st

from marlseam import core
from marlseam.configuration import ConfigError, load
from marlseam.core.idempotency import AttemptRecord
from marlseam.decisions.types import EndpointState
from marlseam.net import process_handover as handover_module
from marlseam.net.downstream import AdmissionLimits
from marlseam.net.node import Node
from marlseam.recovery import handover_codec as form
from marlseam.recovery.handover_codec import AttemptNeverRan, AttemptSent

READY = b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"
HOSTS = [
    {"host": "e1", "dial": "127.0.0.1:1", "health": "active", "site": "here", "class": "plain", "block": 0}
]
VALUES = {
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "settings": OPTIONS,
    "known": {"seq": 1, "whole": True, "hosts": HOSTS},
}


@pytest.fixture
def held():
    """Return the platform's listening socket."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        yield sock


@pytest.fixture
def path(tmp_path):
    """Return the path of a good configuration."""
    made = tmp_path / "node.json"
    made.write_text(json.dumps(VALUES))
    return made


@pytest.fixture
def start(held, path, tmp_path):
    """Return a function that starts a process on the platform's socket and waits until it listens."""
    processes = []

    def made():
        env = {**os.environ, "EDGE_SOCKET_FD": str(held.fileno()), "TMPDIR": str(tmp_path)}
        command = [sys.executable, "-m", "marlseam", "serve", "--config", str(path)]
        process = subprocess.Popen(
            command, stderr=subprocess.PIPE, text=True, env=env, pass_fds=(held.fileno(),)
        )
        processes.append(process)
        while "listens on" not in (line := process.stderr.readline()):
            assert line
        return process

    yield made
    for process in processes:
        process.kill()
        process.communicate()


def ask(held):
    """Ask whether the node is ready, as a client does; return the answer and the connection."""
    sock = socket.create_connection(held.getsockname(), timeout=20.0)
    sock.sendall(READY)
    return sock.recv(65536), sock


CONVERSATION = (Path(__file__).parent / "data" / "handover.txt").read_bytes()


# The socket.


def test_an_upgrade_turns_nobody_back(held, start):
    old = start()
    _, kept = ask(held)
    new = start()
    old.send_signal(signal.SIGTERM)
    assert old.wait(timeout=20.0) == 0
    assert kept.recv(1) == b""
    for _ in range(5):
        answer, sock = ask(held)
        assert answer.startswith(b"HTTP/1.1 200 ")
        sock.close()
    assert new.poll() is None


def test_the_socket_outlives_a_process(held, start):
    old = start()
    old.send_signal(signal.SIGTERM)
    assert old.wait(timeout=20.0) == 0
    waiting = socket.create_connection(held.getsockname(), timeout=20.0)
    waiting.sendall(READY)
    start()
    assert waiting.recv(65536).startswith(b"HTTP/1.1 200 ")
    waiting.close()


KINDS = ["no socket", "a datagram socket", "a stream socket that does not listen"]


@pytest.mark.parametrize("kind", KINDS)
def test_another_descriptor_is_refused_and_left_open(kind, path):
    socks = [
        open(path),  # noqa: SIM115
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM),
        socket.socket(),
    ]
    fd = socks[KINDS.index(kind)].fileno()
    with pytest.raises(ConfigError, match="EDGE_SOCKET_FD"):
        Node(load(str(path), {"EDGE_SOCKET_FD": str(fd)}))
    os.fstat(fd)
    for sock in socks:
        sock.close()


@pytest.mark.parametrize("value", ["x", "-1", "3.0"])
def test_a_descriptor_is_a_number(path, value):
    with pytest.raises(ConfigError, match="EDGE_SOCKET_FD"):
        load(str(path), {"EDGE_SOCKET_FD": value})


# What an old process tells the new.


@pytest.fixture
def made(held, path, tmp_path):
    """Return a function that makes a node on the platform's socket, in a folder that processes share."""
    nodes = []

    def build(**changes):
        path.write_text(json.dumps(VALUES | changes))
        env = {"EDGE_SOCKET_FD": str(os.dup(held.fileno())), "TMPDIR": str(tmp_path)}
        nodes.append(Node(load(str(path), env)))
        return nodes[-1]

    yield build
    for node in nodes:
        node.is_reducing = True
        node.handover.close()
        node.loop.finish()


@pytest.fixture
def old(tmp_path):
    """Return a function that stands in for an old process, which tells some lines and then, if so, ends."""
    socks = []

    def stand(*lines, ends=False, number=1):
        name = tmp_path / f"marlseam-{number}.sock"
        listener = socket.socket(socket.AF_UNIX)
        listener.bind(str(name))
        listener.listen()
        socks.append(listener)

        def talk():
            sock, _ = listener.accept()
            socks.append(sock)
            sock.sendall(b"".join(lines))
            if ends:
                sock.close()
            return sock

        return talk

    yield stand
    for sock in socks:
        sock.close()


def turn(node, holds):
    end = node.loop.now() + 10000.0
    node.loop.at(end, lambda: None)
    while not holds():
        assert node.loop.now() < end
        node.loop.turn()


def hello(node="node", process=1):
    return form.encode_hello(node, process)


def now_ms():
    return time.time() * 1000.0


def sending(key="k", server="e1", cell=0):
    return AttemptSent(key, server, "here", cell, now_ms(), now_ms() + 30000.0)


WHOLE = form.encode_line({"whole": True})
SECOND = HOSTS[0] | {"host": "e2", "dial": "127.0.0.1:2", "health": "leaving"}
PAYMENT = (
    b"POST /payment HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: p1\r\nX-Service-Class: payment\r\n"
    b"X-Time-Left: 5\r\nIdempotency-Key: k\r\n%bContent-Length: 3\r\n\r\nabc"
)


def pay(node, held, repeat=b""):
    """Send a payment and return the module's handle of it once it is taken."""
    sock = socket.create_connection(held.getsockname())
    sock.sendall(PAYMENT % repeat)
    turn(node, lambda: node.requests.pending)
    return node.reducer.open_requests[next(iter(node.requests.pending))], sock


@pytest.mark.parametrize(("version", "held_now"), [(41, {"e1", "e2"}), (0, {"e1"})])
def test_a_new_process_takes_the_newer_list_and_the_sendings(made, old, version, held_now):
    talk = old(hello(), *form.encode_snapshot(version, [*HOSTS, SECOND], [sending()]))
    node = made()
    assert not node.is_ready()
    talk()
    turn(node, node.is_ready)
    assert set(node.discovery.held) == held_now
    assert node.discovery.version == max(1, version)
    assert version == 0 or node.discovery.held["e2"].state is EndpointState.DRAINING
    assert [trace.server for _, trace in node.reducer.idempotency_records] == ["e1"]


def test_a_retry_goes_where_the_other_process_has_sent_the_first(made, old, held):
    hosts = [*HOSTS, HOSTS[0] | {"host": "e5", "block": 5}]
    talk = old(hello(), *form.encode_snapshot(2, hosts, [sending(server="gone", cell=5)]))
    node = made(settings=PAYMENTS)
    talk()
    turn(node, node.is_ready)
    state, sock = pay(node, held)
    assert [state.is_eligible(node.reducer.servers.by_name[name]) for name in ("e1", "e5")] == [False, True]
    sock.close()


def test_what_is_told_before_a_client_comes_is_known_when_its_work_is_taken(made, old, held):
    # The old process tells of the sending before it answers; the retry may be read in the same turn.
    talk = old(hello(), WHOLE)
    node = made(settings=PAYMENTS)
    peer = talk()
    turn(node, node.is_ready)
    peer.sendall(form.encode_sent([sending(server="e9", cell=5)]))
    for other in node.handover.peers:
        other.task.cancel()  # only what work asks for is read from here on
    state, sock = pay(node, held)
    assert len(state.attempts) == 1
    assert not state.is_eligible(node.reducer.servers.by_name["e1"])
    sock.close()


@pytest.mark.parametrize("step_ms", [-3600000.0, -8000.0, 8000.0, 3600000.0])
def test_a_clock_stepped_between_two_starts_shifts_no_sending(made, old, held, step_ms):
    # Each process brings Unix time onto its clock as the wall clock was at its own start.
    here = node_epoch_ms() + step_ms
    told = {"marlseam": 1, "node": "node", "process": 1, "epoch": here}
    began = now_ms() + step_ms
    row = AttemptSent("k", "gone", "here", 5, began, began + 4000.0)
    hosts = [*HOSTS, HOSTS[0] | {"host": "e5", "block": 5}]
    talk = old(form.encode_line(told), *form.encode_snapshot(2, hosts, [row]))
    node = made(settings=PAYMENTS)
    talk()
    turn(node, node.is_ready)
    state, sock = pay(node, held)
    assert [state.is_eligible(node.reducer.servers.by_name[name]) for name in ("e1", "e5")] == [False, True]
    ((_, trace),) = node.reducer.idempotency_records
    assert abs(trace.until_ms - node.loop.now() - 4000.0) < 2000.0
    sock.close()


def node_epoch_ms():
    """Return the Unix time of this machine's monotonic zero."""
    return now_ms() - 1000.0 * time.monotonic()


def test_a_sending_that_never_ran_is_taken_off_the_record(made, old):
    row = sending()
    talk = old(
        hello(),
        *form.encode_snapshot(2, HOSTS, [row]),
        form.encode_never(AttemptNeverRan(row.key, row.server, row.sent_ms)),
    )
    node = made()
    talk()
    turn(node, lambda: node.is_ready() and not len(node.reducer.idempotency_records))


@pytest.mark.parametrize(
    ("lines", "ends", "code"),
    [
        ([], True, "cut"),
        ([hello()], True, "cut"),
        ([hello(), form.encode_line({"seq": 2, "hosts": HOSTS})[:-9]], True, "cut"),
        ([form.encode_line({"marlseam": 2, "node": "node", "process": 1})], False, "version"),
        ([hello("other")], False, "foreign"),
        ([hello(), b"{\n"], False, "odd"),
        ([hello(), b"[]\n"], False, "odd"),
        ([form.encode_line({"whole": True})], False, "odd"),
        ([hello(), form.encode_line({"sent": [["k", "e1", "here", 0, 1, float("inf")]]})], False, "odd"),
        ([hello(), form.encode_line({"sent": [["k" * 999, "e1", "here", 0, 1, 2]]})], False, "odd"),
        ([hello(), form.encode_line({"sent": [[1]]})], False, "odd"),
        ([hello(), form.encode_line({"hosts": [1], "seq": 1})], False, "odd"),
        ([hello(), form.encode_line({"hosts": [], "seq": True})], False, "odd"),
        ([hello(), b"x" * 200000], False, "odd"),
        ([hello()], False, "silent"),
    ],
)
def test_without_what_the_other_knows_it_starts_and_says_so(
    made, old, monkeypatch, capsys, lines, ends, code
):
    monkeypatch.setattr(handover_module, "SNAPSHOT_TIMEOUT_MS", 100.0)
    talk = old(*lines, ends=ends)
    node = made()
    talk()
    turn(node, node.is_ready)
    assert f"code={code}" in capsys.readouterr().err
    assert node.reducer.unavailable_history.last_sent_ms
    assert set(node.discovery.held) == {"e1"}


def test_a_marked_retry_is_refused_at_once_where_the_first_may_have_run_untold(made, old, held):
    talk = old(hello(), ends=True)
    node = made(settings=PAYMENTS)
    talk()
    turn(node, node.is_ready)
    sock = socket.create_connection(held.getsockname())
    sock.sendall(PAYMENT % b"X-Repeat: 1\r\n")
    sock.setblocking(False)
    # The old code held it until its deadline; and where any server drops repeats, sent it late.
    turn(node, lambda: node.counters.answers["payment"]["failed"])
    assert sock.recv(4096).startswith(b"HTTP/1.1 500 ")
    sock.close()
    state, sock = pay(node, held)
    assert state.is_eligible(node.reducer.servers.by_name["e1"])
    sock.close()


@pytest.mark.parametrize(("last", "known"), [([form.GOODBYE_LINE], True), ([], False)])
def test_one_that_ends_without_saying_so_may_have_sent_what_it_did_not_tell(made, old, capsys, last, known):
    talk = old(hello(), WHOLE, *last)
    node = made(settings=PAYMENTS)
    peer = talk()
    turn(node, node.is_ready)
    assert not node.reducer.unavailable_history.last_sent_ms
    peer.close()
    turn(node, lambda: not node.handover.peers)
    assert ("code=cut" not in capsys.readouterr().err) is known is not node.reducer.is_history_incomplete()


def test_one_that_tells_all_late_is_believed(made, old, monkeypatch):
    monkeypatch.setattr(handover_module, "SNAPSHOT_TIMEOUT_MS", 20.0)
    talk = old(hello())
    node = made(settings=PAYMENTS)
    peer = talk()
    turn(node, node.is_ready)
    assert node.reducer.is_history_incomplete()
    peer.sendall(WHOLE)
    turn(node, lambda: not node.reducer.unavailable_history.last_sent_ms)


def test_a_process_that_does_not_even_listen_is_told_of(made, tmp_path, capsys):
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
    node = made()
    turn(node, node.is_ready)
    assert "code=silent" in capsys.readouterr().err
    assert node.reducer.unavailable_history.last_sent_ms
    for sock in (full, *calls):
        sock.close()


def test_one_told_to_end_before_it_has_begun_takes_nothing(made, old, held):
    talk = old(hello(), ends=True)
    node = made()
    node.shutdown.begin()
    talk()
    node.loop.run()
    assert node.downstream.listener is None
    assert not node.is_ready()


def test_a_reload_before_it_has_begun_is_taken(made, old):
    talk = old(hello(), WHOLE)
    node = made()
    node.reload()
    talk()
    turn(node, node.is_ready)
    assert node.counters.reloads == 1
    assert node.reducer.dispatcher.settings.process_share == 0.5


def test_a_name_that_a_killed_process_left_is_removed(made, tmp_path):
    left = socket.socket(socket.AF_UNIX)
    left.bind(str(tmp_path / "marlseam-99.sock"))
    left.close()
    own = socket.socket(socket.AF_UNIX)
    own.bind(str(tmp_path / f"marlseam-{os.getpid()}.new"))
    own.close()
    node = made()
    assert node.is_ready()
    assert not node.reducer.unavailable_history.last_sent_ms
    assert [path.name for path in tmp_path.glob("marlseam-*")] == [f"marlseam-{os.getpid()}.sock"]


def test_a_folder_that_cannot_be_used_stands_in_nobodys_way(held, path, tmp_path, capsys):
    env = {"EDGE_SOCKET_FD": str(os.dup(held.fileno())), "TMPDIR": str(tmp_path / "none")}
    node = Node(load(str(path), env))
    assert node.is_ready()
    assert "code=unheard" in capsys.readouterr().err
    node.is_reducing = True
    node.loop.finish()


def test_where_unix_sockets_are_refused_a_node_starts_and_says_so(made, refuse, tmp_path, capsys):
    # A call to a process found in the folder raised, and the node did not start.
    (tmp_path / "marlseam-9.sock").touch()
    refuse(socket.AF_UNIX, errno.ENOSYS)
    node = made()
    assert node.is_ready()
    assert capsys.readouterr().err.count("code=unheard") == 2
    assert node.reducer.unavailable_history.last_sent_ms  # what the other knows stays unknown


def caller(tmp_path):
    """Return the connection of a later process."""
    sock = socket.socket(socket.AF_UNIX)
    sock.connect(str(tmp_path / f"marlseam-{os.getpid()}.sock"))
    sock.setblocking(False)
    return sock


def told(node, sock, what):
    """Return the lines that a process has told, once one of them holds some text."""
    data = b""

    def holds():
        nonlocal data
        try:
            data += sock.recv(65536)
        except BlockingIOError:
            return False
        return what in data

    turn(node, holds)
    return data.splitlines()


def test_a_later_process_is_told_what_there_is_and_what_comes(made, tmp_path):
    node = made(settings=PAYMENTS)
    node.reducer.idempotency_records.add(
        "k8", AttemptRecord("e1", 0, 4, node.loop.now(), node.loop.now() + 9999.0)
    )
    later = caller(tmp_path)
    rows = [item for raw in told(node, later, b'"whole"') for item in form.parse_line(raw)]
    assert [type(row).__name__ for row in rows] == ["Hello", "ListPart", "AttemptSent", "SnapshotEnd"]
    node.effects.record(
        core.PersistAttempt("9", "k9", AttemptRecord("e1", 0, 4, node.loop.now(), node.loop.now() + 1.0))
    )
    (row,) = form.parse_line(told(node, later, b"k9")[-1])
    assert (row.key, row.server, row.zone, row.cell) == ("k9", "e1", "here", 4)
    node.effects.record(core.ErasePersisted("k9", "e1", node.loop.now()))
    assert type(form.parse_line(told(node, later, b"never")[-1])[0]) is AttemptNeverRan
    later.close()


def masked(raw):
    """Return a line with the times and the process's number in it left out."""
    return re.sub(rb'(?<="process":)\d+|\d{10,}(\.\d+)?', b"#", raw)


def test_what_a_later_process_is_told_has_the_form_of_53bfa1a(made, tmp_path):
    node = made(settings=PAYMENTS)
    trace = AttemptRecord("e1", 0, 4, node.loop.now(), node.loop.now() + 9999.0)
    node.reducer.idempotency_records.add("k8", trace)
    later = caller(tmp_path)
    lines = told(node, later, b'"whole"')
    node.effects.record(core.PersistAttempt("9", "k9", trace))
    node.effects.record(core.ErasePersisted("k9", "e1", node.loop.now()))
    lines += told(node, later, b"never")
    node.handover.close()
    lines += told(node, later, b"over")
    later.close()
    assert [masked(raw) for raw in lines] == CONVERSATION.splitlines()


def test_what_a_process_of_53bfa1a_told_is_taken_whole(made, old):
    # Recorded from the program itself: a list, a sending, then one that never ran and the end.
    began, until = now_ms(), now_ms() + 9000.0
    hosts = json.dumps(HOSTS).encode()
    talk = old(
        b'{"marlseam":1,"node":"node","process":17,"epoch":%f}\n' % node_epoch_ms(),
        b'{"seq":41,"hosts":%b}\n' % hosts,
        b'{"sent":[["k1","e1","here",4,%f,%f],["k2","e1","here",4,%f,%f]]}\n' % (began, until, began, until),
        b'{"whole":true}\n{"never":["k2","e1",%f]}\n{"over":true}\n' % began,
        ends=True,
    )
    node = made(settings=PAYMENTS)
    talk()
    turn(node, lambda: node.is_ready() and not node.handover.peers)
    assert node.discovery.version == 41
    assert not node.reducer.unavailable_history.last_sent_ms
    ((key, trace),) = node.reducer.idempotency_records
    assert (key, trace.server, trace.zone, trace.cell) == ("k1", "e1", 0, 4)
    assert abs(trace.until_ms - node.loop.now() - 9000.0) < 2000.0


def test_limits_and_budgets_are_shared_while_two_processes_serve(made, tmp_path):
    node = made()
    whole = node.downstream.limits.clients, node.upstream.pool.max_connections
    later = caller(tmp_path)
    turn(node, lambda: node.handover.peers)
    shared = node.downstream.limits.clients, node.upstream.pool.max_connections
    assert all(2 * part <= all_ for part, all_ in zip(shared, whole, strict=True))
    assert node.reducer.dispatcher.settings.process_share == 0.5
    node.reload()
    assert node.reducer.dispatcher.settings.process_share == 0.5
    later.close()
    turn(node, lambda: not node.handover.peers)
    assert (
        node.downstream.limits.clients,
        node.upstream.pool.max_connections,
    ) == whole
    assert node.reducer.dispatcher.settings.process_share == 1.0


def test_a_second_upgrade_during_the_first_shares_with_both(made, tmp_path):
    node = made()
    first, second = caller(tmp_path), caller(tmp_path)
    for number, sock in ((5, first), (6, second)):
        sock.sendall(hello(process=number))
    turn(node, lambda: len([p for p in node.handover.peers if p.hello]) == 2)
    assert node.reducer.dispatcher.settings.process_share == pytest.approx(1 / 3)
    first.close()
    second.close()


def test_more_connections_than_the_part_are_closed_where_they_stand_unused(made, held, tmp_path, monkeypatch):
    node = made()
    socks = [socket.create_connection(held.getsockname()) for _ in range(4)]
    turn(node, lambda: len(node.downstream.idle) == 4)
    node.downstream.configure(node.config.deployment, AdmissionLimits(2, 1e9))
    assert len(node.downstream.idle) == 2
    for sock in socks:
        sock.close()


def test_one_that_does_not_read_is_left_behind(made, tmp_path, monkeypatch, capsys):
    monkeypatch.setattr(handover_module, "MAX_UNSENT_BYTES", 1000)
    node = made()
    later = caller(tmp_path)
    told(node, later, b'"whole"')
    trace = AttemptRecord("e1", 0, 4, 0.0, 1.0)
    for i in range(100000):
        node.effects.record(core.PersistAttempt(str(i), f"key {i}", trace))
        if not node.handover.peers:
            break
    assert not node.handover.peers
    assert "code=behind" in capsys.readouterr().err
    later.close()


@given(
    st.lists(
        st.builds(
            AttemptSent,
            st.text(min_size=1, max_size=9),
            st.text(min_size=1, max_size=9),
            st.text(max_size=9),
            st.integers(-5, 9),
            st.floats(0, 1e13),
            st.floats(0, 1e13),
        ),
        max_size=450,
    )
)
def test_sendings_come_back_as_they_were_told(rows):
    raws = list(form.encode_snapshot(1, [], rows))
    assert [item for raw in raws for item in form.parse_line(raw)] == [*rows, form.SnapshotEnd()]


@given(st.binary(max_size=300))
def test_no_line_does_more_than_be_refused(raw):
    try:
        assert isinstance(form.parse_line(raw), list)
    except form.InvalidLineError as odd:
        assert odd.code in ("odd", "version")


def test_an_old_process_that_hangs_stands_in_nobodys_way(held, start):
    old = start()
    old.send_signal(signal.SIGSTOP)
    new = start()
    answer, sock = ask(held)
    assert answer.startswith(b"HTTP/1.1 200 ")
    sock.close()
    while "code=silent" not in (line := new.stderr.readline()):
        assert line
    old.kill()
    while "code=cut" not in (line := new.stderr.readline()):
        assert line


def test_a_new_process_that_dies_leaves_the_old_one_as_it_was(held, start):
    old = start()
    new = start()
    while "told of" not in (line := new.stderr.readline()):
        assert line
    new.kill()
    while "code=cut" not in (line := old.stderr.readline()):
        assert line
    answer, sock = ask(held)
    assert answer.startswith(b"HTTP/1.1 200 ")
    sock.close()
    third = start()
    while "told of" not in (line := third.stderr.readline()):
        assert line
