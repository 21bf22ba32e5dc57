"""Effects: the typed actions that the reducer requests and an adapter carries out in order.

Times are milliseconds on the node's clock unless stated otherwise. Requests are identified by their id,
attempts by their index among their request's attempts, servers by name.
"""

from math import inf
from typing import NamedTuple

from marlseam.core.idempotency import AttemptRecord


class SendAttempt(NamedTuple):
    """Send a request's next attempt to a server.

    Attributes:
        request_id, attempt_index: the attempt.
        server: the server to which it is sent.
        time_left_ms: the time until the request's deadline, counted from when this effect is carried out.
        send_within_ms: the time within which the last byte must be sent, counted likewise; an attempt that is
            late is not sent. inf sets no limit. There is a limit where an earlier attempt of a keyed request
            may have run: servers drop a repeat only within the deduplication window of that attempt.
    """

    request_id: str
    attempt_index: int
    server: str
    time_left_ms: float
    send_within_ms: float = inf


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt.

    Attributes:
        request_id, attempt_index: the attempt.
        even_if_sent: whether to cancel the attempt also after its last byte has been sent.
    """

    request_id: str
    attempt_index: int
    even_if_sent: bool = True


class Respond(NamedTuple):
    """Answer a request with the result of an attempt."""

    request_id: str
    result: bytes


class Reject(NamedTuple):
    """Reject a request for which a retry does no harm; `retry_after_ms` is the advised delay, 0 for none."""

    request_id: str
    retry_after_ms: float


class Fail(NamedTuple):
    """Fail a request, or reject it if it turns out that no attempt of it was sent.

    Attributes:
        request_id: the request.
        is_invalid: whether a server has rejected the request as one that no server can process.
        in_flight: the indices of the attempts that alone prevent a rejection: if none of them has been sent,
            the request is rejected. Empty if the request is failed in any case.
        retry_after_ms: the delay advised by that rejection; 0 for none.
    """

    request_id: str
    is_invalid: bool = False
    in_flight: tuple[int, ...] = ()
    retry_after_ms: float = 0.0


class Probe(NamedTuple):
    """Request a load report from a server."""

    server: str


class SetTimer(NamedTuple):
    """Pass a `TimerFired` with this id to the reducer after a delay."""

    timer_id: int
    delay_ms: float


class PersistAttempt(NamedTuple):
    """Record that a request is about to be sent, since it may have run from then on.

    Attributes:
        request_id: the request.
        key: the request's idempotency key.
        record: where and when the request is sent, and until when the server remembers it.
    """

    request_id: str
    key: str
    record: AttemptRecord


class ErasePersisted(NamedTuple):
    """Erase the record of an attempt under an idempotency key, as the attempt provably never ran."""

    key: str
    server: str
    sent_ms: float


class WatchEndpoints(NamedTuple):
    """Request the endpoint list and its changes from discovery."""


class Gossip(NamedTuple):
    """Publish a gossip message to all other nodes."""

    message: bytes


class Log(NamedTuple):
    """Write a log line for operators."""

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
