"""Membership of a node in its cluster: the datagram socket, timers, and what operators see.

The decisions are those of `marlseam.cluster.membership`; this module carries out its effects on the event
loop. Configuration versions and the audit log, where the settings have them, are the business of
`config_service`, which shares the socket.
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
MAX_BIND_RETRY_MS = 50.0  # between tries of an address that another process has; at most a period
ADDRESS_IN_USE = "in-use"  # among the codes of what was dropped: the address is another process's
NOT_SENT = "unsent"  # the same: the system did not take a datagram

# Statuses as operators, logs and `/control/fleet` call them.
STATUS_WORDS = {
    MemberStatus.ALIVE: "here",
    MemberStatus.SUSPECT: "suspect",
    MemberStatus.DEAD: "gone",
    MemberStatus.LEFT: "left",
}
NOT_JOINED = "out"
NO_STATUS = "unheard"


def status_word(state: MemberState) -> str:
    """Return a state's status as operators call it."""
    return STATUS_WORDS[MemberStatus(state.status)]


@dataclass
class Traffic:
    """Datagrams and bytes that were sent and received, valid or not."""

    sent: int = 0
    received: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class MembershipService:
    """Runs one member's `Membership` on the event loop.

    Where another process has the address (the old one in an upgrade, or a second one by mistake) this one is
    no member until it is free.

    Attributes:
        settings: the cluster's part of the node's settings.
        name: this member's.
        names: whose datagrams are read; a member that was removed is still told why it is.
        addresses: of each name, host and port.
        published_members: who belongs by the configuration version in force, None where it is by settings.
        dropped: datagrams that were not taken or not sent, by code.
        traffic: datagrams and bytes so far.
        generation: of this process, in ms since 1970: it need only differ from those of earlier processes.
        config_service: versions and audit log of the same cluster, None where it has none.
        machine: the membership state machine.
        sock: the datagram socket, None while this process is no member.
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
        """Bind the member's address and begin, or wait for it.

        Raises OSError where the address can never be had. `port` is what the node offers to configuration
        versions, None for a cluster without them.
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
        self.timer = loop.at(loop.now(), lambda: None)
        self.join()

    @property
    def acting(self) -> ConfigVersionService | None:
        """Return the configuration versions' service, by its former name."""
        return self.config_service

    def new_config_service(self, port: ConfigServicePort) -> ConfigVersionService:
        """Return the configuration versions' service, which sends through this one."""
        # Imported here: a node of a cluster without versions needs nothing of it.
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
        """Return a state machine that begins now."""
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
        """Bind the address and begin; while another process has it, try again later.

        Raises OSError where the address can never be had.
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
        """Return a socket at the member's address, None while another process has it; raises OSError."""
        address = self.settings.members[self.name]
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = self.loop.descriptors.opened(lambda: socket.socket(family, socket.SOCK_DGRAM), own=True)
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
        """Log once that the address is another process's, and plan the next try."""
        if not self.dropped[ADDRESS_IN_USE]:
            self.log.line(
                f"fleet code={ADDRESS_IN_USE}: another process has this member's address; "
                "no member until then"
            )
        self.dropped[ADDRESS_IN_USE] += 1
        self.loop.at(self.loop.now() + min(MAX_BIND_RETRY_MS, self.settings.period_ms), self.join)

    def set_members(self, members: Mapping[str, str]) -> None:
        """Take over who belongs by a configuration version; the node's own settings' addresses go first."""
        for name, value in members.items():
            if name not in self.settings.members:
                self.addresses[name] = member_address(f"members.{name}", value, self.settings.trusted)
        self.names |= members.keys()
        self.published_members = frozenset(members)
        self.machine.set_members(self.published_members)
        self.log.line(f"the fleet is of {len(members)} members")

    def close(self) -> None:
        """End the configuration versions' service, and leave."""
        if self.config_service is not None:
            self.config_service.close()
        self.leave()

    def leave(self) -> None:
        """Announce that this member leaves, and free its address for a later process of the node."""
        self.closed = True
        if self.sock is not None:
            self.apply_effects(self.machine.leave(self.loop.now()))
            self.loop.drop(self.timer)
            self.loop.close(self.sock)
            self.sock = None

    # Events.

    def listen(self, sock: socket.socket) -> Coroutine:
        """Handle datagrams as they come, a bounded number in each turn of the loop."""
        while True:
            yield (sock.fileno(), READ, inf)
            for _ in range(MAX_READS_PER_TURN):
                try:
                    data = sock.recv(MAX_DATAGRAM_BYTES + 1)
                except OSError:
                    break  # nothing more, or a port on this machine where nobody listens
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
        """Count an invalid datagram, and log the first of its code."""
        self.dropped[code] += 1
        if self.dropped[code] == 1:
            self.log.line(f"fleet code={code}: a datagram was dropped, others like it are counted")

    def tick(self) -> None:
        """Do what is due."""
        self.apply_effects(self.machine.tick(self.loop.now()))
        self.schedule_tick()

    def schedule_tick(self) -> None:
        """Set the timer to when something is due next."""
        self.loop.drop(self.timer)
        self.timer = self.loop.at(self.machine.next_ms, self.tick)

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
                    "was heard after another process took over its name"
                )

    def send(self, receiver: str, data: bytes) -> None:
        """Send a datagram; one that the system does not take is lost like any other, but counted."""
        if self.sock is None:
            return
        try:
            self.sock.sendto(data, self.addresses[receiver])
        except OSError:
            self.dropped[NOT_SENT] += 1
            return
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(data)

    # What operators see.

    def status(self) -> str:
        """Return what is held of each member, as a line of JSON; ages in ms."""
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
        """Return this member's row of the status."""
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
        """Return another member's row of the status."""
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
