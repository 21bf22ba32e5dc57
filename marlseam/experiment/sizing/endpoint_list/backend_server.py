"""All servers of an endpoint list on loopback, at one address; probes and attempts are answered at once."""

import json
import socket

from marlseam.experiment.sizing.endpoint_list.threaded_server import ThreadedServer, request_heads
from marlseam.net import protocol

LOAD_REPORT = b"TEXT backlog=0, x0=8"
REQUEST_ID, HOST = protocol.CORRELATION_ID_HEADER.lower(), "host"


def headers_from(head: str) -> dict[str, str]:
    """Return the headers of a request's head, by their names in lower case."""
    fields = (line.partition(":") for line in head.split("\r\n")[1:])
    return {name.lower(): value.strip() for name, _, value in fields}


def attempt_lines(head: str) -> bytes:
    """Return the body with which the server of an attempt reports the attempt as started and as done."""
    headers = headers_from(head)
    line = {"id": headers[REQUEST_ID], "from": headers[HOST]}
    lines = [line | {"state": "started"}, line | {"state": "done", "result": "x"}]
    return b"".join(json.dumps(each).encode() + b"\n" for each in lines)


class BackendServer(ThreadedServer):
    """Answers each request in the name of the server that its `Host` header gives.

    Attributes:
        probes, attempts: the number of probes and attempts received.
    """

    def __init__(self) -> None:
        super().__init__()
        self.probes = self.attempts = 0
        self.start()

    def serve(self, connection: socket.socket, connection_id: int) -> None:  # noqa: ARG002 - all are served alike
        """Answer the probes (GET) and attempts of one connection; none has a body."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for raw_head in request_heads(connection):
            head = raw_head.decode("latin-1")
            if head.startswith("GET"):
                self.probes += 1
                body = LOAD_REPORT
            else:
                self.attempts += 1
                body = attempt_lines(head)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
