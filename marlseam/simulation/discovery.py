"""The model of discovery: an endpoint list with versions, calls served one after another, and outages.

A driver adds changes with `add_entry` after the lag of the list, and calls with `take_call`;
`answer_since` returns the answer to a call that is served.
"""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState


class Outage(NamedTuple):
    """A period in which no call is served, in ms; its end is exclusive."""

    from_ms: float
    until_ms: float


class ListAnswer(NamedTuple):
    """The answer to a call: whether `entries` are the whole list, or only those that changed."""

    is_whole: bool
    entries: list[EndpointEntry]


class StateNotice(NamedTuple):
    """A server's state that an answer reports to a node."""

    server: str
    state: EndpointState


class EndpointList:
    """The endpoint list by version, and the queue of calls for it.

    Attributes:
        rows: the newest entry of each server, by name.
        log: all entries; version v is the state after the first v of them.
        busy_until_ms: when the last call taken so far is served, in ms.
        outages: the periods in which no call is served, as pairs (from ms, until ms).
        leaving: the servers that a node was last notified of as draining or gone, by node.
    """

    def __init__(self, rows: Iterable[EndpointEntry], calls_per_s: float, timeout_ms: float) -> None:
        """Make a list with entries `rows`; a call that would wait longer than `timeout_ms` fails."""
        self.log: list[EndpointEntry] = list(rows)
        self.rows = {entry.server: entry for entry in self.log}
        self._call_cost_ms, self._timeout_ms = 1000.0 / calls_per_s, timeout_ms
        self.busy_until_ms = 0.0
        self.leaving: dict[str, set[str]] = {}
        self.outages: list[tuple[float, float]] = []

    def version(self) -> int:
        """Return the newest version, which is the number of entries added so far."""
        return len(self.log)

    def add_entry(self, entry: EndpointEntry) -> None:
        """Add an entry as the next version; it replaces its server's earlier entry."""
        self.rows[entry.server] = entry
        self.log.append(entry)

    def down_until_ms(self, now_ms: float) -> float:
        """Return the end of the outage at `now_ms`, in ms; minus infinity if there is none."""
        outages = (Outage(*outage) for outage in self.outages)
        return max(
            (outage.until_ms for outage in outages if outage.from_ms <= now_ms < outage.until_ms),
            default=-inf,
        )

    def take_call(self, now_ms: float) -> float | None:
        """Queue a call; return when it is served, in ms, or None if it fails in an outage or times out."""
        if self.down_until_ms(now_ms) > now_ms:
            return None
        self.busy_until_ms = max(self.busy_until_ms, now_ms) + self._call_cost_ms
        return None if self.busy_until_ms - now_ms > self._timeout_ms else self.busy_until_ms

    def answer_since(self, since: int) -> ListAnswer:
        """Return the answer to a caller that has version `since`: the newest entries of the changed servers.

        A caller without a version (0) or with an unknown one receives the whole list, without gone servers.
        """
        if since <= 0 or since > len(self.log):
            listed = [entry for entry in self.rows.values() if entry.state is not EndpointState.GONE]
            return ListAnswer(is_whole=True, entries=listed)
        changed = dict.fromkeys(entry.server for entry in self.log[since:])
        return ListAnswer(is_whole=False, entries=[self.rows[server] for server in changed])

    def departure_notices(self, node: str, whole: bool, rows: list[EndpointEntry]) -> list[StateNotice]:
        """Return the departures, and returns to ready, that an answer reports to a node.

        The check of the rules needs them in the records. A whole list reports all gone servers by omitting
        them. A ready server counts only if the node was last notified that this server leaves.
        """
        leaving = self.leaving.setdefault(node, set())
        if whole:
            rows = rows + [entry for entry in self.rows.values() if entry.state is EndpointState.GONE]
        notices = [
            StateNotice(entry.server, entry.state)
            for entry in rows
            if entry.state is not EndpointState.READY or entry.server in leaving
        ]
        for notice in notices:
            if notice.state is EndpointState.READY:
                leaving.discard(notice.server)
            else:
                leaving.add(notice.server)
        return notices
