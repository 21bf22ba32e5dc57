"""The virtual driver.

The real reducers of any number of nodes against the pure world, in one process and no time.

Simulated are executors, roster, network and clients, and what a node's sockets do: connections kept and
opened, patience with silence as in `marlseam.net.upstream`. A node's own CPU time is not. The same day and
seed give the same records byte for byte.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from marlseam import core, records
from marlseam.configuration import Deployment, deployment_from
from marlseam.core import EndpointEntry, Reducer
from marlseam.decisions.types import EndpointState, ListUpdateKind, Outcome, Request
from marlseam.net.graceful_shutdown import ANSWER_MS, MAX_DRAIN_MS
from marlseam.net.upstream import (
    ACCEPT_TIMEOUT_IN_OBJECTIVES,
    PROBE_TIMEOUT_IN_OBJECTIVES,
    PROGRESS_GAP_IN_PERIODS,
)
from marlseam.records import RecordStreams
from marlseam.simulation import faults, fleet, plan
from marlseam.simulation.chance import stream
from marlseam.simulation.clients import Client, FrontLoadBalancer, try_record
from marlseam.simulation.discovery import EndpointList
from marlseam.simulation.faults import ListChange, ScheduledFault
from marlseam.simulation.job import JobEvent
from marlseam.simulation.model import Day, node_settings, placed_nodes, placed_servers
from marlseam.simulation.network import Links
from marlseam.simulation.server import Server

SLACK_TICKS = 5.0  # that answers and sends may come late by, for the way between client and node
WATCH_GAP_MS = 100.0  # least time between two words of a watch
RESTART_MS = 300.0  # how long a killed node is away
ROLL_OPEN_MS = 350.0  # how long a front deals to a node that was told to end
CLIENT_ENDS = {core.Respond: "completed", core.Reject: "deferred", core.Fail: "aborted"}
ENDS = {"done": Outcome.COMPLETED, "failed": Outcome.ERROR, "lost": Outcome.BROKEN}


@dataclass(frozen=True)
class StaleListStart:
    """Nodes start from an old list: so many entries of it are gone, and so much is the doubt in each."""

    gone: int
    doubt: float


@dataclass
class AttemptInFlight:
    """One allocation between its node and its executor. Times in ms."""

    node: "SimulatedNode"
    life: int  # the node's, as one that restarts owes nothing to what was before
    ref: str
    alloc: int
    host: "SimulatedServer"
    limit: float
    silent_at: float  # when the node gives up for silence
    kept: bool
    written: bool = False
    open: bool = True

    @property
    def key(self) -> str:
        """The job's id at its executor; a node that restarts sends no try again."""
        return f"{self.ref}/{self.alloc}"


@dataclass
class SimulatedServer:
    """An executor's place in the fleet."""

    executor: Server
    kind: int
    zone: str
    cell: int
    connections: int = 0
    next: float = inf
    flights: dict[str, AttemptInFlight] = field(default_factory=dict)


@dataclass
class SimulatedNode:
    """A node's place: its reducer in one life after the other."""

    name: str
    zone: str
    deployment: Deployment
    core: Reducer
    life: int = 0
    up: bool = True
    version: int = 0
    watching: bool = False
    told_at: float = -inf
    word_due: bool = False
    starts_ms: float = 0.0  # when it may start again at the earliest
    idle: dict[str, int] = field(default_factory=dict)
    tries: dict[str, "ClientTry"] = field(default_factory=dict)


@dataclass
class ClientTry:
    """A client's try that is out."""

    client: Client
    id: str
    seat: SimulatedNode
    life: int
    open: bool = True


class VirtualDriver:
    """Plays one day; `make_core` gives a node's reducer, so that experiments can play other policies."""

    def __init__(
        self,
        day: Day,
        seed: int,
        streams: RecordStreams,
        make_core: Callable[[], Reducer] = Reducer,
        old: StaleListStart | None = None,
    ) -> None:
        self.day, self.seed, self.make_core = day, seed, make_core
        self.heap: list[tuple[float, int, Callable, tuple]] = []
        self.count, self.now, self.events = 0, 0.0, 0
        self.schedule = faults.schedule(day, seed)
        self.lines = Links(day.network, stream(seed, "network"))
        self.retries = stream(seed, "clients")
        streams.rules = fleet.rules(day, SLACK_TICKS * day.rules.tick_ms)
        self.streams = streams
        self.driver, self.clients = self.writer("driver", "driver"), self.writer("clients", "clients")
        self.network, self.listing = self.writer("network", "network"), self.writer("roster", "roster")
        urgent = min(type.promised_ms for type in day.types)
        self.take_ms, self.probe_ms = (
            ACCEPT_TIMEOUT_IN_OBJECTIVES * urgent,
            PROBE_TIMEOUT_IN_OBJECTIVES * urgent,
        )
        self.gap_ms = PROGRESS_GAP_IN_PERIODS * 1000.0 * day.fleet.progress_s or inf
        self.hosts: dict[str, SimulatedServer] = {}
        rows = []
        made = fleet.build(day, seed, self.schedule)
        for name, _, kind, zone, cell in placed_servers(day):
            self.hosts[name] = host = SimulatedServer(made[name], kind, zone, cell)
            self.writer(name, "executors")
            if host.executor.is_up:
                rows.append(self.row(name, EndpointState.READY, None))
        self.doubt, self.ghosts = (old.doubt, []) if old is not None else (0.0, [])
        for i in range(old.gone if old is not None else 0):
            name, (_, kind, number, zone, _) = f"gone-{i}", placed_servers(day)[i % len(made)]
            ghost = fleet.make_server(day, seed, name, kind, {})
            ghost.is_up = False
            self.hosts[name] = SimulatedServer(ghost, number, zone, 9000 + i)
            self.ghosts.append(self.row(name, EndpointState.READY, None))
        self.roster = EndpointList(rows, day.roster.calls_per_s, day.roster.timeout_ms)
        self.seats = {name: self.seat(name, zone) for name, zone in placed_nodes(day)}
        by_zone: dict[str, list[str]] = {}
        for name, zone in placed_nodes(day):
            by_zone.setdefault(zone, []).append(name)
        self.front = FrontLoadBalancer(by_zone, 1000.0 * day.clients.notice_s)
        self.arrivals: dict[str, plan.Arrival] = {}  # by try, also of those that are over

    def writer(self, by: str, system: str) -> records.StreamWriter:
        """Return the stream of a part of the world."""
        if by not in self.streams.writers:
            self.streams.system = system
        return self.streams.of(by)

    def at(self, t: float, call: Callable, *args: object) -> None:
        """Call at a time, in the order of asking among equal times."""
        self.count += 1
        heapq.heappush(self.heap, (max(t, self.now), self.count, call, args))

    def run(self, arrivals: list[plan.Arrival] | None = None) -> float:
        """Play the day to the last client's end, and return the time at which that was, in ms."""
        if arrivals is None:
            arrivals = plan.make(self.day, self.seed, faults.surges(self.schedule))
        for seat in self.seats.values():
            self.begin_node(seat)
        for met in self.schedule:
            self.at(met.at, self.trouble, met, True)
            self.at(met.until, self.trouble, met, False)
        for news in faults.listings(self.day, self.schedule):
            self.at(news.at, self.listed, news)
        for arrival in arrivals:
            self.at(arrival.at, self.first_try, arrival)
        longest = max(type.limit_ms for type in self.day.types)
        end = 1000.0 * self.day.seconds + longest + 1000.0
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self.heap)
            self.events += 1
            call(*args)
        self.streams.end(self.now)
        return self.now

    # Nodes.

    def seat(self, name: str, zone: str) -> SimulatedNode:
        """Make a node's place."""
        return SimulatedNode(name, zone, deployment_from(node_settings(self.day, zone)), self.make_core())

    def begin_node(self, seat: SimulatedNode) -> None:
        """Start a node from nothing, with the list as it was."""
        seat.life += 1
        seat.core, seat.up, seat.watching = self.make_core(), True, False
        seat.idle, seat.tries, seat.version = {}, {}, 0
        self.driver.add(
            records.NodeStateChanged(t=self.now, by="driver", node=seat.name, state="began", zone=seat.zone)
        )
        number = int(stream(self.seed, "node", seat.name, seat.life).integers(1 << 62))
        self.post(seat, core.NodeStarted(seat.deployment.settings, number))
        listed = [*self.roster.answer_since(0)[1], *self.ghosts]
        self.post(seat, core.EndpointListUpdate(ListUpdateKind.CACHED, listed, self.doubt))
        self.front.mark_up(seat.name) if seat.life > 1 else None

    def post(self, seat: SimulatedNode, event: core.Event) -> None:
        """Hand an event to a node's reducer and carry out what it asks for."""
        for effect in seat.core.reduce(self.now, event):
            step = EFFECTS.get(type(effect))
            if step is not None:
                step(self, seat, effect)

    def post_in(self, seat: SimulatedNode, life: int, event: core.Event) -> None:
        """Hand an event to a node if it still lives the same life."""
        if seat.up and seat.life == life:
            self.post(seat, event)

    def timer(self, seat: SimulatedNode, effect: core.SetTimer) -> None:
        """Bring back a mark later."""
        self.at(self.now + effect.delay_ms, self.post_in, seat, seat.life, core.TimerFired(effect.timer_id))

    def end_node(self, seat: SimulatedNode, state: str) -> None:
        """End a node's life: what it held is lost to its clients and to executors."""
        self.driver.add(
            records.NodeStateChanged(t=self.now, by="driver", node=seat.name, state=state, zone=seat.zone)
        )
        self.front.mark_down(seat.name, self.now)
        seat.up = False
        for host in self.hosts.values():
            host.connections -= seat.idle.get(host.executor.name, 0)
            for flight in [f for f in host.flights.values() if f.node is seat]:
                self.give_up(flight)
        for out in list(seat.tries.values()):
            self.at(self.now + self.lines.client_delay(), self.answered, out, "lost", 0.0)
        self.at(max(self.now + RESTART_MS, seat.starts_ms), self.begin_node, seat)

    # Clients.

    def first_try(self, arrival: plan.Arrival) -> None:
        """A client comes with a work unit, or with a trace's next try."""
        client = Client(arrival, self.day.types[arrival.type], self.day.clients, replayed=bool(arrival.first))
        self.try_now(client)

    def try_now(self, client: Client) -> None:
        """A client sends a try to the node that its front deals it to."""
        arrival, id = client.arrival, client.begin()
        name, there = self.front.pick_node(arrival.zone, self.now)
        seat = self.seats[name]
        out = ClientTry(client, id, seat, seat.life)
        self.arrivals[id] = arrival
        self.clients.add(try_record(client, id, "clients", name, self.now))
        delay = self.lines.client_delay()
        if there and seat.up:
            seat.tries[id] = out
            self.at(self.now + delay, self.arrive, out)
        else:
            self.at(self.now + delay, self.answered, out, "unsent", 0.0)
        # A client waits a little past its limit, as the answer has a way to come.
        slack = SLACK_TICKS * self.day.rules.tick_ms
        until = client.leaves_at(self.now)
        self.at(until + (slack if until >= client.expires else 0.0), self.quit, out)

    def arrive(self, out: ClientTry) -> None:
        """A try comes to its node."""
        seat, arrival = out.seat, out.client.arrival
        if not (out.open and seat.up and seat.life == out.life):
            return
        expires = out.client.expires + self.lines.figures.client_ms
        work = Request(out.id, arrival.type, expires, arrival.slots, resource_key=arrival.key)
        self.post(seat, core.RequestArrived(work))

    def reply(self, seat: SimulatedNode, effect: core.Respond | core.Reject | core.Fail) -> None:
        """A node answers."""
        out = seat.tries.get(effect.request_id)
        if out is not None:
            advice = effect.retry_after_ms if type(effect) is core.Reject else 0.0
            how = CLIENT_ENDS[type(effect)]
            self.at(self.now + self.lines.client_delay(), self.answered, out, how, advice)

    def answered(self, out: ClientTry, how: str, advice_ms: float) -> None:
        """An answer, or the end of its connection, comes to a client."""
        if not out.open and how == "lost":
            return
        was_open, out.open = out.open, False
        out.seat.tries.pop(out.id, None)
        self.clients.add(
            records.TryAnswered(t=self.now, by="clients", id=out.id, how=how, advice_ms=advice_ms)
        )
        wait = out.client.wait(self.now, how, advice_ms, self.retries) if was_open else None
        if wait is not None:
            self.at(self.now + wait, self.try_now, out.client)

    def quit(self, out: ClientTry) -> None:
        """A client goes without an answer."""
        if not out.open:
            return
        out.open = False
        early = self.now < out.client.expires
        self.clients.add(records.ClientLeft(t=self.now, by="clients", id=out.id, early=early))
        self.at(self.now + self.lines.client_delay(), self.left, out)

    def left(self, out: ClientTry) -> None:
        """A node sees that a client has gone."""
        out.seat.tries.pop(out.id, None)
        self.post_in(out.seat, out.life, core.ClientLeft(out.id))

    # Allocations.

    def send(self, seat: SimulatedNode, effect: core.SendAttempt) -> None:
        """A node sends an allocation, over a kept connection if it has one."""
        host, now = self.hosts[effect.server], self.now
        limit, there = now + effect.time_left_ms, self.reaches(seat, host)
        kept = seat.idle.get(effect.server, 0) > 0
        exclusive = self.exclusive(effect.request_id)
        silent_at = inf if exclusive else now + self.take_ms
        flight = AttemptInFlight(
            seat, seat.life, effect.request_id, effect.attempt_index, host, limit, silent_at, kept
        )
        host.flights[flight.key] = flight
        way = self.lines.delay(seat.zone, host.zone)
        if kept:
            seat.idle[effect.server] -= 1
            flight.written = True
            self.at(now + way, self.deliver, flight)
        elif not there:
            self.at(min(limit, now + seat.deployment.connect_ms), self.settle, flight, Outcome.UNREACHABLE)
            return
        elif not host.executor.is_up or host.connections >= self.day.fleet.connections:
            self.at(now + 2.0 * way, self.settle, flight, Outcome.UNREACHABLE)
            return
        else:
            host.connections += 1
            self.at(now + 2.0 * way, self.write, flight)
            self.at(now + 3.0 * way + self.day.fleet.connect_ms, self.deliver, flight)
        self.at(min(limit, silent_at), self.patience, flight)

    def reaches(self, seat: SimulatedNode, host: SimulatedServer) -> bool:
        """Return whether a node and an executor hear each other."""
        return self.lines.is_reachable(seat.zone, host.executor.name, host.zone)

    def hears(self, seat: SimulatedNode, host: SimulatedServer) -> bool:
        """Return whether one message comes through between a node and an executor."""
        return self.reaches(seat, host) and not self.lines.is_lost(seat.zone, host.zone)

    def write(self, flight: AttemptInFlight) -> None:
        """A new connection is up and the job written to it."""
        flight.written = flight.open

    def deliver(self, flight: AttemptInFlight) -> None:
        """An allocation's last byte comes to its executor."""
        host, seat = flight.host, flight.node
        if not flight.written or not flight.open or not self.hears(seat, host):
            return  # given up on its way, or lost there
        if not host.executor.is_up:
            outcome = Outcome.STALE_CONNECTION if flight.kept else Outcome.BROKEN
            self.at(self.now + self.lines.delay(seat.zone, host.zone), self.settle, flight, outcome)
            return
        self.look(host)
        executor, name = host.executor, host.executor.name
        arrival = self.arrivals[flight.ref]
        job = fleet.job(arrival, self.day.types[arrival.type], flight.ref, flight.alloc)
        taken = executor.offer(self.now, job)
        load = executor.slow_start_load(0.0) if executor.is_in_slow_start(self.now) else 0.0
        writer = self.streams.writers[name]
        writer.add(
            records.AttemptReceived(
                t=self.now, by=name, id=flight.ref, node=seat.name, born=executor.started_ms, load=load
            )
        )
        if not taken:
            writer.add(records.AttemptRefused(t=self.now, by=name, id=flight.ref))
            self.at(
                self.now + self.lines.delay(seat.zone, host.zone), self.settle, flight, Outcome.AT_CAPACITY
            )
        else:
            # The head of the answer says that it has the job; silence counts again from its start.
            flight.silent_at = inf
        self.look(host)
        if executor.overload_share is not None and executor.is_up:
            writer.add(records.ServerOverloaded(t=self.now, by=name, load=executor.overload_share))
            self.crash(host)

    def patience(self, flight: AttemptInFlight) -> None:
        """A node's wait for an allocation's next word may be over."""
        until = min(flight.limit, flight.silent_at)
        if flight.open and self.now >= until:
            self.settle(flight, Outcome.TIMED_OUT)
        elif flight.open:
            self.at(until, self.patience, flight)

    def settle(self, flight: AttemptInFlight, outcome: Outcome) -> None:
        """An allocation ends for its node."""
        if not flight.open:
            return
        seat = flight.node
        if outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            self.give_up(flight)
        else:
            flight.open = False
            flight.host.flights.pop(flight.key, None)
            if (
                outcome in (Outcome.COMPLETED, Outcome.ERROR, Outcome.AT_CAPACITY)
                and seat.life == flight.life
            ):
                name = flight.host.executor.name
                seat.idle[name] = seat.idle.get(name, 0) + 1
            elif outcome is not Outcome.UNREACHABLE:
                flight.host.connections -= 1
        done, report = outcome is Outcome.COMPLETED, None
        if self.day.reports.answers and outcome in (Outcome.COMPLETED, Outcome.ERROR, Outcome.AT_CAPACITY):
            report = flight.host.executor.report(self.now)
        self.post_in(seat, flight.life, core.AttemptEnded(flight.ref, flight.alloc, outcome, done, report))

    def give_up(self, flight: AttemptInFlight) -> None:
        """A node closes an allocation's connection; its executor hears of it if it can."""
        flight.open = False
        host, name = flight.host, flight.host.executor.name
        host.flights.pop(flight.key, None)
        if flight.written:
            host.connections -= 1
            gone = records.AttemptCancelled(t=self.now, by="network", id=flight.ref, executor=name)
            self.network.add(gone)
            if self.reaches(flight.node, host):
                way = self.lines.delay(flight.node.zone, host.zone)
                self.at(self.now + way, self.withdrawn, host, flight.key)

    def withdrawn(self, host: SimulatedServer, key: str) -> None:
        """An executor sees that an allocation was given up."""
        self.look(host)
        host.executor.cancel(key)
        self.look(host)

    def cancel(self, seat: SimulatedNode, effect: core.CancelAttempt) -> None:
        """A node gives up an allocation; it hears of that as of any other end."""
        for host in self.hosts.values():
            flight = host.flights.get(f"{effect.request_id}/{effect.attempt_index}")
            if flight is not None and flight.node is seat and (effect.even_if_sent or not flight.written):
                outcome = Outcome.CANCELLED if flight.written else Outcome.CANCELLED_UNSENT
                self.at(self.now, self.settle, flight, outcome)
                return

    # Executors.

    def look(self, host: SimulatedServer) -> None:
        """Bring an executor to now, pass on what happened, and note when it is next to be looked at."""
        for happening in host.executor.advance(self.now):
            self.happened(host, happening)
        due = host.executor.next_event_ms()
        if due < host.next:
            host.next = due
            self.at(due, self.due, host, due)

    def due(self, host: SimulatedServer, t: float) -> None:
        """Something happens at an executor by itself."""
        if host.next == t:
            host.next = inf
            self.look(host)

    def happened(self, host: SimulatedServer, h: JobEvent) -> None:
        """Write down what happened to a job, and tell its node."""
        ref, _, alloc = h.id.rpartition("/")
        name = host.executor.name
        writer = self.streams.writers[name]
        if h.what == "started":
            writer.add(records.AttemptStarted(t=h.t, by=name, id=ref, effect=h.value > 0.0))
        elif h.what != "progress":
            writer.add(records.AttemptEnded(t=h.t, by=name, id=ref, how=h.what, work=h.value))
        flight = host.flights.get(h.id)
        if flight is None or not self.hears(flight.node, host):
            return
        way = self.now + self.lines.delay(flight.node.zone, host.zone)
        if h.what in ENDS:
            flight.silent_at = inf
            self.at(way, self.settle, flight, ENDS[h.what])
            return
        number = int(alloc)
        event = (
            core.AttemptStarted(ref, number)
            if h.what == "started"
            else core.AttemptProgressed(ref, number, h.value)
        )
        self.at(way, self.word, flight, event)

    def word(self, flight: AttemptInFlight, event: core.Event) -> None:
        """A sign of life comes to a node."""
        if flight.open:
            if not self.exclusive(flight.ref):
                flight.silent_at = self.now + self.gap_ms
                self.at(min(flight.limit, flight.silent_at), self.patience, flight)
            self.post_in(flight.node, flight.life, event)

    def exclusive(self, ref: str) -> bool:
        """Return whether a try is of exclusive work, for which nodes wait to the end."""
        return self.day.types[self.arrivals[ref].type].effect == "exclusive"

    def crash(self, host: SimulatedServer) -> None:
        """An executor's process ends: connections break, which nodes see that reach it."""
        self.look(host)
        host.executor.crash()
        for happening in host.executor.advance(self.now):
            self.happened(host, happening)
        for seat in self.seats.values():
            host.connections -= seat.idle.pop(host.executor.name, 0)
        for flight in list(host.flights.values()):
            if self.reaches(flight.node, host):
                self.at(
                    self.now + self.lines.delay(flight.node.zone, host.zone),
                    self.settle,
                    flight,
                    Outcome.BROKEN,
                )

    def rise(self, host: SimulatedServer) -> None:
        """An executor's process starts, cold."""
        host.executor.start_process(self.now, self.now)
        self.streams.writers[host.executor.name].add(records.ServerStarted(t=self.now, by=host.executor.name))

    # Probes.

    def probe(self, seat: SimulatedNode, effect: core.Probe) -> None:
        """A node asks an executor for its report."""
        host, sent, life = self.hosts[effect.server], self.now, seat.life
        way, back = self.lines.delay(seat.zone, host.zone), self.lines.delay(seat.zone, host.zone)

        def asked() -> None:
            if not self.hears(seat, host) or self.now + back > sent + self.probe_ms:
                self.at(sent + self.probe_ms, told, Outcome.TIMED_OUT, None)
            elif not host.executor.is_up:
                self.at(self.now + back, told, Outcome.UNREACHABLE, None)
            else:
                self.look(host)
                name = host.executor.name
                self.streams.writers[name].add(records.ProbeAnswered(t=self.now, by=name))
                report = host.executor.report(self.now)
                self.at(self.now + back + self.day.reports.probe_ms, told, Outcome.COMPLETED, report)

        def told(outcome: Outcome, report: object) -> None:
            self.post_in(seat, life, core.ProbeEnded(effect.server, outcome, self.now - sent, report))

        self.at(sent + way, asked)

    # The roster.

    def row(self, name: str, state: EndpointState, born: float | None) -> EndpointEntry:
        """Return an executor as it is listed."""
        host = self.hosts[name]
        return EndpointEntry(name, state, host.kind, self.day.fleet.zones.index(host.zone), host.cell, born)

    def listed(self, news: ListChange) -> None:
        """The roster has learned of a change, and tells who watches."""
        self.roster.add_entry(self.row(news.server, news.state, news.started_ms))
        for seat in self.seats.values():
            if seat.watching and not seat.word_due:
                seat.word_due = True
                self.at(max(self.now, seat.told_at + WATCH_GAP_MS), self.watched, seat, seat.life)

    def watched(self, seat: SimulatedNode, life: int) -> None:
        """A watch brings its news."""
        if seat.life == life:
            seat.word_due = False
            if seat.watching and seat.up:
                self.tell(seat)

    def watch(self, seat: SimulatedNode, effect: core.WatchEndpoints) -> None:
        """A node asks for the list and its changes."""
        served = self.roster.take_call(self.now)
        called = records.EndpointListCalled(
            t=self.now, by="roster", node=seat.name, served=served is not None
        )
        self.listing.add(called)
        if served is None:
            fail = self.now + min(self.day.roster.timeout_ms, 50.0)
            self.at(fail, self.post_in, seat, seat.life, core.EndpointListUpdate(ListUpdateKind.FAILED, []))
        else:
            self.at(served, self.served, seat, seat.life)

    def served(self, seat: SimulatedNode, life: int) -> None:
        """A call for the list is served."""
        if seat.up and seat.life == life:
            seat.watching, seat.word_due = True, False
            self.tell(seat)

    def tell(self, seat: SimulatedNode) -> None:
        """Tell a node what is news to it."""
        whole, rows = self.roster.answer_since(seat.version)
        seat.version, seat.told_at = self.roster.version(), self.now
        for executor, state in self.roster.departure_notices(seat.name, whole, rows):
            self.listing.add(
                records.ServerStateHeard(
                    t=self.now, by="roster", node=seat.name, executor=executor, state=state.value
                )
            )
        listing = ListUpdateKind.FULL if whole else ListUpdateKind.DELTA
        self.post(seat, core.EndpointListUpdate(listing, rows))

    # Troubles.

    def trouble(self, met: ScheduledFault, on: bool) -> None:
        """A trouble begins or ends."""
        what, size = met.trouble.what, met.trouble.size
        if on:
            self.driver.add(
                records.FaultBegan(
                    t=self.now, by="driver", kind=what, until=met.until, targets=met.targets, size=size
                )
            )
        hosts = [self.hosts[name] for name in met.targets if name in self.hosts]
        if what in ("slow", "errors", "tail", "neighbour", "late_reports", "false_reports"):
            for host in hosts:
                self.look(host)
                host.executor.fault_effects = faults.fault_effects(
                    self.schedule, host.executor.name, self.now
                )
                host.next = inf
                self.look(host)
        elif what == "silent":
            for host in hosts:
                self.lines.set_blocked(self.lines.silent, host.executor.name, on)
        elif what == "zone_cut":
            self.lines.set_blocked(self.lines.cut_zones, met.targets[0], on)
            self.network.add(
                records.LinkChanged(t=self.now, by="network", a=met.targets[0], b="*", mended=not on)
            )
        elif what == "slow_link":
            self.lines.set_zone_slow(met.targets[0], size, met.trouble.part, on)
        elif what == "roster_outage" and on:
            self.roster.outages.append((met.at, met.until))
            for seat in self.seats.values():
                if seat.watching:
                    seat.watching = False
                    self.post(seat, core.EndpointListUpdate(ListUpdateKind.FAILED, []))
        elif what == "reset" and on:
            for host in hosts:
                self.reset(host)
        elif what in ("crash", "shrink", "grow"):
            for host in hosts:
                self.turn(host, what, on)
        elif what.startswith("node_") and on:
            for name in met.targets:
                self.node_trouble(self.seats[name], what)

    def turn(self, host: SimulatedServer, what: str, on: bool) -> None:
        """An executor crashes and comes back, drains and goes, or comes anew.

        The roster learns of it by itself.
        """
        if what == "shrink" and on:
            self.look(host)
            host.executor.is_draining = True
        elif (what == "crash" and on) or what == "shrink":
            if host.executor.is_up:
                self.crash(host)
        elif what == "crash" or on:
            self.rise(host)

    def reset(self, host: SimulatedServer) -> None:
        """All connections to an executor break, and what runs there goes on."""
        for seat in self.seats.values():
            host.connections -= seat.idle.pop(host.executor.name, 0)
        for flight in list(host.flights.values()):
            if flight.written:
                name = host.executor.name
                self.network.add(
                    records.AttemptCancelled(t=self.now, by="network", id=flight.ref, executor=name)
                )
                self.withdrawn(host, flight.key)
                self.at(self.now, self.settle, flight, Outcome.BROKEN)

    def node_trouble(self, seat: SimulatedNode, what: str) -> None:
        """A node is killed, rolled or told to read its settings anew."""
        if what == "node_reload":
            self.post_in(seat, seat.life, core.SettingsChanged(seat.deployment.settings))
        elif what == "node_kill" and seat.up:
            self.end_node(seat, "killed")
        elif what == "node_roll" and seat.up:
            seat.starts_ms = self.now + 1000.0 * self.day.fleet.roll_s
            drain = min(MAX_DRAIN_MS, max(type.limit_ms for type in self.day.types)) + ANSWER_MS
            self.post(seat, core.ShutdownBegun(drain))
            self.at(self.now + ROLL_OPEN_MS, self.front.mark_down, seat.name, -inf)
            self.at(self.now + drain + 100.0, self.end_node, seat, "ended")


EFFECTS: dict[type, Callable] = {
    core.SendAttempt: VirtualDriver.send,
    core.CancelAttempt: VirtualDriver.cancel,
    core.Respond: VirtualDriver.reply,
    core.Reject: VirtualDriver.reply,
    core.Fail: VirtualDriver.reply,
    core.Probe: VirtualDriver.probe,
    core.SetTimer: VirtualDriver.timer,
    core.WatchEndpoints: VirtualDriver.watch,
}
