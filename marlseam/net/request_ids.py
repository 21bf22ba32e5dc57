"""The correlation ids of open requests, in this process and in the other processes of the node.

A node has at most one request open under an id, however many processes serve as the node. A process that
takes an id first writes so to all other processes, and then reads what these have written: of two processes
that take an id at the same time at least one sees the other's line. A process that sees one gives the id
back, so that in the rarest case neither takes the request.
"""

from typing import Protocol


class IdExchange(Protocol):
    """The exchange of ids with the other processes of the node."""

    def send_opened(self, id: str) -> None:
        """Send all other processes that a request is open under an id."""

    def send_closed(self, id: str) -> None:
        """Send all other processes that no request is open under an id any more."""

    def catch_up(self) -> None:
        """Read what the other processes have sent by now."""

    def is_open_elsewhere(self, id: str) -> bool:
        """Return whether another process has a request open under an id, as far as it has told."""

    def is_current(self) -> bool:
        """Return whether all processes of the node have each other's ids."""


class RequestIds:
    """The ids under which this node has a request open.

    Attributes:
        own: the ids of this process's open requests, in the order in which they were taken.
        exchange: the exchange with other processes; None where no other process can serve as this node.

    """

    def __init__(self) -> None:
        self.own: dict[str, None] = {}
        self.exchange: IdExchange | None = None

    def __len__(self) -> int:
        return len(self.own)

    def is_current(self) -> bool:
        """Return whether all processes of the node have each other's ids."""
        return self.exchange is None or self.exchange.is_current()

    def take(self, id: str) -> bool:
        """Take an id for a request; return False if a request is open under it, here or elsewhere."""
        if id in self.own:
            return False
        self.own[id] = None
        if self.exchange is None:
            return True
        self.exchange.send_opened(id)
        self.exchange.catch_up()
        if self.exchange.is_open_elsewhere(id):
            self.give_back(id)
            return False
        return True

    def give_back(self, id: str) -> None:
        """Give back an id whose request is over."""
        if id in self.own:
            del self.own[id]
            if self.exchange is not None:
                self.exchange.send_closed(id)
