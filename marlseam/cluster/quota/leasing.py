"""The lease rules of a limit that applies to a whole cluster: members own shares and lend from them; pure.

Escrow (O'Neil 1986): each member may use its own share without a request to others. As in the demarcation
protocol (Barbará and Garcia-Molina 1994) and bounded counters (Balegas and others 2015), a member with
headroom transfers some of it to a requester. Differences: the transferred quota is lent on a lease and
returns to its owner when the lease expires, so that a member that crashes or is partitioned does not reduce
the limit for good; borrowed quota is not lent on.

Safety: a lender does not use lent quota until it was returned or the lease has expired; the lender's lease
counts from when it sent the grant and is lengthened by the clock drift. The borrower's lease counts from when
it sent its request, on its own clock, and is shortened by the drift, so it expires first. A grant is durable
before it is sent. A process that restarts with the record of its grants treats each lease as granted at the
restart; one without the record uses nothing of its share for the duration of one lease.

Each step takes a `QuotaState` and returns a new one, so that a search can explore all reachable states.
"""

from math import inf
from typing import Generic, NamedTuple, TypeVar

CLOCK_DRIFT = 0.001  # highest deviation of a clock's rate, as a share
MAX_SHARE_OF_FREE = 0.5  # bound of one lease, as a share of the lender's free quota, to leave some for others
ROUNDING = 1e-9  # tolerance for rounding in sums of quota, in units of the limit


class SerialNumber(NamedTuple):
    """Identifies a request or a lease, unique among all processes of all members.

    Attributes:
        generation: generation of the process that created it.
        number: counter of that process.
    """

    generation: int
    number: int


class LeaseRequest(NamedTuple):
    """Requests a new lease, or the renewal of one.

    Attributes:
        request_id: repeated in the answer; an answer to a request of an earlier process is ignored.
        amount: requested quota, in units of the limit.
        renewed_lease_id: the lease to renew, None for a new one.
    """

    request_id: SerialNumber
    amount: float
    renewed_lease_id: SerialNumber | None = None


class LeaseGrant(NamedTuple):
    """Answers a request: `amount` may be used for one lease from when the request was sent; 0: refused."""

    request_id: SerialNumber
    lease_id: SerialNumber
    amount: float


class LeaseReturn(NamedTuple):
    """Returns a lease that the borrower no longer uses."""

    lease_id: SerialNumber


LeaseMessage = LeaseRequest | LeaseGrant | LeaseReturn
MessageT = TypeVar("MessageT")


class GrantedLease(NamedTuple):
    """A lease that a member has granted.

    Attributes:
        lease_id, borrower, amount: id of the lease, the borrowing member, and the quota lent.
        expires_ms: when the lender may use the quota again; inf until the grant was sent.
        request_id: the request that the grant answers; a duplicate request is granted only once.
    """

    lease_id: SerialNumber
    borrower: str
    amount: float
    expires_ms: float
    request_id: SerialNumber = SerialNumber(0, 0)


class HeldLease(NamedTuple):
    """A lease that a member has borrowed; its quota may be used until `expires_ms`."""

    lender: str
    lease_id: SerialNumber
    amount: float
    expires_ms: float


class PendingLeaseRequest(NamedTuple):
    """An unanswered request; `renewed_lease_id` is None if it is for a new lease."""

    request_id: SerialNumber
    lender: str
    sent_ms: float
    renewed_lease_id: SerialNumber | None


class AddressedGrant(NamedTuple):
    """A grant and the member that receives it."""

    borrower: str
    grant: LeaseGrant


class QuotaState(NamedTuple):
    """The state of one member for one limit; times in ms on its own clock, quota in units of the limit.

    Attributes:
        share: the part of the limit that the member owns.
        generation: generation of this process, unique among all processes of all members.
        share_withheld_until_ms: the member uses and lends nothing of its share before this time.
        used: quota in use, of the share and the borrowed leases together.
        last_number: last serial number of the requests and leases that this process created.
        granted: leases that the member has lent.
        held: leases that the member has borrowed.
        pending_requests: unanswered requests of the member.
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
        """Return the serial number for the next request or lease; the state is not changed."""
        return SerialNumber(self.generation, self.last_number + 1)


class Transition(NamedTuple, Generic[MessageT]):
    """The state after a step, and the message to send."""

    state: QuotaState
    message: MessageT


class QuotaLeasing:
    """The lease rules; all leases have the same duration. Times in ms on each member's own clock."""

    def __init__(
        self, lease_ms: float, min_lease: float = 0.0, max_share_of_free: float = MAX_SHARE_OF_FREE
    ) -> None:
        """Set the parameters.

        `lease_ms` is the duration of a lease, `min_lease` the smallest amount that is lent, in units of the
        limit; `max_share_of_free` bounds the amount of one lease, as a share of the lender's free quota.
        """
        self.lease_ms = lease_ms
        self.min_lease = min_lease
        self.max_share_of_free = max_share_of_free

    def borrower_lease_ms(self) -> float:
        """Return how long a borrower uses a lease, from when it sent the request."""
        return self.lease_ms * (1.0 - 2.0 * CLOCK_DRIFT)

    def lender_lease_ms(self) -> float:
        """Return how long a lender does not use lent quota, from when it sent the grant."""
        return self.lease_ms * (1.0 + 2.0 * CLOCK_DRIFT)

    def unlent_share(self, state: QuotaState, now_ms: float) -> float:
        """Return the part of a member's own share that is not lent; 0 while the share is withheld."""
        if now_ms < state.share_withheld_until_ms:
            return 0.0
        lent = sum(lease.amount for lease in state.granted if now_ms < lease.expires_ms)
        return max(0.0, state.share - lent)

    def usable(self, state: QuotaState, now_ms: float) -> float:
        """Return the quota that a member may use now: its unlent share and its borrowed leases."""
        borrowed = sum(lease.amount for lease in state.held if now_ms < lease.expires_ms)
        return self.unlent_share(state, now_ms) + borrowed

    def lendable(self, state: QuotaState, now_ms: float) -> float:
        """Return the quota that a member may lend now: the unused part of its own share, nothing borrowed."""
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
        """Create a request for a new lease, or for the renewal of one."""
        request_id = state.next_serial()
        pending = PendingLeaseRequest(request_id, lender, now_ms, renewed_lease_id)
        state = state._replace(
            last_number=request_id.number, pending_requests=(*self.open_requests(state, now_ms), pending)
        )
        return Transition(state, LeaseRequest(request_id, amount, renewed_lease_id))

    def open_requests(self, state: QuotaState, now_ms: float) -> tuple[PendingLeaseRequest, ...]:
        """Return the pending requests whose leases, if granted, would not have expired yet."""
        return tuple(
            pending
            for pending in state.pending_requests
            if now_ms < pending.sent_ms + self.borrower_lease_ms()
        )

    def handle_grant(
        self, state: QuotaState, now_ms: float, sender: str, grant: LeaseGrant
    ) -> Transition[LeaseReturn | None]:
        """Handle the answer to a request; a late lease is returned, a repeated answer is ignored."""
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
        """Return a lease to its lender, unless the remaining quota would not cover the quota in use."""
        after = state._replace(held=tuple(other for other in state.held if other is not lease))
        if state.used > self.usable(after, now_ms) + ROUNDING:
            return Transition(state, None)
        return Transition(after, LeaseReturn(lease.lease_id))

    # The lender.

    def handle_request(
        self, state: QuotaState, now_ms: float, sender: str, request: LeaseRequest
    ) -> Transition[LeaseGrant | None]:
        """Answer a request at once, or prepare a grant that `send_durable` sends once it is durable."""
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
        """Renew a lease if it has not expired; otherwise the answer has an amount of 0."""
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
        """Send the grants of these leases, whose records are durable now, and start their leases.

        `lease_ids` None stands for all unsent grants.
        """
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
        """End a granted lease that its borrower returns; only that borrower can return it."""
        key = returned.lease_id, sender
        granted = tuple(lease for lease in state.granted if (lease.lease_id, lease.borrower) != key)
        return state._replace(granted=granted)

    # Expiry, restart, and change of a share.

    def without_expired(self, state: QuotaState, now_ms: float) -> QuotaState:
        """Return the state without expired leases and requests."""
        return state._replace(
            granted=tuple(lease for lease in state.granted if now_ms < lease.expires_ms),
            held=tuple(lease for lease in state.held if now_ms < lease.expires_ms),
            pending_requests=self.open_requests(state, now_ms),
        )

    def restarted(
        self, share: float, generation: int, now_ms: float, recorded: tuple[GrantedLease, ...] | None
    ) -> QuotaState:
        """Return the state with which a process starts.

        `recorded`: the leases granted by earlier processes, None if the record may be incomplete.
        """
        expires_ms = now_ms + self.lender_lease_ms()
        if recorded is None:
            return QuotaState(share, generation, share_withheld_until_ms=expires_ms)
        # The time at which each grant was sent is not known on this clock, so it is taken to be now.
        granted = tuple(lease._replace(expires_ms=expires_ms) for lease in recorded)
        return QuotaState(share, generation, granted=granted)

    def with_share(self, state: QuotaState, share: float, *, is_on_all: bool) -> QuotaState:
        """Return the state with another share: a smaller one applies at once, a larger one if `is_on_all`.

        `is_on_all`: whether all members have applied the new shares. Guards the sum of all shares while two
        versions are in use: quota that moves from one member to another would count twice.
        """
        return state._replace(share=share if is_on_all else min(state.share, share))


def find_request(state: QuotaState, lender: str, request_id: SerialNumber) -> PendingLeaseRequest | None:
    """Return the pending request with this id to this lender, or None."""
    for pending in state.pending_requests:
        if pending.request_id == request_id and pending.lender == lender:
            return pending
    return None


def with_renewed(state: QuotaState, lender: str, lease_id: SerialNumber, expires_ms: float) -> QuotaState:
    """Extend a lease if it is still held; one returned in the meantime may be lent to another member."""
    held = tuple(
        lease._replace(expires_ms=max(lease.expires_ms, expires_ms))
        if (lease.lender, lease.lease_id) == (lender, lease_id)
        else lease
        for lease in state.held
    )
    return state._replace(held=held)
