"""Attempts between simulated nodes and servers: sending, delivery, progress, end and cancellation."""

from math import inf

from marlseam import core, records
from marlseam.decisions.types import LoadReport, Outcome
from marlseam.experiment.virtual.hooks import DriverHooks
from marlseam.experiment.virtual.nodes import NodeRunner
from marlseam.experiment.virtual.servers import ServerRunner
from marlseam.experiment.virtual.state import (
    AttemptInFlight,
    SimulatedNode,
    SimulatedServer,
    attempt_job_id,
)
from marlseam.experiment.virtual.world import VirtualWorld
from marlseam.net.upstream import ACCEPT_TIMEOUT_IN_OBJECTIVES, PROGRESS_GAP_IN_PERIODS
from marlseam.simulation import fleet
from marlseam.simulation.job import Job, JobEvent

OUTCOME_BY_JOB_END = {"done": Outcome.COMPLETED, "failed": Outcome.ERROR, "lost": Outcome.BROKEN}
ANSWERED_OUTCOMES = (Outcome.COMPLETED, Outcome.ERROR, Outcome.AT_CAPACITY)  # the connection is kept open
GIVEN_UP_OUTCOMES = (Outcome.TIMED_OUT, Outcome.CANCELLED)  # the node closes the connection


class AttemptTransport:
    """Carries attempts between nodes and servers over simulated connections.

    Attributes:
        accept_timeout_ms: how long a node waits until a server accepts an attempt; for an unsafe request it
            waits until the deadline.
        progress_gap_ms: how long a node waits for the next progress message of a running attempt; inf if
            servers send no progress. For an unsafe request it waits until the deadline.
    """

    def __init__(
        self,
        world: VirtualWorld,
        nodes: NodeRunner,
        servers: ServerRunner,
        hooks: DriverHooks,
    ) -> None:
        self._world, self._nodes, self._servers, self._hooks = world, nodes, servers, hooks
        min_objective_ms = min(request_class.promised_ms for request_class in world.day.types)
        self.accept_timeout_ms = ACCEPT_TIMEOUT_IN_OBJECTIVES * min_objective_ms
        self.progress_gap_ms = PROGRESS_GAP_IN_PERIODS * 1000.0 * world.day.fleet.progress_s or inf
        servers.add_job_listener(self._job_changed)

    # From the node to the server.

    def send(self, node: SimulatedNode, effect: core.SendAttempt) -> None:
        """Send an attempt on an idle connection to the server if the node has one, else on a new one."""
        world, server = self._world, self._world.servers[effect.server]
        attempt = self._open_attempt(node, server, effect)
        is_reachable = world.is_reachable(node, server)
        delay_ms = world.delay_ms(node, server)
        if attempt.reuses_connection:
            self._send_on_idle_connection(attempt, delay_ms)
        elif not is_reachable:
            fails_ms = min(attempt.deadline_ms, world.now_ms + node.deployment.connect_ms)
            self._schedule_end(fails_ms, attempt, Outcome.UNREACHABLE)
            return
        elif not server.model.is_up or server.connection_count >= world.day.fleet.connections:
            self._schedule_end(world.now_ms + 2.0 * delay_ms, attempt, Outcome.UNREACHABLE)
            return
        else:
            self._send_on_new_connection(attempt, delay_ms)
        world.queue.schedule(attempt.give_up_ms, self._check_timeout, attempt)

    def _open_attempt(
        self, node: SimulatedNode, server: SimulatedServer, effect: core.SendAttempt
    ) -> AttemptInFlight:
        """Create an attempt in flight and register it at its server."""
        now_ms = self._world.now_ms
        is_unsafe = self._is_unsafe(effect.request_id)
        attempt = AttemptInFlight(
            node,
            node.generation,
            effect.request_id,
            effect.attempt_index,
            server,
            deadline_ms=now_ms + effect.time_left_ms,
            silence_deadline_ms=inf if is_unsafe else now_ms + self.accept_timeout_ms,
            reuses_connection=node.idle_connections.get(server.name, 0) > 0,
        )
        server.attempts[attempt.job_id] = attempt
        return attempt

    def _is_unsafe(self, request_id: str) -> bool:
        """Return whether a try is unsafe to repeat; nodes wait for its attempts until the deadline."""
        return self._world.request_class(request_id).effect == "exclusive"

    def _send_on_idle_connection(self, attempt: AttemptInFlight, delay_ms: float) -> None:
        """Write an attempt to an idle connection."""
        attempt.node.idle_connections[attempt.server.name] -= 1
        attempt.is_written = True
        self._world.queue.schedule(self._world.now_ms + delay_ms, self._hooks.deliver, attempt)

    def _send_on_new_connection(self, attempt: AttemptInFlight, delay_ms: float) -> None:
        """Open a connection, which takes one round trip, and write an attempt to it."""
        queue, connect_ms = self._world.queue, self._world.day.fleet.connect_ms
        attempt.server.connection_count += 1
        queue.schedule(queue.now_ms + 2.0 * delay_ms, self._write, attempt)
        queue.schedule(queue.now_ms + 3.0 * delay_ms + connect_ms, self._hooks.deliver, attempt)

    def _write(self, attempt: AttemptInFlight) -> None:
        """Write an attempt to its new connection, unless the node has given the attempt up."""
        attempt.is_written = attempt.is_open

    def deliver(self, attempt: AttemptInFlight) -> None:
        """Deliver an attempt to its server, unless the node has given it up or the network loses it."""
        world, server, node = self._world, attempt.server, attempt.node
        if not attempt.is_written or not attempt.is_open or not world.is_delivered(node, server):
            return
        if not server.model.is_up:
            outcome = Outcome.STALE_CONNECTION if attempt.reuses_connection else Outcome.BROKEN
            self._schedule_end(world.now_ms + world.delay_ms(node, server), attempt, outcome)
            return
        self._servers.advance(server)
        if self._offer(attempt):
            attempt.silence_deadline_ms = inf  # accepted; the timeout restarts when the job starts
        else:
            refused = records.AttemptRefused(t=world.now_ms, by=server.name, id=attempt.request_id)
            world.server_records(server).add(refused)
            self._schedule_end(world.now_ms + world.delay_ms(node, server), attempt, Outcome.AT_CAPACITY)
        self._servers.advance(server)
        self._crash_if_overloaded(server)

    def _offer(self, attempt: AttemptInFlight) -> bool:
        """Record that a server received an attempt, and return whether it accepts it."""
        world, server, model = self._world, attempt.server, attempt.server.model
        is_accepted = model.offer(world.now_ms, self._job(attempt))
        load = model.slow_start_load(0.0) if model.is_in_slow_start(world.now_ms) else 0.0
        received = records.AttemptReceived(
            t=world.now_ms,
            by=server.name,
            id=attempt.request_id,
            node=attempt.node.name,
            born=model.started_ms,
            load=load,
        )
        world.server_records(server).add(received)
        return is_accepted

    def _job(self, attempt: AttemptInFlight) -> Job:
        """Return the job of an attempt at its server."""
        arrival = self._world.arrivals[attempt.request_id]
        request_class = self._world.day.types[arrival.type]
        return fleet.job(arrival, request_class, attempt.request_id, attempt.attempt_index)

    def _crash_if_overloaded(self, server: SimulatedServer) -> None:
        """Crash a server that received more load during slow start than it can take."""
        load, now_ms = server.model.overload_share, self._world.now_ms
        if load is not None and server.model.is_up:
            overloaded = records.ServerOverloaded(t=now_ms, by=server.name, load=load)
            self._world.server_records(server).add(overloaded)
            self._hooks.crash(server)

    # From the server to the node.

    def _job_changed(self, server: SimulatedServer, event: JobEvent) -> None:
        """Send an event of a job to the node of the attempt, unless the network loses the message."""
        world, attempt = self._world, server.attempts.get(event.id)
        if attempt is None or not world.is_delivered(attempt.node, server):
            return
        arrives_ms = world.now_ms + world.delay_ms(attempt.node, server)
        if event.what in OUTCOME_BY_JOB_END:
            attempt.silence_deadline_ms = inf
            self._schedule_end(arrives_ms, attempt, OUTCOME_BY_JOB_END[event.what])
        else:
            world.queue.schedule(arrives_ms, self._receive_progress, attempt, _node_event(attempt, event))

    def _receive_progress(self, attempt: AttemptInFlight, event: core.Event) -> None:
        """Post a start or progress event to the attempt's node; unless unsafe, restart the timeout."""
        if not attempt.is_open:
            return
        if not self._is_unsafe(attempt.request_id):
            attempt.silence_deadline_ms = self._world.now_ms + self.progress_gap_ms
            self._world.queue.schedule(attempt.give_up_ms, self._check_timeout, attempt)
        self._nodes.post_to_generation(attempt.node, attempt.generation, event)

    # The end of an attempt.

    def _check_timeout(self, attempt: AttemptInFlight) -> None:
        """End an attempt whose timeout has passed; else schedule the next check at the current timeout."""
        if not attempt.is_open:
            return
        if self._world.now_ms >= attempt.give_up_ms:
            self.end(attempt, Outcome.TIMED_OUT)
        else:
            self._world.queue.schedule(attempt.give_up_ms, self._check_timeout, attempt)

    def _schedule_end(self, at_ms: float, attempt: AttemptInFlight, outcome: Outcome) -> None:
        """Schedule the end of an attempt for its node."""
        self._world.queue.schedule(at_ms, self.end, attempt, outcome)

    def end(self, attempt: AttemptInFlight, outcome: Outcome) -> None:
        """End an attempt and post its outcome to the node; do nothing if it has ended already."""
        if not attempt.is_open:
            return
        if outcome in GIVEN_UP_OUTCOMES:
            self.give_up(attempt)
        else:
            attempt.is_open = False
            attempt.server.attempts.pop(attempt.job_id, None)
            _release_connection(attempt, outcome)
        event = core.AttemptEnded(
            attempt.request_id,
            attempt.attempt_index,
            outcome,
            outcome is Outcome.COMPLETED,
            self._report(attempt, outcome),
        )
        self._nodes.post_to_generation(attempt.node, attempt.generation, event)

    def _report(self, attempt: AttemptInFlight, outcome: Outcome) -> LoadReport | None:
        """Return the load report in an answer, None without an answer or if answers carry no reports."""
        if self._world.day.reports.answers and outcome in ANSWERED_OUTCOMES:
            return attempt.server.model.report(self._world.now_ms)
        return None

    def give_up(self, attempt: AttemptInFlight) -> None:
        """Close the connection of an attempt; the server cancels the job if the server is reachable."""
        world, server = self._world, attempt.server
        attempt.is_open = False
        server.attempts.pop(attempt.job_id, None)
        if not attempt.is_written:
            return
        server.connection_count -= 1
        self._record_cancelled(attempt)
        if world.is_reachable(attempt.node, server):
            arrives_ms = world.now_ms + world.delay_ms(attempt.node, server)
            world.queue.schedule(arrives_ms, self._cancel_job, server, attempt.job_id)

    def _record_cancelled(self, attempt: AttemptInFlight) -> None:
        """Record that the connection of an attempt was closed before the attempt ended."""
        cancelled = records.AttemptCancelled(
            t=self._world.now_ms, by="network", id=attempt.request_id, executor=attempt.server.name
        )
        self._world.network_records.add(cancelled)

    def _cancel_job(self, server: SimulatedServer, job_id: str) -> None:
        """Cancel a job at a server."""
        self._servers.advance(server)
        server.model.cancel(job_id)
        self._servers.advance(server)

    def cancel(self, node: SimulatedNode, effect: core.CancelAttempt) -> None:
        """Cancel an attempt at the request of its node; its end is posted like that of other attempts."""
        job_id = attempt_job_id(effect.request_id, effect.attempt_index)
        for server in self._world.servers.values():
            attempt = server.attempts.get(job_id)
            if attempt is None or attempt.node is not node:
                continue
            if effect.even_if_sent or not attempt.is_written:
                outcome = Outcome.CANCELLED if attempt.is_written else Outcome.CANCELLED_UNSENT
                self._schedule_end(self._world.now_ms, attempt, outcome)
                return

    # Broken connections.

    def node_ended(self, node: SimulatedNode) -> None:
        """Close all connections of a node whose process has ended."""
        for server in self._world.servers.values():
            server.connection_count -= node.idle_connections.get(server.name, 0)
            for attempt in [attempt for attempt in server.attempts.values() if attempt.node is node]:
                self.give_up(attempt)

    def server_crashed(self, server: SimulatedServer) -> None:
        """Break the connections to a server whose process has ended; only nodes that reach it detect it."""
        self._drop_idle_connections(server)
        world = self._world
        for attempt in list(server.attempts.values()):
            if world.is_reachable(attempt.node, server):
                arrives_ms = world.now_ms + world.delay_ms(attempt.node, server)
                self._schedule_end(arrives_ms, attempt, Outcome.BROKEN)

    def reset_connections(self, server: SimulatedServer) -> None:
        """Break the connections to a server whose process keeps running."""
        self._drop_idle_connections(server)
        for attempt in list(server.attempts.values()):
            if attempt.is_written:
                self._record_cancelled(attempt)
                self._cancel_job(server, attempt.job_id)
                self._schedule_end(self._world.now_ms, attempt, Outcome.BROKEN)

    def _drop_idle_connections(self, server: SimulatedServer) -> None:
        """Close the idle connections to a server."""
        for node in self._world.nodes.values():
            server.connection_count -= node.idle_connections.pop(server.name, 0)


def _node_event(attempt: AttemptInFlight, event: JobEvent) -> core.Event:
    """Return the event posted to a node for a job that has started or makes progress."""
    if event.what == "started":
        return core.AttemptStarted(attempt.request_id, attempt.attempt_index)
    return core.AttemptProgressed(attempt.request_id, attempt.attempt_index, event.value)


def _release_connection(attempt: AttemptInFlight, outcome: Outcome) -> None:
    """Keep the connection of an answered attempt open for the next attempt, or close it."""
    node, server = attempt.node, attempt.server
    if outcome in ANSWERED_OUTCOMES and node.generation == attempt.generation:
        node.idle_connections[server.name] = node.idle_connections.get(server.name, 0) + 1
    elif outcome is not Outcome.UNREACHABLE:
        server.connection_count -= 1
