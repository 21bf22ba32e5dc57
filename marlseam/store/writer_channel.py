"""The messages between a node and its writer process, on a Unix stream; pure.

The node sends frames: one byte for the command (A append, C compact the directory, E end), four bytes for the
payload's length, and the payload, which is the frames to append to the file. The writer process answers in
lines of JSON:

    {"done": N, "size": BYTES}                      N messages are executed, the open file has BYTES
    {"done": N, "size": BYTES, "lost": [TEXT]}      the same after a compaction, with the losses that it found
    {"failed": CODE, "text": TEXT, "done": N}       the disk failed: appends are dropped until a compaction
"""

import json
import struct
from typing import Any, NamedTuple

MESSAGE_HEADER = struct.Struct(">BI")  # the command, the payload's length in bytes
APPEND, COMPACT, END = ord("A"), ord("C"), ord("E")


class Message(NamedTuple):
    """One message to the writer process: the command, and for APPEND the frames to append."""

    command: int
    payload: bytes = b""


class Written(NamedTuple):
    """An answer: all messages so far are executed.

    Attributes:
        done_count: number of messages that this writer process has executed.
        file_bytes: the size of the open file.
        losses: after a compaction, a string for each loss found in the directory; None after appends.
    """

    done_count: int
    file_bytes: int
    losses: list[str] | None = None


class WriteFailed(NamedTuple):
    """An answer: a disk call failed.

    Attributes:
        done_count: number of messages that this writer process has received, the failed one included.
        code: the reason code of the failure.
        text: the error message of the system.
    """

    done_count: int
    code: str
    text: str


Answer = Written | WriteFailed


class MessageBuffer:
    """Buffers the bytes received from the node and splits them into messages."""

    def __init__(self) -> None:
        self._unparsed = b""

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._unparsed += data

    def next_message(self) -> Message | None:
        """Remove and return the next complete message; None if there is none."""
        if len(self._unparsed) < MESSAGE_HEADER.size:
            return None
        command, length = MESSAGE_HEADER.unpack_from(self._unparsed)
        end = MESSAGE_HEADER.size + length
        if len(self._unparsed) < end:
            return None
        payload = self._unparsed[MESSAGE_HEADER.size : end]
        self._unparsed = self._unparsed[end:]
        return Message(command, payload)


def encode_message(message: Message) -> bytes:
    """Encode a message for the channel."""
    return MESSAGE_HEADER.pack(message.command, len(message.payload)) + message.payload


def encode_answer(answer: Answer) -> bytes:
    """Encode an answer as a line."""
    fields: dict[str, Any]
    if isinstance(answer, WriteFailed):
        fields = {"failed": answer.code, "text": answer.text, "done": answer.done_count}
    else:
        fields = {"done": answer.done_count, "size": answer.file_bytes}
        if answer.losses is not None:
            fields["lost"] = answer.losses
    return json.dumps(fields).encode() + b"\n"


def decode_answer(line: bytes) -> Answer:
    """Decode a line, assumed to be well formed, as the writer process runs this same program."""
    fields = json.loads(line)
    if "failed" in fields:
        return WriteFailed(fields["done"], fields["failed"], fields["text"])
    return Written(fields["done"], fields["size"], fields.get("lost"))
