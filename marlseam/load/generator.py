"""The load generator: one process on one core that sends tries at their intended times (open loop).

A send never waits for an answer, as a slow node must not reduce the load: that would hide its latency
(coordinated omission). A plain epoll loop is used, as a send must not wait behind the work of another one.
Latency is measured from the intended send, and separately from the actual send. The generator's own lag, from
being too busy to send in time, is counted apart from a try's wait for one of a limited number of connections.
"""

import heapq
import resource
import select
import socket
import time
from collections import deque
from collections.abc import Callable, Mapping
from math import inf
from typing import NamedTuple

import numpy as np

from marlseam import records
from marlseam.load.connection import Address, Connection, PendingTry
from marlseam.load.errors import ConnectionUnavailableError
from marlseam.load.tally import Tally
from marlseam.records import StreamWriter
from marlseam.simulation.clients import Client, FrontLoadBalancer, try_record
from marlseam.simulation.model import Day
from marlseam.simulation.plan import Arrival

NODE_CHECK_INTERVAL_MS = 250.0  # time between two checks whether a node that refused a connection listens
NODE_CHECK_TIMEOUT_S = 0.05  # longest wait for the connection of such a check
ANSWER_GRACE_MS = 50.0  # how long after the deadline of a try its client waits for an answer in transit
MAX_POLL_MS = 200.0  # longest wait for events of sockets
MAX_POLL_EVENTS = 256  # most events handled between two checks of due sends
PROGRESS_INTERVAL_MS = 500.0  # shortest time between two calls of `progress`
SENDS_BETWEEN_CLOCK_READS = 64  # while many sends are due at once
RESERVED_DESCRIPTORS = 32  # for files, epoll and the checks of nodes


class NodePlace(NamedTuple):
    """A node's zone, and its address as HOST:PORT."""

    zone: str
    address: str


class Generator:
    """Sends arrivals of a day to nodes, and records what its clients see.

    Attributes:
        day: the day that is run.
        arrivals: the arrivals to send, in order of their intended times.
        writer: the stream for the clients' records.
        tally: the counts and histograms of this generator.
        open_tries: the number of tries whose clients still wait for an answer.
        max_descriptors: the most connections that the process's limit of file descriptors allows.
    """

    def __init__(
        self,
        day: Day,
        arrivals: list[Arrival],
        nodes: Mapping[str, tuple[str, str]],
        writer: StreamWriter,
        rng: np.random.Generator,
        max_connections: int = 0,
    ) -> None:
        """Create a generator; `run` starts it.

        `nodes` maps a node's name to its zone and its address HOST:PORT; `max_connections` limits the
        simultaneous connections, 0 for no limit; `rng` draws the clients' waits before their retries.
        """
        places = {name: NodePlace(*place) for name, place in nodes.items()}
        self.day, self.arrivals, self.writer = day, arrivals, writer
        self.tally = Tally()
        self.open_tries = 0
        self.max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0] - RESERVED_DESCRIPTORS
        self._rng, self._max_connections = rng, max_connections
        self._addresses = {name: Address.parse(place.address) for name, place in places.items()}
        self._load_balancer = FrontLoadBalancer(_names_by_zone(places), 1000.0 * day.clients.notice_s)
        self._poll = select.epoll()
        self._connections: dict[int, Connection] = {}  # by file descriptor
        self._idle: dict[str, list[Connection]] = {name: [] for name in nodes}
        self._waiting: deque[PendingTry] = deque()  # tries without a connection, if these are limited
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._timer_count = 0
        self._scheduled_retries = 0
        self._next_arrival = 0
        self._zero_s = 0.0

    # Time.

    def now_ms(self) -> float:
        """Return the time in ms since the run's zero."""
        return (time.monotonic() - self._zero_s) * 1000.0

    def _call_at(self, at_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call at `at_ms` of the run; calls for the same time keep the order of scheduling."""
        self._timer_count += 1
        heapq.heappush(self._timers, (at_ms, self._timer_count, call))

    def run(self, zero_s: float, progress: Callable[[float, Tally], None] | None = None) -> Tally:
        """Send all arrivals; return the tally once every client has its last answer or has left.

        `zero_s` is the run's zero in seconds of the monotonic clock; `progress` is called at most every
        PROGRESS_INTERVAL_MS with the time in ms of the run and the tally.
        """
        self._zero_s = zero_s
        progress_ms = 0.0
        while self._has_arrivals() or self.open_tries or self._timers:
            now_ms = self._send_due_arrivals()
            self._run_due_timers(now_ms)
            self._handle_sockets(now_ms)
            if progress is not None and now_ms - progress_ms > PROGRESS_INTERVAL_MS:
                progress_ms = now_ms
                progress(now_ms, self.tally)
            if not (self._has_arrivals() or self.open_tries or self._scheduled_retries):
                break
        self._finish()
        return self.tally

    def _has_arrivals(self) -> bool:
        """Return whether an arrival is still to be sent."""
        return self._next_arrival < len(self.arrivals)

    def _send_due_arrivals(self) -> float:
        """Send all arrivals that are due; return the last reading of the clock, in ms of the run."""
        now_ms = self.now_ms()
        while self._has_arrivals() and self.arrivals[self._next_arrival].at <= now_ms:
            self._send_arrival(self.arrivals[self._next_arrival])
            self._next_arrival += 1
            if self._next_arrival % SENDS_BETWEEN_CLOCK_READS == 0:
                now_ms = self.now_ms()
        return now_ms

    def _run_due_timers(self, now_ms: float) -> None:
        """Make all scheduled calls that are due at `now_ms`."""
        while self._timers and self._timers[0][0] <= now_ms:
            heapq.heappop(self._timers)[2]()

    def _handle_sockets(self, now_ms: float) -> None:
        """Poll the sockets until the next send or call is due, and handle those that are ready."""
        due_ms = min(
            self.arrivals[self._next_arrival].at if self._has_arrivals() else inf,
            self._timers[0][0] if self._timers else inf,
            now_ms + MAX_POLL_MS,
        )
        # epoll rounds its time-out up to whole ms: the last ms before a send is spent polling without wait.
        pause_s = int(max(0.0, due_ms - self.now_ms())) / 1000.0
        for fd, mask in self._poll.poll(pause_s, MAX_POLL_EVENTS):
            connection = self._connections.get(fd)
            if connection is not None:
                self._handle_ready(connection, mask)

    def _finish(self) -> None:
        """Close all connections, record the lagged seconds, and end the stream of records."""
        for connection in list(self._connections.values()):
            self._close(connection)
        for number, second in sorted(self.tally.lagged.items()):
            self.writer.add(
                records.GeneratorLagged(
                    t=1000.0 * number, by=self.writer.by, most=second.max_lag_ms, sends=second.sends
                )
            )
        self.writer.end(self.now_ms())

    # Tries.

    def _send_arrival(self, arrival: Arrival) -> None:
        """Send the try of an arrival: a request's first, or a try of a trace; count the generator's lag."""
        self.tally.record_lag(arrival.at, self.now_ms() - arrival.at)
        request_class = self.day.types[arrival.type]
        client = Client(arrival, request_class, self.day.clients, replayed=bool(arrival.first))
        self._send_try(client, arrival.at)

    def _send_try(self, client: Client, intended_ms: float) -> None:
        """Send a client's next try to the node that the front load balancer picks."""
        try_id, now_ms = client.begin(), self.now_ms()
        node, _ = self._load_balancer.pick_node(client.arrival.zone, now_ms)
        pending = PendingTry(client, try_id, intended_ms, node)
        self.open_tries += 1
        self.writer.add(try_record(client, try_id, self.writer.by, node, now_ms))
        leaves_at_ms = client.leaves_at(now_ms)
        grace_ms = ANSWER_GRACE_MS if leaves_at_ms >= client.expires else 0.0
        self._call_at(leaves_at_ms + grace_ms, lambda: self._handle_client_left(pending))
        self.send(pending)

    def send(self, pending: PendingTry) -> None:
        """Send a try over an idle or a new connection; queue it if no more connections are allowed."""
        idle = self._idle[pending.node]
        if idle:
            connection = idle.pop()
        elif self._max_connections and len(self._connections) >= self._max_connections:
            self._waiting.append(pending)
            return
        else:
            try:
                connection = self._connect(pending.node)
            except ConnectionUnavailableError as error:
                self._fail_unsent(pending, error.reason)
                return
        connection.pending, pending.connection = pending, connection
        if not connection.is_connecting:
            self._write(connection, pending)

    def _connect(self, node: str) -> Connection:
        """Start a connection to a node; raise ConnectionUnavailableError if that fails at once."""
        if len(self._connections) >= self.max_descriptors:
            raise ConnectionUnavailableError(ConnectionUnavailableError.NO_DESCRIPTORS)
        connection = Connection(self, node, self._addresses[node])
        self._connections[connection.fd] = connection
        self._poll.register(connection.fd, select.EPOLLIN | select.EPOLLOUT)
        return connection

    def _write(self, connection: Connection, pending: PendingTry) -> None:
        """Write the request of a try to its connection, and count it as sent."""
        now_ms = self.now_ms()
        connection.unsent = pending.request(self._addresses[connection.node], now_ms)
        pending.sent_ms = now_ms
        self.tally.sent += 1
        self._flush(connection)

    def _flush(self, connection: Connection) -> None:
        """Write what the socket accepts; poll for writability while bytes are left."""
        try:
            connection.flush()
        except OSError:
            self._connection_lost(connection)
            return
        mask = select.EPOLLIN | (select.EPOLLOUT if connection.unsent else 0)
        self._poll.modify(connection.fd, mask)

    def _handle_ready(self, connection: Connection, mask: int) -> None:
        """Handle an epoll event of a connection."""
        if connection.is_connecting:
            self._handle_connected(connection, mask)
            return
        if mask & select.EPOLLOUT and connection.unsent:
            self._flush(connection)
        readable = mask & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR)
        if readable and connection.fd in self._connections and not connection.receive():
            self._connection_lost(connection)

    def _handle_connected(self, connection: Connection, mask: int) -> None:
        """Send the try that waits for a connection now established, or handle a refused connection."""
        if connection.connect_error() or mask & select.EPOLLHUP:
            self._connection_refused(connection)
            return
        connection.is_connecting = False
        self._poll.modify(connection.fd, select.EPOLLIN)
        if connection.pending is not None:
            self._write(connection, connection.pending)

    def on_answer(self, connection: Connection) -> None:
        """Handle the complete answer that a connection has received."""
        pending, now_ms = connection.pending, self.now_ms()
        if pending is None:
            self._close(connection)
            return
        connection.pending = pending.connection = None
        connection.was_used = True
        outcome, keep_alive = connection.outcome(pending), connection.keep_alive
        retry_after_ms = connection.retry_after_ms() if outcome == "deferred" else 0.0
        connection.reset_parser()
        if outcome == "completed":
            self.tally.record_completed(now_ms - pending.intended_ms, now_ms - pending.sent_ms)
        if keep_alive:
            self._idle[connection.node].append(connection)
        else:
            self._close(connection)
        self._end_try(pending, outcome, retry_after_ms)
        self._send_waiting()

    def _send_waiting(self) -> None:
        """Send queued tries in their order while connections are available."""
        while self._waiting:
            pending = self._waiting.popleft()
            if not pending.is_open:
                continue
            if not self._idle[pending.node] and len(self._connections) >= self._max_connections:
                # At the limit: close an idle connection to another node, to open one to this node.
                other_idle = next((idle for idle in self._idle.values() if idle), None)
                if other_idle is None:
                    self._waiting.appendleft(pending)
                    return
                self._close(other_idle[0])
            self.send(pending)

    def _end_try(self, pending: PendingTry, outcome: str, retry_after_ms: float) -> None:
        """Record the outcome of a try, and schedule the client's retry if there is one; times in ms."""
        pending.is_open = False
        self.open_tries -= 1
        now_ms = self.now_ms()
        self.writer.add(
            records.TryAnswered(
                t=now_ms, by=self.writer.by, id=pending.id, how=outcome, advice_ms=retry_after_ms
            )
        )
        wait_ms = pending.client.wait(now_ms, outcome, retry_after_ms, self._rng)
        if wait_ms is not None:
            self._schedule_retry(pending.client, now_ms + wait_ms)

    def _schedule_retry(self, client: Client, at_ms: float) -> None:
        """Schedule a client's next try at `at_ms` of the run."""

        def retry() -> None:
            self._scheduled_retries -= 1
            self._send_try(client, at_ms)

        self._scheduled_retries += 1
        self._call_at(at_ms, retry)

    def _fail_unsent(self, pending: PendingTry, reason: str) -> None:
        """End a try that was not sent, as no connection was available."""
        self.tally.record_unsent(reason)
        self._end_try(pending, "unsent", 0.0)

    def _handle_client_left(self, pending: PendingTry) -> None:
        """End a try whose client leaves without an answer, and close its connection."""
        if not pending.is_open:
            return
        pending.is_open = False
        self.open_tries -= 1
        now_ms = self.now_ms()
        early = now_ms < pending.client.expires
        self.writer.add(records.ClientLeft(t=now_ms, by=self.writer.by, id=pending.id, early=early))
        if pending.connection is not None:
            pending.connection.pending = None
            self._close(pending.connection)
            self._send_waiting()

    # Failed connections.

    def _connection_refused(self, connection: Connection) -> None:
        """End the try of a refused connection as unsent, and mark its node as down.

        The load balancer avoids the node only after its detection time; checks mark the node up again.
        """
        node, pending = connection.node, connection.pending
        connection.pending = None
        self._close(connection)
        if node not in self._load_balancer.down_since_by_node:
            self._load_balancer.mark_down(node, self.now_ms())
            self._call_at(self.now_ms() + NODE_CHECK_INTERVAL_MS, lambda: self._check_node(node))
        if pending is not None and pending.is_open:
            pending.connection = None
            self._fail_unsent(pending, ConnectionUnavailableError.REFUSED)

    def _check_node(self, node: str) -> None:
        """Mark a node up if it accepts a connection, else check again after NODE_CHECK_INTERVAL_MS."""
        if not self._has_arrivals() and not self.open_tries:
            return
        with socket.socket() as sock:
            sock.settimeout(NODE_CHECK_TIMEOUT_S)
            if sock.connect_ex(self._addresses[node]) == 0:
                self._load_balancer.mark_up(node)
                return
        self._call_at(self.now_ms() + NODE_CHECK_INTERVAL_MS, lambda: self._check_node(node))

    def _connection_lost(self, connection: Connection) -> None:
        """Close a failed connection; its try is lost, or is sent again where that has no second effect."""
        pending = connection.pending
        connection.pending = None
        self._close(connection)
        if pending is None or not pending.is_open:
            return
        pending.connection = None
        # A node may close an idle connection while a request is in transit on it.
        closed_while_idle = (
            connection.was_used
            and not connection.body
            and pending.client.type.effect == "rerunnable"
            and not pending.was_resent
        )
        if connection.unsent or closed_while_idle:
            pending.was_resent = closed_while_idle
            self.send(pending)
        else:
            self._end_try(pending, "lost", 0.0)

    def _close(self, connection: Connection) -> None:
        """Close a connection; does nothing if it is closed already."""
        if self._connections.pop(connection.fd, None) is not None:
            if connection in self._idle[connection.node]:
                self._idle[connection.node].remove(connection)
            self._poll.unregister(connection.fd)
            connection.sock.close()


def _names_by_zone(places: Mapping[str, NodePlace]) -> dict[str, list[str]]:
    """Return the nodes' names by zone."""
    by_zone: dict[str, list[str]] = {}
    for name, place in places.items():
        by_zone.setdefault(place.zone, []).append(name)
    return by_zone
