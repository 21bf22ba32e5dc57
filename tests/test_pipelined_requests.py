"""Requests that a client sends ahead on one connection are answered, within bounds on memory.

See docs/incidents/2026-12-05-requests-sent-ahead.md.
"""

import contextlib
from dataclasses import replace

import pytest
from http_samples import REQUEST
from loopback_servers import run_until

from marlseam.net.buffer import MAX_GROWTH, Buffer
from marlseam.net.client_connections import MAX_PIPELINED_BYTES, PIPELINED_SHARE
from marlseam.net.connection import PIPELINED_CHECK_MS

BODY_BYTES = 10000
ANSWER_AFTER_MS = 2.0 * PIPELINED_CHECK_MS  # so that the node looks at what was sent ahead


def sized_request(number):
    """Return a request with an id of its own and BODY_BYTES of body."""
    request = REQUEST.replace(b"9b", b"%x" % number).replace(b"Left: 0.5", b"Left: 5")
    return request.replace(b"Length: 3", b"Length: %d" % BODY_BYTES).replace(b"abc", b"x" * BODY_BYTES)


@pytest.fixture
def answer_late(node):
    """Let the node answer each request after ANSWER_AFTER_MS; return the ids of the requests."""
    ids = []

    def take(pending):
        ids.append(pending.client_request.id)
        node.loop.call_at(
            node.loop.now() + ANSWER_AFTER_MS, lambda: pending.respond(200, [], pending.client_request.body)
        )
        return str(len(ids))

    node.downstream.take_request = take
    return ids


def test_all_requests_that_a_client_sends_at_once_are_answered(node, client, answer_late):
    # Guards against whole requests that are thrown away so that the end of the connection would show.
    count, data = 20, b""
    sock = client(b"")
    rest = b"".join(map(sized_request, range(count)))

    def are_answered():
        nonlocal rest, data
        with contextlib.suppress(BlockingIOError):
            rest = rest[sock.send(rest) :] if rest else b""
        with contextlib.suppress(BlockingIOError):
            data += sock.recv(65536)
        return data.count(b"HTTP/1.1 200 ") == count

    run_until(node, are_answered, 10000.0)
    assert answer_late == [f"{number:x}" for number in range(count)]
    assert data.count(b"x" * BODY_BYTES) == count


def test_what_all_clients_send_ahead_is_bounded(node, client, answer_late):
    node.downstream.limits = replace(node.downstream.limits, body_bytes=4.0 * MAX_PIPELINED_BYTES)
    socks = [client(sized_request(number)) for number in range(4)]
    flood = b"".join(map(sized_request, range(100, 180)))
    rests = dict.fromkeys(socks, flood)
    kept = []

    def has_ended():
        for sock, rest in rests.items():
            try:
                rests[sock] = rest[sock.send(rest) :]
            except (BlockingIOError, ConnectionError):
                continue
        kept.append(sum(len(each.buffer) for each in node.downstream.open))
        return len(kept) > 100

    run_until(node, has_ended, 10000.0)
    assert max(kept) <= PIPELINED_SHARE * node.downstream.limits.body_bytes + len(socks) * 2 * 65536
    assert answer_late


def test_a_buffer_gives_back_its_memory_once_it_is_empty():
    buffer = Buffer(8)
    buffer.reserve(1000)
    buffer.commit(1000)
    buffer.take(999)
    assert len(buffer.bytes) >= 1000
    buffer.take(1)
    assert len(buffer.bytes) <= MAX_GROWTH * 8
