"""The timers that the reducer has set, of which those that it has cancelled are dropped early."""

import heapq
from collections.abc import Callable, Container, Sized
from typing import Protocol

from marlseam.core import Event, TimerFired
from marlseam.net.loop import Loop, Timer

MIN_SWEPT_TIMERS = 1000  # number of timers below which cancelled ones are kept until they are due


class PendingTimers(Container[int], Sized, Protocol):
    """The ids of the timers that the reducer waits for."""


class ReducerTimers:
    """Reports to the reducer which of its timers are due, by one timer of the loop.

    Attributes:
        pending: the ids of the timers that the reducer waits for; others were cancelled.
        due: a heap of due times (ms of the loop's clock) and ids, of pending and of cancelled timers.

    """

    def __init__(
        self, loop: Loop, pending: Callable[[], PendingTimers], post: Callable[[Event], None]
    ) -> None:
        self.loop, self.pending, self.post = loop, pending, post
        self.due: list[tuple[float, int]] = []
        self.loop_timer: Timer | None = None

    def set(self, timer_id: int, delay_ms: float) -> None:
        """Post TimerFired with a timer's id after a delay."""
        entry = (self.loop.now() + delay_ms, timer_id)
        heapq.heappush(self.due, entry)
        if self.due[0] is entry:
            self.schedule()
        if len(self.due) > MIN_SWEPT_TIMERS and len(self.due) > 2 * len(self.pending()):
            self.sweep()

    def schedule(self) -> None:
        """Set the loop's timer to the earliest due time."""
        if self.loop_timer is not None:
            self.loop.cancel_timer(self.loop_timer)
        self.loop_timer = self.loop.call_at(self.due[0][0], self.fire) if self.due else None

    def fire(self) -> None:
        """Post all timers that are due."""
        now = self.loop.now()
        try:
            while self.due and self.due[0][0] <= now:
                timer_id = heapq.heappop(self.due)[1]
                if timer_id in self.pending():
                    self.post(TimerFired(timer_id))
        finally:
            self.schedule()

    def sweep(self) -> None:
        """Drop cancelled timers. Guards the memory: most requests end long before their deadline."""
        pending = self.pending()
        self.due = [entry for entry in self.due if entry[1] in pending]
        heapq.heapify(self.due)
        self.schedule()
