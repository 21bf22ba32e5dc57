"""`size_changes`: what changes of a fleet's configuration cost a node, by how many teams it tells of.

Hollow nodes share a process: the pure machines of `fleet.versions` and the real codecs and checks, without
sockets, in virtual time. What they do goes by a clock without processor time, so that counts (bytes, notes,
values) are the same in each run; beside it goes a charged one, on which a node is busy for the processor time
that it used and a note leaves when it was done, and that is what times are taken from. A band of real nodes
on loopback plays the same work.
"""

import contextlib
import http.client
import json
import socket
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from math import inf
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from marlseam.cluster.audit_log import RecoveredLog, VersionHeld, encode
from marlseam.cluster.checking.replication_schedules import LEASE_PERIODS, MAX_DISK_MS
from marlseam.cluster.checking.simulation import DRIFT, PERIOD_MS, ClusterSimulation, SimulatedMember
from marlseam.cluster.replication import messages
from marlseam.cluster.replication.content import FORMAT, Content, SettingsDigester, digest, read, write
from marlseam.cluster.replication.effects import ApplyContent, Persist, SendMessage
from marlseam.cluster.replication.replica import ConfigReplica
from marlseam.cluster.replication.settings import ReplicationSettings
from marlseam.configuration import ConfigError, Deployment, deployment_from
from marlseam.experiment import file, size, slope
from marlseam.experiment.file import Experiment
from marlseam.experiment.fleet import reserved
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.processes import RunFailedError
from marlseam.experiment.slope import Slope
from marlseam.random_source import number as number_of
from marlseam.simulation.model import Count, Positive, Strict
from marlseam.store.ledger_writer import create_ledger

TEAMS = 640  # that the operators plan for
FLEET = "size"
VOTERS = 7
WARM_S = 5.0  # from the first version until counts begin
SETTLE_S = 120.0  # after which a change that has not come to all counts as missed
LOOK_S = 0.005  # between looks at what real nodes have logged
NODE_MB = 100.0  # of a real node with the helper that writes its ledger
BASE_MB, COPIES = 150.0, 16  # of the play, and of a content that a hollow node holds, read


class Changes(Strict):
    """Sizes of the configuration, and how often it changes."""

    teams: list[Count]
    nodes: Count = 60  # hollow, at each size
    full_nodes: int = 0  # hollow in one further play at full size, whose content lists them all; 0 for none
    full_changes: int = 3  # in it, and as many in its burst
    disorder: int = 0  # teams of one further play in which notes overtake each other; 0 for none
    every_s: Positive = 5.4  # between changes: 16,000 a day
    changes: Count = 8  # at that pace
    burst: int = 10  # changes that follow each other as fast as they are agreed on
    idle_s: Positive = 8.0  # before the first
    real: int = 0  # nodes on loopback that play the same beside as many hollow ones; 0 for none
    real_teams: Count = TEAMS


class Ways(NamedTuple):
    """How long a note, a writing to the disk and an operator's next call take, in ms."""

    least_ms: float = 0.3
    spread_ms: float = 2.0
    disk_ms: float = MAX_DISK_MS
    operator_ms: float = 20.0
    disorder: bool = False  # whether what one node says to another may overtake what it said before


LAN = Ways()
LOOPBACK = Ways(0.02, 0.1, 3.0)


def need(table: Changes, nodes: int) -> size.Need:
    """Return what a play needs; hollow fleets have a process of their own, one after another."""
    content = 100.0 * TEAMS / 1e6
    hollow = BASE_MB + nodes * content * COPIES
    return size.Need(max(hollow, BASE_MB + NODE_MB * table.real), 2 + 2 * table.real)


def teams(count: int) -> dict[str, Any]:
    """Return what a configuration says of so many teams: quotas as the operators plan them."""
    return {
        f"team-{i:03d}": {
            "accelerators": 20 + i % 80,
            "starts": 5 + i % 30,
            "borrow": i % 9,
            "urgent": i % 4 == 0,
            "region": f"r{i % 6}",
        }
        for i in range(count)
    }


def changed(settings: dict[str, Any], seed: int, mark: int) -> dict[str, Any]:
    """Return settings in which one team's quota is another."""
    names = sorted(settings["teams"])
    name = names[number_of(b"change:%d:%d" % (seed, mark)) % len(names)]
    row = settings["teams"][name] | {"accelerators": 1000 + mark}
    return settings | {"teams": settings["teams"] | {name: row}}


def values(document: object) -> int:
    """Return how many single values a document holds."""
    if isinstance(document, dict):
        return sum(map(values, document.values()))
    if isinstance(document, list):
        return sum(map(values, document))
    return 1


def base_settings(nodes: int) -> dict[str, Any]:
    """Return a node's settings, without teams."""
    return size.node_config("n0", "", nodes)["settings"]


# Hollow nodes.


class Hollow(ClusterSimulation):
    """Members of a fleet with versions, in one process; times in ms, by the clock and as charged."""

    def __init__(
        self,
        count: int,
        seed: int,
        listed: bool = False,
        ways: Ways = LAN,
        machine: type[ConfigReplica] = ConfigReplica,
    ) -> None:
        names = [f"n{i}" for i in range(count)]
        self.voters = names[:VOTERS] if count >= VOTERS else names
        lease = LEASE_PERIODS * PERIOD_MS
        self.terms = ReplicationSettings(frozenset(self.voters), PERIOD_MS, lease, False, 100.0 * lease)
        self.kind, self.ways, self.base = machine, ways, base_settings(count)
        addresses = {name: f"10.0.{i // 250}.{i % 250 + 1}:7000" for i, name in enumerate(names)}
        self.listed = addresses if listed else {}
        self.lanes: Counter[tuple[str, str]] = Counter()  # when the last note from one to another comes
        self.free: Counter[str] = Counter()  # until when a node is busy, as charged
        self.disk: Counter[str] = Counter()
        self.charged_disk: Counter[str] = Counter()
        self.cpu: Counter[str] = Counter()  # ms of processor time by node
        self.sent: Counter[str] = Counter()  # bytes by node
        self.kinds: Counter[str] = Counter()
        self.notes = self.taken_in = self.applied = self.two_contents = 0
        self.acting_at: dict[tuple[str, int], float] = {}  # as charged
        self.ids: dict[int, str] = {}
        self.came: dict[str, Counter[str]] = {}  # in which form contents came to a node, at its last change
        self.deployments: dict[str, Deployment] = {}
        self.meanings = {name: SettingsDigester() for name in names}
        self.waits: list[dict[str, Any]] = []  # settings to be published by n0
        self.asked_at: dict[int, float] = {}
        self.called = False  # whether the operator is about to publish the next
        super().__init__(count, seed, [], drift=DRIFT)

    # The world's steps, for these machines.

    def new_machine(self, name: str, seed: int) -> ConfigReplica:
        """Return a process's machine, which checks contents as a node does."""

        def wrong(content: Content) -> str:
            try:
                self.deployment(name, content.settings)
            except ConfigError as error:
                return str(error)
            return ""

        own = f"{name}/{self.process_count}"
        machine = self.kind(name, self.names, self.terms, own, seed, 0.0, RecoveredLog(begun=True), wrong)
        machine.next_ms = PERIOD_MS * self.random()
        return machine

    def deployment(self, name: str, shared: dict[str, Any]) -> Deployment:
        """Return settings as a node would act on them; raises ConfigError."""
        whole = shared | {"zone": self.base["zone"]}
        return deployment_from(whole, before=self.deployments.get(name), whole=True)

    def work(
        self,
        process: SimulatedMember,
        charged: float,
        call: Callable[..., list[Any]],
        *words: Any,  # noqa: ANN401
    ) -> None:
        """Have a node do something that is due, note its cost, and put on its way what comes of it."""
        name, out = process.name, list[tuple[str, bytes]]()
        keeps, applies = list[Persist](), list[ApplyContent]()
        began = time.thread_time_ns()
        for effect in call(*words):
            if type(effect) is SendMessage:
                note = messages.ReplicationDatagram(messages.VERSION, FLEET, name, effect.message)
                out.append((effect.recipient, messages.write(note)))
                self.kinds[messages.kind_of(effect.message).name.lower()] += 1
            elif type(effect) is Persist:
                for entry in effect.records:
                    encode(entry)
                keeps.append(effect)
            elif type(effect) is ApplyContent:
                self.act_on(name, effect.content)
                applies.append(effect)
        spent = (time.thread_time_ns() - began) / 1e6
        self.cpu[name] += spent
        over = self.free[name] = max(charged, self.free[name]) + spent
        for to, data in out:
            self.notes += 1
            self.sent[name] += len(data)
            way = self.ways.least_ms + self.ways.spread_ms * self.random()
            due = self.now + way
            if not self.ways.disorder:
                due = self.lanes[name, to] = max(due, self.lanes[name, to])
            self.at(due, self.arrive, to, data, over + due - self.now)
        for keep in keeps:
            took = self.ways.disk_ms * self.random()
            self.disk[name] = max(self.disk[name], self.now) + took
            self.charged_disk[name] = max(self.charged_disk[name], over) + took
            self.at(self.disk[name], self.go_on, process, keep.token, self.charged_disk[name])
            for entry in keep.records:
                if type(entry) is VersionHeld:
                    self.two_contents += self.ids.setdefault(entry.number, entry.id) != entry.id
        for apply in applies:
            self.acting_at[name, apply.number] = over
            if name != "n0":  # which has the whole from its operator
                self.applied += 1
                self.taken_in += self.took_in(process, apply)
        if name == "n0" and self.waits and not self.called:
            self.called = True
            self.at(self.now + self.ways.operator_ms, self.publish_next)

    def act_on(self, name: str, content: Content) -> None:
        """Act on a content, as a node does."""
        self.deployments[name] = self.deployment(name, content.settings)
        self.meanings[name].digest(content.settings)

    def took_in(self, process: SimulatedMember, apply: ApplyContent) -> int:
        """Return how many values a node took in for a change: those of a whole content, or the edits."""
        whole = values(apply.content.settings) + len(apply.content.members)
        came, before = process.machine.store.transfer_counts, self.came.get(process.name, Counter())
        self.came[process.name] = came.copy()
        return whole * (came["whole"] - before["whole"]) + came["edits"] - before["edits"]

    def go_on(self, process: SimulatedMember, token: int, charged: float) -> None:
        """Tell a node that something is durable."""
        self.work(process, charged, process.machine.persisted, self.local(process), token)
        self.schedule_tick(process)

    def tick(self, process: SimulatedMember) -> None:
        """Wake a node whose time has come."""
        process.tick_at = inf
        if process.machine.next_ms <= self.local(process) + 1e-6:
            self.work(process, self.now, process.machine.tick, self.local(process))
        self.schedule_tick(process)

    def arrive(self, to: str, data: bytes, charged: float) -> None:
        """Bring a datagram to its node."""
        process = self.processes[to]

        def hear() -> list[Any]:
            note = messages.read(data, FLEET, self.names)
            return process.machine.receive(self.local(process), note.sender, note.message)

        self.work(process, charged, hear)
        self.schedule_tick(process)

    # The play.

    def ask(self, given: dict[str, Any]) -> None:
        """Have settings published as soon as that can be."""
        self.waits.append(given)
        if not self.called:
            self.publish_next()

    def publish_next(self) -> None:
        """Have n0 publish what waits next, once it is not at another."""
        self.called = False
        process = self.processes["n0"]
        machine = process.machine
        busy = machine.publisher.publication is not None or machine.pending_version is not None
        if not self.waits or busy or machine.number < max(self.asked_at, default=0):
            return
        body = json.dumps(self.waits.pop(0)).encode()
        number = machine.number + 1
        self.asked_at[number] = self.now

        def publish() -> list[Any]:
            given = json.loads(body)
            voters, why = sorted(self.voters), f"change {number}"
            content = Content(FORMAT, number, machine.content_id, voters, why, "n0", given, self.listed)
            data = write(content)
            self.deployment("n0", read(data, machine.members).settings)
            return machine.publish(self.local(process), data)

        self.work(process, self.now, publish)
        self.schedule_tick(process)

    def settle(self) -> None:
        """Run until all act on what was asked for last, or for so long that it counts as missed."""
        end = self.now + 1000.0 * SETTLE_S
        while self.now < end:
            self.run(self.now + 100.0)
            newest = max(self.asked_at)
            if not self.waits and all(s.machine.applied_number >= newest for s in self.processes.values()):
                break

    def last_s(self, number: int) -> float:
        """Return how long after it was asked for the last node acted on a number, or a later one; in s."""
        least = dict.fromkeys(self.names, inf)
        for (name, n), t in self.acting_at.items():
            if n >= number:
                least[name] = min(least[name], t)
        return (max(least.values()) - self.asked_at[number]) / 1000.0


class Spell:
    """What nodes spend from now on."""

    def __init__(self, world: Hollow) -> None:
        self.world, self.began = world, world.now
        self.before = self.sums()

    def sums(self) -> dict[str, float]:
        """Return sums so far; processor time of those that neither publish nor vote."""
        world = self.world
        others = world.names - set(world.voters)
        return {
            "bytes": sum(world.sent.values()) / len(world.names),
            "notes": world.notes / len(world.names),
            "taken_in": world.taken_in,
            "applied": world.applied,
            "cpu_ms": sum(world.cpu[name] for name in others) / max(1, len(others)),
            "publisher_cpu_ms": world.cpu["n0"],
            "publisher_bytes": world.sent["n0"],
        }

    def spent(self) -> dict[str, float]:
        """Return what a node has spent, and for how long, in s."""
        now = self.sums()
        spent = {key: now[key] - self.before[key] for key in now}
        return spent | {"seconds": (self.world.now - self.began) / 1000.0}


def one_size(
    seed: int,
    table: Changes,
    count: int,
    nodes: int,
    listed: bool = False,
    ways: Ways = LAN,
    machine: type[ConfigReplica] = ConfigReplica,
) -> dict[str, float]:
    """Play one size: a time without changes, changes at their pace, a burst; return figures of a node."""
    world = Hollow(nodes, seed, listed, ways, machine)
    shared = {key: value for key, value in world.base.items() if key != "zone"} | {"teams": teams(count)}
    world.ask(shared)
    world.settle()
    world.run(world.now + 1000.0 * WARM_S)
    idle = Spell(world)
    world.run(world.now + 1000.0 * table.idle_s)
    calm = idle.spent()
    quiet = {key: value / calm["seconds"] for key, value in calm.items()}
    steady, marks = Spell(world), []
    for mark in range(table.changes):
        shared = changed(shared, seed, mark)
        marks.append(max(world.asked_at) + 1)
        world.ask(shared)
        world.run(world.now + 1000.0 * table.every_s)
    paced = steady.spent()
    world.settle()
    burst, began, number = Spell(world), world.now, max(world.asked_at)
    for mark in range(table.burst):
        shared = changed(shared, seed, 1000 + mark)
        world.ask(shared)
    world.settle()
    hurried, newest = burst.spent(), max(world.asked_at)

    def each(spell: dict[str, float], what: str, changes: int) -> float:
        return (spell[what] - quiet[what] * spell["seconds"]) / max(1, changes)

    span = paced["seconds"]
    missed = any(process.machine.applied_number != newest for process in world.processes.values())
    found = {
        "content_bytes": float(
            len(world.processes["n0"].machine.store.contents[world.processes["n0"].machine.content_id])
        ),
        "idle_bytes_s": quiet["bytes"],
        "bytes_s": paced["bytes"] / span,
        "bytes_change": each(paced, "bytes", table.changes),
        "notes_change": each(paced, "notes", table.changes),
        "publisher_bytes_s": paced["publisher_bytes"] / span,
        "values_change": paced["taken_in"] / max(1.0, paced["applied"]),
        "core_share": paced["cpu_ms"] / span / 1000.0,
        "cpu_ms_change": each(paced, "cpu_ms", table.changes),
        "publisher_core_share": paced["publisher_cpu_ms"] / span / 1000.0,
        "last_s": max(world.last_s(n) for n in marks),
        "memory_mb": memory_mb(count, nodes, listed),
        "notes": float(world.notes),
        "bytes": float(sum(world.sent.values())),
        "missed": float(missed or len(world.waits)),
        "two_contents": float(world.two_contents),
    }
    if table.burst:
        found |= {
            "burst_s": world.last_s(newest) + (world.asked_at[newest] - began) / 1000.0,
            "burst_bytes_change": each(hurried, "bytes", newest - number),
        }
    return found


def memory_mb(count: int, nodes: int, listed: bool) -> float:
    """Return what a node holds for a version of so many teams: machine, bytes, what it acts on; in MB."""
    names = [f"n{i}" for i in range(nodes)]
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        given = base_settings(nodes) | {"teams": teams(count)}
        members = dict.fromkeys(names, "10.0.0.1:7000") if listed else {}
        data = write(Content(FORMAT, 1, "", names[:3], "w", names[0], given, members))
        del given
        kept = RecoveredLog(begun=True, held=VersionHeld(1, digest(data)), contents={digest(data): data})
        terms = ReplicationSettings(frozenset(names[:3]), PERIOD_MS, LEASE_PERIODS * PERIOD_MS, False, 0.0)
        machine = ConfigReplica(names[0], frozenset(names), terms, "n0/1", 0, 0.0, kept)
        meanings = SettingsDigester()
        meanings.digest(machine.content.settings)
        deployment = deployment_from(machine.content.settings, whole=True)
        found = (tracemalloc.get_traced_memory()[0] - before) / 2.0**20
        del deployment, meanings
        return found
    finally:
        tracemalloc.stop()


# The band of real nodes.


class Real:
    """Real nodes on loopback that play the same work: published at n0's door, seen in what nodes log."""

    def __init__(self, out: Path, seed: int, table: Changes, show_progress: ShowProgress) -> None:
        self.seed, self.table, self.show_progress = seed, table, show_progress
        self.names = [f"n{i}" for i in range(table.real)]
        self.band = size.Band(out)
        self.held: list[socket.socket] = []
        self.doors = {name: self.door() for name in self.names}
        rows = "\n".join(f'{name} = "{reserved()}"' for name in self.names)
        for i, name in enumerate(self.names):
            ledger = out / "ledgers" / name
            create_ledger(ledger, name)
            own = f'[fleet]\nname = "{FLEET}"\nperiod_ms = {PERIOD_MS:g}\nfolder = "{ledger}"\n'
            own += f"voters = {json.dumps(self.names[:VOTERS])}\nlease_ms = {LEASE_PERIODS * PERIOD_MS:g}\n"
            config = size.node_config(name, "127.0.0.1:9", table.real, seed + i)
            config |= {"admin": self.doors[name]}
            self.band.start(name, config, f"{own}[fleet.members]\n{rows}\n")
        self.read_to = dict.fromkeys(self.names, 0)
        self.acting_at: dict[tuple[str, int], float] = {}

    def door(self) -> str:
        """Return an address for operators, held by a socket that does not listen."""
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("127.0.0.1", 0))
        self.held.append(held)
        return "{}:{}".format(*held.getsockname())

    def call(self, name: str, way: str, path: str, body: bytes | None = None) -> bytes:
        """Return what a node answers to a call; raises OSError."""
        host, _, port = self.doors[name].rpartition(":")
        call = http.client.HTTPConnection(host, int(port), timeout=5.0)
        try:
            call.request(way, path, body)
            return call.getresponse().read()
        finally:
            call.close()

    def look(self) -> None:
        """Read what nodes have logged."""
        now = time.monotonic()
        for name, process in self.band.nodes.items():
            if process.log.stat().st_size == self.read_to[name]:
                continue
            with process.log.open("rb") as lines:
                lines.seek(self.read_to[name])
                text = lines.read()
            whole = text[: text.rfind(b"\n") + 1]
            self.read_to[name] += len(whole)
            for line in whole.decode(errors="replace").splitlines():
                if "acts on version " in line:
                    number = int(line.partition("acts on version ")[2].partition(",")[0])
                    self.acting_at.setdefault((name, number), now)

    def wait(self, seconds: float, done: Callable[[], bool] = lambda: False) -> None:
        """Look at the logs for so long, or until something is done."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and not done():
            time.sleep(LOOK_S)
            self.look()

    def all_act(self, number: int) -> bool:
        """Return whether all nodes act on a number, or a later one."""
        acting = Counter[str]()
        for name, n in self.acting_at:
            acting[name] = max(acting[name], n)
        return all(acting[name] >= number for name in self.names)

    def last(self, number: int) -> float:
        """Return when the last node acted on a number, or a later one; inf for never."""
        firsts = dict.fromkeys(self.names, inf)
        for (name, n), t in self.acting_at.items():
            if n >= number:
                firsts[name] = min(firsts[name], t)
        return max(firsts.values())

    def sums(self) -> dict[str, float]:
        """Return sums so far: all letters' bytes, processor time of those that do not vote, memory."""
        others = self.names[VOTERS:]
        letters = [json.loads(self.call(name, "GET", "/control/fleet"))["letters"] for name in self.names]
        cpu, memory = self.band.cpu_ms(), self.band.resident_mb()
        return {
            "bytes": sum(row["bytes_sent"] for row in letters) / len(letters),
            "notes": sum(row["sent"] for row in letters) / len(letters),
            "cpu_ms": sum(cpu[name] for name in others) / len(others),
            "helper_ms": sum(map(self.helper_ms, others)) / len(others),
            "memory_mb": sum(memory[name] for name in others) / len(others),
            "seconds": time.monotonic(),
        }

    def helper_ms(self, name: str) -> float:
        """Return the processor time of the helper that writes a node's ledger."""
        pid = self.band.nodes[name].process.pid
        with contextlib.suppress(OSError):
            children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
            return sum(size.cpu_ms(int(child)) for child in children)
        return 0.0

    def publish(self, given: dict[str, Any], number: int) -> float:
        """Have n0 publish settings as a number; return when it was asked to."""
        body = json.dumps({"settings": given, "why": f"change {number}"}).encode()
        end = time.monotonic() + SETTLE_S
        while time.monotonic() < end:
            asked = time.monotonic()
            answer = self.call("n0", "POST", "/control/fleet/publish", body).decode()
            if answer.startswith(f"version {number}: open"):
                return asked
            self.wait(LAN.operator_ms / 1000.0)
        raise RunFailedError(f"n0 did not publish version {number}: {answer.strip()}")

    def play(self) -> dict[str, float]:
        """Play the work; return figures of a node."""
        table = self.table
        self.band.listens()
        self.wait(3.0)
        first = self.sums()
        base = base_settings(table.real)
        shared = {key: value for key, value in base.items() if key != "zone"}
        shared |= {"teams": teams(table.real_teams)}
        self.publish(shared, 1)
        self.wait(30.0, lambda: self.all_act(1))
        self.wait(WARM_S)
        calm = self.sums()
        self.wait(table.idle_s)
        begun, took = self.sums(), []
        for mark in range(table.changes):
            shared, number = changed(shared, self.seed, mark), mark + 2
            end = time.monotonic() + table.every_s
            asked = self.publish(shared, number)
            self.wait(end - time.monotonic())
            took.append(self.last(number) - asked)
            self.show_progress(f"{table.real} real nodes, {mark + 1} changes of {table.changes}")
        paced = self.sums()
        began = time.monotonic()
        for mark in range(table.burst):
            shared, number = changed(shared, self.seed, 1000 + mark), table.changes + 2 + mark
            self.publish(shared, number)
        self.wait(30.0, lambda: self.all_act(number))
        span = begun["seconds"] - calm["seconds"]
        quiet = {key: (begun[key] - calm[key]) / span for key in calm}
        span = paced["seconds"] - begun["seconds"]
        each = {key: (paced[key] - begun[key] - quiet[key] * span) / table.changes for key in calm}
        return {
            "bytes_change": each["bytes"],
            "notes_change": each["notes"],
            "cpu_ms_change": each["cpu_ms"],
            "helper_ms_change": each["helper_ms"],
            "memory_mb": calm["memory_mb"] - first["memory_mb"],
            "process_mb": paced["memory_mb"],
            "last_s": max(took),
            "burst_s": self.last(number) - began,
            "idle_core_share": quiet["cpu_ms"] / 1000.0,
        }

    def end(self) -> None:
        """End the nodes."""
        self.band.end()
        for held in self.held:
            held.close()


# The play.

COMPARED = ("bytes_change", "notes_change", "cpu_ms_change", "memory_mb", "last_s", "burst_s")
UNITS = {
    "content_bytes": "bytes",
    "idle_bytes_s": "bytes a second",
    "bytes_s": "bytes a second",
    "bytes_change": "bytes a change",
    "notes_change": "notes a change",
    "notes": "in the run",
    "publisher_bytes_s": "bytes a second",
    "values_change": "values a change",
    "bytes": "in the run",
    "core_share": "of a core",
    "cpu_ms_change": "ms a change",
    "publisher_core_share": "of a core",
    "last_s": "s",
    "burst_s": "s",
    "burst_bytes_change": "bytes a change",
    "memory_mb": "MB",
}
BOUNDS = {
    "bytes_s": size.BYTES_S,
    "core_share": size.CORE_SHARE,
    "memory_mb": size.MEMORY_MB,
    "last_s": size.FORCE_S,
    "burst_s": size.FORCE_S,
    "publisher_core_share": size.CORE_SHARE,
}
HOLLOW = ("core_share", "cpu_ms_change", "publisher_core_share", "memory_mb")
CHARGED = ("last_s", "burst_s")
NONE_OF = ("missed", "two_contents")


def counted(name: str) -> bool:
    """Return whether a figure by its name is a count, the same on every run."""
    return not any(part in name for part in (*HOLLOW, *CHARGED, "_over", "true_"))


def how_of(name: str) -> str:
    """Return how a figure was come by."""
    return "hollow" if name in HOLLOW else "virtual" if name in CHARGED else "counted"


@register_play("size_changes")
def size_changes(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Measure what changes of the configuration cost a node, by the number of teams in it."""
    table: Changes = experiment.tables["size_changes"]
    seed = experiment.head.seed
    most = size.afford(
        "size_changes.nodes", [max(table.nodes, table.full_nodes)], lambda nodes: need(table, nodes)
    )
    show_progress(f"needs {most.memory_mb:.0f} MB and {most.processes} processes at most")
    found: dict[str, float] = dict.fromkeys(NONE_OF, 0.0)
    tables, by_size = [], dict[int, dict[str, float]]()
    with size.limited(), size.scratch(out) as folder:
        for count in table.teams:
            show_progress(f"{count} teams, {table.nodes} hollow nodes")
            by_size[count] = size.apart(one_size, seed, table, count, table.nodes)
        others = {}
        if table.full_nodes:
            show_progress(f"{TEAMS} teams, {table.full_nodes} hollow nodes that the content lists")
            few = msgspec.structs.replace(table, changes=table.full_changes, burst=table.full_changes)
            others["full"] = size.apart(one_size, seed, few, TEAMS, table.full_nodes, True)
        if table.disorder:
            show_progress(f"{table.disorder} teams, notes overtake each other")
            few = msgspec.structs.replace(table, changes=2, burst=2, every_s=3.0 * table.every_s)
            ways = Ways(disorder=True)
            others["disorder"] = size.apart(one_size, seed, few, table.disorder, table.nodes, False, ways)
        for seen in (*by_size.values(), *others.values()):
            for key in NONE_OF:
                found[key] += seen.pop(key)
        for name, seen in others.items():
            rows = [["figure", "unit", "value", "bound", "value over bound"]]
            for key, value in seen.items():
                bound = BOUNDS.get(key)
                over = [f"{bound:g}", f"{value / bound:.3f}"] if bound else ["-", "-"]
                rows.append([key, UNITS[key], f"{value:.4g}", *over])
                found[f"{name}_{key}"] = value
                if bound:
                    found[f"{name}_{key}_over"] = value / bound
            nodes = table.full_nodes if name == "full" else table.nodes
            title = (
                f"{TEAMS} teams, {nodes} nodes that the content lists"
                if name == "full"
                else (f"{table.disorder} teams, {nodes} nodes, notes overtake each other")
            )
            tables.append((title, rows))
        if table.real:
            hollow = size.apart(one_size, seed, table, table.real_teams, table.real, False, LOOPBACK)
            real = Real(folder, seed, table, show_progress)
            try:
                seen = real.play()
            finally:
                real.end()
                (out / "publisher.log").write_bytes(real.band.nodes["n0"].log.read_bytes())
            pairs = {f"{key}_{table.real_teams}": (hollow[key], seen[key]) for key in COMPARED}
            rows, ratios = size.beside(pairs)
            tables.append((f"Hollow over real, {table.real} nodes each", rows))
            found |= ratios | {f"real_{key}": value for key, value in seen.items()}
    drawn = [
        Slope(
            name,
            UNITS[name],
            how_of(name),
            [(float(n), seen[name]) for n, seen in by_size.items()],
            float(TEAMS),
            BOUNDS.get(name),
            "teams",
        )
        for name in next(iter(by_size.values()))
    ]
    tables = [(f"Slopes, {table.nodes} nodes", slope.rows(drawn)), *tables]
    driver = "hollow and sockets" if table.real else "hollow"
    return RunResult(found | slope.figures(drawn), tables=tables, driver=driver, slopes=drawn)


def register() -> None:
    """Make the play's table known to experiment files."""
    file.register("size_changes", Changes)
