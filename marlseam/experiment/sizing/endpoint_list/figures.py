"""The figures of an endpoint list of one length; their names are those in reports.

A name's last word is its unit: `_ms` and `_us` of processor time, `_mb` of memory, `_bytes` on the wire. An
answer tells the whole list (`whole`), one change (`one`), or that a zone's servers are gone (`thousand`) or
back (`thousand_back`). `turn` is the longest turn of the event loop for it.
"""

from dataclasses import asdict, dataclass


@dataclass(frozen=True)
class InProcessFigures:
    """What an in-process node shows.

    Attributes not named above:
        memory_mb, process_mb: what the whole list takes, and the process with it.
        one_most_ms: the longest turn of all single changes.
        touched, reads: entries of the node's tables that a single change reads, and how often in all.
        decision_us, decision_turn_ms, decision_late_ms: of the reducer for a request, its longest turn, and
            how late it was at most.
        unit_probes, unit_sends: probes and attempts a request.
    """

    whole_bytes: float
    whole_ms: float
    whole_turn_ms: float
    memory_mb: float
    process_mb: float
    one_ms: float
    one_turn_ms: float
    one_most_ms: float
    one_bytes: float
    thousand_bytes: float
    thousand_ms: float
    thousand_turn_ms: float
    thousand_back_bytes: float
    thousand_back_ms: float
    thousand_back_turn_ms: float
    touched: float
    reads: float
    decision_us: float
    decision_turn_ms: float
    decision_late_ms: float
    unit_probes: float
    unit_sends: float

    def by_name(self) -> dict[str, float]:
        """Return the figures by their names in reports, in order."""
        return asdict(self)


@dataclass(frozen=True)
class LoopbackFigures:
    """What real nodes show: the median over all nodes, or, from `unit_us` on, one that is alone.

    Attributes not named above:
        whole_all_ms, one_all_ms, thousand_all_ms, thousand_back_all_ms: time until all nodes have taken the
            answer in; the longest of all single changes.
        memory_mb, process_mb: what the whole list takes, and the process with it.
        crowded_turn_ms: the longest turn of any of the nodes.
        unit_us: processor time of a request.
        unit_probes, unit_sends: probes and attempts a request.
        whole_turn_ms: the longest turn of the node that is alone.
    """

    whole_ms: float
    whole_all_ms: float
    memory_mb: float
    process_mb: float
    one_ms: float
    one_all_ms: float
    thousand_ms: float
    thousand_all_ms: float
    thousand_back_ms: float
    thousand_back_all_ms: float
    crowded_turn_ms: float
    unit_us: float
    unit_probes: float
    unit_sends: float
    whole_turn_ms: float

    def by_name(self) -> dict[str, float]:
        """Return the figures by their names in reports, in order."""
        return asdict(self)
