"""What tests of decisions ask of a dispatcher, and endpoint lists that they give it."""

from marlseam.decisions.types import Endpoint, EndpointState, ListUpdateKind

LIVE = {"live_weights": True, "reports_in_responses": True, "node_count": 5}


def usable_servers(dispatcher):
    """Return the servers that are usable now."""
    return [server for server in range(len(dispatcher.endpoint_state)) if dispatcher.is_usable(server)]


def pending_count(dispatcher, is_retry=False):
    """Return how many requests wait for a first attempt, or for a further one."""
    return sum(len(queue) for key, queue in dispatcher.pending_queues.items() if key.is_retry is is_retry)


def update_weights(dispatcher, *weights):
    """Update the list with servers of these weights, whose name hashes are 100 and up."""
    entries = [
        Endpoint(server, EndpointState.READY, 0, 0, 0, None, weight, 100 + server)
        for server, weight in enumerate(weights)
    ]
    dispatcher.update_endpoints(ListUpdateKind.DELTA, entries)
