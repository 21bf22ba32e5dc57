"""The arrivals of a day: each request's intended time, class, size, zone and priority weight.

Made from the seed alone, so that every driver and every process plays the same day.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray

from marlseam.simulation.chance import lognormal, stream
from marlseam.simulation.model import Day, Load, RequestType, placed_nodes

MAX_WORK_IN_MEANS = 12.0  # largest work of a request, in means of its class
RATE_STEP_MS = 10.0  # over which the rate of arrivals is taken as constant


class Surge(NamedTuple):
    """A time in which the rate of arrivals is multiplied; the end is not part of it."""

    from_ms: float
    until_ms: float
    factor: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request's first try, or a try as a trace has it.

    Attributes:
        at: its intended time, in ms from the day's begin.
        id: its id.
        type: the index of its request class in the day.
        zone: the zone of its client.
        work: its standard work in ms.
        slots: how many slots it takes.
        memory: how much memory it takes, in units.
        credit: its priority weight.
        receipt: its idempotency key, None where its class has none.
        honours: whether its client honours Retry-After.
        leaves: whether its client leaves early.
        first: in a trace with retries inside the id of the first try, else empty.
        number: 0 for a first try, 1 for the first retry.
        key: the key that orders it among requests, None where it has none.
    """

    at: float
    id: str
    type: int
    zone: str
    work: float
    slots: float
    memory: float
    credit: float
    receipt: str | None
    honours: bool
    leaves: bool
    first: str = ""
    number: int = 0
    key: str | None = None


def times(
    load: Load, seconds: float, seed: int, surges: Sequence[Surge] | None = None
) -> NDArray[np.float64]:
    """Return the intended times of a day's requests in ms, shape (n,).

    Times at a rate of 1 are stretched to the shape's own rate: even arrivals come at equal steps of the
    summed rate, Poisson ones at exponential steps.
    """
    grid_ms = np.arange(0.0, seconds * 1000.0 + RATE_STEP_MS, RATE_STEP_MS)
    rate = _rate_on_grid(load, seconds, grid_ms, surges or [])
    expected_count = np.concatenate([[0.0], np.cumsum(rate[:-1] * RATE_STEP_MS / 1000.0)])
    total = expected_count[-1]
    if load.arrivals == "even":
        counts = np.arange(0.0, total)
    else:
        # Ten standard deviations more than are expected, so that the steps reach the day's end.
        draws = int(total + 10.0 * np.sqrt(total + 1.0)) + 20
        counts = np.cumsum(stream(seed, "arrivals").exponential(1.0, draws))
        counts = counts[counts < total]
    at_ms: NDArray[np.float64] = np.interp(counts, expected_count, grid_ms)
    return at_ms


def _rate_on_grid(
    load: Load, seconds: float, grid_ms: NDArray[np.float64], surges: Sequence[Surge]
) -> NDArray[np.float64]:
    """Return the rate of arrivals in requests a second at each time of a grid, shape (n,)."""
    rate = np.full(len(grid_ms), load.rate)
    if load.shape == "ramp":
        rate += (load.to_rate - load.rate) * grid_ms / (seconds * 1000.0)
    elif load.shape == "burst":
        burst_end_s = load.burst_at_s + load.burst_for_s
        rate[(grid_ms >= load.burst_at_s * 1000.0) & (grid_ms < burst_end_s * 1000.0)] = load.to_rate
    for surge in surges:
        rate[(grid_ms >= surge.from_ms) & (grid_ms < surge.until_ms)] *= surge.factor
    return rate


def make(day: Day, seed: int, surges: Sequence[Surge] | None = None) -> list[Arrival]:
    """Return a day's requests in the order of their intended times."""
    at_ms = times(day.load, day.seconds, seed, surges)
    count = len(at_ms)
    # The order of these draws is part of what a seed means.
    chance = stream(seed, "plan")
    class_indices = _drawn_indices(chance, count, np.array([each.share for each in day.types]))
    zones = list(dict.fromkeys(node.zone for node in placed_nodes(day)))
    zone_indices = _drawn_indices(chance, count, _zone_weights(day, len(zones)))
    honours = chance.random(count) < day.clients.honour
    leaves = chance.random(count) < day.clients.leave
    sizes = _drawn_sizes(day, seed, class_indices)
    keys = _drawn_keys(day, seed, class_indices)
    arrivals = []
    for i in range(count):
        class_index = int(class_indices[i])
        request_class = day.types[class_index]
        request_id = f"{seed:x}-{i:x}"
        arrivals.append(
            Arrival(
                at=float(at_ms[i]),
                id=request_id,
                type=class_index,
                zone=zones[zone_indices[i]],
                work=float(sizes.work[i]),
                slots=float(sizes.slots[i]),
                memory=request_class.memory,
                credit=request_class.credit,
                receipt=f"r{request_id}" if request_class.effect == "receipted" else None,
                honours=bool(honours[i]),
                leaves=bool(leaves[i]),
                key=keys[i],
            )
        )
    return arrivals


def _zone_weights(day: Day, zone_count: int) -> NDArray[np.float64]:
    """Return how much of the load each zone gets, relative to the others, shape (zones,)."""
    weights = np.ones(zone_count)
    weights[0] += day.load.skew * zone_count
    return weights


def _drawn_indices(chance: np.random.Generator, count: int, weights: NDArray[np.float64]) -> NDArray[np.intp]:
    """Draw indices of a list with these weights, shape (count,)."""
    bounds = np.cumsum(weights / weights.sum())
    indices = np.searchsorted(bounds, chance.random(count), side="right")
    # The last bound may lie below 1 by rounding.
    return np.minimum(indices, len(weights) - 1)


class _Sizes(NamedTuple):
    """The standard work in ms and the slots of requests, shape (n,) each."""

    work: NDArray[np.float64]
    slots: NDArray[np.float64]


def _drawn_sizes(day: Day, seed: int, class_indices: NDArray[np.intp]) -> _Sizes:
    """Draw the sizes of requests, each class from streams of its own."""
    sizes = _Sizes(np.zeros(len(class_indices)), np.ones(len(class_indices)))
    for class_index, request_class in enumerate(day.types):
        of_class = class_indices == class_index
        count = int(of_class.sum())
        work = lognormal(
            stream(seed, "work", request_class.name), request_class.work_ms, request_class.cv, count
        )
        sizes.work[of_class] = np.minimum(work, MAX_WORK_IN_MEANS * request_class.work_ms)
        sizes.slots[of_class] = _drawn_slots(seed, request_class, count)
    return sizes


def _drawn_slots(seed: int, request_class: RequestType, count: int) -> NDArray[np.float64]:
    """Draw how many slots requests of a class take, shape (count,)."""
    bounds = np.cumsum(np.array(request_class.slots) / sum(request_class.slots))
    draws = stream(seed, "slots", request_class.name).random(count)
    return 1.0 + np.minimum(np.searchsorted(bounds, draws, side="right"), len(bounds) - 1)


def _drawn_keys(day: Day, seed: int, class_indices: NDArray[np.intp]) -> list[str | None]:
    """Draw the keys of requests: some are asked for far more often than others, by a power of their rank."""
    keys: list[str | None] = [None] * len(class_indices)
    for class_index, request_class in enumerate(day.types):
        if not request_class.keys:
            continue
        of_class = np.flatnonzero(class_indices == class_index).tolist()
        weights = np.arange(1.0, request_class.keys + 1.0) ** -request_class.key_skew
        chance = stream(seed, "keys", request_class.name)
        drawn = chance.choice(request_class.keys, len(of_class), p=weights / weights.sum())
        for i, key in zip(of_class, drawn.tolist(), strict=True):
            keys[i] = f"k{key}"
    return keys
