"""Invariants of a reducer that hold between any two events; tests check them after each step."""

from marlseam.core.reducer import Reducer
from marlseam.decisions.invariants import InvariantError, check_dispatcher


def check_reducer(reducer: Reducer) -> None:
    """Raise InvariantError unless all invariants of a reducer, which must have started, hold."""
    check_dispatcher(reducer.dispatcher)
    check_open_requests(reducer)
    check_attempts(reducer)
    check_server_indices(reducer)


def check_open_requests(reducer: Reducer) -> None:
    """Check that no request with its final answer and no attempt in flight is among the open ones."""
    for request_id, state in reducer.open_requests.items():
        if state.is_over():
            raise InvariantError("request that is over", -1, None, request_id)


def check_attempts(reducer: Reducer) -> None:
    """Check that as many attempts are tracked at servers as open requests have in flight."""
    in_flight = sum(state.in_flight_count() for state in reducer.open_requests.values())
    tracked = sum(len(own) for own in reducer.dispatcher.own_attempts)
    if tracked != in_flight:
        raise InvariantError("attempts in flight", -1, in_flight, tracked)


def check_server_indices(reducer: Reducer) -> None:
    """Check that names and indices of servers map to each other, and that no index in use is free."""
    servers = reducer.servers
    for name, index in servers.by_name.items():
        if servers.names[index] != name or index in servers.free:
            raise InvariantError("name of an index", index, name, servers.names[index])
