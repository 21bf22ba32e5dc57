"""System calls fail for a moment in the ways that Linux documents; nothing that was taken is lost by it."""

import errno
import os
import select
import signal
import socket
import time
from collections.abc import Callable

import pytest
from test_endings import REQUEST

from marlseam.net import http as http_module

MOMENT = 3  # calls that fail in a row


class Failing:
    """Passes calls on, but for some of one name, which fail for a moment."""

    def __init__(self, real: object, name: str, number: int, times: int = MOMENT) -> None:
        self.real, self.name, self.number, self.left = real, name, number, times

    def __getattr__(self, name: str) -> object:
        found = getattr(self.real, name)
        if name != self.name:
            return found

        def call(*words: object) -> object:
            if self.left > 0:
                self.left -= 1
                raise OSError(self.number, os.strerror(self.number))
            return found(*words)

        return call


def turn(node, holds: Callable[[], object]) -> None:
    end = time.monotonic() + 10.0
    while not holds():
        assert time.monotonic() < end, "it did not come"
        node.loop.at(node.loop.now() + 1.0, lambda: None)
        node.loop.turn()


@pytest.mark.parametrize("number", [errno.ENOMEM])
def test_connections_are_accepted_after_poll_has_failed(node, client, reply, executor, monkeypatch, number):
    executor()
    real = select.poll
    failing = Failing(None, "poll", number)

    def made() -> Failing:
        failing.real = real()
        return failing

    monkeypatch.setattr(http_module.select, "poll", made)
    node.server.listener.close()
    node.server.sock = socket.create_server(("127.0.0.1", 0))
    node.server.sock.setblocking(False)
    node.server.listen()
    assert reply(client(REQUEST)).startswith(b"HTTP/1.1 200")
    assert failing.left == 0


@pytest.mark.parametrize("number", [errno.ENOMEM])
@pytest.mark.parametrize("name", ["register"])
def test_the_loop_goes_on_after_epoll_ctl_has_failed(node, client, reply, executor, name, number):
    executor()
    node.loop.poll = failing = Failing(node.loop.poll, name, number)
    node.loop.known = dict.fromkeys(node.loop.known, failing)
    for _ in range(3):
        assert reply(client(REQUEST)).startswith(b"HTTP/1.1 200")
    assert failing.left == 0


def test_a_signal_is_heard_after_its_bell_could_not_be_read(node, monkeypatch):
    heard, real = [], socket.socketpair

    class Bell(socket.socket):
        """A socket whose reads fail for a moment."""

        left = MOMENT

        def recv(self, *words: int) -> bytes:
            if Bell.left > 0:
                Bell.left -= 1
                raise OSError(errno.ENOMEM, "no memory")
            return super().recv(*words)

    def made() -> tuple[socket.socket, socket.socket]:
        ours, bell = real()
        return Bell(fileno=ours.detach()), bell

    monkeypatch.setattr(socket, "socketpair", made)
    before = signal.getsignal(signal.SIGUSR1)
    try:
        node.loop.on_signals({signal.SIGUSR1: lambda: heard.append(1)})
        os.kill(os.getpid(), signal.SIGUSR1)
        turn(node, lambda: heard)
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, before)
    assert Bell.left == 0
