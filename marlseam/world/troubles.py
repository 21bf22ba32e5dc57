"""A day's troubles: a schedule, given or drawn from the seed, and whom each one meets.

What each does to an executor is done here; what it does to lines, roster and nodes, by the driver that plays
it.
"""

from math import inf
from typing import NamedTuple

import msgspec
import numpy as np

from marlseam.decisions.types import EndpointState
from marlseam.world.chance import stream
from marlseam.world.executor import Ills
from marlseam.world.model import Day, Trouble, executors, nodes

ON_NODES = ("node_kill", "node_roll", "node_reload")
SIZES = {"slow": (2.0, 8.0), "errors": (0.4, 1.0), "tail": (5.0, 20.0), "neighbour": (0.3, 0.7)}


class Met(NamedTuple):
    """A trouble of the schedule with its targets; times in ms."""

    trouble: Trouble
    at: float
    until: float
    targets: list[str]


def drawn(day: Day, seed: int) -> list[Trouble]:
    """Draw a day's own troubles: each begins in the middle of the day; two may overlap."""
    chance, found = stream(seed, "troubles"), []
    for _ in range(day.drawn.count):
        what = day.drawn.of[int(chance.integers(len(day.drawn.of)))]
        low, high = SIZES.get(what, (2.0, 6.0))
        at = day.seconds * (0.15 + 0.5 * chance.random())
        length = day.seconds * (0.15 + 0.2 * chance.random())
        size, share = low + (high - low) * chance.random(), 0.1 + 0.2 * chance.random()
        found.append(Trouble(what=what, at_s=at, for_s=length, share=share, size=size))
    return found


def schedule(day: Day, seed: int) -> list[Met]:
    """Return all troubles with their targets, in the order of their begin."""
    names = [name for name, *_ in executors(day)]
    found = []
    for i, trouble in enumerate([*day.troubles, *drawn(day, seed)]):
        chance = stream(seed, "targets", i)
        if trouble.targets:
            targets = list(trouble.targets)
        elif trouble.what in ("zone_cut", "slow_link"):
            targets = [day.fleet.zones[int(chance.integers(len(day.fleet.zones)))]]
        elif trouble.what in ("roster_outage", "surge"):
            targets = []
        else:
            pool = [name for name, _ in nodes(day)] if trouble.what in ON_NODES else names
            count = max(1, round(trouble.share * len(pool)))
            if trouble.by == "zone":
                zone = day.fleet.zones[int(chance.integers(len(day.fleet.zones)))]
                pool = [name for name, _, _, place, _ in executors(day) if place == zone]
                count = min(count, len(pool))
            targets = [pool[i] for i in sorted(chance.choice(len(pool), count, replace=False).tolist())]
        at = trouble.at_s * 1000.0
        found.append(Met(trouble, at, at + trouble.for_s * 1000.0, targets))
        if trouble.what == "flapping":
            found += turns(found[-1], chance)
    return sorted(found, key=lambda met: met.at)


def turns(met: Met, chance: np.random.Generator) -> list[Met]:
    """Return the turns in which a trouble fails its targets, each at times of its own."""
    found, turn = [], 1000.0 * met.trouble.size
    bad = msgspec.structs.replace(met.trouble, what=met.trouble.how)
    for name in met.targets:
        t = met.at + turn * chance.random()
        while t < met.until:
            end = min(met.until, t + turn * met.trouble.part * (0.5 + chance.random()))
            found.append(Met(bad, t, end, [name]))
            t = end + turn * (1.0 - met.trouble.part) * (0.5 + chance.random())
    return found


def surges(met: list[Met]) -> list[tuple[float, float, float]]:
    """Return the schedule's surges as `plan.times` takes them."""
    return [(m.at, m.until, m.trouble.size) for m in met if m.trouble.what == "surge"]


def ills(met: list[Met], executor: str, now: float) -> Ills:
    """Return what the troubles that are on at a time make of an executor; overlapping ones add up."""
    found = Ills()
    for trouble in (m.trouble for m in met if m.at <= now < m.until and executor in m.targets):
        if trouble.what == "slow":
            found.slow *= max(1.0, trouble.size)
        elif trouble.what == "neighbour":
            found.neighbour = min(0.95, found.neighbour + trouble.size)
        elif trouble.what == "errors":
            found.errors, found.error_type = min(1.0, found.errors + trouble.size), trouble.type
        elif trouble.what == "tail":
            found.tail, found.tail_size = 0.05, max(found.tail_size, trouble.size)
        elif trouble.what == "false_reports":
            found.slow *= max(1.0, trouble.size)
            found.told = min(found.told, trouble.part)
        elif trouble.what == "late_reports":
            found.late_ms += 1000.0 * trouble.size
    return found


class Listed(NamedTuple):
    """A change of the roster: when it is listed, in ms, and what it says."""

    at: float
    executor: str
    state: EndpointState
    born: float | None


def listings(day: Day, met: list[Met]) -> list[Listed]:
    """Return what the roster learns over a day, in order; silence takes longer to be noticed than an end."""
    found = []
    for m in met:
        if m.trouble.what not in ("silent", "crash", "shrink", "grow"):
            continue
        for edge in (m.at, m.until):
            quiet = m.trouble.what == "silent" and edge == m.at
            lag = day.roster.silent_lag_ms if quiet else day.roster.lag_ms
            if quiet and lag >= m.until - m.at:
                continue
            found += [Listed(edge + lag, name, *listed_at(met, name, edge)) for name in m.targets]
    return sorted(found, key=lambda listed: listed.at)


def listed_at(met: list[Met], executor: str, t: float) -> tuple[EndpointState, float | None]:
    """Return an executor's true state at a time, and when its process was born if that was in this day."""
    state, born = EndpointState.READY, None
    for m in met:
        if executor not in m.targets:
            continue
        on = m.at <= t < m.until
        match m.trouble.what:
            case "silent" | "crash" if on:
                state = EndpointState.GONE
            case "shrink" if t >= m.at:
                state = EndpointState.DRAINING if on else EndpointState.GONE
            case "grow" if t < m.at:
                state = EndpointState.GONE
        risen = {"crash": m.until, "grow": m.at}.get(m.trouble.what, inf)
        if risen <= t:
            born = max(born or 0.0, risen)
    return state, born
