"""Stand-ins of the platform for the cases of this review: executors, discovery, clients, and node processes.

All stand-ins run in one asyncio loop on loopback addresses and the real clock; each node is a process started
with the line `run` of the deploy file. `Record` holds what was sent, answered and run, by one clock.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
PROGRESS_S = 1.0  # how often an executor tells of a job's progress, as `progressUs` says
SERVED = 200
# Makes the descriptor that is its first argument descriptor 3, and becomes the command that follows.
AS_DESCRIPTOR_3 = """
import os, sys
given = int(sys.argv[1])
if given != 3:
    os.dup2(given, 3)
    os.close(given)
os.execv(sys.argv[2], sys.argv[2:])
"""
HELD, BROKEN, UNFIT = 0, 1, 2  # exit codes of a case


def trouble() -> bool:
    """Return whether the case is to be played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Record:
    """What happened, a line an event, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.zero = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.zero

    def add(self, text: str) -> float:
        """Write an event and return its time."""
        now = self.now()
        self.file.write(f"{now:9.4f} {text}\n")
        self.file.flush()
        return now


@dataclass
class Request:
    """One HTTP message as received: first line, headers, body, and when its first and last byte came."""

    first: str
    headers: dict[str, str]
    body: bytes
    first_byte: float = 0.0
    last_byte: float = 0.0


async def read_message(reader: asyncio.StreamReader, now: Callable[[], float]) -> Request | None:
    """Read one HTTP message with a length or in chunks; None at the end of the connection."""
    start = await reader.read(1)
    if not start:
        return None
    first_byte = now()
    head = (start + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
        if name
    }
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(first, headers, body, first_byte, now())


def message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an HTTP message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


LOST = (ConnectionError, asyncio.IncompleteReadError, OSError)


@dataclass
class Attempt:
    """One attempt as an executor saw it; `began` and `ended` bound its run, None where it did not run."""

    id: str
    executor: str
    arrived: float
    key: str = ""
    target: str = ""
    time_left: float = 0.0
    first_byte: float = 0.0
    began: float | None = None
    ended: float | None = None
    closed: float | None = None  # when its connection ended before its answer was whole
    how: str = ""


@dataclass
class Job:
    """What an executor does with an attempt: how long it runs (s), and how it ends."""

    run_s: float = 0.3
    end: str = "done"  # done, failed, returned, lost, reset, refuse, silent


class Executor:
    """One executor: some slots, a queue, started and done lines, a load report, and what a case sets."""

    def __init__(self, record: Record, name: str, cell: int = 0, slots: int = 4, zone: str = "a") -> None:
        self.record, self.name, self.cell, self.zone, self.slots = record, name, cell, zone, slots
        self.port = free_port()
        self.health, self.born_ms = "active", 0
        self.attempts: list[Attempt] = []
        self.job: Callable[[Attempt], Job] = lambda _attempt: Job()
        self.on_attempt: Callable[[Attempt, asyncio.StreamWriter], None] = lambda _attempt, _writer: None
        self.free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def stop(self) -> None:
        """Die: reset all connections and refuse new ones."""
        if self.server is not None:
            self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def row(self) -> dict[str, Any]:
        """Return the entry of the list."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": self.zone,
            "class": "m",
            "block": self.cell,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while (request := await read_message(reader, self.record.now)) is not None:
                if request.first.startswith("GET"):
                    report = (
                        f"TEXT inflight={self.running}, queue={self.waiting}, x0={self.slots - self.running}"
                    )
                    writer.write(message("HTTP/1.1 200 OK", {"X-Backend-Load": report}, report[5:].encode()))
                else:
                    await self.attempt(request, reader, writer)
                await writer.drain()
        except LOST:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def attempt(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Take an attempt, run it, and answer."""
        headers = request.headers
        attempt = Attempt(
            headers.get("x-correlation-id", ""),
            self.name,
            request.last_byte,
            headers.get("idempotency-key", ""),
            request.first.split()[1],
            float(headers.get("x-time-left", "0")),
            request.first_byte,
        )
        self.attempts.append(attempt)
        self.record.add(
            f"{self.name} got id={attempt.id} key={attempt.key or '-'} target={attempt.target} "
            f"left={attempt.time_left}"
        )
        self.on_attempt(attempt, writer)
        job = self.job(attempt)
        if job.end == "refuse":
            attempt.how = "refuse"
            writer.write(message("HTTP/1.1 503 Service Unavailable", {"X-Unprocessed": "1"}))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        run = asyncio.ensure_future(self.run(attempt, job, writer))
        gone = asyncio.ensure_future(self.watch(reader, attempt, run))
        with contextlib.suppress(asyncio.CancelledError):
            await run
        gone.cancel()

    async def watch(
        self, reader: asyncio.StreamReader, attempt: Attempt, run: "asyncio.Future[None]"
    ) -> None:
        """Note when the node ends its connection before the answer is whole; what runs goes on."""
        with contextlib.suppress(*LOST):
            while not reader.at_eof() and reader.exception() is None:
                await asyncio.sleep(0.002)
        if not run.done():
            attempt.closed = self.record.add(
                f"{self.name} id={attempt.id} its connection was ended by the node"
            )

    def line(self, attempt: Attempt, state: str, **more: object) -> bytes:
        """Return one line of an answer as a chunk."""
        text = json.dumps({"id": attempt.id, "from": self.name, "state": state, **more}).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(text), text)

    async def run(self, attempt: Attempt, job: Job, writer: asyncio.StreamWriter) -> None:
        """Wait for a slot, run the job, and write the lines of its answer."""
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            if job.end == "returned":
                attempt.how = "returned"
                writer.write(self.line(attempt, "returned") + b"0\r\n\r\n")
                return
            attempt.began = self.record.add(f"{self.name} began id={attempt.id}")
            if job.end != "silent":
                writer.write(self.line(attempt, "started"))
            await self.work(attempt, job, writer)
            attempt.ended = self.record.add(f"{self.name} ended id={attempt.id} as {job.end}")
            attempt.how = job.end
            if job.end == "reset":
                writer.transport.abort()
            elif job.end == "silent":
                await asyncio.sleep(3600.0)
            else:
                more = {"result": self.result(attempt)} if job.end == "done" else {}
                writer.write(self.line(attempt, job.end, **more) + b"0\r\n\r\n")
        finally:
            self.running -= 1
            self.free.release()

    async def work(self, attempt: Attempt, job: Job, writer: asyncio.StreamWriter) -> None:
        """Run for the job's time, and tell of the progress each second."""
        done_s = 0.0
        while done_s < job.run_s:
            step_s = min(PROGRESS_S, job.run_s - done_s)
            await asyncio.sleep(step_s)
            done_s += step_s
            if done_s < job.run_s and job.end != "silent":
                writer.write(self.line(attempt, "running", share=done_s / job.run_s))

    def result(self, attempt: Attempt) -> str:
        """Return the result of an attempt, which no other attempt has."""
        return f"{attempt.id} by {self.name} #{len(self.attempts)}"


class Discovery:
    """Discovery with long polls, as the page says: whole list, or changes since a version."""

    def __init__(self, record: Record, executors: list[Executor]) -> None:
        self.record, self.executors = record, {executor.name: executor for executor in executors}
        self.port = free_port()
        self.version = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.news = asyncio.Event()
        self.told: dict[int, float] = {}
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.left: set[str] = set()
        self.wait_s = 0.0  # how long a call waits in line before it is worked on

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def stop(self) -> None:
        """Go down."""
        if self.server is not None:
            self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        rows = [executor.row() for name, executor in self.executors.items() if name not in self.left]
        return {"seq": self.version, "whole": True, "hosts": rows}

    def change(self, executor: Executor, health: str) -> None:
        """List a new health of an executor."""
        self.version += 1
        self.left.discard(executor.name)
        if health == "left":
            self.left.add(executor.name)
        executor.health = health
        self.changes.append((self.version, executor.row()))
        self.record.add(f"discovery lists {executor.name} as {health}, version {self.version}")
        self.news.set()
        self.news = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while (request := await read_message(reader, self.record.now)) is not None:
                await asyncio.sleep(self.wait_s)
                query = request.first.split()[1].partition("?")[2]
                values = dict(part.partition("=")[::2] for part in query.split("&") if part)
                answer = self.whole()
                if "since" in values:
                    since = int(values["since"])
                    if since >= self.version:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.news.wait(), int(values["timeout_ms"]) / 1000.0)
                    rows = {row["host"]: row for version, row in self.changes if version > since}
                    answer = {"seq": self.version, "whole": False, "hosts": list(rows.values())}
                writer.write(message("HTTP/1.1 200 OK", {}, json.dumps(answer).encode()))
                await writer.drain()
                self.told.setdefault(self.version, self.record.now())
        except LOST:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


@dataclass
class Answer:
    """What a client got for one request; status 0 for none."""

    id: str
    sent: float
    written: float = 0.0  # when the last byte of the request was handed to the system
    status: int = 0
    body: bytes = b""
    at: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)


class Client:
    """One connection of a client, which sends one request at a time and keeps it."""

    def __init__(self, record: Record, port: int, name: str = "client") -> None:
        self.record, self.port, self.name = record, port, name
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Connect, unless it is connected."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    def request_bytes(self, id: str, target: str, left: float, key: str = "", body: bytes = b"{}") -> bytes:
        """Return a request as a usual client writes it."""
        headers = {
            "Host": "origin.svc",
            "X-Correlation-Id": id,
            "X-Service-Class": target.strip("/").partition("?")[0],
            "X-Time-Left": f"{left:.3f}",
        }
        if key:
            headers["Idempotency-Key"] = key
        return message(f"POST {target} HTTP/1.1", headers, body)

    async def send(self, id: str, target: str, left: float, key: str = "", body: bytes = b"{}") -> Answer:
        """Send a request and return its answer; status 0 where the connection ended or nothing came."""
        await self.connect()
        assert self.writer is not None
        answer = Answer(id, self.record.add(f"{self.name} sends id={id} {target} key={key or '-'}"))
        with contextlib.suppress(*LOST):
            self.writer.write(self.request_bytes(id, target, left, key, body))
            while self.writer.transport.get_write_buffer_size():
                await asyncio.sleep(0.001)
            answer.written = self.record.add(f"{self.name} has written the last byte of id={id}")
        return await self.answer(answer, left)

    async def send_until_read(self, id: str, target: str, left: float) -> Answer:
        """Send a request, and once more on a new connection where the node has closed the first one.

        `at` of the answer is when it came, or when the second connection ended without one; `sent` stays that
        of the first time. A client does so where its request was not read.
        """
        answer = await self.send(id, target, left)
        if answer.status or answer.at - answer.sent >= left:
            return answer
        self.close()
        again = await self.send(id, target, left - (answer.at - answer.sent))
        again.sent = answer.sent
        return again

    async def answer(self, answer: Answer, left: float) -> Answer:
        """Wait for the answer to a request that was sent."""
        assert self.reader is not None
        with contextlib.suppress(TimeoutError, *LOST):
            got = await asyncio.wait_for(read_message(self.reader, self.record.now), left + 3.0)
            if got is not None:
                answer.status, answer.body, answer.headers = int(got.first.split()[1]), got.body, got.headers
        answer.at = self.record.add(
            f"{self.name} got {answer.status} for id={answer.id} {answer.body[:60]!r}"
        )
        if answer.status == 0 or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer


def request_class(
    name: str, aim_ms: float, deadline_ms: float, semantics: str, **more: object
) -> dict[str, Any]:
    """Return the settings of a class."""
    return {
        "name": name,
        "aimUs": int(aim_ms * 1000),
        "deadlineUs": int(deadline_ms * 1000),
        "semantics": semantics,
        "dedupScope": "cell",
        "memorySpanUs": 30000000,
        "lateWorth": 0.3,
        "streaming": False,
        "worth": 1.0,
        **more,
    }


def settings(classes: list[dict[str, Any]], **more: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of a small deployment; `more` changes entries of its objects."""
    base: dict[str, Any] = {
        "ceilings": {
            "cancel": True,
            "connectTimeoutUs": 250000,
            "keepaliveUs": 30000000,
            "maxRetryAfterUs": 2000000,
            "mayProbe": True,
            "peers": False,
            "retryAfter": True,
            "secondCopies": False,
            "sendCap": 4,
        },
        "clients": {"marksRetry": True},
        "dcs": ["a"],
        "familyInfo": {
            "classKind": [-1] * len(classes),
            "classStretch": [2.0] * len(classes),
            "progressUs": 1000000,
            "reportX0": "free slots",
            "tellsStart": True,
        },
        "fleetSize": 1,
        "guarantees": {
            "answerSlackUs": 16000,
            "fallMultiple": 2.5,
            "mustAskInUs": 10000000,
            "startCapacity": 0.32,
            "stopSendingWithinUs": 2500000,
            "tipAfterUs": 3000000,
            "warmWithinUs": 8400000,
        },
        "kinds": ["m"],
        "loadReport": {"fields": ["outstanding", "backlog", "x0"], "how": "probe"},
        "penalties": {"crossZone": 0.03},
        "registryMode": "subscribe",
        "requestClasses": classes,
        "tickUs": 4000,
        "weights": "none",
        "worthBy": "request",
        "zone": "a",
    }
    for name, values in more.items():
        base[name] = {**base[name], **values} if isinstance(values, dict) else values
    return base


class Node:
    """One process of a node, started with the line `run` of the deploy file."""

    def __init__(self, rig: "Rig", process: asyncio.subprocess.Process, admin: int) -> None:
        self.rig, self.process, self.admin = rig, process, admin

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        self.rig.record.add(f"node process {self.process.pid} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def operator(self, method: str, path: str) -> int:
        """Make an operator's call and return its status; 0 where none came."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.admin)
            writer.write(message(f"{method} {path} HTTP/1.1", {"Host": "n"}))
            got = await asyncio.wait_for(read_message(reader, self.rig.record.now), 1.0)
            writer.close()
        except (*LOST, TimeoutError):
            return 0
        return int(got.first.split()[1]) if got is not None else 0

    async def ready(self, within: float = 20.0) -> None:
        """Wait until the process says that it is ready."""
        until = self.rig.record.now() + within
        while await self.operator("GET", "/control/ready") != 200:
            if self.rig.record.now() > until or self.process.returncode is not None:
                raise UnfitError("a node process did not become ready")
            await asyncio.sleep(0.02)
        self.rig.record.add(f"node process {self.process.pid} is ready")


class UnfitError(Exception):
    """The case could not be played."""


class Rig:
    """One deployment: its folder, stand-ins and node processes."""

    def __init__(self, record: Path, options: dict[str, Any]) -> None:
        self.record = Record(record)
        self.options = options
        self.folder = Path(tempfile.mkdtemp(prefix="marlseam-case-"))
        self.port = free_port()
        self.nodes: list[Node] = []
        self.executors: list[Executor] = []
        self.discovery = Discovery(self.record, [])
        self.listener: socket.socket | None = None
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}

    async def begin(self, executors: list[Executor]) -> None:
        """Start executors and discovery."""
        self.executors = executors
        for executor in executors:
            await executor.start()
        self.discovery = Discovery(self.record, executors)
        await self.discovery.start()
        self.write_config()

    def share_listener(self) -> None:
        """Hold the clients' socket, as the platform does where upgrades are made."""
        self.listener = socket.socket()
        self.listener.bind((HOST, self.port))
        self.listener.listen(512)

    def write_config(self) -> None:
        """Write the node's file, whole."""
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.discovery.port}",
            "seed": os.urandom(8).hex(),
            "limits": self.limits,
            "known": self.discovery.whole(),
            "settings": self.options,
        }
        path = self.folder / "config.new"
        path.write_text(json.dumps(config), encoding="utf-8")
        path.rename(self.folder / "config.json")

    async def start_node(self) -> Node:
        """Start one process of the node and wait until it is ready."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        admin = free_port()
        env = {
            "PATH": os.environ["PATH"],
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": f"{HOST}:{self.port}",
            "EDGE_DISCOVERY": f"{HOST}:{self.discovery.port}",
            "EDGE_ADMIN": f"{HOST}:{admin}",
            "TMPDIR": str(self.folder),
        }
        command = ["/bin/sh", "-c", run]
        pass_fds: tuple[int, ...] = ()
        if self.listener is not None:
            env["EDGE_SOCKET_FD"] = "3"
            pass_fds = (self.listener.fileno(),)
            command = [sys.executable, "-c", AS_DESCRIPTOR_3, str(self.listener.fileno()), *command]
        log = (self.folder / "node.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=log, stderr=log, pass_fds=pass_fds
        )
        log.close()
        node = Node(self, process, admin)
        self.nodes.append(node)
        self.record.add(f"node process {process.pid} is started")
        await node.ready()
        return node

    async def end(self) -> None:
        """End all processes and stand-ins, and keep the nodes' log beside the record."""
        for node in self.nodes:
            if node.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
            await node.process.wait()
        for executor in self.executors:
            executor.stop()
        self.discovery.stop()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0.05)
        log = self.folder / "node.log"
        if log.exists():
            for line in log.read_text(encoding="utf-8", errors="replace").splitlines()[-200:]:
                self.record.file.write(f"log {line}\n")
        self.record.file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def play(record: Path, options: dict[str, Any], case: Callable[[Rig], Any]) -> int:
    """Play a case and return its exit code; a case returns the list of what broke the rule."""
    rig = Rig(record, options)
    try:
        async with asyncio.timeout(110.0):
            found = await case(rig)
        code = BROKEN if found else HELD
        for text in found:
            rig.record.add(f"RULE BROKEN: {text}")
            print(f"rule broken: {text}")
        if not found:
            rig.record.add("the rule held")
            print("the rule held")
    except (UnfitError, TimeoutError, OSError, AssertionError) as error:
        rig.record.add(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        code = UNFIT
    finally:
        await rig.end()
    return code


def main(record: Path, options: dict[str, Any], case: Callable[[Rig], Any]) -> None:
    """Play a case, write what was sent, answered and run to `record`, and exit with the case's code."""
    sys.exit(asyncio.run(play(record, options, case)))
