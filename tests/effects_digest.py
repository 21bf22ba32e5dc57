"""A digest of all effects of the reducer, by the values of their fields without names of types or fields.

The effects come from two kinds of plays: whole days of the virtual driver, and random walks in which a seeded
environment responds to one reducer, so that each event and each setting occurs. Any change of the effects or
of their order changes the digest. Of log lines only the numbers in them are part of the digest.
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


def canonical_text(value):
    """Return a value as text without names of types, fields or enum members."""
    if isinstance(value, Enum):
        return f"#{list(type(value)).index(value)}"
    if is_dataclass(value):
        return canonical_text([getattr(value, field.name) for field in fields(value)])
    if isinstance(value, tuple | list):
        return "[" + ",".join(map(canonical_text, value)) + "]"
    return value.hex() if isinstance(value, bytes) else repr(value)


class Digest:
    """A running digest and the number of effects by code.

    Attributes:
        hash: the SHA-256 of the effects so far.
        effect_counts: the number of effects by their codes in `CODES`.
    """

    def __init__(self):
        self.hash, self.effect_counts = hashlib.sha256(), Counter()

    def add(self, clock, effects):
        """Add the effects of one event at the time `clock` (ms)."""
        for effect in effects:
            code = CODES[type(effect)]
            values = re.findall(r"\d+(?:\.\d+)?", effect.text) if code == 12 else list(effect)
            self.hash.update(f"{clock!r} {code} {canonical_text(values)}\n".encode())
            self.effect_counts[code] += 1

    def result(self):
        """Return the digest with the number of effects by code."""
        return {
            "digest": self.hash.hexdigest(),
            "effects": {str(code): count for code, count in sorted(self.effect_counts.items())},
        }


# Days of the virtual driver.


def fault_tables(*rows):
    """Return tables of faults of 4 s and a share of 0.4, given as fault, start (s) and further fields."""
    return [{"what": what, "at_s": at_s, "for_s": 4.0, "share": 0.4, **more} for what, at_s, more in rows]


def request_types_with(**changes):
    """Return the tables of `worlds.TYPES` with some fields changed."""
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
        "types": request_types_with(effect="receipted", group="zone", keys=9),
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


def day_digest(name):
    """Play a day and return the digest of its nodes' effects."""
    digest = Digest()

    class DigestedReducer(Reducer):
        def reduce(self, clock, event):
            effects = super().reduce(clock, event)
            digest.add(clock, effects)
            return effects

    tables = dict(DAYS[name])
    rate = tables.pop("rate", 15.0)
    worlds.run_day(worlds.day(8.0, rate, **tables), 3, DigestedReducer)
    return digest.result()


# Random walks.

REQUEST_CLASSES = (
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
BASE = replace(SETTINGS, request_classes=REQUEST_CLASSES, kind_count=2, node_count=3, key_gap_ms=40.0)
WALKS = {
    "base": {},
    "hedged": {"may_hedge": True, "max_attempts": 3},
    "answers": {"reports_in_responses": True, "live_weights": True, "reports_start": False},
    "told": {"may_gossip": True, "cross_zone_cost": 0.3},
    "fetched": {"fetch_cost": 2.0, "weight_by_size": True},
    "not cancelled": {"may_cancel": False, "only_draining_excludes": True, "process_share": 0.5},
    "not probed": {"may_probe": False},
}
SERVER_COUNT = 14


class Walk:
    """One reducer in an environment that responds at random.

    Attributes:
        settings: the settings at the start; later changes of settings derive from them.
        core: the reducer.
        digest: the digest of its effects.
        random: the source of all random choices, seeded by the name of the walk.
        heap: the scheduled events by time (ms) and number.
        count: the number of events scheduled and requests made.
        clock: the virtual time in ms.
        ended_attempts: the attempts that have ended, as pairs of request id and index.
    """

    def __init__(self, name):
        self.settings, self.core, self.digest = replace(BASE, **WALKS[name]), Reducer(), Digest()
        self.random, self.heap, self.count = random.Random(name), [], 0
        self.clock, self.ended_attempts = 0.0, set[tuple[str, int]]()
        self.step(core.NodeStarted(self.settings, 11))

    def schedule(self, delay_ms, event):
        """Schedule an event after a delay; `event` may be a function that returns it at that time."""
        self.count += 1
        heapq.heappush(self.heap, (self.clock + delay_ms, self.count, event))

    def step(self, event):
        """Pass an event to the reducer, unless its attempt has ended, and respond to the effects."""
        attempt = getattr(event, "request_id", ""), getattr(event, "attempt_index", -1)
        if attempt in self.ended_attempts:
            return  # the end of an attempt is reported once, and no event of the attempt after that
        if type(event) in (core.AttemptEnded, core.NotDurable):
            self.ended_attempts.add(attempt)
        effects = self.core.reduce(self.clock, event)
        self.digest.add(self.clock, effects)
        for effect in effects:
            self.respond(effect)

    def respond(self, effect):
        """Schedule a random result of an effect."""
        draw = self.random
        if type(effect) is core.SetTimer:
            self.schedule(effect.delay_ms, core.TimerFired(effect.timer_id))
        elif type(effect) is core.Probe:
            delay_ms = draw.choice([0.5, 1.0, 3.0, 300.0])
            outcome = draw.choice(
                [Outcome.COMPLETED] * 7 + [Outcome.TIMED_OUT, Outcome.UNREACHABLE, Outcome.BROKEN]
            )
            self.schedule(delay_ms, core.ProbeEnded(effect.server, outcome, delay_ms, self.report()))
        elif type(effect) is core.WatchEndpoints:
            self.schedule(
                2.0,
                self.full_list if draw.random() < 0.7 else core.EndpointListUpdate(ListUpdateKind.FAILED, []),
            )
        elif type(effect) is core.Gossip:
            message = bytearray(effect.message)
            message[3::4] = bytes(draw.randrange(4) for _ in message[3::4])
            self.schedule(1.0, core.GossipReceived(draw.randrange(3), bytes(message)))
        elif type(effect) is core.SendAttempt:
            self.attempt(effect)
        elif type(effect) is core.CancelAttempt and draw.random() < 0.8:
            self.schedule(
                0.0,
                core.AttemptEnded(effect.request_id, effect.attempt_index, Outcome.CANCELLED, False, None),
            )

    def attempt(self, effect):
        """Schedule the random events of an attempt; 5 % of the attempts never end."""
        draw = self.random
        if draw.random() < 0.02:
            self.schedule(0.1, core.NotDurable(effect.request_id, effect.attempt_index))
            return
        wait_ms, run_ms = draw.expovariate(1 / 30.0), draw.expovariate(1 / 250.0)
        outcome = draw.choice([Outcome.COMPLETED] * 12 + list(Outcome))
        if draw.random() < 0.9:
            self.schedule(wait_ms, core.AttemptStarted(effect.request_id, effect.attempt_index))
            self.schedule(
                wait_ms + run_ms / 2, core.AttemptProgressed(effect.request_id, effect.attempt_index, 0.5)
            )
        if draw.random() < 0.1:
            self.schedule(
                wait_ms + run_ms * 0.9, core.ResponseStreaming(effect.request_id, effect.attempt_index)
            )
        if draw.random() < 0.95:
            final = outcome is Outcome.COMPLETED
            self.schedule(
                wait_ms + run_ms,
                core.AttemptEnded(
                    effect.request_id, effect.attempt_index, outcome, final, self.report(), b"r"
                ),
            )

    def report(self):
        """Draw a load report or none; each figure may be missing."""
        draw = self.random
        figures = [draw.choice([None, float(draw.randrange(9))]) for _ in range(3)]
        return draw.choice([None, LoadReport(*figures)])

    def entry(self, number):
        """Draw the endpoint list's entry of a server."""
        draw = self.random
        state = draw.choice([EndpointState.READY] * 8 + [EndpointState.DRAINING, EndpointState.GONE])
        started_ms = draw.choice([None, None, self.clock - draw.uniform(0.0, 6000.0)])
        cell = number // 3
        return EndpointEntry(
            f"e{number}", state, number % 2, number % 3, cell, started_ms, draw.choice([None, 0.5, 1.0, 2.0])
        )

    def full_list(self):
        """Draw an update with a whole list, which may be a cached one."""
        numbers = self.random.sample(range(SERVER_COUNT), self.random.randrange(8, SERVER_COUNT))
        update_kind = self.random.choice([ListUpdateKind.FULL, ListUpdateKind.FULL, ListUpdateKind.CACHED])
        doubt = self.random.choice([0.0, 0.4]) if update_kind is ListUpdateKind.CACHED else 0.0
        return core.EndpointListUpdate(update_kind, [self.entry(n) for n in numbers], doubt)

    def list_changes(self):
        """Draw an update with changes of two servers."""
        return core.EndpointListUpdate(
            ListUpdateKind.DELTA, [self.entry(n) for n in self.random.sample(range(SERVER_COUNT), 2)]
        )

    def arrival(self):
        """Draw an arrival, and, for 10 % of the requests, schedule that the client leaves."""
        draw, class_index = self.random, self.random.randrange(len(REQUEST_CLASSES))
        idempotency_key = (
            f"k{draw.randrange(60)}"
            if REQUEST_CLASSES[class_index].idempotency is not Idempotency.SAFE
            else None
        )
        self.count += 1
        request_id = f"r{self.count}"
        if draw.random() < 0.1:
            self.schedule(draw.uniform(5.0, 900.0), core.ClientLeft(request_id))
        return core.RequestArrived(
            Request(
                request_id,
                class_index,
                self.clock + draw.uniform(50.0, REQUEST_CLASSES[class_index].deadline_ms),
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
        name = f"e{self.random.randrange(SERVER_COUNT + 3)}"
        return AttemptRecord(name, 0, 1, self.clock - 50.0, self.clock + self.random.uniform(100.0, 3000.0))

    def rare_event(self):
        """Draw an event of history, of other processes of the node, or of changed settings."""
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
        draw, arrival_ms = self.random, 5.0
        self.schedule(0.5, self.full_list)
        while arrival_ms < until_ms:
            arrival_ms += draw.expovariate(1 / 14.0) * (0.2 if 8000.0 < arrival_ms < 10000.0 else 1.0)
            self.schedule(arrival_ms, self.arrival)
        for change_ms in range(500, int(until_ms), 500):
            self.schedule(float(change_ms) + 0.25, self.list_changes)
            self.schedule(float(change_ms) + 100.0, self.rare_event)
        self.schedule(until_ms, core.ShutdownBegun(1500.0))
        while self.heap and self.heap[0][0] < until_ms + 4000.0:
            self.clock, _, event = heapq.heappop(self.heap)
            self.step(event() if callable(event) else event)
        return self.digest.result()


def walk_digest(name):
    """Play a walk and return the digest of its effects."""
    return Walk(name).play()


def all_digests():
    """Play all days and walks and return their digests by the names used in tests/data/effects.json."""
    digests = {f"day: {name}": day_digest(name) for name in DAYS}
    return digests | {f"walk: {name}": walk_digest(name) for name in WALKS}
