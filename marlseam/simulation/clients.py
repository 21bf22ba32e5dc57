"""The model of a client: its tries, the waits between them, its deadline.

Also the front load balancer, which distributes the tries of a zone over the zone's nodes.
"""

from dataclasses import dataclass
from typing import NamedTuple

import numpy as np

from marlseam.records import TrySent
from marlseam.simulation.model import Clients, RequestType
from marlseam.simulation.plan import Arrival

EARLY_LEAVE_IN_OBJECTIVES = 0.3  # time from a try's send to an early leave, in latency objectives


@dataclass
class Client:
    """The client of one request. Times are ms of the run.

    Attributes:
        arrival: the request.
        type: its request class.
        settings: how clients of the day behave.
        replayed: whether the request is from a trace that holds retries, so that the client adds none.
        tries: how many tries the client has begun.
    """

    arrival: Arrival
    type: RequestType
    settings: Clients
    replayed: bool = False
    tries: int = 0

    @property
    def expires(self) -> float:
        """Return the deadline, which is the same for all tries."""
        return self.arrival.at + self.type.limit_ms

    @property
    def promised(self) -> float:
        """Return the latency objective in ms, at most the time to the deadline."""
        return min(self.type.promised_ms + self.type.stretch * self.arrival.work, self.type.limit_ms)

    def begin(self) -> str:
        """Begin a try and return its id, which is unique among the tries of the request."""
        self.tries += 1
        return self.arrival.id if self.tries == 1 else f"{self.arrival.id}.{self.tries - 1}"

    def leaves_at(self, now_ms: float) -> float:
        """Return when the client leaves a try sent at `now_ms`: at the deadline, or before (`leaves`)."""
        early_ms = now_ms + EARLY_LEAVE_IN_OBJECTIVES * self.promised
        return min(self.expires, early_ms) if self.arrival.leaves else self.expires

    def wait(self, now_ms: float, how: str, retry_after_ms: float, rng: np.random.Generator) -> float | None:
        """Draw the wait before the next try in ms, or return None where the client makes no further try.

        `how` is the outcome of the last try as in `TryAnswered`, for example `deferred` for a rejected one;
        `retry_after_ms` is the Retry-After of its answer, a lower bound of the wait if this client honours
        it. The wait doubles with each try and has a random factor in [0.5, 1.5).
        """
        if not self._may_retry(how):
            return None
        wait_ms: float = self.settings.wait_ms * 2.0 ** (self.tries - 1) * (0.5 + rng.random())
        if self.arrival.honours:
            wait_ms = max(wait_ms, retry_after_ms)
        return wait_ms if now_ms + wait_ms < self.expires else None

    def _may_retry(self, how: str) -> bool:
        """Return whether the client retries after a try with outcome `how`."""
        if self.replayed or self.tries >= self.settings.tries or self.arrival.leaves:
            return False
        return self._is_retry_harmless(how)

    def _is_retry_harmless(self, how: str) -> bool:
        """Return whether a try with outcome `how` may be sent again without a second effect.

        A rejection permits a retry, and an unsent try never left the client. An aborted or lost try may have
        run: only safe requests are retried, and with the setting `resend` lost keyed ones under their key.
        """
        if how in ("deferred", "unsent"):
            return True
        if how == "lost" and self.type.effect == "receipted":
            return self.settings.resend
        return how in ("aborted", "lost") and self.type.effect == "rerunnable"


def try_record(client: Client, request_id: str, by: str, node: str, now: float) -> TrySent:
    """Return the record of a try that a client sends to `node` at `now` (ms of the run)."""
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
    """The node that a try is sent to, and whether the node is up."""

    node: str
    is_up: bool


class FrontLoadBalancer:
    """A front load balancer: distributes the tries of a zone over its nodes, round robin.

    It detects the failure of a node after `notice_ms`, as its own health checks would.

    Attributes:
        by_zone: the names of the nodes of each zone.
        notice_ms: the time from a node's failure to its detection, in ms.
        down_since_by_node: when each node that is down was marked as down, in ms of the run, by name.
        pick_counts: the number of round-robin steps made so far, by zone.
    """

    def __init__(self, by_zone: dict[str, list[str]], notice_ms: float) -> None:
        """Make a load balancer whose nodes are all up."""
        self.by_zone, self.notice_ms = by_zone, notice_ms
        self.down_since_by_node: dict[str, float] = {}
        self.pick_counts = dict.fromkeys(by_zone, 0)

    def mark_down(self, node: str, now_ms: float) -> None:
        """Mark a node that failed or stopped listening as down; an earlier mark keeps its time."""
        self.down_since_by_node.setdefault(node, now_ms)

    def mark_up(self, node: str) -> None:
        """Mark a node as up."""
        self.down_since_by_node.pop(node, None)

    def pick_node(self, zone: str, now_ms: float) -> NodePick:
        """Return the node for a try; a node that is down is still picked until its failure is detected.

        If all nodes are detected as down, it is the zone's first.
        """
        nodes = self.by_zone[zone]
        for _ in nodes:
            self.pick_counts[zone] += 1
            node = nodes[self.pick_counts[zone] % len(nodes)]
            down_since_ms = self.down_since_by_node.get(node)
            if down_since_ms is None or now_ms - down_since_ms < self.notice_ms:
                return NodePick(node, down_since_ms is None)
        return NodePick(nodes[0], nodes[0] not in self.down_since_by_node)
