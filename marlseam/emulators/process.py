"""What emulator processes share: the run's clock, the lines exchanged with the parent, the records.

An emulator listens on free ports and prints one JSON line with its addresses when it is ready. Then it takes
one JSON line on standard input, `{"zero": SECONDS}`, the run's zero on the system's monotonic clock; before
that its time stands at 0. It ends on SIGTERM, and when standard input ends, as it does when the parent does;
`--now` begins the run at once and leaves standard input alone.
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

INPUT_CHUNK_BYTES = 4096


class QuietLog(Log):
    """The log of an emulator, which writes records instead of lines on its connections' ends."""

    def connection_ended(self, what: str, reason: Reason, messages: int) -> None:
        """Print nothing."""


class ScheduledCall(NamedTuple):
    """A call that is due at a time of the run, in ms."""

    at_ms: float
    call: Callable[[], None]


class EmulatorProcess:
    """One emulator process.

    Attributes:
        loop: its event loop.
        log: its log, on standard error.
        streams: the streams of records that it writes.
        zero_s: the run's zero on the system's monotonic clock, None until it is known.
    """

    def __init__(self, system: str, folder: Path | None) -> None:
        """Make the emulator of a part of the system; its records go to a folder, or are kept in memory."""
        self.loop = Loop(lambda text: print(text, file=sys.stderr, flush=True))
        self.log = QuietLog(system, self.loop.now)
        self.streams = RecordStreams(folder, system)
        self.zero_s: float | None = None
        self._calls_before_zero: list[ScheduledCall] = []

    def now(self) -> float:
        """Return the time of the run in ms; 0 before its zero."""
        if self.zero_s is None:
            return 0.0
        return max(0.0, (time.monotonic() - self.zero_s) * 1000.0)

    def call_at(self, at_ms: float, call: Callable[[], None]) -> None:
        """Call at a time of the run."""
        if self.zero_s is None:
            self._calls_before_zero.append(ScheduledCall(at_ms, call))
        else:
            self.loop.at(self.loop.now() + at_ms - (time.monotonic() - self.zero_s) * 1000.0, call)

    def begin(self, zero_s: float) -> None:
        """Start the run's clock."""
        self.zero_s = zero_s
        for scheduled in self._calls_before_zero:
            self.call_at(scheduled.at_ms, scheduled.call)
        self._calls_before_zero.clear()

    def stop(self) -> None:
        """End the event loop."""
        self.loop.stopped = True

    def run(self, ready: Mapping[str, object], now: bool = False) -> None:
        """Print the ready line and run until the end; with `now` the run begins at once."""
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
        """Take the line with the run's zero, then stop at the end of standard input."""
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
