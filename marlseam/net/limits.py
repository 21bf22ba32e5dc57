"""A process's share of the node's limits: connections, memory for bodies, and settings that are budgets.

The node counts what it opens against the settings. If the system has fewer descriptors than the settings
allow, `DescriptorShortage` lowers the limit of clients for a while.
"""

import resource
from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from marlseam.configuration import Config
from marlseam.decisions.types import Settings
from marlseam.net import protocol
from marlseam.net.client_connections import MIN_CLIENTS, AdmissionLimits, ClientConnections
from marlseam.net.loop import Loop
from marlseam.net.upstream import Upstream

# Descriptors for listeners, epoll, signals, discovery, logs, the interpreter and OVERFLOW_CONNECTIONS.
OWN_SOCKETS = 32
OVERFLOW_CONNECTIONS = 6  # connections of clients beyond their limit
OWN_MEMORY_MB = 20.0  # memory for the node itself
CONNECTION_KB = 20.0  # memory for a connection, without the body of its request
BODY_MEMORY_SHARE = 0.5  # share of the memory beyond OWN_MEMORY_MB for bodies of clients' requests
OPERATOR_CONNECTIONS = 16  # connections reserved for operators, in addition to all others
MIN_CONNECTIONS = 16  # minimum whatever the limits: a node cannot serve with fewer connections
CLIENT_SHARE = 0.5  # share of the connections for clients
SHORTAGE_MS = 10000.0  # time after a shortage until the settings' limit is tried again


class ConnectionLimits(NamedTuple):
    """The limits of one process: `clients` for connections and bodies, `servers` for connections."""

    clients: AdmissionLimits
    servers: int


def settings_for_process(settings: Settings, processes: int = 1) -> Settings:
    """Return the settings for serving on sockets, for one of the processes that serve as this node.

    The platform's protocol has no messages between nodes, and sends lists only to nodes that watch.
    """
    return replace(settings, may_gossip=False, subscribes_to_endpoints=True, process_share=1.0 / processes)


def max_connections(config: Config, processes: int = 1) -> int:
    """Return how many connections the limits allow one of `processes` processes; bodies are separate."""
    descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    sockets = (
        config.sockets
        if descriptor_limit == resource.RLIM_INFINITY
        else min(config.sockets, descriptor_limit)
    )
    free_kb = (1.0 - BODY_MEMORY_SHARE) * (config.memory_mb / processes - OWN_MEMORY_MB) * 1024.0
    own_sockets = OWN_SOCKETS + (OPERATOR_CONNECTIONS if config.admin is not None else 0)
    return max(MIN_CONNECTIONS, int(min(sockets / processes - own_sockets, free_kb / CONNECTION_KB)))


def connection_limits(config: Config, processes: int = 1) -> ConnectionLimits:
    """Return the limits of one of `processes` processes."""
    connections = max_connections(config, processes)
    clients = int(CLIENT_SHARE * connections)
    body_bytes = BODY_MEMORY_SHARE * (config.memory_mb / processes - OWN_MEMORY_MB) * 1024.0 * 1024.0
    body_bytes = max(body_bytes, MIN_CONNECTIONS * protocol.MAX_BODY_BYTES)
    admission = AdmissionLimits(clients, body_bytes, OVERFLOW_CONNECTIONS)
    return ConnectionLimits(admission, connections - clients)


class DescriptorShortage:
    """Lowers the limit of clients for a while if the system has fewer descriptors than the settings allow.

    `restore` applies the settings' limit again.
    """

    def __init__(
        self, loop: Loop, downstream: ClientConnections, upstream: Upstream, restore: Callable[[], None]
    ) -> None:
        self.loop, self.downstream, self.upstream, self.restore = loop, downstream, upstream, restore
        self.restore_timer = loop.call_at(loop.now(), lambda: None)
        loop.descriptors.releasers = [downstream.close_one, upstream.pool.close_longest_idle]
        loop.descriptors.on_shortage = self.reduce_clients

    def reduce_clients(self) -> None:
        """Lower the limit of clients to CLIENT_SHARE of the open connections.

        Guards the attempts of taken requests, which need as many descriptors as the clients' connections.
        """
        connections = len(self.downstream.open) + self.upstream.pool.open_count()
        self.downstream.limit_clients(max(MIN_CLIENTS, int(CLIENT_SHARE * connections)))
        self.loop.cancel_timer(self.restore_timer)
        self.restore_timer = self.loop.call_at(self.loop.now() + SHORTAGE_MS, self.end)

    def end(self) -> None:
        """Try the settings' limit again: other processes may have released descriptors."""
        self.loop.descriptors.hold_all_spares()
        self.restore()
