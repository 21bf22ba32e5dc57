"""A client, modelled without input or output: its tries, the waits between them, its deadline.

And the front load balancer that spreads the tries of a zone over its nodes.
"""

from dataclasses import dataclass
from typing import NamedTuple

import numpy as np

from marlseam.records import TrySent
from marlseam.simulation.model import Clients, RequestType
from marlseam.simulation.plan import Arrival

EARLY_LEAVE_IN_OBJECTIVES = 0.3  # when a client that leaves early goes, as a share of its latency objective


@dataclass
class Client:
    """One request as its client sees it. Times in ms.

    Attributes:
        arrival: the request.
        type: its request class.
        figures: how clients of the day behave.
        replayed: whether it comes from a trace with retries inside, so that nothing is retried on top.
        tries: how many tries it has begun.
    """

    arrival: Arrival
    type: RequestType
    figures: Clients
    replayed: bool = False
    tries: int = 0

    @property
    def expires(self) -> float:
        """Return the deadline, for all tries together."""
        return self.arrival.at + self.type.limit_ms

    @property
    def promised(self) -> float:
        """Return the latency objective: the turnaround that earns the whole priority weight."""
        return min(self.type.promised_ms + self.type.stretch * self.arrival.work, self.type.limit_ms)

    def begin(self) -> str:
        """Begin a try and return its id, which is new each time."""
        self.tries += 1
        return self.arrival.id if self.tries == 1 else f"{self.arrival.id}.{self.tries - 1}"

    def leaves_at(self, now_ms: float) -> float:
        """Return when the client goes: at its deadline, or early if it is one of those."""
        early_ms = now_ms + EARLY_LEAVE_IN_OBJECTIVES * self.promised
        return min(self.expires, early_ms) if self.arrival.leaves else self.expires

    def wait(self, now_ms: float, how: str, advice_ms: float, chance: np.random.Generator) -> float | None:
        """Return how long to wait before the next try in ms, or None where there is none.

        `how` is how the last try ended; `advice_ms` is its Retry-After, which some clients honour.
        """
        if not self._may_retry(how):
            return None
        wait_ms: float = self.figures.wait_ms * 2.0 ** (self.tries - 1) * (0.5 + chance.random())
        if self.arrival.honours:
            wait_ms = max(wait_ms, advice_ms)
        return wait_ms if now_ms + wait_ms < self.expires else None

    def _may_retry(self, how: str) -> bool:
        """Return whether the client sends a try again that ended in some way."""
        if self.replayed or self.tries >= self.figures.tries or self.arrival.leaves:
            return False
        return self._is_retry_harmless(how)

    def _is_retry_harmless(self, how: str) -> bool:
        """Return whether a try that ended in some way may be sent again without a second effect.

        A rejection says that it is, and what found no connection never left. What was aborted or lost may
        have run, so only safe requests are sent again, and keyed ones where their clients trust the key.
        """
        if how in ("deferred", "unsent"):
            return True
        if how == "lost" and self.type.effect == "receipted":
            return self.figures.resend
        return how in ("aborted", "lost") and self.type.effect == "rerunnable"


def try_record(client: Client, request_id: str, by: str, node: str, now: float) -> TrySent:
    """Return the record of a try that goes out to a node now."""
    arrival, request_class = client.arrival, client.type
    return TrySent(
        t=now,
        by=by,
        id=request_id,
        first=arrival.first or arrival.id,
        number=arrival.number + client.tries - 1,
        node=node,
        zone=arrival.zone,
        type=request_class.name,
        intended=arrival.at,
        expires=client.expires,
        promised=client.promised,
        credit=arrival.credit,
        late_credit=request_class.late_credit,
        receipt=arrival.receipt,
        key=arrival.key,
    )


class NodePick(NamedTuple):
    """The node that a try goes to, and whether it is up."""

    node: str
    is_up: bool


class FrontLoadBalancer:
    """A front load balancer: spreads a zone's tries over its nodes, round robin.

    It notices a node's failure only after a while, as it finds out by health checks of its own.

    Attributes:
        by_zone: the names of the nodes of each zone.
        notice_ms: after which time it notices a failure.
        down_since_by_node: since when a node is down, by name.
        pick_counts: how many tries were given to the nodes of each zone.
    """

    def __init__(self, by_zone: dict[str, list[str]], notice_ms: float) -> None:
        """Make one whose nodes are all up."""
        self.by_zone, self.notice_ms = by_zone, notice_ms
        self.down_since_by_node: dict[str, float] = {}
        self.pick_counts = dict.fromkeys(by_zone, 0)

    def mark_down(self, node: str, now_ms: float) -> None:
        """Note that a node failed or stopped listening."""
        self.down_since_by_node.setdefault(node, now_ms)

    def mark_up(self, node: str) -> None:
        """Note that a node is ready again."""
        self.down_since_by_node.pop(node, None)

    def pick_node(self, zone: str, now_ms: float) -> NodePick:
        """Pick the node for a try; one that is down is picked until its failure is noticed."""
        nodes = self.by_zone[zone]
        for _ in nodes:
            self.pick_counts[zone] += 1
            node = nodes[self.pick_counts[zone] % len(nodes)]
            down_since_ms = self.down_since_by_node.get(node)
            if down_since_ms is None or now_ms - down_since_ms < self.notice_ms:
                return NodePick(node, down_since_ms is None)
        return NodePick(nodes[0], nodes[0] not in self.down_since_by_node)
