"""Types of the interface between the decision modules and the node: settings, requests, reports, the port.

This module makes no decisions. All times are float milliseconds on the node's clock. Servers, request
classes, kinds and zones are small dense indices assigned by the node. Enum values appear in stored records
and in operators' tools and must not change.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Protocol

DEFAULT_OBJECTIVE_MS = 100.0  # assumed shortest latency objective where no request class has one


class Idempotency(Enum):
    """Whether repeating a request has a second effect.

    Attributes:
        SAFE: a repeat does no harm.
        KEYED: servers drop repeats under the same idempotency key.
        UNSAFE: a repeat may have a second effect, so the request must not be repeated once it may have run.
    """

    SAFE = "rerunnable"
    KEYED = "receipted"
    UNSAFE = "exclusive"


class DeduplicationScope(Enum):
    """Which servers drop repeats of a keyed request: all, or those in the first attempt's zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended."""

    COMPLETED = "completed"
    ERROR = "error"
    AT_CAPACITY = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "withdrawn"
    CANCELLED_UNSENT = "void"
    STALE_CONNECTION = "dropped"  # a reused connection ended before a byte of the response
    INVALID_REQUEST = "unfit"  # the server rejected the request as one that no server can process


class Decision(Enum):
    """The decision on a request; `FORWARDED` and `PLACED_AT_HOME` follow probes of other servers."""

    HOME = "home"
    PROBE_HOME = "home asked"
    PROBE_OTHERS = "others asked"
    FORWARDED = "passed on"
    PLACED_AT_HOME = "kept at home"
    QUEUED = "line"
    REJECTED = "deferral"
    FAILED = "abort"


class ListUpdateKind(Enum):
    """The content of an update of the endpoint list.

    Attributes:
        DELTA: changed entries.
        FULL: all entries.
        CACHED: all entries of a list that was cached before the node started.
        FAILED: no entries, as the list could not be obtained.
    """

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class EndpointState(Enum):
    """The state of a server by the endpoint list."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class RequestClass:
    """The settings of one request class.

    Attributes:
        latency_objective_ms: longest time from arrival to the start of a run, without the part that
            `objective_run_factor` adds.
        objective_run_factor: how many mean runs the latency objective allows for the run itself.
        deadline_ms: time from arrival to the final answer; inf for none.
        idempotency: the effect of repeating a request.
        deduplication_scope: which servers drop repeats of a keyed request.
        deduplication_window_ms: how long servers drop repeats, from the first attempt.
        kind: the kind of server that requests need; -1 for any.
        priority_weight: the weight of a request relative to those of other classes.
        ordered_by_key: whether requests of one resource key run one at a time, in the order of arrival.
    """

    latency_objective_ms: float
    objective_run_factor: float
    deadline_ms: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ms: float
    kind: int
    priority_weight: float = 1.0
    ordered_by_key: bool = False


@dataclass(frozen=True)
class Settings:
    """The settings of a node that the decision modules read.

    Attributes:
        request_classes: the request classes by index.
        kind_count: how many kinds of servers there are.
        zone: the node's own zone.
        node_count: how many nodes share the servers.
        tick_ms: the resolution of the node's timers.
        max_attempts: the most attempts of one request.
        may_probe: whether servers may be probed.
        may_cancel: whether attempts that were sent may be cancelled.
        may_hedge: whether a second attempt may be made beside one in flight.
        max_retry_after_ms: the longest delay advised for a client's retry.
        subscribes_to_endpoints: whether the endpoint list must be requested from discovery.
        list_max_age_ms: the age from which an endpoint list counts as old.
        reports_start: whether servers report when an attempt starts.
        progress_period_ms: time between a server's reports of progress; 0 if servers report none.
        slow_start_initial_share: the share of its capacity that a server may be sent when its process has
            just started.
        slow_start_ms: how long that share takes to grow to 1.
        overload_multiple: how many times a server's capacity, sent within `overload_window_ms`, overloads it.
        overload_window_ms: the length of the window of `overload_multiple`.
        cross_zone_cost: the cost of sending a request to another zone.
        reports_in_responses: whether servers report load in responses; a probe then gets the last report.
        live_weights: whether the weights of the endpoint list vary with load.
        may_gossip: whether nodes may send each other messages.
        fetch_cost: the cost of fetching the resource of a resource key.
        weight_by_size: whether a request's priority weight counts for each unit of its size.
        process_share: this process's share of the node's limits, where several processes serve as one node.
        key_gap_ms: how long a key pauses after an attempt that may still be running.
        only_draining_excludes: whether a server that is listed as gone, or not listed, may still be used.
        max_poll_interval_ms: the longest time from one poll of discovery to the next.
    """

    request_classes: tuple[RequestClass, ...]
    kind_count: int
    zone: int
    node_count: int
    tick_ms: float
    max_attempts: int
    may_probe: bool
    may_cancel: bool
    may_hedge: bool
    max_retry_after_ms: float
    subscribes_to_endpoints: bool
    list_max_age_ms: float
    reports_start: bool
    progress_period_ms: float
    slow_start_initial_share: float
    slow_start_ms: float
    overload_multiple: float
    overload_window_ms: float
    cross_zone_cost: float
    reports_in_responses: bool = False
    live_weights: bool = False
    may_gossip: bool = False
    fetch_cost: float = 0.0
    weight_by_size: bool = False
    process_share: float = 1.0
    key_gap_ms: float = 0.0
    only_draining_excludes: bool = False
    max_poll_interval_ms: float = 2000.0

    @property
    def shortest_objective_ms(self) -> float:
        """Return the shortest positive, finite latency objective (ms) of any request class, or a default."""
        objectives_ms = [each.latency_objective_ms for each in self.request_classes]
        return min((each for each in objectives_ms if 0.0 < each < inf), default=DEFAULT_OBJECTIVE_MS)


@dataclass(frozen=True)
class Endpoint:
    """One entry of the endpoint list, with the dense index of its server.

    Attributes:
        server: the index of the server.
        state: whether the server is ready, draining or gone.
        kind, zone, cell: indices; -1 where the list has none.
        process_started_ms: when the server's process started; None where the list has no start time.
        weight: the server's weight; None where the list has none.
        name_hash: a hash of the server's name, the same at every node.
    """

    server: int
    state: EndpointState
    kind: int
    zone: int
    cell: int
    process_started_ms: float | None
    weight: float | None = None
    name_hash: int = 0


@dataclass(frozen=True)
class LoadReport:
    """A server's report of its load; None for figures that the deployment's servers do not report.

    Attributes:
        held: requests that run or wait at the server.
        queued: requests that wait at the server.
        free_slots: slots without a request.
    """

    held: float | None = None
    queued: float | None = None
    free_slots: float | None = None


@dataclass(frozen=True)
class Request:
    """A request as it arrives.

    Attributes:
        request_id: the id of the request on this node.
        class_index: the index of the request class.
        deadline_at_ms: the time by which the request must have its final answer.
        slots: how many slots the request takes on a server.
        run_hint_ms: the run time that the client states; None for none.
        idempotency_key: the key by which servers recognise a repeat; None for none.
        correlation_id: the id that the client gave an unsafe request, which is sent once under it; None where
            the request may be repeated or its client gave none.
        resource_key: the key of the resource that the request needs or changes; None for none.
        may_be_retry: whether the request may be a client's retry.
        is_recordable: whether the record that the request may run can be made durable; False also where the
            request may not be sent. If a record is needed and cannot be made, no attempt is sent.
        is_sendable: whether attempts may be sent, as the node may act.
        prior_attempts: pairs of server and sending time of earlier attempts under the same idempotency key
            or correlation id that may have run.
    """

    request_id: str
    class_index: int
    deadline_at_ms: float
    slots: float = 1.0
    run_hint_ms: float | None = None
    idempotency_key: str | None = None
    resource_key: str | None = None
    may_be_retry: bool = False
    is_recordable: bool = True
    is_sendable: bool = True
    prior_attempts: tuple[tuple[int, float], ...] = ()
    correlation_id: str | None = None


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, from its sending until its outcome.

    Attributes:
        server: the index of the server.
        sent_ms: when the attempt was sent.
        last_response_ms: when the server last reported a start or progress; before that, `sent_ms`.
        started_ms: when the attempt started to run; None before that.
        progress: the share of its work that is done, from 0 to 1.
        outcome: how the attempt ended; None while it is in flight.
        cancelled: whether the attempt is being cancelled.
        expected_wait_ms: how long it was expected to wait at the server; None if unknown, or once compared
            with the actual wait.
    """

    server: int
    sent_ms: float
    last_response_ms: float
    started_ms: float | None = None
    progress: float = 0.0
    outcome: Outcome | None = None
    cancelled: bool = False
    expected_wait_ms: float | None = None


class TrackedRequest(Protocol):
    """The state of an accepted request, whose methods are called for everything that happens to it later."""

    request: Request
    request_class: RequestClass
    attempts: list[Attempt]
    is_closed: bool
    is_queued: bool
    is_invalid: bool

    def in_flight_count(self) -> int:
        """Return how many attempts have not ended."""
        ...

    def attempts_that_may_have_run(self) -> list[Attempt]:
        """Return the attempts that may have had an effect, in the order sent."""
        ...

    def is_eligible(self, server: int) -> bool:
        """Return whether this request may be sent to a server at all."""
        ...

    def retry(self) -> None:
        """Queue the request for another attempt; end it at once if none is allowed and none is in flight."""
        ...

    def attempt_ended(
        self, attempt_index: int, outcome: Outcome, final: bool, report: LoadReport | None
    ) -> None:
        """Apply the outcome of an attempt; `final` means that the request needs no further attempt."""
        ...

    def started(self, attempt_index: int) -> None:
        """Record that an attempt has started to run."""
        ...

    def progress(self, attempt_index: int, share: float) -> None:
        """Record the share, from 0 to 1, of its work that an attempt has done."""
        ...

    def streaming(self, attempt_index: int) -> None:
        """Record that the response is being sent to the client, which is the final answer."""
        ...

    def close(self) -> None:
        """Cancel the attempts in flight of a request that no longer needs an answer."""
        ...


class Port(Protocol):
    """The node's operations that the decision modules may call. Times are milliseconds."""

    def now(self) -> float:
        """Return the time on the node's clock."""
        ...

    def send(self, state: TrackedRequest, server: int, time_left_ms: float) -> None:
        """Send the last attempt of a request to a server; `time_left_ms` is the time to the deadline."""
        ...

    def cancel(self, state: TrackedRequest, attempt_index: int) -> None:
        """Stop waiting for an attempt."""
        ...

    def reject(self, state: TrackedRequest, retry_after_ms: float) -> None:
        """Reject a request; `retry_after_ms` is the delay advised for a retry, 0 for none."""
        ...

    def fail(self, state: TrackedRequest) -> None:
        """Answer a request with a failure, where a rejection would not be safe."""
        ...

    def probe(self, server: int) -> None:
        """Request a load report from a server."""
        ...

    def after(self, delay_ms: float, call: Callable[[], None]) -> int:
        """Call a function once, after a delay; return the timer's id."""
        ...

    def cancel_timer(self, timer_id: int) -> None:
        """Drop the call of a timer, if it has not been made."""
        ...

    def never_ran(self, state: TrackedRequest, server: int, sent_ms: float) -> None:
        """Record that the attempt sent to a server at `sent_ms` provably never ran."""
        ...

    def watch_endpoints(self) -> None:
        """Request the endpoint list and its changes from discovery."""
        ...

    def publish(self, message: bytes) -> None:
        """Publish a gossip message to all other nodes."""
        ...

    def log(self, text: str) -> None:
        """Write a log line for operators."""
        ...
