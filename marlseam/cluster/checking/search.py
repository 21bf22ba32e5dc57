"""Searches of all that can happen in a small size: nearest first, or on ways of chance; pure.

A state is hashable; `steps` yields each next one with the step's name, `broken` says whether one must not be.
"""

from collections.abc import Callable, Hashable, Iterator
from typing import NamedTuple, TypeVar

from marlseam.random_source import number

State = TypeVar("State", bound=Hashable)
Steps = Callable[[State], Iterator[tuple[str, State]]]


class Explored(NamedTuple):
    """How many states there were, to what depth all of them, and a way to a broken one, if there is one."""

    states: int
    depth: int
    way: list[str]


def explore(
    first: State,
    steps: Steps,
    broken: Callable[[State], bool],
    depth: int,
    states_most: int,
    tell: Callable[[int, int], None] | None = None,
) -> Explored:
    """Look at each state up to a depth, nearest first."""
    came: dict[State, tuple[State, str] | None] = {first: None}
    layer = [first]
    for level in range(1, depth + 1):
        following = []
        for state in layer:
            for name, new in steps(state):
                if new in came:
                    continue
                came[new] = state, name
                if broken(new):
                    return Explored(len(came), level, way(came, new))
                following.append(new)
            if len(came) > states_most:
                return Explored(len(came), level - 1, [])
        layer = following
        if tell is not None:
            tell(level, len(came))
        if not layer:
            return Explored(len(came), level, [])
    return Explored(len(came), depth, [])


def way(came: dict[State, tuple[State, str] | None], state: State) -> list[str]:
    """Return the steps that lead to a state."""
    found = []
    while (before := came[state]) is not None:
        state, name = before
        found.append(name)
    return found[::-1]


def wander(
    first: State, steps: Steps, broken: Callable[[State], bool], walks: int, length: int, seed: int
) -> list[str]:
    """Go ways of chance; return one that leads to a broken state, or none: `explore` does not come as far."""
    for walk in range(walks):
        state, gone = first, list[str]()
        for at in range(length):
            following = sorted(steps(state), key=lambda step: step[0])
            if not following:
                break
            name, state = following[number(b"%d:%d:%d" % (seed, walk, at)) % len(following)]
            gone.append(name)
            if broken(state):
                return gone
    return []
