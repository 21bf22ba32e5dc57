"""Members of a fleet in virtual time, under faults of a seeded schedule, held against their bounds.

A fault strikes at a named step: before the n-th letter of a kind that a member sends, or receives. What is
wrong is told by a checker that knows the faults and what members said of one another, not how they think.
"""

import enum
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any, NamedTuple
from zlib import crc32

from marlseam.cluster.membership import (
    MAX_LOCAL_HEALTH,
    DuplicateMember,
    MemberChanged,
    Membership,
    SendDatagram,
)
from marlseam.cluster.membership_codec import (
    Datagram,
    DatagramKind,
    InvalidMessageError,
    MemberStatus,
    read,
    write,
)
from marlseam.random_source import RandomSource

PERIOD_MS = 1000.0
BUFFER = 200  # letters that a stopped process's socket keeps
SETTLE = 4.0  # periods before the first fault
DRIFT = 0.001  # by which clocks may run fast or slow
FAULTS = ("kill", "restart", "stop", "cut", "deaf", "mute", "pair", "hold", "twin")


class InjectedFault(NamedTuple):
    """A fault, and the step that it strikes at."""

    node: str
    sends: bool  # at a letter that the node sends, else at one that it receives
    kind: DatagramKind
    count: int  # the n-th of them
    fault: str
    other: str  # the second member of a fault between two
    for_ms: float


def detect_ms(nodes: int, suspicion_ms: float, period_ms: float, health: int) -> float:
    """Return within what time a member that says nothing counts as gone with every one that is well.

    Each pings each other at least once in two turns of its list, less one; a ping takes a period, and each
    lasts longer by what the pinging one doubts itself; then the longest suspicion.
    """
    return (2.0 * (nodes - 1) + 1.0) * period_ms * (1.0 + health) + suspicion_ms


def heal_ms(nodes: int, period_ms: float) -> float:
    """Return within what time, after the last fault, all hold all that live as here.

    Whoever was held as gone hears of it with the first answer that it gets, and then each in two turns.
    """
    return (2.0 * (nodes - 1) + 3.0) * period_ms * (1.0 + MAX_LOCAL_HEALTH)


@dataclass
class SimulatedMember:
    """One process: its machine, its clock, and what the schedule has done to it."""

    name: str
    machine: Membership
    rate: float
    begun: float
    live: bool = True
    stopped_until: float = 0.0
    kept: list[bytes] = field(default_factory=list)
    tick_at: float = inf
    counts: dict[tuple[bool, int], int] = field(default_factory=dict)
    letters: int = 0
    bytes: int = 0


class MembershipVerdict(NamedTuple):
    """What a run showed: breaches, and how near it came to each bound, as a share of it."""

    broken: list[str]
    nearest: dict[str, float]
    twins: int


class MembershipSimulation:
    """A fleet in virtual time; times in ms."""

    def __init__(
        self,
        nodes: int,
        seed: int,
        strikes: list[InjectedFault],
        loss: float = 0.0,
        doubles: float = 0.0,
        drift: float = DRIFT,
        machine: type[Membership] = Membership,
    ) -> None:
        self.seed, self.chance, self.now, self.count = seed, RandomSource(f"world:{seed}"), 0.0, 0
        self.names = frozenset(f"n{i}" for i in range(nodes))
        self.loss, self.doubles, self.drift, self.machine = loss, doubles, drift, machine
        self.strikes = {(s.node, s.sends, int(s.kind), s.count): s for s in strikes}
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.lives = 0
        self.seats: dict[str, SimulatedMember] = {}
        self.twins: list[SimulatedMember] = []
        self.cuts: list[tuple[str, str, float]] = []  # from, to ("" for all), until
        self.spells: list[tuple[str, float, float]] = []  # members that could not be heard: from, until
        self.touched: list[tuple[float, float]] = []  # when any fault was there
        self.gone_at: dict[tuple[str, str], list[float]] = {}  # by who and of whom
        self.told_twins = 0
        for name in sorted(self.names):
            self.seats[name] = self.start(name)

    # The world.

    def at(self, when: float, call: Callable[..., None], *words: Any) -> None:  # noqa: ANN401
        """Call at a time."""
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, call, words))

    def start(self, name: str) -> SimulatedMember:
        """Start a process."""
        self.lives += 1
        rate = 1.0 + self.drift * (2.0 * self.chance() - 1.0)
        seed = crc32(b"%d:%s:%d" % (self.seed, name.encode(), self.lives))
        seat = SimulatedMember(name, self.make(name, seed), rate, self.now)
        self.at(self.now + PERIOD_MS * self.chance(), self.tick, seat)
        return seat

    def make(self, name: str, seed: int) -> Any:  # noqa: ANN401
        """Return a process's machine."""
        return self.machine("fleet", name, self.names, self.lives, seed, PERIOD_MS, 0.0)

    def local(self, seat: SimulatedMember) -> float:
        """Return a process's own time."""
        return (self.now - seat.begun) * seat.rate

    def tick(self, seat: SimulatedMember) -> None:
        """Wake a process whose time has come."""
        if not seat.live:
            return
        if seat.stopped_until > self.now:
            self.at(seat.stopped_until, self.tick, seat)
            return
        seat.tick_at = inf
        kept, seat.kept = seat.kept, []
        for data in kept:
            self.hear(seat, data)
        if seat.machine.next_ms <= self.local(seat) + 1e-6:
            self.act(seat, seat.machine.tick(self.local(seat)))
        self.plan(seat)

    def plan(self, seat: SimulatedMember) -> None:
        """See to it that a process wakes in time."""
        due = max(self.now, seat.begun + seat.machine.next_ms / seat.rate)
        if seat.live and due < seat.tick_at - 1e-6:
            seat.tick_at = due
            self.at(due + 1e-6, self.tick, seat)

    def act(self, seat: SimulatedMember, effects: list[Any]) -> None:
        """Carry out what a process asks for."""
        for effect in effects:
            if type(effect) is SendDatagram:
                strike = self.struck(seat, True, effect.datagram.kind)
                if strike is not None:
                    self.strike(strike, seat)
                if seat.live:
                    held = strike.for_ms if strike is not None and strike.fault == "hold" else 0.0
                    self.send(seat, effect.to, write(effect.datagram), held)
            elif type(effect) is MemberChanged and effect.state.status == MemberStatus.DEAD:
                self.gone_at.setdefault((seat.name, effect.name), []).append(self.now)
            elif type(effect) is DuplicateMember:
                self.told_twins += 1

    def send(self, seat: SimulatedMember, to: str, data: bytes, held: float) -> None:
        """Put a datagram on its way: it may be lost, doubled, late."""
        seat.letters += 1
        seat.bytes += len(data)
        if any(until > self.now and a in ("", seat.name) and b in ("", to) for a, b, until in self.cuts):
            return
        copies = 1 + (self.chance() < self.doubles) + (held > 0.0)
        for i in range(copies):
            if self.chance() >= self.loss:
                delay = 0.3 + 2.0 * self.chance() + (held if i else 0.0)
                self.at(self.now + delay, self.arrive, to, data)

    def arrive(self, to: str, data: bytes) -> None:
        """Bring a datagram to its address; one of two processes there gets it."""
        seats = [seat for seat in (self.seats[to], *self.twins) if seat.name == to and seat.live]
        if not seats:
            return
        seat = seats[int(self.chance() * len(seats))]
        if seat.stopped_until > self.now:
            if len(seat.kept) < BUFFER:
                seat.kept.append(data)
            return
        self.hear(seat, data)
        self.plan(seat)

    def hear(self, seat: SimulatedMember, data: bytes) -> None:
        """Hand a letter to a process."""
        try:
            letter: Datagram = read(data, "fleet", self.names)
        except InvalidMessageError:
            return
        strike = self.struck(seat, False, letter.kind)
        if strike is not None:
            self.strike(strike, seat)
        if seat.live and seat.stopped_until <= self.now:
            self.act(seat, seat.machine.heard(self.local(seat), letter))

    # Faults.

    def struck(self, seat: SimulatedMember, sends: bool, kind: int) -> InjectedFault | None:
        """Count a step, and return what strikes at it."""
        key = sends, int(kind)
        seat.counts[key] = seat.counts.get(key, 0) + 1
        return self.strikes.pop((seat.name, *key, seat.counts[key]), None)

    def strike(self, strike: InjectedFault, seat: SimulatedMember) -> None:
        """Let a fault strike."""
        until, name, fault = self.now + strike.for_ms, seat.name, strike.fault
        self.touched.append((self.now, self.now if fault == "hold" else until))
        if fault in ("kill", "restart"):
            seat.live = False
            back = until if fault == "kill" else self.now + 1.0
            self.spells.append((name, self.now, back))
            self.at(back, self.again, name, seat)
        elif fault == "stop":
            seat.stopped_until = max(seat.stopped_until, until)
            self.spells.append((name, self.now, until))
            self.at(until, self.tick, seat)
        elif fault in ("cut", "deaf", "mute"):
            if fault != "deaf":
                self.cuts.append((name, "", until))
            if fault != "mute":
                self.cuts.append(("", name, until))
            if fault == "cut":
                self.spells.append((name, self.now, until))
        elif fault == "pair":
            self.cuts.append((name, strike.other, until))
        elif fault == "twin":
            twin = self.start(name)
            self.twins.append(twin)
            self.at(until, self.ends, twin)

    def again(self, name: str, dead: SimulatedMember) -> None:
        """Start a killed process again."""
        if self.seats[name] is dead:
            self.seats[name] = self.start(name)

    def ends(self, seat: SimulatedMember) -> None:
        """End a process for good."""
        seat.live = False

    # A run and its verdict.

    def run(self, until: float) -> None:
        """Play up to a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, words = heapq.heappop(self.queue)
            call(*words)
        self.now = until

    def last(self, strikes: list[InjectedFault]) -> float:
        """Begin no fault any more; return when the last one is over, and all that was kept back has come."""
        self.strikes.clear()
        over = max([b for _, b in self.touched], default=0.0)
        held = max([s.for_ms for s in strikes if s.fault == "hold"], default=0.0)
        return max(self.now, over, self.now + held)

    def calm(self, since: float, until: float) -> bool:
        """Return whether no fault touched a span."""
        return all(b < since or a > until for a, b in self.touched)

    def agree(self) -> list[str]:
        """Return who holds what is not so of whom."""
        wrong = []
        for seat in self.seats.values():
            for name, member in seat.machine.members.items():
                own = self.seats[name].machine.own_state
                if (
                    member.state is None
                    or member.state.status != MemberStatus.ALIVE
                    or member.state.generation != own.generation
                ):
                    wrong.append(f"{seat.name} holds {name} as {member.state}")
        return wrong


def judge(world: MembershipSimulation, detect: float, lonely: float) -> MembershipVerdict:
    """Hold a run against the bounds on detection and on false words.

    `detect`: the bound while others are in trouble too, `lonely`: while no other fault is there.
    """
    broken, nearest = [], {"detection": 0.0, "detection, one fault": 0.0}
    for name, since, until in world.spells:
        others = [(a, b) for a, b in world.touched if a != since]
        alone = all(b < since - detect or a > until for a, b in others)
        bound = lonely if alone else detect
        if until - since <= bound:
            continue
        ill = {n for n, a, b in world.spells if a < since + bound and b > since}
        cut = {n for c in world.cuts for n in c[:2] if n}
        for seer in world.names - ill - cut:
            told = [t for t in world.gone_at.get((seer, name), ()) if since <= t < until]
            took = min(told, default=inf) - since
            kind = "detection, one fault" if alone else "detection"
            nearest[kind] = max(nearest[kind], took / bound)
            if took > bound:
                broken.append(f"{seer} held {name} for {took:.0f} ms after {since:.0f}, bound {bound:.0f}")
    for (seer, name), times in world.gone_at.items():
        for t in times:
            if world.calm(t - detect, t) and not world.loss:
                broken.append(f"{seer} called {name} gone at {t:.0f} with no fault there")
    return MembershipVerdict(broken, nearest, world.told_twins)


class ScheduleDraws:
    """Whole numbers of chance, by a seed."""

    def __init__(self, prefix: str, seed: int) -> None:
        self.chance = RandomSource(f"{prefix}:{seed}")

    def __call__(self, below: int) -> int:
        """Return the next one, below some number."""
        return int(self.chance() * below)


def drawn(
    draws: ScheduleDraws,
    nodes: int,
    step: Callable[[ScheduleDraws], tuple[enum.IntEnum, int]],
    faults: tuple[str, ...],
    periods: int,
    most: int = 4,
) -> list[InjectedFault]:
    """Return some faults of chance, each before a step that `step` draws, for up to so many periods."""
    found = []
    for _ in range(1 + draws(most)):
        node, other = draws(nodes), draws(nodes - 1)
        other += other >= node
        kind, count = step(draws)
        fault, for_ms = faults[draws(len(faults))], PERIOD_MS * (1.0 + draws(periods))
        found.append(InjectedFault(f"n{node}", bool(draws(2)), kind, count, fault, f"n{other}", for_ms))
    return found


def letters(draws: ScheduleDraws) -> tuple[DatagramKind, int]:
    """Return a step of membership: mostly a ping or its answer."""
    kind = DatagramKind(1 + draws(4)) if draws(4) == 0 else DatagramKind(1 + draws(2))
    return kind, 3 + draws(4) if kind > DatagramKind.ACK else 6 + draws(30)


def schedule(nodes: int, seed: int, most: int = 4) -> list[InjectedFault]:
    """Return a schedule of chance."""
    return drawn(ScheduleDraws("schedule", seed), nodes, letters, FAULTS, 90, most)


def play(
    nodes: int, seed: int, strikes: list[InjectedFault], machine: type[Membership] = Membership
) -> MembershipVerdict:
    """Play a schedule, wait until its last fault is over, and judge."""
    world = MembershipSimulation(nodes, seed, strikes, doubles=0.02, machine=machine)
    # By the machine as it should be: one that is tried must not set its own bound.
    suspicion = Membership("fleet", "n0", world.names, 0, 0, PERIOD_MS, 0.0).suspicion_ms(0)
    detect = detect_ms(nodes, suspicion, PERIOD_MS, MAX_LOCAL_HEALTH) * (1.0 + 2.0 * DRIFT)
    lonely = detect_ms(nodes, suspicion, PERIOD_MS, 0) * (1.0 + 2.0 * DRIFT)
    world.run(SETTLE * PERIOD_MS)
    broken = [f"at the start {what}" for what in world.agree()] if world.calm(0.0, world.now) else []
    world.run(PERIOD_MS * 60.0)
    end = world.last(strikes)
    heal = heal_ms(nodes, PERIOD_MS) * (1.0 + 2.0 * DRIFT)
    world.run(end)
    step, wrong = end, world.agree()
    while wrong and step < end + heal:
        step += PERIOD_MS / 2.0
        world.run(step)
        wrong = world.agree()
    found = judge(world, detect, lonely)
    found.nearest["heal"] = (step - end) / heal
    broken += [f"{heal:.0f} ms after all healed {what}" for what in wrong[:3]] + found.broken
    return MembershipVerdict(broken, found.nearest, found.twins)


def shrunk(
    nodes: int,
    seed: int,
    strikes: list[InjectedFault],
    machine: type | None = None,
    play: Callable[..., MembershipVerdict] = play,
) -> list[InjectedFault]:
    """Return a shortest part of a schedule that still breaks a bound, as `play` has it."""
    at, words = 0, () if machine is None else (machine,)
    while at < len(strikes):
        fewer = strikes[:at] + strikes[at + 1 :]
        if play(nodes, seed, fewer, *words).broken:
            strikes = fewer
        else:
            at += 1
    return strikes


def hunted(nodes: int, seed: int) -> MembershipVerdict:
    """Play the schedule of a seed."""
    return play(nodes, seed, schedule(nodes, seed))


def told(strike: InjectedFault) -> str:
    """Return a fault for people."""
    way = "sends" if strike.sends else "receives"
    step = f"{strike.node} {way} its {strike.kind.name.lower()} no. {strike.count}"
    other = f" towards {strike.other}" if strike.fault == "pair" else ""
    return f"before {step}: {strike.fault}{other} for {strike.for_ms:.0f} ms"
