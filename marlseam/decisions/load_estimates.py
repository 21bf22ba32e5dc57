"""How loaded each server is believed to be: counts, thresholds, expected waits, and how reports change them.

A server's count is the slots that other nodes' requests take there, by reports, plus those that ours take.
"""

from math import ceil, inf

from marlseam.decisions.server_stats import ServerStats
from marlseam.decisions.types import Attempt, LoadReport, Request

PRIOR_OWN_ATTEMPTS = 1.0  # attempts that our own part at a server is weighed against
DEPARTURE_WEIGHT = 0.3  # what remains by now of a departure from the level that a late report shows
OWN_LEVEL_WEIGHT = (
    0.75  # part of the level that is inferred from our own requests; the other part is the list's
)
DISTRUST_FACTOR = 30.0  # how much less a report counts where all reports were found to be late
WAIT_MEMORY = 10.0  # waits of our own attempts that a mean of them remembers


class LoadEstimates(ServerStats):
    """Counts, thresholds and expected waits."""

    def count(self, server: int) -> float:
        """Return a server's count: slots of the other nodes' requests at its last report, and of ours now.

        Where reports are old when they come, our part against our mean elsewhere says what the others have:
        requests stay where the server is slow, stuck or fuller than it reports. Guards against false reports.
        """
        others, ours, kind = self.others_slots[server], self.own_slots[server], self.kind[server]
        others = max(
            0.0, (self.mean_others_slots() if others is None else others) + self.level_from_own(kind)
        )
        if self.settings.reports_in_responses and not self.peer_slots:
            others *= (PRIOR_OWN_ATTEMPTS + ours) / (
                PRIOR_OWN_ATTEMPTS + self.own_slots_sum[kind] / max(1, self.ready_count[kind])
            )
        return others + ours

    def mean_others_slots(self) -> float:
        """Return the others' slots assumed at a server without a report: their mean elsewhere."""
        return sum(self.others_slots_sum) / (sum(self.reported_count) or 1)

    def is_over_threshold(self, server: int, more_slots: float = 0.0) -> bool:
        """Return whether a server's count, with `more_slots`, exceeds its kind's threshold plus one."""
        if self.at_capacity[server]:
            return True
        return self.count(server) + more_slots > self.threshold(self.kind[server]) + 1.0

    def threshold(self, kind: int) -> float:
        """Return the paper's T_c: the mean count of a kind's ready servers, rounded up."""
        ready = self.ready_count[kind]
        guess = (ready - self.reported_count[kind]) * self.mean_others_slots()
        total = (
            self.others_slots_sum[kind] + self.own_slots_sum[kind] + guess + ready * self.level_from_own(kind)
        )
        return ceil(total / ready - 1e-6) if ready else 0.0  # running sums drift in the last digits

    def expected_wait_ms(self, server: int, request: Request) -> float:
        """Return how long a request sent now would wait before it starts; inf at capacity."""
        slots = self.slot_count(server)
        slots_per_ms = slots / (self.mean_slot_ms * self.kind_pace[self.kind[server]])
        ahead = inf if self.at_capacity[server] else self.count(server)
        if self.is_report_stale(server):
            # Only a probe can tell. Guards against wide requests kept waiting until so many slots were seen.
            ahead, slots = self.own_slots[server], max(slots, request.slots)
        if self.settings.reports_in_responses:
            # A wide request waits until so many slots are free together.
            slots_per_ms /= 1.0 + (request.slots - 1.0) / 3.0
        return max(0.0, ahead + request.slots - slots) / slots_per_ms

    def is_report_stale(self, server: int) -> bool:
        """Return whether a server must be probed before its count is believed.

        An unresponsive server is probed when it is drawn, by whichever node draws it; no node renews such
        probes of its own accord. Guards against a probe storm of hundreds of nodes.
        """
        age_ms = self.port.now() - self.last_report_ms[server]
        if self.peer_slots:  # gossip is newer than any report
            return self.settings.may_probe and self.is_unresponsive[server]
        return self.settings.may_probe and (
            self.is_unresponsive[server]
            or age_ms > self.report_max_age_ms * (1.0 + DISTRUST_FACTOR * self.report_distrust)
        )

    def slot_count(self, server: int) -> float:
        """Return how many slots a server is known to have at least."""
        return max(1.0, self.max_free_slots[self.kind[server]])

    def merge_weights(self, weights: list[tuple[int, float]], taken_ms: float) -> None:
        """Take weights of the list that move with load, taken at some time, as reports.

        A weight is the server's size over one plus its requests a core. Each counts as a departure from its
        kind's level, since it says little of now; the level is mostly inferred from our own requests, as of
        one node of many. Guards against late lists, by which all nodes would leave a kind and return to it
        together.
        """
        held_by_kind: dict[int, list[tuple[int, float]]] = {}
        for server, weight in weights:
            kind = self.kind[server]
            self.max_weight[kind] = max(self.max_weight[kind], weight)
            self.at_capacity[server] = self.forwarded_since_report[server] = False
            held = self.slot_count(server) * (self.max_weight[kind] / weight - 1.0) * self.mean_slots
            mine = sum(
                state.request.slots
                for state, index in self.own_attempts[server]
                if state.attempts[index].sent_ms < taken_ms
            )
            held_by_kind.setdefault(kind, []).append((server, held - mine))
        for kind, rows in held_by_kind.items():
            self.listed_others_slots[kind] = sum(others for _, others in rows) / len(rows)
            for server, others in rows:
                self.merge_departure(server, others)

    def merge_report(self, server: int, report: LoadReport, sampled_ms: float) -> None:
        """Turn a report, taken at some time, into the slots of other nodes' requests."""
        self.at_capacity[server] = self.forwarded_since_report[server] = False
        if self.settings.reports_in_responses:
            sampled_ms -= self.refresh_period_ms
        own = [(state.request.slots, state.attempts[index]) for state, index in self.own_attempts[server]]
        running = sum(slots for slots, attempt in own if attempt.started_ms is not None)
        mine = running + sum(
            attempt.started_ms is None and attempt.sent_ms < sampled_ms for _, attempt in own
        )
        held = self.held_by_report(server, report)
        if held is None:
            return
        if self.settings.live_weights:
            self.merge_departure(server, held - mine)
            return
        # Guards against reports that come late: one that misses what has long been running here is old.
        started_before_ms = sampled_ms - 2.0 * self.probe_wait_ms
        surely_held = sum(
            slots
            for slots, attempt in own
            if attempt.started_ms is not None and attempt.started_ms < started_before_ms
        )
        if surely_held:
            is_old = held < 0.8 * surely_held - 0.5
            self.report_distrust += (float(is_old) - self.report_distrust) / 10.0
        before = self.others_slots[server]
        gain = 1.0 / (1.0 + DISTRUST_FACTOR * self.report_distrust) if before is not None else 1.0
        self.set_others_slots(server, (before or 0.0) + gain * (held - mine - (before or 0.0)))

    def held_by_report(self, server: int, report: LoadReport) -> float | None:
        """Return the slots that a report says are taken or queued for; None where it does not say."""
        if report.free_slots is None:
            return report.held
        kind = self.kind[server]
        self.free_slots[server] = report.free_slots
        self.max_free_slots[kind] = max(self.max_free_slots[kind], float(round(report.free_slots)))
        # Guards against taking a server without a free slot for idle: a node that sees little may
        # not have seen a free one of this kind yet. And against wide requests, where requests are reported.
        busy = max(0.0, self.slot_count(server) - report.free_slots) + (report.queued or 0.0)
        return max(busy, (report.held or 0.0) * self.mean_slots)

    def learn_wait(self, attempt: Attempt, wait_ms: float) -> None:
        """Learn from an attempt whether it waited where no wait was expected when it was sent."""
        expected_ms, attempt.expected_wait_ms = attempt.expected_wait_ms, None
        if expected_ms == 0.0 and not self.settings.reports_in_responses:
            # Guards against reports that come late, on nodes with too few requests to see it in the reports.
            was_late = wait_ms > 4.0 * self.max_queue_wait_ms
            self.report_distrust += (float(was_late) - self.report_distrust) / WAIT_MEMORY

    def merge_departure(self, server: int, others: float) -> None:
        """Set the others' slots at a server from an old figure, as a departure from its kind's level."""
        if not self.peer_slots:
            listed = self.listed_others_slots[self.kind[server]]
            self.set_others_slots(
                server, (1.0 - OWN_LEVEL_WEIGHT) * listed + DEPARTURE_WEIGHT * (others - listed)
            )

    def level_from_own(self, kind: int) -> float:
        """Return the part of the others' slots at a server of a kind that our own requests imply."""
        if not self.settings.live_weights or self.peer_slots or not self.ready_count[kind]:
            return 0.0
        return (
            OWN_LEVEL_WEIGHT
            * self.own_slots_sum[kind]
            * (self.settings.node_count - 1)
            / self.ready_count[kind]
        )
