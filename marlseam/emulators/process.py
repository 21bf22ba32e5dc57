"""Base of all emulator processes: the clock of the run, the lines exchanged with the parent, the records.

An emulator listens on free ports and prints one JSON line with its addresses, the ready line. It then reads
one JSON line from standard input, `{"zero": SECONDS}`: the run's zero on the system's monotonic clock. Before
that line its time is 0. It ends on SIGTERM, SIGINT or the end of standard input, which comes when the parent
ends. With `--now` the run begins at once and standard input is not read.
"""

import json
import os
import signal
import sys
import time
from collections.abc import Callable, Mapping
from math import inf
from pathlib import Path
from typing import NamedTuple

from marlseam.net.log import Log, Reason
from marlseam.net.loop import READ, Coroutine, Loop
from marlseam.records import RecordStreams

INPUT_CHUNK_BYTES = 4096  # most bytes that are read from standard input at once


class QuietLog(Log):
    """The log of an emulator; it has no line for the end of a connection, as an emulator writes records."""

    def connection_ended(self, what: str, reason: Reason, messages: int) -> None:
        """Omit the log line for a connection that ended."""


class ScheduledCall(NamedTuple):
    """A call scheduled before the run's zero is known, for a time in ms of the run."""

    at_ms: float
    call: Callable[[], None]


class EmulatorProcess:
    """An emulator process: event loop, log, records and the clock of the run.

    Attributes:
        loop: the event loop.
        log: the log, on standard error.
        streams: the streams of the records that the process writes.
        zero_s: the run's zero on the system's monotonic clock, None until it is known.
    """

    def __init__(self, system: str, folder: Path | None) -> None:
        """Create the process; `system` names it in log and records, which stay in memory without a folder."""
        self.loop = Loop(lambda text: print(text, file=sys.stderr, flush=True))
        self.log = QuietLog(system, self.loop.now)
        self.streams = RecordStreams(folder, system)
        self.zero_s: float | None = None
        self._calls_before_zero: list[ScheduledCall] = []

    def now(self) -> float:
        """Return the time of the run in ms; 0 before the run's zero."""
        if self.zero_s is None:
            return 0.0
        return max(0.0, (time.monotonic() - self.zero_s) * 1000.0)

    def call_at(self, at_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call for a time in ms of the run; the zero need not be known yet."""
        if self.zero_s is None:
            self._calls_before_zero.append(ScheduledCall(at_ms, call))
        else:
            self.loop.call_at(self.loop.now() + at_ms - (time.monotonic() - self.zero_s) * 1000.0, call)

    def begin(self, zero_s: float) -> None:
        """Start the run's clock at `zero_s` of the monotonic clock, and schedule the calls kept so far."""
        self.zero_s = zero_s
        for scheduled in self._calls_before_zero:
            self.call_at(scheduled.at_ms, scheduled.call)
        self._calls_before_zero.clear()

    def stop(self) -> None:
        """Stop the event loop, which makes `run` return."""
        self.loop.stopped = True

    def run(self, ready: Mapping[str, object], now: bool = False) -> None:
        """Print the ready line, run until stopped, and end the records; with `now` the run begins at once."""
        self.loop.on_signals({signal.SIGTERM: self.stop, signal.SIGINT: self.stop})
        if now:
            self.begin(time.monotonic())
        else:
            self.loop.spawn(self._read_parent_lines())
        print(json.dumps(ready), flush=True)
        self.loop.run()
        self.loop.finish()
        self.streams.end(self.now())

    def _read_parent_lines(self) -> Coroutine:
        """Read the line with the run's zero from standard input, and stop at the end of input."""
        buffer = b""
        descriptor = sys.stdin.fileno()
        while True:
            yield (descriptor, READ, inf)
            data = os.read(descriptor, INPUT_CHUNK_BYTES)
            if not data:
                self.stop()
                return
            buffer += data
            while b"\n" in buffer:
                line, _, buffer = buffer.partition(b"\n")
                self.begin(float(json.loads(line)["zero"]))
