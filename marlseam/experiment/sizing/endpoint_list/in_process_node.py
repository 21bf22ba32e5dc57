"""A node's discovery, upstream client and reducer, joined as in a real node, without loop and sockets."""

import heapq
import socket
from collections import Counter
from collections.abc import Generator
from math import inf
from pathlib import Path
from typing import NamedTuple, cast

import h11

from marlseam import configuration, core
from marlseam.counters import Counters
from marlseam.decisions.types import LoadReport, Outcome, Request
from marlseam.experiment.sizing.cpu_clock import CpuClock
from marlseam.experiment.sizing.endpoint_list.read_counters import CountingDict, CountingList, ReadCounts
from marlseam.net import protocol
from marlseam.net.connection import Connection, Steps
from marlseam.net.discovery import Discovery
from marlseam.net.limits import connection_limits, settings_for_process
from marlseam.net.log import Log
from marlseam.net.loop import LATE, READY, Loop, Wait
from marlseam.net.upstream import Upstream

REQUEST_GAP_MS = 5.0  # between two requests
REQUEST_CLASSES = 2  # the first ones of the settings, in turn
DEADLINE_MS = 5000.0
ROUND_TRIP_MS = 1.0  # of a probe, and until an attempt has begun
RUN_MS = 1.5  # until an attempt is completed
FREE_SLOTS = 8.0  # that each server reports


class SilentLog(Log):
    """A log that drops its lines."""

    def write(self, text: str) -> None:
        """Drop a line."""


class InMemorySocket:
    """What `Connection` uses of a socket: reads give the bytes that were put in, writes go nowhere."""

    def __init__(self) -> None:
        self._unread = memoryview(b"")

    def put(self, data: bytes) -> None:
        """Have bytes be read next."""
        self._unread = memoryview(data)

    def recv_into(self, buffer: memoryview) -> int:
        """Read as much as fits; raises BlockingIOError where nothing is left."""
        if not self._unread:
            raise BlockingIOError
        count = min(len(buffer), len(self._unread))
        buffer[:count] = self._unread[:count]
        self._unread = self._unread[count:]
        return count

    def send(self, data: memoryview) -> int:
        """Drop bytes, and return how many there were."""
        return len(data)

    def fileno(self) -> int:
        """Return -1: there is no descriptor."""
        return -1


class ScheduledEvent(NamedTuple):
    """An event that is to happen.

    Attributes:
        due_ms: when.
        order: among those that are due at one time.
        event: what the reducer is told.
    """

    due_ms: float
    order: int
    event: core.Event


class InProcessNode:
    """A node that takes discovery's answers and requests in, on a virtual clock that is charged for it.

    Each server answers probes and attempts after fixed times.

    Attributes:
        clock: its virtual time, and the processor time that it has used.
        probes, attempts: how many it has sent.
    """

    def __init__(self, config_path: Path) -> None:
        self.clock = CpuClock()
        self.probes = self.attempts = 0
        self._loop = Loop(print)
        self._loop.now = self.clock.current_due_ms
        self._scheduled: list[ScheduledEvent] = []
        self._scheduled_count = 0
        self._reducer = core.Reducer()
        config = configuration.load(str(config_path))
        log = SilentLog("in-process", self.clock.current_due_ms)
        max_connections = connection_limits(config).servers
        self._upstream = Upstream(self._loop, log, config.deployment, max_connections, self._post, Counters())
        self._discovery = Discovery(self._loop, log, config, self._upstream, self._post)
        self._socket = InMemorySocket()
        # The connection uses no more of a socket than `InMemorySocket` has.
        as_socket = cast(socket.socket, self._socket)
        self._connection = Connection(self._loop, log, as_socket, h11.CLIENT, "discovery")
        self._post(core.NodeStarted(settings_for_process(config.deployment.settings), config.seed))

    def close(self) -> None:
        """Give back the descriptors of the event loop."""
        self._loop.poll.close()
        self._loop.first.close()

    def take_answer(self, answer: bytes) -> None:
        """Call discovery and take its answer in; each wait within that ends a turn."""
        self._socket.put(answer)
        steps = self._call_discovery()
        resumed_with: str | None = None
        try:
            while True:
                wait: Wait = self.clock.run(steps.send, resumed_with)
                resumed_with = READY if wait[0] >= 0 else LATE
        except StopIteration:
            return

    def take_answer_counting_reads(self, answer: bytes) -> ReadCounts:
        """Take an answer in, and return how many entries of the node's own tables were read for it."""
        reads_by_index, reads_by_name = Counter[int](), Counter[str]()
        dispatcher, pool = self._reducer.dispatcher, self._upstream.pool
        states = CountingList(dispatcher.endpoint_state, reads_by_index)
        zones = CountingList(dispatcher.zone, reads_by_index)
        servers = CountingDict(pool.servers, reads_by_name)
        dispatcher.endpoint_state, dispatcher.zone, pool.servers = states, zones, servers
        self.take_answer(answer)
        dispatcher.endpoint_state, dispatcher.zone = states.uncounted(), zones.uncounted()
        pool.servers = servers.uncounted()
        return ReadCounts(
            entries=max(len(reads_by_index), len(reads_by_name)),
            reads=reads_by_index.total() + reads_by_name.total(),
        )

    def take_requests(self, count: int) -> None:
        """Take requests one after another; each has its answer before the next comes."""
        for i in range(count):
            request = Request(f"u{i}", i % REQUEST_CLASSES, self.clock.due_ms + DEADLINE_MS)
            self.clock.run(self._post, core.RequestArrived(request))
            self._advance_to(self.clock.due_ms + REQUEST_GAP_MS)

    def _call_discovery(self) -> Generator[Wait, str | None, None]:
        """Ask discovery for what is newer, and take in what it says."""
        target = protocol.watch_target(self._discovery.version, self._discovery.wait_ms)
        call: Steps = self._discovery.call(self._connection, target, inf)
        answer = yield from call
        self._discovery.heed(self._connection, answer)

    def _post(self, event: core.Event) -> None:
        """Hand an event to the reducer, and schedule what follows from its effects."""
        for effect in self._reducer.reduce(self.clock.due_ms, event):
            if isinstance(effect, core.SetTimer):
                self._schedule(effect.delay_ms, core.TimerFired(effect.timer_id))
            elif isinstance(effect, core.Probe):
                self._answer_probe(effect)
            elif isinstance(effect, core.SendAttempt):
                self._answer_attempt(effect)

    def _answer_probe(self, probe: core.Probe) -> None:
        """Schedule a server's load report."""
        self.probes += 1
        report = LoadReport(0.0, 0.0, FREE_SLOTS)
        ended = core.ProbeEnded(probe.server, Outcome.COMPLETED, ROUND_TRIP_MS, report)
        self._schedule(ROUND_TRIP_MS, ended)

    def _answer_attempt(self, attempt: core.SendAttempt) -> None:
        """Schedule an attempt's start and its end."""
        self.attempts += 1
        request_id, index = attempt.request_id, attempt.attempt_index
        self._schedule(ROUND_TRIP_MS, core.AttemptStarted(request_id, index))
        self._schedule(RUN_MS, core.AttemptEnded(request_id, index, Outcome.COMPLETED, True, None))

    def _schedule(self, delay_ms: float, event: core.Event) -> None:
        """Have an event happen after a delay."""
        self._scheduled_count += 1
        scheduled = ScheduledEvent(self.clock.due_ms + delay_ms, self._scheduled_count, event)
        heapq.heappush(self._scheduled, scheduled)

    def _advance_to(self, end_ms: float) -> None:
        """Let what is due by a time happen."""
        while self._scheduled and self._scheduled[0].due_ms <= end_ms:
            scheduled = heapq.heappop(self._scheduled)
            self.clock.advance_to(scheduled.due_ms)
            self.clock.run(self._post, scheduled.event)
        self.clock.advance_to(end_ms)
