"""One executor, pure.

Slots and memory, a queue whose head blocks, speed that changes, cold start and fall, receipts.

`offer`, `withdraw`, `crash` and the troubles change it; `advance` brings it to a time and returns what
happened until then, in order; `due` says when something next happens by itself. All jobs that run share one
rate, so the executor keeps a clock of standard work, and a job ends when that clock has moved by the job's
own work. While it warms the rate grows linearly, and the clock is a parabola with a closed inverse.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field
from math import inf, sqrt
from typing import NamedTuple

import numpy as np

from marlseam.decisions.types import LoadReport
from marlseam.world.model import Kind

QUICK = 0.02  # how much of its work a job has done when it fails quickly
REPORT_HISTORY = 64  # samples kept


class Happening(NamedTuple):
    """What happened to a job: started, progress, done, failed, lost, returned.

    `value` is a share or the work spent.
    """

    t: float
    what: str
    id: str
    value: float


@dataclass
class Job:
    """One allocation as an executor has it.

    `work` in ms on a slot of speed 1, `unit` the work unit that it is of.
    """

    id: str
    unit: str
    type: str
    work: float
    slots: float = 1.0
    memory: float = 0.0
    receipt: str | None = None
    group: str = "cell"
    memory_ms: float = 0.0
    drop: bool = False  # a repeat whose receipt is known: no effect
    fails: bool = False
    withdrawn: bool = False
    since: float = 0.0  # the standard clock at its start
    ends: float = 0.0  # and at its end


class Memory:
    """The receipts that a group of executors knows, and the states that it has saved."""

    def __init__(self) -> None:
        self.receipts: dict[str, float] = {}
        self.saved: dict[str, float] = {}

    def known(self, receipt: str, now: float, span_ms: float) -> bool:
        """Return whether a receipt was first seen within its span, and note it if not."""
        since = self.receipts.get(receipt)
        if since is not None and now - since <= span_ms:
            return True
        self.receipts[receipt] = now
        return False


@dataclass
class Ills:
    """What a schedule of troubles makes of an executor."""

    slow: float = 1.0  # divides its speed
    neighbour: float = 0.0  # share of its speed that another tenant takes
    errors: float = 0.0  # share of jobs that fail at once
    error_type: str = ""
    tail: float = 0.0  # share of jobs that cost much more
    tail_size: float = 1.0
    late_ms: float = 0.0  # added to how late reports are
    told: float = 1.0  # share of its load that it reports


@dataclass
class State:
    """What is held, running and remembered; a new process begins with an empty one."""

    queue: deque[Job] = field(default_factory=deque)
    running: dict[str, Job] = field(default_factory=dict)
    finishing: list[tuple[float, int, str]] = field(default_factory=list)
    progress: list[tuple[float, int, str, int]] = field(default_factory=list)
    arrived: deque[tuple[float, float]] = field(default_factory=deque)


class Executor:
    """One executor. A job's id may be held once at a time."""

    def __init__(
        self,
        name: str,
        kind: Kind,
        memories: dict[str, Memory],
        chance: np.random.Generator,
        reports: tuple[float, float, bool],
        fall: tuple[float, float],
        progress_ms: float,
        checkpoint_ms: float = 0.0,
        born: float | None = None,
        now: float = 0.0,
    ) -> None:
        """Make an executor.

        `memories` by group word, `reports` is (period, lateness, queue told), `fall` (multiple, ms).
        """
        self.name, self.kind, self.memories, self.chance = name, kind, memories, chance
        self.period, self.late, self.tells_queue = reports
        self.fall_multiple, self.fall_ms = fall
        self.progress_ms, self.checkpoint_ms = progress_ms, checkpoint_ms
        self.ills, self.count = Ills(), 0
        self.draining = False
        self.up = True
        self.fallen: float | None = None  # the load at which it fell
        self.begin(now, born)

    def begin(self, now: float, born: float | None) -> None:
        """Start a process, cold if it was born at some time and not long ago."""
        self.born, self.state, self.fallen, self.up = born, State(), None, True
        self.free_slots, self.free_memory = float(self.kind.slots), self.kind.memory
        self.at, self.clock = now, 0.0
        self.sampled = now
        self.samples: deque[tuple[float, LoadReport]] = deque([(now, self.sample())], maxlen=REPORT_HISTORY)
        self.happened: list[Happening] = []

    # Rates.

    def rate(self) -> float:
        """Return standard work a ms and slot, warm."""
        return self.kind.speed * (1.0 - self.ills.neighbour) / self.ills.slow

    def warmth(self, t: float) -> float:
        """Return which share of its rate it has at a time."""
        if self.born is None:
            return 1.0
        age = min(max(0.0, t - self.born) / (1000.0 * self.kind.warm_s), 1.0)
        return self.kind.cold_share + (1.0 - self.kind.cold_share) * age

    def work_between(self, a: float, b: float) -> float:
        """Return the standard work that a slot does between two times at today's rate."""
        warm_at = -inf if self.born is None else self.born + 1000.0 * self.kind.warm_s
        cold_end = min(max(a, warm_at), b)
        cold = (self.warmth(a) + self.warmth(cold_end)) / 2.0 * (cold_end - a) if cold_end > a else 0.0
        return self.rate() * (cold + (b - max(a, cold_end)))

    def time_of(self, clock: float) -> float:
        """Return when the standard clock will show a figure."""
        todo = max(0.0, clock - self.clock) / self.rate()
        warm_at = -inf if self.born is None else self.born + 1000.0 * self.kind.warm_s
        if self.at < warm_at:
            v0, v1, span = self.warmth(self.at), 1.0, warm_at - self.at
            cold = (v0 + v1) / 2.0 * span
            if todo < cold:
                slope = (v1 - v0) / span
                return self.at + (2.0 * todo / (v0 + sqrt(v0 * v0 + 2.0 * slope * todo)) if todo else 0.0)
            return warm_at + todo - cold
        return self.at + todo

    def move(self, t: float) -> None:
        """Bring the standard clock and the reports to a time at which nothing has happened yet."""
        while self.sampled + self.period <= t:
            # The state has not changed since the last event, so one sample stands for all that were due.
            self.sampled += self.period * max(1.0, (t - self.sampled) // self.period)
            self.samples.append((self.sampled, self.sample()))
        self.clock += self.work_between(self.at, t)
        self.at = t

    # Time.

    def due(self) -> float:
        """Return when something next happens by itself."""
        s = self.state
        ends = self.time_of(s.finishing[0][0]) if s.finishing else inf
        return min(ends, s.progress[0][0] if s.progress else inf) if self.up else inf

    def advance(self, now: float) -> list[Happening]:
        """Bring the executor to a time, and return what happened until then."""
        while self.up and (due := self.due()) <= now:
            self.move(max(due, self.at))
            s = self.state
            if s.progress and s.progress[0][0] <= self.at:
                _, _, id, step = heapq.heappop(s.progress)
                job = s.running.get(id)
                if job is not None:
                    share = (self.clock - job.since) / max(1e-9, job.ends - job.since)
                    self.happened.append(Happening(self.at, "progress", id, min(1.0, share)))
                    self.next_progress(id, step + 1)
                continue
            ends, _, id = heapq.heappop(s.finishing)
            job = s.running.get(id)
            if job is not None and job.ends == ends:
                self.clock = max(self.clock, ends)
                self.finish(job, "failed" if job.fails else "done")
        if now > self.at:
            self.move(now)
        happened, self.happened = self.happened, []
        return happened

    def finish(self, job: Job, how: str) -> None:
        """End a run and start what then fits."""
        del self.state.running[job.id]
        self.free_slots += job.slots
        self.free_memory += job.memory
        self.happened.append(Happening(self.at, how, job.id, (self.clock - job.since) * job.slots))
        self.start()

    def start(self) -> None:
        """Start jobs in their order; the head waits until it fits, and blocks those behind it."""
        queue = self.state.queue
        while queue:
            job = queue[0]
            if job.slots > self.free_slots or (self.kind.memory and job.memory > self.free_memory):
                return
            queue.popleft()
            self.run(job)

    def run(self, job: Job) -> None:
        """Start one job."""
        self.free_slots -= job.slots
        self.free_memory -= job.memory
        work, ills = job.work, self.ills
        draw = self.chance.random(2)
        if draw[0] < ills.errors and ills.error_type in ("", job.type):
            job.fails, work = True, QUICK * work
        elif draw[1] < ills.tail:
            work *= ills.tail_size
        if job.receipt is not None:
            job.drop = self.memories[job.group].known(job.receipt, self.at, job.memory_ms)
        work = QUICK * work if job.drop else work - self.memories["cell"].saved.get(job.unit, 0.0)
        job.since, job.ends = self.clock, self.clock + max(work, 0.01)
        self.count += 1
        self.state.running[job.id] = job
        heapq.heappush(self.state.finishing, (job.ends, self.count, job.id))
        self.happened.append(Happening(self.at, "started", job.id, 0.0 if job.drop else 1.0))
        self.next_progress(job.id, 1)

    def next_progress(self, id: str, step: int) -> None:
        """Set the next sign of progress."""
        if self.progress_ms:
            self.count += 1
            heapq.heappush(self.state.progress, (self.at + self.progress_ms, self.count, id, step))

    # What others do to it.

    def load(self, extra: float) -> float:
        """Return the share of what it can bear that a cold executor was sent over the rule's window.

        With some more.
        """
        since = self.at - self.fall_ms
        while self.state.arrived and self.state.arrived[0][0] <= since:
            self.state.arrived.popleft()
        sent = extra + sum(area for _, area in self.state.arrived)
        return sent / (
            self.fall_multiple * self.kind.slots * self.kind.speed * self.warmth(self.at) * self.fall_ms
        )

    def cold(self, now: float) -> bool:
        """Return whether it is still warming."""
        return self.born is not None and now < self.born + 1000.0 * self.kind.warm_s

    def offer(self, now: float, job: Job) -> bool:
        """Hand in a job; return whether it is taken. Advance to this time first."""
        if self.draining or len(self.state.queue) >= self.kind.queue or job.slots > self.kind.slots:
            return False
        if self.cold(now):
            area = job.work * job.slots
            load = self.load(area)
            self.state.arrived.append((now, area))
            if load > 1.0:
                self.fallen = load
        self.state.queue.append(job)
        self.start()
        return True

    def withdraw(self, id: str) -> bool:
        """Take a waiting job out; one that runs goes on to its end. Return whether it was waiting."""
        queue = self.state.queue
        for job in queue:
            if job.id == id:
                queue.remove(job)
                self.start()
                return True
        if id in self.state.running:
            self.state.running[id].withdrawn = True
        return False

    def crash(self) -> None:
        """End the process: what runs is lost, with the states that its cell has saved kept."""
        s = self.state
        for job in s.running.values():
            done = self.clock - job.since
            if self.checkpoint_ms and not job.drop:
                saved = self.memories["cell"].saved
                saved[job.unit] = saved.get(job.unit, 0.0) + done // self.checkpoint_ms * self.checkpoint_ms
            self.happened.append(Happening(self.at, "lost", job.id, done * job.slots))
        for job in s.queue:
            self.happened.append(Happening(self.at, "lost", job.id, 0.0))
        self.state, self.up = State(), False

    # Reports.

    def sample(self) -> LoadReport:
        """Return the load as it is."""
        told, slots = self.ills.told, self.kind.slots
        queued = told * len(self.state.queue) if self.tells_queue else None
        return LoadReport(queued=queued, free_slots=slots - told * (slots - self.free_slots))

    def report(self, now: float) -> LoadReport:
        """Return the load report that is to be had at a time: refreshed now and then, and late."""
        known = now - self.late - self.ills.late_ms
        for at, report in reversed(self.samples):
            if at <= known:
                return report
        return self.samples[0][1]
