"""A node under a clock that the test controls, and discovery that the test stops and starts."""

import select
import socket
import time
from collections.abc import Callable
from typing import Protocol

from loopback_servers import reset_connection

from marlseam.net.node import Node

STEP_MS = 50.0  # by which the clock moves: how late a loop may be at each wait
MAX_ADVANCE_MS = 60000.0
REAL_TIME_LIMIT_S = 20.0
BACKLOG = 64


class ClosableDiscovery(Protocol):
    """What plays discovery for a node, and is closed with it."""

    def close(self) -> None: ...


class RestartableDiscovery:
    """Discovery, which the test stops and starts at one address.

    Attributes:
        held: the connections on which calls have come
        unanswered: connections whose calls are never answered
    """

    def __init__(self, listens: bool = True) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.address = self.sock.getsockname()
        self.held: list[socket.socket] = []
        self.unanswered: list[socket.socket] = []
        if listens:
            self.start()

    def start(self, backlog: int = BACKLOG) -> None:
        self.sock.listen(backlog)
        self.sock.setblocking(False)

    def stop(self) -> None:
        """Stop, and reset all connections; the address stays taken, and refuses."""
        self.end_connections(reset_connection)
        self.sock.close()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(self.address)

    def end_connections(self, how: Callable[[socket.socket], None] = socket.socket.close) -> None:
        for sock in self.held:
            how(sock)
        self.held.clear()

    def next_call(self) -> socket.socket | None:
        """Return the connection on which a call has come that was not returned yet."""
        while select.select([self.sock], [], [], 0)[0]:
            sock, _ = self.sock.accept()
            sock.setblocking(False)
            self.held.append(sock)
        for sock in select.select(self.held, [], [], 0)[0]:
            if b"\r\n\r\n" in sock.recv(4096):
                return sock
        return None

    def leave_calls_unanswered(self) -> None:
        """Answer no call that has come, also of those that are still in the accept queue."""
        self.next_call()
        self.unanswered += self.held
        self.held = []

    def close(self) -> None:
        for sock in (self.sock, *self.held, *self.unanswered):
            sock.close()


class ControlledNode:
    """A node whose clock moves only when the test says so.

    Attributes:
        clock: the node's time, in ms
        calls: how often the node has begun to call discovery
    """

    def __init__(self, node: Node, discovery: ClosableDiscovery) -> None:
        self.node, self.discovery = node, discovery
        self.clock = node.loop.now()
        node.loop.now = lambda: self.clock
        self.calls = 0
        watch = node.discovery.watch

        def count_and_watch() -> None:
            self.calls += 1
            watch()

        node.discovery.watch = count_and_watch

    def run_turn(self) -> None:
        """Run one turn of the loop."""
        self.node.loop.at(self.clock, lambda: None)
        self.node.loop.turn()

    def run_until(self, condition: Callable[[], object]) -> object:
        """Run the loop, with the clock standing, until the sockets bring a condition about; return it."""
        end_s = time.monotonic() + REAL_TIME_LIMIT_S
        while not (result := condition()):
            assert time.monotonic() < end_s, "it did not come"
            self.run_turn()
        return result

    def advance_until(self, condition: Callable[[], object], limit_ms: float = MAX_ADVANCE_MS) -> None:
        """Advance the clock until a condition holds."""
        end_ms = self.clock + limit_ms
        while not condition():
            assert self.clock < end_ms, "it did not come"
            self.clock += STEP_MS
            self.run_turn()

    def advance_to_next_call(self) -> None:
        """Advance the clock up to the next call."""
        calls = self.calls
        self.advance_until(lambda: self.calls > calls)

    def has_failed(self) -> bool:
        """Return whether no call is under way."""
        task = self.node.discovery.task
        return task is None or task.done

    def version(self) -> int:
        """Return the version of the list that the node holds."""
        return self.node.discovery.version

    def close(self) -> None:
        self.node.is_reducing = True
        self.node.loop.finish()
        self.discovery.close()
