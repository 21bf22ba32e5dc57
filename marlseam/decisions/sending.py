"""Sending of the probes and attempts of one request."""

from collections.abc import Callable

from marlseam.decisions.retry import Retry
from marlseam.decisions.types import Attempt


class Sending(Retry):
    """Sends probes and the attempts that the rules allow."""

    def probe(self, servers: list[int], on_answered: Callable[[], None]) -> None:
        """Probe servers in parallel; call `on_answered` once all have answered or the probe wait is over.

        `on_answered` is not called if the request is closed by then.
        """
        dispatcher = self.dispatcher
        self.probed_servers, self.probe_round_ms = servers, dispatcher.port.now()
        unanswered = set(servers)

        def answered(server: int | None) -> None:
            nonlocal unanswered
            if unanswered and not self.is_closed:
                unanswered = unanswered - {server} if server is not None else set()
                if not unanswered:
                    on_answered()

        for server in servers:
            dispatcher.probe(server, answered)
        dispatcher.port.after(dispatcher.probe_wait_ms, lambda: answered(None))

    def send(self, server: int) -> None:
        """Send the request to a server if the rules still allow it, else retry."""
        dispatcher, now = self.dispatcher, self.dispatcher.port.now()
        if not self.may_attempt() or not self.is_eligible(server):
            self.retry()
            return
        stale = dispatcher.is_report_stale(server)
        wait_ms = None if stale else dispatcher.expected_wait_ms(server, self.request)
        self.attempts.append(Attempt(server, now, now, expected_wait_ms=wait_ms))
        dispatcher.add_own_attempt(server, self, len(self.attempts) - 1)
        dispatcher.schedule_check(server)
        dispatcher.slow_start_tokens[server] -= dispatcher.relative_cost(self.request)
        dispatcher.port.send(self, server, self.request.deadline_at_ms - now)
