"""The order in which servers are drawn for a request: by resource key, zone and kind, else at random."""

import zlib
from bisect import bisect
from collections.abc import Callable, Iterator
from math import inf

from marlseam.decisions.eligibility import Eligibility
from marlseam.decisions.outlier_detection import OutlierDetection
from marlseam.decisions.server_stats import MAX_KEYED_ARRIVALS
from marlseam.decisions.types import EndpointState, Request, RequestClass

SAME_ZONE_PREFERENCE_PER_COST = (
    1500.0  # added to the draw weight 1 of a server in the node's own zone, per unit of `cross_zone_cost`
)
MAX_SERVERS_PER_DRAW = 24  # most usable servers considered in one draw for a request's first attempt
RING_POINTS_PER_SERVER = 8
KEY_SPREAD_FACTOR = 2.0  # servers among which a key is spread, per share of requests times number of servers
MAX_RING_POINTS_PER_KEY = 6


class ServerSelection(OutlierDetection):
    """Draws servers for requests."""

    def draw_server(
        self, is_suitable: Callable[[int], bool], state: Eligibility | None = None, may_wait: bool = True
    ) -> int:
        """Return a usable server for which `is_suitable` holds, -1 for none.

        Kinds that other request classes depend on are drawn less often. With `may_wait`, a request that has
        time to wait is offered only the servers that are likely to hold its key's resource.
        """
        preferences: list[float] = []
        if self.has_kind_bound_classes and state and state.request_class.kind < 0:
            preferences = self.kind_preferences(self.request_classes)
        fallback, left = -1, inf if state and state.attempts else MAX_SERVERS_PER_DRAW
        for server in self.candidates(state, may_wait):
            if not self.is_usable(server):
                continue
            if is_suitable(server):
                if not preferences or not state:
                    return server
                if self.kind_draw(server, state.request) < preferences[self.kind[server]]:
                    return server
                fallback = server if fallback < 0 else fallback
            left -= 1
            if (
                left <= 0
            ):  # guards against scanning all servers of a large cluster in each draw under overload
                break
        return fallback

    def kind_draw(self, server: int, request: Request) -> float:
        """Return a number in [0, 1): random, or, with a resource key, a fixed hash of server and key."""
        if request.resource_key is None:
            return self.random()
        key_hash = zlib.crc32(request.resource_key.encode())
        return zlib.crc32(b"%d" % self.gossip_id[server], key_hash) / 2.0**32

    def candidates(self, state: Eligibility | None, may_wait: bool) -> Iterator[int]:
        """Yield servers in the order in which they are drawn.

        The servers likely to hold the key's resource come first: those nearest to the key's points on a hash
        ring, which is the same at every node. Unless the request can wait for these, the other servers follow
        in random order. The node's own zone is preferred only if the request has not waited, since a request
        that has waited may have done so because that zone is overloaded.
        """
        key = state.request.resource_key if state and self.settings.fetch_cost else None
        if state and key is not None:
            yield from self.servers_near_key(key, state.request_class.kind, self.random())
            if may_wait and state.can_wait_for_affinity():
                return
        weight = 1.0
        if not (state and state.has_waited):
            weight += SAME_ZONE_PREFERENCE_PER_COST * self.settings.cross_zone_cost
        same_zone, other_zones = list(self.same_zone), list(self.other_zones)
        while same_zone or other_zones:
            point = self.random() * (weight * len(same_zone) + len(other_zones))
            if point < weight * len(same_zone):
                pool, index = same_zone, int(point / weight)
            else:
                pool, index = other_zones, int(point - weight * len(same_zone))
            index = min(index, len(pool) - 1)
            server, pool[index] = pool[index], pool[-1]
            pool.pop()
            yield server

    def kind_preferences(self, request_classes: tuple[RequestClass, ...]) -> list[float]:
        """Return the preference, from 0 to 1, of requests without a required kind for each kind.

        The preference follows the capacity per server that the requests bound to the kind leave over. Guards
        against overload of a kind that some request classes require: drawn evenly, requests that can run on
        any kind would take part of its slots, and the bound requests would wait while other kinds have free
        slots.
        """
        slot_ms = [
            arrivals * run_ms for arrivals, run_ms in zip(self.recent_arrivals, self.mean_run_ms, strict=True)
        ]
        kinds = range(len(self.ready_count))
        bound_slot_ms = [
            sum(
                class_slot_ms
                for class_slot_ms, request_class in zip(slot_ms, request_classes, strict=True)
                if request_class.kind == kind
            )
            for kind in kinds
        ]
        capacity = [
            self.ready_count[kind] * self.max_free_slots[kind] / self.kind_pace[kind] for kind in kinds
        ]
        utilization = sum(slot_ms) / (sum(capacity) or 1.0)
        spare = [
            max(0.0, utilization * capacity[kind] - bound_slot_ms[kind]) / max(1, self.ready_count[kind])
            for kind in kinds
        ]
        largest = max(spare) or 1.0
        return [kind_spare / largest for kind_spare in spare]

    def servers_near_key(self, key: str, kind: int, chance: float) -> Iterator[int]:
        """Yield the servers nearest to a key's points on the hash ring of a kind.

        `chance`, a random number in [0, 1), selects the first point, among more of them the larger the key's
        share of requests is.
        """
        ring = self.hash_ring.get(kind)
        if ring:
            share = self.key_arrivals.get(key, 0.0) / max(self.keyed_arrivals, MAX_KEYED_ARRIVALS / 2.0)
            spread = 1.0 + KEY_SPREAD_FACTOR * share * len(ring) / RING_POINTS_PER_SERVER
            first = int(chance * spread)
            for number in range(first, first + MAX_RING_POINTS_PER_KEY):
                point = zlib.crc32(b"%s:%d" % (key.encode(), number))
                yield ring[bisect(ring, (point,)) % len(ring)][1]

    def build_hash_ring(self) -> None:
        """Build the hash rings of the ready servers, one for each kind and one, under -1, for all kinds."""
        ready = [server for server, state in enumerate(self.endpoint_state) if state is EndpointState.READY]
        self.hash_ring = {
            -1: sorted(
                (zlib.crc32(b"%d:%d" % (self.gossip_id[server], number)), server)
                for server in ready
                for number in range(RING_POINTS_PER_SERVER)
            )
        }
        for point in self.hash_ring[-1]:
            self.hash_ring.setdefault(self.kind[point[1]], []).append(point)
