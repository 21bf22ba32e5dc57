"""Dense indices of servers by name, and the times since which servers are off the endpoint list."""

from zlib import crc32

from marlseam.core.events import EndpointEntry
from marlseam.decisions.types import Endpoint


def indexed_endpoint(entry: EndpointEntry, index: int) -> Endpoint:
    """Return an entry of the endpoint list with the dense index of its server in place of the name."""
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
    """The mapping between names of servers and the dense indices that the decision modules use.

    Attributes:
        by_name: the index of each server that is not forgotten.
        names: the names by index; outdated for a free index.
        free: indices of forgotten servers, for reuse.
        gone_since_ms: by name, since when a server has been off the endpoint list.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, int] = {}
        self.names: list[str] = []
        self.free: list[int] = []
        self.gone_since_ms: dict[str, float] = {}

    def index_of(self, name: str) -> int:
        """Return the index of a server, assigning a free or new one to an unknown name."""
        index = self.by_name.get(name)
        if index is None:
            if not self.free:
                self.free.append(len(self.names))
                self.names.append("")
            index = self.by_name[name] = self.free.pop()
            self.names[index] = name
        return index

    def update(self, names: list[str], listed: set[str], now: float) -> None:
        """Record for each name whether the server is listed now; `now` is in ms."""
        for name in names:
            if name in listed:
                self.gone_since_ms.pop(name, None)
            else:
                self.gone_since_ms.setdefault(name, now)

    def gone_before(self, long_ago_ms: float) -> list[str]:
        """Return the names of servers that have been off the endpoint list since before `long_ago_ms`."""
        return [name for name, since_ms in self.gone_since_ms.items() if since_ms < long_ago_ms]

    def forget(self, name: str) -> None:
        """Free a server's index."""
        self.free.append(self.by_name[name])
        del self.gone_since_ms[name], self.by_name[name]
