"""Use of the network and the processor by nodes: in total, in a span of time, and per change."""

from dataclasses import astuple, dataclass
from typing import Self


@dataclass(frozen=True)
class Usage:
    """Counters that only grow, or their differences over a span of time; all fields are numbers.

    Attributes:
        time_ms: the time at which the counters were read, or the length of the span.
    """

    time_ms: float

    @property
    def seconds(self) -> float:
        """The length of the span in s."""
        return self.time_ms / 1000.0

    def since(self, earlier: Self) -> Self:
        """Return the usage since an earlier reading."""
        pairs = zip(astuple(self), astuple(earlier), strict=True)
        return type(self)(*(now - before for now, before in pairs))

    def per_second(self) -> Self:
        """Return the mean usage per second of a span."""
        return type(self)(*(value / self.seconds for value in astuple(self)))

    def per_change(self, idle_rates: Self, changes: int) -> Self:
        """Return the mean usage per change in a span, less the usage of an idle node in that time."""
        pairs = zip(astuple(self), astuple(idle_rates), strict=True)
        return type(self)(*((value - rate * self.seconds) / max(1, changes) for value, rate in pairs))


@dataclass(frozen=True)
class SimulatedUsage(Usage):
    """Usage of simulated nodes.

    Attributes:
        bytes, datagrams: bytes and datagrams sent, the mean of all nodes.
        values_read: settings values decoded from received versions, the sum of all nodes but the publisher.
        contents_applied: versions applied, the sum of all nodes but the publisher.
        cpu_ms: processor time, the mean of the nodes that are not voters; the publisher is a voter.
        publisher_cpu_ms, publisher_bytes: processor time of the publisher, and the bytes that it sent.
    """

    bytes: float
    datagrams: float
    values_read: float
    contents_applied: float
    cpu_ms: float
    publisher_cpu_ms: float
    publisher_bytes: float


@dataclass(frozen=True)
class RealUsage(Usage):
    """Usage of real nodes.

    Attributes:
        bytes, datagrams: bytes and datagrams sent, the mean of all nodes.
        cpu_ms: processor time, the mean of the nodes that are not voters.
        writer_cpu_ms: processor time of the writer processes of the same nodes' ledgers, the mean.
        memory_mb: resident memory at the time of reading, the mean of the nodes that are not voters.
    """

    bytes: float
    datagrams: float
    cpu_ms: float
    writer_cpu_ms: float
    memory_mb: float
