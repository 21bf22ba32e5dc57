"""Which receipts may have run, and where.

Rule 2 across the tries of a client, and across a node's restarts.

A keyed or exclusive request that was sent may have run. Until the pod's memory ends, another request
under the same key is the same work, and may go only where the repeat is dropped. The number of keys is
bounded: at the bound new keys are refused at once, which is harmless, as nothing of them ran; no key is
dropped before its time.
"""

import heapq
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple


class AttemptRecord(NamedTuple):
    """One sending that may have run.

    Times in ms on the node's clock; `cell` and `zone` are those of its executor.
    """

    server: str
    zone: int
    cell: int
    sent_ms: float
    until_ms: float  # when the pod forgets it


def told(key: str, trace: AttemptRecord, zones: Iterable[str], to_unix: Callable[[float], float]) -> tuple:
    """Return a sending as files and other processes hold it: zone by name, times in Unix ms."""
    names = list(zones)
    zone = names[trace.zone] if 0 <= trace.zone < len(names) else ""
    return key, trace.server, zone, trace.cell, to_unix(trace.sent_ms), to_unix(trace.until_ms)


class IdempotencyRecords:
    """Keys that may have run, each with its sendings in their order."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.traces: dict[str, list[AttemptRecord]] = {}
        self.ends: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self.traces)

    def note(self, key: str, trace: AttemptRecord) -> None:
        """Note a sending; a key's time is that of its first one, from which the pod's memory counts."""
        rows = self.traces.setdefault(key, [])
        if not rows:
            heapq.heappush(self.ends, (trace.until_ms, key))
        rows.append(trace)

    def recall(self, traces: dict[str, list[AttemptRecord]]) -> None:
        """Take in what may have run in an earlier life; sendings in their order, then those of this."""
        first, at = not self.ends, len(self.ends)
        for key, rows in traces.items():
            noted = self.traces.get(key)
            self.traces[key] = rows if noted is None else rows + [row for row in noted if row not in rows]
            self.ends.append((rows[0].until_ms, key))
        if first:
            heapq.heapify(self.ends)
        else:
            ends, self.ends = self.ends[at:], self.ends[:at]
            for end in ends:
                heapq.heappush(self.ends, end)

    def never_ran(self, key: str, server: str, sent_ms: float) -> bool:
        """Drop a sending that provably never ran; return whether there was such a one."""
        rows = self.traces.get(key, [])
        for i, row in enumerate(rows):
            if row.server == server and row.sent_ms == sent_ms:
                del rows[i]
                if rows and i == 0:
                    heapq.heappush(self.ends, (rows[0].until_ms, key))
                elif not rows:
                    del self.traces[key]
                return True
        return False

    def expire(self, now: float) -> list[str]:
        """Drop what pods have forgotten, and return those keys."""
        gone = []
        while self.ends and self.ends[0][0] <= now:
            _, key = heapq.heappop(self.ends)
            rows = self.traces.get(key)
            if rows and rows[0].until_ms <= now:
                del self.traces[key]
                gone.append(key)
        return gone

    def known(self, key: str, now: float) -> list[AttemptRecord]:
        """Return a key's sendings that may have run and that pods remember."""
        self.expire(now)
        return list(self.traces.get(key, ()))

    def full(self, now: float) -> float:
        """Return how long until there is room for another key, in ms; 0 where there is some."""
        self.expire(now)
        if len(self.traces) < self.most:
            return 0.0
        return max(1.0, min(rows[0].until_ms for rows in self.traces.values()) - now)

    def __iter__(self) -> Iterator[tuple[str, AttemptRecord]]:
        for key, rows in self.traces.items():
            for row in rows:
                yield key, row
