"""Searches of the states that a small system can reach: all of them, nearest first, or random walks; pure.

A state is hashable; `steps` yields each next state with the step's name, and `is_violation` tells whether a
state must not be reached.
"""

from collections.abc import Callable, Hashable, Iterator
from typing import NamedTuple, TypeVar

from marlseam.random_source import number

State = TypeVar("State", bound=Hashable)
Steps = Callable[[State], Iterator[tuple[str, State]]]
Predecessors = dict[State, tuple[State, str] | None]
Progress = Callable[[int, int], None]


class Explored(NamedTuple):
    """What a search found.

    Attributes:
        states: how many different states were reached.
        depth: in how many steps all reachable states were looked at.
        path: the names of the steps to a violation, empty if there is none.
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
    """Look at each state up to a depth, nearest first, until a violation or more than `max_states` states.

    `report` is called after each level with its depth and the count of states.
    """
    predecessors: Predecessors[State] = {first: None}
    layer = [first]
    for level in range(1, depth + 1):
        following = []
        for state in layer:
            for name, reached in steps(state):
                if reached in predecessors:
                    continue
                predecessors[reached] = state, name
                if is_violation(reached):
                    return Explored(len(predecessors), level, path_to(predecessors, reached))
                following.append(reached)
            if len(predecessors) > max_states:
                return Explored(len(predecessors), level - 1, [])
        layer = following
        if report is not None:
            report(level, len(predecessors))
        if not layer:
            return Explored(len(predecessors), level, [])
    return Explored(len(predecessors), depth, [])


def path_to(predecessors: Predecessors[State], state: State) -> list[str]:
    """Return the steps that lead to a state."""
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
    """Walk at random, which leads further than `explore`; return the path to a violation, or none."""
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
