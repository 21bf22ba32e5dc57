"""What a node has on record of each server, and what it has learned of runs, failures and arrivals.

Parallel arrays under a dense index, and sums by kind that follow them. Nothing is decided here.
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

PRIOR_RUN_SAMPLES = 5.0  # runs that an initial guess counts for against those seen
MAX_RUN_SAMPLES = 50.0  # runs that a mean remembers, and outcomes that a failure share does
ARRIVAL_WINDOW = 200.0  # requests that the shares of request classes are reckoned from
MAX_KEYED_ARRIVALS = 400.0  # requests with a resource key counted before all counts are halved
PROBE_MEMORY = 20.0  # probes that their share of success remembers
HEALTHY_FAILURE_SHARE = 0.02  # share of requests that fails on a healthy server
MAX_HEALTHY_FAILURE_SHARE = 0.45  # of a class that fails everywhere: more would say as little of its server
MAX_RUN_IN_MEANS = 5.0  # longer runs count as one of this length
GOSSIP_ID_MASK = 0xFFFFFF
NEVER_MS = -1e18  # before any time


class ServerStats:
    """The arrays, each under a server's dense index unless it is said otherwise.

    Attributes:
        endpoint_state, kind, zone, cell: as the endpoint list has it.
        process_started_ms: when the server's process started; None where the list does not say.
        gossip_id: the server's identity among nodes; `server_by_gossip_id` is the inverse.
        others_slots: slots that other nodes' requests take, by the last report; None without one.
        free_slots: slots free at the last report.
        last_report_ms, last_response_ms: when a probe was answered last; when anything was heard last.
        probe_sent_ms, probe_waiters: of the probe in flight, and who waits for its end.
        at_capacity: whether the server has turned a request away since its last report.
        forwarded_since_report: whether a request was forwarded there since its last report.
        own_attempts, own_slots: this node's attempts in flight, as request and attempt index; their slots.
        log_likelihood_ratio: of being an outlier, by the outcomes.
        ejected_until_ms: None in normal service, in the future while ejected, in the past while on trial.
        ejection_ms: how long the next ejection is.
        is_unresponsive: whether the last probe was not answered.
        identity_doubt: the chance that the entry, of a cached list, is now of another server.
        slow_start_tokens, slow_start_refilled_ms: the token bucket, in mean requests.
        monitored: servers that the periodic check looks at, in order (the dict is an ordered set).
        in_use_though_removed: servers still used though the list calls them gone.
        same_zone, other_zones: servers listed as ready, by zone.
        refresh_period_ms: time between updates of the list's weights, or between reports.
        report_distrust: share of reports found to be late.
        probe_success_share: share of the latest probes that led to a send.
        ready_count, reported_count, others_slots_sum, own_slots_sum: by kind, over servers that are ready
            and not ejected.
        max_free_slots, max_weight: by kind, the most ever seen of one server.
        kind_pace, pace_samples: by kind, the run over the request class's mean run.
        listed_others_slots: by kind, the mean of others' slots by the latest list.
        mean_run_ms, run_samples, failure_share, recent_arrivals: by request class.
        mean_slot_ms: run times slots of a request, a mean over all classes; `mean_slots` its slots.
        key_arrivals, keyed_arrivals: requests by resource key, and their sum; all fade.
        peer_slots, peer_updated_ms: by node, its slots by gossip id, and when it was heard last.
        unpublished_servers: servers where our slots have changed since the last gossip.
        hash_ring: by kind (-1 for all), points and their servers in order.
    """

    # Set by the dispatcher.
    port: Port
    random: Callable[[], float]
    settings: Settings
    request_classes: tuple[RequestClass, ...]
    ejection_base_ms: float  # the first ejection of a server
    probe_wait_ms: float  # how long a probe's answer is waited for
    report_max_age_ms: float  # how old a report may be
    check_interval_ms: float  # from one periodic check to the next
    max_queue_wait_ms: float  # the longest wait at a server that a request is sent into
    deadline_margin_ms: float  # how long before its deadline a request is answered
    peer_silence_limit_ms: float  # after which a node's gossip is void
    has_kind_bound_classes: bool  # whether some request class needs a certain kind

    def __init__(self) -> None:
        self.init_servers()
        self.init_kinds()
        self.init_requests()
        self.peer_slots: dict[int, dict[int, int]] = {}
        self.peer_updated_ms: dict[int, float] = {}
        self.unpublished_servers: dict[int, None] = {}

    def init_servers(self) -> None:
        """Set up what is kept by server."""
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
        """Set up what is kept by kind, and of all reports and lists."""
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
        """Set up what is kept by request class and by resource key."""
        self.mean_run_ms: list[float] = []
        self.run_samples: list[float] = []
        self.failure_share: list[float] = []
        self.mean_slot_ms = 0.0
        self.mean_slots = 1.0
        self.recent_arrivals: list[float] = []
        self.key_arrivals: dict[str, float] = {}
        self.keyed_arrivals = 0.0

    def grow(self, kinds: int, run_guesses_ms: list[float]) -> None:
        """Make room for kinds (the last place is that of unknown ones) and for request classes."""
        blanks: tuple[tuple[list[Any], float], ...] = (
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
        for array, blank in blanks:
            array[-1:-1] = [blank] * (kinds + 1 - len(array))
        if not self.mean_run_ms:
            self.mean_slot_ms = sum(run_guesses_ms) / max(1, len(run_guesses_ms))
        self.mean_run_ms += run_guesses_ms[len(self.mean_run_ms) :]
        self.run_samples += [PRIOR_RUN_SAMPLES] * (len(self.mean_run_ms) - len(self.run_samples))
        for index, guess_ms in enumerate(run_guesses_ms):
            # Guards classes whose deadline new settings shorten: no run guessed by the old would fit into it.
            if self.run_samples[index] <= PRIOR_RUN_SAMPLES and guess_ms < inf:
                self.mean_run_ms[index] = guess_ms
        self.failure_share += [0.0] * (len(self.mean_run_ms) - len(self.failure_share))
        self.recent_arrivals += [1.0] * (len(self.mean_run_ms) - len(self.recent_arrivals))

    def add_server(self) -> None:
        """Make room for one more server."""
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
        """Put an index on record as that of a server of which nothing is known."""
        self.endpoint_state[server] = EndpointState.GONE
        self.kind[server] = self.zone[server] = self.cell[server] = -1
        self.process_started_ms[server] = None
        # Guards the server that gets this index next against gossip about this one.
        self.server_by_gossip_id.pop(self.gossip_id[server], None)
        self.gossip_id[server] = 0
        self.free_slots[server], self.last_response_ms[server] = 0.0, NEVER_MS
        self.probe_sent_ms[server] = None
        self.slow_start_tokens[server] = self.slow_start_refilled_ms[server] = 0.0
        self.own_slots[server] = self.identity_doubt[server] = 0.0
        self.reset_observations(server)

    def reset_observations(self, server: int) -> None:
        """Drop what was heard of a server's load and health."""
        self.others_slots[server], self.last_report_ms[server] = None, NEVER_MS
        self.at_capacity[server] = self.forwarded_since_report[server] = False
        self.is_unresponsive[server] = False
        self.log_likelihood_ratio[server] = 0.0
        self.ejected_until_ms[server], self.ejection_ms[server] = None, self.ejection_base_ms

    def set_endpoint(self, endpoint: Endpoint) -> None:
        """Put an entry of the endpoint list on record."""
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
        """Put servers on record as gone; one that is gone counts in no sum."""
        for server in servers:
            self.subtract_from_sums(server)
            self.endpoint_state[server] = EndpointState.GONE

    def list_ready(self, zone: int) -> None:
        """List anew the servers that are ready, those of a zone apart from the others."""
        ready = [server for server, state in enumerate(self.endpoint_state) if state is EndpointState.READY]
        self.same_zone = [server for server in ready if self.zone[server] == zone]
        self.other_zones = [server for server in ready if self.zone[server] != zone]

    def subtract_from_sums(self, server: int) -> None:
        """Take a server out of its kind's sums, before its figures change."""
        self._adjust_sums(server, -1)

    def add_to_sums(self, server: int) -> None:
        """Put a server into its kind's sums, after its figures have changed."""
        self._adjust_sums(server, 1)

    def _adjust_sums(self, server: int, sign: int) -> None:
        """Count a server once more or less in its kind's sums, which hold those ready and not ejected."""
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
        """Note an attempt of ours that is in flight at a server."""
        self.subtract_from_sums(server)
        self.own_attempts[server].append((state, attempt_index))
        self.own_slots[server] += state.request.slots
        self.add_to_sums(server)

    def remove_own_attempt(self, server: int, state: TrackedRequest, attempt_index: int) -> None:
        """Note that an attempt of ours at a server is in flight no more."""
        self.subtract_from_sums(server)
        self.own_attempts[server].remove((state, attempt_index))
        self.own_slots[server] -= state.request.slots
        self.add_to_sums(server)

    def learn_run(self, request: Request, server: int, run_ms: float) -> None:
        """Learn the mean run of a request class, and the pace of a kind, from a run."""
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
        """Learn from an outcome how often a request class fails on any server, and return that, bounded.

        Guards servers against blame for requests that fail wherever they go.
        """
        share = self.failure_share[class_index]
        share += (float(failed) - share) / MAX_RUN_SAMPLES
        self.failure_share[class_index] = share
        return min(max(HEALTHY_FAILURE_SHARE, share), MAX_HEALTHY_FAILURE_SHARE)

    def learn_probe_success(self, led_to_send: bool) -> None:
        """Learn how often probes lead to a send: under overload they seldom do, and each has its cost."""
        self.probe_success_share += (float(led_to_send) - self.probe_success_share) / PROBE_MEMORY

    def count_arrival(self, request: Request) -> None:
        """Count a request that has arrived, by its class, its slots and its resource key."""
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
