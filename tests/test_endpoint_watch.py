"""When a watch of the endpoint list is reopened (docs/design/endings.md)."""

from dataclasses import replace

import pytest
from conftest import OPTIONS
from loopback_servers import (
    RESPONSE_HEAD,
    ListeningServer,
    node_with_discovery,
    response_of,
    run_loop,
)

from marlseam import core
from marlseam.configuration import deployment_from
from marlseam.decisions.types import ListUpdateKind
from marlseam.net import discovery as discovery_module
from marlseam.net import limits


def test_a_node_watches_the_list_where_lists_are_pushed(node, listening_servers):
    # Guards against a node that requests no changes on sockets, since the simulator sends them unrequested.
    listening_servers["discovery"] = discovery = ListeningServer()
    other_node = node_with_discovery(node, discovery, OPTIONS | {"registryMode": "automatic"})
    try:
        run_loop(other_node, 3)  # connects and calls
        assert discovery.read().startswith(b"GET /api/targets?since=1&timeout_ms=10 HTTP")
    finally:
        other_node.is_reducing = True
        other_node.loop.finish()


@pytest.mark.parametrize("must_ask_us", [1000000, 10000000, 300000000])
@pytest.mark.parametrize("aim_us", [0, 200000, 20000000])
@pytest.mark.parametrize("node_count", [1, 200])
def test_a_silent_watch_is_reopened_before_what_it_missed_counts_as_notified(
    node, must_ask_us, aim_us, node_count
):
    request_classes = [row | {"aimUs": aim_us, "deadlineUs": 60000000} for row in OPTIONS["requestClasses"]]
    options = OPTIONS | {"requestClasses": request_classes, "fleetSize": node_count}
    deployment = deployment_from(options | {"guarantees": {"mustAskInUs": must_ask_us}})
    node.discovery.set_config(replace(node.config, deployment=deployment))
    reducer = node.reducer
    reducer.reduce(0.0, core.NodeStarted(limits.settings_for_process(deployment.settings), 1))
    (timer,) = [
        effect
        for effect in reducer.reduce(0.0, core.EndpointListUpdate(ListUpdateKind.FAILED, []))
        if type(effect) is core.SetTimer
    ]
    assert core.WatchEndpoints() in reducer.reduce(timer.delay_ms, core.TimerFired(timer.timer_id))
    list_ms = 100.0  # how long a list takes to arrive, within the time allowed
    late_ms = min(node.discovery.call_ms, discovery_module.MAX_WATCH_LATE_MS) + timer.delay_ms + list_ms
    assert late_ms < 2000.0
    assert 2.0 * (node.discovery.call_ms + timer.delay_ms) < 6000.0
    assert node.discovery.wait_ms <= 60000.0


LIST_BODY = b'{"seq":5,"whole":true,"hosts":[]}'


@pytest.mark.parametrize(
    ("response", "silent_in_watch"),
    [
        (b"", False),
        (RESPONSE_HEAD[:9], False),
        (response_of(LIST_BODY)[: 9 - len(LIST_BODY)], False),
        (response_of(LIST_BODY), True),
        (response_of(LIST_BODY) + RESPONSE_HEAD[:9], True),
    ],
    ids=["before a byte", "in a head", "in a list", "after an answer", "in a watch's answer"],
)
@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
def test_a_watch_that_falls_silent_is_reopened_within_the_time_allowed(
    node, listening_servers, mode, response, silent_in_watch
):
    listening_servers["discovery"] = discovery = ListeningServer()
    settings = OPTIONS | {"registryMode": mode, "guarantees": {"stopSendingWithinUs": 400000}}
    other_node = node_with_discovery(node, discovery, settings)
    clock, lead_ms = other_node.loop.now, [0.0]  # by how much the node's clock is advanced
    other_node.loop.now = lambda: clock() + lead_ms[0]
    try:
        run_loop(other_node, 3)
        assert discovery.read()
        discovery.held[0].sendall(response)
        run_loop(other_node, 3)
        lead_ms[0] += 150.0  # past the minimum time between two calls
        run_loop(other_node, 3)
        silent_ms = other_node.loop.now()
        assert (b"since=5" in discovery.read()) is silent_in_watch
        while len(discovery.held) == 1:
            lead_ms[0] += 10.0
            run_loop(other_node, 3)
            discovery.accept()
        bound_ms = max(6000.0, other_node.discovery.wait_ms + 2000.0) if silent_in_watch else 6000.0
        if mode == "automatic" and not silent_in_watch:
            bound_ms = 400.0  # pushed changes count as known at once
        assert other_node.loop.now() - silent_ms < bound_ms
    finally:
        other_node.is_reducing = True
        other_node.loop.finish()


@pytest.mark.parametrize("grace_us", [100000, 400000, 2500000])
def test_where_lists_are_pushed_a_lost_watch_is_reopened_within_the_grace_period(node, grace_us):
    options = OPTIONS | {"registryMode": "automatic", "guarantees": {"stopSendingWithinUs": grace_us}}
    deployment = deployment_from(options)
    node.discovery.set_config(replace(node.config, deployment=deployment))
    reducer, timers = node.reducer, []
    reducer.reduce(0.0, core.NodeStarted(limits.settings_for_process(deployment.settings), 1))
    for _ in range(10):  # an outage with ten failed calls
        timers += [
            effect
            for effect in reducer.reduce(0.0, core.EndpointListUpdate(ListUpdateKind.FAILED, []))
            if type(effect) is core.SetTimer
        ]
    longest_delay_ms = max(timer.delay_ms for timer in timers)
    grace_ms = grace_us / 1000.0
    assert longest_delay_ms + node.discovery.call_ms <= grace_ms
    assert node.discovery.min_watch_gap_ms <= grace_ms / 10.0


@pytest.mark.parametrize("aims_us", [(0, 0), (0, 300000)])
def test_a_request_class_without_an_objective_causes_no_busy_loop(node, aims_us):
    rows = [row | {"aimUs": aim} for row, aim in zip(OPTIONS["requestClasses"], aims_us, strict=True)]
    deployment = deployment_from(OPTIONS | {"requestClasses": rows})
    reducer = node.reducer
    reducer.reduce(0.0, core.NodeStarted(limits.settings_for_process(deployment.settings), 1))
    dispatcher = reducer.dispatcher
    assert (
        min(
            dispatcher.check_interval_ms,
            dispatcher.probe_wait_ms,
            dispatcher.report_max_age_ms,
            dispatcher.max_queue_wait_ms,
            dispatcher.mean_slot_ms,
        )
        > 0.0
    )
    node.upstream.configure(deployment, 64)
    assert (
        min(
            node.upstream.timeouts.probe_ms,
            node.upstream.timeouts.accept_ms,
            node.upstream.timeouts.answer_end_ms,
        )
        > 0.0
    )
