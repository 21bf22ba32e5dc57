"""The node's client for servers, which combines the connection pool, attempts and health checks."""

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
    """Combines the connection pool, attempts and health checks.

    Attributes:
        timeouts: time limits derived from the settings.
        pool: the connections to servers.
        attempts: sends and cancels attempts, and tracks those in flight.
        health_checks: starts health checks.
        guard: checks the invariants of each attempt right before it begins; None if they are not checked.

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
        """Apply settings and the maximum number of connections to servers."""
        self.timeouts = timeouts = UpstreamTimeouts.from_deployment(deployment)
        self.attempts.configure(deployment, timeouts)
        self.health_checks.configure(deployment, timeouts)
        self.pool.configure(deployment, timeouts, max_connections)

    def update_endpoints(self, names: Collection[str], addresses: dict[str, tuple[str, int]]) -> None:
        """Apply the names of all listed servers, and the addresses of some of them.

        Attempts to a server whose address has changed are cancelled if they have not begun. Guards against
        requests sent to another process that now listens on the server's old address.
        """
        moved = self.pool.update_addresses(addresses)
        self.pool.retain_listed(names)
        self.attempts.cancel_unbegun(moved)
