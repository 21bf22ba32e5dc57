"""The ledgers of a node: the main one, and one beside it for a second process of the node, as in an upgrade.

The later process writes to the ledger beside the main one until the earlier process has released the main
one. Only then may the later process vote, as only the main ledger holds the node's memory of votes.
"""

import contextlib
import errno
from collections.abc import Callable
from pathlib import Path

from marlseam.cluster.audit_log import RecoveredLog
from marlseam.net.ledger_client import LedgerClient
from marlseam.net.log import Log
from marlseam.net.loop import Loop
from marlseam.store.disk import Disk
from marlseam.store.ledger_writer import BESIDE, LedgerWriter
from marlseam.store.log_writer_client import MAX_LOCK_WAIT_S

OnRecovered = Callable[[RecoveredLog], None]


class NodeLedger:
    """Chooses the ledger that a process writes to, and moves to the main one when that is free.

    Attributes:
        current: the ledger that this process writes to.
        main: the main ledger while another process of the node has it; else None.
        on_recovered: called with what was read, before anything is written.
        on_moved: called with what the main ledger holds, once this process writes to it.

    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        folder: Path,
        name: str,
        on_recovered: OnRecovered,
        on_moved: OnRecovered,
    ) -> None:
        """Create the clients of member `name` for the ledger in `folder`; nothing is read yet."""
        self.loop, self.log, self.folder, self.name = loop, log, folder, name
        self.on_recovered, self.on_moved = on_recovered, on_moved
        self.current = LedgerClient(loop, log, folder, name, on_recovered)
        self.main: LedgerClient | None = None

    def load(self, may_write_beside: bool) -> bool:
        """Read the ledger; return whether a ledger was read.

        Where another process has the main ledger, use the one beside it at once if that is allowed; otherwise
        wait up to MAX_LOCK_WAIT_S for the main one's lock.
        """
        error = self.current.try_load(0.0 if may_write_beside else MAX_LOCK_WAIT_S)
        if error is None:
            return True
        if error.errno == errno.EAGAIN and may_write_beside and self.write_beside_main():
            return True
        self.current.mark_failed(error)
        return False

    def write_beside_main(self) -> bool:
        """Use the ledger beside the main one, which an old process has; return whether it could be read."""
        self.main = LedgerClient(self.loop, self.log, self.folder, self.name, self.move_to_main)
        self.current = LedgerClient(self.loop, self.log, self.folder / BESIDE, self.name, self.on_recovered)
        try:
            self.current.take_lock()
            self.current.load(report_findings=False)
            self.current.is_loss_logged = True  # no loss to log: this ledger never had a memory of votes
        except OSError:
            return False
        self.log.line(
            "fleet: another process of this node has the main ledger: this one writes to a second ledger and "
            "does not vote until the main one is released"
        )
        return True

    def start(self) -> None:
        """Start to write, and to wait for the main ledger's lock where another process has it."""
        self.current.begin()
        if self.main is not None:
            self.main.begin()

    def move_to_main(self, recovered: RecoveredLog) -> None:
        """Continue in the main ledger, which the old process has released; stop writing beside it."""
        if self.main is None:
            return
        beside, self.current, self.main = self.current, self.main, None
        self.on_moved(recovered)
        beside.stop_writing()
        self.log.line(
            "fleet: this process has taken over the node's main ledger, with the node's memory of votes"
        )

    def merge_other(self, recovered: RecoveredLog) -> RecoveredLog:
        """Merge the node's other ledger into `recovered`: its version and override where they are later."""
        other = self.main.path if self.main is not None else self.current.path / BESIDE
        if not other.exists():
            return recovered
        with contextlib.suppress(OSError):
            found = LedgerWriter(Disk(other), self.name).load()
            held = recovered.held
            if found.held is not None and (held is None or found.held.number > held.number):
                recovered.held = found.held
                recovered.contents |= found.contents
            if found.override_ms > recovered.override_ms:
                recovered.operator_override, recovered.override_ms = (
                    found.operator_override,
                    found.override_ms,
                )
        return recovered
