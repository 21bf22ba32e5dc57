"""The one reducer of marlseam: each event changes the node's state and gives the effects that are asked for.

Pure of I/O and clocks: an adapter hands in events with the time at which they happen, and carries out the
effects. It holds the decision module's node, the names behind its dense indices, open work units and timers.
"""

from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import NamedTuple, Protocol
from zlib import crc32

from marlseam.interface import Effect as Repeat
from marlseam.interface import Listing, Member, Outcome, Report, Settings, State, WorkUnit
from marlseam.logic import COLD, Handle, Node
from marlseam.recovery.receipts import Receipts, Trace

RERUNNABLE, RECEIPTED = Repeat.RERUNNABLE, Repeat.RECEIPTED
NOBODY = ""  # the name of an executor that is not known
KEYS_MOST = 20000  # keys of work that may have run; a new one past that is deferred
# Stands for what was sent and not told: to a group that no executor is of (-1 is that of one listed without
# any), so long ago that no pod is relied on to know it still.
UNTOLD = Trace(NOBODY, -2, -2, -inf, inf)
FORGET = 60.0  # how long an executor must be gone to be forgotten, in times after which one must ask


class Entry(NamedTuple):
    """One executor as the roster lists it, under its name."""

    executor: str
    state: State
    kind: int
    zone: int
    cell: int
    born_ms: float | None
    weight: float | None = None


# Events.


class Begin(NamedTuple):
    """The node starts, with its settings and its seed for chance."""

    settings: Settings
    seed: int


class Renewed(NamedTuple):
    """The node's settings are others from now on; what had an index before keeps it."""

    settings: Settings


class Roster(NamedTuple):
    """The roster's news; doubt is the chance that an entry of an old list is no longer true."""

    listing: Listing
    entries: list[Entry]
    doubt: float = 0.0


class Recalled(NamedTuple):
    """What may have run before the node started, or a part of it: sendings by key, each key's whole."""

    traces: dict[str, list[Trace]]


class Elsewhere(NamedTuple):
    """Another process of this node sends keyed work, which may have run from now on."""

    key: str
    trace: Trace


class Undone(NamedTuple):
    """A sending of another process of this node provably never ran."""

    key: str
    executor: str
    sent_ms: float


class Untold(NamedTuple):
    """It is not known which keyed work some source (another process, the store) has seen sent.

    `since_ms`: when the last of it went out at the latest; None while more may go out, or have gone out.
    """

    source: str
    since_ms: float | None = None


class Retold(NamedTuple):
    """What a source has seen sent is known now."""

    source: str


class Unkept(NamedTuple):
    """An allocation was not sent, as the record that it may run was not kept."""

    ref: str
    alloc: int


class Arrival(NamedTuple):
    """A client has handed in a work unit."""

    work: WorkUnit


class Settled(NamedTuple):
    """An allocation has ended; final where the work unit has had its answer by then or through it."""

    ref: str
    alloc: int
    outcome: Outcome
    final: bool
    report: Report | None
    result: bytes = b""


class Started(NamedTuple):
    """An allocation has begun to run."""

    ref: str
    alloc: int


class Progress(NamedTuple):
    """An allocation has come some share of its way."""

    ref: str
    alloc: int
    share: float


class Streaming(NamedTuple):
    """An allocation's answer is on its way to the client."""

    ref: str
    alloc: int


class Left(NamedTuple):
    """A work unit's client has gone."""

    ref: str


class Probed(NamedTuple):
    """A probe has ended."""

    executor: str
    outcome: Outcome
    lag_ms: float
    report: Report | None


class Told(NamedTuple):
    """Another node's message."""

    peer: int
    message: bytes


class Due(NamedTuple):
    """A timer has come due."""

    mark: int


class Closing(NamedTuple):
    """The node must have answered all that it took once so much time has passed."""

    left_ms: float


Event = (
    Begin
    | Renewed
    | Roster
    | Recalled
    | Elsewhere
    | Undone
    | Untold
    | Retold
    | Unkept
    | Arrival
    | Settled
    | Started
    | Progress
    | Streaming
    | Left
    | Probed
    | Told
    | Due
    | Closing
)


# Effects.


class Send(NamedTuple):
    """Send a work unit's next allocation to an executor."""

    ref: str
    alloc: int
    executor: str
    limit_ms: float
    begin_ms: float = inf  # within which its last byte goes out, or it never ran


class Cancel(NamedTuple):
    """Stop waiting for an allocation; where not `begun`, only if its last byte has not gone out."""

    ref: str
    alloc: int
    begun: bool = True


class Complete(NamedTuple):
    """Give the final answer `completed` with what an allocation brought."""

    ref: str
    result: bytes


class Defer(NamedTuple):
    """Give the final answer `deferred`, with advice on when to come back; 0 for none."""

    ref: str
    advice_ms: float


class Abort(NamedTuple):
    """Give the final answer `aborted`; unfit where executors found nothing in it that they can use.

    `out` are allocations that alone stand against a deferral: it is deferred, with advice, if none has begun.
    """

    ref: str
    unfit: bool = False
    out: tuple[int, ...] = ()
    advice_ms: float = 0.0


class Probe(NamedTuple):
    """Ask an executor for its report."""

    executor: str


class Timer(NamedTuple):
    """Bring back a mark once a delay has passed."""

    mark: int
    delay_ms: float


class Remember(NamedTuple):
    """A keyed work unit is about to be sent: it may have run from then on."""

    ref: str
    key: str
    trace: Trace


class Forget(NamedTuple):
    """A sending of a keyed work unit provably never ran."""

    key: str
    executor: str
    sent_ms: float


class Watch(NamedTuple):
    """Ask the roster for its list and its changes."""


class Tell(NamedTuple):
    """Send all other nodes a message."""

    message: bytes


class Log(NamedTuple):
    """Write a line for staff."""

    text: str


Effect = Send | Cancel | Complete | Defer | Abort | Probe | Timer | Remember | Forget | Watch | Tell | Log


class Follower(Protocol):
    """What follows the reducer's course and changes nothing of it."""

    def see(self, followed: "Core", event: Event, effects: list[Effect]) -> None: ...


class Core:
    """What one node knows, and the decision module's port."""

    node: Node
    decider: type[Node] = Node  # experiments set baselines here

    def __init__(self, watch: Follower | None = None) -> None:
        self.watch = watch
        self.clock, self.marks = 0.0, 0
        self.effects: list[Effect] = []
        self.index: dict[str, int] = {}
        self.names: list[str] = []
        self.open: dict[str, Handle] = {}
        self.receipts = Receipts(KEYS_MOST)
        self.untold: dict[str, float] = {}  # sources that have not told all, and when the last of it went out
        self.timers: dict[int, Callable[[], None]] = {}
        self.closes_ms = inf  # by when all must be answered
        # Indices of forgotten executors, for reuse; since when executors are off the roster.
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

    def send(self, wu: Handle, executor: int, limit_ms: float) -> None:
        """Send a work unit to an executor; under a key it is noted first, with the pod that it may run on."""
        key, node, type, begin_ms = wu.work.receipt, self.node, wu.type, inf
        earlier = [a for a in wu.traces() if a is not wu.allocs[-1]]
        if earlier and type.effect is RECEIPTED:  # after that its pods need not know it any more
            begin_ms = earlier[0].sent_ms + type.memory_ms - self.clock
        if key is not None and type.effect is not RERUNNABLE:
            until = self.clock + (type.memory_ms if type.effect is RECEIPTED else type.limit_ms)
            trace = Trace(self.names[executor], node.zone[executor], node.cell[executor], self.clock, until)
            self.receipts.note(key, trace)
            self.effects.append(Remember(wu.work.ref, key, trace))
        alloc = len(wu.allocs) - 1
        self.effects.append(Send(wu.work.ref, alloc, self.names[executor], limit_ms, begin_ms))

    def cancel(self, wu: Handle, alloc: int) -> None:
        """Stop waiting for an allocation; one that has not begun is called off whatever the settings."""
        self.effects.append(Cancel(wu.work.ref, alloc, self.node.set.may_cancel))

    def defer(self, wu: Handle, advice_ms: float) -> None:
        """Give the final answer `deferred`."""
        self.effects.append(Defer(wu.work.ref, advice_ms))

    def abort(self, wu: Handle) -> None:
        """Give the final answer `aborted`, or `deferred` where all that is against it has not begun."""
        out, node = tuple(i for i, a in enumerate(wu.allocs) if a.outcome is None), self.node
        if len(out) == len(wu.traces()):
            advice_ms = min(node.rest_ms, node.set.max_advice_ms) if out else 0.0
            self.effects.append(Abort(wu.work.ref, wu.unfit, out, advice_ms))
        else:
            self.effects.append(Abort(wu.work.ref, wu.unfit))

    def probe(self, executor: int) -> None:
        """Ask an executor for its report."""
        self.effects.append(Probe(self.names[executor]))

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Call back once the delay has passed."""
        self.marks += 1
        self.timers[self.marks] = call
        self.effects.append(Timer(self.marks, delay_ms))

    def never_ran(self, wu: Handle, executor: int, sent_ms: float) -> None:
        """Take a sending off the record."""
        key = wu.work.receipt
        if key is not None and self.receipts.never_ran(key, self.names[executor], sent_ms):
            self.effects.append(Forget(key, self.names[executor], sent_ms))

    def subscribe(self) -> None:
        """Ask the roster for its changes."""
        self.effects.append(Watch())

    def tell(self, message: bytes) -> None:
        """Send all other nodes a message."""
        self.effects.append(Tell(message))

    def log(self, text: str) -> None:
        """Write a line for staff."""
        self.effects.append(Log(text))

    # The events.

    def begin(self, event: Begin) -> None:
        """Make the module's node."""
        self.node = self.decider(event.settings, event.seed, self)

    def renewed(self, event: Renewed) -> None:
        """Hand new settings on; open work keeps to an order that they newly ask for."""
        self.node.configure(event.settings)
        for wu in self.open.values():
            self.node.line_up(wu)

    def roster(self, event: Roster) -> None:
        """Hand the roster's news on under dense indices."""
        members = [Member(self.executor(e[0]), *e[1:], crc32(e[0].encode())) for e in event.entries]
        node = self.node
        born = {e: node.born[e] for e in node.watched}
        node.roster(event.listing, members, event.doubt)
        for e, ms in born.items():
            if node.state[e] is not State.READY or node.born[e] != ms:
                # Guards a drain, and a cold start, against what is still on its way out: a send counts from
                # its first byte, which may come a connect's time after the choice.
                self.effects += [Cancel(wu.work.ref, i, False) for wu, i in node.own[e]]
        if event.listing is Listing.FAILED:
            return
        here = {e.executor for e in event.entries if e.state is not State.GONE}
        whole = event.listing is not Listing.DELTA
        for name in self.index if whole else [e.executor for e in event.entries]:
            if name in here:
                self.gone.pop(name, None)
            else:
                self.gone.setdefault(name, self.clock)
        self.forget_executors()

    def forget_executors(self) -> None:
        """Forget executors that have long been gone, once nothing of ours is out there.

        Guards a node that runs for weeks against figures of every executor there ever was.
        """
        node, long_ago = self.node, self.clock - FORGET * self.node.set.must_ask_ms
        for name in [name for name, since in self.gone.items() if since < long_ago]:
            e = self.index[name]
            if not node.own[e] and node.asked_ms[e] is None:
                # Guards the sums by kind where draining alone binds: one off the list may still be in use.
                node.leave({e})
                node.unlisted.pop(e, None)
                node.clear(e)
                self.spare.append(e)
                del self.gone[name], self.index[name]

    def arrival(self, event: Arrival) -> None:
        """Take a work unit, to be answered before this node ends."""
        work = event.work
        if work.expires_ms > self.closes_ms:
            work = replace(work, expires_ms=self.closes_ms)
        if work.receipt is not None and self.node.types[work.type].effect is not RERUNNABLE:
            traces = self.receipts.known(work.receipt, self.clock)
            if not traces and work.repeat and self.untold and self.untold_still():
                traces = [UNTOLD]
            wait = self.receipts.full(self.clock)
            if not traces and wait and work.kept:
                # Nothing of it ran: it may come back once a key is free. None that may have run is dropped.
                self.effects.append(Defer(work.ref, min(wait, self.node.set.max_advice_ms)))
                return
            # The first one stands for all: its group has them, and its time is that of the pod's memory.
            work = replace(work, prior=tuple((self.place(trace), trace.sent_ms) for trace in traces[:1]))
        elif not work.kept and work.goes:
            work = replace(work, kept=True)  # it needs no record
        wu = self.node.take(work)
        if not wu.done:
            self.open[event.work.ref] = wu

    def due(self, event: Due) -> None:
        """Call back what waits for a mark."""
        call = self.timers.pop(event.mark, None)
        if call is not None:
            call()

    def probed(self, event: Probed) -> None:
        """Hand a probe's end on."""
        e = self.index[event.executor]
        self.node.probed(e, event.outcome, event.lag_ms, event.report)

    def told(self, event: Told) -> None:
        """Hand another node's message on."""
        self.node.told(event.peer, self.clock, event.message)

    def settled(self, event: Settled) -> None:
        """Hand an allocation's end on, and its result to the client that still waits for it."""
        wu = self.open.get(event.ref)
        if wu is None:
            return
        if event.outcome is Outcome.COMPLETED and not wu.done:
            self.effects.append(Complete(event.ref, event.result))
        wu.settled(event.alloc, event.outcome, event.final, event.report)
        self.forget(event.ref, wu)

    def sign(self, event: Started | Progress | Streaming) -> None:
        """Hand a sign of life on."""
        wu = self.open.get(event.ref)
        if wu is None:
            return
        if type(event) is Started:
            wu.started(event.alloc)
        elif type(event) is Progress:
            wu.progress(event.alloc, event.share)
        else:
            wu.streaming(event.alloc)

    def left(self, event: Left) -> None:
        """Stop all for a work unit whose client has gone."""
        wu = self.open.get(event.ref)
        if wu is not None:
            wu.left()
            self.forget(event.ref, wu)

    def forget(self, ref: str, wu: Handle) -> None:
        """Drop a work unit that has its answer and nothing out."""
        if wu.done and all(a.outcome is not None for a in wu.allocs):
            del self.open[ref]

    def closing(self, event: Closing) -> None:
        """Answer by the rules, once the time is up, all that is still open."""

        self.closes_ms = self.clock + event.left_ms

        def answer() -> None:
            for wu in list(self.open.values()):
                wu.answer()

        self.after(event.left_ms, answer)

    def recalled(self, event: Recalled) -> None:
        """Take in what may have run before the node started."""
        self.receipts.recall(event.traces)

    def avoided(self) -> int:
        """Return how many listed executors the decision module avoids now."""
        node = self.node
        return sum(s is not State.GONE and node.avoids(e) for e, s in enumerate(node.state))

    def slow_start(self, name: str, type: int, slots: float) -> tuple[float, float]:
        """Return a server's whole slow start budget in mean requests, inf if warm, and a request's size."""
        e, node = self.index.get(name), self.node
        allowance = node.allowance(e) if e is not None else inf
        if allowance == inf:
            return inf, 0.0
        return allowance / COLD * node.set.fall_ms, node.run[type] * slots / node.mean_area

    def elsewhere(self, event: Elsewhere) -> None:
        """Note what another process of this node sends, once: it may have been told in a snapshot too."""
        if event.trace not in self.receipts.known(event.key, self.clock):
            self.receipts.note(event.key, event.trace)

    def undone(self, event: Undone) -> None:
        """Take a sending of another process off the record."""
        self.receipts.never_ran(event.key, event.executor, event.sent_ms)

    def untold_now(self, event: Untold) -> None:
        """Take retries as perhaps sent by a source, until it tells or pods remember none of it."""
        self.untold[event.source] = inf if event.since_ms is None else event.since_ms

    def retold(self, event: Retold) -> None:
        """Note that a source has told all."""
        self.untold.pop(event.source, None)

    def untold_still(self) -> bool:
        """Return whether a retry may be of work that was sent and not told of; by this node's own clock."""
        known = [t for t in self.node.types if t.limit_ms < inf]
        longest = max((max(t.memory_ms, t.limit_ms) for t in known), default=0.0)
        self.untold = {source: at for source, at in self.untold.items() if at + longest > self.clock}
        return bool(self.untold)

    def unkept(self, event: Unkept) -> None:
        """Have a work unit answered whose sending could not be recorded: nothing more of it may go out."""
        wu = self.open.get(event.ref)
        if wu is not None:
            wu.most = 0
            self.settled(Settled(event.ref, event.alloc, Outcome.VOID, False, None))

    def place(self, trace: Trace) -> int:
        """Return the index of a sending's executor, which may be gone, with its group on record."""
        e, node = self.executor(trace.executor), self.node
        if e >= len(node.state) or (node.state[e] is State.GONE and node.cell[e] != trace.cell):
            node.enter(Member(e, State.GONE, -1, trace.zone, trace.cell, None))
            self.gone.setdefault(trace.executor, self.clock)
        return e

    def executor(self, name: str) -> int:
        """Return an executor's index, a spare or new one for a name not seen before."""
        found = self.index.get(name)
        if found is None:
            if not self.spare:
                self.spare.append(len(self.names))
                self.names.append("")
            found = self.index[name] = self.spare.pop()
            self.names[found] = name
        return found


STEPS: dict[type, Callable] = {
    Begin: Core.begin,
    Renewed: Core.renewed,
    Roster: Core.roster,
    Recalled: Core.recalled,
    Elsewhere: Core.elsewhere,
    Undone: Core.undone,
    Untold: Core.untold_now,
    Retold: Core.retold,
    Unkept: Core.unkept,
    Arrival: Core.arrival,
    Due: Core.due,
    Probed: Core.probed,
    Told: Core.told,
    Settled: Core.settled,
    Started: Core.sign,
    Progress: Core.sign,
    Streaming: Core.sign,
    Left: Core.left,
    Closing: Core.closing,
}
