"""A node's discovery client, upstream client and reducer, connected as in a real node, without sockets."""

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

REQUEST_GAP_MS = 5.0  # time between two requests
REQUEST_CLASSES = 2  # the first classes of the settings are used in turn
DEADLINE_MS = 5000.0
ROUND_TRIP_MS = 1.0  # time from a probe to its answer, and from sending an attempt to its start
RUN_MS = 1.5  # time from sending an attempt to its completion
FREE_SLOTS = 8.0  # free slots that each server reports


class SilentLog(Log):
    """A log that discards its lines."""

    def write(self, text: str) -> None:
        """Discard a line."""


class InMemorySocket:
    """The part of a socket that `Connection` uses; reads return the input set, writes are discarded."""

    def __init__(self) -> None:
        self._unread = memoryview(b"")

    def set_input(self, data: bytes) -> None:
        """Set the bytes that the next reads return."""
        self._unread = memoryview(data)

    def recv_into(self, buffer: memoryview) -> int:
        """Read into `buffer`, and return the number of bytes; raises BlockingIOError if none are left."""
        if not self._unread:
            raise BlockingIOError
        count = min(len(buffer), len(self._unread))
        buffer[:count] = self._unread[:count]
        self._unread = self._unread[count:]
        return count

    def send(self, data: memoryview) -> int:
        """Discard bytes, and return their number."""
        return len(data)

    def fileno(self) -> int:
        """Return -1, since there is no descriptor."""
        return -1


class ScheduledEvent(NamedTuple):
    """An event that the reducer receives at a later time.

    Attributes:
        due_ms: the virtual time of the event.
        order: the order among events that are due at the same time.
        event: the event for the reducer.
    """

    due_ms: float
    order: int
    event: core.Event


class InProcessNode:
    """A node that handles discovery's answers and requests on a virtual clock of its processor time.

    Each server answers probes and attempts after fixed times.

    Attributes:
        clock: the node's virtual time, and the processor time that it has used.
        probes, attempts: the number of probes and attempts sent.
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
        # The connection uses only those methods of a socket that `InMemorySocket` has.
        as_socket = cast(socket.socket, self._socket)
        self._connection = Connection(self._loop, log, as_socket, h11.CLIENT, "discovery")
        self._post(core.NodeStarted(settings_for_process(config.deployment.settings), config.seed))

    def close(self) -> None:
        """Close the event loop's descriptors."""
        self._loop.poll.close()
        self._loop.prioritized.close()

    def apply_answer(self, answer: bytes) -> None:
        """Call discovery and apply its answer; each wait in between ends a turn."""
        self._socket.set_input(answer)
        steps = self._call_discovery()
        resumed_with: str | None = None
        try:
            while True:
                wait: Wait = self.clock.run(steps.send, resumed_with)
                resumed_with = READY if wait[0] >= 0 else LATE
        except StopIteration:
            return

    def apply_answer_counting_reads(self, answer: bytes) -> ReadCounts:
        """Apply an answer, and return how many entries of the node's tables were read for it."""
        reads_by_index, reads_by_name = Counter[int](), Counter[str]()
        dispatcher, pool = self._reducer.dispatcher, self._upstream.pool
        states = CountingList(dispatcher.endpoint_state, reads_by_index)
        zones = CountingList(dispatcher.zone, reads_by_index)
        servers = CountingDict(pool.servers, reads_by_name)
        dispatcher.endpoint_state, dispatcher.zone, pool.servers = states, zones, servers
        self.apply_answer(answer)
        dispatcher.endpoint_state, dispatcher.zone = states.uncounted(), zones.uncounted()
        pool.servers = servers.uncounted()
        return ReadCounts(
            entries=max(len(reads_by_index), len(reads_by_name)),
            reads=reads_by_index.total() + reads_by_name.total(),
        )

    def handle_requests(self, count: int) -> None:
        """Handle requests one after another; each is answered before the next one arrives."""
        for i in range(count):
            request = Request(f"u{i}", i % REQUEST_CLASSES, self.clock.due_ms + DEADLINE_MS)
            self.clock.run(self._post, core.RequestArrived(request))
            self._advance_to(self.clock.due_ms + REQUEST_GAP_MS)

    def _call_discovery(self) -> Generator[Wait, str | None, None]:
        """Watch discovery for changes, and apply its answer."""
        target = protocol.watch_target(self._discovery.version, self._discovery.wait_ms)
        call: Steps = self._discovery.call(self._connection, target, inf)
        answer = yield from call
        self._discovery.apply_answer(self._connection, answer)

    def _post(self, event: core.Event) -> None:
        """Pass an event to the reducer, and schedule the events that follow from its effects."""
        for effect in self._reducer.reduce(self.clock.due_ms, event):
            if isinstance(effect, core.SetTimer):
                self._schedule(effect.delay_ms, core.TimerFired(effect.timer_id))
            elif isinstance(effect, core.Probe):
                self._answer_probe(effect)
            elif isinstance(effect, core.SendAttempt):
                self._answer_attempt(effect)

    def _answer_probe(self, probe: core.Probe) -> None:
        """Schedule a server's answer to a probe: a load report of an idle server."""
        self.probes += 1
        report = LoadReport(0.0, 0.0, FREE_SLOTS)
        ended = core.ProbeEnded(probe.server, Outcome.COMPLETED, ROUND_TRIP_MS, report)
        self._schedule(ROUND_TRIP_MS, ended)

    def _answer_attempt(self, attempt: core.SendAttempt) -> None:
        """Schedule the start and the completion of an attempt."""
        self.attempts += 1
        request_id, index = attempt.request_id, attempt.attempt_index
        self._schedule(ROUND_TRIP_MS, core.AttemptStarted(request_id, index))
        self._schedule(RUN_MS, core.AttemptEnded(request_id, index, Outcome.COMPLETED, True, None))

    def _schedule(self, delay_ms: float, event: core.Event) -> None:
        """Schedule an event after a delay."""
        self._scheduled_count += 1
        scheduled = ScheduledEvent(self.clock.due_ms + delay_ms, self._scheduled_count, event)
        heapq.heappush(self._scheduled, scheduled)

    def _advance_to(self, end_ms: float) -> None:
        """Run all events that are due by a time, and advance the clock to it."""
        while self._scheduled and self._scheduled[0].due_ms <= end_ms:
            scheduled = heapq.heappop(self._scheduled)
            self.clock.advance_to(scheduled.due_ms)
            self.clock.run(self._post, scheduled.event)
        self.clock.advance_to(end_ms)
