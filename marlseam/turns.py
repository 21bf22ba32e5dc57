"""Whose turn it is among work units of one key, where their project types ask for one at a time.

A key's line holds its work units in the order taken. The first may be sent; the next once that is over (it
has its answer and nothing out) and the rest after an allocation that may still be running has passed. What is
given up out of turn stays unseen until it is first. A key without work or rest is forgotten.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from marlseam.interface import Outcome

MAY_RUN_ON = (Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.WITHDRAWN, Outcome.DROPPED)


class Line:
    """One key's work units, and how long those not over should run; `lines` are those of all keys."""

    def __init__(self, lines: dict[str, "Line"], key: str) -> None:
        self.lines, self.key, self.queue = lines, key, deque[Any]()
        self.resting, self.serving, self.ahead_ms = 0, False, 0.0

    def join(self, wu: Any, run_ms: float) -> None:  # noqa: ANN401
        """Put a work unit at the end."""
        wu.line, wu.lined_ms, wu.turn = self, run_ms, not (self.queue or self.resting)
        self.queue.append(wu)
        self.ahead_ms += run_ms

    def rest(self, after: Callable[[float, Callable[[], None]], None], gap_ms: float) -> None:
        """Let nobody's turn begin for a time."""
        self.resting += 1
        after(gap_ms, self.rested)

    def rested(self) -> None:
        """Note that a rest has passed."""
        self.resting -= 1
        self.serve()

    def left(self, wu: Any) -> None:  # noqa: ANN401
        """Note that a work unit is over."""
        self.ahead_ms, wu.lined_ms = self.ahead_ms - wu.lined_ms, 0.0
        self.serve()

    def serve(self) -> None:
        """Let the first go where nothing stands before it.

        A loop, not calls within calls: what is placed may be answered at once, and lines may be long.
        """
        queue = self.queue
        if self.serving:
            return
        self.serving = True
        while queue and (queue[0].over() or not (queue[0].turn or self.resting)):
            if queue[0].over():
                queue.popleft()
            else:
                queue[0].turn = True
                queue[0].place()
        self.serving = False
        if not (queue or self.resting) and self.lines.get(self.key) is self:
            del self.lines[self.key]
