"""Publications of configuration changes that a run asks its nodes for, and what came of them."""

import time
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from marlseam.experiment import cluster_admin
from marlseam.simulation.model import Day, node_settings, placed_nodes

RESULT_TIMEOUT_S = 30.0  # for which a node is asked what came of a publication
RESULT_POLL_S = 0.25
LATENCY_OBJECTIVE_STEP_US = 1000.0  # that each change adds to the first class's objective
PENDING = "asked"
OPEN = "open"  # how a node calls a publication that is not over


class Publication(NamedTuple):
    """A publication that a node was asked for.

    Attributes:
        at_ms: when it was asked for, in ms of the run.
        node: the node.
        result: what came of it; `PENDING` until that is known.
    """

    at_ms: float
    node: str
    result: str


class ChangePublisher:
    """Asks nodes to publish changes, each of another content.

    Attributes:
        publications: so far, in the order in which they were asked for.
    """

    def __init__(
        self,
        day: Day,
        admin_addresses: Mapping[str, str],
        now: Callable[[], float],
        is_over: Callable[[], bool],
    ) -> None:
        """Publish through nodes' addresses for operators; give up waiting once the run `is_over`."""
        self._day, self._admin_addresses = day, admin_addresses
        self._now, self._is_over = now, is_over
        self.publications: list[Publication] = []

    def has_pending(self) -> bool:
        """Return whether the result of a publication is not known yet."""
        return any(publication.result == PENDING for publication in self.publications)

    def publish(self, node: str) -> None:
        """Have a node publish a change, and note what comes of it; blocks until that is known."""
        now_ms, index = self._now(), len(self.publications)
        self.publications.append(Publication(now_ms, node, PENDING))
        answer = cluster_admin.publish(self._admin_addresses[node], self._change(node, index + 1))
        result = self._wait_for_result(node) or answer
        self.publications[index] = Publication(now_ms, node, result)

    def _change(self, node: str, number: int) -> dict[str, Any]:
        """Return the body of a request to publish the run's n-th change."""
        settings = node_settings(self._day, dict(placed_nodes(self._day))[node])
        settings["requestClasses"][0]["aimUs"] += LATENCY_OBJECTIVE_STEP_US * number
        return {"settings": settings, "why": f"change {number}"}

    def _wait_for_result(self, node: str) -> str:
        """Return what a node reports of its last publication once that is over; empty where it never is."""
        end_s = time.monotonic() + RESULT_TIMEOUT_S
        while time.monotonic() < end_s and not self._is_over():
            status = cluster_admin.cluster_status(self._admin_addresses[node])
            result: str = status["acting"].get("publication", "") if status else ""
            if result and result != OPEN:
                return result
            time.sleep(RESULT_POLL_S)
        return ""
