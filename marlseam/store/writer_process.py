"""The process that writes a node's state, so that a slow disk never stalls the node's loop.

That of the ledger is `ledger_writer`.

    python -m marlseam.store.writer_process FOLDER NODE SYNC CHANNEL LOCK BOOT ZERO

`writer_channel` has the messages. All appends that wait are written at once and synced once. What this
process has not answered for has not let any request out, so where the node is gone without END nothing more
is written: the lock is free after the disk call that is under way.
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
    """A disk that is written to only as long as the node lives, which is checked before each slow call."""

    def __init__(self, path: Path, channel: socket.socket) -> None:
        super().__init__(path)
        self.poll = select.poll()
        self.poll.register(channel, 0)

    def check_node(self) -> None:
        """Raise NodeGoneError where the node has ended.

        Guards the node's next start against a lock that a backlog of syncs, four for a snapshot, holds for
        seconds.
        """
        if self.poll.poll(0):
            raise NodeGoneError

    def open(self, name: str) -> int:
        """Open a file to append to, created if there is none; return its descriptor."""
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
    """What is written to: a state directory or a ledger.

    Attributes:
        size: of the open file, in bytes.
    """

    size: int

    def append(self, parts: list[bytes], sync: bool) -> None:
        """Append what came, and if wished flush it to the disk."""

    def renew(self) -> list[str]:
        """Begin a new file with what is there; return what of it is lost."""

    def close(self) -> None:
        """Close what is open."""


class WriterProcess:
    """Carries out the node's messages and answers what came of them.

    Attributes:
        log: the directory that is written.
        channel: the stream to the node.
        is_synced: whether each append is flushed to the disk before it is answered.
        done_count: how many messages were taken so far.
        is_failed: whether appends are dropped: until the first compaction, and after a failure.
        is_ended: whether the node has said that this process ends.
    """

    def __init__(self, log: WritableLog, channel: socket.socket, is_synced: bool) -> None:
        self.log, self.channel, self.is_synced = log, channel, is_synced
        self.messages = MessageBuffer()
        self.done_count = 0
        self.is_failed = True
        self.is_ended = False

    def run(self) -> None:
        """Work until the node says so, or is gone."""
        with contextlib.suppress(NodeGoneError):
            while not self.is_ended and (data := self.channel.recv(MAX_RECEIVE_BYTES)):
                self.messages.feed(data)
                self.receive_waiting()
                self.carry_out_messages()
        self.log.close()

    def receive_waiting(self) -> None:
        """Take in what else has come by now."""
        while select.select([self.channel], [], [], 0.0)[0]:
            data = self.channel.recv(MAX_RECEIVE_BYTES)
            if not data:
                return
            self.messages.feed(data)

    def carry_out_messages(self) -> None:
        """Carry out the messages that have come whole, appends that follow each other together."""
        appends: list[bytes] = []
        while (message := self.messages.next_message()) is not None:
            if message.command == APPEND:
                appends.append(message.payload)
                continue
            self.append(appends)
            appends = []
            self.carry_out(message)
        self.append(appends)

    def carry_out(self, message: Message) -> None:
        """Carry out a message that is no append."""
        if message.command == COMPACT:
            self.compact()
        else:
            self.is_ended = True

    def append(self, parts: list[bytes]) -> None:
        """Append what came together, and sync once."""
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
        """Begin a new file with what the directory holds.

        After a failure this is the way back: all that has let a request out is there.
        """
        self.done_count += 1
        try:
            losses = self.log.renew()
        except OSError as error:
            self.report_failure(error)
        else:
            self.is_failed = False
            self.answer(Written(self.done_count, self.log.size, losses))

    def report_failure(self, error: OSError) -> None:
        """Close what is open and answer that a disk call failed."""
        self.is_failed = True
        with contextlib.suppress(OSError):
            self.log.close()
        self.answer(WriteFailed(self.done_count, code_of(error), error.strerror or str(error)))

    def answer(self, answer: Answer) -> None:
        """Write an answer; a node that is gone needs none."""
        with contextlib.suppress(OSError):
            self.channel.sendall(encode_answer(answer))


LogFactory = Callable[[NodeBoundDisk, str, ClockEra, bool], WritableLog]


def main(make_log: LogFactory = StateDirectory, disk_type: type[NodeBoundDisk] = NodeBoundDisk) -> None:
    """Run the writer process of what `make_log` returns, on inherited descriptors.

    The lock's descriptor is only held: the lock is free once this process and the node have ended.
    """
    path, node, sync, channel_fd, _, boot, zero_ms = sys.argv[1:8]
    # The node's own end tells this process to end, so that what is under way is written.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    channel = socket.socket(fileno=int(channel_fd))
    is_synced = sync == "durable"
    log = make_log(disk_type(Path(path), channel), node, ClockEra(boot, float(zero_ms)), is_synced)
    WriterProcess(log, channel, is_synced).run()


if __name__ == "__main__":
    main()
