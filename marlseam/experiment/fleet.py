"""Real nodes of one fleet, with every datagram between them passing through here, and faults at named steps.

Each ordered pair of nodes has a socket of its own between them: what one says to another can be cut, lost,
doubled or kept back in that direction alone. A fault strikes before the n-th letter of a kind that a node
sends or receives, so a run is decided by what is said, not by sleep. Real are nodes, their sockets, signals
and time.
"""

import contextlib
import heapq
import http.client
import json
import os
import re
import resource
import select
import shutil
import signal
import socket
import threading
import time
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from math import inf
from pathlib import Path
from typing import Literal

from marlseam import records
from marlseam.cluster.audit_log import RecoveredLog
from marlseam.cluster.checking import membership_schedules
from marlseam.cluster.checking.membership_schedules import FAULTS, detection_bound_ms, healing_bound_ms
from marlseam.cluster.checking.replication_schedules import ReplicationSimulation
from marlseam.cluster.membership import MAX_LOCAL_HEALTH, Membership
from marlseam.cluster.membership_codec import (
    DatagramKind,
    GossipEntry,
    InvalidMessageError,
    MemberState,
    read,
)
from marlseam.cluster.replication import messages
from marlseam.cluster.replication.messages import StatusResponse
from marlseam.cluster.replication.replica import ConfigReplica, ReplicationSettings
from marlseam.emulators import clocks
from marlseam.experiment import file, plays
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.processes import RunFailedError
from marlseam.experiment.sockets import SocketDriver
from marlseam.load.process import arrivals_of
from marlseam.random_source import RandomSource
from marlseam.simulation.model import (
    Count,
    Day,
    NotNegative,
    Positive,
    Share,
    Strict,
    node_settings,
    placed_nodes,
)
from marlseam.store.ledger_writer import create_ledger

SAID = re.compile(r"member (\S+) (here|suspect|gone|left) life=(\d+)")
ACTED = re.compile(r"acts on version (\d+)|(in service)$|fleet code=(\S+): out of service")
RIG_FAULTS = (*FAULTS[:-1], "publish", "full", "copy", "old", "lost", "split", "upgrade")
LOOK_S, ASK_S = 0.02, 0.25
PUBLISH_S = 30.0  # for which it is asked what came of a publication
SLACK_MS = 250.0  # until a line of a node's log is seen, and a datagram has passed through


class Fault(Strict):
    """A fault, and the step before which it strikes: `sends ping 20`."""

    node: str
    step: str
    fault: str
    other: str = ""
    for_ms: NotNegative = 0.0


class Fleet(Strict):
    """What the nodes' fleet is like, and what strikes it."""

    period_ms: Positive = 200.0
    loss: Share = 0.0
    doubles: Share = 0.0
    faults: list[Fault] = []  # none: those of a schedule of chance, by the seed
    until_s: Positive = 30.0  # of the day; later steps are no faults any more
    voters: list[str] = []  # none: members alone, without versions
    lease_ms: Positive = 2000.0
    past_lease: Literal["serve", "strict"] = "strict"
    older: list[str] = []  # nodes that run as an older program does
    clocks: dict[str, float] = {}  # nodes whose clock runs at another rate, the wall clock off


def reserved() -> str:
    """Return an address for datagrams on loopback that was free a moment ago."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return "{}:{}".format(*sock.getsockname())


class Rig:
    """Stands between the nodes, in a thread of its own, and lets faults strike."""

    def __init__(self, names: list[str], table: Fleet, seed: int, out: Path) -> None:
        self.names, self.table, self.seed, self.out = names, table, seed, out
        self.chance = RandomSource(f"rig:{seed}")
        self.real = {name: reserved() for name in names}
        self.held: list[socket.socket] = []
        self.doors = {name: self.door() for name in names}
        self.between: dict[tuple[str, str], socket.socket] = {}
        for a in names:
            for b in names:
                if a != b:
                    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    sock.bind(("127.0.0.1", 0))
                    sock.setblocking(False)
                    self.between[a, b] = sock
        self.strikes: dict[tuple[str, bool, int, int], Fault] = {}
        for fault in table.faults or self.by_chance():
            self.strikes[self.key(fault)] = fault
        self.counts: dict[tuple[str, bool, int], int] = {}
        self.counts_steps = False  # not before the run's zero
        self.cuts: list[tuple[str, str, float]] = []
        self.spells: list[tuple[str, str, float, float]] = []  # who, which fault, since, until
        self.late: list[tuple[float, int, tuple[str, str], bytes]] = []
        self.told: list[tuple[float, str, str, str, int]] = []  # when, by whom, of whom, what, life
        self.acted: list[tuple[float, str, str]] = []  # when, who: the version, "in", or why out
        self.published: list[tuple[float, str, str]] = []  # when asked for, by whom, what came of it
        self.contents: dict[str, dict[str, int]] = {}  # in which form contents came to a node, as last asked
        self.replace: dict[str, str] = {}  # folders to be set back, or lost, before their node starts again
        logs = {name: out / "logs" / f"{name}.log" for name in names}
        # From here on: the folder may hold what nodes of an earlier run have logged.
        self.read_to = {name: log.stat().st_size if log.exists() else 0 for name, log in logs.items()}
        self.passed = self.lost = self.count = 0
        self.error: BaseException | None = None
        self.over = threading.Event()
        self.driver: SocketDriver | None = None
        self.thread = threading.Thread(target=self.run, daemon=True)

    def door(self) -> str:
        """Return an address for operators, held by a socket that does not listen while its node is away."""
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("127.0.0.1", 0))
        self.held.append(held)
        return "{}:{}".format(*held.getsockname())

    def by_chance(self) -> list[Fault]:
        """Return the schedule of the seed, as `fleet hunt` has it, with times in this fleet's periods."""
        found = []
        for s in membership_schedules.schedule(len(self.names), self.seed):
            step = f"{'sends' if s.sends else 'receives'} {s.kind.name.lower()} {s.ordinal}"
            for_ms = s.for_ms * self.table.period_ms / membership_schedules.PERIOD_MS
            found.append(Fault(s.node, step, "hold" if s.fault == "twin" else s.fault, s.other, for_ms))
        return found

    def key(self, fault: Fault) -> tuple[str, bool, int, int]:
        """Return the step of a fault."""
        way, kind, count = fault.step.split()
        kinds = {k.name.lower(): int(k) for k in (*DatagramKind, *messages.MessageKind)}
        if way not in ("sends", "receives") or fault.fault not in RIG_FAULTS or kind not in kinds:
            raise file.FileError(f"fleet.faults: {fault} has no known step or fault")
        if fault.node not in self.names or (fault.fault == "pair" and fault.other not in self.names):
            raise file.FileError(f"fleet.faults: {fault} names no node")
        return fault.node, way == "sends", kinds[kind], int(count)

    def ledger(self, name: str) -> Path:
        """Return where a node's ledger is."""
        return self.out / "ledgers" / name

    def prepare(self, name: str, _: dict[str, str]) -> None:
        """Make a node's ledger, before its first start."""
        if self.table.voters:
            shutil.rmtree(self.ledger(name), ignore_errors=True)
            create_ledger(self.ledger(name), name)

    def module(self, name: str) -> str:
        """Return what a node runs as."""
        odd = "older" if name in self.table.older else "clocks" if name in self.table.clocks else ""
        return f"marlseam.emulators.{odd}" if odd else "marlseam"

    def env(self, name: str) -> dict[str, str]:
        """Return what a node finds in its environment."""
        rate = self.table.clocks.get(name)
        # An hour on and back by turns, from start to start.
        jump = 3.6e6 * (-1) ** sum(spell[0] == name for spell in self.spells)
        return {} if rate is None else {clocks.VARIABLE: f"{rate} {jump}"}

    def between_lives(self, name: str) -> None:
        """Set a node's folder back, or lose it, before it starts again."""
        how = self.replace.pop(name, "")
        if how:
            shutil.rmtree(self.ledger(name))
        if how == "old":
            shutil.copytree(f"{self.ledger(name)}.copy", self.ledger(name))

    def settings(self, name: str) -> tuple[dict, str]:
        """Return a node's further configuration: its operators' door, and the fleet as it meets it."""
        rows = [f'{name} = "{self.real[name]}"']
        for other in self.names:
            if other != name:
                rows.append('{} = "{}:{}"'.format(other, *self.between[name, other].getsockname()))
        own = f'[fleet]\nname = "rig"\nperiod_ms = {self.table.period_ms:g}\n'
        if self.table.voters:
            own += f'folder = "{self.ledger(name)}"\nvoters = {json.dumps(self.table.voters)}\n'
            own += f'lease_ms = {self.table.lease_ms:g}\npast_lease = "{self.table.past_lease}"\n'
        own += "[fleet.members]\n"
        return {"admin": self.doors[name]}, own + "\n".join(rows) + "\n"

    def run(self) -> None:
        """Pass on what comes until the experiment is over."""
        pairs = {sock.fileno(): pair for pair, sock in self.between.items()}
        poll = select.epoll()
        for fd in pairs:
            poll.register(fd, select.EPOLLIN)
        looked = 0.0
        try:
            while not self.over.is_set():
                for fd, _ in poll.poll(LOOK_S):
                    pair = pairs[fd]
                    try:
                        data = self.between[pair].recv(65536)
                    except OSError:
                        continue
                    self.pass_on(pair, data)
                now = self.driver.now()
                while self.late and self.late[0][0] <= now:
                    _, _, pair, data = heapq.heappop(self.late)
                    self.deliver(pair, data)
                if now - looked > 1000.0 * LOOK_S:
                    looked = now
                    self.look(now)
        except BaseException as error:  # told to whoever waits for the run
            self.error = error
        finally:
            poll.close()

    def pass_on(self, pair: tuple[str, str], data: bytes) -> None:
        """Let one datagram go through, unless it is cut, lost or kept back."""
        a, b = pair
        fault = self.struck(a, True, data)
        if fault is not None:
            self.strike(fault, pair, data)
        now = self.driver.now()
        if (
            any(u > now and x in ("", a) and y in ("", b) for x, y, u in self.cuts)
            or self.chance() < self.table.loss
        ):
            self.lost += 1
            return
        for _ in range(1 + (self.chance() < self.table.doubles)):
            self.deliver(pair, data)

    def deliver(self, pair: tuple[str, str], data: bytes) -> None:
        """Hand a datagram to its node."""
        fault = self.struck(pair[1], False, data)
        if fault is not None:
            self.strike(fault, pair, data)
        host, _, port = self.real[pair[1]].rpartition(":")
        self.passed += 1
        try:
            self.between[pair].sendto(data, (host, int(port)))
        except OSError:
            self.lost += 1

    def struck(self, name: str, sends: bool, data: bytes) -> Fault | None:
        """Count a step, and return what strikes at it."""
        if not self.counts_steps:
            return None
        names = frozenset(self.names)
        try:
            if data[:1] == messages.DATAGRAM_PREFIX:
                kind = int(messages.kind_of(messages.read(data, "rig", names).message))
            else:
                kind = int(read(data, "rig", names).kind)
        except InvalidMessageError:
            return None
        key = name, sends, kind
        self.counts[key] = self.counts.get(key, 0) + 1
        return self.strikes.pop((*key, self.counts[key]), None)

    def strike(self, fault: Fault, pair: tuple[str, str], data: bytes) -> None:
        """Let a fault strike."""
        now, name = self.driver.now(), fault.node
        until = now + fault.for_ms
        pid = self.driver.nodes[name].process.pid
        if fault.fault == "publish":
            threading.Thread(target=self.publish, args=(name,), daemon=True).start()
            return
        if fault.fault == "upgrade":
            self.doors[name] = self.door()  # the later process's: the earlier one still has its own
            threading.Thread(target=self.driver.upgrade, args=(name,), daemon=True).start()
            self.spells.append((name, fault.fault, now, now + fault.for_ms))
            return
        if fault.fault == "copy":
            shutil.copytree(self.ledger(name), f"{self.ledger(name)}.copy", dirs_exist_ok=True)
            return
        self.spells.append((name, fault.fault, now, until))
        if fault.fault in ("old", "lost"):
            self.replace[name] = fault.fault
        if fault.fault in ("kill", "restart", "old", "lost"):
            self.driver.fell(name, fault.for_ms if fault.fault == "kill" else 0.0)
            os.kill(pid, signal.SIGKILL)
        elif fault.fault == "stop":
            row = records.NodeStateChanged(t=now, by="driver", node=name, state="stopped", until=until)
            self.driver.note(row)
            os.kill(pid, signal.SIGSTOP)
            threading.Timer(fault.for_ms / 1000.0, os.kill, (pid, signal.SIGCONT)).start()
        elif fault.fault == "full":
            self.allow(name, 0)
            threading.Timer(fault.for_ms / 1000.0, self.allow, (name, resource.RLIM_INFINITY)).start()
        elif fault.fault == "pair":
            self.cuts.append((name, fault.other, until))
        elif fault.fault == "split":
            # `other`: groups of names, each cut from all others (a|b), or the first not heard by the next
            # (a>b).
            one_way = ">" in fault.other
            groups = [group.split() for group in re.split("[|>]", fault.other)]
            for i, a in enumerate(groups):
                for b in groups[i + 1 :] if one_way else (*groups[:i], *groups[i + 1 :]):
                    self.cuts += [(x, y, until) for x in a for y in b]
        elif fault.fault == "hold":
            self.count += 1
            heapq.heappush(self.late, (until, self.count, pair, data))
        else:
            if fault.fault != "deaf":
                self.cuts.append((name, "", until))
            if fault.fault != "mute":
                self.cuts.append(("", name, until))

    def look(self, now: float) -> None:
        """Read what nodes have logged of one another."""
        for name in self.names:
            path = self.out / "logs" / f"{name}.log"
            if not path.exists():
                continue
            with path.open("rb") as log:
                log.seek(self.read_to[name])
                text = log.read()
            text = text[: text.rfind(b"\n") + 1]
            self.read_to[name] += len(text)
            for line in text.decode(errors="replace").splitlines():
                if found := SAID.search(line):
                    self.told.append((now, name, found[1], found[2], int(found[3])))
                elif found := ACTED.search(line):
                    self.acted.append((now, name, found[1] or found[3] or "in"))

    def allow(self, name: str, size: int) -> None:
        """Let the process that writes a node's ledger make files up to a size: its disk is full, or not."""
        pid = self.driver.nodes[name].process.pid
        for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split():
            with contextlib.suppress(OSError):
                resource.prlimit(int(child), resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    def publish(self, name: str) -> None:
        """Have a node publish a change, and note what comes of it."""
        now, count = self.driver.now(), len(self.published)
        self.published.append((now, name, "asked"))
        zone = dict(placed_nodes(self.driver.day))[name]
        changed = node_settings(self.driver.day, zone)
        changed["requestClasses"][0]["aimUs"] += 1000.0 * (count + 1)
        body = {"settings": changed, "why": f"change {count + 1}"}
        text = self.post(name, "/control/fleet/publish", json.dumps(body).encode())
        end = time.monotonic() + PUBLISH_S
        while time.monotonic() < end and not self.over.is_set():
            told = self.ask(name)
            result = told["acting"].get("publication", "") if told else ""
            if result and result != "open":
                text = result
                break
            time.sleep(ASK_S)
        self.published[count] = now, name, text

    def post(self, name: str, path: str, body: bytes) -> str:
        """Return what a node answers to a call."""
        host, _, port = self.doors[name].rpartition(":")
        try:
            call = http.client.HTTPConnection(host, int(port), timeout=2.0)
            call.request("POST", path, body)
            return call.getresponse().read().decode()
        except (OSError, http.client.HTTPException) as error:
            return f"no answer: {error}"

    def ask(self, name: str) -> dict | None:
        """Return what a node says of its fleet, or None where it does not say."""
        host, _, port = self.doors[name].rpartition(":")
        try:
            call = http.client.HTTPConnection(host, int(port), timeout=1.0)
            call.request("GET", "/control/fleet")
            return json.loads(call.getresponse().read())
        except (OSError, ValueError, http.client.HTTPException):
            return None

    def agree(self) -> list[str]:
        """Return who holds what is not so, by what all nodes say now."""
        said = {name: self.ask(name) for name in self.names}
        lives = {n: next(m["life"] for m in s["members"] if m["name"] == n) for n, s in said.items() if s}
        wrong = [f"{name} says nothing" for name, s in said.items() if s is None]
        for name, s in said.items():
            for m in s["members"] if s else ():
                if m["standing"] != "here" or m["life"] != lives.get(m["name"]):
                    wrong.append(f"{name} holds {m['name']} as {m['standing']} life {m['life']}")
        return wrong


def run(
    day: Day,
    seed: int,
    table: Fleet,
    out: Path,
    show_progress: ShowProgress,
    wrong: Callable[[Rig], list[str]],
) -> tuple[Rig, list[float]]:
    """Play a day under the rig's faults; return it, and how long after the last one nothing was wrong."""
    rig = Rig([name for name, _ in placed_nodes(day)], table, seed, out)
    driver = rig.driver = SocketDriver(
        day,
        seed,
        out,
        more=rig.settings,
        prepare=rig.prepare,
        between=rig.between_lives,
        module=rig.module,
        env=rig.env,
        shared=any(fault.fault == "upgrade" for fault in table.faults),
    )
    healed: list[float] = []
    driver.zero = time.monotonic()  # until the run's own: nodes hear each other before they are ready
    rig.thread.start()

    def progress(now: float) -> None:
        rig.counts_steps = True
        if rig.error is not None:
            raise RunFailedError(f"the rig ended: {rig.error!r}")
        show_progress(f"{max(0.0, now) / 1000.0:.0f} s of {day.seconds:g}, {len(rig.spells)} faults")
        over = max([until for *_, until in rig.spells], default=0.0)
        if now > 1000.0 * table.until_s and not table.faults:
            rig.strikes.clear()
        if not rig.strikes and now > over and not healed and not wrong(rig):
            healed.append(driver.now() - over)

    try:
        driver.run(arrivals_of(day, seed), progress)
    finally:
        rig.over.set()
        rig.thread.join()
        for sock in (*rig.between.values(), *rig.held):
            sock.close()
    return rig, healed


@register_play("fleet_members")
def fleet_members(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Have real nodes find out who of them is there, while faults strike, under load that the judge sees."""
    table: Fleet = experiment.tables["fleet_members"]
    day, seed = experiment.day, experiment.head.seed
    rig, healed = run(day, seed, table, out, show_progress, Rig.agree)
    names = rig.names
    played = plays.judge_records(*records.read_folder(out / "records"), driver="sockets")
    figures, rows = verdict(rig, len(names), table, healed)
    return RunResult(
        played.figures | figures, played.verdict, played.book, [("Members under faults", rows)], "sockets"
    )


def verdict(
    rig: Rig, count: int, table: Fleet, healed: list[float]
) -> tuple[dict[str, float], list[list[str]]]:
    """Hold what nodes logged against the bounds; return figures and a table."""
    period = table.period_ms
    suspicion = Membership("rig", "n0", frozenset(rig.names), 0, 0, period, 0.0).suspicion_ms(0)
    alone, many = (detection_bound_ms(count, suspicion, period, h) + SLACK_MS for h in (0, MAX_LOCAL_HEALTH))
    rows = [["node", "fault", "at, s", "for, s", "gone with the first, s", "with the last, s", "bound, s"]]
    past = slowest = held = 0.0
    for name, fault, since, until in rig.spells:
        # One that has doubted itself trusts itself again with each answer that it gets.
        since_calm = since - (MAX_LOCAL_HEALTH + 1) * MAX_LOCAL_HEALTH * period
        beside = [s for s in rig.spells if s[0] != name and s[2] < since + alone and s[3] > since_calm]
        bound = many if beside else alone
        ill = {s[0] for s in beside}
        first = {}
        for at, by, of, what, _ in rig.told:
            if of == name and what == "gone" and since <= at < until + SLACK_MS and by not in ill:
                first.setdefault(by, at - since)
        due = fault in ("kill", "stop", "cut") and until - since > bound
        took = [first.get(n, inf) for n in rig.names if n != name and n not in ill]
        if due:
            slowest = max(slowest, max(took) / bound)
            past += sum(t > bound for t in took)
            held += 1.0
        seen = sorted(first.values())
        shown = [f"{t / 1000.0:.2f}" for t in (seen[0], seen[-1])] if seen else ["-", "-"]
        rows.append(
            [
                name,
                fault,
                f"{since / 1000.0:.1f}",
                f"{(until - since) / 1000.0:.1f}",
                *shown,
                f"{bound / 1000.0:.1f}" if due else "none",
            ]
        )
    false = 0
    for at, _, _, what, _ in rig.told:
        calm = all(s[3] + many < at or s[2] > at for s in rig.spells)
        false += what == "gone" and calm and not table.loss
    heal = healing_bound_ms(count, period) + SLACK_MS
    figures = {
        "faults": float(len(rig.spells)),
        "not_struck": float(len(rig.strikes)),
        "past_bound": past,
        "held_to_bound": held,
        "nearest_detection": slowest,
        "false_gone": float(false),
        "letters": float(rig.passed),
        "heal_s": healed[0] / 1000.0 if healed else inf,
        "nearest_heal": healed[0] / heal if healed else inf,
    }
    return figures, rows


class Sizes(Strict):
    """Fleets in virtual time: one member is killed, some letters are lost."""

    nodes: list[Count]
    loss: list[Share]
    calm_s: Positive = 20.0
    watched_s: Positive = 60.0


def one_size(count: int, loss: float, seed: int, table: Sizes) -> dict[str, float]:
    """Play one fleet: find each other, lose one, and tell how long that took and what was said."""
    began = time.process_time()
    world = membership_schedules.MembershipSimulation(count, seed, [], loss=loss)
    world.run(1000.0 * table.calm_s)
    early = sum(map(len, world.declared_dead.values()))
    before = (
        sum(seat.datagrams for seat in world.processes.values()),
        sum(s.bytes for s in world.processes.values()),
    )
    world.end(world.processes["n1"])
    killed = world.now
    world.run(killed + 1000.0 * table.watched_s)
    took = sorted(
        min([t for t in world.declared_dead.get((name, "n1"), ()) if t >= killed], default=world.now) - killed
        for name in world.names - {"n1"}
    )
    false = early + sum(len(times) for (_, of), times in world.declared_dead.items() if of != "n1")
    spent = count * table.watched_s
    letters = sum(seat.datagrams for seat in world.processes.values()) - before[0]
    size = sum(seat.bytes for seat in world.processes.values()) - before[1]
    return {
        "not_told": float(sum(t >= 1000.0 * table.watched_s for t in took)),
        "median_s": took[len(took) // 2] / 1000.0,
        "p99_s": took[int(0.99 * (len(took) - 1))] / 1000.0,
        "most_s": took[-1] / 1000.0,
        "false": float(false),
        "letters": letters / spent,
        "bytes": size / spent,
        "cpu_s": time.process_time() - began,
    }


def memory_kb(count: int) -> float:
    """Return what a node of so many names holds for its fleet, all of them heard of, in kB."""
    names = frozenset(f"n{i}" for i in range(count))
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        machine = Membership("scale", "n0", names, 0, 0, membership_schedules.PERIOD_MS, 0.0)
        for name in names - {"n0"}:
            machine.merge(GossipEntry(name, MemberState(0, 1, 0)))
        terms = ReplicationSettings(
            frozenset(list(names)[:3]),
            membership_schedules.PERIOD_MS,
            15.0 * membership_schedules.PERIOD_MS,
            True,
            0.0,
        )
        versions = ConfigReplica("n0", names, terms, "n0/1", 0, 0.0, RecoveredLog())
        for name in names - {"n0"}:
            versions.receive_status(0.0, name, StatusResponse(0, 0, "", 0, True, "", 0, 0, True, -1.0))
        return (tracemalloc.get_traced_memory()[0] - before) / 1024.0
    finally:
        tracemalloc.stop()


def one_version(count: int, loss: float, seed: int, table: Sizes) -> dict[str, float]:
    """Publish in one fleet, and tell how long it took until all act on it, and what was said."""
    world = ReplicationSimulation(count, seed, [], voters=min(7, count), loss=loss)
    world.run(1000.0 * table.calm_s)
    before = (
        sum(seat.datagrams for seat in world.processes.values()),
        sum(s.bytes for s in world.processes.values()),
    )
    proved = sum(seat.machine.lease.is_proven(world.local(seat)) for seat in world.processes.values())
    world.run(2000.0 * table.calm_s)
    spent = count * table.calm_s
    letters = sum(seat.datagrams for seat in world.processes.values()) - before[0]
    size = sum(seat.bytes for seat in world.processes.values()) - before[1]
    world.publish("n7", 1)
    asked = world.now
    world.run(asked + 1000.0 * table.watched_s)
    took = sorted(world.applied_at_ms.get((name, 1), inf) - asked for name in world.names)
    return {
        "not_acting": float(sum(t == inf for t in took)),
        "act_median_s": took[len(took) // 2] / 1000.0,
        "act_p99_s": took[int(0.99 * (len(took) - 1))] / 1000.0,
        "act_most_s": took[-1] / 1000.0,
        "unproved": float(count - proved),
        "notes": letters / spent,
        "note_bytes": size / spent,
        "versions_wrong": float(len(world.checker.findings)),
    }


@register_play("fleet_scale")
def fleet_scale(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Measure membership by the fleet's size and the share of letters that are lost, in virtual time."""
    table: Sizes = experiment.tables["fleet_scale"]
    rows = [
        [
            "members",
            "loss",
            "gone at half, s",
            "99%, s",
            "all, s",
            "bound, s",
            "not told",
            "false words",
            "letters a node and s",
            "bytes",
            "CPU, s",
        ]
    ]
    head = "members;loss;half act on a new version after, s;99%, s;all, s;not;notes a node and s;"
    versions = [(head + "bytes a node and s, in all;memory a node, kB").split(";")]
    found: dict[str, float] = {}
    with ProcessPoolExecutor() as pool:
        spread = {
            (count, loss): pool.submit(one_version, count, loss, experiment.head.seed, table)
            for count in table.nodes
            for loss in table.loss
        }
        runs = {
            (count, loss): pool.submit(one_size, count, loss, experiment.head.seed, table)
            for count in table.nodes
            for loss in table.loss
        }
        for (count, loss), run in runs.items():
            seen = run.result()
            show_progress(f"{count} members, {loss:.0%} lost")
            names = frozenset(f"n{i}" for i in range(count))
            machine = Membership("fleet", "n0", names, 0, 0, membership_schedules.PERIOD_MS, 0.0)
            bound = (
                detection_bound_ms(count, machine.suspicion_ms(0), membership_schedules.PERIOD_MS, 0) / 1000.0
            )
            found |= {f"n{count}_loss{round(100 * loss)}_{key}": value for key, value in seen.items()}
            shown = [f"{seen[key]:.1f}" for key in ("median_s", "p99_s", "most_s")]
            rows.append(
                [
                    str(count),
                    f"{loss:.0%}",
                    *shown,
                    f"{bound:.0f}",
                    *(f"{seen[key]:.0f}" for key in ("not_told", "false")),
                    *(f"{seen[key]:.{n}f}" for key, n in (("letters", 2), ("bytes", 0), ("cpu_s", 0))),
                ]
            )
            if not loss:
                for key in ("false", "not_told"):
                    found[key] = found.get(key, 0.0) + seen[key]
                found["nearest"] = max(found.get("nearest", 0.0), seen["most_s"] / bound)
            acts = spread[count, loss].result()
            found |= {f"n{count}_loss{round(100 * loss)}_{key}": value for key, value in acts.items()}
            for key in ("not_acting", "unproved", "versions_wrong"):
                found[key] = found.get(key, 0.0) + acts[key]
            total = seen["bytes"] + acts["note_bytes"]
            found["bytes_most"] = max(found.get("bytes_most", 0.0), total)
            found["memory_kb_most"] = max(found.get("memory_kb_most", 0.0), memory_kb(count))
            times = [f"{acts[key]:.1f}" for key in ("act_median_s", "act_p99_s", "act_most_s")]
            others = [f"{acts['not_acting']:.0f}", f"{acts['notes']:.1f}", f"{total:.0f}"]
            versions.append([str(count), f"{loss:.0%}", *times, *others, f"{memory_kb(count):.0f}"])
    return RunResult(
        found, tables=[("Members by size and loss", rows), ("Versions", versions)], driver="virtual"
    )


class Cost(Strict):
    """The same load with the fleet off and on, in turn."""

    pairs: Count = 3
    period_ms: Positive = 1000.0


@register_play("fleet_cost")
def fleet_cost(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Measure what membership costs a node: CPU time a work unit and latency, in pairs."""
    table: Cost = experiment.tables["fleet_cost"]
    day, seed = experiment.day, experiment.head.seed
    names = [name for name, _ in placed_nodes(day)]
    arrivals = arrivals_of(day, seed)
    rows = [["pair", "off: CPU a job, ms", "p99, ms", "on: CPU a job, ms", "p99, ms", "CPU on over off"]]
    ratios, found = [], {"rules_broken": 0.0}
    for i in range(table.pairs):
        row = [str(i + 1)]
        cpu = {}
        for name in ("off", "on") if i % 2 == 0 else ("on", "off"):
            show_progress(f"pair {i + 1}, the fleet {name}")
            members = "\n".join(f'{n} = "{reserved()}"' for n in names)
            where = out / f"{name}-{i + 1}"
            shutil.rmtree(where / "ledgers", ignore_errors=True)

            def own(node: str, members: str = members, where: Path = where, on: bool = name == "on") -> tuple:
                ledger = where / "ledgers" / node
                if not on:
                    return {}, ""
                if not ledger.exists():
                    create_ledger(ledger, node)
                head = f'[fleet]\nname = "cost"\nperiod_ms = {table.period_ms:g}\nfolder = "{ledger}"\n'
                return {}, f"{head}voters = {json.dumps(names[:3])}\n[fleet.members]\n{members}\n"

            driver = SocketDriver(day, seed, where, more=own)
            driver.run(arrivals)
            played = plays.judge_records(*records.read_folder(where / "records"), driver="sockets")
            cpu[name] = 1000.0 * sum(driver.cpu_s.values()) / max(1.0, played.figures["completed"])
            found[f"{name}_p99"] = found.get(f"{name}_p99", 0.0) + played.figures["latency_p99"] / table.pairs
            found["rules_broken"] += played.figures["rules_broken"]
            cpu[f"{name}_p99"] = played.figures["latency_p99"]
        ratios.append(cpu["on"] / cpu["off"])
        row += [f"{cpu['off']:.3f}", f"{cpu['off_p99']:.0f}", f"{cpu['on']:.3f}", f"{cpu['on_p99']:.0f}"]
        rows.append([*row, f"{ratios[-1]:.3f}"])
    found |= {"cpu_ratio": sorted(ratios)[len(ratios) // 2], "cpu_ratio_most": max(ratios)}
    found["p99_ratio"] = found["on_p99"] / found["off_p99"]
    return RunResult(found, tables=[("What membership costs", rows)], driver="sockets")


def register() -> None:
    """Make the tables of these plays known to experiment files."""
    file.register("fleet_cost", Cost)
    file.register("fleet_members", Fleet)
    file.register("fleet_scale", Sizes)
