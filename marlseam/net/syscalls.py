"""What the error of a system call means for a connection: the one place that reads error numbers of sockets.

Linux documents errors that pass by themselves and say nothing of the peer: a signal came, the kernel had no
memory or buffer at that moment, a limit of the system was reached. Taken for the peer's end they would lose
requests that were read, and have attempts sent twice.
"""

import errno
import select
import time
from collections.abc import Callable
from typing import TypeVar

TRANSIENT_ERRNOS = frozenset({errno.ENOMEM, errno.ENOBUFS, errno.ENOSPC})
MAX_START_TRIES = 200  # of a call without which no process can start, RETRY_MS apart
TRANSIENT_RETRY_MS = 5.0  # how long what has failed for a moment waits before it is tried again
MAX_POLL_TRIES = 8  # of a poll that waits for nothing
T = TypeVar("T")


def is_transient(error: OSError) -> bool:
    """Return whether an error passes by itself and says nothing of the peer."""
    return isinstance(error, BlockingIOError | InterruptedError) or error.errno in TRANSIENT_ERRNOS


def is_poll_ready(poller: select.poll, if_unknown: bool) -> bool:
    """Return whether a poll object has anything to tell now; `unknown` where the system cannot say."""
    for _ in range(MAX_POLL_TRIES):
        try:
            return bool(poller.poll(0))
        except OSError as error:
            if not is_transient(error):
                raise
    return if_unknown


def none_if_transient(call: Callable[[], T]) -> T | None:
    """Return what a call gives, or None where it fails for a moment; raises any other OSError."""
    try:
        return call()
    except OSError as error:
        if not is_transient(error):
            raise
        return None


def retry_transient(call: Callable[[], T]) -> T:
    """Return what a call gives that a start needs, tried again for a second while it fails for a moment.

    It blocks: for the time before a process serves alone.
    """
    for _ in range(MAX_START_TRIES):
        try:
            return call()
        except OSError as error:
            if not is_transient(error):
                raise
        time.sleep(TRANSIENT_RETRY_MS / 1000.0)
    return call()
