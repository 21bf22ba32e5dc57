"""Failure detection and membership of a cluster, as one member sees it; pure: no clock, no socket.

SWIM (Das, Gupta, Motivala 2002): in each protocol period one member, in a shuffled order, is pinged. A member
that does not answer is probed indirectly through others (ping-req); if that fails too, it is suspected, and
declared dead unless it refutes the suspicion before the timeout. Member states are piggybacked on these
datagrams as gossip.

From Lifeguard (Dadgar, Phillips, Currey 2017): a member that misses answers first suspects its own health and
waits longer (local health multiplier), a suspicion times out sooner the more members confirm it, and a
datagram to a suspected member carries its suspicion first. docs/design/fleet.md describes what was kept and
changed, and the bounds.

Times are in ms on the member's own clock. The possible members are configured; which of them are alive is
detected.
"""

from math import inf, log, log10

from marlseam.cluster.dissemination import GossipQueue
from marlseam.cluster.membership_codec import (
    MAX_GOSSIP_ENTRIES,
    MAX_NUMBER,
    VERSION,
    Datagram,
    DatagramKind,
    GossipEntry,
    MemberState,
    MemberStatus,
)
from marlseam.cluster.membership_types import (
    DuplicateMember,
    Effect,
    Member,
    MemberChanged,
    PendingProbe,
    SendDatagram,
)
from marlseam.random_source import RandomSource

INDIRECT_PROBES = 3  # helpers that probe a member indirectly
INDIRECT_PROBE_AFTER_PERIODS = 0.3  # protocol periods without an ack until indirect probes are requested
PROBE_TIMEOUT_PERIODS = 0.9  # protocol periods after which a probe counts as missed
NACK_AFTER_PERIODS = 0.25  # protocol periods without an ack until a helper answers with a nack
MIN_SUSPICION_PERIODS = 2.0  # shortest suspicion timeout, in protocol periods per power of ten of the members
MAX_SUSPICION_IN_MINIMA = 3.0  # longest suspicion timeout, as a multiple of the shortest
SUSPICION_CONFIRMATIONS = 3  # confirmations by other members with which the suspicion timeout is shortest
MAX_LOCAL_HEALTH = 3  # bound of the local health multiplier minus 1; 0 is healthy
REFRESH_ENTRIES = 2  # members per datagram that are sent in turn, changed or not
MAX_GAP_PERIODS = 2.0  # protocol periods between two events; after a longer gap the process was stopped


class Membership:
    """The membership state machine of one member.

    Call `tick` at `next_ms` and `receive` for each datagram; both return effects to carry out.

    Attributes:
        cluster, name: name of the cluster, and name of this member.
        own_state: the state of this member, as it announces it.
        members: the view of each other possible member, by name.
        pending_probes: unanswered pings, by sequence number.
        local_health: Lifeguard's local health score, 0 (healthy) to `MAX_LOCAL_HEALTH`; each step adds one
            `period_ms` to the protocol period, and probe timeouts grow in proportion.
        gossip: the queue of changes to send to others.
        suspected: names of the members whose suspicion has not timed out.
        next_probe_ms: when the next protocol period begins.
    """

    def __init__(
        self,
        cluster: str,
        name: str,
        names: frozenset[str],
        generation: int,
        seed: int,
        period_ms: float,
        now_ms: float,
    ) -> None:
        """Start as a process of member `name`; `generation` must differ from that of each earlier process."""
        self.cluster, self.name = cluster, name
        self.random = RandomSource(f"{seed}:{name}")
        self.period_ms, self.now_ms, self.last_event_ms = period_ms, now_ms, now_ms
        self.own_state = MemberState(0, generation, MemberStatus.ALIVE)
        self.members: dict[str, Member] = {}
        self.pending_probes: dict[int, PendingProbe] = {}
        self.sequence = self.local_health = 0
        self.gossip = GossipQueue()
        self.next_probe_ms = now_ms
        self.effects: list[Effect] = []
        self.suspected: set[str] = set()
        self.set_members(names)

    def set_members(self, names: frozenset[str]) -> None:
        """Replace the names of the possible members; all state of removed members is dropped."""
        for name in self.members.keys() - names:
            del self.members[name]
            self.suspected.discard(name)
            self.gossip.discard(name)
            for member in self.members.values():
                member.suspected_by.pop(name, None)
        self.pending_probes = {
            sequence: probe for sequence, probe in self.pending_probes.items() if probe.name in self.members
        }
        for name in sorted(names - {self.name} - self.members.keys()):
            self.members[name] = Member(since_ms=self.now_ms)
        self.names = sorted(self.members)
        self.gossip.resize(len(self.members))
        # Shuffled orders, refilled when empty, so that the cost of a datagram does not grow with the cluster.
        self.alive_probe_order: list[str] = []
        self.dead_probe_order: list[str] = []
        self.refresh_order: list[str] = []

    # Queries.

    @property
    def next_ms(self) -> float:
        """When `tick` is due, in ms."""
        suspicions = [self.members[name].suspicion_ends_ms for name in self.suspected]
        probes = [min(probe.times_out_ms, probe.indirect_ms) for probe in self.pending_probes.values()]
        return min([self.next_probe_ms, *suspicions, *probes])

    def is_alive(self, name: str) -> bool:
        """Return whether another member counts as alive; a suspected member does."""
        return self.members[name].is_alive

    def alive_members(self) -> list[str]:
        """Return the names of the other members that count as alive, sorted."""
        return [name for name in self.names if self.is_alive(name)]

    def random_alive(self, count: int, excluded: str = "") -> list[str]:
        """Return up to `count` random members that are alive; the cost does not grow with the cluster.

        Returns fewer if `4 * count` random draws do not give enough.
        """
        found: dict[str, None] = {}
        for _ in range(4 * count if self.names else 0):
            name = self.names[int(self.random() * len(self.names))]
            if len(found) < count and name != excluded and self.is_alive(name):
                found[name] = None
        return list(found)

    def suspicion_ms(self, confirmations: int) -> float:
        """Return the suspicion timeout in ms, given the number of confirmations by other members."""
        shortest = MIN_SUSPICION_PERIODS * max(1.0, log10(1.0 + len(self.members))) * self.period_ms
        share = min(1.0, log(1.0 + confirmations) / log(1.0 + SUSPICION_CONFIRMATIONS))
        longest = MAX_SUSPICION_IN_MINIMA * shortest
        return max(shortest, longest - (MAX_SUSPICION_IN_MINIMA - 1.0) * shortest * share)

    def scaled_period_ms(self) -> float:
        """Return the protocol period times the local health multiplier, in ms."""
        return self.period_ms * (1.0 + self.local_health)

    def shuffled(self, names: list[str]) -> list[str]:
        """Return names in a random order."""
        return [name for _, name in sorted((self.random(), name) for name in names)]

    # Events.

    def tick(self, now_ms: float) -> list[Effect]:
        """Advance probes, end suspicions that have timed out, and begin the next protocol period if due."""
        self.begin_event(now_ms)
        self.advance_probes()
        for name in sorted(self.suspected):
            member = self.members[name]
            if member.suspicion_ends_ms <= now_ms:
                self.merge(GossipEntry(name, member.state_as(MemberStatus.DEAD)))
        if self.next_probe_ms <= now_ms:
            self.next_probe_ms = now_ms + self.scaled_period_ms()
            self.start_probes()
        return self.effects

    def receive(self, now_ms: float, datagram: Datagram) -> list[Effect]:
        """Handle a datagram; one from a sender that is no member has no effect."""
        self.begin_event(now_ms)
        if datagram.sender == self.name:
            # Another process under this member's name, or a datagram of its own that came back.
            self.refute(datagram.sender_state)
            return self.effects
        member = self.members.get(datagram.sender)
        if member is None:
            # While members change, others may still have a removed member, or already have a new one.
            return self.effects
        member.last_datagram_ms = now_ms
        self.merge(GossipEntry(datagram.sender, datagram.sender_state))
        for entry in datagram.entries:
            self.merge(entry)
        if datagram.kind == DatagramKind.PING:
            self.send(datagram.sender, DatagramKind.ACK, datagram.sequence, self.name)
        elif datagram.kind == DatagramKind.ASK and datagram.subject in self.members:
            self.ping(datagram.subject, datagram.sender, datagram.sequence)
        elif datagram.kind == DatagramKind.ACK:
            self.handle_ack(datagram)
        elif datagram.kind == DatagramKind.NACK:
            self.handle_nack(datagram)
        return self.effects

    def leave(self, now_ms: float) -> list[Effect]:
        """Announce to some random members that this one leaves the cluster."""
        self.begin_event(now_ms)
        self.own_state = MemberState(self.own_state.incarnation, self.own_state.generation, MemberStatus.LEFT)
        for name in self.random_alive(INDIRECT_PROBES + 1):
            self.send(name, DatagramKind.PING, 0)
        return self.effects

    def begin_event(self, now_ms: float) -> None:
        """Record the time of an event, and detect whether this process was stopped since the last one.

        Guards other members against a process that was stopped: the answers that it missed are no evidence
        against them, so its pending probes are dropped and its suspicions are extended by the gap.
        """
        gap_ms, self.effects = now_ms - self.last_event_ms, []
        if gap_ms > MAX_GAP_PERIODS * self.scaled_period_ms():
            self.pending_probes.clear()
            self.worsen_health()
            for name in self.suspected:
                self.members[name].suspicion_ends_ms += gap_ms
        self.now_ms = self.last_event_ms = now_ms

    # Probes.

    def start_probes(self) -> None:
        """Ping the next alive member in order, and one that is not alive, as it may have come back."""
        name = self.next_in_order(self.alive_probe_order, alive=True)
        if name:
            self.ping(name)
        name = self.next_in_order(self.dead_probe_order, alive=False)
        if name:
            self.send(name, DatagramKind.PING, 0)

    def next_in_order(self, order: list[str], *, alive: bool) -> str:
        """Remove and return the next member of an order that is, or is not, alive; "" if there is none.

        An empty order is refilled with all such members, shuffled.
        """
        for _ in range(2):
            while order:
                name = order.pop()
                if self.is_alive(name) is alive:
                    return name
            order += self.shuffled([name for name in self.names if self.is_alive(name) is alive])
        return ""

    def ping(self, name: str, requester: str = "", requester_sequence: int = 0) -> None:
        """Ping a member, on this member's own behalf or for a requester."""
        self.sequence += 1
        if requester:
            times_out_ms = self.now_ms + NACK_AFTER_PERIODS * self.period_ms
            probe = PendingProbe(name, times_out_ms, inf, requester, requester_sequence)
        else:
            period_ms = self.scaled_period_ms()
            probe = PendingProbe(
                name,
                times_out_ms=self.now_ms + PROBE_TIMEOUT_PERIODS * period_ms,
                indirect_ms=self.now_ms + INDIRECT_PROBE_AFTER_PERIODS * period_ms,
            )
        self.pending_probes[self.sequence] = probe
        self.send(name, DatagramKind.PING, self.sequence)

    def advance_probes(self) -> None:
        """Request indirect probes where a direct answer is late, and end the probes that have timed out."""
        for sequence, probe in list(self.pending_probes.items()):
            if probe.indirect_ms <= self.now_ms:
                probe.indirect_ms = inf
                helpers = self.random_alive(INDIRECT_PROBES, probe.name)
                probe.awaited_nacks = len(helpers)
                for helper in helpers:
                    self.send(helper, DatagramKind.ASK, sequence, probe.name)
            if probe.times_out_ms <= self.now_ms:
                del self.pending_probes[sequence]
                self.handle_missed(probe)

    def handle_missed(self, probe: PendingProbe) -> None:
        """Handle a probe without an answer: suspect the member, or send a nack to the requester."""
        if probe.requester:
            if probe.requester in self.members:
                self.send(probe.requester, DatagramKind.NACK, probe.requester_sequence, probe.name)
            return
        # Helpers that did not send a nack either are evidence against this member's own network, not against
        # the probed member.
        if probe.awaited_nacks:
            self.worsen_health()
        member = self.members[probe.name]
        if member.is_alive:
            self.merge(GossipEntry(probe.name, member.state_as(MemberStatus.SUSPECT), self.name))

    def handle_ack(self, datagram: Datagram) -> None:
        """End the probe that an ack answers, and forward the ack to the requester of the probe, if any."""
        probe = self.pending_probes.get(datagram.sequence)
        if probe is None or probe.name != datagram.subject:
            return
        del self.pending_probes[datagram.sequence]
        if probe.requester in self.members:
            self.send(probe.requester, DatagramKind.ACK, probe.requester_sequence, probe.name)
        elif not probe.requester:
            self.local_health = max(0, self.local_health - 1)

    def handle_nack(self, datagram: Datagram) -> None:
        """Count a helper that answered although the probed member did not answer it."""
        probe = self.pending_probes.get(datagram.sequence)
        if probe is not None:
            probe.awaited_nacks = max(0, probe.awaited_nacks - 1)

    def worsen_health(self) -> None:
        """Raise the local health score by one step, up to `MAX_LOCAL_HEALTH`."""
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)

    # Merging of states.

    def refute(self, state: MemberState) -> None:
        """Refute a wrong state that others hold of this member, by a higher incarnation."""
        if state < self.own_state or self.own_state.status == MemberStatus.LEFT:
            return
        if state.generation == self.own_state.generation:
            if state.status == MemberStatus.ALIVE:
                return
            self.worsen_health()  # others missed this member's answers: its own network may be faulty
        if state.incarnation < MAX_NUMBER:
            self.own_state = MemberState(state.incarnation + 1, self.own_state.generation, MemberStatus.ALIVE)

    def merge(self, entry: GossipEntry) -> None:
        """Adopt a member's state if it overrides the current one, or count it as confirming a suspicion."""
        if entry.name == self.name:
            self.refute(entry.state)
            return
        member = self.members.get(entry.name)
        if member is None:
            return
        if member.state is None or entry.state > member.state:
            self.replace_state(member, entry)
        elif (
            entry.state == member.state and entry.state.status == MemberStatus.SUSPECT and entry.suspected_by
        ):
            self.confirm_suspicion(entry.name, member, entry.suspected_by)

    def replace_state(self, member: Member, entry: GossipEntry) -> None:
        """Adopt a greater state of a member, queue it as gossip, and begin or end its suspicion."""
        before, state = member.state, entry.state
        member.state, member.since_ms = state, self.now_ms
        if before is not None and before.generation != state.generation:
            if state.generation == member.former_generation:
                self.effects.append(DuplicateMember(entry.name, state.generation))
            member.former_generation = before.generation
        if before is None and state.status == MemberStatus.ALIVE:
            self.gossip.publish_once(entry.name)
        else:
            self.gossip.publish(entry.name)
        self.suspected.discard(entry.name)
        member.suspected_by, member.suspicion_ends_ms = {}, inf
        if state.status == MemberStatus.SUSPECT:
            self.suspected.add(entry.name)
            member.suspicion_ends_ms = self.now_ms + self.suspicion_ms(0)
            self.confirm_suspicion(entry.name, member, entry.suspected_by or self.name)
        if before is None or (before.status, before.generation) != (state.status, state.generation):
            self.effects.append(MemberChanged(entry.name, state))

    def confirm_suspicion(self, name: str, member: Member, reporter: str) -> None:
        """Add a member that reports a suspicion: the more report it, the sooner it times out."""
        if reporter in member.suspected_by or len(member.suspected_by) > SUSPICION_CONFIRMATIONS:
            return
        member.suspected_by[reporter] = None
        timeout_ms = self.suspicion_ms(len(member.suspected_by) - 1)
        member.suspicion_ends_ms = min(member.suspicion_ends_ms, member.since_ms + timeout_ms)
        self.gossip.publish(name)

    # Sending.

    def send(self, receiver: str, kind: DatagramKind, sequence: int, subject: str = "") -> None:
        """Send a datagram with piggybacked gossip."""
        entries = self.piggyback(receiver)
        datagram = Datagram(
            VERSION, self.cluster, self.name, self.own_state, kind, sequence, subject, entries
        )
        self.effects.append(SendDatagram(receiver, datagram))

    def piggyback(self, receiver: str) -> list[GossipEntry]:
        """Return gossip: first what the receiver would refute, then changes, then some members in turn."""
        first = [receiver] if receiver in self.members and self.would_refute(receiver) else []
        changed = self.gossip.next_batch(MAX_GOSSIP_ENTRIES - REFRESH_ENTRIES - 1)
        if not self.refresh_order:
            known = [name for name, member in self.members.items() if member.state is not None]
            self.refresh_order = self.shuffled(known)
        refreshed = [self.refresh_order.pop() for _ in range(min(REFRESH_ENTRIES, len(self.refresh_order)))]
        return [self.entry_of(name) for name in dict.fromkeys([*first, *changed, *refreshed])]

    def would_refute(self, name: str) -> bool:
        """Return whether a member has a known state that is not alive, which it would refute."""
        state = self.members[name].state
        return state is not None and state.status != MemberStatus.ALIVE

    def entry_of(self, name: str) -> GossipEntry:
        """Return the state of a member as a gossip entry; requires that the member has a state."""
        member = self.members[name]
        assert member.state is not None
        if member.state.status != MemberStatus.SUSPECT:
            return GossipEntry(name, member.state)
        by = self.name if self.name in member.suspected_by else next(iter(member.suspected_by), "")
        return GossipEntry(name, member.state, by)
