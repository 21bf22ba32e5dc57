"""The codec of the store's files, pure: a magic number, then frames.

A frame is a length, a CRC-32 and a payload in MessagePack. The first frame is a `FileHeader`. A frame whose
length or checksum does not match ends the readable part of its file: the bytes after it are never used.
docs/design/state.md has the layout byte by byte. A record is stored as its tag and its fields in their order,
so neither the tag nor the order may change; types and fields may be renamed.
"""

import struct
import zlib
from collections.abc import Generator
from typing import Any, NamedTuple

import msgspec

from marlseam.store.errors import UnusableFileError

MAGIC = b"MARLSEAM"
FORMAT_VERSION = 2
READABLE_VERSIONS = (1, 2)  # version 1 has neither the start of the machine nor the record `lost`
FRAME_HEADER = struct.Struct(">II")  # the payload's length in bytes, its CRC-32
MAX_PAYLOAD_BYTES = 16 << 20  # a frame with a greater length counts as damaged
MAX_TORN_BYTES = 4096  # maximum size of a frame cut short by a crash; a longer unreadable end is damage
MAX_ATTEMPTS_PER_BATCH = 1000


class FileHeader(msgspec.Struct, tag="head", array_like=True):
    """A file's kind, format, node and time scale.

    Attributes:
        kind: `snapshot`, `journal` or `ledger`.
        version: the format version.
        node: the name of the node that the file belongs to.
        number: the file's number, which increases from file to file.
        created_ms: when the file was created (Unix ms).
        boot: the boot id of the machine when the file was created, empty if not known.
        zero_ms: the writer's Unix time (ms) at that start of the machine.
    """

    kind: str
    version: int
    node: str
    number: int
    created_ms: float
    boot: str = ""
    zero_ms: float = 0.0


class ListStored(msgspec.Struct, tag="list", array_like=True):
    """The endpoint list.

    Attributes:
        version: the list's version.
        rows: the list's entries, in discovery's format.
        confirmed_ms: when discovery last confirmed the list (Unix ms).
    """

    version: int
    rows: list[dict[str, Any]]
    confirmed_ms: float


class ListConfirmed(msgspec.Struct, tag="heard", array_like=True):
    """Discovery has confirmed the stored list without a change, at a time in Unix ms."""

    confirmed_ms: float


class AttemptSent(msgspec.Struct, tag="sent", array_like=True, gc=False):
    """An attempt of a keyed request that is about to be sent, and may have run from then on.

    Attributes:
        key: the idempotency key.
        server: the name of the server that the attempt is sent to.
        zone: the name of the server's zone.
        cell: the server's cell in that zone.
        sent_ms: time of the attempt (Unix ms).
        until_ms: when the server forgets the key (Unix ms).
    """

    key: str
    server: str
    zone: str
    cell: int
    sent_ms: float
    until_ms: float


class AttemptBatch(msgspec.Struct, tag="batch", array_like=True):
    """Many attempts in one frame of a snapshot, which is read several times as fast as one frame each."""

    rows: list[AttemptSent]


class AttemptNeverRan(msgspec.Struct, tag="never", array_like=True):
    """An attempt, identified by key, server and time (Unix ms), provably never ran."""

    key: str
    server: str
    sent_ms: float


class DepartureRateStored(msgspec.Struct, tag="turnover", array_like=True):
    """The rate at which servers leave: observed departures, and time on the list in ms over all servers."""

    departures: float
    lived_ms: float


class HistoryLost(msgspec.Struct, tag="lost", array_like=True):
    """Records may be lost: which attempts before a time (Unix ms) may have run is not known."""

    since_ms: float


class SnapshotEnd(msgspec.Struct, tag="whole", array_like=True):
    """A snapshot's last frame: the number of frames after the header. A snapshot without it is incomplete."""

    records: int


StateRecord = (
    FileHeader
    | ListStored
    | ListConfirmed
    | AttemptSent
    | AttemptBatch
    | AttemptNeverRan
    | DepartureRateStored
    | HistoryLost
    | SnapshotEnd
)
ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[StateRecord] = msgspec.msgpack.Decoder(StateRecord)


class FramePayload(NamedTuple):
    """The payload of a complete frame, and the offset in bytes at which the frame ends in its file."""

    end: int
    payload: bytes


class FileContents(NamedTuple):
    """The content of a file.

    Attributes:
        header: the file's first frame.
        records: the records after the header, up to the first frame that cannot be read.
        unread_bytes: number of bytes at the file's end that cannot be read.
        is_cut_short: whether the unread bytes are one frame cut short by a crash, which was never reported as
            durable. Other unread bytes may have been durable records.
    """

    header: FileHeader
    records: list[StateRecord]
    unread_bytes: int
    is_cut_short: bool


# Writing.


def encode_frame(payload: bytes) -> bytes:
    """Encode a payload as a frame."""
    return FRAME_HEADER.pack(len(payload), zlib.crc32(payload, len(payload))) + payload


def encode_record(record: StateRecord) -> bytes:
    """Encode a record as a frame."""
    return encode_frame(ENCODER.encode(record))


def encode_records(records: list[StateRecord]) -> list[bytes]:
    """Encode records as frames, with the attempts last, in batches of at most MAX_ATTEMPTS_PER_BATCH."""
    attempts = [record for record in records if type(record) is AttemptSent]
    others = [record for record in records if type(record) is not AttemptSent]
    batches = [
        AttemptBatch(attempts[start : start + MAX_ATTEMPTS_PER_BATCH])
        for start in range(0, len(attempts), MAX_ATTEMPTS_PER_BATCH)
    ]
    return [encode_record(record) for record in (*others, *batches)]


def encode_header(header: FileHeader) -> bytes:
    """Encode the start of a file: the magic number and the header's frame."""
    return MAGIC + encode_record(header)


def encode_snapshot(header: FileHeader, frames: list[bytes]) -> bytes:
    """Encode a complete snapshot of some frames."""
    return encode_header(header) + b"".join(frames) + encode_record(SnapshotEnd(len(frames)))


# Reading.


def is_cut_short(tail: bytes) -> bool:
    """Return whether a file's last bytes are one incomplete frame, cut short by a crash, and nothing else.

    Guards against a damaged length, with which a complete frame and all bytes after it look like the start of
    one longer frame: bytes that contain any complete frame count as damaged, not as cut short.
    """
    if len(tail) < FRAME_HEADER.size:
        return True
    body_bytes = len(tail) - FRAME_HEADER.size
    if len(tail) > MAX_TORN_BYTES or FRAME_HEADER.unpack_from(tail)[0] <= body_bytes:
        return False
    return not any(_has_frame_at(tail, offset) for offset in range(body_bytes + 1))


def _has_frame_at(tail: bytes, offset: int) -> bool:
    """Return whether a complete frame starts at an offset; at 0, of any length, as its length is in doubt."""
    length, checksum = FRAME_HEADER.unpack_from(tail, offset)
    start = offset + FRAME_HEADER.size
    bytes_left = len(tail) - start
    if offset == 0:
        lengths = range(1, bytes_left + 1)
    elif 0 < length <= bytes_left:
        lengths = range(length, length + 1)
    else:
        # Guards an ordinary cut against being counted as damage: eight zero bytes of a record look like the
        # header of an empty frame, but no frame is empty.
        return False
    return any(zlib.crc32(tail[start : start + size], size) == checksum for size in lengths)


def has_begun(data: bytes) -> bool:
    """Return whether a file has more than an incomplete header, as a crash during its creation leaves it."""
    if len(data) <= len(MAGIC):
        return not MAGIC.startswith(data)
    return not (data.startswith(MAGIC) and is_cut_short(data[len(MAGIC) :]))


def iterate_payloads(data: bytes) -> Generator[FramePayload, None, None]:
    """Yield the payload of each frame, up to the first incomplete or damaged frame.

    Raises UnusableFileError for data without the magic number.
    """
    if not data.startswith(MAGIC):
        raise UnusableFileError("foreign", "not a marlseam file: no magic number")
    offset = len(MAGIC)
    while offset + FRAME_HEADER.size <= len(data):
        length, checksum = FRAME_HEADER.unpack_from(data, offset)
        if length > MAX_PAYLOAD_BYTES:
            return
        start = offset + FRAME_HEADER.size
        payload = data[start : start + length]
        if len(payload) < length or zlib.crc32(payload, length) != checksum:
            return
        offset = start + length
        yield FramePayload(offset, payload)


def check_header(first: object, kind: str, node: str | None) -> FileHeader:
    """Check that a file's first record is a valid header; a `node` of None accepts any node's file.

    Raises UnusableFileError for a file without a header, or of another kind, version or node.
    """
    if not isinstance(first, FileHeader):
        raise UnusableFileError("torn", "the file header cannot be read")
    if first.version not in READABLE_VERSIONS:
        raise UnusableFileError(
            "version", f"format version {first.version}, supported are {READABLE_VERSIONS}"
        )
    if first.kind != kind or (node is not None and first.node != node):
        raise UnusableFileError("foreign", f"the file is a {first.kind} of node {first.node}")
    return first


def read_file(data: bytes, kind: str, node: str | None) -> Generator[None, None, FileContents]:
    """Read a file's content; each step of the generator reads one frame.

    Raises UnusableFileError as `check_header` does.
    """
    records: list[StateRecord] = []
    end = len(MAGIC)
    for frame in iterate_payloads(data):
        try:
            records.append(DECODER.decode(frame.payload))
        except msgspec.MsgspecError:
            break
        end = frame.end
        yield
    header = check_header(records[0] if records else None, kind, node)
    return FileContents(header, records[1:], len(data) - end, is_cut_short(data[end:]))


def read_snapshot(data: bytes, node: str | None) -> Generator[None, None, FileContents]:
    """Read a snapshot's content; raises UnusableFileError also for an incomplete snapshot."""
    contents = yield from read_file(data, "snapshot", node)
    records = contents.records
    if contents.unread_bytes or not records or records[-1] != SnapshotEnd(len(records) - 1):
        raise UnusableFileError("torn", "the snapshot is incomplete")
    return contents._replace(records=records[:-1])
