"""The connection to another process of this node, with what was received on it."""

import socket
from contextlib import suppress
from typing import Any

from marlseam.net import protocol
from marlseam.net.loop import Task
from marlseam.recovery.handover_codec import Hello


class PeerProcess:
    """Another process of this node.

    Attributes:
        sock: the Unix socket connected to the process.
        is_outgoing: whether this process opened the connection, and so receives the other one's snapshot.
        source: the name of the process as a source of history in the reducer.
        has_sent_goodbye: whether the process has announced that it sends nothing any more.
        unsent: bytes that wait to be written to the socket.
        lines: splits received bytes into lines.
        received_bytes: the number of bytes received.
        hello: the first message of the process; None until it was received.
        list_version: the version of the endpoint list in the snapshot; -1 for none.
        list_rows: the entries of that list.
        attempt_count: the number of attempts received.
        is_snapshot_complete: whether the whole snapshot was received; true where none is expected.
        open_ids: the correlation ids under which the process has a request open.
        shares_ids: whether the process has sent such ids, and so is sent those of this process.
        unsent_snapshot_bytes: how many of the first bytes in `unsent` belong to the snapshot for the process.
        task: the task that reads from and writes to the socket.

    """

    def __init__(self, sock: socket.socket, is_outgoing: bool, source: str) -> None:
        self.sock, self.is_outgoing, self.source = sock, is_outgoing, source
        self.has_sent_goodbye = False
        self.unsent, self.lines = bytearray(), protocol.Lines()
        self.received_bytes = 0
        self.hello: Hello | None = None
        self.list_version, self.list_rows = -1, list[dict[str, Any]]()
        self.attempt_count, self.is_snapshot_complete = 0, not is_outgoing
        self.open_ids: set[str] = set()
        self.shares_ids = False
        self.unsent_snapshot_bytes = 0
        self.task: Task | None = None

    def name(self) -> str:
        """Return the process number for the log, "unknown" before its hello."""
        return str(self.hello.process) if self.hello else "unknown"

    def flush(self) -> None:
        """Write what the socket takes without blocking; raises OSError where the connection has failed."""
        with suppress(BlockingIOError, InterruptedError):
            while self.unsent:
                sent = self.sock.send(self.unsent)
                del self.unsent[:sent]
                self.unsent_snapshot_bytes = max(0, self.unsent_snapshot_bytes - sent)

    def is_current(self) -> bool:
        """Return whether this process and the other one have each other's records and ids.

        A process that has not received its whole snapshot cannot tell which unsafe requests the other one has
        sent, and takes none itself; so what waits behind its snapshot is not late.
        """
        is_told = not self.unsent or self.unsent_snapshot_bytes > 0
        return self.is_snapshot_complete and is_told

    def clock_shift_ms(self, epoch_ms: float) -> int:
        """Return the ms to add to the process's Unix times to get those of a process of epoch `epoch_ms`.

        An epoch is the Unix time that a process assumes for the zero of the machine's monotonic clock, which
        all processes share. The shift is 0 where the hello has no epoch.
        """
        peer_epoch_ms = self.hello.epoch_ms if self.hello is not None else None
        return round(epoch_ms - peer_epoch_ms) if peer_epoch_ms is not None else 0
