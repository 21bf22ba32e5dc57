"""Records of which keyed and unsafe requests may have run where, across clients' retries and node restarts.

A request that was sent may have run. Until the servers no longer remember it, a request under the same
idempotency key is a repeat and may be sent only to servers that drop repeats. The number of keys is bounded:
at the bound, requests under new keys are rejected at once, which is harmless as no attempt of them ran; no
key is dropped before it expires.
"""

import heapq
from collections.abc import Callable, Iterable, Iterator
from math import inf
from typing import NamedTuple

from marlseam.decisions.types import Idempotency, Request, RequestClass

# Prefix of keys made from correlation ids; clients' idempotency keys have no spaces.
CORRELATION_KEY_PREFIX = "id "
MAX_KEY_CHARACTERS = 256  # of a key that the other processes of a node accept
MIN_WAIT_FOR_KEY_MS = 1.0  # the shortest delay advised for a retry while the number of keys is at its bound


def correlation_key(correlation_id: str) -> str:
    """Return the key under which attempts of an unsafe request are recorded, by the client's id.

    Of the longest ids the end alone: those with a common end are taken for one, and not sent twice.
    """
    return CORRELATION_KEY_PREFIX + correlation_id[len(CORRELATION_KEY_PREFIX) - MAX_KEY_CHARACTERS :]


def is_correlation_key(key: str) -> bool:
    """Return whether a key was made from a correlation id; such records are not stored across restarts."""
    return key.startswith(CORRELATION_KEY_PREFIX)


def record_keys(request: Request, request_class: RequestClass) -> list[str]:
    """Return the keys under which a request must be recorded before it is sent; none for a safe request."""
    if request_class.idempotency is Idempotency.SAFE:
        return []
    keys = [] if request.idempotency_key is None else [request.idempotency_key]
    if request.correlation_id is not None:
        keys.append(correlation_key(request.correlation_id))
    return keys


class AttemptRecord(NamedTuple):
    """One attempt that may have run.

    Attributes:
        server: the server's name; "" if unknown.
        zone, cell: the server's zone and cell as indices by the settings.
        sent_ms: when the attempt was sent, on the node's clock.
        until_ms: when the server's record of the attempt expires, on the node's clock.
    """

    server: str
    zone: int
    cell: int
    sent_ms: float
    until_ms: float


class PortableRecord(NamedTuple):
    """An attempt in the form for files and other processes: the zone by name, times in Unix milliseconds."""

    key: str
    server: str
    zone: str
    cell: int
    sent_unix_ms: float
    until_unix_ms: float


# Stands for an unknown attempt. No server has its zone and cell (-1 is for servers listed without one); it
# was sent so long ago that no server is assumed to remember it.
UNKNOWN_ATTEMPT = AttemptRecord("", -2, -2, -inf, inf)


def portable_record(
    key: str, record: AttemptRecord, zones: Iterable[str], to_unix: Callable[[float], float]
) -> PortableRecord:
    """Return an attempt in the form for files and other processes.

    `zones` are the names of zones by index, `to_unix` converts the node's clock to Unix milliseconds. The
    zone is "" for an index without a name.
    """
    names = list(zones)
    zone = names[record.zone] if 0 <= record.zone < len(names) else ""
    sent_unix_ms, until_unix_ms = to_unix(record.sent_ms), to_unix(record.until_ms)
    return PortableRecord(key, record.server, zone, record.cell, sent_unix_ms, until_unix_ms)


class IdempotencyRecords:
    """Idempotency keys of requests that may have run, each with its attempts in the order sent.

    Attributes:
        max_keys: the maximum number of keys, not counting those restored from an earlier process.
        records: the attempts by key.
        expiries: a heap of expiry times with their keys; at least one entry per key.
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
        """Add an attempt; its key expires with the first attempt, from which the servers' window counts."""
        records = self.records.setdefault(key, [])
        if not records:
            heapq.heappush(self.expiries, (record.until_ms, key))
        records.append(record)

    def restore(self, recovered: dict[str, list[AttemptRecord]]) -> None:
        """Insert attempts from before the node's start ahead of those sent since."""
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
        """Delete the record of an attempt that provably never ran; return whether there was one."""
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
        """Delete the keys whose first attempt has expired, and return them."""
        expired = []
        while self.expiries and self.expiries[0][0] <= now:
            _, key = heapq.heappop(self.expiries)
            records = self.records.get(key)
            if records and records[0].until_ms <= now:
                del self.records[key]
                expired.append(key)
        return expired

    def attempts(self, key: str, now: float) -> list[AttemptRecord]:
        """Return the unexpired attempts under a key, which may have run, in the order sent."""
        self.expire(now)
        return list(self.records.get(key, ()))

    def wait_for_key_ms(self, now: float) -> float:
        """Return the time (ms) until another key can be added; 0 if one can be added now."""
        self.expire(now)
        if len(self.records) < self.max_keys:
            return 0.0
        first_until_ms = min(records[0].until_ms for records in self.records.values())
        return max(MIN_WAIT_FOR_KEY_MS, first_until_ms - now)


class UnavailableHistory:
    """Sources (another process, the store) whose records of requests that may have run are missing here.

    Attributes:
        last_sent_ms: by source, the latest time at which it may have sent a request; inf while it may still
            send.
    """

    def __init__(self) -> None:
        self.last_sent_ms: dict[str, float] = {}

    def add(self, source: str, since_ms: float | None) -> None:
        """Record a source as unavailable; `since_ms` is its latest possible send, None while it may send."""
        self.last_sent_ms[source] = inf if since_ms is None else since_ms

    def discard(self, source: str) -> None:
        """Record that the records of a source are available."""
        self.last_sent_ms.pop(source, None)

    def expire(self, now: float, longest_memory_ms: float) -> bool:
        """Drop sources whose last request is older than `longest_memory_ms`; return whether any is left."""
        self.last_sent_ms = {
            source: sent_ms
            for source, sent_ms in self.last_sent_ms.items()
            if sent_ms + longest_memory_ms > now
        }
        return bool(self.last_sent_ms)
