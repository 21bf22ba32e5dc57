"""One attempt at a time, proofs that an attempt never ran, and endless responses (docs/design/endings.md)."""

import select
import socket
from dataclasses import replace
from itertools import count

import pytest
from conftest import ANSWER, OPTIONS
from http_samples import CLIENT_REQUEST, attempt_outcomes, send_attempt
from loopback_servers import (
    NEVER_RAN_RESPONSE,
    NO_PROBES,
    SAFE_REQUEST,
    UNSAFE_REQUEST,
    close_sending_side,
    is_closed_by_peer,
    reset_connection,
    response_of_states,
    run_loop,
    run_until,
    small_socket,
    with_long_body,
)

from marlseam.decisions.types import Outcome
from marlseam.net.connection import Connection
from marlseam.net.upstream import AttemptOrder

# No two attempts of a request are in flight together.


@pytest.mark.parametrize(
    "first_response",
    [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnonsense\n", b"nonsense\r\n\r\n", None],
    ids=["a broken line", "a broken head", "silence"],
)
def test_the_next_attempt_is_sent_only_once_the_connection_of_the_one_before_is_closed(
    node, client, list_test_servers, monkeypatch, first_response
):
    long_objective_classes = [
        row | {"aimUs": 200000 + 800000 * number}
        for number, row in enumerate(reversed(OPTIONS["requestClasses"]))
    ]
    one, two = list_test_servers("e1", "e2", ceilings=NO_PROBES, requestClasses=long_objective_classes)
    closed_at_sends, write = [], Connection.message

    def message(connection, head, body, until_ms, *left):
        if connection.description.startswith("server "):
            closed_at_sends.append([is_closed_by_peer(sock) for server in (one, two) for sock in server.held])
        return (yield from write(connection, head, body, until_ms, *left))

    monkeypatch.setattr(Connection, "message", message)
    # Both servers have an idle connection, on which the next attempt can be sent in the turn in which the
    # first attempt ends.
    for name, server in (("e1", one), ("e2", two)):
        until_ms = node.loop.now() + 1000.0
        node.upstream.attempts.send(AttemptOrder("0", 0, name, CLIENT_REQUEST, until_ms, until_ms))
        run_until(node, lambda server=server: b"abc" in server.read())
        server.held[0].sendall(ANSWER.replace(b'"e1"', b'"%b"' % name.encode()))
        run_until(node, lambda name=name: node.upstream.pool.servers[name].idle)
    closed_at_sends.clear()
    client(SAFE_REQUEST)
    run_until(node, lambda: node.upstream.attempts.in_flight)
    (attempt,) = node.upstream.attempts.in_flight.values()
    server_socket = (one if attempt.server == "e1" else two).held[0]
    run_until(node, lambda: attempt.has_begun and b"abc" in one.read() + two.read())
    if first_response is None:
        # Advances the clock past the time limit for the first bytes of an answer.
        on_time = node.loop.now
        node.loop.now = lambda: on_time() + node.upstream.timeouts.accept_ms
    else:
        server_socket.sendall(first_response)
    run_until(node, lambda: len(closed_at_sends) == 2)
    assert closed_at_sends[0] == [False, False]
    assert closed_at_sends[1].count(True) == 1


# Proofs that an attempt never ran.


@pytest.mark.parametrize(
    "refusal", [NEVER_RAN_RESPONSE, response_of_states(b"returned")], ids=["head", "line"]
)
def test_a_duplicate_refusal_is_not_taken_for_the_answer_to_the_next_attempt(
    node, list_test_servers, refusal
):
    # A duplicate refusal names no request, or the same one. Guards against taking it for the answer to the
    # next attempt on its connection, which would make an unsafe request run twice.
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    events = []
    node.upstream.attempts.post = events.append
    client_request = replace(CLIENT_REQUEST, is_unsafe=True)
    for attempt_index in range(2):
        until_ms = node.loop.now() + 5000.0
        node.upstream.attempts.send(
            AttemptOrder("1", attempt_index, "e1", client_request, until_ms, until_ms)
        )
        run_until(node, lambda: b"abc" in server.read())
        server.held[0].sendall(refusal)
        run_loop(node)
    assert [event.outcome for event in events] == [Outcome.AT_CAPACITY]
    assert ("1", 1) in node.upstream.attempts.in_flight
    assert len(server.held) == 2
    assert is_closed_by_peer(server.held[0])
    assert not is_closed_by_peer(server.held[1])


@pytest.mark.parametrize(
    ("response", "sent_again"),
    [
        (NEVER_RAN_RESPONSE, True),
        (NEVER_RAN_RESPONSE.replace(b"Length: 0", b"Length: 5") + b"sp", True),  # the head is sufficient
        (
            NEVER_RAN_RESPONSE.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked") + b"nonsense\r\n",
            True,
        ),
        (NEVER_RAN_RESPONSE.replace(b"X-Unprocessed: 1", b"X-Unprocessed: no"), False),
        (NEVER_RAN_RESPONSE[:-2], False),  # cut within its head
        (response_of_states(b"returned"), True),
        # The second line returns the request as never started.
        (response_of_states(b"started", b"returned"), False),
        (response_of_states(b"lost"), False),
        (response_of_states(b"failed"), False),
        (b"", False),  # a reset after the last byte
    ],
    ids=["refused", "cut body", "malformed body", "another value", "cut head", "returned", "started"]
    + ["lost", "failed", "reset"],
)
def test_an_unsafe_request_is_retried_only_on_proof_that_it_never_ran(
    node, client, list_test_servers, reply, response, sent_again
):
    one, two = list_test_servers("e1", "e2", ceilings=NO_PROBES)
    client_socket = client(UNSAFE_REQUEST)
    run_until(node, lambda: one.accept() or two.accept())
    first, other, name = (one, two, b"e1") if one.held else (two, one, b"e2")
    run_until(node, lambda: b"abc" in first.read())
    first.held[0].sendall(response.replace(b'"e1"', b'"%b"' % name))
    if response:
        close_sending_side(first.held[0])
    else:
        reset_connection(first.held.pop(0))
    if sent_again:
        run_until(node, lambda: b"abc" in other.read())
    else:
        assert reply(client_socket).startswith(b"HTTP/1.1 500 ")
        assert b"abc" not in one.read() + two.read()


@pytest.mark.parametrize("first_read_bytes", [1, 100, 30000])
def test_an_attempt_that_is_cut_before_its_last_byte_never_ran_and_is_retried(
    node, client, list_test_servers, monkeypatch, first_read_bytes
):
    one, two = list_test_servers("e1", "e2", ceilings=NO_PROBES)
    for server in (one, two):
        server.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    client(with_long_body(UNSAFE_REQUEST))
    monkeypatch.setattr(socket, "socket", small_socket)
    run_until(node, lambda: one.accept() or two.accept())
    first = one if one.held else two
    (attempt,) = node.upstream.attempts.in_flight.values()
    read = bytearray()
    while len(read) < first_read_bytes:
        run_until(node, lambda: select.select(first.held, [], [], 0)[0])
        read += first.held[0].recv(first_read_bytes - len(read))
    assert not attempt.has_begun
    assert not node.counters.attempts
    reset_connection(first.held.pop())
    run_until(node, lambda: attempt.task.done)
    # The attempt never ran: the unsafe request is sent again, to either server.
    run_until(node, lambda: one.accept() or two.accept())


def test_the_connection_of_a_refused_probe_is_not_reused(node, list_test_servers):
    (server,) = list_test_servers("e1")
    events = []
    node.upstream.health_checks.post = events.append
    node.upstream.health_checks.start("e1")
    run_until(node, lambda: b"/-/load" in server.read())
    server.held[0].sendall(NEVER_RAN_RESPONSE)
    run_until(node, lambda: events)
    assert events[0].outcome is Outcome.AT_CAPACITY
    assert is_closed_by_peer(server.held[0])


# Responses that never end.


def test_a_response_that_never_ends_does_not_starve_other_tasks(make_upstream, loop):
    running = b'{"id":"9b","from":"e1","state":"running","share":0.5}\n'
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    upstream = make_upstream(head, *[b"%x\r\n%b\r\n" % (len(running), running)] * 2000, silent=True)
    turns = []
    loop.call_soon(lambda: turns.append(1))
    send_attempt(upstream)
    assert upstream.connections[0].sock.replies  # other tasks run before the whole response is read
    loop.turn()
    assert turns
    assert not attempt_outcomes(upstream)


@pytest.mark.parametrize(
    "endless",
    [b"HTTP/1.1 102 -\r\n\r\n", b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\n \r\n" * 50],
    ids=["informational", "blanks"],
)
def test_a_response_that_never_ends_is_cut_at_its_time_limit(make_upstream, loop, until, endless):
    clock = count(loop.now(), 0.001)  # advances only when read, whatever the load of the machine
    loop.now = lambda: next(clock)
    upstream = make_upstream(endless, *[endless[-300:]] * 2000)
    send_attempt(upstream)
    loop.turn()
    assert not attempt_outcomes(upstream)
    clock = count(loop.now() + 1000.0, 0.001)  # the time limit is over while bytes still arrive
    until(lambda: attempt_outcomes(upstream))
    assert attempt_outcomes(upstream) == [Outcome.TIMED_OUT]
    assert upstream.connections[0].sock.replies
