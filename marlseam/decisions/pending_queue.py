"""The pending queue: requests that wait for a server, in which order they are served, and when they are shed.

Requests wait in heaps by class of placement (`QueueKey`), each by the latest time at which the request can
start and meet its latency objective; what has waited longer is answered: rejected with advice for a retry
(Retry-After) where that is harmless, else failed. The periodic check serves the queue and looks at servers.
"""

from heapq import heappop, heappush
from math import inf
from typing import NamedTuple

from marlseam.decisions.health_checks import ServerHealth
from marlseam.decisions.placement import FULL_PROBING_SUCCESS_SHARE
from marlseam.decisions.request_record import RequestRecord
from marlseam.decisions.types import EndpointState

MAX_UNSUCCESSFUL_PLACEMENTS = 4  # in one serving of the queue; no more are tried once there are more
MIN_SERVED_CHECK_SHARE = 0.1  # share of periodic checks that place first attempts whatever probes find


class QueueKey(NamedTuple):
    """What the waiting requests of one heap have in common.

    Attributes:
        is_retry: whether something of them was sent before; first attempts are served first.
        kind: the kind of server that they need, -1 for any.
        slots: the slots that each takes.
        rank: the priority weight, where requests are weighed by size; else 0.
    """

    is_retry: bool
    kind: int
    slots: float
    rank: float


class QueueEntry(NamedTuple):
    """A waiting request; entries are served by the latest time at which it can start, then by number."""

    latest_start_ms: float
    number: int
    state: RequestRecord


class PendingQueue(ServerHealth):
    """The pending queue and the periodic check."""

    pending_queues: dict[QueueKey, list[QueueEntry]]
    unplaced_entries: list[QueueEntry] | None  # put back after a serving: those it could not place
    enqueued_count: int
    is_check_scheduled: bool
    probing_request: RequestRecord | None  # a waiting one whose home is being probed

    def schedule_check(self, server: int | None = None) -> None:
        """Have a server, and the pending queue, looked at by the next periodic check.

        A node with nothing in flight, nothing waiting and no server ejected sets no timer.
        """
        if server is not None:
            self.monitored[server] = None
        if not self.is_check_scheduled:
            self.is_check_scheduled = True
            self.port.after(self.check_interval_ms, self.periodic_check)

    def periodic_check(self) -> None:
        """Look for stalled attempts, and serve the pending queue."""
        self.is_check_scheduled = False
        for server in list(self.monitored):
            self.check_server(server)
        served_share = max(MIN_SERVED_CHECK_SHARE, self.probe_success_share / FULL_PROBING_SUCCESS_SHARE)
        self.dispatch_queue(inf if self.random() < served_share else 0.0)
        if self.monitored or self.pending_queues:
            self.schedule_check()

    def check_server(self, server: int) -> None:
        """Eject a server where attempts have stalled; stop looking at one without attempts of ours."""
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
        """Return when a rejected client may come back: once a server ejected now may be tried again."""
        return min(self.ejection_base_ms, self.settings.max_retry_after_ms)

    def enqueue(self, state: RequestRecord) -> None:
        """Let a request wait; one that is not placed in a serving is put back after it."""
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

        First attempts of `max_slots` or more slots are not tried: 0 places further attempts alone, which a
        periodic check does where probes seldom find free slots. One request at a time probes its home, and
        after an unsuccessful one only narrower ones for its kind are tried until the next check. Guards
        against a probe storm: on a node with few requests every home must be probed. Unsuccessful placements
        are bounded. Guards against a burst that has thousands wait, all of them looked at for each outcome.
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
        """Return whose head is served next: first attempts, by rank, then by latest start; None for none."""
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
        """Take the head of a queue out, and place or answer it; return False if it has to go on waiting.

        One that is late while an attempt of it is in flight is left to that attempt's end.
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
        needs_key_holder = state.request.resource_key is not None and self.settings.fetch_cost
        if latest_start_ms - now >= self.max_queue_wait_ms and not needs_key_holder:
            slots_limit[key.kind] = min(slots_limit[key.kind], key.slots)
        return False

    def may_serve(self, key: QueueKey, slots_limit: dict[int, float], unsuccessful: int) -> bool:
        """Return whether a request of a queue may be placed now."""
        if unsuccessful > MAX_UNSUCCESSFUL_PLACEMENTS:
            return False
        if self.probing_request is not None and not self.probing_request.is_closed:
            return False
        return key.is_retry or key.slots < slots_limit[key.kind]

    def home_probe_ended(self, state: RequestRecord) -> None:
        """Let the next waiting request probe its home once one has done so."""
        if self.probing_request is state:
            self.probing_request = None
            self.dispatch_queue(state.request.slots if state.is_queued else inf)

    def queue_rank(self, class_index: int) -> float:
        """Return the rank of a class: its priority weight, where requests are weighed by size; else 0."""
        return self.request_classes[class_index].priority_weight if self.settings.weight_by_size else 0.0

    def is_outranked(self, state: RequestRecord) -> bool:
        """Return whether a first attempt of a higher rank waits."""
        rank = self.queue_rank(state.request.class_index)
        return any(
            queue and key.rank > rank and not key.is_retry for key, queue in self.pending_queues.items()
        )
