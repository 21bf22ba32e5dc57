"""The codec of the store's files, pure: a magic number, then frames.

A frame is a length, a CRC-32 and a payload in MessagePack. The first frame is a `FileHeader`. A frame whose
length or checksum does not match ends what can be read of its file: the bytes behind it are never used.
docs/design/state.md has the layout byte by byte. A record is stored under its tag and by the order of its
fields, so that neither may change; the names of types and fields are free.
"""

import struct
import zlib
from collections.abc import Generator
from typing import Any, NamedTuple

import msgspec

from marlseam.store.errors import UnusableFileError

MAGIC = b"MARLSEAM"
FORMAT_VERSION = 2
READABLE_VERSIONS = (1, 2)  # 1 has neither the start of the machine nor lost history
FRAME_HEADER = struct.Struct(">II")  # the payload's length in bytes, its CRC-32
MAX_PAYLOAD_BYTES = 16 << 20  # a longer length is damaged
MAX_TORN_BYTES = 4096  # of a frame whose writing a crash cut short; a longer rest counts as damaged
MAX_ATTEMPTS_PER_BATCH = 1000


class FileHeader(msgspec.Struct, tag="head", array_like=True):
    """What a file is.

    Attributes:
        kind: `snapshot`, `journal` or `ledger`.
        version: of the format.
        node: the name of the node whose file it is.
        number: the file's, which counts up.
        created_ms: when it was begun (Unix ms).
        boot: the start of the machine on which it was begun, empty where not known.
        zero_ms: the writer's Unix time at that start, in ms.
    """

    kind: str
    version: int
    node: str
    number: int
    created_ms: float
    boot: str = ""
    zero_ms: float = 0.0


class ListStored(msgspec.Struct, tag="list", array_like=True):
    """The endpoint list as discovery wrote it.

    Attributes:
        version: of the list.
        rows: its entries.
        confirmed_ms: when discovery last confirmed it (Unix ms).
    """

    version: int
    rows: list[dict[str, Any]]
    confirmed_ms: float


class ListConfirmed(msgspec.Struct, tag="heard", array_like=True):
    """Discovery has confirmed the stored list as it is (Unix ms)."""

    confirmed_ms: float


class AttemptSent(msgspec.Struct, tag="sent", array_like=True, gc=False):
    """A keyed request is about to be sent: it may have run from now on.

    Attributes:
        key: the idempotency key.
        server: the name of the server that it is sent to.
        zone: the server's zone, by name.
        cell: the server's cell in that zone.
        sent_ms: when (Unix ms).
        until_ms: when the server forgets the key (Unix ms).
    """

    key: str
    server: str
    zone: str
    cell: int
    sent_ms: float
    until_ms: float


class AttemptBatch(msgspec.Struct, tag="batch", array_like=True):
    """Many attempts in one frame, as a snapshot holds them: read several times as fast as one by one."""

    rows: list[AttemptSent]


class AttemptNeverRan(msgspec.Struct, tag="never", array_like=True):
    """An attempt, known by key, server and time (Unix ms), provably never ran."""

    key: str
    server: str
    sent_ms: float


class DepartureRateStored(msgspec.Struct, tag="turnover", array_like=True):
    """How often servers leave: departures seen, and the time of all servers together, in ms."""

    departures: float
    lived_ms: float


class HistoryLost(msgspec.Struct, tag="lost", array_like=True):
    """What may have run before some time is not known any more (Unix ms)."""

    since_ms: float


class SnapshotEnd(msgspec.Struct, tag="whole", array_like=True):
    """A snapshot's last frame: how many frames lie between it and the header. One without it is not whole."""

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
    """One whole frame's payload, and the offset in the file at which the frame ends, in bytes."""

    end: int
    payload: bytes


class FileContents(NamedTuple):
    """What a file holds.

    Attributes:
        header: its first frame.
        records: what follows, as far as it can be read.
        unread_bytes: how many bytes at its end cannot be read.
        is_cut_short: whether these are one frame whose writing a crash cut short, which was never reported
            as durable. Other bytes that cannot be read may have been records.
    """

    header: FileHeader
    records: list[StateRecord]
    unread_bytes: int
    is_cut_short: bool


# Writing.


def encode_frame(payload: bytes) -> bytes:
    """Return a payload as a frame."""
    return FRAME_HEADER.pack(len(payload), zlib.crc32(payload, len(payload))) + payload


def encode_record(record: StateRecord) -> bytes:
    """Return a record as a frame."""
    return encode_frame(ENCODER.encode(record))


def encode_records(records: list[StateRecord]) -> list[bytes]:
    """Return records as frames, attempts last and in batches."""
    attempts = [record for record in records if type(record) is AttemptSent]
    others = [record for record in records if type(record) is not AttemptSent]
    batches = [
        AttemptBatch(attempts[start : start + MAX_ATTEMPTS_PER_BATCH])
        for start in range(0, len(attempts), MAX_ATTEMPTS_PER_BATCH)
    ]
    return [encode_record(record) for record in (*others, *batches)]


def encode_header(header: FileHeader) -> bytes:
    """Return the first bytes of a file: the magic number and the header's frame."""
    return MAGIC + encode_record(header)


def encode_snapshot(header: FileHeader, frames: list[bytes]) -> bytes:
    """Return a whole snapshot that holds some frames."""
    return encode_header(header) + b"".join(frames) + encode_record(SnapshotEnd(len(frames)))


# Reading.


def is_cut_short(tail: bytes) -> bool:
    """Return whether a file's last bytes are one frame whose writing was cut short, and nothing else.

    Guards against a damaged length, which makes a whole frame, and all behind it, look like the end of one:
    bytes in which any whole frame can be found are damage, not a cut.
    """
    if len(tail) < FRAME_HEADER.size:
        return True
    body_bytes = len(tail) - FRAME_HEADER.size
    if len(tail) > MAX_TORN_BYTES or FRAME_HEADER.unpack_from(tail)[0] <= body_bytes:
        return False
    return not any(_has_frame_at(tail, offset) for offset in range(body_bytes + 1))


def _has_frame_at(tail: bytes, offset: int) -> bool:
    """Return whether a whole frame begins at an offset; at 0 with any length, as that one is in doubt."""
    length, checksum = FRAME_HEADER.unpack_from(tail, offset)
    start = offset + FRAME_HEADER.size
    bytes_left = len(tail) - start
    if offset == 0:
        lengths = range(1, bytes_left + 1)
    elif 0 < length <= bytes_left:
        lengths = range(length, length + 1)
    else:
        # Guards an ordinary cut against counting as damage: eight zero bytes of a record look like the header
        # of an empty frame, but no frame is empty.
        return False
    return any(zlib.crc32(tail[start : start + size], size) == checksum for size in lengths)


def has_begun(data: bytes) -> bool:
    """Return whether a file has more than a part of its header, which a crash leaves without any record."""
    if len(data) <= len(MAGIC):
        return not MAGIC.startswith(data)
    return not (data.startswith(MAGIC) and is_cut_short(data[len(MAGIC) :]))


def iterate_payloads(data: bytes) -> Generator[FramePayload, None, None]:
    """Yield the payload of each frame, up to the first frame that is not whole.

    Raises UnusableFileError where there is no magic number.
    """
    if not data.startswith(MAGIC):
        raise UnusableFileError("foreign", "not a file of marlseam")
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
    """Return a file's first record as its header; a `node` of None allows any node's file.

    Raises UnusableFileError for a file without a header, or of another kind, version or node.
    """
    if not isinstance(first, FileHeader):
        raise UnusableFileError("torn", "its header cannot be read")
    if first.version not in READABLE_VERSIONS:
        raise UnusableFileError("version", f"format {first.version}, this program reads {READABLE_VERSIONS}")
    if first.kind != kind or (node is not None and first.node != node):
        raise UnusableFileError("foreign", f"a {first.kind} of node {first.node}")
    return first


def read_file(data: bytes, kind: str, node: str | None) -> Generator[None, None, FileContents]:
    """Return what a file holds, read frame by frame: each step of the generator is one frame.

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
    """Return what a snapshot holds; raises UnusableFileError also for one that is not whole."""
    contents = yield from read_file(data, "snapshot", node)
    records = contents.records
    if contents.unread_bytes or not records or records[-1] != SnapshotEnd(len(records) - 1):
        raise UnusableFileError("torn", "it is not whole")
    return contents._replace(records=records[:-1])
