"""An endpoint list that changes, and discovery's answers that tell it, the same for each kind of node."""

import json
from collections.abc import Callable
from typing import TypedDict

from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState
from marlseam.emulators.discovery import HEALTH
from marlseam.experiment.sizing.loopback_nodes import KINDS, ZONES
from marlseam.simulation.discovery import EndpointList

ZONE_CHANGES = 1000  # in one answer, where a zone of 22 fails or returns at full size
SERVERS_PER_CELL = 4
FIRST_START_UNIX_MS = 1.7e12
SERVICE_CALLS_PER_S = 1e9  # of the modelled service, which is never busy here
SERVICE_TIMEOUT_MS = 1e9
# Of each 21 servers 11 are of the first kind, the others of the other two.
KIND_CYCLE, FIRST_KIND_SERVERS = 21, 11
# What a single change does in turn with the same entry.
CHANGE_CYCLE = (EndpointState.DRAINING, EndpointState.GONE, EndpointState.READY)


# A server as discovery's protocol lists it; `class` is no name in Python.
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
    """An endpoint list and the answers that tell it.

    Attributes:
        count: servers that are listed once all are.
        address: of all servers; empty where each has one of its own, at which nobody listens.
        tells_whole_list: whether the answer to a watch is the whole list.
    """

    def __init__(self, count: int, address: str = "") -> None:
        self.count, self.address = count, address
        self.tells_whole_list = False
        self._list = EndpointList([], SERVICE_CALLS_PER_S, SERVICE_TIMEOUT_MS)
        self._names = [f"w-{i:05}" for i in range(count)]
        self._single_changes = self._starts = 0

    def version(self) -> int:
        """Return the version of the list."""
        return self._list.version()

    def list_all(self) -> None:
        """List all servers."""
        for i in range(self.count):
            self._list.add_entry(self._entry(i, EndpointState.READY, None))

    def change_next_entry(self) -> None:
        """Change one entry: a server drains, then is gone, then is back restarted; then the next server."""
        i, step = divmod(self._single_changes, len(CHANGE_CYCLE))
        self._set_state(i % self.count, CHANGE_CYCLE[step])
        self._single_changes += 1

    def change_zone(self, state: EndpointState) -> None:
        """Have as many servers as a zone has be gone, or back restarted."""
        for i in range(min(ZONE_CHANGES, self.count)):
            self._set_state(i, state)

    def answer(self, since: int, whole: bool) -> bytes:
        """Return the HTTP answer to a node: what is newer than a version, or the whole list."""
        body = self._body(since, whole)
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body

    def answer_after(self, change: Callable[[], None]) -> bytes:
        """Change the list, and return the answer that tells what changed."""
        since = self.version()
        change()
        return self.answer(since, whole=False)

    def _set_state(self, index: int, state: EndpointState) -> None:
        """List a server's state; one that is ready has restarted."""
        started_unix_ms = self._next_start_unix_ms() if state is EndpointState.READY else None
        self._list.add_entry(self._entry(index, state, started_unix_ms))

    def _next_start_unix_ms(self) -> float:
        """Return when a restarted server's process began; each has another time."""
        self._starts += 1
        return FIRST_START_UNIX_MS + self._starts

    def _entry(self, index: int, state: EndpointState, started_unix_ms: float | None) -> EndpointEntry:
        """Return a server as it is listed."""
        kind = 0 if index % KIND_CYCLE < FIRST_KIND_SERVERS else 1 + index % 2
        zone = index % len(ZONES)
        return EndpointEntry(
            self._names[index], state, kind, zone, index // SERVERS_PER_CELL, started_unix_ms
        )

    def _body(self, since: int, whole: bool) -> bytes:
        """Return an answer's body."""
        entries = self._list.answer_since(0 if whole else since).entries
        rows = [self._row(entry) for entry in entries]
        return json.dumps({"seq": self.version(), "whole": whole, "hosts": rows}).encode()

    def _row(self, entry: EndpointEntry) -> HostRow:
        """Return an entry as the protocol writes it."""
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
