"""No attempt begins for a client that has disconnected, neither the first nor a retry.

See docs/design/endings.md. Each entry of WAITS brings a request to a state in which the next event sends it.
That event and the client's end then reach the node in the unfavourable order, on real loopback sockets: both
ready in one turn of the loop with the send first, or the client's end in the middle of a late turn.
"""

import select
import socket

import pytest
from conftest import ANSWER
from departure_scenario import LONG_OBJECTIVE_CLASSES, WAITS, DepartureScenario, wait_for_events
from loopback_servers import (
    LONG_BODY_BYTES,
    NO_PROBES_NO_CANCEL,
    PIPELINED_BYTES,
    SAFE_REQUEST,
    UNSAFE_REQUEST,
    close_sending_side,
    is_closed_by_peer,
    limit_buffers,
    reset_connection,
    run_loop,
    run_until,
    update_endpoint_list,
)

from marlseam import core
from marlseam.decisions.types import EndpointState, ListUpdateKind
from marlseam.net import protocol
from marlseam.net.connection import PIPELINED_CHECK_MS, Connection
from marlseam.net.loop import READY
from marlseam.net.protocol import MAX_BODY_BYTES

EACH_CLIENT_END = pytest.mark.parametrize(
    "end_client",
    [socket.socket.close, reset_connection, close_sending_side],
    ids=["closes", "resets", "half"],
)
EACH_SENT_AHEAD = pytest.mark.parametrize(
    "sent_ahead",
    [b"", SAFE_REQUEST.replace(b"9b", b"9d"), PIPELINED_BYTES],
    ids=["nothing", "a request", "much"],
)
MAY_CANCEL_OR_NOT = pytest.mark.parametrize("may_cancel", [True, False], ids=["cancel", "no cancel"])
EACH_WAIT = pytest.mark.parametrize("wait", WAITS)


@pytest.fixture
def make_scenario(node, client, list_test_servers, monkeypatch):
    """Return a maker of scenarios that count the attempts whose head and body the node has sent."""
    scenarios, write = [], Connection.message

    def message(connection, head, body, until_ms, *left):
        yield from write(connection, head, body, until_ms, *left)
        scenarios[-1].begun_attempts += (
            connection.description.startswith("server ") and head.method == b"POST"
        )

    def begin(may_cancel, sent_ahead=b""):
        scenarios.append(DepartureScenario(node, client, list_test_servers, may_cancel))
        scenarios[-1].sent_ahead = sent_ahead
        return scenarios[-1]

    monkeypatch.setattr(Connection, "message", message)

    yield begin
    for each in scenarios:
        each.close()


def assert_nothing_left(node):
    """Assert that no request or attempt is left, nor a server's slot in use."""
    assert not node.requests.pending
    assert not node.reducer.open_requests
    assert not node.upstream.attempts.in_flight
    assert not node.downstream.request_ids
    assert not any(node.reducer.dispatcher.own_slots)
    assert not node.reducer.dispatcher.key_queues
    assert not node.reducer.dispatcher.pending_queues


@EACH_WAIT
@MAY_CANCEL_OR_NOT
def test_a_waiting_request_is_sent_while_its_client_stays(wait, may_cancel, make_scenario, node):
    scenario = make_scenario(may_cancel)
    trigger_send = WAITS[wait](scenario)
    trigger_send()
    scenario.clock_ms += scenario.late_ms if wait == "timeout" else 0.0
    run_until(node, lambda: b"abc" in scenario.read())


def assert_not_sent(scenario, begun_attempts):
    """Assert that no attempt beyond `begun_attempts` has begun or begins later, and that the request ends."""
    node = scenario.node
    assert scenario.begun_attempts == begun_attempts
    assert b"abc" not in scenario.read()
    run_loop(scenario.node)
    run_until(scenario.node, lambda: scenario.client_connection not in node.downstream.open)
    if node.upstream.attempts.in_flight:  # an attempt that had begun continues where cancelling is forbidden
        scenario.clock_ms += 1000.0
    run_until(scenario.node, lambda: not node.upstream.attempts.in_flight)
    assert scenario.begun_attempts == begun_attempts
    assert b"abc" not in scenario.read()
    assert_nothing_left(node)


@MAY_CANCEL_OR_NOT
@EACH_SENT_AHEAD
@EACH_CLIENT_END
@pytest.mark.parametrize("wait", [name for name in WAITS if name != "timeout"])  # timers come after events
def test_no_attempt_begins_where_the_send_is_handled_before_the_clients_end(
    wait, end_client, sent_ahead, may_cancel, make_scenario, node
):
    scenario = make_scenario(may_cancel, sent_ahead)
    trigger_send = WAITS[wait](scenario)
    begun_attempts = scenario.begun_attempts
    trigger_send()
    wait_for_events(node.loop.poll.fileno())
    scenario.end_client(end_client)  # ready in the same turn, after the send
    node.loop.turn()
    assert_not_sent(scenario, begun_attempts)


@MAY_CANCEL_OR_NOT
@EACH_SENT_AHEAD
@EACH_CLIENT_END
@EACH_WAIT
def test_no_attempt_begins_in_a_late_turn_in_which_the_client_left(
    wait, end_client, sent_ahead, may_cancel, make_scenario, node
):
    scenario = make_scenario(may_cancel, sent_ahead)

    def leave_in_late_turn():
        """End the client's connection within a long turn, whose events were fetched before."""
        scenario.end_client(end_client)
        scenario.clock_ms += scenario.late_ms
        if scenario.step_within_turn is not None:
            scenario.step_within_turn()

    trigger_late_turn = scenario.on_event(leave_in_late_turn)
    trigger_send = WAITS[wait](scenario)
    begun_attempts = scenario.begun_attempts
    if scenario.step_within_turn is not None:
        # The wait ends before the event could be handled: step as if from within a turn.
        leave_in_late_turn()
    else:
        trigger_late_turn()
        wait_for_events(node.loop.poll.fileno())
        trigger_send()
        node.loop.turn()
    assert_not_sent(scenario, begun_attempts)


# A client that sends far ahead hides its end: with full buffers the system accepts neither bytes nor the end.

MORE_THAN_THE_SYSTEM_HOLDS = b"x" * (1 << 20)


def send_as_much_as_taken(sock, data=MORE_THAN_THE_SYSTEM_HOLDS):
    """Send as much as the system accepts without blocking."""
    try:
        while data:
            data = data[sock.send(data) :]
    except BlockingIOError:
        return


def is_end_hidden(scenario):
    """Return whether the system does not report the client's end (POLLRDHUP)."""
    poll = select.poll()
    poll.register(scenario.client_connection.sock.fileno(), select.POLLRDHUP)
    return not poll.poll(0)


@MAY_CANCEL_OR_NOT
@pytest.mark.parametrize("end_client", [socket.socket.close, close_sending_side], ids=["closes", "half"])
@pytest.mark.parametrize("wait", ["queue", "durability", "probe", "an error"])
def test_a_clients_end_is_detected_behind_more_than_the_system_holds(
    wait, end_client, may_cancel, make_scenario, node
):
    scenario = make_scenario(may_cancel)
    trigger_send = WAITS[wait](scenario)
    begun_attempts = scenario.begun_attempts
    send_as_much_as_taken(scenario.sock)
    end_client(scenario.sock)
    assert is_end_hidden(scenario)
    for _ in range(int(100.0 / PIPELINED_CHECK_MS) - 1):
        scenario.clock_ms += PIPELINED_CHECK_MS
        run_loop(scenario.node, 3)
    assert scenario.client_connection not in node.downstream.open
    trigger_send()
    assert_not_sent(scenario, begun_attempts)


@pytest.mark.parametrize("end_client", [socket.socket.close, close_sending_side], ids=["closes", "half"])
def test_a_clients_end_behind_more_than_the_system_holds_is_detected_before_its_request_is_accepted(
    end_client, make_scenario, node, client
):
    scenario = make_scenario(True)
    scenario.list_servers("e1")
    requests_before, sock = node.requests.last_request_id, client(b"")
    run_until(node, lambda: node.downstream.idle)
    send_as_much_as_taken(sock, SAFE_REQUEST + MORE_THAN_THE_SYSTEM_HOLDS)
    end_client(sock)  # the node reads it later
    run_until(node, lambda: not node.downstream.open)
    assert node.requests.last_request_id == requests_before
    assert b"abc" not in scenario.read()


def test_a_client_that_floods_and_stays_receives_its_whole_answer(make_scenario, node, reply):
    scenario = make_scenario(True)
    scenario.list_servers("e1")
    scenario.send_request()
    _, server_socket = scenario.wait_at_server()
    send_as_much_as_taken(scenario.sock)
    run_until(node, lambda: scenario.client_connection.has_discarded)
    server_socket.sendall(ANSWER)
    data = reply(scenario.sock)
    assert data.startswith(b"HTTP/1.1 200 ")
    assert b"\r\nConnection: close\r\n" in data
    send_as_much_as_taken(scenario.sock)  # further bytes must not cause a reset
    run_loop(scenario.node)
    assert not scenario.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    close_sending_side(scenario.sock)
    run_until(node, lambda: scenario.client_connection not in node.downstream.open)


def test_a_whole_request_of_the_largest_size_sent_ahead_is_served(make_scenario, reply):
    scenario = make_scenario(True)
    scenario.list_servers("e1")
    size = b"Length: %d" % MAX_BODY_BYTES
    large = (
        SAFE_REQUEST.replace(b"9b", b"9c").replace(b"Length: 3", size).replace(b"abc", b"b" * MAX_BODY_BYTES)
    )
    scenario.sent_ahead = large
    scenario.send_request()
    _, server_socket = scenario.wait_at_server()
    scenario.clock_ms += 10.0 * PIPELINED_CHECK_MS
    run_loop(scenario.node)
    server_socket.sendall(ANSWER)
    assert reply(scenario.sock).startswith(b"HTTP/1.1 200 ")
    assert scenario.wait_at_server(b"bbb")


# Many clients at once, the next request of a key, a first byte that waits, and faults.


def test_queued_requests_of_a_burst_of_clients_that_leave_are_not_sent(make_scenario, node):
    scenario = make_scenario(False)
    scenario.list_servers("e1")
    addresses = {"e1": scenario.upstream["e1"].address}
    update_endpoint_list(node, addresses, EndpointState.DRAINING, ListUpdateKind.DELTA)
    clients = []
    for number in range(30):
        scenario.send_request(SAFE_REQUEST.replace(b"9b", b"w%d" % number))
        clients.append((scenario.sock, scenario.client_connection))
    trigger_late_turn = scenario.on_event(
        lambda: update_endpoint_list(node, addresses, EndpointState.READY, ListUpdateKind.DELTA)
    )
    begun_attempts = scenario.begun_attempts
    trigger_late_turn()
    wait_for_events(node.loop.poll.fileno())
    for scenario.sock, scenario.client_connection in clients:
        scenario.end_client(socket.socket.close)
    node.loop.turn()
    assert_not_sent(scenario, begun_attempts)
    assert not node.downstream.open


def test_an_attempt_whose_client_left_leaves_no_record_and_the_keys_next_request_is_sent(make_scenario, node):
    keyed_class = LONG_OBJECTIVE_CLASSES[0] | {
        "semantics": "keyed",
        "dedupScope": "cell",
        "memorySpanUs": 30000000,
        "oneAtATime": True,
        "aimStretch": 20,
    }
    scenario = make_scenario(False)
    scenario.list_servers("e1", requestClasses=[keyed_class])
    for connection, _ in node.upstream.pool.servers["e1"].idle:
        connection.eof = True  # closed by its server: a new one is opened
    ordered_request = SAFE_REQUEST.replace(b"/statement", b"/statement?user=u").replace(
        b"Host: h", b"Host: h\r\nIdempotency-Key: k%d"
    )
    scenario.send_request(ordered_request % 1, read=False)
    (attempt,) = node.upstream.attempts.in_flight.values()
    first = scenario.sock, scenario.client_connection
    scenario.client((ordered_request % 2).replace(b"9b", b"9c"))
    attempt.task.clear_wait()  # so that its connection is not handled until the next request has come
    run_until(node, lambda: node.requests.last_request_id == 2)
    assert node.reducer.idempotency_records.attempts("k1", node.loop.now())
    begun_attempts = scenario.begun_attempts
    scenario.sock, scenario.client_connection = first
    scenario.end_client(socket.socket.close)
    attempt.task.step(READY)
    assert not node.reducer.idempotency_records.attempts("k1", node.loop.now())  # it provably never ran
    assert node.reducer.idempotency_records.attempts("k2", node.loop.now())
    run_until(node, lambda: scenario.begun_attempts > begun_attempts)
    data = scenario.read()
    assert b"k2" in data
    assert b"k1" not in data
    assert scenario.begun_attempts == begun_attempts + 1
    run_until(node, lambda: scenario.client_connection not in node.downstream.open)


@pytest.mark.parametrize(
    "end_attempt", [socket.socket.close, close_sending_side, "drains"], ids=["closes", "half", "drains"]
)
def test_an_attempt_whose_first_byte_the_system_does_not_accept_has_not_begun(
    end_attempt, make_scenario, node
):
    scenario = make_scenario(False)
    scenario.list_servers("e1")
    (connection, _), (other_connection, _) = node.upstream.pool.servers["e1"].idle
    for each in (connection, other_connection):  # fills the buffers, as if the server had not read
        send_as_much_as_taken(each.sock, b"x" * (1 << 24))
    scenario.send_request(read=False)
    (attempt,) = node.upstream.attempts.in_flight.values()
    assert not attempt.task.done
    assert scenario.read().count(b"x") > 0
    if end_attempt == "drains":
        update_endpoint_list(
            node, {"e1": scenario.upstream["e1"].address}, EndpointState.DRAINING, ListUpdateKind.DELTA
        )
    else:
        scenario.end_client(end_attempt)
    run_until(node, lambda: attempt.task.done)
    run_until(node, lambda: end_attempt == "drains" or not node.downstream.open)
    data = scenario.read()
    while more := scenario.read():
        data += more
    assert b"abc" not in data


def test_a_fault_at_each_attempt_ends_with_the_limit_of_attempts(make_scenario, node, monkeypatch):
    # Each attempt ends as cancelled unsent. Guards against a limit that does not count such attempts: the
    # next one would start at once, in an endless loop.
    scenario = make_scenario(True)
    scenario.list_servers("e1", "e2")
    attempts = []

    def faulty(*given):
        attempts.append(given)
        assert len(attempts) <= node.reducer.dispatcher.settings.max_attempts
        raise KeyError("a fault")

    monkeypatch.setattr(protocol, "attempt_headers", faulty)
    scenario.send_request(read=False)
    run_until(node, lambda: not node.requests.pending)
    assert len(attempts) == node.reducer.dispatcher.settings.max_attempts
    assert_nothing_left(node)


@pytest.mark.parametrize("order_of_events", ["end alone", "bytes read before the end", "answered"])
@pytest.mark.parametrize("request_bytes", [SAFE_REQUEST, UNSAFE_REQUEST], ids=["safe", "unsafe"])
@EACH_CLIENT_END
def test_an_attempt_whose_bytes_are_partly_sent_is_cut(
    end_client, request_bytes, order_of_events, make_scenario, node, client, monkeypatch
):
    # A server begins a request when its last byte has come: before, the attempt may still be cancelled.
    sends = []  # for each send of the body, whether the request was still unanswered

    class SmallSocket(socket.socket):
        """A socket with such small buffers that a request's last byte waits for its reader."""

        def __init__(self, *given, **named):
            super().__init__(*given, **named)
            limit_buffers(self)

        def send(self, data):
            if bytes(data[-1:]) == b"b":  # of the request, not of an answer
                sends.append(bool(node.requests.pending))
            return super().send(data)

    scenario = make_scenario(False)
    scenario.upstream = {"e1": scenario.list_test_servers("e1", ceilings=NO_PROBES_NO_CANCEL)[0]}
    server = scenario.upstream["e1"]
    server.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    scenario.sock = client(
        request_bytes.replace(b"Length: 3", b"Length: %d" % LONG_BODY_BYTES)[:-3] + b"b" * LONG_BODY_BYTES
    )
    monkeypatch.setattr(socket, "socket", SmallSocket)
    run_until(node, server.accept)
    (scenario.client_connection,) = node.downstream.open
    (attempt,) = node.upstream.attempts.in_flight.values()
    run_until(node, lambda: attempt.task.fd >= 0 and select.select([server.held[0]], [], [], 0)[0])
    read = 0
    if order_of_events == "bytes read before the end":
        while not select.select([], [attempt.task.fd], [], 0)[1]:
            read += server.read().count(b"b")
    sends_before = len(sends)
    if order_of_events == "answered":
        node.post(core.ShutdownBegun(0.0))
        run_until(node, lambda: attempt.task.done)
    else:
        scenario.end_client(end_client)
        node.loop.turn()
    run_until(node, lambda: attempt.task.done)
    while not is_closed_by_peer(server.held[0]):  # reads what the system has buffered, up to the end
        read += server.read().count(b"b")
        run_loop(scenario.node, 1)
    assert read < LONG_BODY_BYTES
    assert not node.counters.attempts
    assert sends_before > 0
    assert all(sends)
    if order_of_events != "answered":  # the answer comes by a timer: the system may accept more bytes before
        assert len(sends) == sends_before
        run_until(node, lambda: not node.downstream.open)
    assert_nothing_left(node)


def test_a_client_whose_connection_ended_by_an_exception_counts_as_gone(make_scenario, node, monkeypatch):
    # Guards against a check of the closed socket for the client's end: it would raise an exception itself,
    # and cancel each attempt up to the limit.
    scenario = make_scenario(False)
    trigger_send = WAITS["an error"](scenario)
    begun_attempts, faults = scenario.begun_attempts, []
    node.loop.on_exception = faults.append
    with monkeypatch.context() as patch:
        patch.setattr(Connection, "fill", lambda _connection: 1 // 0)
        scenario.sock.sendall(b"GET")
        run_until(node, lambda: faults)
    # The error is answered first.
    run_until(node, lambda: scenario.client_connection not in node.downstream.open)
    trigger_send()
    run_until(node, lambda: not node.upstream.attempts.in_flight)
    assert scenario.begun_attempts == begun_attempts
    assert b"abc" not in scenario.read()
    assert len(faults) == 1
    assert not node.reducer.open_requests
    assert not any(node.reducer.dispatcher.own_slots)
