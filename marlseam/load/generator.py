"""The load generator.

One process on one core that sends tries at their intended times and never waits for answers.

A plain epoll loop, as a send must not wait behind the work of another. Latency counts from the intended send;
the count from the actual one stands beside it. The generator's own lag (it was busy) is told apart from a
wait for a connection, where their number is limited.
"""

import errno
import heapq
import resource
import select
import socket
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import inf

import httptools
import numpy as np
from hdrh.histogram import HdrHistogram

from marlseam import records
from marlseam.records import Writer
from marlseam.world.clients import Client, Front, tried
from marlseam.world.model import Day
from marlseam.world.plan import Arrival

LAG_MS = 5.0  # own lag that marks a second
HDR_MOST_US, DIGITS = 600_000_000, 3
LOOK_AGAIN_MS = 250.0  # how often a node that is down is tried
SLACK_MS = 50.0  # how long past its limit a client waits for an answer that is on its way
REQUEST = (
    b"POST /%b%b HTTP/1.1\r\nHost: %b\r\nX-Correlation-Id: %b\r\nX-Service-Class: %b\r\nX-Time-Left: %.3f\r\n"
    b"%bX-Facts: slots=%g,memory=%g\r\nContent-Length: %d\r\n\r\n%b"
)


@dataclass
class Tally:
    """What a generator counted; all latencies in microseconds."""

    intended: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, HDR_MOST_US, DIGITS))
    actual: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, HDR_MOST_US, DIGITS))
    lag: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, HDR_MOST_US, DIGITS))
    sent: int = 0
    lagged: dict[int, list[float]] = field(default_factory=dict)  # by second: the most, how many sends
    refused: dict[str, int] = field(default_factory=dict)  # why tries were not sent


@dataclass
class Out:
    """A try on its way: who waits, since when it should have gone and when it went.

    Times in ms of the run.
    """

    client: Client
    id: str
    intended: float
    node: str
    sent: float = inf
    open: bool = True
    again: bool = False  # sent a second time over a new connection
    line: "Line | None" = None


class Line:
    """One connection to a node."""

    __slots__ = (
        "body",
        "connecting",
        "fd",
        "generator",
        "headers",
        "keep",
        "node",
        "out",
        "parser",
        "rest",
        "sock",
        "used",
    )

    def __init__(self, generator: "Generator", node: str) -> None:
        self.generator, self.node = generator, node
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.fd = self.sock.fileno()
        self.rest, self.connecting, self.used, self.out = b"", True, False, None
        self.fresh()

    def fresh(self) -> None:
        """Make ready for the next answer."""
        self.parser, self.body, self.headers, self.keep = httptools.HttpResponseParser(self), b"", {}, True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """An answer is whole."""
        self.keep = self.parser.should_keep_alive()
        self.generator.answered(self)


class Generator:
    """Plays a part of a plan against nodes."""

    def __init__(
        self,
        day: Day,
        arrivals: list[Arrival],
        nodes: Mapping[str, tuple[str, str]],
        writer: Writer,
        chance: np.random.Generator,
        connections: int = 0,
    ) -> None:
        """Make one.

        `nodes` holds zone and address by name, `connections` is the most at once, 0 for as many as needed.
        """
        self.day, self.writer, self.chance, self.most = day, writer, chance, connections
        self.types = day.types
        self.addresses = {
            name: (host, int(port)) for name, (_, a) in nodes.items() for host, _, port in [a.rpartition(":")]
        }
        by_zone: dict[str, list[str]] = {}
        for name, (zone, _) in nodes.items():
            by_zone.setdefault(zone, []).append(name)
        self.front = Front(by_zone, 1000.0 * day.clients.notice_s)
        self.tally, self.poll = Tally(), select.epoll()
        self.lines: dict[int, Line] = {}
        self.idle: dict[str, list[Line]] = {name: [] for name in nodes}
        self.queue: deque[Out] = deque()  # for a connection, where their number is limited
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.count, self.open, self.retries = 0, 0, 0  # retries: those still to come
        self.arrivals, self.next = arrivals, 0
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.descriptors = soft - 32

    # Time.

    def now(self) -> float:
        """Return ms since the run's zero."""
        return (time.monotonic() - self.zero) * 1000.0

    def at(self, t: float, call: Callable[[], None]) -> None:
        """Call at a time."""
        self.count += 1
        heapq.heappush(self.timers, (t, self.count, call))

    def run(self, zero: float, progress: Callable[[float, Tally], None] | None = None) -> Tally:
        """Play the plan from the run's zero on (seconds, monotonic clock) to the last answer."""
        self.zero = zero
        told = 0.0
        while self.next < len(self.arrivals) or self.open or self.timers:
            now = self.now()
            while self.next < len(self.arrivals) and self.arrivals[self.next].at <= now:
                self.begin(self.arrivals[self.next])
                self.next += 1
                if self.next % 64 == 0:
                    now = self.now()
            while self.timers and self.timers[0][0] <= now:
                heapq.heappop(self.timers)[2]()
            due = min(
                self.arrivals[self.next].at if self.next < len(self.arrivals) else inf,
                self.timers[0][0] if self.timers else inf,
                now + 200.0,
            )
            # epoll counts whole milliseconds and rounds up: the last one before a send is spent looking.
            pause = int(max(0.0, due - self.now())) / 1000.0
            for fd, mask in self.poll.poll(pause, 256):
                line = self.lines.get(fd)
                if line is not None:
                    self.ready(line, mask)
            if progress is not None and now - told > 500.0:
                told = now
                progress(now, self.tally)
            if self.next >= len(self.arrivals) and not self.open and not self.retries:
                break
        for line in list(self.lines.values()):
            self.close(line)
        for second, (most, sends) in sorted(self.tally.lagged.items()):
            row = records.Lagged(t=1000.0 * second, by=self.writer.by, most=most, sends=int(sends))
            self.writer.add(row)
        self.writer.end(self.now())
        return self.tally

    # Tries.

    def begin(self, arrival: Arrival) -> None:
        """Send a first try, or a trace's next one."""
        lag = self.now() - arrival.at
        self.tally.lag.record_value(max(1, int(lag * 1000.0)))
        if lag > LAG_MS:
            row = self.tally.lagged.setdefault(int(arrival.at // 1000.0), [0.0, 0])
            row[0], row[1] = max(row[0], lag), row[1] + 1
        client = Client(arrival, self.types[arrival.type], self.day.clients, replayed=bool(arrival.first))
        self.try_now(client, arrival.at)

    def try_now(self, client: Client, intended: float) -> None:
        """Send a try to the node that the front deals it to."""
        arrival, id, now = client.arrival, client.begin(), self.now()
        node, _ = self.front.deal(arrival.zone, now)
        out = Out(client, id, intended, node)
        self.open += 1
        self.writer.add(tried(client, id, self.writer.by, node, now))
        until = client.leaves_at(now)
        self.at(until + (SLACK_MS if until >= client.expires else 0.0), lambda: self.quit(out))
        self.send(out)

    def send(self, out: Out) -> None:
        """Write a try on an unused connection or a new one; wait for one where no more are allowed."""
        pool = self.idle[out.node]
        if pool:
            line = pool.pop()
        elif self.most and len(self.lines) >= self.most:
            self.queue.append(out)
            return
        else:
            made = self.connect(out.node)
            if isinstance(made, str):
                self.unsent(out, made)
                return
            line = made
        line.out, out.line = out, line
        if not line.connecting:
            self.write(line)

    def connect(self, node: str) -> Line | str:
        """Begin a connection, or return why there is none."""
        if len(self.lines) >= self.descriptors:
            return "no descriptors"
        try:
            line = Line(self, node)
        except OSError as error:
            return "no descriptors" if error.errno in (errno.EMFILE, errno.ENFILE) else str(error)
        error = line.sock.connect_ex(self.addresses[node])
        if error not in (0, errno.EINPROGRESS):
            line.sock.close()
            return "refused"
        self.lines[line.fd] = line
        self.poll.register(line.fd, select.EPOLLIN | select.EPOLLOUT)
        return line

    def write(self, line: Line) -> None:
        """Write a try's request."""
        out, now = line.out, self.now()
        arrival, type = out.client.arrival, out.client.type
        name = type.name.encode()
        receipt = f"Idempotency-Key: {arrival.receipt}\r\n" if arrival.receipt else ""
        if out.client.tries + arrival.number > 1:
            receipt += "X-Repeat: 1\r\n"
        key = b"" if arrival.key is None else b"?user=" + arrival.key.encode()
        body = b'{"work":%.3f,"slots":%g,"memory":%g}' % (arrival.work, arrival.slots, arrival.memory)
        left = max(0.0, out.client.expires - now) / 1000.0
        host = "{}:{}".format(*self.addresses[line.node]).encode()
        line.rest = REQUEST % (
            name,
            key,
            host,
            out.id.encode(),
            name,
            left,
            receipt.encode(),
            arrival.slots,
            arrival.memory,
            len(body),
            body,
        )
        out.sent = now
        self.tally.sent += 1
        self.flush(line)

    def flush(self, line: Line) -> None:
        """Write what is left to be written."""
        try:
            line.rest = line.rest[line.sock.send(line.rest) :]
        except BlockingIOError:
            pass
        except OSError:
            self.broken(line)
            return
        mask = select.EPOLLIN | (select.EPOLLOUT if line.rest else 0)
        self.poll.modify(line.fd, mask)

    def ready(self, line: Line, mask: int) -> None:
        """Go on at a connection on which something happened."""
        if line.connecting:
            if line.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or mask & select.EPOLLHUP:
                self.down(line)
                return
            line.connecting = False
            self.poll.modify(line.fd, select.EPOLLIN)
            if line.out is not None:
                self.write(line)
            return
        if mask & select.EPOLLOUT and line.rest:
            self.flush(line)
        if mask & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR) and line.fd in self.lines:
            try:
                data = line.sock.recv(65536)
                if data:
                    line.parser.feed_data(data)
            except BlockingIOError:
                return
            except (OSError, httptools.HttpParserError):
                data = b""
            if not data:
                self.broken(line)

    def answered(self, line: Line) -> None:
        """An answer has come whole."""
        out, status, now = line.out, line.parser.get_status_code(), self.now()
        if out is None:
            self.close(line)
            return
        line.out = out.line = None
        keep, line.used = line.keep, True
        how = {200: "completed", 429: "deferred", 503: "deferred"}.get(status, "aborted")
        if how == "completed" and not line.body.startswith(out.id.encode()):
            how = "garbled"
        advice = 0.0
        if how == "deferred":
            try:
                advice = 1000.0 * float(line.headers.get(b"retry-after", b"0"))
            except ValueError:
                advice = 0.0
        line.fresh()
        if how == "completed":
            self.tally.intended.record_value(max(1, int((now - out.intended) * 1000.0)))
            self.tally.actual.record_value(max(1, int((now - out.sent) * 1000.0)))
        if keep:
            self.idle[line.node].append(line)
        else:
            self.close(line)
        self.ended(out, how, advice)
        self.use_free()

    def use_free(self) -> None:
        """Give a connection to the next that waits for one."""
        while self.queue:
            out = self.queue.popleft()
            if not out.open:
                continue
            if not self.idle[out.node] and len(self.lines) >= self.most:
                # Another node's connection stands unused: it makes room.
                spare = next((pool for pool in self.idle.values() if pool), None)
                if spare is None:
                    self.queue.appendleft(out)
                    return
                self.close(spare[0])
            self.send(out)

    def ended(self, out: Out, how: str, advice_ms: float) -> None:
        """A try has ended: note it and see whether its client tries again."""
        out.open = False
        self.open -= 1
        now = self.now()
        self.writer.add(records.Answered(t=now, by=self.writer.by, id=out.id, how=how, advice_ms=advice_ms))
        wait = out.client.wait(now, how, advice_ms, self.chance)
        if wait is not None:
            self.retries += 1

            def again() -> None:
                self.retries -= 1
                self.try_now(out.client, now + wait)

            self.at(now + wait, again)

    def unsent(self, out: Out, why: str) -> None:
        """A try found no connection."""
        self.tally.refused[why] = self.tally.refused.get(why, 0) + 1
        self.ended(out, "unsent", 0.0)

    def quit(self, out: Out) -> None:
        """A client goes without an answer: its connection closes."""
        if not out.open:
            return
        out.open = False
        self.open -= 1
        now = self.now()
        self.writer.add(records.Quit(t=now, by=self.writer.by, id=out.id, early=now < out.client.expires))
        if out.line is not None:
            out.line.out = None
            self.close(out.line)
            self.use_free()

    def down(self, line: Line) -> None:
        """A node refuses connections: the front notices after its time, and tries it now and then."""
        node, out = line.node, line.out
        line.out = None
        self.close(line)
        if node not in self.front.down:
            self.front.died(node, self.now())
            self.at(self.now() + LOOK_AGAIN_MS, lambda: self.look_again(node))
        if out is not None and out.open:
            out.line = None
            self.unsent(out, "refused")

    def look_again(self, node: str) -> None:
        """Try whether a node is back."""
        if self.next >= len(self.arrivals) and not self.open:
            return
        with socket.socket() as sock:
            sock.settimeout(0.05)
            if sock.connect_ex(self.addresses[node]) == 0:
                self.front.back(node)
                return
        self.at(self.now() + LOOK_AGAIN_MS, lambda: self.look_again(node))

    def broken(self, line: Line) -> None:
        """A connection ended: with a try on it that is lost, else it was unused."""
        out = line.out
        line.out = None
        self.close(line)
        if out is None or not out.open:
            return
        out.line = None
        # A node may close an unused connection; what crossed that goes once more, if that is harmless.
        crossed = line.used and not line.body and out.client.type.effect == "rerunnable" and not out.again
        if line.rest or crossed:
            out.again = crossed
            self.send(out)
        else:
            self.ended(out, "lost", 0.0)

    def close(self, line: Line) -> None:
        """Close a connection."""
        if self.lines.pop(line.fd, None) is not None:
            if line in self.idle[line.node]:
                self.idle[line.node].remove(line)
            self.poll.unregister(line.fd)
            line.sock.close()
