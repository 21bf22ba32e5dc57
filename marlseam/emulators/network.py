"""The network on loopback: a door for each zone and executor that passes bytes on, delayed, cut or silent.

A cut line says nothing: what was sent waits, as TCP has it, and is lost when the connection is reset at the
mend.
"""

import contextlib
import socket
from collections.abc import Mapping
from math import inf
from pathlib import Path

from marlseam import records
from marlseam.emulators.base import Stand
from marlseam.net.loop import READ, WRITE, Cancelled, Coroutine, Loop, Task, sleep
from marlseam.simulation import faults
from marlseam.simulation.chance import stream
from marlseam.simulation.model import Day, placed_servers
from marlseam.simulation.network import Links

CHUNK = 65536


class Pipe:
    """One connection through the network: two sockets, and a coroutine for each way."""

    def __init__(self, door: "Passage", near: socket.socket, far: socket.socket) -> None:
        self.door, self.near, self.far = door, near, far
        self.tasks: list[Task] = []

    def open(self, loop: Loop) -> None:
        """Start to pass bytes both ways.

        Each way waits on a copy of its sockets, as the loop knows one task a socket.
        """
        ways = ((self.near, self.far), (self.far, self.near))
        self.copies = [sock.dup() for pair in ways for sock in pair]
        for i in (0, 2):
            self.tasks.append(loop.spawn(self.carry(loop, self.copies[i], self.copies[i + 1])))

    def carry(self, loop: Loop, source: socket.socket, target: socket.socket) -> Coroutine:
        """Pass bytes one way until the source ends."""
        lost = False
        try:
            while True:
                yield (source.fileno(), READ, inf)
                try:
                    data = source.recv(CHUNK)
                except BlockingIOError:
                    continue
                yield from self.door.held()
                if self.door.loses():
                    lost = True  # as is all that follows: what comes after a hole is nobody's message
                if lost and data:
                    continue
                delay = self.door.delay()
                if delay > 0.0:
                    yield from sleep(loop.now() + delay)
                if not data:
                    target.shutdown(socket.SHUT_WR)
                    return
                view = memoryview(data)
                while view:
                    try:
                        view = view[target.send(view) :]
                    except BlockingIOError:
                        yield (target.fileno(), WRITE, inf)
        except OSError:
            self.close(reset=True)
        except Cancelled:
            raise
        finally:
            if all(task.done or task is loop.current for task in self.tasks):
                self.close()

    def close(self, reset: bool = False) -> None:
        """Close both sides, by a reset if wished."""
        self.door.pipes.pop(self, None)
        for sock in (self.near, self.far, *self.copies):
            if reset:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.door.stand.loop.close(sock)
        for task in self.tasks:
            task.cancel()


class Passage:
    """The way from one zone to one executor."""

    def __init__(
        self, stand: Stand, lines: Links, zone: str, executor: str, place: str, to: tuple[str, int]
    ) -> None:
        self.stand, self.lines, self.zone, self.executor, self.place, self.to = (
            stand,
            lines,
            zone,
            executor,
            place,
            to,
        )
        self.pipes: dict[Pipe, None] = {}
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.sock.setblocking(False)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        stand.loop.spawn(self.accept())

    def passes(self) -> bool:
        """Return whether bytes pass."""
        return self.lines.is_reachable(self.zone, self.executor, self.place)

    def delay(self) -> float:
        """Return how long bytes take, in ms; within a zone the loopback's own time stands for it."""
        return self.lines.delay(self.zone, self.place) if self.zone != self.place else 0.0

    def loses(self) -> bool:
        """Return whether what comes now is lost."""
        return self.lines.is_lost(self.zone, self.place)

    def held(self) -> Coroutine:
        """Wait until bytes pass."""
        while not self.passes():
            yield from sleep(self.stand.loop.now() + 20.0)

    def accept(self) -> Coroutine:
        """Accept connections and lead each on."""
        while True:
            yield (self.sock.fileno(), READ, inf)
            try:
                near, _ = self.sock.accept()
            except OSError:
                continue
            self.stand.loop.spawn(self.lead(near))

    def lead(self, near: socket.socket) -> Coroutine:
        """Open the other side of a connection; one that is refused there is reset here."""
        far = socket.socket()
        try:
            for sock in (near, far):
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            yield from self.held()
            far.connect_ex(self.to)
            yield (far.fileno(), WRITE, inf)
            if far.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                raise OSError
        except (OSError, Cancelled):
            for sock in (near, far):
                self.stand.loop.close(sock)
            return
        pipe = Pipe(self, near, far)
        self.pipes[pipe] = None
        pipe.open(self.stand.loop)

    def mend(self) -> None:
        """Reset what was open over a cut."""
        for pipe in list(self.pipes):
            pipe.close(reset=True)


def serve(day: Day, seed: int, addresses: Mapping[str, str], folder: Path | None, now: bool) -> None:
    """Run a day's network until the end."""
    stand = Stand("network", folder)
    writer = stand.streams.of("network")
    lines = Links(day.network, stream(seed, "network"))
    passages: dict[tuple[str, str], Passage] = {}
    for zone in day.fleet.zones:
        for name, _, _, place, _ in placed_servers(day):
            host, _, port = addresses[name].rpartition(":")
            passages[zone, name] = Passage(stand, lines, zone, name, place, (host, int(port)))

    def cut(met: faults.ScheduledFault, on: bool) -> None:
        lines.set_blocked(lines.cut_zones, met.targets[0], on)
        writer.add(records.LinkChanged(t=stand.now(), by="network", a=met.targets[0], b="*", mended=not on))
        if not on:
            for passage in passages.values():
                if (passage.zone == met.targets[0]) != (passage.place == met.targets[0]):
                    passage.mend()

    def slow(met: faults.ScheduledFault, on: bool) -> None:
        lines.set_zone_slow(met.targets[0], met.trouble.size, met.trouble.part, on)

    for met in faults.schedule(day, seed):
        if met.trouble.what == "slow_link":
            stand.at(met.at, lambda met=met: slow(met, True))
            stand.at(met.until, lambda met=met: slow(met, False))
        if met.trouble.what == "zone_cut":
            stand.at(met.at, lambda met=met: cut(met, True))
            stand.at(met.until, lambda met=met: cut(met, False))
    dials: dict[str, dict[str, str]] = {}
    for (zone, name), passage in passages.items():
        dials.setdefault(zone, {})[name] = passage.address
    stand.run({"dials": dials}, now)
