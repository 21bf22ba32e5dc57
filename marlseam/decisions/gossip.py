"""Gossip between nodes: each publishes the slots that its requests take at each server.

A message is a sequence of four-byte entries: three bytes of the server's gossip id (big-endian) and one byte
of the slots, rounded up and at most 255.
"""

from math import ceil

from marlseam.decisions.load_estimates import LoadEstimates
from marlseam.decisions.types import TrackedRequest

GOSSIP_DELAY_IN_PROBE_TIMEOUTS = 0.3  # how long changes are collected before they are published
MAX_SERVERS_PER_MESSAGE = 64
ENTRY_BYTES, ID_BYTES, MAX_SLOTS = 4, 3, 255


class Gossip(LoadEstimates):
    """Publishes changes of this node's slots and merges the slots that other nodes publish."""

    def add_own_attempt(self, server: int, state: TrackedRequest, attempt_index: int) -> None:
        """Record an attempt of this node at a server and schedule its publication to the other nodes."""
        super().add_own_attempt(server, state, attempt_index)
        self.schedule_gossip(server)

    def remove_own_attempt(self, server: int, state: TrackedRequest, attempt_index: int) -> None:
        """Record the end of an attempt of this node and schedule its publication to the other nodes."""
        super().remove_own_attempt(server, state, attempt_index)
        self.schedule_gossip(server)

    def schedule_gossip(self, server: int) -> None:
        """Schedule the publication of this node's slots at a server with the next messages."""
        if self.settings.may_gossip:
            if not self.unpublished_servers:
                self.port.after(GOSSIP_DELAY_IN_PROBE_TIMEOUTS * self.probe_wait_ms, self.publish_gossip)
            self.unpublished_servers[server] = None

    def publish_gossip(self) -> None:
        """Publish this node's slots at each server where they have changed."""
        for message in self.gossip_messages():
            self.port.publish(message)

    def gossip_messages(self) -> list[bytes]:
        """Return messages with this node's slots where they have changed since the last messages."""
        entries = [
            self.gossip_id[server].to_bytes(ID_BYTES, "big")
            + bytes([min(MAX_SLOTS, ceil(self.own_slots[server]))])
            for server in self.unpublished_servers
        ]
        self.unpublished_servers.clear()
        starts = range(0, len(entries), MAX_SERVERS_PER_MESSAGE)
        return [b"".join(entries[start : start + MAX_SERVERS_PER_MESSAGE]) for start in starts]

    def merge_gossip(self, peer: int, now: float, message: bytes) -> None:
        """Merge another node's message; an incomplete entry at its end is ignored."""
        held = self.peer_slots.setdefault(peer, {})
        self.peer_updated_ms[peer] = now
        for start in range(0, len(message) - ID_BYTES, ENTRY_BYTES):
            gossip_id = int.from_bytes(message[start : start + ID_BYTES], "big")
            slots = message[start + ID_BYTES]
            before, server = held.pop(gossip_id, 0), self.server_by_gossip_id.get(gossip_id)
            if slots:
                held[gossip_id] = slots
            if server is not None and slots != before:
                others = max(0.0, (self.others_slots[server] or 0.0) + slots - before)
                self.set_others_slots(server, others)

    def rebuild_others_slots(self, now: float, max_silence_ms: float) -> None:
        """Recompute the others' slots from gossip, without peers silent for over `max_silence_ms`."""
        for peer in [peer for peer, at_ms in self.peer_updated_ms.items() if now - at_ms > max_silence_ms]:
            del self.peer_slots[peer], self.peer_updated_ms[peer]
        for server, gossip_id in enumerate(self.gossip_id):
            total = sum(held.get(gossip_id, 0) for held in self.peer_slots.values())
            self.set_others_slots(server, float(total))
