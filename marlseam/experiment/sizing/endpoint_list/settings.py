"""The table of an experiment that measures endpoint lists."""

from marlseam.simulation.model import Count, Strict


class EndpointListSizes(Strict, frozen=True):
    """Lengths of the endpoint list, and what is measured at each.

    Attributes:
        sizes: how many servers are listed.
        real: real nodes on loopback; 0 for none.
        changes: single changes, one an answer, for the in-process node.
        real_changes: the same for the real nodes.
        units: requests whose decisions are measured at the in-process node.
        real_units: the same at one real node, after as many that are not measured.
    """

    sizes: list[Count]
    real: int = 20
    changes: Count = 60
    real_changes: Count = 12
    units: Count = 2000
    real_units: Count = 600
