"""A node continues to serve when it needs a descriptor and none is left (docs/design/endings.md)."""

import contextlib
import json
import os
import signal
import socket

import pytest
from limited_node import (
    DESCRIPTOR_LIMIT,
    LIST_CALL,
    MAX_CLIENTS,
    READINESS_REQUEST,
    LimitedNode,
    ScriptedServer,
    child_processes,
    operator_address,
)


@pytest.fixture
def make_limited_node(tmp_path):
    """Return a function that makes nodes under a descriptor limit, with own settings by table."""
    made = []

    def build(**values):
        made.append(LimitedNode(tmp_path, **values))
        return made[-1]

    yield build
    for each in made:
        each.close()


# The system's limit is reached before the node's own: each need for a descriptor, with idle clients.


def test_discovery_is_called_when_it_returns_with_no_descriptor_left(make_limited_node):
    limited = make_limited_node()
    limited.add_idle_clients(5)
    limited.use_up_descriptors()
    # Clients closed for a call to discovery that was due meanwhile and was refused.
    closed_before = sum(limited.is_closed(sock) for sock in limited.clients)
    limited.discovery.listen()
    limited.run_until(lambda: limited.discovery.received or "no-sockets" in limited.end_reasons("discovery"))
    assert limited.discovery.received
    assert limited.discovery.received[0].startswith(LIST_CALL)
    assert "no-sockets" not in limited.end_reasons("discovery")
    closed = sum(limited.is_closed(sock) for sock in limited.clients)
    assert closed - closed_before <= 1 <= closed  # at most one more, and at least one in total
    limited.assert_all_given_back()


def test_an_attempt_that_is_due_with_no_descriptor_left_is_sent(make_limited_node):
    limited = make_limited_node()
    limited.add_idle_clients(5)
    limited.use_up_descriptors()
    before = len(limited.server.received)
    limited.serve_client(limited.clients[-1])  # on an open connection; the connection to the server is new
    assert len(limited.server.received) == before + 1
    assert "no-sockets" not in limited.end_reasons("server e1")
    assert limited.is_closed(limited.clients[0])  # the longest idle client
    limited.assert_all_given_back()


def test_an_operator_is_answered_with_no_descriptor_left(make_limited_node):
    limited = make_limited_node()
    limited.add_idle_clients(5)
    operators = operator_address(limited)
    limited.use_up_descriptors()
    sock = limited.connect(b"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n", operators)
    assert limited.read_answer(sock).startswith(b"HTTP/1.1 200 ")
    limited.assert_all_given_back()


def test_a_new_configuration_is_read_with_no_descriptor_left(make_limited_node):
    limited = make_limited_node()
    limited.add_idle_clients(5)
    other_discovery = ScriptedServer()
    limited.path.write_text(json.dumps(limited.values | {"discovery": other_discovery.address}))
    limited.use_up_descriptors()
    limited.process.send_signal(signal.SIGHUP)
    limited.run_until(lambda: "the configuration" in limited.log or "new configuration" in limited.log)
    assert f"new configuration, discovery at {other_discovery.address}" in limited.log
    limited.assert_all_given_back()
    other_discovery.close()


@pytest.mark.parametrize("count", [1, 40])
def test_clients_with_requests_are_served_with_no_descriptor_left(make_limited_node, count):
    limited = make_limited_node()
    limited.add_idle_clients(5)
    limited.use_up_descriptors()
    with limited.stopped():  # so that the requests have arrived when the connections are accepted
        client_sockets = [limited.connect(limited.request()) for _ in range(count)]
    answers = [limited.read_answer(sock) for sock in client_sockets]
    failed = [answer for answer in answers if not answer.startswith(b"HTTP/1.1 200 ")]
    assert not failed, (failed, limited.log)
    limited.assert_all_given_back()


def test_the_writer_process_is_started_again_with_no_descriptor_left(make_limited_node, tmp_path):
    limited = make_limited_node(store=f'folder = "{tmp_path}/state"\nsync = "written"')
    limited.run_until(lambda: "state is kept in" in limited.log)
    limited.own_descriptors = limited.settled_descriptor_count()
    limited.add_idle_clients(12)
    (child,) = child_processes(limited.process.pid)
    limited.use_up_descriptors()
    os.kill(child, signal.SIGKILL)  # the node's writer process
    limited.run_until(
        lambda: limited.log.count("state is kept in") == 2 or limited.log.count("is not kept") == 2
    )
    assert limited.log.count("state is kept in") == 2, limited.log
    limited.assert_all_given_back()


# No connection can be closed, since each has a request in flight. Spares are held for the node's own needs.


def test_discovery_operators_and_configurations_have_spares_where_all_work_is_out(make_limited_node):
    limited = make_limited_node()
    limited.server_answers = False
    operators = operator_address(limited)

    def add_client_with_request():
        limited.connect(limited.request(b"posting"))
        pending_line = b"\npending=%d\n" % len(limited.clients)
        limited.run_until(lambda: pending_line in limited.call_operator(operators, b"counters"))
        # Waits until the operator's connection is closed.
        limited.run_until(
            lambda: limited.descriptor_count()
            == limited.own_descriptors + len(limited.clients) + len(limited.server.open)
        )

    while len(limited.clients) < 5 or limited.has_gap():
        add_client_with_request()
    other_discovery = ScriptedServer()
    limited.path.write_text(
        json.dumps(limited.values | {"limits": limited.values["limits"] | {"memory_mb": 200}})
    )
    limited.use_up_descriptors(add_client_with_request)
    count_in_flight = len(limited.clients)
    limited.discovery.listen()
    limited.run_until(lambda: limited.discovery.received or "no-sockets" in limited.end_reasons("discovery"))
    assert "no-sockets" not in limited.end_reasons("discovery")
    sock = limited.connect(b"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n", operators)
    assert limited.read_answer(sock).startswith(b"HTTP/1.1 200 ")
    limited.process.send_signal(signal.SIGHUP)
    limited.run_until(lambda: "the configuration" in limited.log or "new configuration" in limited.log)
    assert "new configuration" in limited.log
    # No client with a request in flight was closed.
    assert not any(limited.is_closed(client) for client in limited.clients[:count_in_flight])
    limited.assert_all_given_back()
    other_discovery.close()


# The node's own limit is reached before the system's: more clients than it accepts, during the whole test.


class ClientCrowd:
    """Clients that send nothing, a part of a request, or one request, and reconnect at once when closed."""

    def __init__(self, limited, data) -> None:
        self.limited, self.data, self.connected_count = limited, data, 0
        self.client_sockets: list[socket.socket] = []

    def step(self) -> bool:
        """Keep more clients connected than the node accepts, the rest in its queue; return `is_full`."""
        for sock in list(self.client_sockets):
            with contextlib.suppress(BlockingIOError, ConnectionResetError):
                while sock.recv(1 << 16):  # reads an answer, if there is one
                    pass
            if self.limited.is_closed(sock):
                self.client_sockets.remove(sock)
                sock.close()
        while len(self.client_sockets) < MAX_CLIENTS + 40:
            self.client_sockets.append(self.limited.connect(self.data))
            self.connected_count += 1
        return self.is_full()

    def is_full(self) -> bool:
        """Return whether the node has accepted as many clients as it may."""
        return self.limited.descriptor_count() >= self.limited.own_descriptors + MAX_CLIENTS


@pytest.mark.parametrize("data", [b"", b"POST /state", READINESS_REQUEST])
def test_a_node_at_its_limit_of_clients_meets_its_own_needs_and_serves_requests(make_limited_node, data):
    limited = make_limited_node()
    operators, crowd = operator_address(limited), ClientCrowd(limited, data)
    step = limited.step
    limited.step = lambda: (step(), crowd.step())
    limited.run_until(crowd.is_full)
    assert not limited.discovery.received
    limited.discovery.listen()
    limited.run_until(lambda: limited.discovery.received or "no-sockets" in limited.end_reasons("discovery"))
    for _ in range(5):
        limited.serve_client(limited.connect())
        sock = limited.connect(b"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n", operators)
        assert limited.read_answer(sock).startswith(b"HTTP/1.1 200 ")
    limited.path.write_text(
        json.dumps(limited.values | {"limits": limited.values["limits"] | {"memory_mb": 200}})
    )
    limited.process.send_signal(signal.SIGHUP)
    # The line is logged in spite of the many lines of the crowd's ended connections.
    limited.run_until(lambda: "new configuration" in limited.log)
    assert "no-sockets" not in limited.log
    assert limited.descriptor_count() <= DESCRIPTOR_LIMIT
    limited.step = step
    limited.assert_all_given_back()
