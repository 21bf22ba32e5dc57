"""Runs marlseam as a process that is killed when its parent ends, for whatever reason the parent ends.

    python -m marlseam.experiment.exit_with_parent PARENT_PID ARGUMENTS

The arguments are those of `python -m marlseam`.
"""

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1  # option of prctl(2): the signal sent to a process whose parent ends
PARENT_GONE_EXIT_CODE = 1


def exit_with_parent(parent: int) -> None:
    """Have the kernel kill this process when its parent ends; exit now if the parent has already ended."""
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    if os.getppid() != parent:
        os._exit(PARENT_GONE_EXIT_CODE)


def main() -> None:
    """Remove the parent's process id from the arguments and run marlseam with the rest."""
    exit_with_parent(int(sys.argv.pop(1)))
    from marlseam.__main__ import main as run_marlseam

    run_marlseam()


if __name__ == "__main__":
    main()
