"""Tasks that wait until a message to the writer process is durable."""

from collections import deque

from marlseam.net.loop import Task


class DurabilityWait:
    """One task that waits for a message.

    Attributes:
        number: of the message.
        task: what waits.
        is_durable: whether the message is known to be durable.
        is_over: whether it is decided, one way or the other.
    """

    def __init__(self, number: int, task: Task) -> None:
        self.number, self.task = number, task
        self.is_durable = False
        self.is_over = False

    def resolve(self, is_durable: bool) -> None:
        """Decide it and let the task go on; does nothing where it is decided already."""
        if self.is_over:
            return
        self.is_durable, self.is_over = is_durable, True
        self.task.wake()

    def give_up(self) -> None:
        """Decide that it did not become durable in time; the task goes on by itself."""
        self.is_over = True


class DurabilityWaitQueue:
    """The tasks that wait, in the order of their messages."""

    def __init__(self) -> None:
        self._queue: deque[DurabilityWait] = deque()

    def add(self, number: int, task: Task) -> DurabilityWait:
        """Return the wait of a task for a message, whose number is no lower than any waited for before."""
        wait = DurabilityWait(number, task)
        self._queue.append(wait)
        return wait

    def resolve_up_to(self, number: float, is_durable: bool) -> None:
        """Decide all waits for messages up to a number, that one included."""
        while self._queue and self._queue[0].number <= number:
            self._queue.popleft().resolve(is_durable)
