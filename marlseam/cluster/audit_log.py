"""What a node writes down of itself in its ledger, append-only and chained by digest; pure.

Each record stands behind the digest of the record before it, over all files, so that none can be left out,
changed or put in another's place unseen. An action (a request accepted, an attempt sent, a response, a
rejection) lies in one interval of one process: from one `IntervalBegun` to the next. `ActionCounts` counts
actions by interval, as a whole: later counts of an interval replace earlier ones. What came after the last
counts of a process that was killed is not known.

Times in `wall_ms` are Unix ms, those in `mono_ms` are ms of the process's own clock.
"""

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from marlseam.cluster.replication.paxos import NO_BALLOT, AcceptorState

DIGEST_BYTES = 16  # of a digest in the chain
START = b"\0" * DIGEST_BYTES  # what the first record stands behind
ACTS = ("taken", "sent", "answered", "refused")  # what is counted, as operators read it


class LedgerBegun(msgspec.Struct, tag="begun", array_like=True, frozen=True):
    """A node's first ledger: whatever is not in it has not happened."""

    wall_ms: float


class FileOpened(msgspec.Struct, tag="opened", array_like=True, frozen=True):
    """A file begins, with this number in its file system: a copy of it has another."""

    inode: int


class BatchWritten(msgspec.Struct, tag="written", array_like=True, frozen=True):
    """The records up to here were written together."""

    wall_ms: float


class ProcessStarted(msgspec.Struct, tag="life", array_like=True, frozen=True):
    """A process begins.

    Attributes:
        generation: its own among the node's processes, as in membership.
        program: the program's version.
        boot: the start of the machine that it runs on.
        lease_ms: for how long after a newer version was chosen it may act on an older one as proven.
        beside: whether another process of the node may go on, as in an upgrade.
        zero_ms: the Unix time of the machine's start: it makes times of one machine comparable.

    """

    generation: int
    program: str
    boot: str
    wall_ms: float
    mono_ms: float
    lease_ms: float
    beside: bool = False
    zero_ms: float = 0.0


class IntervalBegun(msgspec.Struct, tag="acting", array_like=True, frozen=True):
    """An interval begins: from here on actions stand on this.

    Attributes:
        process_number, program: as of `ProcessStarted`.
        interval: its number in the process, from 1 on.
        number, id: the version acted on, and its content's id ("" where a later one is held).
        settings_digest: of the settings in force, another than the version's where a file of the node's own
            was let in.
        endpoint_list_version: the version of the endpoint list.
        proved: whether the version is proven to be in force.
        serving, code: whether the node serves, and what is wrong.

    """

    generation: int
    interval: int
    program: str
    number: int
    id: str
    settings_digest: str
    endpoint_list_version: int
    proved: bool
    serving: bool
    code: str
    wall_ms: float
    mono_ms: float


class ActionCounts(msgspec.Struct, tag="mark", array_like=True, frozen=True):
    """Counts of some intervals so far: (interval, taken, sent, answered, refused)."""

    generation: int
    rows: list[tuple[int, int, int, int, int]]
    wall_ms: float
    mono_ms: float


class ProcessEnded(msgspec.Struct, tag="ended", array_like=True, frozen=True):
    """A process ended by itself: its counts are complete."""

    generation: int
    wall_ms: float
    mono_ms: float


class AcceptorPromise(msgspec.Struct, tag="promised", array_like=True, frozen=True):
    """The acceptor's state for a number; `value` is "" where nothing was accepted."""

    number: int
    round: int
    place: str
    accepted_round: int
    accepted_place: str
    value: str


class ContentStored(msgspec.Struct, tag="stored", array_like=True, frozen=True):
    """A content's bytes, by its id."""

    id: str
    data: bytes


class VersionHeld(msgspec.Struct, tag="held", array_like=True, frozen=True):
    """A version and its content are held; `wall_ms` is 0 where not told."""

    number: int
    id: str
    wall_ms: float = 0.0


class VotesExcluded(msgspec.Struct, tag="barred", array_like=True, frozen=True):
    """No vote on numbers up to this, as memory of them was lost; -1 where it is not known up to which."""

    number: int


class OperatorOverride(msgspec.Struct, tag="handed", array_like=True, frozen=True):
    """An operator shut the node out of service, or brought it back."""

    out: bool
    why: str
    wall_ms: float


LogRecord = (
    LedgerBegun
    | FileOpened
    | BatchWritten
    | ProcessStarted
    | IntervalBegun
    | ActionCounts
    | ProcessEnded
    | AcceptorPromise
    | ContentStored
    | VersionHeld
    | VotesExcluded
    | OperatorOverride
)
ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[LogRecord] = msgspec.msgpack.Decoder(LogRecord)
encode = ENCODER.encode


class InvalidRecordError(ValueError):
    """Bytes that are no record; the text says why."""


class ChainedRecord(NamedTuple):
    """A record's bytes behind the digest of the one before, and its own digest."""

    data: bytes
    digest: bytes


class ParsedRecord(NamedTuple):
    """The digest that a record stands behind, and the record."""

    before: bytes
    record: LogRecord


def chain_record(before: bytes, encoded: bytes) -> ChainedRecord:
    """Return an encoded record behind the digest of the one before."""
    data = before + encoded
    return ChainedRecord(data, hashlib.sha256(data).digest()[:DIGEST_BYTES])


def parse_record(data: bytes) -> ParsedRecord:
    """Return a chained record; raises InvalidRecordError."""
    if len(data) <= DIGEST_BYTES:
        raise InvalidRecordError("too short")
    try:
        return ParsedRecord(data[:DIGEST_BYTES], DECODER.decode(data[DIGEST_BYTES:]))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRecordError(str(error)) from None


@dataclass
class RecoveredLog:
    """What a ledger's records add up to: what a node begins with.

    Attributes:
        held: the version held.
        contents: the bytes of contents, by id.
        promises: the acceptor's state, by version number.
        votes_excluded_up_to: votes on no number up to it; None: on none until it is known.
        operator_override: why an operator shut the node out; None where none did.
        override_ms: when an operator last shut it out or brought it back, 0 for never.
        process: the last process.
        interval: its last interval.
        ended: whether the last process ended by itself, or there was none.
        begun: whether the ledger goes back to the node's first.
        wall_ms: when the last record that tells it was written.

    """

    held: VersionHeld | None = None
    contents: dict[str, bytes] = field(default_factory=dict)
    promises: dict[int, AcceptorState] = field(default_factory=dict)
    votes_excluded_up_to: int | None = 0
    operator_override: str | None = None
    override_ms: float = 0.0
    process: ProcessStarted | None = None
    interval: IntervalBegun | None = None
    ended: bool = True
    begun: bool = False
    wall_ms: float = 0.0

    def apply(self, record: LogRecord) -> None:
        """Take in the next record."""
        match record:
            case LedgerBegun():
                self.begun = True
            case ProcessStarted():
                self.process, self.interval, self.ended = record, None, False
            case IntervalBegun():
                self.interval = record
            case ProcessEnded():
                self.ended = True
            case _:
                self.apply_vote_record(record)
        self.wall_ms = getattr(record, "wall_ms", 0.0) or self.wall_ms
        self.prune()

    def apply_vote_record(self, record: LogRecord) -> None:
        """Take in a record of what the node holds and voted, or of an operator's override."""
        match record:
            case AcceptorPromise():
                accepted = (record.accepted_round, record.accepted_place) if record.value else NO_BALLOT
                ballot = record.round, record.place
                self.promises[record.number] = AcceptorState(ballot, accepted, record.value)
            case ContentStored():
                self.contents[record.id] = record.data
            case VersionHeld():
                if self.held is None or record.number > self.held.number:
                    self.held = record
            case VotesExcluded():
                self.votes_excluded_up_to = None if record.number < 0 else record.number
            case OperatorOverride():
                self.operator_override = record.why if record.out else None
                self.override_ms = record.wall_ms

    def prune(self) -> None:
        """Drop what nothing needs any more."""
        held_number = self.held.number if self.held is not None else 0
        for number in [number for number in self.promises if number <= held_number]:
            del self.promises[number]
        if len(self.contents) > len(self.promises) + 2:
            wanted = {state.value for state in self.promises.values()}
            wanted |= {self.held.id if self.held else "", next(reversed(self.contents))}
            self.contents = {key: data for key, data in self.contents.items() if key in wanted}

    def records(self) -> Iterator[LogRecord]:
        """Yield records that add up to this: what a new file begins with."""
        if self.begun:
            yield LedgerBegun(self.wall_ms)
        for content_id, data in self.contents.items():
            yield ContentStored(content_id, data)
        if self.held is not None:
            yield self.held
        for number, state in self.promises.items():
            yield AcceptorPromise(number, *state.ballot, *state.accepted, state.value)
        yield VotesExcluded(-1 if self.votes_excluded_up_to is None else self.votes_excluded_up_to)
        if self.override_ms:
            # Also that it was brought back: an older override in the ledger beside this one is not the last.
            why = self.operator_override
            yield OperatorOverride(why is not None, why or "", self.override_ms)
        if self.process is not None and not self.ended:
            yield self.process
            if self.interval is not None:
                yield self.interval


def recover_log(records: Iterable[LogRecord]) -> RecoveredLog:
    """Return what records add up to."""
    recovered = RecoveredLog()
    for record in records:
        recovered.apply(record)
    return recovered
