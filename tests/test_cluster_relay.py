"""Tests of the datagram relay between nodes: forwarding, loss, duplication and delay."""

import socket
import time

import pytest

from marlseam.experiment.cluster_relay import Cut, DatagramRelay, Pair, RelayHooks
from marlseam.experiment.cluster_tables import ClusterTable

TO_RECEIVER = Pair("a", "b")
SILENCE_S = 0.2  # the receive timeout after which no more datagrams are expected


class TwoNodes:
    """The sockets of two nodes, `a` and `b`, and a relay between them.

    Attributes:
        relay: the relay, whose thread runs.
        hook_calls: the arguments of each call of `before_datagram`, without the pair.
    """

    def __init__(self, table):
        self.sockets = {name: socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for name in "ab"}
        for sock in self.sockets.values():
            sock.bind(("127.0.0.1", 0))
            sock.settimeout(SILENCE_S)
        addresses = {name: "{}:{}".format(*sock.getsockname()) for name, sock in self.sockets.items()}
        self.relay, self.hook_calls = DatagramRelay(addresses, table, seed=1), []
        self.relay.start(RelayHooks(self.now, lambda _now_ms: None, self.before_datagram))

    def now(self):
        return 1000.0 * time.monotonic()

    def before_datagram(self, node, is_sent, _pair, data):
        self.hook_calls.append((node, is_sent, data))

    def send(self, data):
        host, _, port = self.relay.address("a", "b").rpartition(":")
        self.sockets["a"].sendto(data, (host, int(port)))

    def received(self):
        """Return the datagrams that reach `b` until none comes for `SILENCE_S`."""
        datagrams = []
        while True:
            try:
                datagrams.append(self.sockets["b"].recv(1000))
            except TimeoutError:
                return datagrams

    def close(self):
        self.relay.stop()
        self.relay.close()
        for sock in self.sockets.values():
            sock.close()


@pytest.fixture
def make_nodes():
    made = []

    def make(**settings):
        made.append(TwoNodes(ClusterTable(**settings)))
        return made[-1]

    yield make
    for nodes in made:
        nodes.close()


def test_a_datagram_is_forwarded_and_the_hook_is_called_at_both_ends(make_nodes):
    nodes = make_nodes()
    nodes.send(b"x")
    assert nodes.received() == [b"x"]
    assert nodes.hook_calls == [("a", True, b"x"), ("b", False, b"x")]
    assert (nodes.relay.delivered_count, nodes.relay.lost_count) == (1, 0)


@pytest.mark.parametrize(("settings", "copies"), [({"loss": 1.0}, 0), ({"doubles": 1.0}, 2)])
def test_datagrams_are_lost_and_duplicated_at_the_shares_of_the_table(make_nodes, settings, copies):
    nodes = make_nodes(**settings)
    nodes.send(b"x")
    assert nodes.received() == [b"x"] * copies
    assert nodes.relay.lost_count == (copies == 0)


def test_datagrams_are_lost_during_a_cut_and_later_ones_are_delivered(make_nodes):
    nodes = make_nodes()
    nodes.relay.cuts.append(Cut("", "b", nodes.now() + 1e6))
    nodes.send(b"x")
    assert nodes.received() == []
    nodes.relay.cuts.clear()
    nodes.send(b"y")
    assert nodes.received() == [b"y"]


def test_a_delayed_copy_is_delivered_late_and_the_hook_is_called_at_the_receiver(make_nodes):
    nodes = make_nodes()
    nodes.relay.delay(TO_RECEIVER, b"late", nodes.now() + 50.0)
    assert nodes.received() == [b"late"]
    assert nodes.hook_calls == [("b", False, b"late")]
