"""The deadline told to a server is at most what its client has left, with 0.15 s of slack (docs/node.md)."""

import re
import socket
import time

import pytest
from test_endings import REQUEST

SLACK_S = 0.15
WORK_S = 0.15


def told(head: bytes) -> float:
    """Return the time left that a server is told."""
    return float(re.search(rb"x-time-left: *([0-9.]+)", head.lower())[1])


@pytest.fixture
def serve(node):
    """Return a function that answers requests after a while, and when each came and what it was told."""

    server = socket.create_server(("127.0.0.1", 0))
    server.setblocking(False)
    node.upstream.update_endpoints({"e1"}, {"e1": server.getsockname()})
    open_, due, seen = [], [], []

    def play() -> None:
        try:
            sock, _ = server.accept()
            sock.setblocking(False)
            open_.append(sock)
        except BlockingIOError:
            pass
        for sock in open_:
            try:
                data = sock.recv(65536)
            except BlockingIOError:
                continue
            if data.startswith(b"POST"):
                seen.append((time.monotonic(), told(data)))
                id = re.search(rb"x-correlation-id: *(\S+)", data.lower())[1]
                due.append((time.monotonic() + WORK_S, sock, id))
            elif data:
                sock.sendall(b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\n{}")
        while due and due[0][0] <= time.monotonic():
            _, sock, id = due.pop(0)
            line = b'{"id":"%b","from":"e1","state":"done","result":"r"}\n' % id
            sock.sendall(b"HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))
        node.loop.at(node.loop.now() + 5.0, lambda: None)
        node.loop.turn()

    yield play, seen
    for sock in (server, *open_):
        sock.close()


def request(number: int, left_s: float) -> bytes:
    return REQUEST.replace(b"X-Time-Left: 5", b"X-Time-Left: %.1f" % left_s).replace(b"9b", b"%db" % number)


def test_requests_sent_at_once_on_one_connection_are_told_what_is_left(node, client, serve):
    play, seen = serve
    began = time.monotonic()
    client(b"".join(request(number, 2.0) for number in range(4)))
    while len(seen) < 4:
        assert time.monotonic() - began < 5.0
        play()
    over = [left - (2.0 - (at - began)) for at, left in seen]
    assert max(over) < SLACK_S


def test_a_request_that_stood_in_the_accept_queue_is_told_what_is_left(node, client, serve):
    play, seen = serve
    room, node.downstream.listener.has_capacity = node.downstream.listener.has_capacity, lambda short: False
    began = time.monotonic()
    client(request(1, 2.0))
    while time.monotonic() - began < 0.6:
        play()
    node.downstream.listener.has_capacity = room
    while not seen:
        assert time.monotonic() - began < 3.0
        play()
    ((at, left),) = seen
    assert left - (2.0 - (at - began)) < SLACK_S


def test_a_request_that_came_while_the_loop_was_held_up_is_told_what_is_left(node, client, serve):
    play, seen = serve
    sock = client(b"")
    for _ in range(5):
        play()
    began = time.monotonic()
    sock.sendall(request(1, 2.0))
    time.sleep(0.5)
    while not seen:
        assert time.monotonic() - began < 3.0
        play()
    ((at, left),) = seen
    assert left - (2.0 - (at - began)) < SLACK_S
