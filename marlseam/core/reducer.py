"""The reducer of a node: each event changes the node's state and returns effects.

The reducer does no I/O and reads no clock: an adapter passes in events with the time at which they happen and
carries out the effects. `EVENT_HANDLERS` maps each type of event to the method that handles it.
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
from marlseam.core.idempotency import UNKNOWN_ATTEMPT, AttemptRecord, UnavailableHistory, record_keys
from marlseam.core.port import EffectsPort
from marlseam.core.servers import indexed_endpoint
from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.request_state import RequestState
from marlseam.decisions.slow_start import SLOW_START_PLANNED_SHARE
from marlseam.decisions.types import (
    Endpoint,
    EndpointState,
    ListUpdateKind,
    Outcome,
    Request,
    TrackedRequest,
)

FORGET_AFTER_LIST_MAX_AGES = 60.0  # how long a server must be gone to be forgotten, in `list_max_age_ms`


class ReducerObserver(Protocol):
    """An observer of the reducer's events and effects, which changes nothing in the reducer."""

    def observe(self, reducer: "Reducer", event: Event, effects: list[Effect]) -> None:
        """Process an event and the effects that the reducer returned for it."""
        ...


class SlowStartFigures(NamedTuple):
    """The slow start budget of a server and the cost of a request, both in mean requests.

    Attributes:
        budget: what all nodes may send to the server in one overload window; inf outside slow start.
        cost: the cost of the request.
    """

    budget: float
    cost: float


class Reducer(EffectsPort):
    """The state of one node and the handlers of its events.

    Attributes:
        dispatcher: the node's dispatcher.
        observer: the observer of this reducer; None for none.
        open_requests: requests without a final answer or with attempts in flight, by id.
        unavailable_history: sources whose records of requests that may have run are missing here.
        answer_by_ms: the time by which all requests must be answered; inf unless the node shuts down.
    """

    dispatcher_type: type[Dispatcher] = Dispatcher  # overridden by baselines in experiments

    def __init__(self, observer: ReducerObserver | None = None) -> None:
        super().__init__()
        self.observer = observer
        self.open_requests: dict[str, RequestState] = {}
        self.unavailable_history = UnavailableHistory()
        self.answer_by_ms = inf

    def reduce(self, clock: float, event: Event) -> list[Effect]:
        """Apply one event at the time `clock` (ms) and return its effects in order."""
        self.clock = clock
        effects: list[Effect] = []
        self.effects = effects
        EVENT_HANDLERS[type(event)](self, event)
        if self.observer is not None:
            self.observer.observe(self, event, effects)
        return effects

    # The node: start, settings, shutdown and timers.

    def node_started(self, event: NodeStarted) -> None:
        """Create the dispatcher."""
        self.dispatcher = self.dispatcher_type(event.settings, event.seed, self)

    def settings_changed(self, event: SettingsChanged) -> None:
        """Configure the dispatcher; open requests join key queues that the new settings require."""
        self.dispatcher.configure(event.settings)
        for state in self.open_requests.values():
            self.dispatcher.join_key_queue(state)

    def shutdown_begun(self, event: ShutdownBegun) -> None:
        """Set a timer that answers all requests that are open by then, rejecting or failing each."""
        self.answer_by_ms = self.clock + event.left_ms

        def answer_all() -> None:
            for state in list(self.open_requests.values()):
                state.answer()

        self.after(event.left_ms, answer_all)

    def timer_fired(self, event: TimerFired) -> None:
        """Call the function that waits for a timer."""
        call = self.timers.pop(event.timer_id, None)
        if call is not None:
            call()

    # Servers: endpoint list, probes and gossip.

    def endpoint_list_updated(self, event: EndpointListUpdate) -> None:
        """Pass an update of the endpoint list to the dispatcher, with dense indices in place of names.

        Cancels unsent attempts at servers that are no longer ready or whose process has restarted.
        """
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
        self.record_unlisted(event)
        self.forget_long_gone()

    def cancel_unsent(self, server: int) -> None:
        """Cancel attempts at a server that are not sent yet.

        Guards a server that drains or is in slow start against attempts that were decided earlier: an attempt
        counts from its first byte, which may be sent only after the time of a connect.
        """
        self.effects += [
            CancelAttempt(state.request.request_id, index, even_if_sent=False)
            for state, index in self.dispatcher.own_attempts[server]
        ]

    def record_unlisted(self, event: EndpointListUpdate) -> None:
        """Record which servers are not on the endpoint list, by an update of the list."""
        listed = {entry.server for entry in event.entries if entry.state is not EndpointState.GONE}
        if event.update_kind is ListUpdateKind.DELTA:
            names = [entry.server for entry in event.entries]
        else:
            names = list(self.servers.by_name)
        self.servers.update(names, listed, self.clock)

    def forget_long_gone(self) -> None:
        """Forget servers that have long been gone, once no attempt or probe is in flight there.

        Guards a node that runs for weeks against accumulating records of all servers that ever existed.
        """
        dispatcher = self.dispatcher
        memory_ms = FORGET_AFTER_LIST_MAX_AGES * dispatcher.settings.list_max_age_ms
        for name in self.servers.gone_before(self.clock - memory_ms):
            server = self.servers.by_name[name]
            if not dispatcher.own_attempts[server] and dispatcher.probe_sent_ms[server] is None:
                # With `only_draining_excludes` an unlisted server may still be in use. Guards against leaving
                # a forgotten server in the sums by kind.
                dispatcher.remove({server})
                dispatcher.in_use_though_removed.pop(server, None)
                dispatcher.reset(server)
                self.servers.forget(name)

    def probe_ended(self, event: ProbeEnded) -> None:
        """Pass the outcome of a probe to the dispatcher."""
        server = self.servers.by_name[event.server]
        self.dispatcher.probe_ended(server, event.outcome, event.lag_ms, event.report)

    def gossip_received(self, event: GossipReceived) -> None:
        """Pass a gossip message from another node to the dispatcher."""
        self.dispatcher.merge_gossip(event.peer, self.clock, event.message)

    # Requests and their attempts.

    def request_arrived(self, event: RequestArrived) -> None:
        """Accept a request, to be answered before a shutdown ends, or reject it if no key can be added."""
        request = event.request
        if request.deadline_at_ms > self.answer_by_ms:
            request = replace(request, deadline_at_ms=self.answer_by_ms)
        if self.needs_record(request):
            prior = self.prior_attempts(request)
            wait_ms = self.idempotency_records.wait_for_key_ms(self.clock)
            if not prior and wait_ms and request.is_recordable:
                # No attempt of the request ran, so the client may retry once a key is free. Keys of requests
                # that may have run are never dropped to make room.
                retry_after_ms = min(wait_ms, self.dispatcher.settings.max_retry_after_ms)
                self.effects.append(Reject(request.request_id, retry_after_ms))
                return
            # The first attempt is enough: all others went to its zone or cell, and the servers' deduplication
            # window counts from its sending.
            attempts = tuple((self.recorded_server(record), record.sent_ms) for record in prior[:1])
            request = replace(request, prior_attempts=attempts)
        elif not request.is_recordable and request.is_sendable:
            request = replace(request, is_recordable=True)  # the request needs no record
        state = self.dispatcher.accept(request)
        if not state.is_closed:
            self.open_requests[event.request.request_id] = state

    def needs_record(self, request: Request) -> bool:
        """Return whether a request must be recorded before it is sent."""
        return bool(record_keys(request, self.dispatcher.request_classes[request.class_index]))

    def prior_attempts(self, request: Request) -> list[AttemptRecord]:
        """Return the attempts that may have run under a request's keys, or `UNKNOWN_ATTEMPT`.

        The latter stands for a retry of a request whose attempts may be among missing records. A retry is
        recognised by its idempotency key alone, as its client gives it another correlation id.
        """
        request_class = self.dispatcher.request_classes[request.class_index]
        prior = [
            record
            for key in record_keys(request, request_class)
            for record in self.idempotency_records.attempts(key, self.clock)
        ]
        may_be_retry = request.idempotency_key is not None and request.may_be_retry
        if not prior and may_be_retry and self.is_history_incomplete():
            return [UNKNOWN_ATTEMPT]
        return prior

    def recorded_server(self, record: AttemptRecord) -> int:
        """Return the index of an attempt's server; for a server that is gone, record its zone and cell."""
        server, dispatcher = self.servers.index_of(record.server), self.dispatcher
        if server >= len(dispatcher.endpoint_state) or (
            dispatcher.endpoint_state[server] is EndpointState.GONE and dispatcher.cell[server] != record.cell
        ):
            dispatcher.set_endpoint(Endpoint(server, EndpointState.GONE, -1, record.zone, record.cell, None))
            self.servers.gone_since_ms.setdefault(record.server, self.clock)
        return server

    def attempt_started(self, event: AttemptStarted) -> None:
        """Pass the start of an attempt to its request."""
        state = self.open_requests.get(event.request_id)
        if state is not None:
            state.started(event.attempt_index)

    def attempt_progressed(self, event: AttemptProgressed) -> None:
        """Pass the progress of an attempt to its request."""
        state = self.open_requests.get(event.request_id)
        if state is not None:
            state.progress(event.attempt_index, event.share)

    def response_streaming(self, event: ResponseStreaming) -> None:
        """Pass to its request that the response of an attempt is being sent to the client."""
        state = self.open_requests.get(event.request_id)
        if state is not None:
            state.streaming(event.attempt_index)

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Pass the end of an attempt to its request, and its result to the client if that still waits."""
        state = self.open_requests.get(event.request_id)
        if state is None:
            return
        if event.outcome is Outcome.COMPLETED and not state.is_closed:
            self.effects.append(Respond(event.request_id, event.result))
        state.attempt_ended(event.attempt_index, event.outcome, event.final, event.report)
        self.forget_if_over(event.request_id, state)

    def client_left(self, event: ClientLeft) -> None:
        """Cancel the attempts in flight of a request whose client has left."""
        state = self.open_requests.get(event.request_id)
        if state is not None:
            state.close()
            self.forget_if_over(event.request_id, state)

    def not_durable(self, event: NotDurable) -> None:
        """Answer a request whose attempt could not be recorded; no further attempt may be sent."""
        state = self.open_requests.get(event.request_id)
        if state is not None:
            state.max_attempts = 0
            ended = AttemptEnded(event.request_id, event.attempt_index, Outcome.CANCELLED_UNSENT, False, None)
            self.attempt_ended(ended)

    def reject(self, state: TrackedRequest, retry_after_ms: float) -> None:
        """Reject a request and forget it if no attempt is in flight, as no later event would remove it."""
        super().reject(state, retry_after_ms)
        self.forget_if_over(state.request.request_id, state)

    def fail(self, state: TrackedRequest) -> None:
        """Fail a request and forget it if no attempt is in flight, as no later event would remove it."""
        super().fail(state)
        self.forget_if_over(state.request.request_id, state)

    def forget_if_over(self, request_id: str, state: TrackedRequest) -> None:
        """Remove a request from the open ones if it has its answer and no attempt in flight."""
        if state.is_closed and not state.in_flight_count():
            self.open_requests.pop(request_id, None)

    # Requests that may have run before this node started, or in other processes of the node.

    def history_recovered(self, event: HistoryRecovered) -> None:
        """Restore the records of requests that may have run before the node started."""
        self.idempotency_records.restore(event.records)

    def peer_attempt(self, event: PeerAttempt) -> None:
        """Record an attempt of another process of this node, unless a snapshot has brought the record."""
        if event.record not in self.idempotency_records.attempts(event.key, self.clock):
            self.idempotency_records.add(event.key, event.record)

    def peer_attempt_never_ran(self, event: PeerAttemptNeverRan) -> None:
        """Erase the record of an attempt of another process, which provably never ran."""
        self.idempotency_records.never_ran(event.key, event.server, event.sent_ms)

    def history_unavailable(self, event: HistoryUnavailable) -> None:
        """Record that a source's records are missing.

        Until they are available, or servers have forgotten the source's requests, a retry may be of one of
        these.
        """
        self.unavailable_history.add(event.source, event.since_ms)

    def history_available(self, event: HistoryAvailable) -> None:
        """Record that the records of a source are available."""
        self.unavailable_history.discard(event.source)

    def is_history_incomplete(self) -> bool:
        """Return whether a retry may be of a request that was sent but whose record is missing here."""
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
        """Return how many listed servers are avoided, i.e. are sent nothing now."""
        dispatcher = self.dispatcher
        return sum(
            state is not EndpointState.GONE and dispatcher.is_avoided(server)
            for server, state in enumerate(dispatcher.endpoint_state)
        )

    def slow_start_figures(self, name: str, class_index: int, slots: float) -> SlowStartFigures:
        """Return a server's slow start budget and the cost of a request of a class with some slots."""
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
