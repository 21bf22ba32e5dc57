"""Slow start: how much may be sent to a server whose process has started a short time ago.

All nodes together may send a share of the server's capacity that grows from `slow_start_initial_share` to 1
within `slow_start_ms`. Each node spends its own part of that budget from a token bucket for each server; a
token is the mean request. Guards restarted servers against overload by nodes that find them idle at once.
"""

from math import ceil, inf, sqrt

from marlseam.decisions.gossip import Gossip
from marlseam.decisions.types import Request

SLOW_START_PLANNED_SHARE = 0.6  # part of a server's budget that the nodes plan to use
MAX_SAVED_BUDGETS = 4.0  # what a bucket may hold, in our parts of the margin above the planned share
MIN_SAVED_COST_SHARE = 0.25  # part of a large request's cost to be saved up before it is sent


class SlowStart(Gossip):
    """The budgets of servers in slow start."""

    def slow_start_budget(self, server: int) -> float:
        """Return how many mean requests a ms all nodes may send to a server; inf outside slow start."""
        started_ms = self.process_started_ms[server]
        if started_ms is None:
            return inf
        settings, age_ms = self.settings, max(0.0, self.port.now() - started_ms)
        if age_ms > settings.slow_start_ms:
            return inf
        initial_share = settings.slow_start_initial_share
        share = initial_share + (1.0 - initial_share) * age_ms / settings.slow_start_ms
        rate = self.slot_count(server) / (self.mean_slot_ms * self.kind_pace[self.kind[server]])
        return SLOW_START_PLANNED_SHARE * settings.overload_multiple * share * rate

    def relative_cost(self, request: Request) -> float:
        """Return a request's size in mean requests."""
        return self.mean_run_ms[request.class_index] * request.slots / self.mean_slot_ms

    def has_budget(self, server: int, cost: float = 0.0) -> bool:
        """Return whether this node's part of a server's budget allows a request of some cost now.

        The token bucket is refilled first. A large request needs part of its cost saved up. Guards against
        all nodes sending such requests at once.
        """
        planned = self.slow_start_budget(server) * self.settings.overload_window_ms
        if planned == inf:
            return True
        max_tokens = self.max_tokens(planned)
        self.refill_tokens(server, planned, max_tokens)
        must_exceed = MIN_SAVED_COST_SHARE * min(cost, max_tokens) * (1.0 - 1.0 / max(1.0, cost))
        return planned >= cost and self.slow_start_tokens[server] > must_exceed

    def node_share(self) -> float:
        """Return the share of a server's budget that is this node's, or this process's of it."""
        return self.settings.process_share / self.settings.node_count

    def max_tokens(self, planned: float) -> float:
        """Return what a token bucket may hold, by the mean requests planned in a window for all nodes.

        Guards against a burst after a quiet time.
        """
        margin = planned * (1.0 / SLOW_START_PLANNED_SHARE - 1.0) + 2.0 * sqrt(
            planned / SLOW_START_PLANNED_SHARE
        )
        return MAX_SAVED_BUDGETS * self.node_share() * margin

    def refill_tokens(self, server: int, planned: float, max_tokens: float) -> None:
        """Add to a server's token bucket this node's part of what was planned since the last time."""
        now = self.port.now()
        windows = (now - self.slow_start_refilled_ms[server]) / self.settings.overload_window_ms
        tokens = self.slow_start_tokens[server] + windows * planned * self.node_share()
        self.slow_start_tokens[server] = tokens - max(0, ceil(tokens - max_tokens))
        self.slow_start_refilled_ms[server] = now
