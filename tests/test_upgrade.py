"""Upgrades between real processes of a node on an inherited listening socket."""

import os
import signal
import socket
import subprocess
import sys

import pytest

from marlseam.configuration import ConfigError, load
from marlseam.net.node import Node

READY = b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"


def wait_for_line(process, text):
    """Read a process's log up to a line with some text; fail where the log ends first."""
    while text not in (line := process.stderr.readline()):
        assert line


@pytest.fixture
def start_process(listening_socket, config_path, tmp_path):
    """Return a function that starts a process on the inherited socket and waits until it listens."""
    processes = []

    def start():
        environment = {
            **os.environ,
            "EDGE_SOCKET_FD": str(listening_socket.fileno()),
            "TMPDIR": str(tmp_path),
        }
        command = [sys.executable, "-m", "marlseam", "serve", "--config", str(config_path)]
        process = subprocess.Popen(
            command, stderr=subprocess.PIPE, text=True, env=environment, pass_fds=(listening_socket.fileno(),)
        )
        processes.append(process)
        wait_for_line(process, "listens on")
        return process

    yield start
    for process in processes:
        process.kill()
        process.communicate()


def request_readiness(listening_socket):
    """Send a readiness request on a new connection; return the answer and the connection."""
    sock = socket.create_connection(listening_socket.getsockname(), timeout=20.0)
    sock.sendall(READY)
    return sock.recv(65536), sock


def test_an_upgrade_refuses_no_new_client_and_closes_idle_connections(listening_socket, start_process):
    old = start_process()
    _, idle_connection = request_readiness(listening_socket)
    new = start_process()
    old.send_signal(signal.SIGTERM)
    assert old.wait(timeout=20.0) == 0
    assert idle_connection.recv(1) == b""
    for _ in range(5):
        answer, sock = request_readiness(listening_socket)
        assert answer.startswith(b"HTTP/1.1 200 ")
        sock.close()
    assert new.poll() is None


def test_a_client_that_connects_between_two_processes_is_served_by_the_later_one(
    listening_socket, start_process
):
    old = start_process()
    old.send_signal(signal.SIGTERM)
    assert old.wait(timeout=20.0) == 0
    waiting = socket.create_connection(listening_socket.getsockname(), timeout=20.0)
    waiting.sendall(READY)
    start_process()
    assert waiting.recv(65536).startswith(b"HTTP/1.1 200 ")
    waiting.close()


DESCRIPTOR_KINDS = ["no socket", "a datagram socket", "a stream socket that does not listen"]


@pytest.mark.parametrize("kind", DESCRIPTOR_KINDS)
def test_a_descriptor_that_is_not_a_listening_socket_is_refused_and_left_open(kind, config_path):
    socks = [
        open(config_path),  # noqa: SIM115
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM),
        socket.socket(),
    ]
    descriptor = socks[DESCRIPTOR_KINDS.index(kind)].fileno()
    with pytest.raises(ConfigError, match="EDGE_SOCKET_FD"):
        Node(load(str(config_path), {"EDGE_SOCKET_FD": str(descriptor)}))
    os.fstat(descriptor)
    for sock in socks:
        sock.close()


@pytest.mark.parametrize("value", ["x", "-1", "3.0"])
def test_a_descriptor_that_is_not_a_natural_number_is_refused(config_path, value):
    with pytest.raises(ConfigError, match="EDGE_SOCKET_FD"):
        load(str(config_path), {"EDGE_SOCKET_FD": value})


def test_an_old_process_that_hangs_does_not_delay_the_new_one(listening_socket, start_process):
    old = start_process()
    old.send_signal(signal.SIGSTOP)
    new = start_process()
    answer, sock = request_readiness(listening_socket)
    assert answer.startswith(b"HTTP/1.1 200 ")
    sock.close()
    wait_for_line(new, "code=silent")
    old.kill()
    wait_for_line(new, "code=cut")


def test_an_old_process_continues_to_serve_after_the_new_one_is_killed(listening_socket, start_process):
    old = start_process()
    new = start_process()
    wait_for_line(new, "sent its snapshot of")
    new.kill()
    wait_for_line(old, "code=cut")
    answer, sock = request_readiness(listening_socket)
    assert answer.startswith(b"HTTP/1.1 200 ")
    sock.close()
    third = start_process()
    wait_for_line(third, "sent its snapshot of")
