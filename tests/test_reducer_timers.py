"""Timers of the reducer: reported in order, and dropped with the requests that they belong to.

See docs/incidents/2026-12-05-requests-kept-until-deadline.md.
"""

import gc

import pytest
from http_samples import REQUEST
from loopback_servers import control_clock, run_until

from marlseam.core import TimerFired
from marlseam.decisions.request_state import RequestState
from marlseam.net.reducer_timers import MIN_SWEPT_TIMERS, ReducerTimers

ANSWERED_REQUESTS = 2 * MIN_SWEPT_TIMERS


@pytest.fixture
def pending():
    return set(range(2 * MIN_SWEPT_TIMERS))


@pytest.fixture
def posted():
    return []


@pytest.fixture
def timers(loop, pending, posted):
    return ReducerTimers(loop, lambda: pending, posted.append)


def test_timers_are_reported_in_the_order_of_their_times_unless_cancelled(loop, timers, pending, posted):
    advance = control_clock(loop)
    for timer_id, delay_ms in ((1, 30.0), (2, 10.0), (3, 20.0), (4, 90.0)):
        timers.set(timer_id, delay_ms)
    pending.discard(3)
    advance(50.0)
    loop.turn()
    assert posted == [TimerFired(2), TimerFired(1)]
    advance(50.0)
    loop.turn()
    assert posted[2:] == [TimerFired(4)]


def test_a_timer_is_reported_after_an_error_in_an_earlier_one(loop, pending):
    advance, seen = control_clock(loop), []

    def post(event):
        seen.append(event.timer_id)
        raise ValueError

    loop.on_exception = lambda _text: None
    timers = ReducerTimers(loop, lambda: pending, post)
    for timer_id in (1, 2):
        timers.set(timer_id, 10.0)
    advance(20.0)
    for _ in range(3):
        loop.call_soon(lambda: None)  # so that a turn does not wait for events
        loop.turn()
    assert seen == [1, 2]


def test_cancelled_timers_are_dropped_before_they_are_due(timers, pending):
    for timer_id in range(MIN_SWEPT_TIMERS):
        timers.set(timer_id, 1e6)
    pending.clear()
    timers.set(-1, 1e6)
    assert not timers.due


def count_request_states():
    """Return how many states of requests are alive in this process, of this test and of others."""
    gc.collect()
    return sum(type(each) is RequestState for each in gc.get_objects())


def test_answered_requests_are_not_kept_until_their_deadline(node, client, reply):
    # Guards the memory against a client that sends small requests at full speed, each with a long deadline.
    states_before = count_request_states()
    sock = client(b"")
    take = node.requests.take

    def take_and_answer(pending):
        request_id = take(pending)
        node.requests.client_left(request_id)
        pending.respond(200, [], b"")
        return request_id

    node.downstream.take_request = take_and_answer
    for number in range(ANSWERED_REQUESTS):
        sock.sendall(REQUEST.replace(b"9b", b"%x" % number).replace(b"Left: 0.5", b"Left: 5"))
        assert reply(sock).startswith(b"HTTP/1.1 200 ")
    run_until(node, lambda: not node.reducer.open_requests)
    assert count_request_states() - states_before < ANSWERED_REQUESTS / 10
    assert len(node.reducer.timers) < ANSWERED_REQUESTS / 10
    assert len(node.effects.timers.due) <= 2 * MIN_SWEPT_TIMERS
