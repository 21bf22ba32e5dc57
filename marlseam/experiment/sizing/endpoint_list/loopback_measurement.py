"""Measures the cost of an endpoint list for real nodes on loopback."""

import http.client
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import NamedTuple

from marlseam.decisions.types import EndpointState
from marlseam.experiment.processes import RunFailedError
from marlseam.experiment.sizing.comparison import upper_median
from marlseam.experiment.sizing.endpoint_list.backend_server import BackendServer
from marlseam.experiment.sizing.endpoint_list.discovery_server import DiscoveryServer
from marlseam.experiment.sizing.endpoint_list.figures import LoopbackFigures
from marlseam.experiment.sizing.endpoint_list.settings import EndpointListSizes
from marlseam.experiment.sizing.endpoint_list.source import EndpointListSource
from marlseam.experiment.sizing.loopback_nodes import LoopbackNodes, node_config
from marlseam.experiment.sizing.process_usage import process_cpu_ms
from marlseam.net import protocol

SINGLE_NODE = "single"
REQUEST_CLASSES = ("urgent", "task")  # classes of the requests, used in turn
DEADLINE_S = "5"  # time to the deadline in seconds, as text of the header
CALL_TIMEOUT_S = 10.0
US_PER_MS = 1000.0
HTTP_OK = 200


class RequestNotCompletedError(RunFailedError):
    """A node answered a request with another HTTP status than 200.

    Attributes:
        status: the HTTP status of the answer.
    """

    def __init__(self, status: int) -> None:
        self.status = status
        super().__init__(f"a node answered a request with HTTP status {status}, expected 200")


class ChangeCost(NamedTuple):
    """The cost of a change of the list for a group of nodes.

    Attributes:
        cpu_ms: processor time of a node, the median over all nodes.
        all_applied_ms: time until all nodes have applied the change.
    """

    cpu_ms: float
    all_applied_ms: float


class GroupCost(NamedTuple):
    """The cost of an endpoint list for a group of nodes.

    Attributes:
        whole: the cost of the whole list.
        single: the cost of each change of one entry.
        gone, back: the cost of a zone's servers being gone, and being back.
        memory_mb: growth of a node's resident memory for the whole list, the median.
        process_mb: a node's resident memory after that, the median.
        longest_turn_ms: the longest turn of any node.
    """

    whole: ChangeCost
    single: list[ChangeCost]
    gone: ChangeCost
    back: ChangeCost
    memory_mb: float
    process_mb: float
    longest_turn_ms: float


class RequestCost(NamedTuple):
    """The cost of requests for a node.

    Attributes:
        cpu_us: processor time of the node per request.
        probes, attempts: the number sent per request.
    """

    cpu_us: float
    probes: float
    attempts: float


class SingleNodeCost(NamedTuple):
    """The cost of an endpoint list for a node that runs without other nodes.

    Attributes:
        request: the cost of its requests.
        longest_turn_ms: its longest turn.
    """

    request: RequestCost
    longest_turn_ms: float


def measure_on_loopback(
    settings: EndpointListSizes, count: int, seed: int, directory: Path
) -> LoopbackFigures:
    """Return the cost of a list of `count` servers for real nodes, whose files are written to `directory`."""
    group = measure_group(settings, count, seed, directory)
    single_node = measure_single_node(settings, count, seed, directory)
    return LoopbackFigures(
        whole_ms=group.whole.cpu_ms,
        whole_all_ms=group.whole.all_applied_ms,
        memory_mb=group.memory_mb,
        process_mb=group.process_mb,
        one_ms=upper_median([cost.cpu_ms for cost in group.single]),
        one_all_ms=max(cost.all_applied_ms for cost in group.single),
        thousand_ms=group.gone.cpu_ms,
        thousand_all_ms=group.gone.all_applied_ms,
        thousand_back_ms=group.back.cpu_ms,
        thousand_back_all_ms=group.back.all_applied_ms,
        crowded_turn_ms=group.longest_turn_ms,
        unit_us=single_node.request.cpu_us,
        unit_probes=single_node.request.probes,
        unit_sends=single_node.request.attempts,
        whole_turn_ms=single_node.longest_turn_ms,
    )


class NodeGroup:
    """Real nodes that get their endpoint list from one discovery server."""

    def __init__(self, discovery: DiscoveryServer, nodes: LoopbackNodes, count: int, seed: int) -> None:
        """Start `count` nodes, and wait until each holds the first version of the list."""
        self._discovery, self._nodes, self._count = discovery, nodes, count
        for i in range(count):
            name = f"n{i}"
            nodes.start(name, node_config(name, discovery.address, count, seed + i))
        nodes.wait_until_listening()
        discovery.wait_until_applied(version=1, nodes=count)

    def measure_change(self, change: Callable[[], None], whole: bool = False) -> ChangeCost:
        """Change the list, wait until all nodes have applied the change, and return the cost."""
        before_ms = self._nodes.cpu_ms()
        all_applied_ms = self._discovery.publish(change, whole, self._count)
        after_ms = self._nodes.cpu_ms()
        spent_ms = [after_ms[name] - before_ms[name] for name in before_ms]
        return ChangeCost(upper_median(spent_ms), all_applied_ms)


def measure_group(settings: EndpointListSizes, count: int, seed: int, directory: Path) -> GroupCost:
    """Return the cost of the whole list, of single changes and of changes of a zone for a group of nodes."""
    source = EndpointListSource(count)
    source.change_next_entry()  # the nodes first hold a list of one server
    discovery, nodes = DiscoveryServer(source), LoopbackNodes(directory)
    try:
        group = NodeGroup(discovery, nodes, settings.real, seed)
        before_mb = nodes.resident_mb()
        whole = group.measure_change(source.list_all, whole=True)
        after_mb = nodes.resident_mb()
        single = [group.measure_change(source.change_next_entry) for _ in range(settings.real_changes)]
        gone = group.measure_change(partial(source.change_zone, EndpointState.GONE))
        back = group.measure_change(partial(source.change_zone, EndpointState.READY))
    finally:
        discovery.close()
        nodes.stop()
    return GroupCost(
        whole=whole,
        single=single,
        gone=gone,
        back=back,
        memory_mb=upper_median([after_mb[name] - before_mb[name] for name in before_mb]),
        process_mb=upper_median(list(after_mb.values())),
        longest_turn_ms=max(nodes.longest_turns_ms(settings.real)),
    )


def measure_single_node(
    settings: EndpointListSizes, count: int, seed: int, directory: Path
) -> SingleNodeCost:
    """Make one node apply the whole list and then handle requests, and return the cost."""
    backend = BackendServer()
    source = EndpointListSource(count, backend.address)
    source.change_next_entry()
    discovery, nodes = DiscoveryServer(source), LoopbackNodes(directory)
    try:
        node = nodes.start(SINGLE_NODE, node_config(SINGLE_NODE, discovery.address, 1, seed))
        nodes.wait_until_listening()
        discovery.wait_until_applied(version=1, nodes=1)
        discovery.publish(source.list_all, whole=True, nodes=1)
        address = nodes.address(SINGLE_NODE)
        request = measure_requests(node.process.pid, address, backend, settings.real_units)
    finally:
        discovery.close()
        backend.close()
        nodes.stop()
    return SingleNodeCost(request, nodes.longest_turns_ms(1)[0])


def measure_requests(pid: int, address: str, backend: BackendServer, count: int) -> RequestCost:
    """Send `count` requests to a node, and return their cost.

    As many requests precede them unmeasured, until the node has as many connections as its limit allows.
    """
    client = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    send_requests(client, count)
    before_ms, probes, attempts = process_cpu_ms(pid), backend.probes, backend.attempts
    send_requests(client, count)
    cost = RequestCost(
        cpu_us=US_PER_MS * (process_cpu_ms(pid) - before_ms) / count,
        probes=(backend.probes - probes) / count,
        attempts=(backend.attempts - attempts) / count,
    )
    client.close()
    return cost


def send_requests(client: http.client.HTTPConnection, count: int) -> None:
    """Send requests one after another; raises RequestNotCompletedError for an answer other than 200."""
    for i in range(count):
        request_class = REQUEST_CLASSES[i % len(REQUEST_CLASSES)]
        headers = {
            protocol.CORRELATION_ID_HEADER: f"u{i}",
            protocol.SERVICE_CLASS_HEADER: request_class,
            protocol.TIME_LEFT_HEADER: DEADLINE_S,
        }
        client.request("POST", f"/{request_class}", b"", headers)
        answer = client.getresponse()
        answer.read()
        if answer.status != HTTP_OK:
            raise RequestNotCompletedError(answer.status)
