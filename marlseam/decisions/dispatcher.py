"""The dispatcher: its state, its settings, and the entry points that the reducer calls.

The reducer creates `Dispatcher(settings, seed, port)`, then calls `update_endpoints`, `probe_ended`,
`merge_gossip` and `accept`. `accept` returns a `RequestState`, whose methods are called for everything that
happens to that request later. The dispatcher acts through the port alone. Times are float milliseconds.

`Dispatcher` is built by inheritance, one class per rule and module, each deriving from those whose state it
reads: `server_stats`, `load_estimates`, `gossip`, `slow_start`, `outlier_detection`, `server_selection`,
`hedging`, `health_checks`, `pending_queue`, `endpoints`. `RequestState` is built in the same way:
`request_record`, `eligibility`, `retry`, `sending`, `placement`, `request_state`.
"""

from math import inf

from marlseam.decisions.eligibility import RESERVED_RUN_SHARE
from marlseam.decisions.endpoints import EndpointList
from marlseam.decisions.key_ordering import KeyQueue
from marlseam.decisions.outlier_detection import EJECTION_BASE_IN_DEADLINES
from marlseam.decisions.request_state import RequestState
from marlseam.decisions.types import Port, Request, Settings
from marlseam.random_source import RandomSource

# These four are multiples of the shortest latency objective of all request classes.
PROBE_WAIT_IN_OBJECTIVES = 0.25  # how long a decision waits for a probe; the probe itself continues
REPORT_MAX_AGE_IN_OBJECTIVES = 2.0  # age from which the home server's report is stale
CHECK_INTERVAL_IN_OBJECTIVES = 0.5  # from one periodic check to the next
MAX_QUEUE_WAIT_IN_OBJECTIVES = 1.0  # longest expected wait at a server to which a request is still sent

INITIAL_RUN_IN_OBJECTIVES = 2.0  # assumed run of a request class without samples, in its own objectives
MIN_PROBE_WAIT_IN_TICKS = 4.0  # lower bound of the wait for a probe
DEADLINE_MARGIN_IN_TICKS = 2.0  # how long before its deadline a request is answered
PEER_SILENCE_IN_DEADLINES = 2.0  # silence after which a node's gossip is dropped, in longest deadlines
DEFAULT_DEADLINE_MS = 1000.0  # assumed where no request class has a deadline


class Dispatcher(EndpointList):
    """One node's dispatcher.

    Attributes:
        settings, request_classes: as last passed to `configure`.
        port: the port through which the dispatcher acts.
        random: returns the next number in [0, 1) of the dispatcher's random sequence.
        key_queues: queues by resource key, of requests whose class is `ordered_by_key`.
        request_state_type: the class of the state of each request; baselines in experiments set another one.
    """

    request_state_type: type[RequestState] = RequestState

    def __init__(self, settings: Settings, seed: int, port: Port) -> None:
        super().__init__()
        self.port, self.random = port, RandomSource(seed)
        self.configure(settings)
        self.pending_queues, self.unplaced_entries = {}, None
        self.enqueued_count, self.next_poll_ms, self.is_check_scheduled = 0, 0.0, False
        self.probing_request = None
        self.key_queues: dict[str, KeyQueue] = {}
        self.poll_endpoints(0.0)
        self.periodic_check()

    def configure(self, settings: Settings) -> None:
        """Apply settings, at the start or in service; what was measured under an index is kept."""
        self.settings, self.request_classes, self.poll_backoff_ms = settings, settings.request_classes, 0.0
        classes, objective_ms = settings.request_classes, settings.shortest_objective_ms
        shortest_deadline_ms = min((each.deadline_ms for each in classes), default=DEFAULT_DEADLINE_MS)
        self.ejection_base_ms = EJECTION_BASE_IN_DEADLINES * shortest_deadline_ms
        self.probe_wait_ms = max(
            PROBE_WAIT_IN_OBJECTIVES * objective_ms, MIN_PROBE_WAIT_IN_TICKS * settings.tick_ms
        )
        self.report_max_age_ms = REPORT_MAX_AGE_IN_OBJECTIVES * objective_ms
        self.check_interval_ms = CHECK_INTERVAL_IN_OBJECTIVES * objective_ms
        self.max_queue_wait_ms = MAX_QUEUE_WAIT_IN_OBJECTIVES * objective_ms
        self.deadline_margin_ms = DEADLINE_MARGIN_IN_TICKS * settings.tick_ms
        self.has_kind_bound_classes = any(each.kind >= 0 for each in classes)
        finite_deadlines_ms = [each.deadline_ms for each in classes if each.deadline_ms < inf]
        self.peer_silence_limit_ms = PEER_SILENCE_IN_DEADLINES * max(
            finite_deadlines_ms, default=DEFAULT_DEADLINE_MS
        )
        self.refresh_period_ms = self.refresh_period_ms or settings.progress_period_ms
        self.grow(
            settings.kind_count,
            [INITIAL_RUN_IN_OBJECTIVES * (each.latency_objective_ms or objective_ms) for each in classes],
        )
        self.list_ready(settings.zone)

    def accept(self, request: Request) -> RequestState:
        """Accept a request and schedule its answer before its deadline, whatever is in flight by then."""
        self.count_arrival(request)
        state = self.request_state_type(self, request)
        time_left_ms = request.deadline_at_ms - self.port.now()
        state.timers.append(self.port.after(time_left_ms - self.deadline_margin_ms, state.answer))
        self.join_key_queue(state)
        run_share = 1.0 if request.run_hint_ms else RESERVED_RUN_SHARE
        to_spare_ms = state.time_to_spare_ms(min(self.kind_pace), run_share)
        if state.has_turn:
            state.place()
        elif self.has_time_in_key_queue(state, to_spare_ms):
            state.timers.append(
                self.port.after(to_spare_ms, lambda: None if state.has_turn else state.answer())
            )
        else:
            state.answer()
        return state

    def has_time_in_key_queue(self, state: RequestState, to_spare_ms: float) -> bool:
        """Return whether a request may be sent at all, and can be in time behind the others in its key queue.

        `to_spare_ms` is how long the request may wait and still meet its latency objective.
        """
        queue = state.key_queue
        if not state.max_attempts or queue is None:
            return False
        return queue.ahead_ms - state.key_run_ms < to_spare_ms

    def join_key_queue(self, state: RequestState) -> None:
        """Append a request to the queue of its resource key, if its class is `ordered_by_key`."""
        request = state.request
        key = request.resource_key
        if key is None or state.key_queue is not None:
            return
        if self.request_classes[request.class_index].ordered_by_key:
            queue = self.key_queues.setdefault(key, KeyQueue(self.key_queues, key))
            queue.join(state, request.run_hint_ms or self.mean_run_ms[request.class_index])
