"""What nodes have used of the network and the processor, in total, in a span of time and for each change."""

from dataclasses import astuple, dataclass
from typing import Self


@dataclass(frozen=True)
class Usage:
    """Figures that only grow; all fields are numbers.

    Attributes:
        time_ms: the time at which they were read, or the length of a span.
    """

    time_ms: float

    @property
    def seconds(self) -> float:
        """The length of a span in s."""
        return self.time_ms / 1000.0

    def since(self, earlier: Self) -> Self:
        """Return what was used since an earlier reading."""
        pairs = zip(astuple(self), astuple(earlier), strict=True)
        return type(self)(*(now - before for now, before in pairs))

    def per_second(self) -> Self:
        """Return the mean rates of a span."""
        return type(self)(*(value / self.seconds for value in astuple(self)))

    def per_change(self, idle_rates: Self, changes: int) -> Self:
        """Return what each change of a span used beyond what an idle node uses in that time."""
        pairs = zip(astuple(self), astuple(idle_rates), strict=True)
        return type(self)(*((value - rate * self.seconds) / max(1, changes) for value, rate in pairs))


@dataclass(frozen=True)
class SimulatedUsage(Usage):
    """Usage of simulated nodes.

    Attributes:
        bytes, datagrams: sent, the mean of all nodes.
        values_read: settings' values that nodes decoded as versions reached them, over all but the publisher.
        contents_applied: versions that nodes began to act on, over all but the publisher.
        cpu_ms: processor time, the mean of those that neither publish nor vote.
        publisher_cpu_ms, publisher_bytes: of the node that publishes.
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
        bytes, datagrams: sent, the mean of all nodes.
        cpu_ms: processor time, the mean of those that do not vote.
        writer_cpu_ms: processor time of the processes that write these nodes' ledgers, their mean.
        memory_mb: memory in use, the mean of those that do not vote.
    """

    bytes: float
    datagrams: float
    cpu_ms: float
    writer_cpu_ms: float
    memory_mb: float
