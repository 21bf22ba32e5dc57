"""A real node in its own process, under a descriptor limit, and all its peers.

The test acts as discovery, servers, operators and clients. `use_up_descriptors` leaves the node no free
descriptor: it sets the process's limit to the number of open descriptors, so that the next call that needs
one fails in every run, whatever else happens; descriptors that the node releases later can be used again.
Every wait ends with an event, or after REAL_TIME_LIMIT_S if the node never does what the test waits for.
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
MAX_CLIENTS = (DESCRIPTOR_LIMIT - 32 - 16) // 2  # of a node that also listens for operators (docs/node.md)
REAL_TIME_LIMIT_S = 30.0  # limit of each wait, reached only if the awaited event never happens
READINESS_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"
SAMPLES = 5  # samples of the descriptor count, since a refused call to discovery uses one for a moment
LIST_CALL = b"GET /api/targets HTTP/1.1"
LIMITED_PROCESS = """
import resource, runpy, sys
resource.setrlimit(resource.RLIMIT_NOFILE, ({limit}, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
sys.argv[0] = "marlseam"
runpy.run_module("marlseam", run_name="__main__", alter_sys=True)
"""
# Requests of these classes stay in flight for a whole test, without a time-out or a retry.
LONG_RUNNING_CLASSES = [
    {"name": "statement", "aimUs": 5000000, "deadlineUs": 60000000, "semantics": "safe"},
    {"name": "posting", "aimUs": 50000000, "deadlineUs": 60000000, "semantics": "unsafe"},
]


class ScriptedServer:
    """A listening socket that the test serves; before `listen` it has an address and refuses connections.

    Attributes:
        open: the connections, with their received bytes that are not answered yet
        received: heads of the requests, in the order of arrival
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
        """Accept, read, and answer each complete request; `answer` returns bytes, or None for no answer."""
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
        """Read a connection and return whether bytes arrived; close a connection that has ended."""
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
        """Answer all complete requests on a connection."""
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
    """Return an HTTP response with this status, body and further headers."""
    lines = [b"HTTP/1.1 " + status + b" -", b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class LimitedNode:
    """One node and all its peers.

    Attributes:
        discovery, server: the peers that the test serves
        server_answers: whether the server answers requests
        clients: the clients' sockets, in the order in which they connected
        request_count: number of requests created, which numbers their ids
        values, path: the node's configuration and its file
        log: the node's log so far
        address: host and port on which the node listens for clients
        own_descriptors: number of the node's descriptors without clients
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
            "requestClasses": LONG_RUNNING_CLASSES,
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
        """Serve requests to discovery and the server, and read the node's log; fail if the node has ended."""
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
        """Answer calls for the list, and leave watches open."""
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
        """Run `step` until a condition holds; return the condition's value."""
        end_s = time.monotonic() + seconds
        while not (result := condition()):
            assert time.monotonic() < end_s, f"condition not met in time; the node's log: {self.log[-2000:]}"
            sources = [self.process.stderr, *self.discovery.open, *self.server.open]
            sources += [server.sock for server in (self.discovery, self.server) if server.listens]
            select.select(sources, [], [], 0.005)
            self.step()
        return result

    def connect(self, data: bytes = b"", address=None) -> socket.socket:
        """Connect as a client, send `data` and return the socket."""
        sock = socket.create_connection(address or self.address, timeout=REAL_TIME_LIMIT_S)
        sock.setblocking(False)
        if data:
            sock.sendall(data)
        self.clients.append(sock)
        return sock

    def request(self, class_name: bytes = b"statement", time_left_s: bytes = b"50") -> bytes:
        """Return a request with a new id."""
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
        """Return the answer to a client; empty if the connection ends without one."""
        data = b""

        def is_answered() -> bool:
            nonlocal data
            try:
                received = sock.recv(1 << 16)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                received = b""
            data += received
            return not received or b"\r\n\r\n" in data

        self.run_until(is_answered)
        return data

    def serve_client(self, sock: socket.socket) -> None:
        """Send a request of a client and assert that it is answered with 200."""
        sock.sendall(self.request())
        assert self.read_answer(sock).startswith(b"HTTP/1.1 200 ")

    def add_idle_clients(self, count: int) -> None:
        """Add clients whose connections are idle after an answer; a node keeps these open for minutes."""
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
        """Suspend the node's process by SIGSTOP within a `with` block."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WNOWAIT)
        yield
        self.process.send_signal(signal.SIGCONT)

    def descriptor_count(self) -> int:
        """Return how many descriptors the node has open."""
        return len(self.descriptors())

    def sample_descriptor_count(self) -> int:
        """Return how many descriptors the node has open after another 5 ms and a step."""
        select.select([], [], [], 0.005)
        self.step()
        return self.descriptor_count()

    def settled_descriptor_count(self) -> int:
        """Return how many descriptors the node has open, except for calls to discovery, which are refused."""
        return min(self.sample_descriptor_count() for _ in range(SAMPLES))

    def descriptors(self) -> set[int]:
        """Return the numbers of the node's open descriptors."""
        return {int(name) for name in os.listdir(f"/proc/{self.process.pid}/fd")}

    def has_gap(self, used: set[int] | None = None) -> bool:
        """Return whether a descriptor number below the highest used one is free."""
        used = self.descriptors() if used is None else used
        return used != set(range(len(used)))

    def set_limit(self, count: int) -> None:
        """Set the soft descriptor limit of the node's process."""
        hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)[1]
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (count, hard))

    def use_up_descriptors(self, fill=None) -> None:
        """Lower the node's descriptor limit to the descriptors that it has open.

        A free number below used ones would stay available under any limit: a call to discovery may have used
        it while another client connected. One more client takes this number: an idle client, or the one that
        `fill` adds if the server does not answer, so that no client becomes idle.
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
        """Add an idle client even if the server does not answer in this test."""
        answers, self.server_answers = self.server_answers, True
        self.add_idle_clients(1)
        self.server_answers = answers

    def assert_all_given_back(self) -> None:
        """Close all peers' connections, and assert that the node has only its own descriptors left."""
        self.set_limit(DESCRIPTOR_LIMIT)
        for sock in self.clients:
            sock.close()
        for server in (self.discovery, self.server):
            server.close()
            server.open, server.listens = {}, False
        self.run_until(lambda: self.descriptor_count() <= self.own_descriptors)
        # The answer shows that the spare descriptors are held again.
        assert self.read_answer(self.connect(READINESS_REQUEST)).startswith(b"HTTP/1.1 200 ")
        self.clients[-1].close()
        self.run_until(lambda: self.descriptor_count() == self.own_descriptors)

    def end_reasons(self, kind: str) -> list[str]:
        """Return the logged reason codes of ended connections of a kind."""
        lines = [line for line in self.log.splitlines() if f"{kind} ended code=" in line]
        return [line.split("code=")[1].split()[0] for line in lines]

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        for peer in (self.discovery, self.server, *self.clients):
            peer.close()


def operator_address(limited):
    """Return where the node listens for operators: the address of its only other listening socket."""
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
    """Return the ids of a process's child processes."""
    with open(f"/proc/{pid}/task/{pid}/children") as file:
        return [int(word) for word in file.read().split()]
