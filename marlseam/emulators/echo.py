"""A stand-in node that completes every work unit at once, but for stalls of its whole process.

For judging the load generator alone: what it then measures is its own and the stall's.
"""

import asyncio
import json
import os
import signal
import sys
import time

import httptools

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"


class Protocol(asyncio.Protocol):
    """One connection."""

    def __init__(self, stalls: list[tuple[float, float]]) -> None:
        self.id, self.stalls = b"", stalls
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Note the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the work unit's id."""
        if name.lower() == b"x-correlation-id":
            self.id = value

    def on_message_complete(self) -> None:
        """Answer; a stall that is due comes before it, and the whole process stands still."""
        if self.stalls and time.monotonic() >= self.stalls[0][0]:
            time.sleep(self.stalls.pop(0)[1])
        body = self.id + b" by echo"
        self.transport.write(ANSWER % (len(body), body))


async def run(stalls: list[tuple[float, float]]) -> None:
    """Serve until SIGTERM or the end of standard input.

    A stall (at s, for s) begins with the first work unit from its time on, counted from the begin line's
    zero.
    """
    loop, over, ahead = asyncio.get_running_loop(), asyncio.Event(), list[tuple[float, float]]()
    server = await loop.create_server(lambda: Protocol(ahead), "127.0.0.1", 0, backlog=1024)
    host, port = server.sockets[0].getsockname()
    loop.add_signal_handler(signal.SIGTERM, over.set)
    text = b""

    def line() -> None:
        nonlocal text
        more = os.read(sys.stdin.fileno(), 4096)
        text += more
        if not more:
            over.set()
        elif text.endswith(b"\n"):
            zero = json.loads(text)["zero"]
            ahead.extend((zero + at, length) for at, length in sorted(stalls))

    loop.add_reader(sys.stdin.fileno(), line)
    print(json.dumps({"node": f"{host}:{port}"}), flush=True)
    await over.wait()


def serve(stalls: list[tuple[float, float]]) -> None:
    """Run the stand-in node."""
    asyncio.run(run(stalls))
