"""The stamp that an attempt carries to the server: which interval of which process it was sent in."""

from typing import NamedTuple, Self


class ActionStamp(NamedTuple):
    """One interval of a process, and what its actions stand on.

    node, process_number, interval: which interval, as of the ledger's `IntervalBegun`.
    number: the version acted on.
    is_proven: whether that is proven to be in force.
    """

    node: str
    generation: int
    interval: int
    number: int
    is_proven: bool

    def text(self) -> str:
        """Return the stamp as it is sent."""
        return f"{self.node}/{self.generation}/{self.interval}/{self.number}/{int(self.is_proven)}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return a stamp that was sent; raises ValueError."""
        node, generation, interval, number, is_proven = text.split("/")
        return cls(node, int(generation), int(interval), int(number), is_proven == "1")
