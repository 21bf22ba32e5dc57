"""Operators' calls, and requests that a node accepts, over one connection each."""

from typing import NamedTuple

from http_samples import REQUEST


class OperatorReply(NamedTuple):
    """An answer to an operator's call."""

    status: int
    body: str
    head: str


def read_more(node, sock):
    """Return what comes next on a connection, or nothing at its end; turn the loop until then."""
    while True:
        try:
            return sock.recv(65536)
        except BlockingIOError:
            node.loop.turn()


def send_request(node, client, request=REQUEST):
    """Send a request; return its connection and, once the node has accepted it, its id."""
    before = set(node.requests.pending)
    sock = client(request)
    while set(node.requests.pending) <= before:
        node.loop.turn()
    (request_id,) = set(node.requests.pending) - before
    return sock, request_id
