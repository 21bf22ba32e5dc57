"""Quota leasing: never over the limit, in every interleaving of a small system and with drifting clocks."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlseam.cluster.checking import quota_schedules
from marlseam.cluster.checking.explore_leasing import Rules, explore, random_walks
from marlseam.cluster.quota.leasing import (
    CLOCK_DRIFT,
    GrantedLease,
    HeldLease,
    LeaseGrant,
    LeaseRequest,
    LeaseReturn,
    QuotaLeasing,
    QuotaState,
    SerialNumber,
    Transition,
    find_request,
)


def test_no_interleaving_of_eight_steps_exceeds_the_limit():
    explored = explore(8)
    assert explored.path == []
    assert explored.depth == 8
    assert explored.states > 20000


def test_long_random_walks_do_not_exceed_the_limit():
    assert random_walks(400, 30, Rules()) == []


class ReusesRequestIds(Rules):
    """Planted defect: a restarted process reuses the request ids of the previous one."""

    def request(self, state, now_ms, lender, amount, renewed_lease_id=None):
        without_generation = state._replace(generation=0)
        after, request = super().request(without_generation, now_ms, lender, amount, renewed_lease_id)
        return Transition(after._replace(generation=state.generation), request)


class CountsFromTheGrant(Rules):
    """Planted defect: a borrower's lease counts from when the grant arrived."""

    def handle_grant(self, state, now_ms, sender, grant):
        pending = tuple(request._replace(sent_ms=now_ms) for request in state.pending_requests)
        return super().handle_grant(state._replace(pending_requests=pending), now_ms, sender, grant)


class SendsBeforeDurable(Rules):
    """Planted defect: a grant is sent before it is recorded."""

    def may_send_before_durable(self):
        return True


class UsesItsShareAtOnce(Rules):
    """Planted defect: a process that lost its record uses its share at once."""

    def restarted(self, share, generation, now_ms, recorded):
        state = super().restarted(share, generation, now_ms, recorded)
        return state._replace(share_withheld_until_ms=0.0)


class LendsWhatIsInUse(Rules):
    """Planted defect: quota that is in use is lent."""

    def lendable(self, state, now_ms):
        return self.unlent_share(state, now_ms)


class LendsTwice(Rules):
    """Planted defect: lent quota still counts as part of the lender's unlent share."""

    def unlent_share(self, state, now_ms):
        return state.share if now_ms >= state.share_withheld_until_ms else 0.0


class LendsWhatIsBorrowed(Rules):
    """Planted defect: borrowed quota is lent to a third member, on a new full lease."""

    def lendable(self, state, now_ms):
        return max(0.0, self.usable(state, now_ms) - state.used)

    def send_durable(self, state, now_ms):
        lease_ids = {unsent.grant.lease_id for unsent in state.unsent_grants}
        after, grants = super().send_durable(state, now_ms)
        lent = sum(lease.amount for lease in after.granted if lease.lease_id in lease_ids)
        return Transition(after._replace(held=() if lent > state.share else after.held), grants)


class RenewsWhatWasReturned(Rules):
    """Planted defect: the renewal of a lease that was returned restores that lease."""

    def handle_grant(self, state, now_ms, sender, grant):
        pending = find_request(state, sender, grant.request_id)
        if pending is None or pending.renewed_lease_id is None or not grant.amount:
            return super().handle_grant(state, now_ms, sender, grant)
        others = tuple(lease for lease in state.held if lease.lease_id != grant.lease_id)
        expires_ms = pending.sent_ms + self.borrower_lease_ms()
        renewed = HeldLease(sender, grant.lease_id, grant.amount, expires_ms)
        return Transition(state._replace(held=(*others, renewed), pending_requests=()), None)


class TakesAnyReturn(Rules):
    """Planted defect: the return of one lease ends all leases granted to that borrower."""

    def handle_return(self, state, sender, _returned):
        return state._replace(granted=tuple(lease for lease in state.granted if lease.borrower != sender))


class LenderLeaseTooShort(Rules):
    """Planted defect: the lender's lease is shorter than the borrower's."""

    def lender_lease_ms(self):
        return self.lease_ms - 1


class HeldLeaseNeverExpires(Rules):
    """Planted defect: a borrower uses borrowed quota after the lease has expired."""

    def usable(self, state, now_ms):
        return self.unlent_share(state, now_ms) + sum(lease.amount for lease in state.held)


class TakesAGrantTwice(Rules):
    """Planted defect: a grant that arrives twice counts twice."""

    def handle_grant(self, state, now_ms, sender, grant):
        after, returned = super().handle_grant(state, now_ms, sender, grant)
        return Transition(after._replace(pending_requests=state.pending_requests), returned)


@pytest.mark.parametrize(
    "rules",
    [
        ReusesRequestIds,
        CountsFromTheGrant,
        SendsBeforeDurable,
        UsesItsShareAtOnce,
        LendsWhatIsInUse,
        LendsTwice,
        LendsWhatIsBorrowed,
        RenewsWhatWasReturned,
        TakesAnyReturn,
        LenderLeaseTooShort,
        HeldLeaseNeverExpires,
        TakesAGrantTwice,
    ],
)
def test_a_planted_defect_is_detected(rules):
    assert explore(8, rules()).path or random_walks(6000, 24, rules())


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "advance_time",
                "borrow",
                "deliver",
                "renew",
                "return_lease",
                "make_durable",
                "restart",
                "restart_without_record",
                "use",
            ]
        ),
        st.integers(0, 2),
        st.integers(0, 30),
    ),
    max_size=80,
)


class Members:
    """Three members with shares of 4, 2 and 0 and separate clocks; messages are late, repeated or lost.

    Each step is taken by one member; its number selects an amount, another member, a lease or a message.

    Attributes:
        rules: the lease rules.
        rates: the rate of each member's clock, relative to true time.
        real_ms: the true time in ms.
        generations: number of processes started so far.
        states: the quota state of each member.
        disks: the recorded granted leases of each member.
        sent: all messages sent so far, as (sender, receiver, message).

    """

    def __init__(self, rates):
        self.rules, self.rates = QuotaLeasing(1000.0), rates
        self.real_ms, self.generations = 0.0, 3
        self.states = [QuotaState(share, generation) for generation, share in enumerate((4.0, 2.0, 0.0))]
        self.disks = [(), (), ()]
        self.sent = []

    def local_ms(self, member):
        return self.real_ms * self.rates[member]

    def advance_time(self, _member, number):
        self.real_ms += 60.0 * number

    def borrow(self, member, number):
        lender = (member + 1 + number % 2) % 3
        self.request(member, str(lender), 1.0 + number % 4)

    def renew(self, member, number):
        if held := self.states[member].held:
            lease = held[number % len(held)]
            self.request(member, lease.lender, 1.0, lease.lease_id)

    def request(self, member, lender, amount, renewed_lease_id=None):
        self.states[member], request = self.rules.request(
            self.states[member], self.local_ms(member), lender, amount, renewed_lease_id
        )
        self.sent.append((member, int(lender), request))

    def return_lease(self, member, number):
        if held := self.states[member].held:
            lease = held[number % len(held)]
            state, returned = self.rules.return_lease(self.states[member], self.local_ms(member), lease)
            self.answer(member, int(lease.lender), state, returned)

    def make_durable(self, member, _number):
        if self.states[member].unsent_grants:
            state, grants = self.rules.send_durable(self.states[member], self.local_ms(member))
            self.states[member], self.disks[member] = state, state.granted
            self.sent += [(member, int(borrower), grant) for borrower, grant in grants]

    def restart(self, member, _number):
        self.start_process(member, self.disks[member])

    def restart_without_record(self, member, _number):
        self.start_process(member, None)

    def start_process(self, member, recorded):
        self.generations += 1
        share, now_ms = self.states[member].share, self.local_ms(member)
        self.states[member] = self.rules.restarted(share, self.generations, now_ms, recorded)

    def use(self, member, number):
        state = self.states[member]
        used = self.rules.usable(state, self.local_ms(member)) * number / 30.0
        self.states[member] = state._replace(used=used)

    def deliver(self, _member, number):
        if not self.sent:
            return
        sender, receiver, message = self.sent[number % len(self.sent)]
        state, now_ms = self.states[receiver], self.local_ms(receiver)
        if isinstance(message, LeaseRequest):
            self.answer(receiver, sender, *self.rules.handle_request(state, now_ms, str(sender), message))
        elif isinstance(message, LeaseGrant):
            self.answer(receiver, sender, *self.rules.handle_grant(state, now_ms, str(sender), message))
        else:
            self.states[receiver] = self.rules.handle_return(state, str(sender), message)

    def answer(self, member, receiver, state, message):
        self.states[member] = state
        if message is not None:
            self.sent.append((member, receiver, message))

    def expire(self):
        """Drop expired leases, and reduce the use of each member to its usable quota."""
        for member, state in enumerate(self.states):
            now_ms = self.local_ms(member)
            remaining = self.rules.without_expired(state, now_ms)
            used = min(remaining.used, self.rules.usable(remaining, now_ms))
            self.states[member] = remaining._replace(used=used)

    def usable(self):
        """Return the total quota that all members may use."""
        return sum(
            self.rules.usable(state, self.local_ms(member)) for member, state in enumerate(self.states)
        )


@given(STEPS, st.tuples(*[st.floats(1.0 - CLOCK_DRIFT, 1.0 + CLOCK_DRIFT)] * 3))
def test_members_never_exceed_the_limit_with_clocks_within_the_drift(steps, rates):
    members = Members(rates)
    for step, member, number in steps:
        getattr(members, step)(member, number)
        members.expire()
        assert members.usable() <= 6.0 + 1e-6


@pytest.mark.parametrize("seed", [0, 1, 2, 3, 4, 5])
def test_no_schedule_exceeds_the_limit_and_quota_follows_the_demand(seed):
    faults = quota_schedules.schedule(7, seed) if seed else []
    assert quota_schedules.play(7, seed, faults).violations == []


def test_a_member_with_high_demand_borrows_what_others_do_not_use_in_a_few_periods():
    # With fixed shares the member could use only one of the five shares of its demand.
    simulation = quota_schedules.QuotaSimulation(
        7, 1, [], 70.0, quota_schedules.demand_on_one(70.0, 7, "n3", 5.0)
    )
    simulation.run(6000.0)
    sampled_ms, used, demanded = simulation.samples[-1]
    assert used >= 0.95 * demanded == 0.95 * 56.0
    assert sampled_ms < 6001.0
    assert simulation.max_usable <= 70.0 + 1e-9


def test_a_partitioned_member_keeps_its_own_share_and_no_more():
    simulation = quota_schedules.QuotaSimulation(
        7, 1, [], 70.0, quota_schedules.demand_on_one(70.0, 7, "n3", 5.0)
    )
    simulation.run(6000.0)
    simulation.cuts += [("n3", "", 1e9), ("", "n3", 1e9)]
    simulation.run(6000.0 + 2.0 * quota_schedules.LEASE_PERIODS * 1000.0)
    process = simulation.processes["n3"]
    assert process.machine.usable(simulation.local(process)) == 10.0
    assert simulation.max_usable <= 70.0 + 1e-9


@pytest.mark.parametrize(
    "rules",
    [
        type("LenderLeaseEndsEarly", (QuotaLeasing,), {"lender_lease_ms": lambda self: 0.5 * self.lease_ms}),
        type(
            "BorrowerLeaseEndsLate", (QuotaLeasing,), {"borrower_lease_ms": lambda self: 2.0 * self.lease_ms}
        ),
    ],
)
def test_a_wrong_lease_duration_on_one_side_exceeds_the_limit(rules):
    # The borrower is partitioned, so its lender uses the quota again once the lender's lease has ended.
    simulation = quota_schedules.QuotaSimulation(
        7, 1, [], 70.0, quota_schedules.demand_on_one(70.0, 7, "n3", 5.0), rules=rules
    )
    simulation.run(6000.0)
    simulation.cuts += [("n3", "", 1e9), ("", "n3", 1e9)]
    simulation.run(40000.0)
    assert simulation.max_usable > 70.0 + 1.0


def test_a_grant_is_at_least_the_minimum_and_at_most_a_share_of_the_free_quota():
    rules = QuotaLeasing(1000.0, min_lease=1.0)
    request = LeaseRequest(SerialNumber(2, 1), 9.0)
    state, grant = rules.handle_request(QuotaState(10.0, 1, used=4.0), 0.0, "b", request)
    assert grant is None
    assert state.unsent_grants[0].grant.amount == 3.0

    state, grants = rules.send_durable(state, 5.0)
    expires_ms = 5.0 + rules.lender_lease_ms()
    assert state.granted == (GrantedLease(SerialNumber(1, 1), "b", 3.0, expires_ms, SerialNumber(2, 1)),)
    assert grants[0].borrower == "b"

    # A duplicate request is granted once.
    assert rules.handle_request(state, 6.0, "b", request) == (state, grants[0].grant)

    _, grant = rules.handle_request(QuotaState(1.0, 1), 0.0, "b", request)
    assert grant.amount == 0.0


def test_a_lease_in_use_is_not_returned_and_a_late_grant_is_returned_at_once():
    rules = QuotaLeasing(1000.0)
    lease = HeldLease("a", SerialNumber(1, 1), 2.0, 500.0)
    state, returned = rules.return_lease(QuotaState(1.0, 2, used=2.0, held=(lease,)), 0.0, lease)
    assert returned is None
    assert state.held == (lease,)

    state, request = rules.request(QuotaState(0.0, 2), 0.0, "a", 1.0)
    late = LeaseGrant(request.request_id, SerialNumber(1, 9), 1.0)
    state, returned = rules.handle_grant(state, 2000.0, "a", late)
    assert returned == LeaseReturn(SerialNumber(1, 9))
    assert not state.held


def test_a_smaller_share_applies_at_once_and_a_larger_one_once_all_members_have_applied_it():
    rules = QuotaLeasing(1000.0)
    state = QuotaState(4.0, 1)
    assert rules.with_share(state, 6.0, is_on_all=False).share == 4.0
    assert rules.with_share(state, 6.0, is_on_all=True).share == 6.0
    assert rules.with_share(state, 1.0, is_on_all=False).share == 1.0
