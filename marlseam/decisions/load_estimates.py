"""Load estimates of servers: counts, thresholds, expected waits, and their update by load reports.

A server's count is the number of slots that other nodes' requests take there, estimated from reports, plus
the slots that this node's requests take.
"""

from math import ceil, inf

from marlseam.decisions.server_stats import ServerStats
from marlseam.decisions.types import Attempt, LoadReport, Request

PRIOR_OWN_ATTEMPTS = 1.0  # added to own slots at a server and to their mean before the two are compared
DEPARTURE_WEIGHT = 0.3  # remaining share of a server's deviation from its kind's level in a late report
OWN_LEVEL_WEIGHT = (
    0.75  # part of a kind's level inferred from this node's own requests; the rest comes from the list
)
DISTRUST_FACTOR = 30.0  # 1 + this * `report_distrust` divides a report's weight and extends its maximum age
WAIT_MEMORY = 10.0  # divisor of the moving average of late waits of own attempts


class LoadEstimates(ServerStats):
    """Estimates counts, thresholds and expected waits."""

    def count(self, server: int) -> float:
        """Return a server's count: the other nodes' slots at its last report, plus this node's slots now.

        Where reports arrive late (`reports_in_responses`), the others' slots are scaled by the ratio of this
        node's slots at the server to their mean over its kind, since requests accumulate where a server is
        slow, stuck or more loaded than it reports. Guards against false reports.
        """
        others, own, kind = self.others_slots[server], self.own_slots[server], self.kind[server]
        others = max(
            0.0, (self.mean_others_slots() if others is None else others) + self.level_from_own(kind)
        )
        if self.settings.reports_in_responses and not self.peer_slots:
            others *= (PRIOR_OWN_ATTEMPTS + own) / (
                PRIOR_OWN_ATTEMPTS + self.own_slots_sum[kind] / max(1, self.ready_count[kind])
            )
        return others + own

    def mean_others_slots(self) -> float:
        """Return the others' slots assumed at a server without a report: the mean over those with one."""
        return sum(self.others_slots_sum) / (sum(self.reported_count) or 1)

    def is_over_threshold(self, server: int, more_slots: float = 0.0) -> bool:
        """Return whether a server is at capacity or its count plus `more_slots` exceeds the threshold + 1."""
        if self.at_capacity[server]:
            return True
        return self.count(server) + more_slots > self.threshold(self.kind[server]) + 1.0

    def threshold(self, kind: int) -> float:
        """Return the threshold T_c of the paper in `placement`: a kind's mean count, rounded up.

        The mean is over the servers that are ready and not ejected; 0 if there is none.
        """
        ready = self.ready_count[kind]
        unreported = (ready - self.reported_count[kind]) * self.mean_others_slots()
        total = (
            self.others_slots_sum[kind]
            + self.own_slots_sum[kind]
            + unreported
            + ready * self.level_from_own(kind)
        )
        return ceil(total / ready - 1e-6) if ready else 0.0  # 1e-6: rounding errors of the running sums

    def expected_wait_ms(self, server: int, request: Request) -> float:
        """Return how long (ms) a request sent now is expected to wait before it starts; inf at capacity."""
        slots = self.slot_count(server)
        slots_per_ms = slots / (self.mean_slot_ms * self.kind_pace[self.kind[server]])
        ahead = inf if self.at_capacity[server] else self.count(server)
        if self.is_report_stale(server):
            # Only a probe can show the load. Guards against keeping a request of many slots waiting until a
            # report has shown as many slots free.
            ahead, slots = self.own_slots[server], max(slots, request.slots)
        if self.settings.reports_in_responses:
            # A request of several slots waits until all of them are free at once.
            slots_per_ms /= 1.0 + (request.slots - 1.0) / 3.0
        return max(0.0, ahead + request.slots - slots) / slots_per_ms

    def is_report_stale(self, server: int) -> bool:
        """Return whether a server must be probed before its count is used.

        An unresponsive server is probed when a node draws it for a request, never periodically. Guards
        against a probe storm by hundreds of nodes.
        """
        age_ms = self.port.now() - self.last_report_ms[server]
        if self.peer_slots:  # gossip is newer than any report
            return self.settings.may_probe and self.is_unresponsive[server]
        return self.settings.may_probe and (
            self.is_unresponsive[server]
            or age_ms > self.report_max_age_ms * (1.0 + DISTRUST_FACTOR * self.report_distrust)
        )

    def slot_count(self, server: int) -> float:
        """Return a lower bound of a server's slots: the most ever seen free at one of its kind, 1 or more."""
        return max(1.0, self.max_free_slots[self.kind[server]])

    def merge_weights(self, weights: list[tuple[int, float]], taken_ms: float) -> None:
        """Merge weights of the endpoint list that vary with load, sampled at `taken_ms`, as load reports.

        A weight is the server's size divided by one plus its requests per core. Each weight is outdated on
        arrival and counts only as a deviation from its kind's level; the level is mostly inferred from this
        node's own requests, as those of one node of many. Guards against late lists, which would make all
        nodes leave a kind together and return to it together.
        """
        others_by_kind: dict[int, list[tuple[int, float]]] = {}
        for server, weight in weights:
            kind = self.kind[server]
            self.max_weight[kind] = max(self.max_weight[kind], weight)
            self.at_capacity[server] = self.forwarded_since_report[server] = False
            held = self.slot_count(server) * (self.max_weight[kind] / weight - 1.0) * self.mean_slots
            own = sum(
                state.request.slots
                for state, index in self.own_attempts[server]
                if state.attempts[index].sent_ms < taken_ms
            )
            others_by_kind.setdefault(kind, []).append((server, held - own))
        for kind, rows in others_by_kind.items():
            self.listed_others_slots[kind] = sum(others for _, others in rows) / len(rows)
            for server, others in rows:
                self.merge_departure(server, others)

    def merge_report(self, server: int, report: LoadReport, sampled_ms: float) -> None:
        """Update the others' slots at a server from a report that was sampled at `sampled_ms`."""
        self.at_capacity[server] = self.forwarded_since_report[server] = False
        if self.settings.reports_in_responses:
            sampled_ms -= self.refresh_period_ms
        attempts = [
            (state.request.slots, state.attempts[index]) for state, index in self.own_attempts[server]
        ]
        running = sum(slots for slots, attempt in attempts if attempt.started_ms is not None)
        own = running + sum(
            attempt.started_ms is None and attempt.sent_ms < sampled_ms for _, attempt in attempts
        )
        held = self.held_by_report(server, report)
        if held is None:
            return
        if self.settings.live_weights:
            self.merge_departure(server, held - own)
            return
        # Guards against late reports: one without own attempts that have long been running is outdated.
        started_before_ms = sampled_ms - 2.0 * self.probe_wait_ms
        long_running = sum(
            slots
            for slots, attempt in attempts
            if attempt.started_ms is not None and attempt.started_ms < started_before_ms
        )
        if long_running:
            is_outdated = held < 0.8 * long_running - 0.5
            self.report_distrust += (float(is_outdated) - self.report_distrust) / 10.0
        before = self.others_slots[server]
        gain = 1.0 / (1.0 + DISTRUST_FACTOR * self.report_distrust) if before is not None else 1.0
        self.set_others_slots(server, (before or 0.0) + gain * (held - own - (before or 0.0)))

    def held_by_report(self, server: int, report: LoadReport) -> float | None:
        """Return the slots taken or queued for by a report; None if the report has neither figure.

        Also updates the free slots of the server and the most seen free at one server of its kind.
        """
        if report.free_slots is None:
            return report.held
        kind = self.kind[server]
        self.free_slots[server] = report.free_slots
        self.max_free_slots[kind] = max(self.max_free_slots[kind], float(round(report.free_slots)))
        # Guards against taking a server without a free slot for idle, as a node with few requests may not
        # have seen a free slot of this kind yet; and, where requests are reported and not slots, against
        # counting a request of several slots as one slot.
        busy = max(0.0, self.slot_count(server) - report.free_slots) + (report.queued or 0.0)
        return max(busy, (report.held or 0.0) * self.mean_slots)

    def learn_wait(self, attempt: Attempt, wait_ms: float) -> None:
        """Update the distrust in reports from the wait (ms) of an attempt for which no wait was expected."""
        expected_ms, attempt.expected_wait_ms = attempt.expected_wait_ms, None
        if expected_ms == 0.0 and not self.settings.reports_in_responses:
            # Guards against late reports on nodes with too few requests to detect lateness in the reports.
            was_late = wait_ms > 4.0 * self.max_queue_wait_ms
            self.report_distrust += (float(was_late) - self.report_distrust) / WAIT_MEMORY

    def merge_departure(self, server: int, others: float) -> None:
        """Set the others' slots at a server from an outdated figure, as a deviation from its kind's level."""
        if not self.peer_slots:
            listed = self.listed_others_slots[self.kind[server]]
            self.set_others_slots(
                server, (1.0 - OWN_LEVEL_WEIGHT) * listed + DEPARTURE_WEIGHT * (others - listed)
            )

    def level_from_own(self, kind: int) -> float:
        """Return the part of the others' slots at a server of a kind inferred from this node's requests."""
        if not self.settings.live_weights or self.peer_slots or not self.ready_count[kind]:
            return 0.0
        return (
            OWN_LEVEL_WEIGHT
            * self.own_slots_sum[kind]
            * (self.settings.node_count - 1)
            / self.ready_count[kind]
        )
