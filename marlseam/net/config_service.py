"""Which version this node acts on: joins the pure machine and the ledger to the node, on a narrow port.

Each act (a taking, an attempt, an answer, a refusal) is counted under the interval that it lies in. Before
anything is taken or sent it is looked whether the node may: after a stop of the process, too, as the look
is at the clock.
"""

import contextlib
import errno
import json
import os
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import Any

from marlseam import __version__
from marlseam.cluster.audit_log import (
    ACTS,
    ActionCounts,
    LogRecord,
    ProcessEnded,
    ProcessStarted,
    RecoveredLog,
    VersionHeld,
    encode,
)
from marlseam.cluster.audit_log import IntervalBegun as Interval
from marlseam.cluster.replication import messages
from marlseam.cluster.replication.content import (
    FORMAT,
    Content,
    InvalidContentError,
    SettingsDigester,
    is_single_step,
    read,
    settings_digest,
    voters_fit,
    write,
)
from marlseam.cluster.replication.effects import ApplyContent, Effect, LogLine, Persist, SendMessage
from marlseam.cluster.replication.replica import ConfigReplica
from marlseam.cluster.replication.serving import ServingStatus
from marlseam.cluster.replication.settings import ReplicationSettings
from marlseam.configuration import ClusterSettings, ConfigError, member_address
from marlseam.net.log import Log
from marlseam.net.loop import Coroutine, Loop
from marlseam.store.ledger_writer import BESIDE, LedgerWriter
from marlseam.store.log_writer_client import LOCK_S, LogWriterClient
from marlseam.store.state_directory import Disk, code_of, unix_ms
from marlseam.store.writer_process import APPEND

MARK_MS = 1000.0  # between marks of acts, and looks at what changes by itself
ACTS_MOST = 200  # acts after which a mark does not wait
FILE_MB, WAIT_MS = 1.0, 2000.0  # at which a file of the ledger is begun anew; patience with the disk
BACK_MOST_MS = 2000.0  # between tries of a disk that failed: the node is out until it serves
INTERVALS_MOST = 64  # whose acts may still grow
TAKEN, SENT, ANSWERED, REFUSED = range(4)


@dataclass
class ConfigServicePort:
    """What the node offers: a content's fault here, acting on settings, service on or off, what holds."""

    wrong: Callable[[Mapping[str, Any]], str]
    apply: Callable[[Mapping[str, Any]], None]
    serve: Callable[[bool], None]
    listed: Callable[[], int]
    settings: Callable[[], Mapping[str, Any]]
    prove: Callable[[int, str, float], None] = lambda number, id, mono_ms: None  # to others of this node
    beside: bool = False  # whether another process of this node may be there, as in an upgrade


class LedgerClient(LogWriterClient):
    """The ledger's scribe."""

    helper, what = "marlseam.store.ledger_writer", "the ledger"
    back_most_ms = BACK_MOST_MS

    def __init__(
        self, loop: Loop, log: Log, path: Path, name: str, take_in: Callable[[RecoveredLog], None]
    ) -> None:
        super().__init__(loop, log, path, name, "durable", FILE_MB, WAIT_MS)
        self.take_in = take_in

    def load(self, told: bool = True) -> None:
        """Read the ledger, and tell what is wrong in it; raises OSError."""
        ledger = LedgerWriter(Disk(self.path), self.node)
        kept = ledger.load()
        self.known = True
        for finding in ledger.findings if told else ():
            self.log.line(f"ledger file {finding.name or self.path} code={finding.code}: {finding.text}")
            self.told_lost = self.told_lost or finding.code == "lost"
        self.take_in(kept)

    def read(self) -> Coroutine:
        """Read the ledger once its lock could be had: it is small."""
        self.load()
        return
        yield


class ConfigVersionService:
    """One node's versions and ledger."""

    FIRST = messages.DATAGRAM_PREFIX

    def __init__(
        self,
        loop: Loop,
        log: Log,
        settings: ClusterSettings,
        name: str,
        life: int,
        seed: int,
        port: ConfigServicePort,
        send: Callable[[str, bytes], None],
        regroup: Callable[[Mapping[str, str]], None] = lambda members: None,
    ) -> None:
        self.loop, self.log, self.settings, self.name = loop, log, settings, name
        self.life, self.seed, self.port, self.send, self.regroup = life, seed, port, send, regroup
        self.machine: ConfigReplica | None = None
        self.stood, self.until_ms = ServingStatus(False, False, "locked"), 0.0
        self.interval: Interval | None = None
        self.stamp = ""
        self.counts: dict[int, list[int]] = {}
        self.dirty: dict[int, None] = {}
        self.acts = 0  # since the last mark
        self.unsaid: deque[tuple[int, LogRecord]] = deque()  # entries that are not durable, and their numbers
        self.flying: deque[tuple[int, tuple[int, ...]]] = deque()  # marks likewise, and of which intervals
        self.listed = -1  # the list that the last look saw
        self.noted: object = None  # the settings in force, and the digest of their meaning
        self.meant, self.meanings = "", SettingsDigester()
        self.shared: tuple[Content | None, str] = (None, "")  # the version held, and its settings' digest
        self.grouped: Mapping[str, str] = {}  # members that the node was last told of
        self.pages = LedgerClient(loop, log, Path(settings.folder), name, self.take_in)
        self.main: LedgerClient | None = None  # the node's ledger, while another process has it
        self.timer = loop.at(loop.now(), lambda: None)
        self.began_ms, self.beside = loop.now(), False
        self.spans: dict[int, Interval] = {}  # the intervals whose acts may still grow
        self.ready = False  # whether the node is built, so that service and settings can change

    # The start and the end.

    def load(self) -> Content | None:
        """Read the ledger if it can be had at once.

        Return the content that was held last, if it fits here.
        """
        try:
            self.pages.take_lock(0.0 if self.port.beside else LOCK_S)
            self.pages.load()
        except OSError as error:
            if error.errno != errno.EAGAIN or not self.port.beside or not self.go_beside():
                self.pages.fail(code_of(error), error.strerror or str(error))
                return None
        machine = self.machine
        return self.held() if machine.applied_number else None

    def held(self) -> Content:
        """Return the content of the version held; raises Unfit."""
        return self.machine.content or self.machine.read_content(self.machine.content_id)

    def go_beside(self) -> bool:
        """Write beside the ledger while an old process of this node has it; return whether that can be."""
        self.main = LedgerClient(self.loop, self.log, self.pages.path, self.name, self.move)
        self.pages = LedgerClient(self.loop, self.log, self.main.path / BESIDE, self.name, self.take_in)
        try:
            self.pages.take_lock()
            self.pages.load(told=False)
            self.pages.told_lost = True  # it never had a memory of votes
        except OSError:
            return False
        self.log.line("fleet: another process has the ledger, writes beside it until that has ended")
        return True

    def elsewhere(self, kept: RecoveredLog) -> RecoveredLog:
        """Add what this node's other ledger holds: the later version, the later word of an operator's."""
        here = self.pages.path
        other = self.main.path if self.main is not None else here / BESIDE
        if not other.exists():
            return kept
        with contextlib.suppress(OSError):
            found = LedgerWriter(Disk(other), self.name).load()
            if found.held is not None and (kept.held is None or found.held.number > kept.held.number):
                kept.held = found.held
                kept.contents |= found.contents
            if found.handed_ms > kept.handed_ms:
                kept.hand, kept.handed_ms = found.hand, found.handed_ms
        return kept

    def move(self, kept: RecoveredLog) -> None:
        """Go on in the node's ledger, which the old process has left; from here on this one may vote."""
        machine, old = self.machine, self.pages
        self.pages, self.main = self.main, None
        machine.take_over_memory(kept)
        old.leave()
        self.log.line("fleet: has the ledger now")
        now = self.loop.now()
        # All of this life's acts again: each mark is whole, and its life and interval go before it.
        self.unsaid = deque([(0, self.lived(now)), *((0, span) for span in self.spans.values())])
        self.dirty, self.flying = dict.fromkeys(self.counts), deque()

    def lived(self, now: float) -> ProcessStarted:
        """Return what tells of this life."""
        began, wall = now - self.began_ms, self.wall()
        return ProcessStarted(
            self.life,
            __version__,
            self.pages.era.boot,
            wall - began,
            now - began,
            self.settings.lease_ms,
            self.beside,
            self.pages.era.zero_ms,
        )

    def take_in(self, kept: RecoveredLog) -> None:
        """Begin with what the ledger holds."""
        fleet, kept = self.settings, self.elsewhere(kept)
        self.beside = self.main is not None
        terms = ReplicationSettings(
            frozenset(fleet.voters), fleet.period_ms, fleet.lease_ms, fleet.strict, fleet.serve_ms
        )
        place = f"{self.name}/{self.life}/{os.urandom(8).hex()}"
        now = self.loop.now()
        self.machine = ConfigReplica(
            self.name, frozenset(fleet.members), terms, place, self.seed, now, kept, self.wrong
        )
        if self.machine.unusable_reason:
            self.log.line(f"fleet code=unfit: version {self.machine.number}: {self.machine.unusable_reason}")
        self.machine.voter.memory_is_elsewhere = self.beside
        if kept.bar is None and not self.beside:
            self.log.line("fleet code=lost: votes on nothing until it is known what it may have promised")
        self.unsaid.append((0, self.lived(now)))
        if self.machine.applied_number:
            content = self.held()
            self.group(content.members)
            if self.ready:
                self.port.apply(content.settings)

    def begin(self) -> None:
        """Begin to write, to ask and to tell; the node is built."""
        self.ready = True
        self.pages.begin()
        if self.main is not None:
            self.main.begin()
        self.look()
        self.port.serve(self.stood.is_serving)
        self.tick()

    def close(self) -> None:
        """Have the last acts written, as the node ends."""
        self.mark()
        if self.interval is not None:
            self.write(ProcessEnded(self.life, self.wall(), self.loop.now()))
        self.pages.close()

    # Other processes of this node.

    def joined(self) -> None:
        """Ask at once, as this process has the node's address now."""
        if self.machine is not None and self.ready:
            self.machine.next_ms = self.loop.now()
            self.tick()

    def prove(self) -> None:
        """Tell other processes of this node when the version held was in force."""
        machine = self.machine
        if machine is not None and machine.lease.proof_ms > -inf:
            since = 1000.0 * self.loop.clock.zero
            self.port.prove(machine.number, machine.content_id, machine.lease.proof_ms + since)

    def proved(self, number: int, id: str, mono_ms: float) -> None:
        """Take over a proof from another process of this node, and what it holds if that is later."""
        machine, now = self.machine, self.loop.now()
        if machine is None:
            return
        if number > machine.number:
            machine.store.contents |= self.elsewhere(RecoveredLog()).contents
            if id in machine.store.contents:
                self.act(machine.hold_durably(now, number, id))
        elif mono_ms - 1000.0 * self.loop.clock.zero <= now:
            machine.lease.proof_ms = max(machine.lease.proof_ms, mono_ms - 1000.0 * self.loop.clock.zero)
            self.until_ms = 0.0
            self.look()

    # The machine.

    def wrong(self, content: Content) -> str:
        """Return what is wrong with a content here, or nothing."""
        try:
            for name, value in content.members.items():
                if name not in self.settings.members:
                    member_address(f"members.{name}", value, self.settings.trusted)
        except ConfigError as error:
            return str(error)
        return self.port.wrong(content.settings)

    def hear(self, data: bytes, names: frozenset[str]) -> None:
        """Take in a note; raises Odd."""
        note = messages.read(data, self.settings.name, names)
        if self.machine is not None and note.sender != self.name:
            self.act(self.machine.receive(self.loop.now(), note.sender, note.message))
            if not self.stood.is_proven:
                self.until_ms = 0.0

    def tick(self) -> None:
        """Do what is due."""
        self.loop.drop(self.timer)
        now = self.loop.now()
        if self.machine is not None:
            self.act(self.machine.tick(now))
            self.until_ms = 0.0
        self.look()
        self.mark()
        self.prove()
        due = min(now + MARK_MS, self.machine.next_ms) if self.machine is not None else now + MARK_MS
        self.timer = self.loop.at(due, self.tick)

    def act(self, effects: Iterable[Effect]) -> None:
        """Carry out what the machine asks for."""
        for effect in effects:
            if type(effect) is SendMessage:
                self.send(
                    effect.recipient,
                    messages.write(
                        messages.ReplicationDatagram(
                            messages.VERSION, self.settings.name, self.name, effect.message
                        )
                    ),
                )
            elif type(effect) is Persist:
                self.loop.spawn(self.keep(effect))
            elif type(effect) is ApplyContent:
                self.port.apply(effect.content.settings)
                self.group(effect.content.members)
                named = f"version {effect.number}, {effect.content_id[:12]}"
                self.log.line(f"acts on {named}: {effect.content.why}")
                self.until_ms = 0.0
            elif type(effect) is LogLine:
                self.log.line(effect.text)

    def group(self, members: Mapping[str, str]) -> None:
        """Tell the node who belongs by a version, where that names members, and others than before."""
        if members and members != self.grouped:
            self.grouped = members
            self.regroup(members)

    def keep(self, keep: Persist) -> Coroutine:
        """Have entries durable, and tell the machine."""
        number = 0
        for entry in keep.records:
            if type(entry) is VersionHeld:
                entry = VersionHeld(entry.number, entry.id, self.wall())  # noqa: PLW2901 - the machine knows no such time
            number = self.write(entry)
        if (yield from self.pages.durable(number)):
            self.act(self.machine.persisted(self.loop.now(), keep.token))
            self.until_ms = (
                0.0  # a word of an operator's, or a version that cannot be used, holds from here on
            )
            self.look()
        else:
            self.machine.persist_failed(keep.token)

    # What acts stand on.

    def wall(self) -> float:
        """Return Unix ms, by a clock that does not jump."""
        return unix_ms(self.pages.era)

    def look(self) -> ServingStatus:
        """Return whether this node may act, and see to it that the interval in hand tells on what."""
        now, machine, port = self.loop.now(), self.machine, self.port
        # The usual look, several an act: nothing has changed.
        same = port.settings() is self.noted and port.listed() == self.listed
        if machine is None or (same and now < self.until_ms):
            return self.stood
        if now >= self.until_ms:
            machine.disk_fault = "" if self.pages.serves() else self.pages.code or "slow"
            before, self.stood = self.stood, machine.serving.evaluate(now)
            self.until_ms = min(machine.serving.next_change_ms(now), now + MARK_MS)
            if before.is_serving != self.stood.is_serving and self.ready:
                if not self.stood.is_serving:
                    self.log.line(f"fleet code={self.stood.code}: out of service")
                self.port.serve(self.stood.is_serving)
        held, stood, listed = self.interval, self.stood, port.listed()
        settings, self.listed = port.settings(), listed
        if self.noted is not settings:
            self.noted, self.meant = settings, self.meanings.digest(settings)
        if (
            held is None
            or (held.number, held.meaning, held.listed) != (machine.applied_number, self.meant, listed)
            or (held.proved, held.serving, held.code) != (stood.is_proven, stood.is_serving, stood.code)
        ):
            self.begin_interval(now, listed)
        return stood

    def begin_interval(self, now: float, listed: int) -> None:
        """Begin an interval."""
        machine, stood = self.machine, self.stood
        number = self.interval.interval + 1 if self.interval is not None else 1
        id = machine.content_id if machine.applied_number == machine.number else ""
        self.interval = Interval(
            self.life,
            number,
            __version__,
            machine.applied_number,
            id,
            self.meant,
            listed,
            stood.is_proven,
            stood.is_serving,
            stood.code,
            self.wall(),
            now,
        )
        self.counts[number] = [0, 0, 0, 0]
        self.spans[number] = self.interval
        for table in (self.counts, self.spans):
            table.pop(number - INTERVALS_MOST, None)
        self.stamp = f"{self.name}/{self.life}/{number}/{machine.applied_number}/{int(stood.is_proven)}"
        self.unsaid.append((0, self.interval))
        self.rewrite()

    def published(self) -> bool:
        """Return whether this node acts on a version of the fleet's."""
        return self.machine is not None and self.machine.applied_number > 0

    def refused(self, settings: Mapping[str, Any]) -> None:
        """Say it where a file of the node's own means something else than the fleet's version."""
        if settings_digest(settings) != self.meant:
            self.log.line("fleet code=local-refused: the file's settings are not the version's, these stay")

    def order(self) -> "StampedAttempt":
        """Return what an attempt is to ask and tell."""
        return StampedAttempt(self)

    def may_take(self) -> bool:
        """Return whether work may be taken now."""
        return self.look().acts

    def took(self) -> None:
        """Count a taking."""
        self.count(TAKEN)

    def ended(self, status: int) -> None:
        """Count an answer, or a refusal, by the status that the client is told."""
        self.count(ANSWERED if status == 200 else REFUSED)

    def count(self, what: int, interval: int = 0) -> None:
        """Count an act."""
        if self.interval is None:
            return
        number = interval or self.interval.interval
        counts = self.counts.get(number)
        if counts is None:
            return
        counts[what] += 1
        self.dirty[number] = None
        self.acts += 1
        if self.acts >= ACTS_MOST:
            self.mark()

    # The ledger.

    def write(self, entry: LogRecord) -> int:
        """Have an entry written; return its number, 0 for never."""
        return self.pages.message(APPEND, encode(entry)) if self.pages.serves() else 0

    def rewrite(self) -> None:
        """Write what is not: what the disk refused is written once it serves again, in order."""
        done = self.pages.done
        while self.unsaid and 0 < self.unsaid[0][0] <= done and self.pages.works:
            self.unsaid.popleft()
        if not self.pages.works:
            self.unsaid = deque((0, entry) for _, entry in self.unsaid)
        elif self.pages.serves():
            self.unsaid = deque((number or self.write(entry), entry) for number, entry in self.unsaid)

    def mark(self) -> None:
        """Write down the acts so far, and again those whose writing failed; their intervals first."""
        self.rewrite()
        done = self.pages.done
        while self.flying and self.flying[0][0] <= done and self.pages.works:
            self.flying.popleft()
        if not self.pages.works:
            for _, intervals in self.flying:
                self.dirty |= dict.fromkeys(intervals)
            self.flying.clear()
        rows = [(n, *self.counts[n]) for n in self.dirty if n in self.counts]
        if not rows or any(not number for number, _ in self.unsaid):
            return
        number = self.write(ActionCounts(self.life, rows, self.wall(), self.loop.now()))
        if number:
            self.flying.append((number, tuple(self.dirty)))
            self.dirty, self.acts = {}, 0

    # Operators.

    def publish(self, body: bytes) -> tuple[int, str]:
        """Have settings agreed on as the next version.

        The answer says what is wrong, or that it is under way.
        """
        machine = self.machine
        if machine is None:
            return 503, "another process has the ledger\n"
        try:
            given = json.loads(body)
            settings, why = given["settings"], given["why"]
            voters, members = given.get("voters"), given.get("members")
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            return 400, f"settings and why were expected ({error!r})\n"
        if not (
            isinstance(settings, dict)
            and isinstance(why, str)
            and 0 < len(why) <= messages.MAX_REASON_CHARACTERS
        ):
            return (
                400,
                f"settings, and why in up to {messages.MAX_REASON_CHARACTERS} characters, were expected\n",
            )
        names = isinstance(voters, list) and all(isinstance(name, str) for name in voters)
        if voters is not None and not names:
            return 400, "voters: a list of members' names was expected\n"
        if members is not None and not (isinstance(members, dict) and members):
            return 400, "members: an object of names and addresses was expected\n"
        wrong = self.step_wrong(frozenset(voters or machine.voters), frozenset(members or machine.members))
        if wrong:
            return 400, f"{wrong}\n"
        number, held = machine.number + 1, self.members()
        names = sorted(voters or machine.voters)
        content = Content(
            FORMAT, number, machine.content_id, names, why, self.name, settings, members or held
        )
        if machine.number and self.same(content):
            return 409, f"version {machine.number} says the same\n"
        try:
            data = write(content)
            wrong = self.wrong(read(data, machine.members))
        except InvalidContentError as error:
            wrong = str(error)
        if wrong:
            return 400, f"{wrong}\n"
        busy = machine.publisher.busy_reason()
        if busy:
            return 409, f"version {number}: {busy}\n"
        self.act(machine.publish(self.loop.now(), data))
        return 202, f"version {number}: {machine.publisher.result}\n"

    def members(self) -> dict[str, str]:
        """Return the members that the version held names, if it names any."""
        try:
            return dict(self.held().members) if self.machine.number else {}
        except InvalidContentError:
            return {}

    def step_wrong(self, voters: frozenset[str], members: frozenset[str]) -> str:
        """Return what is wrong with voters and members after the present ones, or nothing."""
        if not is_single_step(self.machine.voters, voters, 2):
            return f"voters {sorted(voters)}: two more or less, or one in another's place, were expected"
        if not is_single_step(self.machine.members, members, 1):
            return f"members {sorted(members)}: one more, less, or in another's place was expected"
        return voters_fit(sorted(voters), members)

    def same(self, content: Content) -> bool:
        """Return whether the version held says this already."""
        try:
            held = self.held()
        except InvalidContentError:
            return False
        alike = (
            settings_digest(held.settings) == settings_digest(content.settings)
            and held.members == content.members
        )
        return alike and set(held.voters) == set(content.voters)

    def by_hand(self, why: str | None) -> tuple[int, str]:
        """Shut this node out by an operator's word, or bring it back; it holds across restarts."""
        if self.machine is None:
            return 503, "another process has the ledger\n"
        if why is not None and not 0 < len(why) <= messages.MAX_REASON_CHARACTERS:
            return 400, f"why in up to {messages.MAX_REASON_CHARACTERS} characters was expected\n"
        if not self.pages.serves():
            return 503, f"the ledger cannot be written: {self.pages.code}\n"
        self.act([self.machine.override_by_operator(why, self.wall())])
        return 202, f"{self.name} is to be {'out' if why is not None else 'in'}\n"

    def status(self) -> dict[str, Any]:
        """Return what this node acts on, and what others last said that they do; ages in ms."""
        now, machine, held = self.loop.now(), self.machine, self.interval
        if machine is None or held is None:
            return {"code": self.stood.code}
        stood, age = self.look(), now - machine.lease.proof_ms
        acts = map(sum, zip(*self.counts.values(), strict=True))
        open_id = (
            machine.publisher.publication.content_id if machine.publisher.publication is not None else ""
        )
        return {
            "version": machine.number,
            "id": machine.content_id,
            "acting": machine.applied_number,
            "meaning": held.meaning,
            "listed": held.listed,
            "interval": held.interval,
            "since_ms": round(now - held.mono_ms),
            "serving": stood.is_serving,
            "proved": stood.is_proven,
            "code": stood.code,
            "proof_age_ms": round(age) if age < now + 1e12 else None,
            "lease_ms": round(machine.lease.duration_ms()),
            "members": self.members(),
            "voters": sorted(machine.voters),
            "votes": machine.voter.may_vote(machine.number + 1),
            "unfit": machine.unusable_reason,
            "hand": machine.operator_override,
            "disk": machine.disk_fault,
            "local": bool(machine.applied_number) and held.meaning != self.shared_meaning(),
            "contents": dict(machine.store.transfer_counts),
            "ledger": str(self.pages.path),
            "publication": machine.publisher.result,
            "agreeing": open_id,
            "acts": dict(zip(ACTS, acts, strict=True)),
            "peers": {
                name: {
                    "version": p.number,
                    "acting": p.acting,
                    "serving": p.serving,
                    "code": p.code,
                    "votes": p.votes,
                    "told_ms": round(now - p.at_ms),
                }
                for name, p in sorted(machine.peers.items())
            },
        }

    def shared_meaning(self) -> str:
        """Return the digest of the meaning of the version held."""
        try:
            held = self.held()
        except InvalidContentError:
            return ""
        if self.shared[0] is not held:
            self.shared = held, settings_digest(held.settings)
        return self.shared[1]


class StampedAttempt:
    """One attempt, as the fleet knows it."""

    def __init__(self, acting: ConfigVersionService) -> None:
        self.acting, self.interval = acting, 0

    def goes(self) -> str:
        """Return on what it stands at this moment, or nothing where it must not go out."""
        if not self.acting.look().acts:
            return ""
        self.interval = self.acting.interval.interval
        return self.acting.stamp

    def went(self) -> None:
        """Count it."""
        self.acting.count(SENT, self.interval)
