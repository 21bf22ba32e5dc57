"""The process that writes a node's state, so that a slow disk never stalls the node's loop.

python -m marlseam.store.writer_process FOLDER NODE SYNC CHANNEL LOCK BOOT ZERO

Messages on the channel, a Unix stream: one byte (A append, C compact what is there, E end), four bytes of
length, a payload: frames as they go into the journal. All appends that wait are written at once and synced
once. Answers are lines of JSON: {"done": N} with the number of messages that are where they should be, and
the journal's size; {"failed": CODE, "text": ...} after which appends are dropped until what the folder holds
is compacted. What this process has not said is done has not let anything out, so where the node is gone
without an `E` nothing more is written: the lock is free after the call to the disk that is under way.
"""

import contextlib
import json
import select
import signal
import socket
import struct
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from marlseam.store.state_directory import ClockEra, Disk, StateDirectory, code_of

HEAD = struct.Struct(">BI")
APPEND, COMPACT, END = ord("A"), ord("C"), ord("E")
READ = 1 << 20


class NodeGoneError(Exception):
    """The node has ended without a word."""


class NodeBoundDisk(Disk):
    """The disk for as long as the node lives, which is looked at before each call that takes long."""

    def __init__(self, path: Path, channel: socket.socket) -> None:
        super().__init__(path)
        self.poll = select.poll()
        self.poll.register(channel, 0)

    def look(self) -> None:
        """Raise Gone where the node has ended.

        Guards the next life: a backlog of syncs, four of them for a snapshot, once held the lock for seconds.
        """
        if self.poll.poll(0):
            raise NodeGoneError

    def open(self, name: str) -> int:
        """Open a file to append to, made if there is none."""
        self.look()
        return super().open(name)

    def sync(self, fd: int) -> None:
        """Have a file's bytes on the disk."""
        self.look()
        super().sync(fd)

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        self.look()
        super().rename(old, new)

    def sync_folder(self) -> None:
        """Have the folder's names on the disk."""
        self.look()
        super().sync_folder()


class WritableLog(Protocol):
    """What is written to: a state folder, or a ledger."""

    size: int  # of the file in hand, in bytes

    def append(self, parts: list[bytes], sync: bool) -> None:
        """Append what came, and if wished have it on the disk."""

    def renew(self) -> list[str]:
        """Begin anew with what is there; return what of it is lost."""

    def close(self) -> None:
        """Close what is open."""


class WriterProcess:
    """Carries out messages and says what came of them."""

    def __init__(self, folder: WritableLog, channel: socket.socket, sync: bool) -> None:
        self.folder, self.channel, self.sync = folder, channel, sync
        self.rest, self.count = b"", 0
        self.failed = True  # until what is there is compacted there is no journal
        self.ended = False

    def run(self) -> None:
        """Work until the node says so, or is gone."""
        with contextlib.suppress(NodeGoneError):
            while not self.ended and (data := self.channel.recv(READ)):
                self.rest += data
                while select.select([self.channel], [], [], 0.0)[0] and (more := self.channel.recv(READ)):
                    self.rest += more
                self.work()
        self.folder.close()

    def work(self) -> None:
        """Carry out the messages that have come whole."""
        appended: list[bytes] = []
        while len(self.rest) >= HEAD.size:
            what, length = HEAD.unpack_from(self.rest)
            if len(self.rest) < HEAD.size + length:
                break
            payload = self.rest[HEAD.size : HEAD.size + length]
            self.rest = self.rest[HEAD.size + length :]
            if what == APPEND:
                appended.append(payload)
                continue
            self.append(appended)
            appended = []
            if what == COMPACT:
                self.compact()
            else:
                self.ended = True
        self.append(appended)

    def append(self, parts: list[bytes]) -> None:
        """Append what came together, and sync once."""
        if not parts:
            return
        self.count += len(parts)
        if self.failed:
            return
        try:
            self.folder.append(parts, self.sync)
        except OSError as error:
            self.fail(error)
        else:
            self.say({"done": self.count, "size": self.folder.size})

    def compact(self) -> None:
        """Begin anew with what the folder holds.

        After a failure this is the way back: all that has let something out is there.
        """
        self.count += 1
        try:
            lost = self.folder.renew()
        except OSError as error:
            self.fail(error)
        else:
            self.failed = False
            self.say({"done": self.count, "size": self.folder.size, "lost": lost})

    def fail(self, error: OSError) -> None:
        """Say that the disk does not serve."""
        self.failed = True
        with contextlib.suppress(OSError):
            self.folder.close()
        self.say({"failed": code_of(error), "text": error.strerror or str(error), "done": self.count})

    def say(self, row: dict) -> None:
        """Write an answer; a node that is gone needs none."""
        with contextlib.suppress(OSError):
            self.channel.sendall(json.dumps(row).encode() + b"\n")


def main(
    make: Callable[[NodeBoundDisk, str, ClockEra, bool], WritableLog] = StateDirectory,
    disk: type[NodeBoundDisk] = NodeBoundDisk,
) -> None:
    """Run the helper of what `make` returns on inherited descriptors.

    It holds the lock for as long as it runs.
    """
    path, node, sync, channel, _, boot, zero = sys.argv[1:8]
    # The node's own end tells this process to end, so that what is under way is written.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    ours, durable = socket.socket(fileno=int(channel)), sync == "durable"
    folder = make(disk(Path(path), ours), node, ClockEra(boot, float(zero)), durable)
    WriterProcess(folder, ours, durable).run()


if __name__ == "__main__":
    main()
