"""When servers started, on the node's monotonic clock, although no wall clock is sure to be right.

The list tells a start as Unix time, by a clock that may have been stepped, as may the node's own. A start
that is taken for too early ends a server's slow start too soon.

A start that a change tells is taken by the node's own wall clock where that has it shortly before the change
was told, or since the list that it changes was: both clocks agree then to
MAX_CLOCK_ERROR_MS. Any other is taken for the latest of these, the present at most:

- the start by the node's own wall clock, as it was when the process began;
- the start by the list's clock, which is at least as far as the latest start that it has told;
- the present, where a change tells a start that lies long before the list that it changes.

Not noticed: clocks that differ by less than MAX_CLOCK_ERROR_MS; in a first list, a node whose clock is ahead
beside a server whose clock is ahead.
"""

from collections.abc import Callable, Collection, Iterable
from math import inf

from marlseam.core import EndpointEntry

MAX_CLOCK_ERROR_MS = 3000.0  # how long before a list was told what it did not tell yet may have started
MIN_DELISTED = 1000  # servers off the list whose starts are known still


class StartTimes:
    """Brings the starts that the list tells onto the node's clock; one start keeps its time for good."""

    def __init__(self, from_unix: Callable[[float], float]) -> None:
        self.from_unix = from_unix  # by the node's own wall clock
        self.ahead_ms = -inf  # how far the list's clock is ahead of the node's monotonic one, at least
        self.starts: dict[str, tuple[float, float]] = {}  # by server: as listed, and on the node's clock

    def place_all(
        self, entries: Iterable[EndpointEntry], now_ms: float, confirmed_ms: float | None
    ) -> list[EndpointEntry]:
        """Return entries whose `born_ms`, Unix time as listed, is brought onto the node's clock.

        `confirmed_ms`: when the list was last known to be true that these are changes of; None where they are
        a first list.
        """
        entries = list(entries)
        started = [entry.process_started_ms for entry in entries if entry.process_started_ms is not None]
        self.ahead_ms = max([self.ahead_ms, *(process_started_ms - now_ms for process_started_ms in started)])
        return [
            entry._replace(process_started_ms=self.place(entry, now_ms, confirmed_ms)) for entry in entries
        ]

    def place(self, entry: EndpointEntry, now_ms: float, confirmed_ms: float | None) -> float | None:
        """Return when a server started, or None where that was long ago."""
        listed = entry.process_started_ms
        if listed is None:
            self.starts.pop(entry.server, None)
            return None
        known = self.starts.get(entry.server)
        if known is not None and known[0] == listed:
            return known[1]
        start = self.estimate(
            listed, now_ms, -inf if confirmed_ms is None else confirmed_ms - MAX_CLOCK_ERROR_MS
        )
        self.starts[entry.server] = (listed, start)
        return start

    def estimate(self, listed: float, now_ms: float, earliest_ms: float) -> float:
        """Return a start on the node's clock; where it is told by a change, it has an earliest time."""
        own = self.from_unix(listed)
        if -inf < earliest_ms <= own <= now_ms:
            return own
        latest = min(now_ms, max(own, listed - self.ahead_ms))
        return latest if latest >= earliest_ms else now_ms

    def listed_unix_ms(self, server: str) -> float:
        """Return a server's start as the list told it, Unix ms; 0 for long ago."""
        return self.starts[server][0] if server in self.starts else 0.0

    def forget_delisted(self, servers: Collection[str]) -> None:
        """Forget servers that have left the list, once there are many: one may come back as it was."""
        if len(self.starts) <= 2 * len(servers) + MIN_DELISTED:
            return
        for server in self.starts.keys() - set(servers):
            del self.starts[server]
