"""The driver: connects the parts of a virtual run and plays a day."""

from collections.abc import Callable

from marlseam import core
from marlseam.configuration import deployment_from
from marlseam.core import Reducer
from marlseam.experiment.virtual.attempts import AttemptTransport
from marlseam.experiment.virtual.clients import ClientRunner
from marlseam.experiment.virtual.discovery import DiscoveryService
from marlseam.experiment.virtual.fault_injector import FaultInjector
from marlseam.experiment.virtual.lifecycle import NodeLifecycle
from marlseam.experiment.virtual.nodes import NodeRunner
from marlseam.experiment.virtual.probes import ProbeTransport
from marlseam.experiment.virtual.servers import ServerRunner
from marlseam.experiment.virtual.state import AttemptInFlight, SimulatedNode, SimulatedServer, StaleListStart
from marlseam.experiment.virtual.world import VirtualWorld
from marlseam.records import RecordStreams
from marlseam.simulation import faults, plan
from marlseam.simulation.model import Day, node_settings, placed_nodes

END_SLACK_MS = 1000.0  # from the last possible deadline of a request to the end of the run


class VirtualDriver:
    """Plays one day. A subclass may override `make_node` and the steps of `DriverHooks`.

    Attributes:
        day: the day.
        make_reducer: returns the reducer of a node's process; experiments replace it to play other policies.
        schedule: the scheduled faults of the day.
        world: the state shared by the parts.
    """

    def __init__(
        self,
        day: Day,
        seed: int,
        streams: RecordStreams,
        make_reducer: Callable[[], Reducer] = Reducer,
        stale_list: StaleListStart | None = None,
    ) -> None:
        """Prepare a run with records in `streams`; with `stale_list`, nodes start from an outdated list."""
        self.day, self.make_reducer = day, make_reducer
        self.schedule = faults.schedule(day, seed)
        self.world = world = VirtualWorld(day, seed, streams)
        world.add_servers(self.schedule)
        if stale_list is not None:
            world.add_gone_servers(stale_list.gone_count)
        for name, zone in placed_nodes(day):
            world.nodes[name] = self.make_node(name, zone)
        self._connect_parts(0.0 if stale_list is None else stale_list.doubt)

    def _connect_parts(self, doubt: float) -> None:
        """Create the parts and register which of them handles each type of effect of the nodes."""
        world = self.world
        nodes = NodeRunner(world)
        self._servers = ServerRunner(world)
        self._attempts = AttemptTransport(world, nodes, self._servers, self)
        self._clients = ClientRunner(world, nodes)
        self._discovery = DiscoveryService(world, nodes, doubt)
        probes = ProbeTransport(world, nodes, self._servers)
        self._lifecycle = NodeLifecycle(
            world, self.make_reducer, nodes, self._attempts, self._clients, self._discovery
        )
        self._fault_injector = FaultInjector(
            world, self.schedule, self, self._servers, self._attempts, self._discovery, self._lifecycle
        )
        nodes.effect_handlers |= {
            core.SendAttempt: self._attempts.send,
            core.CancelAttempt: self._attempts.cancel,
            core.Respond: self._clients.reply,
            core.Reject: self._clients.reply,
            core.Fail: self._clients.reply,
            core.Probe: probes.send,
            core.WatchEndpoints: self._discovery.call,
        }

    @property
    def now_ms(self) -> float:
        """The current time in ms since the start of the run."""
        return self.world.now_ms

    @property
    def event_count(self) -> int:
        """The number of events played so far."""
        return self.world.queue.played_count

    def run(self, arrivals: list[plan.Arrival] | None = None) -> float:
        """Play the day until all clients have ended; return the time of the last event in ms.

        `arrivals` replaces the arrivals planned from the day and the seed.
        """
        if arrivals is None:
            arrivals = plan.make_arrivals(self.day, self.world.seed, faults.surges(self.schedule))
        queue = self.world.queue
        for node in self.world.nodes.values():
            self._lifecycle.start(node)
        self._fault_injector.schedule_all()
        for change in faults.listings(self.day, self.schedule):
            queue.schedule(change.at, self._discovery.change, change)
        for arrival in arrivals:
            queue.schedule(arrival.at, self._clients.arrive, arrival)
        max_deadline_ms = max(request_class.limit_ms for request_class in self.day.types)
        queue.run_until(1000.0 * self.day.seconds + max_deadline_ms + END_SLACK_MS)
        self.world.streams.end(self.now_ms)
        return self.now_ms

    def make_node(self, name: str, zone: str) -> SimulatedNode:
        """Return a new node with the day's settings."""
        deployment = deployment_from(node_settings(self.day, zone))
        return SimulatedNode(name, zone, deployment, self.make_reducer())

    def deliver(self, attempt: AttemptInFlight) -> None:
        """Deliver an attempt to its server."""
        self._attempts.deliver(attempt)

    def crash(self, server: SimulatedServer) -> None:
        """Crash a server's process and break its connections."""
        self._servers.crash(server)
        self._attempts.server_crashed(server)

    def start_server(self, server: SimulatedServer) -> None:
        """Start a server's process, which begins in slow start."""
        self._servers.start(server)
