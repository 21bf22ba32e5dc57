"""A node whose clocks are odd: the monotonic one runs at another rate, the wall clock is off by a jump.

MARLSEAM_CLOCKS="RATE JUMP_MS" python -m marlseam.emulators.clocks serve ...

The process that writes for it has the machine's own clocks.
"""

import os
import time

from marlseam.__main__ import main

VARIABLE = "MARLSEAM_CLOCKS"


def bend(rate: float, jump_ms: float) -> None:
    """Make this process's clocks odd from now on."""
    monotonic, wall, zero = time.monotonic, time.time, time.monotonic()
    time.monotonic = lambda: zero + rate * (monotonic() - zero)
    time.time = lambda: wall() + jump_ms / 1000.0


if __name__ == "__main__":
    bend(*map(float, os.environ[VARIABLE].split()))
    main()
