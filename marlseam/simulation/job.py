"""Jobs that servers run, their events, and the memory that a group of servers shares."""

from dataclasses import dataclass
from typing import NamedTuple


class JobEvent(NamedTuple):
    """An event of a job.

    Attributes:
        t: the time, in ms of the run.
        what: started, progress, done, failed or lost.
        id: the job's id.
        value: for started 1, or 0 without effect; for progress the share done; else the standard work spent,
            in ms times slots.
    """

    t: float
    what: str
    id: str
    value: float


@dataclass
class Job:
    """The work of one attempt at a server.

    Attributes:
        id: the id of the attempt.
        try_id: the id of the attempt's try.
        class_name: the name of the request class.
        work: the standard work in ms.
        slots: the number of slots it occupies.
        memory: the memory it occupies, in units.
        idempotency_key: the idempotency key, None without one.
        key_group: the group of servers that share the memory of the key: all, zone or cell.
        key_memory_ms: for how long the group remembers the key.
        is_duplicate: whether the key was remembered when the job started, so that it has no effect.
        will_fail: whether it ends as failed.
        is_cancelled: whether its node cancelled it while it ran.
        start_clock: the server's clock of standard work at the job's start, in ms.
        end_clock: that clock at the job's end, in ms.
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
        """Return the share of the job that is done when the clock of standard work is at `clock`."""
        return (clock - self.start_clock) / max(1e-9, self.end_clock - self.start_clock)


class GroupMemory:
    """The memory that a group of servers shares.

    Attributes:
        first_seen_ms: when each idempotency key was first seen, in ms of the run; renewed after its span.
        saved_work: the standard work of interrupted jobs that checkpoints saved, in ms, by the try's id.
    """

    def __init__(self) -> None:
        """Make an empty memory."""
        self.first_seen_ms: dict[str, float] = {}
        self.saved_work: dict[str, float] = {}

    def note_key(self, key: str, now_ms: float, span_ms: float) -> bool:
        """Return whether a key was first seen at most `span_ms` ago; if not, note it as first seen now."""
        since_ms = self.first_seen_ms.get(key)
        if since_ms is not None and now_ms - since_ms <= span_ms:
            return True
        self.first_seen_ms[key] = now_ms
        return False
