"""A toy server to try a node with: some executors and the list of them, on loopback.

    python examples/toy.py

Each executor runs a few jobs at once, queues some more, and takes a moment for each; a job's result is its
own body in capitals. What is spoken here is described in docs/node.md.
"""

import json
import signal
import socket
from math import inf
from urllib.parse import parse_qs, urlsplit

import click
import h11

from marlseam.net.connection import Connection, Ended, Steps
from marlseam.net.log import Log, Reason
from marlseam.net.loop import READ, Coroutine, Loop, Task, sleep
from marlseam.net.protocol import Head

SLOTS, QUEUE, LIST_PORT = 2, 8, 8500


class Executor:
    """One executor: slots, a queue, and a stream of lines for each job."""

    def __init__(self, loop: Loop, name: str, run_s: float) -> None:
        self.loop, self.name, self.run_ms = loop, name, run_s * 1000.0
        self.running, self.queue = 0, list[Task]()

    def answer(self, connection: Connection, request: h11.Request, body: bytes) -> Steps:
        """Answer one request: a probe, or a job in lines."""
        if request.method == b"GET":
            load = f"TEXT errors_per_s=0, backlog={len(self.queue)}, x0={SLOTS - self.running}"
            yield from reply(connection, 200, load.encode())
        elif len(self.queue) >= QUEUE:
            yield from reply(connection, 503, b"", [("X-Unprocessed", "1")])
        else:
            yield from self.run(connection, Head(request.headers).get("X-Correlation-Id"), body)

    def run(self, connection: Connection, id: str | None, body: bytes) -> Steps:
        """Run a job once there is a slot for it."""
        write = connection.http.send
        yield from connection.write(write(h11.Response(status_code=200, headers=[])), inf)
        while self.running >= SLOTS:
            self.queue.append(self.loop.current)
            yield from sleep(inf)
        self.running += 1
        try:
            line = {"id": id, "from": self.name, "state": "started"}
            yield from connection.write(write(h11.Data(data=json.dumps(line).encode() + b"\n")), inf)
            yield from sleep(self.loop.now() + self.run_ms)
            line |= {"state": "done", "result": body.decode(errors="replace").upper()}
            data = write(h11.Data(data=json.dumps(line).encode() + b"\n")) + write(h11.EndOfMessage())
            yield from connection.write(data, inf)
        finally:
            self.running -= 1
            if self.queue:
                self.queue.pop(0).wake()


class Directory:
    """The list of executors, which never changes here."""

    def __init__(self, loop: Loop, executors: list[Executor], ports: list[int]) -> None:
        self.loop = loop
        self.hosts = [
            {
                "host": e.name, "dial": f"127.0.0.1:{port}", "site": "here", "class": "plain", "block": 0,
                "health": "active", "share": 1.0, "born_ms": 0,
            }
            for e, port in zip(executors, ports, strict=True)
        ]  # fmt: skip

    def answer(self, connection: Connection, request: h11.Request, body: bytes) -> Steps:
        """Answer with the whole list at once, or with no change once a watch is over."""
        asked = parse_qs(urlsplit(request.target.decode()).query)
        hosts = [] if "since" in asked else self.hosts
        if "since" in asked:
            yield from sleep(self.loop.now() + float(asked.get("timeout_ms", ["0"])[0]))
        news = {"seq": 1, "whole": "since" not in asked, "hosts": hosts}
        yield from reply(connection, 200, json.dumps(news).encode())


def reply(connection: Connection, status: int, body: bytes, headers: tuple | list = ()) -> Steps:
    """Write a whole answer."""
    head = h11.Response(status_code=status, headers=[*headers, ("Content-Length", str(len(body)))])
    yield from connection.message(head, body, inf)


def serve(connection: Connection, server: Executor | Directory) -> Coroutine:
    """Serve requests one after the other on a connection."""
    reason = Reason.DONE
    try:
        while type(request := (yield from connection.event(inf))) is h11.Request:
            body = yield from connection.body(1 << 20, inf)
            yield from server.answer(connection, request, body)
            if not connection.again():
                break
    except Ended as ended:
        reason = ended.reason
    finally:
        connection.close(reason)


def listen(loop: Loop, log: Log, port: int, server: Executor | Directory) -> Coroutine:
    """Accept connections on a port."""
    sock = socket.create_server(("127.0.0.1", port))
    sock.setblocking(False)
    while True:
        yield (sock.fileno(), READ, inf)
        client, _ = sock.accept()
        client.setblocking(False)
        loop.spawn(serve(Connection(loop, log, client, h11.SERVER, f"port {port}"), server))


@click.command()
@click.option("--executors", default=3, show_default=True, help="How many executors there are.")
@click.option("--run-s", default=0.2, show_default=True, help="How long a job runs.")
def main(executors: int, run_s: float) -> None:
    """Run executors and their list until interrupted."""
    loop = Loop(print)
    log = Log("toy", loop.now)
    servers = [Executor(loop, f"toy-{i}", run_s) for i in range(executors)]
    ports = [LIST_PORT + 1 + i for i in range(executors)]
    for port, server in zip(ports, servers, strict=True):
        loop.spawn(listen(loop, log, port, server))
    loop.spawn(listen(loop, log, LIST_PORT, Directory(loop, servers, ports)))
    log.line(f"{executors} executors, listed at 127.0.0.1:{LIST_PORT}")
    loop.on_signals((signal.SIGTERM, signal.SIGINT), lambda: setattr(loop, "stopped", True))
    loop.run()


if __name__ == "__main__":
    main()
