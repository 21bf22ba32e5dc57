"""Which saved endpoint list a node starts from, and how much doubt each entry carries.

Doubt is the probability that an entry's address no longer belongs to the server that the entry names. Doubt
grows with the list's age at the observed rate of departures: of servers that leave at a constant rate, a
share of 1 - exp(-age / mean lifetime) has left at that age. Doubt drops to 0 on a message from the server
under its own name, or with the live list. An answered probe only shows that some server has the address, so
it lowers the doubt without ending it.
"""

from dataclasses import dataclass
from math import exp
from typing import Any

DEFAULT_LIFETIME_MS = 24.0 * 3600.0 * 1000.0  # mean lifetime of a server before any departure is observed
DEFAULT_LIFETIME_DEPARTURES = 3.0  # weight of the default lifetime, in observed departures
MAX_CERTAIN_DOUBT = 0.001  # up to this doubt an entry counts as one of the live list
DOUBT_SHARE_AFTER_ANSWER = 0.5  # share of the doubt that remains after an answered probe
MAX_CLOCK_DIFFERENCE_MS = 1000.0  # a list confirmed further in the future than this has an unknown age


@dataclass(frozen=True)
class SavedList:
    """An endpoint list that is available when a node starts.

    Attributes:
        version: the list's version.
        rows: the list's entries, in discovery's format.
        confirmed_ms: when discovery last confirmed the list (Unix ms); None where this is not known.
    """

    version: int
    rows: list[dict[str, Any]]
    confirmed_ms: float | None


@dataclass
class DepartureRate:
    """The rate at which servers leave, as observed by a node.

    Attributes:
        departures: number of servers that have left.
        lived_ms: time on the list in ms, summed over all servers.
    """

    departures: float = 0.0
    lived_ms: float = 0.0

    def mean_lifetime_ms(self) -> float:
        """Return the mean lifetime of a server in ms: the observed one, averaged with a weighted default."""
        lived_ms = self.lived_ms + DEFAULT_LIFETIME_DEPARTURES * DEFAULT_LIFETIME_MS
        return lived_ms / (self.departures + DEFAULT_LIFETIME_DEPARTURES)


def list_age_ms(saved: SavedList, now_unix_ms: float) -> float | None:
    """Return a list's age in ms, at least 0.

    None if the age is unknown. A list confirmed in the future has an unknown age, as the clock was set back.
    """
    if saved.confirmed_ms is None or saved.confirmed_ms > now_unix_ms + MAX_CLOCK_DIFFERENCE_MS:
        return None
    return max(0.0, now_unix_ms - saved.confirmed_ms)


def entry_doubt(age_ms: float | None, rate: DepartureRate) -> float:
    """Return the doubt of an entry, in [0, 1], by its list's age; 1 if the age is unknown (None)."""
    return 1.0 if age_ms is None else 1.0 - exp(-age_ms / rate.mean_lifetime_ms())


def choose_list(stored: SavedList | None, configured: SavedList | None) -> SavedList | None:
    """Return the list to start from, None for none: the stored or the configured one, whichever is newer.

    Of equal versions it is the stored list, as its age is known; a list without entries counts as none. The
    live list is not a candidate here: once discovery answers, its list replaces any other.
    """
    if stored is None or not stored.rows:
        return configured
    if configured is not None and configured.rows and configured.version > stored.version:
        return configured
    return stored
