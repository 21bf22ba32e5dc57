"""The roster on loopback.

One door a node, so that each is told addresses of its own zone and its words are recorded.
"""

import json
import time
from collections.abc import Mapping
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import h11

from marlseam import records
from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState
from marlseam.emulators.base import Door, Stand, reply
from marlseam.net.connection import Connection, Steps
from marlseam.net.loop import READ, READY, Task, sleep
from marlseam.net.protocol import LIST_PATH
from marlseam.simulation import faults
from marlseam.simulation.discovery import EndpointList
from marlseam.simulation.model import Day, placed_nodes, placed_servers

HEALTH = {EndpointState.READY: "active", EndpointState.DRAINING: "leaving", EndpointState.GONE: "left"}


class Directory:
    """The one list, and who waits for its changes."""

    def __init__(
        self,
        stand: Stand,
        day: Day,
        schedule: list[faults.ScheduledFault],
        dials: Mapping[str, Mapping[str, str]],
        port: int = 0,
    ) -> None:
        """Make the list.

        `dials` holds an address of each executor for each zone, `port` the first node's door.
        """
        self.stand, self.day, self.dials = stand, day, dials
        self.places = {name: (kind.name, zone, cell) for name, kind, _, zone, cell in placed_servers(day)}
        self.numbers = {
            name: (k, day.fleet.zones.index(zone), cell) for name, _, k, zone, cell in placed_servers(day)
        }
        later = {name for met in schedule if met.trouble.what == "grow" for name in met.targets}
        rows = [self.row(name, EndpointState.READY, None) for name in self.places if name not in later]
        self.roster = EndpointList(rows, day.roster.calls_per_s, day.roster.timeout_ms)
        self.roster.outages = [(m.at, m.until) for m in schedule if m.trouble.what == "roster_outage"]
        self.writer = stand.streams.of("roster")
        self.waiting: dict[Task, None] = {}
        self.doors: dict[str, Door] = {}
        for name, zone in placed_nodes(day):
            self.doors[name] = Door(stand, name, self.handler(name, zone), 0 if self.doors else port)
        for news in faults.listings(day, schedule):
            stand.at(
                news.at, lambda news=news: self.change(self.row(news.server, news.state, news.started_ms))
            )
        for begin, _ in self.roster.outages:
            stand.at(begin, self.wake)

    def row(self, name: str, state: EndpointState, born: float | None) -> EndpointEntry:
        """Return an executor as it is listed."""
        return EndpointEntry(name, state, *self.numbers[name], born)

    def change(self, row: EndpointEntry) -> None:
        """List a change and tell who waits."""
        self.roster.add_entry(row)
        self.wake()

    def wake(self) -> None:
        """Resume all that wait."""
        for task in list(self.waiting):
            task.wake()

    def handler(self, node: str, zone: str):  # noqa: ANN201
        """Return what answers a node's calls."""

        def answer(connection: Connection, request: h11.Request, body: bytes) -> Steps:
            target = urlsplit(request.target.decode("latin-1"))
            if target.path != LIST_PATH:
                yield from reply(connection, 404, b"")
                return
            asked = parse_qs(target.query)
            since = int(asked.get("since", ["0"])[0])
            served = self.roster.take_call(self.stand.now())
            called = records.EndpointListCalled(
                t=self.stand.now(), by="roster", node=node, served=served is not None
            )
            self.writer.add(called)
            if served is None:
                yield from reply(connection, 503, b"")
                return
            yield from sleep(self.stand.loop.now() + served - self.stand.now())
            if "since" in asked:
                yield from self.watch(connection, since, float(asked.get("timeout_ms", ["0"])[0]))
            if self.roster.down_until_ms(self.stand.now()) > self.stand.now():
                yield from reply(connection, 503, b"")
                return
            yield from reply(connection, 200, self.news(node, zone, since))

        return answer

    def watch(self, connection: Connection, since: int, wait_ms: float) -> Steps:
        """Wait for something newer than a version."""
        until = self.stand.loop.now() + min(wait_ms, 60000.0)
        task = self.stand.loop.current
        self.waiting[task] = None
        try:
            while self.roster.version() <= since and self.stand.loop.now() < until:
                if self.roster.down_until_ms(self.stand.now()) > self.stand.now():
                    return
                came = yield (connection.sock.fileno(), READ, until)
                if came == READY:
                    connection.fill()
                    if connection.eof:
                        return
        finally:
            del self.waiting[task]

    def news(self, node: str, zone: str, since: int) -> bytes:
        """Return an answer, and note what it tells."""
        whole, rows = self.roster.answer_since(since)
        for executor, state in self.roster.departure_notices(node, whole, rows):
            self.writer.add(
                records.ServerStateHeard(
                    t=self.stand.now(), by="roster", node=node, executor=executor, state=state.value
                )
            )
        hosts = [self.entry(row, zone) for row in rows]
        return json.dumps({"seq": self.roster.version(), "whole": whole, "hosts": hosts}).encode()

    def entry(self, row: EndpointEntry, zone: str) -> dict:
        """Return a row as the protocol writes it."""
        kind, site, cell = self.places[row.server]
        born = 0.0
        if row.process_started_ms is not None:
            born = time.time() * 1000.0 - (self.stand.now() - row.process_started_ms)
            born = (
                round(born / 50.0) * 50.0
            )  # the same at each call: an executor that restarts has another one
        return {
            "host": row.server,
            "dial": self.dials[zone][row.server],
            "site": site,
            "class": kind,
            "block": cell,
            "health": HEALTH[row.state],
            "share": 1.0,
            "born_ms": born,
        }


def serve(
    day: Day, seed: int, dials: Mapping[str, Mapping[str, str]], folder: Path | None, now: bool
) -> None:
    """Run a day's roster until the end."""
    stand = Stand("roster", folder)
    directory = Directory(stand, day, faults.schedule(day, seed), dials)
    stand.run({"rosters": {name: door.address for name, door in directory.doors.items()}}, now)
