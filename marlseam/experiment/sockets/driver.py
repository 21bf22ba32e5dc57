"""The driver: starts all processes of a run, applies the day's faults to nodes, collects load counts."""

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

DELIVERY_SLACK_MS = 50.0  # delay of answers and sends that the rule check tolerates
START_LEAD_S = 0.3  # from sending the run's zero to the processes until that zero
POLL_S = 0.05  # between two checks of the processes while the day is played
PROGRESS_PERIOD_MS = 500.0  # minimum between two progress reports
GENERATOR_END_TIMEOUT_S = 5.0  # from the last possible deadline until generators must have reported
RESTART_S = 0.05  # minimum time from the end of a node process until its restart

ShowProgress = Callable[[float], None]  # takes the time of the run in ms
GeneratorCounts = dict[str, Any]  # the counts that one generator prints, parsed from JSON


@dataclass(frozen=True)
class FaultStep:
    """One step of the driver for a fault.

    Attributes:
        at_ms: the time of the step, in ms of the run.
        fault: the fault.
        node: the node that the fault is applied to; if empty, the step records the start of the fault.
    """

    at_ms: float
    fault: ScheduledFault
    node: str = ""


@dataclass(frozen=True)
class PendingRestart:
    """The due restart of a node whose process a fault ends.

    Attributes:
        due_ms: the earliest time of the restart, in ms of the run.
        node: the name of the node.
    """

    due_ms: float
    node: str


class SocketDriver:
    """Plays one day on loopback.

    The driver detects nodes that exit unexpectedly while the day is played. The failure of an emulator is not
    detected during the day but afterwards, by the gaps in the emulator's records.

    Attributes:
        day: the day.
        schedule: the scheduled faults of the day.
        node_processes: the processes of the nodes.
        recorder: the run's clock and the writer of the driver's records.
        ready_s: the time from start to readiness of each node, in seconds, in the order of the nodes.
        cpu_s: the CPU time that each node used while the day was played, in seconds, by node name.
    """

    def __init__(self, day: Day, seed: int, out: Path, options: SocketOptions | None = None) -> None:
        """Prepare a run whose files go to `out`; the records go to `out/records`, replacing older ones."""
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
        rules = fleet.rule_settings(day, DELIVERY_SLACK_MS)
        self.recorder = DriverRecorder(RecordStreams(out / "records", "driver", rules))
        self._zones = dict(placed_nodes(day))
        self._restarts: list[PendingRestart] = []
        self.ready_s: list[float] = []
        self.cpu_s: dict[str, float] = {}

    def run(self, show_progress: ShowProgress | None = None) -> list[GeneratorCounts]:
        """Play the day and return the counts of each generator; raise RunFailedError if a process fails."""
        self.recorder.begin()
        try:
            return self._play(show_progress)
        finally:
            self._group.end()
            self.recorder.end()

    def _play(self, show_progress: ShowProgress | None) -> list[GeneratorCounts]:
        """Start all processes, play the day, and return the counts of the generators."""
        self._emulators.start(bool(self._uses_network))
        self._start_nodes()
        generators = self._emulators.start_generators(self.node_processes.addresses)
        zero_s = self._begin_day(generators)
        cpu_before_s = {name: process.cpu_s() for name, process in self.node_processes.running.items()}
        for name in self._zones:
            self._record_state(0.0, name, "began")
        self._run_until_generators_report(generators, zero_s + self._longest_run_s(), show_progress)
        counts = [generator.read_json(GENERATOR_END_TIMEOUT_S) for generator in generators]
        self.cpu_s = {
            name: process.cpu_s() - cpu_before_s.get(name, 0.0)
            for name, process in self.node_processes.running.items()
            if process.is_running()
        }
        return counts

    def _start_nodes(self) -> None:
        """Start all nodes before waiting for any: nodes of a cluster may need each other to become ready."""
        self.node_processes.discovery_addresses = self._emulators.discovery_addresses
        for name, zone in self._zones.items():
            self.node_processes.start(name, self._emulators.server_addresses[zone])
        for name in self._zones:
            self.ready_s.append(self.node_processes.wait_until_ready(name))

    def _begin_day(self, generators: list[ChildProcess]) -> float:
        """Set the run's zero `START_LEAD_S` ahead, send it to all emulators and generators, and return it."""
        zero_s = time.monotonic() + START_LEAD_S
        self.recorder.zero_s = zero_s
        self._emulators.send_zero(zero_s)
        for generator in generators:
            generator.send_zero(zero_s)
        return zero_s

    def _run_until_generators_report(
        self, generators: list[ChildProcess], end_s: float, show_progress: ShowProgress | None
    ) -> None:
        """Apply faults and restart nodes until all generators have reported.

        Raises RunFailedError at the monotonic time `end_s`, NodeFailedError if a node exits unexpectedly.
        """
        steps = deque(_fault_steps(self.schedule))
        shown_ms = 0.0
        while any(generator.is_running() and not generator.has_output() for generator in generators):
            now_ms = self.recorder.now_ms()
            if time.monotonic() > end_s:
                raise RunFailedError("the load generators did not finish before the time limit of the run")
            while steps and steps[0].at_ms <= now_ms:
                self._apply_step(steps.popleft(), now_ms)
            self._restart_nodes(now_ms)
            self._check_nodes()
            if show_progress is not None and now_ms - shown_ms > PROGRESS_PERIOD_MS:
                shown_ms = now_ms
                show_progress(now_ms)
            time.sleep(POLL_S)

    def _longest_run_s(self) -> float:
        """Return the time limit of the run from the run's zero on, in seconds."""
        max_deadline_s = max(request_class.limit_ms for request_class in self.day.types) / 1000.0
        return self.day.seconds + max_deadline_s + GENERATOR_END_TIMEOUT_S

    def _apply_step(self, step: FaultStep, now_ms: float) -> None:
        """Record the start of a fault, or apply the fault to a node: reload, kill or terminate it."""
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
        """Return whether a fault has ended a node that has not been restarted yet."""
        return any(restart.node == name for restart in self._restarts)

    def expect_end(self, name: str, away_ms: float, state: str = "killed") -> None:
        """Register that the caller ends a node now; the node is restarted after at least `away_ms`."""
        now_ms = self.recorder.now_ms()
        self._record_state(now_ms, name, state)
        self._restarts.append(PendingRestart(now_ms + away_ms, name))

    def _restart_nodes(self, now_ms: float) -> None:
        """Restart the nodes whose process has ended and whose restart is due."""
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
        """Raise NodeFailedError if a node has exited that no fault has ended."""
        for name, process in self.node_processes.running.items():
            if not process.is_running() and not self._is_restarting(name):
                raise NodeFailedError(name, f"exited unexpectedly: {process.tail()}")

    def _record_state(self, at_ms: float, name: str, state: str) -> None:
        """Record a change of a node's state."""
        self.recorder.add(
            records.NodeStateChanged(t=at_ms, by="driver", node=name, state=state, zone=self._zones[name])
        )

    def _record_fault(self, fault: ScheduledFault, now_ms: float) -> None:
        """Record the start of a fault."""
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
    """Create the directories of a run and delete the records of an earlier run."""
    for name in ("records", "logs"):
        (out / name).mkdir(parents=True, exist_ok=True)
    for old in (out / "records").glob("*.jsonl"):
        old.unlink()


def _fault_steps(schedule: list[ScheduledFault]) -> list[FaultStep]:
    """Return the driver's steps for a schedule of faults, ordered by time."""
    steps: list[FaultStep] = []
    for fault in schedule:
        steps.append(FaultStep(fault.at, fault))
        if fault.settings.what in NODE_FAULTS:
            steps += [FaultStep(fault.at, fault, name) for name in fault.targets]
    return sorted(steps, key=lambda step: step.at_ms)
