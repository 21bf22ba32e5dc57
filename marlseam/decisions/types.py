"""What passes between the decision module and the node around it: settings, words, and the node's port.

Nothing is decided here. All times are milliseconds as floats on the node's clock; servers, request classes,
kinds, zones and tenants are small dense indices given out at the node's door.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Protocol

URGENT_MS = 100.0  # stands for the promise of the most urgent request class where none promises anything


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
    STALE_CONNECTION = (
        "dropped"  # a kept connection ended before a byte of the answer: says nothing of the server
    )
    INVALID_REQUEST = "unfit"  # turned away as nothing that a server can use


class Decision(Enum):
    """What is decided of a request."""

    HOME = "home"
    PROBE_HOME = "home asked"
    PROBE_OTHERS = "others asked"
    FORWARDED = "passed on"
    KEPT_AT_HOME = "kept at home"
    QUEUED = "line"
    REJECTED = "deferral"
    FAILED = "abort"


class ListUpdateKind(Enum):
    """What an endpoint list update is."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class EndpointState(Enum):
    """What discovery says of a server."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class RequestClass:
    """What the settings say of one request class, as far as the module reads it."""

    latency_objective_ms: float
    objective_run_factor: float
    deadline_ms: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ms: float
    kind: int
    priority_weight: float = 1.0
    ordered_by_key: bool = False  # work of one key runs one at a time, in the order taken


@dataclass(frozen=True)
class Settings:
    """What an instance is told when it starts."""

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
    reports_in_responses: bool = (
        False  # servers tell their load with answers: a probe brings the last report again
    )
    live_weights: bool = False  # discovery's weights move with load
    may_gossip: bool = False  # nodes may send each other messages
    fetch_cost: float = 0.0  # what it costs to fetch the thing that a request needs
    weight_by_size: bool = False  # a request earns credit for its size
    process_share: float = (
        1.0  # of what the node may do that is this process's, where several serve as one node
    )
    key_gap_ms: float = 0.0  # how long a key rests after an attempt that may still be running
    only_draining_excludes: bool = False  # one that the list calls gone, or leaves out, may still be sent to
    max_poll_interval_ms: float = 2000.0  # the longest time from one call for discovery to the next

    @property
    def shortest_objective_ms(self) -> float:
        """Return the latency objective of the most urgent request class on offer; some promise none."""
        return min(
            (t.latency_objective_ms for t in self.request_classes if 0.0 < t.latency_objective_ms < inf),
            default=URGENT_MS,
        )


@dataclass(frozen=True)
class Endpoint:
    """One server as discovery lists it."""

    server: int
    state: EndpointState
    kind: int
    zone: int
    cell: int
    process_started_ms: float | None
    weight: float | None = None
    name_hash: int = 0  # the same at every node


@dataclass(frozen=True)
class LoadReport:
    """A server's own figures; None where the deployment does not tell one."""

    held: float | None = None
    queued: float | None = None
    free_slots: float | None = None


@dataclass(frozen=True)
class Request:
    """What is known of a request when it is taken."""

    request_id: str
    class_index: int
    deadline_at_ms: float
    slots: float = 1.0
    run_hint_ms: float | None = None
    idempotency_key: str | None = None  # the key under which a repeat is known
    resource_key: str | None = None  # the thing that it needs
    may_be_retry: bool = False  # it may be a client's retry
    is_recordable: bool = (
        True  # that it may run can be put on record; where it needs that, else nothing goes out
    )
    is_sendable: bool = True  # anything of it may be sent: the node may act
    prior_attempts: tuple[
        tuple[int, float], ...
    ] = ()  # servers and times of what may have run under this key before


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, from its sending until its outcome."""

    server: int
    sent_ms: float
    last_response_ms: float
    started_ms: float | None = None
    progress: float = 0.0
    outcome: Outcome | None = None
    cancelled: bool = False
    expected_wait_ms: float | None = None  # how long it should wait there, until that is known


class TrackedRequest(Protocol):
    """What accepting a request gives: all that happens to it later is a call on this."""

    request: Request
    request_class: RequestClass
    attempts: list[Attempt]
    is_answered: bool
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
        """Take in how an attempt ended; `final` where its result is the request's final answer."""
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

    def send(self, state: TrackedRequest, server: int, deadline_ms: float) -> None:
        """Send a request's last attempt, which has so much time left."""
        ...

    def cancel(self, state: TrackedRequest, attempt_index: int) -> None:
        """Stop waiting for an attempt."""
        ...

    def defer(self, state: TrackedRequest, retry_after_ms: float) -> None:
        """Reject a request, with advice on when to come back; 0 for none."""
        ...

    def abort(self, state: TrackedRequest) -> None:
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

    def subscribe(self) -> None:
        """Ask discovery for its list and its changes."""
        ...

    def tell(self, message: bytes) -> None:
        """Publish a gossip message to all other nodes."""
        ...

    def log(self, text: str) -> None:
        """Write a line for operators."""
        ...
