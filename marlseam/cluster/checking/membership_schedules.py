"""Membership under a seeded schedule of faults in virtual time, checked against its bounds.

The checker uses the injected faults and the states that members hold of each other, not their implementation.
"""

from math import inf
from typing import Any, NamedTuple

from marlseam.cluster.checking.fault_schedules import (
    MAX_FAULTS,
    ScheduleDraws,
    Step,
    draw_faults,
)
from marlseam.cluster.checking.simulation import (
    DRIFT,
    PERIOD_MS,
    ClusterSimulation,
    InjectedFault,
    SimulatedMember,
)
from marlseam.cluster.membership import MAX_LOCAL_HEALTH, Membership
from marlseam.cluster.membership_codec import (
    DatagramKind,
    InvalidMessageError,
    MemberStatus,
    read,
    write,
)
from marlseam.cluster.membership_types import DuplicateMember, MemberChanged, SendDatagram

CLUSTER = "fleet"
SETTLE_PERIODS = 4.0  # protocol periods before the first fault
PLAYED_PERIODS = 60.0  # protocol periods from the start in which faults are injected
MAX_FAULT_PERIODS = 90  # longest duration of a fault, in protocol periods
FAULTS = ("kill", "restart", "stop", "cut", "deaf", "mute", "pair", "hold", "twin")


def detection_bound_ms(nodes: int, suspicion_ms: float, period_ms: float, health: int) -> float:
    """Return the time in ms within which each healthy member declares an unreachable member dead.

    A member pings each other one at least once in two rounds of its shuffled order, less one ping; a ping
    takes a period, which is lengthened by the local health of the pinging member; then the longest suspicion
    follows.
    """
    return (2.0 * (nodes - 1) + 1.0) * period_ms * (1.0 + health) + suspicion_ms


def healing_bound_ms(nodes: int, period_ms: float) -> float:
    """Return the time in ms, after the last fault, within which all members hold all live members as alive.

    A member that was declared dead receives that state with the first answer to one of its datagrams, and
    each other member receives the refutation within two rounds after that.
    """
    return (2.0 * (nodes - 1) + 3.0) * period_ms * (1.0 + MAX_LOCAL_HEALTH)


class MembershipVerdict(NamedTuple):
    """The result of a run.

    Attributes:
        violations: descriptions of the violated bounds.
        nearest: the highest value reached for each bound, as a share of the bound.
        duplicates: how often a second process of one member was reported.
    """

    violations: list[str]
    nearest: dict[str, float]
    duplicates: int


class MembershipSimulation(ClusterSimulation):
    """A simulated cluster whose members run the membership state machine.

    Attributes:
        machine_class: class of the state machines; tests replace it by subclasses with planted defects.
        declared_dead: the times at which a member declared another dead, by the names of both.
        duplicates_reported: how often a second process of one member was reported.
    """

    def __init__(
        self,
        nodes: int,
        seed: int,
        faults: list[InjectedFault],
        loss: float = 0.0,
        duplication: float = 0.0,
        drift: float = DRIFT,
        machine: type[Membership] = Membership,
    ) -> None:
        """Start the members; `machine` is the class of their state machines."""
        self.machine_class = machine
        self.declared_dead: dict[tuple[str, str], list[float]] = {}
        self.duplicates_reported = 0
        super().__init__(nodes, seed, faults, loss, duplication, drift)

    def new_machine(self, name: str, seed: int) -> Any:  # noqa: ANN401
        """Return the state machine of a process that starts now."""
        return self.machine_class(CLUSTER, name, self.names, self.process_count, seed, PERIOD_MS, 0.0)

    def apply_effects(self, process: SimulatedMember, effects: list[Any]) -> None:
        """Send datagrams, and record declared deaths and reported duplicates."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self.send_at_step(process, effect)
            elif isinstance(effect, MemberChanged) and effect.state.status == MemberStatus.DEAD:
                self.declared_dead.setdefault((process.name, effect.name), []).append(self.now)
            elif isinstance(effect, DuplicateMember):
                self.duplicates_reported += 1

    def send_at_step(self, process: SimulatedMember, effect: SendDatagram) -> None:
        """Send a datagram, after injecting the fault of this step, if any."""
        fault = self.fault_at_step(process, True, effect.datagram.kind)
        if fault is not None:
            self.inject(fault, process)
        if process.live:
            hold_ms = fault.for_ms if fault is not None and fault.fault == "hold" else 0.0
            self.send(process, effect.to, write(effect.datagram), hold_ms)

    def deliver(self, process: SimulatedMember, data: bytes) -> None:
        """Pass a datagram to a process, after injecting the fault of this step, if any."""
        try:
            datagram = read(data, CLUSTER, self.names)
        except InvalidMessageError:
            return
        fault = self.fault_at_step(process, False, datagram.kind)
        if fault is not None:
            self.inject(fault, process)
        if process.live and process.stopped_until <= self.now:
            self.apply_effects(process, process.machine.receive(self.local(process), datagram))

    def disagreements(self) -> list[str]:
        """Return descriptions of all states that differ from the actual one, alive in its current process."""
        found = []
        for process in self.processes.values():
            for name, member in process.machine.members.items():
                generation = self.processes[name].machine.own_state.generation
                state = member.state
                is_right = state is not None and state.status == MemberStatus.ALIVE
                if not is_right or state.generation != generation:
                    found.append(
                        f"{process.name} has {name} in state {state}, expected alive in its current process"
                    )
        return found


# The checker.


def check_run(
    simulation: MembershipSimulation, detection_ms: float, detection_alone_ms: float
) -> MembershipVerdict:
    """Check a run against the bounds on the detection of outages and on false deaths.

    `detection_ms`: bound on detection while there are other faults too; `detection_alone_ms`: without others.
    """
    violations: list[str] = []
    nearest = {"detection": 0.0, "detection, one fault": 0.0}
    for name, since, until in simulation.outages:
        others = [span for span in simulation.fault_spans if span[0] != since]
        is_alone = all(end < since - detection_ms or begin > until for begin, end in others)
        bound = detection_alone_ms if is_alone else detection_ms
        if until - since <= bound:
            continue
        for observer in healthy_observers(simulation, since, bound):
            reported = simulation.declared_dead.get((observer, name), ())
            took = min([at for at in reported if since <= at < until], default=inf) - since
            kind = "detection, one fault" if is_alone else "detection"
            nearest[kind] = max(nearest[kind], took / bound)
            if took > bound:
                violations.append(
                    f"{observer} held {name} as alive for {took:.0f} ms after the outage of that member at "
                    f"{since:.0f} ms, bound {bound:.0f} ms"
                )
    violations += false_deaths(simulation, detection_ms)
    return MembershipVerdict(violations, nearest, simulation.duplicates_reported)


def healthy_observers(simulation: MembershipSimulation, since: float, bound: float) -> frozenset[str]:
    """Return the members that no outage and no cut prevented from detecting an outage within its bound."""
    out = {
        outage.name
        for outage in simulation.outages
        if outage.since_ms < since + bound and outage.until_ms > since
    }
    cut = {name for cut in simulation.cuts for name in cut[:2] if name}
    return simulation.names - out - cut


def false_deaths(simulation: MembershipSimulation, detection_ms: float) -> list[str]:
    """Return descriptions of the deaths declared without any fault in the detection time before."""
    return [
        f"{observer} declared {name} dead at {at:.0f} ms, with no fault in the detection time before"
        for (observer, name), times in simulation.declared_dead.items()
        for at in times
        if simulation.is_fault_free(at - detection_ms, at) and not simulation.loss
    ]


# Schedules and runs.


def draw_step(draws: ScheduleDraws) -> Step:
    """Draw the kind and ordinal of a step: mostly a ping or an ack."""
    kind = DatagramKind(1 + draws(4)) if draws(4) == 0 else DatagramKind(1 + draws(2))
    return Step(kind, 3 + draws(4) if kind > DatagramKind.ACK else 6 + draws(30))


def schedule(nodes: int, seed: int, max_faults: int = MAX_FAULTS) -> list[InjectedFault]:
    """Return the random fault schedule of a seed."""
    draws = ScheduleDraws("schedule", seed)
    return draw_faults(draws, nodes, draw_step, FAULTS, MAX_FAULT_PERIODS, max_faults)


def play(
    nodes: int, seed: int, faults: list[InjectedFault], machine: type[Membership] = Membership
) -> MembershipVerdict:
    """Run a schedule, wait until all members have recovered from its last fault, and check the run."""
    simulation = MembershipSimulation(nodes, seed, faults, duplication=0.02, machine=machine)
    # By the original state machine: the one under test must not determine its own bound.
    suspicion_ms = Membership(CLUSTER, "n0", simulation.names, 0, 0, PERIOD_MS, 0.0).suspicion_ms(0)
    detection_ms = detection_bound_ms(nodes, suspicion_ms, PERIOD_MS, MAX_LOCAL_HEALTH) * (1.0 + 2.0 * DRIFT)
    detection_alone_ms = detection_bound_ms(nodes, suspicion_ms, PERIOD_MS, 0) * (1.0 + 2.0 * DRIFT)
    healing_ms = healing_bound_ms(nodes, PERIOD_MS) * (1.0 + 2.0 * DRIFT)
    simulation.run(SETTLE_PERIODS * PERIOD_MS)
    violations = []
    if simulation.is_fault_free(0.0, simulation.now):
        violations += [f"after the start: {what}" for what in simulation.disagreements()]
    simulation.run(PERIOD_MS * PLAYED_PERIODS)
    end = simulation.stop_faults(faults)
    simulation.run(end)
    at, wrong = end, simulation.disagreements()
    while wrong and at < end + healing_ms:
        at += PERIOD_MS / 2.0
        simulation.run(at)
        wrong = simulation.disagreements()
    found = check_run(simulation, detection_ms, detection_alone_ms)
    found.nearest["heal"] = (at - end) / healing_ms
    violations += [f"{healing_ms:.0f} ms after the last fault: {what}" for what in wrong[:3]]
    return found._replace(violations=violations + found.violations)


def play_seed(nodes: int, seed: int) -> MembershipVerdict:
    """Run and check the schedule of a seed."""
    return play(nodes, seed, schedule(nodes, seed))
