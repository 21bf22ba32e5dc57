"""What all nodes together send to a server in slow start: single cases and the experiment `size-cold`."""

from collections.abc import Callable
from dataclasses import replace
from math import sqrt
from pathlib import Path

import msgspec
import pytest

from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.slow_start import MAX_SAVED_BUDGETS, MIN_SAVED_COST_SHARE, SLOW_START_PLANNED_SHARE
from marlseam.decisions.types import Endpoint, EndpointState, ListUpdateKind, Request
from marlseam.experiment import file, registered_plays, size_cold
from marlseam.experiment.plays import RunResult
from tests.conftest import SETTINGS, RecordingPort

SLOTS, STARTED_MS = 8.0, 1000.0
WINDOW_MS = SETTINGS.overload_window_ms


def make_dispatchers(
    count: int, node_count: int | None = None, slow_start_ms: float = 16.0 * WINDOW_MS
) -> list[Dispatcher]:
    """Return the dispatchers of `count` nodes whose lists have just added a server in slow start.

    The server has eight slots. `node_count` is the number of nodes by the settings, by default `count`.
    """
    dispatchers = []
    for seed in range(1, count + 1):
        settings = replace(
            SETTINGS,
            node_count=node_count or count,
            slow_start_ms=slow_start_ms,
            slow_start_initial_share=0.2,
        )
        dispatcher = Dispatcher(settings, seed, RecordingPort())
        dispatcher.max_free_slots[0] = SLOTS
        dispatcher.update_endpoints(
            ListUpdateKind.FULL, [Endpoint(0, EndpointState.READY, 0, 0, 0, STARTED_MS)]
        )
        dispatcher.last_report_ms[0] = 1e9
        dispatchers.append(dispatcher)
    return dispatchers


def budget(dispatcher: Dispatcher) -> float:
    """Return how many mean requests the settings allow all nodes to send in one overload window now."""
    return dispatcher.slow_start_budget(0) * WINDOW_MS / SLOW_START_PLANNED_SHARE


def set_clocks(dispatchers: list[Dispatcher], now_ms: float) -> None:
    for dispatcher in dispatchers:
        dispatcher.port.clock = now_ms


def burst(dispatchers: list[Dispatcher], size: float = 1.0) -> float:
    """Send from each node as many requests of `size` mean requests as it may now; return the sum of sizes."""
    sent = 0.0
    for dispatcher in dispatchers:
        dispatcher.mean_run_ms[0] = size * dispatcher.mean_slot_ms
        for i in range(1000):
            state = dispatcher.request_state_type(
                dispatcher, Request(f"w{i}", 0, dispatcher.port.clock + 5000.0)
            )
            if not (dispatcher.is_usable(0) and state.is_eligible(0)):
                break
            state.send(0)
            sent += size
        dispatcher.mean_run_ms[0] = dispatcher.mean_slot_ms
    return sent


@pytest.mark.parametrize("nodes", [20, 30, 200])
def test_a_burst_late_in_slow_start_after_no_requests_is_bounded_by_the_tokens_of_all_nodes(nodes):
    dispatchers = make_dispatchers(nodes)
    for step in range(1, 150):  # no node sends, all refill their buckets
        set_clocks(dispatchers, STARTED_MS + 100.0 * step)
        for dispatcher in dispatchers:
            dispatcher.has_budget(0)
    allowed = budget(dispatchers[0])
    margin = (1.0 - SLOW_START_PLANNED_SHARE) * allowed + 2.0 * sqrt(allowed)
    # The number of nodes with a token is random around this mean, which exceeds the margin itself.
    mean_sent = MAX_SAVED_BUDGETS * margin
    assert 0.0 < burst(dispatchers) < mean_sent + 3.0 * sqrt(mean_sent) + 1.0


@pytest.mark.parametrize("nodes", [20, 30, 200])
def test_a_cluster_that_sends_all_that_it_may_uses_its_budget_and_never_exceeds_the_bound(nodes):
    dispatchers, sent, sent_in_window = make_dispatchers(nodes), [], 0.0
    for step in range(1, 160):
        set_clocks(dispatchers, STARTED_MS + 100.0 * step)
        sent.append((STARTED_MS + 100.0 * step, burst(dispatchers)))
        sent_in_window = sum(
            size for sent_ms, size in sent if sent_ms > STARTED_MS + 100.0 * step - WINDOW_MS
        )
        allowed = budget(dispatchers[0])
        assert sent_in_window < allowed + 2.0 * sqrt(allowed) + 2.0
    assert sent_in_window > 0.8 * SLOW_START_PLANNED_SHARE * allowed


@pytest.mark.parametrize("nodes", [20, 30, 200])
def test_large_requests_are_not_all_sent_at_once(nodes):
    # Guards against nodes that each send a large request as soon as they have any tokens at all, and overdraw
    # their buckets.
    dispatchers = make_dispatchers(nodes)
    set_clocks(dispatchers, STARTED_MS + 4000.0)
    for dispatcher in dispatchers:
        dispatcher.has_budget(0)
        dispatcher.slow_start_tokens[0] = 1e-6
    allowed = budget(dispatchers[0])
    assert burst(dispatchers, SLOW_START_PLANNED_SHARE * allowed * 0.9) == 0.0
    assert burst(dispatchers, 1.0) == pytest.approx(nodes)


def test_a_large_request_is_sent_once_a_part_of_its_cost_is_saved():
    (dispatcher,) = make_dispatchers(1)
    set_clocks([dispatcher], STARTED_MS + 4000.0)
    dispatcher.has_budget(0)
    size = 3.0
    dispatcher.slow_start_tokens[0] = MIN_SAVED_COST_SHARE * size * (1.0 - 1.0 / size) - 1e-6
    assert dispatcher.has_budget(0)
    assert not dispatcher.has_budget(0, size)
    dispatcher.slow_start_tokens[0] += 1e-5
    assert dispatcher.has_budget(0, size)


def test_a_small_request_is_sent_where_a_window_allows_less_than_one_mean_request():
    (dispatcher,) = make_dispatchers(1)
    set_clocks([dispatcher], STARTED_MS + 4000.0)
    dispatcher.has_budget(0)
    dispatcher.mean_slot_ms *= dispatcher.slow_start_budget(0) * WINDOW_MS / 0.8
    dispatcher.slow_start_tokens[0], dispatcher.slow_start_refilled_ms[0] = 0.05, dispatcher.port.clock
    state = dispatcher.request_state_type(dispatcher, Request("w", 0, dispatcher.port.clock + 5000.0))
    dispatcher.mean_run_ms[0] = 0.1 * dispatcher.mean_slot_ms
    assert dispatcher.is_usable(0)
    assert state.is_eligible(0)
    dispatcher.mean_run_ms[0] = 0.9 * dispatcher.mean_slot_ms
    assert not state.is_eligible(0)


def test_a_restarted_node_has_no_tokens_saved():
    (dispatcher,) = make_dispatchers(1, node_count=200)
    set_clocks([dispatcher], STARTED_MS + 12000.0)
    restarted = Dispatcher(dispatcher.settings, 99, RecordingPort())
    restarted.port.clock = dispatcher.port.clock
    restarted.max_free_slots[0] = SLOTS
    restarted.update_endpoints(ListUpdateKind.FULL, [Endpoint(0, EndpointState.READY, 0, 0, 0, STARTED_MS)])
    assert restarted.slow_start_tokens[0] <= 0.0
    assert not restarted.has_budget(0)


@pytest.fixture
def play() -> Callable[..., RunResult]:
    """Return a function that runs the experiment `size-cold` with some fields of its table changed."""
    registered_plays.register()
    path = Path(__file__).parent.parent / "experiments" / "size-cold.toml"

    def run(directory: Path, **changes: object) -> RunResult:
        experiment = file.load(path)
        settings = msgspec.structs.replace(experiment.tables["size_cold"], **changes)
        experiment.tables["size_cold"] = settings
        return size_cold.size_cold(experiment, directory, lambda _text: None)

    return run


def test_a_short_experiment_stays_within_its_bound_and_is_reproducible(play, tmp_path):
    first, second = (play(tmp_path, nodes=[20], seeds=1) for _ in range(2))
    counts = {k: v for k, v in first.figures.items() if not k.endswith("cpu_s")}
    assert counts == {k: v for k, v in second.figures.items() if not k.endswith("cpu_s")}
    assert counts["units"] > 1000
    assert counts["lives"] == 48
    assert counts["most"] <= 1.0
    assert counts["used"] > 0.2
