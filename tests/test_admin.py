"""Operators' calls: answers, limits of connections and bytes, and precedence over clients' requests."""

from dataclasses import replace

import pytest
from http_samples import REQUEST
from operator_calls import read_more

from marlseam.net import admin, limits
from marlseam.net.admin import AdminCall
from marlseam.net.loop import PRIORITIZED_CHECK_MS


def test_the_readiness_call_answers_200_while_the_node_has_servers_and_503_without(node, call_operator):
    assert call_operator("GET", "/control/ready").status == 200
    node.discovery.entries.clear()
    assert call_operator("GET", "/control/ready").status == 503


@pytest.mark.parametrize(
    ("method", "path", "headers", "status", "contained"),
    [
        ("GET", "/control/odd", "", 404, "no such path"),
        ("GET", "/statement", "", 404, "no such path"),
        ("POST", "/control/ready", "", 405, "Allow: GET"),
        ("GET", "/control/ready", "Content-Length: x\r\n", 400, "close"),
        ("GET", "/control/ready", f"X-Long: {'x' * 40000}\r\n", 431, "close"),
        ("GET", "/control/ready", "Content-Length: 9999999\r\n", 413, "close"),
    ],
)
def test_an_invalid_call_is_refused_with_its_reason(call_operator, method, path, headers, status, contained):
    answer = call_operator(method, path, headers)
    assert answer.status == status
    assert contained in answer.head + answer.body


def test_operators_calls_are_unknown_at_the_clients_address(client, reply):
    assert reply(client(b"GET /control/counters HTTP/1.1\r\nHost: h\r\n\r\n")).startswith(b"HTTP/1.1 404 ")


def test_a_connection_serves_one_call(node, client, reply):
    sock = client(b"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n" * 2, node.admin)
    data = reply(sock) + read_more(node, sock)
    assert b"Connection: close" in data
    assert data.count(b"HTTP/1.1 200") == 1


def test_a_call_that_is_incomplete_at_its_time_limit_is_answered_408(node, client, reply, monkeypatch):
    monkeypatch.setattr(admin, "CALL_MS", 20.0)
    assert reply(client(b"GET /control/re", node.admin)).startswith(b"HTTP/1.1 408 ")


def test_connections_without_a_complete_call_are_bounded_and_delay_no_call(node, client, call_operator):
    silent = [client(b"GET /con", node.admin) for _ in range(3 * limits.OPERATOR_CONNECTIONS)]
    while len(node.admin.open) < limits.OPERATOR_CONNECTIONS:
        node.loop.turn()
    begun_ms = node.loop.now()
    assert call_operator("GET", "/control/ready").status == 200
    assert node.loop.now() - begun_ms < admin.CALL_MS
    assert len(node.admin.open) <= limits.OPERATOR_CONNECTIONS
    assert read_more(node, silent[0]) == b""


def test_a_call_that_comes_in_a_long_turn_is_answered_within_it(node, client):
    # Guards against operators' calls that wait behind busy clients: each client's step takes long here.
    requests_before_call, taken = [], []

    def answer_call(_):
        requests_before_call.append(len(taken))
        return 200, ""

    def take_slowly(pending):
        if not taken:
            client(b"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n", node.admin)
        taken.append(pending)
        end_ms = node.loop.now() + 2.0 * PRIORITIZED_CHECK_MS
        while node.loop.now() < end_ms:
            pass
        return node.requests.take(pending)

    node.admin.calls = {"/control/ready": AdminCall("GET", answer_call)}
    node.downstream.take_request = take_slowly
    socks = [client(b"") for _ in range(10)]
    while len(node.downstream.idle) < 10:
        node.loop.turn()
    for i, sock in enumerate(socks):
        sock.sendall(REQUEST.replace(b"9b", b"w%d" % i))
    node.loop.turn()
    assert len(taken) == 10
    assert requests_before_call[:1] in ([1], [2])


def test_a_node_without_an_admin_address_has_no_server_for_calls(node):
    other = type(node)(replace(node.config, admin=None, listen=("127.0.0.1", 0)))
    assert other.admin is None
    other.busy = True
    other.loop.finish()
