"""The records of a run: what happened, as written by whoever it happened to, one JSON object a line.

Every writer (clients, servers, endpoint list, network, driver) leaves one stream: a `StreamBegan`, its
records with a number that counts up from 1, and a `StreamEnded` with the last number, so that the judge can
tell a whole stream from one with gaps. The names of the structs' fields and their tags are those of the
files.

A request and its client retries are tries; `id` is a try's id, `first` that of the request's first try. An
attempt is one send of a try to a server. Times are float milliseconds since the run's zero, on one clock.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO, Any, NamedTuple

import msgspec

VERSION = 1


class Record(msgspec.Struct, tag_field="what", kw_only=True):
    """One thing that happened.

    Attributes:
        n: its number in the writer's stream, from 1.
        t: when, in ms.
        by: the writer's name.
    """

    n: int = 0
    t: float
    by: str


class StreamBegan(Record, tag="begin"):
    """A stream begins.

    `rules` are the run's settings as the judge reads them, in the driver's stream alone.
    """

    version: int = VERSION
    system: str = ""
    rules: dict[str, Any] = {}


class StreamEnded(Record, tag="end"):
    """A stream ends whole."""


# Clients.


class TrySent(Record, tag="tried"):
    """A client sent a try.

    Turnarounds count from `intended`; `credit` is the priority weight of the request.
    """

    id: str
    first: str
    number: int
    node: str
    zone: str
    type: str
    intended: float  # when the first try should have gone out
    expires: float  # the deadline, the same for all tries
    promised: float  # the latency objective: the turnaround that earns the whole credit, in ms
    credit: float
    late_credit: float  # share of it for an answer past the latency objective
    receipt: str | None = None  # the idempotency key
    key: str | None = None


class TryAnswered(Record, tag="answered"):
    """A try's final answer came: completed, deferred, aborted; or it ended without: lost, unsent."""

    id: str
    how: str
    advice_ms: float = 0.0


class ClientLeft(Record, tag="quit"):
    """A client left a try without an answer; `early` if before its deadline."""

    id: str
    early: bool = False


class GeneratorLagged(Record, tag="lagged"):
    """A load generator lagged in some second: by how many ms at most, and how many sends were late."""

    most: float
    sends: int


# Servers.


class AttemptReceived(Record, tag="took"):
    """A server received an attempt whole."""

    id: str
    node: str = ""
    born: float | None = None
    load: float = 0.0  # share of what the server bears in slow start that it has received, with this attempt
    acting: str = ""  # the configuration version that its node serves by, as the node says


class AttemptRefused(Record, tag="refused"):
    """A server rejected an attempt, or handed it back unstarted: it never ran."""

    id: str


class AttemptStarted(Record, tag="ran"):
    """An attempt began to run; without effect where the server knew its idempotency key and dropped it."""

    id: str
    effect: bool = True


class AttemptEnded(Record, tag="ended"):
    """A run ended: done, failed, lost; `work` is the standard work spent on it, in ms times slots."""

    id: str
    how: str
    work: float = 0.0


class AttemptCancelled(Record, tag="withdrawn"):
    """A node cancelled an attempt, as the server saw it, or the network on its link to `executor`."""

    id: str
    executor: str = ""


class ProbeAnswered(Record, tag="asked"):
    """A server answered a probe."""


class ServerStarted(Record, tag="born"):
    """A server's process started, in slow start."""


class ServerOverloaded(Record, tag="fell"):
    """A server in slow start was overloaded; `load` is the share of what it bears that it received."""

    load: float


# Endpoint list, network, driver.


class ServerStateHeard(Record, tag="told"):
    """A node was told a server's state by the endpoint list: ready, draining, gone."""

    node: str
    executor: str
    state: str


class EndpointListCalled(Record, tag="called"):
    """A node called the endpoint list; `served` unless that was down or too many calls waited."""

    node: str
    served: bool


class LinkChanged(Record, tag="cut"):
    """The network cut or mended the link between two names or zones."""

    a: str
    b: str
    mended: bool = False


class FaultBegan(Record, tag="trouble"):
    """A fault of the schedule began; it ends at `until`."""

    kind: str
    until: float
    targets: list[str]
    size: float = 0.0


class NodeStateChanged(Record, tag="node"):
    """A dispatcher node changed its state."""

    node: str
    state: str  # began, closing, killed, ended; stopped: not run by the operating system until `until`
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
    | ServerStateHeard
    | LinkChanged
    | FaultBegan
    | NodeStateChanged
)
ENCODER = msgspec.json.Encoder()
DECODER: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)


class StreamWriter:
    """Writes one stream to a binary file, or holds it in memory where there is none.

    Attributes:
        by: the writer's name.
        file: where records go, None to hold them in memory.
        records: those so far, where there is no file.
    """

    def __init__(
        self, by: str, system: str, file: IO[bytes] | None = None, rules: dict[str, Any] | None = None
    ) -> None:
        """Begin a stream; `rules` are the run's settings for the judge, in the driver's stream alone."""
        self.by, self.file = by, file
        self.records: list[Record] = []
        self._last_number = 0
        self.add(StreamBegan(t=0.0, by=by, system=system, rules=rules or {}))

    def add(self, record: Record) -> None:
        """Write a record under the stream's next number."""
        self._last_number += 1
        record.n = self._last_number
        if self.file is None:
            self.records.append(record)
        else:
            self.file.write(ENCODER.encode(record) + b"\n")

    def end(self, at_ms: float) -> None:
        """End the stream whole."""
        self.add(StreamEnded(t=at_ms, by=self.by))
        if self.file is not None:
            self.file.flush()


class RecordStreams:
    """The streams of one process: a file each in a folder, or all in memory; `end` closes them whole.

    Attributes:
        folder: where the files go, None to keep all in memory.
        system: which part of the run the process is: clients, executors, roster, network or driver.
        rules: the run's settings for the judge, None in any stream but the driver's.
        writers: the streams so far, by the writer's name.
    """

    def __init__(self, folder: Path | None, system: str, rules: dict[str, Any] | None = None) -> None:
        """Make it without a stream."""
        self.folder, self.system, self.rules = folder, system, rules
        self.writers: dict[str, StreamWriter] = {}

    def of(self, by: str) -> StreamWriter:
        """Return the stream of a writer, begun if it is new."""
        if by not in self.writers:
            file = None
            if self.folder is not None:
                file = open(self.folder / f"{self.system}-{by}.jsonl", "wb")  # noqa: SIM115 - closed by `end`
            self.writers[by] = StreamWriter(by, self.system, file, self.rules)
        return self.writers[by]

    def end(self, at_ms: float) -> None:
        """End all streams whole."""
        for writer in self.writers.values():
            writer.end(at_ms)
            if writer.file is not None:
                writer.file.close()


def read_records(lines: Iterable[bytes]) -> Iterator[Record]:
    """Yield the records of a stream; raise ValueError with the line's number for a line that is none."""
    for number, line in enumerate(lines, 1):
        try:
            yield DECODER.decode(line)
        except msgspec.MsgspecError as error:
            raise ValueError(f"line {number}: {error}") from None


class FolderRecords(NamedTuple):
    """The records of a folder's streams, and what was wrong with the files, a text each."""

    records: list[Record]
    problems: list[str]


def read_folder(folder: Path) -> FolderRecords:
    """Return all records of a folder's streams; a file with a line that is no record is left out whole."""
    found = FolderRecords([], [])
    for path in sorted(folder.glob("*.jsonl")):
        with path.open("rb") as file:
            try:
                found.records.extend(list(read_records(file)))
            except ValueError as error:
                found.problems.append(f"{path.name}: {error}")
    return found
