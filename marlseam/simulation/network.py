"""The model of the network: delays between zones with jitter, losses, cuts and silent servers."""

from typing import NamedTuple

import numpy as np

from marlseam.simulation.model import Network

JITTER_DRAWS = 4096  # per batch, as single draws are slow


class SlowZone(NamedTuple):
    """A zone whose links to other zones are slow and lossy: added delay in ms, share of messages lost."""

    zone: str
    added_ms: float
    lost_share: float


class Links:
    """The state of the links between zones and to servers.

    Attributes:
        settings: the settings of delays and jitter.
        cut_zones: the number of active cuts that separate a zone from all others, by zone.
        silent: the number of active faults that make a server unreachable, by name.
        slow: the zones with slow links, one entry for each active fault.
    """

    def __init__(self, settings: Network, rng: np.random.Generator) -> None:
        """Make a network without cuts; `rng` draws jitter and losses."""
        self.settings, self._rng = settings, rng
        self.cut_zones: dict[str, int] = {}
        self.silent: dict[str, int] = {}
        self.slow: list[SlowZone] = []
        self._jitter_draws: list[float] = []

    def jitter(self) -> float:
        """Draw a factor of 1 plus an exponential part with the mean of the setting `jitter`."""
        if not self._jitter_draws:
            scale = self.settings.jitter
            self._jitter_draws = self._rng.exponential(scale, JITTER_DRAWS).tolist() if scale else [0.0]
        return 1.0 + self._jitter_draws.pop()

    def _slow_zones_between(self, zone: str, other_zone: str) -> list[SlowZone]:
        """Return the slow zones whose links a message between two zones uses; none within one zone."""
        if zone == other_zone:
            return []
        return [slow for slow in self.slow if slow.zone in (zone, other_zone)]

    def delay(self, zone: str, other_zone: str) -> float:
        """Draw the one-way delay of a message between two zones, in ms."""
        added_ms = sum(slow.added_ms for slow in self._slow_zones_between(zone, other_zone))
        usual_ms = self.settings.same_ms if zone == other_zone else self.settings.cross_ms
        return usual_ms * self.jitter() + added_ms

    def is_lost(self, zone: str, other_zone: str) -> bool:
        """Draw whether a message between two zones is lost."""
        return any(
            self._rng.random() < slow.lost_share for slow in self._slow_zones_between(zone, other_zone)
        )

    def set_zone_slow(self, zone: str, delay_ms: float, lost: float, is_slow: bool) -> None:
        """Make a zone's links to other zones slow and lossy, or with `is_slow` False end that.

        An end must have the same `delay_ms` and `lost` as its begin; raises ValueError otherwise.
        """
        change = self.slow.append if is_slow else self.slow.remove
        change(SlowZone(zone, delay_ms, lost))

    def client_delay(self) -> float:
        """Draw the one-way delay of a message between a client and its node, in ms."""
        return self.settings.client_ms * self.jitter()

    def is_reachable(self, zone: str, server: str, server_zone: str) -> bool:
        """Return whether a node in `zone` and a server can exchange messages."""
        if server in self.silent:
            return False
        return zone == server_zone or not (zone in self.cut_zones or server_zone in self.cut_zones)

    def set_blocked(self, table: dict[str, int], name: str, is_blocked: bool) -> None:
        """Block or unblock a name in `table` (`cut_zones` or `silent`); overlapping blocks are counted."""
        table[name] = table.get(name, 0) + (1 if is_blocked else -1)
        if table[name] <= 0:
            del table[name]
