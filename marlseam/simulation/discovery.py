"""The service that lists the endpoints, modelled without input or output.

A list with versions, learned late; calls served one after another; outages. A driver hands in changes with
`add_entry`, and calls with `take_call`; `answer_since` says what a call that is served brings.
"""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState


class Outage(NamedTuple):
    """A time in which no call is served, in ms; the end is not part of it."""

    from_ms: float
    until_ms: float


class ListAnswer(NamedTuple):
    """What a call brings: whether it is the whole list or changes alone, and the entries."""

    is_whole: bool
    entries: list[EndpointEntry]


class StateNotice(NamedTuple):
    """A server's state, as a node was told it."""

    server: str
    state: EndpointState


class EndpointList:
    """What is listed, by version, and when a call is served.

    Attributes:
        rows: the newest entry of each server, by name.
        log: all entries; version v is the state after the first v of them.
        busy_until_ms: until when the calls that were taken keep the service busy, in ms.
        outages: when no call is served, as pairs (from ms, until ms).
        leaving: the servers of which a node was last told that they leave, by node.
    """

    def __init__(self, rows: Iterable[EndpointEntry], calls_per_s: float, timeout_ms: float) -> None:
        """Make a list of some entries; a call that would wait longer than `timeout_ms` fails."""
        self.log: list[EndpointEntry] = list(rows)
        self.rows = {entry.server: entry for entry in self.log}
        self._call_cost_ms, self._timeout_ms = 1000.0 / calls_per_s, timeout_ms
        self.busy_until_ms = 0.0
        self.leaving: dict[str, set[str]] = {}
        self.outages: list[tuple[float, float]] = []

    def version(self) -> int:
        """Return the newest version."""
        return len(self.log)

    def add_entry(self, entry: EndpointEntry) -> None:
        """List a change."""
        self.rows[entry.server] = entry
        self.log.append(entry)

    def down_until_ms(self, now_ms: float) -> float:
        """Return until when the service is down, minus infinity where it is not."""
        outages = (Outage(*outage) for outage in self.outages)
        return max(
            (outage.until_ms for outage in outages if outage.from_ms <= now_ms < outage.until_ms),
            default=-inf,
        )

    def take_call(self, now_ms: float) -> float | None:
        """Take a call; return when it is served, or None where it fails: down, or too many calls wait."""
        if self.down_until_ms(now_ms) > now_ms:
            return None
        self.busy_until_ms = max(self.busy_until_ms, now_ms) + self._call_cost_ms
        return None if self.busy_until_ms - now_ms > self._timeout_ms else self.busy_until_ms

    def answer_since(self, since: int) -> ListAnswer:
        """Return the answer to a caller that has a version: what changed since, last state only.

        A caller without a version (0), or with an unknown one, gets the whole list of those not gone.
        """
        if since <= 0 or since > len(self.log):
            listed = [entry for entry in self.rows.values() if entry.state is not EndpointState.GONE]
            return ListAnswer(is_whole=True, entries=listed)
        changed = dict.fromkeys(entry.server for entry in self.log[since:])
        return ListAnswer(is_whole=False, entries=[self.rows[server] for server in changed])

    def departure_notices(self, node: str, whole: bool, rows: list[EndpointEntry]) -> list[StateNotice]:
        """Return what an answer tells a node that the judge must know: departures, and the end of each.

        A whole list tells of all that are gone by leaving them out; that the others are ready is no news.
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
