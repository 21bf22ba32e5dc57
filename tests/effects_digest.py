"""A digest of all effects of the reducer, field by field and without names of types or fields.

Two kinds of plays: whole days of the virtual driver, and walks in which a seeded world answers one reducer at
random, so that each event and each setting is met. Whatever is drawn, asked or answered otherwise than
before, or in another order, changes the digest. Lines for staff count by the numbers in them alone.
"""

import hashlib
import heapq
import random
import re
from collections import Counter
from dataclasses import fields, is_dataclass, replace
from enum import Enum

import worlds
from conftest import SETTINGS

from marlseam import core
from marlseam.core import EndpointEntry, Reducer
from marlseam.core.idempotency import AttemptRecord
from marlseam.decisions.types import (
    DeduplicationScope,
    EndpointState,
    Idempotency,
    ListUpdateKind,
    LoadReport,
    Outcome,
    Request,
    RequestClass,
)

CODES = {
    core.SendAttempt: 1,
    core.CancelAttempt: 2,
    core.Respond: 3,
    core.Reject: 4,
    core.Fail: 5,
    core.Probe: 6,
    core.SetTimer: 7,
    core.PersistAttempt: 8,
    core.ErasePersisted: 9,
    core.WatchEndpoints: 10,
    core.Gossip: 11,
    core.Log: 12,
}


def plain(value):
    """Return a value as text that holds no name."""
    if isinstance(value, Enum):
        return f"#{list(type(value)).index(value)}"
    if is_dataclass(value):
        return plain([getattr(value, field.name) for field in fields(value)])
    if isinstance(value, tuple | list):
        return "[" + ",".join(map(plain, value)) + "]"
    return value.hex() if isinstance(value, bytes) else repr(value)


class Digest:
    """Takes in effects one by one."""

    def __init__(self):
        self.hash, self.kinds = hashlib.sha256(), Counter()

    def take(self, clock, effects):
        for effect in effects:
            code = CODES[type(effect)]
            shown = re.findall(r"\d+(?:\.\d+)?", effect.text) if code == 12 else list(effect)
            self.hash.update(f"{clock!r} {code} {plain(shown)}\n".encode())
            self.kinds[code] += 1

    def result(self):
        """Return the digest with how many effects of each kind it is of."""
        return {
            "digest": self.hash.hexdigest(),
            "effects": {str(code): count for code, count in sorted(self.kinds.items())},
        }


# Days of the virtual driver.


def fault_tables(*rows):
    return [{"what": what, "at_s": at, "for_s": 4.0, "share": 0.4, **more} for what, at, more in rows]


def of_types(**changes):
    return [type | changes for type in worlds.TYPES]


UNSAFE_TYPE = {
    "name": "pay",
    "share": 0.2,
    "work_ms": 400,
    "promised_ms": 400,
    "limit_ms": 6000,
    "effect": "exclusive",
}
SERVER_FAULTS = fault_tables(
    ("slow", 1.0, {}), ("errors", 3.0, {}), ("crash", 5.0, {}), ("silent", 6.0, {}), ("reset", 8.0, {})
)
DAYS = {
    "plain": {},
    "troubles": {"troubles": SERVER_FAULTS, "rate": 25.0},
    "cold": {
        "fleet": {"cold": True},
        "rate": 30.0,
        "troubles": fault_tables(("grow", 3.0, {}), ("crash", 5.0, {})),
    },
    "unsafe": {"types": [*worlds.TYPES, UNSAFE_TYPE], "troubles": SERVER_FAULTS},
    "in turn": {
        "types": [type | {"keys": 5, "in_turn": True} for type in [*worlds.TYPES, UNSAFE_TYPE]],
        "rules": {"turn_gap_ms": 50.0},
        "troubles": SERVER_FAULTS,
    },
    "hedged": {
        "rules": {"second_copies": True, "max_allocs": 3},
        "rate": 25.0,
        "troubles": fault_tables(("flapping", 1.0, {"for_s": 7.0})),
    },
    "answers": {"reports": {"answers": True}, "troubles": SERVER_FAULTS, "rate": 25.0},
    "no probes": {"rules": {"probes": False, "cancel": False}, "troubles": SERVER_FAULTS},
    "keyed": {
        "types": of_types(effect="receipted", group="zone", keys=9),
        "clients": {"resend": True, "leave": 0.2},
        "troubles": SERVER_FAULTS,
    },
    "outage": {
        "troubles": fault_tables(
            ("roster_outage", 1.0, {}), ("shrink", 4.0, {}), ("zone_cut", 6.0, {}), ("node_roll", 8.0, {})
        ),
        "rules": {"drain_binds_alone": True},
    },
}


def played_day(name):
    """Play a day and return the digest of its nodes' effects."""
    digest = Digest()

    class DigestedReducer(Reducer):
        def reduce(self, clock, event):
            effects = super().reduce(clock, event)
            digest.take(clock, effects)
            return effects

    tables = dict(DAYS[name])
    rate = tables.pop("rate", 15.0)
    worlds.played(worlds.day(8.0, rate, **tables), 3, DigestedReducer)
    return digest.result()


# Walks.

TYPES = (
    RequestClass(
        200.0, 2.0, 5000.0, Idempotency.SAFE, DeduplicationScope.ALL, 5000.0, -1, priority_weight=2.0
    ),
    RequestClass(300.0, 1.0, 4000.0, Idempotency.KEYED, DeduplicationScope.CELL, 3000.0, -1),
    RequestClass(
        400.0, 2.0, 6000.0, Idempotency.UNSAFE, DeduplicationScope.ALL, 5000.0, 1, priority_weight=3.0
    ),
    RequestClass(250.0, 2.0, 5000.0, Idempotency.KEYED, DeduplicationScope.ALL, 9000.0, 0),
    RequestClass(
        250.0, 2.0, 5000.0, Idempotency.KEYED, DeduplicationScope.ZONE, 9000.0, -1, ordered_by_key=True
    ),
)
BASE = replace(SETTINGS, request_classes=TYPES, kind_count=2, node_count=3, key_gap_ms=40.0)
WALKS = {
    "base": {},
    "hedged": {"may_hedge": True, "max_attempts": 3},
    "answers": {"reports_in_responses": True, "live_weights": True, "reports_start": False},
    "told": {"may_gossip": True, "cross_zone_cost": 0.3},
    "fetched": {"fetch_cost": 2.0, "weight_by_size": True},
    "not cancelled": {"may_cancel": False, "only_draining_excludes": True, "process_share": 0.5},
    "not probed": {"may_probe": False},
}
SERVERS = 14


class Walk:
    """One reducer in a world that answers at random; quotas change with `Renewed`."""

    def __init__(self, name):
        self.settings, self.core, self.digest = replace(BASE, **WALKS[name]), Reducer(), Digest()
        self.random, self.heap, self.count = random.Random(name), [], 0
        self.clock, self.settled = 0.0, set[tuple[str, int]]()
        self.step(core.NodeStarted(self.settings, 11))

    def at(self, delay, event):
        """Play an event later; `event` may be a function that makes it then."""
        self.count += 1
        heapq.heappush(self.heap, (self.clock + delay, self.count, event))

    def step(self, event):
        attempt = getattr(event, "request_id", ""), getattr(event, "attempt_index", -1)
        if attempt in self.settled:
            return  # an attempt's end is told once, and nothing of it after that
        if type(event) in (core.AttemptEnded, core.NotDurable):
            self.settled.add(attempt)
        effects = self.core.reduce(self.clock, event)
        self.digest.take(self.clock, effects)
        for effect in effects:
            self.answer(effect)

    def answer(self, effect):
        """Draw what becomes of an effect."""
        draw = self.random
        if type(effect) is core.SetTimer:
            self.at(effect.delay_ms, core.TimerFired(effect.timer_id))
        elif type(effect) is core.Probe:
            late = draw.choice([0.5, 1.0, 3.0, 300.0])
            outcome = draw.choice(
                [Outcome.COMPLETED] * 7 + [Outcome.TIMED_OUT, Outcome.UNREACHABLE, Outcome.BROKEN]
            )
            self.at(late, core.ProbeEnded(effect.server, outcome, late, self.report()))
        elif type(effect) is core.WatchEndpoints:
            self.at(
                2.0,
                self.whole_list
                if draw.random() < 0.7
                else core.EndpointListUpdate(ListUpdateKind.FAILED, []),
            )
        elif type(effect) is core.Gossip:
            other = bytearray(effect.message)
            other[3::4] = bytes(draw.randrange(4) for _ in other[3::4])
            self.at(1.0, core.GossipReceived(draw.randrange(3), bytes(other)))
        elif type(effect) is core.SendAttempt:
            self.attempt(effect)
        elif type(effect) is core.CancelAttempt and draw.random() < 0.8:
            self.at(
                0.0,
                core.AttemptEnded(effect.request_id, effect.attempt_index, Outcome.CANCELLED, False, None),
            )

    def attempt(self, effect):
        draw = self.random
        if draw.random() < 0.02:
            self.at(0.1, core.NotDurable(effect.request_id, effect.attempt_index))
            return
        wait, run = draw.expovariate(1 / 30.0), draw.expovariate(1 / 250.0)
        outcome = draw.choice([Outcome.COMPLETED] * 12 + list(Outcome))
        if draw.random() < 0.9:
            self.at(wait, core.AttemptStarted(effect.request_id, effect.attempt_index))
            self.at(wait + run / 2, core.AttemptProgressed(effect.request_id, effect.attempt_index, 0.5))
        if draw.random() < 0.1:
            self.at(wait + run * 0.9, core.ResponseStreaming(effect.request_id, effect.attempt_index))
        if draw.random() < 0.95:
            final = outcome is Outcome.COMPLETED
            self.at(
                wait + run,
                core.AttemptEnded(
                    effect.request_id, effect.attempt_index, outcome, final, self.report(), b"r"
                ),
            )

    def report(self):
        """Draw a load report, of which parts may be missing."""
        draw = self.random
        rows = [draw.choice([None, float(draw.randrange(9))]) for _ in range(3)]
        return draw.choice([None, LoadReport(*rows)])

    def entry(self, number):
        draw = self.random
        state = draw.choice([EndpointState.READY] * 8 + [EndpointState.DRAINING, EndpointState.GONE])
        born = draw.choice([None, None, self.clock - draw.uniform(0.0, 6000.0)])
        cell = number // 3
        return EndpointEntry(
            f"e{number}", state, number % 2, number % 3, cell, born, draw.choice([None, 0.5, 1.0, 2.0])
        )

    def whole_list(self):
        numbers = self.random.sample(range(SERVERS), self.random.randrange(8, SERVERS))
        listing = self.random.choice([ListUpdateKind.FULL, ListUpdateKind.FULL, ListUpdateKind.CACHED])
        doubt = self.random.choice([0.0, 0.4]) if listing is ListUpdateKind.CACHED else 0.0
        return core.EndpointListUpdate(listing, [self.entry(n) for n in numbers], doubt)

    def changes(self):
        return core.EndpointListUpdate(
            ListUpdateKind.DELTA, [self.entry(n) for n in self.random.sample(range(SERVERS), 2)]
        )

    def arrival(self):
        draw, type = self.random, self.random.randrange(len(TYPES))
        idempotency_key = (
            f"k{draw.randrange(60)}" if TYPES[type].idempotency is not Idempotency.SAFE else None
        )
        self.count += 1
        request_id = f"r{self.count}"
        if draw.random() < 0.1:
            self.at(draw.uniform(5.0, 900.0), core.ClientLeft(request_id))
        return core.RequestArrived(
            Request(
                request_id,
                type,
                self.clock + draw.uniform(50.0, TYPES[type].deadline_ms),
                draw.choice([1.0, 1.0, 2.0]),
                draw.choice([None, 120.0]),
                idempotency_key,
                draw.choice([None, f"t{draw.randrange(8)}"]),
                draw.random() < 0.2,
                draw.random() < 0.95,
                draw.random() < 0.95,
            )
        )

    def attempt_record(self):
        """Draw the record of an earlier attempt."""
        name = f"e{self.random.randrange(SERVERS + 3)}"
        return AttemptRecord(name, 0, 1, self.clock - 50.0, self.clock + self.random.uniform(100.0, 3000.0))

    def rare_event(self):
        """Draw one of the events that are rare."""
        draw, key = self.random, f"k{self.random.randrange(60)}"
        return draw.choice(
            [
                core.HistoryRecovered({key: [self.attempt_record()]}),
                core.PeerAttempt(key, self.attempt_record()),
                core.PeerAttemptNeverRan(key, "e1", self.clock),
                core.HistoryUnavailable("store", draw.choice([None, self.clock - 3000.0])),
                core.HistoryAvailable("store"),
                core.SettingsChanged(
                    replace(
                        self.settings, process_share=draw.choice([0.25, 0.5, 1.0]), max_retry_after_ms=500.0
                    )
                ),
            ]
        )

    def play(self, until_ms=30000.0):
        """Play the walk to its end and return the digest."""
        draw, t = self.random, 5.0
        self.at(0.5, self.whole_list)
        while t < until_ms:
            t += draw.expovariate(1 / 14.0) * (0.2 if 8000.0 < t < 10000.0 else 1.0)
            self.at(t, self.arrival)
        for at in range(500, int(until_ms), 500):
            self.at(float(at) + 0.25, self.changes)
            self.at(float(at) + 100.0, self.rare_event)
        self.at(until_ms, core.ShutdownBegun(1500.0))
        while self.heap and self.heap[0][0] < until_ms + 4000.0:
            self.clock, _, event = heapq.heappop(self.heap)
            self.step(event() if callable(event) else event)
        return self.digest.result()


def played_walk(name):
    """Play a walk and return the digest of its effects."""
    return Walk(name).play()


def play_all():
    """Return each play's digest by its name."""
    found = {f"day: {name}": played_day(name) for name in DAYS}
    return found | {f"walk: {name}": played_walk(name) for name in WALKS}
