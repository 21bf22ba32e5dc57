"""Publications of configuration changes that a run requests from its nodes, and their results."""

import time
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from marlseam.experiment import cluster_admin
from marlseam.simulation.model import Day, node_settings, placed_nodes

RESULT_TIMEOUT_S = 30.0  # how long a node's status is polled for the result of a publication
RESULT_POLL_S = 0.25
LATENCY_OBJECTIVE_STEP_US = 1000.0  # added to the first request class's latency objective by each change
PENDING = "asked"  # the result of a publication whose result is not known yet
OPEN = "open"  # the result that a node reports while its publication is in progress


class Publication(NamedTuple):
    """A publication that was requested from a node.

    Attributes:
        at_ms: when the publication was requested, in ms of the run.
        node: the name of the publishing node.
        result: the result that the node reported; `PENDING` until it is known.
    """

    at_ms: float
    node: str
    result: str


class ChangePublisher:
    """Requests publications from nodes, each of a different configuration content.

    Attributes:
        publications: the publications so far, in the order in which they were requested.
    """

    def __init__(
        self,
        day: Day,
        admin_addresses: Mapping[str, str],
        now: Callable[[], float],
        is_over: Callable[[], bool],
    ) -> None:
        """Publish through the nodes' admin addresses.

        `now` returns the time in ms of the run; waiting for a result ends once `is_over` returns True.
        """
        self._day, self._admin_addresses = day, admin_addresses
        self._now, self._is_over = now, is_over
        self.publications: list[Publication] = []

    def has_pending(self) -> bool:
        """Return whether the result of any publication is not known yet."""
        return any(publication.result == PENDING for publication in self.publications)

    def publish(self, node: str) -> None:
        """Have a node publish a change, and record the result; blocks until it is known or the wait ends.

        Without a result in the node's status, the result is the answer to the request itself.
        """
        now_ms, index = self._now(), len(self.publications)
        self.publications.append(Publication(now_ms, node, PENDING))
        answer = cluster_admin.publish(self._admin_addresses[node], self._change(node, index + 1))
        result = self._wait_for_result(node) or answer
        self.publications[index] = Publication(now_ms, node, result)

    def _change(self, node: str, number: int) -> dict[str, Any]:
        """Return the body of the request to publish change `number` of the run, counted from 1."""
        settings = node_settings(self._day, dict(placed_nodes(self._day))[node])
        settings["requestClasses"][0]["aimUs"] += LATENCY_OBJECTIVE_STEP_US * number
        return {"settings": settings, "why": f"change {number}"}

    def _wait_for_result(self, node: str) -> str:
        """Return the final result that a node reports for its last publication.

        Empty if none is reported within `RESULT_TIMEOUT_S` or before the run is over.
        """
        end_s = time.monotonic() + RESULT_TIMEOUT_S
        while time.monotonic() < end_s and not self._is_over():
            status = cluster_admin.cluster_status(self._admin_addresses[node])
            result: str = status["acting"].get("publication", "") if status else ""
            if result and result != OPEN:
                return result
            time.sleep(RESULT_POLL_S)
        return ""
