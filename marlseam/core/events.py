"""Events: what an adapter tells the reducer, each thing that happens as one typed value.

Times are milliseconds on the node's clock unless a field says otherwise. Requests are known by their id,
attempts by their index among their request's attempts, servers by name.
"""

from typing import NamedTuple

from marlseam.core.idempotency import AttemptRecord
from marlseam.decisions.types import EndpointState, ListUpdateKind, LoadReport, Outcome, Request, Settings


class EndpointEntry(NamedTuple):
    """One server as the endpoint list has it.

    Attributes:
        server: its name.
        state: whether it is ready, draining or gone.
        kind, zone, cell: indices of the settings; -1 where the list does not say.
        process_started_ms: when its process started; None where the list does not say.
        weight: its weight; None where the list has none.
    """

    server: str
    state: EndpointState
    kind: int
    zone: int
    cell: int
    process_started_ms: float | None
    weight: float | None = None


class NodeStarted(NamedTuple):
    """The node starts, with its settings and the seed of its random numbers."""

    settings: Settings
    seed: int


class SettingsChanged(NamedTuple):
    """The node's settings have changed; what had an index before keeps it."""

    settings: Settings


class EndpointListUpdate(NamedTuple):
    """An update of the endpoint list, or a failure to get one.

    Attributes:
        update_kind: a whole list, changes, a cached list, or a failure.
        entries: the servers that it names.
        doubt: the chance that an entry of a cached list is no longer true.
    """

    update_kind: ListUpdateKind
    entries: list[EndpointEntry]
    doubt: float = 0.0


class HistoryRecovered(NamedTuple):
    """What may have run before the node started, or a part of it.

    Attributes:
        records: all attempts of each idempotency key named, in the order sent.
    """

    records: dict[str, list[AttemptRecord]]


class PeerAttempt(NamedTuple):
    """Another process of this node sends a request under a key, which may have run from now on."""

    key: str
    record: AttemptRecord


class PeerAttemptNeverRan(NamedTuple):
    """An attempt of another process of this node provably never ran."""

    key: str
    server: str
    sent_ms: float


class HistoryUnavailable(NamedTuple):
    """It is not known which keyed requests some source (another process, the store) has on record.

    Attributes:
        source: its name.
        since_ms: when the last of them was sent at the latest; None while more may be sent.
    """

    source: str
    since_ms: float | None = None


class HistoryAvailable(NamedTuple):
    """What a source has on record is known now."""

    source: str


class NotDurable(NamedTuple):
    """An attempt was not sent: the record that it may run is not durable, or the node may not serve."""

    request_id: str
    attempt_index: int


class RequestArrived(NamedTuple):
    """A client has sent a request."""

    request: Request


class AttemptEnded(NamedTuple):
    """An attempt has ended.

    Attributes:
        request_id, attempt_index: which attempt.
        outcome: how it ended.
        final: whether the request needs no other attempt: this result answers it, or it had an answer.
        report: the server's load report that came with it; None for none.
        result: the result for the client.
    """

    request_id: str
    attempt_index: int
    outcome: Outcome
    final: bool
    report: LoadReport | None
    result: bytes = b""


class AttemptStarted(NamedTuple):
    """An attempt has started to run."""

    request_id: str
    attempt_index: int


class AttemptProgressed(NamedTuple):
    """An attempt has done a share, from 0 to 1, of its work."""

    request_id: str
    attempt_index: int
    share: float


class ResponseStreaming(NamedTuple):
    """An attempt's response is on its way to the client."""

    request_id: str
    attempt_index: int


class ClientLeft(NamedTuple):
    """The client of a request has disconnected."""

    request_id: str


class ProbeEnded(NamedTuple):
    """A probe has ended.

    Attributes:
        server: the server probed.
        outcome: how it ended.
        lag_ms: how old the report is.
        report: the server's load report; None for none.
    """

    server: str
    outcome: Outcome
    lag_ms: float
    report: LoadReport | None


class GossipReceived(NamedTuple):
    """Another node's message."""

    peer: int
    message: bytes


class TimerFired(NamedTuple):
    """A timer has come due."""

    timer_id: int


class ShutdownBegun(NamedTuple):
    """The node shuts down: it must have answered all requests once so much time has passed."""

    left_ms: float


Event = (
    NodeStarted
    | SettingsChanged
    | EndpointListUpdate
    | HistoryRecovered
    | PeerAttempt
    | PeerAttemptNeverRan
    | HistoryUnavailable
    | HistoryAvailable
    | NotDurable
    | RequestArrived
    | AttemptEnded
    | AttemptStarted
    | AttemptProgressed
    | ResponseStreaming
    | ClientLeft
    | ProbeEnded
    | GossipReceived
    | TimerFired
    | ShutdownBegun
)
