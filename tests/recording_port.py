"""A port that records the operations that a dispatcher calls."""

from collections.abc import Callable

from marlseam.decisions.request_state import RequestState


class RecordingPort:
    """Records each operation; its clock changes only when a test sets it.

    Attributes:
        clock: the time in ms.
        operations: the operations, each a tuple of its name and its main arguments.
        timers: pairs of the time in ms when a timer fires and the function to call then.

    """

    def __init__(self) -> None:
        self.clock = 1000.0
        self.operations: list[tuple] = []
        self.timers: list[tuple[float, Callable[[], None]]] = []

    def now(self) -> float:
        return self.clock

    def send(self, state: RequestState, server: int, _time_left_ms: float) -> None:
        self.operations.append(("send", state.request.request_id, server))

    def cancel(self, state: RequestState, attempt_index: int) -> None:
        self.operations.append(("cancel", state.request.request_id, attempt_index))

    def reject(self, state: RequestState, _retry_after_ms: float) -> None:
        self.operations.append(("reject", state.request.request_id))

    def fail(self, state: RequestState) -> None:
        self.operations.append(("fail", state.request.request_id))

    def probe(self, server: int) -> None:
        self.operations.append(("probe", server))

    def after(self, delay_ms: float, call: Callable[[], None]) -> int:
        self.timers.append((self.clock + delay_ms, call))
        return len(self.timers)

    def cancel_timer(self, _timer_id: int) -> None:
        """Keep the timer: a request that is over ignores its calls."""

    def never_ran(self, state: RequestState, server: int, _sent_ms: float) -> None:
        self.operations.append(("never_ran", state.request.request_id, server))

    def watch_endpoints(self) -> None:
        self.operations.append(("watch_endpoints",))

    def log(self, text: str) -> None:
        self.operations.append(("log", text))

    def operations_named(self, name: str) -> list[tuple]:
        """Return the recorded operations of one name."""
        return [act for act in self.operations if act[0] == name]
