"""Operators' calls that take a node out of service and put it back in service."""

from http_samples import REQUEST
from operator_calls import read_more, send_request

from marlseam.net import downstream, graceful_shutdown

READINESS_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"


def connect_idle_client(node, client, reply):
    """Return a client's connection that is idle after one request."""
    sock = client(READINESS_REQUEST)
    reply(sock)
    while not node.downstream.idle:
        node.loop.turn()
    return sock


def test_a_node_out_of_service_is_not_ready_and_closes_each_connection_after_its_answer(
    node, client, reply, call_operator
):
    assert call_operator("POST", "/control/out-of-service").status == 200
    for _ in range(2):
        data = reply(client(READINESS_REQUEST))
        assert data.startswith(b"HTTP/1.1 503 ")
        assert b"Connection: close" in data
        assert call_operator("GET", "/control/ready").status == 503
        node.reload()
    send_request(node, client)  # a load balancer may still send requests, which are accepted


def test_open_requests_are_completed_out_of_service(node, client, reply, call_operator):
    sock, request_id = send_request(node, client)
    call_operator("POST", "/control/out-of-service")
    node.requests.answer(request_id, 200, [], b"r")
    data = reply(sock)
    assert data.startswith(b"HTTP/1.1 200 ")
    assert b"Connection: close" in data
    assert read_more(node, sock) == b""


def test_idle_connections_are_closed_after_their_grace_period(node, client, reply, call_operator):
    sock = connect_idle_client(node, client, reply)
    begun_ms = node.loop.now()
    call_operator("POST", "/control/out-of-service")
    assert node.downstream.idle
    assert read_more(node, sock) == b""
    assert node.loop.now() - begun_ms >= graceful_shutdown.IDLE_GRACE_MS


def test_a_connection_accepted_late_in_a_drain_has_a_grace_period(node, client, call_operator, monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "IDLE_GRACE_MS", 0.0)
    call_operator("POST", "/control/out-of-service")
    sock = client(b"")
    while not node.downstream.idle:
        node.loop.turn()
    opened_ms = node.loop.now()
    assert read_more(node, sock) == b""
    assert node.loop.now() - opened_ms >= 0.9 * downstream.NEW_GRACE_MS


def test_a_request_that_arrives_in_pieces_during_a_drain_is_accepted(
    node, client, reply, call_operator, monkeypatch
):
    monkeypatch.setattr(graceful_shutdown, "IDLE_GRACE_MS", 0.0)
    sock = connect_idle_client(node, client, reply)
    sock.sendall(REQUEST[:30])
    call_operator("POST", "/control/out-of-service")
    end_ms = node.loop.now() + 3 * downstream.DRAIN_CHECK_MS
    node.loop.call_at(end_ms, lambda: None)
    while node.loop.now() < end_ms:
        node.loop.turn()
    sock.sendall(REQUEST[30:])
    while not node.requests.pending:
        node.loop.turn()


def test_pipelined_requests_are_answered_before_their_connection_ends(node, client, call_operator):
    call_operator("POST", "/control/out-of-service")
    sock = client(READINESS_REQUEST * 3)
    data = b""
    while more := read_more(node, sock):
        data += more
    assert data.count(b"HTTP/1.1 503 ") == 3
    assert data.count(b"Connection: close") == 1


def test_a_node_back_in_service_is_ready_and_keeps_connections_open(node, client, reply, call_operator):
    call_operator("POST", "/control/out-of-service")
    call_operator("POST", "/control/out-of-service")
    assert (
        call_operator("POST", "/control/in-service").status
        == call_operator("POST", "/control/in-service").status
        == 200
    )
    data = reply(client(READINESS_REQUEST))
    assert data.startswith(b"HTTP/1.1 200 ")
    assert b"Connection: close" not in data
    end_ms = node.loop.now() + graceful_shutdown.IDLE_GRACE_MS + 2 * downstream.DRAIN_CHECK_MS
    node.loop.call_at(end_ms, lambda: None)
    while node.loop.now() < end_ms:
        node.loop.turn()
    assert node.downstream.idle


def test_sigterm_during_a_drain_ends_the_process_and_cannot_be_revoked(node, call_operator, monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "LISTEN_MS", 200.0)
    call_operator("POST", "/control/out-of-service")
    node.shutdown.begin()
    assert call_operator("POST", "/control/in-service").status == 409
    assert call_operator("POST", "/control/out-of-service").status == 200
    node.loop.run()
    assert node.loop.stopped
