"""The operators' door and its figures."""

import json
from dataclasses import replace
from pathlib import Path

import pytest
from conftest import OPTIONS
from test_net import CHUNKED, JOB, REQUEST

from marlseam.counters import Counters
from marlseam.decisions.types import Endpoint, EndpointState
from marlseam.net import admin as admin_module
from marlseam.net import downstream as server_module
from marlseam.net import graceful_shutdown, limits
from marlseam.net import loop as loop_module
from marlseam.net.admin import AdminCall
from marlseam.net.invariants import Invariant
from marlseam.net.upstream import AttemptOrder


@pytest.fixture
def call(node, client, reply):
    """Return a function that makes one call at the operators' door and gives the status and the text."""

    def made(method, path, headers=""):
        sock = client(f"{method} {path} HTTP/1.1\r\nHost: h\r\n{headers}\r\n".encode(), node.admin)
        data = reply(sock)
        while more := b"" if b"Content-Length: 0" in data else read(node, sock):
            data += more
        head, _, body = data.partition(b"\r\n\r\n")
        return int(head.split()[1]), body.decode(), head.decode()

    return made


def read(node, sock):
    """Return what is left on a connection, turning the loop."""
    while True:
        try:
            return sock.recv(65536)
        except BlockingIOError:
            node.loop.turn()


@pytest.fixture
def figures(call):
    """Return a function that fetches the figures."""

    def fetch():
        status, text, _ = call("GET", "/control/counters")
        assert status == 200
        return {name: int(value) for name, value in (line.split("=") for line in text.splitlines())}

    return fetch


def taken(node, client, request=REQUEST):
    """Send a request, wait until it is taken, and return its connection and its name."""
    before = set(node.requests.pending)
    sock = client(request)
    while set(node.requests.pending) <= before:
        node.loop.turn()
    (request_id,) = set(node.requests.pending) - before
    return sock, request_id


# Calls.


def test_ready_is_what_clients_are_told(node, call):
    assert call("GET", "/control/ready")[0] == 200
    node.discovery.held.clear()
    assert call("GET", "/control/ready")[0] == 503


@pytest.mark.parametrize(
    ("method", "path", "headers", "status", "part"),
    [
        ("GET", "/control/odd", "", 404, "no such path"),
        ("GET", "/statement", "", 404, "no such path"),
        ("POST", "/control/ready", "", 405, "Allow: GET"),
        ("GET", "/control/ready", "Content-Length: x\r\n", 400, "close"),
        ("GET", "/control/ready", f"X-Long: {'x' * 40000}\r\n", 431, "close"),
        ("GET", "/control/ready", "Content-Length: 9999999\r\n", 413, "close"),
    ],
)
def test_what_is_no_call_is_told_so(call, method, path, headers, status, part):
    found, text, head = call(method, path, headers)
    assert found == status
    assert part in head + text


def test_no_call_works_at_the_clients_address(client, reply):
    assert reply(client(b"GET /control/counters HTTP/1.1\r\nHost: h\r\n\r\n")).startswith(b"HTTP/1.1 404 ")


def test_one_call_to_a_connection(node, client, reply):
    sock = client(b"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n" * 2, node.admin)
    data = reply(sock) + read(node, sock)
    assert b"Connection: close" in data
    assert data.count(b"HTTP/1.1 200") == 1


def test_a_call_that_does_not_come_in_time_is_told(node, client, reply, monkeypatch):
    monkeypatch.setattr(admin_module, "CALL_MS", 20.0)
    assert reply(client(b"GET /control/re", node.admin)).startswith(b"HTTP/1.1 408 ")


def test_callers_that_finish_nothing_are_bounded_and_delay_nobody(node, client, call):
    silent = [client(b"GET /con", node.admin) for _ in range(3 * limits.OPERATOR_CONNECTIONS)]
    while len(node.admin.open) < limits.OPERATOR_CONNECTIONS:
        node.loop.turn()
    began = node.loop.now()
    assert call("GET", "/control/ready")[0] == 200
    assert node.loop.now() - began < admin_module.CALL_MS
    assert len(node.admin.open) <= limits.OPERATOR_CONNECTIONS
    assert read(node, silent[0]) == b""


def test_a_call_that_comes_in_a_long_turn_is_answered_within_it(node, client):
    # Guards operators against a node that is busy with clients: here each client's step takes a while.
    order, seen, real = [], [], node.requests.take
    node.admin.calls = {"/control/ready": AdminCall("GET", lambda _: (order.append(len(seen)), (200, ""))[1])}

    def slow(pending):
        if not seen:
            client(b"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n", node.admin)
        seen.append(pending)
        end = node.loop.now() + 2.0 * loop_module.FIRST_CHECK_MS
        while node.loop.now() < end:
            pass
        return real(pending)

    node.downstream.take_request = slow
    socks = [client(b"") for _ in range(10)]
    while len(node.downstream.idle) < 10:
        node.loop.turn()
    for i, sock in enumerate(socks):
        sock.sendall(REQUEST.replace(b"9b", b"w%d" % i))
    node.loop.turn()
    assert len(seen) == 10
    assert order[:1] in ([1], [2])


def test_without_an_address_there_is_no_door(node):
    closed = replace(node.config, admin=None, listen=("127.0.0.1", 0))
    made = type(node)(closed)
    assert made.admin is None
    made.busy = True
    made.loop.finish()


# Out of service, and back.


READY = b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"


def unused(node, client, reply):
    """Return a client's connection that has served and stands unused."""
    sock = client(READY)
    reply(sock)
    while not node.downstream.idle:
        node.loop.turn()
    return sock


def test_out_of_service_clients_are_told_no_and_each_answer_ends_its_connection(node, client, reply, call):
    assert call("POST", "/control/out-of-service")[0] == 200
    for _ in range(2):
        data = reply(client(READY))
        assert data.startswith(b"HTTP/1.1 503 ")
        assert b"Connection: close" in data
        assert call("GET", "/control/ready")[0] == 503
        node.reload()
    taken(node, client)  # the front still sends some


def test_work_that_is_taken_is_finished_out_of_service(node, client, reply, call):
    sock, request_id = taken(node, client)
    call("POST", "/control/out-of-service")
    node.requests.answer(request_id, 200, [], b"r")
    data = reply(sock)
    assert data.startswith(b"HTTP/1.1 200 ")
    assert b"Connection: close" in data
    assert read(node, sock) == b""


def test_unused_connections_are_closed_after_a_while_and_not_at_once(node, client, reply, call):
    sock = unused(node, client, reply)
    began = node.loop.now()
    call("POST", "/control/out-of-service")
    assert node.downstream.idle
    assert read(node, sock) == b""
    assert node.loop.now() - began >= graceful_shutdown.IDLE_GRACE_MS


def test_a_connection_that_comes_late_in_a_drain_may_speak_first(node, client, reply, call, monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "IDLE_GRACE_MS", 0.0)
    call("POST", "/control/out-of-service")
    sock = client(b"")
    while not node.downstream.idle:
        node.loop.turn()
    opened = node.loop.now()
    assert read(node, sock) == b""
    assert node.loop.now() - opened >= 0.9 * server_module.NEW_GRACE_MS


def test_a_request_that_comes_in_pieces_during_a_drain_is_served(node, client, reply, call, monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "IDLE_GRACE_MS", 0.0)
    sock = unused(node, client, reply)
    sock.sendall(REQUEST[:30])
    call("POST", "/control/out-of-service")
    end = node.loop.now() + 3 * server_module.DRAIN_CHECK_MS
    node.loop.at(end, lambda: None)
    while node.loop.now() < end:
        node.loop.turn()
    sock.sendall(REQUEST[30:])
    while not node.requests.pending:
        node.loop.turn()


def test_what_was_sent_ahead_is_answered_before_its_connection_ends(node, client, reply, call):
    call("POST", "/control/out-of-service")
    sock = client(READY * 3)
    data = b""
    while more := read(node, sock):
        data += more
    assert data.count(b"HTTP/1.1 503 ") == 3
    assert data.count(b"Connection: close") == 1


def test_back_in_service_all_is_as_before(node, client, reply, call):
    call("POST", "/control/out-of-service")
    call("POST", "/control/out-of-service")
    assert call("POST", "/control/in-service")[0] == call("POST", "/control/in-service")[0] == 200
    data = reply(client(READY))
    assert data.startswith(b"HTTP/1.1 200 ")
    assert b"Connection: close" not in data
    end = node.loop.now() + graceful_shutdown.IDLE_GRACE_MS + 2 * server_module.DRAIN_CHECK_MS
    node.loop.at(end, lambda: None)
    while node.loop.now() < end:
        node.loop.turn()
    assert node.downstream.idle


def test_sigterm_during_a_drain_ends_the_process_and_nothing_brings_it_back(node, call, monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "LISTEN_MS", 200.0)
    call("POST", "/control/out-of-service")
    node.shutdown.begin()
    assert call("POST", "/control/in-service")[0] == 409
    assert call("POST", "/control/out-of-service")[0] == 200
    node.loop.run()
    assert node.loop.stopped


# Figures.


def test_all_figures_are_there_from_the_start(figures):
    found = figures()
    assert found == {
        f"downstream_requests.{type}.{how}": 0
        for type in ("statement", "posting")
        for how in ("completed", "rejected", "failed")
    } | {
        "upstream_requests": 0,
        "pending": 0,
        "members": 1,
        "members_unavailable": 0,
        "config_reloads": 0,
        "config_reload_errors": 0,
        "requests_given_up_on_faults": 0,
    } | {f"invariant_violations_total.{promise.value}": 0 for promise in Invariant}


def test_mixed_ends_agree_with_what_clients_and_servers_saw(node, executor, client, reply, figures, call):
    asked, seen = executor(), {"completed": 0, "rejected": 0, "failed": 0}

    def answered(sock):
        status = int(reply(sock).split()[1])
        seen[{200: "completed", 503: "rejected"}.get(status, "failed")] += 1

    for _ in range(3):
        answered(client(REQUEST))

    def hold(pending):
        node.requests.last_request_id += 1
        node.requests.pending[str(node.requests.last_request_id)] = pending
        return str(node.requests.last_request_id)

    node.downstream.take_request = hold  # from here on the test decides
    for i, status in enumerate((503, 500, 400, 503)):
        sock, request_id = taken(node, client, REQUEST.replace(b"9b", b"w%d" % i))
        node.requests.answer(request_id, status, [], b"")
        answered(sock)
    gone, _ = taken(node, client, CHUNKED)
    gone.close()
    while node.requests.pending:
        node.loop.turn()
    odd = client(b"POST /statement HTTP/1.1\r\nHost: h\r\nX-Time-Left: x\r\n\r\n")
    assert reply(odd).split()[1] == b"400"
    with open(node.config.path) as file:
        good = json.load(file)
    extra = good["settings"]["requestClasses"][0] | {"name": "extra"}
    for text in ("{", json.dumps(good | {"settings": OPTIONS | {"requestClasses": [extra]}})):
        with open(node.config.path, "w") as file:
            file.write(text)
        node.reload()
    call("POST", "/control/out-of-service")
    request = REQUEST.replace(b"9b", b"wd").replace(b"statement", b"extra")
    drained, request_id = taken(node, client, request)
    node.requests.answer(request_id, 200, [], b"r")
    answered(drained)
    found = figures()
    ends = {how: found[f"downstream_requests.statement.{how}"] for how in seen}
    ends["completed"] += found["downstream_requests.extra.completed"]
    assert ends == seen
    assert seen == {"completed": 4, "rejected": 2, "failed": 2}
    assert found["upstream_requests"] == asked.count(b"POST") == 3
    assert (found["pending"], found["config_reloads"], found["config_reload_errors"]) == (0, 1, 1)


def test_attempts_count_once_their_last_byte_is_handed_over(upstream):
    parts = upstream(silent=True)
    now = parts.loop.now()
    parts.attempts.send(AttemptOrder("1", 0, "e1", JOB, now + 1000.0, now + 1000.0))
    assert parts.attempts.counters.attempts == 1
    broken = upstream(takes=10)
    broken.attempts.send(AttemptOrder("1", 0, "e1", JOB, now + 1000.0, now + 1000.0))
    assert broken.attempts.counters.attempts == 0


def test_a_type_that_has_gone_keeps_its_counts():
    counters = Counters()
    counters.declare_classes(["a", "b"])
    counters.count_answer("a", 200)
    counters.declare_classes(["b"])
    assert "downstream_requests.a.completed=1\n" in counters.text()


def test_what_the_module_avoids_is_its_own_account(node, figures):
    module = node.reducer.dispatcher
    module.set_endpoint(Endpoint(0, EndpointState.DRAINING, 0, 0, 0, None))
    assert figures()["members_unavailable"] == 1
    module.set_endpoint(Endpoint(0, EndpointState.READY, 0, 0, 0, None))
    module.eject(0, "outcomes")
    assert figures()["members_unavailable"] == 1
    module.readmit(0)
    assert figures()["members_unavailable"] == 0


def test_the_figures_change_nothing_of_a_cold_servers_budget(node, figures):
    module = node.reducer.dispatcher
    module.process_started_ms[0], module.slow_start_tokens[0] = node.loop.now(), -1.0
    before = module.slow_start_tokens[0], module.slow_start_refilled_ms[0]
    assert figures()["members_unavailable"] == 0
    assert (module.slow_start_tokens[0], module.slow_start_refilled_ms[0]) == before


def test_the_figures_have_the_names_and_the_order_that_operators_know(node):
    kept = (Path(__file__).parent / "data" / "figures.txt").read_text().splitlines()
    assert [row.split("=")[0] for row in node.figures().splitlines()] == kept
