"""Connections of clients: requests, limits, eviction and answers."""

import resource
import socket
from dataclasses import replace

import pytest
from http_samples import CHUNKED_REQUEST, CLIENT_REQUEST, REQUEST, logged_codes

from marlseam import core
from marlseam.net import downstream as downstream_module
from marlseam.net import http, limits
from marlseam.net.downstream import AdmissionLimits
from marlseam.net.pending_request import PendingRequest

MANY_FIELDS = b"".join(b"\r\nF%d: 1" % number for number in range(101))


@pytest.mark.parametrize(
    ("sockets", "memory_mb", "max_connections"),
    [(1024, 192, 992), (96, 192, 64), (256, 32, 224), (1024, 32, 307), (40, 8, 16)],
)
def test_connections_fit_the_limits(node, monkeypatch, sockets, memory_mb, max_connections):
    unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
    monkeypatch.setattr(resource, "getrlimit", lambda _: unlimited)
    config = replace(node.config, sockets=sockets, memory_mb=memory_mb, admin=None)
    assert limits.max_connections(config) == max_connections


def test_a_node_is_ready_once_it_holds_a_list(client, reply):
    assert reply(client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")).startswith(b"HTTP/1.1 200 ")


def test_a_node_without_a_list_is_not_ready(node, client, reply):
    node.discovery.entries.clear()
    assert reply(client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")).startswith(b"HTTP/1.1 503 ")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (REQUEST.replace(b"0.5", b"x"), 400),
        (REQUEST.replace(b"POST", b"PUT"), 405),
        (REQUEST.replace(b"/statement", b"/odd"), 404),
        (REQUEST.replace(b"Length: 3", b"Length: 65537"), 413),
        (
            REQUEST.replace(b"Content-Length: 3", b"Transfer-Encoding: chunked").replace(b"abc", b"xyz\r\n"),
            400,
        ),
        (b"GET / HTTP/1.1\r\nX: " + b"x" * 40000, 431),
        pytest.param(REQUEST.replace(b"Host: h", b"Host: h" + MANY_FIELDS), 431, id="many-fields"),
        pytest.param(b"GET / HTTP/1.1" + MANY_FIELDS, 431, id="part-of-many-fields"),
        (REQUEST.replace(b"Length: 3", b"Length: 60000000") + b"x" * 100000, 413),
        (REQUEST.replace(b"Length: 3", b"Length: -3"), 400),
        (REQUEST.replace(b"Length: 3", b"Length: 3\r\nContent-Length: 3"), 400),
        (REQUEST.replace(b"Length: 3", b"Length: 3, 3"), 400),
        (REQUEST.replace(b"Length: 3", b"Length: 3\r\n , 3"), 400),
        (REQUEST.replace(b"Length: 3", b"Length: 3\r\nTransfer-Encoding: chunked"), 400),
        (REQUEST.replace(b"Length: 3", b"Length: 3\nTransfer-Encoding: chunked"), 400),
        (CHUNKED_REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"), 400),
        (CHUNKED_REQUEST.replace(b"chunked", b"gzip, chunked"), 501),
        (CHUNKED_REQUEST.replace(b"Host: h", b"Host: h\r\n folded"), 400),
        (REQUEST.replace(b"Host: h", b"Host: h\r\nX-Correlation-Id: 8c"), 400),
        (REQUEST.replace(b"Host: h", b"Host: h\r\nx-time-left: 9"), 400),
        (REQUEST.replace(b"Host: h", b"Host: h\r\nX-Service-Class: posting"), 400),
        (CHUNKED_REQUEST.replace(b"abc\r\n0", b"abc\r\n%x\r\n%b\r\n0" % (65536, b"x" * 65536)), 413),
    ],
)
def test_an_invalid_request_gets_its_status_and_is_not_passed_to_the_node(node, client, reply, data, status):
    assert reply(client(data)).startswith(b"HTTP/1.1 %d " % status)
    assert not node.requests.last_request_id


def test_a_request_in_chunks_is_accepted(node, client):
    client(CHUNKED_REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    assert node.requests.pending["1"].client_request.body == b"abc"


def test_a_request_with_many_lines_within_the_limit_is_accepted(node, client):
    lines = b"".join(b"\r\nF%d: 1" % number for number in range(90))
    client(REQUEST.replace(b"Host: h", b"Host: h" + lines).replace(b"abc", b"\n\n\n") + b"\n" * 100)
    while not node.requests.pending:
        node.loop.turn()


def test_a_request_id_in_use_is_refused_and_the_first_request_continues(node, client, reply):
    first = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    assert reply(client(REQUEST)).startswith(b"HTTP/1.1 409 ")
    node.requests.answer("1", 200, [], b"result")
    assert reply(first).endswith(b"result")
    assert not node.downstream.request_ids


@pytest.mark.parametrize(
    ("data", "last_bytes", "code"),
    [(b"", b"", "idle"), (REQUEST[:60], b"X", "timed-out"), (REQUEST[:-2], b"X", "timed-out")],
)
def test_the_time_limit_of_a_first_request_starts_at_connecting(
    node, client, capsys, monkeypatch, data, last_bytes, code
):
    monkeypatch.setattr(downstream_module, "READ_TIMEOUT_MS", 500.0)
    sock = client(data)
    while not node.downstream.open:
        node.loop.turn()
    (connection,) = node.downstream.open
    connection.opened_ms -= 500.0
    node.loop.call_at(node.loop.now(), lambda: sock.send(last_bytes))
    while node.downstream.open:
        node.loop.turn()
    assert logged_codes(capsys)[-1] == code


def test_a_connection_that_had_a_valid_request_may_stay_idle(node, client, reply, monkeypatch):
    monkeypatch.setattr(downstream_module, "READ_TIMEOUT_MS", 200.0)
    sock = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    node.requests.answer("1", 200, [], b"")
    reply(sock)
    end = node.loop.now() + 400.0
    node.loop.call_at(end, lambda: None)
    while node.loop.now() < end:
        node.loop.turn()
    assert node.downstream.idle


def test_connections_without_a_valid_request_are_evicted_first(node, client, reply, capsys):
    valid = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    node.requests.answer("1", 200, [], b"")
    reply(valid)
    silent, incomplete = client(b""), client(REQUEST[:60])
    while len(node.downstream.open) < 3:
        node.loop.turn()
    node.downstream.limits = AdmissionLimits(3, 1e9)
    for remaining in (incomplete, valid):
        client(REQUEST[:60])
        while "crowded" not in logged_codes(capsys):
            node.loop.turn()
        assert all(sock.fileno() >= 0 for sock in (remaining, valid))
    assert silent.recv(1) == b""
    assert len(node.downstream.idle) == 1
    assert incomplete.recv(1000).startswith(b"HTTP/1.1 503 ")
    assert incomplete.recv(1) == b""


def test_bodies_are_bounded_and_connections_without_a_valid_request_are_evicted(node, client, capsys):
    slow = client(REQUEST.replace(b"Length: 3", b"Length: 900"))
    while not node.downstream.reserved_bytes:
        node.loop.turn()
    node.downstream.limits = AdmissionLimits(9, 901.0)
    client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    assert slow.recv(1000).startswith(b"HTTP/1.1 503 ")
    assert slow.recv(1) == b""
    assert "crowded" in logged_codes(capsys)
    assert list(node.downstream.reserved_bytes.values()) == [3]


def test_a_body_waits_for_bytes_that_an_accepted_request_holds(node, client):
    node.downstream.limits = AdmissionLimits(9, 3.0)
    client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    client(REQUEST.replace(b"9b", b"9c"))
    while len(node.downstream.open) < 2:
        node.loop.turn()
    node.loop.call_at(node.loop.now() + 50.0, lambda: node.requests.answer("1", 200, [], b""))
    while "2" not in node.requests.pending:
        node.loop.turn()
    assert "1" not in node.requests.pending


def test_pipelined_requests_of_one_client_do_not_block_the_loop(node, client):
    request_count = 50
    client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n" * request_count)
    for _ in range(5):
        node.loop.call_at(node.loop.now(), lambda: None)
        node.loop.turn()
    (connection,) = node.downstream.open
    assert connection.messages < 10


def test_connections_accepted_in_one_turn_are_bounded(node, client):
    for _ in range(2 * http.MAX_ACCEPTS_PER_TURN):
        client(b"")
    node.loop.turn()
    assert len(node.downstream.open) <= http.MAX_ACCEPTS_PER_TURN


@pytest.mark.parametrize(
    ("effect", "start", "contained"),
    [
        (core.Respond("1", b"result"), b"HTTP/1.1 200 ", b"\r\n\r\nresult"),
        (core.Reject("1", 250.0), b"HTTP/1.1 503 ", b"Retry-After: 0.250\r\n"),
        (core.Fail("1"), b"HTTP/1.1 500 ", b"Content-Length: 0\r\n"),
        (core.Fail("1", is_invalid=True), b"HTTP/1.1 400 ", b"Connection: close\r\n"),
    ],
)
def test_a_final_answer_reaches_the_client(node, client, reply, effect, start, contained):
    sock = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    node.effects.carry_out(effect)
    data = reply(sock)
    assert data.startswith(start)
    assert contained in data


@pytest.mark.parametrize("first_write_bytes", range(1, len(REQUEST)))
def test_a_request_in_two_writes_is_accepted(node, client, first_write_bytes):
    sock = client(REQUEST[:first_write_bytes])
    while not node.downstream.open:
        node.loop.turn()
    node.loop.call_at(node.loop.now(), lambda: sock.sendall(REQUEST[first_write_bytes:]))
    while not node.requests.pending:
        node.loop.turn()
    assert node.requests.pending["1"].client_request.body == b"abc"


def test_requests_in_one_packet_are_all_answered(node, client):
    sock, data = client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n" * 5), b""
    while data.count(b"HTTP/1.1 200 ") < 5:
        try:
            data += sock.recv(65536)
        except BlockingIOError:
            node.loop.turn()


def test_the_request_of_a_client_that_disconnects_ends(node, client):
    sock = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    sock.close()
    while node.downstream.open:
        node.loop.turn()
    assert not node.requests.pending
    assert not node.reducer.open_requests


def test_an_answer_to_a_request_that_has_ended_is_dropped(node):
    node.requests.answer("9", 200, [], b"")
    assert not node.requests.pending


def test_an_answer_given_before_the_wait_is_not_lost():
    pending = PendingRequest(CLIENT_REQUEST, 0.0)
    pending.respond(200, [], b"r")
    assert pending.answer == (200, [], b"r")


def test_the_longest_idle_client_is_evicted(node, client, capsys):
    first = client(b"")
    while not node.downstream.idle:
        node.loop.turn()
    node.downstream.limits = AdmissionLimits(1, 1e9)
    client(b"")
    while "crowded" not in logged_codes(capsys):
        node.loop.turn()
    assert first.recv(1) == b""


def test_a_node_at_its_connection_limit_accepts_further_clients_later(node, client, reply):
    client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    node.downstream.limits = AdmissionLimits(1, 1e9)
    second = client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
    node.requests.answer("1", 200, [("Connection", "close")], b"")
    assert reply(second).startswith(b"HTTP/1.1 200 ")


def test_a_client_that_began_a_request_is_not_evicted(node, client):
    sock = client(b"")
    while not node.downstream.idle:
        node.loop.turn()
    sock.sendall(REQUEST)
    assert not node.downstream.close_one()
    while not node.requests.pending:
        node.loop.turn()


def test_while_draining_answers_close_their_connections(node, client, reply):
    node.shutdown.begin()
    node.downstream.drain(0.0, 0.0)
    data = reply(client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"))
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"Connection: close" in data


def test_right_after_sigterm_answers_leave_their_connections_open(node, client, reply):
    node.shutdown.begin()
    assert b"Connection: close" not in reply(client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"))


def test_no_descriptor_left_pauses_accepting_and_loses_no_client(node, client, reply):
    sock = client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with socket.socket() as free:
        first_free = free.fileno()
    resource.setrlimit(resource.RLIMIT_NOFILE, (first_free, hard))
    try:
        end, turns = node.loop.now() + 100.0, 0
        while node.loop.now() < end:
            node.loop.turn()
            turns += 1
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert turns < 30
    assert reply(sock).startswith(b"HTTP/1.1 200 ")
