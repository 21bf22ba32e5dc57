"""The record of one request on this node, and the queries that need this record alone."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from marlseam.decisions.key_ordering import KeyQueue
from marlseam.decisions.types import Attempt, LoadReport, Outcome, Request

if TYPE_CHECKING:
    from marlseam.decisions.dispatcher import Dispatcher

NEVER_RAN = (Outcome.AT_CAPACITY, Outcome.UNREACHABLE, Outcome.CANCELLED_UNSENT)


class RequestRecord(ABC):
    """The record of one request; the subclasses, up to `request_state.RequestState`, act on the request.

    Attributes:
        dispatcher: the node's dispatcher.
        request: the request as it arrived.
        request_class: the settings of the request's class when the request arrived.
        arrived_ms: when the request arrived.
        max_attempts: the maximum by the settings at the arrival; 0 if no attempt may be sent.
        attempts: all attempts in the order sent, after those of `request.prior_attempts`.
        is_closed: whether the request has its final answer or its client has left; no attempt follows.
        is_queued: whether the request waits in the pending queue now.
        has_waited: whether the request has ever waited in the pending queue.
        is_invalid: whether a server has rejected the request as one that no server can process.
        home_server: the home server drawn last; -1 for none.
        probed_servers: the servers of the latest round of probes.
        probe_round_ms: when the probes of `probed_servers` were sent.
        key_queue: the queue of the request's resource key if its class is `ordered_by_key`, else None.
        has_turn: whether the request may be sent as far as its resource key is concerned.
        key_run_ms: how long the request is expected to delay the later requests of its resource key.
        timers: the ids of the timers that answer the request, which are cancelled at its end.
    """

    def __init__(self, dispatcher: "Dispatcher", request: Request) -> None:
        self.dispatcher, self.request = dispatcher, request
        self.request_class = dispatcher.request_classes[request.class_index]
        self.arrived_ms = dispatcher.port.now()
        self.max_attempts = dispatcher.settings.max_attempts if request.is_recordable else 0
        # Guards keyed requests against a second effect where a client retries with the same idempotency key.
        self.attempts = [
            Attempt(server, sent_ms, sent_ms, outcome=Outcome.BROKEN)
            for server, sent_ms in request.prior_attempts
        ]
        self.is_closed = self.is_queued = self.has_waited = self.is_invalid = False
        self.home_server, self.probe_round_ms = -1, 0.0
        self.probed_servers: list[int] = []
        self.key_queue: KeyQueue | None = None
        self.has_turn, self.key_run_ms = True, 0.0
        self.timers: list[int] = []

    def attempts_that_may_have_run(self) -> list[Attempt]:
        """Return the attempts that may have had an effect, in the order sent."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]

    def in_flight_count(self) -> int:
        """Return how many attempts have not ended."""
        return sum(attempt.outcome is None for attempt in self.attempts)

    def is_over(self) -> bool:
        """Return whether the request has its final answer and no attempt in flight."""
        return self.is_closed and not self.in_flight_count()

    @abstractmethod
    def place(self) -> None:
        """Send the request to a server, or queue it until a server can take it."""

    @abstractmethod
    def retry(self) -> None:
        """Queue the request for another attempt; end it at once if none is allowed and none is in flight."""

    @abstractmethod
    def answer(self) -> None:
        """Reject or fail a request that has no final answer yet."""

    @abstractmethod
    def time_to_spare_ms(self, pace: float) -> float:
        """Return how long (ms) the request may wait and meet its latency objective; below 0 if too late."""

    @abstractmethod
    def close(self) -> None:
        """Cancel the attempts in flight of a request that no longer needs an answer."""

    @abstractmethod
    def started(self, attempt_index: int) -> None:
        """Record that an attempt has started to run on its server."""

    @abstractmethod
    def progress(self, attempt_index: int, share: float) -> None:
        """Record the share, from 0 to 1, of its work that an attempt has done."""

    @abstractmethod
    def streaming(self, attempt_index: int) -> None:
        """Record that the response is being sent to the client, which is the final answer."""

    @abstractmethod
    def attempt_ended(
        self, attempt_index: int, outcome: Outcome, final: bool, report: LoadReport | None
    ) -> None:
        """Record the outcome of an attempt; `final` means that the request needs no further attempt."""
