"""Emulators on loopback: HTTP listener, servers, discovery, link proxies, faulty disks and the log."""

import contextlib
import json
import socket
import time
from collections.abc import Callable, Iterator

import h11
import pytest

from marlseam.emulators.discovery import DiscoveryService
from marlseam.emulators.disk import DiskFaults
from marlseam.emulators.http_listener import HttpListener, reply
from marlseam.emulators.network import Link, LinkProxy, SocketAddress
from marlseam.emulators.process import EmulatorProcess, QuietLog
from marlseam.emulators.servers import EmulatedServer
from marlseam.net.connection import Connection, Steps
from marlseam.net.log import Reason
from marlseam.simulation import fleet
from marlseam.simulation.model import Day, Fleet, Network, RequestType, ServerKind
from marlseam.simulation.network import Links
from marlseam.simulation.random_streams import random_stream

TIMEOUT_S = 10.0  # of a wait for a condition
CHECK_INTERVAL_MS = 10.0  # how long the loop runs between two checks of a condition
CUT_OBSERVED_MS = 100.0  # how long no byte may pass a cut link
GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
ATTEMPT = (
    b"POST /statement HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: a1\r\nX-Service-Class: statement\r\n"
    b'Content-Length: 12\r\n\r\n{"work": 20}'
)
DAY = Day(
    seconds=1.0,
    fleet=Fleet(zones=["east", "west"], nodes=2, kinds=[ServerKind(name="plain", executors=2)]),
    types=[RequestType(name="statement", share=1.0, work_ms=20.0, promised_ms=500.0, limit_ms=5000.0)],
)


@pytest.fixture
def process() -> Iterator[EmulatorProcess]:
    """Return an emulator process whose run has begun; its event loop runs only during `run_for`."""
    emulator = EmulatorProcess("test", None)
    emulator.begin(0.0)
    yield emulator
    emulator.loop.finish()


def run_for(process: EmulatorProcess, ms: float) -> None:
    """Run the event loop for `ms` milliseconds."""
    process.loop.stopped = False
    process.loop.call_at(process.loop.now() + ms, process.stop)
    process.loop.run()


def run_until(process: EmulatorProcess, condition: Callable[[], bool]) -> None:
    """Run the event loop until a condition holds; fail after TIMEOUT_S."""
    timeout_at_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < timeout_at_s
        run_for(process, CHECK_INTERVAL_MS)


def connect(address: str) -> socket.socket:
    """Return a TCP connection to an address HOST:PORT."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=2.0)


def answer_ok(connection: Connection, _request: h11.Request, _body: bytes) -> Steps:
    """Answer any request with status 200 and the body `ok`."""
    yield from reply(connection, 200, b"ok")


def receive(process: EmulatorProcess, client: socket.socket, end: bytes) -> bytes:
    """Run the event loop until the bytes that a client receives end in `end`; return all of them."""
    received = bytearray()
    client.setblocking(False)

    def is_complete() -> bool:
        with contextlib.suppress(BlockingIOError):
            received.extend(client.recv(65536))
        return received.endswith(end)

    run_until(process, is_complete)
    return bytes(received)


def exchange(process: EmulatorProcess, address: str, request: bytes, end: bytes) -> bytes:
    """Send a request on a new connection and return the response up to `end`."""
    with connect(address) as client:
        client.sendall(request)
        return receive(process, client, end)


def test_a_stopped_listener_refuses_connections_and_listens_again_at_the_same_port(process):
    listener = HttpListener(process, "x", answer_ok)
    address = listener.address
    assert exchange(process, address, GET, b"ok").startswith(b"HTTP/1.1 200")
    listener.stop_listening()
    with pytest.raises(ConnectionRefusedError):
        connect(address)
    listener.listen()
    assert listener.address == address
    assert exchange(process, address, GET, b"ok").startswith(b"HTTP/1.1 200")


def test_reset_connections_resets_the_clients_of_a_listener(process):
    listener = HttpListener(process, "x", answer_ok)
    with connect(listener.address) as client:
        run_until(process, lambda: len(listener.connections) == 1)
        listener.reset_connections()
        with pytest.raises(ConnectionResetError):
            client.recv(1)
    assert not listener.connections


def test_calls_scheduled_before_the_zero_of_the_run_are_made_after_it():
    process = EmulatorProcess("test", None)
    called: list[str] = []
    process.call_at(0.0, lambda: called.append("early"))
    run_for(process, CHECK_INTERVAL_MS)
    assert (called, process.now()) == ([], 0.0)
    process.begin(0.0)
    run_until(process, lambda: called == ["early"])
    assert process.now() > 0.0


def emulated_servers(process: EmulatorProcess) -> list[EmulatedServer]:
    """Return the emulated servers of DAY."""
    return [EmulatedServer(process, server, DAY, True) for server in fleet.build(DAY, 1, []).values()]


def test_the_response_to_an_attempt_has_a_line_for_each_event_of_its_job(process):
    server = emulated_servers(process)[0]
    response = exchange(process, server.listener.address, ATTEMPT, b"0\r\n\r\n")
    lines = [json.loads(line) for line in response.split(b"\r\n") if line.startswith(b"{")]
    assert [line["state"] for line in lines] == ["started", "done"]
    assert lines[-1] | {"load": None} == {
        "id": "a1",
        "from": server.name,
        "state": "done",
        "result": f"a1 by {server.name}",
        "load": None,
    }


def test_an_attempt_of_an_unknown_request_class_is_answered_400(process):
    server = emulated_servers(process)[0]
    request = ATTEMPT.replace(b"Class: statement", b"Class: other")
    assert exchange(process, server.listener.address, request, b"\r\n\r\n").startswith(b"HTTP/1.1 400")


def test_closing_the_connection_cancels_the_attempt(process):
    server = emulated_servers(process)[0]
    with connect(server.listener.address) as client:
        client.sendall(ATTEMPT.replace(b'{"work": 20}', b'{"work":1e9}'))
        run_until(process, lambda: len(server.responses) == 1)
    run_until(process, lambda: not server.responses)
    assert [job.is_cancelled for job in server.server.state.running.values()] == [True]


def test_discovery_answers_with_the_addresses_to_dial_from_the_callers_zone(process):
    addresses = {
        zone: {name: f"{zone}:{name}" for name in ("plain-0", "plain-1")} for zone in ("east", "west")
    }
    service = DiscoveryService(process, DAY, [], addresses)
    for node, zone in (("n0", "east"), ("n1", "west")):
        request = b"GET /api/targets?since=0 HTTP/1.1\r\nHost: x\r\n\r\n"
        response = exchange(process, service.listeners[node].address, request, b"]}")
        answer = json.loads(response.partition(b"\r\n\r\n")[2])
        assert (answer["seq"], answer["whole"]) == (2, True)
        assert answer["hosts"][0] == {
            "host": "plain-0",
            "dial": f"{zone}:plain-0",
            "site": "east",
            "class": "plain",
            "block": 0,
            "health": "active",
            "share": 1.0,
            "born_ms": 0.0,
        }


def test_a_cut_link_holds_bytes_back_until_the_cut_ends(process):
    listener = HttpListener(process, "x", answer_ok)
    links = Links(Network(), random_stream(1, "network"))
    target = SocketAddress("127.0.0.1", listener.port)
    proxy = LinkProxy(process, links, Link("east", "plain-1", "west"), target)
    with connect(proxy.address) as client:
        run_until(process, lambda: len(proxy.connections) == 1)
        links.set_blocked(links.cut_zones, "west", True)
        client.sendall(GET)
        client.setblocking(False)
        run_for(process, CUT_OBSERVED_MS)
        with pytest.raises(BlockingIOError):
            client.recv(1)
        links.set_blocked(links.cut_zones, "west", False)
        assert receive(process, client, b"ok").startswith(b"HTTP/1.1 200")


def test_a_proxy_resets_a_client_whose_server_refuses_the_connection(process):
    listener = HttpListener(process, "x", answer_ok)
    listener.stop_listening()
    links = Links(Network(), random_stream(1, "network"))
    target = SocketAddress("127.0.0.1", listener.port)
    proxy = LinkProxy(process, links, Link("east", "plain-0", "east"), target)
    with connect(proxy.address) as client, pytest.raises(ConnectionResetError):
        receive(process, client, b"ok")


@pytest.mark.parametrize(
    ("faults", "now_s", "is_failing"),
    [
        (DiskFaults(), 3.0, False),
        (DiskFaults(fails="full"), 3.0, True),
        (DiskFaults(fails="full", every_s=4.0), 1.0, False),
        (DiskFaults(fails="full", every_s=4.0), 3.0, True),
    ],
)
def test_disk_writes_fail_in_the_second_half_of_each_period(faults, now_s, is_failing):
    assert faults.is_failing(now_s) is is_failing


def test_the_log_of_an_emulator_has_no_line_for_the_end_of_a_connection(capsys):
    log = QuietLog("emulator", lambda: 0.0)
    log.connection_ended("client", Reason.PEER_CLOSED, 1)
    assert capsys.readouterr().err == ""
