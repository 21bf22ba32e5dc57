"""Who of a fleet is there, as one of its members finds out; pure: no clock, no socket.

SWIM (Das, Gupta, Motivala 2002): in each period one member, in a shuffled turn, is pinged; one that does not
answer is asked for by others; then it is suspected, and counts as gone if it does not refute that in time.
What is known travels with these letters. From Lifeguard (Dadgar, Phillips, Currey 2017): whoever misses
answers looks at itself first and waits longer, a suspicion ends sooner the more members share it, and a
member is told what is said of it. docs/design/fleet.md has what was kept and changed, and the bounds.

Times in ms on the member's own clock. Who may belong is in the settings; who is there is found out.
"""

from collections import deque
from dataclasses import dataclass, field
from math import ceil, inf, log, log2, log10
from typing import NamedTuple

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
from marlseam.random_source import RandomSource

HELPERS = 3  # members that are asked to ask
DIRECT = 0.3  # of a period, after which they are asked
NACK_AT = 0.25  # of a period, after which one that asks for another says that it has not heard
LEAST = 2.0  # shortest suspicion, in periods and powers of ten of members
MOST = 3.0  # longest, in the shortest
SHARED = 3  # others that must share a suspicion for the shortest
HEALTH_MOST = 3  # how much longer one waits that doubts itself, in its ordinary waits
TELLINGS = 4.0  # how often a change is passed on, in powers of two of members
OLD = 2  # rumours in a letter on members whose turn it is, changed or not: mends what loss has hidden
LATE = 2.0  # periods between two looks from which a process must have been stopped


class SendDatagram(NamedTuple):
    """Send a letter to a member."""

    to: str
    letter: Datagram


class MemberChanged(NamedTuple):
    """A member's standing is another, or another process has taken its name."""

    name: str
    claim: MemberState


class DuplicateMember(NamedTuple):
    """Two processes act under one name: a life that another had followed spoke again."""

    name: str
    life: int


Effect = SendDatagram | MemberChanged | DuplicateMember


@dataclass(slots=True)
class Member:
    """What is held of one member."""

    claim: MemberState | None = None  # nothing heard of it yet
    since_ms: float = 0.0  # when that claim came to hold
    heard_ms: float = -inf  # its last letter
    suspects: dict[str, None] = field(default_factory=dict)
    ends_ms: float = inf  # of the suspicion
    former: int = -1  # the life before this one


@dataclass(slots=True)
class PendingProbe:
    """A ping that is out, for ourselves or for another."""

    name: str
    due_ms: float  # when it counts as missed
    ask_ms: float = inf  # when others are asked
    asker: str = ""
    asker_seq: int = 0
    nacks: int = 0  # helpers that have not said yet that they heard nothing


class Membership:
    """One member's machine: `tick` when `next_ms` has come, `heard` for each letter; both return effects."""

    def __init__(
        self, fleet: str, me: str, names: frozenset[str], life: int, seed: int, period_ms: float, now: float
    ) -> None:
        self.fleet, self.me, self.chance = fleet, me, RandomSource(f"{seed}:{me}")
        self.period_ms, self.now, self.looked_ms = period_ms, now, now
        self.own = MemberState(0, life, MemberStatus.HERE)
        self.members: dict[str, Member] = {}
        self.looks: dict[int, PendingProbe] = {}
        self.seq = self.health = 0
        self.news: dict[str, int] = {}  # members with news to pass on, and how often it was
        self.telling: deque[str] = deque()  # the same, what was told least first
        self.next_probe_ms = now
        self.effects: list[Effect] = []
        self.suspected: set[str] = set()
        self.regroup(names)

    def regroup(self, names: frozenset[str]) -> None:
        """Take in who may belong from now on; of others nothing is kept."""
        for name in self.members.keys() - names:
            del self.members[name]
            self.suspected.discard(name)
            if self.news.pop(name, None) is not None:
                self.telling.remove(name)
            for member in self.members.values():
                member.suspects.pop(name, None)
        self.looks = {seq: look for seq, look in self.looks.items() if look.name in self.members}
        for name in sorted(names - {self.me} - self.members.keys()):
            self.members[name] = Member(since_ms=self.now)
        self.names = sorted(self.members)
        self.most = ceil(TELLINGS * log2(2.0 + len(self.members)))  # how often a change is passed on
        # Orders of chance, made anew when one is used up: cost a letter does not grow with the fleet.
        self.turn: list[str] = []  # of those that are there, to be pinged
        self.turn_away: list[str] = []  # of those that are not
        self.turn_old: list[str] = []  # of all that anything is held of, to be told of

    # Figures.

    @property
    def next_ms(self) -> float:
        """When `tick` is due."""
        ends = [self.members[name].ends_ms for name in self.suspected]
        looks = [min(look.due_ms, look.ask_ms) for look in self.looks.values()]
        return min([self.next_probe_ms, *ends, *looks])

    def is_here(self, name: str) -> bool:
        """Return whether a member counts as there."""
        claim = self.members[name].claim
        return claim is not None and claim.standing <= MemberStatus.SUSPECT

    def here(self) -> list[str]:
        """Return the members that count as there, ourselves apart."""
        return [name for name in self.names if self.is_here(name)]

    def some(self, count: int, but: str = "") -> list[str]:
        """Return up to so many members that are there, by chance; few looks, however many there are."""
        found: dict[str, None] = {}
        for _ in range(4 * count if self.names else 0):
            name = self.names[int(self.chance() * len(self.names))]
            if len(found) < count and name != but and self.is_here(name):
                found[name] = None
        return list(found)

    def suspicion_ms(self, shared: int) -> float:
        """Return how long a suspicion lasts that so many others share."""
        least = LEAST * max(1.0, log10(1.0 + len(self.members))) * self.period_ms
        share = min(1.0, log(1.0 + shared) / log(1.0 + SHARED))
        return max(least, MOST * least - (MOST - 1.0) * least * share)

    def wait_ms(self) -> float:
        """Return a period as this member takes it, longer where it doubts itself."""
        return self.period_ms * (1.0 + self.health)

    def shuffled(self, names: list[str]) -> list[str]:
        """Return names in an order of chance."""
        return [name for _, name in sorted((self.chance(), name) for name in names)]

    # Events.

    def tick(self, now: float) -> list[Effect]:
        """Do what is due."""
        self.begin(now)
        for seq, look in list(self.looks.items()):
            if look.ask_ms <= now:
                look.ask_ms = inf
                helpers = self.some(HELPERS, look.name)
                look.nacks = len(helpers)
                for helper in helpers:
                    self.say(helper, DatagramKind.ASK, seq, look.name)
            if look.due_ms <= now:
                del self.looks[seq]
                self.missed(look)
        for name in sorted(self.suspected):
            member = self.members[name]
            if member.ends_ms <= now:
                self.take(GossipEntry(name, self.held(member, MemberStatus.GONE)))
        if self.next_probe_ms <= now:
            self.next_probe_ms = now + self.wait_ms()
            self.probe()
        return self.effects

    def begin(self, now: float) -> None:
        """Note the time. One that was stopped has no evidence against others: their time starts anew."""
        gap, self.effects = now - self.looked_ms, []
        if gap > LATE * self.wait_ms():
            self.looks.clear()
            self.health = min(HEALTH_MOST, self.health + 1)
            for name in self.suspected:
                self.members[name].ends_ms += gap
        self.now = self.looked_ms = now

    def probe(self) -> None:
        """Ping the next in turn, and one of those that are not there, which may be again."""
        self.turn, name = self.next_in(self.turn, True)
        if name:
            self.ping(name)
        self.turn_away, name = self.next_in(self.turn_away, False)
        if name:
            self.say(name, DatagramKind.PING, 0)

    def next_in(self, turn: list[str], here: bool) -> tuple[list[str], str]:
        """Return the rest of an order and its next that is there, or is not; a new order after the last."""
        for _ in range(2):
            while turn:
                name = turn.pop()
                if self.is_here(name) is here:
                    return turn, name
            turn = self.shuffled([name for name in self.names if self.is_here(name) is here])
        return turn, ""

    def ping(self, name: str, asker: str = "", asker_seq: int = 0) -> None:
        """Ping a member, for ourselves or for another."""
        self.seq += 1
        if asker:
            look = PendingProbe(name, self.now + NACK_AT * self.period_ms, inf, asker, asker_seq)
        else:
            wait = self.wait_ms()
            look = PendingProbe(name, self.now + 0.9 * wait, self.now + DIRECT * wait)
        self.looks[self.seq] = look
        self.say(name, DatagramKind.PING, self.seq)

    def missed(self, look: PendingProbe) -> None:
        """Take in that a ping has no answer."""
        if look.asker:
            if look.asker in self.members:
                self.say(look.asker, DatagramKind.NACK, look.asker_seq, look.name)
            return
        # Helpers that say nothing either speak against our own way, not against the member.
        self.health = min(HEALTH_MOST, self.health + min(1, look.nacks))
        member = self.members[look.name]
        if member.claim is not None and member.claim.standing <= MemberStatus.SUSPECT:
            self.take(GossipEntry(look.name, self.held(member, MemberStatus.SUSPECT), self.me))

    def held(self, member: Member, standing: MemberStatus) -> MemberState:
        """Return the claim on a member with another standing."""
        return MemberState(member.claim.incarnation, member.claim.life, standing)

    def heard(self, now: float, letter: Datagram) -> list[Effect]:
        """Take in a letter."""
        self.begin(now)
        if letter.sender == self.me:
            # Another process under our name, or a letter of our own that came back.
            self.claimed(letter.own)
            return self.effects
        member = self.members.get(letter.sender)
        if member is None:
            return self.effects  # it belonged, or is to: others know it already, or still
        member.heard_ms = now
        self.take(GossipEntry(letter.sender, letter.own))
        for rumour in letter.rumours:
            self.take(rumour)
        if letter.kind == DatagramKind.PING:
            self.say(letter.sender, DatagramKind.ACK, letter.seq, self.me)
        elif letter.kind == DatagramKind.ASK and letter.about in self.members:
            self.ping(letter.about, letter.sender, letter.seq)
        elif letter.kind == DatagramKind.ACK:
            look = self.looks.get(letter.seq)
            if look is not None and look.name == letter.about:
                del self.looks[letter.seq]
                if look.asker in self.members:
                    self.say(look.asker, DatagramKind.ACK, look.asker_seq, look.name)
                elif not look.asker:
                    self.health = max(0, self.health - 1)
        elif letter.kind == DatagramKind.NACK:
            look = self.looks.get(letter.seq)
            if look is not None:
                look.nacks = max(0, look.nacks - 1)
        return self.effects

    def leave(self, now: float) -> list[Effect]:
        """Say goodbye."""
        self.begin(now)
        self.own = MemberState(self.own.incarnation, self.own.life, MemberStatus.LEFT)
        for name in self.some(HELPERS + 1):
            self.say(name, DatagramKind.PING, 0)
        return self.effects

    # What is said.

    def claimed(self, claim: MemberState) -> None:
        """Hear a claim on ourselves: one that is not ours, or no praise, is refuted by a new incarnation."""
        if claim < self.own or self.own.standing == MemberStatus.LEFT:
            return
        if claim.life == self.own.life and claim.standing == MemberStatus.HERE:
            return
        if claim.life == self.own.life:
            self.health = min(HEALTH_MOST, self.health + 1)  # others did not hear us: our own way may be bad
        if claim.incarnation < MAX_NUMBER:
            self.own = MemberState(claim.incarnation + 1, self.own.life, MemberStatus.HERE)

    def take(self, rumour: GossipEntry) -> None:
        """Take in a rumour."""
        if rumour.name == self.me:
            self.claimed(rumour.claim)
            return
        if rumour.name not in self.members:
            return
        member, claim = self.members[rumour.name], rumour.claim
        if member.claim is not None and claim <= member.claim:
            if claim == member.claim and claim.standing == MemberStatus.SUSPECT and rumour.by:
                self.share(rumour.name, member, rumour.by)
            return
        before, member.claim = member.claim, claim
        member.since_ms = self.now
        if before is not None and before.life != claim.life:
            if claim.life == member.former:
                self.effects.append(DuplicateMember(rumour.name, claim.life))
            member.former = before.life
        if before is None and claim.standing == MemberStatus.HERE:
            self.tell_once(rumour.name)
        else:
            self.tell(rumour.name)
        self.suspected.discard(rumour.name)
        member.suspects, member.ends_ms = {}, inf
        if claim.standing == MemberStatus.SUSPECT:
            self.suspected.add(rumour.name)
            member.ends_ms = self.now + self.suspicion_ms(0)
            self.share(rumour.name, member, rumour.by or self.me)
        if before is None or (before.standing, before.life) != (claim.standing, claim.life):
            self.effects.append(MemberChanged(rumour.name, claim))

    def share(self, name: str, member: Member, by: str) -> None:
        """Note who else suspects a member: the more do, the sooner it counts as gone."""
        if by in member.suspects or len(member.suspects) > SHARED:
            return
        member.suspects[by] = None
        member.ends_ms = min(member.ends_ms, member.since_ms + self.suspicion_ms(len(member.suspects) - 1))
        self.tell(name)

    def tell(self, name: str) -> None:
        """Pass news of a member on, before what was told already."""
        if self.news.get(name) != 0:
            if name in self.news:
                self.telling.remove(name)  # news of news; guards the memory against one that comes and goes
            self.news[name] = 0
            self.telling.appendleft(name)

    def tell_once(self, name: str) -> None:
        """Pass on that one was found, after all else.

        Guards a large fleet's start, and news of one that is gone, against letters full of who is there: each
        tells that itself, and letters carry some in their turn.
        """
        self.news[name] = self.most - 1
        self.telling.append(name)

    def rumours(self, to: str) -> list[GossipEntry]:
        """Return what a letter to someone carries: what is said of it, news, some in their turn."""
        first = [to] if to in self.members and self.doubted(to) else []
        fresh: dict[str, None] = {}
        while self.telling and len(fresh) < MAX_GOSSIP_ENTRIES - OLD - 1:
            fresh[self.telling.popleft()] = None
        if not self.turn_old:
            self.turn_old = self.shuffled([n for n, m in self.members.items() if m.claim is not None])
        old = [self.turn_old.pop() for _ in range(min(OLD, len(self.turn_old)))]
        for name in fresh:
            self.news[name] += 1
            if self.news[name] >= self.most:
                del self.news[name]
            else:
                self.telling.append(name)
        return [self.rumour(name) for name in dict.fromkeys([*first, *fresh, *old])]

    def doubted(self, name: str) -> bool:
        """Return whether something is said of a member that it would refute."""
        claim = self.members[name].claim
        return claim is not None and claim.standing != MemberStatus.HERE

    def rumour(self, name: str) -> GossipEntry:
        """Return what is held of a member, as it is told."""
        member = self.members[name]
        by = self.me if self.me in member.suspects else next(iter(member.suspects), "")
        return GossipEntry(name, member.claim, by if member.claim.standing == MemberStatus.SUSPECT else "")

    def say(self, to: str, kind: DatagramKind, seq: int, about: str = "") -> None:
        """Send a letter."""
        rumours = self.rumours(to)
        letter = Datagram(VERSION, self.fleet, self.me, self.own, kind, seq, about, rumours)
        self.effects.append(SendDatagram(to, letter))
