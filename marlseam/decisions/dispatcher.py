"""Every decision of marlseam: forward probing (docs/design.md) and what keeps the four rules around it.

The reducer makes `Dispatcher(settings, seed, port)`, then calls `update_endpoints`, `probed` and `take`.
`take` gives a RequestState, and all that happens to that request later is a call on it. The dispatcher acts
through the port alone. Times are float milliseconds.
"""

import zlib
from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from math import ceil, inf, log, sqrt

from marlseam.decisions.key_ordering import MAY_RUN_ON, KeyQueue
from marlseam.decisions.server_stats import DOUBT, WELL_ERROR, ServerStats
from marlseam.decisions.types import (
    Attempt,
    Decision,
    DeduplicationScope,
    Endpoint,
    EndpointState,
    Idempotency,
    ListUpdateKind,
    LoadReport,
    Outcome,
    Port,
    Request,
    Settings,
)
from marlseam.random_source import RandomSource
from marlseam.recovery.saved_list import ANSWERED, SURE

PROBES = 2  # the paper's probe limit
LUCK = 4.0  # below the inverse of this share of answers that led to a send, fewer are asked
ASK = 0.25  # how long a probe's answer is waited for, in latency objectives of the most urgent request class
FRESH = 2.0  # how old home's report may be, likewise
SWEEP = 0.5  # how often standing work is looked at, likewise
FIRST_GUESS = 2.0  # the run of a request class not seen yet, in its latency objectives
SICK_ERROR = 0.5  # share of work that fails on a sick server
TRIP = 4.0  # log-likelihood ratio at which the sequential test calls a server sick
STANDS = 2.2  # silence of started work that counts as standing, in progress periods
REST = 0.05  # first rest of a sick server, in deadlines of the shortest request class
CROSSING = 1500.0  # how much likelier a server nearby is drawn for new work, by the price of crossing
SHORT = 0.3  # the run, in means of its type, that a wait must still leave in time
QUEUE = 1.0  # the longest wait at a server that work is sent into, in urgent promises
LATE = 0.35  # how old a weight of the list is when it comes, in the times between lists
TELL = 0.3  # how long changes are gathered before the other nodes are told, in waits for a probe
TESTS = 24  # usable servers that one draw weighs at most
LOOKS = 4  # looks in vain in one serving of the lines
PRIOR = 1.0  # attempts of ours that our own part at a server is weighed against
COLD = 0.6  # part of a cold server's budget that the nodes plan to use
OPEN = 4.0  # rooms above that part that all may have saved up: guards against a burst after quiet times
PAID = 0.25  # part of a large request saved up before it goes: guards against all sending such at once
NEVER_RAN = (Outcome.AT_CAPACITY, Outcome.UNREACHABLE, Outcome.CANCELLED_UNSENT)


class RequestState:
    """A request on this node, from its taking to its one final answer."""

    def __init__(self, node: "Dispatcher", request: Request) -> None:
        self.node, self.request, self.request_class = node, request, node.request_classes[request.class_index]
        self.taken, self.most = node.port.now(), node.settings.max_attempts if request.is_recordable else 0
        # Guards keyed work against a second effect where a client tries again under its key.
        self.attempts = [Attempt(e, sent, sent, outcome=Outcome.BROKEN) for e, sent in request.prior_attempts]
        self.done = self.lined = self.waited = self.unfit = False
        self.home, self.round_ms, self.asked = -1, 0.0, list[int]()
        # Where its type asks for one at a time: its key's line, and whether its turn has come.
        self.line: KeyQueue | None = None
        self.turn, self.lined_ms = True, 0.0

    # What may be done, by the rules.

    def traces(self) -> list[Attempt]:
        """Return the attempts that may have run."""
        return [a for a in self.attempts if a.outcome not in NEVER_RAN]

    def out(self) -> int:
        """Return how many attempts are out."""
        return sum(a.outcome is None for a in self.attempts)

    def over(self) -> bool:
        """Return whether it has its answer and nothing out."""
        return self.done and not self.out()

    def may_send(self) -> bool:
        """Return whether another attempt is allowed now, to some server at least."""
        node, now = self.node, self.node.port.now()
        sent = len(self.attempts) - len(self.request.prior_attempts)
        if self.done or self.unfit or not self.turn or sent >= min(self.most, node.settings.max_attempts):
            return False
        if now >= self.request.deadline_at_ms - node.margin:
            return False
        traces = self.traces()
        if not traces:
            return True
        if self.request_class.idempotency is Idempotency.UNSAFE or (
            self.out() and not node.settings.may_hedge
        ):
            return False
        return self.request_class.idempotency is Idempotency.SAFE or self.known(traces, now)

    def known(self, traces: list[Attempt], at: float) -> bool:
        """Return whether the pods still know at some time what may have run of it."""
        return at < traces[0].sent_ms + self.request_class.deduplication_window_ms - self.node.margin

    def fits(self, e: int) -> bool:
        """Return whether a server may get this request at all."""
        node, traces = self.node, self.traces()
        if self.request_class.kind not in (-1, node.kind[e]):
            return False
        if not node.warm(e, node.cost(self.request)):
            return False  # guards against one heavy request that would push a cold server over
        tried = traces[
            len(self.request.prior_attempts) :
        ]  # what ran before this try is best asked where it ran
        if any(
            a.server == e and (a.outcome is None or len(traces) < node.settings.max_attempts) for a in tried
        ):
            return False
        if self.request_class.idempotency is not Idempotency.SAFE and node.unsure[e] > SURE:
            return False  # guards against a pod that has taken over another's address in an old list
        if (
            self.request_class.idempotency is not Idempotency.KEYED
            or not traces
            or self.request_class.deduplication_scope is DeduplicationScope.ALL
        ):
            return True
        group = node.zone if self.request_class.deduplication_scope is DeduplicationScope.ZONE else node.cell
        return group[e] == group[traces[0].server]

    def in_time(self, e: int) -> bool:
        """Return whether a server's queue leaves a chance to keep the promise.

        Guards against collapse under overload: where every count grows, so does the mean that the threshold
        follows, and work queues up that will all be late.
        """
        node = self.node
        return node.wait(e, self.request) <= min(self.slack(node.kind_pace[node.kind[e]]), node.queue_ms)

    def has_room(self, e: int) -> bool:
        """Return whether a server has the slots that it takes free, as far as is known."""
        return self.node.count(e) + self.request.slots <= self.node.slots(e) and not self.node.full[e]

    def slack(self, pace: float, short: float = SHORT) -> float:
        """Return how long the request may still wait at a server of some pace and be in time."""
        run = self.request.run_hint_ms or self.node.run[self.request.class_index]
        spare = (
            self.request_class.latency_objective_ms
            + max(0.0, self.request_class.objective_run_factor - pace) * short * run
        )
        # Guards clients that give up early: a mean run that does not fit says little of runs that vary.
        spare = min(spare, self.request.deadline_at_ms - self.taken - short * run * pace)
        return self.taken + spare - self.node.port.now()

    def may_defer(self) -> bool:
        """Return whether the client may be told that a retry does no harm."""
        traces, back = self.traces(), self.node.port.now() + self.node.rest_ms
        if self.unfit or self.request_class.idempotency is Idempotency.SAFE or not traces:
            return not self.unfit
        kept = self.request_class.deduplication_scope is DeduplicationScope.ALL and self.known(traces, back)
        return kept and self.request_class.idempotency is Idempotency.KEYED

    # The ordinary path: home, threshold, probes, random pick.

    def first(self) -> tuple[Decision, int]:
        """Return what is decided of it now and its home, if there is one; nothing is done yet."""
        node, home = self.node, -1
        if self.waited or not node.waits_for_more(self):
            # Where the others' part is no report of now, or homes go by key, so that load is not even by
            # chance, home is first sought where there is room at once.
            uneven = node.peers or node.settings.reports_in_responses or node.settings.fetch_cost
            for test in (self.has_room, self.in_time) if uneven else (self.in_time,):
                # To wait for its key's servers pays only where no room elsewhere is known of.
                patient = test != self.has_room or node.settings.reports_in_responses
                home = node.draw(lambda e, test=test: test(e) and self.fits(e), self, patient)
                if home >= 0:
                    return (Decision.ASK, home) if node.stale(home) else (self.at(home), home)
        return Decision.LINE, -1

    def at(self, home: int) -> Decision:
        """Return whether home takes it, or others are asked as it is over its threshold or out of use."""
        node = self.node
        fine = node.usable(home) and self.in_time(home) and not node.over(home, self.request)
        return Decision.HOME if fine else Decision.OTHERS

    def place(self) -> None:
        """Draw a home and, where its report is old, ask it first."""
        self.lined = False
        if not self.may_send():
            self.again()
            return
        decision, self.home = self.first()
        if decision is Decision.LINE:
            self.hold()
        elif decision is Decision.ASK:
            self.ask([self.home], self.looked)
        else:
            self.at_home(decision)

    def patient(self) -> bool:
        """Return whether there is time to wait for one of those where the thing needed is likely kept."""
        return self.slack(min(self.node.kind_pace)) > self.node.queue_ms

    def at_home(self, decision: Decision) -> None:
        """Home takes the request unless it is over its threshold; then others are probed."""
        if decision is Decision.HOME:
            self.send(self.home)
            return
        node, chosen = self.node, []
        # Guards against a probe storm under overload: what waits probes no others, and new work fewer.
        most = (
            round(PROBES * min(1.0, LUCK * node.luck)) if node.settings.may_probe and not self.waited else 0
        )
        while len(chosen) < most:
            e = node.draw(lambda e: e != self.home and e not in chosen and self.fits(e), self, False)
            if e < 0:
                break
            chosen.append(e)
        if chosen:
            self.ask(chosen, self.choose)
        else:
            self.choose([])

    def looked(self) -> None:
        """Go on at a home that was asked; a request from the line lets the next one look."""
        sent = len(self.attempts)
        self.at_home(self.at(self.home))
        self.node.found(len(self.attempts) > sent)
        if self.node.looking is self:
            self.node.looking = None
            self.node.pump(self.request.slots if self.lined else inf)

    def among(self, asked: list[int]) -> tuple[Decision, int]:
        """Return what is decided of it once others were asked, and where it goes."""
        node = self.node
        good = [e for e in asked if not node.passed[e] and node.heard_ms[e] >= self.round_ms]
        good = [e for e in good if node.usable(e) and self.in_time(e) and not node.over(e, self.request, 1.0)]
        if good:
            return Decision.PASSED, good[int(node.chance() * len(good))]
        kept = node.usable(self.home) and self.in_time(self.home)
        return (Decision.KEPT, self.home) if kept else (Decision.LINE, -1)

    def choose(self, asked: list[int] | None = None) -> None:
        """Pass the request to a random one of those under threshold; else home keeps it, if in time."""
        node = self.node
        decision, to = self.among(self.asked if asked is None else asked)
        if asked is None:
            node.found(decision is Decision.PASSED)
        if decision is Decision.LINE:
            self.hold()
            return
        node.passed[to] = node.passed[to] or decision is Decision.PASSED
        self.send(to)

    def ask(self, servers: list[int], then: Callable[[], None]) -> None:
        """Probe some servers in parallel and go on when all have answered or the wait is over."""
        node = self.node
        self.asked, self.round_ms = servers, node.port.now()
        pending = set(servers)

        def answered(e: int | None) -> None:
            nonlocal pending
            if pending and not self.done:
                pending = pending - {e} if e is not None else set()
                if not pending:
                    then()

        for e in servers:
            node.ask(e, answered)
        node.port.after(node.ask_ms, lambda: answered(None))

    def send(self, e: int) -> None:
        """Send the request to a server."""
        node, now = self.node, self.node.port.now()
        if not self.may_send() or not self.fits(e):
            self.again()
            return
        planned = None if node.stale(e) else node.wait(e, self.request)
        self.attempts.append(Attempt(e, now, now, expected_wait_ms=planned))
        node.hold(e, self, len(self.attempts) - 1, self.request.slots)
        node.wake(e)
        node.tokens[e] -= node.cost(self.request)
        node.port.send(self, e, self.request.deadline_at_ms - now)

    def hold(self) -> None:
        """Wait in line for a server: first attempts in one, further ones in another served after it."""
        if not self.lined:
            self.lined = self.waited = True
            self.node.queue(self)
            self.node.wake()

    def again(self) -> None:
        """Seek a further attempt; answer at once when none is allowed and nothing is out."""
        if self.may_send():
            self.hold()
        elif not self.out():
            self.answer()

    # Final answers.

    def answer(self) -> None:
        """Give the one final answer: rejected where a retry is harmless, else failed."""
        if self.done:
            return
        self.done = True
        if self.may_defer():
            self.node.port.defer(self, min(self.node.rest_ms, self.node.settings.max_retry_after_ms))
        else:
            self.node.port.abort(self)
        self.left()

    # What happens to it.

    def started(self, attempt_index: int) -> None:
        """Note that an attempt began to run."""
        a = self.attempts[attempt_index]
        a.started_ms = a.last_heard_ms = self.node.last_heard_ms[a.server] = self.node.port.now()
        self.node.unsure[a.server] = 0.0  # its word came under its own name
        self.node.waited(a, a.started_ms - a.sent_ms)

    def progress(self, attempt_index: int, share: float) -> None:
        """Note a sign of life of an attempt."""
        a = self.attempts[attempt_index]
        a.last_heard_ms = self.node.last_heard_ms[a.server] = self.node.port.now()
        a.progress = share

    def streaming(self, attempt_index: int) -> None:
        """Note that the answer is on its way: the client owns it now."""
        self.started(attempt_index)
        self.done = True

    def left(self) -> None:
        """Stop all for a request that has its answer, or whose client has gone."""
        self.done = True
        for i, a in enumerate(self.attempts):
            if a.outcome is None and not a.cancelled:  # where settings forbid it, only what has not begun
                a.cancelled = True
                self.node.port.cancel(self, i)
        if self.line is not None and not self.out():
            self.line.left(self)

    def settled(self, attempt_index: int, outcome: Outcome, final: bool, report: LoadReport | None) -> None:
        """Take in how an attempt ended."""
        a, node = self.attempts[attempt_index], self.node
        a.outcome = outcome
        if outcome in NEVER_RAN:
            node.port.never_ran(self, a.server, a.sent_ms)
        # Guards servers against blame, and others against the same again, for a client's own mistake.
        self.unfit = self.unfit or outcome is Outcome.INVALID_REQUEST
        node.hold(a.server, self, attempt_index, -self.request.slots)
        if self.line is not None and outcome in MAY_RUN_ON:
            self.line.rest(node.port.after, node.settings.key_gap_ms)
        node.ended(self, a, report)
        if final or self.done:
            self.left()
        elif (
            outcome is not Outcome.CANCELLED_UNSENT or not self.out()
        ):  # none more where one was called off for another
            self.again()
        node.pump()


class Dispatcher(ServerStats):
    """One dispatcher: servers in parallel arrays, what its own traffic has taught it, and its lines."""

    handle: type[RequestState] = RequestState  # baselines in experiments set another

    def __init__(self, settings: Settings, seed: int, port: Port) -> None:
        super().__init__()
        self.port, self.chance = port, RandomSource(seed)
        self.configure(settings)
        # Heaps by (further attempt, kind needed, slots, rank): until when one can be in time, a number.
        self.lines: dict[tuple[bool, int, float, float], list[tuple[float, int, RequestState]]] = {}
        self.aside: list[tuple[float, int, RequestState]] | None = None  # looked in vain, while others do
        self.count_lined, self.next_ask, self.awake = 0, 0.0, False
        self.looking: RequestState | None = None  # of those in line, whose home is being asked
        self.turns: dict[str, KeyQueue] = {}  # by key
        self.unlisted: dict[int, None] = {}  # used though the list calls them gone
        self.call(0.0)
        self.sweep()

    def configure(self, settings: Settings) -> None:
        """Take in settings, also in service: what was learned under an index stays."""
        self.settings, self.request_classes, self.backoff = settings, settings.request_classes, 0.0
        self.rest_ms = REST * min((t.deadline_ms for t in self.request_classes), default=1000.0)
        urgent = settings.shortest_objective_ms
        self.ask_ms = max(ASK * urgent, 4.0 * settings.tick_ms)
        self.fresh_ms, self.sweep_ms = FRESH * urgent, SWEEP * urgent
        self.queue_ms, self.margin = QUEUE * urgent, 2.0 * settings.tick_ms
        self.bound = any(t.kind >= 0 for t in self.request_classes)
        self.longest_ms = 2.0 * max(
            (t.deadline_ms for t in self.request_classes if t.deadline_ms < inf), default=1000.0
        )
        self.period_ms = self.period_ms or settings.progress_period_ms
        self.grow(
            settings.kind_count,
            [FIRST_GUESS * (t.latency_objective_ms or urgent) for t in self.request_classes],
        )
        self.near, self.far = self.by_zone(settings.zone)

    # Discovery.

    def update_endpoints(
        self, update_kind: ListUpdateKind, members: list[Endpoint], doubt: float = 0.0
    ) -> None:
        """Take in discovery's news; doubt is the chance that an entry of an old list is no longer true."""
        now = self.port.now()
        if update_kind is ListUpdateKind.FAILED:
            first, part = 0.1 * self.settings.max_poll_interval_ms, 0.5 + self.chance()
            self.backoff = min(2.0 * self.backoff or first, self.settings.max_poll_interval_ms)
            rest = min(
                part * self.backoff, self.settings.max_poll_interval_ms
            )  # what a call took counts in it
            at = self.next_ask = max(now + part * first, min(now, self.next_ask) + rest)
            self.port.after(at - now, lambda: self.call(at))
            return
        self.backoff *= (
            update_kind is not ListUpdateKind.DELTA
        )  # guards against a storm where watches fail at once
        if update_kind is not ListUpdateKind.DELTA:
            gone = set(range(len(self.endpoint_state))) - {m.server for m in members}
            self.leave({e for e in gone if not self.doubts_leave(e)})
        members = [m for m in members if m.state is not EndpointState.GONE or not self.doubts_leave(m.server)]
        if self.settings.live_weights and update_kind is ListUpdateKind.DELTA:
            self.period_ms += (min(now - self.listed_ms, 2.0 * self.period_ms) - self.period_ms) / 5.0
            self.listed_ms = now
        for m in members:
            self.unlisted.pop(m.server, None)
            self.enter(m)
            born = (
                self.port.now() if doubt > SURE else m.process_started_ms
            )  # guards what may have started meanwhile
            if born is not None and born != self.born[m.server]:
                self.reborn(m.server, born)
            elif born is None and update_kind is not ListUpdateKind.CACHED:
                self.born[m.server] = None
            self.unsure[m.server] = doubt
        if self.settings.live_weights:
            weights = [(m.server, m.weight) for m in members if m.weight and m.state is EndpointState.READY]
            self.weigh(weights, now - LATE * self.period_ms)
        before = self.near, self.far
        self.near, self.far = self.by_zone(self.settings.zone)
        if self.settings.fetch_cost and (self.near, self.far) != before:
            self.set_ring()
        if self.peers:
            self.sum_told(now, self.longest_ms)
        for e in list(self.watched):
            if self.endpoint_state[e] is EndpointState.GONE:
                self.rescue(e)
        self.pump()

    def call(self, due_ms: float) -> None:
        """Ask discovery for its list and its changes, unless a later failure has set another time."""
        if self.settings.subscribes_to_endpoints and due_ms == self.next_ask:
            self.port.subscribe()

    def doubts_leave(self, e: int) -> bool:
        """Return whether one that the list calls gone, or leaves out, is still used.

        Where draining alone binds the list is no proof of what is up: it stays until we see it fail.
        """
        used = (
            e < len(self.endpoint_state)
            and self.endpoint_state[e] is EndpointState.READY
            and self.out_until[e] is None
        )
        if used and self.settings.only_draining_excludes:
            self.unlisted[e] = None
        return used and self.settings.only_draining_excludes

    def reborn(self, e: int, born: float) -> None:
        """Start afresh with a server whose process has: it is cold and its old counts are void."""
        now = self.port.now()
        self.tally(e, -1)
        self.unlearn(e)
        self.born[e] = born
        self.tally(e, 1)
        self.tokens[e], self.token_ms[e] = -self.chance(), now  # so that the nodes do not all begin at once
        self.rescue(e, born)

    # What nodes tell each other.

    def hold(self, e: int, state: RequestState, attempt_index: int, slots: float) -> None:
        """Note an attempt of ours at a server or its end, to be told to the other nodes."""
        super().hold(e, state, attempt_index, slots)
        if self.settings.may_gossip:
            if not self.changed:
                self.port.after(TELL * self.ask_ms, self.tell)
            self.changed[e] = None

    def tell(self) -> None:
        """Tell the other nodes what we have at each server where that has changed."""
        for message in self.words():
            self.port.tell(message)

    # What a server's figures say.

    def count(self, e: int) -> float:
        """Return a server's count: what the others had there at its last report, and what is ours now.

        Where reports are old when they come, our part against our mean elsewhere says what the others have:
        work stays where it is slow, stuck or more than is told. Guards against reports that are not true.
        """
        others, ours, kind = self.others[e], self.ours[e], self.kind[e]
        others = max(0.0, (self.unheard() if others is None else others) + self.lift(kind))
        if self.settings.reports_in_responses and not self.peers:
            others *= (PRIOR + ours) / (PRIOR + self.ours_sum[kind] / max(1, self.members[kind]))
        return others + ours

    def unheard(self) -> float:
        """Return what the others are taken to have on a server never heard from: their mean elsewhere."""
        return sum(self.others_sum) / (sum(self.known) or 1)

    def over(self, e: int, request: Request, more: float = 0.0) -> bool:
        """Return whether a server is past its kind's threshold plus one."""
        return self.full[e] or self.count(e) + more > self.threshold(self.kind[e]) + 1.0

    def threshold(self, kind: int) -> float:
        """Return the mean count of a kind's ready servers, rounded up."""
        members = self.members[kind]
        guess = (members - self.known[kind]) * self.unheard()
        total = self.others_sum[kind] + self.ours_sum[kind] + guess + members * self.lift(kind)
        return ceil(total / members - 1e-6) if members else 0.0  # running sums drift in the last digits

    def wait(self, e: int, request: Request) -> float:
        """Return how long a request sent now should wait before it starts."""
        slots = self.slots(e)
        served = slots / (self.mean_area * self.kind_pace[self.kind[e]])
        ahead = inf if self.full[e] else self.count(e)
        if self.stale(e):
            # Only a probe can tell. Guards against wide work kept waiting until so many slots were seen.
            ahead, slots = self.ours[e], max(slots, request.slots)
        if self.settings.reports_in_responses:
            served /= (
                1.0 + (request.slots - 1.0) / 3.0
            )  # wide work waits until so many slots are free together
        return max(0.0, ahead + request.slots - slots) / served

    def avoids(self, e: int) -> bool:
        """Return whether a server gets nothing now: not ready, sick, or not answering its probe."""
        now, asked, until = self.port.now(), self.asked_ms[e], self.out_until[e]
        if self.endpoint_state[e] is not EndpointState.READY:
            return True
        if asked is not None and now - asked > self.ask_ms:
            return True  # a probe overdue: a cut link, a machine gone silent, a long pause
        # A sick one rests, then gets one request at a time on trial.
        return until is not None and (now < until or bool(self.on_trial(e) and not self.silent[e]))

    def usable(self, e: int) -> bool:
        """Return whether a server is not avoided and is warm enough."""
        return not self.avoids(e) and self.warm(e)

    def draw(
        self, test: Callable[[int], bool], state: RequestState | None = None, patient: bool = True
    ) -> int:
        """Draw a usable server that passes a test, or -1; kinds that others need are drawn less often."""
        leans, second = (
            self.leans(self.request_classes) if self.bound and state and state.request_class.kind < 0 else [],
            -1,
        )
        left = inf if state and state.attempts else TESTS
        for e in self.candidates(state, patient):
            if not self.usable(e):
                continue
            if test(e):
                if not leans or self.lot(e, state.request) < leans[self.kind[e]]:
                    return e
                second = e if second < 0 else second
            left -= 1
            if left <= 0:  # guards large fleets under overload: each look in vain once weighed every server
                break
        return second

    def lot(self, e: int, request: Request) -> float:
        """Return a number in [0, 1): by chance, or the same each time for a server and a key."""
        if request.resource_key is None:
            return self.chance()
        return zlib.crc32(b"%d" % self.mark[e], zlib.crc32(request.resource_key.encode())) / 2.0**32

    def candidates(self, state: RequestState | None, patient: bool) -> Iterator[int]:
        """Yield servers in the order in which they are drawn.

        New work comes first to where the thing that it needs is likely to be kept: to points that its key
        gives on a ring, the same at every node, more of them for what is asked for more. Then, unless it can
        wait for these, at random, the own zone more often, if it has not waited: a zone may be overfull.
        """
        key = state.request.resource_key if state and self.settings.fetch_cost else None
        if key is not None:
            yield from self.points(key, state.request_class.kind, self.chance())
            if patient and state.patient():
                return
        weight = 1.0 if state and state.waited else 1.0 + CROSSING * self.settings.cross_zone_cost
        near, far = list(self.near), list(self.far)
        while near or far:
            at = self.chance() * (weight * len(near) + len(far))
            pool, i = (near, at / weight) if at < weight * len(near) else (far, at - weight * len(near))
            i = min(int(i), len(pool) - 1)
            e, pool[i] = pool[i], pool[-1]
            pool.pop()
            yield e

    # Probes.

    def stale(self, e: int) -> bool:
        """Return whether home must be asked before its count is believed.

        A silent one is asked when it is drawn, by whoever draws it: hundreds of nodes that each renewed their
        probes of the silent in their own time once paid more for these than for all others.
        """
        age = self.port.now() - self.heard_ms[e]
        if self.peers:
            return (
                self.settings.may_probe and self.silent[e]
            )  # the other nodes have told what no report shows yet
        return self.settings.may_probe and (
            self.silent[e] or age > self.fresh_ms * (1.0 + DOUBT * self.doubt)
        )

    def ask(self, e: int, then: Callable[[int | None], None]) -> None:
        """Probe a server, or share the probe that is out."""
        self.waiters[e].append(then)
        if self.asked_ms[e] is None:
            self.asked_ms[e] = self.port.now()
            self.port.probe(e)

    def probed(self, e: int, outcome: Outcome, lag_ms: float, report: LoadReport | None) -> None:
        """Take in a probe's answer."""
        self.asked_ms[e] = None
        if outcome is Outcome.COMPLETED:
            self.heard_ms[e] = self.port.now()
            self.unsure[e] *= ANSWERED  # somebody is there
            if self.silent[e]:
                self.recover(e)
            if report is not None:
                self.take_report(e, report, self.port.now() - lag_ms)
        elif outcome in (Outcome.TIMED_OUT, Outcome.UNREACHABLE, Outcome.BROKEN):
            self.silent[e] = True
            self.suspend(e, "probe " + outcome.value, outcome is not Outcome.BROKEN)
        waiters, self.waiters[e] = self.waiters[e], []
        for then in waiters:
            then(e)

    # Health.

    def ended(self, state: RequestState, a: Attempt, report: LoadReport | None) -> None:
        """Let an outcome speak for or against its server."""
        e, now, outcome = a.server, self.port.now(), a.outcome
        if report is not None:
            self.take_report(e, report, now)
        if outcome in (Outcome.COMPLETED, Outcome.ERROR, Outcome.AT_CAPACITY, Outcome.INVALID_REQUEST):
            self.last_heard_ms[e] = now
        if outcome is Outcome.AT_CAPACITY:
            self.full[e] = True
            self.waited(a, inf)
        elif outcome is Outcome.COMPLETED:
            if a.started_ms is not None:
                self.learn(state.request, e, now - a.started_ms)
            self.testify(e, log((1.0 - SICK_ERROR) / (1.0 - self.usual(state.request.class_index, False))))
            if self.evidence[e] <= 0.0 and self.out_until[e] is not None:
                self.recover(e)
        elif outcome in (Outcome.ERROR, Outcome.BROKEN, Outcome.TIMED_OUT):
            usual = self.usual(state.request.class_index, True) if outcome is Outcome.ERROR else WELL_ERROR
            self.testify(e, log(SICK_ERROR / usual))

    def testify(self, e: int, weight: float) -> None:
        """Add to the sequential test on a server's outcomes."""
        self.evidence[e] = max(0.0, self.evidence[e] + weight)
        if self.evidence[e] >= TRIP:
            self.suspend(e, "outcomes", False)

    def on_trial(self, e: int) -> list[Attempt]:
        """Return our attempts at a server, without those sent before the end of its last rest."""
        since = self.out_until[e] or -inf  # guards one that is well against old work that stays silent
        return [state.attempts[i] for state, i in self.own[e] if state.attempts[i].sent_ms >= since]

    def standing(self, e: int) -> bool:
        """Return whether work stands at a server: nothing heard of any of it though something was due.

        Only silence counts, not slowness: under overload work waits long on executors in good health.
        """
        now, sign = self.port.now(), self.last_heard_ms[e]
        all_free = self.room[e] + 0.5 >= self.slots(e)
        for a in self.on_trial(e):
            quiet = now - max(sign, a.sent_ms)
            late = 4.0 * self.queue_ms if a.expected_wait_ms is None else a.expected_wait_ms + self.queue_ms
            if a.started_ms is None and now - a.sent_ms > max(late, 4.0 * self.queue_ms):
                self.waited(a, inf)
            seen = self.heard_ms[e] - self.period_ms * self.settings.reports_in_responses
            idle = self.settings.reports_start and all_free and seen > a.sent_ms + self.fresh_ms
            unstarted = 2.0 * self.fresh_ms if idle else 0.0
            due = unstarted if a.started_ms is None else STANDS * self.settings.progress_period_ms
            if 0.0 < due < quiet:
                return True
        return False

    def suspend(self, e: int, why: str, lost: bool) -> None:
        """Let a sick server rest, and see to what it holds where that seems lost."""
        now = self.port.now()
        if self.out_until[e] is None or now >= self.out_until[e]:
            held = len(self.own[e])
            self.port.log(f"executor {e} rests {self.rest[e]:.0f} ms: {why}, holds {held} of ours")
            self.tally(e, -1)
            if e in self.unlisted:
                del self.unlisted[e]
                self.endpoint_state[e] = EndpointState.GONE
            self.out_until[e] = now + self.rest[e]
            self.wake(e)
            self.rest[e] = min(2.0 * self.rest[e], 8.0 * self.rest_ms)
            self.evidence[e] = TRIP / 2.0
        if lost:  # guards what runs against being called back for single breaks: it tells its own end
            self.rescue(e)

    def recover(self, e: int) -> None:
        """End a server's rest."""
        self.tally(e, -1)
        self.out_until[e], self.rest[e], self.silent[e] = None, self.rest_ms, False
        self.tally(e, 1)

    def rescue(self, e: int, born: float | None = None) -> None:
        """Seek another place for what a server seems to have lost, as the rules allow."""
        now = self.port.now()
        for state, i in list(self.own[e]):
            a = state.attempts[i]
            alive = a.progress > 0.0 and now - a.last_heard_ms < 1.5 * self.settings.progress_period_ms
            if born is not None:
                alive = a.sent_ms >= born
            if (
                alive
                or state.done
                or state.lined
                or a.cancelled
                or state.request_class.idempotency is Idempotency.UNSAFE
            ):
                continue
            if state.out() > 1 or len(state.attempts) >= self.settings.max_attempts:
                continue
            if self.settings.may_hedge:
                state.again()
            elif (
                self.settings.may_cancel
                and self.draw(lambda x, e=e, state=state: x != e and state.fits(x)) >= 0
            ):
                a.cancelled = True
                self.port.cancel(state, i)

    # Cold servers.

    def allowance(self, e: int) -> float:
        """Return how many mean requests a ms all nodes may send to a server while it is cold."""
        born = self.born[e]
        if born is None:
            return inf
        age = max(0.0, self.port.now() - born)
        if age > self.settings.slow_start_ms:
            return inf
        share = (
            self.settings.slow_start_initial_share
            + (1.0 - self.settings.slow_start_initial_share) * age / self.settings.slow_start_ms
        )
        rate = self.slots(e) / (self.mean_area * self.kind_pace[self.kind[e]])
        return COLD * self.settings.overload_multiple * share * rate

    def cost(self, request: Request) -> float:
        """Return a request's size in mean requests."""
        return self.run[request.class_index] * request.slots / self.mean_area

    def warm(self, e: int, size: float = 0.0) -> bool:
        """Return whether this node's part of a server's cold budget allows work of some size now."""
        planned, part = (
            self.allowance(e) * self.settings.overload_window_ms,
            self.settings.process_share / self.settings.node_count,
        )
        if planned == inf:
            return True
        now, room = self.port.now(), planned * (1.0 / COLD - 1.0) + 2.0 * sqrt(planned / COLD)
        most = OPEN * part * room
        earned = self.tokens[e] + (now - self.token_ms[e]) / self.settings.overload_window_ms * planned * part
        self.tokens[e], self.token_ms[e] = earned - max(0, ceil(earned - most)), now
        return planned >= size and self.tokens[e] > PAID * min(size, most) * (1.0 - 1.0 / max(1.0, size))

    # Standing work.

    def take(self, request: Request) -> RequestState:
        """Take a request, to be answered before this try's deadline whatever is out by then."""
        self.note(request)
        state = self.handle(self, request)
        self.port.after(request.deadline_at_ms - self.port.now() - self.margin, state.answer)
        self.line_up(state)
        left = state.slack(min(self.kind_pace), 1.0 if request.run_hint_ms else SHORT)
        if state.turn:
            state.place()
        elif state.most and state.line.ahead_ms - state.lined_ms < left:
            self.port.after(left, lambda: state.turn or state.answer())
        else:
            state.answer()  # it cannot be in time behind those before it
        return state

    def line_up(self, state: RequestState) -> None:
        """Put a request in its key's line where its type asks for that."""
        key = (
            state.request.resource_key
            if self.request_classes[state.request.class_index].ordered_by_key
            else None
        )
        if key is not None and state.line is None:
            line = self.turns.setdefault(key, KeyQueue(self.turns, key))
            line.join(state, state.request.run_hint_ms or self.run[state.request.class_index])

    def wake(self, e: int | None = None) -> None:
        """See to it that what stands, maybe at a server, is looked at; else a node sleeps."""
        if e is not None:
            self.watched[e] = None
        if not self.awake:
            self.awake = True
            self.port.after(self.sweep_ms, self.sweep)

    def sweep(self) -> None:
        """Look at what stands: discovery's call, servers with work of ours and sick ones, lines."""
        now, self.awake = self.port.now(), False
        for e in list(self.watched):
            until = self.out_until[e]
            if until is None and not self.own[e]:
                del self.watched[e]
            elif self.endpoint_state[e] is not EndpointState.READY:
                continue
            elif until is None:
                if self.standing(e):
                    self.suspend(e, "work stands", True)
            elif now >= until and self.standing(e):
                self.suspend(e, "trial stands", True)
        self.pump(inf if self.chance() < max(0.1, LUCK * self.luck) else 0.0)
        if self.watched or self.lines:
            self.wake()

    def queue(self, state: RequestState) -> None:
        """Put a request in line; lines stand apart by what a look for one of them says of the others."""
        self.count_lined += 1
        due = self.port.now() + state.slack(min(self.kind_pace))
        entry = (due, self.count_lined, state)
        if self.aside is not None:
            self.aside.append(entry)
        else:
            key = (
                bool(state.attempts),
                state.request_class.kind,
                state.request.slots,
                self.rank(state.request.class_index),
            )
            heappush(self.lines.setdefault(key, []), entry)

    def pump(self, hopeless: float = inf) -> None:
        """Serve the lines: first attempts, then further ones; give up what has waited too long.

        One looks at a time, and after one in vain only narrower work, until the next sweep. Guards against a
        probe storm: on a node with little traffic every home must be asked, and all in line would ask theirs.
        Looks in vain are bounded. Guards against a burst that has thousands wait: each outcome once put all
        of them in order and drew over all executors for each.
        """
        now, vain = self.port.now(), 0
        if self.aside is not None:
            return
        self.aside, closed = [], dict.fromkeys({key[1] for key in self.lines}, hopeless)
        while True:
            heads = [(key[0], -key[3], line[0][0], key) for key, line in self.lines.items() if line]
            heads = [head for head in heads if head[2] < now or self.open_for(head[3], closed, vain)]
            if not heads:
                break
            _, _, due, key = min(heads)
            state = heappop(self.lines[key])[2]
            state.lined = False
            if state.done:
                continue
            if due < now:
                if not state.out():
                    state.answer()
                continue
            state.place()
            if state.lined:
                vain += 1
                if due - now >= self.queue_ms and (
                    state.request.resource_key is None or not self.settings.fetch_cost
                ):
                    closed[key[1]] = min(closed[key[1]], key[2])
            elif not (state.done or state.out()):
                self.looking = state
        relined, self.aside = self.aside, None
        for _, _, state in relined:
            self.queue(state)
        self.lines = {key: line for key, line in self.lines.items() if line}

    def rank(self, type: int) -> float:
        """Return what goes before slack in line: credit for each bit of work, where credit goes by size."""
        return self.request_classes[type].priority_weight if self.settings.weight_by_size else 0.0

    def waits_for_more(self, state: RequestState) -> bool:
        """Return whether work that earns more by its size, and could go where this one could, is in line."""
        rank = self.rank(state.request.class_index)
        return any(line and key[3] > rank and not key[0] for key, line in self.lines.items())

    def open_for(self, key: tuple[bool, int, float, float], closed: dict[int, float], vain: int) -> bool:
        """Return whether one of a line may look for a server now."""
        if vain > LOOKS or not (self.looking is None or self.looking.done):
            return False
        return key[0] or key[2] < closed[key[1]]
