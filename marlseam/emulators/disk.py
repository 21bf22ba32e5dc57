"""A node whose state is written to a faulty disk: slow, hanging, failing, or with a lock that is kept.

python -m marlseam.emulators.disk serve ...    runs such a node
python -m marlseam.emulators.disk FOLDER ...   runs its writer process, with the arguments of
                                               marlseam.store.writer_process

MARLSEAM_DISK holds the faults as JSON (`DiskFaults`). A call that hangs, and a lock that is kept, end once
the file that MARLSEAM_DISK_OVER names exists, so that an experiment leaves no process behind.
"""

import errno
import os
import socket
import sys
import time
from math import inf
from pathlib import Path

import msgspec

from marlseam.simulation.model import NotNegative, Strict
from marlseam.store import writer_process
from marlseam.store.errors import NodeGoneError
from marlseam.store.writer_process import NodeBoundDisk

FAULTS_VARIABLE = "MARLSEAM_DISK"  # variable of the environment: the faults as JSON
# Variable of the environment: the file that exists once the experiment is over.
END_FILE_VARIABLE = "MARLSEAM_DISK_OVER"
POLL_S = 0.02  # how often that file is looked for
ERRORS = {"full": errno.ENOSPC, "read-only": errno.EROFS, "broken": errno.EIO}


class DiskFaults(Strict, frozen=True):
    """What is wrong with a disk; the fields are keys of experiment files.

    Attributes:
        sync_s: how long each sync takes, in seconds.
        hangs_after: how many syncs end before one that never does; 0: all end.
        fails: how writes fail: full, read-only or broken; empty: they do not.
        every_s: writes fail in the second half of each period of so many seconds; 0: always.
        linger_s: for how long the writer process of a node that has ended keeps the lock, in seconds.
    """

    sync_s: NotNegative = 0.0
    hangs_after: int = 0
    fails: str = ""
    every_s: NotNegative = 0.0
    linger_s: NotNegative = 0.0

    def is_failing(self, now_s: float) -> bool:
        """Return whether writes fail at a time of the monotonic clock."""
        if not self.fails:
            return False
        return not self.every_s or now_s % self.every_s > self.every_s / 2.0


def wait_until(end_s: float) -> None:
    """Wait until a time of the monotonic clock, or until the experiment is over."""
    end_file = os.environ.get(END_FILE_VARIABLE)
    while time.monotonic() < end_s and not (end_file and Path(end_file).exists()):
        time.sleep(POLL_S)


class FaultyDisk(NodeBoundDisk):
    """A disk with the faults that the environment names.

    Attributes:
        faults: what is wrong with it.
        sync_count: how many syncs were asked for.
    """

    def __init__(self, path: Path, channel: socket.socket) -> None:
        super().__init__(path, channel)
        self.faults: DiskFaults = msgspec.json.decode(os.environ.get(FAULTS_VARIABLE, "{}"), type=DiskFaults)
        self.sync_count = 0

    def _raise_if_failing(self) -> None:
        """Raise OSError while writes fail."""
        if self.faults.is_failing(time.monotonic()):
            number = ERRORS[self.faults.fails]
            raise OSError(number, os.strerror(number))

    def open(self, name: str) -> int:
        """Open a file to append to."""
        self._raise_if_failing()
        return super().open(name)

    def write(self, descriptor: int, data: bytes) -> int:
        """Append some of the bytes."""
        self._raise_if_failing()
        return super().write(descriptor, data)

    def _wait_for_sync(self) -> None:
        """Wait as long as a sync takes."""
        self.sync_count += 1
        hangs = 0 < self.faults.hangs_after < self.sync_count
        wait_until(inf if hangs else time.monotonic() + self.faults.sync_s)

    def sync(self, descriptor: int) -> None:
        """Make a file's bytes durable."""
        self._wait_for_sync()
        super().sync(descriptor)

    def sync_folder(self) -> None:
        """Make the names in the folder durable."""
        self._wait_for_sync()
        super().sync_folder()

    def check_node(self) -> None:
        """Raise NodeGoneError where the node has ended, after the time for which the lock is kept."""
        try:
            super().check_node()
        except NodeGoneError:
            wait_until(time.monotonic() + self.faults.linger_s)
            raise


def main() -> None:
    """Run a node, or its writer process, as the arguments say."""
    if sys.argv[1:2] == ["serve"]:
        from marlseam.__main__ import main as run_command
        from marlseam.store.state_store import StateStore

        StateStore.writer_module = "marlseam.emulators.disk"
        run_command()
        return
    writer_process.main(disk_type=FaultyDisk)


if __name__ == "__main__":
    main()
