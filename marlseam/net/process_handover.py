"""What an old process of a node hands over to the new one, and both tell each other while both serve.

Each has a Unix socket in the directory that they share, under its own process number, and connects to all
others at its start. The form of the messages, and their checks, are those of
marlseam/recovery/handover_codec.py.
"""

import os
import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from math import inf
from pathlib import Path
from typing import Any

from marlseam import core
from marlseam.core.idempotency import AttemptRecord, portable_record
from marlseam.net.discovery import ListSnapshot
from marlseam.net.errors import MalformedMessageError
from marlseam.net.http import CAPACITY_RETRY_MS
from marlseam.net.loop import READ, WRITE, Cancelled, Coroutine, sleep
from marlseam.net.node_interface import HandoverHost
from marlseam.net.peer_process import PeerProcess
from marlseam.recovery import handover_codec
from marlseam.recovery.handover_codec import (
    AttemptNeverRan,
    AttemptSent,
    Goodbye,
    HandoverItem,
    Hello,
    InvalidLineError,
    ListPart,
    SnapshotEnd,
    VersionProof,
)

SNAPSHOT_TIMEOUT_MS = 1000.0  # how long a new process waits for snapshots, and before it connects again
MAX_PEERS = 4  # other processes that are listened to at a time
READ_BYTES = 1 << 16  # read at a time
MAX_UNSENT_BYTES = 1 << 22  # that another process may be behind with reading
MAX_SNAPSHOT_BYTES = 1 << 24  # of all that one tells at first
PREFIX, SUFFIX = "marlseam-", ".sock"
HISTORY_UNKNOWN = "what may have run under a key is not known: marked retries go nowhere for now"


class ProcessHandover:
    """Joins a node to the other processes that serve under its name.

    `done` is called once, with the latest endpoint list of all snapshots, when the node may begin to serve.

    Attributes:
        peers: the other processes, in the order in which they were joined.
        is_done: whether the snapshots are taken in, or given up.

    """

    def __init__(self, node: HandoverHost, directory: str, done: Callable[[ListSnapshot], None]) -> None:
        self.node, self.loop, self.log, self.done = node, node.loop, node.log, done
        self.peers: dict[PeerProcess, None] = {}
        self.began_ms, self.is_done, self.caller_count = self.loop.now(), False, 0
        self.latest_list = ListSnapshot(-1, [])
        self.sock: socket.socket | None = None
        self.path = Path(directory) / f"{PREFIX}{os.getpid()}{SUFFIX}"

    # The start.

    def begin(self) -> None:
        """Listen for later processes, and connect to those that are there."""
        self.listen()
        for path in sorted(self.path.parent.glob(f"{PREFIX}*{SUFFIX}")):
            if path != self.path:
                self.connect(path)
        if self.peers:
            self.node.apply_process_count()
        self.loop.at(self.began_ms + SNAPSHOT_TIMEOUT_MS, self.finish)
        self.finish_if_complete()

    def listen(self) -> None:
        """Listen for later processes, where that can be had."""
        try:
            temporary = self.path.with_suffix(".new")
            temporary.unlink(missing_ok=True)  # of an earlier process under this number
            self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            self.sock.setblocking(False)
            self.sock.bind(str(temporary))
            self.sock.listen(MAX_PEERS)
            # Guards against one that starts at the same time, and takes a name that refuses for a dead one's.
            temporary.rename(self.path)
        except OSError as error:
            self.log_fault("unheard", f"no later process can connect: {error}")
            self.close()
        else:
            self.loop.spawn(self.accept(self.sock), first=True)

    def connect(self, path: Path) -> None:
        """Connect to another process; a name that refuses is that of one that was killed."""
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        except OSError as error:
            # Guards a start where such sockets are refused: what the other knows stays unknown.
            self.mark_unknown(path.name, None)
            self.log_fault("unheard", f"{path.name}: {error}")
            return
        sock.setblocking(False)
        try:
            sock.connect(str(path))
        except ConnectionRefusedError:
            path.unlink(missing_ok=True)
            if path.name in self.node.reducer.unavailable_history.last_sent_ms:
                self.mark_unknown(path.name, self.loop.now())
        except BlockingIOError:
            # It is there and does not even listen; it may go on at any time, and then tells.
            if path.name not in self.node.reducer.unavailable_history.last_sent_ms:
                self.mark_unknown(path.name, None)
                self.log_fault("silent", f"{path.name} does not listen")
            self.loop.at(self.loop.now() + SNAPSHOT_TIMEOUT_MS, lambda: self.connect(path))
        except OSError as error:
            # Guards against one that ended just now, its history untold.
            self.mark_unknown(path.name, self.loop.now())
            self.log_fault("unheard", f"{path.name}: {error}")
        else:
            self.join(PeerProcess(sock, True, path.name))
            return
        sock.close()

    def mark_unknown(self, source: str, since_ms: float | None) -> None:
        """Note that what another process has sent is not known, the last of it at some time or to come."""
        if source not in self.node.reducer.unavailable_history.last_sent_ms:
            self.log.line(HISTORY_UNKNOWN)
        self.node.post(core.HistoryUnavailable(source, since_ms))

    def accept(self, listener: socket.socket) -> Coroutine:
        """Take in later processes."""
        descriptors = self.loop.descriptors
        while True:
            yield (listener.fileno(), READ, inf)
            try:
                sock, _ = descriptors.opened(listener.accept, own=True)
            except OSError:
                # Guards against a busy loop: who connects still stands there where nothing can be taken.
                yield from sleep(self.loop.now() + CAPACITY_RETRY_MS)
                continue
            sock.setblocking(False)
            if len(self.peers) >= MAX_PEERS:
                sock.close()
                continue
            self.caller_count += 1
            self.join(PeerProcess(sock, False, f"caller {self.caller_count}"))
            self.node.apply_process_count()

    def join(self, peer: PeerProcess) -> None:
        """Begin to talk with another process."""
        self.peers[peer] = None
        is_in_cluster, epoch_ms = self.node.config_service is not None, self.loop.clock.epoch_ms()
        peer.unsent += handover_codec.encode_hello(
            self.node.config.name, os.getpid(), is_in_cluster, epoch_ms
        )
        if not peer.is_called:
            peer.unsent += b"".join(self.snapshot())
        peer.task = self.loop.spawn(self.exchange(peer), first=True)

    def snapshot(self) -> Iterable[bytes]:
        """Return the lines that tell what this process holds."""
        node = self.node
        records = node.reducer.idempotency_records
        records.expire(self.loop.now())
        attempts = (self.message_of(key, record) for key, record in records)
        return handover_codec.encode_snapshot(max(0, node.discovery.version), node.discovery.rows(), attempts)

    def finish_if_complete(self) -> None:
        """Finish once every process connected to has told all."""
        if all(peer.is_snapshot_complete for peer in self.peers):
            self.finish()

    def finish(self) -> None:
        """Let the node begin, with what was told by now."""
        if self.is_done:
            return
        self.is_done = True
        for peer in list(self.peers):
            if not peer.is_snapshot_complete:
                self.mark_unknown(peer.source, None)
                self.log_fault("silent", f"process {peer.name()} did not complete its snapshot in time")
        took_ms = self.loop.now() - self.began_ms
        latest = self.latest_list
        if latest.rows:
            self.log.line(
                f"takes over {len(latest.rows)} servers, list {latest.version}, in {took_ms:.0f} ms"
            )
        self.done(latest)

    # The conversation.

    def exchange(self, peer: PeerProcess) -> Coroutine:
        """Read and write until the other process ends."""
        try:
            while True:
                peer.flush()
                yield (peer.sock.fileno(), READ | (WRITE if peer.unsent else 0), inf)
                if not self.read(peer):
                    break
        except OSError:
            self.end(peer)
        except Cancelled:
            raise
        else:
            self.end(peer)

    def read(self, peer: PeerProcess) -> bool:
        """Take in all that has come; return whether more may."""
        while True:
            try:
                data = peer.sock.recv(READ_BYTES)
            except (BlockingIOError, InterruptedError):
                return True
            except OSError:
                return False
            if not data:
                return False
            try:
                self.receive_bytes(peer, data)
            except (InvalidLineError, MalformedMessageError) as error:
                self.log_fault(getattr(error, "code", "odd"), f"process {peer.name()}: {error}")
                return False

    def receive_bytes(self, peer: PeerProcess, data: bytes) -> None:
        """Take in some bytes; raises where they are no valid messages, or too many."""
        peer.received_bytes += len(data)
        if not peer.is_snapshot_complete and peer.received_bytes > MAX_SNAPSHOT_BYTES:
            raise InvalidLineError("too-large", "its snapshot is too large")
        for raw in peer.lines.feed(data):
            for item in handover_codec.parse_line(raw):
                self.receive(peer, item)

    def receive(self, peer: PeerProcess, item: HandoverItem) -> None:
        """Take in one message; the first must be Hello."""
        if peer.hello is None and type(item) is not Hello:
            raise InvalidLineError("odd", "its first message is no hello")
        HANDLERS[type(item)](self, peer, item)

    def receive_hello(self, peer: PeerProcess, item: Hello) -> None:
        """Note what the other process says of itself."""
        if item.node != self.node.config.name:
            raise InvalidLineError("foreign", f"it is {item.node:.80}")
        peer.hello = item
        if item.is_in_cluster and self.node.config_service is not None:
            self.node.config_service.share_proof()

    def receive_list_part(self, peer: PeerProcess, item: ListPart) -> None:
        """Take in some entries of the endpoint list."""
        peer.list_rows += item.hosts
        peer.list_version = item.seq

    def receive_attempt(self, peer: PeerProcess, item: AttemptSent) -> None:
        """Take in an attempt that may have run."""
        self.node.post(core.PeerAttempt(item.key, self.record_of(peer, item)))
        peer.attempt_count += 1

    def receive_never_ran(self, peer: PeerProcess, item: AttemptNeverRan) -> None:
        """Take in that an attempt provably never ran."""
        sent_ms = self.local_ms(peer, item.sent_ms)
        self.node.post(core.PeerAttemptNeverRan(item.key, item.server, sent_ms))

    def receive_snapshot_end(self, peer: PeerProcess, _item: SnapshotEnd) -> None:
        """Note that all that the other process holds has come."""
        if peer.is_snapshot_complete:
            return
        peer.is_snapshot_complete = True
        self.node.post(core.HistoryAvailable(peer.source))
        if peer.list_version > self.latest_list.version:
            self.latest_list = ListSnapshot(peer.list_version, peer.list_rows)
        took_ms = self.loop.now() - self.began_ms
        self.log.line(
            f"process {peer.name()} told of {len(peer.list_rows)} servers and "
            f"{peer.attempt_count} attempts after {took_ms:.0f} ms"
        )
        self.finish_if_complete()

    def receive_goodbye(self, peer: PeerProcess, _item: Goodbye) -> None:
        """Note that the other process sends nothing any more."""
        peer.has_said_goodbye = True

    def receive_proof(self, _peer: PeerProcess, item: VersionProof) -> None:
        """Take over a proof of when the cluster's version was in force."""
        if self.node.config_service is not None:
            self.node.config_service.receive_proof(item.number, item.id, item.mono_ms)

    def tell(self, effect: core.PersistAttempt | core.ErasePersisted) -> None:
        """Tell all others of an attempt that may run from now on, or that provably never did."""
        if not self.peers:
            return
        if isinstance(effect, core.PersistAttempt):
            text = handover_codec.encode_sent([self.message_of(effect.key, effect.record)])
        else:
            sent_unix_ms = self.loop.clock.to_unix(effect.sent_ms)
            text = handover_codec.encode_never(AttemptNeverRan(effect.key, effect.server, sent_unix_ms))
        self.write(text, list(self.peers))

    def prove(self, number: int, content_id: str, mono_ms: float) -> None:
        """Tell those in a cluster when its version was in force, by the machine's monotonic clock."""
        in_cluster = [peer for peer in self.peers if peer.hello is not None and peer.hello.is_in_cluster]
        self.write(handover_codec.encode_proof(VersionProof(number, content_id, mono_ms)), in_cluster)

    def write(self, text: bytes, peers: list[PeerProcess]) -> None:
        """Write a line to some."""
        for peer in peers:
            peer.unsent += text
            try:
                peer.flush()
            except OSError:
                self.end(peer)
                continue
            if len(peer.unsent) > MAX_UNSENT_BYTES:
                # Guards the memory against a process that hangs.
                self.log_fault("behind", f"process {peer.name()} does not read")
                self.end(peer)
            elif peer.unsent and peer.task is not None:
                peer.task.wake()

    def catch_up(self) -> None:
        """Take in what others have told by now.

        What another process told before it answered its client stands here before that client's retry can.
        """
        for peer in list(self.peers):
            if not self.read(peer):
                self.end(peer)

    def end(self, peer: PeerProcess) -> None:
        """Go on without another process."""
        if peer not in self.peers:
            return
        del self.peers[peer]
        self.loop.close(peer.sock)
        if peer.task is not None:
            peer.task.cancel()
        if peer.is_snapshot_complete and peer.has_said_goodbye:
            self.log.line(f"process {peer.name()} of this node has ended")
        else:
            # Guards also against one that was killed, or hangs and was left behind: its last attempts may be
            # on no line that came.
            self.mark_unknown(peer.source, self.loop.now())
            self.log_fault("cut", f"process {peer.name()} ended without telling its last attempts")
        self.node.apply_process_count()
        if not self.is_done:
            self.finish_if_complete()

    def processes(self) -> int:
        """Return how many processes serve as this node, this one included."""
        return 1 + len({peer.hello.process if peer.hello else id(peer) for peer in self.peers})

    def close(self) -> None:
        """Tell others that nothing more is sent, and leave nothing behind in the directory."""
        for peer in self.peers:
            peer.unsent += handover_codec.GOODBYE_LINE
            with suppress(OSError):
                peer.flush()
        if self.sock is not None:
            self.loop.close(self.sock)
            with suppress(OSError):
                self.path.unlink(missing_ok=True)
            self.sock = None

    # Messages.

    def message_of(self, key: str, record: AttemptRecord) -> AttemptSent:
        """Return an attempt as it is told."""
        zones = self.node.config.deployment.zones
        return AttemptSent(*portable_record(key, record, zones, self.loop.clock.to_unix))

    def record_of(self, peer: PeerProcess, row: AttemptSent) -> AttemptRecord:
        """Return an attempt by this process's clock."""
        zone = self.node.config.deployment.zones.get(row.zone, -1)
        sent_ms, until_ms = self.local_ms(peer, row.sent_ms), self.local_ms(peer, row.until_ms)
        return AttemptRecord(row.server, zone, row.cell, sent_ms, until_ms)

    def local_ms(self, peer: PeerProcess, unix_ms: float) -> float:
        """Return a Unix time as another process tells it by this process's clock."""
        clock = self.loop.clock
        return clock.from_unix(unix_ms + peer.clock_shift_ms(clock.epoch_ms()))

    def log_fault(self, code: str, text: str) -> None:
        """Log what went wrong."""
        self.log.line(f"handover code={code} {text}")


HANDLERS: dict[type[HandoverItem], Callable[[ProcessHandover, PeerProcess, Any], None]] = {
    Hello: ProcessHandover.receive_hello,
    ListPart: ProcessHandover.receive_list_part,
    AttemptSent: ProcessHandover.receive_attempt,
    AttemptNeverRan: ProcessHandover.receive_never_ran,
    SnapshotEnd: ProcessHandover.receive_snapshot_end,
    Goodbye: ProcessHandover.receive_goodbye,
    VersionProof: ProcessHandover.receive_proof,
}
