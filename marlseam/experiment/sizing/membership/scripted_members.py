"""The scripted members of a cluster: their states, and the changes of who is a member."""

from collections.abc import Iterator, Sequence
from zlib import crc32

from marlseam.cluster.membership_codec import MemberState, MemberStatus
from marlseam.experiment.sizing.membership.full_member import GENERATION
from marlseam.experiment.sizing.plan import (
    PLANNED_SERVERS,
    SECONDS_PER_DAY,
    SERVER_FAILURES_PER_DAY,
    SERVER_RESTARTS_PER_DAY,
)

REGIONS, ZONES = 6, 22
ZONE_SHARE = 21  # a zone has one in so many members: a thousand at the planned size
# Changes a second that one member makes: each that fails or restarts goes, and comes back.
CHANGES_PER_MEMBER_S = (
    2.0 * (SERVER_FAILURES_PER_DAY + SERVER_RESTARTS_PER_DAY) / SECONDS_PER_DAY / PLANNED_SERVERS
)


def member_names(count: int) -> list[str]:
    """Return the names of all members."""
    return [f"r{i % REGIONS}-z{i % ZONES:02}-{i:05}" for i in range(count)]


class MemberDraws:
    """Random numbers and members, the same for a seed on every run.

    Attributes:
        count: numbers drawn so far.
    """

    def __init__(self, seed: int, names: Sequence[str]) -> None:
        self.count = 0
        self._seed, self._names = seed, names

    def number(self) -> float:
        """Return the next number in [0, 1)."""
        self.count += 1
        return crc32(b"cohort:%d:%d" % (self._seed, self.count)) / 2.0**32

    def name(self) -> str:
        """Return the next member."""
        return self._names[int(self.number() * len(self._names))]


class ScriptedMembers:
    """States of the members that do not run in full.

    Attributes:
        change_gap_ms: time between two changes of who is a member, at the planned rate.
        changes: members that have left or come back so far, those of a failed zone apart.
    """

    def __init__(self, names: Sequence[str], full_members: frozenset[str], draws: MemberDraws) -> None:
        """Begin with all alive; `names` are those of all members, also those that run in full."""
        self.change_gap_ms = 1000.0 / (CHANGES_PER_MEMBER_S * len(names))
        self.changes = 0
        self._names, self._full_members, self._draws = names, full_members, draws
        self._generations = dict.fromkeys(names, GENERATION)
        self._statuses = dict.fromkeys(names, MemberStatus.ALIVE)
        self._away = ""  # the member that has left and comes back with the next change

    def is_alive(self, name: str) -> bool:
        """Return whether a member is scripted and alive."""
        return name not in self._full_members and self._statuses[name] == MemberStatus.ALIVE

    def state(self, name: str) -> MemberState:
        """Return a member's state."""
        generation = self._generations[name]
        return MemberState(generation - 1, generation, self._statuses[name])

    def change_one(self) -> str | None:
        """Have a member leave, or the one that left come back as another process; return which.

        None: a member was drawn that runs in full and does not leave.
        """
        name = self._away or self._draws.name()
        if name in self._full_members:
            return None
        self.changes += 1
        if self._away:
            self._generations[name] += 1
            self._statuses[name] = MemberStatus.ALIVE
            self._away = ""
        else:
            self._statuses[name] = MemberStatus.LEFT
            self._away = name
        return name

    def fail_zone(self) -> Iterator[str]:
        """Have a zone's members fail without a word; give each as it does."""
        half = self._names[len(self._names) // 2 :]
        for name in half[: max(1, len(self._names) // ZONE_SHARE)]:
            if self.is_alive(name):
                self._statuses[name] = MemberStatus.DEAD
                yield name
