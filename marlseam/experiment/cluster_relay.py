"""A UDP relay for all datagrams between the nodes of a cluster; loses, duplicates and delays some of them.

Each ordered pair of nodes has its own socket, so that datagrams can be cut off, lost, duplicated or delayed
in one direction alone.
"""

import heapq
import select
import socket
import threading
from collections.abc import Callable, Mapping
from typing import NamedTuple

from marlseam.experiment.cluster_tables import ClusterTable
from marlseam.random_source import RandomSource

POLL_S = 0.02  # how often delayed datagrams are checked and the periodic hook is called
MAX_DATAGRAM_BYTES = 65536


def free_udp_address() -> str:
    """Return a loopback UDP address (`HOST:PORT`) that was free when it was checked; it is not reserved."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return "{}:{}".format(*sock.getsockname())


class Pair(NamedTuple):
    """The sender and the receiver of a datagram."""

    sender: str
    receiver: str


class Cut(NamedTuple):
    """A one-way network cut: the datagrams from a sender to a receiver are lost until `until_ms`.

    An empty name stands for every node; `until_ms` is in ms of the run.
    """

    sender: str
    receiver: str
    until_ms: float

    def applies(self, pair: Pair, now_ms: float) -> bool:
        """Return whether a datagram of this pair is lost by the cut at a time."""
        is_sender = self.sender in ("", pair.sender)
        return self.until_ms > now_ms and is_sender and self.receiver in ("", pair.receiver)


class DelayedDatagram(NamedTuple):
    """A datagram to deliver at `at_ms` of the run; `order` orders the datagrams of the same time."""

    at_ms: float
    order: int
    pair: Pair
    data: bytes


class RelayHooks(NamedTuple):
    """Functions that a relay calls in its own thread.

    Attributes:
        now: returns the time in ms of the run.
        periodic: called about every `POLL_S` with the time in ms of the run.
        before_datagram: called before a datagram of the sender is processed (with the sender, True, the pair
            and the datagram) and before each delivery (with the receiver, False, the pair and the datagram).
    """

    now: Callable[[], float]
    periodic: Callable[[float], None]
    before_datagram: Callable[[str, bool, Pair, bytes], None]


class DatagramRelay:
    """Forwards datagrams between nodes, in a thread of its own.

    Attributes:
        node_addresses: the nodes' own addresses, by name.
        random: draws which datagrams are lost and which are delivered twice.
        cuts: the network cuts; a cut has no effect after its time.
        delivered_count: how many datagrams were sent to their receivers.
        lost_count: how many datagrams were lost by a cut, at random, or because sending them failed.
        error: the exception that ended the thread, None for none.
    """

    def __init__(self, node_addresses: Mapping[str, str], table: ClusterTable, seed: int) -> None:
        """Bind a socket for each ordered pair of the nodes in `node_addresses` (addresses by name)."""
        self.node_addresses, self._table = node_addresses, table
        self.random = RandomSource(f"rig:{seed}")  # the text stays: a seed draws the same in later versions
        self._sockets: dict[Pair, socket.socket] = {}
        for sender in node_addresses:
            for receiver in node_addresses:
                if sender != receiver:
                    self._sockets[Pair(sender, receiver)] = self._bound_socket()
        self.cuts: list[Cut] = []
        self._delayed: list[DelayedDatagram] = []
        self._delayed_count = 0
        self.delivered_count = self.lost_count = 0
        self.error: BaseException | None = None
        self._is_over = threading.Event()
        self._hooks: RelayHooks
        self._thread = threading.Thread(target=self._run, daemon=True)

    @staticmethod
    def _bound_socket() -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        return sock

    def address(self, sender: str, receiver: str) -> str:
        """Return the relay's address (`HOST:PORT`) to which `sender` must send datagrams for `receiver`."""
        return "{}:{}".format(*self._sockets[Pair(sender, receiver)].getsockname())

    def start(self, hooks: RelayHooks) -> None:
        """Start the thread that forwards datagrams."""
        self._hooks = hooks
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread, and wait until it has ended."""
        self._is_over.set()
        self._thread.join()

    def close(self) -> None:
        """Close the sockets of all pairs."""
        for sock in self._sockets.values():
            sock.close()

    @property
    def is_over(self) -> bool:
        """Whether `stop` was called."""
        return self._is_over.is_set()

    def delay(self, pair: Pair, data: bytes, until_ms: float) -> None:
        """Schedule a copy of a datagram for delivery at `until_ms` of the run."""
        self._delayed_count += 1
        heapq.heappush(self._delayed, DelayedDatagram(until_ms, self._delayed_count, pair, data))

    def _run(self) -> None:
        """Forward datagrams until `stop` is called; an exception ends the thread and is kept in `error`."""
        pairs_by_descriptor = {sock.fileno(): pair for pair, sock in self._sockets.items()}
        poll = select.epoll()
        for descriptor in pairs_by_descriptor:
            poll.register(descriptor, select.EPOLLIN)
        try:
            self._relay_until_over(poll, pairs_by_descriptor)
        except BaseException as error:  # the run's thread reads `error` and raises RunFailedError
            self.error = error
        finally:
            poll.close()

    def _relay_until_over(self, poll: select.epoll, pairs_by_descriptor: Mapping[int, Pair]) -> None:
        last_periodic_ms = 0.0
        while not self._is_over.is_set():
            for descriptor, _ in poll.poll(POLL_S):
                self._receive(pairs_by_descriptor[descriptor])
            now_ms = self._hooks.now()
            self._deliver_delayed(now_ms)
            if now_ms - last_periodic_ms > 1000.0 * POLL_S:
                last_periodic_ms = now_ms
                self._hooks.periodic(now_ms)

    def _receive(self, pair: Pair) -> None:
        """Read one datagram from a pair's socket, and forward it."""
        try:
            data = self._sockets[pair].recv(MAX_DATAGRAM_BYTES)
        except OSError:
            return
        self._forward(pair, data)

    def _forward(self, pair: Pair, data: bytes) -> None:
        """Deliver a datagram once or twice, or drop it by a cut or at random."""
        self._hooks.before_datagram(pair.sender, True, pair, data)
        now_ms = self._hooks.now()
        is_cut = any(cut.applies(pair, now_ms) for cut in self.cuts)
        if is_cut or self.random() < self._table.loss:
            self.lost_count += 1
            return
        is_duplicated = self.random() < self._table.doubles
        for _ in range(1 + is_duplicated):
            self._deliver(pair, data)

    def _deliver_delayed(self, now_ms: float) -> None:
        """Deliver the delayed datagrams that are due."""
        while self._delayed and self._delayed[0].at_ms <= now_ms:
            due = heapq.heappop(self._delayed)
            self._deliver(due.pair, due.data)

    def _deliver(self, pair: Pair, data: bytes) -> None:
        """Send a datagram to its receiver; a failed send counts as lost."""
        self._hooks.before_datagram(pair.receiver, False, pair, data)
        host, _, port = self.node_addresses[pair.receiver].rpartition(":")
        self.delivered_count += 1
        try:
            self._sockets[pair].sendto(data, (host, int(port)))
        except OSError:
            self.lost_count += 1
