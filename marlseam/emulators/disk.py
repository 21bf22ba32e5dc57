"""A node with a faulty state disk: syncs are slow or hang, writes fail, or the lock is held too long.

python -m marlseam.emulators.disk serve ...    runs the node
python -m marlseam.emulators.disk FOLDER ...   runs the node's writer process, with the arguments of
                                               marlseam.store.writer_process

MARLSEAM_DISK holds the faults as JSON (`DiskFaults`). A sync that hangs returns, and a held lock is released,
once the file that MARLSEAM_DISK_OVER names exists, so that an experiment leaves no process behind.
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

FAULTS_VARIABLE = "MARLSEAM_DISK"  # environment variable: the faults as JSON
# Environment variable: the path of a file that exists once the experiment is over.
END_FILE_VARIABLE = "MARLSEAM_DISK_OVER"
END_FILE_CHECK_INTERVAL_S = 0.02  # interval at which the file of END_FILE_VARIABLE is looked for
ERRORS = {"full": errno.ENOSPC, "read-only": errno.EROFS, "broken": errno.EIO}


class DiskFaults(Strict, frozen=True):
    """The faults of a disk; the fields are keys of experiment files.

    Attributes:
        sync_s: how long each sync takes, in seconds.
        hangs_after: the number of syncs that return before all later ones hang; 0: no sync hangs.
        fails: how opening a file and writing fail: full, read-only or broken; empty: they do not fail.
        every_s: the period in seconds in whose second half these calls fail; 0: they fail at all times.
        linger_s: for how long the writer process of a node that has ended holds the lock, in seconds.
    """

    sync_s: NotNegative = 0.0
    hangs_after: int = 0
    fails: str = ""
    every_s: NotNegative = 0.0
    linger_s: NotNegative = 0.0

    def is_failing(self, now_s: float) -> bool:
        """Return whether writes fail at `now_s`, in seconds of the monotonic clock."""
        if not self.fails:
            return False
        return not self.every_s or now_s % self.every_s > self.every_s / 2.0


def sleep_until(end_s: float) -> None:
    """Sleep until `end_s`, in seconds of the monotonic clock, or until the experiment is over."""
    end_file = os.environ.get(END_FILE_VARIABLE)
    while time.monotonic() < end_s and not (end_file and Path(end_file).exists()):
        time.sleep(END_FILE_CHECK_INTERVAL_S)


class FaultyDisk(NodeBoundDisk):
    """A disk with the faults that MARLSEAM_DISK holds; without that variable it has none.

    Attributes:
        faults: the faults.
        sync_count: the number of syncs that were called.
    """

    def __init__(self, path: Path, channel: socket.socket) -> None:
        super().__init__(path, channel)
        self.faults: DiskFaults = msgspec.json.decode(os.environ.get(FAULTS_VARIABLE, "{}"), type=DiskFaults)
        self.sync_count = 0

    def _raise_if_failing(self) -> None:
        """Raise OSError with the errno of the fault while writes fail."""
        if self.faults.is_failing(time.monotonic()):
            number = ERRORS[self.faults.fails]
            raise OSError(number, os.strerror(number))

    def open(self, name: str) -> int:
        """Open a file to append to, or raise the injected OSError."""
        self._raise_if_failing()
        return super().open(name)

    def write(self, descriptor: int, data: bytes) -> int:
        """Append bytes to a file and return how many were written, or raise the injected OSError."""
        self._raise_if_failing()
        return super().write(descriptor, data)

    def _delay_sync(self) -> None:
        """Count a sync, and sleep as long as the faults make the sync take."""
        self.sync_count += 1
        hangs = 0 < self.faults.hangs_after < self.sync_count
        sleep_until(inf if hangs else time.monotonic() + self.faults.sync_s)

    def sync(self, descriptor: int) -> None:
        """Flush a file's bytes to the disk, after the injected delay."""
        self._delay_sync()
        super().sync(descriptor)

    def sync_folder(self) -> None:
        """Flush the directory's names to the disk, after the injected delay."""
        self._delay_sync()
        super().sync_folder()

    def check_node(self) -> None:
        """Raise NodeGoneError if the node has ended, after holding the lock for `linger_s`."""
        try:
            super().check_node()
        except NodeGoneError:
            sleep_until(time.monotonic() + self.faults.linger_s)
            raise


def main() -> None:
    """Run a node if the first argument is `serve`, else the writer process of a node."""
    if sys.argv[1:2] == ["serve"]:
        from marlseam.__main__ import main as run_command
        from marlseam.store.state_store import StateStore

        StateStore.writer_module = "marlseam.emulators.disk"
        run_command()
        return
    writer_process.main(disk_type=FaultyDisk)


if __name__ == "__main__":
    main()
