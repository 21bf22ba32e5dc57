"""A node's process that was stopped (SIGSTOP) retries nothing for clients that left meanwhile.

See docs/design/endings.md.
"""

import json
import os
import select
import signal
import socket
import subprocess
import sys

import pytest
from conftest import ANSWER, OPTIONS
from departure_scenario import ERROR_RESPONSE, LONG_OBJECTIVE_CLASSES
from loopback_servers import (
    NEVER_RAN_RESPONSE,
    NO_PROBES_NO_CANCEL,
    SAFE_REQUEST,
    ListeningServer,
    reset_connection,
)


class NodeProcess:
    """A node in a process of its own, with clients and servers within the test.

    Attributes:
        process: the node's process
        address: where the node listens; None until `wait_until_listening`
        servers: the listed servers by name
        clients: the clients' sockets, in the order of their requests
        server_names: the servers' names by their sides of connections
    """

    def __init__(self, config_path, servers):
        self.servers, self.clients, self.server_names = servers, [], {}
        command = [sys.executable, "-m", "marlseam", "serve", "--config", str(config_path)]
        self.process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
        self.address = None

    def wait_for_log(self, text):
        """Read the node's log up to the first line with a text, and return it; fail if the log ends first."""
        while text not in (line := self.process.stderr.readline()):
            assert line
        return line

    def wait_until_listening(self):
        self.address = "127.0.0.1", int(self.wait_for_log("listens on").rpartition(":")[2])

    def send_next_request(self):
        """Send a request from a new client; return the server's side of the connection that it arrives on."""
        self.clients.append(socket.create_connection(self.address))
        self.clients[-1].sendall(SAFE_REQUEST.replace(b"9b", b"w%d" % len(self.clients)))
        listeners = [server.sock for server in self.servers.values()]
        while True:
            ready, _, _ = select.select([*self.server_names, *listeners], [], [], 10.0)
            for name, server in self.servers.items():
                if server.sock in ready:
                    self.server_names[server.sock.accept()[0]] = name
            for sock in self.server_names.keys() & ready:
                assert b"abc" in sock.recv(1 << 16)
                return sock

    def open_connection_to_each_server(self):
        """Send requests until both servers have one, then complete all: each then has an idle connection."""
        in_flight = [self.send_next_request()]
        while len(set(self.server_names.values())) < 2:
            in_flight.append(self.send_next_request())
        for number, sock in enumerate(in_flight, start=1):
            answer = ANSWER.replace(b"9b", b"w%d" % number)
            sock.sendall(answer.replace(b'"e1"', b'"%b"' % self.server_names[sock].encode()))
        for sock in self.clients:
            assert sock.recv(1 << 16).startswith(b"HTTP/1.1 200 ")

    def stop(self):
        """Stop the process by SIGSTOP, as on a machine that halts, and wait until it is stopped."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WNOWAIT)

    def close(self):
        self.process.kill()
        self.process.communicate()
        for sock in (*self.clients, *self.server_names):
            sock.close()


@pytest.fixture
def node_process(listening_servers, tmp_path):
    """Return a node's process with two listed servers, whose settings forbid cancelling attempts."""
    listening_servers |= {"e1": ListeningServer(), "e2": ListeningServer()}
    endpoints = [
        {
            "host": name,
            "dial": "{}:{}".format(*server.address),
            "health": "active",
            "site": "here",
            "class": "plain",
            "block": 0,
        }
        for name, server in listening_servers.items()
    ]
    ceilings = OPTIONS["ceilings"] | NO_PROBES_NO_CANCEL | {"keepaliveUs": 30000000}
    values = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "settings": OPTIONS | {"requestClasses": LONG_OBJECTIVE_CLASSES, "ceilings": ceilings},
        "known": {"seq": 1, "whole": True, "hosts": endpoints},
    }
    path = tmp_path / "node.json"
    path.write_text(json.dumps(values))
    node_process = NodeProcess(path, listening_servers)
    yield node_process
    node_process.close()


@pytest.mark.parametrize(
    "response", [ERROR_RESPONSE, NEVER_RAN_RESPONSE, b""], ids=["an error", "unprocessed", "a reset"]
)
def test_a_process_that_was_stopped_retries_nothing_for_clients_that_left(node_process, response):
    node_process.wait_until_listening()
    node_process.open_connection_to_each_server()
    sock = node_process.send_next_request()
    node_process.stop()
    if response:
        sock.sendall(response)
    else:
        reset_connection(sock)
    node_process.clients[-1].close()
    node_process.process.send_signal(signal.SIGCONT)
    node_process.wait_for_log("client ended code=peer-closed")
    node_process.process.send_signal(signal.SIGTERM)
    assert "ends with 0 requests open" in node_process.process.stderr.read()
    assert node_process.process.wait(timeout=20.0) == 0
    for other_socket in node_process.server_names.keys() - {sock}:
        assert other_socket.recv(1 << 16) == b""
    assert not any(server.accept() for server in node_process.servers.values())
