"""Memory and processor time of processes, as Linux tells them."""

import os
import time
from pathlib import Path

CPU_CLOCK_SCHED = 2  # of clockid_t: the scheduler's clock of a process, in its lowest bits
CPU_CLOCK_PID_SHIFT = 3
BYTES_PER_MB = 2.0**20
NS_PER_MS = 1e6


def resident_mb(pid: int | None = None) -> float:
    """Return how much memory of a process is resident; of this process if none is named."""
    pages = int(Path(f"/proc/{pid or os.getpid()}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


def process_cpu_ms(pid: int) -> float:
    """Return the processor time that a process has used, from its own clock, which counts nanoseconds."""
    clock_id = (~pid << CPU_CLOCK_PID_SHIFT) | CPU_CLOCK_SCHED
    return time.clock_gettime_ns(clock_id) / NS_PER_MS
