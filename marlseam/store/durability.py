"""Tasks that wait until a message to the writer process is durable."""

from collections import deque

from marlseam.net.loop import Task


class DurabilityWait:
    """A task that waits until a message is durable.

    Attributes:
        number: the message's number.
        task: the waiting task.
        is_durable: whether the message is known to be durable.
        is_resolved: whether the wait has ended, with either result.
    """

    def __init__(self, number: int, task: Task) -> None:
        self.number, self.task = number, task
        self.is_durable = False
        self.is_resolved = False

    def resolve(self, is_durable: bool) -> None:
        """End the wait with a result and wake the task; no effect on a wait that has ended."""
        if self.is_resolved:
            return
        self.is_durable, self.is_resolved = is_durable, True
        self.task.wake()

    def time_out(self) -> None:
        """End the wait without durability; the task is running and is not woken."""
        self.is_resolved = True


class DurabilityWaitQueue:
    """The waiting tasks, in the order of their messages' numbers."""

    def __init__(self) -> None:
        self._queue: deque[DurabilityWait] = deque()

    def add(self, number: int, task: Task) -> DurabilityWait:
        """Add and return a task's wait for a message; numbers must not decrease from call to call."""
        wait = DurabilityWait(number, task)
        self._queue.append(wait)
        return wait

    def resolve_up_to(self, number: float, is_durable: bool) -> None:
        """End all waits for messages up to a number, inclusive, with a result."""
        while self._queue and self._queue[0].number <= number:
            self._queue.popleft().resolve(is_durable)
