"""Ejection and trial of servers, by outcomes, probes and stalled attempts."""

import pytest
from dispatchers import LIVE, usable_servers

from marlseam.decisions.types import LoadReport, Outcome


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.BROKEN, Outcome.TIMED_OUT])
def test_a_fast_failing_server_is_ejected(make_dispatcher, make_request, outcome):
    dispatcher = make_dispatcher(0.0, 0.0)
    for _ in range(2):
        make_request(dispatcher, attempts=((0, None),)).attempt_ended(0, outcome, False, None)
    assert 0 not in usable_servers(dispatcher)


def test_requests_that_fail_on_every_server_do_not_count_against_the_servers(make_dispatcher, make_request):
    # Guards against ejecting all servers when two request classes fail on every server (incident i89b8ef).
    dispatcher = make_dispatcher(*(0.0,) * 6)
    for i in range(120):
        outcome = Outcome.COMPLETED if i % 5 in (1, 3) else Outcome.ERROR
        make_request(dispatcher, attempts=((i % 6, None),)).attempt_ended(0, outcome, False, None)
        dispatcher.port.clock += 500.0
    logged_before = len(dispatcher.port.operations_named("log"))
    for i in range(120):
        outcome = Outcome.COMPLETED if i % 5 in (1, 3) else Outcome.ERROR
        make_request(dispatcher, attempts=((i % 6, None),)).attempt_ended(0, outcome, False, None)
        dispatcher.port.clock += 20.0
    assert len(dispatcher.port.operations_named("log")) - logged_before <= 2
    assert len(usable_servers(dispatcher)) >= 5
    for _ in range(3):  # failures of a class that succeeds elsewhere still count against the server
        make_request(dispatcher, 1, ((3, None),)).attempt_ended(0, Outcome.ERROR, False, None)
    assert 3 not in usable_servers(dispatcher)


def test_an_ejected_server_is_tried_again_with_one_request(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    dispatcher.eject(0, "test")
    dispatcher.retry_elsewhere(0)
    dispatcher.port.clock = dispatcher.ejected_until_ms[0]
    assert usable_servers(dispatcher) == [0]
    make_request(dispatcher, attempts=((0, None),))
    assert usable_servers(dispatcher) == []


def test_an_unresponsive_server_is_probed_when_it_is_drawn(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    dispatcher.probe_ended(0, Outcome.TIMED_OUT, 400.0, None)
    assert usable_servers(dispatcher) == []
    dispatcher.port.clock = dispatcher.ejected_until_ms[0]
    make_request(dispatcher).place()
    assert dispatcher.port.operations_named("probe")
    assert not dispatcher.port.operations_named("send")
    dispatcher.probe_ended(0, Outcome.COMPLETED, 1.0, LoadReport(held=0.0))
    assert dispatcher.ejected_until_ms[0] is None
    assert dispatcher.port.operations_named("send")


def test_a_server_with_an_overdue_probe_is_avoided(make_dispatcher):
    dispatcher = make_dispatcher(0.0)
    dispatcher.probe(0, lambda _server: None)
    dispatcher.port.clock += 2.0 * dispatcher.probe_wait_ms
    assert usable_servers(dispatcher) == []


def test_a_started_attempt_without_progress_is_stalled(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    state = make_request(dispatcher, attempts=((0, None),))
    state.started(0)
    dispatcher.port.clock += 3000.0
    assert dispatcher.detect_stall(0)


def test_a_long_wait_in_a_servers_queue_is_no_stall(make_dispatcher, make_request):
    dispatcher = make_dispatcher(6.0)
    make_request(dispatcher, attempts=((0, None),))
    dispatcher.port.clock += 3000.0
    dispatcher.last_report_ms[0] = dispatcher.port.clock
    assert not dispatcher.detect_stall(0)


def test_a_stale_connection_does_not_count_against_its_server(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    state = make_request(dispatcher, attempts=((0, None),))
    state.attempt_ended(0, Outcome.STALE_CONNECTION, False, None)
    assert dispatcher.log_likelihood_ratio[0] == 0.0


def test_broken_connections_cancel_no_running_attempt(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0, 0.0)
    make_request(dispatcher, attempts=((0, None),))
    dispatcher.record_outcome(0, 99.0)
    dispatcher.probe_ended(0, Outcome.BROKEN, 1.0, None)
    assert 0 not in usable_servers(dispatcher)
    assert not dispatcher.port.operations_named("cancel")
    dispatcher.probe_ended(0, Outcome.TIMED_OUT, 1.0, None)
    assert dispatcher.port.operations_named("cancel") == [("cancel", "w0", 0)]


def test_a_silent_attempt_from_before_the_ejection_does_not_prevent_the_trial(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    make_request(dispatcher, attempts=((0, None),))
    dispatcher.port.clock += 3.0 * dispatcher.report_max_age_ms
    dispatcher.last_report_ms[0], dispatcher.free_slots[0] = dispatcher.port.clock, 4.0
    assert dispatcher.detect_stall(0)
    dispatcher.eject(0, "test")
    dispatcher.retry_elsewhere(0)
    dispatcher.port.clock = dispatcher.ejected_until_ms[0] + 3.0 * dispatcher.report_max_age_ms
    assert usable_servers(dispatcher) == [0]
    assert not dispatcher.detect_stall(0)
    make_request(dispatcher, 1, ((0, None),))
    assert usable_servers(dispatcher) == []


def test_a_report_sampled_before_an_attempt_shows_no_stall(make_dispatcher, make_request):
    # Guards against ejecting servers by reports of a second earlier, when they were idle (incident ie3063f).
    dispatcher = make_dispatcher(0.0, **LIVE)
    make_request(dispatcher, attempts=((0, None),))
    dispatcher.refresh_period_ms, dispatcher.free_slots[0] = 1000.0, 4.0
    dispatcher.port.clock += 2.5 * dispatcher.report_max_age_ms
    dispatcher.last_report_ms[0] = dispatcher.port.clock - 1.0
    assert not dispatcher.detect_stall(0)
    dispatcher.port.clock += 1000.0
    dispatcher.last_report_ms[0] = dispatcher.port.clock - 1.0
    assert dispatcher.detect_stall(0)
