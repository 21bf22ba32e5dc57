"""What passes between the decision module and the node around it: settings, requests, reports, and the port.

Nothing is decided here. All times are milliseconds as floats on the node's clock; servers, request classes,
kinds and zones are small dense indices given out by the node. Values of enums appear in stored records and
in operators' tools, so they stay.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Protocol

DEFAULT_OBJECTIVE_MS = 100.0  # the shortest latency objective where no request class has one


class Idempotency(Enum):
    """What a repeat of a request would do."""

    SAFE = "rerunnable"
    KEYED = "receipted"
    UNSAFE = "exclusive"


class DeduplicationScope(Enum):
    """Which servers drop the repeats of a keyed request."""

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
    INVALID_REQUEST = "unfit"  # the server turned it away as a request that no server can use


class Decision(Enum):
    """What is decided of a request; `FORWARDED` and `PLACED_AT_HOME` after others were probed."""

    HOME = "home"
    PROBE_HOME = "home asked"
    PROBE_OTHERS = "others asked"
    FORWARDED = "passed on"
    PLACED_AT_HOME = "kept at home"
    QUEUED = "line"
    REJECTED = "deferral"
    FAILED = "abort"


class ListUpdateKind(Enum):
    """Whether an update has changes, all of the list, a list cached before the node started, or none."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class EndpointState(Enum):
    """What the endpoint list says of a server."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class RequestClass:
    """What the settings say of one request class.

    Attributes:
        latency_objective_ms: from arrival to the start of a run, beside what `objective_run_factor` adds.
        objective_run_factor: how many mean runs the objective allows the run itself.
        deadline_ms: from arrival to the final answer; inf for none.
        idempotency: what a repeat of a request does.
        deduplication_scope: which servers drop the repeats of a keyed request.
        deduplication_window_ms: how long they do so, from the first attempt.
        kind: the kind of server that it needs; -1 for any.
        priority_weight: what a request is worth beside those of other classes.
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
    """The settings of a node, as far as decisions read them.

    Attributes:
        request_classes: by index.
        kind_count: how many kinds of servers there are.
        zone: the node's own zone.
        node_count: how many nodes share the servers.
        tick_ms: the resolution of the node's timers.
        max_attempts: the most attempts of one request.
        may_probe, may_cancel, may_hedge: whether probes, cancels of what was sent, and hedged requests are
            allowed.
        max_retry_after_ms: the longest advice for a client's retry.
        subscribes_to_endpoints: whether discovery must be asked for the endpoint list.
        list_max_age_ms: the age from which an endpoint list counts as old.
        reports_start: whether servers report when an attempt starts.
        progress_period_ms: how often servers report progress; 0 for never.
        slow_start_initial_share, slow_start_ms: the share of its capacity that a server may get when its
            process has just started, and how long it takes to grow to all of it.
        overload_multiple, overload_window_ms: how many times its capacity in a window overloads a server.
        cross_zone_cost: the cost of sending a request to another zone.
        reports_in_responses: whether servers report load with responses; a probe then brings the last one.
        live_weights: whether the weights of the endpoint list move with load.
        may_gossip: whether nodes may send each other messages.
        fetch_cost: what it costs to fetch the resource of a resource key.
        weight_by_size: whether a request's priority weight is for each part of its size.
        process_share: this process's share of what the node may do, where several serve as one node.
        key_gap_ms: how long a key pauses after an attempt that may still be running.
        only_draining_excludes: whether a server that the list calls gone, or leaves out, may still be used.
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
        """Return the latency objective of the most urgent request class that has one."""
        objectives_ms = [each.latency_objective_ms for each in self.request_classes]
        return min((each for each in objectives_ms if 0.0 < each < inf), default=DEFAULT_OBJECTIVE_MS)


@dataclass(frozen=True)
class Endpoint:
    """One server as the endpoint list has it, under its dense index.

    Attributes:
        server: its index.
        state: whether it is ready, draining or gone.
        kind, zone, cell: indices; -1 where the list does not say.
        process_started_ms: when its process started; None where the list does not say.
        weight: its weight; None where the list has none.
        name_hash: a hash of its name, the same at every node.
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
    """A server's own figures; None where the deployment's servers do not report one.

    Attributes:
        held: requests that run there or wait.
        queued: requests that wait.
        free_slots: slots without a request.
    """

    held: float | None = None
    queued: float | None = None
    free_slots: float | None = None


@dataclass(frozen=True)
class Request:
    """What is known of a request when it arrives.

    Attributes:
        request_id: its id on this node.
        class_index: its request class.
        deadline_at_ms: by when it must have its final answer.
        slots: how many slots it takes on a server.
        run_hint_ms: how long the client says that it runs; None where it does not say.
        idempotency_key: the key under which a repeat is known; None for none.
        resource_key: what it needs or changes; None for none.
        may_be_retry: whether it may be a client's retry.
        is_recordable: whether it can be put on record that it may run; False also where it may not be
            sent. Where a record is needed and cannot be made, nothing of the request is sent.
        is_sendable: whether anything of it may be sent: the node may act.
        prior_attempts: servers, and times of sending, of what may have run under its key before.
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


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, from its sending until its outcome.

    Attributes:
        server: where it was sent.
        sent_ms, last_response_ms, started_ms: when it was sent; heard of last; when it started to run, None
            before that.
        progress: the share of its work that is done, from 0 to 1.
        outcome: how it ended; None while it is in flight.
        cancelled: whether it is being cancelled.
        expected_wait_ms: how long it was expected to wait at the server; None once that was compared.
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
    """What accepting a request gives: all that happens to it later is a call on this."""

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
        """Return whether a server may get this request at all."""
        ...

    def retry(self) -> None:
        """Wait for a further attempt, or answer."""
        ...

    def attempt_ended(
        self, attempt_index: int, outcome: Outcome, final: bool, report: LoadReport | None
    ) -> None:
        """Take in how an attempt ended; `final` where the request needs no other one."""
        ...

    def started(self, attempt_index: int) -> None:
        """Note that an attempt began to run."""
        ...

    def progress(self, attempt_index: int, share: float) -> None:
        """Note that an attempt has done a share of its work."""
        ...

    def streaming(self, attempt_index: int) -> None:
        """Note that the response is on its way to the client."""
        ...

    def close(self) -> None:
        """Cancel what is in flight of a request that needs no answer any more."""
        ...


class Port(Protocol):
    """What the decision module may ask of the node that it lives in. Times are milliseconds."""

    def now(self) -> float:
        """Return the time on the node's clock."""
        ...

    def send(self, state: TrackedRequest, server: int, time_left_ms: float) -> None:
        """Send a request's last attempt, which has so much time left."""
        ...

    def cancel(self, state: TrackedRequest, attempt_index: int) -> None:
        """Stop waiting for an attempt."""
        ...

    def reject(self, state: TrackedRequest, retry_after_ms: float) -> None:
        """Reject a request, with advice on when to come back; 0 for none."""
        ...

    def fail(self, state: TrackedRequest) -> None:
        """Fail a request."""
        ...

    def probe(self, server: int) -> None:
        """Ask a server for its load report."""
        ...

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Call back once a delay has passed."""
        ...

    def never_ran(self, state: TrackedRequest, server: int, sent_ms: float) -> None:
        """Note that an attempt provably never ran."""
        ...

    def watch_endpoints(self) -> None:
        """Ask discovery for its list and its changes."""
        ...

    def publish(self, message: bytes) -> None:
        """Publish a gossip message to all other nodes."""
        ...

    def log(self, text: str) -> None:
        """Write a line for operators."""
        ...
