"""The rate-limited log on standard error, and the reason codes of ended connections."""

import select
import sys
from collections.abc import Callable
from enum import Enum

from marlseam.net import syscalls

MAX_BURST_LINES, LINES_PER_S = 200.0, 50.0  # lines at once, and lines per second after these
MAX_LINE_BYTES = select.PIPE_BUF  # number of bytes that a writable pipe accepts without blocking
RESERVED_LINES = 100.0  # part of MAX_BURST_LINES that lines on ended connections may not use


class Reason(Enum):
    """Why a connection ended."""

    DONE = "done"  # ended after a complete message
    IDLE = "idle"  # its idle time-out expired
    PEER_CLOSED = "peer-closed"
    PEER_RESET = "peer-reset"
    REFUSED = "refused"
    NO_CONNECT = "no-connect"  # not established in time
    NO_SOCKETS = "no-sockets"  # this process may open no more sockets
    CROWDED = "crowded"  # closed to free capacity
    DECLINED = "declined"  # the peer answered with an error
    TIMED_OUT = "timed-out"
    WITHDRAWN = "withdrawn"  # its message is no longer needed
    BAD_MESSAGE = "bad-message"
    TOO_LARGE = "too-large"
    FORGOTTEN = "forgotten"  # its server was removed or its address changed
    DRAINING = "draining"  # this node drains or stops
    FAULT = "fault"  # an error of this program


class Log:
    """Prints lines within a budget; when the budget allows, logs how many lines were dropped before."""

    def __init__(self, name: str, now: Callable[[], float]) -> None:
        self.name, self.now = name, now
        self.budget, self.budget_updated_ms, self.dropped = MAX_BURST_LINES, now(), 0

    def line(self, text: str, reserved: float = 0.0) -> None:
        """Print a line, or count it as dropped if the budget would fall below `reserved` lines."""
        now = self.now()
        self.budget = min(
            MAX_BURST_LINES, self.budget + (now - self.budget_updated_ms) * LINES_PER_S / 1000.0
        )
        self.budget_updated_ms = now
        if self.budget < 1.0 + reserved:
            self.dropped += 1
            return
        if self.dropped:
            self.write(f"{self.dropped} lines dropped")
            self.dropped = 0
        self.budget -= 1.0
        self.write(text)

    def connection_ended(self, what: str, reason: Reason, messages: int) -> None:
        """Print the one line of a connection that has ended, with the number of messages written on it.

        Guards lines that operators wait for, such as the line on a new configuration, against being dropped
        in a flood of connections.
        """
        self.line(f"{what} ended code={reason.value} messages={messages}", RESERVED_LINES)

    def write(self, text: str) -> None:
        """Print a line at once, cut to MAX_LINE_BYTES; a line that would block is dropped and counted.

        The node keeps running if standard error is closed or not read.
        """
        line = f"marlseam {self.name}: {text}".encode(errors="replace")[: MAX_LINE_BYTES - 1]
        try:
            if can_write_line():
                print(line.decode(errors="ignore"), file=sys.stderr, flush=True)
                return
        except (OSError, ValueError):
            pass
        self.dropped += 1


def can_write_line() -> bool:
    """Return whether standard error accepts a line without blocking; True if it has no file descriptor."""
    try:
        descriptor = sys.stderr.fileno()
    except (OSError, AttributeError):
        return True  # replaced by an object of a test
    poller = select.poll()
    poller.register(descriptor, select.POLLOUT)
    return syscalls.is_poll_ready(poller, if_unknown=False)
