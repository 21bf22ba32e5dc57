"""The table of an experiment that measures membership."""

from marlseam.simulation.model import Count, Positive, Strict


class MembershipSizes(Strict, frozen=True):
    """Sizes of a cluster, and for how long each is measured.

    Attributes:
        sizes: how many members may belong.
        members: how many of them run in full, at each size.
        seconds: for how long they are measured, once on an ordinary day and once when a zone fails.
        whole: sizes at which all members run in full and one of them is killed.
        watched_s: for how long these are measured after that.
    """

    sizes: list[Count]
    members: Count = 8
    seconds: Positive = 60.0
    whole: list[Count] = []
    watched_s: Positive = 60.0
