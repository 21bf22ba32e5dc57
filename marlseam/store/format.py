"""The files' format, pure: a magic, then frames, each a length, a CRC-32 and a payload in MessagePack.

The first frame is a `Head` that names the kind of file, the format's version, the node and the file's number.
A frame whose length or checksum does not fit ends what can be read of its file: what lies behind it is never
used. docs/design/state.md has the layout byte by byte.
"""

import struct
import zlib

import msgspec

MAGIC = b"MARLSEAM"
VERSION = 1
FRAME = struct.Struct(">II")
BATCH = 1000  # sendings in one frame
PAYLOAD_MOST = 16 << 20  # bytes; a longer length is no length


class Head(msgspec.Struct, tag="head", array_like=True):
    """What a file is: its kind (snapshot or journal), its node, its number, when it was begun (Unix ms)."""

    kind: str
    version: int
    node: str
    number: int
    created_ms: float


class Listed(msgspec.Struct, tag="list", array_like=True):
    """The roster's list as the roster wrote it, and when it was last true (Unix ms)."""

    version: int
    rows: list[dict]
    heard_ms: float


class Heard(msgspec.Struct, tag="heard", array_like=True):
    """The roster has confirmed the list as it is (Unix ms)."""

    heard_ms: float


class Sent(msgspec.Struct, tag="sent", array_like=True):
    """A work unit under a key is about to be sent: it may have run from now on (times in Unix ms)."""

    key: str
    executor: str
    zone: str
    cell: int
    sent_ms: float
    until_ms: float


class Batch(msgspec.Struct, tag="batch", array_like=True):
    """Many sendings in one frame, as a snapshot holds them: read several times as fast as one by one."""

    rows: list[Sent]


class NeverRan(msgspec.Struct, tag="never", array_like=True):
    """A sending provably never ran."""

    key: str
    executor: str
    sent_ms: float


class Turned(msgspec.Struct, tag="turnover", array_like=True):
    """What is known of how often executors leave."""

    departures: float
    lived_ms: float


class Whole(msgspec.Struct, tag="whole", array_like=True):
    """A snapshot's last frame: how many records it holds. One without it is not whole."""

    records: int


Entry = Head | Listed | Heard | Sent | Batch | NeverRan | Turned | Whole
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Entry)


def frame(entry: Entry) -> bytes:
    """Return an entry as bytes of a file."""
    payload = ENCODER.encode(entry)
    return FRAME.pack(len(payload), zlib.crc32(payload, len(payload))) + payload


def frames(entries: list[Entry]) -> list[bytes]:
    """Return entries as frames, with sendings in batches."""
    sent = [entry for entry in entries if type(entry) is Sent]
    batches = [Batch(sent[i : i + BATCH]) for i in range(0, len(sent), BATCH)]
    return [frame(entry) for entry in entries if type(entry) is not Sent] + [
        frame(batch) for batch in batches
    ]


def begin(kind: str, node: str, number: int, created_ms: float) -> bytes:
    """Return the first bytes of a file."""
    return MAGIC + frame(Head(kind, VERSION, node, number, created_ms))


def snapshot(node: str, number: int, created_ms: float, frames: list[bytes]) -> bytes:
    """Return a whole snapshot that holds some frames."""
    return begin("snapshot", node, number, created_ms) + b"".join(frames) + frame(Whole(len(frames)))


class Unusable(Exception):
    """A file that cannot be used, with its code: foreign, version, torn."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


def read(data: bytes, kind: str, node: str | None) -> tuple[Head, list[Entry], int]:
    """Return a file's head, its entries, and how many bytes at its end could not be read.

    Raises Unusable for another kind, version or node's file, or one without a head.
    """
    if not data.startswith(MAGIC):
        raise Unusable("foreign", "no file of marlseam's")
    entries: list[Entry] = []
    at = len(MAGIC)
    while True:
        if at + FRAME.size <= len(data):
            length, check = FRAME.unpack_from(data, at)
            payload = data[at + FRAME.size : at + FRAME.size + length] if length <= PAYLOAD_MOST else b""
            if length > PAYLOAD_MOST or len(payload) < length or zlib.crc32(payload, length) != check:
                break
        else:
            break
        try:
            entries.append(DECODER.decode(payload))
        except msgspec.MsgspecError:
            break
        at += FRAME.size + len(payload)
    if not entries or not isinstance(entries[0], Head):
        raise Unusable("torn", "its head cannot be read")
    head = entries[0]
    if head.version != VERSION:
        raise Unusable("version", f"format {head.version}, this program reads {VERSION}")
    if head.kind != kind or (node is not None and head.node != node):
        raise Unusable("foreign", f"a {head.kind} of node {head.node}")
    return head, entries[1:], len(data) - at


def read_snapshot(data: bytes, node: str | None) -> tuple[Head, list[Entry]]:
    """Return a snapshot's head and records; one that is not whole raises Unusable."""
    head, entries, left = read(data, "snapshot", node)
    if left or not entries or not isinstance(entries[-1], Whole) or entries[-1].records != len(entries) - 1:
        raise Unusable("torn", "it is not whole")
    return head, entries[:-1]
