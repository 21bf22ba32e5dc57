"""Stand-ins for executors, discovery, clients and the platform, shared by the cases of this review.

They follow the operators' protocol page: executors answer a job in chunks, one JSON object a line; discovery
answers the whole list and long watches; clients send one request at a time on a connection; the platform
starts a node by the line `run` of deploy/balancer.toml. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit statuses of a case
READY_LIMIT_S = 20.0  # a node that is not ready by then makes the case one that could not run
NODE_END_LIMIT_S = 8.0  # from SIGTERM to SIGKILL when a case ends
WATCH_GAP_S = 0.02
# Descriptor through which a node inherits the clients' socket; a shell can only name those below 10. It is
# taken here, before anything else opens one.
INHERITED_FD = os.dup2(os.open(os.devnull, os.O_RDONLY), 9, inheritable=False)


class CouldNotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """The lines of record.txt: what was sent, answered and run, each with its time in s from the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began_s = time.monotonic()

    def now(self) -> float:
        """Return the time since the start, in s."""
        return time.monotonic() - self.began_s

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a loopback port that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


# HTTP/1.1, as much of it as the protocol page needs.


@dataclass
class Message:
    """One HTTP message: its first line, its headers by lower-case name, and its body."""

    first: str
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; return None where the connection ends before one."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rows = raw.decode("latin-1").split("\r\n")
    pairs = (row.partition(":") for row in rows if row)
    return Message(first, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message that has a Content-Length or no body."""
    message = await read_head(reader)
    if message is not None:
        try:
            message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return message


def encoded(status: str, body: bytes) -> bytes:
    """Return a whole answer."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


# Executors.


@dataclass
class Job:
    """One job as an executor received it."""

    executor: str
    id: str
    key: str
    target: str
    acting: str
    begun_s: float


Work = Callable[["Executor", Job], Awaitable[str]]


async def work_briefly(_executor: "Executor", _job: Job) -> str:
    """Run a job for 50 ms and return the state of the last line."""
    await asyncio.sleep(0.05)
    return "done"


@dataclass
class Executor:
    """One executor: begins each job when its last byte has come, and answers as its work says."""

    name: str
    block: int
    record: Record
    work: Work = work_briefly
    site: str = "here"
    port: int = 0
    slots: int = 8
    running: int = 0
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> "Executor":
        """Listen on a free port, or on `port` if one is set."""
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def entry(self) -> dict[str, Any]:
        """Return this executor's entry of discovery's list."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": self.site,
            "class": "plain",
            "block": self.block,
            "health": "active",
            "share": 1.0,
            "born_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one at a time."""
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                await self.answer(message, writer)
        self.writers.discard(writer)
        writer.close()

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a probe, or run a job and answer in chunks."""
        method, target, _ = message.first.split(" ")
        if method == "GET":
            writer.write(encoded("200 OK", f"x0={self.slots - self.running}, queue=0".encode()))
            await writer.drain()
            return
        headers = message.headers
        job = Job(
            self.name,
            headers.get("x-correlation-id", ""),
            headers.get("idempotency-key", ""),
            target,
            headers.get("x-marlseam-acting", ""),
            self.record.now(),
        )
        self.record.line(
            f"executor {self.name} block {self.block}: job {job.id} {target} key={job.key} begins"
        )
        self.running += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self.chunk(job, "started"))
        await writer.drain()
        state = await self.work(self, job)
        self.running -= 1
        self.record.line(f"executor {self.name} block {self.block}: job {job.id} ends: {state}")
        writer.write(self.chunk(job, state) + b"0\r\n\r\n")
        await writer.drain()

    def chunk(self, job: Job, state: str) -> bytes:
        """Return one line of an answer as a chunk."""
        row = {"id": job.id, "from": self.name, "state": state}
        if state == "done":
            row["result"] = f"{job.id} by {self.name}"
        line = json.dumps(row).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(line), line)


# Discovery.


class Discovery:
    """The list of executors: whole lists, and watches that wait for a newer version."""

    def __init__(self, record: Record) -> None:
        self.record, self.port = record, free_port()
        self.version, self.rows = 1, list[dict[str, Any]]()
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.writers = set[asyncio.StreamWriter]()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.record.line(f"discovery is up, version {self.version}")

    async def stop(self) -> None:
        """Go down: calls are refused, and watches end."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(0.05)
        self.record.line("discovery is down")

    def publish(self, rows: list[dict[str, Any]]) -> None:
        """Set the list."""
        self.version, self.rows = self.version + 1, rows
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the calls of one connection."""
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                target = message.first.split(" ")[1]
                pairs = (pair.partition("=") for pair in target.partition("?")[2].split("&"))
                query = {name: value for name, _, value in pairs}
                if "since" in query and int(query["since"]) >= self.version:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(
                            self.changed.wait(), float(query.get("timeout_ms", "0")) / 1000.0 + WATCH_GAP_S
                        )
                whole = "since" not in query or int(query["since"]) < self.version
                body = {"seq": self.version, "whole": whole, "hosts": self.rows if whole else []}
                writer.write(encoded("200 OK", json.dumps(body).encode()))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()


# Clients.


@dataclass
class Answer:
    """A node's answer: the status (0: the connection ended without one) and the body."""

    status: int
    body: str


class Client:
    """A client's connection to a node: one request at a time."""

    def __init__(self, port: int, record: Record) -> None:
        self.port, self.record = port, record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> "Client":
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        return self

    async def send(self, head: str, what: str, body: bytes = b"") -> Answer:
        """Send one request on the open connection and wait for its whole answer."""
        if self.reader is None or self.writer is None:
            await self.connect()
        assert self.reader is not None
        assert self.writer is not None
        self.record.line(f"client sends {what}")
        try:
            lines = head.rstrip("\r\n") + f"\r\nHost: node\r\nContent-Length: {len(body)}\r\n\r\n"
            self.writer.write(lines.encode() + body)
            await self.writer.drain()
            message = await read_message(self.reader)
        except ConnectionError:
            message = None
        answer = Answer(0, "")
        if message is not None:
            answer = Answer(int(message.first.split(" ")[1]), message.body.decode())
        self.record.line(f"client got {answer.status} {answer.body!r} for {what}")
        return answer

    async def job(self, name: str, id: str, left_s: float, query: str = "", extra: str = "") -> Answer:
        """Send one job of a request class, with further header lines `extra`, each ended by CRLF."""
        head = (
            f"POST /{name}{query} HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {name}\r\n"
            f"X-Time-Left: {left_s:.3f}\r\n{extra}"
        )
        return await self.send(head, f"{name} {id}{query}", b"{}")

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


async def call(port: int, method: str, path: str) -> Answer:
    """Make one call at an operators' address, on a connection of its own."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n".encode())
        message = await read_message(reader)
        writer.close()
    except ConnectionError:
        message = None
    return Answer(int(message.first.split(" ")[1]), message.body.decode()) if message else Answer(0, "")


# The platform.


def run_line() -> str:
    """Return the line `run` of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


@dataclass
class Node:
    """One process of a node, started by the deploy file's line."""

    name: str
    process: subprocess.Popen[bytes]
    log: Path


class Platform:
    """Starts and ends the node's processes, each with a log of its own in the temporary folder."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder, self.record = folder, record
        self.nodes: list[Node] = []

    def start(self, name: str, environment: dict[str, str], listener: socket.socket | None = None) -> Node:
        """Start one process; with `listener` it inherits the clients' socket as descriptor 3."""
        log = self.folder / f"{name}-{len(self.nodes)}.log"
        env = {key: os.environ[key] for key in ("PATH", "LANG", "HOME") if key in os.environ}
        env |= {"TMPDIR": str(self.folder), "EDGE_NAME": name, **environment}
        command = run_line()
        descriptors: tuple[int, ...] = ()
        if listener is not None:
            os.dup2(listener.fileno(), INHERITED_FD, inheritable=False)
            descriptors = (INHERITED_FD,)
            env["EDGE_SOCKET_FD"] = "3"
            command = f"exec 3<&{INHERITED_FD} {INHERITED_FD}<&-; {command}"
        with log.open("wb") as file:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=env, stderr=file, stdout=file, pass_fds=descriptors
            )
        node = Node(name, process, log)
        self.nodes.append(node)
        self.record.line(f"platform starts {name}, process {process.pid}")
        return node

    def signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to a process that this platform started."""
        self.record.line(f"platform sends {number.name} to {node.name}, process {node.process.pid}")
        node.process.send_signal(number)

    async def wait_ready(self, port: int, path: str = "/-/ready") -> None:
        """Wait until a node says that it is ready."""
        limit_s = time.monotonic() + READY_LIMIT_S
        while (await call(port, "GET", path)).status != 200:
            if time.monotonic() > limit_s:
                raise CouldNotRunError("a node did not become ready")
            await asyncio.sleep(0.05)
        self.record.line(f"port {port} says ready")

    async def wait_end(self, node: Node) -> int:
        """Wait until a process has ended, and return its status."""
        limit_s = time.monotonic() + NODE_END_LIMIT_S
        while node.process.poll() is None and time.monotonic() < limit_s:
            await asyncio.sleep(0.02)
        if node.process.poll() is None:
            raise CouldNotRunError(f"{node.name} did not end in time")
        self.record.line(f"{node.name}, process {node.process.pid}, ended with {node.process.returncode}")
        return int(node.process.returncode)

    def end(self) -> None:
        """End all processes that are left, and append their logs to the record."""
        left = [node.process for node in self.nodes if node.process.poll() is None]
        for process in left:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        limit_s = time.monotonic() + NODE_END_LIMIT_S
        for process in left:
            try:
                process.wait(max(0.1, limit_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for node in self.nodes:
            self.record.file.write(f"\n--- log of {node.log.name}\n")
            self.record.file.write(node.log.read_text(encoding="utf-8", errors="replace"))
        self.record.file.flush()


def write_configuration(
    path: Path, name: str, listen: int, discovery: int, settings: dict[str, Any], known: dict[str, Any]
) -> None:
    """Write a node's configuration file, in the form of the deployment page."""
    values = {
        "name": name,
        "listen": f"{HOST}:{listen}",
        "discovery": f"{HOST}:{discovery}",
        "seed": f"{time.time_ns() & 0xFFFFFFFF:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": settings,
    }
    path.write_text(json.dumps(values), encoding="utf-8")


def settings(request_classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return the settings of a small deployment in one place, with some top-level tables changed."""
    values: dict[str, Any] = {
        "zone": "here",
        "dcs": ["here"],
        "kinds": ["plain"],
        "fleetSize": 1,
        "tickUs": 4000,
        "registryMode": "subscribe",
        "requestClasses": request_classes,
        "ceilings": {
            "sendCap": 4,
            "mayProbe": True,
            "cancel": False,
            "secondCopies": False,
            "retryAfter": True,
            "maxRetryAfterUs": 2000000,
            "keepaliveUs": 30000000,
            "connectTimeoutUs": 250000,
        },
        "familyInfo": {"tellsStart": True, "progressUs": 0, "reportX0": "free slots"},
        "loadReport": {"how": "probe", "fields": ["queue", "x0"]},
        "clients": {"marksRetry": True},
        "guarantees": {
            "mustAskInUs": 10000000,
            "stopSendingWithinUs": 2500000,
            "startCapacity": 0.32,
            "warmWithinUs": 8400000,
            "fallMultiple": 2.5,
            "tipAfterUs": 3000000,
        },
        "penalties": {"crossZone": 0.0},
    }
    for name, change in changes.items():
        values[name] = {**values[name], **change} if isinstance(change, dict) else change
    return values


def play(case: Callable[[Record], Awaitable[int]], path: Path) -> None:
    """Play a case, write its record to `path`, and exit with its status."""
    record = Record(path)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # so that the nodes are ended as well
    try:
        status = asyncio.run(asyncio.wait_for(case(record), 110.0))
    except (CouldNotRunError, TimeoutError, OSError) as error:
        record.line(f"the case could not run: {error!r}")
        status = COULD_NOT_RUN
    record.line({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}.get(status, "could not run"))
    print(f"{path.parent.name}: {'trouble' if has_trouble() else 'no trouble'}: exit {status}")
    sys.exit(status)


def has_trouble() -> bool:
    """Return whether the disruption is played: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"
