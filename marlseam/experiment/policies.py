"""Baseline policies for comparison with marlseam in the same simulation. Never reachable from a serving node.

Each keeps to the rules (what may be sent where, drains, slow start budgets, final answers) and places
requests by a textbook policy alone: no threshold, no latency objective at home, no probes but the policy's
own. A request that finds no server waits in the pending queue, and is answered at its deadline.
"""

from collections.abc import Callable

from marlseam.core import Reducer
from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.request_state import RequestState

NO_SERVER = -1
PROBED_COUNT = 2  # servers that the policy of two choices probes


class BaselineRequest(RequestState):
    """A request placed by a baseline policy."""

    dispatcher: "BaselineDispatcher"

    def place(self) -> None:
        """Send to the policy's choice among usable, eligible servers."""
        self.is_queued = False
        if not self.may_attempt():
            self.retry()
        else:
            self.choose_and_send()

    def choose_and_send(self) -> None:
        """Send to the policy's choice, or wait in the pending queue."""
        server = self.choose_server(self.eligible_servers())
        if server == NO_SERVER:
            self.enqueue()
        else:
            self.send(server)

    def choose_server(self, servers: list[int]) -> int:
        """Return the server among these that the policy chooses, NO_SERVER for none."""
        raise NotImplementedError

    def eligible_servers(self) -> list[int]:
        """Return the usable, eligible servers, those of the node's own zone first."""
        dispatcher = self.dispatcher
        return [
            server
            for server in (*dispatcher.same_zone, *dispatcher.other_zones)
            if dispatcher.is_usable(server) and self.is_eligible(server)
        ]

    def draw(self, servers: list[int]) -> int:
        """Return one of these servers at random; there must be one."""
        return servers[int(self.dispatcher.random() * len(servers))]


class BaselineDispatcher(Dispatcher):
    """A dispatcher that places requests by one of the baseline policies.

    Attributes:
        last_server: the server that was chosen last where servers are chosen in turn, NO_SERVER for none.
    """

    last_server = NO_SERVER


class RandomRequest(BaselineRequest):
    """Any server, at random."""

    def choose_server(self, servers: list[int]) -> int:
        """Return one at random."""
        return self.draw(servers) if servers else NO_SERVER


class RoundRobinRequest(BaselineRequest):
    """The servers in turn."""

    def choose_server(self, servers: list[int]) -> int:
        """Return the next one after the last."""
        if not servers:
            return NO_SERVER
        last = self.dispatcher.last_server
        self.dispatcher.last_server = min(
            (server for server in servers if server > last), default=min(servers)
        )
        return self.dispatcher.last_server


class LeastRequestsRequest(BaselineRequest):
    """The server with the fewest attempts of this node's own; among equals one at random."""

    def choose_server(self, servers: list[int]) -> int:
        """Return the one with the fewest."""
        if not servers:
            return NO_SERVER
        own_attempts = self.dispatcher.own_attempts
        fewest = min(len(own_attempts[server]) for server in servers)
        return self.draw([server for server in servers if len(own_attempts[server]) == fewest])


class TwoChoicesRequest(BaselineRequest):
    """Two servers at random are probed, and the one with the smaller count by its report is chosen."""

    def choose_and_send(self) -> None:
        """Probe two at random; the request is sent when they have answered."""
        servers = self.eligible_servers()
        probed: list[int] = []
        while servers and len(probed) < PROBED_COUNT:
            server = self.draw(servers)
            servers.remove(server)
            probed.append(server)
        if probed:
            self.probe(probed, self.send_to_less_loaded)
        else:
            self.enqueue()

    def send_to_less_loaded(self) -> None:
        """Send to the probed server with the smaller count, if one is still usable."""
        dispatcher = self.dispatcher
        usable = [
            server
            for server in self.probed_servers
            if dispatcher.is_usable(server) and self.is_eligible(server)
        ]
        if usable:
            self.send(min(usable, key=lambda server: (dispatcher.count(server), server)))
        else:
            self.enqueue()


def reducer_type(request_type: type[BaselineRequest]) -> Callable[[], Reducer]:
    """Return a type of reducer that places requests by a baseline policy."""

    class PolicyDispatcher(BaselineDispatcher):
        """The dispatcher of the policy."""

        request_state_type = request_type

    class PolicyReducer(Reducer):
        """The reducer of the policy."""

        dispatcher_type = PolicyDispatcher

    return PolicyReducer


POLICIES: dict[str, Callable[[], Reducer]] = {
    "marlseam": Reducer,
    "random (baseline)": reducer_type(RandomRequest),
    "round robin (baseline)": reducer_type(RoundRobinRequest),
    "least requests (baseline)": reducer_type(LeastRequestsRequest),
    "two choices (baseline)": reducer_type(TwoChoicesRequest),
}
