"""Another process of this node, as the handover talks with it."""

import socket
from contextlib import suppress
from typing import Any

from marlseam.net import protocol
from marlseam.net.loop import Task
from marlseam.recovery.handover_codec import Hello


class PeerProcess:
    """Another process of this node.

    Attributes:
        sock: the connection to it.
        is_called: whether this process connected, and so wants its snapshot.
        source: its name where the reducer knows or lacks its history.
        has_said_goodbye: whether it has said that it sends nothing any more.
        unsent: bytes that it has not taken yet.
        lines: cuts what comes into lines.
        received_bytes: how much has come.
        hello: what it says of itself; None until that has come.
        list_version: of the endpoint list in its snapshot; -1 for none.
        list_rows: the entries of that.
        attempt_count: attempts that it has told of.
        is_snapshot_complete: whether all that it holds has come; true where none is wanted.
        task: the coroutine that reads and writes.

    """

    def __init__(self, sock: socket.socket, is_called: bool, source: str) -> None:
        self.sock, self.is_called, self.source = sock, is_called, source
        self.has_said_goodbye = False
        self.unsent, self.lines = bytearray(), protocol.Lines()
        self.received_bytes = 0
        self.hello: Hello | None = None
        self.list_version, self.list_rows = -1, list[dict[str, Any]]()
        self.attempt_count, self.is_snapshot_complete = 0, not is_called
        self.task: Task | None = None

    def name(self) -> str:
        """Return what it is called in the log."""
        return str(self.hello.process) if self.hello else "unknown"

    def flush(self) -> None:
        """Write what can be written without waiting."""
        with suppress(BlockingIOError, InterruptedError):
            while self.unsent:
                del self.unsent[: self.sock.send(self.unsent)]

    def clock_shift_ms(self, epoch_ms: float) -> int:
        """Return what to add to its Unix times to have them by a process whose clocks differ by `epoch_ms`.

        By the monotonic clock that both share, where it tells how its Unix times stand to that.
        """
        its_epoch_ms = self.hello.epoch_ms if self.hello is not None else None
        return round(epoch_ms - its_epoch_ms) if its_epoch_ms is not None else 0
