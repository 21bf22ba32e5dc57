"""Which connections are closed where a descriptor is needed, and the spare descriptors (docs/node.md)."""

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

# Closed are first clients that sent nothing for a while, then idle ones, and new ones last.


@pytest.fixture
def idle_clients(node, client, reply):
    """Have six clients that are idle after an answer, where eight may connect."""

    def answer_at_once(pending):
        pending.respond(200, [], b"r")  # at once: a server of the test's could be late on busy cores
        return "1"

    node.downstream.take_request = answer_at_once
    for _ in range(6):
        assert reply(client(REQUEST)).startswith(b"HTTP/1.1 200 ")
    node.downstream.limits = AdmissionLimits(8, 1e9)


def connect_silently(node, client):
    """Return a client that has connected and sent nothing, and the node's side of its connection."""
    before = {*node.downstream.open}
    sock, end_ms = client(b""), node.loop.now() + 1000.0 * REAL_TIME_LIMIT_S
    while not (made := {*node.downstream.open} - before):
        assert node.loop.now() < end_ms, "it was not taken"
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
def test_a_flood_of_new_clients_takes_no_more_than_its_share_from_idle_ones(node, client):
    kept = [*node.downstream.idle]
    for _ in range(30):
        connect_silently(node, client)
    assert sum(connection.closed for connection in kept) == 1  # three new ones are over a quarter of eight


# `Descriptors`, `connect`, the listener and the log.


def test_descriptors_are_released_as_often_as_opening_takes():
    errors, released = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS], []
    descriptors = Descriptors()
    descriptors.releasers = [lambda: released.append(1) or True]

    def open_descriptor():
        if errors:
            raise OSError(errors.pop(), "none")
        return "open"

    assert descriptors.opened(open_descriptor) == "open"
    assert len(released) == 3


def test_a_failure_for_another_reason_releases_no_descriptor():
    released = []
    descriptors = Descriptors()
    descriptors.releasers = [lambda: released.append(1) or True]

    def open_descriptor():
        raise OSError(errno.EACCES, "no")

    with pytest.raises(OSError, match="no"):
        descriptors.opened(open_descriptor)
    assert not released


def test_releasing_that_does_not_help_ends():
    released = []
    descriptors = Descriptors()
    descriptors.releasers = [lambda: released.append(1) or True]

    def open_descriptor():
        raise OSError(errno.ENFILE, "none")

    with pytest.raises(OSError, match="none"):
        descriptors.opened(open_descriptor)
    assert len(released) < 20  # the whole system is short: releasing descriptors of the node does not help


def test_spares_are_for_the_nodes_own_needs_and_come_back(monkeypatch):
    descriptors = Descriptors()
    descriptors.hold_spares()
    assert len(descriptors.spares) == SPARE_COUNT
    assert not descriptors.release_one()
    assert descriptors.release_one(own=True)
    assert len(descriptors.spares) == SPARE_COUNT - 1
    with monkeypatch.context() as patch:
        patch.setattr(os, "dup", lambda _descriptor: (_ for _ in ()).throw(OSError(errno.EMFILE, "none")))
        assert not descriptors.hold_all_spares()
    assert descriptors.hold_all_spares()
    assert len(descriptors.spares) == SPARE_COUNT
    descriptors.drop_spares()


def test_spares_are_held_again_before_more_clients_are_taken(node, client, monkeypatch):
    node.loop.descriptors.hold_spares()
    node.loop.descriptors.release_one(own=True)
    accepted = node.downstream.open
    with monkeypatch.context() as patch:
        patch.setattr(os, "dup", lambda _descriptor: (_ for _ in ()).throw(OSError(errno.EMFILE, "none")))
        client(b"")
        run_loop(node, 5)
        assert not accepted
    assert node.downstream.has_capacity(False)
    assert len(node.loop.descriptors.spares) == SPARE_COUNT
    node.loop.descriptors.drop_spares()


def test_a_call_without_a_descriptor_reports_its_reason(loop, refuse_sockets, capsys):
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


def test_accepting_goes_on_at_once_where_an_idle_client_can_be_closed(node, client):
    # Guards against one in 20 ms: forty clients with requests would wait for most of a second.
    for _ in range(4):
        client(b"")
    while len(node.downstream.open) < 4:
        node.loop.turn()
    real, max_clients, accepted = node.downstream.listener.sock, 4, []

    class LimitedListener:
        """The listening socket of a process that can have four connections of clients."""

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


def test_the_ends_of_connections_leave_capacity_in_the_log_for_other_lines(capsys):
    log = Log("n", lambda: 0.0)
    for _ in range(1000):
        log.connection_ended("client", Reason.CROWDED, 0)
    log.line("new configuration")
    lines = capsys.readouterr().err.splitlines()
    assert lines[-1] == "marlseam n: new configuration"
    assert len(lines) < MAX_BURST_LINES
