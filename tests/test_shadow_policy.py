"""The shadow policy has no effect on the node and counts where its decisions would differ."""

import json
import signal
import socket
import subprocess
import sys
from dataclasses import replace

import pytest
from settings_samples import NODE_CONFIG, OPTIONS

from marlseam import core
from marlseam.configuration import ConfigError, deployment_from, load
from marlseam.core import EndpointEntry, Reducer
from marlseam.decisions.types import Decision, EndpointState, ListUpdateKind, LoadReport, Outcome, Request
from marlseam.shadow_policy import ShadowPolicy

SETTINGS = deployment_from(OPTIONS).settings


def make_entry(name, weight=None):
    return EndpointEntry(name, EndpointState.READY, 0, 0, 0, None, weight)


def day_events(rounds=60, has_weights_and_keys=True):
    """Yield pairs of time (ms) and event of a day: arrivals, ends of attempts, list updates, timers.

    None in place of an event means that the servers answer the probes and start the attempts so far.
    """
    yield 0.0, core.NodeStarted(SETTINGS, 7)
    yield 1.0, core.EndpointListUpdate(ListUpdateKind.FULL, [make_entry(f"e{i}", 3.0) for i in range(4)])
    for i in range(rounds):
        arrival_ms = 10.0 + 40.0 * i
        resource_key = f"k{i % 3}" if has_weights_and_keys else None
        request = Request(f"w{i}", i % 2, arrival_ms + 5000.0, resource_key=resource_key)
        yield arrival_ms, core.RequestArrived(request)
        yield arrival_ms + 5.0, None
        if i % 10 == 9:
            weights = [3.0 / (1 + j) if has_weights_and_keys else None for j in range(4)]
            entries = [make_entry(f"e{j}", weight) for j, weight in enumerate(weights)]
            yield arrival_ms + 9.0, core.EndpointListUpdate(ListUpdateKind.DELTA, entries)
        if i >= 8:
            outcome = Outcome.ERROR if i % 7 == 0 else Outcome.COMPLETED
            is_final, report = outcome is Outcome.COMPLETED, LoadReport(queued=1.0)
            yield arrival_ms + 12.0, core.AttemptEnded(f"w{i - 8}", 0, outcome, is_final, report)
    for timer_id in range(1, 40):
        yield 9000.0 + timer_id, core.TimerFired(timer_id)


def answers_to(probes, attempts):
    """Return the events of servers that answer probes and start attempts."""
    report = LoadReport(queued=0.0, free_slots=2.0)
    ended = [core.ProbeEnded(probe.server, Outcome.COMPLETED, 1.0, report) for probe in probes]
    started = [core.AttemptStarted(attempt.request_id, attempt.attempt_index) for attempt in attempts]
    return ended + started


def effects_of_day(shadow_policy=None, has_weights_and_keys=True):
    """Return all effects of a reducer over the day."""
    reducer, all_effects, probes, attempts = Reducer(shadow_policy), [], [], []
    for now_ms, event in day_events(has_weights_and_keys=has_weights_and_keys):
        events = [event]
        if event is None:
            events = answers_to(probes, attempts)
            probes, attempts = [], []
        for due_event in events:
            effects = reducer.reduce(now_ms, due_event)
            all_effects += effects
            probes += [effect for effect in effects if type(effect) is core.Probe]
            attempts += [effect for effect in effects if type(effect) is core.SendAttempt]
    return all_effects


def policy_with(**changes):
    """Return a shadow policy whose settings differ from the node's in `changes`."""
    return ShadowPolicy(lambda settings: replace(settings, **changes))


@pytest.mark.parametrize(
    "changes",
    [{}, {"live_weights": True, "reports_in_responses": True, "fetch_cost": 0.03, "weight_by_size": True}],
)
def test_a_shadow_policy_changes_no_effect(changes):
    shadow_policy = policy_with(**changes)
    assert effects_of_day(shadow_policy) == effects_of_day()
    assert shadow_policy.decision_count > 60


def test_weights_and_keys_change_no_effect_without_their_settings():
    assert effects_of_day() == effects_of_day(has_weights_and_keys=False)


def test_the_same_settings_lead_to_the_same_decisions_and_answered_requests_are_forgotten():
    shadow_policy = policy_with()
    effects_of_day(shadow_policy)
    # The home server is drawn at random, so node and shadow may draw different ones.
    random_differences = {(Decision.PROBE_HOME, Decision.HOME), (Decision.HOME, Decision.PROBE_HOME)}
    assert set(shadow_policy.differences) <= random_differences
    open_requests = shadow_policy.open_requests.values()
    assert all(not state.is_closed or state.in_flight_count() for state in open_requests)


def test_a_known_difference_is_counted():
    reducer = Reducer(policy_with(may_probe=False))
    reducer.reduce(0.0, core.NodeStarted(SETTINGS, 7))
    reducer.reduce(1.0, core.EndpointListUpdate(ListUpdateKind.FULL, [make_entry("e0")]))
    reducer.reduce(2.0, core.RequestArrived(Request("w", 0, 5000.0)))
    assert reducer.observer.differences == {(Decision.PROBE_HOME, Decision.HOME): 1}
    assert reducer.observer.decision_count == 1
    assert reducer.observer.lines()[1] == "watch: 1 times decided home asked, by shadow settings home"


@pytest.fixture
def load_with(tmp_path):
    """Return a function that loads a node's configuration with operators' settings from a TOML text."""

    def read(text):
        values = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": OPTIONS}
        (tmp_path / "node.json").write_text(json.dumps(values))
        (tmp_path / "operators.toml").write_text(text)
        return load(str(tmp_path / "node.json"), {}, operator_settings_path=str(tmp_path / "operators.toml"))

    return read


def test_shadow_settings_leave_the_nodes_own_unchanged(load_with):
    config = load_with('[watch]\nweights = "live"\nreports = "answers"\n')
    assert load_with("").shadow is None
    assert not config.deployment.settings.live_weights
    changed = config.shadow.change(config.deployment.settings)
    assert (changed.live_weights, changed.reports_in_responses, changed.fetch_cost) == (True, True, 0.0)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ('[watch]\nweights = "moving"', "watch.weights"),
        ("[watch]\nreports = 3", "watch.reports"),
        ("[watch]\nfetch_price = -1", "watch.fetch_price"),
        ('[watch]\nworth_by = "size"', "watch.worth_by"),
        ("[watch]\nfetch_price = 1\nevery_s = 0", "watch.every_s"),
        ("[watch]\nevery_s = 9", "watch"),
        ("[watch]\nprobes = false", "watch.probes"),
    ],
)
def test_an_invalid_key_is_named(load_with, text, key):
    with pytest.raises(ConfigError) as error:
        load_with(text)
    assert error.value.key == key


def test_a_node_process_logs_its_counts_at_the_end_and_answers_requests(tmp_path):
    # The address of the only server refuses connections.
    (tmp_path / "node.json").write_text(json.dumps(NODE_CONFIG))
    (tmp_path / "operators.toml").write_text('[watch]\nweights = "live"\nreports = "answers"\n')
    files = ["--config", str(tmp_path / "node.json"), "--settings", str(tmp_path / "operators.toml")]
    command = [sys.executable, "-m", "marlseam", "serve", *files]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)

    def wait_for_line(text):
        while text not in (line := process.stderr.readline()):
            assert line
        return line

    try:
        port = int(wait_for_line("listens on").rsplit(":", 1)[1])
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(
                b"POST /statement HTTP/1.1\r\nHost: h\r\nX-Service-Class: statement\r\n"
                b"X-Correlation-Id: c1\r\nX-Time-Left: 1\r\nContent-Length: 0\r\n\r\n"
            )
            assert client.recv(4096).startswith(b"HTTP/1.1 503 ")
        process.send_signal(signal.SIGTERM)
        assert int(wait_for_line("watch: ").split("watch: ")[1].split()[0]) >= 2
        assert process.wait(timeout=20.0) == 0
    finally:
        process.kill()
        process.wait()
        process.stderr.close()
