"""Versions of a fleet in virtual time, under faults of a seeded schedule, held against their bounds.

The world is `hunt`'s; here its members agree on versions, spread and prove them, with disks that take time,
fail, and are lost or set back. What is wrong is told by a checker that sees all disks, and when a majority
of the voters had accepted a content on theirs.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

from marlseam.cluster.audit_log import (
    AcceptorPromise,
    LedgerBegun,
    LogRecord,
    VersionHeld,
    VotesBarred,
    recover_log,
)
from marlseam.cluster.checking.membership_schedules import (
    DRIFT,
    PERIOD_MS,
    InjectedFault,
    MembershipSimulation,
    ScheduleDraws,
    SimulatedMember,
    drawn,
)
from marlseam.cluster.membership_codec import InvalidMessageError
from marlseam.cluster.replication import messages
from marlseam.cluster.replication.content import FORMAT, Content, digest, read, write
from marlseam.cluster.replication.effects import ApplyContent, Persist, SendMessage
from marlseam.cluster.replication.paxos import majority
from marlseam.cluster.replication.replica import ConfigReplica
from marlseam.cluster.replication.settings import ReplicationSettings
from marlseam.random_source import number

FLEET = "trial"
LEASE_PERIODS = 15.0
DISK_MS = 20.0  # at most, for a writing
LOOK_MS = 100.0  # between looks at whether each node may act
HEAL_PERIODS = 20.0
ROWS = 40  # of a content's settings: so many that changes are fewer bytes, and the whole several pieces
FAULTS = ("kill", "restart", "stop", "cut", "deaf", "mute", "pair", "hold", "full", "old", "lost", "halves")


def heal_ms(period_ms: float) -> float:
    """Return within what time, after the last fault, all that can act on the newest version.

    A publication left half done is finished within two rounds of at most 8 periods each; who lags hears of it
    in the next period, and a content comes at one piece's window a period at the slowest.
    """
    return HEAL_PERIODS * period_ms


@dataclass
class Disk:
    """What a name's folder holds, and whether it takes more."""

    entries: list[LogRecord] = field(default_factory=lambda: [LedgerBegun(0.0)])
    full_until: float = 0.0
    busy_until: float = 0.0


class ReplicationVerdict(NamedTuple):
    """What a run showed: breaches, how near it came to each bound, how many numbers were chosen."""

    broken: list[str]
    nearest: dict[str, float]
    chosen: int


class ReplicationSimulation(MembershipSimulation):
    """Members of a fleet with versions."""

    def __init__(
        self,
        nodes: int,
        seed: int,
        strikes: list[InjectedFault],
        voters: int = 3,
        strict: bool = True,
        loss: float = 0.0,
        doubles: float = 0.0,
        drift: float = DRIFT,
        machine: Callable[..., ConfigReplica] = ConfigReplica,
        lease_periods: float = LEASE_PERIODS,
        twists: float = 0.0,
        rows: int = ROWS,
    ) -> None:
        self.disks: dict[str, Disk] = {}
        self.rows = rows  # of the contents' settings: none for contents that are smaller than changes to them
        self.twists = twists  # share of the pieces of contents that come otherwise than they were sent
        self.voters = frozenset(f"n{i}" for i in range(min(voters, nodes)))
        lease = lease_periods * PERIOD_MS
        self.terms = ReplicationSettings(self.voters, PERIOD_MS, lease, strict, 100.0 * lease)
        self.kind = machine
        self.by_number: dict[int, tuple[str, float]] = {}  # what was chosen, and when
        self.electorates = {1: self.voters}  # who votes on a number
        self.took: dict[tuple[int, tuple[int, str], str], set[str]] = {}
        self.acting_at: dict[tuple[str, int], float] = {}
        self.worst = 0.0  # the longest that any acted on a version after a newer was chosen
        self.unproved = self.looks = 0
        self.wrong: list[str] = []
        self.forgot: set[str] = set()  # names whose memory was lost or set back
        super().__init__(nodes, seed, strikes, loss, doubles, drift)
        self.at(LOOK_MS, self.look)

    # The world's steps, for these machines.

    def make(self, name: str, seed: int) -> ConfigReplica:
        """Return a process's machine, with what its disk holds."""
        kept = recover_log(self.disks.setdefault(name, Disk()).entries)
        machine = self.kind(name, self.names, self.terms, f"{name}/{self.lives}", seed, 0.0, kept)
        machine.next_ms = PERIOD_MS * self.chance()
        return machine

    def act(self, seat: SimulatedMember, effects: list[Any]) -> None:
        """Carry out what a process asks for."""
        for effect in effects:
            if not seat.live:
                return
            if type(effect) is SendMessage:
                kind = messages.kind_of(effect.message)
                strike = self.struck(seat, True, kind)
                if strike is not None:
                    self.strike(strike, seat)
                if seat.live:
                    note = messages.ReplicationDatagram(
                        messages.VERSION, FLEET, seat.name, self.twisted(effect.message)
                    )
                    held = strike.for_ms if strike is not None and strike.fault == "hold" else 0.0
                    self.send(seat, effect.recipient, messages.write(note), held)
            elif type(effect) is Persist:
                disk = self.disks[seat.name]
                # In order, as the node's scribe writes.
                disk.busy_until = max(disk.busy_until, self.now + DISK_MS * self.chance())
                self.at(disk.busy_until, self.keep, seat, effect)
            elif type(effect) is ApplyContent:
                self.acting_at.setdefault((seat.name, effect.number), self.now)

    def twisted(self, say: messages.ReplicationMessage) -> messages.ReplicationMessage:
        """Return what is said, or a piece with one byte changed."""
        if not self.twists or type(say) is not messages.Chunk or self.chance() >= self.twists:
            return say
        at = int(self.chance() * len(say.data))
        data = say.data[:at] + bytes([say.data[at] ^ 1]) + say.data[at + 1 :]
        return msgspec.structs.replace(say, data=data)

    def hear(self, seat: SimulatedMember, data: bytes) -> None:
        """Hand a note to a process."""
        try:
            note = messages.read(data, FLEET, self.names)
        except InvalidMessageError:
            return
        strike = self.struck(seat, False, messages.kind_of(note.message))
        if strike is not None:
            self.strike(strike, seat)
        if seat.live and seat.stopped_until <= self.now:
            self.act(seat, seat.machine.receive(self.local(seat), note.sender, note.message))

    def keep(self, seat: SimulatedMember, keep: Persist) -> None:
        """Have something on a disk: of a process that was killed meanwhile it may be there or not."""
        disk = self.disks[seat.name]
        if self.seats.get(seat.name) is not seat:
            return  # its folder is another life's by now
        if disk.full_until > self.now:
            seat.machine.disk_fault = "full"
            if seat.live:
                seat.machine.persist_failed(keep.token)
            return
        if seat.live or self.chance() < 0.5:
            disk.entries = [*disk.entries, *keep.records]
            self.written(seat.name, keep.records)
        if seat.stopped_until > self.now:
            self.at(seat.stopped_until, self.go_on, seat, keep.token)
        else:
            self.go_on(seat, keep.token)

    def go_on(self, seat: SimulatedMember, token: int) -> None:
        """Tell a process that something is durable."""
        if seat.live:
            seat.machine.disk_fault = ""
            self.act(seat, seat.machine.persisted(self.local(seat), token))
            self.plan(seat)

    def strike(self, strike: InjectedFault, seat: SimulatedMember) -> None:
        """Let a fault strike."""
        until, name = self.now + strike.for_ms, seat.name
        if strike.fault == "full":
            self.touched.append((self.now, until))
            self.disks[name].full_until = until
            self.at(until, self.serves, name)
        elif strike.fault in ("old", "lost"):
            self.touched.append((self.now, self.now + 1.0))
            seat.live = False
            self.forgot.add(name)
            entries = self.disks[name].entries
            # Found out at the start (store/ledger.py): the memory of votes is known not to be whole.
            kept = entries[: len(entries) // 2] if strike.fault == "old" else []
            self.disks[name].entries = [*kept, VotesBarred(-1)]
            self.at(self.now + 1.0, self.again, name, seat)
        elif strike.fault == "halves":
            self.touched.append((self.now, until))
            order = sorted(self.names, key=lambda n: number(b"%d:%s" % (self.seed, n.encode())))
            for a in order[: len(order) // 2]:
                for b in order[len(order) // 2 :]:
                    self.cuts += [(a, b, until), (b, a, until)]
        else:
            super().strike(strike, seat)

    def serves(self, name: str) -> None:
        """A disk takes more again."""
        if self.disks[name].full_until <= self.now:
            self.seats[name].machine.disk_fault = ""

    # What the checker sees.

    def written(self, name: str, entries: tuple[LogRecord, ...]) -> None:
        """See what a disk holds now.

        Whether a majority has accepted a content, and that nobody holds another.
        """
        for entry in entries:
            if type(entry) is AcceptorPromise and entry.value:
                ballot = entry.accepted_round, entry.accepted_place
                took = self.took.setdefault((entry.number, ballot, entry.value), set())
                took.add(name)
                electorate = self.electorates.get(entry.number, frozenset())
                if electorate and len(took & electorate) >= majority(electorate):
                    self.choose(entry.number, entry.value)
            elif type(entry) is VersionHeld:
                if entry.number not in self.by_number:
                    self.wrong.append(f"version {entry.number} is held, no majority of its voters took it")
                self.choose(entry.number, entry.id)

    def choose(self, number: int, id: str) -> None:
        """Note that a number has a content."""
        held = self.by_number.setdefault(number, (id, self.now))
        if held[0] != id:
            self.wrong.append(f"version {number} has two contents at {self.now:.0f}")
        for seat in self.seats.values():
            data = seat.machine.store.contents.get(id)
            if data is not None:
                voters = read(data, self.names).voters
                self.electorates.setdefault(number + 1, frozenset(voters))

    def look(self) -> None:
        """See for how long each acts on a version after a newer one was chosen."""
        newest = max(self.by_number, default=0)
        for seat in self.seats.values():
            if not seat.live or seat.stopped_until > self.now:
                continue
            held = seat.machine.store.contents.get(seat.machine.content_id)
            if held is not None and digest(held) != seat.machine.content_id:
                self.wrong.append(f"{seat.name} holds something else than version {seat.machine.number}")
            came = seat.machine.store.transfer_counts
            if not self.twists and came["changes"] + came["digest"]:
                self.wrong.append(
                    f"{seat.name} was sent what is not what it asked for, and nothing was twisted"
                )
            if seat.machine.store.delta_links_bytes > len(held or b""):
                self.wrong.append(f"{seat.name} keeps more changes than they are worth")
            stood = seat.machine.serving.evaluate(self.local(seat))
            self.looks += 1
            self.unproved += stood.is_serving and not stood.is_proven
            after = seat.machine.applied_number + 1
            if stood.is_serving and stood.is_proven and after <= newest and after in self.by_number:
                age = self.now - self.by_number[after][1]
                self.worst = max(self.worst, age)
                if age > self.terms.lease_ms:
                    self.wrong.append(
                        f"{seat.name} acts on {after - 1} {age:.0f} ms after {after} was chosen"
                    )
        self.at(self.now + LOOK_MS, self.look)

    def publish(self, name: str, mark: int) -> None:
        """Have a node publish."""
        seat = self.seats[name]
        if not seat.live or seat.stopped_until > self.now:
            return
        machine = seat.machine
        # Now and then a voter's place goes to another member.
        others = sorted(self.names - machine.voters)
        voters = sorted(machine.voters)
        if mark % 20 == 10 and others:
            voters[0] = others[mark % len(others)]
        settings: dict[str, Any] = {"x": mark}
        if self.rows:
            rows = {f"t{i:02d}": {"quota": i, "urgent": i % 4 == 0} for i in range(self.rows)}
            settings["teams"] = rows | {f"t{mark % self.rows:02d}": {"quota": 1000 + mark, "urgent": True}}
        content = Content(
            FORMAT, machine.number + 1, machine.content_id, voters, f"{name} {mark}", name, settings
        )
        self.act(seat, machine.publish(self.local(seat), write(content)))
        self.plan(seat)

    def alike(self) -> list[str]:
        """Return who does not act on the newest version, proved."""
        newest = max(self.by_number, default=0)
        found = []
        for seat in self.seats.values():
            stood = seat.machine.serving.evaluate(self.local(seat))
            if seat.machine.applied_number != newest or not (stood.is_serving and stood.is_proven):
                found.append(f"{seat.name} is at {seat.machine.applied_number} of {newest}, {stood}")
        return found


def notes(draws: ScheduleDraws) -> tuple[messages.MessageKind, int]:
    """Return a step of versions: those of agreement often, early ones of them."""
    kind = messages.MessageKind(11 + draws(9)) if draws(3) else messages.MessageKind(13 + draws(4))
    return kind, 10 + draws(60) if kind < messages.MessageKind.PREPARE else 1 + draws(3)


def schedule(nodes: int, seed: int, most: int = 4) -> list[InjectedFault]:
    """Return a schedule of chance."""
    return drawn(ScheduleDraws("trial", seed), nodes, notes, FAULTS, 45, most)


def play(
    nodes: int,
    seed: int,
    strikes: list[InjectedFault],
    machine: Callable[..., ConfigReplica] = ConfigReplica,
    strict: bool = True,
    rows: int = ROWS,
    twists: float = 0.0,
) -> ReplicationVerdict:
    """Play a schedule with publications by two at a time, wait until its last fault is over, and judge."""
    more = {"machine": machine, "rows": rows, "twists": twists}
    world = ReplicationSimulation(nodes, seed, strikes, strict=strict, doubles=0.02, **more)
    world.run(3.0 * PERIOD_MS)
    for i in range(6):
        world.run((4.0 + 8.0 * i) * PERIOD_MS)
        for j in range(2):
            world.publish(f"n{number(b'%d:%d:%d' % (seed, i, j)) % nodes}", 10 * i + j)
    world.run(60.0 * PERIOD_MS)
    end = world.last(strikes)
    world.run(end)
    heal = heal_ms(PERIOD_MS) * (1.0 + 2.0 * DRIFT)
    step, wrong = end, world.alike()
    while wrong and step < end + heal:
        step += PERIOD_MS / 2.0
        world.run(step)
        wrong = world.alike()
    broken, nearest = world.wrong[:3], {"stale": world.worst / world.terms.lease_ms}
    if all(len(world.forgot & voters) < majority(voters) for voters in world.electorates.values()):
        # Where most voters have lost their memory nobody may vote again: a fleet of another name begins.
        broken += [f"{heal:.0f} ms after all healed {what}" for what in wrong[:3]]
        nearest["alike after a heal"] = (step - end) / heal
    if not strikes and len(world.by_number) < 6:
        broken.append(f"{len(world.by_number)} of 6 publications were chosen with no fault there")
    return ReplicationVerdict(broken, nearest, len(world.by_number))


def hunted(nodes: int, seed: int) -> ReplicationVerdict:
    """Play the schedule of a seed."""
    return play(nodes, seed, schedule(nodes, seed))
