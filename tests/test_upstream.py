"""Attempts at servers, the connection pool and health checks."""

from dataclasses import replace

import pytest
from http_samples import CLIENT_REQUEST, attempt_outcomes, logged_codes, send_attempt
from scripted_socket import ANSWER, LINES

from marlseam import core
from marlseam.decisions.types import Outcome
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.log import Reason
from marlseam.net.upstream import AttemptOrder, attempts, pool


@pytest.mark.parametrize(("only_draining_excludes", "keeps_address"), [(False, False), (True, True)])
def test_a_server_off_the_list_keeps_its_address_where_only_draining_excludes(
    make_upstream, deployment, monkeypatch, only_draining_excludes, keeps_address
):
    upstream = make_upstream(ANSWER)
    settings = replace(deployment.settings, only_draining_excludes=only_draining_excludes)
    upstream.configure(replace(deployment, settings=settings), 64)
    upstream.update_endpoints(set(), {})
    assert ("e1" in upstream.pool.servers) is keeps_address
    monkeypatch.setattr(pool, "FORGET_AFTER_LIST_MAX_AGES", 0.0)
    upstream.update_endpoints(set(), {})
    assert "e1" not in upstream.pool.servers


def test_a_complete_answer_completes_the_attempt(make_upstream):
    upstream = make_upstream(ANSWER)
    assert send_attempt(upstream) == [Outcome.COMPLETED]
    assert upstream.events[0] == core.AttemptStarted("1", 0)
    assert upstream.events[1].result == b"r"
    assert len(upstream.pool.servers["e1"].idle) == 1


@pytest.mark.parametrize("first_read_bytes", range(1, len(ANSWER)))
def test_an_answer_in_two_reads_completes_the_attempt(make_upstream, first_read_bytes):
    assert send_attempt(make_upstream(ANSWER[:first_read_bytes], ANSWER[first_read_bytes:])) == [
        Outcome.COMPLETED
    ]


@pytest.mark.parametrize("length", range(len(ANSWER)))
def test_an_answer_cut_before_its_last_line_ends_is_broken(make_upstream, length):
    last_line_end = ANSWER.index(LINES) + len(LINES)
    outcome = Outcome.COMPLETED if length >= last_line_end else Outcome.BROKEN
    assert send_attempt(make_upstream(ANSWER[:length])) == [outcome]


def test_only_an_attempt_written_to_its_last_byte_may_have_run(make_upstream):
    upstream = make_upstream()
    send_attempt(upstream)
    size = len(upstream.connections[0].sock.sent)
    for takes in range(size):
        assert send_attempt(make_upstream(takes=takes)) == [Outcome.UNREACHABLE]
    assert send_attempt(make_upstream(takes=size)) == [Outcome.BROKEN]


@pytest.mark.parametrize("piece", [1, 7, 100])
def test_a_request_is_written_in_pieces(make_upstream, until, piece):
    upstream = make_upstream(ANSWER, piece=piece)
    send_attempt(upstream)
    until(lambda: attempt_outcomes(upstream))
    data = upstream.connections[0].sock.sent
    assert attempt_outcomes(upstream) == [Outcome.COMPLETED]
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
def test_an_invalid_line_breaks_the_attempt_and_ends_the_connection(make_upstream, until, capsys, lines):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(lines)
    upstream = make_upstream(head + lines)
    send_attempt(upstream)
    until(lambda: attempt_outcomes(upstream))  # a long line is read in several turns
    assert attempt_outcomes(upstream) == [Outcome.BROKEN]
    assert logged_codes(capsys) == ["bad-message"]


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
def test_an_answer_without_lines_has_its_outcome(make_upstream, answer, outcome):
    assert send_attempt(make_upstream(answer)) == [outcome]


def test_a_silent_server_times_out_at_the_deadline(make_upstream, until, capsys):
    upstream = make_upstream(silent=True)
    send_attempt(upstream, timeout_ms=5.0)
    until(lambda: attempt_outcomes(upstream))
    assert attempt_outcomes(upstream) == [Outcome.TIMED_OUT]
    assert logged_codes(capsys) == ["timed-out"]
    assert not upstream.attempts.in_flight
    assert not upstream.pool.servers["e1"].count


@pytest.mark.parametrize(
    ("answer_start", "is_unsafe", "outcome"),
    [
        (b"", False, Outcome.TIMED_OUT),
        (ANSWER[: ANSWER.index(b"done")], False, Outcome.TIMED_OUT),
        (b"", True, None),
        (ANSWER[: ANSWER.index(b"\r\n\r\n") + 4], False, None),
    ],
)
def test_a_connection_that_falls_silent_times_out_before_the_deadline_unless_unsafe(
    make_upstream, until, answer_start, is_unsafe, outcome
):
    upstream = make_upstream(*filter(None, [answer_start]), silent=True)
    upstream.timeouts.accept_ms = upstream.timeouts.progress_gap_ms = 5.0
    now = upstream.loop.now()
    upstream.attempts.send(
        AttemptOrder("1", 0, "e1", replace(CLIENT_REQUEST, is_unsafe=is_unsafe), now + 90000.0, now + 90000.0)
    )
    upstream.loop.call_at(now + 51.0, lambda: None)
    until(lambda: upstream.loop.now() > now + 50.0)
    assert attempt_outcomes(upstream) == ([outcome] if outcome else [])


def test_a_health_check_is_retried_where_a_connection_falls_silent(make_upstream, until):
    upstream = make_upstream(silent=True)
    upstream.timeouts.probe_ms = 10.0
    upstream.health_checks.start("e1")
    until(lambda: upstream.events)
    assert len(upstream.connections) == 2
    assert upstream.events[0].outcome is Outcome.TIMED_OUT


def test_a_cancelled_attempt_closes_its_connection(make_upstream):
    upstream = make_upstream(silent=True)
    send_attempt(upstream)
    upstream.attempts.cancel("1", 0)
    assert attempt_outcomes(upstream) == [Outcome.CANCELLED]
    assert not upstream.connections[0].sock.open


def test_an_unlisted_server_is_unreachable(make_upstream):
    upstream = make_upstream(ANSWER)
    upstream.update_endpoints(set(), {})
    assert send_attempt(upstream) == [Outcome.UNREACHABLE]
    assert not upstream.connections


def test_an_idle_connection_is_reused(make_upstream):
    upstream = make_upstream(ANSWER, silent=True)
    send_attempt(upstream)
    upstream.connections[0].sock.upon_send.append(ANSWER)
    assert send_attempt(upstream) == [Outcome.COMPLETED] * 2
    assert len(upstream.connections) == 1


def test_a_pooled_connection_that_was_closed_is_not_used(make_upstream):
    upstream = make_upstream(ANSWER)
    send_attempt(upstream)
    assert send_attempt(upstream) == [Outcome.COMPLETED] * 2
    assert len(upstream.connections) == 2


@pytest.mark.parametrize(
    ("answer_start", "outcome"),
    [(b"", Outcome.STALE_CONNECTION), (ANSWER[:60], Outcome.BROKEN), (ANSWER[:5], Outcome.STALE_CONNECTION)],
)
def test_a_reused_connection_that_ends_before_an_answer_is_stale(make_upstream, answer_start, outcome):
    upstream = make_upstream(ANSWER, silent=True)
    send_attempt(upstream)
    sock = upstream.connections[0].sock
    sock.upon_send = [*filter(None, [answer_start]), b""]
    assert send_attempt(upstream)[-1] is outcome


def test_a_health_check_is_retried_where_a_reused_connection_ends(make_upstream):
    upstream = make_upstream(b"HTTP/1.1 200 -\r\nContent-Length: 0\r\n\r\n", silent=True)
    upstream.health_checks.start("e1")
    upstream.connections[0].sock.takes = len(upstream.connections[0].sock.sent)
    upstream.health_checks.start("e1")
    assert [event.outcome for event in upstream.events] == [Outcome.COMPLETED] * 2
    assert len(upstream.connections) == 2


def test_a_health_check_without_a_free_connection_is_cancelled_unsent(make_upstream):
    upstream = make_upstream()
    upstream.pool.max_connections = 0
    upstream.health_checks.start("e1")
    assert upstream.events[0].outcome is Outcome.CANCELLED_UNSENT


def test_an_idle_connection_is_closed_after_the_idle_timeout(make_upstream, until, capsys):
    upstream = make_upstream(ANSWER, silent=True)
    upstream.timeouts.idle_ms = 1.0
    send_attempt(upstream)
    until(lambda: not upstream.pool.servers["e1"].count)
    assert logged_codes(capsys) == ["idle"]


def test_a_server_off_the_list_is_removed_once_no_attempt_is_in_flight(make_upstream):
    upstream = make_upstream(silent=True)
    send_attempt(upstream)
    upstream.update_endpoints(set(), {})
    assert "e1" in upstream.pool.servers
    upstream.attempts.cancel("1", 0)
    assert not upstream.pool.servers


def test_a_changed_address_closes_the_idle_connections(make_upstream, capsys):
    upstream = make_upstream(ANSWER, silent=True)
    send_attempt(upstream)
    upstream.update_endpoints({"e1"}, {"e1": ("127.0.0.2", 9)})
    assert logged_codes(capsys) == ["forgotten"]


def test_connections_to_one_server_are_bounded(make_upstream):
    upstream = make_upstream(silent=True)
    for _ in range(upstream.pool.max_per_server() + 1):
        send_attempt(upstream)
    assert attempt_outcomes(upstream) == [Outcome.UNREACHABLE]
    assert len(upstream.connections) == upstream.pool.max_per_server()


def test_the_longest_idle_connection_is_evicted(make_upstream, capsys):
    upstream = make_upstream(ANSWER, silent=True)
    send_attempt(upstream)
    upstream.pool.max_connections = 1
    upstream.update_endpoints({"e1", "e2"}, {"e2": ("127.0.0.1", 9)})
    upstream.health_checks.start("e2")
    assert logged_codes(capsys) == ["crowded"]
    assert upstream.pool.open_count() == 1


@pytest.mark.parametrize(
    ("status", "outcome"), [(200, Outcome.COMPLETED), (503, Outcome.AT_CAPACITY), (404, Outcome.ERROR)]
)
def test_a_health_check_has_the_outcome_of_its_status_and_the_load_report(make_upstream, status, outcome):
    upstream = make_upstream(b"HTTP/1.1 %d -\r\nContent-Length: 13\r\n\r\nTEXT x0=3.500" % status)
    upstream.health_checks.start("e1")
    (event,) = upstream.events
    assert (event.outcome, event.report.free_slots) == (outcome, 3.5)


def test_a_health_check_times_out(make_upstream, until):
    upstream = make_upstream(silent=True)
    upstream.timeouts.probe_ms = 1.0
    upstream.health_checks.start("e1")
    until(lambda: upstream.events)
    assert upstream.events[0].outcome is Outcome.TIMED_OUT


def test_a_health_check_may_open_a_connection_past_the_limit_of_attempts(make_upstream):
    upstream = make_upstream(silent=True)
    for _ in range(upstream.pool.max_per_server()):
        send_attempt(upstream)
    upstream.health_checks.start("e1")
    assert len(upstream.connections) == upstream.pool.max_per_server() + 1


def test_an_internal_error_in_an_attempt_closes_its_connection(make_upstream, loop, capsys, monkeypatch):
    loop.on_exception = lambda _: None
    upstream = make_upstream(ANSWER)
    monkeypatch.setattr(attempts.AttemptRun, "read_last_line", lambda *_: 1 / 0)
    assert send_attempt(upstream) == [Outcome.BROKEN]
    assert logged_codes(capsys) == ["fault"]


@pytest.mark.parametrize("reason", [Reason.NO_CONNECT, Reason.REFUSED, Reason.NO_SOCKETS])
def test_an_attempt_whose_connection_does_not_open_is_unreachable(make_upstream, monkeypatch, reason):
    upstream = make_upstream()

    def fail_to_connect(*_):
        raise ConnectionEndedError(reason)
        yield

    monkeypatch.setattr(pool, "connect", fail_to_connect)
    assert send_attempt(upstream) == [Outcome.UNREACHABLE]
    assert not upstream.pool.servers["e1"].count
