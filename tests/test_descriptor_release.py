"""Which connections are closed in a shortage of descriptors, and the spare descriptors (docs/node.md)."""

import errno
import os
import select
import socket

import pytest
from http_samples import REQUEST
from limited_node import REAL_TIME_LIMIT_S
from loopback_servers import run_loop

from marlseam.net import http
from marlseam.net.connection import connect
from marlseam.net.descriptors import SPARE_COUNT, Descriptors
from marlseam.net.downstream import NEW_GRACE_MS, AdmissionLimits
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.log import MAX_BURST_LINES, Log, Reason

# Order of closing: clients that sent nothing for a while, then idle clients, then new ones.


@pytest.fixture
def idle_clients(node, client, reply):
    """Connect six clients that are idle after an answer; eight clients may connect."""

    def answer_at_once(pending):
        pending.respond(200, [], b"r")  # without a server, which could be late on a busy machine
        return "1"

    node.downstream.take_request = answer_at_once
    for _ in range(6):
        assert reply(client(REQUEST)).startswith(b"HTTP/1.1 200 ")
    node.downstream.limits = AdmissionLimits(8, 1e9)


def connect_silently(node, client):
    """Connect a client that sends nothing; return its socket and the node's side of the connection."""
    before = {*node.downstream.open}
    sock, end_ms = client(b""), node.loop.now() + 1000.0 * REAL_TIME_LIMIT_S
    while not (made := {*node.downstream.open} - before):
        assert node.loop.now() < end_ms, "the connection was not accepted in time"
        node.loop.turn()
    return sock, made.pop()


@pytest.mark.usefixtures("idle_clients")
def test_clients_that_send_nothing_for_a_while_are_closed_first(node, client):
    kept = {*node.downstream.open}
    (_, old), (_, new) = connect_silently(node, client), connect_silently(node, client)
    old.opened_ms -= NEW_GRACE_MS
    connect_silently(node, client)
    assert old.closed
    assert not new.closed
    assert not any(connection.closed for connection in kept)


@pytest.mark.usefixtures("idle_clients")
def test_idle_clients_are_closed_before_a_few_new_ones(node, client, reply):
    kept = [*node.downstream.idle]
    (sock, first), (_, second) = connect_silently(node, client), connect_silently(node, client)
    connect_silently(node, client)
    assert not first.closed
    assert not second.closed
    assert [connection.closed for connection in kept] == [True] + 5 * [False]
    sock.sendall(REQUEST)
    assert reply(sock).startswith(b"HTTP/1.1 200 ")


@pytest.mark.usefixtures("idle_clients")
def test_a_flood_of_new_clients_closes_no_more_than_its_share_of_idle_ones(node, client):
    kept = [*node.downstream.idle]
    for _ in range(30):
        connect_silently(node, client)
    assert sum(connection.closed for connection in kept) == 1  # three new clients exceed a quarter of eight


# `Descriptors`, `connect`, the listener and the log in a shortage.


def test_descriptors_are_released_until_opening_succeeds():
    errors, released = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS], []
    descriptors = Descriptors()
    descriptors.releasers = [lambda: released.append(1) or True]

    def open_descriptor():
        if errors:
            raise OSError(errors.pop(), "none")
        return "open"

    assert descriptors.open_with_release(open_descriptor) == "open"
    assert len(released) == 3


def test_an_error_other_than_a_shortage_releases_no_descriptor():
    released = []
    descriptors = Descriptors()
    descriptors.releasers = [lambda: released.append(1) or True]

    def open_descriptor():
        raise OSError(errno.EACCES, "no")

    with pytest.raises(OSError, match="no"):
        descriptors.open_with_release(open_descriptor)
    assert not released


def test_releasing_stops_where_opening_keeps_failing():
    released = []
    descriptors = Descriptors()
    descriptors.releasers = [lambda: released.append(1) or True]

    def open_descriptor():
        raise OSError(errno.ENFILE, "none")

    with pytest.raises(OSError, match="none"):
        descriptors.open_with_release(open_descriptor)
    assert len(released) < 20  # releasing does not help if the whole system is short


def test_spares_are_used_only_for_the_nodes_own_needs_and_are_refilled(monkeypatch):
    descriptors = Descriptors()
    descriptors.hold_spares()
    assert len(descriptors.spares) == SPARE_COUNT
    assert not descriptors.release_one()
    assert descriptors.release_one(use_spares=True)
    assert len(descriptors.spares) == SPARE_COUNT - 1
    with monkeypatch.context() as patch:
        patch.setattr(os, "dup", lambda _descriptor: (_ for _ in ()).throw(OSError(errno.EMFILE, "none")))
        assert not descriptors.hold_all_spares()
    assert descriptors.hold_all_spares()
    assert len(descriptors.spares) == SPARE_COUNT
    descriptors.drop_spares()


def test_spares_are_refilled_before_more_clients_are_accepted(node, client, monkeypatch):
    node.loop.descriptors.hold_spares()
    node.loop.descriptors.release_one(use_spares=True)
    accepted = node.downstream.open
    with monkeypatch.context() as patch:
        patch.setattr(os, "dup", lambda _descriptor: (_ for _ in ()).throw(OSError(errno.EMFILE, "none")))
        client(b"")
        run_loop(node, 5)
        assert not accepted
    assert node.downstream.has_capacity(False)
    assert len(node.loop.descriptors.spares) == SPARE_COUNT
    node.loop.descriptors.drop_spares()


def test_connecting_without_a_descriptor_ends_with_no_sockets_and_is_logged(loop, refuse_sockets, capsys):
    refuse_sockets(socket.AF_INET, errno.EMFILE)
    caught = []

    def call():
        try:
            yield from connect(loop, Log("n", loop.now), ("127.0.0.1", 9), "server e1", loop.now() + 1000.0)
        except ConnectionEndedError as ended:
            caught.append(ended.reason)

    loop.spawn(call())
    assert caught == [Reason.NO_SOCKETS]
    assert "code=no-sockets" in capsys.readouterr().err


def test_accepting_continues_at_once_where_an_idle_client_can_be_closed(node, client):
    # Guards against accepting one client per 20 ms: 40 clients with requests would wait for up to 0.8 s.
    for _ in range(4):
        client(b"")
    while len(node.downstream.open) < 4:
        node.loop.turn()
    real, max_clients, accepted = node.downstream.listener.sock, 4, []

    class LimitedListener:
        """The listening socket of a process with descriptors for four clients."""

        def __getattr__(self, name):
            return getattr(real, name)

        def accept(self):
            if len(node.downstream.open) >= max_clients and select.select([real], [], [], 0)[0]:
                raise OSError(errno.EMFILE, "none")
            accepted.append(real.accept())
            return accepted[-1]

    node.downstream.listener.sock = LimitedListener()
    before = {*node.downstream.open}
    for _ in range(http.MAX_ACCEPTS_PER_TURN):
        client(b"")
    node.loop.turn()
    assert len(accepted) >= http.MAX_ACCEPTS_PER_TURN - 1
    assert not before & {*node.downstream.open}
    node.downstream.listener.sock = real


def test_lines_of_ended_connections_leave_capacity_in_the_log_for_other_lines(capsys):
    log = Log("n", lambda: 0.0)
    for _ in range(1000):
        log.connection_ended("client", Reason.CROWDED, 0)
    log.line("new configuration")
    lines = capsys.readouterr().err.splitlines()
    assert lines[-1] == "marlseam n: new configuration"
    assert len(lines) < MAX_BURST_LINES
