"""Times that stay comparable when a clock is set: the start of the machine that they count from."""

import time
from pathlib import Path
from typing import NamedTuple

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")


class ClockEra(NamedTuple):
    """One start of the machine as one process sees it.

    Times of one start can be compared whatever becomes of the clock; those of two starts cannot.

    Attributes:
        boot: the kernel's id of this start, empty where it is not known.
        zero_ms: the Unix time (ms) at that start, by the clock of the process that writes.
    """

    boot: str
    zero_ms: float


def since_boot_ms() -> float:
    """Return the time since the machine's start, in ms, with the time that it was suspended."""
    return 1000.0 * time.clock_gettime(time.CLOCK_BOOTTIME)


def current_era(unix_now_ms: float | None = None) -> ClockEra:
    """Return the present era.

    `unix_now_ms` is what the writer's clock says now (Unix ms); None takes the system's clock.
    """
    try:
        boot = BOOT_ID_PATH.read_text().strip()
    except OSError:
        boot = ""  # no start of the machine is known for the same as another
    since_ms = since_boot_ms()
    return ClockEra(boot, (1000.0 * time.time() if unix_now_ms is None else unix_now_ms) - since_ms)


def unix_ms(era: ClockEra) -> float:
    """Return the present time on an era's scale (Unix ms)."""
    return era.zero_ms + since_boot_ms()
