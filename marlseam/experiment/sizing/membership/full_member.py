"""A full member: the real state machine and codec, with their processor time measured."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import astuple, dataclass, field
from typing import NamedTuple

from marlseam.cluster.checking.simulation import PERIOD_MS
from marlseam.cluster.membership import Membership
from marlseam.cluster.membership_codec import GossipEntry, MemberState, MemberStatus, read, write
from marlseam.cluster.membership_types import Effect, SendDatagram
from marlseam.experiment.sizing.cpu_clock import CpuClock

CLUSTER_NAME = "size"
FIRST_GENERATION = 1  # generation of each member's first process


@dataclass
class Usage:
    """The work done by one or more members.

    Attributes:
        ticks, received: timers and received datagrams that were handled.
        sent, sent_bytes: datagrams sent, and their bytes.
        tick_ms, receive_ms: processor time for timers, and for received datagrams.
    """

    ticks: int = 0
    received: int = 0
    sent: int = 0
    sent_bytes: int = 0
    tick_ms: float = 0.0
    receive_ms: float = 0.0

    @property
    def cpu_ms(self) -> float:
        """Processor time for timers and received datagrams together."""
        return self.tick_ms + self.receive_ms

    def __add__(self, other: Usage) -> Usage:
        return Usage(*(one + two for one, two in zip(astuple(self), astuple(other), strict=True)))

    def __sub__(self, other: Usage) -> Usage:
        return Usage(*(one - two for one, two in zip(astuple(self), astuple(other), strict=True)))


class OutgoingDatagram(NamedTuple):
    """An encoded datagram that a member sends."""

    receiver: str
    data: bytes


@dataclass
class FullMember:
    """A member that runs the real state machine.

    Attributes:
        machine: the state machine.
        names: the names of all members.
        clock: the clock that is charged with the member's processor time.
        pending: membership changes that scripted members have not yet sent to this member.
        timer_ms: when the state machine's next timer is due; -1 before the first turn.
        max_datagram_bytes: the length of the longest datagram sent.
        usage: the work done so far.
    """

    machine: Membership
    names: frozenset[str]
    clock: CpuClock = field(default_factory=CpuClock)
    pending: deque[GossipEntry] = field(default_factory=deque)
    timer_ms: float = -1.0
    max_datagram_bytes: int = 0
    usage: Usage = field(default_factory=Usage)

    def tick(self, now_ms: float) -> list[OutgoingDatagram]:
        """Handle the timer, and return the datagrams to send."""
        before_ms = self.clock.cpu_ms
        datagrams = self._take_turn(now_ms, lambda: self.machine.tick(now_ms))
        self.usage.ticks += 1
        self.usage.tick_ms += self.clock.cpu_ms - before_ms
        return datagrams

    def receive(self, now_ms: float, data: bytes) -> list[OutgoingDatagram]:
        """Handle a received datagram, and return the datagrams to send."""
        before_ms = self.clock.cpu_ms
        datagrams = self._take_turn(
            now_ms, lambda: self.machine.receive(now_ms, read(data, CLUSTER_NAME, self.names))
        )
        self.usage.received += 1
        self.usage.receive_ms += self.clock.cpu_ms - before_ms
        return datagrams

    def _take_turn(self, now_ms: float, handle: Callable[[], list[Effect]]) -> list[OutgoingDatagram]:
        """Handle an event in the state machine, encode the datagrams it sends, and read its next timer."""
        effects = self.clock.run(handle)
        datagrams = [self._encode(effect) for effect in effects if isinstance(effect, SendDatagram)]
        self.timer_ms = max(now_ms, self.clock.run(lambda: self.machine.next_ms))
        return datagrams

    def _encode(self, effect: SendDatagram) -> OutgoingDatagram:
        """Encode a datagram, and count it as sent."""
        data = self.clock.run(write, effect.datagram)
        self.usage.sent += 1
        self.usage.sent_bytes += len(data)
        self.max_datagram_bytes = max(self.max_datagram_bytes, len(data))
        return OutgoingDatagram(effect.to, data)


def new_full_member(name: str, names: Sequence[str], seed: int) -> FullMember:
    """Return a member that lists all others as alive and has no gossip left to send about them."""
    all_names = frozenset(names)
    machine = Membership(CLUSTER_NAME, name, all_names, FIRST_GENERATION, seed, PERIOD_MS, 0.0)
    for other in names:
        machine.merge(GossipEntry(other, MemberState(0, FIRST_GENERATION, MemberStatus.ALIVE)))
    machine.gossip.clear()
    return FullMember(machine, all_names)
