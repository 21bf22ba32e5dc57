"""Forward probing: the choice of the server for a request.

The algorithm *Forward* of Mirchandaney, Towsley and Stankovic, "Adaptive Load Sharing in Heterogeneous
Systems" (YALEU/DCS/TR-586, 1987), section 2.1: a home server is drawn at random and keeps the request unless
its count exceeds the threshold plus one; then a few other servers are probed in parallel, and the request
goes to a random one of those below the threshold plus one; if there is none, the home server keeps it.
docs/design.md lists the terms and the differences from the paper.
"""

from typing import NamedTuple

from marlseam.decisions.sending import Sending
from marlseam.decisions.types import Decision

PROBE_LIMIT = 2  # the paper's L_p: most servers probed besides the home server
FULL_PROBING_SUCCESS_SHARE = 0.25  # share of successful probes below which fewer servers are probed


class PlacementChoice(NamedTuple):
    """The decision on a request and the server that it concerns: its home or its target, -1 for none."""

    decision: Decision
    server: int


class ForwardProbing(Sending):
    """Places one request by forward probing."""

    def place(self) -> None:
        """Draw a home server and send the request, probing first if the home server's report is stale."""
        self.is_queued = False
        if not self.may_attempt():
            self.retry()
            return
        decision, self.home_server = self.choose_initial_placement()
        if decision is Decision.QUEUED:
            self.enqueue()
        elif decision is Decision.PROBE_HOME:
            self.probe([self.home_server], self.home_probed)
        else:
            self.place_at_home(decision)

    def choose_initial_placement(self) -> PlacementChoice:
        """Draw a home server and return the decision on the request; nothing is sent yet."""
        home = -1
        if self.has_waited or not self.dispatcher.is_outranked(self):
            home = self.draw_home_server()
        if home < 0:
            return PlacementChoice(Decision.QUEUED, -1)
        if self.dispatcher.is_report_stale(home):
            return PlacementChoice(Decision.PROBE_HOME, home)
        return PlacementChoice(self.decide_at_home(home), home)

    def draw_home_server(self) -> int:
        """Return a random eligible server that meets the latency objective, -1 for none.

        A server with free slots is drawn first if load may be uneven: with gossip or late reports, where
        counts are not current, or where home servers are drawn by resource key.
        """
        dispatcher, settings = self.dispatcher, self.dispatcher.settings
        uneven = dispatcher.peer_slots or settings.reports_in_responses or settings.fetch_cost
        if uneven:
            # Waiting for the servers of the resource key pays only if no other server has free slots.
            may_wait = settings.reports_in_responses
            home = dispatcher.draw_server(
                lambda server: self.has_free_slots(server) and self.is_eligible(server), self, may_wait
            )
            if home >= 0:
                return home
        return dispatcher.draw_server(
            lambda server: self.meets_latency_objective(server) and self.is_eligible(server), self
        )

    def decide_at_home(self, home: int) -> Decision:
        """Return `HOME` if the home server can take the request, else `PROBE_OTHERS`."""
        dispatcher = self.dispatcher
        can_take = (
            dispatcher.is_usable(home)
            and self.meets_latency_objective(home)
            and not dispatcher.is_over_threshold(home)
        )
        return Decision.HOME if can_take else Decision.PROBE_OTHERS

    def home_probed(self) -> None:
        """Continue the placement after the probe of the home server, then let the next request probe."""
        sent = len(self.attempts)
        self.place_at_home(self.decide_at_home(self.home_server))
        self.dispatcher.learn_probe_success(len(self.attempts) > sent)
        self.dispatcher.home_probe_ended(self)

    def place_at_home(self, decision: Decision) -> None:
        """Send the request to its home server if so decided, else probe others and use their answers."""
        if decision is Decision.HOME:
            self.send(self.home_server)
            return
        others = self.draw_probe_targets()
        if others:
            self.probe(others, self.probes_ended)
        else:
            self.carry_out(self.pick_probed_server([]))

    def draw_probe_targets(self) -> list[int]:
        """Return random eligible servers other than the home server, to be probed.

        Guards against a probe storm under overload: requests that have waited probe no others, and new ones
        probe fewer where probes seldom lead to a send.
        """
        dispatcher, chosen = self.dispatcher, list[int]()
        if not dispatcher.settings.may_probe or self.has_waited:
            return chosen
        limit = round(PROBE_LIMIT * min(1.0, dispatcher.probe_success_share / FULL_PROBING_SUCCESS_SHARE))
        while len(chosen) < limit:
            other = dispatcher.draw_server(
                lambda server: server != self.home_server
                and server not in chosen
                and self.is_eligible(server),
                self,
                may_wait=False,
            )
            if other < 0:
                break
            chosen.append(other)
        return chosen

    def pick_probed_server(self, probed: list[int]) -> PlacementChoice:
        """Return a random probed server below its threshold plus one, else home or the pending queue.

        The home server is chosen only if it is usable and meets the latency objective. A probed server
        qualifies only with a report from this round of probes and no request forwarded there since.
        """
        dispatcher = self.dispatcher
        reported = [
            server
            for server in probed
            if not dispatcher.forwarded_since_report[server]
            and dispatcher.last_report_ms[server] >= self.probe_round_ms
        ]
        qualified = [
            server
            for server in reported
            if dispatcher.is_usable(server)
            and self.meets_latency_objective(server)
            and not dispatcher.is_over_threshold(server, 1.0)
        ]
        if qualified:
            return PlacementChoice(Decision.FORWARDED, qualified[int(dispatcher.random() * len(qualified))])
        if dispatcher.is_usable(self.home_server) and self.meets_latency_objective(self.home_server):
            return PlacementChoice(Decision.PLACED_AT_HOME, self.home_server)
        return PlacementChoice(Decision.QUEUED, -1)

    def probes_ended(self) -> None:
        """Continue the placement once the probes of other servers have been answered or timed out."""
        choice = self.pick_probed_server(self.probed_servers)
        self.dispatcher.learn_probe_success(choice.decision is Decision.FORWARDED)
        self.carry_out(choice)

    def carry_out(self, choice: PlacementChoice) -> None:
        """Send the request to the chosen server, or enqueue it."""
        if choice.decision is Decision.QUEUED:
            self.enqueue()
            return
        if choice.decision is Decision.FORWARDED:
            # As in the paper, where a probed node waits for one remote job at a time: no other request is
            # forwarded to the server before its next report.
            self.dispatcher.forwarded_since_report[choice.server] = True
        self.send(choice.server)
