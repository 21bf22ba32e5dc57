"""Hedging: further attempts for requests that their server is presumed to have lost."""

from marlseam.decisions.server_selection import ServerSelection
from marlseam.decisions.types import Attempt, Idempotency, TrackedRequest

ALIVE_IN_PROGRESS_PERIODS = 1.5  # how long after its last progress an attempt counts as alive


class Hedging(ServerSelection):
    """Moves requests away from a server that has failed or restarted."""

    def retry_elsewhere(self, server: int, started_ms: float | None = None) -> None:
        """Retry the requests that a server is presumed to have lost, as far as the rules allow.

        `started_ms` is when the server's process restarted, which lost all attempts sent earlier; None if
        it has not. If the settings allow hedging, a second attempt is made beside the first; otherwise the
        first is cancelled if the settings allow cancels and another server could take the request.
        """
        for state, index in list(self.own_attempts[server]):
            attempt = state.attempts[index]
            if self.is_presumed_alive(attempt, started_ms) or not self.may_replace(state, attempt):
                continue
            if self.settings.may_hedge:
                state.retry()
            elif self.settings.may_cancel and self.has_alternative(state, server):
                attempt.cancelled = True
                self.port.cancel(state, index)

    def is_presumed_alive(self, attempt: Attempt, started_ms: float | None) -> bool:
        """Return whether an attempt is presumed to be running.

        With `started_ms`, when the server's process restarted: whether the attempt was sent since. Without:
        whether the attempt has made progress recently.
        """
        if started_ms is not None:
            return attempt.sent_ms >= started_ms
        silent_ms = self.port.now() - attempt.last_response_ms
        limit_ms = ALIVE_IN_PROGRESS_PERIODS * self.settings.progress_period_ms
        return attempt.progress > 0.0 and silent_ms < limit_ms

    def may_replace(self, state: TrackedRequest, attempt: Attempt) -> bool:
        """Return whether the rules allow another attempt beside, or in place of, one in flight.

        Not for requests that are closed, queued or unsafe, that have two attempts in flight or no attempts
        left, nor if `attempt` is being cancelled.
        """
        if state.is_closed or state.is_queued or attempt.cancelled:
            return False
        if state.request_class.idempotency is Idempotency.UNSAFE:
            return False
        return state.in_flight_count() <= 1 and len(state.attempts) < self.settings.max_attempts

    def has_alternative(self, state: TrackedRequest, server: int) -> bool:
        """Return whether another server could take a request now."""
        return self.draw_server(lambda other: other != server and state.is_eligible(other)) >= 0
