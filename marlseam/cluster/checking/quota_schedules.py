"""A limit shared by a fleet in virtual time: demand that moves, and faults of a schedule.

The world is `hunt`'s. Its checker adds up what all that live may use at each moment, by their own clocks.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from marlseam.cluster.checking.membership_schedules import (
    DRIFT,
    PERIOD_MS,
    InjectedFault,
    MembershipSimulation,
    ScheduleDraws,
    SimulatedMember,
    drawn,
)
from marlseam.cluster.quota.demand import DemandEstimator, PersistQuotaState
from marlseam.cluster.quota.leasing import GrantedLease, LeaseGrant, LeaseRequest, LeaseReturn, QuotaLeasing
from marlseam.cluster.replication.messages import MessageKind

LEASE_PERIODS = 10.0
DISK_MS = 20.0  # at most, for a record
LOOK_MS = 100.0  # between looks at demand, use and the sum
FORMS = {"borrow": LeaseRequest, "lend": LeaseGrant, "give": LeaseReturn}
NAMES = {form: name for name, form in FORMS.items()}
KINDS = {
    "borrow": MessageKind.ASK,
    "lend": MessageKind.TELL,
    "give": MessageKind.WANT,
}  # under which steps are counted
FAULTS = ("kill", "restart", "stop", "cut", "deaf", "mute", "pair", "hold", "lost")


class QuotaSimulation(MembershipSimulation):
    """Members that share a limit; `demand` tells what one would use at a time."""

    def __init__(
        self,
        nodes: int,
        seed: int,
        strikes: list[InjectedFault],
        limit: float,
        demand: Callable[[str, float], float],
        loss: float = 0.0,
        doubles: float = 0.0,
        drift: float = DRIFT,
        rules: type[QuotaLeasing] = QuotaLeasing,
    ) -> None:
        self.limit, self.demand = limit, demand
        self.rules = rules(LEASE_PERIODS * PERIOD_MS, least=limit / nodes / 100.0)
        self.disks: dict[str, tuple[GrantedLease, ...] | None] = {}
        self.most = 0.0  # that all together might use
        self.samples: list[tuple[float, float, float]] = []  # when, what was used, what was wanted
        super().__init__(nodes, seed, strikes, loss, doubles, drift)
        self.at(LOOK_MS, self.look)

    def make(self, name: str, seed: int) -> DemandEstimator:
        """Return a process's machine, with the loans that its disk holds."""
        first = name not in self.disks
        memory = self.disks.setdefault(name, ())
        own = self.limit / len(self.names)
        held = self.rules.restarted(own, self.lives, 0.0, () if first else memory)
        return DemandEstimator(name, self.names, self.rules, held, PERIOD_MS, seed, PERIOD_MS * self.chance())

    def act(self, seat: SimulatedMember, effects: list[Any]) -> None:
        """Carry out what a process asks for."""
        for effect in effects:
            if not seat.live:
                return
            if type(effect) is PersistQuotaState:
                self.at(self.now + DISK_MS * self.chance(), self.keep, seat, effect)
                continue
            name = NAMES[type(effect.message)]
            strike = self.struck(seat, True, KINDS[name])
            if strike is not None:
                self.strike(strike, seat)
            if seat.live:
                data = msgspec.msgpack.encode((seat.name, name, tuple(effect.message)))
                held = strike.for_ms if strike is not None and strike.fault == "hold" else 0.0
                self.send(seat, effect.name, data, held)

    def hear(self, seat: SimulatedMember, data: bytes) -> None:
        """Hand a message to a process."""
        sender, name, fields = msgspec.msgpack.decode(data)
        strike = self.struck(seat, False, KINDS[name])
        if strike is not None:
            self.strike(strike, seat)
        if seat.live and seat.stopped_until <= self.now:
            fields = [tuple(field) if isinstance(field, list) else field for field in fields]
            self.act(seat, seat.machine.heard(self.local(seat), sender, FORMS[name](*fields)))

    def keep(self, seat: SimulatedMember, keep: PersistQuotaState) -> None:
        """Have loans on record, and say them."""
        if self.seats.get(seat.name) is not seat:
            return
        if seat.live or self.chance() < 0.5:
            known = {row.loan for row in keep.lent}
            others = [row for row in self.disks[seat.name] or () if row.loan not in known]
            self.disks[seat.name] = (*others, *keep.lent)
        if seat.live and seat.stopped_until <= self.now:
            self.act(seat, seat.machine.kept(self.local(seat), keep.new))
        elif seat.live:
            self.at(seat.stopped_until, self.keep, seat, keep)

    def strike(self, strike: InjectedFault, seat: SimulatedMember) -> None:
        """Let a fault strike."""
        if strike.fault == "lost":
            self.touched.append((self.now, self.now + 1.0))
            seat.live = False
            self.disks[seat.name] = None
            self.at(self.now + 1.0, self.again, seat.name, seat)
        else:
            super().strike(strike, seat)

    def look(self) -> None:
        """See what each uses of what it wants, and that all together keep to the limit."""
        may = used = wanted = 0.0
        for seat in self.seats.values():
            wanted += self.demand(seat.name, self.now)
            if not seat.live:
                continue
            # One that is stopped does nothing; what it may use is looked at all the same when it wakes.
            may += seat.machine.usable(self.local(seat))
            if seat.stopped_until <= self.now:
                used += seat.machine.want(self.local(seat), self.demand(seat.name, self.now))
        self.most = max(self.most, may)
        self.samples.append((self.now, used, wanted))
        self.at(self.now + LOOK_MS, self.look)


class QuotaVerdict(NamedTuple):
    """What a run showed: breaches, and how near it came to the limit and to leaving a twentieth unused."""

    broken: list[str]
    nearest: dict[str, float]


def one_rich(limit: float, nodes: int, on: str, share: float) -> Callable[[str, float], float]:
    """Return a demand of so many nodes' parts on one, and a tenth of a part on each other."""
    part = limit / nodes
    return lambda name, now: share * part if name == on else 0.1 * part


def messages(draws: ScheduleDraws) -> tuple[MessageKind, int]:
    """Return a step of lending."""
    return list(KINDS.values())[draws(3)], 1 + draws(20)


def schedule(nodes: int, seed: int, most: int = 4) -> list[InjectedFault]:
    """Return a schedule of chance."""
    return drawn(ScheduleDraws("skew", seed), nodes, messages, FAULTS, 40, most)


def play(
    nodes: int, seed: int, strikes: list[InjectedFault], rules: type[QuotaLeasing] = QuotaLeasing
) -> QuotaVerdict:
    """Play a schedule while the demand stands on one node after another.

    Judge the sum, and its use at the end.
    """
    limit = 10.0 * nodes

    def demand(name: str, now: float) -> float:
        on = f"n{int(now // (20.0 * PERIOD_MS)) % nodes}"
        return one_rich(limit, nodes, on, 0.6 * nodes)(name, now)

    world = QuotaSimulation(nodes, seed, strikes, limit, demand, doubles=0.02, rules=rules)
    world.run(60.0 * PERIOD_MS)
    # To the end of a spell of demand that began after all was well for a lease.
    spell = 20.0 * PERIOD_MS
    end = world.last(strikes) + LEASE_PERIODS * PERIOD_MS
    world.run((end // spell + 2.0) * spell - LOOK_MS)
    _, used, wanted = world.samples[-1]
    broken = []
    if world.most > limit * (1.0 + 1e-9):
        broken.append(f"all might use {world.most:.2f} of {limit:g}")
    if used < 0.95 * min(limit, wanted):
        broken.append(f"{used:.2f} of {min(limit, wanted):.2f} wanted is used at the end")
    unused = 1.0 - used / min(limit, wanted)
    return QuotaVerdict(broken, {"the sum": world.most / limit, "unused at the end": unused / 0.05})


def hunted(nodes: int, seed: int) -> QuotaVerdict:
    """Play the schedule of a seed."""
    return play(nodes, seed, schedule(nodes, seed))
