"""A real node in a process of its own, under a descriptor limit, and all that it talks to.

The test plays discovery, servers, operators and clients. `use_up_descriptors` takes the last descriptor from
the node: it sets that process's limit to the number of those that it has, so that the next call that needs
one fails in every run, whatever else goes on; what the node releases from then on it can have again. Every
wait ends by an event, or after a long time that only a node reaches that never does what is awaited.
"""

import contextlib
import json
import os
import resource
import select
import signal
import socket
import subprocess
import sys
import time

from conftest import OPTIONS

DESCRIPTOR_LIMIT = 256
MAX_CLIENTS = (DESCRIPTOR_LIMIT - 32 - 16) // 2  # of a node with an operators' listener (docs/node.md)
REAL_TIME_LIMIT_S = 30.0  # by when a node that does something at all has done it
READINESS_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"
SAMPLES = 5  # of the count of descriptors: a call to discovery that is refused has one for a moment
LIST_CALL = b"GET /api/targets HTTP/1.1"
LIMITED_PROCESS = """
import resource, runpy, sys
resource.setrlimit(resource.RLIMIT_NOFILE, ({limit}, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
sys.argv[0] = "marlseam"
runpy.run_module("marlseam", run_name="__main__", alter_sys=True)
"""
# Requests of these may be in flight for as long as a test lasts, and are neither given up nor retried.
PATIENT_CLASSES = [
    {"name": "statement", "aimUs": 5000000, "deadlineUs": 60000000, "semantics": "safe"},
    {"name": "posting", "aimUs": 50000000, "deadlineUs": 60000000, "semantics": "unsafe"},
]


class ScriptedServer:
    """A listening socket that the test serves; before `listen` it has its address and refuses.

    Attributes:
        open: the connections, with what has come and was not taken
        received: heads of the requests, in their order
    """

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = "{}:{}".format(*self.sock.getsockname())
        self.listens = False
        self.open: dict[socket.socket, bytes] = {}
        self.received: list[bytes] = []

    def listen(self) -> None:
        self.sock.listen(512)
        self.listens = True

    def step(self, answer) -> None:
        """Accept, read, and answer each whole request; `answer` returns bytes, or None for silence."""
        while self.listens and self.accept():
            pass
        for sock in list(self.open):
            if self.read(sock):
                self.answer_requests(sock, answer)

    def accept(self) -> bool:
        """Accept one connection, if there is one."""
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            return False
        sock.setblocking(False)
        self.open[sock] = b""
        return True

    def read(self, sock: socket.socket) -> bool:
        """Return whether something has come on a connection; drop one that has ended."""
        try:
            data = sock.recv(1 << 16)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        if not data:
            del self.open[sock]
            sock.close()
            return False
        self.open[sock] += data
        return True

    def answer_requests(self, sock: socket.socket, answer) -> None:
        """Answer all requests that have come whole on a connection."""
        while b"\r\n\r\n" in self.open[sock]:
            head, _, rest = self.open[sock].partition(b"\r\n\r\n")
            size = 3 if head.startswith(b"POST") else 0
            if len(rest) < size:
                break
            self.open[sock] = rest[size:]
            self.received.append(head)
            answer_bytes = answer(head)
            if answer_bytes is not None:
                sock.sendall(answer_bytes)

    def close(self) -> None:
        for sock in (self.sock, *self.open):
            sock.close()


def response(status: bytes, body: bytes, *headers: bytes) -> bytes:
    """Return a response with this status, body and further headers."""
    lines = [b"HTTP/1.1 " + status + b" -", b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class LimitedNode:
    """One node, and all that it talks to.

    Attributes:
        discovery, server: what the test serves
        server_answers: whether the server does
        clients: the clients' sockets, in the order in which they connected
        request_count: how many requests have been made up
        values: the node's configuration, and `path` its file
        log: what the node has logged
        address: where it listens
        own_descriptors: how many descriptors it has without clients
    """

    def __init__(self, path, **values) -> None:
        self.discovery, self.server = ScriptedServer(), ScriptedServer()
        self.server.listen()
        self.server_answers = True
        self.request_count = 0
        self.clients: list[socket.socket] = []
        endpoint = {"host": "e1", "health": "active", "site": "here", "class": "plain", "block": 0}
        self.list = {"seq": 1, "whole": True, "hosts": [endpoint | {"dial": self.server.address}]}
        self.values = self.configuration()
        self.path = path / "node.json"
        self.path.write_text(json.dumps(self.values))
        arguments = ["serve", "--config", str(self.path)]
        if values:
            own_settings = path / "own.toml"
            own_settings.write_text("\n".join(f"[{table}]\n{text}" for table, text in values.items()))
            arguments += ["--settings", str(own_settings)]
        command = [sys.executable, "-c", LIMITED_PROCESS.format(limit=DESCRIPTOR_LIMIT), *arguments]
        self.process = subprocess.Popen(command, stderr=subprocess.PIPE)
        os.set_blocking(self.process.stderr.fileno(), False)
        self.log = ""
        self.run_until(lambda: "listens on" in self.log)
        line = next(line for line in self.log.splitlines() if "listens on" in line)
        host, _, port = line.rpartition(" ")[2].rpartition(":")
        self.address = host, int(port)
        self.own_descriptors = self.settled_descriptor_count()

    def configuration(self) -> dict:
        """Return the node's configuration."""
        ceilings = OPTIONS["ceilings"] | {"mayProbe": False, "sendCap": 1, "keepaliveUs": 600000000}
        options = {
            "requestClasses": PATIENT_CLASSES,
            "ceilings": ceilings,
            "guarantees": {"mustAskInUs": 10000000},
        }
        return {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "settings": OPTIONS | options,
            "discovery": self.discovery.address,
            "known": self.list,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
        }

    def step(self) -> None:
        """Let discovery and the server answer, and read the node's log."""
        self.discovery.step(self.answer_discovery)
        self.server.step(self.answer_attempt)
        while True:
            try:
                data = os.read(self.process.stderr.fileno(), 1 << 16)
            except BlockingIOError:
                break
            if not data:
                break
            self.log += data.decode()
        assert self.process.poll() is None, self.log

    def answer_discovery(self, head: bytes) -> bytes | None:
        """Answer calls for the list, and hold watches."""
        return response(b"200", json.dumps(self.list).encode()) if b"since" not in head else None

    def answer_attempt(self, head: bytes) -> bytes | None:
        """Complete an attempt and end its connection, so that the next one needs a new connection."""
        if not self.server_answers:
            return None
        if head.startswith(b"GET"):
            return response(b"200", b"")
        headers = head.split(b"\r\n")
        id_header = next(header for header in headers if header.lower().startswith(b"x-correlation-id"))
        line = {"id": id_header.split(b": ")[1].decode(), "from": "e1", "state": "done", "result": "r"}
        return response(b"200", json.dumps(line).encode() + b"\n", b"Connection: close")

    def run_until(self, condition, seconds: float = REAL_TIME_LIMIT_S):
        """Run all parts until a condition holds; return its value."""
        end_s = time.monotonic() + seconds
        while not (result := condition()):
            assert time.monotonic() < end_s, f"it did not come; the node's log: {self.log[-2000:]}"
            sources = [self.process.stderr, *self.discovery.open, *self.server.open]
            sources += [server.sock for server in (self.discovery, self.server) if server.listens]
            select.select(sources, [], [], 0.005)
            self.step()
        return result

    def connect(self, data: bytes = b"", address=None) -> socket.socket:
        """Connect as a client, and send some bytes."""
        sock = socket.create_connection(address or self.address, timeout=REAL_TIME_LIMIT_S)
        sock.setblocking(False)
        if data:
            sock.sendall(data)
        self.clients.append(sock)
        return sock

    def request(self, class_name: bytes = b"statement", time_left_s: bytes = b"50") -> bytes:
        """Return a request under an id of its own."""
        self.request_count += 1
        return (
            b"POST /%b HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %x\r\nX-Service-Class: %b\r\n"
            b"X-Time-Left: %b\r\nContent-Length: 3\r\n\r\nabc"
            % (class_name, self.request_count, class_name, time_left_s)
        )

    def call_operator(self, address, path: bytes) -> bytes:
        """Return the answer to an operator's request."""
        data = b""
        with socket.create_connection(address, timeout=REAL_TIME_LIMIT_S) as sock:
            sock.sendall(b"GET /control/%b HTTP/1.1\r\nHost: h\r\n\r\n" % path)
            while received := sock.recv(1 << 16):
                data += received
        return data

    def read_answer(self, sock: socket.socket) -> bytes:
        """Return the answer to a client, empty if the connection ends."""
        data = b""

        def has_come() -> bool:
            nonlocal data
            try:
                received = sock.recv(1 << 16)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                received = b""
            data += received
            return not received or b"\r\n\r\n" in data

        self.run_until(has_come)
        return data

    def serve_client(self, sock: socket.socket) -> None:
        """Have a request of a client completed."""
        sock.sendall(self.request())
        assert self.read_answer(sock).startswith(b"HTTP/1.1 200 ")

    def add_idle_clients(self, count: int) -> None:
        """Add clients whose connections are idle after an answer; a node keeps these for minutes."""
        for _ in range(count):
            self.serve_client(self.connect())

    def is_closed(self, sock: socket.socket) -> bool:
        """Return whether the node has closed a connection."""
        try:
            return not sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    @contextlib.contextmanager
    def stopped(self):
        """Stop the node's process for a while."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WNOWAIT)
        yield
        self.process.send_signal(signal.SIGCONT)

    def descriptor_count(self) -> int:
        """Return how many descriptors the node has."""
        return len(self.descriptors())

    def sample_descriptor_count(self) -> int:
        """Return how many descriptors the node has a moment later."""
        select.select([], [], [], 0.005)
        self.step()
        return self.descriptor_count()

    def settled_descriptor_count(self) -> int:
        """Return how many descriptors the node has but for calls to discovery, which are refused at once."""
        return min(self.sample_descriptor_count() for _ in range(SAMPLES))

    def descriptors(self) -> set[int]:
        """Return the numbers of the node's descriptors."""
        return {int(name) for name in os.listdir(f"/proc/{self.process.pid}/fd")}

    def has_gap(self, used: set[int] | None = None) -> bool:
        """Return whether a number below others in use is free."""
        used = self.descriptors() if used is None else used
        return used != set(range(len(used)))

    def set_limit(self, count: int) -> None:
        """Set the node's own limit."""
        hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)[1]
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (count, hard))

    def use_up_descriptors(self, fill=None) -> None:
        """Leave the node no descriptor but those that it has.

        A number that is free below others in use would stay the lowest, whatever is released: a call to
        discovery may have had it when another client came. One more client takes it: an idle one, or what
        `fill` adds where no server answers and no client could become idle.
        """
        full_samples, gap_samples, end_s = 0, 0, time.monotonic() + REAL_TIME_LIMIT_S
        while full_samples < SAMPLES:
            assert time.monotonic() < end_s, (sorted(self.descriptors()), self.log[-2000:])
            used = self.descriptors()
            if self.has_gap(used):
                full_samples, gap_samples = 0, gap_samples + 1
                if gap_samples % SAMPLES == 0:
                    self.set_limit(DESCRIPTOR_LIMIT)
                    if fill is not None:
                        fill()
                        continue
                    self.add_idle_client_of_answering_server()
            elif len(used) != resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)[0]:
                full_samples = 0
                self.set_limit(len(used))
            else:
                full_samples += 1
            self.sample_descriptor_count()

    def add_idle_client_of_answering_server(self) -> None:
        """Add an idle client also where the server answers nothing in a test."""
        answers, self.server_answers = self.server_answers, True
        self.add_idle_clients(1)
        self.server_answers = answers

    def assert_all_given_back(self) -> None:
        """Have all connections end, and assert that the node has only its first descriptors."""
        self.set_limit(DESCRIPTOR_LIMIT)
        for sock in self.clients:
            sock.close()
        for server in (self.discovery, self.server):
            server.close()
            server.open, server.listens = {}, False
        self.run_until(lambda: self.descriptor_count() <= self.own_descriptors)
        # Spares are held again by now.
        assert self.read_answer(self.connect(READINESS_REQUEST)).startswith(b"HTTP/1.1 200 ")
        self.clients[-1].close()
        self.run_until(lambda: self.descriptor_count() == self.own_descriptors)

    def end_reasons(self, kind: str) -> list[str]:
        """Return the reason codes with which connections of a kind ended."""
        lines = [line for line in self.log.splitlines() if f"{kind} ended code=" in line]
        return [line.split("code=")[1].split()[0] for line in lines]

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        for peer in (self.discovery, self.server, *self.clients):
            peer.close()


def operator_address(limited):
    """Return where the node listens for operators: its one other listening socket."""
    inodes = set()
    for name in os.listdir(f"/proc/{limited.process.pid}/fd"):
        try:
            target = os.readlink(f"/proc/{limited.process.pid}/fd/{name}")
        except FileNotFoundError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    with open("/proc/net/tcp") as file:
        rows = [line.split() for line in file.readlines()[1:]]
    ports = {int(row[1].split(":")[1], 16) for row in rows if row[3] == "0A" and row[9] in inodes}
    (port,) = ports - {limited.address[1]}
    return "127.0.0.1", port


def child_processes(pid):
    """Return the processes that a process has started."""
    with open(f"/proc/{pid}/task/{pid}/children") as file:
        return [int(word) for word in file.read().split()]
