"""The connections of clients, and the limits that they share: which one may be accepted or must make room.

A connection has a place while it is one of the `clients` that the limits allow. Beyond these a few more, the
overflow, are accepted and read, so that a request is answered in time however the places are filled: it gets
the next place that becomes free, or is rejected.
"""

from dataclasses import dataclass, replace
from http import HTTPStatus

from marlseam.net import http
from marlseam.net.connection import Connection, Steps
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.log import Log, Reason
from marlseam.net.loop import Loop, Task, sleep

NEW_GRACE_MS = 250.0  # time in which a new connection that has sent nothing is not closed to free capacity
MAX_NEW_SHARE = 0.25  # share of the clients' limit above which new connections lose NEW_GRACE_MS
READING_GRACE_MS = 250.0  # time in which a request that is being received is not rejected to free capacity
MIN_CLIENTS = 2  # minimum number of places in a shortage, whatever the number of descriptors
MAX_PIPELINED_BYTES = 1 << 18  # maximum of a connection for requests behind the one that is worked on
PIPELINED_SHARE = 0.25  # limit of all such bytes together, as a share of the memory for bodies
MAX_WAIT_SHARE = 0.25  # share of the time that a client waits in which its request may wait for capacity


@dataclass(frozen=True)
class AdmissionLimits:
    """The share of the node's limits that clients may use.

    Attributes:
        clients: maximum number of connections with a place.
        body_bytes: maximum memory for the bodies of all their requests together, in bytes.
        overflow: maximum number of connections without a place.

    """

    clients: int
    body_bytes: float
    overflow: int = 0


class ClientConnections:
    """The open connections of clients, by what each is doing, and the choice of one to close.

    Attributes:
        limits: what clients may use of the node's limits.
        open: all connections.
        overflow: the connections without a place, the oldest first.
        waiting: tasks of connections without a place whose request was received, the longest waiting first.
        idle: tasks of connections without a request in progress, the longest idle first.
        unvalidated: tasks of connections that have not sent a valid request, the oldest first.
        refused: tasks of connections that were sent an error, which end once their clients have read it.
        reading: tasks of connections whose request has begun to arrive, the earliest first.
        reserved_bytes: bytes of memory reserved for the body of each connection's request.

    """

    def __init__(self, loop: Loop, log: Log, limits: AdmissionLimits) -> None:
        self.loop, self.log, self.limits = loop, log, limits
        self.open: dict[Connection, None] = {}
        self.overflow: dict[Connection, None] = {}
        self.waiting: dict[Connection, Task] = {}
        self.idle: dict[Connection, Task] = {}
        self.unvalidated: dict[Connection, Task] = {}
        self.refused: dict[Connection, Task] = {}
        self.reading: dict[Connection, Task] = {}
        self.reserved_bytes: dict[Connection, int] = {}

    def apply_limits(self, limits: AdmissionLimits) -> None:
        """Apply the limits, and close connections above them."""
        self.limits = limits
        while self.placed_count() > limits.clients and self.close_one():
            pass
        self.give_places()

    def limit_clients(self, max_clients: int) -> None:
        """Lower the maximum number of clients until the next `apply_limits`; none is closed for it.

        One of them may be in the overflow, which must not take descriptors from attempts in a shortage.
        """
        overflow = min(self.limits.overflow, 1 if max_clients > MIN_CLIENTS else 0)
        clients = min(self.limits.clients, max_clients - overflow)
        self.limits = replace(self.limits, clients=clients, overflow=overflow)

    # Places.

    def placed_count(self) -> int:
        """Return how many connections have a place."""
        return len(self.open) - len(self.overflow)

    def has_place(self) -> bool:
        """Return whether a place is free."""
        return self.placed_count() < self.limits.clients

    def has_capacity(self, is_short: bool) -> bool:
        """Return whether a connection may be accepted; closes connections without a taken request for it.

        `is_short`: the system has no descriptor left, so that one descriptor must be released.
        """
        if is_short:
            return self.loop.descriptors.release_one()
        if not self.make_room():
            return False
        # Guards the node's own needs: freed descriptors first refill the spares, before clients use them.
        descriptors = self.loop.descriptors
        return descriptors.hold_all_spares() or (self.close_one() and descriptors.hold_all_spares())

    def make_room(self) -> bool:
        """Return whether a place is free or can be freed, or else whether there is room in the overflow."""
        while not self.has_place():
            overflow_before = len(self.overflow)
            if not self.close_one(spare_new=True):
                break
            if len(self.overflow) < overflow_before:
                return True
        if self.has_place() or len(self.overflow) < self.limits.overflow:
            return True
        is_closed = (self.is_queue_late() and self.reject_longest_waiting()) or self.close_one()
        return is_closed and (self.has_place() or len(self.overflow) < self.limits.overflow)

    def is_queue_late(self) -> bool:
        """Return whether connections may have waited in the accept queue for too long."""
        return False

    def add(self, connection: Connection) -> None:
        """Add a new connection, with a place if one is free."""
        if not self.has_place():
            self.overflow[connection] = None
        self.open[connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection that ends, and give its place to another one."""
        for table in (
            self.unvalidated,
            self.refused,
            self.reading,
            self.idle,
            self.reserved_bytes,
            self.waiting,
            self.overflow,
            self.open,
        ):
            table.pop(connection, None)
        self.give_places()

    def give_places(self) -> None:
        """Give free places to the overflow, first to those whose request waits."""
        while self.overflow and self.has_place():
            connection = next(iter(self.waiting), None) or next(iter(self.overflow))
            del self.overflow[connection]
            task = self.waiting.pop(connection, None)
            if task is not None:
                task.wake()

    def wait_for_place(self, connection: Connection, time_left_ms: float) -> Steps:
        """Wait until a connection whose request was received has a place.

        Raises ConnectionEndedError with status 503 after MAX_WAIT_SHARE of the time that its client waits.
        """
        self.unvalidated.pop(connection, None)
        until_ms = connection.earliest_sent_ms + MAX_WAIT_SHARE * time_left_ms
        while connection in self.overflow:
            self.waiting[connection] = self.loop.running_task()
            if self.close_one(spare_new=True):
                continue
            if self.loop.now() >= until_ms:
                del self.waiting[connection]
                raise ConnectionEndedError(Reason.CROWDED, HTTPStatus.SERVICE_UNAVAILABLE)
            yield from sleep(min(until_ms, self.loop.now() + http.CAPACITY_RETRY_MS))

    def reject_longest_waiting(self) -> bool:
        """Reject the request that has waited longest for a place; return whether there was one."""
        connection = next(iter(self.waiting), None)
        if connection is None:
            return False
        self.close_now(connection, self.waiting[connection], Reason.CROWDED)
        return True

    # Closing connections to make room.

    def close_one(self, spare_new: bool = False) -> bool:
        """Close a connection without a taken request and return whether there was one.

        Connections that were sent an error are closed first, then those that have sent no valid request, then
        idle ones, then those whose request arrives slowly, then (unless `spare_new`) new ones. Guards regular
        clients against floods of connections that send nothing, nothing valid or a part of a request, and
        guards new clients, whose first request arrives shortly after connecting, against being closed for
        each other while other connections are idle.
        """
        now = self.loop.now()
        has_few_new = len(self.unvalidated) <= MAX_NEW_SHARE * self.limits.clients
        new_ms = now - (NEW_GRACE_MS if has_few_new else 0.0)
        old_unvalidated = [connection for connection in self.unvalidated if connection.opened_ms <= new_ms]
        idle_validated = [connection for connection in self.idle if connection not in self.unvalidated]
        slow = [
            connection
            for connection in self.reading
            if connection not in self.unvalidated and connection.used_ms <= now - READING_GRACE_MS
        ]
        new = () if spare_new else self.unvalidated
        closable = dict.fromkeys((*self.refused, *old_unvalidated, *idle_validated, *slow, *new))
        return any(self.close_or_wake(connection, Reason.CROWDED) for connection in closable)

    def close_or_wake(self, connection: Connection, reason: Reason) -> bool:
        """Close a connection unless it was idle and a request has begun to arrive; return whether it closed.

        A request that is being received is answered with 503.
        """
        tables = (self.refused, self.unvalidated, self.idle, self.reading)
        task = next(table[connection] for table in tables if connection in table)
        if connection in self.idle and not connection.is_quiet():
            del self.idle[connection]
            task.wake()
            return False
        self.close_now(connection, task, reason)
        return True

    def close_now(self, connection: Connection, task: Task, reason: Reason) -> None:
        """Close a connection; a request that is being received or waits for a place is answered with 503."""
        if connection in self.reading or connection in self.waiting:
            connection.send_last_response(HTTPStatus.SERVICE_UNAVAILABLE)
        connection.close(reason)
        task.cancel()

    # Memory for bodies.

    def reserve_body(self, connection: Connection, size: int, until_ms: float) -> Steps:
        """Reserve memory for a request's body, waiting until it is free.

        Connections that have sent no valid request, or whose request arrives slowly, are closed to free
        theirs. Raises ConnectionEndedError with status 503 after `until_ms`.
        """
        while sum(self.reserved_bytes.values()) + size > self.limits.body_bytes:
            holder = self.closable_holder()
            if holder is not None:
                self.close_or_wake(holder, Reason.CROWDED)
            elif self.loop.now() < until_ms:
                yield from sleep(min(until_ms, self.loop.now() + http.CAPACITY_RETRY_MS))
            else:
                raise ConnectionEndedError(Reason.CROWDED, HTTPStatus.SERVICE_UNAVAILABLE)
        self.reserved_bytes[connection] = size

    def max_pipelined_bytes(self, connection: Connection) -> int:
        """Return how many bytes of further requests may be kept while a connection's request is worked on."""
        others_bytes = sum(len(other.buffer) for other in self.open if other is not connection)
        free_bytes = int(PIPELINED_SHARE * self.limits.body_bytes) - others_bytes
        return max(0, min(MAX_PIPELINED_BYTES, free_bytes))

    def closable_holder(self) -> Connection | None:
        """Return a connection that may be closed to free the memory reserved for its body; None for none."""
        slow_ms = self.loop.now() - READING_GRACE_MS
        slow = [connection for connection in self.reading if connection.used_ms <= slow_ms]
        holders = (each for each in (*self.unvalidated, *slow) if self.reserved_bytes.get(each))
        return next(holders, None)
