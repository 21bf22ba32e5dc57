"""Ordering of the requests of one resource key whose request classes are `ordered_by_key`.

A key queue holds the requests of a key in the order of arrival. The first may be sent. The next may be sent
once the first is over (answered, with no attempt in flight) and, where an attempt may still run, the key's
pause has passed. A request that is over before its turn stays in the queue until it is first. The queue of a
key without requests and pauses is deleted.
"""

from collections import deque
from collections.abc import Callable
from typing import Protocol

from marlseam.decisions.types import Outcome

MAY_STILL_RUN = (Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED, Outcome.STALE_CONNECTION)


class OrderedRequest(Protocol):
    """A request as a key queue uses it.

    Attributes:
        key_queue: the queue that the request is in; None for none.
        key_run_ms: how long the request is expected to run.
        has_turn: whether the request may be sent as far as its key is concerned.
    """

    key_queue: "KeyQueue | None"
    key_run_ms: float
    has_turn: bool

    def is_over(self) -> bool:
        """Return whether the request has its final answer and no attempt in flight."""
        ...

    def place(self) -> None:
        """Send the request to a server, or queue it until a server can take it."""
        ...


class KeyQueue:
    """The queue of the requests of one resource key.

    Attributes:
        queues: the queues of all keys; a queue removes itself from them once it is empty.
        key: the resource key.
        queue: the requests in the order of arrival.
        pause_count: how many pauses have not passed yet.
        is_advancing: whether `advance` is running, which guards against its re-entry.
        ahead_ms: the sum of the expected runs of the requests that are not over.
    """

    def __init__(self, queues: dict[str, "KeyQueue"], key: str) -> None:
        self.queues, self.key = queues, key
        self.queue: deque[OrderedRequest] = deque()
        self.pause_count, self.is_advancing, self.ahead_ms = 0, False, 0.0

    def join(self, state: OrderedRequest, run_ms: float) -> None:
        """Append a request that is expected to run for `run_ms`."""
        state.key_queue, state.key_run_ms = self, run_ms
        state.has_turn = not (self.queue or self.pause_count)
        self.queue.append(state)
        self.ahead_ms += run_ms

    def pause(self, call_after: Callable[[float, Callable[[], None]], object], gap_ms: float) -> None:
        """Give no request its turn for `gap_ms`, since an attempt may still run."""
        self.pause_count += 1
        call_after(gap_ms, self.pause_ended)

    def pause_ended(self) -> None:
        """End a pause, and advance the queue."""
        self.pause_count -= 1
        self.advance()

    def request_over(self, state: OrderedRequest) -> None:
        """Subtract the expected run of a request that is over, and advance the queue."""
        self.ahead_ms, state.key_run_ms = self.ahead_ms - state.key_run_ms, 0.0
        self.advance()

    def advance(self) -> None:
        """Remove requests that are over from the head, and give the first remaining one its turn.

        A loop instead of recursion: a placed request may be answered at once, and queues may be long.
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
