"""What happened, as written down by whoever it happened to.

One JSON object a line, a struct for each kind.

Every writer (clients, executors, roster, network, driver) leaves one stream: a `Begin`, its records with a
number that counts up from 1, and an `End` with the last number, so that a judge can tell a whole stream from
one with holes. Times are float milliseconds since the run's zero, on one clock. `first` is the id of a work
unit's first try.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO

import msgspec

VERSION = 1


class Record(msgspec.Struct, tag_field="what", kw_only=True):
    """One thing that happened: its number in the writer's stream, its time, and the writer's name."""

    n: int = 0
    t: float
    by: str


class Begin(Record, tag="begin"):
    """A stream begins.

    `rules` are the run's settings as the judge reads them, in the driver's stream alone.
    """

    version: int = VERSION
    system: str = ""
    rules: dict = {}


class End(Record, tag="end"):
    """A stream ends whole."""


# Clients.


class Tried(Record, tag="tried"):
    """A client's try went out.

    Turnarounds in ms count from `intended`, credit is what the first try asked for.
    """

    id: str
    first: str
    number: int
    node: str
    zone: str
    type: str
    intended: float  # when the first try should have gone out
    expires: float  # the hard limit, the same for all tries
    promised: float  # the turnaround that earns the whole credit, in ms
    credit: float
    late_credit: float  # share of it for an answer past the promise
    receipt: str | None = None
    key: str | None = None


class Answered(Record, tag="answered"):
    """A try's final answer came: completed, deferred, aborted; or it ended without: lost, unsent."""

    id: str
    how: str
    advice_ms: float = 0.0


class Quit(Record, tag="quit"):
    """A client went away from a try without an answer; `early` if before its hard limit."""

    id: str
    early: bool = False


class Lagged(Record, tag="lagged"):
    """A generator was late by itself in some second: the most in ms, and how many sends it touched."""

    most: float
    sends: int


# Executors.


class Took(Record, tag="took"):
    """An allocation's last byte came and the executor has it."""

    id: str
    node: str = ""
    born: float | None = None
    load: float = 0.0  # share of what this cold executor can bear over the rule's window, with this one
    acting: str = ""  # on what it stands, as its node told it where it is of a fleet


class Refused(Record, tag="refused"):
    """An allocation was turned away or handed back unstarted: it never ran."""

    id: str


class Ran(Record, tag="ran"):
    """An allocation began to run.

    Without effect where the executor knew its receipt and dropped the repeat.
    """

    id: str
    effect: bool = True


class Ended(Record, tag="ended"):
    """A run ended: done, failed, lost; `work` is the standard work spent on it, in ms times slots."""

    id: str
    how: str
    work: float = 0.0


class Withdrawn(Record, tag="withdrawn"):
    """A node gave an allocation up.

    As the executor named by `by` saw it, or the network's lines to `executor`.
    """

    id: str
    executor: str = ""


class Asked(Record, tag="asked"):
    """A probe was answered."""


class Born(Record, tag="born"):
    """A process of an executor started, cold."""


class Fell(Record, tag="fell"):
    """A cold executor was pushed over: `load` is the share of what it can bear that it was sent."""

    load: float


# Roster, network, driver.


class Told(Record, tag="told"):
    """The roster told a node of an executor's state: ready, draining, gone."""

    node: str
    executor: str
    state: str


class Called(Record, tag="called"):
    """A node called the roster; `served` unless it was down or its line too long."""

    node: str
    served: bool


class Cut(Record, tag="cut"):
    """The network cut or mended a line between two names or zones."""

    a: str
    b: str
    mended: bool = False


class Trouble(Record, tag="trouble"):
    """A trouble of the schedule began; ends at `until`."""

    kind: str
    until: float
    targets: list[str]
    size: float = 0.0


class Node(Record, tag="node"):
    """A node of the dispatcher's began, ended or was killed."""

    node: str
    state: str  # began, closing, killed, ended; stopped: the system gave it no time, until then
    zone: str = ""
    until: float = 0.0


AnyRecord = (
    Begin
    | End
    | Tried
    | Answered
    | Quit
    | Lagged
    | Took
    | Refused
    | Ran
    | Ended
    | Withdrawn
    | Asked
    | Born
    | Fell
    | Called
    | Told
    | Cut
    | Trouble
    | Node
)
ENCODER, DECODER = msgspec.json.Encoder(), msgspec.json.Decoder(AnyRecord)


class Writer:
    """Writes one stream to a binary file, or keeps it in `kept` where there is none."""

    def __init__(
        self, by: str, system: str, file: IO[bytes] | None = None, rules: dict | None = None
    ) -> None:
        self.by, self.file, self.count, self.kept = by, file, 0, list[Record]()
        self.add(Begin(t=0.0, by=by, system=system, rules=rules or {}))

    def add(self, record: Record) -> None:
        """Write a record under the stream's next number."""
        self.count += 1
        record.n = self.count
        if self.file is None:
            self.kept.append(record)
        else:
            self.file.write(ENCODER.encode(record) + b"\n")

    def end(self, t: float) -> None:
        """End the stream whole."""
        self.add(End(t=t, by=self.by))
        if self.file is not None:
            self.file.flush()


class Streams:
    """Makes the writers of one process: by file in a folder, or all in memory; `end` closes them whole."""

    def __init__(self, folder: Path | None, system: str, rules: dict | None = None) -> None:
        self.folder, self.system, self.rules = folder, system, rules
        self.writers: dict[str, Writer] = {}

    def of(self, by: str) -> Writer:
        """Return the writer under a name."""
        if by not in self.writers:
            file = None
            if self.folder is not None:
                file = open(self.folder / f"{self.system}-{by}.jsonl", "wb")  # noqa: SIM115 - closed by `end`
            self.writers[by] = Writer(by, self.system, file, self.rules)
        return self.writers[by]

    def end(self, t: float) -> None:
        """End all streams whole."""
        for writer in self.writers.values():
            writer.end(t)
            if writer.file is not None:
                writer.file.close()


def read(lines: Iterable[bytes]) -> Iterator[Record]:
    """Read records; a line that is none raises ValueError with its number."""
    for number, line in enumerate(lines, 1):
        try:
            yield DECODER.decode(line)
        except msgspec.MsgspecError as error:
            raise ValueError(f"line {number}: {error}") from None


def read_folder(folder: Path) -> tuple[list[Record], list[str]]:
    """Return all records of a folder's streams, and what is wrong with them.

    Holes, cut streams, odd lines.
    """
    found: list[Record] = []
    wrong: list[str] = []
    for path in sorted(folder.glob("*.jsonl")):
        with path.open("rb") as file:
            try:
                rows = list(read(file))
            except ValueError as error:
                wrong.append(f"{path.name}: {error}")
                continue
        found += rows
    return found, wrong
