"""Helpers of the tests of decisions: queries of a dispatcher, and updates of its endpoint list."""

from marlseam.decisions.types import Endpoint, EndpointState, ListUpdateKind

LIVE = {"live_weights": True, "reports_in_responses": True, "node_count": 5}


def usable_servers(dispatcher):
    """Return the servers that are usable now."""
    return [server for server in range(len(dispatcher.endpoint_state)) if dispatcher.is_usable(server)]


def pending_count(dispatcher, is_retry=False):
    """Return how many requests wait in the pending queue for a first attempt, or for a retry."""
    return sum(len(queue) for key, queue in dispatcher.pending_queues.items() if key.is_retry is is_retry)


def update_weights(dispatcher, *weights):
    """Update the endpoint list with ready servers of these weights and of name hashes from 100 on."""
    entries = [
        Endpoint(server, EndpointState.READY, 0, 0, 0, None, weight, 100 + server)
        for server, weight in enumerate(weights)
    ]
    dispatcher.update_endpoints(ListUpdateKind.DELTA, entries)
