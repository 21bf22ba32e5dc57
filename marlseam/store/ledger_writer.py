"""A fleet ledger's files: read back with their chain, begun anew, appended to.

lock held by whoever writes here (flock); ledger-N a head as in `format`, then frames with `fleet.ledger`'s
records. Each file begins with what the earlier ones add up to; the newest FILES are kept.

A folder that was set back to an older copy of itself is found out: a file tells its number in the file
system, and each writing its time, which the system's note of the file's last change must match. (An image
of a whole file system that is set back looks whole: docs/design/fleet.md.)
"""

import contextlib
import errno
import os
import re
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from marlseam.cluster.audit_log import (
    START,
    BatchWritten,
    FileOpened,
    LogRecord,
    RecoveredLog,
    encode,
    linked,
    unlinked,
)
from marlseam.store import file_format as form
from marlseam.store.file_format import UnusableFileError
from marlseam.store.state_directory import ClockEra, Disk, Finding, era, lock, unix_ms, write_all
from marlseam.store.writer_process import main

NAME = re.compile(r"ledger-(\d{10})$")
FILES = 16  # kept
BESIDE = "beside"  # in the folder, where a process writes while another of its node has the ledger
APART_MS = 10000.0  # at most between a writing's own time and the system's note of it


@dataclass
class LedgerFile:
    """What one file holds: from which digest its chain goes on, its entries.

    The digest of its last record.
    """

    number: int
    node: str
    before: bytes = START
    entries: list[LogRecord] = field(default_factory=list)
    last: bytes = START
    findings: list[Finding] = field(default_factory=list)


def read_file(data: bytes, number: int, node: str | None) -> LedgerFile:
    """Return what a file holds as far as its chain is whole.

    Raises Unusable where it has no head of a ledger of the node's.
    """
    frames = form.payloads(data)
    end, payload = next(frames, (0, b""))
    try:
        head = form.DECODER.decode(payload)
    except msgspec.MsgspecError:
        head = None
    found, name = LedgerFile(number, form.headed(head, "ledger", node).node), f"ledger-{number:010d}"
    for at, record in frames:
        try:
            before, entry = unlinked(record)
        except ValueError as error:
            found.findings.append(Finding(name, "damaged", f"a record that is none: {error}"))
            return found
        if found.entries and before != found.last:
            found.findings.append(Finding(name, "chain", "a record does not stand behind the one before it"))
            return found
        if not found.entries:
            found.before = before
        found.entries.append(entry)
        found.last = linked(before, record[len(before) :])[1]
        end = at
    if end < len(data) and not form.cut_short(data[end:]):
        found.findings.append(Finding(name, "damaged", f"{len(data) - end} bytes that cannot be read"))
    return found


class LedgerWriter:
    """The files of one node's ledger. Whoever writes here holds the lock."""

    def __init__(
        self, disk: Disk, node: str | None, of: ClockEra | None = None, machine: bool = True
    ) -> None:
        self.disk, self.node, self.era, self.machine = disk, node, of or era(), machine
        self.number, self.last = 0, START
        self.fd: int | None = None
        self.size = 0  # of the file in hand, in bytes
        self.findings: list[Finding] = []

    def numbers(self) -> list[int]:
        """Return the numbers of the files, in order."""
        found = (NAME.match(name) for name in self.disk.names())
        return sorted(int(m[1]) for m in found if m)

    def files(self, least: int = 0) -> list[LedgerFile]:
        """Return what the files from a number on hold, in order, and note what is wrong."""
        self.findings, found = [], list[LedgerFile]()
        numbers = [n for n in self.numbers() if n >= least]
        for number in numbers:
            name = f"ledger-{number:010d}"
            data = self.disk.read(name)
            if number == numbers[-1] and not form.begun(data):
                continue  # what a crash leaves at its begin: nothing was kept in it
            try:
                file = read_file(data, number, self.node)
            except UnusableFileError as error:
                self.findings.append(Finding(name, error.code, str(error)))
                continue
            if found and file.entries and file.before != found[-1].last:
                file.findings.append(Finding(name, "chain", "does not stand behind the file before it"))
            self.findings += file.findings
            found.append(file)
        for a, b in zip(numbers, numbers[1:], strict=False):
            if b != a + 1:
                self.findings.append(Finding(f"ledger-{a + 1:010d}", "missing", "is not there"))
        return found

    def load(self) -> RecoveredLog:
        """Return what the folder adds up to; raises OSError where it cannot be read.

        Where its memory of votes may not be whole, `bar` says so, and `findings` why.
        """
        numbers = self.numbers()
        # A file begins with all that counts, so the last two do: the last may be cut short in that.
        files = self.files(numbers[-2] if len(numbers) > 1 else 0)
        kept = RecoveredLog()
        for file in files:
            for entry in file.entries:
                kept.take(entry)
        why = self.lost(files, kept)
        if why:
            self.findings.append(Finding("", "lost", f"{why}: what was promised is not known"))
            kept.bar = None
        self.number, self.last = max(numbers, default=0), files[-1].last if files else START
        return kept

    def lost(self, files: list[LedgerFile], kept: RecoveredLog) -> str:
        """Return why the memory of votes may not be whole, or nothing."""
        if not files:
            return "the folder is empty"
        if self.findings:
            return f"{self.findings[0].name} {self.findings[0].code}"
        if not kept.begun:
            return "its begin is not known"
        inode, changed_ms = self.disk.identity(f"ledger-{files[-1].number:010d}")
        opened = next((e.inode for e in files[-1].entries if type(e) is FileOpened), None)
        if opened is not None and opened != inode:
            return "the folder is a copy"
        last = files[-1].entries[-1] if files[-1].entries else None
        if type(last) is BatchWritten and abs(changed_ms - last.wall_ms) > APART_MS:
            return "the folder was changed by another"
        return ""

    def append(self, parts: list[bytes], sync: bool) -> None:
        """Append entries, each behind the one before, and if wished have them on the disk."""
        if self.fd is None:
            raise OSError(errno.ENOENT, "no file is open")
        last, frames = self.last, []
        for part in (*parts, encode(BatchWritten(unix_ms(era())))):
            record, last = linked(last, part)
            frames.append(form.framed(record))
        data = b"".join(frames)
        write_all(self.disk, self.fd, data)
        # As written: after a failed sync the file may hold it, and `renew` reads what it does hold.
        self.size, self.last = self.size + len(data), last
        if sync:
            self.disk.sync(self.fd)

    def renew(self) -> list[str]:
        """Begin a new file with what is there; return what of it is lost."""
        self.close()
        kept = self.load()
        self.begin(kept)
        return [finding.text for finding in self.findings if finding.code == "lost"]

    def begin(self, kept: RecoveredLog) -> None:
        """Begin a file with what counts."""
        number = self.number + 1
        name = f"ledger-{number:010d}"
        fd = self.disk.open(name)
        try:
            now = unix_ms(era())
            data = form.begin(form.Head("ledger", form.VERSION, self.node or "", number, now, *self.era))
            write_all(self.disk, fd, data)
            self.fd, self.size, self.number = fd, len(data), number
            entries = [FileOpened(self.disk.identity(name)[0]), *kept.entries()]
            self.append([encode(entry) for entry in entries], True)
            self.disk.sync_folder()
        except OSError:
            self.close()
            self.number -= self.number == number
            # Guards the file before it: the last two are read, and a disk that stays full would leave many.
            with contextlib.suppress(OSError):
                self.disk.remove(name)
            raise
        for old in self.numbers()[:-FILES]:
            self.disk.remove(f"ledger-{old:010d}")

    def close(self) -> None:
        """Close the file in hand."""
        if self.fd is not None:
            fd, self.fd = self.fd, None
            self.disk.close(fd)


def first_life(path: Path, node: str) -> None:
    """Make the ledger of a node that has not lived yet, under the folder's lock.

    Raises FileExistsError where there is one, and OSError as the disk has it.
    """
    held = lock(path)
    try:
        ledger = LedgerWriter(Disk(path), node)
        if ledger.numbers():
            raise FileExistsError(errno.EEXIST, "there is a ledger")
        ledger.begin(RecoveredLog(begun=True, wall_ms=unix_ms(era())))
        ledger.close()
    finally:
        os.close(held)


if __name__ == "__main__":
    main(LedgerWriter)
