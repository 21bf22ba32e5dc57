"""One real node: passes network events to the reducer and carries out the effects that it returns.

This is the only module that connects the parts of a node. The steps of its life cycle, with the parts
involved in each, in this order:

- construction: cluster, shadow policy, reducer, upstream, discovery, downstream, operators' calls;
- recovery (`recover`): durable state, or else the endpoint list in the configuration;
- start (`begin`): handover or listener, then the service of configuration versions;
- reconfiguration (`adopt`): invariants, counters, this process's share of the limits, discovery;
- change of the number of processes (`apply_process_count`): reducer, downstream, upstream;
- shutdown: marlseam/net/graceful_shutdown.py;
- end (`end`): upstream, handover, membership, loop, descriptors, durable state.
"""

import signal
import traceback
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager
from typing import TYPE_CHECKING

from marlseam import configuration, core
from marlseam.configuration import Config
from marlseam.core import Event, Reducer
from marlseam.counters import Counters
from marlseam.net.configured_socket import config_error_on_failure
from marlseam.net.discovery import Discovery, ListSnapshot
from marlseam.net.downstream import DownstreamServer
from marlseam.net.effects import EffectHandlers, NodeEffect
from marlseam.net.graceful_shutdown import GracefulShutdown
from marlseam.net.invariants import SendGuard, Violations
from marlseam.net.limits import (
    DescriptorShortage,
    connection_limits,
    settings_for_process,
)
from marlseam.net.log import Log
from marlseam.net.loop import Loop
from marlseam.net.open_requests import GiveUp, OpenRequests
from marlseam.net.service_state import ServiceState
from marlseam.net.settings_reload import SettingsReload
from marlseam.net.upstream import Upstream

if TYPE_CHECKING:
    # Optional parts: each is imported at run time only where it is constructed.
    from marlseam.net.admin import Admin
    from marlseam.net.config_service import ConfigVersionService
    from marlseam.net.durable_state import DurableState
    from marlseam.net.membership_service import MembershipService
    from marlseam.net.process_handover import ProcessHandover
    from marlseam.shadow_policy import ShadowPolicy


def request_id_of(event_or_effect: Event | NodeEffect) -> str:
    """Return the id of the request that an event or an effect refers to; "" where it refers to none."""
    if type(event_or_effect) is core.RequestArrived:
        return event_or_effect.request.request_id
    return str(getattr(event_or_effect, "request_id", ""))


class Node:
    """Connects the loop, the two sides of the network, discovery and the reducer.

    Attributes:
        config: the configuration in force.
        loop: the event loop; its clock is the node's clock.
        log: writes lines to standard error.
        counters: monotonically increasing counts.
        reducer: takes every decision.
        requests: the requests that have no answer yet.
        effects: carries out the reducer's effects.
        guard: checks each attempt against the invariants before it is sent.
        violations: counts the violated invariants.
        upstream: connections to servers, attempts and health checks.
        downstream: connections to clients.
        discovery: keeps the endpoint list.
        service: whether clients are served.
        settings_reload: reads the configuration file again on a signal.
        shutdown: ends the process gracefully.
        shadow_policy: evaluates changed settings without applying them; None where none are configured.
        membership: the cluster's members; None in a node without a cluster.
        config_service: the cluster's configuration versions; None without a ledger.
        admin: answers operators' calls; None without an admin address.
        durable_state: the state kept across restarts; None without a state directory.
        handover: connections to other processes of this node; None where the socket is not shared.
        events: the events that wait for the reducer.
        is_reducing: whether an event is being reduced, so that further ones wait; stays true once the node
            has ended.

    """

    def __init__(self, config: Config) -> None:
        self.config = config
        self.loop = Loop(lambda text: self.log.line(text.strip().replace("\n", " | ")))
        self.log = Log(config.name, self.loop.now)
        self.events, self.is_reducing = deque[Event](), False
        self.requests, self.effects = OpenRequests(self), EffectHandlers(self)
        self.service, self.shutdown = ServiceState(self), GracefulShutdown(self)
        self.settings_reload = SettingsReload(self)
        self.durable_state: DurableState | None = None
        self.handover: ProcessHandover | None = None
        self.join_cluster()
        self.make_reducer()
        self.make_network()
        self.make_admin()
        settings = settings_for_process(self.config.deployment.settings)
        self.post(core.NodeStarted(settings, self.config.seed))
        self.recover()
        self.begin()

    # Start.

    def join_cluster(self) -> None:
        """Join the cluster, and apply the ledger's configuration version before anything else starts."""
        self.membership: MembershipService | None = None
        self.config_service: ConfigVersionService | None = None
        if self.config.cluster is None:
            return
        from marlseam.net.cluster_link import ClusterLink

        link = ClusterLink(self, self.config.cluster)
        self.membership, self.config_service = link.membership, link.config_service
        self.config = link.load_config()

    def make_reducer(self) -> None:
        """Create the reducer, and the shadow policy that observes its decisions."""
        self.shadow_policy = self.make_shadow_policy()
        self.reducer = Reducer(self.shadow_policy)

    def make_shadow_policy(self) -> "ShadowPolicy | None":
        """Return the configured shadow policy, or None; schedules its log lines."""
        if self.config.shadow is None:
            return None
        from marlseam.shadow_policy import ShadowPolicy

        shadow_policy = ShadowPolicy(self.config.shadow.change)
        self.schedule_shadow_log()
        return shadow_policy

    def make_network(self) -> None:
        """Create both sides of the network and discovery; bind the clients' socket but don't listen on it."""
        config, loop, log = self.config, self.loop, self.log
        limits = connection_limits(config)
        self.counters = Counters()
        self.counters.declare_classes(config.deployment.types)
        self.violations = Violations(log)
        self.guard = SendGuard(self.violations, config.deployment, self.reducer.slow_start_figures)
        self.upstream = Upstream(
            loop, log, config.deployment, limits.servers, self.post, self.counters, self.guard
        )
        self.discovery = Discovery(loop, log, config, self.upstream, self.post)
        with self.listen_error():
            self.downstream = DownstreamServer(
                loop,
                log,
                config,
                limits.clients,
                self.is_ready,
                self.requests.take,
                self.requests.client_left,
            )
        self.downstream.violations = self.violations
        self.downstream.key_turns.queues = lambda: self.reducer.dispatcher.key_queues
        self.shortage = DescriptorShortage(loop, self.downstream, self.upstream, self.apply_client_limits)

    def make_admin(self) -> None:
        """Start to answer operators' calls, if an admin address is configured."""
        self.admin: Admin | None = None
        if self.config.admin is not None:
            from marlseam.net.admin_calls import open_admin

            self.admin = open_admin(self, self.config.admin)

    def recover(self) -> None:
        """Recover the last process's stored state; without a store, use the list in the configuration."""
        if self.config.store is None:
            self.discovery.apply_initial_list()
            return
        from marlseam.net.durable_state import DurableState

        self.durable_state = DurableState(self, self.config.store)
        self.durable_state.recover()

    def begin(self) -> None:
        """Start the handover from other processes of this node, or without a shared socket listen at once."""
        if self.config.socket_fd is not None and self.config.folder is not None:
            from marlseam.net.process_handover import ProcessHandover

            self.handover = ProcessHandover(
                self, self.config.folder, self.downstream.request_ids, self.take_over
            )
            self.handover.begin()
        else:
            with self.listen_error():
                self.downstream.listen()
        if self.config_service is not None:
            self.config_service.start()

    def listen_error(self) -> AbstractContextManager[None]:
        """Return a context that turns an OSError of the clients' socket into a ConfigError with the key."""
        if self.config.socket_fd is not None:
            expected = "the number of a stream socket that listens"
            return config_error_on_failure(configuration.SOCKET, self.config.socket_fd, expected)
        return config_error_on_failure("listen", "{}:{}".format(*self.config.listen), "a free address")

    def take_over(self, snapshot: ListSnapshot) -> None:
        """Start to serve clients, with the handed-over endpoint list unless the node's own is newer.

        The handover calls this once, at its end.
        """
        if snapshot.rows and snapshot.version >= self.discovery.version and not self.discovery.is_confirmed:
            self.discovery.apply_initial_list(snapshot)
        if not self.shutdown.is_ending:
            self.service.listen()

    # Operation and end.

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT has ended the node; SIGHUP reloads the configuration."""
        begin_shutdown = self.shutdown.begin
        calls: dict[int, Callable[[], None]] = {
            signal.SIGTERM: begin_shutdown,
            signal.SIGINT: begin_shutdown,
            signal.SIGHUP: self.reload,
        }
        self.loop.on_signals(calls)
        self.loop.descriptors.hold_spares()
        # The port that was bound: with a configured port of 0 the system chooses one.
        self.log.line("listens on {}:{}".format(*self.downstream.sock.getsockname()[:2]))
        self.loop.run()
        self.end()

    def end(self) -> None:
        """Close connections, sockets and files, after the loop has stopped."""
        self.is_reducing = True  # no event is reduced any more
        self.upstream.pool.close()
        if self.handover is not None:
            self.handover.close()
        if self.membership is not None:
            self.membership.close()
        self.loop.finish()
        self.loop.descriptors.drop_spares()
        if self.durable_state is not None:
            self.durable_state.store.close()

    def reload(self) -> None:
        """Read the configuration file again and apply it if it is valid."""
        self.settings_reload.reload()

    def adopt(self, config: Config) -> None:
        """Apply a new configuration to all parts of the node."""
        self.config = config
        self.guard.deployment = config.deployment
        self.counters.declare_classes(config.deployment.types)
        self.apply_process_count()
        self.discovery.configure(config)

    def process_count(self) -> int:
        """Return how many processes serve as this node, this one included."""
        return self.handover.process_count() if self.handover is not None else 1

    def apply_process_count(self) -> None:
        """Set this process's share of the node's limits and budgets by the present number of processes."""
        deployment, processes = self.config.deployment, self.process_count()
        limits = connection_limits(self.config, processes)
        self.post(core.SettingsChanged(settings_for_process(deployment.settings, processes)))
        self.downstream.configure(deployment, limits.clients)
        self.upstream.configure(deployment, limits.servers)

    def apply_client_limits(self) -> None:
        """Restore the configured limit of client connections, after a shortage of descriptors."""
        limits = connection_limits(self.config, self.process_count())
        self.downstream.configure(self.config.deployment, limits.clients)

    # For operators.

    def is_ready(self) -> bool:
        """Return whether the node accepts clients: it listens, has servers and does not drain."""
        return (
            bool(self.discovery.entries and self.downstream.listener) and self.downstream.drain_timer is None
        )

    def figures(self) -> str:
        """Return the counters, present gauges and counts of violated invariants as text, one a line."""
        entries = self.discovery.entries
        gauges = {
            "pending": len(self.requests.pending),
            "members": len(entries),
            "members_unavailable": self.reducer.avoided_count(),
        }
        violations = {f"invariant_violations_total.{p.value}": n for p, n in self.violations.counts.items()}
        return self.counters.text(**gauges, **violations)

    def schedule_shadow_log(self) -> None:
        """Schedule the next log lines of the shadow policy, every `every_s` seconds of its settings."""
        if self.config.shadow is not None:
            self.loop.call_at(self.loop.now() + 1000.0 * self.config.shadow.every_s, self.log_shadow_policy)

    def log_shadow_policy(self) -> None:
        """Log how the shadow policy's decisions have differed so far, and schedule the next time."""
        for line in self.shadow_policy.lines() if self.shadow_policy is not None else ():
            self.log.line(line)
        self.schedule_shadow_log()

    # Events.

    def post(self, event: Event) -> None:
        """Queue an event; unless one is being reduced already, reduce all queued events in order.

        Reentrant: an effect may post further events, which are reduced after the present one.
        """
        self.events.append(event)
        if self.is_reducing:
            return
        self.is_reducing = True
        try:
            while self.events:
                self.process_event(self.events.popleft())
        finally:
            self.is_reducing = False
        self.downstream.key_turns.release_ended()

    def process_event(self, event: Event) -> None:
        """Reduce one event and carry out its effects; an exception in either ends only that one request."""
        try:
            effects: Sequence[NodeEffect] = self.reducer.reduce(self.loop.now(), event)
        except Exception:
            # Guards other clients against an exception in a decision; effects emitted before it still hold.
            self.loop.on_exception(traceback.format_exc())
            effects = [*self.reducer.effects, GiveUp(request_id_of(event))]
        for effect in effects:
            try:
                self.effects.carry_out(effect)
            except Exception:
                self.loop.on_exception(traceback.format_exc())
                self.requests.give_up(GiveUp(request_id_of(effect)))
