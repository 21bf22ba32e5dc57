"""Whether a node serves clients: it is in service unless an operator or its cluster takes it out of it."""

from marlseam.net import graceful_shutdown
from marlseam.net.node_interface import NodeInterface
from marlseam.net.operator_answer import OperatorAnswer

CLUSTER = "fleet"  # the cluster's name in `out_of_service_by`, as operators see it


class ServiceState:
    """Takes a node out of service and puts it in service again.

    Attributes:
        out_of_service_by: who has taken the node out of service; it serves while the set is empty.
        is_waiting_for_version: whether the node does not listen until the cluster's version may be served.

    """

    def __init__(self, node: NodeInterface) -> None:
        self.node = node
        self.out_of_service_by: set[str] = set()
        self.is_waiting_for_version = False

    def listen(self) -> None:
        """Listen for clients, once the cluster lets this process serve.

        Until then another process of the node may accept connections from the shared socket.
        """
        service = self.node.config_service
        self.is_waiting_for_version = service is not None and not service.serving_status.is_serving
        if not self.is_waiting_for_version:
            self.node.downstream.listen()

    def follow_cluster(self, is_serving: bool) -> None:
        """Enter or leave service on behalf of the cluster."""
        if not is_serving:
            self.leave(CLUSTER)
            return
        self.enter(CLUSTER)
        if self.is_waiting_for_version and not self.node.shutdown.is_ending:
            self.listen()

    def leave(self, who: str) -> OperatorAnswer:
        """Take the node out of service for `who` and drain clients; accepted requests are finished."""
        self.out_of_service_by.add(who)
        if self.node.downstream.drain_timer is None:
            self.node.log.line(
                f"out of service with {len(self.node.requests.pending)} requests open: this node reports "
                "that it is not ready, and closes clients' connections once they are answered or idle"
            )
        self.node.downstream.drain(0.0, graceful_shutdown.IDLE_GRACE_MS)
        return OperatorAnswer(200, "")

    def enter(self, who: str) -> OperatorAnswer:
        """Withdraw `who`'s reason to be out of service; serve clients again if no other one is left.

        The answer's status is 409 once the process is shutting down.
        """
        if self.node.shutdown.is_ending:
            return OperatorAnswer(409, "the node is shutting down and cannot return to service\n")
        self.out_of_service_by.discard(who)
        if self.out_of_service_by:
            names = ", ".join(sorted(self.out_of_service_by))
            return OperatorAnswer(200, f"still out of service by {names}\n")
        if self.node.downstream.drain_timer is not None:
            self.node.log.line("this node is in service")
            self.node.downstream.resume()
        return OperatorAnswer(200, "")
