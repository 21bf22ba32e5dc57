"""Events: the typed values by which an adapter reports to the reducer what has happened.

Times are milliseconds on the node's clock unless stated otherwise. Requests are identified by their id,
attempts by their index among their request's attempts, servers by name.
"""

from typing import NamedTuple

from marlseam.core.idempotency import AttemptRecord
from marlseam.decisions.types import EndpointState, ListUpdateKind, LoadReport, Outcome, Request, Settings


class EndpointEntry(NamedTuple):
    """One entry of the endpoint list.

    Attributes:
        server: the name of the server.
        state: whether the server is ready, draining or gone.
        kind, zone, cell: indices by the settings; -1 where the list has none.
        process_started_ms: when the server's process started; None where the list has no start time.
        weight: the server's weight; None where the list has none.
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
    """The node's settings have changed; every index assigned before keeps its meaning."""

    settings: Settings


class EndpointListUpdate(NamedTuple):
    """An update of the endpoint list, or a failure to get one.

    Attributes:
        update_kind: whether the update is a whole list, changes, a cached list, or a failure.
        entries: the entries of the update.
        doubt: the probability that an entry of a cached list is outdated.
    """

    update_kind: ListUpdateKind
    entries: list[EndpointEntry]
    doubt: float = 0.0


class HistoryRecovered(NamedTuple):
    """Requests, all or a part, that may have run before the node started.

    Attributes:
        records: by idempotency key, all attempts under the key in the order sent.
    """

    records: dict[str, list[AttemptRecord]]


class PeerAttempt(NamedTuple):
    """Another process of this node sends a request under an idempotency key; it may have run from now on."""

    key: str
    record: AttemptRecord


class PeerAttemptNeverRan(NamedTuple):
    """An attempt of another process of this node provably never ran."""

    key: str
    server: str
    sent_ms: float


class HistoryUnavailable(NamedTuple):
    """The records of a source (another process, the store) of requests that may have run are missing here.

    Attributes:
        source: the name of the source.
        since_ms: the latest time at which the source may have sent a request; None while it may send more.
    """

    source: str
    since_ms: float | None = None


class HistoryAvailable(NamedTuple):
    """The records of a source have become available."""

    source: str


class NotDurable(NamedTuple):
    """An attempt was not sent, as the record that it may run is not durable or the node may not serve."""

    request_id: str
    attempt_index: int


class RequestArrived(NamedTuple):
    """A client has sent a request."""

    request: Request


class AttemptEnded(NamedTuple):
    """An attempt has ended.

    Attributes:
        request_id, attempt_index: the attempt.
        outcome: how the attempt ended.
        final: whether the request needs no other attempt, as this result or an earlier one answers it.
        report: the server's load report that came with the response; None for none.
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
    """The response of an attempt is being sent to the client."""

    request_id: str
    attempt_index: int


class ClientLeft(NamedTuple):
    """The client of a request has disconnected."""

    request_id: str


class ProbeEnded(NamedTuple):
    """A probe has ended.

    Attributes:
        server: the server that was probed.
        outcome: how the probe ended.
        lag_ms: the age of the report.
        report: the server's load report; None for none.
    """

    server: str
    outcome: Outcome
    lag_ms: float
    report: LoadReport | None


class GossipReceived(NamedTuple):
    """A gossip message from another node; `peer` is the number of that node."""

    peer: int
    message: bytes


class TimerFired(NamedTuple):
    """The timer of a `SetTimer` effect has expired."""

    timer_id: int


class ShutdownBegun(NamedTuple):
    """The node shuts down and must have answered all requests within `left_ms`."""

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
