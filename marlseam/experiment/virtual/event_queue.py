"""The event queue and clock of a virtual run."""

import heapq
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVarTuple

Arguments = TypeVarTuple("Arguments")


class ScheduledCall(NamedTuple):
    """A scheduled call; calls are ordered by time, then by the order of scheduling."""

    at_ms: float
    number: int
    call: Callable[..., object]
    arguments: tuple[Any, ...]


class EventQueue:
    """Runs scheduled calls in the order of their times; calls of equal time in the order of scheduling.

    Attributes:
        now_ms: the time of the last call that was run, in ms since the start of the run.
        played_count: the number of calls run so far.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.played_count = 0
        self._heap: list[ScheduledCall] = []
        self._scheduled_count = 0

    def schedule(self, at_ms: float, call: Callable[[*Arguments], object], *arguments: *Arguments) -> None:
        """Schedule a call; a call whose time has already passed is run at the current time."""
        self._scheduled_count += 1
        due_ms = max(at_ms, self.now_ms)
        heapq.heappush(self._heap, ScheduledCall(due_ms, self._scheduled_count, call, arguments))

    def run_until(self, end_ms: float) -> None:
        """Run all calls due up to `end_ms`, including calls that are scheduled meanwhile."""
        while self._heap and self._heap[0].at_ms <= end_ms:
            scheduled = heapq.heappop(self._heap)
            self.now_ms = scheduled.at_ms
            self.played_count += 1
            scheduled.call(*scheduled.arguments)
