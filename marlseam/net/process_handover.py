"""Handover of state from an old process of a node to a new one, and updates between them while both serve.

Each process has a Unix socket in a directory that all share, named by its process number, and connects to
all others at its start. The messages and their checks are in marlseam/recovery/handover_codec.py.
"""

import os
import socket
from collections.abc import Callable
from contextlib import suppress
from math import inf
from pathlib import Path

from marlseam.net.connection import Steps
from marlseam.net.discovery import ListSnapshot
from marlseam.net.errors import MalformedMessageError
from marlseam.net.handover_messages import HandoverMessages
from marlseam.net.http import CAPACITY_RETRY_MS
from marlseam.net.loop import READ, WRITE, Cancelled, Coroutine, sleep
from marlseam.net.node_interface import HandoverHost
from marlseam.net.peer_process import PeerProcess
from marlseam.net.request_ids import RequestIds
from marlseam.recovery import handover_codec
from marlseam.recovery.handover_codec import InvalidLineError

# How long a new process waits for snapshots, from its first connection on, and the time between its tries to
# connect to a process that does not accept.
SNAPSHOT_TIMEOUT_MS = 1000.0
HELLO_TIMEOUT_MS = 50.0  # how long the snapshot for a later process waits for its hello
MAX_PEERS = 4  # maximum number of other processes connected at a time
READ_BYTES = 1 << 16  # maximum size of one read from another process
MAX_UNSENT_BYTES = 1 << 22  # unsent bytes to one process above which its connection is closed
MAX_SNAPSHOT_BYTES = 1 << 24  # maximum received from one process until its snapshot is complete
PREFIX, SUFFIX = "marlseam-", ".sock"


class ProcessHandover(HandoverMessages):
    """Connects a node's process to the other processes that serve under the node's name.

    `on_complete` is called once, when the node may begin to serve, with the endpoint list of the highest
    version in all snapshots.

    Attributes:
        is_done: whether all snapshots are complete, or were given up after SNAPSHOT_TIMEOUT_MS.
        caller_count: how many connections from later processes were accepted.
        sock: the listening Unix socket; None while there is none.
        path: the name of that socket.

    """

    def __init__(
        self,
        node: HandoverHost,
        directory: str,
        request_ids: RequestIds,
        on_complete: Callable[[ListSnapshot], None],
    ) -> None:
        super().__init__(node, request_ids)
        request_ids.exchange = self
        self.on_complete = on_complete
        self.is_done, self.caller_count = False, 0
        self.sock: socket.socket | None = None
        self.path = Path(directory) / f"{PREFIX}{os.getpid()}{SUFFIX}"

    # Start.

    def begin(self) -> None:
        """Listen for later processes, and connect to all that run already."""
        self.listen()
        for path in sorted(self.path.parent.glob(f"{PREFIX}*{SUFFIX}")):
            if path != self.path:
                self.connect(path)
        if self.peers:
            self.node.apply_process_count()
        self.loop.call_at(self.began_ms + SNAPSHOT_TIMEOUT_MS, self.finish)
        self.finish_if_complete()

    def listen(self) -> None:
        """Listen for later processes; where that fails, log it and go on without."""
        try:
            temporary = self.path.with_suffix(".new")
            temporary.unlink(missing_ok=True)  # may be left by an earlier process with the same number
            self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            self.sock.setblocking(False)
            self.sock.bind(str(temporary))
            self.sock.listen(MAX_PEERS)
            # Guards against a process that starts at the same time: it would take a socket that is bound and
            # does not listen yet, and so refuses, for one of a process that was killed.
            temporary.rename(self.path)
        except OSError as error:
            self.log_fault(
                "unheard", f"later processes of this node get no handover, as this one cannot listen: {error}"
            )
            self.close()
        else:
            self.loop.spawn(self.accept(self.sock), prioritized=True)

    def connect(self, path: Path) -> None:
        """Connect to another process; a socket that refuses belongs to a killed process, and is removed."""
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        except OSError as error:
            # Guards the node's start against a system that refuses Unix sockets: this process starts without
            # the history of the other process, which counts as unavailable as long as this one runs.
            self.mark_history_unavailable(path.name, None)
            self.log_fault(
                "unheard", f"{path.name}: cannot create a socket to get the history of its process: {error}"
            )
            return
        sock.setblocking(False)
        self.unconnected.discard(path.name)
        try:
            sock.connect(str(path))
        except ConnectionRefusedError:
            path.unlink(missing_ok=True)
            if path.name in self.node.reducer.unavailable_history.last_sent_ms:
                self.mark_history_unavailable(path.name, self.loop.now())
        except BlockingIOError:
            # The process runs but does not accept, as it hangs: it may go on at any time and then answer.
            self.unconnected.add(path.name)
            if path.name not in self.node.reducer.unavailable_history.last_sent_ms:
                self.mark_history_unavailable(path.name, None)
                self.log_fault(
                    "silent", f"{path.name}: its process does not accept connections, connecting is retried"
                )
            self.loop.call_at(self.loop.now() + SNAPSHOT_TIMEOUT_MS, lambda: self.connect(path))
        except OSError as error:
            # Guards against a process that ended just now and did not send its history.
            self.mark_history_unavailable(path.name, self.loop.now())
            self.log_fault(
                "unheard", f"{path.name}: cannot connect to its process, which may have just ended: {error}"
            )
        else:
            self.add_peer(PeerProcess(sock, True, path.name))
            return
        sock.close()

    def accept(self, listener: socket.socket) -> Coroutine:
        """Accept connections from later processes, at most MAX_PEERS at a time."""
        descriptors = self.loop.descriptors
        while True:
            yield (listener.fileno(), READ, inf)
            try:
                sock, _ = descriptors.open_with_release(listener.accept, use_spares=True)
            except OSError:
                # Guards against a busy loop: a connection that cannot be accepted keeps the socket readable.
                yield from sleep(self.loop.now() + CAPACITY_RETRY_MS)
                continue
            sock.setblocking(False)
            if len(self.peers) >= MAX_PEERS:
                sock.close()
                continue
            self.caller_count += 1
            self.add_peer(PeerProcess(sock, False, f"caller {self.caller_count}"))
            self.node.apply_process_count()

    def add_peer(self, peer: PeerProcess) -> None:
        """Start to exchange messages with another process."""
        self.peers[peer] = None
        is_in_cluster, epoch_ms = self.node.config_service is not None, self.loop.clock.epoch_ms()
        peer.unsent += handover_codec.encode_hello(
            self.node.config.name, os.getpid(), is_in_cluster, epoch_ms, shares_ids=peer.is_outgoing
        )
        peer.task = self.loop.spawn(self.exchange(peer), prioritized=True)

    def finish_if_complete(self) -> None:
        """Finish the start if every process that this one connected to has sent its whole snapshot."""
        if all(peer.is_snapshot_complete for peer in self.peers):
            self.finish()

    def finish(self) -> None:
        """Call `on_complete`; the history of processes without a whole snapshot by now is unavailable."""
        if self.is_done:
            return
        self.is_done = True
        for peer in list(self.peers):
            if not peer.is_snapshot_complete:
                self.mark_history_unavailable(peer.source, None)
                self.log_fault(
                    "silent",
                    f"process {peer.name()} did not complete its snapshot in time: this process starts "
                    "without it",
                )
        took_ms = self.loop.now() - self.began_ms
        latest = self.latest_list
        if latest.rows:
            self.log.line(
                f"received an endpoint list of {len(latest.rows)} servers, list version {latest.version}, "
                f"from another process of this node in {took_ms:.0f} ms; used unless a newer one is held"
            )
        self.on_complete(latest)

    # Exchange of messages.

    def exchange(self, peer: PeerProcess) -> Coroutine:
        """Read and write until the connection to another process ends; the snapshot goes first.

        The hello of a process that connected says what its snapshot must hold.
        """
        try:
            if not peer.is_outgoing:
                yield from self.send_snapshot(peer)
            while True:
                peer.flush()
                yield (peer.sock.fileno(), READ | (WRITE if peer.unsent else 0), inf)
                if not self.read(peer):
                    break
        except OSError:
            self.remove_peer(peer)
        except Cancelled:
            raise
        else:
            self.remove_peer(peer)

    def send_snapshot(self, peer: PeerProcess) -> Steps:
        """Wait for the hello of a process that connected, and put its snapshot among the unsent bytes."""
        peer.flush()
        if peer.hello is None:
            yield (peer.sock.fileno(), READ, self.loop.now() + HELLO_TIMEOUT_MS)
        if not self.read(peer):
            raise ConnectionResetError
        peer.unsent += b"".join(self.snapshot(peer))
        peer.unsent_snapshot_bytes = len(peer.unsent)

    def read(self, peer: PeerProcess) -> bool:
        """Read and handle all bytes that have come; return whether the connection goes on."""
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
                self.log_fault(
                    getattr(error, "code", "odd"), f"connection to process {peer.name()} is closed: {error}"
                )
                return False

    def receive_bytes(self, peer: PeerProcess, data: bytes) -> None:
        """Handle received bytes; raises InvalidLineError or MalformedMessageError for an invalid message."""
        peer.received_bytes += len(data)
        if not peer.is_snapshot_complete and peer.received_bytes > MAX_SNAPSHOT_BYTES:
            raise InvalidLineError("too-large", "its snapshot has more than 16 MiB")
        for raw in peer.lines.feed(data):
            for item in handover_codec.parse_line(raw):
                self.receive(peer, item)

    # Writing.

    def write(self, text: bytes, peers: list[PeerProcess]) -> None:
        """Write a line to some processes, without blocking; a connection that fails or lags is closed."""
        for peer in peers:
            peer.unsent += text
            try:
                peer.flush()
            except OSError:
                self.remove_peer(peer)
                continue
            if len(peer.unsent) > MAX_UNSENT_BYTES:
                # Guards this process's memory against a peer that hangs and reads nothing.
                self.log_fault(
                    "behind",
                    f"process {peer.name()} does not read, its connection is closed: too much is unsent",
                )
                self.remove_peer(peer)
            elif peer.unsent and peer.task is not None:
                peer.task.wake()

    def catch_up(self) -> None:
        """Read what the other processes have sent by now, before a request is handled.

        A process sends its attempt records before it answers its client, so that they have arrived here
        before that client's retry can; it sends the id of a request when it takes it.
        """
        for peer in list(self.peers):
            if not self.read(peer):
                self.remove_peer(peer)

    def remove_peer(self, peer: PeerProcess) -> None:
        """Close the connection to another process; without its goodbye, its history becomes unavailable."""
        if peer not in self.peers:
            return
        del self.peers[peer]
        self.loop.close(peer.sock)
        if peer.task is not None:
            peer.task.cancel()
        if peer.is_snapshot_complete and peer.has_sent_goodbye:
            self.log.line(f"process {peer.name()} of this node has ended after it reported all its attempts")
        else:
            # Guards against a process that was killed, or hangs and was disconnected: its last attempts may
            # not have been received.
            self.mark_history_unavailable(peer.source, self.loop.now())
            self.log_fault(
                "cut",
                f"connection to process {peer.name()} ended without its goodbye or without its whole "
                "snapshot: its last attempts may be unknown here",
            )
        self.node.apply_process_count()
        if not self.is_done:
            self.finish_if_complete()

    def process_count(self) -> int:
        """Return how many processes serve as this node, this one included."""
        return 1 + len({peer.hello.process if peer.hello else id(peer) for peer in self.peers})

    def close(self) -> None:
        """Send all other processes a goodbye, and remove the socket from the directory."""
        for peer in self.peers:
            peer.unsent += handover_codec.GOODBYE_LINE
            with suppress(OSError):
                peer.flush()
        if self.sock is not None:
            self.loop.close(self.sock)
            with suppress(OSError):
                self.path.unlink(missing_ok=True)
            self.sock = None
