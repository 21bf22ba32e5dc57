"""The node's side of its store.

Reads it at the start, hands entries to the helper, and knows what is durable.

Where the disk does not serve, the node goes on without: what waits to be durable goes on at once, the log
says so with a code, and the whole state is tried again with back-off.
"""

import contextlib
import errno
import json
import socket
import subprocess
import sys
import time
from collections import deque
from collections.abc import Callable
from math import inf
from pathlib import Path

import msgspec

from marlseam.config import StoreSettings
from marlseam.net.connection import Steps
from marlseam.net.log import Log
from marlseam.net.loop import READ, WRITE, Coroutine, Loop, Task, sleep
from marlseam.store import format as form
from marlseam.store.folder import Disk, Folder, code_of, lock
from marlseam.store.format import Entry
from marlseam.store.helper import APPEND, COMPACT, HEAD, SNAPSHOT
from marlseam.store.state import State

LOCK_S = (
    0.5  # how long a start waits for the lock, which the last life's helper holds until it has written all
)
BACK_MS, BACK_MOST_MS = 1000.0, 60000.0  # between tries of a disk that failed
AHEAD_MOST = 8 << 20  # bytes that may wait for the helper before the disk counts as slow


class Keeper:
    """A node's durable state; `entries` gives all of it for a snapshot."""

    def __init__(
        self, loop: Loop, log: Log, settings: StoreSettings, node: str, entries: Callable[[], list[Entry]]
    ) -> None:
        self.loop, self.log, self.settings, self.node, self.entries = loop, log, settings, node, entries
        self.path = Path(settings.folder)
        self.sent = self.done = 0  # messages handed to the helper, and carried out
        # Whether entries go to the helper: from its start on, as its first snapshot goes before them. Guards
        # what is sent in a node's first moments, before that snapshot is written, against being on no record.
        self.works = self.compacting = False
        self.told = False  # staff, that state is kept
        self.fresh = True  # nothing has been sent yet that the folder does not hold
        self.waiting: deque[tuple[int, Task]] = deque()
        self.out = bytearray()
        self.channel: socket.socket | None = None
        self.process: subprocess.Popen | None = None
        self.back_ms, self.code = BACK_MS, ""
        self.writer: Task | None = None
        self.lock: int | None = None

    # The start.

    def load(self) -> State:
        """Read what the last life left; an empty state where that cannot be."""
        end = time.monotonic() + LOCK_S
        while True:
            try:
                self.lock = lock(self.path)
                folder = Folder(Disk(self.path), self.node)
                state = folder.load(time.time() * 1000.0)
            except OSError as error:
                if error.errno == errno.EAGAIN and time.monotonic() < end:
                    time.sleep(0.01)  # before the loop runs: nothing else waits
                    continue
                self.fail(code_of(error), error.strerror or str(error))
                return State()
            for finding in folder.findings:
                self.log.line(f"state file {finding.name} code={finding.code}: {finding.text}")
            return state

    def begin(self) -> None:
        """Start the helper and have it compact what the last life left."""
        self.fresh = True
        self.loop.spawn(self.follow())

    def follow(self) -> Coroutine:
        """Keep a helper for as long as the node runs; one that ends is followed by another, with back-off."""
        while True:
            try:
                if self.lock is None:
                    self.lock = lock(self.path)
                self.start()
            except OSError as error:
                self.fail(code_of(error), error.strerror or str(error))
            else:
                if self.fresh:
                    # By the helper itself: writing 100,000 keys anew here held the loop for 0.8 s.
                    self.message(COMPACT, b"")
                else:
                    self.snapshot()
                self.fresh = False
                yield from self.answers()
                self.stop()
            yield from sleep(self.loop.now() + self.back_ms)
            self.back_ms = min(2.0 * self.back_ms, BACK_MOST_MS)

    def start(self) -> None:
        """Start a helper that holds the lock with us."""
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        words = [str(self.path), self.node, self.settings.sync, str(theirs.fileno()), str(self.lock)]
        self.process = subprocess.Popen(
            [sys.executable, "-m", "marlseam.store.helper", *words],
            pass_fds=(theirs.fileno(), self.lock), stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL,
        )  # fmt: skip
        theirs.close()
        self.channel, self.sent, self.done, self.works = ours, 0, 0, True
        self.out.clear()

    def stop(self) -> None:
        """Close the channel to a helper, which then ends, and release what waited for it."""
        if self.channel is not None:
            self.loop.close(self.channel)
            self.channel = None
        if self.process is not None:
            self.process.poll()
        self.works = False
        self.release(inf)

    def close(self) -> None:
        """Have the helper write all, and end it, as the node ends."""
        if self.channel is None:
            return
        with contextlib.suppress(OSError):
            self.channel.setblocking(True)
            self.channel.settimeout(1.0)
            self.channel.sendall(bytes(self.out))
        self.channel.close()
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.process.wait(2.0)

    # Entries.

    def append(self, *entries: Entry) -> int:
        """Hand entries to the helper; return the number under which they become durable."""
        return self.message(APPEND, b"".join(form.frame(entry) for entry in entries))

    def snapshot(self) -> None:
        """Hand the whole state to the helper."""
        self.message(SNAPSHOT, msgspec.msgpack.encode(form.frames(self.entries())))

    def message(self, what: int, payload: bytes) -> int:
        """Send a message on, with all others of this turn of the loop."""
        if self.channel is None or (what == APPEND and not self.works):
            return 0
        self.sent += 1
        self.out += HEAD.pack(what, len(payload)) + payload
        if len(self.out) > AHEAD_MOST:
            self.fail("slow", f"{len(self.out) >> 20} MB wait to be written")
            self.channel.shutdown(socket.SHUT_RDWR)  # which whoever reads the answers sees
            return 0
        if self.writer is None or self.writer.done:
            self.writer = self.loop.spawn(self.write(self.channel))
        return self.sent

    def write(self, channel: socket.socket) -> Coroutine:
        """Write to the helper what waits."""
        yield from sleep(self.loop.now())
        # A copy of the descriptor: the loop knows one task a socket, and another reads the answers.
        copy = channel.dup()
        try:
            while self.out and channel is self.channel:
                try:
                    del self.out[: copy.send(self.out)]
                except BlockingIOError:
                    yield (copy.fileno(), WRITE, inf)
        except OSError:
            return
        finally:
            self.loop.close(copy)

    def durable(self, number: int) -> Steps:
        """Wait until what was appended under a number is where it should be.

        Or the store's patience is over.
        """
        until = self.loop.now() + self.settings.wait_ms
        while self.works and self.done < number and self.loop.now() < until:
            self.waiting.append((number, self.loop.current))
            yield from sleep(until)
        if self.works and self.done < number:
            # It is only late: what follows is still written.
            self.fail("slow", f"not written in {self.settings.wait_ms:.0f} ms")
            self.works = True

    def release(self, number: float) -> None:
        """Resume what waited for a number."""
        while self.waiting and self.waiting[0][0] <= number:
            self.waiting.popleft()[1].wake()

    def answers(self) -> Coroutine:
        """Take in the helper's answers until it ends."""
        rest, channel = b"", self.channel
        while True:
            yield (channel.fileno(), READ, inf)
            try:
                data = channel.recv(65536)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            if not data:
                break
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self.answer(json.loads(line))
        if self.works:
            self.fail("helper", "the writing process ended")

    def answer(self, row: dict) -> None:
        """Take in one answer."""
        self.done = row["done"]
        if "failed" in row:
            self.fail(row["failed"], row["text"])
            self.loop.at(self.loop.now() + self.back_ms, self.snapshot)
            self.back_ms = min(2.0 * self.back_ms, BACK_MOST_MS)
        else:
            if not self.told:
                self.log.line(f"state is kept in {self.path}")
            self.works, self.told, self.back_ms, self.code = True, True, BACK_MS, ""
            if row["size"] <= self.settings.journal_mb * (1 << 20):
                self.compacting = False
            elif not self.compacting:
                self.compacting = True
                self.snapshot()
        self.release(self.done)

    def fail(self, code: str, text: str) -> None:
        """Note that the store does not serve, and say so once for each cause."""
        if code != self.code:
            self.log.line(f"state is not kept code={code}: {text}")
        self.code, self.works, self.told = code, False, False
        self.release(inf)
