"""Transient failures of system calls, as Linux documents them, lose no accepted request."""

import errno
import os
import select
import signal
import socket
from collections.abc import Callable
from math import inf

import h11
import pytest
from loopback_servers import REAL_TIME_LIMIT_MS, SAFE_REQUEST, run_until

from marlseam.net import connection as connection_module
from marlseam.net import http as http_module
from marlseam.net.log import Log
from marlseam.net.loop import Loop

FAILURES_IN_A_ROW = 3  # failures before a call succeeds


class FailingCalls:
    """Forwards calls to an object, but fails the first calls of one method.

    Attributes:
        real: the object
        name: the method whose calls fail
        error_number: errno of the OSError that they raise
        failures_left: how many more calls fail
    """

    def __init__(self, real: object, name: str, error_number: int, times: int = FAILURES_IN_A_ROW) -> None:
        self.real, self.name, self.error_number, self.failures_left = real, name, error_number, times

    def __getattr__(self, name: str) -> object:
        found = getattr(self.real, name)
        if name != self.name:
            return found

        def call(*arguments: object) -> object:
            if self.failures_left > 0:
                self.failures_left -= 1
                raise OSError(self.error_number, os.strerror(self.error_number))
            return found(*arguments)

        return call


@pytest.mark.parametrize("error_number", [errno.ENOMEM, errno.EINTR])
def test_connections_are_accepted_after_poll_has_failed(
    node, client, reply, start_server, monkeypatch, error_number
):
    start_server()
    real = select.poll
    failing = FailingCalls(None, "poll", error_number)

    def make() -> FailingCalls:
        failing.real = real()
        return failing

    monkeypatch.setattr(http_module.select, "poll", make)
    node.downstream.listener.close()
    node.downstream.sock = socket.create_server(("127.0.0.1", 0))
    node.downstream.sock.setblocking(False)
    node.downstream.listen()
    assert reply(client(SAFE_REQUEST)).startswith(b"HTTP/1.1 200")
    assert failing.failures_left == 0


@pytest.mark.parametrize("error_number", [errno.ENOMEM, errno.ENOSPC])
@pytest.mark.parametrize("name", ["register", "modify"])
def test_the_loop_goes_on_after_epoll_ctl_has_failed(node, client, reply, start_server, name, error_number):
    start_server()
    node.loop.poll = failing = FailingCalls(node.loop.poll, name, error_number)
    node.loop.pollers = dict.fromkeys(node.loop.pollers, failing)
    for _ in range(3):
        assert reply(client(SAFE_REQUEST)).startswith(b"HTTP/1.1 200")
    assert failing.failures_left == 0


def test_a_signal_is_handled_after_its_wakeup_socket_could_not_be_read(node, monkeypatch):
    signals_seen, real = [], socket.socketpair

    class FailingWakeupSocket(socket.socket):
        """A socket whose first reads fail."""

        failures_left = FAILURES_IN_A_ROW

        def recv(self, *arguments: int) -> bytes:
            if FailingWakeupSocket.failures_left > 0:
                FailingWakeupSocket.failures_left -= 1
                raise OSError(errno.ENOMEM, "no memory")
            return super().recv(*arguments)

    def make() -> tuple[socket.socket, socket.socket]:
        ours, wakeup_socket = real()
        return FailingWakeupSocket(fileno=ours.detach()), wakeup_socket

    monkeypatch.setattr(socket, "socketpair", make)
    before = signal.getsignal(signal.SIGUSR1)
    try:
        node.loop.on_signals({signal.SIGUSR1: lambda: signals_seen.append(1)})
        os.kill(os.getpid(), signal.SIGUSR1)
        run_until(node, lambda: signals_seen, REAL_TIME_LIMIT_MS)
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, before)
    assert FailingWakeupSocket.failures_left == 0


class FailingSocket:
    """A socket whose first calls of one method fail."""

    def __init__(self, sock: socket.socket, name: str, error_number: int) -> None:
        self.failing = FailingCalls(sock, name, error_number)

    def __getattr__(self, name: str) -> object:
        return getattr(self.failing, name)


@pytest.fixture
def fail_connection_calls(monkeypatch: pytest.MonkeyPatch) -> Callable[[str, int], list[FailingSocket]]:
    """Return a function that makes the first calls of one method fail on each new connection."""

    def begin(name: str, error_number: int) -> list[FailingSocket]:
        made: list[FailingSocket] = []
        real = connection_module.Connection.__init__

        def init(
            self: connection_module.Connection, loop: Loop, log: Log, sock: socket.socket, *rest: object
        ) -> None:
            made.append(FailingSocket(sock, name, error_number))
            real(self, loop, log, made[-1], *rest)

        monkeypatch.setattr(connection_module.Connection, "__init__", init)
        return made

    return begin


@pytest.mark.parametrize("error_number", [errno.ENOMEM, errno.ENOBUFS, errno.EINTR])
@pytest.mark.parametrize("name", ["recv_into", "send"])
def test_a_request_is_answered_and_sent_once_though_reads_and_writes_fail_transiently(
    client, reply, start_server, fail_connection_calls, name, error_number
):
    methods_received = start_server()
    failing_sockets = fail_connection_calls(name, error_number)
    assert reply(client(SAFE_REQUEST)).startswith(b"HTTP/1.1 200")
    assert methods_received.count(b"POST") == 1
    assert failing_sockets
    assert failing_sockets[0].failing.failures_left == 0


@pytest.mark.parametrize("error_number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_an_error_that_is_not_transient_ends_the_connection(make_connection, error_number):
    broken = make_connection(h11.SERVER)
    broken.sock = FailingSocket(broken.sock, "recv_into", error_number)
    with pytest.raises(connection_module.ConnectionEndedError):
        broken.fill()


@pytest.mark.parametrize(
    "error_number", [errno.ENFILE, errno.EMFILE, errno.ENOMEM, errno.ENOBUFS, errno.ECONNABORTED]
)
def test_a_request_in_the_accept_queue_is_answered_though_accept_fails_as_the_listener_closes(
    node, client, reply, start_server, error_number
):
    start_server()
    listener = node.downstream.listener
    listener.task.cancel()  # nothing is accepted any more, as during a shortage of descriptors
    sock = client(SAFE_REQUEST)
    listener.sock = FailingSocket(listener.sock, "accept", error_number)
    node.downstream.stop_listening()
    assert reply(sock).startswith(b"HTTP/1.1 200")


def test_a_node_does_not_stop_before_its_accept_queue_is_served(node, client, reply, start_server):
    start_server()
    listener = node.downstream.listener
    listener.task.cancel()
    sock = client(SAFE_REQUEST)
    listener.sock = FailingSocket(listener.sock, "accept", errno.ENFILE)
    listener.sock.failing.failures_left = 20
    node.shutdown.begin()
    assert reply(sock).startswith(b"HTTP/1.1 200")
    run_until(node, lambda: node.loop.stopped, REAL_TIME_LIMIT_MS)


def test_connections_are_refused_once_the_accept_queue_is_empty(node):
    address = node.downstream.listener.sock.getsockname()
    node.downstream.stop_listening()
    run_until(node, lambda: node.downstream.sock.fileno() < 0, REAL_TIME_LIMIT_MS)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)


def full_pipe() -> tuple[int, int]:
    """Return both ends of a full pipe."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    while True:
        try:
            os.write(writer, b"x" * 4096)
        except BlockingIOError:
            break
    os.set_blocking(writer, True)
    return reader, writer


def test_a_log_line_that_nobody_reads_is_dropped_and_counted(monkeypatch):
    reader, writer = full_pipe()
    log = Log("n1", lambda: 0.0)
    signal.setitimer(signal.ITIMER_REAL, 5.0)  # ends the test run if the log blocks
    with os.fdopen(writer, "w") as text, monkeypatch.context() as patch:
        patch.setattr("sys.stderr", text)
        log.line("pipe is full")
        assert log.dropped == 1
        os.read(reader, 65536)
        log.line("pipe is read")
        written = os.read(reader, 65536).decode()
    signal.setitimer(signal.ITIMER_REAL, 0.0)
    os.close(reader)
    assert "1 lines dropped" in written
    assert "pipe is read" in written


def test_a_long_log_line_is_cut_to_the_size_of_an_atomic_pipe_write(capfd):
    Log("n1", lambda: 0.0).line("x" * 100000)
    assert 1000 < len(capfd.readouterr().err) <= select.PIPE_BUF


def test_a_wait_without_a_descriptor_continues_after_poll_has_failed(loop):
    def wait_forever():
        yield (-1, 0, inf)

    task = loop.spawn(wait_forever())
    loop.poll = FailingCalls(loop.poll, "poll", errno.EINTR)
    loop.call_at(loop.now(), lambda: None)
    loop.turn()
    assert not task.done


def test_a_loop_starts_though_its_first_registration_fails_transiently(monkeypatch):
    # Guards against a node that does not start.
    real = select.epoll
    monkeypatch.setattr(select, "epoll", lambda: FailingCalls(real(), "register", errno.ENOSPC))
    made = Loop(lambda _text: None)
    assert made.poll.failures_left == 0
