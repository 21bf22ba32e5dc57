"""The records of a node's ledger, which is append-only and chained by digest; pure.

Each record is preceded by the digest of the previous record, across all files, so that a record that is left
out, changed or moved is detected. An action (a request accepted, an attempt sent, a response, a rejection)
belongs to one interval of one process: from one `IntervalBegun` to the next. `ActionCounts` holds cumulative
counts of actions per interval: later counts of an interval replace earlier ones. Actions of a killed process
after its last counts are unknown.

Times in `wall_ms` are Unix ms, those in `mono_ms` are ms of the process's own clock.
"""

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from marlseam.cluster.replication.paxos import NO_BALLOT, AcceptorState

DIGEST_BYTES = 16  # length of a digest in the chain, a truncated SHA-256
FIRST_PREVIOUS_DIGEST = b"\0" * DIGEST_BYTES  # takes the place of the previous digest before the first record
ACTION_KINDS = ("taken", "sent", "answered", "refused")  # counted kinds of actions, as shown to operators


class LedgerBegun(msgspec.Struct, tag="begun", array_like=True, frozen=True):
    """The first record of a node's first ledger: anything that is not in the ledger has not happened."""

    wall_ms: float


class FileOpened(msgspec.Struct, tag="opened", array_like=True, frozen=True):
    """A file begins; `inode` is its inode number, by which a copy of the file is detected."""

    inode: int


class BatchWritten(msgspec.Struct, tag="written", array_like=True, frozen=True):
    """The records since the previous `BatchWritten` were written together."""

    wall_ms: float


class ProcessStarted(msgspec.Struct, tag="life", array_like=True, frozen=True):
    """A process starts.

    Attributes:
        generation: unique number of the process among those of the node, as in membership.
        program: version of the program.
        boot: the kernel's id of the start of the machine on which the process runs; "" if not known.
        lease_ms: how long after a newer version was chosen the process may act on an older one as proven.
        beside: whether an earlier process of the node may continue to run, as during an upgrade.
        zero_ms: Unix time of the machine's start, by which times of one machine are comparable even if its
            wall clock was changed.

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
    """An interval begins; actions after this record are based on the state that it describes.

    Attributes:
        generation, program: as in `ProcessStarted`.
        interval: number of the interval in the process, from 1 on.
        number, id: the version applied, and the id of its content; the id is "" while a later version is
            held.
        settings_digest: digest of the settings in force; differs from that of the version if the node was
            permitted to use a settings file of its own.
        endpoint_list_version: the version of the endpoint list.
        proved: whether the version is proven to be in force.
        serving, code: whether the node serves, and the code of its fault.

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
    """Cumulative counts of some intervals, as rows (interval, taken, sent, answered, refused)."""

    generation: int
    rows: list[tuple[int, int, int, int, int]]
    wall_ms: float
    mono_ms: float


class ProcessEnded(msgspec.Struct, tag="ended", array_like=True, frozen=True):
    """A process ended in an orderly way; its counts are complete."""

    generation: int
    wall_ms: float
    mono_ms: float


class AcceptorPromise(msgspec.Struct, tag="promised", array_like=True, frozen=True):
    """The acceptor's state for a number; `value` is "" if nothing was accepted."""

    number: int
    round: int
    place: str
    accepted_round: int
    accepted_place: str
    value: str


class ContentStored(msgspec.Struct, tag="stored", array_like=True, frozen=True):
    """The bytes of the content with an id."""

    id: str
    data: bytes


class VersionHeld(msgspec.Struct, tag="held", array_like=True, frozen=True):
    """A version and its content are held; `wall_ms` is 0 if the time was not recorded."""

    number: int
    id: str
    wall_ms: float = 0.0


class VotesExcluded(msgspec.Struct, tag="barred", array_like=True, frozen=True):
    """The node does not vote on numbers up to this one, as it lost its memory of votes; -1: bound unknown."""

    number: int


class OperatorOverride(msgspec.Struct, tag="handed", array_like=True, frozen=True):
    """An operator took the node out of service (`out`) for the reason `why`, or returned it to service."""

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
    """Raised for bytes that are not a valid record; the text is the reason."""


class ChainedRecord(NamedTuple):
    """The bytes of the previous record's digest and of a record, and the digest of both."""

    data: bytes
    digest: bytes


class ParsedRecord(NamedTuple):
    """The digest of the previous record, and the record."""

    before: bytes
    record: LogRecord


def chain_record(before: bytes, encoded: bytes) -> ChainedRecord:
    """Append an encoded record to the chain that ends with the digest `before`."""
    data = before + encoded
    return ChainedRecord(data, hashlib.sha256(data).digest()[:DIGEST_BYTES])


def parse_record(data: bytes) -> ParsedRecord:
    """Parse a chained record; raises InvalidRecordError."""
    if len(data) <= DIGEST_BYTES:
        raise InvalidRecordError("record is too short to hold a digest and data")
    try:
        return ParsedRecord(data[:DIGEST_BYTES], DECODER.decode(data[DIGEST_BYTES:]))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRecordError(str(error)) from None


@dataclass
class RecoveredLog:
    """The state that results from the records of a ledger, with which a node starts.

    Attributes:
        held: the version held; None before the first.
        contents: the bytes of contents, by id.
        promises: the acceptor's state, by version number.
        votes_excluded_up_to: the highest number on which the node does not vote; None: it votes on no number
            until that bound is determined.
        operator_override: why an operator took the node out of service; None without an override.
        override_ms: when an operator last took the node out of service or returned it; 0 for never.
        process: the last process.
        interval: the last interval of that process.
        ended: whether the last process ended in an orderly way, or there was none.
        begun: whether the ledger is complete from the node's first record on (`LedgerBegun`).
        wall_ms: Unix time of the last record that has a time.

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
        """Apply the next record."""
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
        """Apply a record of a vote, a content, a version held or an operator's override."""
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
        """Drop the promises for numbers up to the version held, and contents that are no longer needed."""
        held_number = self.held.number if self.held is not None else 0
        for number in [number for number in self.promises if number <= held_number]:
            del self.promises[number]
        if len(self.contents) > len(self.promises) + 2:
            needed = {state.value for state in self.promises.values()}
            needed |= {self.held.id if self.held else "", next(reversed(self.contents))}
            self.contents = {key: data for key, data in self.contents.items() if key in needed}

    def records(self) -> Iterator[LogRecord]:
        """Yield records that give this state when they are applied; a new file begins with them."""
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
            # Also written after a return to service: otherwise an older override in the node's other ledger
            # (main or beside it) would count as the last one.
            why = self.operator_override
            yield OperatorOverride(why is not None, why or "", self.override_ms)
        if self.process is not None and not self.ended:
            yield self.process
            if self.interval is not None:
                yield self.interval


def recover_log(records: Iterable[LogRecord]) -> RecoveredLog:
    """Return the state that results from records, in their order."""
    recovered = RecoveredLog()
    for record in records:
        recovered.apply(record)
    return recovered
