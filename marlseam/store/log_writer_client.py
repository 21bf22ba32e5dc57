"""The node's side of its writer process, and what it knows to be durable.

Where the disk cannot be used, `is_available` says so beforehand and `wait_durable` to a task that waits. The
log gives the reason with a code, and all is tried again with backoff.
"""

import contextlib
import errno
import os
import socket
import subprocess
import sys
import time
from math import inf
from pathlib import Path

from marlseam.net.connection import Steps
from marlseam.net.log import Log
from marlseam.net.loop import READ, WRITE, Coroutine, Loop, Task, sleep
from marlseam.store.clock_era import current_era
from marlseam.store.disk import lock_directory
from marlseam.store.durability import DurabilityWaitQueue
from marlseam.store.errors import code_of
from marlseam.store.writer_channel import (
    APPEND,
    COMPACT,
    END,
    Answer,
    Message,
    WriteFailed,
    Written,
    decode_answer,
    encode_message,
)

MAX_LOCK_WAIT_S = 0.5  # at a start, for the lock that the last process's writer holds until it has ended
LOCK_RETRY_S = 0.01  # between tries in that time
LOCK_POLL_MS = 50.0  # between tries of a lock that another process has, while the loop runs
MIN_RETRY_DELAY_MS = 1000.0  # between tries of a disk that failed
MAX_RETRY_DELAY_MS = 60000.0
MAX_OUTGOING_BYTES = 8 << 20  # that may wait for the writer process before the disk counts as slow
MAX_RECEIVE_BYTES = 65536
MAX_CLOSE_SEND_S = 1.0  # for the last messages, as the node ends
MAX_CLOSE_WAIT_S = 2.0  # for the writer process to end after them
BYTES_PER_MB = 1 << 20


class LogWriterClient:
    """Runs a writer process for a directory, sends it records and tells what became durable.

    Attributes:
        writer_module: the module that is run; stand-ins for a disk set another.
        what: the name of what is written, in log lines.
        max_retry_delay_ms: the longest delay between tries of a disk that failed.
        era: the scale of the times in the directory.
        is_loaded: whether what the directory holds was read.
        sent_count: how many messages were sent, over all writer processes.
        answered_count: how many of these were answered; those of a process that ended count as answered.
        answered_before_process: how many of these had been answered as the present process was started.
        unanswered_since_ms: since when messages have waited for an answer (ms on the loop's clock).
        accepts_records: whether records are sent on. From the process's start, not from its first answer: it
            compacts what is there before them. Guards what is sent in a node's first moments against being
            on no record.
        is_compacting: whether a file that has grown too large is being replaced.
        is_success_logged: whether the log has said that records become durable, since the last failure.
        wait_queue: the tasks that wait for a message to become durable.
        outgoing: bytes that the writer process has not taken yet.
        channel: the socket to the writer process; None while none runs.
        process: the writer process; None while none runs.
        send_task: writes `outgoing`; None before the first message.
        supervise_task: keeps a writer process running; None before `begin`.
        is_loss_logged: whether the log has said that something in the directory is lost.
        retry_delay_ms: the delay before the next try of a disk that failed.
        code: why records do not become durable, empty where they do.
        lock_fd: the descriptor of the directory's lock, None while this process does not have it.
    """

    writer_module = "marlseam.store.writer_process"
    what = "state"
    max_retry_delay_ms = MAX_RETRY_DELAY_MS

    def __init__(
        self, loop: Loop, log: Log, path: Path, node: str, sync: str, max_file_mb: float, max_wait_ms: float
    ) -> None:
        """Open nothing yet.

        `sync` is as in the settings, `max_file_mb` the size at which a file is begun anew, and `max_wait_ms`
        for how long a record may take to become durable.
        """
        self.loop, self.log, self.path, self.node = loop, log, path, node
        self.sync, self.max_file_mb, self.max_wait_ms = sync, max_file_mb, max_wait_ms
        self.era = current_era(loop.clock.to_unix(loop.now()))
        self.is_loaded = False
        self.sent_count = self.answered_count = self.answered_before_process = 0
        self.unanswered_since_ms = 0.0
        self.accepts_records = self.is_compacting = False
        self.is_success_logged = self.is_loss_logged = False
        self.wait_queue = DurabilityWaitQueue()
        self.outgoing = bytearray()
        self.channel: socket.socket | None = None
        self.process: subprocess.Popen[bytes] | None = None
        self.retry_delay_ms, self.code = MIN_RETRY_DELAY_MS, ""
        self.send_task: Task | None = None
        self.lock_fd: int | None = None
        self.supervise_task: Task | None = None

    # The directory.

    def take_lock(self, within_s: float | None = None) -> None:
        """Take the directory's lock before the loop runs; raises OSError where it is not free in time.

        `within_s` is how long to wait for it; None takes MAX_LOCK_WAIT_S.
        """
        end = time.monotonic() + (MAX_LOCK_WAIT_S if within_s is None else within_s)
        while self.lock_fd is None:
            try:
                self.lock_fd = lock_directory(self.path)
            except OSError as error:
                if error.errno != errno.EAGAIN or time.monotonic() >= end:
                    raise
                time.sleep(LOCK_RETRY_S)  # nothing else waits

    def read(self) -> Coroutine:
        """Read what is there, before anything is written, and set `is_loaded`; raises OSError."""
        raise NotImplementedError

    def begin(self) -> None:
        """Read what is not read yet, start the writer process, and have it compact what is there."""
        self.supervise_task = self.loop.spawn(self.supervise())

    def leave(self) -> None:
        """Write no more here, while the node goes on: what is under way is on the disk or is not."""
        if self.supervise_task is not None:
            self.supervise_task.cancel()
        self.stop_process()
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None

    # The writer process.

    def supervise(self) -> Coroutine:
        """Keep a writer process for as long as the node runs; one that ends is followed by another."""
        while True:
            try:
                channel = yield from self.open()
            except OSError as error:
                self.mark_failed(error)
                if self.lock_fd is None and error.errno == errno.EAGAIN:
                    yield from sleep(self.loop.now() + LOCK_POLL_MS)
                    continue
            else:
                # By the process itself: compacting here would stall the loop. A record is durable before its
                # request is sent, so no snapshot replaces what was not read.
                self.compact()
                yield from self.receive_answers(channel)
                self.stop_process()
            yield from sleep(self.loop.now() + self.retry_delay_ms)
            self.increase_retry_delay()

    def open(self) -> Steps:
        """Lock the directory, read it, and start a writer process; return the channel to it."""
        descriptors = self.loop.descriptors
        if self.lock_fd is None:
            self.lock_fd = descriptors.opened(lambda: lock_directory(self.path), own=True)
        lock_fd = self.lock_fd
        if not self.is_loaded:
            yield from self.read()
        return descriptors.opened(lambda: self.start_process(lock_fd), own=True)

    def start_process(self, lock_fd: int) -> socket.socket:
        """Start a writer process that holds the lock with this one; return the channel to it."""
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        arguments = [str(self.path), self.node, self.sync, str(theirs.fileno()), str(lock_fd)]
        arguments += [self.era.boot, repr(self.era.zero_ms)]
        try:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.writer_module, *arguments],
                pass_fds=(theirs.fileno(), lock_fd),
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
            )
        except OSError:
            ours.close()
            raise
        finally:
            theirs.close()
        self.channel, self.send_task, self.accepts_records = ours, None, True
        self.answered_before_process = self.answered_count = self.sent_count
        self.outgoing.clear()
        return ours

    def stop_process(self) -> None:
        """Close the channel to a writer process, which then ends; what waited for it is not durable."""
        if self.channel is not None:
            self.loop.close(self.channel)
            self.channel = None
        if self.process is not None:
            self.process.poll()
        self.accepts_records = False
        self.wait_queue.resolve_up_to(inf, False)

    def close(self) -> None:
        """Have the writer process write all, and end it, as the node ends."""
        if self.channel is None:
            return
        with contextlib.suppress(OSError):
            self.channel.setblocking(True)
            self.channel.settimeout(MAX_CLOSE_SEND_S)
            self.channel.sendall(bytes(self.outgoing) + encode_message(Message(END)))
        if self.process is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.process.wait(MAX_CLOSE_WAIT_S)
        self.loop.close(self.channel)
        self.channel = None

    # Messages to it.

    def compact(self) -> None:
        """Have the writer process begin a new file with what the directory holds."""
        self.send_message(COMPACT, b"")

    def send_message(self, command: int, payload: bytes) -> int:
        """Send a message on, with all others of this turn of the loop.

        Return its number, under which `wait_durable` knows it; 0 where it is not sent.
        """
        if self.channel is None or (command == APPEND and not self.accepts_records):
            return 0
        if self.sent_count == self.answered_count:
            self.unanswered_since_ms = self.loop.now()
        self.sent_count += 1
        self.outgoing += encode_message(Message(command, payload))
        if len(self.outgoing) > MAX_OUTGOING_BYTES:
            self.mark_unavailable("slow", f"{len(self.outgoing) >> 20} MB wait to be written")
            self.channel.shutdown(socket.SHUT_RDWR)  # which `receive_answers` sees
            return 0
        if self.send_task is None or self.send_task.done:
            self.send_task = self.loop.spawn(self.send_outgoing(self.channel))
        return self.sent_count

    def send_outgoing(self, channel: socket.socket) -> Coroutine:
        """Send what waits, at the end of this turn of the loop."""
        yield from sleep(self.loop.now())
        if channel is not self.channel:
            return  # guards against a writer process that ended in this very turn
        try:
            del self.outgoing[: channel.send(self.outgoing)]
        except BlockingIOError:
            pass
        except OSError:
            return
        if self.outgoing:
            yield from self.send_remainder(channel)

    def send_remainder(self, channel: socket.socket) -> Coroutine:
        """Send what the channel did not take at once, as it takes more."""
        # A copy of the descriptor: the loop knows one task a socket, and another reads the answers.
        copy = self.loop.descriptors.opened(channel.dup, own=True)
        try:
            while self.outgoing and channel is self.channel:
                try:
                    del self.outgoing[: copy.send(self.outgoing)]
                except BlockingIOError:
                    yield (copy.fileno(), WRITE, inf)
        except OSError:
            return
        finally:
            self.loop.close(copy)

    # Its answers.

    def receive_answers(self, channel: socket.socket) -> Coroutine:
        """Take in the writer process's answers until it ends."""
        partial_line = b""
        while True:
            yield (channel.fileno(), READ, inf)
            try:
                data = channel.recv(MAX_RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            if not data:
                break
            *lines, partial_line = (partial_line + data).split(b"\n")
            for line in lines:
                self.handle_answer(decode_answer(line))
        if self.accepts_records:
            self.mark_unavailable("helper", "the writing process ended")

    def handle_answer(self, answer: Answer) -> None:
        """Take in one answer."""
        self.answered_count = self.answered_before_process + answer.done_count
        self.unanswered_since_ms = self.loop.now()
        if isinstance(answer, WriteFailed):
            self.handle_failure(answer)
        else:
            self.handle_written(answer)

    def handle_failure(self, answer: WriteFailed) -> None:
        """Note that the disk failed, and try it again after a delay."""
        self.mark_unavailable(answer.code, answer.text)
        self.loop.at(self.loop.now() + self.retry_delay_ms, self.compact)
        self.increase_retry_delay()

    def handle_written(self, answer: Written) -> None:
        """Let go on what waited, and begin a new file where this one has grown too large."""
        self.wait_queue.resolve_up_to(self.answered_count, True)
        if not self.is_success_logged:
            self.log.line(f"{self.what} is kept in {self.path}")
        self.accepts_records, self.is_success_logged = True, True
        self.retry_delay_ms, self.code = MIN_RETRY_DELAY_MS, ""
        for text in answer.losses or ():
            if not self.is_loss_logged:
                self.is_loss_logged = True
                self.log.line(f"{self.what} file {self.path} code=lost: {text}")
        if answer.file_bytes <= self.max_file_mb * BYTES_PER_MB:
            self.is_compacting = False
        elif not self.is_compacting:
            self.is_compacting = True
            self.compact()

    # What is durable.

    def is_available(self) -> bool:
        """Return whether a record sent now should become durable in time, as far as is known."""
        waited_ms = self.loop.now() - self.unanswered_since_ms
        is_late = self.sent_count > self.answered_count and waited_ms > self.max_wait_ms
        return self.accepts_records and not is_late

    def wait_durable(self, number: int) -> Steps:
        """Wait until the message of a number is durable; return whether it is.

        False after `max_wait_ms`, though it may still be written, as an attempt that may have run.
        """
        if not number or not self.accepts_records:
            return False
        until_ms = self.loop.now() + self.max_wait_ms
        task = self.loop.current
        assert task is not None  # the loop runs this as a part of a task
        wait = self.wait_queue.add(number, task)
        while not wait.is_over and self.loop.now() < until_ms:
            yield from sleep(until_ms)
        if not wait.is_over:
            wait.give_up()
            self.log_failure("slow", f"not written in {self.max_wait_ms:.0f} ms")
        return wait.is_durable

    def log_failure(self, code: str, text: str) -> None:
        """Log why records do not become durable, once for each cause in a row."""
        if code != self.code:
            self.log.line(f"{self.what} is not kept code={code}: {text}")
        self.code, self.is_success_logged = code, False

    def mark_unavailable(self, code: str, text: str) -> None:
        """Note that nothing can be written: what waits for it is not durable."""
        self.log_failure(code, text)
        self.accepts_records = False
        self.wait_queue.resolve_up_to(inf, False)

    def mark_failed(self, error: OSError) -> None:
        """Note that nothing can be written, because of a system call that failed."""
        self.mark_unavailable(code_of(error), error.strerror or str(error))

    def increase_retry_delay(self) -> None:
        """Double the delay before the next try, up to its bound."""
        self.retry_delay_ms = min(2.0 * self.retry_delay_ms, self.max_retry_delay_ms)
