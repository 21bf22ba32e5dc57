"""Jobs as servers run them: what happens to one, and what servers of a group remember of them."""

from dataclasses import dataclass
from typing import NamedTuple


class JobEvent(NamedTuple):
    """Something that happened to a job.

    Attributes:
        t: when, in ms.
        what: started, progress, done, failed or lost.
        id: the job's id.
        value: for started 1, or 0 without effect; for progress the share done; else the work spent, in ms
            times slots.
    """

    t: float
    what: str
    id: str
    value: float


@dataclass
class Job:
    """One attempt as a server has it.

    Attributes:
        id: the attempt's id.
        try_id: the id of the try that it is of.
        class_name: the name of its request class.
        work: its standard work in ms.
        slots: how many slots it takes.
        memory: how much memory it takes, in units.
        idempotency_key: its idempotency key, None where it has none.
        key_group: which servers share the memory of such keys: all, zone or cell.
        key_memory_ms: for how long a key is remembered.
        is_duplicate: whether its key was known at its start, so that it has no effect.
        will_fail: whether it will fail.
        is_cancelled: whether its node cancelled it.
        start_clock: the clock of standard work at its start.
        end_clock: that clock at its end.
    """

    id: str
    try_id: str
    class_name: str
    work: float
    slots: float = 1.0
    memory: float = 0.0
    idempotency_key: str | None = None
    key_group: str = "cell"
    key_memory_ms: float = 0.0
    is_duplicate: bool = False
    will_fail: bool = False
    is_cancelled: bool = False
    start_clock: float = 0.0
    end_clock: float = 0.0

    def progress_at(self, clock: float) -> float:
        """Return which share of it is done when the clock of standard work shows a figure."""
        return (clock - self.start_clock) / max(1e-9, self.end_clock - self.start_clock)


class GroupMemory:
    """What a group of servers shares.

    Attributes:
        first_seen_ms: when each idempotency key was first seen.
        saved_work: the standard work of interrupted runs that was saved, by the try's id.
    """

    def __init__(self) -> None:
        """Make an empty memory."""
        self.first_seen_ms: dict[str, float] = {}
        self.saved_work: dict[str, float] = {}

    def note_key(self, key: str, now_ms: float, span_ms: float) -> bool:
        """Return whether a key was first seen within its span; if not, it is seen for the first time now."""
        since_ms = self.first_seen_ms.get(key)
        if since_ms is not None and now_ms - since_ms <= span_ms:
            return True
        self.first_seen_ms[key] = now_ms
        return False
