"""A node that answers every request at once, except for stalls of its whole process.

For checks of the load generator alone: the latencies that it measures are then its own and the stalls'.
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
    """A time for which the process stands still; it begins with the first request at or after `at_s`."""

    at_s: float
    for_s: float


class EchoProtocol(asyncio.Protocol):
    """One connection."""

    def __init__(self, stalls: list[Stall]) -> None:
        """Serve a connection; `stalls` are those still to come, by the system's monotonic clock."""
        self._request_id = b""
        self._stalls = stalls
        self._parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse what was received; a connection with a malformed request is reset."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the request's id."""
        if name.lower() == ID_HEADER:
            self._request_id = value

    def on_message_complete(self) -> None:
        """Respond, after a stall if one is due."""
        if self._stalls and time.monotonic() >= self._stalls[0].at_s:
            time.sleep(self._stalls.pop(0).for_s)
        body = self._request_id + b" by echo"
        self._transport.write(RESPONSE % (len(body), body))


class ParentInput:
    """The lines that the parent writes to standard input: the run's zero; its end stops the process."""

    def __init__(self, planned: Sequence[Stall], stalls: list[Stall], stopped: asyncio.Event) -> None:
        """Add the planned stalls to `stalls` once the zero is known; set `stopped` at the input's end."""
        self._planned, self._stalls, self._stopped = planned, stalls, stopped
        self._buffer = b""

    def read(self) -> None:
        """Take what can be read."""
        data = os.read(sys.stdin.fileno(), INPUT_CHUNK_BYTES)
        self._buffer += data
        if not data:
            self._stopped.set()
        elif self._buffer.endswith(b"\n"):
            zero_s = json.loads(self._buffer)["zero"]
            self._stalls.extend(Stall(zero_s + stall.at_s, stall.for_s) for stall in sorted(self._planned))


async def run(planned: Sequence[Stall]) -> None:
    """Serve until SIGTERM or the end of standard input; stalls are planned from the run's zero."""
    loop, stopped = asyncio.get_running_loop(), asyncio.Event()
    stalls: list[Stall] = []
    server = await loop.create_server(lambda: EchoProtocol(stalls), LOOPBACK_HOST, 0, backlog=LISTEN_BACKLOG)
    host, port = server.sockets[0].getsockname()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_reader(sys.stdin.fileno(), ParentInput(planned, stalls, stopped).read)
    print(json.dumps({"node": f"{host}:{port}"}), flush=True)
    await stopped.wait()


def serve(planned: Sequence[Stall]) -> None:
    """Run the node."""
    asyncio.run(run(planned))
