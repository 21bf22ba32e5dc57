"""The simulated state: nodes, servers, tries of clients and attempts in flight.

All times are in ms since the start of the run.
"""

from dataclasses import dataclass, field
from math import inf

from marlseam.configuration import Deployment
from marlseam.core import Reducer
from marlseam.simulation.clients import Client
from marlseam.simulation.server import Server


@dataclass(frozen=True)
class StaleListStart:
    """The outdated endpoint list that nodes start from.

    Attributes:
        gone_count: the number of entries whose servers are gone.
        doubt: the probability that an entry is no longer true.
    """

    gone_count: int
    doubt: float


@dataclass
class AttemptInFlight:
    """One attempt in flight between a node and a server.

    Attributes:
        node: the node that sent the attempt.
        generation: the generation of the node's process that sent the attempt; later processes receive no
            events of the attempt.
        request_id: the id of the try.
        attempt_index: the index of the attempt among the attempts of the try.
        server: the server.
        deadline_ms: the time at which the node gives the attempt up.
        silence_deadline_ms: the time at which the node gives the attempt up unless the server accepts the
            attempt or reports progress before.
        reuses_connection: whether the attempt was sent on an idle connection.
        is_written: whether the attempt has been written to a connection.
        is_open: whether the node still waits for the end of the attempt.
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
        """The id of the attempt's job at the server; no later process of a node uses the same id."""
        return attempt_job_id(self.request_id, self.attempt_index)

    @property
    def give_up_ms(self) -> float:
        """The time at which the node gives the attempt up: the earlier of its two deadlines."""
        return min(self.deadline_ms, self.silence_deadline_ms)


def attempt_job_id(request_id: str, attempt_index: int) -> str:
    """Return the id of an attempt's job at its server, in the format of `simulation.fleet.job`."""
    return f"{request_id}/{attempt_index}"


@dataclass
class SimulatedServer:
    """A server and its connections.

    Attributes:
        model: the model of the server's behaviour.
        kind_index: the index of the server's kind in the day.
        zone: the zone of the server.
        cell: the number of the server's cell.
        connection_count: the number of open connections to the server.
        next_event_ms: the earliest time for which an event of the model is scheduled, inf if there is none.
        attempts: the attempts in flight to the server, by job id.
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
        """The name of the server."""
        return self.model.name


@dataclass
class SimulatedNode:
    """A node, with the reducer of its current process.

    Attributes:
        name: the name of the node.
        zone: the zone of the node.
        deployment: the settings of the node.
        reducer: the reducer of the current process.
        generation: the number of the current process, from 1; 0 before the first start.
        is_up: whether the current process runs.
        list_version: the version of the endpoint list that the process holds, 0 for none.
        is_watching: whether the process watches the endpoint list.
        last_update_ms: the time of the last list update sent to the node.
        is_update_scheduled: whether a list update is scheduled.
        earliest_start_ms: the earliest start of the next process.
        idle_connections: the number of open connections without an attempt, by server name.
        tries: the open tries of clients at the node, by id.
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
        """Return whether the process of the given generation still runs."""
        return self.is_up and self.generation == generation


@dataclass
class ClientTry:
    """A try that a client has sent and that has not been answered yet.

    Attributes:
        client: the client.
        id: the id of the try.
        node: the node that the try was sent to.
        generation: the generation of the node's process at the time of sending.
        is_open: whether the client still waits for the answer.
    """

    client: Client
    id: str
    node: SimulatedNode
    generation: int
    is_open: bool = True
