"""Measures the cost of an endpoint list for an in-process node."""

import gc
from functools import partial
from pathlib import Path
from typing import NamedTuple

from marlseam.decisions.types import EndpointState
from marlseam.experiment.sizing.comparison import upper_median
from marlseam.experiment.sizing.endpoint_list.figures import InProcessFigures
from marlseam.experiment.sizing.endpoint_list.in_process_node import InProcessNode
from marlseam.experiment.sizing.endpoint_list.settings import EndpointListSizes
from marlseam.experiment.sizing.endpoint_list.source import EndpointListSource
from marlseam.experiment.sizing.process_usage import resident_mb

WARM_UP_DIVISOR = 10  # measured requests per request of the warm-up before them
US_PER_MS = 1000.0


class AnswerCost(NamedTuple):
    """The cost of one answer of discovery for a node.

    Attributes:
        answer_bytes: the length of the answer on the wire.
        cpu_ms: processor time to apply the answer.
        longest_turn_ms: the longest turn while the answer is applied.
    """

    answer_bytes: int
    cpu_ms: float
    longest_turn_ms: float


class WholeListCost(NamedTuple):
    """The cost of the whole list for a node.

    Attributes:
        answer: the cost of the answer that holds the list.
        memory_mb: growth of the process's resident memory while the list is made and applied.
        process_mb: the process's resident memory after that.
    """

    answer: AnswerCost
    memory_mb: float
    process_mb: float


class RequestCost(NamedTuple):
    """The cost of the decisions for requests.

    Attributes:
        cpu_us: processor time of the reducer per request.
        longest_turn_ms: the reducer's longest turn.
        max_late_ms: the longest time between a turn's due time and its end.
        probes, attempts: the number sent per request.
    """

    cpu_us: float
    longest_turn_ms: float
    max_late_ms: float
    probes: float
    attempts: float


def measure_in_process(settings: EndpointListSizes, count: int, config_path: str) -> InProcessFigures:
    """Return the cost of a list of `count` servers for a node with the configuration file at `config_path`.

    Must be called in a separate process, since it measures that process's memory.
    """
    gc.freeze()  # a real node calls gc.freeze at its start too
    node, source = InProcessNode(Path(config_path)), EndpointListSource(count)
    # The node first holds a list of one server.
    source.change_next_entry()
    node.apply_answer(source.answer(0, whole=True))
    whole = measure_whole_list(node, source)
    single = [
        measure_answer(node, source.answer_after(source.change_next_entry)) for _ in range(settings.changes)
    ]
    gone = measure_zone_change(node, source, EndpointState.GONE)
    back = measure_zone_change(node, source, EndpointState.READY)
    counts = node.apply_answer_counting_reads(source.answer_after(source.change_next_entry))
    request = measure_requests(node, settings.units)
    node.close()
    return InProcessFigures(
        whole_bytes=float(whole.answer.answer_bytes),
        whole_ms=whole.answer.cpu_ms,
        whole_turn_ms=whole.answer.longest_turn_ms,
        memory_mb=whole.memory_mb,
        process_mb=whole.process_mb,
        one_ms=upper_median([cost.cpu_ms for cost in single]),
        one_turn_ms=upper_median([cost.longest_turn_ms for cost in single]),
        one_most_ms=max(cost.longest_turn_ms for cost in single),
        one_bytes=sum(cost.answer_bytes for cost in single) / settings.changes,
        thousand_bytes=float(gone.answer_bytes),
        thousand_ms=gone.cpu_ms,
        thousand_turn_ms=gone.longest_turn_ms,
        thousand_back_bytes=float(back.answer_bytes),
        thousand_back_ms=back.cpu_ms,
        thousand_back_turn_ms=back.longest_turn_ms,
        touched=float(counts.entries),
        reads=float(counts.reads),
        decision_us=request.cpu_us,
        decision_turn_ms=request.longest_turn_ms,
        decision_late_ms=request.max_late_ms,
        unit_probes=request.probes,
        unit_sends=request.attempts,
    )


def measure_answer(node: InProcessNode, answer: bytes) -> AnswerCost:
    """Make a node apply an answer, and return the cost."""
    before_ms = node.clock.begin_measurement()
    node.apply_answer(answer)
    return AnswerCost(len(answer), node.clock.cpu_ms - before_ms, node.clock.longest_turn_ms)


def measure_whole_list(node: InProcessNode, source: EndpointListSource) -> WholeListCost:
    """List all servers, make a node apply the whole list, and return the cost."""
    before_mb = resident_mb()
    source.list_all()
    cost = measure_answer(node, source.answer(0, whole=True))  # the answer itself is not kept
    return WholeListCost(cost, resident_mb() - before_mb, resident_mb())


def measure_zone_change(node: InProcessNode, source: EndpointListSource, state: EndpointState) -> AnswerCost:
    """Change the state of a zone's servers, make a node apply the change, and return the cost."""
    return measure_answer(node, source.answer_after(partial(source.change_zone, state)))


def measure_requests(node: InProcessNode, count: int) -> RequestCost:
    """Make a node handle `count` requests, and return their cost.

    A tenth as many requests precede them unmeasured, because a node learns and probes more at first.
    """
    node.clock.clear_backlog()
    node.handle_requests(count // WARM_UP_DIVISOR)
    before_ms, probes, attempts = node.clock.begin_measurement(), node.probes, node.attempts
    node.handle_requests(count)
    return RequestCost(
        cpu_us=US_PER_MS * (node.clock.cpu_ms - before_ms) / count,
        longest_turn_ms=node.clock.longest_turn_ms,
        max_late_ms=node.clock.max_late_ms,
        probes=(node.probes - probes) / count,
        attempts=(node.attempts - attempts) / count,
    )
