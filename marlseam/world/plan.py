"""What a day asks for, before it begins: each first try with its intended time, type, size, zone and credit.

Made from the seed alone or read from a trace, so that both drivers and every process play the same day.
"""

from dataclasses import dataclass

import numpy as np

from marlseam.world.chance import lognormal, stream
from marlseam.world.model import Day, Load, nodes

SIZE_MOST = 12.0  # largest work, in means of its type


@dataclass(frozen=True, slots=True)
class Arrival:
    """One first try, or a try as a trace has it. Times in ms from the day's begin."""

    at: float
    id: str
    type: int
    zone: str
    work: float  # standard work in ms
    slots: float
    memory: float
    credit: float
    receipt: str | None
    honours: bool
    leaves: bool
    first: str = ""  # in a trace with retries inside: the id of the first try, else empty
    number: int = 0
    key: str | None = None  # the thing that it needs


def times(
    load: Load, seconds: float, seed: int, surges: list[tuple[float, float, float]] | None = None
) -> np.ndarray:
    """Return intended times in ms, shape (n,): those of a rate of 1 drawn out to the shape's own rate.

    `surges` are (from ms, to ms, factor). Even arrivals come at equal steps of the summed rate, Poisson ones
    at exponential steps.
    """
    step = 10.0
    grid = np.arange(0.0, seconds * 1000.0 + step, step)
    rate = np.full(len(grid), load.rate)
    if load.shape == "ramp":
        rate += (load.to_rate - load.rate) * grid / (seconds * 1000.0)
    elif load.shape == "burst":
        inside = (grid >= load.burst_at_s * 1000.0) & (grid < (load.burst_at_s + load.burst_for_s) * 1000.0)
        rate[inside] = load.to_rate
    for begin, end, factor in surges or []:
        rate[(grid >= begin) & (grid < end)] *= factor
    summed = np.concatenate([[0.0], np.cumsum(rate[:-1] * step / 1000.0)])
    if load.arrivals == "even":
        marks = np.arange(0.0, summed[-1])
    else:
        chance = stream(seed, "arrivals")
        steps = chance.exponential(1.0, int(summed[-1] + 10.0 * np.sqrt(summed[-1] + 1.0)) + 20)
        marks = np.cumsum(steps)
        marks = marks[marks < summed[-1]]
    return np.interp(marks, summed, grid)


def make(day: Day, seed: int, surges: list[tuple[float, float, float]] | None = None) -> list[Arrival]:
    """Return a day's first tries in the order of their intended times."""
    at = times(day.load, day.seconds, seed, surges)
    n = len(at)
    chance = stream(seed, "plan")
    shares = np.array([type.share for type in day.types])
    types = np.searchsorted(np.cumsum(shares / shares.sum()), chance.random(n), side="right")
    types = np.minimum(types, len(day.types) - 1)
    zones = list(dict.fromkeys(zone for _, zone in nodes(day)))
    weights = np.ones(len(zones))
    weights[0] += day.load.skew * len(zones)
    of_zone = np.searchsorted(np.cumsum(weights / weights.sum()), chance.random(n), side="right")
    of_zone = np.minimum(of_zone, len(zones) - 1)
    work, slots = np.zeros(n), np.ones(n)
    for t, type in enumerate(day.types):
        mine = types == t
        sizes = lognormal(stream(seed, "work", type.name), type.work_ms, type.cv, int(mine.sum()))
        work[mine] = np.minimum(sizes, SIZE_MOST * type.work_ms)
        steps = np.cumsum(np.array(type.slots) / sum(type.slots))
        slots[mine] = 1.0 + np.minimum(
            np.searchsorted(steps, stream(seed, "slots", type.name).random(int(mine.sum())), side="right"),
            len(steps) - 1,
        )
    keys: list[str | None] = [None] * n
    for t, type in enumerate(day.types):
        if type.keys:
            ranks, mine = (
                np.arange(1.0, type.keys + 1.0) ** -type.key_skew,
                np.flatnonzero(types == t).tolist(),
            )
            drawn = stream(seed, "keys", type.name).choice(type.keys, len(mine), p=ranks / ranks.sum())
            for i, key in zip(mine, drawn.tolist(), strict=True):
                keys[i] = f"k{key}"
    honours, leaves = chance.random(n) < day.clients.honour, chance.random(n) < day.clients.leave
    found = []
    for i in range(n):
        type = day.types[types[i]]
        id = f"{seed:x}-{i:x}"
        found.append(
            Arrival(
                at=float(at[i]),
                id=id,
                type=int(types[i]),
                zone=zones[of_zone[i]],
                work=float(work[i]),
                slots=float(slots[i]),
                memory=type.memory,
                credit=type.credit,
                receipt=f"r{id}" if type.effect == "receipted" else None,
                honours=bool(honours[i]),
                leaves=bool(leaves[i]),
                key=keys[i],
            )
        )
    return found
