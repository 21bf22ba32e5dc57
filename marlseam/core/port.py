"""The port of the decision modules in a node: collects the requested operations as effects, in order."""

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
from marlseam.core.idempotency import (
    AttemptRecord,
    IdempotencyRecords,
    is_correlation_key,
    record_keys,
)
from marlseam.core.servers import ServerIndices
from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.types import Idempotency, TrackedRequest

# Maximum number of idempotency keys of requests that may have run; requests under further keys are rejected.
MAX_KEYS = 20000
# The least time for which an unsafe request that may have run is refused when its correlation id comes again.
MIN_CORRELATION_MEMORY_MS = 30000.0


class EffectsPort:
    """Collects effects, timers and idempotency records.

    Attributes:
        dispatcher: the dispatcher that uses the port.
        clock: the time of the current event, in milliseconds.
        effects: the effects of the current event so far.
        timers: by timer id, the function to call when the timer fires.
        timer_count: how many timers were ever set.
        servers: the dense indices of servers.
        idempotency_records: records of the requests that may have run.
    """

    dispatcher: Dispatcher

    def __init__(self) -> None:
        self.clock, self.timer_count = 0.0, 0
        self.effects: list[Effect] = []
        self.timers: dict[int, Callable[[], None]] = {}
        self.servers = ServerIndices()
        self.idempotency_records = IdempotencyRecords(MAX_KEYS)

    def now(self) -> float:
        """Return the time of the current event."""
        return self.clock

    def send(self, state: TrackedRequest, server: int, time_left_ms: float) -> None:
        """Send the last attempt of a request, recorded first under the request's keys unless it is safe."""
        request, request_class = state.request, state.request_class
        send_within_ms = inf
        earlier = [
            attempt for attempt in state.attempts_that_may_have_run() if attempt is not state.attempts[-1]
        ]
        if earlier and request_class.idempotency is Idempotency.KEYED:
            # After this time servers may have forgotten the key of the first attempt that may have run, and
            # would run the request a second time.
            send_within_ms = earlier[0].sent_ms + request_class.deduplication_window_ms - self.clock
        for key in record_keys(request, request_class):
            self.persist(state, key, server)
        index, name = len(state.attempts) - 1, self.servers.names[server]
        self.effects.append(SendAttempt(request.request_id, index, name, time_left_ms, send_within_ms))

    def persist(self, state: TrackedRequest, key: str, server: int) -> None:
        """Record that a request may run on a server."""
        request_class, dispatcher = state.request_class, self.dispatcher
        is_keyed = request_class.idempotency is Idempotency.KEYED
        memory_ms = request_class.deduplication_window_ms if is_keyed else request_class.deadline_ms
        if is_correlation_key(key):
            memory_ms = max(memory_ms, MIN_CORRELATION_MEMORY_MS)
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
        """Stop waiting for an attempt; one that is not sent yet is cancelled regardless of `may_cancel`."""
        even_if_sent = self.dispatcher.settings.may_cancel
        self.effects.append(CancelAttempt(state.request.request_id, attempt_index, even_if_sent))

    def reject(self, state: TrackedRequest, retry_after_ms: float) -> None:
        """Reject a request; `retry_after_ms` is the delay advised for a retry, 0 for none."""
        self.effects.append(Reject(state.request.request_id, retry_after_ms))

    def fail(self, state: TrackedRequest) -> None:
        """Fail a request, or reject it if all attempts that may have run turn out never to have been sent."""
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
        """Request a load report from a server."""
        self.effects.append(Probe(self.servers.names[server]))

    def after(self, delay_ms: float, call: Callable[[], None]) -> int:
        """Call a function once, after a delay; return the timer's id."""
        self.timer_count += 1
        self.timers[self.timer_count] = call
        self.effects.append(SetTimer(self.timer_count, delay_ms))
        return self.timer_count

    def cancel_timer(self, timer_id: int) -> None:
        """Drop the call of a timer, if it has not been made; an adapter need not report that it fires."""
        self.timers.pop(timer_id, None)

    def never_ran(self, state: TrackedRequest, server: int, sent_ms: float) -> None:
        """Erase the records of an attempt that provably never ran, if there are any."""
        name = self.servers.names[server]
        for key in record_keys(state.request, state.request_class):
            if self.idempotency_records.never_ran(key, name, sent_ms):
                self.effects.append(ErasePersisted(key, name, sent_ms))

    def watch_endpoints(self) -> None:
        """Request the endpoint list and its changes from discovery."""
        self.effects.append(WatchEndpoints())

    def publish(self, message: bytes) -> None:
        """Publish a gossip message to all other nodes."""
        self.effects.append(Gossip(message))

    def log(self, text: str) -> None:
        """Write a log line for operators."""
        self.effects.append(Log(text))
