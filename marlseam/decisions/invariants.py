"""Invariants of a dispatcher that hold between any two calls; tests check them after each step."""

from math import isclose
from typing import Any

from marlseam.decisions.server_stats import ServerStats
from marlseam.decisions.types import EndpointState

SUM_TOLERANCE = 1e-6  # running sums accumulate rounding errors


class InvariantError(Exception):
    """An invariant is violated.

    Attributes:
        invariant: the name of the invariant.
        index: the index of the server or kind concerned; -1 if none.
        expected, found: the two values that differ.
    """

    def __init__(self, invariant: str, index: int, expected: object, found: object) -> None:
        super().__init__(f"{invariant}, index {index}: expected {expected}, found {found}")
        self.invariant, self.index, self.expected, self.found = invariant, index, expected, found


def check_dispatcher(stats: ServerStats) -> None:
    """Raise InvariantError unless all invariants of a dispatcher hold."""
    check_own_slots(stats)
    check_sums(stats)
    check_gossip_ids(stats)


def check_own_slots(stats: ServerStats) -> None:
    """Check that a server's own slots are those of its attempts in flight, each of which is tracked once."""
    for server, own in enumerate(stats.own_attempts):
        slots = sum(state.request.slots for state, _ in own)
        _require_close("own slots", server, slots, stats.own_slots[server])
        for state, index in own:
            attempt = state.attempts[index]
            _require("server of an attempt in flight", server, server, attempt.server)
            _require("outcome of an attempt in flight", server, None, attempt.outcome)
            _require("entries of an attempt in flight", server, 1, own.count((state, index)))


def check_sums(stats: ServerStats) -> None:
    """Check that the sums of a kind equal those over its servers that are ready and not ejected."""
    kinds = len(stats.ready_count)
    ready, reported = [0] * kinds, [0] * kinds
    own, others = [0.0] * kinds, [0.0] * kinds
    for server, state in enumerate(stats.endpoint_state):
        if state is not EndpointState.READY or stats.ejected_until_ms[server] is not None:
            continue
        kind, others_slots = stats.kind[server], stats.others_slots[server]
        ready[kind] += 1
        own[kind] += stats.own_slots[server]
        if others_slots is not None:
            reported[kind] += 1
            others[kind] += others_slots if stats.settings.live_weights else max(0.0, others_slots)
    for kind in range(kinds):
        _require("ready count", kind, ready[kind], stats.ready_count[kind])
        _require("reported count", kind, reported[kind], stats.reported_count[kind])
        _require_close("sum of own slots", kind, own[kind], stats.own_slots_sum[kind])
        _require_close("sum of others' slots", kind, others[kind], stats.others_slots_sum[kind])


def check_gossip_ids(stats: ServerStats) -> None:
    """Check that each gossip id maps to a server that has this id."""
    for gossip_id, server in stats.server_by_gossip_id.items():
        _require("gossip id", server, gossip_id, stats.gossip_id[server])


def _require(invariant: str, index: int, expected: Any, found: Any) -> None:  # noqa: ANN401
    if expected != found:
        raise InvariantError(invariant, index, expected, found)


def _require_close(invariant: str, index: int, expected: float, found: float) -> None:
    if not isclose(expected, found, abs_tol=SUM_TOLERANCE):
        raise InvariantError(invariant, index, expected, found)
