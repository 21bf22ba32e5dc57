"""Rules for attempts and answers: one final answer in time, no unsafe repeat, a maximum of attempts."""

from dataclasses import replace

import pytest

from marlseam.decisions.types import Outcome, Request

OUTCOMES_THAT_MAY_HAVE_RUN = (
    Outcome.ERROR,
    Outcome.TIMED_OUT,
    Outcome.BROKEN,
    Outcome.CANCELLED,
    Outcome.STALE_CONNECTION,
)
OUTCOMES_THAT_NEVER_RAN = (Outcome.AT_CAPACITY, Outcome.UNREACHABLE, Outcome.CANCELLED_UNSENT)


def test_attempts_are_limited_by_the_maximum_at_the_arrival_and_by_the_present_one(
    make_dispatcher, make_request
):
    dispatcher = make_dispatcher(1.0, 1.0, 1.0, max_attempts=2)
    state = make_request(dispatcher, attempts=((0, Outcome.ERROR), (1, Outcome.ERROR)))
    dispatcher.configure(replace(dispatcher.settings, max_attempts=4))
    assert not state.may_attempt()
    later = make_request(dispatcher, attempts=((0, Outcome.ERROR), (1, Outcome.ERROR)))
    assert later.may_attempt()
    dispatcher.configure(replace(dispatcher.settings, max_attempts=2))
    assert not later.may_attempt()


def test_a_request_is_answered_before_its_deadline(make_dispatcher):
    dispatcher = make_dispatcher(0.0)
    dispatcher.accept(Request("w", 2, dispatcher.port.clock + 5000.0))
    due_ms, answer_in_time = max(dispatcher.port.timers, key=lambda timer: timer[0])
    assert due_ms < dispatcher.port.clock + 5000.0
    answer_in_time()
    answer_in_time()
    assert dispatcher.port.operations_named("fail") == [("fail", "w")]


def test_nothing_is_sent_after_the_answer(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    state = make_request(dispatcher)
    state.answer()
    state.place()
    assert not dispatcher.port.operations_named("send")


def test_a_request_without_any_server_is_queued_then_rejected(make_dispatcher):
    dispatcher = make_dispatcher()
    state = dispatcher.accept(Request("w", 0, dispatcher.port.clock + 5000.0))
    assert not state.is_closed
    dispatcher.port.clock += 2000.0
    dispatcher.dispatch_queue()
    assert dispatcher.port.operations_named("reject") == [("reject", "w")]


@pytest.mark.parametrize("outcome", OUTCOMES_THAT_MAY_HAVE_RUN)
def test_an_unsafe_request_that_may_have_run_is_failed(make_dispatcher, make_request, outcome):
    dispatcher = make_dispatcher(0.0, 0.0)
    make_request(dispatcher, 2, ((0, None),)).attempt_ended(0, outcome, False, None)
    assert dispatcher.port.operations_named("fail")
    assert not dispatcher.port.operations_named("reject")


@pytest.mark.parametrize("outcome", OUTCOMES_THAT_NEVER_RAN)
def test_an_unsafe_request_that_never_ran_may_be_retried(make_dispatcher, make_request, outcome):
    dispatcher = make_dispatcher(0.0, 0.0)
    state = make_request(dispatcher, 2, ((0, outcome),))
    assert state.may_attempt()
    assert state.may_reject_safely()
    assert state.is_eligible(1)


def test_a_keyed_request_is_retried_only_in_its_cell(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0, 0.0, 0.0, cells=(0, 0, 1))
    state = make_request(dispatcher, 1, ((0, Outcome.ERROR),))
    assert state.is_eligible(1)
    assert not state.is_eligible(2)
    assert not state.may_reject_safely()


def test_a_keyed_request_is_not_retried_past_the_deduplication_window(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0, 0.0)
    state = make_request(dispatcher, 1, ((0, Outcome.ERROR),))
    dispatcher.port.clock += 3000.0
    assert not state.may_attempt()


def test_a_second_attempt_in_flight_is_allowed_only_with_hedging(make_dispatcher, make_request):
    assert not make_request(make_dispatcher(0.0, 0.0), 0, ((0, None),)).may_attempt()
    assert make_request(make_dispatcher(0.0, 0.0, may_hedge=True), 0, ((0, None),)).may_attempt()


def test_no_attempt_is_allowed_once_the_maximum_is_reached(make_dispatcher, make_request):
    assert not make_request(make_dispatcher(0.0), 0, ((0, Outcome.ERROR),) * 4).may_attempt()


@pytest.mark.parametrize("class_index", range(3))
def test_an_invalid_request_is_failed_at_once_and_does_not_count_against_its_server(
    make_dispatcher, make_request, class_index
):
    dispatcher = make_dispatcher(0.0, 0.0)
    state = make_request(dispatcher, class_index, ((0, None),))
    state.attempt_ended(0, Outcome.INVALID_REQUEST, False, None)
    assert dispatcher.port.operations == [("fail", state.request.request_id)]
    assert dispatcher.log_likelihood_ratio[0] == 0.0
    assert dispatcher.last_response_ms[0] == dispatcher.port.now()


def test_an_attempt_at_an_ejected_server_is_cancelled_where_hedging_is_forbidden(
    make_dispatcher, make_request
):
    dispatcher = make_dispatcher(0.0, 0.0)
    make_request(dispatcher, attempts=((0, None),))
    dispatcher.eject(0, "test")
    dispatcher.retry_elsewhere(0)
    assert dispatcher.port.operations_named("cancel") == [("cancel", "w0", 0)]


def test_an_attempt_cancelled_beside_another_in_flight_is_not_retried(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0, 0.0, 0.0, may_hedge=True)
    state = make_request(dispatcher, attempts=((0, None), (1, None)))
    state.attempt_ended(0, Outcome.CANCELLED_UNSENT, False, None)
    assert not dispatcher.port.operations_named("send")
    assert state.in_flight_count() == 1
    state.attempt_ended(1, Outcome.CANCELLED_UNSENT, False, None)
    assert len(dispatcher.port.operations_named("send")) == 1
