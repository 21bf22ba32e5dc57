"""Requests are answered in time: in a shutdown, where none was sent, where servers hang.

See docs/design/endings.md.
"""

import re
from contextlib import suppress
from dataclasses import replace

import pytest
from conftest import ANSWER, OPTIONS
from loopback_servers import (
    CLASS_OF_EACH_IDEMPOTENCY,
    KEYED_REQUEST,
    NO_PROBES,
    SAFE_REQUEST,
    UNSAFE_REQUEST,
    fill_accept_queue,
    hold_at_durability_barrier,
    response_of,
    run_loop,
    run_until,
    update_endpoint_list,
)

from marlseam import core
from marlseam.configuration import deployment_from
from marlseam.decisions.types import EndpointState, ListUpdateKind
from marlseam.net.downstream import NEW_GRACE_MS

TIME_LEFT_MS = 900.0  # of each request at its start, until its deadline
ANSWER_GRACE_MS = 500.0  # by which an answer may come after the deadline
LONGEST_SHUTDOWN_MS = 3700.0  # from the signal to the end of the loop


def answer_all(server, name):
    """Complete all requests that a server has received."""
    while server.accept():
        pass
    for sock in server.held:
        with suppress(BlockingIOError, ConnectionResetError):
            for request_id in re.findall(rb"x-correlation-id: (\S+)", sock.recv(1 << 20), re.IGNORECASE):
                last_line = b'{"id":"%b","from":"%b","state":"done","result":"r"}\n' % (request_id, name)
                sock.sendall(response_of(last_line))


# From SIGTERM to the end of the node, on every connection that stays open.


def test_a_request_at_any_instant_between_sigterm_and_the_end_is_answered_or_never_read(
    node, client, list_test_servers, advance_clock
):
    good_server, hanging_server = list_test_servers("e1", "e2", ceilings=NO_PROBES)
    idle_clients = [client(b"") for _ in range(200)]
    run_until(node, lambda: len(node.downstream.idle) == len(idle_clients))
    advance_clock(NEW_GRACE_MS)
    sent, requests_before = [], node.requests.last_request_id

    def send_request(on_new_connection):
        number = len(sent)
        short_request = SAFE_REQUEST.replace(b"Left: 5", b"Left: 0.3")
        data = (UNSAFE_REQUEST, short_request)[number % 2].replace(b"9b", b"w%d" % number)
        with suppress(OSError):  # the connection was closed, or nothing listens: a client would go elsewhere
            if on_new_connection:
                sent.append(client(data))
            elif idle_clients:
                sent.append(idle_clients.pop())
                sent[-1].sendall(data)

    close_idle, finish = node.downstream.close_idle, node.shutdown.finish
    # Requests arrive just before the drain and the shutdown check the connections.
    node.downstream.close_idle = lambda: (send_request(False), close_idle())
    node.shutdown.finish = lambda at_ms: (send_request(False), finish(at_ms))
    update_endpoint_list(node, {"e2": hanging_server.address})
    for _ in range(8):
        send_request(False)
    # The unsafe ones of these requests, sent to the hanging server, hang until the end.
    run_until(node, lambda: node.requests.last_request_id - requests_before == len(sent))
    update_endpoint_list(node, {"e1": good_server.address, "e2": hanging_server.address})
    began_ms = node.loop.now()
    node.shutdown.begin()
    while not node.loop.stopped:
        send_request(False)
        send_request(True)
        for _ in range(4):
            advance_clock(6.0)
            run_loop(node, 1)
            answer_all(good_server, b"e1")
    assert node.loop.now() - began_ms < LONGEST_SHUTDOWN_MS
    assert not node.requests.pending
    node.loop.finish()
    answers = []
    for sock in sent:
        sock.settimeout(10.0)  # not reached: the node has closed all connections
        with suppress(ConnectionResetError):
            answers.append(sock.recv(1 << 16))
    received = [answer for answer in answers if answer]
    assert {b"200", b"500"} <= {answer[9:12] for answer in received} <= {b"200", b"500", b"503"}
    assert all(b"\r\n\r\n" in answer for answer in received)
    assert len(received) == node.requests.last_request_id - requests_before
    assert len(received) > 100


# A request that was never sent to a server is rejected by half a second after its deadline.


def empty_list(node, _server):
    node.post(core.EndpointListUpdate(ListUpdateKind.FULL, []))


def drain_all(node, server):
    update_endpoint_list(node, {"e1": server.address}, EndpointState.DRAINING)


def refuse_connections(node, _server):
    update_endpoint_list(node, {"e1": ("127.0.0.1", 1)})


def hang_connecting(_node, server):
    fill_accept_queue(server)


def hold_durability(node, _server):
    hold_at_durability_barrier(node)


def hang_probes(node, _server):
    deployment = deployment_from(OPTIONS | {"requestClasses": CLASS_OF_EACH_IDEMPOTENCY})
    node.adopt(replace(node.config, deployment=deployment))


@pytest.mark.parametrize(
    "keep_from_sending",
    [empty_list, drain_all, refuse_connections, hang_connecting, hold_durability, hang_probes],
)
@pytest.mark.parametrize(
    "request_bytes", [SAFE_REQUEST, UNSAFE_REQUEST, KEYED_REQUEST], ids=["safe", "unsafe", "keyed"]
)
@pytest.mark.parametrize("late_ms", [1.0, 450.0], ids=["in time", "late"])
def test_a_request_that_was_never_sent_is_rejected_by_half_a_second_after_its_deadline(
    node, client, list_test_servers, advance_clock, keep_from_sending, request_bytes, late_ms
):
    (server,) = list_test_servers(
        "e1", backlog=0, ceilings=NO_PROBES, requestClasses=CLASS_OF_EACH_IDEMPOTENCY
    )
    keep_from_sending(node, server)
    sock = client(request_bytes.replace(b"Left: 5", b"Left: 0.9"))
    run_until(node, lambda: node.requests.last_request_id)
    began_ms, answer = node.loop.now(), b""
    while not answer:
        run_loop(node, 10)
        with suppress(BlockingIOError):
            answer = sock.recv(1 << 16)
            break
        assert node.loop.now() - began_ms < TIME_LEFT_MS + ANSWER_GRACE_MS + 50.0
        advance_clock(late_ms if late_ms > 1.0 else 20.0)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert node.loop.now() - began_ms < TIME_LEFT_MS + ANSWER_GRACE_MS
    assert not node.counters.attempts


# Servers whose connections are established late, or which hang.


@pytest.mark.parametrize(
    "request_bytes", [SAFE_REQUEST, UNSAFE_REQUEST, KEYED_REQUEST], ids=["safe", "unsafe", "keyed"]
)
def test_an_attempt_whose_connection_is_not_established_delays_no_other_and_never_ran(
    node, client, list_test_servers, advance_clock, reply, request_bytes
):
    slow_server, good_server = list_test_servers(
        "e1", "e2", backlog=0, ceilings=NO_PROBES, requestClasses=CLASS_OF_EACH_IDEMPOTENCY
    )
    release = fill_accept_queue(slow_server)
    update_endpoint_list(node, {"e1": slow_server.address})  # so that the first attempt goes to this server
    sock = client(request_bytes)
    run_until(node, lambda: node.upstream.attempts.in_flight)
    update_endpoint_list(node, {"e1": slow_server.address, "e2": good_server.address})
    # So that the next request goes to the other server.
    node.reducer.dispatcher.at_capacity[node.reducer.servers.by_name["e1"]] = True
    second_client = client(request_bytes.replace(b"9b", b"9c").replace(b"-Key: k", b"-Key: l"))
    run_until(node, lambda: b"abc" in good_server.read())  # while the first request still waits
    good_server.held[0].sendall(ANSWER.replace(b'"e1"', b'"e2"').replace(b"9b", b"9c"))
    assert reply(second_client).startswith(b"HTTP/1.1 200 ")
    assert node.upstream.attempts.in_flight
    advance_clock(node.config.deployment.connect_ms)
    run_until(node, lambda: b"abc" in good_server.read())
    good_server.held[-1].sendall(ANSWER.replace(b'"e1"', b'"e2"'))
    assert reply(sock).startswith(b"HTTP/1.1 200 ")
    release()
    run_loop(node)
    assert b"POST" not in slow_server.read()
    assert node.counters.attempts == 2


@pytest.mark.parametrize("late_ms", [20.0, 450.0], ids=["in time", "late"])
@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [(SAFE_REQUEST, b"503"), (UNSAFE_REQUEST, b"500"), (KEYED_REQUEST, b"500")],
    ids=["safe", "unsafe", "keyed"],
)
def test_a_request_whose_server_hangs_is_answered_by_half_a_second_after_its_deadline(
    node, client, list_test_servers, advance_clock, request_bytes, status, late_ms
):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES, requestClasses=CLASS_OF_EACH_IDEMPOTENCY)
    sock = client(request_bytes.replace(b"Left: 5", b"Left: 0.9"))
    run_until(node, lambda: b"abc" in server.read())
    began_ms, answer = node.loop.now(), b""
    while not answer:
        assert node.loop.now() - began_ms < TIME_LEFT_MS + ANSWER_GRACE_MS
        run_loop(node, 10)
        with suppress(BlockingIOError):
            answer = sock.recv(1 << 16)
            break
        advance_clock(late_ms)
    assert answer[9:12] == status
