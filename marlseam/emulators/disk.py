"""A disk that is slow, hangs, fails or keeps its lock, behind the calls of a real node's writer process.

python -m marlseam.emulators.disk serve ...   a node whose writer process writes to such a disk
python -m marlseam.emulators.disk FOLDER ...   it, with the arguments of marlseam.store.writer_process

MARLSEAM_DISK holds the faults as JSON (`Faults`). A call that hangs, and a lock that is held on, end once the
file that MARLSEAM_DISK_OVER names is there, so that an experiment leaves no process behind.
"""

import errno
import os
import socket
import sys
import time
from pathlib import Path

import msgspec

from marlseam.simulation.model import NotNegative, Strict
from marlseam.store import writer_process
from marlseam.store.errors import NodeGoneError
from marlseam.store.writer_process import NodeBoundDisk

FAULTS, OVER = "MARLSEAM_DISK", "MARLSEAM_DISK_OVER"
LOOK_S = 0.02
ERRORS = {"full": errno.ENOSPC, "read-only": errno.EROFS, "broken": errno.EIO}


class Faults(Strict):
    """What is wrong with a disk, and for how long a dead node's writer process keeps the lock."""

    sync_s: NotNegative = 0.0  # that each sync takes
    hangs_after: int = 0  # syncs after which one never ends; 0: none does
    fails: str = ""  # how writes fail: full, read-only, broken
    every_s: NotNegative = 0.0  # they fail in the second half of each so long; 0: always
    linger_s: NotNegative = 0.0


def wait(until_s: float) -> None:
    """Wait until a time of the monotonic clock, or until the experiment is over."""
    over = os.environ.get(OVER)
    while time.monotonic() < until_s and not (over and Path(over).exists()):
        time.sleep(LOOK_S)


class Faulty(NodeBoundDisk):
    """A disk with faults."""

    def __init__(self, path: Path, channel: socket.socket) -> None:
        super().__init__(path, channel)
        self.faults = msgspec.json.decode(os.environ.get(FAULTS, "{}"), type=Faults)
        self.syncs = 0

    def bad(self) -> None:
        """Fail where it is time to."""
        faults = self.faults
        if faults.fails and (not faults.every_s or time.monotonic() % faults.every_s > faults.every_s / 2.0):
            number = ERRORS[faults.fails]
            raise OSError(number, os.strerror(number))

    def open(self, name: str) -> int:
        """Open a file to append to."""
        self.bad()
        return super().open(name)

    def write(self, descriptor: int, data: bytes) -> int:
        """Append some of the bytes."""
        self.bad()
        return super().write(descriptor, data)

    def slow(self) -> None:
        """Take the time that a sync takes."""
        self.syncs += 1
        hangs = 0 < self.faults.hangs_after < self.syncs
        wait(float("inf") if hangs else time.monotonic() + self.faults.sync_s)

    def sync(self, descriptor: int) -> None:
        """Have a file's bytes on the disk."""
        self.slow()
        super().sync(descriptor)

    def sync_folder(self) -> None:
        """Have the folder's names on the disk."""
        self.slow()
        super().sync_folder()

    def check_node(self) -> None:
        """Raise NodeGoneError where the node has ended, once the lock was held for so long."""
        try:
            super().check_node()
        except NodeGoneError:
            wait(time.monotonic() + self.faults.linger_s)
            raise


def main() -> None:
    """Run a node, or its writer process, by the arguments given."""
    if sys.argv[1:2] == ["serve"]:
        from marlseam.__main__ import main as marlseam
        from marlseam.store.state_store import StateStore

        StateStore.writer_module = "marlseam.emulators.disk"
        marlseam()
        return
    writer_process.main(disk_type=Faulty)


if __name__ == "__main__":
    main()
