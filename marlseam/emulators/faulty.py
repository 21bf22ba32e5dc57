"""A node with injected faults: system calls fail in bursts, the wall clock is wrong, event handlers raise.

python -m marlseam.emulators.faulty serve ...

MARLSEAM_SOAK_FAULTS holds the faults as JSON (`NodeFaults`). The system calls are patched in this process
only, in the standard library's modules, so that the node's own code stays unchanged.
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

FAULTS_VARIABLE = "MARLSEAM_SOAK_FAULTS"  # environment variable: the faults as JSON
RECEIVE_SEND_ACCEPT = ("recv_into", "recv", "send", "accept")  # socket methods that raise OSError


def replace(owner: object, name: str, call: Callable[..., Any]) -> None:
    """Replace the attribute `name` of a class or module by another callable."""
    setattr(owner, name, call)


class CallFailure(msgspec.Struct, frozen=True):
    """A system call, some of whose calls fail during a burst.

    Attributes:
        call: the name of the system call.
        error: the name of the errno that it fails with, such as ENOBUFS.
        share: the share of calls that fail during a burst, in [0, 1].
    """

    call: str
    error: str
    share: float


class NodeFaults(msgspec.Struct, frozen=True):
    """The faults of a node.

    Attributes:
        seed: the seed of all random draws.
        failures: the system calls that fail in bursts.
        every_s: the time from the start of one burst to the start of the next, in seconds.
        for_s: how long a burst lasts, in seconds.
        clock_s: by how much the wall clock is ahead, in seconds.
        decision: the name of the event type whose handler in the reducer raises; empty for none.
        decision_share: the share of these events for which the handler raises, in [0, 1].
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
        faults: the faults of the node.
        random: draws which calls during a burst fail.
        first_burst_s: when the first burst began, in seconds of the monotonic clock.
    """

    def __init__(self, faults: NodeFaults) -> None:
        self.faults, self.random, self.first_burst_s = faults, random.Random(faults.seed), time.monotonic()

    def raise_if_failing(self, call: str) -> None:
        """Raise OSError if a burst is on and the draw lets this call fail."""
        is_between_bursts = (time.monotonic() - self.first_burst_s) % self.faults.every_s > self.faults.for_s
        if is_between_bursts:
            return
        for failure in self.faults.failures:
            if failure.call == call and self.random.random() < failure.share:
                number = getattr(errno, failure.error)
                raise OSError(number, os.strerror(number))

    def failing_call(self, call: str, real: Callable[..., Any]) -> Callable[..., Any]:
        """Return a wrapper of `real` that raises OSError where the call is to fail, else calls `real`."""

        def failing(*arguments: Any) -> Any:  # noqa: ANN401 - signature of the wrapped call
            self.raise_if_failing(call)
            return real(*arguments)

        return failing

    def returning_errno(self, failing: Callable[..., int]) -> Callable[..., int]:
        """Return a wrapper that returns the errno of an OSError, as `connect_ex` does, instead of raising."""

        def call(*arguments: Any) -> int:  # noqa: ANN401 - signature of the wrapped call
            try:
                return failing(*arguments)
            except OSError as error:
                return error.errno or errno.EIO

        return call

    def install(self) -> None:
        """Patch the socket methods, `select.poll` and `select.epoll` of this process."""
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
        """Return a factory whose objects fail in some methods; `calls` maps a method to its system call."""
        return lambda: WrappedObject(self, factory(), calls)


class WrappedObject:
    """Proxy of a system object: some methods fail in bursts, all other attributes are the real object's."""

    def __init__(self, wrapper: CallWrapper, real: object, calls: dict[str, str]) -> None:
        self._wrapper, self._real, self._calls = wrapper, real, calls

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401 - any attribute of the real object
        found = getattr(self._real, name)
        return self._wrapper.failing_call(self._calls[name], found) if name in self._calls else found


def patch_event_handler(faults: NodeFaults) -> None:
    """Patch the reducer's handler of one event type to raise RuntimeError for a share of its events."""
    from marlseam import core

    event_type = getattr(core, faults.decision)
    real_handler, rng = core.EVENT_HANDLERS[event_type], random.Random(faults.seed + 1)

    def handle(*arguments: Any) -> None:  # noqa: ANN401 - signature of the wrapped handler
        if rng.random() < faults.decision_share:
            raise RuntimeError("planted by the soak")
        real_handler(*arguments)

    core.EVENT_HANDLERS[event_type] = handle


def patch_wall_clock(by_s: float) -> None:
    """Patch `time.time` in this process to be ahead by some seconds."""
    real_time = time.time
    time.time = lambda: real_time() + by_s


def main() -> None:
    """Run a node with the faults that MARLSEAM_SOAK_FAULTS holds."""
    faults: NodeFaults = msgspec.json.decode(os.environ[FAULTS_VARIABLE], type=NodeFaults)
    if faults.clock_s:
        patch_wall_clock(faults.clock_s)
    CallWrapper(faults).install()
    if faults.decision:
        patch_event_handler(faults)
    from marlseam import __main__ as program

    program.main()


if __name__ == "__main__":
    main()
