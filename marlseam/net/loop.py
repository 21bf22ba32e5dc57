"""The event loop: select.epoll, generators as coroutines, timers, and the only clock conversion.

A coroutine yields its wait, `(fd, mask, until_ms)`, and is resumed with READY, LATE or WOKEN; an fd below 0
waits only for the time or a wake. `task.cancel()` raises Cancelled in the coroutine at its current wait.
"""

import contextlib
import heapq
import select
import signal
import socket
import time
import traceback
from collections import deque
from collections.abc import Callable, Generator, Mapping
from functools import partial
from math import inf

from marlseam.net import syscalls
from marlseam.net.descriptors import Descriptors

READ, WRITE, END = select.EPOLLIN, select.EPOLLOUT, select.EPOLLRDHUP
READY, LATE, WOKEN = "ready", "late", "woken"
MIN_WAITED_MS = 1.0  # a poll that took longer than this had to wait for an event
BACKGROUND_FD = -2  # in place of a descriptor in a wait: for the next turn with time for background work
BACKGROUND_MS = 5.0  # time in a turn after which background tasks wait for the next turn
PRIORITIZED_CHECK_MS = 5.0  # how often within a turn the prioritized tasks are polled
Wait = tuple[int, int, float]
Coroutine = Generator[Wait, str, None]


class Cancelled(BaseException):
    """Raised in a coroutine whose task is cancelled."""


class Clock:
    """Milliseconds since the start by the monotonic clock, and conversion from and to Unix time."""

    def __init__(self) -> None:
        self.zero = time.monotonic()
        self.unix_zero_ms = time.time() * 1000.0

    def now(self) -> float:
        """Return the time in ms since the start."""
        return (time.monotonic() - self.zero) * 1000.0

    def from_unix(self, unix_ms: float) -> float:
        """Convert a Unix time in ms to this clock; the offset never changes, so equal times stay equal."""
        return unix_ms - self.unix_zero_ms

    def to_unix(self, now_ms: float) -> float:
        """Convert a time on this clock to Unix time in ms."""
        return now_ms + self.unix_zero_ms

    def epoch_ms(self) -> float:
        """Return the Unix time in ms that this process assumes for the monotonic clock's zero."""
        return self.unix_zero_ms - self.zero * 1000.0


class Timer:
    """A call that is due at a time, unless it is cancelled before."""

    __slots__ = ("call", "earliest_ms")

    def __init__(self, call: Callable[[], None], earliest_ms: float) -> None:
        self.call: Callable[[], None] | None = call
        self.earliest_ms = earliest_ms  # when the loop can run the call at the earliest


class Task:
    """A coroutine and its current wait."""

    def __init__(self, loop: "Loop", coroutine: Coroutine, prioritized: bool) -> None:
        self.loop, self.coroutine, self.prioritized = loop, coroutine, prioritized
        self.fd = -1
        self.timer: Timer | None = None
        self.done = self.running = self.woken = self.in_background = False

    def step(self, value: str | None, error: BaseException | None = None) -> None:
        """Run the coroutine up to its next wait."""
        if self.done or self.running:
            return
        self.clear_wait()
        outer_task, self.loop.current = self.loop.current, self
        self.running, self.woken = True, False
        try:
            wait = self.resume(value, error)
        except (StopIteration, Cancelled):
            self.end()
            return
        except Exception:
            # Guards the process: an error on one connection ends this connection only.
            self.end()
            self.loop.on_exception(traceback.format_exc())
            return
        finally:
            self.running, self.loop.current = False, outer_task
        if self.woken:
            self.loop.call_soon(lambda: self.step(WOKEN))
            return
        descriptor, mask, until_ms = wait
        if descriptor == BACKGROUND_FD:
            self.in_background = True
            self.loop.background.append(self)
        if descriptor >= 0:
            self.fd = descriptor
            self.arm(mask)
        if until_ms < inf:
            self.timer = self.loop.call_at(until_ms, lambda: self.step(LATE))

    def resume(self, value: str | None, error: BaseException | None) -> Wait:
        """Run the coroutine up to its next wait; a value of None starts it."""
        if error is not None:
            return self.coroutine.throw(error)
        return next(self.coroutine) if value is None else self.coroutine.send(value)

    def arm(self, mask: int) -> None:
        """Register the wait for a socket; a transient failure is retried after TRANSIENT_RETRY_MS."""
        descriptor = self.fd
        try:
            self.loop.arm(descriptor, mask, self)
        except OSError as error:
            if syscalls.is_transient(error):
                self.loop.call_at(
                    self.loop.now() + syscalls.TRANSIENT_RETRY_MS, lambda: self.retry_arm(descriptor, mask)
                )
            else:
                self.loop.call_soon(partial(self.fail_wait, descriptor, error))

    def retry_arm(self, descriptor: int, mask: int) -> None:
        """Retry to register the wait for a socket, unless the coroutine was resumed meanwhile."""
        if self.is_waiting_for(descriptor):
            self.arm(mask)

    def fail_wait(self, descriptor: int, error: OSError) -> None:
        """Raise an error in the coroutine whose wait failed to register, unless it was resumed meanwhile."""
        if self.is_waiting_for(descriptor):
            self.step(None, error)

    def is_waiting_for(self, descriptor: int) -> bool:
        """Return whether the coroutine still waits for the descriptor."""
        return not self.done and self.fd == descriptor and self.loop.waiting.get(descriptor) is self

    def end(self) -> None:
        """Mark the task as done and remove it from the loop."""
        self.done = True
        self.loop.tasks.pop(self, None)

    def clear_wait(self) -> None:
        """Remove the current wait: its descriptor and its timer."""
        self.in_background = False
        if self.fd >= 0:
            self.loop.waiting.pop(self.fd, None)
            self.fd = -1
        if self.timer is not None:
            self.loop.cancel_timer(self.timer)
            self.timer = None

    def wake(self) -> None:
        """Resume the coroutine with WOKEN; if it is running, at its next wait."""
        if not self.woken:
            self.woken = True
            if not self.running:
                self.loop.call_soon(lambda: self.step(WOKEN) if self.woken else None)

    def cancel(self) -> None:
        """Raise Cancelled in the coroutine at its current wait; does nothing while it is running."""
        if not self.running:
            self.step(None, Cancelled())


class Loop:
    """Waits for sockets and timers, and runs the tasks and calls that are due.

    Attributes:
        clock: its monotonic clock; `now` returns the time in ms.
        on_exception: called with the traceback of an unexpected exception.
        descriptors: opens file descriptors, and releases some in a shortage.
        poll, prioritized: epoll objects of all tasks, and of the prioritized tasks.
        pollers: by descriptor, the epoll object in which it is registered.
        waiting: by descriptor, the task that waits for it.
        background: tasks that go on once other tasks have run, in the order in which they will.
        tasks: the tasks that have not ended, in order of their start.
        current: the task that is running; None outside of tasks.
        stopped: set to end `run`.

    """

    def __init__(self, on_exception: Callable[[str], None]) -> None:
        self.clock, self.on_exception, self.descriptors = Clock(), on_exception, Descriptors()
        self.now = self.clock.now
        self.poll, self.prioritized = select.epoll(), select.epoll()
        syscalls.retry_transient(lambda: self.poll.register(self.prioritized.fileno(), READ))
        self.prioritized_run_ms = 0.0  # when the prioritized tasks were last polled
        self.pollers: dict[int, select.epoll] = {}
        self.closed_fds: set[int] = set()  # descriptors closed in this turn
        self.waiting: dict[int, Task] = {}
        self.timers: list[tuple[float, int, Timer]] = []
        self.calls: deque[Callable[[], None]] = deque()
        self.background: deque[Task] = deque()
        self.tasks: dict[Task, None] = {}
        self.current: Task | None = None
        self.timer_count = self.cancelled_timers = 0
        self.stopped = False
        # When this turn's poll returned, and the earliest time at which its events may have occurred.
        self.polled_ms = self.ready_since_ms = self.now()
        self.late_ms = self.turn_ms = 0.0  # the longest delay of a timer, and the longest turn

    def spawn(self, coroutine: Coroutine, prioritized: bool = False) -> Task:
        """Start a coroutine, which runs up to its first wait at once.

        A `prioritized` task is resumed before all other ready tasks, also within a turn.
        """
        task = Task(self, coroutine, prioritized)
        self.tasks[task] = None
        task.step(None)
        return task

    def running_task(self) -> Task:
        """Return the running task; may only be called within a task."""
        assert self.current is not None
        return self.current

    def call_soon(self, call: Callable[[], None]) -> None:
        """Schedule a call before the next poll."""
        self.calls.append(call)

    def call_at(self, due_ms: float, call: Callable[[], None]) -> Timer:
        """Schedule a call at a time; return its timer."""
        timer = Timer(call, max(due_ms, self.now()))
        self.timer_count += 1
        heapq.heappush(self.timers, (due_ms, self.timer_count, timer))
        return timer

    def cancel_timer(self, timer: Timer) -> None:
        """Cancel a scheduled call.

        Guards against waits with long limits that end early and fill the memory: once more than 1000
        cancelled timers are more than half of all timers, they are removed.
        """
        if timer.call is not None:
            timer.call = None
            self.cancelled_timers += 1
        if self.cancelled_timers > 1000 and self.cancelled_timers > len(self.timers) // 2:
            self.timers = [row for row in self.timers if row[2].call is not None]
            heapq.heapify(self.timers)
            self.cancelled_timers = 0

    def arm(self, descriptor: int, mask: int, task: Task) -> None:
        """Register a descriptor with epoll, to resume a task once when it is ready."""
        self.waiting[descriptor] = task
        poll = self.pollers.get(descriptor)
        if poll is not None:
            poll.modify(descriptor, mask | select.EPOLLONESHOT)
        else:
            poll = self.prioritized if task.prioritized else self.poll
            poll.register(descriptor, mask | select.EPOLLONESHOT)
            self.pollers[descriptor] = poll

    def close(self, sock: socket.socket) -> None:
        """Close a socket and remove its registration, if there is one."""
        descriptor = sock.fileno()
        self.waiting.pop(descriptor, None)
        poll = self.pollers.pop(descriptor, None)
        if poll is not None:
            self.closed_fds.add(descriptor)
            with contextlib.suppress(OSError):
                poll.unregister(descriptor)
        sock.close()

    def run(self) -> None:
        """Run turns until `stopped` is set."""
        while not self.stopped:
            self.turn()

    def finish(self) -> None:
        """Cancel all tasks."""
        for task in list(self.tasks):
            task.cancel()

    def turn(self) -> None:
        """Poll once, then run the tasks and calls that are due."""
        pause_s, asked_ms = self.pause_s(), self.now()
        events = syscalls.none_if_transient(lambda: self.poll.poll(pause_s)) or []
        began_ms = self.now()
        # Events of a poll that had to wait occurred as it returned; others occurred since the last poll.
        self.ready_since_ms = began_ms if began_ms - asked_ms > MIN_WAITED_MS else self.polled_ms
        self.polled_ms = began_ms
        self.closed_fds.clear()
        self.run_prioritized()
        for descriptor, _ in events:
            # Guards a new socket that reuses a closed socket's descriptor against events of the closed one.
            task = self.waiting.get(descriptor) if descriptor not in self.closed_fds else None
            if task is not None:
                task.step(READY)
                self.run_prioritized_if_due()
        self.run_calls()
        now = self.now()
        while self.timers and self.timers[0][0] <= now:
            timer = heapq.heappop(self.timers)[2]
            call, timer.call = timer.call, None
            if call is not None:
                self.late_ms = max(self.late_ms, now - timer.earliest_ms)
                self.guarded(call)
                self.run_calls()
            else:
                self.cancelled_timers -= 1
        self.run_background()
        self.turn_ms = max(self.turn_ms, self.now() - began_ms)

    def run_prioritized(self) -> None:
        """Resume the prioritized tasks that are ready."""
        self.prioritized_run_ms = self.now()
        for descriptor, _ in syscalls.none_if_transient(lambda: self.prioritized.poll(0)) or []:
            task = self.waiting.get(descriptor)
            if task is not None:
                task.step(READY)

    def run_prioritized_if_due(self) -> None:
        """Resume the prioritized tasks within a long turn. Guards operators' calls against a busy node."""
        if self.now() - self.prioritized_run_ms > PRIORITIZED_CHECK_MS:
            self.run_prioritized()

    def run_background(self) -> None:
        """Resume the tasks that wait in the background, each once, for up to BACKGROUND_MS."""
        until_ms = self.now() + BACKGROUND_MS
        for _ in range(len(self.background)):
            task = self.background.popleft()
            if task.in_background:
                task.step(LATE)
                self.run_calls()
                if self.now() >= until_ms:
                    break

    def run_calls(self) -> None:
        """Run the calls that were scheduled before the next poll."""
        while self.calls:
            self.guarded(self.calls.popleft())
            self.run_prioritized_if_due()

    def guarded(self, call: Callable[[], None]) -> None:
        """Run a call and report an exception to `on_exception`."""
        try:
            call()
        except Exception:
            self.on_exception(traceback.format_exc())

    def pause_s(self) -> float:
        """Return the time in s until the next timer is due; 0 if calls or tasks wait, -1 without timers."""
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
            self.cancelled_timers -= 1
        if self.calls or self.background:
            return 0.0
        return max(0.0, (self.timers[0][0] - self.now()) / 1000.0) if self.timers else -1.0

    def on_signals(self, calls: Mapping[int, Callable[[], None]]) -> None:
        """Run a call within the loop when its signal arrives, also one that was blocked until now."""
        wakeup_reader, self.wakeup_writer = socket.socketpair()
        wakeup_reader.setblocking(False)
        self.wakeup_writer.setblocking(False)
        signal.set_wakeup_fd(self.wakeup_writer.fileno(), warn_on_full_buffer=False)
        for number in calls:
            signal.signal(number, lambda *_: None)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, calls)

        def listen() -> Coroutine:
            while True:
                yield (wakeup_reader.fileno(), READ, inf)
                for number in dict.fromkeys(
                    syscalls.none_if_transient(lambda: wakeup_reader.recv(4096)) or b""
                ):
                    self.guarded(calls[number])

        self.spawn(listen())


def sleep(until_ms: float) -> Generator[Wait, str, str]:
    """Wait until a time or a wake; return LATE or WOKEN."""
    return (yield (-1, 0, until_ms))


def in_background() -> Generator[Wait, str, str]:
    """Let other tasks run first; return LATE or WOKEN."""
    return (yield (BACKGROUND_FD, 0, inf))
