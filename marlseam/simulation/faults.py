"""A day's faults: the schedule, given or drawn from the seed, with the targets of each fault.

This module determines the effects of faults on servers and on the endpoint list. The driver that plays the
day applies the faults of links and nodes.
"""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

import msgspec
import numpy as np

from marlseam.decisions.types import EndpointState
from marlseam.simulation.model import Day, Fault, placed_nodes, placed_servers
from marlseam.simulation.plan import Surge
from marlseam.simulation.random_streams import random_stream
from marlseam.simulation.server import FaultEffects

NODE_FAULTS = ("node_kill", "node_roll", "node_reload")
ZONE_FAULTS = ("zone_cut", "slow_link")
UNTARGETED_FAULTS = ("roster_outage", "surge")
LISTED_FAULTS = ("silent", "crash", "shrink", "grow")  # change the endpoint list
MAX_STOLEN_SHARE = 0.95  # of a server's speed, that all `neighbour` faults together take at most
TAIL_SHARE = 0.05  # share of jobs whose work is multiplied by the size of a `tail` fault


class SizeRange(NamedTuple):
    """The range of a drawn fault's size; `high` is exclusive."""

    low: float
    high: float


SIZE_RANGES = {
    "slow": SizeRange(2.0, 8.0),
    "errors": SizeRange(0.4, 1.0),
    "tail": SizeRange(5.0, 20.0),
    "neighbour": SizeRange(0.3, 0.7),
}
DEFAULT_SIZE_RANGE = SizeRange(2.0, 6.0)


class ScheduledFault(NamedTuple):
    """A fault of the schedule with the names of its targets; begin and exclusive end are ms of the run."""

    settings: Fault
    at: float
    until: float
    targets: list[str]

    def is_on(self, at_ms: float) -> bool:
        """Return whether the fault is active at a time."""
        return self.at <= at_ms < self.until


def drawn(day: Day, seed: int) -> list[Fault]:
    """Draw the day's random faults: each begins in the middle of the day; they may overlap."""
    rng = random_stream(seed, "troubles")
    return [_drawn_fault(day, rng) for _ in range(day.drawn.count)]


def _drawn_fault(day: Day, rng: np.random.Generator) -> Fault:
    """Draw one fault. The order of the draws must not change: it determines the faults of each seed."""
    what = day.drawn.of[int(rng.integers(len(day.drawn.of)))]
    sizes = SIZE_RANGES.get(what, DEFAULT_SIZE_RANGE)
    at_s = day.seconds * (0.15 + 0.5 * rng.random())
    for_s = day.seconds * (0.15 + 0.2 * rng.random())
    size = sizes.low + (sizes.high - sizes.low) * rng.random()
    share = 0.1 + 0.2 * rng.random()
    return Fault(what=what, at_s=at_s, for_s=for_s, share=share, size=size)


def schedule(day: Day, seed: int) -> list[ScheduledFault]:
    """Return all faults, given and drawn, with their targets, sorted by their begin."""
    faults: list[ScheduledFault] = []
    for index, settings in enumerate([*day.troubles, *drawn(day, seed)]):
        rng = random_stream(seed, "targets", index)
        targets = _targets(day, settings, rng)
        at_ms = settings.at_s * 1000.0
        fault = ScheduledFault(settings, at_ms, at_ms + settings.for_s * 1000.0, targets)
        faults.append(fault)
        if settings.what == "flapping":
            faults += flaps(fault, rng)
    return sorted(faults, key=lambda fault: fault.at)


def _targets(day: Day, settings: Fault, rng: np.random.Generator) -> list[str]:
    """Return the names of a fault's targets: those in its settings, else drawn ones; none for some faults."""
    if settings.targets:
        return list(settings.targets)
    if settings.what in ZONE_FAULTS:
        return [_drawn_zone(day, rng)]
    if settings.what in UNTARGETED_FAULTS:
        return []
    if settings.what in NODE_FAULTS:
        pool = [node.name for node in placed_nodes(day)]
    else:
        pool = [server.name for server in placed_servers(day)]
    count = max(1, round(settings.share * len(pool)))
    if settings.by == "zone":
        zone = _drawn_zone(day, rng)
        pool = [server.name for server in placed_servers(day) if server.zone == zone]
        count = min(count, len(pool))
    return [pool[i] for i in sorted(rng.choice(len(pool), count, replace=False).tolist())]


def _drawn_zone(day: Day, rng: np.random.Generator) -> str:
    """Draw one of a day's zones."""
    return day.fleet.zones[int(rng.integers(len(day.fleet.zones)))]


def flaps(fault: ScheduledFault, rng: np.random.Generator) -> list[ScheduledFault]:
    """Draw the short faults that a `flapping` fault consists of, at separate times for each target."""
    settings, period_ms = fault.settings, 1000.0 * fault.settings.size
    short = msgspec.structs.replace(settings, what=settings.how)
    found = []
    for name in fault.targets:
        at_ms = fault.at + period_ms * rng.random()
        while at_ms < fault.until:
            end_ms = min(fault.until, at_ms + period_ms * settings.part * (0.5 + rng.random()))
            found.append(ScheduledFault(short, at_ms, end_ms, [name]))
            at_ms = end_ms + period_ms * (1.0 - settings.part) * (0.5 + rng.random())
    return found


def surges(faults: Iterable[ScheduledFault]) -> list[Surge]:
    """Return the schedule's surges of arrivals."""
    return [
        Surge(fault.at, fault.until, fault.settings.size)
        for fault in faults
        if fault.settings.what == "surge"
    ]


def fault_effects(faults: Iterable[ScheduledFault], server: str, now_ms: float) -> FaultEffects:
    """Return the combined effects on a server of the faults that are active at a time."""
    effects = FaultEffects()
    for fault in faults:
        if fault.is_on(now_ms) and server in fault.targets:
            _add_effect(effects, fault.settings)
    return effects


def _add_effect(effects: FaultEffects, settings: Fault) -> None:
    """Combine the effect of one fault on a server with `effects`, in place.

    The shares of several `errors` faults add up, and the request class of the last one applies to the sum.
    """
    match settings.what:
        case "slow":
            effects.slowdown *= max(1.0, settings.size)
        case "neighbour":
            effects.stolen_share = min(MAX_STOLEN_SHARE, effects.stolen_share + settings.size)
        case "errors":
            effects.error_share = min(1.0, effects.error_share + settings.size)
            effects.error_class = settings.type
        case "tail":
            effects.tail_share = TAIL_SHARE
            effects.tail_factor = max(effects.tail_factor, settings.size)
        case "false_reports":
            effects.slowdown *= max(1.0, settings.size)
            effects.reported_share = min(effects.reported_share, settings.part)
        case "late_reports":
            effects.report_delay_ms += 1000.0 * settings.size


class ListChange(NamedTuple):
    """A change of the endpoint list.

    Attributes:
        at: when the list changes, in ms of the run.
        server: the server's name.
        state: the state to list.
        started_ms: when the server's process started, in ms of the run; None if that was before the day.
    """

    at: float
    server: str
    state: EndpointState
    started_ms: float | None


class ServerState(NamedTuple):
    """A server's true state, and when its process started (ms of the run; None: before the day)."""

    state: EndpointState
    started_ms: float | None


def listings(day: Day, faults: list[ScheduledFault]) -> list[ListChange]:
    """Return the changes of the endpoint list over a day, sorted by time.

    The list changes later than the servers: by `silent_lag_ms` for a server that falls silent, by `lag_ms`
    for any other change. The begin of a silence that is over within its lag is not listed.
    """
    changes: list[ListChange] = []
    for fault in faults:
        if fault.settings.what not in LISTED_FAULTS:
            continue
        for edge_ms in (fault.at, fault.until):
            lag_ms = day.roster.lag_ms
            if fault.settings.what == "silent" and edge_ms == fault.at:
                lag_ms = day.roster.silent_lag_ms
                if lag_ms >= fault.until - fault.at:
                    continue
            changes += [
                ListChange(edge_ms + lag_ms, name, *true_state(faults, name, edge_ms))
                for name in fault.targets
            ]
    return sorted(changes, key=lambda change: change.at)


def true_state(faults: Iterable[ScheduledFault], server: str, at_ms: float) -> ServerState:
    """Return a server's true state at a time, in ms of the run."""
    state, started_ms = EndpointState.READY, None
    for fault in faults:
        if server not in fault.targets:
            continue
        what, is_on = fault.settings.what, fault.is_on(at_ms)
        if (what in ("silent", "crash") and is_on) or (what == "grow" and at_ms < fault.at):
            state = EndpointState.GONE
        elif what == "shrink" and at_ms >= fault.at:
            state = EndpointState.DRAINING if is_on else EndpointState.GONE
        restart_ms = {"crash": fault.until, "grow": fault.at}.get(what, inf)
        if restart_ms <= at_ms:
            started_ms = max(started_ms or 0.0, restart_ms)
    return ServerState(state, started_ms)
