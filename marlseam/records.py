"""The records of a run: the events that clients, servers and others observed, one JSON object per line.

Each writer (clients, servers, endpoint list, network, driver) writes one stream: a `StreamBegan`, its records
numbered from 1 without gaps, and a `StreamEnded` with the last number. By the numbers the check of a run
(`marlseam.verification`) distinguishes a complete stream from one with gaps. Fields and tags of the structs
are stored in the files under their names; there `executor` is a server, `roster` discovery with its endpoint
list, `receipt` an idempotency key and `credit` a priority weight.

A try is one send of a request by its client: the first, or a client retry. `id` is the id of a try, `first`
the id of the first try of its request. An attempt is one send of a try by a node to a server. Times are float
milliseconds since the run's zero, on one clock.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO, Any, NamedTuple

import msgspec

VERSION = 1


class Record(msgspec.Struct, tag_field="what", kw_only=True):
    """One event of a run.

    Attributes:
        n: the number of the record in its stream, counted from 1.
        t: the time of the event, in ms of the run.
        by: the name of the writer: for a server's records the server's name.
    """

    n: int = 0
    t: float
    by: str


class StreamBegan(Record, tag="begin"):
    """The first record of a stream.

    Attributes:
        version: the version of the format.
        system: the part of the run that the writer belongs to: clients, executors, roster, network or driver.
        rules: the settings of the rules for this run; only in the driver's stream, empty in all others.
    """

    version: int = VERSION
    system: str = ""
    rules: dict[str, Any] = {}


class StreamEnded(Record, tag="end"):
    """The last record of a complete stream."""


# Clients.


class TrySent(Record, tag="tried"):
    """A client sent a try.

    Latency is measured from `intended`; `credit` is the priority weight of the request.
    """

    id: str
    first: str
    number: int  # 0 for the first try, 1 for the first retry
    node: str
    zone: str
    type: str
    intended: float  # when the first try was to be sent, in ms of the run
    expires: float  # the deadline in ms of the run, the same for all tries of the request
    promised: float  # the latency objective in ms: an answer within it earns the whole credit
    credit: float
    late_credit: float  # the share of `credit` for an answer after the latency objective
    receipt: str | None = None  # the idempotency key
    key: str | None = None  # the key whose requests may have to run in order


class TryAnswered(Record, tag="answered"):
    """A client received the answer to a try, or its connection ended without one.

    Attributes:
        id: the id of the try.
        how: `completed`; `deferred`: rejected, to be retried; `aborted`: any other answer, the try may have
            run; `lost`: the connection ended without an answer; `unsent`: no connection, the try never left.
        advice_ms: the Retry-After of the answer in ms, 0 for none.
    """

    id: str
    how: str
    advice_ms: float = 0.0


class ClientLeft(Record, tag="quit"):
    """A client left before its try was answered, at the deadline or, if `early`, before it."""

    id: str
    early: bool = False


class GeneratorLagged(Record, tag="lagged"):
    """A load generator lagged in the second from `t` on: `sends` late sends, by at most `most` ms."""

    most: float
    sends: int


# Servers.


class AttemptReceived(Record, tag="took"):
    """A server received a whole attempt and accepts or rejects it.

    Attributes:
        id: the id of the attempt's try.
        node: the name of the node that sent it, empty where the server cannot identify the node.
        born: when the server's process started in ms of the run, None if that was before the run.
        load: in slow start the work received within the rule's window, with this attempt, as a share of the
            work that overloads the server; else 0.
        acting: the configuration version that the sending node serves by, as the attempt states it.
    """

    id: str
    node: str = ""
    born: float | None = None
    load: float = 0.0
    acting: str = ""


class AttemptRefused(Record, tag="refused"):
    """A server rejected an attempt, or returned it before its start: it never ran."""

    id: str


class AttemptStarted(Record, tag="ran"):
    """An attempt began to run; `effect` is false if the server had seen its idempotency key before."""

    id: str
    effect: bool = True


class AttemptEnded(Record, tag="ended"):
    """An attempt that ran, or waited at a server that crashed, ended.

    Attributes:
        id: the id of the attempt's try.
        how: `done`, `failed`, or `lost` with the server's process.
        work: the standard work spent on it, in ms times slots.
    """

    id: str
    how: str
    work: float = 0.0


class AttemptCancelled(Record, tag="withdrawn"):
    """A node cancelled an attempt.

    Written by the server that noticed it, or by the network, which names the server in `executor`.
    """

    id: str
    executor: str = ""


class ProbeAnswered(Record, tag="asked"):
    """A server answered a probe."""


class ServerStarted(Record, tag="born"):
    """A server's process started and began its slow start."""


class ServerOverloaded(Record, tag="fell"):
    """A server in slow start was overloaded; `load` is the work received as a share of its bound, above 1."""

    load: float


# Endpoint list, network, driver.


class ServerStateNotified(Record, tag="told"):
    """Discovery notified a node of a server's state in the endpoint list: ready, draining or gone."""

    node: str
    executor: str
    state: str


class EndpointListCalled(Record, tag="called"):
    """A node called discovery for its endpoint list; not `served` in an outage or if it timed out."""

    node: str
    served: bool


class LinkChanged(Record, tag="cut"):
    """The network cut the link between two names or zones, or restored it (`mended`)."""

    a: str
    b: str
    mended: bool = False


class FaultBegan(Record, tag="trouble"):
    """A fault of the schedule began; it ends at `until`, in ms of the run."""

    kind: str
    until: float
    targets: list[str]
    size: float = 0.0


class NodeStateChanged(Record, tag="node"):
    """A dispatcher node changed its state."""

    node: str
    state: str  # began, closing, killed, ended; stopped: not scheduled by the operating system until `until`
    zone: str = ""
    until: float = 0.0


AnyRecord = (
    StreamBegan
    | StreamEnded
    | TrySent
    | TryAnswered
    | ClientLeft
    | GeneratorLagged
    | AttemptReceived
    | AttemptRefused
    | AttemptStarted
    | AttemptEnded
    | AttemptCancelled
    | ProbeAnswered
    | ServerStarted
    | ServerOverloaded
    | EndpointListCalled
    | ServerStateNotified
    | LinkChanged
    | FaultBegan
    | NodeStateChanged
)
ENCODER = msgspec.json.Encoder()
DECODER: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)


class StreamWriter:
    """Writes one stream to a binary file, or keeps it in memory.

    Attributes:
        by: the writer's name.
        file: the file to write to, None to keep the records in memory.
        records: the records so far; empty where there is a file.
    """

    def __init__(
        self, by: str, system: str, file: IO[bytes] | None = None, rules: dict[str, Any] | None = None
    ) -> None:
        """Begin a stream; `rules` are the settings of the rules, which only the driver's stream holds."""
        self.by, self.file = by, file
        self.records: list[Record] = []
        self._last_number = 0
        self.add(StreamBegan(t=0.0, by=by, system=system, rules=rules or {}))

    def add(self, record: Record) -> None:
        """Assign the stream's next number to a record and write it."""
        self._last_number += 1
        record.n = self._last_number
        if self.file is None:
            self.records.append(record)
        else:
            self.file.write(ENCODER.encode(record) + b"\n")

    def end(self, at_ms: float) -> None:
        """Write the stream's last record and flush the file; the file stays open."""
        self.add(StreamEnded(t=at_ms, by=self.by))
        if self.file is not None:
            self.file.flush()


class RecordStreams:
    """The streams of one process: one file each in a folder, or all in memory.

    Attributes:
        folder: the folder for the files, None to keep all streams in memory.
        system: the part of the run that the process plays: clients, executors, roster, network or driver.
        rules: the settings of the rules for this run, None in every process but the driver.
        writers: the streams so far, by the writer's name.
    """

    def __init__(self, folder: Path | None, system: str, rules: dict[str, Any] | None = None) -> None:
        """Make an object without streams; they begin on the first call of `of` for a writer."""
        self.folder, self.system, self.rules = folder, system, rules
        self.writers: dict[str, StreamWriter] = {}

    def of(self, by: str) -> StreamWriter:
        """Return the stream of a writer; begin it on the first call for that writer."""
        if by not in self.writers:
            file = None
            if self.folder is not None:
                file = open(self.folder / f"{self.system}-{by}.jsonl", "wb")  # noqa: SIM115 - closed by `end`
            self.writers[by] = StreamWriter(by, self.system, file, self.rules)
        return self.writers[by]

    def end(self, at_ms: float) -> None:
        """Write the last record of all streams and close their files."""
        for writer in self.writers.values():
            writer.end(at_ms)
            if writer.file is not None:
                writer.file.close()


def read_records(lines: Iterable[bytes]) -> Iterator[Record]:
    """Yield the records of a stream; raise ValueError with the line's number at an invalid record."""
    for number, line in enumerate(lines, 1):
        try:
            yield DECODER.decode(line)
        except msgspec.MsgspecError as error:
            raise ValueError(f"line {number}: {error}") from None


class FolderRecords(NamedTuple):
    """The records of a folder's streams, and one text for each file that could not be read as records."""

    records: list[Record]
    problems: list[str]


def read_folder(folder: Path) -> FolderRecords:
    """Return all records of the `.jsonl` files of a folder.

    A file with an invalid record contributes none of its records, and one text to `problems`.
    """
    found = FolderRecords([], [])
    for path in sorted(folder.glob("*.jsonl")):
        with path.open("rb") as file:
            try:
                found.records.extend(list(read_records(file)))
            except ValueError as error:
                found.problems.append(f"{path.name}: {error}")
    return found
