"""The event loop: select.epoll, generators as coroutines, timers, and the one place where clocks are joined.

A coroutine yields what it waits for, `(fd, mask, until_ms)`, and is resumed with READY, LATE or WOKEN; an fd
below 0 waits for time or a wake alone. `task.cancel()` raises Cancelled where the coroutine stands.
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
MIN_WAITED_MS = 1.0  # a poll that took longer has waited
FIRST_CHECK_MS = 5.0  # how often within a turn the tasks that go first are polled
Wait = tuple[int, int, float]
Coroutine = Generator[Wait, str, None]


class Cancelled(BaseException):
    """Raised in a coroutine whose task is cancelled."""


class Clock:
    """Milliseconds since the start by the monotonic clock, and Unix time brought onto that scale."""

    def __init__(self) -> None:
        self.zero = time.monotonic()
        self.unix_zero_ms = time.time() * 1000.0

    def now(self) -> float:
        """Return the time."""
        return (time.monotonic() - self.zero) * 1000.0

    def from_unix(self, unix_ms: float) -> float:
        """Return a Unix time on this clock; the offset never changes, so that equal times stay equal."""
        return unix_ms - self.unix_zero_ms

    def to_unix(self, now_ms: float) -> float:
        """Return a time on this clock as Unix time."""
        return now_ms + self.unix_zero_ms

    def epoch_ms(self) -> float:
        """Return the Unix time that this process takes for the zero of the machine's monotonic clock."""
        return self.unix_zero_ms - self.zero * 1000.0


class Timer:
    """A call that is due at some time unless it is dropped before."""

    __slots__ = ("call", "earliest_ms")

    def __init__(self, call: Callable[[], None], earliest_ms: float) -> None:
        self.call: Callable[[], None] | None = call
        self.earliest_ms = earliest_ms  # when it can come at the earliest


class Task:
    """One coroutine and what it waits for."""

    def __init__(self, loop: "Loop", coroutine: Coroutine, first: bool) -> None:
        self.loop, self.coroutine, self.first = loop, coroutine, first
        self.fd = -1
        self.timer: Timer | None = None
        self.done = self.running = self.woken = False

    def step(self, value: str | None, error: BaseException | None = None) -> None:
        """Run the coroutine up to its next wait."""
        if self.done or self.running:
            return
        self.clear_wait()
        outer, self.loop.current = self.loop.current, self
        self.running, self.woken = True, False
        try:
            wait = self.resume(value, error)
        except (StopIteration, Cancelled):
            self.end()
            return
        except Exception:
            # Guards the process: whatever goes wrong on one connection ends that one alone.
            self.end()
            self.loop.fault(traceback.format_exc())
            return
        finally:
            self.running, self.loop.current = False, outer
        if self.woken:
            self.loop.soon(lambda: self.step(WOKEN))
            return
        descriptor, mask, until = wait
        if descriptor >= 0:
            self.fd = descriptor
            self.arm(mask)
        if until < inf:
            self.timer = self.loop.at(until, lambda: self.step(LATE))

    def resume(self, value: str | None, error: BaseException | None) -> Wait:
        """Run the coroutine up to its next wait, from its start where there is no value to resume it with."""
        if error is not None:
            return self.coroutine.throw(error)
        return next(self.coroutine) if value is None else self.coroutine.send(value)

    def arm(self, mask: int) -> None:
        """Wait for a socket; where the system cannot note that for a moment, it is asked again soon."""
        descriptor = self.fd
        try:
            self.loop.arm(descriptor, mask, self)
        except OSError as error:
            if syscalls.is_transient(error):
                self.loop.at(
                    self.loop.now() + syscalls.TRANSIENT_RETRY_MS, lambda: self.arm_again(descriptor, mask)
                )
            else:
                self.loop.soon(partial(self.break_off, descriptor, error))

    def arm_again(self, descriptor: int, mask: int) -> None:
        """Wait for a socket after all, unless the coroutine has gone on meanwhile."""
        if self.is_waiting_for(descriptor):
            self.arm(mask)

    def break_off(self, descriptor: int, error: OSError) -> None:
        """Raise in the coroutine that its socket cannot be waited for, unless it has gone on meanwhile."""
        if self.is_waiting_for(descriptor):
            self.step(None, error)

    def is_waiting_for(self, descriptor: int) -> bool:
        """Return whether the coroutine still waits for a socket."""
        return not self.done and self.fd == descriptor and self.loop.waiting.get(descriptor) is self

    def end(self) -> None:
        """Note that the coroutine has run to its end."""
        self.done = True
        self.loop.tasks.pop(self, None)

    def clear_wait(self) -> None:
        """Forget what the coroutine waited for."""
        if self.fd >= 0:
            self.loop.waiting.pop(self.fd, None)
            self.fd = -1
        if self.timer is not None:
            self.loop.drop(self.timer)
            self.timer = None

    def wake(self) -> None:
        """Resume the coroutine with WOKEN, from its next wait on if it runs now."""
        if not self.woken:
            self.woken = True
            if not self.running:
                self.loop.soon(lambda: self.step(WOKEN) if self.woken else None)

    def cancel(self) -> None:
        """End the coroutine where it stands."""
        if not self.running:
            self.step(None, Cancelled())


class Loop:
    """Waits for sockets and timers, and runs what is due."""

    def __init__(self, fault: Callable[[str], None]) -> None:
        self.clock, self.fault, self.descriptors = Clock(), fault, Descriptors()
        self.now = self.clock.now
        self.poll, self.first = select.epoll(), select.epoll()
        syscalls.retry_transient(lambda: self.poll.register(self.first.fileno(), READ))
        self.first_run_ms = 0.0  # when the tasks that go first were last polled
        self.pollers: dict[int, select.epoll] = {}
        self.closed_fds: set[int] = set()  # in this turn
        self.waiting: dict[int, Task] = {}
        self.timers: list[tuple[float, int, Timer]] = []
        self.calls: deque[Callable[[], None]] = deque()
        self.tasks: dict[Task, None] = {}
        self.current: Task | None = None
        self.timer_count = self.dropped_timers = 0
        self.stopped = False
        # When this turn's poll was over, and since when what it found may have been there.
        self.polled_ms = self.ready_since_ms = self.now()
        self.late_ms = self.turn_ms = 0.0  # the longest that a timer came late, and that a turn took

    def spawn(self, coroutine: Coroutine, first: bool = False) -> Task:
        """Start a coroutine, which runs up to its first wait at once.

        One that goes first is resumed before all others that are ready, also in the middle of a turn.
        """
        task = Task(self, coroutine, first)
        self.tasks[task] = None
        task.step(None)
        return task

    def running_task(self) -> Task:
        """Return the task whose coroutine runs now; for use within one."""
        assert self.current is not None
        return self.current

    def soon(self, call: Callable[[], None]) -> None:
        """Call before the next wait."""
        self.calls.append(call)

    def at(self, due_ms: float, call: Callable[[], None]) -> Timer:
        """Call at a time."""
        timer = Timer(call, max(due_ms, self.now()))
        self.timer_count += 1
        heapq.heappush(self.timers, (due_ms, self.timer_count, timer))
        return timer

    def drop(self, timer: Timer) -> None:
        """Drop a call. Guards against waits with long limits that end early and fill the memory."""
        if timer.call is not None:
            timer.call = None
            self.dropped_timers += 1
        if self.dropped_timers > 1000 and self.dropped_timers > len(self.timers) // 2:
            self.timers = [row for row in self.timers if row[2].call is not None]
            heapq.heapify(self.timers)
            self.dropped_timers = 0

    def arm(self, descriptor: int, mask: int, task: Task) -> None:
        """Have a task resumed once when a socket is ready."""
        self.waiting[descriptor] = task
        poll = self.pollers.get(descriptor)
        if poll is not None:
            poll.modify(descriptor, mask | select.EPOLLONESHOT)
        else:
            poll = self.first if task.first else self.poll
            poll.register(descriptor, mask | select.EPOLLONESHOT)
            self.pollers[descriptor] = poll

    def close(self, sock: socket.socket) -> None:
        """Close a socket that the loop may know."""
        descriptor = sock.fileno()
        self.waiting.pop(descriptor, None)
        poll = self.pollers.pop(descriptor, None)
        if poll is not None:
            self.closed_fds.add(descriptor)
            with contextlib.suppress(OSError):
                poll.unregister(descriptor)
        sock.close()

    def run(self) -> None:
        """Run until stopped."""
        while not self.stopped:
            self.turn()

    def finish(self) -> None:
        """Cancel all that still runs."""
        for task in list(self.tasks):
            task.cancel()

    def turn(self) -> None:
        """Wait once, and run what is due by then."""
        pause_s, asked = self.pause_s(), self.now()
        events = syscalls.none_if_transient(lambda: self.poll.poll(pause_s)) or []
        began = self.now()
        # A poll that had to wait ended with what it found; one that had not found what came since the last.
        self.ready_since_ms = began if began - asked > MIN_WAITED_MS else self.polled_ms
        self.polled_ms = began
        self.closed_fds.clear()
        self.run_first()
        for descriptor, _ in events:
            # Guards a new socket under a closed one's number against what was reported of the old one.
            task = self.waiting.get(descriptor) if descriptor not in self.closed_fds else None
            if task is not None:
                task.step(READY)
                self.run_first_if_due()
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
                self.dropped_timers -= 1
        self.turn_ms = max(self.turn_ms, self.now() - began)

    def run_first(self) -> None:
        """Resume the ready tasks of those that go first."""
        self.first_run_ms = self.now()
        for descriptor, _ in syscalls.none_if_transient(lambda: self.first.poll(0)) or []:
            task = self.waiting.get(descriptor)
            if task is not None:
                task.step(READY)

    def run_first_if_due(self) -> None:
        """Resume those that go first where a turn is long. Guards operators against a busy node."""
        if self.now() - self.first_run_ms > FIRST_CHECK_MS:
            self.run_first()

    def run_calls(self) -> None:
        """Run what is to be called before the next wait."""
        while self.calls:
            self.guarded(self.calls.popleft())
            self.run_first_if_due()

    def guarded(self, call: Callable[[], None]) -> None:
        """Call, and go on whatever comes of it."""
        try:
            call()
        except Exception:
            self.fault(traceback.format_exc())

    def pause_s(self) -> float:
        """Return how long nothing is due; -1 for ever."""
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
            self.dropped_timers -= 1
        if self.calls:
            return 0.0
        return max(0.0, (self.timers[0][0] - self.now()) / 1000.0) if self.timers else -1.0

    def on_signals(self, calls: Mapping[int, Callable[[], None]]) -> None:
        """Call from within the loop when a signal comes, also one that was held back until now."""
        ours, self.bell = socket.socketpair()
        ours.setblocking(False)
        self.bell.setblocking(False)
        signal.set_wakeup_fd(self.bell.fileno(), warn_on_full_buffer=False)
        for number in calls:
            signal.signal(number, lambda *_: None)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, calls)

        def listen() -> Coroutine:
            while True:
                yield (ours.fileno(), READ, inf)
                for number in dict.fromkeys(syscalls.none_if_transient(lambda: ours.recv(4096)) or b""):
                    self.guarded(calls[number])

        self.spawn(listen())


def sleep(until_ms: float) -> Generator[Wait, str, str]:
    """Wait until a time or a wake."""
    return (yield (-1, 0, until_ms))
