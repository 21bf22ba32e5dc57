"""The table `size_roster` of an experiment file, for experiments that measure endpoint lists."""

from marlseam.simulation.model import Count, Strict


class EndpointListSizes(Strict, frozen=True):
    """Lengths of the endpoint list, and the extent of the measurement at each.

    Attributes:
        sizes: the numbers of listed servers to measure at.
        real: the number of real nodes on loopback; 0 for none.
        changes: single changes, one per answer, for the in-process node.
        real_changes: single changes, one per answer, for the real nodes.
        units: requests whose decisions are measured at the in-process node.
        real_units: requests that are measured at one real node, after as many unmeasured ones.
    """

    sizes: list[Count]
    real: int = 20
    changes: Count = 60
    real_changes: Count = 12
    units: Count = 2000
    real_units: Count = 600
