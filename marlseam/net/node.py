"""One real node: hands what happens on its sockets to the reducer and carries out the effects it asks for."""

import resource
import signal
import traceback
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import replace
from math import inf
from typing import Any, NamedTuple

from marlseam import configuration, core
from marlseam.configuration import Config, ConfigError
from marlseam.core import Effect, Event, Reducer
from marlseam.counters import Counters
from marlseam.decisions.types import Outcome, Request, Settings
from marlseam.net import downstream, protocol
from marlseam.net.discovery import Discovery
from marlseam.net.downstream import AdmissionLimits, PendingRequest
from marlseam.net.invariants import Promise, SendGuard, Violations
from marlseam.net.log import Log
from marlseam.net.loop import Loop
from marlseam.net.upstream import AttemptOrder, Upstream

OWN_SOCKETS = 32  # descriptors for listeners, epoll, signals, discovery, logs and the interpreter
OWN_MB, CONNECTION_KB = 20.0, 20.0  # memory for the node itself, and for a connection without its body
BODY_SHARE = 0.5  # of the other memory, for bodies of clients' requests
OPERATORS = 16  # connections of operators, beside all others
PLACES_LEAST = 16  # connections, however tight the limits: fewer could not serve
CLIENT_SHARE = 0.5  # of the other descriptors, for clients
CLIENTS_LEAST = 2  # however few descriptors the system has
LACK_MS = 10000.0  # after a lack, until the settings' limit is tried again
CONTENT_MOST = 512 << 10  # bytes of a fleet's settings as an operator sends them
LISTEN_MS = 600.0  # how long new connections may still come after SIGTERM
PART_MS = 300.0  # how long clients may go on using the connections that they have, once out of service
DRAIN_MOST_MS = 3000.0  # how long work goes on after SIGTERM, or for the longest deadline if that is less
KEEP_SHARE = 0.4  # of that time, in which clients may go on using the connections that they have
ANSWER_MS, EXIT_MS = 300.0, 500.0  # by when after that all is answered, and the node ends at the latest
LAST_MS = 100.0  # but not before what came on the last connections could be read
FIXED = (
    "name",
    "listen",
    "admin",
    "seed",
    "store",
    "watch",
    "fleet",
)  # what a node keeps for as long as it runs


def alone(settings: Settings, processes: int = 1) -> Settings:
    """Return settings as they hold on sockets, and for one of the processes that serve as this node.

    The platform's protocol has no messages between nodes, and its lists come to those that watch alone.
    """
    return replace(settings, may_gossip=False, subscribes_to_endpoints=True, process_share=1.0 / processes)


@contextmanager
def usable(key: str, value: object, expected: str) -> Iterator[None]:
    """Say which key is at fault where a socket cannot be had."""
    try:
        yield
    except OSError as error:
        raise ConfigError(key, value, f"{expected} ({error.strerror})") from None


def connections(config: Config, processes: int = 1) -> int:
    """Return how many connections the limits leave room for in one of some processes, bodies apart."""
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    sockets = config.sockets if allowed == resource.RLIM_INFINITY else min(config.sockets, allowed)
    free_kb = (1.0 - BODY_SHARE) * (config.memory_mb / processes - OWN_MB) * 1024.0
    own = OWN_SOCKETS + (OPERATORS if config.admin is not None else 0)
    return max(PLACES_LEAST, int(min(sockets / processes - own, free_kb / CONNECTION_KB)))


def room(config: Config, processes: int = 1) -> tuple[AdmissionLimits, int]:
    """Return what clients may have, and how many connections servers may, in one of some processes."""
    places = connections(config, processes)
    clients = int(CLIENT_SHARE * places)
    free = BODY_SHARE * (config.memory_mb / processes - OWN_MB) * 1024.0 * 1024.0
    return AdmissionLimits(clients, max(free, PLACES_LEAST * protocol.BODY_MOST)), places - clients


class GiveUp(NamedTuple):
    """Answer a request that met an error of this program."""

    request_id: str


def ref_of(what: Event | Effect) -> str:
    """Return the request that an event or an effect is of; "" where it is of none."""
    return what.request.request_id if type(what) is core.RequestArrived else getattr(what, "request_id", "")


class Node:
    """Joins the loop, the server, the servers, discovery and the reducer."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.loop = Loop(lambda text: self.log.line(text.strip().replace("\n", " | ")))
        self.log = Log(config.name, self.loop.now)
        self.peers = self.acting = None
        self.outs: set[str] = set()  # by whom it is out of service
        if config.fleet is not None:
            self.join()
            config = self.config
        clients, places = room(config)
        self.watch = None
        if config.watch is not None:
            # Imported here: a node that watches nothing needs nothing of it.
            from marlseam.shadow_policy import Watch

            self.watch = Watch(config.watch.change)
            self.loop.at(self.loop.now() + 1000.0 * config.watch.every_s, self.tell_watch)
        self.core = Reducer(self.watch)
        self.pending: dict[str, PendingRequest] = {}
        self.last_request_id, self.events, self.busy = 0, deque[Event](), False
        self.ending = self.waits = False
        self.counters = Counters()
        self.counters.know(config.deployment.types)
        self.violations = Violations(self.log)
        self.guard = SendGuard(self.violations, config.deployment, self.slow_start)
        self.upstream = Upstream(
            self.loop, self.log, config.deployment, places, self.post, self.counters, self.guard
        )
        self.discovery = Discovery(self.loop, self.log, config, self.upstream, self.post)
        door = "listen", "{}:{}".format(*config.listen), "a free address"
        if config.socket_fd is not None:
            door = configuration.SOCKET, config.socket_fd, "the number of a stream socket that listens"
        with usable(*door):
            self.downstream = downstream.DownstreamServer(
                self.loop, self.log, config, clients, self.ready, self.take, self.left
            )
        self.downstream.violations = self.violations
        descriptors, self.regrows = self.loop.descriptors, self.loop.at(self.loop.now(), lambda: None)
        descriptors.givers, descriptors.lacks = (
            [self.downstream.make_room, self.upstream.pool.close_longest_idle],
            self.lacks,
        )
        self.admin = None
        if config.admin is not None:
            # Imported here: a node without such a door needs nothing of it.
            from marlseam.net.admin import BODY_MOST, Admin

            calls = {
                "/control/ready": ("GET", lambda _: (200 if self.ready() else 503, "")),
                "/control/counters": ("GET", lambda _: (200, self.figures())),
                "/control/out-of-service": ("POST", lambda _: self.leave_service("operator")),
                "/control/in-service": ("POST", lambda _: self.enter_service("operator")),
            }
            most = BODY_MOST
            if self.peers is not None:
                calls["/control/fleet"] = ("GET", lambda _: (200, self.peers.status()))
            if self.acting is not None:
                calls["/control/fleet/publish"] = ("POST", self.acting.publish)
                calls["/control/fleet/out"] = (
                    "POST",
                    lambda why: self.acting.by_hand(why.decode(errors="replace")),
                )
                calls["/control/fleet/in"] = ("POST", lambda _: self.acting.by_hand(None))
                most = CONTENT_MOST
            with usable("admin", "{}:{}".format(*config.admin), "a free address"):
                self.admin = Admin(self.loop, self.log, config.admin, OPERATORS, calls, most)
        self.post(core.NodeStarted(alone(config.deployment.settings), config.seed))
        self.memory = self.handover = None
        if config.store is not None:
            # Imported here: a node without a store needs nothing of it.
            from marlseam.net.durable_state import DurableState

            self.memory = DurableState(self)
            self.memory.recover()
        else:
            self.discovery.begin()
        if config.socket_fd is not None and config.folder is not None:
            # Imported here: a node that no other process takes over from needs nothing of it.
            from marlseam.net.process_handover import ProcessHandover

            self.handover = ProcessHandover(self, self.take_over)
            self.handover.begin()
        else:
            with usable(*door):
                self.downstream.listen()
        if self.acting is not None:
            self.acting.begin()

    def join(self) -> None:
        """Become one of a fleet, and act from the start on the version that its ledger holds."""
        # Imported here: a node that is of no fleet needs nothing of it.
        from marlseam.net.membership_service import MembershipService

        fleet, port = self.config.fleet, None
        if fleet.folder is not None:
            from marlseam.net.config_service import ConfigServicePort

            port = ConfigServicePort(
                self.wrong,
                self.act_on,
                self.serve,
                lambda: max(0, self.discovery.version),
                lambda: self.config.settings,
                self.prove,
                self.config.socket_fd is not None,
            )
        with usable("fleet.members", fleet.members[self.config.name], "a free address of this machine"):
            self.peers = MembershipService(
                self.loop, self.log, fleet, self.config.name, self.config.seed, port
            )
        self.acting = self.peers.acting
        content = self.acting.load() if self.acting is not None else None
        if content is not None:
            self.config = configuration.with_settings(self.config, content.settings)

    def wrong(self, settings: Mapping[str, Any]) -> str:
        """Return what is wrong with a fleet's settings here, or nothing."""
        try:
            configuration.with_settings(self.config, settings)
        except ConfigError as error:
            return str(error)
        return ""

    def act_on(self, settings: Mapping[str, Any]) -> None:
        """Act on a fleet's settings, between two events; open work keeps its request class."""
        self.adopt(configuration.with_settings(self.config, settings))

    def prove(self, number: int, id: str, mono_ms: float) -> None:
        """Tell other processes of this node when the fleet's version was in force."""
        if self.handover is not None:
            self.handover.prove(number, id, mono_ms)

    def serve(self, on: bool) -> None:
        """Be in service, as far as the fleet has to say, or out of it."""
        if on:
            self.enter_service("fleet")
            if self.waits and not self.ending:
                self.listen()
        else:
            self.leave_service("fleet")

    def take_over(self, version: int, hosts: list[dict]) -> None:
        """Begin to serve, from what another process of this node told."""
        if hosts and version >= self.discovery.version and not self.discovery.told:
            self.discovery.begin({"seq": version, "whole": True, "hosts": hosts})
        if not self.ending:
            self.listen()

    def listen(self) -> None:
        """Take work from the socket that is shared, once this process may: another may still do so."""
        self.waits = self.acting is not None and not self.acting.stood.acts
        if not self.waits:
            self.downstream.listen()

    def processes(self) -> int:
        """Return how many processes serve as this node."""
        return self.handover.processes() if self.handover is not None else 1

    def share(self) -> None:
        """Keep to this process's part of the node's limits and budgets, as others come and go."""
        deployment, processes = self.config.deployment, self.processes()
        clients, places = room(self.config, processes)
        self.post(core.SettingsChanged(alone(deployment.settings, processes)))
        self.downstream.configure(deployment, clients)
        self.upstream.configure(deployment, places)

    def lacks(self) -> None:
        """Take fewer clients for a while: the system has fewer descriptors than the settings say.

        Guards the sends of what was taken, which need as many again as clients have.
        """
        has = len(self.downstream.open) + self.upstream.pool.open_count()
        self.downstream.lacks(max(CLIENTS_LEAST, int(CLIENT_SHARE * has)))
        self.loop.drop(self.regrows)
        self.regrows = self.loop.at(self.loop.now() + LACK_MS, self.regrow)

    def regrow(self) -> None:
        """Take as many clients again as the settings say: other processes may have given back."""
        self.loop.descriptors.whole()
        self.downstream.configure(self.config.deployment, room(self.config, self.processes())[0])

    def tell_watch(self) -> None:
        """Log what the settings watched would have decided otherwise so far, and again after a while."""
        for line in self.watch.lines():
            self.log.line(line)
        self.loop.at(self.loop.now() + 1000.0 * self.config.watch.every_s, self.tell_watch)

    def run(self) -> None:
        """Serve until told to end."""
        calls = {signal.SIGTERM: self.close, signal.SIGINT: self.close, signal.SIGHUP: self.reload}
        self.loop.on_signals(calls)
        self.loop.descriptors.hold()
        # As bound: a configured port 0 leaves the choice to the system.
        self.log.line("listens on {}:{}".format(*self.downstream.sock.getsockname()[:2]))
        self.loop.run()
        self.busy = True  # nothing is decided any more
        self.upstream.pool.close()
        if self.handover is not None:
            self.handover.close()
        if self.peers is not None:
            self.peers.close()
        self.loop.finish()
        self.loop.descriptors.let_go()
        if self.memory is not None:
            self.memory.keeper.close()

    def ready(self) -> bool:
        """Return whether clients should come."""
        return bool(self.discovery.held and self.downstream.listener) and self.downstream.draining is None

    def figures(self) -> str:
        """Return the figures, those of this moment included."""
        held = self.discovery.held
        now = {"pending": len(self.pending), "members": len(held), "members_unavailable": self.core.avoided()}
        violations = {f"invariant_violations_total.{p.value}": n for p, n in self.violations.counts.items()}
        return self.counters.lines(**now, **violations)

    def slow_start(self, name: str, type: int, slots: float) -> tuple[float, float]:
        """Return a server's whole slow start budget and a request's size, in mean requests."""
        return self.core.slow_start(name, type, slots)

    # Events.

    def post(self, event: Event) -> None:
        """Hand an event to the reducer, after those before it, and carry out what it asks for."""
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                self.step(self.events.popleft())
        finally:
            self.busy = False

    def step(self, event: Event) -> None:
        """Reduce one event and carry out its effects; an error in either costs no other request anything."""
        try:
            effects = self.core.reduce(self.loop.now(), event)
        except Exception:
            # Guards the clients against an error in a decision; what was decided before it holds.
            self.loop.fault(traceback.format_exc())
            effects = [*self.core.effects, GiveUp(ref_of(event))]
        for effect in effects:
            try:
                EFFECTS[type(effect)](self, effect)
            except Exception:
                self.loop.fault(traceback.format_exc())
                self.give_up(GiveUp(ref_of(effect)))

    def give_up(self, effect: GiveUp) -> None:
        """Answer a request that met an error of this program; nothing more of it is tried.

        It is refused where a retry does no harm: nothing of it was sent, or its class is safe to repeat.
        """
        pending = self.pending.get(effect.request_id)
        if pending is None:
            return
        self.counters.faults += 1
        harmless = not (pending.sent and pending.job.once)
        self.answer(effect.request_id, 503 if harmless else 500, [], b"")
        self.post(core.ClientLeft(effect.request_id))

    def take(self, pending: PendingRequest) -> str:
        """Take a client's request under a name of our own, as clients may send one name twice."""
        if self.handover is not None and pending.job.idempotency_key is not None:
            self.handover.catch_up()
        self.last_request_id += 1
        request_id, job = str(self.last_request_id), pending.job
        self.pending[request_id] = pending
        goes = self.acting is None or self.acting.may_take()
        if self.acting is not None:
            self.acting.took()
        request = Request(
            request_id,
            job.class_index,
            pending.deadline_at_ms,
            job.slots,
            idempotency_key=job.idempotency_key,
            resource_key=job.resource_key,
            may_be_retry=job.may_be_retry,
            is_recordable=goes and (self.memory is None or self.memory.keeper.serves()),
            is_sendable=goes,
        )
        self.post(core.RequestArrived(request))
        return request_id

    def left(self, request_id: str) -> None:
        """Tell that a client has gone."""
        self.guard.ended(request_id, Promise.AFTER_LEAVING, self.loop.now())
        self.post(core.ClientLeft(request_id))
        self.pending.pop(request_id, None)

    def look(self, request_id: str, pending: PendingRequest) -> bool:
        """Return whether a request's client has gone or has its answer; if so nothing more of it is tried.

        Its own coroutine closes the connection once the loop comes to that.
        """
        if pending.answer is None and not pending.gone():
            return False
        self.guard.ended(request_id, Promise.AFTER_LEAVING, self.loop.now())
        self.post(core.ClientLeft(request_id))
        return True

    # Effects.

    def send(self, effect: core.SendAttempt) -> None:
        """Send an attempt."""
        pending, now = self.pending.get(effect.request_id), self.loop.now()
        if pending is None:
            self.post(
                core.AttemptEnded(
                    effect.request_id, effect.attempt_index, Outcome.CANCELLED_UNSENT, True, None
                )
            )
            return  # it has its answer
        gate = self.memory.gate(effect.request_id) if self.memory is not None else None
        stands = self.acting.order() if self.acting is not None else None
        order = AttemptOrder(
            effect.request_id,
            effect.attempt_index,
            effect.server,
            pending.job,
            now + effect.time_left_ms,
            pending.deadline_at_ms,
            gate,
            stands,
            now + effect.begin_ms,
            lambda: self.look(effect.request_id, pending),
        )
        pending.sent = True
        self.guard.taken(effect.request_id, pending.job, pending.deadline_at_ms)
        self.upstream.attempts.send(order)

    def remember(self, effect: core.PersistAttempt | core.ErasePersisted) -> None:
        """Keep what may have run, or that it never did, where there is a store, and tell other processes."""
        if self.handover is not None:
            self.handover.tell(effect)
        if self.memory is not None:
            self.memory.keep(effect)

    def answer(self, request_id: str, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        """Give a client its one answer, if it is still there."""
        pending = self.pending.pop(request_id, None)
        self.guard.ended(request_id, Promise.AFTER_ANSWER, self.loop.now())
        if pending is not None:
            self.counters.ended(pending.job.type_name, status)
            if self.acting is not None:
                self.acting.ended(status)
            pending.give(status, headers, body)

    def abort(self, effect: core.Fail) -> None:
        """Tell a client that its work may have run, unless none of it has begun: that is called off."""
        if effect.out and not any(
            self.upstream.attempts.has_begun(effect.request_id, attempt_index) for attempt_index in effect.out
        ):
            self.answer(effect.request_id, 503, protocol.advice(effect.retry_after_ms), b"")
        else:
            self.answer(effect.request_id, 400 if effect.unfit else 500, [], b"")

    def timer(self, effect: core.SetTimer) -> None:
        """Bring back a mark later."""
        self.loop.at(self.loop.now() + effect.delay_ms, lambda: self.post(core.TimerFired(effect.timer_id)))

    # A new configuration.

    def reload(self) -> None:
        """Read the configuration anew: a good one is applied whole, of a bad one nothing."""
        self.loop.descriptors.ensure()
        try:
            config = configuration.load(self.config.path, before=self.config)
            if self.acting is not None and self.acting.published() and not self.config.fleet.local:
                # What the fleet agreed on stays; the rest of the file is the node's own.
                self.acting.refused(config.settings)
                config = configuration.with_settings(config, self.config.settings)
        except ConfigError as error:
            self.counters.reload_errors += 1
            self.log.line(f"the configuration stays as it was: {error}")
            return
        for key in FIXED:
            if getattr(config, key) != getattr(self.config, key):
                self.log.line(f"{key}: cannot change in a running node, left as it was")
        self.adopt(replace(config, **{key: getattr(self.config, key) for key in FIXED}))
        self.counters.reloads += 1
        self.log.line(f"new configuration, discovery at {config.discovery[0]}:{config.discovery[1]}")

    def adopt(self, config: Config) -> None:
        """Go on under a new configuration."""
        self.config = config
        self.guard.deployment = config.deployment
        self.counters.know(config.deployment.types)
        self.share()
        self.discovery.configure(config)

    # In service, out of service, and the end.

    def leave_service(self, by: str) -> tuple[int, str]:
        """Send clients away; what is taken is finished, and all else goes on."""
        self.outs.add(by)
        if self.downstream.draining is None:
            self.log.line(f"out of service with {len(self.pending)} work units open")
        self.downstream.drain(0.0, PART_MS)
        return 200, ""

    def enter_service(self, by: str) -> tuple[int, str]:
        """Serve again as before, unless the process ends or another has it out."""
        if self.ending:
            return 409, "the process ends\n"
        self.outs.discard(by)
        if self.outs:
            return 200, f"still out of service by {', '.join(sorted(self.outs))}\n"
        if self.downstream.draining is not None:
            self.log.line("in service")
            self.downstream.resume()
        return 200, ""

    def close(self) -> None:
        """Begin to end after a signal: answer what is taken, take what still comes, then go."""
        if self.ending:
            return
        self.ending = True
        began = self.loop.now()
        if self.peers is not None and self.config.socket_fd is not None:
            self.peers.leave()  # the later process is the member from here on
        limits = [
            t.deadline_ms for t in self.config.deployment.settings.request_classes if t.deadline_ms < inf
        ]
        drain = min(DRAIN_MOST_MS, max(limits, default=0.0))
        self.log.line(f"told to end with {len(self.pending)} work units open")
        self.post(core.ShutdownBegun(drain + ANSWER_MS))
        # Guards against a moment without any node: the one that restarted before this may not be back yet.
        # Where the socket is handed on, the one that goes on accepting is there already, or will be.
        stays = self.config.socket_fd is not None
        part_ms = PART_MS if stays else max(LISTEN_MS, KEEP_SHARE * drain)
        self.downstream.drain(0.0 if stays else part_ms, part_ms)
        self.loop.at(began + (0.0 if stays else LISTEN_MS), self.downstream.stop_listening)
        last_ms = began + max(drain + EXIT_MS, part_ms + LAST_MS)
        self.loop.at(began + part_ms, lambda: self.end(last_ms))

    def end(self, at_ms: float) -> None:
        """Stop once no client waits any more, or the time is over."""
        if not self.downstream.owes() or self.loop.now() >= at_ms:
            self.downstream.turn_away()
            for line in self.watch.lines() if self.watch is not None else ():
                self.log.line(line)
            late = f"timers at most {self.loop.late_ms:.0f} ms late, turns at most {self.loop.turn_ms:.0f} ms"
            self.log.line(f"ends with {len(self.pending)} work units open, {late}")
            self.loop.stopped = True
        else:
            self.loop.at(self.loop.now() + downstream.LOOK_MS, lambda: self.end(at_ms))


EFFECTS: dict[type, Callable[[Node, Any], None]] = {
    core.SendAttempt: Node.send,
    core.CancelAttempt: lambda node, effect: node.upstream.attempts.cancel(*effect),
    core.Respond: lambda node, effect: node.answer(effect.request_id, 200, [], effect.result),
    core.Reject: lambda node, effect: node.answer(
        effect.request_id, 503, protocol.advice(effect.retry_after_ms), b""
    ),
    core.Fail: Node.abort,
    core.Probe: lambda node, effect: node.upstream.health_checks.start(effect.server),
    core.SetTimer: Node.timer,
    core.PersistAttempt: Node.remember,
    core.ErasePersisted: Node.remember,
    GiveUp: Node.give_up,
    core.WatchEndpoints: lambda node, effect: node.discovery.watch(),
    core.Log: lambda node, effect: node.log.line(effect.text),
}
