"""Graceful shutdown: answer what is taken, take what still comes, then end.

After the signal a node goes on listening for LISTEN_MS, so that there is one while another that restarted
before it is not back yet; where another process goes on with the socket, it stops at once. Open requests have
until the drain is over; after that all are answered and the process ends.
"""

from math import inf

from marlseam import core
from marlseam.net import downstream
from marlseam.net.node_interface import NodeInterface

LISTEN_MS = 600.0  # how long new connections may still come after the signal
IDLE_GRACE_MS = 300.0  # how long clients may go on using the connections that they have, once out of service
# How long requests are to go on after the signal, the longest deadline if that is less; what is still open
# ANSWER_MS later is answered then.
MAX_DRAIN_MS = 3000.0
KEEP_SHARE = 0.4  # of that time, in which clients may go on using the connections that they have
ANSWER_MS = 300.0  # after the drain, until all that is still open is answered
EXIT_MS = 500.0  # by when after the drain the node ends at the latest,
LAST_READ_MS = 100.0  # but not before what came on the last connections could be read


class GracefulShutdown:
    """Ends a node; `is_ending` says whether that has begun."""

    def __init__(self, node: NodeInterface) -> None:
        self.node = node
        self.is_ending = False

    def begin(self) -> None:
        """Begin to end, after a signal; a second one changes nothing."""
        if self.is_ending:
            return
        self.is_ending = True
        node, config = self.node, self.node.config
        began_ms = node.loop.now()
        is_socket_shared = config.socket_fd is not None
        if node.membership is not None and is_socket_shared:
            node.membership.leave()  # the later process is the member from here on
        drain_ms = self.drain_ms()
        node.log.line(f"told to end with {len(node.requests.pending)} requests open")
        node.post(core.ShutdownBegun(drain_ms + ANSWER_MS))
        # Guards against a moment without any node: the one that restarted before this may not be back yet.
        # Where the socket is handed on, the one that goes on accepting is there already, or will be.
        idle_grace_ms = IDLE_GRACE_MS if is_socket_shared else max(LISTEN_MS, KEEP_SHARE * drain_ms)
        node.downstream.drain(0.0 if is_socket_shared else idle_grace_ms, idle_grace_ms)
        listen_ms = 0.0 if is_socket_shared else LISTEN_MS
        node.loop.at(began_ms + listen_ms, node.downstream.stop_listening)
        last_ms = began_ms + max(drain_ms + EXIT_MS, idle_grace_ms + LAST_READ_MS)
        node.loop.at(began_ms + idle_grace_ms, lambda: self.finish(last_ms))

    def drain_ms(self) -> float:
        """Return how long open requests may go on."""
        classes = self.node.config.deployment.settings.request_classes
        deadlines = [of_class.deadline_ms for of_class in classes if of_class.deadline_ms < inf]
        return min(MAX_DRAIN_MS, max(deadlines, default=0.0))

    def finish(self, last_ms: float) -> None:
        """Stop the loop once no client waits any more, at `last_ms` at the latest."""
        node, loop = self.node, self.node.loop
        if node.downstream.has_waiting_clients() and loop.now() < last_ms:
            loop.at(loop.now() + downstream.DRAIN_CHECK_MS, lambda: self.finish(last_ms))
            return
        node.downstream.refuse_unread()
        for line in node.shadow_policy.lines() if node.shadow_policy is not None else ():
            node.log.line(line)
        late = f"timers at most {loop.late_ms:.0f} ms late, turns at most {loop.turn_ms:.0f} ms"
        node.log.line(f"ends with {len(node.requests.pending)} requests open, {late}")
        loop.stopped = True
