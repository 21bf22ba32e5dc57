"""What a node has on record of each server: parallel arrays, and sums by kind. Nothing is decided here."""

from bisect import bisect
from collections.abc import Callable, Iterator
from math import ceil, inf
from typing import Any
from zlib import crc32

from marlseam.decisions.types import (
    Attempt,
    Endpoint,
    EndpointState,
    LoadReport,
    Request,
    RequestClass,
    Settings,
)

GUESS_WEIGHT = 5.0  # runs that a guess counts for against those seen
MEMORY = 50.0  # runs that a mean remembers
ASKED = 200.0  # requests taken that shares are reckoned from
KEYED = 400.0  # the same for keys; at twice that they fade
POINTS = 8  # of a server on the ring
SPREAD = 2.0  # servers that a key is drawn to first, over its share of the work times the fleet
NEAREST = 6  # points of a key that are looked at
TRUST = 0.3  # what remains by now of a departure from the level that a late weight or report shows
OWN = 0.75  # part of the level that our own work says, against the list
DOUBT = 30.0  # how much a doubtful report counts less
LESSONS = 10.0  # waits of our own that a mean of them remembers
WELL_ERROR = 0.02  # share of work that fails on a healthy server
FAILS_MOST = 0.45  # share of work that may fail by itself: more says as little of its server
WORDS_MOST = 64  # servers in a message


class ServerStats:
    """Parallel arrays under a dense index, and what the threshold is made of, kept as it changes."""

    set: Settings
    rest_ms: float  # the first rest of a server
    ask_ms: float  # how long a probe's answer is waited for
    queue_ms: float  # the longest wait at a server that work is sent into

    def __init__(self) -> None:
        # As listed.
        self.endpoint_state: list[EndpointState] = []
        self.kind: list[int] = []
        self.zone: list[int] = []
        self.cell: list[int] = []
        self.born: list[float | None] = []
        self.mark: list[int] = []
        self.by_mark: dict[int, int] = {}
        self.period_ms = 0.0  # how often the list comes with new weights
        self.listed_ms = 0.0
        # As heard: what the others have there, free slots, when; the probe that is out.
        self.others: list[float | None] = []
        self.room: list[float] = []
        self.heard_ms: list[float] = []
        self.last_heard_ms: list[float] = []
        self.asked_ms: list[float | None] = []
        self.waiters: list[list[Callable[[int | None], None]]] = []
        self.full: list[bool] = []
        self.passed: list[bool] = []
        # Our own: attempts (handle and number), the slots that they take.
        self.own: list[list[tuple[Any, int]]] = []
        self.ours: list[float] = []
        # Health, and the cold server's budget.
        self.evidence: list[float] = []
        self.out_until: list[float | None] = []
        self.rest: list[float] = []
        self.silent: list[bool] = []
        self.unsure: list[float] = []  # the chance that an entry of an old list is no longer true
        self.tokens: list[float] = []
        self.token_ms: list[float] = []
        self.watched: dict[int, None] = {}  # those that have work of ours or rest
        self.near, self.far = [], []  # those listed as ready, in the own zone and elsewhere
        self.doubt = 0.0  # share of reports found to be late
        self.luck = 1.0  # share of the latest probes that found room
        # By kind, over healthy ready servers: how many, how many heard from, sums of both parts of a count.
        self.members: list[int] = []
        self.known: list[int] = []
        self.others_sum: list[float] = []
        self.ours_sum: list[float] = []
        self.most_free: list[float] = []  # most slots ever reported free
        self.kind_pace: list[float] = []  # run over the request class's mean
        self.paced: list[float] = []  # runs that this rests on
        self.top_weight: list[float] = []  # that of a server that holds nothing
        self.listed: list[float] = []  # what the others have at one, as a mean of the latest list
        # By request class: mean run, and how many were seen; run times slots over all types.
        self.run: list[float] = []
        self.seen: list[float] = []
        self.fails: list[float] = []  # share that fails anywhere
        self.mean_area = 0.0
        self.mean_slots = 1.0  # of a request
        # Requests taken: by request class, and by the key that they need, the latest counting most.
        self.asked_for: list[float] = []
        self.keys: dict[str, float] = {}
        self.keyed = 0.0
        # What other nodes have at servers, as they told: by node, then by mark; when they last told.
        self.peers: dict[int, dict[int, int]] = {}
        self.peer_ms: dict[int, float] = {}
        self.changed: dict[int, None] = {}  # where ours has changed since we last told
        self.ring: dict[int, list[tuple[int, int]]] = {}  # by kind (-1: all): points of servers, in order

    def grow(self, kinds: int, guesses: list[float]) -> None:
        """Make room for kinds (the last place is that of unknown ones) and for request classes."""
        blanks = (
            (self.members, 0),
            (self.known, 0),
            (self.others_sum, 0.0),
            (self.ours_sum, 0.0),
            (self.most_free, 0.0),
            (self.kind_pace, 1.0),
            (self.paced, GUESS_WEIGHT),
            (self.top_weight, 0.0),
            (self.listed, 0.0),
        )
        for array, blank in blanks:
            array[-1:-1] = [blank] * (kinds + 1 - len(array))
        if not self.run:
            self.mean_area = sum(guesses) / max(1, len(guesses))
        self.run += guesses[len(self.run) :]
        self.seen += [GUESS_WEIGHT] * (len(self.run) - len(self.seen))
        for i, guess in enumerate(guesses):
            # Guards work whose limit new settings shorten: no run guessed by the old ones would fit into it.
            if self.seen[i] <= GUESS_WEIGHT and guess < inf:
                self.run[i] = guess
        self.fails += [0.0] * (len(self.run) - len(self.fails))
        self.asked_for += [1.0] * (len(self.run) - len(self.asked_for))

    def add(self) -> None:
        """Make room for one more server."""
        for array in (
            self.endpoint_state,
            self.kind,
            self.zone,
            self.cell,
            self.born,
            self.mark,
            self.others,
            self.heard_ms,
            self.last_heard_ms,
            self.room,
            self.asked_ms,
            self.full,
            self.passed,
            self.evidence,
            self.out_until,
            self.rest,
            self.silent,
            self.tokens,
            self.token_ms,
            self.ours,
            self.unsure,
        ):
            array.append(None)
        self.waiters.append([])
        self.own.append([])
        self.clear(len(self.endpoint_state) - 1)

    def clear(self, e: int) -> None:
        """Put a server on record as one of which nothing is known."""
        self.endpoint_state[e], self.kind[e], self.zone[e], self.cell[e], self.born[e] = (
            EndpointState.GONE,
            -1,
            -1,
            -1,
            None,
        )
        self.by_mark.pop(self.mark[e], None)  # guards who takes its place here against words of the old one
        self.mark[e] = 0
        self.room[e], self.last_heard_ms[e], self.asked_ms[e] = 0.0, -1e18, None
        self.tokens[e] = self.token_ms[e] = self.ours[e] = self.unsure[e] = 0.0
        self.unlearn(e)

    def unlearn(self, e: int) -> None:
        """Drop what was heard of a server's load and health."""
        self.others[e], self.heard_ms[e] = None, -1e18
        self.full[e] = self.passed[e] = self.silent[e] = False
        self.evidence[e], self.out_until[e], self.rest[e] = 0.0, None, self.rest_ms

    def enter(self, m: Endpoint) -> None:
        """Note an entry of discovery."""
        e = m.server
        while e >= len(self.endpoint_state):
            self.add()
        self.tally(e, -1)
        self.endpoint_state[e], self.kind[e], self.zone[e], self.cell[e] = m.state, m.kind, m.zone, m.cell
        self.mark[e] = m.mark & 0xFFFFFF
        self.by_mark[self.mark[e]] = e
        self.tally(e, 1)

    def leave(self, servers: set[int]) -> None:
        """Note that servers are gone."""
        for e in servers:
            self.tally(e, -1)
            self.endpoint_state[e] = EndpointState.GONE

    def by_zone(self, zone: int) -> tuple[list[int], list[int]]:
        """Return the servers listed as ready, those of a zone apart from the others."""
        ready = [e for e, state in enumerate(self.endpoint_state) if state is EndpointState.READY]
        return [e for e in ready if self.zone[e] == zone], [e for e in ready if self.zone[e] != zone]

    def tally(self, e: int, sign: int) -> None:
        """Take a server out of its kind's sums before a change of its figures, and put it back after."""
        if self.endpoint_state[e] is EndpointState.READY and self.out_until[e] is None:
            kind, others = self.kind[e], self.others[e]
            self.members[kind] += sign
            self.ours_sum[kind] += sign * self.ours[e]
            if others is not None:
                self.known[kind] += sign
                self.others_sum[kind] += sign * (others if self.settings.live_weights else max(0.0, others))

    def hear(self, e: int, others: float | None) -> None:
        """Note what the others have at a server."""
        self.tally(e, -1)
        self.others[e] = others
        self.tally(e, 1)

    def hold(self, e: int, state: Any, attempt_index: int, slots: float) -> None:  # noqa: ANN401
        """Note an attempt of ours at a server, or with slots below zero that it has ended."""
        self.tally(e, -1)
        (self.own[e].append if slots > 0.0 else self.own[e].remove)((state, attempt_index))
        self.ours[e] += slots
        self.tally(e, 1)

    def learn(self, request: Request, e: int, run: float) -> None:
        """Learn the mean run of a request class and the pace of a kind from a run."""
        t, kind = request.class_index, self.kind[e]
        run = min(run, 5.0 * self.run[t])
        self.seen[t] = min(self.seen[t] + 1.0, MEMORY)
        self.run[t] += (run - self.run[t]) / self.seen[t]
        self.mean_area += (run * request.slots - self.mean_area) / min(sum(self.seen), MEMORY)
        self.paced[kind] = min(self.paced[kind] + 1.0, MEMORY)
        self.kind_pace[kind] += (run / self.run[t] - self.kind_pace[kind]) / self.paced[kind]

    def usual(self, type: int, error: bool) -> float:
        """Learn from an outcome how often a request class fails anywhere, and return that.

        Guards executors against blame for work that fails wherever it goes.
        """
        self.fails[type] += (float(error) - self.fails[type]) / MEMORY
        return min(max(WELL_ERROR, self.fails[type]), FAILS_MOST)

    def note(self, request: Request) -> None:
        """Count a request that was taken, by its type, its slots and its key."""
        self.asked_for = [count * (1.0 - 1.0 / ASKED) for count in self.asked_for]
        self.asked_for[request.class_index] += 1.0
        self.mean_slots += (request.slots - self.mean_slots) / ASKED
        if request.resource_key is not None:
            self.keyed += 1.0
            self.keys[request.resource_key] = self.keys.get(request.resource_key, 0.0) + 1.0
            if self.keyed >= KEYED:
                self.keyed /= 2.0
                self.keys = {key: count / 2.0 for key, count in self.keys.items() if count >= 1.0}

    def told(self, peer: int, now: float, message: bytes) -> None:
        """Note what another node has at servers: a mark of three bytes and the slots in one, for each."""
        held = self.peers.setdefault(peer, {})
        self.peer_ms[peer] = now
        for at in range(0, len(message) - 3, 4):
            mark, slots = int.from_bytes(message[at : at + 3], "big"), message[at + 3]
            before, e = held.pop(mark, 0), self.by_mark.get(mark)
            if slots:
                held[mark] = slots
            if e is not None and slots != before:
                self.hear(e, max(0.0, (self.others[e] or 0.0) + slots - before))

    def sum_told(self, now: float, most_ms: float) -> None:
        """Reckon anew what the others have, without nodes that have long told nothing."""
        for peer in [peer for peer, at in self.peer_ms.items() if now - at > most_ms]:
            del self.peers[peer], self.peer_ms[peer]
        for e, mark in enumerate(self.mark):
            self.hear(e, float(sum(held.get(mark, 0) for held in self.peers.values())))

    def words(self) -> list[bytes]:
        """Return messages that say what we have where that has changed since the last ones."""
        words = [
            self.mark[e].to_bytes(3, "big") + bytes([min(255, ceil(self.ours[e]))]) for e in self.changed
        ]
        self.changed.clear()
        return [b"".join(words[at : at + WORDS_MOST]) for at in range(0, len(words), WORDS_MOST)]

    def slots(self, e: int) -> float:
        """Return how many slots a server seems to have at least."""
        return max(1.0, self.most_free[self.kind[e]])

    def weigh(self, weights: list[tuple[int, float]], taken_ms: float) -> None:
        """Take weights that move with load, size over one plus the requests held a core, for reports.

        Each counts as a departure from its kind's level, since it says little of now. The level is mostly our
        own work's as that of one node of many. Guards against late lists: by these alone all nodes once found
        a whole kind full, kept away from it together, and came back together.
        """
        found: dict[int, list[tuple[int, float]]] = {}
        for e, weight in weights:
            kind = self.kind[e]
            self.top_weight[kind] = max(self.top_weight[kind], weight)
            self.full[e] = self.passed[e] = False
            held = self.slots(e) * (self.top_weight[kind] / weight - 1.0) * self.mean_slots
            mine = sum(
                state.request.slots for state, i in self.own[e] if state.attempts[i].sent_ms < taken_ms
            )
            found.setdefault(kind, []).append((e, held - mine))
        for kind, rows in found.items():
            self.listed[kind] = sum(others for _, others in rows) / len(rows)
            for e, others in rows:
                self.depart(e, others)

    def take_report(self, e: int, report: LoadReport, sampled_ms: float) -> None:
        """Turn a report into a count of what the others have there."""
        self.full[e] = self.passed[e] = False
        held, kind = report.held, self.kind[e]
        if self.settings.reports_in_responses:
            sampled_ms -= self.period_ms
        own = [(state.request.slots, state.attempts[i]) for state, i in self.own[e]]
        running = sum(slots for slots, a in own if a.started_ms is not None)
        mine = running + sum(a.started_ms is None and a.sent_ms < sampled_ms for _, a in own)
        if report.free_slots is not None:
            self.room[e] = report.free_slots
            self.most_free[kind] = max(self.most_free[kind], float(round(report.free_slots)))
        if report.free_slots is not None:
            # Guards against taking a server without a free slot for idle: a node that sees little may
            # not have seen a free one of this kind yet. And against wide work, where requests are told.
            busy = max(0.0, self.slots(e) - report.free_slots) + (report.queued or 0.0)
            held = max(busy, (held or 0.0) * self.mean_slots)
        if held is not None and self.settings.live_weights:
            self.depart(e, held - mine)
        elif held is not None:
            # Guards against reports that come late: one that misses what has long been running here is old.
            settled = sampled_ms - 2.0 * self.ask_ms
            known = sum(slots for slots, a in own if a.started_ms is not None and a.started_ms < settled)
            if known:
                self.doubt += (float(held < 0.8 * known - 0.5) - self.doubt) / 10.0
            old = self.others[e]
            gain = 1.0 / (1.0 + DOUBT * self.doubt) if old is not None else 1.0
            self.hear(e, (old or 0.0) + gain * (held - mine - (old or 0.0)))

    def waited(self, a: Attempt, wait: float) -> None:
        """Learn from one of ours whether it waited where no wait was planned when it was sent."""
        planned, a.expected_wait_ms = a.expected_wait_ms, None
        if planned == 0.0 and not self.settings.reports_in_responses:
            # Guards against reports that come late, on nodes with too little work to see it in the reports.
            self.doubt += (float(wait > 4.0 * self.queue_ms) - self.doubt) / LESSONS

    def depart(self, e: int, others: float) -> None:
        """Note what the others had at a server some time ago, as a departure from its kind's level."""
        if not self.peers:
            listed = self.listed[self.kind[e]]
            self.hear(e, (1.0 - OWN) * listed + TRUST * (others - listed))

    def lift(self, kind: int) -> float:
        """Return the part of what the others have at one of a kind that our own work says, as one of many."""
        if not self.settings.live_weights or self.peers or not self.members[kind]:
            return 0.0
        return OWN * self.ours_sum[kind] * (self.settings.node_count - 1) / self.members[kind]

    def leans(self, types: tuple[RequestClass, ...]) -> list[float]:
        """Return for each kind how much of its part work that any kind may run should take of it.

        Guards the one kind that some project types can run on: drawn evenly, work that may go anywhere took
        part of it, and the others waited there beside kinds that had room.
        """
        areas = [n * run for n, run in zip(self.asked_for, self.run, strict=True)]
        kinds = range(len(self.members))
        bound = [sum(a for a, t in zip(areas, types, strict=True) if t.kind == k) for k in kinds]
        room = [self.members[k] * self.most_free[k] / self.kind_pace[k] for k in kinds]
        use = sum(areas) / (sum(room) or 1.0)
        spare = [max(0.0, use * room[k] - bound[k]) / max(1, self.members[k]) for k in kinds]
        most = max(spare) or 1.0
        return [s / most for s in spare]

    def points(self, key: str, kind: int, chance: float) -> Iterator[int]:
        """Yield the servers nearest to a key on the ring, from one of its first by chance."""
        ring = self.ring.get(kind)
        if ring:
            share = self.keys.get(key, 0.0) / max(self.keyed, KEYED / 2.0)
            first = int(chance * (1.0 + SPREAD * share * len(ring) / POINTS))
            for i in range(first, first + NEAREST):
                yield ring[bisect(ring, (crc32(b"%s:%d" % (key.encode(), i)),)) % len(ring)][1]

    def set_ring(self) -> None:
        """Lay out the points of all ready servers, by kind and all together."""
        ready = [e for e, state in enumerate(self.endpoint_state) if state is EndpointState.READY]
        self.ring = {
            -1: sorted((crc32(b"%d:%d" % (self.mark[e], i)), e) for e in ready for i in range(POINTS))
        }
        for point in self.ring[-1]:
            self.ring.setdefault(self.kind[point[1]], []).append(point)

    def found(self, room: bool) -> None:
        """Learn how often asking finds room: under overload it seldom does, and each probe has its price."""
        self.luck += (float(room) - self.luck) / 20.0
