"""A node's client of its ledger: reads it once its lock is free, and appends through a writer process."""

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

MAX_FILE_MB = 1.0  # at this size a new file of the ledger is begun
DISK_TIMEOUT_MS = 2000.0  # a record that takes longer to become durable means that the disk is too slow
MAX_BACKOFF_MS = 2000.0  # longest delay of a retry of a failed disk; the node is out of service meanwhile


class LedgerClient(LogWriterClient):
    """Runs the process that writes the ledger; calls `on_recovered` once, with what the ledger holds."""

    writer_module, content_name = "marlseam.store.ledger_writer", "the ledger"
    max_retry_delay_ms = MAX_BACKOFF_MS

    def __init__(
        self, loop: Loop, log: Log, path: Path, name: str, on_recovered: Callable[[RecoveredLog], None]
    ) -> None:
        """Create the client of member `name` for the ledger in directory `path`; nothing is read yet."""
        super().__init__(loop, log, path, name, "durable", MAX_FILE_MB, DISK_TIMEOUT_MS)
        self.on_recovered = on_recovered

    def load(self, report_findings: bool = True) -> None:
        """Read the ledger, and with `report_findings` log the faults found in it; raises OSError."""
        ledger = LedgerWriter(Disk(self.path), self.node)
        recovered = ledger.load()
        self.is_loaded = True
        for finding in ledger.findings if report_findings else ():
            self.log.line(
                f"ledger file or directory {finding.name or self.path} code={finding.code}: {finding.text}"
            )
            self.is_loss_logged = self.is_loss_logged or finding.code == "lost"
        self.on_recovered(recovered)

    def try_load(self, lock_timeout_s: float) -> OSError | None:
        """Take the lock within a time and read the ledger; return the OSError if either fails, else None."""
        try:
            self.take_lock(lock_timeout_s)
            self.load()
        except OSError as error:
            return error
        return None

    def read(self) -> Coroutine:
        """Read the ledger in one step, as it is small; called once the lock is taken."""
        self.load()
        return
        yield  # makes this a coroutine, as the base class requires, which ends at once

    def append(self, record: LogRecord) -> int:
        """Send a record to the writer process; return its number, 0 where the disk is not available."""
        return self.send_message(APPEND, encode(record)) if self.is_available() else 0

    def fault(self) -> str:
        """Return a code for why nothing becomes durable at this moment; "" where records do."""
        return "" if self.is_available() else self.code or "slow"

    def wall_ms(self) -> float:
        """Return the present time in Unix ms, by a clock that does not jump when the system's is set."""
        return unix_ms(self.era)
