"""A shadow policy: compares each decision of the node with that under other settings. It does no I/O.

The shadow dispatcher has statistics and a random sequence of its own. It processes the same events as the
node's dispatcher, and the attempts that the latter has sent; it neither sends nor probes nor sets timers, and
has no influence on the node. As its own decisions are not carried out, their consequences are not observed:
its statistics are those of the node's decisions.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from zlib import crc32

from marlseam import core
from marlseam.core.servers import indexed_endpoint
from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.request_state import RequestState
from marlseam.decisions.types import (
    Attempt,
    Decision,
    ListUpdateKind,
    LoadReport,
    Outcome,
    Request,
    Settings,
    TrackedRequest,
)

SEED_MASK = 0x5EED  # makes the shadow's random sequence differ from the node's

DecidedEffect = core.SendAttempt | core.Reject | core.Fail


def decision_of(effect: DecidedEffect) -> Decision:
    """Return the decision that led to an effect; any `SendAttempt` counts as sent to the home server."""
    match effect:
        case core.SendAttempt():
            return Decision.HOME
        case core.Reject():
            return Decision.REJECTED
        case core.Fail():
            return Decision.FAILED


class NullPort:
    """A port whose operations have no effect.

    Attributes:
        clock: the time of the current event, in milliseconds.
    """

    def __init__(self) -> None:
        self.clock = 0.0

    def now(self) -> float:
        """Return the time of the current event."""
        return self.clock

    def send(self, state: TrackedRequest, server: int, deadline_ms: float) -> None:
        """Send nothing."""

    def cancel(self, state: TrackedRequest, attempt_index: int) -> None:
        """Cancel nothing."""

    def reject(self, state: TrackedRequest, retry_after_ms: float) -> None:
        """Answer nothing."""

    def fail(self, state: TrackedRequest) -> None:
        """Answer nothing."""

    def probe(self, server: int) -> None:
        """Probe nothing."""

    def after(self, delay_ms: float, call: Callable[[], None]) -> int:
        """Set no timer."""
        del delay_ms, call
        return 0

    def cancel_timer(self, timer_id: int) -> None:
        """Cancel nothing."""

    def never_ran(self, state: TrackedRequest, server: int, sent_ms: float) -> None:
        """Erase no record."""

    def watch_endpoints(self) -> None:
        """Request no list."""

    def publish(self, message: bytes) -> None:
        """Publish nothing."""

    def log(self, text: str) -> None:
        """Write nothing."""


class ShadowRequest(RequestState):
    """The shadow dispatcher's state of a request, which records events but starts no attempt of its own."""

    def retry(self) -> None:
        """Do nothing, as the node decides on retries."""


class ShadowPolicy:
    """Observes a reducer and counts, by pairs of decisions, where other settings lead to another decision.

    Attributes:
        change_settings: returns the shadow's settings for those of the node.
        port: the shadow dispatcher's port, which has no effect.
        dispatcher: the shadow dispatcher, from the node's start on.
        open_requests: requests without a final answer or with attempts in flight, by id.
        decision_count: how many decisions of the node were compared.
        differences: how many decisions differed, by the node's decision and the shadow's.
        last_check_ms: when the shadow's last periodic check was.
    """

    dispatcher: Dispatcher

    def __init__(self, change_settings: Callable[[Settings], Settings]) -> None:
        self.change_settings, self.port = change_settings, NullPort()
        self.open_requests: dict[str, ShadowRequest] = {}
        self.decision_count, self.last_check_ms = 0, 0.0
        self.differences: Counter[tuple[Decision, Decision]] = Counter()

    def observe(self, reducer: core.Reducer, event: core.Event, effects: Iterable[core.Effect]) -> None:
        """Process an event and the node's effects for it, and compare the decisions among them."""
        self.port.clock = reducer.clock
        self.process_event(reducer, event, effects)
        for effect in effects:
            self.process_effect(reducer, effect, compare=type(event) is not core.RequestArrived)

    def lines(self) -> list[str]:
        """Return log lines: one with the totals, then one for each pair of decisions, most frequent first."""
        head = f"watch: {self.decision_count} decisions, {self.differences.total()} differ by shadow settings"
        rows = sorted(self.differences.items(), key=lambda row: (-row[1], row[0][0].value, row[0][1].value))
        return [
            head,
            *(
                f"watch: {count} times decided {decided.value}, by shadow settings {other.value}"
                for (decided, other), count in rows
            ),
        ]

    # Comparison of decisions.

    def count(self, decided: Decision, other: Decision) -> None:
        """Count a decision `decided` of the node, for which the shadow's is `other`."""
        self.decision_count += 1
        if decided is not other:
            self.differences[decided, other] += 1

    def request_arrived(
        self, reducer: core.Reducer, request: Request, effects: Iterable[core.Effect]
    ) -> None:
        """Track a request that has arrived, and compare the first decision on it."""
        state = reducer.open_requests.get(request.request_id)
        self.dispatcher.count_arrival(request)
        shadow = ShadowRequest(self.dispatcher, state.request if state is not None else request)
        self.open_requests[request.request_id] = shadow
        decided = first_decision(request, state, effects)
        if shadow.may_attempt():
            self.count(decided, shadow.choose_initial_placement().decision)
        else:
            self.count(decided, final_decision(shadow))

    def compare(self, state: RequestState | None, shadow: ShadowRequest, effect: DecidedEffect) -> None:
        """Compare a decision on a request after its arrival."""
        self.count(later_decision(state, effect), self.shadow_decision(state, shadow, effect))

    def shadow_decision(
        self, state: RequestState | None, shadow: ShadowRequest, effect: DecidedEffect
    ) -> Decision:
        """Return the shadow's decision on a request where the node's has led to `effect`."""
        if type(effect) is not core.SendAttempt or state is None:
            has_time = shadow.may_attempt() and shadow.time_to_spare_ms(min(self.dispatcher.kind_pace)) >= 0.0
            return Decision.QUEUED if has_time else final_decision(shadow)
        shadow.home_server, shadow.has_waited = state.home_server, state.has_waited
        shadow.probe_round_ms = state.probe_round_ms
        if has_probed_others(state):
            return shadow.pick_probed_server(state.probed_servers).decision
        at_home = shadow.decide_at_home(state.home_server)
        if at_home is Decision.PROBE_OTHERS and state.has_waited:
            return Decision.QUEUED
        return at_home

    # Processing of the node's events and effects.

    def process_event(self, reducer: core.Reducer, event: core.Event, effects: Iterable[core.Effect]) -> None:
        """Update the shadow's state by an event."""
        match event:
            case core.NodeStarted():
                seed = crc32(b"%d" % (event.seed ^ SEED_MASK))
                self.dispatcher = Dispatcher(self.change_settings(event.settings), seed, self.port)
            case core.SettingsChanged():
                self.dispatcher.configure(self.change_settings(event.settings))
            case core.RequestArrived():
                self.request_arrived(reducer, event.request, effects)
            case core.EndpointListUpdate():
                self.endpoint_list_updated(reducer, event)
            case core.ProbeEnded():
                server = reducer.servers.by_name[event.server]
                self.dispatcher.probe_ended(server, event.outcome, event.lag_ms, event.report)
            case core.GossipReceived():
                self.dispatcher.merge_gossip(event.peer, reducer.clock, event.message)
            case core.TimerFired():
                self.check_periodically(reducer.clock)
            case _:
                self.process_request_event(event)

    def process_request_event(self, event: core.Event) -> None:
        """Update an open request of the shadow by an event of that request."""
        shadow = self.open_requests.get(getattr(event, "request_id", ""))
        if shadow is None:
            return
        match event:
            case core.AttemptEnded(_, index, outcome, final, report):
                self.attempt_ended(shadow, index, outcome, final, report)
            case core.AttemptProgressed():
                shadow.progress(event.attempt_index, event.share)
            case core.AttemptStarted() | core.ResponseStreaming():
                shadow.started(event.attempt_index)
            case core.ClientLeft():
                shadow.is_closed = True
                self.forget_if_over(shadow)

    def attempt_ended(
        self, shadow: ShadowRequest, index: int, outcome: Outcome, final: bool, report: LoadReport | None
    ) -> None:
        """Apply the outcome of an attempt, and forget the request if it is over."""
        shadow.attempt_ended(index, outcome, final, report)
        self.forget_if_over(shadow)

    def process_effect(self, reducer: core.Reducer, effect: core.Effect, compare: bool) -> None:
        """Track an attempt or answer of the node; with `compare`, compare it first if it is a decision."""
        shadow = self.open_requests.get(getattr(effect, "request_id", ""))
        if shadow is None:
            return
        if compare and isinstance(effect, DecidedEffect):
            self.compare(reducer.open_requests.get(effect.request_id), shadow, effect)
        if isinstance(effect, core.SendAttempt):
            server, now = reducer.servers.by_name[effect.server], self.port.clock
            wait_ms = self.dispatcher.expected_wait_ms(server, shadow.request)
            shadow.attempts.append(Attempt(server, now, now, expected_wait_ms=wait_ms))
            index = len(shadow.attempts) - 1
            self.dispatcher.add_own_attempt(server, shadow, index)
        elif isinstance(effect, core.Respond | core.Reject | core.Fail):
            shadow.is_closed = True
            self.forget_if_over(shadow)

    def endpoint_list_updated(self, reducer: core.Reducer, event: core.EndpointListUpdate) -> None:
        """Apply an update of the endpoint list with the node's indices of servers."""
        if event.update_kind is ListUpdateKind.FAILED:
            return
        for server in reducer.servers.free:  # a free index may later be assigned to another server
            if server < len(self.dispatcher.endpoint_state):
                self.dispatcher.reset(server)
        endpoints = [
            indexed_endpoint(entry, reducer.servers.by_name[entry.server])
            for entry in event.entries
            if entry.server in reducer.servers.by_name
        ]
        self.dispatcher.update_endpoints(event.update_kind, endpoints, event.doubt)

    def check_periodically(self, now: float) -> None:
        """Run the shadow's periodic check if its interval has passed since the last one."""
        if now - self.last_check_ms >= self.dispatcher.check_interval_ms:
            self.last_check_ms = now
            self.dispatcher.periodic_check()

    def forget_if_over(self, shadow: ShadowRequest) -> None:
        """Remove a request from the open ones if it has its answer and no attempt in flight."""
        if shadow.is_over():
            del self.open_requests[shadow.request.request_id]


def first_decision(request: Request, state: RequestState | None, effects: Iterable[core.Effect]) -> Decision:
    """Return the node's first decision on a request, by the effects of its arrival."""
    for effect in effects:
        if isinstance(effect, DecidedEffect) and effect.request_id == request.request_id:
            return decision_of(effect)
    if state is None or not state.probed_servers:
        return Decision.QUEUED
    return Decision.PROBE_OTHERS if has_probed_others(state) else Decision.PROBE_HOME


def later_decision(state: RequestState | None, effect: DecidedEffect) -> Decision:
    """Return the node's decision on a request after its arrival, by the effect that it led to."""
    if not isinstance(effect, core.SendAttempt) or state is None or not has_probed_others(state):
        return decision_of(effect)
    is_home = state.attempts[effect.attempt_index].server == state.home_server
    return Decision.PLACED_AT_HOME if is_home else Decision.FORWARDED


def final_decision(shadow: ShadowRequest) -> Decision:
    """Return the final answer that the shadow would give."""
    return Decision.REJECTED if shadow.may_reject_safely() else Decision.FAILED


def has_probed_others(state: RequestState) -> bool:
    """Return whether servers other than the home server were probed for a request."""
    return state.probed_servers not in ([], [state.home_server])
