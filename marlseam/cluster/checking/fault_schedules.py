"""Schedules of faults: drawn by a seed, described to people, and cut down to what breaks a bound."""

import enum
from collections.abc import Callable
from typing import Any, NamedTuple

from marlseam.cluster.checking.simulation import PERIOD_MS, InjectedFault
from marlseam.random_source import RandomSource

MAX_FAULTS = 4  # of a schedule


class Step(NamedTuple):
    """A step at which a fault may strike: the n-th datagram of a kind."""

    kind: enum.IntEnum
    ordinal: int


class ScheduleDraws:
    """Random whole numbers, by a seed and a prefix that tells kinds of schedules apart."""

    def __init__(self, prefix: str, seed: int) -> None:
        self.random = RandomSource(f"{prefix}:{seed}")

    def __call__(self, below: int) -> int:
        """Return the next number, at least 0 and less than `below`."""
        return int(self.random() * below)


def draw_faults(
    draws: ScheduleDraws,
    nodes: int,
    draw_step: Callable[[ScheduleDraws], tuple[enum.IntEnum, int]],
    faults: tuple[str, ...],
    max_periods: int,
    max_faults: int = MAX_FAULTS,
) -> list[InjectedFault]:
    """Return some random faults, each at a step's kind and ordinal that `draw_step` draws.

    A fault lasts between one period and `max_periods`.
    """
    found = []
    for _ in range(1 + draws(max_faults)):
        node, other = draws(nodes), draws(nodes - 1)
        other += other >= node
        kind, ordinal = draw_step(draws)
        fault, for_ms = faults[draws(len(faults))], PERIOD_MS * (1.0 + draws(max_periods))
        found.append(InjectedFault(f"n{node}", bool(draws(2)), kind, ordinal, fault, f"n{other}", for_ms))
    return found


def shrink(
    nodes: int,
    seed: int,
    faults: list[InjectedFault],
    machine: type | None = None,
    *,
    play: Callable[..., Any],
) -> list[InjectedFault]:
    """Return a shortest part of a schedule whose run, by `play`, still violates a bound.

    `machine`: the class of state machine that `play` is to run, None for its default.
    """
    at, options = 0, () if machine is None else (machine,)
    while at < len(faults):
        fewer = faults[:at] + faults[at + 1 :]
        if play(nodes, seed, fewer, *options).violations:
            faults = fewer
        else:
            at += 1
    return faults


def describe_fault(fault: InjectedFault) -> str:
    """Return a fault as people read it."""
    direction = "sends" if fault.sends else "receives"
    step = f"{fault.node} {direction} its {fault.kind.name.lower()} no. {fault.ordinal}"
    other = f" towards {fault.other}" if fault.fault == "pair" else ""
    return f"before {step}: {fault.fault}{other} for {fault.for_ms:.0f} ms"
