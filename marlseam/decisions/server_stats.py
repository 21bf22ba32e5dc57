"""A node's records of each server, and its statistics of runs, failures and arrivals.

The records are parallel arrays by the dense index of a server, with sums by kind that are updated with them.
This module makes no decisions.
"""

from collections.abc import Callable
from math import inf
from typing import Any

from marlseam.decisions.types import (
    Endpoint,
    EndpointState,
    Port,
    Request,
    RequestClass,
    Settings,
    TrackedRequest,
)

PRIOR_RUN_SAMPLES = 5.0  # weight of an initial guess of the mean run, in measured runs
MAX_RUN_SAMPLES = 50.0  # window of the moving means, in runs, and of the failure shares, in outcomes
ARRIVAL_WINDOW = 200.0  # window of the shares of request classes and of the mean slots, in requests
MAX_KEYED_ARRIVALS = 400.0  # requests with a resource key counted before all counts are halved
PROBE_MEMORY = 20.0  # window of the probes' share of success, in probes
HEALTHY_FAILURE_SHARE = 0.02  # share of requests that fails on a healthy server
MAX_HEALTHY_FAILURE_SHARE = 0.45  # bound for classes that fail everywhere, which shows little of one server
MAX_RUN_IN_MEANS = 5.0  # longer runs count as one of this length
GOSSIP_ID_MASK = 0xFFFFFF
NEVER_MS = -1e18  # earlier than any time of the clock


class ServerStats:
    """The records and statistics; arrays are by the dense index of a server unless stated otherwise.

    Attributes:
        endpoint_state, kind, zone, cell: as in the endpoint list.
        process_started_ms: when the server's process started; None where the list has no start time.
        gossip_id: the id of the server in gossip messages; `server_by_gossip_id` is the inverse.
        others_slots: slots that other nodes' requests take, by the last report; None without one.
        free_slots: slots free at the last report.
        last_report_ms: when the last probe was answered.
        last_response_ms: when the server last started, progressed or answered an attempt.
        probe_sent_ms: when the probe in flight was sent; None without one.
        probe_waiters: the functions to call at the end of the probe in flight.
        at_capacity: whether the server has rejected a request for lack of capacity since its last report.
        forwarded_since_report: whether a request was forwarded to the server since its last report.
        own_attempts: this node's attempts in flight, as pairs of request and attempt index.
        own_slots: the slots of `own_attempts`.
        log_likelihood_ratio: the outlier test's log-likelihood ratio by the outcomes so far.
        ejected_until_ms: None in normal service, in the future while ejected, in the past while on trial.
        ejection_ms: the duration of the next ejection.
        is_unresponsive: whether the last probe was not answered.
        identity_doubt: the probability that the entry, from a cached list, now stands for another server.
        slow_start_tokens: the tokens in the slow start bucket, in mean requests.
        slow_start_refilled_ms: when the slow start bucket was last refilled.
        monitored: servers that the periodic check inspects, in order (the dict is an ordered set).
        in_use_though_removed: servers still in use although listed as gone or not listed (an ordered set).
        same_zone, other_zones: servers listed as ready, in the node's own zone and in others.
        refresh_period_ms: time between updates of the list's weights, or between reports.
        last_delta_ms: when the endpoint list's weights were last updated.
        report_distrust: share of reports found to be late.
        probe_success_share: share of the latest probes that led to a send.
        ready_count, reported_count, others_slots_sum, own_slots_sum: by kind, over servers that are ready
            and not ejected.
        max_free_slots, max_weight: by kind, the most ever seen of one server.
        kind_pace: by kind, the mean ratio of a run to the request class's mean run.
        pace_samples: by kind, the weight of `kind_pace` in samples.
        listed_others_slots: by kind, the mean of others' slots by the latest list.
        mean_run_ms, run_samples, failure_share, recent_arrivals: by request class.
        mean_slot_ms: the mean product of run (ms) and slots of a request, over all classes.
        mean_slots: the mean slots of a request, over all classes.
        key_arrivals, keyed_arrivals: requests by resource key, and their sum; halved from time to time.
        peer_slots: by peer node, its slots by gossip id.
        peer_updated_ms: by peer node, when its last gossip was received.
        unpublished_servers: servers where this node's slots have changed since its last gossip (an ordered
            set).
        hash_ring: by kind (-1 for all), pairs of a point and its server, sorted by point.
    """

    # Set by the dispatcher.
    port: Port
    random: Callable[[], float]
    settings: Settings
    request_classes: tuple[RequestClass, ...]
    ejection_base_ms: float  # duration of the first ejection of a server
    probe_wait_ms: float  # how long a decision waits for a probe's answer
    report_max_age_ms: float  # age from which a report is stale
    check_interval_ms: float  # from one periodic check to the next
    max_queue_wait_ms: float  # longest expected wait at a server to which a request is still sent
    deadline_margin_ms: float  # how long before its deadline a request is answered
    peer_silence_limit_ms: float  # silence after which a node's gossip is dropped
    has_kind_bound_classes: bool  # whether some request class requires a certain kind

    def __init__(self) -> None:
        self.init_servers()
        self.init_kinds()
        self.init_requests()
        self.peer_slots: dict[int, dict[int, int]] = {}
        self.peer_updated_ms: dict[int, float] = {}
        self.unpublished_servers: dict[int, None] = {}

    def init_servers(self) -> None:
        """Create the empty arrays that are indexed by server."""
        self.endpoint_state: list[EndpointState] = []
        self.kind: list[int] = []
        self.zone: list[int] = []
        self.cell: list[int] = []
        self.process_started_ms: list[float | None] = []
        self.gossip_id: list[int] = []
        self.server_by_gossip_id: dict[int, int] = {}
        self.others_slots: list[float | None] = []
        self.free_slots: list[float] = []
        self.last_report_ms: list[float] = []
        self.last_response_ms: list[float] = []
        self.probe_sent_ms: list[float | None] = []
        self.probe_waiters: list[list[Callable[[int | None], None]]] = []
        self.at_capacity: list[bool] = []
        self.forwarded_since_report: list[bool] = []
        self.own_attempts: list[list[tuple[TrackedRequest, int]]] = []
        self.own_slots: list[float] = []
        self.log_likelihood_ratio: list[float] = []
        self.ejected_until_ms: list[float | None] = []
        self.ejection_ms: list[float] = []
        self.is_unresponsive: list[bool] = []
        self.identity_doubt: list[float] = []
        self.slow_start_tokens: list[float] = []
        self.slow_start_refilled_ms: list[float] = []
        self.monitored: dict[int, None] = {}
        self.in_use_though_removed: dict[int, None] = {}
        self.same_zone: list[int] = []
        self.other_zones: list[int] = []
        self.hash_ring: dict[int, list[tuple[int, int]]] = {}

    def init_kinds(self) -> None:
        """Create the empty arrays that are indexed by kind, and the statistics of reports and lists."""
        self.ready_count: list[int] = []
        self.reported_count: list[int] = []
        self.others_slots_sum: list[float] = []
        self.own_slots_sum: list[float] = []
        self.max_free_slots: list[float] = []
        self.kind_pace: list[float] = []
        self.pace_samples: list[float] = []
        self.max_weight: list[float] = []
        self.listed_others_slots: list[float] = []
        self.refresh_period_ms = 0.0
        self.last_delta_ms = 0.0
        self.report_distrust = 0.0
        self.probe_success_share = 1.0

    def init_requests(self) -> None:
        """Create the empty statistics by request class and by resource key."""
        self.mean_run_ms: list[float] = []
        self.run_samples: list[float] = []
        self.failure_share: list[float] = []
        self.mean_slot_ms = 0.0
        self.mean_slots = 1.0
        self.recent_arrivals: list[float] = []
        self.key_arrivals: dict[str, float] = {}
        self.keyed_arrivals = 0.0

    def grow(self, kinds: int, run_guesses_ms: list[float]) -> None:
        """Extend the arrays to a number of kinds (the last element is for unknown kinds) and request classes.

        `run_guesses_ms` are the assumed mean runs of all request classes.
        """
        initial_values: tuple[tuple[list[Any], float], ...] = (
            (self.ready_count, 0),
            (self.reported_count, 0),
            (self.others_slots_sum, 0.0),
            (self.own_slots_sum, 0.0),
            (self.max_free_slots, 0.0),
            (self.kind_pace, 1.0),
            (self.pace_samples, PRIOR_RUN_SAMPLES),
            (self.max_weight, 0.0),
            (self.listed_others_slots, 0.0),
        )
        for array, initial in initial_values:
            array[-1:-1] = [initial] * (kinds + 1 - len(array))
        if not self.mean_run_ms:
            self.mean_slot_ms = sum(run_guesses_ms) / max(1, len(run_guesses_ms))
        self.mean_run_ms += run_guesses_ms[len(self.mean_run_ms) :]
        self.run_samples += [PRIOR_RUN_SAMPLES] * (len(self.mean_run_ms) - len(self.run_samples))
        for index, guess_ms in enumerate(run_guesses_ms):
            # Guards classes whose deadline is shortened by new settings: a run guessed from the old settings
            # would not fit into the new deadline.
            if self.run_samples[index] <= PRIOR_RUN_SAMPLES and guess_ms < inf:
                self.mean_run_ms[index] = guess_ms
        self.failure_share += [0.0] * (len(self.mean_run_ms) - len(self.failure_share))
        self.recent_arrivals += [1.0] * (len(self.mean_run_ms) - len(self.recent_arrivals))

    def add_server(self) -> None:
        """Extend the arrays by one server."""
        arrays: tuple[list[Any], ...] = (
            self.endpoint_state,
            self.kind,
            self.zone,
            self.cell,
            self.process_started_ms,
            self.gossip_id,
            self.others_slots,
            self.last_report_ms,
            self.last_response_ms,
            self.free_slots,
            self.probe_sent_ms,
            self.at_capacity,
            self.forwarded_since_report,
            self.log_likelihood_ratio,
            self.ejected_until_ms,
            self.ejection_ms,
            self.is_unresponsive,
            self.slow_start_tokens,
            self.slow_start_refilled_ms,
            self.own_slots,
            self.identity_doubt,
        )
        for array in arrays:
            array.append(None)
        self.probe_waiters.append([])
        self.own_attempts.append([])
        self.reset(len(self.endpoint_state) - 1)

    def reset(self, server: int) -> None:
        """Reset an index to the state of an unknown server that is gone."""
        self.endpoint_state[server] = EndpointState.GONE
        self.kind[server] = self.zone[server] = self.cell[server] = -1
        self.process_started_ms[server] = None
        # Guards the next server with this index against gossip about the present one.
        self.server_by_gossip_id.pop(self.gossip_id[server], None)
        self.gossip_id[server] = 0
        self.free_slots[server], self.last_response_ms[server] = 0.0, NEVER_MS
        self.probe_sent_ms[server] = None
        self.slow_start_tokens[server] = self.slow_start_refilled_ms[server] = 0.0
        self.own_slots[server] = self.identity_doubt[server] = 0.0
        self.reset_observations(server)

    def reset_observations(self, server: int) -> None:
        """Reset the observations of a server's load and health."""
        self.others_slots[server], self.last_report_ms[server] = None, NEVER_MS
        self.at_capacity[server] = self.forwarded_since_report[server] = False
        self.is_unresponsive[server] = False
        self.log_likelihood_ratio[server] = 0.0
        self.ejected_until_ms[server], self.ejection_ms[server] = None, self.ejection_base_ms

    def set_endpoint(self, endpoint: Endpoint) -> None:
        """Record an entry of the endpoint list, extending the arrays if its index is new."""
        server = endpoint.server
        while server >= len(self.endpoint_state):
            self.add_server()
        self.subtract_from_sums(server)
        self.endpoint_state[server], self.kind[server] = endpoint.state, endpoint.kind
        self.zone[server], self.cell[server] = endpoint.zone, endpoint.cell
        self.gossip_id[server] = endpoint.name_hash & GOSSIP_ID_MASK
        self.server_by_gossip_id[self.gossip_id[server]] = server
        self.add_to_sums(server)

    def remove(self, servers: set[int]) -> None:
        """Record servers as gone and take them out of the sums."""
        for server in servers:
            self.subtract_from_sums(server)
            self.endpoint_state[server] = EndpointState.GONE

    def list_ready(self, zone: int) -> None:
        """Recompute the lists of ready servers in the zone `zone` and in other zones."""
        ready = [server for server, state in enumerate(self.endpoint_state) if state is EndpointState.READY]
        self.same_zone = [server for server in ready if self.zone[server] == zone]
        self.other_zones = [server for server in ready if self.zone[server] != zone]

    def subtract_from_sums(self, server: int) -> None:
        """Subtract a server from its kind's sums; call this before its figures change."""
        self._adjust_sums(server, -1)

    def add_to_sums(self, server: int) -> None:
        """Add a server to its kind's sums; call this after its figures have changed."""
        self._adjust_sums(server, 1)

    def _adjust_sums(self, server: int, sign: int) -> None:
        """Add (`sign` 1) or subtract (-1) a server in its kind's sums, if it is ready and not ejected."""
        if self.endpoint_state[server] is EndpointState.READY and self.ejected_until_ms[server] is None:
            kind, others = self.kind[server], self.others_slots[server]
            self.ready_count[kind] += sign
            self.own_slots_sum[kind] += sign * self.own_slots[server]
            if others is not None:
                self.reported_count[kind] += sign
                counted = others if self.settings.live_weights else max(0.0, others)
                self.others_slots_sum[kind] += sign * counted

    def set_others_slots(self, server: int, others: float | None) -> None:
        """Set the slots that other nodes' requests take at a server."""
        self.subtract_from_sums(server)
        self.others_slots[server] = others
        self.add_to_sums(server)

    def add_own_attempt(self, server: int, state: TrackedRequest, attempt_index: int) -> None:
        """Record an attempt of this node as in flight at a server."""
        self.subtract_from_sums(server)
        self.own_attempts[server].append((state, attempt_index))
        self.own_slots[server] += state.request.slots
        self.add_to_sums(server)

    def remove_own_attempt(self, server: int, state: TrackedRequest, attempt_index: int) -> None:
        """Record that an attempt of this node at a server is no longer in flight."""
        self.subtract_from_sums(server)
        self.own_attempts[server].remove((state, attempt_index))
        self.own_slots[server] -= state.request.slots
        self.add_to_sums(server)

    def learn_run(self, request: Request, server: int, run_ms: float) -> None:
        """Update the mean run of the request's class and the pace of the server's kind from a run (ms)."""
        class_index, kind = request.class_index, self.kind[server]
        run_ms = min(run_ms, MAX_RUN_IN_MEANS * self.mean_run_ms[class_index])
        self.run_samples[class_index] = min(self.run_samples[class_index] + 1.0, MAX_RUN_SAMPLES)
        self.mean_run_ms[class_index] += (run_ms - self.mean_run_ms[class_index]) / self.run_samples[
            class_index
        ]
        samples = min(sum(self.run_samples), MAX_RUN_SAMPLES)
        self.mean_slot_ms += (run_ms * request.slots - self.mean_slot_ms) / samples
        self.pace_samples[kind] = min(self.pace_samples[kind] + 1.0, MAX_RUN_SAMPLES)
        pace = run_ms / self.mean_run_ms[class_index]
        self.kind_pace[kind] += (pace - self.kind_pace[kind]) / self.pace_samples[kind]

    def learn_failure_share(self, class_index: int, failed: bool) -> float:
        """Update a request class's failure share over all servers from an outcome, and return it, bounded.

        Guards against ejecting servers for requests that fail on every server.
        """
        share = self.failure_share[class_index]
        share += (float(failed) - share) / MAX_RUN_SAMPLES
        self.failure_share[class_index] = share
        return min(max(HEALTHY_FAILURE_SHARE, share), MAX_HEALTHY_FAILURE_SHARE)

    def learn_probe_success(self, led_to_send: bool) -> None:
        """Update the share of probes that lead to a send, by which the number of probes is limited.

        Under overload probes seldom lead to a send, and each has its cost.
        """
        self.probe_success_share += (float(led_to_send) - self.probe_success_share) / PROBE_MEMORY

    def count_arrival(self, request: Request) -> None:
        """Count an arrived request by its class and resource key, and update the mean slots of a request."""
        self.recent_arrivals = [count * (1.0 - 1.0 / ARRIVAL_WINDOW) for count in self.recent_arrivals]
        self.recent_arrivals[request.class_index] += 1.0
        self.mean_slots += (request.slots - self.mean_slots) / ARRIVAL_WINDOW
        key = request.resource_key
        if key is not None:
            self.keyed_arrivals += 1.0
            self.key_arrivals[key] = self.key_arrivals.get(key, 0.0) + 1.0
            if self.keyed_arrivals >= MAX_KEYED_ARRIVALS:
                self.keyed_arrivals /= 2.0
                self.key_arrivals = {
                    key: count / 2.0 for key, count in self.key_arrivals.items() if count >= 1.0
                }
