"""The files' format, pure: a magic, then frames, each a length, a CRC-32 and a payload in MessagePack.

The first frame is a `Head` that names the kind of file, the format's version, the node and the file's number.
A frame whose length or checksum does not fit ends what can be read of its file: what lies behind it is never
used. docs/design/state.md has the layout byte by byte.
"""

import struct
import zlib
from collections.abc import Generator
from typing import NamedTuple

import msgspec

MAGIC = b"MARLSEAM"
VERSION, READ = 2, (1, 2)  # written, and read; 1 knew no start of the machine and nothing lost
FRAME = struct.Struct(">II")
BATCH = 1000  # sendings in one frame
PAYLOAD_MOST = 16 << 20  # bytes; a longer length is no length
CUT_MOST = 4096  # bytes of a frame that a crash has cut short; a longer rest counts as damaged


class Head(msgspec.Struct, tag="head", array_like=True):
    """What a file is: its kind (snapshot or journal), its node, its number, when it was begun (Unix ms).

    And on which start of the machine, with what the writer's Unix time was at that start.
    """

    kind: str
    version: int
    node: str
    number: int
    created_ms: float
    boot: str = ""
    zero_ms: float = 0.0


class ListStored(msgspec.Struct, tag="list", array_like=True):
    """Discovery's list as discovery wrote it, and when it was last true (Unix ms)."""

    version: int
    rows: list[dict]
    heard_ms: float


class ListConfirmed(msgspec.Struct, tag="heard", array_like=True):
    """Discovery has confirmed the list as it is (Unix ms)."""

    heard_ms: float


class AttemptSent(msgspec.Struct, tag="sent", array_like=True, gc=False):
    """A request under a key is about to be sent: it may have run from now on (times in Unix ms)."""

    key: str
    executor: str
    zone: str
    cell: int
    sent_ms: float
    until_ms: float


class AttemptBatch(msgspec.Struct, tag="batch", array_like=True):
    """Many sendings in one frame, as a snapshot holds them: read several times as fast as one by one."""

    rows: list[AttemptSent]


class AttemptNeverRan(msgspec.Struct, tag="never", array_like=True):
    """A sending provably never ran."""

    key: str
    executor: str
    sent_ms: float


class TurnoverNoted(msgspec.Struct, tag="turnover", array_like=True):
    """What is known of how often servers leave."""

    departures: float
    lived_ms: float


class HistoryLost(msgspec.Struct, tag="lost", array_like=True):
    """What may have run before some time is not known any more (Unix ms)."""

    since_ms: float


class SnapshotEnd(msgspec.Struct, tag="whole", array_like=True):
    """A snapshot's last frame: how many records it holds. One without it is not whole."""

    records: int


StateRecord = (
    Head
    | ListStored
    | ListConfirmed
    | AttemptSent
    | AttemptBatch
    | AttemptNeverRan
    | TurnoverNoted
    | HistoryLost
    | SnapshotEnd
)
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(StateRecord)


def framed(payload: bytes) -> bytes:
    """Return a payload as a frame."""
    return FRAME.pack(len(payload), zlib.crc32(payload, len(payload))) + payload


def frame(entry: StateRecord) -> bytes:
    """Return an entry as bytes of a file."""
    return framed(ENCODER.encode(entry))


def frames(entries: list[StateRecord]) -> list[bytes]:
    """Return entries as frames, with sendings in batches."""
    sent = [entry for entry in entries if type(entry) is AttemptSent]
    batches = [AttemptBatch(sent[i : i + BATCH]) for i in range(0, len(sent), BATCH)]
    return [frame(entry) for entry in entries if type(entry) is not AttemptSent] + [
        frame(batch) for batch in batches
    ]


def begin(head: Head) -> bytes:
    """Return the first bytes of a file."""
    return MAGIC + frame(head)


def snapshot(head: Head, frames: list[bytes]) -> bytes:
    """Return a whole snapshot that holds some frames."""
    return begin(head) + b"".join(frames) + frame(SnapshotEnd(len(frames)))


class UnusableFileError(Exception):
    """A file that cannot be used, with its code: foreign, version, torn."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class Contents(NamedTuple):
    """What a file holds: its head, its entries, how many bytes at its end are left out, and what these are.

    `cut` where the file ends in the middle of a frame, as a crash leaves it: what was not written whole was
    never said to be kept. Other bytes that cannot be read may have been entries.
    """

    head: Head
    entries: list[StateRecord]
    left: int
    cut: bool


def cut_short(rest: bytes) -> bool:
    """Return whether some last bytes are a frame whose writing was cut short, and nothing else.

    Guards against a damaged length, which makes a whole frame, and all behind it, look like the end of one.
    """
    if len(rest) < FRAME.size:
        return True
    body = len(rest) - FRAME.size
    if len(rest) > CUT_MOST or FRAME.unpack_from(rest)[0] <= body:
        return False
    for at in range(body + 1):
        length, check = FRAME.unpack_from(rest, at)
        inside = body - at
        # No frame is empty: eight zero bytes of an entry are not one. They made ordinary cuts count as lost.
        lengths = range(1, inside + 1) if at == 0 else [length] if 0 < length <= inside else []
        if any(zlib.crc32(rest[at + FRAME.size : at + FRAME.size + n], n) == check for n in lengths):
            return False
    return True


def begun(data: bytes) -> bool:
    """Return whether a file has more than the beginning of a head: a crash leaves less, with nothing kept."""
    if len(data) <= len(MAGIC):
        return not MAGIC.startswith(data)
    return not (data.startswith(MAGIC) and cut_short(data[len(MAGIC) :]))


def payloads(data: bytes) -> Generator[tuple[int, bytes], None, None]:
    """Yield where each whole frame behind the magic ends, and what it holds, up to the first that is not
    whole.

    Raises Unusable where there is no magic.
    """
    if not data.startswith(MAGIC):
        raise UnusableFileError("foreign", "no file of marlseam's")
    at = len(MAGIC)
    while at + FRAME.size <= len(data):
        length, check = FRAME.unpack_from(data, at)
        payload = data[at + FRAME.size : at + FRAME.size + length] if length <= PAYLOAD_MOST else b""
        if length > PAYLOAD_MOST or len(payload) < length or zlib.crc32(payload, length) != check:
            return
        at += FRAME.size + len(payload)
        yield at, payload


def headed(first: object, kind: str, node: str | None) -> Head:
    """Return a file's head; raises Unusable for another kind, version or node's file.

    Or one without a head.
    """
    if not isinstance(first, Head):
        raise UnusableFileError("torn", "its head cannot be read")
    if first.version not in READ:
        raise UnusableFileError("version", f"format {first.version}, this program reads {READ}")
    if first.kind != kind or (node is not None and first.node != node):
        raise UnusableFileError("foreign", f"a {first.kind} of node {first.node}")
    return first


def read(data: bytes, kind: str, node: str | None) -> Generator[None, None, Contents]:
    """Return what a file holds, frame by frame.

    Raises Unusable for another kind, version or node's file, or one without a head.
    """
    entries: list[StateRecord] = []
    end = len(MAGIC)
    for at, payload in payloads(data):
        try:
            entries.append(DECODER.decode(payload))
        except msgspec.MsgspecError:
            break
        end = at
        yield
    head = headed(entries[0] if entries else None, kind, node)
    return Contents(head, entries[1:], len(data) - end, cut_short(data[end:]))


def read_snapshot(data: bytes, node: str | None) -> Generator[None, None, Contents]:
    """Return what a snapshot holds; one that is not whole raises Unusable."""
    found = yield from read(data, "snapshot", node)
    entries = found.entries
    if found.left or not entries or entries[-1] != SnapshotEnd(len(entries) - 1):
        raise UnusableFileError("torn", "it is not whole")
    return found._replace(entries=entries[:-1])
