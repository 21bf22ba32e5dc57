"""The node's client of a writer process: sends it records and tracks which of them are durable.

While the disk cannot be used, `is_available` returns False, so that callers need not send a record, and the
tasks that wait for a sent record get False from `wait_durable`. The reason is logged with a code, and the
disk is retried with backoff.
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

# How long a starting process waits for the lock, which the previous process's writer holds until it ends.
MAX_LOCK_WAIT_S = 0.5
LOCK_RETRY_S = 0.01  # time between tries to take the lock within MAX_LOCK_WAIT_S
LOCK_POLL_MS = 50.0  # time between tries to take a lock that another process has, while the loop runs
MIN_RETRY_DELAY_MS = 1000.0  # delay of the first retry of a failed disk; doubled with each failure in a row
MAX_RETRY_DELAY_MS = 60000.0  # the longest delay before a retry of a failed disk
MAX_OUTGOING_BYTES = 8 << 20  # not yet sent to the writer process; beyond this the disk counts as slow
MAX_RECEIVE_BYTES = 65536  # maximum size of one read of the writer process's answers
MAX_CLOSE_SEND_S = 1.0  # time to send the last messages to the writer process when the node ends
MAX_CLOSE_WAIT_S = 2.0  # time for the writer process to end after the last messages
BYTES_PER_MB = 1 << 20


class LogWriterClient:
    """Runs a writer process for a directory, sends it records and reports which became durable.

    Attributes:
        writer_module: the module that the writer process runs; emulators of a disk set another.
        content_name: the name of the written data in log lines.
        max_retry_delay_ms: the longest delay before a failed disk is retried.
        era: the clock era of the times in the directory.
        is_loaded: whether the directory was read.
        sent_count: number of messages sent, over all writer processes.
        answered_count: number of these messages answered; those of a process that ended count as answered.
        answered_before_process: `answered_count` at the start of the current writer process.
        unanswered_since_ms: since when messages have waited for an answer (ms on the loop's clock).
        accepts_records: whether records are sent to the writer process. True from the process's start, not
            from its first answer, as the process compacts the directory before it appends. Guards against
            attempts in a node's first moments that are sent without a record.
        is_compacting: whether a file that has grown too large is being replaced.
        is_success_logged: whether it was logged, since the last failure, that records become durable.
        wait_queue: the tasks that wait for a message to become durable.
        outgoing: bytes that are not yet sent to the writer process.
        channel: the socket to the writer process; None while none runs.
        process: the writer process; None before the first one.
        send_task: the task that sends `outgoing`; None before the first message.
        supervise_task: the task that keeps a writer process running; None before `begin`.
        is_loss_logged: whether a loss of data in the directory was logged.
        retry_delay_ms: the delay before the next retry of a failed disk.
        code: the reason code why records do not become durable, empty while they do.
        lock_fd: the descriptor of the directory's lock, None while this process does not hold the lock.
    """

    writer_module = "marlseam.store.writer_process"
    content_name = "state"
    max_retry_delay_ms = MAX_RETRY_DELAY_MS

    def __init__(
        self, loop: Loop, log: Log, path: Path, node: str, sync: str, max_file_mb: float, max_wait_ms: float
    ) -> None:
        """Set up the client without opening a file or starting a process.

        `sync` is as in the settings, `max_file_mb` the size in MB at which a new file is begun, and
        `max_wait_ms` the time in which a record must become durable.
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

    def take_lock(self, timeout_s: float | None = None) -> None:
        """Take the directory's lock before the loop runs; raises OSError if the lock is not free in time.

        `timeout_s` is the longest time to wait for the lock; None takes MAX_LOCK_WAIT_S.
        """
        end = time.monotonic() + (MAX_LOCK_WAIT_S if timeout_s is None else timeout_s)
        while self.lock_fd is None:
            try:
                self.lock_fd = lock_directory(self.path)
            except OSError as error:
                if error.errno != errno.EAGAIN or time.monotonic() >= end:
                    raise
                time.sleep(LOCK_RETRY_S)  # blocks no other task, as the loop does not run yet

    def read(self) -> Coroutine:
        """Read the directory before anything is written to it, and set `is_loaded`; raises OSError."""
        raise NotImplementedError

    def begin(self) -> None:
        """Read the directory if it was not read yet, start the writer process, and request a compaction."""
        self.supervise_task = self.loop.spawn(self.supervise())

    def stop_writing(self) -> None:
        """Stop writing, and release the lock while the node runs on; pending records may not be durable."""
        if self.supervise_task is not None:
            self.supervise_task.cancel()
        self.stop_process()
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None

    # The writer process.

    def supervise(self) -> Coroutine:
        """Keep a writer process running as long as the node runs; a process that ends is replaced."""
        while True:
            try:
                channel = yield from self.open()
            except OSError as error:
                self.mark_failed(error)
                if self.lock_fd is None and error.errno == errno.EAGAIN:
                    yield from sleep(self.loop.now() + LOCK_POLL_MS)
                    continue
            else:
                # The writer process compacts, as compacting here would stall the loop. It begins the new file
                # from the files on the disk. Nothing is missing there: an attempt or a vote is sent only once
                # its record is durable, so one that was never written stands for nothing that was sent.
                self.compact()
                yield from self.receive_answers(channel)
                self.stop_process()
            yield from sleep(self.loop.now() + self.retry_delay_ms)
            self.increase_retry_delay()

    def open(self) -> Steps:
        """Lock and read the directory, and start a writer process; return the channel to the process."""
        descriptors = self.loop.descriptors
        if self.lock_fd is None:
            self.lock_fd = descriptors.open_with_release(lambda: lock_directory(self.path), use_spares=True)
        lock_fd = self.lock_fd
        if not self.is_loaded:
            yield from self.read()
        return descriptors.open_with_release(lambda: self.start_process(lock_fd), use_spares=True)

    def start_process(self, lock_fd: int) -> socket.socket:
        """Start a writer process, which shares this process's lock; return the channel to the new process."""
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
        """Close the channel to the writer process, which then ends; waiting tasks get False."""
        if self.channel is not None:
            self.loop.close(self.channel)
            self.channel = None
        if self.process is not None:
            self.process.poll()
        self.accepts_records = False
        self.wait_queue.resolve_up_to(inf, False)

    def close(self) -> None:
        """Have the writer process write all pending messages and end, when the node ends."""
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

    # Messages to the writer process.

    def compact(self) -> None:
        """Have the writer process begin a new file with the directory's content."""
        self.send_message(COMPACT, b"")

    def send_message(self, command: int, payload: bytes) -> int:
        """Send a message, together with all others of this turn of the loop.

        Return the message's number, for `wait_durable`; 0 if the message is not sent.
        """
        if self.channel is None or (command == APPEND and not self.accepts_records):
            return 0
        if self.sent_count == self.answered_count:
            self.unanswered_since_ms = self.loop.now()
        self.sent_count += 1
        self.outgoing += encode_message(Message(command, payload))
        if len(self.outgoing) > MAX_OUTGOING_BYTES:
            self.mark_unavailable("slow", f"{len(self.outgoing) >> 20} MB are waiting to be written")
            self.channel.shutdown(socket.SHUT_RDWR)  # ends `receive_answers`, and with it the process
            return 0
        if self.send_task is None or self.send_task.done:
            self.send_task = self.loop.spawn(self.send_outgoing(self.channel))
        return self.sent_count

    def send_outgoing(self, channel: socket.socket) -> Coroutine:
        """Send the outgoing bytes at the end of this turn of the loop."""
        yield from sleep(self.loop.now())
        if channel is not self.channel:
            return  # guards against a writer process that ended in this turn
        try:
            del self.outgoing[: channel.send(self.outgoing)]
        except BlockingIOError:
            pass
        except OSError:
            return
        if self.outgoing:
            yield from self.send_remainder(channel)

    def send_remainder(self, channel: socket.socket) -> Coroutine:
        """Send the outgoing bytes that the channel did not take at once, as the channel becomes writable."""
        # A copy of the descriptor: the loop allows one task per socket, and another task reads the answers.
        copy = self.loop.descriptors.open_with_release(channel.dup, use_spares=True)
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

    # Answers of the writer process.

    def receive_answers(self, channel: socket.socket) -> Coroutine:
        """Handle the writer process's answers until the process ends."""
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
            self.mark_unavailable("helper", "the writer process ended")

    def handle_answer(self, answer: Answer) -> None:
        """Count the messages that an answer covers, and handle its result."""
        self.answered_count = self.answered_before_process + answer.done_count
        self.unanswered_since_ms = self.loop.now()
        if isinstance(answer, WriteFailed):
            self.handle_failure(answer)
        else:
            self.handle_written(answer)

    def handle_failure(self, answer: WriteFailed) -> None:
        """Mark the disk as failed, and retry after a delay with a compaction."""
        self.mark_unavailable(answer.code, answer.text)
        self.loop.call_at(self.loop.now() + self.retry_delay_ms, self.compact)
        self.increase_retry_delay()

    def handle_written(self, answer: Written) -> None:
        """Resolve the waits for written messages, and begin a new file if this one has grown too large."""
        self.wait_queue.resolve_up_to(self.answered_count, True)
        if not self.is_success_logged:
            self.log.line(
                f"{self.content_name} is kept in {self.path}: new records become durable from now on"
            )
        self.accepts_records, self.is_success_logged = True, True
        self.retry_delay_ms, self.code = MIN_RETRY_DELAY_MS, ""
        for text in answer.losses or ():
            if not self.is_loss_logged:
                self.is_loss_logged = True
                self.log.line(
                    f"{self.content_name} directory {self.path} code=lost: records may be lost: {text}"
                )
        if answer.file_bytes <= self.max_file_mb * BYTES_PER_MB:
            self.is_compacting = False
        elif not self.is_compacting:
            self.is_compacting = True
            self.compact()

    # What is durable.

    def is_available(self) -> bool:
        """Return whether a record sent now is expected to become durable in time."""
        waited_ms = self.loop.now() - self.unanswered_since_ms
        is_late = self.sent_count > self.answered_count and waited_ms > self.max_wait_ms
        return self.accepts_records and not is_late

    def wait_durable(self, number: int) -> Steps:
        """Wait until the message with a number is durable; return whether it is.

        The result is False at once where the writer process accepts no records or `number` is 0, and after
        `max_wait_ms` where the record is not durable by then. Such a record may still be written later; the
        record of an attempt then counts as one of an attempt that may have run, although it was not sent.
        """
        if not number or not self.accepts_records:
            return False
        until_ms = self.loop.now() + self.max_wait_ms
        task = self.loop.current
        assert task is not None  # this coroutine always runs within a task of the loop
        wait = self.wait_queue.add(number, task)
        while not wait.is_resolved and self.loop.now() < until_ms:
            yield from sleep(until_ms)
        if not wait.is_resolved:
            wait.time_out()
            self.log_failure("slow", f"a record was not durable within {self.max_wait_ms:.0f} ms")
        return wait.is_durable

    def log_failure(self, code: str, text: str) -> None:
        """Log why records do not become durable, once as long as the reason code stays the same."""
        if code != self.code:
            self.log.line(
                f"{self.content_name} is not kept code={code}: new records are not durable in time: {text}"
            )
        self.code, self.is_success_logged = code, False

    def mark_unavailable(self, code: str, text: str) -> None:
        """Log why nothing can be written, stop accepting records, and resolve all waits as not durable."""
        self.log_failure(code, text)
        self.accepts_records = False
        self.wait_queue.resolve_up_to(inf, False)

    def mark_failed(self, error: OSError) -> None:
        """Mark the disk as unavailable because of a failed system call."""
        self.mark_unavailable(code_of(error), error.strerror or str(error))

    def increase_retry_delay(self) -> None:
        """Double the delay before the next retry, up to `max_retry_delay_ms`."""
        self.retry_delay_ms = min(2.0 * self.retry_delay_ms, self.max_retry_delay_ms)
