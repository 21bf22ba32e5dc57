"""What tests of decisions ask of a dispatcher, and lists that they hand it."""

from marlseam.decisions.types import Endpoint, EndpointState, ListUpdateKind

LIVE = {"live_weights": True, "reports_in_responses": True, "node_count": 5}


def ready(dispatcher):
    """Return the servers that are usable now."""
    return [server for server in range(len(dispatcher.endpoint_state)) if dispatcher.is_usable(server)]


def waiting(dispatcher, further=False):
    """Return how many requests wait for a first attempt, or for a further one."""
    return sum(len(queue) for key, queue in dispatcher.pending_queues.items() if key.is_retry is further)


def listed(dispatcher, *weights):
    """Hand in a list of servers with these weights, whose name hashes are 100 and up."""
    rows = [
        Endpoint(server, EndpointState.READY, 0, 0, 0, None, weight, 100 + server)
        for server, weight in enumerate(weights)
    ]
    dispatcher.update_endpoints(ListUpdateKind.DELTA, rows)
