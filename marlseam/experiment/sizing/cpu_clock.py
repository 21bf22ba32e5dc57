"""A virtual clock that advances by the processor time used."""

import time
from collections.abc import Callable
from typing import ParamSpec, TypeVar

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


class CpuClock:
    """The virtual time of one in-process node, which advances by the processor time of the calls run on it.

    A call that becomes due while the node is busy waits, as it would in an event loop, and its lateness is
    recorded. State machines are given `due_ms`, not `now_ms`, so that their decisions, and with them every
    count, are the same on every run.

    Attributes:
        now_ms: the virtual time; the node is busy until then.
        due_ms: when the current call was due.
        cpu_ms: processor time used so far.
        longest_turn_ms: the longest turn since `begin_measurement`.
        max_late_ms: the longest time between a turn's due time and its end, since `clear_backlog`.
        turns: the number of turns so far.
    """

    def __init__(self) -> None:
        self.now_ms = self.due_ms = 0.0
        self.cpu_ms = self.longest_turn_ms = self.max_late_ms = 0.0
        self.turns = 0

    def current_due_ms(self) -> float:
        """Return when the current call was due, which is the time given to state machines."""
        return self.due_ms

    def advance_to(self, due_ms: float) -> None:
        """Advance to the next due time; the virtual time does not change if the node is busy for longer."""
        self.due_ms = due_ms
        self.now_ms = max(self.now_ms, due_ms)

    def run(
        self, call: Callable[Parameters, Result], *arguments: Parameters.args, **options: Parameters.kwargs
    ) -> Result:
        """Make a call as one turn, add its processor time to the clock, and return its result."""
        began_ns = time.thread_time_ns()
        try:
            return call(*arguments, **options)
        finally:
            self.charge((time.thread_time_ns() - began_ns) / 1e6)

    def charge(self, spent_ms: float) -> None:
        """Add one turn of `spent_ms` of processor time."""
        self.now_ms += spent_ms
        self.cpu_ms += spent_ms
        self.longest_turn_ms = max(self.longest_turn_ms, spent_ms)
        self.max_late_ms = max(self.max_late_ms, self.now_ms - self.due_ms)
        self.turns += 1

    def clear_backlog(self) -> None:
        """Set the virtual time back to the current due time, and reset `max_late_ms`."""
        self.now_ms, self.max_late_ms = self.due_ms, 0.0

    def begin_measurement(self) -> float:
        """Reset `longest_turn_ms`, and return the processor time used so far, in ms."""
        self.longest_turn_ms = 0.0
        return self.cpu_ms
