"""The roster, pure: a list with versions, learned late; calls worked through in turn; outages.

A driver hands in changes with `change`, and calls with `call`; `news` says what a call that is served brings.
"""

from math import inf

from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState


class Roster:
    """What is listed, by version, and when a call is served."""

    def __init__(self, rows: list[EndpointEntry], calls_per_s: float, timeout_ms: float) -> None:
        self.rows = {row.server: row for row in rows}
        self.log: list[EndpointEntry] = list(rows)  # version v is the state after the first v entries
        self.cost_ms, self.timeout_ms = 1000.0 / calls_per_s, timeout_ms
        self.busy_until = 0.0
        self.leaving: dict[str, set[str]] = {}  # by node: what it was last told to be leaving
        self.outages: list[tuple[float, float]] = []

    def version(self) -> int:
        """Return the newest version."""
        return len(self.log)

    def change(self, row: EndpointEntry) -> None:
        """List a change."""
        self.rows[row.server] = row
        self.log.append(row)

    def out(self, now: float) -> float:
        """Return until when the roster is down, or minus infinity."""
        return max((b for a, b in self.outages if a <= now < b), default=-inf)

    def call(self, now: float) -> float | None:
        """Take a call; return when it is served, or None where it fails: down, or too long a line."""
        if self.out(now) > now:
            return None
        self.busy_until = max(self.busy_until, now) + self.cost_ms
        return None if self.busy_until - now > self.timeout_ms else self.busy_until

    def news(self, since: int) -> tuple[bool, list[EndpointEntry]]:
        """Return whether the answer is the whole list, and its rows: what changed since, last state only."""
        if since <= 0 or since > len(self.log):
            return True, [row for row in self.rows.values() if row.state is not EndpointState.GONE]
        changed = dict.fromkeys(row.server for row in self.log[since:])
        return False, [self.rows[name] for name in changed]

    def told(self, node: str, whole: bool, rows: list[EndpointEntry]) -> list[tuple[str, EndpointState]]:
        """Return what an answer's rows tell a node that a judge must hear of: leavings, and the end of each.

        A whole list tells of all that are gone by leaving them out; that the others are ready is no news.
        """
        leaving = self.leaving.setdefault(node, set())
        if whole:
            rows = rows + [row for row in self.rows.values() if row.state is EndpointState.GONE]
        found = [
            (r.server, r.state) for r in rows if r.state is not EndpointState.READY or r.server in leaving
        ]
        for executor, state in found:
            (leaving.discard if state is EndpointState.READY else leaving.add)(executor)
        return found
