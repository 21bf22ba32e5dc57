"""What an adapter tells the reducer: each thing that happens, as one typed value.

Times are milliseconds on the node's clock unless a field says otherwise.
"""

from typing import NamedTuple

from marlseam.core.idempotency import AttemptRecord
from marlseam.decisions.types import EndpointState, ListUpdateKind, LoadReport, Outcome, Request, Settings


class EndpointEntry(NamedTuple):
    """One server as discovery lists it, under its name."""

    server: str
    state: EndpointState
    kind: int
    zone: int
    cell: int
    process_started_ms: float | None
    weight: float | None = None


class NodeStarted(NamedTuple):
    """The node starts, with its settings and its seed for chance."""

    settings: Settings
    seed: int


class SettingsChanged(NamedTuple):
    """The node's settings are others from now on; what had an index before keeps it."""

    settings: Settings


class EndpointListUpdate(NamedTuple):
    """Discovery's news; doubt is the chance that an entry of an old list is no longer true."""

    update_kind: ListUpdateKind
    entries: list[EndpointEntry]
    doubt: float = 0.0


class HistoryRecovered(NamedTuple):
    """What may have run before the node started, or a part of it: sendings by key, each key's whole."""

    traces: dict[str, list[AttemptRecord]]


class PeerAttempt(NamedTuple):
    """Another process of this node sends keyed work, which may have run from now on."""

    key: str
    trace: AttemptRecord


class PeerAttemptNeverRan(NamedTuple):
    """A sending of another process of this node provably never ran."""

    key: str
    server: str
    sent_ms: float


class HistoryUnavailable(NamedTuple):
    """It is not known which keyed work some source (another process, the store) has seen sent.

    `since_ms`: when the last of it went out at the latest; None while more may go out, or have gone out.
    """

    source: str
    since_ms: float | None = None


class HistoryAvailable(NamedTuple):
    """What a source has seen sent is known now."""

    source: str


class NotDurable(NamedTuple):
    """An attempt was not sent, as the record that it may run was not kept."""

    request_id: str
    attempt_index: int


class RequestArrived(NamedTuple):
    """A client has handed in a request."""

    request: Request


class AttemptEnded(NamedTuple):
    """An attempt has ended; final where the request has had its answer by then or through it."""

    request_id: str
    attempt_index: int
    outcome: Outcome
    final: bool
    report: LoadReport | None
    result: bytes = b""


class AttemptStarted(NamedTuple):
    """An attempt has begun to run."""

    request_id: str
    attempt_index: int


class AttemptProgressed(NamedTuple):
    """An attempt has come some share of its way."""

    request_id: str
    attempt_index: int
    share: float


class ResponseStreaming(NamedTuple):
    """An attempt's answer is on its way to the client."""

    request_id: str
    attempt_index: int


class ClientLeft(NamedTuple):
    """A request's client has gone."""

    request_id: str


class ProbeEnded(NamedTuple):
    """A probe has ended."""

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
    """The node must have answered all that it took once so much time has passed."""

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
