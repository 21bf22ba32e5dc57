"""Forward probing: which server gets a request.

The algorithm *Forward* of Mirchandaney, Towsley and Stankovic, "Adaptive Load Sharing in Heterogeneous
Systems" (YALEU/DCS/TR-586, 1987), section 2.1: a home server is drawn at random and keeps the request unless
its count exceeds the threshold plus one; then a few others are probed at once, and a random one of those
under the threshold plus one gets it; where there is none, home keeps it. docs/design.md has the table of
terms, and what differs from the paper.
"""

from typing import NamedTuple

from marlseam.decisions.sending import Sending
from marlseam.decisions.types import Decision

PROBE_LIMIT = 2  # the paper's L_p: other servers that are probed at most
FULL_PROBING_SUCCESS_SHARE = 0.25  # share of successful probes below which fewer servers are probed


class PlacementChoice(NamedTuple):
    """What is decided of a request; `server` is its home or its target, -1 for none."""

    decision: Decision
    server: int


class ForwardProbing(Sending):
    """The placement of one request."""

    def place(self) -> None:
        """Draw a home server and, where its report is old, probe it first."""
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
        """Draw a home server and return what follows for the request; nothing is sent yet."""
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

        Where load is not even by chance, since the counts are not reports of now or homes go by key, a
        server with free slots is sought first.
        """
        dispatcher, settings = self.dispatcher, self.dispatcher.settings
        uneven = dispatcher.peer_slots or settings.reports_in_responses or settings.fetch_cost
        if uneven:
            # To wait for the servers of its key pays only where no free slots elsewhere are known of.
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
        """Return whether home takes the request, or others are probed as it is over its threshold."""
        dispatcher = self.dispatcher
        takes = (
            dispatcher.is_usable(home)
            and self.meets_latency_objective(home)
            and not dispatcher.is_over_threshold(home)
        )
        return Decision.HOME if takes else Decision.PROBE_OTHERS

    def home_probed(self) -> None:
        """Go on once home has answered its probe; a queued request lets the next one be placed."""
        sent = len(self.attempts)
        self.place_at_home(self.decide_at_home(self.home_server))
        self.dispatcher.learn_probe_success(len(self.attempts) > sent)
        self.dispatcher.home_probe_ended(self)

    def place_at_home(self, decision: Decision) -> None:
        """Send the request to its home, or probe others where home is over its threshold."""
        if decision is Decision.HOME:
            self.send(self.home_server)
            return
        others = self.draw_probe_targets()
        if others:
            self.probe(others, self.probes_ended)
        else:
            self.carry_out(self.pick_probed_server([]))

    def draw_probe_targets(self) -> list[int]:
        """Return random eligible servers besides home.

        Guards against a probe storm under overload: what has waited probes no others, and new requests fewer.
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
        """Return a random one of those under threshold; else home, where it meets the objective."""
        dispatcher = self.dispatcher
        good = [
            server
            for server in probed
            if not dispatcher.forwarded_since_report[server]
            and dispatcher.last_report_ms[server] >= self.probe_round_ms
        ]
        good = [
            server
            for server in good
            if dispatcher.is_usable(server)
            and self.meets_latency_objective(server)
            and not dispatcher.is_over_threshold(server, 1.0)
        ]
        if good:
            return PlacementChoice(Decision.FORWARDED, good[int(dispatcher.random() * len(good))])
        if dispatcher.is_usable(self.home_server) and self.meets_latency_objective(self.home_server):
            return PlacementChoice(Decision.PLACED_AT_HOME, self.home_server)
        return PlacementChoice(Decision.QUEUED, -1)

    def probes_ended(self) -> None:
        """Go on once the probes of other servers have been answered."""
        choice = self.pick_probed_server(self.probed_servers)
        self.dispatcher.learn_probe_success(choice.decision is Decision.FORWARDED)
        self.carry_out(choice)

    def carry_out(self, choice: PlacementChoice) -> None:
        """Send the request where it was decided, or let it wait."""
        if choice.decision is Decision.QUEUED:
            self.enqueue()
            return
        if choice.decision is Decision.FORWARDED:
            # As the paper's probed node waits for one remote job at a time, until its next report.
            self.dispatcher.forwarded_since_report[choice.server] = True
        self.send(choice.server)
