"""The figures of an endpoint list of one length, under the names used in reports.

The last word of a name is its unit: `_ms` and `_us` of processor time, `_mb` of memory, `_bytes` on the wire.
The first words name the answer of discovery: the whole list (`whole`), one change (`one`), a zone's servers
gone (`thousand`) or back (`thousand_back`). `turn` is the longest turn of the event loop for an answer.
"""

from dataclasses import asdict, dataclass


@dataclass(frozen=True)
class InProcessFigures:
    """The figures of an in-process node.

    Attributes (those that the module's description does not cover):
        memory_mb, process_mb: memory of the whole list, and of the process that holds the list.
        one_most_ms: the longest turn of all single changes.
        touched, reads: entries of the node's tables that a single change reads, and the reads of all entries.
        decision_us, decision_turn_ms, decision_late_ms: processor time of the reducer per request, its
            longest turn, and its largest lateness.
        unit_probes, unit_sends: probes and attempts per request.
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
    """The figures of real nodes: medians over a group of nodes; from `unit_us` on, those of a single node.

    Attributes (those that the module's description does not cover):
        whole_all_ms, one_all_ms, thousand_all_ms, thousand_back_all_ms: time until all nodes have applied the
            answer; `one_all_ms` is the longest of all single changes.
        memory_mb, process_mb: memory of the whole list, and of the process that holds the list.
        crowded_turn_ms: the longest turn of any node of the group.
        unit_us: processor time per request.
        unit_probes, unit_sends: probes and attempts per request.
        whole_turn_ms: the longest turn of the single node.
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
