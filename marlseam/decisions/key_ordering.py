"""Whose turn it is among requests of one key, where their request classes ask for one at a time.

A key's line holds its requests in the order taken. The first may be sent; the next once that is over (it
has its answer and nothing out) and the rest after an attempt that may still be running has passed. What is
given up out of turn stays unseen until it is first. A key without work or rest is forgotten.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from marlseam.decisions.types import Outcome

MAY_RUN_ON = (Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED, Outcome.STALE_CONNECTION)


class KeyQueue:
    """One key's requests, and how long those not over should run; `lines` are those of all keys."""

    def __init__(self, lines: dict[str, "KeyQueue"], key: str) -> None:
        self.lines, self.key, self.queue = lines, key, deque[Any]()
        self.resting, self.serving, self.ahead_ms = 0, False, 0.0

    def join(self, state: Any, run_ms: float) -> None:  # noqa: ANN401
        """Put a request at the end."""
        state.line, state.lined_ms, state.turn = self, run_ms, not (self.queue or self.resting)
        self.queue.append(state)
        self.ahead_ms += run_ms

    def rest(self, after: Callable[[float, Callable[[], None]], None], gap_ms: float) -> None:
        """Let nobody's turn begin for a time."""
        self.resting += 1
        after(gap_ms, self.rested)

    def rested(self) -> None:
        """Note that a rest has passed."""
        self.resting -= 1
        self.serve()

    def left(self, state: Any) -> None:  # noqa: ANN401
        """Note that a request is over."""
        self.ahead_ms, state.lined_ms = self.ahead_ms - state.lined_ms, 0.0
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
