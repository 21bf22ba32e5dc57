"""Lines that an old process of a node tells the new one."""

import time

from marlseam.recovery import handover_codec
from marlseam.recovery.handover_codec import AttemptSent


def encode_hello(node="node", process=1):
    """Return the line by which a process presents itself."""
    return handover_codec.encode_hello(node, process)


def now_ms():
    """Return the Unix time."""
    return time.time() * 1000.0


def attempt_sent(key="k", server="e1", cell=0):
    """Return an attempt that is sent now and remembered by its server for 30 s."""
    return AttemptSent(key, server, "here", cell, now_ms(), now_ms() + 30000.0)


def node_epoch_ms():
    """Return the Unix time of this machine's monotonic zero."""
    return now_ms() - 1000.0 * time.monotonic()
