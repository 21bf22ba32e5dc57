"""Many nodes whose watches end together: no storm of calls, and changes arrive in time (docs/node.md)."""

import heapq
from collections.abc import Callable
from dataclasses import replace
from math import inf
from zlib import crc32

import pytest
from conftest import SETTINGS

from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.types import ListUpdateKind
from marlseam.net.discovery import OVERDUE_TIMEOUT_FACTOR

NOTIFICATION_LIMIT_MS = 6000.0  # time after which a change counts as known
CALL_LIMIT_MS = 2000.0  # time-out of a node's call
WATCHES_END_MS = 1000.0
NODE_COUNT = 200
CONSECUTIVE_SEEDS = range(1, NODE_COUNT + 1)
SPREAD_SEEDS = [crc32(b"n%d" % number) for number in range(NODE_COUNT)]


class SimulatedFleet:
    """Dispatchers of many nodes in virtual time, whose watches all end at 1 s, when discovery fails.

    When restored, discovery serves `calls_per_s` calls per second one by one, including overdue calls; nodes
    wait for the answers to overdue calls as long as `Discovery.fetch` does.

    Attributes:
        clock: virtual time in ms
        failure_ms: how long a call takes to fail during the outage
        restored_ms: when discovery is restored
        busy_until_ms: when discovery will have served all calls so far
        events: scheduled functions, by time and order
        calls: start times of the calls to discovery
        notified_ms: when each node received the change, by index
    """

    def __init__(self, seeds, failure_ms: float, restored_ms: float = inf, calls_per_s: float = 1.0) -> None:
        self.clock, self.failure_ms, self.event_count = 0.0, failure_ms, 0
        self.restored_ms, self.cost_ms, self.busy_until_ms = restored_ms, 1000.0 / calls_per_s, restored_ms
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.calls: list[float] = []
        self.notified_ms: dict[int, float] = {}
        settings = replace(SETTINGS, node_count=len(seeds))
        self.nodes = [
            Dispatcher(settings, seed, FleetPort(self, node_index)) for node_index, seed in enumerate(seeds)
        ]

    def at(self, at_ms: float, call: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (at_ms, self.event_count, call))

    def call(self, node_index: int) -> None:
        if node_index in self.notified_ms:
            return  # the node already follows discovery
        self.calls.append(self.clock)
        if self.clock < self.restored_ms:
            fails_ms = self.clock + self.failure_ms if self.clock else WATCHES_END_MS
            self.at(fails_ms, lambda: self.fail(node_index))
            return
        self.busy_until_ms = max(self.busy_until_ms, self.clock) + self.cost_ms
        if self.busy_until_ms - self.clock < OVERDUE_TIMEOUT_FACTOR * CALL_LIMIT_MS:
            self.at(self.busy_until_ms, lambda: self.notified_ms.setdefault(node_index, self.clock))
        if self.busy_until_ms - self.clock > CALL_LIMIT_MS:
            self.at(self.clock + CALL_LIMIT_MS, lambda: self.fail(node_index))

    def fail(self, node_index: int) -> None:
        self.nodes[node_index].update_endpoints(ListUpdateKind.FAILED, [])

    def run(self, until_ms: float) -> None:
        while self.events and self.events[0][0] <= until_ms:
            self.clock, _, call = heapq.heappop(self.events)
            call()


class FleetPort:
    """The port through which one node's dispatcher calls discovery."""

    def __init__(self, fleet: SimulatedFleet, node_index: int) -> None:
        self.fleet, self.node_index = fleet, node_index

    def now(self) -> float:
        return self.fleet.clock

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        self.fleet.at(self.fleet.clock + delay_ms, call)

    def watch_endpoints(self) -> None:
        self.fleet.call(self.node_index)


@pytest.mark.parametrize("seeds", [CONSECUTIVE_SEEDS, SPREAD_SEEDS], ids=["consecutive", "spread"])
@pytest.mark.parametrize(
    ("failure_ms", "max_calls_per_s"), [(1.0, 120.0), (CALL_LIMIT_MS, 95.0)], ids=["refused", "hung"]
)
def test_many_nodes_cause_no_storm_of_calls_in_an_outage(failure_ms, max_calls_per_s, seeds):
    fleet = SimulatedFleet(seeds, failure_ms)
    fleet.run(61000.0)
    max_calls = 50.0 * max_calls_per_s
    assert max_calls > sum(at_ms >= 11000.0 for at_ms in fleet.calls) > 0.5 * max_calls


@pytest.mark.parametrize("seeds", [CONSECUTIVE_SEEDS, SPREAD_SEEDS], ids=["consecutive", "spread"])
@pytest.mark.parametrize("failure_ms", [1.0, CALL_LIMIT_MS], ids=["refused", "hung"])
@pytest.mark.parametrize(
    ("calls_per_s", "within_ms"),
    [(40.0, 7500.0), (100.0, NOTIFICATION_LIMIT_MS), (1e9, NOTIFICATION_LIMIT_MS)],
)
def test_a_change_reaches_many_nodes_in_time_where_discovery_serves_calls_one_by_one(
    calls_per_s, within_ms, failure_ms, seeds
):
    for restored_ms in range(9000, 11500, 250):
        fleet = SimulatedFleet(seeds, failure_ms, float(restored_ms), calls_per_s)
        fleet.run(restored_ms + 30000.0)
        assert len(fleet.notified_ms) == len(fleet.nodes)
        assert max(fleet.notified_ms.values()) - restored_ms < within_ms
