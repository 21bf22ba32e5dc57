"""Requests in pieces, connections that fall silent, clients that go: nothing is misread or leaks."""

import os
import socket

import h11
import pytest
from conftest import ScriptedSocket
from hypothesis import example, given
from hypothesis import strategies as st
from test_net import CHUNKED, REQUEST

from marlseam.net import admin as admin_module
from marlseam.net import downstream as server_module
from marlseam.net import http
from marlseam.net.connection import Connection
from marlseam.net.downstream import AdmissionLimits
from marlseam.net.log import Log
from marlseam.net.loop import READY, Loop

STREAM = REQUEST + CHUNKED + b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n" + REQUEST.replace(b"9b", b"9c")


def calls(pieces, count):
    """Return the requests that are read when a stream comes in these pieces."""
    loop = Loop(lambda text: None)
    connection = Connection(loop, Log("t", loop.now), ScriptedSocket(pieces), h11.SERVER, "t")
    found = []
    for _ in range(count):
        steps = http.read(connection, loop.now() + 9999.0, lambda method, target: None, 1000)
        try:
            next(steps)
            while True:
                steps.send(READY)
        except StopIteration as end:
            found.append((end.value.method, end.value.target, dict(end.value.head), end.value.body))
        connection.http.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
        connection.http.send(h11.EndOfMessage())
        assert connection.start_next_message()
    connection.sock.close()
    loop.poll.close()
    loop.first.close()
    return found


WHOLE = calls((STREAM,), 4)


@example(list(range(1, len(STREAM))))
@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=40, unique=True))
def test_a_stream_is_read_the_same_however_it_is_cut(cuts):
    cuts = [0, *sorted(cuts), len(STREAM)]
    pieces = tuple(STREAM[a:b] for a, b in zip(cuts, cuts[1:], strict=False))
    assert calls(pieces, 4) == WHOLE
    assert [call[3] for call in WHOLE] == [b"abc", b"abc", b"", b"abc"]


def descriptors():
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("at", [0, 1, 20, REQUEST.index(b"\r\n\r\n"), len(REQUEST) - 1, len(REQUEST)])
@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_goes_at_any_point_leaves_nothing(node, client, at, reset):
    before, tasks = descriptors(), len(node.loop.tasks)
    sock = client(REQUEST[:at])
    while not (node.requests.pending if at == len(REQUEST) else node.downstream.open):
        node.loop.turn()
    if reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    sock.close()
    end = node.loop.now() + 5000.0
    while node.downstream.open or len(node.loop.tasks) > tasks:
        assert node.loop.now() < end
        node.loop.at(node.loop.now() + 5.0, lambda: None)
        node.loop.turn()
    assert not node.requests.pending
    assert not node.downstream.reserved_bytes
    assert not node.downstream.correlation_ids
    assert descriptors() <= before


def test_a_client_that_goes_during_its_answer_leaves_nothing(node, client):
    sock = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
    node.requests.answer("1", 200, [], b"x" * (1 << 23))
    for _ in range(3):
        node.loop.at(node.loop.now(), lambda: None)
        node.loop.turn()
    assert node.downstream.open
    sock.close()
    while node.downstream.open:
        node.loop.turn()
    assert not node.downstream.reserved_bytes


def test_a_client_that_does_not_read_its_answer_is_given_up(node, client, monkeypatch):
    monkeypatch.setattr(server_module, "WRITE_TIMEOUT_MS", 50.0)
    client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    node.requests.answer("1", 200, [], b"x" * (1 << 23))
    while node.downstream.open:
        node.loop.turn()


def test_a_crowd_takes_no_place_of_the_operators(node, client, reply):
    node.downstream.limits = AdmissionLimits(5, 1e9)
    for _ in range(40):
        client(b"POST /statement")
    for _ in range(5):
        node.loop.turn()
    assert len(node.downstream.open) <= 5
    assert reply(client(b"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n", node.admin)).split()[1] == b"200"


def test_operators_that_fall_silent_leave_nothing(node, client, monkeypatch):
    monkeypatch.setattr(admin_module, "CALL_MS", 20.0)
    monkeypatch.setattr(http, "LINGER_MS", 20.0)
    tasks = len(node.loop.tasks)
    for data in (b"", b"GET", b"POST /control/in-service HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"):
        client(data, node.admin)
    while not node.admin.open:
        node.loop.turn()
    while node.admin.open:
        node.loop.turn()
    assert len(node.loop.tasks) <= tasks
