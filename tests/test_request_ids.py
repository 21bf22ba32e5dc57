"""Correlation ids: at most one open request under an id, in all processes that serve as a node.

See docs/incidents/2026-12-05-id-open-in-upgrade.md.
"""

import json
import os
import signal
import socket
import subprocess
import sys

import pytest
from conftest import turn_until
from handover_samples import attempt_sent, encode_hello
from limited_node import LONG_RUNNING_CLASSES
from loopback_servers import (
    NO_PROBES,
    SAFE_REQUEST,
    UNSAFE_REQUEST,
    ListeningServer,
    response_of_states,
)
from settings_samples import ENDPOINT, NODE_CONFIG, OPTIONS

from marlseam.core.idempotency import correlation_key
from marlseam.net import downstream, process_handover
from marlseam.net.key_turns import KeyTurns
from marlseam.net.node import Node
from marlseam.net.request_ids import RequestIds
from marlseam.recovery import handover_codec

SNAPSHOT_END_LINE = handover_codec.encode_line({"whole": True})


def answer_on(node: Node, sock: socket.socket) -> bytes:
    """Run the node's loop until a client has received something, or the end of its connection."""
    sock.setblocking(False)
    data = []

    def has_come() -> bool:
        try:
            data.append(sock.recv(65536))
        except BlockingIOError:
            return False
        return True

    turn_until(node.loop, has_come)
    return data[0]


@pytest.fixture
def begun_by_processes(listening_socket, config_path, tmp_path):
    """Return a function that starts a process of the node, and the server that the processes list."""
    server, processes = ListeningServer(), []
    settings = OPTIONS | {
        "ceilings": OPTIONS["ceilings"] | NO_PROBES | {"sendCap": 1},
        "requestClasses": LONG_RUNNING_CLASSES,
    }
    hosts = [ENDPOINT | {"dial": "{}:{}".format(*server.address)}]
    known = NODE_CONFIG["known"] | {"hosts": hosts}
    config_path.write_text(json.dumps(NODE_CONFIG | {"settings": settings, "known": known}))

    def start():
        environment = os.environ | {
            "EDGE_SOCKET_FD": str(listening_socket.fileno()),
            "TMPDIR": str(tmp_path),
        }
        command = [sys.executable, "-m", "marlseam", "serve", "--config", str(config_path)]
        process = subprocess.Popen(
            command, stderr=subprocess.PIPE, text=True, env=environment, pass_fds=(listening_socket.fileno(),)
        )
        processes.append(process)
        while "listens on" not in (line := process.stderr.readline()):
            assert line
        return process

    yield start, server
    for process in processes:
        process.kill()
        process.communicate()
    server.close()


@pytest.mark.parametrize("request_bytes", [UNSAFE_REQUEST, SAFE_REQUEST], ids=["unsafe", "safe"])
def test_a_new_process_refuses_the_id_of_a_request_that_is_open_at_the_old_one(
    begun_by_processes, listening_socket, request_bytes
):
    # Guards against an unsafe request that runs twice, and against service for a client that repeats the id
    # of another client's request, during an upgrade.
    start, server = begun_by_processes
    request_bytes = request_bytes.replace(b"Left: 5", b"Left: 50")
    old = start()
    usual_client = socket.create_connection(listening_socket.getsockname(), timeout=20.0)
    usual_client.sendall(request_bytes)
    server.sock.settimeout(20.0)
    attempt, _ = server.sock.accept()
    attempt.settimeout(20.0)
    assert b"9b" in attempt.recv(65536)
    start()
    old.send_signal(signal.SIGTERM)
    while "shutdown begins" not in (line := old.stderr.readline()):
        assert line
    bad_client = socket.create_connection(listening_socket.getsockname(), timeout=20.0)
    bad_client.sendall(request_bytes)
    assert bad_client.recv(65536).startswith(b"HTTP/1.1 409 ")
    server.sock.setblocking(False)
    assert not server.read()
    attempt.sendall(response_of_states(b"started", b"done"))
    assert usual_client.recv(65536).startswith(b"HTTP/1.1 200 ")
    for sock in (usual_client, bad_client, attempt):
        sock.close()


def listen_as_old_process(tmp_path):
    """Return the listening handover socket of an old process."""
    listener = socket.socket(socket.AF_UNIX)
    listener.bind(str(tmp_path / "marlseam-1.sock"))
    listener.listen()
    return listener


@pytest.fixture
def connect_old_process(make_inheriting_node, tmp_path):
    """Return a function that starts a node beside an old process; returns both and the old one's socket.

    The old process sends the given lines after its hello.
    """
    socks = []

    def connect(*lines, **changes):
        socks.append(listen_as_old_process(tmp_path))
        node = make_inheriting_node(**changes)
        sock, _ = socks[0].accept()
        socks.append(sock)
        sock.sendall(b"".join((encode_hello(), *lines)))
        turn_until(node.loop, node.is_ready)
        return node, sock

    yield connect
    for sock in socks:
        sock.close()


def send(listening_socket, request_bytes):
    """Send a request as a new client; return the client's socket."""
    sock = socket.create_connection(listening_socket.getsockname())
    sock.sendall(request_bytes)
    return sock


def test_an_id_is_free_again_once_the_other_process_has_closed_its_request(
    connect_old_process, listening_socket
):
    ids = list(handover_codec.encode_all_opened(["9b"]))
    node, old_process = connect_old_process(*ids, SNAPSHOT_END_LINE)
    assert answer_on(node, send(listening_socket, SAFE_REQUEST)).startswith(b"HTTP/1.1 409 ")
    old_process.sendall(handover_codec.encode_closed("9b"))
    sock = send(listening_socket, SAFE_REQUEST)
    turn_until(node.loop, lambda: node.requests.pending)
    sock.close()


def test_an_id_taken_by_the_other_process_a_moment_ago_is_refused(connect_old_process, listening_socket):
    # Guards against a line that has arrived but was not read before the request.
    node, old_process = connect_old_process(*handover_codec.encode_all_opened([]), SNAPSHOT_END_LINE)
    old_process.sendall(handover_codec.encode_opened(["9b"]))
    for peer in node.handover.peers:
        peer.task.cancel()  # from here on the handover is read only when a request is taken
    assert answer_on(node, send(listening_socket, SAFE_REQUEST)).startswith(b"HTTP/1.1 409 ")


def test_each_process_is_sent_the_ids_that_are_taken_and_given_back(connect_old_process, listening_socket):
    node, old_process = connect_old_process(*handover_codec.encode_all_opened([]), SNAPSHOT_END_LINE)
    sock = send(listening_socket, SAFE_REQUEST)
    turn_until(node.loop, lambda: node.requests.pending)
    sock.close()
    turn_until(node.loop, lambda: not node.requests.pending)
    items = [
        item for line in old_process.recv(65536).splitlines() for item in handover_codec.parse_line(line)
    ]
    assert items[0].shares_ids
    assert items[1:] == [
        handover_codec.RequestsOpened([]),
        handover_codec.RequestsOpened(["9b"]),
        handover_codec.RequestClosed("9b"),
    ]


def test_a_later_process_that_asks_gets_the_open_ids_before_the_end_of_its_snapshot(
    make_inheriting_node, listening_socket, tmp_path
):
    node = make_inheriting_node()
    client = send(listening_socket, SAFE_REQUEST)
    turn_until(node.loop, lambda: node.requests.pending)
    later_process = socket.socket(socket.AF_UNIX)
    later_process.connect(str(tmp_path / f"marlseam-{os.getpid()}.sock"))
    later_process.sendall(handover_codec.encode_hello("node", 7, shares_ids=True))
    later_process.setblocking(False)
    data = bytearray()

    def is_complete():
        data.extend(answer_on(node, later_process))
        return SNAPSHOT_END_LINE in data

    turn_until(node.loop, is_complete)
    items = [item for line in data.splitlines() for item in handover_codec.parse_line(line)]
    assert items[-2:] == [handover_codec.RequestsOpened(["9b"]), handover_codec.SnapshotEnd()]
    for sock in (client, later_process):
        sock.close()


def test_unsafe_requests_are_rejected_until_the_old_process_has_told_what_it_sent(
    connect_old_process, listening_socket, monkeypatch
):
    # Guards against an unsafe request that a process without its predecessor's history sends a second time.
    monkeypatch.setattr(process_handover, "SNAPSHOT_TIMEOUT_MS", 50.0)
    node, old_process = connect_old_process()
    assert answer_on(node, send(listening_socket, UNSAFE_REQUEST)).startswith(b"HTTP/1.1 503 ")
    safe = send(listening_socket, SAFE_REQUEST)
    turn_until(node.loop, lambda: node.requests.pending)
    old_process.sendall(SNAPSHOT_END_LINE)
    turn_until(node.loop, node.handover.is_current)
    unsafe = send(listening_socket, UNSAFE_REQUEST.replace(b"9b", b"9c"))
    turn_until(node.loop, lambda: len(node.requests.pending) == 2)
    for sock in (safe, unsafe):
        sock.close()


def test_unsafe_requests_are_rejected_while_the_other_process_does_not_read(
    connect_old_process, listening_socket
):
    # Guards against an id that this process has taken and the other one, as it hangs, does not know of.
    node, _ = connect_old_process(*handover_codec.encode_all_opened([]), SNAPSHOT_END_LINE)
    (peer,) = node.handover.peers
    while not peer.unsent:
        node.handover.send_closed("x" * 200)
    assert answer_on(node, send(listening_socket, UNSAFE_REQUEST)).startswith(b"HTTP/1.1 503 ")


# Resource keys of classes whose requests run one at a time.

ORDERED = OPTIONS | {"requestClasses": [row | {"oneAtATime": True} for row in LONG_RUNNING_CLASSES]}
KEY_REQUEST = UNSAFE_REQUEST.replace(b"/posting", b"/posting?user=u")


def told(old_process):
    """Return the ids and keys that the node has told an old process, as pairs of a type and an id."""
    items = [
        item for line in old_process.recv(65536).splitlines() for item in handover_codec.parse_line(line)
    ]
    opened = [(type(item), id) for item in items if hasattr(item, "ids") for id in item.ids]
    return opened + [(type(item), item.id) for item in items if hasattr(item, "id")]


def test_requests_of_a_key_wait_in_order_for_another_process_that_holds_the_key(
    connect_old_process, listening_socket
):
    # Guards the order of a key's requests, and one at a time, during an upgrade.
    ids = handover_codec.encode_all_opened(["key u"])
    node, old_process = connect_old_process(*ids, SNAPSHOT_END_LINE, settings=ORDERED)
    taken = []
    node.downstream.take_request = lambda pending: taken.append(pending.client_request.id) or "1"
    socks = []
    for number in range(3):
        socks.append(send(listening_socket, KEY_REQUEST.replace(b"9b", b"a%d" % number)))
        turn_until(node.loop, lambda: len(node.downstream.key_turns.waiting.get("u", ())) == len(socks))
    socks.append(send(listening_socket, KEY_REQUEST.replace(b"=u", b"=v")))
    turn_until(node.loop, lambda: taken)
    assert taken == ["9b"]
    old_process.sendall(handover_codec.encode_closed("key u"))
    turn_until(node.loop, lambda: len(taken) == 4)
    assert taken == ["9b", "a0", "a1", "a2"]
    for sock in socks:
        sock.close()


def test_a_request_is_rejected_where_another_process_holds_its_key_for_long(
    connect_old_process, listening_socket, monkeypatch
):
    monkeypatch.setattr(downstream, "MAX_KEY_WAIT_MS", 50.0)
    ids = handover_codec.encode_all_opened(["key u"])
    node, _ = connect_old_process(*ids, SNAPSHOT_END_LINE, settings=ORDERED)
    assert answer_on(node, send(listening_socket, KEY_REQUEST)).startswith(b"HTTP/1.1 503 ")
    assert not node.downstream.key_turns.waiting


def test_a_key_is_held_until_its_queue_has_ended(connect_old_process, listening_socket):
    ids = handover_codec.encode_all_opened([])
    node, old_process = connect_old_process(*ids, SNAPSHOT_END_LINE, settings=ORDERED)
    sock = send(listening_socket, KEY_REQUEST)
    turn_until(node.loop, lambda: node.requests.pending)
    assert node.downstream.key_turns.held == {"u"}
    assert (handover_codec.RequestsOpened, "key u") in told(old_process)
    sock.close()
    turn_until(node.loop, lambda: not node.downstream.key_turns.held)
    assert (handover_codec.RequestClosed, "key u") in told(old_process)


def test_a_key_longer_than_a_line_takes_is_told_by_its_end(loop):
    turns = KeyTurns(loop, RequestIds())
    assert turns.hold("x" * 5000)
    (id,) = turns.request_ids.own
    assert handover_codec.parse_line(handover_codec.encode_opened([id]))


class Exchange:
    """The exchange of one of two processes; `before_read` is called between its write and its read."""

    def __init__(self, other, before_read=lambda: None):
        self.other, self.before_read = other, before_read
        self.sent, self.known = set(), set()

    def send_opened(self, id):
        self.sent.add(id)

    def send_closed(self, id):
        self.sent.discard(id)

    def catch_up(self):
        self.before_read()
        self.known = set(self.other().sent)

    def is_open_elsewhere(self, id):
        return id in self.known

    def is_current(self):
        return True


def test_of_two_processes_that_take_an_id_at_the_same_time_one_takes_it():
    first, second = RequestIds(), RequestIds()
    taken_by_second = []
    first.exchange = Exchange(lambda: second.exchange, lambda: taken_by_second.append(second.take("x")))
    second.exchange = Exchange(lambda: first.exchange)
    assert first.take("x")
    assert taken_by_second == [False]
    assert not second.take("x")
    first.give_back("x")
    assert second.take("x")


def test_an_unsafe_attempt_of_another_process_is_known_after_its_client_has_left(
    connect_old_process, listening_socket
):
    # Guards against an unsafe request that runs at both processes of an upgrade, the client having left.
    ids = handover_codec.encode_all_opened([])
    node, old_process = connect_old_process(*ids, SNAPSHOT_END_LINE)
    old_process.sendall(handover_codec.encode_sent([attempt_sent(key=correlation_key("9b"))]))
    assert answer_on(node, send(listening_socket, UNSAFE_REQUEST)).startswith(b"HTTP/1.1 500 ")
