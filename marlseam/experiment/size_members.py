"""`size_members`: what membership costs a node, by how many names may belong.

A few members are whole: the pure machine, and each letter through the codec. All others are puppets that
answer at once, ping as often as members do and bring the news that the operators' failures and restarts make,
so that a letter carries what it would; what a puppet holds is nothing. Whole fleets are played as far as they
fit. The time until one that says nothing is gone by each member's own turn is worked out.
"""

import gc
import heapq
import tracemalloc
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple
from zlib import crc32

from marlseam.cluster.checking.membership_schedules import PERIOD_MS, detection_bound_ms
from marlseam.cluster.membership import Membership
from marlseam.cluster.membership_codec import (
    MAX_DATAGRAM_BYTES,
    VERSION,
    Datagram,
    DatagramKind,
    GossipEntry,
    MemberState,
    MemberStatus,
    read,
    write,
)
from marlseam.cluster.membership_types import SendDatagram
from marlseam.configuration import ClusterSettings
from marlseam.experiment import file, size, slope
from marlseam.experiment.file import Experiment
from marlseam.experiment.fleet import Sizes as Whole
from marlseam.experiment.fleet import one_size
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.slope import Slope
from marlseam.net.log import Log
from marlseam.net.loop import Loop
from marlseam.net.membership_service import MembershipService
from marlseam.simulation.model import Count, Positive, Strict

WAY_MS = 1.0  # of a letter
# Of one name, changes a second: 340 failures and 5,100 restarts or replacements a day in 21,000, each one
# that goes and comes back.
CHANGES_EACH = 2.0 * (340.0 + 5100.0) / 86400.0 / size.FULL
EACH_MB, NAME_MB = 150.0, 0.006  # of the play, and of a name, by all members that are whole


class Names(Strict):
    """How many names there are, and for how long they are watched."""

    sizes: list[Count]
    members: Count = 8  # that are whole, at each size
    seconds: Positive = 60.0
    whole: list[Count] = []  # sizes at which the fleet is played whole, and one of it is killed
    watched_s: Positive = 60.0  # after that


def need(table: Names, count: int) -> size.Need:
    """Return what so many names need; each size has a process of its own, one after another."""
    return size.Need(EACH_MB + NAME_MB * count * table.members, 2)


class Cohort:
    """Members that are whole among puppets, in virtual time; times in ms."""

    def __init__(self, count: int, whole: int, seed: int) -> None:
        self.seed, self.draws, self.now, self.order = seed, 0, 0.0, 0
        self.names = [f"r{i % 6}-z{i % 22:02}-{i:05}" for i in range(count)]
        self.all = frozenset(self.names)
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.lives = dict.fromkeys(self.names, 1)
        self.status = dict.fromkeys(self.names, MemberStatus.ALIVE)
        self.away = ""  # the puppet that has left, to be back with the next change
        self.news: dict[str, deque[GossipEntry]] = {}  # by member: what the next letter to it brings
        self.members: dict[str, Membership] = {}
        self.clocks: dict[str, size.Charged] = {}
        self.due: dict[str, float] = {}
        self.ticks = self.heard = self.letters = self.bytes = self.most = self.changes = 0
        self.tick_ms = self.heard_ms = 0.0
        for i, name in enumerate(self.names[:: max(1, count // whole)][:whole]):
            machine = Membership("size", name, self.all, 1, crc32(b"%d:%d" % (seed, i)), PERIOD_MS, 0.0)
            for other in self.names:
                machine.merge(GossipEntry(other, MemberState(0, 1, MemberStatus.ALIVE)))
            # The start is over: who was found has been told.
            machine.gossip.clear()
            machine.next_probe_ms = PERIOD_MS * (i + 0.5) / whole
            self.members[name], self.clocks[name], self.news[name] = machine, size.Charged(), deque()
        for name, machine in self.members.items():
            self.at(machine.next_probe_ms, self.tick, name)
            self.at(PERIOD_MS * self.chance(), self.pinged, name)
        self.at(self.gap(), self.change)

    def chance(self) -> float:
        """Return the next number in [0, 1)."""
        self.draws += 1
        return crc32(b"cohort:%d:%d" % (self.seed, self.draws)) / 2.0**32

    def gap(self) -> float:
        """Return the time between two changes of who is there."""
        return 1000.0 / (CHANGES_EACH * len(self.names))

    def at(self, when: float, call: Callable[..., None], *words: Any) -> None:  # noqa: ANN401
        """Call at a time."""
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, call, words))

    def run(self, until_ms: float) -> None:
        """Go on until a time."""
        while self.queue and self.queue[0][0] <= until_ms:
            self.now, _, call, words = heapq.heappop(self.queue)
            call(*words)
        self.now = until_ms

    # Members that are whole.

    def tick(self, name: str) -> None:
        """Have a member do what is due."""
        machine, clock = self.members[name], self.clocks[name]
        if machine.next_ms > self.now + 1e-6:
            return
        spent = clock.cpu_ms
        effects = clock.do(machine.tick, self.now)
        self.ticks += 1
        self.act(name, effects)
        self.tick_ms += clock.cpu_ms - spent

    def hear(self, name: str, data: bytes) -> None:
        """Have a letter come to a member."""
        machine, clock = self.members[name], self.clocks[name]
        spent = clock.cpu_ms
        effects = clock.do(lambda: machine.receive(self.now, read(data, "size", self.all)))
        self.heard += 1
        self.act(name, effects)
        self.heard_ms += clock.cpu_ms - spent

    def act(self, name: str, effects: list[Any]) -> None:
        """Send a member's letters, and wake it when it asks for that."""
        machine, clock = self.members[name], self.clocks[name]
        for effect in effects:
            if type(effect) is SendDatagram:
                data = clock.do(write, effect.datagram)
                self.letters += 1
                self.bytes += len(data)
                self.most = max(self.most, len(data))
                self.at(self.now + WAY_MS, self.arrive, name, effect.to, data)
        due = max(self.now, clock.do(lambda: machine.next_ms))
        if self.due.get(name, -1.0) != due:
            self.due[name] = due
            self.at(due + 1e-6, self.tick, name)

    # Puppets.

    def arrive(self, sender: str, to: str, data: bytes) -> None:
        """Bring a letter to a member that is whole, or to a puppet that answers if it is there."""
        if to in self.members:
            self.hear(to, data)
            return
        letter = read(data, "size", self.all)
        if self.status[to] == MemberStatus.ALIVE and letter.kind in (DatagramKind.PING, DatagramKind.ASK):
            about = to if letter.kind == DatagramKind.PING else letter.subject
            self.show_progress(to, sender, DatagramKind.ACK, letter.sequence, about)

    def show_progress(self, puppet: str, to: str, kind: DatagramKind, seq: int, about: str = "") -> None:
        """Have a puppet write to a member, with news."""
        held = self.news[to]
        rumours = [held.popleft() for _ in range(min(13, len(held)))]
        # Two in their turn, as each letter has them.
        for _ in range(2):
            other = self.names[int(self.chance() * len(self.names))]
            rumours.append(GossipEntry(other, self.state(other)))
        letter = Datagram(VERSION, "size", puppet, self.state(puppet), kind, seq, about, rumours)
        self.at(self.now + WAY_MS, self.hear, to, write(letter))

    def state(self, name: str) -> MemberState:
        """Return what holds of a name."""
        if name in self.members:
            return self.members[name].own_state
        return MemberState(self.lives[name] - 1, self.lives[name], self.status[name])

    def pinged(self, name: str) -> None:
        """Have a member be pinged by a puppet, as often as it is by members: once a period."""
        puppet = self.names[int(self.chance() * len(self.names))]
        if puppet not in self.members and self.status[puppet] == MemberStatus.ALIVE:
            self.show_progress(puppet, name, DatagramKind.PING, 1 + self.draws)
        self.at(self.now + PERIOD_MS, self.pinged, name)

    def change(self) -> None:
        """Have a puppet leave, or the one that left be back as another process; each member hears of it."""
        self.at(self.now + self.gap(), self.change)
        name = self.away or self.names[int(self.chance() * len(self.names))]
        if name in self.members:
            return
        self.changes += 1
        if self.away:
            self.lives[name] += 1
        self.status[name] = MemberStatus.ALIVE if self.away else MemberStatus.LEFT
        self.away = "" if self.away else name
        for held in self.news.values():
            held.append(GossipEntry(name, self.state(name)))

    def zone(self) -> None:
        """Have one in 21 go without a word, a thousand at full size; members hear that others miss them."""
        for name in self.names[len(self.names) // 2 :][: max(1, len(self.names) // 21)]:
            if name not in self.members and self.status[name] == MemberStatus.ALIVE:
                self.status[name] = MemberStatus.DEAD
                for held in self.news.values():
                    held.append(GossipEntry(name, self.state(name)))


class Spent(NamedTuple):
    """What the members that are whole have used and said so far."""

    ticks: int
    heard: int
    letters: int
    bytes: int
    tick_ms: float
    heard_ms: float
    cpu_ms: float


def so_far(world: Cohort) -> Spent:
    """Return what was used and said until now, and let the longest turn be looked for anew."""
    used = sum(clock.mark() for clock in world.clocks.values())
    said = world.ticks, world.heard, world.letters, world.bytes
    return Spent(*said, world.tick_ms, world.heard_ms, used)


def watched(world: Cohort, seconds: float) -> tuple[Spent, float]:
    """Let a time pass, and return what it took, all members together, and the longest turn."""
    before = so_far(world)
    world.run(world.now + 1000.0 * seconds)
    turn = max(clock.longest_ms for clock in world.clocks.values())
    return Spent(*(b - a for a, b in zip(before, so_far(world), strict=True))), turn


def cohort(table: Names, count: int, seed: int) -> dict[str, float]:
    """Return what so many names cost each member that is whole, on an ordinary day and when a zone goes."""
    gc.freeze()
    world = Cohort(count, min(table.members, count), seed)
    world.run(2.0 * PERIOD_MS)
    each = 1.0 / table.seconds / len(world.members)
    day, turn = watched(world, table.seconds)
    changes = world.changes
    world.zone()
    zone, zone_turn = watched(world, table.seconds)
    suspicion = next(iter(world.members.values())).suspicion_ms(0)
    return {
        "tick_ms": day.tick_ms / max(1, day.ticks),
        "heard_ms": day.heard_ms / max(1, day.heard),
        "turn_ms": turn,
        "core_share": day.cpu_ms / 1000.0 * each,
        "letters": day.letters * each,
        "bytes_s": day.bytes * each,
        "letter_bytes": day.bytes / max(1, day.letters),
        "letter_most": float(world.most),
        "changes": float(changes),
        "zone_core_share": zone.cpu_ms / 1000.0 * each,
        "zone_letters": zone.letters * each,
        "zone_bytes_s": zone.bytes * each,
        "zone_turn_ms": zone_turn,
        "memory_mb": memory_mb(count),
        "gone_bound_s": detection_bound_ms(count, suspicion, PERIOD_MS, 0) / 1000.0,
    } | door(world.names)


def door(names: list[str]) -> dict[str, float]:
    """Return what the operators' door tells of so many members: its bytes, and the turn that it takes."""
    loop, clock = Loop(print), size.Charged()
    loop.now = lambda: 10.0 * PERIOD_MS  # ages are told, and would have other lengths on each run
    # Nobody listens at the others' address, and one tick is all that is said there.
    members = dict.fromkeys(names, ("127.0.0.1", 9)) | {names[0]: ("127.0.0.1", 0)}
    peers = MembershipService(
        loop, Log("door", loop.now), ClusterSettings("size", members, PERIOD_MS), names[0], 1
    )
    for name in names:
        peers.machine.merge(GossipEntry(name, MemberState(0, 1, MemberStatus.ALIVE)))
    text = clock.do(peers.status)
    peers.sock.close()
    loop.poll.close()
    loop.first.close()
    return {"door_bytes": float(len(text)), "door_ms": clock.cpu_ms}


def memory_mb(count: int) -> float:
    """Return what one member holds that has heard of all names, in MB."""
    names = frozenset(f"n{i:05}" for i in range(count))
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        machine = Membership("size", "n00000", names, 0, 0, PERIOD_MS, 0.0)
        for name in sorted(names):
            machine.merge(GossipEntry(name, MemberState(0, 1, MemberStatus.ALIVE)))
        return (tracemalloc.get_traced_memory()[0] - before) / 2.0**20
    finally:
        tracemalloc.stop()


# The play.

UNITS = {
    "tick_ms": "ms",
    "heard_ms": "ms",
    "turn_ms": "ms",
    "core_share": "of a core",
    "letters": "a second",
    "bytes_s": "bytes a second",
    "letter_bytes": "bytes",
    "letter_most": "bytes",
    "memory_mb": "MB",
    "zone_core_share": "of a core",
    "zone_letters": "a second",
    "zone_bytes_s": "bytes a second",
    "zone_turn_ms": "ms",
    "gone_bound_s": "s",
    "door_bytes": "bytes",
    "door_ms": "ms",
    "changes": "in the run",
    "whole_gone_s": "s",
    "whole_half_s": "s",
    "whole_letters": "a second",
    "whole_bytes_s": "bytes a second",
    "whole_false": "words",
}
BOUNDS = {
    "core_share": size.CORE_SHARE,
    "bytes_s": size.BYTES_S,
    "memory_mb": size.MEMORY_MB,
    "letter_most": float(MAX_DATAGRAM_BYTES),
    "turn_ms": size.TURN_MS,
    "zone_core_share": size.CORE_SHARE,
    "zone_bytes_s": size.BYTES_S,
    "zone_turn_ms": size.TURN_MS,
    "door_ms": size.TURN_MS,
}
COUNTED = (
    "letters",
    "bytes_s",
    "letter_bytes",
    "letter_most",
    "changes",
    "zone_letters",
    "zone_bytes_s",
    "door_bytes",
)
SHOWN = {
    "most_s": "whole_gone_s",
    "median_s": "whole_half_s",
    "letters": "whole_letters",
    "bytes": "whole_bytes_s",
    "false": "whole_false",
}


def how_of(name: str) -> str:
    """Return how a figure was come by."""
    if name == "gone_bound_s":
        return "worked out"
    return "virtual" if name.startswith("whole") else "counted" if name in COUNTED else "hollow"


def slopes(by_size: dict[int, dict[str, float]], full: int) -> list[Slope]:
    """Return the figures by size, with the size at which they are wanted."""
    return [
        Slope(
            name,
            UNITS[name],
            how_of(name),
            [(float(count), figures[name]) for count, figures in by_size.items()],
            float(full),
            BOUNDS.get(name),
            "names",
        )
        for name in next(iter(by_size.values()), {})
    ]


@register_play("size_members")
def size_members(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Measure what membership costs by its names: ticks, letters, memory, the time until one is gone."""
    table: Names = experiment.tables["size_members"]
    most = size.afford("size_members.sizes", table.sizes, lambda count: need(table, count))
    show_progress(f"needs {most.memory_mb:.0f} MB and {most.processes} processes at most")
    seed, by_size, by_whole = experiment.head.seed, {}, {}
    with size.limited():
        for count in table.sizes:
            show_progress(f"{count} names, {table.members} members that are whole")
            by_size[count] = size.apart(cohort, table, count, seed)
        fleet = Whole(nodes=[1], loss=[0.0], watched_s=table.watched_s)
        for count in table.whole:
            show_progress(f"{count} members, all whole")
            seen = size.apart(one_size, count, 0.0, seed, fleet)
            by_whole[count] = {shown: seen[name] for name, shown in SHOWN.items()}
    # Whole fleets are not carried on past the greatest that was played: they do not grow by a line.
    drawn = slopes(by_size, size.FULL) + slopes(by_whole, max(by_whole, default=1))
    tables = [("Slopes", slope.rows(drawn))]
    return RunResult(slope.figures(drawn), tables=tables, driver="hollow and virtual", slopes=drawn)


def register() -> None:
    """Make the play's table known to experiment files."""
    file.register("size_members", Names)
