"""Bytes that arrive as a connection closes, and flooding clients (docs/design/endings.md)."""

import os
import select
import socket
from contextlib import suppress

import pytest
from conftest import ANSWER
from loopback_servers import (
    NEVER_RAN_RESPONSE,
    NO_PROBES,
    SAFE_REQUEST,
    UNSAFE_REQUEST,
    is_closed_by_peer,
    reset_connection,
    response_of_states,
    run_loop,
    run_until,
)

from marlseam import core
from marlseam.decisions.types import Outcome
from marlseam.net.downstream import NEW_GRACE_MS, WRITE_TIMEOUT_MS
from marlseam.net.loop import LATE, READY

# Bytes that arrive at the instant at which the node closes a connection.


@pytest.fixture
def call_before_close(node, monkeypatch):
    """Return a function that schedules a call between the last read of a client's socket and its close."""
    close = node.loop.close

    def prepare(call):
        connections = list(node.downstream.open)

        def call_and_close(sock):
            if any(sock is connection.sock for connection in connections):
                call()
            close(sock)

        monkeypatch.setattr(node.loop, "close", call_and_close)

    return prepare


def close_for_capacity(node):
    node.downstream.close_one()


def close_in_drain(node):
    node.downstream.drain(0.0, 0.0)


def close_idle(node):
    (task,) = node.downstream.idle.values()
    task.step(LATE)


def finish_loop(node):
    node.loop.finish()


@pytest.mark.parametrize("close_connection", [close_for_capacity, close_in_drain, close_idle, finish_loop])
@pytest.mark.parametrize("is_used", [False, True], ids=["new", "used"])
def test_a_request_sent_as_its_connection_is_closed_is_not_read(
    node, client, list_test_servers, advance_clock, call_before_close, close_connection, is_used
):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    sock = client(SAFE_REQUEST if is_used else b"")
    if is_used:
        run_until(node, lambda: b"abc" in server.read())
        server.held[0].sendall(ANSWER)
        run_until(
            node, lambda: node.requests.last_request_id and not node.requests.pending and node.downstream.idle
        )
        assert sock.recv(1 << 16).startswith(b"HTTP/1.1 200 ")
    run_until(node, lambda: node.downstream.idle)
    advance_clock(NEW_GRACE_MS)
    sent_meanwhile = []
    call_before_close(lambda: sent_meanwhile.append(sock.sendall(SAFE_REQUEST.replace(b"9b", b"9c"))))
    close_connection(node)
    if close_connection is not finish_loop:
        run_loop(node)
    assert sent_meanwhile
    assert is_closed_by_peer(sock)
    assert not node.downstream.open
    assert node.requests.last_request_id == is_used
    assert b"abc" not in server.read()


def test_the_last_answer_on_a_connection_is_complete_though_a_request_arrives_at_its_close(
    node, client, list_test_servers, call_before_close
):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    sock = client(SAFE_REQUEST)
    run_until(node, lambda: b"abc" in server.read())
    node.downstream.drain(0.0, 10000.0)
    call_before_close(lambda: sock.sendall(SAFE_REQUEST.replace(b"9b", b"9c")))
    body = b"r" * 60000
    node.requests.answer("1", 200, [], body)
    run_until(node, lambda: not node.downstream.open)
    answer = b""
    while len(answer) < len(body):
        received = sock.recv(1 << 16)
        assert received
        answer += received
    assert answer.endswith(b"\r\n\r\n" + body)
    assert node.requests.last_request_id == 1


def test_all_sockets_send_small_writes_without_delay(node, client, list_test_servers):
    # Guards against bytes that the system delays (Nagle's algorithm) and that a reset would discard.
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    client(SAFE_REQUEST)
    run_until(node, server.accept)
    (connection,), (attempt,) = node.downstream.open, node.upstream.attempts.in_flight.values()
    run_until(node, lambda: attempt.has_begun)
    for descriptor in (connection.sock.fileno(), attempt.task.fd):
        sock = socket.socket(fileno=os.dup(descriptor))
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        sock.close()


LAST_RESPONSES = {
    "half a line": response_of_states(b"done")[:-20],
    "the last line": response_of_states(b"done"),
    "a refusal": NEVER_RAN_RESPONSE,
    "returned": response_of_states(b"returned"),
}


@pytest.mark.parametrize("response", LAST_RESPONSES.values(), ids=LAST_RESPONSES)
@pytest.mark.parametrize("request_bytes", [SAFE_REQUEST, UNSAFE_REQUEST], ids=["safe", "unsafe"])
def test_an_attempt_that_is_cancelled_as_its_server_answers_has_one_outcome(
    node, client, list_test_servers, monkeypatch, response, request_bytes
):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    sock = client(request_bytes)
    run_until(node, lambda: b"abc" in server.read())
    events, close, post = [], node.loop.close, node.upstream.attempts.post
    node.upstream.attempts.post = lambda event: (events.append(event), post(event))

    def answer_and_close(closing):
        if server.held and closing.fileno() == attempt_fd:
            server.held[0].sendall(response)
        close(closing)

    (attempt,) = node.upstream.attempts.in_flight.values()
    attempt_fd = attempt.task.fd
    monkeypatch.setattr(node.loop, "close", answer_and_close)
    sock.close()
    run_until(node, lambda: attempt.task.done)
    run_loop(node)
    assert [event.outcome for event in events if type(event) is core.AttemptEnded] == [Outcome.CANCELLED]
    assert not node.reducer.open_requests
    assert b"abc" not in server.read()


@pytest.mark.parametrize("event", [READY, LATE])
def test_a_response_that_arrived_by_its_time_limit_is_used_though_the_loop_is_late(
    node, client, list_test_servers, reply, advance_clock, event
):
    # The loop runs late: the response has arrived, and its time limit has expired, in the same turn.
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    sock = client(SAFE_REQUEST)
    run_until(node, lambda: b"abc" in server.read())
    (attempt,) = node.upstream.attempts.in_flight.values()
    server.held[0].sendall(ANSWER)
    while not select.select([attempt.task.fd], [], [], 0)[0]:
        pass
    advance_clock(node.upstream.timeouts.accept_ms + 1.0)
    attempt.task.step(event)
    assert reply(sock).startswith(b"HTTP/1.1 200 ")
    assert node.counters.attempts == 1


# Clients that flood.


def test_clients_that_flood_and_disconnect_do_not_affect_others(node, client, list_test_servers):
    (server,) = list_test_servers("e1", backlog=128, ceilings=NO_PROBES)
    run_loop(node)
    descriptors_before = len(os.listdir("/proc/self/fd"))
    flood_bytes = SAFE_REQUEST * 200 + b"x" * 100000
    flooding_clients = [client(b"") for _ in range(60)]
    for number, sock in enumerate(flooding_clients):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
        with suppress(BlockingIOError):
            sock.sendall(flood_bytes.replace(b"9b", b"f%d" % number) if number % 2 else b"\x00" * 100000)
    run_loop(node, 3)  # some connections are being read, others are not accepted yet
    for number, sock in enumerate(flooding_clients):
        (reset_connection if number % 3 else socket.socket.close)(sock)
    other_client = client(SAFE_REQUEST)
    run_until(
        node, lambda: any(pending.client_request.id == "9b" for pending in node.requests.pending.values())
    )
    run_until(node, lambda: len(node.downstream.open) == 1)
    assert len(node.requests.pending) == 1
    assert len(node.reducer.open_requests) == 1
    run_until(node, lambda: b"9b" in server.read())
    for sock in server.held:
        with suppress(OSError):
            sock.sendall(ANSWER)
    run_until(node, lambda: not node.requests.pending)
    assert other_client.recv(1 << 16).startswith(b"HTTP/1.1 200 ")
    other_client.close()
    run_until(node, lambda: not node.downstream.open and not node.upstream.attempts.in_flight)
    node.upstream.pool.close()
    for sock in server.held:
        sock.close()
    assert len(os.listdir("/proc/self/fd")) <= descriptors_before
    assert not sum(node.downstream.reserved_bytes.values())


def test_requests_of_a_burst_of_clients_that_disconnect_all_end(node, client, list_test_servers):
    servers = list_test_servers("e1", "e2", "e3", ceilings=NO_PROBES)
    client_sockets = [client(SAFE_REQUEST.replace(b"9b", b"w%d" % number)) for number in range(120)]
    run_until(node, lambda: node.requests.last_request_id == len(client_sockets))
    run_loop(node)
    assert node.reducer.dispatcher.pending_queues
    assert node.upstream.attempts.in_flight
    for server in servers:
        server.read()
    for number, sock in enumerate(client_sockets):
        (reset_connection if number % 2 else socket.socket.close)(sock)
    run_until(node, lambda: not node.requests.pending)
    attempts = node.counters.attempts
    run_loop(node, 100)
    assert not node.reducer.open_requests
    assert not node.reducer.dispatcher.pending_queues
    assert not node.upstream.attempts.in_flight
    assert node.counters.attempts == attempts
    assert not any(b"POST" in server.read() for server in servers)


# Cases that the node cannot prevent, whatever the order of its steps.


def test_a_connection_made_as_the_listener_closes_is_reset_not_left_silent(
    node, list_test_servers, monkeypatch
):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    address, close, late_clients = node.downstream.sock.getsockname(), node.loop.close, []

    def connect_and_close(sock):
        if sock is node.downstream.sock:  # after the last check of its accept queue
            late_clients.append(socket.create_connection(address))
            late_clients[0].sendall(SAFE_REQUEST)
        close(sock)

    monkeypatch.setattr(node.loop, "close", connect_and_close)
    node.downstream.stop_listening()
    with pytest.raises(ConnectionResetError):
        late_clients[0].recv(1)  # its client is notified at once; the node has read and sent nothing
    run_loop(node)
    assert not node.requests.last_request_id
    assert not server.accept()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)
    late_clients[0].close()


def test_a_client_that_does_not_read_its_answer_is_closed_and_its_request_is_not_retried(
    node, client, list_test_servers, advance_clock, shrink_sockets
):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    node.downstream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # accepted sockets inherit it
    shrink_sockets()
    sock = client(SAFE_REQUEST)
    run_until(node, lambda: b"abc" in server.read())
    (connection,) = node.downstream.open
    node.requests.answer("1", 200, [], b"r" * 3000000)
    run_loop(node)
    assert node.downstream.open
    advance_clock(WRITE_TIMEOUT_MS + 1.0)
    run_until(node, lambda: not node.downstream.open)
    assert connection.closed
    assert node.requests.last_request_id == 1
    assert b"abc" not in server.read()
    sock.close()
