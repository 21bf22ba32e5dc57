"""The stamp that an attempt carries to the server; it identifies the interval of a process that sent it."""

from typing import NamedTuple, Self


class ActionStamp(NamedTuple):
    """One interval of a process, and the configuration version that its actions are based on.

    node: name of the node.
    generation, interval: the process and its interval, as in the ledger's `IntervalBegun`.
    number: the version applied.
    is_proven: whether that version is proven to be in force.
    """

    node: str
    generation: int
    interval: int
    number: int
    is_proven: bool

    def text(self) -> str:
        """Return the stamp as sent: node/generation/interval/number/is_proven, the last as 0 or 1."""
        return f"{self.node}/{self.generation}/{self.interval}/{self.number}/{int(self.is_proven)}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse a stamp as `text` returns it; raises ValueError for any other text."""
        node, generation, interval, number, is_proven = text.split("/")
        return cls(node, int(generation), int(interval), int(number), is_proven == "1")
