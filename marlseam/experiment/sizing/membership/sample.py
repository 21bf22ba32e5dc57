"""A few full members of a large cluster, among scripted members, in virtual time.

A scripted member answers at once, pings as often as a real member does, and passes on the changes that
failures and restarts cause at the planned rate, so that datagrams carry as many entries as in a real cluster.
A scripted member holds no state of other members, so that large clusters fit in one process.
"""

import heapq
from collections.abc import Callable
from functools import partial
from typing import NamedTuple
from zlib import crc32

from marlseam.cluster.checking.simulation import PERIOD_MS
from marlseam.cluster.membership_codec import VERSION, Datagram, DatagramKind, GossipEntry, MemberState
from marlseam.cluster.membership_codec import read as read_datagram
from marlseam.cluster.membership_codec import write as write_datagram
from marlseam.experiment.sizing.membership.full_member import (
    CLUSTER_NAME,
    FullMember,
    OutgoingDatagram,
    Usage,
    new_full_member,
)
from marlseam.experiment.sizing.membership.scripted_members import MemberDraws, ScriptedMembers, member_names

DELIVERY_MS = 1.0  # time from sending a datagram to its receipt
TIMER_SLACK_MS = 1e-6  # added to timers, so that rounding never makes a timer fire before it is due
PENDING_ENTRIES = 13  # most changes that a scripted member passes on in one datagram
REFRESH_ENTRIES = 2  # states of other members sent in addition, as real members do


class ScheduledCall(NamedTuple):
    """A call that is made at a later time.

    Attributes:
        due_ms: the virtual time of the call.
        order: the order among calls that are due at the same time.
        call: the function to call.
    """

    due_ms: float
    order: int
    call: Callable[[], None]


class MembershipSample:
    """Full members among scripted ones.

    Attributes:
        now_ms: the virtual time.
        names: the names of all members.
        members: the full members, by name.
        scripted: the scripted members.
    """

    def __init__(self, count: int, full_members: int, seed: int) -> None:
        """Create `count` members, all alive; `full_members` of them are full members."""
        self.now_ms = 0.0
        self.names = member_names(count)
        self._all_names = frozenset(self.names)
        self._scheduled: list[ScheduledCall] = []
        self._scheduled_count = 0
        self._draws = MemberDraws(seed, self.names)
        self.members = self._new_members(full_members, seed)
        self.scripted = ScriptedMembers(self.names, frozenset(self.members), self._draws)
        for name, member in self.members.items():
            self._schedule(member.machine.next_probe_ms, partial(self._tick, name))
            self._schedule(PERIOD_MS * self._draws.number(), partial(self._ping_by_scripted, name))
        self._schedule(self.scripted.change_gap_ms, self._change_membership)

    def run(self, until_ms: float) -> None:
        """Make all calls that are due by `until_ms`, and advance the virtual time to it."""
        while self._scheduled and self._scheduled[0].due_ms <= until_ms:
            scheduled = heapq.heappop(self._scheduled)
            self.now_ms = scheduled.due_ms
            scheduled.call()
        self.now_ms = until_ms

    def begin_measurement(self) -> Usage:
        """Reset the longest turns, and return the work done by all full members so far."""
        for member in self.members.values():
            member.clock.begin_measurement()
        return sum((member.usage for member in self.members.values()), Usage())

    def longest_turn_ms(self) -> float:
        """Return the longest turn of any full member since `begin_measurement`."""
        return max(member.clock.longest_turn_ms for member in self.members.values())

    def max_datagram_bytes(self) -> int:
        """Return the length of the longest datagram that any full member has sent."""
        return max(member.max_datagram_bytes for member in self.members.values())

    def fail_zone(self) -> None:
        """Make a zone's scripted members fail at once; full members receive these changes from the others."""
        for name in self.scripted.fail_zone():
            self._queue_change(name)

    def _new_members(self, count: int, seed: int) -> dict[str, FullMember]:
        """Return full members, spread over all names; their protocol periods begin at different times."""
        members = {}
        for i, name in enumerate(self.names[:: max(1, len(self.names) // count)][:count]):
            member = new_full_member(name, self.names, crc32(b"%d:%d" % (seed, i)))
            member.machine.next_probe_ms = PERIOD_MS * (i + 0.5) / count
            members[name] = member
        return members

    def _schedule(self, due_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call at a virtual time."""
        self._scheduled_count += 1
        heapq.heappush(self._scheduled, ScheduledCall(due_ms, self._scheduled_count, call))

    # Full members.

    def _tick(self, name: str) -> None:
        """Handle a member's timer, unless it has been set to a later time since the call was scheduled."""
        member = self.members[name]
        if member.machine.next_ms > self.now_ms + TIMER_SLACK_MS:
            return
        former_timer_ms = member.timer_ms
        self._send_and_reschedule(name, member.tick(self.now_ms), former_timer_ms)

    def _receive(self, name: str, data: bytes) -> None:
        """Deliver a datagram to a full member."""
        member = self.members[name]
        former_timer_ms = member.timer_ms
        self._send_and_reschedule(name, member.receive(self.now_ms, data), former_timer_ms)

    def _send_and_reschedule(
        self, name: str, datagrams: list[OutgoingDatagram], former_timer_ms: float
    ) -> None:
        """Send a full member's datagrams, and schedule its timer if the timer has changed."""
        for receiver, data in datagrams:
            self._schedule(self.now_ms + DELIVERY_MS, partial(self._deliver, name, receiver, data))
        timer_ms = self.members[name].timer_ms
        if timer_ms != former_timer_ms:
            self._schedule(timer_ms + TIMER_SLACK_MS, partial(self._tick, name))

    def _queue_change(self, name: str) -> None:
        """Queue a change of a member for each full member, to be sent with the next datagrams to it."""
        for member in self.members.values():
            member.pending.append(GossipEntry(name, self._state(name)))

    # Scripted members.

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver a full member's datagram; a live scripted member answers pings and indirect probes."""
        if receiver in self.members:
            self._receive(receiver, data)
            return
        datagram = read_datagram(data, CLUSTER_NAME, self._all_names)
        is_probe = datagram.kind in (DatagramKind.PING, DatagramKind.ASK)
        if is_probe and self.scripted.is_alive(receiver):
            subject = receiver if datagram.kind == DatagramKind.PING else datagram.subject
            self._send_scripted(receiver, sender, DatagramKind.ACK, datagram.sequence, subject)

    def _send_scripted(
        self, sender: str, receiver: str, kind: DatagramKind, sequence: int, subject: str = ""
    ) -> None:
        """Send a datagram of a scripted member to a full one, with pending changes and others' states."""
        pending = self.members[receiver].pending
        entries = [pending.popleft() for _ in range(min(PENDING_ENTRIES, len(pending)))]
        for _ in range(REFRESH_ENTRIES):
            other = self._draws.name()
            entries.append(GossipEntry(other, self._state(other)))
        datagram = Datagram(
            VERSION, CLUSTER_NAME, sender, self._state(sender), kind, sequence, subject, entries
        )
        data = write_datagram(datagram)
        self._schedule(self.now_ms + DELIVERY_MS, partial(self._receive, receiver, data))

    def _state(self, name: str) -> MemberState:
        """Return the state of a full or scripted member."""
        if name in self.members:
            return self.members[name].machine.own_state
        return self.scripted.state(name)

    def _ping_by_scripted(self, name: str) -> None:
        """Ping a full member from a scripted one, once per protocol period as full members would."""
        sender = self._draws.name()
        if self.scripted.is_alive(sender):
            self._send_scripted(sender, name, DatagramKind.PING, 1 + self._draws.count)
        self._schedule(self.now_ms + PERIOD_MS, partial(self._ping_by_scripted, name))

    def _change_membership(self) -> None:
        """Make a scripted member leave or come back, and queue the change for all full members."""
        self._schedule(self.now_ms + self.scripted.change_gap_ms, self._change_membership)
        name = self.scripted.change_one()
        if name is not None:
            self._queue_change(name)
