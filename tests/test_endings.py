"""Handling of requests and attempts when a client, an attempt or a server ends (docs/design/endings.md).

Each unfavourable order of events is forced on real sockets: the test itself acts as the servers and clients,
and runs the node's loop in between, so that the order is the same in every run.
"""

import socket

import pytest
from conftest import ANSWER, OPTIONS
from loopback_servers import (
    NEVER_RAN_RESPONSE,
    NO_PROBES,
    NO_PROBES_NO_CANCEL,
    PIPELINED_BYTES,
    SAFE_REQUEST,
    UNSAFE_REQUEST,
    close_sending_side,
    fill_accept_queue,
    hold_at_durability_barrier,
    is_closed_by_peer,
    reset_connection,
    run_loop,
    run_until,
    update_endpoint_list,
)

from marlseam import core
from marlseam.decisions.types import EndpointState, ListUpdateKind
from marlseam.net.connection import MAX_PIPELINED_BYTES

# The end of a client's connection is detected, however many of its bytes are unread.


@pytest.mark.parametrize(
    "end_client",
    [socket.socket.close, reset_connection, close_sending_side],
    ids=["closes", "resets", "half"],
)
@pytest.mark.parametrize("sent_ahead", [b"", b"GET", PIPELINED_BYTES], ids=["nothing", "some", "much"])
def test_a_clients_end_is_detected_behind_what_it_sent_ahead(
    node, client, list_test_servers, end_client, sent_ahead
):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    client_socket = client(SAFE_REQUEST + sent_ahead)
    run_until(node, server.accept)
    assert node.requests.pending
    run_until(node, lambda: b"abc" in server.read())
    started = b'{"id":"9b","from":"e1","state":"started"}\n'
    server.held[0].sendall(
        ANSWER[: ANSWER.index(b"\r\n\r\n") + 4] + b"%x\r\n%b\r\n" % (len(started), started)
    )
    run_loop(node)  # the request runs, and only its client's end would end it soon
    (connection,) = node.downstream.open
    run_until(
        node,
        lambda: not sent_ahead
        or (
            connection.has_pipelined()
            and (sent_ahead is not PIPELINED_BYTES or len(connection.buffer) >= MAX_PIPELINED_BYTES)
        ),
    )
    end_client(client_socket)
    run_until(node, lambda: not node.downstream.open)
    assert not node.requests.pending
    assert not node.reducer.open_requests
    assert not node.upstream.attempts.in_flight
    run_until(
        node, lambda: is_closed_by_peer(server.held[0]) or server.read() and is_closed_by_peer(server.held[0])
    )


@pytest.mark.parametrize("end_client", [socket.socket.close, reset_connection], ids=["closes", "resets"])
def test_a_request_of_a_client_that_left_before_it_was_read_is_not_sent(
    node, client, list_test_servers, end_client
):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    client_socket = client(SAFE_REQUEST)
    end_client(client_socket)  # while the connection waits in the accept queue
    run_loop(node)
    run_until(node, lambda: not node.downstream.open)
    assert node.requests.last_request_id == 0
    assert not server.accept()


def test_the_second_request_of_a_client_that_left_during_the_first_is_not_sent(
    node, client, list_test_servers
):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    client_socket = client(SAFE_REQUEST + SAFE_REQUEST.replace(b"9b", b"9c"))
    run_until(node, server.accept)
    close_sending_side(client_socket)
    server.held[0].sendall(ANSWER)
    run_loop(node)
    run_until(node, lambda: not node.downstream.open)
    assert node.requests.last_request_id == 1


# An attempt that has not begun is cancelled, also where settings forbid cancelling one that runs.


def close_client(_node, client_socket):
    client_socket.close()


def begin_shutdown(node, _client_socket):
    node.post(core.ShutdownBegun(0.0))  # all open requests are answered in the next turn of the loop


def drain_server(node, _client_socket):
    update_endpoint_list(
        node, {"e1": node.upstream.pool.servers["e1"].address}, EndpointState.DRAINING, ListUpdateKind.DELTA
    )


def restart_server(node):
    restarted = core.EndpointEntry("e1", EndpointState.READY, 0, 0, 0, node.loop.now())
    node.post(core.EndpointListUpdate(ListUpdateKind.DELTA, [restarted]))


def move_server(node, _client_socket):
    update_endpoint_list(node, {"e1": ("127.0.0.1", 1)}, listing=ListUpdateKind.DELTA)


@pytest.mark.parametrize("end_request", [close_client, begin_shutdown, drain_server, move_server])
@pytest.mark.parametrize("hold_attempt", [hold_at_durability_barrier, fill_accept_queue])
@pytest.mark.parametrize("request_bytes", [SAFE_REQUEST, UNSAFE_REQUEST], ids=["safe", "unsafe"])
def test_an_attempt_that_has_not_begun_is_cancelled_where_cancelling_is_forbidden(
    node, client, list_test_servers, end_request, hold_attempt, request_bytes
):
    (server,) = list_test_servers("e1", backlog=0, ceilings=NO_PROBES_NO_CANCEL)
    release = hold_attempt(node if hold_attempt is hold_at_durability_barrier else server)
    client_socket = client(request_bytes)
    run_until(node, lambda: node.upstream.attempts.in_flight)
    attempt = next(iter(node.upstream.attempts.in_flight.values()))
    run_loop(node)
    assert not attempt.has_begun
    end_request(node, client_socket)
    run_until(node, lambda: attempt.task.done)
    # The server's count of slots is that of the attempts in flight: a request whose server moved has a new
    # attempt, to the new address.
    assert node.reducer.dispatcher.own_slots[node.reducer.servers.by_name["e1"]] == len(
        node.upstream.attempts.in_flight
    )
    release()
    run_loop(node)
    while server.accept():
        pass
    assert b"POST" not in server.read()


@pytest.mark.parametrize("end_request", [close_client, begin_shutdown])
def test_an_attempt_that_has_begun_continues_where_cancelling_is_forbidden(
    node, client, list_test_servers, end_request
):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES_NO_CANCEL)
    client_socket = client(SAFE_REQUEST)
    run_until(node, server.accept)
    run_until(node, lambda: b"abc" in server.read())
    end_request(node, client_socket)
    run_loop(node)
    assert node.upstream.attempts.in_flight
    assert not is_closed_by_peer(server.held[0])
    server.held[0].sendall(ANSWER)
    run_until(node, lambda: not node.upstream.attempts.in_flight)
    assert not node.reducer.open_requests


def test_a_restarted_server_receives_no_attempt_started_before_its_restart(node, client, list_test_servers):
    (server,) = list_test_servers("e1", backlog=0, ceilings=NO_PROBES_NO_CANCEL)
    release = fill_accept_queue(server)
    client(SAFE_REQUEST)
    run_until(node, lambda: node.upstream.attempts.in_flight)
    attempt = next(iter(node.upstream.attempts.in_flight.values()))
    restart_server(node)
    assert attempt.task.done
    assert not attempt.has_begun
    release()


def test_an_attempt_that_could_be_sent_only_after_the_deadline_is_not_sent(node, client, list_test_servers):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    release = hold_at_durability_barrier(node)
    client(SAFE_REQUEST)
    run_until(node, lambda: node.upstream.attempts.in_flight)
    attempt = next(iter(node.upstream.attempts.in_flight.values()))
    late_ms = node.loop.now() + 10000.0
    # The loop runs late: the record becomes durable in a turn after the deadline.
    node.loop.now = lambda: late_ms
    release()
    attempt.task.step("ready")
    run_loop(node)
    assert attempt.task.done
    assert not attempt.has_begun
    assert b"POST" not in server.read()


def test_a_cancelled_attempt_leaves_no_record_and_the_keys_next_request_is_sent(
    node, client, list_test_servers
):
    keyed_class = OPTIONS["requestClasses"][0] | {
        "semantics": "keyed",
        "dedupScope": "cell",
        "memorySpanUs": 30000000,
        "oneAtATime": True,
        "aimStretch": 20,
    }
    (server,) = list_test_servers("e1", backlog=0, ceilings=NO_PROBES_NO_CANCEL, requestClasses=[keyed_class])
    release = fill_accept_queue(server)
    keyed_request = SAFE_REQUEST.replace(b"/statement", b"/statement?user=u").replace(
        b"Host: h", b"Host: h\r\nIdempotency-Key: k%d"
    )
    first = client(keyed_request % 1)
    run_until(node, lambda: node.upstream.attempts.in_flight)
    client((keyed_request % 2).replace(b"9b", b"9c"))
    run_until(node, lambda: node.requests.last_request_id == 2)
    (attempt,) = node.upstream.attempts.in_flight.values()
    assert node.reducer.idempotency_records.attempts("k1", node.loop.now())
    first.close()
    run_until(node, lambda: attempt.task.done and node.upstream.attempts.in_flight)
    assert not node.reducer.idempotency_records.attempts("k1", node.loop.now())  # it provably never ran
    # The next request of the resource key is sent.
    assert node.reducer.idempotency_records.attempts("k2", node.loop.now())
    assert list(node.reducer.open_requests) == ["2"]
    release()


def test_a_retry_that_could_be_sent_only_after_the_deduplication_window_is_not_sent(
    node, client, list_test_servers
):
    keyed_class = OPTIONS["requestClasses"][0] | {
        "semantics": "keyed",
        "dedupScope": "all",
        "memorySpanUs": 1000000,
        "aimStretch": 20,
    }
    one, two = list_test_servers("e1", "e2", ceilings=NO_PROBES, requestClasses=[keyed_class])
    client(SAFE_REQUEST.replace(b"Host: h", b"Host: h\r\nIdempotency-Key: k"))
    run_until(node, lambda: b"abc" in one.read() + two.read())
    (attempt,) = node.upstream.attempts.in_flight.values()
    release = hold_at_durability_barrier(node)  # holds the next attempt, as a slow connection would
    (one if attempt.server == "e1" else two).held[0].sendall(b"nonsense\r\n\r\n")
    run_until(node, lambda: attempt.task.done and node.upstream.attempts.in_flight)
    (second,) = node.upstream.attempts.in_flight.values()
    late_ms = node.loop.now() + 1000.0  # within the deadline
    node.loop.now = lambda: late_ms
    release()
    second.task.step("ready")
    run_loop(node)
    assert second.task.done
    assert not second.has_begun
    assert b"abc" not in one.read() + two.read()


def test_a_request_whose_client_leaves_while_probes_are_in_flight_is_not_sent(
    node, client, list_test_servers
):
    (server,) = list_test_servers("e1")
    client_socket = client(SAFE_REQUEST)
    run_until(node, lambda: b"/-/load" in server.read())
    client_socket.close()
    run_until(node, lambda: not node.requests.pending)
    server.held[0].sendall(b"HTTP/1.1 200 -\r\nContent-Length: 12\r\n\r\nTEXT queue=0")
    run_loop(node)
    assert b"POST" not in server.read()
    assert not node.reducer.open_requests


def test_a_request_whose_client_leaves_while_it_is_queued_is_not_sent(node, client, list_test_servers):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    client_socket = client(SAFE_REQUEST)
    run_until(node, lambda: b"abc" in server.read())
    server.held[0].sendall(NEVER_RAN_RESPONSE)  # the request is queued: its only server is at capacity
    run_until(node, lambda: not node.upstream.attempts.in_flight and node.reducer.dispatcher.pending_queues)
    client_socket.close()
    run_until(node, lambda: not node.requests.pending)
    node.reducer.dispatcher.at_capacity[node.reducer.servers.by_name["e1"]] = False
    node.reducer.dispatcher.dispatch_queue()
    run_loop(node)
    assert b"POST" not in server.read()
    assert not node.reducer.open_requests
    assert not node.reducer.dispatcher.pending_queues


def test_a_request_whose_client_leaves_while_its_key_is_busy_is_not_sent(node, client, list_test_servers):
    ordered_class = OPTIONS["requestClasses"][0] | {"oneAtATime": True, "aimStretch": 20}
    (server,) = list_test_servers("e1", ceilings=NO_PROBES, requestClasses=[ordered_class])
    keyed_request = SAFE_REQUEST.replace(b"/statement", b"/statement?user=u")
    first = client(keyed_request)
    run_until(node, lambda: b"abc" in server.read())
    second = client(keyed_request.replace(b"9b", b"9c"))
    run_until(node, lambda: node.requests.last_request_id == 2)
    second.close()
    run_until(node, lambda: len(node.requests.pending) == 1)
    server.held[0].sendall(ANSWER)
    run_until(node, lambda: not node.requests.pending)
    run_loop(node)
    assert b"POST" not in server.read()
    assert not node.reducer.open_requests
    assert not node.reducer.dispatcher.key_queues
    assert first.recv(1000).startswith(b"HTTP/1.1 200 ")
