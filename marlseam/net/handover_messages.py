"""What the processes of a node tell each other during a handover: the meaning of each message.

The connections between them are in marlseam/net/process_handover.py, the form of the messages and its checks
in marlseam/recovery/handover_codec.py.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Any

from marlseam import core
from marlseam.core.idempotency import AttemptRecord, portable_record
from marlseam.net.discovery import ListSnapshot
from marlseam.net.node_interface import HandoverHost
from marlseam.net.peer_process import PeerProcess
from marlseam.net.request_ids import RequestIds
from marlseam.recovery import handover_codec
from marlseam.recovery.handover_codec import (
    AttemptNeverRan,
    AttemptSent,
    Goodbye,
    HandoverItem,
    Hello,
    InvalidLineError,
    ListPart,
    RequestClosed,
    RequestsOpened,
    SnapshotEnd,
    VersionProof,
)

HISTORY_INCOMPLETE = (
    "history of another process's keyed requests is incomplete: possible retries whose key is not on record "
    "are answered 500 until it is received or has expired"
)


class HandoverMessages(ABC):
    """Receives and sends the messages between the processes of a node; a subclass carries them.

    Attributes:
        request_ids: the correlation ids of open requests.
        peers: the other processes, in the order in which they were connected.
        unconnected: the socket names of processes that run and do not accept connections.
        began_ms: when this handover was created, by the loop's clock.
        latest_list: the endpoint list of the highest version received; version -1 for none.

    """

    def __init__(self, node: HandoverHost, request_ids: RequestIds) -> None:
        self.node, self.loop, self.log = node, node.loop, node.log
        self.request_ids = request_ids
        self.peers: dict[PeerProcess, None] = {}
        self.unconnected: set[str] = set()
        self.began_ms = self.loop.now()
        self.latest_list = ListSnapshot(-1, [])

    @abstractmethod
    def write(self, text: bytes, peers: list[PeerProcess]) -> None:
        """Write a line to some processes, without blocking."""

    @abstractmethod
    def finish_if_complete(self) -> None:
        """Finish the start if every process that this one connected to has sent its whole snapshot."""

    # Received messages.

    def receive(self, peer: PeerProcess, item: HandoverItem) -> None:
        """Handle one message; raises InvalidLineError where the first one is not Hello."""
        if peer.hello is None and type(item) is not Hello:
            raise InvalidLineError("odd", "expected a hello as its first message")
        HANDLERS[type(item)](self, peer, item)

    def receive_hello(self, peer: PeerProcess, item: Hello) -> None:
        """Store the hello, and share a proof if both processes are in a cluster.

        Raises InvalidLineError where it is from a process of another node.
        """
        if item.node != self.node.config.name:
            raise InvalidLineError(
                "foreign", f"expected a process of this node, got one of node {item.node:.80}"
            )
        peer.hello = item
        peer.shares_ids = peer.shares_ids or item.shares_ids
        if item.is_in_cluster and self.node.config_service is not None:
            self.node.config_service.share_proof()

    def receive_list_part(self, peer: PeerProcess, item: ListPart) -> None:
        """Add entries of the endpoint list in the snapshot."""
        peer.list_rows += item.hosts
        peer.list_version = item.seq

    def receive_attempt(self, peer: PeerProcess, item: AttemptSent) -> None:
        """Post an attempt of the other process, which may have run or may run from now on."""
        self.node.post(core.PeerAttempt(item.key, self.record_of(peer, item)))
        peer.attempt_count += 1

    def receive_never_ran(self, peer: PeerProcess, item: AttemptNeverRan) -> None:
        """Post that an attempt of the other process provably never ran."""
        sent_ms = self.local_ms(peer, item.sent_ms)
        self.node.post(core.PeerAttemptNeverRan(item.key, item.server, sent_ms))

    def receive_opened(self, peer: PeerProcess, item: RequestsOpened) -> None:
        """Add correlation ids under which the other process has a request open.

        The first such message of a process that sends a snapshot shows that it understands these messages.
        """
        if not peer.shares_ids:
            peer.shares_ids = True
            self.write(b"".join(handover_codec.encode_all_opened(self.request_ids.own)), [peer])
        peer.open_ids.update(item.ids)

    def receive_closed(self, peer: PeerProcess, item: RequestClosed) -> None:
        """Remove a correlation id under which the other process has no request open any more."""
        peer.open_ids.discard(item.id)

    def receive_snapshot_end(self, peer: PeerProcess, _item: SnapshotEnd) -> None:
        """Mark the snapshot complete: the other process's history is available now."""
        if peer.is_snapshot_complete:
            return
        peer.is_snapshot_complete = True
        self.node.post(core.HistoryAvailable(peer.source))
        if peer.list_version > self.latest_list.version:
            self.latest_list = ListSnapshot(peer.list_version, peer.list_rows)
        took_ms = self.loop.now() - self.began_ms
        self.log.line(
            f"process {peer.name()} of this node sent its snapshot of {len(peer.list_rows)} servers and "
            f"{peer.attempt_count} attempts, complete {took_ms:.0f} ms after the handover began"
        )
        self.finish_if_complete()

    def receive_goodbye(self, peer: PeerProcess, _item: Goodbye) -> None:
        """Note that the other process sends no attempt any more, and has reported all of them."""
        peer.has_sent_goodbye = True

    def receive_proof(self, _peer: PeerProcess, item: VersionProof) -> None:
        """Pass on a proof of when the cluster's configuration version was in force."""
        if self.node.config_service is not None:
            self.node.config_service.receive_proof(item.number, item.id, item.mono_ms)

    # Snapshot, attempts and proofs.

    def snapshot(self, peer: PeerProcess) -> Iterable[bytes]:
        """Return the lines of the snapshot for a process: endpoint list, attempts, and ids if requested."""
        node = self.node
        records = node.reducer.idempotency_records
        records.expire(self.loop.now())
        attempts = (self.message_of(key, record) for key, record in records)
        open_ids = self.request_ids.own if peer.shares_ids else None
        return handover_codec.encode_snapshot(
            max(0, node.discovery.version), node.discovery.rows(), attempts, open_ids
        )

    def send_attempt_record(self, effect: core.PersistAttempt | core.ErasePersisted) -> None:
        """Send all other processes an attempt that may run from now on, or that provably never ran."""
        if not self.peers:
            return
        if isinstance(effect, core.PersistAttempt):
            text = handover_codec.encode_sent([self.message_of(effect.key, effect.record)])
        else:
            sent_unix_ms = self.loop.clock.to_unix(effect.sent_ms)
            text = handover_codec.encode_never(AttemptNeverRan(effect.key, effect.server, sent_unix_ms))
        self.write(text, list(self.peers))

    def send_proof(self, number: int, content_id: str, mono_ms: float) -> None:
        """Send the processes in a cluster the proof that its version was in force at `mono_ms`.

        `mono_ms` is in ms of the machine's monotonic clock.
        """
        in_cluster = [peer for peer in self.peers if peer.hello is not None and peer.hello.is_in_cluster]
        self.write(handover_codec.encode_proof(VersionProof(number, content_id, mono_ms)), in_cluster)

    # Correlation ids.

    def send_opened(self, id: str) -> None:
        """Send all other processes that a request is open under an id."""
        self.write_to_sharing(handover_codec.encode_opened([id]))

    def send_closed(self, id: str) -> None:
        """Send all other processes that no request is open under an id any more."""
        self.write_to_sharing(handover_codec.encode_closed(id))

    def write_to_sharing(self, text: bytes) -> None:
        """Write a line to all processes that share correlation ids."""
        self.write(text, [peer for peer in self.peers if peer.shares_ids])

    def is_open_elsewhere(self, id: str) -> bool:
        """Return whether another process has a request open under an id, as far as it has told."""
        return any(id in peer.open_ids for peer in self.peers)

    def is_current(self) -> bool:
        """Return whether all processes of the node have each other's records and ids.

        Otherwise an unsafe request must not be sent: another process may have sent it already, or may do so.
        """
        return not self.unconnected and all(peer.is_current() for peer in self.peers)

    # Conversions.

    def message_of(self, key: str, record: AttemptRecord) -> AttemptSent:
        """Return the message for an attempt, with times in Unix ms and its zone by name."""
        zones = self.node.config.deployment.zones
        return AttemptSent(*portable_record(key, record, zones, self.loop.clock.to_unix))

    def record_of(self, peer: PeerProcess, row: AttemptSent) -> AttemptRecord:
        """Return the record of a received attempt, with times of this process's loop clock, in ms."""
        zone = self.node.config.deployment.zones.get(row.zone, -1)
        sent_ms, until_ms = self.local_ms(peer, row.sent_ms), self.local_ms(peer, row.until_ms)
        return AttemptRecord(row.server, zone, row.cell, sent_ms, until_ms)

    def local_ms(self, peer: PeerProcess, unix_ms: float) -> float:
        """Return another process's Unix time in ms as a time of this process's loop clock, in ms."""
        clock = self.loop.clock
        return clock.from_unix(unix_ms + peer.clock_shift_ms(clock.epoch_ms()))

    # Faults.

    def mark_history_unavailable(self, source: str, since_ms: float | None) -> None:
        """Post that another process's history is unavailable.

        `since_ms` is when its last attempt was sent at the latest, None while it may send more.
        """
        if source not in self.node.reducer.unavailable_history.last_sent_ms:
            self.log.line(HISTORY_INCOMPLETE)
        self.node.post(core.HistoryUnavailable(source, since_ms))

    def log_fault(self, code: str, text: str) -> None:
        """Log a fault of the handover with its code."""
        self.log.line(f"handover code={code} {text}")


HANDLERS: dict[type[HandoverItem], Callable[[HandoverMessages, PeerProcess, Any], None]] = {
    Hello: HandoverMessages.receive_hello,
    ListPart: HandoverMessages.receive_list_part,
    AttemptSent: HandoverMessages.receive_attempt,
    AttemptNeverRan: HandoverMessages.receive_never_ran,
    RequestsOpened: HandoverMessages.receive_opened,
    RequestClosed: HandoverMessages.receive_closed,
    SnapshotEnd: HandoverMessages.receive_snapshot_end,
    Goodbye: HandoverMessages.receive_goodbye,
    VersionProof: HandoverMessages.receive_proof,
}
