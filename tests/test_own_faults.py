"""An error of this program costs no request its final answer, and frees none of the rules (docs/node.md)."""

import time
from collections.abc import Callable

import pytest
from test_endings import REQUEST

from marlseam import core
from marlseam.net import node as node_module


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
        table = core.STEPS if kind in core.STEPS else node_module.EFFECTS
        monkeypatch.setitem(table, kind, fails)

    return begin


def test_a_request_is_refused_where_taking_it_fails(node, client, reply, executor, plant):
    executor()
    plant(core.Arrival)
    assert reply(client(REQUEST)).startswith(b"HTTP/1.1 503")


def test_a_request_is_answered_at_once_where_its_end_is_not_taken_in(node, client, reply, executor, plant):
    executor()
    plant(core.Settled)
    began = time.monotonic()
    assert reply(client(REQUEST)).startswith(b"HTTP/1.1 500")
    assert time.monotonic() - began < 2.0 and not node.pending


def test_a_request_is_refused_where_sending_it_fails(node, client, reply, executor, plant):
    asked = executor()
    plant(core.Send)
    began = time.monotonic()
    assert reply(client(REQUEST)).startswith(b"HTTP/1.1 503")
    assert time.monotonic() - began < 2.0 and not node.pending and b"POST" not in asked
