"""Health checks: requests for load reports, repeated once if the connection may be at fault."""

from collections.abc import Callable
from typing import NamedTuple

import h11

from marlseam.configuration import Deployment
from marlseam.core import Event, ProbeEnded
from marlseam.decisions.types import LoadReport, Outcome
from marlseam.net import protocol
from marlseam.net.connection import Steps
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.log import Reason
from marlseam.net.loop import Coroutine, Loop
from marlseam.net.protocol import Head
from marlseam.net.upstream.pool import CONNECTION_LOST, ConnectionPool, ServerConnections
from marlseam.net.upstream.timeouts import UpstreamTimeouts

EXTRA_CONNECTIONS = 4  # connections per server that health checks may open beyond the limit of attempts
FIRST_CALL_SHARE = 0.5  # share of a health check's time limit for its first call; a second one may follow
OUTCOME_BY_END = {  # outcome of a call without an answer; any other reason counts as BROKEN
    Reason.TIMED_OUT: Outcome.TIMED_OUT,
    Reason.NO_CONNECT: Outcome.UNREACHABLE,
    Reason.NO_SOCKETS: Outcome.CANCELLED_UNSENT,  # no evidence about the server: this node lacks sockets
}
OUTCOME_BY_STATUS = {200: Outcome.COMPLETED, 503: Outcome.AT_CAPACITY}  # any other status counts as ERROR


class HealthCheckResult(NamedTuple):
    """The result of one call for a load report; `report` is None if the answer contained none."""

    outcome: Outcome
    report: LoadReport | None


class Prober:
    """Carries out health checks; each posts exactly one `ProbeEnded`."""

    def __init__(
        self,
        loop: Loop,
        pool: ConnectionPool,
        deployment: Deployment,
        timeouts: UpstreamTimeouts,
        post: Callable[[Event], None],
    ) -> None:
        self.loop, self.pool, self.post = loop, pool, post
        self.configure(deployment, timeouts)

    def configure(self, deployment: Deployment, timeouts: UpstreamTimeouts) -> None:
        """Apply settings."""
        self.deployment, self.timeouts = deployment, timeouts

    def start(self, name: str) -> None:
        """Start a health check of a server."""
        self.loop.spawn(self.check(name))

    def check(self, name: str) -> Coroutine:
        """Carry out one health check and post its result."""
        server = self.pool.server(name)
        began_ms = self.loop.now()
        result = HealthCheckResult(Outcome.BROKEN, None)
        probe_ms = self.timeouts.probe_ms
        until_ms = began_ms + probe_ms
        try:
            try:
                result = yield from self.call(server, began_ms + FIRST_CALL_SHARE * probe_ms)
            except ConnectionEndedError as end:
                if end.reason not in (*CONNECTION_LOST, Reason.TIMED_OUT):
                    raise
                # Guards servers against being blamed for one lost connection, such as an idle connection that
                # the server had closed.
                began_ms = self.loop.now()
                result = yield from self.call(server, until_ms, is_new=True)
        except ConnectionEndedError as end:
            result = HealthCheckResult(OUTCOME_BY_END.get(end.reason, Outcome.BROKEN), None)
        finally:
            self.pool.forget_if_unused(server)
            self.post(ProbeEnded(name, result.outcome, self.loop.now() - began_ms, result.report))

    def call(self, server: ServerConnections, until_ms: float, is_new: bool = False) -> Steps:
        """Make one call for a load report and return its result; `is_new` requires a new connection."""
        reason = Reason.FAULT
        max_count = self.pool.max_per_server() + EXTRA_CONNECTIONS
        connection = yield from self.pool.acquire(server, max_count, until_ms, is_new)
        try:
            request = h11.Request(method="GET", target=protocol.LOAD_PATH, headers=[("Host", server.name)])
            yield from connection.message(request, b"", until_ms)
            answer = yield from connection.answer(until_ms)
            body = yield from connection.body(protocol.MAX_BODY_BYTES, until_ms)
            report = protocol.report_from_answer(body, Head(answer.headers), self.deployment.report_names)
            outcome = OUTCOME_BY_STATUS.get(answer.status_code, Outcome.ERROR)
            reason = Reason.DONE
            if outcome is Outcome.COMPLETED:
                # Only a completed call releases its connection: a duplicate of a refusal could be taken for
                # the answer to the next request.
                self.pool.release(server, connection)
                connection = None
            return HealthCheckResult(outcome, report)
        except ConnectionEndedError as end:
            reason = end.reason
            raise
        finally:
            if connection is not None:
                self.pool.close_connection(server, connection, reason)
