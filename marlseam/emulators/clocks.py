"""A node with faulty clocks: the monotonic one runs at another rate, the wall clock is off by a constant.

MARLSEAM_CLOCKS="RATE JUMP_MS" python -m marlseam.emulators.clocks serve ...

The node's writer process has the machine's own clocks.
"""

import os
import time

from marlseam.__main__ import main

# Variable of the environment: the rate of the monotonic clock, the error of the wall clock in ms.
CLOCKS_VARIABLE = "MARLSEAM_CLOCKS"


def skew_clocks(rate: float, jump_ms: float) -> None:
    """Have this process's monotonic clock run at a rate, and its wall clock be ahead, from now on."""
    real_monotonic, real_time, zero_s = time.monotonic, time.time, time.monotonic()
    time.monotonic = lambda: zero_s + rate * (real_monotonic() - zero_s)
    time.time = lambda: real_time() + jump_ms / 1000.0


if __name__ == "__main__":
    skew_clocks(*map(float, os.environ[CLOCKS_VARIABLE].split()))
    main()
