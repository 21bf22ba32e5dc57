"""The state of one request on this node, and its update by the events of its attempts."""

from marlseam.decisions.key_ordering import MAY_STILL_RUN
from marlseam.decisions.placement import ForwardProbing
from marlseam.decisions.request_record import NEVER_RAN
from marlseam.decisions.types import LoadReport, Outcome


class RequestState(ForwardProbing):
    """A request on this node, from its arrival to its one final answer.

    The rules for allowed attempts are in `eligibility`, the choice of a server in `placement`, further
    attempts and the final answer in `retry`, probes and sends in `sending`. The attributes are those of
    `RequestRecord`.
    """

    def started(self, attempt_index: int) -> None:
        """Record that an attempt has started to run, and update the distrust in reports from its wait."""
        dispatcher, attempt = self.dispatcher, self.attempts[attempt_index]
        attempt.started_ms = attempt.last_response_ms = dispatcher.port.now()
        dispatcher.last_response_ms[attempt.server] = attempt.started_ms
        dispatcher.identity_doubt[attempt.server] = 0.0  # the server reported under its own name
        dispatcher.learn_wait(attempt, attempt.started_ms - attempt.sent_ms)

    def progress(self, attempt_index: int, share: float) -> None:
        """Record the share, from 0 to 1, of its work that an attempt has done."""
        attempt = self.attempts[attempt_index]
        attempt.last_response_ms = self.dispatcher.last_response_ms[attempt.server] = (
            self.dispatcher.port.now()
        )
        attempt.progress = share

    def streaming(self, attempt_index: int) -> None:
        """Record that the response is being sent to the client, which is the final answer."""
        self.started(attempt_index)
        self.is_closed = True

    def attempt_ended(
        self, attempt_index: int, outcome: Outcome, final: bool, report: LoadReport | None
    ) -> None:
        """Apply the outcome of an attempt; `final` means that the request needs no further attempt."""
        attempt, dispatcher = self.attempts[attempt_index], self.dispatcher
        attempt.outcome = outcome
        if outcome in NEVER_RAN:
            dispatcher.port.never_ran(self, attempt.server, attempt.sent_ms)
        # Guards against counting a client's error against its server, and against retrying the request at
        # other servers.
        self.is_invalid = self.is_invalid or outcome is Outcome.INVALID_REQUEST
        dispatcher.remove_own_attempt(attempt.server, self, attempt_index)
        if self.key_queue is not None and outcome in MAY_STILL_RUN:
            self.key_queue.pause(dispatcher.port.after, dispatcher.settings.key_gap_ms)
        dispatcher.record_attempt_end(self, attempt, report)
        if final or self.is_closed:
            self.close()
        elif outcome is not Outcome.CANCELLED_UNSENT or not self.in_flight_count():
            # An attempt cancelled before it was sent is not replaced while another one is in flight.
            self.retry()
        dispatcher.dispatch_queue()
