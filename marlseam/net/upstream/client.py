"""What a node holds of its side towards servers: the pool, attempts and health checks."""

from collections.abc import Callable, Collection

from marlseam.configuration import Deployment
from marlseam.core import Event
from marlseam.counters import Counters
from marlseam.net.invariants import SendGuard
from marlseam.net.log import Log
from marlseam.net.loop import Loop
from marlseam.net.upstream.attempts import Attempts
from marlseam.net.upstream.health_checks import Prober
from marlseam.net.upstream.pool import ConnectionPool
from marlseam.net.upstream.timeouts import UpstreamTimeouts


class Upstream:
    """Joins the connection pool, attempts and health checks.

    Attributes:
        timeouts: its time limits, from the settings.
        pool: the connections to servers.
        attempts: those that are in flight; sends and cancels.
        health_checks: starts health checks.
        guard: checks each attempt right before it begins; None where nothing is checked.

    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        deployment: Deployment,
        max_connections: int,
        post: Callable[[Event], None],
        counters: Counters,
        guard: SendGuard | None = None,
    ) -> None:
        self.loop, self.log, self.guard = loop, log, guard
        self.timeouts = timeouts = UpstreamTimeouts.from_deployment(deployment)
        self.pool = ConnectionPool(loop, log, deployment, timeouts, max_connections)
        self.attempts = Attempts(loop, self.pool, deployment, timeouts, post, counters, guard)
        self.health_checks = Prober(loop, self.pool, deployment, timeouts, post)

    def configure(self, deployment: Deployment, max_connections: int) -> None:
        """Take in settings and how many connections to servers there may be."""
        self.timeouts = timeouts = UpstreamTimeouts.from_deployment(deployment)
        self.attempts.configure(deployment, timeouts)
        self.health_checks.configure(deployment, timeouts)
        self.pool.configure(deployment, timeouts, max_connections)

    def update_endpoints(self, names: Collection[str], addresses: dict[str, tuple[str, int]]) -> None:
        """Take in which servers there are, and the addresses of some.

        Guards whoever is at a server's old address now against requests meant for it: attempts to a server
        that has moved are cancelled where they have not begun.
        """
        moved = self.pool.update_addresses(addresses)
        self.pool.retain_listed(names)
        self.attempts.cancel_unbegun(moved)
