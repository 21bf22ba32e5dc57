"""Every interleaving of lending in a small size: three members, one unit of the limit, which one of them
owns.

What was said may come at any time, any number of times or never. Time goes in steps; a lease is some of them.
Broken is a state in which members may use, or do use, more than the limit together.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from marlseam.cluster.checking import search
from marlseam.cluster.checking.search import Explored
from marlseam.cluster.quota.leasing import (
    GrantedLease,
    LeaseGrant,
    LeaseMessage,
    LeaseRequest,
    LeaseReturn,
    QuotaLeasing,
    QuotaState,
)

NAMES = ("a", "b", "c")
LEASE, TIME_MOST = 2, 6  # in steps of time
LIMIT = 1.0


class Said(NamedTuple):
    """A message on its way."""

    by: str
    to: str
    message: LeaseMessage


class State(NamedTuple):
    """All of it."""

    now: int
    members: tuple[QuotaState, ...]
    disks: tuple[tuple[GrantedLease, ...], ...]  # loans on record
    said: frozenset[Said] = frozenset()
    crashes: int = 0
    lives: int = 3


class Rules(QuotaLeasing):
    """The rules as they are; a planted defect overrides some."""

    crashes = 1

    def __init__(self) -> None:
        super().__init__(LEASE, least=LIMIT, generous=1.0)

    def lent_ms(self) -> float:
        """Return a lender's lease: clocks are one here, drift is left to other tests."""
        return self.lease_ms

    def borrowed_ms(self) -> float:
        """Return a borrower's lease."""
        return self.lease_ms

    def said_before_durable(self) -> bool:
        """Return whether grants are said before they are on record."""
        return False


def beginning() -> State:
    """Return the state in which nothing has been said: the first member owns the limit."""
    members = tuple(QuotaState(LIMIT if name == "a" else 0.0, i) for i, name in enumerate(NAMES))
    return State(0, members, ((),) * len(NAMES))


def over(state: State, rules: Rules) -> bool:
    """Return whether members may use, or use, more than the limit together."""
    return sum(max(rules.usable(held, state.now), held.used) for held in state.members) > LIMIT


def steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield each next step with its name."""
    now = state.now
    if now < TIME_MOST:
        # Whoever uses what it may no more stops: the reducer looks before each act.
        members = tuple(
            held._replace(used=min(held.used, rules.usable(held, now + 1))) for held in state.members
        )
        yield "time goes on", state._replace(now=now + 1, members=members)
    for i, name in enumerate(NAMES):
        held = state.members[i]

        def put(
            new: QuotaState, *said: Said, disk: tuple[GrantedLease, ...] | None = None, i: int = i
        ) -> State:
            members = (*state.members[:i], new, *state.members[i + 1 :])
            disks = state.disks if disk is None else (*state.disks[:i], disk, *state.disks[i + 1 :])
            return state._replace(members=members, disks=disks, said=state.said | set(said))

        usable = rules.usable(held, now)
        if held.used < usable:
            yield f"{name} uses", put(held._replace(used=usable))
        if held.used:
            yield f"{name} rests", put(held._replace(used=0.0))
        if name != "a":
            for to in ("a", "b"):
                if to != name and len(held.asked) < 1:
                    new, borrow = rules.ask(held, now, to, LIMIT)
                    yield f"{name} asks {to}", put(new, Said(name, to, borrow))
            for got in held.got:
                if len(held.asked) < 1:
                    new, borrow = rules.ask(held, now, got.lender, LIMIT, got.loan)
                    yield f"{name} asks again", put(new, Said(name, got.lender, borrow))
                new, give = rules.give(held, now, got)
                if give is not None:
                    yield f"{name} gives back", put(new, Said(name, got.lender, give))
        if held.unsaid:
            new, lends = rules.durable(held, now)
            said = [Said(name, to, lend) for to, lend in lends]
            disk = (*state.disks[i], *(row for row in new.lent if row not in state.disks[i]))
            yield f"{name} has it on record", put(new, *said, disk=disk)
            if rules.said_before_durable():
                yield f"{name} says it first", put(new, *said)
        for said in state.said:
            if said.to != name:
                continue
            yield from heard(rules, put, held, now, name, said)
        if state.crashes < rules.crashes:
            for memory, how in ((state.disks[i], "restarts"), (None, "restarts without its memory")):
                new = rules.restarted(held.own, state.lives, now, memory)
                yield f"{name} {how}", put(new)._replace(crashes=state.crashes + 1, lives=state.lives + 1)


def heard(
    rules: Rules, put: Callable[..., State], held: QuotaState, now: int, name: str, said: Said
) -> Iterator[tuple[str, State]]:
    """Yield what comes of hearing a message."""
    message, back = said.message, said.by
    if type(message) is LeaseRequest:
        new, lend = rules.borrows(held, now, said.by, message)
        answer = [Said(name, back, lend)] if lend is not None and lend.amount else []
        if new != held or answer:
            yield f"{name} hears {back} borrow", put(new, *answer)
    elif type(message) is LeaseGrant:
        new, give = rules.lends(held, now, said.by, message)
        if new != held or give is not None:
            yield f"{name} hears {back} lend", put(new, *([Said(name, back, give)] if give else []))
    elif type(message) is LeaseReturn:
        new = rules.gives(held, said.by, message)
        if new != held:
            yield f"{name} hears {back} give", put(new)


def explore(
    depth: int,
    rules: Rules | None = None,
    states_most: int = 5_000_000,
    tell: Callable[[int, int], None] | None = None,
) -> Explored:
    """Look at each state up to a depth, nearest first."""
    rules = rules or Rules()
    return search.explore(
        beginning(), lambda s: steps(s, rules), lambda s: over(s, rules), depth, states_most, tell
    )


def wander(walks: int, length: int, rules: Rules, seed: int = 1) -> list[str]:
    """Go ways of chance; return one that leads over the limit, or none."""
    return search.wander(
        beginning(), lambda s: steps(s, rules), lambda s: over(s, rules), walks, length, seed
    )
