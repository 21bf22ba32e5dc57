"""The endpoint list: how updates are applied, and when discovery is polled again after a failure."""

from marlseam.decisions.pending_queue import PendingQueue
from marlseam.decisions.types import Endpoint, EndpointState, ListUpdateKind
from marlseam.recovery.saved_list import MAX_CERTAIN_DOUBT

WEIGHT_AGE_IN_LIST_PERIODS = 0.35  # assumed age of a weight on arrival, in mean times between lists
REFRESH_PERIOD_MEMORY = 5.0  # divisor of the exponential moving average of the time between updates
FIRST_BACKOFF_SHARE = 0.1  # the first poll backoff, as a share of the longest poll interval


class EndpointList(PendingQueue):
    """Applies updates of the endpoint list and polls discovery.

    Attributes:
        next_poll_ms: when discovery is polled next after a failure.
        poll_backoff_ms: the current backoff before its random spread; 0 for none.
    """

    next_poll_ms: float
    poll_backoff_ms: float

    def update_endpoints(
        self, update_kind: ListUpdateKind, endpoints: list[Endpoint], doubt: float = 0.0
    ) -> None:
        """Apply an update; `doubt` is the probability that an entry of a cached list is outdated."""
        if update_kind is ListUpdateKind.FAILED:
            self.back_off()
            return
        now = self.port.now()
        if update_kind is ListUpdateKind.DELTA:
            # Only a delta ends the backoff, not a whole list. Guards against a poll storm where watches fail
            # at once.
            self.poll_backoff_ms = 0.0
        else:
            gone = set(range(len(self.endpoint_state))) - {endpoint.server for endpoint in endpoints}
            self.remove({server for server in gone if not self.keeps_in_use(server)})
        endpoints = [
            endpoint
            for endpoint in endpoints
            if endpoint.state is not EndpointState.GONE or not self.keeps_in_use(endpoint.server)
        ]
        if self.settings.live_weights and update_kind is ListUpdateKind.DELTA:
            self.learn_refresh_period(now)
        for endpoint in endpoints:
            self.update_endpoint(endpoint, update_kind, doubt)
        if self.settings.live_weights:
            self.merge_listed_weights(endpoints, now)
        self.refresh_derived()
        self.dispatch_queue()

    def learn_refresh_period(self, now: float) -> None:
        """Update the moving average of the time between updates of the list's weights."""
        since_ms = min(now - self.last_delta_ms, 2.0 * self.refresh_period_ms)
        self.refresh_period_ms += (since_ms - self.refresh_period_ms) / REFRESH_PERIOD_MEMORY
        self.last_delta_ms = now

    def merge_listed_weights(self, endpoints: list[Endpoint], now: float) -> None:
        """Use the listed weights of ready servers as load reports."""
        weights = [
            (endpoint.server, endpoint.weight)
            for endpoint in endpoints
            if endpoint.weight and endpoint.state is EndpointState.READY
        ]
        self.merge_weights(weights, now - WEIGHT_AGE_IN_LIST_PERIODS * self.refresh_period_ms)

    def update_endpoint(self, endpoint: Endpoint, update_kind: ListUpdateKind, doubt: float) -> None:
        """Apply one entry of the list; the observations of a server whose process has restarted are reset."""
        server = endpoint.server
        self.in_use_though_removed.pop(server, None)
        self.set_endpoint(endpoint)
        # Guards against overload of a server that may have started after the cached list was saved.
        started_ms = self.port.now() if doubt > MAX_CERTAIN_DOUBT else endpoint.process_started_ms
        if started_ms is not None and started_ms != self.process_started_ms[server]:
            self.server_restarted(server, started_ms)
        elif started_ms is None and update_kind is not ListUpdateKind.CACHED:
            self.process_started_ms[server] = None
        self.identity_doubt[server] = doubt

    def refresh_derived(self) -> None:
        """Update what is derived from the list, and retry elsewhere what was sent to servers now gone."""
        before = self.same_zone, self.other_zones
        self.list_ready(self.settings.zone)
        if self.settings.fetch_cost and (self.same_zone, self.other_zones) != before:
            self.build_hash_ring()
        if self.peer_slots:
            self.rebuild_others_slots(self.port.now(), self.peer_silence_limit_ms)
        for server in list(self.monitored):
            if self.endpoint_state[server] is EndpointState.GONE:
                self.retry_elsewhere(server)

    def back_off(self) -> None:
        """Schedule a poll after a failure, with exponential backoff and random spread."""
        now, longest_ms = self.port.now(), self.settings.max_poll_interval_ms
        first_ms, spread = FIRST_BACKOFF_SHARE * longest_ms, 0.5 + self.random()
        self.poll_backoff_ms = min(2.0 * self.poll_backoff_ms or first_ms, longest_ms)
        backoff_ms = min(spread * self.poll_backoff_ms, longest_ms)
        # The time that the failed poll took counts as part of the backoff.
        due_ms = max(now + spread * first_ms, min(now, self.next_poll_ms) + backoff_ms)
        self.next_poll_ms = due_ms
        self.port.after(due_ms - now, lambda: self.poll_endpoints(due_ms))

    def poll_endpoints(self, due_ms: float) -> None:
        """Request the endpoint list and its changes, unless a later failure has set another poll time."""
        if self.settings.subscribes_to_endpoints and due_ms == self.next_poll_ms:
            self.port.watch_endpoints()

    def keeps_in_use(self, server: int) -> bool:
        """Return whether a server that is listed as gone, or not listed, stays in use, and mark it if so.

        With `only_draining_excludes` the list is no proof that a server is down, so a ready server stays in
        use until it fails.
        """
        is_in_use = (
            server < len(self.endpoint_state)
            and self.endpoint_state[server] is EndpointState.READY
            and self.ejected_until_ms[server] is None
        )
        if is_in_use and self.settings.only_draining_excludes:
            self.in_use_though_removed[server] = None
            return True
        return False

    def server_restarted(self, server: int, started_ms: float) -> None:
        """Put a server whose process has restarted into slow start, and drop its earlier observations."""
        self.subtract_from_sums(server)
        self.reset_observations(server)
        self.process_started_ms[server] = started_ms
        self.add_to_sums(server)
        self.slow_start_tokens[server] = -self.random()  # so that not all nodes begin to send at once
        self.slow_start_refilled_ms[server] = self.port.now()
        self.retry_elsewhere(server, started_ms)
