"""Malformed responses, reports and requests cause no internal error of the node (docs/design/endings.md)."""

import socket

import pytest
from loopback_servers import (
    DEEPLY_NESTED,
    HUGE_NUMBER,
    NO_PROBES,
    SAFE_REQUEST,
    UNSAFE_REQUEST,
    response_of,
    run_until,
)

from marlseam.decisions.types import Outcome
from marlseam.net import downstream

MALFORMED_RESPONSES = {
    "a share no float holds": response_of(
        b'{"id":"9b","from":"e1","state":"running","share":%b}\n' % HUGE_NUMBER
    ),
    "a report no float holds": response_of(
        b'{"id":"9b","from":"e1","state":"done","result":"r","load":{"queue":%b}}\n' % HUGE_NUMBER
    ),
    "nested for ever": response_of(DEEPLY_NESTED + b"\n"),
    "a length no number holds": b"HTTP/1.1 200 -\r\nContent-Length: %b\r\n\r\n" % (b"9" * 5000),
    "no text": response_of(b'{"id":"9b","from":"e1","state":"done","result":"\xff"}\n'),
    "no scalar": response_of(b'{"id":"9b","from":"e1","state":"done","result":"\\ud800"}\n'),
    "another protocol": b"HTTP/1.1 101 -\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "a last line without its end": response_of(b'{"id":"9b","from":"e1","state":"returned"}'),
    "no head": b"\x00" * 20000,
    "a long head": b"HTTP/1.1 200 -\r\n" + b"x: y\r\n" * 5000,
    "an invalid chunk size": b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n%b\r\n" % (b"f" * 30),
}


@pytest.mark.parametrize("response", MALFORMED_RESPONSES.values(), ids=MALFORMED_RESPONSES)
def test_an_attempt_with_a_malformed_response_is_not_retried_and_causes_no_internal_error(
    node, client, list_test_servers, reply, capsys, response
):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    client_socket = client(UNSAFE_REQUEST)
    run_until(node, lambda: b"abc" in server.read())
    server.held[0].sendall(response)
    server.held[0].shutdown(socket.SHUT_WR)
    answer = reply(client_socket)
    is_completed = response is MALFORMED_RESPONSES["a report no float holds"]
    assert answer.startswith(b"HTTP/1.1 200 " if is_completed else b"HTTP/1.1 500 ")
    assert not node.upstream.attempts.in_flight
    assert node.counters.attempts == 1
    assert "Traceback" not in capsys.readouterr().err


@pytest.mark.parametrize(
    "response",
    [
        response_of(b'{"queue":%b}' % HUGE_NUMBER),
        response_of(b'{"queue":%b' % DEEPLY_NESTED),
        response_of(b"TEXT queue=%b" % HUGE_NUMBER),
    ],
    ids=["number", "nested", "text"],
)
def test_a_malformed_report_is_ignored_without_an_internal_error(node, list_test_servers, capsys, response):
    (server,) = list_test_servers("e1")
    events = []
    node.upstream.health_checks.post = events.append
    node.upstream.health_checks.start("e1")
    run_until(node, lambda: b"/-/load" in server.read())
    server.held[0].sendall(response)
    run_until(node, lambda: events)
    assert events[0].outcome is Outcome.COMPLETED
    assert "Traceback" not in capsys.readouterr().err


REQUEST_HEAD = b"POST /statement HTTP/1.1\r\nHost: h\r\n"
MALFORMED_REQUESTS = {
    "a length no number holds": REQUEST_HEAD + b"Content-Length: %b\r\n\r\n" % (b"9" * 5000),
    "slots no float holds": SAFE_REQUEST.replace(b"Host: h", b"Host: h\r\nX-Facts: slots=%b" % HUGE_NUMBER),
    "a time no float holds": SAFE_REQUEST.replace(b"Left: 5", b"Left: %b" % HUGE_NUMBER),
    "a target of another script": SAFE_REQUEST.replace(b"/statement", b"/statement?user=%ff%fe&x=\xe9"),
    "a chunk without end": REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"f" * 9999,
}


@pytest.mark.parametrize("request_bytes", MALFORMED_REQUESTS.values(), ids=MALFORMED_REQUESTS)
def test_a_malformed_request_is_answered_with_4xx_and_causes_no_internal_error(
    client, reply, capsys, monkeypatch, request_bytes
):
    monkeypatch.setattr(downstream, "READ_TIMEOUT_MS", 300.0)
    assert reply(client(request_bytes))[:10] == b"HTTP/1.1 4"
    assert "Traceback" not in capsys.readouterr().err
