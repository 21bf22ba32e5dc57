"""Discovery on loopback: serves the simulated endpoint list by the protocol of the platform's discovery.

Each node has its own listener, so that discovery answers it with the addresses to dial from its zone, and
records which states of servers were sent to which node.
"""

import json
import time
from collections.abc import Mapping
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import h11

from marlseam import records
from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState
from marlseam.emulators.http_listener import HttpListener, reply
from marlseam.emulators.process import EmulatorProcess
from marlseam.net.connection import Connection, Steps
from marlseam.net.loop import READ, READY, Task, sleep
from marlseam.net.protocol import LIST_PATH
from marlseam.simulation import faults
from marlseam.simulation.discovery import EndpointList
from marlseam.simulation.faults import ListChange, ScheduledFault
from marlseam.simulation.model import Day, PlacedNode, placed_nodes, placed_servers

STREAM = "roster"  # the name of discovery in records, in its log and in the names of its files
HEALTH = {EndpointState.READY: "active", EndpointState.DRAINING: "leaving", EndpointState.GONE: "left"}
MAX_WATCH_MS = 60000.0  # the longest time that a watch waits for a newer version
# Step to which start times are rounded. Each call computes a start time anew from the monotonic and the wall
# clock; rounding keeps it the same in all answers until the server restarts.
START_TIME_STEP_MS = 50.0


class ListQuery(NamedTuple):
    """The query parameters of a call for the endpoint list.

    Attributes:
        since: the version that the caller has, 0 for none.
        is_watch: whether the call waits for a version newer than `since`.
        timeout_ms: the longest time that a watch waits, in ms.
    """

    since: int
    is_watch: bool
    timeout_ms: float


def parse_list_query(text: str) -> ListQuery:
    """Parse the query string of a URL; raise ValueError if `since` or `timeout_ms` is not a number."""
    values = parse_qs(text)
    return ListQuery(
        since=int(values.get("since", ["0"])[0]),
        is_watch="since" in values,
        timeout_ms=float(values.get("timeout_ms", ["0"])[0]),
    )


class DiscoveryService:
    """Serves the endpoint list of a day, and the watches that wait for its changes.

    Attributes:
        process: the emulator process.
        endpoint_list: the simulated list.
        listeners: the listener of each node, by the node's name.
    """

    def __init__(
        self,
        process: EmulatorProcess,
        day: Day,
        schedule: list[ScheduledFault],
        addresses_by_zone: Mapping[str, Mapping[str, str]],
        port: int = 0,
    ) -> None:
        """Build the endpoint list, listen for each node, and schedule the changes and outages of the list.

        `addresses_by_zone` maps a zone and a server's name to the address to dial, as HOST:PORT; `port` is
        the port of the first node's listener, 0 for any free port.
        """
        self.process = process
        self._zones, self._addresses_by_zone = day.fleet.zones, addresses_by_zone
        self._servers = {server.name: server for server in placed_servers(day)}
        self.endpoint_list = self._initial_list(day, schedule)
        self._records = process.streams.of(STREAM)
        self._watch_tasks: dict[Task, None] = {}
        self.listeners: dict[str, HttpListener] = {}
        for node in placed_nodes(day):
            listener_port = 0 if self.listeners else port
            handler = partial(self._answer, node)
            self.listeners[node.name] = HttpListener(process, node.name, handler, listener_port)
        for change in faults.listings(day, schedule):
            process.call_at(change.at, partial(self._apply_change, change))
        for outage_from_ms, _ in self.endpoint_list.outages:
            process.call_at(outage_from_ms, self._wake_watches)

    def _initial_list(self, day: Day, schedule: list[ScheduledFault]) -> EndpointList:
        """Return the list at the start of the day, without the servers that a `grow` fault adds later."""
        added_later = {name for fault in schedule if fault.settings.what == "grow" for name in fault.targets}
        entries = [
            self._entry(name, EndpointState.READY, None) for name in self._servers if name not in added_later
        ]
        endpoint_list = EndpointList(entries, day.roster.calls_per_s, day.roster.timeout_ms)
        outages = [fault for fault in schedule if fault.settings.what == "roster_outage"]
        endpoint_list.outages = [(fault.at, fault.until) for fault in outages]
        return endpoint_list

    def _entry(self, server: str, state: EndpointState, started_ms: float | None) -> EndpointEntry:
        """Return a server's list entry; `started_ms` is in ms of the run, None for a start before the day."""
        placed = self._servers[server]
        zone_index = self._zones.index(placed.zone)
        return EndpointEntry(server, state, placed.kind_index, zone_index, placed.cell, started_ms)

    def _apply_change(self, change: ListChange) -> None:
        """Add a scheduled change to the list and resume all watches."""
        self.endpoint_list.add_entry(self._entry(change.server, change.state, change.started_ms))
        self._wake_watches()

    def _wake_watches(self) -> None:
        """Resume all watches, so that each checks the version and for an outage."""
        for task in list(self._watch_tasks):
            task.wake()

    def _is_down(self) -> bool:
        """Return whether the service is in an outage now."""
        now_ms = self.process.now()
        return self.endpoint_list.down_until_ms(now_ms) > now_ms

    def _answer(self, node: PlacedNode, connection: Connection, request: h11.Request, _body: bytes) -> Steps:
        """Answer a request of a node: the list, 404 for an unknown path, 503 in an outage or overload."""
        target = urlsplit(request.target.decode("latin-1"))
        if target.path != LIST_PATH:
            yield from reply(connection, 404, b"")
            return
        query = parse_list_query(target.query)
        served_ms = self._admit_call(node.name)
        if served_ms is None:
            yield from reply(connection, 503, b"")
            return
        yield from sleep(self.process.loop.now() + served_ms - self.process.now())
        if query.is_watch:
            yield from self._wait_for_newer(connection, query)
        if self._is_down():
            yield from reply(connection, 503, b"")
            return
        yield from reply(connection, 200, self._encode_list(node, query.since))

    def _admit_call(self, node: str) -> float | None:
        """Queue and record a node's call; return when it is served in ms of the run, None if rejected."""
        served_ms = self.endpoint_list.take_call(self.process.now())
        self._records.add(
            records.EndpointListCalled(
                t=self.process.now(), by=STREAM, node=node, served=served_ms is not None
            )
        )
        return served_ms

    def _wait_for_newer(self, connection: Connection, query: ListQuery) -> Steps:
        """Wait for a version newer than the caller's, an outage, the time-out or the connection's end."""
        until_ms = self.process.loop.now() + min(query.timeout_ms, MAX_WATCH_MS)
        task = self.process.loop.running_task()
        self._watch_tasks[task] = None
        try:
            while self.endpoint_list.version() <= query.since and self.process.loop.now() < until_ms:
                if self._is_down():
                    return
                event = yield (connection.sock.fileno(), READ, until_ms)
                if event == READY:
                    connection.fill()
                    if connection.eof:
                        return
        finally:
            del self._watch_tasks[task]

    def _encode_list(self, node: PlacedNode, since: int) -> bytes:
        """Return the list, or its changes since a version, as JSON for a node; record departures in it."""
        is_whole, entries = self.endpoint_list.answer_since(since)
        for notice in self.endpoint_list.departure_notices(node.name, is_whole, entries):
            self._records.add(
                records.ServerStateNotified(
                    t=self.process.now(),
                    by=STREAM,
                    node=node.name,
                    executor=notice.server,
                    state=notice.state.value,
                )
            )
        hosts = [self._encode_entry(entry, node.zone) for entry in entries]
        answer = {"seq": self.endpoint_list.version(), "whole": is_whole, "hosts": hosts}
        return json.dumps(answer).encode()

    def _encode_entry(self, entry: EndpointEntry, zone: str) -> dict[str, Any]:
        """Return an entry in the form of the protocol, with the address that nodes of `zone` dial."""
        placed = self._servers[entry.server]
        return {
            "host": entry.server,
            "dial": self._addresses_by_zone[zone][entry.server],
            "site": placed.zone,
            "class": placed.kind.name,
            "block": placed.cell,
            "health": HEALTH[entry.state],
            "share": 1.0,
            "born_ms": self._start_unix_ms(entry),
        }

    def _start_unix_ms(self, entry: EndpointEntry) -> float:
        """Return when a server's process started, in ms of Unix time; 0 for a start before the day."""
        if entry.process_started_ms is None:
            return 0.0
        age_ms = self.process.now() - entry.process_started_ms
        started_ms = time.time() * 1000.0 - age_ms
        return round(started_ms / START_TIME_STEP_MS) * START_TIME_STEP_MS


def serve(
    day: Day, seed: int, addresses_by_zone: Mapping[str, Mapping[str, str]], folder: Path | None, now: bool
) -> None:
    """Run the discovery of a day until it is stopped; the ready line holds an address for each node."""
    process = EmulatorProcess(STREAM, folder)
    service = DiscoveryService(process, day, faults.schedule(day, seed), addresses_by_zone)
    addresses = {name: listener.address for name, listener in service.listeners.items()}
    process.run({"rosters": addresses}, now)
