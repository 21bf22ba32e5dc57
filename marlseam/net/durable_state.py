"""The state of a node that is kept across restarts: keyed attempts that may have run, and the endpoint list.

Records are made from the reducer's effects and from discovery's answers; the next start recovers from them.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable, Iterator

from marlseam import core
from marlseam.configuration import StoreSettings
from marlseam.core.idempotency import AttemptRecord, portable_record
from marlseam.net.connection import Steps
from marlseam.net.discovery import ListSnapshot
from marlseam.net.loop import sleep
from marlseam.net.node_interface import StateHost
from marlseam.recovery import saved_list
from marlseam.recovery.saved_list import DepartureRate, SavedList
from marlseam.store import file_format
from marlseam.store.node_state import NodeState
from marlseam.store.state_store import StateStore

KEYS_PER_STEP = 500  # recovered keys that are posted to the reducer in one event
SOURCE = "store"  # the name of this source of history in the reducer
CONFIRMATION_INTERVAL_MS = 5000.0  # least time between two journal records that confirm an unchanged list
MIN_LIST_INTERVAL_MS = 1000.0  # least time between two endpoint lists in the journal


class DurableState:
    """Stores a node's state, and recovers it at the start.

    Attributes:
        store: the journal and the files of the state directory.
        departure_rate: how many servers have left the list in how much time, over all processes so far.
        barriers: by request id, the number of the record that must be durable before its attempt is sent.
        confirmed_written_ms: when the list or its confirmation was last written, by the loop's clock.
        list_written_ms: when the list was last written, by the loop's clock.
        confirmed_unix_ms: when discovery last confirmed the list that is held, in Unix ms.
        counted_servers: the servers on the list whose time `departure_rate` counts since `counted_since_ms`.
        has_unwritten_change: whether the list has changed since it was last written.
        recovered_keys: how many idempotency keys were recovered.

    """

    def __init__(self, node: StateHost, settings: StoreSettings) -> None:
        self.node, self.settings, self.clock = node, settings, node.loop.clock
        self.store = StateStore(node.loop, node.log, settings, node.config.name, self.recover_late)
        self.departure_rate = DepartureRate()
        self.barriers: dict[str, int] = {}
        self.confirmed_written_ms = self.list_written_ms = -1e18
        self.confirmed_unix_ms = 0.0
        self.counted_servers: set[str] = set()
        self.counted_since_ms = 0.0
        self.has_unwritten_change = False
        self.recovered_keys = 0

    # Recovery.

    def recover(self) -> None:
        """Recover the state that the last process stored, and begin to record the state of this one.

        While the store cannot be read, the history counts as unavailable: the node serves requests that need
        no record, and `recover_late` is called once the store was read.
        """
        began_s = time.monotonic()
        node = self.node
        gc.disable()  # guards against a slow start: each collection would traverse all keys read so far
        state = self.store.load()
        node.reducer.idempotency_records.max_keys = self.settings.keys
        if state is None:
            node.post(core.HistoryUnavailable(SOURCE))
            node.log.line(
                "history of keyed requests is not read yet: possible retries whose key is not on record are "
                "answered 500 until the state directory is read"
            )
        else:
            for _ in self.restore_history(state):
                pass
        gc.enable()
        if not self.restore_list(state, began_s):
            node.discovery.apply_initial_list()
        self.counted_servers, self.counted_since_ms = set(node.discovery.entries), node.loop.now()
        node.discovery.on_answer = self.record_list
        self.store.begin()

    def recover_late(self, state: NodeState) -> Steps:
        """Restore state that was read after the start, in steps, while the node serves."""
        for _ in self.restore_history(state):
            yield from sleep(self.node.loop.now())
        if not self.node.discovery.entries:
            self.restore_list(state, time.monotonic())
        self.node.log.line(
            "history of keyed requests was read from the state directory after the start: "
            f"{self.recovered_keys} keys on record"
        )

    def restore_list(self, state: NodeState | None, began_s: float) -> bool:
        """Start discovery from the stored list unless the configuration's is newer; return whether it did."""
        now_unix_ms = self.clock.to_unix(self.node.loop.now())
        saved = self.list_to_restore(state)
        if saved is None:
            return False
        age_ms = saved_list.list_age_ms(saved, now_unix_ms)
        doubt = saved_list.entry_doubt(age_ms, self.departure_rate)
        self.confirmed_unix_ms = saved.confirmed_ms or 0.0
        self.node.discovery.apply_initial_list(ListSnapshot(saved.version, saved.rows), doubt)
        age_text = "of unknown age" if age_ms is None else f"{age_ms / 1000.0:.0f} s old"
        took_ms = 1000.0 * (time.monotonic() - began_s)
        self.node.log.line(
            f"starts from stored endpoint list, {age_text}: {len(saved.rows)} servers, doubt {doubt:.3f} "
            "(probability that an entry is outdated), "
            f"{self.recovered_keys} keys on record, read in {took_ms:.0f} ms"
        )
        return True

    def list_to_restore(self, state: NodeState | None) -> SavedList | None:
        """Return the stored list; None where there is none or the configuration has a newer version."""
        if state is None or state.listed is None:
            return None
        stored, known = state.listed, self.node.config.known
        in_file = SavedList(stored.version, stored.rows, stored.confirmed_ms)
        configured = SavedList(int(known.get("seq", 0)), known.get("hosts", []), None) if known else None
        return in_file if saved_list.choose_list(in_file, configured) is in_file else None

    def restore_history(self, state: NodeState) -> Iterator[None]:
        """Post recovered attempts to the reducer, KEYS_PER_STEP keys a step; empties `state.sent`.

        At the end the history is posted as available, or as unavailable where a part of it is lost.
        """
        node, shift_ms = self.node, -self.clock.unix_zero_ms
        self.departure_rate.departures += state.departure_rate.departures
        self.departure_rate.lived_ms += state.departure_rate.lived_ms
        zones = node.config.deployment.zones
        names: dict[str, str] = {}  # so that equal server names share one string

        def attempt_of(row: file_format.AttemptSent) -> AttemptRecord:
            name = names.setdefault(row.server, row.server)
            zone = zones.get(row.zone, -1)
            return AttemptRecord(name, zone, row.cell, row.sent_ms + shift_ms, row.until_ms + shift_ms)

        sent, self.recovered_keys = state.sent, len(state.sent)
        while sent:
            # Guards against a long turn of the loop: to free 100,000 keys at once would take one.
            rows = [sent.popitem() for _ in range(min(len(sent), KEYS_PER_STEP))]
            node.post(core.HistoryRecovered({key: [attempt_of(row) for row in found] for key, found in rows}))
            yield
        if state.lost_ms is None:
            node.post(core.HistoryAvailable(SOURCE))
        else:
            node.post(core.HistoryUnavailable(SOURCE, min(node.loop.now(), state.lost_ms + shift_ms)))
            node.log.line(
                "history of keyed requests is lost: possible retries whose key is not on record are answered "
                "500 until servers have forgotten the requests sent before the loss"
            )

    # Attempts.

    def record(self, effect: core.PersistAttempt | core.ErasePersisted) -> None:
        """Append to the journal that an attempt may run from now on, or that it provably never ran."""
        if isinstance(effect, core.PersistAttempt):
            zones = self.node.config.deployment.zones
            row = file_format.AttemptSent(
                *portable_record(effect.key, effect.record, zones, self.clock.to_unix)
            )
            self.barriers[effect.request_id] = self.store.append(row)
        else:
            sent_unix_ms = self.clock.to_unix(effect.sent_ms)
            self.store.append(file_format.AttemptNeverRan(effect.key, effect.server, sent_unix_ms))

    def barrier(self, request_id: str) -> Callable[[], Steps] | None:
        """Return a function that waits until a request's record is durable and returns whether it is.

        None where the request has no record; a second call for the same record also returns None.
        """
        number = self.barriers.pop(request_id, None)
        return None if number is None else lambda: self.store.wait_durable(number)

    # The endpoint list.

    def record_list(self, is_changed: bool) -> None:
        """Record an answer from discovery: a changed list, or a confirmation of the list held.

        A list is written at most once in MIN_LIST_INTERVAL_MS, a confirmation in CONFIRMATION_INTERVAL_MS.
        """
        now_ms = self.node.loop.now()
        self.count_departures(now_ms)
        self.has_unwritten_change = self.has_unwritten_change or is_changed
        self.confirmed_unix_ms = self.clock.to_unix(now_ms)
        if self.has_unwritten_change and now_ms - self.list_written_ms >= MIN_LIST_INTERVAL_MS:
            self.confirmed_written_ms = self.list_written_ms = now_ms
            self.has_unwritten_change = False
            departures = file_format.DepartureRateStored(
                self.departure_rate.departures, self.departure_rate.lived_ms
            )
            self.store.append(self.list_record(), departures)
        elif now_ms - self.confirmed_written_ms >= CONFIRMATION_INTERVAL_MS:
            self.confirmed_written_ms = now_ms
            self.store.append(file_format.ListConfirmed(self.confirmed_unix_ms))

    def count_departures(self, now_ms: float) -> None:
        """Add the servers' time on the list, and the servers that have left it, to `departure_rate`."""
        held = set(self.node.discovery.entries)
        self.departure_rate.lived_ms += len(self.counted_servers) * (now_ms - self.counted_since_ms)
        self.departure_rate.departures += len(self.counted_servers - held)
        self.counted_servers, self.counted_since_ms = held, now_ms

    def list_record(self) -> file_format.ListStored:
        """Return the record of the endpoint list held, with when discovery last confirmed it in Unix ms."""
        discovery = self.node.discovery
        return file_format.ListStored(max(0, discovery.version), discovery.rows(), self.confirmed_unix_ms)
