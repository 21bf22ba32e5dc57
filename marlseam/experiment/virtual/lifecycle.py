"""Starts, shutdowns, kills and reloads of simulated nodes."""

from collections.abc import Callable
from math import inf

from marlseam import core, records
from marlseam.core import Reducer
from marlseam.experiment.virtual.attempts import AttemptTransport
from marlseam.experiment.virtual.clients import ClientRunner
from marlseam.experiment.virtual.discovery import DiscoveryService
from marlseam.experiment.virtual.nodes import NodeRunner
from marlseam.experiment.virtual.state import SimulatedNode
from marlseam.experiment.virtual.world import VirtualWorld
from marlseam.net.graceful_shutdown import ANSWER_MS, MAX_DRAIN_MS
from marlseam.simulation.random_streams import random_stream

RESTART_MS = 300.0  # minimum time from a node's end until its next process starts
LISTENING_AFTER_SHUTDOWN_MS = 350.0  # from the start of a shutdown until no client picks the node
EXIT_MS = 100.0  # from the end of a shutdown until the process has exited
SEED_BOUND = 1 << 62  # exclusive upper bound of a reducer's seed


class NodeLifecycle:
    """Starts, shuts down, kills and reloads the processes of nodes."""

    def __init__(
        self,
        world: VirtualWorld,
        make_reducer: Callable[[], Reducer],
        nodes: NodeRunner,
        attempts: AttemptTransport,
        clients: ClientRunner,
        discovery: DiscoveryService,
    ) -> None:
        """Connect the parts; `make_reducer` returns the reducer of a new process."""
        self._world, self._make_reducer, self._nodes = world, make_reducer, nodes
        self._attempts, self._clients, self._discovery = attempts, clients, discovery

    def start(self, node: SimulatedNode) -> None:
        """Start a node's next process, with no state except a saved endpoint list."""
        node.generation += 1
        node.reducer = self._make_reducer()
        node.is_up, node.is_watching = True, False
        node.idle_connections, node.tries, node.list_version = {}, {}, 0
        self._record(node, "began")
        rng = random_stream(self._world.seed, "node", node.name, node.generation)
        reducer_seed = int(rng.integers(SEED_BOUND))
        self._nodes.post(node, core.NodeStarted(node.deployment.settings, reducer_seed))
        self._nodes.post(node, self._discovery.initial_update())
        if node.generation > 1:
            self._world.load_balancer.mark_up(node.name)

    def kill(self, node: SimulatedNode) -> None:
        """End a node's process at once, without a shutdown."""
        self._end(node, "killed")

    def shut_down(self, node: SimulatedNode) -> None:
        """Begin a node's graceful shutdown; it takes the longest request limit, up to `MAX_DRAIN_MS`."""
        world = self._world
        node.earliest_start_ms = world.now_ms + 1000.0 * world.day.fleet.roll_s
        max_deadline_ms = max(request_class.limit_ms for request_class in world.day.types)
        shutdown_ms = min(MAX_DRAIN_MS, max_deadline_ms) + ANSWER_MS
        self._nodes.post(node, core.ShutdownBegun(shutdown_ms))
        closes_ms = world.now_ms + LISTENING_AFTER_SHUTDOWN_MS
        # Marked as down since -inf, so that the load balancer does not pick the node from then on.
        world.queue.schedule(closes_ms, world.load_balancer.mark_down, node.name, -inf)
        world.queue.schedule(world.now_ms + shutdown_ms + EXIT_MS, self._end, node, "ended")

    def reload_settings(self, node: SimulatedNode) -> None:
        """Make a node reload its settings, which have not changed."""
        changed = core.SettingsChanged(node.deployment.settings)
        self._nodes.post_to_generation(node, node.generation, changed)

    def _end(self, node: SimulatedNode, recorded_state: str) -> None:
        """End a node's process, break its connections and schedule the start of its next process."""
        world = self._world
        self._record(node, recorded_state)
        world.load_balancer.mark_down(node.name, world.now_ms)
        node.is_up = False
        self._attempts.node_ended(node)
        self._clients.node_ended(node)
        starts_ms = max(world.now_ms + RESTART_MS, node.earliest_start_ms)
        world.queue.schedule(starts_ms, self.start, node)

    def _record(self, node: SimulatedNode, state: str) -> None:
        """Record a change of a node's state."""
        self._world.driver_records.add(
            records.NodeStateChanged(
                t=self._world.now_ms, by="driver", node=node.name, state=state, zone=node.zone
            )
        )
