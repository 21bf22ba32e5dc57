"""All servers of an endpoint list on loopback, at one address: probes and attempts are answered at once."""

import json
import socket

from marlseam.experiment.sizing.endpoint_list.threaded_server import ThreadedServer, request_heads
from marlseam.net import protocol

LOAD_REPORT = b"TEXT backlog=0, x0=8"
REQUEST_ID, HOST = protocol.ID.lower(), "host"


def headers_from(head: str) -> dict[str, str]:
    """Return a request's headers, by their names in lower case."""
    fields = (line.partition(":") for line in head.split("\r\n")[1:])
    return {name.lower(): value.strip() for name, _, value in fields}


def attempt_lines(head: str) -> bytes:
    """Return the body that says that an attempt has begun and is done, from the server it was sent to."""
    headers = headers_from(head)
    line = {"id": headers[REQUEST_ID], "from": headers[HOST]}
    lines = [line | {"state": "started"}, line | {"state": "done", "result": "x"}]
    return b"".join(json.dumps(each).encode() + b"\n" for each in lines)


class BackendServer(ThreadedServer):
    """Answers as whichever server a request names.

    Attributes:
        probes, attempts: how many came.
    """

    def __init__(self) -> None:
        super().__init__()
        self.probes = self.attempts = 0
        self.start()

    def serve(self, connection: socket.socket, number: int) -> None:  # noqa: ARG002 - all are served alike
        """Answer probes and attempts; none has a body."""
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
