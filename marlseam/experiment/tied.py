"""A process that ends when the one that started it does, however that ends: `python -m` this, PID, WORDS.

The words are marlseam's own.
"""

import ctypes
import os
import signal
import sys

DEATH_SIGNAL = 1  # PR_SET_PDEATHSIG of prctl(2)


def tie(parent: int) -> None:
    """Have the system kill this process when its parent ends; end at once where that has happened."""
    ctypes.CDLL(None, use_errno=True).prctl(DEATH_SIGNAL, signal.SIGKILL, 0, 0, 0)
    if os.getppid() != parent:
        os._exit(1)


if __name__ == "__main__":
    tie(int(sys.argv.pop(1)))
    from marlseam.__main__ import main

    main()
