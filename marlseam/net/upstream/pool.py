"""The pool of connections to servers: bounded in total and per server; reuses the last used one first."""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

from marlseam.configuration import Deployment
from marlseam.core import FORGET_AFTER_LIST_MAX_AGES
from marlseam.net.connection import Connection, Steps, connect
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.log import Log, Reason
from marlseam.net.loop import READ, READY, Coroutine, Loop, Task
from marlseam.net.upstream.timeouts import UpstreamTimeouts

PER_SERVER_SHARE = 0.25  # share of `max_connections` that attempts to one server may use
CONNECTION_LOST = (
    Reason.PEER_CLOSED,
    Reason.PEER_RESET,
    Reason.REFUSED,
)  # reasons that end one connection, and may affect no other connection to the server
MIN_PER_SERVER = 4  # connections that attempts to one server may use at least, whatever the share


class IdleConnection(NamedTuple):
    """An idle connection and the task that waits for its end."""

    connection: Connection
    watcher: Task


@dataclass
class ServerConnections:
    """The connections to one server.

    Attributes:
        name: the server's name.
        address: its host and port; None until the endpoint list has given one.
        is_listed: whether it is on the endpoint list, or is retained after leaving the list.
        delisted_ms: when it left the list; None while it is listed.
        count: number of connections that are open or being opened.
        idle: the idle connections, the most recently used last.

    """

    name: str
    address: tuple[str, int] | None = None
    is_listed: bool = True
    delisted_ms: float | None = None
    count: int = 0
    idle: list[IdleConnection] = field(default_factory=list)


class ConnectionPool:
    """Opens, keeps and closes the connections to servers.

    Attributes:
        servers: by name, each server that is listed or has a connection.
        max_connections: limit on the connections to all servers together.

    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        deployment: Deployment,
        timeouts: UpstreamTimeouts,
        max_connections: int,
    ) -> None:
        self.loop, self.log = loop, log
        self.servers: dict[str, ServerConnections] = {}
        self.configure(deployment, timeouts, max_connections)

    def configure(self, deployment: Deployment, timeouts: UpstreamTimeouts, max_connections: int) -> None:
        """Apply settings, and close idle connections above the new limit."""
        self.deployment, self.timeouts, self.max_connections = deployment, timeouts, max_connections
        while self.open_count() > max_connections and self.close_longest_idle():
            pass

    # The endpoint list.

    def update_addresses(self, addresses: dict[str, tuple[str, int]]) -> set[str]:
        """Apply addresses of listed servers; return the moved servers, with their idle connections closed."""
        moved = set()
        for name, address in addresses.items():
            server = self.servers.setdefault(name, ServerConnections(name))
            if server.address not in (None, address):
                self.close_idle(server)
                moved.add(name)
            server.address, server.is_listed, server.delisted_ms = address, True, None
        return moved

    def retain_listed(self, names: Collection[str]) -> None:
        """Remove the servers that are not among `names`.

        If only draining excludes servers, requests may still be sent to a delisted server, which is retained
        for as long as the reducer retains it.
        """
        settings, now = self.deployment.settings, self.loop.now()
        retention_ms = (
            FORGET_AFTER_LIST_MAX_AGES * settings.list_max_age_ms if settings.only_draining_excludes else 0.0
        )
        for server in [server for server in self.servers.values() if server.name not in names]:
            server.delisted_ms = now if server.delisted_ms is None else server.delisted_ms
            if now - server.delisted_ms < retention_ms:
                continue
            server.is_listed = False
            self.close_idle(server)
            self.forget_if_unused(server)

    def server(self, name: str) -> ServerConnections:
        """Return a server's connections; for an unknown server, an empty record that is not stored."""
        return self.servers.get(name) or ServerConnections(name, is_listed=False)

    def forget_if_unused(self, server: ServerConnections) -> None:
        """Remove a delisted server once it has no open connections."""
        if not server.is_listed and not server.count and self.servers.get(server.name) is server:
            del self.servers[server.name]

    # Bounds.

    def open_count(self) -> int:
        """Return the number of connections to all servers, including those being opened."""
        return sum(server.count for server in self.servers.values())

    def max_per_server(self) -> int:
        """Return the maximum number of connections that attempts to one server may use."""
        return max(MIN_PER_SERVER, int(PER_SERVER_SHARE * self.max_connections))

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
        server = min(
            (server for server in self.servers.values() if server.idle),
            key=lambda server: server.idle[0].connection.used_ms,
            default=None,
        )
        if server is None:
            return False
        connection, watcher = server.idle.pop(0)
        watcher.cancel()
        self.close_connection(server, connection, Reason.CROWDED)
        return True

    # Connections.

    def acquire(
        self, server: ServerConnections, max_count: int, until_ms: float, is_new: bool = False
    ) -> Steps:
        """Return a connection: the most recently used idle one that is still open, else a new one.

        `max_count` limits the server's connections; `is_new` requires a new connection. Raises
        ConnectionEndedError with NO_SOCKETS if a limit is reached, or with the reason that `connect` gives.
        """
        while server.idle and not is_new:
            connection = self.take_idle(server)
            if connection.is_quiet():
                return connection
            self.close_connection(server, connection, Reason.PEER_CLOSED)
        if server.address is None or server.count >= max_count:
            raise ConnectionEndedError(Reason.NO_SOCKETS)
        if self.open_count() >= self.max_connections and not self.close_longest_idle():
            raise ConnectionEndedError(Reason.NO_SOCKETS)
        server.count += 1
        try:
            until_ms = min(until_ms, self.loop.now() + self.deployment.connect_ms)
            what = f"server {server.name}"
            return (yield from connect(self.loop, self.log, server.address, what, until_ms))
        except BaseException:
            server.count -= 1
            raise

    def release(self, server: ServerConnections, connection: Connection) -> None:
        """Keep a connection for reuse if its address is still listed and both sides allow it; else close."""
        if server.is_listed and connection.address == server.address and connection.start_next_message():
            watcher = self.loop.spawn(self.watch_idle(server, connection))
            server.idle.append(IdleConnection(connection, watcher))
        else:
            self.close_connection(server, connection, Reason.DONE)

    def take_idle(self, server: ServerConnections) -> Connection:
        """Remove the most recently used idle connection from the pool and return it."""
        connection, watcher = server.idle.pop()
        watcher.cancel()
        return connection

    def watch_idle(self, server: ServerConnections, connection: Connection) -> Coroutine:
        """Close an idle connection when its idle time-out expires or when bytes or an end arrive on it."""
        came = yield (connection.sock.fileno(), READ, self.loop.now() + self.timeouts.idle_ms)
        server.idle = [idle for idle in server.idle if idle.connection is not connection]
        self.close_connection(server, connection, Reason.PEER_CLOSED if came == READY else Reason.IDLE)

    def close_connection(self, server: ServerConnections, connection: Connection, reason: Reason) -> None:
        """Close a connection and remove it from the counts."""
        connection.close(reason)
        server.count -= 1
        self.forget_if_unused(server)

    def close_idle(self, server: ServerConnections, reason: Reason = Reason.FORGOTTEN) -> None:
        """Close the idle connections to a server."""
        while server.idle:
            self.close_connection(server, self.take_idle(server), reason)

    def close(self) -> None:
        """Close all idle connections when the node ends."""
        for server in list(self.servers.values()):
            self.close_idle(server, Reason.DRAINING)
