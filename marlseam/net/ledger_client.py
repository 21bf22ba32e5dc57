"""The node's side of its ledger: reads it once its lock can be had, and has a process append to it."""

from collections.abc import Callable
from pathlib import Path

from marlseam.cluster.audit_log import LogRecord, RecoveredLog, encode
from marlseam.net.log import Log
from marlseam.net.loop import Coroutine, Loop
from marlseam.store.clock_era import unix_ms
from marlseam.store.disk import Disk
from marlseam.store.ledger_writer import LedgerWriter
from marlseam.store.log_writer_client import LogWriterClient
from marlseam.store.writer_channel import APPEND

MAX_FILE_MB = 1.0  # at which a file of the ledger is begun anew
DISK_TIMEOUT_MS = 2000.0  # after which the disk counts as too slow
MAX_BACKOFF_MS = 2000.0  # between tries of a disk that failed: the node is out of service until it works


class LedgerClient(LogWriterClient):
    """Keeps a process that writes the ledger; `on_recovered` is called with what the ledger holds, once."""

    writer_module, what = "marlseam.store.ledger_writer", "the ledger"
    max_retry_delay_ms = MAX_BACKOFF_MS

    def __init__(
        self, loop: Loop, log: Log, path: Path, name: str, on_recovered: Callable[[RecoveredLog], None]
    ) -> None:
        """Make one for a member's ledger in a folder; nothing is read yet."""
        super().__init__(loop, log, path, name, "durable", MAX_FILE_MB, DISK_TIMEOUT_MS)
        self.on_recovered = on_recovered

    def load(self, report_findings: bool = True) -> None:
        """Read the ledger, and log what is wrong in it; raises OSError."""
        ledger = LedgerWriter(Disk(self.path), self.node)
        recovered = ledger.load()
        self.is_loaded = True
        for finding in ledger.findings if report_findings else ():
            self.log.line(f"ledger file {finding.name or self.path} code={finding.code}: {finding.text}")
            self.is_loss_logged = self.is_loss_logged or finding.code == "lost"
        self.on_recovered(recovered)

    def try_load(self, lock_timeout_s: float) -> OSError | None:
        """Take the lock and read the ledger; return the error if that cannot be."""
        try:
            self.take_lock(lock_timeout_s)
            self.load()
        except OSError as error:
            return error
        return None

    def read(self) -> Coroutine:
        """Read the ledger once its lock could be had: it is small."""
        self.load()
        return
        yield  # makes this a coroutine, as `read` is, which ends at once

    def append(self, record: LogRecord) -> int:
        """Have a record written; return its number, 0 where the disk does not serve."""
        return self.send_message(APPEND, encode(record)) if self.is_available() else 0

    def fault(self) -> str:
        """Return why nothing becomes durable at this moment, as a code, or nothing."""
        return "" if self.is_available() else self.code or "slow"

    def wall_ms(self) -> float:
        """Return Unix ms, by a clock that does not jump."""
        return unix_ms(self.era)
