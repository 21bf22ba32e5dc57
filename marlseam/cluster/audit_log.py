"""What a node of a fleet writes down of itself, append-only and chained by digest; pure.

Each record is an entry behind the digest of the record before it, over all files, so that none can be left
out, changed or put in another's place unseen. An act (a taking, an attempt, an answer, a refusal) lies
in one interval of one life: from one `Acting` to the next. `Mark` counts acts by interval, as a whole: a
later one of the same interval stands for the earlier ones. What came after a killed life's last mark is not
known.
"""

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from marlseam.cluster.replication.paxos import NO_BALLOT, AcceptorState

CHAIN = 16  # bytes of a digest in the chain
START = b"\0" * CHAIN
ACTS = ("taken", "sent", "answered", "refused")


class FirstLifeBegun(msgspec.Struct, tag="begun", array_like=True, frozen=True):
    """A first life's memory: whatever is not in it has not happened (Unix ms)."""

    wall_ms: float


class FileOpened(msgspec.Struct, tag="opened", array_like=True, frozen=True):
    """A file begins, with this number in its file system."""

    inode: int


class BatchWritten(msgspec.Struct, tag="written", array_like=True, frozen=True):
    """What came together was written at this Unix time."""

    wall_ms: float


class ProcessStarted(msgspec.Struct, tag="life", array_like=True, frozen=True):
    """A process begins: its number, program, start of the machine, Unix time and its own clock, in ms.

    And for how long after a newer version was chosen it may act on an older one as proved; `beside` another
    process of the node, as in an upgrade.
    """

    life: int
    program: str
    boot: str
    wall_ms: float
    mono_ms: float
    lease_ms: float
    beside: bool = False
    zero_ms: float = 0.0  # its Unix time at that start: it makes times of one machine comparable


class IntervalBegun(msgspec.Struct, tag="acting", array_like=True, frozen=True):
    """From here on acts stand on this: an interval begins.

    `number` and `id` of the fleet's version, `meaning` of the settings in force (another than the version's
    where a file of the node's own was let in), the roster's list, whether the version is proved to be in
    force, whether the node is in service, and why it is not or what else is amiss.
    """

    life: int
    interval: int
    program: str
    number: int
    id: str
    meaning: str
    listed: int
    proved: bool
    serving: bool
    code: str
    wall_ms: float
    mono_ms: float


class ActionCounts(msgspec.Struct, tag="mark", array_like=True, frozen=True):
    """Acts so far of some intervals: (interval, taken, sent, answered, refused)."""

    life: int
    rows: list[tuple[int, int, int, int, int]]
    wall_ms: float
    mono_ms: float


class ProcessEnded(msgspec.Struct, tag="ended", array_like=True, frozen=True):
    """A life ended by itself: its marks are whole."""

    life: int
    wall_ms: float
    mono_ms: float


class AcceptorPromise(msgspec.Struct, tag="promised", array_like=True, frozen=True):
    """What was promised, and accepted, for a number."""

    number: int
    round: int
    place: str
    accepted_round: int
    accepted_place: str
    value: str


class ContentStored(msgspec.Struct, tag="stored", array_like=True, frozen=True):
    """A content."""

    id: str
    data: bytes


class VersionHeld(msgspec.Struct, tag="held", array_like=True, frozen=True):
    """A number and its content are held (Unix ms, 0 where not told)."""

    number: int
    id: str
    wall_ms: float = 0.0


class VotesBarred(msgspec.Struct, tag="barred", array_like=True, frozen=True):
    """No vote on numbers up to this: memory of them was lost. -1: it is not known up to which."""

    number: int


class OperatorOverride(msgspec.Struct, tag="handed", array_like=True, frozen=True):
    """An operator shut the node out or brought it back."""

    out: bool
    why: str
    wall_ms: float


LogRecord = (
    FirstLifeBegun
    | FileOpened
    | BatchWritten
    | ProcessStarted
    | IntervalBegun
    | ActionCounts
    | ProcessEnded
    | AcceptorPromise
    | ContentStored
    | VersionHeld
    | VotesBarred
    | OperatorOverride
)
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(LogRecord)
encode = ENCODER.encode


def linked(before: bytes, entry: bytes) -> tuple[bytes, bytes]:
    """Return an entry's record behind the digest of the one before, and its own digest."""
    record = before + entry
    return record, hashlib.sha256(record).digest()[:CHAIN]


def unlinked(record: bytes) -> tuple[bytes, LogRecord]:
    """Return the digest that a record stands behind, and its entry; raises ValueError."""
    if len(record) <= CHAIN:
        raise ValueError("too short")
    try:
        return record[:CHAIN], DECODER.decode(record[CHAIN:])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from None


@dataclass
class RecoveredLog:
    """What entries add up to: what a node begins with."""

    held: VersionHeld | None = None
    contents: dict[str, bytes] = field(default_factory=dict)
    promises: dict[int, AcceptorState] = field(default_factory=dict)
    bar: int | None = 0  # None: it is not known on which numbers it may not vote
    hand: str | None = None
    handed_ms: float = 0.0
    life: ProcessStarted | None = None
    acting: IntervalBegun | None = None
    ended: bool = True
    begun: bool = False
    wall_ms: float = 0.0  # when the last entry that tells it was written

    def take(self, entry: LogRecord) -> None:
        """Take in an entry."""
        match entry:
            case FirstLifeBegun():
                self.begun = True
            case ProcessStarted():
                self.life, self.acting, self.ended = entry, None, False
            case IntervalBegun():
                self.acting = entry
            case ProcessEnded():
                self.ended = True
            case AcceptorPromise():
                accepted = (entry.accepted_round, entry.accepted_place) if entry.value else NO_BALLOT
                self.promises[entry.number] = AcceptorState((entry.round, entry.place), accepted, entry.value)
            case ContentStored():
                self.contents[entry.id] = entry.data
            case VersionHeld():
                if self.held is None or entry.number > self.held.number:
                    self.held = entry
            case VotesBarred():
                self.bar = None if entry.number < 0 else entry.number
            case OperatorOverride():
                self.hand, self.handed_ms = entry.why if entry.out else None, entry.wall_ms
        self.wall_ms = getattr(entry, "wall_ms", 0.0) or self.wall_ms
        self.prune()

    def prune(self) -> None:
        """Let go of what nothing needs any more."""
        least = self.held.number if self.held is not None else 0
        for number in [n for n in self.promises if n <= least]:
            del self.promises[number]
        if len(self.contents) > len(self.promises) + 2:
            wanted = {p.value for p in self.promises.values()} | {self.held.id if self.held else ""}
            last = next(reversed(self.contents))
            self.contents = {id: d for id, d in self.contents.items() if id in wanted or id == last}

    def entries(self) -> Iterator[LogRecord]:
        """Yield entries that add up to this: what a new file begins with."""
        if self.begun:
            yield FirstLifeBegun(self.wall_ms)
        for id, data in self.contents.items():
            yield ContentStored(id, data)
        if self.held is not None:
            yield self.held
        for number, p in self.promises.items():
            yield AcceptorPromise(number, *p.ballot, *p.accepted, p.value)
        yield VotesBarred(-1 if self.bar is None else self.bar)
        if self.handed_ms:
            # Also that it was brought back: an older word in the ledger beside this one is not the last.
            yield OperatorOverride(self.hand is not None, self.hand or "", self.handed_ms)
        if self.life is not None and not self.ended:
            yield self.life
            if self.acting is not None:
                yield self.acting


def added_up(entries: Iterable[LogRecord]) -> RecoveredLog:
    """Return what entries add up to."""
    kept = RecoveredLog()
    for entry in entries:
        kept.take(entry)
    return kept
