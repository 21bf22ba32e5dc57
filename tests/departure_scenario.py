"""Scenarios of a client that disconnects while its request waits, one for each kind of wait (`WAITS`)."""

import select
import socket
from dataclasses import replace
from math import inf

from conftest import ANSWER, OPTIONS
from http_samples import CLIENT_REQUEST
from loopback_servers import (
    NEVER_RAN_RESPONSE,
    PIPELINED_BYTES,
    SAFE_REQUEST,
    UNSAFE_REQUEST,
    reset_connection,
    response_of_states,
    run_until,
    update_endpoint_list,
)

from marlseam.decisions.types import EndpointState, ListUpdateKind
from marlseam.net.connection import MAX_PIPELINED_BYTES
from marlseam.net.loop import READ as READ_MASK
from marlseam.net.loop import READY
from marlseam.net.upstream import AttemptOrder
from marlseam.net.upstream.attempts import DUPLICATE_ANSWER_MS

LATE_MS = 150.0  # how long a late turn takes after the client's end; attempts may begin for 100 ms after it
# Their latency objective of 1 s prevents a time-out of an attempt in a late turn.
LONG_OBJECTIVE_CLASSES = [row | {"aimUs": 1000000} for row in OPTIONS["requestClasses"]]
ERROR_RESPONSE = b"HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n"
LOAD_REPORT_RESPONSE = b"HTTP/1.1 200 -\r\nContent-Length: 12\r\n\r\nTEXT queue=0"


def wait_for_events(fd, mask=select.POLLIN):
    """Wait until the system has events for a descriptor, which may be one of an epoll; fail after 2 s."""
    poll = select.poll()
    poll.register(fd, mask)
    assert poll.poll(2000), "no event within 2 s"


class DepartureScenario:
    """A node with its servers and a client that leaves, and the functions that cause events on their sockets.

    Attributes:
        may_cancel: whether settings allow the node to cancel attempts that run
        sent_ahead: what the client sends behind its request
        upstream: the servers by name
        begun_attempts: the number of attempts whose head and body the node has sent
        sock, client_connection: the leaving client's socket, and the node's side of it
        step_within_turn: what a late turn has to call itself, as the wait ends within it; None for nothing
        late_ms: how long a late turn takes
        clock_ms: the node's clock
        event_sockets: the sockets that `on_event` made
    """

    def __init__(self, node, client, list_test_servers, may_cancel):
        self.node, self.client, self.list_test_servers = node, client, list_test_servers
        self.may_cancel = may_cancel
        self.sent_ahead, self.upstream, self.event_sockets = b"", {}, []
        self.begun_attempts = 0
        self.sock = self.step_within_turn = None
        self.late_ms = LATE_MS
        # Each turn waits up to 1 ms for events and moves the clock by 1 ms: guards against a machine that
        # halts for seconds, which would time out the node's waits.
        self.clock_ms, run_turn = node.loop.now(), node.loop.turn
        node.loop.now = lambda: self.clock_ms

        def step():
            if node.loop.pause_s():
                select.select([node.loop.poll.fileno()], [], [], 0.001)
            self.clock_ms += 1.0
            run_turn()

        node.loop.turn = step

    def list_servers(self, *names, probes=False, **options):
        """List servers with two idle connections each: an attempt is then sent in the turn it starts in."""
        ceilings = {"mayProbe": probes, "cancel": self.may_cancel} | options.pop("ceilings", {})
        options = {"requestClasses": LONG_OBJECTIVE_CLASSES} | options
        self.upstream = dict(
            zip(names, self.list_test_servers(*names, ceilings=ceilings, **options), strict=True)
        )
        for name, server in self.upstream.items():
            until_ms = self.node.loop.now() + 1000.0
            for attempt_index in range(2):
                self.node.upstream.attempts.send(
                    AttemptOrder("0", attempt_index, name, CLIENT_REQUEST, until_ms, until_ms)
                )
            run_until(self.node, lambda server=server: server.accept() and len(server.held) == 2)
            for sock in server.held:
                sock.sendall(ANSWER.replace(b'"e1"', b'"%b"' % name.encode()))
            run_until(self.node, lambda name=name: len(self.node.upstream.pool.servers[name].idle) == 2)
        assert self.read().count(b"abc") == 2 * len(names)
        self.clock_ms += DUPLICATE_ANSWER_MS  # before, no attempt that must run once uses these connections

    def send_request(self, request=SAFE_REQUEST, read=True):
        """Send the client's request; with `read`, wait until the node has read what the client sent ahead."""
        before, requests_before = set(self.node.downstream.open), self.node.requests.last_request_id
        self.sock = self.client(request + self.sent_ahead)
        run_until(self.node, lambda: set(self.node.downstream.open) - before)
        (self.client_connection,) = set(self.node.downstream.open) - before
        run_until(self.node, lambda: self.node.requests.last_request_id > requests_before)
        if read and self.sent_ahead:
            is_much = self.sent_ahead is PIPELINED_BYTES
            run_until(
                self.node,
                lambda: self.client_connection.has_pipelined()
                and (not is_much or len(self.client_connection.buffer) >= MAX_PIPELINED_BYTES),
            )
            self.node.loop.call_at(self.node.loop.now(), lambda: None)
            self.node.loop.turn()  # else the bytes are still a pending event, which the client's end replaces

    def read(self):
        """Return the bytes that the servers have received since the last call."""
        data = b""
        for name, server in self.upstream.items():
            while server.accept():
                pass
            for sock in server.held:
                try:
                    received = sock.recv(1 << 16)
                except (BlockingIOError, ConnectionResetError):
                    continue
                if received:
                    self.read_from = name, sock
                data += received
        return data

    def wait_at_server(self, word=b"abc"):
        """Wait until a server has received a request; return its name and its side of the connection."""
        run_until(self.node, lambda: word in self.read())
        return self.read_from

    def on_event(self, call):
        """Let the node make a call on a socket event; return the function that causes the event."""
        ours, theirs = socket.socketpair()
        self.event_sockets += [ours, theirs]

        def wait_for_event():
            yield (theirs.fileno(), READ_MASK, inf)
            call()

        self.node.loop.spawn(wait_for_event())
        return lambda: ours.send(b"!")

    def end_client(self, end_client):
        """End the client's connection; return once the end has reached the node's socket."""
        end_client(self.sock)
        wait_for_events(self.client_connection.sock.fileno(), select.POLLRDHUP)

    def close(self):
        for sock in self.event_sockets:
            sock.close()


# What a request can wait for. Each function brings a request to the wait, and returns the function that ends
# the wait, so that the next turn would send an attempt.


def wait_for_connecting(scenario):
    scenario.list_servers("e1")
    for connection, _ in scenario.node.upstream.pool.servers["e1"].idle:
        connection.eof = True  # closed by its server: a new one is opened
    scenario.send_request(read=False)
    (attempt,) = scenario.node.upstream.attempts.in_flight.values()
    wait_for_events(attempt.task.fd, select.POLLOUT)  # connected, and the node has not handled the event
    scenario.step_within_turn = lambda: attempt.task.step(READY)
    return lambda: None


def wait_for_response(answer, request=SAFE_REQUEST):
    def wait(scenario):
        scenario.list_servers("e1", "e2")
        scenario.send_request(request)
        name, sock = scenario.wait_at_server()
        return lambda: sock.sendall(answer.replace(b'"e1"', b'"%b"' % name.encode()))

    return wait


def wait_for_reset(scenario):
    scenario.list_servers("e1", "e2")
    scenario.send_request()
    name, sock = scenario.wait_at_server()
    scenario.upstream[name].held.remove(sock)
    return lambda: reset_connection(sock)


def wait_for_timeout(scenario):
    classes = [LONG_OBJECTIVE_CLASSES[0], OPTIONS["requestClasses"][1]]  # time is left for two attempts
    scenario.list_servers("e1", "e2", requestClasses=classes)
    scenario.send_request()
    scenario.wait_at_server()
    scenario.late_ms = scenario.node.upstream.timeouts.accept_ms
    return lambda: None


def wait_for_hedging(scenario):
    scenario.list_servers("e1", "e2", ceilings={"secondCopies": True})
    scenario.send_request()
    name, _ = scenario.wait_at_server()
    address = {name: scenario.upstream[name].address}
    return scenario.on_event(
        lambda: update_endpoint_list(scenario.node, address, EndpointState.GONE, ListUpdateKind.DELTA)
    )


def wait_for_probe(scenario):
    scenario.list_servers("e1", probes=True)
    scenario.node.reducer.dispatcher.last_report_ms[scenario.node.reducer.servers.by_name["e1"]] = -inf
    scenario.send_request()
    _, sock = scenario.wait_at_server(b"/-/load")
    return lambda: sock.sendall(LOAD_REPORT_RESPONSE)


def wait_for_durability(scenario):
    scenario.list_servers("e1")
    ours, theirs = socket.socketpair()
    scenario.event_sockets += [ours, theirs]

    def await_durable():
        yield (theirs.fileno(), READ_MASK, inf)  # until the record is durable
        return True

    send = scenario.node.upstream.attempts.send
    scenario.node.upstream.attempts.send = lambda order: send(replace(order, await_durable=await_durable))
    scenario.send_request()
    assert scenario.node.upstream.attempts.in_flight
    return lambda: ours.send(b"!")


def wait_in_queue(scenario):
    scenario.list_servers("e1")
    addresses = {"e1": scenario.upstream["e1"].address}
    update_endpoint_list(scenario.node, addresses, EndpointState.DRAINING, ListUpdateKind.DELTA)
    scenario.send_request()
    assert scenario.node.reducer.dispatcher.pending_queues
    return scenario.on_event(
        lambda: update_endpoint_list(scenario.node, addresses, EndpointState.READY, ListUpdateKind.DELTA)
    )


def wait_for_key(scenario):
    scenario.list_servers(
        "e1", requestClasses=[LONG_OBJECTIVE_CLASSES[0] | {"oneAtATime": True, "aimStretch": 20}]
    )
    ordered_request = SAFE_REQUEST.replace(b"/statement", b"/statement?user=u")
    scenario.client(ordered_request.replace(b"9b", b"9a"))
    _, sock = scenario.wait_at_server()
    scenario.send_request(ordered_request)
    assert scenario.node.requests.last_request_id == 2
    return lambda: sock.sendall(ANSWER.replace(b"9b", b"9a"))


WAITS = {
    "connecting": wait_for_connecting,
    "an error": wait_for_response(ERROR_RESPONSE),
    "a broken response": wait_for_response(b"nonsense\r\n\r\n"),
    "unprocessed": wait_for_response(NEVER_RAN_RESPONSE),
    "unprocessed, unsafe": wait_for_response(NEVER_RAN_RESPONSE, UNSAFE_REQUEST),
    "returned, unsafe": wait_for_response(response_of_states(b"returned"), UNSAFE_REQUEST),
    "a reset": wait_for_reset,
    "timeout": wait_for_timeout,
    "hedging": wait_for_hedging,
    "probe": wait_for_probe,
    "durability": wait_for_durability,
    "queue": wait_in_queue,
    "key": wait_for_key,
}
