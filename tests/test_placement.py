"""Forward probing: the home server, its threshold, probes, and the chosen server."""

from dispatchers import LIVE, pending_count

from marlseam.decisions.types import Request


def test_home_takes_a_request_at_threshold_plus_one(make_dispatcher, make_request):
    dispatcher = make_dispatcher(2.0, 1.0)  # mean 1.5, threshold 2
    state = make_request(dispatcher)
    state.home_server = 0
    state.place_at_home(state.decide_at_home(state.home_server))
    assert dispatcher.port.operations_named("send") == [("send", "w0", 0)]


def test_home_over_threshold_plus_one_probes_two_others(make_dispatcher, make_request):
    dispatcher = make_dispatcher(3.0, 0.0, 0.0, 0.0)
    state = make_request(dispatcher)
    state.home_server = 0
    state.place_at_home(state.decide_at_home(state.home_server))
    assert len(dispatcher.port.operations_named("probe")) == 2
    assert ("probe", 0) not in dispatcher.port.operations


def test_a_probed_server_with_an_unreported_forwarded_request_is_not_picked(make_dispatcher, make_request):
    dispatcher = make_dispatcher(3.0, 0.0, 0.0)
    state = make_request(dispatcher)
    state.home_server, state.probed_servers, state.probe_round_ms = 0, [1, 2], dispatcher.port.now()
    dispatcher.forwarded_since_report[1] = True
    state.probes_ended()
    assert dispatcher.port.operations_named("send") == [("send", "w0", 2)]


def test_home_keeps_a_request_when_no_probed_server_qualifies(make_dispatcher, make_request):
    dispatcher = make_dispatcher(3.0, 3.0, 3.0)
    state = make_request(dispatcher)
    state.home_server, state.probed_servers, state.probe_round_ms = 0, [1, 2], dispatcher.port.now() + 1.0
    state.probes_ended()
    assert dispatcher.port.operations_named("send") == [("send", "w0", 0)]


def test_a_home_with_a_stale_report_is_probed_first(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0)
    dispatcher.port.clock += 2.0 * dispatcher.report_max_age_ms
    make_request(dispatcher).place()
    assert dispatcher.port.operations_named("probe") == [("probe", 0)]
    assert not dispatcher.port.operations_named("send")


def test_an_unanswered_probe_delays_no_request_past_its_timeout(make_dispatcher, make_request):
    dispatcher = make_dispatcher(9.0, 0.0, 0.0)
    state = make_request(dispatcher)
    state.home_server = 0
    dispatcher.port.clock += 1.0
    state.probe([1, 2], state.probes_ended)
    dispatcher.others_slots[0] = 0.0
    _, time_out = dispatcher.port.timers[-1]
    time_out()
    assert dispatcher.port.operations_named("send") == [("send", "w0", 0)]


def test_other_servers_are_probed_where_home_is_ejected(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0, 0.0, 0.0)
    state = make_request(dispatcher)
    state.home_server = 0
    dispatcher.eject(0, "test")
    dispatcher.retry_elsewhere(0)
    state.place_at_home(state.decide_at_home(state.home_server))
    assert len(dispatcher.port.operations_named("probe")) == 2


def test_fewer_servers_are_probed_where_probes_seldom_lead_to_a_send(make_dispatcher, make_request):
    dispatcher = make_dispatcher(9.0, 9.0, 9.0)
    for _ in range(60):
        dispatcher.learn_probe_success(False)
    state = make_request(dispatcher)
    state.home_server = 0
    state.place_at_home(state.decide_at_home(state.home_server))
    assert not dispatcher.port.operations_named("probe")
    assert pending_count(dispatcher) == 1


def test_home_is_drawn_among_servers_with_free_slots_with_late_reports(make_dispatcher, make_request):
    dispatcher = make_dispatcher(5.0, 5.0, 0.0, 5.0, **LIVE)
    assert {make_request(dispatcher).choose_initial_placement().server for _ in range(20)} == {2}


def test_home_is_drawn_among_servers_with_free_slots_with_gossip(make_dispatcher, make_request):
    dispatcher = make_dispatcher(4.0, 4.0, 0.0, may_gossip=True)
    dispatcher.peer_slots[4] = {}
    assert {make_request(dispatcher).choose_initial_placement().server for _ in range(20)} == {2}


def test_a_request_that_has_waited_probes_no_others(make_dispatcher, make_request):
    dispatcher = make_dispatcher(40.0, 40.0)
    state = make_request(dispatcher)
    state.has_waited, state.home_server = True, 0
    state.place_at_home(state.decide_at_home(state.home_server))
    assert not dispatcher.port.operations_named("probe")
    assert not dispatcher.port.operations_named("send")


def test_a_request_with_little_time_left_is_sent_if_a_short_run_still_fits(make_dispatcher):
    dispatcher = make_dispatcher(0.0)
    dispatcher.mean_run_ms[0] = 400.0
    dispatcher.accept(Request("w", 0, dispatcher.port.now() + 150.0))
    assert dispatcher.port.operations_named("send")
    assert not dispatcher.port.operations_named("reject")
