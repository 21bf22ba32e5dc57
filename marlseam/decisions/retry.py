"""What follows where a request is not sent at once: it waits, is tried again, or gets its final answer.

Whether a further attempt is allowed is for `eligibility` to say (`may_attempt`, and by server `is_eligible`);
whether one may be made in place of, or beside, an attempt in flight for `hedging` (`may_replace`).
"""

from marlseam.decisions.eligibility import Eligibility


class Retry(Eligibility):
    """Further attempts and the one final answer of a request."""

    def enqueue(self) -> None:
        """Wait in the pending queue for a server; first attempts are served before further ones."""
        if not self.is_queued:
            self.is_queued = self.has_waited = True
            self.dispatcher.enqueue(self)
            self.dispatcher.schedule_check()

    def retry(self) -> None:
        """Wait for a further attempt; answer at once where none is allowed and none is in flight."""
        if self.may_attempt():
            self.enqueue()
        elif not self.in_flight_count():
            self.answer()

    def answer(self) -> None:
        """Give the one final answer: rejected where a retry by the client is harmless, else failed."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.may_reject_safely():
            self.dispatcher.port.reject(self, self.dispatcher.retry_after_ms())
        else:
            self.dispatcher.port.fail(self)
        self.close()

    def close(self) -> None:
        """Cancel what is in flight of a request that has its answer, or whose client has gone."""
        self.is_closed = True
        for index, attempt in enumerate(self.attempts):
            if attempt.outcome is None and not attempt.cancelled:
                # Where the settings forbid this, the port cancels what is unsent only.
                attempt.cancelled = True
                self.dispatcher.port.cancel(self, index)
        if self.key_queue is not None and not self.in_flight_count():
            self.key_queue.request_over(self)
