"""Dense indices of servers by name, and which servers are long gone."""

from zlib import crc32

from marlseam.core.events import EndpointEntry
from marlseam.decisions.types import Endpoint


def indexed_endpoint(entry: EndpointEntry, index: int) -> Endpoint:
    """Return an entry of the endpoint list under its server's dense index."""
    return Endpoint(
        index,
        entry.state,
        entry.kind,
        entry.zone,
        entry.cell,
        entry.process_started_ms,
        entry.weight,
        crc32(entry.server.encode()),
    )


class ServerIndices:
    """The names behind the dense indices of the decision module.

    Attributes:
        by_name: the index of each server that is not forgotten.
        names: the names by index; "" for an index that is free.
        free: indices of forgotten servers, for reuse.
        gone_since_ms: since when servers are off the endpoint list.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, int] = {}
        self.names: list[str] = []
        self.free: list[int] = []
        self.gone_since_ms: dict[str, float] = {}

    def index_of(self, name: str) -> int:
        """Return a server's index, a free or new one for a name not seen before."""
        index = self.by_name.get(name)
        if index is None:
            if not self.free:
                self.free.append(len(self.names))
                self.names.append("")
            index = self.by_name[name] = self.free.pop()
            self.names[index] = name
        return index

    def update(self, names: list[str], listed: set[str], now: float) -> None:
        """Note of each name whether the endpoint list has it now."""
        for name in names:
            if name in listed:
                self.gone_since_ms.pop(name, None)
            else:
                self.gone_since_ms.setdefault(name, now)

    def gone_before(self, long_ago_ms: float) -> list[str]:
        """Return the servers that have been gone since before some time."""
        return [name for name, since_ms in self.gone_since_ms.items() if since_ms < long_ago_ms]

    def forget(self, name: str) -> None:
        """Free a server's index."""
        self.free.append(self.by_name[name])
        del self.gone_since_ms[name], self.by_name[name]
