"""The process that writes a node's state, so that a slow disk never stalls the node's loop.

python -m marlseam.store.helper FOLDER NODE SYNC CHANNEL LOCK

Messages on the channel, a Unix stream: one byte (A append, S snapshot, C compact what is there), four bytes
of length, a payload: frames as they go into the journal, or for a snapshot a MessagePack list of them. All
appends that wait are written at once and synced once. Answers are lines of JSON: {"done": N} with the number
of messages that are where they should be, and the journal's size; {"failed": CODE, "text": ...} after which
appends are dropped until a snapshot succeeds.
"""

import contextlib
import json
import select
import signal
import socket
import struct
import sys
import time
from pathlib import Path

import msgspec

from marlseam.store import format as form
from marlseam.store.folder import Disk, Folder, code_of

HEAD = struct.Struct(">BI")
APPEND, SNAPSHOT, COMPACT = ord("A"), ord("S"), ord("C")
READ = 1 << 20


class Helper:
    """Carries out messages and says what came of them."""

    def __init__(self, folder: Folder, channel: socket.socket, sync: bool) -> None:
        self.folder, self.channel, self.sync = folder, channel, sync
        self.rest, self.count, self.failed = b"", 0, True  # until the first snapshot there is no journal

    def run(self) -> None:
        """Work until the node closes the channel."""
        while data := self.channel.recv(READ):
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
            else:
                self.append(appended)
                appended = []
                given = msgspec.msgpack.decode(payload, type=list[bytes]) if what == SNAPSHOT else None
                self.snapshot(given)
        self.append(appended)

    def append(self, parts: list[bytes]) -> None:
        """Append what came together, and sync once."""
        if not parts:
            return
        self.count += len(parts)
        if self.failed:
            return
        try:
            self.folder.append(b"".join(parts), self.sync)
        except OSError as error:
            self.fail(error)
        else:
            self.say({"done": self.count, "size": self.folder.size})

    def snapshot(self, frames: list[bytes] | None) -> None:
        """Write a snapshot, of what the folder holds where none is given.

        After a failure this is the way back.
        """
        self.count += 1
        try:
            if frames is None:
                state = self.folder.load(time.time() * 1000.0, change=False)
                frames = form.frames(state.entries())
            self.folder.snapshot(frames, time.time() * 1000.0)
        except OSError as error:
            self.fail(error)
        else:
            self.failed = False
            self.say({"done": self.count, "size": self.folder.size})

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


def main() -> None:
    """Run the helper on inherited descriptors; the lock is held for as long as it runs."""
    folder, node, sync, channel, _ = sys.argv[1:6]
    # The node's own end tells this process to end, so that what is under way is written.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    made = Folder(Disk(Path(folder)), node)
    with contextlib.suppress(OSError):
        made.number = max([0, *made.files("snapshot"), *made.files("journal")])
    Helper(made, socket.socket(fileno=int(channel)), sync == "durable").run()


if __name__ == "__main__":
    main()
