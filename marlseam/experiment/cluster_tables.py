"""The experiment file tables that describe a cluster of real nodes and the faults injected into it.

Field names are keys of experiment files.
"""

from enum import StrEnum
from typing import Literal

from marlseam.simulation.model import NotNegative, Positive, Share, Strict


class FaultKind(StrEnum):
    """The kinds of faults that can be injected into a cluster; the values are used in experiment files.

    Members:
        KILL: the node is killed, and restarts after the fault's time.
        RESTART: the node is killed, and restarts at once.
        STOP: the node's process is suspended.
        CUT: all datagrams to and from the node are lost.
        DEAF: all datagrams to the node are lost.
        MUTE: all datagrams from the node are lost.
        PAIR: all datagrams from the node to one other node are lost.
        HOLD: a second copy of the datagram arrives after the fault's time.
        PUBLISH: the node is asked to publish a change of its configuration.
        FULL: writes to the node's ledger fail, as on a full disk.
        COPY: the node's ledger is copied, for a later `OLD`.
        OLD: the node is killed, and restarts at once with the copy of its ledger.
        LOST: the node is killed, and restarts at once without its ledger.
        SPLIT: groups of nodes are cut off from each other.
        UPGRADE: a new process of the node takes over from the running one.
    """

    KILL = "kill"
    RESTART = "restart"
    STOP = "stop"
    CUT = "cut"
    DEAF = "deaf"
    MUTE = "mute"
    PAIR = "pair"
    HOLD = "hold"
    PUBLISH = "publish"
    FULL = "full"
    COPY = "copy"
    OLD = "old"
    LOST = "lost"
    SPLIT = "split"
    UPGRADE = "upgrade"


class ClusterFault(Strict, frozen=True):
    """A fault, and the step before which it is injected.

    Attributes:
        node: the node that the fault is injected into.
        step: the n-th datagram of a kind that the node sends or receives, for example `sends ping 20`.
        fault: the value of a `FaultKind`.
        other: for PAIR, the other node; for SPLIT, the groups: `a b|c` are cut off from each other in both
            directions, and with `a b>c` the datagrams from each group to all later groups are lost.
        for_ms: how long the fault lasts, in ms.
    """

    node: str
    step: str
    fault: str
    other: str = ""
    for_ms: NotNegative = 0.0


class ClusterTable(Strict, frozen=True):
    """A cluster of real nodes, and the faults injected into it.

    Attributes:
        period_ms: the protocol period of membership, in ms.
        loss: the share of datagrams that are lost.
        doubles: the share of datagrams that are delivered twice.
        faults: the faults to inject; if empty, a schedule is drawn from the seed.
        until_s: when the injection of drawn faults ends, in seconds of the day.
        voters: the voters on configuration versions; if empty, nodes run without versions.
        lease_ms: how long a proof that a version is in force remains valid, in ms.
        past_lease: whether a node without a valid proof stays in service (serve) or leaves service (strict).
        older: the nodes that run as an older program, which cannot read the present format of versions.
        clocks: the rate of the monotonic clock by node, for the nodes whose clocks are wrong.
    """

    period_ms: Positive = 200.0
    loss: Share = 0.0
    doubles: Share = 0.0
    faults: list[ClusterFault] = []
    until_s: Positive = 30.0
    voters: list[str] = []
    lease_ms: Positive = 2000.0
    past_lease: Literal["serve", "strict"] = "strict"
    older: list[str] = []
    clocks: dict[str, float] = {}
