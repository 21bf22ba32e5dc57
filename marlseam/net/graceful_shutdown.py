"""Graceful shutdown: answer the open requests, accept new ones for a while, then end the process.

After the signal a node goes on listening for LISTEN_MS, so that some node listens while another that
restarted before it is not back yet; where another process goes on with the socket, it stops listening at
once. Open requests may run until the drain is over; after that all are answered and the process ends.
"""

from math import inf

from marlseam import core
from marlseam.net import downstream
from marlseam.net.node_interface import NodeInterface

LISTEN_MS = 600.0  # how long new connections are accepted after the signal
IDLE_GRACE_MS = 300.0  # how long clients may go on using open connections once the node is out of service
# How long open requests may run after the signal, or the longest deadline if that is less. Requests that are
# still open ANSWER_MS later are answered then.
MAX_DRAIN_MS = 3000.0
KEEP_SHARE = 0.4  # share of the drain time in which clients may go on using open connections
ANSWER_MS = 300.0  # from the end of the drain until all requests that are still open are answered
EXIT_MS = 500.0  # from the end of the drain to the latest end of the process
LAST_READ_MS = 100.0  # least time after the idle grace to read what has arrived on connections


class GracefulShutdown:
    """Ends a node's process; `is_ending` is true once the shutdown has begun."""

    def __init__(self, node: NodeInterface) -> None:
        self.node = node
        self.is_ending = False

    def begin(self) -> None:
        """Begin the shutdown, on SIGTERM or SIGINT; a second signal changes nothing."""
        if self.is_ending:
            return
        self.is_ending = True
        node, config = self.node, self.node.config
        began_ms = node.loop.now()
        is_socket_shared = config.socket_fd is not None
        if node.membership is not None and is_socket_shared:
            node.membership.leave()  # frees the address: the later process is the member from here on
        drain_ms = self.drain_ms()
        node.log.line(
            f"shutdown begins with {len(node.requests.pending)} requests open, to be answered before its end"
        )
        node.post(core.ShutdownBegun(drain_ms + ANSWER_MS))
        # Guards against a time at which no node listens: another that restarted may not be back yet.
        # With a shared socket another process of this node accepts connections already, or will.
        idle_grace_ms = IDLE_GRACE_MS if is_socket_shared else max(LISTEN_MS, KEEP_SHARE * drain_ms)
        node.downstream.drain(0.0 if is_socket_shared else idle_grace_ms, idle_grace_ms)
        listen_ms = 0.0 if is_socket_shared else LISTEN_MS
        node.loop.call_at(began_ms + listen_ms, node.downstream.stop_listening)
        last_ms = began_ms + max(drain_ms + EXIT_MS, idle_grace_ms + LAST_READ_MS)
        node.loop.call_at(began_ms + idle_grace_ms, lambda: self.finish(last_ms))

    def drain_ms(self) -> float:
        """Return how long open requests may run, in ms: the longest deadline, at most MAX_DRAIN_MS."""
        classes = self.node.config.deployment.settings.request_classes
        deadlines = [
            request_class.deadline_ms for request_class in classes if request_class.deadline_ms < inf
        ]
        return min(MAX_DRAIN_MS, max(deadlines, default=0.0))

    def finish(self, last_ms: float) -> None:
        """Stop the loop once no client waits for an answer, or at `last_ms` by the loop's clock."""
        node, loop = self.node, self.node.loop
        if node.downstream.has_waiting_clients() and loop.now() < last_ms:
            loop.call_at(loop.now() + downstream.DRAIN_CHECK_MS, lambda: self.finish(last_ms))
            return
        node.downstream.refuse_unread()
        for line in node.shadow_policy.lines() if node.shadow_policy is not None else ():
            node.log.line(line)
        late = f"timers at most {loop.late_ms:.0f} ms late, loop turns at most {loop.turn_ms:.0f} ms"
        node.log.line(f"ends with {len(node.requests.pending)} requests open, {late}")
        loop.stopped = True
