"""A node's state folder: which files there are, how they are written, read back and replaced.

lock held by whoever writes here (flock) snapshot-N the state when journal N began; the last good one before
it is kept too journal-N what has happened since

A snapshot is written beside (`.new`), synced, renamed, and the folder synced; then a journal of the same
number begins. At a start the newest whole snapshot is read, and the journals from its number on, in order, up
to the first frame that cannot be read. What cannot be used is renamed to `bad-...`, told of with its code,
and never read again.
"""

import errno
import fcntl
import os
import re
from dataclasses import dataclass
from pathlib import Path

from marlseam.store import format as form
from marlseam.store.format import Unusable
from marlseam.store.state import State

NAME = re.compile(r"(snapshot|journal)-(\d{10})$")
KEPT = 2  # snapshots
CLOCK_MS = 1000.0  # by which clocks may differ
CODES = {
    errno.ENOSPC: "full", errno.EDQUOT: "full", errno.EROFS: "read-only", errno.EACCES: "read-only",
    errno.EPERM: "read-only", errno.ENOENT: "vanished", errno.EIO: "broken", errno.ESTALE: "vanished",
    errno.ENOTDIR: "vanished", errno.EAGAIN: "locked", errno.ENOSYS: "unsupported",
    errno.EINVAL: "unsupported",
}  # fmt: skip


class Disk:
    """The system calls that a folder makes; tests put one in its place that fails."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def names(self) -> list[str]:
        """Return the names in the folder."""
        return os.listdir(self.path)

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""
        return (self.path / name).read_bytes()

    def open(self, name: str) -> int:
        """Open a file to append to, made if there is none."""
        return os.open(self.path / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def write(self, fd: int, data: bytes) -> int:
        """Append some of the bytes; return how many."""
        return os.write(fd, data)

    def sync(self, fd: int) -> None:
        """Have a file's bytes on the disk."""
        os.fdatasync(fd)

    def close(self, fd: int) -> None:
        """Close a file."""
        os.close(fd)

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.unlink(self.path / name)

    def sync_folder(self) -> None:
        """Have the folder's names on the disk."""
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def lock(path: Path) -> int:
    """Take a folder's lock, and return its descriptor.

    Raises OSError with EAGAIN where another process has it.
    """
    path.mkdir(parents=True, exist_ok=True, mode=0o700)
    fd = os.open(path / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(fd)
        raise
    return fd


def code_of(error: OSError) -> str:
    """Return the reason code of a failed call."""
    return CODES.get(error.errno, "broken")


@dataclass(frozen=True)
class Finding:
    """Something wrong with a file: its code and a text for staff."""

    name: str
    code: str
    text: str


class Folder:
    """The files of one node. Whoever uses it holds the lock."""

    def __init__(self, disk: Disk, node: str | None) -> None:
        self.disk, self.node = disk, node
        self.number = 0
        self.fd: int | None = None
        self.size = 0  # of the journal in hand, in bytes
        self.findings: list[Finding] = []

    def files(self, kind: str) -> list[int]:
        """Return the numbers of the files of a kind, in order."""
        found = (NAME.match(name) for name in self.disk.names())
        return sorted(int(m[2]) for m in found if m and m[1] == kind)

    def load(self, now_ms: float, change: bool = True) -> State:
        """Read the state back; with `change` what cannot be used is set aside.

        Raises OSError where nothing can be read.
        """
        state, start = State(), 0
        for number in reversed(self.files("snapshot")):
            name = f"snapshot-{number:010d}"
            try:
                head, entries = form.read_snapshot(self.disk.read(name), self.node)
            except Unusable as error:
                self.aside(name, error.code, str(error), change)
                continue
            for entry in entries:
                state.apply(entry)
            start = number
            if head.created_ms > now_ms + CLOCK_MS:
                ahead = (head.created_ms - now_ms) / 1000.0
                self.findings.append(
                    Finding(name, "clock", f"written {ahead:.0f} s from now: the clock was set back")
                )
            break
        journals = [number for number in self.files("journal") if number >= start]
        for number in journals:
            name = f"journal-{number:010d}"
            try:
                _, entries, left = form.read(self.disk.read(name), "journal", self.node)
            except Unusable as error:
                # An empty or headless newest journal is what a crash leaves at its begin, and no loss.
                self.aside(name, error.code, str(error), change)
                continue
            for entry in entries:
                state.apply(entry)
            if left:
                self.findings.append(Finding(name, "torn", f"{left} bytes at its end left out"))
                if number != journals[-1]:
                    break  # what comes later may stand on what is missing here
        self.number = max([start, *journals, *self.files("snapshot")], default=0)
        state.expire(now_ms)
        return state

    def aside(self, name: str, code: str, text: str, change: bool) -> None:
        """Set a file aside that cannot be used."""
        self.findings.append(Finding(name, code, text))
        if change:
            try:
                self.disk.rename(name, f"bad-{name}")
            except OSError as error:
                self.findings.append(Finding(name, code_of(error), "could not be set aside"))

    def write_all(self, fd: int, data: bytes) -> None:
        """Append all of some bytes."""
        view = memoryview(data)
        while view:
            count = self.disk.write(fd, bytes(view))
            if not count:
                raise OSError(errno.ENOSPC, "nothing was written")
            view = view[count:]

    def snapshot(self, frames: list[bytes], now_ms: float) -> None:
        """Write a snapshot, begin the journal after it, and drop what both make needless."""
        self.close()
        number = self.number + 1
        name = f"snapshot-{number:010d}"
        fd = self.disk.open(name + ".new")
        try:
            self.write_all(fd, form.snapshot(self.node, number, now_ms, frames))
            self.disk.sync(fd)
        finally:
            self.disk.close(fd)
        self.disk.rename(name + ".new", name)
        self.disk.sync_folder()
        self.number = number
        self.begin(now_ms)
        self.drop_old()

    def begin(self, now_ms: float) -> None:
        """Begin the journal of the present number."""
        fd = self.disk.open(f"journal-{self.number:010d}")
        try:
            data = form.begin("journal", self.node, self.number, now_ms)
            self.write_all(fd, data)
            self.disk.sync(fd)
            self.disk.sync_folder()
        except OSError:
            self.disk.close(fd)
            raise
        self.fd, self.size = fd, len(data)

    def append(self, data: bytes, sync: bool) -> None:
        """Append frames to the journal and, if wished, have them on the disk."""
        if self.fd is None:
            raise OSError(errno.ENOENT, "no journal is open")
        self.write_all(self.fd, data)
        self.size += len(data)
        if sync:
            self.disk.sync(self.fd)

    def drop_old(self) -> None:
        """Remove snapshots but the newest ones, journals before the older of these.

        And what was left half written.
        """
        kept = self.files("snapshot")[-KEPT:]
        for name in self.disk.names():
            m = NAME.match(name)
            old = m is not None and kept and int(m[2]) < kept[0]
            if old or (name.endswith(".new") and name != f"snapshot-{self.number + 1:010d}.new"):
                self.disk.remove(name)

    def close(self) -> None:
        """Close the journal."""
        if self.fd is not None:
            fd, self.fd = self.fd, None
            self.disk.close(fd)
