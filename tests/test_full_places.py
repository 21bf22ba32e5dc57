"""Requests are answered in time however the places for clients are filled.

See docs/incidents/2026-12-05-places-filled.md.
"""

from collections import deque
from dataclasses import replace

import pytest
from loopback_servers import SAFE_REQUEST, run_loop, run_until

from marlseam.net import http
from marlseam.net.client_connections import READING_GRACE_MS, AdmissionLimits

PLACES = 4
BODY_BYTES = 3  # of each request
WAITING_REQUEST = SAFE_REQUEST.replace(b"9b", b"wait").replace(b"Left: 5", b"Left: 1.5")
ANSWER_LIMIT_MS = 2050.0  # a client's 1.5 s, and what the users allow for an answer that is late


@pytest.fixture
def taken(node):
    """Return the requests that the node has taken; a test answers each itself."""
    requests = []

    def take(pending):
        requests.append(pending)
        return str(len(requests))

    node.downstream.take_request = take
    return requests


def fill_by_halves(node, client, reply, taken):
    """Fill all places with clients that stop in the middle of a request after a good one, and stay."""
    node.downstream.limits = replace(node.downstream.limits, clients=PLACES)
    halves = fill_by_requests(node, client, taken)
    for pending, sock in zip(taken, halves, strict=True):
        pending.respond(200, [], b"r")
        assert reply(sock).startswith(b"HTTP/1.1 200 ")
        sock.sendall(SAFE_REQUEST[:-2])
    taken.clear()
    run_until(node, lambda: len(node.downstream.reading) == PLACES)
    return halves


def fill_by_requests(node, client, taken):
    """Fill all places with requests that stay open."""
    node.downstream.limits = replace(node.downstream.limits, clients=PLACES)
    socks = [client(SAFE_REQUEST.replace(b"9b", b"w%d" % number)) for number in range(PLACES)]
    run_until(node, lambda: len(taken) == PLACES)
    return socks


def answer_within(node, sock, limit_ms):
    """Run the node's loop until a client has an answer or the end of its connection, within a limit."""
    data = b""

    def has_come():
        nonlocal data
        try:
            data = sock.recv(65536)
        except BlockingIOError:
            return False
        return True

    run_until(node, has_come, limit_ms)
    return data


def rejected(sock):
    """Return whether a client has been answered 503."""
    try:
        return sock.recv(65536).startswith(b"HTTP/1.1 503 ")
    except BlockingIOError:
        return False


def test_clients_that_stop_in_a_later_request_do_not_keep_others_from_being_served(
    node, client, reply, taken
):
    # Guards against requests that wait unread past their time, while all places are held by half requests.
    halves = fill_by_halves(node, client, reply, taken)
    client(WAITING_REQUEST)
    run_until(node, lambda: taken, 1500.0)
    assert sum(rejected(sock) for sock in halves) == 1


def test_a_request_that_is_received_within_its_grace_is_not_rejected_for_another(node, client, reply, taken):
    halves = fill_by_halves(node, client, reply, taken)
    client(WAITING_REQUEST)
    until_ms = node.loop.now() + READING_GRACE_MS / 2
    while node.loop.now() < until_ms:
        run_loop(node, 1)
    assert not any(rejected(sock) for sock in halves)


def test_half_requests_do_not_hold_the_memory_for_bodies(node, client, reply, taken):
    # Guards against requests that wait for memory past their time, while half requests hold all of it.
    halves = fill_by_halves(node, client, reply, taken)
    node.downstream.limits = AdmissionLimits(2 * PLACES, BODY_BYTES * PLACES, 2)
    client(WAITING_REQUEST)
    run_until(node, lambda: taken, 1500.0)
    assert sum(rejected(sock) for sock in halves) == 1


def test_a_request_that_waits_for_memory_is_rejected_in_time(node, client, taken):
    fill_by_requests(node, client, taken)
    node.downstream.limits = AdmissionLimits(2 * PLACES, BODY_BYTES * PLACES, 2)
    assert answer_within(node, client(WAITING_REQUEST), ANSWER_LIMIT_MS).startswith(b"HTTP/1.1 503 ")


def test_requests_beyond_the_places_are_rejected_in_time(node, client, taken):
    # Guards against requests that nobody reads while all places are held by requests that take long.
    fill_by_requests(node, client, taken)
    socks = [client(WAITING_REQUEST.replace(b"wait", b"wait%d" % number)) for number in range(30)]
    until_ms = node.loop.now() + ANSWER_LIMIT_MS
    for sock in socks:
        assert answer_within(node, sock, until_ms - node.loop.now()).startswith(b"HTTP/1.1 503 ")
    assert len(taken) == PLACES


def test_a_request_beyond_the_places_gets_the_next_free_place(node, client, taken):
    socks = fill_by_requests(node, client, taken)
    client(WAITING_REQUEST)
    run_until(node, lambda: node.downstream.waiting)
    assert len(taken) == PLACES
    socks[0].close()
    run_until(node, lambda: len(taken) > PLACES)
    assert taken[-1].client_request.id == "wait"
    assert not node.downstream.overflow


def test_a_connection_has_waited_no_longer_than_a_full_queue_takes(node, client, monkeypatch, advance_clock):
    # Guards against a queue that is never empty: requests in it were taken for older than their time.
    monkeypatch.setattr(http, "MAX_ACCEPTS_PER_TURN", 1)
    node.downstream.listener.accepted_ms = deque(maxlen=3)  # of a queue that holds two
    socks = [client(b"") for _ in range(6)]
    sent_after_ms = []
    while len(sent_after_ms) < len(socks):
        advance_clock(100.0)
        node.loop.turn()
        sent_after_ms += [each.earliest_sent_ms for each in [*node.downstream.open][len(sent_after_ms) :]]
    assert sent_after_ms[2] == sent_after_ms[0]
    assert [round(at - sent_after_ms[2], -2) for at in sent_after_ms[3:]] == [100.0, 200.0, 300.0]


def test_requests_that_wait_for_a_place_are_rejected_as_the_node_ends(node, client, reply, taken):
    fill_by_requests(node, client, taken)
    sock = client(SAFE_REQUEST.replace(b"9b", b"wait"))
    run_until(node, lambda: node.downstream.waiting)
    node.downstream.refuse_unread()
    assert reply(sock).startswith(b"HTTP/1.1 503 ")


def test_the_readiness_request_needs_no_place(node, client, reply, taken):
    fill_by_requests(node, client, taken)
    assert reply(client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
