"""The clock of a virtual run: calls that are due, in the order of their times."""

import heapq
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVarTuple

Arguments = TypeVarTuple("Arguments")


class ScheduledCall(NamedTuple):
    """A call that is due; calls compare by time, then by the order in which they were scheduled."""

    at_ms: float
    number: int
    call: Callable[..., object]
    arguments: tuple[Any, ...]


class EventQueue:
    """Plays calls in the order of their times, among equal times in the order of scheduling.

    Attributes:
        now_ms: the time of the call that was played last, in ms from the run's begin.
        played_count: how many calls were played.
    """

    def __init__(self) -> None:
        """Make an empty queue at time 0."""
        self.now_ms = 0.0
        self.played_count = 0
        self._heap: list[ScheduledCall] = []
        self._scheduled_count = 0

    def schedule(self, at_ms: float, call: Callable[[*Arguments], object], *arguments: *Arguments) -> None:
        """Schedule a call; one whose time has passed is played at the present time."""
        self._scheduled_count += 1
        due_ms = max(at_ms, self.now_ms)
        heapq.heappush(self._heap, ScheduledCall(due_ms, self._scheduled_count, call, arguments))

    def run_until(self, end_ms: float) -> None:
        """Play all calls that are due up to a time, those that they schedule included."""
        while self._heap and self._heap[0].at_ms <= end_ms:
            scheduled = heapq.heappop(self._heap)
            self.now_ms = scheduled.at_ms
            self.played_count += 1
            scheduled.call(*scheduled.arguments)
