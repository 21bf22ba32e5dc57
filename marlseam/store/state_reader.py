"""Reading a state directory back: the newest whole snapshot, then the journals from its number on.

Reading changes nothing in the directory. Where anything that may have been made durable is not there (a file
that cannot be used, bytes that a crash does not explain, a directory without any snapshot), what may have run
before is not known, and the state that is read says so.
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
MAX_CLOCK_DIFFERENCE_MS = 1000.0


def file_name(kind: str, number: int) -> str:
    """Return the name of a file of a kind."""
    return f"{kind}-{number:010d}"


def file_numbers(disk: Disk, kind: str) -> list[int]:
    """Return the numbers of the files of a kind, in order."""
    matches = (FILE_NAME.match(name) for name in disk.names())
    return sorted(int(match[2]) for match in matches if match and match[1] == kind)


class StateReader:
    """One reading of a state directory.

    Attributes:
        state: what was read, complete once `read` has ended.
        findings: what is wrong with files.
        unusable: the names of files that cannot be used.
        last_number: the highest number of a file.
        owner: the node whose files were read, empty where none was.
    """

    def __init__(self, disk: Disk, node: str | None, era: ClockEra, outlives_machine: bool) -> None:
        """Prepare a reading.

        `node` is whose files are expected, None for any. `era` gives the scale of the times that `read` is
        called with and that the state is returned in. `outlives_machine` says whether what was written is
        there after the machine has been started anew, as it was synced.
        """
        self.disk, self.node, self.era, self.outlives_machine = disk, node, era, outlives_machine
        self.state = NodeState()
        self.findings: list[Finding] = []
        self.unusable: set[str] = set()
        self.last_number = 0
        self.owner = ""
        self._eras: list[ClockEra] = []  # of the files read, in order
        self._loss = ""  # the first reason why something may be lost

    def read(self, now_ms: float) -> Generator[None, None, NodeState]:
        """Return the state, read in steps; raises OSError where the directory cannot be read."""
        snapshots, journals = file_numbers(self.disk, SNAPSHOT), file_numbers(self.disk, JOURNAL)
        first = yield from self._read_newest_snapshot(snapshots, now_ms)
        last = max([*snapshots, *journals], default=0)
        if first is None:
            # Guards against a disk that is not there, whose empty directory looks like a new node's.
            self._note_loss("no snapshot can be read" if snapshots or journals else "the folder is empty")
        yield from self._read_journals(first or min(journals, default=last + 1), last, set(journals))
        self.last_number = last
        yield from self._adjust_times(now_ms)
        if self._loss:
            self.findings.append(Finding("", "lost", f"{self._loss}: what may have run is not known"))
            self.state.lost_ms = now_ms
        yield from self.state.expire(now_ms)
        return self.state

    def _read_newest_snapshot(self, numbers: list[int], now_ms: float) -> Generator[None, None, int | None]:
        """Apply the newest snapshot that can be used; return its number, None where there is none."""
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
                text = f"written {ahead_ms / 1000.0:.0f} s from now: the clock was set back"
                self.findings.append(Finding(name, "clock", text))
            return number
        return None

    def _read_journals(self, first: int, last: int, present: Iterable[int]) -> Steps:
        """Apply the journals in order, up to one that is damaged."""
        for number in range(first, last + 1):
            name = file_name(JOURNAL, number)
            if number not in present:
                if number < last:
                    self._note_loss(f"{name} is not there")
                continue
            data = self.disk.read(name)
            if number == last and not has_begun(data):
                continue  # a crash while it was begun leaves this: it holds no record
            try:
                contents = yield from read_file(data, JOURNAL, self.node)
            except UnusableFileError as error:
                self._note_unusable(name, error)
                self._note_loss(f"{name} cannot be used")
                continue
            yield from self._apply(contents)
            if not contents.unread_bytes:
                continue
            text = f"{contents.unread_bytes} bytes at its end not read"
            self.findings.append(Finding(name, "torn", text))
            if not contents.is_cut_short or number != last:
                # Guards the records behind a damaged byte: only a crash while writing explains itself.
                self._note_loss(f"{name} is damaged")
                return

    def _apply(self, contents: FileContents) -> Steps:
        """Apply a file's records, with the state moved to that file's scale of time first."""
        era = ClockEra(contents.header.boot, contents.header.zero_ms)
        self.owner = contents.header.node
        yield from self._shift_to(era)
        self._eras.append(era)
        for record in contents.records:
            self.state.apply(record)
            yield

    def _shift_to(self, era: ClockEra) -> Steps:
        """Move the state's times to an era's scale, where it is of the same start of the machine."""
        if self._eras and self._eras[-1].boot == era.boot:
            yield from self.state.shift_to(self._eras[-1].zero_ms, era.zero_ms)

    def _adjust_times(self, now_ms: float) -> Steps:
        """Move times to this reading's scale; those of another start of the machine become unknown."""
        yield from self._shift_to(self.era)
        if any(era.boot != self.era.boot or not era.boot for era in self._eras):
            yield from self.state.doubt_times(now_ms)
            if not self.outlives_machine:
                self._note_loss("the machine was started anew, and not all was synced")

    def _note_unusable(self, name: str, error: UnusableFileError) -> None:
        """Note a file that cannot be used."""
        self.findings.append(Finding(name, error.code, str(error)))
        self.unusable.add(name)

    def _note_loss(self, reason: str) -> None:
        """Note why something may be lost; the first reason stands."""
        self._loss = self._loss or reason
