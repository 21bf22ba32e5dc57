"""Carries out the effects that the reducer returns, one method for each type of effect."""

from collections.abc import Callable
from typing import Any

from marlseam import core
from marlseam.core.idempotency import is_correlation_key
from marlseam.decisions.types import Outcome
from marlseam.net import protocol
from marlseam.net.node_interface import NodeInterface
from marlseam.net.open_requests import GiveUp
from marlseam.net.reducer_timers import ReducerTimers
from marlseam.net.upstream import AttemptOrder

NodeEffect = core.Effect | GiveUp


class EffectHandlers:
    """Carries out effects on the parts of one node.

    Attributes:
        timers: the timers that the reducer has set.

    """

    def __init__(self, node: NodeInterface) -> None:
        self.node = node
        self.timers = ReducerTimers(node.loop, lambda: node.reducer.timers, node.post)

    def carry_out(self, effect: NodeEffect) -> None:
        """Carry out one effect."""
        HANDLERS[type(effect)](self, effect)

    # Attempts and health checks.

    def send_attempt(self, effect: core.SendAttempt) -> None:
        """Send an attempt; it ends as cancelled unsent where its request is already answered."""
        node, request_id = self.node, effect.request_id
        pending, now = node.requests.pending.get(request_id), node.loop.now()
        if pending is None:
            outcome = Outcome.CANCELLED_UNSENT
            node.post(core.AttemptEnded(request_id, effect.attempt_index, outcome, True, None))
            return
        await_durable = node.durable_state.barrier(request_id) if node.durable_state is not None else None
        order = AttemptOrder(
            request_id,
            effect.attempt_index,
            effect.server,
            pending.client_request,
            until_ms=now + effect.time_left_ms,
            deadline_at_ms=pending.deadline_at_ms,
            await_durable=await_durable,
            stamp=node.config_service.stamp_attempt() if node.config_service is not None else None,
            begin_until_ms=now + effect.send_within_ms,
            has_client_left=lambda: node.requests.has_client_left(request_id, pending),
        )
        pending.was_sent = True
        node.guard.note_request(request_id, pending.client_request, pending.deadline_at_ms)
        node.upstream.attempts.send(order)

    def cancel_attempt(self, effect: core.CancelAttempt) -> None:
        """Cancel an attempt."""
        self.node.upstream.attempts.cancel(*effect)

    def probe(self, effect: core.Probe) -> None:
        """Request a server's load report."""
        self.node.upstream.health_checks.start(effect.server)

    # Answers.

    def respond(self, effect: core.Respond) -> None:
        """Answer a client 200 with the result of an attempt."""
        self.node.requests.answer(effect.request_id, 200, [], effect.result)

    def reject(self, effect: core.Reject) -> None:
        """Answer a client 503: none of its request has run; Retry-After is the advised delay."""
        headers = protocol.retry_after_headers(effect.retry_after_ms)
        self.node.requests.answer(effect.request_id, 503, headers, b"")

    def fail(self, effect: core.Fail) -> None:
        """Answer a client 500 as its request may have run, or 400 where a server found it invalid.

        Where the effect names attempts in flight and none of them has begun, the request has not run: the
        answer is 503.
        """
        attempts = self.node.upstream.attempts
        if effect.in_flight and not any(
            attempts.has_begun(effect.request_id, index) for index in effect.in_flight
        ):
            headers = protocol.retry_after_headers(effect.retry_after_ms)
            self.node.requests.answer(effect.request_id, 503, headers, b"")
        else:
            self.node.requests.answer(effect.request_id, 400 if effect.is_invalid else 500, [], b"")

    def give_up(self, effect: GiveUp) -> None:
        """Answer a request whose processing raised an exception in this program."""
        self.node.requests.give_up(effect)

    # Records, timers, discovery and log.

    def record(self, effect: core.PersistAttempt | core.ErasePersisted) -> None:
        """Send other processes of the node an attempt that may run or never ran, then store the record.

        Records by correlation id are not stored, as clients give each of their retries another id.
        """
        if self.node.handover is not None:
            self.node.handover.send_attempt_record(effect)
        if self.node.durable_state is not None and not is_correlation_key(effect.key):
            self.node.durable_state.record(effect)

    def set_timer(self, effect: core.SetTimer) -> None:
        """Post TimerFired with the timer's id after its delay, unless the reducer cancels the timer."""
        self.timers.set(effect.timer_id, effect.delay_ms)

    def watch_endpoints(self, _effect: core.WatchEndpoints) -> None:
        """Start to watch discovery for the endpoint list."""
        self.node.discovery.watch()

    def write_log(self, effect: core.Log) -> None:
        """Write a line to the node's log."""
        self.node.log.line(effect.text)


HANDLERS: dict[type[NodeEffect], Callable[[EffectHandlers, Any], None]] = {
    core.SendAttempt: EffectHandlers.send_attempt,
    core.CancelAttempt: EffectHandlers.cancel_attempt,
    core.Respond: EffectHandlers.respond,
    core.Reject: EffectHandlers.reject,
    core.Fail: EffectHandlers.fail,
    core.Probe: EffectHandlers.probe,
    core.SetTimer: EffectHandlers.set_timer,
    core.PersistAttempt: EffectHandlers.record,
    core.ErasePersisted: EffectHandlers.record,
    GiveUp: EffectHandlers.give_up,
    core.WatchEndpoints: EffectHandlers.watch_endpoints,
    core.Log: EffectHandlers.write_log,
}
