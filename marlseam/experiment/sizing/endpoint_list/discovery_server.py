"""Discovery on loopback, which counts the nodes that have applied a version of the endpoint list."""

import socket
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from marlseam.experiment.processes import RunFailedError
from marlseam.experiment.sizing.endpoint_list.source import EndpointListSource
from marlseam.experiment.sizing.endpoint_list.threaded_server import ThreadedServer, request_heads

APPLY_TIMEOUT_S = 60.0


class ListNotAppliedError(RunFailedError):
    """Not all nodes applied a version of the endpoint list within `APPLY_TIMEOUT_S`.

    Attributes:
        version: the version of the list.
        holding: the number of nodes that hold the version or a newer one.
        expected: the number of nodes that must hold it.
    """

    def __init__(self, version: int, holding: int, expected: int) -> None:
        self.version, self.holding, self.expected = version, holding, expected
        super().__init__(
            f"only {holding} of {expected} nodes applied version {version} of the endpoint list "
            f"within {APPLY_TIMEOUT_S:g} s"
        )


class ListCall(NamedTuple):
    """A node's call of discovery.

    Attributes:
        is_watch: whether the call waits for changes after a version; else it requests the whole list.
        since: the version that the node holds; 0 if it holds none.
        wait_ms: the longest time that a watch waits.
    """

    is_watch: bool
    since: int
    wait_ms: float


def list_call_from(head: bytes) -> ListCall:
    """Return the call that a request's head describes."""
    target = head.split(b" ", 2)[1].decode()
    return ListCall(
        is_watch="since=" in target,
        since=int(query_value(target, "since") or 0),
        wait_ms=float(query_value(target, "timeout_ms") or 0.0),
    )


def query_value(target: str, name: str) -> str:
    """Return a query parameter of a request target; empty if the target does not have it."""
    return target.partition(f"{name}=")[2].partition("&")[0]


class AnswerKey(NamedTuple):
    """The values that determine an answer while the list does not change."""

    since: int
    whole: bool


class DiscoveryServer(ThreadedServer):
    """Sends real nodes the answers of an endpoint list.

    A node that watches for changes after a version has applied that version.
    """

    def __init__(self, source: EndpointListSource) -> None:
        super().__init__()
        self._source = source
        self._changed = threading.Condition()  # guards the fields below and the source
        self._called_s: dict[int, float] = {}  # monotonic time of the last call, by connection
        self._held_versions: dict[int, int] = {}  # version that the node held at that call, by connection
        self._answers: dict[AnswerKey, bytes] = {}
        self._is_closed = False
        self.start()

    def publish(self, change: Callable[[], None], whole: bool, nodes: int) -> float:
        """Change the list, and return the time in ms until all `nodes` nodes have applied the change.

        `whole`: watches are answered with the whole list, not with the changes. Raises ListNotAppliedError.
        """
        with self._changed:
            self._source.sends_whole_list = whole
            change()
            version = self._source.version()
            # Encoded before the start time is read: encoding is not part of the nodes' work.
            self._answer(min(self._held_versions.values(), default=0), whole)
            began_s = time.monotonic()
            self._changed.notify_all()
        self.wait_until_applied(version, nodes)
        return 1000.0 * (max(self._called_s.values()) - began_s)

    def wait_until_applied(self, version: int, nodes: int) -> None:
        """Wait until `nodes` nodes hold a version or a newer one; raises ListNotAppliedError."""
        end_s = time.monotonic() + APPLY_TIMEOUT_S
        with self._changed:
            while self._holder_count(version) < nodes:
                if not self._changed.wait(end_s - time.monotonic()):
                    raise ListNotAppliedError(version, self._holder_count(version), nodes)

    def serve(self, connection: socket.socket, connection_id: int) -> None:
        """Answer one node's calls.

        The version that a node holds stays recorded after the node closes its connection, and is removed if
        the connection breaks or the server is closed.
        """
        try:
            for head in request_heads(connection):
                connection.sendall(self._answer_to(list_call_from(head), connection_id))
                if self._is_closed:
                    self._discard_held_version(connection_id)
                    return
        except OSError:
            self._discard_held_version(connection_id)
            raise

    def close(self) -> None:
        """Answer all watches at once, and accept no more connections."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
        super().close()

    def _answer_to(self, call: ListCall, connection_id: int) -> bytes:
        """Record the version that a node holds, wait if the call is a watch, and return the answer."""
        with self._changed:
            self._held_versions[connection_id], self._called_s[connection_id] = call.since, time.monotonic()
            self._changed.notify_all()
            whole = not call.is_watch or (self._wait_for_newer(call) and self._source.sends_whole_list)
            return self._answer(call.since, whole)

    def _wait_for_newer(self, call: ListCall) -> bool:
        """Wait for a version newer than the node's, or for `close`; return False if the wait times out."""
        end_s = time.monotonic() + call.wait_ms / 1000.0
        while self._source.version() <= call.since and not self._is_closed:
            if not self._changed.wait(end_s - time.monotonic()):
                return False
        return True

    def _answer(self, since: int, whole: bool) -> bytes:
        """Return an answer, encoded once for all nodes; only the latest answer is cached."""
        key = AnswerKey(since, whole)
        if key not in self._answers:
            self._answers.clear()
            self._answers[key] = self._source.answer(since, whole)
        return self._answers[key]

    def _holder_count(self, version: int) -> int:
        """Return the number of nodes that hold a version or a newer one."""
        return sum(held >= version for held in self._held_versions.values())

    def _discard_held_version(self, connection_id: int) -> None:
        """Remove the record of the version that the node of a connection holds."""
        with self._changed:
            self._held_versions.pop(connection_id, None)
            self._changed.notify_all()
