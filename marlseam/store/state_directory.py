"""A node's state directory: which files there are, and how they are written and replaced.

    lock         held by the process that writes here (flock)
    snapshot-N   the state when journal N was begun; the last good one before it is left there too
    journal-N    what has happened since

A snapshot is written under another name (`.new`), synced and renamed, and the directory is synced; then a
journal of the same number begins. `state_reader` reads both back. A file that cannot be used is reported with
its code, renamed to `bad-...` once a new snapshot is durable, and never read again.
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
    """The files of one node; a process that writes here holds the directory's lock.

    Attributes:
        era: the scale of the times that are passed in, returned and written.
        number: of the newest snapshot or journal.
        size: of the open journal, in bytes.
        findings: what the last reading found wrong.
        unusable: the names of files that the last reading could not use.
        owner: the node whose files were read, empty where none was.
    """

    def __init__(
        self, disk: Disk, node: str | None, era: ClockEra | None = None, outlives_machine: bool = True
    ) -> None:
        """Open nothing yet.

        `node` is whose files these are, None to read any node's. `era` of None takes the present one.
        `outlives_machine` says whether what was written is there after the machine has been started anew, as
        it was synced.
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
        """Return the numbers of the files of a kind, in order."""
        return file_numbers(self.disk, kind)

    # Reading.

    def load(self, now_ms: float) -> NodeState:
        """Return the state as of now (Unix ms); raises OSError where it cannot be read."""
        steps = self.read(now_ms)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                state: NodeState = end.value
                return state

    def read(self, now_ms: float) -> Generator[None, None, NodeState]:
        """Return the state, read in steps; raises OSError where it cannot be read."""
        reader = StateReader(self.disk, self.node, self.era, self.outlives_machine)
        self.findings, self.unusable = reader.findings, reader.unusable
        state = yield from reader.read(now_ms)
        self.number, self.owner = reader.last_number, reader.owner or self.owner
        return state

    # Writing.

    def snapshot(self, frames: list[bytes], now_ms: float) -> None:
        """Write a snapshot, begin the journal after it, and remove the files that both replace."""
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

    def renew(self) -> list[str]:
        """Write a snapshot of what the directory holds; return what of it is lost, a text for each loss."""
        now = unix_ms(self.era)
        state = self.load(now)
        self.snapshot(encode_records(state.entries()), now)
        return [finding.text for finding in self.findings if finding.code == "lost"]

    def append(self, parts: list[bytes], sync: bool) -> None:
        """Append frames to the journal and, if wished, flush them to the disk; raises OSError."""
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
        """Return the header of a file that is written here."""
        return FileHeader(kind, FORMAT_VERSION, self.node or "", number, now_ms, *self.era)

    def _begin_journal(self, now_ms: float) -> None:
        """Begin the journal of the present number."""
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

        Not before a snapshot notes what was lost: until then they are the only sign of it.
        """
        for name in self.unusable:
            self.disk.rename(name, f"bad-{name}")
        self.unusable = set()

    def _remove_old(self) -> None:
        """Remove all but the newest snapshots, the journals before these, and files left half written."""
        retained = self.files(SNAPSHOT)[-SNAPSHOTS_RETAINED:]
        in_progress = file_name(SNAPSHOT, self.number + 1) + UNFINISHED_SUFFIX
        for name in self.disk.names():
            match = FILE_NAME.match(name)
            is_old = match is not None and bool(retained) and int(match[2]) < retained[0]
            if is_old or (name.endswith(UNFINISHED_SUFFIX) and name != in_progress):
                self.disk.remove(name)


def create_state(path: Path, node: str) -> None:
    """Create the state of a node that has never run, under the directory's lock.

    Raises FileExistsError where there is any state, and OSError as the disk has it.
    """
    with directory_lock(path):
        directory = StateDirectory(Disk(path), node)
        if directory.files(SNAPSHOT) or directory.files(JOURNAL):
            raise FileExistsError(errno.EEXIST, "there is a state")
        directory.snapshot([], unix_ms(directory.era))
        directory.close()
