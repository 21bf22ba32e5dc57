"""A node's state directory: its files, and how they are written and replaced.

    lock         locked by the process that writes here (flock)
    snapshot-N   the state when journal N was begun; the previous snapshot is retained too
    journal-N    the records since snapshot N

A snapshot is written under a temporary name (`.new`), synced and renamed, and the directory is synced; then a
journal of the same number is begun. `state_reader` reads both. A file that cannot be used is reported with a
code, renamed to `bad-...` once a new snapshot is durable, and never read again.
"""

import errno
from collections.abc import Generator
from pathlib import Path

from marlseam.store.clock_era import ClockEra, current_era, unix_ms
from marlseam.store.disk import Disk, directory_lock, write_all
from marlseam.store.errors import Finding
from marlseam.store.file_format import (
    FORMAT_VERSION,
    FileHeader,
    encode_header,
    encode_records,
    encode_snapshot,
)
from marlseam.store.node_state import NodeState
from marlseam.store.state_reader import FILE_NAME, JOURNAL, SNAPSHOT, StateReader, file_name, file_numbers

SNAPSHOTS_RETAINED = 2
UNFINISHED_SUFFIX = ".new"


class StateDirectory:
    """The state files of one node; only a process with the directory's lock may write them.

    Attributes:
        era: the clock era of all times that are passed in, returned and written.
        number: the number of the newest snapshot or journal.
        size: the size of the open journal in bytes.
        findings: faults found by the last read.
        unusable: the names of files that the last read could not use.
        owner: the node whose files were read, empty if none was read.
    """

    def __init__(
        self, disk: Disk, node: str | None, era: ClockEra | None = None, outlives_machine: bool = True
    ) -> None:
        """Set up the directory without opening a file.

        `node` is the node that the files belong to; None reads any node's. An `era` of None takes the current
        one. `outlives_machine` is whether written records survive a restart of the machine because they were
        synced.
        """
        self.disk, self.node, self.outlives_machine = disk, node, outlives_machine
        self.era = era or current_era()
        self.number = 0
        self.fd: int | None = None  # of the open journal
        self.size = 0
        self.findings: list[Finding] = []
        self.unusable: set[str] = set()
        self.owner = ""

    def files(self, kind: str) -> list[int]:
        """Return the numbers of the files of a kind, in ascending order."""
        return file_numbers(self.disk, kind)

    # Reading.

    def load(self, now_ms: float) -> NodeState:
        """Return the state as of now (Unix ms); raises OSError if the directory cannot be read."""
        steps = self.read(now_ms)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                state: NodeState = end.value
                return state

    def read(self, now_ms: float) -> Generator[None, None, NodeState]:
        """Read the state in steps and return it; raises OSError if the directory cannot be read."""
        reader = StateReader(self.disk, self.node, self.era, self.outlives_machine)
        self.findings, self.unusable = reader.findings, reader.unusable
        state = yield from reader.read(now_ms)
        self.number, self.owner = reader.last_number, reader.owner or self.owner
        return state

    # Writing.

    def snapshot(self, frames: list[bytes], now_ms: float) -> None:
        """Write a snapshot, begin its journal, and remove the files that both replace; raises OSError."""
        self.close()
        number = self.number + 1
        name = file_name(SNAPSHOT, number)
        fd = self.disk.open(name + UNFINISHED_SUFFIX)
        try:
            write_all(self.disk, fd, encode_snapshot(self._header(SNAPSHOT, number, now_ms), frames))
            self.disk.sync(fd)
        finally:
            self.disk.close(fd)
        self.disk.rename(name + UNFINISHED_SUFFIX, name)
        self.disk.sync_folder()
        self.number = number
        self._begin_journal(now_ms)
        self._rename_unusable()
        self._remove_old()

    def compact(self) -> list[str]:
        """Write a snapshot of the directory's content; return a string for each loss found while reading."""
        now = unix_ms(self.era)
        state = self.load(now)
        self.snapshot(encode_records(state.entries()), now)
        return [finding.text for finding in self.findings if finding.code == "lost"]

    def append(self, parts: list[bytes], sync: bool) -> None:
        """Append frames to the journal and flush them to the disk if `sync` is set; raises OSError."""
        if self.fd is None:
            raise OSError(errno.ENOENT, "no journal is open")
        data = b"".join(parts)
        write_all(self.disk, self.fd, data)
        self.size += len(data)
        if sync:
            self.disk.sync(self.fd)

    def close(self) -> None:
        """Close the journal."""
        if self.fd is not None:
            fd, self.fd = self.fd, None
            self.disk.close(fd)

    def _header(self, kind: str, number: int, now_ms: float) -> FileHeader:
        """Return the header of a new file."""
        return FileHeader(kind, FORMAT_VERSION, self.node or "", number, now_ms, *self.era)

    def _begin_journal(self, now_ms: float) -> None:
        """Create the journal with the current number, and open it for appending."""
        fd = self.disk.open(file_name(JOURNAL, self.number))
        try:
            data = encode_header(self._header(JOURNAL, self.number, now_ms))
            write_all(self.disk, fd, data)
            self.disk.sync(fd)
            self.disk.sync_folder()
        except OSError:
            self.disk.close(fd)
            raise
        self.fd, self.size = fd, len(data)

    def _rename_unusable(self) -> None:
        """Rename the files that cannot be used.

        Call this only once a snapshot records the loss: until then, these files are the only evidence of it.
        """
        for name in self.unusable:
            self.disk.rename(name, f"bad-{name}")
        self.unusable = set()

    def _remove_old(self) -> None:
        """Remove all but the newest snapshots, the journals before these, and unfinished snapshots."""
        retained = self.files(SNAPSHOT)[-SNAPSHOTS_RETAINED:]
        in_progress = file_name(SNAPSHOT, self.number + 1) + UNFINISHED_SUFFIX
        for name in self.disk.names():
            match = FILE_NAME.match(name)
            is_old = match is not None and bool(retained) and int(match[2]) < retained[0]
            if is_old or (name.endswith(UNFINISHED_SUFFIX) and name != in_progress):
                self.disk.remove(name)


def create_state(path: Path, node: str) -> None:
    """Create the state of a node that has never run, under the directory's lock.

    Raises FileExistsError if the directory has any state, and OSError if a disk call fails.
    """
    with directory_lock(path):
        directory = StateDirectory(Disk(path), node)
        if directory.files(SNAPSHOT) or directory.files(JOURNAL):
            raise FileExistsError(errno.EEXIST, "the directory already has a state")
        directory.snapshot([], unix_ms(directory.era))
        directory.close()
