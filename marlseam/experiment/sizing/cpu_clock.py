"""A virtual clock that is charged with processor time."""

import time
from collections.abc import Callable
from typing import ParamSpec, TypeVar

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


class CpuClock:
    """The virtual time of one in-process node, which goes on by the processor time of what runs on it.

    What is due while the node is busy waits, as it would in an event loop, and how late it was is noted.
    State machines are told `due_ms`, not `now_ms`: what they do, and so every count, is then the same on
    every run.

    Attributes:
        now_ms: the virtual time; the node is busy until then.
        due_ms: when what runs now was due.
        cpu_ms: processor time used so far.
        longest_turn_ms: the longest turn since `begin_measurement`.
        max_late_ms: the longest that a turn ended after it was due, since `clear_backlog`.
        turns: how many there were.
    """

    def __init__(self) -> None:
        self.now_ms = self.due_ms = 0.0
        self.cpu_ms = self.longest_turn_ms = self.max_late_ms = 0.0
        self.turns = 0

    def current_due_ms(self) -> float:
        """Return when what runs now was due: the time as state machines are told it."""
        return self.due_ms

    def advance_to(self, due_ms: float) -> None:
        """Go on to what is due next; the virtual time stays where the node is busy for longer."""
        self.due_ms = due_ms
        self.now_ms = max(self.now_ms, due_ms)

    def run(
        self, call: Callable[Parameters, Result], *arguments: Parameters.args, **options: Parameters.kwargs
    ) -> Result:
        """Return what a call returns: one turn, charged with its processor time."""
        began_ns = time.thread_time_ns()
        try:
            return call(*arguments, **options)
        finally:
            self.charge((time.thread_time_ns() - began_ns) / 1e6)

    def charge(self, spent_ms: float) -> None:
        """Note a turn and its processor time."""
        self.now_ms += spent_ms
        self.cpu_ms += spent_ms
        self.longest_turn_ms = max(self.longest_turn_ms, spent_ms)
        self.max_late_ms = max(self.max_late_ms, self.now_ms - self.due_ms)
        self.turns += 1

    def clear_backlog(self) -> None:
        """Let the node have done all that was due, and measure anew how late it is."""
        self.now_ms, self.max_late_ms = self.due_ms, 0.0

    def begin_measurement(self) -> float:
        """Return the processor time used so far, and measure the longest turn anew."""
        self.longest_turn_ms = 0.0
        return self.cpu_ms
