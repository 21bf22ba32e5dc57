"""Connections and requests of a node that shuts down or closes connections for want of capacity.

See docs/design/endings.md.
"""

import socket
from dataclasses import replace

import pytest
from conftest import OPTIONS
from loopback_servers import (
    NO_PROBES,
    SAFE_REQUEST,
    UNSAFE_REQUEST,
    is_closed_by_peer,
    run_loop,
    run_until,
)

from marlseam.configuration import deployment_from
from marlseam.net import graceful_shutdown

SHUTDOWN_PERIODS = ("LISTEN_MS", "MAX_DRAIN_MS", "ANSWER_MS", "EXIT_MS")

# Shutdown.


def test_requests_in_the_accept_queue_are_accepted_as_the_listener_closes(node, client, list_test_servers):
    list_test_servers("e1", ceilings=NO_PROBES)
    client_sockets = [client(SAFE_REQUEST.replace(b"9b", b"w%d" % number)) for number in range(20)]
    node.downstream.stop_listening()
    run_until(node, lambda: node.requests.last_request_id == len(client_sockets))


def test_requests_in_the_accept_queue_beyond_the_limit_are_refused_as_the_listener_closes(
    node, client, list_test_servers, reply
):
    list_test_servers("e1", ceilings=NO_PROBES)
    node.downstream.limits = replace(node.downstream.limits, clients=1)
    client_sockets = []
    for number in range(4):
        client_sockets.append(client(SAFE_REQUEST.replace(b"9b", b"w%d" % number)))
        run_loop(node, 5)
    node.downstream.stop_listening()
    assert node.requests.last_request_id == len(node.downstream.open) == 1  # the limit is kept
    for client_socket in client_sockets[1:]:
        assert reply(client_socket).startswith(b"HTTP/1.1 503 ")
        assert client_socket.recv(1) == b""
        assert not client_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def test_a_request_that_is_still_arriving_as_the_node_ends_is_refused(node, client, reply, monkeypatch):
    for name in SHUTDOWN_PERIODS:
        monkeypatch.setattr(graceful_shutdown, name, 1.0)
    client_socket = client(SAFE_REQUEST[:-1])
    run_until(node, lambda: node.downstream.reading)
    node.shutdown.begin()
    node.loop.run()
    assert reply(client_socket).startswith(b"HTTP/1.1 503 ")
    assert is_closed_by_peer(client_socket)


def test_a_removed_request_class_does_not_lengthen_the_shutdown(node):
    # Guards against a shutdown of the greatest length, past the time at which this deployment sends SIGKILL:
    # a class that only an earlier configuration had is kept with an infinite deadline.
    remaining_classes = [OPTIONS["requestClasses"][0] | {"deadlineUs": 1000000}]
    node.adopt(
        replace(
            node.config,
            deployment=deployment_from(
                OPTIONS | {"requestClasses": remaining_classes}, before=node.config.deployment
            ),
        )
    )
    began_ms = node.loop.now()
    node.shutdown.begin()
    assert node.reducer.answer_by_ms - began_ms == pytest.approx(
        1000.0 + graceful_shutdown.ANSWER_MS, abs=50.0
    )


def test_a_request_behind_one_that_is_answered_near_the_end_is_answered_too(node, client, list_test_servers):
    list_test_servers("e1", ceilings=NO_PROBES)
    client_socket = client(SAFE_REQUEST)
    run_until(node, lambda: node.requests.last_request_id == 1)
    node.downstream.drain(0.0, 10000.0)
    client_socket.sendall(SAFE_REQUEST.replace(b"9b", b"9c"))  # still unread when the first is answered
    node.requests.answer("1", 200, [], b"")
    run_until(node, lambda: node.requests.last_request_id == 2)
    node.requests.answer("2", 200, [], b"")
    run_until(node, lambda: not node.downstream.open)
    data = client_socket.recv(1 << 16)
    assert data.count(b"HTTP/1.1 200 ") == 2
    assert data.count(b"Connection: close") == 1
    assert not client_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


@pytest.mark.parametrize("longest_ms", [100.0, 500.0, 1000.0, 3000.0, 20000.0])
def test_all_requests_are_answered_and_the_node_ends_before_the_earliest_sigkill(
    node, client, reply, list_test_servers, longest_ms
):
    request_classes = [
        row | {"deadlineUs": longest_ms * 1000.0, "aimUs": 50000} for row in OPTIONS["requestClasses"]
    ]
    (server,) = list_test_servers("e1", ceilings=NO_PROBES, requestClasses=request_classes)
    client_socket = client(UNSAFE_REQUEST)
    run_until(node, lambda: b"abc" in server.read())  # the server hangs from here on
    unfinished = client(SAFE_REQUEST[:-1])  # and this request stays incomplete
    run_until(node, lambda: node.downstream.reading)
    began_ms = node.loop.now()
    node.shutdown.begin()
    clock = node.loop.now
    lead_ms = [0.0]  # by how much the node's clock is ahead of real time
    node.loop.now = lambda: clock() + lead_ms[0]
    while not node.loop.stopped:
        lead_ms[0] += 5.0  # shortens the test, which is about the time that a shutdown takes
        node.loop.call_at(node.loop.now(), lambda: None)
        node.loop.turn()
    kill_ms = min(longest_ms, 3000.0) + 700.0
    assert node.loop.now() - began_ms < kill_ms
    assert not node.requests.pending
    assert reply(client_socket).startswith(b"HTTP/1.1 500 ")  # an unsafe request that may have run
    assert reply(unfinished)[:13] in (b"HTTP/1.1 503 ", b"HTTP/1.1 408 ")


def test_a_second_sigterm_and_new_settings_do_not_change_the_shutdown(node, client, list_test_servers):
    list_test_servers("e1", ceilings=NO_PROBES)
    node.shutdown.begin()
    answer_by_ms, close_answered_at_ms = node.reducer.answer_by_ms, node.downstream.close_answered_at_ms
    node.shutdown.begin()
    node.reload()
    assert (node.reducer.answer_by_ms, node.downstream.close_answered_at_ms) == (
        answer_by_ms,
        close_answered_at_ms,
    )
    assert node.shutdown.is_ending
    client(SAFE_REQUEST)
    run_until(node, lambda: node.requests.last_request_id == 1)  # new connections are still accepted
    (state,) = node.reducer.open_requests.values()
    assert state.request.deadline_at_ms <= answer_by_ms


def test_a_request_that_arrives_as_its_connections_idle_time_ends_is_accepted(node, client):
    client_socket = client(b"")
    run_until(node, lambda: node.downstream.idle)
    (task,) = node.downstream.idle.values()
    client_socket.sendall(SAFE_REQUEST)
    task.step("late")  # the idle time ends in the turn in which the request comes
    run_until(node, lambda: node.requests.last_request_id == 1)


# Connections closed to make room.


def test_a_request_that_is_still_arriving_is_refused_where_its_connection_is_closed_to_make_room(
    node, client, reply
):
    client_socket = client(SAFE_REQUEST[:-2])
    run_until(node, lambda: node.downstream.reading)
    client_socket.sendall(SAFE_REQUEST[-2:-1])  # unread: closing would reset the connection
    assert node.downstream.close_one()
    assert reply(client_socket).startswith(b"HTTP/1.1 503 ")
    assert client_socket.recv(1) == b""
    assert not client_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)  # no reset
