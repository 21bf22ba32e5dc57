"""Baseline policies for comparison with marlseam in the same simulation. Never reachable from a serving node.

Each keeps to the rules (what may be sent where, drains, slow start budgets, final answers) and places
requests by a textbook policy alone: no threshold, no latency objective at home, no probes but the policy's
own. A request that finds no server waits in the pending queue, and is answered at its deadline.
"""

from collections.abc import Callable

from marlseam.core import Reducer
from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.request_state import RequestState


class Baseline(RequestState):
    """A request placed by a baseline."""

    dispatcher: "BaselineDispatcher"

    def place(self) -> None:
        """Send to the policy's choice among usable, eligible servers."""
        self.is_queued = False
        if not self.may_attempt():
            self.retry()
        else:
            self.pick()

    def pick(self) -> None:
        """Send to the policy's choice, or wait in the pending queue."""
        server = self.choice()
        if server < 0:
            self.enqueue()
        else:
            self.send(server)

    def choice(self) -> int:
        """Return the server that the policy chooses, -1 for none."""
        raise NotImplementedError

    def ready(self) -> list[int]:
        """Return the usable, eligible servers."""
        dispatcher = self.dispatcher
        return [
            server
            for server in (*dispatcher.same_zone, *dispatcher.other_zones)
            if dispatcher.is_usable(server) and self.is_eligible(server)
        ]


class BaselineDispatcher(Dispatcher):
    """A dispatcher that places requests by one of the baselines."""

    last_server = -1


class AtRandom(Baseline):
    """Any usable server, at random."""

    def choice(self) -> int:
        """Return one at random."""
        ready = self.ready()
        return ready[int(self.dispatcher.random() * len(ready))] if ready else -1


class RoundRobin(Baseline):
    """The usable servers in turn."""

    def choice(self) -> int:
        """Return the next one."""
        ready = sorted(self.ready())
        if not ready:
            return -1
        self.dispatcher.last_server = next(
            (server for server in ready if server > self.dispatcher.last_server), ready[0]
        )
        return self.dispatcher.last_server


class LeastRequests(Baseline):
    """The server with the fewest attempts of this node's own; among equals one at random."""

    def choice(self) -> int:
        """Return the one with the fewest."""
        dispatcher, ready = self.dispatcher, self.ready()
        if not ready:
            return -1
        least = min(len(dispatcher.own_attempts[server]) for server in ready)
        equal = [server for server in ready if len(dispatcher.own_attempts[server]) == least]
        return equal[int(dispatcher.random() * len(equal))]


class TwoChoices(Baseline):
    """Two at random are really probed, and the one with the smaller count by its report is picked."""

    def pick(self) -> None:
        """Ask two at random, then send."""
        ready = self.ready()
        chosen: list[int] = []
        while ready and len(chosen) < 2:
            chosen.append(ready.pop(int(self.dispatcher.random() * len(ready))))
        if not chosen:
            self.enqueue()
        else:
            self.probe(chosen, self.compare)

    def compare(self) -> None:
        """Send to the one with the smaller count."""
        dispatcher = self.dispatcher
        good = [
            server
            for server in self.probed_servers
            if dispatcher.is_usable(server) and self.is_eligible(server)
        ]
        if good:
            self.send(min(good, key=lambda server: (dispatcher.count(server), server)))
        else:
            self.enqueue()


def maker(state_type: type[Baseline]) -> Callable[[], Reducer]:
    """Return a type of reducer that places requests by a baseline."""
    dispatcher = type(
        "Baseline" + state_type.__name__, (BaselineDispatcher,), {"request_state_type": state_type}
    )
    return type(state_type.__name__ + "Core", (Reducer,), {"dispatcher_type": dispatcher})


POLICIES: dict[str, Callable[[], Reducer]] = {
    "marlseam": Reducer,
    "random (baseline)": maker(AtRandom),
    "round robin (baseline)": maker(RoundRobin),
    "least requests (baseline)": maker(LeastRequests),
    "two choices (baseline)": maker(TwoChoices),
}
