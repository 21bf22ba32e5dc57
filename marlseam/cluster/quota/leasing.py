"""The rules of a limit that holds for a whole cluster: members own shares and lend from them on lease; pure.

Escrow (O'Neil 1986): each member may use its own share without asking anyone. As in the demarcation protocol
(Barbará and Garcia-Molina 1994) and bounded counters (Balegas and others 2015), a member with headroom hands
some of it to one that asks. Changed: what is handed over is lent, on a lease, and comes back by itself, so
that a member that dies or is cut off takes nothing of the limit with it; what is borrowed is not lent on.

Safety: what a member lends it does not use until it was returned, or until its lease, counted from when the
grant was sent and lengthened by the clocks' drift, has expired. The borrower's lease counts from when it
sent its request, on its own clock and shortened by the drift, so it expires first. A grant is durable before
it is sent. A process that restarts with that record takes each lease for one granted now; one without it
uses nothing of its share for a whole lease.

Each step takes a `QuotaState` and returns a new one, so that a search can explore all of them.
"""

from math import inf
from typing import Generic, NamedTuple, TypeVar

CLOCK_DRIFT = 0.001  # by which clocks may run fast or slow, as a share
MAX_SHARE_OF_FREE = 0.5  # of what is free, in one lease: another member may ask next
ROUNDING = 1e-9  # by which sums may differ


class SerialNumber(NamedTuple):
    """Identifies a request or a lease; no two of all processes are the same.

    Attributes:
        generation: of the process that made it.
        number: counted by that process.
    """

    generation: int
    number: int


class LeaseRequest(NamedTuple):
    """Ask for a new lease, or to renew one.

    Attributes:
        request_id: the answer repeats it; an answer to an earlier process's request is ignored.
        amount: how much of the limit.
        renewed_lease_id: the lease to renew, None for a new one.
    """

    request_id: SerialNumber
    amount: float
    renewed_lease_id: SerialNumber | None = None


class LeaseGrant(NamedTuple):
    """Answer a request: the amount may be used for a lease from when it was requested; 0: none is lent."""

    request_id: SerialNumber
    lease_id: SerialNumber
    amount: float


class LeaseReturn(NamedTuple):
    """Return a lease that is used no more."""

    lease_id: SerialNumber


LeaseMessage = LeaseRequest | LeaseGrant | LeaseReturn
MessageT = TypeVar("MessageT")


class GrantedLease(NamedTuple):
    """What a member has lent.

    Attributes:
        lease_id, borrower, amount: what was granted, and to whom.
        expires_ms: when the lender may use it again itself; inf until the grant was sent.
        request_id: the request that it answers: one that arrives twice is granted once.
    """

    lease_id: SerialNumber
    borrower: str
    amount: float
    expires_ms: float
    request_id: SerialNumber = SerialNumber(0, 0)


class HeldLease(NamedTuple):
    """What a member has borrowed, and until when it may use that."""

    lender: str
    lease_id: SerialNumber
    amount: float
    expires_ms: float


class PendingLeaseRequest(NamedTuple):
    """A request without an answer yet; `renewed_lease_id` is None where it is for a new lease."""

    request_id: SerialNumber
    lender: str
    sent_ms: float
    renewed_lease_id: SerialNumber | None


class AddressedGrant(NamedTuple):
    """A grant, and whom to send it to."""

    borrower: str
    grant: LeaseGrant


class QuotaState(NamedTuple):
    """All that a member holds of one limit; times in ms on its own clock.

    Attributes:
        share: the part of the limit that it owns.
        generation: of this process; no other of any member has had it.
        share_withheld_until_ms: until then it uses and lends nothing of its share.
        used: how much it uses, of its share and its leases together.
        last_number: of the requests and leases that this process has made.
        granted: what it has lent.
        held: what it has borrowed.
        pending_requests: its requests without an answer.
        unsent_grants: grants whose record is not durable yet.
    """

    share: float
    generation: int
    share_withheld_until_ms: float = 0.0
    used: float = 0.0
    last_number: int = 0
    granted: tuple[GrantedLease, ...] = ()
    held: tuple[HeldLease, ...] = ()
    pending_requests: tuple[PendingLeaseRequest, ...] = ()
    unsent_grants: tuple[AddressedGrant, ...] = ()

    def next_serial(self) -> SerialNumber:
        """Return the number of the next request or lease."""
        return SerialNumber(self.generation, self.last_number + 1)


class Transition(NamedTuple, Generic[MessageT]):
    """The state after a step, and what is to be sent."""

    state: QuotaState
    message: MessageT


class QuotaLeasing:
    """The rules, for members whose leases all last as long; times in ms on each member's own clock."""

    def __init__(
        self, lease_ms: float, min_lease: float = 0.0, max_share_of_free: float = MAX_SHARE_OF_FREE
    ) -> None:
        """Make the rules.

        `min_lease` is the smallest amount that is lent, in units of the limit; `max_share_of_free` bounds one
        lease, as a share of what the lender has free.
        """
        self.lease_ms = lease_ms
        self.min_lease = min_lease
        self.max_share_of_free = max_share_of_free

    def borrower_lease_ms(self) -> float:
        """Return for how long a borrower uses a lease, from when it sent the request."""
        return self.lease_ms * (1.0 - 2.0 * CLOCK_DRIFT)

    def lender_lease_ms(self) -> float:
        """Return for how long a lender leaves a lease alone, from when it sent the grant."""
        return self.lease_ms * (1.0 + 2.0 * CLOCK_DRIFT)

    def unlent_share(self, state: QuotaState, now_ms: float) -> float:
        """Return what of its own share a member has not lent."""
        if now_ms < state.share_withheld_until_ms:
            return 0.0
        lent = sum(lease.amount for lease in state.granted if now_ms < lease.expires_ms)
        return max(0.0, state.share - lent)

    def usable(self, state: QuotaState, now_ms: float) -> float:
        """Return what a member may use now."""
        borrowed = sum(lease.amount for lease in state.held if now_ms < lease.expires_ms)
        return self.unlent_share(state, now_ms) + borrowed

    def lendable(self, state: QuotaState, now_ms: float) -> float:
        """Return what a member may lend now: of its own share, and not in use; nothing that is borrowed."""
        unused = self.usable(state, now_ms) - state.used
        return max(0.0, min(self.unlent_share(state, now_ms), unused))

    # The borrower.

    def request(
        self,
        state: QuotaState,
        now_ms: float,
        lender: str,
        amount: float,
        renewed_lease_id: SerialNumber | None = None,
    ) -> Transition[LeaseRequest]:
        """Request a new lease, or the renewal of one."""
        request_id = state.next_serial()
        pending = PendingLeaseRequest(request_id, lender, now_ms, renewed_lease_id)
        state = state._replace(
            last_number=request_id.number, pending_requests=(*self.open_requests(state, now_ms), pending)
        )
        return Transition(state, LeaseRequest(request_id, amount, renewed_lease_id))

    def open_requests(self, state: QuotaState, now_ms: float) -> tuple[PendingLeaseRequest, ...]:
        """Return the pending requests whose grants would not have expired yet."""
        return tuple(
            pending
            for pending in state.pending_requests
            if now_ms < pending.sent_ms + self.borrower_lease_ms()
        )

    def handle_grant(
        self, state: QuotaState, now_ms: float, sender: str, grant: LeaseGrant
    ) -> Transition[LeaseReturn | None]:
        """Handle the answer to a request; one that arrives too late is returned, a repeated one ignored."""
        pending = find_request(state, sender, grant.request_id)
        if pending is None:
            return Transition(state, None)
        others = tuple(other for other in state.pending_requests if other is not pending)
        state = state._replace(pending_requests=others)
        if not grant.amount:
            return Transition(state, None)
        expires_ms = pending.sent_ms + self.borrower_lease_ms()
        if pending.renewed_lease_id is not None:
            return Transition(with_renewed(state, sender, grant.lease_id, expires_ms), None)
        if now_ms >= expires_ms:
            return Transition(state, LeaseReturn(grant.lease_id))
        lease = HeldLease(sender, grant.lease_id, grant.amount, expires_ms)
        return Transition(state._replace(held=(*state.held, lease)), None)

    def return_lease(
        self, state: QuotaState, now_ms: float, lease: HeldLease
    ) -> Transition[LeaseReturn | None]:
        """Return a lease to its lender, if it is not in use."""
        after = state._replace(held=tuple(other for other in state.held if other is not lease))
        if state.used > self.usable(after, now_ms) + ROUNDING:
            return Transition(state, None)
        return Transition(after, LeaseReturn(lease.lease_id))

    # The lender.

    def handle_request(
        self, state: QuotaState, now_ms: float, sender: str, request: LeaseRequest
    ) -> Transition[LeaseGrant | None]:
        """Answer a request at once, or plan a grant that is sent once it is durable (`send_durable`)."""
        if request.renewed_lease_id is not None:
            return self.renew(state, now_ms, sender, request, request.renewed_lease_id)
        for lease in state.granted:
            if (lease.borrower, lease.request_id) == (sender, request.request_id) and (
                now_ms < lease.expires_ms
            ):
                was_sent = lease.expires_ms < inf
                grant = LeaseGrant(request.request_id, lease.lease_id, lease.amount)
                return Transition(state, grant if was_sent else None)
        amount = min(request.amount, self.max_share_of_free * self.lendable(state, now_ms))
        if amount <= 0.0 or amount < self.min_lease:
            no_lease = SerialNumber(state.generation, 0)
            return Transition(state, LeaseGrant(request.request_id, no_lease, 0.0))
        lease_id = state.next_serial()
        lease = GrantedLease(lease_id, sender, amount, inf, request.request_id)
        unsent = AddressedGrant(sender, LeaseGrant(request.request_id, lease_id, amount))
        state = state._replace(
            last_number=lease_id.number,
            granted=(*state.granted, lease),
            unsent_grants=(*state.unsent_grants, unsent),
        )
        return Transition(state, None)

    def renew(
        self,
        state: QuotaState,
        now_ms: float,
        sender: str,
        request: LeaseRequest,
        lease_id: SerialNumber,
    ) -> Transition[LeaseGrant | None]:
        """Renew a lease, if it has not expired; an amount of 0 tells that it has."""
        for lease in state.granted:
            if (lease.lease_id, lease.borrower) == (lease_id, sender) and now_ms < lease.expires_ms < inf:
                expires_ms = max(lease.expires_ms, now_ms + self.lender_lease_ms())
                renewed = lease._replace(expires_ms=expires_ms)
                granted = tuple(renewed if other is lease else other for other in state.granted)
                grant = LeaseGrant(request.request_id, lease.lease_id, lease.amount)
                return Transition(state._replace(granted=granted), grant)
        return Transition(state, LeaseGrant(request.request_id, lease_id, 0.0))

    def send_durable(
        self, state: QuotaState, now_ms: float, lease_ids: frozenset[SerialNumber] | None = None
    ) -> Transition[list[AddressedGrant]]:
        """Send the grants whose records are durable now, and begin their leases; None: all grants."""
        if lease_ids is None:
            lease_ids = frozenset(unsent.grant.lease_id for unsent in state.unsent_grants)
        expires_ms = now_ms + self.lender_lease_ms()
        granted = tuple(
            lease._replace(expires_ms=expires_ms) if lease.lease_id in lease_ids else lease
            for lease in state.granted
        )
        sent = [unsent for unsent in state.unsent_grants if unsent.grant.lease_id in lease_ids]
        left = tuple(unsent for unsent in state.unsent_grants if unsent.grant.lease_id not in lease_ids)
        return Transition(state._replace(granted=granted, unsent_grants=left), sent)

    def handle_return(self, state: QuotaState, sender: str, returned: LeaseReturn) -> QuotaState:
        """Take back a lease that its borrower returns."""
        key = returned.lease_id, sender
        granted = tuple(lease for lease in state.granted if (lease.lease_id, lease.borrower) != key)
        return state._replace(granted=granted)

    # Expiry, a restart, and a new limit.

    def without_expired(self, state: QuotaState, now_ms: float) -> QuotaState:
        """Drop what has expired."""
        return state._replace(
            granted=tuple(lease for lease in state.granted if now_ms < lease.expires_ms),
            held=tuple(lease for lease in state.held if now_ms < lease.expires_ms),
            pending_requests=self.open_requests(state, now_ms),
        )

    def restarted(
        self, share: float, generation: int, now_ms: float, recorded: tuple[GrantedLease, ...] | None
    ) -> QuotaState:
        """Return what a process begins with.

        `recorded`: the leases granted by earlier processes, None where the record may not be complete.
        """
        expires_ms = now_ms + self.lender_lease_ms()
        if recorded is None:
            return QuotaState(share, generation, share_withheld_until_ms=expires_ms)
        # When each grant was sent is not known on this clock: as if now.
        granted = tuple(lease._replace(expires_ms=expires_ms) for lease in recorded)
        return QuotaState(share, generation, granted=granted)

    def with_share(self, state: QuotaState, share: float, *, is_on_all: bool) -> QuotaState:
        """Return the state under another share: a smaller one at once, a larger one once it is on all.

        `is_on_all`: whether all members act on the new shares. Guards the sum while two versions are out:
        what moves from one member to another would count twice.
        """
        return state._replace(share=share if is_on_all else min(state.share, share))


def find_request(state: QuotaState, lender: str, request_id: SerialNumber) -> PendingLeaseRequest | None:
    """Return the pending request of this id to this lender, if there is one."""
    for pending in state.pending_requests:
        if pending.request_id == request_id and pending.lender == lender:
            return pending
    return None


def with_renewed(state: QuotaState, lender: str, lease_id: SerialNumber, expires_ms: float) -> QuotaState:
    """Renew a lease that is still held; one that was returned meanwhile may be another member's by now."""
    held = tuple(
        lease._replace(expires_ms=max(lease.expires_ms, expires_ms))
        if (lease.lender, lease.lease_id) == (lender, lease_id)
        else lease
        for lease in state.held
    )
    return state._replace(held=held)
