"""Exceptions in the node's own code: each request is still answered, and rules hold (docs/node.md)."""

import time
from collections.abc import Callable

import pytest
from loopback_servers import REAL_TIME_LIMIT_MS, SAFE_REQUEST, UNSAFE_REQUEST, run_until

from marlseam import core
from marlseam.net import effects, protocol
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.invariants import Invariant
from marlseam.net.log import Reason


class InjectedFaultError(Exception):
    """The exception that a test injects."""


def raise_fault(*_arguments: object) -> None:
    raise InjectedFaultError


@pytest.fixture
def inject_fault(monkeypatch: pytest.MonkeyPatch) -> Callable[[type], None]:
    """Return a function that makes the handler of one type of event or effect raise InjectedFaultError."""

    def inject(kind: type) -> None:
        table = core.EVENT_HANDLERS if kind in core.EVENT_HANDLERS else effects.HANDLERS
        monkeypatch.setitem(table, kind, raise_fault)

    return inject


def test_a_request_is_rejected_where_accepting_it_raises(client, reply, start_server, inject_fault):
    start_server()
    inject_fault(core.RequestArrived)
    assert reply(client(SAFE_REQUEST)).startswith(b"HTTP/1.1 503")


@pytest.mark.parametrize(
    ("request_bytes", "status_line"),
    [(SAFE_REQUEST, b"HTTP/1.1 503"), (UNSAFE_REQUEST, b"HTTP/1.1 500")],
    ids=["safe", "unsafe"],
)
def test_a_request_is_answered_at_once_where_handling_its_attempts_end_raises(
    node, client, reply, start_server, inject_fault, request_bytes, status_line
):
    methods_received = start_server()
    inject_fault(core.AttemptEnded)
    began_s = time.monotonic()
    assert reply(client(request_bytes)).startswith(status_line)
    assert time.monotonic() - began_s < 2.0
    assert not node.requests.pending
    assert methods_received.count(b"POST") == 1


@pytest.mark.parametrize("kind", [core.AttemptEnded, core.ClientLeft, core.TimerFired, core.ProbeEnded])
def test_after_repeated_exceptions_each_request_is_answered_and_sent_at_most_once(
    node, client, reply, start_server, inject_fault, kind
):
    methods_received = start_server()
    inject_fault(kind)
    for _ in range(3):
        assert reply(client(UNSAFE_REQUEST)).startswith((b"HTTP/1.1 200", b"HTTP/1.1 500", b"HTTP/1.1 503"))
    assert methods_received.count(b"POST") <= 3
    assert not node.requests.pending


def test_a_request_whose_reading_raises_is_answered_500(client, reply, start_server, monkeypatch):
    start_server()
    monkeypatch.setattr(protocol, "client_request_from", raise_fault)
    assert reply(client(SAFE_REQUEST)).startswith(b"HTTP/1.1 500")


def test_a_request_given_up_after_an_exception_is_counted(node, client, reply, start_server, inject_fault):
    start_server()
    inject_fault(core.RequestArrived)
    reply(client(SAFE_REQUEST))
    assert "requests_given_up_on_faults=1\n" in node.figures()


def test_a_request_is_rejected_where_sending_it_raises(node, client, reply, start_server, inject_fault):
    methods_received = start_server()
    inject_fault(core.SendAttempt)
    began_s = time.monotonic()
    assert reply(client(SAFE_REQUEST)).startswith(b"HTTP/1.1 503")
    assert time.monotonic() - began_s < 2.0
    assert not node.requests.pending
    assert b"POST" not in methods_received


def test_closing_a_connection_with_an_unanswered_request_is_counted(node, client, start_server, monkeypatch):
    # The injected error drops the request: the connection ends without an answer to its client.
    start_server()

    def drop_request(*_arguments: object) -> object:
        raise ConnectionEndedError(Reason.FAULT)
        yield

    monkeypatch.setattr(node.downstream, "serve_request", drop_request)
    client(SAFE_REQUEST)
    run_until(node, lambda: node.violations.counts[Invariant.CLOSE], REAL_TIME_LIMIT_MS)
    assert node.violations.total() == 1
    assert f"invariant_violations_total.{Invariant.CLOSE.value}=1\n" in node.figures()


def test_requests_that_are_answered_or_whose_client_leaves_violate_no_invariant(
    node, client, reply, start_server
):
    start_server()
    for _ in range(3):
        reply(client(SAFE_REQUEST))
    client(UNSAFE_REQUEST).close()
    run_until(node, lambda: not node.downstream.unanswered, REAL_TIME_LIMIT_MS)
    assert not node.violations.total()
