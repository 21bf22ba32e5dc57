"""Sockets: buffer, loop, log, connections, the pool and its attempts, clients, discovery, the end."""

import copy
import errno
import json
import resource
import signal
import socket
import subprocess
import sys
from dataclasses import replace
from math import inf
from pathlib import Path

import h11
import pytest
from conftest import ANSWER, LINES, OPTIONS

from marlseam import core
from marlseam.decisions.types import ListUpdateKind, Outcome
from marlseam.net import discovery as discovery_module
from marlseam.net import downstream as server_module
from marlseam.net import graceful_shutdown, http, limits
from marlseam.net.buffer import Buffer
from marlseam.net.connection import connect
from marlseam.net.downstream import AdmissionLimits
from marlseam.net.errors import ConnectionEndedError, MalformedMessageError
from marlseam.net.log import MAX_BURST_LINES, Log, Reason
from marlseam.net.loop import END, LATE, READ, WOKEN, Cancelled
from marlseam.net.pending_request import PendingRequest
from marlseam.net.protocol import ClientRequest
from marlseam.net.upstream import AttemptOrder
from marlseam.net.upstream import attempts as attempts_module
from marlseam.net.upstream import pool as pool_module

JOB = ClientRequest("9b", "/statement", "k", b"abc", 0, "statement", 5000.0, 1.0)
REQUEST = (
    b"POST /statement HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 9b\r\nX-Service-Class: statement\r\n"
    b"X-Time-Left: 0.5\r\nContent-Length: 3\r\n\r\nabc"
)


def sent(parts, **limits):
    """Send one attempt and return the outcomes told."""
    now = parts.loop.now()
    parts.attempts.send(AttemptOrder("1", 0, "e1", JOB, now + limits.get("until", 1000.0), now + 1000.0))
    return outcomes(parts)


def outcomes(parts):
    return [event.outcome for event in parts.events if type(event) is core.AttemptEnded]


def reasons(capsys):
    return [word[5:] for word in capsys.readouterr().err.split() if word.startswith("code=")]


CHUNKED = REQUEST.replace(b"Content-Length: 3", b"Transfer-Encoding: chunked").replace(
    b"abc", b"3\r\nabc\r\n0\r\n\r\n"
)

# Buffer.


def test_a_buffer_gives_what_came_in_order():
    buffer = Buffer(8)
    for part in (b"abc", b"defg", b"hijklmnop"):
        buffer.space(len(part))[: len(part)] = part
        buffer.added(len(part))
    assert buffer.take(5) + buffer.take(100) == b"abcdefghijklmnop"
    assert not len(buffer)


def test_a_buffer_is_compacted_before_it_grows():
    buffer = Buffer(8)
    buffer.added(8)
    buffer.take(6)
    assert len(buffer.space(6)) == 6
    assert len(buffer.bytes) == 8
    assert len(buffer) == 2


# Loop.


def test_timers_come_in_order(loop, until):
    seen = []
    loop.at(2.0, lambda: seen.append(2))
    loop.at(1.0, lambda: seen.append(1))
    until(lambda: len(seen) == 2)
    assert seen == [1, 2]


def test_a_timer_set_for_the_past_is_not_late(loop, until):
    seen = []
    loop.at(loop.now() - 5000.0, lambda: seen.append(1))
    until(lambda: seen)
    assert loop.late_ms < 5000.0


def test_a_dropped_timer_never_comes(loop, until):
    seen = []
    loop.drop(loop.at(1.0, lambda: seen.append("dropped")))
    loop.at(2.0, lambda: seen.append("kept"))
    until(lambda: seen)
    assert seen == ["kept"]


def test_many_dropped_timers_leave_the_memory(loop):
    for _ in range(5000):
        loop.drop(loop.at(1e9, lambda: None))
    assert len(loop.timers) < 2000


def test_a_wait_ends_late(loop, until):
    seen = []

    def wait():
        seen.append((yield (-1, 0, loop.now() + 1.0)))

    loop.spawn(wait())
    until(lambda: seen)
    assert seen == [LATE]


def test_a_wake_during_the_step_is_not_lost(loop, until):
    seen = []

    def wait():
        loop.current.wake()
        seen.append((yield (-1, 0, inf)))

    loop.spawn(wait())
    until(lambda: seen)
    assert seen == [WOKEN]


def test_a_cancelled_coroutine_runs_its_end(loop):
    seen = []

    def wait():
        try:
            yield (-1, 0, inf)
        finally:
            seen.append("end")

    loop.spawn(wait()).cancel()
    assert seen == ["end"]
    assert not loop.tasks


def test_an_error_in_one_coroutine_or_call_leaves_the_others(loop, until):
    faults, seen = [], []
    loop.fault = faults.append

    def fail():
        yield (-1, 0, loop.now())
        raise RuntimeError

    loop.spawn(fail())
    loop.at(0.0, lambda: 1 / 0)
    loop.at(loop.now() + 1.0, lambda: seen.append(1))
    until(lambda: seen)
    assert len(faults) == 2


def test_what_was_reported_of_a_closed_socket_is_not_taken_for_a_new_one(loop):
    seen = []
    first, second = (socket.socketpair() for _ in range(2))

    def close():
        yield (first[0].fileno(), READ, inf)
        number = second[0].fileno()
        loop.close(second[0])
        new = socket.socket()
        assert new.fileno() == number
        loop.spawn(wait(new))

    def wait(sock):
        seen.append((yield (sock.fileno(), READ, inf)))

    loop.spawn(close())
    loop.spawn(wait(second[0]))
    for pair in (first, second):
        pair[1].send(b"x")
    loop.turn()
    assert not seen


def test_an_idle_loop_waits_for_ever(loop):
    loop.drop(loop.at(5.0, lambda: None))
    assert loop.pause_s() == -1.0


def test_equal_unix_times_stay_equal(loop):
    assert loop.clock.from_unix(loop.clock.unix_zero_ms + 5.0) == 5.0


# Log.


def test_a_flood_of_lines_is_dropped_and_counted(capsys):
    clock = [0.0]
    log = Log("n", lambda: clock[0])
    for _ in range(int(MAX_BURST_LINES) + 7):
        log.line("x")
    clock[0] = 1000.0
    log.line("y")
    assert capsys.readouterr().err.splitlines()[-2:] == ["marlseam n: 7 lines dropped", "marlseam n: y"]


def test_a_connection_leaves_one_line(connection, capsys):
    made = connection(h11.CLIENT)
    made.close(Reason.IDLE)
    made.close(Reason.DONE)
    assert reasons(capsys) == ["idle"]


# Attempts.


@pytest.mark.parametrize(("alone", "kept"), [(False, False), (True, True)])
def test_where_draining_alone_binds_one_off_the_list_keeps_its_address(
    upstream, deployment, monkeypatch, alone, kept
):
    parts = upstream(ANSWER)
    settings = replace(deployment.settings, only_draining_excludes=alone)
    parts.configure(replace(deployment, settings=settings), 64)
    parts.update_endpoints(set(), {})
    assert ("e1" in parts.pool.servers) is kept
    monkeypatch.setattr(pool_module, "FORGET_AFTER_LIST_MAX_AGES", 0.0)  # its time is over
    parts.update_endpoints(set(), {})
    assert "e1" not in parts.pool.servers


def test_where_ipv6_is_refused_a_server_there_costs_its_own_work_alone(loop, refuse, capsys):
    refuse(socket.AF_INET6, errno.EAFNOSUPPORT)
    caught = []

    def call():
        try:
            yield from connect(loop, Log("test", loop.now), ("::1", 9), "server e6", loop.now() + 1000.0)
        except ConnectionEndedError as ended:
            caught.append(ended.reason)

    loop.spawn(call())
    assert caught == [Reason.NO_SOCKETS]
    assert "code=no-sockets" in capsys.readouterr().err


def test_an_answer_completes(upstream):
    parts = upstream(ANSWER)
    assert sent(parts) == [Outcome.COMPLETED]
    assert parts.events[0] == core.AttemptStarted("1", 0)
    assert parts.events[1].result == b"r"
    assert len(parts.pool.servers["e1"].idle) == 1


@pytest.mark.parametrize("at", range(1, len(ANSWER)))
def test_an_answer_may_come_in_two_reads(upstream, at):
    assert sent(upstream(ANSWER[:at], ANSWER[at:])) == [Outcome.COMPLETED]


@pytest.mark.parametrize("at", range(len(ANSWER)))
def test_a_cut_answer_may_have_run_until_its_last_line(upstream, at):
    last_line = ANSWER.index(LINES) + len(LINES)
    assert sent(upstream(ANSWER[:at])) == [Outcome.COMPLETED if at >= last_line else Outcome.BROKEN]


def test_only_a_request_written_to_its_last_byte_may_have_run(upstream):
    whole = upstream()
    sent(whole)
    size = len(whole.connections[0].sock.sent)
    for takes in range(size):
        assert sent(upstream(takes=takes)) == [Outcome.UNREACHABLE]
    assert sent(upstream(takes=size)) == [Outcome.BROKEN]


@pytest.mark.parametrize("piece", [1, 7, 100])
def test_a_request_may_go_out_in_pieces(upstream, until, piece):
    parts = upstream(ANSWER, piece=piece)
    sent(parts)
    until(lambda: outcomes(parts))
    data = parts.connections[0].sock.sent
    assert outcomes(parts) == [Outcome.COMPLETED]
    assert data.endswith(b"\r\n\r\nabc")


@pytest.mark.parametrize(
    "lines",
    [
        b"nonsense\n",
        b'{"id":"other","from":"e1","state":"done","result":"r"}\n',
        b'{"id":"9b","from":"e2","state":"done","result":"r"}\n',
        b"x" * 200000,
    ],
)
def test_a_broken_line_may_have_run_and_ends_the_connection(upstream, until, capsys, lines):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(lines)
    parts = upstream(head + lines)
    sent(parts)
    until(lambda: outcomes(parts))  # what is long comes in several turns
    assert outcomes(parts) == [Outcome.BROKEN]
    assert reasons(capsys) == ["bad-message"]


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (b"HTTP/1.1 503 -\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", Outcome.AT_CAPACITY),
        (b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 400 -\r\nContent-Length: 0\r\n\r\n", Outcome.INVALID_REQUEST),
        (b"nonsense\r\n\r\n", Outcome.BROKEN),
    ],
)
def test_an_answer_without_lines_has_its_outcome(upstream, answer, outcome):
    assert sent(upstream(answer)) == [outcome]


def test_a_silent_server_times_out_at_the_limit(upstream, until, capsys):
    parts = upstream(silent=True)
    sent(parts, until=5.0)
    until(lambda: outcomes(parts))
    assert outcomes(parts) == [Outcome.TIMED_OUT]
    assert reasons(capsys) == ["timed-out"]
    assert not parts.attempts.in_flight
    assert not parts.pool.servers["e1"].count


@pytest.mark.parametrize(
    ("begun", "exclusive", "outcome"),
    [
        (b"", False, Outcome.TIMED_OUT),
        (ANSWER[: ANSWER.index(b"done")], False, Outcome.TIMED_OUT),
        (b"", True, None),
        (ANSWER[: ANSWER.index(b"\r\n\r\n") + 4], False, None),
    ],
)
def test_a_connection_that_falls_silent_is_given_up_before_the_limit(
    upstream, until, begun, exclusive, outcome
):
    parts = upstream(*filter(None, [begun]), silent=True)
    parts.timeouts.accept_ms = parts.timeouts.progress_gap_ms = 5.0
    now = parts.loop.now()
    parts.attempts.send(
        AttemptOrder("1", 0, "e1", replace(JOB, is_unsafe=exclusive), now + 90000.0, now + 90000.0)
    )
    parts.loop.at(now + 51.0, lambda: None)
    until(lambda: parts.loop.now() > now + 50.0)
    assert outcomes(parts) == ([outcome] if outcome else [])


def test_a_probe_calls_again_where_a_connection_falls_silent(upstream, until):
    parts = upstream(silent=True)
    parts.timeouts.probe_ms = 10.0
    parts.health_checks.start("e1")
    until(lambda: parts.events)
    assert len(parts.connections) == 2
    assert parts.events[0].outcome is Outcome.TIMED_OUT


def test_giving_up_closes_the_connection(upstream):
    parts = upstream(silent=True)
    sent(parts)
    parts.attempts.cancel("1", 0)
    assert outcomes(parts) == [Outcome.CANCELLED]
    assert not parts.connections[0].sock.open


def test_a_server_not_listed_is_unreachable(upstream):
    parts = upstream(ANSWER)
    parts.update_endpoints(set(), {})
    assert sent(parts) == [Outcome.UNREACHABLE]
    assert not parts.connections


# The pool.


def test_a_connection_is_used_again(upstream):
    parts = upstream(ANSWER, silent=True)
    sent(parts)
    parts.connections[0].sock.upon_send.append(ANSWER)
    assert sent(parts) == [Outcome.COMPLETED] * 2
    assert len(parts.connections) == 1


def test_a_pooled_connection_that_was_closed_is_not_used(upstream):
    parts = upstream(ANSWER)
    sent(parts)
    assert sent(parts) == [Outcome.COMPLETED] * 2
    assert len(parts.connections) == 2


@pytest.mark.parametrize(
    ("begun", "outcome"),
    [(b"", Outcome.STALE_CONNECTION), (ANSWER[:60], Outcome.BROKEN), (ANSWER[:5], Outcome.STALE_CONNECTION)],
)
def test_a_kept_connection_that_ends_before_an_answer_has_an_outcome_of_its_own(upstream, begun, outcome):
    parts = upstream(ANSWER, silent=True)
    sent(parts)
    sock = parts.connections[0].sock
    sock.upon_send = [*filter(None, [begun]), b""]
    assert sent(parts)[-1] is outcome


def test_a_probe_calls_again_where_a_kept_connection_ends(upstream):
    parts = upstream(b"HTTP/1.1 200 -\r\nContent-Length: 0\r\n\r\n", silent=True)
    parts.health_checks.start("e1")
    parts.connections[0].sock.takes = len(parts.connections[0].sock.sent)
    parts.health_checks.start("e1")
    assert [event.outcome for event in parts.events] == [Outcome.COMPLETED] * 2
    assert len(parts.connections) == 2


def test_a_probe_that_finds_no_place_blames_nobody(upstream):
    parts = upstream()
    parts.pool.max_connections = 0
    parts.health_checks.start("e1")
    assert parts.events[0].outcome is Outcome.CANCELLED_UNSENT


def test_an_unused_connection_is_closed_well_before_its_time(upstream, until, capsys):
    parts = upstream(ANSWER, silent=True)
    parts.timeouts.idle_ms = 1.0
    sent(parts)
    until(lambda: not parts.pool.servers["e1"].count)
    assert reasons(capsys) == ["idle"]


def test_a_server_that_left_is_forgotten_once_nothing_is_out(upstream):
    parts = upstream(silent=True)
    sent(parts)
    parts.update_endpoints(set(), {})
    assert "e1" in parts.pool.servers
    parts.attempts.cancel("1", 0)
    assert not parts.pool.servers


def test_another_address_closes_the_unused_connections(upstream, capsys):
    parts = upstream(ANSWER, silent=True)
    sent(parts)
    parts.update_endpoints({"e1"}, {"e1": ("127.0.0.2", 9)})
    assert reasons(capsys) == ["forgotten"]


def test_connections_to_one_server_are_bounded(upstream):
    parts = upstream(silent=True)
    for _ in range(parts.pool.max_per_server() + 1):
        sent(parts)
    assert outcomes(parts) == [Outcome.UNREACHABLE]
    assert len(parts.connections) == parts.pool.max_per_server()


def test_the_longest_unused_connection_makes_room(upstream, capsys):
    parts = upstream(ANSWER, silent=True)
    sent(parts)
    parts.pool.max_connections = 1
    parts.update_endpoints({"e1", "e2"}, {"e2": ("127.0.0.1", 9)})
    parts.health_checks.start("e2")
    assert reasons(capsys) == ["crowded"]
    assert parts.pool.open_count() == 1


# Probes.


@pytest.mark.parametrize(
    ("status", "outcome"), [(200, Outcome.COMPLETED), (503, Outcome.AT_CAPACITY), (404, Outcome.ERROR)]
)
def test_a_probes_answer_carries_its_report(upstream, status, outcome):
    parts = upstream(b"HTTP/1.1 %d -\r\nContent-Length: 13\r\n\r\nTEXT x0=3.500" % status)
    parts.health_checks.start("e1")
    (event,) = parts.events
    assert (event.outcome, event.report.free_slots) == (outcome, 3.5)


def test_a_probe_times_out(upstream, until):
    parts = upstream(silent=True)
    parts.timeouts.probe_ms = 1.0
    parts.health_checks.start("e1")
    until(lambda: parts.events)
    assert parts.events[0].outcome is Outcome.TIMED_OUT


def test_a_probe_has_places_of_its_own(upstream):
    parts = upstream(silent=True)
    for _ in range(parts.pool.max_per_server()):
        sent(parts)
    parts.health_checks.start("e1")
    assert len(parts.connections) == parts.pool.max_per_server() + 1


# Connecting.


def test_a_refused_connection_is_logged(loop, until, capsys):
    failed = []

    def call():
        try:
            yield from connect(loop, Log("n", loop.now), ("127.0.0.1", 1), "x", loop.now() + 1000.0)
        except ConnectionEndedError as ended:
            failed.append(ended.reason)

    loop.spawn(call())
    until(lambda: failed)
    assert failed == [Reason.REFUSED]
    assert reasons(capsys) == ["refused"]


# Clients.


@pytest.mark.parametrize(
    ("sockets", "memory_mb", "places"),
    [(1024, 192, 992), (96, 192, 64), (256, 32, 224), (1024, 32, 307), (40, 8, 16)],
)
def test_connections_fit_the_limits(node, monkeypatch, sockets, memory_mb, places):
    unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
    monkeypatch.setattr(resource, "getrlimit", lambda _: unlimited)
    config = replace(node.config, sockets=sockets, memory_mb=memory_mb, admin=None)
    assert limits.max_connections(config) == places


def test_a_node_is_ready_once_it_holds_a_list(client, reply):
    assert reply(client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")).startswith(b"HTTP/1.1 200 ")


def test_a_node_without_a_list_is_not_ready(node, client, reply):
    node.discovery.held.clear()
    assert reply(client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")).startswith(b"HTTP/1.1 503 ")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (REQUEST.replace(b"0.5", b"x"), 400),
        (REQUEST.replace(b"POST", b"PUT"), 405),
        (REQUEST.replace(b"/statement", b"/odd"), 404),
        (REQUEST.replace(b"Length: 3", b"Length: 65537"), 413),
        (
            REQUEST.replace(b"Content-Length: 3", b"Transfer-Encoding: chunked").replace(b"abc", b"xyz\r\n"),
            400,
        ),
        (b"GET / HTTP/1.1\r\nX: " + b"x" * 40000, 431),
        (REQUEST.replace(b"Length: 3", b"Length: 60000000") + b"x" * 100000, 413),
        (REQUEST.replace(b"Length: 3", b"Length: -3"), 400),
        (REQUEST.replace(b"Length: 3", b"Length: 3\r\nContent-Length: 3"), 400),
        (REQUEST.replace(b"Length: 3", b"Length: 3, 3"), 400),
        (REQUEST.replace(b"Length: 3", b"Length: 3\r\n , 3"), 400),
        (REQUEST.replace(b"Length: 3", b"Length: 3\r\nTransfer-Encoding: chunked"), 400),
        (REQUEST.replace(b"Length: 3", b"Length: 3\nTransfer-Encoding: chunked"), 400),
        (CHUNKED.replace(b"HTTP/1.1", b"HTTP/1.0"), 400),
        (CHUNKED.replace(b"chunked", b"gzip, chunked"), 501),
        (CHUNKED.replace(b"Host: h", b"Host: h\r\n folded"), 400),
        (REQUEST.replace(b"Host: h", b"Host: h\r\nX-Correlation-Id: 8c"), 400),
        (REQUEST.replace(b"Host: h", b"Host: h\r\nx-time-left: 9"), 400),
        (REQUEST.replace(b"Host: h", b"Host: h\r\nX-Service-Class: posting"), 400),
        (CHUNKED.replace(b"abc\r\n0", b"abc\r\n%x\r\n%b\r\n0" % (65536, b"x" * 65536)), 413),
    ],
)
def test_bad_input_has_its_status_and_goes_no_further(node, client, reply, data, status):
    assert reply(client(data)).startswith(b"HTTP/1.1 %d " % status)
    assert not node.requests.last_request_id


def test_a_request_may_come_in_chunks(node, client):
    client(CHUNKED)
    while not node.requests.pending:
        node.loop.turn()
    assert node.requests.pending["1"].client_request.body == b"abc"


def test_an_id_that_is_out_is_refused_and_the_first_goes_on(node, client, reply):
    first = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    assert reply(client(REQUEST)).startswith(b"HTTP/1.1 409 ")
    node.requests.answer("1", 200, [], b"result")
    assert reply(first).endswith(b"result")
    assert not node.downstream.correlation_ids


@pytest.mark.parametrize(
    ("data", "drop", "code"),
    [(b"", b"", "idle"), (REQUEST[:60], b"X", "timed-out"), (REQUEST[:-2], b"X", "timed-out")],
)
def test_a_first_request_has_its_time_from_connecting(node, client, capsys, monkeypatch, data, drop, code):
    monkeypatch.setattr(server_module, "READ_TIMEOUT_MS", 500.0)
    sock = client(data)
    while not node.downstream.open:
        node.loop.turn()
    (connection,) = node.downstream.open
    connection.opened_ms -= 500.0
    node.loop.at(node.loop.now(), lambda: sock.send(drop))
    while node.downstream.open:
        node.loop.turn()
    assert reasons(capsys)[-1] == code


def test_a_usual_clients_connection_may_stand_idle(node, client, reply, monkeypatch):
    monkeypatch.setattr(server_module, "READ_TIMEOUT_MS", 200.0)
    sock = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    node.requests.answer("1", 200, [], b"")
    reply(sock)
    end = node.loop.now() + 400.0
    node.loop.at(end, lambda: None)
    while node.loop.now() < end:
        node.loop.turn()
    assert node.downstream.idle


def test_connections_without_a_good_request_make_room_first(node, client, reply, capsys):
    usual = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    node.requests.answer("1", 200, [], b"")
    reply(usual)
    silent, half = client(b""), client(REQUEST[:60])
    while len(node.downstream.open) < 3:
        node.loop.turn()
    node.downstream.limits = AdmissionLimits(3, 1e9)
    for left in (half, usual):
        client(REQUEST[:60])
        while "crowded" not in reasons(capsys):
            node.loop.turn()
        assert all(c.fileno() >= 0 for c in (left, usual))
    assert silent.recv(1) == b""
    assert len(node.downstream.idle) == 1
    assert half.recv(1000).startswith(b"HTTP/1.1 503 ")
    assert half.recv(1) == b""


def test_bodies_are_bounded_and_those_without_a_good_request_give_up_theirs(node, client, capsys):
    slow = client(REQUEST.replace(b"Length: 3", b"Length: 900"))
    while not node.downstream.reserved_bytes:
        node.loop.turn()
    node.downstream.limits = AdmissionLimits(9, 901.0)
    client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    assert slow.recv(1000).startswith(b"HTTP/1.1 503 ")
    assert slow.recv(1) == b""
    assert "crowded" in reasons(capsys)
    assert list(node.downstream.reserved_bytes.values()) == [3]


def test_a_body_waits_for_room_that_taken_work_has(node, client, reply):
    node.downstream.limits = AdmissionLimits(9, 3.0)
    client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    client(REQUEST.replace(b"9b", b"9c"))
    while len(node.downstream.open) < 2:
        node.loop.turn()
    node.loop.at(node.loop.now() + 50.0, lambda: node.requests.answer("1", 200, [], b""))
    while "2" not in node.requests.pending:
        node.loop.turn()
    assert "1" not in node.requests.pending


def test_no_client_holds_the_loop(node, client):
    asked = 50
    client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n" * asked)
    for _ in range(5):
        node.loop.at(node.loop.now(), lambda: None)
        node.loop.turn()
    (connection,) = node.downstream.open
    assert connection.messages < 10


def test_a_flood_of_connections_is_accepted_in_parts(node, client):
    for _ in range(2 * http.MAX_ACCEPTS_PER_TURN):
        client(b"")
    node.loop.turn()
    assert len(node.downstream.open) <= http.MAX_ACCEPTS_PER_TURN


@pytest.mark.parametrize(
    ("effect", "start", "part"),
    [
        (core.Respond("1", b"result"), b"HTTP/1.1 200 ", b"\r\n\r\nresult"),
        (core.Reject("1", 250.0), b"HTTP/1.1 503 ", b"Retry-After: 0.250\r\n"),
        (core.Fail("1"), b"HTTP/1.1 500 ", b"Content-Length: 0\r\n"),
        (core.Fail("1", is_invalid=True), b"HTTP/1.1 400 ", b"Connection: close\r\n"),
    ],
)
def test_a_final_answer_reaches_the_client(node, client, reply, effect, start, part):
    sock = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    node.effects.carry_out(effect)
    data = reply(sock)
    assert data.startswith(start)
    assert part in data


@pytest.mark.parametrize("at", range(1, len(REQUEST)))
def test_a_request_may_come_in_two_writes(node, client, at):
    sock = client(REQUEST[:at])
    while not node.downstream.open:
        node.loop.turn()
    node.loop.at(node.loop.now(), lambda: sock.sendall(REQUEST[at:]))
    while not node.requests.pending:
        node.loop.turn()
    assert node.requests.pending["1"].client_request.body == b"abc"


def test_requests_in_one_packet_are_all_answered(node, client):
    sock, data = client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n" * 5), b""
    while data.count(b"HTTP/1.1 200 ") < 5:
        try:
            data += sock.recv(65536)
        except BlockingIOError:
            node.loop.turn()


def test_a_client_that_leaves_is_posted_to_the_reducer(node, client):
    sock = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    sock.close()
    while node.downstream.open:
        node.loop.turn()
    assert not node.requests.pending
    assert not node.reducer.open_requests


def test_an_answer_for_one_that_has_gone_is_dropped(node):
    node.requests.answer("9", 200, [], b"")
    assert not node.requests.pending


def test_an_answer_given_before_the_wait_is_not_lost(node):
    pending = PendingRequest(JOB, 0.0)
    pending.respond(200, [], b"r")
    assert pending.answer == (200, [], b"r")


def test_the_longest_unused_client_makes_room(node, client, capsys):
    first = client(b"")
    while not node.downstream.idle:
        node.loop.turn()
    node.downstream.limits = AdmissionLimits(1, 1e9)
    client(b"")
    while "crowded" not in reasons(capsys):
        node.loop.turn()
    assert first.recv(1) == b""


def test_a_full_node_leaves_new_clients_waiting_and_takes_them_later(node, client, reply):
    client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    node.downstream.limits = AdmissionLimits(1, 1e9)
    second = client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
    node.requests.answer("1", 200, [("Connection", "close")], b"")
    assert reply(second).startswith(b"HTTP/1.1 200 ")


def test_a_client_that_began_a_request_is_not_closed_to_make_room(node, client):
    sock = client(b"")
    while not node.downstream.idle:
        node.loop.turn()
    sock.sendall(REQUEST)
    assert not node.downstream.close_one()
    while not node.requests.pending:
        node.loop.turn()


# Discovery.


@pytest.fixture
def roster(node, monkeypatch, connection):
    """Return a function that follows discovery over a script, and the events that it posts."""

    def follow(*answers, status=200, silent=False):
        events = []
        replies = [b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n\r\n%b" % (status, len(a), a) for a in answers]

        def connected(*_):
            return connection(h11.CLIENT, *replies, silent=silent)
            yield

        monkeypatch.setattr(discovery_module, "connect", connected)
        node.discovery.task, node.discovery.post = None, events.append
        node.discovery.watch()
        return events

    return follow


def listing(seq, *names, whole=True, **changes):
    host = {"dial": "127.0.0.1:9", "health": "active", "site": "here", "class": "plain", "block": 0}
    hosts = [host | {"host": name} | changes for name in names]
    return json.dumps({"seq": seq, "whole": whole, "hosts": hosts}).encode()


def test_the_whole_list_then_its_changes(node, roster):
    events = roster(listing(5, "e1"), listing(6, "e2", whole=False))
    while len(events) < 3:
        node.loop.turn()
    assert [event.update_kind for event in events] == [
        ListUpdateKind.FULL,
        ListUpdateKind.DELTA,
        ListUpdateKind.FAILED,
    ]


def test_an_older_change_leads_to_the_whole_list(roster):
    events = roster(listing(5, "e1"), listing(3, "e2", whole=False), listing(3, "e2"))
    assert [event.entries[0].server for event in events[:2]] == ["e1", "e2"]


@pytest.mark.parametrize("answer", [b"nonsense", b"[]", b'{"seq":9,"hosts":7}'])
def test_an_invalid_answer_leaves_the_last_valid_list(node, roster, answer):
    events = roster(listing(5, "e1"), answer)
    assert events[-1].update_kind is ListUpdateKind.FAILED
    assert list(node.discovery.held) == ["e1"]


def test_an_invalid_entry_keeps_what_was_last_valid_of_it(node, roster):
    roster(listing(5, "e1", "e2"), listing(6, "e1", dial="odd"))
    assert list(node.discovery.held) == ["e1"]


def test_discovery_that_is_down_is_posted(node, until):
    events = []
    node.discovery.post = events.append
    while not events:
        node.loop.turn()
    assert events == [core.EndpointListUpdate(ListUpdateKind.FAILED, [])]


def test_a_configured_list_that_is_invalid_leaves_none(node):
    with pytest.raises(MalformedMessageError, match="list"):
        node.discovery.take({}, cached=True)


def test_a_watch_that_is_answered_at_once_is_not_called_again_at_once(roster, capsys):
    empty = listing(5, whole=False)
    assert len(roster(listing(5, "e1"), *[empty] * 20)) == 2
    assert not reasons(capsys)


@pytest.mark.parametrize(("nodes", "wait_ms"), [(1, 3000.0), (4, 4000.0), (300, 5000.0)])
def test_watches_are_short(node, nodes, wait_ms):
    settings = replace(node.config.deployment.settings, node_count=nodes)
    node.discovery.set(replace(node.config, deployment=replace(node.config.deployment, settings=settings)))
    assert node.discovery.wait_ms == wait_ms


def test_an_error_of_discovery_is_logged(roster, monkeypatch, capsys):
    events = roster(b"", status=503)
    assert [event.update_kind for event in events] == [ListUpdateKind.FAILED]
    assert reasons(capsys) == ["declined"]


# A new configuration.


@pytest.fixture
def rewrite(node):
    """Return a function that changes entries of the node's file and has the node read it anew."""

    def change(**entries):
        path = Path(node.config.path)
        path.write_text(json.dumps(json.loads(path.read_text()) | entries))
        node.reload()

    return change


def test_a_new_address_of_discovery_ends_the_watch_and_keeps_the_list(node, roster, rewrite, capsys):
    events = roster(listing(5, "e1"), silent=True)
    watch = node.discovery.task
    rewrite(discovery="127.0.0.1:2")
    assert watch.done
    assert events[-1].update_kind is ListUpdateKind.FAILED
    assert reasons(capsys) == ["forgotten"]
    assert list(node.discovery.held) == ["e1"]
    assert node.discovery.config.discovery == ("127.0.0.1", 2)


def test_versions_of_another_discovery_are_not_compared(node, connection, roster, rewrite):
    roster(listing(500, "e1"), silent=True)
    rewrite(discovery="127.0.0.1:2")
    events = roster(listing(3, "e2"), listing(4, "e3", whole=False))
    while len(events) < 3:
        node.loop.turn()
    assert list(node.discovery.held) == ["e2", "e3"]


def test_an_unchanged_configuration_leaves_the_watch(node, rewrite):
    watch = node.discovery.task
    rewrite()
    assert node.discovery.task is watch
    assert not watch.done


@pytest.mark.parametrize("text", ["{", "[" * 100000, '{"listen": "127.0.0.1:0"}', None])
def test_a_bad_or_missing_file_changes_nothing(node, capsys, text):
    path, before = Path(node.config.path), node.config
    path.unlink() if text is None else path.write_text(text)
    node.reload()
    assert node.config is before
    assert "the configuration stays as it was: " in capsys.readouterr().err


def classes(*names, **changes):
    """Return settings with these request classes, the last of them changed."""
    rows = [OPTIONS["requestClasses"][0] | {"name": name} for name in names]
    rows[-1] |= changes
    return OPTIONS | {"requestClasses": rows}


def without(values, *path):
    """Return a file's entries without one of them."""
    values = copy.deepcopy(values)
    *tables, last = path
    at = values
    for name in tables:
        at = at[name]
    del at[last]
    return values


@pytest.mark.parametrize(
    "settings",
    [
        classes("new", deadlineUs=0),
        classes("new", deadlineUs=-5),
        classes("new", deadlineUs="soon"),
        classes("new", deadlineUs=float("nan")),
        classes("new", deadlineUs=10**400),
        classes("new", deadlineUs=None),
        classes("new", semantics="odd"),
        OPTIONS | {"ceilings": OPTIONS["ceilings"] | {"sendCap": 0}},
        OPTIONS | {"ceilings": OPTIONS["ceilings"] | {"sendCap": True}},
        without(classes("new"), "requestClasses", 0, "deadlineUs"),
        without(classes("old", "new"), "requestClasses", 1, "aimUs"),
        without(classes("new"), "requestClasses", 0, "name"),
        without(OPTIONS, "requestClasses"),
        without(OPTIONS, "ceilings"),
        without(OPTIONS, "ceilings", "sendCap"),
        without(OPTIONS, "ceilings", "keepaliveUs"),
        without(OPTIONS, "familyInfo", "reportX0"),
    ],
)
def test_settings_that_are_broken_change_nothing(node, rewrite, capsys, settings):
    before, served = node.config, node.reducer.dispatcher.request_classes
    rewrite(settings=settings, discovery="127.0.0.1:9")
    assert node.config is before
    assert node.reducer.dispatcher.request_classes == served
    assert (node.counters.reloads, node.counters.reload_errors) == (0, 1)
    (line,) = [line for line in capsys.readouterr().err.splitlines() if "stays as it was" in line]
    assert "settings." in line
    assert "expected" in line


@pytest.mark.parametrize("part", ["listen", "discovery", "known", "settings", "admin", *range(0, 400, 7)])
def test_a_file_that_is_cut_off_or_short_of_a_key_changes_nothing(node, part):
    path = Path(node.config.path)
    whole = path.read_text()
    path.write_text(whole[:part] if type(part) is int else json.dumps(without(json.loads(whole), part)))
    node.reload()
    assert (node.counters.reloads, node.counters.reload_errors) == (0, 1)


def test_after_a_broken_file_a_good_one_is_taken(node, rewrite):
    rewrite(settings={})
    rewrite(settings=classes("new"))
    rewrite(settings=classes("new", "newer"))
    assert (node.counters.reloads, node.counters.reload_errors) == (2, 1)
    assert list(node.downstream.deployment.types) == ["new", "newer"]


def test_new_types_are_served_and_gone_ones_unknown(node, rewrite, client, reply):
    rewrite(settings=classes("new"))
    assert reply(client(REQUEST)).startswith(b"HTTP/1.1 404 ")
    client(REQUEST.replace(b"statement", b"new"))
    while not node.requests.pending:
        node.loop.turn()


def test_open_work_keeps_its_type_while_the_file_changes_or_drops_it(node, rewrite, client, reply):
    sock = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    (state,) = node.reducer.open_requests.values()
    taken = state.request_class
    rewrite(settings=classes("statement", semantics="unsafe", aimUs=1, deadlineUs=1000000))
    assert state.request_class is taken
    assert node.reducer.dispatcher.request_classes[state.request.class_index] != taken
    rewrite(settings=classes("other"))
    node.requests.answer(next(iter(node.requests.pending)), 200, [], b"r")
    assert reply(sock).startswith(b"HTTP/1.1 200 ")
    assert node.counters.answers["statement"]["completed"] == 1


def test_a_new_configuration_is_applied_whole(node, rewrite, client, reply):
    ceilings = OPTIONS["ceilings"] | {"keepaliveUs": 2000000}
    rewrite(
        settings=OPTIONS | {"ceilings": ceilings, "requestClasses": OPTIONS["requestClasses"][1:]}, seed="9"
    )
    assert node.upstream.timeouts.idle_ms == 1400.0
    assert len(node.reducer.dispatcher.request_classes) == 2
    assert reply(client(REQUEST)).startswith(b"HTTP/1.1 404 ")


def test_limits_follow_a_new_configuration(node, rewrite):
    rewrite(limits={"sockets": 96, "memory_mb": 192})
    assert (node.downstream.limits.clients, node.upstream.pool.max_connections) == (24, 24)


def test_keys_that_cannot_change_are_logged_and_left(node, rewrite, capsys):
    rewrite(listen="127.0.0.1:7", name="other", seed="9")
    said = capsys.readouterr().err
    assert node.config.listen == ("127.0.0.1", 0)
    assert node.config.name == "node"
    assert all(f"{key}: cannot change" in said for key in ("listen", "name", "seed"))


def test_an_older_list_in_the_file_replaces_nothing(node, rewrite):
    hosts = json.loads(listing(0, "e9"))["hosts"]
    rewrite(known={"seq": 0, "whole": True, "hosts": hosts})
    assert list(node.discovery.held) == ["e1"]
    rewrite(known={"seq": 2, "whole": True, "hosts": hosts})
    assert list(node.discovery.held) == ["e9"]


def test_a_list_in_the_file_replaces_nothing_that_discovery_told(node, roster, rewrite):
    roster(listing(1, "e2"))
    rewrite(known=json.loads(listing(9, "e9")))
    assert list(node.discovery.held) == ["e2"]


# The end.


def test_after_sigterm_a_client_may_use_its_connection_for_a_while(node, client, reply):
    node.shutdown.begin()
    assert b"Connection: close" not in reply(client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"))


def test_near_the_end_answers_close_their_connections(node, client, reply):
    node.shutdown.begin()
    node.downstream.drain(0.0, 0.0)
    data = reply(client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"))
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"Connection: close" in data


def test_sigterm_ends_an_idle_node_after_new_connections_have_ceased(node, monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "LISTEN_MS", 1.0)
    node.shutdown.begin()
    node.loop.run()
    assert node.loop.stopped
    assert node.downstream.sock.fileno() < 0


def test_sigterm_answers_what_is_open_before_the_end(node, client, reply, monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "LISTEN_MS", 1.0)
    monkeypatch.setattr(graceful_shutdown, "MAX_DRAIN_MS", 1.0)
    monkeypatch.setattr(graceful_shutdown, "ANSWER_MS", 1.0)
    sock = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    node.shutdown.begin()
    assert reply(sock).startswith(b"HTTP/1.1 503 ")


def test_a_failed_coroutine_still_closes_its_connection(upstream, loop, capsys, monkeypatch):
    loop.fault = lambda text: None
    parts = upstream(ANSWER)
    monkeypatch.setattr(attempts_module.AttemptRun, "read_last_line", lambda *args: 1 / 0)
    assert sent(parts) == [Outcome.BROKEN]
    assert reasons(capsys) == ["fault"]


def test_waits_stop_reading_ahead_of_a_peer_that_sends_on(connection):
    made = connection(h11.SERVER)
    assert made.wait_for_end()[1] == READ | END
    made.buffer.space(1 << 17)
    made.buffer.added(1 << 17)
    assert made.wait_for_end()[1] == END  # its end alone is waited for; test_endings has both on sockets


def test_a_connection_that_does_not_come_up_in_time_is_logged(loop, capsys):
    server = socket.create_server(("127.0.0.1", 0))
    call = connect(loop, Log("n", loop.now), server.getsockname(), "x", inf)
    next(call)
    with pytest.raises(ConnectionEndedError) as raised:
        call.send(LATE)
    server.close()
    assert raised.value.reason is Reason.NO_CONNECT
    assert reasons(capsys) == ["no-connect"]


@pytest.mark.parametrize("reason", [Reason.NO_CONNECT, Reason.REFUSED, Reason.NO_SOCKETS])
def test_what_does_not_come_up_never_ran(upstream, monkeypatch, reason):
    parts = upstream()

    def fails(*_):
        raise ConnectionEndedError(reason)
        yield

    monkeypatch.setattr(pool_module, "connect", fails)
    assert sent(parts) == [Outcome.UNREACHABLE]
    assert not parts.pool.servers["e1"].count


def test_a_cancelled_connect_closes_its_socket(loop, capsys):
    blocked = socket.create_server(("127.0.0.1", 0), backlog=0)
    call = connect(loop, Log("n", loop.now), blocked.getsockname(), "x", inf)
    assert next(call)[1] != READ
    with pytest.raises(Cancelled):
        call.throw(Cancelled())
    blocked.close()
    assert reasons(capsys) == ["withdrawn"]


def test_no_descriptor_left_pauses_accepting_and_loses_nobody(node, client, reply):
    sock = client(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with socket.socket() as free:
        number = free.fileno()
    resource.setrlimit(resource.RLIMIT_NOFILE, (number, hard))
    try:
        end, turns = node.loop.now() + 100.0, 0
        while node.loop.now() < end:
            node.loop.turn()
            turns += 1
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert turns < 30
    assert reply(sock).startswith(b"HTTP/1.1 200 ")


# The whole way.


def test_a_request_goes_to_a_server_and_its_result_back(executor, client, reply):
    asked = executor()
    assert reply(client(REQUEST)).endswith(b"\r\n\r\nr")
    assert asked.count(b"POST") == 1


def test_a_process_reads_its_file_at_sighup_and_ends_with_0_at_sigterm(tmp_path):
    values = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": OPTIONS}
    path = tmp_path / "node.json"
    path.write_text(json.dumps(values))
    command = [sys.executable, "-m", "marlseam", "serve", "--config", str(path)]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)

    def says(text):
        while text not in (line := process.stderr.readline()):
            assert line

    try:
        says("listens on")
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        says("the configuration stays as it was: EDGE_CONFIG")
        path.write_text(json.dumps(values | {"discovery": "127.0.0.1:2"}))
        process.send_signal(signal.SIGHUP)
        says("new configuration, discovery at 127.0.0.1:2")
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        says("ends with 0 requests open")
        assert process.wait(timeout=20.0) == 0
    finally:
        process.kill()
        process.communicate()
