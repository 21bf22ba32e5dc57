"""Descriptors: none are left at the very moment at which one is needed (issue 47, docs/design/endings.md).

A real node in a process of its own, under a limit of its own; the test plays discovery, servers, operators
and the crowd of clients. `full` takes the last descriptor from the node: it sets that process's limit to the
number of those that it has, so that the next call that needs one fails in every run, whatever else goes
on; what the node gives up from then on it can have again. Every wait ends by an event, and a long time that
only a node that never does it reaches.
"""

import contextlib
import errno
import json
import os
import resource
import select
import signal
import socket
import subprocess
import sys
import time

import pytest
from conftest import OPTIONS
from test_net import REQUEST

from marlseam.net import http
from marlseam.net.connection import connect
from marlseam.net.descriptors import SPARE_COUNT, Descriptors
from marlseam.net.downstream import NEW_GRACE_MS, AdmissionLimits
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.log import MAX_BURST_LINES, Log, Reason

LIMIT = 256
ROOM = (LIMIT - 32 - 16) // 2  # for clients, of a node with an operators' door (docs/node.md)
WAIT_S = 30.0  # by when a node that does it at all has done it
READY = b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"
LOOKS = 5  # at the node's descriptors: a call to discovery that is refused has one for a moment
LIST = b"GET /api/targets HTTP/1.1"
NODE = """
import resource, runpy, sys
resource.setrlimit(resource.RLIMIT_NOFILE, ({limit}, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
sys.argv[0] = "marlseam"
runpy.run_module("marlseam", run_name="__main__", alter_sys=True)
"""
# One that a class may have out for as long as a test lasts, and that nobody gives up or sends again.
CLASSES = [
    {"name": "statement", "aimUs": 5000000, "deadlineUs": 60000000, "semantics": "safe"},
    {"name": "posting", "aimUs": 50000000, "deadlineUs": 60000000, "semantics": "unsafe"},
]


class Server:
    """A listening socket of the test's; before `listen` it has its address and refuses."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = "{}:{}".format(*self.sock.getsockname())
        self.listens = False
        self.open: dict[socket.socket, bytes] = {}
        self.asked: list[bytes] = []  # heads of requests, in order

    def listen(self) -> None:
        self.sock.listen(512)
        self.listens = True

    def step(self, answer) -> None:
        """Accept, read, and answer each whole request; `answer` returns bytes, or None for silence."""
        while self.listens:
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                break
            sock.setblocking(False)
            self.open[sock] = b""
        for sock in list(self.open):
            try:
                data = sock.recv(1 << 16)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            if not data:
                del self.open[sock]
                sock.close()
                continue
            self.open[sock] += data
            while b"\r\n\r\n" in self.open[sock]:
                head, _, rest = self.open[sock].partition(b"\r\n\r\n")
                size = 3 if head.startswith(b"POST") else 0
                if len(rest) < size:
                    break
                self.open[sock] = rest[size:]
                self.asked.append(head)
                said = answer(head)
                if said is not None:
                    sock.sendall(said)

    def close(self) -> None:
        for sock in (self.sock, *self.open):
            sock.close()


def whole(status: bytes, body: bytes, *headers: bytes) -> bytes:
    lines = [b"HTTP/1.1 " + status + b" -", b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class World:
    """One node, and all that it talks to."""

    def __init__(self, path, **values) -> None:
        self.discovery, self.executor = Server(), Server()
        self.executor.listen()
        self.answers = True  # whether the server does
        self.clients: list[socket.socket] = []
        hosts = [
            {
                "host": "e1",
                "dial": self.executor.address,
                "health": "active",
                "site": "here",
                "class": "plain",
                "block": 0,
            }
        ]
        self.list = {"seq": 1, "whole": True, "hosts": hosts}
        limits = OPTIONS["ceilings"] | {"mayProbe": False, "sendCap": 1, "keepaliveUs": 600000000}
        options = OPTIONS | {"requestClasses": CLASSES, "ceilings": limits, "guarantees": {}}
        options["guarantees"] = {"mustAskInUs": 10000000}
        self.values = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "settings": options,
            "discovery": self.discovery.address,
            "known": self.list,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
        }
        self.path = path / "node.json"
        self.path.write_text(json.dumps(self.values))
        words = ["serve", "--config", str(self.path)]
        if values:
            own = path / "own.toml"
            own.write_text("\n".join(f"[{table}]\n{text}" for table, text in values.items()))
            words += ["--settings", str(own)]
        self.process = subprocess.Popen(
            [sys.executable, "-c", NODE.format(limit=LIMIT), *words], stderr=subprocess.PIPE
        )
        os.set_blocking(self.process.stderr.fileno(), False)
        self.text = ""
        self.until(lambda: "listens on" in self.text)
        line = next(line for line in self.text.splitlines() if "listens on" in line)
        host, _, port = line.rpartition(" ")[2].rpartition(":")
        self.door = host, int(port)
        self.own = self.at_rest()

    # The peers.

    def step(self) -> None:
        """Let each of the node's peers do what it does."""
        self.discovery.step(self.directory)
        self.executor.step(self.work)
        while True:
            try:
                data = os.read(self.process.stderr.fileno(), 1 << 16)
            except BlockingIOError:
                break
            if not data:
                break
            self.text += data.decode()
        assert self.process.poll() is None, self.text

    def directory(self, head: bytes) -> bytes | None:
        """Give the whole list, and hold watches."""
        return whole(b"200", json.dumps(self.list).encode()) if b"since" not in head else None

    def work(self, head: bytes) -> bytes | None:
        """Do work; each connection ends with it, so that the next needs a new one."""
        if not self.answers:
            return None
        if head.startswith(b"GET"):
            return whole(b"200", b"")
        id = next(line for line in head.split(b"\r\n") if line.lower().startswith(b"x-correlation-id"))
        row = {"id": id.split(b": ")[1].decode(), "from": "e1", "state": "done", "result": "r"}
        return whole(b"200", json.dumps(row).encode() + b"\n", b"Connection: close")

    def until(self, holds, seconds: float = WAIT_S):
        """Go on until something holds; return it."""
        end = time.monotonic() + seconds
        while not (found := holds()):
            assert time.monotonic() < end, f"it did not come; the node says: {self.text[-2000:]}"
            socks = [self.process.stderr, *self.discovery.open, *self.executor.open]
            socks += [s.sock for s in (self.discovery, self.executor) if s.listens]
            select.select(socks, [], [], 0.005)
            self.step()
        return found

    # Clients.

    def client(self, data: bytes = b"", door=None) -> socket.socket:
        """Connect, and say something."""
        sock = socket.create_connection(door or self.door, timeout=WAIT_S)
        sock.setblocking(False)
        if data:
            sock.sendall(data)
        self.clients.append(sock)
        return sock

    def post(self, type: bytes = b"statement", left: bytes = b"50") -> bytes:
        """Return a request of a good client's."""
        self.count = getattr(self, "count", 0) + 1
        return (
            b"POST /%b HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %x\r\nX-Service-Class: %b\r\n"
            b"X-Time-Left: %b\r\nContent-Length: 3\r\n\r\nabc" % (type, self.count, type, left)
        )

    def call(self, door, what: bytes) -> bytes:
        """Return what an operator is answered."""
        data = b""
        with socket.create_connection(door, timeout=WAIT_S) as sock:
            sock.sendall(b"GET /control/%b HTTP/1.1\r\nHost: h\r\n\r\n" % what)
            while more := sock.recv(1 << 16):
                data += more
        return data

    def answer(self, sock: socket.socket) -> bytes:
        """Return the answer that comes, or the end."""
        data = b""

        def came() -> bool:
            nonlocal data
            try:
                more = sock.recv(1 << 16)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                more = b""
            data += more
            return not more or b"\r\n\r\n" in data

        self.until(came)
        return data

    def served(self, sock: socket.socket) -> None:
        """Have a client's work done."""
        sock.sendall(self.post())
        assert self.answer(sock).startswith(b"HTTP/1.1 200 ")

    def rest(self, number: int) -> None:
        """Have clients that rest after an answer, which a node keeps for minutes."""
        for _ in range(number):
            self.served(self.client())

    def ended(self, sock: socket.socket) -> bool:
        """Return whether the node has closed a connection."""
        try:
            return not sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    # The node's process.

    @contextlib.contextmanager
    def stopped(self):
        """Have the node's process stand still."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WNOWAIT)
        yield
        self.process.send_signal(signal.SIGCONT)

    def fds(self) -> int:
        """Return how many descriptors the node has."""
        return len(self.used())

    def look(self) -> int:
        """Return how many descriptors the node has a moment later."""
        select.select([], [], [], 0.005)
        self.step()
        return self.fds()

    def at_rest(self) -> int:
        """Return how many descriptors the node has but for calls to discovery, which are refused at once."""
        return min(self.look() for _ in range(LOOKS))

    def used(self) -> set[int]:
        """Return the numbers of the node's descriptors."""
        return {int(name) for name in os.listdir(f"/proc/{self.process.pid}/fd")}

    def has_gap(self, used: set[int] | None = None) -> bool:
        """Return whether a number below others in use is free."""
        used = self.used() if used is None else used
        return used != set(range(len(used)))

    def limit(self, number: int) -> None:
        """Set the node's own limit."""
        hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)[1]
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (number, hard))

    def full(self, fill=None) -> None:
        """Leave the node no descriptor but those that it has.

        A number that is free below others in use would stay the lowest, whatever is given up: as a call to
        discovery had it when another client came. It is taken by one more client: one that rests, or what
        `fill` brings where no server answers and none could come to rest.
        """
        held, free, end = 0, 0, time.monotonic() + WAIT_S
        while held < LOOKS:
            assert time.monotonic() < end, (sorted(self.used()), self.text[-2000:])
            used = self.used()
            if self.has_gap(used):
                held, free = 0, free + 1
                if free % LOOKS == 0:
                    self.limit(LIMIT)
                    if fill is not None:
                        fill()
                        continue
                    answers, self.answers = self.answers, True  # whose server may be one that hangs
                    self.rest(1)
                    self.answers = answers
            elif len(used) != resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)[0]:
                held = 0
                self.limit(len(used))
            else:
                held += 1
            self.look()

    def gives_all_back(self) -> None:
        """Have everybody go, and see the node come back to just the descriptors that it had at first."""
        self.limit(LIMIT)
        for sock in self.clients:
            sock.close()
        for server in (self.discovery, self.executor):
            server.close()
            server.open, server.listens = {}, False
        self.until(lambda: self.fds() <= self.own)
        assert self.answer(self.client(READY)).startswith(b"HTTP/1.1 200 ")  # spares are held again by now
        self.clients[-1].close()
        self.until(lambda: self.fds() == self.own)

    def codes(self, what: str) -> list[str]:
        """Return the reason codes with which connections of a kind ended."""
        lines = [line for line in self.text.splitlines() if f"{what} ended code=" in line]
        return [line.split("code=")[1].split()[0] for line in lines]

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        for end in (self.discovery, self.executor, *self.clients):
            end.close()


@pytest.fixture
def world(tmp_path):
    made = []

    def build(**values):
        made.append(World(tmp_path, **values))
        return made[-1]

    yield build
    for each in made:
        each.close()


def admin_door(world):
    """Return where operators call: the one other socket of the node's that listens."""
    inodes = set()
    for name in os.listdir(f"/proc/{world.process.pid}/fd"):
        try:
            target = os.readlink(f"/proc/{world.process.pid}/fd/{name}")
        except FileNotFoundError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    with open("/proc/net/tcp") as file:
        rows = [line.split() for line in file.readlines()[1:]]
    ports = {int(row[1].split(":")[1], 16) for row in rows if row[3] == "0A" and row[9] in inodes}
    (port,) = ports - {world.door[1]}
    return "127.0.0.1", port


# By the system's own account, before ours: each order with no descriptor left, and clients that rest.


def test_discovery_is_reached_at_its_return_with_no_descriptor_left(world):
    here = world()
    here.rest(5)
    here.full()
    before = sum(here.ended(sock) for sock in here.clients)  # by a call that was due meanwhile, and refused
    here.discovery.listen()
    here.until(lambda: here.discovery.asked or "no-sockets" in here.codes("discovery"))
    assert here.discovery.asked
    assert here.discovery.asked[0].startswith(LIST)
    assert "no-sockets" not in here.codes("discovery")
    given = sum(here.ended(sock) for sock in here.clients)
    assert given - before <= 1 <= given  # one, and no more than that
    here.gives_all_back()


def test_a_send_that_is_due_with_no_descriptor_left_goes_out(world):
    here = world()
    here.rest(5)
    here.full()
    before = len(here.executor.asked)
    here.served(here.clients[-1])  # on a connection that it has; to the server a new one is needed
    assert len(here.executor.asked) == before + 1
    assert "no-sockets" not in here.codes("server e1")
    assert here.ended(here.clients[0])  # the one that rested for longest
    here.gives_all_back()


def test_an_operator_is_answered_with_no_descriptor_left(world):
    here = world()
    here.rest(5)
    door = admin_door(here)
    here.full()
    sock = here.client(b"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n", door)
    assert here.answer(sock).startswith(b"HTTP/1.1 200 ")
    here.gives_all_back()


def test_a_new_configuration_is_read_with_no_descriptor_left(world):
    here = world()
    here.rest(5)
    other = Server()
    here.path.write_text(json.dumps(here.values | {"discovery": other.address}))
    here.full()
    here.process.send_signal(signal.SIGHUP)
    here.until(lambda: "the configuration" in here.text or "new configuration" in here.text)
    assert f"new configuration, discovery at {other.address}" in here.text
    here.gives_all_back()
    other.close()


@pytest.mark.parametrize("number", [1, 40])
def test_good_clients_are_served_with_no_descriptor_left(world, number):
    here = world()
    here.rest(5)
    here.full()
    with here.stopped():  # so that their requests are there as they are accepted
        socks = [here.client(here.post()) for _ in range(number)]
    answers = [here.answer(sock) for sock in socks]
    wrong = [answer for answer in answers if not answer.startswith(b"HTTP/1.1 200 ")]
    assert not wrong, (wrong, here.text)
    here.gives_all_back()


def test_the_writing_process_is_started_again_with_no_descriptor_left(world, tmp_path):
    here = world(store=f'folder = "{tmp_path}/state"\nsync = "written"')
    here.until(lambda: "state is kept in" in here.text)
    here.own = here.at_rest()
    here.rest(12)
    (child,) = helpers(here.process.pid)
    here.full()
    os.kill(child, signal.SIGKILL)  # our node's own helper
    here.until(lambda: here.text.count("state is kept in") == 2 or here.text.count("is not kept") == 2)
    assert here.text.count("state is kept in") == 2, here.text
    here.gives_all_back()


def helpers(pid):
    """Return the processes that a process has started."""
    with open(f"/proc/{pid}/task/{pid}/children") as file:
        return [int(word) for word in file.read().split()]


# Nobody has anything to give up: each client's work is out. What the node needs for itself is held back.


def test_discovery_operators_and_configurations_have_spares_where_all_work_is_out(world):
    here = world()
    here.answers = False
    door = admin_door(here)

    def one_more():
        here.client(here.post(b"posting"))
        said = b"\npending=%d\n" % len(here.clients)
        here.until(lambda: said in here.call(door, b"counters"))
        # No operator's connection lingers.
        here.until(lambda: here.fds() == here.own + len(here.clients) + len(here.executor.open))

    while len(here.clients) < 5 or here.has_gap():
        one_more()
    other = Server()
    here.path.write_text(json.dumps(here.values | {"limits": here.values["limits"] | {"memory_mb": 200}}))
    here.full(one_more)
    number = len(here.clients)
    here.discovery.listen()
    here.until(lambda: here.discovery.asked or "no-sockets" in here.codes("discovery"))
    assert "no-sockets" not in here.codes("discovery")
    sock = here.client(b"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n", door)
    assert here.answer(sock).startswith(b"HTTP/1.1 200 ")
    here.process.send_signal(signal.SIGHUP)
    here.until(lambda: "the configuration" in here.text or "new configuration" in here.text)
    assert "new configuration" in here.text
    assert not any(
        here.ended(client) for client in here.clients[:number]
    )  # nobody whose work is out pays for it
    here.gives_all_back()
    other.close()


# By our own account, before the system's: more than there is room for, for as long as the test goes on.


class Crowd:
    """Clients that connect and say nothing, little, or rest; whoever is closed comes again at once."""

    def __init__(self, here, says) -> None:
        self.here, self.says, self.number = here, says, 0
        self.socks: list[socket.socket] = []

    def step(self) -> bool:
        """Have as many connections as there is room for, and a queue beside them."""
        for sock in list(self.socks):
            with contextlib.suppress(BlockingIOError, ConnectionResetError):
                while sock.recv(1 << 16):  # an answer, if there is one
                    pass
            if self.here.ended(sock):
                self.socks.remove(sock)
                sock.close()
        while len(self.socks) < ROOM + 40:
            self.socks.append(self.here.client(self.says))
            self.number += 1
        return self.full()

    def full(self) -> bool:
        """Return whether the node has taken as many as it has room for."""
        return self.here.fds() >= self.here.own + ROOM


@pytest.mark.parametrize("says", [b"", b"POST /state", READY])
def test_a_crowd_keeps_a_node_from_nothing(world, says):
    here = world()
    door, crowd = admin_door(here), Crowd(here, says)
    step = here.step
    here.step = lambda: (step(), crowd.step())
    here.until(crowd.full)
    assert not here.discovery.asked
    here.discovery.listen()
    here.until(lambda: here.discovery.asked or "no-sockets" in here.codes("discovery"))
    for _ in range(5):
        here.served(here.client())
        sock = here.client(b"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n", door)
        assert here.answer(sock).startswith(b"HTTP/1.1 200 ")
    here.path.write_text(json.dumps(here.values | {"limits": here.values["limits"] | {"memory_mb": 200}}))
    here.process.send_signal(signal.SIGHUP)
    here.until(lambda: "new configuration" in here.text)  # said among the ends of the crowd's connections
    assert "no-sockets" not in here.text
    assert here.fds() <= LIMIT
    here.step = step
    here.gives_all_back()


# Who is given up: whoever said nothing for a while, then who rests, and new ones last of all.


@pytest.fixture
def resting(node, client, reply):
    """Return clients that rest after an answer, six in a room for eight, in the order in which they came."""

    def take(pending):
        pending.respond(200, [], b"r")  # at once: a server of this process's own may be late on busy cores
        return "1"

    node.downstream.take_request, socks = take, []
    for _ in range(6):
        socks.append(client(REQUEST))
        assert reply(socks[-1]).startswith(b"HTTP/1.1 200 ")
    node.downstream.limits = AdmissionLimits(8, 1e9)
    return socks


def silent(node, client):
    """Return a client that has connected alone, and the node's end of it."""
    before = {*node.downstream.open}
    sock, end = client(b""), node.loop.now() + 1000.0 * WAIT_S
    while not (made := {*node.downstream.open} - before):
        assert node.loop.now() < end, "it was not taken"
        node.loop.turn()
    return sock, made.pop()


def test_clients_that_say_nothing_for_a_while_give_way_first(node, client, resting):
    kept = {*node.downstream.open}
    (_, old), (_, new) = silent(node, client), silent(node, client)
    old.opened_ms -= NEW_GRACE_MS
    silent(node, client)
    assert old.closed
    assert not new.closed
    assert not any(door.closed for door in kept)


def test_those_who_rest_give_way_before_a_few_new_ones(node, client, resting, reply):
    kept = [*node.downstream.idle]
    (sock, first), (_, second) = silent(node, client), silent(node, client)
    silent(node, client)
    assert not first.closed
    assert not second.closed
    assert [door.closed for door in kept] == [True] + 5 * [False]
    sock.sendall(REQUEST)
    assert reply(sock).startswith(b"HTTP/1.1 200 ")


def test_a_flood_of_new_ones_takes_no_more_than_its_share_from_those_who_rest(node, client, resting):
    kept = [*node.downstream.idle]
    for _ in range(30):
        silent(node, client)
    assert sum(door.closed for door in kept) == 1  # three new ones are over a quarter of eight


# The parts.


def test_what_opens_has_room_made_for_it_as_often_as_it_takes():
    fails, given = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS], []
    descriptors = Descriptors()
    descriptors.releasers = [lambda: given.append(1) or True]

    def opens():
        if fails:
            raise OSError(fails.pop(), "none")
        return "open"

    assert descriptors.opened(opens) == "open"
    assert len(given) == 3


def test_what_fails_for_another_reason_costs_nobody_anything():
    given = []
    descriptors = Descriptors()
    descriptors.releasers = [lambda: given.append(1) or True]

    def opens():
        raise OSError(errno.EACCES, "no")

    with pytest.raises(OSError, match="no"):
        descriptors.opened(opens)
    assert not given


def test_room_that_does_not_help_ends():
    given = []
    descriptors = Descriptors()
    descriptors.releasers = [lambda: given.append(1) or True]

    def opens():
        raise OSError(errno.ENFILE, "none")

    with pytest.raises(OSError, match="none"):
        descriptors.opened(opens)
    assert len(given) < 20  # the whole system is short: nothing of ours mends that


def test_spares_are_for_the_nodes_own_needs_and_come_back(monkeypatch):
    descriptors = Descriptors()
    descriptors.hold_spares()
    assert len(descriptors.spares) == SPARE_COUNT
    assert not descriptors.release_one()
    assert descriptors.release_one(own=True)
    assert len(descriptors.spares) == SPARE_COUNT - 1
    with monkeypatch.context() as patch:
        patch.setattr(os, "dup", lambda number: (_ for _ in ()).throw(OSError(errno.EMFILE, "none")))
        assert not descriptors.hold_all_spares()
    assert descriptors.hold_all_spares()
    assert len(descriptors.spares) == SPARE_COUNT
    descriptors.drop_spares()


def test_spares_are_held_again_before_more_clients_are_taken(node, client, monkeypatch):
    node.loop.descriptors.hold_spares()
    node.loop.descriptors.release_one(own=True)
    taken = node.downstream.open
    with monkeypatch.context() as patch:
        patch.setattr(os, "dup", lambda number: (_ for _ in ()).throw(OSError(errno.EMFILE, "none")))
        client(b"")
        for _ in range(5):
            node.loop.at(node.loop.now(), lambda: None)
            node.loop.turn()
        assert not taken
    assert node.downstream.has_capacity(False)
    assert len(node.loop.descriptors.spares) == SPARE_COUNT
    node.loop.descriptors.drop_spares()


def test_a_call_with_no_descriptor_for_it_is_told_as_before(loop, refuse, capsys):
    refuse(socket.AF_INET, errno.EMFILE)
    caught = []

    def call():
        try:
            yield from connect(loop, Log("n", loop.now), ("127.0.0.1", 9), "server e1", loop.now() + 1000.0)
        except ConnectionEndedError as ended:
            caught.append(ended.reason)

    loop.spawn(call())
    assert caught == [Reason.NO_SOCKETS]
    assert "code=no-sockets" in capsys.readouterr().err


def test_accepting_goes_on_at_once_where_an_idle_client_could_be_given_up(node, client):
    """Not one in 20 ms: forty good clients behind a full table would wait for most of a second."""
    for _ in range(4):
        client(b"")
    while len(node.downstream.open) < 4:
        node.loop.turn()
    real, most, taken = node.downstream.listener.sock, 4, []

    class Short:
        """The listening socket of a process that can have four connections of clients."""

        def __getattr__(self, name):
            return getattr(real, name)

        def accept(self):
            if len(node.downstream.open) >= most and select.select([real], [], [], 0)[0]:
                raise OSError(errno.EMFILE, "none")
            taken.append(real.accept())
            return taken[-1]

    node.downstream.listener.sock = Short()
    before = {*node.downstream.open}
    for _ in range(http.MAX_ACCEPTS_PER_TURN):
        client(b"")
    node.loop.turn()
    assert len(taken) >= http.MAX_ACCEPTS_PER_TURN - 1
    assert not before & {*node.downstream.open}
    node.downstream.listener.sock = real


def test_the_ends_of_connections_leave_room_in_the_log_for_all_else(capsys):
    log = Log("n", lambda: 0.0)
    for _ in range(1000):
        log.connection_ended("client", Reason.CROWDED, 0)
    log.line("new configuration")
    lines = capsys.readouterr().err.splitlines()
    assert lines[-1] == "marlseam n: new configuration"
    assert len(lines) < MAX_BURST_LINES
