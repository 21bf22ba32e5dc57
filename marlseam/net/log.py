"""Lines on standard error by plain print, rate-limited, with the reason codes of ended connections."""

import select
import sys
from collections.abc import Callable
from enum import Enum

from marlseam.net import syscalls

MAX_BURST_LINES, LINES_PER_S = 200.0, 50.0  # lines at once, and lines a second after that
MAX_LINE_BYTES = select.PIPE_BUF  # bytes, which a pipe that is ready takes at once
RESERVED_LINES = 100.0  # of the lines at once, kept from the ends of connections for all else


class Reason(Enum):
    """Why a connection ended."""

    DONE = "done"  # the last message said so
    IDLE = "idle"  # stood unused for its time
    PEER_CLOSED = "peer-closed"
    PEER_RESET = "peer-reset"
    REFUSED = "refused"
    NO_CONNECT = "no-connect"  # did not come up in time
    NO_SOCKETS = "no-sockets"  # this process may open no more
    CROWDED = "crowded"  # closed to make room
    DECLINED = "declined"  # answered with an error
    TIMED_OUT = "timed-out"
    WITHDRAWN = "withdrawn"  # nobody waits for it any more
    BAD_MESSAGE = "bad-message"
    TOO_LARGE = "too-large"
    FORGOTTEN = "forgotten"  # its server is gone or has another address
    DRAINING = "draining"  # this node stops
    FAULT = "fault"  # an error of this program


class Log:
    """Prints lines while a budget lasts, and says how many it dropped once there is some again."""

    def __init__(self, name: str, now: Callable[[], float]) -> None:
        self.name, self.now = name, now
        self.budget, self.at_ms, self.dropped = MAX_BURST_LINES, now(), 0

    def line(self, text: str, reserved: float = 0.0) -> None:
        """Print a line, or count it as dropped where it would take from what is kept for others."""
        now = self.now()
        self.budget = min(MAX_BURST_LINES, self.budget + (now - self.at_ms) * LINES_PER_S / 1000.0)
        self.at_ms = now
        if self.budget < 1.0 + reserved:
            self.dropped += 1
            return
        if self.dropped:
            self.write(f"{self.dropped} lines dropped")
            self.dropped = 0
        self.budget -= 1.0
        self.write(text)

    def connection_ended(self, what: str, reason: Reason, messages: int) -> None:
        """Print the one line of a connection that has ended, with how many messages it carried out.

        Guards what staff wait for, as that a new configuration holds, against floods of connections.
        """
        self.line(f"{what} ended code={reason.value} messages={messages}", RESERVED_LINES)

    def write(self, text: str) -> None:
        """Print a line at once, cut to a length; one that would have to be waited for is dropped and counted.

        A closed standard error is no reason to stop, nor is one that nobody reads.
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
    """Return whether standard error takes a line without a wait; also where it is no file of the system's."""
    try:
        number = sys.stderr.fileno()
    except (OSError, AttributeError):
        return True  # a stand-in of a test's
    poller = select.poll()
    poller.register(number, select.POLLOUT)
    return syscalls.is_poll_ready(poller, if_unknown=False)
