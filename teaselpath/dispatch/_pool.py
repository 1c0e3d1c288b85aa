"""Endpoints of one service.

Answers services with thousands of endpoints: a request is then offered a part of them, the same at
every gateway for prompts with the same shared part, so that the cost of a choice does not grow with
the service.
"""

from bisect import bisect, insort
from hashlib import blake2b

from teaselpath.dispatch._views import EndpointView
from teaselpath.fleet import EndpointState

# Endpoints that one request is offered at a time; the services of the known sites are smaller.
MAX_CANDIDATES = 48


def _position(key: bytes) -> int:
    return int.from_bytes(blake2b(key, digest_size=8).digest(), "big")


class EndpointPool:
    """Endpoints by id, and in the order of a hash ring.

    :ivar ring: position and id of each endpoint, sorted.
    """

    __slots__ = ("ring", "views")

    def __init__(self) -> None:
        self.views: dict[str, EndpointView] = {}
        self.ring: list[tuple[int, str]] = []

    def put(self, view: EndpointView) -> None:
        """Add an endpoint, or replace what is known of it."""
        name = view.endpoint.endpoint_id
        if name not in self.views:
            insort(self.ring, (_position(name.encode()), name))
        self.views[name] = view

    def remove(self, name: str) -> None:
        """Remove an endpoint."""
        if self.views.pop(name, None) is not None:
            self.ring.remove((_position(name.encode()), name))

    def candidates(self, key: bytes, subset: int = 0) -> list[EndpointView]:
        """Return the endpoints that may get a new request.

        :param key: what requests that should meet at the same endpoints have in common.
        :param subset: number of the part of a large service, from 0 on.
        """
        names = list(self.views)
        if len(names) > MAX_CANDIDATES:
            start = bisect(self.ring, (_position(key), "")) + subset * MAX_CANDIDATES
            ring = self.ring
            names = [ring[(start + n) % len(ring)][1] for n in range(MAX_CANDIDATES)]
        views = [self.views[name] for name in names]
        return [view for view in views if view.endpoint.state is EndpointState.READY]
