"""The pending queue: requests that wait for a server, the order in which they are served, and load shedding.

Requests wait in one heap for each `QueueKey`, ordered by the latest time at which the request can start and
still meet its latency objective. A request that has waited longer is answered: rejected with advice for a
retry (Retry-After) where a retry is harmless, else failed. The periodic check serves the queue and detects
stalled attempts at servers.
"""

from heapq import heappop, heappush
from math import inf
from typing import NamedTuple

from marlseam.decisions.health_checks import ServerHealth
from marlseam.decisions.placement import FULL_PROBING_SUCCESS_SHARE
from marlseam.decisions.request_record import RequestRecord
from marlseam.decisions.types import EndpointState

MAX_UNSUCCESSFUL_PLACEMENTS = 4  # a serving of the queue stops placing requests after more than these
MIN_SERVED_CHECK_SHARE = 0.1  # least share of periodic checks that place first attempts, whatever probes find


class QueueKey(NamedTuple):
    """The properties that the waiting requests of one heap share.

    Attributes:
        is_retry: whether an attempt was made before; first attempts are served before retries.
        kind: the kind of server that the requests need; -1 for any.
        slots: how many slots each request takes.
        rank: the priority weight of the request class with the setting `weight_by_size`, else 0.
    """

    is_retry: bool
    kind: int
    slots: float
    rank: float


class QueueEntry(NamedTuple):
    """A waiting request; a heap orders its entries by latest start (ms), then by number of enqueueing."""

    latest_start_ms: float
    number: int
    state: RequestRecord


class PendingQueue(ServerHealth):
    """The pending queue and the periodic check.

    Attributes:
        pending_queues: the heaps of waiting requests.
        unplaced_entries: the requests that the serving in progress could not place, which are enqueued again
            after it; None while no serving is in progress.
        enqueued_count: how many requests were ever enqueued.
        is_check_scheduled: whether a timer for the periodic check is set.
        probing_request: the waiting request whose home server is being probed; None for none.
    """

    pending_queues: dict[QueueKey, list[QueueEntry]]
    unplaced_entries: list[QueueEntry] | None
    enqueued_count: int
    is_check_scheduled: bool
    probing_request: RequestRecord | None

    def schedule_check(self, server: int | None = None) -> None:
        """Schedule a periodic check, of the pending queue and of a server if one is given.

        No timer is set while nothing is in flight, no request waits and no server is ejected.
        """
        if server is not None:
            self.monitored[server] = None
        if not self.is_check_scheduled:
            self.is_check_scheduled = True
            self.port.after(self.check_interval_ms, self.periodic_check)

    def periodic_check(self) -> None:
        """Detect stalled attempts, serve the pending queue, and schedule the next check if there is need."""
        self.is_check_scheduled = False
        for server in list(self.monitored):
            self.check_server(server)
        served_share = max(MIN_SERVED_CHECK_SHARE, self.probe_success_share / FULL_PROBING_SUCCESS_SHARE)
        self.dispatch_queue(inf if self.random() < served_share else 0.0)
        if self.monitored or self.pending_queues:
            self.schedule_check()

    def check_server(self, server: int) -> None:
        """Eject a server with a stalled attempt; stop monitoring one that is idle here and not ejected."""
        until_ms = self.ejected_until_ms[server]
        if until_ms is None and not self.own_attempts[server]:
            del self.monitored[server]
            return
        if self.endpoint_state[server] is not EndpointState.READY:
            return
        if (until_ms is None or self.port.now() >= until_ms) and self.detect_stall(server):
            self.eject(server, "attempts stalled" if until_ms is None else "trial attempt stalled")
            self.retry_elsewhere(server)

    def retry_after_ms(self) -> float:
        """Return the delay (ms) advised for a client's retry: after it, a server ejected now may be tried."""
        return min(self.ejection_base_ms, self.settings.max_retry_after_ms)

    def enqueue(self, state: RequestRecord) -> None:
        """Put a request into the pending queue, or, during a serving, among those enqueued again after it."""
        self.enqueued_count += 1
        latest_start_ms = self.port.now() + state.time_to_spare_ms(min(self.kind_pace))
        entry = QueueEntry(latest_start_ms, self.enqueued_count, state)
        if self.unplaced_entries is not None:
            self.unplaced_entries.append(entry)
            return
        request, rank = state.request, self.queue_rank(state.request.class_index)
        key = QueueKey(bool(state.attempts), state.request_class.kind, request.slots, rank)
        heappush(self.pending_queues.setdefault(key, []), entry)

    def dispatch_queue(self, max_slots: float = inf) -> None:
        """Serve the pending queue: place requests, and answer those that have waited too long.

        First attempts of `max_slots` or more slots are not placed; with 0 only retries are, as in most
        periodic checks while probes seldom find free slots. Only one request at a time probes its home
        server, and after an unsuccessful placement only requests of fewer slots are tried for its kind in the
        rest of the serving. Guards against a probe storm: on a node with few requests every home server must
        be probed. The number of unsuccessful placements is bounded. Guards against a burst after which
        thousands of requests wait and each outcome of an attempt would cause a look at all of them.
        """
        if self.unplaced_entries is not None:
            return
        self.unplaced_entries = []
        slots_limit = dict.fromkeys({key.kind for key in self.pending_queues}, max_slots)
        unsuccessful = 0
        while (key := self.next_queue(slots_limit, unsuccessful)) is not None:
            if not self.serve_head(key, slots_limit):
                unsuccessful += 1
        unplaced, self.unplaced_entries = self.unplaced_entries, None
        for entry in unplaced:
            self.enqueue(entry.state)
        self.pending_queues = {key: queue for key, queue in self.pending_queues.items() if queue}

    def next_queue(self, slots_limit: dict[int, float], unsuccessful: int) -> QueueKey | None:
        """Return the key of the heap whose head is served next; None for none.

        First attempts precede retries; then the higher rank, then the earlier latest start.
        """
        now = self.port.now()
        heads = [
            (key.is_retry, -key.rank, queue[0].latest_start_ms, key)
            for key, queue in self.pending_queues.items()
            if queue
        ]
        heads = [
            head for head in heads if head[2] < now or self.may_serve(head[3], slots_limit, unsuccessful)
        ]
        return min(heads)[3] if heads else None

    def serve_head(self, key: QueueKey, slots_limit: dict[int, float]) -> bool:
        """Remove the head of a heap and place or answer it; return False if the request must go on waiting.

        A request that is past its latest start with an attempt in flight is left to the end of that attempt.
        """
        now, (latest_start_ms, _, state) = self.port.now(), heappop(self.pending_queues[key])
        state.is_queued = False
        if state.is_closed:
            return True
        if latest_start_ms < now:
            if not state.in_flight_count():
                state.answer()
            return True
        state.place()
        if not state.is_queued:
            if not (state.is_closed or state.in_flight_count()):
                self.probing_request = state
            return True
        has_key_affinity = state.request.resource_key is not None and self.settings.fetch_cost
        if latest_start_ms - now >= self.max_queue_wait_ms and not has_key_affinity:
            slots_limit[key.kind] = min(slots_limit[key.kind], key.slots)
        return False

    def may_serve(self, key: QueueKey, slots_limit: dict[int, float], unsuccessful: int) -> bool:
        """Return whether the head of a heap may be placed now, by the limits of `dispatch_queue`."""
        if unsuccessful > MAX_UNSUCCESSFUL_PLACEMENTS:
            return False
        if self.probing_request is not None and not self.probing_request.is_closed:
            return False
        return key.is_retry or key.slots < slots_limit[key.kind]

    def home_probe_ended(self, state: RequestRecord) -> None:
        """Serve the queue again once the probe of a waiting request's home server has ended."""
        if self.probing_request is state:
            self.probing_request = None
            self.dispatch_queue(state.request.slots if state.is_queued else inf)

    def queue_rank(self, class_index: int) -> float:
        """Return the priority weight of a request class with the setting `weight_by_size`, else 0."""
        return self.request_classes[class_index].priority_weight if self.settings.weight_by_size else 0.0

    def is_outranked(self, state: RequestRecord) -> bool:
        """Return whether a request with a higher rank than that of `state` waits for its first attempt."""
        rank = self.queue_rank(state.request.class_index)
        return any(
            queue and key.rank > rank and not key.is_retry for key, queue in self.pending_queues.items()
        )
