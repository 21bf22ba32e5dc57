"""The order in which servers are drawn for a request: by resource key, zone and kind, else by chance."""

import zlib
from bisect import bisect
from collections.abc import Callable, Iterator
from math import inf

from marlseam.decisions.eligibility import Eligibility
from marlseam.decisions.outlier_detection import OutlierDetection
from marlseam.decisions.server_stats import MAX_KEYED_ARRIVALS
from marlseam.decisions.types import EndpointState, Request, RequestClass

SAME_ZONE_PREFERENCE_PER_COST = (
    1500.0  # how much likelier a server of the own zone is, by the cost of crossing
)
MAX_SERVERS_PER_DRAW = 24  # usable servers that one draw looks at for a request's first attempt
RING_POINTS_PER_SERVER = 8
KEY_SPREAD_FACTOR = 2.0  # servers that a key is drawn to first, over its share of requests times the fleet
MAX_RING_POINTS_PER_KEY = 6


class ServerSelection(OutlierDetection):
    """Draws servers."""

    def draw_server(
        self, is_suitable: Callable[[int], bool], state: Eligibility | None = None, may_wait: bool = True
    ) -> int:
        """Return a usable server that is suitable, -1 for none.

        Kinds that other request classes depend on are drawn less often. With `may_wait` a request that has
        the time is offered only the servers that likely hold its resource key.
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
            if left <= 0:  # guards large fleets under overload against a look at every server for each draw
                break
        return fallback

    def kind_draw(self, server: int, request: Request) -> float:
        """Return a number in [0, 1): by chance, or the same each time for a server and a resource key."""
        if request.resource_key is None:
            return self.random()
        key_hash = zlib.crc32(request.resource_key.encode())
        return zlib.crc32(b"%d" % self.gossip_id[server], key_hash) / 2.0**32

    def candidates(self, state: Eligibility | None, may_wait: bool) -> Iterator[int]:
        """Yield servers in the order in which they are drawn.

        First those that likely hold the request's resource key: the nearest to points that the key gives on
        a hash ring, the same at every node. Then, unless the request can wait for these, at random; the own
        zone more often if the request has not waited, since that zone may be overfull.
        """
        key = state.request.resource_key if state and self.settings.fetch_cost else None
        if state and key is not None:
            yield from self.servers_near_key(key, state.request_class.kind, self.random())
            if may_wait and state.can_wait_for_affinity():
                return
        weight = 1.0
        if not (state and state.has_waited):
            weight += SAME_ZONE_PREFERENCE_PER_COST * self.settings.cross_zone_cost
        near, far = list(self.same_zone), list(self.other_zones)
        while near or far:
            point = self.random() * (weight * len(near) + len(far))
            if point < weight * len(near):
                pool, index = near, int(point / weight)
            else:
                pool, index = far, int(point - weight * len(near))
            index = min(index, len(pool) - 1)
            server, pool[index] = pool[index], pool[-1]
            pool.pop()
            yield server

    def kind_preferences(self, request_classes: tuple[RequestClass, ...]) -> list[float]:
        """Return for each kind how much of its share requests that any kind can run should take of it.

        Guards a kind that some request classes depend on: drawn evenly, requests that can go anywhere take
        part of it, and the others wait there beside kinds with free slots.
        """
        slot_ms = [
            arrivals * run_ms for arrivals, run_ms in zip(self.recent_arrivals, self.mean_run_ms, strict=True)
        ]
        kinds = range(len(self.ready_count))
        bound = [
            sum(
                area
                for area, request_class in zip(slot_ms, request_classes, strict=True)
                if request_class.kind == kind
            )
            for kind in kinds
        ]
        capacity = [
            self.ready_count[kind] * self.max_free_slots[kind] / self.kind_pace[kind] for kind in kinds
        ]
        use = sum(slot_ms) / (sum(capacity) or 1.0)
        spare = [
            max(0.0, use * capacity[kind] - bound[kind]) / max(1, self.ready_count[kind]) for kind in kinds
        ]
        largest = max(spare) or 1.0
        return [part / largest for part in spare]

    def servers_near_key(self, key: str, kind: int, chance: float) -> Iterator[int]:
        """Yield the servers nearest to a key's points on the ring, from one of its first by chance."""
        ring = self.hash_ring.get(kind)
        if ring:
            share = self.key_arrivals.get(key, 0.0) / max(self.keyed_arrivals, MAX_KEYED_ARRIVALS / 2.0)
            spread = 1.0 + KEY_SPREAD_FACTOR * share * len(ring) / RING_POINTS_PER_SERVER
            first = int(chance * spread)
            for number in range(first, first + MAX_RING_POINTS_PER_KEY):
                point = zlib.crc32(b"%s:%d" % (key.encode(), number))
                yield ring[bisect(ring, (point,)) % len(ring)][1]

    def build_hash_ring(self) -> None:
        """Lay out the points of all ready servers, by kind and (under -1) all together."""
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
