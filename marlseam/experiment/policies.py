"""Baseline policies for comparison with marlseam in the same simulation. No serving node can reach them.

Each baseline keeps the rules (what may be sent where, drains, slow start budgets, final answers) and places
requests by a textbook policy alone: without threshold, without a latency objective at the home server, and
with no probes except those of the policy. A request without an eligible server waits in the pending queue
and is answered at its deadline.
"""

from collections.abc import Callable

from marlseam.core import Reducer
from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.request_state import RequestState

NO_SERVER = -1  # in place of a server index
PROBED_COUNT = 2  # servers probed per request by the policy of two choices


class BaselineRequest(RequestState):
    """A request placed by a baseline policy."""

    dispatcher: "BaselineDispatcher"

    def place(self) -> None:
        """Send to a usable, eligible server of the policy's choice; call `retry` if no attempt is allowed."""
        self.is_queued = False
        if not self.may_attempt():
            self.retry()
        else:
            self.choose_and_send()

    def choose_and_send(self) -> None:
        """Send the request to the server that the policy chooses, or add it to the pending queue."""
        server = self.choose_server(self.eligible_servers())
        if server == NO_SERVER:
            self.enqueue()
        else:
            self.send(server)

    def choose_server(self, servers: list[int]) -> int:
        """Return the server among `servers` that the policy chooses, NO_SERVER if there is none."""
        raise NotImplementedError

    def eligible_servers(self) -> list[int]:
        """Return the usable and eligible servers, those of the node's zone first."""
        dispatcher = self.dispatcher
        return [
            server
            for server in (*dispatcher.same_zone, *dispatcher.other_zones)
            if dispatcher.is_usable(server) and self.is_eligible(server)
        ]

    def draw(self, servers: list[int]) -> int:
        """Return a random one of `servers`, which must not be empty."""
        return servers[int(self.dispatcher.random() * len(servers))]


class BaselineDispatcher(Dispatcher):
    """A dispatcher that places requests by one of the baseline policies.

    Attributes:
        last_server: the server that round robin chose last, NO_SERVER before the first choice.
    """

    last_server = NO_SERVER


class RandomRequest(BaselineRequest):
    """A request sent to a random server."""

    def choose_server(self, servers: list[int]) -> int:
        """Return a random server."""
        return self.draw(servers) if servers else NO_SERVER


class RoundRobinRequest(BaselineRequest):
    """A request sent to the next server in round robin order."""

    def choose_server(self, servers: list[int]) -> int:
        """Return the next server after the one chosen last, in index order with wrap-around."""
        if not servers:
            return NO_SERVER
        last = self.dispatcher.last_server
        self.dispatcher.last_server = min(
            (server for server in servers if server > last), default=min(servers)
        )
        return self.dispatcher.last_server


class LeastRequestsRequest(BaselineRequest):
    """A request sent to the server with the fewest attempts of this node; ties are broken at random."""

    def choose_server(self, servers: list[int]) -> int:
        """Return the server with the fewest attempts of this node."""
        if not servers:
            return NO_SERVER
        own_attempts = self.dispatcher.own_attempts
        fewest = min(len(own_attempts[server]) for server in servers)
        return self.draw([server for server in servers if len(own_attempts[server]) == fewest])


class TwoChoicesRequest(BaselineRequest):
    """A request sent to the less loaded, by its load report, of two random servers that are probed."""

    def choose_and_send(self) -> None:
        """Probe two random servers; the request is sent when the probes have ended."""
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
        """Send to the probed server with the smaller count; enqueue if none is still usable and eligible."""
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
    """Return a reducer class that places requests by a baseline policy."""

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
