"""What the reducer asks of an adapter: each thing to be done, as one typed value, carried out in order.

Times are milliseconds on the node's clock unless a field says otherwise.
"""

from math import inf
from typing import NamedTuple

from marlseam.core.idempotency import AttemptRecord


class SendAttempt(NamedTuple):
    """Send a request's next attempt to a server."""

    request_id: str
    attempt_index: int
    server: str
    time_left_ms: float
    begin_ms: float = inf  # within which its last byte goes out, or it never ran


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt; where not `begun`, only if its last byte has not gone out."""

    request_id: str
    attempt_index: int
    begun: bool = True


class Respond(NamedTuple):
    """Give the final answer `completed` with what an attempt brought."""

    request_id: str
    result: bytes


class Reject(NamedTuple):
    """Give the final answer `deferred`, with advice on when to come back; 0 for none."""

    request_id: str
    retry_after_ms: float


class Fail(NamedTuple):
    """Give the final answer `aborted`; unfit where servers found nothing in it that they can use.

    `out` are allocations that alone stand against a deferral: it is deferred, with advice, if none has begun.
    """

    request_id: str
    unfit: bool = False
    out: tuple[int, ...] = ()
    retry_after_ms: float = 0.0


class Probe(NamedTuple):
    """Ask a server for its report."""

    server: str


class SetTimer(NamedTuple):
    """Bring back a mark once a delay has passed."""

    timer_id: int
    delay_ms: float


class PersistAttempt(NamedTuple):
    """A keyed request is about to be sent: it may have run from then on."""

    request_id: str
    key: str
    trace: AttemptRecord


class ErasePersisted(NamedTuple):
    """A sending of a keyed request provably never ran."""

    key: str
    server: str
    sent_ms: float


class WatchEndpoints(NamedTuple):
    """Ask discovery for its list and its changes."""


class Gossip(NamedTuple):
    """Send all other nodes a message."""

    message: bytes


class Log(NamedTuple):
    """Write a line for staff."""

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
