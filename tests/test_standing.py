"""What the page of the standing test asks, each bad order forced on real sockets (docs/design/endings.md).

Peers and time as in test_endings: the test's own, so that the order is the same in every run.
"""

import json
import os
import re
import select
import socket
from contextlib import suppress
from dataclasses import replace
from pathlib import Path

import h11
import pytest
import test_endings
from conftest import ANSWER, OPTIONS
from test_endings import (
    NEVER,
    NO_PROBES,
    POSTING,
    REQUEST,
    Peer,
    ended,
    full_queue,
    gated,
    lines,
    reset,
    tell,
)
from test_net import JOB

from marlseam import core
from marlseam.configuration import deployment_from
from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState, ListUpdateKind, Outcome
from marlseam.net import downstream
from marlseam.net import node as node_module
from marlseam.net.downstream import NEW_GRACE_MS, WRITE_TIMEOUT_MS
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.loop import LATE, READY
from marlseam.net.upstream import AttemptOrder
from marlseam.net.upstream.attempts import DUPLICATE_ANSWER_MS

peers, settle, stand, turn = (
    test_endings.peers,
    test_endings.settle,
    test_endings.stand,
    test_endings.turn,
)
LOOK_MS = 0.01  # by which a led clock moves at each look
KEYED = OPTIONS["requestClasses"][0] | {"semantics": "keyed", "dedupScope": "all", "aimStretch": 20}
PAYING = REQUEST.replace(b"Host: h", b"Host: h\r\nIdempotency-Key: k")


@pytest.fixture
def small(monkeypatch):
    """Return a function from which on sockets hold so little that a long request waits for its reader."""
    real = socket.socket

    def made(*given, **named):
        sock = real(*given, **named)
        for side in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            sock.setsockopt(socket.SOL_SOCKET, side, 2048)
        return sock

    return lambda: monkeypatch.setattr(socket, "socket", made)


def led(loop):
    """Lead a loop's clock: it moves by each look alone, however busy the machine is, and by what is asked."""
    by = [loop.now()]

    def now():
        by[0] += LOOK_MS
        return by[0]

    def more(ms):
        by[0] += ms

    loop.now = now
    return more


@pytest.fixture
def lead(node):
    """Return a function that leads the node's clock by so many ms more."""
    return led(node.loop)


def state_of(node, name):
    """Return what the endpoint list says of a server."""
    return node.reducer.dispatcher.endpoint_state[node.reducer.servers.by_name[name]]


def answer_all(peer, name):
    """Have a server of the test's complete all that it has been sent."""
    while peer.accept():
        pass
    for sock in peer.held:
        with suppress(BlockingIOError, ConnectionResetError):
            for id in re.findall(rb"x-correlation-id: (\S+)", sock.recv(1 << 20), re.IGNORECASE):
                last = b'{"id":"%b","from":"%b","state":"done","result":"r"}\n' % (id, name)
                sock.sendall(line(last))


def long(request):
    """Return a request with a body that fills small sockets."""
    return request.replace(b"Length: 3", b"Length: 65536").replace(b"abc", b"b" * 65536)


# Short windows for repeats.


@pytest.mark.parametrize("reads", ["before", "with"])
def test_a_repeat_whose_bytes_wait_past_the_pods_memory_is_cut(
    node, client, stand, turn, settle, small, lead, reads
):
    # A server begins a request when its last byte has come: by then its pods have forgotten the first.
    keyed = KEYED | {"memorySpanUs": 1000000}
    one, two = stand("e1", "e2", ceilings=NO_PROBES, requestClasses=[keyed])
    for peer in (one, two):
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    client(long(PAYING))
    turn(lambda: one.accept() or two.accept())
    first, other = (one, two) if one.held else (two, one)
    read = bytearray()

    def whole():
        read.extend(first.read())
        return read.endswith(b"b") and read.count(b"b") >= 65536

    turn(whole)
    small()
    first.held[0].sendall(b"nonsense\r\n\r\n")  # it may have run
    turn(lambda: other.accept())
    settle()
    (flight,) = node.upstream.attempts.in_flight.values()
    assert not flight.has_begun  # it stands in the middle of its bytes
    attempts = node.counters.attempts
    lead(1000.0)  # the memory is over, the deadline is not
    while reads == "with" and not select.select([], [flight.task.fd], [], 0)[1]:
        other.read()  # there is room for more in the turn in which the time is over
    settle()
    for _ in range(100):
        other.read()
        settle(2)
    assert node.counters.attempts == attempts
    assert not node.upstream.attempts.in_flight


def test_what_waits_for_room_goes_out_no_more_once_its_time_is_over(connection):
    made = connection(h11.CLIENT, piece=10)
    steps = made.write(b"x" * 100, made.loop.now() + 5.0)
    next(steps)
    late, gone = made.loop.now() + 5.0, made.sock.sent
    made.loop.now = lambda: late
    with pytest.raises(ConnectionEndedError):
        steps.send(READY)  # there is room in the turn in which the time is over
    assert made.sock.sent == gone


# Second answers, some milliseconds late.


@pytest.mark.parametrize(
    "second",
    [NEVER, ANSWER, b"HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n"],
    ids=["never ran", "the same", "an error"],
)
@pytest.mark.parametrize(
    "job",
    [replace(JOB, is_unsafe=True, must_run_once=True), replace(JOB, must_run_once=True)],
    ids=["exclusive", "receipted"],
)
def test_a_second_answer_after_a_good_one_proves_nothing_of_the_next(node, stand, turn, lead, second, job):
    (executor,) = stand("e1", ceilings=NO_PROBES)
    told = []
    node.upstream.attempts.post = told.append
    until = node.loop.now() + 5000.0
    node.upstream.attempts.send(AttemptOrder("1", 0, "e1", JOB, until, until))
    turn(lambda: b"abc" in executor.read())
    executor.held[0].sendall(ANSWER)
    turn(lambda: node.upstream.pool.servers["e1"].idle)
    told.clear()
    node.upstream.attempts.send(
        AttemptOrder("2", 0, "e1", job, until, until)
    )  # in the turn in which the first ends
    turn(lambda: b"abc" in executor.read())
    executor.held[0].sendall(second.replace(b"9b", b"9a"))
    turn(lambda: told)
    # It may run: neither sent again nor off the record. Its own answer is nobody's any more.
    assert [event.outcome for event in told] == [Outcome.BROKEN]
    assert ended(executor.held[0])
    assert not node.upstream.pool.servers["e1"].idle


@pytest.mark.parametrize("wait_ms", [0.0, DUPLICATE_ANSWER_MS], ids=["new", "rested"])
def test_a_refusal_is_believed_where_no_second_answer_can_come(node, stand, turn, lead, wait_ms):
    (executor,) = stand("e1", ceilings=NO_PROBES)
    told = []
    node.upstream.attempts.post = told.append
    until = node.loop.now() + 5000.0
    if wait_ms:
        node.upstream.attempts.send(AttemptOrder("1", 0, "e1", JOB, until, until))
        turn(lambda: b"abc" in executor.read())
        executor.held[0].sendall(ANSWER)
        turn(lambda: node.upstream.pool.servers["e1"].idle)
        lead(wait_ms)
        told.clear()
    node.upstream.attempts.send(
        AttemptOrder("2", 0, "e1", replace(JOB, is_unsafe=True, must_run_once=True), until, until)
    )
    turn(lambda: b"abc" in executor.read())
    executor.held[0].sendall(NEVER)
    turn(lambda: told)
    assert [event.outcome for event in told] == [Outcome.AT_CAPACITY]
    assert len(executor.held) == 1


# The list.


DISCOVERED = {"host": "e1", "site": "here", "class": "plain", "block": 0}


@pytest.mark.parametrize(
    "spoilt",
    [{"dial": "odd"}, {"dial": None}, {"born_ms": "soon"}, {"born_ms": 10**400}, {"share": 10**400}],
    ids=["dial", "no dial", "born", "number", "share"],
)
@pytest.mark.parametrize("whole", [True, False], ids=["whole", "change"])
def test_a_drain_is_heard_in_an_entry_that_is_spoilt_elsewhere(node, spoilt, whole):
    row = DISCOVERED | {"dial": "127.0.0.1:1", "health": "active"}
    node.discovery.take({"seq": 5, "whole": True, "hosts": [row]})
    row = row | {"health": "leaving"} | spoilt
    node.discovery.take({"seq": 6, "whole": whole, "hosts": [row]})
    assert state_of(node, "e1") is EndpointState.DRAINING


@pytest.mark.parametrize("field", ["born_ms", "share", "block"])
def test_a_number_that_no_float_holds_spoils_its_entry_alone(node, field):
    row = DISCOVERED | {"dial": "127.0.0.1:1", "health": "active"}
    odd = row | {"host": "e2", field: 10**400}
    node.discovery.take({"seq": 5, "whole": True, "hosts": [odd, row]})
    assert "e1" in node.discovery.held


# Broken answers.

HUGE = b"1" + b"0" * 400
DEEP = b"[" * 30000


def line(text):
    return b"HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text)


SPOILT = {
    "a share no float holds": line(b'{"id":"9b","from":"e1","state":"running","share":%b}\n' % HUGE),
    "a report no float holds": line(
        b'{"id":"9b","from":"e1","state":"done","result":"r","load":{"queue":%b}}\n' % HUGE
    ),
    "nested for ever": line(DEEP + b"\n"),
    "a length no number holds": b"HTTP/1.1 200 -\r\nContent-Length: %b\r\n\r\n" % (b"9" * 5000),
    "no text": line(b'{"id":"9b","from":"e1","state":"done","result":"\xff"}\n'),
    "no scalar": line(b'{"id":"9b","from":"e1","state":"done","result":"\\ud800"}\n'),
    "another protocol": b"HTTP/1.1 101 -\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "a last line without its end": line(b'{"id":"9b","from":"e1","state":"returned"}'),
    "no head": b"\x00" * 20000,
    "a long head": b"HTTP/1.1 200 -\r\n" + b"x: y\r\n" * 5000,
    "an odd size": b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n%b\r\n" % (b"f" * 30),
}


@pytest.mark.parametrize("says", SPOILT.values(), ids=SPOILT)
def test_a_spoilt_answer_may_have_run_and_is_no_fault_of_the_node(
    node, client, stand, turn, reply, capsys, says
):
    (executor,) = stand("e1", ceilings=NO_PROBES)
    sock = client(POSTING)
    turn(lambda: b"abc" in executor.read())
    executor.held[0].sendall(says)
    executor.held[0].shutdown(socket.SHUT_WR)
    answer = reply(sock)
    done = says is SPOILT["a report no float holds"]
    assert answer.startswith(b"HTTP/1.1 200 " if done else b"HTTP/1.1 500 ")
    assert not node.upstream.attempts.in_flight
    assert node.counters.attempts == 1
    assert "Traceback" not in capsys.readouterr().err


@pytest.mark.parametrize(
    "says",
    [line(b'{"queue":%b}' % HUGE), line(b'{"queue":%b' % DEEP), line(b"TEXT queue=%b" % HUGE)],
    ids=["number", "nested", "text"],
)
def test_a_spoilt_report_is_no_fault_of_the_node(node, stand, turn, capsys, says):
    (executor,) = stand("e1")
    told = []
    node.upstream.health_checks.post = told.append
    node.upstream.health_checks.start("e1")
    turn(lambda: b"/-/load" in executor.read())
    executor.held[0].sendall(says)
    turn(lambda: told)
    assert told[0].outcome is Outcome.COMPLETED
    assert "Traceback" not in capsys.readouterr().err


ASKS = b"POST /statement HTTP/1.1\r\nHost: h\r\n"
BAD = {
    "a length no number holds": ASKS + b"Content-Length: %b\r\n\r\n" % (b"9" * 5000),
    "slots no float holds": REQUEST.replace(b"Host: h", b"Host: h\r\nX-Facts: slots=%b" % HUGE),
    "a time no float holds": REQUEST.replace(b"Left: 5", b"Left: %b" % HUGE),
    "a target of another script": REQUEST.replace(b"/statement", b"/statement?user=%ff%fe&x=\xe9"),
    "a chunk without end": ASKS + b"Transfer-Encoding: chunked\r\n\r\n" + b"f" * 9999,
}


@pytest.mark.parametrize("says", BAD.values(), ids=BAD)
def test_a_bad_request_is_told_so_and_is_no_fault_of_the_node(node, client, reply, capsys, monkeypatch, says):
    monkeypatch.setattr(downstream, "READ_TIMEOUT_MS", 300.0)
    sock = client(says)
    assert reply(sock)[:10] == b"HTTP/1.1 4"
    assert "Traceback" not in capsys.readouterr().err


# Bytes in the very moment in which the node closes.


@pytest.fixture
def crossing(node, monkeypatch):
    """Return a function that has a call made between the last look at a client's socket and its closing."""
    close = node.loop.close

    def begin(call):
        doors = list(node.downstream.open)

        def closes(sock):
            if any(sock is door.sock for door in doors):
                call()
            close(sock)

        monkeypatch.setattr(node.loop, "close", closes)

    return begin


def by_room(node):
    node.downstream.close_one()


def by_drain(node):
    node.downstream.drain(0.0, 0.0)


def by_age(node):
    ((door, task),) = node.downstream.idle.items()
    task.step(LATE)


def by_end(node):
    node.loop.finish()


@pytest.mark.parametrize("closes", [by_room, by_drain, by_age, by_end])
@pytest.mark.parametrize("used", [False, True], ids=["new", "used"])
def test_a_request_that_crosses_its_connections_end_is_not_read(
    node, client, stand, turn, settle, lead, crossing, closes, used
):
    (executor,) = stand("e1", ceilings=NO_PROBES)
    sock = client(REQUEST if used else b"")
    if used:
        turn(lambda: b"abc" in executor.read())
        executor.held[0].sendall(ANSWER)
        turn(lambda: node.requests.last_request_id and not node.requests.pending and node.downstream.idle)
        assert sock.recv(1 << 16).startswith(b"HTTP/1.1 200 ")
    turn(lambda: node.downstream.idle)
    lead(NEW_GRACE_MS)
    crossed = []
    crossing(lambda: crossed.append(sock.sendall(REQUEST.replace(b"9b", b"9c"))))
    closes(node)
    if closes is not by_end:
        settle()
    assert crossed
    assert ended(sock)
    assert not node.downstream.open
    assert node.requests.last_request_id == used
    assert b"abc" not in executor.read()


def test_an_answer_that_ends_its_connection_is_whole_though_a_request_crosses_it(
    node, client, stand, turn, crossing
):
    (executor,) = stand("e1", ceilings=NO_PROBES)
    sock = client(REQUEST)
    turn(lambda: b"abc" in executor.read())
    node.downstream.drain(0.0, 10000.0)
    crossing(lambda: sock.sendall(REQUEST.replace(b"9b", b"9c")))
    body = b"r" * 60000
    node.requests.answer("1", 200, [], body)
    turn(lambda: not node.downstream.open)
    answer = b""
    while len(answer) < len(body):
        more = sock.recv(1 << 16)
        assert more
        answer += more
    assert answer.endswith(b"\r\n\r\n" + body)
    assert node.requests.last_request_id == 1


def test_all_sockets_write_small_parts_at_once(node, client, stand, turn):
    # What the system holds back goes with a connection that is reset.
    (executor,) = stand("e1", ceilings=NO_PROBES)
    client(REQUEST)
    turn(executor.accept)
    (door,), (flight,) = node.downstream.open, node.upstream.attempts.in_flight.values()
    turn(lambda: flight.has_begun)
    made = [door.sock.fileno(), flight.task.fd]
    for number in made:
        sock = socket.socket(fileno=os.dup(number))
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        sock.close()


SAYS = {
    "half a line": lines(b"done")[:-20],
    "the last line": lines(b"done"),
    "a refusal": NEVER,
    "handed back": lines(b"returned"),
}


@pytest.mark.parametrize("says", SAYS.values(), ids=SAYS)
@pytest.mark.parametrize("request_", [REQUEST, POSTING], ids=["rerunnable", "exclusive"])
def test_what_a_server_says_as_it_is_given_up_is_told_once(
    node, client, stand, turn, settle, monkeypatch, says, request_
):
    (executor,) = stand("e1", ceilings=NO_PROBES)
    sock = client(request_)
    turn(lambda: b"abc" in executor.read())
    told, close, post = [], node.loop.close, node.upstream.attempts.post
    node.upstream.attempts.post = lambda event: (told.append(event), post(event))

    def closes(closed):
        if executor.held and closed.fileno() == flight_fd:
            executor.held[0].sendall(says)
        close(closed)

    (flight,) = node.upstream.attempts.in_flight.values()
    flight_fd = flight.task.fd
    monkeypatch.setattr(node.loop, "close", closes)
    sock.close()
    turn(lambda: flight.task.done)
    settle()
    assert [event.outcome for event in told if type(event) is core.AttemptEnded] == [Outcome.CANCELLED]
    assert not node.reducer.open_requests
    assert b"abc" not in executor.read()


@pytest.mark.parametrize("seen", [READY, LATE])
def test_an_answer_that_has_come_as_its_time_ends_is_taken(node, client, stand, turn, reply, lead, seen):
    # The loop runs late: the answer is there, its patience is over in the same turn.
    (executor,) = stand("e1", ceilings=NO_PROBES)
    sock = client(REQUEST)
    turn(lambda: b"abc" in executor.read())
    (flight,) = node.upstream.attempts.in_flight.values()
    executor.held[0].sendall(ANSWER)
    while not select.select([flight.task.fd], [], [], 0)[0]:
        pass
    lead(node.upstream.timeouts.accept_ms + 1.0)
    flight.task.step(seen)
    assert reply(sock).startswith(b"HTTP/1.1 200 ")
    assert node.counters.attempts == 1


# From SIGTERM up to the end, on every connection that stays open.


def test_what_comes_at_any_instant_between_sigterm_and_the_end_is_answered_or_never_read(
    node, client, stand, turn, lead
):
    good, hanging = stand("e1", "e2", ceilings=NO_PROBES)
    resting = [client(b"") for _ in range(200)]
    turn(lambda: len(node.downstream.idle) == len(resting))
    lead(NEW_GRACE_MS)
    asked, refs = [], node.requests.last_request_id

    def ask(new):
        i = len(asked)
        data = (POSTING, REQUEST.replace(b"Left: 5", b"Left: 0.3"))[i % 2].replace(b"9b", b"w%d" % i)
        with suppress(OSError):  # it was closed before, and nobody listens: its client goes elsewhere
            if new:
                asked.append(client(data))
            elif resting:
                asked.append(resting.pop())
                asked[-1].sendall(data)

    part, end = node.downstream.close_idle, node.shutdown.finish
    node.downstream.close_idle = lambda: (ask(False), part())  # in the moment in which the drain looks
    node.shutdown.finish = lambda at_ms: (ask(False), end(at_ms))
    tell(node, {"e2": hanging.address})
    for _ in range(8):
        ask(False)
    turn(
        lambda: node.requests.last_request_id - refs == len(asked)
    )  # unsafe work of before hangs up to the end
    tell(node, {"e1": good.address, "e2": hanging.address})
    began = node.loop.now()
    node.shutdown.begin()
    while not node.loop.stopped:
        ask(False)
        ask(True)
        for _ in range(4):
            lead(6.0)
            node.loop.at(node.loop.now(), lambda: None)
            node.loop.turn()
            answer_all(good, b"e1")
    assert node.loop.now() - began < 3700.0
    assert not node.requests.pending
    node.loop.finish()
    answers = []
    for sock in asked:
        sock.settimeout(10.0)  # all have ended: none waits
        with suppress(ConnectionResetError):
            answers.append(sock.recv(1 << 16))
    given = [answer for answer in answers if answer]
    assert {b"200", b"500"} <= {answer[9:12] for answer in given} <= {b"200", b"500", b"503"}
    assert all(b"\r\n\r\n" in answer for answer in given)
    assert len(given) == node.requests.last_request_id - refs
    assert len(given) > 100


# Work that was never sent on is refused, within its time and half a second.


def nobody(node, peer):
    node.post(core.EndpointListUpdate(ListUpdateKind.FULL, []))


def all_drain(node, peer):
    tell(node, {"e1": peer.address}, EndpointState.DRAINING)


def refuses(node, peer):
    tell(node, {"e1": ("127.0.0.1", 1)})


def dials_hang(node, peer):
    full_queue(peer)


def at_a_gate(node, peer):
    gated(node)


def probes_hang(node, peer):
    node.adopt(replace(node.config, deployment=deployment_from(OPTIONS | {"requestClasses": EFFECTS})))


EFFECTS = [row | {"aimStretch": 20} for row in OPTIONS["requestClasses"]] + [
    KEYED | {"name": "payment", "dedupScope": "cell", "memorySpanUs": 1000000}
]
PAYMENT = PAYING.replace(b"statement", b"payment")


@pytest.mark.parametrize("why", [nobody, all_drain, refuses, dials_hang, at_a_gate, probes_hang])
@pytest.mark.parametrize(
    "request_", [REQUEST, POSTING, PAYMENT], ids=["rerunnable", "exclusive", "receipted"]
)
@pytest.mark.parametrize("late_ms", [1.0, 450.0], ids=["in time", "late"])
def test_work_that_was_never_sent_on_is_refused_by_half_a_second_after_its_time(
    node, client, stand, turn, lead, why, request_, late_ms
):
    (peer,) = stand("e1", backlog=0, ceilings=NO_PROBES, requestClasses=EFFECTS)
    why(node, peer)
    sock = client(request_.replace(b"Left: 5", b"Left: 0.9"))
    turn(lambda: node.requests.last_request_id)
    began, answer = node.loop.now(), b""
    while not answer:
        for _ in range(10):
            node.loop.at(node.loop.now(), lambda: None)
            node.loop.turn()
        with suppress(BlockingIOError):
            answer = sock.recv(1 << 16)
            break
        assert node.loop.now() - began < 900.0 + 500.0 + 50.0
        lead(late_ms if late_ms > 1.0 else 20.0)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert node.loop.now() - began < 900.0 + 500.0
    assert not node.counters.attempts


# Floods.


def test_clients_that_send_much_at_once_and_go_cost_others_nothing(node, client, stand, turn, settle):
    (executor,) = stand("e1", backlog=128, ceilings=NO_PROBES)
    settle()
    before = len(os.listdir("/proc/self/fd"))
    much = REQUEST * 200 + b"x" * 100000
    flood = [client(b"") for _ in range(60)]
    for i, sock in enumerate(flood):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
        with suppress(BlockingIOError):
            sock.sendall(much.replace(b"9b", b"f%d" % i) if i % 2 else b"\x00" * 100000)
    settle(3)  # some are being read, some not yet accepted
    for i, sock in enumerate(flood):
        (reset if i % 3 else socket.socket.close)(sock)
    good = client(REQUEST)
    turn(lambda: any(p.client_request.id == "9b" for p in node.requests.pending.values()))
    turn(lambda: len(node.downstream.open) == 1)
    assert len(node.requests.pending) == 1
    assert len(node.reducer.open_requests) == 1
    turn(lambda: b"9b" in executor.read())
    for sock in executor.held:
        with suppress(OSError):
            sock.sendall(ANSWER)
    turn(lambda: not node.requests.pending)
    assert good.recv(1 << 16).startswith(b"HTTP/1.1 200 ")
    good.close()
    turn(lambda: not node.downstream.open and not node.upstream.attempts.in_flight)
    node.upstream.pool.close()
    for sock in executor.held:
        sock.close()
    assert len(os.listdir("/proc/self/fd")) <= before
    assert not sum(node.downstream.reserved_bytes.values())


def test_a_burst_of_clients_that_leave_takes_all_its_work_along(node, client, stand, turn, settle):
    executors = stand("e1", "e2", "e3", ceilings=NO_PROBES)
    socks = [client(REQUEST.replace(b"9b", b"w%d" % i)) for i in range(120)]
    turn(lambda: node.requests.last_request_id == len(socks))
    settle()
    assert node.reducer.dispatcher.pending_queues
    assert node.upstream.attempts.in_flight
    for executor in executors:
        executor.read()
    for i, sock in enumerate(socks):
        (reset if i % 2 else socket.socket.close)(sock)
    turn(lambda: not node.requests.pending)
    attempts = node.counters.attempts
    settle(100)
    assert not node.reducer.open_requests
    assert not node.reducer.dispatcher.pending_queues
    assert not node.upstream.attempts.in_flight
    assert node.counters.attempts == attempts
    assert not any(b"POST" in e.read() for e in executors)


# Slow dials.


@pytest.mark.parametrize(
    "request_", [REQUEST, POSTING, PAYMENT], ids=["rerunnable", "exclusive", "receipted"]
)
def test_a_dial_that_does_not_come_up_holds_nothing_else_and_never_ran(
    node, client, stand, turn, settle, lead, reply, request_
):
    slow, good = stand("e1", "e2", backlog=0, ceilings=NO_PROBES, requestClasses=EFFECTS)
    release = full_queue(slow)
    tell(node, {"e1": slow.address})  # all go there first
    sock = client(request_)
    turn(lambda: node.upstream.attempts.in_flight)
    tell(node, {"e1": slow.address, "e2": good.address})
    node.reducer.dispatcher.at_capacity[node.reducer.servers.by_name["e1"]] = True  # the next goes elsewhere
    second = client(request_.replace(b"9b", b"9c").replace(b"-Key: k", b"-Key: l"))
    turn(lambda: b"abc" in good.read())  # and is served while the first waits
    good.held[0].sendall(ANSWER.replace(b'"e1"', b'"e2"').replace(b"9b", b"9c"))
    assert reply(second).startswith(b"HTTP/1.1 200 ")
    assert node.upstream.attempts.in_flight
    lead(node.config.deployment.connect_ms)
    turn(lambda: b"abc" in good.read())
    good.held[-1].sendall(ANSWER.replace(b'"e1"', b'"e2"'))
    assert reply(sock).startswith(b"HTTP/1.1 200 ")
    release()
    settle()
    assert b"POST" not in slow.read()
    assert node.counters.attempts == 2


# The list, on real sockets: a discovery of the test's, and time led.

READY_ROW = DISCOVERED | {"dial": "127.0.0.1:1", "health": "active"}


def listing(seq, *states, whole=True, indent=None, **changes):
    """Return a list, or a change, with servers e1, e2 and so on in these states."""
    rows = [READY_ROW | {"host": f"e{i + 1}", "health": state} | changes for i, state in enumerate(states)]
    return json.dumps({"seq": seq, "whole": whole, "hosts": rows}, indent=indent).encode()


def answer(body):
    return b"HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@pytest.fixture
def followed(node, peers):
    """Return a maker of nodes that ask a discovery of the test's, with what leads their clocks."""
    made = []

    def build(seed=1, **settings):
        roster = peers.setdefault("discovery", Peer())
        path, door = Path(node.config.path), "{}:{}".format(*roster.address)
        options = OPTIONS | {"ceilings": OPTIONS["ceilings"] | NO_PROBES} | settings
        held = json.loads(path.read_text()) | {"settings": options, "discovery": door, "seed": f"{seed:x}"}
        path.write_text(json.dumps(held))
        one = node_module.Node(node_module.configuration.load(node.config.path, {}))
        made.append(one)
        lead = led(one.loop)

        def turns(most=6, lead_ms=0.0):
            lead(lead_ms)
            for _ in range(most):
                one.loop.at(one.loop.now(), lambda: None)
                one.loop.turn()

        one.turns = turns
        turns()
        return one, roster

    yield build
    for one in made:
        one.busy = True
        one.loop.finish()


@pytest.mark.parametrize("indent", [0, 1, 8, "\t"])
@pytest.mark.parametrize("pieces", [1, 7], ids=["whole", "in pieces"])
def test_lists_may_come_indented(followed, indent, pieces):
    node, roster = followed()
    for body, state in (
        (listing(5, "active", "active", indent=indent), EndpointState.READY),
        (listing(6, "leaving", whole=False, indent=indent), EndpointState.DRAINING),
    ):
        assert b"GET /api/targets" in roster.read()
        roster.held[0].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        says = answer(body)
        size = -(-len(says) // pieces)
        for at in range(0, len(says), size):
            roster.held[0].sendall(says[at : at + size])
            node.turns(3)
        node.turns(20)
        assert state_of(node, "e1") is state
        assert state_of(node, "e2") is EndpointState.READY
        node.turns(lead_ms=node.discovery.min_watch_gap_ms)
    assert len(roster.held) == 1  # one watch


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize(
    "body",
    [b"", HUGE, DEEP, b'{"seq":5,"whole":true,"hosts":[', b"\xff\xfe\x00"],
    ids=["nothing", "a number", "nested", "cut", "no text"],
)
def test_an_answer_of_discovery_that_is_spoilt_is_asked_for_again(followed, capsys, mode, body):
    node, roster = followed(registryMode=mode, guarantees={"stopSendingWithinUs": 400000})
    roster.read()
    roster.held[0].sendall(answer(body))
    began = node.loop.now()
    while len(roster.held) == 1:
        assert node.loop.now() - began < 400.0
        node.turns(lead_ms=10.0)
        roster.accept()
    roster.read()
    roster.held[1].sendall(answer(listing(5, "leaving")))
    node.turns()
    assert state_of(node, "e1") is EndpointState.DRAINING
    assert "Traceback" not in capsys.readouterr().err


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize("in_watch", [False, True], ids=["in the list", "in the watch"])
def test_nothing_goes_to_one_whose_drain_a_silent_watch_missed(followed, peers, client, mode, in_watch):
    # The page's clock for silence ends in a list on a new call, which comes late by itself, and its grace.
    executor = peers["e1"] = Peer()
    dial = "{}:{}".format(*executor.address)
    node, roster = followed(
        registryMode=mode, guarantees={"stopSendingWithinUs": 400000, "mustAskInUs": 60000000}
    )
    node.reducer.dispatcher.random = lambda: 1.0 - 1e-9  # the longest rests
    tell(node, {"e1": executor.address})
    roster.read()
    if in_watch:
        roster.held[0].sendall(answer(listing(5, "active", dial=dial)))
        node.turns()
        node.turns(lead_ms=node.discovery.min_watch_gap_ms)
        assert b"since=5" in roster.read()
    silent, told_ms = node.loop.now(), max(6000.0, node.discovery.wait_ms + 2000.0 if in_watch else 0.0)
    while len(roster.held) == 1:
        node.turns(lead_ms=20.0)
        roster.accept()
    node.turns()
    assert roster.read().startswith(b"GET /api/targets?since=%d&timeout_ms=10 HTTP" % node.discovery.version)
    node.turns(lead_ms=100.0)  # lists come late
    roster.held[1].sendall(answer(listing(6, "leaving", dial=dial)))
    node.turns()
    assert node.loop.now() - silent < told_ms
    client(REQUEST, node.downstream)
    node.turns(20)
    assert node.requests.last_request_id
    assert not executor.accept()
    tell(node, {"e1": executor.address})  # and goes there once it is ready again
    node.turns(20)
    assert executor.accept()


@pytest.mark.parametrize(
    ("mode", "most"), [("subscribe", 30), ("automatic", 30)], ids=["asked", "pushed, grace 20 s"]
)
@pytest.mark.parametrize(
    "says",
    [None, b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n", b""],
    ids=["resets", "declines", "closes"],
)
def test_one_node_adds_little_to_a_herd_at_discovery(followed, mode, most, says):
    # Twenty seconds in which each call fails at once, at the soonest rests that chance can give.
    node, roster = followed(registryMode=mode, guarantees={"stopSendingWithinUs": 20000000})
    node.reducer.dispatcher.random = lambda: 0.0
    calls = 1
    for _ in range(2000):
        roster.accept()
        while roster.held:
            sock = roster.held.pop()
            if says:
                sock.sendall(says)
                sock.close()
            else:
                (reset if says is None else socket.socket.close)(sock)
            calls += 1
        node.turns(2, lead_ms=10.0)
    assert 10 < calls < most


def test_nodes_whose_watches_end_together_do_not_ask_together(followed):
    made = [followed(seed) for seed in range(1, 25)]
    roster = made[0][1]
    roster.read()
    for sock in roster.held:
        sock.sendall(answer(listing(5, "active")))
    for node, _ in made:
        node.turns()
        node.turns(lead_ms=node.discovery.min_watch_gap_ms)
    roster.read()
    for sock in roster.held:
        reset(sock)
    roster.held.clear()
    for node, _ in made:
        node.turns(2)
    due = sorted(node.reducer.dispatcher.next_poll_ms - node.loop.now() for node, _ in made)
    rest = made[0][0].reducer.dispatcher.poll_backoff_ms
    most = max(sum(at <= other < at + 0.1 * rest for other in due) for at in due)
    assert most <= len(due) // 3  # of 24 in a tenth of the span; evenly it would be 3


# Clients that come again at once, servers that hang.


@pytest.mark.parametrize("cancel", [True, False], ids=["cancelled", "runs on"])
def test_a_client_that_comes_again_at_once_finds_the_pods_of_its_first_try(
    node, client, stand, turn, settle, lead, cancel
):
    ceilings = NO_PROBES | {"cancel": cancel}
    first, other = stand("e1", "e2", ceilings=ceilings, requestClasses=EFFECTS)
    entries = [
        EndpointEntry(name, EndpointState.READY, 0, 0, cell, None) for cell, name in enumerate(("e1", "e2"))
    ]
    node.post(core.EndpointListUpdate(ListUpdateKind.FULL, entries[:1]))
    sock = client(PAYMENT)
    turn(lambda: b"abc" in first.read())  # it may run from here on
    for i in range(2):
        sock.close()
        turn(lambda: not node.requests.pending)
        node.post(core.EndpointListUpdate(ListUpdateKind.FULL, entries))  # the other cell is free
        lead(100.0)
        sock = client(PAYMENT.replace(b"9b", b"a%d" % i).replace(b"Key: k", b"Key: k\r\nX-Repeat: 1"))
        got = b""
        for _ in range(30):  # within the memory of 1 s, past the next look at what stands in line
            lead(10.0)
            settle(3)
            got += first.read()
        assert b"abc" in got
        assert b"abc" not in other.read()


@pytest.mark.parametrize(
    ("request_", "copied"),
    [(REQUEST, True), (POSTING, False), (PAYMENT, True)],
    ids=["rerunnable", "exclusive", "receipted"],
)
def test_where_copies_are_allowed_unsafe_work_still_has_one_out(
    node, client, stand, turn, settle, lead, request_, copied
):
    types = [row | {"aimUs": 1000000} for row in EFFECTS]  # so that no patience ends
    first, other = stand("e1", "e2", ceilings=NO_PROBES | {"secondCopies": True}, requestClasses=types)
    node.post(
        core.EndpointListUpdate(
            ListUpdateKind.FULL, [EndpointEntry("e1", EndpointState.READY, 0, 0, 0, None)]
        )
    )
    client(request_)
    turn(lambda: b"abc" in first.read())
    tell(node, {"e1": first.address, "e2": other.address})
    node.post(core.ProbeEnded("e1", Outcome.TIMED_OUT, 0.0, None))  # it seems lost, with what it has
    for _ in range(8):  # past the next look at what stands in line
        lead(100.0)
        settle(5)
    out = [flight for flight in node.upstream.attempts.in_flight.values() if flight.has_begun]
    assert len(out) == 1 + copied
    assert not ended(first.held[0])
    assert (b"abc" in other.read()) is copied


@pytest.mark.parametrize("late_ms", [20.0, 450.0], ids=["in time", "late"])
@pytest.mark.parametrize(
    ("request_", "status"),
    [(REQUEST, b"503"), (POSTING, b"500"), (PAYMENT, b"500")],
    ids=["rerunnable", "exclusive", "receipted"],
)
def test_work_that_hangs_at_its_server_is_answered_by_half_a_second_after_its_time(
    node, client, stand, turn, lead, request_, status, late_ms
):
    (executor,) = stand("e1", ceilings=NO_PROBES, requestClasses=EFFECTS)
    sock = client(request_.replace(b"Left: 5", b"Left: 0.9"))
    turn(lambda: b"abc" in executor.read())
    began, answer = node.loop.now(), b""
    while not answer:
        assert node.loop.now() - began < 900.0 + 500.0
        for _ in range(10):
            node.loop.at(node.loop.now(), lambda: None)
            node.loop.turn()
        with suppress(BlockingIOError):
            answer = sock.recv(1 << 16)
            break
        lead(late_ms)
    assert answer[9:12] == status


# What no order of the node's can save, shown.


def test_what_comes_in_the_listeners_last_moment_is_reset_not_left_silent(node, stand, settle, monkeypatch):
    (executor,) = stand("e1", ceilings=NO_PROBES)
    address, close, crossed = node.downstream.sock.getsockname(), node.loop.close, []

    def closes(sock):
        if sock is node.downstream.sock:  # after the last look at its queue
            crossed.append(socket.create_connection(address))
            crossed[0].sendall(REQUEST)
        close(sock)

    monkeypatch.setattr(node.loop, "close", closes)
    node.downstream.stop_listening()
    with pytest.raises(ConnectionResetError):
        crossed[0].recv(1)  # its client knows at once; no bytes were read, nothing was sent on
    settle()
    assert not node.requests.last_request_id
    assert not executor.accept()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)
    crossed[0].close()


def test_a_client_that_does_not_read_its_answer_is_let_go_and_its_work_is_not_repeated(
    node, client, stand, turn, settle, lead, small
):
    (executor,) = stand("e1", ceilings=NO_PROBES)
    node.downstream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # as what it accepts has
    small()
    sock = client(REQUEST)
    turn(lambda: b"abc" in executor.read())
    (door,) = node.downstream.open
    node.requests.answer("1", 200, [], b"r" * 3000000)
    settle()
    assert node.downstream.open
    lead(WRITE_TIMEOUT_MS + 1.0)
    turn(lambda: not node.downstream.open)
    assert door.closed
    assert node.requests.last_request_id == 1
    assert b"abc" not in executor.read()
    sock.close()


# SIGHUP moves discovery.


def watching(node, roster):
    roster.held[0].sendall(answer(listing(5, "active")))
    node.turns()
    node.turns(lead_ms=node.discovery.min_watch_gap_ms)
    assert b"since=5" in roster.read()


def resting(node, roster):
    """Fail calls until the rest between them is longest, and stop in the middle of one."""
    for _ in range(8):
        while roster.held:
            reset(roster.held.pop())
        while not roster.accept():
            node.turns(2, lead_ms=10.0)
    reset(roster.held.pop())
    node.turns()
    assert node.discovery.task is None
    assert node.reducer.dispatcher.poll_backoff_ms == node.reducer.dispatcher.settings.max_poll_interval_ms


def calling(node, roster):
    assert node.discovery.task is not None  # and nobody answers


@pytest.mark.parametrize("when", [watching, resting, calling])
@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize("grace_us", [400000, 20000000])
def test_a_drain_is_told_within_four_seconds_of_a_sighup_that_moves_discovery(
    followed, peers, when, mode, grace_us
):
    node, roster = followed(registryMode=mode, guarantees={"stopSendingWithinUs": grace_us})
    node.reducer.dispatcher.random = lambda: 1.0 - 1e-9  # the longest rests
    roster.read()
    when(node, roster)
    moved = peers["moved"] = Peer()
    path = Path(node.config.path)
    held = json.loads(path.read_text()) | {"discovery": "{}:{}".format(*moved.address)}
    path.write_text(json.dumps(held))
    node.reload()
    began = node.loop.now()
    while not moved.accept():
        assert node.loop.now() - began < 4000.0
        node.turns(2, lead_ms=10.0)
    node.turns()
    assert moved.read().startswith(b"GET /api/targets HTTP")
    node.turns(lead_ms=100.0)  # lists come late
    moved.held[0].sendall(answer(listing(1, "leaving")))  # another discovery's versions
    node.turns()
    assert state_of(node, "e1") is EndpointState.DRAINING
    assert node.loop.now() - began < 4000.0
    assert not any(not ended(sock) for sock in roster.held)
