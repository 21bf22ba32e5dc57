"""Helpers for operators' calls to a node, and for requests that a node accepts, over one connection each."""

from typing import NamedTuple

from http_samples import REQUEST


class OperatorReply(NamedTuple):
    """An answer to an operator's call: HTTP status, body, and head as text."""

    status: int
    body: str
    head: str


def read_more(node, sock):
    """Run the node's loop until bytes or the end have come on a connection; return them, b"" at the end."""
    while True:
        try:
            return sock.recv(65536)
        except BlockingIOError:
            node.loop.turn()


def send_request(node, client, request=REQUEST):
    """Send a request and run the loop until the node has accepted it; return its connection and its id."""
    before = set(node.requests.pending)
    sock = client(request)
    while set(node.requests.pending) <= before:
        node.loop.turn()
    (request_id,) = set(node.requests.pending) - before
    return sock, request_id
