"""Processes of a cluster in virtual time: clocks that drift, a network, and faults injected at named steps.

A fault strikes just before the n-th datagram of a kind that a member sends or receives, so that a schedule
means the same in each run. What the processes decide and which messages they exchange is up to subclasses.
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
MAX_BUFFERED_DATAGRAMS = 200  # that the socket of a stopped process keeps
DRIFT = 0.001  # by which clocks may run fast or slow, as a share
MIN_DELAY_MS, DELAY_SPAN_MS = 0.3, 2.0  # of a datagram
RESTART_MS = 1.0
TIMER_ROUNDING_MS = 1e-6


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """A fault, and the step that it strikes at.

    Attributes:
        node: the member that it strikes.
        sends: whether the step is a datagram that the member sends, else one that it receives.
        kind: of the datagram.
        ordinal: which of the datagrams of that kind and direction, counted from 1 in each process.
        fault: its name, one of the `FAULTS` of the schedules.
        other: the second member of a fault between two.
        for_ms: how long it lasts.
    """

    node: str
    sends: bool
    kind: enum.IntEnum
    ordinal: int
    fault: str
    other: str
    for_ms: float


class Outage(NamedTuple):
    """A span in which a member could not be heard by any other."""

    name: str
    since_ms: float
    until_ms: float


@dataclass
class SimulatedMember:
    """One process of a member.

    Attributes:
        name: the member's.
        machine: its state machine, which has `next_ms`, `tick` and `receive`.
        rate: of its clock, over that of the simulation.
        started_ms: when it began; its own clock begins at 0.
        live: whether it runs or is stopped; not once it was killed.
        stopped_until: until when it does nothing.
        buffered: datagrams that arrived while it was stopped.
        tick_at: when its next tick is planned, inf if none is.
        step_counts: datagrams so far by direction and kind.
        datagrams, bytes: that it sent.
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
    """A cluster in virtual time; times in ms.

    Subclasses define `new_machine`, `apply_effects` and `deliver`, and may add to `inject`.

    Attributes:
        now: the time.
        names: of all members, n0 and on.
        loss, duplication: the shares of datagrams that are lost, and that are sent twice.
        processes: the process of each member.
        duplicates: second processes of members, as the fault `twin` starts them.
        process_count: processes started so far; a process's generation.
        pending_faults: the faults that have not struck, by step.
        cuts: sender, receiver ("" for all) and until when what it sends there is lost.
        outages: when members could not be heard.
        fault_spans: since when and until when any fault was there.
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
        """Start a process for each of so many members; clocks' rates differ from 1 by at most `drift`."""
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

    # What subclasses define.

    def new_machine(self, name: str, seed: int) -> Any:  # noqa: ANN401
        """Return the state machine of a process that begins now."""
        raise NotImplementedError

    def apply_effects(self, process: SimulatedMember, effects: list[Any]) -> None:
        """Carry out what a process asks for."""
        raise NotImplementedError

    def deliver(self, process: SimulatedMember, data: bytes) -> None:
        """Hand a datagram to a process."""
        raise NotImplementedError

    # Time and processes.

    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:  # noqa: ANN401
        """Call at a time."""
        self.call_count += 1
        heapq.heappush(self.queue, (when, self.call_count, call, arguments))

    def run(self, until: float) -> None:
        """Play up to a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now = until

    def start(self, name: str) -> SimulatedMember:
        """Start a process."""
        self.process_count += 1
        rate = 1.0 + self.drift * (2.0 * self.random() - 1.0)
        seed = crc32(b"%d:%s:%d" % (self.seed, name.encode(), self.process_count))
        process = SimulatedMember(name, self.new_machine(name, seed), rate, self.now)
        self.at(self.now + PERIOD_MS * self.random(), self.tick, process)
        return process

    def local(self, process: SimulatedMember) -> float:
        """Return a process's own time."""
        return (self.now - process.started_ms) * process.rate

    def tick(self, process: SimulatedMember) -> None:
        """Wake a process whose time has come; one that was stopped first reads what it missed."""
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
        """See to it that a process wakes in time."""
        due = max(self.now, process.started_ms + process.machine.next_ms / process.rate)
        if process.live and due < process.tick_at - TIMER_ROUNDING_MS:
            process.tick_at = due
            self.at(due + TIMER_ROUNDING_MS, self.tick, process)

    def restart(self, name: str, killed: SimulatedMember) -> None:
        """Start a killed process again, if no other took its place."""
        if self.processes[name] is killed:
            self.processes[name] = self.start(name)

    def end(self, process: SimulatedMember) -> None:
        """End a process for good."""
        process.live = False

    # The network.

    def send(self, process: SimulatedMember, receiver: str, data: bytes, hold_ms: float) -> None:
        """Send a datagram; it may be lost, doubled or late, and comes again after `hold_ms` unless 0."""
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
        """Return whether nothing that a member sends to another arrives now."""
        return any(
            until > self.now and cut_sender in ("", sender) and cut_receiver in ("", receiver)
            for cut_sender, cut_receiver, until in self.cuts
        )

    def arrive(self, receiver: str, data: bytes) -> None:
        """Bring a datagram to its address; one of two processes there gets it."""
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
        """Count a step, and return the fault that strikes at it."""
        step = sends, int(kind)
        process.step_counts[step] = process.step_counts.get(step, 0) + 1
        return self.pending_faults.pop((process.name, *step, process.step_counts[step]), None)

    def inject(self, fault: InjectedFault, process: SimulatedMember) -> None:
        """Let a fault strike."""
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
        """Kill a process, and start another at a time."""
        process.live = False
        self.outages.append(Outage(process.name, self.now, back_ms))
        self.at(back_ms, self.restart, process.name, process)

    def stop(self, process: SimulatedMember, until: float) -> None:
        """Have a process do nothing for a while."""
        process.stopped_until = max(process.stopped_until, until)
        self.outages.append(Outage(process.name, self.now, until))
        self.at(until, self.tick, process)

    def isolate(self, name: str, fault: str, until: float) -> None:
        """Cut a member off: `mute` loses what it sends, `deaf` what is sent to it, `cut` both."""
        if fault != "deaf":
            self.cuts.append((name, "", until))
        if fault != "mute":
            self.cuts.append(("", name, until))
        if fault == "cut":
            self.outages.append(Outage(name, self.now, until))

    def stop_faults(self, faults: list[InjectedFault]) -> float:
        """Begin no fault any more; return when the last one is over and no held datagram is on its way."""
        self.pending_faults.clear()
        over = max([until for _, until in self.fault_spans], default=0.0)
        held = max([fault.for_ms for fault in faults if fault.fault == "hold"], default=0.0)
        return max(self.now, over, self.now + held)

    def is_fault_free(self, since: float, until: float) -> bool:
        """Return whether no fault was there in a span."""
        return all(end < since or begin > until for begin, end in self.fault_spans)
