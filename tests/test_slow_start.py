"""What all nodes together send to a server in slow start, one by one and in the experiment `size-cold`."""

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


def dispatchers(
    nodes: int, node_count: int | None = None, slow_start_ms: float = 16.0 * WINDOW_MS
) -> list[Dispatcher]:
    """Return those of so many nodes, which have just learned of a server in slow start with eight slots."""
    made = []
    for seed in range(1, nodes + 1):
        settings = replace(
            SETTINGS,
            node_count=node_count or nodes,
            slow_start_ms=slow_start_ms,
            slow_start_initial_share=0.2,
        )
        dispatcher = Dispatcher(settings, seed, RecordingPort())
        dispatcher.max_free_slots[0] = SLOTS
        dispatcher.update_endpoints(
            ListUpdateKind.FULL, [Endpoint(0, EndpointState.READY, 0, 0, 0, STARTED_MS)]
        )
        dispatcher.last_report_ms[0] = 1e9
        made.append(dispatcher)
    return made


def budget(dispatcher: Dispatcher) -> float:
    """Return how many requests of mean size the settings allow in their window now."""
    return dispatcher.slow_start_budget(0) * WINDOW_MS / SLOW_START_PLANNED_SHARE


def set_clocks(nodes: list[Dispatcher], now_ms: float) -> None:
    for dispatcher in nodes:
        dispatcher.port.clock = now_ms


def burst(nodes: list[Dispatcher], size: float = 1.0) -> float:
    """Let each node send of work of some size what it may, at one instant; return the sum of sizes."""
    sent = 0.0
    for dispatcher in nodes:
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
def test_a_burst_after_a_quiet_slow_start_is_bounded_by_the_tokens_saved(nodes):
    made = dispatchers(nodes)
    for step in range(1, 150):  # nobody sends, and all look
        set_clocks(made, STARTED_MS + 100.0 * step)
        for dispatcher in made:
            dispatcher.has_budget(0)
    n = budget(made[0])
    room = (1.0 - SLOW_START_PLANNED_SHARE) * n + 2.0 * sqrt(n)
    # As many have a token ready as chance gives to this mean: more than the margin itself.
    most = MAX_SAVED_BUDGETS * room
    assert 0.0 < burst(made) < most + 3.0 * sqrt(most) + 1.0


@pytest.mark.parametrize("nodes", [20, 30, 200])
def test_a_cluster_that_sends_all_that_it_may_uses_its_budget_and_never_exceeds_the_bound(nodes):
    made, sent, got = dispatchers(nodes), [], 0.0
    for step in range(1, 160):
        set_clocks(made, STARTED_MS + 100.0 * step)
        sent.append((STARTED_MS + 100.0 * step, burst(made)))
        got = sum(size for t, size in sent if t > STARTED_MS + 100.0 * step - WINDOW_MS)
        n = budget(made[0])
        assert got < n + 2.0 * sqrt(n) + 2.0
    assert got > 0.8 * SLOW_START_PLANNED_SHARE * n


@pytest.mark.parametrize("nodes", [20, 30, 200])
def test_large_requests_do_not_all_go_at_once(nodes):
    # Parts just earned: each node would send one of a part of its own, and owe the rest.
    made = dispatchers(nodes)
    set_clocks(made, STARTED_MS + 4000.0)
    for dispatcher in made:
        dispatcher.has_budget(0)
        dispatcher.slow_start_tokens[0] = 1e-6
    n = budget(made[0])
    assert burst(made, SLOW_START_PLANNED_SHARE * n * 0.9) == 0.0
    assert burst(made, 1.0) == pytest.approx(nodes)


def test_a_large_request_is_sent_once_a_part_of_its_cost_is_saved():
    (dispatcher,) = dispatchers(1)
    set_clocks([dispatcher], STARTED_MS + 4000.0)
    dispatcher.has_budget(0)
    size = 3.0
    dispatcher.slow_start_tokens[0] = MIN_SAVED_COST_SHARE * size * (1.0 - 1.0 / size) - 1e-6
    assert dispatcher.has_budget(0)
    assert not dispatcher.has_budget(0, size)
    dispatcher.slow_start_tokens[0] += 1e-5
    assert dispatcher.has_budget(0, size)


def test_a_small_request_is_sent_where_a_window_allows_less_than_one_of_mean_size():
    (dispatcher,) = dispatchers(1)
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
    (dispatcher,) = dispatchers(1, node_count=200)
    set_clocks([dispatcher], STARTED_MS + 12000.0)
    again = Dispatcher(dispatcher.settings, 99, RecordingPort())
    again.port.clock = dispatcher.port.clock
    again.max_free_slots[0] = SLOTS
    again.update_endpoints(ListUpdateKind.FULL, [Endpoint(0, EndpointState.READY, 0, 0, 0, STARTED_MS)])
    assert again.slow_start_tokens[0] <= 0.0
    assert not again.has_budget(0)


@pytest.fixture
def play() -> Callable[..., RunResult]:
    """Return a function that plays `size-cold` with some fields of its table changed."""
    registered_plays.register()
    path = Path(__file__).parent.parent / "experiments" / "size-cold.toml"

    def run(directory: Path, **changes: object) -> RunResult:
        experiment = file.load(path)
        settings = msgspec.structs.replace(experiment.tables["size_cold"], **changes)
        experiment.tables["size_cold"] = settings
        return size_cold.size_cold(experiment, directory, lambda _text: None)

    return run


def test_the_short_form_holds_its_bound_and_counts_alike_twice(play, tmp_path):
    first, second = (play(tmp_path, nodes=[20], seeds=1) for _ in range(2))
    counts = {k: v for k, v in first.figures.items() if not k.endswith("cpu_s")}
    assert counts == {k: v for k, v in second.figures.items() if not k.endswith("cpu_s")}
    assert counts["units"] > 1000
    assert counts["lives"] == 48
    assert counts["most"] <= 1.0
    assert counts["used"] > 0.2
