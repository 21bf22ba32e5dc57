"""Which keyed and unsafe requests may have run, and where: across retries of clients and restarts of nodes.

A request that was sent may have run. Until the servers' memory of it ends, another request under the same
idempotency key is the same request, and may go only where the repeat is dropped. The number of keys is
bounded: at the bound new keys are rejected at once, which is harmless, as nothing of them ran; no key is
dropped before its time.
"""

import heapq
from collections.abc import Callable, Iterable, Iterator
from math import inf
from typing import NamedTuple

MIN_WAIT_FOR_KEY_MS = 1.0  # the shortest advice for a retry where the number of keys is at its bound


class AttemptRecord(NamedTuple):
    """One attempt that may have run.

    Attributes:
        server: the server's name; "" where it is not known.
        zone, cell: those of the server, as indices of the settings.
        sent_ms: when it was sent, on the node's clock.
        until_ms: when the server forgets it.
    """

    server: str
    zone: int
    cell: int
    sent_ms: float
    until_ms: float


class PortableRecord(NamedTuple):
    """An attempt as files and other processes hold it: its zone by name, times in Unix milliseconds."""

    key: str
    server: str
    zone: str
    cell: int
    sent_unix_ms: float
    until_unix_ms: float


# Stands for an attempt that is not known: at a group that no server is of (-1 is that of one listed without
# any), so long ago that no server is relied on to know it still.
UNKNOWN_ATTEMPT = AttemptRecord("", -2, -2, -inf, inf)


def portable_record(
    key: str, record: AttemptRecord, zones: Iterable[str], to_unix: Callable[[float], float]
) -> PortableRecord:
    """Return an attempt as files and other processes hold it; `zones` are the names of zones by index."""
    names = list(zones)
    zone = names[record.zone] if 0 <= record.zone < len(names) else ""
    sent_unix_ms, until_unix_ms = to_unix(record.sent_ms), to_unix(record.until_ms)
    return PortableRecord(key, record.server, zone, record.cell, sent_unix_ms, until_unix_ms)


class IdempotencyRecords:
    """Keys of requests that may have run, each with its attempts in the order sent.

    Attributes:
        max_keys: how many keys are held at most, but for those of an earlier process.
        records: the attempts by key.
        expiries: a heap of when keys are forgotten; one entry a key at least.
    """

    def __init__(self, max_keys: int) -> None:
        self.max_keys = max_keys
        self.records: dict[str, list[AttemptRecord]] = {}
        self.expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self.records)

    def __iter__(self) -> Iterator[tuple[str, AttemptRecord]]:
        for key, records in self.records.items():
            for record in records:
                yield key, record

    def add(self, key: str, record: AttemptRecord) -> None:
        """Add an attempt; its key is held as long as the first attempt, from which servers' memory counts."""
        records = self.records.setdefault(key, [])
        if not records:
            heapq.heappush(self.expiries, (record.until_ms, key))
        records.append(record)

    def restore(self, recovered: dict[str, list[AttemptRecord]]) -> None:
        """Put what may have run before the node started before what has been sent since."""
        is_first, count_before = not self.expiries, len(self.expiries)
        for key, records in recovered.items():
            since = self.records.get(key)
            if since is not None:
                self.records[key] = records + [record for record in since if record not in records]
            else:
                self.records[key] = records
            self.expiries.append((records[0].until_ms, key))
        if is_first:
            heapq.heapify(self.expiries)
            return
        added, self.expiries = self.expiries[count_before:], self.expiries[:count_before]
        for expiry in added:
            heapq.heappush(self.expiries, expiry)

    def never_ran(self, key: str, server: str, sent_ms: float) -> bool:
        """Drop an attempt that provably never ran; return whether it was on record."""
        records = self.records.get(key, [])
        for index, record in enumerate(records):
            if record.server == server and record.sent_ms == sent_ms:
                del records[index]
                if records and index == 0:
                    heapq.heappush(self.expiries, (records[0].until_ms, key))
                elif not records:
                    del self.records[key]
                return True
        return False

    def expire(self, now: float) -> list[str]:
        """Drop the keys that servers have forgotten, and return them."""
        expired = []
        while self.expiries and self.expiries[0][0] <= now:
            _, key = heapq.heappop(self.expiries)
            records = self.records.get(key)
            if records and records[0].until_ms <= now:
                del self.records[key]
                expired.append(key)
        return expired

    def attempts(self, key: str, now: float) -> list[AttemptRecord]:
        """Return a key's attempts that may have run and that servers remember."""
        self.expire(now)
        return list(self.records.get(key, ()))

    def wait_for_key_ms(self, now: float) -> float:
        """Return how long until another key can be held; 0 where one can be now."""
        self.expire(now)
        if len(self.records) < self.max_keys:
            return 0.0
        first_until_ms = min(records[0].until_ms for records in self.records.values())
        return max(MIN_WAIT_FOR_KEY_MS, first_until_ms - now)


class UnavailableHistory:
    """Sources (another process, the store) whose keyed requests may have run and are not known here.

    Attributes:
        last_sent_ms: by source, when the last of its requests was sent at the latest; inf while it may
            still send.
    """

    def __init__(self) -> None:
        self.last_sent_ms: dict[str, float] = {}

    def add(self, source: str, since_ms: float | None) -> None:
        """Note a source as unavailable; `since_ms` None while it may still send."""
        self.last_sent_ms[source] = inf if since_ms is None else since_ms

    def discard(self, source: str) -> None:
        """Note that what a source has sent is known."""
        self.last_sent_ms.pop(source, None)

    def expire(self, now: float, longest_memory_ms: float) -> bool:
        """Drop the sources all of whose requests servers have forgotten; return whether any is left."""
        self.last_sent_ms = {
            source: sent_ms
            for source, sent_ms in self.last_sent_ms.items()
            if sent_ms + longest_memory_ms > now
        }
        return bool(self.last_sent_ms)
