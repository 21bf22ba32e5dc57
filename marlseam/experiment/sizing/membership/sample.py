"""A few members of a great cluster in full, among members that are scripted, in virtual time.

A full member is the pure state machine, and each datagram goes through the codec. A scripted one answers at
once, pings as often as a member does, and passes on the changes that failures and restarts make at the rate
that is planned for, so that datagrams carry what they would. It holds no state of others: great clusters fit
one process.
"""

import heapq
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple
from zlib import crc32

from marlseam.cluster.checking.simulation import PERIOD_MS
from marlseam.cluster.membership import Membership
from marlseam.cluster.membership_codec import (
    VERSION,
    Datagram,
    DatagramKind,
    GossipEntry,
    MemberState,
    MemberStatus,
    read,
    write,
)
from marlseam.cluster.membership_types import Effect, SendDatagram
from marlseam.experiment.sizing.cpu_clock import CpuClock
from marlseam.experiment.sizing.plan import (
    PLANNED_SERVERS,
    SECONDS_PER_DAY,
    SERVER_FAILURES_PER_DAY,
    SERVER_RESTARTS_PER_DAY,
)

CLUSTER = "size"
DELIVERY_MS = 1.0  # of a datagram
TIMER_SLACK_MS = 1e-6  # so that what is due at a time has come then, whatever rounding does
REGIONS, ZONES = 6, 22
ZONE_SHARE = 21  # a zone has one in so many members: a thousand at the planned size
GENERATION = 1  # of each first process
PENDING_ENTRIES = 13  # changes at most that a scripted member passes on in one datagram
REFRESH_ENTRIES = 2  # states of other members that it sends beside them, as members do
# Changes a second that one member makes: each that fails or restarts goes, and comes back.
CHANGES_PER_MEMBER_S = (
    2.0 * (SERVER_FAILURES_PER_DAY + SERVER_RESTARTS_PER_DAY) / SECONDS_PER_DAY / PLANNED_SERVERS
)


class ScheduledCall(NamedTuple):
    """A call that is to be made.

    Attributes:
        due_ms: when.
        order: among those that are due at one time.
        call: what is called.
    """

    due_ms: float
    order: int
    call: Callable[[], None]


@dataclass
class FullMember:
    """A member in full.

    Attributes:
        machine: its state machine.
        clock: the processor time that it has used.
        pending: changes that scripted members have yet to tell it.
        timer_ms: when it last asked to be called; -1 if it has not.
    """

    machine: Membership
    clock: CpuClock = field(default_factory=CpuClock)
    pending: deque[GossipEntry] = field(default_factory=deque)
    timer_ms: float = -1.0


class Usage(NamedTuple):
    """What all full members together have done.

    Attributes:
        ticks, received: timers and datagrams that were handled.
        datagrams, bytes: that were sent.
        tick_ms, receive_ms: processor time for timers and for datagrams.
        cpu_ms: processor time in all.
    """

    ticks: int
    received: int
    datagrams: int
    bytes: int
    tick_ms: float
    receive_ms: float
    cpu_ms: float

    def since(self, earlier: "Usage") -> "Usage":
        """Return what was done after an earlier time."""
        return Usage(
            self.ticks - earlier.ticks,
            self.received - earlier.received,
            self.datagrams - earlier.datagrams,
            self.bytes - earlier.bytes,
            self.tick_ms - earlier.tick_ms,
            self.receive_ms - earlier.receive_ms,
            self.cpu_ms - earlier.cpu_ms,
        )


def member_names(count: int) -> list[str]:
    """Return the names of all members."""
    return [f"r{i % REGIONS}-z{i % ZONES:02}-{i:05}" for i in range(count)]


def new_machine(name: str, names: Sequence[str], seed: int) -> Membership:
    """Return a member's state machine that holds all others as alive, and has passed that on."""
    machine = Membership(CLUSTER, name, frozenset(names), GENERATION, seed, PERIOD_MS, 0.0)
    for other in names:
        machine.merge(GossipEntry(other, MemberState(0, GENERATION, MemberStatus.ALIVE)))
    machine.gossip.clear()
    return machine


class MembershipSample:
    """Full members among scripted ones.

    Attributes:
        now_ms: the virtual time.
        names: of all members.
        members: those in full, by name.
        changes: scripted members that have left or come back so far, those of a failed zone apart.
        max_datagram_bytes: the longest datagram of a full member.
    """

    def __init__(self, count: int, full_members: int, seed: int) -> None:
        """Begin with `count` members, all alive; so many run in full."""
        self._seed = seed
        self._draws = self._scheduled_count = 0
        self._scheduled: list[ScheduledCall] = []
        self.now_ms = 0.0
        self.names = member_names(count)
        self._all_names = frozenset(self.names)
        self._generations = dict.fromkeys(self.names, GENERATION)
        self._statuses = dict.fromkeys(self.names, MemberStatus.ALIVE)
        self._away = ""  # the scripted member that has left and comes back with the next change
        self.changes = self.max_datagram_bytes = 0
        self._ticks = self._received = self._datagrams = self._bytes = 0
        self._tick_ms = self._receive_ms = 0.0
        self.members = self._new_members(full_members)
        for name, member in self.members.items():
            self._schedule(member.machine.next_probe_ms, partial(self._tick, name))
            self._schedule(PERIOD_MS * self._random(), partial(self._ping_by_scripted, name))
        self._schedule(self._change_gap_ms(), self._change_membership)

    def run(self, until_ms: float) -> None:
        """Go on until a time."""
        while self._scheduled and self._scheduled[0].due_ms <= until_ms:
            scheduled = heapq.heappop(self._scheduled)
            self.now_ms = scheduled.due_ms
            scheduled.call()
        self.now_ms = until_ms

    def begin_measurement(self) -> Usage:
        """Return what was done so far, and measure the longest turns anew."""
        cpu_ms = sum(member.clock.begin_measurement() for member in self.members.values())
        return Usage(
            self._ticks,
            self._received,
            self._datagrams,
            self._bytes,
            self._tick_ms,
            self._receive_ms,
            cpu_ms,
        )

    def longest_turn_ms(self) -> float:
        """Return the longest turn of any full member since `begin_measurement`."""
        return max(member.clock.longest_turn_ms for member in self.members.values())

    def fail_zone(self) -> None:
        """Have a zone's scripted members fail at once; full members hear that others miss them."""
        half = self.names[len(self.names) // 2 :]
        for name in half[: max(1, len(self.names) // ZONE_SHARE)]:
            if name not in self.members and self._statuses[name] == MemberStatus.ALIVE:
                self._statuses[name] = MemberStatus.DEAD
                self._tell_full_members(name)

    # The virtual time.

    def _schedule(self, due_ms: float, call: Callable[[], None]) -> None:
        """Have a call be made at a time."""
        self._scheduled_count += 1
        heapq.heappush(self._scheduled, ScheduledCall(due_ms, self._scheduled_count, call))

    def _random(self) -> float:
        """Return the next random number in [0, 1)."""
        self._draws += 1
        return crc32(b"cohort:%d:%d" % (self._seed, self._draws)) / 2.0**32

    def _random_name(self) -> str:
        """Return a random member."""
        return self.names[int(self._random() * len(self.names))]

    def _change_gap_ms(self) -> float:
        """Return the time between two changes of who is a member."""
        return 1000.0 / (CHANGES_PER_MEMBER_S * len(self.names))

    # Full members.

    def _new_members(self, count: int) -> dict[str, FullMember]:
        """Return full members, spread over all names; their protocol periods begin at different times."""
        members = {}
        for i, name in enumerate(self.names[:: max(1, len(self.names) // count)][:count]):
            machine = new_machine(name, self.names, crc32(b"%d:%d" % (self._seed, i)))
            machine.next_probe_ms = PERIOD_MS * (i + 0.5) / count
            members[name] = FullMember(machine)
        return members

    def _tick(self, name: str) -> None:
        """Have a member do what is due."""
        member = self.members[name]
        if member.machine.next_ms > self.now_ms + TIMER_SLACK_MS:
            return
        before_ms = member.clock.cpu_ms
        effects = member.clock.run(member.machine.tick, self.now_ms)
        self._ticks += 1
        self._carry_out(name, effects)
        self._tick_ms += member.clock.cpu_ms - before_ms

    def _receive(self, name: str, data: bytes) -> None:
        """Have a member receive a datagram."""
        member = self.members[name]
        before_ms = member.clock.cpu_ms
        effects = member.clock.run(self._read_and_receive, member.machine, data)
        self._received += 1
        self._carry_out(name, effects)
        self._receive_ms += member.clock.cpu_ms - before_ms

    def _read_and_receive(self, machine: Membership, data: bytes) -> list[Effect]:
        """Decode a datagram, and hand it to a state machine."""
        return machine.receive(self.now_ms, read(data, CLUSTER, self._all_names))

    def _carry_out(self, name: str, effects: list[Effect]) -> None:
        """Send a member's datagrams, and set its timer."""
        member = self.members[name]
        for effect in effects:
            if isinstance(effect, SendDatagram):
                data = member.clock.run(write, effect.datagram)
                self._datagrams += 1
                self._bytes += len(data)
                self.max_datagram_bytes = max(self.max_datagram_bytes, len(data))
                self._schedule(self.now_ms + DELIVERY_MS, partial(self._deliver, name, effect.to, data))
        due_ms = max(self.now_ms, member.clock.run(lambda: member.machine.next_ms))
        if member.timer_ms != due_ms:
            member.timer_ms = due_ms
            self._schedule(due_ms + TIMER_SLACK_MS, partial(self._tick, name))

    # Scripted members.

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver a full member's datagram; a scripted member that is alive answers pings and probes."""
        if receiver in self.members:
            self._receive(receiver, data)
            return
        datagram = read(data, CLUSTER, self._all_names)
        is_probe = datagram.kind in (DatagramKind.PING, DatagramKind.ASK)
        if self._statuses[receiver] == MemberStatus.ALIVE and is_probe:
            subject = receiver if datagram.kind == DatagramKind.PING else datagram.subject
            self._send_scripted(receiver, sender, DatagramKind.ACK, datagram.sequence, subject)

    def _send_scripted(
        self, sender: str, receiver: str, kind: DatagramKind, sequence: int, subject: str = ""
    ) -> None:
        """Have a scripted member send a datagram to a full one, with changes and states of others."""
        pending = self.members[receiver].pending
        entries = [pending.popleft() for _ in range(min(PENDING_ENTRIES, len(pending)))]
        for _ in range(REFRESH_ENTRIES):
            other = self._random_name()
            entries.append(GossipEntry(other, self._state(other)))
        datagram = Datagram(VERSION, CLUSTER, sender, self._state(sender), kind, sequence, subject, entries)
        self._schedule(self.now_ms + DELIVERY_MS, partial(self._receive, receiver, write(datagram)))

    def _state(self, name: str) -> MemberState:
        """Return a member's state."""
        if name in self.members:
            return self.members[name].machine.own_state
        generation = self._generations[name]
        return MemberState(generation - 1, generation, self._statuses[name])

    def _ping_by_scripted(self, name: str) -> None:
        """Have a full member be pinged by a scripted one: once a period, as in a cluster of members."""
        sender = self._random_name()
        if sender not in self.members and self._statuses[sender] == MemberStatus.ALIVE:
            self._send_scripted(sender, name, DatagramKind.PING, 1 + self._draws)
        self._schedule(self.now_ms + PERIOD_MS, partial(self._ping_by_scripted, name))

    def _change_membership(self) -> None:
        """Have a scripted member leave, or the one that left come back as another process."""
        self._schedule(self.now_ms + self._change_gap_ms(), self._change_membership)
        name = self._away or self._random_name()
        if name in self.members:
            return
        self.changes += 1
        if self._away:
            self._generations[name] += 1
            self._statuses[name] = MemberStatus.ALIVE
            self._away = ""
        else:
            self._statuses[name] = MemberStatus.LEFT
            self._away = name
        self._tell_full_members(name)

    def _tell_full_members(self, name: str) -> None:
        """Have each full member hear of a changed member with the next datagrams that it gets."""
        for member in self.members.values():
            member.pending.append(GossipEntry(name, self._state(name)))
