"""Real nodes of one fleet, with every datagram between them passing through here, and faults at named steps.

Each ordered pair of nodes has a socket of its own between them: what one says to another can be cut, lost,
doubled or kept back in that direction alone. A fault strikes before the n-th letter of a kind that a node
sends or receives, so a run is decided by what is said, not by sleep. Real are nodes, their sockets, signals
and time.
"""

import re
from typing import Literal

from marlseam.fleet.hunt import FAULTS
from marlseam.world.model import NotNegative, Positive, Share, Strict

SAID = re.compile(r"member (\S+) (here|suspect|gone|left) life=(\d+)")
ACTED = re.compile(r"acts on version (\d+)|(in service)$|fleet code=(\S+): out of service")
RIG_FAULTS = (*FAULTS[:-1], "publish", "full", "copy", "old", "lost", "split", "upgrade")
LOOK_S, ASK_S = 0.02, 0.25
PUBLISH_S = 30.0  # for which it is asked what came of a publication
SLACK_MS = 250.0  # until a line of a node's log is seen, and a datagram has passed through


class Fault(Strict):
    """A fault, and the step before which it strikes: `sends ping 20`."""

    node: str
    step: str
    fault: str
    other: str = ""
    for_ms: NotNegative = 0.0


class Fleet(Strict):
    """What the nodes' fleet is like, and what strikes it."""

    period_ms: Positive = 200.0
    loss: Share = 0.0
    doubles: Share = 0.0
    faults: list[Fault] = []  # none: those of a schedule of chance, by the seed
    until_s: Positive = 30.0  # of the day; later steps are no faults any more
    voters: list[str] = []  # none: members alone, without versions
    lease_ms: Positive = 2000.0
    past_lease: Literal["serve", "strict"] = "strict"
    older: list[str] = []  # nodes that run as an older program does
    clocks: dict[str, float] = {}  # nodes whose clock runs at another rate, the wall clock off
