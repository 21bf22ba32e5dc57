"""The X-Time-Left that a node sends to a server exceeds its client's by 0.15 s at most (docs/node.md)."""

import re
import socket
import time
from collections.abc import Iterator
from typing import NamedTuple

import pytest
from loopback_servers import SAFE_REQUEST, response_of

from marlseam.net.node import Node

MAX_EXCESS_S = 0.15  # by which the time left sent to a server may exceed what the client has left
RUN_S = 0.15  # how long a server runs each request
TIME_LEFT_S = 2.0  # of each request as its client sends it


class ReceivedRequest(NamedTuple):
    """When a server received a request (monotonic clock), and the X-Time-Left sent with it."""

    at_s: float
    time_left_s: float

    def excess_s(self, began_s: float) -> float:
        """Return by how much the time left exceeds that of a client whose request was sent at `began_s`."""
        return self.time_left_s - (TIME_LEFT_S - (self.at_s - began_s))


class SlowServer:
    """A server that completes each request RUN_S after its arrival.

    Attributes:
        held: the accepted connections
        received: the requests received
        due: the responses still to be sent: when, on which socket, and for which request id
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.held: list[socket.socket] = []
        self.due: list[tuple[float, socket.socket, bytes]] = []
        self.received: list[ReceivedRequest] = []
        node.upstream.update_endpoints({"e1"}, {"e1": self.sock.getsockname()})

    def run_turn(self) -> None:
        """Accept a connection, read requests, send the due responses, and run one turn of the node's loop."""
        self.accept()
        for sock in self.held:
            self.read(sock)
        while self.due and self.due[0][0] <= time.monotonic():
            _, sock, request_id = self.due.pop(0)
            sock.sendall(response_of(b'{"id":"%b","from":"e1","state":"done","result":"r"}\n' % request_id))
        self.node.loop.call_at(self.node.loop.now() + 5.0, lambda: None)
        self.node.loop.turn()

    def accept(self) -> None:
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            return
        sock.setblocking(False)
        self.held.append(sock)

    def read(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(65536)
        except BlockingIOError:
            return
        if data.startswith(b"POST"):
            now_s, head = time.monotonic(), data.lower()
            time_left_s = float(re.search(rb"x-time-left: *([0-9.]+)", head)[1])
            self.received.append(ReceivedRequest(now_s, time_left_s))
            self.due.append((now_s + RUN_S, sock, re.search(rb"x-correlation-id: *(\S+)", head)[1]))
        elif data:
            sock.sendall(response_of(b"{}"))

    def close(self) -> None:
        for sock in (self.sock, *self.held):
            sock.close()


@pytest.fixture
def slow_server(node: Node) -> Iterator[SlowServer]:
    server = SlowServer(node)
    yield server
    server.close()


def request(number: int) -> bytes:
    return SAFE_REQUEST.replace(b"X-Time-Left: 5", b"X-Time-Left: %.1f" % TIME_LEFT_S).replace(
        b"9b", b"%db" % number
    )


def test_pipelined_requests_are_sent_with_the_time_left(client, slow_server):
    began_s = time.monotonic()
    client(b"".join(request(number) for number in range(4)))
    while len(slow_server.received) < 4:
        assert time.monotonic() - began_s < 5.0
        slow_server.run_turn()
    assert max(received.excess_s(began_s) for received in slow_server.received) < MAX_EXCESS_S


def test_a_request_from_the_accept_queue_is_sent_with_the_time_left(node, client, slow_server):
    listener = node.downstream.listener
    has_capacity, listener.has_capacity = listener.has_capacity, lambda _short: False
    began_s = time.monotonic()
    client(request(1))
    while time.monotonic() - began_s < 0.6:
        slow_server.run_turn()
    listener.has_capacity = has_capacity
    while not slow_server.received:
        assert time.monotonic() - began_s < 3.0
        slow_server.run_turn()
    (received,) = slow_server.received
    assert received.excess_s(began_s) < MAX_EXCESS_S


def test_a_request_that_came_while_the_loop_was_blocked_is_sent_with_the_time_left(client, slow_server):
    sock = client(b"")
    for _ in range(5):
        slow_server.run_turn()
    began_s = time.monotonic()
    sock.sendall(request(1))
    time.sleep(0.5)
    while not slow_server.received:
        assert time.monotonic() - began_s < 3.0
        slow_server.run_turn()
    (received,) = slow_server.received
    assert received.excess_s(began_s) < MAX_EXCESS_S
