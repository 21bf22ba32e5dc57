"""Membership of a node in its cluster: the datagram socket, timers, and the status for operators.

`marlseam.cluster.membership` takes the decisions; this module carries out its effects on the event loop.
Configuration versions and the audit log, if configured, are handled by `config_service`, which shares the
socket.
"""

from __future__ import annotations

import errno
import json
import socket
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING, Any

from marlseam import __version__
from marlseam.cluster.membership import Membership
from marlseam.cluster.membership_codec import (
    MAX_DATAGRAM_BYTES,
    InvalidMessageError,
    MemberState,
    MemberStatus,
    read,
    write,
)
from marlseam.cluster.membership_types import (
    NO_GENERATION,
    Effect,
    Member,
    MemberChanged,
    SendDatagram,
)
from marlseam.configuration import ClusterSettings, member_address
from marlseam.net.log import Log
from marlseam.net.loop import READ, Coroutine, Loop

if TYPE_CHECKING:
    from marlseam.net.config_service import ConfigServicePort, ConfigVersionService

MAX_READS_PER_TURN = 32  # datagrams read in one turn of the loop
# Time between tries to bind an address that another process has; a protocol period if that is shorter.
MAX_BIND_RETRY_MS = 50.0
ADDRESS_IN_USE = "in-use"  # code in `dropped`: another process has bound the member's address
NOT_SENT = "unsent"  # code in `dropped`: the system did not accept a datagram for sending

# Names of the statuses in logs and in `/control/fleet`.
STATUS_WORDS = {
    MemberStatus.ALIVE: "here",
    MemberStatus.SUSPECT: "suspect",
    MemberStatus.DEAD: "gone",
    MemberStatus.LEFT: "left",
}
NOT_JOINED = "out"
NO_STATUS = "unheard"


def status_word(state: MemberState) -> str:
    """Return the name of a state's status for operators."""
    return STATUS_WORDS[MemberStatus(state.status)]


@dataclass
class Traffic:
    """Counts of datagrams and bytes sent and received, valid or not."""

    sent: int = 0
    received: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class MembershipService:
    """Runs one member's `Membership` on the event loop.

    While another process has the address (the old one in an upgrade, or a second one by mistake) this process
    is not a member.

    Attributes:
        settings: the cluster's part of the node's settings.
        name: this member's name.
        names: the members whose datagrams are read; removed ones stay, to be sent the version that removed
            them.
        addresses: host and port of each name.
        published_members: the members by the configuration version in force; None where the settings apply.
        dropped: counts of datagrams that were discarded or not sent, and of failed binds, by code.
        traffic: datagrams and bytes so far.
        generation: of this process, in ms since 1970; must only differ from those of earlier processes.
        config_service: versions and audit log of the same cluster; None where it has none.
        machine: the membership state machine.
        sock: the datagram socket; None while this process is not a member.
        closed: whether this process has left, so that it binds the address no more.
        timer: the next call of `tick`.
    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        settings: ClusterSettings,
        name: str,
        seed: int,
        port: ConfigServicePort | None = None,
    ) -> None:
        """Bind the member's address and join, or retry while another process has the address.

        Raises OSError where the address cannot be bound for another reason. `port` is the port through which
        configuration versions use the node, None for a cluster without them.
        """
        self.loop, self.log, self.settings, self.name, self.seed = loop, log, settings, name, seed
        self.names = frozenset(settings.members)
        self.addresses = dict(settings.members)
        self.published_members: frozenset[str] | None = None
        self.dropped: Counter[str] = Counter()
        self.traffic = Traffic()
        self.generation = int(time.time() * 1000.0)
        self.config_service = self.new_config_service(port) if port is not None else None
        self.machine = self.new_machine()
        self.sock: socket.socket | None = None
        self.closed = False
        self.timer = loop.call_at(loop.now(), lambda: None)
        self.join()

    @property
    def acting(self) -> ConfigVersionService | None:
        """The service of configuration versions, by its former name."""
        return self.config_service

    def new_config_service(self, port: ConfigServicePort) -> ConfigVersionService:
        """Return a service of configuration versions that sends through this service's socket."""
        # Imported here, so that a node of a cluster without versions does not load the module.
        from marlseam.net.config_service import ConfigVersionService

        return ConfigVersionService(
            self.loop,
            self.log,
            self.settings,
            self.name,
            self.generation,
            self.seed,
            port,
            self.send,
            self.set_members,
        )

    def new_machine(self) -> Membership:
        """Return a membership state machine that starts now."""
        return Membership(
            self.settings.name,
            self.name,
            self.names,
            self.generation,
            self.seed,
            self.settings.period_ms,
            self.loop.now(),
        )

    # Joining and leaving.

    def join(self) -> None:
        """Bind the address and start as a member; while another process has the address, retry later.

        Raises OSError where the address cannot be bound for another reason.
        """
        if self.closed:
            return
        sock = self.bound_socket()
        if sock is None:
            self.retry_join()
            return
        self.sock, self.machine = sock, self.new_machine()
        if self.published_members is not None:
            self.machine.set_members(self.published_members)
        self.loop.spawn(self.listen(sock))
        self.tick()
        if self.config_service is not None:
            self.config_service.on_address_acquired()

    def bound_socket(self) -> socket.socket | None:
        """Return a socket bound to the member's address, None if another process has it; raises OSError."""
        address = self.settings.members[self.name]
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = self.loop.descriptors.open_with_release(
            lambda: socket.socket(family, socket.SOCK_DGRAM), use_spares=True
        )
        try:
            sock.setblocking(False)
            sock.bind(address)
        except OSError as error:
            sock.close()
            if error.errno != errno.EADDRINUSE:
                raise
            return None
        return sock

    def retry_join(self) -> None:
        """Count a failed bind, log the first one, and schedule the next try."""
        if not self.dropped[ADDRESS_IN_USE]:
            self.log.line(
                f"fleet code={ADDRESS_IN_USE}: another process has this member's address; "
                "this process is not a member until it has bound the address"
            )
        self.dropped[ADDRESS_IN_USE] += 1
        self.loop.call_at(self.loop.now() + min(MAX_BIND_RETRY_MS, self.settings.period_ms), self.join)

    def set_members(self, members: Mapping[str, str]) -> None:
        """Take over a configuration version's members; addresses in the node's settings have precedence."""
        for name, value in members.items():
            if name not in self.settings.members:
                self.addresses[name] = member_address(f"members.{name}", value, self.settings.trusted)
        self.names |= members.keys()
        self.published_members = frozenset(members)
        self.machine.set_members(self.published_members)
        self.log.line(
            f"the configuration version names {len(members)} members, which make up the cluster from now on"
        )

    def close(self) -> None:
        """Close the service of configuration versions, and leave the cluster."""
        if self.config_service is not None:
            self.config_service.close()
        self.leave()

    def leave(self) -> None:
        """Announce that this member leaves, and close the socket: a later process of the node can bind it."""
        self.closed = True
        if self.sock is not None:
            self.apply_effects(self.machine.leave(self.loop.now()))
            self.loop.cancel_timer(self.timer)
            self.loop.close(self.sock)
            self.sock = None

    # Events.

    def listen(self, sock: socket.socket) -> Coroutine:
        """Read and handle datagrams, at most MAX_READS_PER_TURN in each turn of the loop."""
        while True:
            yield (sock.fileno(), READ, inf)
            for _ in range(MAX_READS_PER_TURN):
                try:
                    data = sock.recv(MAX_DATAGRAM_BYTES + 1)
                except OSError:
                    break  # nothing left to read, or a send was refused by a local port without a listener
                self.traffic.received += 1
                self.traffic.received_bytes += len(data)
                try:
                    self.handle_datagram(data)
                except InvalidMessageError as error:
                    self.count_dropped(error.code)
            self.schedule_tick()

    def handle_datagram(self, data: bytes) -> None:
        """Handle a datagram of membership or of configuration versions; raises InvalidMessageError."""
        if self.config_service is not None and data[:1] == self.config_service.DATAGRAM_PREFIX:
            self.config_service.receive_datagram(data, self.names)
        else:
            datagram = read(data, self.settings.name, self.names)
            self.apply_effects(self.machine.receive(self.loop.now(), datagram))

    def count_dropped(self, code: str) -> None:
        """Count an invalid datagram, and log the first of each code."""
        self.dropped[code] += 1
        if self.dropped[code] == 1:
            self.log.line(
                f"fleet code={code}: this node dropped a datagram; others of this code are only counted"
            )

    def tick(self) -> None:
        """Run the state machine's due actions and set the next timer."""
        self.apply_effects(self.machine.tick(self.loop.now()))
        self.schedule_tick()

    def schedule_tick(self) -> None:
        """Set the timer to the state machine's next due time."""
        self.loop.cancel_timer(self.timer)
        self.timer = self.loop.call_at(self.machine.next_ms, self.tick)

    # Effects.

    def apply_effects(self, effects: list[Effect]) -> None:
        """Carry out the state machine's effects."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self.send(effect.to, write(effect.datagram))
            elif isinstance(effect, MemberChanged):
                state = effect.state
                self.log.line(
                    f"member {effect.name} {status_word(state)} life={state.generation} "
                    f"incarnation={state.incarnation}"
                )
            else:
                self.log.line(
                    f"fleet code=twin: {effect.name} life={effect.generation} "
                    "was reported again after another process took over its name: two processes may "
                    "run under this name"
                )

    def send(self, receiver: str, data: bytes) -> None:
        """Send a datagram, without an error where the system does not accept it: it is only counted.

        Nothing is sent while this process is not a member.
        """
        if self.sock is None:
            return
        try:
            self.sock.sendto(data, self.addresses[receiver])
        except OSError:
            self.dropped[NOT_SENT] += 1
            return
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(data)

    # Status for operators.

    def status(self) -> str:
        """Return the status of the cluster and of each member as a line of JSON; ages in ms."""
        now_ms = self.loop.now()
        rows = [self.own_row(now_ms)]
        rows += [self.member_row(name, member, now_ms) for name, member in self.machine.members.items()]
        members = self.published_members or self.settings.members
        document = {
            "fleet": self.settings.name,
            "by": self.name,
            "program": __version__,
            "health": self.machine.local_health,
            "period_ms": self.settings.period_ms,
            "letters": {
                "sent": self.traffic.sent,
                "came": self.traffic.received,
                "bytes_sent": self.traffic.sent_bytes,
                "bytes_came": self.traffic.received_bytes,
                "left_out": dict(self.dropped),
            },
            "members": sorted(rows, key=lambda row: row["name"]),
            "addresses": {name: "{}:{}".format(*self.addresses[name]) for name in members},
        }
        if self.config_service is not None:
            document["acting"] = self.config_service.status()
        return json.dumps(document) + "\n"

    def own_row(self, now_ms: float) -> dict[str, Any]:
        """Return this member's row in the status."""
        own_state = self.machine.own_state
        return {
            "name": self.name,
            "standing": NOT_JOINED if self.sock is None else STATUS_WORDS[MemberStatus.ALIVE],
            "life": own_state.generation,
            "incarnation": own_state.incarnation,
            "since_ms": round(now_ms),
            "heard_ms": 0,
            "suspected_by": [],
            "former_life": None,
        }

    def member_row(self, name: str, member: Member, now_ms: float) -> dict[str, Any]:
        """Return another member's row in the status."""
        state, former = member.state, member.former_generation
        return {
            "name": name,
            "standing": NO_STATUS if state is None else status_word(state),
            "life": None if state is None else state.generation,
            "incarnation": None if state is None else state.incarnation,
            "since_ms": round(now_ms - member.since_ms),
            "heard_ms": None if member.last_datagram_ms == -inf else round(now_ms - member.last_datagram_ms),
            "suspected_by": sorted(member.suspected_by),
            "former_life": None if former == NO_GENERATION else former,
        }
