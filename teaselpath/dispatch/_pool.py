"""Endpoints of one service.

In a service with thousands of endpoints, a request considers only a subset, so that the cost of
placing a request does not grow with the service. Prompts with the same shared part get the same
subset at every gateway. If no endpoint of its subsets takes requests, those of the whole service
count; a large service is searched for them once an interval, not for each request.
"""

from bisect import bisect, insort
from collections.abc import Iterable
from hashlib import blake2b
from heapq import nsmallest

from teaselpath.dispatch._views import Demand, EndpointView
from teaselpath.fleet import EndpointState

# Largest number of endpoints considered for one request; most services are smaller.
MAX_CANDIDATES = 48
# Interval at which a large service is searched for endpoints that take requests, in seconds.
SEARCH_INTERVAL_S = 0.05


def _ring_position(key: bytes) -> int:
    return int.from_bytes(blake2b(key, digest_size=8).digest(), "big")


class EndpointPool:
    """Endpoints by id and on a consistent-hash ring.

    :ivar ring: position and id of each endpoint, sorted.
    :ivar open_ring: position and id of the endpoints that took requests at the last search, sorted.
    :ivar opening_ids: ids of the endpoints that will take requests next, as of the last search.
    :ivar searched_until: time until which the last search counts, in seconds.
    """

    __slots__ = ("open_ring", "opening_ids", "ring", "searched_until", "views")

    def __init__(self) -> None:
        self.views: dict[str, EndpointView] = {}
        self.ring: list[tuple[int, str]] = []
        self.open_ring: list[tuple[int, str]] = []
        self.opening_ids: list[str] = []
        self.searched_until = float("-inf")

    def put(self, view: EndpointView) -> None:
        """Add an endpoint or replace its view."""
        endpoint_id = view.endpoint.endpoint_id
        if endpoint_id not in self.views:
            insort(self.ring, (_ring_position(endpoint_id.encode()), endpoint_id))
        self.views[endpoint_id] = view

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint."""
        if self.views.pop(endpoint_id, None) is not None:
            self.ring.remove((_ring_position(endpoint_id.encode()), endpoint_id))

    def candidates(self, key: bytes, subset: int = 0) -> list[EndpointView]:
        """Return the endpoints to consider for a new request.

        :param key: hash key; requests with the same key get the same endpoints.
        :param subset: number of the subset of a large service, starting at 0.
        """
        endpoint_ids = list(self.views)
        if len(endpoint_ids) > MAX_CANDIDATES:
            start = bisect(self.ring, (_ring_position(key), "")) + subset * MAX_CANDIDATES
            ring = self.ring
            endpoint_ids = [ring[(start + n) % len(ring)][1] for n in range(MAX_CANDIDATES)]
        return self._ready_views(endpoint_ids)

    def candidates_for(self, key: bytes, demand: Demand) -> list[EndpointView]:
        """Return the endpoints of the whole service whose software may run a request.

        :param key: hash key; endpoints at its position on the ring come first.
        """
        start = bisect(self.ring, (_ring_position(key), ""))
        ring = self.ring[start:] + self.ring[:start]
        views = self._ready_views(name for _, name in ring)
        return [view for view in views if demand.admits(view)][:MAX_CANDIDATES]

    def open_candidates(self, key: bytes, now: float) -> list[EndpointView]:
        """Return endpoints of the whole service that take requests.

        :param key: hash key; endpoints at its position on the ring come first.
        """
        self._search(now)
        start = bisect(self.open_ring, (_ring_position(key), ""))
        ring = self.open_ring[start : start + MAX_CANDIDATES]
        ring += self.open_ring[: min(start, MAX_CANDIDATES - len(ring))]
        return self._ready_views(endpoint_id for _, endpoint_id in ring)

    def openings(self, excluded: frozenset[str], now: float) -> list[tuple[float, int]]:
        """Return when endpoints that want no requests will take them, and their slots.

        Of a large service, those that open first are returned.

        :param excluded: ids of endpoints that do not count.
        """
        self._search(now)
        views = self._ready_views(name for name in self.opening_ids if name not in excluded)
        openings = [(view.availability.opens_at(now), view.endpoint.slots) for view in views]
        return sorted(opening for opening in openings if opening[0] < float("inf"))

    def _ready_views(self, endpoint_ids: Iterable[str]) -> list[EndpointView]:
        views = [self.views[name] for name in endpoint_ids if name in self.views]
        return [view for view in views if view.endpoint.state is EndpointState.READY]

    def _search(self, now: float) -> None:
        """Find the endpoints that take requests, and those that will next."""
        if now < self.searched_until and len(self.views) > MAX_CANDIDATES:
            return
        self.searched_until = now + SEARCH_INTERVAL_S
        ready = {view.endpoint.endpoint_id: view for view in self._ready_views(self.views)}
        self.open_ring = [
            (position, name)
            for position, name in self.ring
            if name in ready and ready[name].availability.takes_requests(now)
        ]
        openings = (
            (view.availability.opens_at(now), name)
            for name, view in ready.items()
            if view.availability.is_held_off(now)
        )
        self.opening_ids = [name for _, name in nsmallest(MAX_CANDIDATES, openings)]
