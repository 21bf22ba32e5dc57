"""Baselines to stand beside marlseam in the same world. Never reachable from a serving node.

Each keeps the module's rules (what may be sent where, drains, cold budgets, final answers) and places work by
a textbook policy alone: no threshold, no promise at home, no probes but where the policy itself asks. What
finds no executor waits in line as in the module, and is given up at its hard limit.
"""

from collections.abc import Callable

from marlseam.core import Reducer
from marlseam.decisions.dispatcher import Dispatcher, RequestState


class Baseline(RequestState):
    """A work unit placed by a baseline."""

    node: "BaselineDispatcher"

    def place(self) -> None:
        """Send to the policy's choice among usable executors that fit."""
        self.lined = False
        if not self.may_send():
            self.again()
        else:
            self.pick()

    def pick(self) -> None:
        """Send to the policy's choice, or wait in line."""
        e = self.choice()
        if e < 0:
            self.hold()
        else:
            self.send(e)

    def choice(self) -> int:
        """Return the executor that the policy chooses, or -1."""
        raise NotImplementedError

    def ready(self) -> list[int]:
        """Return the usable executors that fit."""
        node = self.node
        return [e for e in (*node.near, *node.far) if node.usable(e) and self.fits(e)]


class BaselineDispatcher(Dispatcher):
    """A node that places its work by one of the baselines."""

    turn = -1


class AtRandom(Baseline):
    """Any usable executor, at random."""

    def choice(self) -> int:
        """Return one at random."""
        ready = self.ready()
        return ready[int(self.node.chance() * len(ready))] if ready else -1


class RoundRobin(Baseline):
    """The usable executors in turn."""

    def choice(self) -> int:
        """Return the next one."""
        ready = sorted(self.ready())
        if not ready:
            return -1
        self.node.turn = next((e for e in ready if e > self.node.turn), ready[0])
        return self.node.turn


class LeastRequests(Baseline):
    """The executor with the fewest allocations of this node's own; among equals one at random."""

    def choice(self) -> int:
        """Return the one with the fewest."""
        node, ready = self.node, self.ready()
        if not ready:
            return -1
        least = min(len(node.own[e]) for e in ready)
        equal = [e for e in ready if len(node.own[e]) == least]
        return equal[int(node.chance() * len(equal))]


class TwoChoices(Baseline):
    """Two at random are really probed, and the one with the smaller count by its report is taken."""

    def pick(self) -> None:
        """Ask two at random, then send."""
        ready = self.ready()
        chosen: list[int] = []
        while ready and len(chosen) < 2:
            chosen.append(ready.pop(int(self.node.chance() * len(ready))))
        if not chosen:
            self.hold()
        else:
            self.ask(chosen, self.compare)

    def compare(self) -> None:
        """Send to the one with the smaller count."""
        node = self.node
        good = [e for e in self.asked if node.usable(e) and self.fits(e)]
        if good:
            self.send(min(good, key=lambda e: (node.count(e), e)))
        else:
            self.hold()


def maker(handle: type[Baseline]) -> Callable[[], Reducer]:
    """Return a maker of reducers that place work by a baseline."""
    dispatcher = type("Baseline" + handle.__name__, (BaselineDispatcher,), {"handle": handle})
    return type(handle.__name__ + "Core", (Reducer,), {"decider": dispatcher})


POLICIES: dict[str, Callable[[], Reducer]] = {
    "marlseam": Reducer,
    "random (baseline)": maker(AtRandom),
    "round robin (baseline)": maker(RoundRobin),
    "least requests (baseline)": maker(LeastRequests),
    "two choices (baseline)": maker(TwoChoices),
}
