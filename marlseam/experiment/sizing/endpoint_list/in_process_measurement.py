"""Measures what an endpoint list costs an in-process node."""

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

WARM_UP_SHARE = 10  # of the requests, one in so many is taken before the measurement
US_PER_MS = 1000.0


class AnswerCost(NamedTuple):
    """What one answer of discovery costs a node.

    Attributes:
        answer_bytes: its length on the wire.
        cpu_ms: processor time to take it in.
        longest_turn_ms: the longest turn within that.
    """

    answer_bytes: int
    cpu_ms: float
    longest_turn_ms: float


class WholeListCost(NamedTuple):
    """What the whole list costs a node.

    Attributes:
        answer: what its answer costs.
        memory_mb: by how much the process has grown for it.
        process_mb: of the process after that.
    """

    answer: AnswerCost
    memory_mb: float
    process_mb: float


class RequestCost(NamedTuple):
    """What the decisions for requests cost.

    Attributes:
        cpu_us: processor time of the reducer for each request.
        longest_turn_ms: its longest turn.
        max_late_ms: how late it was at most.
        probes, attempts: sent for each request.
    """

    cpu_us: float
    longest_turn_ms: float
    max_late_ms: float
    probes: float
    attempts: float


def measure_in_process(settings: EndpointListSizes, count: int, config_path: str) -> InProcessFigures:
    """Return what a list of `count` servers costs; to be called in a process of its own."""
    gc.freeze()  # as a node does at its start
    node, source = InProcessNode(Path(config_path)), EndpointListSource(count)
    # The list that is held first has one server.
    source.change_next_entry()
    node.take_answer(source.answer(0, whole=True))
    whole = measure_whole_list(node, source)
    single = [
        measure_answer(node, source.answer_after(source.change_next_entry)) for _ in range(settings.changes)
    ]
    gone = measure_zone_change(node, source, EndpointState.GONE)
    back = measure_zone_change(node, source, EndpointState.READY)
    counts = node.take_answer_counting_reads(source.answer_after(source.change_next_entry))
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
    """Have a node take an answer in."""
    before_ms = node.clock.begin_measurement()
    node.take_answer(answer)
    return AnswerCost(len(answer), node.clock.cpu_ms - before_ms, node.clock.longest_turn_ms)


def measure_whole_list(node: InProcessNode, source: EndpointListSource) -> WholeListCost:
    """List all servers, and have a node take the whole list in."""
    before_mb = resident_mb()
    source.list_all()
    cost = measure_answer(node, source.answer(0, whole=True))  # which is not kept
    return WholeListCost(cost, resident_mb() - before_mb, resident_mb())


def measure_zone_change(node: InProcessNode, source: EndpointListSource, state: EndpointState) -> AnswerCost:
    """Change the state of a zone's servers, and have a node take that in."""
    return measure_answer(node, source.answer_after(partial(source.change_zone, state)))


def measure_requests(node: InProcessNode, count: int) -> RequestCost:
    """Have a node take requests, after some that are not measured: it learns and probes more at first."""
    node.clock.clear_backlog()
    node.take_requests(count // WARM_UP_SHARE)
    before_ms, probes, attempts = node.clock.begin_measurement(), node.probes, node.attempts
    node.take_requests(count)
    return RequestCost(
        cpu_us=US_PER_MS * (node.clock.cpu_ms - before_ms) / count,
        longest_turn_ms=node.clock.longest_turn_ms,
        max_late_ms=node.clock.max_late_ms,
        probes=(node.probes - probes) / count,
        attempts=(node.attempts - attempts) / count,
    )
