"""The order of requests of one resource key, where their request classes ask for one at a time.

A key's queue holds its requests in the order of arrival. The first may be sent; the next once that is over
(it has its answer and nothing in flight) and, where an attempt may still run, the key's pause has passed. A
request that is given up before its turn stays unseen until it is first. A key without requests or pauses is
forgotten.
"""

from collections import deque
from collections.abc import Callable
from typing import Protocol

from marlseam.decisions.types import Outcome

MAY_STILL_RUN = (Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED, Outcome.STALE_CONNECTION)


class OrderedRequest(Protocol):
    """What a key's queue asks of its requests."""

    key_queue: "KeyQueue | None"
    key_run_ms: float
    has_turn: bool

    def is_over(self) -> bool:
        """Return whether it has its answer and nothing in flight."""
        ...

    def place(self) -> None:
        """Send it to a server, or let it wait for one."""
        ...


class KeyQueue:
    """The requests of one key.

    Attributes:
        queues: the queues of all keys, from which this one takes itself once it is empty.
        key: the resource key.
        queue: its requests in the order of arrival.
        pause_count: pauses that have not passed.
        is_advancing: whether `advance` is on its way.
        ahead_ms: how long the requests that are not over should run.
    """

    def __init__(self, queues: dict[str, "KeyQueue"], key: str) -> None:
        self.queues, self.key = queues, key
        self.queue: deque[OrderedRequest] = deque()
        self.pause_count, self.is_advancing, self.ahead_ms = 0, False, 0.0

    def join(self, state: OrderedRequest, run_ms: float) -> None:
        """Put a request that should run for `run_ms` at the end."""
        state.key_queue, state.key_run_ms = self, run_ms
        state.has_turn = not (self.queue or self.pause_count)
        self.queue.append(state)
        self.ahead_ms += run_ms

    def pause(self, call_after: Callable[[float, Callable[[], None]], None], gap_ms: float) -> None:
        """Let no request have its turn for a time, since an attempt may still run."""
        self.pause_count += 1
        call_after(gap_ms, self.pause_ended)

    def pause_ended(self) -> None:
        """Note that a pause has passed."""
        self.pause_count -= 1
        self.advance()

    def request_over(self, state: OrderedRequest) -> None:
        """Note that a request is over."""
        self.ahead_ms, state.key_run_ms = self.ahead_ms - state.key_run_ms, 0.0
        self.advance()

    def advance(self) -> None:
        """Give the first request its turn where nothing is before it.

        A loop, not calls within calls: what is placed may be answered at once, and queues may be long.
        """
        queue = self.queue
        if self.is_advancing:
            return
        self.is_advancing = True
        while queue and (queue[0].is_over() or not (queue[0].has_turn or self.pause_count)):
            if queue[0].is_over():
                queue.popleft()
            else:
                queue[0].has_turn = True
                queue[0].place()
        self.is_advancing = False
        if not (queue or self.pause_count) and self.queues.get(self.key) is self:
            del self.queues[self.key]
