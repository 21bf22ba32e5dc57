"""Sample lines and times of the handover between two processes of a node."""

import time

from marlseam.recovery import handover_codec
from marlseam.recovery.handover_codec import AttemptSent


def encode_hello(node="node", process=1):
    """Return the hello line of a process."""
    return handover_codec.encode_hello(node, process)


def now_ms():
    """Return the Unix time in ms."""
    return time.time() * 1000.0


def attempt_sent(key="k", server="e1", cell=0):
    """Return an attempt sent now, whose key its server remembers for 30 s."""
    return AttemptSent(key, server, "here", cell, now_ms(), now_ms() + 30000.0)


def node_epoch_ms():
    """Return the Unix time (ms) of the zero of this machine's monotonic clock."""
    return now_ms() - 1000.0 * time.monotonic()
