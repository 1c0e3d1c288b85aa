"""Endpoints of one service.

In a service with thousands of endpoints, a request considers only a subset, so that the cost of
placing a request does not grow with the service. Prompts with the same shared part get the same
subset at every gateway.
"""

from bisect import bisect, insort
from hashlib import blake2b

from teaselpath.dispatch._views import EndpointView
from teaselpath.fleet import EndpointState

# Largest number of endpoints considered for one request; most services are smaller.
MAX_CANDIDATES = 48


def _ring_position(key: bytes) -> int:
    return int.from_bytes(blake2b(key, digest_size=8).digest(), "big")


class EndpointPool:
    """Endpoints by id and on a consistent-hash ring.

    :ivar ring: position and id of each endpoint, sorted.
    """

    __slots__ = ("ring", "views")

    def __init__(self) -> None:
        self.views: dict[str, EndpointView] = {}
        self.ring: list[tuple[int, str]] = []

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
        views = [self.views[endpoint_id] for endpoint_id in endpoint_ids]
        return [view for view in views if view.endpoint.state is EndpointState.READY]
