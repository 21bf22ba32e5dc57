"""A change of the list is told 6 s after discovery had it and could be reached (docs/node.md).

Each way in which a call can fail is played on real sockets under a led clock, at its worst instant: chance
of the module is at its worst, the back-off at its longest, and the call that fails last begins right before
discovery is back, or fails right then. The clock moves when the test says so, in steps that make each wait of
the loop end late; how busy the machine is changes nothing.
"""

import heapq
import json
import select
import socket
import time
from collections.abc import Callable
from dataclasses import replace
from math import inf
from pathlib import Path
from zlib import crc32

import pytest
from conftest import OPTIONS, SETTINGS, reconfigured
from loopback_servers import RESPONSE_HEAD as HEAD
from loopback_servers import fill_accept_queue as full_queue
from loopback_servers import reset_connection as reset

from marlseam.decisions import dispatcher
from marlseam.decisions.types import ListUpdateKind
from marlseam.net import limits
from marlseam.net import node as node_module
from marlseam.net.discovery import OVERDUE

TOLD_MS = 6000.0  # what the page allows
LATE_MS = 50.0  # how late a loop may be at each wait: the clock moves in such steps
ONE_MS, TWO_MS = 1900.0, 800.0  # how long discovery takes for its answer, after one failed call and after two
CALL_MS = 2000.0  # the limit of a call
FAILURES = 7  # after which the back-off is at its longest
OLD, NEW = b'{"seq":5,"whole":true,"hosts":[]}', b'{"seq":6,"whole":true,"hosts":[]}'
NEAR, FAR = range(1, 201), [crc32(b"n%d" % i) for i in range(200)]  # seeds of 200 nodes
SETS = {
    "asked": {"registryMode": "subscribe"},
    "asked, often": {"registryMode": "subscribe", "guarantees": {"mustAskInUs": 1000000}},
    "pushed": {"registryMode": "automatic", "guarantees": {"stopSendingWithinUs": 20000000}},
    "pushed, soon": {"registryMode": "automatic", "guarantees": {"stopSendingWithinUs": 400000}},
}


def whole(body: bytes) -> bytes:
    return HEAD % len(body) + body


class Service:
    """Discovery, which the test ends and brings back at one address."""

    def __init__(self, listens: bool = True) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.address = self.sock.getsockname()
        self.held: list[socket.socket] = []
        self.lost: list[socket.socket] = []
        if listens:
            self.up()

    def up(self, backlog: int = 64) -> None:
        self.sock.listen(backlog)
        self.sock.setblocking(False)

    def down(self) -> None:
        """End with all connections; the address stays taken, and refuses."""
        self.drop(reset)
        self.sock.close()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(self.address)

    def drop(self, how: Callable[[socket.socket], None] = socket.socket.close) -> None:
        for sock in self.held:
            how(sock)
        self.held.clear()

    def asked(self) -> socket.socket | None:
        """Return the connection on which a call has come that was not seen yet."""
        while select.select([self.sock], [], [], 0)[0]:
            sock, _ = self.sock.accept()
            sock.setblocking(False)
            self.held.append(sock)
        for sock in select.select(self.held, [], [], 0)[0]:
            if b"\r\n\r\n" in sock.recv(4096):
                return sock
        return None

    def lose(self) -> None:
        """Forget all calls that have come: they stay silent, also those still in the queue."""
        self.asked()
        self.lost += self.held
        self.held = []

    def close(self) -> None:
        for sock in (self.sock, *self.held, *self.lost):
            sock.close()


class Led:
    """A node whose clock the test leads."""

    def __init__(self, node: node_module.Node, service: Service) -> None:
        self.node, self.service = node, service
        self.clock = node.loop.now()
        node.loop.now = lambda: self.clock
        self.calls = 0
        watch = node.discovery.watch

        def counted() -> None:
            self.calls += 1
            watch()

        node.discovery.watch = counted

    def turn(self) -> None:
        self.node.loop.at(self.clock, lambda: None)
        self.node.loop.turn()

    def settle(self, holds: Callable[[], object]) -> object:
        """Turn the loop with the clock standing until something holds that the sockets bring."""
        end = time.monotonic() + 20.0
        while not (found := holds()):
            assert time.monotonic() < end, "it did not come"
            self.turn()
        return found

    def lead(self, holds: Callable[[], object], most_ms: float = 60000.0) -> None:
        """Lead the clock until something holds."""
        end = self.clock + most_ms
        while not holds():
            assert self.clock < end, "it did not come"
            self.clock += LATE_MS
            self.turn()

    def next_call(self) -> None:
        """Lead the clock up to the next call."""
        calls = self.calls
        self.lead(lambda: self.calls > calls)

    def failed(self) -> bool:
        task = self.node.discovery.task
        return task is None or task.done

    def version(self) -> int:
        return self.node.discovery.version

    def close(self) -> None:
        self.node.is_reducing = True
        self.node.loop.finish()
        self.service.close()


@pytest.fixture
def led(node, monkeypatch):
    """Return a maker of nodes that know discovery's list, and discovery."""
    made = []
    monkeypatch.setattr(dispatcher, "RandomSource", lambda _seed: lambda: 1.0 - 2.0**-32)  # the longest rests

    def begin(listens: bool = True, **settings: object) -> Led:
        service = Service(listens)
        values = {"settings": OPTIONS | settings, "discovery": "{}:{}".format(*service.address)}
        config = reconfigured(node, Path(node.config.path), **values)
        made.append(Led(node_module.Node(config), service))
        return made[-1]

    yield begin
    for one in made:
        one.close()


# How a call can fail. Each takes a node whose call has just begun; where it hangs, time alone ends the call.


def answers(data: bytes, ends: Callable[[socket.socket], None] | None = None) -> Callable[[Led], None]:
    """Return a way in which discovery reads a call, says something, and maybe ends the connection."""

    def play(led: Led) -> None:
        sock = led.settle(led.service.asked)
        if data:
            sock.sendall(data)
        if ends is not None:
            led.service.held.remove(sock)
            ends(sock)

    return play


def nothing(led: Led) -> None:
    """Nobody does anything: the call is refused, or hangs in its connecting or in the listener's queue."""


ERROR = b"HTTP/1.1 %d -\r\nContent-Length: 0\r\n\r\n"
QUICK = {
    "refused": nothing,
    "reset": answers(b"", reset),
    "closed": answers(b"", socket.socket.close),
    "half a head, closed": answers(HEAD[:9], socket.socket.close),
    "half a list, reset": answers(whole(OLD)[:-9], reset),
    "half a list, closed": answers(whole(OLD)[:-9], socket.socket.close),
    "500": answers(ERROR % 500),
    "503": answers(ERROR % 503),
    "no http": answers(b"\x00\xff nonsense\r\n\r\n"),
    "no json": answers(whole(b'{"seq":')),
    "no list": answers(whole(b'{"seq":7,"hosts":8}')),
    "too deep": answers(whole(b"[" * 100000)),
}
HUNG = {
    "connecting": nothing,
    "in the queue": nothing,
    "silent": answers(b""),
    "half a head": answers(HEAD[:9]),
    "half a list": answers(whole(OLD)[:-9]),
}
WAYS = QUICK | HUNG


def go_down(led: Led, way: str) -> Callable[[], None]:
    """Have discovery go down in some way, and return what brings it back."""
    service = led.service
    if way == "refused":
        service.down()
        return service.up
    service.drop(reset)  # "When discovery goes down, watches end"
    if way == "connecting":
        service.sock.listen(0)
        empty = full_queue(service)

        def back() -> None:
            empty()
            service.sock.listen(64)
            service.asked()

        return back
    return service.lose


def outage(led: Led, way: str) -> Callable[[], None]:
    """Have a node follow discovery, and then fail until its back-off is longest; return what ends that."""
    led.settle(led.service.asked).sendall(whole(OLD))
    led.settle(lambda: led.version() == 5)
    led.lead(led.service.asked, 1000.0)  # the watch
    back = go_down(led, way)
    led.settle(led.failed)
    for _ in range(FAILURES):
        led.next_call()
        WAYS[way](led)
        fails(led, way)
    return back


def fails(led: Led, way: str) -> None:
    """Go on until a call under way has failed."""
    if way in HUNG:
        led.lead(led.failed, 2500.0)
    else:
        led.settle(led.failed)


def told(led: Led, answer_ms: float) -> None:
    """Have discovery answer all calls from now on, each after a time, until the change is told."""
    due: list[tuple[float, socket.socket]] = []

    def serve() -> None:
        while (sock := led.service.asked()) is not None:
            due.append((led.clock + answer_ms, sock))
        while due and due[0][0] <= led.clock:
            try:
                due.pop(0)[1].sendall(whole(NEW))
            except OSError:
                continue  # the node has given it up

    calls = led.calls
    while led.version() != 6:
        if led.calls > calls:
            calls = led.calls
            led.settle(lambda: serve() or due)
        serve()
        for _ in range(5):
            led.turn()
        if led.version() != 6:
            if due and due[0][0] <= led.clock + LATE_MS:
                led.clock = due[0][0]
                serve()
                led.settle(lambda: led.version() == 6)
            else:
                led.clock += LATE_MS
        assert led.clock < 1e6


@pytest.mark.parametrize("settings", SETS.values(), ids=SETS)
@pytest.mark.parametrize("second", [None, "500", "silent"], ids=["one", "two, 500", "two, silent"])
@pytest.mark.parametrize("way", WAYS)
def test_a_change_is_told_in_time_after_failed_calls(led, way, second, settings):
    one = led(**settings)
    back = outage(one, way)
    one.next_call()
    WAYS[way](one)
    if way not in HUNG:
        one.settle(one.failed)
    returned = one.clock
    back()
    fails(one, way)
    if second is not None:
        one.next_call()
        WAYS[second](one)
        fails(one, second)
    told(one, ONE_MS if second is None else TWO_MS)
    assert one.clock - returned < TOLD_MS


def follow(led: Led) -> socket.socket:
    """Have a node take in the list and watch; return the watch's connection."""
    led.settle(led.service.asked).sendall(whole(OLD))
    led.settle(lambda: led.version() == 5)
    led.lead(led.service.asked, 1000.0)
    return led.service.held[-1]


@pytest.mark.parametrize("settings", SETS.values(), ids=SETS)
@pytest.mark.parametrize("says", [HEAD[:9], whole(NEW)[:-9]], ids=["half a head", "half a list"])
def test_a_change_is_told_in_time_after_a_watch_that_stops_in_its_answer(led, says, settings):
    one = led(**settings, fleetSize=200)  # a watch may wait for long
    watch = follow(one)
    watch.sendall(says)
    began = one.clock
    told(one, ONE_MS)
    assert one.clock - began < TOLD_MS


@pytest.mark.parametrize("settings", SETS.values(), ids=SETS)
@pytest.mark.parametrize("ends", [socket.socket.close, reset], ids=["closed", "reset"])
@pytest.mark.parametrize("part", [0.0, 0.9])
def test_a_change_is_told_in_time_after_a_watch_that_was_held_through_an_outage(led, part, ends, settings):
    one = led(**settings, fleetSize=200)
    watch = follow(one)
    end = one.clock + part * one.node.discovery.wait_ms
    one.lead(lambda: one.clock >= end)  # discovery is gone without a word, and back
    one.service.held.remove(watch)
    ends(watch)  # as its machine hears of it again
    returned = one.clock
    one.settle(one.failed)
    told(one, ONE_MS)
    assert one.clock - returned < TOLD_MS


@pytest.mark.parametrize("settings", SETS.values(), ids=SETS)
def test_a_watch_that_stays_silent_for_good_costs_two_seconds_past_its_wait(led, settings):
    one = led(**settings, fleetSize=200)
    follow(one)
    over = one.clock + one.node.discovery.wait_ms
    one.service.lose()
    told(one, 500.0)
    assert one.clock - over < 2000.0


@pytest.mark.parametrize("settings", SETS.values(), ids=SETS)
@pytest.mark.parametrize("moves", ["address", "zones"])
@pytest.mark.parametrize("way", [*HUNG, "resting", "watch"])
def test_a_change_is_told_in_time_after_a_new_configuration(led, way, moves, settings):
    one = led(**settings)
    before = one.service
    if way == "watch":
        follow(one)
    else:
        outage(one, "refused" if way == "resting" else way)
        if way != "resting":
            one.next_call()
            WAYS[way](one)
    if moves == "address" or way in ("connecting", "in the queue"):
        one.service = Service()
    elif way == "resting":
        before.up()
    values = json.loads(Path(one.node.config.path).read_text())
    values["discovery"] = "{}:{}".format(*one.service.address)
    if moves == "zones":
        values["settings"]["dcs"] = ["here", "there", "yonder"]
    Path(one.node.config.path).write_text(json.dumps(values))
    if one.service is before:
        before.lose()
    changed = one.clock
    one.node.reload()
    told(one, ONE_MS)
    before.close()
    assert one.clock - changed < TOLD_MS


@pytest.mark.parametrize("settings", SETS.values(), ids=SETS)
def test_an_overdue_answer_is_taken_in_and_followed(led, settings):
    one = led(**settings)
    call = one.settle(one.service.asked)
    one.lead(one.failed, 2500.0)
    assert not one.node.discovery.is_confirmed
    call.sendall(whole(OLD))
    one.settle(lambda: one.version() == 5)
    assert not one.failed()  # it goes on to watch, and nobody calls beside it
    calls = one.calls
    one.lead(one.service.asked, 1000.0)
    end = one.clock + one.node.discovery.wait_ms
    one.lead(lambda: one.clock >= end)
    assert not one.service.asked()
    assert len(one.service.held) == 1
    assert one.calls <= calls + 1


@pytest.mark.parametrize("settings", SETS.values(), ids=SETS)
@pytest.mark.parametrize("first", ["the old", "the new"])
def test_an_overdue_answer_replaces_nothing_newer(led, first, settings):
    one = led(**settings)
    old = one.settle(one.service.asked)
    one.lead(one.failed, 2500.0)
    one.next_call()
    new = one.settle(one.service.asked)
    if first == "the old":
        old.sendall(whole(OLD))
        one.settle(lambda: one.version() == 5)
        assert not one.failed()
        new.sendall(whole(NEW))
        one.settle(lambda: one.version() == 6)
    else:
        new.sendall(whole(NEW))
        one.settle(lambda: one.version() == 6)
        old.sendall(whole(OLD))
    one.settle(lambda: not one.node.discovery.overdue)
    assert one.version() == 6
    assert not one.failed()


@pytest.mark.parametrize("settings", SETS.values(), ids=SETS)
def test_a_list_that_comes_slowly_is_heard_to_its_end(led, settings):
    one = led(**settings)
    call = one.settle(one.service.asked)
    call.sendall(whole(OLD)[:-9])
    end = one.clock + ONE_MS  # longer than the limit of a call where that is short
    one.lead(lambda: one.clock >= end)
    call.sendall(whole(OLD)[-9:])
    one.settle(lambda: one.version() == 5)


def test_no_more_calls_are_listened_to_than_their_time_allows(led):
    for settings in SETS.values():
        one = led(**settings)
        end = one.clock + 30000.0
        while one.clock < end:
            one.clock += LATE_MS
            one.turn()
            one.service.asked()
            open_calls = len(one.node.discovery.overdue) + 1
            assert open_calls <= 10 < limits.OWN_SOCKETS / 2


@pytest.mark.parametrize("settings", SETS.values(), ids=SETS)
def test_a_list_on_a_connection_that_ends_with_it_is_taken_in_and_makes_no_storm(led, settings):
    last = whole(NEW).replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    one = led(**settings)
    rest_ms = one.node.reducer.dispatcher.settings.max_poll_interval_ms
    served = 0
    end = one.clock + 20.0 * rest_ms
    while one.clock < end:
        one.clock += rest_ms / 40.0
        calls = one.calls
        for _ in range(3):
            one.turn()
        if one.calls > calls or not one.failed():
            sock = one.settle(one.service.asked)
            sock.sendall(last)
            one.settle(one.failed)
            served += 1
    assert one.version() == 6
    assert 18 <= served <= 28


@pytest.mark.parametrize("seeds", [NEAR, FAR], ids=["near", "far"])
@pytest.mark.parametrize(("takes_ms", "most"), [(1.0, 120.0), (CALL_MS, 95.0)], ids=["refused", "hung"])
def test_a_fleet_makes_no_storm_of_calls_in_an_outage(takes_ms, most, seeds):
    fleet = Fleet(seeds, takes_ms)
    fleet.run(61000.0)
    assert 50.0 * most > sum(at >= 11000.0 for at in fleet.calls) > 0.5 * 50.0 * most


@pytest.mark.parametrize("seeds", [NEAR, FAR], ids=["near", "far"])
@pytest.mark.parametrize("takes_ms", [1.0, CALL_MS], ids=["refused", "hung"])
@pytest.mark.parametrize(("per_s", "within_ms"), [(40.0, 7500.0), (100.0, TOLD_MS), (1e9, TOLD_MS)])
def test_a_fleet_is_told_by_a_discovery_that_works_through_calls_in_turn(per_s, within_ms, takes_ms, seeds):
    for back in range(9000, 11500, 250):
        fleet = Fleet(seeds, takes_ms, float(back), per_s)
        fleet.run(back + 30000.0)
        assert len(fleet.told) == len(fleet.nodes)
        assert max(fleet.told.values()) - back < within_ms


class Fleet:
    """Modules of many nodes in virtual time, whose watches all end at 1 s, as discovery goes down.

    Back, it serves so many calls a second in turn, given-up ones too; nodes listen to these as long as
    `Discovery.fetch` does.
    """

    def __init__(self, seeds, takes_ms: float, back: float = inf, per_s: float = 1.0) -> None:
        self.clock, self.takes_ms, self.count = 0.0, takes_ms, 0
        self.back, self.cost_ms, self.busy = back, 1000.0 / per_s, back
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.calls: list[float] = []
        self.told: dict[int, float] = {}
        settings = replace(SETTINGS, node_count=len(seeds))
        self.nodes = [dispatcher.Dispatcher(settings, seed, Seat(self, i)) for i, seed in enumerate(seeds)]

    def at(self, at: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.due, (at, self.count, call))

    def call(self, i: int) -> None:
        if i in self.told:
            return  # it follows already
        self.calls.append(self.clock)
        if self.clock < self.back:
            fails = self.clock + self.takes_ms if self.clock else 1000.0  # the watch's end
            self.at(fails, lambda: self.fail(i))
            return
        self.busy = max(self.busy, self.clock) + self.cost_ms
        if self.busy - self.clock < OVERDUE * CALL_MS:
            self.at(self.busy, lambda: self.told.setdefault(i, self.clock))
        if self.busy - self.clock > CALL_MS:
            self.at(self.clock + CALL_MS, lambda: self.fail(i))

    def fail(self, i: int) -> None:
        self.nodes[i].update_endpoints(ListUpdateKind.FAILED, [])

    def run(self, until: float) -> None:
        while self.due and self.due[0][0] <= until:
            self.clock, _, call = heapq.heappop(self.due)
            call()


class Seat:
    """One module's port to the fleet."""

    def __init__(self, fleet: Fleet, i: int) -> None:
        self.fleet, self.i = fleet, i

    def now(self) -> float:
        return self.fleet.clock

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        self.fleet.at(self.fleet.clock + delay_ms, call)

    def watch_endpoints(self) -> None:
        self.fleet.call(self.i)
