"""The one reducer of marlseam: each event changes the node's state and gives the effects that are asked for.

Pure of I/O and clocks: an adapter hands in events with the time at which they happen, and carries out the
effects. It holds the decision module's node, the names behind its dense indices, open requests and timers.
"""

from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import Protocol
from zlib import crc32

from marlseam.core.effects import (
    CancelAttempt,
    Effect,
    ErasePersisted,
    Fail,
    Gossip,
    Log,
    PersistAttempt,
    Probe,
    Reject,
    Respond,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from marlseam.core.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientLeft,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HistoryAvailable,
    HistoryRecovered,
    HistoryUnavailable,
    NodeStarted,
    NotDurable,
    PeerAttempt,
    PeerAttemptNeverRan,
    ProbeEnded,
    RequestArrived,
    ResponseStreaming,
    SettingsChanged,
    ShutdownBegun,
    TimerFired,
)
from marlseam.core.idempotency import AttemptRecord, IdempotencyRecords
from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.request_state import RequestState
from marlseam.decisions.slow_start import SLOW_START_PLANNED_SHARE
from marlseam.decisions.types import Endpoint, EndpointState, ListUpdateKind, Outcome
from marlseam.decisions.types import Idempotency as Repeat

SAFE, KEYED = Repeat.SAFE, Repeat.KEYED
NOBODY = ""  # the name of a server that is not known
KEYS_MOST = 20000  # keys of work that may have run; a new one past that is rejected
# Stands for what was sent and not told: to a group that no server is of (-1 is that of one listed without
# any), so long ago that no pod is relied on to know it still.
UNTOLD = AttemptRecord(NOBODY, -2, -2, -inf, inf)
FORGET_AFTER_POLLS = 60.0  # how long a server must be gone to be forgotten, in times after which one must ask


class Follower(Protocol):
    """What follows the reducer's course and changes nothing of it."""

    def see(self, followed: "Reducer", event: Event, effects: list[Effect]) -> None: ...


class Reducer:
    """What one node knows, and the decision module's port."""

    node: Dispatcher
    decider: type[Dispatcher] = Dispatcher  # experiments set baselines here

    def __init__(self, watch: Follower | None = None) -> None:
        self.watch = watch
        self.clock, self.marks = 0.0, 0
        self.effects: list[Effect] = []
        self.index: dict[str, int] = {}
        self.names: list[str] = []
        self.open: dict[str, RequestState] = {}
        self.idempotency_records = IdempotencyRecords(KEYS_MOST)
        self.untold: dict[str, float] = {}  # sources that have not told all, and when the last of it went out
        self.timers: dict[int, Callable[[], None]] = {}
        self.closes_ms = inf  # by when all must be answered
        # Indices of forgotten servers, for reuse; since when servers are off discovery.
        self.spare: list[int] = []
        self.gone: dict[str, float] = {}

    def reduce(self, clock: float, event: Event) -> list[Effect]:
        """Take in one event and return the effects that it asks for, in order."""
        self.clock = clock
        self.effects = effects = []
        STEPS[type(event)](self, event)
        if self.watch is not None:
            self.watch.see(self, event, effects)
        return effects

    # The module's port.

    def now(self) -> float:
        """Return the time of the event in hand."""
        return self.clock

    def send(self, state: RequestState, server: int, deadline_ms: float) -> None:
        """Send a request to a server; under a key it is noted first, with the pod that it may run on."""
        key, node, type, begin_ms = state.request.idempotency_key, self.dispatcher, state.request_class, inf
        earlier = [a for a in state.attempts_that_may_have_run() if a is not state.attempts[-1]]
        if earlier and type.idempotency is KEYED:  # after that its pods need not know it any more
            begin_ms = earlier[0].sent_ms + type.deduplication_window_ms - self.clock
        if key is not None and type.idempotency is not SAFE:
            until = self.clock + (
                type.deduplication_window_ms if type.idempotency is KEYED else type.deadline_ms
            )
            trace = AttemptRecord(self.names[server], node.zone[server], node.cell[server], self.clock, until)
            self.idempotency_records.note(key, trace)
            self.effects.append(PersistAttempt(state.request.request_id, key, trace))
        attempt_index = len(state.attempts) - 1
        self.effects.append(
            SendAttempt(state.request.request_id, attempt_index, self.names[server], deadline_ms, begin_ms)
        )

    def cancel(self, state: RequestState, attempt_index: int) -> None:
        """Stop waiting for an attempt; one that has not begun is called off whatever the settings."""
        self.effects.append(
            CancelAttempt(state.request.request_id, attempt_index, self.dispatcher.settings.may_cancel)
        )

    def defer(self, state: RequestState, retry_after_ms: float) -> None:
        """Give the final answer `deferred`."""
        self.effects.append(Reject(state.request.request_id, retry_after_ms))

    def abort(self, state: RequestState) -> None:
        """Give the final answer `aborted`, or `deferred` where all that is against it has not begun."""
        out, node = tuple(i for i, a in enumerate(state.attempts) if a.outcome is None), self.dispatcher
        if len(out) == len(state.attempts_that_may_have_run()):
            retry_after_ms = min(node.ejection_base_ms, node.settings.max_retry_after_ms) if out else 0.0
            self.effects.append(Fail(state.request.request_id, state.is_invalid, out, retry_after_ms))
        else:
            self.effects.append(Fail(state.request.request_id, state.is_invalid))

    def probe(self, server: int) -> None:
        """Ask a server for its report."""
        self.effects.append(Probe(self.names[server]))

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Call back once the delay has passed."""
        self.marks += 1
        self.timers[self.marks] = call
        self.effects.append(SetTimer(self.marks, delay_ms))

    def never_ran(self, state: RequestState, server: int, sent_ms: float) -> None:
        """Take a sending off the record."""
        key = state.request.idempotency_key
        if key is not None and self.idempotency_records.never_ran(key, self.names[server], sent_ms):
            self.effects.append(ErasePersisted(key, self.names[server], sent_ms))

    def subscribe(self) -> None:
        """Ask discovery for its changes."""
        self.effects.append(WatchEndpoints())

    def tell(self, message: bytes) -> None:
        """Send all other nodes a message."""
        self.effects.append(Gossip(message))

    def log(self, text: str) -> None:
        """Write a line for staff."""
        self.effects.append(Log(text))

    # The events.

    def begin(self, event: NodeStarted) -> None:
        """Make the module's node."""
        self.dispatcher = self.decider(event.settings, event.seed, self)

    def renewed(self, event: SettingsChanged) -> None:
        """Hand new settings on; open work keeps to an order that they newly ask for."""
        self.dispatcher.configure(event.settings)
        for state in self.open.values():
            self.dispatcher.join_key_queue(state)

    def update_endpoints(self, event: EndpointListUpdate) -> None:
        """Hand discovery's news on under dense indices."""
        members = [Endpoint(self.server(e[0]), *e[1:], crc32(e[0].encode())) for e in event.entries]
        node = self.dispatcher
        born = {e: node.process_started_ms[e] for e in node.monitored}
        node.update_endpoints(event.update_kind, members, event.doubt)
        for e, ms in born.items():
            if node.endpoint_state[e] is not EndpointState.READY or node.process_started_ms[e] != ms:
                # Guards a drain, and a cold start, against what is still on its way out: a send counts from
                # its first byte, which may come a connect's time after the choice.
                self.effects += [
                    CancelAttempt(state.request.request_id, i, False) for state, i in node.own_attempts[e]
                ]
        if event.update_kind is ListUpdateKind.FAILED:
            return
        here = {e.server for e in event.entries if e.state is not EndpointState.GONE}
        whole = event.update_kind is not ListUpdateKind.DELTA
        for name in self.index if whole else [e.server for e in event.entries]:
            if name in here:
                self.gone.pop(name, None)
            else:
                self.gone.setdefault(name, self.clock)
        self.forget_executors()

    def forget_executors(self) -> None:
        """Forget servers that have long been gone, once nothing of ours is out there.

        Guards a node that runs for weeks against figures of every executor there ever was.
        """
        node, long_ago = (
            self.dispatcher,
            self.clock - FORGET_AFTER_POLLS * self.dispatcher.settings.list_max_age_ms,
        )
        for name in [name for name, since in self.gone.items() if since < long_ago]:
            e = self.index[name]
            if not node.own_attempts[e] and node.probe_sent_ms[e] is None:
                # Guards the sums by kind where draining alone binds: one off the list may still be in use.
                node.remove({e})
                node.in_use_though_removed.pop(e, None)
                node.reset(e)
                self.spare.append(e)
                del self.gone[name], self.index[name]

    def arrival(self, event: RequestArrived) -> None:
        """Take a request, to be answered before this node ends."""
        request = event.request
        if request.deadline_at_ms > self.closes_ms:
            request = replace(request, deadline_at_ms=self.closes_ms)
        if (
            request.idempotency_key is not None
            and self.dispatcher.request_classes[request.class_index].idempotency is not SAFE
        ):
            traces = self.idempotency_records.known(request.idempotency_key, self.clock)
            if not traces and request.may_be_retry and self.untold and self.untold_still():
                traces = [UNTOLD]
            wait = self.idempotency_records.full(self.clock)
            if not traces and wait and request.is_recordable:
                # Nothing of it ran: it may come back once a key is free. None that may have run is dropped.
                self.effects.append(
                    Reject(request.request_id, min(wait, self.dispatcher.settings.max_retry_after_ms))
                )
                return
            # The first one stands for all: its group has them, and its time is that of the pod's memory.
            request = replace(
                request, prior_attempts=tuple((self.place(trace), trace.sent_ms) for trace in traces[:1])
            )
        elif not request.is_recordable and request.is_sendable:
            request = replace(request, is_recordable=True)  # it needs no record
        state = self.dispatcher.accept(request)
        if not state.is_answered:
            self.open[event.request.request_id] = state

    def due(self, event: TimerFired) -> None:
        """Call back what waits for a mark."""
        call = self.timers.pop(event.timer_id, None)
        if call is not None:
            call()

    def probed(self, event: ProbeEnded) -> None:
        """Hand a probe's end on."""
        e = self.index[event.server]
        self.dispatcher.probe_ended(e, event.outcome, event.lag_ms, event.report)

    def told(self, event: GossipReceived) -> None:
        """Hand another node's message on."""
        self.dispatcher.merge_gossip(event.peer, self.clock, event.message)

    def settled(self, event: AttemptEnded) -> None:
        """Hand an attempt's end on, and its result to the client that still waits for it."""
        state = self.open.get(event.request_id)
        if state is None:
            return
        if event.outcome is Outcome.COMPLETED and not state.is_answered:
            self.effects.append(Respond(event.request_id, event.result))
        state.attempt_ended(event.attempt_index, event.outcome, event.final, event.report)
        self.forget(event.request_id, state)

    def sign(self, event: AttemptStarted | AttemptProgressed | ResponseStreaming) -> None:
        """Hand a sign of life on."""
        state = self.open.get(event.request_id)
        if state is None:
            return
        if type(event) is AttemptStarted:
            state.started(event.attempt_index)
        elif type(event) is AttemptProgressed:
            state.progress(event.attempt_index, event.share)
        else:
            state.streaming(event.attempt_index)

    def left(self, event: ClientLeft) -> None:
        """Stop all for a request whose client has gone."""
        state = self.open.get(event.request_id)
        if state is not None:
            state.close()
            self.forget(event.request_id, state)

    def forget(self, request_id: str, state: RequestState) -> None:
        """Drop a request that has its answer and nothing out."""
        if state.is_answered and all(a.outcome is not None for a in state.attempts):
            del self.open[request_id]

    def closing(self, event: ShutdownBegun) -> None:
        """Answer by the rules, once the time is up, all that is still open."""

        self.closes_ms = self.clock + event.left_ms

        def answer() -> None:
            for state in list(self.open.values()):
                state.answer()

        self.after(event.left_ms, answer)

    def recalled(self, event: HistoryRecovered) -> None:
        """Take in what may have run before the node started."""
        self.idempotency_records.recall(event.traces)

    def avoided(self) -> int:
        """Return how many listed servers the decision module avoids now."""
        node = self.dispatcher
        return sum(
            s is not EndpointState.GONE and node.is_avoided(e) for e, s in enumerate(node.endpoint_state)
        )

    def slow_start(self, name: str, type: int, slots: float) -> tuple[float, float]:
        """Return a server's whole slow start budget in mean requests, inf if warm, and a request's size."""
        e, node = self.index.get(name), self.dispatcher
        allowance = node.slow_start_budget(e) if e is not None else inf
        if allowance == inf:
            return inf, 0.0
        return allowance / SLOW_START_PLANNED_SHARE * node.settings.overload_window_ms, node.mean_run_ms[
            type
        ] * slots / node.mean_slot_ms

    def elsewhere(self, event: PeerAttempt) -> None:
        """Note what another process of this node sends, once: it may have been told in a snapshot too."""
        if event.trace not in self.idempotency_records.known(event.key, self.clock):
            self.idempotency_records.note(event.key, event.trace)

    def undone(self, event: PeerAttemptNeverRan) -> None:
        """Take a sending of another process off the record."""
        self.idempotency_records.never_ran(event.key, event.server, event.sent_ms)

    def untold_now(self, event: HistoryUnavailable) -> None:
        """Take retries as perhaps sent by a source, until it tells or pods remember none of it."""
        self.untold[event.source] = inf if event.since_ms is None else event.since_ms

    def retold(self, event: HistoryAvailable) -> None:
        """Note that a source has told all."""
        self.untold.pop(event.source, None)

    def untold_still(self) -> bool:
        """Return whether a retry may be of work that was sent and not told of; by this node's own clock."""
        known = [t for t in self.dispatcher.request_classes if t.deadline_ms < inf]
        longest = max((max(t.deduplication_window_ms, t.deadline_ms) for t in known), default=0.0)
        self.untold = {source: at for source, at in self.untold.items() if at + longest > self.clock}
        return bool(self.untold)

    def unkept(self, event: NotDurable) -> None:
        """Have a request answered whose sending could not be recorded: nothing more of it may go out."""
        state = self.open.get(event.request_id)
        if state is not None:
            state.max_attempts = 0
            self.settled(
                AttemptEnded(event.request_id, event.attempt_index, Outcome.CANCELLED_UNSENT, False, None)
            )

    def place(self, trace: AttemptRecord) -> int:
        """Return the index of a sending's server, which may be gone, with its group on record."""
        e, node = self.server(trace.server), self.dispatcher
        if e >= len(node.endpoint_state) or (
            node.endpoint_state[e] is EndpointState.GONE and node.cell[e] != trace.cell
        ):
            node.set_endpoint(Endpoint(e, EndpointState.GONE, -1, trace.zone, trace.cell, None))
            self.gone.setdefault(trace.server, self.clock)
        return e

    def server(self, name: str) -> int:
        """Return a server's index, a spare or new one for a name not seen before."""
        found = self.index.get(name)
        if found is None:
            if not self.spare:
                self.spare.append(len(self.names))
                self.names.append("")
            found = self.index[name] = self.spare.pop()
            self.names[found] = name
        return found


STEPS: dict[type, Callable] = {
    NodeStarted: Reducer.begin,
    SettingsChanged: Reducer.renewed,
    EndpointListUpdate: Reducer.update_endpoints,
    HistoryRecovered: Reducer.recalled,
    PeerAttempt: Reducer.elsewhere,
    PeerAttemptNeverRan: Reducer.undone,
    HistoryUnavailable: Reducer.untold_now,
    HistoryAvailable: Reducer.retold,
    NotDurable: Reducer.unkept,
    RequestArrived: Reducer.arrival,
    TimerFired: Reducer.due,
    ProbeEnded: Reducer.probed,
    GossipReceived: Reducer.told,
    AttemptEnded: Reducer.settled,
    AttemptStarted: Reducer.sign,
    AttemptProgressed: Reducer.sign,
    ResponseStreaming: Reducer.sign,
    ClientLeft: Reducer.left,
    ShutdownBegun: Reducer.closing,
}
