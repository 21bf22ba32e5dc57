"""Which saved endpoint list a node starts from, and how much doubt each entry carries.

Doubt is the chance that an entry's address no longer belongs to the server that the entry names, in [0, 1].
It grows with the list's age by the known rate of departures: of servers that leave at a constant rate, a
share of 1 - exp(-age / mean lifetime) has left after some age. Evidence ends it: a message that came from the
server under its own name, or the live list. An answered probe says that somebody is there, and no more.
"""

from dataclasses import dataclass
from math import exp
from typing import Any

DEFAULT_LIFETIME_MS = 24.0 * 3600.0 * 1000.0  # a server's mean lifetime where none is known
DEFAULT_LIFETIME_DEPARTURES = 3.0  # how many observed departures this default counts for
MAX_CERTAIN_DOUBT = 0.001  # up to this an entry counts as told by discovery itself
DOUBT_SHARE_AFTER_ANSWER = 0.5  # what an answered probe leaves of a doubt
MAX_CLOCK_DIFFERENCE_MS = 1000.0  # by which a list may seem to come from the future


@dataclass(frozen=True)
class SavedList:
    """An endpoint list as it can be had at a start.

    Attributes:
        version: of the list.
        rows: its entries, as discovery wrote them.
        confirmed_ms: when discovery last confirmed it (Unix ms); None where the list tells no time.
    """

    version: int
    rows: list[dict[str, Any]]
    confirmed_ms: float | None


@dataclass
class DepartureRate:
    """How often servers leave, as a node has seen it.

    Attributes:
        departures: how many servers have left.
        lived_ms: the time that all servers together were there, in ms.
    """

    departures: float = 0.0
    lived_ms: float = 0.0

    def mean_lifetime_ms(self) -> float:
        """Return a server's mean lifetime: what was seen, averaged with a weighted default."""
        lived_ms = self.lived_ms + DEFAULT_LIFETIME_DEPARTURES * DEFAULT_LIFETIME_MS
        return lived_ms / (self.departures + DEFAULT_LIFETIME_DEPARTURES)


def list_age_ms(saved: SavedList, now_unix_ms: float) -> float | None:
    """Return a list's age in ms.

    None where it is unknown, as for a list from the future: a clock was set back.
    """
    if saved.confirmed_ms is None or saved.confirmed_ms > now_unix_ms + MAX_CLOCK_DIFFERENCE_MS:
        return None
    return max(0.0, now_unix_ms - saved.confirmed_ms)


def entry_doubt(age_ms: float | None, rate: DepartureRate) -> float:
    """Return the doubt in an entry of a list of some age; 1 where the age is unknown (None)."""
    return 1.0 if age_ms is None else 1.0 - exp(-age_ms / rate.mean_lifetime_ms())


def choose_list(stored: SavedList | None, configured: SavedList | None) -> SavedList | None:
    """Return the list to start from, None for none: the newer version of the stored and the configured one.

    Of equals the stored one, as its age is known; a list without entries counts as none. The live list is no
    candidate here: once discovery answers, its list replaces any other.
    """
    if stored is None or not stored.rows:
        return configured
    if configured is not None and configured.rows and configured.version > stored.version:
        return configured
    return stored
