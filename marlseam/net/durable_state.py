"""A node's memory across restarts.

The store's entries, made of the reducer's effects and discovery's words.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from marlseam import core
from marlseam.core.idempotency import AttemptRecord, told
from marlseam.net.connection import Steps
from marlseam.net.loop import sleep
from marlseam.recovery import saved_list
from marlseam.recovery.saved_list import SavedList, Turnover
from marlseam.store import file_format as form
from marlseam.store.node_state import NodeState
from marlseam.store.state_store import StateStore

if TYPE_CHECKING:
    from marlseam.net.node import Node

PIECE = 500  # keys handed on in one step
SOURCE = "store"  # as the reducer names it
HEARD_MS = 5000.0  # how often discovery's silence about changes is noted
LISTED_MS = 1000.0  # least time between two lists in the journal


class DurableState:
    """Joins a node, its store and what it recovers."""

    def __init__(self, node: Node) -> None:
        self.node, self.clock = node, node.loop.clock
        self.keeper = StateStore(node.loop, node.log, node.config.store, node.config.name, self.take_in)
        self.turnover = Turnover()
        self.numbers: dict[str, int] = {}  # of what must be durable, by request
        self.noted_ms = self.listed_ms = -1e18
        self.heard_unix_ms = 0.0  # when the list that is held was last confirmed
        self.counted: set[str] = set()  # servers whose time is counted, and since when
        self.counted_ms = 0.0
        self.changed = False
        self.keys = 0  # that were read

    # The start.

    def recover(self) -> None:
        """Take up what the last life left, and begin to keep what this one does.

        What cannot be read yet is not known: the node serves what needs no record, and reads on.
        """
        began = time.monotonic()
        gc.disable()  # guards the start: each collection looks at all the keys read so far
        state = self.keeper.load()
        node = self.node
        node.core.idempotency_records.most = node.config.store.keys
        if state is None:
            self.node.post(core.HistoryUnavailable(SOURCE))
            node.log.line("what may have run under a key is not known yet: marked retries go nowhere for now")
        else:
            for _ in self.recall(state):
                pass
        gc.enable()
        if not self.from_list(state, began):
            node.discovery.begin()
        self.counted, self.counted_ms = set(node.discovery.held), node.loop.now()
        node.discovery.heard = self.heard
        self.keeper.begin()

    def from_list(self, state: NodeState | None, began: float) -> bool:
        """Start from the newer of the lists that can be had, if it is the file's; return whether it was."""
        node, unix = self.node, self.clock.to_unix(self.node.loop.now())
        known = node.config.known
        listed = state.listed if state is not None else None
        file = listed and SavedList(listed.version, listed.rows, listed.heard_ms)
        given = SavedList(int(known.get("seq", 0)), known.get("hosts", []), None) if known else None
        if file is None or saved_list.choose(file, given) is not file:
            return False
        age = saved_list.age(file, unix)
        doubt = saved_list.doubt(age, self.turnover)
        self.heard_unix_ms = file.heard_ms
        node.discovery.begin({"seq": file.version, "whole": True, "hosts": file.rows}, doubt)
        shown = "of unknown age" if age is None else f"{age / 1000.0:.0f} s old"
        took = 1000.0 * (time.monotonic() - began)
        node.log.line(
            f"starts from its own list, {shown}: {len(file.rows)} executors, doubt {doubt:.3f}, "
            f"{self.keys} keys on record, read in {took:.0f} ms"
        )
        return True

    def recall(self, state: NodeState) -> Iterator[None]:
        """Hand what may have run to the reducer, in pieces; then it is known, or known to be lost."""
        self.turnover.departures += state.turnover.departures
        self.turnover.lived_ms += state.turnover.lived_ms
        node, zones = self.node, self.node.config.deployment.zones
        since = -self.clock.unix_zero_ms
        names: dict[str, str] = {}  # each held once

        def trace(r: form.AttemptSent) -> AttemptRecord:
            name = names.setdefault(r.executor, r.executor)
            return AttemptRecord(name, zones.get(r.zone, -1), r.cell, r.sent_ms + since, r.until_ms + since)

        sent, self.keys = state.sent, len(state.sent)
        while sent:
            # Taken out as it is handed on: to let go of 100,000 keys at once takes a turn of its own.
            rows = [sent.popitem() for _ in range(min(len(sent), PIECE))]
            node.post(core.HistoryRecovered({key: [trace(r) for r in found] for key, found in rows}))
            yield
        if state.lost_ms is None:
            node.post(core.HistoryAvailable(SOURCE))
        else:
            node.post(core.HistoryUnavailable(SOURCE, min(node.loop.now(), state.lost_ms + since)))
            node.log.line("what may have run under a key is lost: marked retries go nowhere for now")

    def take_in(self, state: NodeState) -> Steps:
        """Take in what was read while the node serves."""
        for _ in self.recall(state):
            yield from sleep(self.node.loop.now())
        if not self.node.discovery.held:
            self.from_list(state, time.monotonic())
        self.node.log.line(f"what may have run is known now: {self.keys} keys on record")

    # Entries.

    def list_now(self) -> form.ListStored:
        """Return the list as it is held, with the time at which discovery last confirmed it."""
        discovery = self.node.discovery
        return form.ListStored(max(0, discovery.version), discovery.rows(), self.heard_unix_ms)

    def sent(self, key: str, trace: AttemptRecord) -> form.AttemptSent:
        """Return a sending as the files hold it."""
        return form.AttemptSent(*told(key, trace, self.node.config.deployment.zones, self.clock.to_unix))

    # What happens.

    def keep(self, effect: core.PersistAttempt | core.ErasePersisted) -> None:
        """Journal what may have run, or that it never did."""
        if type(effect) is core.PersistAttempt:
            self.numbers[effect.request_id] = self.keeper.append(self.sent(effect.key, effect.trace))
        else:
            unix = self.clock.to_unix(effect.sent_ms)
            self.keeper.append(form.AttemptNeverRan(effect.key, effect.server, unix))

    def gate(self, request_id: str) -> Callable[[], Steps] | None:
        """Return what a sending that needs a record waits for: whether that is durable."""
        number = self.numbers.pop(request_id, None)
        return None if number is None else lambda: self.keeper.durable(number)

    def heard(self, changed: bool) -> None:
        """Note a word of discovery's: a list that changed, or that the one held still holds."""
        node, now = self.node, self.node.loop.now()
        held = set(node.discovery.held)
        self.turnover.lived_ms += len(self.counted) * (now - self.counted_ms)
        self.turnover.departures += len(self.counted - held)
        self.counted, self.counted_ms = held, now
        self.changed, self.heard_unix_ms = self.changed or changed, self.clock.to_unix(now)
        if self.changed and now - self.listed_ms >= LISTED_MS:
            self.noted_ms = self.listed_ms = now
            self.changed = False
            turned = form.TurnoverNoted(self.turnover.departures, self.turnover.lived_ms)
            self.keeper.append(self.list_now(), turned)
        elif now - self.noted_ms >= HEARD_MS:
            self.noted_ms = now
            self.keeper.append(form.ListConfirmed(self.heard_unix_ms))
