"""The shadow policy changes nothing of what a node does, and counts where it would decide otherwise."""

import json
import signal
import socket
import subprocess
import sys
from dataclasses import replace

import pytest
from conftest import OPTIONS

from marlseam import core
from marlseam.configuration import ConfigError, deployment_from, load
from marlseam.core import EndpointEntry, Reducer
from marlseam.decisions.types import Decision, EndpointState, ListUpdateKind, LoadReport, Outcome, Request
from marlseam.shadow_policy import ShadowPolicy

SETTINGS = deployment_from(OPTIONS).settings


def entry(name, weight=None):
    return EndpointEntry(name, EndpointState.READY, 0, 0, 0, None, weight)


def day(rounds=60, plain=False):
    """Yield a day's events: arrivals, starts, ends of each sort, a list that moves, timers."""
    yield 0.0, core.NodeStarted(SETTINGS, 7)
    yield 1.0, core.EndpointListUpdate(ListUpdateKind.FULL, [entry(f"e{i}", 3.0) for i in range(4)])
    for i in range(rounds):
        at = 10.0 + 40.0 * i
        yield (
            at,
            core.RequestArrived(
                Request(f"w{i}", i % 2, at + 5000.0, resource_key=None if plain else f"k{i % 3}")
            ),
        )
        yield at + 5.0, None
        if i % 10 == 9:
            yield (
                at + 9.0,
                core.EndpointListUpdate(
                    ListUpdateKind.DELTA, [entry(f"e{j}", None if plain else 3.0 / (1 + j)) for j in range(4)]
                ),
            )
        if i >= 8:
            ended = Outcome.ERROR if i % 7 == 0 else Outcome.COMPLETED
            final, report = ended is Outcome.COMPLETED, LoadReport(queued=1.0)
            yield at + 12.0, core.AttemptEnded(f"w{i - 8}", 0, ended, final, report)
    for mark in range(1, 40):
        yield 9000.0 + mark, core.TimerFired(mark)


def play(watch=None, plain=False):
    """Play the day; each probe is answered and each send started in the next event. Return all effects."""
    made, done, probes, sends = Reducer(watch), [], [], []
    for at, event in day(plain=plain):
        events = [event] if event is not None else []
        if event is None:
            report = LoadReport(queued=0.0, free_slots=2.0)
            events = [core.ProbeEnded(e, Outcome.COMPLETED, 1.0, report) for e in probes]
            events += [core.AttemptStarted(request_id, attempt_index) for request_id, attempt_index in sends]
            probes, sends = [], []
        for each in events:
            effects = made.reduce(at, each)
            done += effects
            probes += [e.server for e in effects if type(e) is core.Probe]
            sends += [(e.request_id, e.attempt_index) for e in effects if type(e) is core.SendAttempt]
    return done


def other(**changes):
    return ShadowPolicy(lambda settings: replace(settings, **changes))


@pytest.mark.parametrize(
    "changes",
    [{}, {"live_weights": True, "reports_in_responses": True, "fetch_cost": 0.03, "weight_by_size": True}],
)
def test_a_shadow_policy_changes_no_effect(changes):
    watch = other(**changes)
    assert play(watch) == play()
    assert watch.decided > 60


def test_without_their_settings_weights_and_keys_change_no_effect():
    assert play() == play(plain=True)


def test_the_same_settings_agree_and_answered_requests_are_forgotten():
    watch = other()
    play(watch)
    by_chance = {
        (Decision.PROBE_HOME, Decision.HOME),
        (Decision.HOME, Decision.PROBE_HOME),
    }  # another home was drawn
    assert set(watch.otherwise) <= by_chance
    assert all(not state.is_closed or state.in_flight_count() for state in watch.open_requests.values())


def test_a_known_difference_is_counted():
    made = Reducer(other(may_probe=False))
    made.reduce(0.0, core.NodeStarted(SETTINGS, 7))
    made.reduce(1.0, core.EndpointListUpdate(ListUpdateKind.FULL, [entry("e0")]))
    made.reduce(2.0, core.RequestArrived(Request("w", 0, 5000.0)))
    assert made.follower.otherwise == {(Decision.PROBE_HOME, Decision.HOME): 1}
    assert made.follower.decided == 1
    assert made.follower.lines()[1] == "watch: 1 times home asked where it would be home"


# Its settings.


@pytest.fixture
def own(tmp_path):
    """Return a function that loads a node's configuration with an operator's own settings of this text."""

    def read(text):
        good = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": OPTIONS}
        (tmp_path / "node.json").write_text(json.dumps(good))
        (tmp_path / "own.toml").write_text(text)
        return load(str(tmp_path / "node.json"), {}, own=str(tmp_path / "own.toml"))

    return read


def test_the_shadow_settings_stand_beside_those_in_force(own):
    config = own('[watch]\nweights = "live"\nreports = "answers"\n')
    assert own("").shadow is None
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
def test_an_invalid_key_is_named(own, text, key):
    with pytest.raises(ConfigError) as error:
        own(text)
    assert error.value.key == key


# On loopback: a node of its own process, and a server's address that refuses.


def test_a_real_node_logs_its_counts_at_the_end_and_answers_as_ever(tmp_path):
    host = {"host": "e1", "dial": "127.0.0.1:1", "health": "active", "site": "here", "class": "plain"}
    values = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "settings": OPTIONS,
        "known": {"seq": 1, "whole": True, "hosts": [host]},
    }
    (tmp_path / "node.json").write_text(json.dumps(values))
    (tmp_path / "own.toml").write_text('[watch]\nweights = "live"\nreports = "answers"\n')
    files = ["--config", str(tmp_path / "node.json"), "--settings", str(tmp_path / "own.toml")]
    command = [sys.executable, "-m", "marlseam", "serve", *files]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)

    def says(text):
        while text not in (line := process.stderr.readline()):
            assert line
        return line

    try:
        port = int(says("listens on").rsplit(":", 1)[1])
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(
                b"POST /statement HTTP/1.1\r\nHost: h\r\nX-Service-Class: statement\r\n"
                b"X-Correlation-Id: c1\r\nX-Time-Left: 1\r\nContent-Length: 0\r\n\r\n"
            )
            assert client.recv(4096).startswith(b"HTTP/1.1 503 ")
        process.send_signal(signal.SIGTERM)
        assert int(says("watch: ").split("watch: ")[1].split()[0]) >= 2
        assert process.wait(timeout=20.0) == 0
    finally:
        process.kill()
        process.wait()
        process.stderr.close()
