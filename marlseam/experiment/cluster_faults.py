"""The schedule of faults of a cluster: which fault is injected before which datagram of which node."""

from collections import Counter
from collections.abc import Collection
from typing import NamedTuple

from marlseam.cluster.checking import membership_schedules
from marlseam.cluster.checking.simulation import PERIOD_MS
from marlseam.cluster.membership_codec import DatagramKind, InvalidMessageError
from marlseam.cluster.membership_codec import read as read_membership_datagram
from marlseam.cluster.replication import messages
from marlseam.experiment import file
from marlseam.experiment.cluster_tables import ClusterFault, ClusterTable, FaultKind

CLUSTER_NAME = "rig"  # of the nodes' settings, and on each of their datagrams
DIRECTIONS = ("sends", "receives")
DUPLICATE_PROCESS = "twin"  # a fault of the simulation that real nodes have no counterpart for

# Numbers of kinds by name. Both protocols have an `ask`: the name stands for replication's, so that
# membership's cannot be a step of a schedule.
KINDS_BY_NAME = {kind.name.lower(): int(kind) for kind in (*DatagramKind, *messages.MessageKind)}


class StepKind(NamedTuple):
    """A kind of datagram that a node sends or receives."""

    node: str
    is_sent: bool
    kind: int


class Step(NamedTuple):
    """The n-th datagram of a kind that a node sends or receives, counted from 1."""

    kind: StepKind
    ordinal: int


def parse_step(fault: ClusterFault, names: Collection[str]) -> Step:
    """Return the step of a fault of a cluster with these nodes; raise FileError where there is none."""
    direction, kind, ordinal = fault.step.split()
    is_fault = fault.fault in list(FaultKind)
    if direction not in DIRECTIONS or not is_fault or kind not in KINDS_BY_NAME:
        raise file.FileError(f"fleet.faults: {fault} has no known step or fault")
    if fault.node not in names or (fault.fault == FaultKind.PAIR and fault.other not in names):
        raise file.FileError(f"fleet.faults: {fault} names no node")
    return Step(StepKind(fault.node, direction == "sends", KINDS_BY_NAME[kind]), int(ordinal))


def draw_faults(nodes: int, seed: int, period_ms: float) -> list[ClusterFault]:
    """Return the seed's schedule of `fleet hunt`, with times scaled to this cluster's protocol period."""
    faults = []
    for drawn in membership_schedules.schedule(nodes, seed):
        direction = "sends" if drawn.sends else "receives"
        faults.append(
            ClusterFault(
                node=drawn.node,
                step=f"{direction} {drawn.kind.name.lower()} {drawn.ordinal}",
                fault=FaultKind.HOLD.value if drawn.fault == DUPLICATE_PROCESS else drawn.fault,
                other=drawn.other,
                for_ms=drawn.for_ms * period_ms / PERIOD_MS,
            )
        )
    return faults


def kind_of(data: bytes, names: frozenset[str]) -> int | None:
    """Return the number of a datagram's kind, or None where the datagram is invalid."""
    try:
        if data[:1] == messages.DATAGRAM_PREFIX:
            return int(messages.kind_of(messages.read(data, CLUSTER_NAME, names).message))
        return int(read_membership_datagram(data, CLUSTER_NAME, names).kind)
    except InvalidMessageError:
        return None


class FaultSchedule:
    """Counts datagrams, and tells which fault is due before each.

    Attributes:
        pending: the faults that have not been injected, by step.
        is_counting: whether datagrams are counted; not before the run's zero.
    """

    def __init__(self, names: list[str], table: ClusterTable, seed: int) -> None:
        """Take a table's faults, or draw them by the seed where it has none."""
        self._names = frozenset(names)
        faults = table.faults or draw_faults(len(names), seed, table.period_ms)
        self.pending: dict[Step, ClusterFault] = {parse_step(fault, names): fault for fault in faults}
        self.is_counting = False
        self._counts: Counter[StepKind] = Counter()

    def next_fault(self, node: str, is_sent: bool, data: bytes) -> ClusterFault | None:
        """Count a datagram that a node is about to send or receive; return the fault due before it."""
        if not self.is_counting:
            return None
        number = kind_of(data, self._names)
        if number is None:
            return None
        kind = StepKind(node, is_sent, number)
        self._counts[kind] += 1
        return self.pending.pop(Step(kind, self._counts[kind]), None)
