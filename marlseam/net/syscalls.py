"""Transient errors of system calls on sockets, and retries.

Linux documents errors that are transient and do not concern the peer: a signal arrived, the kernel had no
memory or buffer at that moment, or a limit of the system was reached. If these were taken for the peer's end,
requests that were read would be lost and attempts would be sent twice.
"""

import errno
import select
import time
from collections.abc import Callable
from typing import TypeVar

TRANSIENT_ERRNOS = frozenset({errno.ENOMEM, errno.ENOBUFS, errno.ENOSPC})
MAX_START_TRIES = 200  # tries of a call that a process needs to start, TRANSIENT_RETRY_MS apart
TRANSIENT_RETRY_MS = 5.0  # wait before a call with a transient error is retried
MAX_POLL_TRIES = 8  # tries of a poll with time-out 0
T = TypeVar("T")


def is_transient(error: OSError) -> bool:
    """Return whether an error is transient and does not concern the peer."""
    return isinstance(error, BlockingIOError | InterruptedError) or error.errno in TRANSIENT_ERRNOS


def is_poll_ready(poller: select.poll, if_unknown: bool) -> bool:
    """Return whether a poll object has events now; `if_unknown` if all tries fail transiently."""
    for _ in range(MAX_POLL_TRIES):
        try:
            return bool(poller.poll(0))
        except OSError as error:
            if not is_transient(error):
                raise
    return if_unknown


def none_if_transient(call: Callable[[], T]) -> T | None:
    """Return a call's result, or None if it fails with a transient error; raises any other OSError."""
    try:
        return call()
    except OSError as error:
        if not is_transient(error):
            raise
        return None


def retry_transient(call: Callable[[], T]) -> T:
    """Return the result of a call, retried for 1 s while it fails with a transient error.

    Blocks the process: only for calls at the start, before the process serves.
    """
    for _ in range(MAX_START_TRIES):
        try:
            return call()
        except OSError as error:
            if not is_transient(error):
                raise
        time.sleep(TRANSIENT_RETRY_MS / 1000.0)
    return call()
