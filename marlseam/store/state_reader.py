"""Reads a state directory: the newest complete snapshot, then the journals from its number on.

Reading changes nothing in the directory. If records that were durable may be missing (a file cannot be used,
a crash does not explain unreadable bytes, the directory has no snapshot), attempts that may have run before
the read are not all known, and the returned state has the time of the read as `lost_ms`.
"""

import re
from collections.abc import Generator, Iterable

from marlseam.store.clock_era import ClockEra
from marlseam.store.disk import Disk
from marlseam.store.errors import Finding, UnusableFileError
from marlseam.store.file_format import FileContents, has_begun, read_file, read_snapshot
from marlseam.store.node_state import NodeState, Steps

SNAPSHOT, JOURNAL = "snapshot", "journal"
FILE_NAME = re.compile(r"(snapshot|journal)-(\d{10})$")
MAX_CLOCK_DIFFERENCE_MS = 1000.0  # how far in the future a snapshot may be created without a finding


def file_name(kind: str, number: int) -> str:
    """Return the name of a file of a kind with a number."""
    return f"{kind}-{number:010d}"


def file_numbers(disk: Disk, kind: str) -> list[int]:
    """Return the numbers of the files of a kind, in ascending order."""
    matches = (FILE_NAME.match(name) for name in disk.names())
    return sorted(int(match[2]) for match in matches if match and match[1] == kind)


class StateReader:
    """One read of a state directory.

    Attributes:
        state: the state read so far, complete once `read` has ended.
        findings: faults of the files and the directory.
        unusable: the names of files that cannot be used.
        last_number: the highest number of a file.
        owner: the node whose files were read, empty if none was read.
    """

    def __init__(self, disk: Disk, node: str | None, era: ClockEra, outlives_machine: bool) -> None:
        """Set up the reader without reading.

        `node` is the node that the files must belong to; None accepts any. `era` is the clock era of the time
        passed to `read` and of the times in the returned state. `outlives_machine` is whether written records
        survive a restart of the machine because they were synced.
        """
        self.disk, self.node, self.era, self.outlives_machine = disk, node, era, outlives_machine
        self.state = NodeState()
        self.findings: list[Finding] = []
        self.unusable: set[str] = set()
        self.last_number = 0
        self.owner = ""
        self._eras: list[ClockEra] = []  # of the files applied, in order
        self._loss = ""  # the first reason why records may be lost, empty for none

    def read(self, now_ms: float) -> Generator[None, None, NodeState]:
        """Read the state in steps and return it; raises OSError if the directory cannot be read."""
        snapshots, journals = file_numbers(self.disk, SNAPSHOT), file_numbers(self.disk, JOURNAL)
        first = yield from self._read_newest_snapshot(snapshots, now_ms)
        last = max([*snapshots, *journals], default=0)
        if first is None:
            # Guards against a disk that is not mounted, whose empty directory looks like a new node's.
            self._note_loss("no snapshot can be read" if snapshots or journals else "the directory is empty")
        yield from self._read_journals(first or min(journals, default=last + 1), last, set(journals))
        self.last_number = last
        yield from self._adjust_times(now_ms)
        if self._loss:
            self.findings.append(
                Finding("", "lost", f"{self._loss}: which attempts may have run is not known")
            )
            self.state.lost_ms = now_ms
        yield from self.state.expire(now_ms)
        return self.state

    def _read_newest_snapshot(self, numbers: list[int], now_ms: float) -> Generator[None, None, int | None]:
        """Apply the newest usable snapshot; return its number, None if there is none."""
        for number in reversed(numbers):
            name = file_name(SNAPSHOT, number)
            try:
                contents = yield from read_snapshot(self.disk.read(name), self.node)
            except UnusableFileError as error:
                self._note_unusable(name, error)
                continue
            yield from self._apply(contents)
            ahead_ms = contents.header.created_ms - now_ms
            if contents.header.created_ms > now_ms + MAX_CLOCK_DIFFERENCE_MS:
                text = f"created {ahead_ms / 1000.0:.0f} s in the future: the clock was set back"
                self.findings.append(Finding(name, "clock", text))
            return number
        return None

    def _read_journals(self, first: int, last: int, present: Iterable[int]) -> Steps:
        """Apply the journals in order, up to and including the first damaged one."""
        for number in range(first, last + 1):
            name = file_name(JOURNAL, number)
            if number not in present:
                if number < last:
                    self._note_loss(f"{name} is missing")
                continue
            data = self.disk.read(name)
            if number == last and not has_begun(data):
                continue  # left by a crash while the journal was created: the file has no record
            try:
                contents = yield from read_file(data, JOURNAL, self.node)
            except UnusableFileError as error:
                self._note_unusable(name, error)
                self._note_loss(f"{name} cannot be used")
                continue
            yield from self._apply(contents)
            if not contents.unread_bytes:
                continue
            text = f"{contents.unread_bytes} bytes at the end of the file cannot be read"
            self.findings.append(Finding(name, "torn", text))
            if not contents.is_cut_short or number != last:
                # Guards against an unnoticed loss of the records after a damaged byte: a crash explains only
                # an incomplete frame at the end of the last journal.
                self._note_loss(f"{name} is damaged")
                return

    def _apply(self, contents: FileContents) -> Steps:
        """Shift the state's times to a file's clock era, then apply the file's records."""
        era = ClockEra(contents.header.boot, contents.header.zero_ms)
        self.owner = contents.header.node
        yield from self._shift_to(era)
        self._eras.append(era)
        for record in contents.records:
            self.state.apply(record)
            yield

    def _shift_to(self, era: ClockEra) -> Steps:
        """Shift the state's times to another era if both eras are of the same start of the machine."""
        if self._eras and self._eras[-1].boot == era.boot:
            yield from self.state.shift_to(self._eras[-1].zero_ms, era.zero_ms)

    def _adjust_times(self, now_ms: float) -> Steps:
        """Shift times to the reader's era; they become unknown after another start of the machine."""
        yield from self._shift_to(self.era)
        if any(era.boot != self.era.boot or not era.boot for era in self._eras):
            yield from self.state.invalidate_times(now_ms)
            if not self.outlives_machine:
                self._note_loss("the machine was restarted, and not all records were synced")

    def _note_unusable(self, name: str, error: UnusableFileError) -> None:
        """Add a finding for a file that cannot be used."""
        self.findings.append(Finding(name, error.code, str(error)))
        self.unusable.add(name)

    def _note_loss(self, reason: str) -> None:
        """Set the reason why records may be lost; the first reason is kept."""
        self._loss = self._loss or reason
