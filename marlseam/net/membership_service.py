"""A node's place among the members of its fleet: a datagram socket, the pure machine, what staff see.

Versions and the ledger, where the settings have them, are `acting`'s.
"""

from __future__ import annotations

import errno
import json
import socket
import time
from collections import Counter
from collections.abc import Mapping
from math import inf
from typing import TYPE_CHECKING

from marlseam import __version__
from marlseam.cluster.membership import Effect, MemberChanged, Membership, SendDatagram
from marlseam.cluster.membership_codec import (
    MAX_DATAGRAM_BYTES,
    InvalidMessageError,
    MemberStatus,
    read,
    write,
)
from marlseam.configuration import ClusterSettings, member_address
from marlseam.net.log import Log
from marlseam.net.loop import READ, Coroutine, Loop

if TYPE_CHECKING:
    from marlseam.net.config_service import ConfigServicePort, ConfigVersionService

READS = 32  # letters read in one turn
AGAIN_MS = 50.0  # between tries of an address that another process has


class MembershipService:
    """Joins a member's machine to the loop; raises OSError where its address can never be had.

    Where another process has the address (the old one in an upgrade, or a second one by mistake) this one is
    no member until it is free.
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
        self.loop, self.log, self.settings, self.name, self.seed = loop, log, settings, name, seed
        self.names = frozenset(settings.members)  # that are read; one that belonged is told why it does not
        self.addresses = dict(settings.members)
        self.belong: frozenset[str] | None = None  # by a version; else as the settings have it
        self.dropped: Counter[str] = Counter()  # what was no letter of ours, by code
        self.sent = self.came = self.sent_bytes = self.came_bytes = 0
        # A life's number need only differ from an earlier one's: incarnations order them.
        self.life = int(time.time() * 1000.0)
        self.acting: ConfigVersionService | None = None
        if port is not None:
            # Imported here: a node of a fleet without versions needs nothing of it.
            from marlseam.net.config_service import ConfigVersionService

            self.acting = ConfigVersionService(
                loop, log, settings, name, self.life, seed, port, self.send, self.regroup
            )
        self.machine = self.machine_now()
        self.sock: socket.socket | None = None
        self.closed, self.timer = False, loop.at(loop.now(), lambda: None)
        self.join()

    def machine_now(self) -> Membership:
        """Return a machine that begins now."""
        now, period = self.loop.now(), self.settings.period_ms
        return Membership(self.settings.name, self.name, self.names, self.life, self.seed, period, now)

    def join(self) -> None:
        """Take the address and begin, or try again after a period."""
        if self.closed:
            return
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
            if not self.dropped["in-use"]:
                self.log.line(
                    "fleet code=in-use: another process has this member's address; no member until then"
                )
            self.dropped["in-use"] += 1
            self.loop.at(self.loop.now() + min(AGAIN_MS, self.settings.period_ms), self.join)
            return
        self.sock, self.machine = sock, self.machine_now()
        if self.belong is not None:
            self.machine.regroup(self.belong)
        self.loop.spawn(self.listen())
        self.tick()
        if self.acting is not None:
            self.acting.joined()

    def regroup(self, members: Mapping[str, str]) -> None:
        """Take in who may belong by a version; an address of the node's own settings goes before it."""
        for name, value in members.items():
            if name not in self.settings.members:
                self.addresses[name] = member_address(f"members.{name}", value, self.settings.trusted)
        self.names |= members.keys()
        self.belong = frozenset(members)
        self.machine.regroup(self.belong)
        self.log.line(f"the fleet is of {len(members)} members")

    def listen(self) -> Coroutine:
        """Take in letters, some in each turn of the loop."""
        while True:
            yield (self.sock.fileno(), READ, inf)
            for _ in range(READS):
                try:
                    data = self.sock.recv(MAX_DATAGRAM_BYTES + 1)
                except OSError:
                    break  # nothing more, or a port on this machine where nobody listens
                self.came, self.came_bytes = self.came + 1, self.came_bytes + len(data)
                try:
                    self.hear(data)
                except InvalidMessageError as odd:
                    self.drop(odd.code)
            self.plan()

    def hear(self, data: bytes) -> None:
        """Take in a letter, or a note on versions; raises Odd."""
        if self.acting is not None and data[:1] == self.acting.FIRST:
            self.acting.hear(data, self.names)
        else:
            self.act(self.machine.heard(self.loop.now(), read(data, self.settings.name, self.names)))

    def drop(self, code: str) -> None:
        """Count what is no letter of ours; the first of a kind is told."""
        self.dropped[code] += 1
        if self.dropped[code] == 1:
            self.log.line(f"fleet code={code}: a letter was left out, others like it are counted")

    def tick(self) -> None:
        """Do what is due."""
        self.act(self.machine.tick(self.loop.now()))
        self.plan()

    def plan(self) -> None:
        """Be woken when something is due."""
        self.loop.drop(self.timer)
        self.timer = self.loop.at(self.machine.next_ms, self.tick)

    def act(self, effects: list[Effect]) -> None:
        """Carry out what the machine asks for."""
        for effect in effects:
            if type(effect) is SendDatagram:
                self.send(effect.to, write(effect.letter))
            elif type(effect) is MemberChanged:
                claim = effect.claim
                standing = MemberStatus(claim.standing).name.lower()
                self.log.line(
                    f"member {effect.name} {standing} life={claim.life} incarnation={claim.incarnation}"
                )
            else:
                self.log.line(
                    f"fleet code=twin: {effect.name} life={effect.life} speaks after another took its name"
                )

    def send(self, to: str, data: bytes) -> None:
        """Send a datagram; one that the system does not take is lost like any other."""
        if self.sock is None:
            return
        try:
            self.sock.sendto(data, self.addresses[to])
        except OSError:
            self.dropped["unsent"] += 1
            return
        self.sent, self.sent_bytes = self.sent + 1, self.sent_bytes + len(data)

    def status(self) -> str:
        """Return what is held of each member, as JSON; ages in ms."""
        now, own = self.loop.now(), self.machine.own
        standing = "here" if self.sock is not None else "out"
        rows = [
            {
                "name": self.name,
                "standing": standing,
                "life": own.life,
                "incarnation": own.incarnation,
                "since_ms": round(now),
                "heard_ms": 0,
                "suspected_by": [],
                "former_life": None,
            }
        ]
        for name, member in self.machine.members.items():
            claim = member.claim
            heard = None if member.heard_ms == -inf else round(now - member.heard_ms)
            rows.append(
                {
                    "name": name,
                    "standing": "unheard" if claim is None else MemberStatus(claim.standing).name.lower(),
                    "life": claim and claim.life,
                    "incarnation": claim and claim.incarnation,
                    "since_ms": round(now - member.since_ms),
                    "heard_ms": heard,
                    "suspected_by": sorted(member.suspects),
                    "former_life": member.former if member.former >= 0 else None,
                }
            )
        told = {
            "fleet": self.settings.name,
            "by": self.name,
            "program": __version__,
            "health": self.machine.health,
            "period_ms": self.settings.period_ms,
            "letters": {
                "sent": self.sent,
                "came": self.came,
                "bytes_sent": self.sent_bytes,
                "bytes_came": self.came_bytes,
                "left_out": dict(self.dropped),
            },
            "members": sorted(rows, key=lambda row: row["name"]),
            "addresses": {
                name: "{}:{}".format(*self.addresses[name]) for name in (self.belong or self.settings.members)
            },
        }
        if self.acting is not None:
            told["acting"] = self.acting.status()
        return json.dumps(told) + "\n"

    def close(self) -> None:
        """Say goodbye, and go."""
        if self.acting is not None:
            self.acting.close()
        self.leave()

    def leave(self) -> None:
        """Be no member any more: a later process of this node has the address."""
        self.closed = True
        if self.sock is not None:
            self.act(self.machine.leave(self.loop.now()))
            self.loop.drop(self.timer)
            self.loop.close(self.sock)
            self.sock = None
