"""File descriptors in a shortage: releases others to open one, and holds spares for the node's own needs.

The node counts what it opens (docs/node.md, "Limits"), but fewer descriptors may be available: the process
may have inherited some, the limit may have been lowered, or other processes of the machine may use them.
"""

import contextlib
import errno
import os
from collections.abc import Callable
from typing import TypeVar

# Errors of a shortage in this process or in the system.
SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
SPARE_COUNT = 4  # spare descriptors for discovery, an operator, a file, and one in reserve
MAX_TRIES = 8  # tries of a call, with a release after each: a writer process needs five descriptors
T = TypeVar("T")


class Descriptors:
    """Opens file descriptors, and releases others if none is left.

    Each of `releasers` closes one connection on which nobody waits for an answer, and returns whether there
    was one; they are called in order.
    """

    def __init__(self) -> None:
        self.releasers: list[Callable[[], bool]] = []
        self.on_shortage: Callable[[], None] = lambda: None  # called whenever no descriptor is left
        self.spares: list[int] = []
        self.is_holding = False

    def hold_spares(self) -> None:
        """Hold spare descriptors from now on."""
        self.is_holding = True
        self.hold_all_spares()

    def hold_all_spares(self) -> bool:
        """Open the spare descriptors that were used, if possible; return whether all spares are held."""
        while self.is_holding and len(self.spares) < SPARE_COUNT:
            try:
                self.spares.append(os.dup(2))
            except OSError as error:
                # Without standard error, or if it may not be copied, waiting for spares is useless.
                return error.errno not in SHORTAGE_ERRNOS
        return True

    def release_one(self, use_spares: bool = False) -> bool:
        """Release one descriptor; return whether one was. `use_spares` allows a spare."""
        self.on_shortage()
        if any(release() for release in self.releasers):
            return True
        if use_spares and self.spares:
            os.close(self.spares.pop())
            return True
        return False

    def open_with_release(self, call: Callable[[], T], use_spares: bool = False) -> T:
        """Return what a call opens; in a shortage, release a descriptor and retry, up to MAX_TRIES times."""
        for _ in range(MAX_TRIES):
            try:
                return call()
            except OSError as error:
                if error.errno not in SHORTAGE_ERRNOS or not self.release_one(use_spares):
                    raise
        return call()

    def ensure_one(self) -> None:
        """Release a descriptor if needed, so that a file can be opened next; a failure is ignored."""
        with contextlib.suppress(OSError):
            os.close(self.open_with_release(lambda: os.dup(2), use_spares=True))

    def drop_spares(self) -> None:
        """Close the spare descriptors and hold none from now on."""
        self.is_holding = False
        while self.spares:
            os.close(self.spares.pop())
