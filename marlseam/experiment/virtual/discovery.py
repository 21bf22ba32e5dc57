"""Discovery in virtual time: the endpoint list, calls of nodes, and updates sent to watching nodes."""

from marlseam import core, records
from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState, ListUpdateKind
from marlseam.experiment.virtual.nodes import NodeRunner
from marlseam.experiment.virtual.state import SimulatedNode
from marlseam.experiment.virtual.world import VirtualWorld
from marlseam.simulation.discovery import EndpointList
from marlseam.simulation.faults import ListChange

MIN_UPDATE_GAP_MS = 100.0  # minimum between two updates to one watching node
MAX_FAILED_CALL_MS = 50.0  # maximum time until a call that is not served fails


class DiscoveryService:
    """Serves the endpoint list to nodes.

    Attributes:
        endpoints: the endpoint list.
    """

    def __init__(self, world: VirtualWorld, nodes: NodeRunner, doubt: float) -> None:
        """List the servers that are up; `doubt` is that of nodes about the saved list they start from."""
        self._world, self._nodes, self._doubt = world, nodes, doubt
        ready = [
            self._entry(name, EndpointState.READY, None)
            for name, server in world.servers.items()
            if server.model.is_up
        ]
        self._gone = [self._entry(name, EndpointState.READY, None) for name in world.gone_servers]
        self.endpoints = EndpointList(ready, world.day.roster.calls_per_s, world.day.roster.timeout_ms)

    def _entry(self, name: str, state: EndpointState, started_ms: float | None) -> EndpointEntry:
        """Return an endpoint list entry for a server."""
        server = self._world.servers[name]
        zone_index = self._world.day.fleet.zones.index(server.zone)
        return EndpointEntry(name, state, server.kind_index, zone_index, server.cell, started_ms)

    def initial_update(self) -> core.EndpointListUpdate:
        """Return the current list and the gone servers as a list that a node saved before its start."""
        entries = [*self.endpoints.answer_since(0).entries, *self._gone]
        return core.EndpointListUpdate(ListUpdateKind.CACHED, entries, self._doubt)

    def change(self, change: ListChange) -> None:
        """Apply a change to the list and schedule an update for each watching node."""
        world = self._world
        self.endpoints.add_entry(self._entry(change.server, change.state, change.started_ms))
        for node in world.nodes.values():
            if node.is_watching and not node.is_update_scheduled:
                node.is_update_scheduled = True
                due_ms = max(world.now_ms, node.last_update_ms + MIN_UPDATE_GAP_MS)
                world.queue.schedule(due_ms, self._update_watching, node, node.generation)

    def _update_watching(self, node: SimulatedNode, generation: int) -> None:
        """Send a scheduled update if the same process of the node still watches."""
        if node.generation != generation:
            return
        node.is_update_scheduled = False
        if node.is_watching and node.is_up:
            self._send_update(node)

    def call(self, node: SimulatedNode, _: core.WatchEndpoints) -> None:
        """Process a node's call for the list and its changes; schedule the answer or the failure."""
        world = self._world
        served_ms = self.endpoints.take_call(world.now_ms)
        is_served = served_ms is not None
        world.discovery_records.add(
            records.EndpointListCalled(t=world.now_ms, by="roster", node=node.name, served=is_served)
        )
        if served_ms is not None:
            world.queue.schedule(served_ms, self._serve, node, node.generation)
            return
        fails_ms = world.now_ms + min(world.day.roster.timeout_ms, MAX_FAILED_CALL_MS)
        failed = core.EndpointListUpdate(ListUpdateKind.FAILED, [])
        world.queue.schedule(fails_ms, self._nodes.post_to_generation, node, node.generation, failed)

    def _serve(self, node: SimulatedNode, generation: int) -> None:
        """Answer a node's call; the node watches the list from now on."""
        if node.is_running(generation):
            node.is_watching, node.is_update_scheduled = True, False
            self._send_update(node)

    def _send_update(self, node: SimulatedNode) -> None:
        """Send a node the changes since the version that it holds, or the full list."""
        world = self._world
        is_whole, entries = self.endpoints.answer_since(node.list_version)
        node.list_version, node.last_update_ms = self.endpoints.version(), world.now_ms
        for server, state in self.endpoints.departure_notices(node.name, is_whole, entries):
            world.discovery_records.add(
                records.ServerStateNotified(
                    t=world.now_ms, by="roster", node=node.name, executor=server, state=state.value
                )
            )
        kind = ListUpdateKind.FULL if is_whole else ListUpdateKind.DELTA
        self._nodes.post(node, core.EndpointListUpdate(kind, entries))

    def fail(self, from_ms: float, until_ms: float) -> None:
        """Serve no calls from `from_ms` to `until_ms`, and end all watches now."""
        self.endpoints.outages.append((from_ms, until_ms))
        for node in self._world.nodes.values():
            if node.is_watching:
                node.is_watching = False
                self._nodes.post(node, core.EndpointListUpdate(ListUpdateKind.FAILED, []))
