"""Every interleaving of quota leasing in a small size: three members, and one unit of quota that one owns.

A message that was sent may arrive at any time, any number of times or never. Time goes in steps; a lease is
some of them. A violation is a state in which members may use, or do use, more than the limit together.
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
OWNER = "a"  # of the limit at the start
LENDERS = ("a", "b")  # whom others ask
LEASE_STEPS, MAX_TIME_STEPS = 2, 6
LIMIT = 1.0
MAX_STATES = 5_000_000


class SentMessage(NamedTuple):
    """A message on its way."""

    sender: str
    to: str
    message: LeaseMessage


class State(NamedTuple):
    """The state of all members and of the network.

    Attributes:
        now: the time, in steps.
        members: what each member holds, in the order of `NAMES`.
        disks: each member's granted leases on record.
        sent: all messages sent so far: each may arrive again.
        crashes: how many processes have crashed.
        generations: how many processes were started.
    """

    now: int
    members: tuple[QuotaState, ...]
    disks: tuple[tuple[GrantedLease, ...], ...]
    sent: frozenset[SentMessage] = frozenset()
    crashes: int = 0
    generations: int = 3


Step = tuple[str, State]


class Rules(QuotaLeasing):
    """The rules as they are, in steps of time; tests override some to plant defects."""

    max_crashes = 1

    def __init__(self) -> None:
        super().__init__(LEASE_STEPS, min_lease=LIMIT, max_share_of_free=1.0)

    def lender_lease_ms(self) -> float:
        """Return a lender's lease: all clocks are one here, drift is left to other tests."""
        return self.lease_ms

    def borrower_lease_ms(self) -> float:
        """Return a borrower's lease."""
        return self.lease_ms

    def may_send_before_durable(self) -> bool:
        """Return whether grants may be sent before they are on record."""
        return False


class MemberSteps:
    """The steps that one member can take in a state.

    Attributes:
        state: all members' state.
        rules: the rules that the member acts by.
        index, name: of the member.
        quota: what the member holds.
    """

    def __init__(self, state: State, rules: Rules, index: int) -> None:
        self.state, self.rules = state, rules
        self.index, self.name = index, NAMES[index]
        self.quota = state.members[index]
        self.now = state.now

    def all(self) -> Iterator[Step]:
        """Yield each step with its name."""
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
        """Return the state once the member holds something else, has sent messages and written its disk."""
        index, state = self.index, self.state
        members = (*state.members[:index], quota, *state.members[index + 1 :])
        disks = state.disks if disk is None else (*state.disks[:index], disk, *state.disks[index + 1 :])
        return state._replace(members=members, disks=disks, sent=state.sent | set(sent))

    def message(self, receiver: str, message: LeaseMessage) -> SentMessage:
        """Return a message that this member sends."""
        return SentMessage(self.name, receiver, message)

    def use(self) -> Iterator[Step]:
        """Yield the steps to use all that may be used, and nothing."""
        usable = self.rules.usable(self.quota, self.now)
        if self.quota.used < usable:
            yield f"{self.name} uses", self.after(self.quota._replace(used=usable))
        if self.quota.used:
            yield f"{self.name} rests", self.after(self.quota._replace(used=0.0))

    def borrow(self) -> Iterator[Step]:
        """Yield the requests for leases, renewals and returns."""
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
        """Yield that grants are durable and sent; by a planted defect also that they are sent before."""
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
        """Yield what comes of a message, if anything does."""
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
        """Yield the restarts of the member, with its record and without."""
        state = self.state
        if state.crashes >= self.rules.max_crashes:
            return
        for recorded, how in ((state.disks[self.index], "restarts"), (None, "restarts without its memory")):
            quota = self.rules.restarted(self.quota.share, state.generations, self.now, recorded)
            yield (
                f"{self.name} {how}",
                self.after(quota)._replace(crashes=state.crashes + 1, generations=state.generations + 1),
            )


def beginning() -> State:
    """Return the state in which no message was sent: the first member owns the limit."""
    members = tuple(QuotaState(LIMIT if name == OWNER else 0.0, i) for i, name in enumerate(NAMES))
    return State(0, members, ((),) * len(NAMES))


def is_over_limit(state: State, rules: Rules) -> bool:
    """Return whether members may use, or use, more than the limit together."""
    return sum(max(rules.usable(quota, state.now), quota.used) for quota in state.members) > LIMIT


def steps(state: State, rules: Rules) -> Iterator[Step]:
    """Yield each next step with its name."""
    if state.now < MAX_TIME_STEPS:
        # Whoever uses what it may no more stops: the reducer looks before each act.
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
    """Look at each state up to a depth, nearest first."""
    rules = rules or Rules()
    return search.explore(
        beginning(),
        lambda state: steps(state, rules),
        lambda state: is_over_limit(state, rules),
        depth,
        max_states,
        report,
    )


def random_walks(walks: int, length: int, rules: Rules, seed: int = 1) -> list[str]:
    """Walk at random; return the path to a state over the limit, or none."""
    return search.random_walks(
        beginning(),
        lambda state: steps(state, rules),
        lambda state: is_over_limit(state, rules),
        walks,
        length,
        seed,
    )
