"""Requests that servers in slow start receive from all nodes together, played in virtual time.

The bound is statistical: if the settings allow N requests of mean size per window, no window may hold more
than N + 2 sqrt(N) + 2. N grows in the course of slow start. Servers do not break down under overload here,
so that the time after an overload is measured too.
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
from marlseam.simulation.clients import FrontLoadBalancer, NodePick
from marlseam.simulation.model import Day, RequestType, node_settings
from marlseam.simulation.random_streams import random_stream

UNEVEN_DEVIATION = 1.0  # standard deviation of the logarithm of a node's share of the traffic

Traffic = Literal["even", "uneven"]


class DiscardingWriter(StreamWriter):
    """A stream that discards its records."""

    def add(self, record: records.Record) -> None:
        """Discard a record."""


class DiscardingStreams(RecordStreams):
    """Streams that discard their records, which would fill the memory in a long play of hundreds of nodes."""

    def of(self, by: str) -> StreamWriter:
        """Return the stream of a writer; it is created for a new writer."""
        if by not in self.writers:
            self.writers[by] = DiscardingWriter(by, self.system, None, self.rules)
        return self.writers[by]


class UnevenLoadBalancer(FrontLoadBalancer):
    """Gives the nodes of a zone unequal shares of the traffic; a share may be several times the mean.

    Attributes:
        random: the random stream that nodes are drawn from.
        cumulative_shares: the cumulative shares of the nodes of each zone, in the order of the names.
    """

    def __init__(self, balancer: FrontLoadBalancer, seed: int) -> None:
        """Distribute traffic over the nodes of another load balancer."""
        super().__init__(balancer.by_zone, balancer.notice_ms)
        self.random = random_stream(seed, "front")
        self.cumulative_shares = {}
        for zone, names in balancer.by_zone.items():
            weights = [random_stream(seed, "part", name).lognormal(0.0, UNEVEN_DEVIATION) for name in names]
            self.cumulative_shares[zone] = np.cumsum(weights) / sum(weights)

    def pick_node(self, zone: str, now_ms: float) -> NodePick:
        """Return a node drawn by its share, or the next node after it that is not yet detected as down."""
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
    """A request that a server in slow start received at a time, with its size over the mean size."""

    at_ms: float
    size: float


@dataclass(frozen=True)
class SlowStartLoad:
    """The load on servers in slow start in one run.

    Attributes:
        max_bound_share: the largest window over its bound, by the mean work of each request's type.
        max_work_bound_share: the largest window over its bound, by each request's own work.
        max_budget_share: the largest window over N, by the mean work of each request's type.
        budget_used: the size of all requests sent, over the size allowed in all slow starts.
        requests: the number of requests that servers in slow start received.
        process_starts: the number of starts of server processes.
        median_rate_ratio, p99_rate_ratio: the rate of a server that senders assume, over its actual rate.
        cpu_s: processor time of the run in seconds.
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
    """Plays a day, and measures the requests that each server receives in slow start.

    Attributes:
        began_cpu_s: processor time of this process when the driver was created.
        settings_day: the day that the nodes' settings are made from, with the number of nodes they count.
        mean_work_ms: standard work of a mean request, multiplied by its slots.
        max_bound_share, max_work_bound_share, max_budget_share: as in `SlowStartLoad`, so far.
        allowed_requests: requests that the settings allowed in the slow starts that are over, in mean sizes.
        sent_requests: requests that servers in slow start received, in mean sizes.
        received: the requests that each server received in slow start within its latest window.
        request_count, process_starts: `requests` and `process_starts` of `SlowStartLoad`, so far.
        rate_ratios: for each request, the server's rate that its sender assumed, over the actual rate.
    """

    def __init__(self, day: Day, seed: int, counted_nodes: int, traffic: Traffic) -> None:
        """Prepare a day; `counted_nodes` is the number of nodes in the nodes' settings."""
        self.began_cpu_s = time.process_time()
        self.settings_day = replace(day, fleet=replace(day.fleet, nodes=counted_nodes))
        super().__init__(day, seed, DiscardingStreams(None, "driver"))
        if traffic == "uneven":
            self.world.load_balancer = UnevenLoadBalancer(self.world.load_balancer, seed)
        for host in self.world.servers.values():
            host.model.fall_multiple = math.inf
        self.mean_work_ms = mean_work_ms(day)
        self.max_bound_share = self.max_work_bound_share = self.max_budget_share = 0.0
        self.allowed_requests = self.sent_requests = 0.0
        self.received: dict[str, deque[ReceivedRequest]] = {name: deque() for name in self.world.servers}
        self.request_count = self.process_starts = 0
        self.rate_ratios: list[float] = []

    def make_node(self, name: str, zone: str) -> SimulatedNode:
        """Make a node whose settings give `counted_nodes` as the number of nodes."""
        deployment = deployment_from(node_settings(self.settings_day, zone))
        return SimulatedNode(name, zone, deployment, self.make_reducer())

    def budget(self, host: SimulatedServer, at_ms: float) -> float:
        """Return N, the requests of mean size that the settings allow a server per window, at a time."""
        kind, rules = host.model.kind, self.day.rules
        rate = kind.slots * kind.speed * host.model.speed_share(at_ms)
        return rules.fall_multiple * rate * rules.fall_ms / self.mean_work_ms

    def deliver(self, flight: AttemptInFlight) -> None:
        """Deliver an attempt to its server, and measure it if the server is in slow start."""
        host, server = flight.server, flight.server.model
        is_delivered = flight.is_written and flight.is_open and self.world.is_delivered(flight.node, host)
        is_received = is_delivered and server.is_up
        super().deliver(flight)
        if is_received and server.is_in_slow_start(self.now_ms):
            self.measure_window(flight)
            self.measure_rate_ratio(flight)

    def measure_window(self, flight: AttemptInFlight) -> None:
        """Add a request to its server's window, and compare the window with its bound and with N."""
        server, rules = flight.server.model, self.day.rules
        arrival, window = self.world.arrivals[flight.request_id], self.received[server.name]
        size = self.day.types[arrival.type].work_ms * arrival.slots / self.mean_work_ms
        window.append(ReceivedRequest(self.now_ms, size))
        started_ms = -math.inf if server.started_ms is None else server.started_ms
        while window[0].at_ms <= self.now_ms - rules.fall_ms or window[0].at_ms < started_ms:
            window.popleft()
        server.slow_start_load(0.0)  # called to remove requests that have left the window from `arrived`
        own_work_size = sum(work.area for work in server.state.arrived) / self.mean_work_ms
        window_size, budget = sum(request.size for request in window), self.budget(flight.server, self.now_ms)
        bound = budget + 2.0 * math.sqrt(budget) + 2.0
        self.max_bound_share = max(self.max_bound_share, window_size / bound)
        self.max_work_bound_share = max(self.max_work_bound_share, own_work_size / bound)
        self.max_budget_share = max(self.max_budget_share, window_size / budget)
        self.sent_requests += size
        self.request_count += 1

    def measure_rate_ratio(self, flight: AttemptInFlight) -> None:
        """Compare the rate of a server that the request's sender assumes with the actual rate."""
        node, name, kind = flight.node.reducer, flight.server.model.name, flight.server.model.kind
        dispatcher, server = node.dispatcher, node.servers.by_name.get(name)
        if dispatcher is None or server is None:
            return
        type_index = self.world.arrivals[flight.request_id].type
        run_ms = dispatcher.mean_run_ms[type_index] * dispatcher.kind_pace[dispatcher.kind[server]]
        assumed_rate = dispatcher.slot_count(server) / run_ms
        self.rate_ratios.append(assumed_rate * self.day.types[type_index].work_ms / (kind.slots * kind.speed))

    def start_server(self, host: SimulatedServer) -> None:
        """Start a server's process, and count the start."""
        super().start_server(host)
        self.process_starts += 1

    def crash(self, host: SimulatedServer) -> None:
        """End a server's process, and add the requests allowed in its slow start."""
        self.add_allowed(host)
        super().crash(host)

    def add_allowed(self, host: SimulatedServer) -> None:
        """Add the requests allowed in a process's slow start; called when the process or the day ends."""
        server = host.model
        if server.started_ms is not None and server.is_up:
            end_ms = min(self.now_ms, server.started_ms + 1000.0 * server.kind.warm_s)
            mean_budget = self.budget(
                host, (server.started_ms + end_ms) / 2.0
            )  # the budget grows linearly in slow start
            slow_start_ms = max(0.0, end_ms - server.started_ms)
            self.allowed_requests += mean_budget * slow_start_ms / self.day.rules.fall_ms

    def measure(self) -> SlowStartLoad:
        """Play the day, and return the load on servers in slow start."""
        self.run()
        for host in self.world.servers.values():
            self.add_allowed(host)
        ratios = sorted(self.rate_ratios) or [0.0]
        return SlowStartLoad(
            max_bound_share=self.max_bound_share,
            max_work_bound_share=self.max_work_bound_share,
            max_budget_share=self.max_budget_share,
            budget_used=self.sent_requests / (self.allowed_requests or 1.0),
            requests=float(self.request_count),
            process_starts=float(self.process_starts),
            median_rate_ratio=ratios[len(ratios) // 2],
            p99_rate_ratio=ratios[int(0.99 * (len(ratios) - 1))],
            cpu_s=time.process_time() - self.began_cpu_s,
        )


def mean_work_ms(day: Day) -> float:
    """Return the standard work of a mean request in ms, multiplied by its slots."""
    shares = sum(request_type.share for request_type in day.types)
    work_ms = sum(
        request_type.share * request_type.work_ms * mean_slots(request_type) for request_type in day.types
    )
    return work_ms / shares


def mean_slots(request_type: RequestType) -> float:
    """Return the mean number of slots that a request of a type takes."""
    shares = request_type.slots
    return sum((i + 1) * share for i, share in enumerate(shares)) / sum(shares)
