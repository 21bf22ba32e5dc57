"""The clock of a run on sockets, and the records of its driver."""

import threading
import time

from marlseam.records import Record, RecordStreams


class DriverRecorder:
    """Writes the driver's records, from any thread: a race would show as a gap in their numbers."""

    def __init__(self, streams: RecordStreams) -> None:
        """Make one whose records go to `streams`."""
        self._zero_s: float | None = None
        self._streams = streams
        self._lock = threading.Lock()

    def begin(self) -> None:
        """Begin the stream of records."""
        self._streams.of("driver")

    @property
    def zero_s(self) -> float:
        """Return the run's zero, in seconds of the monotonic clock."""
        if self._zero_s is None:
            raise RuntimeError("the run's zero is not set")
        return self._zero_s

    @zero_s.setter
    def zero_s(self, zero_s: float) -> None:
        self._zero_s = zero_s

    def now_ms(self) -> float:
        """Return the time since the run's zero in ms, 0 before the zero is set."""
        return 0.0 if self._zero_s is None else (time.monotonic() - self._zero_s) * 1000.0

    def add(self, record: Record) -> None:
        """Write a record."""
        with self._lock:
            self._streams.of("driver").add(record)

    def end(self) -> None:
        """End the stream whole."""
        self._streams.end(self.now_ms())
