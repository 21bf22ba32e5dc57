"""Opening, waiting on and closing a single connection."""

import errno
import socket
from math import inf

import h11
import pytest
from http_samples import logged_codes

from marlseam.net.connection import connect
from marlseam.net.errors import ConnectionEndedError
from marlseam.net.log import Log, Reason
from marlseam.net.loop import END, LATE, READ, Cancelled


def test_a_refused_ipv6_socket_fails_its_own_connection_and_is_logged(loop, refuse_sockets, capsys):
    refuse_sockets(socket.AF_INET6, errno.EAFNOSUPPORT)
    reasons = []

    def call():
        try:
            yield from connect(loop, Log("test", loop.now), ("::1", 9), "server e6", loop.now() + 1000.0)
        except ConnectionEndedError as ended:
            reasons.append(ended.reason)

    loop.spawn(call())
    assert reasons == [Reason.NO_SOCKETS]
    assert "code=no-sockets" in capsys.readouterr().err


def test_a_refused_connection_raises_refused_and_is_logged(loop, until, capsys):
    reasons = []

    def call():
        try:
            yield from connect(loop, Log("n", loop.now), ("127.0.0.1", 1), "x", loop.now() + 1000.0)
        except ConnectionEndedError as ended:
            reasons.append(ended.reason)

    loop.spawn(call())
    until(lambda: reasons)
    assert reasons == [Reason.REFUSED]
    assert logged_codes(capsys) == ["refused"]


def test_a_connection_that_is_not_established_in_time_raises_no_connect_and_is_logged(loop, capsys):
    server = socket.create_server(("127.0.0.1", 0))
    call = connect(loop, Log("n", loop.now), server.getsockname(), "x", inf)
    next(call)
    with pytest.raises(ConnectionEndedError) as raised:
        call.send(LATE)
    server.close()
    assert raised.value.reason is Reason.NO_CONNECT
    assert logged_codes(capsys) == ["no-connect"]


def test_a_cancelled_connect_closes_its_socket(loop, capsys):
    blocked = socket.create_server(("127.0.0.1", 0), backlog=0)
    call = connect(loop, Log("n", loop.now), blocked.getsockname(), "x", inf)
    assert next(call)[1] != READ
    with pytest.raises(Cancelled):
        call.throw(Cancelled())
    blocked.close()
    assert logged_codes(capsys) == ["withdrawn"]


def test_a_wait_for_the_end_stops_reading_past_the_limit_of_buffered_bytes(make_connection):
    connection = make_connection(h11.SERVER)
    assert connection.wait_for_end()[1] == READ | END
    connection.buffer.reserve(1 << 17)
    connection.buffer.commit(1 << 17)
    assert connection.wait_for_end()[1] == END  # waits only for the peer's end


def test_a_connection_logs_one_line_for_its_end(make_connection, capsys):
    connection = make_connection(h11.CLIENT)
    connection.close(Reason.IDLE)
    connection.close(Reason.DONE)
    assert logged_codes(capsys) == ["idle"]
