"""Searches of the reachable states of a small system: breadth-first, or by random walks; pure.

A state is hashable; `steps` yields each next state with the name of the step, and `is_violation` returns
whether a state must not be reached.
"""

from collections.abc import Callable, Hashable, Iterator
from typing import NamedTuple, TypeVar

from marlseam.random_source import number

State = TypeVar("State", bound=Hashable)
Steps = Callable[[State], Iterator[tuple[str, State]]]
Predecessors = dict[State, tuple[State, str] | None]
Progress = Callable[[int, int], None]


class Explored(NamedTuple):
    """The result of a breadth-first search.

    Attributes:
        states: number of different states reached.
        depth: number of steps within which all reachable states were visited; with a violation, its number of
            steps.
        path: names of the steps to a violation, empty if none was found.
    """

    states: int
    depth: int
    path: list[str]


def explore(
    first: State,
    steps: Steps[State],
    is_violation: Callable[[State], bool],
    depth: int,
    max_states: int,
    report: Progress | None = None,
) -> Explored:
    """Visit the states up to a depth, breadth-first, until a violation or more than `max_states` states.

    `report` is called after each level with its depth and the number of states.
    """
    predecessors: Predecessors[State] = {first: None}
    frontier = [first]
    for level in range(1, depth + 1):
        next_frontier = []
        for state in frontier:
            for name, reached in steps(state):
                if reached in predecessors:
                    continue
                predecessors[reached] = state, name
                if is_violation(reached):
                    return Explored(len(predecessors), level, path_to(predecessors, reached))
                next_frontier.append(reached)
            if len(predecessors) > max_states:
                return Explored(len(predecessors), level - 1, [])
        frontier = next_frontier
        if report is not None:
            report(level, len(predecessors))
        if not frontier:
            return Explored(len(predecessors), level, [])
    return Explored(len(predecessors), depth, [])


def path_to(predecessors: Predecessors[State], state: State) -> list[str]:
    """Return the names of the steps from the first state to a state."""
    path = []
    while (before := predecessors[state]) is not None:
        state, name = before
        path.append(name)
    return path[::-1]


def random_walks(
    first: State,
    steps: Steps[State],
    is_violation: Callable[[State], bool],
    walks: int,
    length: int,
    seed: int,
) -> list[str]:
    """Take random walks, which reach deeper states than `explore`; return the path to a violation, or [].

    The choices depend on `seed` and on the order of the steps' names.
    """
    for walk in range(walks):
        state = first
        path: list[str] = []
        for at in range(length):
            following = sorted(steps(state), key=lambda step: step[0])
            if not following:
                break
            name, state = following[number(b"%d:%d:%d" % (seed, walk, at)) % len(following)]
            path.append(name)
            if is_violation(state):
                return path
    return []
