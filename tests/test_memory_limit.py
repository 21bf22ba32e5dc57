"""A node keeps to its memory limit and answers others, whatever hundreds of clients send and where they stop.

See docs/incidents/2026-12-05-memory-of-requests.md.
"""

import time
from pathlib import Path

import pytest
from limited_node import LimitedNode

MEMORY_MB = 32
CLIENTS = 250  # more than the node accepts
TIME_LEFT_S = 1.5
ANSWER_LIMIT_S = 2.05  # what the client waits, and what the users allow for an answer that is late
HEAD = (
    b"POST /statement HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\nX-Service-Class: statement\r\n"
    b"X-Time-Left: 5\r\n"
)
SHORT_FIELDS = b"".join(b"%x:1\r\n" % number for number in range(2200))  # in a head of 16 KB
SENT = {
    "part of a head": HEAD + b"X: " + b"x" * 16000,
    "part of a head of many fields": HEAD + SHORT_FIELDS,
    "part of a body after a head of many fields": HEAD + SHORT_FIELDS + b"Content-Length: 60000\r\n\r\nabc",
    "part of a body": HEAD + b"Content-Length: 60000\r\n\r\n" + b"x" * 59000,
    "part of a body in small chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nab\r\n" * 30000,
    "a whole request and a part of another": HEAD
    + b"Content-Length: 60000\r\n\r\n"
    + b"x" * 60000
    + HEAD
    + b"Content-Length: 60000\r\n\r\n"
    + b"x" * 59000,
}


class NodeWithLittleMemory(LimitedNode):
    """A node whose configuration allows MEMORY_MB."""

    def configuration(self) -> dict:
        values = super().configuration()
        return values | {"limits": values["limits"] | {"memory_mb": MEMORY_MB}}

    def peak_mb(self) -> float:
        """Return the most memory that the node has had resident, in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024.0


@pytest.fixture
def limited(tmp_path):
    node = NodeWithLittleMemory(tmp_path)
    yield node
    node.close()


class PartSender:
    """Sends bytes on many connections as fast as they are taken, and reads nothing."""

    def __init__(self, limited, data):
        self.rest = {limited.connect(): data.replace(b"%s", b"part%d" % number) for number in range(CLIENTS)}

    def step(self):
        """Write what the connections take; drop those that have ended."""
        for sock, rest in list(self.rest.items()):
            try:
                self.rest[sock] = rest[sock.send(rest) :] if rest else b""
            except BlockingIOError:
                continue
            except OSError:
                del self.rest[sock]


@pytest.mark.parametrize("data", SENT.values(), ids=SENT)
def test_clients_that_stop_in_a_request_neither_exceed_the_memory_nor_delay_others(limited, data):
    # Guards against a node that is killed for its memory, and answers that come too late, as hundreds of
    # clients send requests that are costly to hold or to parse.
    sender, step = PartSender(limited, data), limited.step
    limited.step = lambda: (step(), sender.step())
    until_s = time.monotonic() + 1.0
    limited.run_until(lambda: time.monotonic() >= until_s)
    for _ in range(3):
        sent_s = time.monotonic()
        sock = limited.connect(limited.request(time_left_s=b"%f" % TIME_LEFT_S))
        answer = limited.read_answer(sock)
        assert time.monotonic() - sent_s <= ANSWER_LIMIT_S
        assert answer[:12] in (b"HTTP/1.1 200", b"HTTP/1.1 503")
    assert limited.peak_mb() <= MEMORY_MB
