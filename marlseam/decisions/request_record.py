"""What is on record of one request on this node, and the questions that this record alone answers."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from marlseam.decisions.key_ordering import KeyQueue
from marlseam.decisions.types import Attempt, LoadReport, Outcome, Request

if TYPE_CHECKING:
    from marlseam.decisions.dispatcher import Dispatcher

NEVER_RAN = (Outcome.AT_CAPACITY, Outcome.UNREACHABLE, Outcome.CANCELLED_UNSENT)


class RequestRecord(ABC):
    """The record of one request; what happens to it is up to the classes that `request_state` composes.

    Attributes:
        dispatcher: the node's dispatcher.
        request: the request as it arrived.
        request_class: what the settings said of its class at that time.
        arrived_ms: when it arrived.
        max_attempts: attempts allowed by the settings at that time; 0 where nothing of it may be sent.
        attempts: all attempts in the order sent, after those of `request.prior_attempts`.
        is_closed: whether it has its final answer, or its client has left; nothing more is tried.
        is_queued: whether it waits in the pending queue now; `has_waited`: whether it ever did.
        is_invalid: whether a server has turned it away as a request that no server can use.
        home_server: the home server drawn last; -1 for none.
        probe_round_ms: when the probes of `probed_servers` were sent.
        key_queue: the requests of its key, where its class asks for one at a time; else None.
        has_turn: whether it may be sent as far as its key is concerned.
        key_run_ms: how long it is expected to keep the others of its key waiting.
    """

    def __init__(self, dispatcher: "Dispatcher", request: Request) -> None:
        self.dispatcher, self.request = dispatcher, request
        self.request_class = dispatcher.request_classes[request.class_index]
        self.arrived_ms = dispatcher.port.now()
        self.max_attempts = dispatcher.settings.max_attempts if request.is_recordable else 0
        # Guards keyed requests against a second effect where a client tries again under its key.
        self.attempts = [
            Attempt(server, sent_ms, sent_ms, outcome=Outcome.BROKEN)
            for server, sent_ms in request.prior_attempts
        ]
        self.is_closed = self.is_queued = self.has_waited = self.is_invalid = False
        self.home_server, self.probe_round_ms = -1, 0.0
        self.probed_servers: list[int] = []
        self.key_queue: KeyQueue | None = None
        self.has_turn, self.key_run_ms = True, 0.0

    def attempts_that_may_have_run(self) -> list[Attempt]:
        """Return the attempts that may have had an effect, in the order sent."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]

    def in_flight_count(self) -> int:
        """Return how many attempts have not ended."""
        return sum(attempt.outcome is None for attempt in self.attempts)

    def is_over(self) -> bool:
        """Return whether it has its final answer and no attempt in flight."""
        return self.is_closed and not self.in_flight_count()

    @abstractmethod
    def place(self) -> None:
        """Send it to a server, or let it wait for one."""

    @abstractmethod
    def retry(self) -> None:
        """Wait for a further attempt, or answer."""

    @abstractmethod
    def answer(self) -> None:
        """Give the one final answer."""

    @abstractmethod
    def time_to_spare_ms(self, pace: float) -> float:
        """Return how long it may wait and meet its latency objective; below 0 if too late."""

    @abstractmethod
    def close(self) -> None:
        """Cancel what is in flight of a request that needs no answer any more."""

    @abstractmethod
    def started(self, attempt_index: int) -> None:
        """Note that an attempt began to run."""

    @abstractmethod
    def progress(self, attempt_index: int, share: float) -> None:
        """Note that an attempt has done a share of its work."""

    @abstractmethod
    def streaming(self, attempt_index: int) -> None:
        """Note that the response is on its way to the client."""

    @abstractmethod
    def attempt_ended(
        self, attempt_index: int, outcome: Outcome, final: bool, report: LoadReport | None
    ) -> None:
        """Take in how an attempt ended."""
