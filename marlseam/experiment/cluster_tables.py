"""The tables of experiment files that describe a cluster of real nodes, and the faults injected into it.

Field names are the keys of the files.
"""

from enum import StrEnum
from typing import Literal

from marlseam.simulation.model import NotNegative, Positive, Share, Strict


class FaultKind(StrEnum):
    """What may be injected into a cluster; the values stand in experiment files.

    Members:
        KILL: the node is killed, and starts again after the fault's time.
        RESTART: it is killed, and starts again at once.
        STOP: its process is suspended.
        CUT: it neither sends nor receives datagrams.
        DEAF: it receives no datagrams.
        MUTE: it sends no datagrams.
        PAIR: what it sends to one other node is lost.
        HOLD: a copy of the datagram arrives late.
        PUBLISH: it is asked to publish a change of its configuration.
        FULL: its ledger's disk is full.
        COPY: its ledger is copied, for a later `OLD`.
        OLD: it is killed, and starts again with the copy of its ledger.
        LOST: it is killed, and starts again without its ledger.
        SPLIT: groups of nodes are cut off from each other.
        UPGRADE: a later process takes over from the one that runs.
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
        node: the node that it is injected into.
        step: the n-th datagram of a kind that the node sends or receives, as `sends ping 20`.
        fault: the value of a `FaultKind`.
        other: of PAIR, the other node; of SPLIT, the groups, `a b|c` cut off from each other or `a b>c` of
            which what one sends to the next is lost.
        for_ms: how long it lasts.
    """

    node: str
    step: str
    fault: str
    other: str = ""
    for_ms: NotNegative = 0.0


class ClusterTable(Strict, frozen=True):
    """A cluster of real nodes, and the faults injected into it.

    Attributes:
        period_ms: the protocol period of membership.
        loss: the share of datagrams that are lost.
        doubles: the share of datagrams that are sent twice.
        faults: those to inject; where there are none, the seed draws a schedule.
        until_s: until when drawn faults are injected, in seconds of the day.
        voters: of configuration versions; where there are none, nodes run without versions.
        lease_ms: for how long a proof that a version is in force holds.
        past_lease: whether a node without a proof serves on or leaves service.
        older: the nodes that run as an older program does.
        clocks: the rate of a node's monotonic clock, for the nodes whose clocks are wrong.
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
