"""The network, modelled without input or output: delays by zone with jitter, and what is cut or silent."""

from typing import NamedTuple

import numpy as np

from marlseam.simulation.model import Network

JITTER_DRAWS = 4096  # drawn at once, as single draws are slow


class SlowZone(NamedTuple):
    """A zone with slow and lossy links to the others: ms added to a delay, share of messages lost."""

    zone: str
    added_ms: float
    lost_share: float


class Links:
    """Delays and cuts between zones, and servers that nobody reaches.

    Attributes:
        figures: the one-way delays.
        cut_zones: how many cuts separate a zone from all others, by zone.
        silent: how many faults silence a server, by name.
        slow: the zones with slow links.
    """

    def __init__(self, figures: Network, chance: np.random.Generator) -> None:
        """Make a network in which nothing is cut; `chance` draws jitter and losses."""
        self.figures, self._chance = figures, chance
        self.cut_zones: dict[str, int] = {}
        self.silent: dict[str, int] = {}
        self.slow: list[SlowZone] = []
        self._jitter_draws: list[float] = []

    def jitter(self) -> float:
        """Return a factor of at least 1, exponential above that."""
        if not self._jitter_draws:
            scale = self.figures.jitter
            self._jitter_draws = self._chance.exponential(scale, JITTER_DRAWS).tolist() if scale else [0.0]
        return 1.0 + self._jitter_draws.pop()

    def _slow_zones_between(self, zone: str, other_zone: str) -> list[SlowZone]:
        """Return the slow zones that a message between two zones passes."""
        if zone == other_zone:
            return []
        return [slow for slow in self.slow if slow.zone in (zone, other_zone)]

    def delay(self, zone: str, other_zone: str) -> float:
        """Return how long a message between two zones takes, in ms."""
        added_ms = sum(slow.added_ms for slow in self._slow_zones_between(zone, other_zone))
        usual_ms = self.figures.same_ms if zone == other_zone else self.figures.cross_ms
        return usual_ms * self.jitter() + added_ms

    def is_lost(self, zone: str, other_zone: str) -> bool:
        """Return whether a message between two zones is lost."""
        return any(
            self._chance.random() < slow.lost_share for slow in self._slow_zones_between(zone, other_zone)
        )

    def set_zone_slow(self, zone: str, delay_ms: float, lost: float, is_slow: bool) -> None:
        """Let a zone's links to the others become slow and lossy, or be as before."""
        change = self.slow.append if is_slow else self.slow.remove
        change(SlowZone(zone, delay_ms, lost))

    def client_delay(self) -> float:
        """Return how long a message between a client and its node takes, in ms."""
        return self.figures.client_ms * self.jitter()

    def is_reachable(self, zone: str, server: str, server_zone: str) -> bool:
        """Return whether messages pass between a node's zone and a server."""
        if server in self.silent:
            return False
        return zone == server_zone or not (zone in self.cut_zones or server_zone in self.cut_zones)

    def set_blocked(self, table: dict[str, int], name: str, is_blocked: bool) -> None:
        """Cut or mend a zone or a server in `cut_zones` or `silent`; cuts that overlap are counted."""
        table[name] = table.get(name, 0) + (1 if is_blocked else -1)
        if table[name] <= 0:
            del table[name]
