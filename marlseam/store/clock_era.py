"""Clock eras: times relative to a start of the machine, which stay comparable when the clock is set."""

import time
from pathlib import Path
from typing import NamedTuple

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")


class ClockEra(NamedTuple):
    """One start of the machine, with one process's time scale.

    Times of the same start can be compared even if the clock is set in between; times of different starts
    cannot.

    Attributes:
        boot: the kernel's boot id, empty if it is not known.
        zero_ms: the Unix time (ms) of that start, by the clock of the process that writes.
    """

    boot: str
    zero_ms: float


def since_boot_ms() -> float:
    """Return the time since the machine's start in ms, including time in which the machine was suspended."""
    return 1000.0 * time.clock_gettime(time.CLOCK_BOOTTIME)


def current_era(unix_now_ms: float | None = None) -> ClockEra:
    """Return the era of the current start of the machine.

    `unix_now_ms` is the present time of the writer's clock (Unix ms); None takes the system's clock.
    """
    try:
        boot = BOOT_ID_PATH.read_text().strip()
    except OSError:
        boot = ""  # without an id, no two starts count as the same
    since_ms = since_boot_ms()
    return ClockEra(boot, (1000.0 * time.time() if unix_now_ms is None else unix_now_ms) - since_ms)


def unix_ms(era: ClockEra) -> float:
    """Return the present time on an era's scale (Unix ms)."""
    return era.zero_ms + since_boot_ms()
