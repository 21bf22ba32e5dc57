"""The network on loopback: a TCP proxy for each zone and server, which delays, loses or holds back bytes.

Bytes sent while a link is cut are held back, as TCP would retransmit them. When the cut ends, the connections
over the link are reset, so that the held bytes are lost.
"""

import contextlib
import socket
from collections.abc import Mapping
from functools import partial
from math import inf
from pathlib import Path
from typing import NamedTuple

from marlseam import records
from marlseam.emulators.loopback import (
    disable_nagle,
    listening_socket,
    loopback_address,
    port_of,
    reset_on_close,
)
from marlseam.emulators.process import EmulatorProcess
from marlseam.net.loop import READ, WRITE, Cancelled, Coroutine, Loop, Task, sleep
from marlseam.simulation import faults
from marlseam.simulation.faults import ScheduledFault
from marlseam.simulation.model import Day, placed_servers
from marlseam.simulation.network import Links
from marlseam.simulation.random_streams import random_stream

SYSTEM = "network"  # the name of the network in records, in its log and in the names of its files
CHUNK_BYTES = 65536  # the most bytes that are relayed in one step
CUT_CHECK_INTERVAL_MS = 20.0  # interval at which a cut link is checked


class Link(NamedTuple):
    """The network path from one zone to one server.

    Attributes:
        zone: the zone of the nodes that connect.
        server: the server's name.
        server_zone: the zone in which the server runs.
    """

    zone: str
    server: str
    server_zone: str


class SocketAddress(NamedTuple):
    """The address at which a server listens."""

    host: str
    port: int


def parse_socket_address(text: str) -> SocketAddress:
    """Parse an address HOST:PORT; raise ValueError if the port is missing or not a number."""
    host, _, port = text.rpartition(":")
    return SocketAddress(host, int(port))


class RelayedConnection:
    """One connection through a proxy: a socket to the client and one to the server.

    One coroutine for each direction relays bytes. Each coroutine uses duplicates of both sockets, as the loop
    allows only one task to wait for a file descriptor.
    """

    def __init__(self, proxy: "LinkProxy", client: socket.socket, server: socket.socket) -> None:
        self._proxy, self._client, self._server = proxy, client, server
        self._tasks: list[Task] = []
        self._copies: list[socket.socket] = []

    def open(self, loop: Loop) -> None:
        """Start a relay task for each direction."""
        directions = [
            (source.dup(), target.dup())
            for source, target in ((self._client, self._server), (self._server, self._client))
        ]
        self._copies = [copy for direction in directions for copy in direction]
        for source, target in directions:
            self._tasks.append(loop.spawn(self._relay(loop, source, target)))

    def _relay(self, loop: Loop, source: socket.socket, target: socket.socket) -> Coroutine:
        """Relay one direction until the source ends; on an error reset both sides."""
        try:
            yield from self._relay_chunks(loop, source, target)
        except OSError:
            self.close(reset=True)
        finally:
            if all(task.done or task is loop.current for task in self._tasks):
                self.close()

    def _relay_chunks(self, loop: Loop, source: socket.socket, target: socket.socket) -> Coroutine:
        """Relay chunks of bytes in one direction until the source ends, with the faults of the link."""
        has_gap = False  # after a loss no more bytes are relayed: no message behind the gap could be read
        while True:
            yield (source.fileno(), READ, inf)
            try:
                data = source.recv(CHUNK_BYTES)
            except BlockingIOError:
                continue
            yield from self._proxy.wait_while_cut()
            if self._proxy.is_lost():
                has_gap = True
            if has_gap and data:
                continue
            delay_ms = self._proxy.delay_ms()
            if delay_ms > 0.0:
                yield from sleep(loop.now() + delay_ms)
            if not data:
                target.shutdown(socket.SHUT_WR)
                return
            yield from self._send_all(target, data)

    def _send_all(self, target: socket.socket, data: bytes) -> Coroutine:
        """Send all of `data`, waiting for room in the socket as needed."""
        unsent = memoryview(data)
        while unsent:
            try:
                unsent = unsent[target.send(unsent) :]
            except BlockingIOError:
                yield (target.fileno(), WRITE, inf)

    def close(self, reset: bool = False) -> None:
        """Close both sides and cancel the relay tasks; with `reset` each close sends a TCP reset."""
        self._proxy.connections.pop(self, None)
        for sock in (self._client, self._server, *self._copies):
            if reset:
                with contextlib.suppress(OSError):
                    reset_on_close(sock)
            self._proxy.process.loop.close(sock)
        for task in self._tasks:
            task.cancel()


class LinkProxy:
    """Listens for connections from one zone to one server and relays them.

    Attributes:
        process: the emulator process.
        link: the zone and the server that the proxy connects.
        connections: the connections that it relays.
        address: the address at which it listens, as HOST:PORT.
    """

    def __init__(self, process: EmulatorProcess, links: Links, link: Link, target: SocketAddress) -> None:
        """Listen at a free port for connections to `target`; `links` has the delays, losses and cuts."""
        self.process, self.link = process, link
        self._links, self._target = links, target
        self.connections: dict[RelayedConnection, None] = {}
        self._listening_socket = listening_socket()
        self.address = loopback_address(port_of(self._listening_socket))
        process.loop.spawn(self._accept())

    @property
    def crosses_zones(self) -> bool:
        """Whether the server runs in another zone."""
        return self.link.zone != self.link.server_zone

    def delay_ms(self) -> float:
        """Return the delay to add to a chunk of bytes, in ms; 0 within a zone, for loopback's own delay."""
        return self._links.delay(self.link.zone, self.link.server_zone) if self.crosses_zones else 0.0

    def is_lost(self) -> bool:
        """Draw whether the chunk of bytes received now is lost."""
        return self._links.is_lost(self.link.zone, self.link.server_zone)

    def wait_while_cut(self) -> Coroutine:
        """Wait until the link is not cut."""
        while not self._links.is_reachable(self.link.zone, self.link.server, self.link.server_zone):
            yield from sleep(self.process.loop.now() + CUT_CHECK_INTERVAL_MS)

    def reset_connections(self) -> None:
        """Close all relayed connections by a TCP reset."""
        for connection in list(self.connections):
            connection.close(reset=True)

    def _accept(self) -> Coroutine:
        """Accept connections, and start a task that connects each to the server."""
        while True:
            yield (self._listening_socket.fileno(), READ, inf)
            try:
                client, _ = self._listening_socket.accept()
            except OSError:
                continue
            self.process.loop.spawn(self._connect(client))

    def _connect(self, client: socket.socket) -> Coroutine:
        """Connect a client to the server and start relaying; if the server refuses, reset the client."""
        server = socket.socket()
        try:
            for sock in (client, server):
                sock.setblocking(False)
                disable_nagle(sock)
            yield from self.wait_while_cut()
            server.connect_ex(self._target)
            yield (server.fileno(), WRITE, inf)
            error_number = server.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error_number:
                reset_on_close(client)
        except (OSError, Cancelled):
            self._close_unrelayed(client, server)
            return
        if error_number:
            self._close_unrelayed(client, server)
            return
        connection = RelayedConnection(self, client, server)
        self.connections[connection] = None
        connection.open(self.process.loop)

    def _close_unrelayed(self, *sockets: socket.socket) -> None:
        """Close sockets that belong to no relayed connection."""
        for sock in sockets:
            self.process.loop.close(sock)


class EmulatedNetwork:
    """The proxies of a day, one for each zone and server, and the scheduled faults of their links."""

    def __init__(self, process: EmulatorProcess, day: Day, seed: int, addresses: Mapping[str, str]) -> None:
        """Create the proxies, schedule the faults; `addresses` maps a server to its HOST:PORT."""
        self._process = process
        self._records = process.streams.of(SYSTEM)
        self._links = Links(day.network, random_stream(seed, "network"))
        self._proxies = [
            LinkProxy(
                process, self._links, Link(zone, name, server_zone), parse_socket_address(addresses[name])
            )
            for zone in day.fleet.zones
            for name, _, _, server_zone, _ in placed_servers(day)
        ]
        apply_by_name = {"slow_link": self._set_slow, "zone_cut": self._set_cut}
        for fault in faults.schedule(day, seed):
            apply = apply_by_name.get(fault.settings.what)
            if apply is not None:
                process.call_at(fault.at, partial(apply, fault, begins=True))
                process.call_at(fault.until, partial(apply, fault, begins=False))

    def addresses_by_zone(self) -> dict[str, dict[str, str]]:
        """Return the address to dial for each server, by zone and server's name."""
        addresses: dict[str, dict[str, str]] = {}
        for proxy in self._proxies:
            addresses.setdefault(proxy.link.zone, {})[proxy.link.server] = proxy.address
        return addresses

    def _set_cut(self, fault: ScheduledFault, *, begins: bool) -> None:
        """Cut a zone off from all others, or end the cut, which resets the connections across it."""
        zone = fault.targets[0]
        self._links.set_blocked(self._links.cut_zones, zone, begins)
        self._records.add(
            records.LinkChanged(t=self._process.now(), by=SYSTEM, a=zone, b="*", mended=not begins)
        )
        if begins:
            return
        for proxy in self._proxies:
            if (proxy.link.zone == zone) != (proxy.link.server_zone == zone):
                proxy.reset_connections()

    def _set_slow(self, fault: ScheduledFault, *, begins: bool) -> None:
        """Make the links of a zone slow and lossy when the fault begins, and undo that when it ends."""
        self._links.set_zone_slow(fault.targets[0], fault.settings.size, fault.settings.part, begins)


def serve(day: Day, seed: int, addresses: Mapping[str, str], folder: Path | None, now: bool) -> None:
    """Run the network of a day until it is stopped; the ready line has the addresses to dial, by zone."""
    process = EmulatorProcess(SYSTEM, folder)
    network = EmulatedNetwork(process, day, seed, addresses)
    process.run({"dials": network.addresses_by_zone()}, now)
