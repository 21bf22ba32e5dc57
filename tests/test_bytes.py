"""Requests split over reads, silent connections and disconnecting clients: no misread bytes, no leaks."""

import os
import socket

import h11
import pytest
from http_samples import CHUNKED_REQUEST, REQUEST
from hypothesis import example, given
from hypothesis import strategies as st
from scripted_socket import ScriptedSocket

from marlseam.net import admin, downstream, http
from marlseam.net.connection import Connection
from marlseam.net.downstream import AdmissionLimits
from marlseam.net.log import Log
from marlseam.net.loop import READY, Loop

STREAM = (
    REQUEST + CHUNKED_REQUEST + b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n" + REQUEST.replace(b"9b", b"9c")
)


def read_requests(pieces, count):
    """Return the first `count` requests that are read from a stream received in these pieces."""
    loop = Loop(lambda _: None)
    connection = Connection(loop, Log("test", loop.now), ScriptedSocket(pieces), h11.SERVER, "test")
    requests = []
    for _ in range(count):
        steps = http.read(connection, loop.now() + 9999.0, lambda _method, _target: None, 1000)
        try:
            next(steps)
            while True:
                steps.send(READY)
        except StopIteration as end:
            request = end.value
            requests.append((request.method, request.target, dict(request.head), request.body))
        connection.http.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
        connection.http.send(h11.EndOfMessage())
        assert connection.start_next_message()
    connection.sock.close()
    loop.poll.close()
    loop.prioritized.close()
    return requests


REQUESTS_OF_STREAM = read_requests((STREAM,), 4)


@example(list(range(1, len(STREAM))))
@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=40, unique=True))
def test_a_stream_of_requests_is_read_the_same_however_it_is_split(cuts):
    bounds = [0, *sorted(cuts), len(STREAM)]
    pieces = tuple(STREAM[start:end] for start, end in zip(bounds, bounds[1:], strict=False))
    assert read_requests(pieces, 4) == REQUESTS_OF_STREAM
    assert [body for _, _, _, body in REQUESTS_OF_STREAM] == [b"abc", b"abc", b"", b"abc"]


def count_descriptors():
    """Return the number of descriptors that this process has open."""
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("sent_bytes", [0, 1, 20, REQUEST.index(b"\r\n\r\n"), len(REQUEST) - 1, len(REQUEST)])
@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_disconnects_at_any_point_leaves_no_state(node, client, sent_bytes, reset):
    descriptors_before, tasks_before = count_descriptors(), len(node.loop.tasks)
    sock = client(REQUEST[:sent_bytes])
    is_whole = sent_bytes == len(REQUEST)
    while not (node.requests.pending if is_whole else node.downstream.open):
        node.loop.turn()
    if reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    sock.close()
    end_ms = node.loop.now() + 5000.0
    while node.downstream.open or len(node.loop.tasks) > tasks_before:
        assert node.loop.now() < end_ms
        node.loop.call_at(node.loop.now() + 5.0, lambda: None)
        node.loop.turn()
    assert not node.requests.pending
    assert not node.downstream.reserved_bytes
    assert not node.downstream.request_ids
    assert count_descriptors() <= descriptors_before


def test_a_client_that_disconnects_during_its_answer_leaves_no_state(node, client):
    sock = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
    node.requests.answer("1", 200, [], b"x" * (1 << 23))
    for _ in range(3):
        node.loop.call_at(node.loop.now(), lambda: None)
        node.loop.turn()
    assert node.downstream.open
    sock.close()
    while node.downstream.open:
        node.loop.turn()
    assert not node.downstream.reserved_bytes


def test_a_client_that_does_not_read_its_answer_is_disconnected(node, client, monkeypatch):
    monkeypatch.setattr(downstream, "WRITE_TIMEOUT_MS", 50.0)
    client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    node.requests.answer("1", 200, [], b"x" * (1 << 23))
    while node.downstream.open:
        node.loop.turn()


def test_connections_of_clients_leave_operators_their_connections(node, client, reply):
    node.downstream.limits = AdmissionLimits(5, 1e9)
    for _ in range(40):
        client(b"POST /statement")
    for _ in range(5):
        node.loop.turn()
    assert len(node.downstream.open) <= 5
    assert reply(client(b"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n", node.admin)).split()[1] == b"200"


def test_operators_connections_that_fall_silent_time_out_and_leave_no_tasks(node, client, monkeypatch):
    monkeypatch.setattr(admin, "CALL_MS", 20.0)
    monkeypatch.setattr(http, "LINGER_MS", 20.0)
    tasks_before = len(node.loop.tasks)
    for data in (b"", b"GET", b"POST /control/in-service HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"):
        client(data, node.admin)
    while not node.admin.open:
        node.loop.turn()
    while node.admin.open:
        node.loop.turn()
    assert len(node.loop.tasks) <= tasks_before
