"""A client's request while it waits for its answer."""

from collections.abc import Callable
from typing import NamedTuple

from marlseam.net.connection import Headers
from marlseam.net.loop import Task
from marlseam.net.protocol import ClientRequest


class ClientAnswer(NamedTuple):
    """What a client is answered."""

    status: int
    headers: Headers
    body: bytes


class PendingRequest:
    """A client's request, and the answer once there is one.

    Attributes:
        client_request: the request as its client wrote it.
        is_client_gone: looks whether its client has ended its connection.
        task: that waits for the answer; None before and after that.
        was_sent: whether an attempt was handed on to be sent.
        deadline_at_ms: until when the client waits, by the loop's clock.
        answer: None until there is one.

    """

    def __init__(
        self, client_request: ClientRequest, taken_ms: float, gone: Callable[[], bool] = lambda: False
    ) -> None:
        self.client_request, self.is_client_gone = client_request, gone
        self.task: Task | None = None
        self.was_sent = False
        self.deadline_at_ms = taken_ms + client_request.time_left_ms
        self.answer: ClientAnswer | None = None

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Give the answer to the client's coroutine."""
        self.answer = ClientAnswer(status, headers, body)
        if self.task is not None:
            self.task.wake()
