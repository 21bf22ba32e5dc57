"""Dissemination of membership changes: which members' states the next datagram carries; pure.

SWIM piggybacks each change on a number of datagrams that grows with the logarithm of the group, those that
were sent least often first. Here each datagram also carries a few members in turn, changed or not: it repairs
what lost datagrams have hidden.
"""

from collections import deque
from math import ceil, log2

RETRANSMISSIONS_PER_DOUBLING = 4.0  # how often a change is sent, for each doubling of the group


class GossipQueue:
    """Members whose state is to be sent on.

    Attributes:
        max_sends: how often a change is sent before it is dropped.
        send_counts: how often each queued member's change was sent so far.
        order: the queued members; the front is sent next.
    """

    def __init__(self) -> None:
        self.max_sends = 0
        self.send_counts: dict[str, int] = {}
        self.order: deque[str] = deque()

    def resize(self, members: int) -> None:
        """Set how often a change is sent, for a group of so many other members."""
        self.max_sends = ceil(RETRANSMISSIONS_PER_DOUBLING * log2(2.0 + members))

    def publish(self, name: str) -> None:
        """Queue a member's change before all that was sent already.

        Guards the memory against a member whose state changes again and again: it is queued once.
        """
        if self.send_counts.get(name) == 0:
            return
        if name in self.send_counts:
            self.order.remove(name)
        self.send_counts[name] = 0
        self.order.appendleft(name)

    def publish_once(self, name: str) -> None:
        """Queue a member that was found alive, to be sent once and after all else.

        Guards the start of a large cluster, and news of a death there, against datagrams full of members
        that are alive: each of them announces that itself, and datagrams carry some members in turn.
        """
        self.send_counts[name] = self.max_sends - 1
        self.order.append(name)

    def discard(self, name: str) -> None:
        """Drop a member that no longer belongs to the cluster."""
        if self.send_counts.pop(name, None) is not None:
            self.order.remove(name)

    def clear(self) -> None:
        """Drop all that is queued."""
        self.order.clear()
        self.send_counts.clear()

    def next_batch(self, limit: int) -> list[str]:
        """Return up to `limit` members to send now, each counted as sent once more."""
        batch: dict[str, None] = {}
        while self.order and len(batch) < limit:
            batch[self.order.popleft()] = None
        for name in batch:
            self.send_counts[name] += 1
            if self.send_counts[name] >= self.max_sends:
                del self.send_counts[name]
            else:
                self.order.append(name)
        return list(batch)
