"""The fault schedule of a cluster: which fault is injected before which datagram of which node."""

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

CLUSTER_NAME = "rig"  # in the nodes' operator settings and in each of their datagrams
DIRECTIONS = ("sends", "receives")
DUPLICATE_PROCESS = "twin"  # a fault of the simulation that cannot be injected into real nodes

# Numbers of datagram kinds by lower-case name. Both protocols have a kind `ask`: here the name stands for the
# `ask` of replication, so that a step of a schedule cannot be an `ask` of membership.
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
    """Return the step before which a fault is due.

    Raises FileError where the direction, the datagram kind or the fault kind is unknown, or where `node`, or
    `other` of a PAIR fault, is not one of `names`; the groups of a SPLIT fault are not checked. Raises
    ValueError where the step does not have three words or its ordinal is not an integer.
    """
    direction, kind, ordinal = fault.step.split()
    is_fault = fault.fault in list(FaultKind)
    if direction not in DIRECTIONS or not is_fault or kind not in KINDS_BY_NAME:
        raise file.FileError(
            f"fleet.faults: {fault} has an unknown direction, datagram kind or fault kind; expected a step "
            "`sends` or `receives`, datagram kind, number, for example `sends ping 20`"
        )
    if fault.node not in names or (fault.fault == FaultKind.PAIR and fault.other not in names):
        raise file.FileError(f"fleet.faults: {fault} names a node that the day does not have")
    return Step(StepKind(fault.node, direction == "sends", KINDS_BY_NAME[kind]), int(ordinal))


def draw_faults(nodes: int, seed: int, period_ms: float) -> list[ClusterFault]:
    """Return the schedule that `fleet hunt` draws for a seed, with times scaled to this protocol period.

    A DUPLICATE_PROCESS fault is replaced by HOLD.
    """
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
    """Return the number of a datagram's kind, or None for an invalid datagram; `names` are the members."""
    try:
        if data[:1] == messages.DATAGRAM_PREFIX:
            return int(messages.kind_of(messages.read(data, CLUSTER_NAME, names).message))
        return int(read_membership_datagram(data, CLUSTER_NAME, names).kind)
    except InvalidMessageError:
        return None


class FaultSchedule:
    """Counts the datagrams of each node by direction and kind, and finds the fault that is due before each.

    Attributes:
        pending: the faults that have not been injected, by step.
        is_counting: whether datagrams are counted. False until the run's time 0, so that the datagrams that
            nodes exchange while they start do not count towards the ordinal of a step.
    """

    def __init__(self, names: list[str], table: ClusterTable, seed: int) -> None:
        """Schedule the faults of a table, or faults drawn from the seed where the table has none.

        Raises FileError where a fault of the table is invalid.
        """
        self._names = frozenset(names)
        faults = table.faults or draw_faults(len(names), seed, table.period_ms)
        self.pending: dict[Step, ClusterFault] = {parse_step(fault, names): fault for fault in faults}
        self.is_counting = False
        self._counts: Counter[StepKind] = Counter()

    def next_fault(self, node: str, is_sent: bool, data: bytes) -> ClusterFault | None:
        """Count a datagram that a node is about to send or receive.

        Returns the fault that is due before this datagram, or None; each fault is returned once.
        """
        if not self.is_counting:
            return None
        number = kind_of(data, self._names)
        if number is None:
            return None
        kind = StepKind(node, is_sent, number)
        self._counts[kind] += 1
        return self.pending.pop(Step(kind, self._counts[kind]), None)
