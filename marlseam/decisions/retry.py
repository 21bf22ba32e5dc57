"""Queueing and retries of a request, and its rejection or failure once no attempt may follow.

The result of an attempt is not answered here but in `core.reducer`.

Module `eligibility` decides whether another attempt is allowed (`may_attempt`, and by server `is_eligible`);
module `hedging` whether one may be made in place of, or beside, an attempt in flight (`may_replace`).
"""

from marlseam.decisions.eligibility import Eligibility


class Retry(Eligibility):
    """Queues and retries a request, sent before or not, and rejects or fails it if no attempt may follow."""

    def enqueue(self) -> None:
        """Put the request into the pending queue, where first attempts are served before retries."""
        if not self.is_queued:
            self.is_queued = self.has_waited = True
            self.dispatcher.enqueue(self)
            self.dispatcher.schedule_check()

    def retry(self) -> None:
        """Queue the request for another attempt; end it at once if none is allowed and none is in flight."""
        if self.may_attempt():
            self.enqueue()
        elif not self.in_flight_count():
            self.answer()

    def answer(self) -> None:
        """End a request without a result: reject it if a retry by the client is harmless, else fail it.

        Without effect on a request that has its final answer.
        """
        if self.is_closed:
            return
        self.is_closed = True
        if self.may_reject_safely():
            self.dispatcher.port.reject(self, self.dispatcher.retry_after_ms())
        else:
            self.dispatcher.port.fail(self)
        self.close()

    def close(self) -> None:
        """Cancel the attempts in flight of a request that has its answer or whose client has left.

        Its timers are cancelled too: each holds the request until it fires, at the request's deadline.
        """
        self.is_closed = True
        while self.timers:
            self.dispatcher.port.cancel_timer(self.timers.pop())
        for index, attempt in enumerate(self.attempts):
            if attempt.outcome is None and not attempt.cancelled:
                # If the settings forbid cancels, the port cancels only attempts that are not sent yet.
                attempt.cancelled = True
                self.dispatcher.port.cancel(self, index)
        if self.key_queue is not None and not self.in_flight_count():
            self.key_queue.request_over(self)
