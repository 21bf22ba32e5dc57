"""What is simulated, as data: nodes, servers, the tries of clients and the attempts in flight.

All times are in ms from the run's begin.
"""

from dataclasses import dataclass, field
from math import inf

from marlseam.configuration import Deployment
from marlseam.core import Reducer
from marlseam.simulation.clients import Client
from marlseam.simulation.server import Server


@dataclass(frozen=True)
class StaleListStart:
    """Nodes start from an old endpoint list.

    Attributes:
        gone_count: how many of its entries are of servers that are gone.
        doubt: the chance that an entry is no longer true.
    """

    gone_count: int
    doubt: float


@dataclass
class AttemptInFlight:
    """One attempt on its way between a node and a server.

    Attributes:
        node: the node that sent it.
        generation: the node's generation then; a later one is told nothing of the attempt.
        request_id: the id of the try that it is of.
        attempt_index: its number among the attempts of the try.
        server: the server.
        deadline_ms: when the node gives it up.
        silence_deadline_ms: when the node gives it up unless the server shows a sign of life before.
        reuses_connection: whether it was sent on a connection that was open before.
        is_written: whether it was written to a connection.
        is_open: whether the node still waits for its end.
    """

    node: "SimulatedNode"
    generation: int
    request_id: str
    attempt_index: int
    server: "SimulatedServer"
    deadline_ms: float
    silence_deadline_ms: float
    reuses_connection: bool
    is_written: bool = False
    is_open: bool = True

    @property
    def job_id(self) -> str:
        """Return the id of its job at the server, which no later generation of a node uses again."""
        return attempt_job_id(self.request_id, self.attempt_index)

    @property
    def give_up_ms(self) -> float:
        """Return when the node gives it up if it hears nothing before."""
        return min(self.deadline_ms, self.silence_deadline_ms)


def attempt_job_id(request_id: str, attempt_index: int) -> str:
    """Return the id of an attempt's job at its server, as `simulation.fleet.job` makes it."""
    return f"{request_id}/{attempt_index}"


@dataclass
class SimulatedServer:
    """A server and its connections.

    Attributes:
        model: the server's own behaviour.
        kind_index: the index of its kind in the day.
        zone: its zone.
        cell: the number of its cell.
        connection_count: how many connections it holds.
        next_event_ms: the earliest time for which an event of its model is scheduled.
        attempts: the attempts in flight to it, by job id.
    """

    model: Server
    kind_index: int
    zone: str
    cell: int
    connection_count: int = 0
    next_event_ms: float = inf
    attempts: dict[str, AttemptInFlight] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Return its name."""
        return self.model.name


@dataclass
class SimulatedNode:
    """A node, with the reducer of its present process.

    Attributes:
        name: its name.
        zone: its zone.
        deployment: its settings.
        reducer: the reducer of the present process.
        generation: the number of that process.
        is_up: whether the process runs.
        list_version: the version of the endpoint list that the process holds, 0 for none.
        is_watching: whether it watches the endpoint list.
        last_update_ms: when it was last sent an update of the list.
        is_update_scheduled: whether an update of the list is due.
        earliest_start_ms: before which the next process does not start.
        idle_connections: how many open connections without an attempt it has to each server.
        tries: the tries of clients that are open at it, by id.
    """

    name: str
    zone: str
    deployment: Deployment
    reducer: Reducer
    generation: int = 0
    is_up: bool = True
    list_version: int = 0
    is_watching: bool = False
    last_update_ms: float = -inf
    is_update_scheduled: bool = False
    earliest_start_ms: float = 0.0
    idle_connections: dict[str, int] = field(default_factory=dict)
    tries: dict[str, "ClientTry"] = field(default_factory=dict)

    def is_running(self, generation: int) -> bool:
        """Return whether the process of some generation still runs."""
        return self.is_up and self.generation == generation


@dataclass
class ClientTry:
    """A try that a client sent and that is not answered yet.

    Attributes:
        client: the client.
        id: the try's id.
        node: the node that it was sent to.
        generation: the node's generation then.
        is_open: whether the client still waits for the answer.
    """

    client: Client
    id: str
    node: SimulatedNode
    generation: int
    is_open: bool = True
