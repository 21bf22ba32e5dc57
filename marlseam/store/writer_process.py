"""The process that writes a node's state, so that a slow disk never stalls the node's loop.

`ledger_writer` is the corresponding process for the ledger.

    python -m marlseam.store.writer_process FOLDER NODE SYNC CHANNEL LOCK BOOT ZERO

`writer_channel` has the messages. All pending appends are written together and synced once. The node sends no
request before this process has answered for its record, so if the node ends without END, nothing more is
written: the lock is free after the disk call in progress.
"""

import contextlib
import select
import signal
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from marlseam.store.clock_era import ClockEra
from marlseam.store.disk import Disk
from marlseam.store.errors import NodeGoneError, code_of
from marlseam.store.state_directory import StateDirectory
from marlseam.store.writer_channel import (
    APPEND,
    COMPACT,
    Answer,
    Message,
    MessageBuffer,
    WriteFailed,
    Written,
    encode_answer,
)

MAX_RECEIVE_BYTES = 1 << 20


class NodeBoundDisk(Disk):
    """A disk that is written only while the node runs, which is checked before each slow call."""

    def __init__(self, path: Path, channel: socket.socket) -> None:
        super().__init__(path)
        self.poll = select.poll()
        self.poll.register(channel, 0)

    def check_node(self) -> None:
        """Raise NodeGoneError if the node has ended.

        Guards the node's next start against a lock held for seconds by a backlog of syncs, four per snapshot.
        """
        if self.poll.poll(0):
            raise NodeGoneError

    def open(self, name: str) -> int:
        """Open a file for appending, created if it does not exist; return its descriptor."""
        self.check_node()
        return super().open(name)

    def sync(self, descriptor: int) -> None:
        """Flush a file's bytes to the disk."""
        self.check_node()
        super().sync(descriptor)

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        self.check_node()
        super().rename(old, new)

    def sync_folder(self) -> None:
        """Flush the directory's names to the disk."""
        self.check_node()
        super().sync_folder()


class WritableLog(Protocol):
    """The directory that is written: a state directory or a ledger.

    Attributes:
        size: the size of the open file in bytes.
    """

    size: int

    def append(self, parts: list[bytes], sync: bool) -> None:
        """Append frames or records, and flush them to the disk if `sync` is set; raises OSError."""

    def compact(self) -> list[str]:
        """Begin a new file with the directory's content; return a string for each loss; raises OSError."""

    def close(self) -> None:
        """Close the open file."""


class WriterProcess:
    """Executes the node's messages and answers with their results.

    Attributes:
        log: the directory that is written.
        channel: the stream to the node.
        is_synced: whether each append is flushed to the disk before it is answered.
        done_count: number of messages received so far.
        is_failed: whether appends are dropped: until the first compaction, and after a failure.
        is_ended: whether the node has sent END.
    """

    def __init__(self, log: WritableLog, channel: socket.socket, is_synced: bool) -> None:
        self.log, self.channel, self.is_synced = log, channel, is_synced
        self.messages = MessageBuffer()
        self.done_count = 0
        self.is_failed = True
        self.is_ended = False

    def run(self) -> None:
        """Execute messages until the node sends END or has ended."""
        with contextlib.suppress(NodeGoneError):
            while not self.is_ended and (data := self.channel.recv(MAX_RECEIVE_BYTES)):
                self.messages.feed(data)
                self.receive_available()
                self.execute_messages()
        self.log.close()

    def receive_available(self) -> None:
        """Receive all bytes that are available without waiting."""
        while select.select([self.channel], [], [], 0.0)[0]:
            data = self.channel.recv(MAX_RECEIVE_BYTES)
            if not data:
                return
            self.messages.feed(data)

    def execute_messages(self) -> None:
        """Execute the complete messages, consecutive appends together."""
        appends: list[bytes] = []
        while (message := self.messages.next_message()) is not None:
            if message.command == APPEND:
                appends.append(message.payload)
                continue
            self.append(appends)
            appends = []
            self.execute(message)
        self.append(appends)

    def execute(self, message: Message) -> None:
        """Execute a message other than an append."""
        if message.command == COMPACT:
            self.compact()
        else:
            self.is_ended = True

    def append(self, parts: list[bytes]) -> None:
        """Append the payloads of several messages, and sync once; dropped after a failure."""
        if not parts:
            return
        self.done_count += len(parts)
        if self.is_failed:
            return
        try:
            self.log.append(parts, self.is_synced)
        except OSError as error:
            self.report_failure(error)
        else:
            self.answer(Written(self.done_count, self.log.size))

    def compact(self) -> None:
        """Begin a new file with the directory's content.

        After a failure, this makes appends possible again: the directory has the records of all requests that
        were sent.
        """
        self.done_count += 1
        try:
            losses = self.log.compact()
        except OSError as error:
            self.report_failure(error)
        else:
            self.is_failed = False
            self.answer(Written(self.done_count, self.log.size, losses))

    def report_failure(self, error: OSError) -> None:
        """Close the open file and answer that a disk call failed."""
        self.is_failed = True
        with contextlib.suppress(OSError):
            self.log.close()
        self.answer(WriteFailed(self.done_count, code_of(error), error.strerror or str(error)))

    def answer(self, answer: Answer) -> None:
        """Send an answer; ignored if the node has ended."""
        with contextlib.suppress(OSError):
            self.channel.sendall(encode_answer(answer))


LogFactory = Callable[[NodeBoundDisk, str, ClockEra, bool], WritableLog]


def main(make_log: LogFactory = StateDirectory, disk_type: type[NodeBoundDisk] = NodeBoundDisk) -> None:
    """Run the writer process for the log that `make_log` returns, with inherited descriptors.

    The lock's descriptor only stays open: the lock is free once this process and the node have ended.
    """
    path, node, sync, channel_fd, _, boot, zero_ms = sys.argv[1:8]
    # Ignored: the node ends this process when the node itself ends, so that messages in progress are written.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    channel = socket.socket(fileno=int(channel_fd))
    is_synced = sync == "durable"
    log = make_log(disk_type(Path(path), channel), node, ClockEra(boot, float(zero_ms)), is_synced)
    WriterProcess(log, channel, is_synced).run()


if __name__ == "__main__":
    main()
