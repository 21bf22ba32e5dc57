"""A node with faulty clocks: the monotonic clock has a wrong rate, the wall clock a constant offset.

MARLSEAM_CLOCKS="RATE OFFSET_MS" python -m marlseam.emulators.clocks serve ...

The node's writer process keeps the clocks of the machine.
"""

import os
import time

from marlseam.__main__ import main

# Environment variable: the rate of the monotonic clock (1 is correct) and the offset of the wall clock in ms.
CLOCKS_VARIABLE = "MARLSEAM_CLOCKS"


def patch_clocks(rate: float, offset_ms: float) -> None:
    """Patch `time` in this process: scale the monotonic clock by `rate`, add an offset to the wall clock."""
    real_monotonic, real_time, patched_at_s = time.monotonic, time.time, time.monotonic()
    time.monotonic = lambda: patched_at_s + rate * (real_monotonic() - patched_at_s)
    time.time = lambda: real_time() + offset_ms / 1000.0


if __name__ == "__main__":
    patch_clocks(*map(float, os.environ[CLOCKS_VARIABLE].split()))
    main()
