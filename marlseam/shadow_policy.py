"""A shadow policy: what other settings would have decided where the node has just decided. Pure of I/O.

The shadow dispatcher has figures and a random sequence of its own. It takes in all that the node's dispatcher
takes in, and what that has sent; it neither sends nor probes nor sets a timer, and the node never asks it. It
sees no consequences of decisions that were not carried out: its figures follow the node's own course.
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

SEED_MASK = 0x5EED  # sets the shadow's random sequence apart from the node's

DecidedEffect = core.SendAttempt | core.Reject | core.Fail


def decision_of(effect: DecidedEffect) -> Decision:
    """Return the decision that an effect shows, a sending as one to the home server."""
    match effect:
        case core.SendAttempt():
            return Decision.HOME
        case core.Reject():
            return Decision.REJECTED
        case core.Fail():
            return Decision.FAILED


class SilentPort:
    """A port through which nothing happens."""

    def __init__(self) -> None:
        self.clock = 0.0

    def now(self) -> float:
        """Return the time of the event in hand."""
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

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Set no timer."""

    def never_ran(self, state: TrackedRequest, server: int, sent_ms: float) -> None:
        """Change no record."""

    def watch_endpoints(self) -> None:
        """Ask for no list."""

    def publish(self, message: bytes) -> None:
        """Publish nothing."""

    def log(self, text: str) -> None:
        """Write nothing."""


class ShadowRequest(RequestState):
    """A request as the shadow dispatcher knows it: it takes note, and seeks nothing of its own accord."""

    def retry(self) -> None:
        """Leave it to the node what follows."""


class ShadowPolicy:
    """Follows a reducer and counts, by kind, where other settings would have decided otherwise.

    Attributes:
        change: gives the other settings for the node's.
        dispatcher: the shadow dispatcher, from the node's start on.
        open_requests: requests without their final answer, or with attempts in flight, by id.
        decided: how many decisions of the node were compared.
        otherwise: how many were otherwise, by the node's decision and the shadow's.
        checked_ms: when the shadow's last periodic check was.
    """

    dispatcher: Dispatcher

    def __init__(self, change: Callable[[Settings], Settings]) -> None:
        self.change, self.port = change, SilentPort()
        self.open_requests: dict[str, ShadowRequest] = {}
        self.decided, self.checked_ms = 0, 0.0
        self.otherwise: Counter[tuple[Decision, Decision]] = Counter()

    def observe(self, reducer: core.Reducer, event: core.Event, effects: Iterable[core.Effect]) -> None:
        """Take in an event and what the node did upon it."""
        self.port.clock = reducer.clock
        self.take_event(reducer, event, effects)
        for effect in effects:
            self.take_effect(reducer, effect, compare=type(event) is not core.RequestArrived)

    def lines(self) -> list[str]:
        """Return the counts, the most frequent first, in a line each."""
        head = f"watch: {self.decided} decisions, {self.otherwise.total()} otherwise by the settings watched"
        rows = sorted(self.otherwise.items(), key=lambda row: (-row[1], row[0][0].value, row[0][1].value))
        return [
            head,
            *(
                f"watch: {count} times {decided.value} where it would be {other.value}"
                for (decided, other), count in rows
            ),
        ]

    # Decisions beside the shadow's.

    def count(self, decided: Decision, other: Decision) -> None:
        """Count a decision of the node beside the shadow's."""
        self.decided += 1
        if decided is not other:
            self.otherwise[decided, other] += 1

    def request_arrived(
        self, reducer: core.Reducer, request: Request, effects: Iterable[core.Effect]
    ) -> None:
        """Compare what is first decided of a request."""
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
        """Compare what is decided of a request after its arrival."""
        self.count(later_decision(state, effect), self.other_decision(state, shadow, effect))

    def other_decision(
        self, state: RequestState | None, shadow: ShadowRequest, effect: DecidedEffect
    ) -> Decision:
        """Return what the shadow would do with a request of which the node has decided just now."""
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

    # What the shadow takes in.

    def take_event(self, reducer: core.Reducer, event: core.Event, effects: Iterable[core.Effect]) -> None:
        """Take in an event."""
        match event:
            case core.NodeStarted():
                seed = crc32(b"%d" % (event.seed ^ SEED_MASK))
                self.dispatcher = Dispatcher(self.change(event.settings), seed, self.port)
            case core.SettingsChanged():
                self.dispatcher.configure(self.change(event.settings))
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
                self.take_request_event(event)

    def take_request_event(self, event: core.Event) -> None:
        """Take in what happens to a request that is open."""
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
        """Take in an attempt's end."""
        shadow.attempt_ended(index, outcome, final, report)
        self.forget_if_over(shadow)

    def take_effect(self, reducer: core.Reducer, effect: core.Effect, compare: bool) -> None:
        """Take in what the node has sent or answered, and compare it where it is a decision."""
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
        """Take in an update of the endpoint list, under the same indices."""
        if event.update_kind is ListUpdateKind.FAILED:
            return
        for server in reducer.servers.free:  # a free index may be another server's later
            if server < len(self.dispatcher.endpoint_state):
                self.dispatcher.reset(server)
        endpoints = [
            indexed_endpoint(entry, reducer.servers.by_name[entry.server])
            for entry in event.entries
            if entry.server in reducer.servers.by_name
        ]
        self.dispatcher.update_endpoints(event.update_kind, endpoints, event.doubt)

    def check_periodically(self, now: float) -> None:
        """Make the shadow's periodic check as often as the node makes its own."""
        if now - self.checked_ms >= self.dispatcher.check_interval_ms:
            self.checked_ms = now
            self.dispatcher.periodic_check()

    def forget_if_over(self, shadow: ShadowRequest) -> None:
        """Forget a request that has its answer and no attempt in flight."""
        if shadow.is_over():
            del self.open_requests[shadow.request.request_id]


def first_decision(request: Request, state: RequestState | None, effects: Iterable[core.Effect]) -> Decision:
    """Return what the node has first decided of a request, by the effects of its arrival."""
    for effect in effects:
        if isinstance(effect, DecidedEffect) and effect.request_id == request.request_id:
            return decision_of(effect)
    if state is None or not state.probed_servers:
        return Decision.QUEUED
    return Decision.PROBE_OTHERS if has_probed_others(state) else Decision.PROBE_HOME


def later_decision(state: RequestState | None, effect: DecidedEffect) -> Decision:
    """Return what the node has decided of a request after its arrival."""
    if not isinstance(effect, core.SendAttempt) or state is None or not has_probed_others(state):
        return decision_of(effect)
    is_home = state.attempts[effect.attempt_index].server == state.home_server
    return Decision.PLACED_AT_HOME if is_home else Decision.FORWARDED


def final_decision(shadow: ShadowRequest) -> Decision:
    """Return the final answer that the shadow would give."""
    return Decision.REJECTED if shadow.may_reject_safely() else Decision.FAILED


def has_probed_others(state: RequestState) -> bool:
    """Return whether servers besides home were probed for a request."""
    return state.probed_servers not in ([], [state.home_server])
