"""The records of a run: search for gaps in the streams, and an index by try, node and server."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import pairwise
from typing import Any, NamedTuple, TypeVar

from marlseam.records import (
    AttemptCancelled,
    AttemptEnded,
    AttemptReceived,
    AttemptRefused,
    AttemptStarted,
    ClientLeft,
    NodeStateChanged,
    Record,
    ServerStateNotified,
    StreamBegan,
    StreamEnded,
    TryAnswered,
    TrySent,
)

RecordType = TypeVar("RecordType", bound=Record)

# Parts of a run of which each must have a stream with its first record; `executors` are servers, `roster` is
# discovery.
REQUIRED_SYSTEMS = ("clients", "executors", "roster", "driver")
# Outcomes that are an answer of a node; `deferred` is a rejected try, `aborted` one that failed.
FINAL_ANSWERS = ("completed", "deferred", "aborted")
UNSHOWN_FIELDS = ("n", "t", "by", "id", "first")  # not among the NAME=VALUE pairs of a timeline's line


class NodePause(NamedTuple):
    """A period in which the operating system did not schedule a node's process, in ms of the run."""

    from_ms: float
    until_ms: float


def find_gaps(records: Iterable[Record]) -> list[str]:
    """Return a text for each gap: missing first, last or numbered records, and systems without a stream."""
    streams: dict[str, list[Record]] = defaultdict(list)
    for record in records:
        streams[record.by].append(record)
    gaps: list[str] = []
    begun_systems: set[str] = set()
    for writer, stream in sorted(streams.items()):
        stream.sort(key=lambda record: record.n)
        begin = stream[0]
        if begin.n == 1 and isinstance(begin, StreamBegan):
            begun_systems.add(begin.system)
        gaps += _gaps_of_stream(writer, stream)
    return gaps + [
        f"{system}: no stream with its first record"
        for system in REQUIRED_SYSTEMS
        if system not in begun_systems
    ]


def _gaps_of_stream(writer: str, stream: Sequence[Record]) -> list[str]:
    """Return the gaps of one stream, whose records are sorted by number."""
    gaps = []
    if stream[0].n != 1 or not isinstance(stream[0], StreamBegan):
        gaps.append(f"{writer}: first record of the stream missing")
    if not isinstance(stream[-1], StreamEnded):
        gaps.append(f"{writer}: last record of the stream missing")
    after_gap = [later.n for earlier, later in pairwise(stream) if later.n != earlier.n + 1]
    if after_gap:
        gaps.append(
            f"{writer}: {len(after_gap)} gaps in the record numbers, the first before number {after_gap[0]}"
        )
    return gaps


class RunRecords:
    """All records of a run in order of time, indexed by try, node and server.

    The tries of a request (its first send and its client retries) share the id of the first. An attempt is
    one send of a try by a node to a server. Times are ms of the run.

    Attributes:
        records: all records, sorted by time, writer and number.
        rules: the settings of the rules, from the driver's stream.
        slack_ms: by how much two records may appear out of order, as clocks differ and messages take time.
        tries: each try by its id.
        tries_by_first: the tries of each request, by the id of the first.
        answers: the answers that a try's client recorded, with `lost` and `unsent`, by the try's id.
        quits: the record that a try's client left, by the try's id.
        attempts: the attempts of a try that servers received, by the try's id.
        runs: the starts of a try's attempts on servers, by the try's id.
        attempt_ends: the rejections, ends and cancellations of a try's attempts, by the try's id; recorded by
            the server, cancellations by the server or the network.
        state_notices: the notifications of a server's state to a node, sorted by time, by node and server.
        node_kills: the times at which a node was killed or ended, by node.
        node_pauses: the periods in which a node was stopped, by node.
    """

    def __init__(self, records: Iterable[Record]) -> None:
        """Index a run's records."""
        self.records = sorted(records, key=lambda record: (record.t, record.by, record.n))
        self.rules: dict[str, Any] = {}
        self.tries: dict[str, TrySent] = {}
        self.tries_by_first: dict[str, list[TrySent]] = defaultdict(list)
        self.answers: dict[str, list[TryAnswered]] = defaultdict(list)
        self.quits: dict[str, ClientLeft] = {}
        self.attempts: dict[str, list[AttemptReceived]] = defaultdict(list)
        self.runs: dict[str, list[AttemptStarted]] = defaultdict(list)
        self.attempt_ends: dict[str, list[AttemptRefused | AttemptEnded | AttemptCancelled]] = defaultdict(
            list
        )
        self.state_notices: dict[tuple[str, str], list[ServerStateNotified]] = defaultdict(list)
        self.node_kills: dict[str, list[float]] = defaultdict(list)
        self.node_pauses: dict[str, list[NodePause]] = defaultdict(list)
        for record in self.records:
            self._index(record)
        self.slack_ms = float(self.rules.get("slack_ms", 0.0))

    def _index(self, record: Record) -> None:
        """Add a record to the index of its type; types that no index holds are skipped."""
        match record:
            case StreamBegan():
                self.rules = record.rules or self.rules
            case TrySent():
                self.tries[record.id] = record
                self.tries_by_first[record.first].append(record)
            case TryAnswered():
                self.answers[record.id].append(record)
            case ClientLeft():
                self.quits[record.id] = record
            case AttemptReceived():
                self.attempts[record.id].append(record)
            case AttemptStarted():
                self.runs[record.id].append(record)
            case AttemptRefused() | AttemptEnded() | AttemptCancelled():
                self.attempt_ends[record.id].append(record)
            case ServerStateNotified():
                self.state_notices[record.node, record.executor].append(record)
            case NodeStateChanged():
                self._index_node_state(record)

    def _index_node_state(self, record: NodeStateChanged) -> None:
        """Add a node's pause, kill or end to its index."""
        if record.state == "stopped":
            self.node_pauses[record.node].append(NodePause(record.t, record.until))
        elif record.state in ("killed", "ended"):
            self.node_kills[record.node].append(record.t)

    def of_type(self, record_type: type[RecordType]) -> list[RecordType]:
        """Return all records of exactly one type, in order."""
        return [record for record in self.records if type(record) is record_type]

    def final_answers(self, try_id: str) -> list[TryAnswered]:
        """Return a try's final answers, in order; a correct dispatcher sends at most one."""
        return [answer for answer in self.answers.get(try_id, ()) if answer.how in FINAL_ANSWERS]

    def final_answer(self, try_id: str) -> TryAnswered | None:
        """Return a try's first final answer, None without one."""
        return next(iter(self.final_answers(try_id)), None)

    def ends_at_server(
        self, try_id: str, server: str
    ) -> list[AttemptRefused | AttemptEnded | AttemptCancelled]:
        """Return the rejections, ends and cancellations of a try's attempts at one server, in order.

        A cancellation recorded by the network names its server in `executor`; all others are recorded by the
        server itself.
        """
        return [
            end
            for end in self.attempt_ends.get(try_id, ())
            if server in (end.by, getattr(end, "executor", ""))
        ]

    def timeline(self, first_id: str) -> list[str]:
        """Return a line for each record of a request's tries; `first_id` is the id of its first try."""
        ids = {row.id for row in self.tries_by_first.get(first_id, ())} | {first_id}
        return [
            _timeline_line(record, record_id)
            for record in self.records
            if (record_id := getattr(record, "id", None)) in ids
        ]


def _timeline_line(record: Record, try_id: str) -> str:
    """Return a record of a try as a readable line of text."""
    fields = {name: getattr(record, name) for name in record.__struct_fields__ if name not in UNSHOWN_FIELDS}
    shown = " ".join(f"{name}={value}" for name, value in fields.items() if value not in (None, ""))
    what = record.__struct_config__.tag
    return f"{record.t:10.1f} ms  {record.by:<16} {what:<9} {try_id} {shown}".rstrip()
