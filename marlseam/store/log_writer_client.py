"""The node's side of what it has a helper process write, and what it knows to be durable.

Where the disk does not serve, `serves` says so beforehand, `durable` to what waits. The log says why with a
code, and all is tried again with back-off.
"""

import contextlib
import errno
import json
import os
import socket
import subprocess
import sys
import time
from collections import deque
from math import inf
from pathlib import Path

from marlseam.net.connection import Steps
from marlseam.net.log import Log
from marlseam.net.loop import READ, WRITE, Coroutine, Loop, Task, sleep
from marlseam.store.state_directory import code_of, era, lock
from marlseam.store.writer_process import APPEND, COMPACT, END, HEAD

LOCK_S = 0.5  # how long a start waits for the lock, which the last life's helper holds until it has ended
LOOK_MS = 50.0  # between looks at a lock that another process has
BACK_MS, BACK_MOST_MS = 1000.0, 60000.0  # between tries of a disk that failed
AHEAD_MOST = 8 << 20  # bytes that may wait for the helper before the disk counts as slow


class DurabilityWait:
    """One that waits for a record, and whether that is kept once it is known."""

    def __init__(self, number: int, task: Task) -> None:
        self.number, self.task, self.kept = number, task, False
        self.over = False

    def end(self, kept: bool) -> None:
        """Let it go on."""
        self.kept, self.over = kept, True
        self.task.wake()


class LogWriterClient:
    """Keeps a helper that writes to a folder."""

    helper = "marlseam.store.writer_process"  # the module that is run; stand-ins for a disk set another
    what = "state"  # as staff are told of it
    back_most_ms = BACK_MOST_MS

    def __init__(
        self, loop: Loop, log: Log, path: Path, node: str, sync: str, file_mb: float, wait_ms: float
    ) -> None:
        """Make one: `sync` as in the settings, `file_mb` at which a file is begun anew.

        `wait_ms` the patience.
        """
        self.loop, self.log, self.path, self.node = loop, log, path, node
        self.sync, self.file_mb, self.wait_ms = sync, file_mb, wait_ms
        self.era = era(loop.clock.to_unix(loop.now()))
        self.known = False  # whether what the folder holds was read
        self.sent = self.done = self.base = 0  # messages to helpers, carried out, and before the present one
        self.behind_ms = 0.0  # since when some wait to be carried out
        # Whether entries go to the helper: from its start on, as it compacts what is there before them.
        # Guards what is sent in a node's first moments against being on no record.
        self.works = self.compacting = False
        self.told = self.told_lost = False  # staff, that it is kept, and that some is lost
        self.waiting: deque[DurabilityWait] = deque()
        self.out = bytearray()
        self.channel: socket.socket | None = None
        self.process: subprocess.Popen | None = None
        self.back_ms, self.code = BACK_MS, ""
        self.writer: Task | None = None
        self.lock: int | None = None
        self.task: Task | None = None

    def take_lock(self, within_s: float | None = None) -> None:
        """Take the folder's lock before the loop runs, waiting a moment for it; raises OSError."""
        end = time.monotonic() + (LOCK_S if within_s is None else within_s)
        while self.lock is None:
            try:
                self.lock = lock(self.path)
            except OSError as error:
                if error.errno != errno.EAGAIN or time.monotonic() >= end:
                    raise
                time.sleep(0.01)  # nothing else waits

    def read(self) -> Coroutine:
        """Read what is there, before anything is written."""
        raise NotImplementedError

    def begin(self) -> None:
        """Read what is not read yet, start the helper, and have it compact what the last life left."""
        self.task = self.loop.spawn(self.follow())

    def leave(self) -> None:
        """Write no more here, while the node goes on: what is under way is on the disk or is not."""
        if self.task is not None:
            self.task.cancel()
        self.stop()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None

    def follow(self) -> Coroutine:
        """Keep a helper for as long as the node runs; one that ends is followed by another, with back-off."""
        descriptors = self.loop.descriptors
        while True:
            try:
                if self.lock is None:
                    self.lock = descriptors.opened(lambda: lock(self.path), own=True)
                if not self.known:
                    yield from self.read()
                descriptors.opened(self.start, own=True)
            except OSError as error:
                self.fail(code_of(error), error.strerror or str(error))
                if self.lock is None and error.errno == errno.EAGAIN:
                    yield from sleep(self.loop.now() + LOOK_MS)
                    continue
            else:
                # By the helper itself: writing 100,000 keys anew here held the loop for 0.8 s. And all that
                # has let something out is in the folder, so no snapshot stands for what was not read.
                self.message(COMPACT, b"")
                yield from self.answers()
                self.stop()
            yield from sleep(self.loop.now() + self.back_ms)
            self.back_ms = min(2.0 * self.back_ms, self.back_most_ms)

    # The helper.

    def start(self) -> None:
        """Start a helper that holds the lock with us."""
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        words = [str(self.path), self.node, self.sync, str(theirs.fileno()), str(self.lock)]
        words += [self.era.boot, repr(self.era.zero_ms)]
        try:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.helper, *words],
                pass_fds=(theirs.fileno(), self.lock),
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
            )
        except OSError:
            ours.close()
            raise
        finally:
            theirs.close()
        self.channel, self.writer, self.works = ours, None, True
        self.base = self.done = self.sent
        self.out.clear()

    def stop(self) -> None:
        """Close the channel to a helper, which then ends; what waited for it is not kept."""
        if self.channel is not None:
            self.loop.close(self.channel)
            self.channel = None
        if self.process is not None:
            self.process.poll()
        self.works = False
        self.release(inf, False)

    def close(self) -> None:
        """Have the helper write all, and end it, as the node ends."""
        if self.channel is None:
            return
        with contextlib.suppress(OSError):
            self.channel.setblocking(True)
            self.channel.settimeout(1.0)
            self.channel.sendall(bytes(self.out) + HEAD.pack(END, 0))
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.process.wait(2.0)
        self.loop.close(self.channel)
        self.channel = None

    # Entries.

    def compact(self) -> None:
        """Have the helper write what the folder holds anew."""
        self.message(COMPACT, b"")

    def message(self, what: int, payload: bytes) -> int:
        """Send a message on, with all others of this turn of the loop."""
        if self.channel is None or (what == APPEND and not self.works):
            return 0
        if self.sent == self.done:
            self.behind_ms = self.loop.now()
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
        if channel is not self.channel:
            return  # guards against a helper that ended in this very turn
        try:
            del self.out[: channel.send(self.out)]
        except BlockingIOError:
            pass
        except OSError:
            return
        if not self.out:
            return
        # A copy of the descriptor: the loop knows one task a socket, and another reads the answers.
        copy = self.loop.descriptors.opened(channel.dup, own=True)
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

    # What is kept.

    def serves(self) -> bool:
        """Return whether a record handed in now should become durable in time, as far as is known."""
        late = self.sent > self.done and self.loop.now() - self.behind_ms > self.wait_ms
        return self.works and not late

    def durable(self, number: int) -> Steps:
        """Wait until what was appended under a number is where it should be; return whether it is.

        False once the store's patience is over: it may still be written, as what may have run and did not.
        """
        if not number or not self.works:
            return False
        until = self.loop.now() + self.wait_ms
        mine = DurabilityWait(number, self.loop.current)
        self.waiting.append(mine)
        while not mine.over and self.loop.now() < until:
            yield from sleep(until)
        if not mine.over:
            mine.over = True
            self.say("slow", f"not written in {self.wait_ms:.0f} ms")
        return mine.kept

    def release(self, number: float, kept: bool) -> None:
        """Let go on what waited for messages up to a number."""
        while self.waiting and self.waiting[0].number <= number:
            waiting = self.waiting.popleft()
            if not waiting.over:
                waiting.end(kept)

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
        self.done, self.behind_ms = self.base + row["done"], self.loop.now()
        if "failed" in row:
            self.fail(row["failed"], row["text"])
            self.loop.at(self.loop.now() + self.back_ms, self.compact)
            self.back_ms = min(2.0 * self.back_ms, self.back_most_ms)
            return
        self.release(self.done, True)
        if not self.told:
            self.log.line(f"{self.what} is kept in {self.path}")
        self.works, self.told, self.back_ms, self.code = True, True, BACK_MS, ""
        for text in row.get("lost", ()):
            if not self.told_lost:
                self.told_lost = True
                self.log.line(f"{self.what} file {self.path} code=lost: {text}")
        if row["size"] <= self.file_mb * (1 << 20):
            self.compacting = False
        elif not self.compacting:
            self.compacting = True
            self.compact()

    def say(self, code: str, text: str) -> None:
        """Say why state is not kept, once for each cause."""
        if code != self.code:
            self.log.line(f"{self.what} is not kept code={code}: {text}")
        self.code, self.told = code, False

    def fail(self, code: str, text: str) -> None:
        """Note that the store does not serve: nothing that waits for it is kept."""
        self.say(code, text)
        self.works = False
        self.release(inf, False)
