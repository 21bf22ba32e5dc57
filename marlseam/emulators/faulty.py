"""A node with injected faults: system calls that fail in bursts, a wrong wall clock, errors in decisions.

python -m marlseam.emulators.faulty serve ...

MARLSEAM_SOAK_FAULTS holds the faults as JSON (`NodeFaults`). The calls are wrapped in this process alone,
below the node's own code.
"""

import errno
import os
import random
import select
import socket
import time
from collections.abc import Callable
from typing import Any

import msgspec

FAULTS_VARIABLE = "MARLSEAM_SOAK_FAULTS"  # variable of the environment: the faults as JSON
RECEIVE_SEND_ACCEPT = ("recv_into", "recv", "send", "accept")  # methods of sockets that raise where they fail


def replace(owner: object, name: str, call: Callable[..., Any]) -> None:
    """Put a call in the place of a class's or a module's own."""
    setattr(owner, name, call)


class CallFailure(msgspec.Struct, frozen=True):
    """A system call that fails while a burst lasts.

    Attributes:
        call: its name.
        error: the name of its errno.
        share: the share of calls that fail, in [0, 1].
    """

    call: str
    error: str
    share: float


class NodeFaults(msgspec.Struct, frozen=True):
    """What fails in a node.

    Attributes:
        seed: of all draws.
        failures: the calls that fail in bursts.
        every_s: the time from the begin of one burst to that of the next, in seconds.
        for_s: how long a burst lasts, in seconds.
        clock_s: by how much the wall clock is ahead, in seconds.
        decision: the name of an event that the reducer fails at; empty for none.
        decision_share: the share of these events at which it fails, in [0, 1].
    """

    seed: int
    failures: list[CallFailure] = []
    every_s: float = 2.0
    for_s: float = 0.7
    clock_s: float = 0.0
    decision: str = ""
    decision_share: float = 0.02


class CallWrapper:
    """Wraps system calls so that they fail in bursts.

    Attributes:
        faults: what fails.
        random: draws which calls of a burst fail.
        first_burst_s: when the first burst began, in seconds of the monotonic clock.
    """

    def __init__(self, faults: NodeFaults) -> None:
        self.faults, self.random, self.first_burst_s = faults, random.Random(faults.seed), time.monotonic()

    def raise_if_failing(self, call: str) -> None:
        """Raise OSError where a call is to fail now."""
        is_between_bursts = (time.monotonic() - self.first_burst_s) % self.faults.every_s > self.faults.for_s
        if is_between_bursts:
            return
        for failure in self.faults.failures:
            if failure.call == call and self.random.random() < failure.share:
                number = getattr(errno, failure.error)
                raise OSError(number, os.strerror(number))

    def failing_call(self, call: str, real: Callable[..., Any]) -> Callable[..., Any]:
        """Return a call that raises OSError where it is to fail, and else is the real one."""

        def failing(*arguments: Any) -> Any:  # noqa: ANN401 - as the call that it wraps
            self.raise_if_failing(call)
            return real(*arguments)

        return failing

    def returning_errno(self, failing: Callable[..., int]) -> Callable[..., int]:
        """Return a call that returns its errno, as `connect_ex` does, rather than raise."""

        def call(*arguments: Any) -> int:  # noqa: ANN401 - as the call that it wraps
            try:
                return failing(*arguments)
            except OSError as error:
                return error.errno or errno.EIO

        return call

    def install(self) -> None:
        """Wrap the calls of this process."""
        for call in RECEIVE_SEND_ACCEPT:
            replace(socket.socket, call, self.failing_call(call, getattr(socket.socket, call)))
        replace(
            socket.socket,
            "connect_ex",
            self.returning_errno(self.failing_call("connect_ex", socket.socket.connect_ex)),
        )
        replace(select, "poll", self.failing_factory(select.poll, {"poll": "poll"}))
        replace(
            select,
            "epoll",
            self.failing_factory(select.epoll, {"register": "epoll_ctl", "modify": "epoll_ctl"}),
        )

    def failing_factory(self, factory: Callable[[], Any], calls: dict[str, str]) -> Callable[[], Any]:
        """Return a factory of objects some of whose methods fail; `calls` has the call that each makes."""
        return lambda: WrappedObject(self, factory(), calls)


class WrappedObject:
    """An object some of whose methods fail in bursts; all else is the real object's."""

    def __init__(self, wrapper: CallWrapper, real: object, calls: dict[str, str]) -> None:
        self._wrapper, self._real, self._calls = wrapper, real, calls

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401 - whatever the real object has
        found = getattr(self._real, name)
        return self._wrapper.failing_call(self._calls[name], found) if name in self._calls else found


def fail_decisions(faults: NodeFaults) -> None:
    """Have the reducer fail at a small share of one type of event."""
    from marlseam import core

    event_type = getattr(core, faults.decision)
    real_handler, chance = core.EVENT_HANDLERS[event_type], random.Random(faults.seed + 1)

    def handle(*arguments: Any) -> None:  # noqa: ANN401 - as the handler that it wraps
        if chance.random() < faults.decision_share:
            raise RuntimeError("planted by the soak")
        real_handler(*arguments)

    core.EVENT_HANDLERS[event_type] = handle


def set_wall_clock_ahead(by_s: float) -> None:
    """Have this process's wall clock be ahead."""
    real_time = time.time
    time.time = lambda: real_time() + by_s


def main() -> None:
    """Run a node with the faults that the environment names."""
    faults: NodeFaults = msgspec.json.decode(os.environ[FAULTS_VARIABLE], type=NodeFaults)
    if faults.clock_s:
        set_wall_clock_ahead(faults.clock_s)
    CallWrapper(faults).install()
    if faults.decision:
        fail_decisions(faults)
    from marlseam import __main__ as program

    program.main()


if __name__ == "__main__":
    main()
