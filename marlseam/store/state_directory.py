"""A node's state folder: which files there are, how they are written, read back and replaced.

lock held by whoever writes here (flock) snapshot-N the state when journal N began; the last good one before
it is kept too journal-N what has happened since

A snapshot is written beside (`.new`), synced, renamed, and the folder synced; then a journal of the same
number begins. At a start the newest whole snapshot is read, and the journals from its number on, in order, up
to the first frame that cannot be read. Reading changes nothing. What cannot be used is told of with its code,
renamed to `bad-...` once a new snapshot stands, and never read again.

Where anything that may have been kept is not there (a file that cannot be used, bytes that a crash does not
explain, a folder without any snapshot), what may have run before is not known, and the state says so.
"""

import errno
import fcntl
import os
import re
import time
from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from marlseam.store import file_format as form
from marlseam.store.file_format import UnusableFileError
from marlseam.store.node_state import NodeState

NAME = re.compile(r"(snapshot|journal)-(\d{10})$")
KEPT = 2  # snapshots
CLOCK_MS = 1000.0  # by which clocks may differ
BOOT = Path("/proc/sys/kernel/random/boot_id")
CODES = {
    errno.ENOSPC: "full",
    errno.EDQUOT: "full",
    errno.EROFS: "read-only",
    errno.EACCES: "read-only",
    errno.EPERM: "read-only",
    errno.ENOENT: "vanished",
    errno.EIO: "broken",
    errno.ESTALE: "vanished",
    errno.ENOTDIR: "vanished",
    errno.EAGAIN: "locked",
    errno.ENOSYS: "unsupported",
    errno.EINVAL: "unsupported",
    errno.EFBIG: "full",
}


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

    def identity(self, name: str) -> tuple[int, float]:
        """Return a file's number in its file system, and when it was last changed in any way (Unix ms)."""
        found = os.stat(self.path / name)
        return found.st_ino, found.st_ctime_ns / 1e6

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


class ClockEra(NamedTuple):
    """Which start of the machine it is, and the Unix ms at that start by the clock of whoever writes.

    Times told in one start can be compared whatever becomes of the clock; those of two cannot.
    """

    boot: str
    zero_ms: float


def era(unix_ms: float | None = None) -> ClockEra:
    """Return the present era; `unix_ms` is what the writer's clock says now, by default the system's."""
    try:
        boot = BOOT.read_text().strip()
    except OSError:
        boot = ""  # no start of the machine is known for the same as another
    since_ms = 1000.0 * time.clock_gettime(time.CLOCK_BOOTTIME)
    return ClockEra(boot, (1000.0 * time.time() if unix_ms is None else unix_ms) - since_ms)


def unix_ms(of: ClockEra) -> float:
    """Return the present time on an era's scale."""
    return of.zero_ms + 1000.0 * time.clock_gettime(time.CLOCK_BOOTTIME)


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


def write_all(disk: Disk, fd: int, data: bytes) -> None:
    """Append all of some bytes."""
    view = memoryview(data)
    while view:
        count = disk.write(fd, bytes(view))
        if not count:
            raise OSError(errno.ENOSPC, "nothing was written")
        view = view[count:]


@dataclass(frozen=True)
class Finding:
    """Something wrong with a file: its code and a text for staff."""

    name: str
    code: str
    text: str


class StateDirectory:
    """The files of one node. Whoever writes here holds the lock.

    `machine`: whether what was written outlives the machine, as it was synced.
    """

    def __init__(
        self, disk: Disk, node: str | None, of: ClockEra | None = None, machine: bool = True
    ) -> None:
        self.disk, self.node, self.era, self.machine = disk, node, of or era(), machine
        self.number = 0
        self.fd: int | None = None
        self.size = 0  # of the journal in hand, in bytes
        self.findings: list[Finding] = []
        self.unusable: set[str] = set()
        self.of = ""  # whose files were read

    def files(self, kind: str) -> list[int]:
        """Return the numbers of the files of a kind, in order."""
        found = (NAME.match(name) for name in self.disk.names())
        return sorted(int(m[2]) for m in found if m and m[1] == kind)

    def load(self, now_ms: float) -> NodeState:
        """Read the state back; raises OSError where nothing can be read."""
        steps = self.read(now_ms)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value

    def read(self, now_ms: float) -> Generator[None, None, NodeState]:
        """Read the state back in pieces; raises OSError where nothing can be read."""
        state, start, lost, eras = NodeState(), None, "", list[ClockEra]()
        self.findings, self.unusable = [], set()
        snapshots, journals = self.files("snapshot"), self.files("journal")
        for number in reversed(snapshots):
            name = f"snapshot-{number:010d}"
            try:
                found = yield from form.read_snapshot(self.disk.read(name), self.node)
            except UnusableFileError as error:
                self.note(name, error)
                continue
            yield from self.take(state, found, eras)
            start = number
            if found.head.created_ms > now_ms + CLOCK_MS:
                ahead = (found.head.created_ms - now_ms) / 1000.0
                self.findings.append(
                    Finding(name, "clock", f"written {ahead:.0f} s from now: the clock was set back")
                )
            break
        last = max([*snapshots, *journals], default=0)
        if start is None:
            # Guards against a disk that is not there, whose empty folder looks like a first life.
            lost = "no snapshot can be read" if snapshots or journals else "the folder is empty"
        for number in range(start or min(journals, default=last + 1), last + 1):
            name = f"journal-{number:010d}"
            if number not in journals:
                if number < last:
                    lost = lost or f"{name} is not there"
                continue
            data = self.disk.read(name)
            if number == last and not form.begun(data):
                continue  # what a crash leaves at its begin: nothing was kept in it
            try:
                found = yield from form.read(data, "journal", self.node)
            except UnusableFileError as error:
                self.note(name, error)
                lost = lost or f"{name} cannot be used"
                continue
            yield from self.take(state, found, eras)
            if found.left:
                self.findings.append(Finding(name, "torn", f"{found.left} bytes at its end left out"))
                if not found.cut or number != last:
                    # Guards what was kept behind a damaged byte: only the cut of a crash explains itself.
                    lost = lost or f"{name} is damaged"
                    break
        self.number = last
        if eras and eras[-1].boot == self.era.boot:
            yield from state.shift_to(eras[-1].zero_ms, self.era.zero_ms)
        if any(e.boot != self.era.boot or not e.boot for e in eras):
            yield from state.doubt_times(now_ms)
            if not self.machine:
                lost = lost or "the machine was started anew, and not all was synced"
        if lost:
            self.findings.append(Finding("", "lost", f"{lost}: what may have run is not known"))
            state.lost_ms = now_ms
        yield from state.expire(now_ms)
        return state

    def take(
        self, state: NodeState, found: form.Contents, eras: list[ClockEra]
    ) -> Generator[None, None, None]:
        """Apply a file's entries, on that file's scale of time."""
        here = ClockEra(found.head.boot, found.head.zero_ms)
        self.of = found.head.node
        if eras and eras[-1].boot == here.boot:
            yield from state.shift_to(eras[-1].zero_ms, here.zero_ms)
        eras.append(here)
        for entry in found.entries:
            state.apply(entry)
            yield

    def head(self, kind: str, number: int, now_ms: float) -> form.Head:
        """Return the head of a file of ours."""
        return form.Head(kind, form.VERSION, self.node, number, now_ms, *self.era)

    def note(self, name: str, error: UnusableFileError) -> None:
        """Note a file that cannot be used, to be set aside once a new snapshot stands."""
        self.findings.append(Finding(name, error.code, str(error)))
        self.unusable.add(name)

    def set_aside(self) -> None:
        """Rename what cannot be used: until a snapshot tells what was lost, it is what tells it."""
        for name in self.unusable:
            self.disk.rename(name, f"bad-{name}")
        self.unusable = set()

    def snapshot(self, frames: list[bytes], now_ms: float) -> None:
        """Write a snapshot, begin the journal after it, and drop what both make needless."""
        self.close()
        number = self.number + 1
        name = f"snapshot-{number:010d}"
        fd = self.disk.open(name + ".new")
        try:
            write_all(self.disk, fd, form.snapshot(self.head("snapshot", number, now_ms), frames))
            self.disk.sync(fd)
        finally:
            self.disk.close(fd)
        self.disk.rename(name + ".new", name)
        self.disk.sync_folder()
        self.number = number
        self.begin(now_ms)
        self.set_aside()
        self.drop_old()

    def renew(self) -> list[str]:
        """Write a snapshot of what is there, and return what of it is lost."""
        now = unix_ms(self.era)
        state = self.load(now)
        self.snapshot(form.frames(state.entries()), now)
        return [finding.text for finding in self.findings if finding.code == "lost"]

    def begin(self, now_ms: float) -> None:
        """Begin the journal of the present number."""
        fd = self.disk.open(f"journal-{self.number:010d}")
        try:
            data = form.begin(self.head("journal", self.number, now_ms))
            write_all(self.disk, fd, data)
            self.disk.sync(fd)
            self.disk.sync_folder()
        except OSError:
            self.disk.close(fd)
            raise
        self.fd, self.size = fd, len(data)

    def append(self, parts: list[bytes], sync: bool) -> None:
        """Append frames to the journal and, if wished, have them on the disk."""
        if self.fd is None:
            raise OSError(errno.ENOENT, "no journal is open")
        data = b"".join(parts)
        write_all(self.disk, self.fd, data)
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


def first_life(path: Path, node: str) -> None:
    """Make the state of a node that has not lived yet, under the folder's lock.

    Raises FileExistsError where there is any state, and OSError as the disk has it.
    """
    held = lock(path)
    try:
        folder = StateDirectory(Disk(path), node)
        if folder.files("snapshot") or folder.files("journal"):
            raise FileExistsError(errno.EEXIST, "there is a state")
        folder.snapshot([], unix_ms(folder.era))
        folder.close()
    finally:
        os.close(held)
