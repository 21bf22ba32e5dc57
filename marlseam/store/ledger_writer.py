"""Reads and writes the files of a node's ledger (`cluster.audit_log`) and verifies their hash chain.

A child process of the node (`python -m marlseam.store.ledger_writer`) appends to the files; the node reads
them with the same class before it starts that process.

    lock       locked by the process that writes here (flock)
    ledger-N   a header as in `file_format`, then frames with the records of `cluster.audit_log`

Each file starts with a summary of the earlier files; the newest MAX_LEDGER_FILES are retained.

A directory that was restored from an older copy of itself is detected: each file records its inode number,
and each write records its time, which must match the file system's time of the file's last change. (A
restored image of a whole file system is not detected: docs/design/fleet.md.)
"""

import contextlib
import errno
import re
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from marlseam.cluster.audit_log import (
    FIRST_PREVIOUS_DIGEST,
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
MAX_LEDGER_FILES = 16  # how many files are retained, the newest ones
BESIDE = "beside"  # subdirectory for a process while another process of its node holds the ledger
# Between the recorded time of a file's last write and the file system's time of its last change; a greater
# difference means that another program has changed the file.
MAX_WRITE_TIME_DIFFERENCE_MS = 10000.0


def file_name(number: int) -> str:
    """Return the name of the ledger file with a number."""
    return f"{LEDGER}-{number:010d}"


@dataclass
class LedgerFile:
    """The content of one file.

    Attributes:
        number: the file's number.
        node: the node that the ledger belongs to.
        before: the digest that the file's first record is chained to.
        records: the file's records, up to the first break of the chain.
        last: the digest of the last of these records.
        findings: faults of the file.
    """

    number: int
    node: str
    before: bytes = FIRST_PREVIOUS_DIGEST
    records: list[LogRecord] = field(default_factory=list)
    last: bytes = FIRST_PREVIOUS_DIGEST
    findings: list[Finding] = field(default_factory=list)

    def add_finding(self, code: str, text: str) -> None:
        """Add a finding about the file."""
        self.findings.append(Finding(file_name(self.number), code, text))

    def add_record(self, linked_record: bytes) -> bool:
        """Add a record, prefixed with the digest it is chained to; return whether the chain is intact."""
        try:
            before, entry = parse_record(linked_record)
        except ValueError as error:
            self.add_finding("damaged", f"unreadable record: {error}")
            return False
        if self.records and before != self.last:
            self.add_finding("chain", "a record is not chained to the record before it")
            return False
        if not self.records:
            self.before = before
        self.records.append(entry)
        self.last = chain_record(before, linked_record[len(before) :])[1]
        return True


def read_file(data: bytes, number: int, node: str | None) -> LedgerFile:
    """Read a file's records up to the first break of the chain.

    Raises UnusableFileError if the file has no header of a ledger of `node` (None accepts any node).
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
        if not file.add_record(frame.payload):
            return file
        end = frame.end
    if end < len(data) and not is_cut_short(data[end:]):
        file.add_finding("damaged", f"{len(data) - end} bytes at the end of the file cannot be read")
    return file


class LedgerWriter:
    """The files of one node's ledger; only a process with the directory's lock may write them.

    Attributes:
        era: the clock era that is recorded in the files.
        number: the number of the newest file.
        last: the digest of the last record, which the next record is chained to.
        size: the size of the open file in bytes.
        findings: faults found by the last read.
    """

    def __init__(
        self, disk: Disk, node: str | None, era: ClockEra | None = None, outlives_machine: bool = True
    ) -> None:
        """Set up the ledger without opening a file.

        `node` is the node that the files belong to; None reads any node's. An `era` of None takes the current
        one. `outlives_machine` is as in `StateDirectory`; a ledger is always synced.
        """
        self.disk, self.node, self.outlives_machine = disk, node, outlives_machine
        self.era = era or current_era()
        self.number, self.last = 0, FIRST_PREVIOUS_DIGEST
        self.fd: int | None = None  # of the open file
        self.size = 0
        self.findings: list[Finding] = []

    # Reading.

    def numbers(self) -> list[int]:
        """Return the numbers of the files, in ascending order."""
        matches = (FILE_NAME.match(name) for name in self.disk.names())
        return sorted(int(match[1]) for match in matches if match)

    def files(self, first_number: int = 0) -> list[LedgerFile]:
        """Read the files from a number on, in order, and set `findings`; unusable files are left out."""
        self.findings = []
        files: list[LedgerFile] = []
        numbers = [number for number in self.numbers() if number >= first_number]
        for number in numbers:
            file = self._read_file(number, number == numbers[-1])
            if file is None:
                continue
            if files and file.records and file.before != files[-1].last:
                file.add_finding("chain", "the first record is not chained to the previous file")
            self.findings += file.findings
            files.append(file)
        for number, following in zip(numbers, numbers[1:], strict=False):
            if following != number + 1:
                self.findings.append(Finding(file_name(number + 1), "missing", "the file does not exist"))
        return files

    def _read_file(self, number: int, is_newest: bool) -> LedgerFile | None:
        """Read a file; return None, with a finding, if the file cannot be used."""
        data = self.disk.read(file_name(number))
        if is_newest and not has_begun(data):
            return None  # left by a crash while the file was created: the file has no record
        try:
            return read_file(data, number, self.node)
        except UnusableFileError as error:
            self.findings.append(Finding(file_name(number), error.code, str(error)))
            return None

    def load(self) -> RecoveredLog:
        """Recover the ledger's state from its files; raises OSError if the directory cannot be read.

        If promises and votes may be lost, `votes_excluded_up_to` is None, and `findings` has the reason.
        """
        numbers = self.numbers()
        # Each file starts with a summary. The last file's may be cut short, so the last two files are needed.
        files = self.files(numbers[-2] if len(numbers) > 1 else 0)
        recovered = RecoveredLog()
        for file in files:
            for entry in file.records:
                recovered.apply(entry)
        loss = self._loss(files, recovered)
        if loss:
            self.findings.append(Finding("", "lost", f"{loss}: earlier promises and votes are not known"))
            recovered.votes_excluded_up_to = None
        self.number, self.last = max(numbers, default=0), files[-1].last if files else FIRST_PREVIOUS_DIGEST
        return recovered

    def _loss(self, files: list[LedgerFile], recovered: RecoveredLog) -> str:
        """Return why promises and votes may have been lost, empty if none were."""
        if not files:
            return "the directory has no usable ledger file"
        if self.findings:
            return f"{self.findings[0].name} {self.findings[0].code}"
        if not recovered.begun:
            return "the beginning of the ledger is missing"
        newest = files[-1]
        inode, changed_ms = self.disk.identity(file_name(newest.number))
        recorded_inode = next((entry.inode for entry in newest.records if type(entry) is FileOpened), None)
        if recorded_inode is not None and recorded_inode != inode:
            return "the directory is a copy: the file has another inode number"
        last = newest.records[-1] if newest.records else None
        if type(last) is BatchWritten:
            difference_ms = abs(changed_ms - last.wall_ms)
            if difference_ms > MAX_WRITE_TIME_DIFFERENCE_MS:
                return "the file was changed by another program than the writer process"
        return ""

    # Writing.

    def append(self, parts: list[bytes], sync: bool) -> None:
        """Append records, each chained to the one before, and flush them if `sync` is set; raises OSError."""
        if self.fd is None:
            raise OSError(errno.ENOENT, "no ledger file is open")
        last, frames = self.last, []
        for part in (*parts, encode(BatchWritten(unix_ms(current_era())))):
            record, last = chain_record(last, part)
            frames.append(encode_frame(record))
        data = b"".join(frames)
        write_all(self.disk, self.fd, data)
        # Set before the sync: after a failed sync the file may have the data, and `compact` reads the file.
        self.size, self.last = self.size + len(data), last
        if sync:
            self.disk.sync(self.fd)

    def compact(self) -> list[str]:
        """Begin a new file from the existing ones; return a string for each loss found in them."""
        self.close()
        recovered = self.load()
        self.begin(recovered)
        return [finding.text for finding in self.findings if finding.code == "lost"]

    def begin(self, recovered: RecoveredLog) -> None:
        """Begin a new file with a summary of the ledger, and remove the oldest files; raises OSError."""
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
            # Guards the previous file: only the last two files are read, and a disk that stays full would
            # otherwise leave many unfinished files after it.
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

    Raises FileExistsError if the directory has a ledger, and OSError if a disk call fails.
    """
    with directory_lock(path):
        ledger = LedgerWriter(Disk(path), node)
        if ledger.numbers():
            raise FileExistsError(errno.EEXIST, "the directory already has a ledger")
        ledger.begin(RecoveredLog(begun=True, wall_ms=unix_ms(current_era())))
        ledger.close()


if __name__ == "__main__":
    main(LedgerWriter)
