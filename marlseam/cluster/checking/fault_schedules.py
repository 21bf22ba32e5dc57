"""Fault schedules: drawn by a seed, described as text, and reduced to the faults that violate a bound."""

import enum
from collections.abc import Callable
from typing import Any, NamedTuple

from marlseam.cluster.checking.simulation import PERIOD_MS, InjectedFault
from marlseam.random_source import RandomSource

MAX_FAULTS = 4  # default bound of the faults in one schedule


class Step(NamedTuple):
    """A step before which a fault may be injected: the n-th datagram of a kind, counted from 1."""

    kind: enum.IntEnum
    ordinal: int


class ScheduleDraws:
    """Random integers, determined by a seed and by a prefix that distinguishes kinds of schedules."""

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
    """Draw 1 to `max_faults` random faults; `draw_step` draws the kind and ordinal of the step of each.

    The faults are chosen from `faults`; each lasts 1 to `max_periods` protocol periods.
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
    """Return a minimal part of a schedule whose run by `play` violates a bound.

    Each fault in turn is removed if the run without it still violates a bound.

    `machine`: the class of state machine that `play` runs, None for its default.
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
    """Return a description of a fault."""
    direction = "sends" if fault.sends else "receives"
    step = f"{fault.node} {direction} its {fault.kind.name.lower()} no. {fault.ordinal}"
    other = f" towards {fault.other}" if fault.fault == "pair" else ""
    return f"before {step}: {fault.fault}{other} for {fault.for_ms:.0f} ms"
