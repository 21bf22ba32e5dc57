"""A limit shared by a simulated cluster: moving demand under a seeded schedule of faults.

The checker sums the quota that all live processes may use at each sample, by their own clocks.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from marlseam.cluster.checking.fault_schedules import MAX_FAULTS, ScheduleDraws, Step, draw_faults
from marlseam.cluster.checking.simulation import (
    DRIFT,
    PERIOD_MS,
    ClusterSimulation,
    InjectedFault,
    SimulatedMember,
)
from marlseam.cluster.quota.demand import DemandEstimator, PersistQuotaState, SendLeaseMessage
from marlseam.cluster.quota.leasing import (
    GrantedLease,
    LeaseGrant,
    LeaseMessage,
    LeaseRequest,
    LeaseReturn,
    QuotaLeasing,
    SerialNumber,
)
from marlseam.cluster.replication.messages import MessageKind

LEASE_PERIODS = 10.0  # duration of a lease, in protocol periods
MAX_DISK_MS = 20.0  # longest time to write a record
SAMPLE_MS = 100.0  # time between samples of demand, use and the sum of usable quota
# How many protocol periods the high demand stays on one member before it moves to the next. Meanwhile each
# other member has a tenth of an equal share of the limit as its demand.
DEMAND_PHASE_PERIODS = 20.0
PLAYED_PERIODS = 60.0  # protocol periods from the start in which faults are injected
MAX_FAULT_PERIODS = 40  # longest duration of a fault, in protocol periods
MIN_USED_SHARE = 0.95  # required use at the end, as a share of the demand that the limit can satisfy
FAULTS = ("kill", "restart", "stop", "cut", "deaf", "mute", "pair", "hold", "lost")

TYPES_BY_NAME: dict[str, Callable[..., LeaseMessage]] = {
    "borrow": LeaseRequest,
    "lend": LeaseGrant,
    "give": LeaseReturn,
}
NAMES_BY_TYPE = {LeaseRequest: "borrow", LeaseGrant: "lend", LeaseReturn: "give"}
# The kinds of messages by which steps are counted.
KINDS_BY_NAME = {"borrow": MessageKind.ASK, "lend": MessageKind.TELL, "give": MessageKind.WANT}


class DemandSample(NamedTuple):
    """The total use and the total demand of all members at a time."""

    at_ms: float
    used: float
    demanded: float


class QuotaVerdict(NamedTuple):
    """The result of a run.

    Attributes:
        violations: descriptions of the violated bounds.
        nearest: the highest sum of usable quota, as a share of the limit, and the unused quota at the end, as
            a share of one twentieth of the available quota.
    """

    violations: list[str]
    nearest: dict[str, float]


class QuotaSimulation(ClusterSimulation):
    """A simulated cluster whose members share a limit.

    Attributes:
        limit: the limit, of which each member owns an equal share.
        demand: returns the demand of a member, by name and time in ms.
        rules: the lease rules; tests replace them by subclasses with planted defects.
        disks: the recorded granted leases of each member, None once the record was lost.
        max_usable: highest sum of the quota that members could use at any sample.
        samples: samples of use and demand.
    """

    def __init__(
        self,
        nodes: int,
        seed: int,
        faults: list[InjectedFault],
        limit: float,
        demand: Callable[[str, float], float],
        duplication: float = 0.0,
        rules: type[QuotaLeasing] = QuotaLeasing,
    ) -> None:
        """Start the members; `demand` returns the demand of a member, by name and time in ms."""
        self.limit, self.demand = limit, demand
        self.rules = rules(LEASE_PERIODS * PERIOD_MS, min_lease=limit / nodes / 100.0)
        self.disks: dict[str, tuple[GrantedLease, ...] | None] = {}
        self.max_usable = 0.0
        self.samples: list[DemandSample] = []
        super().__init__(nodes, seed, faults, duplication=duplication, drift=DRIFT)
        self.at(SAMPLE_MS, self.sample)

    def new_machine(self, name: str, seed: int) -> DemandEstimator:
        """Return the state machine of a process, with the leases recorded on its disk."""
        is_first = name not in self.disks
        recorded = self.disks.setdefault(name, ())
        share = self.limit / len(self.names)
        state = self.rules.restarted(share, self.process_count, 0.0, () if is_first else recorded)
        return DemandEstimator(
            name, self.names, self.rules, state, PERIOD_MS, seed, PERIOD_MS * self.random()
        )

    def apply_effects(self, process: SimulatedMember, effects: list[Any]) -> None:
        """Send messages, and begin writes to the disk."""
        for effect in effects:
            if not process.live:
                return
            if isinstance(effect, PersistQuotaState):
                self.at(self.now + MAX_DISK_MS * self.random(), self.persist, process, effect)
            else:
                self.send_at_step(process, effect)

    def send_at_step(self, process: SimulatedMember, effect: SendLeaseMessage) -> None:
        """Send a message, after injecting the fault of this step, if any."""
        name = NAMES_BY_TYPE[type(effect.message)]
        fault = self.fault_at_step(process, True, KINDS_BY_NAME[name])
        if fault is not None:
            self.inject(fault, process)
        if process.live:
            data = msgspec.msgpack.encode((process.name, name, tuple(effect.message)))
            hold_ms = fault.for_ms if fault is not None and fault.fault == "hold" else 0.0
            self.send(process, effect.name, data, hold_ms)

    def deliver(self, process: SimulatedMember, data: bytes) -> None:
        """Pass a message to a process, after injecting the fault of this step, if any."""
        sender, name, values = msgspec.msgpack.decode(data)
        fault = self.fault_at_step(process, False, KINDS_BY_NAME[name])
        if fault is not None:
            self.inject(fault, process)
        if process.live and process.stopped_until <= self.now:
            fields = [SerialNumber(*value) if isinstance(value, list) else value for value in values]
            message = TYPES_BY_NAME[name](*fields)
            self.apply_effects(process, process.machine.receive(self.local(process), sender, message))

    def persist(self, process: SimulatedMember, effect: PersistQuotaState) -> None:
        """Complete a write of leases; if the process was killed in the meantime, it succeeds at random."""
        if self.processes.get(process.name) is not process:
            return
        if process.live or self.random() < 0.5:
            written = {lease.lease_id for lease in effect.granted}
            before = self.disks[process.name] or ()
            others = [lease for lease in before if lease.lease_id not in written]
            self.disks[process.name] = (*others, *effect.granted)
        if process.live and process.stopped_until <= self.now:
            effects = process.machine.on_durable(self.local(process), effect.new_lease_ids)
            self.apply_effects(process, effects)
        elif process.live:
            self.at(process.stopped_until, self.persist, process, effect)

    def inject(self, fault: InjectedFault, process: SimulatedMember) -> None:
        """Inject a fault of any simulation, or `lost`: the process restarts without its record."""
        if fault.fault == "lost":
            self.fault_spans.append((self.now, self.now + 1.0))
            process.live = False
            self.disks[process.name] = None
            self.at(self.now + 1.0, self.restart, process.name, process)
        else:
            super().inject(fault, process)

    def sample(self) -> None:
        """Record the total use and demand, and the sum of the quota that members may use."""
        usable = used = demanded = 0.0
        for process in self.processes.values():
            demand = self.demand(process.name, self.now)
            demanded += demand
            if not process.live:
                continue
            # A stopped process uses nothing now, but its usable quota counts, as it may resume at any time.
            usable += process.machine.usable(self.local(process))
            if process.stopped_until <= self.now:
                used += process.machine.set_demand(self.local(process), demand)
        self.max_usable = max(self.max_usable, usable)
        self.samples.append(DemandSample(self.now, used, demanded))
        self.at(self.now + SAMPLE_MS, self.sample)


def demand_on_one(limit: float, nodes: int, name: str, shares: float) -> Callable[[str, float], float]:
    """Return a demand function, by member and time: `shares` equal shares of `limit` on member `name`.

    Each other member has a demand of a tenth of an equal share.
    """
    share = limit / nodes
    return lambda member, _now: shares * share if member == name else 0.1 * share


def draw_step(draws: ScheduleDraws) -> Step:
    """Draw the kind and ordinal of a step."""
    return Step(list(KINDS_BY_NAME.values())[draws(3)], 1 + draws(20))


def schedule(nodes: int, seed: int, max_faults: int = MAX_FAULTS) -> list[InjectedFault]:
    """Return the random fault schedule of a seed."""
    return draw_faults(ScheduleDraws("skew", seed), nodes, draw_step, FAULTS, MAX_FAULT_PERIODS, max_faults)


def play(
    nodes: int, seed: int, faults: list[InjectedFault], rules: type[QuotaLeasing] = QuotaLeasing
) -> QuotaVerdict:
    """Run a schedule while the demand moves between members; check the sum, and the use at the end."""
    limit = 10.0 * nodes
    phase_ms = DEMAND_PHASE_PERIODS * PERIOD_MS

    def demand(name: str, now: float) -> float:
        on = f"n{int(now // phase_ms) % nodes}"
        return demand_on_one(limit, nodes, on, 0.6 * nodes)(name, now)

    simulation = QuotaSimulation(nodes, seed, faults, limit, demand, duplication=0.02, rules=rules)
    simulation.run(PLAYED_PERIODS * PERIOD_MS)
    # Run to the end of a demand phase that began at least one lease after the last fault.
    end = simulation.stop_faults(faults) + LEASE_PERIODS * PERIOD_MS
    simulation.run((end // phase_ms + 2.0) * phase_ms - SAMPLE_MS)
    last = simulation.samples[-1]
    available = min(limit, last.demanded)
    violations = []
    if simulation.max_usable > limit * (1.0 + 1e-9):
        violations.append(
            f"quota that all members together may use at once: {simulation.max_usable:.2f}, limit {limit:g}"
        )
    if last.used < MIN_USED_SHARE * available:
        violations.append(
            f"at the end members use only {last.used:.2f} of the {available:.2f} that limit and demand permit"
        )
    unused = 1.0 - last.used / available
    nearest = {"the sum": simulation.max_usable / limit, "unused at the end": unused / 0.05}
    return QuotaVerdict(violations, nearest)


def play_seed(nodes: int, seed: int) -> QuotaVerdict:
    """Run and check the schedule of a seed."""
    return play(nodes, seed, schedule(nodes, seed))
