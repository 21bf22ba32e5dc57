"""A node's memory across restarts.

The store's entries, made of the reducer's effects and the roster's words.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from marlseam import core
from marlseam.net.connection import Steps
from marlseam.recovery import lists
from marlseam.recovery.lists import Saved, Turnover
from marlseam.recovery.receipts import Trace, told
from marlseam.store import format as form
from marlseam.store.keeper import Keeper

if TYPE_CHECKING:
    from marlseam.net.node import Node

HEARD_MS = 5000.0  # how often the roster's silence about changes is noted
LISTED_MS = 1000.0  # least time between two lists in the journal


class Memory:
    """Joins a node, its store and what it recovers."""

    def __init__(self, node: Node) -> None:
        self.node, self.clock = node, node.loop.clock
        self.keeper = Keeper(node.loop, node.log, node.config.store, node.config.name, self.entries)
        self.turnover = Turnover()
        self.numbers: dict[str, int] = {}  # of what must be durable, by work unit
        self.noted_ms = self.listed_ms = -1e18
        self.heard_unix_ms = 0.0  # when the list that is held was last confirmed
        self.counted: set[str] = set()  # executors whose time is counted, and since when
        self.counted_ms = 0.0
        self.changed = False

    # The start.

    def recover(self) -> None:
        """Take up what the last life left, and begin to keep what this one does."""
        began = time.monotonic()
        gc.disable()  # guards the start: each collection looks at all the keys read so far
        state = self.keeper.load()
        node, unix = self.node, time.time() * 1000.0
        self.turnover = Turnover(state.turnover.departures, state.turnover.lived_ms)
        node.core.receipts.most = node.config.store.keys
        zones = node.config.deployment.zones
        since = -self.clock.unix_zero_ms
        names = {r.executor: r.executor for rows in state.sent.values() for r in rows}  # each held once

        def trace(r: form.Sent) -> Trace:
            zone = zones.get(r.zone, -1)
            return Trace(names[r.executor], zone, r.cell, r.sent_ms + since, r.until_ms + since)

        traces = {key: [trace(r) for r in rows] for key, rows in state.sent.items()}
        if traces:
            node.post(core.Recalled(traces))
        gc.enable()
        known = node.config.known
        file = state.listed and Saved(state.listed.version, state.listed.rows, state.listed.heard_ms)
        given = Saved(int(known.get("seq", 0)), known.get("hosts", []), None) if known else None
        chosen = lists.choose(file, given)
        if chosen is file and file is not None:
            age = lists.age(file, unix)
            doubt = lists.doubt(age, self.turnover)
            self.heard_unix_ms = file.heard_ms
            node.discovery.begin({"seq": file.version, "whole": True, "hosts": file.rows}, doubt)
            shown = "of unknown age" if age is None else f"{age / 1000.0:.0f} s old"
            took = 1000.0 * (time.monotonic() - began)
            node.log.line(
                f"starts from its own list, {shown}: {len(file.rows)} executors, doubt {doubt:.3f}, "
                f"{len(traces)} keys on record, read in {took:.0f} ms"
            )
        else:
            node.discovery.begin()
        self.counted, self.counted_ms = set(node.discovery.held), node.loop.now()
        node.discovery.heard = self.heard
        self.keeper.begin()

    # Entries.

    def entries(self) -> list[form.Entry]:
        """Return all of the state, for a snapshot."""
        found: list[form.Entry] = [form.Turned(self.turnover.departures, self.turnover.lived_ms)]
        if self.node.discovery.held:
            found.append(self.list_now())
        self.node.core.receipts.expire(self.node.loop.now())
        return found + [self.sent(key, trace) for key, trace in self.node.core.receipts]

    def list_now(self) -> form.Listed:
        """Return the list as it is held, with the time at which the roster last confirmed it."""
        discovery = self.node.discovery
        return form.Listed(max(0, discovery.version), discovery.rows(), self.heard_unix_ms)

    def sent(self, key: str, trace: Trace) -> form.Sent:
        """Return a sending as the files hold it."""
        return form.Sent(*told(key, trace, self.node.config.deployment.zones, self.clock.to_unix))

    # What happens.

    def keep(self, effect: core.Remember | core.Forget) -> None:
        """Journal what may have run, or that it never did."""
        if type(effect) is core.Remember:
            self.numbers[effect.ref] = self.keeper.append(self.sent(effect.key, effect.trace))
        else:
            unix = self.clock.to_unix(effect.sent_ms)
            self.keeper.append(form.NeverRan(effect.key, effect.executor, unix))

    def gate(self, ref: str) -> Callable[[], Steps] | None:
        """Return what a sending waits for: that its record is durable."""
        number = self.numbers.pop(ref, 0)
        return (lambda: self.keeper.durable(number)) if number else None

    def heard(self, changed: bool) -> None:
        """Note a word of the roster's: a list that changed, or that the one held still holds."""
        node, now = self.node, self.node.loop.now()
        held = set(node.discovery.held)
        self.turnover.lived_ms += len(self.counted) * (now - self.counted_ms)
        self.turnover.departures += len(self.counted - held)
        self.counted, self.counted_ms = held, now
        self.changed, self.heard_unix_ms = self.changed or changed, self.clock.to_unix(now)
        if self.changed and now - self.listed_ms >= LISTED_MS:
            self.noted_ms = self.listed_ms = now
            self.changed = False
            turned = form.Turned(self.turnover.departures, self.turnover.lived_ms)
            self.keeper.append(self.list_now(), turned)
        elif now - self.noted_ms >= HEARD_MS:
            self.noted_ms = now
            self.keeper.append(form.Heard(self.heard_unix_ms))
