"""An error of this program costs no request its final answer, and frees none of the rules (docs/node.md)."""

import time
from collections.abc import Callable

import pytest
from test_endings import POSTING, REQUEST

from marlseam import core
from marlseam.net import effects, protocol
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.invariants import Invariant
from marlseam.net.log import Reason


class Planted(Exception):
    """The error that the test plants."""


def fails(*words: object) -> None:
    raise Planted


def turn(node, holds: Callable[[], object], seconds: float = 10.0) -> None:
    end = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < end, "it did not come"
        node.loop.at(node.loop.now() + 1.0, lambda: None)
        node.loop.turn()


@pytest.fixture
def plant(monkeypatch: pytest.MonkeyPatch) -> Callable[[type], None]:
    """Return a function that has the reducer or an adapter fail at one kind of event or effect."""

    def begin(kind: type) -> None:
        table = core.EVENT_HANDLERS if kind in core.EVENT_HANDLERS else effects.HANDLERS
        monkeypatch.setitem(table, kind, fails)

    return begin


def test_a_request_is_refused_where_taking_it_fails(node, client, reply, executor, plant):
    executor()
    plant(core.RequestArrived)
    assert reply(client(REQUEST)).startswith(b"HTTP/1.1 503")


@pytest.mark.parametrize(
    ("request_bytes", "says"),
    [(REQUEST, b"HTTP/1.1 503"), (POSTING, b"HTTP/1.1 500")],
    ids=["safe", "unsafe"],
)
def test_a_request_is_answered_at_once_where_its_end_is_not_taken_in(
    node, client, reply, executor, plant, request_bytes, says
):
    asked = executor()
    plant(core.AttemptEnded)
    began = time.monotonic()
    assert reply(client(request_bytes)).startswith(says)
    assert time.monotonic() - began < 2.0
    assert not node.requests.pending
    assert asked.count(b"POST") == 1


@pytest.mark.parametrize("kind", [core.AttemptEnded, core.ClientLeft, core.TimerFired, core.ProbeEnded])
def test_errors_again_and_again_cost_no_answer_and_no_second_attempt(
    node, client, reply, executor, plant, kind
):
    asked = executor()
    plant(kind)
    for _ in range(3):
        assert reply(client(POSTING)).startswith((b"HTTP/1.1 200", b"HTTP/1.1 500", b"HTTP/1.1 503"))
    assert asked.count(b"POST") <= 3
    assert not node.requests.pending


def test_an_error_while_a_request_is_read_is_told_to_its_client(node, client, reply, executor, monkeypatch):
    executor()
    monkeypatch.setattr(protocol, "client_request_from", fails)
    assert reply(client(REQUEST)).startswith(b"HTTP/1.1 500")


def test_what_was_answered_for_an_error_is_counted(node, client, reply, executor, plant):
    executor()
    plant(core.RequestArrived)
    reply(client(REQUEST))
    assert "requests_given_up_on_faults=1\n" in node.figures()


def test_a_request_is_refused_where_sending_it_fails(node, client, reply, executor, plant):
    asked = executor()
    plant(core.SendAttempt)
    began = time.monotonic()
    assert reply(client(REQUEST)).startswith(b"HTTP/1.1 503")
    assert time.monotonic() - began < 2.0
    assert not node.requests.pending
    assert b"POST" not in asked


def test_a_close_over_an_unanswered_request_is_counted(node, client, executor, monkeypatch):
    # The planted defect drops the answer: the connection ends with no word to its client.
    executor()

    def dropped(*words: object) -> object:
        raise ConnectionEndedError(Reason.FAULT)
        yield

    monkeypatch.setattr(node.downstream, "serve_request", dropped)
    client(REQUEST)
    turn(node, lambda: node.violations.counts[Invariant.CLOSE])
    assert node.violations.total() == 1
    assert f"invariant_violations_total.{Invariant.CLOSE.value}=1\n" in node.figures()


def test_requests_that_are_answered_or_whose_client_leaves_break_no_invariant(node, client, reply, executor):
    executor()
    for _ in range(3):
        reply(client(REQUEST))
    client(POSTING).close()
    turn(node, lambda: not node.downstream.unanswered)
    assert not node.violations.total()
