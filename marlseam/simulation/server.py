"""The model of a server, without input or output.

A server has slots and memory, a first-in-first-out queue whose head blocks, a speed that changes, a slow
start in which it can be overloaded, and a memory of idempotency keys. `offer`, `cancel`, `crash` and the
fault effects change it; `advance` moves it to a time and returns the events until then, in order;
`next_event_ms` returns the time of the next end or progress of a job.

All running jobs have the same rate. The server therefore keeps one clock of standard work, and a job ends
when that clock has advanced by the job's work. In slow start the rate grows linearly, so that the clock is a
parabola in time, which has a closed inverse. Times are in ms, standard work in ms on a slot of speed 1.
"""

import heapq
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf, sqrt
from typing import NamedTuple

import numpy as np

from marlseam.decisions.types import LoadReport
from marlseam.simulation.job import GroupMemory, Job, JobEvent
from marlseam.simulation.model import ServerKind
from marlseam.simulation.server_settings import ServerSettings

QUICK_WORK_SHARE = 0.02  # share of its work that a job takes if an `errors` fault or a duplicate key ends it
MIN_WORK_MS = 0.01  # lower bound of a job's standard work
MAX_REPORT_SAMPLES = 64  # newest load reports that are kept


@dataclass
class FaultEffects:
    """The combined effects of the active faults on a server.

    Attributes:
        slowdown: the divisor of its speed.
        stolen_share: the share of its speed that another tenant takes.
        error_share: the share of jobs of `error_class` that fail after QUICK_WORK_SHARE of their work.
        error_class: the request class whose jobs may fail; empty: all classes.
        tail_share: the share of jobs whose work is multiplied by `tail_factor`.
        tail_factor: the factor for these jobs.
        report_delay_ms: added to the delay of its load reports.
        reported_share: the share of its load that its reports state.
    """

    slowdown: float = 1.0
    stolen_share: float = 0.0
    error_share: float = 0.0
    error_class: str = ""
    tail_share: float = 0.0
    tail_factor: float = 1.0
    report_delay_ms: float = 0.0
    reported_share: float = 1.0


class ReceivedWork(NamedTuple):
    """Work that a server received in slow start: the time in ms, and the work in ms times slots."""

    at_ms: float
    area: float


class ReportSample(NamedTuple):
    """A load report and the time at which it was refreshed, in ms."""

    at_ms: float
    report: LoadReport


class _ScheduledEnd(NamedTuple):
    """The end of a job by the clock of standard work; `serial` orders ends at the same clock."""

    clock: float
    serial: int
    job_id: str


class _ScheduledProgress(NamedTuple):
    """The time of a job's next report of progress; `serial` orders reports at the same time."""

    at_ms: float
    serial: int
    job_id: str


@dataclass
class ProcessState:
    """The state of a server's process; a new process begins with an empty state.

    Attributes:
        queue: the jobs that wait, in order of arrival.
        running: the jobs that run, by id.
        finishing: a heap of the scheduled ends of jobs.
        progress: a heap of the scheduled reports of progress.
        arrived: the work received within the window of the overload bound, oldest first.
    """

    queue: deque[Job] = field(default_factory=deque)
    running: dict[str, Job] = field(default_factory=dict)
    finishing: list[_ScheduledEnd] = field(default_factory=list)
    progress: list[_ScheduledProgress] = field(default_factory=list)
    arrived: deque[ReceivedWork] = field(default_factory=deque)


class Server:
    """One server. Ids of the jobs that it holds at one time must differ.

    Attributes:
        name: the server's name.
        kind: the settings of its kind.
        memories: the memories that it shares, by group: all, zone, cell.
        fall_multiple: the overload bound in slow start, as in ServerSettings.
        fault_effects: the combined effects of the active faults.
        is_draining: whether it rejects new jobs.
        is_up: whether its process runs.
        started_ms: when its process started, in ms; None if that was long before the day.
        overload_share: the received work at which it was overloaded in slow start, as a share of the bound;
            None if it was not overloaded.
        at_ms: the time up to which it was advanced, in ms.
        clock: the clock of standard work at that time, in ms.
        state: the state of its process.
    """

    def __init__(
        self,
        name: str,
        kind: ServerKind,
        memories: Mapping[str, GroupMemory],
        rng: np.random.Generator,
        settings: ServerSettings,
        started_ms: float | None = None,
    ) -> None:
        """Make a server whose process runs at time 0; `rng` draws failures and jobs of the tail."""
        self.name, self.kind, self.memories = name, kind, memories
        self.fall_multiple = settings.fall_multiple
        self.fault_effects = FaultEffects()
        self.is_draining = False
        self._rng, self._settings = rng, settings
        self._last_serial = 0
        self.start_process(0.0, started_ms)

    def start_process(self, now_ms: float, started_ms: float | None) -> None:
        """Start a process with an empty state at `now_ms`.

        It is in slow start for `warm_s` from `started_ms` on, or not at all if that is None.
        """
        self.started_ms, self.state, self.is_up = started_ms, ProcessState(), True
        self.overload_share: float | None = None
        self.free_slots, self.free_memory = float(self.kind.slots), self.kind.memory
        self.at_ms, self.clock = now_ms, 0.0
        self._sampled_ms = now_ms
        first_sample = ReportSample(now_ms, self._current_report())
        self._samples: deque[ReportSample] = deque([first_sample], maxlen=MAX_REPORT_SAMPLES)
        self._events: list[JobEvent] = []

    # Rates.

    def rate(self) -> float:
        """Return the standard work per ms and slot at full speed, that is after slow start."""
        return self.kind.speed * (1.0 - self.fault_effects.stolen_share) / self.fault_effects.slowdown

    def speed_share(self, at_ms: float) -> float:
        """Return the share of the full rate at a time; below 1 in slow start."""
        if self.started_ms is None:
            return 1.0
        age = min(max(0.0, at_ms - self.started_ms) / (1000.0 * self.kind.warm_s), 1.0)
        return self.kind.cold_share + (1.0 - self.kind.cold_share) * age

    def is_in_slow_start(self, now_ms: float) -> bool:
        """Return whether the server is in slow start at a time."""
        return self.started_ms is not None and now_ms < self.started_ms + 1000.0 * self.kind.warm_s

    def _slow_start_end_ms(self) -> float:
        """Return when slow start ends, in ms; minus infinity without a slow start in this day."""
        return -inf if self.started_ms is None else self.started_ms + 1000.0 * self.kind.warm_s

    def work_between(self, from_ms: float, until_ms: float) -> float:
        """Return the standard work in ms that a slot does between two times, at the present rate."""
        ramp_end_ms = min(max(from_ms, self._slow_start_end_ms()), until_ms)
        ramp = 0.0
        if ramp_end_ms > from_ms:
            ramp = (self.speed_share(from_ms) + self.speed_share(ramp_end_ms)) / 2.0 * (ramp_end_ms - from_ms)
        return self.rate() * (ramp + (until_ms - max(from_ms, ramp_end_ms)))

    def time_of(self, clock: float) -> float:
        """Return when the clock of standard work reaches `clock`, in ms, at the present rate."""
        full_speed_ms = max(0.0, clock - self.clock) / self.rate()
        ramp_end_ms = self._slow_start_end_ms()
        if self.at_ms >= ramp_end_ms:
            return self.at_ms + full_speed_ms
        share, ramp_ms = self.speed_share(self.at_ms), ramp_end_ms - self.at_ms
        ramp_work = (share + 1.0) / 2.0 * ramp_ms
        if full_speed_ms >= ramp_work:
            return ramp_end_ms + full_speed_ms - ramp_work
        if not full_speed_ms:
            return self.at_ms + 0.0
        slope = (1.0 - share) / ramp_ms
        return self.at_ms + 2.0 * full_speed_ms / (share + sqrt(share * share + 2.0 * slope * full_speed_ms))

    def _move(self, to_ms: float) -> None:
        """Advance the clock of standard work and the reports to a time; no event may be due before it."""
        period_ms = self._settings.reports.period_ms
        while self._sampled_ms + period_ms <= to_ms:
            # The state has not changed since the last event, so one sample replaces all that were due.
            self._sampled_ms += period_ms * max(1.0, (to_ms - self._sampled_ms) // period_ms)
            self._samples.append(ReportSample(self._sampled_ms, self._current_report()))
        self.clock += self.work_between(self.at_ms, to_ms)
        self.at_ms = to_ms

    # Time.

    def next_event_ms(self) -> float:
        """Return the time of the next end or progress of a job, in ms; infinity if there is none."""
        if not self.is_up:
            return inf
        finishing, progress = self.state.finishing, self.state.progress
        end_ms = self.time_of(finishing[0].clock) if finishing else inf
        return min(end_ms, progress[0].at_ms if progress else inf)

    def advance(self, now_ms: float) -> list[JobEvent]:
        """Advance the server to a time and return the events since the last call, in order of time."""
        while self.is_up and (due_ms := self.next_event_ms()) <= now_ms:
            self._move(max(due_ms, self.at_ms))
            if self.state.progress and self.state.progress[0].at_ms <= self.at_ms:
                self._note_progress(heapq.heappop(self.state.progress))
            else:
                self._finish_scheduled(heapq.heappop(self.state.finishing))
        if now_ms > self.at_ms:
            self._move(now_ms)
        events, self._events = self._events, []
        return events

    def _note_progress(self, scheduled: _ScheduledProgress) -> None:
        """Add the progress of a job that still runs as an event, and schedule the next."""
        job = self.state.running.get(scheduled.job_id)
        if job is not None:
            self._add_event("progress", job, min(1.0, job.progress_at(self.clock)))
            self._schedule_progress(job)

    def _finish_scheduled(self, scheduled: _ScheduledEnd) -> None:
        """End a job, if the end was scheduled for its present run, and start the queued jobs that fit."""
        job = self.state.running.get(scheduled.job_id)
        if job is None or job.end_clock != scheduled.clock:
            return
        self.clock = max(self.clock, scheduled.clock)
        del self.state.running[job.id]
        self.free_slots += job.slots
        self.free_memory += job.memory
        how = "failed" if job.will_fail else "done"
        self._add_event(how, job, (self.clock - job.start_clock) * job.slots)
        self._start_queued()

    def _add_event(self, what: str, job: Job, value: float) -> None:
        """Add an event of a job at the present time."""
        self._events.append(JobEvent(self.at_ms, what, job.id, value))

    def _start_queued(self) -> None:
        """Start queued jobs in order; a head that does not fit waits and blocks the jobs behind it."""
        queue = self.state.queue
        while queue:
            job = queue[0]
            if job.slots > self.free_slots or (self.kind.memory and job.memory > self.free_memory):
                return
            queue.popleft()
            self._run(job)

    def _run(self, job: Job) -> None:
        """Start a job: occupy its slots and memory, and schedule its end and progress."""
        self.free_slots -= job.slots
        self.free_memory -= job.memory
        work = self._work_to_do(job)
        job.start_clock, job.end_clock = self.clock, self.clock + max(work, MIN_WORK_MS)
        self.state.running[job.id] = job
        heapq.heappush(self.state.finishing, _ScheduledEnd(job.end_clock, self._next_serial(), job.id))
        self._add_event("started", job, 0.0 if job.is_duplicate else 1.0)
        self._schedule_progress(job)

    def _work_to_do(self, job: Job) -> float:
        """Draw whether a job fails or is of the tail, look its key up, and return its standard work in ms.

        Work that the cell saved of an earlier attempt of the same try is subtracted.
        """
        work, effects = job.work, self.fault_effects
        error_draw, tail_draw = self._rng.random(2)
        if error_draw < effects.error_share and effects.error_class in ("", job.class_name):
            job.will_fail, work = True, QUICK_WORK_SHARE * work
        elif tail_draw < effects.tail_share:
            work *= effects.tail_factor
        if job.idempotency_key is not None:
            job.is_duplicate = self.memories[job.key_group].note_key(
                job.idempotency_key, self.at_ms, job.key_memory_ms
            )
        if job.is_duplicate:
            return QUICK_WORK_SHARE * work
        return work - self.memories["cell"].saved_work.get(job.try_id, 0.0)

    def _schedule_progress(self, job: Job) -> None:
        """Schedule a job's next report of progress."""
        progress_ms = self._settings.progress_ms
        if progress_ms:
            scheduled = _ScheduledProgress(self.at_ms + progress_ms, self._next_serial(), job.id)
            heapq.heappush(self.state.progress, scheduled)

    def _next_serial(self) -> int:
        """Return the next serial number, which is greater than all before."""
        self._last_serial += 1
        return self._last_serial

    # Changes by nodes and faults.

    def slow_start_load(self, extra: float) -> float:
        """Return the work received within the window, as a share of the overload bound in slow start.

        `extra` is added to the received work, in ms times slots.
        """
        window_ms, arrived = self._settings.fall_ms, self.state.arrived
        while arrived and arrived[0].at_ms <= self.at_ms - window_ms:
            arrived.popleft()
        received = extra + sum(work.area for work in arrived)
        return received / (
            self.fall_multiple * self.kind.slots * self.kind.speed * self.speed_share(self.at_ms) * window_ms
        )

    def offer(self, now_ms: float, job: Job) -> bool:
        """Accept a job and return True, or reject it and return False.

        The server must have been advanced to `now_ms`.
        """
        if self.is_draining or len(self.state.queue) >= self.kind.queue or job.slots > self.kind.slots:
            return False
        if self.is_in_slow_start(now_ms):
            self._count_received(now_ms, job.work * job.slots)
        self.state.queue.append(job)
        self._start_queued()
        return True

    def _count_received(self, now_ms: float, area: float) -> None:
        """Count work received in slow start, and set `overload_share` if it overloads the server."""
        slow_start_load = self.slow_start_load(area)
        self.state.arrived.append(ReceivedWork(now_ms, area))
        if slow_start_load > 1.0:
            self.overload_share = slow_start_load

    def cancel(self, job_id: str) -> bool:
        """Remove a queued job and return True; mark a running job as cancelled, which runs to its end."""
        queue = self.state.queue
        for job in queue:
            if job.id == job_id:
                queue.remove(job)
                self._start_queued()
                return True
        if job_id in self.state.running:
            self.state.running[job_id].is_cancelled = True
        return False

    def crash(self) -> None:
        """End the process: all jobs are lost, except the work of running jobs up to their checkpoints."""
        for job in self.state.running.values():
            self._save_checkpoint(job)
            self._add_event("lost", job, (self.clock - job.start_clock) * job.slots)
        for job in self.state.queue:
            self._add_event("lost", job, 0.0)
        self.state, self.is_up = ProcessState(), False

    def _save_checkpoint(self, job: Job) -> None:
        """Save the work of a running job up to its last checkpoint in the memory of the cell."""
        checkpoint_ms = self._settings.checkpoint_ms
        if checkpoint_ms and not job.is_duplicate:
            saved = self.memories["cell"].saved_work
            newly_saved = (self.clock - job.start_clock) // checkpoint_ms * checkpoint_ms
            saved[job.try_id] = saved.get(job.try_id, 0.0) + newly_saved

    # Reports.

    def _current_report(self) -> LoadReport:
        """Return a report of the present load, as faults make the server report it."""
        share, slots = self.fault_effects.reported_share, self.kind.slots
        queued = share * len(self.state.queue) if self._settings.reports.includes_queue else None
        return LoadReport(queued=queued, free_slots=slots - share * (slots - self.free_slots))

    def report(self, now_ms: float) -> LoadReport:
        """Return the newest load report that was refreshed at least the report delay before a time.

        If there is none, that is the oldest report kept.
        """
        newest_ms = now_ms - self._settings.reports.delay_ms - self.fault_effects.report_delay_ms
        for sample in reversed(self._samples):
            if sample.at_ms <= newest_ms:
                return sample.report
        return self._samples[0].report
