"""The reducer of a node: each event changes the node's state and gives the effects that are asked for.

Pure of I/O and clocks: an adapter hands in events with the time at which they happen, and carries out the
effects. `EVENT_HANDLERS` names the method that takes each event.
"""

from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import Any, NamedTuple, Protocol

from marlseam.core.effects import CancelAttempt, Effect, Reject, Respond
from marlseam.core.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientLeft,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HistoryAvailable,
    HistoryRecovered,
    HistoryUnavailable,
    NodeStarted,
    NotDurable,
    PeerAttempt,
    PeerAttemptNeverRan,
    ProbeEnded,
    RequestArrived,
    ResponseStreaming,
    SettingsChanged,
    ShutdownBegun,
    TimerFired,
)
from marlseam.core.idempotency import UNKNOWN_ATTEMPT, AttemptRecord, UnavailableHistory
from marlseam.core.port import EffectsPort
from marlseam.core.servers import indexed_endpoint
from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.request_state import RequestState
from marlseam.decisions.slow_start import SLOW_START_PLANNED_SHARE
from marlseam.decisions.types import (
    Endpoint,
    EndpointState,
    Idempotency,
    ListUpdateKind,
    Outcome,
    Request,
    TrackedRequest,
)

FORGET_AFTER_LIST_MAX_AGES = 60.0  # how long a server must be gone to be forgotten


class Follower(Protocol):
    """What follows the reducer's course and changes nothing of it."""

    def observe(self, reducer: "Reducer", event: Event, effects: list[Effect]) -> None:
        """Take in an event and the effects that the reducer gave for it."""
        ...


class SlowStartFigures(NamedTuple):
    """A server's whole slow start budget in a window, inf outside slow start; a request's cost.

    Both in mean requests.
    """

    budget: float
    cost: float


class Reducer(EffectsPort):
    """What one node knows.

    Attributes:
        dispatcher: the decision module's state.
        follower: what follows this reducer's course; None for nothing.
        open_requests: requests without their final answer, or with attempts in flight, by id.
        unavailable_history: whose requests that may have run are not known here.
        answer_by_ms: by when all requests must be answered; inf unless the node shuts down.
    """

    dispatcher_type: type[Dispatcher] = Dispatcher  # experiments set baselines here

    def __init__(self, follower: Follower | None = None) -> None:
        super().__init__()
        self.follower = follower
        self.open_requests: dict[str, RequestState] = {}
        self.unavailable_history = UnavailableHistory()
        self.answer_by_ms = inf

    def reduce(self, clock: float, event: Event) -> list[Effect]:
        """Take in one event and return the effects that it asks for, in order."""
        self.clock = clock
        effects: list[Effect] = []
        self.effects = effects
        EVENT_HANDLERS[type(event)](self, event)
        if self.follower is not None:
            self.follower.observe(self, event, effects)
        return effects

    # The node, its settings and its end.

    def node_started(self, event: NodeStarted) -> None:
        """Make the dispatcher."""
        self.dispatcher = self.dispatcher_type(event.settings, event.seed, self)

    def settings_changed(self, event: SettingsChanged) -> None:
        """Configure the dispatcher; open requests keep to an order by key that is newly asked for."""
        self.dispatcher.configure(event.settings)
        for state in self.open_requests.values():
            self.dispatcher.join_key_queue(state)

    def shutdown_begun(self, event: ShutdownBegun) -> None:
        """Answer by the rules, once the time is up, all requests that are still open."""
        self.answer_by_ms = self.clock + event.left_ms

        def answer_all() -> None:
            for state in list(self.open_requests.values()):
                state.answer()

        self.after(event.left_ms, answer_all)

    def timer_fired(self, event: TimerFired) -> None:
        """Call back what waits for a timer."""
        call = self.timers.pop(event.timer_id, None)
        if call is not None:
            call()

    # Servers.

    def endpoint_list_updated(self, event: EndpointListUpdate) -> None:
        """Hand an update of the endpoint list on under dense indices."""
        endpoints = [indexed_endpoint(entry, self.servers.index_of(entry.server)) for entry in event.entries]
        dispatcher = self.dispatcher
        started_ms = {server: dispatcher.process_started_ms[server] for server in dispatcher.monitored}
        dispatcher.update_endpoints(event.update_kind, endpoints, event.doubt)
        for server, before_ms in started_ms.items():
            if (
                dispatcher.endpoint_state[server] is not EndpointState.READY
                or dispatcher.process_started_ms[server] != before_ms
            ):
                self.cancel_unsent(server)
        if event.update_kind is ListUpdateKind.FAILED:
            return
        self.note_listed(event)
        self.forget_long_gone()

    def cancel_unsent(self, server: int) -> None:
        """Cancel attempts at a server that are not sent yet.

        Guards a server that drains, or is in slow start, against attempts on their way: one counts from its
        first byte, which may come the time of a connect after the decision.
        """
        self.effects += [
            CancelAttempt(state.request.request_id, index, even_if_sent=False)
            for state, index in self.dispatcher.own_attempts[server]
        ]

    def note_listed(self, event: EndpointListUpdate) -> None:
        """Note which servers are off the endpoint list."""
        listed = {entry.server for entry in event.entries if entry.state is not EndpointState.GONE}
        if event.update_kind is ListUpdateKind.DELTA:
            names = [entry.server for entry in event.entries]
        else:
            names = list(self.servers.by_name)
        self.servers.update(names, listed, self.clock)

    def forget_long_gone(self) -> None:
        """Forget servers that have long been gone, once no attempt or probe is in flight there.

        Guards a node that runs for weeks against figures of every server there ever was.
        """
        dispatcher = self.dispatcher
        memory_ms = FORGET_AFTER_LIST_MAX_AGES * dispatcher.settings.list_max_age_ms
        for name in self.servers.gone_before(self.clock - memory_ms):
            server = self.servers.by_name[name]
            if not dispatcher.own_attempts[server] and dispatcher.probe_sent_ms[server] is None:
                # Guards the sums by kind where only draining excludes: one off the list may still be in use.
                dispatcher.remove({server})
                dispatcher.in_use_though_removed.pop(server, None)
                dispatcher.reset(server)
                self.servers.forget(name)

    def probe_ended(self, event: ProbeEnded) -> None:
        """Hand a probe's end on."""
        server = self.servers.by_name[event.server]
        self.dispatcher.probe_ended(server, event.outcome, event.lag_ms, event.report)

    def gossip_received(self, event: GossipReceived) -> None:
        """Hand another node's message on."""
        self.dispatcher.merge_gossip(event.peer, self.clock, event.message)

    # Requests and their attempts.

    def request_arrived(self, event: RequestArrived) -> None:
        """Accept a request, to be answered before this node ends; reject it where no key can be held."""
        request = event.request
        if request.deadline_at_ms > self.answer_by_ms:
            request = replace(request, deadline_at_ms=self.answer_by_ms)
        if self.needs_record(request):
            prior = self.prior_attempts(request)
            wait_ms = self.idempotency_records.wait_for_key_ms(self.clock)
            if not prior and wait_ms and request.is_recordable:
                # Nothing of it ran: it may come back once a key is free. None that may have run is dropped.
                retry_after_ms = min(wait_ms, self.dispatcher.settings.max_retry_after_ms)
                self.effects.append(Reject(request.request_id, retry_after_ms))
                return
            # The first one is enough: its group has them all, and servers remember them from its time on.
            attempts = tuple((self.recorded_server(record), record.sent_ms) for record in prior[:1])
            request = replace(request, prior_attempts=attempts)
        elif not request.is_recordable and request.is_sendable:
            request = replace(request, is_recordable=True)  # it needs no record
        state = self.dispatcher.accept(request)
        if not state.is_closed:
            self.open_requests[event.request.request_id] = state

    def needs_record(self, request: Request) -> bool:
        """Return whether it must be on record that a request may have run."""
        request_class = self.dispatcher.request_classes[request.class_index]
        return request.idempotency_key is not None and request_class.idempotency is not Idempotency.SAFE

    def prior_attempts(self, request: Request) -> list[AttemptRecord]:
        """Return what may have run under a request's key, or that this is not known."""
        prior = self.idempotency_records.attempts(request.idempotency_key or "", self.clock)
        if not prior and request.may_be_retry and self.is_history_incomplete():
            return [UNKNOWN_ATTEMPT]
        return prior

    def recorded_server(self, record: AttemptRecord) -> int:
        """Return the index of an attempt's server, which may be gone, with its group on record."""
        server, dispatcher = self.servers.index_of(record.server), self.dispatcher
        if server >= len(dispatcher.endpoint_state) or (
            dispatcher.endpoint_state[server] is EndpointState.GONE and dispatcher.cell[server] != record.cell
        ):
            dispatcher.set_endpoint(Endpoint(server, EndpointState.GONE, -1, record.zone, record.cell, None))
            self.servers.gone_since_ms.setdefault(record.server, self.clock)
        return server

    def attempt_started(self, event: AttemptStarted) -> None:
        """Hand on that an attempt runs."""
        state = self.open_requests.get(event.request_id)
        if state is not None:
            state.started(event.attempt_index)

    def attempt_progressed(self, event: AttemptProgressed) -> None:
        """Hand on how far an attempt has come."""
        state = self.open_requests.get(event.request_id)
        if state is not None:
            state.progress(event.attempt_index, event.share)

    def response_streaming(self, event: ResponseStreaming) -> None:
        """Hand on that an attempt's response is on its way to the client."""
        state = self.open_requests.get(event.request_id)
        if state is not None:
            state.streaming(event.attempt_index)

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Hand an attempt's end on, and its result to the client that still waits for it."""
        state = self.open_requests.get(event.request_id)
        if state is None:
            return
        if event.outcome is Outcome.COMPLETED and not state.is_closed:
            self.effects.append(Respond(event.request_id, event.result))
        state.attempt_ended(event.attempt_index, event.outcome, event.final, event.report)
        self.forget_if_over(event.request_id, state)

    def client_left(self, event: ClientLeft) -> None:
        """Cancel what is in flight for a request whose client has gone."""
        state = self.open_requests.get(event.request_id)
        if state is not None:
            state.close()
            self.forget_if_over(event.request_id, state)

    def not_durable(self, event: NotDurable) -> None:
        """Answer a request whose attempt could not be put on record; nothing more of it may be sent."""
        state = self.open_requests.get(event.request_id)
        if state is not None:
            state.max_attempts = 0
            ended = AttemptEnded(event.request_id, event.attempt_index, Outcome.CANCELLED_UNSENT, False, None)
            self.attempt_ended(ended)

    def reject(self, state: TrackedRequest, retry_after_ms: float) -> None:
        """Reject a request, and forget it where nothing of it is in flight: no event would do so later."""
        super().reject(state, retry_after_ms)
        self.forget_if_over(state.request.request_id, state)

    def fail(self, state: TrackedRequest) -> None:
        """Fail a request, and forget it where nothing of it is in flight: no event would do so later."""
        super().fail(state)
        self.forget_if_over(state.request.request_id, state)

    def forget_if_over(self, request_id: str, state: TrackedRequest) -> None:
        """Forget a request that has its answer and no attempt in flight."""
        if state.is_closed and not state.in_flight_count():
            self.open_requests.pop(request_id, None)

    # What may have run before this node started, or in other processes of it.

    def history_recovered(self, event: HistoryRecovered) -> None:
        """Take in what may have run before the node started."""
        self.idempotency_records.restore(event.records)

    def peer_attempt(self, event: PeerAttempt) -> None:
        """Take in what another process of this node sends, once: a snapshot may have had it too."""
        if event.record not in self.idempotency_records.attempts(event.key, self.clock):
            self.idempotency_records.add(event.key, event.record)

    def peer_attempt_never_ran(self, event: PeerAttemptNeverRan) -> None:
        """Take an attempt of another process off the record."""
        self.idempotency_records.never_ran(event.key, event.server, event.sent_ms)

    def history_unavailable(self, event: HistoryUnavailable) -> None:
        """Take retries as perhaps sent by a source, until it is known or servers have forgotten it."""
        self.unavailable_history.add(event.source, event.since_ms)

    def history_available(self, event: HistoryAvailable) -> None:
        """Note that what a source has sent is known."""
        self.unavailable_history.discard(event.source)

    def is_history_incomplete(self) -> bool:
        """Return whether a retry may be of a request that was sent and is not known here."""
        if not self.unavailable_history.last_sent_ms:
            return False
        longest_ms = max(
            (
                max(each.deduplication_window_ms, each.deadline_ms)
                for each in self.dispatcher.request_classes
                if each.deadline_ms < inf
            ),
            default=0.0,
        )
        return self.unavailable_history.expire(self.clock, longest_ms)

    # Figures for operators.

    def avoided_count(self) -> int:
        """Return how many listed servers get nothing now."""
        dispatcher = self.dispatcher
        return sum(
            state is not EndpointState.GONE and dispatcher.is_avoided(server)
            for server, state in enumerate(dispatcher.endpoint_state)
        )

    def slow_start_figures(self, name: str, class_index: int, slots: float) -> SlowStartFigures:
        """Return a server's slow start budget, and what a request of a class and width costs."""
        server, dispatcher = self.servers.by_name.get(name), self.dispatcher
        planned = dispatcher.slow_start_budget(server) if server is not None else inf
        if planned == inf:
            return SlowStartFigures(inf, 0.0)
        budget = planned / SLOW_START_PLANNED_SHARE * dispatcher.settings.overload_window_ms
        cost = dispatcher.mean_run_ms[class_index] * slots / dispatcher.mean_slot_ms
        return SlowStartFigures(budget, cost)


EVENT_HANDLERS: dict[type, Callable[[Reducer, Any], None]] = {
    NodeStarted: Reducer.node_started,
    SettingsChanged: Reducer.settings_changed,
    EndpointListUpdate: Reducer.endpoint_list_updated,
    HistoryRecovered: Reducer.history_recovered,
    PeerAttempt: Reducer.peer_attempt,
    PeerAttemptNeverRan: Reducer.peer_attempt_never_ran,
    HistoryUnavailable: Reducer.history_unavailable,
    HistoryAvailable: Reducer.history_available,
    NotDurable: Reducer.not_durable,
    RequestArrived: Reducer.request_arrived,
    TimerFired: Reducer.timer_fired,
    ProbeEnded: Reducer.probe_ended,
    GossipReceived: Reducer.gossip_received,
    AttemptEnded: Reducer.attempt_ended,
    AttemptStarted: Reducer.attempt_started,
    AttemptProgressed: Reducer.attempt_progressed,
    ResponseStreaming: Reducer.response_streaming,
    ClientLeft: Reducer.client_left,
    ShutdownBegun: Reducer.shutdown_begun,
}
