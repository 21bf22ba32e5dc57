"""The scripted members of a cluster: their states, and how they leave, return and fail."""

from collections.abc import Iterator, Sequence
from zlib import crc32

from marlseam.cluster.membership_codec import MemberState, MemberStatus
from marlseam.experiment.sizing.membership.full_member import FIRST_GENERATION
from marlseam.experiment.sizing.plan import (
    PLANNED_SERVERS,
    SECONDS_PER_DAY,
    SERVER_FAILURES_PER_DAY,
    SERVER_RESTARTS_PER_DAY,
)

REGIONS, ZONES = 6, 22
ZONE_DIVISOR = 21  # members per member of one zone: a zone has 1000 members at the planned size
# Changes per second and member: each failure or restart counts as two, leaving and coming back.
CHANGES_PER_MEMBER_S = (
    2.0 * (SERVER_FAILURES_PER_DAY + SERVER_RESTARTS_PER_DAY) / SECONDS_PER_DAY / PLANNED_SERVERS
)


def member_names(count: int) -> list[str]:
    """Return the names of `count` members, spread over regions and zones."""
    return [f"r{i % REGIONS}-z{i % ZONES:02}-{i:05}" for i in range(count)]


class MemberDraws:
    """Draws of random numbers and members, the same on every run with the same seed.

    Attributes:
        count: the number of draws so far.
    """

    def __init__(self, seed: int, names: Sequence[str]) -> None:
        self.count = 0
        self._seed, self._names = seed, names

    def number(self) -> float:
        """Return the next number in [0, 1)."""
        self.count += 1
        return crc32(b"cohort:%d:%d" % (self._seed, self.count)) / 2.0**32

    def name(self) -> str:
        """Return the name of the next drawn member."""
        return self._names[int(self.number() * len(self._names))]


class ScriptedMembers:
    """States of the scripted members.

    Attributes:
        change_gap_ms: time between two changes (a member leaves or comes back) at the planned rate.
        changes: the number of changes so far, without those of a failed zone.
    """

    def __init__(self, names: Sequence[str], full_members: frozenset[str], draws: MemberDraws) -> None:
        """Start with all members alive; `names` are those of all members, full ones included."""
        self.change_gap_ms = 1000.0 / (CHANGES_PER_MEMBER_S * len(names))
        self.changes = 0
        self._names, self._full_members, self._draws = names, full_members, draws
        self._generations = dict.fromkeys(names, FIRST_GENERATION)
        self._statuses = dict.fromkeys(names, MemberStatus.ALIVE)
        self._left_member = ""  # the member that has left and comes back with the next change

    def is_alive(self, name: str) -> bool:
        """Return whether a member is scripted and alive."""
        return name not in self._full_members and self._statuses[name] == MemberStatus.ALIVE

    def state(self, name: str) -> MemberState:
        """Return the state of a scripted member."""
        generation = self._generations[name]
        return MemberState(generation - 1, generation, self._statuses[name])

    def change_one(self) -> str | None:
        """Make a member leave, or the member that left come back as another process; return its name.

        Returns None, without a change, if a full member was drawn.
        """
        name = self._left_member or self._draws.name()
        if name in self._full_members:
            return None
        self.changes += 1
        if self._left_member:
            self._generations[name] += 1
            self._statuses[name] = MemberStatus.ALIVE
            self._left_member = ""
        else:
            self._statuses[name] = MemberStatus.LEFT
            self._left_member = name
        return name

    def fail_zone(self) -> Iterator[str]:
        """Make a zone's members fail without notice; yield the name of each right after it failed."""
        half = self._names[len(self._names) // 2 :]
        for name in half[: max(1, len(self._names) // ZONE_DIVISOR)]:
            if self.is_alive(name):
                self._statuses[name] = MemberStatus.DEAD
                yield name
