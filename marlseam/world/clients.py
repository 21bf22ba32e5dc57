"""A client, pure: its tries, the waits between them, its hard limit.

And the front that deals tries to nodes.
"""

from dataclasses import dataclass

import numpy as np

from marlseam.records import Tried
from marlseam.world.model import Clients, Type
from marlseam.world.plan import Arrival

LEAVES_AFTER = 0.3  # of the promised turnaround, when one that leaves early goes


@dataclass
class Client:
    """One work unit as its client sees it. Times in ms."""

    arrival: Arrival
    type: Type
    figures: Clients
    replayed: bool = False  # a trace's tries are sent as they are, and none on top
    tries: int = 0

    @property
    def expires(self) -> float:
        """The hard limit, for all tries together."""
        return self.arrival.at + self.type.limit_ms

    @property
    def promised(self) -> float:
        """The turnaround that earns the whole credit."""
        return min(self.type.promised_ms + self.type.stretch * self.arrival.work, self.type.limit_ms)

    def begin(self) -> str:
        """Start a try and return its id, which is new each time."""
        self.tries += 1
        return self.arrival.id if self.tries == 1 else f"{self.arrival.id}.{self.tries - 1}"

    def leaves_at(self, now: float) -> float:
        """Return when the client goes: at its hard limit, or early if it is one of those."""
        early = now + LEAVES_AFTER * self.promised
        return min(self.expires, early) if self.arrival.leaves else self.expires

    def wait(self, now: float, how: str, advice_ms: float, chance: np.random.Generator) -> float | None:
        """Return how long to wait before the next try, or None where there is none.

        A deferral says that a retry is harmless, and what found no connection never left. What was aborted or
        lost may have run, so only rerunnable work is tried again, and receipted work where its clients trust
        its key.
        """
        resent = self.figures.resend and how == "lost" and self.type.effect == "receipted"
        again = (
            resent
            or how in ("deferred", "unsent")
            or (how in ("aborted", "lost") and self.type.effect == "rerunnable")
        )
        if not again or self.replayed or self.tries >= self.figures.tries or self.arrival.leaves:
            return None
        wait = self.figures.wait_ms * 2.0 ** (self.tries - 1) * (0.5 + chance.random())
        if self.arrival.honours:
            wait = max(wait, advice_ms)
        return wait if now + wait < self.expires else None


def tried(client: Client, id: str, by: str, node: str, now: float) -> Tried:
    """Return the record of a try that goes out to a node now."""
    arrival, type = client.arrival, client.type
    return Tried(
        t=now,
        by=by,
        id=id,
        first=arrival.first or arrival.id,
        number=arrival.number + client.tries - 1,
        node=node,
        zone=arrival.zone,
        type=type.name,
        intended=arrival.at,
        expires=client.expires,
        promised=client.promised,
        credit=arrival.credit,
        late_credit=type.late_credit,
        receipt=arrival.receipt,
        key=arrival.key,
    )


class Front:
    """Deals a zone's tries to its nodes in turn, and notices only after a while that one has died."""

    def __init__(self, by_zone: dict[str, list[str]], notice_ms: float) -> None:
        self.by_zone, self.notice_ms = by_zone, notice_ms
        self.down: dict[str, float] = {}  # since when
        self.turn = dict.fromkeys(by_zone, 0)

    def died(self, node: str, now: float) -> None:
        """Note that a node died or closed its door."""
        self.down.setdefault(node, now)

    def back(self, node: str) -> None:
        """Note that a node is ready again."""
        self.down.pop(node, None)

    def deal(self, zone: str, now: float) -> tuple[str, bool]:
        """Return the node for a try, and whether it is there: a dead one is dealt to until it is noticed."""
        nodes = self.by_zone[zone]
        for _ in nodes:
            self.turn[zone] += 1
            node = nodes[self.turn[zone] % len(nodes)]
            since = self.down.get(node)
            if since is None or now - since < self.notice_ms:
                return node, since is None
        return nodes[0], nodes[0] not in self.down
