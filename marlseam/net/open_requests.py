"""The requests that a node has accepted and not yet answered."""

from typing import NamedTuple

from marlseam import core
from marlseam.decisions.types import Request
from marlseam.net.connection import Headers
from marlseam.net.invariants import Invariant
from marlseam.net.node_interface import NodeInterface
from marlseam.net.pending_request import PendingRequest
from marlseam.net.protocol import ClientRequest


class GiveUp(NamedTuple):
    """Effect: answer a request whose processing raised an exception in this program."""

    request_id: str


class OpenRequests:
    """Accepts requests, answers each exactly once, and ends those whose clients leave.

    Attributes:
        pending: the requests without an answer, by request id.
        last_request_id: the id of the last accepted request, as a number.

    """

    def __init__(self, node: NodeInterface) -> None:
        self.node = node
        self.pending: dict[str, PendingRequest] = {}
        self.last_request_id = 0

    def take(self, pending: PendingRequest) -> str:
        """Accept a client's request and return its id.

        The node assigns the id itself, as two clients may send the same correlation id.
        """
        node, client_request = self.node, pending.client_request
        self.last_request_id += 1
        request_id = str(self.last_request_id)
        self.pending[request_id] = pending
        may_take = node.config_service is None or node.config_service.may_accept()
        if node.config_service is not None:
            node.config_service.record_accepted()
        request = Request(
            request_id,
            client_request.class_index,
            pending.deadline_at_ms,
            client_request.slots,
            idempotency_key=client_request.idempotency_key,
            resource_key=client_request.resource_key,
            may_be_retry=client_request.may_be_retry,
            is_recordable=may_take and self.is_recordable(client_request),
            is_sendable=may_take,
            correlation_id=client_request.id if client_request.is_unsafe else None,
        )
        node.post(core.RequestArrived(request))
        return request_id

    def is_recordable(self, client_request: ClientRequest) -> bool:
        """Return whether records of a request's attempts can be kept wherever the request may come again."""
        node = self.node
        if client_request.is_unsafe and node.handover is not None and not node.handover.is_current():
            return False
        if client_request.idempotency_key is None or node.durable_state is None:
            return True
        return node.durable_state.store.is_available()

    def client_left(self, request_id: str) -> None:
        """End a request whose client has closed its connection."""
        self.end_without_answer(request_id)
        self.pending.pop(request_id, None)

    def has_client_left(self, request_id: str, pending: PendingRequest) -> bool:
        """Return whether a request's client has left or is answered; if so, end all attempts at the request.

        The client's own coroutine closes the connection when the loop next runs it.
        """
        if pending.answer is None and not pending.is_client_gone():
            return False
        self.end_without_answer(request_id)
        return True

    def end_without_answer(self, request_id: str) -> None:
        """Post ClientLeft, so that the reducer makes no further attempts at a request."""
        self.node.guard.note_end(request_id, Invariant.AFTER_LEAVING, self.node.loop.now())
        self.node.post(core.ClientLeft(request_id))

    def answer(self, request_id: str, status: int, headers: Headers, body: bytes) -> None:
        """Answer a request, if it has not been answered and its client has not left."""
        pending = self.pending.pop(request_id, None)
        self.node.guard.note_end(request_id, Invariant.AFTER_ANSWER, self.node.loop.now())
        if pending is not None:
            self.node.counters.count_answer(pending.client_request.type_name, status)
            if self.node.config_service is not None:
                self.node.config_service.record_response(status)
            pending.respond(status, headers, body)

    def give_up(self, fault: GiveUp) -> None:
        """Answer a request whose processing raised an exception, and end all attempts at it.

        The status is 503 where a retry is harmless (nothing was sent, or the class is safe to repeat), or
        else 500.
        """
        pending = self.pending.get(fault.request_id)
        if pending is None:
            return
        self.node.counters.faults += 1
        is_retry_harmless = not (pending.was_sent and pending.client_request.must_run_once)
        self.answer(fault.request_id, 503 if is_retry_harmless else 500, [], b"")
        self.node.post(core.ClientLeft(fault.request_id))
