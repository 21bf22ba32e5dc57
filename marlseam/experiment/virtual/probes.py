"""Probes between simulated nodes and servers: requests for a server's load report."""

from dataclasses import dataclass

from marlseam import core, records
from marlseam.decisions.types import LoadReport, Outcome
from marlseam.experiment.virtual.nodes import NodeRunner
from marlseam.experiment.virtual.servers import ServerRunner
from marlseam.experiment.virtual.state import SimulatedNode, SimulatedServer
from marlseam.experiment.virtual.world import VirtualWorld
from marlseam.net.upstream import PROBE_TIMEOUT_IN_OBJECTIVES


@dataclass(frozen=True)
class ProbeInFlight:
    """A probe in flight.

    Attributes:
        node: the node that sent the probe.
        generation: the generation of the node's process that sent the probe.
        server: the probed server.
        sent_ms: the time of sending.
        return_delay_ms: the network delay of the answer, in ms.
    """

    node: SimulatedNode
    generation: int
    server: SimulatedServer
    sent_ms: float
    return_delay_ms: float


class ProbeTransport:
    """Carries probes between nodes and servers.

    Attributes:
        timeout_ms: the time for which a node waits for the answer.
    """

    def __init__(self, world: VirtualWorld, nodes: NodeRunner, servers: ServerRunner) -> None:
        self._world, self._nodes, self._servers = world, nodes, servers
        min_objective_ms = min(request_class.promised_ms for request_class in world.day.types)
        self.timeout_ms = PROBE_TIMEOUT_IN_OBJECTIVES * min_objective_ms

    def send(self, node: SimulatedNode, effect: core.Probe) -> None:
        """Send a probe to a server."""
        world, server = self._world, self._world.servers[effect.server]
        delay_ms = world.delay_ms(node, server)
        return_delay_ms = world.delay_ms(node, server)
        probe = ProbeInFlight(node, node.generation, server, world.now_ms, return_delay_ms)
        world.queue.schedule(world.now_ms + delay_ms, self._arrive, probe)

    def _arrive(self, probe: ProbeInFlight) -> None:
        """Process a probe that reaches its server, and schedule its end."""
        world, server = self._world, probe.server
        answer_ms, timeout_at_ms = world.now_ms + probe.return_delay_ms, probe.sent_ms + self.timeout_ms
        if not world.is_delivered(probe.node, server) or answer_ms > timeout_at_ms:
            world.queue.schedule(timeout_at_ms, self._end, probe, Outcome.TIMED_OUT, None)
        elif not server.model.is_up:
            world.queue.schedule(answer_ms, self._end, probe, Outcome.UNREACHABLE, None)
        else:
            self._servers.advance(server)
            world.server_records(server).add(records.ProbeAnswered(t=world.now_ms, by=server.name))
            report = server.model.report(world.now_ms)
            answer_ms += world.day.reports.probe_ms
            world.queue.schedule(answer_ms, self._end, probe, Outcome.COMPLETED, report)

    def _end(self, probe: ProbeInFlight, outcome: Outcome, report: LoadReport | None) -> None:
        """Post the outcome of a probe to its node."""
        duration_ms = self._world.now_ms - probe.sent_ms
        ended = core.ProbeEnded(probe.server.name, outcome, duration_ms, report)
        self._nodes.post_to_generation(probe.node, probe.generation, ended)
