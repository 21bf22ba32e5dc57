"""A node under a clock that the test controls, and a discovery server that the test stops and starts."""

import select
import socket
import time
from collections.abc import Callable
from typing import Protocol

from loopback_servers import reset_connection

from marlseam.net.node import Node

STEP_MS = 50.0  # one advance of the clock, and so the most that the loop is late at a wait
MAX_ADVANCE_MS = 60000.0  # of the controlled clock, after which a wait for a condition fails
REAL_TIME_LIMIT_S = 20.0  # after which a wait for sockets fails
BACKLOG = 64


class ClosableDiscovery(Protocol):
    """A test's discovery server, which is closed together with the node."""

    def close(self) -> None: ...


class RestartableDiscovery:
    """A discovery server that the test stops and starts at one address.

    Attributes:
        sock: the listening socket, or one that is bound only while the server is stopped
        address: where it listens
        held: the accepted connections
        unanswered: the connections whose calls are never answered
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
        """Stop, and reset all connections; the address stays bound, so that connecting to it is refused."""
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
        """Return a connection on which a new call has come, or None."""
        while select.select([self.sock], [], [], 0)[0]:
            sock, _ = self.sock.accept()
            sock.setblocking(False)
            self.held.append(sock)
        for sock in select.select(self.held, [], [], 0)[0]:
            if b"\r\n\r\n" in sock.recv(4096):
                return sock
        return None

    def leave_calls_unanswered(self) -> None:
        """Leave all present calls unanswered for good, also those still in the accept queue."""
        self.next_call()
        self.unanswered += self.held
        self.held = []

    def close(self) -> None:
        for sock in (self.sock, *self.held, *self.unanswered):
            sock.close()


class ControlledNode:
    """A node whose clock advances only when the test moves it.

    Attributes:
        node: the node
        discovery: its discovery server
        clock: the node's time, in ms
        calls: how often the node has begun a call to discovery
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
        self.node.loop.call_at(self.clock, lambda: None)
        self.node.loop.turn()

    def run_until(self, condition: Callable[[], object]) -> object:
        """Run the loop at a standing clock until a condition holds; return the condition's value."""
        end_s = time.monotonic() + REAL_TIME_LIMIT_S
        while not (result := condition()):
            assert time.monotonic() < end_s, "the condition did not hold within the limit of real time"
            self.run_turn()
        return result

    def advance_until(self, condition: Callable[[], object], limit_ms: float = MAX_ADVANCE_MS) -> None:
        """Advance the clock in steps of STEP_MS until a condition holds; fail after `limit_ms`."""
        end_ms = self.clock + limit_ms
        while not condition():
            assert self.clock < end_ms, "the condition did not hold within the limit of the node's time"
            self.clock += STEP_MS
            self.run_turn()

    def advance_to_next_call(self) -> None:
        """Advance the clock until the node begins its next call to discovery."""
        calls = self.calls
        self.advance_until(lambda: self.calls > calls)

    def has_failed(self) -> bool:
        """Return whether the node has no call to discovery in progress."""
        task = self.node.discovery.task
        return task is None or task.done

    def version(self) -> int:
        """Return the version of the node's endpoint list."""
        return self.node.discovery.version

    def close(self) -> None:
        self.node.is_reducing = True
        self.node.loop.finish()
        self.discovery.close()
