"""Discovery on loopback, which counts the nodes that have taken a version of the endpoint list in."""

import socket
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from marlseam.experiment.processes import RunFailedError
from marlseam.experiment.sizing.endpoint_list.source import EndpointListSource
from marlseam.experiment.sizing.endpoint_list.threaded_server import ThreadedServer, request_heads

TAKEN_IN_TIMEOUT_S = 60.0


class NotTakenInError(RunFailedError):
    """Not all nodes have taken a version in, in time.

    Attributes:
        version: of the list.
        holding, expected: nodes that hold it, and how many there are.
    """

    def __init__(self, version: int, holding: int, expected: int) -> None:
        self.version, self.holding, self.expected = version, holding, expected
        super().__init__(
            f"{holding} of {expected} nodes took version {version} in, in {TAKEN_IN_TIMEOUT_S:g} s"
        )


class ListCall(NamedTuple):
    """A node's call.

    Attributes:
        is_watch: whether it waits for what is newer than a version; else it asks for the whole list.
        since: that version, 0 for none.
        wait_ms: how long it waits at most.
    """

    is_watch: bool
    since: int
    wait_ms: float


def list_call_from(head: bytes) -> ListCall:
    """Read a call from a request's head."""
    target = head.split(b" ", 2)[1].decode()
    return ListCall(
        is_watch="since=" in target,
        since=int(query_value(target, "since") or 0),
        wait_ms=float(query_value(target, "timeout_ms") or 0.0),
    )


def query_value(target: str, name: str) -> str:
    """Return a parameter of a request's target, empty if it has none."""
    return target.partition(f"{name}=")[2].partition("&")[0]


class AnswerKey(NamedTuple):
    """What an answer depends on while the list does not change."""

    since: int
    whole: bool


class DiscoveryServer(ThreadedServer):
    """Gives real nodes the answers of an endpoint list.

    A node that asks for what is newer than a version has taken that version in.
    """

    def __init__(self, source: EndpointListSource) -> None:
        super().__init__()
        self._source = source
        self._changed = threading.Condition()  # guards all that follows
        self._asked_at_s: dict[int, float] = {}  # when a connection last called
        self._held_versions: dict[int, int] = {}  # since which version it did
        self._answers: dict[AnswerKey, bytes] = {}
        self._is_closed = False
        self.start()

    def publish(self, change: Callable[[], None], whole: bool, nodes: int) -> float:
        """Change the list, and return the ms until all nodes have taken the change in.

        `whole`: they are told the whole list, not what changed. Raises NotTakenInError.
        """
        with self._changed:
            self._source.tells_whole_list = whole
            change()
            version = self._source.version()
            # Made before the time is taken: that is not the nodes' work.
            self._answer(min(self._held_versions.values(), default=0), whole)
            began_s = time.monotonic()
            self._changed.notify_all()
        self.wait_until_taken_in(version, nodes)
        return 1000.0 * (max(self._asked_at_s.values()) - began_s)

    def wait_until_taken_in(self, version: int, nodes: int) -> None:
        """Wait until so many nodes hold a version; raises NotTakenInError."""
        end_s = time.monotonic() + TAKEN_IN_TIMEOUT_S
        with self._changed:
            while self._holders(version) < nodes:
                if not self._changed.wait(end_s - time.monotonic()):
                    raise NotTakenInError(version, self._holders(version), nodes)

    def serve(self, connection: socket.socket, number: int) -> None:
        """Answer one node's calls.

        What a node holds stays known after it closes its connection, and is forgotten when that breaks.
        """
        try:
            for head in request_heads(connection):
                connection.sendall(self._answer_to(list_call_from(head), number))
                if self._is_closed:
                    self._forget(number)
                    return
        except OSError:
            self._forget(number)
            raise

    def close(self) -> None:
        """End all waits, and take no more connections."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
        super().close()

    def _answer_to(self, call: ListCall, number: int) -> bytes:
        """Note what a node holds, and return the answer to its call once that is due."""
        with self._changed:
            self._held_versions[number], self._asked_at_s[number] = call.since, time.monotonic()
            self._changed.notify_all()
            whole = not call.is_watch or (self._wait_for_newer(call) and self._source.tells_whole_list)
            return self._answer(call.since, whole)

    def _wait_for_newer(self, call: ListCall) -> bool:
        """Wait for what is newer than a node's version; return False if the wait is over before that."""
        end_s = time.monotonic() + call.wait_ms / 1000.0
        while self._source.version() <= call.since and not self._is_closed:
            if not self._changed.wait(end_s - time.monotonic()):
                return False
        return True

    def _answer(self, since: int, whole: bool) -> bytes:
        """Return an answer, made once for all nodes."""
        key = AnswerKey(since, whole)
        if key not in self._answers:
            self._answers.clear()
            self._answers[key] = self._source.answer(since, whole)
        return self._answers[key]

    def _holders(self, version: int) -> int:
        """Return how many nodes hold a version or a newer one."""
        return sum(held >= version for held in self._held_versions.values())

    def _forget(self, number: int) -> None:
        """Forget what the node of a connection holds."""
        with self._changed:
            self._held_versions.pop(number, None)
            self._changed.notify_all()
