"""One node, as `serve` runs it, whose system calls fail at times, whose clock is off, whose decisions err.

`python -m marlseam.emulators.faulty serve ...`; what fails is told by the environment (`FAULTS`) as JSON of
`Faults`. The calls are wrapped in this process alone, below the node's own code.
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

FAULTS = "MARLSEAM_SOAK_FAULTS"


class Failure(msgspec.Struct, frozen=True):
    """One call that fails with an error, at some share of its calls while a burst lasts."""

    call: str
    error: str
    share: float


class Faults(msgspec.Struct, frozen=True):
    """What fails in a node: calls in bursts, the wall clock's error at the start, errors in decisions."""

    seed: int
    failures: list[Failure] = []
    every_s: float = 2.0  # a burst begins so often
    for_s: float = 0.7  # and lasts so long
    clock_s: float = 0.0
    decision: str = ""  # an event of the reducer that errs at a small share
    decision_share: float = 0.02


class Shim:
    """Decides which call fails now."""

    def __init__(self, faults: Faults) -> None:
        self.faults, self.chance, self.began = faults, random.Random(faults.seed), time.monotonic()

    def hit(self, call: str) -> None:
        """Raise where a call is to fail."""
        if (time.monotonic() - self.began) % self.faults.every_s > self.faults.for_s:
            return
        for failure in self.faults.failures:
            if failure.call == call and self.chance.random() < failure.share:
                number = getattr(errno, failure.error)
                raise OSError(number, os.strerror(number))

    def wrapped(self, call: str, real: Callable[..., Any]) -> Callable[..., Any]:
        """Return a call that fails at times."""

        def failing(*words: Any) -> Any:  # noqa: ANN401
            self.hit(call)
            return real(*words)

        return failing

    def returned(self, failing: Callable[..., int]) -> Callable[..., int]:
        """Return a call that returns its error's number, as `connect_ex` does."""

        def call(*words: Any) -> int:  # noqa: ANN401
            try:
                return failing(*words)
            except OSError as error:
                return error.errno

        return call

    def install(self) -> None:
        """Wrap this process's calls."""
        for call in ("recv_into", "recv", "send", "accept"):
            setattr(socket.socket, call, self.wrapped(call, getattr(socket.socket, call)))
        socket.socket.connect_ex = self.returned(self.wrapped("connect_ex", socket.socket.connect_ex))
        select.poll = self.made(select.poll, {"poll": "poll"})
        select.epoll = self.made(select.epoll, {"register": "epoll_ctl", "modify": "epoll_ctl"})

    def made(self, kind: Callable[[], Any], calls: dict[str, str]) -> Callable[[], Any]:
        """Return a maker of objects some of whose calls fail at times."""
        return lambda: Wrapped(kind(), {name: (self, call) for name, call in calls.items()})


class Wrapped:
    """An object of the system's, some of whose calls fail at times."""

    def __init__(self, real: Any, calls: dict[str, tuple[Shim, str]]) -> None:  # noqa: ANN401
        self.real, self.calls = real, calls

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401
        found = getattr(self.real, name)
        if name not in self.calls:
            return found
        shim, call = self.calls[name]
        return shim.wrapped(call, found)


def err_in_decisions(faults: Faults) -> None:
    """Have the reducer fail at a small share of one kind of event."""
    from marlseam import core

    kind = getattr(core, faults.decision)
    real, chance = core.EVENT_HANDLERS[kind], random.Random(faults.seed + 1)

    def step(*words: Any) -> None:  # noqa: ANN401
        if chance.random() < faults.decision_share:
            raise RuntimeError("planted by the soak")
        real(*words)

    core.EVENT_HANDLERS[kind] = step


def main() -> None:
    """Run a node."""
    faults = msgspec.json.decode(os.environ[FAULTS], type=Faults)
    if faults.clock_s:
        real = time.time
        time.time = lambda: real() + faults.clock_s
    Shim(faults).install()
    if faults.decision:
        err_in_decisions(faults)
    from marlseam import __main__ as program

    program.main()


if __name__ == "__main__":
    main()
