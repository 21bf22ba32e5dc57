"""A node that answers every request at once, except while its whole process is stalled.

For tests of the load generator: all latency that it measures against this node comes from the generator
itself or from the stalls.
"""

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Sequence
from typing import NamedTuple, cast

import httptools

from marlseam.emulators.loopback import LOOPBACK_HOST

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
ID_HEADER = b"x-correlation-id"
LISTEN_BACKLOG = 1024  # connections that wait to be accepted
INPUT_CHUNK_BYTES = 4096


class Stall(NamedTuple):
    """A pause of the process for `for_s` seconds; it begins with the first request at or after `at_s`."""

    at_s: float
    for_s: float


class EchoProtocol(asyncio.Protocol):
    """One connection of a client; answers each request with its id and ` by echo`."""

    def __init__(self, stalls: list[Stall]) -> None:
        """Serve a connection; `stalls` are those to come, with `at_s` on the system's monotonic clock."""
        self._request_id = b""
        self._stalls = stalls
        self._parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for the responses."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort the connection if a request is malformed."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the request's id from its `x-correlation-id` header."""
        if name.lower() == ID_HEADER:
            self._request_id = value

    def on_message_complete(self) -> None:
        """Write the response, after blocking the process for a stall that is due."""
        if self._stalls and time.monotonic() >= self._stalls[0].at_s:
            time.sleep(self._stalls.pop(0).for_s)
        body = self._request_id + b" by echo"
        self._transport.write(RESPONSE % (len(body), body))


class ParentInput:
    """Reads standard input, on which the parent writes the run's zero; its end stops the process."""

    def __init__(self, planned: Sequence[Stall], stalls: list[Stall], stopped: asyncio.Event) -> None:
        """Add the planned stalls to `stalls` once the run's zero is read; set `stopped` at end of input."""
        self._planned, self._stalls, self._stopped = planned, stalls, stopped
        self._buffer = b""

    def read(self) -> None:
        """Read the available bytes; on a whole line, schedule the stalls from the run's zero."""
        data = os.read(sys.stdin.fileno(), INPUT_CHUNK_BYTES)
        self._buffer += data
        if not data:
            self._stopped.set()
        elif self._buffer.endswith(b"\n"):
            zero_s = json.loads(self._buffer)["zero"]
            self._stalls.extend(Stall(zero_s + stall.at_s, stall.for_s) for stall in sorted(self._planned))


async def run(planned: Sequence[Stall]) -> None:
    """Serve until SIGTERM or the end of standard input; the stalls' `at_s` counts from the run's zero."""
    loop, stopped = asyncio.get_running_loop(), asyncio.Event()
    stalls: list[Stall] = []
    server = await loop.create_server(lambda: EchoProtocol(stalls), LOOPBACK_HOST, 0, backlog=LISTEN_BACKLOG)
    host, port = server.sockets[0].getsockname()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_reader(sys.stdin.fileno(), ParentInput(planned, stalls, stopped).read)
    print(json.dumps({"node": f"{host}:{port}"}), flush=True)
    await stopped.wait()


def serve(planned: Sequence[Stall]) -> None:
    """Run the node in an event loop of its own, with the planned stalls."""
    asyncio.run(run(planned))
