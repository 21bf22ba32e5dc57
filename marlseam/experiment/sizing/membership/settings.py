"""The table `size_members` of an experiment file, for experiments that measure membership."""

from marlseam.simulation.model import Count, Positive, Strict


class MembershipSizes(Strict, frozen=True):
    """Sizes of a cluster, and how long each is measured.

    Attributes:
        sizes: the numbers of members to measure at.
        members: the number of full members at each size.
        seconds: length of each of two measurements, one without the failure of a zone and one with it.
        whole: sizes at which all members are full members, and one of them is killed.
        watched_s: how long the clusters of `whole` are measured after that, in seconds.
    """

    sizes: list[Count]
    members: Count = 8
    seconds: Positive = 60.0
    whole: list[Count] = []
    watched_s: Positive = 60.0
