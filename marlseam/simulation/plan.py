"""The arrivals of a day: each request's intended time, class, size, zone and priority weight.

They depend on the day and the seed alone, so that every driver and process plays the same arrivals.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray

from marlseam.simulation.model import Day, Load, RequestType, placed_nodes
from marlseam.simulation.random_streams import lognormal, random_stream

MAX_WORK_IN_MEANS = 12.0  # largest work of a request, as a multiple of the mean of its class
RATE_STEP_MS = 10.0  # step in which the rate of arrivals counts as constant


class Surge(NamedTuple):
    """A period in which the rate of arrivals is multiplied by `factor`; its end is exclusive."""

    from_ms: float
    until_ms: float
    factor: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """The first try of a request, or any try of a trace.

    Attributes:
        at: the intended time of the send, in ms from the day's begin.
        id: the id of the try.
        type: the index of the request class in the day.
        zone: the zone of the client.
        work: the standard work in ms.
        slots: the number of slots that the request occupies.
        memory: the memory that the request occupies, in units.
        credit: the priority weight.
        receipt: the idempotency key, None where the class has none.
        honours: whether the client honours Retry-After.
        leaves: whether the client leaves early.
        first: in a trace that holds retries the id of the request's first try, else empty.
        number: 0 for a first try, 1 for the first retry.
        key: the key whose requests may have to run in order, None for none.
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


def arrival_times_ms(
    load: Load, seconds: float, seed: int, surges: Sequence[Surge] | None = None
) -> NDArray[np.float64]:
    """Return the intended times of a day's requests in ms, shape (n,).

    The times are the inverse of the integrated rate (the expected count so far) at equal steps for even
    arrivals, at exponentially distributed steps for Poisson arrivals.
    """
    grid_ms = np.arange(0.0, seconds * 1000.0 + RATE_STEP_MS, RATE_STEP_MS)
    rate = _rate_on_grid(load, seconds, grid_ms, surges or [])
    expected_count = np.concatenate([[0.0], np.cumsum(rate[:-1] * RATE_STEP_MS / 1000.0)])
    total = expected_count[-1]
    if load.arrivals == "even":
        counts = np.arange(0.0, total)
    else:
        # Ten standard deviations above the expected count, so that the draws reach the day's end.
        draws = int(total + 10.0 * np.sqrt(total + 1.0)) + 20
        counts = np.cumsum(random_stream(seed, "arrivals").exponential(1.0, draws))
        counts = counts[counts < total]
    at_ms: NDArray[np.float64] = np.interp(counts, expected_count, grid_ms)
    return at_ms


def _rate_on_grid(
    load: Load, seconds: float, grid_ms: NDArray[np.float64], surges: Sequence[Surge]
) -> NDArray[np.float64]:
    """Return the rate of arrivals at each time of a grid, in requests per second, shape (n,)."""
    rate = np.full(len(grid_ms), load.rate)
    if load.shape == "ramp":
        rate += (load.to_rate - load.rate) * grid_ms / (seconds * 1000.0)
    elif load.shape == "burst":
        burst_end_s = load.burst_at_s + load.burst_for_s
        rate[(grid_ms >= load.burst_at_s * 1000.0) & (grid_ms < burst_end_s * 1000.0)] = load.to_rate
    for surge in surges:
        rate[(grid_ms >= surge.from_ms) & (grid_ms < surge.until_ms)] *= surge.factor
    return rate


def make_arrivals(day: Day, seed: int, surges: Sequence[Surge] | None = None) -> list[Arrival]:
    """Return a day's requests, sorted by their intended times."""
    at_ms = arrival_times_ms(day.load, day.seconds, seed, surges)
    count = len(at_ms)
    # The order of these draws must not change: it determines the arrivals of each seed.
    rng = random_stream(seed, "plan")
    class_indices = _drawn_indices(rng, count, np.array([each.share for each in day.types]))
    zones = list(dict.fromkeys(node.zone for node in placed_nodes(day)))
    zone_indices = _drawn_indices(rng, count, _zone_weights(day, len(zones)))
    honours = rng.random(count) < day.clients.honour
    leaves = rng.random(count) < day.clients.leave
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
    """Return the relative share of the load of each zone, shape (zones,)."""
    weights = np.ones(zone_count)
    weights[0] += day.load.skew * zone_count
    return weights


def _drawn_indices(rng: np.random.Generator, count: int, weights: NDArray[np.float64]) -> NDArray[np.intp]:
    """Draw indices into a list whose items have these weights, shape (count,)."""
    bounds = np.cumsum(weights / weights.sum())
    indices = np.searchsorted(bounds, rng.random(count), side="right")
    # Guards against an index past the end: the last bound may be below 1 by rounding.
    return np.minimum(indices, len(weights) - 1)


class _Sizes(NamedTuple):
    """The standard work in ms and the number of slots of each request, shape (n,) each."""

    work: NDArray[np.float64]
    slots: NDArray[np.float64]


def _drawn_sizes(day: Day, seed: int, class_indices: NDArray[np.intp]) -> _Sizes:
    """Draw the sizes of requests, with separate random streams for each class."""
    sizes = _Sizes(np.zeros(len(class_indices)), np.ones(len(class_indices)))
    for class_index, request_class in enumerate(day.types):
        of_class = class_indices == class_index
        count = int(of_class.sum())
        work = lognormal(
            random_stream(seed, "work", request_class.name), request_class.work_ms, request_class.cv, count
        )
        sizes.work[of_class] = np.minimum(work, MAX_WORK_IN_MEANS * request_class.work_ms)
        sizes.slots[of_class] = _drawn_slots(seed, request_class, count)
    return sizes


def _drawn_slots(seed: int, request_class: RequestType, count: int) -> NDArray[np.float64]:
    """Draw the number of slots of each request of a class, shape (count,)."""
    bounds = np.cumsum(np.array(request_class.slots) / sum(request_class.slots))
    draws = random_stream(seed, "slots", request_class.name).random(count)
    return 1.0 + np.minimum(np.searchsorted(bounds, draws, side="right"), len(bounds) - 1)


def _drawn_keys(day: Day, seed: int, class_indices: NDArray[np.intp]) -> list[str | None]:
    """Draw the key of each request, None for classes without keys; frequencies follow a power law of rank."""
    keys: list[str | None] = [None] * len(class_indices)
    for class_index, request_class in enumerate(day.types):
        if not request_class.keys:
            continue
        of_class = np.flatnonzero(class_indices == class_index).tolist()
        weights = np.arange(1.0, request_class.keys + 1.0) ** -request_class.key_skew
        rng = random_stream(seed, "keys", request_class.name)
        drawn = rng.choice(request_class.keys, len(of_class), p=weights / weights.sum())
        for i, key in zip(of_class, drawn.tolist(), strict=True):
            keys[i] = f"k{key}"
    return keys
