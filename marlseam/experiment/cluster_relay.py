"""A relay that every datagram between the nodes of a cluster passes through, and that loses or delays some.

Each ordered pair of nodes has a socket of its own, so that what one sends to the other can be cut off, lost,
duplicated or delayed in that direction alone.
"""

import heapq
import select
import socket
import threading
from collections.abc import Callable, Mapping
from typing import NamedTuple

from marlseam.experiment.cluster_tables import ClusterTable
from marlseam.random_source import RandomSource

POLL_S = 0.02  # between two looks at delayed datagrams and at what else is periodic
MAX_DATAGRAM_BYTES = 65536


def free_udp_address() -> str:
    """Return a UDP address on loopback that was free a moment ago."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return "{}:{}".format(*sock.getsockname())


class Pair(NamedTuple):
    """The sender and the receiver of a datagram."""

    sender: str
    receiver: str


class Cut(NamedTuple):
    """Datagrams that are lost until a time; an empty name stands for every node."""

    sender: str
    receiver: str
    until_ms: float

    def applies(self, pair: Pair, now_ms: float) -> bool:
        """Return whether a datagram is lost."""
        is_sender = self.sender in ("", pair.sender)
        return self.until_ms > now_ms and is_sender and self.receiver in ("", pair.receiver)


class DelayedDatagram(NamedTuple):
    """A datagram to deliver at a time; `order` tells apart those of one time."""

    at_ms: float
    order: int
    pair: Pair
    data: bytes


class RelayHooks(NamedTuple):
    """What a relay calls, in its thread.

    Attributes:
        now: returns ms since the run's zero.
        periodic: called with the time, every `POLL_S`.
        before_datagram: called with a node, whether it sends, the pair and the datagram, before a datagram is
            taken from its sender and before it is handed to its receiver.
    """

    now: Callable[[], float]
    periodic: Callable[[float], None]
    before_datagram: Callable[[str, bool, Pair, bytes], None]


class DatagramRelay:
    """Passes datagrams on in a thread of its own.

    Attributes:
        node_addresses: the nodes' own addresses, by name.
        random: draws which datagrams are lost and which are sent twice.
        cuts: what is lost, and until when.
        delivered_count: datagrams handed to their receivers.
        lost_count: datagrams that were lost.
        error: what ended the thread early, if anything did.
    """

    def __init__(self, node_addresses: Mapping[str, str], table: ClusterTable, seed: int) -> None:
        """Bind a socket for each ordered pair of nodes, whose own addresses are given by name."""
        self.node_addresses, self._table = node_addresses, table
        self.random = RandomSource(f"rig:{seed}")  # a seed is to draw the same in later versions
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
        """Return the address at which one node is to reach another."""
        return "{}:{}".format(*self._sockets[Pair(sender, receiver)].getsockname())

    def start(self, hooks: RelayHooks) -> None:
        """Begin to pass datagrams on."""
        self._hooks = hooks
        self._thread.start()

    def stop(self) -> None:
        """End the thread, and wait for it."""
        self._is_over.set()
        self._thread.join()

    def close(self) -> None:
        """Close the sockets."""
        for sock in self._sockets.values():
            sock.close()

    @property
    def is_over(self) -> bool:
        """Whether the relay was told to end."""
        return self._is_over.is_set()

    def delay(self, pair: Pair, data: bytes, until_ms: float) -> None:
        """Have a copy of a datagram delivered at a time."""
        self._delayed_count += 1
        heapq.heappush(self._delayed, DelayedDatagram(until_ms, self._delayed_count, pair, data))

    def _run(self) -> None:
        """Pass on what comes until the relay is told to end."""
        pairs_by_descriptor = {sock.fileno(): pair for pair, sock in self._sockets.items()}
        poll = select.epoll()
        for descriptor in pairs_by_descriptor:
            poll.register(descriptor, select.EPOLLIN)
        try:
            self._relay_until_over(poll, pairs_by_descriptor)
        except BaseException as error:  # reported to whoever waits for the run
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
        """Read one datagram, and pass it on."""
        try:
            data = self._sockets[pair].recv(MAX_DATAGRAM_BYTES)
        except OSError:
            return
        self._pass_on(pair, data)

    def _pass_on(self, pair: Pair, data: bytes) -> None:
        """Deliver a datagram, unless it is cut off or lost; deliver some twice."""
        self._hooks.before_datagram(pair.sender, True, pair, data)
        now_ms = self._hooks.now()
        is_cut = any(cut.applies(pair, now_ms) for cut in self.cuts)
        if is_cut or self.random() < self._table.loss:
            self.lost_count += 1
            return
        is_doubled = self.random() < self._table.doubles
        for _ in range(1 + is_doubled):
            self._deliver(pair, data)

    def _deliver_delayed(self, now_ms: float) -> None:
        """Deliver the delayed datagrams that are due."""
        while self._delayed and self._delayed[0].at_ms <= now_ms:
            due = heapq.heappop(self._delayed)
            self._deliver(due.pair, due.data)

    def _deliver(self, pair: Pair, data: bytes) -> None:
        """Hand a datagram to its receiver."""
        self._hooks.before_datagram(pair.receiver, False, pair, data)
        host, _, port = self.node_addresses[pair.receiver].rpartition(":")
        self.delivered_count += 1
        try:
            self._sockets[pair].sendto(data, (host, int(port)))
        except OSError:
            self.lost_count += 1
