"""Start times of servers' processes on the node's monotonic clock, robust against wrong wall clocks.

The endpoint list gives a start as Unix time, by a clock that may have been stepped; the node's own wall clock
may have been stepped too. A start that is estimated too early ends a server's slow start too soon.

A start in a change of the list is converted by the node's own wall clock if the result lies between the last
confirmation of the list, less MAX_CLOCK_ERROR_MS, and the present: then both clocks agree to
MAX_CLOCK_ERROR_MS. Any other start is estimated as the latest of these times, but not later than the present:

- the start by the node's own wall clock, as the clock was when the node's process began;
- the start by the list's clock, which has reached at least the latest start that the list has given;
- the present, if a change gives a start long before the list that it changes.

Not detected: clocks that differ by less than MAX_CLOCK_ERROR_MS; in a first list, a node whose clock is ahead
together with a server whose clock is ahead.
"""

from collections.abc import Callable, Collection, Iterable
from math import inf

from marlseam.core import EndpointEntry

MAX_CLOCK_ERROR_MS = 3000.0  # how long before a list's confirmation an unlisted server may have started
MIN_DELISTED = 1000  # minimum number of delisted servers whose starts are kept


class StartTimes:
    """Converts the starts in the list to the node's clock; a start, once converted, keeps its time."""

    def __init__(self, from_unix: Callable[[float], float]) -> None:
        self.from_unix = from_unix  # converts Unix ms by the node's own wall clock
        self.ahead_ms = -inf  # lower bound of the list's clock minus the node's monotonic clock
        self.starts: dict[str, tuple[float, float]] = {}  # by server: Unix ms as listed, node's clock

    def convert_all(
        self, entries: Iterable[EndpointEntry], now_ms: float, confirmed_ms: float | None
    ) -> list[EndpointEntry]:
        """Return the entries with `process_started_ms` converted from Unix ms to the node's clock.

        `confirmed_ms` is when the list that these entries change was last confirmed; None for a first list.
        """
        entries = list(entries)
        starts_ms = [entry.process_started_ms for entry in entries if entry.process_started_ms is not None]
        self.ahead_ms = max(
            [self.ahead_ms, *(process_started_ms - now_ms for process_started_ms in starts_ms)]
        )
        return [
            entry._replace(process_started_ms=self.convert(entry, now_ms, confirmed_ms)) for entry in entries
        ]

    def convert(self, entry: EndpointEntry, now_ms: float, confirmed_ms: float | None) -> float | None:
        """Return when a server started, on the node's clock, or None if that was long ago."""
        listed_ms = entry.process_started_ms
        if listed_ms is None:
            self.starts.pop(entry.server, None)
            return None
        known = self.starts.get(entry.server)
        if known is not None and known[0] == listed_ms:
            return known[1]
        start = self.estimate(
            listed_ms, now_ms, -inf if confirmed_ms is None else confirmed_ms - MAX_CLOCK_ERROR_MS
        )
        self.starts[entry.server] = (listed_ms, start)
        return start

    def estimate(self, listed_ms: float, now_ms: float, earliest_ms: float) -> float:
        """Estimate a start on the node's clock; `earliest_ms` is -inf for a first list."""
        by_own_clock_ms = self.from_unix(listed_ms)
        if -inf < earliest_ms <= by_own_clock_ms <= now_ms:
            return by_own_clock_ms
        latest_ms = min(now_ms, max(by_own_clock_ms, listed_ms - self.ahead_ms))
        return latest_ms if latest_ms >= earliest_ms else now_ms

    def listed_unix_ms(self, server: str) -> float:
        """Return a server's start in Unix ms as listed; 0 if it was long ago."""
        return self.starts[server][0] if server in self.starts else 0.0

    def forget_delisted(self, servers: Collection[str]) -> None:
        """Remove servers that left the list once there are many; a server may return with the same start."""
        if len(self.starts) <= 2 * len(servers) + MIN_DELISTED:
            return
        for server in self.starts.keys() - set(servers):
            del self.starts[server]
