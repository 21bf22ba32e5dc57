"""The dispatcher: its state, its settings, and the entry points of the reducer.

The reducer makes `Dispatcher(settings, seed, port)`, then calls `update_endpoints`, `probe_ended`,
`merge_gossip` and `accept`. `accept` gives a `RequestState`, and all that happens to that request later is a
call on it. The dispatcher acts through the port alone. Times are float milliseconds.

The class is composed of a module a rule, each deriving from those whose figures it reads: `server_stats`,
`load_estimates`, `gossip`, `slow_start`, `outlier_detection`, `server_selection`, `hedging`, `health_checks`,
`admission`, `endpoints`. A request's side is composed likewise: `request_record`, `eligibility`, `retry`,
`sending`, `placement`, `request_state`.
"""

from math import inf

from marlseam.decisions.eligibility import RESERVED_RUN_SHARE
from marlseam.decisions.endpoints import EndpointList
from marlseam.decisions.key_ordering import KeyQueue
from marlseam.decisions.outlier_detection import EJECTION_BASE_IN_DEADLINES
from marlseam.decisions.request_state import RequestState
from marlseam.decisions.types import Port, Request, Settings
from marlseam.random_source import RandomSource

# In latency objectives of the most urgent request class: how long a decision waits for a probe, which itself
# goes on; how old home's report may be; the next two likewise.
PROBE_WAIT_IN_OBJECTIVES = 0.25
REPORT_MAX_AGE_IN_OBJECTIVES = 2.0
CHECK_INTERVAL_IN_OBJECTIVES = 0.5  # from one periodic check to the next
MAX_QUEUE_WAIT_IN_OBJECTIVES = 1.0  # the longest wait at a server that a request is sent into
INITIAL_RUN_IN_OBJECTIVES = 2.0  # the run of a request class not seen yet, in its own latency objectives
MIN_PROBE_WAIT_IN_TICKS = 4.0  # the shortest wait for a probe
DEADLINE_MARGIN_IN_TICKS = 2.0  # how long before its deadline a request is answered
PEER_SILENCE_IN_DEADLINES = 2.0  # after which a node's gossip is void, in the longest deadline
DEFAULT_DEADLINE_MS = 1000.0  # where no request class has one


class Dispatcher(EndpointList):
    """One node's dispatcher.

    Attributes:
        settings, request_classes: as configured last.
        port: through which it acts.
        random: the next number in [0, 1) of its sequence.
        key_queues: by resource key, the requests of classes that ask for one at a time.
        request_state_type: what requests become; baselines in experiments set another.
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
        """Take in settings, also in service: what was learned under an index stays."""
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
        """Take a request, to be answered before its deadline whatever is in flight by then."""
        self.count_arrival(request)
        state = self.request_state_type(self, request)
        time_left_ms = request.deadline_at_ms - self.port.now()
        self.port.after(time_left_ms - self.deadline_margin_ms, state.answer)
        self.join_key_queue(state)
        run_share = 1.0 if request.run_hint_ms else RESERVED_RUN_SHARE
        to_spare_ms = state.time_to_spare_ms(min(self.kind_pace), run_share)
        if state.has_turn:
            state.place()
        elif self.can_be_in_time_behind_key(state, to_spare_ms):
            self.port.after(to_spare_ms, lambda: None if state.has_turn else state.answer())
        else:
            state.answer()
        return state

    def can_be_in_time_behind_key(self, state: RequestState, to_spare_ms: float) -> bool:
        """Return whether a request may be sent at all, and in time behind the others of its key."""
        queue = state.key_queue
        if not state.max_attempts or queue is None:
            return False
        return queue.ahead_ms - state.key_run_ms < to_spare_ms

    def join_key_queue(self, state: RequestState) -> None:
        """Put a request behind the others of its key, where its class asks for one at a time."""
        request = state.request
        key = request.resource_key
        if key is None or state.key_queue is not None:
            return
        if self.request_classes[request.class_index].ordered_by_key:
            queue = self.key_queues.setdefault(key, KeyQueue(self.key_queues, key))
            queue.join(state, request.run_hint_ms or self.mean_run_ms[request.class_index])
