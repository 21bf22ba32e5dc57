"""The decision module's port to the node: what it asks for becomes effects, in order."""

from collections.abc import Callable
from math import inf

from marlseam.core.effects import (
    CancelAttempt,
    Effect,
    ErasePersisted,
    Fail,
    Gossip,
    Log,
    PersistAttempt,
    Probe,
    Reject,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from marlseam.core.idempotency import AttemptRecord, IdempotencyRecords
from marlseam.core.servers import ServerIndices
from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.types import Idempotency, TrackedRequest

MAX_KEYS = 20000  # idempotency keys of requests that may have run; a new one past that is rejected


class EffectsPort:
    """Collects effects, timers and idempotency records.

    Attributes:
        clock: the time of the event in hand, in milliseconds.
        effects: what this event has asked for so far.
        timers, timer_count: what waits for timers, by timer id; how many were ever set.
        servers: the dense indices of servers.
        idempotency_records: which requests may have run.
    """

    dispatcher: Dispatcher

    def __init__(self) -> None:
        self.clock, self.timer_count = 0.0, 0
        self.effects: list[Effect] = []
        self.timers: dict[int, Callable[[], None]] = {}
        self.servers = ServerIndices()
        self.idempotency_records = IdempotencyRecords(MAX_KEYS)

    def now(self) -> float:
        """Return the time of the event in hand."""
        return self.clock

    def send(self, state: TrackedRequest, server: int, time_left_ms: float) -> None:
        """Send a request to a server; under a key it is first put on record that it may run there."""
        request, request_class = state.request, state.request_class
        send_within_ms = inf
        earlier = [
            attempt for attempt in state.attempts_that_may_have_run() if attempt is not state.attempts[-1]
        ]
        if earlier and request_class.idempotency is Idempotency.KEYED:
            # After that the servers of the first attempt need not know it any more.
            send_within_ms = earlier[0].sent_ms + request_class.deduplication_window_ms - self.clock
        if request.idempotency_key is not None and request_class.idempotency is not Idempotency.SAFE:
            self.persist(state, request.idempotency_key, server)
        index, name = len(state.attempts) - 1, self.servers.names[server]
        self.effects.append(SendAttempt(request.request_id, index, name, time_left_ms, send_within_ms))

    def persist(self, state: TrackedRequest, key: str, server: int) -> None:
        """Put on record that a request may run on a server."""
        request_class, dispatcher = state.request_class, self.dispatcher
        is_keyed = request_class.idempotency is Idempotency.KEYED
        memory_ms = request_class.deduplication_window_ms if is_keyed else request_class.deadline_ms
        record = AttemptRecord(
            self.servers.names[server],
            dispatcher.zone[server],
            dispatcher.cell[server],
            self.clock,
            self.clock + memory_ms,
        )
        self.idempotency_records.add(key, record)
        self.effects.append(PersistAttempt(state.request.request_id, key, record))

    def cancel(self, state: TrackedRequest, attempt_index: int) -> None:
        """Stop waiting for an attempt; one that is not sent yet is cancelled whatever the settings."""
        even_if_sent = self.dispatcher.settings.may_cancel
        self.effects.append(CancelAttempt(state.request.request_id, attempt_index, even_if_sent))

    def reject(self, state: TrackedRequest, retry_after_ms: float) -> None:
        """Reject a request, with advice on when to come back."""
        self.effects.append(Reject(state.request.request_id, retry_after_ms))

    def fail(self, state: TrackedRequest) -> None:
        """Fail a request, or reject it where all attempts that may have run turn out not to be sent."""
        request_id, dispatcher = state.request.request_id, self.dispatcher
        in_flight = tuple(index for index, attempt in enumerate(state.attempts) if attempt.outcome is None)
        if len(in_flight) != len(state.attempts_that_may_have_run()):
            self.effects.append(Fail(request_id, state.is_invalid))
            return
        retry_after_ms = 0.0
        if in_flight:
            retry_after_ms = dispatcher.retry_after_ms()
        self.effects.append(Fail(request_id, state.is_invalid, in_flight, retry_after_ms))

    def probe(self, server: int) -> None:
        """Ask a server for its load report."""
        self.effects.append(Probe(self.servers.names[server]))

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Call back once the delay has passed."""
        self.timer_count += 1
        self.timers[self.timer_count] = call
        self.effects.append(SetTimer(self.timer_count, delay_ms))

    def never_ran(self, state: TrackedRequest, server: int, sent_ms: float) -> None:
        """Take an attempt off the record."""
        key, name = state.request.idempotency_key, self.servers.names[server]
        if key is not None and self.idempotency_records.never_ran(key, name, sent_ms):
            self.effects.append(ErasePersisted(key, name, sent_ms))

    def watch_endpoints(self) -> None:
        """Ask discovery for its list and its changes."""
        self.effects.append(WatchEndpoints())

    def publish(self, message: bytes) -> None:
        """Publish a gossip message to all other nodes."""
        self.effects.append(Gossip(message))

    def log(self, text: str) -> None:
        """Write a line for operators."""
        self.effects.append(Log(text))
