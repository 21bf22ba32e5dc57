"""How much of a fleet's limit a member asks for, keeps and gives back, as its demand goes; pure.

Room goes where the demand is without swinging: a member asks for what it lacks with some headroom, keeps a
loan for as long as it needs it, and gives it back only once it has clearly too much. A lender grants half
of what is free to each that asks, so that one rich member is not emptied by the first.
"""

from typing import NamedTuple

from marlseam.cluster.quota.leasing import (
    GrantedLease,
    LeaseGrant,
    LeaseMessage,
    LeaseRequest,
    QuotaLeasing,
    QuotaState,
)
from marlseam.random_source import RandomSource

HEADROOM = 0.1  # of its demand, that a member keeps beside it
TOO_MUCH = 0.3  # of its demand, past which it gives loans back
ASKS = 4  # members asked a period
RENEW_AT = 0.5  # of a lease, after which a loan in need is asked for again
GROWTH = 2.0  # of an ask over the last, where more is lacking: a burst is followed in few periods


class SendLeaseMessage(NamedTuple):
    """Say this to a member."""

    name: str
    message: LeaseMessage


class PersistQuotaState(NamedTuple):
    """Have all loans on record, then call `kept` with the new ones' ids."""

    lent: tuple[GrantedLease, ...]
    new: frozenset[tuple[int, int]]


Effect = SendLeaseMessage | PersistQuotaState


class DemandEstimator:
    """One member's part of one limit; `demand` is what it would use now. Times in ms, one's own."""

    def __init__(
        self,
        name: str,
        members: frozenset[str],
        rules: QuotaLeasing,
        held: QuotaState,
        period_ms: float,
        seed: int,
        now: float,
    ) -> None:
        """Make one; `held` is what this process begins with (`Lending.restarted`)."""
        self.name, self.others, self.rules, self.held = name, sorted(members - {name}), rules, held
        self.period_ms, self.chance = period_ms, RandomSource(seed)
        self.demand, self.next_ms = 0.0, now
        self.refused: dict[str, int] = {}  # how often in a row a member had nothing: asked last

    def usable(self, now: float) -> float:
        """Return what may be used now."""
        return self.rules.usable(self.held, now)

    def want(self, now: float, demand: float) -> float:
        """Note the demand; return how much of it may be used now, at once, without waiting for anybody."""
        self.demand = demand
        used = min(demand, self.usable(now))
        self.held = self.held._replace(used=used)
        return used

    def tick(self, now: float) -> list[Effect]:
        """Ask for what is lacking, renew what is needed, give back what is not."""
        if now < self.next_ms:
            return []
        self.next_ms = now + self.period_ms * (0.75 + 0.5 * self.chance())
        self.held = self.rules.swept(self.held, now)
        usable = self.usable(now)
        self.held = self.held._replace(used=min(self.demand, usable))
        effects: list[Effect] = []
        for got in sorted(self.held.got, key=lambda got: got.amount):
            # Smallest first: of what is too much, the most comes free.
            if usable - got.amount >= self.demand * (1.0 + HEADROOM) and usable > self.demand * (
                1.0 + TOO_MUCH
            ):
                self.held, give = self.rules.give(self.held, now, got)
                if give is not None:
                    usable -= got.amount
                    effects.append(SendLeaseMessage(got.lender, give))
        effects += self.renewals(now)
        lacking = self.demand * (1.0 + HEADROOM) - usable
        if lacking > max(0.0, self.rules.least) and self.demand > usable * (1.0 - HEADROOM):
            effects += self.asks(now, lacking)
        return effects

    def renewals(self, now: float) -> list[Effect]:
        """Ask again for loans that are half over, once a period each."""
        effects = []
        asked = {a.loan for a in self.held.asked if a.loan is not None and now < a.at_ms + self.period_ms}
        for got in self.held.got:
            if got.loan not in asked and got.until_ms - now < RENEW_AT * self.rules.lease_ms:
                self.held, borrow = self.rules.ask(self.held, now, got.lender, got.amount, got.loan)
                effects.append(SendLeaseMessage(got.lender, borrow))
        return effects

    def asks(self, now: float, lacking: float) -> list[Effect]:
        """Ask some members for what is lacking, those that had nothing last time after the others."""
        order = sorted(self.others, key=lambda name: (self.refused.get(name, 0), self.chance()))
        effects = []
        for name in order[:ASKS]:
            # Each may have only a part: what is too much is given back.
            self.held, borrow = self.rules.ask(self.held, now, name, GROWTH * lacking / ASKS)
            effects.append(SendLeaseMessage(name, borrow))
        return effects

    def heard(self, now: float, sender: str, message: LeaseMessage) -> list[Effect]:
        """Take in a message."""
        effects: list[Effect] = []
        if type(message) is LeaseRequest:
            before = self.held.unsaid
            self.held, lend = self.rules.borrows(self.held, now, sender, message)
            if lend is not None:
                effects.append(SendLeaseMessage(sender, lend))
            elif self.held.unsaid != before:
                new = frozenset(row[1].loan for row in self.held.unsaid if row not in before)
                effects.append(PersistQuotaState(self.held.lent, new))
        elif type(message) is LeaseGrant:
            if not message.amount:
                self.refused[sender] = self.refused.get(sender, 0) + 1
            else:
                self.refused.pop(sender, None)
            self.held, give = self.rules.lends(self.held, now, sender, message)
            if give is not None:
                effects.append(SendLeaseMessage(sender, give))
        else:
            self.held = self.rules.gives(self.held, sender, message)
        return effects

    def kept(self, now: float, new: frozenset[tuple[int, int]]) -> list[Effect]:
        """Say the grants that are on record now."""
        self.held, lends = self.rules.durable(self.held, now, new)
        return [SendLeaseMessage(name, lend) for name, lend in lends]
