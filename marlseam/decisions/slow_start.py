"""Slow start: limits the load of a server whose process has started recently.

All nodes together may send a share of the server's capacity that grows from `slow_start_initial_share` to 1
within `slow_start_ms`. Each node spends its own part of that budget from a token bucket for each server; a
token is one mean request. Guards restarted servers against overload by nodes that all find them idle at the
same time.
"""

from math import ceil, inf, sqrt

from marlseam.decisions.gossip import Gossip
from marlseam.decisions.types import Request

SLOW_START_PLANNED_SHARE = 0.6  # share of a server's budget that the nodes plan to use
# maximum of a token bucket, as a multiple of this node's part of the margin (see max_tokens)
MAX_SAVED_BUDGETS = 4.0
MIN_SAVED_COST_SHARE = 0.25  # share of a large request's cost that must be saved up before it is sent


class SlowStart(Gossip):
    """Limits what this node sends to servers in slow start."""

    def slow_start_budget(self, server: int) -> float:
        """Return how many mean requests per ms all nodes may send to a server; inf outside slow start."""
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
        """Return a request's expected run times slots, relative to the mean request."""
        return self.mean_run_ms[request.class_index] * request.slots / self.mean_slot_ms

    def has_budget(self, server: int, cost: float = 0.0) -> bool:
        """Return whether this node's part of a server's budget allows a request of `cost` mean requests now.

        The token bucket is refilled first. A large request requires that part of its cost has been saved up.
        Guards against all nodes sending large requests at the same time.
        """
        planned = self.slow_start_budget(server) * self.settings.overload_window_ms
        if planned == inf:
            return True
        max_tokens = self.max_tokens(planned)
        self.refill_tokens(server, planned, max_tokens)
        must_exceed = MIN_SAVED_COST_SHARE * min(cost, max_tokens) * (1.0 - 1.0 / max(1.0, cost))
        return planned >= cost and self.slow_start_tokens[server] > must_exceed

    def node_share(self) -> float:
        """Return this process's share of a server's budget: the node's share times `process_share`."""
        return self.settings.process_share / self.settings.node_count

    def max_tokens(self, planned: float) -> float:
        """Return the size of a token bucket for `planned` mean requests of all nodes per overload window.

        The bound guards against a burst after a time without requests.
        """
        margin = planned * (1.0 / SLOW_START_PLANNED_SHARE - 1.0) + 2.0 * sqrt(
            planned / SLOW_START_PLANNED_SHARE
        )
        return MAX_SAVED_BUDGETS * self.node_share() * margin

    def refill_tokens(self, server: int, planned: float, max_tokens: float) -> None:
        """Add this node's part of what was planned since the last refill to a server's token bucket."""
        now = self.port.now()
        windows = (now - self.slow_start_refilled_ms[server]) / self.settings.overload_window_ms
        tokens = self.slow_start_tokens[server] + windows * planned * self.node_share()
        self.slow_start_tokens[server] = tokens - max(0, ceil(tokens - max_tokens))
        self.slow_start_refilled_ms[server] = now
