"""What servers in slow start receive from all nodes together, played in virtual time.

The bound is one of chance: where the settings allow N requests of mean size in their window, no window may
hold more than N plus twice its root plus two; N grows as slow start goes on. No server breaks down by
overload here, so that what follows is measured too.
"""

import math
import time
from collections import deque
from dataclasses import dataclass
from typing import Literal, NamedTuple

import numpy as np
from msgspec.structs import replace

from marlseam import records
from marlseam.configuration import deployment_from
from marlseam.experiment.virtual import AttemptInFlight, SimulatedNode, SimulatedServer, VirtualDriver
from marlseam.records import RecordStreams, StreamWriter
from marlseam.simulation.chance import stream
from marlseam.simulation.clients import FrontLoadBalancer, NodePick
from marlseam.simulation.model import Day, RequestType, node_settings

UNEVEN_DEVIATION = 1.0  # standard deviation of the logarithm of a node's share of the traffic

Traffic = Literal["even", "uneven"]


class DiscardingWriter(StreamWriter):
    """A stream that keeps nothing."""

    def add(self, record: records.Record) -> None:
        """Discard a record."""


class DiscardingStreams(RecordStreams):
    """Streams that keep nothing: a long play of hundreds of nodes would fill the memory."""

    def of(self, by: str) -> StreamWriter:
        """Return the stream of a writer, begun if it is new."""
        if by not in self.writers:
            self.writers[by] = DiscardingWriter(by, self.system, None, self.rules)
        return self.writers[by]


class UnevenLoadBalancer(FrontLoadBalancer):
    """Gives each node of a zone a share of its own, which may be several times the mean.

    Attributes:
        random: draws the node of each try.
        cumulative_shares: of the nodes of each zone.
    """

    def __init__(self, balancer: FrontLoadBalancer, seed: int) -> None:
        """Balance the nodes of another load balancer."""
        super().__init__(balancer.by_zone, balancer.notice_ms)
        self.random = stream(seed, "front")
        self.cumulative_shares = {}
        for zone, names in balancer.by_zone.items():
            weights = [stream(seed, "part", name).lognormal(0.0, UNEVEN_DEVIATION) for name in names]
            self.cumulative_shares[zone] = np.cumsum(weights) / sum(weights)

    def pick_node(self, zone: str, now_ms: float) -> NodePick:
        """Return a node drawn by its share, or the next one that is not noticed as down."""
        names = self.by_zone[zone]
        drawn = int(np.searchsorted(self.cumulative_shares[zone], self.random.random()))
        first = min(drawn, len(names) - 1)
        for i in range(len(names)):
            name = names[(first + i) % len(names)]
            down_since_ms = self.down_since_by_node.get(name)
            if down_since_ms is None or now_ms - down_since_ms < self.notice_ms:
                return NodePick(name, down_since_ms is None)
        return NodePick(names[first], names[first] not in self.down_since_by_node)


class ReceivedRequest(NamedTuple):
    """A request that reached a server in slow start: when, and its size over the mean."""

    at_ms: float
    size: float


@dataclass(frozen=True)
class SlowStartLoad:
    """What servers in slow start received in one run.

    Attributes:
        max_bound_share: the most that a window held, over the bound, by the requests' mean sizes.
        max_work_bound_share: the same by their real sizes.
        max_budget_share: the most that a window held, over N.
        budget_used: what was sent, over what was allowed in all slow starts.
        requests: that reached servers in slow start.
        process_starts: of servers.
        median_rate_ratio, p99_rate_ratio: what senders take a server's rate for, over what it is.
        cpu_s: processor time of the run.
    """

    max_bound_share: float
    max_work_bound_share: float
    max_budget_share: float
    budget_used: float
    requests: float
    process_starts: float
    median_rate_ratio: float
    p99_rate_ratio: float
    cpu_s: float


class SlowStartDriver(VirtualDriver):
    """Plays a day and measures what each server receives in its slow start.

    Attributes:
        began_cpu_s: processor time when it was prepared.
        settings_day: the day as the nodes' settings have it, with the nodes that they count.
        mean_work_ms: standard work of a mean request, its slots included.
        max_bound_share, max_work_bound_share, max_budget_share: as in `SlowStartLoad`, so far.
        allowed: requests of mean size that the settings allowed in slow starts that are over.
        sent: requests that reached servers in slow start, in mean sizes.
        received: what reached each server within its last window.
        request_count, process_starts: as in `SlowStartLoad`, so far.
        rate_ratios: what a sender took a server's rate for, over what it is, for each request.
    """

    def __init__(self, day: Day, seed: int, counted_nodes: int, traffic: Traffic) -> None:
        """Prepare a day; `counted_nodes` is how many nodes the settings count."""
        self.began_cpu_s = time.process_time()
        self.settings_day = replace(day, fleet=replace(day.fleet, nodes=counted_nodes))
        super().__init__(day, seed, DiscardingStreams(None, "driver"))
        if traffic == "uneven":
            self.world.load_balancer = UnevenLoadBalancer(self.world.load_balancer, seed)
        for host in self.world.servers.values():
            host.model.fall_multiple = math.inf
        self.mean_work_ms = mean_work_ms(day)
        self.max_bound_share = self.max_work_bound_share = self.max_budget_share = 0.0
        self.allowed = self.sent = 0.0
        self.received: dict[str, deque[ReceivedRequest]] = {name: deque() for name in self.world.servers}
        self.request_count = self.process_starts = 0
        self.rate_ratios: list[float] = []

    def make_node(self, name: str, zone: str) -> SimulatedNode:
        """Make a node whose settings count `counted_nodes` nodes."""
        deployment = deployment_from(node_settings(self.settings_day, zone))
        return SimulatedNode(name, zone, deployment, self.make_reducer())

    def budget(self, host: SimulatedServer, at_ms: float) -> float:
        """Return how many requests of mean size the settings allow a server in their window at a time."""
        kind, rules = host.model.kind, self.day.rules
        rate = kind.slots * kind.speed * host.model.speed_share(at_ms)
        return rules.fall_multiple * rate * rules.fall_ms / self.mean_work_ms

    def deliver(self, flight: AttemptInFlight) -> None:
        """Hand an attempt to its server, and measure it if the server is in slow start."""
        host, server = flight.server, flight.server.model
        is_delivered = flight.is_written and flight.is_open and self.world.is_delivered(flight.node, host)
        is_received = is_delivered and server.is_up
        super().deliver(flight)
        if is_received and server.is_in_slow_start(self.now_ms):
            self.measure_window(flight)
            self.measure_rate_ratio(flight)

    def measure_window(self, flight: AttemptInFlight) -> None:
        """Add a request to its server's window, and compare the window with its bound."""
        server, rules = flight.server.model, self.day.rules
        arrival, window = self.world.arrivals[flight.request_id], self.received[server.name]
        size = self.day.types[arrival.type].work_ms * arrival.slots / self.mean_work_ms
        window.append(ReceivedRequest(self.now_ms, size))
        started_ms = -math.inf if server.started_ms is None else server.started_ms
        while window[0].at_ms <= self.now_ms - rules.fall_ms or window[0].at_ms < started_ms:
            window.popleft()
        server.slow_start_load(0.0)  # drops what has left the window
        real_size = sum(work.area for work in server.state.arrived) / self.mean_work_ms
        window_size, budget = sum(request.size for request in window), self.budget(flight.server, self.now_ms)
        bound = budget + 2.0 * math.sqrt(budget) + 2.0
        self.max_bound_share = max(self.max_bound_share, window_size / bound)
        self.max_work_bound_share = max(self.max_work_bound_share, real_size / bound)
        self.max_budget_share = max(self.max_budget_share, window_size / budget)
        self.sent += size
        self.request_count += 1

    def measure_rate_ratio(self, flight: AttemptInFlight) -> None:
        """Compare what a request's sender takes its server's rate for with what it is."""
        node, name, kind = flight.node.reducer, flight.server.model.name, flight.server.model.kind
        dispatcher, server = node.dispatcher, node.servers.by_name.get(name)
        if dispatcher is None or server is None:
            return
        type_index = self.world.arrivals[flight.request_id].type
        run_ms = dispatcher.mean_run_ms[type_index] * dispatcher.kind_pace[dispatcher.kind[server]]
        assumed_rate = dispatcher.slot_count(server) / run_ms
        self.rate_ratios.append(assumed_rate * self.day.types[type_index].work_ms / (kind.slots * kind.speed))

    def start_server(self, host: SimulatedServer) -> None:
        """Start a server's process."""
        super().start_server(host)
        self.process_starts += 1

    def crash(self, host: SimulatedServer) -> None:
        """End a server's process."""
        self.add_allowed(host)
        super().crash(host)

    def add_allowed(self, host: SimulatedServer) -> None:
        """Add up what the settings allowed in a process's slow start, as the process or the day ends."""
        server = host.model
        if server.started_ms is not None and server.is_up:
            end_ms = min(self.now_ms, server.started_ms + 1000.0 * server.kind.warm_s)
            mean_budget = self.budget(host, (server.started_ms + end_ms) / 2.0)  # it grows linearly
            slow_start_ms = max(0.0, end_ms - server.started_ms)
            self.allowed += mean_budget * slow_start_ms / self.day.rules.fall_ms

    def measure(self) -> SlowStartLoad:
        """Play the day, and return what servers in slow start received."""
        self.run()
        for host in self.world.servers.values():
            self.add_allowed(host)
        ratios = sorted(self.rate_ratios) or [0.0]
        return SlowStartLoad(
            max_bound_share=self.max_bound_share,
            max_work_bound_share=self.max_work_bound_share,
            max_budget_share=self.max_budget_share,
            budget_used=self.sent / (self.allowed or 1.0),
            requests=float(self.request_count),
            process_starts=float(self.process_starts),
            median_rate_ratio=ratios[len(ratios) // 2],
            p99_rate_ratio=ratios[int(0.99 * (len(ratios) - 1))],
            cpu_s=time.process_time() - self.began_cpu_s,
        )


def mean_work_ms(day: Day) -> float:
    """Return the standard work of a mean request, its slots included."""
    shares = sum(request_type.share for request_type in day.types)
    work_ms = sum(
        request_type.share * request_type.work_ms * mean_slots(request_type) for request_type in day.types
    )
    return work_ms / shares


def mean_slots(request_type: RequestType) -> float:
    """Return how many slots a request of a type takes."""
    shares = request_type.slots
    return sum((i + 1) * share for i, share in enumerate(shares)) / sum(shares)
