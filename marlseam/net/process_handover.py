"""What an old process of a node tells the new one, and both each other while both serve.

Each has a Unix socket in the folder that they share, under its own process number, and calls all others at
its start. The form of what is told, and its checks, are those of marlseam/recovery/handover_codec.py.
"""

import os
import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING

from marlseam import core
from marlseam.core.idempotency import AttemptRecord, told
from marlseam.net import protocol
from marlseam.net.http import PAUSE_MS
from marlseam.net.loop import READ, WRITE, Cancelled, Coroutine, Task, sleep
from marlseam.recovery import handover_codec as form
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

if TYPE_CHECKING:
    from marlseam.net.node import Node

WAIT_MS = 1000.0  # how long a new process waits for what others have to tell, and before it calls again
PEERS_MOST = 4  # processes that are listened to at a time
READ_MOST = 1 << 16  # bytes read at a time
BEHIND_MOST = 1 << 22  # bytes that another process may be behind with reading
SNAPSHOT_MOST = 1 << 24  # bytes of all that one tells at first
PREFIX, SUFFIX = "marlseam-", ".sock"


class PeerProcess:
    """Another process of this node."""

    def __init__(self, sock: socket.socket, called: bool, source: str) -> None:
        self.sock, self.called = sock, called  # by us, who then want to know all
        self.source = source  # what it is called where the reducer knows or lacks what it sent
        self.over = False  # it has said that it sends nothing any more
        self.out, self.lines = bytearray(), protocol.Lines()
        self.hello: Hello | None = None
        self.seq, self.hosts, self.size = -1, list[dict](), 0
        self.sendings, self.whole = 0, not called
        self.task: Task | None = None

    def flush(self) -> None:
        """Write what can be written without waiting."""
        with suppress(BlockingIOError, InterruptedError):
            while self.out:
                del self.out[: self.sock.send(self.out)]


class ProcessHandover:
    """Joins a node to the other processes that serve under its name; `done` is called once it may begin."""

    def __init__(self, node: "Node", done: Callable[[int, list[dict]], None]) -> None:
        self.node, self.loop, self.log, self.done = node, node.loop, node.log, done
        self.peers: dict[PeerProcess, None] = {}
        self.began_ms, self.begun, self.count = self.loop.now(), False, 0
        self.seq, self.hosts = -1, list[dict]()
        self.sock: socket.socket | None = None
        self.path = Path(node.config.folder) / f"{PREFIX}{os.getpid()}{SUFFIX}"

    # The start.

    def begin(self) -> None:
        """Listen for later processes, and call those that are there; the node begins when all have told."""
        try:
            new = self.path.with_suffix(".new")
            new.unlink(missing_ok=True)  # of an earlier process under this number
            self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            self.sock.setblocking(False)
            self.sock.bind(str(new))
            self.sock.listen(PEERS_MOST)
            # Guards against one that starts at the same time, and takes a name that refuses for a dead one's.
            new.rename(self.path)
        except OSError as error:
            self.say("unheard", f"no later process can be told anything: {error}")
            self.close()
        else:
            self.loop.spawn(self.accept(), first=True)
        for path in sorted(self.path.parent.glob(f"{PREFIX}*{SUFFIX}")):
            if path != self.path:
                self.call(path)
        if self.peers:
            self.node.share()
        self.loop.at(self.began_ms + WAIT_MS, self.finish)
        self.look()

    def call(self, path: Path) -> None:
        """Call another process; a name that refuses is that of one that was killed."""
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        except OSError as error:
            # Guards a start where such sockets are refused: what the other knows stays unknown.
            self.lacks(path.name, None)
            self.say("unheard", f"{path.name}: {error}")
            return
        sock.setblocking(False)
        try:
            sock.connect(str(path))
        except ConnectionRefusedError:
            path.unlink(missing_ok=True)
            if path.name in self.node.core.untold:
                self.lacks(path.name, self.loop.now())
        except BlockingIOError:
            # It is there and does not even listen; it may go on at any time, and then tells.
            if path.name not in self.node.core.untold:
                self.lacks(path.name, None)
                self.say("silent", f"{path.name} does not listen")
            self.loop.at(self.loop.now() + WAIT_MS, lambda: self.call(path))
        except OSError as error:
            self.lacks(path.name, self.loop.now())  # guards against one that ended just now, its work untold
            self.say("unheard", f"{path.name}: {error}")
        else:
            self.join(PeerProcess(sock, True, path.name))
            return
        sock.close()

    def lacks(self, source: str, since_ms: float | None) -> None:
        """Note that what another process has sent is not known, the last of it at some time or to come."""
        if source not in self.node.core.untold:
            self.log.line("what may have run under a key is not known: marked retries go nowhere for now")
        self.node.post(core.HistoryUnavailable(source, since_ms))

    def accept(self) -> Coroutine:
        """Take in later processes."""
        descriptors = self.loop.descriptors
        while True:
            yield (self.sock.fileno(), READ, inf)
            try:
                sock, _ = descriptors.opened(self.sock.accept, own=True)
            except OSError:
                # Guards against a busy loop: who calls still stands there where nothing can be taken.
                yield from sleep(self.loop.now() + PAUSE_MS)
                continue
            sock.setblocking(False)
            if len(self.peers) >= PEERS_MOST:
                sock.close()
                continue
            self.count += 1
            self.join(PeerProcess(sock, False, f"caller {self.count}"))
            self.node.share()

    def join(self, peer: PeerProcess) -> None:
        """Begin to talk with another process."""
        self.peers[peer] = None
        fleet, epoch_ms = self.node.acting is not None, self.loop.clock.epoch_ms()
        peer.out += form.hello(self.node.config.name, os.getpid(), fleet, epoch_ms)
        if not peer.called:
            peer.out += b"".join(self.snapshot())
        peer.task = self.loop.spawn(self.talk(peer), first=True)

    def snapshot(self) -> Iterable[bytes]:
        """Return the lines that tell what this process holds."""
        node = self.node
        node.core.idempotency_records.expire(self.loop.now())
        sendings = (self.row(key, trace) for key, trace in node.core.idempotency_records)
        return form.snapshot(max(0, node.discovery.version), node.discovery.rows(), sendings)

    def look(self) -> None:
        """Begin once every process called has told all."""
        if all(peer.whole for peer in self.peers):
            self.finish()

    def finish(self) -> None:
        """Begin, with what was told by now."""
        if self.begun:
            return
        self.begun = True
        for peer in list(self.peers):
            if not peer.whole:
                self.lacks(peer.source, None)
                self.say("silent", f"process {self.name(peer)} did not tell all in time")
        took = self.loop.now() - self.began_ms
        if self.hosts:
            self.log.line(f"takes over {len(self.hosts)} executors, list {self.seq}, in {took:.0f} ms")
        self.done(self.seq, self.hosts)

    # Talking.

    def talk(self, peer: PeerProcess) -> Coroutine:
        """Read and write until the other process ends."""
        try:
            while True:
                peer.flush()
                yield (peer.sock.fileno(), READ | (WRITE if peer.out else 0), inf)
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
                data = peer.sock.recv(READ_MOST)
            except (BlockingIOError, InterruptedError):
                return True
            except OSError:
                return False
            if not data:
                return False
            try:
                peer.size += len(data)
                if not peer.whole and peer.size > SNAPSHOT_MOST:
                    raise InvalidLineError("too-large", "it tells too much")
                for raw in peer.lines.feed(data):
                    for item in form.read(raw):
                        self.take(peer, item)
            except (InvalidLineError, protocol.Malformed) as error:
                self.say(getattr(error, "code", "odd"), f"process {self.name(peer)}: {error}")
                return False

    def take(self, peer: PeerProcess, item: HandoverItem) -> None:
        """Take in one thing that another process tells."""
        if type(item) is Hello:
            if item.node != self.node.config.name:
                raise InvalidLineError("foreign", f"it is {item.node:.80}")
            peer.hello = item
            if item.fleet and self.node.acting is not None:
                self.node.acting.prove()
        elif peer.hello is None:
            raise InvalidLineError("odd", "it says nothing of itself")
        elif type(item) is ListPart:
            peer.hosts += item.hosts
            peer.seq = item.seq
        elif type(item) is AttemptSent:
            self.node.post(core.PeerAttempt(item.key, self.trace(peer, item)))
            peer.sendings += 1
        elif type(item) is AttemptNeverRan:
            self.node.post(core.PeerAttemptNeverRan(item.key, item.executor, self.here(peer, item.sent_ms)))
        elif type(item) is Goodbye:
            peer.over = True
        elif type(item) is VersionProof:
            if self.node.acting is not None:
                self.node.acting.proved(item.number, item.id, item.mono_ms)
        elif type(item) is SnapshotEnd and not peer.whole:
            peer.whole = True
            self.node.post(core.HistoryAvailable(peer.source))
            if peer.seq > self.seq:
                self.seq, self.hosts = peer.seq, peer.hosts
            took = self.loop.now() - self.began_ms
            self.log.line(
                f"process {self.name(peer)} told of {len(peer.hosts)} executors and {peer.sendings} sendings "
                f"after {took:.0f} ms"
            )
            self.look()

    def tell(self, effect: core.PersistAttempt | core.ErasePersisted) -> None:
        """Tell all others of a sending that may run from now on, or that provably never did."""
        if not self.peers:
            return
        if type(effect) is core.PersistAttempt:
            text = form.sent([self.row(effect.key, effect.trace)])
        else:
            sent_ms = self.loop.clock.to_unix(effect.sent_ms)
            text = form.never(AttemptNeverRan(effect.key, effect.server, sent_ms))
        self.pass_on(text, list(self.peers))

    def prove(self, number: int, id: str, mono_ms: float) -> None:
        """Tell those that want it when a fleet's version was in force."""
        asked = [peer for peer in self.peers if peer.hello is not None and peer.hello.fleet]
        self.pass_on(form.proof(VersionProof(number, id, mono_ms)), asked)

    def pass_on(self, text: bytes, peers: list[PeerProcess]) -> None:
        """Write a line to some."""
        for peer in peers:
            peer.out += text
            try:
                peer.flush()
            except OSError:
                self.end(peer)
                continue
            if len(peer.out) > BEHIND_MOST:
                # Guards the memory against a process that hangs.
                self.say("behind", f"process {self.name(peer)} does not read")
                self.end(peer)
            elif peer.out and peer.task is not None:
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
        if peer.whole and peer.over:
            self.log.line(f"process {self.name(peer)} of this node has ended")
        else:
            # Guards also against one that was killed, or hangs and was left behind: its last sendings may be
            # on no line that came.
            self.lacks(peer.source, self.loop.now())
            self.say("cut", f"process {self.name(peer)} ended before it had told all")
        self.node.share()
        if not self.begun:
            self.look()

    def processes(self) -> int:
        """Return how many processes serve as this node, this one included."""
        return 1 + len({peer.hello.process if peer.hello else id(peer) for peer in self.peers})

    def close(self) -> None:
        """Tell others that nothing more is sent, and leave nothing behind in the folder."""
        for peer in self.peers:
            peer.out += form.OVER
            with suppress(OSError):
                peer.flush()
        if self.sock is not None:
            self.loop.close(self.sock)
            with suppress(OSError):
                self.path.unlink(missing_ok=True)
            self.sock = None

    # Words.

    def row(self, key: str, trace: AttemptRecord) -> AttemptSent:
        """Return a sending as it is told."""
        return AttemptSent(*told(key, trace, self.node.config.deployment.zones, self.loop.clock.to_unix))

    def here(self, peer: PeerProcess, unix_ms: float) -> float:
        """Return a Unix time as another process tells it on this process's clock.

        By the monotonic clock that both share, where it tells how its Unix times stand to that.
        """
        clock = self.loop.clock
        told_ms = peer.hello.epoch_ms if peer.hello is not None else None
        shift_ms = round(clock.epoch_ms() - told_ms) if told_ms is not None else 0
        return clock.from_unix(unix_ms + shift_ms)

    def trace(self, peer: PeerProcess, row: AttemptSent) -> AttemptRecord:
        """Return a sending on this process's clock."""
        zone = self.node.config.deployment.zones.get(row.zone, -1)
        sent_ms, until_ms = self.here(peer, row.sent_ms), self.here(peer, row.until_ms)
        return AttemptRecord(row.executor, zone, row.cell, sent_ms, until_ms)

    def name(self, peer: PeerProcess) -> str:
        """Return what another process is called in the log."""
        return str(peer.hello.process) if peer.hello else "unknown"

    def say(self, code: str, text: str) -> None:
        """Log what went wrong."""
        self.log.line(f"handover code={code} {text}")
