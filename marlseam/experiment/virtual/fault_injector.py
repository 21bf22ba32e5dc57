"""Applies the schedule of faults: the effects of the start and the end of each fault."""

from collections.abc import Callable

from marlseam import records
from marlseam.experiment.virtual.attempts import AttemptTransport
from marlseam.experiment.virtual.discovery import DiscoveryService
from marlseam.experiment.virtual.hooks import DriverHooks
from marlseam.experiment.virtual.lifecycle import NodeLifecycle
from marlseam.experiment.virtual.servers import ServerRunner
from marlseam.experiment.virtual.state import SimulatedNode, SimulatedServer
from marlseam.experiment.virtual.world import VirtualWorld
from marlseam.simulation import faults
from marlseam.simulation.faults import ScheduledFault

FaultHandler = Callable[[ScheduledFault, bool], None]


class FaultInjector:
    """Begins and ends faults.

    Other modules implement the rest: `simulation.faults` expands `flapping` and determines the behaviour of
    servers while a fault is active (`fault_effects`) and the changes of the endpoint list (`listings`);
    `simulation.plan` adds the arrivals of a `surge`. Unlike on sockets, a restored link resets no connection.
    """

    def __init__(
        self,
        world: VirtualWorld,
        schedule: list[ScheduledFault],
        hooks: DriverHooks,
        servers: ServerRunner,
        attempts: AttemptTransport,
        discovery: DiscoveryService,
        lifecycle: NodeLifecycle,
    ) -> None:
        self._world, self._schedule, self._hooks, self._servers = world, schedule, hooks, servers
        self._attempts, self._discovery, self._lifecycle = attempts, discovery, lifecycle
        self._handlers: dict[str, FaultHandler] = {
            "slow": self._change_behaviour,
            "errors": self._change_behaviour,
            "tail": self._change_behaviour,
            "neighbour": self._change_behaviour,
            "late_reports": self._change_behaviour,
            "false_reports": self._change_behaviour,
            "silent": self._silence_servers,
            "zone_cut": self._cut_zone,
            "slow_link": self._slow_links,
            "roster_outage": self._fail_discovery,
            "reset": self._reset_connections,
            "crash": self._crash_servers,
            "shrink": self._shrink,
            "grow": self._grow,
            "node_kill": self._kill_nodes,
            "node_roll": self._shut_nodes_down,
            "node_reload": self._reload_nodes,
        }

    def schedule_all(self) -> None:
        """Schedule the start and the end of each fault."""
        for fault in self._schedule:
            self._world.queue.schedule(fault.at, self._apply, fault, True)
            self._world.queue.schedule(fault.until, self._apply, fault, False)

    def _apply(self, fault: ScheduledFault, begins: bool) -> None:
        """Record the start of a fault, and call the handler of its kind, if any, at its start or end."""
        kind = fault.settings.what
        if begins:
            self._world.driver_records.add(
                records.FaultBegan(
                    t=self._world.now_ms,
                    by="driver",
                    kind=kind,
                    until=fault.until,
                    targets=fault.targets,
                    size=fault.settings.size,
                )
            )
        handler = self._handlers.get(kind)
        if handler is not None:
            handler(fault, begins)

    def _target_servers(self, fault: ScheduledFault) -> list[SimulatedServer]:
        """Return the servers that a fault affects."""
        servers = self._world.servers
        return [servers[name] for name in fault.targets if name in servers]

    def _target_nodes(self, fault: ScheduledFault) -> list[SimulatedNode]:
        """Return the nodes that a fault affects."""
        return [self._world.nodes[name] for name in fault.targets]

    # Servers.

    def _change_behaviour(self, fault: ScheduledFault, _: bool) -> None:
        """Apply the effects of all active faults to the speed and the reports of servers."""
        for server in self._target_servers(fault):
            self._servers.advance(server)
            now_ms = self._world.now_ms
            server.model.fault_effects = faults.fault_effects(self._schedule, server.name, now_ms)
            self._servers.reschedule(server)

    def _crash_servers(self, fault: ScheduledFault, begins: bool) -> None:
        """Crash servers at the start of a fault, and restart them at its end."""
        for server in self._target_servers(fault):
            if begins:
                self._crash_if_up(server)
            else:
                self._hooks.start_server(server)

    def _shrink(self, fault: ScheduledFault, begins: bool) -> None:
        """Make servers drain at the start of a fault, and end their processes at its end."""
        for server in self._target_servers(fault):
            if begins:
                self._servers.advance(server)
                server.model.is_draining = True
            else:
                self._crash_if_up(server)

    def _grow(self, fault: ScheduledFault, begins: bool) -> None:
        """Start servers that a fault adds to the day."""
        if begins:
            for server in self._target_servers(fault):
                self._hooks.start_server(server)

    def _crash_if_up(self, server: SimulatedServer) -> None:
        """Crash a server unless it is already down."""
        if server.model.is_up:
            self._hooks.crash(server)

    # Links.

    def _silence_servers(self, fault: ScheduledFault, begins: bool) -> None:
        """Make servers unreachable for all nodes, or reachable again."""
        links = self._world.links
        for server in self._target_servers(fault):
            links.set_blocked(links.silent, server.name, begins)

    def _cut_zone(self, fault: ScheduledFault, begins: bool) -> None:
        """Cut the links between a zone and the others, or restore them."""
        links, zone = self._world.links, fault.targets[0]
        links.set_blocked(links.cut_zones, zone, begins)
        self._world.network_records.add(
            records.LinkChanged(t=self._world.now_ms, by="network", a=zone, b="*", mended=not begins)
        )

    def _slow_links(self, fault: ScheduledFault, begins: bool) -> None:
        """Make the links of a zone slow and lossy, or restore them."""
        added_ms, lost_share = fault.settings.size, fault.settings.part
        self._world.links.set_zone_slow(fault.targets[0], added_ms, lost_share, begins)

    def _reset_connections(self, fault: ScheduledFault, begins: bool) -> None:
        """Break the connections to servers at the start of a fault."""
        if begins:
            for server in self._target_servers(fault):
                self._attempts.reset_connections(server)

    # Discovery.

    def _fail_discovery(self, fault: ScheduledFault, begins: bool) -> None:
        """Make discovery fail all calls until the fault ends."""
        if begins:
            self._discovery.fail(fault.at, fault.until)

    # Nodes.

    def _kill_nodes(self, fault: ScheduledFault, begins: bool) -> None:
        """Kill the target nodes that are up."""
        if begins:
            for node in self._target_nodes(fault):
                if node.is_up:
                    self._lifecycle.kill(node)

    def _shut_nodes_down(self, fault: ScheduledFault, begins: bool) -> None:
        """Begin the graceful shutdown of the target nodes that are up."""
        if begins:
            for node in self._target_nodes(fault):
                if node.is_up:
                    self._lifecycle.shut_down(node)

    def _reload_nodes(self, fault: ScheduledFault, begins: bool) -> None:
        """Make the target nodes reload their settings."""
        if begins:
            for node in self._target_nodes(fault):
                self._lifecycle.reload_settings(node)
