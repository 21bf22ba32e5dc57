"""Effects: what the reducer asks of an adapter, each as one typed value, carried out in order.

Times are milliseconds on the node's clock unless a field says otherwise. Requests are known by their id,
attempts by their index among their request's attempts, servers by name.
"""

from math import inf
from typing import NamedTuple

from marlseam.core.idempotency import AttemptRecord


class SendAttempt(NamedTuple):
    """Send a request's next attempt to a server.

    Attributes:
        request_id, attempt_index, server: which attempt, and where it goes.
        time_left_ms: until the request's deadline.
        send_within_ms: how long its last byte may take to be sent; after that it must not be sent at all.
    """

    request_id: str
    attempt_index: int
    server: str
    time_left_ms: float
    send_within_ms: float = inf


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt.

    Attributes:
        request_id, attempt_index: which attempt.
        even_if_sent: whether to cancel it too if its last byte has been sent.
    """

    request_id: str
    attempt_index: int
    even_if_sent: bool = True


class Respond(NamedTuple):
    """Answer a request with the result of an attempt."""

    request_id: str
    result: bytes


class Reject(NamedTuple):
    """Reject a request where a retry does no harm, with advice on when to retry; 0 for none."""

    request_id: str
    retry_after_ms: float


class Fail(NamedTuple):
    """Fail a request, or reject it if it turns out that no attempt of it was sent.

    Attributes:
        request_id: which request.
        is_invalid: whether a server has turned it away as a request that no server can use.
        in_flight: the attempts that alone bar a rejection: if none of them has been sent, the request
            is rejected; empty where it is failed in any case.
        retry_after_ms: the advice of that rejection; 0 for none.
    """

    request_id: str
    is_invalid: bool = False
    in_flight: tuple[int, ...] = ()
    retry_after_ms: float = 0.0


class Probe(NamedTuple):
    """Ask a server for its load report."""

    server: str


class SetTimer(NamedTuple):
    """Hand in a `TimerFired` of this id once a delay has passed."""

    timer_id: int
    delay_ms: float


class PersistAttempt(NamedTuple):
    """Put on record that a request is about to be sent: it may have run from then on.

    Attributes:
        request_id: which request.
        key: its idempotency key.
        record: where and when it is sent, and until when the server remembers it.
    """

    request_id: str
    key: str
    record: AttemptRecord


class ErasePersisted(NamedTuple):
    """Take an attempt under an idempotency key off the record: it provably never ran."""

    key: str
    server: str
    sent_ms: float


class WatchEndpoints(NamedTuple):
    """Ask discovery for its list and its changes."""


class Gossip(NamedTuple):
    """Publish a message to all other nodes."""

    message: bytes


class Log(NamedTuple):
    """Write a line for operators."""

    text: str


Effect = (
    SendAttempt
    | CancelAttempt
    | Respond
    | Reject
    | Fail
    | Probe
    | SetTimer
    | PersistAttempt
    | ErasePersisted
    | WatchEndpoints
    | Gossip
    | Log
)
