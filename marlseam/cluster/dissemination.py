"""Dissemination of membership changes: selects the members whose states the next datagram carries; pure.

SWIM piggybacks each change on a number of datagrams that grows with the logarithm of the group size, and
sends first the changes that were sent least often. In addition, each datagram here carries a few members in
turn, changed or not, which repairs the effect of lost datagrams.
"""

from collections import deque
from math import ceil, log2

RETRANSMISSIONS_PER_DOUBLING = 4.0  # how often a change is sent per doubling of the group size


class GossipQueue:
    """The queue of members whose changed state is sent to other members.

    Attributes:
        max_sends: how often a change is sent before it is dropped.
        send_counts: how often the change of each queued member was sent so far.
        order: the queued members; the front is sent next.
    """

    def __init__(self) -> None:
        self.max_sends = 0
        self.send_counts: dict[str, int] = {}
        self.order: deque[str] = deque()

    def resize(self, members: int) -> None:
        """Set how often a change is sent in a group with `members` other members."""
        self.max_sends = ceil(RETRANSMISSIONS_PER_DOUBLING * log2(2.0 + members))

    def publish(self, name: str) -> None:
        """Queue a member's change at the front, with a send count of 0; one not yet sent keeps its place.

        A member is queued only once: guards the memory against a member whose state changes again and again.
        """
        if self.send_counts.get(name) == 0:
            return
        if name in self.send_counts:
            self.order.remove(name)
        self.send_counts[name] = 0
        self.order.appendleft(name)

    def publish_once(self, name: str) -> None:
        """Queue a member that was found alive at the back, to be sent only once.

        Guards the start of a large cluster, and reports of a death during it, against datagrams full of
        members that are alive: each of these announces itself, and datagrams carry some members in turn
        anyway.
        """
        self.send_counts[name] = self.max_sends - 1
        self.order.append(name)

    def discard(self, name: str) -> None:
        """Remove a member that no longer belongs to the cluster, if it is queued."""
        if self.send_counts.pop(name, None) is not None:
            self.order.remove(name)

    def clear(self) -> None:
        """Remove all queued members."""
        self.order.clear()
        self.send_counts.clear()

    def next_batch(self, limit: int) -> list[str]:
        """Return up to `limit` members to send now, and count each of them as sent once more."""
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
