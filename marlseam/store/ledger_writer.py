"""The files of a node's ledger (`cluster.audit_log`): read back with their chain, begun anew, appended to.

A process of its own, a child of the node, appends to them (`python -m marlseam.store.ledger_writer`); the
node reads them by the same class before it starts that.

    lock       held by the process that writes here (flock)
    ledger-N   a header as in `file_format`, then frames with the records of `cluster.audit_log`

Each file begins with what the earlier ones add up to; the newest MAX_LEDGER_FILES of them are retained.

A directory that was set back to an older copy of itself is detected: a file notes its inode number, and each
write notes its time, which must match the file system's time of the file's last change. (An image of a whole
file system that is set back looks whole: docs/design/fleet.md.)
"""

import contextlib
import errno
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
    chain_record,
    encode,
    parse_record,
)
from marlseam.store.clock_era import ClockEra, current_era, unix_ms
from marlseam.store.disk import Disk, directory_lock, write_all
from marlseam.store.errors import Finding, UnusableFileError
from marlseam.store.file_format import (
    DECODER,
    FORMAT_VERSION,
    FileHeader,
    FramePayload,
    check_header,
    encode_frame,
    encode_header,
    has_begun,
    is_cut_short,
    iterate_payloads,
)
from marlseam.store.writer_process import main

LEDGER = "ledger"
FILE_NAME = re.compile(r"ledger-(\d{10})$")
MAX_LEDGER_FILES = 16  # the newest that are retained
BESIDE = "beside"  # the subdirectory in which a process writes while another of its node has the ledger
MAX_WRITE_TIME_DIFFERENCE_MS = 10000.0  # between a write's own time and the file system's


def file_name(number: int) -> str:
    """Return the name of the file of a number."""
    return f"{LEDGER}-{number:010d}"


@dataclass
class LedgerFile:
    """What one file holds.

    Attributes:
        number: the file's.
        node: whose ledger it is.
        before: the digest that its first record is chained to.
        records: what it holds, as far as the chain is whole.
        last: the digest of the last of these records.
        findings: what is wrong with it.
    """

    number: int
    node: str
    before: bytes = START
    records: list[LogRecord] = field(default_factory=list)
    last: bytes = START
    findings: list[Finding] = field(default_factory=list)

    def note(self, code: str, text: str) -> None:
        """Note something wrong with the file."""
        self.findings.append(Finding(file_name(self.number), code, text))

    def take_record(self, linked_record: bytes) -> bool:
        """Add a record with the digest that it is chained to; return whether the chain is whole so far."""
        try:
            before, entry = parse_record(linked_record)
        except ValueError as error:
            self.note("damaged", f"a record that cannot be read: {error}")
            return False
        if self.records and before != self.last:
            self.note("chain", "a record is not chained to the one before it")
            return False
        if not self.records:
            self.before = before
        self.records.append(entry)
        self.last = chain_record(before, linked_record[len(before) :])[1]
        return True


def read_file(data: bytes, number: int, node: str | None) -> LedgerFile:
    """Return what a file holds as far as its chain is whole.

    Raises UnusableFileError where it has no header of a ledger of the node's (None: of any node's).
    """
    frames = iterate_payloads(data)
    first = next(frames, FramePayload(0, b""))
    try:
        header = DECODER.decode(first.payload)
    except msgspec.MsgspecError:
        header = None
    file = LedgerFile(number, check_header(header, LEDGER, node).node)
    end = first.end
    for frame in frames:
        if not file.take_record(frame.payload):
            return file
        end = frame.end
    if end < len(data) and not is_cut_short(data[end:]):
        file.note("damaged", f"{len(data) - end} bytes that cannot be read")
    return file


class LedgerWriter:
    """The files of one node's ledger; a process that writes here holds the directory's lock.

    Attributes:
        era: the start of the machine that is noted in the files.
        number: of the newest file.
        last: the digest of the last record, which the next one is chained to.
        size: of the open file, in bytes.
        findings: what the last reading found wrong.
    """

    def __init__(
        self, disk: Disk, node: str | None, era: ClockEra | None = None, outlives_machine: bool = True
    ) -> None:
        """Open nothing yet.

        `node` is whose files these are, None to read any node's. `era` of None takes the present one.
        `outlives_machine` is as in `StateDirectory`; a ledger is always synced.
        """
        self.disk, self.node, self.outlives_machine = disk, node, outlives_machine
        self.era = era or current_era()
        self.number, self.last = 0, START
        self.fd: int | None = None  # of the open file
        self.size = 0
        self.findings: list[Finding] = []

    # Reading.

    def numbers(self) -> list[int]:
        """Return the numbers of the files, in order."""
        matches = (FILE_NAME.match(name) for name in self.disk.names())
        return sorted(int(match[1]) for match in matches if match)

    def files(self, first_number: int = 0) -> list[LedgerFile]:
        """Return what the files from a number on hold, in order; `findings` says what is wrong with them."""
        self.findings = []
        files: list[LedgerFile] = []
        numbers = [number for number in self.numbers() if number >= first_number]
        for number in numbers:
            file = self._read_file(number, number == numbers[-1])
            if file is None:
                continue
            if files and file.records and file.before != files[-1].last:
                file.note("chain", "is not chained to the file before it")
            self.findings += file.findings
            files.append(file)
        for number, following in zip(numbers, numbers[1:], strict=False):
            if following != number + 1:
                self.findings.append(Finding(file_name(number + 1), "missing", "is not there"))
        return files

    def _read_file(self, number: int, is_newest: bool) -> LedgerFile | None:
        """Return what a file holds, None where it cannot be used."""
        data = self.disk.read(file_name(number))
        if is_newest and not has_begun(data):
            return None  # a crash while it was begun leaves this: it holds no record
        try:
            return read_file(data, number, self.node)
        except UnusableFileError as error:
            self.findings.append(Finding(file_name(number), error.code, str(error)))
            return None

    def load(self) -> RecoveredLog:
        """Return what the directory adds up to; raises OSError where it cannot be read.

        Where its memory of votes may not be whole, `votes_excluded_up_to` is None, and `findings` says why.
        """
        numbers = self.numbers()
        # A file begins with all that counts, so the last two do: the last may be cut short in that.
        files = self.files(numbers[-2] if len(numbers) > 1 else 0)
        recovered = RecoveredLog()
        for file in files:
            for entry in file.records:
                recovered.apply(entry)
        loss = self._loss(files, recovered)
        if loss:
            self.findings.append(Finding("", "lost", f"{loss}: what was promised is not known"))
            recovered.votes_excluded_up_to = None
        self.number, self.last = max(numbers, default=0), files[-1].last if files else START
        return recovered

    def _loss(self, files: list[LedgerFile], recovered: RecoveredLog) -> str:
        """Return why the memory of votes may not be whole, empty where it is."""
        if not files:
            return "the folder is empty"
        if self.findings:
            return f"{self.findings[0].name} {self.findings[0].code}"
        if not recovered.begun:
            return "its beginning is not known"
        newest = files[-1]
        inode, changed_ms = self.disk.identity(file_name(newest.number))
        noted_inode = next((entry.inode for entry in newest.records if type(entry) is FileOpened), None)
        if noted_inode is not None and noted_inode != inode:
            return "the folder is a copy"
        last = newest.records[-1] if newest.records else None
        if type(last) is BatchWritten:
            difference_ms = abs(changed_ms - last.wall_ms)
            if difference_ms > MAX_WRITE_TIME_DIFFERENCE_MS:
                return "the folder was changed by another"
        return ""

    # Writing.

    def append(self, parts: list[bytes], sync: bool) -> None:
        """Append records, each chained to the one before, and if wished flush them; raises OSError."""
        if self.fd is None:
            raise OSError(errno.ENOENT, "no file is open")
        last, frames = self.last, []
        for part in (*parts, encode(BatchWritten(unix_ms(current_era())))):
            record, last = chain_record(last, part)
            frames.append(encode_frame(record))
        data = b"".join(frames)
        write_all(self.disk, self.fd, data)
        # As written: after a failed sync the file may hold it, and `renew` reads what it does hold.
        self.size, self.last = self.size + len(data), last
        if sync:
            self.disk.sync(self.fd)

    def renew(self) -> list[str]:
        """Begin a new file with what is there; return what of it is lost, a text for each loss."""
        self.close()
        recovered = self.load()
        self.begin(recovered)
        return [finding.text for finding in self.findings if finding.code == "lost"]

    def begin(self, recovered: RecoveredLog) -> None:
        """Begin a new file with what counts, and remove the files that are too old."""
        number = self.number + 1
        name = file_name(number)
        fd = self.disk.open(name)
        try:
            now = unix_ms(current_era())
            header = FileHeader(LEDGER, FORMAT_VERSION, self.node or "", number, now, *self.era)
            data = encode_header(header)
            write_all(self.disk, fd, data)
            self.fd, self.size, self.number = fd, len(data), number
            records = [FileOpened(self.disk.identity(name).inode), *recovered.records()]
            self.append([encode(entry) for entry in records], True)
            self.disk.sync_folder()
        except OSError:
            self.close()
            if self.number == number:
                self.number -= 1
            # Guards the file before it: the last two are read, and a disk that stays full would leave many.
            with contextlib.suppress(OSError):
                self.disk.remove(name)
            raise
        for old in self.numbers()[:-MAX_LEDGER_FILES]:
            self.disk.remove(file_name(old))

    def close(self) -> None:
        """Close the open file."""
        if self.fd is not None:
            fd, self.fd = self.fd, None
            self.disk.close(fd)


def create_ledger(path: Path, node: str) -> None:
    """Create the ledger of a node that has never run, under the directory's lock.

    Raises FileExistsError where there is one, and OSError as the disk has it.
    """
    with directory_lock(path):
        ledger = LedgerWriter(Disk(path), node)
        if ledger.numbers():
            raise FileExistsError(errno.EEXIST, "there is a ledger")
        ledger.begin(RecoveredLog(begun=True, wall_ms=unix_ms(current_era())))
        ledger.close()


if __name__ == "__main__":
    main(LedgerWriter)
