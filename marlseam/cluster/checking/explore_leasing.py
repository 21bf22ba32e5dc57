"""Explores every interleaving of quota leasing in a small system: three members, one of which owns the limit.

A message that was sent may arrive at any time, any number of times or never. Time advances in steps, of which
a lease lasts `LEASE_STEPS`. A violation is a state in which members may use, or do use, more than the limit
in total. The names of steps determine the order of random walks.
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
    QuotaLeasing,
    QuotaState,
)

NAMES = ("a", "b", "c")
OWNER = "a"  # the member that owns the limit at the start
LENDERS = ("a", "b")  # members from which others request leases
LEASE_STEPS, MAX_TIME_STEPS = 2, 6
LIMIT = 1.0
MAX_STATES = 5_000_000


class SentMessage(NamedTuple):
    """A message that was sent, with its sender and receiver."""

    sender: str
    to: str
    message: LeaseMessage


class State(NamedTuple):
    """The state of all members and of the network.

    Attributes:
        now: the time, in steps.
        members: the quota state of each member, in the order of `NAMES`.
        disks: the recorded granted leases of each member, in the order of `NAMES`.
        sent: all messages sent so far, each of which may arrive again.
        crashes: number of processes that crashed so far.
        generations: number of processes started so far.
    """

    now: int
    members: tuple[QuotaState, ...]
    disks: tuple[tuple[GrantedLease, ...], ...]
    sent: frozenset[SentMessage] = frozenset()
    crashes: int = 0
    generations: int = 3


Step = tuple[str, State]


class Rules(QuotaLeasing):
    """The lease rules with time in steps; tests override methods to plant defects."""

    max_crashes = 1

    def __init__(self) -> None:
        super().__init__(LEASE_STEPS, min_lease=LIMIT, max_share_of_free=1.0)

    def lender_lease_ms(self) -> float:
        """Return the duration of a lender's lease, in steps; without drift, which other tests cover."""
        return self.lease_ms

    def borrower_lease_ms(self) -> float:
        """Return the duration of a borrower's lease, in steps."""
        return self.lease_ms

    def may_send_before_durable(self) -> bool:
        """Return whether grants may be sent before they are recorded; True is a planted defect."""
        return False


class MemberSteps:
    """The steps that one member can take in a state.

    Attributes:
        state: the state of the whole system.
        rules: the lease rules.
        index, name: index and name of the member.
        quota: the quota state of the member.
    """

    def __init__(self, state: State, rules: Rules, index: int) -> None:
        self.state, self.rules = state, rules
        self.index, self.name = index, NAMES[index]
        self.quota = state.members[index]
        self.now = state.now

    def all(self) -> Iterator[Step]:
        """Yield each step as its name and the next state."""
        yield from self.use()
        if self.name != OWNER:
            yield from self.borrow()
        yield from self.persist()
        for sent in self.state.sent:
            if sent.to == self.name:
                yield from self.receive(sent)
        yield from self.restart()

    def after(
        self, quota: QuotaState, *sent: SentMessage, disk: tuple[GrantedLease, ...] | None = None
    ) -> State:
        """Return the state with a new quota state of the member, sent messages, and a new disk if given."""
        index, state = self.index, self.state
        members = (*state.members[:index], quota, *state.members[index + 1 :])
        disks = state.disks if disk is None else (*state.disks[:index], disk, *state.disks[index + 1 :])
        return state._replace(members=members, disks=disks, sent=state.sent | set(sent))

    def message(self, receiver: str, message: LeaseMessage) -> SentMessage:
        """Return a message from this member to another."""
        return SentMessage(self.name, receiver, message)

    def use(self) -> Iterator[Step]:
        """Yield the steps to use all usable quota, and to use none."""
        usable = self.rules.usable(self.quota, self.now)
        if self.quota.used < usable:
            yield f"{self.name} uses", self.after(self.quota._replace(used=usable))
        if self.quota.used:
            yield f"{self.name} rests", self.after(self.quota._replace(used=0.0))

    def borrow(self) -> Iterator[Step]:
        """Yield the steps to request leases and renewals, and to return leases."""
        has_pending = bool(self.quota.pending_requests)
        for lender in LENDERS:
            if lender != self.name and not has_pending:
                quota, request = self.rules.request(self.quota, self.now, lender, LIMIT)
                yield f"{self.name} asks {lender}", self.after(quota, self.message(lender, request))
        for lease in self.quota.held:
            if not has_pending:
                quota, request = self.rules.request(self.quota, self.now, lease.lender, LIMIT, lease.lease_id)
                yield f"{self.name} asks again", self.after(quota, self.message(lease.lender, request))
            quota, returned = self.rules.return_lease(self.quota, self.now, lease)
            if returned is not None:
                yield f"{self.name} gives back", self.after(quota, self.message(lease.lender, returned))

    def persist(self) -> Iterator[Step]:
        """Yield the step in which grants are recorded and sent; with a planted defect also only sent."""
        if not self.quota.unsent_grants:
            return
        quota, grants = self.rules.send_durable(self.quota, self.now)
        sent = [self.message(borrower, grant) for borrower, grant in grants]
        recorded = self.state.disks[self.index]
        disk = (*recorded, *(lease for lease in quota.granted if lease not in recorded))
        yield f"{self.name} has it on record", self.after(quota, *sent, disk=disk)
        if self.rules.may_send_before_durable():
            yield f"{self.name} says it first", self.after(quota, *sent)

    def receive(self, sent: SentMessage) -> Iterator[Step]:
        """Yield the step in which the member receives a message, if that has any effect."""
        message, sender = sent.message, sent.sender
        answers: list[SentMessage] = []
        if isinstance(message, LeaseRequest):
            verb = "borrow"
            quota, grant = self.rules.handle_request(self.quota, self.now, sender, message)
            if grant is not None and grant.amount:
                answers.append(self.message(sender, grant))
        elif isinstance(message, LeaseGrant):
            verb = "lend"
            quota, returned = self.rules.handle_grant(self.quota, self.now, sender, message)
            if returned is not None:
                answers.append(self.message(sender, returned))
        else:
            verb = "give"
            quota = self.rules.handle_return(self.quota, sender, message)
        if quota != self.quota or answers:
            yield f"{self.name} hears {sender} {verb}", self.after(quota, *answers)

    def restart(self) -> Iterator[Step]:
        """Yield the restarts of the member, with and without the record of its grants."""
        state = self.state
        if state.crashes >= self.rules.max_crashes:
            return
        for recorded, how in ((state.disks[self.index], "restarts"), (None, "restarts without its memory")):
            quota = self.rules.restarted(self.quota.share, state.generations, self.now, recorded)
            yield (
                f"{self.name} {how}",
                self.after(quota)._replace(crashes=state.crashes + 1, generations=state.generations + 1),
            )


def initial_state() -> State:
    """Return the state before any message was sent, in which `OWNER` owns the limit."""
    members = tuple(QuotaState(LIMIT if name == OWNER else 0.0, i) for i, name in enumerate(NAMES))
    return State(0, members, ((),) * len(NAMES))


def is_over_limit(state: State, rules: Rules) -> bool:
    """Return whether members may use, or do use, more than the limit in total."""
    return sum(max(rules.usable(quota, state.now), quota.used) for quota in state.members) > LIMIT


def steps(state: State, rules: Rules) -> Iterator[Step]:
    """Yield each next step as its name and the next state."""
    if state.now < MAX_TIME_STEPS:
        # A member stops using expired quota at once, as the reducer checks its quota before each action.
        members = tuple(
            quota._replace(used=min(quota.used, rules.usable(quota, state.now + 1)))
            for quota in state.members
        )
        yield "time goes on", state._replace(now=state.now + 1, members=members)
    for index in range(len(NAMES)):
        yield from MemberSteps(state, rules, index).all()


def explore(
    depth: int,
    rules: Rules | None = None,
    max_states: int = MAX_STATES,
    report: Callable[[int, int], None] | None = None,
) -> Explored:
    """Visit the states up to a depth, breadth-first."""
    rules = rules or Rules()
    return search.explore(
        initial_state(),
        lambda state: steps(state, rules),
        lambda state: is_over_limit(state, rules),
        depth,
        max_states,
        report,
    )


def random_walks(walks: int, length: int, rules: Rules, seed: int = 1) -> list[str]:
    """Take random walks; return the path to a state over the limit, or []."""
    return search.random_walks(
        initial_state(),
        lambda state: steps(state, rules),
        lambda state: is_over_limit(state, rules),
        walks,
        length,
        seed,
    )
