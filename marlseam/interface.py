"""What passes between the decision module and the node around it: settings, words, and the node's port.

Nothing is decided here. All times are milliseconds as floats on the node's clock; executors, project types,
kinds, zones and tenants are small dense indices given out at the node's door.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Protocol

URGENT_MS = 100.0  # stands for the promise of the most urgent project type where none promises anything


class Effect(Enum):
    """What a repeat of a work unit would do."""

    RERUNNABLE = "rerunnable"
    RECEIPTED = "receipted"
    EXCLUSIVE = "exclusive"


class Group(Enum):
    """Which executors drop the repeats of a receipted work unit."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an allocation ended."""

    COMPLETED = "completed"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    WITHDRAWN = "withdrawn"
    VOID = "void"
    DROPPED = "dropped"  # a kept connection ended before a byte of the answer: says nothing of the executor
    UNFIT = "unfit"  # turned away as nothing that an executor can use


class Decision(Enum):
    """What is decided of a work unit."""

    HOME = "home"
    ASK = "home asked"
    OTHERS = "others asked"
    PASSED = "passed on"
    KEPT = "kept at home"
    LINE = "line"
    DEFERRAL = "deferral"
    ABORT = "abort"


class Listing(Enum):
    """What a roster update is."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class State(Enum):
    """What the roster says of an executor."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class ProjectType:
    """What the settings say of one project type, as far as the module reads it."""

    promised_ms: float
    stretch: float
    limit_ms: float
    effect: Effect
    group: Group
    memory_ms: float
    kind: int
    credit: float = 1.0
    in_turn: bool = False  # work of one key runs one at a time, in the order taken


@dataclass(frozen=True)
class Settings:
    """What an instance is told when it starts."""

    types: tuple[ProjectType, ...]
    kinds: int
    zone: int
    nodes: int
    tick_ms: float
    max_allocs: int
    may_probe: bool
    may_cancel: bool
    second_copies: bool
    max_advice_ms: float
    asked_roster: bool
    must_ask_ms: float
    tells_start: bool
    progress_ms: float
    cold_share: float
    warm_ms: float
    fall_multiple: float
    fall_ms: float
    cross_price: float
    answers_report: bool = (
        False  # executors tell their load with answers: a probe brings the last report again
    )
    live_weights: bool = False  # the roster's weights move with load
    may_tell: bool = False  # nodes may send each other messages
    fetch_price: float = 0.0  # what it costs to fetch the thing that a work unit needs
    by_size: bool = False  # a work unit earns credit for its size
    share: float = 1.0  # of what the node may do that is this process's, where several serve as one node
    turn_gap_ms: float = 0.0  # how long a key rests after an allocation that may still be running
    drain_binds_alone: bool = False  # one that the list calls gone, or leaves out, may still be sent to
    renew_ms: float = 2000.0  # the longest time from one call for the roster to the next

    @property
    def urgent_ms(self) -> float:
        """Return the promised turnaround of the most urgent project type on offer; some promise none."""
        return min((t.promised_ms for t in self.types if 0.0 < t.promised_ms < inf), default=URGENT_MS)


@dataclass(frozen=True)
class Member:
    """One executor as the roster lists it."""

    executor: int
    state: State
    kind: int
    zone: int
    cell: int
    born_ms: float | None
    weight: float | None = None
    mark: int = 0  # the same at every node


@dataclass(frozen=True)
class Report:
    """An executor's own figures; None where the deployment does not tell one."""

    held: float | None = None
    queued: float | None = None
    free_slots: float | None = None


@dataclass(frozen=True)
class WorkUnit:
    """What is known of a work unit when it is taken."""

    ref: str
    type: int
    expires_ms: float
    slots: float = 1.0
    hint_ms: float | None = None
    receipt: str | None = None  # the key under which a repeat is known
    key: str | None = None  # the thing that it needs
    repeat: bool = False  # it may be a client's retry
    kept: bool = True  # that it may run can be put on record; where it needs that, else nothing goes out
    goes: bool = True  # anything of it may be sent: the node may act
    prior: tuple[
        tuple[int, float], ...
    ] = ()  # executors and times of what may have run under this key before


@dataclass(slots=True)
class Alloc:
    """One allocation of a work unit, from its sending until its outcome."""

    executor: int
    sent_ms: float
    sign_ms: float
    started_ms: float | None = None
    share: float = 0.0
    outcome: Outcome | None = None
    cancelled: bool = False
    planned_ms: float | None = None  # how long it should wait there, until that is known


class Handle(Protocol):
    """What taking a work unit gives: all that happens to it later is a call on this."""

    work: WorkUnit
    allocs: list[Alloc]
    done: bool
    unfit: bool

    def settled(self, alloc: int, outcome: Outcome, final: bool, report: Report | None) -> None: ...

    def started(self, alloc: int) -> None: ...

    def progress(self, alloc: int, share: float) -> None: ...

    def streaming(self, alloc: int) -> None: ...

    def left(self) -> None: ...


class Port(Protocol):
    """What the decision module may ask of the node that it lives in."""

    def now(self) -> float: ...

    def send(self, wu: Handle, executor: int, limit_ms: float) -> None: ...

    def cancel(self, wu: Handle, alloc: int) -> None: ...

    def defer(self, wu: Handle, advice_ms: float) -> None: ...

    def abort(self, wu: Handle) -> None: ...

    def probe(self, executor: int) -> None: ...

    def after(self, delay_ms: float, call: Callable[[], None]) -> None: ...

    def never_ran(self, wu: Handle, executor: int, sent_ms: float) -> None: ...

    def subscribe(self) -> None: ...

    def tell(self, message: bytes) -> None: ...

    def log(self, text: str) -> None: ...
