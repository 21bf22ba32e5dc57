"""File descriptors where none is left: what closes one, and spares for the node's own needs.

The node counts what it opens (docs/node.md, "Limits"), but the system may have fewer: descriptors that the
process was started with, a limit that was lowered, other processes of the machine.
"""

import contextlib
import errno
import os
from collections.abc import Callable
from typing import TypeVar

SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # in this process or the system
SPARE_COUNT = 4  # for discovery, an operator, a file, and one more
MAX_TRIES = 8  # of one call, each after something was given up: a writing process needs five at once
T = TypeVar("T")


class Descriptors:
    """Has others give up theirs for what is to be opened.

    `givers` each close one connection that nothing is owed on and return whether there was one; they are
    asked in order.
    """

    def __init__(self) -> None:
        self.releasers: list[Callable[[], bool]] = []
        self.on_shortage: Callable[[], None] = lambda: None  # told whenever nothing is left
        self.spares: list[int] = []
        self.is_holding = False

    def hold_spares(self) -> None:
        """Hold spares from here on."""
        self.is_holding = True
        self.hold_all_spares()

    def hold_all_spares(self) -> bool:
        """Return whether all spares are held, and hold those that were used again where that can be."""
        while self.is_holding and len(self.spares) < SPARE_COUNT:
            try:
                self.spares.append(os.dup(2))
            except OSError as error:
                # Where there is no standard error, or no copy may be made, there is nothing to wait for.
                return error.errno not in SHORTAGE_ERRNOS
        return True

    def release_one(self, own: bool = False) -> bool:
        """Have one descriptor given up; return whether one was. `own`: the node's needs may have a spare."""
        self.on_shortage()
        if any(give() for give in self.releasers):
            return True
        if own and self.spares:
            os.close(self.spares.pop())
            return True
        return False

    def opened(self, call: Callable[[], T], own: bool = False) -> T:
        """Return what a call opens, made again after something was given up where nothing is left."""
        for _ in range(MAX_TRIES):
            try:
                return call()
            except OSError as error:
                if error.errno not in SHORTAGE_ERRNOS or not self.release_one(own):
                    raise
        return call()

    def ensure(self) -> None:
        """See to it that a file can be opened next, where that is in our power."""
        with contextlib.suppress(OSError):
            os.close(self.opened(lambda: os.dup(2), own=True))

    def drop_spares(self) -> None:
        """Hold no spares any more."""
        self.is_holding = False
        while self.spares:
            os.close(self.spares.pop())
