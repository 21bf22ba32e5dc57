"""Runs marlseam as a process that ends when its parent does, however that ends.

    python -m marlseam.experiment.exit_with_parent PARENT_PID ARGUMENTS

The arguments are those of `python -m marlseam`.
"""

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1  # of prctl(2)
PARENT_IS_GONE = 1  # exit code


def exit_with_parent(parent: int) -> None:
    """Have the system kill this process when its parent ends; end at once where that has happened."""
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    if os.getppid() != parent:
        os._exit(PARENT_IS_GONE)


def main() -> None:
    """Run marlseam, with the parent's process id taken off the arguments."""
    exit_with_parent(int(sys.argv.pop(1)))
    from marlseam.__main__ import main as run_marlseam

    run_marlseam()


if __name__ == "__main__":
    main()
