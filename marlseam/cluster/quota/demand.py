"""The policy by which a member requests, renews and returns quota of a cluster's limit; pure.

The policy moves quota to the demand without oscillation: a member requests what it lacks with some headroom,
renews a lease for as long as it needs the quota, and returns it only if it has clearly too much. A lender
grants half of its free quota to each requester, so that the first one does not take all of it.
"""

from typing import NamedTuple

from marlseam.cluster.quota.leasing import (
    GrantedLease,
    HeldLease,
    LeaseGrant,
    LeaseMessage,
    LeaseRequest,
    QuotaLeasing,
    QuotaState,
    SerialNumber,
)
from marlseam.random_source import RandomSource

HEADROOM_SHARE = 0.1  # quota that a member keeps above its demand, as a share of the demand
EXCESS_SHARE = 0.3  # quota above the demand from which a member returns leases, as a share of the demand
MAX_LENDERS_PER_PERIOD = 4  # members from which new leases are requested in one period
RENEW_AT_LEASE_SHARE = 0.5  # remaining share of a lease's duration at which its renewal is requested
REQUEST_GROWTH = 2.0  # ratio of the requested to the lacking quota, to follow a burst within few periods
MIN_JITTER, JITTER_SPAN = 0.75, 0.5  # shortest time between two checks, and its random span, in periods


class SendLeaseMessage(NamedTuple):
    """Send a message to a member."""

    name: str
    message: LeaseMessage


class PersistQuotaState(NamedTuple):
    """Make the granted leases durable, then call `on_durable` with the ids of the new ones."""

    granted: tuple[GrantedLease, ...]
    new_lease_ids: frozenset[SerialNumber]


Effect = SendLeaseMessage | PersistQuotaState


class DemandEstimator:
    """The lease policy of one member for one limit; times in ms on its own clock.

    Call `set_demand` when the demand changes, `tick` at `next_ms`, `receive` for each message and
    `on_durable` once leases are durable.

    Attributes:
        name: name of this member.
        others: names of all other members, sorted.
        rules: the lease rules.
        state: the quota that this member owns, has lent and has borrowed.
        demand: current demand, in units of the limit.
        next_ms: when `tick` is due.
        refusals: how often in a row each member had nothing to lend; such members are asked last.
    """

    def __init__(
        self,
        name: str,
        members: frozenset[str],
        rules: QuotaLeasing,
        state: QuotaState,
        period_ms: float,
        seed: int,
        now_ms: float,
    ) -> None:
        """Start with a state as returned by `QuotaLeasing.restarted`."""
        self.name, self.others = name, sorted(members - {name})
        self.rules, self.state = rules, state
        self.period_ms, self.random = period_ms, RandomSource(seed)
        self.demand, self.next_ms = 0.0, now_ms
        self.refusals: dict[str, int] = {}

    def usable(self, now_ms: float) -> float:
        """Return the quota that may be used now, in units of the limit."""
        return self.rules.usable(self.state, now_ms)

    def set_demand(self, now_ms: float, demand: float) -> float:
        """Set the demand; return how much of it may be used at once, without a request to other members."""
        self.demand = demand
        used = min(demand, self.usable(now_ms))
        self.state = self.state._replace(used=used)
        return used

    def tick(self, now_ms: float) -> list[Effect]:
        """Return excess leases, renew needed ones and request lacking quota; no effect before `next_ms`."""
        if now_ms < self.next_ms:
            return []
        self.next_ms = now_ms + self.period_ms * (MIN_JITTER + JITTER_SPAN * self.random())
        self.state = self.rules.without_expired(self.state, now_ms)
        usable = self.usable(now_ms)
        self.state = self.state._replace(used=min(self.demand, usable))
        effects: list[Effect] = []
        # Smallest first, so that as much of the excess as possible is returned.
        for lease in sorted(self.state.held, key=lambda held: held.amount):
            if self.is_in_excess(lease, usable):
                self.state, returned = self.rules.return_lease(self.state, now_ms, lease)
                if returned is not None:
                    usable -= lease.amount
                    effects.append(SendLeaseMessage(lease.lender, returned))
        effects += self.renew_leases(now_ms)
        lacking = self.demand * (1.0 + HEADROOM_SHARE) - usable
        is_short = self.demand > usable * (1.0 - HEADROOM_SHARE)
        if is_short and lacking > max(0.0, self.rules.min_lease):
            effects += self.request_leases(now_ms, lacking)
        return effects

    def is_in_excess(self, lease: HeldLease, usable: float) -> bool:
        """Return whether quota is in excess, and still covers demand and headroom without this lease."""
        has_too_much = usable > self.demand * (1.0 + EXCESS_SHARE)
        return has_too_much and usable - lease.amount >= self.demand * (1.0 + HEADROOM_SHARE)

    def renew_leases(self, now_ms: float) -> list[Effect]:
        """Request the renewal of leases that expire soon, at most once per period for each."""
        effects: list[Effect] = []
        requested = {
            pending.renewed_lease_id
            for pending in self.state.pending_requests
            if pending.renewed_lease_id is not None and now_ms < pending.sent_ms + self.period_ms
        }
        for lease in self.state.held:
            left_ms = lease.expires_ms - now_ms
            if lease.lease_id not in requested and left_ms < RENEW_AT_LEASE_SHARE * self.rules.lease_ms:
                self.state, request = self.rules.request(
                    self.state, now_ms, lease.lender, lease.amount, lease.lease_id
                )
                effects.append(SendLeaseMessage(lease.lender, request))
        return effects

    def request_leases(self, now_ms: float, lacking: float) -> list[Effect]:
        """Request lacking quota from some members; those that last had nothing to lend are asked last."""
        order = sorted(self.others, key=lambda name: (self.refusals.get(name, 0), self.random()))
        effects: list[Effect] = []
        for name in order[:MAX_LENDERS_PER_PERIOD]:
            # Each lender may have only a part of its amount; any excess is returned later.
            amount = REQUEST_GROWTH * lacking / MAX_LENDERS_PER_PERIOD
            self.state, request = self.rules.request(self.state, now_ms, name, amount)
            effects.append(SendLeaseMessage(name, request))
        return effects

    def receive(self, now_ms: float, sender: str, message: LeaseMessage) -> list[Effect]:
        """Handle a message."""
        if isinstance(message, LeaseRequest):
            return self.handle_request(now_ms, sender, message)
        if isinstance(message, LeaseGrant):
            return self.handle_grant(now_ms, sender, message)
        self.state = self.rules.handle_return(self.state, sender, message)
        return []

    def handle_request(self, now_ms: float, sender: str, request: LeaseRequest) -> list[Effect]:
        """Answer a request at once, or return the effect that makes a new grant durable first."""
        before = self.state.unsent_grants
        self.state, grant = self.rules.handle_request(self.state, now_ms, sender, request)
        if grant is not None:
            return [SendLeaseMessage(sender, grant)]
        if self.state.unsent_grants == before:
            return []
        added = [unsent for unsent in self.state.unsent_grants if unsent not in before]
        new_lease_ids = frozenset(unsent.grant.lease_id for unsent in added)
        return [PersistQuotaState(self.state.granted, new_lease_ids)]

    def handle_grant(self, now_ms: float, sender: str, grant: LeaseGrant) -> list[Effect]:
        """Handle a grant, and count the refusals of members that have nothing to lend."""
        if grant.amount:
            self.refusals.pop(sender, None)
        else:
            self.refusals[sender] = self.refusals.get(sender, 0) + 1
        self.state, returned = self.rules.handle_grant(self.state, now_ms, sender, grant)
        return [] if returned is None else [SendLeaseMessage(sender, returned)]

    def on_durable(self, now_ms: float, lease_ids: frozenset[SerialNumber]) -> list[Effect]:
        """Send the grants of these leases, whose records are durable now."""
        self.state, grants = self.rules.send_durable(self.state, now_ms, lease_ids)
        return [SendLeaseMessage(borrower, grant) for borrower, grant in grants]
