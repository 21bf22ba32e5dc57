"""A whole node: its shutdown on SIGTERM, reload on SIGHUP, and a request through it."""

import json
import signal
import subprocess
import sys

from http_samples import REQUEST
from settings_samples import OPTIONS

from marlseam.net import graceful_shutdown


def test_sigterm_ends_an_idle_node_after_it_has_stopped_listening(node, monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "LISTEN_MS", 1.0)
    node.shutdown.begin()
    node.loop.run()
    assert node.loop.stopped
    assert node.downstream.sock.fileno() < 0


def test_a_request_open_at_sigterm_is_answered_before_the_node_ends(node, client, reply, monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "LISTEN_MS", 1.0)
    monkeypatch.setattr(graceful_shutdown, "MAX_DRAIN_MS", 1.0)
    monkeypatch.setattr(graceful_shutdown, "ANSWER_MS", 1.0)
    sock = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    node.shutdown.begin()
    assert reply(sock).startswith(b"HTTP/1.1 503 ")


def test_a_request_is_sent_to_a_server_once_and_its_result_returned(start_server, client, reply):
    methods = start_server()
    assert reply(client(REQUEST)).endswith(b"\r\n\r\nr")
    assert methods.count(b"POST") == 1


def test_a_process_reloads_its_file_on_sighup_and_exits_with_0_on_sigterm(tmp_path):
    values = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": OPTIONS}
    path = tmp_path / "node.json"
    path.write_text(json.dumps(values))
    command = [sys.executable, "-m", "marlseam", "serve", "--config", str(path)]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)

    def wait_for_line(text):
        while text not in (line := process.stderr.readline()):
            assert line

    try:
        wait_for_line("listens on")
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        wait_for_line("the configuration stays as it was: EDGE_CONFIG")
        path.write_text(json.dumps(values | {"discovery": "127.0.0.1:2"}))
        process.send_signal(signal.SIGHUP)
        wait_for_line("new configuration, discovery at 127.0.0.1:2")
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        wait_for_line("ends with 0 requests open")
        assert process.wait(timeout=20.0) == 0
    finally:
        process.kill()
        process.communicate()
