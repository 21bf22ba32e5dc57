"""The content of a state directory in memory: built from its records in order, written as a snapshot."""

from collections.abc import Generator
from dataclasses import dataclass, field

from msgspec.structs import replace

from marlseam.store.file_format import (
    AttemptBatch,
    AttemptNeverRan,
    AttemptSent,
    DepartureRateStored,
    HistoryLost,
    ListConfirmed,
    ListStored,
    StateRecord,
)

Steps = Generator[None, None, None]  # long work in steps, which a caller may spread over turns of its loop
KEYS_PER_STEP = 1000
MIN_CLOCK_CHANGE_MS = 20.0  # smallest difference of two clocks that counts as a change of the clock
UNKNOWN_SENT_MS = 0.0  # Unix time of an attempt of unknown age: no server is assumed to remember its key


@dataclass
class NodeState:
    """A node's durable state. Times in Unix ms.

    Attributes:
        listed: the endpoint list stored last, None for none.
        departure_rate: the rate at which servers leave.
        sent: the attempts that may have run by idempotency key, oldest first.
        lost_ms: attempts before this time may be missing; None if no record was lost.
    """

    listed: ListStored | None = None
    departure_rate: DepartureRateStored = field(default_factory=lambda: DepartureRateStored(0.0, 0.0))
    sent: dict[str, list[AttemptSent]] = field(default_factory=dict)
    lost_ms: float | None = None

    def apply(self, record: StateRecord) -> None:
        """Apply a record to the state."""
        match record:
            case AttemptSent():
                self.sent.setdefault(record.key, []).append(record)
            case AttemptBatch():
                self._add_attempts(record.rows)
            case AttemptNeverRan():
                self._remove_attempt(record)
            case ListStored():
                self.listed = record
            case ListConfirmed():
                if self.listed is not None:
                    self.listed = replace(self.listed, confirmed_ms=record.confirmed_ms)
            case DepartureRateStored():
                self.departure_rate = record
            case HistoryLost():
                self.lost_ms = record.since_ms

    def _add_attempts(self, attempts: list[AttemptSent]) -> None:
        """Add attempts, each as the latest of its key."""
        by_key = self.sent
        for attempt in attempts:
            if attempt.key in by_key:
                by_key[attempt.key].append(attempt)
            else:
                by_key[attempt.key] = [attempt]

    def _remove_attempt(self, never: AttemptNeverRan) -> None:
        """Remove an attempt that never ran, and its key if no other attempt is left."""
        attempts = self.sent.get(never.key, [])
        attempts[:] = [
            attempt
            for attempt in attempts
            if (attempt.server, attempt.sent_ms) != (never.server, never.sent_ms)
        ]
        if not attempts:
            self.sent.pop(never.key, None)

    def expire(self, now_ms: float) -> Steps:
        """Remove the keys that every server has forgotten; a key's last attempt is remembered longest."""
        expired = []
        for position, (key, attempts) in enumerate(self.sent.items()):
            if attempts[-1].until_ms <= now_ms:
                expired.append(key)
            if position % KEYS_PER_STEP == 0:
                yield
        for key in expired:
            del self.sent[key]

    def shift_to(self, old_zero_ms: float, new_zero_ms: float) -> Steps:
        """Move all times to another scale after the clock was set; a scale is given by its zero (Unix ms)."""
        shift_ms = new_zero_ms - old_zero_ms
        if abs(shift_ms) < MIN_CLOCK_CHANGE_MS:
            return
        for position, attempts in enumerate(self.sent.values()):
            attempts[:] = [
                replace(attempt, sent_ms=attempt.sent_ms + shift_ms, until_ms=attempt.until_ms + shift_ms)
                for attempt in attempts
            ]
            if position % KEYS_PER_STEP == 0:
                yield
        if self.listed is not None:
            self.listed = replace(self.listed, confirmed_ms=self.listed.confirmed_ms + shift_ms)
        if self.lost_ms is not None:
            self.lost_ms += shift_ms

    def invalidate_times(self, now_ms: float) -> Steps:
        """Treat all times as unknown: no server counts as remembering a key, and no key expires too early.

        Guards against a clock that was set while the machine was down, which cannot be detected.
        """
        for position, attempts in enumerate(self.sent.values()):
            attempts[:] = [_without_known_age(attempt, now_ms) for attempt in attempts]
            if position % KEYS_PER_STEP == 0:
                yield
        if self.lost_ms is not None:
            self.lost_ms = now_ms

    def entries(self) -> list[StateRecord]:
        """Return the records of a snapshot of this state."""
        records: list[StateRecord] = [self.departure_rate]
        if self.listed is not None:
            records.append(self.listed)
        if self.lost_ms is not None:
            records.append(HistoryLost(self.lost_ms))
        return records + [attempt for attempts in self.sent.values() for attempt in attempts]


def _without_known_age(attempt: AttemptSent, now_ms: float) -> AttemptSent:
    """Return an attempt with an unknown age, retained as long as a server can remember its key."""
    until_ms = max(attempt.until_ms, now_ms + attempt.until_ms - attempt.sent_ms)
    return replace(attempt, sent_ms=UNKNOWN_SENT_MS, until_ms=until_ms)
