"""Whether a node serves clients: in service, or out of it by an operator or its cluster."""

from marlseam.net import graceful_shutdown
from marlseam.net.node_interface import NodeInterface
from marlseam.net.operator_answer import OperatorAnswer

CLUSTER = "fleet"  # as operators see who has a node out of service


class ServiceState:
    """Sends clients away and takes them again.

    Attributes:
        out_of_service_by: whoever has the node out of service; it serves while there is nobody.
        is_waiting_for_version: whether it listens only once the cluster lets it act on a version.

    """

    def __init__(self, node: NodeInterface) -> None:
        self.node = node
        self.out_of_service_by: set[str] = set()
        self.is_waiting_for_version = False

    def listen(self) -> None:
        """Take clients from the socket that is shared, once this process may: another may still do so."""
        service = self.node.config_service
        self.is_waiting_for_version = service is not None and not service.serving_status.is_serving
        if not self.is_waiting_for_version:
            self.node.downstream.listen()

    def follow_cluster(self, is_serving: bool) -> None:
        """Be in service, as far as the cluster has to say, or out of it."""
        if not is_serving:
            self.leave(CLUSTER)
            return
        self.enter(CLUSTER)
        if self.is_waiting_for_version and not self.node.shutdown.is_ending:
            self.listen()

    def leave(self, who: str) -> OperatorAnswer:
        """Send clients away; what is taken is finished, and all else goes on."""
        self.out_of_service_by.add(who)
        if self.node.downstream.drain_timer is None:
            self.node.log.line(f"out of service with {len(self.node.requests.pending)} requests open")
        self.node.downstream.drain(0.0, graceful_shutdown.IDLE_GRACE_MS)
        return OperatorAnswer(200, "")

    def enter(self, who: str) -> OperatorAnswer:
        """Serve again as before, unless the process ends or another has it out."""
        if self.node.shutdown.is_ending:
            return OperatorAnswer(409, "the process ends\n")
        self.out_of_service_by.discard(who)
        if self.out_of_service_by:
            names = ", ".join(sorted(self.out_of_service_by))
            return OperatorAnswer(200, f"still out of service by {names}\n")
        if self.node.downstream.drain_timer is not None:
            self.node.log.line("in service")
            self.node.downstream.resume()
        return OperatorAnswer(200, "")
