"""Quota leasing: never over the limit, in every interleaving of a small size and under clocks that drift."""

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


def test_no_interleaving_of_few_steps_goes_over():
    found = explore(8)
    assert found.path == []
    assert found.depth == 8
    assert found.states > 20000


def test_long_random_walks_do_not_go_over_either():
    assert random_walks(400, 30, Rules()) == []


class ReusesRequestIds(Rules):
    """Planted: a process that restarts numbers its requests as the one before."""

    def request(self, state, now_ms, lender, amount, renewed_lease_id=None):
        anew = state._replace(generation=0)
        after, request = super().request(anew, now_ms, lender, amount, renewed_lease_id)
        return Transition(after._replace(generation=state.generation), request)


class CountsFromTheGrant(Rules):
    """Planted: a borrower's lease counts from when the grant came."""

    def handle_grant(self, state, now_ms, sender, grant):
        pending = tuple(request._replace(sent_ms=now_ms) for request in state.pending_requests)
        return super().handle_grant(state._replace(pending_requests=pending), now_ms, sender, grant)


class SendsBeforeDurable(Rules):
    """Planted: a grant is sent before it is on record."""

    def may_send_before_durable(self):
        return True


class UsesItsShareAtOnce(Rules):
    """Planted: a process without its record uses its share at once."""

    def restarted(self, share, generation, now_ms, recorded):
        state = super().restarted(share, generation, now_ms, recorded)
        return state._replace(share_withheld_until_ms=0.0)


class LendsWhatIsInUse(Rules):
    """Planted: what is in use is lent."""

    def lendable(self, state, now_ms):
        return self.unlent_share(state, now_ms)


class LendsTwice(Rules):
    """Planted: what is lent is forgotten."""

    def unlent_share(self, state, now_ms):
        return state.share if now_ms >= state.share_withheld_until_ms else 0.0


class LendsWhatIsBorrowed(Rules):
    """Planted: what is borrowed is lent to a third member, for a lease of its own."""

    def lendable(self, state, now_ms):
        return max(0.0, self.usable(state, now_ms) - state.used)

    def send_durable(self, state, now_ms):
        lease_ids = {unsent.grant.lease_id for unsent in state.unsent_grants}
        after, grants = super().send_durable(state, now_ms)
        lent = sum(lease.amount for lease in after.granted if lease.lease_id in lease_ids)
        return Transition(after._replace(held=() if lent > state.share else after.held), grants)


class RenewsWhatWasReturned(Rules):
    """Planted: the renewal of a lease that was returned brings it back."""

    def handle_grant(self, state, now_ms, sender, grant):
        pending = find_request(state, sender, grant.request_id)
        if pending is None or pending.renewed_lease_id is None or not grant.amount:
            return super().handle_grant(state, now_ms, sender, grant)
        others = tuple(lease for lease in state.held if lease.lease_id != grant.lease_id)
        expires_ms = pending.sent_ms + self.borrower_lease_ms()
        renewed = HeldLease(sender, grant.lease_id, grant.amount, expires_ms)
        return Transition(state._replace(held=(*others, renewed), pending_requests=()), None)


class TakesAnyReturn(Rules):
    """Planted: a returned lease counts for all that is lent to that member."""

    def handle_return(self, state, sender, _returned):
        return state._replace(granted=tuple(lease for lease in state.granted if lease.borrower != sender))


class LenderLeaseTooShort(Rules):
    """Planted: the lender's lease is shorter than the borrower's."""

    def lender_lease_ms(self):
        return self.lease_ms - 1


class HeldLeaseNeverExpires(Rules):
    """Planted: a borrower goes on after its lease."""

    def usable(self, state, now_ms):
        return self.unlent_share(state, now_ms) + sum(lease.amount for lease in state.held)


class TakesAGrantTwice(Rules):
    """Planted: a grant that comes twice counts twice."""

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
def test_a_planted_defect_is_found(rules):
    assert explore(8, rules()).path or random_walks(6000, 24, rules())


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["time", "ask", "hear", "again", "give", "durable", "restart", "forget", "use"]),
        st.integers(0, 2),
        st.integers(0, 30),
    ),
    max_size=80,
)


class Members:
    """Three members with shares of 4, 2 and 0, by clocks of their own; messages come late, repeated or never.

    Each step is for one member, and takes a number that says how much, to whom or which.
    """

    def __init__(self, rates):
        self.rules, self.rates = QuotaLeasing(1000.0), rates
        self.real_ms, self.generations = 0.0, 3
        self.states = [QuotaState(share, i) for i, share in enumerate((4.0, 2.0, 0.0))]
        self.disks = [(), (), ()]
        self.sent = []

    def now(self, member):
        return self.real_ms * self.rates[member]

    def time(self, _member, number):
        self.real_ms += 60.0 * number

    def ask(self, member, number):
        to = (member + 1 + number % 2) % 3
        self.request(member, str(to), 1.0 + number % 4)

    def again(self, member, number):
        if held := self.states[member].held:
            lease = held[number % len(held)]
            self.request(member, lease.lender, 1.0, lease.lease_id)

    def request(self, member, lender, *what):
        self.states[member], request = self.rules.request(
            self.states[member], self.now(member), lender, *what
        )
        self.sent.append((member, int(lender), request))

    def give(self, member, number):
        if held := self.states[member].held:
            lease = held[number % len(held)]
            state, returned = self.rules.return_lease(self.states[member], self.now(member), lease)
            self.answer(member, int(lease.lender), state, returned)

    def durable(self, member, _number):
        if self.states[member].unsent_grants:
            state, grants = self.rules.send_durable(self.states[member], self.now(member))
            self.states[member], self.disks[member] = state, state.granted
            self.sent += [(member, int(to), grant) for to, grant in grants]

    def restart(self, member, _number):
        self.begin(member, self.disks[member])

    def forget(self, member, _number):
        self.begin(member, None)

    def begin(self, member, recorded):
        self.generations += 1
        share, now = self.states[member].share, self.now(member)
        self.states[member] = self.rules.restarted(share, self.generations, now, recorded)

    def use(self, member, number):
        state = self.states[member]
        used = self.rules.usable(state, self.now(member)) * number / 30.0
        self.states[member] = state._replace(used=used)

    def hear(self, _member, number):
        if not self.sent:
            return
        sender, to, message = self.sent[number % len(self.sent)]
        state, now = self.states[to], self.now(to)
        if isinstance(message, LeaseRequest):
            self.answer(to, sender, *self.rules.handle_request(state, now, str(sender), message))
        elif isinstance(message, LeaseGrant):
            self.answer(to, sender, *self.rules.handle_grant(state, now, str(sender), message))
        else:
            self.states[to] = self.rules.handle_return(state, str(sender), message)

    def answer(self, member, to, state, message):
        self.states[member] = state
        if message is not None:
            self.sent.append((member, to, message))

    def expire(self):
        """Drop what has expired, and stop using what may be used no more."""
        for member, state in enumerate(self.states):
            now = self.now(member)
            state = self.rules.without_expired(state, now)
            self.states[member] = state._replace(used=min(state.used, self.rules.usable(state, now)))

    def usable(self):
        return sum(self.rules.usable(state, self.now(i)) for i, state in enumerate(self.states))


@given(STEPS, st.tuples(*[st.floats(1.0 - CLOCK_DRIFT, 1.0 + CLOCK_DRIFT)] * 3))
def test_clocks_within_the_drift_never_bring_the_sum_over(steps, rates):
    members = Members(rates)
    for step, member, number in steps:
        getattr(members, step)(member, number)
        members.expire()
        assert members.usable() <= 6.0 + 1e-6


@pytest.mark.parametrize("seed", [0, 1, 2, 3, 4, 5])
def test_no_schedule_brings_the_sum_over_and_quota_follows_the_demand(seed):
    assert quota_schedules.play(7, seed, quota_schedules.schedule(7, seed) if seed else []).violations == []


def test_a_member_with_high_demand_gets_what_others_do_not_use_in_a_few_periods():
    # Fixed shares would leave it at one of the five that it wants.
    simulation = quota_schedules.QuotaSimulation(
        7, 1, [], 70.0, quota_schedules.demand_on_one(70.0, 7, "n3", 5.0)
    )
    simulation.run(6000.0)
    at, used, wanted = simulation.samples[-1]
    assert used >= 0.95 * wanted == 0.95 * 56.0
    assert at < 6001.0
    assert simulation.max_usable <= 70.0 + 1e-9


def test_a_member_cut_off_keeps_its_own_share_and_no_more():
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
    "machine",
    [
        type("Early", (QuotaLeasing,), {"lender_lease_ms": lambda self: 0.5 * self.lease_ms}),
        type("Late", (QuotaLeasing,), {"borrower_lease_ms": lambda self: 2.0 * self.lease_ms}),
    ],
)
def test_a_lease_that_is_wrong_on_one_side_brings_the_sum_over(machine):
    # A borrower that is cut off: its lender uses the quota again by its own lease.
    simulation = quota_schedules.QuotaSimulation(
        7, 1, [], 70.0, quota_schedules.demand_on_one(70.0, 7, "n3", 5.0), rules=machine
    )
    simulation.run(6000.0)
    simulation.cuts += [("n3", "", 1e9), ("", "n3", 1e9)]
    simulation.run(40000.0)
    assert simulation.max_usable > 70.0 + 1.0


def test_nothing_is_lent_below_the_minimum_or_beyond_a_share_of_what_is_free():
    rules = QuotaLeasing(1000.0, min_lease=1.0)
    request = LeaseRequest(SerialNumber(2, 1), 9.0)
    state, grant = rules.handle_request(QuotaState(10.0, 1, used=4.0), 0.0, "b", request)
    assert grant is None
    assert state.unsent_grants[0].grant.amount == 3.0

    state, grants = rules.send_durable(state, 5.0)
    expires_ms = 5.0 + rules.lender_lease_ms()
    assert state.granted == (GrantedLease(SerialNumber(1, 1), "b", 3.0, expires_ms, SerialNumber(2, 1)),)
    assert grants[0].borrower == "b"

    # A request that comes twice is granted once.
    assert rules.handle_request(state, 6.0, "b", request) == (state, grants[0].grant)

    _, grant = rules.handle_request(QuotaState(1.0, 1), 0.0, "b", request)
    assert grant.amount == 0.0


def test_a_lease_in_use_is_not_returned_and_one_that_came_too_late_is_at_once():
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


def test_a_smaller_share_holds_at_once_and_a_larger_one_once_it_is_on_all():
    rules = QuotaLeasing(1000.0)
    state = QuotaState(4.0, 1)
    assert rules.with_share(state, 6.0, is_on_all=False).share == 4.0
    assert rules.with_share(state, 6.0, is_on_all=True).share == 6.0
    assert rules.with_share(state, 1.0, is_on_all=False).share == 1.0
