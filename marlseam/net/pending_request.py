"""A client's request while it waits for its answer."""

from collections.abc import Callable
from typing import NamedTuple

from marlseam.net.connection import Headers
from marlseam.net.loop import Task
from marlseam.net.protocol import ClientRequest


class ClientAnswer(NamedTuple):
    """The status, headers and body of an answer to a client."""

    status: int
    headers: Headers
    body: bytes


class PendingRequest:
    """A client's request, and the answer once there is one.

    Attributes:
        client_request: the parsed request.
        is_client_gone: checks whether the client has closed its connection.
        task: the task that waits for the answer; None while none waits.
        was_sent: whether an attempt was given to the upstream for sending.
        deadline_at_ms: when the client's wait ends, in ms of the loop's clock.
        answer: None until the request is answered.

    """

    def __init__(
        self,
        client_request: ClientRequest,
        earliest_sent_ms: float,
        is_client_gone: Callable[[], bool] = lambda: False,
    ) -> None:
        self.client_request, self.is_client_gone = client_request, is_client_gone
        self.task: Task | None = None
        self.was_sent = False
        self.deadline_at_ms = earliest_sent_ms + client_request.time_left_ms
        self.answer: ClientAnswer | None = None

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Set the answer and wake the task that waits for it."""
        self.answer = ClientAnswer(status, headers, body)
        if self.task is not None:
            self.task.wake()
