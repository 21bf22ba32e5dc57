"""The clock of a run on sockets and the writer of its driver's records."""

import threading
import time

from marlseam.records import Record, RecordStreams


class DriverRecorder:
    """Writes the driver's records from any thread; a race would show as a gap in the records' numbers."""

    def __init__(self, streams: RecordStreams) -> None:
        self._zero_s: float | None = None
        self._streams = streams
        self._lock = threading.Lock()

    def begin(self) -> None:
        """Begin the stream of the driver's records."""
        self._streams.of("driver")

    @property
    def zero_s(self) -> float:
        """The run's zero in seconds of the monotonic clock; raises RuntimeError before it is set."""
        if self._zero_s is None:
            raise RuntimeError("the run's time 0 was read before the driver set it")
        return self._zero_s

    @zero_s.setter
    def zero_s(self, zero_s: float) -> None:
        self._zero_s = zero_s

    def now_ms(self) -> float:
        """Return the time since the run's zero in ms; 0 until the zero is set."""
        return 0.0 if self._zero_s is None else (time.monotonic() - self._zero_s) * 1000.0

    def add(self, record: Record) -> None:
        """Write a record to the driver's stream; may be called from any thread."""
        with self._lock:
            self._streams.of("driver").add(record)

    def end(self) -> None:
        """Write the end of the stream, which marks the stream as complete."""
        self._streams.end(self.now_ms())
