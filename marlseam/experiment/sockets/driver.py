"""The driver: starts all processes of a run, plays the day's faults on nodes, and collects the counts."""

import signal
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from marlseam import records
from marlseam.experiment.processes import ChildProcess, NodeFailedError, RunFailedError
from marlseam.experiment.sockets.emulators import EmulatorProcesses
from marlseam.experiment.sockets.nodes import NodeProcesses
from marlseam.experiment.sockets.options import SocketOptions
from marlseam.experiment.sockets.process_group import ProcessGroup
from marlseam.experiment.sockets.recorder import DriverRecorder
from marlseam.records import RecordStreams
from marlseam.simulation import faults, fleet
from marlseam.simulation.faults import NODE_FAULTS, ZONE_FAULTS, ScheduledFault
from marlseam.simulation.model import Day, placed_nodes

DELIVERY_SLACK_MS = 50.0  # by which answers and sends may be late, as the judge sees it
START_LEAD_S = 0.3  # from telling the processes the run's zero until that zero
POLL_S = 0.05  # between two looks at the processes while the day is played
PROGRESS_PERIOD_MS = 500.0  # between two calls that show the progress
GENERATOR_END_TIMEOUT_S = 5.0  # after the longest deadline, until the generators must have ended
RESTART_S = 0.05  # how long a killed node is away at least

ShowProgress = Callable[[float], None]
GeneratorCounts = dict[str, Any]  # what one generator counted, as it prints it


@dataclass(frozen=True)
class FaultStep:
    """Something that the driver does for a fault.

    Attributes:
        at_ms: when.
        fault: the fault.
        node: the node to which it is done; empty: the begin of the fault is recorded.
    """

    at_ms: float
    fault: ScheduledFault
    node: str = ""


@dataclass(frozen=True)
class PendingRestart:
    """A node that a fault ends, and that is to start again.

    Attributes:
        due_ms: the earliest time of the restart.
        node: its name.
    """

    due_ms: float
    node: str


class SocketDriver:
    """Plays one day on loopback.

    Nodes are watched while the day is played. An emulator that fails in it is noticed by the gaps in its
    records.

    Attributes:
        day: the day.
        schedule: its faults.
        node_processes: the processes of the nodes.
        recorder: the run's clock and the driver's records.
        ready_s: how long each node took from its start until it was ready, in seconds.
        cpu_s: the CPU time that each node used while the day was played, in seconds, by name.
    """

    def __init__(self, day: Day, seed: int, out: Path, options: SocketOptions | None = None) -> None:
        """Make one whose files go to `out`, the records to its directory `records`."""
        options = options or SocketOptions()
        self.day, self.schedule = day, faults.schedule(day, seed)
        self._uses_network = options.uses_network
        if self._uses_network is None:
            is_cut = any(fault.settings.what in ZONE_FAULTS for fault in self.schedule)
            self._uses_network = is_cut or len(day.fleet.zones) > 1
        _prepare_directories(out)
        self._group = ProcessGroup()
        self._emulators = EmulatorProcesses(day, seed, out, options, self._group)
        self.node_processes = NodeProcesses(day, seed, out, options, self._group)
        rules = fleet.rules(day, DELIVERY_SLACK_MS)
        self.recorder = DriverRecorder(RecordStreams(out / "records", "driver", rules))
        self._zones = dict(placed_nodes(day))
        self._restarts: list[PendingRestart] = []
        self.ready_s: list[float] = []
        self.cpu_s: dict[str, float] = {}

    def run(self, show_progress: ShowProgress | None = None) -> list[GeneratorCounts]:
        """Play the day; return what each generator counted."""
        self.recorder.begin()
        try:
            return self._play(show_progress)
        finally:
            self._group.end()
            self.recorder.end()

    def _play(self, show_progress: ShowProgress | None) -> list[GeneratorCounts]:
        """Start all processes, play the day, and wait for the generators."""
        self._emulators.start(bool(self._uses_network))
        self._start_nodes()
        generators = self._emulators.start_generators(self.node_processes.addresses)
        zero_s = self._begin_day(generators)
        cpu_before_s = {name: process.cpu_s() for name, process in self.node_processes.running.items()}
        for name in self._zones:
            self._record_state(0.0, name, "began")
        self._follow(generators, zero_s + self._longest_run_s(), show_progress)
        counts = [generator.read_json(GENERATOR_END_TIMEOUT_S) for generator in generators]
        self.cpu_s = {
            name: process.cpu_s() - cpu_before_s.get(name, 0.0)
            for name, process in self.node_processes.running.items()
            if process.is_running()
        }
        return counts

    def _start_nodes(self) -> None:
        """Start all nodes, then wait until each is ready: nodes of a cluster may need each other for that."""
        self.node_processes.discovery_addresses = self._emulators.discovery_addresses
        for name, zone in self._zones.items():
            self.node_processes.start(name, self._emulators.server_addresses[zone])
        for name in self._zones:
            self.ready_s.append(self.node_processes.wait_until_ready(name))

    def _begin_day(self, generators: list[ChildProcess]) -> float:
        """Set the run's zero a short time ahead, tell all processes, and return it."""
        zero_s = time.monotonic() + START_LEAD_S
        self.recorder.zero_s = zero_s
        self._emulators.send_zero(zero_s)
        for generator in generators:
            generator.send_zero(zero_s)
        return zero_s

    def _follow(
        self, generators: list[ChildProcess], end_s: float, show_progress: ShowProgress | None
    ) -> None:
        """Play the faults on nodes until the generators are done, which is an error after `end_s`."""
        steps = deque(_fault_steps(self.schedule))
        shown_ms = 0.0
        while any(generator.is_running() and not generator.has_output() for generator in generators):
            now_ms = self.recorder.now_ms()
            if time.monotonic() > end_s:
                raise RunFailedError("the generators did not end")
            while steps and steps[0].at_ms <= now_ms:
                self._take_step(steps.popleft(), now_ms)
            self._restart_nodes(now_ms)
            self._check_nodes()
            if show_progress is not None and now_ms - shown_ms > PROGRESS_PERIOD_MS:
                shown_ms = now_ms
                show_progress(now_ms)
            time.sleep(POLL_S)

    def _longest_run_s(self) -> float:
        """Return how long the day may take from the run's zero on, in seconds."""
        longest_s = max(request_class.limit_ms for request_class in self.day.types) / 1000.0
        return self.day.seconds + longest_s + GENERATOR_END_TIMEOUT_S

    def _take_step(self, step: FaultStep, now_ms: float) -> None:
        """Record the begin of a fault, or do to a node what the fault is."""
        kind = step.fault.settings.what
        if not step.node:
            self._record_fault(step.fault, now_ms)
        elif kind == "node_reload":
            self.node_processes.running[step.node].signal(signal.SIGHUP)
        elif not self._is_restarting(step.node):
            if kind == "node_kill":
                self.expect_end(step.node, 1000.0 * RESTART_S)
                self.node_processes.running[step.node].signal(signal.SIGKILL)
            else:
                away_s = max(RESTART_S, self.day.fleet.roll_s)
                self.expect_end(step.node, 1000.0 * away_s, "closing")
                self.node_processes.running[step.node].signal(signal.SIGTERM)

    def _is_restarting(self, name: str) -> bool:
        """Return whether a node is being ended already, or is away."""
        return any(restart.node == name for restart in self._restarts)

    def expect_end(self, name: str, away_ms: float, state: str = "killed") -> None:
        """Note that a node is about to be ended by a fault; it is started again after `away_ms` at least."""
        now_ms = self.recorder.now_ms()
        self._record_state(now_ms, name, state)
        self._restarts.append(PendingRestart(now_ms + away_ms, name))

    def _restart_nodes(self, now_ms: float) -> None:
        """Start the nodes again that have ended and whose time has come."""
        due = [
            restart
            for restart in self._restarts
            if restart.due_ms <= now_ms and not self.node_processes.running[restart.node].is_running()
        ]
        for restart in due:
            self._restarts.remove(restart)
            self._record_state(self.recorder.now_ms(), restart.node, "ended")
            self.node_processes.restart(restart.node)
            self._record_state(self.recorder.now_ms(), restart.node, "began")

    def _check_nodes(self) -> None:
        """Raise NodeFailedError where a node has ended that no fault has ended."""
        for name, process in self.node_processes.running.items():
            if not process.is_running() and not self._is_restarting(name):
                raise NodeFailedError(name, f"ended by itself: {process.tail()}")

    def _record_state(self, at_ms: float, name: str, state: str) -> None:
        """Record a change of a node's state."""
        self.recorder.add(
            records.NodeStateChanged(t=at_ms, by="driver", node=name, state=state, zone=self._zones[name])
        )

    def _record_fault(self, fault: ScheduledFault, now_ms: float) -> None:
        """Record the begin of a fault."""
        self.recorder.add(
            records.FaultBegan(
                t=now_ms,
                by="driver",
                kind=fault.settings.what,
                until=fault.until,
                targets=fault.targets,
                size=fault.settings.size,
            )
        )


def _prepare_directories(out: Path) -> None:
    """Make the directories of a run, without the records of an earlier one."""
    for name in ("records", "logs"):
        (out / name).mkdir(parents=True, exist_ok=True)
    for old in (out / "records").glob("*.jsonl"):
        old.unlink()


def _fault_steps(schedule: list[ScheduledFault]) -> list[FaultStep]:
    """Return what the driver does for a schedule of faults, in the order of time."""
    steps: list[FaultStep] = []
    for fault in schedule:
        steps.append(FaultStep(fault.at, fault))
        if fault.settings.what in NODE_FAULTS:
            steps += [FaultStep(fault.at, fault, name) for name in fault.targets]
    return sorted(steps, key=lambda step: step.at_ms)
