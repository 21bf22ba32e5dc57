"""An endpoint list that changes, and discovery's answers for it, the same for both kinds of node."""

import json
from collections.abc import Callable
from typing import TypedDict

from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState
from marlseam.emulators.discovery import HEALTH
from marlseam.experiment.sizing.loopback_nodes import KINDS, ZONES
from marlseam.simulation.discovery import EndpointList

ZONE_CHANGES = 1000  # changes in one answer, when one of 22 zones fails or returns at the planned size
SERVERS_PER_CELL = 4
FIRST_START_UNIX_MS = 1.7e12
SERVICE_CALLS_PER_S = 1e9  # capacity of the modelled discovery service: never a limit here
SERVICE_TIMEOUT_MS = 1e9
# Of every 21 servers, 11 are of the first kind and the others of the other two kinds.
KIND_CYCLE, FIRST_KIND_SERVERS = 21, 11
# The states that successive single changes set on the same entry.
CHANGE_CYCLE = (EndpointState.DRAINING, EndpointState.GONE, EndpointState.READY)


# A server in the discovery protocol; the call syntax is needed because `class` is a Python keyword.
HostRow = TypedDict(
    "HostRow",
    {
        "host": str,
        "dial": str,
        "site": str,
        "class": str,
        "block": int,
        "health": str,
        "share": float,
        "born_ms": float,
    },
)


class EndpointListSource:
    """An endpoint list, and discovery's answers for it.

    Attributes:
        count: the number of servers on the full list.
        address: the address of all servers; if empty, each server has its own, on which nothing listens.
        sends_whole_list: whether a watch is answered with the whole list.
    """

    def __init__(self, count: int, address: str = "") -> None:
        self.count, self.address = count, address
        self.sends_whole_list = False
        self._list = EndpointList([], SERVICE_CALLS_PER_S, SERVICE_TIMEOUT_MS)
        self._names = [f"w-{i:05}" for i in range(count)]
        self._single_change_count = self._start_count = 0

    def version(self) -> int:
        """Return the current version of the list."""
        return self._list.version()

    def list_all(self) -> None:
        """Add all servers to the list as ready."""
        for i in range(self.count):
            self._list.add_entry(self._entry(i, EndpointState.READY, None))

    def change_next_entry(self) -> None:
        """Change one entry: successive calls make one server drain, be gone and restart, then the next."""
        i, step = divmod(self._single_change_count, len(CHANGE_CYCLE))
        self._set_state(i % self.count, CHANGE_CYCLE[step])
        self._single_change_count += 1

    def change_zone(self, state: EndpointState) -> None:
        """Set the state of as many servers as a zone has; those set to ready have restarted."""
        for i in range(min(ZONE_CHANGES, self.count)):
            self._set_state(i, state)

    def answer(self, since: int, whole: bool) -> bytes:
        """Return the HTTP answer to a node: the changes after version `since`, or the whole list."""
        body = self._body(since, whole)
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body

    def answer_after(self, change: Callable[[], None]) -> bytes:
        """Change the list, and return the answer that contains only the change."""
        since = self.version()
        change()
        return self.answer(since, whole=False)

    def _set_state(self, index: int, state: EndpointState) -> None:
        """Set a server's state on the list; a server set to ready has restarted."""
        started_unix_ms = self._next_start_unix_ms() if state is EndpointState.READY else None
        self._list.add_entry(self._entry(index, state, started_unix_ms))

    def _next_start_unix_ms(self) -> float:
        """Return the start time of a restarted server's process in Unix ms; different for each restart."""
        self._start_count += 1
        return FIRST_START_UNIX_MS + self._start_count

    def _entry(self, index: int, state: EndpointState, started_unix_ms: float | None) -> EndpointEntry:
        """Return the list entry of a server."""
        kind = 0 if index % KIND_CYCLE < FIRST_KIND_SERVERS else 1 + index % 2
        zone = index % len(ZONES)
        return EndpointEntry(
            self._names[index], state, kind, zone, index // SERVERS_PER_CELL, started_unix_ms
        )

    def _body(self, since: int, whole: bool) -> bytes:
        """Return the body of an answer, as JSON."""
        entries = self._list.answer_since(0 if whole else since).entries
        rows = [self._row(entry) for entry in entries]
        return json.dumps({"seq": self.version(), "whole": whole, "hosts": rows}).encode()

    def _row(self, entry: EndpointEntry) -> HostRow:
        """Return an entry in the form of the discovery protocol."""
        return {
            "host": entry.server,
            "dial": self.address or f"10.{entry.cell >> 8 & 255}.{entry.cell & 255}.{entry.zone}:7070",
            "site": ZONES[entry.zone],
            "class": KINDS[entry.kind],
            "block": entry.cell,
            "health": HEALTH[entry.state],
            "share": 1.0,
            "born_ms": entry.process_started_ms or 0.0,
        }
