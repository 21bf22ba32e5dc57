"""A limit that holds for a whole fleet: parts that belong to members, lent with a lease; pure.

Escrow (O'Neil 1986): each member may use its own part without asking anyone. Of the demarcation protocol
(Barbará and Garcia-Molina 1994) and bounded counters (Balegas and others 2015) that who has room hands some
of it to who asks. Changed: what is handed over is lent, for a lease, and comes back by itself, so that a
member that dies or is cut off takes nothing of the limit with it; and no room is handed on further.

Never over: what a member lends it does not use until it was given back, or its lease, counted from when the
grant was said, is over with the drift on top. The borrower's lease counts from when it asked, less the
drift, on its own clock, so it ends first. What was lent is durable before it is said; one that restarts
with that memory takes each loan for one said now, one without it uses nothing of its part for a whole
lease.
"""

from typing import NamedTuple

DRIFT = 0.001  # by which clocks may run fast or slow
GENEROUS = 0.5  # of what is free, at most, in one loan: another may ask next


class LeaseRequest(NamedTuple):
    """Lend me so much; or, with a loan's id, lend me that for another lease."""

    seq: tuple[int, int]  # of the asking process, by its life: an answer to an earlier one's is none
    amount: float
    loan: tuple[int, int] | None = None


class LeaseGrant(NamedTuple):
    """That much is yours for a lease from when you asked; 0: nothing is."""

    seq: tuple[int, int]
    loan: tuple[int, int]
    amount: float


class LeaseReturn(NamedTuple):
    """I use this loan no more."""

    loan: tuple[int, int]


LeaseMessage = LeaseRequest | LeaseGrant | LeaseReturn


class GrantedLease(NamedTuple):
    """What a member has lent; until when it does not use it itself."""

    loan: tuple[int, int]
    to: str
    amount: float
    until_ms: float
    seq: tuple[int, int] = (0, 0)  # of the question: one that comes twice is granted once


class HeldLease(NamedTuple):
    """What a member has borrowed, and until when it may use that."""

    lender: str
    loan: tuple[int, int]
    amount: float
    until_ms: float


class PendingLeaseRequest(NamedTuple):
    """A question that is out."""

    seq: tuple[int, int]
    to: str
    at_ms: float
    loan: tuple[int, int] | None


class QuotaState(NamedTuple):
    """All that a member holds of one limit: each step makes it anew, so that a search can look at each."""

    own: float  # its part
    life: int  # of this process: no other of any name has had it
    barred_until_ms: float = 0.0  # it uses nothing of its part before
    used: float = 0.0  # of all that it may use
    count: int = 0
    lent: tuple[GrantedLease, ...] = ()
    got: tuple[HeldLease, ...] = ()
    asked: tuple[PendingLeaseRequest, ...] = ()
    unsaid: tuple[tuple[str, LeaseGrant], ...] = ()  # grants whose record is not durable yet


class QuotaLeasing:
    """The rules, for members with one lease; times in ms on each one's own clock."""

    def __init__(self, lease_ms: float, least: float = 0.0, generous: float = GENEROUS) -> None:
        """Make them: `least` is the smallest loan, `generous` the share of what is free that one may take."""
        self.lease_ms, self.least, self.generous = lease_ms, least, generous

    def borrowed_ms(self) -> float:
        """Return how long a borrower uses a loan, from when it asked."""
        return self.lease_ms * (1.0 - 2.0 * DRIFT)

    def lent_ms(self) -> float:
        """Return how long a lender leaves a loan alone, from when it said so."""
        return self.lease_ms * (1.0 + 2.0 * DRIFT)

    def own_left(self, held: QuotaState, now: float) -> float:
        """Return what of its own part a member has not lent."""
        if now < held.barred_until_ms:
            return 0.0
        return max(0.0, held.own - sum(lent.amount for lent in held.lent if now < lent.until_ms))

    def usable(self, held: QuotaState, now: float) -> float:
        """Return what a member may use now."""
        return self.own_left(held, now) + sum(got.amount for got in held.got if now < got.until_ms)

    def free(self, held: QuotaState, now: float) -> float:
        """Return what a member may lend now: of its own part, and not in use; what is borrowed stays."""
        return max(0.0, min(self.own_left(held, now), self.usable(held, now) - held.used))

    # Asking.

    def ask(
        self, held: QuotaState, now: float, to: str, amount: float, loan: tuple[int, int] | None = None
    ) -> tuple[QuotaState, LeaseRequest]:
        """Ask a member for a loan, or for another lease of one."""
        seq = held.life, held.count + 1
        asked = (*self.open(held, now), PendingLeaseRequest(seq, to, now, loan))
        return held._replace(count=held.count + 1, asked=asked), LeaseRequest(seq, amount, loan)

    def open(self, held: QuotaState, now: float) -> tuple[PendingLeaseRequest, ...]:
        """Return the questions whose answers may still be of use."""
        return tuple(asked for asked in held.asked if now < asked.at_ms + self.borrowed_ms())

    def lends(
        self, held: QuotaState, now: float, sender: str, lend: LeaseGrant
    ) -> tuple[QuotaState, LeaseReturn | None]:
        """Take in an answer; what comes too late, or twice, changes nothing."""
        asked = next((a for a in held.asked if a.seq == lend.seq and a.to == sender), None)
        if asked is None:
            return held, None
        held = held._replace(asked=tuple(a for a in held.asked if a is not asked))
        until = asked.at_ms + self.borrowed_ms()
        if not lend.amount:
            return held, None
        if asked.loan is not None:
            # Only a loan that is still held lives on: one given back meanwhile may be another's by now.
            got = tuple(
                g._replace(until_ms=max(g.until_ms, until))
                if (g.lender, g.loan) == (sender, lend.loan)
                else g
                for g in held.got
            )
            return held._replace(got=got), None
        if now >= until:
            return held, LeaseReturn(lend.loan)
        return held._replace(got=(*held.got, HeldLease(sender, lend.loan, lend.amount, until))), None

    def give(self, held: QuotaState, now: float, got: HeldLease) -> tuple[QuotaState, LeaseReturn | None]:
        """Give a loan back, if it is not in use."""
        after = held._replace(got=tuple(g for g in held.got if g is not got))
        if held.used > self.usable(after, now) + 1e-9:
            return held, None
        return after, LeaseReturn(got.loan)

    # Lending.

    def borrows(
        self, held: QuotaState, now: float, sender: str, borrow: LeaseRequest
    ) -> tuple[QuotaState, LeaseGrant | None]:
        """Take in a question: an answer at once, or a grant that is said once it is durable (`durable`)."""
        if borrow.loan is not None:
            return self.renews(held, now, sender, borrow)
        for lent in held.lent:
            if (lent.to, lent.seq) == (sender, borrow.seq) and now < lent.until_ms:
                said = lent.until_ms < float("inf")
                return held, LeaseGrant(borrow.seq, lent.loan, lent.amount) if said else None
        amount = min(borrow.amount, self.generous * self.free(held, now))
        if amount <= 0.0 or amount < self.least:
            return held, LeaseGrant(borrow.seq, (held.life, 0), 0.0)
        loan = held.life, held.count + 1
        lent = (*held.lent, GrantedLease(loan, sender, amount, float("inf"), borrow.seq))
        unsaid = (*held.unsaid, (sender, LeaseGrant(borrow.seq, loan, amount)))
        return held._replace(count=held.count + 1, lent=lent, unsaid=unsaid), None

    def renews(
        self, held: QuotaState, now: float, sender: str, borrow: LeaseRequest
    ) -> tuple[QuotaState, LeaseGrant]:
        """Lend a loan for another lease, if it is not over."""
        for lent in held.lent:
            if (lent.loan, lent.to) == (borrow.loan, sender) and now < lent.until_ms < float("inf"):
                again = lent._replace(until_ms=max(lent.until_ms, now + self.lent_ms()))
                rows = tuple(again if row is lent else row for row in held.lent)
                return held._replace(lent=rows), LeaseGrant(borrow.seq, lent.loan, lent.amount)
        return held, LeaseGrant(borrow.seq, borrow.loan, 0.0)

    def durable(
        self, held: QuotaState, now: float, loans: frozenset[tuple[int, int]] | None = None
    ) -> tuple[QuotaState, list[tuple[str, LeaseGrant]]]:
        """Say the grants whose records are durable now, these or all; their leases begin."""
        loans = frozenset(lend.loan for _, lend in held.unsaid) if loans is None else loans
        until = now + self.lent_ms()
        lent = tuple(row._replace(until_ms=until) if row.loan in loans else row for row in held.lent)
        said = [row for row in held.unsaid if row[1].loan in loans]
        left = tuple(row for row in held.unsaid if row[1].loan not in loans)
        return held._replace(lent=lent, unsaid=left), said

    def gives(self, held: QuotaState, sender: str, give: LeaseReturn) -> QuotaState:
        """Take in that a loan is given back."""
        return held._replace(lent=tuple(r for r in held.lent if (r.loan, r.to) != (give.loan, sender)))

    def swept(self, held: QuotaState, now: float) -> QuotaState:
        """Drop what is over."""
        return held._replace(
            lent=tuple(row for row in held.lent if now < row.until_ms),
            got=tuple(got for got in held.got if now < got.until_ms),
            asked=self.open(held, now),
        )

    # A new life, and a new limit.

    def restarted(
        self, own: float, life: int, now: float, memory: tuple[GrantedLease, ...] | None
    ) -> QuotaState:
        """Return what a process begins with; `memory`: the loans on record, None where that is not whole."""
        until = now + self.lent_ms()
        if memory is None:
            return QuotaState(own, life, barred_until_ms=until)
        # When each was said is not known on this clock: as if now.
        return QuotaState(own, life, lent=tuple(row._replace(until_ms=until) for row in memory))

    def changed(self, held: QuotaState, own: float, all_act_on_it: bool) -> QuotaState:
        """Return what holds under another part: a smaller one at once, a larger one once all act on it.

        Guards the sum while two versions are out: parts that move from one member to another would count
        twice.
        """
        return held._replace(own=own if all_act_on_it else min(held.own, own))
