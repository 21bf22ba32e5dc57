"""Lines on standard error by plain print, rate-limited, with the reason codes of ended connections."""

import sys
from collections.abc import Callable
from enum import Enum

BURST, PER_S = 200.0, 50.0  # lines at once, and lines a second after that
KEPT = 100.0  # of the lines at once, kept from the ends of connections for all else


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
    FORGOTTEN = "forgotten"  # its executor is gone or has another address
    DRAINING = "draining"  # this node stops
    FAULT = "fault"  # an error of this program


class Log:
    """Prints lines while the allowance lasts, and tells how many it dropped once there is some again."""

    def __init__(self, name: str, now: Callable[[], float]) -> None:
        self.name, self.now = name, now
        self.allowance, self.at_ms, self.dropped = BURST, now(), 0

    def line(self, text: str, kept: float = 0.0) -> None:
        """Print a line, or count it as dropped where it would take from what is kept for others."""
        now = self.now()
        self.allowance = min(BURST, self.allowance + (now - self.at_ms) * PER_S / 1000.0)
        self.at_ms = now
        if self.allowance < 1.0 + kept:
            self.dropped += 1
            return
        if self.dropped:
            self.write(f"{self.dropped} lines dropped")
            self.dropped = 0
        self.allowance -= 1.0
        self.write(text)

    def ended(self, what: str, reason: Reason, messages: int) -> None:
        """Print the one line of a connection that has ended, with how many messages it carried out.

        Guards what staff wait for, as that a new configuration holds, against floods of connections.
        """
        self.line(f"{what} ended code={reason.value} messages={messages}", KEPT)

    def write(self, text: str) -> None:
        """Print a line at once; a closed standard error is no reason to stop."""
        try:
            print(f"marlseam {self.name}: {text}", file=sys.stderr, flush=True)
        except OSError:
            self.dropped += 1
