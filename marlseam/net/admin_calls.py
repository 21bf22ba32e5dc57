"""The calls that operators may make to a node, by path."""

from marlseam.net.admin import MAX_BODY_BYTES, Admin, AdminCall
from marlseam.net.configured_socket import config_error_on_failure
from marlseam.net.limits import OPERATOR_CONNECTIONS
from marlseam.net.node_interface import NodeInterface
from marlseam.net.operator_answer import OperatorAnswer

MAX_CONTENT_BYTES = 512 << 10  # of the body of a call that publishes a cluster's settings
OPERATOR = "operator"  # the operators' name in `ServiceState.out_of_service_by`


def open_admin(node: NodeInterface, address: tuple[str, int]) -> Admin:
    """Start to answer operators' calls; raises ConfigError where the admin address cannot be bound."""
    calls = service_calls(node) | cluster_calls(node)
    max_body_bytes = MAX_BODY_BYTES if node.config_service is None else MAX_CONTENT_BYTES
    with config_error_on_failure("admin", "{}:{}".format(*address), "a free address"):
        return Admin(node.loop, node.log, address, OPERATOR_CONNECTIONS, calls, max_body_bytes)


def service_calls(node: NodeInterface) -> dict[str, AdminCall]:
    """Return the calls that every node answers."""
    return {
        "/control/ready": AdminCall("GET", lambda _: OperatorAnswer(200 if node.is_ready() else 503, "")),
        "/control/counters": AdminCall("GET", lambda _: OperatorAnswer(200, node.figures())),
        "/control/out-of-service": AdminCall("POST", lambda _: node.service.leave(OPERATOR)),
        "/control/in-service": AdminCall("POST", lambda _: node.service.enter(OPERATOR)),
    }


def cluster_calls(node: NodeInterface) -> dict[str, AdminCall]:
    """Return the further calls of a node with a cluster, and of one with a ledger."""
    calls: dict[str, AdminCall] = {}
    membership, service = node.membership, node.config_service
    if membership is not None:
        calls["/control/fleet"] = AdminCall("GET", lambda _: OperatorAnswer(200, membership.status()))
    if service is not None:
        calls["/control/fleet/publish"] = AdminCall("POST", service.publish)
        calls["/control/fleet/out"] = AdminCall(
            "POST", lambda why: service.override_by_operator(why.decode(errors="replace"))
        )
        calls["/control/fleet/in"] = AdminCall("POST", lambda _: service.override_by_operator(None))
    return calls
