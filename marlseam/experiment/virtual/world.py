"""The state shared by the parts of a virtual run: day, clock, links, records, nodes and servers."""

from marlseam.experiment.virtual.event_queue import EventQueue
from marlseam.experiment.virtual.state import SimulatedNode, SimulatedServer
from marlseam.records import RecordStreams, StreamWriter
from marlseam.simulation import fleet
from marlseam.simulation.clients import FrontLoadBalancer
from marlseam.simulation.faults import ScheduledFault
from marlseam.simulation.model import Day, RequestType, placed_nodes, placed_servers
from marlseam.simulation.network import Links
from marlseam.simulation.plan import Arrival
from marlseam.simulation.random_streams import random_stream

DELIVERY_SLACK_TICKS = 5.0  # tolerated delay of answers and sends, for the network between client and node
GONE_SERVERS_FIRST_CELL = 9000  # cells from here on contain one gone server each and no other server


class VirtualWorld:
    """The state shared by the parts of a virtual run.

    Attributes:
        day: the day that is played.
        seed: the seed of all random draws.
        queue: the clock and the scheduled calls.
        links: delays of messages, and cuts between zones.
        streams: the streams of records of the run.
        driver_records: the stream of the driver; `client_records`, `network_records` and `discovery_records`
            are the streams of the clients, the network and discovery.
        servers: the servers by name, including servers that are gone before the day begins.
        gone_servers: the names of the servers that are gone before the day begins.
        nodes: the nodes by name.
        load_balancer: the front load balancer of the clients.
        arrivals: the arrival of each try by the id of the try, including tries that have ended.
    """

    def __init__(self, day: Day, seed: int, streams: RecordStreams) -> None:
        """Create a world without servers and nodes, and begin the streams of records."""
        self.day, self.seed = day, seed
        self.queue = EventQueue()
        self.links = Links(day.network, random_stream(seed, "network"))
        self.streams = streams
        streams.rules = fleet.rule_settings(day, self.delivery_slack_ms)
        self.driver_records = self._begin_stream("driver", "driver")
        self.client_records = self._begin_stream("clients", "clients")
        self.network_records = self._begin_stream("network", "network")
        self.discovery_records = self._begin_stream("roster", "roster")
        self.servers: dict[str, SimulatedServer] = {}
        self.gone_servers: list[str] = []
        self.nodes: dict[str, SimulatedNode] = {}
        self.load_balancer = FrontLoadBalancer(_node_names_by_zone(day), 1000.0 * day.clients.notice_s)
        self.arrivals: dict[str, Arrival] = {}

    @property
    def now_ms(self) -> float:
        """The current time in ms since the start of the run."""
        return self.queue.now_ms

    @property
    def delivery_slack_ms(self) -> float:
        """The tolerated delay of answers and sends in ms, for the network between client and node."""
        return DELIVERY_SLACK_TICKS * self.day.rules.tick_ms

    def _begin_stream(self, writer: str, system: str) -> StreamWriter:
        """Begin the stream of one writer, labelled with its part of the system, and return the stream."""
        if writer not in self.streams.writers:
            self.streams.system = system
        return self.streams.of(writer)

    def server_records(self, server: SimulatedServer) -> StreamWriter:
        """Return the stream of a server."""
        return self.streams.writers[server.name]

    def add_servers(self, schedule: list[ScheduledFault]) -> None:
        """Add the day's servers and begin their streams; servers that a fault adds later are down."""
        models = fleet.build(self.day, self.seed, schedule)
        for placed in placed_servers(self.day):
            server = SimulatedServer(models[placed.name], placed.kind_index, placed.zone, placed.cell)
            self.servers[placed.name] = server
            self._begin_stream(placed.name, "executors")

    def add_gone_servers(self, count: int) -> None:
        """Add servers that are gone but still listed in outdated endpoint lists; they have no stream."""
        placed_by_day = placed_servers(self.day)
        for index in range(count):
            name, placed = f"gone-{index}", placed_by_day[index % len(placed_by_day)]
            model = fleet.make_server(self.day, self.seed, name, placed.kind, {})
            model.is_up = False
            cell = GONE_SERVERS_FIRST_CELL + index
            self.servers[name] = SimulatedServer(model, placed.kind_index, placed.zone, cell)
            self.gone_servers.append(name)

    def request_class(self, request_id: str) -> RequestType:
        """Return the request class of a try."""
        return self.day.types[self.arrivals[request_id].type]

    def is_reachable(self, node: SimulatedNode, server: SimulatedServer) -> bool:
        """Return whether messages currently pass between a node and a server."""
        return self.links.is_reachable(node.zone, server.name, server.zone)

    def is_delivered(self, node: SimulatedNode, server: SimulatedServer) -> bool:
        """Draw whether one message between a node and a server is delivered."""
        return self.is_reachable(node, server) and not self.links.is_lost(node.zone, server.zone)

    def delay_ms(self, node: SimulatedNode, server: SimulatedServer) -> float:
        """Draw the delay of one message between a node and a server, in ms."""
        return self.links.delay(node.zone, server.zone)


def _node_names_by_zone(day: Day) -> dict[str, list[str]]:
    """Return the names of a day's nodes, by zone."""
    names: dict[str, list[str]] = {}
    for node in placed_nodes(day):
        names.setdefault(node.zone, []).append(node.name)
    return names
