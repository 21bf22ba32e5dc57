"""Names of the dispatcher and of requests that other parts still use; to go once they are renamed."""

from typing import Any


def _former(name: str) -> Any:  # noqa: ANN401
    def read(self: object) -> Any:  # noqa: ANN401
        return getattr(self, name)

    def write(self: object, value: Any) -> None:  # noqa: ANN401
        setattr(self, name, value)

    return property(read, write)


class FormerDispatcherNames:
    """What other parts still call the dispatcher's attributes."""

    allowance = _former("slow_start_budget")
    ask_ms = _former("probe_timeout_ms")
    backoff = _former("poll_backoff_ms")
    born = _former("process_started_ms")
    enter = _former("set_endpoint")
    fresh_ms = _former("report_max_age_ms")
    full = _former("at_capacity")
    heard_ms = _former("last_report_ms")
    lines = _former("pending_queues")
    mean_area = _former("mean_slot_ms")
    next_ask = _former("next_poll_ms")
    ours = _former("own_slots")
    peers = _former("peer_slots")
    pump = _former("dispatch_queue")
    queue_ms = _former("max_queue_wait_ms")
    recover = _former("readmit")
    run = _former("mean_run_ms")
    slots = _former("slot_count")
    sweep_ms = _former("check_interval_ms")
    token_ms = _former("slow_start_refilled_ms")
    tokens = _former("slow_start_tokens")
    turns = _former("key_queues")
    warm = _former("has_budget")

    def suspend(self, server: int, reason: str, lost: bool) -> None:
        """Eject a server, and retry elsewhere what it holds where that is lost."""
        dispatcher: Any = self
        dispatcher.eject(server, reason)
        if lost:
            dispatcher.retry_elsewhere(server)


class FormerRequestNames:
    """What other parts still call a request's attributes."""

    asked = _former("probed_servers")
    fits = _former("is_eligible")
