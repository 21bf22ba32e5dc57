"""Retries of attempts that may have run, and duplicate answers, on real sockets (docs/design/endings.md)."""

import select
import socket
from dataclasses import replace

import h11
import pytest
from conftest import ANSWER
from http_samples import CLIENT_REQUEST
from loopback_servers import (
    CLASS_OF_EACH_IDEMPOTENCY,
    KEYED_CLASS,
    KEYED_REQUEST,
    KEYED_STATEMENT,
    LONG_BODY_BYTES,
    NEVER_RAN_RESPONSE,
    NO_PROBES,
    SAFE_REQUEST,
    UNSAFE_REQUEST,
    is_closed_by_peer,
    run_loop,
    run_until,
    update_endpoint_list,
    with_long_body,
)

from marlseam import core
from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState, ListUpdateKind, Outcome
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.loop import READY
from marlseam.net.upstream import AttemptOrder
from marlseam.net.upstream.attempts import DUPLICATE_ANSWER_MS

# Retries within a short deduplication window.


@pytest.mark.parametrize("reads", ["before", "with"], ids=["reads after", "reads as the window ends"])
def test_a_retry_whose_bytes_wait_past_the_deduplication_window_is_cut(
    node, client, list_test_servers, shrink_sockets, advance_clock, reads
):
    # A server begins a request when its last byte arrives; by then, the server would have removed the key of
    # the first attempt, and the request would run twice.
    keyed_class = KEYED_CLASS | {"memorySpanUs": 1000000}
    one, two = list_test_servers("e1", "e2", ceilings=NO_PROBES, requestClasses=[keyed_class])
    for server in (one, two):
        server.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    client(with_long_body(KEYED_STATEMENT))
    run_until(node, lambda: one.accept() or two.accept())
    first, other = (one, two) if one.held else (two, one)
    read = bytearray()

    def is_read_whole():
        read.extend(first.read())
        return read.endswith(b"b") and read.count(b"b") >= LONG_BODY_BYTES

    run_until(node, is_read_whole)
    shrink_sockets()
    first.held[0].sendall(b"nonsense\r\n\r\n")  # the attempt may have run
    run_until(node, other.accept)
    run_loop(node)
    (attempt,) = node.upstream.attempts.in_flight.values()
    assert not attempt.has_begun  # its write is blocked within the request
    attempts = node.counters.attempts
    advance_clock(1000.0)  # the deduplication window is over, the deadline is not
    while reads == "with" and not select.select([], [attempt.task.fd], [], 0)[1]:
        other.read()  # the socket is writable in the turn in which the time is over
    run_loop(node)
    for _ in range(100):
        other.read()
        run_loop(node, 2)
    assert node.counters.attempts == attempts
    assert not node.upstream.attempts.in_flight


def test_a_blocked_write_sends_nothing_once_its_time_is_over(make_connection):
    upstream_connection = make_connection(h11.CLIENT, piece=10)
    steps = upstream_connection.write(b"x" * 100, upstream_connection.loop.now() + 5.0)
    next(steps)
    late_ms, sent_before = upstream_connection.loop.now() + 5.0, upstream_connection.sock.sent
    upstream_connection.loop.now = lambda: late_ms
    with pytest.raises(ConnectionEndedError):
        steps.send(READY)  # the socket is writable in the turn in which the time is over
    assert upstream_connection.sock.sent == sent_before


# Duplicate answers that arrive some milliseconds late.


@pytest.mark.parametrize(
    "second_response",
    [NEVER_RAN_RESPONSE, ANSWER, b"HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n"],
    ids=["never ran", "the same", "an error"],
)
@pytest.mark.parametrize(
    "client_request",
    [
        replace(CLIENT_REQUEST, is_unsafe=True, must_run_once=True),
        replace(CLIENT_REQUEST, must_run_once=True),
    ],
    ids=["unsafe", "keyed"],
)
@pytest.mark.usefixtures("advance_clock")
def test_a_duplicate_answer_after_a_valid_one_is_no_proof_about_the_next_attempt(
    node, list_test_servers, second_response, client_request
):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    events = []
    node.upstream.attempts.post = events.append
    until_ms = node.loop.now() + 5000.0
    node.upstream.attempts.send(AttemptOrder("1", 0, "e1", CLIENT_REQUEST, until_ms, until_ms))
    run_until(node, lambda: b"abc" in server.read())
    server.held[0].sendall(ANSWER)
    run_until(node, lambda: node.upstream.pool.servers["e1"].idle)
    events.clear()
    # The next attempt is sent in the turn in which the first ends.
    node.upstream.attempts.send(AttemptOrder("2", 0, "e1", client_request, until_ms, until_ms))
    run_until(node, lambda: b"abc" in server.read())
    server.held[0].sendall(second_response.replace(b"9b", b"9a"))
    run_until(node, lambda: events)
    # The attempt may run: it is neither retried nor removed from the records, and its own answer is not read.
    assert [event.outcome for event in events] == [Outcome.BROKEN]
    assert is_closed_by_peer(server.held[0])
    assert not node.upstream.pool.servers["e1"].idle


@pytest.mark.parametrize("wait_ms", [0.0, DUPLICATE_ANSWER_MS], ids=["new", "rested"])
def test_a_refusal_is_accepted_where_no_duplicate_answer_can_arrive(
    node, list_test_servers, advance_clock, wait_ms
):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    events = []
    node.upstream.attempts.post = events.append
    until_ms = node.loop.now() + 5000.0
    if wait_ms:
        node.upstream.attempts.send(AttemptOrder("1", 0, "e1", CLIENT_REQUEST, until_ms, until_ms))
        run_until(node, lambda: b"abc" in server.read())
        server.held[0].sendall(ANSWER)
        run_until(node, lambda: node.upstream.pool.servers["e1"].idle)
        advance_clock(wait_ms)
        events.clear()
    node.upstream.attempts.send(
        AttemptOrder(
            "2", 0, "e1", replace(CLIENT_REQUEST, is_unsafe=True, must_run_once=True), until_ms, until_ms
        )
    )
    run_until(node, lambda: b"abc" in server.read())
    server.held[0].sendall(NEVER_RAN_RESPONSE)
    run_until(node, lambda: events)
    assert [event.outcome for event in events] == [Outcome.AT_CAPACITY]
    assert len(server.held) == 1


# Retries by the client, and hedging.


@pytest.mark.parametrize("may_cancel", [True, False], ids=["cancelled", "runs on"])
def test_a_clients_retry_is_sent_to_the_cell_that_holds_its_idempotency_key(
    node, client, list_test_servers, advance_clock, may_cancel
):
    ceilings = NO_PROBES | {"cancel": may_cancel}
    first, other = list_test_servers("e1", "e2", ceilings=ceilings, requestClasses=CLASS_OF_EACH_IDEMPOTENCY)
    entries = [
        EndpointEntry(name, EndpointState.READY, 0, 0, cell, None) for cell, name in enumerate(("e1", "e2"))
    ]
    node.post(core.EndpointListUpdate(ListUpdateKind.FULL, entries[:1]))
    client_socket = client(KEYED_REQUEST)
    run_until(node, lambda: b"abc" in first.read())  # the attempt may run from here on
    for number in range(2):
        client_socket.close()
        run_until(node, lambda: not node.requests.pending)
        node.post(core.EndpointListUpdate(ListUpdateKind.FULL, entries))  # the other cell has capacity
        advance_clock(100.0)
        client_socket = client(
            KEYED_REQUEST.replace(b"9b", b"a%d" % number).replace(b"Key: k", b"Key: k\r\nX-Repeat: 1")
        )
        received = b""
        for _ in range(30):  # within the window of 1 s, past the next check of the pending queue
            advance_clock(10.0)
            run_loop(node, 3)
            received += first.read()
        assert b"abc" in received
        assert b"abc" not in other.read()


@pytest.mark.parametrize(
    ("request_bytes", "is_hedged"),
    [(SAFE_REQUEST, True), (UNSAFE_REQUEST, False), (KEYED_REQUEST, True)],
    ids=["safe", "unsafe", "keyed"],
)
def test_where_hedging_is_allowed_an_unsafe_request_still_has_one_attempt_in_flight(
    node, client, list_test_servers, advance_clock, request_bytes, is_hedged
):
    # Long latency objectives, so that no attempt times out.
    classes = [row | {"aimUs": 1000000} for row in CLASS_OF_EACH_IDEMPOTENCY]
    first, other = list_test_servers(
        "e1", "e2", ceilings=NO_PROBES | {"secondCopies": True}, requestClasses=classes
    )
    entries = [EndpointEntry("e1", EndpointState.READY, 0, 0, 0, None)]
    node.post(core.EndpointListUpdate(ListUpdateKind.FULL, entries))
    client(request_bytes)
    run_until(node, lambda: b"abc" in first.read())
    update_endpoint_list(node, {"e1": first.address, "e2": other.address})
    # After a probe that timed out, the server and its requests are presumed lost.
    node.post(core.ProbeEnded("e1", Outcome.TIMED_OUT, 0.0, None))
    for _ in range(8):  # past the next check of the pending queue
        advance_clock(100.0)
        run_loop(node, 5)
    begun = [attempt for attempt in node.upstream.attempts.in_flight.values() if attempt.has_begun]
    assert len(begun) == 1 + is_hedged
    assert not is_closed_by_peer(first.held[0])
    assert (b"abc" in other.read()) is is_hedged
