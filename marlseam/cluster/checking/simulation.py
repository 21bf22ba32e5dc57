"""Simulation of a cluster in virtual time: drifting clocks, a network, and faults injected at defined steps.

A fault is injected immediately before the n-th datagram of a kind that a member sends or receives, so that a
schedule has the same effect in each run. Subclasses define the state machines and the messages.
"""

from __future__ import annotations

import enum
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any, NamedTuple
from zlib import crc32

from marlseam.random_source import RandomSource

PERIOD_MS = 1000.0  # protocol period of the simulated clusters
MAX_BUFFERED_DATAGRAMS = 200  # datagrams that the socket of a stopped process buffers
DRIFT = 0.001  # highest deviation of a clock's rate, as a share
MIN_DELAY_MS, DELAY_SPAN_MS = 0.3, 2.0  # shortest delay of a datagram, and its random span
RESTART_MS = 1.0  # downtime of a process with the fault `restart`
TIMER_ROUNDING_MS = 1e-6  # tolerance for rounding in conversions between clocks


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """A fault, and the step before which it is injected.

    Attributes:
        node: the affected member.
        sends: whether the step is a datagram that the member sends, or one that it receives.
        kind: kind of the datagram.
        ordinal: number of the datagram among those of its kind and direction, counted from 1 in each process.
        fault: name of the fault, one of the `FAULTS` of the schedules; `ClusterSimulation.inject` has their
            effects.
        other: the second member of a fault between two members.
        for_ms: duration of the fault, in ms of simulation time.
    """

    node: str
    sends: bool
    kind: enum.IntEnum
    ordinal: int
    fault: str
    other: str
    for_ms: float


class Outage(NamedTuple):
    """A time span in which no other member could receive anything from a member."""

    name: str
    since_ms: float
    until_ms: float


@dataclass
class SimulatedMember:
    """One process of a member; times are simulation time in ms.

    Attributes:
        name: name of the member.
        machine: its state machine, which has `next_ms`, `tick` and `receive`.
        rate: rate of its clock, relative to simulation time.
        started_ms: when it started; its own clock starts at 0.
        live: whether it exists, running or stopped; False once it was killed.
        stopped_until: end of the time in which it is stopped (suspended).
        buffered: datagrams that arrived while it was stopped.
        tick_at: when its next tick is scheduled, inf if none is.
        step_counts: number of datagrams so far, by direction and kind.
        datagrams, bytes: number and total size of the datagrams that it sent.
    """

    name: str
    machine: Any
    rate: float
    started_ms: float
    live: bool = True
    stopped_until: float = 0.0
    buffered: list[bytes] = field(default_factory=list)
    tick_at: float = inf
    step_counts: dict[tuple[bool, int], int] = field(default_factory=dict)
    datagrams: int = 0
    bytes: int = 0


class ClusterSimulation:
    """A simulated cluster in virtual time; times in ms.

    Subclasses define `new_machine`, `apply_effects` and `deliver`, and may extend `inject`.

    Attributes:
        now: current simulation time.
        names: names of all members: n0, n1, ...
        loss, duplication: shares of datagrams that are lost, and that are duplicated.
        processes: the current process of each member.
        duplicates: second processes of members, started by the fault `twin`.
        process_count: number of processes started so far; the generation of the latest one.
        pending_faults: faults not yet injected, by step.
        cuts: (sender, receiver, end): datagrams from sender to receiver ("" for all) are lost until `end`.
        outages: time spans in which nothing could be received from a member.
        fault_spans: start and end of each fault.
    """

    def __init__(
        self,
        nodes: int,
        seed: int,
        faults: list[InjectedFault],
        loss: float = 0.0,
        duplication: float = 0.0,
        drift: float = DRIFT,
    ) -> None:
        """Start a process for each of `nodes` members; clock rates differ from 1 by at most `drift`."""
        self.seed, self.random = seed, RandomSource(f"world:{seed}")
        self.now, self.call_count = 0.0, 0
        self.names = frozenset(f"n{i}" for i in range(nodes))
        self.loss, self.duplication, self.drift = loss, duplication, drift
        self.pending_faults = {
            (fault.node, fault.sends, int(fault.kind), fault.ordinal): fault for fault in faults
        }
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.process_count = 0
        self.processes: dict[str, SimulatedMember] = {}
        self.duplicates: list[SimulatedMember] = []
        self.cuts: list[tuple[str, str, float]] = []
        self.outages: list[Outage] = []
        self.fault_spans: list[tuple[float, float]] = []
        for name in sorted(self.names):
            self.processes[name] = self.start(name)

    # Defined by subclasses.

    def new_machine(self, name: str, seed: int) -> Any:  # noqa: ANN401
        """Return the state machine of a process that starts now."""
        raise NotImplementedError

    def apply_effects(self, process: SimulatedMember, effects: list[Any]) -> None:
        """Carry out the effects that a process returned."""
        raise NotImplementedError

    def deliver(self, process: SimulatedMember, data: bytes) -> None:
        """Pass a datagram to the state machine of a process."""
        raise NotImplementedError

    # Time and processes.

    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:  # noqa: ANN401
        """Schedule a call at a simulation time; calls for the same time run in the order of scheduling."""
        self.call_count += 1
        heapq.heappush(self.queue, (when, self.call_count, call, arguments))

    def run(self, until: float) -> None:
        """Run the simulation up to a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now = until

    def start(self, name: str) -> SimulatedMember:
        """Start a process of a member, with a random clock rate and a first tick within one period."""
        self.process_count += 1
        rate = 1.0 + self.drift * (2.0 * self.random() - 1.0)
        seed = crc32(b"%d:%s:%d" % (self.seed, name.encode(), self.process_count))
        process = SimulatedMember(name, self.new_machine(name, seed), rate, self.now)
        self.at(self.now + PERIOD_MS * self.random(), self.tick, process)
        return process

    def local(self, process: SimulatedMember) -> float:
        """Return the current time by a process's own clock, in ms."""
        return (self.now - process.started_ms) * process.rate

    def tick(self, process: SimulatedMember) -> None:
        """Run the tick of a process; a process that was stopped first receives its buffered datagrams."""
        if not process.live:
            return
        if process.stopped_until > self.now:
            self.at(process.stopped_until, self.tick, process)
            return
        process.tick_at = inf
        buffered, process.buffered = process.buffered, []
        for data in buffered:
            self.deliver(process, data)
        if process.machine.next_ms <= self.local(process) + TIMER_ROUNDING_MS:
            self.apply_effects(process, process.machine.tick(self.local(process)))
        self.schedule_tick(process)

    def schedule_tick(self, process: SimulatedMember) -> None:
        """Schedule the next tick of a process, unless an earlier one is scheduled."""
        due = max(self.now, process.started_ms + process.machine.next_ms / process.rate)
        if process.live and due < process.tick_at - TIMER_ROUNDING_MS:
            process.tick_at = due
            self.at(due + TIMER_ROUNDING_MS, self.tick, process)

    def restart(self, name: str, killed: SimulatedMember) -> None:
        """Start a new process for a killed one, unless it was replaced already."""
        if self.processes[name] is killed:
            self.processes[name] = self.start(name)

    def end(self, process: SimulatedMember) -> None:
        """End a process without a restart."""
        process.live = False

    # The network.

    def send(self, process: SimulatedMember, receiver: str, data: bytes, hold_ms: float) -> None:
        """Send a datagram, which may be lost, duplicated or delayed; with `hold_ms` a late copy follows.

        `hold_ms` is added to the delay of all copies but the first.
        """
        process.datagrams += 1
        process.bytes += len(data)
        if self.is_cut(process.name, receiver):
            return
        copies = 1 + (self.random() < self.duplication) + (hold_ms > 0.0)
        for i in range(copies):
            if self.random() >= self.loss:
                delay_ms = MIN_DELAY_MS + DELAY_SPAN_MS * self.random() + (hold_ms if i else 0.0)
                self.at(self.now + delay_ms, self.arrive, receiver, data)

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether all datagrams from a member to another are lost now."""
        return any(
            until > self.now and cut_sender in ("", sender) and cut_receiver in ("", receiver)
            for cut_sender, cut_receiver, until in self.cuts
        )

    def arrive(self, receiver: str, data: bytes) -> None:
        """Deliver a datagram to a member; if it has two processes, a random one receives the datagram.

        A stopped process buffers up to `MAX_BUFFERED_DATAGRAMS`; the others are lost.
        """
        candidates = (self.processes[receiver], *self.duplicates)
        receivers = [process for process in candidates if process.name == receiver and process.live]
        if not receivers:
            return
        process = receivers[int(self.random() * len(receivers))]
        if process.stopped_until > self.now:
            if len(process.buffered) < MAX_BUFFERED_DATAGRAMS:
                process.buffered.append(data)
            return
        self.deliver(process, data)
        self.schedule_tick(process)

    # Faults.

    def fault_at_step(self, process: SimulatedMember, sends: bool, kind: int) -> InjectedFault | None:
        """Count a step, and remove and return the fault to inject before it, if any."""
        step = sends, int(kind)
        process.step_counts[step] = process.step_counts.get(step, 0) + 1
        return self.pending_faults.pop((process.name, *step, process.step_counts[step]), None)

    def inject(self, fault: InjectedFault, process: SimulatedMember) -> None:
        """Inject a fault into a process.

        `kill`: the process ends, and another starts after the fault's duration. `restart`: the same after
        `RESTART_MS`. `stop`: the process is suspended. `cut`, `deaf`, `mute`: see `isolate`. `pair`:
        datagrams from the member to `fault.other` are lost. `hold`: a late copy of the datagram is sent (by
        the caller). `twin`: a second process of the member runs.
        """
        until = self.now + fault.for_ms
        self.fault_spans.append((self.now, self.now if fault.fault == "hold" else until))
        if fault.fault in ("kill", "restart"):
            self.kill(process, until if fault.fault == "kill" else self.now + RESTART_MS)
        elif fault.fault == "stop":
            self.stop(process, until)
        elif fault.fault in ("cut", "deaf", "mute"):
            self.isolate(process.name, fault.fault, until)
        elif fault.fault == "pair":
            self.cuts.append((process.name, fault.other, until))
        elif fault.fault == "twin":
            duplicate = self.start(process.name)
            self.duplicates.append(duplicate)
            self.at(until, self.end, duplicate)

    def kill(self, process: SimulatedMember, back_ms: float) -> None:
        """Kill a process, and start another of the member at `back_ms`."""
        process.live = False
        self.outages.append(Outage(process.name, self.now, back_ms))
        self.at(back_ms, self.restart, process.name, process)

    def stop(self, process: SimulatedMember, until: float) -> None:
        """Suspend a process until a time."""
        process.stopped_until = max(process.stopped_until, until)
        self.outages.append(Outage(process.name, self.now, until))
        self.at(until, self.tick, process)

    def isolate(self, name: str, fault: str, until: float) -> None:
        """Isolate a member: `mute` loses the datagrams that it sends, `deaf` those sent to it, `cut` both."""
        if fault != "deaf":
            self.cuts.append((name, "", until))
        if fault != "mute":
            self.cuts.append(("", name, until))
        if fault == "cut":
            self.outages.append(Outage(name, self.now, until))

    def stop_faults(self, faults: list[InjectedFault]) -> float:
        """Inject no more faults; return when the last one has ended and all held copies have arrived."""
        self.pending_faults.clear()
        over = max([until for _, until in self.fault_spans], default=0.0)
        held = max([fault.for_ms for fault in faults if fault.fault == "hold"], default=0.0)
        return max(self.now, over, self.now + held)

    def is_fault_free(self, since: float, until: float) -> bool:
        """Return whether no fault overlapped a time span."""
        return all(end < since or begin > until for begin, end in self.fault_spans)
