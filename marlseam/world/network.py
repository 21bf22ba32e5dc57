"""The network, pure: one-way delays by zone with jitter, and which lines are cut or silent."""

import numpy as np

from marlseam.world.model import Network


class Lines:
    """Delays and cuts between zones, and executors that nobody reaches."""

    def __init__(self, figures: Network, chance: np.random.Generator) -> None:
        self.figures, self.chance = figures, chance
        self.cut_zones: dict[str, int] = {}  # zones cut off from all others, and how often
        self.silent: dict[str, int] = {}  # executors that say nothing
        self.slow: list[
            tuple[str, float, float]
        ] = []  # zones with slow ways to the others: ms more, share lost
        self.draws: list[float] = []

    def jitter(self) -> float:
        """Return a factor of at least 1, exponential above that."""
        if not self.draws:
            self.draws = (
                self.chance.exponential(self.figures.jitter, 4096).tolist() if self.figures.jitter else [0.0]
            )
        return 1.0 + self.draws.pop()

    def delay(self, a: str, b: str) -> float:
        """Return how long a message between two zones takes, in ms."""
        more = sum(ms for zone, ms, _ in self.slow if a != b and zone in (a, b))
        return (self.figures.same_ms if a == b else self.figures.cross_ms) * self.jitter() + more

    def loses(self, a: str, b: str) -> bool:
        """Return whether a message between two zones is lost."""
        shares = [share for zone, _, share in self.slow if a != b and zone in (a, b)]
        return any(self.chance.random() < share for share in shares)

    def slow_way(self, zone: str, ms: float, lost: float, on: bool) -> None:
        """Let a zone's ways to the others grow slow and lossy, or be as before."""
        (self.slow.append if on else self.slow.remove)((zone, ms, lost))

    def client_delay(self) -> float:
        """Return how long a message between a client and its node takes."""
        return self.figures.client_ms * self.jitter()

    def passes(self, zone: str, executor: str, executor_zone: str) -> bool:
        """Return whether messages pass between a node's zone and an executor."""
        if executor in self.silent:
            return False
        return zone == executor_zone or not (zone in self.cut_zones or executor_zone in self.cut_zones)

    def block(self, table: dict[str, int], name: str, on: bool) -> None:
        """Cut or mend a zone or an executor; cuts that overlap count."""
        table[name] = table.get(name, 0) + (1 if on else -1)
        if table[name] <= 0:
            del table[name]
