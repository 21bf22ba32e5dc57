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
        unit: the id of the try that it is of.
        type: the name of its request class.
        work: its standard work in ms.
        slots: how many slots it takes.
        memory: how much memory it takes, in units.
        receipt: its idempotency key, None where it has none.
        group: which servers share the memory of such keys: all, zone or cell.
        memory_ms: for how long a key is remembered.
        drop: whether its key was known at its start, so that it has no effect.
        fails: whether it will fail.
        withdrawn: whether its node cancelled it.
        since: the clock of standard work at its start.
        ends: that clock at its end.
    """

    id: str
    unit: str
    type: str
    work: float
    slots: float = 1.0
    memory: float = 0.0
    receipt: str | None = None
    group: str = "cell"
    memory_ms: float = 0.0
    drop: bool = False
    fails: bool = False
    withdrawn: bool = False
    since: float = 0.0
    ends: float = 0.0

    def progress_at(self, clock: float) -> float:
        """Return which share of it is done when the clock of standard work shows a figure."""
        return (clock - self.since) / max(1e-9, self.ends - self.since)


class GroupMemory:
    """What a group of servers shares.

    Attributes:
        receipts: when each idempotency key was first seen.
        saved: the standard work of interrupted runs that was saved, by the try's id.
    """

    def __init__(self) -> None:
        """Make an empty memory."""
        self.receipts: dict[str, float] = {}
        self.saved: dict[str, float] = {}

    def known(self, receipt: str, now_ms: float, span_ms: float) -> bool:
        """Return whether a key was first seen within its span, and note it if not."""
        since_ms = self.receipts.get(receipt)
        if since_ms is not None and now_ms - since_ms <= span_ms:
            return True
        self.receipts[receipt] = now_ms
        return False
