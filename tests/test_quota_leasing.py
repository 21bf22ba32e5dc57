"""A limit lent between members.

Never over, in every interleaving of a small size and under clocks that drift.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlseam.cluster.checking import quota_schedules
from marlseam.cluster.checking.explore_leasing import Rules, explore, wander
from marlseam.cluster.quota.leasing import (
    DRIFT,
    GrantedLease,
    HeldLease,
    LeaseGrant,
    LeaseRequest,
    LeaseReturn,
    QuotaLeasing,
    QuotaState,
)


def test_no_interleaving_of_few_steps_goes_over():
    found = explore(8)
    assert found.way == [] and found.depth == 8 and found.states > 20000


def test_far_ways_of_chance_do_not_either():
    assert wander(400, 30, Rules()) == []


class CountsAnew(Rules):
    """Planted: a process that restarts numbers its questions as the one before."""

    def ask(self, held, now, to, amount, loan=None):
        new, borrow = super().ask(held._replace(life=0), now, to, amount, loan)
        return new._replace(life=held.life), borrow


class FromTheAnswer(Rules):
    """Planted: a borrower's lease counts from when the answer came."""

    def lends(self, held, now, sender, lend):
        asked = tuple(a._replace(at_ms=now) for a in held.asked)
        return super().lends(held._replace(asked=asked), now, sender, lend)


class SaidFirst(Rules):
    """Planted: a grant is said before it is on record."""

    def said_before_durable(self):
        return True


class StartsAtOnce(Rules):
    """Planted: one without its memory uses its part at once."""

    def restarted(self, own, life, now, memory):
        return super().restarted(own, life, now, memory)._replace(barred_until_ms=0.0)


class LendsInUse(Rules):
    """Planted: what is in use is lent."""

    def free(self, held, now):
        return self.own_left(held, now)


class LendsTwice(Rules):
    """Planted: what is lent is forgotten."""

    def own_left(self, held, now):
        return held.own if now >= held.barred_until_ms else 0.0


class LendsOn(Rules):
    """Planted: what is borrowed is lent to a third, for a lease of its own."""

    def free(self, held, now):
        return max(0.0, self.usable(held, now) - held.used)

    def durable(self, held, now):
        loans = {lend.loan for _, lend in held.unsaid}
        new, lends = super().durable(held, now)
        lent = sum(row.amount for row in new.lent if row.loan in loans)
        return new._replace(got=() if lent > held.own else new.got), lends


class Revives(Rules):
    """Planted: another lease of a loan that was given back brings it back."""

    def lends(self, held, now, sender, lend):
        asked = next((a for a in held.asked if a.seq == lend.seq and a.to == sender), None)
        if asked is None or asked.loan is None or not lend.amount:
            return super().lends(held, now, sender, lend)
        got = tuple(g for g in held.got if g.loan != lend.loan)
        until = asked.at_ms + self.borrowed_ms()
        return held._replace(got=(*got, HeldLease(sender, lend.loan, lend.amount, until)), asked=()), None


class AnyLoan(Rules):
    """Planted: what is given back counts for whatever is lent to that member."""

    def gives(self, held, sender, give):
        return held._replace(lent=tuple(row for row in held.lent if row.to != sender))


class EndsEarly(Rules):
    """Planted: the lender's lease is shorter than the borrower's."""

    def lent_ms(self):
        return self.lease_ms - 1


class NeverEnds(Rules):
    """Planted: a borrower goes on after its lease."""

    def usable(self, held, now):
        return self.own_left(held, now) + sum(got.amount for got in held.got)


class TwiceForOne(Rules):
    """Planted: an answer that comes twice counts twice."""

    def lends(self, held, now, sender, lend):
        new, give = super().lends(held, now, sender, lend)
        return new._replace(asked=held.asked), give


@pytest.mark.parametrize(
    "rules",
    [
        CountsAnew,
        FromTheAnswer,
        SaidFirst,
        StartsAtOnce,
        LendsInUse,
        LendsTwice,
        LendsOn,
        Revives,
        AnyLoan,
        EndsEarly,
        NeverEnds,
        TwiceForOne,
    ],
)
def test_a_planted_defect_is_found(rules):
    assert explore(8, rules()).way or wander(6000, 24, rules())


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["time", "ask", "hear", "again", "give", "durable", "restart", "forget", "use"]),
        st.integers(0, 2),
        st.integers(0, 30),
    ),
    max_size=80,
)


@given(STEPS, st.tuples(*[st.floats(1.0 - DRIFT, 1.0 + DRIFT)] * 3))
def test_clocks_within_the_drift_never_bring_the_sum_over(steps, rates):
    # Loans of any size among three members with parts of 4, 2 and 0; letters late, lost and twice.
    rules, real, lives = QuotaLeasing(1000.0), 0.0, 3
    held = [QuotaState(own, i) for i, own in enumerate((4.0, 2.0, 0.0))]
    disks = [(), (), ()]
    said = []

    def now(i):
        return real * rates[i]

    for what, i, n in steps:
        if what == "time":
            real += 60.0 * n
        elif what == "ask":
            to = (i + 1 + n % 2) % 3
            held[i], borrow = rules.ask(held[i], now(i), str(to), 1.0 + n % 4)
            said.append((str(i), to, borrow))
        elif what == "again" and held[i].got:
            got = held[i].got[n % len(held[i].got)]
            held[i], borrow = rules.ask(held[i], now(i), got.lender, 1.0, got.loan)
            said.append((str(i), int(got.lender), borrow))
        elif what == "give" and held[i].got:
            got = held[i].got[n % len(held[i].got)]
            held[i], give = rules.give(held[i], now(i), got)
            said += [(str(i), int(got.lender), give)] if give else []
        elif what == "durable" and held[i].unsaid:
            held[i], lends = rules.durable(held[i], now(i))
            disks[i] = held[i].lent
            said += [(str(i), int(to), lend) for to, lend in lends]
        elif what in ("restart", "forget"):
            lives += 1
            held[i] = rules.restarted(held[i].own, lives, now(i), disks[i] if what == "restart" else None)
        elif what == "use":
            held[i] = held[i]._replace(used=rules.usable(held[i], now(i)) * n / 30.0)
        elif what == "hear" and said:
            by, to, message = said[n % len(said)]
            if type(message) is LeaseRequest:
                held[to], lend = rules.borrows(held[to], now(to), by, message)
                said += [(str(to), int(by), lend)] if lend else []
            elif type(message) is LeaseGrant:
                held[to], give = rules.lends(held[to], now(to), by, message)
                said += [(str(to), int(by), give)] if give else []
            else:
                held[to] = rules.gives(held[to], by, message)
        for k in range(3):
            held[k] = rules.swept(held[k], now(k))
            held[k] = held[k]._replace(used=min(held[k].used, rules.usable(held[k], now(k))))
        assert sum(rules.usable(h, now(k)) for k, h in enumerate(held)) <= 6.0 + 1e-6


@pytest.mark.parametrize("seed", [0, 1, 2, 3, 4, 5])
def test_no_schedule_brings_the_sum_over_and_room_follows_the_demand(seed):
    assert quota_schedules.play(7, seed, quota_schedules.schedule(7, seed) if seed else []).broken == []


def test_one_rich_member_gets_what_the_others_do_not_use_in_a_few_periods():
    # Fixed parts would leave it at one of the five that it wants.
    world = quota_schedules.QuotaSimulation(7, 1, [], 70.0, quota_schedules.one_rich(70.0, 7, "n3", 5.0))
    world.run(6000.0)
    at, used, wanted = world.samples[-1]
    assert used >= 0.95 * wanted == 0.95 * 56.0 and at < 6001.0 and world.most <= 70.0 + 1e-9


def test_cut_off_a_member_keeps_its_own_part_and_no_more():
    world = quota_schedules.QuotaSimulation(7, 1, [], 70.0, quota_schedules.one_rich(70.0, 7, "n3", 5.0))
    world.run(6000.0)
    world.cuts += [("n3", "", 1e9), ("", "n3", 1e9)]
    world.run(6000.0 + 2.0 * quota_schedules.LEASE_PERIODS * 1000.0)
    rich = world.seats["n3"]
    assert rich.machine.usable(world.local(rich)) == 10.0 and world.most <= 70.0 + 1e-9


@pytest.mark.parametrize(
    "machine",
    [
        type("Early", (QuotaLeasing,), {"lent_ms": lambda self: 0.5 * self.lease_ms}),
        type("Late", (QuotaLeasing,), {"borrowed_ms": lambda self: 2.0 * self.lease_ms}),
    ],
)
def test_a_lease_that_is_wrong_on_one_side_brings_the_sum_over(machine):
    # A borrower that is cut off: its lender takes the room back by its own lease.
    world = quota_schedules.QuotaSimulation(
        7, 1, [], 70.0, quota_schedules.one_rich(70.0, 7, "n3", 5.0), rules=machine
    )
    world.run(6000.0)
    world.cuts += [("n3", "", 1e9), ("", "n3", 1e9)]
    world.run(40000.0)
    assert world.most > 70.0 + 1.0


def test_nothing_is_lent_below_the_least_or_beyond_a_share_of_what_is_free():
    rules = QuotaLeasing(1000.0, least=1.0)
    held, lend = rules.borrows(QuotaState(10.0, 1, used=4.0), 0.0, "b", LeaseRequest((2, 1), 9.0))
    assert lend is None and held.unsaid[0][1].amount == 3.0
    held, lends = rules.durable(held, 5.0)
    assert (
        held.lent == (GrantedLease((1, 1), "b", 3.0, 5.0 + rules.lent_ms(), (2, 1)),) and lends[0][0] == "b"
    )
    assert rules.borrows(held, 6.0, "b", LeaseRequest((2, 1), 9.0)) == (
        held,
        lends[0][1],
    )  # asked twice: one loan
    _, lend = rules.borrows(QuotaState(1.0, 1), 0.0, "b", LeaseRequest((2, 1), 9.0))
    assert lend.amount == 0.0


def test_a_loan_in_use_is_not_given_back_and_one_that_came_too_late_is_at_once():
    rules = QuotaLeasing(1000.0)
    got = HeldLease("a", (1, 1), 2.0, 500.0)
    held, give = rules.give(QuotaState(1.0, 2, used=2.0, got=(got,)), 0.0, got)
    assert give is None and held.got == (got,)
    held, borrow = rules.ask(QuotaState(0.0, 2), 0.0, "a", 1.0)
    held, give = rules.lends(held, 2000.0, "a", LeaseGrant(borrow.seq, (1, 9), 1.0))
    assert give == LeaseReturn((1, 9)) and not held.got


def test_a_smaller_part_holds_at_once_and_a_larger_one_once_all_act_on_it():
    rules = QuotaLeasing(1000.0)
    held = QuotaState(4.0, 1)
    assert rules.changed(held, 6.0, False).own == 4.0 and rules.changed(held, 6.0, True).own == 6.0
    assert rules.changed(held, 1.0, False).own == 1.0
