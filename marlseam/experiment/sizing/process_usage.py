"""Memory and processor time of processes, read from Linux."""

import os
import time
from pathlib import Path

CPU_CLOCK_SCHED = 2  # lowest bits of a clockid_t: the scheduler's clock of a process
CPU_CLOCK_PID_SHIFT = 3
BYTES_PER_MB = 2.0**20
NS_PER_MS = 1e6


def resident_mb(pid: int | None = None) -> float:
    """Return the resident memory of a process in MB; of this process if `pid` is None."""
    pages = int(Path(f"/proc/{pid or os.getpid()}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


def process_cpu_ms(pid: int) -> float:
    """Return the processor time in ms that a process has used, read from its clock in nanoseconds."""
    clock_id = (~pid << CPU_CLOCK_PID_SHIFT) | CPU_CLOCK_SCHED
    return time.clock_gettime_ns(clock_id) / NS_PER_MS
