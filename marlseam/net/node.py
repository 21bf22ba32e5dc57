"""One real node: hands what happens on its sockets to the reducer and carries out the effects it asks for.

A node is wired here and nowhere else. Its life, and who has a part in each step:

- made: cluster, shadow policy, reducer, upstream, discovery, downstream, operators' calls;
- recovered: durable state, else the list in the configuration;
- begun: handover or listener, then the service of configuration versions;
- configured: invariants, counters, the process's share, discovery (`adopt`);
- shared: reducer, downstream, upstream, as processes of the node come and go (`apply_process_count`);
- shut down: marlseam/net/graceful_shutdown.py;
- ended: upstream, handover, membership, loop, descriptors, durable state (`end`).
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
    # A node that has no such part needs nothing of it: they are loaded where they are made.
    from marlseam.net.admin import Admin
    from marlseam.net.config_service import ConfigVersionService
    from marlseam.net.durable_state import DurableState
    from marlseam.net.membership_service import MembershipService
    from marlseam.net.process_handover import ProcessHandover
    from marlseam.shadow_policy import ShadowPolicy


def request_id_of(what: Event | NodeEffect) -> str:
    """Return the request that an event or an effect is of; "" where it is of none."""
    if type(what) is core.RequestArrived:
        return what.request.request_id
    return str(getattr(what, "request_id", ""))


class Node:
    """Joins the loop, the two sides of the network, discovery and the reducer.

    Attributes:
        config: the configuration in force.
        loop: the event loop; its clock is the node's.
        log: lines on standard error.
        counters: figures that only grow.
        reducer: the reducer, which takes every decision.
        requests: the requests without an answer.
        effects: carries out what the reducer asks for.
        guard: checks each attempt against the invariants; `violations` counts those broken.
        upstream: connections to servers, attempts and health checks.
        downstream: connections to clients.
        discovery: the endpoint list.
        service: whether clients are served.
        shutdown: the end of the process.
        shadow_policy: settings that are watched without effect; None where there are none.
        membership: the cluster's members; None in a node of no cluster.
        config_service: the cluster's versions of settings; None without a ledger.
        admin: operators' calls; None without an address for them.
        durable_state: what outlasts the process; None without a store.
        handover: other processes of this node; None where the socket is not shared.
        events: those that wait for the reducer.
        is_reducing: whether one is with the reducer, so that others wait; also once the node has ended.

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

    # The start.

    def join_cluster(self) -> None:
        """Join the cluster, and act from the start on the version that the ledger holds."""
        self.membership: MembershipService | None = None
        self.config_service: ConfigVersionService | None = None
        if self.config.cluster is None:
            return
        from marlseam.net.cluster_link import ClusterLink

        link = ClusterLink(self, self.config.cluster)
        self.membership, self.config_service = link.membership, link.config_service
        self.config = link.load_config()

    def make_reducer(self) -> None:
        """Make the reducer, and the shadow policy that follows it."""
        self.shadow_policy = self.make_shadow_policy()
        self.reducer = Reducer(self.shadow_policy)

    def make_shadow_policy(self) -> "ShadowPolicy | None":
        """Return the shadow policy that the settings ask for."""
        if self.config.shadow is None:
            return None
        from marlseam.shadow_policy import ShadowPolicy

        shadow_policy = ShadowPolicy(self.config.shadow.change)
        self.schedule_shadow_log()
        return shadow_policy

    def make_network(self) -> None:
        """Make both sides of the network and discovery; the clients' socket is bound, not listened on."""
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
        self.shortage = DescriptorShortage(loop, self.downstream, self.upstream, self.apply_client_limits)

    def make_admin(self) -> None:
        """Begin to answer operators' calls, where there is an address for them."""
        self.admin: Admin | None = None
        if self.config.admin is not None:
            from marlseam.net.admin_calls import open_admin

            self.admin = open_admin(self, self.config.admin)

    def recover(self) -> None:
        """Take up what the last process left, or the list that the configuration holds."""
        if self.config.store is None:
            self.discovery.begin()
            return
        from marlseam.net.durable_state import DurableState

        self.durable_state = DurableState(self, self.config.store)
        self.durable_state.recover()

    def begin(self) -> None:
        """Listen for clients, after other processes of this node have handed over."""
        if self.config.socket_fd is not None and self.config.folder is not None:
            from marlseam.net.process_handover import ProcessHandover

            self.handover = ProcessHandover(self, self.config.folder, self.take_over)
            self.handover.begin()
        else:
            with self.listen_error():
                self.downstream.listen()
        if self.config_service is not None:
            self.config_service.start()

    def listen_error(self) -> AbstractContextManager[None]:
        """Return a context in which an error of the clients' socket names the key at fault."""
        if self.config.socket_fd is not None:
            expected = "the number of a stream socket that listens"
            return config_error_on_failure(configuration.SOCKET, self.config.socket_fd, expected)
        return config_error_on_failure("listen", "{}:{}".format(*self.config.listen), "a free address")

    def take_over(self, snapshot: ListSnapshot) -> None:
        """Begin to serve, from the list that another process of this node has handed over."""
        if snapshot.rows and snapshot.version >= self.discovery.version and not self.discovery.is_confirmed:
            self.discovery.begin(snapshot)
        if not self.shutdown.is_ending:
            self.service.listen()

    # The life.

    def run(self) -> None:
        """Serve until told to end."""
        begin_shutdown = self.shutdown.begin
        calls: dict[int, Callable[[], None]] = {
            signal.SIGTERM: begin_shutdown,
            signal.SIGINT: begin_shutdown,
            signal.SIGHUP: self.reload,
        }
        self.loop.on_signals(calls)
        self.loop.descriptors.hold_spares()
        # As bound: a configured port 0 leaves the choice to the system.
        self.log.line("listens on {}:{}".format(*self.downstream.sock.getsockname()[:2]))
        self.loop.run()
        self.end()

    def end(self) -> None:
        """Give up what the node holds, after its loop has stopped."""
        self.is_reducing = True  # nothing is decided any more
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
        """Read the configuration anew."""
        self.settings_reload.reload()

    def adopt(self, config: Config) -> None:
        """Go on under a new configuration."""
        self.config = config
        self.guard.deployment = config.deployment
        self.counters.declare_classes(config.deployment.types)
        self.apply_process_count()
        self.discovery.configure(config)

    def processes(self) -> int:
        """Return how many processes serve as this node."""
        return self.handover.processes() if self.handover is not None else 1

    def apply_process_count(self) -> None:
        """Keep to this process's part of the node's limits and budgets, as others come and go."""
        deployment, processes = self.config.deployment, self.processes()
        limits = connection_limits(self.config, processes)
        self.post(core.SettingsChanged(settings_for_process(deployment.settings, processes)))
        self.downstream.configure(deployment, limits.clients)
        self.upstream.configure(deployment, limits.servers)

    def apply_client_limits(self) -> None:
        """Take as many clients as the settings say."""
        limits = connection_limits(self.config, self.processes())
        self.downstream.configure(self.config.deployment, limits.clients)

    # For operators.

    def is_ready(self) -> bool:
        """Return whether clients should come."""
        return bool(self.discovery.held and self.downstream.listener) and self.downstream.drain_timer is None

    def figures(self) -> str:
        """Return the figures, those of this moment included."""
        held = self.discovery.held
        now = {
            "pending": len(self.requests.pending),
            "members": len(held),
            "members_unavailable": self.reducer.avoided_count(),
        }
        violations = {f"invariant_violations_total.{p.value}": n for p, n in self.violations.counts.items()}
        return self.counters.text(**now, **violations)

    def schedule_shadow_log(self) -> None:
        """Have what the shadow policy would have decided otherwise logged after a while, again and again."""
        if self.config.shadow is not None:
            self.loop.at(self.loop.now() + 1000.0 * self.config.shadow.every_s, self.log_shadow_policy)

    def log_shadow_policy(self) -> None:
        """Log what the shadow policy would have decided otherwise so far."""
        for line in self.shadow_policy.lines() if self.shadow_policy is not None else ():
            self.log.line(line)
        self.schedule_shadow_log()

    # Events.

    def post(self, event: Event) -> None:
        """Hand an event to the reducer, after those before it, and carry out what it asks for."""
        self.events.append(event)
        if self.is_reducing:
            return
        self.is_reducing = True
        try:
            while self.events:
                self.step(self.events.popleft())
        finally:
            self.is_reducing = False

    def step(self, event: Event) -> None:
        """Reduce one event and carry out its effects; an error in either costs no other request anything."""
        try:
            effects: Sequence[NodeEffect] = self.reducer.reduce(self.loop.now(), event)
        except Exception:
            # Guards the clients against an error in a decision; what was decided before it holds.
            self.loop.fault(traceback.format_exc())
            effects = [*self.reducer.effects, GiveUp(request_id_of(event))]
        for effect in effects:
            try:
                self.effects.carry_out(effect)
            except Exception:
                self.loop.fault(traceback.format_exc())
                self.requests.give_up(GiveUp(request_id_of(effect)))
