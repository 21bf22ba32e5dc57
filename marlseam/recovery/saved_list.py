"""Which saved list a node starts from, and how much doubt each entry carries.

Doubt is the chance that an entry is no longer who it says, in [0, 1]. It grows with the list's age by the
fleet's known turnover: of servers that leave at a constant rate, a share of 1 - exp(-age / life) has left
after some age. Evidence ends it: a word that came from the server under its own name, or the live list.
An answered probe says that somebody is there, and no more.
"""

from dataclasses import dataclass
from math import exp

LIFE_MS = 24.0 * 3600.0 * 1000.0  # a server's mean life where none is known
PRIOR = 3.0  # departures that this guess counts for
SURE = 0.001  # doubt under which an entry counts as told by discovery itself
ANSWERED = 0.5  # what an answered probe leaves of a doubt


@dataclass(frozen=True)
class SavedList:
    """A list as it can be had at a start.

    Version, entries as the roster wrote them, when it was last true (Unix ms).
    """

    version: int
    rows: list
    heard_ms: float | None  # unknown for a list that tells no time


@dataclass
class Turnover:
    """How often servers leave, as a node has seen it.

    Departures, and the time of all executors together, in ms.
    """

    departures: float = 0.0
    lived_ms: float = 0.0

    def life_ms(self) -> float:
        """Return a server's mean life, from what was seen and a guess that counts for some departures."""
        return (self.lived_ms + PRIOR * LIFE_MS) / (self.departures + PRIOR)


def age(saved: SavedList, now_unix_ms: float) -> float | None:
    """Return a list's age in ms.

    None where it is unknown, as for one from the future: a clock was set back.
    """
    if saved.heard_ms is None or saved.heard_ms > now_unix_ms + 1000.0:
        return None
    return max(0.0, now_unix_ms - saved.heard_ms)


def doubt(age_ms: float | None, turnover: Turnover) -> float:
    """Return the doubt in an entry of a list of some age; full where the age is unknown."""
    return 1.0 if age_ms is None else 1.0 - exp(-age_ms / turnover.life_ms())


def choose(file: SavedList | None, known: SavedList | None) -> SavedList | None:
    """Return the list to start from: the newer version; of equals the file's, as its age is known.

    The live roster is no candidate here: once it answers, its list replaces any other.
    """
    if file is None or not file.rows:
        return known
    return known if known is not None and known.rows and known.version > file.version else file
